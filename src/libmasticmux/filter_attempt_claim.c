/*
 * Attempts with an Idempotency-Key: nothing is sent before the log has settled
 * that this attempt holds the key. When another attempt holds it, its exit is
 * asked what became of it.
 */
#include <event2/buffer.h>
#include <glib.h>

#include "private/filter_attempt.h"

/*
 * After the holder's deadline by this margin its caller has an answer, so an
 * attempt that has not started by then may be kept from starting. The margin
 * covers the difference between the clocks of two nodes.
 */
#define TAKEOVER_MARGIN_US (5 * MMX_US_PER_S)

static uint64_t wall_deadline_(const mmx_attempt_filter_t *self,
			       const mmx_exchange_t *exchange)
{
	return mmx_clock_wall(self->clock) +
	       (uint64_t)(exchange->deadline - mmx_clock_now(self->clock));
}

static void set_timer_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange)
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
	set_timer_(self, exchange);
}

/* The attempt of this exchange was never sent. */
static void refuse_unsent_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange,
			   mmx_reason_t reason)
{
	mmx_attempt_close(self, exchange);
	mmx_attempt_refuse(self, exchange, reason);
}

/* The holder of the key may have run or may still run. */
static void refuse_duplicate_(mmx_attempt_filter_t *self,
			      mmx_exchange_t *exchange, mmx_reason_t reason)
{
	exchange->may_have_run = true;
	refuse_unsent_(self, exchange, reason);
}

/* The holder never ran and never will: its claim is superseded. */
static void take_over_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange)
{
	exchange->claim_offset = exchange->claim_holder.offset;
	/* The target that was chosen has not been tried. */
	exchange->attempts--;
	mmx_attempt_retry_not_run(self, exchange, MMX_REASON_PATH_LOST);
}

static void query_rival_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange,
			 const mmx_claim_holder_t *rival)
{
	mmx_fence_t *fence;
	bool is_over = mmx_clock_wall(self->clock) >
		       rival->claim.deadline + TAKEOVER_MARGIN_US;

	exchange->claim_holder = *rival;
	if (is_over && !self->guards->takeover) {
		take_over_(self, exchange);
		return;
	}
	exchange->state = MMX_EXCHANGE_QUERYING;
	fence = mmx_new_fence(&rival->claim.attempt);
	fence->exit = rival->claim.exit;
	fence->exit_incarnation = rival->claim.exit_incarnation;
	fence->origin = mmx_entry_origin(self->entry);
	fence->purpose = is_over ? MMX_FENCE_TAKEOVER : MMX_FENCE_QUERY;
	mmx_counter_add(self->fences, 1);
	mmx_entry_post_exit(self->entry, fence->exit, &fence->message);
	set_timer_(self, exchange);
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
		query_rival_(self, exchange, &reply->holder);
		break;
	default:
		refuse_unsent_(self, exchange, MMX_REASON_CLAIM_UNAVAILABLE);
		break;
	}
}

static void on_rival_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange,
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
		/* The body of a local exit's reply can't be referenced again. */
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

static bool is_rival_(const mmx_exchange_t *exchange,
		      const mmx_attempt_id_t *attempt)
{
	const mmx_attempt_id_t *rival = &exchange->claim_holder.claim.attempt;

	return exchange->state == MMX_EXCHANGE_QUERYING &&
	       rival->entry == attempt->entry &&
	       rival->incarnation == attempt->incarnation &&
	       rival->sequence == attempt->sequence;
}

void mmx_filter_attempt_holder_reply(mmx_filter_t *filter,
				     const mmx_fence_reply_t *reply)
{
	mmx_attempt_filter_t *self = (mmx_attempt_filter_t *)filter;
	mmx_exchange_t *last =
		TAILQ_LAST(&self->in_flight, mmx_exchange_list_t);
	mmx_exchange_t *exchange = TAILQ_FIRST(&self->in_flight);
	mmx_exchange_t *next;

	/* The peer task answers only the latest of several queries about one
	 * attempt, and what the exit says of it holds for all. Attempts that
	 * are sent again meanwhile go behind the last one. */
	for (; exchange; exchange = next) {
		next = exchange == last ? NULL
					: TAILQ_NEXT(exchange, path_entry);
		if (is_rival_(exchange, &reply->attempt))
			on_rival_(self, exchange, reply);
	}
}

void mmx_attempt_claim_expired(mmx_attempt_filter_t *self,
			       mmx_exchange_t *exchange)
{
	if (exchange->state == MMX_EXCHANGE_QUERYING)
		refuse_duplicate_(self, exchange, MMX_REASON_PATH_LOST);
	else
		/* A refusal of an exit says more than the missing claim of the
		 * attempt after it. */
		refuse_unsent_(self, exchange,
			       exchange->last_reason
				       ? exchange->last_reason
				       : MMX_REASON_CLAIM_UNAVAILABLE);
}
