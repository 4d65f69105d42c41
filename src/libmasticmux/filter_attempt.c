/*
 * Filter attempt, the last one: sends attempts until one gives an answer or no
 * further attempt is possible.
 *
 * An attempt that may have run is followed by another one only if the request
 * is repeatable. If an attempt of any other request gets no reply, it is fenced
 * first: the exit confirms that the attempt has not started and never will, or
 * reports its state.
 */
#include "private/filter_attempt.h"

#include <assert.h>
#include <event2/buffer.h>
#include <glib.h>

#include "masticmux/retry_window.h"

/* A fencing query without a reply is repeated after this time. */
#define FENCE_RETRY_US (500 * MMX_US_PER_MS)
/* Longest time before the deadline at which an attempt without a reply is
 * fenced. */
#define FENCE_LEAD_MAX_US (100 * MMX_US_PER_MS)

void mmx_attempt_set_deadline(mmx_attempt_filter_t *self,
			      mmx_exchange_t *exchange)
{
	mmx_time_t now = mmx_clock_now(self->clock);
	mmx_time_t remaining = exchange->deadline - now;
	mmx_time_t lead = 0;

	if (!exchange->repeatable && exchange->state == MMX_EXCHANGE_SENT)
		lead = mmx_attempt_margin(2 * remaining, FENCE_LEAD_MAX_US);
	mmx_timer_set(&exchange->timer, remaining - lead);
}

/* Counts bytes to and from other regions, since that traffic is paid for by
 * volume. */
static void count_remote_(const mmx_exchange_t *exchange,
			  mmx_counter_t *counter, const mmx_head_t *head,
			  const struct evbuffer *body)
{
	if (exchange->remote)
		mmx_counter_add(counter, (int64_t)((head ? head->bytes : 0) +
						   evbuffer_get_length(body)));
}

void mmx_filter_attempt_deadline_changed(mmx_filter_t *filter,
					 mmx_exchange_t *exchange)
{
	/* A claim has a time limit of its own, and a fencing query that is
	 * repeated before the deadline sets the timer itself. */
	if (exchange->state == MMX_EXCHANGE_WAITING ||
	    mmx_exchange_is_claiming(exchange) ||
	    (exchange->state == MMX_EXCHANGE_FENCING &&
	     exchange->timer.due <= exchange->deadline))
		return;
	mmx_attempt_set_deadline((mmx_attempt_filter_t *)filter, exchange);
}

void mmx_attempt_transmit(mmx_attempt_filter_t *self, mmx_exchange_t *exchange)
{
	mmx_execute_t *execute;

	exchange->state = MMX_EXCHANGE_SENT;
	execute = mmx_attempt_new_execute(self, exchange);
	/* A long body is sent once and not kept for another attempt. */
	if (evbuffer_get_length(exchange->body) > MMX_HELD_BODY_MAX) {
		exchange->body_buffered = false;
		evbuffer_drain(exchange->body,
			       evbuffer_get_length(exchange->body));
	}
	mmx_counter_add(self->sent, 1);
	count_remote_(exchange, self->remote_sent, execute->head,
		      execute->body);
	mmx_entry_post_exit(self->entry, exchange->exit, &execute->message);
	mmx_attempt_set_deadline(self, exchange);
	mmx_attempt_start_overdue_timer(self, exchange);
}

static void start_attempt_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange,
			   const mmx_view_choice_t *choice)
{
	exchange->target = choice->target;
	exchange->exit = choice->node;
	exchange->exit_incarnation = choice->incarnation;
	exchange->expected_cost = choice->cost;
	exchange->trial = choice->trial;
	exchange->remote = choice->locality == MMX_LOCALITY_REMOTE;
	exchange->tried[exchange->attempts++] = exchange->target;
	exchange->path_lost = false;
	mmx_entry_new_attempt(exchange);
	TAILQ_INSERT_TAIL(&self->in_flight, exchange, path_entry);
	mmx_entry_trace_attempt(exchange, &choice->load_estimate);
	if (exchange->idempotency_key[0] && mmx_entry_claims(self->entry)) {
		mmx_attempt_claim(self, exchange);
		if (self->guards->claim)
			return;
	}
	mmx_attempt_transmit(self, exchange);
}

/* Reports the first result of a trial; later ones are ignored. */
static void end_trial_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange,
		       mmx_view_trial_result_t result)
{
	if (!exchange->trial)
		return;
	exchange->trial = false;
	mmx_view_finish_trial(self->view, exchange->target, result);
}

void mmx_attempt_close(mmx_attempt_filter_t *self, mmx_exchange_t *exchange)
{
	if (exchange->state == MMX_EXCHANGE_WAITING)
		return;
	TAILQ_REMOVE(&self->in_flight, exchange, path_entry);
	mmx_entry_trace_attempt_end(exchange);
	mmx_view_finish_attempt(self->view, exchange->target, exchange->exit);
	end_trial_(self, exchange, MMX_VIEW_TRIAL_BAD);
	exchange->state = MMX_EXCHANGE_WAITING;
	mmx_timer_cancel(&exchange->timer);
	mmx_timer_cancel(&exchange->overdue_timer);
}

/* Discards the response that is held when its attempt is not the answer. */
static void drop_held_answer_(mmx_exchange_t *exchange)
{
	mmx_head_destroy(exchange->answer_head);
	exchange->answer_head = NULL;
	evbuffer_drain(exchange->answer_body,
		       evbuffer_get_length(exchange->answer_body));
}

void mmx_attempt_refuse(mmx_attempt_filter_t *self, mmx_exchange_t *exchange,
			mmx_reason_t reason)
{
	mmx_attempt_close(self, exchange);
	if (mmx_attempt_resume_earlier(self, exchange))
		return;
	mmx_entry_refuse(exchange,
			 exchange->may_have_run ? MMX_OUTCOME_UNKNOWN
						: MMX_OUTCOME_NOT_RUN,
			 mmx_reason_for_caller(reason));
}

bool mmx_attempt_can_send_again(const mmx_attempt_filter_t *self,
				const mmx_exchange_t *exchange)
{
	return exchange->body_buffered &&
	       exchange->attempts < exchange->attempts_max &&
	       exchange->offers < exchange->offers_max &&
	       exchange->deadline > mmx_clock_now(self->clock);
}

/*
 * A refusal costs little, but under overload every target refuses. So a retry
 * takes a token of the retry budget from the second such refusal on.
 */
static bool may_send_refused_(mmx_attempt_filter_t *self,
			      mmx_exchange_t *exchange, mmx_reason_t reason,
			      bool offered)
{
	/* The budget counts what targets receive after the first attempt. */
	if (offered)
		return mmx_view_take_retry(self->view, exchange->service);
	switch (reason) {
	case MMX_REASON_DEADLINE_EXCEEDED:
	case MMX_REASON_ACCOUNT_LIMIT:
	case MMX_REASON_BAD_REQUEST:
		return false;
	case MMX_REASON_OVERLOADED:
		/* With a latency objective, exits refuse at no cost to their
		 * targets. */
		return exchange->objective > 0 ||
		       exchange->overload_refusals++ == 0 ||
		       mmx_view_take_retry(self->view, exchange->service);
	default:
		return true;
	}
}

static void retry_not_run_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange,
			   mmx_reason_t reason, bool offered)
{
	end_trial_(self, exchange, MMX_VIEW_TRIAL_REFUSED);
	exchange->offers += offered;
	mmx_entry_trace_event(exchange, "not_run", mmx_reason_string[reason]);
	mmx_attempt_close(self, exchange);
	drop_held_answer_(exchange);
	exchange->last_reason = reason;
	if (mmx_attempt_can_send_again(self, exchange) &&
	    may_send_refused_(self, exchange, reason, offered))
		mmx_attempt_try_next(self, exchange);
	else
		mmx_attempt_refuse(self, exchange, reason);
}

void mmx_attempt_retry_not_run(mmx_attempt_filter_t *self,
			       mmx_exchange_t *exchange, mmx_reason_t reason)
{
	retry_not_run_(self, exchange, reason, false);
}

/* Sends the request once more after an attempt that may have run; the caller of
 * the function has taken the token of the retry budget. */
static void repeat_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange,
		    mmx_reason_t reason)
{
	mmx_attempt_close(self, exchange);
	drop_held_answer_(exchange);
	exchange->may_have_run = true;
	exchange->offers++;
	exchange->last_reason = reason;
	mmx_counter_add(self->repeated, 1);
	mmx_attempt_try_next(self, exchange);
}

/* Repeats the request if allowed, or refuses it, after an attempt that may have
 * run. */
static void retry_may_have_run_(mmx_attempt_filter_t *self,
				mmx_exchange_t *exchange, mmx_reason_t reason)
{
	mmx_entry_trace_event(exchange, "may_have_run",
			      mmx_reason_string[reason]);
	mmx_attempt_close(self, exchange);
	drop_held_answer_(exchange);
	exchange->may_have_run = true;
	exchange->offers++;
	exchange->last_reason = reason;
	if ((exchange->repeatable || !self->guards->fence) &&
	    mmx_attempt_can_send_again(self, exchange) &&
	    mmx_view_take_retry(self->view, exchange->service)) {
		mmx_counter_add(self->repeated, 1);
		mmx_attempt_try_next(self, exchange);
	} else {
		mmx_attempt_refuse(self, exchange, reason);
	}
}

void mmx_attempt_try_next(mmx_attempt_filter_t *self, mmx_exchange_t *exchange)
{
	bool has_objective = exchange->objective > 0;
	bool same_region = exchange->attempts < MMX_SAME_REGION_ATTEMPTS;
	mmx_balance_request_t request = {
		.repeatable = exchange->repeatable,
		.tried = exchange->tried,
		.tried_count = exchange->attempts,
		.queue_in_region = has_objective &&
				   (same_region || exchange->large_bodies),
		.region_only = has_objective && exchange->large_bodies,
		/* Suspects have slots for repeatable requests only. */
		.queue_before_suspects = has_objective && !exchange->repeatable,
	};
	mmx_view_choice_t choice;

	mmx_attempt_set_cost(self, exchange, &request);
	if (mmx_view_start_attempt(self->view, exchange->service, &request,
				   &choice))
		start_attempt_(self, exchange, &choice);
	else
		mmx_attempt_refuse(self, exchange,
				   exchange->last_reason
					   ? exchange->last_reason
					   : MMX_REASON_NO_CAPACITY);
}

static void send_fence_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange)
{
	mmx_fence_t *fence = mmx_new_fence(&exchange->attempt);
	mmx_time_t now = mmx_clock_now(self->clock);

	fence->exit = exchange->exit;
	fence->exit_incarnation = exchange->exit_incarnation;
	fence->origin = mmx_entry_origin(self->entry);
	exchange->state = MMX_EXCHANGE_FENCING;
	mmx_counter_add(self->fences, 1);
	mmx_entry_post_exit(self->entry, exchange->exit, &fence->message);
	mmx_timer_set(&exchange->timer,
		      MIN(FENCE_RETRY_US, exchange->deadline - now));
}

static void send_cancel_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange)
{
	mmx_attempt_send_cancel(self, &exchange->attempt, exchange->exit);
}

/* Ends an answer that the caller has received in part, so that the caller
 * notices that the rest is missing. */
static void truncate_answer_(mmx_attempt_filter_t *self,
			     mmx_exchange_t *exchange)
{
	struct evbuffer *empty = evbuffer_new();

	mmx_attempt_close(self, exchange);
	mmx_entry_answer_body(exchange, empty, true, true);
	evbuffer_free(empty);
	mmx_entry_end_exchange(exchange);
}

/* Cancels an attempt whose response the caller has received in part. */
static void cancel_answer_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange)
{
	send_cancel_(self, exchange);
	truncate_answer_(self, exchange);
}

static void on_timer_(void *arg)
{
	mmx_exchange_t *exchange = arg;
	mmx_attempt_filter_t *self = (mmx_attempt_filter_t *)exchange->filter;

	if (mmx_exchange_is_claiming(exchange)) {
		mmx_attempt_claim_expired(self, exchange);
		return;
	}
	if (mmx_clock_now(self->clock) < exchange->deadline) {
		if (exchange->state == MMX_EXCHANGE_FENCING)
			mmx_view_path_on_fence_result(self->view,
						      exchange->exit,
						      MMX_PATH_FENCE_NO_REPLY);
		send_fence_(self, exchange);
		return;
	}
	if (exchange->state == MMX_EXCHANGE_ANSWERING) {
		cancel_answer_(self, exchange);
		return;
	}
	send_cancel_(self, exchange);
	mmx_attempt_drop_earlier(self, exchange, true);
	exchange->may_have_run = true;
	mmx_attempt_refuse(self, exchange, MMX_REASON_DEADLINE_EXCEEDED);
}

/*
 * The attempt did not run. Unless its path was lost, the query was sent because
 * the deadline was near: if no other target can be tried, the deadline is the
 * reason of the refusal.
 */
static void on_fenced_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange)
{
	mmx_attempt_retry_not_run(self, exchange,
				  exchange->path_lost ? MMX_REASON_PATH_LOST
						      : MMX_REASON_FENCED);
}

/* The caller that gets the answer learns of it, so it binds this entry even if
 * the exit forgets. */
static void note_leaving_(mmx_attempt_filter_t *self, mmx_target_id_t target,
			  const mmx_head_t *head)
{
	if (mmx_reply_says_leaving(mmx_entry_header_names(self->entry), head))
		mmx_view_target_leaves(self->view, target);
}

void mmx_filter_attempt_fence_reply(mmx_filter_t *filter,
				    mmx_exchange_t *exchange,
				    mmx_fence_reply_t *reply)
{
	mmx_attempt_filter_t *self = (mmx_attempt_filter_t *)filter;

	mmx_view_path_progress(self->view, exchange->exit);
	mmx_entry_trace_event(exchange, "fence",
			      mmx_fence_state_string[reply->state]);
	if (exchange->state == MMX_EXCHANGE_ANSWERING) {
		/* After its reply the exit sends no further parts of a response
		 * whose head it had sent before. */
		if (reply->state != MMX_FENCE_RUNNING)
			truncate_answer_(self, exchange);
		return;
	}
	switch (reply->state) {
	case MMX_FENCE_FENCED:
		on_fenced_(self, exchange);
		break;
	case MMX_FENCE_RUNNING:
		exchange->state = MMX_EXCHANGE_RUNNING;
		drop_held_answer_(exchange);
		mmx_attempt_set_deadline(self, exchange);
		break;
	case MMX_FENCE_FINISHED:
		drop_held_answer_(exchange);
		if (!reply->head) {
			retry_may_have_run_(self, exchange,
					    MMX_REASON_ANSWER_TRUNCATED);
			break;
		}
		note_leaving_(self, exchange->target, reply->head);
		mmx_attempt_close(self, exchange);
		mmx_entry_answer(exchange, reply->head, reply->body, true);
		reply->head = NULL;
		mmx_entry_end_exchange(exchange);
		break;
	default:
		retry_may_have_run_(self, exchange, MMX_REASON_PATH_LOST);
		break;
	}
}

static void on_path_lost_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange)
{
	if (mmx_exchange_is_claiming(exchange)) {
		/* The attempt has not been sent on the path. */
		return;
	}
	exchange->path_lost = true;
	if (exchange->state == MMX_EXCHANGE_ANSWERING) {
		cancel_answer_(self, exchange);
	} else if (exchange->repeatable || !self->guards->fence) {
		send_cancel_(self, exchange);
		retry_may_have_run_(self, exchange, MMX_REASON_PATH_LOST);
	} else if (exchange->state != MMX_EXCHANGE_FENCING) {
		send_fence_(self, exchange);
	}
}

void mmx_filter_attempt_path_lost(mmx_filter_t *filter,
				  const mmx_path_lost_t *lost)
{
	mmx_attempt_filter_t *self = (mmx_attempt_filter_t *)filter;
	mmx_exchange_t *last =
		TAILQ_LAST(&self->in_flight, mmx_exchange_list_t);
	mmx_exchange_t *exchange = TAILQ_FIRST(&self->in_flight);
	mmx_exchange_t *next;

	mmx_view_path_lost(self->view, lost->exit, lost->connect_failed);
	/* Attempts that the loop sends are appended after the last one. */
	for (; exchange; exchange = next) {
		next = exchange == last ? NULL
					: TAILQ_NEXT(exchange, path_entry);
		if (exchange->earlier.id.sequence &&
		    exchange->earlier.exit == lost->exit)
			mmx_attempt_drop_earlier(self, exchange, true);
		if (exchange->exit == lost->exit)
			on_path_lost_(self, exchange);
	}
}

static void on_refusal_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange,
			const mmx_response_t *response)
{
	mmx_reason_t reason = response->reason;

	if (response->grant)
		exchange->retry_grant_until =
			mmx_clock_now(self->clock) + MMX_RETRY_GRANT_TTL_US;
	else if (response->offered || response->started)
		exchange->retry_grant_until = 0;
	if (exchange->state == MMX_EXCHANGE_ANSWERING) {
		truncate_answer_(self, exchange);
		return;
	}
	/* The attempt reached its exit after its fencing query. */
	if (reason == MMX_REASON_FENCED)
		reason = MMX_REASON_PATH_LOST;
	if (response->started && reason == MMX_REASON_TARGET_FAILED)
		mmx_view_completed(self->view, exchange->target, 0, true);
	if (response->started)
		retry_may_have_run_(self, exchange, reason);
	else
		retry_not_run_(self, exchange, reason, response->offered);
}

/* From this state on, only the deadline is timed and no fencing query is
 * repeated. */
static void start_answering_(mmx_attempt_filter_t *self,
			     mmx_exchange_t *exchange)
{
	exchange->state = MMX_EXCHANGE_ANSWERING;
	mmx_attempt_set_deadline(self, exchange);
}

static void forward_held_answer_(mmx_attempt_filter_t *self,
				 mmx_exchange_t *exchange, bool end)
{
	mmx_head_t *head = exchange->answer_head;

	mmx_view_completed(self->view, exchange->target,
			   exchange->target_time + mmx_clock_now(self->clock) -
				   exchange->head_received_at,
			   head->status >= 500);
	mmx_attempt_record_cost(self, exchange, head->status);
	exchange->answer_head = NULL;
	if (end && head->status < 500)
		mmx_attempt_record_latency(self, exchange);
	if (end)
		mmx_attempt_close(self, exchange);
	else
		start_answering_(self, exchange);
	mmx_entry_answer(exchange, head, exchange->answer_body, end);
	if (end)
		mmx_entry_end_exchange(exchange);
}

/* The failure of one target should not fail a repeatable request if another
 * attempt is likely to complete within the latency objective or soon after. */
static bool may_replace_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange,
			 const mmx_response_t *response)
{
	return response->head->status >= 500 && exchange->repeatable &&
	       exchange->objective > 0 &&
	       exchange->offers + 1 < exchange->offers_max &&
	       mmx_attempt_can_send_again(self, exchange) &&
	       mmx_view_take_retry(self->view, exchange->service);
}

static void on_head_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange,
		     mmx_response_t *response)
{
	if (exchange->state == MMX_EXCHANGE_ANSWERING || exchange->answer_head)
		return;
	/* The exit may have used another target than the one it was asked for. */
	note_leaving_(self, response->load.target, response->head);
	end_trial_(self, exchange,
		   response->good ? MMX_VIEW_TRIAL_GOOD : MMX_VIEW_TRIAL_BAD);
	if (may_replace_(self, exchange, response)) {
		if (!response->body_end)
			send_cancel_(self, exchange);
		mmx_view_completed(self->view, exchange->target, 0, true);
		mmx_entry_trace_event(exchange, "replaced", "failed-status");
		repeat_(self, exchange, MMX_REASON_TARGET_FAILED);
		return;
	}
	mmx_attempt_drop_earlier(self, exchange, true);
	mmx_timer_cancel(&exchange->overdue_timer);
	exchange->target_time = response->target_time;
	exchange->head_received_at = mmx_clock_now(self->clock);
	exchange->answer_head = response->head;
	response->head = NULL;
	evbuffer_add_buffer(exchange->answer_body, response->body);
	if (exchange->state == MMX_EXCHANGE_SENT) {
		exchange->state = MMX_EXCHANGE_RUNNING;
		mmx_attempt_set_deadline(self, exchange);
	}
	if (response->body_end ||
	    evbuffer_get_length(exchange->answer_body) > MMX_HELD_BODY_MAX)
		forward_held_answer_(self, exchange, response->body_end);
}

void mmx_filter_attempt_response(mmx_filter_t *filter, mmx_exchange_t *exchange,
				 mmx_response_t *response)
{
	mmx_attempt_filter_t *self = (mmx_attempt_filter_t *)filter;
	mmx_load_report_t load = response->load;

	if (mmx_attempt_is_earlier(exchange, &response->attempt) &&
	    !mmx_attempt_earlier_response(self, exchange, response)) {
		mmx_view_report_load(self->view, &load);
		return;
	}
	mmx_view_path_progress(self->view, exchange->exit);
	count_remote_(exchange, self->remote_received, response->head,
		      response->body);
	if (response->reason != MMX_REASON_NONE || !response->head)
		on_refusal_(self, exchange, response);
	else
		on_head_(self, exchange, response);
	/* Only after the attempt has ended, since the load excludes it. */
	mmx_view_report_load(self->view, &load);
}

static void on_held_body_(mmx_attempt_filter_t *self, mmx_exchange_t *exchange,
			  const mmx_body_t *body)
{
	if (!exchange->answer_head)
		return;
	evbuffer_add_buffer(exchange->answer_body, body->data);
	if (body->failed) {
		mmx_view_completed(self->view, exchange->target, 0, true);
		retry_may_have_run_(self, exchange,
				    MMX_REASON_ANSWER_TRUNCATED);
	} else if (body->end || evbuffer_get_length(exchange->answer_body) >
					MMX_HELD_BODY_MAX)
		forward_held_answer_(self, exchange, body->end);
}

void mmx_filter_attempt_body(mmx_filter_t *filter, mmx_exchange_t *exchange,
			     mmx_body_t *body)
{
	mmx_attempt_filter_t *self = (mmx_attempt_filter_t *)filter;

	/* A part follows a response head, which has ended the earlier attempt
	 * or made it the only one, so none is expected here. */
	if (mmx_attempt_is_earlier(exchange, &body->attempt))
		return;
	mmx_view_path_progress(self->view, exchange->exit);
	count_remote_(exchange, self->remote_received, NULL, body->data);
	if (exchange->state != MMX_EXCHANGE_ANSWERING) {
		on_held_body_(self, exchange, body);
		return;
	}
	if (body->end)
		mmx_attempt_close(self, exchange);
	mmx_entry_answer_body(exchange, body->data, body->end, body->failed);
	if (body->end)
		mmx_entry_end_exchange(exchange);
}

void mmx_filter_attempt_request_body(mmx_filter_t *filter,
				     mmx_exchange_t *exchange, mmx_body_t *body)
{
	mmx_attempt_filter_t *self = (mmx_attempt_filter_t *)filter;
	mmx_body_t *forwarded;

	if (exchange->state == MMX_EXCHANGE_WAITING)
		return;
	assert(exchange->state != MMX_EXCHANGE_CLAIMING);
	forwarded = mmx_new_body(MMX_TO_TARGET);
	forwarded->attempt = exchange->attempt;
	forwarded->exit = exchange->exit;
	evbuffer_add_buffer(forwarded->data, body->data);
	count_remote_(exchange, self->remote_sent, NULL, forwarded->data);
	forwarded->end = body->end;
	forwarded->failed = body->failed;
	mmx_entry_post_exit(self->entry, exchange->exit, &forwarded->message);
}

static mmx_filter_result_t process_(mmx_filter_t *filter,
				    mmx_exchange_t *exchange)
{
	mmx_attempt_filter_t *self = (mmx_attempt_filter_t *)filter;

	mmx_timer_init(&exchange->timer, self->clock, on_timer_, exchange);
	mmx_attempt_init_overdue_timer(self, exchange);
	exchange->caller_repeat_percent =
		mmx_entry_repeat_percent(self->entry, exchange->objective);
	mmx_attempt_try_next(self, exchange);
	return MMX_FILTER_WAIT;
}

static void abandon_(mmx_filter_t *filter, mmx_exchange_t *exchange)
{
	mmx_attempt_filter_t *self = (mmx_attempt_filter_t *)filter;

	if (exchange->state == MMX_EXCHANGE_WAITING)
		return;
	mmx_attempt_drop_earlier(self, exchange, true);
	if (!mmx_exchange_is_claiming(exchange))
		send_cancel_(self, exchange);
	/* A caller that leaves says nothing about the target. */
	end_trial_(self, exchange, MMX_VIEW_TRIAL_REFUSED);
	mmx_attempt_close(self, exchange);
}

static void destroy_(mmx_filter_t *filter)
{
	mmx_attempt_filter_t *self = (mmx_attempt_filter_t *)filter;

	g_hash_table_destroy(self->overdue_by_route);
	g_clear_pointer(&self->cost_errors, g_hash_table_destroy);
	g_free(self);
}

static const mmx_filter_ops_t ops_ = {
	.name = "attempt",
	.process = process_,
	.abandon = abandon_,
	.destroy = destroy_,
};

mmx_filter_t *mmx_filter_attempt_create(mmx_entry_t *entry)
{
	mmx_attempt_filter_t *self = g_new0(mmx_attempt_filter_t, 1);
	mmx_counters_t *counters = mmx_entry_counters(entry);

	self->filter.ops = &ops_;
	self->entry = entry;
	self->clock = mmx_runtime_clock(mmx_entry_runtime(entry));
	self->guards = mmx_entry_guards(entry);
	self->view = mmx_entry_view(entry);
	TAILQ_INIT(&self->in_flight);
	self->overdue_by_route =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (counters) {
		self->sent = mmx_counters_get(counters, MMX_COUNTER,
					      "masticmux_attempts_total", "",
					      "Attempts sent to exits.");
		self->repeated = mmx_counters_get(
			counters, MMX_COUNTER, "masticmux_retries_total", "",
			"Attempts sent after one that may have run.");
		self->fences = mmx_counters_get(counters, MMX_COUNTER,
						"masticmux_fences_total", "",
						"Fencing queries sent.");
		self->overdue_repeats = mmx_counters_get(
			counters, MMX_COUNTER,
			"masticmux_overdue_repeats_total", "",
			"Second attempts of requests without an answer yet.");
		self->overdue_kept = mmx_counters_get(
			counters, MMX_COUNTER, "masticmux_overdue_kept_total",
			"", "Overdue attempts that gave the answer after all.");
		self->remote_sent = mmx_counters_get(
			counters, MMX_COUNTER, "masticmux_remote_bytes_total",
			"direction=\"sent\"",
			"Heads and bodies exchanged with other regions.");
		self->remote_received = mmx_counters_get(
			counters, MMX_COUNTER, "masticmux_remote_bytes_total",
			"direction=\"received\"",
			"Heads and bodies exchanged with other regions.");
	}
	return &self->filter;
}
