/* Announcements that arrive late, or from another process at the address of a
 * target. */
#include "suites.h"

#include <glib.h>
#include <string.h>

#include "fakes.h"
#include "private/exit.h"
#include "private/header_names.h"

typedef struct fixture_t {
	mmx_runtime_t *runtime;
	mmx_exit_t *exit;
	fake_t client;
	fake_t origin;
	GString *trace;
	uint64_t attempts;
	char states[3];	    /* first letters of the states of "a" and "b" */
	unsigned int asked; /* times that the target was to be confirmed */
} fixture_t;

/* Sequence that stands for a target that was found by a probe and did not
 * announce itself. */
#define ASSUMED UINT64_MAX

typedef struct step_t {
	const char *name;
	mmx_target_state_t state;
	uint64_t born;
	uint64_t sequence;
	const char *states; /* expected; '-': unknown. NULL: only wait */
} step_t;

/* Sequence that stands for a request to the target of the step that is answered
 * by another target. */
#define MISDIRECTED (UINT64_MAX - 1)

#define STEPS_MAX 10

typedef struct case_t {
	const char *name;
	step_t steps[STEPS_MAX];
} case_t;

static void target_changed_(void *context, const mmx_target_record_t *record)
{
	fixture_t *fixture = context;

	if (record->name[0] <= 'b')
		fixture->states[record->name[0] - 'a'] =
			mmx_target_state_string[record->state][0];
}

static const mmx_exit_observer_ops_t observer_ = {
	.target_changed = target_changed_,
};

static void target_unconfirmed_(void *context)
{
	fixture_t *fixture = context;

	fixture->states[2]++;
}

/* Of a process whose target may have withdrawn before it started. */
static const mmx_exit_observer_ops_t restarted_observer_ = {
	.target_changed = target_changed_,
	.target_unconfirmed = target_unconfirmed_,
};

static void announce_(fixture_t *fixture, const step_t *step)
{
	mmx_target_announced_t *announced = mmx_new_target_announced();

	g_strlcpy(announced->name, step->name, sizeof(announced->name));
	announced->state = step->state;
	announced->process_start = step->born;
	announced->assumed = step->sequence == ASSUMED;
	announced->sequence = announced->assumed ? 0 : step->sequence;
	if (step->state != MMX_TARGET_GONE) {
		g_strlcpy(announced->service, "s", sizeof(announced->service));
		announced->address = (mmx_address_t){"127.0.0.1", 80};
		announced->slots = 1;
		announced->lease = 3600 * MMX_US_PER_S;
	}
	mmx_task_post(mmx_exit_task(fixture->exit), &announced->message);
	mmx_runtime_deliver(fixture->runtime);
}

static void misdirect_(fixture_t *fixture, const step_t *step)
{
	mmx_attempt_id_t id = {1, 1, ++fixture->attempts};
	mmx_execute_t *execute = mmx_new_execute();
	mmx_call_event_t *event = mmx_new_call_event(&id, MMX_CALL_HEAD);
	mmx_task_t *task = mmx_exit_task(fixture->exit);

	execute->attempt = id;
	execute->exit = 1;
	execute->exit_incarnation = 1;
	execute->target = mmx_directory_id("node", step->name);
	g_strlcpy(execute->service, "s", sizeof(execute->service));
	execute->remaining = MMX_US_PER_S;
	execute->head = mmx_head_create_request("GET", "/");
	execute->body_end = true;
	execute->origin.task = &fixture->origin.task;
	execute->origin.connection = 1;
	mmx_task_post(task, &execute->message);
	mmx_runtime_deliver(fixture->runtime);
	event->head = mmx_head_create_response(421);
	event->body_end = true;
	mmx_task_post(task, &event->message);
	mmx_runtime_deliver(fixture->runtime);
}

/* During a pause of the process no timer fires. */
static void pass_time_(mmx_runtime_t *runtime, const step_t *step)
{
	mmx_clock_t *clock = mmx_runtime_clock(runtime);
	mmx_time_t length = (mmx_time_t)step->sequence * MMX_US_PER_MS;

	if (strcmp(step->name, "pause") == 0)
		mmx_clock_jump(clock, length);
	else
		mmx_clock_advance(clock, length);
}

static void run_case_(const case_t *c, const mmx_exit_observer_ops_t *observer)
{
	static const mmx_header_names_t header_names = {.target = "Target"};

	fixture_t fixture = {.states = "--0"};
	size_t i;

	if (!observer->target_unconfirmed)
		fixture.states[2] = '\0';
	fixture.runtime = mmx_runtime_create(NULL);
	fixture.trace = g_string_new("");
	fake_init(&fixture.client, fixture.runtime, fixture.trace);
	fake_init(&fixture.origin, fixture.runtime, fixture.trace);
	fixture.exit = mmx_exit_create(fixture.runtime, 1, "node", 1);
	mmx_exit_set_target_client(fixture.exit, &fixture.client.task);
	mmx_exit_set_observer(fixture.exit, observer, &fixture);
	mmx_exit_set_header_names(fixture.exit, &header_names);
	mmx_exit_init(fixture.exit);
	for (i = 0; i < STEPS_MAX && c->steps[i].name; i++) {
		if (!c->steps[i].states) {
			pass_time_(fixture.runtime, &c->steps[i]);
			continue;
		}
		if (c->steps[i].sequence == MISDIRECTED)
			misdirect_(&fixture, &c->steps[i]);
		else
			announce_(&fixture, &c->steps[i]);
		if (strcmp(fixture.states, c->steps[i].states) != 0)
			printf("%s, step %zu: %s instead of %s\n", c->name, i,
			       fixture.states, c->steps[i].states);
		CU_ASSERT_STRING_EQUAL(fixture.states, c->steps[i].states);
	}
	mmx_exit_destroy(fixture.exit);
	mmx_task_finish(&fixture.client.task);
	mmx_task_finish(&fixture.origin.task);
	g_string_free(fixture.trace, TRUE);
	mmx_runtime_destroy(fixture.runtime);
}

#define WARM MMX_TARGET_WARM
#define DRAINING MMX_TARGET_DRAINING
#define GONE MMX_TARGET_GONE
#define WAIT(ms)                                     \
	{                                            \
		"wait", MMX_TARGET_WARM, 0, ms, NULL \
	}
#define PAUSE(ms)                                     \
	{                                             \
		"pause", MMX_TARGET_WARM, 0, ms, NULL \
	}

/*
 * Failure: a target is used again after it has withdrawn, or after another
 * process has taken its address, because an earlier announcement arrives late.
 */
static void test_late_announcements_(void)
{
	static const case_t cases[] = {
		{"renewal after draining",
		 {{"a", WARM, 9, 1, "w-"},
		  {"a", DRAINING, 9, 3, "d-"},
		  {"a", WARM, 9, 2, "d-"}}},
		{"renewal after a withdrawal",
		 {{"a", WARM, 9, 1, "w-"},
		  {"a", GONE, 9, 0, "g-"},
		  {"a", WARM, 9, 2, "g-"}}},
		{"withdrawal without a start time",
		 {{"a", WARM, 9, 1, "w-"},
		  {"a", GONE, 0, 0, "g-"},
		  {"a", WARM, 9, 2, "g-"}}},
		{"neither has a start time",
		 {{"a", WARM, 0, 1, "w-"},
		  {"a", GONE, 0, 0, "g-"},
		  {"a", WARM, 0, 2, "g-"}}},
		{"sequence without a start time",
		 {{"a", WARM, 0, 1, "w-"},
		  {"a", DRAINING, 0, 4, "d-"},
		  {"a", WARM, 0, 3, "d-"}}},
		{"restarted under its name",
		 {{"a", WARM, 9, 7, "w-"},
		  {"a", GONE, 9, 0, "g-"},
		  {"a", WARM, 12, 1, "w-"},
		  {"a", DRAINING, 9, 8, "w-"}}},
		{"withdrawal of an earlier process",
		 {{"a", WARM, 9, 7, "w-"},
		  {"a", WARM, 12, 1, "w-"},
		  {"a", GONE, 9, 0, "w-"}}},
		{"another process at the address",
		 {{"a", WARM, 9, 7, "w-"},
		  {"b", WARM, 12, 1, "gw"},
		  {"a", WARM, 9, 8, "gw"}}},
		{"an earlier process at the address",
		 {{"b", WARM, 12, 1, "-w"}, {"a", WARM, 9, 8, "-w"}}},
		{"own format, without start time and sequence",
		 {{"a", WARM, 0, 0, "w-"},
		  {"a", GONE, 0, 0, "g-"},
		  {"a", WARM, 0, 0, "w-"}}},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		run_case_(&cases[i], &observer_);
}

/*
 * Failure: the result of a probe replaces what a target has announced itself,
 * because the probe answers after the announcement.
 */
static void test_probed_targets_(void)
{
	static const case_t cases[] = {
		{"announced as draining before",
		 {{"a", DRAINING, 9, 3, "d-"}, {"a", WARM, 0, ASSUMED, "d-"}}},
		{"another target announced before",
		 {{"b", WARM, 9, 3, "-w"}, {"a", WARM, 0, ASSUMED, "-w"}}},
		{"the same target announces itself",
		 {{"a", WARM, 0, ASSUMED, "w-"}, {"a", DRAINING, 9, 3, "d-"}}},
		{"another target announces itself",
		 {{"a", WARM, 0, ASSUMED, "w-"}, {"b", WARM, 9, 1, "gw"}}},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		run_case_(&cases[i], &observer_);
}

/*
 * Failure: a target that has withdrawn is used again because the withdrawal
 * came before the first announcement, or told no start time, or the target was
 * only known from a probe.
 */
static void test_withdrawals_of_unknown_targets_(void)
{
	static const case_t cases[] = {
		{"renewal after the withdrawal",
		 {{"a", GONE, 9, 0, "--"}, {"a", WARM, 9, 4, "--"}}},
		{"withdrawn twice",
		 {{"a", GONE, 9, 0, "--"},
		  {"a", GONE, 9, 0, "--"},
		  WAIT(20000),
		  {"a", WARM, 9, 4, "--"}}},
		{"without a start time",
		 {{"a", GONE, 0, 0, "--"},
		  WAIT(3900),
		  {"a", WARM, 9, 4, "--"},
		  WAIT(200),
		  {"a", WARM, 9, 5, "w-"}}},
		{"restarted under its name",
		 {{"a", GONE, 9, 0, "--"},
		  {"a", WARM, 12, 1, "w-"},
		  {"a", WARM, 9, 4, "w-"}}},
		{"probed after the withdrawal",
		 {{"a", GONE, 9, 0, "--"},
		  {"a", WARM, 0, ASSUMED, "--"},
		  {"b", WARM, 0, ASSUMED, "-w"}}},
		{"probed before the withdrawal",
		 {{"a", WARM, 0, ASSUMED, "w-"},
		  {"a", GONE, 9, 0, "g-"},
		  {"a", WARM, 9, 4, "g-"}}},
		{"probed, and withdrawn without a start time",
		 {{"a", WARM, 0, ASSUMED, "w-"},
		  {"a", GONE, 0, 0, "g-"},
		  WAIT(3900),
		  {"a", WARM, 9, 4, "g-"}}},
		{"withdrawal of a process that was never announced",
		 {{"a", WARM, 9, 4, "w-"},
		  {"a", GONE, 12, 0, "g-"},
		  {"a", WARM, 12, 3, "g-"}}},
		{"draining without a start time",
		 {{"a", WARM, 9, 1, "w-"},
		  {"a", DRAINING, 0, 3, "d-"},
		  {"a", WARM, 9, 2, "d-"}}},
		{"draining without a start time, not known before",
		 {{"a", DRAINING, 0, 4, "d-"},
		  WAIT(3900),
		  {"a", WARM, 9, 3, "d-"},
		  WAIT(200),
		  {"a", WARM, 12, 1, "w-"}}},
		{"probed, and draining without a start time",
		 {{"a", WARM, 0, ASSUMED, "w-"},
		  {"a", DRAINING, 0, 4, "d-"},
		  {"a", WARM, 9, 3, "d-"}}},
		{"withdrawn long ago",
		 {{"a", GONE, 9, 0, "--"},
		  WAIT(700000),
		  {"b", WARM, 9, 1, "-w"}}},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		run_case_(&cases[i], &observer_);
}

/*
 * Failure: a target that withdrew from the process before is used again after a
 * restart because an announcement arrives late, or a target that is sound is
 * not used for long because its health check fails.
 */
static void test_restarted_process_(void)
{
	static const case_t cases[] = {
		{"announced late", {{"a", WARM, 9, 4, "--1"}}},
		{"confirmed by a probe",
		 {{"a", WARM, 9, 4, "--1"},
		  {"a", WARM, 0, ASSUMED, "w-1"},
		  WAIT(1500),
		  {"a", WARM, 9, 5, "w-1"}}},
		{"probed before the first announcement",
		 {{"a", WARM, 0, ASSUMED, "w-0"}, {"a", WARM, 9, 4, "w-0"}}},
		{"sound target whose health check fails",
		 {{"a", WARM, 9, 4, "--1"},
		  WAIT(1500),
		  {"a", WARM, 9, 5, "--2"},
		  WAIT(1500),
		  {"a", WARM, 9, 6, "--3"},
		  WAIT(1500),
		  {"a", WARM, 9, 7, "w-3"}}},
		{"started long ago", {WAIT(4100), {"a", WARM, 9, 4, "w-0"}}},
		{"announced late during a pause",
		 {WAIT(500),
		  PAUSE(6000),
		  {"a", WARM, 9, 4, "--1"},
		  WAIT(100),
		  {"a", WARM, 9, 5, "w-1"}}},
		{"still draining",
		 {{"a", DRAINING, 9, 4, "d-0"}, {"a", WARM, 9, 3, "d-0"}}},
		{"draining after a late announcement",
		 {{"a", WARM, 9, 3, "--1"},
		  {"a", DRAINING, 9, 4, "d-1"},
		  {"a", WARM, 0, ASSUMED, "d-1"}}},
		{"withdrawn after the restart",
		 {{"a", GONE, 9, 0, "--0"}, {"a", WARM, 9, 4, "--0"}}},
		{"another target at the address of a probed one",
		 {{"a", WARM, 0, ASSUMED, "w-0"}, {"b", WARM, 9, 4, "w-1"}}},
		{"own format, without start time and sequence",
		 {{"a", WARM, 0, 0, "w-0"}}},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		run_case_(&cases[i], &restarted_observer_);
}

/*
 * Failure: nothing that a target says has an effect because it has started
 * again under its name with its clock set back, or a late announcement is taken
 * for such a start.
 */
static void test_clock_set_back_(void)
{
	static const case_t cases[] = {
		{"drains soon after its start",
		 {{"a", WARM, 12, 3, "w-"},
		  {"a", WARM, 10, 1, "w-"},
		  WAIT(1500),
		  {"a", DRAINING, 10, 2, "d-"},
		  {"a", WARM, 10, 1, "d-"},
		  {"a", WARM, 12, 4, "d-"}}},
		{"drains later",
		 {{"a", WARM, 12, 3, "w-"},
		  {"a", WARM, 10, 1, "w-"},
		  WAIT(2500),
		  {"a", WARM, 10, 2, "w-"},
		  WAIT(2500),
		  {"a", WARM, 10, 3, "w-"},
		  WAIT(1500),
		  {"a", DRAINING, 10, 5, "d-"},
		  {"a", WARM, 10, 4, "d-"}}},
		{"withdraws without an announcement",
		 {{"a", WARM, 12, 3, "w-"},
		  {"a", GONE, 10, 0, "g-"},
		  {"a", WARM, 10, 1, "g-"},
		  {"a", WARM, 12, 4, "g-"}}},
		{"starts after a withdrawal",
		 {{"a", WARM, 12, 3, "w-"},
		  {"a", GONE, 12, 0, "g-"},
		  {"a", WARM, 10, 1, "g-"},
		  WAIT(2500),
		  {"a", WARM, 10, 2, "g-"},
		  WAIT(2500),
		  {"a", WARM, 10, 3, "w-"}}},
		{"one late announcement twice",
		 {{"a", WARM, 12, 3, "w-"},
		  {"a", GONE, 12, 0, "g-"},
		  {"a", WARM, 10, 1, "g-"},
		  WAIT(5000),
		  {"a", WARM, 10, 1, "g-"}}},
		{"late announcements before and after a pause",
		 {{"a", WARM, 12, 3, "w-"},
		  {"a", GONE, 12, 0, "g-"},
		  {"a", WARM, 10, 1, "g-"},
		  PAUSE(6000),
		  {"a", WARM, 10, 2, "g-"}}},
		{"late announcements of an earlier process",
		 {{"a", WARM, 9, 5, "w-"},
		  {"a", WARM, 12, 1, "w-"},
		  WAIT(1500),
		  {"a", DRAINING, 9, 6, "w-"},
		  WAIT(1500),
		  {"a", WARM, 12, 2, "w-"},
		  WAIT(1500),
		  {"a", DRAINING, 9, 7, "w-"}}},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		run_case_(&cases[i], &observer_);
}

/*
 * Failure: one announcement of another writer, with a name of its own and the
 * address of a target, keeps that target out of use for good.
 */
static void test_refuted_replacements_(void)
{
	static const case_t cases[] = {
		{"the target at the address announces itself again",
		 {{"a", WARM, 9, 7, "w-"},
		  {"b", WARM, 12, 1, "gw"},
		  {"b", WARM, 0, MISDIRECTED, "gg"},
		  {"a", WARM, 9, 8, "wg"},
		  {"a", DRAINING, 9, 9, "dg"}}},
		{"without start times",
		 {{"a", WARM, 0, 7, "w-"},
		  {"b", WARM, 0, 1, "gw"},
		  {"b", WARM, 0, MISDIRECTED, "gg"},
		  {"a", WARM, 0, 8, "wg"}}},
		{"two announcements of another writer",
		 {{"a", WARM, 9, 7, "w-"},
		  {"b", WARM, 12, 1, "gw"},
		  {"c", WARM, 15, 1, "gg"},
		  {"c", WARM, 0, MISDIRECTED, "gg"},
		  {"a", WARM, 9, 8, "wg"}}},
		{"late announcement of the target at the address",
		 {{"a", WARM, 9, 7, "w-"},
		  {"b", WARM, 12, 1, "gw"},
		  {"b", WARM, 0, MISDIRECTED, "gg"},
		  {"a", WARM, 9, 6, "gg"}}},
		{"it has withdrawn before",
		 {{"a", WARM, 9, 7, "w-"},
		  {"a", GONE, 9, 0, "g-"},
		  {"b", WARM, 12, 1, "gw"},
		  {"b", WARM, 0, MISDIRECTED, "gg"},
		  {"a", WARM, 9, 8, "gg"}}},
		{"it withdraws meanwhile",
		 {{"a", WARM, 9, 7, "w-"},
		  {"b", WARM, 12, 1, "gw"},
		  {"a", GONE, 9, 0, "gw"},
		  {"b", WARM, 0, MISDIRECTED, "gg"},
		  {"a", WARM, 9, 8, "gg"}}},
		{"a true replacement announces itself again",
		 {{"a", WARM, 9, 7, "w-"},
		  {"b", WARM, 12, 1, "gw"},
		  {"b", WARM, 0, MISDIRECTED, "gg"},
		  {"b", WARM, 12, 2, "gw"},
		  {"a", WARM, 9, 8, "gw"}}},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		run_case_(&cases[i], &observer_);
}

CU_TestInfo mmx_tests_exit_announced[] = {
	{"late announcements", test_late_announcements_},
	{"targets found by a probe", test_probed_targets_},
	{"refuted replacements", test_refuted_replacements_},
	{"withdrawals of unknown targets",
	 test_withdrawals_of_unknown_targets_},
	{"restarted process", test_restarted_process_},
	{"clock of a target set back", test_clock_set_back_},
	CU_TEST_INFO_NULL,
};
