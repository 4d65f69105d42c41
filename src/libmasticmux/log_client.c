#include "masticmux/log_client.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#define IDLE_MAX 4
#define HEADERS_MAX (16 * 1024)
/* Most records that are taken from one answer. */
#define RECORDS_MAX 65536

const char *const mmx_log_result_string[MMX_LOG_RESULT_COUNT] = {
	"ok", "refused", "unknown", "malformed", "too-large",
};

typedef struct connection_t {
	LIST_ENTRY(connection_t) entry;
	struct evhttp_connection *http;
} connection_t;

typedef LIST_HEAD(connection_list_t, connection_t) connection_list_t;

typedef struct call_t {
	LIST_ENTRY(call_t) entry;
	mmx_log_client_t *client;
	mmx_timer_t timer; /* start after the back-off, then the timeout */
	connection_t *connection;
	bool too_large;
	bool is_append;
	char *uri;
	char *body;
	size_t length;
	mmx_time_t timeout;
	mmx_log_read_fn_t on_read;
	mmx_log_append_fn_t on_append;
	void *arg;
} call_t;

struct mmx_log_client_t {
	struct event_base *base;
	mmx_clock_t *clock;
	mmx_address_t address;
	mmx_random_t random;
	mmx_time_t backoff;
	mmx_time_t not_before;
	LIST_HEAD(, call_t) calls;
	connection_list_t idle;
	connection_list_t broken;
	size_t idle_count;
	mmx_timer_t reaper;
	mmx_counter_t *appends[MMX_LOG_RESULT_COUNT];
	mmx_counter_t *reads[MMX_LOG_RESULT_COUNT];
	mmx_counter_t *received;
	mmx_counter_t *sent;
};

static void free_connections_(connection_list_t *list)
{
	connection_t *connection;

	while ((connection = LIST_FIRST(list))) {
		LIST_REMOVE(connection, entry);
		evhttp_connection_free(connection->http);
		g_free(connection);
	}
}

static void on_reap_(void *arg)
{
	mmx_log_client_t *client = arg;

	free_connections_(&client->broken);
}

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
	mmx_log_client_t *client;

	assert(base && clock && address->port);
	client = g_new0(mmx_log_client_t, 1);
	client->base = base;
	client->clock = clock;
	client->address = *address;
	mmx_random_seed(&client->random, seed);
	LIST_INIT(&client->calls);
	LIST_INIT(&client->idle);
	LIST_INIT(&client->broken);
	mmx_timer_init(&client->reaper, clock, on_reap_, client);
	if (counters)
		register_counters_(client, counters);
	return client;
}

static void free_call_(call_t *call)
{
	mmx_timer_cancel(&call->timer);
	LIST_REMOVE(call, entry);
	g_free(call->uri);
	g_free(call->body);
	g_free(call);
}

void mmx_log_client_destroy(mmx_log_client_t *client)
{
	call_t *call;

	if (!client)
		return;
	while ((call = LIST_FIRST(&client->calls))) {
		if (call->connection) {
			evhttp_connection_free(call->connection->http);
			g_free(call->connection);
		}
		free_call_(call);
	}
	mmx_timer_cancel(&client->reaper);
	free_connections_(&client->idle);
	free_connections_(&client->broken);
	g_free(client);
}

/* evhttp may still use a connection while it calls back, so that a broken one
 * is freed by a timer. */
static void drop_connection_(mmx_log_client_t *client, connection_t *connection)
{
	LIST_INSERT_HEAD(&client->broken, connection, entry);
	mmx_timer_set(&client->reaper, 0);
}

static void keep_connection_(mmx_log_client_t *client, connection_t *connection)
{
	if (client->idle_count >= IDLE_MAX) {
		drop_connection_(client, connection);
		return;
	}
	LIST_INSERT_HEAD(&client->idle, connection, entry);
	client->idle_count++;
}

static connection_t *take_connection_(mmx_log_client_t *client)
{
	connection_t *connection = LIST_FIRST(&client->idle);

	if (connection) {
		LIST_REMOVE(connection, entry);
		client->idle_count--;
		return connection;
	}
	connection = g_new0(connection_t, 1);
	connection->http = evhttp_connection_base_new(
		client->base, NULL, client->address.host, client->address.port);
	evhttp_connection_set_max_body_size(connection->http,
					    MMX_LOG_RESPONSE_MAX);
	evhttp_connection_set_max_headers_size(connection->http, HEADERS_MAX);
	return connection;
}

static void note_result_(mmx_log_client_t *client, mmx_log_result_t result)
{
	mmx_time_t now = mmx_clock_now(client->clock);

	if (result == MMX_LOG_OK || result == MMX_LOG_TOO_LARGE) {
		client->backoff = 0;
		client->not_before = now;
		return;
	}
	client->backoff =
		client->backoff ? 2 * client->backoff : MMX_LOG_BACKOFF_MIN;
	if (client->backoff > MMX_LOG_BACKOFF_MAX)
		client->backoff = MMX_LOG_BACKOFF_MAX;
	/* Half of the delay is random, so that many clients do not return at
	 * the same moment after an outage. */
	client->not_before =
		now + client->backoff / 2 +
		(mmx_time_t)mmx_random_below(&client->random,
					     (uint64_t)client->backoff / 2 + 1);
}

/* Ends a call; its connection has been given back. */
static void end_call_(call_t *call, mmx_log_result_t result)
{
	mmx_log_client_t *client = call->client;

	mmx_counter_add(call->is_append ? client->appends[result]
					: client->reads[result],
			1);
	note_result_(client, result);
	free_call_(call);
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

static void on_timeout_(void *arg)
{
	call_t *call = arg;

	/* Freed at once, so that a late answer can't reach the call. */
	evhttp_connection_free(call->connection->http);
	g_free(call->connection);
	call->connection = NULL;
	fail_call_(call, MMX_LOG_UNKNOWN);
}

/* Records of an answer; they point into the JSON tree. */
typedef struct answer_t {
	json_t *root;
	mmx_log_record_t *list;
	mmx_log_records_t records;
} answer_t;

static void free_answer_(answer_t *answer)
{
	g_free(answer->list);
	json_decref(answer->root);
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

static bool parse_records_(answer_t *answer, const json_t *array)
{
	mmx_log_records_t *records = &answer->records;
	mmx_log_record_t *list;
	json_t *item;
	size_t i;

	answer->list = g_new0(mmx_log_record_t, json_array_size(array) + 1);
	list = answer->list;
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

static mmx_log_result_t parse_answer_(const char *body, size_t length,
				      answer_t *answer)
{
	json_t *root = json_loadb(body, length, JSON_ALLOW_NUL, NULL);
	json_t *first = json_object_get(root, "first");
	json_t *next = json_object_get(root, "next");
	json_t *array = json_object_get(root, "records");

	*answer = (answer_t){.root = root};
	if (!json_is_integer(first) || json_integer_value(first) < 0 ||
	    !json_is_integer(next) ||
	    json_integer_value(next) < json_integer_value(first) ||
	    !json_is_array(array) || json_array_size(array) > RECORDS_MAX)
		return MMX_LOG_MALFORMED;
	answer->records.first = (uint64_t)json_integer_value(first);
	answer->records.next = (uint64_t)json_integer_value(next);
	return parse_records_(answer, array) ? MMX_LOG_OK : MMX_LOG_MALFORMED;
}

mmx_log_result_t mmx_log_client_parse(const char *body, size_t length,
				      mmx_log_read_fn_t fn, void *arg)
{
	answer_t answer;
	mmx_log_result_t result = parse_answer_(body, length, &answer);

	if (result == MMX_LOG_OK)
		fn(arg, result, &answer.records);
	free_answer_(&answer);
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

static mmx_log_result_t status_result_(const call_t *call,
				       struct evhttp_request *request)
{
	int code = request ? evhttp_request_get_response_code(request) : 0;

	if (call->too_large)
		return call->is_append ? MMX_LOG_MALFORMED : MMX_LOG_TOO_LARGE;
	if (code == HTTP_OK)
		return MMX_LOG_OK;
	/* Only the client errors say that nothing was appended; a proxy or a
	 * failing store may answer 5xx after the record was written. */
	if (code >= 400 && code < 500)
		return MMX_LOG_REFUSED;
	return MMX_LOG_UNKNOWN;
}

/* Gives the connection back and ends the call before the callback, which may
 * start the next call or destroy the client. */
static void finish_read_(call_t *call, const char *body, size_t length)
{
	mmx_log_read_fn_t fn = call->on_read;
	void *arg = call->arg;
	answer_t answer;
	mmx_log_result_t result = parse_answer_(body, length, &answer);

	mmx_counter_add(call->client->received, (int64_t)length);
	end_call_(call, result);
	fn(arg, result, result == MMX_LOG_OK ? &answer.records : NULL);
	free_answer_(&answer);
}

static void finish_append_(call_t *call, const char *body, size_t length)
{
	mmx_log_append_fn_t fn = call->on_append;
	void *arg = call->arg;
	uint64_t offset = 0;
	mmx_log_result_t result = parse_append_(body, length, &offset);

	end_call_(call, result);
	fn(arg, result, offset);
}

static void on_done_(struct evhttp_request *request, void *arg)
{
	call_t *call = arg;
	mmx_log_client_t *client = call->client;
	mmx_log_result_t result = status_result_(call, request);
	struct evbuffer *input;
	const char *body;
	size_t length;

	if (result != MMX_LOG_OK) {
		drop_connection_(client, call->connection);
		call->connection = NULL;
		fail_call_(call, result);
		return;
	}
	keep_connection_(client, call->connection);
	call->connection = NULL;
	input = evhttp_request_get_input_buffer(request);
	length = evbuffer_get_length(input);
	body = length ? (const char *)evbuffer_pullup(input, -1) : "";
	if (call->is_append)
		finish_append_(call, body, length);
	else
		finish_read_(call, body, length);
}

static void on_error_(enum evhttp_request_error error, void *arg)
{
	call_t *call = arg;

	if (error == EVREQ_HTTP_DATA_TOO_LONG)
		call->too_large = true;
}

static void start_call_(void *arg)
{
	call_t *call = arg;
	mmx_log_client_t *client = call->client;
	struct evhttp_request *request = evhttp_request_new(on_done_, call);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
	char host[MMX_ADDRESS_MAX + 9];

	mmx_timer_init(&call->timer, client->clock, on_timeout_, call);
	mmx_timer_set(&call->timer, call->timeout);
	call->connection = take_connection_(client);
	evhttp_request_set_error_cb(request, on_error_);
	mmx_address_format(&client->address, host, sizeof(host));
	evhttp_add_header(headers, "Host", host);
	if (call->is_append) {
		evhttp_add_header(headers, "Content-Type", "application/json");
		evbuffer_add(evhttp_request_get_output_buffer(request),
			     call->body, call->length);
		mmx_counter_add(client->sent, (int64_t)call->length);
	}
	if (evhttp_make_request(call->connection->http, request,
				call->is_append ? EVHTTP_REQ_POST
						: EVHTTP_REQ_GET,
				call->uri) != 0) {
		/* The request is freed by evhttp; the call ends through its
		 * timer, outside of the caller's stack. */
		mmx_timer_set(&call->timer, 0);
	}
}

static call_t *new_call_(mmx_log_client_t *client, void *arg)
{
	call_t *call = g_new0(call_t, 1);

	call->client = client;
	call->arg = arg;
	call->timeout = MMX_LOG_TIMEOUT;
	LIST_INSERT_HEAD(&client->calls, call, entry);
	mmx_timer_init(&call->timer, client->clock, start_call_, call);
	mmx_timer_set(&call->timer, mmx_log_client_backoff(client));
	return call;
}

void mmx_log_client_append(mmx_log_client_t *client, const char *stream,
			   const char *data, size_t length,
			   mmx_log_append_fn_t fn, void *arg)
{
	call_t *call = new_call_(client, arg);

	assert(fn);
	call->is_append = true;
	call->on_append = fn;
	call->uri = g_strdup_printf("/streams/%s", stream);
	call->body = g_memdup2(data, length);
	call->length = length;
}

void mmx_log_client_read(mmx_log_client_t *client, const char *stream,
			 uint64_t from, unsigned int max, mmx_time_t wait,
			 mmx_log_read_fn_t fn, void *arg)
{
	call_t *call = new_call_(client, arg);

	assert(fn && max > 0 && wait >= 0);
	call->on_read = fn;
	call->timeout += wait;
	call->uri = g_strdup_printf("/streams/%s?from=%" PRIu64
				    "&max=%u&wait_ms=%lld",
				    stream, from, max, wait / MMX_US_PER_MS);
}

mmx_time_t mmx_log_client_backoff(const mmx_log_client_t *client)
{
	mmx_time_t now = mmx_clock_now(client->clock);

	return client->not_before > now ? client->not_before - now : 0;
}
