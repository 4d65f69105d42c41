#!/usr/bin/env bash
# Smoke test of build/masticmux-standin: each fault command once, and each
# check of "load" against a target that breaks it. Guards against stand-ins
# whose faults have no effect and against checks that cannot fail. Waits for
# conditions; no duration is asserted.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/lib.sh

standin=${STANDIN:-build/masticmux-standin}
dir=$(mktemp -d)
trap 'stop_programs; rm -rf "$dir"' EXIT

get() { curl -s -S "$@"; }
refuses_fault() { [ "$(status_of -d "$2" "http://$1/control")" = 400 ]; }
control_at_least() { [ "$(control_value "$1" "$2")" -ge "$3" ]; }
contains() { grep -q -F -- "$2" "$1"; }
text_is() { [ "$1" = "$2" ]; }
status_of() { curl -s -o /dev/null -w '%{http_code}' "$@"; }
# A request whose answer does not come yet; sets pending_pid.
begin_pending() {
	curl -s -i -o "$dir/pending" "$@" &
	pending_pid=$!
	PROGRAM_PIDS="$PROGRAM_PIDS $pending_pid"
}
# finish_pending: waits for the answer of the pending request.
finish_pending() {
	forget_program "$pending_pid"
	wait "$pending_pid"
}

# freezes ADDRESS PATH COUNT: a connection that is open when freeze_open is set gets
# no second answer, a new one does.
freezes() {
	local socket line count
	count=$(control_value "$1" "$3")
	exec {socket}<>"/dev/tcp/${1%:*}/${1##*:}" || return 1
	printf 'GET %s HTTP/1.1\r\nHost: shop\r\n\r\n' "$2" >&"$socket"
	read -r line <&"$socket"
	set_fault "$1" '{"freeze_open":true}'
	printf 'GET %s HTTP/1.1\r\nHost: shop\r\n\r\n' "$2" >&"$socket"
	wait_until control_is "$1" "$3" $((count + 1)) &&
		[ "$(status_of "http://$1$2")" = 200 ]
	line=$?
	exec {socket}>&-
	set_fault "$1" '{"freeze_open":false}'
	return "$line"
}

append() { get -d "$2" "http://$log/streams/$1"; }
read_stream() { get "http://$log/streams/$1?from=$2&max=10&wait_ms=$3"; }

test_log() {
	start_program "$dir/log" "$standin" log --listen 127.0.0.1:0 \
		--control 127.0.0.1:0 || return 1
	log=$program_address
	log_control=$program_control
	log_pid=$program_pid
	check "first offset" text_is "$(append a one)" '{"offset":1}'
	check "second offset" text_is "$(append a two)" '{"offset":2}'
	check "own offsets" text_is "$(append b one)" '{"offset":1}'
	check "read" text_is "$(read_stream a 2 0)" \
		'{"first":1,"next":3,"records":[{"offset":2,"data":"two"}]}'
	begin_pending "http://$log/streams/a?from=3&max=1&wait_ms=60000"
	check "long poll waits" wait_until control_is "$log" waiting 1
	append a three >/dev/null
	check "long poll returns" finish_pending
	check "long poll record" contains "$dir/pending" '"offset":3'
	check "wait runs out" text_is "$(read_stream a 4 1)" \
		'{"first":1,"next":4,"records":[]}'
	check "unknown fault" refuses_fault "$log" '{"outrage":true}'
	check "wrong value" refuses_fault "$log" '{"slow_ms":"long"}'

	set_fault "$log" '{"lose_answers":1}'
	check_status "lost answer" 52 append a lost
	check "append took effect" text_is "$(read_stream a 4 0)" \
		'{"first":1,"next":5,"records":[{"offset":4,"data":"lost"}]}'
	check "only one lost" text_is "$(append a next)" '{"offset":5}'
	set_fault "$log" '{"lose_answers":1,"lose_mode":"silent"}'
	begin_pending -d silent "http://$log/streams/a"
	check "silent append" wait_until control_is "$log" answers_lost 2
	stop_program "$pending_pid"
	check "peer closed" wait_until control_is "$log" peers_closed 1

	set_fault "$log" '{"outage":"refuse"}'
	check_status "refused" 7 append a refused
	set_fault "$log_control" '{"outage":"none"}'
	check "accepts again" text_is "$(append a back)" '{"offset":7}'
	set_fault "$log" '{"outage":"silent"}'
	begin_pending -d silent "http://$log/streams/a"
	check "unanswered" wait_until control_is "$log" requests_unanswered 1
	stop_program "$pending_pid"
	set_fault "$log" '{"outage":"none","slow_ms":600000}'
	begin_pending -d slow "http://$log/streams/a"
	check "slow waits" wait_until control_is "$log" waiting 1
	stop_program "$pending_pid"
	set_fault "$log" '{"slow_ms":10}'
	check "slow answers" text_is "$(append a slow)" '{"offset":8}'
	set_fault "$log" '{"slow_ms":0,"duplicate":true}'
	check "duplicate" text_is "$(append d twice)" '{"offset":1}'
	check "duplicate delivered" text_is "$(read_stream d 1 0)" \
		'{"first":1,"next":3,"records":[{"offset":1,"data":"twice"},{"offset":2,"data":"twice"}]}'
	set_fault "$log" '{"duplicate":false}'
	check "freezes open connections" freezes "$log" \
		"/streams/a?from=1" requests_unanswered
	check "not UTF-8" text_is \
		"$(printf '\377' | status_of --data-binary @- "http://$log/streams/a")" 400
}

expired() { read_stream r 1 0 | grep -q '"first":2,"next":2'; }
limited() { [ "$(status_of -d x "http://$log/streams/r")" = 429 ]; }

test_log_limits() {
	start_program "$dir/log2" "$standin" log --listen 127.0.0.1:0 \
		--retention-s 1 --appends-per-s 1 || return 1
	log=$program_address
	append r old >/dev/null
	check "records expire" wait_until expired
	check "append rate" wait_until limited
	stop_program "$program_pid"
}

real_status() { status_of "$@" "http://$target/real"; }
flapped() { [ "$(real_status)" = "$1" ]; }
announced() {
	get "http://$log/streams/announcements?max=4096" |
		grep -q -F "\\\"state\\\":\\\"$1\\\""
}

test_announcements() {
	start_program "$dir/t0" "$standin" target --listen 127.0.0.1:0 \
		--name t0 --service shop --announce "$log" --lease-ms 60 \
		--announce-path /streams/announcements || return 1
	target=$program_address
	check "announces" wait_until announced warm
	check "renews" wait_until control_at_least "$target" \
		announcements_accepted 3
	get "http://$log/streams/announcements?max=1" >"$dir/record"
	for part in name service address port slots state load lease_ms; do
		check "announces $part" contains "$dir/record" "\\\"$part\\\":"
	done
	set_fault "$target" '{"draining":true}'
	check "announces draining" wait_until announced draining
	real_status >/dev/null
	check "counts while draining" control_is "$target" \
		requests_draining 1
	set_fault "$target" '{"stop_announcing":true}'
	sleep 0.2
	before=$(control_value "$target" announcements_accepted)
	sleep 0.3
	check "stops announcing" control_is "$target" \
		announcements_accepted "$before"
	set_fault "$target" '{"stop_announcing":false}'
	check "announces again" wait_until control_at_least "$target" \
		announcements_accepted $((before + 2))
	check "ends" stop_program "$program_pid"
}

test_target_faults() {
	start_program "$dir/t1" "$standin" target --listen 127.0.0.1:0 \
		--control 127.0.0.1:0 --name t1 --service shop --slots 1 \
		--queue 1 --latency-ms 1 --distribution pareto || return 1
	target=$program_address
	check "answers" text_is \
		"$(get -H 'X-Request-Key: k1' -d hello "http://$target/x")" \
		'{"key":"k1","target":"t1","checksum":"26c7827d889f6da3","bytes":5}'
	check "counts" contains <(get "http://$target/executions") \
		'"k1":{"started":1,"finished":1}'
	get -H 'X-Request-Key: k2' -H 'X-Response-Bytes: 100000' \
		-o "$dir/bytes" "http://$target/x"
	check "sized answer" text_is "$(wc -c <"$dir/bytes")" 100000

	set_fault "$target" '{"stall":true}'
	begin_pending "http://$target/x"
	check "stalls" wait_until control_is "$target" stalled 1
	check "probe while stalled" text_is \
		"$(status_of "http://$target/probe")" 200
	first_pid=$pending_pid
	begin_pending -H 'Masticmux-Timeout-Ms: 50' "http://$target/x"
	check "queue deadline" finish_pending
	check "refuses after the deadline" contains "$dir/pending" \
		'X-Target-Result: refused'
	begin_pending "http://$target/x"
	check "queues" wait_until control_is "$target" queued 1
	check "refuses beyond the queue" text_is "$(real_status)" 503
	set_fault "$target" '{"stall":false}'
	check "continues" finish_pending
	pending_pid=$first_pid
	check "continues the first" finish_pending

	set_fault "$target" '{"slow_factor":100000}'
	begin_pending "http://$target/x"
	check "slow" wait_until control_is "$target" running 1
	stop_program "$pending_pid"
	check "cancels" wait_until control_is "$target" cancelled_by_peer 1
	check "deadline" text_is \
		"$(real_status -H 'Masticmux-Timeout-Ms: 20')" 504
	set_fault "$target" '{"ignore_cancel":true}'
	begin_pending "http://$target/x"
	check "runs" wait_until control_is "$target" running 1
	stop_program "$pending_pid"
	set_fault "$target" '{"slow_factor":1,"stall":true}'
	set_fault "$target" '{"stall":false}'
	check "runs on without a peer" wait_until control_is "$target" \
		answers_withheld 1
	set_fault "$target" '{"ignore_cancel":false,"error_percent":100}'
	check "errors" text_is "$(real_status)" 500
	set_fault "$target" '{"error_percent":0,"flap_period_ms":200}'
	check "flaps to bad" wait_until flapped 500
	check "flaps to good" wait_until flapped 200
	set_fault "$target" '{"flap_mode":"stall"}'
	requests_before=$(control_value "$target" requests)
	check "flaps to stall" wait_until flap_stalls
	set_fault "$target" '{"flap_period_ms":0,"flap_mode":"error"}'

	check "freezes open connections" freezes "$target" /x requests_frozen
	set_fault "$target" '{"late_ms":600000}'
	begin_pending -H 'X-Request-Key: k3' "http://$target/x"
	check "finishes before a late answer" wait_until contains_execution \
		'"k3":{"started":1,"finished":1}'
	check "no answer yet" kill -0 "$pending_pid"
	stop_program "$pending_pid"
	set_fault "$target" '{"late_ms":0,"cut_bytes":10}'
	check_status "cut short" 18 get -o /dev/null "http://$target/x"
	set_fault "$target" '{"cut_bytes":0}'
	check_status "cut at once" 52 get -o /dev/null "http://$target/x"
	set_fault "$target" '{"cut_bytes":-1,"close_without_answer":true}'
	check_status "closed" 52 get "http://$target/x"
	set_fault "$target" \
		'{"close_without_answer":false,"refuse_from":"127.0.0.1"}'
	check_status "refused from one side" 56 get "http://$target/x"
	set_fault "$target" '{"refuse_from":"127.0.0.9"}'
	check "other side" text_is "$(real_status)" 200
	set_fault "$target" '{"refuse_from":"","refuse":true}'
	check_status "refuses connections" 7 get "http://$target/x"
	set_fault "$program_control" '{"refuse":false}'
	check "accepts connections" text_is "$(real_status)" 200
	check "ends" stop_program "$program_pid"
}

contains_execution() { get "http://$target/executions" | grep -q -F "$1"; }
# Sends one request and succeeds when it meets the stalling half.
flap_stalls() {
	local status
	begin_pending "http://$target/x"
	wait_until begun "$requests_before"
	control_is "$target" stalled 1
	status=$?
	finish_pending
	requests_before=$((requests_before + 1))
	return "$status"
}
begun() { control_at_least "$target" requests $(($1 + 1)); }

run_load() {
	"$standin" load --host shop --rate 400 --duration-s 0.2 \
		--post-percent 50 --timeout-ms 20000 "$@"
}
direct() {
	run_load --node "$target" --direct --check-targets "$target" "$@"
}
# broken FAULT TEXT [OPTION...]: load must report the violation.
broken() {
	local fault=$1 text=$2
	shift 2
	set_fault "$target" "$fault"
	check_status "load detects $fault" 1 direct "$@"
	check "load says '$text'" contains "$dir/last" "$text"
	set_fault "$target" '{"duplicate":false,"swap_answers":false,
		"corrupt":false,"run_refused":false,"hide_executions":false,
		"close_without_answer":false,"cut_bytes":-1}'
}

test_load() {
	start_program "$dir/t2" "$standin" target --listen 127.0.0.1:0 \
		--name t2 --service shop --slots 1000 --latency-ms 1 ||
		return 1
	target=$program_address
	check_status "good load" 0 direct
	check "checks hold" contains "$dir/last" "checks hold"
	check_status "good load, large bodies" 0 direct \
		--request-bytes 200000 --response-bytes 300000
	check_status "closed loop" 0 direct --saturate --connections 4 --json
	check "checks hold" contains "$dir/last" '"checks_hold": true'

	broken '{"duplicate":true}' "request ran more than once"
	broken '{"swap_answers":true}' "belongs to another request"
	broken '{"corrupt":true}' "content is wrong"
	broken '{"corrupt":true}' "content is wrong" --response-bytes 70000
	broken '{"swap_answers":true}' "belongs to another request" \
		--response-bytes 70000
	broken '{"run_refused":true}' "not-run request was started"
	broken '{"hide_executions":true}' "completed request did not finish"
	broken '{"cut_bytes":5}' "too few completed requests"
	check "counts cut answers" contains "$dir/last" \
		"connection closed before the end of the answer"
	broken '{"close_without_answer":true}' "too few completed requests"
	broken '{}' "request ran more than once" \
		--key-percent 100 --repeat-percent 100
	check_status "load detects a missing outcome" 1 \
		run_load --node "$target"
	check "load says so" contains "$dir/last" "answer without outcome"
	check "ends" stop_program "$program_pid"
	check_status "load without target" 1 run_load --node "$target" --direct
	check "counts refused connections" contains "$dir/last" \
		"cannot connect"
}

test_load_untracked() {
	start_program "$dir/t3" "$standin" target --listen 127.0.0.1:0 \
		--name t3 --service shop --slots 1000 --max-keys 1 || return 1
	target=$program_address
	check_status "load detects untracked keys" 1 direct
	check "load says so" contains "$dir/last" "cannot be read whole"
	check "ends" stop_program "$program_pid"
}

test_usage() {
	check_status "no subcommand" 2 "$standin"
	check_status "unknown option" 2 "$standin" load --unknown
	check_status "bad address" 2 "$standin" log --listen nowhere
	check_status "no name" 2 "$standin" target --listen 127.0.0.1:0
	check_status "bad rate" 2 "$standin" load --node 127.0.0.1:1 \
		--host shop --rate 0
}

run() { "$@" || { echo "FAIL  $*"; failures=$((failures + 1)); }; }

run test_log
run test_announcements
check "log ends" stop_program "$log_pid"
run test_log_limits
run test_target_faults
run test_load
run test_load_untracked
run test_usage
if [ "$failures" -eq 0 ]; then
	echo "standin: all checks passed"
else
	echo "standin: $failures checks failed"
fi
[ "$failures" -eq 0 ]
