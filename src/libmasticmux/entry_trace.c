/* Spans, history events and log line of a request at its entry. */
#include <glib.h>
#include <inttypes.h>

#include "masticmux/directory.h"
#include "private/entry.h"
#include "private/trace.h"

void mmx_entry_trace_start(mmx_exchange_t *exchange)
{
	mmx_trace_t *trace = mmx_entry_trace(exchange->owner);
	mmx_trace_context_t caller;

	if (!trace)
		return;
	mmx_trace_context(trace, mmx_head_find(exchange->head, "traceparent"),
			  &caller);
	exchange->span =
		mmx_span_start(trace, &caller, "entry", MMX_SPAN_SERVER);
	mmx_span_context(exchange->span, &caller, &exchange->trace);
	mmx_history_request(mmx_entry_history(exchange->owner),
			    exchange->trace.trace_id, "received %s %s",
			    exchange->head->method, exchange->head->uri);
}

static const char *target_name_(const mmx_exchange_t *exchange)
{
	const mmx_directory_target_t *target = mmx_directory_find(
		mmx_entry_directory(exchange->owner), exchange->target);

	return target ? mmx_directory_target_name(target) : "(left)";
}

/* Length from which the attempts in a log line are not extended, bytes. */
#define ATTEMPT_LOG_MAX 512

/* Appends to the attempts in the log line of the request. */
static void append_attempt_log_(mmx_exchange_t *exchange, const char *separator,
				const char *text)
{
	if (!mmx_entry_log(exchange->owner))
		return;
	if (!exchange->attempt_log)
		exchange->attempt_log = g_string_new(NULL);
	if (exchange->attempt_log->len > ATTEMPT_LOG_MAX)
		return;
	if (exchange->attempt_log->len > 0)
		g_string_append(exchange->attempt_log, separator);
	g_string_append(exchange->attempt_log, text);
}

/* The attempt that gave the answer, if two were in flight at once. */
static const char *answered_by_(const mmx_exchange_t *exchange,
				mmx_outcome_t outcome)
{
	if (outcome != MMX_OUTCOME_COMPLETED || !exchange->repeated_at)
		return "none";
	return exchange->earlier_answered ? "overdue" : "repeat";
}

/* Writes one line: request, route, configuration, attempts with the load
 * estimates that they were chosen by, times and outcome. */
static void log_answer_(const mmx_exchange_t *exchange, int status,
			mmx_outcome_t outcome, mmx_reason_t reason,
			mmx_time_t took)
{
	mmx_log_t *log = mmx_entry_log(exchange->owner);
	char version[24];
	char code[12];
	char spent[24];
	char left[24] = "none";
	char offers[12];
	char repeated[24] = "none";

	if (!log)
		return;
	g_snprintf(offers, sizeof(offers), "%u",
		   exchange->offers + (outcome == MMX_OUTCOME_COMPLETED));
	g_snprintf(version, sizeof(version), "%" PRIu64,
		   exchange->configuration_version);
	g_snprintf(code, sizeof(code), "%d", status);
	if (exchange->repeated_at)
		mmx_log_format_ms(repeated, sizeof(repeated),
				  exchange->repeated_at - exchange->started);
	mmx_log_format_ms(spent, sizeof(spent), took);
	/* A request that was refused before routing has no deadline. */
	if (exchange->deadline)
		mmx_log_format_ms(left, sizeof(left),
				  exchange->deadline - exchange->started -
					  took);
	mmx_log_event(log, MMX_LOG_INFO, "request", "id",
		      exchange->caller_request_id, "route", exchange->route,
		      "service", exchange->service, "account",
		      exchange->account, "configuration", version, "attempts",
		      exchange->attempt_log ? exchange->attempt_log->str : "",
		      "offers", offers, "overdue_repeat_ms", repeated,
		      "answered_by", answered_by_(exchange, outcome), "status",
		      code, "outcome", mmx_outcome_string[outcome], "reason",
		      mmx_reason_string[reason], "took_ms", spent, "left_ms",
		      left, NULL);
}

/*
 * "TARGET[LOAD/SLOTS,AGE]": estimated load, and age of its report in ms. With
 * ",work=MS,cost=MS" if the target was chosen by work.
 */
static void append_target_(mmx_exchange_t *exchange,
			   const mmx_balance_estimate_t *estimate)
{
	char text[MMX_NAME_MAX + 128];
	int length;

	length = g_snprintf(
		text, sizeof(text), "%s[%u/%u,", target_name_(exchange),
		estimate->outstanding + estimate->others, estimate->slots);
	if (estimate->age == MMX_TIME_NEVER)
		length += g_snprintf(text + length,
				     sizeof(text) - (size_t)length, "none");
	else
		length += g_snprintf(
			text + length, sizeof(text) - (size_t)length, "%lld",
			(long long)(estimate->age / MMX_US_PER_MS));
	if (exchange->expected_cost)
		length += g_snprintf(
			text + length, sizeof(text) - (size_t)length,
			",work=%lld,cost=%lld",
			(long long)(estimate->work / MMX_US_PER_MS),
			(long long)(exchange->expected_cost / MMX_US_PER_MS));
	g_snprintf(text + length, sizeof(text) - (size_t)length, "]");
	append_attempt_log_(exchange, ";", text);
}

void mmx_entry_trace_attempt(mmx_exchange_t *exchange,
			     const mmx_balance_estimate_t *estimate)
{
	mmx_trace_t *trace = mmx_entry_trace(exchange->owner);

	append_target_(exchange, estimate);
	if (!trace)
		return;
	exchange->attempt_span = mmx_span_start(trace, &exchange->trace,
						"attempt", MMX_SPAN_CLIENT);
	mmx_span_set_number(exchange->attempt_span, "attempt",
			    exchange->attempts);
	mmx_span_set_text(exchange->attempt_span, "target",
			  target_name_(exchange));
	mmx_history_request(
		mmx_entry_history(exchange->owner), exchange->trace.trace_id,
		"attempt %u chose target %s%s", exchange->attempts,
		target_name_(exchange), exchange->trial ? " as a trial" : "");
	if (exchange->expected_cost)
		mmx_history_request(
			mmx_entry_history(exchange->owner),
			exchange->trace.trace_id,
			"attempt %u chosen by work: %d ms outstanding at %u of "
			"%u slots, expected run time %d ms, mean there %d ms",
			exchange->attempts,
			(int)(estimate->work / MMX_US_PER_MS),
			estimate->outstanding + estimate->others,
			estimate->slots,
			(int)(exchange->expected_cost / MMX_US_PER_MS),
			(int)(estimate->run / MMX_US_PER_MS));
}

void mmx_entry_trace_cost(mmx_exchange_t *exchange, mmx_time_t run)
{
	char text[32];

	g_snprintf(text, sizeof(text), "ran=%lld",
		   (long long)(run / MMX_US_PER_MS));
	append_attempt_log_(exchange, ":", text);
	mmx_history_request(mmx_entry_history(exchange->owner),
			    exchange->trace.trace_id,
			    "attempt %u ran for %d ms, expected %d ms",
			    exchange->attempts, (int)(run / MMX_US_PER_MS),
			    (int)(exchange->expected_cost / MMX_US_PER_MS));
}

void mmx_entry_trace_context(const mmx_exchange_t *exchange,
			     mmx_trace_context_t *out)
{
	mmx_span_context(exchange->attempt_span, &exchange->trace, out);
}

void mmx_entry_trace_attempt_end(mmx_exchange_t *exchange)
{
	mmx_span_finish(exchange->attempt_span);
	exchange->attempt_span = NULL;
}

void mmx_entry_trace_event(mmx_exchange_t *exchange, const char *key,
			   const char *value)
{
	append_attempt_log_(exchange, ":", value);
	mmx_span_set_text(exchange->attempt_span, key, value);
	mmx_history_request(mmx_entry_history(exchange->owner),
			    exchange->trace.trace_id, "attempt %u %s: %s",
			    exchange->attempts, key, value);
}

void mmx_entry_trace_answer(mmx_exchange_t *exchange, mmx_head_t *head,
			    mmx_outcome_t outcome, mmx_reason_t reason)
{
	char text[MMX_TRACEPARENT_SIZE];
	mmx_time_t took;

	took = mmx_clock_now(
		       mmx_runtime_clock(mmx_entry_runtime(exchange->owner))) -
	       exchange->started;
	log_answer_(exchange, head->status, outcome, reason, took);
	if (!mmx_entry_trace(exchange->owner))
		return;
	mmx_traceparent_format(&exchange->trace, text);
	mmx_head_set(head, "traceparent", text);
	mmx_span_set_text(exchange->span, "outcome",
			  mmx_outcome_string[outcome]);
	mmx_span_set_text(exchange->span, "reason", mmx_reason_string[reason]);
	mmx_span_set_text(exchange->span, "service", exchange->service);
	mmx_span_set_number(exchange->span, "http.response.status_code",
			    head->status);
	if (outcome != MMX_OUTCOME_COMPLETED)
		mmx_span_set_failed(exchange->span);
	mmx_history_request(mmx_entry_history(exchange->owner),
			    exchange->trace.trace_id,
			    "answered %d, outcome %s, reason %s after %d us",
			    head->status, mmx_outcome_string[outcome],
			    mmx_reason_string[reason], (int)took);
}

void mmx_entry_trace_end(mmx_exchange_t *exchange)
{
	mmx_entry_trace_attempt_end(exchange);
	mmx_span_finish(exchange->span);
	exchange->span = NULL;
}
