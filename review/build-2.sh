#!/bin/sh
# Builds the stand-ins of review/6 and review/7. They need nothing but Python 3.11, so
# their build is a check that all of them compile.
set -eu
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX="$PWD/target/review" python3 -m compileall -q -f review/wire2.py \
    review/store2.py review/hosts2.py review/clients2.py review/rig2.py review/6 review/7
