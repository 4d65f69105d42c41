/* Log lines of the exit: refused attempts, overdue calls and failed calls. */
#include "private/exit_internal.h"

#include <glib.h>

/* Values of a log line, formatted. */
typedef struct values_t {
	char in_progress[12];
	char queued[12];
	char slots[12];
	char limit_wait_ms[24];
	char run_ms[24];
	char probability[8];
	char evidence_ms[24];
	char remaining_ms[24];
	char patience_ms[24];
	char priority[4];
} values_t;

static void format_target_(const mmx_exit_t *exit,
			   const mmx_exit_target_t *target, uint32_t route,
			   values_t *values)
{
	mmx_time_t now = mmx_clock_now(exit->clock);

	g_snprintf(values->in_progress, sizeof(values->in_progress), "%u",
		   target->in_progress);
	g_snprintf(values->queued, sizeof(values->queued), "%u",
		   target->queued);
	g_snprintf(values->slots, sizeof(values->slots), "%u",
		   mmx_exit_target_slots(target, now));
	mmx_log_format_ms(
		values->limit_wait_ms, sizeof(values->limit_wait_ms),
		mmx_rate_limit_wait(&target->rate_limit, target->queued, now));
	mmx_log_format_ms(values->run_ms, sizeof(values->run_ms),
			  mmx_exit_target_expected_run_time(target, route));
	g_snprintf(values->probability, sizeof(values->probability), "%.2f",
		   mmx_fault_probability(&target->fault, now));
	mmx_log_format_ms(values->evidence_ms, sizeof(values->evidence_ms),
			  now - target->fault.updated_at);
}

void mmx_exit_log_refused(mmx_exit_t *exit, const mmx_execute_t *execute,
			  const mmx_exit_target_t *target, mmx_reason_t reason)
{
	const char *id_name = exit->header_names->request_id;
	const char *id = id_name && execute->head
				 ? mmx_head_find(execute->head, id_name)
				 : NULL;
	values_t values = {.queued = ""};

	if (!exit->log)
		return;
	if (target)
		format_target_(exit, target, execute->route, &values);
	mmx_log_format_ms(values.remaining_ms, sizeof(values.remaining_ms),
			  execute->remaining);
	mmx_log_format_ms(values.patience_ms, sizeof(values.patience_ms),
			  execute->max_wait);
	g_snprintf(values.priority, sizeof(values.priority), "%u",
		   execute->priority);
	mmx_log_event(exit->log, MMX_LOG_INFO, "attempt_refused", "id", id,
		      "target", target ? target->record.name : "unknown",
		      "reason", mmx_reason_string[reason], "in_progress",
		      values.in_progress, "queued", values.queued, "slots",
		      values.slots, "limit_wait_ms", values.limit_wait_ms,
		      "run_ms", values.run_ms, "failing_probability",
		      values.probability, "evidence_age_ms", values.evidence_ms,
		      "remaining_ms", values.remaining_ms, "patience_ms",
		      values.patience_ms, "priority", values.priority, NULL);
}

void mmx_exit_log_evicted(mmx_exit_t *exit, const mmx_attempt_t *evicted,
			  const mmx_attempt_t *placed,
			  mmx_fair_queue_cause_t cause)
{
	const mmx_execute_t *execute = evicted->execute;
	const mmx_execute_t *by = placed->execute;
	char waited_ms[24];
	char queued[12];
	char use[8];
	char by_use[8];
	char priority[4];
	char by_priority[4];

	if (!exit->log)
		return;
	mmx_log_format_ms(waited_ms, sizeof(waited_ms),
			  mmx_clock_now(exit->clock) - evicted->arrived);
	g_snprintf(queued, sizeof(queued), "%u", evicted->target->queued);
	g_snprintf(use, sizeof(use), "%u", execute->account_use);
	g_snprintf(by_use, sizeof(by_use), "%u", by->account_use);
	g_snprintf(priority, sizeof(priority), "%u", execute->priority);
	g_snprintf(by_priority, sizeof(by_priority), "%u", by->priority);
	mmx_log_event(exit->log, MMX_LOG_INFO, "attempt_evicted", "target",
		      evicted->target->record.name, "cause",
		      mmx_fair_queue_cause_string[cause], "account",
		      execute->account, "use_permille", use, "priority",
		      priority, "by_account", by->account, "by_use_permille",
		      by_use, "by_priority", by_priority, "queued", queued,
		      "waited_ms", waited_ms, NULL);
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

/* Times of the call of an attempt. */
static void format_call_(const mmx_exit_t *exit, const mmx_attempt_t *attempt,
			 char took_ms[24], char left_ms[24])
{
	mmx_time_t now = mmx_clock_now(exit->clock);

	mmx_log_format_ms(took_ms, 24, now - attempt->started);
	mmx_log_format_ms(left_ms, 24, attempt->deadline - now);
}

void mmx_exit_log_failed(mmx_exit_t *exit, const mmx_attempt_t *attempt,
			 const char *result)
{
	char took_ms[24];
	char left_ms[24];

	if (!exit->log)
		return;
	format_call_(exit, attempt, took_ms, left_ms);
	mmx_log_event(exit->log, MMX_LOG_INFO, "call_failed", "id",
		      attempt->request_id, "target",
		      attempt->target->record.name, "result", result, "took_ms",
		      took_ms, "left_ms", left_ms, NULL);
}

void mmx_exit_log_reply(mmx_exit_t *exit, const mmx_attempt_t *attempt,
			const mmx_call_event_t *event, mmx_reply_kind_t kind,
			mmx_reply_id_t id)
{
	char took_ms[24];
	char left_ms[24];
	char status[12];
	char earlier_calls[12];

	if (!exit->log)
		return;
	format_call_(exit, attempt, took_ms, left_ms);
	g_snprintf(status, sizeof(status), "%d", event->head->status);
	g_snprintf(earlier_calls, sizeof(earlier_calls), "%u",
		   event->earlier_calls);
	mmx_log_event(
		exit->log, MMX_LOG_INFO, "call_failed", "id",
		attempt->request_id, "target", attempt->target->record.name,
		"result", mmx_reply_kind_string[kind], "status", status,
		"response_id", mmx_reply_id_string[id], "earlier_calls",
		earlier_calls, "took_ms", took_ms, "left_ms", left_ms, NULL);
}
