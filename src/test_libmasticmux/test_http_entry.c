#include "suites.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <inttypes.h>
#include <string.h>

#include "http_fixture.h"
#include "masticmux/random.h"
#include "private/http_entry.h"

/* Stands for the entry task: answers each request when it is whole. */
typedef struct fake_entry_t {
	mmx_task_t task;
	mmx_http_entry_t *http;
	int requests;
	int gone;
	bool silent;	    /* answers nothing */
	bool grants;	    /* grants credit for what it gets */
	uint64_t request;   /* the last one */
	size_t body_bytes;  /* of the last one */
	size_t credit;	    /* granted by http_entry */
	GString *body;
	mmx_head_t *head;
} fake_entry_t;

static void answer_(fake_entry_t *entry, uint64_t request, GString *text)
{
	mmx_answer_t *answer = mmx_new_answer(request);

	answer->outcome = MMX_OUTCOME_COMPLETED;
	answer->head = mmx_head_create_response(200);
	mmx_head_add(answer->head, "X-Target", "t");
	mmx_head_add(answer->head, "Connection", "X-Hop");
	mmx_head_add(answer->head, "X-Hop", "1");
	mmx_head_add(answer->head, "Masticmux-Outcome", "forged");
	evbuffer_add(answer->body, text->str, text->len);
	answer->body_end = true;
	mmx_task_post(mmx_http_entry_task(entry->http), &answer->message);
}

static void take_body_(fake_entry_t *entry, struct evbuffer *data, bool end)
{
	size_t length = evbuffer_get_length(data);
	mmx_window_t *window;
	GString *text;

	entry->body_bytes += length;
	if (entry->body->len < 1024)
		g_string_append_len(entry->body,
				    (char *)evbuffer_pullup(data, -1),
				    (gssize)length);
	if (entry->grants && length > 0 && !end) {
		window = mmx_new_window(MMX_TO_TARGET, (uint32_t)length);
		window->request = entry->request;
		mmx_task_post(mmx_http_entry_task(entry->http),
			      &window->message);
	}
	if (!end || entry->silent)
		return;
	text = g_string_new(NULL);
	g_string_printf(text, "<%s %s %s>", entry->head->method,
			entry->head->uri, entry->body->str);
	answer_(entry, entry->request, text);
	g_string_free(text, TRUE);
}

static void handle_(mmx_task_t *task, mmx_message_t *message)
{
	fake_entry_t *entry = (fake_entry_t *)task;
	mmx_request_t *request = (mmx_request_t *)message;
	mmx_body_t *body = (mmx_body_t *)message;

	switch (message->ops->kind) {
	case MMX_MESSAGE_REQUEST:
		entry->requests++;
		entry->request = request->request;
		entry->body_bytes = 0;
		g_string_truncate(entry->body, 0);
		mmx_head_destroy(entry->head);
		entry->head = g_steal_pointer(&request->head);
		take_body_(entry, request->body, request->body_end);
		break;
	case MMX_MESSAGE_BODY:
		CU_ASSERT_EQUAL(body->request, entry->request);
		take_body_(entry, body->data, body->end);
		break;
	case MMX_MESSAGE_WINDOW:
		entry->credit += ((mmx_window_t *)message)->credit;
		break;
	case MMX_MESSAGE_CALLER_GONE:
		entry->gone++;
		break;
	default:
		CU_FAIL("message that the entry does not take");
	}
	mmx_message_destroy(message);
}

static const mmx_task_ops_t ops_ = {"fake_entry", handle_};

typedef struct setup_t {
	fixture_t fixture;
	fake_entry_t entry;
	mmx_http_entry_t *http;
} setup_t;

static void create_(setup_t *setup)
{
	memset(setup, 0, sizeof(*setup));
	fixture_open(&setup->fixture);
	mmx_task_init(&setup->entry.task, &ops_, setup->fixture.runtime);
	setup->entry.body = g_string_new(NULL);
	setup->entry.grants = true;
	setup->http = mmx_http_entry_create(setup->fixture.runtime,
					    &setup->entry.task,
					    setup->fixture.counters);
	setup->entry.http = setup->http;
}

static void listen_(setup_t *setup)
{
	mmx_address_t address = {.host = "127.0.0.1"};
	mmx_error_t error;

	CU_ASSERT_TRUE_FATAL(
		mmx_http_entry_init(setup->http, &address, &error));
}

static void open_(setup_t *setup)
{
	create_(setup);
	listen_(setup);
}

static void close_(setup_t *setup)
{
	mmx_http_entry_destroy(setup->http);
	mmx_task_finish(&setup->entry.task);
	mmx_head_destroy(setup->entry.head);
	g_string_free(setup->entry.body, TRUE);
	fixture_close(&setup->fixture);
}

typedef struct exchange_case_t {
	const char *name;
	const char *sent;
	const char *expected[4]; /* all occur, in this order */
	int requests;		 /* that reach the entry */
	bool closes;
} exchange_case_t;

#define HOST "Host: shop\r\n"
#define OK "HTTP/1.1 200 OK\r\n"

static const exchange_case_t exchanges_[] = {
	{"get", "GET /a?b=c HTTP/1.1\r\n" HOST "\r\n",
	 {OK "X-Target: t\r\nMasticmux-Outcome: completed\r\n"
	     "Content-Length: 13\r\n\r\n<GET /a?b=c >"},
	 1, false},
	{"head", "HEAD /a HTTP/1.1\r\n" HOST "Connection: close\r\n\r\n",
	 {OK, "Connection: close\r\n\r\n"}, 1, true},
	{"length", "POST / HTTP/1.1\r\n" HOST "Content-Length: 5\r\n\r\nhello",
	 {OK, "<POST / hello>"}, 1, false},
	{"chunks, extension and trailer",
	 "POST / HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n"
	 "3;a=b\r\nhel\r\n002\r\nlo\r\n0\r\nX-T: v\r\n\r\n",
	 {OK, "<POST / hello>"}, 1, false},
	{"pipelined requests are answered in order",
	 "GET /1 HTTP/1.1\r\n" HOST "\r\n"
	 "POST /2 HTTP/1.1\r\n" HOST "Content-Length: 2\r\n\r\nhi"
	 "GET /3 HTTP/1.1\r\n" HOST "\r\n",
	 {"<GET /1 >", "<POST /2 hi>", "<GET /3 >"}, 3, false},
	{"1.0 closes", "GET / HTTP/1.0\r\n\r\n", {OK, "<GET / >"}, 1, true},
	{"1.0 keep-alive", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
	 {"Connection: keep-alive\r\n", "<GET / >"}, 1, false},
	{"close", "GET / HTTP/1.1\r\n" HOST "Connection: a, Close\r\n\r\n",
	 {"Connection: close\r\n", "<GET / >"}, 1, true},
	{"absolute form", "GET http://o:1/x HTTP/1.1\r\n" HOST "\r\n",
	 {OK, "<GET /x >"}, 1, false},
	{"blank lines first", "\r\n\r\nGET / HTTP/1.1\r\n" HOST "\r\n",
	 {OK, "<GET / >"}, 1, false},
	{"continue",
	 "POST / HTTP/1.1\r\n" HOST "Expect: 100-continue\r\n"
	 "Content-Length: 1\r\n\r\n",
	 {"HTTP/1.1 100 Continue\r\n\r\n"}, 1, false},
	{"unusual method", "REPORT / HTTP/1.1\r\n" HOST "\r\n",
	 {OK, "<REPORT / >"}, 1, false},
	{"bad request after a good one",
	 "GET / HTTP/1.1\r\n" HOST "\r\nGET / HTTP/1.1\r\n\r\n",
	 {OK, "<GET / >", "HTTP/1.1 400 ", "not-run"}, 1, true},
};

static bool occur_in_order_(const char *text, const char *const *expected)
{
	size_t i;

	for (i = 0; i < 4 && expected[i]; i++) {
		text = strstr(text, expected[i]);
		if (!text)
			return false;
		text += strlen(expected[i]);
	}
	return true;
}

static const char *last_(const char *const *expected)
{
	size_t i = 0;

	while (i < 3 && expected[i + 1])
		i++;
	return expected[i];
}

static void run_exchange_(const exchange_case_t *item, size_t step)
{
	setup_t setup;
	wire_t wire;
	size_t length = strlen(item->sent);
	size_t at;
	bool good;

	open_(&setup);
	wire_open(&wire, &setup.fixture, mmx_http_entry_port(setup.http));
	for (at = 0; at < length; at += step) {
		wire_send(&wire, item->sent + at, MIN(step, length - at));
		fixture_turn(&setup.fixture);
	}
	good = item->closes ? wire_expect_closed(&wire)
			    : wire_expect(&wire, last_(item->expected));
	good = good && occur_in_order_(wire.in->str, item->expected) &&
	       setup.entry.requests == item->requests &&
	       wire.closed == item->closes && !wire.reset;
	CU_ASSERT_TRUE(good);
	if (!good)
		printf("\n%s, step %zu: %d requests, got %s\n", item->name,
		       step, setup.entry.requests, wire.in->str);
	wire_close(&wire);
	close_(&setup);
}

/* Guards against valid requests that are misread, in one piece or by byte. */
static void test_exchanges_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(exchanges_); i++) {
		run_exchange_(&exchanges_[i], 100000);
		run_exchange_(&exchanges_[i], 1);
	}
}

CU_TestInfo mmx_tests_http_entry[] = {
	{"valid exchanges", test_exchanges_},
	CU_TEST_INFO_NULL,
};
