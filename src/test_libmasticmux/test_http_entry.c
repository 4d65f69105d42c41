#include "suites.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>

#include "http_fixture.h"
#include "masticmux/random.h"
#include "private/http_entry.h"

/* Stands for the entry task: answers each request when it is whole. */
typedef struct fake_entry_t {
	mmx_task_t task;
	mmx_http_entry_t *http;
	int requests;
	int gone;
	bool silent;	   /* answers nothing */
	bool grants;	   /* grants credit for what it gets */
	uint64_t request;  /* the last one */
	size_t body_bytes; /* of the last one */
	size_t credit;	   /* granted by http_entry */
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
	{"get",
	 "GET /a?b=c HTTP/1.1\r\n" HOST "\r\n",
	 {OK "X-Target: t\r\nMasticmux-Outcome: completed\r\n"
	     "Content-Length: 13\r\n\r\n<GET /a?b=c >"},
	 1,
	 false},
	{"head",
	 "HEAD /a HTTP/1.1\r\n" HOST "Connection: close\r\n\r\n",
	 {OK, "Connection: close\r\n\r\n"},
	 1,
	 true},
	{"length",
	 "POST / HTTP/1.1\r\n" HOST "Content-Length: 5\r\n\r\nhello",
	 {OK, "<POST / hello>"},
	 1,
	 false},
	{"chunks, extension and trailer",
	 "POST / HTTP/1.1\r\n" HOST "Transfer-Encoding: chunked\r\n\r\n"
	 "3;a=b\r\nhel\r\n002\r\nlo\r\n0\r\nX-T: v\r\n\r\n",
	 {OK, "<POST / hello>"},
	 1,
	 false},
	{"pipelined requests are answered in order",
	 "GET /1 HTTP/1.1\r\n" HOST "\r\n"
	 "POST /2 HTTP/1.1\r\n" HOST "Content-Length: 2\r\n\r\nhi"
	 "GET /3 HTTP/1.1\r\n" HOST "\r\n",
	 {"<GET /1 >", "<POST /2 hi>", "<GET /3 >"},
	 3,
	 false},
	{"1.0 closes", "GET / HTTP/1.0\r\n\r\n", {OK, "<GET / >"}, 1, true},
	{"1.0 keep-alive",
	 "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
	 {"Connection: keep-alive\r\n", "<GET / >"},
	 1,
	 false},
	{"close",
	 "GET / HTTP/1.1\r\n" HOST "Connection: a, Close\r\n\r\n",
	 {"Connection: close\r\n", "<GET / >"},
	 1,
	 true},
	{"absolute form",
	 "GET http://o:1/x HTTP/1.1\r\n" HOST "\r\n",
	 {OK, "<GET /x >"},
	 1,
	 false},
	{"blank lines first",
	 "\r\n\r\nGET / HTTP/1.1\r\n" HOST "\r\n",
	 {OK, "<GET / >"},
	 1,
	 false},
	{"continue",
	 "POST / HTTP/1.1\r\n" HOST "Expect: 100-continue\r\n"
	 "Content-Length: 1\r\n\r\n",
	 {"HTTP/1.1 100 Continue\r\n\r\n"},
	 1,
	 false},
	{"unusual method",
	 "REPORT / HTTP/1.1\r\n" HOST "\r\n",
	 {OK, "<REPORT / >"},
	 1,
	 false},
	{"bad request after a good one",
	 "GET / HTTP/1.1\r\n" HOST "\r\nGET / HTTP/1.1\r\n\r\n",
	 {OK, "<GET / >", "HTTP/1.1 400 ", "not-run"},
	 1,
	 true},
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

typedef struct hostile_case_t {
	const char *name;
	const char *start;
	const char *repeated; /* so many times after the start */
	int times;
	const char *end;
	const char *status;
	const char *reason;
} hostile_case_t;

#define GET "GET / HTTP/1.1\r\n"
#define POST "POST / HTTP/1.1\r\n" HOST
#define BAD "400", "bad-request"
#define ONCE(text) text, "", 0, ""

static const hostile_case_t hostile_[] = {
	{"no host", ONCE(GET "\r\n"), BAD},
	{"two hosts", ONCE(GET HOST HOST "\r\n"), BAD},
	{"empty host", ONCE(GET "Host:\r\n\r\n"), BAD},
	{"host with path", ONCE(GET "Host: a/b\r\n\r\n"), BAD},
	{"lone line feeds", ONCE("GET / HTTP/1.1\nHost: shop\n\n"), BAD},
	{"space in name", ONCE(GET HOST "A b: c\r\n\r\n"), BAD},
	{"space before colon", ONCE(GET HOST "A : c\r\n\r\n"), BAD},
	{"no colon", ONCE(GET HOST "A\r\n\r\n"), BAD},
	{"empty name", ONCE(GET HOST ": c\r\n\r\n"), BAD},
	{"folded line", ONCE(GET HOST "A: b\r\n c\r\n\r\n"), BAD},
	{"control byte in value", ONCE(GET HOST "A: \x01\r\n\r\n"), BAD},
	{"length and chunks",
	 ONCE(POST "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"),
	 BAD},
	{"two lengths",
	 ONCE(POST "Content-Length: 1\r\nContent-Length: 1\r\n\r\n"), BAD},
	{"list of lengths", ONCE(POST "Content-Length: 1, 1\r\n\r\n"), BAD},
	{"signed length", ONCE(POST "Content-Length: +1\r\n\r\n"), BAD},
	{"negative length", ONCE(POST "Content-Length: -1\r\n\r\n"), BAD},
	{"hexadecimal length", ONCE(POST "Content-Length: 0x1\r\n\r\n"), BAD},
	{"empty length", ONCE(POST "Content-Length:\r\n\r\n"), BAD},
	{"length of 64 bits",
	 ONCE(POST "Content-Length: 18446744073709551617\r\n\r\n"), BAD},
	{"other encoding",
	 ONCE(POST "Transfer-Encoding: gzip, chunked\r\n\r\n"), BAD},
	{"two encodings",
	 ONCE(POST "Transfer-Encoding: chunked\r\n"
		   "Transfer-Encoding: chunked\r\n\r\n"),
	 BAD},
	{"chunks in 1.0",
	 ONCE("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"), BAD},
	{"bad chunk size",
	 ONCE(POST "Transfer-Encoding: chunked\r\n\r\nzz\r\n"), BAD},
	{"huge chunk size",
	 ONCE(POST "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"),
	 BAD},
	{"version 2", ONCE("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), BAD},
	{"version 1.2", ONCE("GET / HTTP/1.2\r\n" HOST "\r\n"), BAD},
	{"no version", ONCE("GET /\r\n\r\n"), BAD},
	{"two spaces", ONCE("GET  / HTTP/1.1\r\n" HOST "\r\n"), BAD},
	{"no slash", ONCE("GET x HTTP/1.1\r\n" HOST "\r\n"), BAD},
	{"fragment", ONCE("GET /#x HTTP/1.1\r\n" HOST "\r\n"), BAD},
	{"byte above ASCII", ONCE("GET /\xff HTTP/1.1\r\n" HOST "\r\n"), BAD},
	{"connect", ONCE("CONNECT a:1 HTTP/1.1\r\n" HOST "\r\n"), BAD},
	{"TLS", ONCE("\x16\x03\x01\x02\x01\xfc\x03\x03\r\n\r\n"), BAD},
	{"unknown expectation", ONCE(GET HOST "Expect: tea\r\n\r\n"), "417",
	 "bad-request"},
	{"101 headers", GET HOST, "A: b\r\n", 100, "\r\n", "431",
	 "header-too-large"},
	{"17 KiB of headers", GET HOST,
	 "Abcdefgh: 0123456789abcdef0123456789\r\n", 600, "\r\n", "431",
	 "header-too-large"},
	{"endless header", GET HOST "A: ", "aaaaaaaa", 4000, "", "431",
	 "header-too-large"},
	{"endless request line", "GET /", "aaaaaaaa", 4000, "", "414",
	 "header-too-large"},
};

static void run_hostile_(const hostile_case_t *item)
{
	setup_t setup;
	wire_t wire;
	GString *sent = g_string_new(item->start);
	char *refusal = g_strdup_printf("HTTP/1.1 %s ", item->status);
	char *reason = g_strdup_printf("Masticmux-Outcome: not-run\r\n"
				       "Masticmux-Reason: %s\r\n",
				       item->reason);
	bool good;
	int i;

	for (i = 0; i < item->times; i++)
		g_string_append(sent, item->repeated);
	g_string_append(sent, item->end);
	open_(&setup);
	wire_open(&wire, &setup.fixture, mmx_http_entry_port(setup.http));
	wire_send(&wire, sent->str, sent->len);
	good = wire_expect_closed(&wire) && !wire.reset &&
	       g_str_has_prefix(wire.in->str, refusal) &&
	       strstr(wire.in->str, reason) && setup.entry.requests == 0;
	CU_ASSERT_TRUE(good);
	if (!good)
		printf("\n%s: %d requests, got %s\n", item->name,
		       setup.entry.requests, wire.in->str);
	wire_close(&wire);
	close_(&setup);
	g_string_free(sent, TRUE);
	g_free(refusal);
	g_free(reason);
}

/* Guards against malformed requests that reach a target. */
static void test_hostile_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hostile_); i++)
		run_hostile_(&hostile_[i]);
}

static bool no_connections_(void *arg)
{
	return mmx_http_entry_connections(arg) == 0;
}

/* Sends a mutated request and checks that the answer, if any, is complete. */
static void send_mutated_(setup_t *setup, mmx_random_t *random)
{
	const exchange_case_t *seed =
		&exchanges_[mmx_random_below(random, G_N_ELEMENTS(exchanges_))];
	GString *data = g_string_new(seed->sent);
	uint64_t changes = 1 + mmx_random_below(random, 5);
	wire_t wire;

	while (changes-- > 0) {
		size_t at = mmx_random_below(random, data->len);

		if (mmx_random_below(random, 3) == 0)
			g_string_erase(data, (gssize)at, 1);
		else
			data->str[at] = (char)mmx_random_next(random);
	}
	wire_open(&wire, &setup->fixture, mmx_http_entry_port(setup->http));
	wire_send(&wire, data->str, data->len);
	fixture_turn(&setup->fixture);
	wire_send_end(&wire);
	CU_ASSERT_TRUE(wire_expect_closed(&wire));
	if (wire.in->len > 0 && !strstr(wire.in->str, "100 Continue"))
		CU_ASSERT_PTR_NOT_NULL(
			strstr(wire.in->str, "Masticmux-Outcome: "));
	wire_close(&wire);
	g_string_free(data, TRUE);
}

/* Guards against crashes and leaked connections on any input. */
static void test_mutations_(void)
{
	setup_t setup;
	mmx_random_t random;
	wire_t wire;
	int i;

	open_(&setup);
	mmx_random_seed(&random, 4711);
	for (i = 0; i < 5000; i++)
		send_mutated_(&setup, &random);
	CU_ASSERT_TRUE(
		fixture_wait(&setup.fixture, no_connections_, setup.http));
	wire_open(&wire, &setup.fixture, mmx_http_entry_port(setup.http));
	wire_send(&wire, exchanges_[0].sent, strlen(exchanges_[0].sent));
	CU_ASSERT_TRUE(wire_expect(&wire, "<GET /a?b=c >"));
	wire_close(&wire);
	close_(&setup);
}

typedef struct timeout_case_t {
	const char *name;
	size_t offset; /* of the timeout that is made short */
	const char *sent;
	const char *cause;
	const char *expected; /* "" for a plain close */
} timeout_case_t;

#define OFFSET(member) offsetof(mmx_http_entry_timeouts_t, member)

static const timeout_case_t timeouts_[] = {
	{"idle", OFFSET(idle), "", "idle", ""},
	{"idle after a request", OFFSET(idle), GET HOST "\r\n", "idle", OK},
	{"slow head", OFFSET(head), GET "Ho", "slow-head", "HTTP/1.1 408 "},
	{"slow body", OFFSET(body), POST "Content-Length: 9\r\n\r\nab",
	 "slow-body", "HTTP/1.1 408 "},
};

/* Guards against connections that are held open for nothing. */
static void test_timeouts_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(timeouts_); i++) {
		const timeout_case_t *item = &timeouts_[i];
		mmx_http_entry_timeouts_t timeouts;
		char labels[64];
		setup_t setup;
		wire_t wire;

		create_(&setup);
		timeouts = mmx_http_entry_timeouts(setup.http);
		*(mmx_time_t *)((char *)&timeouts + item->offset) =
			20 * MMX_US_PER_MS;
		CU_ASSERT_TRUE(
			mmx_http_entry_set_timeouts(setup.http, &timeouts));
		listen_(&setup);
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
		close_(&setup);
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
	setup_t setup;
	wire_t first;
	wire_t second;
	GString *late = g_string_new("late");

	open_(&setup);
	setup.entry.silent = true;
	wire_open(&first, &setup.fixture, mmx_http_entry_port(setup.http));
	wire_send(&first, GET HOST "\r\n", strlen(GET HOST "\r\n"));
	CU_ASSERT_TRUE(
		fixture_wait(&setup.fixture, has_request_, &setup.entry));
	wire_close(&first);
	CU_ASSERT_TRUE(fixture_wait(&setup.fixture, has_gone_, &setup.entry));
	answer_(&setup.entry, setup.entry.request, late);
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
	close_(&setup);
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
	setup_t setup;
	wire_t wire;
	mmx_window_t *window;
	char *data = g_malloc0(UPLOAD);
	char *head = g_strdup_printf(POST "Content-Length: %d\r\n\r\n", UPLOAD);

	open_(&setup);
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
	close_(&setup);
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

static void send_answer_(setup_t *setup, const download_case_t *item)
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
		setup_t setup;
		wire_t wire;
		bool good;

		open_(&setup);
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
		close_(&setup);
	}
}

/* Guards against requests that are cut off by a planned stop. */
static void test_drain_(void)
{
	setup_t setup;
	wire_t idle;
	wire_t busy;
	wire_t refused;
	GString *text = g_string_new("done");

	open_(&setup);
	setup.entry.silent = true;
	wire_open(&idle, &setup.fixture, mmx_http_entry_port(setup.http));
	wire_open(&busy, &setup.fixture, mmx_http_entry_port(setup.http));
	wire_send(&busy, GET HOST "\r\n", strlen(GET HOST "\r\n"));
	fixture_wait(&setup.fixture, has_request_, &setup.entry);
	mmx_http_entry_drain(setup.http);
	CU_ASSERT_TRUE(wire_expect_closed(&idle));
	wire_open(&refused, &setup.fixture, mmx_http_entry_port(setup.http));
	CU_ASSERT_TRUE(refused.closed);
	answer_(&setup.entry, setup.entry.request, text);
	CU_ASSERT_TRUE(wire_expect_closed(&busy));
	CU_ASSERT_PTR_NOT_NULL(strstr(busy.in->str, "Connection: close\r\n"));
	CU_ASSERT_TRUE(g_str_has_suffix(busy.in->str, "done"));
	wire_close(&idle);
	wire_close(&busy);
	wire_close(&refused);
	CU_ASSERT_TRUE(
		fixture_wait(&setup.fixture, no_connections_, setup.http));
	close_(&setup);
	g_string_free(text, TRUE);
}

/*
 * Guards against a planned stop that resets a connection whose next request the
 * kernel holds but the node has not read.
 */
static void test_drain_unread_(void)
{
	setup_t setup;
	wire_t wire;

	open_(&setup);
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
	close_(&setup);
}

/* Guards against callers that take every descriptor of the node. */
static void test_connection_limit_(void)
{
	setup_t setup;
	wire_t first;
	wire_t second;

	create_(&setup);
	CU_ASSERT_TRUE(mmx_http_entry_set_connections_max(setup.http, 1));
	listen_(&setup);
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
	close_(&setup);
}

CU_TestInfo mmx_tests_http_entry[] = {
	{"valid exchanges", test_exchanges_},
	{"hostile requests", test_hostile_},
	{"mutated requests", test_mutations_},
	{"timeouts", test_timeouts_},
	{"caller gone", test_caller_gone_},
	{"upload under credit", test_upload_},
	{"framing of answers", test_downloads_},
	{"drain", test_drain_},
	{"drain with an unread request", test_drain_unread_},
	{"connection limit", test_connection_limit_},
	CU_TEST_INFO_NULL,
};
