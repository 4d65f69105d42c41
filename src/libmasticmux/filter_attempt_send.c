/* EXECUTE and CANCEL messages of the attempt filter to exits. */
#include <event2/buffer.h>
#include <glib.h>

#include "private/filter_attempt.h"

/*
 * The deadline at the exit is this much earlier than that of the entry, so that
 * a refusal, which says that the attempt did not run, arrives in time.
 */
#define DEADLINE_MARGIN_MAX_US (20 * MMX_US_PER_MS)
/* Longest wait of an attempt in the queue of one exit, as a percentage of the
 * latency objective, but not less than the round-trip time to another region.
 */
#define QUEUE_WAIT_PERCENT 25
#define QUEUE_WAIT_MIN_US (100 * MMX_US_PER_MS)
/* The same for the last attempt in this region. When all regions are full, the
 * queues of the others are no shorter, and the way back takes time as well.
 * With a longer wait most answers of an overloaded service would be late. */
#define LAST_SAME_REGION_QUEUE_WAIT_PERCENT 38
/* The same for routes with large bodies, which have no other region to go to. */
#define LARGE_BODIES_QUEUE_WAIT_PERCENT 100
/* Number of last attempts that may wait in the queue until the deadline. */
#define UNLIMITED_WAIT_ATTEMPTS 2

mmx_time_t mmx_attempt_margin(mmx_time_t remaining, mmx_time_t max)
{
	return MIN(remaining / 10, max);
}

/*
 * The last attempts may wait for all the remaining time. The others are refused
 * when the wait would take much of the latency objective, since another target
 * may have a free slot.
 */
static mmx_time_t queue_wait_limit_(const mmx_exchange_t *exchange,
				    mmx_time_t remaining)
{
	int percent = exchange->attempts == MMX_SAME_REGION_ATTEMPTS
			      ? LAST_SAME_REGION_QUEUE_WAIT_PERCENT
			      : QUEUE_WAIT_PERCENT;
	mmx_time_t limit;

	if (exchange->large_bodies)
		percent = LARGE_BODIES_QUEUE_WAIT_PERCENT;
	limit = exchange->objective * percent / 100;

	if (exchange->objective == 0 ||
	    exchange->attempts + UNLIMITED_WAIT_ATTEMPTS >
		    exchange->attempts_max)
		return remaining;
	return MIN(remaining, MAX(limit, QUEUE_WAIT_MIN_US));
}

uint32_t mmx_attempt_route_number(const mmx_exchange_t *exchange)
{
	return exchange->route[0] ? g_str_hash(exchange->route) : 0;
}

mmx_execute_t *mmx_attempt_new_execute(mmx_attempt_filter_t *self,
				       const mmx_exchange_t *exchange)
{
	mmx_execute_t *execute = mmx_new_execute();
	mmx_time_t remaining = exchange->deadline - mmx_clock_now(self->clock);

	execute->attempt = exchange->attempt;
	execute->exit = exchange->exit;
	execute->exit_incarnation = exchange->exit_incarnation;
	execute->target = exchange->target;
	g_strlcpy(execute->service, exchange->service,
		  sizeof(execute->service));
	g_strlcpy(execute->account, exchange->account,
		  sizeof(execute->account));
	execute->repeatable = exchange->repeatable;
	execute->remaining =
		remaining -
		mmx_attempt_margin(remaining, DEADLINE_MARGIN_MAX_US);
	execute->keyed = exchange->idempotency_key[0] != '\0';
	execute->priority = exchange->priority;
	execute->account_use = exchange->account_use;
	execute->repeat = exchange->offers > 0;
	execute->granted =
		execute->repeat &&
		mmx_clock_now(self->clock) < exchange->retry_grant_until;
	execute->caller_repeat_percent = exchange->caller_repeat_percent;
	execute->objective = exchange->objective;
	execute->route = mmx_attempt_route_number(exchange);
	execute->max_wait = queue_wait_limit_(exchange, execute->remaining);
	execute->trial = exchange->trial;
	execute->peers = mmx_view_summary(self->view, exchange->target);
	mmx_entry_trace_context(exchange, &execute->trace);
	execute->head = mmx_head_copy(exchange->head);
	evbuffer_add_buffer_reference(execute->body, exchange->body);
	execute->body_end = exchange->body_end;
	execute->origin = mmx_entry_origin(self->entry);
	return execute;
}

void mmx_attempt_send_cancel(mmx_attempt_filter_t *self,
			     const mmx_attempt_id_t *id, mmx_node_id_t exit)
{
	mmx_cancel_t *cancel = mmx_new_cancel(id);

	cancel->exit = exit;
	mmx_entry_post_exit(self->entry, exit, &cancel->message);
}
