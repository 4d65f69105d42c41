#include "suites.h"

#include "private/limits.h"

#define MS MMX_US_PER_MS
#define SLOTS 10

typedef struct class_case_t {
	const char *name;
	mmx_limits_share_t share;
	unsigned int running; /* slots in use during busy */
	mmx_time_t busy;
	mmx_time_t idle;	  /* time without use after that */
	unsigned int now_running; /* slots in use at the end */
	mmx_limits_class_t expected;
} class_case_t;

/* Guards against an account that never or always counts as under its floor, a
 * ceiling that is exceeded, and use that counts for longer than the window. */
static void test_class_(void)
{
	static const class_case_t cases[] = {
		{"no share", {0, 100}, 10, 900 * MS, 0, 10, MMX_LIMITS_NORMAL},
		{"unused floor", {20, 100}, 0, 0, 0, 0, MMX_LIMITS_UNDER_FLOOR},
		{"under its floor",
		 {20, 100},
		 2,
		 900 * MS,
		 0,
		 2,
		 MMX_LIMITS_UNDER_FLOOR},
		{"floor used", {20, 100}, 4, 600 * MS, 0, 4, MMX_LIMITS_NORMAL},
		{"floor used long ago",
		 {20, 100},
		 10,
		 900 * MS,
		 1100 * MS,
		 0,
		 MMX_LIMITS_UNDER_FLOOR},
		{"too many at a time",
		 {0, 30},
		 0,
		 0,
		 0,
		 3,
		 MMX_LIMITS_OVER_CEILING},
		{"below the ceiling",
		 {0, 30},
		 2,
		 900 * MS,
		 0,
		 2,
		 MMX_LIMITS_NORMAL},
		{"ceiling used",
		 {0, 30},
		 10,
		 400 * MS,
		 100 * MS,
		 0,
		 MMX_LIMITS_OVER_CEILING},
		{"ceiling used long ago",
		 {0, 30},
		 10,
		 400 * MS,
		 1100 * MS,
		 0,
		 MMX_LIMITS_NORMAL},
		{"a small ceiling leaves one slot",
		 {0, 1},
		 0,
		 0,
		 0,
		 0,
		 MMX_LIMITS_NORMAL},
	};
	size_t i;
	unsigned int n;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const class_case_t *c = &cases[i];
		mmx_limits_t *limits = mmx_limits_create();
		mmx_time_t now = 5030 * MS;

		for (n = 0; n < c->running; n++)
			mmx_limits_start(limits, "a", now);
		now += c->busy;
		for (n = 0; n < c->running; n++)
			mmx_limits_finish(limits, "a", now);
		now += c->idle;
		for (n = 0; n < c->now_running; n++)
			mmx_limits_start(limits, "a", now);
		CU_ASSERT_EQUAL(
			mmx_limits_class(limits, "a", &c->share, SLOTS, now),
			c->expected);
		mmx_limits_destroy(limits);
	}
}

/* Guards against memory use that grows with every new account. */
static void test_expire_(void)
{
	mmx_limits_t *limits = mmx_limits_create();

	mmx_limits_queue(limits, "queued");
	mmx_limits_start(limits, "running", 0);
	mmx_limits_start(limits, "ended", 0);
	mmx_limits_finish(limits, "ended", 100 * MS);
	mmx_limits_expire(limits, 500 * MS);
	CU_ASSERT_EQUAL(mmx_limits_count(limits), 3);
	mmx_limits_expire(limits, 1300 * MS);
	CU_ASSERT_EQUAL(mmx_limits_count(limits), 2);
	CU_ASSERT_EQUAL(mmx_limits_queued(limits, "queued"), 1);
	mmx_limits_unqueue(limits, "queued");
	mmx_limits_expire(limits, 1300 * MS);
	CU_ASSERT_EQUAL(mmx_limits_count(limits), 1);
	mmx_limits_destroy(limits);
}

CU_TestInfo mmx_tests_limits[] = {
	{"class of an account", test_class_},
	{"idle accounts are removed", test_expire_},
	CU_TEST_INFO_NULL,
};
