#include "suites.h"

#include "masticmux/ejection.h"

#define TARGETS_MAX 12
#define SECOND MMX_US_PER_S

typedef struct fixture_t {
	mmx_clock_t *clock;
	mmx_random_t random;
	mmx_ejection_t *ejection;
	mmx_use_t use[TARGETS_MAX + 1]; /* as last reported, by id */
} fixture_t;

static void on_use_(void *arg, mmx_target_id_t target, mmx_use_t use)
{
	fixture_t *fixture = arg;

	fixture->use[target] = use;
}

static void set_up_(fixture_t *fixture, uint8_t floor_percent,
		    uint16_t floor_slots, int targets)
{
	mmx_target_id_t id;

	*fixture = (fixture_t){.clock = mmx_clock_create_paused()};
	mmx_random_seed(&fixture->random, 5);
	fixture->ejection = mmx_ejection_create(fixture->clock,
						&fixture->random, floor_percent,
						floor_slots, on_use_, fixture);
	for (id = 1; id <= (mmx_target_id_t)targets; id++)
		mmx_ejection_set_target(fixture->ejection, id, 3,
					MMX_AVAILABLE);
}

static void tear_down_(fixture_t *fixture)
{
	mmx_ejection_destroy(fixture->ejection);
	mmx_clock_destroy(fixture->clock);
}

static mmx_ejection_info_t info_(const fixture_t *fixture, mmx_target_id_t id)
{
	mmx_ejection_info_t info = {.state = MMX_EJECTION_STATE_COUNT};

	mmx_ejection_info(fixture->ejection, id, &info);
	return info;
}

/* states: one letter per target: u in use, a avoided, e ejected. */
static void check_states_(const fixture_t *fixture, const char *states)
{
	static const char letters[] = "uae";
	mmx_target_id_t id;

	for (id = 1; states[id - 1]; id++)
		CU_ASSERT_EQUAL(letters[info_(fixture, id).state],
				states[id - 1]);
	CU_ASSERT_TRUE(mmx_ejection_floor_holds(fixture->ejection));
}

typedef struct ranking_case_t {
	const char *name;
	int floor_percent;
	int floor_slots;
	int targets;
	int shed; /* 1: load must be shed */
	/* One letter per target: a available, c cold, d draining,
	 * u unreachable, x dead, e ejected elsewhere. */
	const char *availability;
	double failing[6]; /* scores of failing targets; 0: healthy */
	const char *states;
} ranking_case_t;

static void apply_availability_(fixture_t *fixture, const char *availability)
{
	static const char letters[] = "acdux";
	mmx_target_id_t id;

	for (id = 1; availability[id - 1]; id++) {
		char letter = availability[id - 1];
		int i;

		if (letter == 'e')
			mmx_ejection_set_ejected_elsewhere(fixture->ejection,
							   id, true);
		for (i = 0; i < MMX_AVAILABILITY_COUNT; i++)
			if (letters[i] == letter)
				mmx_ejection_set_target(fixture->ejection, id,
							3, i);
	}
}

/* Guards against ejections in another order than by score and id, and against
 * unavailable targets that are counted as capacity. */
static void test_ranking_(void)
{
	static const ranking_case_t cases[] = {
		{"room for both", 60, 0, 12, 0, "", {40, 0, 50}, "eueuuu"},
		{"equal scores by id", 84, 0, 12, 0, "", {0, 40, 40}, "ueauuu"},
		{"one over the floor", 84, 0, 12, 0, "", {40, 0, 50}, "aueuuu"},
		{"floor of all", 100, 0, 12, 0, "", {40}, "auuuuu"},
		{"minimum of slots", 0, 34, 12, 0, "", {40}, "auuuuu"},
		{"just above it", 0, 33, 12, 0, "", {40}, "euuuuu"},
		{"planned stops", 84, 0, 12, 0, "aaaadd", {40}, "auuuuu"},
		{"cold", 84, 0, 12, 0, "acc", {40}, "auuuuu"},
		{"unreachable", 84, 0, 12, 0, "auu", {40}, "auuuuu"},
		{"dead", 84, 0, 12, 0, "axx", {40}, "auuuuu"},
		{"ejected elsewhere", 84, 0, 12, 0, "aee", {40}, "auuuuu"},
		{"cold and failing", 60, 0, 12, 0, "c", {40}, "euuuuu"},
		{"whole service", 0, 0, 12, 1, "", {9, 9, 9, 9}, "aaaauu"},
		{"less than a third", 0, 0, 12, 0, "", {9, 9, 9}, "eeeuuu"},
		{"one of three", 60, 0, 3, 0, "", {40}, "euu"},
		{"two of three", 0, 0, 3, 1, "", {40, 40}, "aau"},
	};
	size_t i;
	mmx_target_id_t id;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		fixture_t fixture;

		set_up_(&fixture, (uint8_t)cases[i].floor_percent,
			(uint16_t)cases[i].floor_slots, cases[i].targets);
		apply_availability_(&fixture, cases[i].availability);
		for (id = 1; id <= 6; id++)
			if (cases[i].failing[id - 1] > 0)
				mmx_ejection_report_health(
					fixture.ejection, id,
					MMX_HEALTH_FAILING,
					cases[i].failing[id - 1]);
		check_states_(&fixture, cases[i].states);
		CU_ASSERT_EQUAL(mmx_ejection_must_shed(fixture.ejection),
				cases[i].shed);
		tear_down_(&fixture);
	}
}

/* Guards against targets that stay ejected when capacity is lost afterwards for
 * another reason. */
static void test_lost_capacity_(void)
{
	fixture_t fixture;

	set_up_(&fixture, 75, 0, 12);
	mmx_ejection_report_health(fixture.ejection, 1, MMX_HEALTH_FAILING, 40);
	mmx_ejection_report_health(fixture.ejection, 2, MMX_HEALTH_FAILING, 50);
	check_states_(&fixture, "eeuuuu");
	mmx_ejection_set_target(fixture.ejection, 5, 3,
				MMX_AVAILABILITY_DRAINING);
	check_states_(&fixture, "eeuuuu");
	mmx_ejection_set_target(fixture.ejection, 6, 3, MMX_AVAILABILITY_DEAD);
	check_states_(&fixture, "aeuuuu");
	CU_ASSERT_EQUAL(fixture.use[1], MMX_USE_AVOID);
	CU_ASSERT_EQUAL(fixture.use[6], MMX_USE_NONE);
	mmx_ejection_set_path_health(fixture.ejection, 7, MMX_HEALTH_FAILING);
	check_states_(&fixture, "aauuuu");
	CU_ASSERT_EQUAL(fixture.use[7], MMX_USE_LAST_RESORT);
	mmx_ejection_set_path_health(fixture.ejection, 7, MMX_HEALTH_HEALTHY);
	mmx_ejection_set_target(fixture.ejection, 6, 3, MMX_AVAILABLE);
	check_states_(&fixture, "eeuuuu");
	mmx_ejection_set_floor(fixture.ejection, 100, 0);
	check_states_(&fixture, "aauuuu");
	mmx_ejection_remove_target(fixture.ejection, 2);
	CU_ASSERT_EQUAL(info_(&fixture, 2).state, MMX_EJECTION_STATE_COUNT);
	tear_down_(&fixture);
}

/* Guards against ejections during a slowdown of the whole service: of the
 * targets that become suspect first, before the others do, and of those that
 * recover last, when it ends. */
static void test_slowdown_(void)
{
	fixture_t fixture;
	mmx_target_id_t id;

	set_up_(&fixture, 25, 0, 12);
	mmx_ejection_report_health(fixture.ejection, 9, MMX_HEALTH_FAILING, 40);
	mmx_clock_advance(fixture.clock, 60 * SECOND);
	for (id = 1; id <= 3; id++) {
		mmx_ejection_report_health(fixture.ejection, id,
					   MMX_HEALTH_FAILING, 40);
		mmx_clock_advance(fixture.clock, SECOND);
	}
	/* Target 9 was ejected long before the slowdown and stays ejected. */
	check_states_(&fixture, "aaauuuuueuuu");
	CU_ASSERT_TRUE(mmx_ejection_must_shed(fixture.ejection));
	mmx_ejection_report_health(fixture.ejection, 1, MMX_HEALTH_HEALTHY, 0);
	mmx_ejection_report_health(fixture.ejection, 2, MMX_HEALTH_HEALTHY, 0);
	CU_ASSERT_FALSE(mmx_ejection_must_shed(fixture.ejection));
	check_states_(&fixture, "uuauuuuueuuu");
	mmx_clock_advance(fixture.clock, 11 * SECOND);
	mmx_ejection_report_health(fixture.ejection, 3, MMX_HEALTH_FAILING, 41);
	check_states_(&fixture, "uueuuuuueuuu");
	tear_down_(&fixture);
}

/* Runs one trial of target 1; returns the time until it was due. */
static mmx_time_t run_trial_(fixture_t *fixture, bool good)
{
	mmx_time_t start = mmx_clock_now(fixture->clock);

	while (info_(fixture, 1).trial != MMX_TRIAL_DUE)
		mmx_clock_advance(fixture->clock, SECOND / 10);
	CU_ASSERT_EQUAL(fixture->use[1], MMX_USE_TRIAL);
	CU_ASSERT_TRUE(mmx_ejection_trial_start(fixture->ejection, 1));
	CU_ASSERT_EQUAL(fixture->use[1], MMX_USE_NONE);
	CU_ASSERT_FALSE(mmx_ejection_trial_start(fixture->ejection, 1));
	mmx_ejection_trial_finish(fixture->ejection, 1, good);
	return mmx_clock_now(fixture->clock) - start;
}

/* Guards against a back-off that does not double, is unlimited, or decreases
 * without a healthy period. Jitter adds up to one half. */
static void test_backoff_(void)
{
	static const int seconds[] = {2, 4, 8, 16, 32, 60, 60};
	fixture_t fixture;
	size_t i;

	set_up_(&fixture, 60, 0, 12);
	mmx_ejection_report_health(fixture.ejection, 1, MMX_HEALTH_FAILING, 40);
	for (i = 0; i < sizeof(seconds) / sizeof(seconds[0]); i++) {
		mmx_time_t waited = run_trial_(&fixture, false);

		CU_ASSERT_TRUE(waited >= seconds[i] * SECOND);
		CU_ASSERT_TRUE(waited <= (seconds[i] * 3 / 2 + 1) * SECOND);
	}
	for (i = 0; i < MMX_DETECTION_TRIALS; i++) {
		CU_ASSERT_EQUAL(info_(&fixture, 1).state, MMX_EJECTION_EJECTED);
		run_trial_(&fixture, true);
	}
	check_states_(&fixture, "uuuu");
	CU_ASSERT_EQUAL(fixture.use[1], MMX_USE_NORMAL);
	/* Ten healthy minutes halve the doubled 60 s twice. */
	mmx_clock_advance(fixture.clock, 601 * SECOND);
	mmx_ejection_report_health(fixture.ejection, 1, MMX_HEALTH_FAILING, 40);
	CU_ASSERT_TRUE(run_trial_(&fixture, false) >= 30 * SECOND);
	tear_down_(&fixture);
}

/* Guards against reinstatement by successes that are not consecutive, and
 * against an effect of a trial that ends after the target was reinstated. */
static void test_trials_(void)
{
	fixture_t fixture;

	set_up_(&fixture, 60, 0, 12);
	CU_ASSERT_FALSE(mmx_ejection_trial_start(fixture.ejection, 1));
	mmx_ejection_report_health(fixture.ejection, 1, MMX_HEALTH_FAILING, 40);
	run_trial_(&fixture, true);
	run_trial_(&fixture, true);
	run_trial_(&fixture, false);
	run_trial_(&fixture, true);
	CU_ASSERT_EQUAL(info_(&fixture, 1).trial_successes, 1);
	CU_ASSERT_EQUAL(info_(&fixture, 1).state, MMX_EJECTION_EJECTED);
	CU_ASSERT_TRUE(mmx_ejection_trial_start(fixture.ejection, 1));
	mmx_ejection_trial_refused(fixture.ejection, 1);
	CU_ASSERT_EQUAL(info_(&fixture, 1).trial, MMX_TRIAL_WAITING);
	while (info_(&fixture, 1).trial != MMX_TRIAL_DUE)
		mmx_clock_advance(fixture.clock, SECOND);
	mmx_ejection_trial_start(fixture.ejection, 1);
	mmx_ejection_report_health(fixture.ejection, 1, MMX_HEALTH_HEALTHY, 0);
	CU_ASSERT_EQUAL(info_(&fixture, 1).state, MMX_EJECTION_IN_USE);
	mmx_ejection_trial_finish(fixture.ejection, 1, false);
	CU_ASSERT_EQUAL(info_(&fixture, 1).state, MMX_EJECTION_IN_USE);
	mmx_ejection_report_health(fixture.ejection, 1, MMX_HEALTH_SUSPECT, 20);
	CU_ASSERT_EQUAL(fixture.use[1], MMX_USE_AVOID);
	mmx_clock_advance(fixture.clock, 10 * SECOND);
	CU_ASSERT_EQUAL(fixture.use[1], MMX_USE_AVOID_TRIAL);
	tear_down_(&fixture);
}

/* Guards against short false suspicions that add up to a long back-off. A
 * healthy target was then avoided for up to a minute; with several such targets
 * requests were sent to a stalled one. */
static void test_false_suspicions_(void)
{
	fixture_t fixture;
	int n;

	set_up_(&fixture, 60, 0, 12);
	for (n = 0; n < 20; n++) {
		mmx_time_t now = mmx_clock_now(fixture.clock);

		mmx_ejection_report_health(fixture.ejection, 1,
					   MMX_HEALTH_SUSPECT, 8);
		CU_ASSERT_TRUE(info_(&fixture, 1).trial_at <= now + 3 * SECOND);
		mmx_clock_advance(fixture.clock, SECOND);
		mmx_ejection_report_health(fixture.ejection, 1,
					   MMX_HEALTH_HEALTHY, 0);
		mmx_clock_advance(fixture.clock, SECOND);
	}
	tear_down_(&fixture);
}

/* What the test itself has set, by target id. */
typedef struct expected_t {
	mmx_availability_t availability[TARGETS_MAX + 1];
	uint16_t slots[TARGETS_MAX + 1]; /* 0: no such target */
	bool elsewhere[TARGETS_MAX + 1]; /* ejected by other entries */
	bool path[TARGETS_MAX + 1];	 /* the path is failing */
	uint8_t floor_percent;
	uint16_t floor_slots;
} expected_t;

/* Checks the floor from what the test itself has set and the states alone. */
static bool floor_holds_(const fixture_t *fixture, const expected_t *expected)
{
	uint32_t announced = 0;
	uint32_t left = 0;
	bool ejected = false;
	mmx_target_id_t id;

	for (id = 1; id <= TARGETS_MAX; id++) {
		mmx_ejection_info_t info = info_(fixture, id);
		mmx_availability_t availability = expected->availability[id];
		bool out = info.state == MMX_EJECTION_EJECTED;

		if (!expected->slots[id])
			continue;
		announced += expected->slots[id];
		ejected = ejected || (out && !expected->path[id] &&
				      availability <= MMX_AVAILABILITY_COLD);
		if (availability == MMX_AVAILABLE && !out &&
		    !expected->path[id] && !expected->elsewhere[id])
			left += expected->slots[id];
	}
	return !ejected || (left >= expected->floor_slots &&
			    left * 100 >= announced * expected->floor_percent);
}

static void apply_random_operation_(fixture_t *fixture, expected_t *expected,
				    mmx_random_t *random)
{
	mmx_target_id_t id = 1 + mmx_random_below(random, TARGETS_MAX);
	uint16_t slots = (uint16_t)(1 + mmx_random_below(random, 4));
	mmx_availability_t availability =
		mmx_random_below(random, 3)
			? MMX_AVAILABLE
			: mmx_random_below(random, MMX_AVAILABILITY_COUNT);
	bool yes = mmx_random_below(random, 4) == 0;

	switch (mmx_random_below(random, 9)) {
	case 0:
		expected->slots[id] = slots;
		expected->availability[id] = availability;
		mmx_ejection_set_target(fixture->ejection, id, slots,
					availability);
		break;
	case 1:
		if (!yes)
			break;
		mmx_ejection_remove_target(fixture->ejection, id);
		expected->slots[id] = 0;
		expected->elsewhere[id] = false;
		expected->path[id] = false;
		break;
	case 2:
		expected->elsewhere[id] = yes && expected->slots[id];
		mmx_ejection_set_ejected_elsewhere(fixture->ejection, id, yes);
		break;
	case 3:
		expected->path[id] = yes && expected->slots[id];
		mmx_ejection_set_path_health(fixture->ejection, id,
					     yes ? MMX_HEALTH_FAILING
						 : MMX_HEALTH_HEALTHY);
		break;
	case 4:
		expected->floor_percent =
			(uint8_t)mmx_random_below(random, 101);
		expected->floor_slots = (uint16_t)mmx_random_below(random, 9);
		mmx_ejection_set_floor(fixture->ejection,
				       expected->floor_percent,
				       expected->floor_slots);
		break;
	case 5:
		mmx_ejection_trial_start(fixture->ejection, id);
		break;
	case 6:
		mmx_ejection_trial_finish(fixture->ejection, id, !yes);
		break;
	case 7:
		mmx_clock_advance(fixture->clock, (mmx_time_t)mmx_random_below(
							  random, 4 * SECOND));
		break;
	default:
		mmx_ejection_report_health(fixture->ejection, id,
					   yes ? MMX_HEALTH_FAILING
					       : MMX_HEALTH_HEALTHY,
					   10 + mmx_random_unit(random));
		break;
	}
}

/* Runs random operations and returns the number of those that violated the
 * floor. The module's check of the invariant and the test's own must agree. */
static int count_floor_violations_(uint64_t seed, bool ignore_floor,
				   size_t *ejections)
{
	expected_t expected = {.floor_percent = 60};
	mmx_random_t random;
	fixture_t fixture;
	int found = 0;
	int n;

	set_up_(&fixture, 60, 0, TARGETS_MAX);
	for (n = 1; n <= TARGETS_MAX; n++)
		expected.slots[n] = 3;
	mmx_random_seed(&random, seed);
	if (ignore_floor)
		mmx_ejection_ignore_floor(fixture.ejection, true);
	for (n = 0; n < 2000; n++) {
		bool holds;

		apply_random_operation_(&fixture, &expected, &random);
		holds = floor_holds_(&fixture, &expected);
		found += !holds;
		CU_ASSERT_EQUAL(mmx_ejection_floor_holds(fixture.ejection),
				holds);
		*ejections += mmx_ejection_ejected_count(fixture.ejection);
	}
	tear_down_(&fixture);
	return found;
}

/* Guards against operations, in any order, that leave less capacity than the
 * floor. If the floor is ignored, the same check must detect violations. */
static void test_floor_always_(void)
{
	size_t ejections = 0;
	size_t ignored = 0;
	int found = 0;
	uint64_t seed;

	for (seed = 1; seed <= 50; seed++) {
		CU_ASSERT_EQUAL(
			count_floor_violations_(seed, false, &ejections), 0);
		found += count_floor_violations_(seed, true, &ignored);
	}
	CU_ASSERT_TRUE(ejections > 1000);
	CU_ASSERT_TRUE(found > 0);
}

/* Guards against capacity below the floor at entries with different views, as
 * they arise if reports arrive in another order or not at all. */
static void test_views_differ_(void)
{
	enum { VIEWS = 4 };
	fixture_t views[VIEWS];
	mmx_random_t random;
	mmx_target_id_t id;
	int round;
	int v;

	mmx_random_seed(&random, 3);
	for (v = 0; v < VIEWS; v++)
		set_up_(&views[v], 75, 6, TARGETS_MAX);
	for (round = 0; round < 500; round++) {
		double score = 20 * mmx_random_unit(&random);

		id = 1 + mmx_random_below(&random, TARGETS_MAX);
		for (v = 0; v < VIEWS; v++) {
			mmx_health_t level = score > 15 ? MMX_HEALTH_FAILING
							: MMX_HEALTH_HEALTHY;

			if (mmx_random_below(&random, 3) == 0)
				continue;
			mmx_ejection_report_health(views[v].ejection, id, level,
						   score);
			CU_ASSERT_TRUE(
				mmx_ejection_floor_holds(views[v].ejection));
			CU_ASSERT_TRUE(
				!mmx_ejection_ejected_count(
					views[v].ejection) ||
				mmx_ejection_capacity(views[v].ejection) >= 27);
			mmx_clock_advance(views[v].clock, SECOND / 4);
		}
	}
	for (v = 0; v < VIEWS; v++)
		tear_down_(&views[v]);
}

CU_TestInfo mmx_tests_ejection[] = {
	{"failing targets are ejected by rank, down to the floor",
	 test_ranking_},
	{"ejected targets return when capacity is lost", test_lost_capacity_},
	{"no ejections while the whole service is slow", test_slowdown_},
	{"back-off doubles, and halves in healthy periods", test_backoff_},
	{"short false suspicions do not add up", test_false_suspicions_},
	{"three consecutive trials reinstate a target", test_trials_},
	{"the floor holds after every operation", test_floor_always_},
	{"the floor holds in different views", test_views_differ_},
	CU_TEST_INFO_NULL,
};
