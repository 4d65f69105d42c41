#!/usr/bin/env bash
# Guards against nodes that stay on old versions of a large configuration because
# each of them reads it over one narrow link, and no read ends before its time-out.
cd "$(dirname "$0")/.." || exit 1
exec python3 platform/soak/large_config.py --binary build/masticmux --seed 1
