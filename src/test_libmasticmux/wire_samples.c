#include "wire_samples.h"

#include <event2/buffer.h>
#include <string.h>

const mmx_message_kind_t mmx_test_wire_kinds[MMX_TEST_WIRE_KINDS] = {
	MMX_MESSAGE_EXECUTE,	 MMX_MESSAGE_RESPONSE, MMX_MESSAGE_BODY,
	MMX_MESSAGE_WINDOW,	 MMX_MESSAGE_CANCEL,   MMX_MESSAGE_FENCE,
	MMX_MESSAGE_FENCE_REPLY, MMX_MESSAGE_EVIDENCE,
};

static const mmx_attempt_id_t attempt_ = {0x1122334455667788ULL, 1700000000,
					  0xffffffffffffffffULL};

static const mmx_load_report_t load_ = {
	.wait_ms = 65535,
	.target = 42,
	.slots = 3,
	.in_progress = 2,
	.queued = 65535,
	.state = MMX_TARGET_DRAINING,
	.level = 2,
	.score = 123456,
};

static mmx_message_t *execute_(void)
{
	mmx_execute_t *execute = mmx_new_execute();

	execute->attempt = attempt_;
	execute->exit_incarnation = 7;
	execute->target = 8;
	strcpy(execute->service, "jobs");
	strcpy(execute->account, "north");
	execute->repeatable = true;
	execute->trial = true;
	execute->remaining = 1234567;
	execute->max_wait = 89;
	execute->priority = 7;
	execute->account_use = 640;
	execute->route = 11;
	execute->caller_repeat_percent = 60;
	execute->objective = 7654;
	execute->repeat = true;
	memset(execute->trace.trace_id, 0xab, 16);
	memset(execute->trace.span_id, 0xcd, 8);
	execute->trace.flags = 1;
	execute->head = mmx_head_create_request("POST", "/cards/7?x=1");
	mmx_head_add(execute->head, "Host", "jobs");
	mmx_head_add(execute->head, "X-Empty", "");
	evbuffer_add(execute->body, "body!", 5);
	execute->body_end = true;
	return &execute->message;
}

static mmx_message_t *response_(void)
{
	mmx_response_t *response = mmx_new_response(&attempt_);

	response->started = true;
	response->head = mmx_head_create_response(201);
	mmx_head_add(response->head, "Content-Type", "text/plain; a=\tb");
	evbuffer_add(response->body, "created", 7);
	response->load = load_;
	response->queue_time = 11;
	response->target_time = 22;
	return &response->message;
}

static mmx_message_t *body_(void)
{
	mmx_body_t *body = mmx_new_body(MMX_TO_CALLER);

	body->attempt = attempt_;
	evbuffer_add(body->data, "12345678", 8);
	body->end = true;
	return &body->message;
}

static mmx_message_t *window_(void)
{
	mmx_window_t *window = mmx_new_window(MMX_TO_CALLER, 262144);

	window->attempt = attempt_;
	return &window->message;
}

static mmx_message_t *fence_reply_(void)
{
	mmx_fence_reply_t *reply =
		mmx_new_fence_reply(&attempt_, MMX_FENCE_FINISHED);

	reply->head = mmx_head_create_response(500);
	mmx_head_add(reply->head, "Server", "t");
	evbuffer_add(reply->body, "oops", 4);
	return &reply->message;
}

mmx_message_t *mmx_test_wire_sample(mmx_message_kind_t kind)
{
	mmx_evidence_t *evidence;
	mmx_fence_t *fence;

	switch (kind) {
	case MMX_MESSAGE_EXECUTE:
		return execute_();
	case MMX_MESSAGE_RESPONSE:
		return response_();
	case MMX_MESSAGE_BODY:
		return body_();
	case MMX_MESSAGE_WINDOW:
		return window_();
	case MMX_MESSAGE_CANCEL:
		return &mmx_new_cancel(&attempt_)->message;
	case MMX_MESSAGE_FENCE:
		fence = mmx_new_fence(&attempt_);
		fence->exit_incarnation = 9;
		return &fence->message;
	case MMX_MESSAGE_FENCE_REPLY:
		return fence_reply_();
	default:
		evidence = mmx_new_evidence();
		evidence->load = load_;
		return &evidence->message;
	}
}

struct evbuffer *mmx_test_wire_args(mmx_message_t *message)
{
	struct evbuffer *args = evbuffer_new();
	uint8_t fields[MMX_WIRE_FIELDS_MAX];
	size_t size = mmx_wire_encode(message, fields, NULL);

	evbuffer_add(args, fields, size);
	if (mmx_wire_body(message))
		evbuffer_add_buffer(args, mmx_wire_body(message));
	mmx_wire_pad(args);
	return args;
}
