#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: they are Python, so they are compiled and nothing else.
cd "$(dirname "$0")/.." && exec python3 -m py_compile review/loopback_site.py
