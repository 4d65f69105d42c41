/*
 * Run times of the requests of one route, and the age from which a request is
 * overdue. A target that accepts a request and never answers it is detected by
 * this long before the deadline.
 *
 * The estimate uses a smoothed mean and mean deviation, like TCP's
 * retransmission timeout. It needs few samples and follows a service that
 * becomes slow as a whole, so that requests are not repeated if all of them
 * take longer. Does no I/O; zero-initialised values are empty and valid.
 *
 * Usage: add each completion; get the limit when a request starts.
 */
#ifndef MASTICMUX_PRIVATE_OVERDUE_H
#define MASTICMUX_PRIVATE_OVERDUE_H

#include "masticmux/types.h"

typedef struct mmx_overdue_t {
	mmx_time_t mean;      /* smoothed, microseconds; 0: no completion */
	mmx_time_t deviation; /* smoothed distance from the mean, same unit */
	uint32_t samples;     /* saturates at MMX_OVERDUE_SAMPLES_MAX */
} mmx_overdue_t;

/* Completions from which the limit ignores the latency objective. */
#define MMX_OVERDUE_SAMPLES_MAX 8

/* Adds the run time of a completed request, however long, microseconds. */
void mmx_overdue_add(mmx_overdue_t *overdue, mmx_time_t duration);

/*
 * Age from which a request is overdue, microseconds; MMX_TIME_NEVER if there
 * are fewer than MMX_OVERDUE_SAMPLES_MAX completions and no latency objective.
 * Below that number, the limit is interpolated between a share of the objective
 * and the measured limit.
 *
 * objective: latency objective of the route, microseconds; 0: none
 */
mmx_time_t mmx_overdue_limit(const mmx_overdue_t *overdue,
			     mmx_time_t objective);

/*
 * Time after which a second attempt is made if the first one has no response;
 * MMX_TIME_NEVER if the second one would not complete before the deadline.
 * The delay is shorter than the limit if the second attempt would otherwise be
 * too late.
 *
 * remaining: time until the deadline, microseconds
 */
mmx_time_t mmx_overdue_repeat_delay(const mmx_overdue_t *overdue,
				    mmx_time_t objective, mmx_time_t remaining);

#endif
