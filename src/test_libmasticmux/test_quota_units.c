#include "suites.h"

#include <string.h>

#include "private/quota_bucket.h"
#include "private/quota_codec.h"
#include "quota_world.h"

#define S MMX_US_PER_S
#define MS MMX_US_PER_MS

static const mmx_quota_ask_t sample_asks[] = {
	{.account = "a",
	 .limit = {.rate = 5, .burst = 2.5, .version = 7},
	 .wanted = 3,
	 .prefetch = 2,
	 .given_back = 1,
	 .given_back_age_ms = 250,
	 .hop = MMX_QUOTA_HOP_STANDBY},
	{.account = "account-2", .limit = {.rate = 162, .version = 1}},
};

/* Guards against fields that get lost on the way. */
static void test_messages_(void)
{
	const mmx_quota_answer_t answers[] = {
		{.granted = 4, .use = 1200, .heard = true},
		{.retry_after_ms = 30000},
	};
	mmx_quota_ask_t asks[MMX_QUOTA_LINES_MAX];
	mmx_quota_answer_t decoded[MMX_QUOTA_LINES_MAX];
	size_t length;
	size_t count;
	uint8_t *bytes = mmx_quota_asks_encode(sample_asks, 2, &length);

	CU_ASSERT_TRUE(mmx_quota_asks_decode(bytes, length, asks, &count));
	CU_ASSERT_EQUAL(count, 2);
	CU_ASSERT_STRING_EQUAL(asks[0].account, "a");
	CU_ASSERT_EQUAL(asks[0].limit.rate, 5);
	CU_ASSERT_EQUAL(asks[0].limit.burst, 2.5);
	CU_ASSERT_EQUAL(asks[0].limit.version, 7);
	CU_ASSERT_EQUAL(asks[0].wanted, 3);
	CU_ASSERT_EQUAL(asks[0].prefetch, 2);
	CU_ASSERT_EQUAL(asks[0].given_back, 1);
	CU_ASSERT_EQUAL(asks[0].given_back_age_ms, 250);
	CU_ASSERT_EQUAL(asks[0].hop, MMX_QUOTA_HOP_STANDBY);
	CU_ASSERT_STRING_EQUAL(asks[1].account, "account-2");
	g_free(bytes);
	bytes = mmx_quota_answers_encode(answers, 2, &length);
	CU_ASSERT_TRUE(
		mmx_quota_answers_decode(bytes, length, decoded, &count));
	CU_ASSERT_EQUAL(count, 2);
	CU_ASSERT_EQUAL(decoded[0].granted, 4);
	CU_ASSERT_EQUAL(decoded[0].use, 1200);
	CU_ASSERT_TRUE(decoded[0].heard);
	CU_ASSERT_EQUAL(decoded[1].retry_after_ms, 30000);
	g_free(bytes);
}

/* Guards against token requests with fields out of range. */
static void test_invalid_fields_(void)
{
	static const struct {
		const char *account;
		double rate;
		double burst;
		uint32_t wanted;
		uint32_t given_back;
		unsigned int hop;
		bool valid;
	} cases[] = {
		{"a", 5, 5, 1, 0, 0, true},
		{"", 5, 5, 1, 0, 0, false},
		{"a b", 5, 5, 1, 0, 0, true},
		{"a\nb", 5, 5, 1, 0, 0, false},
		{"a\x7f", 5, 5, 1, 0, 0, false},
		{"a", -1, 5, 1, 0, 0, false},
		{"a", 0.0 / 0.0, 5, 1, 0, 0, false},
		{"a", 1.0 / 0.0, 5, 1, 0, 0, false},
		{"a", 5, -1, 1, 0, 0, false},
		{"a", 5, 1e10, 1, 0, 0, false},
		{"a", 5, 5, MMX_QUOTA_TOKENS_MAX + 1, 0, 0, false},
		{"a", 5, 5, 1, UINT32_MAX, 0, false},
	};
	mmx_quota_ask_t lines[MMX_QUOTA_LINES_MAX];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_quota_ask_t ask = {
			.limit = {.rate = cases[i].rate,
				  .burst = cases[i].burst},
			.wanted = cases[i].wanted,
			.given_back = cases[i].given_back,
			.hop = (mmx_quota_hop_t)cases[i].hop,
		};
		size_t length;
		size_t count;
		uint8_t *bytes;

		g_strlcpy(ask.account, cases[i].account, sizeof(ask.account));
		bytes = mmx_quota_asks_encode(&ask, 1, &length);
		CU_ASSERT_EQUAL(
			mmx_quota_asks_decode(bytes, length, lines, &count),
			cases[i].valid);
		g_free(bytes);
	}
}

/* Guards against a read beyond the end of another node's message. */
static void test_malformed_messages_(void)
{
	enum { ROUNDS = 20000 };
	mmx_quota_ask_t asks[MMX_QUOTA_LINES_MAX];
	mmx_quota_answer_t answers[MMX_QUOTA_LINES_MAX];
	size_t length;
	size_t count;
	uint8_t *bytes = mmx_quota_asks_encode(sample_asks, 2, &length);
	mmx_random_t random;
	size_t i;

	for (i = 0; i < length; i++) {
		uint8_t *part = g_memdup2(bytes, i);

		CU_ASSERT_FALSE(mmx_quota_asks_decode(part, i, asks, &count));
		CU_ASSERT_FALSE(
			mmx_quota_answers_decode(part, i, answers, &count));
		g_free(part);
	}
	mmx_random_seed(&random, 1);
	for (i = 0; i < ROUNDS; i++) {
		uint8_t *copy = g_memdup2(bytes, length);

		copy[mmx_random_below(&random, length)] ^=
			(uint8_t)(1U << mmx_random_below(&random, 8));
		copy[mmx_random_below(&random, length)] =
			(uint8_t)mmx_random_below(&random, 256);
		if (mmx_quota_asks_decode(copy, length, asks, &count))
			CU_ASSERT(count <= 2);
		g_free(copy);
	}
	g_free(bytes);
}

/* Guards against tokens that are put back long after their issue, so that more
 * requests run in one window than it allows. */
static void test_late_returns_(void)
{
	mmx_quota_bucket_t bucket;
	unsigned int taken = 0;
	mmx_time_t now;

	mmx_quota_bucket_init(&bucket, 10, 20, 20, 0);
	mmx_quota_bucket_set_window(&bucket, 5 * S, 0);
	/* None of these requests runs; each token is back 4 s later. */
	for (now = 0; now < 4 * S; now += 100 * MS)
		taken += mmx_quota_bucket_take(&bucket, 10, now);
	CU_ASSERT_EQUAL(taken, 20 + 39);
	mmx_quota_bucket_give_back(&bucket, 20, 4 * S, now);
	taken = mmx_quota_bucket_take(&bucket, 1000, now);
	for (; now < 8 * S; now += 100 * MS) {
		mmx_quota_bucket_give_back(&bucket, 1, 4 * S, now);
		taken += mmx_quota_bucket_take(&bucket, 1000, now);
	}
	CU_ASSERT_TRUE(taken <= 20 + 10 * 5);
}

/* Guards against prefetched tokens that are refilled before they are used,
 * against tokens from nothing, and against Retry-After that is the same for
 * all callers. */
static void test_bucket_(void)
{
	mmx_quota_bucket_t bucket;
	mmx_time_t wait;
	mmx_time_t next;

	mmx_quota_bucket_init(&bucket, 10, 100, 100, 0);
	CU_ASSERT_EQUAL(mmx_quota_bucket_lease(&bucket, 50, 100, 0), 10);
	CU_ASSERT_EQUAL(mmx_quota_bucket_lease(&bucket, 50, 12, 0), 2);
	CU_ASSERT_EQUAL(mmx_quota_bucket_take(&bucket, 1000, 900 * MS), 88);
	mmx_quota_bucket_give_back(&bucket, 50, 0, 900 * MS);
	CU_ASSERT_EQUAL(mmx_quota_bucket_take(&bucket, 1000, 900 * MS), 50);
	CU_ASSERT_EQUAL(mmx_quota_bucket_take(&bucket, 1000, 100 * S), 100);
	wait = mmx_quota_bucket_refuse(&bucket, 1, 100 * S);
	next = mmx_quota_bucket_refuse(&bucket, 1, 100 * S);
	CU_ASSERT_EQUAL(wait, 100 * MS);
	CU_ASSERT_EQUAL(next, 200 * MS);
	mmx_quota_bucket_refuse(&bucket, 1000000, 100 * S);
	CU_ASSERT_EQUAL(mmx_quota_bucket_refuse(&bucket, 1, 100 * S),
			MMX_QUOTA_RETRY_MAX_US);
	mmx_quota_bucket_skip(&bucket, 100 * S, 105 * S);
	CU_ASSERT_EQUAL(mmx_quota_bucket_take(&bucket, 1, 105 * S), 0);
	mmx_quota_bucket_cut(&bucket, 3, 200 * S);
	CU_ASSERT_EQUAL(mmx_quota_bucket_take(&bucket, 1000, 200 * S), 3);
	CU_ASSERT_EQUAL(mmx_quota_bucket_use(&bucket, 200 * S), 150);
}

static quota_world_t *open_(size_t nodes, double rate, double burst)
{
	quota_world_t *world = quota_world_create(nodes, 3);

	quota_world_add_account(world, rate, burst);
	quota_world_run(world, 10 * S);
	return world;
}

/* Guards against a flood that costs a message for each request. */
static void test_flood_costs_(void)
{
	quota_world_t *world = open_(40, 24, 24);
	size_t entry = quota_world_ranked(world, 0, 5);
	size_t before;

	quota_world_flood(world, entry, 1, 2000, 2 * S);
	before = world->message_count;
	quota_world_flood(world, entry, 1, 2000, 10 * S);
	/* 10 token requests a second with replies, and 11 probes with replies
	 * in 400 ms. */
	CU_ASSERT(world->message_count - before <=
		  10 * (2 * 10 + 2 * 11 * 10 / 4));
	if (g_getenv("QUOTA_PRINT"))
		printf("\n  flood of 2,000/s at one entry: %zu messages in "
		       "10 s",
		       world->message_count - before);
	quota_world_destroy(world);
}

/* Guards against refusals that wait for a reply although the entry knows the
 * last one, and against refusals that tell all callers the same time. */
static void test_later_refusals_(void)
{
	quota_world_t *world = open_(40, 24, 24);
	quota_account_t *account = &world->accounts[0];
	size_t entry = quota_world_ranked(world, 0, 5);
	size_t refused;
	mmx_time_t first;
	size_t i;

	for (i = 0; i < 100; i++)
		quota_world_request(world, entry, 0);
	while (world->pending->len)
		quota_world_run(world, QUOTA_WORLD_STEP_US);
	refused = account->refused;
	CU_ASSERT(refused > 0);
	quota_world_request(world, entry, 0);
	first = account->last_retry;
	quota_world_request(world, entry, 0);
	CU_ASSERT_EQUAL(account->refused, refused + 2);
	CU_ASSERT(account->last_retry > first);
	quota_world_destroy(world);
}

/* Guards against more messages than a token request and a few probes for each
 * request at the usual load of the first deployment: 104 nodes, 86 accounts,
 * four requests a second at each node, half of the limits in use. */
static void test_usual_costs_(void)
{
	enum { ACCOUNTS = 86, SECONDS = 30 };
	quota_world_t *world = quota_world_create(104, 3);
	mmx_time_t end;
	size_t asked = 0;
	size_t refused = 0;
	size_t i;

	for (i = 0; i < ACCOUNTS; i++)
		quota_world_add_account(world, 10, 10);
	quota_world_run(world, 10 * S);
	end = world->now + SECONDS * S;
	while (world->now < end) {
		if (mmx_random_unit(&world->random) < 416 * 0.002)
			quota_world_request(
				world, mmx_random_below(&world->random, 104),
				mmx_random_below(&world->random, ACCOUNTS));
		quota_world_run(world, QUOTA_WORLD_STEP_US);
	}
	for (i = 0; i < ACCOUNTS; i++) {
		asked += world->accounts[i].asked;
		refused += world->accounts[i].refused;
	}
	if (g_getenv("QUOTA_PRINT"))
		printf("\n  104 nodes, 86 accounts: %zu requests, %zu "
		       "refused, %zu messages, %zu bytes, longest wait "
		       "%lld ms",
		       asked, refused, world->message_count, world->byte_count,
		       (long long)(world->longest_wait / MS));
	CU_ASSERT_EQUAL(refused, 0);
	CU_ASSERT(world->message_count <= 3 * asked);
	quota_world_destroy(world);
}

/* Guards against a request that gets a decision after it was cancelled, and
 * against its token being lost. */
static void test_cancel_(void)
{
	quota_world_t *world = open_(8, 5, 0);
	size_t entry = quota_world_ranked(world, 0, 4);
	quota_node_t *node = &world->nodes[entry];
	mmx_quota_status_t status;

	quota_world_request(world, entry, 0);
	CU_ASSERT_EQUAL(world->pending->len, 1);
	mmx_quota_cancel(node->quota, world->accounts[0].name,
			 g_ptr_array_index(world->pending, 0));
	quota_world_run(world, 100 * MS);
	CU_ASSERT_EQUAL(world->pending->len, 1);
	CU_ASSERT_EQUAL(world->accounts[0].grants->len, 0);
	CU_ASSERT_TRUE(mmx_quota_get_status(node->quota,
					    world->accounts[0].name, &status));
	CU_ASSERT_EQUAL(status.waiting, 0);
	quota_world_destroy(world);
}

static void count_status_(void *arg, const mmx_quota_status_t *status)
{
	(void)status;
	(*(size_t *)arg)++;
}

static size_t count_accounts_(const quota_world_t *world)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < world->count; i++)
		mmx_quota_foreach(world->nodes[i].quota, count_status_, &count);
	return count;
}

/* Guards against state of accounts that are not in use any more, and against
 * timers that go on. */
static void test_state_is_dropped_(void)
{
	quota_world_t *world = open_(8, 24, 24);
	size_t i;

	CU_ASSERT_EQUAL(count_accounts_(world), 0);
	quota_world_flood(world, 0, 8, 100, 2 * S);
	CU_ASSERT_EQUAL(count_accounts_(world), 8);
	quota_world_run(world, 30 * S);
	CU_ASSERT_EQUAL(count_accounts_(world), 0);
	for (i = 0; i < world->count; i++)
		CU_ASSERT_EQUAL(mmx_clock_next(world->nodes[i].clock),
				MMX_TIME_NEVER);
	quota_world_destroy(world);
}

/* Publishes a new version of the limit, which the nodes get in turn. */
static void publish_(quota_world_t *world, double rate, double burst,
		     double demand)
{
	quota_account_t *account = &world->accounts[0];
	size_t i;

	account->old_limit = account->limit;
	account->limit.rate = rate;
	account->limit.burst = burst;
	account->limit.version++;
	for (i = 0; i < world->count; i++) {
		world->nodes[i].version = account->limit.version;
		mmx_quota_on_limits_changed(world->nodes[i].quota);
		quota_world_flood(world, 0, world->count, demand,
				  2500 * MS / (mmx_time_t)world->count);
	}
}

/* Guards against a lowered limit that binds later than one window after it is
 * in force everywhere, at whichever node it arrives last. */
static void test_limit_falls_(void)
{
	static const double limits[][2] = {{24, 24}, {5, 5}, {60, 0}, {1, 0}};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(limits); i++) {
		quota_world_t *world = open_(16, 162, 162);
		quota_account_t *account = &world->accounts[0];
		size_t most;

		quota_world_flood(world, 0, 16, 500, 5 * S);
		publish_(world, limits[i][0], limits[i][1], 500);
		g_array_set_size(account->grants, 0);
		quota_world_flood(world, 0, 16, 500, 20 * S);
		most = quota_world_most(world, account);
		CU_ASSERT((double)most <= quota_world_bound(world, account));
		CU_ASSERT(quota_world_used(world, world->now - 15 * S) >= 0.95);
		quota_world_destroy(world);
	}
}

/* Guards against requests that hang when their account loses its limit. */
static void test_limit_removed_(void)
{
	quota_world_t *world = open_(8, 5, 0);
	quota_account_t *account = &world->accounts[0];
	size_t refused;

	/* No reply comes, so that requests wait when the limit goes. */
	quota_world_cut(world, 4, true, true);
	quota_world_flood(world, 0, 8, 100, 2 * S);
	publish_(world, 0, 0, 100);
	CU_ASSERT_EQUAL(world->pending->len, 0);
	quota_world_cut(world, 4, false, false);
	quota_world_run(world, 1 * S);
	refused = account->refused;
	quota_world_flood(world, 0, 8, 100, 1 * S);
	CU_ASSERT_EQUAL(account->refused, refused);
	quota_world_run(world, 30 * S);
	CU_ASSERT_EQUAL(count_accounts_(world), 0);
	quota_world_destroy(world);
}

/* Guards against refusals of an account that stays below its limit: random
 * arrivals at nine tenths of the rate, at many or few of the nodes. */
static void test_false_refusals_(void)
{
	static const struct {
		size_t nodes;
		size_t entries;
		double rate;
		double burst;
		double load; /* share of the rate */
	} cases[] = {
		{104, 104, 162, 162, 0.9}, {104, 3, 162, 162, 0.9},
		{40, 40, 24, 24, 0.9},	   {104, 104, 5, 20, 0.9},
		{40, 1, 60, 0, 0.6},	   {1, 1, 24, 24, 0.9},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		quota_world_t *world =
			open_(cases[i].nodes, cases[i].rate, cases[i].burst);
		const quota_account_t *account = &world->accounts[0];
		mmx_time_t end = world->now + 100 * S;
		double step = cases[i].rate * cases[i].load *
			      (double)QUOTA_WORLD_STEP_US / (double)S;

		while (world->now < end) {
			if (mmx_random_unit(&world->random) < step)
				quota_world_request(
					world,
					mmx_random_below(&world->random,
							 cases[i].entries),
					0);
			quota_world_run(world, QUOTA_WORLD_STEP_US);
		}
		if (account->refused * 1000 >= account->asked ||
		    g_getenv("QUOTA_PRINT"))
			printf("\n  rate %.0f, burst %.0f, %zu entries: %zu of "
			       "%zu refused, %zu messages, %zu bytes",
			       cases[i].rate, cases[i].burst, cases[i].entries,
			       account->refused, account->asked,
			       world->message_count, world->byte_count);
		CU_ASSERT(account->refused * 1000 < account->asked);
		quota_world_destroy(world);
	}
}

/* Guards against an accident with a reply that is malformed, unknown, from
 * another node, or late. */
static void test_odd_replies_(void)
{
	static const uint8_t junk[] = {1, 2, 3};
	quota_world_t *world = open_(8, 24, 24);
	quota_node_t *node = &world->nodes[quota_world_ranked(world, 0, 4)];
	const mmx_peer_ticket_t ticket = {.connection = 1};
	uint64_t call;

	CU_ASSERT_FALSE(mmx_quota_on_ask(node->quota, 1, &ticket, junk, 3));
	quota_world_request(world, node->index, 0);
	for (call = 0; call < 10; call++) {
		mmx_quota_on_answer(node->quota, call, 1234, junk, 3);
		mmx_quota_on_answer(node->quota, call, 1234, NULL, 0);
	}
	quota_world_run(world, 1 * S);
	CU_ASSERT_EQUAL(world->accounts[0].grants->len, 1);
	/* Every round trip is longer than the time-out. */
	world->latency_max = 600 * MS;
	quota_world_flood(world, 0, 8, 170, 20 * S);
	CU_ASSERT((double)quota_world_most(world, &world->accounts[0]) <=
		  quota_world_bound(world, &world->accounts[0]));
	CU_ASSERT(world->longest_wait <= 600 * MS);
	quota_world_destroy(world);
}

CU_TestInfo mmx_tests_quota_units[] = {
	{"messages", test_messages_},
	{"invalid fields", test_invalid_fields_},
	{"malformed messages", test_malformed_messages_},
	{"bucket", test_bucket_},
	{"tokens that are put back late", test_late_returns_},
	{"cost of a flood", test_flood_costs_},
	{"refusals after the first one", test_later_refusals_},
	{"cost of the usual load", test_usual_costs_},
	{"cancelled request", test_cancel_},
	{"state is dropped", test_state_is_dropped_},
	{"limit falls", test_limit_falls_},
	{"limit is removed", test_limit_removed_},
	{"account below its limit", test_false_refusals_},
	{"odd replies", test_odd_replies_},
	CU_TEST_INFO_NULL,
};
