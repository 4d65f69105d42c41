#!/usr/bin/env bash
# Guards against a target that sends bytes without end and thereby ends the node
# beside it, or keeps it from serving others.
cd "$(dirname "$0")/.." || exit 1
exec python3 platform/soak/endless_bytes.py --binary build/masticmux --seed 1
