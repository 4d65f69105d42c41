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
	then_t then;
	mmx_time_t remaining; /* microseconds; 0: ample */
	mmx_call_result_t result;
	bool broken; /* the body breaks off after the head */
	bool reused; /* the connection takes the next call */
	const char *body;
} response_case_t;

#define SHORT (30 * MMX_US_PER_MS)

static const response_case_t responses_[] = {
	{"length", "GET", LINE "Content-Length: 2\r\n\r\nhi", THEN_KEEP, 0,
	 MMX_CALL_HEAD, false, true, "hi"},
	{"chunks", "POST",
	 LINE "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
	 THEN_KEEP, 0, MMX_CALL_HEAD, false, true, "hi"},
	{"until close", "GET", LINE "\r\nhi", THEN_CLOSE, 0, MMX_CALL_HEAD,
	 false, false, "hi"},
	{"close asked for", "GET",
	 LINE "Connection: close\r\nContent-Length: 2\r\n\r\nhi", THEN_KEEP, 0,
	 MMX_CALL_HEAD, false, false, "hi"},
	{"head", "HEAD", LINE "Content-Length: 2\r\n\r\n", THEN_KEEP, 0,
	 MMX_CALL_HEAD, false, true, ""},
	{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", THEN_KEEP, 0,
	 MMX_CALL_HEAD, false, true, ""},
	{"interim response", "GET",
	 "HTTP/1.1 103 Hints\r\n\r\n" LINE "Content-Length: 2\r\n\r\nhi",
	 THEN_KEEP, 0, MMX_CALL_HEAD, false, true, "hi"},
	{"bytes after the response", "GET",
	 LINE "Content-Length: 2\r\n\r\nhi" LINE, THEN_KEEP, 0, MMX_CALL_HEAD,
	 false, false, "hi"},
	{"truncated length", "GET", LINE "Content-Length: 3\r\n\r\nhi",
	 THEN_CLOSE, 0, MMX_CALL_HEAD, true, false, "hi"},
	{"truncated chunks", "GET",
	 LINE "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", THEN_CLOSE, 0,
	 MMX_CALL_HEAD, true, false, "hi"},
	{"bad chunk", "GET",
	 LINE "Transfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n", THEN_KEEP, 0,
	 MMX_CALL_FAILED, false, false, ""},
	{"stalled body", "GET", LINE "Content-Length: 3\r\n\r\nhi", THEN_KEEP,
	 SHORT, MMX_CALL_HEAD, true, false, "hi"},
	{"late", "GET", "", THEN_KEEP, SHORT, MMX_CALL_FAILED, false, false,
	 ""},
	{"closed early", "GET", "", THEN_CLOSE, 0, MMX_CALL_FAILED, false,
	 false, ""},
	{"reset", "GET", "", THEN_RESET, 0, MMX_CALL_FAILED, false, false, ""},
	{"closed within the head", "GET", LINE "A: b", THEN_CLOSE, 0,
	 MMX_CALL_FAILED, false, false, ""},
	{"not HTTP", "GET", "SSH-2.0-x\r\n\r\n", THEN_KEEP, 0, MMX_CALL_FAILED,
	 false, false, ""},
	{"length and chunks", "GET",
	 LINE "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	 THEN_KEEP, 0, MMX_CALL_FAILED, false, false, ""},
};

static bool run_response_(setup_t *setup, const response_case_t *item)
{
	fake_exit_t *exit = &setup->exit;
	mmx_call_t *call = target_setup_call(setup, item->method);

	setup->target.response = item->response;
	setup->target.then = item->then;
	if (item->remaining)
		call->remaining = item->remaining;
	target_setup_post(setup, call);
	return target_setup_finish(setup) && exit->broken == item->broken &&
	       exit->heads == (item->result == MMX_CALL_HEAD) &&
	       exit->failed == (item->result == MMX_CALL_FAILED) &&
	       exit->not_sent == 0 && strcmp(exit->body->str, item->body) == 0;
}

/* Guards against a broken response that passes as whole, and against a
 * connection that is used again after one. */
static void test_responses_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(responses_); i++) {
		const response_case_t *item = &responses_[i];
		setup_t setup;
		bool good;

		target_setup_open(&setup);
		good = run_response_(&setup, item);
		setup.target.response = LINE "Content-Length: 4\r\n\r\nnext";
		setup.target.then = THEN_KEEP;
		target_setup_post(&setup, target_setup_call(&setup, "GET"));
		good = good && target_setup_finish(&setup) &&
		       strcmp(setup.exit.body->str, "next") == 0 &&
		       setup.target.accepted == (item->reused ? 1 : 2);
		CU_ASSERT_TRUE(good);
		if (!good)
			printf("\n%s: heads %d failed %d not sent %d broken %d "
			       "accepted %d body %s\n",
			       item->name, setup.exit.heads, setup.exit.failed,
			       setup.exit.not_sent, setup.exit.broken,
			       setup.target.accepted, setup.exit.body->str);
		target_setup_close(&setup);
	}
}

/* Guards against a target that fills the node's memory with headers. */
static void test_oversize_head_(void)
{
	setup_t setup;
	GString *response = g_string_new(LINE);
	int i;

	for (i = 0; i < 101; i++)
		g_string_append(response, "A: b\r\n");
	g_string_append(response, "\r\n");
	for (i = 0; i < 2; i++) {
		target_setup_open(&setup);
		setup.target.response = response->str;
		target_setup_post(&setup, target_setup_call(&setup, "GET"));
		CU_ASSERT_TRUE(target_setup_finish(&setup));
		CU_ASSERT_EQUAL(setup.exit.failed, 1);
		target_setup_close(&setup);
		g_string_assign(response, LINE "A: ");
		while (response->len < 64 * 1024)
			g_string_append(response, "aaaaaaaa");
	}
	g_string_free(response, TRUE);
}

/* Guards against hop-by-hop headers that leak through, and against requests
 * whose framing the target cannot see. */
static void test_request_head_(void)
{
	setup_t setup;
	mmx_call_t *call;

	target_setup_open(&setup);
	call = target_setup_call(&setup, "POST");
	mmx_head_add(call->head, "Connection", "X-Hop");
	mmx_head_add(call->head, "X-Hop", "1");
	mmx_head_add(call->head, "Transfer-Encoding", "chunked");
	mmx_head_add(call->head, "X-End", "2");
	setup.target.wanted = SIZE_MAX;
	target_setup_post(&setup, call);
	while (!strstr(setup.target.received->str, "\r\n\r\n"))
		fixture_turn(&setup.fixture);
	CU_ASSERT_STRING_EQUAL(setup.target.received->str,
			       "POST /x?y HTTP/1.1\r\nHost: shop\r\n"
			       "X-End: 2\r\nContent-Length: 0\r\n\r\n");
	target_setup_close(&setup);
	target_setup_open(&setup);
	setup.target.response = LINE "Connection: close, X-Hop\r\nX-Hop: 1\r\n"
				     "Keep-Alive: timeout=5\r\nX-End: 2\r\n"
				     "Content-Length: 0\r\n\r\n";
	target_setup_post(&setup, target_setup_call(&setup, "GET"));
	CU_ASSERT_TRUE(target_setup_finish(&setup));
	CU_ASSERT_STRING_EQUAL(setup.exit.head->str,
			       "X-End: 2\nContent-Length: 0\n");
	target_setup_close(&setup);
}

/* Guards against refusals that are reported as perhaps run. */
static void test_not_sent_(void)
{
	setup_t setup;
	mmx_call_t *call;

	target_setup_create(&setup);
	CU_ASSERT_TRUE(mmx_target_client_set_connections_max(setup.client, 1));
	mmx_target_client_init(setup.client);
	CU_ASSERT_FALSE(mmx_target_client_set_connections_max(setup.client, 2));
	call = target_setup_call(&setup, "GET");
	call->address.port = 1;
	target_setup_post(&setup, call);
	CU_ASSERT_TRUE(target_setup_finish(&setup));
	CU_ASSERT_EQUAL(setup.exit.not_sent, 1);
	call = target_setup_call(&setup, "GET");
	call->remaining = 0;
	target_setup_post(&setup, call);
	CU_ASSERT_TRUE(target_setup_finish(&setup));
	CU_ASSERT_EQUAL(setup.exit.not_sent, 2);
	target_setup_post(&setup, target_setup_call(&setup, "GET"));
	target_setup_post(&setup, target_setup_call(&setup, "GET"));
	CU_ASSERT_TRUE(target_setup_finish(&setup));
	CU_ASSERT_EQUAL(setup.exit.not_sent, 3);
	CU_ASSERT_EQUAL(mmx_target_client_call_count(setup.client), 1);
	target_setup_close(&setup);
}

/* Guards against calls that wait for a target which accepts no connection:
 * the sockets fill its queue, so that the next handshake stays unanswered. */
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
	call = target_setup_call(&setup, "GET");
	call->address.port = ntohs(address.sin_port);
	target_setup_post(&setup, call);
	CU_ASSERT_TRUE(target_setup_finish(&setup));
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

/* Guards against calls that run on after nobody wants them. */
static void test_cancel_(void)
{
	setup_t setup;
	mmx_attempt_id_t attempt;

	target_setup_open(&setup);
	setup.target.response = NULL;
	target_setup_post(&setup, target_setup_call(&setup, "GET"));
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

/* Guards against a call that fails because the target closed an idle
 * connection just before; the close is not yet seen by the loop here. */
static void test_stale_connection_(void)
{
	setup_t setup;

	target_setup_open(&setup);
	setup.target.response = LINE "Content-Length: 0\r\n\r\n";
	target_setup_post(&setup, target_setup_call(&setup, "GET"));
	CU_ASSERT_TRUE(target_setup_finish(&setup));
	target_setup_drop(&setup.target, setup.target.newest);
	target_setup_post(&setup, target_setup_call(&setup, "GET"));
	CU_ASSERT_TRUE(target_setup_finish(&setup));
	CU_ASSERT_EQUAL(setup.exit.heads, 2);
	CU_ASSERT_EQUAL(setup.target.accepted, 2);
	target_setup_close(&setup);
}

#define UPLOAD (4 * 1024 * 1024)
#define PART (64 * 1024)

static void post_part_(setup_t *setup, bool end, bool failed)
{
	static const char zeros[PART];
	mmx_body_t *body = mmx_new_body(MMX_TO_TARGET);

	body->attempt = target_setup_attempt(setup);
	if (!failed)
		evbuffer_add(body->data, zeros, sizeof(zeros));
	body->end = end;
	body->failed = failed;
	mmx_task_post(mmx_target_client_task(setup->client), &body->message);
}

/* Sends UPLOAD bytes as the credit allows; false if it runs dry. */
static bool upload_(setup_t *setup)
{
	size_t sent = 0;
	gint64 guard = g_get_monotonic_time() + 30 * G_USEC_PER_SEC;

	setup->exit.credit = MMX_WINDOW_BYTES;
	while (sent < UPLOAD && g_get_monotonic_time() < guard) {
		if (setup->exit.credit >= PART) {
			setup->exit.credit -= PART;
			sent += PART;
			post_part_(setup, sent == UPLOAD, false);
		}
		fixture_turn(&setup->fixture);
	}
	return sent == UPLOAD;
}

/* Guards against request bodies that are cut, held whole or stuck. */
static void test_upload_(void)
{
	char length[16];
	int chunked;

	snprintf(length, sizeof(length), "%d", UPLOAD);
	for (chunked = 0; chunked < 2; chunked++) {
		setup_t setup;
		mmx_call_t *call;

		target_setup_open(&setup);
		call = target_setup_call(&setup, "POST");
		call->body_end = false;
		if (!chunked)
			mmx_head_add(call->head, "Content-Length", length);
		setup.target.wanted = UPLOAD;
		setup.target.response = LINE "Content-Length: 2\r\n\r\nok";
		target_setup_post(&setup, call);
		CU_ASSERT_TRUE(upload_(&setup));
		CU_ASSERT_TRUE(target_setup_finish(&setup));
		CU_ASSERT_STRING_EQUAL(setup.exit.body->str, "ok");
		target_setup_close(&setup);
	}
}

/* Guards against a request body that breaks off and looks complete. */
static void test_broken_upload_(void)
{
	setup_t setup;
	mmx_call_t *call;

	target_setup_open(&setup);
	call = target_setup_call(&setup, "POST");
	call->body_end = false;
	setup.target.response = NULL;
	target_setup_post(&setup, call);
	CU_ASSERT_TRUE(fixture_wait(&setup.fixture, target_has_request_,
				    &setup.target));
	post_part_(&setup, true, true);
	CU_ASSERT_TRUE(target_setup_finish(&setup));
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

/* Guards against a response that outruns the exit's credit; one chunk is
 * larger than the window. */
static void test_download_(void)
{
	setup_t setup;
	GString *response = g_string_new(
		LINE "Transfer-Encoding: chunked\r\n\r\n400000\r\n");
	mmx_window_t *window;
	size_t head = response->len;

	g_string_set_size(response, head + UPLOAD);
	memset(response->str + head, 'x', UPLOAD);
	g_string_append(response, "\r\n0\r\n\r\n");
	target_setup_open(&setup);
	setup.exit.grants = false;
	setup.target.response = response->str;
	target_setup_post(&setup, target_setup_call(&setup, "GET"));
	CU_ASSERT_TRUE(
		fixture_wait(&setup.fixture, window_is_full_, &setup.exit));
	fixture_turn(&setup.fixture);
	CU_ASSERT_EQUAL(setup.exit.body_bytes, MMX_WINDOW_BYTES);
	setup.exit.grants = true;
	window = mmx_new_window(MMX_TO_CALLER, MMX_WINDOW_BYTES);
	window->attempt = target_setup_attempt(&setup);
	mmx_task_post(mmx_target_client_task(setup.client), &window->message);
	CU_ASSERT_TRUE(target_setup_finish(&setup));
	CU_ASSERT_EQUAL(setup.exit.body_bytes, UPLOAD);
	CU_ASSERT_FALSE(setup.exit.broken);
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
	{"upload under credit", test_upload_},
	{"upload that breaks off", test_broken_upload_},
	{"download under credit", test_download_},
	CU_TEST_INFO_NULL,
};
