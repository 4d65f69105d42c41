/* Lines of the exit: why an attempt was refused, or how its call failed. */
#include "private/exit_internal.h"

#include <glib.h>

/* Numbers as text, for the pairs of a line. */
typedef struct numbers_t {
	char in_progress[12];
	char queued[12];
	char slots[12];
	char run_ms[24];
	char probability[8];
	char evidence_ms[24];
	char remaining_ms[24];
	char patience_ms[24];
	char priority[4];
} numbers_t;

static void fill_target_(const mmx_exit_t *exit,
			 const mmx_exit_target_t *target, uint32_t route,
			 numbers_t *numbers)
{
	mmx_time_t now = mmx_clock_now(exit->clock);

	g_snprintf(numbers->in_progress, sizeof(numbers->in_progress), "%u",
		   target->in_progress);
	g_snprintf(numbers->queued, sizeof(numbers->queued), "%u",
		   target->queued);
	g_snprintf(numbers->slots, sizeof(numbers->slots), "%u",
		   mmx_exit_target_slots(target, now));
	mmx_log_format_ms(numbers->run_ms, sizeof(numbers->run_ms),
			  mmx_exit_target_expected_run_time(target, route));
	g_snprintf(numbers->probability, sizeof(numbers->probability), "%.2f",
		   mmx_fault_probability(&target->fault, now));
	mmx_log_format_ms(numbers->evidence_ms, sizeof(numbers->evidence_ms),
			  now - target->fault.updated_at);
}

void mmx_exit_log_refused(mmx_exit_t *exit, const mmx_execute_t *execute,
			  const mmx_exit_target_t *target, mmx_reason_t reason)
{
	const char *id_name = exit->header_names->request_id;
	const char *id = id_name && execute->head
				 ? mmx_head_find(execute->head, id_name)
				 : NULL;
	numbers_t numbers = {.queued = ""};

	if (!exit->log)
		return;
	if (target)
		fill_target_(exit, target, execute->route, &numbers);
	mmx_log_format_ms(numbers.remaining_ms, sizeof(numbers.remaining_ms),
			  execute->remaining);
	mmx_log_format_ms(numbers.patience_ms, sizeof(numbers.patience_ms),
			  execute->patience);
	g_snprintf(numbers.priority, sizeof(numbers.priority), "%u",
		   execute->priority);
	mmx_log_event(exit->log, MMX_LOG_INFO, "attempt_refused", "id", id,
		      "target", target ? target->record.name : "unknown",
		      "reason", mmx_reason_string[reason], "in_progress",
		      numbers.in_progress, "queued", numbers.queued, "slots",
		      numbers.slots, "run_ms", numbers.run_ms,
		      "failing_probability", numbers.probability,
		      "evidence_age_ms", numbers.evidence_ms, "remaining_ms",
		      numbers.remaining_ms, "patience_ms", numbers.patience_ms,
		      "priority", numbers.priority, NULL);
}

void mmx_exit_log_overdue(mmx_exit_t *exit, const mmx_attempt_t *attempt,
			  mmx_time_t age)
{
	char age_ms[24];
	char run_ms[24];

	if (!exit->log)
		return;
	mmx_log_format_ms(age_ms, sizeof(age_ms), age);
	mmx_log_format_ms(run_ms, sizeof(run_ms),
			  mmx_exit_target_expected_run_time(
				  attempt->target, attempt->execute->route));
	mmx_log_event(exit->log, MMX_LOG_INFO, "call_overdue", "id",
		      attempt->request_id, "target",
		      attempt->target->record.name, "age_ms", age_ms, "run_ms",
		      run_ms, NULL);
}

void mmx_exit_log_failed(mmx_exit_t *exit, const mmx_attempt_t *attempt,
			 const char *result)
{
	char took[24];
	char left[24];
	mmx_time_t now = mmx_clock_now(exit->clock);

	if (!exit->log)
		return;
	mmx_log_format_ms(took, sizeof(took), now - attempt->started);
	mmx_log_format_ms(left, sizeof(left), attempt->deadline - now);
	mmx_log_event(exit->log, MMX_LOG_INFO, "call_failed", "id",
		      attempt->request_id, "target",
		      attempt->target->record.name, "result", result, "took_ms",
		      took, "left_ms", left, NULL);
}
