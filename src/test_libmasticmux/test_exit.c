/*
 * Tests of the exit with scripts of messages. The trace shows what the exit
 * sends to the target client ("call") and to the entry.
 */
#include "suites.h"

#include <event2/buffer.h>

#include "fakes.h"
#include "masticmux/random.h"
#include "private/exit.h"

#define NODE 20
#define INCARNATION 5
#define ENTRY 10
#define REQUEST_ID "7"

typedef struct fixture_t {
	mmx_runtime_t *runtime;
	mmx_exit_t *exit;
	fake_t client;
	fake_t origin;
	GString *trace;
	unsigned int versions; /* number of records passed to the observer */
	uint16_t slots;	       /* in the latest record */
} fixture_t;

static void target_changed_(void *context, const mmx_target_record_t *record)
{
	fixture_t *fixture = context;

	/* The directory asserts that a record is complete. */
	CU_ASSERT_TRUE(record->service[0] && record->slots > 0);
	fixture->versions++;
	fixture->slots = record->slots;
}

static const mmx_exit_observer_ops_t observer_ = {
	.target_changed = target_changed_,
};

static mmx_attempt_id_t attempt_id_(char **words)
{
	return (mmx_attempt_id_t){
		.entry = ENTRY,
		.incarnation = 1,
		.sequence = (uint64_t)fake_number(words, "n", 1),
	};
}

static void announce_(fixture_t *fixture, char **words,
		      mmx_target_state_t state)
{
	mmx_target_announced_t *announced = mmx_new_target_announced();

	g_strlcpy(announced->name, fake_flag(words, "renamed") ? "u" : "t",
		  sizeof(announced->name));
	g_strlcpy(announced->service, fake_flag(words, "other") ? "other" : "s",
		  sizeof(announced->service));
	announced->address = (mmx_address_t){
		.host = "127.0.0.1",
		.port = (uint16_t)fake_number(words, "port", 80),
	};
	announced->slots = (uint16_t)fake_number(words, "slots", 1);
	/* A withdrawal has only the name; the record must keep the rest. */
	if (state == MMX_TARGET_GONE) {
		announced->service[0] = '\0';
		announced->slots = 0;
	}
	announced->state = state;
	announced->process_start = (uint64_t)fake_number(words, "start", 0);
	announced->sequence = (uint64_t)fake_number(words, "seq", 0);
	announced->lease =
		fake_number(words, "lease", 3600 * 1000) * MMX_US_PER_MS;
	mmx_task_post(mmx_exit_task(fixture->exit), &announced->message);
}

static void execute_(fixture_t *fixture, char **words)
{
	mmx_execute_t *execute = mmx_new_execute();

	execute->attempt = attempt_id_(words);
	execute->exit = NODE;
	execute->exit_incarnation =
		(uint64_t)fake_number(words, "inc", INCARNATION);
	execute->target = mmx_directory_id("node", "t");
	g_strlcpy(execute->service, "s", sizeof(execute->service));
	execute->repeatable = fake_flag(words, "get");
	execute->remaining = fake_number(words, "ms", 1000) * MMX_US_PER_MS;
	execute->max_wait = fake_number(words, "max-wait", 0) * MMX_US_PER_MS;
	execute->head = mmx_head_create_request("POST", "/");
	mmx_head_add(execute->head, "Id", REQUEST_ID);
	execute->body_end = !fake_flag(words, "open");
	execute->origin.task = &fixture->origin.task;
	execute->origin.connection = (uint64_t)fake_number(words, "conn", 1);
	mmx_task_post(mmx_exit_task(fixture->exit), &execute->message);
}

static void fence_(fixture_t *fixture, char **words)
{
	mmx_attempt_id_t id = attempt_id_(words);
	mmx_fence_t *fence = mmx_new_fence(&id);

	fence->exit = NODE;
	fence->exit_incarnation =
		(uint64_t)fake_number(words, "inc", INCARNATION);
	if (fake_flag(words, "query"))
		fence->purpose = MMX_FENCE_QUERY;
	else if (fake_flag(words, "takeover"))
		fence->purpose = MMX_FENCE_TAKEOVER;
	fence->origin.task = &fixture->origin.task;
	fence->origin.connection = (uint64_t)fake_number(words, "conn", 2);
	mmx_task_post(mmx_exit_task(fixture->exit), &fence->message);
}

static void add_headers_(mmx_head_t *head, char **words)
{
	static const char *const headers[][3] = {
		{"rejected", "Not-Run", "1"},  {"signed", "Sign", "s"},
		{"id", "Id", REQUEST_ID},      {"limit", "Limit", "4"},
		{"bad-limit", "Limit", "few"}, {"leaving", "Leaving", "1"},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(headers); i++)
		if (fake_flag(words, headers[i][0]))
			mmx_head_add(head, headers[i][1], headers[i][2]);
}

static void call_event_(fixture_t *fixture, char **words,
			mmx_call_result_t result)
{
	mmx_attempt_id_t id = attempt_id_(words);
	mmx_call_event_t *event = mmx_new_call_event(&id, result);

	if (result == MMX_CALL_HEAD) {
		event->head = mmx_head_create_response(
			(int)fake_number(words, "status", 200));
		add_headers_(event->head, words);
		event->earlier_calls = fake_flag(words, "kept");
		evbuffer_add(event->body, "abc", 3);
		event->body_end = fake_flag(words, "end");
	}
	mmx_task_post(mmx_exit_task(fixture->exit), &event->message);
}

static void body_(fixture_t *fixture, char **words, mmx_direction_t direction)
{
	mmx_body_t *body = mmx_new_body(direction);

	body->attempt = attempt_id_(words);
	evbuffer_add(body->data, "defg", 4);
	body->failed = fake_flag(words, "failed");
	body->end = body->failed || fake_flag(words, "end");
	mmx_task_post(mmx_exit_task(fixture->exit), &body->message);
}

static void run_other_step_(fixture_t *fixture, char **words)
{
	mmx_attempt_id_t id = attempt_id_(words);
	mmx_task_t *task = mmx_exit_task(fixture->exit);

	if (g_str_equal(words[0], "cancel"))
		mmx_task_post(task, &mmx_new_cancel(&id)->message);
	else if (g_str_equal(words[0], "lost"))
		mmx_task_post(task,
			      &mmx_new_origin_lost(
				       (uint64_t)fake_number(words, "conn", 1))
				       ->message);
	else if (g_str_equal(words[0], "stop"))
		mmx_exit_stop_target(fixture->exit, "t");
	else if (g_str_equal(words[0], "stop-all"))
		mmx_exit_stop_all(fixture->exit,
				  fake_number(words, "ms", 0) * MMX_US_PER_MS);
	else if (g_str_equal(words[0], "wait"))
		mmx_clock_advance(mmx_runtime_clock(fixture->runtime),
				  fake_number(words, "ms", 1) * MMX_US_PER_MS);
	else if (g_str_equal(words[0], "count"))
		g_string_append_printf(
			fixture->trace, "in-progress:%zu ",
			mmx_exit_in_progress(fixture->exit, "t"));
	else if (g_str_equal(words[0], "versions"))
		g_string_append_printf(fixture->trace, "versions:%u:%u ",
				       fixture->versions, fixture->slots);
	else
		CU_FAIL("unknown step");
}

static void run_step_(char **words, void *arg)
{
	fixture_t *fixture = arg;

	if (g_str_equal(words[0], "execute"))
		execute_(fixture, words);
	else if (g_str_equal(words[0], "fence"))
		fence_(fixture, words);
	else if (g_str_equal(words[0], "head"))
		call_event_(fixture, words, MMX_CALL_HEAD);
	else if (g_str_equal(words[0], "fail"))
		call_event_(fixture, words, MMX_CALL_FAILED);
	else if (g_str_equal(words[0], "not-sent"))
		call_event_(fixture, words, MMX_CALL_NOT_SENT);
	else if (g_str_equal(words[0], "body"))
		body_(fixture, words, MMX_TO_CALLER);
	else if (g_str_equal(words[0], "request-body"))
		body_(fixture, words, MMX_TO_TARGET);
	else if (g_str_equal(words[0], "warm"))
		announce_(fixture, words, MMX_TARGET_WARM);
	else if (g_str_equal(words[0], "cold"))
		announce_(fixture, words, MMX_TARGET_COLD);
	else if (g_str_equal(words[0], "gone"))
		announce_(fixture, words, MMX_TARGET_GONE);
	else
		run_other_step_(fixture, words);
	mmx_runtime_deliver(fixture->runtime);
}

static const mmx_header_names_t header_names_ = {
	.timeout = "Timeout",
	.not_run = "Not-Run",
};

static const mmx_header_names_t all_names_ = {
	.timeout = "Timeout",
	.request_id = "Id",
	.target = "Target",
	.not_run = "Not-Run",
	.limit = "Limit",
	.leaving = "Leaving",
};

static void run_cases_with_(const script_case_t *cases, size_t count,
			    const mmx_header_names_t *header_names)
{
	size_t i;

	for (i = 0; i < count; i++) {
		fixture_t fixture = {.trace = g_string_new("")};

		fixture.runtime = mmx_runtime_create(NULL);
		fake_init(&fixture.client, fixture.runtime, fixture.trace);
		fake_init(&fixture.origin, fixture.runtime, fixture.trace);
		fixture.exit = mmx_exit_create(fixture.runtime, NODE, "node",
					       INCARNATION);
		mmx_exit_set_target_client(fixture.exit, &fixture.client.task);
		mmx_exit_set_observer(fixture.exit, &observer_, &fixture);
		mmx_exit_set_header_names(fixture.exit, header_names);
		mmx_exit_init(fixture.exit);
		fake_run(cases[i].script, run_step_, &fixture);
		fake_compare(&cases[i], fixture.trace);
		mmx_exit_destroy(fixture.exit);
		mmx_runtime_destroy(fixture.runtime);
		g_string_free(fixture.trace, TRUE);
	}
}

static void run_cases_(const script_case_t *cases, size_t count)
{
	run_cases_with_(cases, count, &header_names_);
}

/*
 * Failures: after a power failure, a service refuses all requests although its
 * targets run, under new names that only their own nodes know yet; an attempt
 * for the old name reaches a target of another service.
 */
static void test_renamed_target_(void)
{
	static const script_case_t cases[] = {
		{"known from the start", "warm renamed; execute; head end",
		 "call1 response1:200:end "},
		{"while the node runs",
		 "warm; gone; warm renamed; execute; head end",
		 "call1 response1:200:end "},
		{"both are up", "warm; warm renamed slots=4; execute",
		 "call1 "},
		{"of another service", "warm renamed other; execute",
		 "refused1:draining "},
		{"withdrawn as well", "warm renamed; gone renamed; execute",
		 "refused1:draining "},
		{"meant for an earlier process", "warm renamed; execute inc=4",
		 "refused1:wrong-incarnation "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

/*
 * Failures: a target that now has another address gets no requests, because its
 * earlier address belongs to another target, which rejected a call; a target
 * whose own address belongs to another one gets requests.
 */
static void test_misdirected_(void)
{
	static const script_case_t cases[] = {
		{"at its address",
		 "warm; execute; head status=421 end; execute n=2",
		 "call1 evidence refused1:draining refused2:draining "},
		{"at its earlier address",
		 "warm; execute; warm port=81; head status=421 end; "
		 "execute n=2",
		 "call1 refused1:draining call2 "},
	};

	run_cases_with_(cases, G_N_ELEMENTS(cases), &all_names_);
}

/*
 * Failures: an attempt starts twice, or starts after its entry was told that it
 * never will, because messages are duplicated, late or meant for an earlier
 * process.
 */
static void test_at_most_once_(void)
{
	static const script_case_t cases[] = {
		{"runs", "warm; execute; head; body end; count",
		 "call1 response1:200 body1:4:end in-progress:0 "},
		{"duplicates", "warm; execute; execute; head end; execute",
		 "call1 response1:200:end "},
		{"meant for an earlier process", "warm; execute inc=4",
		 "refused1:wrong-incarnation "},
		{"fenced before it arrives", "warm; fence; execute",
		 "fence1:fenced refused1:fenced "},
		{"fenced in the queue",
		 "warm; execute; execute n=2; fence n=2; head end; execute n=2",
		 "call1 fence2:fenced response1:200:end refused2:fenced "},
		{"refused, then a duplicate", "execute; warm; execute",
		 "refused1:draining refused1:fenced "},
		{"fence to an earlier process", "warm; fence inc=4",
		 "fence1:forgotten "},
		{"not sent", "warm; execute; not-sent; fence; execute; count",
		 "call1 refused1:target-failed fence1:fenced refused1:fenced "
		 "in-progress:0 "},
		{"record expired",
		 "warm; execute n=9; head n=9 end; wait ms=40000; execute n=8; "
		 "fence n=9",
		 "call9 response9:200:end refused8:forgotten:started "
		 "fence9:forgotten "},
		{"expires in the queue",
		 "warm; execute; execute n=2 ms=50; wait ms=100; head end",
		 "call1 refused2:deadline-exceeded response1:200:end "},
		{"cancelled in the queue",
		 "warm; execute; execute n=2; cancel n=2; head end; "
		 "execute n=2",
		 "call1 response1:200:end refused2:fenced "},
		{"of another service", "warm other; execute",
		 "refused1:draining "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

/*
 * Failures: a response is lost with its connection although the exit has stored
 * it; a slot is never freed.
 */
static void test_fence_(void)
{
	static const script_case_t cases[] = {
		{"running, no head yet",
		 "warm; execute; lost; fence; head; body end",
		 "call1 fence1:running response1:200 body1:4:end "},
		{"running, head sent on the old connection",
		 "warm; execute; head; fence; body end",
		 "call1 response1:200 fence1:running fence1:finished:7 "},
		{"running, head arrived without a connection",
		 "warm; execute; lost; head; fence; body end",
		 "call1 fence1:running fence1:finished:7 "},
		{"finished", "warm; execute; lost; head end; fence; fence",
		 "call1 fence1:finished:3 fence1:finished:3 "},
		{"response truncated",
		 "warm; execute; head; lost; body failed; fence",
		 "call1 response1:200 fence1:finished "},
		{"failed after its head without a connection",
		 "warm; execute; head; lost; fail; fence",
		 "call1 response1:200 fence1:finished "},
		{"failed without a connection",
		 "warm; execute; lost; fail; fence; count",
		 "call1 fence1:finished in-progress:0 "},
		{"connection of the fencing query lost as well",
		 "warm; execute; lost; fence; lost conn=2; head end; fence",
		 "call1 fence1:running fence1:finished:3 "},
		{"a failure is reported as started", "warm; execute; fail",
		 "call1 refused1:target-failed:started "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

/*
 * Failures: a repeated request with the same Idempotency-Key changes the attempt
 * that holds the key, or takes the key over while that attempt may still start.
 */
static void test_fence_of_other_entry_(void)
{
	static const script_case_t cases[] = {
		{"query of a running one changes nothing",
		 "warm; execute; fence query; head; body end",
		 "call1 fence1:running response1:200 body1:4:end "},
		{"query of a queued one changes nothing",
		 "warm; execute; execute n=2; fence n=2 query; head end; "
		 "head n=2 end",
		 "call1 fence2:running response1:200:end call2 "
		 "response2:200:end "},
		{"query of one that has not arrived changes nothing",
		 "warm; fence query; execute; head end",
		 "fence1:running call1 response1:200:end "},
		{"query of a finished one",
		 "warm; execute; head end; fence query; fence query",
		 "call1 response1:200:end fence1:finished:3 "
		 "fence1:finished:3 "},
		{"query of a refused one",
		 "warm; stop; execute; fence query; execute",
		 "refused1:draining fence1:fenced refused1:fenced "},
		{"query meant for an earlier process",
		 "warm; fence inc=4 query", "fence1:forgotten "},
		{"query of one whose request was truncated",
		 "warm; execute open; cancel; fence query; fence takeover",
		 "call1 call-cancel1 fence1:forgotten fence1:forgotten "},
		{"query of one whose target failed",
		 "warm; execute; fail; fence query",
		 "call1 refused1:target-failed:started fence1:forgotten "},
		{"query of one whose response was truncated",
		 "warm; execute; head; body failed; fence query",
		 "call1 response1:200 body1:4:end:failed fence1:forgotten "},
		{"takeover of a running one waits for it",
		 "warm; execute; fence takeover; head end; fence takeover",
		 "call1 fence1:running response1:200:end fence1:finished:3 "},
		{"takeover of a queued one also notifies its entry",
		 "warm; execute; execute n=2; fence n=2 takeover; head end; "
		 "execute n=2",
		 "call1 refused2:fenced fence2:fenced response1:200:end "
		 "refused2:fenced "},
		{"takeover before it arrives", "warm; fence takeover; execute",
		 "fence1:fenced refused1:fenced "},
		{"takeover meant for an earlier process",
		 "warm; fence inc=4 takeover; fence inc=4 takeover",
		 "fence1:forgotten fence1:forgotten "},
		{"its own entry still recovers it after a query",
		 "warm; execute; lost; fence query; fence; head end",
		 "call1 fence1:running fence1:running response1:200:end "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

/*
 * Failures: attempts keep slots although no caller waits for them; a running
 * attempt that is not repeatable is interrupted.
 */
static void test_abandoned_(void)
{
	static const script_case_t cases[] = {
		{"a repeatable attempt is cancelled",
		 "warm; execute get; execute n=2; cancel",
		 "call1 call-cancel1 call2 "},
		{"another attempt runs to its end",
		 "warm; execute; cancel; count; head end; count",
		 "call1 in-progress:1 in-progress:0 "},
		{"connection lost",
		 "warm slots=2; execute get; execute n=2; execute n=3 conn=9; "
		 "execute n=4; lost; count",
		 "call1 call2 call-cancel1 call3 in-progress:2 "},
		{"request body that can't be completed any more",
		 "warm; execute open; lost; count",
		 "call1 call-cancel1 in-progress:0 "},
		{"request body that is truncated in the queue",
		 "warm; execute; execute n=2 open; request-body n=2 failed; "
		 "head end",
		 "call1 refused2:bad-request response1:200:end "},
		{"request body continues",
		 "warm; execute open; request-body; request-body end",
		 "call1 body1:4 body1:4:end "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

/*
 * Failures: an attempt is admitted at a target that leaves; a planned stop
 * interrupts running attempts, or ends with a renewal of the target.
 */
static void test_leaving_targets_(void)
{
	static const script_case_t cases[] = {
		{"no new attempt is admitted, the others finish",
		 "warm; execute; execute n=2; stop; execute n=3; head end; "
		 "head n=2 end; count",
		 "call1 evidence refused3:draining response1:200:end call2 "
		 "response2:200:end in-progress:0 "},
		{"the queue is refused after 2 s",
		 "warm; execute ms=20000; execute n=2 ms=20000; stop; "
		 "wait ms=2500; head end; count",
		 "call1 evidence refused2:draining response1:200:end "
		 "in-progress:0 "},
		{"a renewal does not end the stop", "warm; stop; warm; execute",
		 "refused1:draining "},
		{"an expired lease does not end the stop",
		 "warm lease=200; stop; wait ms=500; warm; execute",
		 "refused1:draining "},
		{"a new process of the target ends the stop",
		 "warm lease=200; stop; wait ms=500; cold; execute", "call1 "},
		{"a withdrawal ends the stop",
		 "warm; stop; gone; warm; execute", "call1 "},
		{"a withdrawal refuses the queue",
		 "warm; execute; execute n=2; gone; head end",
		 "call1 evidence refused2:draining response1:200:end "},
		{"an expired lease refuses the queue",
		 "warm lease=200; execute; execute n=2; wait ms=500",
		 "call1 evidence refused2:draining "},
		/* A node that restarts while its target stays. */
		{"a delayed stop admits attempts until then",
		 "warm; stop-all ms=2000; wait ms=1900; execute; head end; "
		 "wait ms=200; execute n=2",
		 "call1 response1:200:end evidence refused2:draining "},
		{"a target that leaves meanwhile gets none",
		 "warm; stop-all ms=2000; stop; execute", "refused1:draining "},
		{"a change of slots is announced",
		 "warm; versions; warm slots=3; versions; warm slots=3; "
		 "versions",
		 "versions:1:1 versions:2:3 versions:2:3 "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

/*
 * Failure: a caller gets a status that promises "not run, and never will be",
 * from a target that does not say so and has run the request, which may run
 * only once.
 */
static void test_unproven_rejections_(void)
{
	static const script_case_t cases[] = {
		{"503", "warm; execute; head status=503 end; count",
		 "call1 refused1:target-failed:started in-progress:0 "},
		{"503 with a body that follows",
		 "warm; execute; head status=503; body end; count",
		 "call1 call-cancel1 refused1:target-failed:started "
		 "in-progress:0 "},
		{"signed", "warm; execute; head status=503 signed end",
		 "call1 refused1:target-failed:started "},
		{"429", "warm; execute; head status=429 end",
		 "call1 refused1:target-failed:started "},
		{"408", "warm; execute; head status=408 end",
		 "call1 refused1:target-failed:started "},
		{"421", "warm; execute; head status=421 end",
		 "call1 refused1:target-failed:started "},
		{"its response is not stored",
		 "warm; execute; lost; head status=503 end; fence",
		 "call1 fence1:finished "},
		{"502 promises nothing", "warm; execute; head status=502 end",
		 "call1 response1:502:end "},
		{"may be repeated", "warm; execute get; head status=503 end",
		 "call1 response1:503:end "},
		{"with proof", "warm; execute; head status=503 rejected end",
		 "call1 refused1:overloaded "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

/*
 * Failure: an earlier rejection without an id comes late, on a connection in use
 * again, for a request that runs, which is then sent again or said not to run.
 */
static void test_rejections_without_id_(void)
{
	static const script_case_t cases[] = {
		{"on a new connection",
		 "warm; execute; head status=503 rejected end",
		 "call1 refused1:overloaded "},
		{"on a connection in use again",
		 "warm; execute; head status=503 rejected kept end",
		 "call1 refused1:target-failed:started "},
		{"with the id, on a connection in use again",
		 "warm; execute; head status=503 rejected id kept end",
		 "call1 refused1:overloaded "},
		{"421 on a new connection",
		 "warm; execute; head status=421 end",
		 "call1 evidence refused1:draining "},
		{"421 on a connection in use again",
		 "warm; execute; head status=421 kept end; execute n=2",
		 "call1 refused1:target-failed:started call2 "},
		{"may be repeated",
		 "warm; execute get; head status=503 rejected kept end",
		 "call1 refused1:overloaded "},
		{"421, may be repeated",
		 "warm; execute get; head status=421 kept end; execute n=2",
		 "call1 refused1:overloaded call2 "},
	};

	run_cases_with_(cases, G_N_ELEMENTS(cases), &all_names_);
}

/*
 * Failures: a target gets more requests than the limit that it names; one that
 * has a limit no more, or has started again, goes on getting few; a limit is
 * taken from an answer to another request, or of another target.
 */
static void test_named_limit_(void)
{
	static const script_case_t cases[] = {
		{"refused at once",
		 "warm slots=9; execute; head id limit end; execute n=2; "
		 "wait ms=251; execute n=3; execute n=4",
		 "call1 response1:200:end refused2:busy call3 refused4:busy "},
		{"queued until it may start",
		 "warm slots=9; execute; head id limit end; "
		 "execute n=2 max-wait=300; wait ms=200; wait ms=51",
		 "call1 response1:200:end call2 "},
		{"named by a rejection",
		 "warm slots=9; execute; head status=503 rejected id limit end; "
		 "execute n=2",
		 "call1 refused1:overloaded refused2:busy "},
		{"named no more",
		 "warm slots=9; execute; head id limit end; wait ms=251; "
		 "execute n=2; head n=2 id end; execute n=3",
		 "call1 response1:200:end call2 response2:200:end call3 "},
		{"a limit that cannot be read does not end it",
		 "warm slots=9; execute; head id limit end; wait ms=251; "
		 "execute n=2; head n=2 id bad-limit end; execute n=3",
		 "call1 response1:200:end call2 response2:200:end "
		 "refused3:busy "},
		{"a failure does not end it",
		 "warm slots=9; execute; head id limit end; wait ms=251; "
		 "execute n=2; head n=2 status=500 id end; execute n=3",
		 "call1 response1:200:end call2 response2:500:end "
		 "refused3:busy "},
		{"the target has started again",
		 "warm slots=9 start=1 seq=1; execute; head id limit end; "
		 "warm slots=9 start=2 seq=1; execute n=2",
		 "call1 response1:200:end call2 "},
		{"named by the process before",
		 "warm slots=9 start=1 seq=1; execute; "
		 "warm slots=9 start=2 seq=1; head id limit end; execute n=2",
		 "call1 response1:200:end call2 "},
		{"in an answer without an id",
		 "warm slots=9; execute get; head limit kept end; execute n=2",
		 "call1 refused1:target-failed:started call2 "},
		{"of another target",
		 "warm slots=9; execute get; head status=421 limit kept end; "
		 "execute n=2",
		 "call1 refused1:overloaded call2 "},
	};

	run_cases_with_(cases, G_N_ELEMENTS(cases), &all_names_);
}

/*
 * Failures: a target that says that it leaves, while its announcements do not,
 * gets requests; one that has started again gets none; the statement is taken
 * from the answer of another target or process.
 */
static void test_says_leaving_(void)
{
	static const script_case_t cases[] = {
		{"in an answer",
		 "warm start=1 seq=1; execute; head id leaving end; execute n=2",
		 "call1 evidence response1:200:end refused2:draining "},
		{"announced as warm again",
		 "warm start=1 seq=1; execute; head id leaving end; "
		 "warm start=1 seq=2; execute n=2",
		 "call1 evidence response1:200:end refused2:draining "},
		{"in a rejection",
		 "warm start=1 seq=1; execute; "
		 "head status=503 rejected id leaving end; execute n=2",
		 "call1 evidence refused1:overloaded refused2:draining "},
		{"the target has started again",
		 "warm start=1 seq=1; execute; head id leaving end; "
		 "warm start=2 seq=1; execute n=2",
		 "call1 evidence response1:200:end evidence call2 "},
		{"said by the process before",
		 "warm start=1 seq=1; execute; warm start=2 seq=1; "
		 "head id leaving end; execute n=2",
		 "call1 response1:200:end call2 "},
		{"said by another target",
		 "warm; execute get; head status=421 leaving kept end; "
		 "execute n=2",
		 "call1 refused1:overloaded call2 "},
	};

	run_cases_with_(cases, G_N_ELEMENTS(cases), &all_names_);
}

CU_TestInfo mmx_tests_exit[] = {
	{"targets that restart under another name", test_renamed_target_},
	{"requests that reach another target", test_misdirected_},
	{"late rejections without an id", test_rejections_without_id_},
	{"limits that targets name", test_named_limit_},
	{"targets that say that they leave", test_says_leaving_},
	{"an attempt runs at most once", test_at_most_once_},
	{"fencing queries", test_fence_},
	{"fencing by other entries", test_fence_of_other_entry_},
	{"abandoned attempts", test_abandoned_},
	{"targets that leave", test_leaving_targets_},
	{"rejections without proof", test_unproven_rejections_},
	CU_TEST_INFO_NULL,
};
