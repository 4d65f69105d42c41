#include "private/exporter.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "private/http_guard.h"

#define BATCH_MAX 256
#define INTERVAL (1 * MMX_US_PER_S)
#define BACKOFF_MAX (60 * MMX_US_PER_S)
#define TIMEOUT_S 10
/* The collector's response is not read beyond its status. */
#define RESPONSE_MAX (64 * 1024)
#define HEADERS_MAX (16 * 1024)

/* Values of the enum SpanKind in OTLP. */
static const int otlp_kind_[MMX_SPAN_KIND_COUNT] = {1, 2, 3};
/* StatusCode ERROR in OTLP. */
#define OTLP_STATUS_ERROR 2

struct mmx_exporter_t {
	mmx_trace_t *trace;
	char *node;
	char *host;
	struct evhttp_connection *connection;
	bool initialised;
	mmx_time_t interval;
	mmx_timer_t timer;
	mmx_time_t backoff; /* 0 while the collector responds */
	char *batch;	    /* JSON that was not yet delivered */
	size_t batch_spans;
	bool sending;
	mmx_counter_t *exported;
	mmx_counter_t *failures;
};

static json_t *hex_json_(const uint8_t *data, size_t bytes)
{
	char text[33];
	size_t i;

	for (i = 0; i < bytes; i++)
		snprintf(text + 2 * i, 3, "%02x", data[i]);
	return json_string(text);
}

/* 64-bit integers are strings in the JSON form of OTLP. */
static json_t *integer_json_(int64_t value)
{
	return json_sprintf("%" PRId64, value);
}

static json_t *attribute_json_(const mmx_attribute_t *attribute)
{
	json_t *value =
		attribute->text
			? json_pack("{s:s}", "stringValue", attribute->text)
			: json_pack("{s:o}", "intValue",
				    integer_json_(attribute->number));

	return json_pack("{s:s,s:o}", "key", attribute->key, "value", value);
}

json_t *mmx_exporter_span_json(const mmx_span_t *span)
{
	static const uint8_t none[8];
	json_t *attributes = json_array();
	json_t *json = json_object();
	size_t i;

	for (i = 0; i < span->attribute_count; i++)
		json_array_append_new(attributes,
				      attribute_json_(&span->attributes[i]));
	json_object_set_new(json, "traceId",
			    hex_json_(span->context.trace_id, 16));
	json_object_set_new(json, "spanId",
			    hex_json_(span->context.span_id, 8));
	if (memcmp(span->parent, none, sizeof(none)) != 0)
		json_object_set_new(json, "parentSpanId",
				    hex_json_(span->parent, 8));
	json_object_set_new(json, "name", json_string(span->name));
	json_object_set_new(json, "kind", json_integer(otlp_kind_[span->kind]));
	json_object_set_new(json, "startTimeUnixNano",
			    integer_json_((int64_t)span->start * 1000));
	json_object_set_new(json, "endTimeUnixNano",
			    integer_json_((int64_t)span->end * 1000));
	json_object_set_new(json, "attributes", attributes);
	if (span->failed)
		json_object_set_new(
			json, "status",
			json_pack("{s:i}", "code", OTLP_STATUS_ERROR));
	return json;
}

static json_t *resource_json_(const mmx_exporter_t *exporter)
{
	return json_pack("{s:[{s:s,s:{s:s}},{s:s,s:{s:s}}]}", "attributes",
			 "key", "service.name", "value", "stringValue",
			 "masticmux", "key", "service.instance.id", "value",
			 "stringValue", exporter->node);
}

static void make_batch_(mmx_exporter_t *exporter)
{
	json_t *spans = json_array();
	json_t *root;
	mmx_span_t *span;

	while (exporter->batch_spans < BATCH_MAX &&
	       (span = mmx_trace_take(exporter->trace))) {
		json_array_append_new(spans, mmx_exporter_span_json(span));
		mmx_span_destroy(span);
		exporter->batch_spans++;
	}
	root = json_pack("{s:[{s:o,s:[{s:{s:s},s:o}]}]}", "resourceSpans",
			 "resource", resource_json_(exporter), "scopeSpans",
			 "scope", "name", "masticmux", "spans", spans);
	exporter->batch = json_dumps(root, JSON_COMPACT);
	json_decref(root);
}

static void drop_batch_(mmx_exporter_t *exporter)
{
	free(exporter->batch);
	exporter->batch = NULL;
	exporter->batch_spans = 0;
}

static void back_off_(mmx_exporter_t *exporter)
{
	mmx_counter_add(exporter->failures, 1);
	exporter->backoff = exporter->backoff
				    ? MIN(2 * exporter->backoff, BACKOFF_MAX)
				    : exporter->interval;
	mmx_timer_set(&exporter->timer, exporter->backoff);
}

/* Statuses that OTLP names as worth another try. */
static bool is_passing_(int status)
{
	return status == 429 || status == 502 || status == 503 || status == 504;
}

static void on_response_(struct evhttp_request *request, void *arg)
{
	mmx_exporter_t *exporter = arg;
	int status = request ? evhttp_request_get_response_code(request) : 0;

	exporter->sending = false;
	if (status == 0 || is_passing_(status)) {
		back_off_(exporter);
		return;
	}
	if (status >= 200 && status < 300) {
		mmx_counter_add(exporter->exported,
				(int64_t)exporter->batch_spans);
	} else {
		mmx_counter_add(exporter->failures, 1);
		mmx_trace_count_dropped(exporter->trace, exporter->batch_spans);
	}
	drop_batch_(exporter);
	exporter->backoff = 0;
	mmx_timer_set(&exporter->timer,
		      mmx_trace_queued(exporter->trace) >= BATCH_MAX
			      ? 0
			      : exporter->interval);
}

static void send_(mmx_exporter_t *exporter)
{
	struct evhttp_request *request =
		evhttp_request_new(on_response_, exporter);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(request);

	evhttp_add_header(headers, "Host", exporter->host);
	evhttp_add_header(headers, "Content-Type", "application/json");
	evbuffer_add(evhttp_request_get_output_buffer(request), exporter->batch,
		     strlen(exporter->batch));
	exporter->sending = true;
	/* On failure evhttp frees the request without calling back. */
	if (evhttp_make_request(exporter->connection, request, EVHTTP_REQ_POST,
				"/v1/traces") < 0) {
		exporter->sending = false;
		back_off_(exporter);
	}
}

static void on_timer_(void *arg)
{
	mmx_exporter_t *exporter = arg;

	if (exporter->sending)
		return;
	if (!exporter->batch && mmx_trace_queued(exporter->trace) > 0)
		make_batch_(exporter);
	if (exporter->batch)
		send_(exporter);
	else
		mmx_timer_set(&exporter->timer, exporter->interval);
}

static void register_counters_(mmx_exporter_t *exporter,
			       mmx_counters_t *counters)
{
	exporter->exported = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_spans_exported_total", "",
		"Spans that the collector took.");
	exporter->failures = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_export_failures_total", "",
		"Batches that the collector did not take.");
}

mmx_exporter_t *mmx_exporter_create(mmx_runtime_t *runtime, mmx_trace_t *trace,
				    const mmx_address_t *collector,
				    const char *node, mmx_counters_t *counters)
{
	mmx_exporter_t *exporter = g_new0(mmx_exporter_t, 1);
	char host[MMX_ADDRESS_MAX + 9];

	assert(mmx_runtime_base(runtime) && collector->port);
	mmx_address_format(collector, host, sizeof(host));
	exporter->trace = trace;
	exporter->interval = INTERVAL;
	exporter->node = g_strdup(node);
	exporter->host = g_strdup(host);
	exporter->connection =
		evhttp_connection_base_new(mmx_runtime_base(runtime), NULL,
					   collector->host, collector->port);
	mmx_http_guard_connection(
		evhttp_connection_get_bufferevent(exporter->connection));
	evhttp_connection_set_timeout(exporter->connection, TIMEOUT_S);
	evhttp_connection_set_retries(exporter->connection, 0);
	evhttp_connection_set_max_body_size(exporter->connection, RESPONSE_MAX);
	evhttp_connection_set_max_headers_size(exporter->connection,
					       HEADERS_MAX);
	mmx_timer_init(&exporter->timer, mmx_runtime_clock(runtime), on_timer_,
		       exporter);
	if (counters)
		register_counters_(exporter, counters);
	return exporter;
}

bool mmx_exporter_set_interval(mmx_exporter_t *exporter, mmx_time_t interval)
{
	assert(interval > 0);
	if (exporter->initialised)
		return false;
	exporter->interval = interval;
	return true;
}

void mmx_exporter_init(mmx_exporter_t *exporter)
{
	assert(!exporter->initialised);
	exporter->initialised = true;
	mmx_timer_set(&exporter->timer, exporter->interval);
}

void mmx_exporter_destroy(mmx_exporter_t *exporter)
{
	if (!exporter)
		return;
	mmx_timer_cancel(&exporter->timer);
	evhttp_connection_free(exporter->connection);
	mmx_trace_count_dropped(exporter->trace, exporter->batch_spans);
	drop_batch_(exporter);
	g_free(exporter->node);
	g_free(exporter->host);
	g_free(exporter);
}
