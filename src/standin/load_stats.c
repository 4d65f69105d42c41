#include "standin/load_stats.h"

#include <inttypes.h>
#include <stdlib.h>

#define EXAMPLES_MAX 10

const char *const load_count_string[LOAD_COUNT_COUNT] = {
	"outcomes", "reasons", "statuses", "targets", "errors", "violations",
};

void load_stats_init(load_stats_t *stats)
{
	int i;

	*stats = (load_stats_t){0};
	for (i = 0; i < LOAD_COUNT_COUNT; i++)
		stats->counts[i] = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, g_free);
	stats->examples = g_string_new(NULL);
}

void load_stats_clear(load_stats_t *stats)
{
	int i;

	for (i = 0; i < LOAD_COUNT_COUNT; i++)
		g_hash_table_destroy(stats->counts[i]);
	g_string_free(stats->examples, TRUE);
}

void load_stats_count(load_stats_t *stats, load_count_t kind, const char *name)
{
	uint64_t *count = g_hash_table_lookup(stats->counts[kind], name);

	if (!count) {
		count = g_new0(uint64_t, 1);
		g_hash_table_insert(stats->counts[kind], g_strdup(name), count);
	}
	(*count)++;
}

void load_stats_violation(load_stats_t *stats, const char *name,
			  const char *key)
{
	load_stats_count(stats, LOAD_VIOLATIONS, name);
	if (stats->example_count++ < EXAMPLES_MAX)
		g_string_append_printf(stats->examples, "violation: %s%s%s\n",
				       name, key ? ": " : "", key ? key : "");
}

bool load_stats_hold(const load_stats_t *stats)
{
	return g_hash_table_size(stats->counts[LOAD_VIOLATIONS]) == 0;
}

static double seconds_(const load_stats_t *stats)
{
	return (double)stats->elapsed / (double)MMX_US_PER_S;
}

static double rate_(const load_stats_t *stats)
{
	return stats->elapsed > 0 ? (double)stats->answered / seconds_(stats)
				  : 0;
}

static json_t *counts_json_(GHashTable *counts)
{
	json_t *object = json_object();
	GHashTableIter iter;
	gpointer name;
	gpointer count;

	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &name, &count))
		json_object_set_new(
			object, name,
			json_integer((json_int_t) * (uint64_t *)count));
	return object;
}

static void print_json_(const load_stats_t *stats, FILE *out)
{
	json_t *root = json_pack(
		"{s:s,s:f,s:I,s:I,s:I,s:f,s:I,s:I,s:I,s:I,s:I,s:I,s:o,s:o}",
		"run", stats->run, "elapsed_s", seconds_(stats),
		"sent_requests", (json_int_t)stats->sent, "answered_requests",
		(json_int_t)stats->answered, "completed_requests",
		(json_int_t)stats->completed, "requests_per_s", rate_(stats),
		"request_body_bytes", (json_int_t)stats->request_body_bytes,
		"response_body_bytes", (json_int_t)stats->response_body_bytes,
		"max_waiting_requests", (json_int_t)stats->max_waiting,
		"repeated_requests", (json_int_t)stats->repeated,
		"checked_bodies", (json_int_t)stats->checked_bodies,
		"checked_requests", (json_int_t)stats->checked_requests,
		"latency_completed", histogram_json(&stats->latency_completed),
		"latency_refused", histogram_json(&stats->latency_refused));
	int i;

	for (i = 0; i < LOAD_COUNT_COUNT; i++)
		json_object_set_new(root, load_count_string[i],
				    counts_json_(stats->counts[i]));
	json_object_set_new(root, "checks_hold",
			    json_boolean(load_stats_hold(stats)));
	json_dumpf(root, out,
		   JSON_INDENT(2) | JSON_SORT_KEYS | JSON_REAL_PRECISION(9));
	fputc('\n', out);
	json_decref(root);
}

static void print_latency_(const char *name, const histogram_t *histogram,
			   FILE *out)
{
	static const double percents[] = {50, 90, 99, 99.9};
	size_t i;

	if (histogram->total == 0)
		return;
	fprintf(out, "latency of %s:", name);
	for (i = 0; i < G_N_ELEMENTS(percents); i++)
		fprintf(out, " p%g %.3f ms,", percents[i],
			(double)histogram_percentile(histogram, percents[i]) /
				1000);
	fprintf(out, " max %.3f ms (%" PRIu64 " requests)\n",
		(double)histogram->max / 1000, histogram->total);
}

static void print_counts_(const load_stats_t *stats, int kind, FILE *out)
{
	GList *names = g_hash_table_get_keys(stats->counts[kind]);
	GList *name;

	names = g_list_sort(names, (GCompareFunc)g_strcmp0);
	for (name = names; name; name = name->next)
		fprintf(out, "%s: %s: %" PRIu64 " requests\n",
			load_count_string[kind], (const char *)name->data,
			*(uint64_t *)g_hash_table_lookup(stats->counts[kind],
							 name->data));
	g_list_free(names);
}

static void print_text_(const load_stats_t *stats, FILE *out)
{
	int i;

	fprintf(out, "run %s: %.3f s\n", stats->run, seconds_(stats));
	fprintf(out,
		"sent %" PRIu64 " requests, answered %" PRIu64
		" requests, %.1f requests/s\n",
		stats->sent, stats->answered, rate_(stats));
	fprintf(out,
		"bodies: %" PRIu64 " bytes sent, %" PRIu64
		" bytes received; at most %" PRIu64 " requests waited\n",
		stats->request_body_bytes, stats->response_body_bytes,
		stats->max_waiting);
	fprintf(out,
		"repeated %" PRIu64
		" requests under the same key; checked %" PRIu64
		" bodies and the executions of %" PRIu64 " requests\n",
		stats->repeated, stats->checked_bodies,
		stats->checked_requests);
	print_latency_("completed requests", &stats->latency_completed, out);
	print_latency_("refused requests", &stats->latency_refused, out);
	for (i = 0; i < LOAD_COUNT_COUNT; i++)
		print_counts_(stats, i, out);
	fputs(stats->examples->str, out);
	fputs(load_stats_hold(stats) ? "checks hold\n" : "checks FAILED\n",
	      out);
}

void load_stats_print(const load_stats_t *stats, bool json, FILE *out)
{
	if (json)
		print_json_(stats, out);
	else
		print_text_(stats, out);
	fflush(out);
}
