#include "masticmux/retry_window.h"

#include <assert.h>
#include <string.h>

/* The current part, those of a whole window before it, and the next one, which
 * holds grants. */
#define PARTS (MMX_RETRY_WINDOW_PARTS + 2)
/* A grant is used within the part that it is charged to or the one before if
 * parts are this many times longer than its lifetime: the rest is for the way
 * to the other node. */
#define GRANT_PART_RATIO 2

void mmx_retry_window_init(mmx_retry_window_t *budget,
			   const mmx_retry_limit_t *limit)
{
	assert(limit->percent <= 100 &&
	       limit->window >= MMX_RETRY_WINDOW_PARTS);
	*budget = (mmx_retry_window_t){.limit = *limit};
}

void mmx_retry_window_set(mmx_retry_window_t *budget,
			  const mmx_retry_limit_t *limit)
{
	if (limit->window != budget->limit.window)
		mmx_retry_window_init(budget, limit);
	budget->limit = *limit;
}

static mmx_time_t part_length_(const mmx_retry_window_t *budget)
{
	return budget->limit.window / MMX_RETRY_WINDOW_PARTS;
}

/* Forgets the parts that are older than the window. */
static size_t part_(mmx_retry_window_t *budget, mmx_time_t now)
{
	mmx_time_t part = now / part_length_(budget);

	assert(part >= budget->part);
	if (part - budget->part >= PARTS)
		budget->part = part - PARTS;
	while (budget->part < part) {
		budget->part++;
		budget->requests[(budget->part + 1) % PARTS] = 0;
		budget->repeats[(budget->part + 1) % PARTS] = 0;
	}
	return (size_t)(part % PARTS);
}

void mmx_retry_window_count_request(mmx_retry_window_t *budget, mmx_time_t now)
{
	budget->requests[part_(budget, now)]++;
}

void mmx_retry_window_charge(mmx_retry_window_t *budget, uint32_t hundredths,
			     mmx_time_t now)
{
	budget->repeats[part_(budget, now)] += hundredths;
}

/* The oldest part may lie outside the window: its requests are left out. */
static uint64_t allowed_(const mmx_retry_window_t *budget)
{
	size_t oldest = (size_t)((budget->part + 2) % PARTS);
	uint64_t allowed = budget->limit.reserve;
	size_t i;

	for (i = 0; i < PARTS; i++)
		if (i != oldest)
			allowed += (uint64_t)budget->requests[i] *
				   budget->limit.percent;
	return allowed < MMX_RETRY_WINDOW_REPEAT_HUNDREDTHS
		       ? MMX_RETRY_WINDOW_REPEAT_HUNDREDTHS
		       : allowed;
}

bool mmx_retry_window_allows(mmx_retry_window_t *budget, mmx_time_t now)
{
	uint64_t used = MMX_RETRY_WINDOW_REPEAT_HUNDREDTHS;
	size_t i;

	part_(budget, now);
	for (i = 0; i < PARTS; i++)
		used += budget->repeats[i];
	return budget->limit.percent && used <= allowed_(budget);
}

bool mmx_retry_window_grant(mmx_retry_window_t *budget, mmx_time_t now)
{
	if (part_length_(budget) < GRANT_PART_RATIO * MMX_RETRY_GRANT_TTL_US ||
	    !mmx_retry_window_allows(budget, now))
		return false;
	budget->repeats[(budget->part + 1) % PARTS] +=
		MMX_RETRY_WINDOW_REPEAT_HUNDREDTHS;
	return true;
}
