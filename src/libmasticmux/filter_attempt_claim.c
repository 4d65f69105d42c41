/*
 * Attempts with an Idempotency-Key: an attempt is not sent before the log has
 * recorded that it holds the key. When another attempt holds the key, the state
 * of that attempt is queried from its exit.
 */
#include <event2/buffer.h>
#include <glib.h>

#include "private/filter_attempt.h"

/*
 * This long after the holder's deadline, a holder that has not started may be
 * fenced: its caller has an answer by then. The margin covers the difference
 * between the clocks of two nodes.
 */
#define TAKEOVER_MARGIN_US (5 * MMX_US_PER_S)

static uint64_t wall_deadline_(const mmx_attempt_filter_t *self,
			       const mmx_exchange_t *exchange)
{
	return mmx_clock_wall(self->clock) +
	       (uint64_t)(exchange->deadline - mmx_clock_now(self->clock));
}

static void set_deadline_timer_(mmx_attempt_filter_t *self,
				mmx_exchange_t *exchange)
{
	mmx_timer_set(&exchange->timer,
		      exchange->deadline - mmx_clock_now(self->clock));
}

void mmx_attempt_claim(mmx_attempt_filter_t *self, mmx_exchange_t *exchange)
{
	const mmx_claim_t claim = {
		.digest = mmx_claim_digest(exchange->account, exchange->service,
					   exchange->idempotency_key),
		.attempt = exchange->attempt,
		.exit = exchange->exit,
		.exit_incarnation = exchange->exit_incarnation,
		.claimed_at = mmx_clock_wall(self->clock),
		.deadline = wall_deadline_(self, exchange),
		.supersedes = exchange->claim_offset,
	};

	exchange->state = MMX_EXCHANGE_CLAIMING;
	mmx_task_post(mmx_entry_claims(self->entry),
		      &mmx_new_claim_request(&claim)->message);
	set_deadline_timer_(self, exchange);
}

/* The attempt of this exchange was never sent. */
static void refuse_unsent_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange,
			   mmx_reason_t reason)
{
	mmx_attempt_close(self, exchange);
	mmx_attempt_refuse(self, exchange, reason);
}

/* The holder of the key may have run, or may still run. */
static void refuse_duplicate_(mmx_attempt_filter_t *self,
			      mmx_exchange_t *exchange, mmx_reason_t reason)
{
	exchange->may_have_run = true;
	refuse_unsent_(self, exchange, reason);
}

/* Supersedes the claim of a holder that has not run and never will. */
static void take_over_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange)
{
	exchange->claim_offset = exchange->claim_holder.offset;
	/* The attempt was not sent to the chosen target. */
	exchange->attempts--;
	mmx_attempt_retry_not_run(self, exchange, MMX_REASON_PATH_LOST);
}

static void query_holder_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange,
			  const mmx_claim_holder_t *holder)
{
	mmx_fence_t *fence;
	bool holder_expired = mmx_clock_wall(self->clock) >
			      holder->claim.deadline + TAKEOVER_MARGIN_US;

	exchange->claim_holder = *holder;
	if (holder_expired && !self->guards->takeover) {
		take_over_(self, exchange);
		return;
	}
	exchange->state = MMX_EXCHANGE_QUERYING;
	fence = mmx_new_fence(&holder->claim.attempt);
	fence->exit = holder->claim.exit;
	fence->exit_incarnation = holder->claim.exit_incarnation;
	fence->origin = mmx_entry_origin(self->entry);
	fence->purpose = holder_expired ? MMX_FENCE_TAKEOVER : MMX_FENCE_QUERY;
	mmx_counter_add(self->fences, 1);
	mmx_entry_post_exit(self->entry, fence->exit, &fence->message);
	set_deadline_timer_(self, exchange);
}

void mmx_filter_attempt_claim_reply(mmx_filter_t *filter,
				    mmx_exchange_t *exchange,
				    const mmx_claim_reply_t *reply)
{
	mmx_attempt_filter_t *self = (mmx_attempt_filter_t *)filter;

	if (exchange->state != MMX_EXCHANGE_CLAIMING)
		return;
	mmx_entry_trace_event(exchange, "claim",
			      mmx_claim_result_string[reply->result]);
	switch (reply->result) {
	case MMX_CLAIM_WON:
		exchange->claim_offset = reply->holder.offset;
		if (exchange->deadline <= mmx_clock_now(self->clock))
			refuse_unsent_(self, exchange,
				       MMX_REASON_DEADLINE_EXCEEDED);
		else
			mmx_attempt_transmit(self, exchange);
		break;
	case MMX_CLAIM_LOST:
		query_holder_(self, exchange, &reply->holder);
		break;
	default:
		refuse_unsent_(self, exchange, MMX_REASON_CLAIM_UNAVAILABLE);
		break;
	}
}

static void on_holder_reply_(mmx_attempt_filter_t *self,
			     mmx_exchange_t *exchange,
			     const mmx_fence_reply_t *reply)
{
	struct evbuffer *body;

	mmx_entry_trace_event(exchange, "key_holder",
			      mmx_fence_state_string[reply->state]);
	switch (reply->state) {
	case MMX_FENCE_FENCED:
		take_over_(self, exchange);
		break;
	case MMX_FENCE_RUNNING:
		refuse_duplicate_(self, exchange,
				  MMX_REASON_DUPLICATE_IN_PROGRESS);
		break;
	case MMX_FENCE_FINISHED:
		if (!reply->head) {
			refuse_duplicate_(self, exchange,
					  MMX_REASON_DUPLICATE_COMPLETED);
			break;
		}
		body = evbuffer_new();
		/* Copied, since the body in the reply of a local exit is a
		 * reference, which can't be referenced again. */
		evbuffer_add(body, evbuffer_pullup(reply->body, -1),
			     evbuffer_get_length(reply->body));
		mmx_attempt_close(self, exchange);
		mmx_entry_answer_duplicate(exchange, mmx_head_copy(reply->head),
					   body);
		evbuffer_free(body);
		mmx_entry_end_exchange(exchange);
		break;
	default:
		refuse_duplicate_(self, exchange, MMX_REASON_PATH_LOST);
		break;
	}
}

static bool is_holder_(const mmx_exchange_t *exchange,
		       const mmx_attempt_id_t *attempt)
{
	return exchange->state == MMX_EXCHANGE_QUERYING &&
	       mmx_attempt_id_is_equal(&exchange->claim_holder.claim.attempt,
				       attempt);
}

void mmx_filter_attempt_holder_reply(mmx_filter_t *filter,
				     const mmx_fence_reply_t *reply)
{
	mmx_attempt_filter_t *self = (mmx_attempt_filter_t *)filter;
	mmx_exchange_t *last =
		TAILQ_LAST(&self->in_flight, mmx_exchange_list_t);
	mmx_exchange_t *exchange = TAILQ_FIRST(&self->in_flight);
	mmx_exchange_t *next;

	/* The peer task passes a reply only for the latest of several queries
	 * about one attempt, and it is valid for all exchanges that wait.
	 * Attempts that the loop sends are appended after the last one. */
	for (; exchange; exchange = next) {
		next = exchange == last ? NULL
					: TAILQ_NEXT(exchange, path_entry);
		if (is_holder_(exchange, &reply->attempt))
			on_holder_reply_(self, exchange, reply);
	}
}

void mmx_attempt_claim_expired(mmx_attempt_filter_t *self,
			       mmx_exchange_t *exchange)
{
	if (exchange->state == MMX_EXCHANGE_QUERYING)
		refuse_duplicate_(self, exchange, MMX_REASON_PATH_LOST);
	else
		/* The refusal of an earlier attempt is more specific than the
		 * missing claim of this one. */
		refuse_unsent_(self, exchange,
			       exchange->last_reason
				       ? exchange->last_reason
				       : MMX_REASON_CLAIM_UNAVAILABLE);
}
