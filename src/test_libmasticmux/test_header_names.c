#include "suites.h"

#include <glib.h>

#include "private/header_names.h"

static const mmx_header_names_t names_ = {
	.timeout = "T-Left",
	.request_id = "T-Id",
	.target = "T-Target",
	.signature = "T-Sign",
	.not_run = "T-Not-Run",
	.load = "T-Load",
	.limit = "T-Limit",
};

typedef struct classify_case_t {
	const char *name;
	int status;
	const char *headers[7]; /* name, value, ..., NULL */
	mmx_reply_kind_t kind;
	bool reuse;
} classify_case_t;

static const classify_case_t classify_cases_[] = {
	{"valid", 200, {"T-Id", "7", "T-Sign", "s"}, MMX_REPLY_VALID, true},
	{"no signature", 200, {"T-Id", "7"}, MMX_REPLY_MISMATCHED, false},
	{"other request",
	 200,
	 {"T-Id", "8", "T-Sign", "s"},
	 MMX_REPLY_MISMATCHED,
	 false},
	{"no request id", 200, {"T-Sign", "s"}, MMX_REPLY_MISMATCHED, false},
	{"encoded",
	 200,
	 {"T-Id", "7", "Content-Encoding", "gzip"},
	 MMX_REPLY_MISMATCHED,
	 false},
	{"failure of the target", 500, {"T-Id", "7"}, MMX_REPLY_VALID, true},
	{"not run", 503, {"T-Not-Run", "1"}, MMX_REPLY_NOT_RUN, false},
	{"not run, with its id",
	 503,
	 {"T-Not-Run", "1", "T-Id", "7"},
	 MMX_REPLY_NOT_RUN,
	 false},
	{"other request not run",
	 503,
	 {"T-Not-Run", "1", "T-Id", "8"},
	 MMX_REPLY_MISMATCHED,
	 false},
	{"not run, with its id twice",
	 503,
	 {"T-Not-Run", "1", "T-Id", "7", "t-id", "7"},
	 MMX_REPLY_NOT_RUN,
	 false},
	{"not run, with its id and another one",
	 503,
	 {"T-Not-Run", "1", "T-Id", "7", "T-Id", "8"},
	 MMX_REPLY_MISMATCHED,
	 false},
	{"503 without the not-run header",
	 503,
	 {"T-Id", "7"},
	 MMX_REPLY_UNPROVEN,
	 true},
	{"signed 503 without the not-run header",
	 503,
	 {"T-Id", "7", "T-Sign", "s"},
	 MMX_REPLY_UNPROVEN,
	 true},
	{"429 without the not-run header",
	 429,
	 {"T-Id", "7"},
	 MMX_REPLY_UNPROVEN,
	 true},
	{"408 without the not-run header",
	 408,
	 {"T-Id", "7"},
	 MMX_REPLY_UNPROVEN,
	 true},
	{"502 promises nothing", 502, {"T-Id", "7"}, MMX_REPLY_VALID, true},
	{"504 promises nothing", 504, {"T-Id", "7"}, MMX_REPLY_VALID, true},
	{"another target", 421, {NULL}, MMX_REPLY_WRONG_TARGET, false},
	{"another target, with its id",
	 421,
	 {"T-Id", "7"},
	 MMX_REPLY_WRONG_TARGET,
	 false},
	{"other request at another target",
	 421,
	 {"T-Id", "8"},
	 MMX_REPLY_MISMATCHED,
	 false},
};

/* Guards against a success that is passed on although it does not belong to the
 * request, against a failure that is taken for not-run or passed on as such
 * although the target did not report that of this request, and against the
 * reuse of a connection on which a copy of the response could be taken for the
 * next one. */
static void test_classify_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(classify_cases_); i++) {
		mmx_head_t *head =
			mmx_head_create_response(classify_cases_[i].status);
		const char *const *header = classify_cases_[i].headers;

		for (; header[0]; header += 2)
			mmx_head_add(head, header[0], header[1]);
		CU_ASSERT_EQUAL(mmx_reply_classify(&names_, head, "7"),
				classify_cases_[i].kind);
		CU_ASSERT_EQUAL(mmx_reply_allows_reuse(
					mmx_reply_classify(&names_, head, "7"),
					mmx_reply_identify(&names_, head, "7")),
				classify_cases_[i].reuse);
		mmx_head_destroy(head);
	}
}

/* Guards against an answer that is withheld where its status promises nothing,
 * and against a 421 that is passed on where targets are not named in requests.
 */
static void test_unproven_(void)
{
	static const mmx_header_names_t without_target = {.not_run =
								  "T-Not-Run"};
	static const struct {
		const mmx_header_names_t *names;
		int status;
		mmx_reply_kind_t kind;
	} cases[] = {
		{&mmx_header_names_default, 408, MMX_REPLY_VALID},
		{&mmx_header_names_default, 421, MMX_REPLY_VALID},
		{&mmx_header_names_default, 429, MMX_REPLY_VALID},
		{&mmx_header_names_default, 503, MMX_REPLY_VALID},
		{&without_target, 421, MMX_REPLY_UNPROVEN},
		{&without_target, 503, MMX_REPLY_UNPROVEN},
		{&without_target, 500, MMX_REPLY_VALID},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_head_t *head = mmx_head_create_response(cases[i].status);

		CU_ASSERT_EQUAL(mmx_reply_classify(cases[i].names, head, NULL),
				cases[i].kind);
		mmx_head_destroy(head);
	}
}

/* Guards against a log that does not tell a rejection of this request from one
 * of another request. */
static void test_identify_(void)
{
	static const mmx_header_names_t without_ids = {.not_run = "T-Not-Run"};
	static const struct {
		const mmx_header_names_t *names;
		const char *request_id;
		const char *response_id;
		mmx_reply_id_t id;
	} cases[] = {
		{&names_, "7", "7", MMX_REPLY_ID_OWN},
		{&names_, "7", "8", MMX_REPLY_ID_OTHER},
		{&names_, "7", "", MMX_REPLY_ID_OTHER},
		{&names_, "7", NULL, MMX_REPLY_ID_NONE},
		{&names_, NULL, NULL, MMX_REPLY_ID_NONE},
		{&names_, NULL, "7", MMX_REPLY_ID_OTHER},
		{&without_ids, NULL, NULL, MMX_REPLY_ID_OWN},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_head_t *head = mmx_head_create_response(503);

		if (cases[i].response_id)
			mmx_head_add(head, "T-Id", cases[i].response_id);
		CU_ASSERT_EQUAL(mmx_reply_identify(cases[i].names, head,
						   cases[i].request_id),
				cases[i].id);
		mmx_head_destroy(head);
	}
}

/* Guards against a load that is read from a malformed header. */
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
		CU_ASSERT_EQUAL(mmx_reply_parse_load(&names_, head, &running,
						     &waiting, &slots),
				cases[i].valid);
		mmx_head_destroy(head);
	}
	CU_ASSERT_EQUAL(slots, 8);
}

/* Guards against a limit that is read from a malformed header, and against one
 * that is lost because of its form. */
static void test_limit_(void)
{
	static const struct {
		const char *text; /* NULL: no header */
		double rate;	  /* -1: invalid */
	} cases[] = {
		{"3", 3},      {"3.5", 3.5}, {"0", 0},	  {"0.25", 0.25},
		{"1e3", 1000}, {NULL, -1},   {"", -1},	  {"-1", -1},
		{"many", -1},  {"inf", -1},  {"nan", -1}, {"1e999", -1},
		{"3 a s", -1}, {"3,5", -1},
	};
	double rate = -1;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_head_t *head = mmx_head_create_response(200);

		if (cases[i].text)
			mmx_head_add(head, "T-Limit", cases[i].text);
		if (!mmx_reply_parse_limit(&names_, head, &rate))
			rate = -1;
		CU_ASSERT_EQUAL(rate, cases[i].rate);
		mmx_head_destroy(head);
	}
}

CU_TestInfo mmx_tests_header_names[] = {
	{"classification of responses", test_classify_},
	{"statuses without proof", test_unproven_},
	{"request that a response names", test_identify_},
	{"load headers", test_load_},
	{"limit headers", test_limit_},
	CU_TEST_INFO_NULL,
};
