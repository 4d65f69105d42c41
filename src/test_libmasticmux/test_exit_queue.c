#include "suites.h"

#include "fakes.h"
#include "private/exit.h"

#define NODE 20
#define ENTRY 10
#define MS MMX_US_PER_MS
#define RUN_MS 100
#define SLOTS 2

typedef struct rig_t {
	mmx_runtime_t *runtime;
	mmx_exit_t *exit;
	fake_t client;
	fake_t origin;
	GString *trace;
	uint32_t reserve; /* of the retry budget, hundredths */
} rig_t;

static void target_changed_(void *context, const mmx_target_record_t *record)
{
	(void)context;
	(void)record;
}

static void retry_limit_(void *context, const char *service,
			 mmx_retry_limit_t *limit)
{
	const rig_t *rig = context;

	(void)service;
	limit->percent = 20;
	limit->reserve = rig->reserve;
	limit->window = 10 * MMX_US_PER_S;
}

static const mmx_exit_observer_ops_t observer_ = {
	.target_changed = target_changed_,
	.retry_limit = retry_limit_,
};

static mmx_attempt_id_t id_(char **words)
{
	return (mmx_attempt_id_t){
		.entry = ENTRY,
		.incarnation = 1,
		.sequence = (uint64_t)fake_number(words, "n", 1),
	};
}

static void execute_(rig_t *rig, char **words)
{
	mmx_execute_t *execute = mmx_new_execute();

	execute->attempt = id_(words);
	execute->exit = NODE;
	execute->target = mmx_directory_id("node", "t");
	g_strlcpy(execute->service, "s", sizeof(execute->service));
	execute->repeatable = !fake_flag(words, "post");
	execute->repeat = fake_flag(words, "repeat");
	execute->granted = fake_flag(words, "granted");
	execute->remaining = fake_number(words, "ms", 1000) * MS;
	execute->patience = fake_number(words, "patience", 450) * MS;
	execute->objective = 500 * MS;
	execute->route = 1;
	execute->head = mmx_head_create_request("POST", "/");
	execute->body_end = true;
	execute->origin.task = &rig->origin.task;
	mmx_task_post(mmx_exit_task(rig->exit), &execute->message);
}

static void head_(rig_t *rig, char **words)
{
	mmx_attempt_id_t id = id_(words);
	mmx_call_event_t *event = mmx_new_call_event(&id, MMX_CALL_HEAD);

	event->head = mmx_head_create_response(200);
	event->body_end = true;
	mmx_task_post(mmx_exit_task(rig->exit), &event->message);
}

static void fail_(rig_t *rig, char **words)
{
	mmx_attempt_id_t id = id_(words);

	mmx_task_post(mmx_exit_task(rig->exit),
		      &mmx_new_call_event(&id, MMX_CALL_FAILED)->message);
}

static void announce_(rig_t *rig, mmx_target_state_t state)
{
	mmx_target_announced_t *announced = mmx_new_target_announced();

	g_strlcpy(announced->name, "t", sizeof(announced->name));
	g_strlcpy(announced->service, "s", sizeof(announced->service));
	announced->slots = SLOTS;
	announced->state = state;
	announced->cold_left = 3 * MMX_US_PER_S;
	announced->lease = 3600 * MMX_US_PER_S;
	mmx_task_post(mmx_exit_task(rig->exit), &announced->message);
}

static void step_(char **words, void *arg)
{
	rig_t *rig = arg;

	if (g_str_equal(words[0], "execute"))
		execute_(rig, words);
	else if (g_str_equal(words[0], "head"))
		head_(rig, words);
	else if (g_str_equal(words[0], "fail"))
		fail_(rig, words);
	else if (g_str_equal(words[0], "wait"))
		mmx_clock_advance(mmx_runtime_clock(rig->runtime),
				  fake_number(words, "ms", 1) * MS);
	else
		CU_FAIL("unknown step");
	mmx_runtime_deliver(rig->runtime);
}

/* The target has answered this many requests in RUN_MS each. */
static void warm_up_(rig_t *rig)
{
	int n;

	announce_(rig, MMX_TARGET_WARM);
	for (n = 0; n < 20; n++) {
		fake_run("execute n=1000; wait ms=100; head n=1000", step_,
			 rig);
		fake_run("execute n=1001; wait ms=100; head n=1001", step_,
			 rig);
	}
	g_string_truncate(rig->trace, 0);
}

/* A target that has just started; nothing is known of its run times. */
static void cold_start_(rig_t *rig)
{
	announce_(rig, MMX_TARGET_COLD);
	mmx_runtime_deliver(rig->runtime);
}

static void run_from_(const script_case_t *cases, size_t count,
		      uint32_t reserve, void (*start)(rig_t *rig),
		      uint8_t cold_percent)
{
	size_t i;

	for (i = 0; i < count; i++) {
		rig_t rig = {.trace = g_string_new(""), .reserve = reserve};

		rig.runtime = mmx_runtime_create(NULL);
		fake_init(&rig.client, rig.runtime, rig.trace);
		fake_init(&rig.origin, rig.runtime, rig.trace);
		rig.exit = mmx_exit_create(rig.runtime, NODE, "node", 1);
		mmx_exit_set_target_client(rig.exit, &rig.client.task);
		mmx_exit_set_observer(rig.exit, &observer_, &rig);
		mmx_exit_set_expect_episodes(rig.exit, true);
		mmx_exit_set_cold_percent(rig.exit, cold_percent);
		mmx_exit_init(rig.exit);
		start(&rig);
		fake_run(cases[i].script, step_, &rig);
		fake_compare(&cases[i], rig.trace);
		mmx_exit_destroy(rig.exit);
		mmx_runtime_destroy(rig.runtime);
		g_string_free(rig.trace, TRUE);
	}
}

static void run_(const script_case_t *cases, size_t count, uint32_t reserve)
{
	run_from_(cases, count, reserve, warm_up_, 100);
}

/*
 * Load pattern: a target takes requests and answers none. Guards against
 * requests that may not be repeated and follow the first one into it; against
 * reads that wait behind requests which never end; and against a target that
 * is avoided for one slow request.
 */
static void test_hung_target_(void)
{
	static const script_case_t cases[] = {
		{"one request is usual",
		 "execute; wait ms=110; execute n=2 post", "call1 call2 "},
		{"one is overdue", "execute; wait ms=400; execute n=2 post",
		 "call1 refused2:suspect "},
		{"reads still test it", "execute; wait ms=400; execute n=2",
		 "call1 call2 "},
		{"both are overdue, what waits is given back",
		 "execute; execute n=2; execute n=3; wait ms=400",
		 "call1 call2 evidence refused3:suspect "},
		{"many wait",
		 "execute n=11; execute n=12; execute n=3; execute n=4; "
		 "execute n=5; wait ms=400",
		 "call11 call12 evidence refused3:suspect refused4:suspect "
		 "refused5:suspect "},
		/* At the deadline of a hung request its episode is over. */
		{"the end of its time is no new evidence",
		 "execute ms=12000; wait ms=12000; fail; execute n=2 post",
		 "call1 refused1:target-failed:started call2 "},
		{"it was only slow",
		 "execute; wait ms=400; head; execute n=2; wait ms=100; "
		 "head n=2; execute n=3 post",
		 "call1 response1:200:end call2 response2:200:end call3 "},
	};

	run_(cases, G_N_ELEMENTS(cases), 0);
}

/*
 * Load pattern: all slots are held for long. Guards against a request that
 * waits until its deadline has passed, so that its entry can neither send it
 * elsewhere nor say that it has not run.
 */
static void test_waits_in_vain_(void)
{
	static const script_case_t cases[] = {
		{"given back while a run still fits elsewhere",
		 "execute ms=5000; execute n=2 ms=5000; "
		 "execute n=3 ms=300 patience=300; wait ms=190; wait ms=20",
		 "call1 call2 evidence refused3:time-short "},
		{"not before",
		 "execute ms=5000; execute n=2 ms=5000; "
		 "execute n=3 ms=300 patience=300; wait ms=140; head; "
		 "wait ms=100",
		 "call1 call2 response1:200:end call3 "},
		{"less than half of a run is left", "execute ms=40",
		 "refused1:time-short "},
		{"more than half", "execute ms=60", "call1 "},
	};

	run_(cases, G_N_ELEMENTS(cases), 0);
}

/*
 * Load pattern: some targets are suspect, and repeats are wanted elsewhere.
 * Guards against allowance that is left over at targets that cannot use it,
 * and against a repeat that is charged twice or not at all.
 */
static void test_grants_(void)
{
	static const script_case_t cases[] = {
		{"a suspect target grants its allowance",
		 "execute; wait ms=400; execute n=2 repeat; "
		 "execute n=3 repeat; execute n=4 repeat",
		 "call1 refused2:suspect:grant refused3:suspect:grant "
		 "refused4:suspect:grant "},
		{"not to a request that has a grant",
		 "execute; wait ms=400; execute n=2 repeat granted",
		 "call1 refused2:suspect "},
		{"nor to one that is no repeat",
		 "execute; wait ms=400; execute n=2 post",
		 "call1 refused2:suspect "},
		{"what was granted is used",
		 "execute; wait ms=400; execute n=2 repeat; "
		 "execute n=3 repeat; execute n=4 repeat; execute n=5 repeat; "
		 "execute n=6 repeat; execute n=7 repeat; execute n=8 repeat; "
		 "execute n=9 repeat; execute n=10 repeat; execute n=11 repeat",
		 "call1 refused2:suspect:grant refused3:suspect:grant "
		 "refused4:suspect:grant refused5:suspect:grant "
		 "refused6:suspect:grant refused7:suspect:grant "
		 "refused8:suspect:grant refused9:suspect:grant "
		 "refused10:suspect refused11:suspect "},
		{"a granted repeat costs nothing here",
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

	/* 20% of 40 requests, and nothing besides: eight repeats. */
	run_(cases, G_N_ELEMENTS(cases), 0);
}

/*
 * Load pattern: targets fail for seconds, again and again, and many entries
 * have used each of them at some time. Guards against a message to all of them
 * at each change, most of which cross to other regions; and against an entry
 * that goes on to avoid a target which is sound again.
 */
static void test_suspicion_is_told_(void)
{
	static const script_case_t cases[] = {
		{"to an entry that has just used the target, and when it is over",
		 "execute; execute n=2; wait ms=400; wait ms=20000",
		 "call1 call2 evidence evidence "},
		{"not to one that used it long ago",
		 "execute ms=10000; wait ms=6000; fail; wait ms=20000",
		 "call1 refused1:target-failed:started "},
		{"when it is over also to one that a response told",
		 "execute ms=10000; wait ms=6000; fail; execute n=2 post; "
		 "wait ms=20000",
		 "call1 refused1:target-failed:started refused2:suspect "
		 "evidence "},
	};

	run_(cases, G_N_ELEMENTS(cases), 0);
}

/*
 * Load pattern: all instances lose power, and all targets of a service start
 * at the same time. Guards against requests that are refused while targets
 * have free slots, and against targets that are avoided for being as slow as
 * all are after a start.
 */
static void test_cold_targets_(void)
{
	static const script_case_t all[] = {
		{"all slots are used", "execute; execute n=2; execute n=3",
		 "call1 call2 "},
		{"slow answers are no failure",
		 "execute; execute n=2; wait ms=700; execute n=3 post; head; "
		 "head n=2",
		 "call1 call2 response1:200:end call3 response2:200:end "},
		{"no answer is one",
		 "execute ms=5000; execute n=2 ms=5000; wait ms=900",
		 "call1 call2 evidence "},
	};
	static const script_case_t ramp[] = {
		{"a ramp is kept where it is wanted",
		 "execute; execute n=2; wait ms=200; head; wait ms=50",
		 "call1 response1:200:end call2 "},
	};

	run_from_(all, G_N_ELEMENTS(all), 0, cold_start_, 100);
	run_from_(ramp, G_N_ELEMENTS(ramp), 0, cold_start_, 10);
}

CU_TestInfo mmx_tests_exit_queue[] = {
	{"a target that never answers", test_hung_target_},
	{"requests that wait in vain", test_waits_in_vain_},
	{"repeats for another target", test_grants_},
	{"who is told of a suspicion", test_suspicion_is_told_},
	{"all targets have just started", test_cold_targets_},
	CU_TEST_INFO_NULL,
};
