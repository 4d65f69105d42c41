#!/usr/bin/env bash
# Guards against a late second copy of a target's rejection that is taken for
# the rejection of the next request on the connection, which runs.
cd "$(dirname "$0")/.." || exit 1
exec python3 platform/soak/late_copies.py --binary build/masticmux
