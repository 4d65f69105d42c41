#include "private/peer.h"

#include <arpa/inet.h>
#include <assert.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <unistd.h>

#include "private/peer_internal.h"
#include "private/wire.h"

/* How often unused nodes are forgotten, microseconds. */
#define SWEEP_INTERVAL (60 * MMX_US_PER_S)
/* How often a draining peer looks for idle connections, microseconds. */
#define DRAIN_INTERVAL (20 * MMX_US_PER_MS)
#define LISTEN_BACKLOG 512

const mmx_peer_times_t mmx_peer_times_default = {
	.connect = 500 * MMX_US_PER_MS,
	.greeting = 2 * MMX_US_PER_S,
	.null_interval = 200 * MMX_US_PER_MS,
	.path = 500 * MMX_US_PER_MS,
	.origin = 2 * MMX_US_PER_S,
	.silent_age = 5 * MMX_US_PER_S,
	.record = 5 * MMX_US_PER_S,
	.idle = 60 * MMX_US_PER_S,
	.backoff_min = 100 * MMX_US_PER_MS,
	.backoff_max = 5 * MMX_US_PER_S,
	.fence_retry = 200 * MMX_US_PER_MS,
};

const char *const mmx_peer_drop_string[MMX_DROP_COUNT] = {
	"origin-closed", "not-served", "unknown-attempt",
	"late-reply",	 "unexpected", "malformed",
};

const char *const mmx_peer_refusal_string[MMX_REFUSAL_COUNT] = {
	"unknown-node", "backoff", "connect", "congested", "waiting",
	"limit",	"garbage", "foreign", "served",	   "procedure",
};

void mmx_peer_drop(mmx_peer_t *peer, mmx_peer_drop_t why)
{
	mmx_counter_add(peer->counters.dropped[why], 1);
}

void mmx_peer_refused(mmx_peer_t *peer, mmx_peer_refusal_t why)
{
	mmx_counter_add(peer->counters.refused[why], 1);
}

void mmx_peer_end_attempt(mmx_peer_t *peer, const mmx_attempt_id_t *attempt,
			  mmx_node_id_t exit, mmx_reason_t reason, bool started)
{
	mmx_response_t *response = mmx_new_response(attempt);

	response->exit = exit;
	response->reason = reason;
	response->started = started;
	response->body_end = true;
	mmx_task_post(peer->config.entry, &response->message);
}

/* Messages. */

static void handle_(mmx_task_t *task, mmx_message_t *message)
{
	mmx_peer_t *peer = (mmx_peer_t *)task;
	bool from_entry = false;

	switch ((mmx_message_kind_t)message->ops->kind) {
	case MMX_MESSAGE_EXECUTE:
	case MMX_MESSAGE_FENCE:
	case MMX_MESSAGE_CANCEL:
		from_entry = true;
		break;
	case MMX_MESSAGE_BODY:
		from_entry =
			((mmx_body_t *)message)->direction == MMX_TO_TARGET;
		break;
	case MMX_MESSAGE_WINDOW:
		from_entry =
			((mmx_window_t *)message)->direction == MMX_TO_CALLER;
		break;
	case MMX_MESSAGE_RESPONSE:
	case MMX_MESSAGE_FENCE_REPLY:
	case MMX_MESSAGE_EVIDENCE:
		break;
	default:
		mmx_peer_drop(peer, MMX_DROP_UNEXPECTED);
		mmx_message_destroy(message);
		return;
	}
	if (from_entry)
		mmx_peer_from_entry(peer, message);
	else
		mmx_peer_from_exit(peer, message);
}

static const mmx_task_ops_t task_ops_ = {"peer", handle_};

/* Timers. */

static void on_reaper_(void *arg)
{
	mmx_peer_t *peer = arg;
	mmx_peer_link_t *link;

	while ((link = LIST_FIRST(&peer->closed))) {
		LIST_REMOVE(link, entry);
		mmx_peer_link_free(link);
	}
}

static gboolean is_unused_(gpointer key, gpointer value, gpointer data)
{
	return mmx_peer_node_is_unused(value);
}

static void on_sweep_(void *arg)
{
	mmx_peer_t *peer = arg;

	g_hash_table_foreach_remove(peer->nodes, is_unused_, NULL);
	g_hash_table_foreach_remove(peer->addresses, is_unused_, NULL);
	mmx_timer_set(&peer->sweep, SWEEP_INTERVAL);
}

static void on_drain_check_(void *arg)
{
	mmx_peer_t *peer = arg;
	mmx_peer_link_t *link = LIST_FIRST(&peer->all);
	mmx_peer_link_t *next;

	for (; link; link = next) {
		next = LIST_NEXT(link, entry);
		if (link->ready && mmx_peer_link_outstanding(link) == 0 &&
		    mmx_connection_is_flushed(link->connection))
			mmx_connection_close(link->connection, MMX_CLOSE_LOCAL);
	}
	if (LIST_EMPTY(&peer->all))
		peer->drained(peer->drained_arg);
	else
		mmx_timer_set(&peer->drain_check, DRAIN_INTERVAL);
}

/* Counters. */

static void get_table_(mmx_counters_t *counters, const char *name,
		       const char *help, const char *const *labels,
		       size_t count, mmx_counter_t **table)
{
	char *label;
	size_t i;

	for (i = 0; i < count; i++) {
		label = g_strdup_printf("reason=\"%s\"", labels[i]);
		table[i] = mmx_counters_get(counters, MMX_COUNTER, name, label,
					    help);
		g_free(label);
	}
}

static mmx_counter_t *get_(mmx_counters_t *counters, const char *name,
			   const char *help)
{
	return mmx_counters_get(counters, MMX_COUNTER, name, "", help);
}

static void init_counters_(mmx_peer_counters_t *counters, mmx_counters_t *all)
{
	get_table_(all, "masticmux_peer_dropped_total",
		   "Messages between nodes that were dropped.",
		   mmx_peer_drop_string, MMX_DROP_COUNT, counters->dropped);
	get_table_(all, "masticmux_peer_refused_total",
		   "Attempts and calls refused before any exit had them.",
		   mmx_peer_refusal_string, MMX_REFUSAL_COUNT,
		   counters->refused);
	get_table_(all, "masticmux_peer_closed_total",
		   "Connections between nodes that were closed.",
		   mmx_close_reason_string, MMX_CLOSE_REASON_COUNT,
		   counters->closed);
	get_table_(all, "masticmux_peer_session_refused_total",
		   "Connections closed because a record was not authentic.",
		   mmx_session_result_string, MMX_SESSION_RESULT_COUNT,
		   counters->session);
	counters->dialed = get_(all, "masticmux_peer_dialed_total",
				"Connections that were started.");
	counters->accepted = get_(all, "masticmux_peer_accepted_total",
				  "Connections that were accepted.");
	counters->connections =
		mmx_counters_get(all, MMX_GAUGE, "masticmux_peer_connections",
				 "", "Connections to and from other nodes.");
	counters->nulls = get_(all, "masticmux_peer_null_calls_total",
			       "NULL calls sent to check a connection.");
	counters->path_lost =
		get_(all, "masticmux_peer_path_lost_total",
		     "Paths to exits found silent, closed or unreachable.");
	counters->origin_lost = get_(all, "masticmux_peer_origin_lost_total",
				     "Connections of entries that closed.");
	counters->bytes_sent = get_(all, "masticmux_peer_sent_bytes_total",
				    "Bytes sent to other nodes.");
	counters->bytes_received =
		get_(all, "masticmux_peer_received_bytes_total",
		     "Bytes received from other nodes.");
	counters->records_sent = get_(all, "masticmux_peer_sent_records_total",
				      "Records sent to other nodes.");
	counters->records_received =
		get_(all, "masticmux_peer_received_records_total",
		     "Records received from other nodes.");
}

/* Life. */

static void free_node_(gpointer node)
{
	mmx_peer_node_free(node);
}

mmx_peer_t *mmx_peer_create(mmx_runtime_t *runtime,
			    const mmx_peer_config_t *config)
{
	mmx_peer_t *peer = g_new0(mmx_peer_t, 1);

	assert(mmx_runtime_base(runtime));
	assert(config->key_count <= MMX_FLEET_KEYS_MAX);
	mmx_task_init(&peer->task, &task_ops_, runtime);
	peer->config = *config;
	if (peer->config.connections_max == 0)
		peer->config.connections_max = MMX_PEER_CONNECTIONS_MAX;
	peer->times = config->times ? *config->times : mmx_peer_times_default;
	peer->identity = (mmx_session_identity_t){
		.keys = config->keys,
		.key_count = config->key_count,
		.node_name = config->node_name,
		.incarnation = config->incarnation,
		.trusted = config->trusted,
	};
	peer->id = mmx_node_id(config->node_name);
	peer->clock = mmx_runtime_clock(runtime);
	peer->links = g_hash_table_new(g_int64_hash, g_int64_equal);
	peer->nodes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    free_node_);
	peer->addresses = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						free_node_);
	peer->attempts = mmx_peer_attempt_table();
	LIST_INIT(&peer->all);
	LIST_INIT(&peer->closed);
	LIST_INIT(&peer->calls);
	mmx_timer_init(&peer->reaper, peer->clock, on_reaper_, peer);
	mmx_timer_init(&peer->sweep, peer->clock, on_sweep_, peer);
	mmx_timer_init(&peer->drain_check, peer->clock, on_drain_check_, peer);
	mmx_timer_set(&peer->sweep, SWEEP_INTERVAL);
	init_counters_(&peer->counters, config->counters);
	return peer;
}

void mmx_peer_destroy(mmx_peer_t *peer)
{
	mmx_peer_pending_t *pending;
	mmx_peer_link_t *link;
	GHashTableIter iter;

	if (!peer)
		return;
	if (peer->listener)
		evconnlistener_free(peer->listener);
	mmx_timer_cancel(&peer->reaper);
	mmx_timer_cancel(&peer->sweep);
	mmx_timer_cancel(&peer->drain_check);
	while ((pending = LIST_FIRST(&peer->calls))) {
		if (pending->link)
			g_hash_table_remove(pending->link->calls,
					    GUINT_TO_POINTER(pending->xid));
		mmx_peer_call_free(pending);
	}
	on_reaper_(peer);
	while ((link = LIST_FIRST(&peer->all))) {
		LIST_REMOVE(link, entry);
		g_hash_table_iter_init(&iter, link->calls);
		while (g_hash_table_iter_next(&iter, NULL,
					      (gpointer *)&pending))
			g_free(pending);
		mmx_peer_link_free(link);
	}
	g_hash_table_destroy(peer->links);
	g_hash_table_destroy(peer->attempts);
	g_hash_table_destroy(peer->nodes);
	g_hash_table_destroy(peer->addresses);
	mmx_task_finish(&peer->task);
	g_free(peer);
}

static void on_accept_(struct evconnlistener *listener, evutil_socket_t fd,
		       struct sockaddr *address, int size, void *arg)
{
	mmx_peer_t *peer = arg;
	mmx_connection_config_t config;
	mmx_peer_link_t *link;

	if (peer->incoming >= peer->config.connections_max) {
		mmx_counter_add(peer->counters.closed[MMX_CLOSE_LIMIT], 1);
		close(fd);
		return;
	}
	link = mmx_peer_link_new(peer, NULL);
	config = mmx_peer_link_config(link);
	mmx_counter_add(peer->counters.accepted, 1);
	link->connection = mmx_connection_accept(&config, fd, address);
	mmx_peer_link_enter(link);
}

static uint16_t bound_port_(int fd)
{
	/* The port is at the same place in both families. */
	struct sockaddr_in6 address = {.sin6_port = 0};
	socklen_t size = sizeof(address);

	if (getsockname(fd, (struct sockaddr *)&address, &size) != 0)
		return 0;
	return ntohs(address.sin6_port);
}

bool mmx_peer_start(mmx_peer_t *peer, mmx_error_t *error)
{
	const mmx_address_t *listen = &peer->config.listen;
	struct sockaddr_storage storage = {0};
	socklen_t size;

	assert(!peer->listener);
	size = mmx_address_to_sockaddr(listen, &storage);
	if (size == 0)
		return mmx_error_set(error, MMX_ERROR_INVALID, "bad address %s",
				     listen->host);
	if (peer->config.key_count == 0 && !peer->config.trusted &&
	    !mmx_connection_is_loopback((struct sockaddr *)&storage))
		return mmx_error_set(error, MMX_ERROR_AUTH,
				     "no fleet key: only a loopback address "
				     "can be used, not %s",
				     listen->host);
	peer->listener = evconnlistener_new_bind(
		mmx_runtime_base(peer->task.runtime), on_accept_, peer,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		LISTEN_BACKLOG, (struct sockaddr *)&storage, (int)size);
	if (!peer->listener)
		return mmx_error_set(error, MMX_ERROR_IO,
				     "cannot listen on %s:%u", listen->host,
				     listen->port);
	peer->port = bound_port_(evconnlistener_get_fd(peer->listener));
	return true;
}

uint16_t mmx_peer_port(const mmx_peer_t *peer)
{
	return peer->port;
}

void mmx_peer_drain(mmx_peer_t *peer, void (*fn)(void *arg), void *arg)
{
	assert(!peer->draining && fn);
	peer->draining = true;
	peer->drained = fn;
	peer->drained_arg = arg;
	if (peer->listener)
		evconnlistener_free(peer->listener);
	peer->listener = NULL;
	mmx_timer_set(&peer->drain_check, 0);
}

mmx_task_t *mmx_peer_task(mmx_peer_t *peer)
{
	return &peer->task;
}

mmx_incarnation_t mmx_peer_incarnation(const mmx_peer_t *peer, mmx_node_id_t id)
{
	const mmx_peer_node_t *node = g_hash_table_lookup(peer->nodes, &id);

	return node ? node->incarnation : 0;
}

size_t mmx_peer_connection_count(const mmx_peer_t *peer)
{
	return peer->outgoing + peer->incoming;
}
