#include "masticmux/retry_window.h"

#include <assert.h>
#include <string.h>

/* Parts that are kept: the current one, a whole window before it, and the next
 * one, which holds the charges of grants. */
#define PARTS (MMX_RETRY_WINDOW_PARTS + 2)
/* Least length of a part, in lifetimes of a grant. A grant is then used in the
 * part that it is charged to or in the one before; the time beyond its lifetime
 * is for the transfer to the other node. */
#define PART_TO_GRANT_MIN 2
/* Hundredths of one request. */
#define HUNDREDTHS 100
/* Parts that the rate of calls made by repeated runs is taken from. Such calls
 * begin and end with the failures of another service, within seconds. */
#define CALL_RATE_PARTS 5

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

/* Advances to the current time, clears the parts that have left the window and
 * returns the index of the current part. */
static size_t advance_(mmx_retry_window_t *budget, mmx_time_t now)
{
	mmx_time_t part = now / part_length_(budget);

	assert(part >= budget->part);
	if (part - budget->part >= PARTS)
		budget->part = part - PARTS;
	while (budget->part < part) {
		budget->part++;
		budget->requests[(budget->part + 1) % PARTS] = 0;
		budget->repeats[(budget->part + 1) % PARTS] = 0;
		budget->calls[(budget->part + 1) % PARTS] = 0;
	}
	return (size_t)(part % PARTS);
}

void mmx_retry_window_count_request(mmx_retry_window_t *budget,
				    uint32_t hundredths, mmx_time_t now)
{
	budget->requests[advance_(budget, now)] += hundredths;
}

void mmx_retry_window_charge(mmx_retry_window_t *budget, uint32_t hundredths,
			     mmx_time_t now)
{
	budget->repeats[advance_(budget, now)] += hundredths;
}

void mmx_retry_window_charge_call(mmx_retry_window_t *budget,
				  uint32_t hundredths, mmx_time_t now)
{
	budget->calls[advance_(budget, now)] += hundredths;
}

/* Charges of calls in the last window, or those to expect in the next one if
 * these are more, since a repeat counts in both. */
static uint64_t call_charges_(const mmx_retry_window_t *budget, mmx_time_t now)
{
	mmx_time_t length = part_length_(budget);
	uint64_t rate_time =
		(uint64_t)((CALL_RATE_PARTS - 1) * length + now % length);
	uint64_t charged = 0;
	uint64_t recent = 0;
	uint64_t expected;
	size_t i;

	for (i = 0; i < PARTS; i++) {
		size_t part = (size_t)((budget->part + PARTS - i) % PARTS);

		charged += budget->calls[part];
		if (i < CALL_RATE_PARTS)
			recent += budget->calls[part];
	}
	expected = recent * (uint64_t)budget->limit.window / rate_time;
	return expected > charged ? expected : charged;
}

/* Hundredths of a repeat that are allowed in the window. The requests of the
 * oldest part are left out, since it may lie outside the window. */
static uint64_t allowance_(const mmx_retry_window_t *budget)
{
	size_t oldest = (size_t)((budget->part + 2) % PARTS);
	uint64_t requests = 0;
	uint64_t allowed;
	size_t i;

	for (i = 0; i < PARTS; i++)
		if (i != oldest)
			requests += budget->requests[i];
	allowed = budget->limit.reserve +
		  requests * budget->limit.percent / HUNDREDTHS;
	return allowed < MMX_RETRY_WINDOW_REPEAT_HUNDREDTHS
		       ? MMX_RETRY_WINDOW_REPEAT_HUNDREDTHS
		       : allowed;
}

bool mmx_retry_window_allows(mmx_retry_window_t *budget, mmx_time_t now)
{
	uint64_t used = MMX_RETRY_WINDOW_REPEAT_HUNDREDTHS;
	size_t i;

	advance_(budget, now);
	for (i = 0; i < PARTS; i++)
		used += budget->repeats[i];
	used += call_charges_(budget, now);
	return budget->limit.percent && used <= allowance_(budget);
}

bool mmx_retry_window_grant(mmx_retry_window_t *budget, mmx_time_t now)
{
	if (part_length_(budget) < PART_TO_GRANT_MIN * MMX_RETRY_GRANT_TTL_US ||
	    !mmx_retry_window_allows(budget, now))
		return false;
	budget->repeats[(budget->part + 1) % PARTS] +=
		MMX_RETRY_WINDOW_REPEAT_HUNDREDTHS;
	return true;
}
