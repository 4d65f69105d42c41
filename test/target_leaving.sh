#!/usr/bin/env bash
# Guards against requests to a target that says in its answers that it leaves,
# also when the node beside it restarts and does not know of it any more.
cd "$(dirname "$0")/.." || exit 1
exec python3 platform/soak/statements.py --binary build/masticmux "leaving" \
	"leaving, node restarted" "leaving ends"
