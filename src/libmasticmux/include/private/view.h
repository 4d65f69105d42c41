/*
 * An entry's view of the services that it sends requests to: the balance,
 * ejection, retry budget and latency window of each service, and the path to
 * each exit.
 *
 * Targets are taken from the directory, health levels and loads from the
 * reports of the exits, and the rest from the attempts of this entry. Does no
 * I/O.
 *
 * Usage: create; choose and start each attempt, and finish it once; report
 * responses and messages; destroy.
 */
#ifndef MASTICMUX_PRIVATE_VIEW_H
#define MASTICMUX_PRIVATE_VIEW_H

#include "masticmux/ejection.h"
#include "masticmux/config_state.h"
#include "masticmux/path.h"
#include "masticmux/random.h"
#include "private/cost.h"
#include "private/guards.h"
#include "private/messages.h"

/* Source of the membership of other nodes; each function may be NULL. */
typedef struct mmx_view_members_ops_t {
	mmx_locality_t (*locality)(void *context, mmx_node_id_t node);
	/* MMX_AVAILABLE, MMX_AVAILABILITY_UNREACHABLE or _DEAD. */
	mmx_availability_t (*availability)(void *context, mmx_node_id_t node);
	/* Incarnation of an exit, 0 for any. If NULL, the incarnation in the
	 * directory is used. */
	mmx_incarnation_t (*incarnation)(void *context, mmx_node_id_t node);
} mmx_view_members_ops_t;

/* The objects that are pointed to outlive the view. */
typedef struct mmx_view_config_t {
	mmx_clock_t *clock;
	mmx_random_t *random;
	const mmx_directory_t *directory;
	const mmx_config_state_t *const
		*config_state;		       /* *config_state may be NULL */
	const mmx_view_members_ops_t *members; /* NULL: same zone, available */
	void *members_context;
	const mmx_guards_t *guards;
	/* The exits keep the retry budget instead of this entry. */
	bool budget_at_exits;
	/* True while targets are chosen by work; NULL: by requests. */
	const bool *by_work;
} mmx_view_config_t;

typedef struct mmx_view_t mmx_view_t;

mmx_view_t *mmx_view_create(const mmx_view_config_t *config);
void mmx_view_destroy(mmx_view_t *view);

/* Target that was chosen for an attempt. */
typedef struct mmx_view_choice_t {
	mmx_target_id_t target;
	mmx_node_id_t node;
	mmx_incarnation_t incarnation;
	mmx_locality_t locality;
	bool trial;
	mmx_balance_estimate_t load_estimate; /* before this attempt */
	mmx_time_t cost; /* expected run time; 0: chosen by requests */
} mmx_view_choice_t;

/*
 * Sets the relative cost in a request, so that its target is chosen by work if
 * the setting says so and the run times of the service are uneven.
 */
void mmx_view_set_cost(mmx_view_t *view, const char *service,
		       mmx_cost_key_t key, mmx_balance_request_t *request);

/* Records the run time of a completed request, as its exit measured it. */
void mmx_view_learn_cost(mmx_view_t *view, const char *service,
			 mmx_cost_key_t key, mmx_time_t run_time);

/*
 * Chooses a target of a service and counts the attempt as outstanding. Returns
 * false if there is no capacity.
 */
bool mmx_view_start_attempt(mmx_view_t *view, const char *service,
			    const mmx_balance_request_t *request,
			    mmx_view_choice_t *choice);

/* Ends a started attempt, with any result. */
void mmx_view_finish_attempt(mmx_view_t *view, mmx_target_id_t target,
			     mmx_node_id_t node);

/* Result of a trial. */
typedef enum mmx_view_trial_result_t {
	MMX_VIEW_TRIAL_GOOD,
	MMX_VIEW_TRIAL_BAD,
	MMX_VIEW_TRIAL_REFUSED, /* another trial is in progress */
	MMX_VIEW_TRIAL_COUNT
} mmx_view_trial_result_t;

extern const char *const mmx_view_trial_result_string[MMX_VIEW_TRIAL_COUNT];

void mmx_view_finish_trial(mmx_view_t *view, mmx_target_id_t target,
			   mmx_view_trial_result_t result);

/* Reports a complete response; latency as seen by the exit, microseconds. */
void mmx_view_completed(mmx_view_t *view, mmx_target_id_t target,
			mmx_time_t latency, bool error);

/* Reports load and health level, from a response or an EVIDENCE message. */
void mmx_view_report_load(mmx_view_t *view, const mmx_load_report_t *report);

/* Stops using a target that says in a response that it leaves, until a new
 * process of it announces itself. */
void mmx_view_target_leaves(mmx_view_t *view, mmx_target_id_t target);

/* Takes a token of the retry budget; false if a retry is not allowed. */
bool mmx_view_take_retry(mmx_view_t *view, const char *service);

/*
 * Latency summary of the other targets of the service, to be sent to the exit
 * of this target with the next attempt; owned by the caller. NULL if one was
 * sent less than a second ago, or if the target is unknown or in another
 * region.
 */
mmx_latency_summary_t *mmx_view_summary(mmx_view_t *view,
					mmx_target_id_t target);

/* Report progress, a loss, or the answer to a query on the path to an exit. */
void mmx_view_path_progress(mmx_view_t *view, mmx_node_id_t node);
void mmx_view_path_lost(mmx_view_t *view, mmx_node_id_t node,
			bool connect_failed);
void mmx_view_path_on_fence_result(mmx_view_t *view, mmx_node_id_t node,
				   mmx_path_fence_result_t answer);

/* True if the floor of every service holds, computed from the targets alone. */
bool mmx_view_floor_holds(const mmx_view_t *view);

/* Ejection state of a target; false if it is unknown. */
bool mmx_view_info(const mmx_view_t *view, mmx_target_id_t target,
		   mmx_ejection_info_t *info);

#endif
