#!/usr/bin/env bash
# Measures the whole path on loopback: stand-ins for the log service and the
# targets, and two nodes. Prints text, or JSON with --json.
#
#   bench/path.sh [--json] [--quick] [--seed N]
#
# Measured in one run: added latency through one and through two nodes,
# requests per second of one core, memory of a node, and malformed input.
# Exit status: 0 when every bound is met, 1 when one is missed, 2 for a wrong
# command line, 3 when the fleet did not start.
set -u
cd "$(dirname "$0")/.." || exit 3
. scripts/lib.sh

build=${BUILD:-build}
json=no
quick=no
seed=1
while [ $# -gt 0 ]; do
	case $1 in
	--json) json=yes ;;
	--quick) quick=yes ;;
	--seed)
		[ $# -ge 2 ] || exit 2
		shift
		seed=$1
		;;
	*)
		echo "usage: bench/path.sh [--json] [--quick] [--seed N]" >&2
		exit 2
		;;
	esac
	shift
done

# Bounds of docs/design.md, sections 4 and 11.
P99_ADDED_MAX_MS=2.6
REQUESTS_PER_CORE_MIN=10000
BODY_GROWTH_MAX_KIB=4096
# A leak of the smallest block of malloc (32 bytes) in a third of the inputs
# adds this much over 100,000 inputs.
HOSTILE_GROWTH_MAX_KIB=1024
# The limit of a node for control, from section 1.4.
IDLE_MAX_KIB=131072

RATE=1000
SLOTS=1024
BODY_BYTES=67108864
if [ "$quick" = yes ]; then
	rounds=3 round_s=2 saturate_s=3 inputs=10000 warm_up=2000
	split_requests=200
else
	rounds=7 round_s=5 saturate_s=10 inputs=100000 warm_up=10000
	split_requests=1000
fi

dir=$(mktemp -d)
results=$dir/results
: >"$results"
trap 'stop_programs; rm -rf "$dir"' EXIT
trap 'exit 1' INT TERM

# ---- results ----

# result NAME VALUE UNIT [BOUND-KIND BOUND]: kinds are max and min.
result() {
	jq -n -c --arg name "$1" --argjson value "$2" --arg unit "$3" \
		--arg kind "${4:-}" --argjson bound "${5:-null}" '
		{name: $name, value: $value, unit: $unit} +
		if $kind == "" then {} else {($kind): $bound, met:
			(if $kind == "max" then $value <= $bound
			else $value >= $bound end)} end' >>"$results"
}

compute() { jq -n "$@"; }

# ---- processes ----

fail() {
	echo "bench/path.sh: $*" >&2
	exit 3
}

entry_callers="" entry_nodes="" entry_announce="" entry_pid=""
exit_announce="" exit_pid="" node_cpu=""

# write_settings: settings of both nodes with free ports in $dir, and the
# addresses of their listeners.
write_settings() {
	local fleet_keys seeds
	fleet_keys="\"bench:$(od -An -v -tx1 -N32 /dev/urandom | tr -d ' \n')\""
	free_ports 8
	seeds="\"127.0.0.1:${ports[1]}\", \"127.0.0.1:${ports[5]}\""
	entry_callers=127.0.0.1:${ports[0]}
	entry_nodes=127.0.0.1:${ports[1]}
	entry_announce=127.0.0.1:${ports[2]}
	exit_announce=127.0.0.1:${ports[6]}
	node_settings bench-entry loopback loopback-a "$seeds" "$log" \
		>"$dir/entry.toml"
	ports=("${ports[@]:4}")
	node_settings bench-exit loopback loopback-a "$seeds" "$log" \
		>"$dir/exit.toml"
}

# start_node NAME: sets NAME_pid. Cores in NODE_CPUS.
start_node() {
	local name=$1
	taskset -c "$NODE_CPUS" "$build/masticmux" node \
		--settings "$dir/$name.toml" 2>"$dir/$name.err" &
	printf -v "${name}_pid" '%d' $!
	PROGRAM_PIDS="$PROGRAM_PIDS $!"
}

start_target() {
	local name=$1 service=$2 announce=$3
	start_program "$dir/$name" taskset -c "$OTHER_CPUS" \
		"$build/masticmux-standin" target --listen 127.0.0.1:0 \
		--name "$name" --service "$service" --announce "$announce" \
		--slots "$SLOTS" --latency-ms 0 --max-keys 0 ||
		fail "target $name did not start"
}

load() {
	taskset -c "$OTHER_CPUS" "$build/masticmux-standin" load --json \
		--seed "$seed" "$@"
}

# answers ADDRESS HOST: one request is completed.
answers() {
	load --node "$1" --host "$2" --rate 1 --duration-s 0.01 \
		--timeout-ms 1000 >"$dir/answers" 2>&1
}

cpu_us() { awk '{ print int($1 / 1000) }' "/proc/$1/schedstat"; }

# Time for which a process was ready to run and had no core.
wait_us() { awk '{ print int($2 / 1000) }' "/proc/$1/schedstat"; }

# resident_kib PID: sets resident. The sums in smaps_rollup are exact, those in
# status may lag by some pages for each core.
resident_kib() {
	local key value rest
	while read -r key value rest; do
		[ "$key" = Rss: ] && resident=$value
	done <"/proc/$1/smaps_rollup"
}

# split_cpus: one core for the nodes in the run at saturation, others for load
# and targets.
split_cpus() {
	local list cpu
	list=$(awk '/^Cpus_allowed_list:/ { print $2 }' /proc/self/status |
		tr ',' '\n' | while IFS=- read -r from to; do
		seq "$from" "${to:-$from}"
	done)
	# shellcheck disable=SC2086
	set -- $list
	[ $# -ge 3 ] || fail "needs 3 cores, has $#"
	ALL_CPUS=$(IFS=,; echo "$*")
	eval "node_cpu=\${$#}"
	OTHER_CPUS=""
	for cpu in "$@"; do
		[ "$cpu" = "$node_cpu" ] ||
			OTHER_CPUS="$OTHER_CPUS${OTHER_CPUS:+,}$cpu"
	done
	NODE_CPUS=$ALL_CPUS
}

start_fleet() {
	start_program "$dir/log" "$build/masticmux-standin" log \
		--listen 127.0.0.1:0 || fail "log service did not start"
	log=$program_address
	write_settings
	start_node entry
	start_node exit
	"$build/masticmux" publish --settings "$dir/entry.toml" \
		examples/bench-change.toml >"$dir/publish" 2>&1 ||
		fail "publish: $(cat "$dir/publish")"
}

# shellcheck disable=SC2034 # near_pid and far_pid are read by name
start_targets() {
	start_target near near "$entry_announce"
	near=$program_address
	near_pid=$program_pid
	start_target far far "$exit_announce"
	far=$program_address
	far_pid=$program_pid
	if ! wait_until answers "$entry_callers" near.bench.example ||
		! wait_until answers "$entry_callers" far.bench.example; then
		fail "no answer: $(cat "$dir/answers" "$dir"/*.err)"
	fi
}

# ---- measurements ----

measure_idle() {
	# Time for joining and for reading the configuration.
	sleep 2
	resident_kib "$entry_pid"
	result idle_resident "$resident" KiB max "$IDLE_MAX_KIB"
}

# one_round NAME ADDRESS HOST [OPTION...]: appends latencies to $dir/NAME.
one_round() {
	local name=$1 address=$2 host=$3
	shift 3
	load --node "$address" --host "$host" --rate "$RATE" \
		--duration-s "$round_s" --connections 64 "$@" \
		>"$dir/round.json" ||
		echo "$name: $(jq -c '{errors, reasons, violations}' \
			"$dir/round.json")" >>"$dir/failed"
	jq -c '{p50: .latency_completed.p50_ms, p99: .latency_completed.p99_ms,
		completed: .completed_requests, sent: .sent_requests}' \
		"$dir/round.json" >>"$dir/$name"
}

# compare NAME THROUGH DIRECT: medians over the rounds of the difference and
# of the ratio of each round to the direct round beside it.
compare() {
	local name=$1 part value
	for part in p50 p99; do
		value=$(compute --slurpfile a "$dir/$2" --slurpfile b "$dir/$3" \
			"def median: sort | .[length / 2 | floor];
			[range(\$a | length)] |
			{through: (map(\$a[.].$part) | median),
			direct: (map(\$b[.].$part) | median),
			added: (map(\$a[.].$part - \$b[.].$part) | median),
			least: (map(\$a[.].$part - \$b[.].$part) | min),
			most: (map(\$a[.].$part - \$b[.].$part) | max),
			ratio: (map(\$a[.].$part / \$b[.].$part) | median)}")
		field() { echo "$value" | jq ".$1"; }
		result "${name}_${part}_direct" "$(field direct)" ms
		result "${name}_${part}" "$(field through)" ms
		if [ "$part" = p99 ]; then
			result "${name}_${part}_added" "$(field added)" ms \
				max "$P99_ADDED_MAX_MS"
		else
			result "${name}_${part}_added" "$(field added)" ms
		fi
		result "${name}_${part}_added_least" "$(field least)" ms
		result "${name}_${part}_added_most" "$(field most)" ms
		result "${name}_${part}_ratio" "$(field ratio)" ratio
	done
}

# The rounds alternate, so that a disturbance hits all of them alike.
measure_latency() {
	local i before after waited
	before=$(cpu_us "$entry_pid")
	waited=$(wait_us "$entry_pid")
	# shellcheck disable=SC2034
	for i in $(seq "$rounds"); do
		one_round near_direct "$near" near.bench.example --direct
		one_round one_node "$entry_callers" near.bench.example
		one_round far_direct "$far" far.bench.example --direct
		one_round two_nodes "$entry_callers" far.bench.example
	done
	after=$(cpu_us "$entry_pid")
	waited=$(($(wait_us "$entry_pid") - waited))
	compare one_node one_node near_direct
	compare two_nodes two_nodes far_direct
	# Close to 0 on an idle machine.
	result entry_waited_for_core_per_request "$(compute --argjson us \
		"$waited" --slurpfile a "$dir/one_node" \
		--slurpfile b "$dir/two_nodes" \
		'$us / ($a + $b | map(.completed) | add)')" us
	# Half of the requests of the entry end on it, half on the other node.
	result entry_cpu_per_request_at_rate "$(compute --argjson us \
		$((after - before)) --slurpfile a "$dir/one_node" \
		--slurpfile b "$dir/two_nodes" \
		'$us / ($a + $b | map(.completed) | add)')" us
}

# measure_split: requests whose body comes after the head.
measure_split() {
	local name address host part
	for name in near_direct:"$near":near one_node:"$entry_callers":near \
		far_direct:"$far":far two_nodes:"$entry_callers":far; do
		host=${name##*:}
		address=${name#*:}
		address=${address%:*}
		name=${name%%:*}
		taskset -c "$OTHER_CPUS" "$build/bench/split_body" --json \
			--to="$address" --host="$host.bench.example" \
			--requests="$split_requests" >"$dir/split_$name" ||
			echo "split_$name: a request failed" >>"$dir/failed"
	done
	for name in one_node:near_direct two_nodes:far_direct; do
		for part in p50 p99; do
			compute --slurpfile a "$dir/split_${name%:*}" \
				--slurpfile b "$dir/split_${name#*:}" \
				"\$a[0].${part}_ms - \$b[0].${part}_ms" \
				>"$dir/added"
			set -- "split_body_${name%:*}_${part}_added" \
				"$(cat "$dir/added")" ms
			[ "$part" = p50 ] || set -- "$@" max "$P99_ADDED_MAX_MS"
			result "$@"
		done
	done
}

# saturate ADDRESS HOST PID: two closed loops against the node on one core;
# sets requests, rate, refused, wall_us and used_us.
saturate() {
	local address=$1 host=$2 pid=$3 before started first
	before=$(cpu_us "$pid")
	started=$(date +%s%N)
	load --node "$address" --host "$host" --saturate --connections 16 \
		--duration-s "$saturate_s" >"$dir/saturate1.json" &
	first=$!
	PROGRAM_PIDS="$PROGRAM_PIDS $first"
	load --node "$address" --host "$host" --saturate --connections 16 \
		--duration-s "$saturate_s" >"$dir/saturate2.json"
	forget_program "$first"
	wait "$first"
	wall_us=$((($(date +%s%N) - started) / 1000))
	used_us=$(($(cpu_us "$pid") - before))
	requests=$(compute --slurpfile a "$dir/saturate1.json" \
		--slurpfile b "$dir/saturate2.json" \
		'$a + $b | map(.completed_requests) | add')
	rate=$(compute --slurpfile a "$dir/saturate1.json" \
		--slurpfile b "$dir/saturate2.json" \
		'$a + $b | map(.completed_requests / .elapsed_s) | add')
	refused=$(compute --slurpfile a "$dir/saturate1.json" \
		--slurpfile b "$dir/saturate2.json" \
		'$a + $b | map(.sent_requests - .completed_requests) | add')
}

measure_saturation() {
	taskset -p -c "$node_cpu" "$entry_pid" >/dev/null
	saturate "$entry_callers" near.bench.example "$entry_pid"
	result saturation_requests_per_s "$rate" requests/s min \
		"$REQUESTS_PER_CORE_MIN"
	# On a shared machine other processes take part of the core.
	result saturation_core_used "$(compute "100 * $used_us / $wall_us")" \
		percent
	result requests_per_cpu_s "$(compute "$requests / $used_us * 1e6")" \
		requests/s min "$REQUESTS_PER_CORE_MIN"
	result cpu_per_request "$(compute "$used_us / $requests")" us
	result saturation_not_completed "$refused" requests max 0
	saturate "$entry_callers" far.bench.example "$entry_pid"
	result two_nodes_entry_cpu_per_request \
		"$(compute "$used_us / $requests")" us
	taskset -p -c "$ALL_CPUS" "$entry_pid" >/dev/null
	resident_kib "$entry_pid"
	result resident_after_load "$resident" KiB max "$IDLE_MAX_KIB"
}

# grow NAME NODE-PID COMMAND...: highest memory of the node, sampled without a
# pause, while the command sends one body through it.
grow() {
	local name=$1 node=$2 before peak=0 samples=0 pid
	shift 2
	resident_kib "$node"
	before=$resident
	"$@" >"$dir/body" 2>&1 &
	pid=$!
	PROGRAM_PIDS="$PROGRAM_PIDS $pid"
	while kill -0 "$pid" 2>/dev/null; do
		resident_kib "$node"
		[ "$resident" -gt "$peak" ] && peak=$resident
		samples=$((samples + 1))
	done
	forget_program "$pid"
	wait "$pid" || echo "$name: $(cat "$dir/body")" >>"$dir/failed"
	result "${name}_growth" $((peak - before)) KiB max \
		"$BODY_GROWTH_MAX_KIB"
	result "${name}_samples" "$samples" samples
}

# one_body OPTION...: exit status 0 when the body arrived unchanged.
one_body() {
	load --node "$entry_callers" --rate 1 --duration-s 0.01 \
		--timeout-ms 60000 "$@"
}

# paused_upload HOST PID: the target reads nothing in the first second.
paused_upload() {
	local host=$1 target=$2 pid status
	kill -STOP "$target"
	one_body --host "$host" --post-percent 100 \
		--request-bytes "$BODY_BYTES" &
	pid=$!
	sleep 1
	kill -CONT "$target"
	wait "$pid"
	status=$?
	return "$status"
}

# slow_download HOST: the caller reads for about two seconds.
slow_download() {
	local bytes
	bytes=$(curl -s -S -H "Host: $1" -H "X-Response-Bytes: $BODY_BYTES" \
		--limit-rate 32M -o /dev/null -w '%{size_download}' \
		"http://$entry_callers/")
	echo "$bytes bytes of $BODY_BYTES arrived"
	[ "$bytes" = "$BODY_BYTES" ]
}

# bodies NAME SERVICE NODE-PID
bodies() {
	local name=$1 host=$2.bench.example target="${2}_pid" node=$3
	grow "${name}_upload" "$node" one_body --host "$host" \
		--post-percent 100 --request-bytes "$BODY_BYTES"
	grow "${name}_download" "$node" one_body --host "$host" \
		--response-bytes "$BODY_BYTES"
	grow "${name}_paused_upload" "$node" paused_upload "$host" \
		"${!target}"
	grow "${name}_slow_download" "$node" slow_download "$host"
}

# Before the load: memory that the load left free would hide the growth. The
# other node is the exit of far and has carried no body before.
measure_bodies() {
	bodies one_node near "$entry_pid"
	bodies exit far "$exit_pid"
}

send_hostile() {
	taskset -c "$OTHER_CPUS" "$build/bench/hostile" --json \
		--callers "$entry_callers" --nodes "$entry_nodes" \
		--host near.bench.example "$@" >"$dir/hostile.json"
}

target_requests() { curl -s "http://$near/control" | jq .requests; }

measure_hostile() {
	local before seen after alive=0
	send_hostile --inputs "$warm_up" --seed $((seed + 1))
	resident_kib "$entry_pid"
	before=$resident
	seen=$(target_requests)
	send_hostile --inputs "$inputs" --seed "$seed"
	resident_kib "$entry_pid"
	after=$resident
	result hostile_inputs "$(jq .inputs "$dir/hostile.json")" inputs
	result hostile_not_refused "$(jq .accepted "$dir/hostile.json")" \
		inputs max 0
	result hostile_requests_at_target $(($(target_requests) - seen)) \
		requests max 0
	result hostile_growth "$((after - before))" KiB max \
		"$HOSTILE_GROWTH_MAX_KIB"
	kill -0 "$entry_pid" && answers "$entry_callers" near.bench.example &&
		answers "$entry_callers" far.bench.example && alive=1
	result hostile_node_answers "$alive" yes min 1
}

# ---- output ----

print_text() {
	jq -r '[.name, (.value * 1000 | round / 1000 | tostring), .unit,
		(if .max != null then "at most \(.max)"
		elif .min != null then "at least \(.min)" else "-" end),
		(if .met == null then "-" elif .met then "met"
		else "MISSED" end)] | @tsv' "$results" |
		awk -F '\t' '{ printf "%-36s %12s %-11s %-16s %s\n",
			$1, $2, $3, $4, $5 }'
	[ ! -e "$dir/failed" ] || sed 's/^/checks of the load failed: /' \
		"$dir/failed"
}

print_json() {
	jq -s --arg load "$load_before" --arg seed "$seed" --arg quick "$quick" \
		--slurpfile hostile "$dir/hostile.json" \
		'{seed: $seed, quick: ($quick == "yes"), load_average: $load,
		results: ., hostile: $hostile[0]}' "$results"
}

load_before=$(cut -d ' ' -f 1-3 /proc/loadavg)
split_cpus
start_fleet
measure_idle
start_targets
measure_bodies
measure_latency
measure_split
measure_saturation
measure_hostile
if [ "$json" = yes ]; then print_json; else print_text; fi
[ ! -e "$dir/failed" ] && jq -s -e 'all(.met != false)' "$results" >/dev/null
