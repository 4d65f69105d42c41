/*
 * Calls of running attempts: results from the target client, and bodies and
 * windows in both directions.
 */
#include "private/exit_internal.h"

#include <assert.h>
#include <event2/buffer.h>
#include <glib.h>

mmx_attempt_t *mmx_exit_find_running(mmx_exit_t *exit,
				     const mmx_attempt_id_t *id)
{
	mmx_attempt_t *attempt;

	if (mmx_attempts_find(exit->attempts, id, &attempt) !=
		    MMX_ATTEMPT_KNOWN ||
	    attempt->state != MMX_ATTEMPT_RUNNING)
		return NULL;
	return attempt;
}

/* Reports a failed call to detection and to the fault estimate. */
static void report_failure_(mmx_exit_t *exit, mmx_attempt_t *attempt,
			    bool started)
{
	/* The target client closes the connection at the deadline, so that a
	 * failure from then on is a time-out. */
	bool late = mmx_clock_now(exit->clock) >= attempt->deadline;

	if (!started || !late)
		mmx_exit_health_report_result(exit, attempt, MMX_FAULT_BROKEN);
	else if (!attempt->overdue_reported)
		mmx_exit_health_report_result(exit, attempt, MMX_FAULT_LATE);
	mmx_exit_health_end(attempt, (started && late) || exit->expect_episodes
					     ? MMX_RESULT_ABANDONED
					     : MMX_RESULT_ERROR);
	if (!started && !late && !exit->expect_episodes)
		mmx_detection_connection_refused(attempt->target->detection);
}

/*
 * Reports a response to detection and returns true for a success that was not
 * slow. The run time ends when the response is complete, or longer than entries
 * buffer: from then on it depends on how fast the caller reads. A trial ends
 * with the response head, because the message with the head carries the result
 * to the entry.
 */
static bool report_response_(mmx_exit_t *exit, mmx_attempt_t *attempt,
			     size_t length, bool end)
{
	attempt->response_bytes += length;
	if (!end && !attempt->trial &&
	    attempt->response_bytes <= MMX_HELD_BODY_MAX)
		return false;
	if (!attempt->server_error)
		return mmx_exit_health_end(attempt, MMX_RESULT_SUCCESS);
	return mmx_exit_health_end(attempt, exit->expect_episodes
						    ? MMX_RESULT_ABANDONED
						    : MMX_RESULT_ERROR);
}

static void on_call_failure_(mmx_exit_t *exit, mmx_attempt_t *attempt,
			     const mmx_call_event_t *event)
{
	bool started = event->result != MMX_CALL_NOT_SENT;

	mmx_exit_log_failed(exit, attempt,
			    mmx_call_result_string[event->result]);
	if (!attempt->abandoned)
		mmx_exit_post_refusal(exit, &attempt->id, &attempt->origin,
				      attempt->target, MMX_REASON_TARGET_FAILED,
				      started);
	attempt->fence_reply_pending = false;
	report_failure_(exit, attempt, started);
	/* Only a part of the response may have arrived. */
	mmx_attempts_drop_response(exit->attempts, attempt);
	mmx_exit_end_running(exit, attempt,
			     started ? MMX_ATTEMPT_FINISHED
				     : MMX_ATTEMPT_REFUSED);
}

/* Ends an attempt whose response is not forwarded. */
static void drop_response_(mmx_exit_t *exit, mmx_attempt_t *attempt,
			   mmx_reason_t reason, bool started, bool ended)
{
	mmx_response_t *response = mmx_new_response(&attempt->id);

	if (!ended)
		mmx_task_post(exit->client,
			      &mmx_new_call_cancel(&attempt->id)->message);
	response->reason = reason;
	response->started = started;
	response->offered = true;
	response->body_end = true;
	if (!attempt->abandoned)
		mmx_exit_post_response(exit, response, attempt->target,
				       &attempt->origin);
	else
		mmx_message_destroy(&response->message);
	attempt->fence_reply_pending = false;
	mmx_exit_end_running(exit, attempt,
			     started ? MMX_ATTEMPT_FINISHED
				     : MMX_ATTEMPT_REFUSED);
}

/*
 * A request that may run only once must not be answered with a status that
 * callers take for "has not run" on the status alone, nor on a rejection that
 * may be a late copy of one that the target gave to another request.
 */
static mmx_reply_kind_t classify_(const mmx_exit_t *exit,
				  const mmx_attempt_t *attempt,
				  const mmx_call_event_t *event,
				  mmx_reply_id_t id)
{
	mmx_reply_kind_t kind = mmx_reply_classify(
		exit->header_names, event->head, attempt->request_id);

	if (mmx_reply_is_rejection(kind) && id == MMX_REPLY_ID_NONE &&
	    event->earlier_calls > 0)
		return attempt->repeatable ? MMX_REPLY_NOT_RUN
					   : MMX_REPLY_UNPROVEN;
	return kind == MMX_REPLY_UNPROVEN && attempt->repeatable
		       ? MMX_REPLY_VALID
		       : kind;
}

/*
 * Returns true for the target's response to this request. Otherwise ends the
 * attempt.
 */
static bool accept_response_(mmx_exit_t *exit, mmx_attempt_t *attempt,
			     const mmx_call_event_t *event)
{
	mmx_exit_target_t *target = attempt->target;
	mmx_reply_id_t id = mmx_reply_identify(exit->header_names, event->head,
					       attempt->request_id);
	mmx_reply_kind_t kind = classify_(exit, attempt, event, id);

	mmx_counter_add(exit->replies[kind][id], 1);
	mmx_exit_read_statements(exit, attempt, event, kind, id);
	if (kind != MMX_REPLY_VALID)
		mmx_exit_log_reply(exit, attempt, event, kind, id);
	switch (kind) {
	case MMX_REPLY_NOT_RUN:
		mmx_exit_health_end(attempt, MMX_RESULT_ABANDONED);
		drop_response_(exit, attempt, MMX_REASON_OVERLOADED, false,
			       event->body_end);
		return false;
	case MMX_REPLY_WRONG_TARGET:
		mmx_exit_health_end(attempt, MMX_RESULT_ABANDONED);
		/* The target may have another address by now. */
		if (mmx_address_is_equal(&attempt->address, &target->address))
			mmx_exit_set_target_refuted(exit, target);
		drop_response_(exit, attempt, MMX_REASON_DRAINING, false,
			       event->body_end);
		return false;
	case MMX_REPLY_MISMATCHED:
		mmx_exit_health_report_result(exit, attempt, MMX_FAULT_BROKEN);
		mmx_exit_health_end(attempt, MMX_RESULT_ERROR);
		drop_response_(exit, attempt, MMX_REASON_TARGET_FAILED, true,
			       event->body_end);
		return false;
	case MMX_REPLY_UNPROVEN:
		mmx_exit_health_report_result(exit, attempt, MMX_FAULT_STATUS);
		mmx_exit_health_end(attempt, exit->expect_episodes
						     ? MMX_RESULT_ABANDONED
						     : MMX_RESULT_ERROR);
		drop_response_(exit, attempt, MMX_REASON_TARGET_FAILED, true,
			       event->body_end);
		return false;
	default:
		return true;
	}
}

static void record_run_time_(const mmx_exit_t *exit,
			     const mmx_attempt_t *attempt, mmx_time_t now)
{
	mmx_time_t run_time = now - attempt->started;

	mmx_exit_target_record_run_time(attempt->target,
					attempt->execute->route, run_time, now);
	/* A target that fails at once is not a fast one. */
	if (mmx_exit_reports_work_(exit) && !attempt->server_error)
		mmx_cost_add(attempt->target->cost, attempt->cost_key, run_time,
			     now);
}

static void on_call_head_(mmx_exit_t *exit, mmx_attempt_t *attempt,
			  mmx_call_event_t *event)
{
	mmx_response_t *response = mmx_new_response(&attempt->id);
	mmx_time_t now = mmx_clock_now(exit->clock);
	bool end = event->body_end;

	attempt->head_received = true;
	attempt->server_error = event->head->status >= 500;
	if (attempt->server_error)
		mmx_exit_health_report_result(exit, attempt, MMX_FAULT_STATUS);
	else if (end)
		mmx_exit_health_report_result(exit, attempt, MMX_FAULT_SUCCESS);
	response->good = report_response_(
		exit, attempt, evbuffer_get_length(event->body), end);
	mmx_attempts_store_head(exit->attempts, attempt, event->head);
	mmx_attempts_store_body(exit->attempts, attempt, event->body);
	response->head = event->head;
	event->head = NULL;
	evbuffer_add_buffer(response->body, event->body);
	response->body_end = end;
	response->queue_time = attempt->started - attempt->arrived;
	response->target_time = now - attempt->started;
	if (end)
		record_run_time_(exit, attempt, now);
	if (!attempt->abandoned)
		mmx_exit_post_response(exit, response, attempt->target,
				       &attempt->origin);
	else
		mmx_message_destroy(&response->message);
	attempt->completed = end;
	if (end)
		mmx_exit_end_running(exit, attempt, MMX_ATTEMPT_FINISHED);
}

void mmx_exit_on_call_event(mmx_exit_t *exit, mmx_call_event_t *event)
{
	mmx_attempt_t *attempt = mmx_exit_find_running(exit, &event->attempt);

	if (!attempt)
		return;
	if (event->result != MMX_CALL_HEAD)
		on_call_failure_(exit, attempt, event);
	else if (accept_response_(exit, attempt, event))
		on_call_head_(exit, attempt, event);
}

static void on_target_body_(mmx_exit_t *exit, mmx_body_t *body)
{
	mmx_attempt_t *attempt = mmx_exit_find_running(exit, &body->attempt);
	bool end = body->end;
	bool failed = body->failed;

	if (!attempt) {
		mmx_message_destroy(&body->message);
		return;
	}
	if (failed) {
		mmx_exit_log_failed(exit, attempt, "response body truncated");
		mmx_exit_health_report_result(exit, attempt, MMX_FAULT_BROKEN);
		mmx_exit_health_end(attempt, MMX_RESULT_ERROR);
	} else {
		if (end && !attempt->server_error)
			mmx_exit_health_report_result(exit, attempt,
						      MMX_FAULT_SUCCESS);
		report_response_(exit, attempt, evbuffer_get_length(body->data),
				 end);
	}
	mmx_attempts_store_body(exit->attempts, attempt, body->data);
	if (attempt->abandoned || attempt->fence_reply_pending) {
		mmx_message_destroy(&body->message);
	} else {
		body->exit = exit->node;
		body->origin = attempt->origin;
		mmx_task_post(attempt->origin.task, &body->message);
	}
	if (!end)
		return;
	if (failed) {
		/* Only a part of the response was stored. */
		mmx_attempts_drop_response(exit->attempts, attempt);
	} else {
		attempt->completed = true;
		record_run_time_(exit, attempt, mmx_clock_now(exit->clock));
	}
	mmx_exit_end_running(exit, attempt, MMX_ATTEMPT_FINISHED);
}

static void on_request_body_(mmx_exit_t *exit, mmx_body_t *body)
{
	mmx_attempt_t *attempt;

	if (mmx_attempts_find(exit->attempts, &body->attempt, &attempt) !=
		    MMX_ATTEMPT_KNOWN ||
	    !attempt->execute || attempt->execute->body_end) {
		mmx_message_destroy(&body->message);
		return;
	}
	if (attempt->state == MMX_ATTEMPT_RUNNING) {
		attempt->execute->body_end = body->end;
		mmx_task_post(exit->client, &body->message);
		return;
	}
	evbuffer_add_buffer(attempt->execute->body, body->data);
	attempt->execute->body_end = body->end;
	if (body->failed)
		mmx_exit_refuse_queued(exit, attempt, MMX_REASON_BAD_REQUEST);
	mmx_message_destroy(&body->message);
}

void mmx_exit_on_window(mmx_exit_t *exit, mmx_window_t *window)
{
	mmx_attempt_t *attempt = mmx_exit_find_running(exit, &window->attempt);

	if (!attempt) {
		mmx_message_destroy(&window->message);
	} else if (window->direction == MMX_TO_CALLER) {
		mmx_task_post(exit->client, &window->message);
	} else {
		window->exit = exit->node;
		window->origin = attempt->origin;
		mmx_task_post(attempt->origin.task, &window->message);
	}
}

void mmx_exit_on_body(mmx_exit_t *exit, mmx_body_t *body)
{
	if (body->direction == MMX_TO_TARGET)
		on_request_body_(exit, body);
	else
		on_target_body_(exit, body);
}
