/*
 * Part "config": keeps the configuration in force, and exchanges configuration
 * records with other nodes.
 */
#include <glib.h>

#include "masticmux/config_task.h"
#include "masticmux/gossip.h"
#include "private/node_parts.h"
#include "private/peer.h"

#define CALL_TIMEOUT_US (2 * MMX_US_PER_S)
#define PULL_ARGUMENTS_BYTES 8
#define LOAD_ARGUMENTS_BYTES 12
#define MEMBERS_BATCH_TIME_US (10 * MMX_US_PER_MS)

typedef struct config_part_t {
	mmx_part_t part;
	bool members_posted; /* unused */
	mmx_timer_t members_timer;
} config_part_t;

/* A call to a peer, or a call of a peer that this node serves. */
typedef struct peer_call_t {
	mmx_node_t *node;
	mmx_node_id_t peer;
	mmx_peer_ticket_t ticket; /* of a call that this node serves */
} peer_call_t;

static void encode_uint_(uint8_t *bytes, uint64_t value, int length)
{
	int i;

	for (i = 0; i < length; i++)
		bytes[i] = (uint8_t)(value >> (8 * (length - 1 - i)));
}

static uint64_t decode_uint_(const uint8_t *bytes, int length)
{
	uint64_t value = 0;
	int i;

	for (i = 0; i < length; i++)
		value = value << 8 | bytes[i];
	return value;
}

static peer_call_t *new_peer_call_(mmx_node_t *node, mmx_node_id_t peer)
{
	peer_call_t *call = g_new0(peer_call_t, 1);

	call->node = node;
	call->peer = peer;
	return call;
}

static void on_pull_reply_(void *arg, mmx_peer_result_t result,
			   const uint8_t *bytes, size_t length)
{
	peer_call_t *call = arg;

	mmx_config_task_post_pull_response(call->node->config, call->peer,
					   result == MMX_PEER_OK ? bytes : NULL,
					   length);
	g_free(call);
}

static void on_load_reply_(void *arg, mmx_peer_result_t result,
			   const uint8_t *bytes, size_t length)
{
	peer_call_t *call = arg;

	mmx_config_task_post_load_response(call->node->config, call->peer,
					   result == MMX_PEER_OK ? bytes : NULL,
					   length);
	g_free(call);
}

static void advertise_version_(void *arg, mmx_node_id_t peer,
			       const mmx_config_progress_t *news)
{
	mmx_node_t *node = arg;

	mmx_gossip_set_offset(node->gossip, news->applied);
	mmx_gossip_send_news(node->gossip, peer);
}

static void send_pull_(void *arg, mmx_node_id_t peer, uint64_t after)
{
	mmx_node_t *node = arg;
	mmx_peer_place_t place = {.node = peer};
	uint8_t arguments[PULL_ARGUMENTS_BYTES];

	encode_uint_(arguments, after, 8);
	mmx_peer_call(node->peer, &place, MMX_PROCEDURE_CONFIG_PULL, arguments,
		      sizeof(arguments), CALL_TIMEOUT_US, on_pull_reply_,
		      new_peer_call_(node, peer));
}

static void send_load_(void *arg, mmx_node_id_t peer, uint64_t applied,
		       uint32_t part)
{
	mmx_node_t *node = arg;
	mmx_peer_place_t place = {.node = peer};
	uint8_t arguments[LOAD_ARGUMENTS_BYTES];

	encode_uint_(arguments, applied, 8);
	encode_uint_(arguments + 8, part, 4);
	mmx_peer_call(node->peer, &place, MMX_PROCEDURE_CONFIG_LOAD, arguments,
		      sizeof(arguments), CALL_TIMEOUT_US, on_load_reply_,
		      new_peer_call_(node, peer));
}

static const mmx_config_transport_ops_t transport_ops_ = {
	advertise_version_,
	send_pull_,
	send_load_,
};

static void reply_(void *arg, const uint8_t *data, size_t length)
{
	peer_call_t *call = arg;

	if (data)
		mmx_peer_answer(call->node->peer, &call->ticket, data, length);
	else
		mmx_peer_refuse(call->node->peer, &call->ticket);
	g_free(call);
}

static void serve_pull_(void *arg, const mmx_peer_ticket_t *ticket,
			const uint8_t *bytes, size_t length)
{
	mmx_node_t *node = arg;
	peer_call_t *call;

	if (length != PULL_ARGUMENTS_BYTES) {
		mmx_peer_refuse(node->peer, ticket);
		return;
	}
	call = new_peer_call_(node, ticket->caller);
	call->ticket = *ticket;
	mmx_config_task_post_pull_request(node->config, decode_uint_(bytes, 8),
					  reply_, call);
}

static void serve_load_(void *arg, const mmx_peer_ticket_t *ticket,
			const uint8_t *bytes, size_t length)
{
	mmx_node_t *node = arg;
	peer_call_t *call;

	if (length != LOAD_ARGUMENTS_BYTES) {
		mmx_peer_refuse(node->peer, ticket);
		return;
	}
	call = new_peer_call_(node, ticket->caller);
	call->ticket = *ticket;
	mmx_config_task_post_load_request(node->config, decode_uint_(bytes, 8),
					  (uint32_t)decode_uint_(bytes + 8, 4),
					  reply_, call);
}

void mmx_part_config_fill_ages(void *arg, mmx_gossip_ages_t *ages)
{
	const mmx_node_t *node = arg;
	mmx_config_progress_t news;

	if (!node->config ||
	    !mmx_config_progress(mmx_config_task_config(node->config), &news))
		return;
	ages->confirmed = news.confirmed_age;
	ages->reader = news.reader_age;
}

void mmx_part_config_on_peer_version(void *arg, mmx_node_id_t from,
				     uint64_t offset,
				     const mmx_gossip_ages_t *ages)
{
	mmx_node_t *node = arg;
	const mmx_config_progress_t news = {
		.applied = offset,
		.confirmed_age = ages->confirmed,
		.reader_age = ages->reader,
	};

	if (node->config)
		mmx_config_task_post_peer_progress(node->config, from, &news);
}

static void add_alive_member_(void *arg, const mmx_member_t *member)
{
	GArray *members = arg;
	const mmx_config_member_t item = {
		.id = member->id,
		.region = mmx_config_region_id(member->region),
	};

	if (member->state == MMX_MEMBER_ALIVE)
		g_array_append_val(members, item);
}

static void on_members_timer_(void *arg)
{
	config_part_t *self = arg;
	mmx_node_t *node = self->part.node;
	GArray *members =
		g_array_new(FALSE, FALSE, sizeof(mmx_config_member_t));

	mmx_membership_each(mmx_gossip_membership(node->gossip),
			    add_alive_member_, members);
	mmx_config_task_post_members(node->config,
				     (mmx_config_member_t *)members->data,
				     members->len);
	g_array_free(members, TRUE);
}

void mmx_part_config_on_members_changed(mmx_node_t *node)
{
	config_part_t *self = (config_part_t *)node->config_part;

	/* The timer batches changes that come shortly after one another. */
	if (self->members_timer.clock &&
	    !mmx_timer_is_set(&self->members_timer))
		mmx_timer_set(&self->members_timer, MEMBERS_BATCH_TIME_US);
}

static void on_fold_changed_(void *arg, const mmx_config_state_t *config_state)
{
	mmx_node_t *node = arg;

	node->config_state = config_state;
	mmx_part_quota_on_limits_changed(node);
	if (config_state)
		mmx_gossip_set_offset(
			node->gossip,
			mmx_config_state_applied_offset(config_state));
}

static bool init_(mmx_part_t *part, mmx_error_t *error)
{
	config_part_t *self = (config_part_t *)part;
	mmx_node_t *node = part->node;

	mmx_timer_init(&self->members_timer, node->clock, on_members_timer_,
		       self);
	node->config = mmx_config_task_create(
		node->runtime, node->settings, &transport_ops_, node,
		node->counters, node->log, mmx_random_next(&node->random));
	mmx_config_task_set_watch(node->config, on_fold_changed_, node);
	mmx_peer_register(node->peer, MMX_PROCEDURE_CONFIG_PULL, serve_pull_,
			  node);
	mmx_peer_register(node->peer, MMX_PROCEDURE_CONFIG_LOAD, serve_load_,
			  node);
	mmx_part_config_on_members_changed(node);
	mmx_config_task_start(node->config);
	return true;
}

static void destroy_(mmx_part_t *part)
{
	config_part_t *self = (config_part_t *)part;

	if (self->members_timer.clock)
		mmx_timer_cancel(&self->members_timer);
	mmx_config_task_destroy(part->node->config);
	g_free(self);
}

static const mmx_part_ops_t ops_ = {
	.name = "config",
	.init = init_,
	.destroy = destroy_,
};

mmx_part_t *mmx_part_config_create(mmx_node_t *node)
{
	config_part_t *self = g_new0(config_part_t, 1);

	self->part.ops = &ops_;
	node->config_part = &self->part;
	return &self->part;
}
