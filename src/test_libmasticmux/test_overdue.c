#include "suites.h"

#include <glib.h>

#include "private/overdue.h"

#define MS MMX_US_PER_MS
#define OBJECTIVE (1200 * MS)
#define NEVER MMX_TIME_NEVER

typedef struct repeat_case_t {
	const char *name;
	mmx_time_t objective;
	int durations[24]; /* completions in order, milliseconds; 0: end */
	mmx_time_t remaining;
	mmx_time_t least; /* delay of the second attempt, bounds */
	mmx_time_t most;
} repeat_case_t;

static void check_cases_(const repeat_case_t *cases, size_t count)
{
	size_t i;
	size_t n;

	for (i = 0; i < count; i++) {
		mmx_overdue_t overdue = {0};
		mmx_time_t after;

		for (n = 0; cases[i].durations[n]; n++)
			mmx_overdue_add(&overdue, cases[i].durations[n] * MS);
		after = mmx_overdue_repeat_delay(&overdue, cases[i].objective,
						 cases[i].remaining);
		if (after < cases[i].least || after > cases[i].most)
			printf("\n  %s: %lld us\n", cases[i].name,
			       (long long)after);
		CU_ASSERT(after >= cases[i].least && after <= cases[i].most);
	}
}

/*
 * Load pattern: targets that accept requests and never answer them. Guards
 * against a first attempt that takes all the time in which another target could
 * have answered, and against a second attempt that cannot complete before the
 * deadline.
 */
static void test_hanging_target_(void)
{
	static const repeat_case_t cases[] = {
		{"no completions and no objective",
		 0,
		 {0},
		 5000 * MS,
		 NEVER,
		 NEVER},
		{"the objective decides at first",
		 OBJECTIVE,
		 {0},
		 5000 * MS,
		 OBJECTIVE / 2,
		 OBJECTIVE},
		{"usual run times, far below the objective",
		 OBJECTIVE,
		 {100, 110, 95, 105, 100, 90, 100, 110, 100, 100, 105, 95},
		 5000 * MS,
		 150 * MS,
		 300 * MS},
		{"a second attempt still fits",
		 OBJECTIVE,
		 {300, 310, 290, 300, 310, 290, 300, 300},
		 800 * MS,
		 300 * MS,
		 500 * MS},
		{"a second attempt does not fit",
		 OBJECTIVE,
		 {300, 310, 290, 300, 310, 290, 300, 300},
		 600 * MS,
		 NEVER,
		 NEVER},
	};

	check_cases_(cases, G_N_ELEMENTS(cases));
}

/*
 * Load pattern: a service that becomes slow as a whole. Guards against second
 * attempts of all its requests, which would increase the load further.
 */
static void test_service_slows_down_(void)
{
	static const repeat_case_t cases[] = {
		{"four times as slow as before",
		 OBJECTIVE,
		 {100, 110, 95, 105, 100, 90, 100, 110, 400, 410, 390, 400},
		 5000 * MS,
		 420 * MS,
		 NEVER},
		{"run times that vary widely",
		 OBJECTIVE,
		 {50, 400, 100, 350, 80, 420, 60, 380, 100, 400},
		 5000 * MS,
		 500 * MS,
		 NEVER},
	};

	check_cases_(cases, G_N_ELEMENTS(cases));
}

CU_TestInfo mmx_tests_overdue[] = {
	{"targets that never answer", test_hanging_target_},
	{"a service that slows down as a whole", test_service_slows_down_},
	CU_TEST_INFO_NULL,
};
