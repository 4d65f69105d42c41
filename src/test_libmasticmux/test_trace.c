#include "suites.h"

#include <string.h>

#include "private/trace.h"

#define TRACE "4bf92f3577b34da6a3ce929d0e0e4736"
#define SPAN "00f067aa0ba902b7"

typedef struct parent_case_t {
	const char *name;
	const char *text;
	bool valid;
	const char *formatted; /* as passed on */
} parent_case_t;

static const parent_case_t parents_[] = {
	{"sampled", "00-" TRACE "-" SPAN "-01", true,
	 "00-" TRACE "-" SPAN "-01"},
	{"not sampled", "00-" TRACE "-" SPAN "-00", true,
	 "00-" TRACE "-" SPAN "-00"},
	{"other flags are not passed on", "00-" TRACE "-" SPAN "-ff", true,
	 "00-" TRACE "-" SPAN "-01"},
	{"later version", "cc-" TRACE "-" SPAN "-01", true,
	 "00-" TRACE "-" SPAN "-01"},
	{"later version with more", "cc-" TRACE "-" SPAN "-01-x", true,
	 "00-" TRACE "-" SPAN "-01"},
	{"later version without a dash", "cc-" TRACE "-" SPAN "-01x", false,
	 NULL},
	{"version 00 with more", "00-" TRACE "-" SPAN "-01-x", false, NULL},
	{"version ff", "ff-" TRACE "-" SPAN "-01", false, NULL},
	{"upper case", "00-4BF92F3577B34DA6A3CE929D0E0E4736-" SPAN "-01", false,
	 NULL},
	{"zero trace id", "00-00000000000000000000000000000000-" SPAN "-01",
	 false, NULL},
	{"zero span id", "00-" TRACE "-0000000000000000-01", false, NULL},
	{"short", "00-" TRACE "-" SPAN "-1", false, NULL},
	{"blank", "00-" TRACE "-" SPAN "- 1", false, NULL},
	{"wrong dash", "00_" TRACE "-" SPAN "-01", false, NULL},
	{"not hexadecimal", "0g-" TRACE "-" SPAN "-01", false, NULL},
	{"empty", "", false, NULL},
};

/* Guards against contexts that other parties cannot join. */
static void test_parents_(void)
{
	size_t i;

	for (i = 0; i < sizeof(parents_) / sizeof(parents_[0]); i++) {
		const parent_case_t *item = &parents_[i];
		char text[MMX_TRACEPARENT_SIZE];
		mmx_trace_context_t context;
		bool valid = mmx_traceparent_parse(item->text, &context);

		CU_ASSERT_EQUAL(valid, item->valid);
		if (valid != item->valid)
			printf("\n%s\n", item->name);
		if (!valid)
			continue;
		mmx_traceparent_format(&context, text);
		CU_ASSERT_STRING_EQUAL(text, item->formatted);
	}
}

static const struct {
	const char *text;
	bool valid;
} ids_[] = {
	{TRACE, true},
	{"00-" TRACE "-" SPAN "-01", true},
	{"4BF92F3577B34DA6A3CE929D0E0E4736", false},
	{"4bf92f3577b34da6a3ce929d0e0e473", false},
	{TRACE "0", false},
	{"4bf92f3577b34da6a3ce929d0e0e473g", false},
	{"00000000000000000000000000000000", false},
	{"", false},
};

/* Guards against an operator's question about another request. */
static void test_ids_(void)
{
	static const uint8_t expected[16] = {0x4b, 0xf9, 0x2f, 0x35, 0x77, 0xb3,
					     0x4d, 0xa6, 0xa3, 0xce, 0x92, 0x9d,
					     0x0e, 0x0e, 0x47, 0x36};
	size_t i;

	for (i = 0; i < sizeof(ids_) / sizeof(ids_[0]); i++) {
		uint8_t id[16];
		bool valid = mmx_trace_id_parse(ids_[i].text, id);

		CU_ASSERT_EQUAL(valid, ids_[i].valid);
		if (valid != ids_[i].valid)
			printf("\n%s\n", ids_[i].text);
		if (valid)
			CU_ASSERT_EQUAL(memcmp(id, expected, 16), 0);
	}
}

typedef struct setup_t {
	mmx_clock_t *clock;
	mmx_random_t random;
	mmx_counters_t *counters;
	mmx_trace_t *trace;
} setup_t;

static void open_(setup_t *setup)
{
	setup->clock = mmx_clock_create_paused();
	mmx_random_seed(&setup->random, 1);
	setup->counters = mmx_counters_create();
	setup->trace =
		mmx_trace_create(setup->clock, &setup->random, setup->counters);
}

static void close_(setup_t *setup)
{
	mmx_trace_destroy(setup->trace);
	mmx_counters_destroy(setup->counters);
	mmx_clock_destroy(setup->clock);
}

/* Guards against spans that lose their parent or their duration. */
static void test_spans_(void)
{
	setup_t setup;
	mmx_trace_context_t caller;
	mmx_trace_context_t inner;
	mmx_span_t *entry;
	mmx_span_t *call;

	open_(&setup);
	mmx_trace_context(setup.trace, "00-" TRACE "-" SPAN "-01", &caller);
	entry = mmx_span_start(setup.trace, &caller, "entry", MMX_SPAN_SERVER);
	CU_ASSERT_PTR_NOT_NULL_FATAL(entry);
	mmx_span_context(entry, &caller, &inner);
	call = mmx_span_start(setup.trace, &inner, "call", MMX_SPAN_CLIENT);
	CU_ASSERT_PTR_NOT_NULL_FATAL(call);
	if (!entry || !call)
		return;
	CU_ASSERT_EQUAL(memcmp(call->parent, entry->context.span_id, 8), 0);
	CU_ASSERT_EQUAL(memcmp(call->context.trace_id, caller.trace_id, 16), 0);
	CU_ASSERT_NOT_EQUAL(
		memcmp(call->context.span_id, entry->context.span_id, 8), 0);
	mmx_span_set_text(call, "target", "bad \xff text");
	mmx_clock_advance(setup.clock, 1500);
	mmx_span_finish(call);
	mmx_span_finish(entry);
	CU_ASSERT_EQUAL(mmx_trace_queued(setup.trace), 2);
	call = mmx_trace_take(setup.trace);
	CU_ASSERT_STRING_EQUAL(call->name, "call");
	CU_ASSERT_EQUAL(call->end - call->start, 1500);
	CU_ASSERT_STRING_EQUAL(call->attributes[0].text,
			       "bad \xef\xbf\xbd text");
	mmx_span_destroy(call);
	close_(&setup);
}

/* Guards against spans of traces that the caller does not sample. */
static void test_sampling_(void)
{
	setup_t setup;
	mmx_trace_context_t context;
	mmx_trace_context_t inner;
	mmx_span_t *span;

	open_(&setup);
	mmx_trace_context(setup.trace, "00-" TRACE "-" SPAN "-00", &context);
	span = mmx_span_start(setup.trace, &context, "x", MMX_SPAN_INTERNAL);
	CU_ASSERT_PTR_NULL(span);
	mmx_span_context(span, &context, &inner);
	CU_ASSERT_EQUAL(memcmp(&inner, &context, sizeof(inner)), 0);
	mmx_span_set_number(span, "n", 1);
	mmx_span_set_failed(span);
	mmx_span_finish(span);
	mmx_trace_set_sampling(setup.trace, 0);
	mmx_trace_context(setup.trace, "garbage", &context);
	CU_ASSERT_EQUAL(context.flags, 0);
	mmx_trace_set_sampling(setup.trace, 1000);
	mmx_trace_context(setup.trace, NULL, &context);
	CU_ASSERT_EQUAL(context.flags, MMX_TRACE_SAMPLED);
	close_(&setup);
}

/* Guards against memory that grows while the collector is down. */
static void test_queue_is_bounded_(void)
{
	setup_t setup;
	mmx_trace_context_t context;
	int i;

	open_(&setup);
	mmx_trace_context(setup.trace, NULL, &context);
	for (i = 0; i < MMX_TRACE_QUEUE_MAX + 7; i++)
		mmx_span_finish(mmx_span_start(setup.trace, &context, "x",
					       MMX_SPAN_INTERNAL));
	CU_ASSERT_EQUAL(mmx_trace_queued(setup.trace), MMX_TRACE_QUEUE_MAX);
	CU_ASSERT_EQUAL(mmx_counters_get(setup.counters, MMX_COUNTER,
					 "masticmux_spans_dropped_total", "",
					 "")
				->value,
			7);
	close_(&setup);
}

CU_TestInfo mmx_tests_trace[] = {
	{"traceparent", test_parents_},
	{"trace ids", test_ids_},
	{"spans", test_spans_},
	{"sampling", test_sampling_},
	{"queue is bounded", test_queue_is_bounded_},
	CU_TEST_INFO_NULL,
};
