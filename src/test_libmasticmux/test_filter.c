#include "suites.h"

#include <string.h>

#include "private/filter.h"

#define FILTERS 3

typedef struct fake_filter_t {
	mmx_filter_t filter;
	char name;
	mmx_filter_result_t result;
} fake_filter_t;

static char trace_[32];

static void append_trace_(char c)
{
	size_t length = strlen(trace_);

	trace_[length] = c;
	trace_[length + 1] = '\0';
}

static mmx_filter_result_t process_(mmx_filter_t *filter,
				    mmx_exchange_t *exchange)
{
	const fake_filter_t *fake = (fake_filter_t *)filter;

	append_trace_(fake->name);
	return fake->result;
}

static void abandon_(mmx_filter_t *filter, mmx_exchange_t *exchange)
{
	append_trace_('!');
	append_trace_(((fake_filter_t *)filter)->name);
}

static void destroy_(mmx_filter_t *filter)
{
	append_trace_('-');
}

static const mmx_filter_ops_t ops_ = {"fake", process_, abandon_, destroy_};

typedef struct filter_case_t {
	const char *name;
	mmx_filter_result_t results[FILTERS];
	int resumes;
	bool abandon;
	const char *trace;
} filter_case_t;

/* Guards against a filter that processes an exchange twice, or one that an
 * earlier filter has answered. */
static void test_pipeline_(void)
{
	static const filter_case_t cases[] = {
		{"all filters",
		 {MMX_FILTER_NEXT, MMX_FILTER_NEXT, MMX_FILTER_DONE},
		 0,
		 false,
		 "abc---"},
		{"answered early",
		 {MMX_FILTER_NEXT, MMX_FILTER_DONE, MMX_FILTER_DONE},
		 0,
		 false,
		 "ab---"},
		{"waiting",
		 {MMX_FILTER_WAIT, MMX_FILTER_NEXT, MMX_FILTER_DONE},
		 0,
		 false,
		 "a---"},
		{"resumed after the waiting filter",
		 {MMX_FILTER_WAIT, MMX_FILTER_WAIT, MMX_FILTER_DONE},
		 2,
		 false,
		 "abc---"},
		{"abandoned while waiting",
		 {MMX_FILTER_NEXT, MMX_FILTER_WAIT, MMX_FILTER_DONE},
		 0,
		 true,
		 "ab!b---"},
	};
	size_t i;
	int n;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const filter_case_t *c = &cases[i];
		fake_filter_t filters[FILTERS];
		mmx_exchange_t exchange = {.filter = NULL};
		mmx_pipeline_t pipeline;

		trace_[0] = '\0';
		mmx_pipeline_init(&pipeline);
		for (n = 0; n < FILTERS; n++) {
			filters[n].filter.ops = &ops_;
			filters[n].name = (char)('a' + n);
			filters[n].result = c->results[n];
			mmx_pipeline_add(&pipeline, &filters[n].filter);
		}
		mmx_pipeline_start(&pipeline, &exchange);
		for (n = 0; n < c->resumes; n++)
			mmx_pipeline_resume(&exchange);
		if (c->abandon)
			mmx_pipeline_abandon(&exchange);
		mmx_pipeline_finish(&pipeline);
		CU_ASSERT_STRING_EQUAL(trace_, c->trace);
	}
}

CU_TestInfo mmx_tests_filter[] = {
	{"pipeline", test_pipeline_},
	CU_TEST_INFO_NULL,
};
