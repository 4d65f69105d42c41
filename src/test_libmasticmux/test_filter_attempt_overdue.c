#include "suites.h"

#include <event2/buffer.h>

#include "fakes.h"
#include "private/entry.h"

#define NODE 10
#define MS MMX_US_PER_MS
#define OBJECTIVE_US (2000 * MS)
#define DEADLINE_US (5000 * MS)

typedef struct fixture_t {
	mmx_runtime_t *runtime;
	mmx_entry_t *entry;
	mmx_directory_t *directory;
	fake_t http;
	fake_t exits;
	GString *trace;
} fixture_t;

static void post_request_(fixture_t *fixture)
{
	mmx_request_t *request = mmx_new_request(1);

	request->head = mmx_head_create_request("GET", "/p");
	mmx_head_add(request->head, "Host", "s.test");
	request->body_end = true;
	mmx_task_post(mmx_entry_task(fixture->entry), &request->message);
}

static void post_response_(fixture_t *fixture, char **words)
{
	mmx_attempt_id_t id = {
		.entry = NODE,
		.incarnation = 1,
		.sequence = (uint64_t)fake_number(words, "n", 1),
	};
	mmx_response_t *response = mmx_new_response(&id);
	int i;

	response->body_end = !fake_flag(words, "open");
	if (g_str_equal(words[0], "response")) {
		response->head = mmx_head_create_response(
			(int)fake_number(words, "status", 200));
		fake_add_bytes(response->body, 3);
	}
	for (i = 1; i < MMX_REASON_COUNT; i++)
		if (fake_flag(words, mmx_reason_string[i]))
			response->reason = (mmx_reason_t)i;
	response->started = fake_flag(words, "started");
	response->offered = response->started;
	response->grant = fake_flag(words, "grant");
	mmx_task_post(mmx_entry_task(fixture->entry), &response->message);
}

static void run_step_(char **words, void *arg)
{
	fixture_t *fixture = arg;
	mmx_task_t *task = mmx_entry_task(fixture->entry);

	if (g_str_equal(words[0], "targets"))
		fake_add_targets(fixture->directory, NODE,
				 (size_t)fake_number(words, "count", 5));
	else if (g_str_equal(words[0], "request"))
		post_request_(fixture);
	else if (g_str_equal(words[0], "response") ||
		 g_str_equal(words[0], "refuse"))
		post_response_(fixture, words);
	else if (g_str_equal(words[0], "wait"))
		mmx_clock_advance(mmx_runtime_clock(fixture->runtime),
				  fake_number(words, "ms", 1) * MS);
	else if (g_str_equal(words[0], "caller-gone"))
		mmx_task_post(task, &mmx_new_caller_gone(1)->message);
	else if (g_str_equal(words[0], "lost"))
		mmx_task_post(task,
			      &mmx_new_path_lost(fixture->exits.exit)->message);
	else if (g_str_equal(words[0], "count"))
		g_string_append_printf(fixture->trace, "in-progress:%zu ",
				       mmx_entry_in_progress(fixture->entry));
	else
		CU_FAIL("unknown step");
	mmx_runtime_deliver(fixture->runtime);
}

static void run_cases_(const script_case_t *cases, size_t count,
		       bool repeatable, bool large_bodies)
{
	size_t i;

	for (i = 0; i < count; i++) {
		mmx_config_state_t *config_state = fake_routes(
			OBJECTIVE_US, DEADLINE_US, repeatable, large_bodies);
		const mmx_config_state_t *active_state = config_state;
		fixture_t fixture = {
			.runtime = mmx_runtime_create(NULL),
			.trace = g_string_new(""),
		};

		fixture.directory = mmx_directory_create(
			mmx_runtime_clock(fixture.runtime));
		fixture.entry = mmx_entry_create(fixture.runtime, NODE, 1, 1);
		fake_init(&fixture.http, fixture.runtime, fixture.trace);
		fake_init(&fixture.exits, fixture.runtime, fixture.trace);
		mmx_entry_set_http(fixture.entry, &fixture.http.task);
		mmx_entry_set_peer(fixture.entry, &fixture.exits.task);
		mmx_entry_set_local_exit(fixture.entry, &fixture.exits.task);
		mmx_entry_set_config_state(fixture.entry, &active_state);
		mmx_entry_set_directory(fixture.entry, fixture.directory);
		mmx_entry_set_budget_at_exits(fixture.entry, true);
		mmx_entry_init(fixture.entry);
		fake_run(cases[i].script, run_step_, &fixture);
		fake_compare(&cases[i], fixture.trace);
		mmx_entry_destroy(fixture.entry);
		mmx_directory_destroy(fixture.directory);
		mmx_config_state_destroy(config_state);
		mmx_runtime_destroy(fixture.runtime);
		g_string_free(fixture.trace, TRUE);
	}
}

/*
 * Load pattern: targets that accept repeatable requests and answer late or
 * never. Guards against a caller that waits until its deadline although another
 * target would have answered, against a target that continues with an attempt
 * that is no longer needed, and against two answers to one request.
 */
static void test_second_attempt_(void)
{
	static const script_case_t cases[] = {
		{"answers in time",
		 "targets; request; wait ms=1000; response; wait ms=4000",
		 "execute1:0 answer1:completed:none:200:3:end "},
		{"never answers",
		 "targets; request; wait ms=1500; response n=2; count",
		 "execute1:0 execute2:0 cancel1 "
		 "answer1:completed:none:200:3:end in-progress:0 "},
		{"is only slow",
		 "targets; request; wait ms=1500; response n=1; response n=2",
		 "execute1:0 execute2:0 cancel2 "
		 "answer1:completed:none:200:3:end "},
		{"is slow, and the caller leaves",
		 "targets; request; wait ms=1500; caller-gone; response; count",
		 "execute1:0 execute2:0 cancel1 cancel2 in-progress:0 "},
		{"the second fails without a response, the first answers",
		 "targets count=2; request; wait ms=1500; "
		 "refuse n=2 target-failed started; response n=1",
		 "execute1:0 execute2:0 answer1:completed:none:200:3:end "},
		{"the first fails without a response, the second answers",
		 "targets; request; wait ms=1500; "
		 "refuse n=1 target-failed started; response n=2",
		 "execute1:0 execute2:0 answer1:completed:none:200:3:end "},
		{"the first returns an error, the second answers",
		 "targets; request; wait ms=1500; response n=1 status=500; "
		 "response n=2",
		 "execute1:0 execute2:0 answer1:completed:none:200:3:end "},
		{"the path of the second is lost",
		 "targets count=2; request; wait ms=1500; lost; response n=1",
		 "execute1:0 execute2:0 cancel2 "
		 "answer1:completed:none:200:3:end "},
		{"the second is overdue as well",
		 "targets; request; wait ms=1500; wait ms=1500; response n=3",
		 "execute1:0 execute2:0 cancel1 execute3:0 cancel2 "
		 "answer1:completed:none:200:3:end "},
		{"neither answers",
		 "targets count=2; request; wait ms=1500; wait ms=3500; count",
		 "execute1:0 execute2:0 cancel1 cancel2 "
		 "answer1:unknown:deadline-exceeded:504:27:end in-progress:0 "},
	};

	run_cases_(cases, G_N_ELEMENTS(cases), true, false);
}

/*
 * Load pattern: as above, while the other targets are full or suspect. Guards
 * against a request that ends because its second attempt was refused while the
 * first one is in progress, and against the outcome unknown for a request that
 * has only waited in queues.
 */
static void test_refused_second_attempt_(void)
{
	static const script_case_t cases[] = {
		{"no other target",
		 "targets count=1; request; wait ms=1500; response n=1",
		 "execute1:0 answer1:completed:none:200:3:end "},
		{"refused everywhere",
		 "targets count=3; request; wait ms=1500; refuse n=2 busy; "
		 "refuse n=3 retry-budget; response n=1",
		 "execute1:0 execute2:0 execute3:0 "
		 "answer1:completed:none:200:3:end "},
		{"the first has only waited, the second is refused",
		 "targets count=2; request; wait ms=1500; "
		 "refuse n=1 time-short; refuse n=2 overloaded; count",
		 "execute1:0 execute2:0 "
		 "answer1:not-run:overloaded:503:20:end in-progress:0 "},
		{"the second is refused, the first has only waited",
		 "targets count=2; request; wait ms=1500; "
		 "refuse n=2 overloaded; refuse n=1 time-short; count",
		 "execute1:0 execute2:0 "
		 "answer1:not-run:overloaded:503:20:end in-progress:0 "},
		{"the first fails, the second is refused",
		 "targets count=2; request; wait ms=1500; "
		 "refuse n=1 target-failed started; refuse n=2 overloaded",
		 "execute1:0 execute2:0 "
		 "answer1:unknown:overloaded:504:20:end "},
	};

	run_cases_(cases, G_N_ELEMENTS(cases), true, false);
}

/* Guards against a second run of a request that is not repeatable. */
static void test_not_repeatable_(void)
{
	static const script_case_t cases[] = {
		{"never answers",
		 "targets; request; wait ms=4890; response n=1",
		 "execute1:0 answer1:completed:none:200:3:end "},
	};

	run_cases_(cases, G_N_ELEMENTS(cases), false, false);
}

/*
 * Load pattern: downloads at a full service, most of which wait for a slot for
 * longer than usual. Guards against second attempts, which would double the
 * load of the service and the bytes on its links.
 */
static void test_large_bodies_(void)
{
	static const script_case_t cases[] = {
		{"late", "targets; request; wait ms=4890; response n=1",
		 "execute1:0 answer1:completed:none:200:3:end "},
	};

	run_cases_(cases, G_N_ELEMENTS(cases), true, true);
}

CU_TestInfo mmx_tests_filter_attempt_overdue[] = {
	{"second attempts of overdue requests", test_second_attempt_},
	{"refused second attempts", test_refused_second_attempt_},
	{"no second attempt if not repeatable", test_not_repeatable_},
	{"no second attempt with large bodies", test_large_bodies_},
	CU_TEST_INFO_NULL,
};
