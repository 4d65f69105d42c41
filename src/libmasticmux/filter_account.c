/* Filter account: finds the client account of the request and sets deadline,
 * repeatability and priority. */
#include "private/entry.h"

#include <glib.h>

typedef struct account_filter_t {
	mmx_filter_t filter;
	const mmx_config_state_t *const *config_state;
} account_filter_t;

static mmx_time_t timeout_(const mmx_exchange_t *exchange)
{
	mmx_time_t timeout = exchange->policy.deadline;

	if (exchange->has_account && exchange->account_parameters.deadline > 0)
		timeout = exchange->account_parameters.deadline;
	if (exchange->caller_timeout > 0)
		timeout = exchange->caller_timeout;
	if (exchange->timeout > 0)
		timeout = MIN(timeout, exchange->timeout);
	return timeout;
}

static bool is_repeatable_(const mmx_exchange_t *exchange)
{
	uint32_t mask = exchange->policy.repeatable;

	if (exchange->idempotency_key[0])
		return false;
	if (exchange->has_account &&
	    exchange->account_parameters.has_repeatable)
		mask = exchange->account_parameters.repeatable;
	return (mask & MMX_METHOD_BIT(exchange->method)) != 0;
}

static mmx_filter_result_t process_(mmx_filter_t *filter,
				    mmx_exchange_t *exchange)
{
	const account_filter_t *self = (account_filter_t *)filter;
	mmx_time_t cap = mmx_entry_deadline_cap(exchange->owner);

	if (exchange->account[0]) {
		exchange->has_account = mmx_config_state_get_account(
			*self->config_state, exchange->account,
			&exchange->account_parameters);
		if (!exchange->has_account) {
			mmx_entry_refuse(exchange, MMX_OUTCOME_NOT_RUN,
					 MMX_REASON_UNKNOWN_ACCOUNT);
			return MMX_FILTER_DONE;
		}
		if (exchange->account_parameters.has_priority)
			exchange->priority =
				exchange->account_parameters.priority;
	}
	exchange->deadline = exchange->started + timeout_(exchange);
	if (exchange->deadline > cap) {
		if (mmx_entry_refuses_capped(exchange->owner)) {
			mmx_entry_refuse(exchange, MMX_OUTCOME_NOT_RUN,
					 MMX_REASON_SHUTTING_DOWN);
			return MMX_FILTER_DONE;
		}
		exchange->deadline = cap;
	}
	exchange->repeatable = is_repeatable_(exchange);
	return MMX_FILTER_NEXT;
}

static void destroy_(mmx_filter_t *filter)
{
	g_free(filter);
}

static const mmx_filter_ops_t ops_ = {
	.name = "account",
	.process = process_,
	.destroy = destroy_,
};

mmx_filter_t *
mmx_filter_account_create(const mmx_config_state_t *const *config_state)
{
	account_filter_t *self = g_new0(account_filter_t, 1);

	self->filter.ops = &ops_;
	self->config_state = config_state;
	return &self->filter;
}
