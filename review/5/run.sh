#!/bin/sh
# Play the case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 plays it without the disruption.
exec python3 "$(dirname "$0")/case.py"
