/**
 * One node's share of a retry budget for the whole fleet. In any time window,
 * repeats are limited to a percentage of the requests in that window plus a
 * reserve.
 *
 * Requests and repeats are counted in a sliding window, so the reserve is
 * available again as soon as the repeats that used it have left the window.
 *
 * A node that cannot make a repeat itself may grant it to another node, which
 * does not charge it to its own budget. The allowance is thereby used where it
 * is needed, and the sum over all nodes does not grow. A grant that is unused
 * or lost counts as a repeat.
 *
 * Usage: init; report each request; check before each repeat and charge it.
 */
#ifndef MASTICMUX_RETRY_WINDOW_H
#define MASTICMUX_RETRY_WINDOW_H

#include "masticmux/types.h"

/** Parts of a window, which are counted separately. */
#define MMX_RETRY_WINDOW_PARTS 10

/** Lifetime of a grant: longest time until its repeat is made. */
#define MMX_RETRY_GRANT_TTL_US (500 * MMX_US_PER_MS)

/** Charge of one repeat, hundredths. */
#define MMX_RETRY_WINDOW_REPEAT_HUNDREDTHS 100

/** Limit of the repeats of a node. */
typedef struct mmx_retry_limit_t {
	uint8_t percent;   /**< 0..100 repeats per 100 requests */
	uint32_t reserve;  /**< hundredths of a repeat, beyond the percentage */
	mmx_time_t window; /**< microseconds, at least MMX_RETRY_WINDOW_PARTS */
} mmx_retry_limit_t;

/** State of one budget; members are private. */
typedef struct mmx_retry_window_t {
	mmx_retry_limit_t limit;
	mmx_time_t part; /**< number of the current part */
	uint32_t requests[MMX_RETRY_WINDOW_PARTS + 2]; /**< hundredths */
	uint32_t repeats[MMX_RETRY_WINDOW_PARTS + 2];  /**< hundredths */
	uint32_t calls[MMX_RETRY_WINDOW_PARTS + 2];    /**< hundredths */
} mmx_retry_window_t;

/** Prepares an unused budget. The ranges of the limit are asserted. */
void mmx_retry_window_init(mmx_retry_window_t *budget,
			   const mmx_retry_limit_t *limit);

/**
 * Changes the limit. The counts are kept unless the window changes. With a
 * percentage above 0 one repeat per window is always allowed, since many nodes
 * with an allowance below one each would otherwise never repeat a request.
 */
void mmx_retry_window_set(mmx_retry_window_t *budget,
			  const mmx_retry_limit_t *limit);

/**
 * Counts a request, or the part of one that is not a repeat.
 *
 * @param hundredths  of a request
 * @param now         not before the time of an earlier call, asserted; this
 *                    holds for all functions of the budget
 */
void mmx_retry_window_count_request(mmx_retry_window_t *budget,
				    uint32_t hundredths, mmx_time_t now);

/**
 * Charges a repeat, or a part of one.
 *
 * @param hundredths  of a repeat
 */
void mmx_retry_window_charge(mmx_retry_window_t *budget, uint32_t hundredths,
			     mmx_time_t now);

/**
 * Charges a call made by a repeated run, or a part of one. Such calls count as
 * repeats, but a node cannot refuse them. So repeats leave room for as many
 * calls in the next window as their rate of the last parts leads to.
 *
 * @param hundredths  of a call
 */
void mmx_retry_window_charge_call(mmx_retry_window_t *budget,
				  uint32_t hundredths, mmx_time_t now);

/** True if one more repeat is allowed; to be charged if it is made. */
bool mmx_retry_window_allows(mmx_retry_window_t *budget, mmx_time_t now);

/**
 * Charges a repeat that another node makes within MMX_RETRY_GRANT_TTL_US. The
 * charge counts in the next part of the window.
 *
 * @return false if no repeat is allowed, or if the parts of the window are too
 *         short for the lifetime of a grant
 */
bool mmx_retry_window_grant(mmx_retry_window_t *budget, mmx_time_t now);

#endif
