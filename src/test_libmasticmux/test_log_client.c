#include "suites.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <string.h>

#include "masticmux/log_client.h"

/* Limit of event loop iterations per call. */
#define ITERATIONS_MAX 10000
/* Long poll wait of the reads. */
#define POLL_WAIT_US (3 * MMX_US_PER_S)

/* Behaviour of the server on a request. */
typedef enum server_mode_t {
	ANSWER,	   /* responds with status and body */
	CLOSE,	   /* closes the connection without a response */
	SILENT,	   /* leaves the request pending */
	TOO_LARGE, /* responds with a body above the limit */
	TWICE,	   /* responds and sends a copy of the response */
} server_mode_t;

typedef struct fixture_t {
	struct event_base *base;
	struct evhttp *server;
	mmx_clock_t *clock;
	mmx_log_client_t *client;
	server_mode_t mode;
	int status;
	const char *body;
	bool is_pending;	/* a request is pending */
	char last_request[256]; /* method, path and body of the last request */
	int calls;
	mmx_log_result_t result;
	uint64_t offset;
	size_t count;
} fixture_t;

static void record_request_(fixture_t *fixture, struct evhttp_request *request)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(request);
	size_t length = evbuffer_get_length(input);
	bool is_post = evhttp_request_get_command(request) == EVHTTP_REQ_POST;

	g_snprintf(fixture->last_request, sizeof(fixture->last_request),
		   "%s %s %.*s", is_post ? "POST" : "GET",
		   evhttp_request_get_uri(request), (int)length,
		   length ? (char *)evbuffer_pullup(input, -1) : "");
}

static void send_copy_(const fixture_t *fixture,
		       struct evhttp_connection *connection)
{
	struct bufferevent *socket =
		evhttp_connection_get_bufferevent(connection);

	evbuffer_add_printf(bufferevent_get_output(socket),
			    "HTTP/1.1 %d x\r\nContent-Length: %zu\r\n\r\n%s",
			    fixture->status, strlen(fixture->body),
			    fixture->body);
}

static void on_request_(struct evhttp_request *request, void *arg)
{
	fixture_t *fixture = arg;
	struct evbuffer *body = evbuffer_new();
	struct evhttp_connection *connection;

	record_request_(fixture, request);
	if (fixture->mode == SILENT) {
		/* The server owns the request until it is freed. */
		fixture->is_pending = true;
	} else if (fixture->mode == CLOSE) {
		evhttp_connection_free(evhttp_request_get_connection(request));
	} else {
		if (fixture->mode == TOO_LARGE) {
			char *large = g_malloc0(MMX_LOG_RESPONSE_MAX + 1);

			evbuffer_add(body, large, MMX_LOG_RESPONSE_MAX + 1);
			g_free(large);
		} else {
			evbuffer_add_printf(body, "%s", fixture->body);
		}
		connection = evhttp_request_get_connection(request);
		evhttp_send_reply(request, fixture->status, "x", body);
		if (fixture->mode == TWICE)
			send_copy_(fixture, connection);
	}
	evbuffer_free(body);
}

static void open_(fixture_t *fixture)
{
	struct evhttp_bound_socket *socket;
	struct sockaddr_in name = {0};
	socklen_t length = sizeof(name);
	mmx_address_t address = {.host = "127.0.0.1"};

	*fixture = (fixture_t){.base = event_base_new()};
	fixture->server = evhttp_new(fixture->base);
	evhttp_set_gencb(fixture->server, on_request_, fixture);
	socket =
		evhttp_bind_socket_with_handle(fixture->server, "127.0.0.1", 0);
	getsockname(evhttp_bound_socket_get_fd(socket),
		    (struct sockaddr *)&name, &length);
	address.port = ntohs(name.sin_port);
	fixture->clock = mmx_clock_create_paused();
	fixture->client = mmx_log_client_create(fixture->base, fixture->clock,
						&address, NULL, 1);
}

static void close_(fixture_t *fixture)
{
	mmx_log_client_destroy(fixture->client);
	evhttp_free(fixture->server);
	mmx_clock_destroy(fixture->clock);
	event_base_free(fixture->base);
}

static void on_appended_(void *arg, mmx_log_result_t result, uint64_t offset)
{
	fixture_t *fixture = arg;

	fixture->calls++;
	fixture->result = result;
	fixture->offset = offset;
}

static void on_read_(void *arg, mmx_log_result_t result,
		     const mmx_log_records_t *records)
{
	fixture_t *fixture = arg;

	fixture->calls++;
	fixture->result = result;
	fixture->count = records ? records->count : 0;
	fixture->offset = records ? records->next : 0;
}

/* Runs the event loop until a request is pending or the number of completed
 * calls is reached. */
static void run_loop_(fixture_t *fixture, int calls)
{
	int i;

	for (i = 0; i < ITERATIONS_MAX && fixture->calls < calls; i++) {
		if (fixture->mode == SILENT && fixture->is_pending)
			break;
		mmx_clock_advance(fixture->clock, 0);
		event_base_loop(fixture->base, EVLOOP_NONBLOCK);
	}
}

static void call_(fixture_t *fixture, bool is_append)
{
	if (is_append)
		mmx_log_client_append(fixture->client, "s", "{}", 2,
				      on_appended_, fixture);
	else
		mmx_log_client_read(fixture->client, "s", 5, 7, POLL_WAIT_US,
				    on_read_, fixture);
	run_loop_(fixture, fixture->calls + 1);
}

typedef struct client_case_t {
	const char *name;
	bool is_append;
	server_mode_t mode;
	int status;
	const char *body;
	mmx_log_result_t result;
	uint64_t offset;
} client_case_t;

#define RECORD_JSON "{\"offset\":5,\"data\":\"{}\"}"

static const client_case_t cases_[] = {
	{"append", true, ANSWER, 200, "{\"offset\":9}", MMX_LOG_OK, 9},
	{"append refused", true, ANSWER, 400, "", MMX_LOG_REFUSED, 0},
	{"append, no room", true, ANSWER, 503, "", MMX_LOG_UNKNOWN, 0},
	{"append, closed", true, CLOSE, 0, "", MMX_LOG_UNKNOWN, 0},
	{"append, silent", true, SILENT, 0, "", MMX_LOG_UNKNOWN, 0},
	{"append, garbage", true, ANSWER, 200, "{", MMX_LOG_MALFORMED, 0},
	{"append, negative", true, ANSWER, 200, "{\"offset\":-1}",
	 MMX_LOG_MALFORMED, 0},
	{"append, large answer", true, TOO_LARGE, 200, "", MMX_LOG_MALFORMED,
	 0},
	{"append, answered twice", true, TWICE, 200, "{\"offset\":9}",
	 MMX_LOG_OK, 9},
	{"read", false, ANSWER, 200,
	 "{\"first\":1,\"next\":6,\"records\":[" RECORD_JSON "]}", MMX_LOG_OK,
	 6},
	{"read nothing", false, ANSWER, 200,
	 "{\"first\":1,\"next\":5,\"records\":[]}", MMX_LOG_OK, 5},
	{"read, error", false, ANSWER, 500, "", MMX_LOG_UNKNOWN, 0},
	{"read, closed", false, CLOSE, 0, "", MMX_LOG_UNKNOWN, 0},
	{"read, silent", false, SILENT, 0, "", MMX_LOG_UNKNOWN, 0},
	{"read, large answer", false, TOO_LARGE, 200, "", MMX_LOG_TOO_LARGE, 0},
	{"read, empty body", false, ANSWER, 200, "", MMX_LOG_MALFORMED, 0},
	{"read, next below first", false, ANSWER, 200,
	 "{\"first\":7,\"next\":6,\"records\":[]}", MMX_LOG_MALFORMED, 0},
	{"read, records twice", false, ANSWER, 200,
	 "{\"first\":1,\"next\":6,\"records\":[" RECORD_JSON "," RECORD_JSON
	 "]}",
	 MMX_LOG_MALFORMED, 0},
	{"read, record beyond next", false, ANSWER, 200,
	 "{\"first\":1,\"next\":5,\"records\":[" RECORD_JSON "]}",
	 MMX_LOG_MALFORMED, 0},
	{"read, data missing", false, ANSWER, 200,
	 "{\"first\":1,\"next\":6,\"records\":[{\"offset\":5}]}",
	 MMX_LOG_MALFORMED, 0},
};

/* Guards against a lost response that is reported as success or refusal, a call
 * that never completes, a failure that blocks later calls, and a copy of a
 * response that is taken for the response to the next call. */
static void test_results_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases_); i++) {
		const client_case_t *row = &cases_[i];
		bool fails = row->result != MMX_LOG_OK &&
			     row->result != MMX_LOG_TOO_LARGE;
		fixture_t fixture;

		open_(&fixture);
		fixture.mode = row->mode;
		fixture.status = row->status;
		fixture.body = row->body;
		call_(&fixture, row->is_append);
		CU_ASSERT_STRING_EQUAL(
			fixture.last_request,
			row->is_append
				? "POST /streams/s {}"
				: "GET /streams/s?from=5&max=7&wait_ms=3000 ");
		if (row->mode == SILENT) {
			CU_ASSERT_EQUAL(fixture.calls, 0);
			mmx_clock_advance(
				fixture.clock,
				MMX_LOG_TIMEOUT_US +
					(row->is_append ? 0 : POLL_WAIT_US));
		}
		CU_ASSERT_EQUAL(fixture.calls, 1);
		CU_ASSERT_EQUAL(fixture.result, row->result);
		CU_ASSERT_EQUAL(fixture.offset, row->offset);
		CU_ASSERT_EQUAL(mmx_log_client_backoff(fixture.client) > 0,
				fails);
		fixture.mode = ANSWER;
		fixture.status = 200;
		fixture.body = "{\"offset\":10}";
		mmx_clock_advance(fixture.clock, MMX_LOG_BACKOFF_MAX_US);
		call_(&fixture, true);
		CU_ASSERT_EQUAL(fixture.calls, 2);
		CU_ASSERT_EQUAL(fixture.result, MMX_LOG_OK);
		CU_ASSERT_EQUAL(fixture.offset, 10);
		close_(&fixture);
	}
}

/* Guards against a back-off that does not grow, has no maximum, or ends early.
 */
static void test_backoff_(void)
{
	fixture_t fixture;
	mmx_time_t backoff = 0;
	int i;

	open_(&fixture);
	fixture.mode = CLOSE;
	for (i = 0; i < 8; i++) {
		call_(&fixture, false);
		/* Only the first call starts without a back-off. */
		CU_ASSERT_EQUAL(fixture.calls, i ? i : 1);
		mmx_clock_advance(fixture.clock, backoff);
		run_loop_(&fixture, i + 1);
		CU_ASSERT_EQUAL(fixture.calls, i + 1);
		backoff = mmx_log_client_backoff(fixture.client);
		CU_ASSERT_TRUE(backoff >= MMX_LOG_BACKOFF_MIN_US / 2);
		CU_ASSERT_TRUE(backoff <= MMX_LOG_BACKOFF_MAX_US);
	}
	CU_ASSERT_TRUE(backoff >= MMX_LOG_BACKOFF_MAX_US / 2);
	close_(&fixture);
}

/* Guards against callbacks and invalid accesses when the client is destroyed
 * with calls in progress. */
static void test_destroy_(void)
{
	fixture_t fixture;

	open_(&fixture);
	fixture.mode = SILENT;
	call_(&fixture, true);
	mmx_log_client_read(fixture.client, "s", 1, 1, 0, on_read_, &fixture);
	close_(&fixture);
	CU_ASSERT_EQUAL(fixture.calls, 0);
}

CU_TestInfo mmx_tests_log_client[] = {
	{"results", test_results_},
	{"back-off", test_backoff_},
	{"destroy", test_destroy_},
	CU_TEST_INFO_NULL,
};
