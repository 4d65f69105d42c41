#!/usr/bin/env bash
# Guards against a SIGHUP that ends a node while it starts or ends, or that is
# lost during its start.
cd "$(dirname "$0")/.." || exit 1
exec python3 platform/soak/hangup.py --binary build/masticmux
