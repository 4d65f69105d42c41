#include "private/overdue.h"

#include <glib.h>

/* Weight of a new sample: 1/8 in the mean, 1/4 in the deviation (RFC 6298). */
#define MEAN_SMOOTHING 8
#define DEVIATION_SMOOTHING 4
/* Mean deviations above the mean (RFC 6298). */
#define DEVIATIONS 4
/* A limit closer to the mean than this would be crossed by noise when all
 * samples so far are alike, percent of the mean. */
#define LIMIT_MIN_PERCENT 150
/* Limit where nothing has completed, percent of the wanted latency: services
 * promise about three times their usual run time, and targets that have just
 * started take twice as long. */
#define UNKNOWN_LIMIT_PERCENT 75
/* Time that a second attempt is given at least, percent of the mean. */
#define SECOND_MIN_PERCENT 150

void mmx_overdue_add(mmx_overdue_t *overdue, mmx_time_t took)
{
	mmx_time_t distance;

	if (overdue->samples == 0) {
		overdue->mean = took;
		overdue->deviation = took / 2;
		overdue->samples = 1;
		return;
	}
	distance = ABS(took - overdue->mean);
	overdue->deviation +=
		(distance - overdue->deviation) / DEVIATION_SMOOTHING;
	overdue->mean += (took - overdue->mean) / MEAN_SMOOTHING;
	if (overdue->samples < MMX_OVERDUE_SAMPLES_MAX)
		overdue->samples++;
}

mmx_time_t mmx_overdue_limit(const mmx_overdue_t *overdue, mmx_time_t objective)
{
	mmx_time_t measured =
		MAX(overdue->mean * LIMIT_MIN_PERCENT / 100,
		    overdue->mean + DEVIATIONS * overdue->deviation);
	mmx_time_t expected = objective * UNKNOWN_LIMIT_PERCENT / 100;
	mmx_time_t known = overdue->samples;

	if (known < MMX_OVERDUE_SAMPLES_MAX && objective == 0)
		return MMX_TIME_NEVER;
	return (measured * known + MAX(expected, overdue->mean) *
					   (MMX_OVERDUE_SAMPLES_MAX - known)) /
	       MMX_OVERDUE_SAMPLES_MAX;
}

mmx_time_t mmx_overdue_repeat_delay(const mmx_overdue_t *overdue,
				    mmx_time_t objective, mmx_time_t remaining)
{
	mmx_time_t limit = mmx_overdue_limit(overdue, objective);
	mmx_time_t second = overdue->mean * SECOND_MIN_PERCENT / 100;
	mmx_time_t latest = remaining - second;

	if (limit == MMX_TIME_NEVER)
		return limit;
	if (limit > latest)
		limit = latest;
	/* A typical first attempt would not have ended either. */
	if (limit <= overdue->mean || limit >= remaining)
		return MMX_TIME_NEVER;
	return limit;
}
