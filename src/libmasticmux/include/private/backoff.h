/*
 * Exponential back-off of a target or path that failed. It doubles with each
 * failure and halves with each healthy period in between.
 */
#ifndef MASTICMUX_PRIVATE_BACKOFF_H
#define MASTICMUX_PRIVATE_BACKOFF_H

#include "masticmux/random.h"
#include "masticmux/types.h"

#define MMX_BACKOFF_MIN_US (2 * MMX_US_PER_S)
#define MMX_BACKOFF_MAX_US (60 * MMX_US_PER_S)
/* Healthy time that halves the next back-off. */
#define MMX_BACKOFF_HALVING_US (300 * MMX_US_PER_S)

/* Zero-initialised: never failed. */
typedef struct mmx_backoff_t {
	mmx_time_t delay;	  /* last back-off, microseconds; 0: none */
	mmx_time_t healthy_since; /* end of the last failure */
} mmx_backoff_t;

/* Records a failure and returns the back-off, microseconds. */
mmx_time_t mmx_backoff_report_failure(mmx_backoff_t *backoff, mmx_time_t now);

/* Records that the target or path is healthy again. */
void mmx_backoff_report_recovery(mmx_backoff_t *backoff, mmx_time_t now);

/*
 * Doubles the delay before the next call to a service that failed, within min
 * and max; 0 means that no call failed before. Half of the returned delay is
 * random, so that the nodes do not all call at once after an outage.
 */
mmx_time_t mmx_backoff_with_jitter(mmx_time_t *delay, mmx_time_t min,
				   mmx_time_t max, mmx_random_t *random);

#endif
