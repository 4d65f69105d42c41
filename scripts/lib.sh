# Shared by the scripts: package installation, processes, settings of nodes,
# control of the stand-ins, and checks that count failures.

PACKAGES="python3 g++ make pkg-config clang-format clang-tidy curl libevent-dev
	libevhtp-dev libtirpc-dev libglib2.0-dev libssl-dev libxxhash-dev
	libjansson-dev libtomlplusplus-dev libcunit1-dev liblua5.4-dev
	zlib1g-dev"

install_packages() {
	local missing="" name
	for name in $PACKAGES; do
		dpkg -s "$name" >/dev/null 2>&1 || missing="$missing $name"
	done
	[ -z "$missing" ] && return 0
	apt-get update -q
	# shellcheck disable=SC2086
	DEBIAN_FRONTEND=noninteractive apt-get install -q -y \
		--no-install-recommends $missing
}

# Processes that start_program started and stop_program has not ended yet.
PROGRAM_PIDS=""

# start_program OUTPUT COMMAND...
# Starts a program in the background and waits for its line "listening
# ADDRESS" in OUTPUT; standard error goes to OUTPUT.err. Sets program_pid and
# program_address, and program_control when a line "control ADDRESS" precedes.
start_program() {
	local output=$1 tries=0
	shift
	: >"$output"
	"$@" >"$output" 2>"$output.err" &
	program_pid=$!
	PROGRAM_PIDS="$PROGRAM_PIDS $program_pid"
	until grep -q '^listening ' "$output"; do
		tries=$((tries + 1))
		if ! kill -0 "$program_pid" 2>/dev/null ||
			[ "$tries" -gt 600 ]; then
			echo "did not start: $*" >&2
			cat "$output.err" >&2
			return 1
		fi
		sleep 0.05
	done
	program_address=$(sed -n 's/^listening //p' "$output" | head -n 1)
	program_control=$(sed -n 's/^control //p' "$output" | head -n 1)
}

# forget_program PID: leaves the process out of stop_programs.
forget_program() {
	local pid rest=""
	for pid in $PROGRAM_PIDS; do
		[ "$pid" = "$1" ] || rest="$rest $pid"
	done
	PROGRAM_PIDS=$rest
}

# stop_program PID: ends a process with SIGTERM and returns its exit status.
stop_program() {
	forget_program "$1"
	kill "$1" 2>/dev/null
	wait "$1" 2>/dev/null
}

# stop_programs: ends every process that is still known, for a trap on EXIT.
stop_programs() {
	local pid
	for pid in $PROGRAM_PIDS; do
		stop_program "$pid"
	done
}

# wait_until COMMAND...: repeats the command until it succeeds, for at most a
# minute, so that the verdict does not depend on the speed of the machine.
wait_until() {
	local end=$((SECONDS + 60))
	until "$@"; do
		if [ "$SECONDS" -ge "$end" ]; then
			echo "never true: $*" >&2
			return 1
		fi
		sleep 0.02
	done
}

# port_is_free PORT: nothing listens there.
port_is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# free_ports COUNT: sets the array ports to different free ports below those
# that the kernel hands out for port 0.
free_ports() {
	local port
	ports=()
	while [ "${#ports[@]}" -lt "$1" ]; do
		port=$((10000 + RANDOM % 20000))
		case " ${ports[*]} " in *" $port "*) continue ;; esac
		port_is_free "$port" && ports+=("$port")
	done
}

# node_settings NAME REGION ZONE SEEDS LOG: settings of a node on the first four
# of the array ports. SEEDS and the variable fleet_keys hold the items of a TOML
# list, and LOG is an address.
node_settings() {
	cat <<-END
		[node]
		name = "$1"
		region = "$2"
		zone = "$3"
		fleet_keys = [${fleet_keys:-}]
		[listen]
		callers = "127.0.0.1:${ports[0]}"
		nodes = "127.0.0.1:${ports[1]}"
		announce = "127.0.0.1:${ports[2]}"
		operator = "127.0.0.1:${ports[3]}"
		[fleet]
		seeds = [$4]
		[log_service]
		address = "$5"
		retention_s = 3600
	END
}

# Requests to the control address of a stand-in.

# set_fault ADDRESS JSON
set_fault() { curl -s -f -o /dev/null -d "$2" "http://$1/control"; }
# control_value ADDRESS KEY: prints a number.
control_value() {
	curl -s -S "http://$1/control" |
		sed -E "s/.*\"$2\":([0-9]+)[,}].*/\\1/"
}
# control_is ADDRESS KEY VALUE
control_is() { curl -s -S "http://$1/control" | grep -q "\"$2\":$3[,}]"; }

# Checks of a test script, which sets dir to a directory of its own and ends
# with an error when failures is above 0.
failures=0

# check NAME COMMAND...: the command must succeed. Its output goes to a file of
# its own, so that it can read $dir/last.
check() {
	local name=$1
	shift
	"$@" >"$dir/checked" 2>&1 && return
	echo "FAIL  $name: $*"
	cat "$dir/checked"
	failures=$((failures + 1))
}

# check_status NAME WANTED COMMAND...: the exit status must be the wanted one.
# The output is in $dir/last afterwards.
check_status() {
	local name=$1 wanted=$2 status
	shift 2
	"$@" >"$dir/last" 2>&1
	status=$?
	[ "$status" -eq "$wanted" ] && return
	echo "FAIL  $name: exit status $status instead of $wanted: $*"
	cat "$dir/last"
	failures=$((failures + 1))
}
