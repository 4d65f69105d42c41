#include "suites.h"

#include <event2/buffer.h>

#include "fakes.h"
#include "private/entry.h"

#define NODE 10
#define INCARNATION 1
#define TARGETS 5
/* The attempt of another entry that holds the key, and offset of its claim. */
#define HOLDER_ENTRY 77
#define HOLDER_SEQUENCE 9
#define HOLDER_OFFSET 40

typedef struct fixture_t {
	mmx_runtime_t *runtime;
	mmx_config_state_t *config_state;
	const mmx_config_state_t *active_state;
	mmx_directory_t *directory;
	mmx_entry_t *entry;
	fake_t http;
	fake_t peer;
	fake_t claims;
	GString *trace;
} fixture_t;

static void apply_configuration_(mmx_config_state_t *config_state)
{
	mmx_change_t *change = mmx_change_create();
	mmx_change_template_t *template = mmx_change_add_template(change, "t");
	mmx_change_service_t *service = mmx_change_add_service(change, "s");

	template->policy.deadline = 2 * MMX_US_PER_S;
	template->policy.repeatable = MMX_METHODS_SAFE;
	template->policy.floor_slots = 1;
	template->policy.retry_percent = 100;
	g_strlcpy(service->template_name, "t", sizeof(service->template_name));
	mmx_change_add_route(service, "s.test", "/");
	fake_apply(config_state, change);
}

static void post_request_(fixture_t *fixture, char **words)
{
	mmx_request_t *request =
		mmx_new_request((uint64_t)fake_number(words, "n", 1));

	request->head = mmx_head_create_request("POST", "/p");
	mmx_head_add(request->head, "Host", "s.test");
	mmx_head_add(request->head, "Idempotency-Key", "k");
	request->body_end = !fake_flag(words, "open");
	mmx_task_post(mmx_entry_task(fixture->entry), &request->message);
}

static mmx_attempt_id_t own_id_(char **words)
{
	return (mmx_attempt_id_t){
		.entry = NODE,
		.incarnation = INCARNATION,
		.sequence = (uint64_t)fake_number(words, "n", 1),
	};
}

static mmx_attempt_id_t holder_id_(void)
{
	return (mmx_attempt_id_t){
		.entry = HOLDER_ENTRY,
		.incarnation = 3,
		.sequence = HOLDER_SEQUENCE,
	};
}

/* The holder's deadline is in one second; "ended=S": S seconds earlier. */
static void post_claim_reply_(fixture_t *fixture, char **words)
{
	mmx_attempt_id_t id = own_id_(words);
	mmx_claim_reply_t *reply = mmx_new_claim_reply(
		&id, fake_flag(words, "won")	? MMX_CLAIM_WON
		     : fake_flag(words, "lost") ? MMX_CLAIM_LOST
						: MMX_CLAIM_UNAVAILABLE);

	reply->holder.offset =
		(uint64_t)fake_number(words, "offset", HOLDER_OFFSET);
	reply->holder.claim.attempt =
		fake_flag(words, "won") ? id : holder_id_();
	reply->holder.claim.exit = NODE + 1;
	reply->holder.claim.exit_incarnation = 1;
	reply->holder.claim.deadline =
		mmx_clock_wall(mmx_runtime_clock(fixture->runtime)) +
		MMX_US_PER_S -
		(uint64_t)fake_number(words, "ended", 0) * MMX_US_PER_S;
	mmx_task_post(mmx_entry_task(fixture->entry), &reply->message);
}

static void post_holder_reply_(fixture_t *fixture, char **words)
{
	mmx_attempt_id_t id = holder_id_();
	struct evbuffer *kept_body = evbuffer_new();
	mmx_fence_reply_t *reply;
	int i;

	for (i = 0; i < MMX_FENCE_STATE_COUNT; i++)
		if (fake_flag(words, mmx_fence_state_string[i]))
			break;
	reply = mmx_new_fence_reply(&id, (mmx_fence_state_t)i);
	reply->purpose = MMX_FENCE_QUERY;
	if (fake_flag(words, "head")) {
		reply->head = mmx_head_create_response(200);
		fake_add_bytes(kept_body, 7);
		/* As in the reply of the exit of this node. */
		evbuffer_add_buffer_reference(reply->body, kept_body);
	}
	evbuffer_free(kept_body);
	mmx_task_post(mmx_entry_task(fixture->entry), &reply->message);
}

static void post_response_(fixture_t *fixture, char **words, bool refusal)
{
	mmx_attempt_id_t id = own_id_(words);
	mmx_response_t *response = mmx_new_response(&id);

	response->body_end = true;
	if (refusal) {
		response->reason = MMX_REASON_OVERLOADED;
	} else {
		response->head = mmx_head_create_response(200);
		fake_add_bytes(response->body, 3);
	}
	mmx_task_post(mmx_entry_task(fixture->entry), &response->message);
}

static void post_request_body_(fixture_t *fixture, char **words)
{
	mmx_body_t *body = mmx_new_body(MMX_TO_TARGET);

	body->request = 1;
	fake_add_bytes(body->data, fake_number(words, "size", 4));
	body->failed = fake_flag(words, "failed");
	body->end = body->failed || fake_flag(words, "end");
	mmx_task_post(mmx_entry_task(fixture->entry), &body->message);
}

static void run_other_step_(fixture_t *fixture, char **words)
{
	mmx_task_t *task = mmx_entry_task(fixture->entry);

	if (g_str_equal(words[0], "path-lost"))
		mmx_task_post(task, &mmx_new_path_lost(NODE + 1)->message);
	else if (g_str_equal(words[0], "caller-gone"))
		mmx_task_post(task, &mmx_new_caller_gone(1)->message);
	else if (g_str_equal(words[0], "wait"))
		mmx_clock_advance(mmx_runtime_clock(fixture->runtime),
				  fake_number(words, "ms", 1) * MMX_US_PER_MS);
	else if (g_str_equal(words[0], "jump"))
		mmx_clock_jump(mmx_runtime_clock(fixture->runtime),
			       fake_number(words, "ms", 1) * MMX_US_PER_MS);
	else if (g_str_equal(words[0], "count"))
		g_string_append_printf(fixture->trace, "in-progress:%zu ",
				       mmx_entry_in_progress(fixture->entry));
	else
		CU_FAIL("unknown step");
}

static void run_step_(char **words, void *arg)
{
	fixture_t *fixture = arg;

	if (g_str_equal(words[0], "request"))
		post_request_(fixture, words);
	else if (g_str_equal(words[0], "claim"))
		post_claim_reply_(fixture, words);
	else if (g_str_equal(words[0], "holder"))
		post_holder_reply_(fixture, words);
	else if (g_str_equal(words[0], "response"))
		post_response_(fixture, words, false);
	else if (g_str_equal(words[0], "refuse"))
		post_response_(fixture, words, true);
	else if (g_str_equal(words[0], "request-body"))
		post_request_body_(fixture, words);
	else
		run_other_step_(fixture, words);
	mmx_runtime_deliver(fixture->runtime);
}

static void run_case_(const script_case_t *c)
{
	fixture_t fixture = {.trace = g_string_new("")};

	fixture.runtime = mmx_runtime_create(NULL);
	fixture.config_state = mmx_config_state_create();
	fixture.active_state = fixture.config_state;
	apply_configuration_(fixture.config_state);
	fixture.directory =
		mmx_directory_create(mmx_runtime_clock(fixture.runtime));
	fake_add_targets(fixture.directory, NODE, TARGETS);
	fake_init(&fixture.http, fixture.runtime, fixture.trace);
	fake_init(&fixture.peer, fixture.runtime, fixture.trace);
	fake_init(&fixture.claims, fixture.runtime, fixture.trace);
	fixture.entry = mmx_entry_create(fixture.runtime, NODE, INCARNATION, 1);
	mmx_entry_set_http(fixture.entry, &fixture.http.task);
	mmx_entry_set_peer(fixture.entry, &fixture.peer.task);
	mmx_entry_set_local_exit(fixture.entry, &fixture.peer.task);
	mmx_entry_set_claims(fixture.entry, &fixture.claims.task);
	mmx_entry_set_config_state(fixture.entry, &fixture.active_state);
	mmx_entry_set_directory(fixture.entry, fixture.directory);
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
		run_case_(&cases[i]);
}

/* Guards against an attempt that is sent without its claim, or before the claim
 * is won. */
static void test_claims_(void)
{
	static const script_case_t cases[] = {
		{"won", "request; claim won; response; count",
		 "claim1 execute1:0 answer1:completed:none:200:3:end "
		 "in-progress:0 "},
		{"unavailable", "request; claim; count",
		 "claim1 answer1:not-run:claim-unavailable:503:27:end "
		 "in-progress:0 "},
		{"no reply by the deadline", "request; wait ms=2000; count",
		 "claim1 answer1:not-run:claim-unavailable:503:27:end "
		 "in-progress:0 "},
		{"reply after the deadline", "request; wait ms=2000; claim won",
		 "claim1 answer1:not-run:claim-unavailable:503:27:end "},
		{"won in a process that was paused past the deadline",
		 "request; jump ms=3000; claim won",
		 "claim1 answer1:not-run:deadline-exceeded:503:27:end "},
		{"caller gone while claiming",
		 "request; caller-gone; claim won; count",
		 "claim1 in-progress:0 "},
		{"path of the chosen exit lost while claiming",
		 "request; path-lost; claim won; response",
		 "claim1 execute1:0 answer1:completed:none:200:3:end "},
		{"refused after the claim: claimed again for the next target",
		 "request; claim won offset=5; refuse; claim n=2 won offset=6; "
		 "response n=2",
		 "claim1 execute1:0 claim2:supersedes5 execute2:0 "
		 "answer1:completed:none:200:3:end "},
		{"refused, and the second claim is unavailable",
		 "request; claim won offset=5; refuse; claim n=2",
		 "claim1 execute1:0 claim2:supersedes5 "
		 "answer1:not-run:claim-unavailable:503:27:end "},
		{"refused, and the deadline passes during the second claim",
		 "request; claim won offset=5; refuse; wait ms=2000; count",
		 "claim1 execute1:0 claim2:supersedes5 "
		 "answer1:not-run:overloaded:503:20:end in-progress:0 "},
		{"a second reply is ignored",
		 "request; claim won; claim won; response",
		 "claim1 execute1:0 answer1:completed:none:200:3:end "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

/* Guards against a second run for a key that another attempt holds, and against
 * the outcome not-run although the holder may have run. */
static void test_lost_(void)
{
	static const script_case_t cases[] = {
		{"holder running", "request; claim lost; holder running; count",
		 "claim1 fence9:query "
		 "answer1:unknown:duplicate-in-progress:409:31:end "
		 "in-progress:0 "},
		{"holder finished, response available",
		 "request; claim lost; holder finished head; count",
		 "claim1 fence9:query "
		 "answer1:completed:duplicate-completed:200:7:end "
		 "in-progress:0 "},
		{"holder finished, response not available",
		 "request; claim lost; holder finished",
		 "claim1 fence9:query "
		 "answer1:unknown:duplicate-completed:409:29:end "},
		{"holder forgotten", "request; claim lost; holder forgotten",
		 "claim1 fence9:query answer1:unknown:path-lost:504:19:end "},
		{"holder fenced, taken over",
		 "request; claim lost; holder fenced; claim n=2 won; "
		 "response n=2",
		 "claim1 fence9:query claim2:supersedes40 execute2:0 "
		 "answer1:completed:none:200:3:end "},
		{"the takeover is lost as well",
		 "request; claim lost; holder fenced; "
		 "claim n=2 lost offset=41; holder running",
		 "claim1 fence9:query claim2:supersedes40 fence9:query "
		 "answer1:unknown:duplicate-in-progress:409:31:end "},
		{"the takeover is unavailable",
		 "request; claim lost; holder fenced; claim n=2",
		 "claim1 fence9:query claim2:supersedes40 "
		 "answer1:not-run:claim-unavailable:503:27:end "},
		{"long after the holder's deadline it is fenced",
		 "request; claim lost ended=7; holder fenced; claim n=2 won; "
		 "response n=2",
		 "claim1 fence9:takeover claim2:supersedes40 execute2:0 "
		 "answer1:completed:none:200:3:end "},
		{"soon after the holder's deadline it is not",
		 "request; claim lost ended=5; holder running",
		 "claim1 fence9:query "
		 "answer1:unknown:duplicate-in-progress:409:31:end "},
		{"no reply by the deadline",
		 "request; claim lost; wait ms=2000; holder finished head; "
		 "count",
		 "claim1 fence9:query answer1:unknown:path-lost:504:19:end "
		 "in-progress:0 "},
		{"caller gone while querying",
		 "request; claim lost; caller-gone; holder fenced; count",
		 "claim1 fence9:query in-progress:0 "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

/* Guards against a request that waits until its deadline because another one of
 * this node with the same key has received the reply about the holder. */
static void test_shared_holder_(void)
{
	static const script_case_t cases[] = {
		{"two requests query one holder",
		 "request; request n=2; claim lost; claim n=2 lost; "
		 "holder running; holder running; count",
		 "claim1 claim2 fence9:query fence9:query "
		 "answer1:unknown:duplicate-in-progress:409:31:end "
		 "answer2:unknown:duplicate-in-progress:409:31:end "
		 "in-progress:0 "},
		{"two requests query one holder, one reply arrives",
		 "request; request n=2; claim lost; claim n=2 lost; "
		 "holder finished head; count",
		 "claim1 claim2 fence9:query fence9:query "
		 "answer1:completed:duplicate-completed:200:7:end "
		 "answer2:completed:duplicate-completed:200:7:end "
		 "in-progress:0 "},
		{"one reply lets two requests take over",
		 "request; request n=2; claim lost; claim n=2 lost; "
		 "holder fenced; claim n=3 won; response n=3; count",
		 "claim1 claim2 fence9:query fence9:query "
		 "claim3:supersedes40 claim4:supersedes40 execute3:0 "
		 "answer1:completed:none:200:3:end in-progress:1 "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

/* Guards against request body parts that are lost, sent twice or sent in the
 * wrong order because they arrived before the attempt was sent. */
static void test_request_body_(void)
{
	static const script_case_t cases[] = {
		{"arrives while claiming",
		 "request open; request-body size=100; "
		 "request-body size=50 end; claim won; response",
		 "claim1 execute1:150 answer1:completed:none:200:3:end "},
		{"partly arrives while claiming",
		 "request open; request-body size=100; claim won; "
		 "request-body size=50 end; response",
		 "claim1 execute1:100:open body1:50:end "
		 "answer1:completed:none:200:3:end "},
		{"long, arrives while claiming",
		 "request open; request-body size=70000; claim won; "
		 "request-body size=5 end; response",
		 "claim1 execute1:70000:open body1:5:end "
		 "answer1:completed:none:200:3:end "},
		{"too long to be sent twice, fenced holder",
		 "request open; request-body size=70000; claim lost; "
		 "holder fenced; claim n=2 won; request-body size=5 end; "
		 "response n=2",
		 "claim1 fence9:query claim2:supersedes40 execute2:70000:open "
		 "body2:5:end answer1:completed:none:200:3:end "},
		{"arrives while querying",
		 "request open; claim lost; request-body size=9 end; "
		 "holder fenced; claim n=2 won; response n=2",
		 "claim1 fence9:query claim2:supersedes40 execute2:9 "
		 "answer1:completed:none:200:3:end "},
		{"truncated while claiming",
		 "request open; request-body failed; claim won; count",
		 "claim1 answer1:not-run:bad-request:400:21:end "
		 "in-progress:0 "},
		{"truncated while querying",
		 "request open; claim lost; request-body failed; "
		 "holder finished head; count",
		 "claim1 fence9:query answer1:not-run:bad-request:400:21:end "
		 "in-progress:0 "},
	};

	run_cases_(cases, sizeof(cases) / sizeof(cases[0]));
}

CU_TestInfo mmx_tests_filter_attempt_claim[] = {
	{"claims", test_claims_},
	{"lost claims", test_lost_},
	{"several requests with one holder", test_shared_holder_},
	{"request bodies", test_request_body_},
	CU_TEST_INFO_NULL,
};
