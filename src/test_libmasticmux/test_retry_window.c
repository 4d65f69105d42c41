#include "suites.h"

#include <glib.h>

#include "masticmux/random.h"
#include "masticmux/retry_window.h"

#define WINDOW (10 * MMX_US_PER_S)

static bool take_(mmx_retry_window_t *budget, mmx_time_t now)
{
	if (!mmx_retry_window_has(budget, now))
		return false;
	mmx_retry_window_charge(budget, MMX_RETRY_WINDOW_REPEAT, now);
	return true;
}

/* Guards against a reserve that can be used once and is then gone, so that
 * reads that meet a failing target are not repeated although the budget of the
 * last window is unused; and against more than the limit in a window. */
static void test_steps_(void)
{
	static const struct {
		const char *name;
		mmx_retry_limit_t limit;
		int requests; /* at 0 s */
		uint32_t charge;
		struct {
			mmx_time_t at; /* seconds; 0 after the first: none */
			int taken;
		} steps[3];
	} cases[] = {
		{"nothing allowed", {0, 1000, WINDOW}, 100, 0, {{0, 0}}},
		{"reserve, again after the window",
		 {20, 300, WINDOW},
		 0,
		 0,
		 {{0, 3}, {5, 0}, {11, 3}}},
		{"share of the requests",
		 {20, 300, WINDOW},
		 100,
		 0,
		 {{0, 23}, {9, 0}, {11, 3}}},
		{"what cannot be refused counts",
		 {20, 300, WINDOW},
		 0,
		 250,
		 {{0, 0}, {11, 3}}},
		{"at least one",
		 {20, 40, WINDOW},
		 0,
		 0,
		 {{0, 1}, {5, 0}, {11, 1}}},
		{"after a long silence",
		 {20, 300, WINDOW},
		 100,
		 0,
		 {{0, 23}, {100000, 3}}},
	};
	size_t i;
	size_t s;
	int n;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_retry_window_t budget;

		mmx_retry_window_init(&budget, &cases[i].limit);
		for (n = 0; n < cases[i].requests; n++)
			mmx_retry_window_request(&budget, 0);
		mmx_retry_window_charge(&budget, cases[i].charge, 0);
		for (s = 0; s < G_N_ELEMENTS(cases[i].steps); s++) {
			int taken = 0;

			if (s > 0 && cases[i].steps[s].at == 0)
				break;
			while (taken < 100 &&
			       take_(&budget,
				     cases[i].steps[s].at * MMX_US_PER_S))
				taken++;
			if (taken != cases[i].steps[s].taken)
				printf("%s, step %zu: %d\n", cases[i].name, s,
				       taken);
			CU_ASSERT_EQUAL(taken, cases[i].steps[s].taken);
		}
	}
}

/* Guards against parts of a window that are forgotten too early: whenever one
 * is taken, the window that ends then is within the limit. */
static void test_any_window_(void)
{
	enum { EVENTS = 5000, PERCENT = 20, RESERVE = 425 };
	mmx_retry_limit_t limit = {PERCENT, RESERVE, WINDOW};
	mmx_retry_window_t budget;
	mmx_random_t random;
	mmx_time_t *requests = g_new(mmx_time_t, EVENTS);
	mmx_time_t *repeats = g_new(mmx_time_t, EVENTS);
	size_t request_count = 0;
	size_t repeat_count = 0;
	mmx_time_t now = 0;
	int n;

	mmx_random_seed(&random, 1);
	mmx_retry_window_init(&budget, &limit);
	for (n = 0; n < EVENTS; n++) {
		size_t first_request = 0;
		size_t first_repeat = 0;

		now += (mmx_time_t)mmx_random_below(&random,
						    800 * MMX_US_PER_MS);
		if (mmx_random_below(&random, 2)) {
			mmx_retry_window_request(&budget, now);
			requests[request_count++] = now;
			continue;
		}
		if (!take_(&budget, now))
			continue;
		repeats[repeat_count++] = now;
		while (first_repeat < repeat_count &&
		       repeats[first_repeat] <= now - WINDOW)
			first_repeat++;
		while (first_request < request_count &&
		       requests[first_request] <= now - WINDOW)
			first_request++;
		CU_ASSERT((repeat_count - first_repeat) * 100 <=
			  RESERVE + (request_count - first_request) * PERCENT);
	}
	/* Most of what the limit allows is used: 425 in each 10 s. */
	CU_ASSERT(repeat_count * 100 >
		  (uint64_t)(now / WINDOW) * RESERVE * 3 / 4);
	g_free(requests);
	g_free(repeats);
}

CU_TestInfo mmx_tests_retry_window[] = {
	{"the reserve returns", test_steps_},
	{"any window is within the limit", test_any_window_},
	CU_TEST_INFO_NULL,
};
