#!/bin/sh
# Compiles the stand-ins and the cases, which need nothing but Python 3.11.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile ./*.py [0-9]/case.py
