#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
[ -d target/deps ] || exit 2
exec timeout --signal=TERM --kill-after=5 118 python3 "$here/case.py"
