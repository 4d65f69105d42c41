#include "standin/load_verify.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define FETCH_TIMEOUT_S 10
#define PAGE_KEYS 10000

typedef struct executed_t {
	uint16_t started;
	uint16_t finished;
} executed_t;

typedef struct fetch_t {
	json_t *value;
	bool done;
} fetch_t;

static void on_fetched_(struct evhttp_request *req, void *arg)
{
	fetch_t *fetch = arg;
	struct evbuffer *body;
	size_t length;

	fetch->done = true;
	if (!req || evhttp_request_get_response_code(req) != HTTP_OK)
		return;
	body = evhttp_request_get_input_buffer(req);
	length = evbuffer_get_length(body);
	fetch->value = json_loadb((const char *)evbuffer_pullup(body, -1),
				  length, 0, NULL);
}

static json_t *fetch_(struct event_base *base, struct evhttp_connection *conn,
		      const char *host, size_t from)
{
	struct evhttp_request *req;
	fetch_t fetch = {0};
	char path[64];

	g_snprintf(path, sizeof(path), "/executions?from=%zu&max=%d", from,
		   PAGE_KEYS);
	req = evhttp_request_new(on_fetched_, &fetch);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", host);
	if (evhttp_make_request(conn, req, EVHTTP_REQ_GET, path))
		return NULL;
	while (!fetch.done)
		event_base_loop(base, EVLOOP_ONCE);
	return fetch.value;
}

static void add_page_(json_t *page, const char *prefix, GArray *executed)
{
	size_t prefix_length = strlen(prefix);
	const char *key;
	json_t *value;
	uint64_t sequence;
	executed_t *entry;

	json_object_foreach(json_object_get(page, "executions"), key, value)
	{
		if (strncmp(key, prefix, prefix_length) != 0)
			continue;
		sequence = g_ascii_strtoull(key + prefix_length, NULL, 10);
		if (sequence >= executed->len)
			continue;
		entry = &g_array_index(executed, executed_t, sequence);
		entry->started += (uint16_t)json_integer_value(
			json_object_get(value, "started"));
		entry->finished += (uint16_t)json_integer_value(
			json_object_get(value, "finished"));
	}
}

/* Adds what one target executed; false when it could not be read whole. */
static bool add_target_(struct event_base *base,
			const standin_address_t *target, const char *prefix,
			GArray *executed)
{
	struct evhttp_connection *conn = evhttp_connection_base_new(
		base, NULL, target->host, target->port);
	json_int_t next = 0;
	json_int_t total = 0;
	json_int_t untracked = 0;
	json_t *page;
	bool whole = true;

	evhttp_connection_set_timeout(conn, FETCH_TIMEOUT_S);
	do {
		page = fetch_(base, conn, target->host, (size_t)next);
		whole = page &&
			!json_unpack(page, "{s:I,s:I,s:I}", "total", &total,
				     "next", &next, "untracked", &untracked);
		whole = whole && untracked == 0;
		if (whole)
			add_page_(page, prefix, executed);
		json_decref(page);
	} while (whole && next < total);
	evhttp_connection_free(conn);
	return whole;
}

static void check_(const load_record_t *record, const executed_t *executed,
		   const char *key, load_stats_t *stats)
{
	if (!record->repeatable && executed->started > 1)
		load_stats_violation(stats, "request ran more than once", key);
	if (record->fate == LOAD_FATE_NOT_RUN && executed->started > 0)
		load_stats_violation(stats, "not-run request was started", key);
	if (record->fate != LOAD_FATE_COMPLETED)
		return;
	if (executed->finished == 0)
		load_stats_violation(stats, "completed request did not finish",
				     key);
	else if (!record->repeatable && executed->finished > 1)
		load_stats_violation(
			stats, "completed request finished more than once",
			key);
}

void load_verify(struct event_base *base, const standin_address_t *targets,
		 size_t target_count, const GArray *records,
		 load_stats_t *stats)
{
	GArray *executed = g_array_new(FALSE, TRUE, sizeof(executed_t));
	char *prefix = g_strdup_printf("%s-", stats->run);
	char address[STANDIN_ADDRESS_MAX + 8];
	bool whole = true;
	char key[64];
	size_t i;

	g_array_set_size(executed, records->len);
	for (i = 0; i < target_count; i++) {
		if (add_target_(base, &targets[i], prefix, executed))
			continue;
		whole = false;
		g_snprintf(address, sizeof(address), "%s:%u", targets[i].host,
			   targets[i].port);
		load_stats_violation(
			stats, "executions of a target cannot be read whole",
			address);
	}
	for (i = 0; i < records->len && whole; i++) {
		stats->checked_requests++;
		g_snprintf(key, sizeof(key), "%s%zu", prefix, i);
		check_(&g_array_index(records, load_record_t, i),
		       &g_array_index(executed, executed_t, i), key, stats);
	}
	g_free(prefix);
	g_array_free(executed, TRUE);
}
