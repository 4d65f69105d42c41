#include "private/peer_internal.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <string.h>

#include "private/wire.h"

/* Fences wait at most this long for a new connection after a failed one,
 * microseconds: an outcome depends on them. */
#define FENCE_RETRY (200 * MMX_US_PER_MS)

static void fail_waiting_(mmx_peer_node_t *node);

static void log_state_(mmx_peer_node_t *node, const char *event,
		       const char *reason)
{
	mmx_log_event(node->peer->config.log, MMX_LOG_INFO, event, "node",
		      node->name, "reason", reason, NULL);
}

void mmx_peer_unreachable(mmx_peer_node_t *node, const char *reason)
{
	if (!node->unreachable)
		log_state_(node, "peer_unreachable", reason);
	node->unreachable = true;
}

static void reachable_(mmx_peer_node_t *node, const char *reason)
{
	if (node->unreachable)
		log_state_(node, "peer_reachable", reason);
	node->unreachable = false;
}

static void dial_(mmx_peer_node_t *node);

static void on_retry_(void *arg)
{
	mmx_peer_node_t *node = arg;

	if (!node->dialing && node->waiting_count > 0)
		dial_(node);
}

static mmx_peer_node_t *new_node_(mmx_peer_t *peer)
{
	mmx_peer_node_t *node = g_new0(mmx_peer_node_t, 1);

	node->peer = peer;
	LIST_INIT(&node->links);
	STAILQ_INIT(&node->waiting);
	STAILQ_INIT(&node->waiting_calls);
	mmx_timer_init(&node->retry, peer->clock, on_retry_, node);
	return node;
}

static mmx_peer_node_t *get_by_id_(mmx_peer_t *peer, mmx_node_id_t id)
{
	mmx_peer_node_t *node = g_hash_table_lookup(peer->nodes, &id);

	if (node)
		return node;
	node = new_node_(peer);
	node->id = id;
	node->name = g_strdup_printf("%016" PRIx64, id);
	g_hash_table_insert(peer->nodes, &node->id, node);
	return node;
}

mmx_peer_node_t *mmx_peer_node_get(mmx_peer_t *peer,
				   const mmx_peer_place_t *place)
{
	mmx_peer_node_t *node;
	char *name;

	if (place->node)
		return get_by_id_(peer, place->node);
	name = g_strdup_printf("%s:%u", place->address.host,
			       place->address.port);
	node = g_hash_table_lookup(peer->addresses, name);
	if (node) {
		g_free(name);
		return node;
	}
	node = new_node_(peer);
	node->address = place->address;
	node->name = name;
	g_hash_table_insert(peer->addresses, node->name, node);
	return node;
}

void mmx_peer_node_free(mmx_peer_node_t *node)
{
	mmx_message_t *message;

	while ((message = STAILQ_FIRST(&node->waiting))) {
		STAILQ_REMOVE_HEAD(&node->waiting, entry);
		mmx_message_destroy(message);
	}
	mmx_timer_cancel(&node->retry);
	g_free(node->name);
	g_free(node);
}

bool mmx_peer_node_is_unused(const mmx_peer_node_t *node)
{
	return LIST_EMPTY(&node->links) && STAILQ_EMPTY(&node->waiting) &&
	       STAILQ_EMPTY(&node->waiting_calls) &&
	       node->retry_at <= mmx_clock_now(node->peer->clock);
}

/* Attempts. */

mmx_peer_attempt_t *mmx_peer_attempt_find(mmx_peer_t *peer,
					  const mmx_attempt_id_t *id)
{
	return g_hash_table_lookup(peer->attempts, id);
}

mmx_peer_attempt_t *mmx_peer_attempt_add(mmx_peer_node_t *node,
					 const mmx_attempt_id_t *id)
{
	mmx_peer_attempt_t *attempt = g_new0(mmx_peer_attempt_t, 1);

	attempt->id = *id;
	attempt->node = node;
	g_hash_table_replace(node->peer->attempts, &attempt->id, attempt);
	return attempt;
}

static void leave_link_(mmx_peer_attempt_t *attempt)
{
	mmx_peer_link_t *link =
		mmx_peer_link_find(attempt->node->peer, attempt->reply_link);

	if (!link)
		return;
	link->attempts--;
	mmx_peer_link_update(link);
}

void mmx_peer_attempt_remove(mmx_peer_attempt_t *attempt)
{
	leave_link_(attempt);
	g_hash_table_remove(attempt->node->peer->attempts, &attempt->id);
}

void mmx_peer_attempt_move(mmx_peer_attempt_t *attempt, mmx_peer_link_t *link)
{
	if (attempt->reply_link == link->id)
		return;
	leave_link_(attempt);
	attempt->reply_link = link->id;
	link->attempts++;
	mmx_peer_link_update(link);
}

/* Connecting. */

static void connect_failed_(mmx_peer_node_t *node, const char *reason)
{
	mmx_peer_t *peer = node->peer;
	mmx_time_t doubled = MAX(node->backoff * 2, MMX_PEER_BACKOFF_MIN);

	node->backoff = MIN(doubled, MMX_PEER_BACKOFF_MAX);
	/* Half of it is random, so that the nodes that lost one peer do not
	 * all return at the same moment. */
	node->retry_at =
		mmx_clock_now(peer->clock) + node->backoff / 2 +
		(mmx_time_t)mmx_random_below(peer->config.random,
					     (uint64_t)node->backoff / 2);
	mmx_peer_unreachable(node, reason);
	fail_waiting_(node);
}

/* Closes the idle link that was used longest ago; false when none is idle. */
static bool make_room_(mmx_peer_t *peer)
{
	mmx_peer_link_t *oldest = NULL;
	mmx_peer_link_t *link;

	LIST_FOREACH (link, &peer->all, entry)
		if (link->node && link->ready &&
		    mmx_peer_link_outstanding(link) == 0 &&
		    (!oldest || link->used_at < oldest->used_at))
			oldest = link;
	if (!oldest)
		return false;
	mmx_connection_close(oldest->connection, MMX_CLOSE_LIMIT);
	return true;
}

static void dial_(mmx_peer_node_t *node)
{
	mmx_peer_t *peer = node->peer;
	mmx_session_expected_t expected = {.node = node->id};
	mmx_address_t address = node->address;
	mmx_connection_config_t config;
	mmx_peer_link_t *link;

	if (node->id && !peer->config.resolver->ops->resolve(
				peer->config.resolver, node->id, &address,
				&expected.incarnation)) {
		connect_failed_(node, "unknown-node");
		return;
	}
	if (peer->outgoing >= peer->config.connections_max &&
	    !make_room_(peer)) {
		connect_failed_(node, "connection-limit");
		return;
	}
	link = mmx_peer_link_new(peer, node);
	config = mmx_peer_link_config(link);
	mmx_counter_add(peer->counters.dialed, 1);
	link->connection = mmx_connection_dial(&config, &address, &expected);
	if (!link->connection) {
		mmx_peer_link_free(link);
		connect_failed_(node, "bad-address");
		return;
	}
	node->dialing = link;
	mmx_peer_link_enter(link);
}

/* A link for new attempts and calls; may be NULL. */
static mmx_peer_link_t *usable_(mmx_peer_node_t *node)
{
	mmx_peer_link_t *link = node->main;

	if (link && link->ready && !link->silent)
		return link;
	node->main = NULL;
	LIST_FOREACH (link, &node->links, node_entry)
		if (link->ready && !link->silent)
			node->main = link;
	return node->main;
}

/* False when an attempt cannot wait, with the reason. */
static bool may_wait_(mmx_peer_node_t *node, mmx_peer_refusal_t *why)
{
	*why = MMX_REFUSAL_WAITING;
	if (node->waiting_count >= MMX_PEER_WAITING_MAX ||
	    node->waiting_bytes >= MMX_PEER_WAITING_BYTES_MAX)
		return false;
	*why = MMX_REFUSAL_BACKOFF;
	return node->dialing ||
	       mmx_clock_now(node->peer->clock) >= node->retry_at;
}

static void wait_(mmx_peer_node_t *node, mmx_message_t *message)
{
	struct evbuffer *body = mmx_wire_body(message);

	STAILQ_INSERT_TAIL(&node->waiting, message, entry);
	node->waiting_count++;
	node->waiting_bytes += body ? evbuffer_get_length(body) : 0;
}

/* Sending. */

static void lose_path_(mmx_peer_node_t *node, mmx_node_id_t exit,
		       bool connect_failed)
{
	mmx_path_lost_t *lost = mmx_new_path_lost(exit);

	lost->connect_failed = connect_failed;
	mmx_counter_add(node->peer->counters.path_lost, 1);
	mmx_task_post(node->peer->config.entry, &lost->message);
}

/* Body parts beyond what one record may carry. */
static void send_parts_(mmx_peer_link_t *link, mmx_body_t *body)
{
	size_t left = evbuffer_get_length(body->data);
	mmx_body_t *part;

	while (left > MMX_WIRE_BODY_MAX) {
		part = mmx_new_body(body->direction);
		part->attempt = body->attempt;
		evbuffer_remove_buffer(body->data, part->data,
				       MMX_WIRE_BODY_MAX);
		mmx_peer_link_call(link, MMX_PROCEDURE_BODY, 0, &part->message);
		mmx_message_destroy(&part->message);
		left -= MMX_WIRE_BODY_MAX;
	}
	mmx_peer_link_call(link, MMX_PROCEDURE_BODY, 0, &body->message);
}

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
	mmx_body_t *rest = NULL;

	if (evbuffer_get_length(execute->body) > MMX_WIRE_BODY_MAX) {
		rest = mmx_new_body(MMX_TO_TARGET);
		rest->attempt = execute->attempt;
		rest->end = execute->body_end;
		execute->body_end = false;
		evbuffer_add_buffer(rest->data, execute->body);
		evbuffer_remove_buffer(rest->data, execute->body,
				       MMX_WIRE_BODY_MAX);
	}
	pending = expect_(link, MMX_PROCEDURE_EXECUTE, &execute->attempt);
	if (mmx_peer_link_call(link, MMX_PROCEDURE_EXECUTE, pending->xid,
			       &execute->message)) {
		attempt->sent_link = link->id;
		mmx_peer_attempt_move(attempt, link);
		if (rest)
			send_parts_(link, rest);
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

/* CANCEL ends the attempt here: a response that still comes is dropped. */
static void send_cancel_(mmx_peer_t *peer, mmx_peer_attempt_t *attempt,
			 mmx_message_t *message)
{
	mmx_peer_link_t *link = mmx_peer_link_find(peer, attempt->reply_link);
	mmx_peer_pending_t *pending;
	GHashTableIter iter;

	if (!link)
		return;
	mmx_peer_link_call(link, MMX_PROCEDURE_CANCEL, 0, message);
	g_hash_table_iter_init(&iter, link->calls);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pending)) {
		if (pending->fn ||
		    pending->procedure != MMX_PROCEDURE_EXECUTE ||
		    memcmp(&pending->attempt, &attempt->id,
			   sizeof(attempt->id)) != 0)
			continue;
		g_hash_table_iter_remove(&iter);
		g_free(pending);
	}
}

/* An EXECUTE or FENCE that has waited, or a part that follows an EXECUTE. */
static void send_waiting_(mmx_peer_link_t *link, mmx_message_t *message)
{
	mmx_peer_link_t *main = link->node->main;

	if (message->ops->kind == MMX_MESSAGE_FENCE)
		send_fence_(link, (mmx_fence_t *)message);
	else if (message->ops->kind == MMX_MESSAGE_EXECUTE)
		send_execute_(main, (mmx_execute_t *)message);
	else if (message->ops->kind == MMX_MESSAGE_BODY)
		send_parts_(main, (mmx_body_t *)message);
	else
		mmx_peer_link_call(main, MMX_PROCEDURE_WINDOW, 0, message);
	mmx_message_destroy(message);
}

static void take_waiting_(mmx_peer_node_t *node, mmx_message_list_t *list)
{
	STAILQ_INIT(list);
	STAILQ_CONCAT(list, &node->waiting);
	node->waiting_count = 0;
	node->waiting_bytes = 0;
}

/* Ends what waited for a connection that could not be made. */
static void fail_waiting_(mmx_peer_node_t *node)
{
	mmx_peer_t *peer = node->peer;
	mmx_peer_pending_t *pending;
	mmx_peer_attempt_t *attempt;
	mmx_message_t *message;
	mmx_message_list_t list;
	mmx_execute_t *execute;
	bool lost = false;

	take_waiting_(node, &list);
	while ((message = STAILQ_FIRST(&list))) {
		STAILQ_REMOVE_HEAD(&list, entry);
		lost = true;
		if (message->ops->kind == MMX_MESSAGE_EXECUTE) {
			execute = (mmx_execute_t *)message;
			attempt =
				mmx_peer_attempt_find(peer, &execute->attempt);
			mmx_peer_attempt_remove(attempt);
			mmx_peer_refused(peer, MMX_REFUSAL_CONNECT);
			mmx_peer_end_attempt(peer, &execute->attempt, node->id,
					     MMX_REASON_PATH_LOST, false);
		}
		mmx_message_destroy(message);
	}
	if (lost)
		lose_path_(node, node->id, true);
	while ((pending = STAILQ_FIRST(&node->waiting_calls))) {
		STAILQ_REMOVE_HEAD(&node->waiting_calls, entry);
		pending->node = NULL;
		mmx_peer_call_fail(pending, MMX_PEER_UNREACHABLE);
	}
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
	mmx_peer_node_t *node = get_by_id_(peer, execute->exit);
	mmx_peer_link_t *link = usable_(node);
	mmx_peer_refusal_t why;

	/* A connection to an earlier process of that node is of no use. */
	if (link && mmx_connection_remote(link->connection)->incarnation <
			    execute->exit_incarnation)
		link = NULL;
	if (link && mmx_connection_is_congested(link->connection)) {
		refuse_execute_(peer, execute, MMX_REFUSAL_CONGESTED);
		return;
	}
	if (!link && !may_wait_(node, &why)) {
		refuse_execute_(peer, execute, why);
		return;
	}
	mmx_peer_attempt_add(node, &execute->attempt);
	if (link) {
		send_execute_(link, execute);
		mmx_message_destroy(&execute->message);
		return;
	}
	wait_(node, &execute->message);
	if (!node->dialing)
		dial_(node);
}

/* Goes on a connection that the attempt was not sent on. */
static void post_fence_(mmx_peer_t *peer, mmx_fence_t *fence)
{
	mmx_peer_attempt_t *attempt =
		mmx_peer_attempt_find(peer, &fence->attempt);
	mmx_peer_node_t *node = get_by_id_(peer, fence->exit);
	mmx_peer_link_t *link = usable_(node);
	mmx_time_t now = mmx_clock_now(peer->clock);

	if (!node->dialing && link && attempt &&
	    attempt->sent_link != MMX_LINK_WAITING &&
	    link->id > attempt->sent_link) {
		send_fence_(link, fence);
		mmx_message_destroy(&fence->message);
		return;
	}
	wait_(node, &fence->message);
	if (node->dialing)
		return;
	if (now >= node->retry_at)
		dial_(node);
	else if (!mmx_timer_is_set(&node->retry))
		mmx_timer_set(&node->retry,
			      MIN(node->retry_at - now, FENCE_RETRY));
}

/* Drops an EXECUTE that still waits, with what follows it. */
static void cancel_waiting_(mmx_peer_attempt_t *attempt)
{
	mmx_peer_node_t *node = attempt->node;
	mmx_message_t *message;
	mmx_message_list_t list;
	const mmx_attempt_id_t *id;

	take_waiting_(node, &list);
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
			wait_(node, message);
	}
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
		else
			send_cancel_(peer, attempt, message);
		mmx_peer_attempt_remove(attempt);
	} else if (attempt->sent_link == MMX_LINK_WAITING) {
		wait_(attempt->node, message);
		return;
	} else {
		link = mmx_peer_link_find(peer, kind == MMX_MESSAGE_BODY
							? attempt->sent_link
							: attempt->reply_link);
		if (!link)
			mmx_peer_drop(peer, MMX_DROP_UNKNOWN_ATTEMPT);
		else if (kind == MMX_MESSAGE_BODY)
			send_parts_(link, (mmx_body_t *)message);
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

void mmx_peer_node_submit(mmx_peer_node_t *node, mmx_peer_pending_t *pending)
{
	mmx_peer_link_t *link = usable_(node);

	if (link && mmx_connection_is_congested(link->connection)) {
		mmx_peer_refused(node->peer, MMX_REFUSAL_CONGESTED);
		mmx_peer_call_fail(pending, MMX_PEER_OVERLOADED);
		return;
	}
	if (link) {
		mmx_peer_call_send(pending, link);
		return;
	}
	if (!node->dialing &&
	    mmx_clock_now(node->peer->clock) < node->retry_at) {
		mmx_peer_refused(node->peer, MMX_REFUSAL_BACKOFF);
		mmx_peer_call_fail(pending, MMX_PEER_UNREACHABLE);
		return;
	}
	pending->node = node;
	STAILQ_INSERT_TAIL(&node->waiting_calls, pending, entry);
	if (!node->dialing)
		dial_(node);
}

/* Events of the links. */

static void replace_silent_(mmx_peer_node_t *node, mmx_peer_link_t *link)
{
	mmx_peer_link_t *other = LIST_FIRST(&node->links);
	mmx_peer_link_t *next;

	for (; other; other = next) {
		next = LIST_NEXT(other, node_entry);
		if (other != link && other->silent)
			mmx_connection_close(other->connection,
					     MMX_CLOSE_REPLACED);
	}
}

void mmx_peer_node_ready(mmx_peer_link_t *link)
{
	mmx_peer_node_t *node = link->node;
	mmx_peer_link_t *main = usable_(node);
	mmx_peer_pending_t *pending;
	mmx_message_t *message;
	mmx_message_list_t list;

	if (node->dialing == link)
		node->dialing = NULL;
	node->backoff = 0;
	node->retry_at = 0;
	mmx_timer_cancel(&node->retry);
	reachable_(node, "connected");
	/* The newer process wins over the older one. */
	if (!main ||
	    mmx_connection_remote(main->connection)->incarnation <
		    mmx_connection_remote(link->connection)->incarnation)
		node->main = link;
	replace_silent_(node, link);
	take_waiting_(node, &list);
	while ((message = STAILQ_FIRST(&list))) {
		STAILQ_REMOVE_HEAD(&list, entry);
		send_waiting_(link, message);
	}
	while ((pending = STAILQ_FIRST(&node->waiting_calls))) {
		STAILQ_REMOVE_HEAD(&node->waiting_calls, entry);
		pending->node = NULL;
		mmx_peer_call_send(pending, node->main);
	}
}

void mmx_peer_node_silent(mmx_peer_link_t *link)
{
	mmx_peer_node_t *node = link->node;

	if (node->main == link)
		node->main = NULL;
	if (!usable_(node))
		mmx_peer_unreachable(node, "silent");
	lose_path_(node, mmx_connection_remote(link->connection)->node, false);
}

void mmx_peer_node_resumed(mmx_peer_link_t *link)
{
	reachable_(link->node, "resumed");
}

static gboolean is_lost_(gpointer key, gpointer value, gpointer data)
{
	mmx_peer_attempt_t *attempt = value;
	const mmx_peer_link_t *link = data;

	if (attempt->sent_link == link->id)
		attempt->sent_link = MMX_LINK_GONE;
	return attempt->reply_link == link->id;
}

static void end_calls_(mmx_peer_link_t *link)
{
	mmx_peer_pending_t *pending;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, link->calls);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&pending)) {
		g_hash_table_iter_remove(&iter);
		if (!pending->fn) {
			g_free(pending);
			continue;
		}
		pending->link = NULL;
		mmx_peer_call_fail(pending, MMX_PEER_LOST);
	}
}

void mmx_peer_node_closed(mmx_peer_link_t *link, mmx_close_reason_t reason)
{
	mmx_peer_node_t *node = link->node;
	bool outstanding = mmx_peer_link_outstanding(link) > 0;

	if (node->main == link)
		node->main = NULL;
	if (!link->ready) {
		node->dialing = NULL;
		connect_failed_(node, mmx_close_reason_string[reason]);
		return;
	}
	g_hash_table_foreach_remove(node->peer->attempts, is_lost_, link);
	end_calls_(link);
	/* When it fell silent, the entry was told then. */
	if (outstanding && !link->silent)
		lose_path_(node, mmx_connection_remote(link->connection)->node,
			   false);
}
