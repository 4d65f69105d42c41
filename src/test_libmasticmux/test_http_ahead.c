/* Requests sent before the answer to the one before them. */
#include "suites.h"

#include <glib.h>
#include <string.h>

#include "http_setup.h"

#define NEXT "GET /next HTTP/1.1\r\n" HOST "\r\n"

typedef struct wanted_t {
	fake_entry_t *entry;
	int requests;
	int gone;
} wanted_t;

static bool has_come_(void *arg)
{
	const wanted_t *wanted = arg;

	return wanted->entry->requests >= wanted->requests &&
	       wanted->entry->gone >= wanted->gone;
}

static void answer_(http_setup_t *setup, uint64_t request, const char *text)
{
	GString *body = g_string_new(text);

	fake_entry_answer(&setup->entry, request, body);
	g_string_free(body, TRUE);
}

/* Guards against a request that waits for the answer to the one before, and
 * against answers in another order than the requests. */
static void test_order_(void)
{
	static const int orders[][3] = {
		{0, 1, 2},
		{2, 1, 0},
		{1, 2, 0},
		{2, 0, 1},
	};
	static const char *const texts[] = {"first", "second", "third"};
	size_t i;
	int n;

	for (i = 0; i < G_N_ELEMENTS(orders); i++) {
		http_setup_t setup;
		wanted_t wanted = {.requests = 3};
		wire_t wire;
		uint64_t base;
		const char *at;

		http_setup_open(&setup);
		setup.entry.silent = true;
		wanted.entry = &setup.entry;
		wire_open(&wire, &setup.fixture,
			  mmx_http_entry_port(setup.http));
		wire_send(&wire, NEXT NEXT NEXT, strlen(NEXT NEXT NEXT));
		CU_ASSERT_TRUE(
			fixture_wait(&setup.fixture, has_come_, &wanted));
		base = setup.entry.request - 2;
		for (n = 0; n < 3; n++)
			answer_(&setup, base + (uint64_t)orders[i][n],
				texts[orders[i][n]]);
		CU_ASSERT_TRUE(wire_expect(&wire, "third"));
		at = strstr(wire.in->str, "first");
		CU_ASSERT_PTR_NOT_NULL(at);
		at = at ? strstr(at, "second") : NULL;
		CU_ASSERT_PTR_NOT_NULL(at);
		at = at ? strstr(at, "third") : NULL;
		CU_ASSERT_PTR_NOT_NULL(at);
		wire_close(&wire);
		http_setup_close(&setup);
	}
}

/* Guards against a request that may not be repeated and is run although the
 * connection closes before its turn. */
static void test_others_wait_(void)
{
	static const char *const behind[] = {
		"POST /next HTTP/1.1\r\n" HOST "Content-Length: 2\r\n\r\nab",
		"PUT /next HTTP/1.1\r\n" HOST "\r\n",
		"GET /next HTTP/1.1\r\n" HOST "Content-Length: 2\r\n\r\nab",
		"GET /next HTTP/1.1\r\n" HOST "Connection: close\r\n\r\n",
	};
	size_t i;
	int n;

	for (i = 0; i < G_N_ELEMENTS(behind); i++) {
		http_setup_t setup;
		wanted_t wanted = {.requests = 1};
		wire_t wire;

		http_setup_open(&setup);
		setup.entry.silent = true;
		wanted.entry = &setup.entry;
		wire_open(&wire, &setup.fixture,
			  mmx_http_entry_port(setup.http));
		wire_send(&wire, NEXT, strlen(NEXT));
		wire_send(&wire, behind[i], strlen(behind[i]));
		CU_ASSERT_TRUE(
			fixture_wait(&setup.fixture, has_come_, &wanted));
		for (n = 0; n < 20; n++)
			fixture_turn(&setup.fixture);
		CU_ASSERT_EQUAL(setup.entry.requests, 1);
		answer_(&setup, setup.entry.request, "first");
		wanted.requests = 2;
		CU_ASSERT_TRUE(
			fixture_wait(&setup.fixture, has_come_, &wanted));
		answer_(&setup, setup.entry.request, "second");
		CU_ASSERT_TRUE(wire_expect(&wire, "second"));
		wire_close(&wire);
		http_setup_close(&setup);
	}
}

/* Guards against work for requests whose caller has left, and against a
 * malformed request that takes the answers before it along. */
static void test_ends_(void)
{
	static const struct {
		const char *sent;
		bool closes; /* the caller does */
		int requests;
		int gone;
	} cases[] = {
		{NEXT NEXT NEXT, true, 3, 3},
		{NEXT "no request\r\n\r\n", false, 1, 0},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		http_setup_t setup;
		wanted_t wanted = {.requests = cases[i].requests};
		wire_t wire;

		http_setup_open(&setup);
		setup.entry.silent = true;
		wanted.entry = &setup.entry;
		wire_open(&wire, &setup.fixture,
			  mmx_http_entry_port(setup.http));
		wire_send(&wire, cases[i].sent, strlen(cases[i].sent));
		CU_ASSERT_TRUE(
			fixture_wait(&setup.fixture, has_come_, &wanted));
		if (!cases[i].closes) {
			answer_(&setup, setup.entry.request, "first");
			CU_ASSERT_TRUE(wire_expect_closed(&wire));
			CU_ASSERT_PTR_NOT_NULL(strstr(wire.in->str, "first"));
			CU_ASSERT_PTR_NOT_NULL(strstr(wire.in->str, " 400 "));
		}
		wire_close(&wire);
		wanted.gone = cases[i].gone;
		CU_ASSERT_TRUE(
			fixture_wait(&setup.fixture, has_come_, &wanted));
		CU_ASSERT_EQUAL(setup.entry.gone, cases[i].gone);
		http_setup_close(&setup);
	}
}

CU_TestInfo mmx_tests_http_ahead[] = {
	{"answers keep the order of the requests", test_order_},
	{"other requests wait for their turn", test_others_wait_},
	{"the connection ends", test_ends_},
	CU_TEST_INFO_NULL,
};
