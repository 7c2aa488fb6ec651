#!/bin/sh
# Checks that the stand-ins of all scripts compile; they are plain Python and need nothing else.
cd "$(dirname "$0")" && exec python3 -m compileall -q stand_ins.py ./*/case.py
