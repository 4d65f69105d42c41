#include "suites.h"

#include <glib.h>
#include <math.h>

#include "masticmux/random.h"
#include "private/cost.h"

#define MS MMX_US_PER_MS

static const mmx_cost_key_t short_ = {1, MMX_COST_BODY_NONE};
static const mmx_cost_key_t long_ = {2, MMX_COST_BODY_64K};

static void add_many_(mmx_cost_t *cost, mmx_cost_key_t key, int count,
		      mmx_time_t run_time, mmx_time_t *now)
{
	for (; count > 0; count--, *now += 100 * MS)
		mmx_cost_add(cost, key, run_time, *now);
}

static bool is_near_(mmx_time_t value, mmx_time_t expected, int percent)
{
	return llabs(value - expected) <= expected * percent / 100;
}

/* Log-normal with mean 1, spread 0.8; 3 in 100 take seven times as long. */
static double heavy_(mmx_random_t *random)
{
	double normal = sqrt(-2 * log(1 - mmx_random_unit(random))) *
			cos(2 * M_PI * mmx_random_unit(random));

	return exp(0.8 * normal - 0.32) *
	       (mmx_random_unit(random) < 0.03 ? 7 : 1);
}

/* Guards against an estimate from nothing, from a single long run time, or from
 * the requests of another route. */
static void test_cold_start_(void)
{
	mmx_cost_key_t other = {1, MMX_COST_BODY_LARGE};
	mmx_cost_t *cost = mmx_cost_create();
	mmx_time_t now = 0;

	CU_ASSERT_EQUAL(mmx_cost_mean(cost, short_), 0);
	CU_ASSERT_EQUAL(mmx_cost_remaining(cost, short_, 5 * MS), 0);
	CU_ASSERT_EQUAL(mmx_cost_quantile(cost, short_, 990), 0);
	add_many_(cost, long_, 96, 800 * MS, &now);
	add_many_(cost, short_, MMX_COST_SAMPLES_MIN - 1, 100 * MS, &now);
	CU_ASSERT(is_near_(mmx_cost_mean(cost, short_), 780 * MS, 2));
	add_many_(cost, short_, 1, 100 * MS, &now);
	CU_ASSERT_EQUAL(mmx_cost_mean(cost, short_), 100 * MS);
	CU_ASSERT_EQUAL(mmx_cost_mean(cost, other), 100 * MS);
	CU_ASSERT_EQUAL(mmx_cost_mean(cost, long_), 800 * MS);
	CU_ASSERT_FALSE(mmx_cost_is_uneven(cost));
	mmx_cost_destroy(cost);
}

/* Guards against old run times that hide a route whose cost has changed, or a
 * target whose speed has. */
static void test_change_(void)
{
	mmx_cost_t *cost = mmx_cost_create();
	mmx_time_t now = 0;

	add_many_(cost, short_, 600, 100 * MS, &now);
	add_many_(cost, short_, 300, 500 * MS, &now);
	/* One half-life: weights 0.75 / 2 and 0.5 of all time. */
	CU_ASSERT(is_near_(mmx_cost_mean(cost, short_), 328 * MS, 2));
	add_many_(cost, short_, 600, 500 * MS, &now);
	CU_ASSERT(mmx_cost_mean(cost, short_) > 440 * MS);
	/* After an hour of silence the estimate still stands. */
	now += 3600 * MMX_US_PER_S;
	add_many_(cost, short_, 1, 200 * MS, &now);
	CU_ASSERT_EQUAL(mmx_cost_mean(cost, short_), 200 * MS);
	/* What was seen before does not count as evidence. */
	add_many_(cost, short_, 1, 2000 * MS, &now);
	CU_ASSERT_FALSE(mmx_cost_is_uneven(cost));
	mmx_cost_destroy(cost);
}

/* Guards against a request that is taken for almost complete because it is old,
 * where old requests are the long ones; and where run times are even, against
 * the opposite. */
static void test_remaining_(void)
{
	mmx_cost_t *heavy = mmx_cost_create();
	mmx_cost_t *even = mmx_cost_create();
	mmx_random_t random;
	mmx_time_t now = 0;
	int i;

	mmx_random_seed(&random, 1);
	add_many_(even, short_, 300, 500 * MS, &now);
	for (i = 0; i < 3000; i++)
		mmx_cost_add(heavy, short_,
			     (mmx_time_t)(500 * MS * heavy_(&random)),
			     i * 10 * MS);
	CU_ASSERT(mmx_cost_remaining(heavy, short_, 3000 * MS) >
		  mmx_cost_remaining(heavy, short_, 500 * MS));
	CU_ASSERT(mmx_cost_remaining(heavy, short_, 30000 * MS) > 10000 * MS);
	CU_ASSERT(mmx_cost_remaining(even, short_, 400 * MS) < 200 * MS);
	/* A stalled target: no request was ever this old. */
	CU_ASSERT(is_near_(mmx_cost_remaining(even, short_, 5000 * MS),
			   5000 * MS, 5));
	CU_ASSERT_EQUAL(mmx_cost_remaining(even, short_, 9000 * MMX_US_PER_S),
			MMX_COST_MAX_US);
	CU_ASSERT(mmx_cost_is_uneven(heavy));
	CU_ASSERT_FALSE(mmx_cost_is_uneven(even));
	CU_ASSERT(mmx_cost_quantile(heavy, short_, 990) >
		  4 * mmx_cost_quantile(heavy, short_, 500));
	mmx_cost_destroy(heavy);
	mmx_cost_destroy(even);
}

/* Guards against memory that grows with the number of routes, and against the
 * eviction of one that is in use. */
static void test_eviction_(void)
{
	mmx_cost_t *cost = mmx_cost_create();
	mmx_time_t now = 0;
	uint32_t route;

	for (route = 10; route < 10 + 2 * MMX_COST_KEYS_MAX; route++) {
		add_many_(cost, (mmx_cost_key_t){route, MMX_COST_BODY_4K}, 1,
			  900 * MS, &now);
		add_many_(cost, short_, 1, 100 * MS, &now);
	}
	CU_ASSERT_EQUAL(mmx_cost_key_count(cost), MMX_COST_KEYS_MAX);
	CU_ASSERT_EQUAL(mmx_cost_mean(cost, short_), 100 * MS);
	mmx_cost_destroy(cost);
}

/* Guards against classes whose limits are off by one. */
static void test_class_(void)
{
	static const struct {
		uint64_t bytes;
		mmx_cost_class_t class;
	} cases[] = {
		{0, MMX_COST_BODY_NONE},
		{1, MMX_COST_BODY_4K},
		{4096, MMX_COST_BODY_4K},
		{4097, MMX_COST_BODY_64K},
		{65536, MMX_COST_BODY_64K},
		{65537, MMX_COST_BODY_1M},
		{1U << 20U, MMX_COST_BODY_1M},
		{(1U << 20U) + 1, MMX_COST_BODY_LARGE},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		CU_ASSERT_EQUAL(mmx_cost_class(cases[i].bytes), cases[i].class);
}

CU_TestInfo mmx_tests_cost[] = {
	{"cold start", test_cold_start_},
	{"a route whose cost changes", test_change_},
	{"remaining time by age", test_remaining_},
	{"bounded number of keys", test_eviction_},
	{"body size classes", test_class_},
	CU_TEST_INFO_NULL,
};
