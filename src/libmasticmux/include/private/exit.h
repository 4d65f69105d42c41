/*
 * The exit: the admission point of the targets beside this node, and the only
 * place where work for a target starts. It decides on slots, queue, draining,
 * cold start, expiry, at-most-once and fencing on its own clock, so none of
 * them needs agreement between nodes.
 *
 * A task without sockets: it receives EXECUTE, BODY, WINDOW, CANCEL, FENCE and
 * ORIGIN_LOST from entries (direct or by the peer task), TARGET_ANNOUNCED from
 * announce, and CALL_EVENT, BODY and WINDOW from target_client.
 *
 * Life: create, set options, init, (messages), destroy.
 */
#ifndef MASTICMUX_PRIVATE_EXIT_H
#define MASTICMUX_PRIVATE_EXIT_H

#include "masticmux/counters.h"
#include "masticmux/history.h"
#include "masticmux/fold.h"
#include "masticmux/log.h"
#include "masticmux/retry_window.h"
#include "private/header_names.h"
#include "private/guards.h"
#include "private/messages.h"

typedef struct mmx_exit_t mmx_exit_t;

/* Told of every change of a target's record, for directory and gossip. */
typedef struct mmx_exit_observer_ops_t {
	void (*target_changed)(void *context,
			       const mmx_target_record_t *record);
	/* Sets reserve and window to the part of a target of this service in
	 * the service's retry budget; NULL: entries keep the budget. */
	void (*retry_limit)(void *context, const char *service,
			    mmx_retry_limit_t *limit);
} mmx_exit_observer_ops_t;

mmx_exit_t *mmx_exit_create(mmx_runtime_t *runtime, mmx_node_id_t node,
			    const char *node_name,
			    mmx_incarnation_t incarnation);
void mmx_exit_destroy(mmx_exit_t *exit);

/* Options; valid before init only, false afterwards. */
bool mmx_exit_set_target_client(mmx_exit_t *exit, mmx_task_t *client);
bool mmx_exit_set_observer(mmx_exit_t *exit, const mmx_exit_observer_ops_t *ops,
			   void *context);
bool mmx_exit_set_fold(mmx_exit_t *exit, const mmx_fold_t *const *fold);
bool mmx_exit_set_counters(mmx_exit_t *exit, mmx_counters_t *counters);
struct mmx_trace_t;
bool mmx_exit_set_trace(mmx_exit_t *exit, struct mmx_trace_t *trace);
bool mmx_exit_set_history(mmx_exit_t *exit, mmx_history_t *history);
bool mmx_exit_set_log(mmx_exit_t *exit, mmx_log_t *log);

/* Headers of targets; outlives the exit. */
bool mmx_exit_set_header_names(mmx_exit_t *exit,
			       const mmx_header_names_t *dialect);

/*
 * Targets are expected to fail for seconds at a time (see fault.h): errors are
 * judged by that estimate instead of detection, which needs more requests.
 */
bool mmx_exit_set_expect_episodes(mmx_exit_t *exit, bool expected);

/*
 * Share of its slots that a cold target starts with, 1 to 100. Targets that
 * are only slower while they are cold need no ramp: after a loss of power all
 * targets of a service are cold, and a ramp would refuse what they can serve.
 */
bool mmx_exit_set_cold_percent(mmx_exit_t *exit, uint8_t percent);

/* Bound on the ended attempts that are remembered, 1 or more. */
bool mmx_exit_set_record_max(mmx_exit_t *exit, size_t record_max);

/* For tests only; what it points to outlives the exit. */
bool mmx_exit_set_guards(mmx_exit_t *exit, const mmx_guards_t *guards);

/* Asserts that the target client was set. */
void mmx_exit_init(mmx_exit_t *exit);

/* The task that messages are posted to. Valid after create. */
mmx_task_t *mmx_exit_task(mmx_exit_t *exit);

/*
 * Planned stop of a target: nothing new is admitted from now on, what is in
 * progress is finished. What is queued starts within 2 s or is given back to
 * its entry.
 *
 * Returns false when no target of that name is beside this node.
 */
bool mmx_exit_stop_target(mmx_exit_t *exit, const char *name);

/* Planned stop of every target, for a node that leaves. */
void mmx_exit_stop_all(mmx_exit_t *exit);

/* Requests queued or running at a target; all targets if name is NULL. */
size_t mmx_exit_in_progress(const mmx_exit_t *exit, const char *name);

/*
 * Share in percent of the running requests with a longer objective than the
 * one given that are repeats. A call that a target makes for a request has a
 * shorter objective than that request, so this is the probability that a
 * request from this instance is such a call of a repeat.
 */
uint8_t mmx_exit_repeat_percent(const mmx_exit_t *exit, mmx_time_t objective);

/* Load of a target as it would be reported now; false when unknown. */
bool mmx_exit_load(const mmx_exit_t *exit, mmx_target_id_t id,
		   mmx_load_report_t *report);

#endif
