#include "masticmux/balance.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

/* Candidates examined in one locality. A larger one is scanned from a random
 * position, which bounds the cost of a choice. */
#define CANDIDATES_MAX 64

const char *const mmx_locality_string[MMX_LOCALITY_COUNT] = {
	"zone",
	"region",
	"remote",
};

const char *const mmx_use_string[MMX_USE_COUNT] = {
	"normal", "avoid", "avoid-trial", "trial", "last-resort", "none",
};

/*
 * Targets are chosen by work only if the request is expected to complete later
 * at one of them by more than this, percent; else the number of requests
 * decides. Means of few run times differ by 10% by chance, and among equal
 * targets a margin of 10% cost 1% of the mean latency (bench_cost,
 * equal-targets).
 */
#define MARGIN_PERCENT 25
/* Time after which a reported mean run time is ignored, so that a target that
 * gets no requests because it was slow is tried again. */
#define RUN_TTL_US (10 * MMX_US_PER_S)

#define USE_BIT(use) (1U << (use))
#define AVOID_USES (USE_BIT(MMX_USE_AVOID) | USE_BIT(MMX_USE_AVOID_TRIAL))
#define TRIAL_USES (USE_BIT(MMX_USE_TRIAL) | USE_BIT(MMX_USE_AVOID_TRIAL))

typedef struct target_t {
	mmx_target_id_t id;
	mmx_time_t report_time;	 /* time of the last load report, 0: none */
	mmx_time_t paused_until; /* starts no further request before */
	uint32_t others;      /* requests of other entries, as last reported */
	uint32_t outstanding; /* requests of this entry */
	mmx_time_t work;      /* outstanding work, as last reported */
	mmx_time_t run;	      /* mean run time; 0: no work was reported */
	mmx_time_t work_time; /* time of the last report of work */
	double added;	      /* cost of what this entry has sent since */
	uint16_t slots;
	uint8_t use;
	uint8_t locality;
} target_t;

struct mmx_balance_t {
	target_t *targets; /* sorted by locality, nearest first */
	size_t count;
	size_t allocated;
	/* Index in targets of the first target of each locality. */
	size_t locality_start[MMX_LOCALITY_COUNT + 1];
	uint32_t uses[MMX_USE_COUNT]; /* number of targets with each use */
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

static target_t *find_target_(const mmx_balance_t *balance, mmx_target_id_t id)
{
	size_t i;

	for (i = 0; i < balance->count; i++)
		if (balance->targets[i].id == id)
			return &balance->targets[i];
	return NULL;
}

static void erase_target_(mmx_balance_t *balance, target_t *target)
{
	size_t at = (size_t)(target - balance->targets);
	size_t locality;

	for (locality = target->locality + 1U; locality <= MMX_LOCALITY_COUNT;
	     locality++)
		balance->locality_start[locality]--;
	balance->uses[target->use]--;
	balance->count--;
	memmove(target, target + 1, (balance->count - at) * sizeof(*target));
}

static void insert_target_(mmx_balance_t *balance, const target_t *target)
{
	size_t at = balance->locality_start[target->locality + 1U];
	size_t locality;

	if (balance->count == balance->allocated) {
		balance->allocated =
			balance->allocated ? 2 * balance->allocated : 4;
		balance->targets =
			g_renew(target_t, balance->targets, balance->allocated);
	}
	memmove(&balance->targets[at + 1], &balance->targets[at],
		(balance->count - at) * sizeof(*target));
	balance->targets[at] = *target;
	for (locality = target->locality + 1U; locality <= MMX_LOCALITY_COUNT;
	     locality++)
		balance->locality_start[locality]++;
	balance->uses[target->use]++;
	balance->count++;
}

void mmx_balance_set_target(mmx_balance_t *balance, mmx_target_id_t target,
			    uint16_t slots, mmx_locality_t locality)
{
	target_t *known = find_target_(balance, target);
	target_t value = {.id = target, .use = MMX_USE_NORMAL};

	assert(slots > 0 && locality < MMX_LOCALITY_COUNT);
	if (known) {
		value = *known;
		erase_target_(balance, known);
	}
	value.slots = slots;
	value.locality = (uint8_t)locality;
	insert_target_(balance, &value);
}

void mmx_balance_remove_target(mmx_balance_t *balance, mmx_target_id_t target)
{
	target_t *known = find_target_(balance, target);

	if (known)
		erase_target_(balance, known);
}

void mmx_balance_set_use(mmx_balance_t *balance, mmx_target_id_t target,
			 mmx_use_t use)
{
	target_t *known = find_target_(balance, target);

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
	target_t *known = find_target_(balance, target);

	if (!known)
		return;
	/* The reported load contains this entry's own requests. */
	known->others =
		load > known->outstanding ? load - known->outstanding : 0;
	known->report_time = now;
}

void mmx_balance_report_work(mmx_balance_t *balance, mmx_target_id_t target,
			     mmx_time_t work, mmx_time_t run, mmx_time_t now)
{
	target_t *known = find_target_(balance, target);

	if (!known)
		return;
	known->work = work;
	known->run = run;
	known->work_time = now;
	known->added = 0;
}

void mmx_balance_add_work(mmx_balance_t *balance, mmx_target_id_t target,
			  double cost)
{
	target_t *known = find_target_(balance, target);

	if (known)
		known->added += cost;
}

void mmx_balance_pause(mmx_balance_t *balance, mmx_target_id_t target,
		       mmx_time_t until)
{
	target_t *known = find_target_(balance, target);

	if (known)
		known->paused_until = until;
}

void mmx_balance_start(mmx_balance_t *balance, mmx_target_id_t target)
{
	target_t *known = find_target_(balance, target);

	if (known)
		known->outstanding++;
}

void mmx_balance_finish(mmx_balance_t *balance, mmx_target_id_t target)
{
	target_t *known = find_target_(balance, target);

	if (known && known->outstanding)
		known->outstanding--;
}

/* Expired reports are ignored: a high load in one would keep away the requests
 * whose responses carry the next report. */
static uint64_t estimated_load_(const target_t *target, mmx_time_t now)
{
	uint64_t load = target->outstanding;

	if (now - target->report_time <= MMX_BALANCE_REPORT_TTL_US)
		load += target->others;
	return load;
}

static bool is_paused_(const target_t *target, mmx_time_t now)
{
	return now < target->paused_until;
}

static bool has_free_slot_(const target_t *target, mmx_time_t now)
{
	return !is_paused_(target, now) &&
	       estimated_load_(target, now) < target->slots;
}

static bool is_work_known_(const target_t *target, mmx_time_t now)
{
	return target->run &&
	       now - target->work_time <= MMX_BALANCE_REPORT_TTL_US;
}

/* Outstanding work for each slot, with what this entry has sent since. */
static double work_(const target_t *target)
{
	return (double)target->work +
	       target->added * (double)target->run / target->slots;
}

static bool is_run_known_(const target_t *target, mmx_time_t now)
{
	return target->run && now - target->work_time <= RUN_TTL_US;
}

/*
 * Expected time until a request of this relative cost completes; -1: unknown.
 * It starts at once where a slot is free.
 */
static double completion_(const target_t *target, double cost, mmx_time_t now)
{
	double run = cost * (double)target->run;

	if (!is_run_known_(target, now))
		return -1;
	if (has_free_slot_(target, now))
		return run;
	return is_work_known_(target, now) ? work_(target) + run : -1;
}

/* Returns the target that is expected to complete a request clearly earlier, or
 * NULL if there is none or this is not known. */
static const target_t *earlier_(const target_t *a, const target_t *b,
				double cost, mmx_time_t now)
{
	double in_a;
	double in_b;

	if (cost <= 0)
		return NULL;
	in_a = completion_(a, cost, now);
	in_b = completion_(b, cost, now);
	if (in_a < 0 || in_b < 0 ||
	    has_free_slot_(a, now) != has_free_slot_(b, now) ||
	    MIN(in_a, in_b) * (100 + MARGIN_PERCENT) > MAX(in_a, in_b) * 100)
		return NULL;
	return in_b < in_a ? b : a;
}

static const target_t *less_loaded_(const target_t *a, const target_t *b,
				    double cost, mmx_time_t now)
{
	mmx_time_t wait_a = MAX(a->paused_until - now, 0);
	mmx_time_t wait_b = MAX(b->paused_until - now, 0);
	const target_t *earlier;

	if (wait_a != wait_b)
		return wait_b < wait_a ? b : a;
	earlier = earlier_(a, b, cost, now);
	if (earlier)
		return earlier;
	return estimated_load_(b, now) * a->slots <
			       estimated_load_(a, now) * b->slots
		       ? b
		       : a;
}

static bool is_tried_(const mmx_balance_request_t *request, mmx_target_id_t id)
{
	size_t i;

	for (i = 0; i < request->tried_count; i++)
		if (request->tried[i] == id)
			return true;
	return false;
}

static void collect_candidates_(const mmx_balance_t *balance,
				const mmx_balance_request_t *request,
				uint32_t uses, mmx_locality_t locality,
				mmx_random_t *random, candidates_t *candidates)
{
	size_t start = balance->locality_start[locality];
	size_t size = balance->locality_start[locality + 1] - start;
	size_t offset = 0;
	size_t i;

	candidates->count = 0;
	if (size > CANDIDATES_MAX)
		offset = mmx_random_below(random, size);
	for (i = 0; i < size && candidates->count < CANDIDATES_MAX; i++) {
		size_t at = offset + i < size ? offset + i : offset + i - size;
		const target_t *target = &balance->targets[start + at];

		if ((USE_BIT(target->use) & uses) &&
		    !is_tried_(request, target->id))
			candidates->target[candidates->count++] = target;
	}
}

static const target_t *pick_of_two_(const candidates_t *candidates, double cost,
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
			    candidates->target[second], cost, now);
}

static const target_t *pick_free_(const candidates_t *candidates, double cost,
				  mmx_random_t *random, mmx_time_t now)
{
	const target_t *best;
	size_t i;

	if (!candidates->count)
		return NULL;
	best = pick_of_two_(candidates, cost, random, now);
	if (has_free_slot_(best, now))
		return best;
	for (i = 0; i < candidates->count; i++)
		best = less_loaded_(best, candidates->target[i], cost, now);
	return has_free_slot_(best, now) ? best : NULL;
}

/* Returns the least loaded target of the zone if it has a free slot, else the
 * least loaded one of zone and region, however long its queue is, unless all
 * are paused. The search starts at a random candidate to spread equally loaded
 * targets. */
static const target_t *pick_in_region_(const mmx_balance_t *balance,
				       const mmx_balance_request_t *request,
				       mmx_random_t *random, mmx_time_t now)
{
	candidates_t candidates;
	const target_t *best = NULL;
	mmx_locality_t locality;
	size_t i;

	for (locality = MMX_LOCALITY_ZONE; locality <= MMX_LOCALITY_REGION;
	     locality++) {
		collect_candidates_(balance, request, USE_BIT(MMX_USE_NORMAL),
				    locality, random, &candidates);
		if (!candidates.count)
			continue;
		/* All entries with the same reports would choose the target
		 * with the least work of all. */
		if (request->cost > 0) {
			const target_t *target = pick_of_two_(
				&candidates, request->cost, random, now);

			if (has_free_slot_(target, now))
				return target;
		}
		if (!best)
			best = candidates.target[mmx_random_below(
				random, candidates.count)];
		for (i = 0; i < candidates.count; i++)
			best = less_loaded_(best, candidates.target[i], 0, now);
		if (has_free_slot_(best, now))
			return best;
	}
	return best && !is_paused_(best, now) ? best : NULL;
}

static bool has_target_with_(const mmx_balance_t *balance, uint32_t uses)
{
	mmx_use_t use;

	for (use = MMX_USE_NORMAL; use < MMX_USE_COUNT; use++)
		if ((USE_BIT(use) & uses) && balance->uses[use])
			return true;
	return false;
}

/* Returns the less loaded of two random targets in the nearest locality that
 * has targets with one of the uses. With only_free, localities in which no such
 * target has a free slot are skipped. */
static const target_t *pick_with_use_(const mmx_balance_t *balance,
				      const mmx_balance_request_t *request,
				      uint32_t uses, bool only_free,
				      mmx_locality_t farthest,
				      mmx_random_t *random, mmx_time_t now)
{
	candidates_t candidates;
	const target_t *target;
	mmx_locality_t locality;

	if (!has_target_with_(balance, uses))
		return NULL;
	for (locality = MMX_LOCALITY_ZONE; locality <= farthest; locality++) {
		collect_candidates_(balance, request, uses, locality, random,
				    &candidates);
		if (!candidates.count)
			continue;
		target = only_free ? pick_free_(&candidates, request->cost,
						random, now)
				   : pick_of_two_(&candidates, request->cost,
						  random, now);
		if (target)
			return target;
	}
	return NULL;
}

/* Trials stay within the region if the service has targets there: a trial in
 * another region only makes the response slow. */
static const target_t *pick_trial_(const mmx_balance_t *balance,
				   const mmx_balance_request_t *request,
				   mmx_random_t *random, mmx_time_t now)
{
	mmx_locality_t farthest = balance->locality_start[MMX_LOCALITY_REMOTE]
					  ? MMX_LOCALITY_REGION
					  : MMX_LOCALITY_REMOTE;

	return pick_with_use_(balance, request, TRIAL_USES, false, farthest,
			      random, now);
}

static bool has_usable_in_region_(const mmx_balance_t *balance)
{
	size_t end = balance->locality_start[MMX_LOCALITY_REMOTE];
	size_t i;

	for (i = 0; i < end; i++)
		if (USE_BIT(balance->targets[i].use) &
		    (USE_BIT(MMX_USE_NORMAL) | AVOID_USES))
			return true;
	return false;
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
	enum { STEP_COUNT = 5 };
	static const step_t preferences[2][STEP_COUNT] = {
		{
			{USE_BIT(MMX_USE_NORMAL), true},
			{AVOID_USES, true},
			{USE_BIT(MMX_USE_NORMAL), false},
			{AVOID_USES, false},
			{USE_BIT(MMX_USE_LAST_RESORT), false},
		},
		{
			{USE_BIT(MMX_USE_NORMAL), true},
			{USE_BIT(MMX_USE_NORMAL), false},
			{AVOID_USES, true},
			{AVOID_USES, false},
			{USE_BIT(MMX_USE_LAST_RESORT), false},
		},
	};
	const step_t *preference = preferences[request->queue_before_suspects];
	mmx_locality_t farthest =
		request->region_only && has_usable_in_region_(balance)
			? MMX_LOCALITY_REGION
			: MMX_LOCALITY_REMOTE;
	const target_t *target = NULL;
	size_t i;

	if (request->repeatable)
		target = pick_trial_(balance, request, random, now);
	choice->trial = target != NULL;
	if (!target && request->queue_in_region)
		target = pick_in_region_(balance, request, random, now);
	for (i = 0; !target && i < STEP_COUNT; i++)
		target = pick_with_use_(balance, request, preference[i].uses,
					preference[i].only_free, farthest,
					random, now);
	if (!target)
		return false;
	choice->target = target->id;
	choice->locality = target->locality;
	return true;
}

bool mmx_balance_estimate(const mmx_balance_t *balance, mmx_target_id_t target,
			  mmx_time_t now, mmx_balance_estimate_t *estimate)
{
	const target_t *known = find_target_(balance, target);

	if (!known)
		return false;
	*estimate = (mmx_balance_estimate_t){
		.outstanding = known->outstanding,
		.others = known->others,
		.slots = known->slots,
		.age = known->report_time ? now - known->report_time
					  : MMX_TIME_NEVER,
		.work = is_work_known_(known, now) ? (mmx_time_t)work_(known)
						   : -1,
		.run = known->run,
	};
	return true;
}

uint32_t mmx_balance_outstanding(const mmx_balance_t *balance,
				 mmx_target_id_t target)
{
	const target_t *known = find_target_(balance, target);

	return known ? known->outstanding : 0;
}

size_t mmx_balance_count(const mmx_balance_t *balance)
{
	return balance->count;
}
