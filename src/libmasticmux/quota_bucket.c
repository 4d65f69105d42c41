#include "private/quota_bucket.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "private/quota.h"

#define USE_MAX 65535

static double seconds_(mmx_time_t time)
{
	return (double)time / (double)MMX_US_PER_S;
}

static double leased_(const mmx_quota_bucket_t *bucket)
{
	return bucket->leased[0] + bucket->leased[1];
}

/* Prefetched tokens count until the end of the second that follows the one of
 * their issue, which is never before they expire at the node that has them. */
static void expire_leases_(mmx_quota_bucket_t *bucket, mmx_time_t now)
{
	int64_t second = now / MMX_QUOTA_LEASE_US;
	int64_t passed = second - bucket->lease_second;

	if (passed <= 0)
		return;
	bucket->leased[1] = passed == 1 ? bucket->leased[0] : 0;
	bucket->leased[0] = 0;
	bucket->lease_second = second;
}

static void shift_use_(mmx_quota_bucket_t *bucket, mmx_time_t now)
{
	int64_t slot = now / MMX_QUOTA_USE_SLOT_US;
	int64_t passed =
		MIN(slot - bucket->use_slot, (int64_t)MMX_QUOTA_USE_SLOTS);

	if (passed <= 0)
		return;
	memmove(&bucket->used[passed], &bucket->used[0],
		(size_t)(MMX_QUOTA_USE_SLOTS - passed) * sizeof(double));
	memset(bucket->used, 0, (size_t)passed * sizeof(double));
	bucket->use_slot = slot;
}

static void shift_granted_(mmx_quota_bucket_t *bucket, mmx_time_t now)
{
	int64_t slot;
	int64_t passed;

	if (!bucket->slot_length)
		return;
	slot = now / bucket->slot_length;
	passed = MIN(slot - bucket->granted_slot,
		     (int64_t)MMX_QUOTA_WINDOW_SLOTS);
	if (passed <= 0)
		return;
	memmove(&bucket->granted[passed], &bucket->granted[0],
		(size_t)(MMX_QUOTA_WINDOW_SLOTS - passed) * sizeof(double));
	memset(bucket->granted, 0, (size_t)passed * sizeof(double));
	bucket->granted_slot = slot;
}

/* Tokens that the window still allows. */
static double window_rest_(const mmx_quota_bucket_t *bucket)
{
	double most = bucket->limit * seconds_(bucket->slot_length *
					       (MMX_QUOTA_WINDOW_SLOTS - 1)) +
		      bucket->capacity;
	size_t i;

	if (!bucket->slot_length)
		return bucket->tokens;
	for (i = 0; i < MMX_QUOTA_WINDOW_SLOTS; i++)
		most -= bucket->granted[i];
	return MAX(most, 0);
}

static void clamp_(mmx_quota_bucket_t *bucket)
{
	double room = MAX(bucket->capacity - leased_(bucket), 0);

	bucket->tokens = MIN(bucket->tokens, room);
}

static void advance_(mmx_quota_bucket_t *bucket, mmx_time_t now)
{
	double passed = seconds_(now - bucket->at);

	expire_leases_(bucket, now);
	shift_use_(bucket, now);
	shift_granted_(bucket, now);
	if (passed <= 0)
		return;
	bucket->at = now;
	bucket->tokens += passed * bucket->rate;
	bucket->queue = MAX(bucket->queue - passed * bucket->limit, 0);
	clamp_(bucket);
}

void mmx_quota_bucket_init(mmx_quota_bucket_t *bucket, double limit,
			   double capacity, double tokens, mmx_time_t now)
{
	*bucket = (mmx_quota_bucket_t){
		.tokens = MIN(tokens, capacity),
		.capacity = capacity,
		.rate = limit,
		.limit = limit,
		.at = now,
		.lease_second = now / MMX_QUOTA_LEASE_US,
		.use_slot = now / MMX_QUOTA_USE_SLOT_US,
	};
}

void mmx_quota_bucket_set_window(mmx_quota_bucket_t *bucket, mmx_time_t window,
				 mmx_time_t now)
{
	mmx_time_t length = window / (MMX_QUOTA_WINDOW_SLOTS - 1);

	if (bucket->slot_length == length)
		return;
	bucket->slot_length = length;
	bucket->granted_slot = now / length;
	memset(bucket->granted, 0, sizeof(bucket->granted));
}

void mmx_quota_bucket_set_limit(mmx_quota_bucket_t *bucket, double limit,
				double capacity, mmx_time_t now)
{
	advance_(bucket, now);
	/* What was allowed by a higher limit does not count against this one. */
	if (limit < bucket->limit)
		memset(bucket->granted, 0, sizeof(bucket->granted));
	bucket->limit = limit;
	bucket->capacity = capacity;
	clamp_(bucket);
}

void mmx_quota_bucket_set_rate(mmx_quota_bucket_t *bucket, double rate,
			       mmx_time_t now)
{
	advance_(bucket, now);
	bucket->rate = rate;
}

void mmx_quota_bucket_cut(mmx_quota_bucket_t *bucket, double tokens,
			  mmx_time_t now)
{
	advance_(bucket, now);
	bucket->tokens = MIN(bucket->tokens, tokens);
}

void mmx_quota_bucket_skip(mmx_quota_bucket_t *bucket, mmx_time_t until,
			   mmx_time_t now)
{
	advance_(bucket, until);
	bucket->at = MAX(bucket->at, now);
}

static unsigned int remove_(mmx_quota_bucket_t *bucket, double tokens)
{
	double whole = floor(MAX(MIN(tokens, window_rest_(bucket)), 0));

	bucket->tokens -= whole;
	bucket->granted[0] += whole;
	return (unsigned int)whole;
}

unsigned int mmx_quota_bucket_take(mmx_quota_bucket_t *bucket,
				   unsigned int wanted, mmx_time_t now)
{
	unsigned int taken;

	advance_(bucket, now);
	taken = remove_(bucket, MIN(bucket->tokens, (double)wanted));
	bucket->used[0] += taken;
	return taken;
}

unsigned int mmx_quota_bucket_lease(mmx_quota_bucket_t *bucket,
				    unsigned int wanted, double leased_max,
				    mmx_time_t now)
{
	double tokens;
	unsigned int taken;

	advance_(bucket, now);
	if (bucket->tokens <= bucket->capacity / 2)
		return 0;
	tokens = MIN(bucket->tokens / 10, leased_max - leased_(bucket));
	taken = remove_(bucket, MIN(tokens, (double)wanted));
	bucket->leased[0] += taken;
	bucket->used[0] += taken;
	return taken;
}

void mmx_quota_bucket_give_back(mmx_quota_bucket_t *bucket, unsigned int tokens,
				mmx_time_t age, mmx_time_t now)
{
	double rest = tokens;
	size_t i;

	advance_(bucket, now);
	for (i = G_N_ELEMENTS(bucket->leased); i-- > 0;) {
		double returned = MIN(bucket->leased[i], rest);

		bucket->leased[i] -= returned;
		rest -= returned;
	}
	/* From the slot of their issue on to older ones, which leave the window
	 * earlier, so that the count is never too low. */
	rest = tokens;
	i = bucket->slot_length ? (size_t)(age / bucket->slot_length) : 0;
	for (; i < MMX_QUOTA_WINDOW_SLOTS && rest > 0; i++) {
		double returned = MIN(bucket->granted[i], rest);

		bucket->granted[i] -= returned;
		rest -= returned;
	}
	rest = tokens;
	for (i = 0; i < MMX_QUOTA_USE_SLOTS; i++) {
		double returned = MIN(bucket->used[i], rest);

		bucket->used[i] -= returned;
		rest -= returned;
	}
	bucket->tokens += tokens;
	clamp_(bucket);
}

mmx_time_t mmx_quota_bucket_refuse(mmx_quota_bucket_t *bucket,
				   unsigned int callers, mmx_time_t now)
{
	double most = bucket->limit * seconds_(MMX_QUOTA_RETRY_MAX_US);
	double wait;

	advance_(bucket, now);
	wait = (bucket->queue + 1) / bucket->limit;
	bucket->queue = MIN(bucket->queue + callers, most);
	return CLAMP((mmx_time_t)(MIN(wait, 3600.0) * (double)MMX_US_PER_S),
		     MMX_QUOTA_RETRY_MIN_US, MMX_QUOTA_RETRY_MAX_US);
}

unsigned int mmx_quota_bucket_use(mmx_quota_bucket_t *bucket, mmx_time_t now)
{
	double part = (double)(now % MMX_QUOTA_USE_SLOT_US) /
		      (double)MMX_QUOTA_USE_SLOT_US;
	double used;
	size_t i;

	advance_(bucket, now);
	used = bucket->used[MMX_QUOTA_USE_SLOTS - 1] * (1 - part);
	for (i = 0; i < MMX_QUOTA_USE_SLOTS - 1; i++)
		used += bucket->used[i];
	used *= MMX_QUOTA_USE_FULL;
	used /= bucket->limit * seconds_(MMX_QUOTA_USE_US);
	return (unsigned int)MIN(used, USE_MAX);
}

bool mmx_quota_bucket_is_full(mmx_quota_bucket_t *bucket, mmx_time_t now)
{
	advance_(bucket, now);
	return leased_(bucket) == 0 && bucket->tokens >= bucket->capacity;
}
