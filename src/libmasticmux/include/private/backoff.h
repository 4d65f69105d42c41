/*
 * Back-off of a target or path that failed: doubles each time it fails again
 * and halves with each period of health.
 */
#ifndef MASTICMUX_PRIVATE_BACKOFF_H
#define MASTICMUX_PRIVATE_BACKOFF_H

#include "masticmux/random.h"
#include "masticmux/types.h"

#define MMX_BACKOFF_MIN_US (2 * MMX_US_PER_S)
#define MMX_BACKOFF_MAX_US (60 * MMX_US_PER_S)
/* Time of health after which the next back-off is half as long. */
#define MMX_BACKOFF_HALVING_US (300 * MMX_US_PER_S)

/* Zero-initialised: never failed. */
typedef struct mmx_backoff_t {
	mmx_time_t delay;	  /* last one, 0: none yet */
	mmx_time_t healthy_since; /* end of the last failure */
} mmx_backoff_t;

/* Delay after a failure at the given time. */
mmx_time_t mmx_backoff_report_failure(mmx_backoff_t *backoff, mmx_time_t now);

/* The target or path is healthy again from now on. */
void mmx_backoff_report_recovery(mmx_backoff_t *backoff, mmx_time_t now);

/*
 * Doubles the delay before the next call to a service that failed, between min
 * and max; 0 stands for no failure before. Returns the delay with half of it
 * random, so that many nodes do not return at the same moment after an outage.
 */
mmx_time_t mmx_backoff_with_jitter(mmx_time_t *delay, mmx_time_t min,
				   mmx_time_t max, mmx_random_t *random);

#endif
