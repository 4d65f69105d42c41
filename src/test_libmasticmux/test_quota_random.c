#include "suites.h"

#include "quota_world.h"

#define S MMX_US_PER_S
#define MS MMX_US_PER_MS
#define WAIT_MAX_US (600 * MS)
/* Steps of all cases together: 20,000. */
#define STEPS 2500
#define STEP_US (20 * MS)

/* Faults of a case, any number of them. */
enum {
	FREEZE = 1,
	RESTART = 2,
	ONE_LINK = 4,
	PARTITION = 8,
	LOSS = 16,
	ROSTER = 32,
	RETURNS = 64,
	ALL = 127,
};

typedef struct case_t {
	const char *name;
	size_t nodes;
	unsigned int faults;
	uint64_t seed;
	double least; /* used share of the first account */
} case_t;

/* Half of the time one of the first nodes of the order of an account. */
static quota_node_t *any_node_(quota_world_t *world)
{
	size_t account = mmx_random_below(&world->random, world->account_count);
	size_t rank = mmx_random_below(&world->random, 3);

	if (mmx_random_below(&world->random, 2))
		return &world->nodes[quota_world_ranked(world, account, rank)];
	return &world->nodes[mmx_random_below(&world->random, world->count)];
}

static void freeze_or_thaw_(quota_world_t *world)
{
	quota_node_t *node = any_node_(world);
	size_t i;

	for (i = 0; i < world->count; i++)
		if (world->nodes[i].frozen &&
		    mmx_random_below(&world->random, 2))
			quota_world_thaw(&world->nodes[i]);
	if (!node->frozen && node->quota)
		quota_world_freeze(node);
}

static void stop_or_start_(quota_world_t *world)
{
	quota_node_t *node = any_node_(world);
	size_t i;

	for (i = 0; i < world->count; i++)
		if (!world->nodes[i].quota &&
		    mmx_random_below(&world->random, 2))
			quota_world_start(&world->nodes[i]);
	if (node->quota && !node->frozen)
		quota_world_stop(node);
}

/* Cuts or restores a link, in one direction. */
static void change_link_(quota_world_t *world)
{
	size_t from = any_node_(world)->index;
	size_t to = any_node_(world)->index;

	world->cut[from][to] = !world->cut[from][to];
}

static void heal_(quota_world_t *world)
{
	size_t i;
	size_t j;

	for (i = 0; i < world->count; i++)
		for (j = 0; j < world->count; j++)
			world->cut[i][j] = false;
}

static void cut_or_heal_(quota_world_t *world)
{
	bool side[QUOTA_WORLD_NODES];
	uint64_t share = 1 + mmx_random_below(&world->random, 9);
	size_t i;
	size_t j;

	heal_(world);
	if (mmx_random_below(&world->random, 2))
		return;
	for (i = 0; i < world->count; i++)
		side[i] = mmx_random_below(&world->random, 10) < share;
	for (i = 0; i < world->count; i++)
		for (j = 0; j < world->count; j++)
			world->cut[i][j] = side[i] != side[j];
}

static void change_roster_(quota_world_t *world)
{
	quota_node_t *node = any_node_(world);
	size_t i;

	for (i = 0; i < world->count; i++)
		if (!world->nodes[i].listed) {
			world->nodes[i].listed = true;
			if (!world->nodes[i].quota)
				quota_world_start(&world->nodes[i]);
			quota_world_announce_nodes(world);
			return;
		}
	if (node->quota && !node->frozen) {
		quota_world_stop(node);
		node->listed = false;
		quota_world_announce_nodes(world);
	}
}

static void inject_(quota_world_t *world, unsigned int faults)
{
	unsigned int kind;

	/* About two faults in a second. */
	if (!faults || mmx_random_below(&world->random, 25))
		return;
	do
		kind = faults & (1U << mmx_random_below(&world->random, 7));
	while (!kind);
	switch (kind) {
	case FREEZE:
		freeze_or_thaw_(world);
		break;
	case RESTART:
		stop_or_start_(world);
		break;
	case ONE_LINK:
		change_link_(world);
		break;
	case PARTITION:
		cut_or_heal_(world);
		break;
	case LOSS:
		world->loss = (unsigned int)mmx_random_below(&world->random, 5);
		break;
	case ROSTER:
		change_roster_(world);
		break;
	case RETURNS:
		world->returned_percent =
			(unsigned int)mmx_random_below(&world->random, 50);
		break;
	default:
		break;
	}
}

/* Sends what the accounts demand in one step: three to seven times their limit
 * in bursts of seconds, at some of the nodes. */
static void demand_(quota_world_t *world, size_t step)
{
	size_t i;

	for (i = 0; i < world->account_count; i++) {
		const quota_account_t *account = &world->accounts[i];
		size_t nodes = i % 2 ? 3 : world->count;
		/* Rounded at random, so that the mean is exact. */
		size_t due =
			(size_t)(account->limit.rate * (double)(3 + i % 5) *
					 (double)STEP_US / (double)S +
				 mmx_random_unit(&world->random));

		/* The first account always has demand, the others in turn. */
		if (i > 0 && (step / 400 + i) % 3 == 0)
			continue;
		for (; due > 0; due--)
			quota_world_request(
				world,
				(step / 250 * 7 +
				 mmx_random_below(&world->random, nodes)) %
					world->count,
				i);
	}
}

static bool check_account_(const case_t *test, const quota_world_t *world,
			   const quota_account_t *account)
{
	size_t most = quota_world_most(world, account);
	double bound = quota_world_bound(world, account);

	if ((double)most > bound || g_getenv("QUOTA_PRINT"))
		printf("\n  %s, seed %u: rate %.0f, burst %.0f: most %zu of "
		       "%.0f%s",
		       test->name, (unsigned int)test->seed,
		       account->limit.rate, account->limit.burst, most, bound,
		       (double)most > bound ? " VIOLATED" : "");
	return (double)most <= bound;
}

static void run_(const case_t *test, uint64_t seed)
{
	static const double limits[][2] = {{24, 24}, {162, 162}, {5, 5},
					   {60, 0},  {40, 200},	 {5, 0}};
	quota_world_t *world = quota_world_create(test->nodes, seed);
	mmx_time_t since;
	double used;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(limits); i++)
		quota_world_add_account(world, limits[i][0], limits[i][1]);
	quota_world_run(world, 10 * S);
	since = world->now;
	for (i = 0; i < STEPS; i++) {
		demand_(world, i);
		inject_(world, test->faults);
		quota_world_run(world, STEP_US);
	}
	for (i = 0; i < world->account_count; i++)
		CU_ASSERT(check_account_(test, world, &world->accounts[i]));
	used = quota_world_used(world, since);
	printf("\n  %s, %zu nodes: used %.3f, longest wait %lld ms", test->name,
	       test->nodes, used, (long long)(world->longest_wait / MS));
	CU_ASSERT(used >= test->least);
	CU_ASSERT(world->longest_wait <= WAIT_MAX_US);
	quota_world_destroy(world);
}

/* Guards against a sequence of faults that lets more requests through in a
 * window than the bound allows, and against a limit that is not used up. */
static void test_random_steps_(void)
{
	static const case_t cases[] = {
		{"no fault", 48, 0, 1, 0.95},
		{"nodes freeze", 48, FREEZE, 2, 0.5},
		{"nodes restart", 48, RESTART, 3, 0.5},
		{"single links", 48, ONE_LINK, 4, 0.5},
		{"partitions", 48, PARTITION, 5, 0.5},
		{"loss and returned tokens", 48, LOSS | RETURNS, 6, 0.5},
		{"nodes come and go", 48, ROSTER, 7, 0.5},
		{"everything", 48, ALL, 8, 0.3},
	};
	const char *text = g_getenv("QUOTA_SEED");
	uint64_t shift = text ? g_ascii_strtoull(text, NULL, 10) : 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		run_(&cases[i], cases[i].seed + shift);
}

CU_TestInfo mmx_tests_quota_random[] = {
	{"no window exceeds the bound", test_random_steps_},
	CU_TEST_INFO_NULL,
};
