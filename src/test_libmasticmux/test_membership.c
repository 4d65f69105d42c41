#include "suites.h"

#include "test_libmasticmux/fleet.h"

#define NODES 24
#define REGIONS 3
#define TARGETS 4
#define SETTLE_S 40
#define ALL_STATES (-1)

static void start_all_(fleet_t *fleet)
{
	size_t i;

	for (i = 0; i < fleet->count; i++)
		fleet_start_(&fleet->instances[i]);
}

static void stop_where_(fleet_t *fleet, unsigned int region, size_t step)
{
	size_t i;

	for (i = region; i < fleet->count; i += step)
		fleet_stop_(&fleet->instances[i]);
}

static void nothing_(fleet_t *fleet)
{
}

static void leave_(fleet_t *fleet)
{
	mmx_membership_leave(fleet->instances[5].membership);
	fleet_run_(fleet, 2 * MMX_US_PER_S);
	fleet_stop_(&fleet->instances[5]);
}

static void crash_(fleet_t *fleet)
{
	fleet_stop_(&fleet->instances[5]);
}

static void start_crashed_(fleet_t *fleet)
{
	size_t i;

	for (i = 0; i < fleet->count; i++) {
		if (!fleet->instances[i].membership)
			fleet_start_(&fleet->instances[i]);
	}
}

static void restart_at_once_(fleet_t *fleet)
{
	fleet_stop_(&fleet->instances[5]);
	fleet_start_(&fleet->instances[5]);
}

static void lose_20_percent_(fleet_t *fleet)
{
	fleet->loss_percent = 20;
}

static void no_loss_(fleet_t *fleet)
{
	memset(fleet->blocked, 0, sizeof(fleet->blocked));
	fleet->loss_percent = 0;
}

/* Region 0 does not reach region 1; region 2 reaches both. */
static void one_way_(fleet_t *fleet)
{
	fleet->blocked[0][1] = true;
}

static void one_way_both_(fleet_t *fleet)
{
	fleet->blocked[0][1] = true;
	fleet->blocked[1][0] = true;
}

/* Instance 3 reaches and is reached by nobody but region 2. */
static void half_isolated_(fleet_t *fleet)
{
	fleet->instances[3].group = 7;
	fleet->blocked[7][0] = true;
	fleet->blocked[7][1] = true;
	fleet->blocked[0][7] = true;
}

static void pause_(fleet_t *fleet)
{
	fleet->instances[5].paused = true;
}

static void resume_(fleet_t *fleet)
{
	fleet_resume_(&fleet->instances[5]);
}

static void pause_half_(fleet_t *fleet)
{
	size_t i;

	for (i = 0; i < fleet->count; i += 2)
		fleet->instances[i].paused = true;
}

static void resume_half_(fleet_t *fleet)
{
	size_t i;

	for (i = 0; i < fleet->count; i += 2)
		fleet_resume_(&fleet->instances[i]);
}

static void rack_lost_(fleet_t *fleet)
{
	stop_where_(fleet, 0, 12);
}

static void zone_lost_(fleet_t *fleet)
{
	stop_where_(fleet, 0, 2 * REGIONS);
}

static void region_lost_(fleet_t *fleet)
{
	stop_where_(fleet, 1, REGIONS);
}

/* Region 0 loses both others. */
static void partition_(fleet_t *fleet)
{
	fleet->blocked[0][1] = true;
	fleet->blocked[0][2] = true;
	fleet->blocked[1][0] = true;
	fleet->blocked[2][0] = true;
}

/* Targets change on both sides meanwhile. */
static void heal_with_changes_(fleet_t *fleet)
{
	size_t i;

	for (i = 0; i < fleet->count; i += 3) {
		fleet_announce_(&fleet->instances[i], 0, MMX_TARGET_DRAINING);
		fleet_announce_(&fleet->instances[i + 1], 1, MMX_TARGET_GONE);
		fleet_announce_(&fleet->instances[i + 2], 9, MMX_TARGET_COLD);
	}
	fleet_run_(fleet, 15 * MMX_US_PER_S);
	no_loss_(fleet);
}

static void rolling_restart_(fleet_t *fleet)
{
	size_t i;

	for (i = 0; i < fleet->count; i++) {
		mmx_membership_leave(fleet->instances[i].membership);
		fleet_run_(fleet, MMX_US_PER_S);
		fleet_stop_(&fleet->instances[i]);
		fleet_run_(fleet, MMX_US_PER_S);
		fleet_start_(&fleet->instances[i]);
		fleet_run_(fleet, MMX_US_PER_S);
	}
}

static void crash_during_loss_(fleet_t *fleet)
{
	fleet->loss_percent = 20;
	fleet_stop_(&fleet->instances[7]);
}

typedef struct scenario_t {
	const char *name;
	void (*fault)(fleet_t *fleet);
	void (*heal)(fleet_t *fleet);
	int hold_s;   /* from fault to heal */
	int settle_s; /* from heal to the last check */
	int dead;     /* seen by each running instance before the heal */
	int left;
	bool false_dead; /* a running member may be declared dead */
} scenario_t;

static const scenario_t scenarios[] = {
	{"join", nothing_, nothing_, 10, SETTLE_S, 0, 0, false},
	{"leave", leave_, nothing_, 5, SETTLE_S, 0, 1, false},
	{"crash", crash_, nothing_, 20, SETTLE_S, 1, 0, false},
	{"crash and later restart", crash_, start_crashed_, 20, SETTLE_S, 1, 0,
	 false},
	{"restart before anyone noticed", restart_at_once_, nothing_, 10,
	 SETTLE_S, 0, 0, false},
	{"20% loss", lose_20_percent_, no_loss_, 120, SETTLE_S, ALL_STATES, 0,
	 false},
	{"crash during 20% loss", crash_during_loss_, no_loss_, 60, SETTLE_S,
	 ALL_STATES, 0, false},
	{"one-way loss between regions", one_way_, no_loss_, 120, SETTLE_S, 0,
	 0, false},
	{"two regions cut, a third reaches both", one_way_both_, no_loss_, 120,
	 SETTLE_S, 0, 0, false},
	{"one node reached from one region", half_isolated_, no_loss_, 120,
	 SETTLE_S, 0, 0, false},
	{"short pause", pause_, resume_, 4, SETTLE_S, 0, 0, false},
	{"long pause", pause_, resume_, 60, SETTLE_S, ALL_STATES, 0, false},
	{"half of the nodes pause", pause_half_, resume_half_, 30, SETTLE_S,
	 ALL_STATES, 0, false},
	{"rack lost", rack_lost_, nothing_, 25, SETTLE_S, 2, 0, false},
	{"zone lost", zone_lost_, start_crashed_, 25, SETTLE_S, 4, 0, false},
	{"region lost", region_lost_, start_crashed_, 40, SETTLE_S, 8, 0,
	 false},
	{"region partitioned for minutes", partition_, heal_with_changes_, 180,
	 120, ALL_STATES, 0, true},
	{"rolling restart", rolling_restart_, nothing_, 1, SETTLE_S, 0,
	 ALL_STATES, false},
};

static void check_states_(const scenario_t *scenario, const fleet_t *fleet)
{
	size_t i;

	for (i = 0; i < fleet->count; i++) {
		const mmx_membership_t *m = fleet->instances[i].membership;

		if (!m)
			continue;
		if (scenario->dead != ALL_STATES)
			CU_ASSERT_EQUAL(
				mmx_membership_count(m, MMX_MEMBER_DEAD),
				(size_t)scenario->dead);
		if (scenario->left != ALL_STATES)
			CU_ASSERT_EQUAL(
				mmx_membership_count(m, MMX_MEMBER_LEFT),
				(size_t)scenario->left);
	}
}

static void play_(const scenario_t *scenario, uint64_t seed)
{
	fleet_t *fleet = fleet_create_(NODES, REGIONS, TARGETS, seed);
	unsigned int failures = CU_get_number_of_failures();

	start_all_(fleet);
	fleet_run_(fleet, SETTLE_S * MMX_US_PER_S);
	CU_ASSERT_EQUAL(fleet_wrong_views_(fleet), 0);
	CU_ASSERT_EQUAL(fleet_wrong_directories_(fleet), 0);
	CU_ASSERT_EQUAL(mmx_directory_count(fleet->instances[0].directory),
			NODES * TARGETS);
	scenario->fault(fleet);
	fleet_run_(fleet, scenario->hold_s * MMX_US_PER_S);
	check_states_(scenario, fleet);
	scenario->heal(fleet);
	fleet_run_(fleet, scenario->settle_s * MMX_US_PER_S);
	CU_ASSERT_EQUAL(fleet_wrong_views_(fleet), 0);
	CU_ASSERT_EQUAL(fleet_wrong_directories_(fleet), 0);
	CU_ASSERT_EQUAL(fleet->rejected, 0);
	if (!scenario->false_dead)
		CU_ASSERT_EQUAL(fleet->false_dead, 0);
	if (CU_get_number_of_failures() != failures)
		printf("\n    scenario \"%s\" seed %llu: %zu wrong views, "
		       "%zu wrong directories, %zu false verdicts\n",
		       scenario->name, (unsigned long long)seed,
		       fleet_wrong_views_(fleet),
		       fleet_wrong_directories_(fleet), fleet->false_dead);
	fleet_destroy_(fleet);
}

/* Guards against wrong or missing verdicts: after each fault every running
 * member sees exactly the running members and the same targets. */
static void test_scenarios_(void)
{
	size_t i;
	uint64_t seed;

	for (i = 0; i < sizeof(scenarios) / sizeof(scenarios[0]); i++) {
		for (seed = 1; seed <= 3; seed++)
			play_(&scenarios[i], seed);
	}
}

CU_TestInfo mmx_tests_membership[] = {
	{"faults of one and many members", test_scenarios_},
	CU_TEST_INFO_NULL,
};
