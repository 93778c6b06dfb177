#!/bin/sh
# See claim.txt. Writes record.txt in this folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
timeout -k 5 110 python3 case.py record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
