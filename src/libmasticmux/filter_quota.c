#include "private/filter_quota.h"

#include <assert.h>

#include "private/entry.h"

/* What becomes of a request of an account with a rate. */
typedef enum decision_t {
	DECISION_GRANTED,
	DECISION_REFUSED,
	DECISION_DEADLINE, /* it was reached before the decision */
	DECISION_ABANDONED,
	DECISION_COUNT
} decision_t;

static const char *const decision_string_[DECISION_COUNT] = {
	"granted",
	"refused",
	"deadline",
	"abandoned",
};

typedef struct quota_filter_t {
	mmx_filter_t filter;
	mmx_entry_t *entry;
	mmx_clock_t *clock;
	const mmx_entry_quota_ops_t *ops;
	void *context;
	mmx_counter_t *decisions[DECISION_COUNT]; /* NULL without counters */
	mmx_counter_t *returned;
	mmx_histogram_t *wait;
	TAILQ_HEAD(, mmx_exchange_t) held; /* linked by path_entry */
} quota_filter_t;

static void record_(quota_filter_t *self, mmx_exchange_t *exchange,
		    decision_t decision)
{
	mmx_time_t waited =
		mmx_clock_now(self->clock) - exchange->token_wanted_at;
	mmx_history_t *history = mmx_entry_history(self->entry);
	char text[MMX_QUOTA_TEXT_SIZE] = "";

	mmx_counter_add(self->decisions[decision], 1);
	mmx_histogram_add(self->wait, waited);
	if (!history)
		return;
	mmx_history_request(history, exchange->trace.trace_id,
			    "token of account %s: %s after %d us",
			    exchange->account, decision_string_[decision],
			    (int)waited);
	if (decision == DECISION_GRANTED)
		return;
	self->ops->describe(self->context, exchange->account, text);
	mmx_history_request(history, exchange->trace.trace_id, "%s", text);
}

static mmx_filter_result_t finish_(quota_filter_t *self,
				   mmx_exchange_t *exchange,
				   mmx_quota_result_t result,
				   mmx_time_t retry_after)
{
	if (result == MMX_QUOTA_REFUSED) {
		record_(self, exchange, DECISION_REFUSED);
		exchange->retry_after = retry_after;
		self->ops->on_refused(self->context, exchange);
		mmx_entry_refuse(exchange, MMX_OUTCOME_NOT_RUN,
				 MMX_REASON_ACCOUNT_RATE);
		return MMX_FILTER_DONE;
	}
	record_(self, exchange, DECISION_GRANTED);
	exchange->has_token = true;
	exchange->token_taken_at = mmx_clock_now(self->clock);
	/* While the burst is used, the use exceeds the limit. */
	exchange->account_use = (uint16_t)MIN(
		self->ops->get_use(self->context, exchange->account),
		MMX_QUOTA_USE_FULL);
	return MMX_FILTER_NEXT;
}

static void release_(quota_filter_t *self, mmx_exchange_t *exchange)
{
	TAILQ_REMOVE(&self->held, exchange, path_entry);
	mmx_timer_cancel(&exchange->timer);
}

static void on_deadline_(void *arg)
{
	mmx_exchange_t *exchange = arg;
	quota_filter_t *self = (quota_filter_t *)exchange->filter;

	release_(self, exchange);
	self->ops->cancel(self->context, exchange);
	record_(self, exchange, DECISION_DEADLINE);
	mmx_entry_refuse(exchange, MMX_OUTCOME_NOT_RUN,
			 MMX_REASON_DEADLINE_EXCEEDED);
}

void mmx_filter_quota_deadline_changed(mmx_exchange_t *exchange)
{
	const quota_filter_t *self = (quota_filter_t *)exchange->filter;
	mmx_time_t remaining = exchange->deadline - mmx_clock_now(self->clock);

	mmx_timer_set(&exchange->timer, MAX(remaining, 0));
}

static mmx_filter_result_t process_(mmx_filter_t *filter,
				    mmx_exchange_t *exchange)
{
	quota_filter_t *self = (quota_filter_t *)filter;
	mmx_time_t retry_after = 0;
	mmx_quota_result_t result;

	if (!exchange->has_account || exchange->account_parameters.rate <= 0)
		return MMX_FILTER_NEXT;
	exchange->token_wanted_at = mmx_clock_now(self->clock);
	result = self->ops->take(self->context, exchange, &retry_after);
	if (result != MMX_QUOTA_PENDING)
		return finish_(self, exchange, result, retry_after);
	TAILQ_INSERT_TAIL(&self->held, exchange, path_entry);
	mmx_timer_init(&exchange->timer, self->clock, on_deadline_, exchange);
	mmx_filter_quota_deadline_changed(exchange);
	return MMX_FILTER_WAIT;
}

void mmx_filter_quota_decided(mmx_exchange_t *exchange,
			      mmx_quota_result_t result, mmx_time_t retry_after)
{
	quota_filter_t *self = (quota_filter_t *)exchange->filter;

	assert(result != MMX_QUOTA_PENDING);
	release_(self, exchange);
	if (finish_(self, exchange, result, retry_after) == MMX_FILTER_NEXT)
		mmx_pipeline_resume(exchange);
}

static void abandon_(mmx_filter_t *filter, mmx_exchange_t *exchange)
{
	quota_filter_t *self = (quota_filter_t *)filter;

	release_(self, exchange);
	self->ops->cancel(self->context, exchange);
	record_(self, exchange, DECISION_ABANDONED);
}

void mmx_filter_quota_give_back(mmx_filter_t *filter, mmx_exchange_t *exchange)
{
	quota_filter_t *self = (quota_filter_t *)filter;

	if (!exchange->has_token)
		return;
	exchange->has_token = false;
	mmx_counter_add(self->returned, 1);
	self->ops->give_back(self->context, exchange);
}

static void destroy_(mmx_filter_t *filter)
{
	g_free(filter);
}

static const mmx_filter_ops_t ops_ = {
	.name = "quota",
	.process = process_,
	.abandon = abandon_,
	.destroy = destroy_,
};

static void register_metrics_(quota_filter_t *self, mmx_counters_t *counters)
{
	char labels[32];
	int i;

	for (i = 0; i < DECISION_COUNT; i++) {
		g_snprintf(labels, sizeof(labels), "result=\"%s\"",
			   decision_string_[i]);
		self->decisions[i] = mmx_counters_get(
			counters, MMX_COUNTER,
			"masticmux_account_decisions_total", labels,
			"Requests of accounts with a rate, by decision.");
	}
	self->returned = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_account_returned_total", "",
		"Tokens of requests that did not run after all.");
	self->wait = mmx_counters_histogram(
		counters, "masticmux_account_wait_seconds", "",
		"Time that requests wait for a decision on their token.");
}

mmx_filter_t *mmx_filter_quota_create(mmx_entry_t *entry,
				      const mmx_entry_quota_ops_t *ops,
				      void *context)
{
	quota_filter_t *self = g_new0(quota_filter_t, 1);

	self->filter.ops = &ops_;
	self->entry = entry;
	self->clock = mmx_runtime_clock(mmx_entry_runtime(entry));
	self->ops = ops;
	self->context = context;
	TAILQ_INIT(&self->held);
	if (mmx_entry_counters(entry))
		register_metrics_(self, mmx_entry_counters(entry));
	return &self->filter;
}
