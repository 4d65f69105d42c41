#include "private/peer_internal.h"

#include <event2/buffer.h>
#include <string.h>

#include "private/wire.h"

static mmx_peer_pending_t *expect_(mmx_peer_link_t *link,
				   mmx_procedure_t procedure,
				   const mmx_attempt_id_t *attempt)
{
	mmx_peer_pending_t *pending = g_new0(mmx_peer_pending_t, 1);

	pending->peer = link->peer;
	pending->procedure = procedure;
	pending->attempt = *attempt;
	mmx_peer_link_expect(link, pending);
	return pending;
}

static void forget_(mmx_peer_link_t *link, mmx_peer_pending_t *pending)
{
	g_hash_table_remove(link->calls, GUINT_TO_POINTER(pending->xid));
	g_free(pending);
}

static void send_execute_(mmx_peer_link_t *link, mmx_execute_t *execute)
{
	mmx_peer_t *peer = link->peer;
	mmx_peer_attempt_t *attempt =
		mmx_peer_attempt_find(peer, &execute->attempt);
	mmx_peer_pending_t *pending;
	mmx_body_t *rest = mmx_peer_body_rest(execute->body, &execute->body_end,
					      &execute->attempt, MMX_TO_TARGET);

	pending = expect_(link, MMX_PROCEDURE_EXECUTE, &execute->attempt);
	if (mmx_peer_link_call(link, MMX_PROCEDURE_EXECUTE, pending->xid,
			       &execute->message)) {
		attempt->sent_link = link->id;
		attempt->xid = pending->xid;
		mmx_peer_attempt_move(attempt, link);
		if (rest)
			mmx_peer_link_parts(link, MMX_PROCEDURE_BODY, rest);
	} else {
		forget_(link, pending);
		mmx_peer_attempt_remove(attempt);
		mmx_peer_refused(peer, MMX_REFUSAL_LIMIT);
		mmx_peer_end_attempt(peer, &execute->attempt, execute->exit,
				     MMX_REASON_BAD_REQUEST, false);
	}
	if (rest)
		mmx_message_destroy(&rest->message);
}

static void send_fence_(mmx_peer_link_t *link, mmx_fence_t *fence)
{
	mmx_peer_pending_t *pending =
		expect_(link, MMX_PROCEDURE_FENCE, &fence->attempt);

	mmx_peer_link_call(link, MMX_PROCEDURE_FENCE, pending->xid,
			   &fence->message);
	mmx_peer_link_update(link);
}

/* Ends what waited for a connection that could not be made. */
void mmx_peer_entry_fail(mmx_peer_node_t *node, mmx_peer_refusal_t why)
{
	mmx_peer_t *peer = node->peer;
	mmx_peer_attempt_t *attempt;
	mmx_message_t *message;
	mmx_message_list_t list;
	mmx_execute_t *execute;
	bool lost = false;

	mmx_peer_node_take(node, &list);
	while ((message = STAILQ_FIRST(&list))) {
		STAILQ_REMOVE_HEAD(&list, entry);
		lost = true;
		if (message->ops->kind == MMX_MESSAGE_EXECUTE) {
			execute = (mmx_execute_t *)message;
			attempt =
				mmx_peer_attempt_find(peer, &execute->attempt);
			if (attempt)
				mmx_peer_attempt_remove(attempt);
			mmx_peer_refused(peer, why);
			mmx_peer_end_attempt(peer, &execute->attempt, node->id,
					     MMX_REASON_PATH_LOST, false);
		}
		mmx_message_destroy(message);
	}
	if (lost)
		mmx_peer_node_lose(node, node->id, true);
}

static void refuse_execute_(mmx_peer_t *peer, mmx_execute_t *execute,
			    mmx_peer_refusal_t why)
{
	mmx_reason_t reason = why == MMX_REFUSAL_BACKOFF
				      ? MMX_REASON_PATH_LOST
				      : MMX_REASON_OVERLOADED;

	mmx_peer_refused(peer, why);
	mmx_peer_end_attempt(peer, &execute->attempt, execute->exit, reason,
			     false);
	mmx_message_destroy(&execute->message);
}

static void post_execute_(mmx_peer_t *peer, mmx_execute_t *execute)
{
	mmx_peer_node_t *node = mmx_peer_node_get(
		peer, &(mmx_peer_place_t){.node = execute->exit});
	mmx_peer_link_t *link = mmx_peer_node_usable(node);
	mmx_peer_refusal_t why;

	/* A connection to an earlier process of that node is of no use. */
	if (link && mmx_connection_remote(link->connection)->incarnation <
			    execute->exit_incarnation)
		link = NULL;
	if (link && mmx_connection_is_congested(link->connection)) {
		refuse_execute_(peer, execute, MMX_REFUSAL_CONGESTED);
		return;
	}
	if (!link && !mmx_peer_node_may_wait(node, &why)) {
		refuse_execute_(peer, execute, why);
		return;
	}
	mmx_peer_attempt_add(node, &execute->attempt);
	if (link) {
		send_execute_(link, execute);
		mmx_message_destroy(&execute->message);
		return;
	}
	mmx_peer_node_wait(node, &execute->message);
	if (!node->dialing)
		mmx_peer_node_dial(node);
}

/* Drops an EXECUTE that still waits, with what follows it. */
static void cancel_waiting_(mmx_peer_attempt_t *attempt)
{
	mmx_peer_node_t *node = attempt->node;
	mmx_message_t *message;
	mmx_message_list_t list;
	const mmx_attempt_id_t *id;

	mmx_peer_node_take(node, &list);
	while ((message = STAILQ_FIRST(&list))) {
		STAILQ_REMOVE_HEAD(&list, entry);
		id = NULL;
		if (message->ops->kind == MMX_MESSAGE_EXECUTE)
			id = &((mmx_execute_t *)message)->attempt;
		else if (message->ops->kind == MMX_MESSAGE_BODY)
			id = &((mmx_body_t *)message)->attempt;
		else if (message->ops->kind == MMX_MESSAGE_WINDOW)
			id = &((mmx_window_t *)message)->attempt;
		if (id && memcmp(id, &attempt->id, sizeof(*id)) == 0)
			mmx_message_destroy(message);
		else
			mmx_peer_node_wait(node, message);
	}
}

/* An EXECUTE that was not sent is fenced here: it never started. */
static void fence_waiting_(mmx_peer_attempt_t *attempt)
{
	mmx_fence_reply_t *reply =
		mmx_new_fence_reply(&attempt->id, MMX_FENCE_FENCED);

	reply->exit = attempt->node->id;
	mmx_task_post(attempt->node->peer->config.entry, &reply->message);
	cancel_waiting_(attempt);
	mmx_peer_attempt_remove(attempt);
}

/* Goes on a connection that the attempt was not sent on. */
static void post_fence_(mmx_peer_t *peer, mmx_fence_t *fence)
{
	mmx_peer_attempt_t *attempt =
		mmx_peer_attempt_find(peer, &fence->attempt);
	mmx_peer_node_t *node = mmx_peer_node_get(
		peer, &(mmx_peer_place_t){.node = fence->exit});
	mmx_peer_link_t *link = mmx_peer_node_usable(node);
	mmx_time_t now = mmx_clock_now(peer->clock);

	/* Queries of repeats under a key go after it to the exit. */
	if (fence->purpose == MMX_FENCE_RECOVER && attempt &&
	    attempt->sent_link == MMX_LINK_WAITING) {
		fence_waiting_(attempt);
		mmx_message_destroy(&fence->message);
		return;
	}
	if (!node->dialing && link && attempt &&
	    link->id > attempt->sent_link) {
		send_fence_(link, fence);
		mmx_message_destroy(&fence->message);
		return;
	}
	mmx_peer_node_wait(node, &fence->message);
	if (node->dialing)
		return;
	if (now >= node->retry_at)
		mmx_peer_node_dial(node);
	else if (!mmx_timer_is_set(&node->retry))
		mmx_timer_set(&node->retry, MIN(node->retry_at - now,
						peer->times.fence_retry));
}

/* BODY, WINDOW or CANCEL of an attempt. */
static void post_follow_up_(mmx_peer_t *peer, mmx_message_t *message,
			    const mmx_attempt_id_t *id)
{
	mmx_peer_attempt_t *attempt = mmx_peer_attempt_find(peer, id);
	int kind = message->ops->kind;
	mmx_peer_link_t *link;

	if (!attempt) {
		mmx_peer_drop(peer, MMX_DROP_UNKNOWN_ATTEMPT);
	} else if (kind == MMX_MESSAGE_CANCEL) {
		if (attempt->sent_link == MMX_LINK_WAITING)
			cancel_waiting_(attempt);
		else if ((link = mmx_peer_link_find(peer, attempt->reply_link)))
			mmx_peer_link_call(link, MMX_PROCEDURE_CANCEL, 0,
					   message);
		mmx_peer_attempt_remove(attempt);
	} else if (attempt->sent_link == MMX_LINK_WAITING) {
		mmx_peer_node_wait(attempt->node, message);
		return;
	} else {
		link = mmx_peer_link_find(peer, kind == MMX_MESSAGE_BODY
							? attempt->sent_link
							: attempt->reply_link);
		if (!link)
			mmx_peer_drop(peer, MMX_DROP_UNKNOWN_ATTEMPT);
		else if (kind == MMX_MESSAGE_BODY)
			mmx_peer_link_parts(link, MMX_PROCEDURE_BODY,
					    (mmx_body_t *)message);
		else
			mmx_peer_link_call(link, MMX_PROCEDURE_WINDOW, 0,
					   message);
	}
	mmx_message_destroy(message);
}

void mmx_peer_from_entry(mmx_peer_t *peer, mmx_message_t *message)
{
	switch ((mmx_message_kind_t)message->ops->kind) {
	case MMX_MESSAGE_EXECUTE:
		post_execute_(peer, (mmx_execute_t *)message);
		break;
	case MMX_MESSAGE_FENCE:
		post_fence_(peer, (mmx_fence_t *)message);
		break;
	case MMX_MESSAGE_BODY:
		post_follow_up_(peer, message,
				&((mmx_body_t *)message)->attempt);
		break;
	case MMX_MESSAGE_WINDOW:
		post_follow_up_(peer, message,
				&((mmx_window_t *)message)->attempt);
		break;
	default:
		post_follow_up_(peer, message,
				&((mmx_cancel_t *)message)->attempt);
		break;
	}
}

void mmx_peer_entry_send(mmx_peer_link_t *link, mmx_message_list_t *list)
{
	mmx_peer_t *peer = link->peer;
	mmx_message_t *message;

	while ((message = STAILQ_FIRST(list))) {
		STAILQ_REMOVE_HEAD(list, entry);
		if (message->ops->kind == MMX_MESSAGE_FENCE) {
			send_fence_(link, (mmx_fence_t *)message);
			mmx_message_destroy(message);
		} else if (message->ops->kind == MMX_MESSAGE_EXECUTE) {
			send_execute_(link->node->main,
				      (mmx_execute_t *)message);
			mmx_message_destroy(message);
		} else {
			mmx_peer_from_entry(peer, message);
		}
	}
}
