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

/* Guards against a query that stops a target, a stop of another target, and
 * bytes of another node that are read beyond their end. */
static void test_requests_(void)
{
	uint8_t bytes[MMX_STOP_REQUEST_BYTES_MAX];
	mmx_stop_request_t request;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(requests_); i++) {
		const request_case_t *item = &requests_[i];
		uint8_t *copy = g_memdup2(item->bytes, item->length);
		bool valid =
			mmx_stop_decode_request(copy, item->length, &request);

		CU_ASSERT_EQUAL(valid, item->valid);
		if (valid != item->valid)
			printf("\n%s\n", item->name);
		g_free(copy);
		if (!valid || !item->valid)
			continue;
		CU_ASSERT_EQUAL(request.action, item->action);
		CU_ASSERT_STRING_EQUAL(request.target, item->target);
		CU_ASSERT_EQUAL(mmx_stop_encode_request(&request, bytes),
				item->length);
		CU_ASSERT_EQUAL(memcmp(bytes, item->bytes, item->length), 0);
	}
}

/* Guards against a stop that looks finished while requests are in progress. */
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
