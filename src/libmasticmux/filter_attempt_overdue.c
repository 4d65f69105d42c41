/*
 * Second attempts of repeatable requests whose first attempt is overdue (hedged
 * requests).
 *
 * Some targets accept requests and never answer them. The first attempt stays
 * in flight beside the second one, because its target may only be slow; the
 * first usable response cancels the other attempt.
 */
#include <glib.h>

#include "private/filter_attempt.h"

/* Most routes in the table. A configuration that renames its routes repeatedly
 * must not make the table grow without limit. */
#define ROUTES_MAX 4096

static mmx_overdue_t *route_distribution_(mmx_attempt_filter_t *self,
					  const mmx_exchange_t *exchange)
{
	mmx_overdue_t *overdue =
		g_hash_table_lookup(self->overdue_by_route, exchange->route);

	if (overdue)
		return overdue;
	if (g_hash_table_size(self->overdue_by_route) >= ROUTES_MAX)
		g_hash_table_remove_all(self->overdue_by_route);
	overdue = g_new0(mmx_overdue_t, 1);
	g_hash_table_insert(self->overdue_by_route, g_strdup(exchange->route),
			    overdue);
	return overdue;
}

void mmx_attempt_record_latency(mmx_attempt_filter_t *self,
				const mmx_exchange_t *exchange)
{
	if (exchange->objective > 0)
		mmx_overdue_add(route_distribution_(self, exchange),
				mmx_clock_now(self->clock) - exchange->sent_at);
}

void mmx_attempt_start_overdue_timer(mmx_attempt_filter_t *self,
				     mmx_exchange_t *exchange)
{
	mmx_time_t now = mmx_clock_now(self->clock);
	mmx_time_t delay;

	exchange->sent_at = now;
	/* A second run of a request with large bodies takes much of a link, and
	 * at a full service overdue requests are those that wait for one. */
	if (!exchange->repeatable || exchange->objective == 0 ||
	    exchange->large_bodies)
		return;
	delay = mmx_overdue_repeat_delay(route_distribution_(self, exchange),
					 exchange->objective,
					 exchange->deadline - now);
	if (delay != MMX_TIME_NEVER)
		mmx_timer_set(&exchange->overdue_timer, delay);
}

void mmx_attempt_drop_earlier(mmx_attempt_filter_t *self,
			      mmx_exchange_t *exchange, bool cancel)
{
	mmx_earlier_attempt_t *earlier = &exchange->earlier;

	if (!earlier->id.sequence)
		return;
	if (cancel) {
		mmx_attempt_send_cancel(self, &earlier->id, earlier->exit);
		exchange->may_have_run = true;
	}
	mmx_view_finish_attempt(self->view, earlier->target, earlier->exit);
	mmx_entry_discard_earlier(exchange);
}

bool mmx_attempt_resume_earlier(mmx_attempt_filter_t *self,
				mmx_exchange_t *exchange)
{
	const mmx_earlier_attempt_t *earlier = &exchange->earlier;

	if (!earlier->id.sequence)
		return false;
	exchange->target = earlier->target;
	exchange->exit = earlier->exit;
	exchange->exit_incarnation = earlier->exit_incarnation;
	exchange->remote = earlier->remote;
	exchange->sent_at = earlier->sent_at;
	exchange->expected_cost = 0; /* that of the later attempt */
	exchange->path_lost = false;
	exchange->offers--;
	mmx_entry_promote_earlier(exchange);
	TAILQ_INSERT_TAIL(&self->in_flight, exchange, path_entry);
	exchange->state = MMX_EXCHANGE_RUNNING;
	mmx_attempt_set_deadline(self, exchange);
	mmx_entry_trace_event(exchange, "resumed", "earlier-kept");
	return true;
}

/* Makes the latest attempt the earlier one, which stays in flight beside the
 * next one. */
static void demote_attempt_(mmx_attempt_filter_t *self,
			    mmx_exchange_t *exchange)
{
	mmx_attempt_drop_earlier(self, exchange, true);
	mmx_entry_demote_attempt(exchange);
	exchange->earlier.exit = exchange->exit;
	exchange->earlier.exit_incarnation = exchange->exit_incarnation;
	exchange->earlier.target = exchange->target;
	exchange->earlier.remote = exchange->remote;
	exchange->earlier.sent_at = exchange->sent_at;
	TAILQ_REMOVE(&self->in_flight, exchange, path_entry);
	mmx_entry_trace_attempt_end(exchange);
	if (exchange->trial)
		mmx_view_finish_trial(self->view, exchange->target,
				      MMX_VIEW_TRIAL_BAD);
	exchange->trial = false;
	exchange->state = MMX_EXCHANGE_WAITING;
	mmx_timer_cancel(&exchange->timer);
}

static bool may_repeat_(const mmx_attempt_filter_t *self,
			const mmx_exchange_t *exchange)
{
	return (exchange->state == MMX_EXCHANGE_SENT ||
		exchange->state == MMX_EXCHANGE_RUNNING) &&
	       !exchange->answer_head && exchange->body_end &&
	       exchange->offers + 1 < exchange->offers_max &&
	       mmx_attempt_can_send_again(self, exchange) &&
	       mmx_view_take_retry(self->view, exchange->service);
}

static void on_overdue_(void *arg)
{
	mmx_exchange_t *exchange = arg;
	mmx_attempt_filter_t *self = (mmx_attempt_filter_t *)exchange->filter;

	if (!may_repeat_(self, exchange))
		return;
	mmx_entry_trace_event(exchange, "overdue", "overdue");
	demote_attempt_(self, exchange);
	exchange->offers++;
	exchange->repeated_at = mmx_clock_now(self->clock);
	mmx_counter_add(self->overdue_repeats, 1);
	mmx_attempt_try_next(self, exchange);
}

void mmx_attempt_init_overdue_timer(mmx_attempt_filter_t *self,
				    mmx_exchange_t *exchange)
{
	mmx_timer_init(&exchange->overdue_timer, self->clock, on_overdue_,
		       exchange);
}

/* Ends an earlier attempt that has failed or was refused. */
static void drop_failed_earlier_(mmx_attempt_filter_t *self,
				 mmx_exchange_t *exchange,
				 const mmx_response_t *response, bool failed)
{
	bool ran = !failed || response->started;

	if (ran) {
		exchange->may_have_run = true;
		mmx_view_completed(self->view, exchange->earlier.target, 0,
				   true);
	} else if (!response->offered) {
		/* Refused in the queue, before its target received it. */
		exchange->offers--;
	}
	mmx_attempt_drop_earlier(self, exchange,
				 !failed && !response->body_end);
}

bool mmx_attempt_earlier_response(mmx_attempt_filter_t *self,
				  mmx_exchange_t *exchange,
				  const mmx_response_t *response)
{
	bool failed = response->reason != MMX_REASON_NONE || !response->head;
	bool usable = !failed && response->head->status < 500;

	mmx_view_path_progress(self->view, exchange->earlier.exit);
	if (!usable) {
		drop_failed_earlier_(self, exchange, response, failed);
		return false;
	}
	mmx_attempt_send_cancel(self, &exchange->attempt, exchange->exit);
	mmx_attempt_close(self, exchange);
	mmx_attempt_resume_earlier(self, exchange);
	exchange->earlier_answered = true;
	mmx_counter_add(self->overdue_kept, 1);
	return true;
}
