#!/bin/sh
# Compares the placement policies on 20 seeds, or on $SEEDS, then writes
# docs/data/policy.json and docs/POLICY.md.
set -eu

root=$(cd "$(dirname "$0")/.." && pwd)
run="$root/run/policy"
rm -rf "$run"
mkdir -p "$run"
seq "${SEEDS:-20}" | xargs -P "$(nproc)" -I{} \
  burdockledge bench policy --seed={} --file="$run/{}.json"
burdockledge bench policy-page --runs="$run" --data="$root/docs/data/policy.json" \
  --page="$root/docs/POLICY.md" --plot="$root/docs/data/policy.png"
