#include "suites.h"

#include <glib.h>

#include "private/header_names.h"

static const mmx_header_names_t dialect_ = {
	.timeout = "T-Left",
	.request_id = "T-Id",
	.target = "T-Target",
	.signature = "T-Sign",
	.not_run = "T-Not-Run",
	.load = "T-Load",
};

/* Guards against a success that is not the target's answer to the request,
 * and against "not run" that the target did not say. */
static void test_judge_(void)
{
	static const struct {
		const char *name;
		int status;
		const char *headers[5]; /* name, value, ..., NULL */
		mmx_reply_kind_t kind;
	} cases[] = {
		{"whole", 200, {"T-Id", "7", "T-Sign", "s"}, MMX_REPLY_VALID},
		{"no signature", 200, {"T-Id", "7"}, MMX_REPLY_MISMATCHED},
		{"other request",
		 200,
		 {"T-Id", "8", "T-Sign", "s"},
		 MMX_REPLY_MISMATCHED},
		{"no identity", 200, {"T-Sign", "s"}, MMX_REPLY_MISMATCHED},
		{"encoded",
		 200,
		 {"T-Id", "7", "Content-Encoding", "gzip"},
		 MMX_REPLY_MISMATCHED},
		{"failure of its own", 500, {"T-Id", "7"}, MMX_REPLY_VALID},
		{"full", 503, {"T-Not-Run", "1"}, MMX_REPLY_NOT_RUN},
		{"503 that says nothing", 503, {"T-Id", "7"}, MMX_REPLY_VALID},
		{"another target", 421, {NULL}, MMX_REPLY_WRONG_TARGET},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_head_t *head = mmx_head_create_response(cases[i].status);
		const char *const *header = cases[i].headers;

		for (; header[0]; header += 2)
			mmx_head_add(head, header[0], header[1]);
		CU_ASSERT_EQUAL(mmx_reply_classify(&dialect_, head, "7"),
				cases[i].kind);
		mmx_head_destroy(head);
	}
}

/* Guards against loads read from a malformed header. */
static void test_load_(void)
{
	static const struct {
		const char *text; /* NULL: no header */
		bool valid;
	} cases[] = {
		{"3,0,8", true}, {NULL, false},	  {"", false},
		{"3,0", false},	 {"many", false},
	};
	unsigned int running;
	unsigned int waiting;
	unsigned int slots;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_head_t *head = mmx_head_create_response(200);

		if (cases[i].text)
			mmx_head_add(head, "T-Load", cases[i].text);
		CU_ASSERT_EQUAL(mmx_reply_parse_load(&dialect_, head, &running,
						     &waiting, &slots),
				cases[i].valid);
		mmx_head_destroy(head);
	}
	CU_ASSERT_EQUAL(slots, 8);
}

CU_TestInfo mmx_tests_header_names[] = {
	{"responses are judged", test_judge_},
	{"load headers", test_load_},
	CU_TEST_INFO_NULL,
};
