#include "private/peer_internal.h"

#include <event2/buffer.h>

#include "private/wire.h"

/* A check that fires this much late means that the process was paused; what
 * arrived meanwhile has not been read yet. Microseconds. */
#define PAUSE_MIN (150 * MMX_US_PER_MS)
/* xid of NULL calls; their replies are not matched. */
#define NULL_XID 0

static void collect_usage_(mmx_peer_link_t *link)
{
	const mmx_connection_usage_t *usage =
		mmx_connection_usage(link->connection);
	const mmx_connection_usage_t *counted = &link->counted;
	mmx_peer_counters_t *counters = &link->peer->counters;

	mmx_counter_add(counters->bytes_sent,
			(int64_t)(usage->bytes_sent - counted->bytes_sent));
	mmx_counter_add(
		counters->bytes_received,
		(int64_t)(usage->bytes_received - counted->bytes_received));
	mmx_counter_add(counters->records_sent,
			(int64_t)(usage->records_sent - counted->records_sent));
	mmx_counter_add(
		counters->records_received,
		(int64_t)(usage->records_received - counted->records_received));
	link->counted = *usage;
}

static void send_null_(mmx_peer_link_t *link, mmx_time_t now)
{
	mmx_rpc_header_t header = {
		.xid = NULL_XID,
		.procedure = MMX_PROCEDURE_NULL,
	};

	link->null_at = now;
	mmx_connection_send(link->connection, &header, NULL, 0, NULL);
	mmx_counter_add(link->peer->counters.nulls, 1);
}

/* When the silence that counts began. */
static mmx_time_t silence_start_(const mmx_peer_link_t *link)
{
	mmx_time_t start = mmx_connection_received_at(link->connection);

	if (link->busy_since != MMX_TIME_NEVER)
		start = MAX(start, link->busy_since);
	return MAX(start, link->resumed_at);
}

static mmx_time_t check_busy_outgoing_(mmx_peer_link_t *link, mmx_time_t now)
{
	mmx_time_t start = silence_start_(link);

	if (link->silent &&
	    mmx_connection_received_at(link->connection) > link->silent_at) {
		link->silent = false;
		mmx_peer_node_resumed(link);
	}
	if (!link->silent && now - start >= link->peer->times.path) {
		link->silent = true;
		link->silent_at = now;
		mmx_peer_node_silent(link);
	}
	if (link->silent &&
	    now - link->silent_at >= link->peer->times.silent_age) {
		mmx_connection_close(link->connection, MMX_CLOSE_SILENT);
		return 0;
	}
	if (now - link->null_at >= link->peer->times.null_interval)
		send_null_(link, now);
	if (link->silent)
		return link->peer->times.null_interval;
	return MIN(link->null_at + link->peer->times.null_interval,
		   start + link->peer->times.path) -
	       now;
}

static mmx_time_t check_outgoing_(mmx_peer_link_t *link, mmx_time_t now)
{
	mmx_time_t left;

	if (!link->ready) {
		left = link->created_at + link->peer->times.connect - now;
		if (left <= 0)
			mmx_connection_close(link->connection,
					     MMX_CLOSE_TIMEOUT);
		return left;
	}
	if (link->silent || mmx_peer_link_outstanding(link) > 0)
		return check_busy_outgoing_(link, now);
	left = link->used_at + link->peer->times.idle - now;
	if (left <= 0)
		mmx_connection_close(link->connection, MMX_CLOSE_IDLE);
	return left;
}

static mmx_time_t check_accepted_(mmx_peer_link_t *link, mmx_time_t now)
{
	mmx_time_t received = mmx_connection_received_at(link->connection);
	mmx_time_t start = MAX(received, link->resumed_at);
	mmx_close_reason_t reason;
	mmx_time_t left;

	if (!link->ready) {
		left = link->created_at + link->peer->times.greeting - now;
		reason = MMX_CLOSE_TIMEOUT;
	} else if (mmx_connection_is_mid_record(link->connection)) {
		left = start + link->peer->times.record - now;
		reason = MMX_CLOSE_STALLED;
	} else if (g_hash_table_size(link->served) > 0) {
		/* Generic calls do not count: a caller that has given up one
		 * of them no longer checks the connection. */
		left = silence_start_(link) + link->peer->times.origin - now;
		reason = MMX_CLOSE_SILENT;
	} else {
		/* Later than the dialing side, so that a request does not
		 * meet a connection that is being closed. */
		left = start + link->peer->times.idle * 5 / 4 - now;
		reason = MMX_CLOSE_IDLE;
	}
	if (left <= 0)
		mmx_connection_close(link->connection, reason);
	return MIN(left, link->peer->times.record);
}

static void on_check_(void *arg)
{
	mmx_peer_link_t *link = arg;
	mmx_time_t now = mmx_clock_now(link->peer->clock);
	mmx_time_t left;

	if (now - link->check_at > PAUSE_MIN)
		link->resumed_at = now;
	collect_usage_(link);
	left = link->node ? check_outgoing_(link, now)
			  : check_accepted_(link, now);
	if (mmx_connection_is_closed(link->connection))
		return;
	left = MAX(left, MMX_US_PER_MS);
	link->check_at = now + left;
	mmx_timer_set(&link->check, left);
}

static void check_within_(mmx_peer_link_t *link, mmx_time_t delay)
{
	mmx_time_t due = mmx_clock_now(link->peer->clock) + delay;

	if (mmx_timer_is_set(&link->check) && link->check_at <= due)
		return;
	link->check_at = due;
	mmx_timer_set(&link->check, delay);
}

size_t mmx_peer_link_outstanding(const mmx_peer_link_t *link)
{
	if (link->node)
		return g_hash_table_size(link->calls) + link->attempts;
	return g_hash_table_size(link->served) + link->served_calls;
}

void mmx_peer_link_update(mmx_peer_link_t *link)
{
	mmx_time_t now;

	if (mmx_peer_link_outstanding(link) == 0) {
		if (link->busy_since == MMX_TIME_NEVER)
			return;
		link->busy_since = MMX_TIME_NEVER;
		link->used_at = mmx_clock_now(link->peer->clock);
		return;
	}
	if (link->busy_since != MMX_TIME_NEVER)
		return;
	now = mmx_clock_now(link->peer->clock);
	link->busy_since = now;
	link->null_at = now;
	check_within_(link, link->node ? link->peer->times.null_interval
				       : link->peer->times.origin);
}

/*
 * True when a later process of the same name is connected: two processes must
 * not act under one identity, and the later one is the one that is meant.
 */
static bool has_successor_(const mmx_peer_link_t *link)
{
	const mmx_hello_t *remote = mmx_connection_remote(link->connection);
	const mmx_hello_t *other_remote;
	const mmx_peer_link_t *other;

	LIST_FOREACH (other, &link->peer->all, entry) {
		if (!other->ready)
			continue;
		other_remote = mmx_connection_remote(other->connection);
		if (other_remote->node == remote->node &&
		    other_remote->incarnation > remote->incarnation)
			return true;
	}
	return false;
}

static void on_ready_(mmx_connection_t *connection, void *owner)
{
	mmx_peer_link_t *link = owner;

	if (has_successor_(link)) {
		mmx_counter_add(link->peer->counters
					.session[MMX_SESSION_OLD_INCARNATION],
				1);
		mmx_connection_close(connection, MMX_CLOSE_SESSION);
		return;
	}
	link->ready = true;
	link->used_at = mmx_clock_now(link->peer->clock);
	if (link->node)
		mmx_peer_node_ready(link);
}

static void lose_origin_(mmx_peer_link_t *link)
{
	if (!link->delivered)
		return;
	mmx_counter_add(link->peer->counters.origin_lost, 1);
	mmx_task_post(link->peer->config.exit,
		      &mmx_new_origin_lost(link->id)->message);
}

static void on_closed_(mmx_connection_t *connection, void *owner,
		       mmx_close_reason_t reason)
{
	mmx_peer_link_t *link = owner;
	mmx_peer_t *peer = link->peer;
	mmx_session_result_t result = mmx_connection_session_result(connection);

	mmx_timer_cancel(&link->check);
	collect_usage_(link);
	mmx_counter_add(peer->counters.closed[reason], 1);
	if (reason == MMX_CLOSE_SESSION && result != MMX_SESSION_OK)
		mmx_counter_add(peer->counters.session[result], 1);
	g_hash_table_remove(peer->links, &link->id);
	LIST_REMOVE(link, entry);
	LIST_INSERT_HEAD(&peer->closed, link, entry);
	mmx_timer_set(&peer->reaper, 0);
	if (link->node) {
		peer->outgoing--;
		LIST_REMOVE(link, node_entry);
		mmx_peer_node_closed(link, reason);
	} else {
		peer->incoming--;
		lose_origin_(link);
	}
	mmx_counter_set(peer->counters.connections,
			(int64_t)(peer->outgoing + peer->incoming));
}

static const mmx_connection_ops_t connection_ops_ = {
	on_ready_,
	mmx_peer_on_record,
	on_closed_,
};

mmx_connection_config_t mmx_peer_link_config(mmx_peer_link_t *link)
{
	mmx_peer_t *peer = link->peer;

	return (mmx_connection_config_t){
		.base = mmx_runtime_base(peer->task.runtime),
		.clock = peer->clock,
		.identity = &peer->identity,
		.ops = &connection_ops_,
		.owner = link,
	};
}

static guint hash_attempt_(gconstpointer key)
{
	const mmx_attempt_id_t *id = key;
	uint64_t mixed = id->sequence * 0x9e3779b97f4a7c15ULL ^ id->entry ^
			 id->incarnation << 1;

	return (guint)(mixed ^ mixed >> 32);
}

static gboolean equal_attempts_(gconstpointer a, gconstpointer b)
{
	return mmx_attempt_id_is_equal(a, b);
}

GHashTable *mmx_peer_attempt_table(void)
{
	return g_hash_table_new_full(hash_attempt_, equal_attempts_, NULL,
				     g_free);
}

mmx_peer_link_t *mmx_peer_link_new(mmx_peer_t *peer, mmx_peer_node_t *node)
{
	mmx_peer_link_t *link = g_new0(mmx_peer_link_t, 1);

	link->peer = peer;
	link->node = node;
	link->id = ++peer->next_link;
	link->next_xid = NULL_XID + 2; /* 1 is HELLO */
	link->created_at = mmx_clock_now(peer->clock);
	link->used_at = link->created_at;
	link->busy_since = MMX_TIME_NEVER;
	link->calls = g_hash_table_new(NULL, NULL);
	link->served = mmx_peer_attempt_table();
	mmx_timer_init(&link->check, peer->clock, on_check_, link);
	return link;
}

void mmx_peer_link_enter(mmx_peer_link_t *link)
{
	mmx_peer_t *peer = link->peer;

	g_hash_table_insert(peer->links, &link->id, link);
	LIST_INSERT_HEAD(&peer->all, link, entry);
	if (link->node) {
		LIST_INSERT_HEAD(&link->node->links, link, node_entry);
		peer->outgoing++;
	} else {
		peer->incoming++;
	}
	mmx_counter_set(peer->counters.connections,
			(int64_t)(peer->outgoing + peer->incoming));
	check_within_(link, link->node ? link->peer->times.connect
				       : link->peer->times.greeting);
}

mmx_peer_link_t *mmx_peer_link_find(mmx_peer_t *peer, uint64_t id)
{
	return g_hash_table_lookup(peer->links, &id);
}

void mmx_peer_link_free(mmx_peer_link_t *link)
{
	mmx_timer_cancel(&link->check);
	mmx_connection_destroy(link->connection);
	g_hash_table_destroy(link->calls);
	g_hash_table_destroy(link->served);
	g_free(link);
}

static bool send_message_(mmx_peer_link_t *link, mmx_rpc_header_t *header,
			  mmx_message_t *message)
{
	uint8_t fields[MMX_WIRE_FIELDS_MAX];
	size_t size = mmx_wire_encode(message, fields, NULL);

	if (size == 0)
		return false;
	mmx_connection_send(link->connection, header, fields, size,
			    mmx_wire_body(message));
	return true;
}

bool mmx_peer_link_call(mmx_peer_link_t *link, mmx_procedure_t procedure,
			uint32_t xid, mmx_message_t *message)
{
	mmx_rpc_header_t header = {.xid = xid, .procedure = procedure};

	return send_message_(link, &header, message);
}

void mmx_peer_link_parts(mmx_peer_link_t *link, mmx_procedure_t procedure,
			 mmx_body_t *body)
{
	mmx_body_t *part;

	while (evbuffer_get_length(body->data) > MMX_WIRE_BODY_MAX) {
		part = mmx_new_body(body->direction);
		part->attempt = body->attempt;
		evbuffer_remove_buffer(body->data, part->data,
				       MMX_WIRE_BODY_MAX);
		mmx_peer_link_call(link, procedure, 0, &part->message);
		mmx_message_destroy(&part->message);
	}
	mmx_peer_link_call(link, procedure, 0, &body->message);
}

mmx_body_t *mmx_peer_body_rest(struct evbuffer *first, bool *end,
			       const mmx_attempt_id_t *attempt,
			       mmx_direction_t direction)
{
	mmx_body_t *rest;

	if (evbuffer_get_length(first) <= MMX_WIRE_BODY_MAX)
		return NULL;
	rest = mmx_new_body(direction);
	rest->attempt = *attempt;
	rest->end = *end;
	*end = false;
	evbuffer_add_buffer(rest->data, first);
	evbuffer_remove_buffer(rest->data, first, MMX_WIRE_BODY_MAX);
	return rest;
}

bool mmx_peer_link_reply(mmx_peer_link_t *link, uint32_t xid,
			 mmx_message_t *message)
{
	mmx_rpc_header_t header = {.xid = xid, .reply = true};

	return send_message_(link, &header, message);
}

void mmx_peer_link_reply_status(mmx_peer_link_t *link, uint32_t xid,
				mmx_rpc_status_t status)
{
	mmx_rpc_header_t header = {.xid = xid, .reply = true, .status = status};

	mmx_connection_send(link->connection, &header, NULL, 0, NULL);
}

uint32_t mmx_peer_link_expect(mmx_peer_link_t *link,
			      mmx_peer_pending_t *pending)
{
	/* After 2^32 calls the numbers start again; those in use and those of
	 * NULL and HELLO are left out. */
	while (link->next_xid < 2 ||
	       g_hash_table_contains(link->calls,
				     GUINT_TO_POINTER(link->next_xid)))
		link->next_xid++;
	pending->xid = link->next_xid++;
	pending->link = link;
	g_hash_table_insert(link->calls, GUINT_TO_POINTER(pending->xid),
			    pending);
	return pending->xid;
}
