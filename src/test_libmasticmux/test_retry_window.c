#include "suites.h"

#include <glib.h>

#include "masticmux/random.h"
#include "masticmux/retry_window.h"

#define WINDOW (10 * MMX_US_PER_S)

static bool take_(mmx_retry_window_t *budget, mmx_time_t now)
{
	if (!mmx_retry_window_allows(budget, now))
		return false;
	mmx_retry_window_charge(budget, MMX_RETRY_WINDOW_REPEAT_HUNDREDTHS,
				now);
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
			mmx_retry_window_count_request(&budget, 0);
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
			mmx_retry_window_count_request(&budget, now);
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

/* Repeats and requests of all nodes; the latest ones are looked at only. */
typedef struct fleet_t {
	mmx_retry_window_t budgets[8];
	GArray *requests; /* of mmx_time_t */
	GArray *repeats;
} fleet_t;

static unsigned int count_since_(const GArray *times, mmx_time_t since)
{
	guint first = times->len;

	while (first > 0 && g_array_index(times, mmx_time_t, first - 1) > since)
		first--;
	return times->len - first;
}

/* A node that cannot make a repeat grants it; the other one makes it a little
 * later, or the grant is lost. */
static void grant_(fleet_t *fleet, mmx_random_t *random, size_t node,
		   mmx_time_t now, GArray *granted)
{
	mmx_time_t used = now + (mmx_time_t)mmx_random_below(
					random, 2 * MMX_RETRY_GRANT_TTL_US);

	if (!mmx_retry_window_grant(&fleet->budgets[node], now) ||
	    mmx_random_below(random, 4) == 0)
		return;
	g_array_append_val(granted, used);
}

static void use_grants_(fleet_t *fleet, GArray *granted, mmx_time_t now)
{
	guint i = 0;

	while (i < granted->len) {
		if (g_array_index(granted, mmx_time_t, i) > now) {
			i++;
			continue;
		}
		g_array_append_val(fleet->repeats, now);
		g_array_remove_index_fast(granted, i);
	}
}

/*
 * Load pattern: many repeats, a part of them granted by other nodes. Guards
 * against more repeats of all nodes together than the limit in any window, and
 * against allowance that is left over while a node needs it.
 */
static void test_grants_(void)
{
	enum { NODES = 8, EVENTS = 20000, PERCENT = 20, RESERVE = 425 };
	mmx_retry_limit_t limit = {PERCENT, RESERVE, WINDOW};
	fleet_t fleet = {
		.requests = g_array_new(FALSE, FALSE, sizeof(mmx_time_t)),
		.repeats = g_array_new(FALSE, FALSE, sizeof(mmx_time_t)),
	};
	GArray *granted = g_array_new(FALSE, FALSE, sizeof(mmx_time_t));
	mmx_random_t random;
	mmx_time_t now = 0;
	unsigned int repeats;
	unsigned int requests;
	size_t i;
	int n;

	mmx_random_seed(&random, 1);
	for (i = 0; i < NODES; i++)
		mmx_retry_window_init(&fleet.budgets[i], &limit);
	for (n = 0; n < EVENTS; n++) {
		size_t node = mmx_random_below(&random, NODES);

		now += (mmx_time_t)mmx_random_below(&random,
						    100 * MMX_US_PER_MS);
		use_grants_(&fleet, granted, now);
		if (mmx_random_below(&random, 3) == 0) {
			mmx_retry_window_count_request(&fleet.budgets[node],
						       now);
			g_array_append_val(fleet.requests, now);
		} else if (mmx_random_below(&random, 2)) {
			grant_(&fleet, &random, node, now, granted);
		} else if (take_(&fleet.budgets[node], now)) {
			g_array_append_val(fleet.repeats, now);
		}
		/* The requests that a grant was earned by may be older than
		 * the window by the time that it took to be used. */
		repeats = count_since_(fleet.repeats, now - WINDOW);
		requests =
			count_since_(fleet.requests,
				     now - WINDOW - 2 * MMX_RETRY_GRANT_TTL_US);
		CU_ASSERT(repeats * 100 <=
			  NODES * RESERVE + requests * PERCENT);
	}
	CU_ASSERT(fleet.repeats->len * 100 >
		  (uint64_t)(now / WINDOW) * NODES * RESERVE / 2);
	g_array_free(fleet.requests, TRUE);
	g_array_free(fleet.repeats, TRUE);
	g_array_free(granted, TRUE);
}

/* Guards against a grant that is used after its charge is forgotten. */
static void test_short_windows_grant_nothing_(void)
{
	mmx_retry_limit_t limit = {
		100, 1000,
		2 * MMX_RETRY_GRANT_TTL_US * MMX_RETRY_WINDOW_PARTS - 10};
	mmx_retry_window_t budget;

	mmx_retry_window_init(&budget, &limit);
	CU_ASSERT_TRUE(mmx_retry_window_allows(&budget, 0));
	CU_ASSERT_FALSE(mmx_retry_window_grant(&budget, 0));
}

CU_TestInfo mmx_tests_retry_window[] = {
	{"the reserve returns", test_steps_},
	{"any window is within the limit", test_any_window_},
	{"grants to other nodes", test_grants_},
	{"short windows grant nothing", test_short_windows_grant_nothing_},
	CU_TEST_INFO_NULL,
};
