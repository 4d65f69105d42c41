/**
 * One node's part of a retry budget that the whole fleet shares: in any window
 * of time, repeats stay within a share of the requests of that window plus a
 * reserve.
 *
 * Counts requests and repeats of the last window, so that the reserve is at
 * hand again as soon as the repeats that used it are older than the window.
 *
 * A node that cannot make a repeat itself may grant it to another one, which
 * then makes it without a charge of its own: the allowance goes to where it is
 * needed, and the sum over all nodes does not grow. A grant that is not used,
 * or is lost, counts as a repeat.
 *
 * Usage: init, then report requests, ask before each repeat and charge it.
 */
#ifndef MASTICMUX_RETRY_WINDOW_H
#define MASTICMUX_RETRY_WINDOW_H

#include "masticmux/types.h"

/** Parts that a window is counted in. */
#define MMX_RETRY_WINDOW_PARTS 10

/** Longest time between a grant and the repeat that it is for. */
#define MMX_RETRY_GRANT_TTL_US (500 * MMX_US_PER_MS)

/** Hundredths that stand for one repeat. */
#define MMX_RETRY_WINDOW_REPEAT_HUNDREDTHS 100

/** What a node may repeat. */
typedef struct mmx_retry_limit_t {
	uint8_t percent;   /**< 0..100 repeats per 100 requests */
	uint32_t reserve;  /**< hundredths of a repeat, beyond the percentage */
	mmx_time_t window; /**< microseconds, at least MMX_RETRY_WINDOW_PARTS */
} mmx_retry_limit_t;

/** State of one budget; members are private. */
typedef struct mmx_retry_window_t {
	mmx_retry_limit_t limit;
	mmx_time_t part; /**< number of the current one */
	uint32_t requests[MMX_RETRY_WINDOW_PARTS + 2];
	uint32_t repeats[MMX_RETRY_WINDOW_PARTS + 2]; /**< hundredths */
} mmx_retry_window_t;

/** Prepares a budget of which nothing is used. */
void mmx_retry_window_init(mmx_retry_window_t *budget,
			   const mmx_retry_limit_t *limit);

/**
 * Changes the limit. What was counted is kept unless the window changes.
 * With a percentage above 0 one repeat in a window is always allowed: many
 * nodes with less than one each would otherwise never repeat anything.
 */
void mmx_retry_window_set(mmx_retry_window_t *budget,
			  const mmx_retry_limit_t *limit);

/**
 * Reports a request, not a repeat.
 *
 * @param now  not before the time of an earlier call, as for the others
 */
void mmx_retry_window_count_request(mmx_retry_window_t *budget, mmx_time_t now);

/**
 * Charges a repeat, or a part of one.
 *
 * @param hundredths  of a repeat
 */
void mmx_retry_window_charge(mmx_retry_window_t *budget, uint32_t hundredths,
			     mmx_time_t now);

/** True when one more repeat may be made; charge it then. */
bool mmx_retry_window_allows(mmx_retry_window_t *budget, mmx_time_t now);

/**
 * Charges a repeat that another node makes within MMX_RETRY_GRANT_TTL_US, as if it
 * were made in the next part of the window.
 *
 * @return false when none is left, or when a part of the window is too short
 *         for the time until the repeat is made
 */
bool mmx_retry_window_grant(mmx_retry_window_t *budget, mmx_time_t now);

#endif
