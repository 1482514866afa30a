#!/bin/sh
# Installs the forwarder's libraries below target/deps once, and the product each time.
set -eu
if [ ! target/deps.ready -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install -q --no-deps --target target/deps -r deploy/requirements.txt
    touch target/deps.ready
fi
rm -rf target/deps/pistachioshed
cp -r src/pistachioshed target/deps/pistachioshed
python3 -m compileall -q -j 1 target/deps
