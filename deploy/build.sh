#!/bin/sh
# Install the package and its dependencies under target/deps.
# Dependencies are reinstalled only when deploy/requirements.txt changes.
set -eu
deps=target/deps
stamp=target/deps.installed
if [ ! "$stamp" -nt deploy/requirements.txt ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check \
        --target "$deps" -r deploy/requirements.txt
    touch "$stamp"
fi
rm -rf "$deps/burdockledge"
cp -R src/burdockledge "$deps/burdockledge"
python3 -m compileall -q "$deps" || true
