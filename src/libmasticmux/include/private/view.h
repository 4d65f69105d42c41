/*
 * What an entry knows of the services that it sends requests to: per service
 * the balance, ejection, retry budget and latency window, per exit the path.
 *
 * Targets come from the directory, levels and loads from the reports of the
 * exits, everything else from the attempts of this entry. Does no I/O.
 *
 * Usage: create; choose and start each attempt, finish it once; report what
 * arrives; destroy.
 */
#ifndef MASTICMUX_PRIVATE_VIEW_H
#define MASTICMUX_PRIVATE_VIEW_H

#include "masticmux/ejection.h"
#include "masticmux/fold.h"
#include "masticmux/path.h"
#include "masticmux/random.h"
#include "private/guards.h"
#include "private/messages.h"

/* What the entry is told about the other nodes; each may be NULL. */
typedef struct mmx_view_members_ops_t {
	mmx_locality_t (*locality)(void *context, mmx_node_id_t node);
	/* MMX_AVAILABLE, MMX_AVAILABILITY_UNREACHABLE or _DEAD. */
	mmx_availability_t (*availability)(void *context, mmx_node_id_t node);
	/* Incarnation of an exit, 0 when any is meant; without it the one of
	 * the directory. */
	mmx_incarnation_t (*incarnation)(void *context, mmx_node_id_t node);
} mmx_view_members_ops_t;

/* What the pointers refer to outlives the view. */
typedef struct mmx_view_config_t {
	mmx_clock_t *clock;
	mmx_random_t *random;
	const mmx_directory_t *directory;
	const mmx_fold_t *const *fold;	       /* *fold may be NULL */
	const mmx_view_members_ops_t *members; /* NULL: all near, available */
	void *members_context;
	const mmx_guards_t *guards;
	/* The exits keep the retry budget; else this entry does. */
	bool budget_at_exits;
} mmx_view_config_t;

typedef struct mmx_view_t mmx_view_t;

mmx_view_t *mmx_view_create(const mmx_view_config_t *config);
void mmx_view_destroy(mmx_view_t *view);

/* Where an attempt goes. */
typedef struct mmx_view_choice_t {
	mmx_target_id_t target;
	mmx_node_id_t node;
	mmx_incarnation_t incarnation;
	mmx_locality_t locality;
	bool trial;
	mmx_balance_estimate_t load_estimate; /* before this attempt */
} mmx_view_choice_t;

/*
 * Chooses a target of a service and counts the attempt as outstanding.
 *
 * Returns false when there is no capacity.
 */
bool mmx_view_start_attempt(mmx_view_t *view, const char *service,
			    const mmx_balance_request_t *request,
			    mmx_view_choice_t *choice);

/* An attempt that was started has ended, in whatever way. */
void mmx_view_finish_attempt(mmx_view_t *view, mmx_target_id_t target,
			     mmx_node_id_t node);

/* How a trial ended. */
typedef enum mmx_view_trial_result_t {
	MMX_VIEW_TRIAL_GOOD,
	MMX_VIEW_TRIAL_BAD,
	MMX_VIEW_TRIAL_REFUSED, /* another one is in progress */
	MMX_VIEW_TRIAL_COUNT
} mmx_view_trial_result_t;

extern const char *const mmx_view_trial_result_string[MMX_VIEW_TRIAL_COUNT];

void mmx_view_finish_trial(mmx_view_t *view, mmx_target_id_t target,
			   mmx_view_trial_result_t result);

/* A response was received whole; latency as at the exit, microseconds. */
void mmx_view_completed(mmx_view_t *view, mmx_target_id_t target,
			mmx_time_t latency, bool error);

/* Load and level, from a response or an EVIDENCE message. */
void mmx_view_report_load(mmx_view_t *view, const mmx_load_report_t *report);

/* Takes a token of the retry budget; false when there is none. */
bool mmx_view_take_retry(mmx_view_t *view, const char *service);

/*
 * Distribution at the other targets, for the exit of this one; to be sent with
 * the next attempt. NULL when it was sent less than a second ago.
 */
mmx_latency_summary_t *mmx_view_summary(mmx_view_t *view,
					mmx_target_id_t target);

/* The path to an exit: something came, was lost, or was asked about. */
void mmx_view_path_progress(mmx_view_t *view, mmx_node_id_t node);
void mmx_view_path_lost(mmx_view_t *view, mmx_node_id_t node,
			bool connect_failed);
void mmx_view_path_answer(mmx_view_t *view, mmx_node_id_t node,
			  mmx_path_fence_result_t answer);

/* The floor of every service holds, computed from the targets alone. */
bool mmx_view_floor_holds(const mmx_view_t *view);

/* View of a target; false when unknown. */
bool mmx_view_info(const mmx_view_t *view, mmx_target_id_t target,
		   mmx_ejection_info_t *info);

#endif
