#include "suites.h"

#include "masticmux/clock.h"

#define TIMERS 3

typedef struct firing_t {
	int order[TIMERS];
	int count;
} firing_t;

typedef struct armed_t {
	mmx_timer_t timer;
	firing_t *firing;
	int index;
} armed_t;

static void record_(void *arg)
{
	armed_t *armed = arg;

	armed->firing->order[armed->firing->count++] = armed->index;
}

typedef struct order_case_t {
	const char *name;
	mmx_time_t delay[TIMERS];
	int expected[TIMERS];
} order_case_t;

/* Guards against timers that fire in order of setting instead of time. */
static void test_order_(void)
{
	static const order_case_t cases[] = {
		{"as set", {10, 20, 30}, {0, 1, 2}},
		{"reversed", {30, 20, 10}, {2, 1, 0}},
		{"equal times keep the order of setting", {5, 5, 5}, {0, 1, 2}},
		{"negative delay counts as zero", {1, -7, 0}, {1, 2, 0}},
	};
	size_t i;
	int t;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		mmx_clock_t *clock = mmx_clock_create_paused();
		firing_t firing = {.count = 0};
		armed_t armed[TIMERS];

		for (t = 0; t < TIMERS; t++) {
			armed[t] = (armed_t){.firing = &firing, .index = t};
			mmx_timer_init(&armed[t].timer, clock, record_,
				       &armed[t]);
			mmx_timer_set(&armed[t].timer, cases[i].delay[t]);
		}
		mmx_clock_advance(clock, 100);
		CU_ASSERT_EQUAL_FATAL(firing.count, TIMERS);
		for (t = 0; t < TIMERS; t++)
			CU_ASSERT_EQUAL(firing.order[t], cases[i].expected[t]);
		mmx_clock_destroy(clock);
	}
}

/* Guards against a cancelled or moved timer that fires at its old time. */
static void test_cancel_and_move_(void)
{
	mmx_clock_t *clock = mmx_clock_create_paused();
	firing_t firing = {.count = 0};
	armed_t armed = {.firing = &firing, .index = 1};

	mmx_timer_init(&armed.timer, clock, record_, &armed);
	mmx_timer_set(&armed.timer, 10);
	mmx_timer_cancel(&armed.timer);
	mmx_clock_advance(clock, 20);
	CU_ASSERT_EQUAL(firing.count, 0);
	mmx_timer_set(&armed.timer, 10);
	mmx_timer_set(&armed.timer, 50);
	mmx_clock_advance(clock, 49);
	CU_ASSERT_EQUAL(firing.count, 0);
	CU_ASSERT_TRUE(mmx_timer_is_set(&armed.timer));
	mmx_clock_advance(clock, 1);
	CU_ASSERT_EQUAL(firing.count, 1);
	CU_ASSERT_EQUAL(mmx_clock_next(clock), MMX_TIME_NEVER);
	mmx_clock_destroy(clock);
}

CU_TestInfo mmx_tests_clock[] = {
	{"timers fire in order", test_order_},
	{"cancel and move", test_cancel_and_move_},
	CU_TEST_INFO_NULL,
};
