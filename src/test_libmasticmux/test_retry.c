#include "suites.h"

#include "masticmux/retry.h"

/* Guards against a retry storm: more retries than the reserve and the share of
 * successes allow, or more than the bucket holds after a long time without
 * failures. */
static void test_budget_(void)
{
	static const struct {
		const char *name;
		uint8_t percent;
		int successes;
		mmx_time_t wait;
		int retries;
	} cases[] = {
		{"none allowed", 0, 1000, 0, 0},
		{"reserve", 10, 0, 0, MMX_RETRY_RESERVE},
		{"a tenth", 10, 100, 0, MMX_RETRY_RESERVE + 10},
		{"not quite one more", 10, 9, 0, MMX_RETRY_RESERVE},
		{"size of the bucket", 100, 100000, 0, MMX_RETRY_MAX},
		{"time adds nothing to a full reserve", 10, 0,
		 1000 * MMX_US_PER_S, MMX_RETRY_RESERVE},
	};
	size_t i;
	int n;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		mmx_retry_t retry;
		int taken = 0;

		mmx_retry_init(&retry, cases[i].percent, 0);
		for (n = 0; n < cases[i].successes; n++)
			mmx_retry_success(&retry);
		while (taken <= MMX_RETRY_MAX &&
		       mmx_retry_take(&retry, cases[i].wait))
			taken++;
		CU_ASSERT_EQUAL(taken, cases[i].retries);
	}
}

/* Guards against a service with few requests that cannot retry any more after
 * its reserve is used. */
static void test_refill_(void)
{
	mmx_retry_t retry;
	int n;

	mmx_retry_init(&retry, 10, 0);
	for (n = 0; n < MMX_RETRY_RESERVE; n++)
		CU_ASSERT_TRUE(mmx_retry_take(&retry, 0));
	CU_ASSERT_FALSE(mmx_retry_take(&retry, MMX_RETRY_REFILL_US - 1));
	CU_ASSERT_TRUE(mmx_retry_take(&retry, MMX_RETRY_REFILL_US));
	CU_ASSERT_FALSE(mmx_retry_take(&retry, MMX_RETRY_REFILL_US));
	CU_ASSERT_TRUE(mmx_retry_take(&retry, 1000 * MMX_RETRY_REFILL_US));
	CU_ASSERT_EQUAL(mmx_retry_tokens(&retry), MMX_RETRY_RESERVE - 1);
	mmx_retry_set_percent(&retry, 0);
	CU_ASSERT_FALSE(mmx_retry_take(&retry, 1000 * MMX_RETRY_REFILL_US));
}

CU_TestInfo mmx_tests_retry[] = {
	{"retries are bounded by successes", test_budget_},
	{"time refills the reserve", test_refill_},
	CU_TEST_INFO_NULL,
};
