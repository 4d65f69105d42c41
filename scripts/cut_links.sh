#!/usr/bin/env bash
# Nodes whose links and targets break connections, on the stand-in of the
# platform.
# Usage: scripts/cut_links.sh [COUNT [FIRST_SEED [SECONDS [NODES]]]]
# Runs COUNT seeds, two at a time. Exit status 1 when one broke a promise.
set -u
cd "$(dirname "$0")/.." || exit 1
count=${1:-10}
first=${2:-1}
seconds=${3:-15}
nodes=${4:-5}
seq "$first" $((first + count - 1)) | xargs -P 2 -I SEED python3 \
	platform/soak/cut_links.py --binary build/masticmux --seed SEED \
	--seconds "$seconds" --nodes "$nodes"
