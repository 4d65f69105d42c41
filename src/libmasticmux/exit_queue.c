/* What waits at the exit for a slot: starts, and refusals of what has waited
 * in vain. */
#include "private/exit_internal.h"

#include <event2/buffer.h>
#include <glib.h>

void mmx_exit_refuse_queued(mmx_exit_t *exit, mmx_attempt_t *attempt,
			    mmx_reason_t reason)
{
	mmx_exit_target_dequeue(attempt->target, attempt);
	mmx_exit_log_refused(exit, attempt->execute, attempt->target, reason);
	mmx_exit_trace_ended(attempt, mmx_reason_string[reason], true);
	if (!attempt->abandoned)
		mmx_exit_post_refusal(exit, &attempt->id, &attempt->origin,
				      attempt->target, reason, false);
	mmx_attempts_end(exit->attempts, attempt, MMX_ATTEMPT_REFUSED);
}

/* Tells the target the time that is left and who is meant. */
static void address_call_(mmx_exit_t *exit, mmx_attempt_t *attempt,
			  mmx_call_t *call)
{
	const mmx_header_names_t *dialect = exit->header_names;
	mmx_time_t left_ms = MAX(call->remaining / MMX_US_PER_MS, 1);
	char text[24];

	g_snprintf(text, sizeof(text), "%lld", (long long)left_ms);
	if (dialect->timeout)
		mmx_head_set(call->head, dialect->timeout, text);
	if (dialect->target)
		mmx_head_set(call->head, dialect->target,
			     attempt->target->record.name);
	if (dialect->request_id)
		attempt->request_id = g_strdup(
			mmx_head_find(call->head, dialect->request_id));
}

static void start_(mmx_exit_t *exit, mmx_attempt_t *attempt)
{
	mmx_exit_target_t *target = attempt->target;
	mmx_execute_t *execute = attempt->execute;
	mmx_call_t *call = mmx_new_call(&attempt->id);

	mmx_exit_target_dequeue(target, attempt);
	target->in_progress++;
	mmx_limits_start(target->limits, execute->account,
			 mmx_clock_now(exit->clock));
	attempt->state = MMX_ATTEMPT_RUNNING;
	attempt->started = mmx_clock_now(exit->clock);
	mmx_exit_health_start(attempt);
	mmx_histogram_add(exit->queue_time,
			  attempt->started - attempt->arrived);
	call->address = target->address;
	call->repeatable = execute->repeatable;
	call->remaining = attempt->deadline - attempt->started;
	call->head = execute->head;
	execute->head = NULL;
	address_call_(exit, attempt, call);
	mmx_exit_trace_started(exit, attempt, call->head);
	evbuffer_add_buffer(call->body, execute->body);
	call->body_end = execute->body_end;
	if (!execute->repeat)
		mmx_exit_target_record_request(target, execute->route,
					       execute->caller_repeat_percent,
					       attempt->started);
	mmx_counter_add(exit->started, 1);
	mmx_task_post(exit->client, &call->message);
}

/* Time that must be left for a start: what has waited starts only if it is
 * likely to end before its deadline. */
static mmx_time_t needed_(const mmx_attempt_t *attempt)
{
	return attempt->waited
		       ? mmx_exit_target_expected_run_time(
				 attempt->target, attempt->execute->route)
		       : 0;
}

/* Refuses an attempt that would not end in time; false when it would. */
static bool refuse_late_(mmx_exit_t *exit, mmx_attempt_t *attempt,
			 mmx_time_t now)
{
	if (attempt->deadline - now > needed_(attempt))
		return false;
	mmx_counter_add(exit->expired, 1);
	mmx_exit_refuse_queued(exit, attempt,
			       attempt->deadline <= now
				       ? MMX_REASON_DEADLINE_EXCEEDED
				       : MMX_REASON_TIME_SHORT);
	return true;
}

/* All slots may be held by requests that are never answered. What waits
 * behind them is given back while its entry can still make use of that. */
static void set_expiry_(mmx_exit_t *exit, const mmx_attempt_t *attempt)
{
	mmx_time_t now = mmx_clock_now(exit->clock);
	mmx_time_t run = mmx_exit_target_expected_run_time(
		attempt->target, attempt->execute->route);
	mmx_time_t due = MAX(attempt->deadline - run, now);

	if (!mmx_timer_is_set(&exit->expiry) || exit->expiry.due > due)
		mmx_timer_set(&exit->expiry, due - now);
}

void mmx_exit_start_queued(mmx_exit_t *exit, mmx_exit_target_t *target)
{
	mmx_time_t now = mmx_clock_now(exit->clock);
	mmx_attempt_t *attempt;

	if (!mmx_exit_target_serves_queue(target, now) &&
	    exit->guards->draining) {
		mmx_exit_refuse_queue(exit, target);
		return;
	}
	while ((attempt = mmx_exit_target_next_queued(target, now))) {
		/* The deadline is read here and not only by a timer, so that a
		 * process that was paused starts nothing whose time is up. */
		if (refuse_late_(exit, attempt, now))
			continue;
		if (!mmx_exit_target_can_start(target, now))
			return;
		start_(exit, attempt);
	}
}

void mmx_exit_enqueue(mmx_exit_t *exit, mmx_attempt_t *attempt)
{
	mmx_exit_target_t *target = attempt->target;

	mmx_exit_target_enqueue(target, attempt, mmx_clock_now(exit->clock));
	mmx_exit_start_queued(exit, target);
	/* The attempt itself may have ended and be freed. */
	TAILQ_FOREACH (attempt, &target->queue, queue_entry) {
		attempt->waited = true;
		set_expiry_(exit, attempt);
	}
}

static void expire_(mmx_exit_t *exit, mmx_exit_target_t *target)
{
	mmx_time_t now = mmx_clock_now(exit->clock);
	mmx_attempt_t *attempt;
	mmx_attempt_t *next;

	for (attempt = TAILQ_FIRST(&target->queue); attempt; attempt = next) {
		next = TAILQ_NEXT(attempt, queue_entry);
		if (!refuse_late_(exit, attempt, now))
			set_expiry_(exit, attempt);
	}
}

void mmx_exit_on_expiry(void *arg)
{
	mmx_exit_t *exit = arg;
	mmx_exit_target_t *target;

	mmx_exit_detect_pause(exit);
	LIST_FOREACH (target, &exit->targets, entry)
		expire_(exit, target);
}

void mmx_exit_refuse_queue(mmx_exit_t *exit, mmx_exit_target_t *target)
{
	mmx_attempt_t *attempt;

	while ((attempt = TAILQ_FIRST(&target->queue)))
		mmx_exit_refuse_queued(exit, attempt, MMX_REASON_DRAINING);
}

void mmx_exit_refuse_queue_suspect(mmx_exit_t *exit, mmx_exit_target_t *target)
{
	mmx_attempt_t *attempt;
	mmx_attempt_t *next;

	for (attempt = TAILQ_FIRST(&target->queue); attempt; attempt = next) {
		next = TAILQ_NEXT(attempt, queue_entry);
		if (attempt->execute->patience < attempt->execute->remaining)
			mmx_exit_refuse_queued(exit, attempt,
					       MMX_REASON_SUSPECT);
	}
}
