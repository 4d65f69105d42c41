#include "masticmux/balance.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

/* Candidates looked at in one ring; a larger ring is sampled from a random
 * position, so that a choice has a bounded cost. */
#define CANDIDATES_MAX 64

const char *const mmx_locality_string[MMX_LOCALITY_COUNT] = {
	"zone",
	"region",
	"remote",
};

const char *const mmx_use_string[MMX_USE_COUNT] = {
	"normal", "avoid", "avoid-trial", "trial", "last-resort", "none",
};

#define BIT(use) (1U << (use))
#define AVOID (BIT(MMX_USE_AVOID) | BIT(MMX_USE_AVOID_TRIAL))
#define ANY_TRIAL (BIT(MMX_USE_TRIAL) | BIT(MMX_USE_AVOID_TRIAL))

typedef struct target_t {
	mmx_target_id_t id;
	mmx_time_t reported;
	uint32_t others; /* load of other entries, as last reported */
	uint32_t outstanding;
	uint16_t slots;
	uint8_t use;
	uint8_t ring;
} target_t;

struct mmx_balance_t {
	target_t *targets; /* in order of ring */
	size_t count;
	size_t space;
	size_t ring_start[MMX_LOCALITY_COUNT + 1];
	uint32_t uses[MMX_USE_COUNT]; /* number of targets of each use */
};

typedef struct candidates_t {
	const target_t *target[CANDIDATES_MAX];
	size_t count;
} candidates_t;

mmx_balance_t *mmx_balance_create(void)
{
	return g_new0(mmx_balance_t, 1);
}

void mmx_balance_destroy(mmx_balance_t *balance)
{
	if (!balance)
		return;
	g_free(balance->targets);
	g_free(balance);
}

static target_t *find_(const mmx_balance_t *balance, mmx_target_id_t id)
{
	size_t i;

	for (i = 0; i < balance->count; i++)
		if (balance->targets[i].id == id)
			return &balance->targets[i];
	return NULL;
}

static void take_out_(mmx_balance_t *balance, target_t *target)
{
	size_t at = (size_t)(target - balance->targets);
	size_t ring;

	for (ring = target->ring + 1U; ring <= MMX_LOCALITY_COUNT; ring++)
		balance->ring_start[ring]--;
	balance->uses[target->use]--;
	balance->count--;
	memmove(target, target + 1, (balance->count - at) * sizeof(*target));
}

static void put_in_(mmx_balance_t *balance, const target_t *target)
{
	size_t at = balance->ring_start[target->ring + 1U];
	size_t ring;

	if (balance->count == balance->space) {
		balance->space = balance->space ? 2 * balance->space : 4;
		balance->targets =
			g_renew(target_t, balance->targets, balance->space);
	}
	memmove(&balance->targets[at + 1], &balance->targets[at],
		(balance->count - at) * sizeof(*target));
	balance->targets[at] = *target;
	for (ring = target->ring + 1U; ring <= MMX_LOCALITY_COUNT; ring++)
		balance->ring_start[ring]++;
	balance->uses[target->use]++;
	balance->count++;
}

void mmx_balance_set_target(mmx_balance_t *balance, mmx_target_id_t target,
			    uint16_t slots, mmx_locality_t ring)
{
	target_t *known = find_(balance, target);
	target_t value = {.id = target, .use = MMX_USE_NORMAL};

	assert(slots > 0 && ring < MMX_LOCALITY_COUNT);
	if (known) {
		value = *known;
		take_out_(balance, known);
	}
	value.slots = slots;
	value.ring = (uint8_t)ring;
	put_in_(balance, &value);
}

void mmx_balance_remove_target(mmx_balance_t *balance, mmx_target_id_t target)
{
	target_t *known = find_(balance, target);

	if (known)
		take_out_(balance, known);
}

void mmx_balance_set_use(mmx_balance_t *balance, mmx_target_id_t target,
			 mmx_use_t use)
{
	target_t *known = find_(balance, target);

	assert(use < MMX_USE_COUNT);
	if (!known)
		return;
	balance->uses[known->use]--;
	balance->uses[use]++;
	known->use = (uint8_t)use;
}

void mmx_balance_report_load(mmx_balance_t *balance, mmx_target_id_t target,
			     uint32_t load, mmx_time_t now)
{
	target_t *known = find_(balance, target);

	if (!known)
		return;
	/* The reported load contains this entry's own requests. */
	known->others =
		load > known->outstanding ? load - known->outstanding : 0;
	known->reported = now;
}

void mmx_balance_start(mmx_balance_t *balance, mmx_target_id_t target)
{
	target_t *known = find_(balance, target);

	if (known)
		known->outstanding++;
}

void mmx_balance_finish(mmx_balance_t *balance, mmx_target_id_t target)
{
	target_t *known = find_(balance, target);

	if (known && known->outstanding)
		known->outstanding--;
}

/* An old report would keep away the requests that bring a new one. */
static uint64_t load_(const target_t *target, mmx_time_t now)
{
	uint64_t load = target->outstanding;

	if (now - target->reported <= MMX_BALANCE_REPORT_TTL_US)
		load += target->others;
	return load;
}

static bool is_free_(const target_t *target, mmx_time_t now)
{
	return load_(target, now) < target->slots;
}

static const target_t *less_loaded_(const target_t *a, const target_t *b,
				    mmx_time_t now)
{
	return load_(b, now) * a->slots < load_(a, now) * b->slots ? b : a;
}

static bool is_tried_(const mmx_balance_request_t *request, mmx_target_id_t id)
{
	size_t i;

	for (i = 0; i < request->tried_count; i++)
		if (request->tried[i] == id)
			return true;
	return false;
}

static void collect_(const mmx_balance_t *balance,
		     const mmx_balance_request_t *request, uint32_t uses,
		     mmx_locality_t ring, mmx_random_t *random,
		     candidates_t *candidates)
{
	size_t start = balance->ring_start[ring];
	size_t size = balance->ring_start[ring + 1] - start;
	size_t offset = 0;
	size_t i;

	candidates->count = 0;
	if (size > CANDIDATES_MAX)
		offset = mmx_random_below(random, size);
	for (i = 0; i < size && candidates->count < CANDIDATES_MAX; i++) {
		size_t at = offset + i < size ? offset + i : offset + i - size;
		const target_t *target = &balance->targets[start + at];

		if ((BIT(target->use) & uses) &&
		    !is_tried_(request, target->id))
			candidates->target[candidates->count++] = target;
	}
}

static const target_t *pick_two_(const candidates_t *candidates,
				 mmx_random_t *random, mmx_time_t now)
{
	size_t first = mmx_random_below(random, candidates->count);
	size_t second;

	if (candidates->count == 1)
		return candidates->target[0];
	second = mmx_random_below(random, candidates->count - 1);
	if (second >= first)
		second++;
	return less_loaded_(candidates->target[first],
			    candidates->target[second], now);
}

static const target_t *pick_free_(const candidates_t *candidates,
				  mmx_random_t *random, mmx_time_t now)
{
	const target_t *best;
	size_t i;

	if (!candidates->count)
		return NULL;
	best = pick_two_(candidates, random, now);
	if (is_free_(best, now))
		return best;
	for (i = 0; i < candidates->count; i++)
		best = less_loaded_(best, candidates->target[i], now);
	return is_free_(best, now) ? best : NULL;
}

/* Least loaded in the nearest rings up to the region, whatever its queue;
 * where several are, one of them by chance. */
static const target_t *pick_near_(const mmx_balance_t *balance,
				  const mmx_balance_request_t *request,
				  mmx_random_t *random, mmx_time_t now)
{
	candidates_t candidates;
	const target_t *best = NULL;
	mmx_locality_t ring;
	size_t i;

	for (ring = MMX_LOCALITY_ZONE; ring <= MMX_LOCALITY_REGION; ring++) {
		collect_(balance, request, BIT(MMX_USE_NORMAL), ring, random,
			 &candidates);
		if (!candidates.count)
			continue;
		if (!best)
			best = candidates.target[mmx_random_below(
				random, candidates.count)];
		for (i = 0; i < candidates.count; i++)
			best = less_loaded_(best, candidates.target[i], now);
		if (is_free_(best, now))
			return best;
	}
	return best;
}

static bool has_(const mmx_balance_t *balance, uint32_t uses)
{
	mmx_use_t use;

	for (use = MMX_USE_NORMAL; use < MMX_USE_COUNT; use++)
		if ((BIT(use) & uses) && balance->uses[use])
			return true;
	return false;
}

/* Least loaded of two in the nearest ring that has any target of these uses,
 * or with only_free the nearest target that has a free slot. */
static const target_t *pick_use_(const mmx_balance_t *balance,
				 const mmx_balance_request_t *request,
				 uint32_t uses, bool only_free,
				 mmx_locality_t farthest, mmx_random_t *random,
				 mmx_time_t now)
{
	candidates_t candidates;
	const target_t *target;
	mmx_locality_t ring;

	if (!has_(balance, uses))
		return NULL;
	for (ring = MMX_LOCALITY_ZONE; ring <= farthest; ring++) {
		collect_(balance, request, uses, ring, random, &candidates);
		if (!candidates.count)
			continue;
		target = only_free ? pick_free_(&candidates, random, now)
				   : pick_two_(&candidates, random, now);
		if (target)
			return target;
	}
	return NULL;
}

/* A trial in another region would bring nothing but a slow response, unless
 * the service has no targets nearer. */
static const target_t *pick_trial_(const mmx_balance_t *balance,
				   const mmx_balance_request_t *request,
				   mmx_random_t *random, mmx_time_t now)
{
	mmx_locality_t farthest = balance->ring_start[MMX_LOCALITY_REMOTE]
					  ? MMX_LOCALITY_REGION
					  : MMX_LOCALITY_REMOTE;

	return pick_use_(balance, request, ANY_TRIAL, false, farthest, random,
			 now);
}

bool mmx_balance_choose(const mmx_balance_t *balance,
			const mmx_balance_request_t *request,
			mmx_random_t *random, mmx_time_t now,
			mmx_balance_choice_t *choice)
{
	typedef struct step_t {
		uint32_t uses;
		bool only_free;
	} step_t;
	enum { STEPS = 5 };
	static const step_t orders[2][STEPS] = {
		{
			{BIT(MMX_USE_NORMAL), true},
			{AVOID, true},
			{BIT(MMX_USE_NORMAL), false},
			{AVOID, false},
			{BIT(MMX_USE_LAST_RESORT), false},
		},
		{
			{BIT(MMX_USE_NORMAL), true},
			{BIT(MMX_USE_NORMAL), false},
			{AVOID, true},
			{AVOID, false},
			{BIT(MMX_USE_LAST_RESORT), false},
		},
	};
	const step_t *order = orders[request->queue_before_suspects];
	const target_t *target = NULL;
	size_t i;

	if (request->repeatable)
		target = pick_trial_(balance, request, random, now);
	choice->trial = target != NULL;
	if (!target && request->queue_in_region)
		target = pick_near_(balance, request, random, now);
	for (i = 0; !target && i < STEPS; i++)
		target = pick_use_(balance, request, order[i].uses,
				   order[i].only_free, MMX_LOCALITY_REMOTE,
				   random, now);
	if (!target)
		return false;
	choice->target = target->id;
	choice->locality = target->ring;
	return true;
}

bool mmx_balance_estimate(const mmx_balance_t *balance, mmx_target_id_t target,
			  mmx_time_t now, mmx_balance_estimate_t *belief)
{
	const target_t *known = find_(balance, target);

	if (!known)
		return false;
	*belief = (mmx_balance_estimate_t){
		.outstanding = known->outstanding,
		.others = known->others,
		.slots = known->slots,
		.age = known->reported ? now - known->reported : MMX_TIME_NEVER,
	};
	return true;
}

uint32_t mmx_balance_outstanding(const mmx_balance_t *balance,
				 mmx_target_id_t target)
{
	const target_t *known = find_(balance, target);

	return known ? known->outstanding : 0;
}

size_t mmx_balance_count(const mmx_balance_t *balance)
{
	return balance->count;
}
