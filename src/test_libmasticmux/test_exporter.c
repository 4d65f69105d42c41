#include "suites.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <string.h>

#include "http_fixture.h"
#include "private/exporter.h"
#include "private/listen.h"

#define BATCH 256
#define SPANS (MMX_TRACE_QUEUE_MAX + BATCH + 10)

/* Stands for the collector: checks the JSON and counts the spans. */
typedef struct fake_collector_t {
	struct evhttp *server;
	uint16_t port;
	int status;
	int requests;
	size_t spans;
	json_t *last; /* the last span */
} fake_collector_t;

static void on_request_(struct evhttp_request *request, void *arg)
{
	fake_collector_t *collector = arg;
	struct evbuffer *in = evhttp_request_get_input_buffer(request);
	json_t *root = json_loadb((char *)evbuffer_pullup(in, -1),
				  evbuffer_get_length(in), 0, NULL);
	json_t *resource =
		json_array_get(json_object_get(root, "resourceSpans"), 0);
	json_t *scope =
		json_array_get(json_object_get(resource, "scopeSpans"), 0);
	json_t *spans = json_object_get(scope, "spans");

	CU_ASSERT_STRING_EQUAL(evhttp_request_get_uri(request), "/v1/traces");
	CU_ASSERT_PTR_NOT_NULL(json_object_get(resource, "resource"));
	collector->requests++;
	if (collector->status == 200) {
		collector->spans += json_array_size(spans);
		json_decref(collector->last);
		collector->last = json_incref(
			json_array_get(spans, json_array_size(spans) - 1));
	}
	json_decref(root);
	evhttp_send_reply(request, collector->status, NULL, NULL);
}

typedef struct setup_t {
	fixture_t fixture;
	fake_collector_t collector;
	mmx_random_t random;
	mmx_trace_t *trace;
	mmx_exporter_t *exporter;
	int64_t expected; /* spans to wait for */
} setup_t;

static void serve_(setup_t *setup)
{
	mmx_address_t address = {.host = "127.0.0.1",
				 .port = setup->collector.port};

	setup->collector.server = evhttp_new(setup->fixture.base);
	evhttp_set_gencb(setup->collector.server, on_request_,
			 &setup->collector);
	CU_ASSERT_TRUE_FATAL(mmx_listen_http(setup->collector.server, &address,
					     &setup->collector.port, NULL));
}

static void open_(setup_t *setup, int status)
{
	mmx_address_t address = {.host = "127.0.0.1"};

	memset(setup, 0, sizeof(*setup));
	fixture_open(&setup->fixture);
	setup->collector.status = status;
	serve_(setup);
	address.port = setup->collector.port;
	mmx_random_seed(&setup->random, 1);
	setup->trace =
		mmx_trace_create(mmx_runtime_clock(setup->fixture.runtime),
				 &setup->random, setup->fixture.counters);
	setup->exporter = mmx_exporter_create(setup->fixture.runtime,
					      setup->trace, &address, "node-1",
					      setup->fixture.counters);
	CU_ASSERT_TRUE(
		mmx_exporter_set_interval(setup->exporter, 2 * MMX_US_PER_MS));
	mmx_exporter_init(setup->exporter);
}

static void close_(setup_t *setup)
{
	mmx_exporter_destroy(setup->exporter);
	mmx_trace_destroy(setup->trace);
	evhttp_free(setup->collector.server);
	json_decref(setup->collector.last);
	fixture_close(&setup->fixture);
}

static void add_spans_(setup_t *setup, size_t count)
{
	mmx_trace_context_t context;
	mmx_span_t *span;

	while (count-- > 0) {
		mmx_trace_context(setup->trace, NULL, &context);
		span = mmx_span_start(setup->trace, &context, "entry",
				      MMX_SPAN_SERVER);
		mmx_span_set_text(span, "service", "shop");
		mmx_span_set_number(span, "attempts", 2);
		mmx_span_finish(span);
	}
}

static bool is_delivered_(void *arg)
{
	setup_t *setup = arg;

	return fixture_counter(&setup->fixture,
			       "masticmux_spans_exported_total",
			       "") >= setup->expected;
}

static bool deliver_(setup_t *setup, int64_t spans)
{
	setup->expected = spans;
	return fixture_wait(&setup->fixture, is_delivered_, setup) &&
	       setup->collector.spans == (size_t)spans;
}

/* Guards against spans that the collector cannot read. */
static void test_batches_(void)
{
	setup_t setup;
	json_t *attribute;
	const char *number;

	open_(&setup, 200);
	add_spans_(&setup, 2 * BATCH + 1);
	CU_ASSERT_TRUE(deliver_(&setup, 2 * BATCH + 1));
	CU_ASSERT_EQUAL(setup.collector.requests, 3);
	attribute = json_array_get(
		json_object_get(setup.collector.last, "attributes"), 1);
	CU_ASSERT_EQUAL(json_unpack(attribute, "{s:{s:s}}", "value", "intValue",
				    &number),
			0);
	CU_ASSERT_STRING_EQUAL(number, "2");
	CU_ASSERT_EQUAL(json_integer_value(
				json_object_get(setup.collector.last, "kind")),
			2);
	CU_ASSERT_EQUAL(json_string_length(json_object_get(setup.collector.last,
							   "traceId")),
			32);
	CU_ASSERT_PTR_NULL(
		json_object_get(setup.collector.last, "parentSpanId"));
	close_(&setup);
}

static bool has_failed_(void *arg)
{
	return fixture_counter(&((setup_t *)arg)->fixture,
			       "masticmux_export_failures_total", "") > 0;
}

static int64_t dropped_(const setup_t *setup)
{
	return fixture_counter(&setup->fixture, "masticmux_spans_dropped_total",
			       "");
}

/* Guards against unbounded memory and uncounted loss while the collector is
 * down, and against an exporter that never comes back. */
static void test_collector_down_(void)
{
	setup_t setup;

	open_(&setup, 200);
	evhttp_free(setup.collector.server);
	add_spans_(&setup, BATCH);
	CU_ASSERT_TRUE(fixture_wait(&setup.fixture, has_failed_, &setup));
	add_spans_(&setup, SPANS - BATCH);
	CU_ASSERT_EQUAL(dropped_(&setup), 10);
	serve_(&setup);
	CU_ASSERT_TRUE(deliver_(&setup, SPANS - 10));
	close_(&setup);
}

static bool is_dropped_(void *arg)
{
	return dropped_(arg) > 0;
}

/* Guards against a batch that the collector never takes and that blocks the
 * ones behind it. */
static void test_rejected_batch_(void)
{
	setup_t setup;

	open_(&setup, 400);
	add_spans_(&setup, 3);
	CU_ASSERT_TRUE(fixture_wait(&setup.fixture, is_dropped_, &setup));
	CU_ASSERT_EQUAL(dropped_(&setup), 3);
	setup.collector.status = 200;
	add_spans_(&setup, 2);
	CU_ASSERT_TRUE(deliver_(&setup, 2));
	close_(&setup);
}

CU_TestInfo mmx_tests_exporter[] = {
	{"batches", test_batches_},
	{"collector down", test_collector_down_},
	{"rejected batch", test_rejected_batch_},
	CU_TEST_INFO_NULL,
};
