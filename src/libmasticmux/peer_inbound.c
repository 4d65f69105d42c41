#include "private/peer_internal.h"

#include <event2/buffer.h>
#include <string.h>

#include "private/wire.h"

static mmx_node_id_t remote_node_(const mmx_peer_link_t *link)
{
	return mmx_connection_remote(link->connection)->node;
}

static void to_exit_(mmx_peer_link_t *link, mmx_message_t *message)
{
	link->delivered = true;
	mmx_task_post(link->peer->config.exit, message);
}

static mmx_origin_t origin_(mmx_peer_link_t *link)
{
	return (mmx_origin_t){&link->peer->task, link->id};
}

static mmx_peer_served_t *serve_(mmx_peer_link_t *link,
				 const mmx_attempt_id_t *id)
{
	mmx_peer_served_t *served = g_hash_table_lookup(link->served, id);

	if (served)
		return served;
	served = g_new0(mmx_peer_served_t, 1);
	served->id = *id;
	g_hash_table_insert(link->served, &served->id, served);
	return served;
}

static void finish_served_(mmx_peer_link_t *link, mmx_peer_served_t *served)
{
	if (served->execute_open || served->execute_due || served->fence_due)
		return;
	g_hash_table_remove(link->served, &served->id);
	mmx_peer_link_update(link);
}

/* Calls that arrive from an entry. */

static void malformed_(mmx_peer_link_t *link)
{
	mmx_peer_refused(link->peer, MMX_REFUSAL_GARBAGE);
	mmx_connection_close(link->connection, MMX_CLOSE_MALFORMED);
}

/*
 * Refuses a call whose arguments are not delivered to the exit, so that the
 * entry knows that it was not run.
 */
static void refuse_call_(mmx_peer_link_t *link, uint32_t xid,
			 mmx_peer_refusal_t why)
{
	mmx_peer_refused(link->peer, why);
	mmx_peer_link_reply_status(link, xid, MMX_RPC_GARBAGE_ARGUMENTS);
}

static bool is_full_(const mmx_peer_link_t *link)
{
	return mmx_peer_link_outstanding(link) >= MMX_PEER_SERVED_MAX;
}

static void refuse_full_(mmx_peer_link_t *link, uint32_t xid,
			 const mmx_attempt_id_t *attempt)
{
	mmx_response_t *response = mmx_new_response(attempt);

	response->reason = MMX_REASON_OVERLOADED;
	response->body_end = true;
	mmx_peer_refused(link->peer, MMX_REFUSAL_SERVED);
	mmx_peer_link_reply(link, xid, &response->message);
	mmx_message_destroy(&response->message);
}

static void on_execute_(mmx_peer_link_t *link, uint32_t xid,
			struct evbuffer *args)
{
	mmx_execute_t *execute = (mmx_execute_t *)mmx_wire_decode(
		MMX_MESSAGE_EXECUTE, args, NULL);
	const mmx_hello_t *remote = mmx_connection_remote(link->connection);
	mmx_peer_served_t *served;

	if (!execute) {
		refuse_call_(link, xid, MMX_REFUSAL_GARBAGE);
		return;
	}
	if (execute->attempt.entry != remote->node ||
	    execute->attempt.incarnation != remote->incarnation) {
		refuse_call_(link, xid, MMX_REFUSAL_FOREIGN);
		mmx_message_destroy(&execute->message);
		return;
	}
	if (is_full_(link)) {
		refuse_full_(link, xid, &execute->attempt);
		mmx_message_destroy(&execute->message);
		return;
	}
	served = serve_(link, &execute->attempt);
	/* A repeated EXECUTE gets the answer; the earlier call gets none. */
	if (served->execute_due)
		mmx_peer_link_reply_status(link, served->execute_xid,
					   MMX_RPC_SYSTEM_ERROR);
	served->execute_xid = xid;
	served->execute_due = true;
	served->execute_open = true;
	mmx_peer_link_update(link);
	execute->exit = link->peer->id;
	execute->origin = origin_(link);
	to_exit_(link, &execute->message);
}

static void on_fence_(mmx_peer_link_t *link, uint32_t xid,
		      struct evbuffer *args)
{
	mmx_fence_t *fence =
		(mmx_fence_t *)mmx_wire_decode(MMX_MESSAGE_FENCE, args, NULL);
	mmx_peer_served_t *served;

	if (!fence) {
		refuse_call_(link, xid, MMX_REFUSAL_GARBAGE);
		return;
	}
	if (is_full_(link)) {
		refuse_call_(link, xid, MMX_REFUSAL_SERVED);
		mmx_message_destroy(&fence->message);
		return;
	}
	served = serve_(link, &fence->attempt);
	if (served->fence_due)
		mmx_peer_link_reply_status(link, served->fence_xid,
					   MMX_RPC_SYSTEM_ERROR);
	served->fence_xid = xid;
	served->fence_due = true;
	mmx_peer_link_update(link);
	fence->exit = link->peer->id;
	fence->origin = origin_(link);
	to_exit_(link, &fence->message);
}

/* BODY, WINDOW and CANCEL: one-way, so garbage closes the connection. */
static void on_one_way_(mmx_peer_link_t *link, mmx_message_kind_t kind,
			struct evbuffer *args)
{
	mmx_message_t *message = mmx_wire_decode(kind, args, NULL);
	mmx_peer_served_t *served;
	mmx_body_t *body = (mmx_body_t *)message;
	mmx_window_t *window = (mmx_window_t *)message;
	mmx_cancel_t *cancel = (mmx_cancel_t *)message;

	if (!message ||
	    (kind == MMX_MESSAGE_BODY && body->direction != MMX_TO_TARGET) ||
	    (kind == MMX_MESSAGE_WINDOW &&
	     window->direction != MMX_TO_CALLER)) {
		mmx_message_destroy(message);
		malformed_(link);
		return;
	}
	if (kind == MMX_MESSAGE_BODY) {
		body->exit = link->peer->id;
		body->origin = origin_(link);
	} else if (kind == MMX_MESSAGE_WINDOW) {
		window->exit = link->peer->id;
		window->origin = origin_(link);
	} else {
		cancel->exit = link->peer->id;
		served = g_hash_table_lookup(link->served, &cancel->attempt);
		if (served) {
			served->execute_open = false;
			served->execute_due = false;
			finish_served_(link, served);
		}
	}
	to_exit_(link, message);
}

static void on_call_(mmx_peer_link_t *link, const mmx_rpc_header_t *header,
		     struct evbuffer *args)
{
	switch (header->procedure) {
	case MMX_PROCEDURE_NULL:
		mmx_peer_link_reply_status(link, header->xid, MMX_RPC_SUCCESS);
		break;
	case MMX_PROCEDURE_EXECUTE:
		on_execute_(link, header->xid, args);
		break;
	case MMX_PROCEDURE_FENCE:
		on_fence_(link, header->xid, args);
		break;
	case MMX_PROCEDURE_BODY:
		on_one_way_(link, MMX_MESSAGE_BODY, args);
		break;
	case MMX_PROCEDURE_WINDOW:
		on_one_way_(link, MMX_MESSAGE_WINDOW, args);
		break;
	case MMX_PROCEDURE_CANCEL:
		on_one_way_(link, MMX_MESSAGE_CANCEL, args);
		break;
	default:
		mmx_peer_call_serve(link, header, args);
		break;
	}
}

/* Records that arrive from an exit. */

static void end_if_(mmx_peer_attempt_t *attempt, bool ended)
{
	if (attempt && ended)
		mmx_peer_attempt_remove(attempt);
}

/* The attempt of a one-way record, if its response is expected here. */
static mmx_peer_attempt_t *expected_(mmx_peer_link_t *link,
				     const mmx_attempt_id_t *id)
{
	mmx_peer_attempt_t *attempt = mmx_peer_attempt_find(link->peer, id);

	if (attempt && attempt->reply_link == link->id)
		return attempt;
	mmx_peer_drop(link->peer, MMX_DROP_UNKNOWN_ATTEMPT);
	return NULL;
}

static void on_response_(mmx_peer_link_t *link, mmx_response_t *response)
{
	mmx_peer_attempt_t *attempt = expected_(link, &response->attempt);

	if (!attempt) {
		mmx_message_destroy(&response->message);
		return;
	}
	response->exit = remote_node_(link);
	end_if_(attempt,
		response->reason != MMX_REASON_NONE || response->body_end);
	mmx_task_post(link->peer->config.entry, &response->message);
}

static void on_response_body_(mmx_peer_link_t *link, mmx_body_t *body)
{
	mmx_peer_attempt_t *attempt = expected_(link, &body->attempt);

	if (!attempt) {
		mmx_message_destroy(&body->message);
		return;
	}
	body->exit = remote_node_(link);
	end_if_(attempt, body->end);
	mmx_task_post(link->peer->config.entry, &body->message);
}

static void on_window_(mmx_peer_link_t *link, mmx_window_t *window)
{
	if (!expected_(link, &window->attempt)) {
		mmx_message_destroy(&window->message);
		return;
	}
	window->exit = remote_node_(link);
	mmx_task_post(link->peer->config.entry, &window->message);
}

/* One-way calls from the side that was dialed. */
static void on_push_(mmx_peer_link_t *link, const mmx_rpc_header_t *header,
		     struct evbuffer *args)
{
	static const mmx_message_kind_t kinds[MMX_PROCEDURE_COUNT] = {
		[MMX_PROCEDURE_RESPONSE] = MMX_MESSAGE_RESPONSE,
		[MMX_PROCEDURE_RESPONSE_BODY] = MMX_MESSAGE_BODY,
		[MMX_PROCEDURE_WINDOW] = MMX_MESSAGE_WINDOW,
		[MMX_PROCEDURE_EVIDENCE] = MMX_MESSAGE_EVIDENCE,
	};
	mmx_message_kind_t kind = 0;
	mmx_message_t *message = NULL;

	if (header->procedure < MMX_PROCEDURE_COUNT)
		kind = kinds[header->procedure];
	if (kind)
		message = mmx_wire_decode(kind, args, NULL);
	if (!message) {
		malformed_(link);
	} else if (kind == MMX_MESSAGE_RESPONSE) {
		on_response_(link, (mmx_response_t *)message);
	} else if (kind == MMX_MESSAGE_BODY) {
		on_response_body_(link, (mmx_body_t *)message);
	} else if (kind == MMX_MESSAGE_WINDOW) {
		on_window_(link, (mmx_window_t *)message);
	} else {
		((mmx_evidence_t *)message)->exit = remote_node_(link);
		mmx_task_post(link->peer->config.entry, message);
	}
}

static bool same_attempt_(const mmx_attempt_id_t *a, const mmx_attempt_id_t *b)
{
	return memcmp(a, b, sizeof(*a)) == 0;
}

static void on_execute_reply_(mmx_peer_link_t *link,
			      const mmx_peer_pending_t *pending,
			      const mmx_rpc_header_t *header,
			      struct evbuffer *args)
{
	mmx_peer_attempt_t *attempt =
		mmx_peer_attempt_find(link->peer, &pending->attempt);
	bool refused = header->status == MMX_RPC_GARBAGE_ARGUMENTS ||
		       header->status == MMX_RPC_PROCEDURE_UNAVAILABLE;
	mmx_response_t *response;

	if (header->status != MMX_RPC_SUCCESS) {
		end_if_(attempt, true);
		mmx_peer_end_attempt(
			link->peer, &pending->attempt, remote_node_(link),
			refused ? MMX_REASON_BAD_REQUEST : MMX_REASON_PATH_LOST,
			!refused);
		return;
	}
	response = (mmx_response_t *)mmx_wire_decode(MMX_MESSAGE_RESPONSE, args,
						     NULL);
	if (!response ||
	    !same_attempt_(&response->attempt, &pending->attempt)) {
		if (response)
			mmx_message_destroy(&response->message);
		mmx_peer_drop(link->peer, MMX_DROP_MALFORMED);
		mmx_connection_close(link->connection, MMX_CLOSE_MALFORMED);
		return;
	}
	on_response_(link, response);
}

/* The response of an attempt that runs comes on this connection. */
static void recover_attempt_(mmx_peer_link_t *link, mmx_peer_attempt_t *attempt,
			     const mmx_fence_reply_t *reply)
{
	if (reply->state != MMX_FENCE_RUNNING) {
		end_if_(attempt, true);
		return;
	}
	if (!attempt) {
		attempt = mmx_peer_attempt_add(link->node, &reply->attempt);
		attempt->sent_link = MMX_LINK_GONE;
	}
	mmx_peer_attempt_move(attempt, link);
}

static void on_fence_reply_(mmx_peer_link_t *link,
			    const mmx_peer_pending_t *pending,
			    const mmx_rpc_header_t *header,
			    struct evbuffer *args)
{
	mmx_peer_attempt_t *attempt =
		mmx_peer_attempt_find(link->peer, &pending->attempt);
	mmx_fence_reply_t *reply = NULL;

	if (header->status == MMX_RPC_SUCCESS)
		reply = (mmx_fence_reply_t *)mmx_wire_decode(
			MMX_MESSAGE_FENCE_REPLY, args, NULL);
	if (!reply || !same_attempt_(&reply->attempt, &pending->attempt)) {
		if (reply)
			mmx_message_destroy(&reply->message);
		mmx_peer_drop(link->peer, MMX_DROP_MALFORMED);
		return;
	}
	reply->exit = remote_node_(link);
	/* Only the attempt's own entry gets its response; the queries of others
	 * change nothing here. */
	if (reply->purpose == MMX_FENCE_RECOVER)
		recover_attempt_(link, attempt, reply);
	mmx_task_post(link->peer->config.entry, &reply->message);
}

static void on_reply_(mmx_peer_link_t *link, const mmx_rpc_header_t *header,
		      struct evbuffer *args)
{
	gpointer key = GUINT_TO_POINTER(header->xid);
	mmx_peer_pending_t *pending;

	if (header->xid == 0) /* of a NULL call */
		return;
	pending = g_hash_table_lookup(link->calls, key);
	if (!pending) {
		mmx_peer_drop(link->peer, MMX_DROP_LATE_REPLY);
		return;
	}
	g_hash_table_remove(link->calls, key);
	if (pending->fn) {
		mmx_peer_call_reply(pending, header, args);
	} else {
		if (pending->procedure == MMX_PROCEDURE_EXECUTE)
			on_execute_reply_(link, pending, header, args);
		else
			on_fence_reply_(link, pending, header, args);
		g_free(pending);
	}
	mmx_peer_link_update(link);
}

void mmx_peer_on_record(mmx_connection_t *connection, void *owner,
			const mmx_rpc_header_t *header, struct evbuffer *args)
{
	mmx_peer_link_t *link = owner;

	if (!link->node && !header->reply)
		on_call_(link, header, args);
	else if (link->node && header->reply)
		on_reply_(link, header, args);
	else if (link->node)
		on_push_(link, header, args);
	else
		malformed_(link);
}

/* Messages that the exit posts. */

static void reply_response_(mmx_peer_link_t *link, mmx_peer_served_t *served,
			    mmx_message_t *message)
{
	if (!served->execute_due) {
		mmx_peer_link_call(link, MMX_PROCEDURE_RESPONSE, 0, message);
		return;
	}
	served->execute_due = false;
	mmx_peer_link_reply(link, served->execute_xid, message);
}

/* A head that exceeds the limits of the wire becomes a refusal. */
static void limit_head_(mmx_peer_t *peer, mmx_response_t *response)
{
	mmx_head_t *head = response->head;

	if (!head || (head->bytes <= MMX_HEAD_BYTES_MAX &&
		      head->header_count <= MMX_HEAD_HEADERS_MAX))
		return;
	mmx_peer_refused(peer, MMX_REFUSAL_LIMIT);
	mmx_head_destroy(head);
	response->head = NULL;
	response->reason = MMX_REASON_TARGET_FAILED;
	response->started = true;
	response->body_end = true;
	evbuffer_drain(response->body, evbuffer_get_length(response->body));
}

static void from_exit_response_(mmx_peer_link_t *link, mmx_response_t *response)
{
	mmx_peer_served_t *served =
		g_hash_table_lookup(link->served, &response->attempt);
	mmx_body_t *rest;

	if (!served || !served->execute_open) {
		mmx_peer_drop(link->peer, MMX_DROP_NOT_SERVED);
		return;
	}
	limit_head_(link->peer, response);
	served->execute_open =
		response->reason == MMX_REASON_NONE && !response->body_end;
	rest = mmx_peer_body_rest(response->body, &response->body_end,
				  &response->attempt, MMX_TO_CALLER);
	reply_response_(link, served, &response->message);
	if (rest) {
		mmx_peer_link_parts(link, MMX_PROCEDURE_RESPONSE_BODY, rest);
		mmx_message_destroy(&rest->message);
	}
	finish_served_(link, served);
}

static void from_exit_body_(mmx_peer_link_t *link, mmx_body_t *body)
{
	mmx_peer_served_t *served =
		g_hash_table_lookup(link->served, &body->attempt);

	if (!served || !served->execute_open) {
		mmx_peer_drop(link->peer, MMX_DROP_NOT_SERVED);
		return;
	}
	mmx_peer_link_parts(link, MMX_PROCEDURE_RESPONSE_BODY, body);
	if (body->end || body->failed) {
		served->execute_open = false;
		finish_served_(link, served);
	}
}

/*
 * After a fence the earlier connection of that entry gets nothing more for the
 * attempt; without this it would count as outstanding there for ever.
 */
static void close_elsewhere_(mmx_peer_link_t *link, const mmx_attempt_id_t *id)
{
	mmx_peer_served_t *served;
	mmx_peer_link_t *other;

	LIST_FOREACH (other, &link->peer->all, entry) {
		if (other == link || other->node || !other->ready ||
		    remote_node_(other) != remote_node_(link))
			continue;
		served = g_hash_table_lookup(other->served, id);
		if (!served)
			continue;
		served->execute_open = false;
		served->execute_due = false;
		finish_served_(other, served);
	}
}

/*
 * After a fence was answered with running, the exit sends the whole response as
 * a second fence reply if its head was sent before the fence. The call of the
 * fence has its reply, so the entry gets this one as a response.
 */
static void post_whole_response_(mmx_peer_link_t *link,
				 mmx_fence_reply_t *reply)
{
	mmx_response_t *response = mmx_new_response(&reply->attempt);

	if (reply->head) {
		response->head = g_steal_pointer(&reply->head);
		evbuffer_add_buffer(response->body, reply->body);
	} else {
		response->reason = MMX_REASON_ANSWER_TRUNCATED;
		response->started = true;
		response->offered = true;
	}
	response->body_end = true;
	from_exit_response_(link, response);
	mmx_message_destroy(&response->message);
}

static void from_exit_fence_reply_(mmx_peer_link_t *link,
				   mmx_fence_reply_t *reply)
{
	mmx_peer_served_t *served =
		g_hash_table_lookup(link->served, &reply->attempt);
	bool recovers = reply->purpose == MMX_FENCE_RECOVER;

	if (served && !served->fence_due && recovers &&
	    reply->state == MMX_FENCE_FINISHED) {
		post_whole_response_(link, reply);
		return;
	}
	if (!served || !served->fence_due) {
		mmx_peer_drop(link->peer, MMX_DROP_NOT_SERVED);
		return;
	}
	served->fence_due = false;
	/*
	 * The response of a running attempt follows on this connection when its
	 * own entry recovers it. Other purposes leave it where it was.
	 */
	if (recovers && reply->state == MMX_FENCE_RUNNING)
		served->execute_open = true;
	if (!mmx_peer_link_reply(link, served->fence_xid, &reply->message)) {
		mmx_peer_refused(link->peer, MMX_REFUSAL_LIMIT);
		mmx_peer_link_reply_status(link, served->fence_xid,
					   MMX_RPC_SYSTEM_ERROR);
	}
	if (recovers)
		close_elsewhere_(link, &reply->attempt);
	finish_served_(link, served);
}

static const mmx_origin_t *origin_of_(const mmx_message_t *message)
{
	switch ((mmx_message_kind_t)message->ops->kind) {
	case MMX_MESSAGE_RESPONSE:
		return &((const mmx_response_t *)message)->origin;
	case MMX_MESSAGE_BODY:
		return &((const mmx_body_t *)message)->origin;
	case MMX_MESSAGE_WINDOW:
		return &((const mmx_window_t *)message)->origin;
	case MMX_MESSAGE_FENCE_REPLY:
		return &((const mmx_fence_reply_t *)message)->origin;
	default:
		return &((const mmx_evidence_t *)message)->origin;
	}
}

void mmx_peer_from_exit(mmx_peer_t *peer, mmx_message_t *message)
{
	mmx_peer_link_t *link =
		mmx_peer_link_find(peer, origin_of_(message)->connection);

	if (!link || link->node) {
		mmx_peer_drop(peer, MMX_DROP_ORIGIN_CLOSED);
		mmx_message_destroy(message);
		return;
	}
	switch ((mmx_message_kind_t)message->ops->kind) {
	case MMX_MESSAGE_RESPONSE:
		from_exit_response_(link, (mmx_response_t *)message);
		break;
	case MMX_MESSAGE_BODY:
		from_exit_body_(link, (mmx_body_t *)message);
		break;
	case MMX_MESSAGE_WINDOW:
		mmx_peer_link_call(link, MMX_PROCEDURE_WINDOW, 0, message);
		break;
	case MMX_MESSAGE_FENCE_REPLY:
		from_exit_fence_reply_(link, (mmx_fence_reply_t *)message);
		break;
	default:
		mmx_peer_link_call(link, MMX_PROCEDURE_EVIDENCE, 0, message);
		break;
	}
	mmx_message_destroy(message);
}
