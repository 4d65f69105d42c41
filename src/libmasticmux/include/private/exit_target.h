/*
 * One target beside this node: its slots, queue, ramp, retry budget and run
 * times. Owned by the exit task. Does no I/O.
 */
#ifndef MASTICMUX_PRIVATE_EXIT_TARGET_H
#define MASTICMUX_PRIVATE_EXIT_TARGET_H

#include <glib.h>

#include "masticmux/config_state.h"
#include "masticmux/detection.h"
#include "masticmux/latency.h"
#include "masticmux/retry_window.h"
#include "private/attempts.h"
#include "private/fair_queue.h"
#include "private/fault.h"
#include "private/overdue.h"
#include "private/rate_limit.h"

/* Bound on the queue of one target, in requests. */
#define MMX_EXIT_QUEUE_MAX 256

/*
 * Time after the announcement during which a leaving target still starts queued
 * requests. It must start none later than 3 s after the announcement; the
 * difference covers the interval of the sweep.
 */
#define MMX_EXIT_DRAIN_QUEUE_US (2 * MMX_US_PER_S)

/* Default share of its slots that a cold target starts with, in percent. */
#define MMX_EXIT_COLD_PERCENT 10

/* Number of routes with statistics of their own. */
#define MMX_EXIT_ROUTES_MAX 16

/* Number of replaced starts of a target that are remembered. */
#define MMX_EXIT_REPLACED_MAX 4

/*
 * What decides on the order of the announcements of a target, beside the latest
 * start and sequence (exit_order.c).
 */
typedef struct mmx_exit_order_t {
	uint64_t replaced[MMX_EXIT_REPLACED_MAX]; /* starts; 0: unused */
	unsigned int replaced_next;		  /* the oldest of them */
	/* Another start, which is taken over if its announcements go on. */
	uint64_t candidate; /* 0: none */
	uint64_t candidate_sequence;
	mmx_time_t candidate_since;
	bool left; /* the latest announcement was a withdrawal */
	mmx_time_t left_at;
} mmx_exit_order_t;

/* Statistics of the requests of one route. */
typedef struct mmx_exit_route_stats_t {
	uint32_t route; /* 0: unused */
	mmx_overdue_t run_times;
	mmx_time_t last_used;		 /* time of the latest request */
	mmx_retry_window_t route_budget; /* the route's retry budget */
} mmx_exit_route_stats_t;

/* State of one target. */
typedef struct mmx_exit_target_t {
	LIST_ENTRY(mmx_exit_target_t) entry;
	mmx_target_record_t record;
	mmx_address_t address;
	mmx_time_t lease_until;
	uint64_t sequence; /* in the latest TARGET_ANNOUNCED; 0: none */
	bool withdrawn;	   /* the process with this start has withdrawn */
	mmx_target_id_t replaced_by; /* target that took its address; 0: none */
	bool disputed; /* another target may have its address: see 421 */
	mmx_exit_order_t order;
	mmx_time_t ramp_start;
	mmx_time_t ramp_length; /* from the policy or the announcement */
	uint8_t cold_percent;	/* share of the slots at its start, 1 to 100 */
	bool stopped;		/* by a planned stop; renewals keep it */
	bool says_leaving;	/* its process does, in its responses */
	bool leaving;		/* stopped, draining or gone */
	mmx_time_t leaving_since;
	unsigned int in_progress;	 /* running attempts */
	unsigned int queued;		 /* queued attempts */
	unsigned int queued_under_floor; /* of accounts under their floor */
	unsigned int queued_limited;	 /* of accounts with any limit */
	mmx_limits_t *limits;
	mmx_rate_limit_t rate_limit; /* as the target names it */
	mmx_attempt_list_t queue;
	mmx_attempt_list_t running;
	mmx_cost_t *cost;	      /* run times of completed calls */
	mmx_time_t mean_service_time; /* smoothed run time of completed calls */
	mmx_exit_route_stats_t routes[MMX_EXIT_ROUTES_MAX];
	/* The target's part of the retry budget of its service. */
	mmx_retry_window_t retry_budget;
	mmx_fault_t fault;
	bool suspect;		    /* in a failure episode, as last notified */
	uint8_t weight;		    /* of detection, from the policy */
	mmx_detection_t *detection; /* NULL in tests of this module */
	mmx_latency_sources_t sources; /* latency at other targets, by entry */
	mmx_time_t peers_merged;       /* time of the latest merge of sources */
	GHashTable *origins; /* entries that sent requests to this target */
} mmx_exit_target_t;

/* Creates a target without slots, which the first announcement sets. */
mmx_exit_target_t *mmx_exit_target_create(mmx_target_id_t id,
					  mmx_node_id_t node,
					  mmx_incarnation_t incarnation,
					  const char *name,
					  const char *service);

/* Asserts that nothing is queued or in progress. */
void mmx_exit_target_destroy(mmx_exit_target_t *target);

/* Slots that may be used now: the ramp of a cold target lowers them. */
unsigned int mmx_exit_target_slots(const mmx_exit_target_t *target,
				   mmx_time_t now);

/* True while the ramp of a cold target lasts. */
bool mmx_exit_target_is_cold(const mmx_exit_target_t *target, mmx_time_t now);

/* True when a request may start now. */
bool mmx_exit_target_can_start(const mmx_exit_target_t *target, mmx_time_t now);

/* Parameters of a request that arrives, or is queued. Times: microseconds. */
typedef struct mmx_exit_request_t {
	const char *account;
	mmx_limits_share_t share;
	mmx_time_t remaining; /* until its deadline */
	mmx_time_t max_wait;  /* longest wait in the queue */
	mmx_time_t objective; /* latency objective; 0: none */
	uint8_t priority;     /* see MMX_PRIORITY_FIRST */
	/* Use of the account's limit, permille; 0: unknown or no limit. */
	uint16_t account_use;
	bool repeatable;
	uint32_t route; /* 0: unknown */
} mmx_exit_request_t;

/* Class of a request, from the usage of its account at the target. */
mmx_limits_class_t
mmx_exit_target_limits_class(const mmx_exit_target_t *target,
			     const mmx_exit_request_t *request, mmx_time_t now);

/*
 * Decides on a request that arrives. A request that would wait too long is
 * refused at once, so that the entry can still use another target. Requests of
 * accounts under their floor wait behind each other only.
 *
 * Returns MMX_REASON_NONE when the request may start or be queued, and
 * MMX_REASON_BUSY when only max_wait is too short for the queue, or when the
 * queue is full and none in it is a better choice for leaving it.
 */
mmx_reason_t mmx_exit_target_admit(const mmx_exit_target_t *target,
				   const mmx_exit_request_t *request,
				   mmx_time_t now);

/* Returns the queued attempt that starts next, or NULL when none may. */
mmx_attempt_t *mmx_exit_target_next_queued(const mmx_exit_target_t *target,
					   mmx_time_t now);

/* Adds an attempt to the queue, in the order of starts, or removes it. */
void mmx_exit_target_enqueue(mmx_exit_target_t *target, mmx_attempt_t *attempt,
			     mmx_time_t now);
void mmx_exit_target_dequeue(mmx_exit_target_t *target, mmx_attempt_t *attempt);

/*
 * Returns the first queued attempt behind a newly placed one that can no longer
 * meet its deadline or its longest wait; NULL when there is none. Only attempts
 * whose account's use is known are considered: that use may have let others
 * overtake them after they were admitted.
 */
mmx_attempt_t *mmx_exit_target_displaced(const mmx_exit_target_t *target,
					 const mmx_attempt_t *placed,
					 mmx_time_t now);

/* Sets the limit of the target's part of the retry budget of its service. */
void mmx_exit_target_set_retry_limit(mmx_exit_target_t *target,
				     const mmx_retry_limit_t *limit);

/*
 * Records the start of a request that is not a retry, for the retry budget.
 *
 * caller_repeat_percent: probability that the request is a call on behalf of a
 *                        retry, 0 to 100; this part of it is charged and earns
 *                        no retries
 */
void mmx_exit_target_record_request(mmx_exit_target_t *target, uint32_t route,
				    uint8_t caller_repeat_percent,
				    mmx_time_t now);

/*
 * Charges a retry to the budgets of the target and of the route; false when one
 * of them does not allow it. The budget of a route is a share of its own
 * requests plus a part of the reserve. Without it, long requests could be
 * retried on the budget that many short requests have earned, although the
 * calls of each retry use the budgets of the called services as well.
 */
bool mmx_exit_target_take_retry(mmx_exit_target_t *target, uint32_t route,
				mmx_time_t now);

/*
 * Charges a retry that this target refuses, so that another target can take it
 * without a charge; false when the budgets do not allow it.
 */
bool mmx_exit_target_grant_retry(mmx_exit_target_t *target, uint32_t route,
				 mmx_time_t now);

/* Records the run time of a completed call of a route; route 0: unknown. */
void mmx_exit_target_record_run_time(mmx_exit_target_t *target, uint32_t route,
				     mmx_time_t run_time, mmx_time_t now);

/*
 * Expected run time of a request: the mean of its route, or that of all routes
 * while none of the route has completed; 0 when nothing is known.
 */
mmx_time_t mmx_exit_target_expected_run_time(const mmx_exit_target_t *target,
					     uint32_t route);

/*
 * Age from which a running request of a route is overdue, later while the
 * target is cold; MMX_TIME_NEVER when neither run times nor an objective are
 * known. objective: latency objective; 0: none.
 */
mmx_time_t mmx_exit_target_overdue_limit(const mmx_exit_target_t *target,
					 uint32_t route, mmx_time_t objective,
					 mmx_time_t now);

/*
 * True while queued requests may start. A target that leaves serves its queue
 * for MMX_EXIT_DRAIN_QUEUE_US; entries send the remaining requests to other
 * targets. A target that is gone does not serve its queue.
 */
bool mmx_exit_target_serves_queue(const mmx_exit_target_t *target,
				  mmx_time_t now);

/* Updates leaving and leaving_since from the state and a planned stop. */
void mmx_exit_target_update_leaving(mmx_exit_target_t *target, mmx_time_t now);

/*
 * Sets the outstanding work in a load report: the expected remaining time of
 * the running attempts and the expected run time of the queued ones, by the run
 * times at this target and for each of its slots. Leaves it unknown until a call
 * has completed.
 *
 * ended: attempt that has just completed and is not counted; NULL: none
 */
void mmx_exit_target_report_work(const mmx_exit_target_t *target,
				 const mmx_attempt_id_t *ended, mmx_time_t now,
				 mmx_load_report_t *report);

/* Fills the load report that responses carry, without outstanding work. */
void mmx_exit_target_report(const mmx_exit_target_t *target, mmx_time_t now,
			    mmx_load_report_t *report);

#endif
