/* Attempts at the exit: admission, cancellation, fencing, lost connections. */
#include "private/exit_internal.h"

#include <assert.h>
#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

/*
 * Share of the retry budget that exits use. The rest covers calls that count
 * as retries but are not recognised as such, and exits that do not know all
 * targets of their service yet and so assume too large a part of the budget.
 */
#define RETRY_BUDGET_USED_PERCENT 75

void mmx_exit_post_response(mmx_exit_t *exit, mmx_response_t *response,
			    const mmx_exit_target_t *target,
			    const mmx_origin_t *origin)
{
	bool ended = response->head && response->body_end;

	response->exit = exit->node;
	response->origin = *origin;
	if (target) {
		mmx_exit_target_report(target, mmx_clock_now(exit->clock),
				       &response->load);
		if (mmx_exit_reports_work_(exit))
			mmx_exit_target_report_work(
				target, ended ? &response->attempt : NULL,
				mmx_clock_now(exit->clock), &response->load);
		mmx_exit_health_report_sent(target, response->attempt.entry,
					    &response->load);
	}
	/* The report counts this request, which has finished. */
	if (ended && response->load.in_progress > 0)
		response->load.in_progress--;
	mmx_task_post(origin->task, &response->message);
}

void mmx_exit_post_refusal(mmx_exit_t *exit, const mmx_attempt_id_t *id,
			   const mmx_origin_t *origin,
			   const mmx_exit_target_t *target, mmx_reason_t reason,
			   bool started)
{
	mmx_response_t *response = mmx_new_response(id);

	response->reason = reason;
	response->started = started;
	response->offered = started;
	response->body_end = true;
	mmx_counter_add(exit->refused, 1);
	mmx_exit_post_response(exit, response, target, origin);
}

static void post_fence_reply_(mmx_exit_t *exit, mmx_attempt_t *attempt,
			      const mmx_attempt_id_t *id,
			      const mmx_origin_t *origin,
			      mmx_fence_purpose_t purpose,
			      mmx_fence_state_t state)
{
	mmx_fence_reply_t *reply = mmx_new_fence_reply(id, state);

	reply->purpose = purpose;
	reply->exit = exit->node;
	reply->origin = *origin;
	if (state == MMX_FENCE_FINISHED && attempt && attempt->response_head) {
		reply->head = mmx_head_copy(attempt->response_head);
		evbuffer_add_buffer_reference(reply->body,
					      attempt->response_body);
	}
	mmx_task_post(origin->task, &reply->message);
}

void mmx_exit_end_running(mmx_exit_t *exit, mmx_attempt_t *attempt,
			  mmx_attempt_state_t state)
{
	mmx_exit_target_t *target = attempt->target;

	mmx_exit_health_end(attempt, MMX_RESULT_ABANDONED);
	mmx_histogram_add(exit->run_time,
			  mmx_clock_now(exit->clock) - attempt->started);
	mmx_exit_trace_ended(attempt, mmx_attempt_state_string[state], false);
	TAILQ_REMOVE(&target->running, attempt, queue_entry);
	target->in_progress--;
	mmx_limits_finish(target->limits, attempt->execute->account,
			  mmx_clock_now(exit->clock));
	if (attempt->fence_reply_pending)
		post_fence_reply_(exit, attempt, &attempt->id, &attempt->origin,
				  MMX_FENCE_RECOVER, MMX_FENCE_FINISHED);
	mmx_attempts_end(exit->attempts, attempt, state);
	mmx_exit_start_queued(exit, target);
}

static mmx_limits_share_t account_share_(const mmx_exit_t *exit,
					 const char *account)
{
	mmx_limits_share_t share = {.ceiling_percent = 100};
	mmx_account_t parameters;

	if (account[0] && exit->config_state && *exit->config_state &&
	    mmx_config_state_get_account(*exit->config_state, account,
					 &parameters)) {
		share.floor_percent = parameters.floor_percent;
		share.ceiling_percent = parameters.ceiling_percent;
	}
	return share;
}

/*
 * Returns true when a request must go to another target because this one may
 * be in a failure episode. During an episode, the target gets repeatable first
 * attempts only, a few at a time, to detect its end. Requests that are not
 * repeatable and retries are refused until the target is no more likely to
 * fail than one without any results. A request with no time left for another
 * exit is admitted, because a refusal would fail it for certain.
 */
static bool must_refuse_in_episode_(const mmx_exit_t *exit,
				    const mmx_exit_target_t *target,
				    const mmx_execute_t *execute)
{
	mmx_time_t now = mmx_clock_now(exit->clock);

	if (execute->max_wait >= execute->remaining)
		return false;
	if (!execute->repeatable || execute->repeat)
		return mmx_fault_is_elevated(&target->fault, now);
	return mmx_fault_is_suspect(&target->fault, now) &&
	       (target->in_progress + target->queued >=
			mmx_fault_trial_slots(
				&target->fault,
				mmx_exit_target_slots(target, now), now) ||
		!mmx_fault_trial_allowed(&target->fault, now));
}

/* The limit depends on the configuration and on the number of targets. */
static void update_retry_limit_(const mmx_exit_t *exit,
				mmx_exit_target_t *target)
{
	const char *service = target->record.service;
	mmx_retry_limit_t limit = target->retry_budget.limit;
	mmx_policy_t policy;

	exit->observer->retry_limit(exit->observer_context, service, &limit);
	limit.reserve = limit.reserve * RETRY_BUDGET_USED_PERCENT / 100;
	if (exit->config_state && *exit->config_state &&
	    mmx_config_state_get_service_policy(*exit->config_state, service,
						&policy))
		limit.percent = (uint8_t)(policy.retry_percent *
					  RETRY_BUDGET_USED_PERCENT / 100);
	mmx_exit_target_set_retry_limit(target, &limit);
}

/*
 * Charges a retry to the target's part of the budget. The budget is kept at the
 * exit because all requests for a target pass through it.
 */
static bool take_retry_(const mmx_exit_t *exit, mmx_exit_target_t *target,
			uint32_t route)
{
	return !exit->observer || !exit->observer->retry_limit ||
	       mmx_exit_target_take_retry(target, route,
					  mmx_clock_now(exit->clock));
}

/*
 * Finds the target for an attempt. If the named target is gone or unknown,
 * another target of the service at this node replaces it: a target may restart
 * under a new name, which other nodes learn seconds later. This is safe because
 * the attempt has not been sent to any target.
 */
static mmx_exit_target_t *find_execute_target_(mmx_exit_t *exit,
					       const mmx_execute_t *execute)
{
	mmx_exit_target_t *named = mmx_exit_find_target(exit, execute->target);
	mmx_exit_target_t *target;

	if (named && named->record.state != MMX_TARGET_GONE)
		return named;
	LIST_FOREACH (target, &exit->targets, entry)
		if (!target->leaving &&
		    strcmp(target->record.service, execute->service) == 0)
			return target;
	return named;
}

/*
 * True when the remaining time is less than half of the expected run time: the
 * response would come too late.
 */
static bool is_time_short_(const mmx_exit_target_t *target,
			   const mmx_execute_t *execute)
{
	return execute->remaining <
	       mmx_exit_target_expected_run_time(target, execute->route) / 2;
}

/*
 * Grants a refused retry to another exit, charged to the budget of this target;
 * false when nothing is granted. Otherwise, the budget of suspect and full
 * targets would stay unused while other targets run out of theirs.
 */
static bool grant_retry_(const mmx_exit_t *exit, mmx_exit_target_t *target,
			 const mmx_execute_t *execute, mmx_reason_t reason)
{
	if (!execute->repeat || execute->granted || !target ||
	    !exit->observer || !exit->observer->retry_limit)
		return false;
	if (reason != MMX_REASON_SUSPECT && reason != MMX_REASON_BUSY &&
	    reason != MMX_REASON_OVERLOADED)
		return false;
	return mmx_exit_target_grant_retry(target, execute->route,
					   mmx_clock_now(exit->clock));
}

static mmx_reason_t admit_(mmx_exit_t *exit, const mmx_execute_t *execute,
			   mmx_exit_target_t **target)
{
	mmx_exit_request_t request = {
		.account = execute->account,
		.share = account_share_(exit, execute->account),
		.remaining = execute->remaining,
		.max_wait = execute->max_wait,
		.objective = execute->objective,
		.priority = execute->priority,
		.account_use = execute->account_use,
		.repeatable = execute->repeatable,
		.route = execute->route,
	};
	mmx_reason_t reason;

	*target = find_execute_target_(exit, execute);
	if (execute->exit_incarnation &&
	    execute->exit_incarnation != exit->incarnation &&
	    exit->guards->incarnation)
		return MMX_REASON_WRONG_INCARNATION;
	/* The entry may not know yet that the target changed its service. */
	if (!*target ||
	    strcmp((*target)->record.service, execute->service) != 0)
		return MMX_REASON_DRAINING;
	/* The message may have waited for the whole pause, so that its time may
	 * be over. The entry can still send it to another target. */
	if (mmx_clock_now(exit->clock) < exit->backlog_until &&
	    execute->remaining <= exit->pause_length)
		return MMX_REASON_OVERLOADED;
	/* Entries do not coordinate their trials: the exit runs one at a
	 * time. */
	if (execute->trial &&
	    !mmx_detection_trial_allowed((*target)->detection))
		return MMX_REASON_SUSPECT;
	if (is_time_short_(*target, execute))
		return MMX_REASON_TIME_SHORT;
	if (exit->observer && exit->observer->retry_limit)
		update_retry_limit_(exit, *target);
	reason = mmx_exit_target_admit(*target, &request,
				       mmx_clock_now(exit->clock));
	if (reason == MMX_REASON_NONE && exit->expect_episodes &&
	    must_refuse_in_episode_(exit, *target, execute))
		return MMX_REASON_SUSPECT;
	if (reason == MMX_REASON_NONE && execute->repeat && !execute->granted &&
	    !take_retry_(exit, *target, execute->route))
		return MMX_REASON_RETRY_BUDGET;
	if (reason == MMX_REASON_DRAINING && !exit->guards->draining)
		return MMX_REASON_NONE;
	return reason;
}

static void post_admission_refusal_(mmx_exit_t *exit,
				    const mmx_execute_t *execute,
				    mmx_exit_target_t *target,
				    mmx_reason_t reason)
{
	mmx_response_t *response = mmx_new_response(&execute->attempt);

	response->reason = reason;
	response->body_end = true;
	response->grant = grant_retry_(exit, target, execute, reason);
	mmx_counter_add(exit->refused, 1);
	mmx_counter_add(exit->granted, response->grant);
	mmx_exit_post_response(exit, response, target, &execute->origin);
}

static void on_new_execute_(mmx_exit_t *exit, mmx_execute_t *execute)
{
	mmx_exit_target_t *target;
	mmx_reason_t reason = admit_(exit, execute, &target);
	mmx_attempt_t *attempt;

	if (target)
		mmx_exit_health_record_origin(exit, target, execute);
	if (reason != MMX_REASON_NONE) {
		mmx_exit_log_refused(exit, execute, target, reason);
		post_admission_refusal_(exit, execute, target, reason);
		/* A duplicate that arrives later must not start either. */
		attempt = mmx_attempts_add(exit->attempts, &execute->attempt);
		attempt->repeatable = execute->repeatable;
		mmx_attempts_end(exit->attempts, attempt, MMX_ATTEMPT_REFUSED);
		mmx_message_destroy(&execute->message);
		return;
	}
	attempt = mmx_attempts_add(exit->attempts, &execute->attempt);
	attempt->execute = execute;
	attempt->target = target;
	attempt->origin = execute->origin;
	attempt->repeatable = execute->repeatable;
	attempt->keyed = execute->keyed;
	attempt->trial = execute->trial;
	attempt->deadline = mmx_clock_now(exit->clock) + execute->remaining;
	attempt->share = account_share_(exit, execute->account);
	attempt->cost_key =
		mmx_cost_request_key(execute->route, execute->head,
				     evbuffer_get_length(execute->body));
	mmx_exit_trace_arrived(exit, attempt);
	mmx_exit_enqueue(exit, attempt);
}

void mmx_exit_on_execute(mmx_exit_t *exit, mmx_execute_t *execute)
{
	mmx_attempt_t *attempt;
	mmx_reason_t reason = MMX_REASON_FORGOTTEN;

	switch (mmx_attempts_find(exit->attempts, &execute->attempt,
				  &attempt)) {
	case MMX_ATTEMPT_NEW:
		on_new_execute_(exit, execute);
		return;
	case MMX_ATTEMPT_KNOWN:
		if (attempt->state != MMX_ATTEMPT_REFUSED) {
			/* A duplicate of an attempt that was admitted. */
			mmx_message_destroy(&execute->message);
			return;
		}
		reason = MMX_REASON_FENCED;
		break;
	case MMX_ATTEMPT_STALE:
		reason = MMX_REASON_FENCED;
		break;
	default:
		break;
	}
	mmx_exit_post_refusal(exit, &execute->attempt, &execute->origin, NULL,
			      reason, reason == MMX_REASON_FORGOTTEN);
	mmx_message_destroy(&execute->message);
}

void mmx_exit_abort_running(mmx_exit_t *exit, mmx_attempt_t *attempt)
{
	mmx_task_post(exit->client,
		      &mmx_new_call_cancel(&attempt->id)->message);
	mmx_attempts_drop_response(exit->attempts, attempt);
	mmx_exit_end_running(exit, attempt, MMX_ATTEMPT_FINISHED);
}

/*
 * Returns true for a running attempt that may be aborted once nobody waits for
 * its response: one that is repeatable, or whose request body can no longer
 * become complete. Others run to their end.
 */
static bool may_abort_(const mmx_attempt_t *attempt)
{
	return attempt->state == MMX_ATTEMPT_RUNNING &&
	       (attempt->repeatable || !attempt->execute->body_end);
}

void mmx_exit_on_cancel(mmx_exit_t *exit, const mmx_cancel_t *cancel)
{
	mmx_attempt_t *attempt;

	if (mmx_attempts_find(exit->attempts, &cancel->attempt, &attempt) !=
	    MMX_ATTEMPT_KNOWN)
		return;
	attempt->abandoned = true;
	if (attempt->state == MMX_ATTEMPT_QUEUED)
		mmx_exit_refuse_queued(exit, attempt, MMX_REASON_FENCED);
	else if (may_abort_(attempt))
		mmx_exit_abort_running(exit, attempt);
}

/* Fences an attempt that has a record. */
static mmx_fence_state_t fence_known_(mmx_exit_t *exit, mmx_attempt_t *attempt,
				      const mmx_fence_t *fence)
{
	switch (attempt->state) {
	case MMX_ATTEMPT_QUEUED:
		if (fence->purpose == MMX_FENCE_QUERY)
			return MMX_FENCE_RUNNING;
		/* The refusal is sent unless the attempt's own entry fences:
		 * that entry gets the fence reply. */
		attempt->abandoned = fence->purpose == MMX_FENCE_RECOVER;
		mmx_exit_refuse_queued(exit, attempt, MMX_REASON_FENCED);
		return MMX_FENCE_FENCED;
	case MMX_ATTEMPT_RUNNING:
		if (fence->purpose != MMX_FENCE_RECOVER)
			return MMX_FENCE_RUNNING;
		attempt->origin = fence->origin;
		attempt->abandoned = false;
		/* Parts of the response may be lost, on the old connection or
		 * because it had closed. The whole response is sent again when
		 * it is complete. */
		if (attempt->head_received)
			attempt->fence_reply_pending = true;
		return MMX_FENCE_RUNNING;
	case MMX_ATTEMPT_FINISHED:
		/* An attempt that was aborted or failed may not have run. */
		if (fence->purpose != MMX_FENCE_RECOVER && !attempt->completed)
			return MMX_FENCE_FORGOTTEN;
		return MMX_FENCE_FINISHED;
	default:
		return MMX_FENCE_FENCED;
	}
}

/* Fences an attempt without a record, which may still arrive. */
static mmx_fence_state_t fence_new_(mmx_exit_t *exit, const mmx_fence_t *fence)
{
	mmx_attempt_t *attempt;

	/* An earlier process here may have run it. */
	if (fence->exit_incarnation != exit->incarnation &&
	    exit->guards->incarnation)
		return MMX_FENCE_FORGOTTEN;
	/* A query must not refuse an attempt that may still arrive. */
	if (fence->purpose == MMX_FENCE_QUERY)
		return MMX_FENCE_RUNNING;
	attempt = mmx_attempts_add(exit->attempts, &fence->attempt);
	mmx_attempts_end(exit->attempts, attempt, MMX_ATTEMPT_REFUSED);
	return MMX_FENCE_FENCED;
}

void mmx_exit_on_fence(mmx_exit_t *exit, const mmx_fence_t *fence)
{
	mmx_fence_state_t state = MMX_FENCE_FORGOTTEN;
	mmx_attempt_t *attempt;

	mmx_counter_add(exit->fenced, 1);
	switch (mmx_attempts_find(exit->attempts, &fence->attempt, &attempt)) {
	case MMX_ATTEMPT_KNOWN:
		state = fence_known_(exit, attempt, fence);
		break;
	case MMX_ATTEMPT_NEW:
		state = fence_new_(exit, fence);
		break;
	default:
		break;
	}
	post_fence_reply_(exit, state == MMX_FENCE_FINISHED ? attempt : NULL,
			  &fence->attempt, &fence->origin, fence->purpose,
			  state);
}

typedef struct lost_origin_t {
	uint64_t connection;
	GArray *to_abort; /* ids of the running attempts to abort */
} lost_origin_t;

static void abandon_(mmx_attempt_t *attempt, void *arg)
{
	lost_origin_t *origin = arg;

	if (attempt->origin.connection != origin->connection)
		return;
	attempt->abandoned = true;
	if (may_abort_(attempt))
		g_array_append_val(origin->to_abort, attempt->id);
}

static void refuse_abandoned_(mmx_exit_t *exit)
{
	mmx_exit_target_t *target;
	mmx_attempt_t *attempt;
	mmx_attempt_t *next;

	LIST_FOREACH (target, &exit->targets, entry) {
		for (attempt = TAILQ_FIRST(&target->queue); attempt;
		     attempt = next) {
			next = TAILQ_NEXT(attempt, queue_entry);
			if (attempt->abandoned)
				mmx_exit_refuse_queued(exit, attempt,
						       MMX_REASON_FENCED);
		}
	}
}

void mmx_exit_on_origin_lost(mmx_exit_t *exit, const mmx_origin_lost_t *lost)
{
	lost_origin_t origin = {
		.connection = lost->connection,
		.to_abort = g_array_new(FALSE, FALSE, sizeof(mmx_attempt_id_t)),
	};
	mmx_attempt_t *attempt;
	guint i;

	mmx_attempts_foreach_active(exit->attempts, abandon_, &origin);
	refuse_abandoned_(exit);
	for (i = 0; i < origin.to_abort->len; i++) {
		attempt = mmx_exit_find_running(
			exit,
			&g_array_index(origin.to_abort, mmx_attempt_id_t, i));
		if (attempt)
			mmx_exit_abort_running(exit, attempt);
	}
	g_array_free(origin.to_abort, TRUE);
}

typedef struct retry_count_t {
	mmx_time_t objective; /* attempts with a longer one are counted */
	unsigned int running;
	unsigned int retries;
} retry_count_t;

static void count_retry_(mmx_attempt_t *attempt, void *arg)
{
	retry_count_t *count = arg;

	if (attempt->state != MMX_ATTEMPT_RUNNING ||
	    attempt->execute->objective <= count->objective)
		return;
	count->running++;
	count->retries += attempt->execute->repeat;
}

uint8_t mmx_exit_repeat_percent(const mmx_exit_t *exit, mmx_time_t objective)
{
	retry_count_t count = {.objective = objective};

	if (objective > 0)
		mmx_attempts_foreach_active(exit->attempts, count_retry_,
					    &count);
	return count.running ? (uint8_t)(100 * count.retries / count.running)
			     : 0;
}

static void collect_running_(mmx_attempt_t *attempt, void *arg)
{
	if (attempt->state == MMX_ATTEMPT_RUNNING)
		g_ptr_array_add(arg, attempt);
}

void mmx_exit_abort_target(mmx_exit_t *exit, mmx_exit_target_t *target)
{
	GPtrArray *running = g_ptr_array_new();
	mmx_attempt_t *attempt;
	guint i;

	mmx_attempts_foreach_active(exit->attempts, collect_running_, running);
	for (i = 0; i < running->len; i++) {
		attempt = g_ptr_array_index(running, i);
		if (attempt->target != target)
			continue;
		mmx_exit_post_refusal(exit, &attempt->id, &attempt->origin,
				      target, MMX_REASON_TARGET_FAILED, true);
		mmx_exit_abort_running(exit, attempt);
	}
	g_ptr_array_free(running, TRUE);
}
