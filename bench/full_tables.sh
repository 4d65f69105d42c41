#!/usr/bin/env bash
# Measures one node with the tables of the design size: the log stand-in holds
# the configuration, build/bench/bench_tables takes the place of the fleet.
# Prints text, or JSON with --json.
#
#   bench/full_tables.sh [--json] [--quick] [--members N] [--targets N]
#                        [--routes N] [--accounts N]
#
# Measured: time, bytes and processor time until the node has everything; then,
# over a minute with the changes and restarts of an average minute, resident
# memory, processor time and bytes for control; then the memory that connections
# of other nodes add. The node serves no requests
# and is the only real process of its fleet, so it reads the log itself and
# its periodic DIRECTORY_SYNC fails. Exit status: 0 when every bound is met, 1
# when one is missed, 2 for a wrong command line, 3 when something failed.
set -u
cd "$(dirname "$0")/.." || exit 3
. scripts/lib.sh

build=${BUILD:-build}
json=no window_s=60 settle_s=40
members=4200 targets=53000 routes=72000 accounts=230000
usage() {
	sed -n 's/^# *\(bench\/full_tables.sh .*\)/usage: \1/p' "$0" >&2
	exit 2
}
while [ $# -gt 0 ]; do
	case $1 in
	--json) json=yes ;;
	--quick) window_s=10 settle_s=5 ;;
	--members | --targets | --routes | --accounts)
		[ $# -ge 2 ] || usage
		printf -v "${1#--}" '%d' "$2" || usage
		shift
		;;
	*) usage ;;
	esac
	shift
done

# Budgets for control of docs/design.md, section 1.4.
RESIDENT_MAX_MIB=128
CORE_MAX_PERCENT=3.3
BYTES_MAX_PER_S=25000
# 6,400 changes a day.
CHANGE_EVERY_S=13

dir=$(mktemp -d)
trap 'stop_programs; rm -rf "$dir"' EXIT
trap 'exit 3' INT TERM
results=$dir/results
: >"$results"

fail() {
	echo "bench/full_tables.sh: $*" >&2
	[ -f "$dir/node.log" ] && tail -n 5 "$dir/node.log" >&2
	exit 3
}

# result NAME VALUE UNIT [MAX]
result() {
	jq -n -c --arg name "$1" --argjson value "$2" --arg unit "$3" \
		--argjson max "${4:-null}" '
		{name: $name, value: $value, unit: $unit} + if $max == null
		then {} else {max: $max, met: ($value <= $max)} end' >>"$results"
}
compute() { awk "BEGIN { printf \"%.4f\", $1 }"; }

metrics() { curl -s "http://$operator/metrics"; }
# metric NAME: the sum over its labels.
metric() {
	metrics | awk -v name="$1" '
		$1 == name || index($1, name "{") == 1 { sum += $2 }
		END { printf "%.0f", sum }'
}
# Ticks of 10 ms in user and system mode.
ticks() { awk '{ print $14 + $15 }' "/proc/$node_pid/stat"; }
kib() { awk -v name="$1:" '$1 == name { print $2 }' "/proc/$node_pid/status"; }
now() { date +%s.%N; }

append() {
	curl -s -f -o /dev/null --data-binary "@$1" \
		"http://$log/streams/config" || fail "cannot append $1"
}

# Bytes of the control connections, both directions. The pull of /metrics is
# not part of them.
control_bytes() {
	metrics | awk '
		/^masticmux_gossip_(sent|received)_bytes_total/ { g += $2 }
		/^masticmux_peer_(sent|received)_bytes_total/ { p += $2 }
		/^masticmux_log_(sent|received)_bytes_total/ { l += $2 }
		END { printf "%.0f %.0f %.0f", g, p, l }'
}

start() {
	local file
	mkdir "$dir/records"
	"$build/bench/bench_tables" --records="$dir/records" \
		--routes="$routes" --accounts="$accounts" || fail "no records"
	start_program "$dir/log" "$build/masticmux-standin" log \
		--listen 127.0.0.1:0 --appends-per-s 10000 || fail "no log"
	log=$program_address
	for file in "$dir"/records/*; do append "$file"; done
	records=$(find "$dir/records" -type f | wc -l)
	free_ports 5
	fleet=127.0.0.1:${ports[4]}
	start_program "$dir/fleet" "$build/bench/bench_tables" \
		--fleet="$fleet" --members="$members" --targets="$targets" ||
		fail "no fleet"
	fleet_keys="\"demo:$(printf '%064d' 7)\""
	node_settings measured region-1 zone-1 "\"$fleet\"" "$log" \
		>"$dir/node.toml"
	operator=127.0.0.1:${ports[3]}
	started=$(now)
	"$build/masticmux" node --settings "$dir/node.toml" 2>"$dir/node.log" &
	node_pid=$!
	PROGRAM_PIDS="$PROGRAM_PIDS $node_pid"
}

has_configuration() {
	[ "$(metric masticmux_config_records_total)" -ge "$records" ]
}
has_targets() { [ "$(metric masticmux_targets)" -ge "$targets" ]; }
has_members() { [ "$(metric masticmux_members)" -gt "$members" ]; }

# elapsed NAME COMMAND: waits and notes the time since the start of the node.
elapsed() {
	wait_until "$2" || fail "no $1 within a minute"
	result "start: until it has the $1" "$(compute "$(now) - $started")" s
}

load_node() {
	local bytes
	elapsed members has_members
	elapsed targets has_targets
	elapsed configuration has_configuration
	read -ra bytes <<<"$(control_bytes)"
	result "start: processor time" "$(compute "$(ticks) / 100")" s
	result "start: gossip" "$(compute "${bytes[0]} / 1048576")" MiB
	result "start: directory sync" "$(compute "${bytes[1]} / 1048576")" MiB
	result "start: log" "$(compute "${bytes[2]} / 1048576")" MiB
}

publish_changes() {
	local i
	for ((i = 0; i * CHANGE_EVERY_S < window_s; i++)); do
		printf '{"change":{"id":"late-%d","publisher":"bench"},%s}' \
			"$i" "\"account\":{\"late-$i\":{\"base\":0}}" \
			>"$dir/late.json"
		append "$dir/late.json"
		sleep "$CHANGE_EVERY_S"
	done
}

measure_minute() {
	local before after ticks_before ticks_after applied
	sleep "$settle_s"
	read -ra before <<<"$(control_bytes)"
	applied=$(metric masticmux_configuration_applied)
	ticks_before=$(ticks)
	publish_changes &
	publisher=$!
	sleep "$window_s"
	ticks_after=$(ticks)
	wait "$publisher" || fail "a change was not appended"
	read -ra after <<<"$(control_bytes)"
	result "minute: changes applied" \
		$(($(metric masticmux_configuration_applied) - applied)) ""
	result "minute: processor time" "$(compute \
		"($ticks_after - $ticks_before) / $window_s")" \
		"% of a core" "$CORE_MAX_PERCENT"
	local i total=0 names=(gossip "peer connections" log)
	for i in 0 1 2; do
		total=$((total + after[i] - before[i]))
		result "minute: ${names[i]}" "$(compute \
			"(${after[i]} - ${before[i]}) / $window_s")" B/s
	done
	result "minute: bytes sent and received" \
		"$(compute "$total / $window_s")" B/s "$BYTES_MAX_PER_S"
	result "minute: gossip datagrams sent, since the start" \
		"$(metric masticmux_gossip_sent_total)" ""
	result "minute: failed probes, since the start" \
		"$(metric masticmux_probes_failed_total)" ""
	result "resident memory" "$(compute "$(kib VmRSS) / 1024")" MiB \
		"$RESIDENT_MAX_MIB"
	result "resident memory, highest" "$(compute "$(kib VmHWM) / 1024")" \
		MiB "$RESIDENT_MAX_MIB"
	result "heap in use" "$(compute \
		"$(metric masticmux_heap_bytes) / 1048576")" MiB
}

# Heap in use with connections of other nodes, which carry one call each; the
# resident memory has room for them from the load.
dial() {
	local before after n
	before=$(metric masticmux_heap_bytes)
	for n in 500 1000 1500; do
		start_program "$dir/dial-$n" "$build/bench/bench_tables" \
			--dial="127.0.0.1:${ports[1]}" --connections=500 ||
			fail "no connections"
		after=$(metric masticmux_heap_bytes)
		result "connections: $n, memory of each" \
			"$(compute "($after - $before) / $n")" bytes
	done
}

make -j"${JOBS:-3}" BUILD="$build" "$build/masticmux" \
	"$build/masticmux-standin" "$build/bench/bench_tables" >&2 ||
	fail "the build failed"
start
load_node
measure_minute
dial
if [ "$json" = yes ]; then
	jq -s '{bench: "full_tables", results: .}' "$results"
else
	jq -r '[.name, (.value | tostring), .unit, if .max == null then ""
		elif .met then "at most \(.max): met"
		else "at most \(.max): MISSED" end] | @tsv' "$results" |
		awk -F '\t' '{ printf "%-46s %12s %-11s %s\n",
			$1, $2, $3, $4 }'
fi
jq -s -e 'all(.met != false)' "$results" >/dev/null
