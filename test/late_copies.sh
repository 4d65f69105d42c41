#!/usr/bin/env bash
# Guards against a late second copy of a target's rejection that is taken for
# the rejection of the next request on the connection, which runs, and against
# a copy of an answer that costs the next request its own answer.
cd "$(dirname "$0")/.." || exit 1
exec python3 platform/soak/late_copies.py --binary build/masticmux
