#include "standin/executions.h"

#include <event2/buffer.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

typedef struct execution_t {
	uint32_t started;
	uint32_t finished;
	char key[];
} execution_t;

struct executions_t {
	GHashTable *by_key;
	GPtrArray *ordered;
	size_t max_keys;
	executions_totals_t totals;
};

executions_t *executions_create(size_t max_keys)
{
	executions_t *executions = g_new0(executions_t, 1);

	executions->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	executions->ordered = g_ptr_array_new_with_free_func(g_free);
	executions->max_keys = max_keys;
	return executions;
}

void executions_destroy(executions_t *executions)
{
	if (!executions)
		return;
	g_hash_table_destroy(executions->by_key);
	g_ptr_array_free(executions->ordered, TRUE);
	g_free(executions);
}

bool executions_key_valid(const char *key)
{
	size_t length = strspn(key, "abcdefghijklmnopqrstuvwxyz"
				    "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				    "0123456789._:-");

	return length >= 1 && length <= EXECUTIONS_KEY_MAX &&
	       key[length] == '\0';
}

void executions_start(executions_t *executions, const char *key)
{
	execution_t *execution = g_hash_table_lookup(executions->by_key, key);
	size_t size = strlen(key) + 1;

	executions->totals.started++;
	if (!execution) {
		if (executions->ordered->len >= executions->max_keys) {
			executions->totals.untracked++;
			return;
		}
		execution = g_malloc0(sizeof(*execution) + size);
		memcpy(execution->key, key, size);
		g_ptr_array_add(executions->ordered, execution);
		g_hash_table_insert(executions->by_key, execution->key,
				    execution);
	}
	execution->started++;
}

void executions_finish(executions_t *executions, const char *key)
{
	execution_t *execution = g_hash_table_lookup(executions->by_key, key);

	executions->totals.finished++;
	if (execution)
		execution->finished++;
}

void executions_clear(executions_t *executions)
{
	g_hash_table_remove_all(executions->by_key);
	g_ptr_array_set_size(executions->ordered, 0);
	memset(&executions->totals, 0, sizeof(executions->totals));
}

void executions_totals(const executions_t *executions,
		       executions_totals_t *totals)
{
	*totals = executions->totals;
	totals->keys = executions->ordered->len;
}

void executions_page(const executions_t *executions, size_t from, size_t max,
		     struct evbuffer *out)
{
	size_t total = executions->ordered->len;
	size_t next = from < total ? MIN(total, from + max) : total;
	size_t i;

	evbuffer_add_printf(out,
			    "{\"total\":%zu,\"untracked\":%" PRIu64
			    ",\"next\":%zu,\"executions\":{",
			    total, executions->totals.untracked, next);
	for (i = from; i < next; i++) {
		const execution_t *execution = executions->ordered->pdata[i];

		evbuffer_add_printf(out,
				    "%s\"%s\":{\"started\":%u,\"finished\":%u}",
				    i > from ? "," : "", execution->key,
				    execution->started, execution->finished);
	}
	evbuffer_add_printf(out, "}}\n");
}
