/*
 * Tests of the queue of the exit, of failure episodes and of retries, with
 * scripts of messages. The trace shows what the exit sends to the target client
 * ("call") and to the entry.
 */
#include "suites.h"

#include "fakes.h"
#include "private/exit.h"

#define NODE 20
#define ENTRY 10
#define MS MMX_US_PER_MS
#define RUN_MS 100
#define SLOTS 2

typedef struct fixture_t {
	mmx_runtime_t *runtime;
	mmx_exit_t *exit;
	fake_t client;
	fake_t origin;
	GString *trace;
	uint32_t reserve; /* of the retry budget, hundredths of a retry */
} fixture_t;

static void target_changed_(void *context, const mmx_target_record_t *record)
{
	(void)context;
	(void)record;
}

static void retry_limit_(void *context, const char *service,
			 mmx_retry_limit_t *limit)
{
	const fixture_t *fixture = context;

	(void)service;
	limit->percent = 20;
	limit->reserve = fixture->reserve;
	limit->window = 10 * MMX_US_PER_S;
}

static const mmx_exit_observer_ops_t observer_ = {
	.target_changed = target_changed_,
	.retry_limit = retry_limit_,
};

static mmx_attempt_id_t attempt_id_(char **words)
{
	return (mmx_attempt_id_t){
		.entry = ENTRY,
		.incarnation = 1,
		.sequence = (uint64_t)fake_number(words, "n", 1),
	};
}

static void execute_(fixture_t *fixture, char **words)
{
	mmx_execute_t *execute = mmx_new_execute();

	execute->attempt = attempt_id_(words);
	execute->exit = NODE;
	execute->target = mmx_directory_id("node", "t");
	g_strlcpy(execute->service, "s", sizeof(execute->service));
	execute->repeatable = !fake_flag(words, "post");
	execute->repeat = fake_flag(words, "repeat");
	execute->granted = fake_flag(words, "granted");
	execute->remaining = fake_number(words, "ms", 1000) * MS;
	execute->max_wait = fake_number(words, "patience", 450) * MS;
	execute->objective = 500 * MS;
	execute->account_use = (uint16_t)fake_number(words, "use", 0);
	execute->route = 1;
	execute->head = mmx_head_create_request("POST", "/");
	execute->body_end = true;
	execute->origin.task = &fixture->origin.task;
	mmx_task_post(mmx_exit_task(fixture->exit), &execute->message);
}

static void head_(fixture_t *fixture, char **words)
{
	mmx_attempt_id_t id = attempt_id_(words);
	mmx_call_event_t *event = mmx_new_call_event(&id, MMX_CALL_HEAD);

	event->head = mmx_head_create_response(200);
	event->body_end = true;
	mmx_task_post(mmx_exit_task(fixture->exit), &event->message);
}

static void fail_(fixture_t *fixture, char **words)
{
	mmx_attempt_id_t id = attempt_id_(words);

	mmx_task_post(mmx_exit_task(fixture->exit),
		      &mmx_new_call_event(&id, MMX_CALL_FAILED)->message);
}

static void announce_(fixture_t *fixture, mmx_target_state_t state,
		      uint16_t slots)
{
	mmx_target_announced_t *announced = mmx_new_target_announced();

	g_strlcpy(announced->name, "t", sizeof(announced->name));
	g_strlcpy(announced->service, "s", sizeof(announced->service));
	announced->slots = slots;
	announced->state = state;
	announced->cold_left = 3 * MMX_US_PER_S;
	announced->lease = 3600 * MMX_US_PER_S;
	mmx_task_post(mmx_exit_task(fixture->exit), &announced->message);
}

static void run_step_(char **words, void *arg)
{
	fixture_t *fixture = arg;

	if (g_str_equal(words[0], "execute"))
		execute_(fixture, words);
	else if (g_str_equal(words[0], "head"))
		head_(fixture, words);
	else if (g_str_equal(words[0], "fail"))
		fail_(fixture, words);
	else if (g_str_equal(words[0], "slots"))
		announce_(fixture, MMX_TARGET_WARM,
			  (uint16_t)fake_number(words, "n", SLOTS));
	else if (g_str_equal(words[0], "end"))
		mmx_exit_set_end(
			fixture->exit,
			mmx_clock_now(mmx_runtime_clock(fixture->runtime)) +
				fake_number(words, "ms", 1) * MS);
	else if (g_str_equal(words[0], "wait"))
		mmx_clock_advance(mmx_runtime_clock(fixture->runtime),
				  fake_number(words, "ms", 1) * MS);
	else
		CU_FAIL("unknown step");
	mmx_runtime_deliver(fixture->runtime);
}

/* A warm target that has completed 40 requests in RUN_MS each. */
static void start_warm_(fixture_t *fixture)
{
	int n;

	announce_(fixture, MMX_TARGET_WARM, SLOTS);
	for (n = 0; n < 20; n++) {
		fake_run("execute n=1000; wait ms=100; head n=1000", run_step_,
			 fixture);
		fake_run("execute n=1001; wait ms=100; head n=1001", run_step_,
			 fixture);
	}
	g_string_truncate(fixture->trace, 0);
}

/* A cold target without known run times. */
static void start_cold_(fixture_t *fixture)
{
	announce_(fixture, MMX_TARGET_COLD, SLOTS);
	mmx_runtime_deliver(fixture->runtime);
}

static void run_cases_from_(const script_case_t *cases, size_t count,
			    uint32_t reserve, void (*start)(fixture_t *fixture),
			    uint8_t cold_percent)
{
	size_t i;

	for (i = 0; i < count; i++) {
		fixture_t fixture = {.trace = g_string_new(""),
				     .reserve = reserve};

		fixture.runtime = mmx_runtime_create(NULL);
		fake_init(&fixture.client, fixture.runtime, fixture.trace);
		fake_init(&fixture.origin, fixture.runtime, fixture.trace);
		fixture.exit =
			mmx_exit_create(fixture.runtime, NODE, "node", 1);
		mmx_exit_set_target_client(fixture.exit, &fixture.client.task);
		mmx_exit_set_observer(fixture.exit, &observer_, &fixture);
		mmx_exit_set_expect_episodes(fixture.exit, true);
		mmx_exit_set_cold_percent(fixture.exit, cold_percent);
		mmx_exit_init(fixture.exit);
		start(&fixture);
		fake_run(cases[i].script, run_step_, &fixture);
		fake_compare(&cases[i], fixture.trace);
		mmx_exit_destroy(fixture.exit);
		mmx_runtime_destroy(fixture.runtime);
		g_string_free(fixture.trace, TRUE);
	}
}

static void run_cases_(const script_case_t *cases, size_t count,
		       uint32_t reserve)
{
	run_cases_from_(cases, count, reserve, start_warm_, 100);
}

/*
 * A target accepts requests and never answers. Failures: it gets further
 * requests that are not repeatable; reads wait behind requests that never end;
 * a target that answers is avoided because of one slow request.
 */
static void test_hung_target_(void)
{
	static const script_case_t cases[] = {
		{"run time as usual", "execute; wait ms=110; execute n=2 post",
		 "call1 call2 "},
		{"one request is overdue",
		 "execute; wait ms=400; execute n=2 post",
		 "call1 refused2:suspect "},
		{"a read tests the target", "execute; wait ms=400; execute n=2",
		 "call1 call2 "},
		{"reads use a part of many slots while others are full",
		 "slots n=8; wait ms=20000; execute ms=5000; wait ms=900; "
		 "execute n=2; execute n=3; execute n=4 post",
		 "call1 evidence call2 refused3:suspect refused4:suspect "},
		{"both are overdue, the queue is refused",
		 "execute; execute n=2; execute n=3; wait ms=400",
		 "call1 call2 evidence refused3:suspect "},
		{"several are queued",
		 "execute n=11; execute n=12; execute n=3; execute n=4; "
		 "execute n=5; wait ms=400",
		 "call11 call12 evidence refused3:suspect refused4:suspect "
		 "refused5:suspect "},
		/* The request was reported as overdue before. At its deadline,
		 * after 12 s, the episode is over. */
		{"the time-out of an overdue request is no new evidence",
		 "execute ms=12000; wait ms=12000; fail; execute n=2 post",
		 "call1 refused1:target-failed:started call2 "},
		{"an overdue request completes",
		 "execute; wait ms=400; head; execute n=2; wait ms=100; "
		 "head n=2; execute n=3 post",
		 "call1 response1:200:end call2 response2:200:end call3 "},
	};

	run_cases_(cases, G_N_ELEMENTS(cases), 0);
}

/*
 * Long requests hold all slots. Failure: a queued request waits until its
 * deadline has passed, so that its entry can neither send it to another target
 * nor report that it has not run.
 */
static void test_late_in_queue_(void)
{
	static const script_case_t cases[] = {
		{"refused while there is time for another target",
		 "execute ms=5000; execute n=2 ms=5000; "
		 "execute n=3 ms=300 patience=300; wait ms=190; wait ms=20",
		 "call1 call2 evidence refused3:time-short "},
		{"not refused earlier",
		 "execute ms=5000; execute n=2 ms=5000; "
		 "execute n=3 ms=300 patience=300; wait ms=140; head; "
		 "wait ms=100",
		 "call1 call2 response1:200:end call3 "},
		{"less than half of the run time is left", "execute ms=40",
		 "refused1:time-short "},
		{"more than half of the run time is left", "execute ms=60",
		 "call1 "},
	};

	run_cases_(cases, G_N_ELEMENTS(cases), 0);
}

/*
 * Failure: a process that stops starts a queued request shortly before its end,
 * which cuts the request off; its entry could have used another target.
 */
static void test_end_of_process_(void)
{
	static const script_case_t cases[] = {
		{"too little time is left for a queued request",
		 "execute; execute n=2; execute n=3 patience=900; end ms=200; "
		 "wait ms=60; head",
		 "call1 call2 response1:200:end refused3:draining "},
		{"enough time is left",
		 "execute; execute n=2; execute n=3 patience=900; end ms=900; "
		 "wait ms=60; head",
		 "call1 call2 response1:200:end call3 "},
		{"a slot is free", "end ms=150; execute", "call1 "},
	};

	run_cases_(cases, G_N_ELEMENTS(cases), 0);
}

/*
 * Some targets are suspect, and retries are needed at others. Failures: the
 * retry budget of suspect targets stays unused; a retry is charged twice or not
 * at all.
 */
static void test_grants_(void)
{
	static const script_case_t cases[] = {
		{"a suspect target grants its budget",
		 "execute; wait ms=400; execute n=2 repeat; "
		 "execute n=3 repeat; execute n=4 repeat",
		 "call1 refused2:suspect:grant refused3:suspect:grant "
		 "refused4:suspect:grant "},
		{"no grant for a request that has one",
		 "execute; wait ms=400; execute n=2 repeat granted",
		 "call1 refused2:suspect "},
		{"a repeat that is evicted keeps its charge",
		 "execute ms=5000; execute n=2 ms=5000; "
		 "execute n=3 repeat use=1000 patience=60; execute n=4 use=1; "
		 "execute n=5 use=1 patience=110",
		 "call1 call2 refused3:busy:grant "},
		{"no grant for a first attempt",
		 "execute; wait ms=400; execute n=2 post",
		 "call1 refused2:suspect "},
		{"a grant is charged",
		 "execute; wait ms=400; execute n=2 repeat; "
		 "execute n=3 repeat; execute n=4 repeat; execute n=5 repeat; "
		 "execute n=6 repeat; execute n=7 repeat; execute n=8 repeat; "
		 "execute n=9 repeat; execute n=10 repeat; execute n=11 repeat",
		 "call1 refused2:suspect:grant refused3:suspect:grant "
		 "refused4:suspect:grant refused5:suspect:grant "
		 "refused6:suspect:grant refused7:suspect:grant "
		 "refused8:suspect:grant refused9:suspect:grant "
		 "refused10:suspect refused11:suspect "},
		{"a granted retry is not charged again",
		 "execute repeat granted; wait ms=100; head; "
		 "execute n=2 repeat; wait ms=100; head n=2; "
		 "execute n=3 repeat; wait ms=100; head n=3; "
		 "execute n=4 repeat; wait ms=100; head n=4; "
		 "execute n=5 repeat; wait ms=100; head n=5; "
		 "execute n=6 repeat; wait ms=100; head n=6; "
		 "execute n=7 repeat; wait ms=100; head n=7; "
		 "execute n=8 repeat; wait ms=100; head n=8; "
		 "execute n=9 repeat; wait ms=100; head n=9; "
		 "execute n=10 repeat; execute n=11 repeat granted",
		 "call1 response1:200:end call2 response2:200:end "
		 "call3 response3:200:end call4 response4:200:end "
		 "call5 response5:200:end call6 response6:200:end "
		 "call7 response7:200:end call8 response8:200:end "
		 "call9 response9:200:end refused10:retry-budget call11 "},
	};

	/* 20% of 40 requests without a reserve: eight retries. */
	run_cases_(cases, G_N_ELEMENTS(cases), 0);
}

/*
 * Targets fail for some seconds repeatedly, and many entries have used each of
 * them. Failures: each change is sent to all these entries, mostly to other
 * regions; an entry still avoids a target that works again.
 */
static void test_suspect_notifications_(void)
{
	static const script_case_t cases[] = {
		{"an entry that has just used the target gets both changes",
		 "execute; execute n=2; wait ms=400; wait ms=20000",
		 "call1 call2 evidence evidence "},
		{"one whose last request is 6 s old gets neither",
		 "execute ms=10000; wait ms=6000; fail; wait ms=20000",
		 "call1 refused1:target-failed:started "},
		{"one that learned it from a response gets the end",
		 "execute ms=10000; wait ms=6000; fail; execute n=2 post; "
		 "wait ms=20000",
		 "call1 refused1:target-failed:started refused2:suspect "
		 "evidence "},
	};

	run_cases_(cases, G_N_ELEMENTS(cases), 0);
}

/*
 * After a power failure of all instances, all targets of a service start at the
 * same time. Failures: requests are refused while targets have free slots;
 * targets are avoided although they are only as slow as all cold ones.
 */
static void test_cold_targets_(void)
{
	static const script_case_t all[] = {
		{"all slots are used", "execute; execute n=2; execute n=3",
		 "call1 call2 "},
		{"slow responses are no failure",
		 "execute; execute n=2; wait ms=700; execute n=3 post; head; "
		 "head n=2",
		 "call1 call2 response1:200:end call3 response2:200:end "},
		{"no response is a failure",
		 "execute ms=5000; execute n=2 ms=5000; wait ms=900",
		 "call1 call2 evidence "},
	};
	static const script_case_t ramp[] = {
		{"the ramp limits the slots if it is configured",
		 "execute; execute n=2; wait ms=200; head; wait ms=50",
		 "call1 response1:200:end call2 "},
	};

	run_cases_from_(all, G_N_ELEMENTS(all), 0, start_cold_, 100);
	run_cases_from_(ramp, G_N_ELEMENTS(ramp), 0, start_cold_, 10);
}

CU_TestInfo mmx_tests_exit_queue[] = {
	{"a target that never answers", test_hung_target_},
	{"requests that are late in the queue", test_late_in_queue_},
	{"end of the process", test_end_of_process_},
	{"retry grants for another target", test_grants_},
	{"notifications of a suspect target", test_suspect_notifications_},
	{"all targets are cold", test_cold_targets_},
	CU_TEST_INFO_NULL,
};
