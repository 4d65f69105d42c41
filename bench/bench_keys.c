/*
 * Keys of client accounts: memory of a routing table with many accounts, time
 * to fill it, and lookups of keys that exist and of others. Times are of this
 * machine.
 */
#include <event2/event.h>
#include <glib.h>
#include <jansson.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "masticmux/clock.h"
#include "masticmux/random.h"
#include "masticmux/routing.h"
#include "model/options.h"
#include "private/account_keys.h"

#define KEYS_PER_ACCOUNT 2
/* Lookups whose time is taken together. */
#define BATCH 1000
/* As long as 32 random bytes in base64. */
#define KEY_BYTES 44

static gboolean as_json_;
static gint64 seed_ = 1;
static gint accounts_ = 230000;
static gint lookups_ = 500000;

static const GOptionEntry entries_[] = {
	{"json", 0, 0, G_OPTION_ARG_NONE, &as_json_, "Print JSON", NULL},
	{"seed", 0, 0, G_OPTION_ARG_INT64, &seed_, "Seed", "N"},
	{"accounts", 0, 0, G_OPTION_ARG_INT, &accounts_, "Accounts", "N"},
	{"lookups", 0, 0, G_OPTION_ARG_INT, &lookups_, "Lookups", "N"},
	{NULL},
};

typedef struct bench_t {
	struct event_base *base;
	mmx_clock_t *clock;
	mmx_random_t random;
	mmx_routing_table_t *routing;
	json_t *results;
} bench_t;

/* The bytes of a key; the terminating null is not part of it. */
typedef struct bench_key_t {
	char text[KEY_BYTES + 1];
} bench_key_t;

static double used_bytes_(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd);
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

static void form_key_(int64_t number, bench_key_t *key)
{
	g_snprintf(key->text, sizeof(key->text),
		   "key-%040" G_GINT64_MODIFIER "d", number);
}

/* Digests are computed here as the routing table does, so that the table of
 * keys is measured by itself. */
static void measure_key_table_(bench_t *bench)
{
	mmx_account_keys_t *keys = mmx_account_keys_create();
	int count = accounts_ * KEYS_PER_ACCOUNT;
	uint8_t digest[MMX_KEY_DIGEST_BYTES];
	bench_key_t key;
	int i;

	for (i = 0; i < count; i++) {
		form_key_(i, &key);
		mmx_account_keys_digest(keys, key.text, KEY_BYTES, digest);
		mmx_account_keys_add(keys, digest, bench);
	}
	report_(bench, "table of keys: memory per key",
		(double)mmx_account_keys_bytes(keys) / count, "bytes");
	mmx_account_keys_destroy(keys);
}

static void fill_(bench_t *bench)
{
	double before = used_bytes_();
	mmx_time_t start = mmx_clock_now(bench->clock);
	int keys = accounts_ * KEYS_PER_ACCOUNT;
	double spent;
	int i;

	bench->routing = mmx_routing_create(1);
	for (i = 0; i < accounts_; i++) {
		mmx_routing_account_t *account;
		bench_key_t key;
		char name[MMX_NAME_MAX + 1];
		int j;

		g_snprintf(name, sizeof(name), "account-%d", i);
		account = mmx_routing_add_account(bench->routing, name);
		for (j = 0; j < KEYS_PER_ACCOUNT; j++) {
			form_key_((int64_t)i * KEYS_PER_ACCOUNT + j, &key);
			mmx_routing_add_key(bench->routing, account, key.text,
					    KEY_BYTES);
		}
	}
	spent = (double)(mmx_clock_now(bench->clock) - start);
	report_(bench, "fill: time per key", spent / keys, "us");
	report_(bench, "fill: time", spent / MMX_US_PER_MS, "ms");
	report_(bench, "fill: memory per account with its keys",
		(used_bytes_() - before) / accounts_, "bytes");
}

static int compare_times_(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

/* Looks up keys from the given number on; returns how many were found. */
static int look_up_batch_(bench_t *bench, int64_t first, double *time)
{
	bench_key_t keys[BATCH];
	mmx_time_t start;
	int found = 0;
	int i;

	for (i = 0; i < BATCH; i++)
		form_key_(
			first + (int64_t)mmx_random_below(
					&bench->random,
					(uint64_t)accounts_ * KEYS_PER_ACCOUNT),
			&keys[i]);
	start = mmx_clock_now(bench->clock);
	for (i = 0; i < BATCH; i++)
		found += mmx_routing_find_key(bench->routing, keys[i].text,
					      KEY_BYTES) != NULL;
	*time = (double)(mmx_clock_now(bench->clock) - start) / BATCH;
	return found;
}

/* The median of many batches, because other processes share the machine. */
static void measure_lookups_(bench_t *bench, const char *what, bool exist)
{
	int64_t first = exist ? 0 : (int64_t)accounts_ * KEYS_PER_ACCOUNT;
	int batches = lookups_ / BATCH;
	double *times = g_new(double, batches);
	char name[64];
	int found = 0;
	int i;

	for (i = 0; i < batches; i++)
		found += look_up_batch_(bench, first, &times[i]);
	qsort(times, (size_t)batches, sizeof(double), compare_times_);
	g_snprintf(name, sizeof(name), "lookup: %s, median (goal 2 us)", what);
	report_(bench, name, times[batches / 2], "us");
	g_snprintf(name, sizeof(name), "lookup: %s, 90 of 100 batches", what);
	report_(bench, name, times[batches * 9 / 10], "us");
	g_free(times);
	if (found != (exist ? batches * BATCH : 0)) {
		fprintf(stderr, "%s: %d of %d keys found\n", what, found,
			batches * BATCH);
		exit(1);
	}
}

static void run_(void)
{
	bench_t bench = {.base = event_base_new()};

	bench.clock = mmx_clock_create(bench.base);
	bench.results = json_array();
	mmx_random_seed(&bench.random, (uint64_t)seed_);
	measure_key_table_(&bench);
	fill_(&bench);
	measure_lookups_(&bench, "key", true);
	measure_lookups_(&bench, "unknown key", false);
	mmx_routing_destroy(bench.routing);
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
