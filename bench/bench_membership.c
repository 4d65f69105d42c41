/*
 * Memory, processor time, traffic and detection time of directory and
 * membership.
 *
 *   build/bench/bench_membership [--json] [--node-seconds=N] [--sizes=A,B,...]
 *
 * Fleets run in one process on virtual time. Traffic is counted per node with
 * the churn of the design size scaled per node, after a warm-up.
 */
#include <glib.h>
#include <jansson.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "test_libmasticmux/fleet.h"

#define FULL_NODES 4200
#define FULL_TARGETS 53000
#define FULL_SERVICES 2200
#define LOOKUPS 2000000
#define DAY_S 86400.0
#define RESTARTS_PER_DAY 8000.0
#define FAILURES_PER_DAY 330.0
#define TARGETS_PER_NODE 13
#define WARM_UP_S 90
#define DRAIN_MAX_S 1200
#define SPREADS 5
#define SIZES_MAX 8

static double cpu_s_(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static mmx_target_record_t target_(size_t n, uint64_t version)
{
	mmx_target_record_t record = {
		.incarnation = 1700000000000000ULL,
		.version = version,
		.slots = 3,
		.state = MMX_TARGET_WARM,
	};
	char node[MMX_NAME_MAX + 1];

	snprintf(node, sizeof(node), "north-a-node-%04zu", n % FULL_NODES);
	snprintf(record.name, sizeof(record.name), "service-%04zu-target-%05zu",
		 n % FULL_SERVICES, n);
	snprintf(record.service, sizeof(record.service), "service-%04zu",
		 n % FULL_SERVICES);
	record.node = mmx_node_id(node);
	record.id = mmx_directory_id(node, record.name);
	return record;
}

static mmx_directory_t *load_(mmx_clock_t *clock, json_t *out)
{
	size_t before = mallinfo2().uordblks;
	mmx_directory_t *directory = mmx_directory_create(clock);
	double start = cpu_s_();
	size_t used;
	size_t i;

	for (i = 0; i < FULL_TARGETS; i++) {
		mmx_target_record_t record = target_(i, 1);

		mmx_directory_update(directory, &record);
	}
	used = mallinfo2().uordblks - before;
	json_object_set_new(out, "insert_us",
			    json_real((cpu_s_() - start) / FULL_TARGETS * 1e6));
	json_object_set_new(out, "directory_bytes",
			    json_integer((json_int_t)used));
	json_object_set_new(out, "bytes_per_target",
			    json_real((double)used / FULL_TARGETS));
	return directory;
}

static void time_directory_(mmx_directory_t *directory, json_t *out)
{
	mmx_target_id_t *ids = g_new(mmx_target_id_t, FULL_TARGETS);
	mmx_random_t random;
	uint64_t sum = 0;
	double start;
	size_t i;

	for (i = 0; i < FULL_TARGETS; i++)
		ids[i] = target_(i, 1).id;
	mmx_random_seed(&random, 1);
	start = cpu_s_();
	for (i = 0; i < LOOKUPS; i++)
		sum += mmx_directory_target_slots(mmx_directory_find(
			directory,
			ids[mmx_random_below(&random, FULL_TARGETS)]));
	json_object_set_new(out, "lookup_us",
			    json_real((cpu_s_() - start) / LOOKUPS * 1e6));
	start = cpu_s_();
	for (i = 0; i < LOOKUPS; i++) {
		char name[MMX_NAME_MAX + 1];
		const mmx_directory_service_t *service;

		snprintf(
			name, sizeof(name), "service-%04u",
			(unsigned int)mmx_random_below(&random, FULL_SERVICES));
		service = mmx_directory_service(directory, name);
		sum += mmx_directory_target_slots(mmx_directory_service_at(
			service,
			mmx_random_below(&random, mmx_directory_service_count(
							  service))));
	}
	json_object_set_new(out, "service_lookup_us",
			    json_real((cpu_s_() - start) / LOOKUPS * 1e6));
	start = cpu_s_();
	for (i = 0; i < FULL_TARGETS; i++) {
		mmx_target_record_t record = target_(i, 2);

		sum += mmx_directory_update(directory, &record);
	}
	json_object_set_new(out, "update_us",
			    json_real((cpu_s_() - start) / FULL_TARGETS * 1e6));
	json_object_set_new(out, "checksum", json_integer((json_int_t)sum));
	g_free(ids);
}

static void drop_(void *arg, const mmx_address_t *to,
		  mmx_gossip_message_t *message)
{
}

static const mmx_membership_ops_t no_ops_ = {.send = drop_};

static mmx_member_t member_(size_t n)
{
	mmx_member_t member = {
		.incarnation = 1700000000000000ULL,
		.nodes = {.port = 8081},
		.operators = {.port = 8083},
	};

	snprintf(member.name, sizeof(member.name), "north-a-node-%04zu", n);
	snprintf(member.region, sizeof(member.region), "region-%zu", n % 5);
	snprintf(member.zone, sizeof(member.zone), "zone-%zu", n % 16);
	snprintf(member.nodes.host, sizeof(member.nodes.host), "10.1.%zu.%zu",
		 n / 250, 1 + n % 250);
	member.operators.port = 8083;
	memcpy(member.operators.host, member.nodes.host,
	       sizeof(member.nodes.host));
	member.id = mmx_node_id(member.name);
	return member;
}

static void receive_members_(mmx_membership_t *m)
{
	mmx_gossip_message_t *message = g_new0(mmx_gossip_message_t, 1);
	mmx_address_t from = {.host = "10.1.0.1", .port = 8081};
	size_t i;

	message->procedure = MMX_GOSSIP_NEWS;
	message->member_count = 1;
	for (i = 1; i < FULL_NODES; i++) {
		message->members[0] = member_(i);
		message->sender = message->members[0].id;
		message->incarnation = message->members[0].incarnation;
		message->recipient = mmx_membership_self(m)->id;
		mmx_membership_receive(m, message, &from);
	}
	g_free(message);
}

/* A node of the full size: members, targets, then an hour of ticks. */
static void full_node_(json_t *out)
{
	mmx_membership_config_t *config = g_new0(mmx_membership_config_t, 1);
	mmx_clock_t *clock = mmx_clock_create_paused();
	size_t base = mallinfo2().uordblks;
	mmx_directory_t *directory = load_(clock, out);
	size_t loaded = mallinfo2().uordblks;
	mmx_membership_t *m;
	size_t used;
	double start;

	time_directory_(directory, out);
	config->self = member_(0);
	m = mmx_membership_create(config, clock, directory, &no_ops_, NULL);
	start = cpu_s_();
	receive_members_(m);
	json_object_set_new(out, "member_update_us",
			    json_real((cpu_s_() - start) / FULL_NODES * 1e6));
	used = mallinfo2().uordblks - loaded;
	json_object_set_new(out, "membership_bytes",
			    json_integer((json_int_t)used));
	json_object_set_new(out, "bytes_per_member",
			    json_real((double)used / FULL_NODES));
	json_object_set_new(
		out, "total_bytes",
		json_integer((json_int_t)(mallinfo2().uordblks - base)));
	mmx_membership_destroy(m);
	mmx_directory_destroy(directory);
	mmx_clock_destroy(clock);
	g_free(config);
}

typedef struct load_t {
	uint64_t gossip;
	uint64_t sync;
	double cpu;
} load_t;

static void totals_(const fleet_t *fleet, load_t *load)
{
	size_t i;

	*load = (load_t){.cpu = cpu_s_()};
	for (i = 0; i < fleet->count; i++) {
		load->gossip += fleet->instances[i].bytes_sent;
		load->sync += fleet->instances[i].sync_bytes_sent;
	}
}

/* One event of churn: a planned restart or a crash, started again later. */
static void churn_(fleet_t *fleet, bool planned)
{
	instance_t *one = &fleet->instances[mmx_random_below(&fleet->random,
							     fleet->count)];

	if (planned)
		mmx_membership_leave(one->membership);
	fleet_run_(fleet, (planned ? 1 : 30) * MMX_US_PER_S);
	fleet_stop_(one);
	fleet_run_(fleet, 2 * MMX_US_PER_S);
	fleet_start_(one);
}

static double traffic_(fleet_t *fleet, double node_seconds, json_t *out)
{
	double seconds = node_seconds / (double)fleet->count;
	double rate = (RESTARTS_PER_DAY + FAILURES_PER_DAY) / DAY_S /
		      FULL_NODES * (double)fleet->count;
	mmx_time_t start = fleet_now_(fleet);
	mmx_time_t end = start + (mmx_time_t)(seconds * 1e6);
	double total;
	load_t before;
	load_t after;
	int events = 0;
	double next = 0.5;

	totals_(fleet, &before);
	while (fleet_now_(fleet) < end) {
		double passed = (double)(fleet_now_(fleet) - start) / 1e6;

		if (passed * rate >= next) {
			next += 1;
			events++;
			churn_(fleet,
			       (double)mmx_random_below(&fleet->random, 8330) >=
				       FAILURES_PER_DAY);
		} else {
			fleet_run_(fleet, MMX_US_PER_S);
		}
	}
	totals_(fleet, &after);
	total = (double)(fleet_now_(fleet) - start) / 1e6 *
		(double)fleet->count;
	json_object_set_new(out, "virtual_seconds",
			    json_real(total / (double)fleet->count));
	json_object_set_new(out, "restarts", json_integer(events));
	json_object_set_new(
		out, "gossip_bytes_per_s",
		json_real((double)(after.gossip - before.gossip) / total));
	json_object_set_new(
		out, "sync_bytes_per_s",
		json_real((double)(after.sync - before.sync) / total));
	json_object_set_new(out, "cpu_percent_of_core",
			    json_real((after.cpu - before.cpu) / total * 100));
	return total;
}

static size_t without_(const fleet_t *fleet, mmx_target_id_t id,
		       uint64_t version)
{
	size_t missing = 0;
	size_t i;

	for (i = 0; i < fleet->count; i++) {
		const mmx_directory_target_t *target;

		if (!fleet->instances[i].directory)
			continue;
		target = mmx_directory_find(fleet->instances[i].directory, id);
		missing += !target ||
			   mmx_directory_target_version(target) < version;
	}
	return missing;
}

/* Times until half of, 99 in 100 and all nodes have an update of a target. */
static void spread_(fleet_t *fleet, json_t *out)
{
	double sums[3] = {0, 0, 0};
	static const char *const names[] = {"spread_half_s", "spread_99_s",
					    "spread_all_s"};
	const size_t limits[] = {fleet->count / 2, fleet->count / 100, 0};
	size_t r;
	size_t l;

	for (r = 0; r < SPREADS; r++) {
		instance_t *one = &fleet->instances[mmx_random_below(
			&fleet->random, fleet->count)];
		mmx_target_id_t id = mmx_directory_id(one->name, "target-0");
		mmx_time_t start = fleet_now_(fleet);

		fleet_announce_(one, 0, MMX_TARGET_DRAINING);
		for (l = 0; l < G_N_ELEMENTS(limits); l++) {
			while (without_(fleet, id, one->next_version) >
			       limits[l])
				fleet_run_(fleet, 5 * FLEET_STEP);
			sums[l] += (double)(fleet_now_(fleet) - start) / 1e6;
		}
	}
	for (l = 0; l < G_N_ELEMENTS(limits); l++)
		json_object_set_new(out, names[l],
				    json_real(sums[l] / SPREADS));
}

static size_t below_(const fleet_t *fleet, mmx_node_id_t id,
		     mmx_member_state_t state)
{
	size_t found = 0;
	size_t i;

	for (i = 0; i < fleet->count; i++) {
		const mmx_membership_t *m = fleet->instances[i].membership;

		found += m && mmx_membership_find(m, id)->state < state;
	}
	return found;
}

/* Times from a crash until the first and until all nodes see it. */
static void detect_(fleet_t *fleet, json_t *out)
{
	static const mmx_member_state_t states[] = {MMX_MEMBER_UNREACHABLE,
						    MMX_MEMBER_DEAD};
	static const char *const names[] = {"unreachable_first_s",
					    "unreachable_all_s", "dead_first_s",
					    "dead_all_s"};
	double sums[4] = {0, 0, 0, 0};
	size_t r;
	size_t s;

	for (r = 0; r < SPREADS; r++) {
		instance_t *one = &fleet->instances[mmx_random_below(
			&fleet->random, fleet->count)];
		mmx_time_t start = fleet_now_(fleet);
		mmx_node_id_t id = one->record.id;
		size_t others = fleet->count - 1;

		fleet_stop_(one);
		for (s = 0; s < 2; s++) {
			while (below_(fleet, id, states[s]) == others)
				fleet_run_(fleet, 5 * FLEET_STEP);
			sums[2 * s] +=
				(double)(fleet_now_(fleet) - start) / 1e6;
			while (below_(fleet, id, states[s]) > 0)
				fleet_run_(fleet, 5 * FLEET_STEP);
			sums[2 * s + 1] +=
				(double)(fleet_now_(fleet) - start) / 1e6;
		}
		fleet_start_(one);
		fleet_run_(fleet, 30 * MMX_US_PER_S);
	}
	for (s = 0; s < G_N_ELEMENTS(names); s++)
		json_object_set_new(out, names[s],
				    json_real(sums[s] / SPREADS));
}

/* Waits until the updates of the start are spread. */
static void drain_(fleet_t *fleet, json_t *out)
{
	mmx_time_t start = fleet_now_(fleet);
	size_t pending = 1;
	size_t i;

	while (pending > 0 &&
	       fleet_now_(fleet) - start < DRAIN_MAX_S * MMX_US_PER_S) {
		fleet_run_(fleet, 10 * MMX_US_PER_S);
		pending = 0;
		for (i = 0; i < fleet->count; i++)
			pending += mmx_membership_pending(
				fleet->instances[i].membership);
	}
	json_object_set_new(
		out, "drain_s",
		json_real((double)(fleet_now_(fleet) - start) / 1e6));
	json_object_set_new(out, "pending_after_drain",
			    json_integer((json_int_t)pending));
}

static json_t *fleet_(size_t count, double node_seconds)
{
	fleet_t *fleet = fleet_create_(count, count < 5 ? 1 : 5,
				       TARGETS_PER_NODE, count);
	json_t *out = json_pack("{s:i}", "nodes", (int)count);
	size_t i;

	for (i = 0; i < count; i++) {
		fleet_start_(&fleet->instances[i]);
		/* Nodes that all join in one instant would measure the join. */
		if (i % 10 == 9)
			fleet_run_(fleet, MMX_US_PER_S / 2);
	}
	fleet_run_(fleet, WARM_UP_S * MMX_US_PER_S);
	drain_(fleet, out);
	traffic_(fleet, node_seconds, out);
	fleet_run_(fleet, WARM_UP_S * MMX_US_PER_S);
	spread_(fleet, out);
	detect_(fleet, out);
	json_object_set_new(out, "false_dead",
			    json_integer((json_int_t)fleet->false_dead));
	json_object_set_new(
		out, "wrong_views",
		json_integer((json_int_t)fleet_wrong_views_(fleet)));
	fleet_destroy_(fleet);
	return out;
}

/* Least squares of y = a + b x with the standard errors of the slope and of
 * a prediction at the full size. */
static json_t *fit_(const double *x, const double *y, size_t n)
{
	double mean_x = 0;
	double mean_y = 0;
	double xx = 0;
	double xy = 0;
	double rest = 0;
	double a;
	double b;
	double variance;
	double far;
	size_t i;

	for (i = 0; i < n; i++) {
		mean_x += x[i] / (double)n;
		mean_y += y[i] / (double)n;
	}
	for (i = 0; i < n; i++) {
		xx += (x[i] - mean_x) * (x[i] - mean_x);
		xy += (x[i] - mean_x) * (y[i] - mean_y);
	}
	b = xy / xx;
	a = mean_y - b * mean_x;
	for (i = 0; i < n; i++)
		rest += pow(y[i] - a - b * x[i], 2);
	variance = rest / (double)(n - 2);
	far = FULL_NODES - mean_x;
	return json_pack("{s:f,s:f,s:f,s:f,s:f}", "constant", a, "slope", b,
			 "slope_error", sqrt(variance / xx), "at_4200",
			 a + b * FULL_NODES, "at_4200_error",
			 sqrt(variance * (1 + 1 / (double)n + far * far / xx)));
}

static void fits_(const json_t *fleets, json_t *out)
{
	static const char *const names[] = {"gossip_bytes_per_s",
					    "sync_bytes_per_s",
					    "cpu_percent_of_core"};
	double x[SIZES_MAX];
	double y[SIZES_MAX];
	size_t n = json_array_size(fleets);
	json_t *fits = json_object();
	size_t k;
	size_t i;

	for (k = 0; k < G_N_ELEMENTS(names) && n > 2; k++) {
		for (i = 0; i < n; i++) {
			const json_t *one = json_array_get(fleets, i);

			x[i] = json_number_value(json_object_get(one, "nodes"));
			y[i] = json_number_value(
				json_object_get(one, names[k]));
		}
		json_object_set_new(fits, names[k], fit_(x, y, n));
	}
	json_object_set_new(out, "fit_over_nodes", fits);
}

static void print_(const char *title, const json_t *object)
{
	const char *key;
	json_t *value;

	printf("%s\n", title);
	json_object_foreach((json_t *)object, key, value)
	{
		if (json_is_number(value))
			printf("  %-24s %14.4g\n", key,
			       json_number_value(value));
	}
}

static void report_(const json_t *out)
{
	const json_t *fits = json_object_get(out, "fit_over_nodes");
	const char *key;
	json_t *value;
	size_t i;

	print_("full size node", json_object_get(out, "full"));
	json_array_foreach(json_object_get(out, "fleets"), i, value)
		print_("fleet", value);
	json_object_foreach((json_t *)fits, key, value) print_(key, value);
}

int main(int argc, char **argv)
{
	gboolean json = FALSE;
	gdouble node_seconds = 300000;
	gchar *sizes = NULL;
	GOptionEntry entries[] = {
		{"json", 0, 0, G_OPTION_ARG_NONE, &json, "Write JSON", NULL},
		{"node-seconds", 0, 0, G_OPTION_ARG_DOUBLE, &node_seconds,
		 "Virtual time times nodes for traffic", "N"},
		{"sizes", 0, 0, G_OPTION_ARG_STRING, &sizes, "Fleet sizes",
		 "A,B,..."},
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context = g_option_context_new(NULL);
	json_t *out = json_object();
	json_t *full = json_object();
	json_t *fleets = json_array();
	gchar **list;
	int i;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL))
		return 2;
	full_node_(full);
	json_object_set_new(out, "full", full);
	list = g_strsplit(sizes ? sizes : "10,30,100,200,1000", ",", SIZES_MAX);
	for (i = 0; list[i]; i++)
		json_array_append_new(fleets,
				      fleet_((size_t)strtoul(list[i], NULL, 10),
					     node_seconds));
	json_object_set_new(out, "fleets", fleets);
	fits_(fleets, out);
	if (json)
		json_dumpf(out, stdout,
			   JSON_INDENT(2) | JSON_REAL_PRECISION(6));
	else
		report_(out);
	json_decref(out);
	g_strfreev(list);
	g_free(sizes);
	g_option_context_free(context);
	return 0;
}
