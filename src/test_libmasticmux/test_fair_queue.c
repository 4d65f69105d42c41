/* Tests of the order of a queue by the use of limits, and of evictions. */
#include "suites.h"

#include "exit_script.h"
#include "masticmux/random.h"
#include "private/exit_target.h"

#define MS MMX_US_PER_MS
/* Attempts in a queue from which one is removed for each that is added. */
#define QUEUED 40
/* Steps before each pattern: one slot, and a mean run time of 100 ms. */
#define START "warm; execute n=1; wait ms=100; head end; execute ms=9000 n=2; "
#define START_TRACE "call1 response1:200:end call2 "
#define FLOOD " ms=9000 max-wait=250 objective=500 use=1000; "
#define USUAL " ms=9000 max-wait=250 objective=500 use=100; "
#define SHORT " ms=9000 max-wait=9000 objective=9; "

/*
 * Failures: an account that uses its whole limit is served before others; an
 * attempt that others have overtaken is kept until its time is over; a request
 * is admitted behind more requests than it was judged by; attempts are evicted
 * because of accounts without limits.
 */
static void test_patterns_(void)
{
	static const script_case_t cases[] = {
		{"one account floods a service",
		 START "execute n=11" FLOOD "execute n=12" FLOOD
		       "execute n=3" USUAL "execute n=13" FLOOD "head n=2 end",
		 START_TRACE "refused12:busy refused13:busy "
			     "response2:200:end call3 "},
		{"many small accounts beside two large ones",
		 START "execute n=11" FLOOD "execute n=12" FLOOD
		       "execute n=3" USUAL "execute n=4" USUAL
		       "execute n=5" USUAL
		       "head n=2 end; head n=3 end; evictions",
		 START_TRACE "refused12:busy refused11:busy refused5:busy "
			     "response2:200:end call3 response3:200:end "
			     "call4 evictions:2 "},
		{"two priorities",
		 START "execute n=3 priority=1" USUAL "execute n=11" FLOOD
		       "head n=2 end; head n=11 end",
		 START_TRACE "response2:200:end call11 response11:200:end "
			     "call3 "},
		{"a burst of uploads beside reads",
		 START "execute n=11 ms=9000 max-wait=9000 objective=2000 "
		       "use=1000; execute n=3" USUAL "head n=2 end; "
		       "wait ms=3600; execute n=4" USUAL
		       "head n=3 end; head n=11 end",
		 START_TRACE "response2:200:end call3 response3:200:end "
			     "call11 response11:200:end call4 "},
		{"all at their limit",
		 START "execute n=11" FLOOD "execute n=12" FLOOD
		       "execute n=13" FLOOD "head n=2 end; head n=11 end",
		 START_TRACE "refused13:busy response2:200:end call11 "
			     "response11:200:end call12 "},
		{"the deadline instead of the longest wait",
		 START "execute n=11 ms=620 max-wait=620 objective=500 use=9; "
		       "execute n=3" SHORT "execute n=4" SHORT
		       "execute n=5" SHORT "execute n=6" SHORT
		       "execute n=7" SHORT,
		 START_TRACE "refused11:busy "},
		{"accounts without limits",
		 START "execute n=11 ms=9000 max-wait=250 objective=3000; "
		       "execute n=12 ms=9000 max-wait=250 objective=3000; "
		       "execute n=3 ms=9000 max-wait=250 objective=100; "
		       "head n=2 end; head n=3 end; head n=11 end",
		 START_TRACE "response2:200:end call3 response3:200:end "
			     "call11 response11:200:end call12 "},
	};

	exit_script_run(cases, G_N_ELEMENTS(cases), &exit_script_names);
}

/*
 * Failures: a full queue evicts another attempt than the one whose account uses
 * most of its limit, more than one, one of a more urgent priority, or one of an
 * account without a limit.
 */
static void test_full_queue_(void)
{
	static const struct {
		const char *name;
		const char *fill; /* all queued attempts but one */
		const char *one;  /* attempt 999 */
		const char *new;  /* attempt 1000 */
		const char *trace;
	} cases[] = {
		{"largest use", "use=500", "use=900", "use=100",
		 "call1 refused999:busy "},
		{"largest use is not the last", "use=500",
		 "use=900 objective=300", "", "call1 refused999:busy "},
		{"of equals the last", "use=500", "use=500", "use=100",
		 "call1 refused999:busy "},
		{"least urgent priority", "use=500", "use=100 priority=1",
		 "use=50", "call1 refused999:busy "},
		{"not that of a more urgent one", "priority=1 use=500",
		 "use=900 objective=400", "priority=1 use=100",
		 "call1 refused256:busy "},
		{"largest use is that of the new request", "use=500", "use=500",
		 "use=1000 objective=100", "call1 refused1000:busy "},
		{"the new request would be the last", "use=500", "use=500",
		 "use=1000", "call1 refused1000:overloaded "},
		{"no limits", "", "", "objective=100", "call1 "},
		{"only one has a limit", "", "use=10", "objective=100",
		 "call1 refused999:busy "},
	};
	GString *script = g_string_new("");
	script_case_t c;
	size_t i;
	int n;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_string_assign(script, "warm; execute n=1");
		for (n = 2; n <= MMX_EXIT_QUEUE_MAX; n++)
			g_string_append_printf(script,
					       "; execute n=%d %s "
					       "objective=500",
					       n, cases[i].fill);
		g_string_append_printf(script,
				       "; execute n=999 %s objective=500"
				       "; execute n=1000 %s objective=500",
				       cases[i].one, cases[i].new);
		c = (script_case_t){cases[i].name, script->str, cases[i].trace};
		exit_script_run(&c, 1, &exit_script_names);
	}
	g_string_free(script, TRUE);
}

static mmx_exit_target_t *create_(mmx_random_t *random)
{
	mmx_exit_target_t *target = mmx_exit_target_create(1, 2, 3, "t", "s");

	target->record.slots = 1;
	target->in_progress = 1;
	target->mean_service_time = 10 * MS;
	mmx_random_seed(random, 7);
	return target;
}

static void remove_(mmx_attempt_t *attempt)
{
	mmx_exit_target_dequeue(attempt->target, attempt);
	mmx_message_destroy(&attempt->execute->message);
	g_free(attempt);
}

static void destroy_(mmx_exit_target_t *target)
{
	while (!TAILQ_EMPTY(&target->queue))
		remove_(TAILQ_FIRST(&target->queue));
	target->in_progress = 0;
	mmx_exit_target_destroy(target);
}

/* Queues an attempt at random. use: of its limit, one of two */
static mmx_attempt_t *add_(mmx_exit_target_t *target, mmx_random_t *random,
			   uint8_t priorities, const uint16_t use[2],
			   mmx_time_t now)
{
	static const mmx_time_t objectives[] = {20 * MS, 0, 500 * MS};
	mmx_attempt_t *attempt = g_new0(mmx_attempt_t, 1);
	mmx_execute_t *execute = attempt->execute = mmx_new_execute();

	attempt->target = target;
	attempt->share.ceiling_percent = 100;
	attempt->arrived = now;
	execute->priority = (uint8_t)mmx_random_below(random, priorities);
	execute->objective = objectives[mmx_random_below(random, priorities)];
	execute->remaining = (mmx_time_t)mmx_random_below(random, 2000) * MS;
	execute->account_use = use[mmx_random_below(random, 2)];
	mmx_exit_target_enqueue(target, attempt, now);
	return attempt;
}

static const uint16_t unknown_[2];
static const uint16_t limited_[2] = {1, 990};

/* The order before accounts had limits: priority, soft deadline, arrival. */
static bool was_before_(const mmx_attempt_t *a, const mmx_attempt_t *b)
{
	const mmx_execute_t *x = a->execute;
	const mmx_execute_t *y = b->execute;
	mmx_time_t of_a =
		a->arrived + (x->objective ? x->objective : x->remaining);
	mmx_time_t of_b =
		b->arrived + (y->objective ? y->objective : y->remaining);

	if (x->priority != y->priority)
		return x->priority < y->priority;
	return of_a != of_b ? of_a < of_b : a->arrived < b->arrived;
}

/* Failure: admission differs from before although no use is known. */
static void check_admission_(mmx_exit_target_t *target, mmx_attempt_t *attempt,
			     unsigned int ahead, bool is_short)
{
	mmx_time_t now = attempt->arrived;
	mmx_exit_request_t request = {
		.account = "",
		.share = attempt->share,
		.priority = attempt->execute->priority,
		.objective = attempt->execute->objective,
		.remaining = attempt->execute->remaining + 1,
		.max_wait = (ahead + 1) * 10 * MS - is_short,
	};
	mmx_time_t least = MAX(ahead + 5, 2 * (ahead + 1)) * 10 * MS;

	CU_ASSERT_PTR_NULL(mmx_exit_target_displaced(target, attempt, now));
	mmx_exit_target_dequeue(target, attempt);
	CU_ASSERT_EQUAL(mmx_exit_target_admit(target, &request, now) ==
				MMX_REASON_NONE,
			!is_short && least <= request.remaining);
	mmx_exit_target_enqueue(target, attempt, now);
}

/* Failure: the order differs from before although no use is known. */
static void test_without_use_(void)
{
	mmx_random_t random;
	mmx_exit_target_t *target = create_(&random);
	mmx_attempt_t *attempt;
	mmx_attempt_t *next;
	unsigned int ahead;
	int step;

	for (step = 1; step <= 20000; step++) {
		attempt = add_(target, &random, 3, unknown_, step * MS);
		ahead = 0;
		TAILQ_FOREACH (next, &target->queue, queue_entry)
			ahead += was_before_(next, attempt);
		check_admission_(target, attempt, ahead, step % 2);
		attempt = TAILQ_FIRST(&target->queue);
		if (target->queued < QUEUED)
			continue;
		TAILQ_FOREACH (next, &target->queue, queue_entry)
			CU_ASSERT_FALSE(was_before_(next, attempt));
		remove_(attempt);
	}
	destroy_(target);
}

/*
 * Failure: an account that uses its whole limit is starved: requests that
 * arrive more than one objective later overtake its own.
 */
static void test_wait_is_bounded_(void)
{
	mmx_random_t random;
	mmx_exit_target_t *target = create_(&random);
	const mmx_attempt_t *next;
	mmx_attempt_t *first;
	mmx_time_t longest = 0;
	int step;

	for (step = 1; step <= 20000; step++) {
		add_(target, &random, 1, limited_, step * MS);
		first = TAILQ_FIRST(&target->queue);
		if (target->queued < QUEUED)
			continue;
		TAILQ_FOREACH (next, &target->queue, queue_entry)
			longest = MAX(longest, first->arrived - next->arrived);
		remove_(first);
	}
	/* The order takes effect, and no more than that. */
	CU_ASSERT_TRUE(longest > 15 * MS && longest <= 20 * MS);
	destroy_(target);
}

/* Failures: an attempt of an account under its floor is evicted; a request of
 * one is refused in favour of others. */
static void test_floor_(void)
{
	mmx_random_t random;
	mmx_exit_target_t *target = create_(&random);
	mmx_fair_queue_place_t urgent = {.priority = 0};
	mmx_exit_request_t request = {.account = "a",
				      .share = {.ceiling_percent = 100},
				      .account_use = 1000,
				      .objective = MS,
				      .remaining = MMX_US_PER_S,
				      .max_wait = MMX_US_PER_S};
	mmx_attempt_t *first;
	mmx_attempt_t *last;

	target->mean_service_time = 0;
	while (target->queued < MMX_EXIT_QUEUE_MAX)
		add_(target, &random, 1, limited_, 0);
	CU_ASSERT_EQUAL(mmx_exit_target_admit(target, &request, 0),
			MMX_REASON_BUSY);
	request.share.floor_percent = 50;
	CU_ASSERT_EQUAL(mmx_exit_target_admit(target, &request, 0),
			MMX_REASON_NONE);
	first = TAILQ_FIRST(&target->queue);
	last = TAILQ_LAST(&target->queue, mmx_attempt_list_t);
	last->under_floor = true;
	CU_ASSERT_PTR_NOT_EQUAL(mmx_fair_queue_victim(&target->queue, &urgent),
				last);
	/* None may wait at all. */
	TAILQ_NEXT(first, queue_entry)->under_floor = true;
	CU_ASSERT_PTR_NOT_EQUAL(mmx_exit_target_displaced(target, first, 1),
				TAILQ_NEXT(first, queue_entry));
	destroy_(target);
}

CU_TestInfo mmx_tests_fair_queue[] = {
	{"load patterns", test_patterns_},
	{"a full queue", test_full_queue_},
	{"no use of a limit is known", test_without_use_},
	{"the wait is bounded", test_wait_is_bounded_},
	{"accounts under their floor", test_floor_},
	CU_TEST_INFO_NULL,
};
