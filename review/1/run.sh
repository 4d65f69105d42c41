#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
python3 -c 'import asyncio, tomllib; asyncio.timeout' || exit 2
[ -x "$folder/../../target/masticmux" ] || exit 2
exec python3 "$folder/case.py"
