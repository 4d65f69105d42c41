/* Announcements that arrive late, or from another process at the address. */
#include "suites.h"

#include <glib.h>
#include <string.h>

#include "fakes.h"
#include "private/exit.h"

typedef struct rig_t {
	mmx_runtime_t *runtime;
	mmx_exit_t *exit;
	fake_t client;
	GString *trace;
	char states[3]; /* first letter of the state of "a" and "b" */
} rig_t;

/* In place of a sequence: found by a probe when the node started. */
#define ASSUMED UINT64_MAX

typedef struct step_t {
	const char *name;
	mmx_target_state_t state;
	uint64_t born;
	uint64_t sequence;
	const char *states; /* of "a" and "b" afterwards; '-': unknown */
} step_t;

#define STEPS_MAX 6

typedef struct case_t {
	const char *name;
	step_t steps[STEPS_MAX];
} case_t;

static void target_changed_(void *context, const mmx_target_record_t *record)
{
	rig_t *rig = context;

	rig->states[record->name[0] - 'a'] =
		mmx_target_state_string[record->state][0];
}

static const mmx_exit_observer_ops_t observer_ = {
	.target_changed = target_changed_,
};

static void announce_(rig_t *rig, const step_t *step)
{
	mmx_target_announced_t *announced = mmx_new_target_announced();

	g_strlcpy(announced->name, step->name, sizeof(announced->name));
	announced->state = step->state;
	announced->born = step->born;
	announced->assumed = step->sequence == ASSUMED;
	announced->sequence = announced->assumed ? 0 : step->sequence;
	if (step->state != MMX_TARGET_GONE) {
		g_strlcpy(announced->service, "s", sizeof(announced->service));
		announced->address = (mmx_address_t){"127.0.0.1", 80};
		announced->slots = 1;
		announced->lease = 3600 * MMX_US_PER_S;
	}
	mmx_task_post(mmx_exit_task(rig->exit), &announced->message);
	mmx_runtime_deliver(rig->runtime);
}

static void run_(const case_t *c)
{
	rig_t rig = {.states = "--"};
	size_t i;

	rig.runtime = mmx_runtime_create(NULL);
	rig.trace = g_string_new("");
	fake_init(&rig.client, rig.runtime, rig.trace);
	rig.exit = mmx_exit_create(rig.runtime, 1, "node", 1);
	mmx_exit_set_target_client(rig.exit, &rig.client.task);
	mmx_exit_set_observer(rig.exit, &observer_, &rig);
	mmx_exit_init(rig.exit);
	for (i = 0; i < STEPS_MAX && c->steps[i].name; i++) {
		announce_(&rig, &c->steps[i]);
		if (strcmp(rig.states, c->steps[i].states) != 0)
			printf("%s, step %zu: %s instead of %s\n", c->name, i,
			       rig.states, c->steps[i].states);
		CU_ASSERT_STRING_EQUAL(rig.states, c->steps[i].states);
	}
	mmx_exit_destroy(rig.exit);
	mmx_task_finish(&rig.client.task);
	g_string_free(rig.trace, TRUE);
	mmx_runtime_destroy(rig.runtime);
}

#define WARM MMX_TARGET_WARM
#define DRAINING MMX_TARGET_DRAINING
#define GONE MMX_TARGET_GONE

/* Guards against a target that is used again because an announcement from
 * before its leaving, or from before another process had its address, was
 * late. */
static void test_late_announcements_(void)
{
	static const case_t cases[] = {
		{"late after draining",
		 {{"a", WARM, 9, 1, "w-"},
		  {"a", DRAINING, 9, 3, "d-"},
		  {"a", WARM, 9, 2, "d-"}}},
		{"late after leaving",
		 {{"a", WARM, 9, 1, "w-"},
		  {"a", GONE, 9, 0, "g-"},
		  {"a", WARM, 9, 2, "g-"}}},
		{"leaving without its start",
		 {{"a", WARM, 9, 1, "w-"},
		  {"a", GONE, 0, 0, "g-"},
		  {"a", WARM, 9, 2, "g-"}}},
		{"neither tells its start",
		 {{"a", WARM, 0, 1, "w-"},
		  {"a", GONE, 0, 0, "g-"},
		  {"a", WARM, 0, 2, "g-"}}},
		{"sequence without its start",
		 {{"a", WARM, 0, 1, "w-"},
		  {"a", DRAINING, 0, 4, "d-"},
		  {"a", WARM, 0, 3, "d-"}}},
		{"started again under its name",
		 {{"a", WARM, 9, 7, "w-"},
		  {"a", GONE, 9, 0, "g-"},
		  {"a", WARM, 12, 1, "w-"},
		  {"a", DRAINING, 9, 8, "w-"}}},
		{"the leaving of an earlier process is late",
		 {{"a", WARM, 9, 7, "w-"},
		  {"a", WARM, 12, 1, "w-"},
		  {"a", GONE, 9, 0, "w-"}}},
		{"another process at the address",
		 {{"a", WARM, 9, 7, "w-"},
		  {"b", WARM, 12, 1, "gw"},
		  {"a", WARM, 9, 8, "gw"}}},
		{"an earlier process at the address",
		 {{"b", WARM, 12, 1, "-w"}, {"a", WARM, 9, 8, "-w"}}},
		{"our own form tells neither",
		 {{"a", WARM, 0, 0, "w-"},
		  {"a", GONE, 0, 0, "g-"},
		  {"a", WARM, 0, 0, "w-"}}},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		run_(&cases[i]);
}

/* Guards against a target that a probe found and that hides what the target
 * itself announced. */
static void test_assumed_announcements_(void)
{
	static const case_t cases[] = {
		{"announced as leaving before",
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
		run_(&cases[i]);
}

CU_TestInfo mmx_tests_exit_announced[] = {
	{"announcements that are late", test_late_announcements_},
	{"announcements that are assumed", test_assumed_announcements_},
	CU_TEST_INFO_NULL,
};
