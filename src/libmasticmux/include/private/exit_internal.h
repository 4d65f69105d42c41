/* State and functions that the files of the exit share. */
#ifndef MASTICMUX_PRIVATE_EXIT_INTERNAL_H
#define MASTICMUX_PRIVATE_EXIT_INTERNAL_H

#include "private/attempts.h"
#include "private/header_names.h"
#include "private/exit.h"
#include "masticmux/history.h"
#include "private/exit_target.h"

/* A timer that comes this late tells that the process was paused. */
#define MMX_EXIT_PAUSE_MIN_US MMX_US_PER_S

typedef LIST_HEAD(mmx_exit_target_list_t,
		  mmx_exit_target_t) mmx_exit_target_list_t;

struct mmx_exit_t {
	mmx_task_t task;
	mmx_clock_t *clock;
	mmx_node_id_t node;
	char node_name[MMX_NAME_MAX + 1];
	mmx_incarnation_t incarnation;
	bool running;
	const mmx_guards_t *guards;
	const mmx_header_names_t *header_names;
	bool expect_episodes; /* see mmx_exit_set_expect_episodes() */
	uint8_t cold_percent;
	mmx_task_t *client;
	const mmx_exit_observer_ops_t *observer;
	void *observer_context;
	const mmx_fold_t *const *fold;
	mmx_log_t *log;
	struct mmx_trace_t *trace; /* NULL: no spans */
	mmx_history_t *history;
	size_t record_max;
	mmx_attempts_t *attempts;
	mmx_exit_target_list_t targets;
	mmx_timer_t sweep_timer;
	mmx_time_t last_sweep;
	mmx_time_t last_activity; /* time of the latest message or timer */
	mmx_time_t pause_length;  /* length of the latest pause */
	mmx_time_t backlog_until; /* messages may be from before it */
	mmx_timer_t expiry; /* of queued attempts; set while there are any */
	mmx_timer_t health;
	mmx_time_t last_evaluation;
	mmx_counter_t *started;
	mmx_histogram_t *queue_time;
	mmx_histogram_t *run_time;
	mmx_counter_t *refused;
	mmx_counter_t *granted;
	mmx_counter_t *fenced;
	mmx_counter_t *expired;
};

/* --- exit.c ------------------------------------------------------------ */

mmx_exit_target_t *mmx_exit_find_target(const mmx_exit_t *exit,
					mmx_target_id_t id);

/* Another target answers at the address of this one. */
void mmx_exit_set_target_gone(mmx_exit_t *exit, mmx_exit_target_t *target);

/* Notices a pause of the process; called for each message. */
void mmx_exit_detect_pause(mmx_exit_t *exit);

/* --- exit_attempt.c ---------------------------------------------------- */

/* Each takes the message of an entry; execute is owned from then on. */
void mmx_exit_on_execute(mmx_exit_t *exit, mmx_execute_t *execute);
void mmx_exit_on_cancel(mmx_exit_t *exit, const mmx_cancel_t *cancel);
void mmx_exit_on_fence(mmx_exit_t *exit, const mmx_fence_t *fence);
void mmx_exit_on_origin_lost(mmx_exit_t *exit, const mmx_origin_lost_t *lost);

/* Ends a running attempt; frees its slot. */
void mmx_exit_end_running(mmx_exit_t *exit, mmx_attempt_t *attempt,
			  mmx_attempt_state_t state);

/* Closes the connection to the target and ends the attempt. */
void mmx_exit_abort_running(mmx_exit_t *exit, mmx_attempt_t *attempt);

/* Cuts everything that runs at a target. */
void mmx_exit_abort_target(mmx_exit_t *exit, mmx_exit_target_t *target);

void mmx_exit_post_response(mmx_exit_t *exit, mmx_response_t *response,
			    const mmx_exit_target_t *target,
			    const mmx_origin_t *origin);
void mmx_exit_post_refusal(mmx_exit_t *exit, const mmx_attempt_id_t *id,
			   const mmx_origin_t *origin,
			   const mmx_exit_target_t *target, mmx_reason_t reason,
			   bool started);

/* --- exit_queue.c ------------------------------------------------------ */

/* Queues an attempt that was admitted; it starts at once if it may. */
void mmx_exit_enqueue(mmx_exit_t *exit, mmx_attempt_t *attempt);

/* Starts queued attempts while there are slots. */
void mmx_exit_start_queued(mmx_exit_t *exit, mmx_exit_target_t *target);

/* Refuses the queued attempts that would not end in time any more. */
void mmx_exit_on_expiry(void *arg);

/* Gives every queued attempt back to its entry. */
void mmx_exit_refuse_queue(mmx_exit_t *exit, mmx_exit_target_t *target);

/* The same for those that their entry would send to another target: this one
 * has become suspect. */
void mmx_exit_refuse_queue_suspect(mmx_exit_t *exit, mmx_exit_target_t *target);

/* Ends a queued attempt that never starts. */
void mmx_exit_refuse_queued(mmx_exit_t *exit, mmx_attempt_t *attempt,
			    mmx_reason_t reason);

/* --- exit_call.c ------------------------------------------------------- */

void mmx_exit_on_call_event(mmx_exit_t *exit, mmx_call_event_t *event);

/* Both own the message from then on. */
void mmx_exit_on_body(mmx_exit_t *exit, mmx_body_t *body);
void mmx_exit_on_window(mmx_exit_t *exit, mmx_window_t *window);

/* The running attempt of this id, or NULL. */
mmx_attempt_t *mmx_exit_find_running(mmx_exit_t *exit,
				     const mmx_attempt_id_t *id);

/* --- exit_log.c -------------------------------------------------------- */

/* An attempt is refused; target may be NULL. */
void mmx_exit_log_refused(mmx_exit_t *exit, const mmx_execute_t *execute,
			  const mmx_exit_target_t *target, mmx_reason_t reason);
/* A running attempt has no answer yet at this age. */
void mmx_exit_log_overdue(mmx_exit_t *exit, const mmx_attempt_t *attempt,
			  mmx_time_t age);
/* The call of a running attempt has failed; result: a string constant. */
void mmx_exit_log_failed(mmx_exit_t *exit, const mmx_attempt_t *attempt,
			 const char *result);

/* --- exit_trace.c ------------------------------------------------------ */

void mmx_exit_trace_arrived(mmx_exit_t *exit, mmx_attempt_t *attempt);
/* head: of the call; gets the traceparent for the target. */
void mmx_exit_trace_started(mmx_exit_t *exit, mmx_attempt_t *attempt,
			    mmx_head_t *head);
/* result: a string constant. Allowed again afterwards. */
void mmx_exit_trace_ended(mmx_attempt_t *attempt, const char *result,
			  bool failed);

/* --- exit_health.c ----------------------------------------------------- */

void mmx_exit_health_init(mmx_exit_t *exit, mmx_exit_target_t *target);

/* Asserts that nothing is judged any more. */
void mmx_exit_health_finish(mmx_exit_target_t *target);

/* Ends the judgement of all that runs. */
void mmx_exit_health_abandon_all(mmx_exit_t *exit);

/* Notes who sent an attempt, and the distribution that came with it. */
void mmx_exit_health_record_origin(mmx_exit_t *exit, mmx_exit_target_t *target,
				   const mmx_execute_t *execute);

/* The attempt starts at its target. */
void mmx_exit_health_start(mmx_attempt_t *attempt);

/*
 * The attempt has ended for detection; allowed again afterwards. Returns true
 * for a success that was not slow.
 */
bool mmx_exit_health_end(mmx_attempt_t *attempt, mmx_result_t result);

/* Reports a result to the estimate of failure episodes. */
void mmx_exit_health_report_result(mmx_exit_t *exit, mmx_attempt_t *attempt,
				   mmx_fault_result_t result);

/* A response to an entry carries this report. */
void mmx_exit_health_report_sent(const mmx_exit_target_t *target,
				 mmx_node_id_t entry,
				 const mmx_load_report_t *report);

/* Tells the entries that use a target its state and level. */
void mmx_exit_health_notify_entries(mmx_exit_t *exit,
				    mmx_exit_target_t *target);

/* Evaluates every target; sets its timer again. */
void mmx_exit_health_on_timer(void *arg);

#endif
