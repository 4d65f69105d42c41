/* Requests sent before the answer to the one before them. */
#include "suites.h"

#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

#include "http_setup.h"

#define NEXT "GET /next HTTP/1.1\r\n" HOST "\r\n"
#define NEXT_OLD "GET /next HTTP/1.0\r\n" HOST "Connection: keep-alive\r\n\r\n"

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
 * connection closes before its turn, and against one that is run behind an
 * answer of HTTP/1.0, which may end with the connection. */
static void test_others_wait_(void)
{
	static const struct {
		const char *first;
		const char *behind;
	} cases[] = {
		{NEXT,
		 "POST /next HTTP/1.1\r\n" HOST "Content-Length: 2\r\n\r\nab"},
		{NEXT, "PUT /next HTTP/1.1\r\n" HOST "\r\n"},
		{NEXT,
		 "GET /next HTTP/1.1\r\n" HOST "Content-Length: 2\r\n\r\nab"},
		{NEXT,
		 "GET /next HTTP/1.1\r\n" HOST "Connection: close\r\n\r\n"},
		{NEXT, NEXT_OLD},
		{NEXT_OLD, NEXT},
	};
	size_t i;
	int n;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		http_setup_t setup;
		wanted_t wanted = {.requests = 1};
		wire_t wire;

		http_setup_open(&setup);
		setup.entry.silent = true;
		wanted.entry = &setup.entry;
		wire_open(&wire, &setup.fixture,
			  mmx_http_entry_port(setup.http));
		wire_send(&wire, cases[i].first, strlen(cases[i].first));
		wire_send(&wire, cases[i].behind, strlen(cases[i].behind));
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

typedef struct stop_case_t {
	const char *name;
	const char *before; /* sent before the stop, not to be passed on */
	const char *after;  /* sent after it */
	bool announced;	    /* the listener stays open */
	bool begun;	    /* the head of the first answer is out */
	int order[3];	    /* of the answers */
} stop_case_t;

static const stop_case_t stops_[] = {
	{"in order", "", "", false, false, {0, 1, 2}},
	{"reversed", "", "", false, false, {2, 1, 0}},
	{"announced", "", "", true, false, {1, 0, 2}},
	{"begun", "", "", false, true, {0, 2, 1}},
	{"begun, announced", "", "", true, true, {2, 0, 1}},
	{"waits for its turn",
	 "PUT /next HTTP/1.1\r\n" HOST "\r\n",
	 "",
	 false,
	 false,
	 {0, 1, 2}},
	{"malformed", "no request\r\n\r\n", "", false, false, {1, 2, 0}},
	{"too late", "", NEXT, false, false, {0, 1, 2}},
	{"too late, announced", "", NEXT, true, true, {2, 1, 0}},
};

static void begin_answer_(http_setup_t *setup, uint64_t request)
{
	mmx_answer_t *answer = mmx_new_answer(request);

	answer->head = mmx_head_create_response(200);
	mmx_task_post(mmx_http_entry_task(setup->http), &answer->message);
}

static void end_answer_(http_setup_t *setup, uint64_t request, const char *text,
			bool failed)
{
	mmx_body_t *body = mmx_new_body(MMX_TO_CALLER);

	body->request = request;
	evbuffer_add(body->data, text, strlen(text));
	body->end = true;
	body->failed = failed;
	mmx_task_post(mmx_http_entry_task(setup->http), &body->message);
}

static void stop_(http_setup_t *setup, const stop_case_t *item, wire_t *wire)
{
	uint64_t base = setup->entry.request - 2;

	if (item->begun) {
		begin_answer_(setup, base);
		CU_ASSERT_TRUE(wire_expect(wire, "chunked\r\n\r\n"));
	}
	if (item->announced)
		mmx_http_entry_announce_drain(setup->http);
	else
		mmx_http_entry_drain(setup->http);
}

static void answer_all_(http_setup_t *setup, const stop_case_t *item)
{
	static const char *const texts[] = {"first", "second", "third"};
	uint64_t base = setup->entry.request - 2;
	int n;

	for (n = 0; n < 3; n++) {
		int index = item->order[n];

		if (item->begun && index == 0)
			end_answer_(setup, base, texts[0], false);
		else
			answer_(setup, base + (uint64_t)index, texts[index]);
	}
}

/* All answers, and "Connection: close" on the last one only. */
static bool has_all_(const wire_t *wire)
{
	static const char *const parts[] = {
		OK, "first", OK, "second", OK, "Connection: close\r\n", "third",
	};
	const char *at = wire->in->str;
	const char *close = strstr(at, "Connection: close\r\n");
	size_t i;

	for (i = 0; at && i < G_N_ELEMENTS(parts); i++)
		at = strstr(at, parts[i]);
	return at && strcmp(at, "third") == 0 &&
	       close > strstr(wire->in->str, "second");
}

/* Guards against a planned stop that closes a connection whose later requests
 * have been passed on, and against a last answer that does not say so. */
static void test_stop_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(stops_); i++) {
		const stop_case_t *item = &stops_[i];
		http_setup_t setup;
		wanted_t wanted = {.requests = 3};
		wire_t wire;
		bool good;

		http_setup_open(&setup);
		setup.entry.silent = true;
		wanted.entry = &setup.entry;
		wire_open(&wire, &setup.fixture,
			  mmx_http_entry_port(setup.http));
		wire_send(&wire, NEXT NEXT NEXT, strlen(NEXT NEXT NEXT));
		CU_ASSERT_TRUE(
			fixture_wait(&setup.fixture, has_come_, &wanted));
		wire_send(&wire, item->before, strlen(item->before));
		stop_(&setup, item, &wire);
		wire_send(&wire, item->after, strlen(item->after));
		answer_all_(&setup, item);
		good = wire_expect_closed(&wire) && !wire.reset &&
		       has_all_(&wire) && setup.entry.requests == 3 &&
		       setup.entry.gone == 0;
		CU_ASSERT_TRUE(good);
		if (!good)
			printf("\n%s: reset %d, %d requests, %d gone, got %s\n",
			       item->name, wire.reset, setup.entry.requests,
			       setup.entry.gone, wire.in->str);
		wire_close(&wire);
		http_setup_close(&setup);
	}
}

/* Guards against an answer that broke off before its turn and takes the answers
 * behind it along, and against one that then looks complete. */
static void test_broken_(void)
{
	http_setup_t setup;
	wanted_t wanted = {.requests = 3};
	wire_t wire;
	uint64_t base;
	const char *at;

	http_setup_open(&setup);
	setup.entry.silent = true;
	wanted.entry = &setup.entry;
	wire_open(&wire, &setup.fixture, mmx_http_entry_port(setup.http));
	wire_send(&wire, NEXT NEXT NEXT, strlen(NEXT NEXT NEXT));
	CU_ASSERT_TRUE(fixture_wait(&setup.fixture, has_come_, &wanted));
	base = setup.entry.request - 2;
	begin_answer_(&setup, base + 1);
	end_answer_(&setup, base + 1, "second", true);
	answer_(&setup, base + 2, "third");
	answer_(&setup, base, "first");
	CU_ASSERT_TRUE(wire_expect(&wire, "third"));
	CU_ASSERT_FALSE(wire.closed);
	CU_ASSERT_PTR_NULL(strstr(wire.in->str, "second"));
	at = strstr(wire.in->str, "first");
	CU_ASSERT_PTR_NOT_NULL(at);
	at = at ? strstr(at, "HTTP/1.1 502 ") : NULL;
	CU_ASSERT_PTR_NOT_NULL(at);
	at = at ? strstr(at, "Masticmux-Reason: answer-truncated\r\n") : NULL;
	CU_ASSERT_PTR_NOT_NULL(at);
	CU_ASSERT_EQUAL(setup.entry.gone, 0);
	wire_close(&wire);
	http_setup_close(&setup);
}

/* Guards against a head above the limit of the configuration that is passed on
 * because its request was sent ahead, and against one that takes the answers
 * before it along. */
static void test_limit_(void)
{
	static const char large[] =
		"GET /next HTTP/1.1\r\n" HOST
		"X-Long: 0123456789012345678901234567890123"
		"456789012345678901234567890123456789\r\n\r\n";
	http_setup_t setup;
	wanted_t wanted = {.requests = 2};
	wire_t wire;
	uint64_t base;
	const char *at;
	int n;

	http_setup_open(&setup);
	mmx_http_entry_set_limits(setup.http,
				  &(mmx_caller_limits_t){.head_bytes = 64});
	setup.entry.silent = true;
	wanted.entry = &setup.entry;
	wire_open(&wire, &setup.fixture, mmx_http_entry_port(setup.http));
	wire_send(&wire, NEXT NEXT, strlen(NEXT NEXT));
	wire_send(&wire, large, strlen(large));
	CU_ASSERT_TRUE(fixture_wait(&setup.fixture, has_come_, &wanted));
	for (n = 0; n < 20; n++)
		fixture_turn(&setup.fixture);
	CU_ASSERT_EQUAL(setup.entry.requests, 2);
	base = setup.entry.request - 1;
	answer_(&setup, base + 1, "second");
	answer_(&setup, base, "first");
	CU_ASSERT_TRUE(wire_expect_closed(&wire));
	CU_ASSERT_FALSE(wire.reset);
	at = strstr(wire.in->str, "first");
	at = at ? strstr(at, "second") : NULL;
	CU_ASSERT_PTR_NOT_NULL(at);
	at = at ? strstr(at, "HTTP/1.1 431 ") : NULL;
	CU_ASSERT_PTR_NOT_NULL(at);
	CU_ASSERT_EQUAL(setup.entry.gone, 0);
	wire_close(&wire);
	http_setup_close(&setup);
}

CU_TestInfo mmx_tests_http_ahead[] = {
	{"answers keep the order of the requests", test_order_},
	{"other requests wait for their turn", test_others_wait_},
	{"the connection ends", test_ends_},
	{"a planned stop", test_stop_},
	{"an answer that broke off before its turn", test_broken_},
	{"a head above the limit", test_limit_},
	CU_TEST_INFO_NULL,
};
