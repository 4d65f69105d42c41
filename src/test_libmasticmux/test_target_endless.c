#include "suites.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <string.h>

#include "target_setup.h"

/* Length of a response, bytes; the buffers of a connection in the kernel hold
 * less than half of it. */
#define RESPONSE_BYTES (32 * 1024 * 1024)
#define TURNS 4000
/* Message bodies that the exit may be sent without granting credit, bytes. */
#define BODY_MAX MMX_WINDOW_BYTES
#define HEAD STATUS_LINE_OK "Id: 7\r\n"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"

typedef struct endless_case_t {
	const char *name;
	const char *start;
	const char *repeated;
	bool fails; /* else it is read as far as the exit grants credit */
} endless_case_t;

static const endless_case_t cases_[] = {
	{"no line", "", "aaaaaaaa", true},
	{"status line", "HTTP/1.1 200 ", "aaaaaaaa", true},
	{"blank lines", "", "\r\n", true},
	{"header", HEAD "A: ", "aaaaaaaa", true},
	{"headers", HEAD, "A: b\r\n", true},
	{"interim responses", "", "HTTP/1.1 100 x\r\nA: bbbbbbbb\r\n\r\n",
	 true},
	{"chunk size", CHUNKED, "00000000", true},
	{"chunk extension", CHUNKED "1;", "aaaaaaaa", true},
	{"blank lines between chunks", CHUNKED, "\r\n", true},
	{"trailer", CHUNKED "0\r\nA: ", "aaaaaaaa", true},
	{"trailers", CHUNKED "0\r\n", "A: b\r\n", true},
	{"body until the end", HEAD "\r\n", "aaaaaaaa", false},
	{"long body", HEAD "Content-Length: 99999999\r\n\r\n", "aaaaaaaa",
	 false},
	{"chunks", CHUNKED, "1\r\na\r\n", false},
	{"behind an answer", HEAD "Content-Length: 1\r\n\r\na", "aaaaaaaa",
	 false},
};

static GString *new_response_(const endless_case_t *row)
{
	GString *response = g_string_sized_new(RESPONSE_BYTES + 1024);

	g_string_append(response, row->start);
	while (response->len < RESPONSE_BYTES)
		g_string_append(response, row->repeated);
	return response;
}

/* Returns how much of the response the target has not written yet. */
static size_t unsent_(const setup_t *setup)
{
	if (setup->target.connections->len == 0)
		return RESPONSE_BYTES;
	return evbuffer_get_length(
		bufferevent_get_output(setup->target.latest));
}

/* Guards against a target that sends bytes without end, of which the node keeps
 * more than a caller has asked for, until it runs out of memory. */
static void test_endless_responses_(void)
{
	size_t i;
	int turn;

	for (i = 0; i < G_N_ELEMENTS(cases_); i++) {
		const endless_case_t *row = &cases_[i];
		GString *response = new_response_(row);
		setup_t setup;

		target_setup_open(&setup);
		setup.exit.grants_credit = false;
		setup.target.response = response->str;
		target_setup_post_call(&setup,
				       target_setup_new_call(&setup, "GET"));
		for (turn = 0; turn < TURNS; turn++)
			fixture_turn(&setup.fixture);
		if ((setup.exit.failed || setup.exit.truncated) != row->fails)
			fprintf(stderr, "%s\n", row->name);
		CU_ASSERT_EQUAL(setup.exit.failed || setup.exit.truncated,
				row->fails);
		CU_ASSERT_TRUE(setup.exit.body_bytes <= BODY_MAX);
		CU_ASSERT_TRUE(unsent_(&setup) > RESPONSE_BYTES / 2);
		target_setup_close(&setup);
		g_string_free(response, TRUE);
	}
}

CU_TestInfo mmx_tests_target_endless[] = {
	{"endless responses", test_endless_responses_},
	CU_TEST_INFO_NULL,
};
