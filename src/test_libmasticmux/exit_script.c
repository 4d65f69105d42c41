#include "exit_script.h"

#include <CUnit/CUnit.h>

#include <event2/buffer.h>

#include "fakes.h"
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
	mmx_counters_t *counters;
	unsigned int versions; /* number of records passed to the observer */
	uint16_t slots;	       /* in the latest record */
	bool by_work;	       /* responses report work */
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
	execute->objective = fake_number(words, "objective", 0) * MMX_US_PER_MS;
	execute->priority = (uint8_t)fake_number(words, "priority", 0);
	execute->account_use = (uint16_t)fake_number(words, "use", 0);
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
		{"limit-0", "Limit", "0"},
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
	else if (g_str_equal(words[0], "by-work"))
		fixture->by_work = true;
	else if (g_str_equal(words[0], "count"))
		g_string_append_printf(
			fixture->trace, "in-progress:%zu ",
			mmx_exit_in_progress(fixture->exit, "t"));
	else if (g_str_equal(words[0], "evictions"))
		g_string_append_printf(
			fixture->trace, "evictions:%d ",
			(int)mmx_counters_get(fixture->counters, MMX_COUNTER,
					      "masticmux_exit_evictions_total",
					      "cause=\"displaced\"", "")
				->value);
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

const mmx_header_names_t exit_script_names = {
	.timeout = "Timeout",
	.not_run = "Not-Run",
};

const mmx_header_names_t exit_script_all_names = {
	.timeout = "Timeout",
	.request_id = "Id",
	.target = "Target",
	.not_run = "Not-Run",
	.limit = "Limit",
	.leaving = "Leaving",
};

void exit_script_run(const script_case_t *cases, size_t count,
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
		mmx_exit_set_reports_work(fixture.exit, &fixture.by_work);
		fixture.counters = mmx_counters_create();
		mmx_exit_set_counters(fixture.exit, fixture.counters);
		mmx_exit_init(fixture.exit);
		fake_run(cases[i].script, run_step_, &fixture);
		fake_compare(&cases[i], fixture.trace);
		mmx_exit_destroy(fixture.exit);
		mmx_counters_destroy(fixture.counters);
		mmx_runtime_destroy(fixture.runtime);
		g_string_free(fixture.trace, TRUE);
	}
}
