#include "suites.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <string.h>
#include <sys/socket.h>

#include "target_setup.h"

#define IDLE_MAX_US (1 * MMX_US_PER_S)
#define WITHOUT_TIMEOUT STATUS_LINE_OK "Content-Length: 0\r\n\r\n"
#define KEEP_ALIVE(value) \
	STATUS_LINE_OK "Keep-Alive: " value "\r\nContent-Length: 0\r\n\r\n"

typedef struct reuse_case_t {
	const char *name;
	const char *response;
	/* limit for calls that may not be repeated, microseconds; 0: default */
	mmx_time_t idle_max;
	int idle_ms;
	bool repeatable;
	bool reused;
} reuse_case_t;

static const reuse_case_t cases_[] = {
	{"any connection by default", WITHOUT_TIMEOUT, 0, 5000, false, true},
	{"idle for less than the limit", WITHOUT_TIMEOUT, IDLE_MAX_US, 900,
	 false, true},
	{"idle for longer than the limit", WITHOUT_TIMEOUT, IDLE_MAX_US, 1100,
	 false, false},
	{"longer than the limit, repeatable call", WITHOUT_TIMEOUT, IDLE_MAX_US,
	 5000, true, true},
	{"before the margin of the Keep-Alive timeout", KEEP_ALIVE("timeout=5"),
	 0, 3900, true, true},
	{"within the margin of the Keep-Alive timeout",
	 KEEP_ALIVE("max=9, timeout=5"), 0, 4100, true, false},
	{"within half of a short timeout", KEEP_ALIVE("timeout=1"), 0, 400,
	 true, true},
	{"after half of a short timeout", KEEP_ALIVE("timeout=1"), 0, 600, true,
	 false},
	{"timeout that is not a number", KEEP_ALIVE("timeout=x"), 0, 5000, true,
	 true},
	{"timeout out of range", KEEP_ALIVE("timeout=0"), 0, 5000, true, true},
};

static bool run_case_(const reuse_case_t *item)
{
	setup_t setup;
	mmx_call_t *call;
	bool passed;

	target_setup_create_paused(&setup);
	if (item->idle_max)
		mmx_target_client_set_nonrepeatable_idle_max(setup.client,
							     item->idle_max);
	mmx_target_client_init(setup.client);
	setup.target.response = item->response;
	target_setup_post_call(&setup, target_setup_new_call(&setup, "GET"));
	passed = target_setup_wait(&setup);
	mmx_clock_advance(mmx_runtime_clock(setup.fixture.runtime),
			  item->idle_ms * MMX_US_PER_MS);
	call = target_setup_new_call(&setup, "POST");
	call->repeatable = item->repeatable;
	target_setup_post_call(&setup, call);
	passed = target_setup_wait(&setup) && passed && setup.exit.heads == 2 &&
		 setup.target.accepted == (item->reused ? 1 : 2);
	if (!passed)
		printf("\n%s: heads %d accepted %d\n", item->name,
		       setup.exit.heads, setup.target.accepted);
	target_setup_close(&setup);
	return passed;
}

/* Guards against a call that may not be repeated on an idle connection that the
 * target has dropped without notice or is about to close. Such a call fails,
 * and it is unknown whether it has run. */
static void test_idle_connections_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases_); i++)
		CU_ASSERT_TRUE(run_case_(&cases_[i]));
}

static const mmx_header_names_t names_ = {
	.request_id = "Id",
	.not_run = "Not-Run",
	.target = "Target",
};

#define EMPTY_RESPONSE(status, headers) \
	"HTTP/1.1 " status " X\r\n" headers "Content-Length: 0\r\n\r\n"

/* Guards against a copy of a rejection that comes late, on a connection in use
 * again, and is taken for the rejection of a request that runs. */
static void test_rejections_(void)
{
	static const struct {
		const char *name;
		const char *response;
		bool reused;
	} cases[] = {
		{"answer with the id", EMPTY_RESPONSE("200", "Id: 7\r\n"),
		 true},
		{"rejection with the id",
		 EMPTY_RESPONSE("503", "Not-Run: 1\r\nId: 7\r\n"), false},
		{"rejection without an id",
		 EMPTY_RESPONSE("503", "Not-Run: 1\r\n"), false},
		{"429 without an id", EMPTY_RESPONSE("429", "Not-Run: 1\r\n"),
		 false},
		{"421 without an id", EMPTY_RESPONSE("421", ""), false},
		{"answer with another id", EMPTY_RESPONSE("200", "Id: 8\r\n"),
		 false},
		{"answer without an id", EMPTY_RESPONSE("200", ""), false},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		setup_t setup;
		mmx_call_t *call;
		int calls;

		target_setup_create(&setup);
		mmx_target_client_set_header_names(setup.client, &names_);
		mmx_target_client_init(setup.client);
		setup.target.response = cases[i].response;
		for (calls = 0; calls < 2; calls++) {
			call = target_setup_new_call(&setup, "POST");
			mmx_head_add(call->head, "Id", "7");
			target_setup_post_call(&setup, call);
			CU_ASSERT_TRUE(target_setup_wait(&setup));
		}
		if (setup.target.accepted != (cases[i].reused ? 1 : 2))
			printf("\n%s: accepted %d\n", cases[i].name,
			       setup.target.accepted);
		CU_ASSERT_EQUAL(setup.target.accepted, cases[i].reused ? 1 : 2);
		target_setup_close(&setup);
	}
}

#define ANSWER(id, headers, body) \
	STATUS_LINE_OK "Id: " id "\r\n" headers "\r\n" body
#define OWN_ANSWER ANSWER("8", "Content-Length: 3\r\n", "own")

typedef struct copy_case_t {
	const char *name;
	const char *previous; /* method of the call before */
	const char *method;
	const char *response;
	const char *id;	  /* of the call with this response */
	const char *head; /* start of the head that the exit gets; NULL: none */
	bool reused;	  /* for the next call */
} copy_case_t;

#define COPY ANSWER("7", "Content-Length: 3\r\n", "old")
#define REJECTION EMPTY_RESPONSE("503", "Not-Run: 1\r\n")

static const copy_case_t copy_cases_[] = {
	{"no copy", "POST", "POST", OWN_ANSWER, "8", "Id: 8", true},
	{"copy with a length", "POST", "POST", COPY OWN_ANSWER, "8", "Id: 8",
	 false},
	{"copy in chunks", "POST", "POST",
	 ANSWER("7", "Transfer-Encoding: chunked\r\n", "3\r\nold\r\n0\r\n\r\n")
		 OWN_ANSWER,
	 "8", "Id: 8", false},
	{"copy after an interim response", "POST", "POST",
	 "HTTP/1.1 100 Continue\r\n\r\n" COPY OWN_ANSWER, "8", "Id: 8", false},
	{"two copies", "POST", "POST", COPY COPY OWN_ANSWER, "8", NULL, false},
	{"copy, then a rejection without an id", "POST", "POST", COPY REJECTION,
	 "8", NULL, false},
	{"copy, then 421 without an id", "POST", "POST",
	 COPY EMPTY_RESPONSE("421", ""), "8", NULL, false},
	{"copy without a length", "POST", "POST", ANSWER("7", "", "old"), "8",
	 NULL, false},
	{"copy of an answer to HEAD", "HEAD", "POST", COPY OWN_ANSWER, "8",
	 "Id: 7", false},
	{"copy before the answer to HEAD", "POST", "HEAD",
	 ANSWER("7", "Content-Length: 3\r\n", ""), "8", "Id: 7", false},
	{"copy with a second id", "POST", "POST",
	 ANSWER("7", "Id: 8\r\nContent-Length: 0\r\n", ""), "8", "Id: 7",
	 false},
	{"answer to a request that was not sent here", "POST", "POST",
	 ANSWER("9", "Content-Length: 0\r\n", ""), "8", "Id: 9", false},
	{"same request again", "POST", "POST",
	 ANSWER("7", "Content-Length: 0\r\n", ""), "7", "Id: 7", true},
};

/* Makes a call and returns true if the exit gets a head that begins so, or if
 * head is NULL and the call fails. */
static bool call_(setup_t *setup, const char *method, const char *id,
		  const char *response, const char *head)
{
	mmx_call_t *call = target_setup_new_call(setup, method);

	mmx_head_add(call->head, "Id", id);
	setup->target.response = response;
	setup->exit.failed = 0;
	target_setup_post_call(setup, call);
	if (!target_setup_wait(setup))
		return false;
	return head ? g_str_has_prefix(setup->exit.head->str, head)
		    : setup->exit.failed == 1;
}

/* Guards against a late copy of the answer to the previous call that costs the
 * present call its own answer, or is taken for it. */
static void test_late_copies_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(copy_cases_); i++) {
		const copy_case_t *item = &copy_cases_[i];
		setup_t setup;
		bool passed;

		target_setup_create(&setup);
		mmx_target_client_set_header_names(setup.client, &names_);
		mmx_target_client_init(setup.client);
		passed =
			call_(&setup, item->previous, "7",
			      strcmp(item->previous, "HEAD") == 0
				      ? ANSWER("7", "Content-Length: 3\r\n", "")
				      : COPY,
			      "Id: 7") &&
			call_(&setup, item->method, item->id, item->response,
			      item->head) &&
			call_(&setup, "POST", "10",
			      ANSWER("10", "Content-Length: 0\r\n", ""),
			      "Id: 10") &&
			setup.target.accepted == (item->reused ? 1 : 2);
		if (!passed)
			printf("\n%s: accepted %d, head %s\n", item->name,
			       setup.target.accepted, setup.exit.head->str);
		CU_ASSERT_TRUE(passed);
		target_setup_close(&setup);
	}
}

/*
 * Guards against a request that is lost because a rejection without an id, on a
 * connection in use again, leaves open whether it has run. Requests that may be
 * repeated go on using kept connections.
 */
static void test_target_rejects_without_id_(void)
{
	static const struct {
		const char *name;
		const char *rejection;
		bool repeatable; /* the call after it */
		bool reused;
	} cases[] = {
		{"without an id", REJECTION, false, false},
		{"421 without an id", EMPTY_RESPONSE("421", ""), false, false},
		{"with the id",
		 EMPTY_RESPONSE("503", "Not-Run: 1\r\nId: 8\r\n"), false, true},
		{"without an id, then a repeatable call", REJECTION, true,
		 true},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		setup_t setup;
		mmx_call_t *call;
		bool passed;

		target_setup_create(&setup);
		mmx_target_client_set_header_names(setup.client, &names_);
		mmx_target_client_init(setup.client);
		passed = call_(&setup, "POST", "8", cases[i].rejection, "") &&
			 call_(&setup, "POST", "7", COPY, "Id: 7");
		setup.target.response = OWN_ANSWER;
		call = target_setup_new_call(&setup, "POST");
		call->repeatable = cases[i].repeatable;
		mmx_head_add(call->head, "Id", "8");
		target_setup_post_call(&setup, call);
		passed = target_setup_wait(&setup) && passed &&
			 setup.target.accepted == (cases[i].reused ? 2 : 3);
		if (!passed)
			printf("\n%s: accepted %d\n", cases[i].name,
			       setup.target.accepted);
		CU_ASSERT_TRUE(passed);
		target_setup_close(&setup);
	}
}

static void post_next_call_(evutil_socket_t fd, short what, void *arg)
{
	setup_t *setup = arg;

	target_setup_post_call(setup, target_setup_new_call(setup, "POST"));
}

/* Guards against a copy of a rejection that arrives on an idle connection and
 * is taken for the response to the next call: the loop has moved it from the
 * socket into the input buffer, and the call comes before the read callback. */
static void test_bytes_while_idle_(void)
{
	static const char copy[] = EMPTY_RESPONSE("503", "Not-Run: 1\r\n");
	setup_t setup;
	struct event *next_call;

	target_setup_open(&setup);
	setup.target.response = WITHOUT_TIMEOUT;
	target_setup_post_call(&setup, target_setup_new_call(&setup, "GET"));
	CU_ASSERT_TRUE(target_setup_wait(&setup));
	CU_ASSERT_EQUAL(send(bufferevent_getfd(setup.target.latest), copy,
			     strlen(copy), 0),
			(ssize_t)strlen(copy));
	/* Runs before the socket is read; the call that it posts is handled
	 * after that and before the deferred callback of the read. */
	next_call =
		event_new(setup.fixture.base, -1, 0, post_next_call_, &setup);
	event_active(next_call, EV_TIMEOUT, 0);
	fixture_turn(&setup.fixture);
	CU_ASSERT_TRUE(target_setup_wait(&setup));
	CU_ASSERT_EQUAL(setup.exit.status, 200);
	CU_ASSERT_EQUAL(setup.target.accepted, 2);
	event_free(next_call);
	target_setup_close(&setup);
}

/* Guards against a copy without end that keeps a call until its deadline. */
static void test_long_copy_(void)
{
	GString *copy = g_string_new(
		STATUS_LINE_OK "Id: 7\r\nContent-Length: 9999999\r\n\r\n");
	setup_t setup;

	while (copy->len < 2 * (size_t)MMX_HELD_BODY_MAX)
		g_string_append(copy, "old ");
	target_setup_create(&setup);
	mmx_target_client_set_header_names(setup.client, &names_);
	mmx_target_client_init(setup.client);
	CU_ASSERT_TRUE(call_(&setup, "POST", "7", COPY, "Id: 7"));
	CU_ASSERT_TRUE(call_(&setup, "POST", "8", copy->str, NULL));
	target_setup_close(&setup);
	g_string_free(copy, TRUE);
}

CU_TestInfo mmx_tests_target_reuse[] = {
	{"idle connections", test_idle_connections_},
	{"connections after a rejection", test_rejections_},
	{"targets that reject without an id", test_target_rejects_without_id_},
	{"late copies of an answer", test_late_copies_},
	{"a long copy of an answer", test_long_copy_},
	{"bytes on an idle connection", test_bytes_while_idle_},
	CU_TEST_INFO_NULL,
};
