#!/bin/sh
# Compares one entry host with a minimal proxy: the same engine and load,
# one after the other.
set -eu

root=$(cd "$(dirname "$0")/.." && pwd)
run="$root/run/bench"
port_base=19000
key=bench-operator-key
rm -rf "$run"
mkdir -p "$run"
pids=""

stop_all() {
  for pid in $pids; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_all EXIT INT TERM

BURDOCKLEDGE_OPERATOR_KEY_HASHES=$(python3 "$root/scripts/hash_key.py" "$key")
export BURDOCKLEDGE_OPERATOR_KEY_HASHES
export BURDOCKLEDGE_PEER_KEYS=bench-peer-key-0123456789
export BURDOCKLEDGE_LOG_LEVEL=warning
python3 "$root/scripts/make_capacity_files.py" "$port_base" "$run" 1

for n in 0 1 2 3; do
  [ "$n" = 0 ] && continue
  burdockledge standin engine --address="127.0.0.1:$((port_base + 300 + n))" \
    --slots=64 --token_ms=1 --prefill_tokens_per_ms=1000 2>>"$run/engine" &
  pids="$pids $!"
done
burdockledge standin log --address="127.0.0.1:$port_base" 2>>"$run/log" &
pids="$pids $!"
burdockledge serve --host_id=entry-1 --data_centre=dc1 \
  --caller_address="127.0.0.1:$((port_base + 1))" --peer_address="127.0.0.1:$((port_base + 501))" \
  --log_url="http://127.0.0.1:$port_base" 2>>"$run/host" &
host=$!
burdockledge bench relay --address="127.0.0.1:$((port_base + 2))" \
  --engine_url="http://127.0.0.1:$((port_base + 301))" 2>>"$run/relay" &
relay=$!
pids="$pids $host $relay"
python3 "$root/scripts/wait_ready.py" "http://127.0.0.1:$((port_base + 1))/health"
burdockledge config patch --base=0 --file="$run/configuration.json" \
  --entry_host="http://127.0.0.1:$((port_base + 1))" --operator_key="$key"

python3 "$root/scripts/compare_relay.py" "${BENCH_REQUESTS:-6000}" \
  "direct=http://127.0.0.1:$((port_base + 301))=0" \
  "relay=http://127.0.0.1:$((port_base + 2))=$relay" \
  "host=http://127.0.0.1:$((port_base + 1))=$host"
