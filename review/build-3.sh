#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start. They need the
# build of the deploy file (deploy/build.sh) besides, and no other package.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins_3
