/* Part "path": the components that process requests on this node, from the
 * callers to the targets. */
#include <glib.h>
#include <string.h>

#include "private/announce.h"
#include "private/entry.h"
#include "private/exit.h"
#include "private/http_entry.h"
#include "private/node_parts.h"
#include "private/peer.h"
#include "private/target_client.h"
#include "private/target_probe.h"

/* A node that stops still accepts connections for this fraction of its grace
 * period, 1/n, and not longer than callers take to notice the stop by several
 * checks of /healthz. */
#define STOP_ACCEPT_DIVISOR 2
#define STOP_ACCEPT_MAX_US (3 * MMX_US_PER_S)

/* The target outlives a node that stops, so its exit admits requests for this
 * fraction of the grace period, 1/n. The rest is for those that run then.
 * Otherwise a rolling restart would take away most targets of a service at the
 * same time. */
#define STOP_SERVE_DIVISOR 3

/* A node reads configuration and roster within 0.2 s of its start; after this
 * time the store is probably unavailable. */
#define STARTUP_HOLD_US (500 * MMX_US_PER_MS)

/* Longest idle time of a connection that is reused for a request that is not
 * repeatable. Targets may drop connections without notice after seconds of
 * idleness; a new connection costs 1 ms. */
#define REUSE_IDLE_MAX_US (1 * MMX_US_PER_S)

/* Targets that announce for how long they are cold are only slower during that
 * time and have all their slots. */
#define COLD_PERCENT 100

typedef struct path_part_t {
	mmx_part_t part;
	mmx_timer_t accept_end; /* of a node that stops */
	bool accept_ended;	/* connections are no longer accepted */
	mmx_http_entry_t *http;
	mmx_target_client_t *client;
	mmx_announce_t *announce;
} path_part_t;

static void target_changed_(void *context, const mmx_target_record_t *record)
{
	mmx_node_t *node = context;

	mmx_history_target(node->history, record->id,
			   "%s with %u slots for service %s",
			   mmx_target_state_string[record->state],
			   record->slots, record->service);
	if (node->roster)
		mmx_part_roster_announce(node, record);
	else
		mmx_part_fleet_announce(node, record);
}

/* The targets of a service share the reserve of its retry budget equally. */
static void retry_limit_(void *context, const char *service,
			 mmx_retry_limit_t *limit)
{
	const mmx_node_t *node = context;
	const mmx_directory_service_t *targets =
		mmx_directory_service(node->directory, service);
	size_t count = targets ? mmx_directory_service_count(targets) : 0;

	limit->reserve = (uint32_t)(node->reloadable.retry_reserve * 100 /
				    MAX(count, 1));
	limit->window = node->reloadable.retry_window;
}

static void target_unconfirmed_(void *context)
{
	const mmx_node_t *node = context;

	if (node->probe)
		mmx_target_probe_repeat(node->probe);
}

static const mmx_exit_observer_ops_t observer_ops_ = {
	.target_changed = target_changed_,
};
/* With a store, targets outlive the node beside them. */
static const mmx_exit_observer_ops_t store_observer_ops_ = {
	.target_changed = target_changed_,
	.retry_limit = retry_limit_,
	.target_unconfirmed = target_unconfirmed_,
};

static mmx_locality_t locality_(void *context, mmx_node_id_t id)
{
	const mmx_node_t *node = context;
	mmx_node_info_t info;

	if (id == node->id)
		return MMX_LOCALITY_ZONE;
	if (!node->node_lookup->find(node, id, &info) ||
	    strcmp(info.region, node->settings->region) != 0)
		return MMX_LOCALITY_REMOTE;
	return strcmp(info.zone, node->settings->zone) == 0
		       ? MMX_LOCALITY_ZONE
		       : MMX_LOCALITY_REGION;
}

static mmx_availability_t availability_(void *context, mmx_node_id_t id)
{
	const mmx_node_t *node = context;
	mmx_node_info_t info;

	if (id == node->id)
		return MMX_AVAILABLE;
	return node->node_lookup->find(node, id, &info) ? info.availability
							: MMX_AVAILABILITY_DEAD;
}

static mmx_incarnation_t incarnation_(void *context, mmx_node_id_t id)
{
	const mmx_node_t *node = context;

	return id == node->id ? node->incarnation
			      : mmx_peer_incarnation(node->peer, id);
}

static const mmx_view_members_ops_t members_ops_ = {
	.locality = locality_,
	.availability = availability_,
};
/* Roster records contain no incarnation. */
static const mmx_view_members_ops_t roster_members_ops_ = {
	.locality = locality_,
	.availability = availability_,
	.incarnation = incarnation_,
};

static uint8_t repeat_percent_(void *context, mmx_time_t objective)
{
	const mmx_node_t *node = context;

	return mmx_exit_repeat_percent(node->exit, objective);
}

static void init_exit_(path_part_t *self)
{
	mmx_node_t *node = self->part.node;

	mmx_exit_set_target_client(node->exit,
				   mmx_target_client_task(self->client));
	mmx_exit_set_observer(
		node->exit, node->store ? &store_observer_ops_ : &observer_ops_,
		node);
	mmx_exit_set_config_state(node->exit, &node->config_state);
	mmx_exit_set_counters(node->exit, node->counters);
	mmx_exit_set_log(node->exit, node->log);
	mmx_exit_set_header_names(node->exit, node->header_names);
	mmx_exit_set_expect_episodes(node->exit, node->store != NULL);
	if (node->store)
		mmx_exit_set_cold_percent(node->exit, COLD_PERCENT);
	mmx_exit_set_reports_work(node->exit,
				  &node->reloadable.balance_by_work);
	mmx_exit_set_trace(node->exit, node->trace);
	mmx_exit_set_history(node->exit, node->history);
	mmx_exit_init(node->exit);
}

static void init_entry_(path_part_t *self)
{
	mmx_node_t *node = self->part.node;

	mmx_entry_set_http(node->entry, mmx_http_entry_task(self->http));
	mmx_entry_set_peer(node->entry, mmx_peer_task(node->peer));
	mmx_entry_set_claims(node->entry, node->claims);
	mmx_entry_set_local_exit(node->entry, mmx_exit_task(node->exit));
	mmx_entry_set_config_state(node->entry, &node->config_state);
	mmx_entry_set_directory(node->entry, node->directory);
	mmx_entry_set_counters(node->entry, node->counters);
	mmx_entry_set_members(
		node->entry,
		node->roster ? &roster_members_ops_ : &members_ops_, node);
	mmx_entry_set_header_names(
		node->entry, node->header_names,
		node->settings->service[0] ? node->settings->service : NULL);
	mmx_entry_set_log(node->entry, node->log);
	mmx_entry_set_budget_at_exits(node->entry, node->store != NULL);
	mmx_entry_set_by_work(node->entry, &node->reloadable.balance_by_work);
	if (node->store) {
		mmx_entry_set_startup_hold(node->entry, STARTUP_HOLD_US);
		mmx_entry_set_repeat_percent(node->entry, repeat_percent_,
					     node);
	}
	mmx_entry_set_trace(node->entry, node->trace);
	mmx_entry_set_history(node->entry, node->history);
	mmx_entry_init(node->entry);
}

static void create_probe_(mmx_node_t *node)
{
	const mmx_settings_t *settings = node->settings;

	if (!settings->target.port || !settings->service[0] ||
	    !node->header_names->reported_target)
		return;
	node->probe = mmx_target_probe_create(&(mmx_target_probe_config_t){
		.runtime = node->runtime,
		.exit = mmx_exit_task(node->exit),
		.header_names = node->header_names,
		.address = settings->target,
		.service = settings->service,
	});
}

static bool init_(mmx_part_t *part, mmx_error_t *error)
{
	path_part_t *self = (path_part_t *)part;
	mmx_node_t *node = part->node;
	mmx_task_t *exit_task = mmx_exit_task(node->exit);

	self->client = mmx_target_client_create(node->runtime, exit_task,
						node->counters);
	mmx_target_client_set_header_names(self->client, node->header_names);
	self->http = mmx_http_entry_create(
		node->runtime, mmx_entry_task(node->entry), node->counters);
	self->announce =
		mmx_announce_create(node->runtime, exit_task, node->counters);
	node->http = self->http;
	if (node->store) {
		mmx_target_client_set_nonrepeatable_idle_max(self->client,
							     REUSE_IDLE_MAX_US);
		mmx_http_entry_set_hold(self->http, MMX_HELD_BODY_MAX);
	}
	mmx_target_client_init(self->client);
	mmx_announce_set_format(self->announce, node->announcements);
	mmx_announce_set_target(self->announce, node->settings->service,
				&node->settings->target);
	mmx_announce_set_log(self->announce, node->log);
	mmx_announce_set_trusted_network(self->announce,
					 node->settings->trusted_network);
	init_exit_(self);
	init_entry_(self);
	create_probe_(node);
	return mmx_announce_init(self->announce,
				 &node->settings->listen_announce, error) &&
	       mmx_http_entry_init(self->http, &node->settings->listen_callers,
				   error);
}

void mmx_part_path_on_synced(mmx_node_t *node)
{
	if (node->config_state && node->roster_synced)
		mmx_entry_started(node->entry);
}

void mmx_part_path_on_configured(mmx_node_t *node)
{
	const mmx_routing_service_t *service = mmx_routing_service(
		mmx_config_state_routing_table(node->config_state),
		node->settings->service);

	if (node->probe && service && service->health_path[0])
		mmx_target_probe_start(node->probe, service->health_path);
	mmx_part_path_on_synced(node);
}

static void end_accept_(void *arg)
{
	path_part_t *self = arg;

	self->accept_ended = true;
	/* Requests still arrive on connections that are not idle. */
	mmx_entry_refuse_capped(self->part.node->entry);
	mmx_http_entry_drain(self->http);
}

static void drain_(mmx_part_t *part)
{
	path_part_t *self = (path_part_t *)part;
	mmx_node_t *node = part->node;

	if (!node->store) {
		mmx_exit_stop_all(node->exit, 0);
		end_accept_(self);
		return;
	}
	mmx_exit_stop_all(node->exit,
			  node->reloadable.stop_grace / STOP_SERVE_DIVISOR);
	/* Callers learn of the stop only from the health check. */
	mmx_http_entry_announce_drain(self->http);
	mmx_timer_set(&self->accept_end,
		      MIN(node->reloadable.stop_grace / STOP_ACCEPT_DIVISOR,
			  STOP_ACCEPT_MAX_US));
}

static size_t in_progress_(const mmx_part_t *part)
{
	const path_part_t *self = (const path_part_t *)part;

	/* Answers may still be in transmission to callers. */
	return (part->node->draining && !self->accept_ended) +
	       mmx_http_entry_connections(self->http) +
	       mmx_entry_in_progress(part->node->entry) +
	       mmx_exit_in_progress(part->node->exit, NULL);
}

static void destroy_(mmx_part_t *part)
{
	path_part_t *self = (path_part_t *)part;

	mmx_timer_cancel(&self->accept_end);
	mmx_target_probe_destroy(part->node->probe);
	mmx_announce_destroy(self->announce);
	mmx_http_entry_destroy(self->http);
	mmx_target_client_destroy(self->client);
	g_free(self);
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
	path_part_t *self = g_new0(path_part_t, 1);

	self->part.ops = &ops_;
	mmx_timer_init(&self->accept_end, node->clock, end_accept_, self);
	return &self->part;
}
