/**
 * Retry budget of one service: a token bucket that successes fill.
 *
 * A success adds retry_percent hundredths of a token, a retry takes one token.
 * Time slowly refills a small reserve, so that a service with few requests can
 * retry at all. The size of the bucket is limited, so that a long time without
 * failures does not allow a retry storm afterwards.
 *
 * Usage: init; report each success; take a token before each retry.
 */
#ifndef MASTICMUX_RETRY_H
#define MASTICMUX_RETRY_H

#include "masticmux/types.h"

/** Reserve: tokens up to which time alone refills the bucket. */
#define MMX_RETRY_RESERVE 5
/** Size of the bucket, tokens. */
#define MMX_RETRY_MAX 100
/** Time in which the reserve is refilled by one token. */
#define MMX_RETRY_REFILL_US (10 * MMX_US_PER_S)

/** State of one budget; members are private. */
typedef struct mmx_retry_t {
	mmx_time_t refilled; /**< time of the last refill */
	uint32_t hundredths; /**< of a token, in the bucket */
	uint8_t percent;     /**< retries per 100 successes */
} mmx_retry_t;

/**
 * Prepares a budget with a full reserve.
 *
 * @param percent  0..100 retries per 100 successes, asserted; with 0 every
 *                 retry is refused
 */
void mmx_retry_init(mmx_retry_t *retry, uint8_t percent, mmx_time_t now);

/** Changes the percentage; the tokens are kept. */
void mmx_retry_set_percent(mmx_retry_t *retry, uint8_t percent);

/** Reports one request that succeeded. */
void mmx_retry_success(mmx_retry_t *retry);

/**
 * Takes one token.
 *
 * @param now  not before the time of an earlier call
 * @return false if there is none; the retry must not be made then
 */
bool mmx_retry_take(mmx_retry_t *retry, mmx_time_t now);

/** Whole tokens left. */
uint32_t mmx_retry_tokens(const mmx_retry_t *retry);

#endif
