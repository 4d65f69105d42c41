#include "private/quota_bucket.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "private/quota.h"

static double seconds_(mmx_time_t time)
{
	return (double)time / (double)MMX_US_PER_S;
}

static double leased_(const mmx_quota_bucket_t *bucket)
{
	return bucket->leased[0] + bucket->leased[1];
}

/* Moves counts, of which the current slot is first, to where a newer slot is
 * first. */
static void shift_(double *counts, size_t count, int64_t *first, int64_t slot)
{
	size_t passed;

	if (slot <= *first)
		return;
	passed = (size_t)MIN(slot - *first, (int64_t)count);
	memmove(&counts[passed], counts, (count - passed) * sizeof(*counts));
	memset(counts, 0, passed * sizeof(*counts));
	*first = slot;
}

/* Takes tokens out of counts, from the first one on. Returns those that are
 * left over. */
static double subtract_(double *counts, size_t count, double tokens)
{
	size_t i;

	for (i = 0; i < count && tokens > 0; i++) {
		double taken = MIN(counts[i], tokens);

		counts[i] -= taken;
		tokens -= taken;
	}
	return tokens;
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

	/* Prefetched tokens count until the end of the second that follows the
	 * one of their issue, which is never before they expire at the node
	 * that has them. */
	shift_(bucket->leased, G_N_ELEMENTS(bucket->leased),
	       &bucket->lease_second, now / MMX_QUOTA_LEASE_US);
	shift_(bucket->used, MMX_QUOTA_USE_SLOTS, &bucket->use_slot,
	       now / MMX_QUOTA_USE_SLOT_US);
	if (bucket->slot_length)
		shift_(bucket->granted, MMX_QUOTA_WINDOW_SLOTS,
		       &bucket->granted_slot, now / bucket->slot_length);
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
	size_t slot = 0;

	advance_(bucket, now);
	/* The older ones of the prefetched tokens expire first. */
	subtract_(&bucket->leased[0], 1,
		  subtract_(&bucket->leased[1], 1, tokens));
	/* From the slot of their issue on to older ones, which leave the window
	 * earlier, so that the count is never too low. */
	if (bucket->slot_length)
		slot = MIN((size_t)(age / bucket->slot_length),
			   MMX_QUOTA_WINDOW_SLOTS);
	subtract_(&bucket->granted[slot], MMX_QUOTA_WINDOW_SLOTS - slot,
		  tokens);
	subtract_(bucket->used, MMX_QUOTA_USE_SLOTS, tokens);
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
	return (unsigned int)MIN(used, MMX_QUOTA_USE_MAX);
}

bool mmx_quota_bucket_is_full(mmx_quota_bucket_t *bucket, mmx_time_t now)
{
	advance_(bucket, now);
	return leased_(bucket) == 0 && bucket->tokens >= bucket->capacity;
}
