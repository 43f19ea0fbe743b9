#!/usr/bin/env bash
# Starts the simulated platform, six simulated targets and two citronknotd processes, runs the
# demo driver against them, and ends everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out/demo
pids=()
cleanup() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap cleanup EXIT

bin/platformd --listen 127.0.0.1:17000 2>out/demo/platformd.log & pids+=($!)
targets=()
for i in 1 2 3 4 5 6; do
  bin/targetd --listen "127.0.0.1:$((17100 + i))" --slots 8 --work 5ms 2>"out/demo/targetd-$i.log" & pids+=($!)
  targets+=("http://127.0.0.1:$((17100 + i))")
done

export CITRONKNOT_OPERATOR_CREDENTIAL=demo-operator-credential
export CITRONKNOT_PLATFORM=http://127.0.0.1:17000
export CITRONKNOT_PEER_CREDENTIAL=demo-peer-credential
for m in a b; do
  n=$([ "$m" = a ] && echo 1 || echo 2)
  bin/citronknotd --member "entry-$m" --zone "zone-$m" \
    --caller-listen "127.0.0.1:1720$n" --operator-listen "127.0.0.1:1730$n" --peer-listen "127.0.0.1:1740$n" \
    2>"out/demo/citronknotd-$m.log" & pids+=($!)
done
stop_pid=${pids[-1]}

for n in 1 2; do
  for _ in $(seq 100); do
    (exec 3<>"/dev/tcp/127.0.0.1/1730$n") 2>/dev/null && break
    sleep 0.1
  done
done
# A new member accepts release notes only after every member has acknowledged it, which takes
# about 3 s, so apply is retried.
for try in $(seq 20); do
  bin/citronknot --url http://127.0.0.1:17301 apply examples/demo.json 2>out/demo/apply.log && break
  [ "$try" -lt 20 ] || { cat out/demo/apply.log >&2; exit 1; }
  sleep 0.5
done
bin/demo --caller http://127.0.0.1:17201 --caller http://127.0.0.1:17202 \
  --operator http://127.0.0.1:17301 --operator http://127.0.0.1:17302 \
  $(printf -- '--target %s ' "${targets[@]}") \
  --withdraw examples/demo-withdraw.json --stop-pid "$stop_pid"
