#include "suites.h"

#include "fakes.h"
#include "private/entry.h"
#include "private/filter_quota.h"

#define NODE 10
#define TARGETS 2

/* A task in front of a fake, that also writes what a message says about the
 * account. */
typedef struct front_t {
	mmx_task_t task;
	fake_t fake;
} front_t;

typedef struct fixture_t {
	mmx_runtime_t *runtime;
	mmx_config_state_t *config_state;
	const mmx_config_state_t *active_state;
	mmx_directory_t *directory;
	mmx_header_names_t header_names;
	mmx_entry_t *entry;
	front_t others; /* http_entry and the exits */
	GString *trace;
	mmx_quota_result_t result; /* of the next take() */
	mmx_time_t retry_after;
	unsigned int use;
	mmx_exchange_t *pending; /* the latest one */
} fixture_t;

static void handle_(mmx_task_t *task, mmx_message_t *message)
{
	front_t *front = (front_t *)task;

	if (message->ops->kind == MMX_MESSAGE_ANSWER) {
		const mmx_head_t *head = ((mmx_answer_t *)message)->head;

		if (head->status == 429)
			g_string_append_printf(
				front->fake.trace, "retry:%s ",
				mmx_head_find(head, "Retry-After"));
	}
	if (message->ops->kind == MMX_MESSAGE_EXECUTE &&
	    ((mmx_execute_t *)message)->account_use > 0)
		g_string_append_printf(front->fake.trace, "use:%u ",
				       ((mmx_execute_t *)message)->account_use);
	front->fake.task.ops->handle(&front->fake.task, message);
}

static const mmx_task_ops_t front_ops_ = {"front", handle_};

/* The fake quota. */

static mmx_quota_result_t take_(void *context, mmx_exchange_t *exchange,
				mmx_time_t *retry_after)
{
	fixture_t *fixture = context;

	g_string_append_printf(fixture->trace, "take:%s ", exchange->account);
	fixture->pending = exchange;
	*retry_after = fixture->retry_after;
	return fixture->result;
}

static void cancel_(void *context, mmx_exchange_t *exchange)
{
	fixture_t *fixture = context;

	CU_ASSERT_PTR_EQUAL(exchange, fixture->pending);
	g_string_append(fixture->trace, "cancel ");
}

static void give_back_(void *context, const mmx_exchange_t *exchange)
{
	g_string_append_printf(((fixture_t *)context)->trace, "back:%s ",
			       exchange->account);
}

static unsigned int get_use_(void *context, const char *account)
{
	(void)account;
	return ((fixture_t *)context)->use;
}

static void on_refused_(void *context, const mmx_exchange_t *exchange)
{
	g_string_append_printf(((fixture_t *)context)->trace, "limited:%s ",
			       exchange->account);
}

static const mmx_entry_quota_ops_t quota_ops_ = {
	.take = take_,
	.cancel = cancel_,
	.give_back = give_back_,
	.get_use = get_use_,
	.on_refused = on_refused_,
};

/* Steps. */

static void post_request_(fixture_t *fixture, char **words)
{
	mmx_request_t *request =
		mmx_new_request((uint64_t)fake_number(words, "n", 1));

	request->head = mmx_head_create_request(
		"POST", fake_flag(words, "public") ? "/public/" : "/p");
	mmx_head_add(request->head, "Host", "s.test");
	if (!fake_flag(words, "public"))
		mmx_head_add(request->head, "Authorization",
			     fake_flag(words, "unlimited") ? "Bearer key-u"
							   : "Bearer key-l");
	request->body_end = !fake_flag(words, "open");
	mmx_task_post(mmx_entry_task(fixture->entry), &request->message);
}

static void post_reply_(fixture_t *fixture, char **words)
{
	const mmx_attempt_id_t id = {NODE, 1,
				     (uint64_t)fake_number(words, "n", 1)};
	mmx_response_t *response = mmx_new_response(&id);

	response->body_end = true;
	response->started = fake_flag(words, "started");
	if (fake_flag(words, "response"))
		response->head = mmx_head_create_response(200);
	else
		response->reason = response->started ? MMX_REASON_TARGET_FAILED
						     : MMX_REASON_DRAINING;
	mmx_task_post(mmx_entry_task(fixture->entry), &response->message);
}

static void post_body_(fixture_t *fixture, char **words)
{
	mmx_body_t *body = mmx_new_body(MMX_TO_TARGET);

	body->request = (uint64_t)fake_number(words, "n", 1);
	body->failed = fake_flag(words, "failed");
	body->end = true;
	fake_add_bytes(body->data, 4);
	mmx_task_post(mmx_entry_task(fixture->entry), &body->message);
}

static void set_quota_(fixture_t *fixture, char **words)
{
	fixture->retry_after = fake_number(words, "us", 0);
	fixture->use = (unsigned int)fake_number(words, "use", 0);
	fixture->result = MMX_QUOTA_GRANTED;
	if (fake_flag(words, "wait"))
		fixture->result = MMX_QUOTA_PENDING;
	else if (fake_flag(words, "refuse"))
		fixture->result = MMX_QUOTA_REFUSED;
}

static void run_step_(char **words, void *arg)
{
	fixture_t *fixture = arg;
	mmx_clock_t *clock = mmx_runtime_clock(fixture->runtime);
	mmx_time_t delay = fake_number(words, "ms", 1) * MMX_US_PER_MS;

	if (g_str_equal(words[0], "quota"))
		set_quota_(fixture, words);
	else if (g_str_equal(words[0], "request"))
		post_request_(fixture, words);
	else if (g_str_equal(words[0], "request-body"))
		post_body_(fixture, words);
	else if (g_str_equal(words[0], "grant"))
		mmx_filter_quota_decided(fixture->pending, MMX_QUOTA_GRANTED,
					 0);
	else if (g_str_equal(words[0], "deny"))
		mmx_filter_quota_decided(fixture->pending, MMX_QUOTA_REFUSED,
					 fake_number(words, "us", 0));
	else if (g_str_equal(words[0], "response") ||
		 g_str_equal(words[0], "refuse"))
		post_reply_(fixture, words);
	else if (g_str_equal(words[0], "caller-gone"))
		mmx_task_post(mmx_entry_task(fixture->entry),
			      &mmx_new_caller_gone(1)->message);
	else if (g_str_equal(words[0], "answer-by"))
		mmx_entry_cap_deadlines(fixture->entry,
					mmx_clock_now(clock) + delay);
	else if (g_str_equal(words[0], "wait"))
		mmx_clock_advance(clock, delay);
	else if (g_str_equal(words[0], "targets"))
		fake_add_targets(fixture->directory, NODE, TARGETS);
	else
		CU_FAIL("unknown step");
	mmx_runtime_deliver(fixture->runtime);
}

static void run_case_(const script_case_t *c, bool fractional)
{
	fixture_t fixture = {.header_names = mmx_header_names_default};

	fixture.header_names.fractional_retry_after = fractional;
	fixture.trace = g_string_new("");
	fixture.runtime = mmx_runtime_create(NULL);
	fixture.config_state = fake_account_routes(24, 6);
	fixture.active_state = fixture.config_state;
	fixture.directory =
		mmx_directory_create(mmx_runtime_clock(fixture.runtime));
	mmx_task_init(&fixture.others.task, &front_ops_, fixture.runtime);
	fake_init(&fixture.others.fake, fixture.runtime, fixture.trace);
	fixture.entry = mmx_entry_create(fixture.runtime, NODE, 1, 1);
	mmx_entry_set_http(fixture.entry, &fixture.others.task);
	mmx_entry_set_peer(fixture.entry, &fixture.others.task);
	mmx_entry_set_local_exit(fixture.entry, &fixture.others.task);
	mmx_entry_set_config_state(fixture.entry, &fixture.active_state);
	mmx_entry_set_directory(fixture.entry, fixture.directory);
	mmx_entry_set_header_names(fixture.entry, &fixture.header_names, NULL);
	mmx_entry_set_quota(fixture.entry, &quota_ops_, &fixture);
	mmx_entry_init(fixture.entry);
	fake_run(c->script, run_step_, &fixture);
	fake_compare(c, fixture.trace);
	mmx_entry_destroy(fixture.entry);
	mmx_directory_destroy(fixture.directory);
	mmx_config_state_destroy(fixture.config_state);
	mmx_runtime_destroy(fixture.runtime);
	g_string_free(fixture.trace, TRUE);
}

static void run_cases_(const script_case_t *cases, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		run_case_(&cases[i], true);
}

/* Guards against requests that pass without a token, and against those that
 * wait for one that they do not need. */
static void test_decisions_(void)
{
	static const script_case_t cases[] = {
		{"granted at once", "targets; request; response",
		 "take:l execute1:0 answer1:completed:none:200:0:end "},
		{"granted later",
		 "targets; quota wait use=640; request; wait ms=100; grant; "
		 "response",
		 "take:l use:640 execute1:0 "
		 "answer1:completed:none:200:0:end "},
		{"the use of the burst is sent as the whole limit",
		 "targets; quota use=1800; request",
		 "take:l use:1000 execute1:0 "},
		{"refused at once", "targets; quota refuse us=41001; request",
		 "take:l limited:l retry:0.042 "
		 "answer1:not-run:account-rate:429:22:end "},
		{"refused later",
		 "targets; quota wait; request; deny us=2000000",
		 "take:l limited:l retry:2.000 "
		 "answer1:not-run:account-rate:429:22:end "},
		{"account without a rate", "targets; request unlimited",
		 "execute1:0 "},
		{"no account", "targets; request public", "execute1:0 "},
	};
	static const script_case_t whole_seconds = {
		"callers that read whole seconds only",
		"targets; quota refuse us=41001; request",
		"take:l limited:l retry:1 "
		"answer1:not-run:account-rate:429:22:end "};

	run_cases_(cases, G_N_ELEMENTS(cases));
	run_case_(&whole_seconds, false);
}

/* Guards against a decision on a request that has ended, against one that waits
 * beyond its deadline, and against a body that is lost meanwhile. */
static void test_held_(void)
{
	static const script_case_t cases[] = {
		{"the caller leaves",
		 "targets; quota wait; request; caller-gone", "take:l cancel "},
		{"the deadline passes",
		 "targets; quota wait; request; wait ms=1999; wait ms=1",
		 "take:l cancel "
		 "answer1:not-run:deadline-exceeded:503:27:end "},
		{"a planned stop shortens the deadline",
		 "targets; quota wait; request; answer-by ms=50; wait ms=50",
		 "take:l cancel "
		 "answer1:not-run:deadline-exceeded:503:27:end "},
		{"the body ends",
		 "targets; quota wait; request open; request-body; grant",
		 "take:l execute1:4 "},
		{"the body is truncated",
		 "targets; quota wait; request open; request-body failed",
		 "take:l cancel answer1:not-run:bad-request:400:21:end "},
	};

	run_cases_(cases, G_N_ELEMENTS(cases));
}

/* Guards against tokens that are lost with requests that did not run, and
 * against the return of one whose request may have run. */
static void test_returned_(void)
{
	static const script_case_t cases[] = {
		{"no target", "request",
		 "take:l back:l answer1:not-run:no-capacity:503:21:end "},
		{"refused by all targets",
		 "targets; request; refuse; refuse n=2",
		 "take:l execute1:0 execute2:0 back:l "
		 "answer1:not-run:no-capacity:503:21:end "},
		{"may have run", "targets; request; refuse started",
		 "take:l execute1:0 "
		 "answer1:unknown:target-failed:502:23:end "},
		{"the caller leaves while it runs",
		 "targets; request; caller-gone", "take:l execute1:0 cancel1 "},
		{"completed", "targets; request; response; caller-gone",
		 "take:l execute1:0 answer1:completed:none:200:0:end "},
	};

	run_cases_(cases, G_N_ELEMENTS(cases));
}

CU_TestInfo mmx_tests_filter_quota[] = {
	{"decisions", test_decisions_},
	{"requests that are held", test_held_},
	{"tokens that are returned", test_returned_},
	CU_TEST_INFO_NULL,
};
