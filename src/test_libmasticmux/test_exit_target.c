#include "suites.h"

#include "private/exit_target.h"

#define MS MMX_US_PER_MS

typedef struct slots_case_t {
	const char *name;
	uint16_t slots;
	mmx_time_t warm_up;
	mmx_time_t age; /* since the start of the ramp */
	unsigned int expected;
} slots_case_t;

/* Guards against a cold target that gets its whole load at once. */
static void test_slots_(void)
{
	static const slots_case_t cases[] = {
		{"no ramp", 30, 0, 0, 30},
		{"start at a tenth", 30, 1000, 0, 3},
		{"at least one slot", 3, 1000, 0, 1},
		{"half way", 100, 1000, 500, 55},
		{"just before the end", 100, 1000, 999, 99},
		{"at the end", 100, 1000, 1000, 100},
		{"long after", 100, 1000, MMX_TIME_NEVER / 4, 100},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		mmx_exit_target_t *target =
			mmx_exit_target_create(1, 2, 3, "t", "s");

		target->record.slots = cases[i].slots;
		target->warm_up = cases[i].warm_up;
		target->warm_since = 50;
		CU_ASSERT_EQUAL(
			mmx_exit_target_slots(target, 50 + cases[i].age),
			cases[i].expected);
		mmx_exit_target_destroy(target);
	}
}

typedef struct admit_case_t {
	const char *name;
	mmx_target_state_t state;
	bool stopped;
	unsigned int in_progress;
	unsigned int queued;
	mmx_time_t mean;
	mmx_time_t remaining;
	mmx_reason_t reason;
} admit_case_t;

/* Guards against work for a leaving target, and against a queue in which
 * requests wait only to expire. */
static void test_admit_(void)
{
	static const admit_case_t cases[] = {
		{"free slot", MMX_TARGET_WARM, false, 1, 0, 0, MS,
		 MMX_REASON_NONE},
		{"no time left", MMX_TARGET_WARM, false, 0, 0, 0, 0,
		 MMX_REASON_DEADLINE_EXCEEDED},
		{"stopped", MMX_TARGET_WARM, true, 0, 0, 0, MS,
		 MMX_REASON_DRAINING},
		{"draining", MMX_TARGET_DRAINING, false, 0, 0, 0, MS,
		 MMX_REASON_DRAINING},
		{"gone", MMX_TARGET_GONE, false, 0, 0, 0, MS,
		 MMX_REASON_DRAINING},
		{"queue with time enough", MMX_TARGET_WARM, false, 2, 3,
		 10 * MS, 61 * MS, MMX_REASON_NONE},
		{"queue longer than the remaining time", MMX_TARGET_WARM, false,
		 2, 3, 10 * MS, 59 * MS, MMX_REASON_OVERLOADED},
		{"queue full", MMX_TARGET_WARM, false, 2, MMX_EXIT_QUEUE_MAX, 0,
		 MMX_US_PER_S, MMX_REASON_OVERLOADED},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const admit_case_t *c = &cases[i];
		mmx_exit_target_t *target =
			mmx_exit_target_create(1, 2, 3, "t", "s");
		mmx_exit_request_t request = {
			.account = "",
			.share = {.ceiling_percent = 100},
			.remaining = c->remaining,
			.patience = c->remaining,
		};

		target->record.slots = 2;
		target->record.state = c->state;
		target->stopped = c->stopped;
		target->in_progress = c->in_progress;
		target->queued = c->queued;
		target->mean_service = c->mean;
		CU_ASSERT_EQUAL(mmx_exit_target_admit(target, &request, 0),
				c->reason);
		target->in_progress = 0;
		mmx_exit_target_destroy(target);
	}
}

/* Guards against a planned stop that entries do not hear of. */
static void test_report_(void)
{
	mmx_exit_target_t *target = mmx_exit_target_create(1, 2, 3, "t", "s");
	mmx_load_report_t report;

	target->record.slots = 4;
	target->record.state = MMX_TARGET_WARM;
	target->in_progress = 2;
	target->queued = 1;
	mmx_exit_target_report(target, &report);
	CU_ASSERT_EQUAL(report.state, MMX_TARGET_WARM);
	CU_ASSERT_EQUAL(report.in_progress + report.queued, 3);
	target->stopped = true;
	mmx_exit_target_report(target, &report);
	CU_ASSERT_EQUAL(report.state, MMX_TARGET_DRAINING);
	target->in_progress = 0;
	mmx_exit_target_destroy(target);
}

CU_TestInfo mmx_tests_exit_target[] = {
	{"slots of a cold target", test_slots_},
	{"admission", test_admit_},
	{"load report", test_report_},
	CU_TEST_INFO_NULL,
};
