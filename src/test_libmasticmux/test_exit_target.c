/* Tests of slots, queue, admission and retry budget of a target. */
#include "suites.h"

#include "private/exit_target.h"

#define MS MMX_US_PER_MS

typedef struct slots_case_t {
	const char *name;
	uint16_t slots;
	mmx_time_t warm_up;
	mmx_time_t age; /* time since the start of the ramp */
	unsigned int expected;
} slots_case_t;

/* Failure: a cold target gets its full load at once. */
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
		target->ramp_length = cases[i].warm_up;
		target->ramp_start = 50;
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

/*
 * Failures: a leaving target gets new requests; requests are queued although
 * they would expire before they start.
 */
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
			.max_wait = c->remaining,
		};

		target->record.slots = 2;
		target->record.state = c->state;
		target->stopped = c->stopped;
		target->in_progress = c->in_progress;
		target->queued = c->queued;
		target->mean_service_time = c->mean;
		CU_ASSERT_EQUAL(mmx_exit_target_admit(target, &request, 0),
				c->reason);
		target->in_progress = 0;
		mmx_exit_target_destroy(target);
	}
}

/* Failure: entries are not informed of a planned stop. */
static void test_report_(void)
{
	mmx_exit_target_t *target = mmx_exit_target_create(1, 2, 3, "t", "s");
	mmx_load_report_t report;

	target->record.slots = 4;
	target->record.state = MMX_TARGET_WARM;
	target->in_progress = 2;
	target->queued = 1;
	mmx_exit_target_report(target, 0, &report);
	CU_ASSERT_EQUAL(report.state, MMX_TARGET_WARM);
	CU_ASSERT_EQUAL(report.in_progress + report.queued, 3);
	target->stopped = true;
	mmx_exit_target_report(target, 0, &report);
	CU_ASSERT_EQUAL(report.state, MMX_TARGET_DRAINING);
	target->in_progress = 0;
	mmx_exit_target_destroy(target);
}

/* Failure: entries leave a target with a limit alone for longer than until its
 * next start, because of a queue that may be gone by then. */
static void test_report_of_limit_(void)
{
	static const struct {
		double rate;
		unsigned int queued;
		uint16_t wait_ms;
	} cases[] = {{2, 0, 501}, {2, 9, 501}, {0, 0, 4001}, {0, 16, 4001}};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		mmx_exit_target_t *target =
			mmx_exit_target_create(1, 2, 3, "t", "s");
		mmx_load_report_t report;

		target->record.slots = 4;
		target->queued = cases[i].queued;
		mmx_rate_limit_set(&target->rate_limit, cases[i].rate, 0);
		mmx_exit_target_report(target, 0, &report);
		CU_ASSERT_EQUAL(report.wait_ms, cases[i].wait_ms);
		mmx_exit_target_destroy(target);
	}
}

#define SHORT_ROUTE 1
#define LONG_ROUTE 2

/*
 * Short calls that other services wait for share the slots of a target with
 * long requests. Failures: short calls are refused because the mean run time of
 * all requests leaves no headroom; long requests are admitted although they
 * cannot finish in time; a request waits longer than its entry allows.
 */
static void test_short_calls_beside_long_requests_(void)
{
	static const struct {
		const char *name;
		uint32_t route;
		mmx_time_t remaining;
		mmx_time_t max_wait;
		mmx_reason_t reason;
	} cases[] = {
		{"short call", SHORT_ROUTE, 400 * MS, 400 * MS,
		 MMX_REASON_NONE},
		{"long request", LONG_ROUTE, 400 * MS, 400 * MS,
		 MMX_REASON_OVERLOADED},
		{"long request with enough time", LONG_ROUTE, 2000 * MS,
		 2000 * MS, MMX_REASON_NONE},
		{"longest wait too short", SHORT_ROUTE, 400 * MS, 40 * MS,
		 MMX_REASON_BUSY},
		{"unknown route", 3, 400 * MS, 400 * MS, MMX_REASON_OVERLOADED},
	};
	mmx_exit_target_t *target = mmx_exit_target_create(1, 2, 3, "t", "s");
	size_t i;
	int n;

	target->record.slots = 3;
	target->record.state = MMX_TARGET_WARM;
	target->in_progress = 3;
	for (n = 0; n < 100; n++) {
		mmx_exit_target_record_run_time(target, SHORT_ROUTE, 30 * MS,
						n);
		mmx_exit_target_record_run_time(target, LONG_ROUTE, 500 * MS,
						n);
	}
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		mmx_exit_request_t request = {
			.account = "",
			.share = {.ceiling_percent = 100},
			.remaining = cases[i].remaining,
			.max_wait = cases[i].max_wait,
			.route = cases[i].route,
		};

		if (mmx_exit_target_admit(target, &request, 0) !=
		    cases[i].reason)
			printf("%s: %s\n", cases[i].name,
			       mmx_reason_string[mmx_exit_target_admit(
				       target, &request, 0)]);
		CU_ASSERT_EQUAL(mmx_exit_target_admit(target, &request, 0),
				cases[i].reason);
	}
	target->in_progress = 0;
	mmx_exit_target_destroy(target);
}

/*
 * Failures: urgent requests wait behind others; requests of equal priority do
 * not start in the order of their arrival.
 */
static void test_priorities_(void)
{
	static const struct {
		const char *name;
		uint8_t priorities[4];
		int expected[4]; /* indexes into priorities */
	} cases[] = {
		{"equal", {1, 1, 1, 1}, {0, 1, 2, 3}},
		{"urgent last", {2, 2, 2, 0}, {3, 0, 1, 2}},
		{"mixed", {2, 1, 2, 1}, {1, 3, 0, 2}},
	};
	size_t i;
	int n;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		mmx_exit_target_t *target =
			mmx_exit_target_create(1, 2, 3, "t", "s");
		mmx_attempt_t attempts[4] = {0};

		target->record.slots = 1;
		for (n = 0; n < 4; n++) {
			attempts[n].share.ceiling_percent = 100;
			attempts[n].execute = mmx_new_execute();
			attempts[n].execute->priority = cases[i].priorities[n];
			mmx_exit_target_enqueue(target, &attempts[n], 0);
		}
		for (n = 0; n < 4; n++) {
			mmx_attempt_t *next =
				mmx_exit_target_next_queued(target, 0);

			CU_ASSERT_PTR_EQUAL(next,
					    &attempts[cases[i].expected[n]]);
			mmx_exit_target_dequeue(target, next);
		}
		for (n = 0; n < 4; n++)
			mmx_message_destroy(&attempts[n].execute->message);
		mmx_exit_target_destroy(target);
	}
}

static mmx_attempt_t *enqueue_(mmx_exit_target_t *target,
			       mmx_attempt_t *attempt, mmx_time_t objective,
			       mmx_time_t now)
{
	attempt->share.ceiling_percent = 100;
	attempt->execute = mmx_new_execute();
	attempt->execute->priority = 1;
	attempt->execute->objective = objective;
	attempt->execute->remaining = 2 * objective;
	mmx_exit_target_enqueue(target, attempt, now);
	return attempt;
}

/*
 * Long requests use all slots of a service, and other services make short calls
 * to it for requests of the same priority. Failures: short calls are refused
 * because of the length of the queue, although they would overtake it, and so
 * the requests that wait for them fail; long requests never start because short
 * calls overtake them.
 */
static void test_short_calls_at_a_busy_service_(void)
{
	enum { LONG = 2500 * MS, SHORT = 400 * MS, QUEUED = 6 };
	static const struct {
		const char *name;
		mmx_time_t now; /* after the long requests were queued */
		mmx_reason_t reason;
		bool first; /* the call starts before the long requests */
	} cases[] = {
		{"the queue is new", 0, MMX_REASON_NONE, true},
		{"the queue has waited", 2000 * MS, MMX_REASON_NONE, true},
		{"the soft deadlines of the queue are earlier", 2200 * MS,
		 MMX_REASON_BUSY, false},
	};
	size_t i;
	int n;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		mmx_exit_target_t *target =
			mmx_exit_target_create(1, 2, 3, "t", "s");
		mmx_attempt_t attempts[QUEUED + 1] = {0};
		mmx_exit_request_t request = {
			.account = "",
			.share = {.ceiling_percent = 100},
			.remaining = 1200 * MS,
			.max_wait = 200 * MS,
			.priority = 1,
			.objective = SHORT,
			.route = SHORT_ROUTE,
		};
		mmx_attempt_t *call;

		target->record.slots = 5;
		target->record.state = MMX_TARGET_WARM;
		target->in_progress = 5;
		for (n = 0; n < 100; n++) {
			mmx_exit_target_record_run_time(target, SHORT_ROUTE,
							100 * MS, n);
			mmx_exit_target_record_run_time(target, LONG_ROUTE,
							700 * MS, n);
		}
		for (n = 0; n < QUEUED; n++)
			enqueue_(target, &attempts[n], LONG, 0);
		CU_ASSERT_EQUAL(
			mmx_exit_target_admit(target, &request, cases[i].now),
			cases[i].reason);
		call = enqueue_(target, &attempts[QUEUED], SHORT, cases[i].now);
		CU_ASSERT_EQUAL(mmx_exit_target_next_queued(
					target, cases[i].now) == call,
				cases[i].first);
		for (n = 0; n <= QUEUED; n++) {
			mmx_exit_target_dequeue(target, &attempts[n]);
			mmx_message_destroy(&attempts[n].execute->message);
		}
		target->in_progress = 0;
		mmx_exit_target_destroy(target);
	}
}

static int take_retries_(mmx_exit_target_t *target, uint32_t route,
			 mmx_time_t now)
{
	int taken = 0;

	while (taken < 1000 && mmx_exit_target_take_retry(target, route, now))
		taken++;
	return taken;
}

/*
 * A target serves many short calls and a few long requests that call other
 * services, and the long requests fail. Failure: retries of long requests use
 * the budget that short calls have earned, although the calls of each retry
 * count as retries at the called services as well.
 */
static void test_failing_long_requests_(void)
{
	static const struct {
		const char *name;
		int calls;	   /* short calls before */
		int requests;	   /* long requests before */
		int long_retries;  /* allowed for long requests */
		int short_retries; /* then allowed for short calls */
	} cases[] = {
		{"only a part of the reserve", 0, 0, 4, 4},
		{"short calls add nothing for long requests", 100, 0, 4, 24},
		{"long requests add their share", 100, 20, 8, 24},
		{"the service's budget bounds all routes", 0, 20, 8, 4},
	};
	mmx_retry_limit_t limit = {20, 800, 10 * MMX_US_PER_S};
	size_t i;
	int n;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		mmx_exit_target_t *target =
			mmx_exit_target_create(1, 2, 3, "t", "s");
		int long_retries;
		int short_retries;

		mmx_exit_target_set_retry_limit(target, &limit);
		for (n = 0; n < cases[i].calls; n++)
			mmx_exit_target_record_request(target, SHORT_ROUTE, 0,
						       0);
		for (n = 0; n < cases[i].requests; n++)
			mmx_exit_target_record_request(target, LONG_ROUTE, 0,
						       0);
		long_retries = take_retries_(target, LONG_ROUTE, 0);
		short_retries = take_retries_(target, SHORT_ROUTE, 0);
		if (long_retries != cases[i].long_retries ||
		    short_retries != cases[i].short_retries)
			printf("%s: %d, %d\n", cases[i].name, long_retries,
			       short_retries);
		CU_ASSERT_EQUAL(long_retries, cases[i].long_retries);
		CU_ASSERT_EQUAL(short_retries, cases[i].short_retries);
		mmx_exit_target_destroy(target);
	}
}

/*
 * Repeated runs of other services call this one. Failure: their calls earn
 * retries, although they count as retries themselves, so that the fleet makes
 * more retries than its limit.
 */
static void test_calls_of_retries_(void)
{
	static const struct {
		const char *name;
		int calls;
		uint8_t repeat_percent; /* of each call */
		int retries;		/* allowed then */
	} cases[] = {
		{"calls of first runs", 100, 0, 28},
		{"some calls of repeated runs", 100, 10, 16},
		{"one call in four", 20, 25, 6},
		{"only calls of repeated runs", 5, 100, 3},
	};
	mmx_retry_limit_t limit = {20, 800, 10 * MMX_US_PER_S};
	size_t i;
	int n;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		mmx_exit_target_t *target =
			mmx_exit_target_create(1, 2, 3, "t", "s");
		int retries;

		mmx_exit_target_set_retry_limit(target, &limit);
		for (n = 0; n < cases[i].calls; n++)
			mmx_exit_target_record_request(
				target, 0, cases[i].repeat_percent, 0);
		retries = take_retries_(target, 0, 5 * MMX_US_PER_S);
		if (retries != cases[i].retries)
			printf("%s: %d\n", cases[i].name, retries);
		CU_ASSERT_EQUAL(retries, cases[i].retries);
		mmx_exit_target_destroy(target);
	}
}

/*
 * Load pattern: a wave of long requests at one target. Guards against a report
 * that counts requests instead of their remaining work, and against work that is
 * reported before anything is known or for an attempt that has ended.
 */
static void test_work_(void)
{
	enum { COUNT = 4 };
	mmx_exit_target_t *target = mmx_exit_target_create(1, 2, 3, "t", "s");
	mmx_attempt_t attempts[COUNT] = {0};
	mmx_cost_key_t brief = {SHORT_ROUTE, MMX_COST_BODY_NONE};
	mmx_cost_key_t lengthy = {LONG_ROUTE, MMX_COST_BODY_NONE};
	mmx_load_report_t report = {0};
	int n;

	target->record.slots = 2;
	for (n = 0; n < COUNT; n++) {
		attempts[n].id.sequence = (uint64_t)n;
		attempts[n].cost_key = n < 2 ? brief : lengthy;
		TAILQ_INSERT_TAIL(n == COUNT - 1 ? &target->queue
						 : &target->running,
				  &attempts[n], queue_entry);
	}
	mmx_exit_target_report_work(target, NULL, 0, &report);
	CU_ASSERT_EQUAL(report.work_ms, 0);
	for (n = 0; n < 100; n++) {
		mmx_cost_add(target->cost, brief, 100 * MS, 0);
		mmx_cost_add(target->cost, lengthy, 700 * MS, 0);
	}
	mmx_exit_target_report_work(target, NULL, 0, &report);
	CU_ASSERT_EQUAL(report.work_ms, (2 * 100 + 700 + 700) / 2);
	CU_ASSERT_EQUAL(report.run_ms, 400);
	mmx_exit_target_report_work(target, &attempts[2].id, 0, &report);
	CU_ASSERT_EQUAL(report.work_ms, (2 * 100 + 700) / 2);
	TAILQ_INIT(&target->running);
	TAILQ_INIT(&target->queue);
	mmx_exit_target_report_work(target, NULL, 0, &report);
	CU_ASSERT_EQUAL(report.work_ms, 1);
	mmx_exit_target_destroy(target);
}

CU_TestInfo mmx_tests_exit_target[] = {
	{"outstanding work", test_work_},
	{"calls of retries earn no retries", test_calls_of_retries_},
	{"failing long requests", test_failing_long_requests_},
	{"short calls at a busy service", test_short_calls_at_a_busy_service_},
	{"short calls beside long requests",
	 test_short_calls_beside_long_requests_},
	{"priorities in the queue", test_priorities_},
	{"slots of a cold target", test_slots_},
	{"admission", test_admit_},
	{"load report", test_report_},
	{"load report with a limit", test_report_of_limit_},
	CU_TEST_INFO_NULL,
};
