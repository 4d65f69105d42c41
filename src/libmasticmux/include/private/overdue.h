/*
 * Distribution of the time that requests of one route take, and the age from
 * which one is overdue: a target that accepts a request and never answers it
 * is told by this long before the deadline.
 *
 * Smoothed mean and mean deviation, as TCP estimates its retransmission
 * timeout: they need few samples, and follow a service that becomes slow as a
 * whole, so that requests are not repeated because all of them take longer.
 * Does no I/O; zero-initialised values are empty and valid.
 *
 * Usage: add each completion, ask for the limit when a request starts.
 */
#ifndef MASTICMUX_PRIVATE_OVERDUE_H
#define MASTICMUX_PRIVATE_OVERDUE_H

#include "masticmux/types.h"

typedef struct mmx_overdue_t {
	mmx_time_t mean;      /* smoothed; 0: none has completed */
	mmx_time_t deviation; /* smoothed distance from the mean */
	uint32_t samples;     /* saturates at MMX_OVERDUE_SAMPLES_MAX */
} mmx_overdue_t;

/* Completions from which the wanted latency has no part in the limit. */
#define MMX_OVERDUE_SAMPLES_MAX 8

/* Adds a request that completed, however late. */
void mmx_overdue_add(mmx_overdue_t *overdue, mmx_time_t took);

/*
 * Age from which a request is overdue, microseconds; MMX_TIME_NEVER when
 * neither enough completions nor a wanted latency are known. Between none and
 * MMX_OVERDUE_SAMPLES_MAX completions, it goes from a part of the wanted
 * latency to what was measured.
 *
 * objective: wanted latency of the route; 0: none
 */
mmx_time_t mmx_overdue_limit(const mmx_overdue_t *overdue,
			     mmx_time_t objective);

/*
 * Time after which a second attempt is made if the first has not answered;
 * MMX_TIME_NEVER when it would not end before the deadline. Earlier than the
 * limit where the second attempt would otherwise come too late.
 *
 * remaining: time until the deadline, microseconds
 */
mmx_time_t mmx_overdue_repeat_delay(const mmx_overdue_t *overdue,
				    mmx_time_t objective, mmx_time_t remaining);

#endif
