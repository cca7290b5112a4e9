#!/bin/sh
# Build the stand-ins of the cases 6 to 10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -R review/standins_2 target/review-2/standins_2
python3 -m compileall -q target/review-2
