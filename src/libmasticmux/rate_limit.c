#include "private/rate_limit.h"

#include <assert.h>
#include <glib.h>

/* Requests a second that pass whatever the limit, since only the answers to
 * requests tell that it has ended. */
#define RATE_MIN 0.25
/* Unused tokens are kept for this time. */
#define BURST_US MMX_US_PER_S

static double rate_(const mmx_rate_limit_t *limit)
{
	return MAX(limit->rate, RATE_MIN);
}

static double tokens_(const mmx_rate_limit_t *limit, mmx_time_t now)
{
	double burst = MAX(rate_(limit) * BURST_US / MMX_US_PER_S, 1);
	double earned =
		rate_(limit) * (double)(now - limit->updated) / MMX_US_PER_S;

	return MIN(limit->tokens + earned, burst);
}

void mmx_rate_limit_set(mmx_rate_limit_t *limit, double rate, mmx_time_t now)
{
	assert(rate >= 0);
	limit->tokens = limit->active ? tokens_(limit, now) : 0;
	limit->updated = now;
	limit->rate = rate;
	limit->active = true;
}

void mmx_rate_limit_clear(mmx_rate_limit_t *limit)
{
	limit->active = false;
}

mmx_time_t mmx_rate_limit_wait(const mmx_rate_limit_t *limit,
			       unsigned int ahead, mmx_time_t now)
{
	double missing;

	if (!limit->active)
		return 0;
	missing = 1.0 + ahead - tokens_(limit, now);
	/* Rounded up, so that a token is there after the wait. */
	return missing <= 0
		       ? 0
		       : (mmx_time_t)(missing * MMX_US_PER_S / rate_(limit)) +
				 1;
}

void mmx_rate_limit_take(mmx_rate_limit_t *limit, mmx_time_t now)
{
	if (!limit->active)
		return;
	limit->tokens = tokens_(limit, now) - 1;
	limit->updated = now;
}
