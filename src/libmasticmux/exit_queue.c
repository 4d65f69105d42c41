/*
 * The queue of attempts that wait for a slot of a target. Starts them when
 * slots are free and refuses those that can no longer finish before their
 * deadline.
 */
#include "private/exit_internal.h"

#include <event2/buffer.h>
#include <glib.h>

/* A process that ends starts a queued attempt only if this many expected run
 * times are left: most runs take less. */
#define PROCESS_END_HEADROOM 2

/* grant: the attempt is a repeat whose charge another exit is to accept. */
static void refuse_queued_(mmx_exit_t *exit, mmx_attempt_t *attempt,
			   mmx_reason_t reason, bool grant)
{
	mmx_response_t *response;

	mmx_exit_target_dequeue(attempt->target, attempt);
	mmx_exit_log_refused(exit, attempt->execute, attempt->target, reason);
	mmx_exit_trace_ended(attempt, mmx_reason_string[reason], true);
	if (!attempt->abandoned) {
		response = mmx_new_response(&attempt->id);
		response->reason = reason;
		response->body_end = true;
		response->grant = grant;
		mmx_counter_add(exit->refused, 1);
		mmx_counter_add(exit->granted, grant);
		mmx_exit_post_response(exit, response, attempt->target,
				       &attempt->origin);
	}
	mmx_attempts_end(exit->attempts, attempt, MMX_ATTEMPT_REFUSED);
}

void mmx_exit_refuse_queued(mmx_exit_t *exit, mmx_attempt_t *attempt,
			    mmx_reason_t reason)
{
	refuse_queued_(exit, attempt, reason, false);
}

/* Sets the request headers for the remaining time and the target's name. */
static void set_call_headers_(mmx_exit_t *exit, mmx_attempt_t *attempt,
			      mmx_call_t *call)
{
	const mmx_header_names_t *header_names = exit->header_names;
	mmx_time_t remaining_ms = MAX(call->remaining / MMX_US_PER_MS, 1);
	char text[24];

	g_snprintf(text, sizeof(text), "%lld", (long long)remaining_ms);
	if (header_names->timeout)
		mmx_head_set(call->head, header_names->timeout, text);
	if (header_names->target)
		mmx_head_set(call->head, header_names->target,
			     attempt->target->record.name);
	if (header_names->request_id)
		attempt->request_id = g_strdup(
			mmx_head_find(call->head, header_names->request_id));
}

static void start_attempt_(mmx_exit_t *exit, mmx_attempt_t *attempt)
{
	mmx_exit_target_t *target = attempt->target;
	mmx_execute_t *execute = attempt->execute;
	mmx_call_t *call = mmx_new_call(&attempt->id);

	mmx_exit_target_dequeue(target, attempt);
	TAILQ_INSERT_TAIL(&target->running, attempt, queue_entry);
	target->in_progress++;
	mmx_limits_start(target->limits, execute->account,
			 mmx_clock_now(exit->clock));
	attempt->state = MMX_ATTEMPT_RUNNING;
	attempt->started = mmx_clock_now(exit->clock);
	mmx_exit_health_start(attempt);
	mmx_histogram_add(exit->queue_time,
			  attempt->started - attempt->arrived);
	attempt->address = target->address;
	attempt->process_start = target->record.process_start;
	mmx_rate_limit_take(&target->rate_limit, attempt->started);
	call->address = target->address;
	call->repeatable = execute->repeatable;
	call->remaining = attempt->deadline - attempt->started;
	call->head = execute->head;
	execute->head = NULL;
	set_call_headers_(exit, attempt, call);
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

/*
 * Least remaining time with which an attempt may start. One that has waited
 * starts only if it is likely to finish before its deadline.
 */
static mmx_time_t min_remaining_(const mmx_attempt_t *attempt)
{
	return attempt->waited
		       ? mmx_exit_target_expected_run_time(
				 attempt->target, attempt->execute->route)
		       : 0;
}

/*
 * True for an attempt that has waited and would probably be cut off by the end
 * of this process.
 */
static bool outlasts_process_(const mmx_exit_t *exit,
			      const mmx_attempt_t *attempt, mmx_time_t now)
{
	return exit->ends_at > 0 &&
	       exit->ends_at - now <
		       PROCESS_END_HEADROOM * min_remaining_(attempt);
}

/* Refuses an attempt that would not finish in time; false when it would. */
static bool refuse_late_(mmx_exit_t *exit, mmx_attempt_t *attempt,
			 mmx_time_t now)
{
	mmx_time_t wait =
		mmx_rate_limit_wait(&attempt->target->rate_limit, 0, now);

	if (outlasts_process_(exit, attempt, now)) {
		mmx_exit_refuse_queued(exit, attempt, MMX_REASON_DRAINING);
		return true;
	}
	if (attempt->deadline - now - wait > min_remaining_(attempt))
		return false;
	mmx_counter_add(exit->expired, 1);
	mmx_exit_refuse_queued(exit, attempt,
			       attempt->deadline <= now
				       ? MMX_REASON_DEADLINE_EXCEEDED
				       : MMX_REASON_TIME_SHORT);
	return true;
}

/*
 * Sets the timer that refuses a queued attempt while its entry still has time
 * for another target. Without the timer, an attempt would wait until its
 * deadline if requests that never get a response held all slots.
 */
static void set_expiry_(mmx_exit_t *exit, const mmx_attempt_t *attempt)
{
	mmx_time_t now = mmx_clock_now(exit->clock);
	mmx_time_t run_time = mmx_exit_target_expected_run_time(
		attempt->target, attempt->execute->route);
	mmx_time_t due = MAX(attempt->deadline - run_time, now);

	if (!mmx_timer_is_set(&exit->expiry_timer) ||
	    exit->expiry_timer.due > due)
		mmx_timer_set(&exit->expiry_timer, due - now);
}

/* Sets the timer that starts the next queued attempt of a target whose limit
 * delays it. Others start when a slot becomes free. */
static void set_pace_(mmx_exit_t *exit, const mmx_exit_target_t *target,
		      mmx_time_t now)
{
	mmx_time_t wait = mmx_rate_limit_wait(&target->rate_limit, 0, now);

	if (wait > 0 && (!mmx_timer_is_set(&exit->pace_timer) ||
			 exit->pace_timer.due > now + wait))
		mmx_timer_set(&exit->pace_timer, wait);
}

void mmx_exit_on_pace(void *arg)
{
	mmx_exit_t *exit = arg;
	mmx_exit_target_t *target;

	mmx_exit_detect_pause(exit);
	LIST_FOREACH (target, &exit->targets, entry)
		mmx_exit_start_queued(exit, target);
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
		/* The timer alone is not enough: after a pause of the process,
		 * this function may run before the timer, and must not start
		 * an attempt whose deadline has passed. */
		if (refuse_late_(exit, attempt, now))
			continue;
		if (!mmx_exit_target_can_start(target, now)) {
			set_pace_(exit, target, now);
			return;
		}
		start_attempt_(exit, attempt);
	}
}

static void evict_(mmx_exit_t *exit, mmx_attempt_t *evicted,
		   const mmx_attempt_t *placed, mmx_fair_queue_cause_t cause)
{
	mmx_exit_log_evicted(exit, evicted, placed, cause);
	mmx_counter_add(exit->evicted[cause], 1);
	/* A repeat was charged when it was admitted, here or at the exit that
	 * granted it, and must not be charged again for the same run. */
	refuse_queued_(exit, evicted, MMX_REASON_BUSY,
		       evicted->execute->repeat && exit->observer &&
			       exit->observer->retry_limit);
}

/*
 * Evicts at most one attempt that starts after a newly placed one: one that can
 * no longer start in time, which gives those behind it their places back, or
 * else one from a queue that is too long. Its entry can use another target.
 */
static void make_room_(mmx_exit_t *exit, const mmx_attempt_t *placed)
{
	const mmx_exit_target_t *target = placed->target;
	mmx_fair_queue_place_t place = mmx_fair_queue_place_of(placed);
	mmx_time_t now = mmx_clock_now(exit->clock);
	mmx_attempt_t *evicted;

	if (mmx_exit_target_can_start(target, now) &&
	    mmx_exit_target_next_queued(target, now) == placed)
		return;
	evicted = mmx_exit_target_displaced(target, placed, now);
	if (evicted) {
		evict_(exit, evicted, placed, MMX_FAIR_QUEUE_DISPLACED);
		return;
	}
	if (target->queued <= MMX_EXIT_QUEUE_MAX)
		return;
	evicted = mmx_fair_queue_victim(&target->queue, &place);
	if (evicted)
		evict_(exit, evicted, placed, MMX_FAIR_QUEUE_FULL);
}

void mmx_exit_enqueue(mmx_exit_t *exit, mmx_attempt_t *attempt)
{
	mmx_exit_target_t *target = attempt->target;

	mmx_exit_target_enqueue(target, attempt, mmx_clock_now(exit->clock));
	make_room_(exit, attempt);
	mmx_exit_start_queued(exit, target);
	/* The attempt itself may have been refused and freed. */
	TAILQ_FOREACH (attempt, &target->queue, queue_entry) {
		attempt->waited = true;
		set_expiry_(exit, attempt);
	}
}

static void expire_queue_(mmx_exit_t *exit, mmx_exit_target_t *target)
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
		expire_queue_(exit, target);
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
		if (attempt->execute->max_wait < attempt->execute->remaining)
			mmx_exit_refuse_queued(exit, attempt,
					       MMX_REASON_SUSPECT);
	}
}
