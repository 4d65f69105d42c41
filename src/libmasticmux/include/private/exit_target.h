/*
 * One target beside this node, as the exit sees it: slots, queue, warm-up,
 * lease. Owned by the exit task.
 */
#ifndef MASTICMUX_PRIVATE_EXIT_TARGET_H
#define MASTICMUX_PRIVATE_EXIT_TARGET_H

#include <glib.h>

#include "masticmux/fold.h"
#include "masticmux/detection.h"
#include "masticmux/latency.h"
#include "masticmux/retry_window.h"
#include "private/attempts.h"
#include "private/fault.h"
#include "private/overdue.h"

/* Longest queue of one target, whatever its speed, in requests. */
#define MMX_EXIT_QUEUE_MAX 256
/*
 * A leaving target gets nothing new 3 s after the announcement; the margin
 * covers the interval of the sweep.
 */
#define MMX_EXIT_DRAIN_QUEUE_US (2 * MMX_US_PER_S)

/* A cold target starts with this share of its slots, unless it is set. */
#define MMX_EXIT_COLD_PERCENT 10

/* Routes that are known apart from the others. */
#define MMX_EXIT_ROUTES_MAX 16

/* What is known of the requests of one route. */
typedef struct mmx_exit_route_stats_t {
	uint32_t route;		 /* 0: unused */
	mmx_overdue_t run_times; /* run times */
	mmx_time_t last_used;	 /* time of the latest request */
	mmx_retry_window_t route_budget;
} mmx_exit_route_stats_t;

typedef struct mmx_exit_target_t {
	LIST_ENTRY(mmx_exit_target_t) entry;
	mmx_target_record_t record;
	mmx_address_t address;
	mmx_time_t lease_until;
	uint64_t process_start; /* latest announcement, see TARGET_ANNOUNCED */
	uint64_t sequence;
	bool left;	       /* withdrawn by the process that was born then */
	mmx_time_t ramp_start; /* start of the ramp */
	mmx_time_t ramp_length; /* length of the ramp, from the policy */
	uint8_t cold_percent;	/* share of the slots at its start, 1 to 100 */
	bool stopped;		/* by a planned stop; outlives renewals */
	bool leaving;		/* stopped, draining or gone */
	mmx_time_t leaving_since;
	unsigned int in_progress;
	unsigned int queued;
	unsigned int queued_under_floor; /* of accounts under their floor */
	unsigned int queued_limited;	 /* of accounts with any limit */
	mmx_limits_t *limits;
	mmx_attempt_list_t queue;
	mmx_time_t mean_service_time; /* smoothed time of a completed call */
	mmx_exit_route_stats_t routes[MMX_EXIT_ROUTES_MAX];
	mmx_retry_window_t
		retry_budget; /* this target's part of the retry budget */
	mmx_fault_t fault;
	bool suspect;		    /* as entries were told */
	uint8_t weight;		    /* of detection, from the policy */
	mmx_detection_t *detection; /* NULL in tests of this module */
	mmx_latency_sources_t sources;
	mmx_time_t peers_merged;
	GHashTable *origins; /* entries that sent requests here */
} mmx_exit_target_t;

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

/* A request that has just arrived, or one that is queued. */
typedef struct mmx_exit_request_t {
	const char *account;
	mmx_limits_share_t share;
	mmx_time_t remaining;
	mmx_time_t max_wait;  /* longest wait in the queue */
	mmx_time_t objective; /* wanted latency; 0: none */
	uint8_t priority;
	bool repeatable;
	uint32_t route; /* 0: unknown */
} mmx_exit_request_t;

mmx_limits_class_t
mmx_exit_target_limits_class(const mmx_exit_target_t *target,
			     const mmx_exit_request_t *request, mmx_time_t now);

/*
 * Decides on a request that has just arrived: MMX_REASON_NONE when it may
 * start or queue. A request that would wait too long is refused at once, so
 * that the entry can still use another target. Requests of accounts under
 * their floor wait behind each other only.
 */
mmx_reason_t mmx_exit_target_admit(const mmx_exit_target_t *target,
				   const mmx_exit_request_t *request,
				   mmx_time_t now);

/* The queued attempt that is next to start; NULL when none may. */
mmx_attempt_t *mmx_exit_target_next_queued(const mmx_exit_target_t *target,
					   mmx_time_t now);

void mmx_exit_target_enqueue(mmx_exit_target_t *target, mmx_attempt_t *attempt,
			     mmx_time_t now);
void mmx_exit_target_dequeue(mmx_exit_target_t *target, mmx_attempt_t *attempt);

/* Limit of this target's part of the retry budget of its service. */
void mmx_exit_target_set_retry_limit(mmx_exit_target_t *target,
				     const mmx_retry_limit_t *limit);

/*
 * Notes the start of a request that is no repeat. inherited: chance in percent
 * that a repeat of another request makes it, see EXECUTE.
 */
void mmx_exit_target_record_request(mmx_exit_target_t *target, uint32_t route,
				    uint8_t inherited, mmx_time_t now);

/*
 * Takes a repeat from the budget; false when it must not be made. A route may
 * repeat a share of its own requests and a part of the reserve: a request that
 * makes calls spends the budgets of the services that it calls as well, and
 * could otherwise be repeated for what many short requests have earned.
 */
bool mmx_exit_target_take_retry(mmx_exit_target_t *target, uint32_t route,
				mmx_time_t now);

/*
 * Charges a repeat that this target cannot make to its budget, so that another
 * one can; false when there is none to give.
 */
bool mmx_exit_target_grant_retry(mmx_exit_target_t *target, uint32_t route,
				 mmx_time_t now);

/* Notes a completed call of a route that took this long. */
void mmx_exit_target_record_run_time(mmx_exit_target_t *target, uint32_t route,
				     mmx_time_t took, mmx_time_t now);

/* Expected run time of a request: that of its route, if any has completed. */
mmx_time_t mmx_exit_target_expected_run_time(const mmx_exit_target_t *target,
					     uint32_t route);

/*
 * Age from which a running request of a route is overdue, later while the
 * target is cold; MMX_TIME_NEVER when nothing is known.
 */
mmx_time_t mmx_exit_target_overdue_limit(const mmx_exit_target_t *target,
					 uint32_t route, mmx_time_t objective,
					 mmx_time_t now);

/*
 * True while queued requests may still start. A target that leaves works
 * through its queue for MMX_EXIT_DRAIN_QUEUE_US; entries send the rest
 * elsewhere. One that is gone starts nothing.
 */
bool mmx_exit_target_serves_queue(const mmx_exit_target_t *target,
				  mmx_time_t now);

/* Notes whether the target leaves, from its state and a planned stop. */
void mmx_exit_target_update_leaving(mmx_exit_target_t *target, mmx_time_t now);

/* Fills the report that is piggybacked on responses. */
void mmx_exit_target_report(const mmx_exit_target_t *target,
			    mmx_load_report_t *report);

#endif
