/**
 * Token bucket of one account, with the length of the queue of refused callers
 * and the use of the limit. Times are those of the caller's clock.
 */
#ifndef MASTICMUX_PRIVATE_QUOTA_BUCKET_H
#define MASTICMUX_PRIVATE_QUOTA_BUCKET_H

#include "masticmux/types.h"

/** Use is measured over this time, in slots. */
#define MMX_QUOTA_USE_US (2 * MMX_US_PER_S)
#define MMX_QUOTA_USE_SLOT_US (500 * MMX_US_PER_MS)
/** The slots of the time above, and the one that has begun. */
#define MMX_QUOTA_USE_SLOTS 5
/** Slots in which the tokens of a window are counted, with the one that has
 * begun. */
#define MMX_QUOTA_WINDOW_SLOTS 21
/** Lifetime of a prefetched token from the time of the token request. */
#define MMX_QUOTA_LEASE_US (1 * MMX_US_PER_S)

/** Members are read by the owner of the bucket and written here only. */
typedef struct mmx_quota_bucket_t {
	double tokens;
	double capacity; /**< of the bucket and its prefetched tokens */
	double rate;	 /**< tokens per second that are added */
	double limit;	 /**< requests per second, for queue and use */
	double queue;	 /**< callers that were refused and have not returned */
	mmx_time_t at;	 /**< tokens and queue are those of this time */
	/** Prefetched tokens in use elsewhere: of the second that has begun and
	 * of the one before. */
	double leased[2];
	int64_t lease_second;
	double used[MMX_QUOTA_USE_SLOTS]; /**< the current slot is first */
	int64_t use_slot;
	/** Tokens of the last window that were not put back; the current slot is
	 * first. */
	double granted[MMX_QUOTA_WINDOW_SLOTS];
	int64_t granted_slot;
	mmx_time_t slot_length; /**< of granted; 0: not counted */
} mmx_quota_bucket_t;

/**
 * Prepares a bucket.
 *
 * @param limit     requests per second, above 0; the initial rate
 * @param capacity  tokens, 0 or more
 * @param tokens    at the start, at most the capacity
 */
void mmx_quota_bucket_init(mmx_quota_bucket_t *bucket, double limit,
			   double capacity, double tokens, mmx_time_t now);

/**
 * Bounds the tokens of each window by what the limit adds in that time and the
 * capacity. Without this, tokens that are put back long after their issue could
 * be used again within one window.
 *
 * @param window  microseconds, 1 s or more
 */
void mmx_quota_bucket_set_window(mmx_quota_bucket_t *bucket, mmx_time_t window,
				 mmx_time_t now);

/** Changes limit and capacity; tokens above the capacity are dropped. */
void mmx_quota_bucket_set_limit(mmx_quota_bucket_t *bucket, double limit,
				double capacity, mmx_time_t now);

/** Changes the rate at which tokens are added from now on. */
void mmx_quota_bucket_set_rate(mmx_quota_bucket_t *bucket, double rate,
			       mmx_time_t now);

/** Drops tokens above a number. */
void mmx_quota_bucket_cut(mmx_quota_bucket_t *bucket, double tokens,
			  mmx_time_t now);

/** Adds tokens up to a time, and none from then until now. */
void mmx_quota_bucket_skip(mmx_quota_bucket_t *bucket, mmx_time_t until,
			   mmx_time_t now);

/** Takes whole tokens; returns their number, at most wanted. */
unsigned int mmx_quota_bucket_take(mmx_quota_bucket_t *bucket,
				   unsigned int wanted, mmx_time_t now);

/**
 * Takes tokens in advance, while the bucket is more than half full: at most a
 * tenth of its tokens.
 *
 * @param wanted      tokens
 * @param leased_max  of all prefetched tokens together
 */
unsigned int mmx_quota_bucket_lease(mmx_quota_bucket_t *bucket,
				    unsigned int wanted, double leased_max,
				    mmx_time_t now);

/**
 * Puts tokens back that were issued in the last window, up to the capacity.
 *
 * @param age  of the oldest one since its issue, microseconds, 0 or more
 */
void mmx_quota_bucket_give_back(mmx_quota_bucket_t *bucket, unsigned int tokens,
				mmx_time_t age, mmx_time_t now);

/** Adds callers to the queue; returns the time after which a token is expected
 * for the first of them, microseconds. */
mmx_time_t mmx_quota_bucket_refuse(mmx_quota_bucket_t *bucket,
				   unsigned int callers, mmx_time_t now);

/** Tokens taken during the last 2 s in permille of the limit, at most 65535. */
unsigned int mmx_quota_bucket_use(mmx_quota_bucket_t *bucket, mmx_time_t now);

/** True if the bucket is full, with no tokens leased. */
bool mmx_quota_bucket_is_full(mmx_quota_bucket_t *bucket, mmx_time_t now);

#endif
