/*
 * Token bucket: how many requests a second one target takes. Does no I/O.
 *
 * Without a limit every request may start at once. Set to zeros before use.
 */
#ifndef MASTICMUX_PRIVATE_RATE_LIMIT_H
#define MASTICMUX_PRIVATE_RATE_LIMIT_H

#include "masticmux/clock.h"

typedef struct mmx_rate_limit_t {
	bool active;
	double rate;	    /* requests a second, as set */
	double tokens;	    /* requests that may start at once, when updated */
	mmx_time_t updated; /* monotonic clock, microseconds */
} mmx_rate_limit_t;

/*
 * Sets the limit. A new limit begins without tokens, since requests have
 * started until now.
 *
 * rate: requests a second, 0 or more, asserted
 */
void mmx_rate_limit_set(mmx_rate_limit_t *limit, double rate, mmx_time_t now);

/* Removes the limit. */
void mmx_rate_limit_clear(mmx_rate_limit_t *limit);

/*
 * Time until a request may start, microseconds; 0: at once.
 *
 * ahead: number of requests that start before it
 */
mmx_time_t mmx_rate_limit_wait(const mmx_rate_limit_t *limit,
			       unsigned int ahead, mmx_time_t now);

/* Counts a request that starts. */
void mmx_rate_limit_take(mmx_rate_limit_t *limit, mmx_time_t now);

#endif
