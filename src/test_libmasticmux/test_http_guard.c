#include "suites.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "private/http_guard.h"

/* What an endless request sends at most, bytes; the buffers of a connection in
 * the kernel hold less than half of it. */
#define REQUEST_BYTES (32 * 1024 * 1024)
#define TURNS 4000
#define CHUNKED \
	"POST / HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n"

typedef struct guard_case_t {
	const char *name;
	const char *start;
	const char *repeated;
} guard_case_t;

static const guard_case_t cases_[] = {
	{"request line", "GET /", "aaaaaaaa"},
	{"header", "GET / HTTP/1.1\r\nA: ", "aaaaaaaa"},
	{"headers", "GET / HTTP/1.1\r\n", "A: b\r\n"},
	{"chunk size", CHUNKED, "00000000"},
	{"chunk extension", CHUNKED "1;", "aaaaaaaa"},
	{"chunks", CHUNKED, "1\r\na\r\n"},
	{"trailers", CHUNKED "0\r\n", "A: b\r\n"},
};

static void on_request_(struct evhttp_request *request, void *arg)
{
	(void)arg;
	evhttp_send_reply(request, HTTP_OK, "x", NULL);
}

static void on_event_(struct bufferevent *bev, short events, void *arg)
{
	(void)bev;
	if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		*(bool *)arg = true;
}

/* Guards against a peer that sends a request without end, of which a server of
 * the node keeps all until it runs out of memory. */
static void test_endless_requests_(void)
{
	size_t i;
	int turn;

	for (i = 0; i < G_N_ELEMENTS(cases_); i++) {
		const guard_case_t *row = &cases_[i];
		struct event_base *base = event_base_new();
		struct evhttp *server = evhttp_new(base);
		struct bufferevent *client =
			bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
		struct evbuffer *output = bufferevent_get_output(client);
		struct sockaddr_in name;
		socklen_t length = sizeof(name);
		bool closed = false;

		mmx_http_guard_server(server);
		evhttp_set_max_headers_size(server, 16384);
		evhttp_set_max_body_size(server, 16384);
		evhttp_set_gencb(server, on_request_, NULL);
		getsockname(evhttp_bound_socket_get_fd(
				    evhttp_bind_socket_with_handle(
					    server, "127.0.0.1", 0)),
			    (struct sockaddr *)&name, &length);
		bufferevent_setcb(client, NULL, NULL, on_event_, &closed);
		bufferevent_enable(client, EV_READ | EV_WRITE);
		evbuffer_add(output, row->start, strlen(row->start));
		while (evbuffer_get_length(output) < REQUEST_BYTES)
			evbuffer_add(output, row->repeated,
				     strlen(row->repeated));
		bufferevent_socket_connect(client, (struct sockaddr *)&name,
					   sizeof(name));
		for (turn = 0; turn < TURNS && !closed; turn++)
			event_base_loop(base, EVLOOP_NONBLOCK);
		if (!closed || evbuffer_get_length(output) <= REQUEST_BYTES / 2)
			fprintf(stderr, "%s\n", row->name);
		CU_ASSERT_TRUE(closed);
		CU_ASSERT_TRUE(evbuffer_get_length(output) > REQUEST_BYTES / 2);
		bufferevent_free(client);
		evhttp_free(server);
		event_base_free(base);
	}
}

CU_TestInfo mmx_tests_http_guard[] = {
	{"endless requests", test_endless_requests_},
	CU_TEST_INFO_NULL,
};
