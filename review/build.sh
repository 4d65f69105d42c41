#!/bin/sh
# Builds every stand-in that the cases start. All of them are Python programs
# without packages (Python 3.11 or later), the store of platform/soak among
# them: compiling them shows that they are complete.
set -e
cd "$(dirname "$0")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX=$cache python3 -m py_compile lib.py ../platform/soak/world.py */case.py
