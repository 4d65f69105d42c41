#!/usr/bin/env bash
# Guards against requests that a node takes late in its stop, passes on, and
# breaks off at its end.
cd "$(dirname "$0")/.." || exit 1
exec python3 platform/soak/late_stop.py --binary build/masticmux
