#include "suites.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "target_setup.h"

typedef struct response_case_t {
	const char *name;
	const char *method;
	const char *response;
	response_action_t action;
	mmx_time_t remaining; /* microseconds; 0: ample */
	mmx_call_result_t result;
	bool truncated; /* the response body breaks off after the head */
	bool reused;	/* the next call uses the same connection */
	const char *body;
} response_case_t;

#define SHORT_TIMEOUT_US (30 * MMX_US_PER_MS)

static const response_case_t response_cases_[] = {
	{"length", "GET", STATUS_LINE_OK "Content-Length: 2\r\n\r\nhi",
	 ACTION_KEEP_OPEN, 0, MMX_CALL_HEAD, false, true, "hi"},
	{"chunks", "POST",
	 STATUS_LINE_OK
	 "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
	 ACTION_KEEP_OPEN, 0, MMX_CALL_HEAD, false, true, "hi"},
	{"until close", "GET", STATUS_LINE_OK "\r\nhi", ACTION_CLOSE, 0,
	 MMX_CALL_HEAD, false, false, "hi"},
	{"Connection: close", "GET",
	 STATUS_LINE_OK "Connection: close\r\nContent-Length: 2\r\n\r\nhi",
	 ACTION_KEEP_OPEN, 0, MMX_CALL_HEAD, false, false, "hi"},
	{"HEAD request", "HEAD", STATUS_LINE_OK "Content-Length: 2\r\n\r\n",
	 ACTION_KEEP_OPEN, 0, MMX_CALL_HEAD, false, true, ""},
	{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n",
	 ACTION_KEEP_OPEN, 0, MMX_CALL_HEAD, false, true, ""},
	{"interim response", "GET",
	 "HTTP/1.1 103 Hints\r\n\r\n" STATUS_LINE_OK
	 "Content-Length: 2\r\n\r\nhi",
	 ACTION_KEEP_OPEN, 0, MMX_CALL_HEAD, false, true, "hi"},
	{"bytes after the response", "GET",
	 STATUS_LINE_OK "Content-Length: 2\r\n\r\nhi" STATUS_LINE_OK,
	 ACTION_KEEP_OPEN, 0, MMX_CALL_HEAD, false, false, "hi"},
	{"truncated length", "GET",
	 STATUS_LINE_OK "Content-Length: 3\r\n\r\nhi", ACTION_CLOSE, 0,
	 MMX_CALL_HEAD, true, false, "hi"},
	{"truncated chunks", "GET",
	 STATUS_LINE_OK "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
	 ACTION_CLOSE, 0, MMX_CALL_HEAD, true, false, "hi"},
	{"malformed chunk", "GET",
	 STATUS_LINE_OK "Transfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n",
	 ACTION_KEEP_OPEN, 0, MMX_CALL_FAILED, false, false, ""},
	{"stalled body", "GET", STATUS_LINE_OK "Content-Length: 3\r\n\r\nhi",
	 ACTION_KEEP_OPEN, SHORT_TIMEOUT_US, MMX_CALL_HEAD, true, false, "hi"},
	{"deadline before the head", "GET", "", ACTION_KEEP_OPEN,
	 SHORT_TIMEOUT_US, MMX_CALL_FAILED, false, false, ""},
	{"closed before the head", "GET", "", ACTION_CLOSE, 0, MMX_CALL_FAILED,
	 false, false, ""},
	{"reset before the head", "GET", "", ACTION_RESET, 0, MMX_CALL_FAILED,
	 false, false, ""},
	{"closed within the head", "GET", STATUS_LINE_OK "A: b", ACTION_CLOSE,
	 0, MMX_CALL_FAILED, false, false, ""},
	{"not HTTP", "GET", "SSH-2.0-x\r\n\r\n", ACTION_KEEP_OPEN, 0,
	 MMX_CALL_FAILED, false, false, ""},
	{"length and chunks", "GET",
	 STATUS_LINE_OK
	 "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	 ACTION_KEEP_OPEN, 0, MMX_CALL_FAILED, false, false, ""},
};

static bool run_case_(setup_t *setup, const response_case_t *item)
{
	fake_exit_t *exit = &setup->exit;
	mmx_call_t *call = target_setup_new_call(setup, item->method);

	setup->target.response = item->response;
	setup->target.action = item->action;
	if (item->remaining)
		call->remaining = item->remaining;
	target_setup_post_call(setup, call);
	return target_setup_wait(setup) && exit->truncated == item->truncated &&
	       exit->heads == (item->result == MMX_CALL_HEAD) &&
	       exit->failed == (item->result == MMX_CALL_FAILED) &&
	       exit->not_sent == 0 && strcmp(exit->body->str, item->body) == 0;
}

/* Guards against a truncated or malformed response that is posted as complete,
 * and against reuse of the connection that it came on. */
static void test_responses_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(response_cases_); i++) {
		const response_case_t *item = &response_cases_[i];
		setup_t setup;
		bool passed;

		target_setup_open(&setup);
		passed = run_case_(&setup, item);
		setup.target.response =
			STATUS_LINE_OK "Content-Length: 4\r\n\r\nnext";
		setup.target.action = ACTION_KEEP_OPEN;
		target_setup_post_call(&setup,
				       target_setup_new_call(&setup, "GET"));
		passed = passed && target_setup_wait(&setup) &&
			 strcmp(setup.exit.body->str, "next") == 0 &&
			 setup.target.accepted == (item->reused ? 1 : 2);
		CU_ASSERT_TRUE(passed);
		if (!passed)
			printf("\n%s: heads %d failed %d not sent %d "
			       "truncated %d "
			       "accepted %d body %s\n",
			       item->name, setup.exit.heads, setup.exit.failed,
			       setup.exit.not_sent, setup.exit.truncated,
			       setup.target.accepted, setup.exit.body->str);
		target_setup_close(&setup);
	}
}

/* Guards against unlimited memory for the head of a response: more than 100
 * headers, then a header of 64 KiB. */
static void test_oversize_head_(void)
{
	setup_t setup;
	GString *response = g_string_new(STATUS_LINE_OK);
	int i;

	for (i = 0; i < 101; i++)
		g_string_append(response, "A: b\r\n");
	g_string_append(response, "\r\n");
	for (i = 0; i < 2; i++) {
		target_setup_open(&setup);
		setup.target.response = response->str;
		target_setup_post_call(&setup,
				       target_setup_new_call(&setup, "GET"));
		CU_ASSERT_TRUE(target_setup_wait(&setup));
		CU_ASSERT_EQUAL(setup.exit.failed, 1);
		target_setup_close(&setup);
		g_string_assign(response, STATUS_LINE_OK "A: ");
		while (response->len < 64 * 1024)
			g_string_append(response, "aaaaaaaa");
	}
	g_string_free(response, TRUE);
}

/* Guards against hop-by-hop headers that are forwarded, and against a request
 * without framing headers, whose end the target cannot find. */
static void test_request_head_(void)
{
	setup_t setup;
	mmx_call_t *call;

	target_setup_open(&setup);
	call = target_setup_new_call(&setup, "POST");
	mmx_head_add(call->head, "Connection", "X-Hop");
	mmx_head_add(call->head, "X-Hop", "1");
	mmx_head_add(call->head, "Transfer-Encoding", "chunked");
	mmx_head_add(call->head, "X-End", "2");
	setup.target.request_bytes = SIZE_MAX;
	target_setup_post_call(&setup, call);
	while (!strstr(setup.target.received->str, "\r\n\r\n"))
		fixture_turn(&setup.fixture);
	CU_ASSERT_STRING_EQUAL(setup.target.received->str,
			       "POST /x?y HTTP/1.1\r\nHost: shop\r\n"
			       "X-End: 2\r\nContent-Length: 0\r\n\r\n");
	target_setup_close(&setup);
	target_setup_open(&setup);
	setup.target.response =
		STATUS_LINE_OK "Connection: close, X-Hop\r\nX-Hop: 1\r\n"
			       "Keep-Alive: timeout=5\r\nX-End: 2\r\n"
			       "Content-Length: 0\r\n\r\n";
	target_setup_post_call(&setup, target_setup_new_call(&setup, "GET"));
	CU_ASSERT_TRUE(target_setup_wait(&setup));
	CU_ASSERT_STRING_EQUAL(setup.exit.head->str,
			       "X-End: 2\nContent-Length: 0\n");
	target_setup_close(&setup);
}

/* Guards against a call that is reported as failed, thus perhaps run, although
 * nothing was sent: connection refused, deadline passed, connection limit. */
static void test_not_sent_(void)
{
	setup_t setup;
	mmx_call_t *call;

	target_setup_create(&setup);
	CU_ASSERT_TRUE(mmx_target_client_set_connections_max(setup.client, 1));
	mmx_target_client_init(setup.client);
	CU_ASSERT_FALSE(mmx_target_client_set_connections_max(setup.client, 2));
	call = target_setup_new_call(&setup, "GET");
	call->address.port = 1;
	target_setup_post_call(&setup, call);
	CU_ASSERT_TRUE(target_setup_wait(&setup));
	CU_ASSERT_EQUAL(setup.exit.not_sent, 1);
	call = target_setup_new_call(&setup, "GET");
	call->remaining = 0;
	target_setup_post_call(&setup, call);
	CU_ASSERT_TRUE(target_setup_wait(&setup));
	CU_ASSERT_EQUAL(setup.exit.not_sent, 2);
	target_setup_post_call(&setup, target_setup_new_call(&setup, "GET"));
	target_setup_post_call(&setup, target_setup_new_call(&setup, "GET"));
	CU_ASSERT_TRUE(target_setup_wait(&setup));
	CU_ASSERT_EQUAL(setup.exit.not_sent, 3);
	CU_ASSERT_EQUAL(mmx_target_client_call_count(setup.client), 1);
	target_setup_close(&setup);
}

/* Guards against a call that waits until its deadline for a target that accepts
 * no connection. The sockets fill the accept queue of the server, so that the
 * next handshake is not answered. */
static void test_connect_timeout_(void)
{
	enum { SOCKETS = 4 };
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);
	int server = socket(AF_INET, SOCK_STREAM, 0);
	int sockets[SOCKETS];
	setup_t setup;
	mmx_call_t *call;
	int i;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL(bind(server, (struct sockaddr *)&address, length), 0);
	CU_ASSERT_EQUAL(listen(server, 0), 0);
	getsockname(server, (struct sockaddr *)&address, &length);
	for (i = 0; i < SOCKETS; i++) {
		sockets[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(sockets[i], (struct sockaddr *)&address, length);
	}
	target_setup_create(&setup);
	CU_ASSERT_TRUE(mmx_target_client_set_connect_timeout(
		setup.client, 20 * MMX_US_PER_MS));
	mmx_target_client_init(setup.client);
	call = target_setup_new_call(&setup, "GET");
	call->address.port = ntohs(address.sin_port);
	target_setup_post_call(&setup, call);
	CU_ASSERT_TRUE(target_setup_wait(&setup));
	CU_ASSERT_EQUAL(setup.exit.not_sent, 1);
	target_setup_close(&setup);
	for (i = 0; i < SOCKETS; i++)
		close(sockets[i]);
	close(server);
}

static bool target_has_closed_(void *arg)
{
	return ((fake_target_t *)arg)->closed > 0;
}

static bool target_has_request_(void *arg)
{
	return ((fake_target_t *)arg)->received_bytes > 0;
}

/* Guards against a call that continues at the target after a CALL_CANCEL. */
static void test_cancel_(void)
{
	setup_t setup;
	mmx_attempt_id_t attempt;

	target_setup_open(&setup);
	setup.target.response = NULL;
	target_setup_post_call(&setup, target_setup_new_call(&setup, "GET"));
	CU_ASSERT_TRUE(fixture_wait(&setup.fixture, target_has_request_,
				    &setup.target));
	attempt = target_setup_attempt(&setup);
	mmx_task_post(mmx_target_client_task(setup.client),
		      &mmx_new_call_cancel(&attempt)->message);
	CU_ASSERT_TRUE(fixture_wait(&setup.fixture, target_has_closed_,
				    &setup.target));
	CU_ASSERT_FALSE(setup.exit.ended);
	CU_ASSERT_EQUAL(mmx_target_client_connection_count(setup.client), 0);
	target_setup_close(&setup);
}

/* Guards against a call that fails because it is sent on an idle connection
 * that the target has just closed. The event loop has not seen it yet. */
static void test_stale_connection_(void)
{
	setup_t setup;

	target_setup_open(&setup);
	setup.target.response = STATUS_LINE_OK "Content-Length: 0\r\n\r\n";
	target_setup_post_call(&setup, target_setup_new_call(&setup, "GET"));
	CU_ASSERT_TRUE(target_setup_wait(&setup));
	target_setup_close_connection(&setup.target, setup.target.latest);
	target_setup_post_call(&setup, target_setup_new_call(&setup, "GET"));
	CU_ASSERT_TRUE(target_setup_wait(&setup));
	CU_ASSERT_EQUAL(setup.exit.heads, 2);
	CU_ASSERT_EQUAL(setup.target.accepted, 2);
	target_setup_close(&setup);
}

#define BODY_BYTES (4 * 1024 * 1024)
#define PART_BYTES (64 * 1024)

static void post_part_(setup_t *setup, bool end, bool failed)
{
	static const char zeros[PART_BYTES];
	mmx_body_t *body = mmx_new_body(MMX_TO_TARGET);

	body->attempt = target_setup_attempt(setup);
	if (!failed)
		evbuffer_add(body->data, zeros, sizeof(zeros));
	body->end = end;
	body->failed = failed;
	mmx_task_post(mmx_target_client_task(setup->client), &body->message);
}

/* Sends BODY_BYTES as the credit allows; false if that takes more than 30 s. */
static bool upload_(setup_t *setup)
{
	size_t sent = 0;
	gint64 time_limit = g_get_monotonic_time() + 30 * G_USEC_PER_SEC;

	setup->exit.credit = MMX_WINDOW_BYTES;
	while (sent < BODY_BYTES && g_get_monotonic_time() < time_limit) {
		if (setup->exit.credit >= PART_BYTES) {
			setup->exit.credit -= PART_BYTES;
			sent += PART_BYTES;
			post_part_(setup, sent == BODY_BYTES, false);
		}
		fixture_turn(&setup->fixture);
	}
	return sent == BODY_BYTES;
}

/* Guards against a request body that is truncated, buffered without limit, or
 * stalls because credit is not granted. */
static void test_upload_(void)
{
	char length[16];
	int chunked;

	snprintf(length, sizeof(length), "%d", BODY_BYTES);
	for (chunked = 0; chunked < 2; chunked++) {
		setup_t setup;
		mmx_call_t *call;

		target_setup_open(&setup);
		call = target_setup_new_call(&setup, "POST");
		call->body_end = false;
		if (!chunked)
			mmx_head_add(call->head, "Content-Length", length);
		setup.target.request_bytes = BODY_BYTES;
		setup.target.response =
			STATUS_LINE_OK "Content-Length: 2\r\n\r\nok";
		target_setup_post_call(&setup, call);
		CU_ASSERT_TRUE(upload_(&setup));
		CU_ASSERT_TRUE(target_setup_wait(&setup));
		CU_ASSERT_STRING_EQUAL(setup.exit.body->str, "ok");
		target_setup_close(&setup);
	}
}

/* Guards against a truncated request body that the target takes for complete:
 * the connection must close without a last chunk. */
static void test_truncated_upload_(void)
{
	setup_t setup;
	mmx_call_t *call;

	target_setup_open(&setup);
	call = target_setup_new_call(&setup, "POST");
	call->body_end = false;
	setup.target.response = NULL;
	target_setup_post_call(&setup, call);
	CU_ASSERT_TRUE(fixture_wait(&setup.fixture, target_has_request_,
				    &setup.target));
	post_part_(&setup, true, true);
	CU_ASSERT_TRUE(target_setup_wait(&setup));
	CU_ASSERT_EQUAL(setup.exit.failed, 1);
	CU_ASSERT_TRUE(fixture_wait(&setup.fixture, target_has_closed_,
				    &setup.target));
	CU_ASSERT_PTR_NULL(strstr(setup.target.received->str, "\r\n0\r\n"));
	target_setup_close(&setup);
}

static bool window_is_full_(void *arg)
{
	return ((fake_exit_t *)arg)->body_bytes == MMX_WINDOW_BYTES;
}

/* Guards against a response that is posted beyond the credit of the exit. Its
 * only chunk is larger than the window. */
static void test_download_(void)
{
	setup_t setup;
	GString *response = g_string_new(
		STATUS_LINE_OK "Transfer-Encoding: chunked\r\n\r\n400000\r\n");
	mmx_window_t *window;
	size_t head = response->len;

	g_string_set_size(response, head + BODY_BYTES);
	memset(response->str + head, 'x', BODY_BYTES);
	g_string_append(response, "\r\n0\r\n\r\n");
	target_setup_open(&setup);
	setup.exit.grants_credit = false;
	setup.target.response = response->str;
	target_setup_post_call(&setup, target_setup_new_call(&setup, "GET"));
	CU_ASSERT_TRUE(
		fixture_wait(&setup.fixture, window_is_full_, &setup.exit));
	fixture_turn(&setup.fixture);
	CU_ASSERT_EQUAL(setup.exit.body_bytes, MMX_WINDOW_BYTES);
	setup.exit.grants_credit = true;
	window = mmx_new_window(MMX_TO_CALLER, MMX_WINDOW_BYTES);
	window->attempt = target_setup_attempt(&setup);
	mmx_task_post(mmx_target_client_task(setup.client), &window->message);
	CU_ASSERT_TRUE(target_setup_wait(&setup));
	CU_ASSERT_EQUAL(setup.exit.body_bytes, BODY_BYTES);
	CU_ASSERT_FALSE(setup.exit.truncated);
	target_setup_close(&setup);
	g_string_free(response, TRUE);
}

CU_TestInfo mmx_tests_target_client[] = {
	{"responses", test_responses_},
	{"oversize heads", test_oversize_head_},
	{"hop-by-hop headers", test_request_head_},
	{"calls that are not sent", test_not_sent_},
	{"connect timeout", test_connect_timeout_},
	{"cancel", test_cancel_},
	{"stale connection", test_stale_connection_},
	{"upload within credit", test_upload_},
	{"truncated upload", test_truncated_upload_},
	{"download within credit", test_download_},
	CU_TEST_INFO_NULL,
};
