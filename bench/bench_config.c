/*
 * Configuration: memory and time of full tables, lookups in them, their
 * snapshot, and the time and bytes to bring a change to all nodes of a fleet
 * over a fake network. Times of the fleet are virtual and depend on the seed
 * only; the others are of this machine.
 */
#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "masticmux/clock.h"
#include "model/options.h"
#include "share/fake_fleet.h"

#define SERVICES_PER_RECORD 50
#define ACCOUNTS_PER_RECORD 2000
#define ROUTES_PER_HOST 3
#define FLEET_REGIONS 5
#define FLEET_START (30 * MMX_US_PER_S)
#define FLEET_IDLE (60 * MMX_US_PER_S)
#define FLEET_LIMIT (60 * MMX_US_PER_S)
#define FLEET_CHANGES 10
#define MIB (1024.0 * 1024.0)
/* Lookups whose time is taken together. */
#define BATCH 1000

static gboolean as_json_;
static gint64 seed_ = 1;
static gint routes_ = 72000;
static gint services_ = 2200;
static gint accounts_ = 230000;
static gint lookups_ = 500000;
static gint changes_ = 10000;
static gint nodes_max_ = 1000;

static const GOptionEntry entries_[] = {
	{"json", 0, 0, G_OPTION_ARG_NONE, &as_json_, "Print JSON", NULL},
	{"seed", 0, 0, G_OPTION_ARG_INT64, &seed_, "Seed", "N"},
	{"routes", 0, 0, G_OPTION_ARG_INT, &routes_, "Routes", "N"},
	{"services", 0, 0, G_OPTION_ARG_INT, &services_, "Services", "N"},
	{"accounts", 0, 0, G_OPTION_ARG_INT, &accounts_, "Accounts", "N"},
	{"lookups", 0, 0, G_OPTION_ARG_INT, &lookups_, "Lookups", "N"},
	{"changes", 0, 0, G_OPTION_ARG_INT, &changes_, "Changes", "N"},
	{"nodes", 0, 0, G_OPTION_ARG_INT, &nodes_max_, "Largest fleet", "N"},
	{NULL},
};

typedef struct bench_t {
	struct event_base *base;
	mmx_clock_t *clock;
	mmx_random_t random;
	mmx_config_state_t *config_state;
	json_t *results;
	int next_id;
} bench_t;

static double used_mib_(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd) / MIB;
}

static void report_(bench_t *bench, const char *name, double value,
		    const char *unit)
{
	json_array_append_new(bench->results,
			      json_pack("{s:s,s:f,s:s}", "name", name, "value",
					value, "unit", unit));
	if (!as_json_)
		printf("%-44s %12.3f %s\n", name, value, unit);
}

static char *finish_(bench_t *bench, mmx_change_t *change)
{
	char *record;

	g_snprintf(change->id, sizeof(change->id), "bench-%d",
		   bench->next_id++);
	g_strlcpy(change->publisher, "bench", sizeof(change->publisher));
	record = mmx_change_to_json(change, NULL);
	mmx_change_destroy(change);
	return record;
}

static void apply_(bench_t *bench, char *record)
{
	mmx_config_state_result_t result;

	mmx_config_state_apply(
		bench->config_state,
		mmx_config_state_applied_offset(bench->config_state) + 1,
		record, strlen(record), &result);
	if (result.verdict != MMX_VERDICT_ACCEPTED) {
		fprintf(stderr, "record %d: %s %s\n", bench->next_id,
			mmx_verdict_string[result.verdict], result.text);
		exit(1);
	}
	g_free(record);
}

/* Parts of the name of a route's host and prefix; the same for filling and
 * for looking up. */
static void route_name_(int route, char host[64], char path[64])
{
	g_snprintf(host, 64, "host-%d.shop.example", route / ROUTES_PER_HOST);
	g_snprintf(path, 64, "/v%d/area-%d", route % ROUTES_PER_HOST,
		   route % 100);
}

static char *services_record_(bench_t *bench, int first, int last)
{
	mmx_change_t *change = mmx_change_create();
	char name[64];
	char host[64];
	char path[64];
	int service;
	int route;

	for (service = first; service < last; service++) {
		mmx_change_service_t *entry;

		g_snprintf(name, sizeof(name), "service-%d", service);
		entry = mmx_change_add_service(change, name);
		g_strlcpy(entry->template_name, "web",
			  sizeof(entry->template_name));
		for (route = service; route < routes_; route += services_) {
			route_name_(route, host, path);
			mmx_change_add_route(entry, host, path);
		}
	}
	return finish_(bench, change);
}

static char *accounts_record_(bench_t *bench, int first, int last)
{
	mmx_change_t *change = mmx_change_create();
	char name[64];
	int account;

	for (account = first; account < last; account++) {
		g_snprintf(name, sizeof(name), "account-%d", account);
		mmx_change_add_account(change, name);
	}
	return finish_(bench, change);
}

static void fill_services_(bench_t *bench)
{
	mmx_change_t *change = mmx_change_create();
	double before = used_mib_();
	mmx_time_t spent = 0;
	int first;

	mmx_change_add_template(change, "web")->policy.deadline = MMX_US_PER_S;
	apply_(bench, finish_(bench, change));
	for (first = 0; first < services_; first += SERVICES_PER_RECORD) {
		char *record = services_record_(
			bench, first,
			MIN(first + SERVICES_PER_RECORD, services_));
		mmx_time_t start = mmx_clock_now(bench->clock);

		apply_(bench, record);
		spent += mmx_clock_now(bench->clock) - start;
	}
	report_(bench, "fill: memory per route",
		(used_mib_() - before) * MIB / routes_, "bytes");
	report_(bench, "fill: time per route", (double)spent / routes_, "us");
}

static void fill_accounts_(bench_t *bench)
{
	double before = used_mib_();
	mmx_time_t spent = 0;
	int first;

	for (first = 0; first < accounts_; first += ACCOUNTS_PER_RECORD) {
		char *record = accounts_record_(
			bench, first,
			MIN(first + ACCOUNTS_PER_RECORD, accounts_));
		mmx_time_t start = mmx_clock_now(bench->clock);

		apply_(bench, record);
		spent += mmx_clock_now(bench->clock) - start;
	}
	report_(bench, "fill: memory per account",
		(used_mib_() - before) * MIB / accounts_, "bytes");
	report_(bench, "fill: time per account", (double)spent / accounts_,
		"us");
}

static void measure_changes_(bench_t *bench)
{
	double before = used_mib_();
	mmx_time_t spent = 0;
	char name[64];
	int i;

	for (i = 0; i < changes_; i++) {
		mmx_change_t *change = mmx_change_create();
		mmx_change_account_t *account;
		mmx_time_t start;
		char *record;

		g_snprintf(name, sizeof(name), "account-%d",
			   (int)mmx_random_below(&bench->random,
						 (uint64_t)accounts_));
		account = mmx_change_add_account(change, name);
		account->base = mmx_config_state_account_revision(
			bench->config_state, name);
		record = finish_(bench, change);
		start = mmx_clock_now(bench->clock);
		apply_(bench, record);
		spent += mmx_clock_now(bench->clock) - start;
	}
	report_(bench, "change: memory",
		(used_mib_() - before) * MIB / changes_, "bytes");
	report_(bench, "change: time to apply", (double)spent / changes_, "us");
}

/* One lookup of a batch; the names are formed before. */
typedef struct probe_t {
	char host[64];
	char path[80];
	char name[64];
} probe_t;

static int compare_times_(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

static void fill_probes_(bench_t *bench, probe_t *probes)
{
	int i;

	for (i = 0; i < BATCH; i++) {
		route_name_((int)mmx_random_below(&bench->random,
						  (uint64_t)routes_),
			    probes[i].host, probes[i].path);
		g_strlcat(probes[i].path, "/item/7?x", sizeof(probes[i].path));
		g_snprintf(probes[i].name, sizeof(probes[i].name), "account-%d",
			   (int)mmx_random_below(&bench->random,
						 (uint64_t)accounts_));
	}
}

static int look_up_batch_(bench_t *bench, const probe_t *probes, double *route,
			  double *account)
{
	mmx_time_t start = mmx_clock_now(bench->clock);
	mmx_time_t middle;
	mmx_route_t found_route;
	mmx_account_t found_account;
	int found = 0;
	int i;

	for (i = 0; i < BATCH; i++)
		found += mmx_config_state_match_route(
			bench->config_state, probes[i].host, probes[i].path,
			&found_route);
	middle = mmx_clock_now(bench->clock);
	for (i = 0; i < BATCH; i++)
		found += mmx_config_state_get_account(
			bench->config_state, probes[i].name, &found_account);
	*route = (double)(middle - start) / BATCH;
	*account = (double)(mmx_clock_now(bench->clock) - middle) / BATCH;
	return found;
}

/* The median of many batches, because other processes share the machine. */
static void measure_lookups_(bench_t *bench)
{
	int batches = lookups_ / BATCH;
	probe_t *probes = g_new(probe_t, BATCH);
	double *route = g_new(double, batches);
	double *account = g_new(double, batches);
	int found = 0;
	int i;

	for (i = 0; i < batches; i++) {
		fill_probes_(bench, probes);
		found += look_up_batch_(bench, probes, &route[i], &account[i]);
	}
	qsort(route, (size_t)batches, sizeof(double), compare_times_);
	qsort(account, (size_t)batches, sizeof(double), compare_times_);
	report_(bench, "lookup: route, median (goal 2 us)", route[batches / 2],
		"us");
	report_(bench, "lookup: route, 90 of 100 batches",
		route[batches * 9 / 10], "us");
	report_(bench, "lookup: account, median (goal 2 us)",
		account[batches / 2], "us");
	report_(bench, "lookup: account, 90 of 100 batches",
		account[batches * 9 / 10], "us");
	g_free(probes);
	g_free(route);
	g_free(account);
	if (found != 2 * batches * BATCH) {
		fprintf(stderr, "%d of %d lookups found\n", found,
			2 * batches * BATCH);
		exit(1);
	}
}

static void measure_snapshot_(bench_t *bench)
{
	mmx_time_t start = mmx_clock_now(bench->clock);
	mmx_snapshot_t *snapshot = mmx_snapshot_create(bench->config_state);
	mmx_time_t encoded = mmx_clock_now(bench->clock) - start;
	mmx_snapshot_reader_t *reader = mmx_snapshot_reader_create();
	double bytes = 0;
	double before;
	mmx_config_state_t *loaded;
	uint32_t i;

	for (i = 0; i < mmx_snapshot_part_count(snapshot); i++) {
		size_t length;
		const uint8_t *part = mmx_snapshot_part(snapshot, i, &length);

		bytes += (double)length;
		mmx_snapshot_reader_add(reader, part, length);
	}
	report_(bench, "snapshot: parts", mmx_snapshot_part_count(snapshot),
		"");
	report_(bench, "snapshot: size", bytes / MIB, "MiB");
	report_(bench, "snapshot: time to encode", (double)encoded / 1000,
		"ms");
	mmx_snapshot_destroy(snapshot);
	before = used_mib_();
	start = mmx_clock_now(bench->clock);
	loaded = mmx_snapshot_reader_load(reader, NULL);
	report_(bench, "snapshot: time to load",
		(double)(mmx_clock_now(bench->clock) - start) / 1000, "ms");
	report_(bench, "snapshot: memory of the fold it gives",
		used_mib_() - before + bytes / MIB, "MiB");
	mmx_snapshot_reader_destroy(reader);
	mmx_config_state_destroy(loaded);
}

static char *fleet_record_(bench_t *bench)
{
	mmx_change_t *change = mmx_change_create();
	char name[64];

	g_snprintf(name, sizeof(name), "account-%d", bench->next_id);
	mmx_change_add_account(change, name);
	return finish_(bench, change);
}

static void report_fleet_(bench_t *bench, int nodes, unsigned int loss,
			  const char *what, double value, const char *unit)
{
	char *name = g_strdup_printf("fleet: %4d nodes, %2u%% loss: %s", nodes,
				     loss, what);

	report_(bench, name, value, unit);
	g_free(name);
}

static void measure_changes_in_fleet_(bench_t *bench, fake_fleet_t *fleet,
				      int nodes, unsigned int loss)
{
	mmx_time_t longest = 0;
	mmx_time_t total = 0;
	int i;

	for (i = 0; i < FLEET_CHANGES; i++) {
		uint64_t offset =
			fake_fleet_append(fleet, fleet_record_(bench));
		mmx_time_t time = fake_fleet_settle(fleet, offset, FLEET_LIMIT);

		longest = MAX(longest, time);
		total += MIN(time, FLEET_LIMIT);
		fake_fleet_run(fleet,
			       (mmx_time_t)mmx_random_below(&bench->random,
							    5 * MMX_US_PER_S));
	}
	report_fleet_(bench, nodes, loss, "mean time to all nodes",
		      (double)total / FLEET_CHANGES / 1000, "ms");
	report_fleet_(bench, nodes, loss, "longest (goal 15000)",
		      (double)longest / 1000, "ms");
}

static void measure_fleet_(bench_t *bench, int nodes, unsigned int loss)
{
	fake_fleet_options_t options = {
		.regions = FLEET_REGIONS,
		.nodes_per_region = (size_t)nodes / FLEET_REGIONS,
		.loss_percent = loss,
		.seed = (uint64_t)seed_,
	};
	fake_fleet_t *fleet = fake_fleet_create(&options);
	double idle_s = (double)FLEET_IDLE / MMX_US_PER_S;
	uint64_t bytes;
	uint64_t reads;
	uint64_t appends;

	fake_fleet_append(fleet, fleet_record_(bench));
	fake_fleet_run(fleet, FLEET_START);
	bytes = fake_fleet_bytes(fleet);
	reads = fake_fleet_reads(fleet);
	appends = fake_fleet_appends(fleet);
	fake_fleet_run(fleet, FLEET_IDLE);
	report_fleet_(bench, nodes, loss, "bytes per node, no change",
		      (double)(fake_fleet_bytes(fleet) - bytes) / nodes /
			      idle_s,
		      "B/s");
	report_fleet_(bench, nodes, loss, "reads of the log",
		      (double)(fake_fleet_reads(fleet) - reads) / idle_s,
		      "1/s");
	report_fleet_(bench, nodes, loss, "appends to the log",
		      (double)(fake_fleet_appends(fleet) - appends) / idle_s,
		      "1/s");
	measure_changes_in_fleet_(bench, fleet, nodes, loss);
	if (fake_fleet_reverts(fleet)) {
		fprintf(stderr, "a node went back\n");
		exit(1);
	}
	fake_fleet_destroy(fleet);
}

static void measure_fleets_(bench_t *bench)
{
	static const int nodes[] = {10, 30, 100, 300, 1000};
	static const unsigned int losses[] = {0, 5, 20};
	size_t n;
	size_t l;

	for (n = 0; n < G_N_ELEMENTS(nodes) && nodes[n] <= nodes_max_; n++)
		for (l = 0; l < G_N_ELEMENTS(losses); l++)
			measure_fleet_(bench, nodes[n], losses[l]);
}

static void run_(void)
{
	bench_t bench = {.base = event_base_new()};
	double before;

	bench.clock = mmx_clock_create(bench.base);
	bench.results = json_array();
	mmx_random_seed(&bench.random, (uint64_t)seed_);
	before = used_mib_();
	bench.config_state = mmx_config_state_create();
	fill_services_(&bench);
	fill_accounts_(&bench);
	measure_changes_(&bench);
	report_(&bench, "full tables: memory", used_mib_() - before, "MiB");
	measure_lookups_(&bench);
	measure_snapshot_(&bench);
	mmx_config_state_destroy(bench.config_state);
	measure_fleets_(&bench);
	if (as_json_) {
		json_dumpf(bench.results, stdout, JSON_INDENT(1));
		putchar('\n');
	}
	json_decref(bench.results);
	mmx_clock_destroy(bench.clock);
	event_base_free(bench.base);
}

int main(int argc, char **argv)
{
	if (!bench_parse_options(argc, argv, NULL, entries_))
		return 1;
	run_();
	return 0;
}
