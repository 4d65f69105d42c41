#!/usr/bin/env bash
# Guards against more requests to a target than the limit that it names in its
# answers allows, summed over all nodes, also when the node beside it restarts.
cd "$(dirname "$0")/.." || exit 1
exec python3 platform/soak/statements.py --binary build/masticmux "limit" \
	"limits of all targets" "limit, node restarted" "limit ends"
