/*
 * Tests of the target client with responses that end early, closed or reset at
 * each byte.
 */
#include "suites.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <string.h>

#include "target_setup.h"

typedef struct cut_case_t {
	const char *name;
	const char *method;
	const char *head;
	const char *rest;
	bool until_close; /* the end of the connection ends the body */
} cut_case_t;

#define HEADERS "Sign: s\r\nId: 7\r\n"

static const cut_case_t cases_[] = {
	{"length", "GET",
	 STATUS_LINE_OK HEADERS "Content-Length: 12\r\nA: b\r\n\r\n",
	 "0123456789ab", false},
	{"length, the last header", "POST",
	 STATUS_LINE_OK HEADERS "Content-Length: 12\r\n\r\n", "0123456789ab",
	 false},
	{"HTTP/1.0, kept", "GET",
	 "HTTP/1.0 200 OK\r\n" HEADERS
	 "Connection: keep-alive\r\nContent-Length: 3\r\n\r\n",
	 "abc", false},
	{"chunks", "GET",
	 STATUS_LINE_OK HEADERS "Transfer-Encoding: chunked\r\n\r\n",
	 "3;x=y\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\nT: v\r\n\r\n", false},
	{"interim heads", "GET",
	 "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n" STATUS_LINE_OK
		 HEADERS "Content-Length: 3\r\n\r\n",
	 "abc", false},
	{"HEAD", "HEAD", STATUS_LINE_OK HEADERS "Content-Length: 12\r\n\r\n",
	 "", false},
	{"no content", "GET", "HTTP/1.1 204 No Content\r\n" HEADERS "\r\n", "",
	 false},
	{"empty", "GET", STATUS_LINE_OK HEADERS "Content-Length: 0\r\n\r\n", "",
	 false},
	{"until close", "GET", STATUS_LINE_OK HEADERS "\r\n", "0123456789ab",
	 true},
	{"until close, HTTP/1.0", "POST", "HTTP/1.0 200 OK\r\n" HEADERS "\r\n",
	 "0123456789ab", true},
	{"until close, kept by its head", "GET",
	 STATUS_LINE_OK HEADERS "Connection: keep-alive\r\n\r\n",
	 "0123456789ab", true},
};

/* True if the call ended as its cut response demands. */
static bool ended_right_(const fake_exit_t *exit, bool whole)
{
	if (whole)
		return exit->heads == 1 && !exit->truncated;
	return exit->heads + exit->failed == 1 && exit->not_sent == 0 &&
	       (exit->failed == 1 || exit->truncated);
}

static bool run_cut_(setup_t *setup, const cut_case_t *item, size_t length,
		     response_action_t action)
{
	fake_exit_t *exit = &setup->exit;
	GString *response = g_string_new(item->head);
	size_t head = response->len;
	bool whole;
	bool passed;

	g_string_append(response, item->rest);
	whole = length == response->len;
	if (item->until_close)
		whole = action == ACTION_CLOSE && length >= head;
	g_string_truncate(response, length);
	setup->target.response = response->str;
	setup->target.action = action;
	exit->heads = exit->failed = exit->not_sent = 0;
	target_setup_post_call(setup,
			       target_setup_new_call(setup, item->method));
	passed = target_setup_wait(setup) && ended_right_(exit, whole);
	if (!passed)
		printf("\n%s, cut at %zu of %zu + %zu by %s: heads %d failed "
		       "%d not sent %d truncated %d\n",
		       item->name, length, head, strlen(item->rest),
		       action == ACTION_CLOSE ? "close" : "reset", exit->heads,
		       exit->failed, exit->not_sent, exit->truncated);
	g_string_free(response, TRUE);
	return passed;
}

/* Guards against a part of a response that is posted as a whole one, or as a
 * request that was not sent. */
static void test_cuts_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases_); i++) {
		const cut_case_t *item = &cases_[i];
		size_t size = strlen(item->head) + strlen(item->rest);
		setup_t setup;
		size_t at;

		target_setup_open(&setup);
		for (at = 0; at <= size; at++) {
			CU_ASSERT_TRUE(
				run_cut_(&setup, item, at, ACTION_CLOSE));
			CU_ASSERT_TRUE(
				run_cut_(&setup, item, at, ACTION_RESET_AFTER));
		}
		target_setup_close(&setup);
	}
}

#define PART_BYTES (64 * 1024)
#define PARTS 256 /* more than the buffers of the sockets hold */

static bool head_has_arrived_(void *arg)
{
	return ((fake_exit_t *)arg)->heads == 1;
}

static void post_part_(setup_t *setup)
{
	static const char zeros[PART_BYTES];
	mmx_body_t *body = mmx_new_body(MMX_TO_TARGET);

	body->attempt = target_setup_attempt(setup);
	evbuffer_add(body->data, zeros, sizeof(zeros));
	mmx_task_post(mmx_target_client_task(setup->client), &body->message);
}

/*
 * Guards against a response without a length that is taken for complete because
 * its connection was reset while the request body was still being written: the
 * write reports the reset, and a read then reports the end of the input.
 */
static void test_reset_during_upload_(void)
{
	setup_t setup;
	mmx_call_t *call;
	int i;

	target_setup_open(&setup);
	call = target_setup_new_call(&setup, "POST");
	call->body_end = false;
	setup.target.response = STATUS_LINE_OK HEADERS "\r\n0123";
	target_setup_post_call(&setup, call);
	CU_ASSERT_TRUE(
		fixture_wait(&setup.fixture, head_has_arrived_, &setup.exit));
	bufferevent_disable(setup.target.latest, EV_READ);
	for (i = 0; i < PARTS; i++)
		post_part_(&setup);
	fixture_turn(&setup.fixture);
	CU_ASSERT_FALSE(setup.exit.ended);
	target_setup_reset_connection(&setup.target, setup.target.latest);
	CU_ASSERT_TRUE(target_setup_wait(&setup));
	CU_ASSERT_TRUE(setup.exit.truncated);
	CU_ASSERT_STRING_EQUAL(setup.exit.body->str, "0123");
	target_setup_close(&setup);
}

CU_TestInfo mmx_tests_target_cut[] = {
	{"responses cut at each byte", test_cuts_},
	{"reset during an upload", test_reset_during_upload_},
	CU_TEST_INFO_NULL,
};
