#include "private/backoff.h"

mmx_time_t mmx_backoff_report_failure(mmx_backoff_t *backoff, mmx_time_t now)
{
	mmx_time_t healthy_time = now - backoff->healthy_since;

	if (!backoff->delay) {
		backoff->delay = MMX_BACKOFF_MIN_US;
		backoff->healthy_since = now;
		return backoff->delay;
	}
	backoff->delay *= 2;
	while (healthy_time >= MMX_BACKOFF_HALVING_US &&
	       backoff->delay > MMX_BACKOFF_MIN_US) {
		backoff->delay /= 2;
		healthy_time -= MMX_BACKOFF_HALVING_US;
	}
	if (backoff->delay > MMX_BACKOFF_MAX_US)
		backoff->delay = MMX_BACKOFF_MAX_US;
	if (backoff->delay < MMX_BACKOFF_MIN_US)
		backoff->delay = MMX_BACKOFF_MIN_US;
	backoff->healthy_since = now;
	return backoff->delay;
}

void mmx_backoff_report_recovery(mmx_backoff_t *backoff, mmx_time_t now)
{
	backoff->healthy_since = now;
}

mmx_time_t mmx_backoff_with_jitter(mmx_time_t *delay, mmx_time_t min,
				   mmx_time_t max, mmx_random_t *random)
{
	mmx_time_t doubled = 2 * *delay > min ? 2 * *delay : min;

	*delay = doubled < max ? doubled : max;
	return *delay / 2 +
	       (mmx_time_t)mmx_random_below(random, (uint64_t)*delay / 2 + 1);
}
