#include "private/overdue.h"

#include <glib.h>

/* Weight of a new sample: 1/8 in the mean, 1/4 in the deviation (RFC 6298). */
#define MEAN_SMOOTHING 8
#define DEVIATION_SMOOTHING 4
/* Distance of the limit from the mean, in mean deviations (RFC 6298). */
#define LIMIT_DEVIATIONS 4
/* Lower bound of the limit, percent of the mean. If all samples so far were
 * alike, noise would exceed a lower limit. */
#define LIMIT_MIN_PERCENT 150
/* Limit before the first completion, percent of the latency objective. The
 * objective of a service is about three times its usual run time, and targets
 * that have just started take twice as long as usual. */
#define INITIAL_LIMIT_PERCENT 75
/* Least time that is left for a second attempt, percent of the mean. */
#define SECOND_MIN_PERCENT 150

void mmx_overdue_add(mmx_overdue_t *overdue, mmx_time_t duration)
{
	mmx_time_t distance;

	if (overdue->samples == 0) {
		overdue->mean = duration;
		overdue->deviation = duration / 2;
		overdue->samples = 1;
		return;
	}
	distance = ABS(duration - overdue->mean);
	overdue->deviation +=
		(distance - overdue->deviation) / DEVIATION_SMOOTHING;
	overdue->mean += (duration - overdue->mean) / MEAN_SMOOTHING;
	if (overdue->samples < MMX_OVERDUE_SAMPLES_MAX)
		overdue->samples++;
}

mmx_time_t mmx_overdue_limit(const mmx_overdue_t *overdue, mmx_time_t objective)
{
	mmx_time_t measured_limit =
		MAX(overdue->mean * LIMIT_MIN_PERCENT / 100,
		    overdue->mean + LIMIT_DEVIATIONS * overdue->deviation);
	mmx_time_t initial_limit = objective * INITIAL_LIMIT_PERCENT / 100;
	mmx_time_t samples = overdue->samples;

	if (samples < MMX_OVERDUE_SAMPLES_MAX && objective == 0)
		return MMX_TIME_NEVER;
	return (measured_limit * samples +
		MAX(initial_limit, overdue->mean) *
			(MMX_OVERDUE_SAMPLES_MAX - samples)) /
	       MMX_OVERDUE_SAMPLES_MAX;
}

mmx_time_t mmx_overdue_repeat_delay(const mmx_overdue_t *overdue,
				    mmx_time_t objective, mmx_time_t remaining)
{
	mmx_time_t limit = mmx_overdue_limit(overdue, objective);
	mmx_time_t second_duration = overdue->mean * SECOND_MIN_PERCENT / 100;
	mmx_time_t latest_start = remaining - second_duration;

	if (limit == MMX_TIME_NEVER)
		return limit;
	if (limit > latest_start)
		limit = latest_start;
	/* A typical first attempt would not have completed that early. */
	if (limit <= overdue->mean || limit >= remaining)
		return MMX_TIME_NEVER;
	return limit;
}
