/*
 * Part "roster": discovers the other nodes through the shared store. Follows
 * the records of all nodes, maintains the record of this node, and runs the
 * peer connections.
 *
 * A write without a response may take effect seconds later, after a newer one.
 * This node reads its own key as well, so it detects an outdated record and
 * writes the current one again.
 */
#include <event2/event.h>
#include <glib.h>
#include <string.h>

#include "private/backoff.h"
#include "private/node_parts.h"
#include "private/peer.h"
#include "private/roster.h"
#include "private/store.h"

#define ROSTER_TOPIC "roster"
/* Minimum interval between reads. Records of several nodes often change
 * together and one read returns all of them. Every read is billed, and a new
 * target is in use within seconds anyway. */
#define READ_INTERVAL_US (2 * MMX_US_PER_S)
/* Delay before a failed write is retried; doubles from MIN up to MAX. */
#define WRITE_RETRY_MIN_US (200 * MMX_US_PER_MS)
#define WRITE_RETRY_MAX_US (2 * MMX_US_PER_S)

typedef struct roster_part_t {
	mmx_part_t part;
	mmx_peer_resolver_t resolver;
	mmx_roster_node_t own_node;
	char *desired_record; /* of this node; NULL: no target is known */
	char *stored_record;  /* as last read or written; NULL: none, unknown */
	bool store_read;      /* the records of all nodes have been read */
	bool listed;	      /* its own record has been read */
	bool write_in_flight;
	bool peer_draining; /* connections to other nodes are being closed */
	mmx_time_t retry_delay; /* 0: the last write did not fail */
	mmx_timer_t retry_timer;
	mmx_counter_t *invalid_records;
	mmx_counter_t *writes[MMX_STORE_RESULT_COUNT];
	mmx_counter_t *nodes;
} roster_part_t;

static roster_part_t *roster_part_(const mmx_node_t *node)
{
	mmx_part_t *part;

	TAILQ_FOREACH (part, &node->parts, entry)
		if (strcmp(part->ops->name, "roster") == 0)
			return (roster_part_t *)part;
	return NULL;
}

static void write_record_(roster_part_t *self);

static void on_retry_timer_(void *arg)
{
	write_record_(arg);
}

static void on_written_(void *arg, mmx_store_result_t result)
{
	roster_part_t *self = arg;
	mmx_node_t *node = self->part.node;

	self->write_in_flight = false;
	mmx_counter_add(self->writes[result], 1);
	if (result == MMX_STORE_DONE) {
		self->retry_delay = 0;
		write_record_(self);
		return;
	}
	g_clear_pointer(&self->stored_record, g_free);
	mmx_log_event(node->log, MMX_LOG_WARNING, "roster_write_failed",
		      "result", mmx_store_result_string[result], NULL);
	mmx_timer_set(
		&self->retry_timer,
		mmx_backoff_with_jitter(&self->retry_delay, WRITE_RETRY_MIN_US,
					WRITE_RETRY_MAX_US, &node->random));
}

static void write_record_(roster_part_t *self)
{
	mmx_store_t *store = self->part.node->store;

	if (!self->desired_record || !self->store_read ||
	    self->write_in_flight || mmx_timer_is_set(&self->retry_timer) ||
	    (self->stored_record &&
	     strcmp(self->stored_record, self->desired_record) == 0))
		return;
	self->write_in_flight = true;
	/* The written record counts as stored until the key is read again. */
	g_free(self->stored_record);
	self->stored_record = g_strdup(self->desired_record);
	mmx_log_event(self->part.node->log, MMX_LOG_INFO, "roster_write",
		      "record", self->desired_record, NULL);
	store->ops->put(store, ROSTER_TOPIC, self->own_node.name,
			self->desired_record, strlen(self->desired_record),
			on_written_, self);
}

static size_t collect_own_targets_(const mmx_node_t *node,
				   mmx_target_record_t *targets)
{
	const mmx_directory_target_t *target =
		mmx_directory_node_first(node->directory, node->id);
	size_t count = 0;

	for (; target && count < MMX_ROSTER_TARGETS_MAX;
	     target = mmx_directory_node_next(target))
		mmx_directory_record(target, &targets[count++]);
	return count;
}

void mmx_part_roster_announce(mmx_node_t *node,
			      const mmx_target_record_t *record)
{
	mmx_target_record_t targets[MMX_ROSTER_TARGETS_MAX];
	roster_part_t *self = roster_part_(node);

	mmx_directory_update(node->directory, record);
	/* The targets outlive this process, so their record remains valid for
	 * the next process. */
	if (node->draining)
		return;
	g_free(self->desired_record);
	self->desired_record = mmx_roster_encode(
		&self->own_node, targets, collect_own_targets_(node, targets));
	write_record_(self);
}

bool mmx_part_roster_is_listed(const mmx_node_t *node)
{
	const roster_part_t *self = roster_part_(node);

	return self && self->listed;
}

static void on_own_record_(roster_part_t *self,
			   const mmx_store_record_t *record)
{
	self->listed = record->value != NULL;
	if (self->write_in_flight)
		return;
	g_free(self->stored_record);
	self->stored_record =
		record->value ? g_strndup(record->value, record->length) : NULL;
	write_record_(self);
}

static void on_record_(void *arg, const mmx_store_record_t *record)
{
	roster_part_t *self = arg;
	mmx_node_t *node = self->part.node;
	mmx_error_t error = {MMX_ERROR_NONE, ""};

	mmx_part_quota_on_nodes_changed(node);
	if (strcmp(record->key, self->own_node.name) == 0) {
		on_own_record_(self, record);
		return;
	}
	if (!record->value) {
		mmx_roster_remove(node->roster, record->key, record->offset);
	} else if (!mmx_roster_merge(node->roster, record->key, record->value,
				     record->length, record->offset, &error)) {
		mmx_counter_add(self->invalid_records, 1);
		mmx_log_event(node->log, MMX_LOG_WARNING,
			      "roster_record_invalid", "key", record->key,
			      "reason", error.text, NULL);
		return;
	}
	mmx_counter_set(self->nodes, (int64_t)mmx_roster_count(node->roster));
}

static void on_synced_(void *arg)
{
	roster_part_t *self = arg;
	char count[16];

	self->store_read = true;
	g_snprintf(count, sizeof(count), "%zu",
		   mmx_roster_count(self->part.node->roster));
	mmx_log_event(self->part.node->log, MMX_LOG_INFO, "roster_read",
		      "nodes", count, NULL);
	self->part.node->roster_synced = true;
	mmx_part_path_on_synced(self->part.node);
	write_record_(self);
}

static const mmx_store_reader_ops_t reader_ops_ = {on_record_, on_synced_};

static bool find_node_(const mmx_node_t *node, mmx_node_id_t id,
		       mmx_node_info_t *info)
{
	const mmx_roster_node_t *roster_node =
		id == node->id ? &roster_part_(node)->own_node
			       : mmx_roster_find(node->roster, id);

	if (!roster_node)
		return false;
	*info = (mmx_node_info_t){
		.id = id,
		.name = roster_node->name,
		.region = roster_node->region,
		.zone = roster_node->zone,
		.address = &roster_node->address,
	};
	return true;
}

static const mmx_node_lookup_ops_t node_lookup_ops_ = {.find = find_node_};

static const mmx_roster_node_t *resolver_find_(mmx_peer_resolver_t *resolver,
					       mmx_node_id_t id)
{
	const roster_part_t *self =
		(roster_part_t *)((char *)resolver -
				  offsetof(roster_part_t, resolver));

	return mmx_roster_find(self->part.node->roster, id);
}

static bool resolve_(mmx_peer_resolver_t *resolver, mmx_node_id_t id,
		     mmx_address_t *address, mmx_incarnation_t *incarnation)
{
	const mmx_roster_node_t *roster_node = resolver_find_(resolver, id);

	if (!roster_node)
		return false;
	*address = roster_node->address;
	*incarnation = 0;
	return true;
}

static bool describe_(mmx_peer_resolver_t *resolver, mmx_node_id_t id,
		      const char **name, const char **zone)
{
	const mmx_roster_node_t *roster_node = resolver_find_(resolver, id);

	if (!roster_node)
		return false;
	*name = roster_node->name;
	*zone = roster_node->zone;
	return true;
}

static const mmx_peer_resolver_ops_t resolver_ops_ = {resolve_, describe_};

static bool init_(mmx_part_t *part, mmx_error_t *error)
{
	roster_part_t *self = (roster_part_t *)part;
	mmx_node_t *node = part->node;
	const mmx_settings_t *settings = node->settings;

	self->resolver.ops = &resolver_ops_;
	node->node_lookup = &node_lookup_ops_;
	self->own_node.id = node->id;
	g_strlcpy(self->own_node.name, settings->node_name,
		  sizeof(self->own_node.name));
	g_strlcpy(self->own_node.region, settings->region,
		  sizeof(self->own_node.region));
	g_strlcpy(self->own_node.zone, settings->zone,
		  sizeof(self->own_node.zone));
	self->own_node.address = settings->listen_nodes;
	if (!mmx_node_start_peer(node, &self->resolver, error))
		return false;
	node->store->ops->subscribe(node->store, ROSTER_TOPIC, READ_INTERVAL_US,
				    &reader_ops_, self);
	return true;
}

static void on_peer_drained_(void *arg)
{
	roster_part_t *self = arg;

	self->peer_draining = false;
}

static void close_connections_(mmx_part_t *part)
{
	roster_part_t *self = (roster_part_t *)part;

	self->peer_draining = true;
	mmx_peer_drain(part->node->peer, on_peer_drained_, self);
}

static size_t in_progress_(const mmx_part_t *part)
{
	return ((const roster_part_t *)part)->peer_draining ? 1 : 0;
}

static void destroy_(mmx_part_t *part)
{
	roster_part_t *self = (roster_part_t *)part;
	mmx_node_t *node = part->node;

	mmx_timer_cancel(&self->retry_timer);
	mmx_peer_destroy(node->peer);
	mmx_roster_destroy(node->roster);
	mmx_directory_destroy(node->directory);
	g_free(self->desired_record);
	g_free(self->stored_record);
	g_free(self);
}

static const mmx_part_ops_t ops_ = {
	.name = "roster",
	.init = init_,
	.close_connections = close_connections_,
	.in_progress = in_progress_,
	.destroy = destroy_,
};

static void register_counters_(roster_part_t *self, mmx_counters_t *counters)
{
	char labels[40];
	int i;

	self->invalid_records = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_roster_invalid_total", "",
		"Records of nodes that could not be read.");
	self->nodes =
		mmx_counters_get(counters, MMX_GAUGE, "masticmux_roster_nodes",
				 "", "Other nodes that have a record.");
	for (i = 0; i < MMX_STORE_RESULT_COUNT; i++) {
		g_snprintf(labels, sizeof(labels), "result=\"%s\"",
			   mmx_store_result_string[i]);
		self->writes[i] = mmx_counters_get(
			counters, MMX_COUNTER, "masticmux_roster_writes_total",
			labels, "Writes of the record of this node.");
	}
}

mmx_part_t *mmx_part_roster_create(mmx_node_t *node)
{
	roster_part_t *self = g_new0(roster_part_t, 1);

	self->part.ops = &ops_;
	node->directory = mmx_directory_create(node->clock);
	node->roster = mmx_roster_create(node->directory);
	mmx_timer_init(&self->retry_timer, node->clock, on_retry_timer_, self);
	register_counters_(self, node->counters);
	return &self->part;
}
