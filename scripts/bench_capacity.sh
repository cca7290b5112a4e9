#!/bin/sh
# Measures entry host processes with growing numbers of hosts and request rates,
# then writes docs/data/capacity.json and docs/CAPACITY.md.
set -eu

root=$(cd "$(dirname "$0")/.." && pwd)
run="$root/run/capacity"
port_base=18000
key=bench-operator-key
rm -rf "$run"
mkdir -p "$run"
pids=""

stop_all() {
  for pid in $pids; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=""
}
trap stop_all EXIT INT TERM

BURDOCKLEDGE_OPERATOR_KEY_HASHES=$(python3 "$root/scripts/hash_key.py" "$key")
export BURDOCKLEDGE_OPERATOR_KEY_HASHES
export BURDOCKLEDGE_PEER_KEYS=bench-peer-key-0123456789
export BURDOCKLEDGE_LOG_URL="http://127.0.0.1:$port_base"
export BURDOCKLEDGE_SEEDS="127.0.0.1:$((port_base + 501)),127.0.0.1:$((port_base + 502))"
export BURDOCKLEDGE_LOG_LEVEL=warning

# Starts a log and $1 entry hosts; sets pairs (PID=URL) and urls.
start_hosts() {
  burdockledge standin log --address="127.0.0.1:$port_base" 2>>"$run/log" &
  pids="$pids $!"
  pairs=""
  urls=""
  n=1
  while [ "$n" -le "$1" ]; do
    burdockledge serve --host_id="entry-$n" --data_centre=dc1 \
      --caller_address="127.0.0.1:$((port_base + n))" \
      --peer_address="127.0.0.1:$((port_base + 500 + n))" 2>>"$run/hosts" &
    pids="$pids $!"
    pairs="$pairs $!=http://127.0.0.1:$((port_base + n))"
    urls="$urls http://127.0.0.1:$((port_base + n))/health"
    n=$((n + 1))
  done
  # shellcheck disable=SC2086
  python3 "$root/scripts/wait_ready.py" $urls
}

: >"$run/hosts.jsonl"
for count in 8 16 32 64; do
  start_hosts "$count"
  sleep 8
  # shellcheck disable=SC2086
  echo "{\"hosts\": $count, \"measured\": $(python3 "$root/scripts/measure_hosts.py" 6 "$key" $pairs)}" >>"$run/hosts.jsonl"
  tail -n 1 "$run/hosts.jsonl"
  stop_all
done

: >"$run/load.jsonl"
start_hosts 3
for n in 1 2 3; do
  burdockledge standin engine --address="127.0.0.1:$((port_base + 300 + n))" --slots=64 --token_ms=5 --seed="$n" 2>>"$run/engines" &
  pids="$pids $!"
done
python3 "$root/scripts/make_capacity_files.py" "$port_base" "$run" 20 40 80 160
sleep 2
burdockledge config patch --base=0 --file="$run/configuration.json" \
  --entry_host="http://127.0.0.1:$((port_base + 1))" --operator_key="$key"
for rate in 20 40 80 160; do
  burdockledge load --workload="$run/workload-$rate.json" \
    --entry_hosts="http://127.0.0.1:$((port_base + 1)),http://127.0.0.1:$((port_base + 2)),http://127.0.0.1:$((port_base + 3))" \
    >"$run/table-$rate.txt" 2>/dev/null &
  load=$!
  sleep 2
  # shellcheck disable=SC2086
  echo "{\"rate\": $rate, \"measured\": $(python3 "$root/scripts/measure_hosts.py" 6 "$key" $pairs)}" >>"$run/load.jsonl"
  tail -n 1 "$run/load.jsonl"
  wait "$load"
done
stop_all

burdockledge bench capacity --hosts="$run/hosts.jsonl" --load="$run/load.jsonl" \
  --data="$root/docs/data/capacity.json" --page="$root/docs/CAPACITY.md" \
  --plot="$root/docs/data/capacity.png"
burdockledge bench news \
  --data="$root/docs/data/capacity.json" --page="$root/docs/CAPACITY.md"
