/* Part "relay": connects the relay of store records with roster and peers. */
#include <glib.h>
#include <string.h>

#include "private/node_parts.h"
#include "private/peer.h"
#include "private/roster.h"
#include "private/store_relay.h"

/* Longest wait for a reply. Nodes of a zone are milliseconds apart, and a node
 * that is slower than this should not be queried. */
#define REPLY_TIMEOUT_US (500 * MMX_US_PER_MS)

typedef struct relay_part_t {
	mmx_part_t part;
	mmx_relay_t *relay;
} relay_part_t;

/* Collects the nodes of a zone. */
typedef struct zone_nodes_t {
	const mmx_settings_t *settings;
	GArray *nodes; /* of mmx_node_id_t */
} zone_nodes_t;

/* A query that waits for its reply. */
typedef struct query_t {
	mmx_store_reply_fn_t fn;
	void *arg;
} query_t;

static void add_zone_node_(void *arg, const mmx_roster_node_t *node)
{
	zone_nodes_t *zone = arg;

	if (strcmp(node->zone, zone->settings->zone) == 0 &&
	    strcmp(node->region, zone->settings->region) == 0)
		g_array_append_val(zone->nodes, node->id);
}

static void list_zone_nodes_(void *context, GArray *nodes)
{
	const mmx_node_t *node = context;
	zone_nodes_t zone = {.settings = node->settings, .nodes = nodes};

	if (!node->draining)
		mmx_roster_foreach(node->roster, add_zone_node_, &zone);
}

static const char *node_name_(void *context, mmx_node_id_t id)
{
	const mmx_node_t *node = context;
	const mmx_roster_node_t *found = mmx_roster_find(node->roster, id);

	return found ? found->name : NULL;
}

static void on_reply_(void *arg, mmx_peer_result_t result, const uint8_t *bytes,
		      size_t length)
{
	query_t *query = arg;

	query->fn(query->arg, result == MMX_PEER_OK ? bytes : NULL, length);
	g_free(query);
}

static void send_query_(void *context, mmx_node_id_t id,
			mmx_store_query_kind_t kind, const uint8_t *bytes,
			size_t length, mmx_store_reply_fn_t fn, void *arg)
{
	const mmx_node_t *node = context;
	mmx_peer_place_t place = {.node = id};
	query_t *query = g_new0(query_t, 1);

	query->fn = fn;
	query->arg = arg;
	mmx_peer_call(node->peer, &place,
		      kind == MMX_STORE_QUERY_BLOCK ? MMX_PROCEDURE_STORE_BLOCK
						    : MMX_PROCEDURE_STORE_NEWS,
		      bytes, length, REPLY_TIMEOUT_US, on_reply_, query);
}

static const mmx_store_relay_node_ops_t node_ops_ = {
	.list_zone_nodes = list_zone_nodes_,
	.node_name = node_name_,
	.send_query = send_query_,
};

static void serve_query_(void *arg, const mmx_peer_ticket_t *ticket,
			 const uint8_t *bytes, size_t length)
{
	relay_part_t *self = arg;
	mmx_node_t *node = self->part.node;
	uint8_t *answer = NULL;
	size_t size;

	if (node->draining ||
	    !mmx_relay_serve(self->relay, bytes, length, &answer, &size))
		mmx_peer_refuse(node->peer, ticket);
	else
		mmx_peer_answer(node->peer, ticket, answer ? answer : bytes,
				size);
	g_free(answer);
}

static void serve_block_(void *arg, const mmx_peer_ticket_t *ticket,
			 const uint8_t *bytes, size_t length)
{
	relay_part_t *self = arg;
	mmx_node_t *node = self->part.node;
	uint8_t *answer;
	size_t size;

	if (node->draining ||
	    !mmx_relay_serve_block(self->relay, ticket->caller, bytes, length,
				   &answer, &size)) {
		mmx_peer_refuse(node->peer, ticket);
		return;
	}
	mmx_peer_answer(node->peer, ticket, answer, size);
	g_free(answer);
}

static bool init_(mmx_part_t *part, mmx_error_t *error)
{
	relay_part_t *self = (relay_part_t *)part;
	mmx_node_t *node = part->node;

	(void)error;
	mmx_peer_register(node->peer, MMX_PROCEDURE_STORE_NEWS, serve_query_,
			  self);
	mmx_peer_register(node->peer, MMX_PROCEDURE_STORE_BLOCK, serve_block_,
			  self);
	node->store->ops->set_relay(node->store, mmx_relay_base(self->relay));
	return true;
}

static void destroy_(mmx_part_t *part)
{
	relay_part_t *self = (relay_part_t *)part;

	part->node->store->ops->set_relay(part->node->store, NULL);
	mmx_relay_destroy(self->relay);
	g_free(self);
}

static const mmx_part_ops_t ops_ = {
	.name = "relay",
	.init = init_,
	.destroy = destroy_,
};

mmx_part_t *mmx_part_relay_create(mmx_node_t *node)
{
	relay_part_t *self = g_new0(relay_part_t, 1);

	self->part.ops = &ops_;
	self->relay = mmx_relay_create(&(mmx_store_relay_config_t){
		.clock = node->clock,
		.node = node->id,
		.ops = &node_ops_,
		.context = node,
		.counters = node->counters,
		.log = node->log,
	});
	return &self->part;
}
