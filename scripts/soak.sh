#!/usr/bin/env bash
# Randomized soak of real nodes on the stand-in of the platform.
# Usage: scripts/soak.sh [COUNT [FIRST_SEED [SECONDS [NODES]]]]
# Runs COUNT seeds, a few at a time. Exit status 1 when one broke a promise.
set -u
cd "$(dirname "$0")/.." || exit 1
count=${1:-10}
first=${2:-$RANDOM}
seconds=${3:-15}
nodes=${4:-6}
seq "$first" $((first + count - 1)) | xargs -P 4 -I SEED python3 \
	platform/soak/soak.py --binary build/masticmux --seed SEED \
	--seconds "$seconds" --nodes "$nodes"
