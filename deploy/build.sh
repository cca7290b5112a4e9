#!/bin/sh
# Places the program and its libraries under target/deps.
set -eu
deps=target/deps
mark=target/deps.installed
if [ ! "$mark" -nt deploy/requirements.txt ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check \
        --target "$deps" -r deploy/requirements.txt
    touch "$mark"
fi
rm -rf "$deps/burdockledge"
cp -R src/burdockledge "$deps/burdockledge"
python3 -m compileall -q "$deps" || true
