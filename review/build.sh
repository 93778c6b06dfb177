#!/bin/sh
# The stand-ins are Python 3 with its standard library only; they are compiled here to find errors early.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q standins 1 2 3
