#include "suites.h"

#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

#include "masticmux/counters.h"

/* Guards against histograms whose buckets do not add up, so that a latency
 * that is read from them is wrong. */
static void test_histogram_(void)
{
	static const char *const expected[] = {
		"# TYPE took_seconds histogram\n",
		"took_seconds_bucket{kind=\"a\",le=\"0.005\"} 1\n",
		"took_seconds_bucket{kind=\"a\",le=\"0.01\"} 2\n",
		"took_seconds_bucket{kind=\"a\",le=\"0.025\"} 3\n",
		"took_seconds_bucket{kind=\"a\",le=\"30\"} 3\n",
		"took_seconds_bucket{kind=\"a\",le=\"+Inf\"} 4\n",
		"took_seconds_sum{kind=\"a\"} 40.025\n",
		"took_seconds_count{kind=\"a\"} 4\n",
		"took_seconds_count{kind=\"b\"} 0\n",
	};
	static const int64_t samples[] = {5000, 5001, 14999, 40000000};
	mmx_counters_t *counters = mmx_counters_create();
	mmx_histogram_t *a = mmx_counters_histogram(counters, "took_seconds",
						    "kind=\"a\"", "Time.");
	struct evbuffer *out = evbuffer_new();
	const char *text;
	size_t i;

	mmx_counters_histogram(counters, "took_seconds", "kind=\"b\"", "Time.");
	CU_ASSERT_PTR_EQUAL(a, mmx_counters_histogram(counters, "took_seconds",
						      "kind=\"a\"", "Time."));
	for (i = 0; i < G_N_ELEMENTS(samples); i++)
		mmx_histogram_add(a, samples[i]);
	mmx_histogram_add(NULL, 1);
	mmx_counters_write(counters, out);
	evbuffer_add(out, "", 1);
	text = (const char *)evbuffer_pullup(out, -1);
	for (i = 0; i < G_N_ELEMENTS(expected); i++) {
		if (!strstr(text, expected[i]))
			printf("missing: %s%s", expected[i], text);
		CU_ASSERT_PTR_NOT_NULL(strstr(text, expected[i]));
	}
	evbuffer_free(out);
	mmx_counters_destroy(counters);
}

CU_TestInfo mmx_tests_counters[] = {
	{"buckets of a histogram", test_histogram_},
	CU_TEST_INFO_NULL,
};
