#!/bin/sh
# Starts a small site as separate processes, sends a workload while faults are
# injected, and reports whether every outcome was correct.
set -eu

root=$(cd "$(dirname "$0")/.." && pwd)
run="$root/run/demo"
port_base=${DEMO_PORT_BASE:-17000}
rm -rf "$run"
mkdir -p "$run"
pids=""

port() { echo "127.0.0.1:$((port_base + $1))"; }

start() {
  name=$1
  shift
  "$@" >"$run/$name.out" 2>"$run/$name.log" &
  eval "pid_$name=$!"
  pids="$pids $!"
}

stop_all() {
  for pid in $pids; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_all EXIT INT TERM

inject_fault() { python3 "$root/scripts/control.py" "http://$(port "$1")" "$2"; }

export BURDOCKLEDGE_PEER_KEYS_FILE="$run/peer_keys"
export BURDOCKLEDGE_OPERATOR_KEY="demo-operator-key"
BURDOCKLEDGE_OPERATOR_KEY_HASHES=$(python3 "$root/scripts/hash_key.py" "$BURDOCKLEDGE_OPERATOR_KEY")
export BURDOCKLEDGE_OPERATOR_KEY_HASHES
export BURDOCKLEDGE_LOG_URL="http://$(port 0)"
export BURDOCKLEDGE_HOST_LIST_URL="http://$(port 1)"
export BURDOCKLEDGE_SEEDS="$(port 21),$(port 22),$(port 23)"
python3 -c 'import secrets; print(secrets.token_hex(32))' >"$run/peer_keys"

start log burdockledge standin log --address="$(port 0)"
start hosts burdockledge standin hosts --address="$(port 1)"
for n in 1 2 3 4 5; do
  start "engine$n" burdockledge standin engine --address="$(port $((30 + n)))" --seed="$n" --token_ms=8
done
for n in 1 2 3; do
  start "service$n" burdockledge standin service --address="$(port $((40 + n)))" --service_name=ledger --seed="$n"
done
for n in 1 2 3; do
  data_centre=midlands-1
  [ "$n" = 3 ] && data_centre=midlands-2
  start "host$n" burdockledge serve --host_id="entry-$n" --data_centre="$data_centre" \
    --caller_address="$(port $((10 + n)))" --peer_address="$(port $((20 + n)))"
done

echo "waiting for the entry hosts"
python3 "$root/scripts/wait_ready.py" "http://$(port 11)/health" "http://$(port 12)/health" "http://$(port 13)/health"

export BURDOCKLEDGE_ENTRY_HOST="http://$(port 11)"
python3 "$root/scripts/make_demo_files.py" "$port_base" "$run"
burdockledge config patch --base=0 --file="$run/configuration.json"

burdockledge load --workload="$run/workload.json" \
  --entry_hosts="http://$(port 11),http://$(port 12),http://$(port 13)" \
  --audit_services="http://$(port 41),http://$(port 42),http://$(port 43)" \
  --report="$run/report.json" >"$run/table.txt" 2>"$run/load.log" &
load=$!

sleep 6
echo "engine 2 slows down fivefold for 6 s"
inject_fault 32 '{"fault": "slow", "factor": 5, "seconds": 6}'
sleep 4
echo "engine 4 is killed"
eval "kill -9 \$pid_engine4"
sleep 2
echo "a configuration patch and a stale one"
burdockledge config patch --base=1 --file="$run/patch.json"
burdockledge config patch --base=1 --file="$run/patch.json" || true
sleep 2
echo "entry host 2 is told to stop"
eval "kill -TERM \$pid_host2"

status=0
wait "$load" || status=$?
cat "$run/load.log" | tail -n 3
cat "$run/table.txt"
burdockledge timeline --entry_hosts="http://$(port 11),http://$(port 13)" \
  --trace="$run/trace.json" >"$run/time-line.txt" || true
echo "time line: run/demo/time-line.txt, for trace viewers: run/demo/trace.json"
exit "$status"
