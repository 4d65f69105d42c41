#include "masticmux/counters.h"

#include <event2/buffer.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

const char *const mmx_counter_kind_string[MMX_COUNTER_KIND_COUNT] = {
	"counter",
	"gauge",
};

typedef LIST_HEAD(counter_list_t, mmx_counter_t) counter_list_t;

typedef LIST_HEAD(histogram_list_t, mmx_histogram_t) histogram_list_t;

/* From a call within a region to the longest deadline of a browser. */
const int64_t mmx_histogram_bounds[MMX_HISTOGRAM_BUCKETS] = {
	5000,	10000,	 25000,	  50000,   100000,   250000,
	500000, 1000000, 2500000, 5000000, 10000000, 30000000,
};

struct mmx_counters_t {
	counter_list_t list;
	histogram_list_t histograms;
};

mmx_counters_t *mmx_counters_create(void)
{
	mmx_counters_t *counters = g_new0(mmx_counters_t, 1);

	LIST_INIT(&counters->list);
	LIST_INIT(&counters->histograms);
	return counters;
}

void mmx_counters_destroy(mmx_counters_t *counters)
{
	mmx_histogram_t *histogram;
	mmx_counter_t *counter;

	if (!counters)
		return;
	while ((counter = LIST_FIRST(&counters->list))) {
		LIST_REMOVE(counter, entry);
		g_free(counter->name);
		g_free(counter->labels);
		g_free(counter->help);
		g_free(counter);
	}
	while ((histogram = LIST_FIRST(&counters->histograms))) {
		LIST_REMOVE(histogram, entry);
		g_free(histogram->name);
		g_free(histogram->labels);
		g_free(histogram->help);
		g_free(histogram);
	}
	g_free(counters);
}

mmx_counter_t *mmx_counters_get(mmx_counters_t *counters,
				mmx_counter_kind_t kind, const char *name,
				const char *labels, const char *help)
{
	mmx_counter_t *counter;
	mmx_counter_t *last = NULL;
	mmx_counter_t *same_name = NULL;

	LIST_FOREACH (counter, &counters->list, entry) {
		last = counter;
		if (strcmp(counter->name, name) != 0)
			continue;
		same_name = counter;
		if (strcmp(counter->labels, labels) == 0)
			return counter;
	}
	counter = g_new0(mmx_counter_t, 1);
	counter->kind = kind;
	counter->name = g_strdup(name);
	counter->labels = g_strdup(labels);
	counter->help = g_strdup(help);
	/* Samples of one name must stand together in the text format. */
	if (same_name)
		LIST_INSERT_AFTER(same_name, counter, entry);
	else if (last)
		LIST_INSERT_AFTER(last, counter, entry);
	else
		LIST_INSERT_HEAD(&counters->list, counter, entry);
	return counter;
}

static void write_header_(const mmx_counter_t *counter, struct evbuffer *out)
{
	evbuffer_add_printf(out, "# HELP %s %s\n# TYPE %s %s\n", counter->name,
			    counter->help, counter->name,
			    mmx_counter_kind_string[counter->kind]);
}

mmx_histogram_t *mmx_counters_histogram(mmx_counters_t *counters,
					const char *name, const char *labels,
					const char *help)
{
	mmx_histogram_t *histogram;
	mmx_histogram_t *same_name = NULL;

	LIST_FOREACH (histogram, &counters->histograms, entry) {
		if (strcmp(histogram->name, name) != 0)
			continue;
		same_name = histogram;
		if (strcmp(histogram->labels, labels) == 0)
			return histogram;
	}
	histogram = g_new0(mmx_histogram_t, 1);
	histogram->name = g_strdup(name);
	histogram->labels = g_strdup(labels);
	histogram->help = g_strdup(help);
	if (same_name)
		LIST_INSERT_AFTER(same_name, histogram, entry);
	else
		LIST_INSERT_HEAD(&counters->histograms, histogram, entry);
	return histogram;
}

void mmx_histogram_add(mmx_histogram_t *histogram, int64_t took)
{
	size_t i = 0;

	if (!histogram)
		return;
	while (i < MMX_HISTOGRAM_BUCKETS && took > mmx_histogram_bounds[i])
		i++;
	histogram->count[i]++;
	histogram->sum += took;
}

static void write_histogram_(const mmx_histogram_t *histogram,
			     struct evbuffer *out)
{
	const char *labels = histogram->labels;
	const char *comma = labels[0] ? "," : "";
	uint64_t total = 0;
	size_t i;

	for (i = 0; i < MMX_HISTOGRAM_BUCKETS; i++) {
		total += histogram->count[i];
		evbuffer_add_printf(
			out, "%s_bucket{%s%sle=\"%g\"} %" PRIu64 "\n",
			histogram->name, labels, comma,
			(double)mmx_histogram_bounds[i] / 1e6, total);
	}
	total += histogram->count[MMX_HISTOGRAM_BUCKETS];
	evbuffer_add_printf(out, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n",
			    histogram->name, labels, comma, total);
	evbuffer_add_printf(out, "%s_sum{%s} %g\n%s_count{%s} %" PRIu64 "\n",
			    histogram->name, labels,
			    (double)histogram->sum / 1e6, histogram->name,
			    labels, total);
}

static void write_histograms_(const mmx_counters_t *counters,
			      struct evbuffer *out)
{
	const mmx_histogram_t *histogram;
	const char *previous = "";

	LIST_FOREACH (histogram, &counters->histograms, entry) {
		if (strcmp(previous, histogram->name) != 0)
			evbuffer_add_printf(out,
					    "# HELP %s %s\n"
					    "# TYPE %s histogram\n",
					    histogram->name, histogram->help,
					    histogram->name);
		previous = histogram->name;
		write_histogram_(histogram, out);
	}
}

void mmx_counters_write(const mmx_counters_t *counters, struct evbuffer *out)
{
	const mmx_counter_t *counter;
	const char *previous = "";

	LIST_FOREACH (counter, &counters->list, entry) {
		if (strcmp(previous, counter->name) != 0)
			write_header_(counter, out);
		previous = counter->name;
		if (counter->labels[0])
			evbuffer_add_printf(out, "%s{%s} %" PRId64 "\n",
					    counter->name, counter->labels,
					    counter->value);
		else
			evbuffer_add_printf(out, "%s %" PRId64 "\n",
					    counter->name, counter->value);
	}
	write_histograms_(counters, out);
}
