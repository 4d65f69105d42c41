/* Spans of an attempt: its time at the exit, and the call of the target. */
#include "private/exit_internal.h"
#include "private/trace.h"

void mmx_exit_trace_arrived(mmx_exit_t *exit, mmx_attempt_t *attempt)
{
	const mmx_execute_t *execute = attempt->execute;

	if (!exit->trace)
		return;
	attempt->span = mmx_span_start(exit->trace, &execute->trace, "exit",
				       MMX_SPAN_SERVER);
	mmx_span_set_text(attempt->span, "target",
			  attempt->target->record.name);
	mmx_span_set_number(attempt->span, "queued", attempt->target->queued);
}

void mmx_exit_trace_started(mmx_exit_t *exit, mmx_attempt_t *attempt,
			    mmx_head_t *head)
{
	char text[MMX_TRACEPARENT_SIZE];
	mmx_trace_context_t context;

	if (!exit->trace)
		return;
	mmx_span_context(attempt->span, &attempt->execute->trace, &context);
	attempt->call_span = mmx_span_start(exit->trace, &context, "target",
					    MMX_SPAN_CLIENT);
	mmx_span_context(attempt->call_span, &context, &context);
	mmx_traceparent_format(&context, text);
	mmx_head_remove(head, "traceparent");
	mmx_head_add(head, "traceparent", text);
}

void mmx_exit_trace_ended(mmx_attempt_t *attempt, const char *result,
			  bool failed)
{
	mmx_span_set_text(attempt->span, "result", result);
	if (failed) {
		mmx_span_set_failed(attempt->span);
		mmx_span_set_failed(attempt->call_span);
	}
	mmx_span_finish(attempt->call_span);
	mmx_span_finish(attempt->span);
	attempt->call_span = NULL;
	attempt->span = NULL;
}
