#include "suites.h"

#include <event2/buffer.h>

#include "fakes.h"
#include "private/entry.h"

#define NODE 10
#define INCARNATION 1
#define TARGETS 5

typedef struct fixture_t {
	mmx_runtime_t *runtime;
	mmx_config_state_t *config_state;
	const mmx_config_state_t *active_state;
	mmx_directory_t *directory;
	mmx_entry_t *entry;
	fake_t http;
	fake_t peer;
	GString *trace;
} fixture_t;

static void apply_configuration_(mmx_config_state_t *config_state)
{
	mmx_change_t *change = mmx_change_create();
	mmx_change_template_t *template = mmx_change_add_template(change, "t");
	mmx_change_service_t *service = mmx_change_add_service(change, "s");
	mmx_change_account_t *account = mmx_change_add_account(change, "a");

	template->policy.deadline = 2 * MMX_US_PER_S;
	template->policy.repeatable = MMX_METHODS_SAFE;
	template->policy.floor_slots = 1;
	template->policy.retry_percent = 100;
	g_strlcpy(service->template_name, "t", sizeof(service->template_name));
	mmx_change_add_route(service, "s.test", "/");
	account->ceiling_percent = 100;
	account->deadline = 300 * MMX_US_PER_MS;
	account->has_repeatable = true;
	account->repeatable = MMX_METHOD_BIT(MMX_METHOD_POST);
	fake_apply(config_state, change);
}

static void post_request_(fixture_t *fixture, char **words)
{
	mmx_request_t *request =
		mmx_new_request((uint64_t)fake_number(words, "n", 1));

	request->head = mmx_head_create_request(
		fake_flag(words, "get") ? "GET" : "POST",
		fake_flag(words, "bad-path") ? "x" : "/p");
	if (!fake_flag(words, "no-host"))
		mmx_head_add(request->head, "Host",
			     fake_flag(words, "other") ? "o.test" : "s.test");
	if (fake_flag(words, "key"))
		mmx_head_add(request->head, "Idempotency-Key", "k");
	if (fake_flag(words, "a") || fake_flag(words, "b"))
		mmx_head_add(request->head, "Masticmux-Account",
			     fake_flag(words, "a") ? "a" : "b");
	if (fake_number(words, "ms", 0))
		mmx_head_add(request->head, "Masticmux-Timeout-Ms", "500");
	if (fake_flag(words, "bad-timeout"))
		mmx_head_add(request->head, "Masticmux-Timeout-Ms", "soon");
	request->body_end = !fake_flag(words, "open");
	mmx_task_post(mmx_entry_task(fixture->entry), &request->message);
}

static mmx_attempt_id_t attempt_id_(char **words)
{
	return (mmx_attempt_id_t){
		.entry = NODE,
		.incarnation = (uint64_t)fake_number(words, "inc", INCARNATION),
		.sequence = (uint64_t)fake_number(words, "n", 1),
	};
}

static void post_response_(fixture_t *fixture, char **words, bool refusal)
{
	mmx_attempt_id_t id = attempt_id_(words);
	mmx_response_t *response = mmx_new_response(&id);
	int i;

	response->body_end = refusal || fake_flag(words, "end");
	if (refusal) {
		for (i = 1; i < MMX_REASON_COUNT; i++)
			if (fake_flag(words, mmx_reason_string[i]))
				response->reason = (mmx_reason_t)i;
		response->started = fake_flag(words, "started");
	} else {
		response->head = mmx_head_create_response(200);
		fake_add_bytes(response->body, fake_number(words, "size", 3));
	}
	mmx_task_post(mmx_entry_task(fixture->entry), &response->message);
}

static void post_body_(fixture_t *fixture, char **words,
		       mmx_direction_t direction)
{
	mmx_body_t *body = mmx_new_body(direction);

	if (direction == MMX_TO_CALLER)
		body->attempt = attempt_id_(words);
	else
		body->request = (uint64_t)fake_number(words, "n", 1);
	fake_add_bytes(body->data, fake_number(words, "size", 4));
	body->failed = fake_flag(words, "failed");
	body->end = body->failed || fake_flag(words, "end");
	mmx_task_post(mmx_entry_task(fixture->entry), &body->message);
}

static void post_fence_reply_(fixture_t *fixture, char **words)
{
	mmx_attempt_id_t id = attempt_id_(words);
	mmx_fence_reply_t *reply;
	int i;

	for (i = 0; i < MMX_FENCE_STATE_COUNT; i++)
		if (fake_flag(words, mmx_fence_state_string[i]))
			break;
	reply = mmx_new_fence_reply(&id, (mmx_fence_state_t)i);
	if (fake_flag(words, "head")) {
		reply->head = mmx_head_create_response(200);
		fake_add_bytes(reply->body, fake_number(words, "size", 7));
	}
	mmx_task_post(mmx_entry_task(fixture->entry), &reply->message);
}

static void run_other_step_(fixture_t *fixture, char **words)
{
	mmx_task_t *task = mmx_entry_task(fixture->entry);

	if (g_str_equal(words[0], "lost"))
		mmx_task_post(task,
			      &mmx_new_path_lost(fixture->peer.exit)->message);
	else if (g_str_equal(words[0], "caller-gone"))
		mmx_task_post(task, &mmx_new_caller_gone((uint64_t)fake_number(
								 words, "n", 1))
					     ->message);
	else if (g_str_equal(words[0], "wait"))
		mmx_clock_advance(mmx_runtime_clock(fixture->runtime),
				  fake_number(words, "ms", 1) * MMX_US_PER_MS);
	else if (g_str_equal(words[0], "drain"))
		mmx_entry_drain(fixture->entry);
	else if (g_str_equal(words[0], "answer-by"))
		mmx_entry_cap_deadlines(
			fixture->entry,
			mmx_clock_now(mmx_runtime_clock(fixture->runtime)) +
				fake_number(words, "ms", 1) * MMX_US_PER_MS);
	else if (g_str_equal(words[0], "refuse-capped"))
		mmx_entry_refuse_capped(fixture->entry);
	else if (g_str_equal(words[0], "started")) {
		apply_configuration_(fixture->config_state);
		mmx_entry_started(fixture->entry);
	} else if (g_str_equal(words[0], "count"))
		g_string_append_printf(fixture->trace, "in-progress:%zu ",
				       mmx_entry_in_progress(fixture->entry));
	else if (g_str_equal(words[0], "targets"))
		fake_add_targets(fixture->directory, NODE,
				 (size_t)fake_number(words, "count", TARGETS));
	else
		CU_FAIL("unknown step");
}

static void run_step_(char **words, void *arg)
{
	fixture_t *fixture = arg;

	if (g_str_equal(words[0], "request"))
		post_request_(fixture, words);
	else if (g_str_equal(words[0], "response"))
		post_response_(fixture, words, false);
	else if (g_str_equal(words[0], "refuse"))
		post_response_(fixture, words, true);
	else if (g_str_equal(words[0], "body"))
		post_body_(fixture, words, MMX_TO_CALLER);
	else if (g_str_equal(words[0], "request-body"))
		post_body_(fixture, words, MMX_TO_TARGET);
	else if (g_str_equal(words[0], "fence-reply"))
		post_fence_reply_(fixture, words);
	else
		run_other_step_(fixture, words);
	mmx_runtime_deliver(fixture->runtime);
}

static void open_fixture_(fixture_t *fixture, bool configured)
{
	fixture->trace = g_string_new("");
	fixture->runtime = mmx_runtime_create(NULL);
	fixture->config_state = mmx_config_state_create();
	fixture->active_state = fixture->config_state;
	if (configured)
		apply_configuration_(fixture->config_state);
	fixture->directory =
		mmx_directory_create(mmx_runtime_clock(fixture->runtime));
	fake_init(&fixture->http, fixture->runtime, fixture->trace);
	fake_init(&fixture->peer, fixture->runtime, fixture->trace);
	fixture->entry =
		mmx_entry_create(fixture->runtime, NODE, INCARNATION, 1);
	mmx_entry_set_http(fixture->entry, &fixture->http.task);
	mmx_entry_set_peer(fixture->entry, &fixture->peer.task);
	mmx_entry_set_local_exit(fixture->entry, &fixture->peer.task);
	mmx_entry_set_config_state(fixture->entry, &fixture->active_state);
	mmx_entry_set_directory(fixture->entry, fixture->directory);
}

static void close_fixture_(fixture_t *fixture)
{
	mmx_entry_destroy(fixture->entry);
	mmx_directory_destroy(fixture->directory);
	mmx_config_state_destroy(fixture->config_state);
	mmx_runtime_destroy(fixture->runtime);
	g_string_free(fixture->trace, TRUE);
}

static void run_case_(const script_case_t *c, bool configured)
{
	fixture_t fixture;

	open_fixture_(&fixture, configured);
	mmx_entry_init(fixture.entry);
	fake_run(c->script, run_step_, &fixture);
	fake_compare(c, fixture.trace);
	close_fixture_(&fixture);
}

static void run_cases_(const script_case_t *cases, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		run_case_(&cases[i], true);
}

/* Guards against refusals with a wrong reason or status. */
static void test_refusals_(void)
{
	static const script_case_t empty = {
		"nothing is configured", "targets; request",
		"answer1:not-run:no-configuration:503:26:end "};
	static const script_case_t cases[] = {
		{"no host", "targets; request no-host",
		 "answer1:not-run:bad-request:400:21:end "},
		{"bad path", "targets; request bad-path",
		 "answer1:not-run:bad-request:400:21:end "},
		{"bad timeout", "targets; request bad-timeout",
		 "answer1:not-run:bad-request:400:21:end "},
		{"unknown service", "targets; request other",
		 "answer1:not-run:unknown-service:404:25:end "},
		{"unknown account", "targets; request b",
		 "answer1:not-run:unknown-account:403:25:end "},
		{"no target", "request",
		 "answer1:not-run:no-capacity:503:21:end "},
		{"draining", "targets; drain; request; count",
		 "answer1:not-run:shutting-down:503:23:end in-progress:0 "},
		{"reasons between nodes are not shown to callers",
		 "targets count=1; request; refuse draining",
		 "execute1:0 answer1:not-run:no-capacity:503:21:end "},
		{"neither is an earlier process of an exit",
		 "targets count=1; request; refuse wrong-incarnation",
		 "execute1:0 answer1:not-run:path-lost:503:19:end "},
		{"truncated request body",
		 "targets; request open; request-body failed; "
		 "refuse bad-request",
		 "execute1:0:open body1:4:end:failed "
		 "answer1:not-run:bad-request:400:21:end "},
	};

	run_case_(&empty, false);
	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

typedef struct retry_after_case_t {
	const char *script; /* ends with a refusal */
	bool fractional;    /* Retry-After allows fractions */
	bool configured;
	double min_s; /* seconds */
	double max_s;
	bool spread; /* the values differ */
} retry_after_case_t;

/* Replaces the HTTP task: keeps Retry-After of the latest answer. */
typedef struct header_task_t {
	mmx_task_t task;
	char value[16];
} header_task_t;

static void keep_header_(mmx_task_t *task, mmx_message_t *message)
{
	header_task_t *header = (header_task_t *)task;

	if (message->ops->kind == MMX_MESSAGE_ANSWER) {
		mmx_answer_t *answer = (mmx_answer_t *)message;
		const char *value = mmx_head_find(answer->head, "Retry-After");

		g_strlcpy(header->value, value ? value : "none",
			  sizeof(header->value));
	}
	mmx_message_destroy(message);
}

static const mmx_task_ops_t header_ops_ = {"header", keep_header_};

static void run_retry_after_(const retry_after_case_t *item)
{
	enum { REFUSALS = 20 };
	mmx_header_names_t header_names = mmx_header_names_default;
	header_task_t header = {.value = ""};
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fixture_t fixture;
	int i;

	header_names.fractional_retry_after = item->fractional;
	open_fixture_(&fixture, item->configured);
	mmx_task_init(&header.task, &header_ops_, fixture.runtime);
	mmx_entry_set_http(fixture.entry, &header.task);
	mmx_entry_set_header_names(fixture.entry, &header_names, NULL);
	mmx_entry_init(fixture.entry);
	for (i = 0; i < REFUSALS; i++) {
		char *end;
		double seconds;

		fake_run(item->script, run_step_, &fixture);
		seconds = g_ascii_strtod(header.value, &end);
		CU_ASSERT(end != header.value && !*end);
		CU_ASSERT(seconds >= item->min_s && seconds <= item->max_s);
		g_hash_table_add(seen, g_strdup(header.value));
	}
	CU_ASSERT_EQUAL(g_hash_table_size(seen) > REFUSALS / 2, item->spread);
	g_hash_table_destroy(seen);
	close_fixture_(&fixture);
}

/*
 * Guards against a Retry-After that makes callers which are refused together
 * retry together, that makes callers wait for a node that stops and does not
 * return, or that has a fraction which the callers cannot parse.
 */
static void test_retry_after_(void)
{
	static const retry_after_case_t cases[] = {
		{"request", false, true, 1, 1, false},
		{"request", true, true, 0.1, 1, true},
		{"request", true, false, 0.5, 1, true},
		{"drain; request", true, true, 0.1, 0.1, false},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		run_retry_after_(&cases[i]);
}

/* Guards against a second run of a request that is not repeatable, and against
 * the outcome not-run for a request that may have run. */
static void test_attempts_(void)
{
	static const script_case_t cases[] = {
		{"completed", "targets; request; response end; count",
		 "execute1:0 answer1:completed:none:200:3:end in-progress:0 "},
		{"refused, sent elsewhere",
		 "targets; request; refuse overloaded; response n=2 end",
		 "execute1:0 execute2:0 answer1:completed:none:200:3:end "},
		{"refused everywhere",
		 "targets; request; refuse overloaded; refuse n=2 overloaded; "
		 "refuse n=3 overloaded; refuse n=4 overloaded",
		 "execute1:0 execute2:0 execute3:0 execute4:0 "
		 "answer1:not-run:overloaded:503:20:end "},
		{"failed, not repeatable",
		 "targets; request; refuse target-failed started",
		 "execute1:0 answer1:unknown:target-failed:502:23:end "},
		{"failed, repeatable",
		 "targets; request get; refuse target-failed started; "
		 "response n=2 end",
		 "execute1:0 execute2:0 answer1:completed:none:200:3:end "},
		{"failed, then refused elsewhere",
		 "targets count=2; request get; refuse target-failed started; "
		 "refuse n=2 overloaded",
		 "execute1:0 execute2:0 "
		 "answer1:unknown:overloaded:504:20:end "},
		{"the key makes it not repeatable",
		 "targets; request get key; refuse target-failed started",
		 "execute1:0 answer1:unknown:target-failed:502:23:end "},
		{"the account makes it repeatable",
		 "targets; request a; refuse target-failed started; "
		 "response n=2 end",
		 "execute1:0 execute2:0 answer1:completed:none:200:3:end "},
		{"forgotten", "targets; request; refuse forgotten started",
		 "execute1:0 answer1:unknown:path-lost:504:19:end "},
		{"late response of an attempt that has ended",
		 "targets; request get; refuse target-failed started; "
		 "response n=1 end; response n=2 size=5 end",
		 "execute1:0 execute2:0 answer1:completed:none:200:5:end "},
		{"response to an earlier process of this entry",
		 "targets; request; response inc=0 end; response end",
		 "execute1:0 answer1:completed:none:200:3:end "},
		{"body already forwarded, not sent again",
		 "targets; request open; request-body size=70000; "
		 "refuse overloaded",
		 "execute1:0:open body1:70000 "
		 "answer1:not-run:overloaded:503:20:end "},
		{"body buffered, sent again",
		 "targets; request open; request-body size=60000 end; "
		 "refuse overloaded; response n=2 end",
		 "execute1:0:open body1:60000:end execute2:60000 "
		 "answer1:completed:none:200:3:end "},
		{"truncated body is not sent again",
		 "targets; request open; request-body failed; "
		 "refuse target-failed",
		 "execute1:0:open body1:4:end:failed "
		 "answer1:not-run:target-failed:503:23:end "},
		{"caller gone", "targets; request; caller-gone; count",
		 "execute1:0 cancel1 in-progress:0 "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

/* Guards against an attempt without a reply that is treated as not run. */
static void test_fence_(void)
{
	static const script_case_t cases[] = {
		{"path lost, repeatable",
		 "targets; request get; lost; response n=2 end",
		 "execute1:0 cancel1 execute2:0 "
		 "answer1:completed:none:200:3:end "},
		{"path lost, fenced",
		 "targets; request; lost; fence-reply fenced; "
		 "response n=2 end",
		 "execute1:0 fence1 execute2:0 "
		 "answer1:completed:none:200:3:end "},
		{"path lost, running",
		 "targets; request; lost; fence-reply running; response end",
		 "execute1:0 fence1 answer1:completed:none:200:3:end "},
		{"path lost, finished",
		 "targets; request; lost; fence-reply finished head",
		 "execute1:0 fence1 answer1:completed:none:200:7:end "},
		{"path lost, finished without the response",
		 "targets; request; lost; fence-reply finished",
		 "execute1:0 fence1 answer1:unknown:answer-truncated:502:26:end "},
		{"path lost, forgotten",
		 "targets; request; lost; fence-reply forgotten",
		 "execute1:0 fence1 answer1:unknown:path-lost:504:19:end "},
		{"no reply by the deadline",
		 "targets; request; lost; wait ms=500; wait ms=1600",
		 "execute1:0 fence1 fence1 fence1 fence1 cancel1 "
		 "answer1:unknown:deadline-exceeded:504:27:end "},
		{"lost again while it runs",
		 "targets; request; lost; fence-reply running; lost; "
		 "fence-reply finished head",
		 "execute1:0 fence1 fence1 answer1:completed:none:200:7:end "},
		{"head on the old connection, complete response on the new one",
		 "targets; request; lost; response; fence-reply running; "
		 "fence-reply finished head",
		 "execute1:0 fence1 answer1:completed:none:200:7:end "},
		{"head on the old connection, whole response pushed on the new "
		 "one",
		 "targets; request; lost; response; fence-reply running; "
		 "response end",
		 "execute1:0 fence1 answer1:completed:none:200:3:end "},
		{"no reply until the deadline",
		 "targets; request; wait ms=1900; refuse deadline-exceeded",
		 "execute1:0 fence1 "
		 "answer1:not-run:deadline-exceeded:503:27:end "},
		{"in a queue until the deadline is near",
		 "targets count=1; request; wait ms=1900; fence-reply fenced",
		 "execute1:0 fence1 "
		 "answer1:not-run:deadline-exceeded:503:27:end "},
		{"deadline of the caller",
		 "targets; request ms=500; wait ms=500",
		 "execute1:0 fence1 cancel1 "
		 "answer1:unknown:deadline-exceeded:504:27:end "},
		{"deadline of the account",
		 "targets; request get a; wait ms=299; wait ms=1; count",
		 "execute1:0 fence1 cancel1 "
		 "answer1:unknown:deadline-exceeded:504:27:end in-progress:0 "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

/* Guards against a truncated response that looks complete, and against a second
 * answer to one request. */
static void test_responses_(void)
{
	static const script_case_t cases[] = {
		{"held until complete",
		 "targets; request; response; body; body end",
		 "execute1:0 answer1:completed:none:200:11:end "},
		{"truncated while held, repeatable",
		 "targets; request get; response; body failed; "
		 "response n=2 size=9 end",
		 "execute1:0 execute2:0 answer1:completed:none:200:9:end "},
		{"truncated while held, not repeatable",
		 "targets; request; response; body failed",
		 "execute1:0 answer1:unknown:answer-truncated:502:26:end "},
		{"too long to hold",
		 "targets; request; response size=70000; body; body end; count",
		 "execute1:0 answer1:completed:none:200:70000 body1:4 "
		 "body1:4:end in-progress:0 "},
		{"truncated after it was forwarded",
		 "targets; request get; response size=70000; body failed; "
		 "count",
		 "execute1:0 answer1:completed:none:200:70000 "
		 "body1:4:end:failed in-progress:0 "},
		{"path lost after it was forwarded",
		 "targets; request get; response size=70000; lost; count",
		 "execute1:0 answer1:completed:none:200:70000 cancel1 "
		 "body1:0:end:failed in-progress:0 "},
		{"deadline after it was forwarded",
		 "targets; request get; response size=70000; wait ms=2000; "
		 "count",
		 "execute1:0 answer1:completed:none:200:70000 cancel1 "
		 "body1:0:end:failed in-progress:0 "},
		{"rest lost with the path, as the fencing reply shows",
		 "targets; request; lost; response size=70000; "
		 "fence-reply running; fence-reply finished; count",
		 "execute1:0 fence1 answer1:completed:none:200:70000 "
		 "body1:0:end:failed in-progress:0 "},
		{"no further fencing query after it was forwarded",
		 "targets; request; lost; response size=70000; wait ms=600; "
		 "body end; count",
		 "execute1:0 fence1 answer1:completed:none:200:70000 "
		 "body1:4:end in-progress:0 "},
		{"refused after it was forwarded",
		 "targets; request; response size=70000; "
		 "refuse target-failed started; count",
		 "execute1:0 answer1:completed:none:200:70000 "
		 "body1:0:end:failed in-progress:0 "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

/*
 * Load pattern: all nodes start together under load. Guards against refusals
 * before the configuration has been read, against requests that are held for
 * long while the store is unavailable, and against held requests that are never
 * released.
 */
static void test_startup_(void)
{
	static const script_case_t cases[] = {
		{"held until started",
		 "targets; request; count; started; response end; count",
		 "in-progress:1 execute1:0 "
		 "answer1:completed:none:200:3:end in-progress:0 "},
		{"in order of arrival",
		 "targets; request; request n=2; started",
		 "execute1:0 execute2:0 "},
		{"the store is unavailable",
		 "request; wait ms=499; count; wait ms=1",
		 "in-progress:1 answer1:not-run:no-configuration:503:26:end "},
		{"short timeout of the caller",
		 "request ms=500; wait ms=124; count; wait ms=1",
		 "in-progress:1 answer1:not-run:no-configuration:503:26:end "},
		{"not held later than the limit after the start",
		 "wait ms=500; request",
		 "answer1:not-run:no-configuration:503:26:end "},
		{"the caller leaves", "request; caller-gone; started; count",
		 "in-progress:0 "},
		{"the process stops", "request; answer-by ms=10; wait ms=500",
		 "answer1:not-run:no-configuration:503:26:end "},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t fixture;

		open_fixture_(&fixture, false);
		mmx_entry_set_startup_hold(fixture.entry, 500 * MMX_US_PER_MS);
		mmx_entry_init(fixture.entry);
		fake_run(cases[i].script, run_step_, &fixture);
		fake_compare(&cases[i], fixture.trace);
		close_fixture_(&fixture);
	}
}

/* Guards against requests in progress when a stopping process ends: their
 * callers see a closed connection instead of an answer. */
static void test_deadline_cap_(void)
{
	static const script_case_t cases[] = {
		{"in progress and repeatable",
		 "targets; request get; answer-by ms=300; wait ms=300; count",
		 "execute1:0 cancel1 "
		 "answer1:unknown:deadline-exceeded:504:27:end in-progress:0 "},
		{"in progress and not repeatable, in the queue of its exit",
		 "targets count=1; request; answer-by ms=300; wait ms=270; "
		 "fence-reply fenced; count",
		 "execute1:0 fence1 "
		 "answer1:not-run:deadline-exceeded:503:27:end in-progress:0 "},
		{"in progress and not repeatable, running",
		 "targets; request; answer-by ms=300; wait ms=270; "
		 "fence-reply running; wait ms=30",
		 "execute1:0 fence1 cancel1 "
		 "answer1:unknown:deadline-exceeded:504:27:end "},
		{"no reply to a fencing query",
		 "targets; request; lost; answer-by ms=300; wait ms=300",
		 "execute1:0 fence1 cancel1 "
		 "answer1:unknown:deadline-exceeded:504:27:end "},
		{"answered in time",
		 "targets; request get; answer-by ms=300; response end; "
		 "wait ms=300",
		 "execute1:0 answer1:completed:none:200:3:end "},
		{"arrives later",
		 "targets; answer-by ms=300; request get; wait ms=300",
		 "execute1:0 cancel1 "
		 "answer1:unknown:deadline-exceeded:504:27:end "},
		{"has an earlier deadline",
		 "targets; request get ms=500; answer-by ms=900; wait ms=500",
		 "execute1:0 cancel1 "
		 "answer1:unknown:deadline-exceeded:504:27:end "},
		{"response partly forwarded",
		 "targets; request get; response size=70000; answer-by ms=300; "
		 "wait ms=300",
		 "execute1:0 answer1:completed:none:200:70000 cancel1 "
		 "body1:0:end:failed "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

/* Guards against requests that come late in a stop, are passed on, and are broken
 * off at the end of the process. */
static void test_late_in_stop_(void)
{
	static const script_case_t cases[] = {
		{"would be broken off",
		 "targets; answer-by ms=300; refuse-capped; request get ms=500",
		 "answer1:not-run:shutting-down:503:23:end "},
		{"has its time",
		 "targets; answer-by ms=600; refuse-capped; "
		 "request get ms=500; response end",
		 "execute1:0 answer1:completed:none:200:3:end "},
		{"came before",
		 "targets; answer-by ms=300; request get ms=500; "
		 "refuse-capped; response end",
		 "execute1:0 answer1:completed:none:200:3:end "},
		{"no end is set",
		 "targets; refuse-capped; request get ms=500; response end",
		 "execute1:0 answer1:completed:none:200:3:end "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

CU_TestInfo mmx_tests_entry[] = {
	{"refusals", test_refusals_},
	{"Retry-After", test_retry_after_},
	{"attempts", test_attempts_},
	{"fencing", test_fence_},
	{"responses", test_responses_},
	{"requests during startup", test_startup_},
	{"answers before the process ends", test_deadline_cap_},
	{"requests late in a stop", test_late_in_stop_},
	CU_TEST_INFO_NULL,
};
