/* The heads that http_entry writes to callers. */
#include <inttypes.h>

#include "private/http_caller_internal.h"
#include "private/http_head.h"

static struct evbuffer *output_(const mmx_http_caller_t *caller)
{
	return bufferevent_get_output(caller->bev);
}

void mmx_http_answer_write_refusal(mmx_http_caller_t *caller, int status,
				   mmx_outcome_t outcome, mmx_reason_t reason)
{
	struct evbuffer *out = output_(caller);

	mmx_http_write_status_line(out, status);
	mmx_http_write_header(out, "Masticmux-Outcome",
			      mmx_outcome_string[outcome]);
	mmx_http_write_header(out, "Masticmux-Reason",
			      mmx_reason_string[reason]);
	mmx_http_write_header(out, "Content-Type", "text/plain");
	mmx_http_write_header(out, "Connection", "close");
	mmx_counter_add(caller->shared->refused[reason], 1);
}

/* Decides how the body of an answer is framed, and writes that. */
static void frame_answer_(mmx_http_caller_t *caller, const mmx_answer_t *answer)
{
	struct evbuffer *out = output_(caller);
	const mmx_head_t *head = answer->head;
	uint64_t length = evbuffer_get_length(answer->body);
	bool known = answer->body_end;

	mmx_http_writer_init(&caller->writer, MMX_HTTP_NO_BODY, 0);
	if (mmx_http_status_without_body(head->status))
		return;
	if (caller->head_method || !known)
		known = mmx_http_content_length(head, &length);
	if (known)
		evbuffer_add_printf(out, "Content-Length: %" PRIu64 "\r\n",
				    length);
	if (caller->head_method)
		return;
	if (known) {
		mmx_http_writer_init(&caller->writer, MMX_HTTP_LENGTH, length);
	} else if (caller->minor == 0) {
		mmx_http_writer_init(&caller->writer, MMX_HTTP_UNTIL_CLOSE, 0);
		caller->close_after = true;
	} else {
		mmx_http_writer_init(&caller->writer, MMX_HTTP_CHUNKED, 0);
		mmx_http_write_header(out, "Transfer-Encoding", "chunked");
	}
}

void mmx_http_answer_write_head(mmx_http_caller_t *caller, mmx_answer_t *answer)
{
	struct evbuffer *out = output_(caller);

	mmx_head_remove_hop_by_hop(answer->head);
	/* A target must not speak for the proxy. */
	mmx_head_remove(answer->head, "Masticmux-Outcome");
	mmx_head_remove(answer->head, "Masticmux-Reason");
	mmx_http_write_status_line(out, answer->head->status);
	mmx_http_write_headers(out, answer->head);
	mmx_http_write_header(out, "Masticmux-Outcome",
			      mmx_outcome_string[answer->outcome]);
	if (answer->reason != MMX_REASON_NONE) {
		mmx_http_write_header(out, "Masticmux-Reason",
				      mmx_reason_string[answer->reason]);
		mmx_counter_add(caller->shared->refused[answer->reason], 1);
	}
	frame_answer_(caller, answer);
	/* Behind "Connection: close" callers take requests for not read and
	 * send them again. */
	if (!caller->whole ||
	    (caller->shared->draining && TAILQ_EMPTY(&caller->ahead)))
		caller->close_after = true;
	if (caller->close_after)
		mmx_http_write_header(out, "Connection", "close");
	else if (caller->minor == 0)
		mmx_http_write_header(out, "Connection", "keep-alive");
	evbuffer_add(out, "\r\n", 2);
}
