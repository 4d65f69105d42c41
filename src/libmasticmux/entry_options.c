/* Options of the entry; each is refused after init. */
#include "private/entry_internal.h"

bool mmx_entry_set_http(mmx_entry_t *entry, mmx_task_t *http)
{
	if (entry->running)
		return false;
	entry->http = http;
	return true;
}

bool mmx_entry_set_peer(mmx_entry_t *entry, mmx_task_t *peer)
{
	if (entry->running)
		return false;
	entry->peer = peer;
	return true;
}

bool mmx_entry_set_local_exit(mmx_entry_t *entry, mmx_task_t *exit)
{
	if (entry->running)
		return false;
	entry->local_exit = exit;
	return true;
}

bool mmx_entry_set_trace(mmx_entry_t *entry, struct mmx_trace_t *trace)
{
	if (entry->running)
		return false;
	entry->trace = trace;
	return true;
}

bool mmx_entry_set_history(mmx_entry_t *entry, mmx_history_t *history)
{
	if (entry->running)
		return false;
	entry->history = history;
	return true;
}

bool mmx_entry_set_log(mmx_entry_t *entry, mmx_log_t *log)
{
	if (entry->running)
		return false;
	entry->log = log;
	return true;
}

mmx_log_t *mmx_entry_log(const mmx_entry_t *entry)
{
	return entry->log;
}

bool mmx_entry_set_claims(mmx_entry_t *entry, mmx_task_t *claims)
{
	if (entry->running)
		return false;
	entry->claims = claims;
	return true;
}

bool mmx_entry_set_config_state(mmx_entry_t *entry,
				const mmx_config_state_t *const *config_state)
{
	if (entry->running)
		return false;
	entry->config_state = config_state;
	return true;
}

bool mmx_entry_set_directory(mmx_entry_t *entry,
			     const mmx_directory_t *directory)
{
	if (entry->running)
		return false;
	entry->directory = directory;
	return true;
}

static void register_metrics_(mmx_entry_t *entry, mmx_counters_t *counters)
{
	char labels[64];
	int i;

	for (i = 0; i < MMX_OUTCOME_COUNT; i++) {
		g_snprintf(labels, sizeof(labels), "outcome=\"%s\"",
			   mmx_outcome_string[i]);
		entry->outcome[i] = mmx_counters_get(
			counters, MMX_COUNTER, "masticmux_requests_total",
			labels, "Answers given to callers.");
		entry->latency[i] = mmx_counters_histogram(
			counters, "masticmux_request_seconds", labels,
			"Time from the head of a request to its answer.");
	}
	for (i = MMX_REASON_NONE + 1; i < MMX_REASON_COUNT; i++) {
		g_snprintf(labels, sizeof(labels), "reason=\"%s\"",
			   mmx_reason_string[i]);
		entry->reason[i] = mmx_counters_get(
			counters, MMX_COUNTER, "masticmux_refusals_total",
			labels, "Refusals given to callers.");
	}
}

bool mmx_entry_set_counters(mmx_entry_t *entry, mmx_counters_t *counters)
{
	if (entry->running)
		return false;
	entry->counters = counters;
	register_metrics_(entry, counters);
	return true;
}

bool mmx_entry_set_members(mmx_entry_t *entry,
			   const mmx_view_members_ops_t *members, void *context)
{
	if (entry->running)
		return false;
	entry->members = members;
	entry->members_context = context;
	return true;
}

const mmx_header_names_t *mmx_entry_header_names(const mmx_entry_t *entry)
{
	return entry->header_names;
}

bool mmx_entry_set_header_names(mmx_entry_t *entry,
				const mmx_header_names_t *header_names,
				const char *caller_service)
{
	if (entry->running)
		return false;
	entry->header_names = header_names;
	entry->caller_service = caller_service;
	return true;
}

bool mmx_entry_set_repeat_percent(mmx_entry_t *entry,
				  mmx_repeat_percent_fn_t fn, void *context)
{
	if (entry->running)
		return false;
	entry->repeat_percent = fn;
	entry->repeat_context = context;
	return true;
}

uint8_t mmx_entry_repeat_percent(const mmx_entry_t *entry, mmx_time_t objective)
{
	return entry->repeat_percent
		       ? entry->repeat_percent(entry->repeat_context, objective)
		       : 0;
}

bool mmx_entry_set_by_work(mmx_entry_t *entry, const bool *by_work)
{
	if (entry->running)
		return false;
	entry->by_work = by_work;
	return true;
}

bool mmx_entry_set_budget_at_exits(mmx_entry_t *entry, bool at_exits)
{
	if (entry->running)
		return false;
	entry->budget_at_exits = at_exits;
	return true;
}

bool mmx_entry_set_quota(mmx_entry_t *entry,
			 const struct mmx_entry_quota_ops_t *ops, void *context)
{
	if (entry->running)
		return false;
	entry->quota_ops = ops;
	entry->quota_context = context;
	return true;
}

bool mmx_entry_set_startup_hold(mmx_entry_t *entry, mmx_time_t max_hold)
{
	if (entry->running)
		return false;
	entry->startup_hold = max_hold;
	return true;
}

bool mmx_entry_set_guards(mmx_entry_t *entry, const mmx_guards_t *guards)
{
	if (entry->running)
		return false;
	entry->guards = guards;
	return true;
}
