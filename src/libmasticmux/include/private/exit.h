/*
 * The exit: the admission control of the targets beside this node, and the only
 * place where attempts at them start. It alone decides on slots, queueing,
 * draining, cold start, expiry, at-most-once execution and fencing, by its own
 * clock, so that none of them needs agreement between nodes.
 *
 * The exit is a task without sockets. It receives EXECUTE, BODY, WINDOW,
 * CANCEL, FENCE and ORIGIN_LOST from entries (directly or through the peer
 * task), TARGET_ANNOUNCED from announce, and CALL_EVENT, BODY and WINDOW from
 * target_client.
 *
 * Usage: create, set options, init, post messages, destroy.
 */
#ifndef MASTICMUX_PRIVATE_EXIT_H
#define MASTICMUX_PRIVATE_EXIT_H

#include "masticmux/counters.h"
#include "masticmux/history.h"
#include "masticmux/config_state.h"
#include "masticmux/log.h"
#include "masticmux/retry_window.h"
#include "private/header_names.h"
#include "private/guards.h"
#include "private/messages.h"

typedef struct mmx_exit_t mmx_exit_t;

/* Callbacks of the exit; context is that of mmx_exit_set_observer(). */
typedef struct mmx_exit_observer_ops_t {
	/* Called at each change of a target's record, for directory and
	 * gossip. */
	void (*target_changed)(void *context,
			       const mmx_target_record_t *record);
	/* Sets the reserve and window of the limit to one target's part of the
	 * retry budget of the service. NULL: entries keep the budget. */
	void (*retry_limit)(void *context, const char *service,
			    mmx_retry_limit_t *limit);
	/* Requests that the target beside this node is asked whether it is to
	 * be used; the answer is an assumed TARGET_ANNOUNCED. Called for each
	 * announcement that is not taken over because it may be outdated. NULL:
	 * every announcement of an unknown target is taken over. */
	void (*target_unconfirmed)(void *context);
} mmx_exit_observer_ops_t;

/* runtime outlives the result. */
mmx_exit_t *mmx_exit_create(mmx_runtime_t *runtime, mmx_node_id_t node,
			    const char *node_name,
			    mmx_incarnation_t incarnation);

/* Destroys the exit with its targets and attempts. NULL is allowed. */
void mmx_exit_destroy(mmx_exit_t *exit);

/*
 * Options. They are valid before init; afterwards they change nothing and
 * return false. What they point to outlives the exit.
 */
bool mmx_exit_set_target_client(mmx_exit_t *exit, mmx_task_t *client);
bool mmx_exit_set_observer(mmx_exit_t *exit, const mmx_exit_observer_ops_t *ops,
			   void *context);
bool mmx_exit_set_config_state(mmx_exit_t *exit,
			       const mmx_config_state_t *const *config_state);
bool mmx_exit_set_counters(mmx_exit_t *exit, mmx_counters_t *counters);
struct mmx_trace_t;
bool mmx_exit_set_trace(mmx_exit_t *exit, struct mmx_trace_t *trace);
bool mmx_exit_set_history(mmx_exit_t *exit, mmx_history_t *history);
bool mmx_exit_set_log(mmx_exit_t *exit, mmx_log_t *log);

/* Headers that targets use. */
bool mmx_exit_set_header_names(mmx_exit_t *exit,
			       const mmx_header_names_t *header_names);

/*
 * expected: targets fail for some seconds at a time. Errors then go to the
 *           estimate of failure episodes (see fault.h) and not to detection,
 *           which needs more requests.
 */
bool mmx_exit_set_expect_episodes(mmx_exit_t *exit, bool expected);

/*
 * percent: share of the slots that a cold target starts with, 1 to 100,
 *          asserted. 100 disables the ramp, for targets that are only slower
 *          while they are cold: after a power failure all targets of a service
 *          are cold, and a ramp would refuse requests that they can serve.
 */
bool mmx_exit_set_cold_percent(mmx_exit_t *exit, uint8_t percent);

/*
 * reports: true while responses carry the outstanding work of the target, which
 *          nodes of earlier releases cannot decode; NULL: they never do.
 *          Outlives the exit and may change at any time.
 */
bool mmx_exit_set_reports_work(mmx_exit_t *exit, const bool *reports);

/* Bound on the records of ended attempts, 1 or more, asserted by init. */
bool mmx_exit_set_record_max(mmx_exit_t *exit, size_t record_max);

/* For tests only. */
bool mmx_exit_set_guards(mmx_exit_t *exit, const mmx_guards_t *guards);

/* Starts the timers. Asserts that the target client was set. Valid once. */
void mmx_exit_init(mmx_exit_t *exit);

/* The task that receives the messages. Valid after create. */
mmx_task_t *mmx_exit_task(mmx_exit_t *exit);

/*
 * Starts a planned stop of a target: from now on no attempt is admitted, and
 * running ones are finished. Queued attempts start within 2 s or are refused.
 *
 * Returns false when this node has no target of that name.
 */
bool mmx_exit_stop_target(mmx_exit_t *exit, const char *name);

/*
 * Starts a planned stop of every target, for a node that shuts down.
 *
 * delay: microseconds for which new attempts are still admitted; 0: none
 */
void mmx_exit_stop_all(mmx_exit_t *exit, mmx_time_t delay);

/*
 * Sets when this process ends, which cuts off the attempts that still run then.
 * Queued attempts that would probably not complete by then are refused, so that
 * their entries can use another target.
 *
 * end: clock reading, microseconds
 */
void mmx_exit_set_end(mmx_exit_t *exit, mmx_time_t end);

/* Number of requests queued or running at a target, or at all if name is
 * NULL. */
size_t mmx_exit_in_progress(const mmx_exit_t *exit, const char *name);

/*
 * Percentage of repeats, which are retries at another target, among the running
 * requests whose latency objective is longer than the given one, in
 * microseconds; 0 if there are no such requests. A call that a target makes for
 * a request has a shorter objective than that request. Therefore, this is the
 * probability that a request from this instance with the given objective is
 * such a call on behalf of a retry.
 */
uint8_t mmx_exit_repeat_percent(const mmx_exit_t *exit, mmx_time_t objective);

/* Fills the load report of a target; false when the target is unknown. */
bool mmx_exit_load(const mmx_exit_t *exit, mmx_target_id_t id,
		   mmx_load_report_t *report);

#endif
