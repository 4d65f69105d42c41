#include "private/store_source.h"

#include <glib.h>

typedef struct failure_t {
	mmx_node_id_t node;
	mmx_time_t until; /* end of the back-off */
	mmx_time_t delay; /* length of the back-off */
} failure_t;

struct mmx_store_source_t {
	mmx_node_id_t self;
	mmx_time_t read_store_until; /* this node reads the store until then */
	GHashTable *failures;	     /* of failure_t, by node */
};

mmx_store_source_t *mmx_store_source_create(mmx_node_id_t self)
{
	mmx_store_source_t *source = g_new0(mmx_store_source_t, 1);

	source->self = self;
	source->failures = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, g_free);
	return source;
}

void mmx_store_source_destroy(mmx_store_source_t *source)
{
	if (!source)
		return;
	g_hash_table_destroy(source->failures);
	g_free(source);
}

static bool in_backoff_(const mmx_store_source_t *source, mmx_node_id_t node,
			mmx_time_t now)
{
	const failure_t *failure = g_hash_table_lookup(source->failures, &node);

	return failure && now < failure->until;
}

mmx_node_id_t mmx_store_source_choose(mmx_store_source_t *source,
				      const mmx_node_id_t *nodes, size_t count,
				      mmx_time_t now)
{
	mmx_node_id_t first = source->self;
	size_t i;

	if (mmx_store_source_is_queried(source, now))
		return MMX_STORE_SOURCE_STORE;
	for (i = 0; i < count; i++)
		if (nodes[i] < first && !in_backoff_(source, nodes[i], now))
			first = nodes[i];
	return first == source->self ? MMX_STORE_SOURCE_STORE : first;
}

void mmx_store_source_report_success(mmx_store_source_t *source,
				     mmx_node_id_t node)
{
	g_hash_table_remove(source->failures, &node);
}

void mmx_store_source_report_failure(mmx_store_source_t *source,
				     mmx_node_id_t node, mmx_time_t now)
{
	failure_t *failure = g_hash_table_lookup(source->failures, &node);

	if (!failure) {
		failure = g_new0(failure_t, 1);
		failure->node = node;
		g_hash_table_insert(source->failures, &failure->node, failure);
	}
	failure->delay = failure->delay ? MIN(2 * failure->delay,
					      MMX_STORE_SOURCE_BACKOFF_MAX_US)
					: MMX_STORE_SOURCE_BACKOFF_MIN_US;
	failure->until = now + failure->delay;
}

void mmx_store_source_on_query(mmx_store_source_t *source, mmx_time_t now)
{
	source->read_store_until = now + MMX_STORE_SOURCE_QUERIED_TTL_US;
}

bool mmx_store_source_is_queried(const mmx_store_source_t *source,
				 mmx_time_t now)
{
	return now < source->read_store_until;
}
