#!/usr/bin/env bash
# Builds, runs every benchmark and writes build/bench.txt and build/bench.json.
# Prints a table of the bounds with their results and goes on when one is
# missed.
#
#   scripts/bench.sh [--quick]
#
# --quick shortens the runs; its figures are for a first look only. Exit
# status: 0 when every bound is met, 1 when one is missed or a benchmark fails,
# 2 for a wrong command line.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/lib.sh

quick=no
case "$*" in
"") ;;
--quick) quick=yes ;;
*)
	echo "usage: scripts/bench.sh [--quick]" >&2
	exit 2
	;;
esac

# The JSON of the benchmarks is read with jq.
PACKAGES="$PACKAGES jq"
build=${BUILD:-build}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# options NAME: shorter runs for --quick.
options() {
	[ "$quick" = yes ] || return 0
	case $1 in
	bench_config) echo --changes 2000 --nodes 100 ;;
	bench_cost) echo --seeds 2 --seconds 40 ;;
	bench_detection) echo --trials 2 --hours 1 ;;
	bench_http) echo --requests 20000 ;;
	bench_membership) echo --node-seconds=20000 --sizes=10,100 ;;
	bench_peer) echo --pairs=20000 ;;
	path | full_tables) echo --quick ;;
	esac
}

# run NAME COMMAND...: keeps the JSON in $dir/NAME.json; a benchmark that
# fails or prints none is noted with its exit status.
run() {
	local name=$1 status started=$SECONDS
	shift
	echo "running $*" >&2
	"$@" >"$dir/$name.out" 2>"$dir/$name.err"
	status=$?
	jq -e . "$dir/$name.out" >"$dir/$name.json" 2>/dev/null ||
		echo null >"$dir/$name.json"
	jq -n -c --arg name "$name" --arg command "$*" \
		--argjson status "$status" \
		--argjson seconds $((SECONDS - started)) \
		--arg load "$(cut -d ' ' -f 1-3 /proc/loadavg)" \
		--rawfile errors "$dir/$name.err" \
		--slurpfile output "$dir/$name.json" \
		'{name: $name, command: $command, status: $status,
		seconds: $seconds, load_average: $load,
		errors: $errors, output: $output[0]}' >>"$dir/runs"
}

machine() {
	jq -n --arg cpu "$(sed -n 's/^model name[^:]*: //p' /proc/cpuinfo |
		head -n 1)" --argjson cores "$(nproc)" \
		--arg kernel "$(uname -r)" \
		--arg memory "$(awk '/^MemTotal:/ { print $2 }' /proc/meminfo)" \
		--arg date "$(date -u +%Y-%m-%dT%H:%M:%SZ)" \
		--arg load "$(cut -d ' ' -f 1-3 /proc/loadavg)" \
		--arg revision "$(git rev-parse --short HEAD)" \
		'{cpu: $cpu, cores: $cores, kernel: $kernel,
		memory_kib: ($memory | tonumber), date: $date,
		load_average: $load, revision: $revision}'
}

# table: the bounds with their results, from $dir/bounds.json.
table() {
	jq -r 'def number: if . == null then "-"
			else . * 1000 | round / 1000 | tostring end;
		.[] | [.bench, .name, (.value | number), .unit,
		(if .max != null then "at most \(.max)"
		elif .min != null then "at least \(.min)" else "" end),
		(if .met then "met" else "MISSED" end)] | @tsv' \
		"$dir/bounds.json" |
		awk -F '\t' '{ printf "%-17s %-42s %12s %-11s %-16s %s\n",
			$1, $2, $3, $4, $5, $6 }'
}

# text: everything that build/bench.txt holds.
text() {
	jq -r 'to_entries[] | "\(.key): \(.value)"' "$dir/machine.json"
	echo "quick: $quick"
	echo
	table
	echo
	jq -r '"\(.command): exit status \(.status), \(.seconds) s, load " +
		"average \(.load_average)",
		(select(.status != 0 and .errors != "") | .errors)' "$dir/runs"
	jq -r 'select(.output != null) | "", .command,
		(.output | tojson)' "$dir/runs"
}

install_packages || exit 1
make -j"${JOBS:-3}" BUILD="$build" all || exit 1
machine >"$dir/machine.json"
: >"$dir/runs"
for program in "$build"/bench/bench_*; do
	name=$(basename "$program")
	# It serves full_tables.sh and prints no figures.
	[ "$name" = bench_tables ] && continue
	# shellcheck disable=SC2046
	run "$name" "$program" --json $(options "$name")
done
# shellcheck disable=SC2046
run path bench/path.sh --json $(options path)
# shellcheck disable=SC2046
run full_tables bench/full_tables.sh --json $(options full_tables)

jq -s -f scripts/bench-bounds.jq "$dir/runs" >"$dir/bounds.json"
jq -s --slurpfile machine "$dir/machine.json" --arg quick "$quick" \
	--slurpfile bounds "$dir/bounds.json" \
	'{machine: $machine[0], quick: ($quick == "yes"), bounds: $bounds[0],
	runs: .}' "$dir/runs" >"$build/bench.json"
text >"$build/bench.txt"
table
missed=$(jq 'map(select(.met | not)) | length' "$dir/bounds.json")
# A missed bound makes the scripts exit with 1; their rows say so already.
failed=$(jq -s 'map(select(.status != 0 and .status != 1 or (.status == 1 and
	.name != "path" and .name != "full_tables"))) | length' "$dir/runs")
echo "$(jq length "$dir/bounds.json") bounds, $missed missed;" \
	"$failed benchmarks failed; see $build/bench.txt, $build/bench.json"
[ "$missed" -eq 0 ] && [ "$failed" -eq 0 ]
