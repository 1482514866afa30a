#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1
python3 -m review.7.run
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
