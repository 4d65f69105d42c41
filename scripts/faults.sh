#!/usr/bin/env bash
# Four nodes, the log stand-in and eight targets as processes on loopback, one
# step per failure. Every step runs a load of GET, POST and POST with
# Idempotency-Key and repeats, which checks each answer and what the targets
# ran. Waits for conditions; no duration is asserted.
set -u
export LC_ALL=C.UTF-8
cd "$(dirname "$0")/.." || exit 1
. scripts/lib.sh

program=${PROGRAM:-build/masticmux}
standin=${STANDIN:-build/masticmux-standin}
NODES=4
TARGETS=8
host=jobs.example
dir=$(mktemp -d)
trap 'stop_programs; rm -rf "$dir"' EXIT
trap 'exit 1' INT TERM
failures=0
checks=0
step=setup
declare -a node_pid callers announce target

# check NAME COMMAND...: the command must succeed.
check() {
	local name=$1
	shift
	checks=$((checks + 1))
	"$@" >"$dir/last" 2>&1 && return
	echo "FAIL  $step: $name: $*"
	cat "$dir/last"
	failures=$((failures + 1))
	return 1
}
not() { ! "$@"; }
is_either() { [ "$1" = "$2" ] || is "$1" "$3"; }
is() { [ "$1" = "$2" ] || { echo "'$1' instead of '$2'" && false; }; }

masticmux() { # COMMAND NODE ARGUMENT...
	local command=$1 node=$2
	shift 2
	"$program" "$command" --settings "$dir/node-$node.toml" "$@"
}
shows() { masticmux status "$1" 2>&1 | grep -q -E -- "$2"; }
set_fault() { curl -s -f -o /dev/null -d "$2" "http://$1/control"; }
control_value() {
	curl -s "http://$1/control" | sed -E "s/.*\"$2\":([0-9]+)[,}].*/\\1/"
}
control_above() { [ "$(control_value "$1" "$2")" -gt "$3" ]; }

# Settings of all nodes on ports that stay theirs over restarts. Each node has
# the other nodes as seeds.
write_settings() {
	local i j all seeds region
	fleet_keys="\"test:$(printf '%064d' 7)\""
	free_ports $((4 * NODES))
	all=("${ports[@]}")
	for ((i = 1; i <= NODES; i++)); do
		seeds=
		for ((j = 1; j <= NODES; j++)); do
			[ $j = $i ] && continue
			seeds="$seeds${seeds:+, }\"127.0.0.1:${all[4 * j - 3]}\""
		done
		region=$([ $i -le 2 ] && echo north || echo south)
		ports=("${all[@]:4 * (i - 1):4}")
		callers[i]=127.0.0.1:${ports[0]}
		announce[i]=127.0.0.1:${ports[2]}
		node_settings "node-$i" $region "$region-$i" "$seeds" "$log" \
			>"$dir/node-$i.toml"
	done
}

node_listens() {
	kill -0 "${node_pid[$1]}" 2>/dev/null &&
		! port_is_free "${callers[$1]##*:}" &&
		! port_is_free "${announce[$1]##*:}"
}
start_node() { # NODE
	"$program" node --settings "$dir/node-$1.toml" \
		2>>"$dir/node-$1.log" &
	node_pid[$1]=$!
	PROGRAM_PIDS="$PROGRAM_PIDS $!"
}
kill_node() { # NODE
	forget_program "${node_pid[$1]}"
	kill -KILL "${node_pid[$1]}"
	wait "${node_pid[$1]}" 2>/dev/null
	return 0
}

change() { # TEMPLATE_BASE SERVICE_BASE ROUTE_HOST
	cat <<-END
		[change]
		publisher = "faults"
		[template.lookup]
		base = $1
		deadline_ms = 1500
		floor_percent = 50
		detection_weight = 100
		[service.jobs]
		base = $2
		template = "lookup"
		route = [ { host = "$host" }, { host = "$3" } ]
	END
}

# Sets revision when the change was accepted.
publish() { # NODE ARGUMENT...
	local status
	masticmux publish "$@" >"$dir/publish" 2>&1
	status=$?
	cat "$dir/publish"
	[ $status = 0 ] && revision=$(sed -n \
		's/^accepted: revision \([0-9]*\),.*/\1/p' "$dir/publish")
	return $status
}
publish_status() { # WANTED NODE ARGUMENT...
	local status wanted=$1
	shift
	publish "$@"
	status=$?
	is "exit status $status" "exit status $wanted"
}

applied() {
	masticmux status "$1" --json --targets none |
		tr -d ' \n' | sed -E 's/.*"configuration":\{"applied":([0-9]+),.*/\1/'
}
has_applied() { is "$(applied "$1")" "$2"; }
# in_force REVISION: every node has exactly this revision in force.
in_force() {
	local i
	for ((i = 1; i <= NODES; i++)); do
		has_applied $i "$1" || return 1
	done
}

sees_all() {
	masticmux status "$1" >"$dir/status" 2>&1 &&
		grep -q "^members: $NODES alive" "$dir/status" &&
		[ "$(grep -c ' jobs .* warm ' "$dir/status")" = $TARGETS ]
}
all_see_all() {
	local i
	for ((i = 1; i <= NODES; i++)); do
		sees_all $i || return 1
	done
}

# load OUTPUT NODES SECONDS OPTION...: NODES are separated by commas.
load() {
	local output=$1 nodes=$2 seconds=$3
	shift 3
	"$standin" load --node "$nodes" --host $host --rate 150 \
		--duration-s "$seconds" --post-percent 40 --key-percent 50 \
		--repeat-percent 30 --timeout-ms 1500 --seed $((++seed)) \
		--min-completed 0 --connections 64 \
		--check-targets "$all_targets" "$@" >"$output" 2>&1
}
seed=0

# Runs one load after the other until end_loads, so that the load lasts as long
# as the step. NAME is a part of the names of the output files.
begin_loads() { # NAME NODES OPTION...
	local name=$1 nodes=$2
	shift 2
	(
		trap - EXIT
		n=0
		while [ ! -e "$dir/$name.end" ]; do
			n=$((n + 1))
			load "$dir/$name.$n.load" "$nodes" 1 "$@"
			echo $? >>"$dir/$name.statuses"
		done
	) &
	eval "loads_$name=$!"
	# The step starts when requests run.
	wait_until loads_run
}
loads_run() { control_above "${target[1]}" started 0; }
end_loads() { # NAME
	local pid=loads_$1
	: >"$dir/$1.end"
	wait "${!pid}"
	cat "$dir/$1".*.load >"$dir/$1.all"
}
# Every answer whole and its caller's own, none run twice, no wrong not-run.
loads_hold() {
	not grep -q -v -x 0 "$dir/$1.statuses" &&
		grep -q -x "checks hold" "$dir/$1.all" && return
	cat "$dir/$1.all"
	return 1
}
count_of() { # NAME PATTERN
	sed -n -E "s/^$2: ([0-9]+) requests\$/\\1/p" "$dir/$1.all" |
		awk '{ n += $1 } END { print n + 0 }'
}
# loads_lack NAME PATTERN: no line of the results has the pattern.
loads_lack() {
	not grep -E "$2" "$dir/$1.all" && return
	cat "$dir/$1.all"
	return 1
}
sum_loads() { # NAME
	printf '      %s: %s sent, %s completed, %s not-run, %s unknown, %s without answer\n' \
		"$1" "$(sed -n 's/^sent \([0-9]*\) .*/\1/p' "$dir/$1.all" |
			awk '{ n += $1 } END { print n + 0 }')" \
		"$(count_of "$1" 'outcomes: completed')" \
		"$(count_of "$1" 'outcomes: not-run')" \
		"$(count_of "$1" 'outcomes: unknown')" \
		"$(count_of "$1" 'errors: .*')"
}

# Without repeats, which may be told unknown while the first request runs.
recovers() {
	load "$dir/recovery" "$all_nodes" 0.5 --repeat-percent 0 || {
		cat "$dir/recovery" >>"$dir/violations"
		return 1
	}
	not grep -E '^errors: |^outcomes: (not-run|unknown|none): ' \
		"$dir/recovery"
}
check_recovery() {
	check "all nodes see all targets" wait_until all_see_all
	check "everything completes again" wait_until recovers
	check "nothing is violated meanwhile" not cat "$dir/violations"
	rm -f "$dir/violations"
}

node_has_begun() {
	! kill -0 "${node_pid[$1]}" 2>/dev/null || node_listens "$1"
}
# Another process may take a port between the search and the start; then other
# ports are tried.
start_nodes() {
	local i tries
	for tries in 1 2 3 4 5; do
		write_settings
		for ((i = 1; i <= NODES; i++)); do
			start_node $i
		done
		for ((i = 1; i <= NODES; i++)); do
			wait_until node_has_begun $i && node_listens $i || break
		done
		[ $i -gt $NODES ] && return
		for ((i = 1; i <= NODES; i++)); do
			kill_node $i 2>/dev/null
		done
	done
	cat "$dir"/node-*.log >&2
	return 1
}

start_fleet() {
	local i
	start_program "$dir/log" "$standin" log --listen 127.0.0.1:0 \
		--control 127.0.0.1:0 || return 1
	log=$program_address
	log_control=$program_control
	start_nodes || return 1
	for ((i = 1; i <= TARGETS; i++)); do
		wait_until node_listens $(((i + 1) / 2)) || return 1
		start_program "$dir/target-$i" "$standin" target \
			--listen 127.0.0.1:0 --name "target-$i" \
			--service jobs --slots 3 --latency-ms 8 \
			--distribution exponential --seed "$i" \
			--announce "${announce[(i + 1) / 2]}" || return 1
		target[i]=$program_address
	done
	all_nodes=$(IFS=,; echo "${callers[*]}")
	all_targets=$(IFS=,; echo "${target[*]}")
	change 0 0 first.example >"$dir/first.toml"
	wait_until publish 1 --wait "$dir/first.toml" >"$dir/last" && return
	cat "$dir/last"
	return 1
}

# Requests through a node that dies must not run twice or be reported as
# not-run, and the other nodes must go on answering.
step_killed_node_loses_only_its_own_callers() {
	begin_loads killed "$all_nodes"
	begin_loads rest "${callers[1]},${callers[2]},${callers[4]}"
	kill_node 3
	check "others notice" wait_until shows 1 \
		'^  node-3 .* (unreachable|dead) '
	start_node 3
	check "comes back" wait_until all_see_all
	end_loads killed
	end_loads rest
	check "load through all nodes" loads_hold killed
	check "load through the others" loads_hold rest
	check "the others answer everything" loads_lack rest '^errors: '
	sum_loads killed
	sum_loads rest
	check_recovery
}

# A paused process that resumes must not start requests whose callers were
# told something else meanwhile.
step_paused_node_runs_nothing_stale() {
	begin_loads paused "$all_nodes"
	begin_loads others "${callers[1]},${callers[3]},${callers[4]}"
	kill -STOP "${node_pid[2]}"
	check "others notice" wait_until shows 1 \
		'^  node-2 .* dead '
	kill -CONT "${node_pid[2]}"
	check "comes back" wait_until all_see_all
	end_loads paused
	end_loads others
	check "load through all nodes" loads_hold paused
	check "load through the others" loads_hold others
	check "the others answer everything" loads_lack others '^errors: '
	sum_loads paused
	sum_loads others
	check_recovery
}

# A planned restart must not cut a request or leave its fate unknown. A refused
# connection lets the caller use another node, and so does a refusal as not-run
# by a node that ends or that has no configuration yet. There are no repeats,
# which may be told unknown while the first request runs.
step_rolling_restart_loses_no_request() {
	local i
	begin_loads rolling "$all_nodes" --repeat-percent 0
	for ((i = 1; i <= NODES; i++)); do
		check "node $i exits with status 0" stop_program "${node_pid[i]}"
		check "node $i has left" wait_until shows $((i % NODES + 1)) \
			"^  node-$i .* left "
		start_node $i
		check "node $i comes back" wait_until all_see_all
	done
	end_loads rolling
	check "load" loads_hold rolling
	check "no request is lost" not lost rolling
	sum_loads rolling
	check_recovery
}
lost() {
	grep -E '^(errors|outcomes|reasons): ' "$dir/$1.all" |
		grep -v -E '^errors: cannot connect: ' |
		grep -v -E '^outcomes: (completed|not-run): ' |
		grep -v -E '^reasons: (shutting-down|no-configuration): '
}

# Keyed requests while the log gives no answer must be refused as not run; the
# configuration in force must stay, and other requests must complete.
log_outage() { # OUTAGE
	local before=$revision status
	set_fault "$log_control" "{\"outage\":\"$1\"}"
	begin_loads "keyed_$1" "$all_nodes" --rate 30 --post-percent 100 \
		--key-percent 100
	begin_loads "plain_$1" "$all_nodes" --key-percent 0
	change "$revision" "$revision" "$1.example" >"$dir/$1.toml"
	masticmux publish 2 --timeout 1 --id "id-$1" "$dir/$1.toml" \
		>"$dir/publish" 2>&1
	status=$?
	check "publish during $1 says unknown or unavailable" \
		grep -q -E '^(unknown|unavailable): ' "$dir/publish"
	check "publish exit status" is_either "$status" 3 4
	check "configuration stays" in_force "$before"
	end_loads "keyed_$1"
	end_loads "plain_$1"
	check "keyed requests" loads_hold "keyed_$1"
	check "keyed requests are told not-run" loads_lack "keyed_$1" \
		'^errors: |^outcomes: (completed|unknown|none): '
	check "other requests" loads_hold "plain_$1"
	check "other requests complete" loads_lack "plain_$1" \
		'^errors: |^outcomes: (not-run|unknown|none): '
	check "some are refused" not is 0 \
		"$(count_of "keyed_$1" 'outcomes: not-run')"
	sum_loads "keyed_$1"
	sum_loads "plain_$1"
	set_fault "$log_control" '{"outage":"none"}'
	settle $status "id-$1" "$dir/$1.toml"
}
# After an outage the fate of the change is settled; one that is not in the log
# is published again under its id. STATUS is what publish said: 3, then it is
# not in the log; or 4, then it may be.
settle() { # STATUS ID FILE
	publish 2 --settle "$2" >"$dir/settled" 2>&1
	case $? in
	0) check "publish was right" is "$1" 4 ;;
	3) check "not-found is said" grep -q '^not-found: ' "$dir/settled"
		check "publish again" publish_status 0 3 --id "$2" "$3" ;;
	*) check "settle has a verdict" false ;;
	esac
	check "in force everywhere" wait_until in_force "$revision"
}

step_log_without_answers_keeps_the_configuration() {
	log_outage silent
	log_outage refuse
	check_recovery
}

# An append that takes effect although its answer is lost must neither run a
# request twice nor publish a change twice.
step_lost_append_answers_are_found_in_the_log() {
	local status pending
	set_fault "$log_control" '{"lose_answers":1000000,"lose_mode":"close"}'
	begin_loads lossy "$all_nodes" --post-percent 100 --key-percent 100
	change "$revision" "$revision" lossy.example >"$dir/lossy.toml"
	check "answers are lost" wait_until control_above "$log_control" \
		answers_lost 0
	check "publish finds its record" publish_status 0 2 "$dir/lossy.toml"
	check "in force everywhere" wait_until in_force "$revision"
	end_loads lossy
	check "keyed requests" loads_hold lossy
	check "all are answered" loads_lack lossy '^errors: '
	check "some complete" not is 0 \
		"$(count_of lossy 'outcomes: completed')"
	sum_loads lossy

	set_fault "$log_control" \
		'{"lose_answers":1000000,"lose_mode":"silent"}'
	change "$revision" "$revision" unknown.example >"$dir/unknown.toml"
	masticmux publish 2 --timeout 3 --id id-unknown "$dir/unknown.toml" \
		>"$dir/publish-unknown" 2>&1 &
	pending=$!
	PROGRAM_PIDS="$PROGRAM_PIDS $pending"
	check "the record is in the log" wait_until log_has id-unknown
	set_fault "$log_control" '{"outage":"silent"}'
	forget_program $pending
	wait $pending
	status=$?
	check "publish says unknown or accepted" is_either "$status" 0 4
	set_fault "$log_control" '{"outage":"none","lose_answers":0}'
	check "settle says accepted" publish_status 0 2 --settle id-unknown
	check "in force everywhere" wait_until in_force "$revision"
	check_recovery
}

log_has() { # ID
	curl -s "http://$log/streams/config?from=0&max=4096" | grep -q "$1"
}

serves() { # NODE HOST
	[ "$(curl -s -o /dev/null -w '%{http_code}' -H "Host: $2" \
		-H 'X-Request-Key: probe' "http://${callers[$1]}/")" = 200 ]
}
serves_only() { # HOST OTHER
	local i
	for ((i = 1; i <= NODES; i++)); do
		serves $i "$1" || { echo "node $i: no $1" && return 1; }
		serves $i "$2" && echo "node $i: has $2" && return 1
	done
	return 0
}

# Of two changes of the same revision exactly one is accepted, the same one at
# every node.
step_conflicting_changes_have_one_winner() {
	local round first second winner loser
	for round in 1 2; do
		change "$revision" "$revision" "a$round.example" >"$dir/a.toml"
		change "$revision" "$revision" "b$round.example" >"$dir/b.toml"
		masticmux publish 1 "$dir/a.toml" >"$dir/publish-a" 2>&1 &
		first=$!
		masticmux publish 3 "$dir/b.toml" >"$dir/publish-b" 2>&1 &
		second=$!
		wait $first
		first=$?
		wait $second
		second=$?
		check "one is accepted, one rejected" is_either \
			"$first $second" "0 3" "3 0"
		winner=$([ $first = 0 ] && echo a || echo b)
		loser=$([ $first = 0 ] && echo b || echo a)
		check "reason" grep -q '^rejected: ' "$dir/publish-$loser"
		revision=$(sed -n 's/^accepted: revision \([0-9]*\),.*/\1/p' \
			"$dir/publish-$winner")
		check "same at every node" wait_until serves_only \
			"$winner$round.example" "$loser$round.example"
	done
	# The rejected record has an offset, too.
	check "same offset everywhere" wait_until same_offset
}
same_offset() { in_force "$(applied 1)"; }

# The configuration must outlive every process that held it, through peers
# while the log is down, and from the log alone.
step_configuration_outlives_all_nodes() {
	local i before
	before=$(applied 1)
	set_fault "$log_control" '{"outage":"refuse"}'
	for ((i = 1; i <= NODES; i++)); do
		kill_node $i
		start_node $i
		check "node $i has it from a peer" wait_until has_applied $i \
			"$before"
	done
	check "served" wait_until serves_everywhere
	set_fault "$log_control" '{"outage":"none"}'
	check_recovery
	for ((i = 1; i <= NODES; i++)); do
		kill_node $i
	done
	for ((i = 1; i <= NODES; i++)); do
		start_node $i
	done
	check "it comes back from the log" wait_until in_force "$before"
	check "served" wait_until serves_everywhere
	check_recovery
}
serves_everywhere() {
	local i
	for ((i = 1; i <= NODES; i++)); do
		serves $i $host || return 1
	done
}

# Requests on connections that became silent must not run twice, and new
# connections must carry the others.
step_silent_connections_are_replaced() {
	local i frozen
	begin_loads frozen "$all_nodes"
	for i in 1 5; do
		check "t$i works" wait_until control_above "${target[i]}" \
			started 0
		set_fault "${target[i]}" '{"freeze_open":true}'
	done
	for i in 1 5; do
		check "t$i was silent" wait_until control_above "${target[i]}" \
			requests_frozen 0
		frozen=$(control_value "${target[i]}" started)
		check "t$i works on new connections" wait_until control_above \
			"${target[i]}" started "$frozen"
	done
	end_loads frozen
	check "load" loads_hold frozen
	check "all are answered" loads_lack frozen '^errors: '
	sum_loads frozen
	check_recovery
}

# A late, truncated or missing answer must never be passed on as a whole one,
# short (kept until complete) or long (forwarded as it arrives).
step_broken_answers_are_never_whole() {
	break_answers late late_ms 2500 0
	break_answers cut_short cut_bytes 40 -1 answers_cut
	break_answers cut_long cut_bytes 100000 -1 answers_cut
	break_answers closed close_without_answer true false
	check "answers were cut" control_above "${target[2]}" answers_cut 0
	check "long answers are cut on their way" not is 0 \
		"$(count_of cut_long_long 'errors: connection closed .*')"
	check "short answers are kept until complete" loads_lack \
		cut_short_short '^errors: '
	check_recovery
}
# After the faults before, the nodes avoid the broken targets for a while. With
# COUNTER, the load lasts until this counter of theirs has risen, so that some
# requests have met the fault.
break_answers() { # NAME FAULT BAD GOOD [COUNTER]
	local size name before
	[ -z "${5:-}" ] || before=$(broken_count "$5")
	set_fault "${target[2]}" "{\"$2\":$3}"
	set_fault "${target[7]}" "{\"$2\":$3}"
	begin_loads "$1_short" "$all_nodes" --rate 80
	begin_loads "$1_long" "$all_nodes" --rate 80 --response-bytes 200000
	[ -z "${5:-}" ] || check "$1: $5 rises" \
		wait_until broken_count_above "$5" "$before"
	for size in short long; do
		name=$1_$size
		end_loads "$name"
		check "$name" loads_hold "$name"
		check "$name: some complete" not is 0 \
			"$(count_of "$name" 'outcomes: completed')"
		sum_loads "$name"
	done
	set_fault "${target[2]}" "{\"$2\":$4}"
	set_fault "${target[7]}" "{\"$2\":$4}"
}

# Sum of a counter over the broken targets.
broken_count() { # COUNTER
	echo $(($(control_value "${target[2]}" "$1") +
		$(control_value "${target[7]}" "$1")))
}
broken_count_above() { [ "$(broken_count "$1")" -gt "$2" ]; }

run() {
	local before=$failures
	step=$1
	"$1"
	[ "$failures" = "$before" ] && echo "ok    $1"
	[ "$failures" = "$before" ] || echo "FAIL  $1"
}

start_fleet || exit 1
check_recovery
for name in ${STEPS:-step_killed_node_loses_only_its_own_callers \
	step_paused_node_runs_nothing_stale \
	step_rolling_restart_loses_no_request \
	step_log_without_answers_keeps_the_configuration \
	step_lost_append_answers_are_found_in_the_log \
	step_conflicting_changes_have_one_winner \
	step_configuration_outlives_all_nodes \
	step_silent_connections_are_replaced \
	step_broken_answers_are_never_whole}; do
	run "$name"
done
echo "faults: $checks checks, $failures failed"
[ "$failures" -eq 0 ]
