/* Detection at the exit, and messages to entries about changes of a target. */
#include "private/exit_internal.h"

#include <glib.h>

/* Entries that sent a request within this time are notified of changes of the
 * state and level of a target. */
#define NOTIFY_MAX_AGE_US (60 * MMX_US_PER_S)
/* Entries that sent a request within this time are notified that a target has
 * become suspect. The others learn it from their next response: messages to
 * all of them at each change would saturate the links between regions. */
#define NOTIFY_SUSPECT_MAX_AGE_US (5 * MMX_US_PER_S)
/* Minimum interval between merges of the latency at other targets. */
#define PEERS_INTERVAL_US MMX_US_PER_S

/* An entry that sent requests to a target. */
typedef struct origin_t {
	mmx_node_id_t node;
	mmx_origin_t origin;
	mmx_time_t last_request;
	bool notified_suspect; /* its latest report says suspect */
} origin_t;

static uint8_t detection_weight_(const mmx_exit_t *exit, const char *service)
{
	mmx_policy_t policy;

	if (!exit->config_state || !*exit->config_state ||
	    !mmx_config_state_get_service_policy(*exit->config_state, service,
						 &policy))
		return 0;
	return policy.detection_weight;
}

void mmx_exit_health_init(mmx_exit_t *exit, mmx_exit_target_t *target)
{
	target->weight = detection_weight_(exit, target->record.service);
	target->detection = mmx_detection_create(exit->clock, target->weight);
	target->peers_merged = -PEERS_INTERVAL_US;
	target->origins = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
}

void mmx_exit_health_finish(mmx_exit_target_t *target)
{
	mmx_detection_destroy(target->detection);
	g_hash_table_destroy(target->origins);
}

static void abandon_(mmx_attempt_t *attempt, void *arg)
{
	mmx_exit_health_end(attempt, MMX_RESULT_ABANDONED);
}

void mmx_exit_health_abandon_all(mmx_exit_t *exit)
{
	mmx_attempts_foreach_active(exit->attempts, abandon_, NULL);
}

void mmx_exit_health_record_origin(mmx_exit_t *exit, mmx_exit_target_t *target,
				   const mmx_execute_t *execute)
{
	mmx_time_t now = mmx_clock_now(exit->clock);
	mmx_node_id_t node = execute->attempt.entry;
	origin_t *origin = g_hash_table_lookup(target->origins, &node);

	if (!origin) {
		origin = g_new0(origin_t, 1);
		origin->node = node;
		g_hash_table_insert(target->origins, &origin->node, origin);
	}
	origin->origin = execute->origin;
	origin->last_request = now;
	if (execute->peers)
		mmx_latency_sources_set(&target->sources, node, execute->peers,
					now);
}

void mmx_exit_health_start(mmx_attempt_t *attempt)
{
	attempt->detection_active = true;
	mmx_detection_start(attempt->target->detection, &attempt->detection,
			    attempt->trial);
}

static void post_evidence_(mmx_exit_t *exit, const mmx_exit_target_t *target,
			   const origin_t *origin)
{
	mmx_evidence_t *evidence = mmx_new_evidence();

	evidence->exit = exit->node;
	evidence->origin = origin->origin;
	mmx_exit_target_report(target, mmx_clock_now(exit->clock),
			       &evidence->load);
	mmx_task_post(origin->origin.task, &evidence->message);
}

void mmx_exit_health_notify_entries(mmx_exit_t *exit, mmx_exit_target_t *target)
{
	mmx_time_t now = mmx_clock_now(exit->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, target->origins);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const origin_t *origin = value;

		if (now - origin->last_request > NOTIFY_MAX_AGE_US)
			g_hash_table_iter_remove(&iter);
		else
			post_evidence_(exit, target, origin);
	}
}

/*
 * Notifies entries that a target has become suspect, or that it no longer is.
 * In the second case, only entries that still take it for suspect are notified.
 */
static void notify_suspicion_(mmx_exit_t *exit, mmx_exit_target_t *target)
{
	mmx_time_t now = mmx_clock_now(exit->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, target->origins);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		origin_t *origin = value;
		bool recent =
			now - origin->last_request <= NOTIFY_SUSPECT_MAX_AGE_US;

		if (target->suspect ? recent : origin->notified_suspect)
			post_evidence_(exit, target, origin);
		origin->notified_suspect =
			target->suspect && (recent || origin->notified_suspect);
	}
}

void mmx_exit_health_report_sent(const mmx_exit_target_t *target,
				 mmx_node_id_t entry,
				 const mmx_load_report_t *report)
{
	origin_t *origin = g_hash_table_lookup(target->origins, &entry);

	if (origin && target->suspect)
		origin->notified_suspect = report->level >= MMX_HEALTH_SUSPECT;
}

void mmx_exit_health_report_result(mmx_exit_t *exit, mmx_attempt_t *attempt,
				   mmx_fault_result_t result)
{
	mmx_exit_target_t *target = attempt->target;
	mmx_time_t now = mmx_clock_now(exit->clock);
	bool suspect;
	char probability[16];

	if (!exit->expect_episodes)
		return;
	mmx_fault_report(&target->fault, result, now);
	suspect = mmx_fault_is_suspect(&target->fault, now);
	if (suspect == target->suspect)
		return;
	target->suspect = suspect;
	g_snprintf(probability, sizeof(probability), "%.2f",
		   target->fault.failing_probability);
	mmx_log_event(exit->log, MMX_LOG_INFO, "target_suspect", "target",
		      target->record.name, "suspect", suspect ? "yes" : "no",
		      "result", mmx_fault_result_string[result], "probability",
		      probability, NULL);
	notify_suspicion_(exit, target);
	if (suspect)
		mmx_exit_refuse_queue_suspect(exit, target);
}

bool mmx_exit_health_end(mmx_attempt_t *attempt, mmx_result_t result)
{
	if (!attempt->detection_active)
		return false;
	attempt->detection_active = false;
	return mmx_detection_finish(attempt->target->detection,
				    &attempt->detection, result);
}

static void merge_peers_(mmx_exit_target_t *target, mmx_time_t now)
{
	mmx_latency_summary_t peers;

	if (now - target->peers_merged < PEERS_INTERVAL_US)
		return;
	target->peers_merged = now;
	mmx_latency_sources_merge(&target->sources, now, &peers);
	mmx_detection_set_peers(target->detection, &peers);
}

/* Records the evidence for a change of level, for "masticmux explain". */
static void record_level_(mmx_exit_t *exit, const mmx_exit_target_t *target)
{
	const mmx_detection_t *detection = target->detection;
	const mmx_health_evidence_t *evidence =
		mmx_detection_evidence(detection);

	mmx_history_target(exit->history, target->record.id,
			   "level %s: evidence %s, value %.1f, threshold %.1f",
			   mmx_health_string[mmx_detection_level(detection)],
			   mmx_evidence_kind_string[evidence->kind],
			   evidence->value, evidence->threshold);
}

static void evaluate_target_(mmx_exit_t *exit, mmx_exit_target_t *target,
			     mmx_time_t now)
{
	uint8_t weight = detection_weight_(exit, target->record.service);

	if (target->suspect && !mmx_fault_is_suspect(&target->fault, now)) {
		target->suspect = false;
		notify_suspicion_(exit, target);
	}
	if (weight != target->weight)
		mmx_detection_set_weight(target->detection, weight);
	target->weight = weight;
	merge_peers_(target, now);
	if (!mmx_detection_evaluate(target->detection))
		return;
	mmx_log_event(exit->log, MMX_LOG_INFO, "target_level", "target",
		      target->record.name, "level",
		      mmx_health_string[mmx_detection_level(target->detection)],
		      "evidence",
		      mmx_evidence_kind_string
			      [mmx_detection_evidence(target->detection)->kind],
		      NULL);
	record_level_(exit, target);
	mmx_exit_health_notify_entries(exit, target);
}

typedef struct overdue_attempts_t {
	mmx_time_t now;
	GPtrArray *attempts;
} overdue_attempts_t;

static void collect_overdue_(mmx_attempt_t *attempt, void *arg)
{
	overdue_attempts_t *overdue = arg;

	if (attempt->state != MMX_ATTEMPT_RUNNING ||
	    attempt->overdue_reported || attempt->head_received ||
	    overdue->now - attempt->started <
		    mmx_exit_target_overdue_limit(
			    attempt->target, attempt->execute->route,
			    attempt->execute->objective, overdue->now))
		return;
	g_ptr_array_add(overdue->attempts, attempt);
}

/*
 * Reports overdue attempts to the fault estimate. A target that accepts
 * requests and never answers is detected by their age, long before their
 * deadline, which may be many times the usual run time away. The reports may
 * end queued attempts, but no running one, so that the collected pointers stay
 * valid.
 */
static void report_overdue_(mmx_exit_t *exit, mmx_time_t now)
{
	overdue_attempts_t overdue = {.now = now,
				      .attempts = g_ptr_array_new()};
	guint i;

	mmx_attempts_foreach_active(exit->attempts, collect_overdue_, &overdue);
	for (i = 0; i < overdue.attempts->len; i++) {
		mmx_attempt_t *attempt = g_ptr_array_index(overdue.attempts, i);

		attempt->overdue_reported = true;
		mmx_exit_log_overdue(exit, attempt, now - attempt->started);
		mmx_exit_health_report_result(exit, attempt, MMX_FAULT_OVERDUE);
	}
	g_ptr_array_free(overdue.attempts, TRUE);
}

static bool has_running_(const mmx_exit_t *exit)
{
	const mmx_exit_target_t *target;

	LIST_FOREACH (target, &exit->targets, entry)
		if (target->in_progress > 0)
			return true;
	return false;
}

void mmx_exit_health_on_timer(void *arg)
{
	mmx_exit_t *exit = arg;
	mmx_time_t now = mmx_clock_now(exit->clock);
	bool paused = now - exit->last_evaluation > MMX_EXIT_PAUSE_MIN_US;
	mmx_exit_target_t *target;

	mmx_exit_detect_pause(exit);
	exit->last_evaluation = now;
	mmx_timer_set(&exit->health_timer, MMX_DETECTION_PERIOD_US);
	/* Responses that arrived while this process was paused have not been
	 * read yet, so the age of requests in progress is misleading. */
	if (paused)
		return;
	if (exit->expect_episodes && has_running_(exit))
		report_overdue_(exit, now);
	LIST_FOREACH (target, &exit->targets, entry)
		evaluate_target_(exit, target, now);
}
