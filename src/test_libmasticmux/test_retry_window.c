#include "suites.h"

#include <glib.h>

#include "masticmux/random.h"
#include "masticmux/retry_window.h"

#define WINDOW (10 * MMX_US_PER_S)

static bool take_repeat_(mmx_retry_window_t *budget, mmx_time_t now)
{
	if (!mmx_retry_window_allows(budget, now))
		return false;
	mmx_retry_window_charge(budget, MMX_RETRY_WINDOW_REPEAT_HUNDREDTHS,
				now);
	return true;
}

/* Guards against a reserve that does not return, so that failed reads are not
 * repeated although the budget of the last window is unused, and against more
 * repeats in a window than the limit. */
static void test_reserve_(void)
{
	static const struct {
		const char *name;
		mmx_retry_limit_t limit;
		int requests;	 /* at 0 s */
		uint32_t charge; /* at 0 s, hundredths */
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
		{"repeats that are charged without a check",
		 {20, 300, WINDOW},
		 0,
		 250,
		 {{0, 0}, {11, 3}}},
		{"at least one",
		 {20, 40, WINDOW},
		 0,
		 0,
		 {{0, 1}, {5, 0}, {11, 1}}},
		{"after a long time without requests",
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
			mmx_retry_window_count_request(&budget, 100, 0);
		mmx_retry_window_charge(&budget, cases[i].charge, 0);
		for (s = 0; s < G_N_ELEMENTS(cases[i].steps); s++) {
			int taken = 0;

			if (s > 0 && cases[i].steps[s].at == 0)
				break;
			while (taken < 100 &&
			       take_repeat_(&budget, cases[i].steps[s].at *
							     MMX_US_PER_S))
				taken++;
			if (taken != cases[i].steps[s].taken)
				printf("%s, step %zu: %d\n", cases[i].name, s,
				       taken);
			CU_ASSERT_EQUAL(taken, cases[i].steps[s].taken);
		}
	}
}

/* Guards against parts of a window that are cleared too early: the window that
 * ends with a repeat is within the limit, for every repeat. */
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
			mmx_retry_window_count_request(&budget, 100, now);
			requests[request_count++] = now;
			continue;
		}
		if (!take_repeat_(&budget, now))
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
	/* At least 3/4 of the reserve, 425 hundredths per 10 s, is used. */
	CU_ASSERT(repeat_count * 100 >
		  (uint64_t)(now / WINDOW) * RESERVE * 3 / 4);
	g_free(requests);
	g_free(repeats);
}

/*
 * Load pattern: repeated runs of another service make calls at an even rate,
 * and from a later time on every failed request asks for a repeat. Guards
 * against repeats that use up the limit before the calls of the rest of the
 * window have come, so that both together exceed it.
 */
static void test_calls_to_come_(void)
{
	enum { STEP = 100 * MMX_US_PER_MS, RESERVE = 1000 };
	static const struct {
		const char *name;
		mmx_time_t calls_until; /* from 0 s on */
		uint32_t call;		/* hundredths in each step */
		mmx_time_t repeats_from;
		int repeats_max; /* in the window from 0 s on */
		int repeats_min;
	} cases[] = {
		{"no calls", 0, 0, 5, 10, 10},
		{"few calls", 10, 2, 5, 8, 7},
		{"calls of half of the limit", 10, 5, 5, 5, 4},
		{"calls of nearly the limit", 10, 9, 5, 1, 0},
		{"calls that have ended", 2, 5, 7, 9, 9},
	};
	mmx_retry_limit_t limit = {20, RESERVE, WINDOW};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_retry_window_t budget;
		mmx_time_t now;
		int taken = 0;

		mmx_retry_window_init(&budget, &limit);
		for (now = 0; now < WINDOW; now += STEP) {
			if (now < cases[i].calls_until * MMX_US_PER_S)
				mmx_retry_window_charge_call(
					&budget, cases[i].call, now);
			if (now >= cases[i].repeats_from * MMX_US_PER_S)
				taken += take_repeat_(&budget, now);
		}
		if (taken > cases[i].repeats_max ||
		    taken < cases[i].repeats_min)
			printf("%s: %d\n", cases[i].name, taken);
		CU_ASSERT(taken <= cases[i].repeats_max &&
			  taken >= cases[i].repeats_min);
	}
}

/* Budgets of all nodes, and the times of their requests and repeats. */
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

/* A node grants a repeat to another node, which makes it some time later; one
 * grant in four is lost. */
static void grant_repeat_(fleet_t *fleet, mmx_random_t *random, size_t node,
			  mmx_time_t now, GArray *granted)
{
	mmx_time_t used = now + (mmx_time_t)mmx_random_below(
					random, 2 * MMX_RETRY_GRANT_TTL_US);

	if (!mmx_retry_window_grant(&fleet->budgets[node], now) ||
	    mmx_random_below(random, 4) == 0)
		return;
	g_array_append_val(granted, used);
}

static void make_granted_repeats_(fleet_t *fleet, GArray *granted,
				  mmx_time_t now)
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
 * Load pattern: many repeats, some of them granted by other nodes. Guards
 * against a window in which all nodes together make more repeats than the
 * limit, and against allowance that stays unused while a node needs it.
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
		make_granted_repeats_(&fleet, granted, now);
		if (mmx_random_below(&random, 3) == 0) {
			mmx_retry_window_count_request(&fleet.budgets[node],
						       100, now);
			g_array_append_val(fleet.requests, now);
		} else if (mmx_random_below(&random, 2)) {
			grant_repeat_(&fleet, &random, node, now, granted);
		} else if (take_repeat_(&fleet.budgets[node], now)) {
			g_array_append_val(fleet.repeats, now);
		}
		/* The requests that a grant is based on may be older than the
		 * window by the time until the grant is used. */
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

/* Guards against a grant that is used after its charge has left the window. */
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
	{"the reserve is available again after a window", test_reserve_},
	{"any window is within the limit", test_any_window_},
	{"repeats leave room for calls to come", test_calls_to_come_},
	{"grants keep the fleet within the limit", test_grants_},
	{"no grants with short windows", test_short_windows_grant_nothing_},
	CU_TEST_INFO_NULL,
};
