#include "private/messages.h"

#include <event2/buffer.h>
#include <glib.h>

const char *const mmx_message_kind_string[MMX_MESSAGE_KIND_COUNT] = {
	"request",  "answer",	   "caller-gone",  "execute",
	"response", "body",	   "window",	   "cancel",
	"fence",    "fence-reply", "path-lost",	   "origin-lost",
	"call",	    "call-event",  "call-cancel",  "target-announced",
	"evidence", "claim",	   "claim-result",
};

const char *const mmx_direction_string[MMX_DIRECTION_COUNT] = {
	"to-target",
	"to-caller",
};

const char *const mmx_fence_state_string[MMX_FENCE_STATE_COUNT] = {
	"fenced",
	"running",
	"finished",
	"forgotten",
};

const char *const mmx_fence_purpose_string[MMX_FENCE_PURPOSE_COUNT] = {
	"recover",
	"query",
	"takeover",
};

const char *const mmx_call_result_string[MMX_CALL_RESULT_COUNT] = {
	"head",
	"not-sent",
	"failed",
};

static void free_content_(mmx_head_t *head, struct evbuffer *body)
{
	mmx_head_destroy(head);
	if (body)
		evbuffer_free(body);
}

static void destroy_request_(mmx_message_t *message)
{
	mmx_request_t *typed = (mmx_request_t *)message;

	free_content_(typed->head, typed->body);
	g_free(typed);
}

static void destroy_answer_(mmx_message_t *message)
{
	mmx_answer_t *typed = (mmx_answer_t *)message;

	free_content_(typed->head, typed->body);
	g_free(typed);
}

static void destroy_execute_(mmx_message_t *message)
{
	mmx_execute_t *typed = (mmx_execute_t *)message;

	g_free(typed->peers);
	free_content_(typed->head, typed->body);
	g_free(typed);
}

static void destroy_response_(mmx_message_t *message)
{
	mmx_response_t *typed = (mmx_response_t *)message;

	free_content_(typed->head, typed->body);
	g_free(typed);
}

static void destroy_fence_reply_(mmx_message_t *message)
{
	mmx_fence_reply_t *typed = (mmx_fence_reply_t *)message;

	free_content_(typed->head, typed->body);
	g_free(typed);
}

static void destroy_call_(mmx_message_t *message)
{
	mmx_call_t *typed = (mmx_call_t *)message;

	free_content_(typed->head, typed->body);
	g_free(typed);
}

static void destroy_call_event_(mmx_message_t *message)
{
	mmx_call_event_t *typed = (mmx_call_event_t *)message;

	free_content_(typed->head, typed->body);
	g_free(typed);
}

static void destroy_plain_(mmx_message_t *message)
{
	g_free(message);
}

static void destroy_body_(mmx_message_t *message)
{
	mmx_body_t *body = (mmx_body_t *)message;

	if (body->data)
		evbuffer_free(body->data);
	g_free(body);
}

static const mmx_message_ops_t ops_[MMX_MESSAGE_KIND_COUNT] = {
	{"request", MMX_MESSAGE_REQUEST, destroy_request_},
	{"answer", MMX_MESSAGE_ANSWER, destroy_answer_},
	{"caller-gone", MMX_MESSAGE_CALLER_GONE, destroy_plain_},
	{"execute", MMX_MESSAGE_EXECUTE, destroy_execute_},
	{"response", MMX_MESSAGE_RESPONSE, destroy_response_},
	{"body", MMX_MESSAGE_BODY, destroy_body_},
	{"window", MMX_MESSAGE_WINDOW, destroy_plain_},
	{"cancel", MMX_MESSAGE_CANCEL, destroy_plain_},
	{"fence", MMX_MESSAGE_FENCE, destroy_plain_},
	{"fence-reply", MMX_MESSAGE_FENCE_REPLY, destroy_fence_reply_},
	{"path-lost", MMX_MESSAGE_PATH_LOST, destroy_plain_},
	{"origin-lost", MMX_MESSAGE_ORIGIN_LOST, destroy_plain_},
	{"call", MMX_MESSAGE_CALL, destroy_call_},
	{"call-event", MMX_MESSAGE_CALL_EVENT, destroy_call_event_},
	{"call-cancel", MMX_MESSAGE_CALL_CANCEL, destroy_plain_},
	{"target-announced", MMX_MESSAGE_TARGET_ANNOUNCED, destroy_plain_},
	{"evidence", MMX_MESSAGE_EVIDENCE, destroy_plain_},
	{"claim", MMX_MESSAGE_CLAIM, destroy_plain_},
	{"claim-result", MMX_MESSAGE_CLAIM_RESULT, destroy_plain_},
};

static void *new_(size_t size, mmx_message_kind_t kind)
{
	mmx_message_t *message = g_malloc0(size);

	message->ops = &ops_[kind];
	return message;
}

mmx_request_t *mmx_new_request(uint64_t request)
{
	mmx_request_t *message = new_(sizeof(*message), MMX_MESSAGE_REQUEST);

	message->request = request;
	message->body = evbuffer_new();
	return message;
}

mmx_answer_t *mmx_new_answer(uint64_t request)
{
	mmx_answer_t *message = new_(sizeof(*message), MMX_MESSAGE_ANSWER);

	message->request = request;
	message->body = evbuffer_new();
	return message;
}

mmx_caller_gone_t *mmx_new_caller_gone(uint64_t request)
{
	mmx_caller_gone_t *message =
		new_(sizeof(*message), MMX_MESSAGE_CALLER_GONE);

	message->request = request;
	return message;
}

mmx_execute_t *mmx_new_execute(void)
{
	mmx_execute_t *message = new_(sizeof(*message), MMX_MESSAGE_EXECUTE);

	message->body = evbuffer_new();
	return message;
}

mmx_response_t *mmx_new_response(const mmx_attempt_id_t *attempt)
{
	mmx_response_t *message = new_(sizeof(*message), MMX_MESSAGE_RESPONSE);

	message->attempt = *attempt;
	message->body = evbuffer_new();
	return message;
}

mmx_body_t *mmx_new_body(mmx_direction_t direction)
{
	mmx_body_t *message = new_(sizeof(*message), MMX_MESSAGE_BODY);

	message->direction = direction;
	message->data = evbuffer_new();
	return message;
}

mmx_window_t *mmx_new_window(mmx_direction_t direction, uint32_t credit)
{
	mmx_window_t *message = new_(sizeof(*message), MMX_MESSAGE_WINDOW);

	message->direction = direction;
	message->credit = credit;
	return message;
}

mmx_cancel_t *mmx_new_cancel(const mmx_attempt_id_t *attempt)
{
	mmx_cancel_t *message = new_(sizeof(*message), MMX_MESSAGE_CANCEL);

	message->attempt = *attempt;
	return message;
}

mmx_fence_t *mmx_new_fence(const mmx_attempt_id_t *attempt)
{
	mmx_fence_t *message = new_(sizeof(*message), MMX_MESSAGE_FENCE);

	message->attempt = *attempt;
	return message;
}

mmx_fence_reply_t *mmx_new_fence_reply(const mmx_attempt_id_t *attempt,
				       mmx_fence_state_t state)
{
	mmx_fence_reply_t *message =
		new_(sizeof(*message), MMX_MESSAGE_FENCE_REPLY);

	message->attempt = *attempt;
	message->state = state;
	message->body = evbuffer_new();
	return message;
}

mmx_path_lost_t *mmx_new_path_lost(mmx_node_id_t exit)
{
	mmx_path_lost_t *message =
		new_(sizeof(*message), MMX_MESSAGE_PATH_LOST);

	message->exit = exit;
	return message;
}

mmx_origin_lost_t *mmx_new_origin_lost(uint64_t connection)
{
	mmx_origin_lost_t *message =
		new_(sizeof(*message), MMX_MESSAGE_ORIGIN_LOST);

	message->connection = connection;
	return message;
}

mmx_call_t *mmx_new_call(const mmx_attempt_id_t *attempt)
{
	mmx_call_t *message = new_(sizeof(*message), MMX_MESSAGE_CALL);

	message->attempt = *attempt;
	message->body = evbuffer_new();
	return message;
}

mmx_call_event_t *mmx_new_call_event(const mmx_attempt_id_t *attempt,
				     mmx_call_result_t result)
{
	mmx_call_event_t *message =
		new_(sizeof(*message), MMX_MESSAGE_CALL_EVENT);

	message->attempt = *attempt;
	message->result = result;
	message->body = evbuffer_new();
	return message;
}

mmx_call_cancel_t *mmx_new_call_cancel(const mmx_attempt_id_t *attempt)
{
	mmx_call_cancel_t *message =
		new_(sizeof(*message), MMX_MESSAGE_CALL_CANCEL);

	message->attempt = *attempt;
	return message;
}

mmx_target_announced_t *mmx_new_target_announced(void)
{
	return new_(sizeof(mmx_target_announced_t),
		    MMX_MESSAGE_TARGET_ANNOUNCED);
}

mmx_evidence_t *mmx_new_evidence(void)
{
	return new_(sizeof(mmx_evidence_t), MMX_MESSAGE_EVIDENCE);
}

mmx_claim_request_t *mmx_new_claim_request(const mmx_claim_t *claim)
{
	mmx_claim_request_t *message =
		new_(sizeof(*message), MMX_MESSAGE_CLAIM);

	message->claim = *claim;
	return message;
}

mmx_claim_reply_t *mmx_new_claim_reply(const mmx_attempt_id_t *attempt,
				       mmx_claim_result_t result)
{
	mmx_claim_reply_t *message =
		new_(sizeof(*message), MMX_MESSAGE_CLAIM_RESULT);

	message->attempt = *attempt;
	message->result = result;
	return message;
}
