#!/usr/bin/env bash
# Checks each Promela specification in spec/ exhaustively, and checks that each of its mutants
# violates an assertion. Exits with 1 if a specification fails or a mutant is not caught.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v spin >/dev/null; then
  apt-get update -qq && apt-get install -y -qq spin >/dev/null
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# check MODEL MUTANT verifies one variant of a model; mutant 0 is the model itself. It sets errors
# to the number of errors or none, states to the number of states, and complete to yes or no.
check() {
  errors=none states=0
  local dir="$work/$1-$2" out
  mkdir -p "$dir"
  cp "spec/$1.pml" "$dir/"
  (cd "$dir" && spin -a -DMUTANT="$2" "$1.pml" >spin.log && gcc -O2 -w -DSAFETY -DMEMLIM=4096 -DCOLLAPSE -o pan pan.c)
  out=$(cd "$dir" && timeout 300 ./pan -m1000000 -E 2>&1) || true
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' <<<"$out")
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' <<<"$out")
  complete=yes
  grep -qE 'Search not completed|max search depth too small|out of memory' <<<"$out" && complete=no
  [ -n "$errors" ] || { echo "$out" | tail -5; errors=none; }
}

for file in spec/*.pml; do
  model=$(basename "$file" .pml)
  check "$model" 0
  if [ "$errors" = 0 ] && [ "$complete" = yes ]; then
    echo "model $model: holds, $states states"
  else
    echo "model $model: FAILED (errors $errors, complete $complete, $states states)"; failed=1
  fi
  for mutant in $(grep -oE 'MUTANT [!=]= [1-9]' "$file" | grep -oE '[1-9]' | sort -u); do
    check "$model" "$mutant"
    if [ "$errors" != 0 ] && [ "$errors" != none ]; then
      echo "model $model, mutant $mutant: caught after $states states"
    else
      echo "model $model, mutant $mutant: NOT CAUGHT (errors $errors, complete $complete, $states states)"; failed=1
    fi
  done
done
exit "$failed"
