#include "private/peer_internal.h"

#include <event2/buffer.h>
#include <inttypes.h>
#include <string.h>

#include "private/wire.h"

static void log_state_(mmx_peer_node_t *node, const char *event,
		       const char *reason)
{
	mmx_peer_resolver_t *resolver = node->peer->config.resolver;
	const char *name = node->name;
	const char *zone = "unknown";

	if (resolver->ops->describe)
		resolver->ops->describe(resolver, node->id, &name, &zone);
	mmx_log_event(node->peer->config.log, MMX_LOG_INFO, event, "node", name,
		      "zone", zone, "reason", reason, NULL);
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

static void on_retry_(void *arg)
{
	mmx_peer_node_t *node = arg;

	if (!node->dialing && node->waiting_count > 0)
		mmx_peer_node_dial(node);
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
	return node->incarnation == 0 && LIST_EMPTY(&node->links) &&
	       STAILQ_EMPTY(&node->waiting) &&
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
	mmx_peer_attempt_t *attempt = mmx_peer_attempt_find(node->peer, id);

	if (attempt)
		mmx_peer_attempt_remove(attempt);
	attempt = g_new0(mmx_peer_attempt_t, 1);
	attempt->id = *id;
	attempt->node = node;
	g_hash_table_insert(node->peer->attempts, &attempt->id, attempt);
	return attempt;
}

/* Drops the call that waits for the reply to EXECUTE, if it still does. */
static void drop_call_(mmx_peer_attempt_t *attempt)
{
	mmx_peer_link_t *link =
		mmx_peer_link_find(attempt->node->peer, attempt->sent_link);
	gpointer key = GUINT_TO_POINTER(attempt->xid);
	mmx_peer_pending_t *pending;

	if (!link)
		return;
	pending = g_hash_table_lookup(link->calls, key);
	if (!pending || pending->procedure != MMX_PROCEDURE_EXECUTE ||
	    memcmp(&pending->attempt, &attempt->id, sizeof(attempt->id)) != 0)
		return;
	g_hash_table_remove(link->calls, key);
	g_free(pending);
	mmx_peer_link_update(link);
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
	drop_call_(attempt);
	leave_link_(attempt);
	g_hash_table_remove(attempt->node->peer->attempts, &attempt->id);
}

void mmx_peer_attempt_move(mmx_peer_attempt_t *attempt, mmx_peer_link_t *link)
{
	if (attempt->reply_link == link->id)
		return;
	if (attempt->sent_link != link->id)
		drop_call_(attempt);
	leave_link_(attempt);
	attempt->reply_link = link->id;
	link->attempts++;
	mmx_peer_link_update(link);
}

/* Connecting. */

static void connect_failed_(mmx_peer_node_t *node, const char *reason,
			    mmx_peer_refusal_t why)
{
	mmx_peer_pending_t *pending;
	mmx_peer_t *peer = node->peer;
	mmx_time_t doubled = MAX(node->backoff * 2, peer->times.backoff_min);

	node->backoff = MIN(doubled, peer->times.backoff_max);
	/* Half of it is random, so that the nodes that lost one peer do not
	 * all return at the same moment. */
	node->retry_at =
		mmx_clock_now(peer->clock) + node->backoff / 2 +
		(mmx_time_t)mmx_random_below(peer->config.random,
					     (uint64_t)node->backoff / 2);
	mmx_peer_unreachable(node, reason);
	mmx_peer_entry_fail(node, why);
	while ((pending = STAILQ_FIRST(&node->waiting_calls))) {
		STAILQ_REMOVE_HEAD(&node->waiting_calls, entry);
		pending->node = NULL;
		mmx_peer_refused(peer, why);
		mmx_peer_call_fail(pending, MMX_PEER_UNREACHABLE);
	}
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

void mmx_peer_node_dial(mmx_peer_node_t *node)
{
	mmx_peer_t *peer = node->peer;
	mmx_session_expected_t expected = {.node = node->id};
	mmx_address_t address = node->address;
	mmx_connection_config_t config;
	mmx_peer_link_t *link;

	if (node->id && !peer->config.resolver->ops->resolve(
				peer->config.resolver, node->id, &address,
				&expected.incarnation)) {
		connect_failed_(node, "unknown-node", MMX_REFUSAL_UNKNOWN_NODE);
		return;
	}
	if (peer->outgoing >= peer->config.connections_max &&
	    !make_room_(peer)) {
		connect_failed_(node, "connection-limit", MMX_REFUSAL_CONNECT);
		return;
	}
	link = mmx_peer_link_new(peer, node);
	config = mmx_peer_link_config(link);
	mmx_counter_add(peer->counters.dialed, 1);
	link->connection = mmx_connection_dial(&config, &address, &expected);
	if (!link->connection) {
		mmx_peer_link_free(link);
		connect_failed_(node, "bad-address", MMX_REFUSAL_CONNECT);
		return;
	}
	node->dialing = link;
	mmx_peer_link_enter(link);
}

mmx_peer_link_t *mmx_peer_node_usable(mmx_peer_node_t *node)
{
	mmx_peer_link_t *link = node->main;

	if (link && link->ready && !link->silent)
		return link;
	node->main = NULL;
	LIST_FOREACH (link, &node->links, node_entry) {
		if (!link->ready || link->silent)
			continue;
		node->main = link;
		break;
	}
	return node->main;
}

bool mmx_peer_node_may_wait(mmx_peer_node_t *node, mmx_peer_refusal_t *why)
{
	*why = MMX_REFUSAL_WAITING;
	if (node->waiting_count >= MMX_PEER_WAITING_MAX ||
	    node->waiting_bytes >= MMX_PEER_WAITING_BYTES_MAX)
		return false;
	*why = MMX_REFUSAL_BACKOFF;
	return node->dialing ||
	       mmx_clock_now(node->peer->clock) >= node->retry_at;
}

void mmx_peer_node_wait(mmx_peer_node_t *node, mmx_message_t *message)
{
	struct evbuffer *body = mmx_wire_body(message);

	STAILQ_INSERT_TAIL(&node->waiting, message, entry);
	node->waiting_count++;
	node->waiting_bytes += body ? evbuffer_get_length(body) : 0;
}

void mmx_peer_node_take(mmx_peer_node_t *node, mmx_message_list_t *list)
{
	STAILQ_INIT(list);
	STAILQ_CONCAT(list, &node->waiting);
	node->waiting_count = 0;
	node->waiting_bytes = 0;
}

void mmx_peer_node_lose(mmx_peer_node_t *node, mmx_node_id_t exit,
			bool connect_failed)
{
	mmx_path_lost_t *lost = mmx_new_path_lost(exit);

	lost->connect_failed = connect_failed;
	mmx_counter_add(node->peer->counters.path_lost, 1);
	mmx_task_post(node->peer->config.entry, &lost->message);
}

void mmx_peer_node_submit(mmx_peer_node_t *node, mmx_peer_pending_t *pending)
{
	mmx_peer_link_t *link = mmx_peer_node_usable(node);

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
		mmx_peer_node_dial(node);
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
	mmx_peer_link_t *main = mmx_peer_node_usable(node);
	mmx_peer_pending_t *pending;
	mmx_message_list_t list;

	if (node->dialing == link)
		node->dialing = NULL;
	node->incarnation =
		MAX(node->incarnation,
		    mmx_connection_remote(link->connection)->incarnation);
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
	mmx_peer_node_take(node, &list);
	mmx_peer_entry_send(link, &list);
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
	if (!mmx_peer_node_usable(node))
		mmx_peer_unreachable(node, "silent");
	mmx_peer_node_lose(node, mmx_connection_remote(link->connection)->node,
			   false);
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
		connect_failed_(node, mmx_close_reason_string[reason],
				MMX_REFUSAL_CONNECT);
		return;
	}
	g_hash_table_foreach_remove(node->peer->attempts, is_lost_, link);
	end_calls_(link);
	/* When it fell silent, the entry was told then. */
	if (outstanding && !link->silent)
		mmx_peer_node_lose(
			node, mmx_connection_remote(link->connection)->node,
			false);
}
