#!/usr/bin/env bash
# A short run of the soak with fixed seeds; scripts/soak.sh runs more. Seeds
# that ever failed stay in the list, with the cause.
set -u
cd "$(dirname "$0")/.." || exit 1
failed=0
out=$(mktemp)
trap 'rm -f "$out"' EXIT

# is_known SEED: KNOWN-RED.txt lists the seed, and the run broke nothing but the
# promise that the entry names.
is_known() {
	grep -q -F -- "soak.py --binary build/masticmux --seed $1 " \
		KNOWN-RED.txt 2>/dev/null &&
		grep -q -E '^FAIL  soak, seed ' "$out" &&
		! grep -v -E -q "^(FAIL  soak, seed | +logs: | +node-[0-9]+: \
served [0-4] of 10 requests on version [0-9]+ after the faults ended\$)" "$out"
}

# 1: a port of a node was taken by another connection (fault of the soak).
for seed in 1 16 22; do
	python3 platform/soak/soak.py --binary build/masticmux --seed "$seed" \
		--seconds 8 --nodes 4 >"$out" 2>&1
	status=$?
	cat "$out"
	[ "$status" -eq 0 ] && continue
	if is_known "$seed"; then
		echo "known to fail, not counted: seed $seed"
	else
		failed=1
	fi
done
exit $failed
