#include "suites.h"

#include <string.h>

#include "http_fixture.h"
#include "private/operator.h"

typedef struct operator_case_t {
	const char *name;
	const char *request_line;
	const char *body;
	const char *status;
	const char *expected; /* contained in the response */
} operator_case_t;

static const operator_case_t cases_[] = {
	{"metrics", "GET /metrics", "", "200",
	 "# TYPE masticmux_resident_bytes gauge\nmasticmux_resident_bytes "},
	{"health", "GET /healthz", "", "200", "ok\n"},
	{"query", "GET /echo?id=a%20b&x=", "", "200", "\"id\": \"a b\""},
	{"body", "POST /stop", "{\"target\":\"t1\"}", "202",
	 "\"target\": \"t1\""},
	{"bad body", "POST /stop", "{", "400", "not JSON"},
	{"handler finds nothing", "GET /nothing", "", "404", "not found"},
	{"no such path", "GET /else", "", "404", "no such path"},
	{"other method", "GET /stop", "", "405", "method not allowed"},
	{"bad query", "GET /echo?a&&=b", "", "400", "malformed query"},
};

static json_t *handle_echo_(mmx_operator_request_t *request, void *context)
{
	return json_deep_copy(request->query);
}

static json_t *handle_stop_(mmx_operator_request_t *request, void *context)
{
	request->status = 202;
	return json_deep_copy(request->body);
}

static json_t *handle_nothing_(mmx_operator_request_t *request, void *context)
{
	return NULL;
}

static void run_case_(fixture_t *fixture, mmx_operator_t *server,
		      const operator_case_t *test_case)
{
	char *request_text = g_strdup_printf(
		"%s HTTP/1.1\r\nHost: n\r\nConnection: close\r\n"
		"Content-Length: %zu\r\n\r\n%s",
		test_case->request_line, strlen(test_case->body),
		test_case->body);
	char *status = g_strdup_printf("HTTP/1.1 %s ", test_case->status);
	wire_t wire;
	bool passed;

	wire_open(&wire, fixture, mmx_operator_port(server));
	wire_send(&wire, request_text, strlen(request_text));
	passed = wire_expect_closed(&wire) &&
		 g_str_has_prefix(wire.in->str, status) &&
		 strstr(wire.in->str, test_case->expected);
	CU_ASSERT_TRUE(passed);
	if (!passed)
		printf("\n%s: %s\n", test_case->name, wire.in->str);
	wire_close(&wire);
	g_free(request_text);
	g_free(status);
}

static int64_t gauge_(const fixture_t *fixture, const char *name)
{
	return mmx_counters_get(fixture->counters, MMX_GAUGE, name, "", "")
		->value;
}

/* Guards against a wrong status code and an error response without a reason. */
static void test_requests_(void)
{
	static const operator_case_t draining = {"draining", "GET /healthz", "",
						 "503", "draining\n"};
	mmx_address_t address = {.host = "127.0.0.1"};
	fixture_t fixture;
	mmx_operator_t *server;
	size_t i;

	fixture_open(&fixture);
	server = mmx_operator_create(fixture.runtime, fixture.counters);
	mmx_operator_register(server, MMX_OPERATOR_GET, "/echo", handle_echo_,
			      NULL);
	mmx_operator_register(server, MMX_OPERATOR_POST, "/stop", handle_stop_,
			      NULL);
	mmx_operator_register(server, MMX_OPERATOR_GET, "/nothing",
			      handle_nothing_, NULL);
	CU_ASSERT_TRUE_FATAL(mmx_operator_init(server, &address, NULL));
	for (i = 0; i < G_N_ELEMENTS(cases_); i++)
		run_case_(&fixture, server, &cases_[i]);
	mmx_operator_set_draining(server, true);
	run_case_(&fixture, server, &draining);
	CU_ASSERT_TRUE(gauge_(&fixture, "masticmux_resident_bytes") > 0);
#ifndef __SANITIZE_ADDRESS__
	/* mallinfo2() does not count memory of the sanitizer's allocator. */
	CU_ASSERT_TRUE(gauge_(&fixture, "masticmux_heap_bytes") > 0);
#endif
	mmx_operator_destroy(server);
	fixture_close(&fixture);
}

typedef struct deferral_t {
	mmx_operator_deferred_t *reply;
	size_t request_count;
} deferral_t;

static json_t *handle_later_(mmx_operator_request_t *request, void *context)
{
	deferral_t *deferral = context;

	deferral->reply = mmx_operator_defer(request);
	deferral->request_count++;
	return NULL;
}

static bool is_deferred_(void *arg)
{
	return ((deferral_t *)arg)->reply != NULL;
}

static void send_deferred_request_(wire_t *wire, fixture_t *fixture,
				   mmx_operator_t *server, deferral_t *deferral)
{
	static const char text[] = "GET /later HTTP/1.1\r\nHost: n\r\n"
				   "Connection: close\r\n\r\n";

	deferral->reply = NULL;
	wire_open(wire, fixture, mmx_operator_port(server));
	wire_send(wire, text, strlen(text));
	CU_ASSERT_TRUE_FATAL(fixture_wait(fixture, is_deferred_, deferral));
}

/* Guards against deferred responses that are lost or use a freed connection:
 * the client may disconnect, or the server may be destroyed, before the
 * response is ready. */
static void test_deferred_(void)
{
	mmx_address_t address = {.host = "127.0.0.1"};
	deferral_t deferral = {0};
	fixture_t fixture;
	mmx_operator_t *server;
	wire_t wire;
	wire_t second_wire;
	int i;

	fixture_open(&fixture);
	server = mmx_operator_create(fixture.runtime, fixture.counters);
	mmx_operator_register(server, MMX_OPERATOR_GET, "/later", handle_later_,
			      &deferral);
	CU_ASSERT_TRUE_FATAL(mmx_operator_init(server, &address, NULL));

	send_deferred_request_(&wire, &fixture, server, &deferral);
	mmx_operator_send_deferred(deferral.reply, 504,
				   json_pack("{s:i}", "n", 7));
	CU_ASSERT_TRUE(wire_expect_closed(&wire));
	CU_ASSERT_TRUE(g_str_has_prefix(wire.in->str, "HTTP/1.1 504 "));
	CU_ASSERT_PTR_NOT_NULL(strstr(wire.in->str, "\"n\": 7"));
	wire_close(&wire);

	send_deferred_request_(&wire, &fixture, server, &deferral);
	wire_close(&wire);
	for (i = 0; i < 10; i++)
		fixture_turn(&fixture);
	mmx_operator_send_deferred(deferral.reply, 200, json_object());

	/* Destroys the server with one client connected and one disconnected. */
	send_deferred_request_(&wire, &fixture, server, &deferral);
	wire_close(&wire);
	send_deferred_request_(&second_wire, &fixture, server, &deferral);
	CU_ASSERT_EQUAL(deferral.request_count, 4);
	mmx_operator_destroy(server);
	CU_ASSERT_TRUE(wire_expect_closed(&second_wire));
	wire_close(&second_wire);
	fixture_close(&fixture);
}

CU_TestInfo mmx_tests_operator[] = {
	{"requests", test_requests_},
	{"deferred responses", test_deferred_},
	CU_TEST_INFO_NULL,
};
