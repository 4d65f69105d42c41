#include "suites.h"

#include <event2/buffer.h>
#include <string.h>
#include <sys/socket.h>

#include "http_setup.h"

typedef struct timeout_case_t {
	const char *name;
	size_t offset; /* of the timeout that is made short */
	const char *sent;
	const char *cause;
	const char *expected; /* "" for a plain close */
	size_t hold;	      /* bodies up to this size are held */
} timeout_case_t;

#define OFFSET(member) offsetof(mmx_http_entry_timeouts_t, member)

static const timeout_case_t timeouts_[] = {
	{"idle", OFFSET(idle), "", "idle", "", 0},
	{"idle after a request", OFFSET(idle), GET HOST "\r\n", "idle", OK, 0},
	{"slow head", OFFSET(head), GET "Ho", "slow-head", "HTTP/1.1 408 ", 0},
	/* The entry has got part of it, so that it may be running. */
	{"slow body", OFFSET(body), POST "Content-Length: 9\r\n\r\nab",
	 "slow-body", "HTTP/1.1 504 ", 0},
	{"slow body that is held", OFFSET(body),
	 POST "Content-Length: 9\r\n\r\nab", "slow-body", "HTTP/1.1 408 ",
	 1024},
};

/* Guards against connections that are held open for nothing. */
static void test_timeouts_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(timeouts_); i++) {
		const timeout_case_t *item = &timeouts_[i];
		mmx_http_entry_timeouts_t timeouts;
		char labels[64];
		http_setup_t setup;
		wire_t wire;

		http_setup_create(&setup);
		timeouts = mmx_http_entry_timeouts(setup.http);
		*(mmx_time_t *)((char *)&timeouts + item->offset) =
			20 * MMX_US_PER_MS;
		CU_ASSERT_TRUE(
			mmx_http_entry_set_timeouts(setup.http, &timeouts));
		CU_ASSERT_TRUE(mmx_http_entry_set_hold(setup.http, item->hold));
		http_setup_listen(&setup);
		CU_ASSERT_FALSE(
			mmx_http_entry_set_timeouts(setup.http, &timeouts));
		wire_open(&wire, &setup.fixture,
			  mmx_http_entry_port(setup.http));
		wire_send(&wire, item->sent, strlen(item->sent));
		CU_ASSERT_TRUE(wire_expect_closed(&wire));
		CU_ASSERT_TRUE(g_str_has_prefix(wire.in->str, item->expected));
		snprintf(labels, sizeof(labels), "cause=\"%s\"", item->cause);
		CU_ASSERT_EQUAL(fixture_counter(&setup.fixture,
						"masticmux_http_closed_total",
						labels),
				1);
		wire_close(&wire);
		http_setup_close(&setup);
	}
}

static bool has_request_(void *arg)
{
	return ((fake_entry_t *)arg)->requests > 0;
}

static bool has_gone_(void *arg)
{
	return ((fake_entry_t *)arg)->gone > 0;
}

/* Guards against work for callers that have left, and against answers that
 * reach another request after that. */
static void test_caller_gone_(void)
{
	http_setup_t setup;
	wire_t first;
	wire_t second;
	GString *late = g_string_new("late");

	http_setup_open(&setup);
	setup.entry.silent = true;
	wire_open(&first, &setup.fixture, mmx_http_entry_port(setup.http));
	wire_send(&first, GET HOST "\r\n", strlen(GET HOST "\r\n"));
	CU_ASSERT_TRUE(
		fixture_wait(&setup.fixture, has_request_, &setup.entry));
	wire_close(&first);
	CU_ASSERT_TRUE(fixture_wait(&setup.fixture, has_gone_, &setup.entry));
	fake_entry_answer(&setup.entry, setup.entry.request, late);
	setup.entry.silent = false;
	wire_open(&second, &setup.fixture, mmx_http_entry_port(setup.http));
	wire_send(&second, GET HOST "\r\n", strlen(GET HOST "\r\n"));
	CU_ASSERT_TRUE(wire_expect(&second, "<GET / >"));
	CU_ASSERT_PTR_NULL(strstr(second.in->str, "late"));
	CU_ASSERT_EQUAL(fixture_counter(&setup.fixture,
					"masticmux_http_stale_messages_total",
					""),
			1);
	wire_close(&second);
	http_setup_close(&setup);
	g_string_free(late, TRUE);
}

#define UPLOAD (4 * 1024 * 1024)
/* More than the credit and what http_entry holds unread. */
#define FIRST_PART (MMX_WINDOW_BYTES + 128 * 1024)

static bool window_is_full_(void *arg)
{
	return ((fake_entry_t *)arg)->body_bytes == MMX_WINDOW_BYTES;
}

/* Guards against a body that outruns the entry's credit. */
static void test_upload_(void)
{
	http_setup_t setup;
	wire_t wire;
	mmx_window_t *window;
	char *data = g_malloc0(UPLOAD);
	char *head = g_strdup_printf(POST "Content-Length: %d\r\n\r\n", UPLOAD);

	http_setup_open(&setup);
	setup.entry.grants = false;
	wire_open(&wire, &setup.fixture, mmx_http_entry_port(setup.http));
	wire_send(&wire, head, strlen(head));
	CU_ASSERT_TRUE(wire_send(&wire, data, FIRST_PART));
	CU_ASSERT_TRUE(
		fixture_wait(&setup.fixture, window_is_full_, &setup.entry));
	fixture_turn(&setup.fixture);
	CU_ASSERT_EQUAL(setup.entry.body_bytes, MMX_WINDOW_BYTES);
	setup.entry.grants = true;
	window = mmx_new_window(MMX_TO_TARGET, MMX_WINDOW_BYTES);
	window->request = setup.entry.request;
	mmx_task_post(mmx_http_entry_task(setup.http), &window->message);
	CU_ASSERT_TRUE(wire_send(&wire, data, UPLOAD - FIRST_PART));
	CU_ASSERT_TRUE(wire_expect(&wire, OK));
	CU_ASSERT_EQUAL(setup.entry.body_bytes, UPLOAD);
	wire_close(&wire);
	http_setup_close(&setup);
	g_free(data);
	g_free(head);
}

typedef struct download_case_t {
	const char *name;
	const char *request;
	const char *length; /* Content-Length of the answer, or NULL */
	size_t parts;	    /* of 1,000 bytes */
	bool failed;	    /* the last part */
	bool reset;	    /* expected */
	const char *expected;
} download_case_t;

static const download_case_t downloads_[] = {
	{"chunked", GET HOST "Connection: close\r\n\r\n", NULL, 3, false, false,
	 "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n3e8\r\n"},
	{"length", GET HOST "Connection: close\r\n\r\n", "3000", 3, false,
	 false, "Content-Length: 3000\r\n"},
	{"1.0", "GET / HTTP/1.0\r\n\r\n", NULL, 3, false, false,
	 "Connection: close\r\n\r\n"},
	{"broken off", GET HOST "\r\n", NULL, 3, true, true, ""},
	{"1.0 broken off", "GET / HTTP/1.0\r\n\r\n", NULL, 3, true, true, ""},
	{"too short", GET HOST "\r\n", "3001", 3, false, true, ""},
	{"too long", GET HOST "\r\n", "2999", 3, false, true, ""},
};

static void send_answer_(http_setup_t *setup, const download_case_t *item)
{
	mmx_task_t *task = mmx_http_entry_task(setup->http);
	mmx_answer_t *answer = mmx_new_answer(setup->entry.request);
	char data[1000] = {0};
	size_t i;

	answer->head = mmx_head_create_response(200);
	if (item->length)
		mmx_head_add(answer->head, "Content-Length", item->length);
	evbuffer_add(answer->body, data, sizeof(data));
	mmx_task_post(task, &answer->message);
	for (i = 1; i < item->parts; i++) {
		mmx_body_t *body = mmx_new_body(MMX_TO_CALLER);

		body->request = setup->entry.request;
		evbuffer_add(body->data, data, sizeof(data));
		body->end = i + 1 == item->parts;
		body->failed = body->end && item->failed;
		mmx_task_post(task, &body->message);
	}
}

/* Guards against a response that broke off and looks complete. */
static void test_downloads_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(downloads_); i++) {
		const download_case_t *item = &downloads_[i];
		http_setup_t setup;
		wire_t wire;
		bool good;

		http_setup_open(&setup);
		setup.entry.silent = true;
		wire_open(&wire, &setup.fixture,
			  mmx_http_entry_port(setup.http));
		wire_send(&wire, item->request, strlen(item->request));
		fixture_wait(&setup.fixture, has_request_, &setup.entry);
		send_answer_(&setup, item);
		good = wire_expect_closed(&wire) && wire.reset == item->reset &&
		       strstr(wire.in->str, item->expected);
		CU_ASSERT_TRUE(good);
		if (!good)
			printf("\n%s: reset %d, got %s\n", item->name,
			       wire.reset, wire.in->str);
		wire_close(&wire);
		http_setup_close(&setup);
	}
}

static bool is_closed_as_slow_(void *arg)
{
	return fixture_counter(arg, "masticmux_http_closed_total",
			       "cause=\"slow-reader\"") > 0;
}

/* Guards against an answer without a length that is cut off because its caller
 * reads slowly, or because the node ends, and then ends in order, which looks
 * complete. */
static void test_unframed_cut_(void)
{
	enum { BYTES = 32 * 1024 * 1024 };
	static const char request[] = "GET / HTTP/1.0\r\n\r\n";
	int by_stop;

	for (by_stop = 0; by_stop < 2; by_stop++) {
		mmx_http_entry_timeouts_t timeouts;
		char *data = g_malloc0(BYTES);
		http_setup_t setup;
		mmx_body_t *body;
		wire_t wire;

		http_setup_create(&setup);
		timeouts = mmx_http_entry_timeouts(setup.http);
		timeouts.write =
			by_stop ? MMX_US_PER_S * 60 : MMX_US_PER_MS * 20;
		mmx_http_entry_set_timeouts(setup.http, &timeouts);
		http_setup_listen(&setup);
		setup.entry.silent = true;
		wire_open(&wire, &setup.fixture,
			  mmx_http_entry_port(setup.http));
		wire_send(&wire, request, strlen(request));
		fixture_wait(&setup.fixture, has_request_, &setup.entry);
		send_answer_(&setup, &(download_case_t){.parts = 1});
		body = mmx_new_body(MMX_TO_CALLER);
		body->request = setup.entry.request;
		body->end = true;
		evbuffer_add(body->data, data, BYTES);
		mmx_task_post(mmx_http_entry_task(setup.http), &body->message);
		if (by_stop)
			fixture_turn(&setup.fixture);
		else
			CU_ASSERT_TRUE(fixture_wait(&setup.fixture,
						    is_closed_as_slow_,
						    &setup.fixture));
		if (by_stop)
			mmx_http_entry_destroy(g_steal_pointer(&setup.http));
		CU_ASSERT_TRUE(wire_expect_closed(&wire));
		CU_ASSERT_TRUE(wire.reset);
		CU_ASSERT_TRUE(wire.in->len < BYTES);
		wire_close(&wire);
		http_setup_close(&setup);
		g_free(data);
	}
}

/* Guards against requests that are cut off by a planned stop. */
static void test_drain_(void)
{
	http_setup_t setup;
	wire_t idle;
	wire_t busy;
	wire_t refused;
	GString *text = g_string_new("done");

	http_setup_open(&setup);
	setup.entry.silent = true;
	wire_open(&idle, &setup.fixture, mmx_http_entry_port(setup.http));
	wire_open(&busy, &setup.fixture, mmx_http_entry_port(setup.http));
	wire_send(&busy, GET HOST "\r\n", strlen(GET HOST "\r\n"));
	fixture_wait(&setup.fixture, has_request_, &setup.entry);
	mmx_http_entry_drain(setup.http);
	CU_ASSERT_TRUE(wire_expect_closed(&idle));
	wire_open(&refused, &setup.fixture, mmx_http_entry_port(setup.http));
	CU_ASSERT_TRUE(refused.closed);
	fake_entry_answer(&setup.entry, setup.entry.request, text);
	CU_ASSERT_TRUE(wire_expect_closed(&busy));
	CU_ASSERT_PTR_NOT_NULL(strstr(busy.in->str, "Connection: close\r\n"));
	CU_ASSERT_TRUE(g_str_has_suffix(busy.in->str, "done"));
	wire_close(&idle);
	wire_close(&busy);
	wire_close(&refused);
	CU_ASSERT_TRUE(
		fixture_wait(&setup.fixture, http_setup_is_unused, &setup));
	http_setup_close(&setup);
	g_string_free(text, TRUE);
}

/*
 * Guards against a planned stop that resets a connection whose next request the
 * kernel holds but the node has not read.
 */
static void test_drain_unread_(void)
{
	http_setup_t setup;
	wire_t wire;

	http_setup_open(&setup);
	wire_open(&wire, &setup.fixture, mmx_http_entry_port(setup.http));
	wire_send(&wire, GET HOST "\r\n", strlen(GET HOST "\r\n"));
	CU_ASSERT_TRUE(wire_expect(&wire, "<GET / >"));
	CU_ASSERT_TRUE(
		send(wire.fd, GET HOST "\r\n", strlen(GET HOST "\r\n"), 0) > 0);
	mmx_http_entry_drain(setup.http);
	CU_ASSERT_TRUE(wire_expect_closed(&wire));
	CU_ASSERT_FALSE(wire.reset);
	CU_ASSERT_PTR_NOT_NULL(strstr(wire.in->str, "Connection: close\r\n"));
	wire_close(&wire);
	http_setup_close(&setup);
}

static void post_end_(http_setup_t *setup, uint64_t request, const char *text)
{
	mmx_body_t *body = mmx_new_body(MMX_TO_CALLER);

	body->request = request;
	evbuffer_add(body->data, text, strlen(text));
	body->end = true;
	mmx_task_post(mmx_http_entry_task(setup->http), &body->message);
}

/*
 * Guards against a connection that stays open, idle, in a planned stop, because
 * its last answer had begun before the stop, and against one that is closed
 * with a request unread.
 */
static void test_drain_begun_(void)
{
	static const struct {
		const char *after; /* sent during the stop */
		const char *last;  /* of what is received */
	} cases[] = {
		{"", "\r\ndone\r\n0\r\n\r\n"},
		{GET HOST "\r\n", "Connection: close\r\n\r\n<GET / >"},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		http_setup_t setup;
		wire_t wire;
		mmx_answer_t *answer;

		http_setup_open(&setup);
		setup.entry.silent = true;
		wire_open(&wire, &setup.fixture,
			  mmx_http_entry_port(setup.http));
		wire_send(&wire, GET HOST "\r\n", strlen(GET HOST "\r\n"));
		fixture_wait(&setup.fixture, has_request_, &setup.entry);
		setup.entry.silent = false;
		answer = mmx_new_answer(setup.entry.request);
		answer->head = mmx_head_create_response(200);
		mmx_task_post(mmx_http_entry_task(setup.http),
			      &answer->message);
		CU_ASSERT_TRUE(wire_expect(&wire, "chunked\r\n\r\n"));
		mmx_http_entry_drain(setup.http);
		CU_ASSERT_EQUAL(send(wire.fd, cases[i].after,
				     strlen(cases[i].after), 0),
				strlen(cases[i].after));
		post_end_(&setup, setup.entry.request, "done");
		CU_ASSERT_TRUE(wire_expect_closed(&wire));
		CU_ASSERT_FALSE(wire.reset);
		CU_ASSERT_TRUE(g_str_has_suffix(wire.in->str, cases[i].last));
		wire_close(&wire);
		http_setup_close(&setup);
	}
}

/* More than the buffers of the kernel take. */
#define DOWNLOAD (16 * 1024 * 1024)

/* Guards against a connection that stays open, idle, in a planned stop, because
 * its last answer was not written when the stop began. */
static void test_drain_unwritten_(void)
{
	http_setup_t setup;
	wire_t wire;
	GString *text = g_string_new(NULL);
	int i;

	g_string_set_size(text, DOWNLOAD);
	memset(text->str, 'x', DOWNLOAD);
	http_setup_open(&setup);
	setup.entry.silent = true;
	wire_open(&wire, &setup.fixture, mmx_http_entry_port(setup.http));
	wire_send(&wire, GET HOST "\r\n", strlen(GET HOST "\r\n"));
	fixture_wait(&setup.fixture, has_request_, &setup.entry);
	fake_entry_answer(&setup.entry, setup.entry.request, text);
	for (i = 0; i < 20; i++)
		fixture_turn(&setup.fixture);
	mmx_http_entry_drain(setup.http);
	CU_ASSERT_TRUE(wire_expect_closed(&wire));
	CU_ASSERT_FALSE(wire.reset);
	CU_ASSERT_TRUE(wire.in->len > DOWNLOAD);
	wire_close(&wire);
	http_setup_close(&setup);
	g_string_free(text, TRUE);
}

/* Guards against callers that take every descriptor of the node. */
static void test_connection_limit_(void)
{
	http_setup_t setup;
	wire_t first;
	wire_t second;

	http_setup_create(&setup);
	CU_ASSERT_TRUE(mmx_http_entry_set_connections_max(setup.http, 1));
	http_setup_listen(&setup);
	wire_open(&first, &setup.fixture, mmx_http_entry_port(setup.http));
	wire_send(&first, GET HOST "\r\n", strlen(GET HOST "\r\n"));
	CU_ASSERT_TRUE(wire_expect(&first, "<GET / >"));
	wire_open(&second, &setup.fixture, mmx_http_entry_port(setup.http));
	CU_ASSERT_TRUE(wire_expect_closed(&second));
	CU_ASSERT_EQUAL(fixture_counter(&setup.fixture,
					"masticmux_http_closed_total",
					"cause=\"limit\""),
			1);
	wire_close(&first);
	wire_close(&second);
	http_setup_close(&setup);
}

CU_TestInfo mmx_tests_http_entry_connection[] = {
	{"timeouts", test_timeouts_},
	{"caller gone", test_caller_gone_},
	{"upload under credit", test_upload_},
	{"framing of answers", test_downloads_},
	{"cut of an answer without a length", test_unframed_cut_},
	{"drain", test_drain_},
	{"drain with an unread request", test_drain_unread_},
	{"drain with an answer that has begun", test_drain_begun_},
	{"drain with an answer to be written", test_drain_unwritten_},
	{"connection limit", test_connection_limit_},
	CU_TEST_INFO_NULL,
};
