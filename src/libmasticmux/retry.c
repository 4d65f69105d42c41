#include "masticmux/retry.h"

#include <assert.h>

#define HUNDREDTHS_PER_TOKEN 100U

void mmx_retry_init(mmx_retry_t *retry, uint8_t percent, mmx_time_t now)
{
	retry->refilled = now;
	retry->hundredths = MMX_RETRY_RESERVE * HUNDREDTHS_PER_TOKEN;
	mmx_retry_set_percent(retry, percent);
}

void mmx_retry_set_percent(mmx_retry_t *retry, uint8_t percent)
{
	assert(percent <= 100);
	retry->percent = percent;
}

void mmx_retry_success(mmx_retry_t *retry)
{
	retry->hundredths += retry->percent;
	if (retry->hundredths > MMX_RETRY_MAX * HUNDREDTHS_PER_TOKEN)
		retry->hundredths = MMX_RETRY_MAX * HUNDREDTHS_PER_TOKEN;
}

static void refill_(mmx_retry_t *retry, mmx_time_t now)
{
	mmx_time_t tokens = (now - retry->refilled) / MMX_RETRY_REFILL_US;

	assert(tokens >= 0);
	retry->refilled += tokens * MMX_RETRY_REFILL_US;
	if (tokens > MMX_RETRY_RESERVE)
		tokens = MMX_RETRY_RESERVE;
	while (tokens-- > 0 &&
	       retry->hundredths < MMX_RETRY_RESERVE * HUNDREDTHS_PER_TOKEN)
		retry->hundredths += HUNDREDTHS_PER_TOKEN;
}

bool mmx_retry_take(mmx_retry_t *retry, mmx_time_t now)
{
	refill_(retry, now);
	if (!retry->percent || retry->hundredths < HUNDREDTHS_PER_TOKEN)
		return false;
	retry->hundredths -= HUNDREDTHS_PER_TOKEN;
	return true;
}

uint32_t mmx_retry_tokens(const mmx_retry_t *retry)
{
	return retry->hundredths / HUNDREDTHS_PER_TOKEN;
}
