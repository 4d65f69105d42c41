/*
 * Requests that a caller sends before it has the answer to the one before.
 * Those without a body that may be repeated are handed to the entry at once;
 * their answers wait for their turn. Any other request waits unread, so that
 * it is not run if the connection closes before its turn.
 */
#include <glib.h>
#include <string.h>

#include "private/http_caller_internal.h"

/* Requests that one connection may have behind the one in progress; bounds the
 * answers that wait in memory for their turn. */
#define AHEAD_MAX 16

static bool may_read_(const mmx_http_caller_t *caller)
{
	return caller->request && caller->whole && caller->posted &&
	       caller->safe && caller->minor == 1 && !caller->close_after &&
	       !caller->closing && !caller->ahead_stopped &&
	       !caller->shared->draining && caller->ahead_count < AHEAD_MAX;
}

static bool is_readable_ahead_(const mmx_http_caller_t *caller)
{
	const mmx_http_reader_t *reader = &caller->reader;
	const char *method = reader->head->method;

	/* An answer of HTTP/1.0 may end with its connection, which would lose
	 * the requests behind it. */
	return reader->minor == 1 && reader->framing == MMX_HTTP_NO_BODY &&
	       reader->keep_alive && !mmx_head_find(reader->head, "Expect") &&
	       !mmx_http_caller_has_large_head(caller) &&
	       (strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0);
}

static void post_(mmx_http_caller_t *caller)
{
	mmx_http_shared_t *shared = caller->shared;
	mmx_http_reader_t *reader = &caller->reader;
	mmx_http_ahead_t *ahead = g_new0(mmx_http_ahead_t, 1);
	mmx_request_t *request;

	ahead->request = ++shared->last_request;
	ahead->head_method = strcmp(reader->head->method, "HEAD") == 0;
	ahead->keep_alive = reader->keep_alive;
	ahead->minor = reader->minor;
	ahead->body = evbuffer_new();
	TAILQ_INSERT_TAIL(&caller->ahead, ahead, entry);
	caller->ahead_count++;
	g_hash_table_insert(shared->requests, &ahead->request, caller);
	mmx_counter_add(shared->request_total, 1);
	mmx_head_remove_hop_by_hop(reader->head);
	request = mmx_new_request(ahead->request);
	request->head = g_steal_pointer(&reader->head);
	request->body_end = true;
	mmx_task_post(shared->entry, &request->message);
}

/* True when a request was posted and the next one may be looked at. */
static bool step_(mmx_http_caller_t *caller)
{
	struct evbuffer *input = bufferevent_get_input(caller->bev);

	switch (mmx_http_reader_run(&caller->reader, input, caller->received)) {
	case MMX_HTTP_HEAD:
		if (!is_readable_ahead_(caller)) {
			caller->ahead_stopped = true;
			caller->ahead_headed = true;
			return false;
		}
		post_(caller);
		return true;
	case MMX_HTTP_DATA:
	case MMX_HTTP_END:
		return true;
	case MMX_HTTP_FAILED:
		caller->ahead_stopped = true;
		caller->ahead_failed = true;
		return false;
	default:
		return false;
	}
}

void mmx_http_ahead_read(mmx_http_caller_t *caller)
{
	const mmx_http_reader_t *reader = &caller->reader;
	struct evbuffer *input = bufferevent_get_input(caller->bev);

	while (may_read_(caller) && evbuffer_get_length(input) > 0) {
		/* The reader stands behind the request before. */
		if (mmx_http_reader_is_done(reader))
			mmx_http_reader_reset(&caller->reader);
		if (!step_(caller))
			return;
	}
}

mmx_http_ahead_t *mmx_http_ahead_find(mmx_http_caller_t *caller,
				      uint64_t request)
{
	mmx_http_ahead_t *ahead;

	TAILQ_FOREACH (ahead, &caller->ahead, entry)
		if (ahead->request == request)
			return ahead;
	return NULL;
}

void mmx_http_ahead_answer(mmx_http_ahead_t *ahead, mmx_answer_t *answer)
{
	ahead->answer = mmx_new_answer(answer->request);
	ahead->answer->outcome = answer->outcome;
	ahead->answer->reason = answer->reason;
	ahead->answer->head = g_steal_pointer(&answer->head);
	ahead->answer->body_end = answer->body_end;
	evbuffer_add_buffer(ahead->answer->body, answer->body);
	ahead->end = answer->body_end;
}

/* Nothing of the broken answer has been written, so that one with an error can
 * take its place; a reset would lose the requests behind it. */
static void replace_broken_(mmx_http_ahead_t *ahead)
{
	mmx_answer_t *answer = mmx_new_answer(ahead->request);

	answer->outcome = MMX_OUTCOME_UNKNOWN;
	answer->reason = MMX_REASON_ANSWER_TRUNCATED;
	answer->head = mmx_head_create_response(
		mmx_reason_status(answer->outcome, answer->reason));
	mmx_head_add(answer->head, "Content-Type", "text/plain");
	evbuffer_add_printf(answer->body, "%s: %s\n",
			    mmx_outcome_string[answer->outcome],
			    mmx_reason_string[answer->reason]);
	answer->body_end = true;
	mmx_message_destroy(&ahead->answer->message);
	ahead->answer = answer;
	evbuffer_drain(ahead->body, evbuffer_get_length(ahead->body));
}

void mmx_http_ahead_body(mmx_http_ahead_t *ahead, mmx_body_t *body)
{
	ahead->end = body->end;
	if (body->failed)
		replace_broken_(ahead);
	else
		evbuffer_add_buffer(ahead->body, body->data);
}

/* Takes the first one out of the list and the table; NULL if there is none. */
static mmx_http_ahead_t *unlink_first_(mmx_http_caller_t *caller)
{
	mmx_http_ahead_t *ahead = TAILQ_FIRST(&caller->ahead);

	if (!ahead)
		return NULL;
	TAILQ_REMOVE(&caller->ahead, ahead, entry);
	caller->ahead_count--;
	g_hash_table_remove(caller->shared->requests, &ahead->request);
	return ahead;
}

mmx_http_ahead_t *mmx_http_ahead_take(mmx_http_caller_t *caller)
{
	mmx_http_ahead_t *ahead = unlink_first_(caller);

	if (!ahead)
		return NULL;
	/* The key of the table is the number in the connection from now on. */
	caller->request = ahead->request;
	g_hash_table_insert(caller->shared->requests, &caller->request, caller);
	return ahead;
}

void mmx_http_ahead_free(mmx_http_ahead_t *ahead)
{
	if (ahead->answer)
		mmx_message_destroy(&ahead->answer->message);
	evbuffer_free(ahead->body);
	g_free(ahead);
}

void mmx_http_ahead_abandon(mmx_http_caller_t *caller)
{
	mmx_http_shared_t *shared = caller->shared;
	mmx_http_ahead_t *ahead;

	while ((ahead = unlink_first_(caller))) {
		if (!ahead->end)
			mmx_task_post(
				shared->entry,
				&mmx_new_caller_gone(ahead->request)->message);
		mmx_http_ahead_free(ahead);
	}
}
