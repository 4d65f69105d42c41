#include "suites.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <string.h>

#include "private/http_client.h"

#define TIMEOUT_US (800 * MMX_US_PER_MS)
#define STALL_US (400 * MMX_US_PER_MS)
/* Time between two parts of a response. */
#define GAP_US (300 * MMX_US_PER_MS)
#define ITERATIONS 200
#define BODY_MAX (64 * 1024)
/* What an endless response sends at most. */
#define ENDLESS_BYTES (4 * 1024 * 1024)
/* What the client may read of it: a head, the body with its framing, and one
 * read of the socket. */
#define ENDLESS_READ_MAX (256 * 1024)

typedef struct fixture_t {
	struct event_base *base;
	struct evconnlistener *listener;
	struct bufferevent *connection; /* accepted by the server */
	mmx_clock_t *clock;
	mmx_http_client_t *client;
	int calls;  /* ended */
	int status; /* of the response; 0: none */
	size_t length;
	mmx_http_usage_t usage;
} fixture_t;

static void on_accept_(struct evconnlistener *listener, evutil_socket_t fd,
		       struct sockaddr *address, int length, void *arg)
{
	fixture_t *fixture = arg;

	(void)listener;
	(void)address;
	(void)length;
	fixture->connection = bufferevent_socket_new(fixture->base, fd,
						     BEV_OPT_CLOSE_ON_FREE);
	bufferevent_enable(fixture->connection, EV_READ | EV_WRITE);
}

static void on_reply_(void *arg, const mmx_http_reply_t *reply)
{
	fixture_t *fixture = arg;

	fixture->calls++;
	fixture->status = reply ? reply->status : 0;
	fixture->length = reply ? reply->length : 0;
	fixture->usage = *mmx_http_client_usage(fixture->client);
}

static void run_loop_(fixture_t *fixture)
{
	int i;

	for (i = 0; i < ITERATIONS; i++) {
		mmx_clock_advance(fixture->clock, 0);
		event_base_loop(fixture->base, EVLOOP_NONBLOCK);
	}
}

/* body_max: longest response body, bytes */
static void open_(fixture_t *fixture, mmx_time_t stall_timeout, size_t body_max)
{
	struct sockaddr_in name = {.sin_family = AF_INET};
	socklen_t length = sizeof(name);
	mmx_address_t address = {.host = "127.0.0.1"};

	*fixture = (fixture_t){.base = event_base_new()};
	name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fixture->listener = evconnlistener_new_bind(
		fixture->base, on_accept_, fixture, LEV_OPT_CLOSE_ON_FREE, -1,
		(struct sockaddr *)&name, sizeof(name));
	getsockname(evconnlistener_get_fd(fixture->listener),
		    (struct sockaddr *)&name, &length);
	address.port = ntohs(name.sin_port);
	fixture->clock = mmx_clock_create_paused();
	fixture->client = mmx_http_client_create(&(mmx_http_client_config_t){
		.base = fixture->base,
		.clock = fixture->clock,
		.address = address,
		.body_max = body_max,
		.stall_timeout = stall_timeout,
	});
	mmx_http_client_get(fixture->client, "/", TIMEOUT_US, on_reply_,
			    fixture);
	run_loop_(fixture);
}

static void close_(fixture_t *fixture)
{
	mmx_http_client_destroy(fixture->client);
	bufferevent_free(fixture->connection);
	evconnlistener_free(fixture->listener);
	mmx_clock_destroy(fixture->clock);
	event_base_free(fixture->base);
}

typedef struct response_case_t {
	const char *name;
	mmx_time_t stall_timeout;
	int parts;	/* of the announced body */
	int sent;	/* how many of them the server sends, GAP_US apart */
	int status;	/* received; 0: the call fails */
	mmx_time_t end; /* of the call */
} response_case_t;

static const response_case_t cases_[] = {
	{"at once", STALL_US, 1, 1, 200, GAP_US},
	{"slow but whole", STALL_US, 12, 12, 200, 12 * GAP_US},
	{"slow without a stall time-out", 0, 12, 12, 0, TIMEOUT_US},
	{"never begins", STALL_US, 1, 0, 0, TIMEOUT_US},
	{"stalls after three parts", STALL_US, 12, 3, 0, 3 * GAP_US + STALL_US},
};

static void send_part_(fixture_t *fixture, const response_case_t *row, int i)
{
	struct evbuffer *output = bufferevent_get_output(fixture->connection);

	if (i == 0)
		evbuffer_add_printf(output,
				    "HTTP/1.1 200 x\r\nContent-Length: "
				    "%d\r\n\r\n",
				    row->parts);
	evbuffer_add(output, "x", 1);
}

/* Guards against a response that is cut off although it keeps arriving, so that
 * each further call starts again from its first byte; and against one that
 * stalls and is waited for forever. */
static void test_slow_responses_(void)
{
	size_t i;
	int part;

	for (i = 0; i < G_N_ELEMENTS(cases_); i++) {
		const response_case_t *row = &cases_[i];
		fixture_t fixture;

		open_(&fixture, row->stall_timeout, BODY_MAX);
		for (part = 0; part < row->sent && !fixture.calls; part++) {
			mmx_clock_advance(fixture.clock, GAP_US);
			if (fixture.calls)
				break;
			send_part_(&fixture, row, part);
			run_loop_(&fixture);
		}
		mmx_clock_advance(fixture.clock, TIMEOUT_US);
		CU_ASSERT_EQUAL(fixture.calls, 1);
		CU_ASSERT_EQUAL(fixture.status, row->status);
		CU_ASSERT_EQUAL(fixture.usage.duration, row->end);
		CU_ASSERT_EQUAL(fixture.usage.first_byte,
				row->sent ? GAP_US : 0);
		CU_ASSERT_EQUAL(fixture.usage.received > 0, row->sent > 0);
		if (row->status)
			CU_ASSERT_EQUAL(fixture.length, (size_t)row->parts);
		close_(&fixture);
	}
}

#define TEN "aaaaaaaaaa"
#define HUNDRED TEN TEN TEN TEN TEN TEN TEN TEN TEN TEN
#define LONG HUNDRED HUNDRED HUNDRED HUNDRED HUNDRED
#define CHUNKED "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"

typedef struct endless_case_t {
	const char *name;
	const char *start;
	const char *repeated;
} endless_case_t;

static const endless_case_t endless_[] = {
	{"status line", "HTTP/1.1 200 ", "aaaaaaaa"},
	{"no line", "", "aaaaaaaa"},
	{"blank lines", "", "\r\n"},
	{"header", "HTTP/1.1 200 x\r\nA: ", "aaaaaaaa"},
	{"headers", "HTTP/1.1 200 x\r\n", "A: b\r\n"},
	{"interim responses", "", "HTTP/1.1 100 x\r\nA: " LONG "\r\n\r\n"},
	{"body until the end", "HTTP/1.1 200 x\r\n\r\n", "aaaaaaaa"},
	{"long body", "HTTP/1.1 200 x\r\nContent-Length: 99999999\r\n\r\n",
	 "aaaaaaaa"},
	{"chunks", CHUNKED, "1\r\na\r\n"},
	{"chunk size", CHUNKED, "00000000"},
	{"chunk extension", CHUNKED "1;", "aaaaaaaa"},
	{"blank lines between chunks", CHUNKED, "\r\n"},
	{"trailer", CHUNKED "0\r\nA: ", "aaaaaaaa"},
	{"trailers", CHUNKED "0\r\n", "A: b\r\n"},
};

/* Guards against a server that sends bytes without end, of which the client
 * keeps all until it runs out of memory. */
static void test_endless_responses_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(endless_); i++) {
		const endless_case_t *row = &endless_[i];
		struct evbuffer *output;
		fixture_t fixture;
		size_t sent = 0;

		open_(&fixture, STALL_US, BODY_MAX);
		output = bufferevent_get_output(fixture.connection);
		evbuffer_add(output, row->start, strlen(row->start));
		while (!fixture.calls && sent < ENDLESS_BYTES) {
			while (evbuffer_get_length(output) < 65536) {
				evbuffer_add(output, row->repeated,
					     strlen(row->repeated));
				sent += strlen(row->repeated);
			}
			mmx_clock_advance(fixture.clock, 0);
			event_base_loop(fixture.base, EVLOOP_NONBLOCK);
		}
		if (fixture.usage.received > ENDLESS_READ_MAX || !fixture.calls)
			fprintf(stderr, "%s: read %zu of %zu bytes\n",
				row->name, fixture.usage.received, sent);
		CU_ASSERT_EQUAL(fixture.calls, 1);
		CU_ASSERT_TRUE(fixture.usage.received <= ENDLESS_READ_MAX);
		CU_ASSERT_EQUAL(fixture.length, 0);
		close_(&fixture);
	}
}

CU_TestInfo mmx_tests_http_client[] = {
	{"endless responses", test_endless_responses_},
	{"slow responses", test_slow_responses_},
	CU_TEST_INFO_NULL,
};
