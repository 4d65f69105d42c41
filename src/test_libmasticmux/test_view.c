#include "suites.h"

#include <glib.h>

#include "private/view.h"

#define EXIT_NODE 2

typedef struct fixture_t {
	bool by_work;
	mmx_clock_t *clock;
	mmx_random_t random;
	mmx_directory_t *directory;
	const mmx_config_state_t *config_state;
	mmx_view_t *view;
	mmx_target_record_t record;
} fixture_t;

/* A view of one service with one target. */
static fixture_t *open_(void)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->clock = mmx_clock_create_paused();
	mmx_random_seed(&fixture->random, 1);
	fixture->directory = mmx_directory_create(fixture->clock);
	fixture->view = mmx_view_create(&(mmx_view_config_t){
		.clock = fixture->clock,
		.random = &fixture->random,
		.directory = fixture->directory,
		.config_state = &fixture->config_state,
		.guards = &mmx_guards_all,
		.by_work = &fixture->by_work,
	});
	fixture->record = (mmx_target_record_t){
		.id = mmx_directory_id("exit", "target"),
		.node = EXIT_NODE,
		.incarnation = 1,
		.version = 1,
		.state = MMX_TARGET_WARM,
		.slots = 3,
		.name = "target",
		.service = "s",
	};
	mmx_directory_update(fixture->directory, &fixture->record);
	return fixture;
}

static void close_(fixture_t *fixture)
{
	mmx_view_destroy(fixture->view);
	mmx_directory_destroy(fixture->directory);
	mmx_clock_destroy(fixture->clock);
	g_free(fixture);
}

static bool is_chosen_(fixture_t *fixture)
{
	mmx_balance_request_t request = {0};
	mmx_view_choice_t choice;

	if (!mmx_view_start_attempt(fixture->view, "s", &request, &choice))
		return false;
	mmx_view_finish_attempt(fixture->view, choice.target, choice.node);
	return true;
}

static void report_(fixture_t *fixture, mmx_target_state_t state)
{
	mmx_view_report_load(fixture->view,
			     &(mmx_load_report_t){
				     .target = fixture->record.id,
				     .slots = 3,
				     .state = state,
			     });
}

/*
 * Guards against targets that are lost for good after a planned restart of
 * their exit: the directory's record of the target does not change, so nothing
 * but a later report or time ends what the stopping process has reported. Also
 * guards against work for a target that leaves.
 */
static void test_draining_report_(void)
{
	enum { NONE = MMX_TARGET_STATE_COUNT };
	static const struct {
		const char *name;
		int second_report; /* state, or NONE */
		bool new_record;
		mmx_target_state_t record_state; /* of the new record */
		int wait_ms;			 /* after both */
		bool chosen;
	} cases[] = {
		{"at once", NONE, false, MMX_TARGET_WARM, 0, false},
		{"within its lifetime", NONE, false, MMX_TARGET_WARM, 900,
		 false},
		{"the exit was restarted", NONE, false, MMX_TARGET_WARM, 1100,
		 true},
		{"the new exit process reports", MMX_TARGET_WARM, false,
		 MMX_TARGET_WARM, 0, true},
		{"the exit still stops", MMX_TARGET_DRAINING, false,
		 MMX_TARGET_WARM, 1900, false},
		{"new record", NONE, true, MMX_TARGET_WARM, 100, true},
		{"the target has left", NONE, true, MMX_TARGET_DRAINING, 60000,
		 false},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t *fixture = open_();

		CU_ASSERT_TRUE(is_chosen_(fixture));
		report_(fixture, MMX_TARGET_DRAINING);
		mmx_clock_advance(fixture->clock, MMX_US_PER_S);
		CU_ASSERT_FALSE(is_chosen_(fixture));
		if (cases[i].second_report != NONE)
			report_(fixture,
				(mmx_target_state_t)cases[i].second_report);
		if (cases[i].new_record) {
			fixture->record.version++;
			fixture->record.state = cases[i].record_state;
			mmx_directory_update(fixture->directory,
					     &fixture->record);
		}
		mmx_clock_advance(fixture->clock,
				  cases[i].wait_ms * MMX_US_PER_MS);
		if (is_chosen_(fixture) != cases[i].chosen) {
			printf("%s: chosen is %d\n", cases[i].name,
			       !cases[i].chosen);
			CU_FAIL("choice after a report");
		}
		close_(fixture);
	}
}

/*
 * Guards against requests to a target that has said that it leaves, when its
 * exit restarts and offers it again, and against a target that is lost for good
 * when it has started again.
 */
static void test_leaving_(void)
{
	static const struct {
		const char *name;
		uint64_t first_start; /* of the process of the target */
		uint64_t second_start;
		bool removed; /* from the directory in between */
		int wait_s;
		bool chosen;
	} cases[] = {
		{"at once", 5, 5, false, 0, false},
		{"offered again", 5, 5, true, 30, false},
		{"started again", 5, 6, true, 0, true},
		{"started again, record unchanged else", 5, 6, false, 0, true},
		{"start not told", 0, 0, true, 30, false},
		{"start told later", 0, 5, true, 30, false},
		{"long after", 5, 5, true, 61, true},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t *fixture = open_();
		mmx_target_record_t *record = &fixture->record;

		record->process_start = cases[i].first_start;
		record->version++;
		mmx_directory_update(fixture->directory, record);
		CU_ASSERT_TRUE(is_chosen_(fixture));
		mmx_view_target_leaves(fixture->view, record->id);
		CU_ASSERT_FALSE(is_chosen_(fixture));
		if (cases[i].removed) {
			record->version++;
			record->state = MMX_TARGET_GONE;
			mmx_directory_update(fixture->directory, record);
		}
		mmx_clock_advance(fixture->clock, MMX_US_PER_S);
		CU_ASSERT_FALSE(is_chosen_(fixture));
		record->version++;
		record->state = MMX_TARGET_WARM;
		record->process_start = cases[i].second_start;
		mmx_directory_update(fixture->directory, record);
		mmx_clock_advance(fixture->clock,
				  cases[i].wait_s * MMX_US_PER_S +
					  100 * MMX_US_PER_MS);
		if (is_chosen_(fixture) != cases[i].chosen) {
			printf("%s: chosen is %d\n", cases[i].name,
			       !cases[i].chosen);
			CU_FAIL("choice after a target said that it leaves");
		}
		close_(fixture);
	}
}

/*
 * Guards against a choice by work without the setting, for a service with even
 * run times, or after a restart before anything is known; and against reports
 * of work that do not reach the choice.
 */
static void test_cost_(void)
{
	static const struct {
		const char *name;
		bool by_work;
		int count; /* of run times */
		int longest_ms;
		double cost;	     /* of route 1, relative */
		mmx_time_t expected; /* run time at the target, ms */
	} cases[] = {
		{"by requests", false, 40, 2000, 0, 0},
		{"nothing known", true, 0, 0, 0, 0},
		{"too few run times", true, 10, 2000, 0, 0},
		{"even run times", true, 40, 300, 0, 0},
		{"uneven run times", true, 40, 1900, 0.1, 40},
	};
	size_t i;
	int n;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t *fixture = open_();
		mmx_balance_request_t request = {.cost = 1};
		mmx_cost_key_t keys[] = {{1, MMX_COST_BODY_NONE},
					 {2, MMX_COST_BODY_NONE}};
		mmx_view_choice_t choice = {0};

		fixture->by_work = cases[i].by_work;
		CU_ASSERT_TRUE(is_chosen_(fixture));
		for (n = 0; n < cases[i].count; n++)
			mmx_view_learn_cost(
				fixture->view, "s", keys[n % 2],
				(n % 2 ? cases[i].longest_ms : 100) *
					MMX_US_PER_MS);
		mmx_view_report_load(fixture->view,
				     &(mmx_load_report_t){
					     .target = fixture->record.id,
					     .slots = 3,
					     .state = MMX_TARGET_WARM,
					     .work_ms = 70,
					     .run_ms = 400,
				     });
		mmx_view_set_cost(fixture->view, "s", keys[0], &request);
		CU_ASSERT_DOUBLE_EQUAL(request.cost, cases[i].cost, 0.001);
		CU_ASSERT_TRUE(mmx_view_start_attempt(fixture->view, "s",
						      &request, &choice));
		CU_ASSERT_EQUAL(choice.cost / MMX_US_PER_MS, cases[i].expected);
		CU_ASSERT_EQUAL(choice.load_estimate.work, 70 * MMX_US_PER_MS);
		mmx_view_finish_attempt(fixture->view, choice.target,
					choice.node);
		close_(fixture);
	}
}

CU_TestInfo mmx_tests_view[] = {
	{"expected cost", test_cost_},
	{"report of a draining target", test_draining_report_},
	{"target that says that it leaves", test_leaving_},
	CU_TEST_INFO_NULL,
};
