# Reads the runs of scripts/bench.sh and gives a row for each bound of
# docs/design.md: {bench, name, value, unit, max or min, met}. A benchmark
# without output gives a row that is missed.

def at_most($name; $value; $unit; $bound):
	{name: $name, value: $value, unit: $unit, max: $bound,
	met: ($value != null and $value <= $bound)};
def at_least($name; $value; $unit; $bound):
	{name: $name, value: $value, unit: $unit, min: $bound,
	met: ($value != null and $value >= $bound)};

# Section 11: lookups in full tables.
def lookup_max: 2;
# Section 4.
def body_growth_max: 4096;
# Section 1.4: control of one node.
def node_memory_max_mib: 128;
def control_max_bytes_per_s: 25000;
def control_max_percent: 3.3;
# Section 7.
def in_force_max_ms: 15000;

def balance:
	at_most("choice, one service"; .one_service_us; "us"; lookup_max),
	at_most("choice, all services"; .all_services_us; "us"; lookup_max);

def config:
	def value($start): map(select(.name | startswith($start)))[0].value;
	at_most("lookup of a route, median"; value("lookup: route, median");
		"us"; lookup_max),
	at_most("lookup of an account, median";
		value("lookup: account, median"); "us"; lookup_max),
	at_most("full tables"; value("full tables: memory"); "MiB";
		node_memory_max_mib),
	at_most("change in force, longest of all fleets";
		(map(select(.name | test("^fleet:.*longest"))) |
		map(.value) | max); "ms"; in_force_max_ms);

# Section 6. Weight 0 is that of Chainring, 100 that of Siamfrost.
def detection:
	def of($weight): [.rows[] |
		select(.policy == "masticmux weight \($weight)")];
	def row($weight; $fault): of($weight) |
		map(select(.fault == $fault))[0];
	at_most("stall, last new request, weight 100";
		row(100; "stall").last_request_worst_s; "s"; 1),
	at_most("stall, last new request, weight 0";
		row(0; "stall").last_request_worst_s; "s"; 3),
	at_most("heavy-tailed, false ejections, weight 100";
		row(100; "heavy-tailed").false_ejections; "targets"; 1),
	at_most("heavy-tailed, false ejections, weight 0";
		row(0; "heavy-tailed").false_ejections; "targets"; 0),
	at_most("violations of the floor, all faults";
		(of(0) + of(100) | map(.floor_violations) | add); "times"; 0);

def http:
	at_least("HTTP sides alone"; .requests_per_cpu_s; "requests/s"; 10000),
	at_most("growth by an upload"; .upload_added_kib; "KiB";
		body_growth_max),
	at_most("growth by a download"; .download_added_kib; "KiB";
		body_growth_max),
	at_most("growth by a chunked upload"; .chunk_added_kib; "KiB";
		body_growth_max);

def keys:
	def value($start): map(select(.name | startswith($start)))[0].value;
	at_most("lookup of a key, median"; value("lookup: key, median");
		"us"; lookup_max),
	at_most("lookup of an unknown key, median";
		value("lookup: unknown key, median"); "us"; lookup_max);

def membership:
	at_most("lookup of a target"; .full.lookup_us; "us"; lookup_max),
	at_most("lookup of a service"; .full.service_lookup_us; "us";
		lookup_max),
	at_most("full directory and members";
		(.full.total_bytes | if . then . / 1048576 else . end); "MiB";
		node_memory_max_mib),
	at_most("traffic of a node, largest of all fleets";
		([.fleets[] | .gossip_bytes_per_s + .sync_bytes_per_s] | max);
		"bytes/s"; control_max_bytes_per_s),
	at_most("processor, largest of all fleets";
		([.fleets[].cpu_percent_of_core] | max); "percent";
		control_max_percent),
	at_most("members wrongly declared dead";
		([.fleets[].false_dead] | add); "members"; 0);

def peer:
	at_most("growth by a body, signed and not";
		([.bodies[].peak_growth_kib] | max); "KiB"; body_growth_max);

# docs/ACCOUNTS.md, section 1.3: the required share and the aim.
def fair:
	at_least("lowest share of an account, to the mean"; .lowest_to_mean;
		""; 0.25),
	at_least("the same to the mean of its priority";
		.lowest_to_mean_of_priority; ""; 0.8);

def path: .results[] | select(.met != null);

def rows:
	if .output == null then {name: "no result", value: null, unit: "",
		met: false}
	elif .name == "bench_balance" then .output | balance
	elif .name == "bench_config" then .output | config
	elif .name == "bench_detection" then .output | detection
	elif .name == "bench_fair" then .output | fair
	elif .name == "bench_http" then .output | http
	elif .name == "bench_keys" then .output | keys
	elif .name == "bench_membership" then .output | membership
	elif .name == "bench_peer" then .output | peer
	elif .name == "path" or .name == "full_tables" then .output | path
	else empty end;

[.[] | .name as $bench | rows | {bench: $bench} + .]
