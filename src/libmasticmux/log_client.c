#include "masticmux/log_client.h"

#include <assert.h>
#include <event2/http.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "private/http_client.h"

/* Maximum number of records in a response. */
#define RECORDS_MAX 65536

const char *const mmx_log_result_string[MMX_LOG_RESULT_COUNT] = {
	"ok", "refused", "unknown", "malformed", "too-large",
};

typedef struct call_t {
	mmx_log_client_t *client;
	bool is_append;
	mmx_log_read_fn_t on_read;
	mmx_log_append_fn_t on_append;
	void *arg;
} call_t;

struct mmx_log_client_t {
	mmx_http_client_t *http;
	GHashTable *calls; /* set of pending call_t, owned by the client */
	mmx_counter_t *appends[MMX_LOG_RESULT_COUNT];
	mmx_counter_t *reads[MMX_LOG_RESULT_COUNT];
	mmx_counter_t *received; /* bytes */
	mmx_counter_t *sent;	 /* bytes */
};

static void register_counters_(mmx_log_client_t *client,
			       mmx_counters_t *counters)
{
	int result;

	for (result = 0; result < MMX_LOG_RESULT_COUNT; result++) {
		char labels[64];

		g_snprintf(labels, sizeof(labels), "result=\"%s\"",
			   mmx_log_result_string[result]);
		client->appends[result] = mmx_counters_get(
			counters, MMX_COUNTER, "masticmux_log_appends_total",
			labels, "Appends to the log service");
		client->reads[result] = mmx_counters_get(
			counters, MMX_COUNTER, "masticmux_log_reads_total",
			labels, "Reads from the log service");
	}
	client->received = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_log_received_bytes_total", "",
		"Bytes of answers to reads");
	client->sent = mmx_counters_get(counters, MMX_COUNTER,
					"masticmux_log_sent_bytes_total", "",
					"Bytes of records appended");
}

mmx_log_client_t *mmx_log_client_create(struct event_base *base,
					mmx_clock_t *clock,
					const mmx_address_t *address,
					mmx_counters_t *counters, uint64_t seed)
{
	mmx_log_client_t *client = g_new0(mmx_log_client_t, 1);

	client->http = mmx_http_client_create(&(mmx_http_client_config_t){
		.base = base,
		.clock = clock,
		.address = *address,
		.seed = seed,
		.body_max = MMX_LOG_RESPONSE_MAX,
		.backoff_min = MMX_LOG_BACKOFF_MIN_US,
		.backoff_max = MMX_LOG_BACKOFF_MAX_US,
		.stall_timeout = MMX_LOG_TIMEOUT_US,
	});
	client->calls = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	if (counters)
		register_counters_(client, counters);
	return client;
}

void mmx_log_client_destroy(mmx_log_client_t *client)
{
	if (!client)
		return;
	mmx_http_client_destroy(client->http);
	g_hash_table_destroy(client->calls);
	g_free(client);
}

/* Counts the result and frees the call. Runs before the callback, which may
 * start the next call or destroy the client. */
static void end_call_(call_t *call, mmx_log_result_t result)
{
	mmx_log_client_t *client = call->client;

	mmx_counter_add(call->is_append ? client->appends[result]
					: client->reads[result],
			1);
	if (result == MMX_LOG_OK || result == MMX_LOG_TOO_LARGE)
		mmx_http_client_report_success(client->http);
	else
		mmx_http_client_report_failure(client->http);
	g_hash_table_remove(client->calls, call);
}

static void fail_call_(call_t *call, mmx_log_result_t result)
{
	mmx_log_append_fn_t on_append = call->on_append;
	mmx_log_read_fn_t on_read = call->on_read;
	void *arg = call->arg;

	end_call_(call, result);
	if (on_append)
		on_append(arg, result, 0);
	else
		on_read(arg, result, NULL);
}

/* Response to a read; the records point into the JSON tree. */
typedef struct read_response_t {
	json_t *root;
	mmx_log_record_t *list;
	mmx_log_records_t records;
} read_response_t;

static void clear_response_(read_response_t *response)
{
	g_free(response->list);
	json_decref(response->root);
}

static bool parse_record_(json_t *item, mmx_log_record_t *record)
{
	json_t *offset = json_object_get(item, "offset");
	json_t *data = json_object_get(item, "data");

	if (!json_is_integer(offset) || json_integer_value(offset) < 0 ||
	    !json_is_string(data))
		return false;
	record->offset = (uint64_t)json_integer_value(offset);
	record->data = json_string_value(data);
	record->length = json_string_length(data);
	return true;
}

static bool parse_records_(read_response_t *response, const json_t *array)
{
	mmx_log_records_t *records = &response->records;
	mmx_log_record_t *list;
	json_t *item;
	size_t i;

	response->list = g_new0(mmx_log_record_t, json_array_size(array) + 1);
	list = response->list;
	json_array_foreach(array, i, item)
	{
		if (!parse_record_(item, &list[i]) ||
		    list[i].offset < records->first ||
		    list[i].offset >= records->next ||
		    (i && list[i].offset <= list[i - 1].offset))
			return false;
	}
	records->records = list;
	records->count = json_array_size(array);
	return true;
}

static mmx_log_result_t parse_read_(const char *body, size_t length,
				    read_response_t *response)
{
	json_t *root = json_loadb(body, length, JSON_ALLOW_NUL, NULL);
	json_t *first = json_object_get(root, "first");
	json_t *next = json_object_get(root, "next");
	json_t *array = json_object_get(root, "records");

	*response = (read_response_t){.root = root};
	if (!json_is_integer(first) || json_integer_value(first) < 0 ||
	    !json_is_integer(next) ||
	    json_integer_value(next) < json_integer_value(first) ||
	    !json_is_array(array) || json_array_size(array) > RECORDS_MAX)
		return MMX_LOG_MALFORMED;
	response->records.first = (uint64_t)json_integer_value(first);
	response->records.next = (uint64_t)json_integer_value(next);
	return parse_records_(response, array) ? MMX_LOG_OK : MMX_LOG_MALFORMED;
}

mmx_log_result_t mmx_log_client_parse_read(const char *body, size_t length,
					   mmx_log_read_fn_t fn, void *arg)
{
	read_response_t response;
	mmx_log_result_t result = parse_read_(body, length, &response);

	if (result == MMX_LOG_OK)
		fn(arg, result, &response.records);
	clear_response_(&response);
	return result;
}

static mmx_log_result_t parse_append_(const char *body, size_t length,
				      uint64_t *offset)
{
	json_t *root = json_loadb(body, length, 0, NULL);
	json_t *value = json_object_get(root, "offset");
	bool valid = json_is_integer(value) && json_integer_value(value) >= 0;

	if (valid)
		*offset = (uint64_t)json_integer_value(value);
	json_decref(root);
	return valid ? MMX_LOG_OK : MMX_LOG_MALFORMED;
}

static mmx_log_result_t reply_result_(const call_t *call,
				      const mmx_http_reply_t *reply)
{
	if (!reply)
		return MMX_LOG_UNKNOWN;
	if (reply->too_large)
		return call->is_append ? MMX_LOG_MALFORMED : MMX_LOG_TOO_LARGE;
	if (reply->status == HTTP_OK)
		return MMX_LOG_OK;
	/* Only a 4xx status means that nothing was appended. A proxy or a
	 * failing store may send 5xx after the record was written. */
	if (reply->status >= 400 && reply->status < 500)
		return MMX_LOG_REFUSED;
	return MMX_LOG_UNKNOWN;
}

static void on_read_body_(call_t *call, const char *body, size_t length)
{
	mmx_log_read_fn_t fn = call->on_read;
	void *arg = call->arg;
	read_response_t response;
	mmx_log_result_t result = parse_read_(body, length, &response);

	mmx_counter_add(call->client->received, (int64_t)length);
	end_call_(call, result);
	fn(arg, result, result == MMX_LOG_OK ? &response.records : NULL);
	clear_response_(&response);
}

static void on_append_body_(call_t *call, const char *body, size_t length)
{
	mmx_log_append_fn_t fn = call->on_append;
	void *arg = call->arg;
	uint64_t offset = 0;
	mmx_log_result_t result = parse_append_(body, length, &offset);

	end_call_(call, result);
	fn(arg, result, offset);
}

static void on_reply_(void *arg, const mmx_http_reply_t *reply)
{
	call_t *call = arg;
	mmx_log_result_t result = reply_result_(call, reply);

	if (result != MMX_LOG_OK)
		fail_call_(call, result);
	else if (call->is_append)
		on_append_body_(call, reply->body, reply->length);
	else
		on_read_body_(call, reply->body, reply->length);
}

static call_t *create_call_(mmx_log_client_t *client, void *arg)
{
	call_t *call = g_new0(call_t, 1);

	call->client = client;
	call->arg = arg;
	g_hash_table_add(client->calls, call);
	return call;
}

void mmx_log_client_append(mmx_log_client_t *client, const char *stream,
			   const char *data, size_t length,
			   mmx_log_append_fn_t fn, void *arg)
{
	call_t *call = create_call_(client, arg);
	char *uri = g_strdup_printf("/streams/%s", stream);

	assert(fn);
	call->is_append = true;
	call->on_append = fn;
	mmx_counter_add(client->sent, (int64_t)length);
	mmx_http_client_post(client->http, uri, "application/json", data,
			     length, MMX_LOG_TIMEOUT_US, on_reply_, call);
	g_free(uri);
}

void mmx_log_client_read(mmx_log_client_t *client, const char *stream,
			 uint64_t from, unsigned int max, mmx_time_t wait,
			 mmx_log_read_fn_t fn, void *arg)
{
	call_t *call = create_call_(client, arg);
	char *uri = g_strdup_printf("/streams/%s?from=%" PRIu64
				    "&max=%u&wait_ms=%lld",
				    stream, from, max, wait / MMX_US_PER_MS);

	assert(fn && max > 0 && wait >= 0);
	call->on_read = fn;
	mmx_http_client_get(client->http, uri, MMX_LOG_TIMEOUT_US + wait,
			    on_reply_, call);
	g_free(uri);
}

mmx_time_t mmx_log_client_backoff(const mmx_log_client_t *client)
{
	return mmx_http_client_backoff_left(client->http);
}
