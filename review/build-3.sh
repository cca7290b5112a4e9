#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 use into target/review-3.
# The scripts need the build of the deploy file (deploy/build.sh) besides, and no
# other package.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3/review
cp -R review/standins_3 target/review-3/review/standins_3
python3 -m compileall -q target/review-3
