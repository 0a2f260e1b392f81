#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run.
PYTHONDONTWRITEBYTECODE=1
export PYTHONDONTWRITEBYTECODE
python=/usr/bin/python3
[ -x "$python" ] || python=python3
exec "$python" "$(dirname "$0")/play.py"
