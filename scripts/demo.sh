#!/usr/bin/env bash
# Shows a small fleet at work: four nodes in two regions, eight targets, a log
# service. A mixed load runs through all nodes while one target stalls, one
# flaps and one is stopped as planned, and a changed configuration is published
# meanwhile. Prints what happened; exits 0 only if every guarantee held.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/lib.sh

NODES=4
TARGETS=8
RATE=200
DURATION_S=20
host=cards.demo.example
program=build/masticmux
standin=build/masticmux-standin

install_packages >/dev/null || exit 1
make -j"$(nproc)" build/masticmux build/masticmux-standin >/dev/null || exit 1

dir=$(mktemp -d)
trap 'stop_programs; rm -rf "$dir"' EXIT
trap 'exit 1' INT TERM
rows=""
broken=0

# row WHAT RESULT VERDICT
row() {
	rows="$rows$1|$2|$3
"
	[ "$3" = broken ] && broken=$((broken + 1))
	return 0
}
# judge COMMAND...: prints "held" or "broken".
judge() { if "$@"; then echo held; else echo broken; fi; }

masticmux() {
	local command=$1 node=$2
	shift 2
	"$program" "$command" --settings "$dir/node-$node.toml" "$@"
}
fault() { curl -s -f -o /dev/null -d "$2" "http://${target[$1]}/control"; }
started() {
	curl -s "http://${target[$1]}/control" |
		sed -E 's/.*"started":([0-9]+)[,}].*/\1/'
}

change() { # BASE DEADLINE_MS
	cat <<-END
		[change]
		publisher = "demo"
		[template.lookup]
		base = $1
		deadline_ms = $2
		floor_percent = 50
		floor_slots = 3
		detection_weight = 100
	END
}

start_fleet() {
	local i seed="" name fleet_keys
	fleet_keys="\"demo:$(printf '%064d' 7)\""
	start_program "$dir/log" "$standin" log --listen 127.0.0.1:0 || exit 1
	log=$program_address
	for ((i = 1; i <= NODES; i++)); do
		free_ports 4
		[ -z "$seed" ] && seed="\"127.0.0.1:${ports[1]}\""
		callers[i]=127.0.0.1:${ports[0]}
		announce[i]=127.0.0.1:${ports[2]}
		name=$([ $i -le 2 ] && echo north || echo south)
		node_settings "node-$i" "$name" "$name-$i" "$seed" "$log" \
			>"$dir/node-$i.toml"
		"$program" node --settings "$dir/node-$i.toml" \
			2>"$dir/node-$i.log" &
		PROGRAM_PIDS="$PROGRAM_PIDS $!"
	done
	for ((i = 1; i <= TARGETS; i++)); do
		wait_until port_listens "${announce[(i + 1) / 2]}" || exit 1
		start_program "$dir/target-$i" "$standin" target \
			--listen 127.0.0.1:0 --name "target-$i" \
			--service job-cards --slots 3 --latency-ms 8 \
			--distribution exponential --seed "$i" \
			--announce "${announce[(i + 1) / 2]}" || exit 1
		target[i]=$program_address
	done
}
port_listens() { ! port_is_free "${1##*:}"; }

publish_first() {
	{
		change 0 1500
		cat <<-END
			[service.job-cards]
			base = 0
			template = "lookup"
			[[service.job-cards.route]]
			host = "$host"
			[account.workshop-1]
			base = 0
			floor_percent = 10
			ceiling_percent = 100
		END
	} >"$dir/first.toml"
	masticmux publish 1 --wait "$dir/first.toml" >"$dir/publish" 2>&1 || {
		cat "$dir/publish"
		exit 1
	}
	revision=$(sed -n 's/^accepted: revision \([0-9]*\),.*/\1/p' \
		"$dir/publish" | head -n 1)
}
sees_all() {
	[ "$(masticmux status "$1" | grep -c 'job-cards .* warm')" = $TARGETS ]
}

run_load() {
	local nodes targets
	nodes=$(IFS=,; echo "${callers[*]}")
	targets=$(IFS=,; echo "${target[*]}")
	"$standin" load --node "$nodes" --host $host --account workshop-1 \
		--rate $RATE --duration-s $DURATION_S --post-percent 30 \
		--key-percent 50 --repeat-percent 20 --timeout-ms 1500 \
		--check-targets "$targets" --seed 7 >"$dir/load" 2>&1
	echo $? >"$dir/load.status"
}

# Only trial requests reach a stalled target once it is ejected.
stall_step() {
	fault 1 '{"stall":true}'
	sleep 1
	stall_first=$(started 1)
	sleep 4
	stall_last=$(started 1)
	fault 1 '{"stall":false}'
}
flap_step() {
	fault 2 '{"flap_period_ms":1500,"flap_mode":"stall"}'
	sleep 9
	fault 2 '{"flap_period_ms":0}'
}
stop_step() {
	masticmux stop 4 --target target-3 --wait >"$dir/stop" 2>&1
	echo $? >"$dir/stop.status"
	sleep 3
	started 3 >"$dir/stop.started"
}

count_of() { sed -n "s/^$1: \([0-9]*\) requests.*/\1/p" "$dir/load"; }

echo "starting $NODES nodes and $TARGETS targets"
start_fleet
publish_first
for ((i = 1; i <= NODES; i++)); do
	wait_until sees_all "$i" || exit 1
done
echo "running $RATE requests/s for $DURATION_S s: target-1 stalls, target-2" \
	"flaps, target-3 is stopped as planned, a change is published"
run_load &
load_pid=$!
sleep 3
flap_step &
flap_pid=$!
stop_step &
stop_pid=$!
stall_step
change "$revision" 1400 >"$dir/second.toml"
masticmux publish 3 --wait "$dir/second.toml" >"$dir/publish" 2>&1
publish_status=$?
wait "$flap_pid" "$stop_pid" "$load_pid"

trials=$((stall_last - stall_first))
row "requests answered" "$(sed -n 's/^sent [0-9]* requests, //p' "$dir/load")" -
for outcome in completed not-run unknown; do
	n=$(count_of "outcomes: $outcome")
	row "outcome $outcome" "${n:-0} requests" -
done
row "latency of completed requests" \
	"$(sed -n 's/^latency of completed requests: \(.*\), max.*/\1/p' \
		"$dir/load")" -
row "complete answers to the right caller, none run twice, no wrong not-run" \
	"$(tail -n 1 "$dir/load")" "$(judge grep -qx 0 "$dir/load.status")"
row "stalled target: requests after its first second (4 s, trials)" \
	"$trials of about $((4 * RATE))" \
	"$(judge [ "$trials" -le $((4 * RATE / 100)) ])"
row "planned stop: waited for requests in progress" \
	"$(tail -n 1 "$dir/stop")" "$(judge grep -qx 0 "$dir/stop.status")"
row "planned stop: requests that started 3 s later" \
	"$(($(started 3) - $(cat "$dir/stop.started")))" \
	"$(judge [ "$(started 3)" = "$(cat "$dir/stop.started")" ])"
row "second configuration" "$(tail -n 1 "$dir/publish")" \
	"$(judge [ "$publish_status" = 0 ])"

echo
printf '%s' "$rows" | while IFS='|' read -r what result verdict; do
	printf '%-68s %-9s %s\n' "$what" "$verdict" "$result"
done
echo
if [ "$broken" -gt 0 ]; then
	cat "$dir/load" "$dir/stop"
	echo "$broken guarantees broken"
	exit 1
fi
echo "every guarantee held"
