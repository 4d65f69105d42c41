#!/usr/bin/env bash
# Two nodes, the log stand-in and three targets on loopback. Guards against a
# planned stop that cuts a request or lets another one start, against a stop
# that only the node beside the target takes, and against a status, an explain
# or a publish --wait that tells something else than what happened. Waits for
# conditions; no duration is asserted.
set -u
export LC_ALL=C.UTF-8
cd "$(dirname "$0")/.." || exit 1
. scripts/lib.sh

program=${PROGRAM:-build/masticmux}
standin=${STANDIN:-build/masticmux-standin}
dir=$(mktemp -d)
trap 'stop_programs; rm -rf "$dir"' EXIT

last_has() { grep -q -E -- "$1" "$dir/last"; }
# says NAME PATTERN: the output of the last command has the pattern.
says() {
	last_has "$2" && return
	echo "FAIL  $1: no '$2' in:"
	cat "$dir/last"
	failures=$((failures + 1))
}

# masticmux COMMAND NODE ARGUMENT...: NODE is 1 or 2.
masticmux() {
	local command=$1 node=$2
	shift 2
	"$program" "$command" --settings "$dir/node-$node.toml" "$@"
}

# shows NODE PATTERN: the status of the node has the pattern.
shows() { masticmux status "$1" 2>&1 | grep -q -E -- "$2"; }
control_above() { [ "$(control_value "$1" "$2")" -gt "$3" ]; }

node_is_up() {
	! kill -0 "$node_pid" 2>/dev/null ||
		curl -s -f -o /dev/null "http://127.0.0.1:${ports[3]}/healthz"
}

# start_node NUMBER SEEDS: sets node_pid and ports. Another process may take a
# port between the search and the start; then other ports are tried.
start_node() {
	local tries
	for tries in 1 2 3 4 5; do
		free_ports 4
		node_settings "node-$1" north "north-$1" "$2" "$log" \
			>"$dir/node-$1.toml"
		"$program" node --settings "$dir/node-$1.toml" \
			2>"$dir/node-$1.err" &
		node_pid=$!
		PROGRAM_PIDS="$PROGRAM_PIDS $node_pid"
		wait_until node_is_up
		kill -0 "$node_pid" 2>/dev/null && return
		forget_program "$node_pid"
	done
	cat "$dir/node-$1.err" >&2
	return 1
}

# start_target NAME SERVICE ANNOUNCE OPTION...
start_target() {
	local name=$1 service=$2 announce=$3
	shift 3
	start_program "$dir/$name" "$standin" target --listen 127.0.0.1:0 \
		--control 127.0.0.1:0 --name "$name" --service "$service" \
		--announce "$announce" --slots 3 --queue 3 --latency-ms 5 "$@"
}

start_fleet() {
	start_program "$dir/log" "$standin" log --listen 127.0.0.1:0 || return 1
	log=$program_address
	start_node 1 "" || return 1
	node_1=$node_pid
	operator_1=127.0.0.1:${ports[3]}
	callers_1=127.0.0.1:${ports[0]}
	announce_1=127.0.0.1:${ports[2]}
	start_node 2 "\"127.0.0.1:${ports[1]}\"" || return 1
	node_2=$node_pid
	callers_2=127.0.0.1:${ports[0]}
	announce_2=127.0.0.1:${ports[2]}
	start_target t1 jobs "$announce_1" || return 1
	t1=$program_control
	start_target t2 jobs "$announce_2" || return 1
	t2=$program_control
	start_target t3 payments "$announce_2" || return 1
	t3=$program_control
}

change() {
	cat <<'EOF'
[template.web]
base = 0
deadline_ms = 20000
floor_percent = 0
detection_weight = 0
[service.jobs]
base = 0
template = "web"
route = [ { host = "jobs.example" } ]
[service.payments]
base = 0
template = "web"
route = [ { host = "payments.example" } ]
EOF
}

test_publish() {
	check "both are members" wait_until shows 1 '^members: 2 alive'
	check "both are members" wait_until shows 2 '^members: 2 alive'
	change >"$dir/change.toml"
	check_status "publish" 0 masticmux publish 1 --wait "$dir/change.toml"
	says "publish" '^accepted: revision 1,'
	says "publish --wait counts" '^in force at 2 of 2 nodes$'
	check "status counts" shows 2 'revision 1 in force at 2 alive nodes'
}

test_status() {
	for name in t1 t2 t3; do
		check "node 1 lists $name" wait_until shows 1 " $name .* warm "
		check "node 2 lists $name" wait_until shows 2 " $name .* warm "
	done
	check_status "status" 0 masticmux status 1
	says "node" '^node node-1, zone north-1, region north, incarnation '
	says "configuration" '^configuration revision 1, current$'
	says "member" '^  node-2 +north +north-2 +alive +1$'
	says "target beside node" '^  jobs +t1 +node-1 +warm +3 +[0-9]+ +[0-9]+ '
	says "target beside the other" '^  jobs +t2 +node-2 +warm +3 +- +- +-$'
	check_status "status in JSON" 0 masticmux status 1 --json
	says "JSON" '"reader_rank": [01]'
	check_status "local targets" 0 masticmux status 1 --targets local
	check "leaves out the others" not last_has ' t2 '
	check_status "one service" 0 masticmux status 1 --service payments
	says "one service" ' t3 '
	check "leaves out other services" not last_has ' t[12] '
	check "bounded list" bounded_list
	check_status "wrong targets" 1 masticmux status 1 --targets some
}
not() { ! "$@"; }
# The bound keeps the own target and counts the others.
bounded_list() {
	curl -s "http://$operator_1/status?targets_max=1" >"$dir/status"
	grep -q '"name": "t1"' "$dir/status" &&
		! grep -q '"name": "t[23]"' "$dir/status" &&
		grep -qE '"targets_left_out": 2,?$' "$dir/status"
}

# A request that is in progress at t3 when the stop is announced.
test_request_in_progress() {
	set_fault "$t3" '{"stall":true}'
	curl -s -o "$dir/answer" -w '%{http_code}' -d pay \
		-H 'Host: payments.example' "http://$callers_1/" \
		>"$dir/code" &
	local pending=$!
	PROGRAM_PIDS="$PROGRAM_PIDS $pending"
	check "runs" wait_until control_is "$t3" stalled 1
	check_status "stop through the other node" 0 masticmux stop 1 \
		--target t3
	says "in progress" \
		'^stopping: target t3 beside node node-2, 1 requests in progress$'
	check_status "wait ends early" 1 masticmux stop 1 --target t3 --wait \
		--timeout 1
	says "still in progress" 'announced, but requests are still in progress'
	set_fault "$t3" '{"stall":false}'
	check_status "stop --wait" 0 masticmux stop 2 --target node-2/t3 --wait
	says "nothing in progress" ', 0 requests in progress$'
	forget_program "$pending"
	wait "$pending"
	check "not cut" grep -q '^200$' "$dir/code"
	curl -s -o /dev/null -D "$dir/head" -d pay \
		-H 'Host: payments.example' "http://$callers_1/"
	check "refused afterwards" grep -q -i '^Masticmux-Outcome: not-run' \
		"$dir/head"
	check "ran once" control_is "$t3" requests 1
}

test_stop_under_load() {
	local load started
	"$standin" load --node "$callers_1,$callers_2" --host jobs.example \
		--rate 100 --duration-s 4 --post-percent 50 \
		--timeout-ms 15000 --json >"$dir/load" &
	load=$!
	PROGRAM_PIDS="$PROGRAM_PIDS $load"
	check "t2 works" wait_until control_above "$t2" started 20
	check_status "stop --wait under load" 0 masticmux stop 1 --target t2 \
		--wait
	started=$(control_value "$t2" started)
	check "load goes on" kill -0 "$load"
	forget_program "$load"
	wait "$load"
	check "all answers are whole" grep -q '"checks_hold": true' "$dir/load"
	check "all requests completed" all_completed
	check "none started at t2 afterwards" control_is "$t2" started "$started"
	check "node 1 knows" wait_until shows 1 ' t2 .* draining '
}

all_completed() {
	local sent completed
	sent=$(sed -n 's/.*"sent_requests": \([0-9]*\),*/\1/p' "$dir/load")
	completed=$(sed -n 's/.*"completed_requests": \([0-9]*\),*/\1/p' \
		"$dir/load")
	echo "sent $sent, completed $completed"
	[ "$sent" -gt 0 ] && [ "$sent" = "$completed" ] || {
		cat "$dir/load"
		return 1
	}
}

test_explain() {
	check_status "explain at the node beside" 0 masticmux explain 2 \
		--target t2
	says "place" '^target t2 beside node node-2: draining$'
	says "event" 'Z +planned stop announced, [0-9]+ requests in progress$'
	check_status "explain at another node" 0 masticmux explain 1 \
		--target node-2/t2 --json
	says "event of the directory" 'announced as draining with 3 slots'
	says "event of the node" '"node node-2 is alive, incarnation [0-9]+"'
	check_status "unknown request" 3 masticmux explain 1 \
		--request 4bf92f3577b34da6a3ce929d0e0e4736
	says "unknown request" 'remembers nothing about it'
	check_status "malformed request" 1 masticmux explain 1 --request 4bf9
	check_status "unknown target" 3 masticmux explain 1 --target t9
	check_status "stop of an unknown target" 1 masticmux stop 1 --target t9
	says "unknown target" 'no target of this name'
}

# A node that is paused: the stop was sent on an open connection and its fate is
# not known, or there was no connection and it was not sent.
stop_without_answer() {
	local status
	masticmux stop 1 --target t2 >"$dir/last" 2>&1
	status=$?
	cat "$dir/last"
	case $status in
	1) last_has 'the planned stop was not announced$' ;;
	3) last_has 'it is not known whether the planned stop began;' ;;
	*) false ;;
	esac
}

test_unreachable() {
	kill -STOP "$node_2"
	check "stop without an answer" stop_without_answer
	says "command" 'masticmux stop --settings .*/node-1.toml --target t2$'
	kill -CONT "$node_2"
	check "repeated" wait_until masticmux stop 1 --target t2
	check "node 2 ends" stop_program "$node_2"
	check "node 1 knows" wait_until shows 1 '^  node-2 .* left '
	check "node 1 ends" stop_program "$node_1"
	check_status "no node" 1 masticmux stop 1 --target t1
	says "no node" 'The planned stop was not announced'
	check_status "no node" 1 masticmux status 1
}

start_fleet || exit 1
test_publish
test_status
test_request_in_progress
test_stop_under_load
test_explain
test_unreachable
[ "$failures" -eq 0 ] && echo "operator: all cases passed"
[ "$failures" -eq 0 ]
