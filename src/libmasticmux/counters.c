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

struct mmx_counters_t {
	counter_list_t list;
};

mmx_counters_t *mmx_counters_create(void)
{
	mmx_counters_t *counters = g_new0(mmx_counters_t, 1);

	LIST_INIT(&counters->list);
	return counters;
}

void mmx_counters_destroy(mmx_counters_t *counters)
{
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
}
