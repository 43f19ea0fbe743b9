#!/usr/bin/env bash
# Measures the resource use of idle citronknotd processes at several fleet sizes: starts the
# processes and the simulated platform, samples them, and ends everything that it started. Uses
# the ports 23000 to 23999.
# Arguments: strings "members workers pools teams" to measure; the default is the list below.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out/capacity
pids=()
cleanup() {
  if [ ${#pids[@]} -gt 0 ]; then
    disown "${pids[@]}" 2>/dev/null || true # suppresses the shell's message for each killed process
    kill -9 "${pids[@]}" 2>/dev/null || true
    sleep 1 # until the ports are free
  fi
  pids=()
}
trap cleanup EXIT
export CITRONKNOT_OPERATOR_CREDENTIAL=capacity-credential
export CITRONKNOT_PEER_CREDENTIAL=capacity-peer-credential
export CITRONKNOT_PLATFORM=http://127.0.0.1:23000

measure() {
  local members=$1 workers=$2 pools=$3 teams=$4 samples=()
  bin/platformd --listen 127.0.0.1:23000 2>out/capacity/platformd.log & pids+=($!)
  for _ in $(seq 50); do (exec 3<>/dev/tcp/127.0.0.1/23000) 2>/dev/null && break; sleep 0.1; done
  bin/capacity fill --workers "$workers" --pools "$pools" --teams "$teams" --members "$members" --platform "$CITRONKNOT_PLATFORM"
  for i in $(seq 0 $((members - 1))); do
    bin/citronknotd --member "$(printf 'entry-%03d' "$i")" --zone "zone-$((i % 7))" --log-level warn \
      --caller-listen "127.0.0.1:$((23100 + i))" --operator-listen "127.0.0.1:$((23400 + i))" \
      --peer-listen "127.0.0.1:$((23700 + i))" 2>"out/capacity/citronknotd-$i.log" & pids+=($!)
    samples+=(--pid $!)
  done
  sleep 4
  bin/capacity fill --workers "$workers" --pools "$pools" --teams "$teams" --platform "$CITRONKNOT_PLATFORM" \
    --operator http://127.0.0.1:23400
  sleep 6
  bin/capacity sample --label "$workers workers, $teams teams" --platform "$CITRONKNOT_PLATFORM" "${samples[@]}"
  cleanup
}

echo "| size | members | figure, for one process | median | spread |"
echo "|---|---|---|---|---|"
if [ $# -gt 0 ]; then
  for run in "$@"; do measure $run; done
  exit
fi
measure 1 50 5 10
measure 1 200 18 40
measure 1 910 82 150
measure 8 910 82 150
measure 24 910 82 150
measure 40 910 82 150
