#include "suites.h"

#include <math.h>
#include <string.h>

#include "masticmux/latency.h"
#include "masticmux/random.h"

/* Guards against a latency outside the table or in a wrong bucket. */
static void test_bucket_(void)
{
	static const struct {
		mmx_time_t latency;
		size_t bucket;
	} cases[] = {
		{0, 0},
		{99, 0},
		{100, 1},
		{141, 1},
		{142, 2},
		{200, 3},
		{MMX_US_PER_S, 27},
		{1000 * MMX_US_PER_S, MMX_LATENCY_BUCKETS - 1},
		{INT64_MAX, MMX_LATENCY_BUCKETS - 1},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		CU_ASSERT_EQUAL(mmx_latency_bucket(cases[i].latency),
				cases[i].bucket);
}

/* Guards against counts that overflow when summaries are merged often. */
static void test_merge_saturates_(void)
{
	mmx_latency_summary_t a = {.count = {UINT32_MAX - 1}, .errors = 3};
	mmx_latency_summary_t b = {.count = {5, 7}, .errors = 4};

	mmx_latency_summary_merge(&a, &b);
	CU_ASSERT_EQUAL(a.count[0], UINT32_MAX);
	CU_ASSERT_EQUAL(a.count[1], 7);
	CU_ASSERT_EQUAL(a.errors, 7);
}

/* Guards against a distribution that includes the target that is compared with
 * it, and against one that never expires. */
static void test_window_(void)
{
	mmx_latency_window_t window = {.started = 0};
	mmx_latency_summary_t summary;

	mmx_latency_window_add(&window, 1, 1000, false, 10);
	mmx_latency_window_add(&window, 2, 1000, true, 20);
	mmx_latency_window_others(&window, 1, 30, &summary);
	CU_ASSERT_EQUAL(summary.requests, 1);
	CU_ASSERT_EQUAL(summary.errors, 1);
	mmx_latency_window_others(&window, 2, 30, &summary);
	CU_ASSERT_EQUAL(summary.requests, 1);
	CU_ASSERT_EQUAL(summary.errors, 0);
	mmx_latency_window_others(&window, 3, MMX_LATENCY_WINDOW_US, &summary);
	CU_ASSERT_EQUAL(summary.requests, 2);
	mmx_latency_window_others(&window, 3, 2 * MMX_LATENCY_WINDOW_US,
				  &summary);
	CU_ASSERT_EQUAL(summary.requests, 0);
	mmx_latency_window_add(&window, 5, 1000, false,
			       3 * MMX_LATENCY_WINDOW_US);
	mmx_latency_window_others(&window, 1, 3 * MMX_LATENCY_WINDOW_US,
				  &summary);
	/* Targets 1 and 5 share a group; the others are empty. */
	CU_ASSERT_EQUAL(summary.requests, 1);
}

/* Guards against summaries that are counted twice, lost, or used after they
 * have expired. */
static void test_sources_(void)
{
	mmx_latency_sources_t sources = {.count = 0};
	mmx_latency_summary_t one = {.requests = 1};
	mmx_latency_summary_t sum;
	mmx_node_id_t source;

	for (source = 0; source < MMX_LATENCY_SOURCES; source++)
		mmx_latency_sources_set(&sources, source, &one,
					(mmx_time_t)source);
	mmx_latency_sources_set(&sources, 3, &one, 100);
	mmx_latency_sources_merge(&sources, 100, &sum);
	CU_ASSERT_EQUAL(sum.requests, MMX_LATENCY_SOURCES);
	mmx_latency_sources_set(&sources, 99, &one, 200);
	CU_ASSERT_EQUAL(sources.source[0], 99);
	CU_ASSERT_EQUAL(sources.count, MMX_LATENCY_SOURCES);
	mmx_latency_sources_merge(&sources, 150 + 2 * MMX_LATENCY_WINDOW_US,
				  &sum);
	CU_ASSERT_EQUAL(sum.requests, 1);
}

/* Guards against evidence of healthy targets that is not distributed as Exp(1),
 * within the data and beyond it. The detection thresholds rely on this. */
static void test_calibration_(void)
{
	static const double exponents[] = {1.5, 2.0, 3.0};
	mmx_latency_summary_t summary;
	mmx_latency_model_t model;
	mmx_random_t random;
	size_t i;
	int n;

	for (i = 0; i < sizeof(exponents) / sizeof(exponents[0]); i++) {
		int at;

		memset(&summary, 0, sizeof(summary));
		mmx_random_seed(&random, 7 + i);
		for (n = 0; n < 20000; n++) {
			double unit = 1.0 - mmx_random_unit(&random);

			mmx_latency_summary_add(
				&summary,
				(mmx_time_t)(5000 *
					     pow(unit, -1 / exponents[i])),
				false);
		}
		mmx_latency_model_prepare(&model, &summary);
		CU_ASSERT_TRUE(model.valid);
		for (at = 1; at <= 14; at++) {
			double latency = 5000 * exp(at / exponents[i]);
			double got = mmx_latency_model_evidence(
				&model, (mmx_time_t)latency);

			/* Accurate up to the tail, and never much too
			 * high beyond it. */
			CU_ASSERT_TRUE(got < at * 1.1);
			CU_ASSERT_TRUE(got > at * (at < 6 ? 0.9 : 0.7));
		}
	}
}

/* Guards against evidence from too few requests. */
static void test_few_samples_(void)
{
	mmx_latency_summary_t summary = {.requests = 0};
	mmx_latency_model_t model;
	int n;

	for (n = 0; n < MMX_LATENCY_SAMPLES_MIN - 1; n++)
		mmx_latency_summary_add(&summary, 1000, false);
	mmx_latency_model_prepare(&model, &summary);
	CU_ASSERT_FALSE(model.valid);
	CU_ASSERT_EQUAL(mmx_latency_model_evidence(&model, 60 * MMX_US_PER_S),
			0);
	CU_ASSERT_TRUE(model.error_rate > 0 && model.error_rate < 0.01);
}

CU_TestInfo mmx_tests_latency[] = {
	{"buckets cover every latency", test_bucket_},
	{"merging saturates", test_merge_saturates_},
	{"window excludes one target and rotates", test_window_},
	{"sources are replaced and expire", test_sources_},
	{"evidence of healthy requests is Exp(1)", test_calibration_},
	{"few samples give no evidence", test_few_samples_},
	CU_TEST_INFO_NULL,
};
