#include "suites.h"

#include <glib.h>

#include "private/rate_limit.h"

#define MS MMX_US_PER_MS

/* Starts a request in every millisecond that the limit allows and returns their
 * number. */
static int start_all_(mmx_rate_limit_t *limit, mmx_time_t from, mmx_time_t to)
{
	mmx_time_t now;
	int count = 0;

	for (now = from; now < to; now += MS) {
		while (mmx_rate_limit_wait(limit, 0, now) == 0) {
			mmx_rate_limit_take(limit, now);
			count++;
		}
	}
	return count;
}

/*
 * Guards against more requests than a limit allows, at its start, after a pause
 * and in a steady flow, and against a limit of which nobody learns the end.
 */
static void test_rates_(void)
{
	static const struct {
		double rate;
		mmx_time_t pause; /* before the requests */
		int least;	  /* in the four seconds after it */
		int most;
	} cases[] = {
		{1, 0, 3, 4},	    {3.5, 0, 13, 14},
		{1, 3600000, 4, 5}, {3.5, 3600000, 16, 18},
		{100, 0, 398, 400}, {100, 3600000, 498, 500},
		{0.5, 0, 1, 2},	    {0, 0, 0, 1},
		{0, 3600000, 1, 2},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_rate_limit_t limit = {0};
		mmx_time_t from = MMX_US_PER_S + cases[i].pause * MS;
		int count;

		mmx_rate_limit_set(&limit, cases[i].rate, MMX_US_PER_S);
		count = start_all_(&limit, from, from + 4 * MMX_US_PER_S);
		if (count < cases[i].least || count > cases[i].most)
			printf("\n%g a second: %d\n", cases[i].rate, count);
		CU_ASSERT_TRUE(count >= cases[i].least &&
			       count <= cases[i].most);
	}
}

/* Guards against tokens that are earned at once when a target names its limit
 * again with each answer, or another one. */
static void test_named_again_(void)
{
	mmx_rate_limit_t limit = {0};
	mmx_time_t now;
	int count = 0;

	for (now = 0; now < 4 * MMX_US_PER_S; now += 10 * MS) {
		mmx_rate_limit_set(&limit, now % (20 * MS) ? 2 : 2.5, now);
		count += start_all_(&limit, now, now + 10 * MS);
	}
	CU_ASSERT_TRUE(count >= 7 && count <= 10);
}

/* Guards against requests that are delayed without a limit, and against a queue
 * that is taken for shorter than it is. */
static void test_wait_(void)
{
	mmx_rate_limit_t limit = {0};

	CU_ASSERT_EQUAL(mmx_rate_limit_wait(&limit, 9, 0), 0);
	mmx_rate_limit_set(&limit, 2, 0);
	CU_ASSERT_EQUAL(mmx_rate_limit_wait(&limit, 0, 0) / MS, 500);
	CU_ASSERT_EQUAL(mmx_rate_limit_wait(&limit, 2, 0) / MS, 1500);
	CU_ASSERT_EQUAL(mmx_rate_limit_wait(&limit, 0, 500 * MS), 0);
	mmx_rate_limit_clear(&limit);
	CU_ASSERT_EQUAL(mmx_rate_limit_wait(&limit, 9, 0), 0);
}

CU_TestInfo mmx_tests_rate_limit[] = {
	{"requests in four seconds", test_rates_},
	{"a limit that is named again", test_named_again_},
	{"wait until a request may start", test_wait_},
	CU_TEST_INFO_NULL,
};
