#!/bin/sh
# Build the stand-ins of the cases. They are Python sources without
# dependencies, so that compiling them shows that they can start.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins ./*/case.py
