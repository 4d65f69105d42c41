#include "suites.h"

#include <glib.h>
#include <string.h>

#include "private/stop.h"

#define NAME_63 \
	"123456789012345678901234567890123456789012345678901234567890123"

typedef struct request_case_t {
	const char *name;
	const char *bytes;
	size_t length;
	bool valid;
	mmx_stop_action_t action;
	const char *target;
} request_case_t;

static const request_case_t requests_[] = {
	{"query", "\0t1", 3, true, MMX_STOP_QUERY, "t1"},
	{"begin", "\1t1", 3, true, MMX_STOP_BEGIN, "t1"},
	{"longest name", "\1" NAME_63, 64, true, MMX_STOP_BEGIN, NAME_63},
	{"too long", "\1" NAME_63 "4", 65, false, MMX_STOP_QUERY, NULL},
	{"no name", "\1", 1, false, MMX_STOP_QUERY, NULL},
	{"empty", "", 0, false, MMX_STOP_QUERY, NULL},
	{"unknown action", "\2t1", 3, false, MMX_STOP_QUERY, NULL},
	{"NUL in the name", "\1t\0001", 4, false, MMX_STOP_QUERY, NULL},
};

/* Guards against a query that is decoded as a stop, a stop of the wrong target,
 * and reads beyond the end of a request from another node. */
static void test_requests_(void)
{
	uint8_t bytes[MMX_STOP_REQUEST_BYTES_MAX];
	mmx_stop_request_t request;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(requests_); i++) {
		const request_case_t *test_case = &requests_[i];
		uint8_t *copy = g_memdup2(test_case->bytes, test_case->length);
		bool valid = mmx_stop_decode_request(copy, test_case->length,
						     &request);

		CU_ASSERT_EQUAL(valid, test_case->valid);
		if (valid != test_case->valid)
			printf("\n%s\n", test_case->name);
		g_free(copy);
		if (!valid || !test_case->valid)
			continue;
		CU_ASSERT_EQUAL(request.action, test_case->action);
		CU_ASSERT_STRING_EQUAL(request.target, test_case->target);
		CU_ASSERT_EQUAL(mmx_stop_encode_request(&request, bytes),
				test_case->length);
		CU_ASSERT_EQUAL(
			memcmp(bytes, test_case->bytes, test_case->length), 0);
	}
}

/* Guards against a wrong state or count in a reply, by which a stop would seem
 * complete while requests are in progress. */
static void test_replies_(void)
{
	const mmx_stop_progress_t sent = {MMX_TARGET_DRAINING,
					  0x0102030405060708};
	uint8_t bytes[MMX_STOP_REPLY_BYTES + 1] = {0};
	mmx_stop_progress_t received;

	mmx_stop_encode_reply(&sent, bytes);
	CU_ASSERT_TRUE(
		mmx_stop_decode_reply(bytes, MMX_STOP_REPLY_BYTES, &received));
	CU_ASSERT_EQUAL(received.state, sent.state);
	CU_ASSERT_EQUAL(received.in_progress, sent.in_progress);
	CU_ASSERT_FALSE(mmx_stop_decode_reply(bytes, MMX_STOP_REPLY_BYTES - 1,
					      &received));
	CU_ASSERT_FALSE(mmx_stop_decode_reply(bytes, MMX_STOP_REPLY_BYTES + 1,
					      &received));
	CU_ASSERT_FALSE(mmx_stop_decode_reply(bytes, 0, &received));
	bytes[0] = MMX_TARGET_STATE_COUNT;
	CU_ASSERT_FALSE(
		mmx_stop_decode_reply(bytes, MMX_STOP_REPLY_BYTES, &received));
}

CU_TestInfo mmx_tests_stop[] = {
	{"requests", test_requests_},
	{"replies", test_replies_},
	CU_TEST_INFO_NULL,
};
