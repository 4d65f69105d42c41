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

/* Without the seeds only probes of dead members join the sides again. */
static void partition_and_seeds_lost_(fleet_t *fleet)
{
	partition_(fleet);
	fleet_stop_(&fleet->instances[0]);
	fleet_stop_(&fleet->instances[1]);
}

/* From here on a verdict of the other side must not be taken over. */
static void heal_(fleet_t *fleet)
{
	no_loss_(fleet);
	fleet->false_dead = 0;
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
	heal_(fleet);
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
} scenario_t;

static const scenario_t scenarios[] = {
	{"join", nothing_, nothing_, 10, SETTLE_S, 0, 0},
	{"leave", leave_, nothing_, 5, SETTLE_S, 0, 1},
	{"crash", crash_, nothing_, 20, SETTLE_S, 1, 0},
	{
		"crash and later restart",
		crash_,
		start_crashed_,
		20,
		SETTLE_S,
		1,
		0,
	},
	{"restart before anyone noticed", restart_at_once_, nothing_, 10,
	 SETTLE_S, 0, 0},
	{
		"20% loss",
		lose_20_percent_,
		no_loss_,
		120,
		SETTLE_S,
		ALL_STATES,
		0,
	},
	{"crash during 20% loss", crash_during_loss_, no_loss_, 60, SETTLE_S,
	 ALL_STATES, 0},
	{"one-way loss between regions", one_way_, no_loss_, 120, SETTLE_S, 0,
	 0},
	{"two regions cut, a third reaches both", one_way_both_, no_loss_, 120,
	 SETTLE_S, 0, 0},
	{"one node reached from one region", half_isolated_, no_loss_, 120,
	 SETTLE_S, 0, 0},
	{"short pause", pause_, resume_, 4, SETTLE_S, 0, 0},
	{"long pause", pause_, resume_, 60, SETTLE_S, ALL_STATES, 0},
	{"half of the nodes pause", pause_half_, resume_half_, 30, SETTLE_S,
	 ALL_STATES, 0},
	{"rack lost", rack_lost_, nothing_, 25, SETTLE_S, 2, 0},
	{"zone lost", zone_lost_, start_crashed_, 25, SETTLE_S, 4, 0},
	{
		"region lost",
		region_lost_,
		start_crashed_,
		40,
		SETTLE_S,
		8,
		0,
	},
	{"region partitioned for minutes", partition_, heal_with_changes_, 180,
	 120, ALL_STATES, 0},
	{"region partitioned and seeds lost", partition_and_seeds_lost_, heal_,
	 180, 120, ALL_STATES, 0},
	{"rolling restart", rolling_restart_, nothing_, 1, SETTLE_S, 0,
	 ALL_STATES},
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

/* Guards against a new process that takes over the name of a running one. */
static void test_name_conflict_(void)
{
	fleet_t *fleet = fleet_create_(6, 2, 1, 3);
	instance_t *second = &fleet->instances[5];
	const mmx_member_t *seen;
	size_t i;

	for (i = 0; i < 5; i++)
		fleet_start_(&fleet->instances[i]);
	fleet_run_(fleet, 20 * MMX_US_PER_S);
	g_strlcpy(second->name, fleet->instances[4].name, sizeof(second->name));
	fleet_start_(second);
	fleet_run_(fleet, 10 * MMX_US_PER_S);
	CU_ASSERT_TRUE(second->conflicts > 0);
	CU_ASSERT_FALSE(mmx_membership_joined(second->membership));
	seen = mmx_membership_find(fleet->instances[0].membership,
				   second->record.id);
	CU_ASSERT_PTR_NOT_NULL_FATAL(seen);
	CU_ASSERT_EQUAL(seen->incarnation,
			fleet->instances[4].record.incarnation);
	CU_ASSERT_EQUAL(seen->state, MMX_MEMBER_ALIVE);
	/* Once the first has crashed, the name is free. */
	fleet_stop_(&fleet->instances[4]);
	fleet_run_(fleet, 20 * MMX_US_PER_S);
	CU_ASSERT_TRUE(mmx_membership_joined(second->membership));
	seen = mmx_membership_find(fleet->instances[0].membership,
				   second->record.id);
	CU_ASSERT_EQUAL(seen->incarnation, second->record.incarnation);
	fleet_destroy_(fleet);
}

/* Guards against a replaced process that resumes and is not told. */
static void test_replaced_while_paused_(void)
{
	fleet_t *fleet = fleet_create_(6, 2, 1, 4);
	instance_t *first = &fleet->instances[4];
	instance_t *second = &fleet->instances[5];
	size_t i;

	for (i = 0; i < 5; i++)
		fleet_start_(&fleet->instances[i]);
	fleet_run_(fleet, 20 * MMX_US_PER_S);
	first->paused = true;
	fleet_run_(fleet, 20 * MMX_US_PER_S);
	g_strlcpy(second->name, first->name, sizeof(second->name));
	fleet_start_(second);
	fleet_run_(fleet, 10 * MMX_US_PER_S);
	CU_ASSERT_TRUE(mmx_membership_joined(second->membership));
	fleet_resume_(first);
	fleet_run_(fleet, 10 * MMX_US_PER_S);
	CU_ASSERT_TRUE(first->conflicts > 0);
	CU_ASSERT_EQUAL(mmx_membership_find(fleet->instances[0].membership,
					    second->record.id)
				->incarnation,
			second->record.incarnation);
	fleet_destroy_(fleet);
}

/* Guards against a target that lives on in other directories although its
 * node no longer has it and forgot that it withdrew it. */
static void test_withdraw_(void)
{
	fleet_t *fleet = fleet_create_(4, 1, 1, 5);
	instance_t *owner = &fleet->instances[2];
	instance_t *other = &fleet->instances[0];
	mmx_target_record_t record = {.slots = 1, .version = 50};

	start_all_(fleet);
	fleet_run_(fleet, 20 * MMX_US_PER_S);
	g_strlcpy(record.name, "stale", sizeof(record.name));
	g_strlcpy(record.service, "s", sizeof(record.service));
	record.id = mmx_directory_id(owner->name, "stale");
	record.node = owner->record.id;
	record.incarnation = owner->record.incarnation;
	CU_ASSERT_TRUE(mmx_directory_update(other->directory, &record));
	fleet_run_(fleet, 120 * MMX_US_PER_S);
	CU_ASSERT_EQUAL(mmx_directory_count(other->directory), 4);
	CU_ASSERT_EQUAL(fleet_wrong_directories_(fleet), 0);
	fleet_destroy_(fleet);
}

/* Guards against a view by region or zone that is wrong, and against an
 * offset that does not travel with probes. */
static void test_queries_(void)
{
	fleet_t *fleet = fleet_create_(12, 3, 0, 6);
	const mmx_membership_t *m;
	const mmx_member_t *alive[12];
	size_t i;

	start_all_(fleet);
	fleet_run_(fleet, 20 * MMX_US_PER_S);
	mmx_membership_set_offset(fleet->instances[3].membership, 500);
	fleet_stop_(&fleet->instances[1]);
	fleet_run_(fleet, 30 * MMX_US_PER_S);
	m = fleet->instances[0].membership;
	CU_ASSERT_EQUAL(mmx_membership_alive(m, NULL, NULL, alive, 12), 11);
	CU_ASSERT_EQUAL(mmx_membership_alive(m, "region-1", NULL, alive, 12),
			3);
	for (i = 0; i < 3; i++)
		CU_ASSERT_STRING_EQUAL(alive[i]->region, "region-1");
	CU_ASSERT_EQUAL(
		mmx_membership_alive(m, "region-0", "zone-0-1", alive, 1), 2);
	CU_ASSERT_EQUAL(mmx_membership_alive(m, "elsewhere", NULL, NULL, 0), 0);
	CU_ASSERT_EQUAL(mmx_membership_find(m, fleet->instances[3].record.id)
				->applied_offset,
			500);
	fleet_destroy_(fleet);
}

/* Guards against death on the word of one member: in a fleet of two, the one
 * that is left cannot tell a crash from its own isolation. */
static void test_one_reporter_(void)
{
	fleet_t *fleet = fleet_create_(2, 1, 1, 7);
	const mmx_membership_t *m;

	start_all_(fleet);
	fleet_run_(fleet, 10 * MMX_US_PER_S);
	fleet_stop_(&fleet->instances[1]);
	fleet_run_(fleet, 120 * MMX_US_PER_S);
	m = fleet->instances[0].membership;
	CU_ASSERT_EQUAL(mmx_membership_count(m, MMX_MEMBER_UNREACHABLE), 1);
	CU_ASSERT_EQUAL(
		mmx_membership_reports(m, fleet->instances[1].record.id), 1);
	CU_ASSERT_EQUAL(mmx_membership_count(m, MMX_MEMBER_DEAD), 0);
	fleet_destroy_(fleet);
}

/* Guards against a table that grows with every node that ever was, and
 * against dead members that are forgotten while they may come back. */
static void test_memory_(void)
{
	fleet_t *fleet = fleet_create_(5, 1, 2, 8);
	const mmx_membership_t *m;

	start_all_(fleet);
	fleet_run_(fleet, 10 * MMX_US_PER_S);
	fleet_stop_(&fleet->instances[4]);
	m = fleet->instances[0].membership;
	fleet_run_(fleet, 20 * MMX_US_PER_S);
	/* The jump counts as a pause of every process. */
	mmx_clock_advance(fleet->clock, 23 * 3600 * MMX_US_PER_S);
	fleet_run_(fleet, 70 * MMX_US_PER_S);
	CU_ASSERT_EQUAL(mmx_membership_count(m, MMX_MEMBER_DEAD), 1);
	CU_ASSERT_EQUAL(mmx_directory_count(fleet->instances[0].directory), 10);
	mmx_clock_advance(fleet->clock, 3600 * MMX_US_PER_S);
	fleet_run_(fleet, 70 * MMX_US_PER_S);
	CU_ASSERT_EQUAL(mmx_membership_count(m, MMX_MEMBER_DEAD), 0);
	CU_ASSERT_EQUAL(mmx_directory_count(fleet->instances[0].directory), 8);
	fleet_destroy_(fleet);
}

/* Guards against a death that is believed, or a false one that the member
 * never hears of and so cannot refute. */
static void test_claim_of_death_(void)
{
	fleet_t *fleet = fleet_create_(3, 1, 1, 9);
	mmx_gossip_message_t *message = g_new0(mmx_gossip_message_t, 1);
	const instance_t *from = &fleet->instances[1];
	const instance_t *subject = &fleet->instances[2];
	const mmx_member_t *seen;
	uint32_t refutation;

	start_all_(fleet);
	fleet_run_(fleet, 20 * MMX_US_PER_S);
	refutation = mmx_membership_self(subject->membership)->refutation;
	message->procedure = MMX_GOSSIP_NEWS;
	message->sender = from->record.id;
	message->incarnation = from->record.incarnation;
	message->opinion_count = 1;
	message->opinions[0] = (mmx_opinion_t){
		.subject = subject->record.id,
		.incarnation = subject->record.incarnation,
		.refutation = refutation,
		.state = MMX_MEMBER_DEAD,
	};
	mmx_membership_receive(fleet->instances[0].membership, message,
			       &from->record.nodes);
	seen = mmx_membership_find(fleet->instances[0].membership,
				   subject->record.id);
	CU_ASSERT_EQUAL(seen->state, MMX_MEMBER_ALIVE);
	fleet_run_(fleet, MMX_US_PER_S / 2);
	CU_ASSERT_EQUAL(mmx_membership_self(subject->membership)->refutation,
			refutation + 1);
	CU_ASSERT_EQUAL(seen->refutation, refutation + 1);
	CU_ASSERT_EQUAL(fleet->false_dead, 0);
	g_free(message);
	fleet_destroy_(fleet);
}

CU_TestInfo mmx_tests_membership[] = {
	{"faults of one and many members", test_scenarios_},
	{"name of a running process", test_name_conflict_},
	{"replaced while paused", test_replaced_while_paused_},
	{"stale target of a node", test_withdraw_},
	{"claim of death", test_claim_of_death_},
	{"queries", test_queries_},
	{"one reporter", test_one_reporter_},
	{"memory of lost members", test_memory_},
	CU_TEST_INFO_NULL,
};
