/**
 * Retry budget of one service: a token bucket earned by successes.
 *
 * A success earns retry_percent hundredths of a token, a retry takes one
 * token. A small reserve, refilled slowly by time, lets a service with few
 * requests retry at all. The bucket is bounded, so that a long good time does
 * not pay for a storm of retries.
 *
 * Usage: init, then report successes and ask before each retry.
 */
#ifndef MASTICMUX_RETRY_H
#define MASTICMUX_RETRY_H

#include "masticmux/types.h"

/** Tokens that time alone refills the bucket to. */
#define MMX_RETRY_RESERVE 5
/** Most tokens that are kept. */
#define MMX_RETRY_MAX 100
/** Time for one token of the reserve. */
#define MMX_RETRY_REFILL_US (10 * MMX_US_PER_S)

/** State of one budget; members are private. */
typedef struct mmx_retry_t {
	mmx_time_t refilled;
	uint32_t hundredths; /**< of a token */
	uint8_t percent;
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
 * @return false when the retry must not be made
 */
bool mmx_retry_take(mmx_retry_t *retry, mmx_time_t now);

/** Whole tokens left. */
uint32_t mmx_retry_tokens(const mmx_retry_t *retry);

#endif
