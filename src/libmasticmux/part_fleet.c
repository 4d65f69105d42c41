/*
 * Part "fleet": discovers the other nodes by gossip. Runs membership and
 * directory over datagrams, the peer connections, and DIRECTORY_SYNC over
 * these connections.
 */
#include <glib.h>
#include <event2/event.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "masticmux/gossip.h"
#include "private/node_parts.h"
#include "private/peer.h"

#define SYNC_TIMEOUT_US (5 * MMX_US_PER_S)
#define DIRECTORY_EXPIRY_AGE_US (24 * 3600 * MMX_US_PER_S)
#define DIRECTORY_EXPIRY_INTERVAL_US (60 * MMX_US_PER_S)

typedef struct fleet_part_t {
	mmx_part_t part;
	mmx_peer_resolver_t resolver;
	mmx_timer_t expiry;
	bool peer_draining; /* connections to other nodes are being closed */
} fleet_part_t;

/* A sync request that waits for its reply. */
typedef struct sync_call_t {
	mmx_node_t *node;
	mmx_node_id_t peer;
} sync_call_t;

static void on_sync_reply_(void *arg, mmx_peer_result_t result,
			   const uint8_t *bytes, size_t length)
{
	sync_call_t *call = arg;
	mmx_membership_t *membership =
		mmx_gossip_membership(call->node->gossip);

	if (result == MMX_PEER_OK)
		mmx_membership_sync_reply(membership, call->peer, bytes,
					  length);
	else
		mmx_membership_sync_failed(membership, call->peer);
	g_free(call);
}

static void send_sync_request_(void *arg, const mmx_member_t *peer,
			       const uint8_t *data, size_t size)
{
	mmx_node_t *node = arg;
	mmx_peer_place_t place = {.node = peer->id, .address = peer->nodes};
	sync_call_t *call = g_new0(sync_call_t, 1);

	call->node = node;
	call->peer = peer->id;
	mmx_peer_call(node->peer, &place, MMX_PROCEDURE_DIRECTORY_SYNC, data,
		      size, SYNC_TIMEOUT_US, on_sync_reply_, call);
}

static void serve_sync_(void *arg, const mmx_peer_ticket_t *ticket,
			const uint8_t *bytes, size_t length)
{
	mmx_node_t *node = arg;
	uint8_t *reply = NULL;
	size_t reply_size = 0;

	if (mmx_membership_sync_serve(mmx_gossip_membership(node->gossip),
				      bytes, length, &reply, &reply_size))
		mmx_peer_answer(node->peer, ticket, reply, reply_size);
	else
		mmx_peer_refuse(node->peer, ticket);
	free(reply);
}

static void on_member_changed_(void *arg, const mmx_member_t *member,
			       mmx_member_state_t old_state)
{
	mmx_node_t *node = arg;

	mmx_history_target(node->history, member->id,
			   "node %s is %s, incarnation %" PRIu64, member->name,
			   mmx_member_state_string[member->state],
			   member->incarnation);
	if (old_state != member->state)
		mmx_log_event(node->log, MMX_LOG_INFO, "member_state", "member",
			      member->name, "zone", member->zone, "state",
			      mmx_member_state_string[member->state], NULL);
	mmx_part_config_on_members_changed(node);
	mmx_part_claims_on_members_changed(node);
	mmx_part_quota_on_nodes_changed(node);
}

/* Records announcements of other nodes in the history, as the decisions of this
 * node about their targets depend on them. */
static void on_target_changed_(void *arg, const mmx_target_record_t *record)
{
	mmx_node_t *node = arg;

	if (record->node != node->id)
		mmx_history_target(node->history, record->id,
				   "announced as %s with %u slots for service "
				   "%s",
				   mmx_target_state_string[record->state],
				   record->slots, record->service);
}

static void on_name_conflict_(void *arg, const mmx_address_t *other)
{
	mmx_node_t *node = arg;
	char address[MMX_ADDRESS_MAX + 10];

	mmx_address_format(other, address, sizeof(address));
	mmx_log_event(node->log, MMX_LOG_ERROR, "node_name_conflict", "node",
		      node->settings->node_name, "other", address, NULL);
	event_base_loopbreak(node->base);
}

static const mmx_membership_ops_t membership_ops_ = {
	.sync_request = send_sync_request_,
	.changed = on_member_changed_,
	.target_changed = on_target_changed_,
	.fill_ages = mmx_part_config_fill_ages,
	.news_seen = mmx_part_config_on_peer_version,
	.conflict = on_name_conflict_,
};

void mmx_part_fleet_announce(mmx_node_t *node,
			     const mmx_target_record_t *record)
{
	mmx_gossip_announce(node->gossip, record);
}

static bool resolve_(mmx_peer_resolver_t *resolver, mmx_node_id_t id,
		     mmx_address_t *address, mmx_incarnation_t *incarnation)
{
	fleet_part_t *self = (fleet_part_t *)((char *)resolver -
					      offsetof(fleet_part_t, resolver));
	const mmx_member_t *member = mmx_membership_find(
		mmx_gossip_membership(self->part.node->gossip), id);

	if (!member || member->nodes.port == 0)
		return false;
	*address = member->nodes;
	*incarnation = member->incarnation;
	return true;
}

static const mmx_peer_resolver_ops_t resolver_ops_ = {.resolve = resolve_};

static bool find_node_(const mmx_node_t *node, mmx_node_id_t id,
		       mmx_node_info_t *info)
{
	const mmx_member_t *member =
		mmx_membership_find(mmx_gossip_membership(node->gossip), id);

	if (!member)
		return false;
	*info = (mmx_node_info_t){
		.id = id,
		.name = member->name,
		.region = member->region,
		.zone = member->zone,
		.address = &member->nodes,
	};
	if (member->state == MMX_MEMBER_DEAD)
		info->availability = MMX_AVAILABILITY_DEAD;
	else if (member->state == MMX_MEMBER_LEFT)
		info->availability = MMX_AVAILABILITY_DRAINING;
	else if (member->state == MMX_MEMBER_UNREACHABLE)
		info->availability = MMX_AVAILABILITY_UNREACHABLE;
	return true;
}

static const mmx_node_lookup_ops_t node_lookup_ops_ = {.find = find_node_};

static void on_expiry_(void *arg)
{
	fleet_part_t *self = arg;

	mmx_directory_expire(self->part.node->directory,
			     DIRECTORY_EXPIRY_AGE_US);
	mmx_timer_set(&self->expiry, DIRECTORY_EXPIRY_INTERVAL_US);
}

static bool init_(mmx_part_t *part, mmx_error_t *error)
{
	fleet_part_t *self = (fleet_part_t *)part;
	mmx_node_t *node = part->node;
	const mmx_gossip_config_t config = {
		.settings = node->settings,
		.incarnation = node->incarnation,
		.random_seed = mmx_random_next(&node->random),
		.counters = node->counters,
	};

	self->resolver.ops = &resolver_ops_;
	node->node_lookup = &node_lookup_ops_;
	mmx_timer_init(&self->expiry, node->clock, on_expiry_, self);
	if (!mmx_node_start_peer(node, &self->resolver, error))
		return false;
	mmx_peer_register(node->peer, MMX_PROCEDURE_DIRECTORY_SYNC, serve_sync_,
			  node);
	node->gossip =
		mmx_gossip_create(&config, node->runtime, node->directory,
				  &membership_ops_, node, error);
	if (!node->gossip)
		return false;
	mmx_timer_set(&self->expiry, DIRECTORY_EXPIRY_INTERVAL_US);
	return true;
}

static void drain_(mmx_part_t *part)
{
	mmx_gossip_leave(part->node->gossip);
}

static void on_peer_drained_(void *arg)
{
	fleet_part_t *self = arg;

	self->peer_draining = false;
}

/* Peer connections close last, as they may still carry responses to entries of
 * other nodes, and fencing queries arrive over new ones. */
static void close_connections_(mmx_part_t *part)
{
	fleet_part_t *self = (fleet_part_t *)part;

	self->peer_draining = true;
	mmx_peer_drain(part->node->peer, on_peer_drained_, self);
}

static size_t in_progress_(const mmx_part_t *part)
{
	const fleet_part_t *self = (const fleet_part_t *)part;

	return self->peer_draining ? 1 : 0;
}

static void destroy_(mmx_part_t *part)
{
	fleet_part_t *self = (fleet_part_t *)part;
	mmx_node_t *node = part->node;

	if (self->expiry.clock)
		mmx_timer_cancel(&self->expiry);
	if (node->gossip)
		mmx_gossip_destroy(node->gossip);
	if (node->peer)
		mmx_peer_destroy(node->peer);
	mmx_directory_destroy(node->directory);
	g_free(self);
}

static const mmx_part_ops_t ops_ = {
	.name = "fleet",
	.init = init_,
	.drain = drain_,
	.close_connections = close_connections_,
	.in_progress = in_progress_,
	.destroy = destroy_,
};

mmx_part_t *mmx_part_fleet_create(mmx_node_t *node)
{
	fleet_part_t *self = g_new0(fleet_part_t, 1);

	self->part.ops = &ops_;
	node->directory = mmx_directory_create(node->clock);
	return &self->part;
}
