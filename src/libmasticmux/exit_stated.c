/* What targets say of themselves in their responses. */
#include "private/exit_internal.h"

#include <glib.h>

static void log_limit_(const mmx_exit_t *exit, const mmx_exit_target_t *target)
{
	char rate[G_ASCII_DTOSTR_BUF_SIZE] = "none";

	if (target->rate_limit.active)
		g_ascii_formatd(rate, sizeof(rate), "%.3f",
				target->rate_limit.rate);
	mmx_log_event(exit->log, MMX_LOG_INFO, "target_limit", "target",
		      target->record.name, "service", target->record.service,
		      "per_s", rate, NULL);
}

/* A limit holds for as long as successes name it; one that cannot be read
 * changes nothing. */
static void read_limit_(mmx_exit_t *exit, mmx_exit_target_t *target,
			const mmx_head_t *head, mmx_reply_kind_t kind)
{
	const char *name = exit->header_names->limit;
	mmx_rate_limit_t *limit = &target->rate_limit;
	bool was_active = limit->active;
	double old_rate = limit->rate;
	double rate;

	if (!name)
		return;
	if (mmx_reply_parse_limit(exit->header_names, head, &rate))
		mmx_rate_limit_set(limit, rate, mmx_clock_now(exit->clock));
	else if (kind == MMX_REPLY_VALID && head->status < 500 &&
		 !mmx_head_find(head, name))
		mmx_rate_limit_clear(limit);
	if (was_active != limit->active ||
	    (was_active && old_rate != limit->rate))
		log_limit_(exit, target);
}

void mmx_exit_read_statements(mmx_exit_t *exit, const mmx_attempt_t *attempt,
			      const mmx_call_event_t *event,
			      mmx_reply_kind_t kind, mmx_reply_id_t id)
{
	mmx_exit_target_t *target = attempt->target;

	/* It may be of another target, or a late copy. */
	if (kind == MMX_REPLY_MISMATCHED || kind == MMX_REPLY_WRONG_TARGET ||
	    (id == MMX_REPLY_ID_NONE && event->earlier_calls > 0))
		return;
	/* It may be of an earlier process of the target. */
	if (attempt->process_start != target->record.process_start)
		return;
	read_limit_(exit, target, event->head, kind);
	if (mmx_reply_says_leaving(exit->header_names, event->head))
		mmx_exit_set_target_leaving(exit, target);
}
