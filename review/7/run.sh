#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. What was sent, answered and run is in record.txt.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1
export TROUBLE="${TROUBLE:-1}"
rm -f review/7/record.txt
python3 -m review.7.run &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' TERM INT HUP
wait "$child"
code=$?
if kill -0 "$child" 2>/dev/null; then
    # A signal ended the first wait; the case ends its processes first.
    wait "$child"
    code=2
fi
case "$code" in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
