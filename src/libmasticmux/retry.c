#include "masticmux/retry.h"

#include <assert.h>

#define TOKEN 100

void mmx_retry_init(mmx_retry_t *retry, uint8_t percent, mmx_time_t now)
{
	retry->refilled = now;
	retry->shared_max = 0;
	retry->hundredths = MMX_RETRY_RESERVE * TOKEN;
	mmx_retry_set_percent(retry, percent);
}

void mmx_retry_set_percent(mmx_retry_t *retry, uint8_t percent)
{
	assert(percent <= 100);
	retry->percent = percent;
}

void mmx_retry_set_shared(mmx_retry_t *retry, uint32_t reserve)
{
	retry->shared_max = reserve > TOKEN ? (int32_t)reserve : TOKEN;
	if (retry->hundredths > retry->shared_max)
		retry->hundredths = retry->shared_max;
}

void mmx_retry_request(mmx_retry_t *retry)
{
	if (!retry->shared_max)
		return;
	retry->hundredths += retry->percent;
	if (retry->hundredths > retry->shared_max)
		retry->hundredths = retry->shared_max;
}

void mmx_retry_success(mmx_retry_t *retry)
{
	if (retry->shared_max)
		return;
	retry->hundredths += retry->percent;
	if (retry->hundredths > MMX_RETRY_MAX * TOKEN)
		retry->hundredths = MMX_RETRY_MAX * TOKEN;
}

static void refill_(mmx_retry_t *retry, mmx_time_t now)
{
	mmx_time_t tokens = (now - retry->refilled) / MMX_RETRY_REFILL_US;

	assert(tokens >= 0);
	retry->refilled += tokens * MMX_RETRY_REFILL_US;
	if (tokens > MMX_RETRY_RESERVE)
		tokens = MMX_RETRY_RESERVE;
	while (tokens-- > 0 && retry->hundredths < MMX_RETRY_RESERVE * TOKEN)
		retry->hundredths += TOKEN;
}

bool mmx_retry_take(mmx_retry_t *retry, mmx_time_t now)
{
	if (!retry->shared_max)
		refill_(retry, now);
	if (!retry->percent || retry->hundredths < TOKEN)
		return false;
	retry->hundredths -= TOKEN;
	return true;
}

void mmx_retry_charge(mmx_retry_t *retry, uint32_t hundredths)
{
	int32_t lowest = -(retry->shared_max ? retry->shared_max
					     : MMX_RETRY_MAX * TOKEN);

	retry->hundredths -= (int32_t)hundredths;
	if (retry->hundredths < lowest)
		retry->hundredths = lowest;
}

uint32_t mmx_retry_tokens(const mmx_retry_t *retry)
{
	return retry->hundredths > 0 ? (uint32_t)(retry->hundredths / TOKEN)
				     : 0;
}
