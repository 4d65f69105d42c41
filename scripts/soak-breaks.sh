#!/usr/bin/env bash
# Shows that the soak can fail: builds a copy of the tree with each patch of
# platform/soak/breaks, which breaks one rule on purpose, and runs seeds of the
# soak until one reports it. Usage: scripts/soak-breaks.sh [NAME...]
# Exit status 1 if a patch was not found in SEEDS_MAX seeds.
set -u
cd "$(dirname "$0")/.." || exit 1
SEEDS_MAX=5
SECONDS_EACH=20
NODES=6
copy=$(mktemp -d)
out=$(mktemp)
trap 'rm -rf "$copy" "$out"' EXIT
missed=0
git ls-files -co --exclude-standard | grep -v '^journal/\|^review/' |
	tar -cf - -T - | tar -xf - -C "$copy" || exit 1
cp -r build "$copy/" 2>/dev/null

try() {
	local name=$1 seed
	patch -s -p1 -d "$copy" <"platform/soak/breaks/$name.patch" || return 1
	make -s -C "$copy" -j2 build/masticmux || return 1
	for seed in $(seq 1 $SEEDS_MAX); do
		python3 platform/soak/soak.py --binary "$copy/build/masticmux" \
			--seed "$seed" --seconds $SECONDS_EACH --nodes $NODES \
			>"$out" 2>&1 && continue
		rm -rf "$(sed -n 's/^ *logs: //p' "$out")"
		printf '%-16s seed %d: %s\n' "$name" "$seed" "$(sed -n 2p "$out")"
		break
	done
	patch -s -R -p1 -d "$copy" <"platform/soak/breaks/$name.patch"
	grep -q '^FAIL' "$out" && return 0
	printf '%-16s not found in %d seeds\n' "$name" $SEEDS_MAX
	return 1
}

for patch in platform/soak/breaks/*.patch; do
	name=$(basename "$patch" .patch)
	[ $# -gt 0 ] && [[ " $* " != *" $name "* ]] && continue
	try "$name" || missed=1
done
exit $missed
