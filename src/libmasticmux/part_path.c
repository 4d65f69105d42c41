/* Part "path": what a request passes through on this node. */
#include <glib.h>
#include <string.h>

#include "masticmux/gossip.h"
#include "private/announce.h"
#include "private/entry.h"
#include "private/exit.h"
#include "private/http_entry.h"
#include "private/node_parts.h"
#include "private/peer.h"
#include "private/target_client.h"

typedef struct path_t {
	mmx_part_t part;
	mmx_http_entry_t *http;
	mmx_target_client_t *client;
	mmx_announce_t *announce;
} path_t;

static void target_changed_(void *context, const mmx_target_record_t *record)
{
	mmx_node_t *node = context;

	mmx_history_target(node->history, record->id,
			   "%s with %u slots for service %s",
			   mmx_target_state_string[record->state],
			   record->slots, record->service);
	mmx_part_fleet_announce(node, record);
}

static const mmx_exit_observer_ops_t observer_ops_ = {target_changed_};

static mmx_ring_t ring_(void *context, mmx_node_id_t id)
{
	const mmx_node_t *node = context;
	const mmx_member_t *member =
		mmx_membership_find(mmx_gossip_membership(node->gossip), id);

	if (id == node->id)
		return MMX_RING_ZONE;
	if (!member || strcmp(member->region, node->settings->region) != 0)
		return MMX_RING_REMOTE;
	return strcmp(member->zone, node->settings->zone) == 0
		       ? MMX_RING_ZONE
		       : MMX_RING_REGION;
}

static mmx_availability_t availability_(void *context, mmx_node_id_t id)
{
	const mmx_node_t *node = context;
	const mmx_member_t *member =
		mmx_membership_find(mmx_gossip_membership(node->gossip), id);

	if (id == node->id)
		return MMX_AVAILABLE;
	if (!member || member->state == MMX_MEMBER_DEAD)
		return MMX_AVAILABILITY_DEAD;
	if (member->state == MMX_MEMBER_LEFT)
		return MMX_AVAILABILITY_DRAINING;
	return member->state == MMX_MEMBER_UNREACHABLE
		       ? MMX_AVAILABILITY_UNREACHABLE
		       : MMX_AVAILABLE;
}

static const mmx_view_members_ops_t members_ops_ = {ring_, availability_};

static bool init_(mmx_part_t *part, mmx_error_t *error)
{
	path_t *path = (path_t *)part;
	mmx_node_t *node = part->node;
	mmx_task_t *exit_task = mmx_exit_task(node->exit);

	path->client = mmx_target_client_create(node->runtime, exit_task,
						node->counters);
	path->http = mmx_http_entry_create(
		node->runtime, mmx_entry_task(node->entry), node->counters);
	path->announce =
		mmx_announce_create(node->runtime, exit_task, node->counters);
	mmx_target_client_init(path->client);
	mmx_exit_set_target_client(node->exit,
				   mmx_target_client_task(path->client));
	mmx_exit_set_observer(node->exit, &observer_ops_, node);
	mmx_exit_set_fold(node->exit, &node->fold);
	mmx_exit_set_counters(node->exit, node->counters);
	mmx_exit_set_log(node->exit, node->log);
	mmx_exit_set_trace(node->exit, node->trace);
	mmx_exit_set_history(node->exit, node->history);
	mmx_exit_init(node->exit);
	mmx_entry_set_http(node->entry, mmx_http_entry_task(path->http));
	mmx_entry_set_peer(node->entry, mmx_peer_task(node->peer));
	mmx_entry_set_claims(node->entry, node->claims);
	mmx_entry_set_local_exit(node->entry, exit_task);
	mmx_entry_set_fold(node->entry, &node->fold);
	mmx_entry_set_directory(node->entry, node->directory);
	mmx_entry_set_counters(node->entry, node->counters);
	mmx_entry_set_members(node->entry, &members_ops_, node);
	mmx_entry_set_trace(node->entry, node->trace);
	mmx_entry_set_history(node->entry, node->history);
	mmx_entry_init(node->entry);
	return mmx_announce_init(path->announce,
				 &node->settings->listen_announce, error) &&
	       mmx_http_entry_init(path->http, &node->settings->listen_callers,
				   error);
}

static void drain_(mmx_part_t *part)
{
	path_t *path = (path_t *)part;

	mmx_exit_stop_all(part->node->exit);
	mmx_http_entry_drain(path->http);
}

static size_t in_progress_(const mmx_part_t *part)
{
	const path_t *path = (const path_t *)part;

	/* Answers may still be on their way to callers. */
	return mmx_http_entry_connections(path->http) +
	       mmx_entry_in_progress(part->node->entry) +
	       mmx_exit_in_progress(part->node->exit, NULL);
}

static void destroy_(mmx_part_t *part)
{
	path_t *path = (path_t *)part;

	mmx_announce_destroy(path->announce);
	mmx_http_entry_destroy(path->http);
	mmx_target_client_destroy(path->client);
	g_free(path);
}

static const mmx_part_ops_t ops_ = {
	.name = "path",
	.init = init_,
	.drain = drain_,
	.in_progress = in_progress_,
	.destroy = destroy_,
};

mmx_part_t *mmx_part_path_create(mmx_node_t *node)
{
	path_t *path = g_new0(path_t, 1);

	path->part.ops = &ops_;
	return &path->part;
}
