/* State and functions that the files of the exit share. */
#ifndef MASTICMUX_PRIVATE_EXIT_INTERNAL_H
#define MASTICMUX_PRIVATE_EXIT_INTERNAL_H

#include "private/attempts.h"
#include "private/header_names.h"
#include "private/exit.h"
#include "masticmux/history.h"
#include "private/exit_target.h"

/* The process was paused if it handled no message or timer for longer than
 * this. */
#define MMX_EXIT_PAUSE_MIN_US MMX_US_PER_S

typedef LIST_HEAD(mmx_exit_target_list_t,
		  mmx_exit_target_t) mmx_exit_target_list_t;

struct mmx_exit_t {
	mmx_task_t task;
	mmx_clock_t *clock;
	mmx_node_id_t node;
	char node_name[MMX_NAME_MAX + 1];
	mmx_incarnation_t incarnation;
	bool initialised; /* mmx_exit_init() was called */
	const mmx_guards_t *guards;
	const mmx_header_names_t *header_names;
	bool expect_episodes; /* see mmx_exit_set_expect_episodes() */
	uint8_t cold_percent;
	const bool *reports_work; /* see mmx_exit_set_reports_work() */
	mmx_task_t *client;
	const mmx_exit_observer_ops_t *observer;
	void *observer_context;
	const mmx_config_state_t *const
		*config_state; /* NULL or to NULL: no configuration */
	mmx_log_t *log;
	struct mmx_trace_t *trace; /* NULL: no spans */
	mmx_history_t *history;
	size_t record_max; /* of attempts */
	mmx_attempts_t *attempts;
	mmx_exit_target_list_t targets;
	mmx_time_t init_time; /* of mmx_exit_init() */
	mmx_timer_t sweep_timer;
	mmx_time_t last_sweep;
	mmx_time_t last_activity; /* time of the latest message or timer */
	mmx_time_t pause_length;  /* length of the latest pause */
	mmx_time_t backlog_until; /* until then, messages may be delayed */
	mmx_timer_t expiry_timer; /* refuses late queued attempts */
	mmx_timer_t pace_timer;	  /* starts those that a limit delays */
	mmx_timer_t health_timer;
	mmx_timer_t stop_timer; /* of a delayed stop of all targets */
	mmx_time_t ends_at;	/* when the process ends; 0: not known */
	mmx_time_t last_evaluation;
	mmx_counter_t *started;
	mmx_histogram_t *queue_time;
	mmx_histogram_t *run_time;
	mmx_counter_t *refused;
	mmx_counter_t *granted;
	mmx_counter_t *replies[MMX_REPLY_KIND_COUNT][MMX_REPLY_ID_COUNT];
	mmx_counter_t *fenced;
	mmx_counter_t *expired;
	mmx_counter_t *evicted[MMX_FAIR_QUEUE_CAUSE_COUNT];
};

/* Whether entries choose targets by work; nothing is learned otherwise. */
static inline bool mmx_exit_reports_work_(const mmx_exit_t *exit)
{
	return exit->reports_work && *exit->reports_work;
}

mmx_exit_target_t *mmx_exit_find_target(const mmx_exit_t *exit,
					mmx_target_id_t id);

/*
 * Marks a target as gone and refuses its queue, because another target has
 * its address.
 */
void mmx_exit_set_target_gone(mmx_exit_t *exit, mmx_exit_target_t *target);

/* Marks a target as draining until it withdraws or a new process of it announces
 * itself, because it says in a response that it leaves. */
void mmx_exit_set_target_leaving(mmx_exit_t *exit, mmx_exit_target_t *target);

/*
 * Marks a target as gone when a request was answered by another target: those that this one
 * had replaced at the address may announce themselves again.
 */
void mmx_exit_set_target_refuted(mmx_exit_t *exit, mmx_exit_target_t *target);

/*
 * Returns false for an announcement of this target that must be ignored: it was
 * sent before the latest one, before the target withdrew, or by an earlier
 * process of the target. Remembers one that may be of an earlier process or of
 * a new one, so that a later one can decide.
 */
bool mmx_exit_order_accept(const mmx_exit_t *exit, mmx_exit_target_t *target,
			   const mmx_target_announced_t *announced);

/*
 * True for an announcement that may have been sent before the target withdrew
 * from the process of this node that ran before: it is of an unknown target and
 * arrives soon after the start. Asks the observer to have the target confirmed.
 */
bool mmx_exit_order_is_unconfirmed(const mmx_exit_t *exit,
				   const mmx_exit_target_t *target,
				   const mmx_target_announced_t *announced);

/* Records an announcement as the latest one of the target. */
void mmx_exit_order_record(const mmx_exit_t *exit, mmx_exit_target_t *target,
			   const mmx_target_announced_t *announced);

/* Removes targets that were never announced and withdrew long ago. */
void mmx_exit_order_expire(mmx_exit_t *exit);

/* Detects a pause of the process. To be called for each message and timer. */
void mmx_exit_detect_pause(mmx_exit_t *exit);

/* Handlers of messages from entries. mmx_exit_on_execute() takes ownership of
 * its message. */
void mmx_exit_on_execute(mmx_exit_t *exit, mmx_execute_t *execute);
void mmx_exit_on_cancel(mmx_exit_t *exit, const mmx_cancel_t *cancel);
void mmx_exit_on_fence(mmx_exit_t *exit, const mmx_fence_t *fence);
void mmx_exit_on_origin_lost(mmx_exit_t *exit, const mmx_origin_lost_t *lost);

/* Ends a running attempt and frees its slot. state: finished or refused. */
void mmx_exit_end_running(mmx_exit_t *exit, mmx_attempt_t *attempt,
			  mmx_attempt_state_t state);

/* Closes the connection to the target and ends the attempt as finished. */
void mmx_exit_abort_running(mmx_exit_t *exit, mmx_attempt_t *attempt);

/* Aborts all attempts that run at a target and sends refusals for them. */
void mmx_exit_abort_target(mmx_exit_t *exit, mmx_exit_target_t *target);

/* Posts a response with the load report of the target, which may be NULL. */
void mmx_exit_post_response(mmx_exit_t *exit, mmx_response_t *response,
			    const mmx_exit_target_t *target,
			    const mmx_origin_t *origin);

/*
 * Posts a response without a head. target may be NULL; started: the target may
 * have run the attempt.
 */
void mmx_exit_post_refusal(mmx_exit_t *exit, const mmx_attempt_id_t *id,
			   const mmx_origin_t *origin,
			   const mmx_exit_target_t *target, mmx_reason_t reason,
			   bool started);

/* Queues an admitted attempt, which starts at once if a slot is free. */
void mmx_exit_enqueue(mmx_exit_t *exit, mmx_attempt_t *attempt);

/* Starts queued attempts while there are free slots; refuses late ones. */
void mmx_exit_start_queued(mmx_exit_t *exit, mmx_exit_target_t *target);

/* Timer: starts queued attempts whose target has a limit. */
void mmx_exit_on_pace(void *arg);

/* Timer: refuses the queued attempts that can no longer finish in time. */
void mmx_exit_on_expiry(void *arg);

/* Refuses all queued attempts of a target because it is draining. */
void mmx_exit_refuse_queue(mmx_exit_t *exit, mmx_exit_target_t *target);

/* Refuses the queued attempts of a target that has become suspect, except those
 * with no time left for another target. */
void mmx_exit_refuse_queue_suspect(mmx_exit_t *exit, mmx_exit_target_t *target);

/* Ends a queued attempt as refused and notifies its entry unless abandoned. */
void mmx_exit_refuse_queued(mmx_exit_t *exit, mmx_attempt_t *attempt,
			    mmx_reason_t reason);

/* Handler of a result of the target client. */
void mmx_exit_on_call_event(mmx_exit_t *exit, mmx_call_event_t *event);

/*
 * Applies what the target says of itself in a response.
 *
 * kind, id: what the response is and whose request it names
 */
void mmx_exit_read_statements(mmx_exit_t *exit, const mmx_attempt_t *attempt,
			      const mmx_call_event_t *event,
			      mmx_reply_kind_t kind, mmx_reply_id_t id);

/* Handlers that take ownership of their message. */
void mmx_exit_on_body(mmx_exit_t *exit, mmx_body_t *body);
void mmx_exit_on_window(mmx_exit_t *exit, mmx_window_t *window);

/* Finds the running attempt with this id; NULL when there is none. */
mmx_attempt_t *mmx_exit_find_running(mmx_exit_t *exit,
				     const mmx_attempt_id_t *id);

/* Logs the refusal of an attempt; target may be NULL. */
void mmx_exit_log_refused(mmx_exit_t *exit, const mmx_execute_t *execute,
			  const mmx_exit_target_t *target, mmx_reason_t reason);

/* Logs the eviction of a queued attempt in favour of another. */
void mmx_exit_log_evicted(mmx_exit_t *exit, const mmx_attempt_t *evicted,
			  const mmx_attempt_t *placed,
			  mmx_fair_queue_cause_t cause);

/* Logs a running attempt that has no response at this age, microseconds. */
void mmx_exit_log_overdue(mmx_exit_t *exit, const mmx_attempt_t *attempt,
			  mmx_time_t age);

/* Logs the failed call of a running attempt. result: what failed. */
void mmx_exit_log_failed(mmx_exit_t *exit, const mmx_attempt_t *attempt,
			 const char *result);

/* Logs a response that is not passed on, with whose request it names and the
 * calls that its connection had before. */
void mmx_exit_log_reply(mmx_exit_t *exit, const mmx_attempt_t *attempt,
			const mmx_call_event_t *event, mmx_reply_kind_t kind,
			mmx_reply_id_t id);

/* Starts the span of an attempt. */
void mmx_exit_trace_arrived(mmx_exit_t *exit, mmx_attempt_t *attempt);

/* Starts the span of the call and sets the traceparent in head, the request
 * head of the call. */
void mmx_exit_trace_started(mmx_exit_t *exit, mmx_attempt_t *attempt,
			    mmx_head_t *head);

/* Finishes both spans. result: a string constant. Further calls do nothing. */
void mmx_exit_trace_ended(mmx_attempt_t *attempt, const char *result,
			  bool failed);

/* Creates the detection state of a target. */
void mmx_exit_health_init(mmx_exit_t *exit, mmx_exit_target_t *target);

/* Frees the detection state of a target. Asserts that no attempt is running. */
void mmx_exit_health_finish(mmx_exit_target_t *target);

/* Reports all queued and running attempts to detection as abandoned. */
void mmx_exit_health_abandon_all(mmx_exit_t *exit);

/* Records the entry that sent an attempt, and the latency summary in it. */
void mmx_exit_health_record_origin(mmx_exit_t *exit, mmx_exit_target_t *target,
				   const mmx_execute_t *execute);

/* Reports to detection that the attempt starts at its target. */
void mmx_exit_health_start(mmx_attempt_t *attempt);

/*
 * Reports to detection that the attempt has ended; further calls do nothing.
 * Returns true for a success that was not slow.
 */
bool mmx_exit_health_end(mmx_attempt_t *attempt, mmx_result_t result);

/*
 * Reports a result to the estimate of failure episodes, and notifies entries if
 * it makes the target suspect or clears it. Does nothing unless episodes are
 * expected.
 */
void mmx_exit_health_report_result(mmx_exit_t *exit, mmx_attempt_t *attempt,
				   mmx_fault_result_t result);

/* Records that a response with this report is sent to an entry. */
void mmx_exit_health_report_sent(const mmx_exit_target_t *target,
				 mmx_node_id_t entry,
				 const mmx_load_report_t *report);

/* Sends the load report of a target to the entries that use it. */
void mmx_exit_health_notify_entries(mmx_exit_t *exit,
				    mmx_exit_target_t *target);

/* Timer: evaluates every target and sets the timer again. */
void mmx_exit_health_on_timer(void *arg);

#endif
