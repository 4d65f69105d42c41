/*
 * The parts of a node, its components, and the state that they share. Parts are
 * created in the order of a table in node.c and destroyed in reverse order.
 */
#ifndef MASTICMUX_PRIVATE_NODE_PARTS_H
#define MASTICMUX_PRIVATE_NODE_PARTS_H

#include "masticmux/counters.h"
#include "masticmux/ejection.h"
#include "masticmux/directory.h"
#include "masticmux/config_state.h"
#include "masticmux/gossip_codec.h"
#include "masticmux/history.h"
#include "masticmux/log.h"
#include "masticmux/node.h"
#include "masticmux/random.h"
#include "masticmux/task.h"

typedef struct mmx_part_t mmx_part_t;

typedef struct mmx_part_ops_t {
	const char *name;
	/* Opens sockets and registers with other parts. Returns false and sets
	 * the error if an address cannot be used. */
	bool (*init)(mmx_part_t *part, mmx_error_t *error);
	/* Begins a planned stop; may be NULL. */
	void (*drain)(mmx_part_t *part);
	/* Second step of a planned stop, once no work is in progress: closes
	 * connections to other nodes; may be NULL. */
	void (*close_connections)(mmx_part_t *part);
	/* Number of items of work that a planned stop waits for; may be
	 * NULL. */
	size_t (*in_progress)(const mmx_part_t *part);
	void (*destroy)(mmx_part_t *part);
} mmx_part_ops_t;

struct mmx_part_t {
	const mmx_part_ops_t *ops;
	mmx_node_t *node;
	TAILQ_ENTRY(mmx_part_t) entry;
};

typedef TAILQ_HEAD(mmx_part_list_t, mmx_part_t) mmx_part_list_t;

/* What this node knows about a node. The pointers are valid until the next
 * message is handled. */
typedef struct mmx_node_info_t {
	mmx_node_id_t id;
	const char *name;
	const char *region;
	const char *zone;
	const mmx_address_t *address;
	mmx_availability_t availability;
} mmx_node_info_t;

/* Looks up nodes; implemented by the parts fleet and roster. */
typedef struct mmx_node_lookup_ops_t {
	/* Returns false if the node is unknown. */
	bool (*find)(const mmx_node_t *node, mmx_node_id_t id,
		     mmx_node_info_t *info);
} mmx_node_lookup_ops_t;

struct mmx_config_task_t;
struct mmx_header_names_t;
struct mmx_http_entry_t;
struct mmx_peer_resolver_t;
struct mmx_roster_t;
struct mmx_store_t;
struct mmx_entry_t;
struct mmx_exporter_t;
struct mmx_trace_t;
struct mmx_exit_t;
struct mmx_gossip_t;
struct mmx_peer_t;

/* Settings that SIGHUP reloads; see mmx_settings_t. */
typedef struct mmx_reloadable_settings_t {
	mmx_time_t stop_grace;
	uint32_t retry_percent;
	uint32_t retry_reserve; /* retries in the whole fleet */
	mmx_time_t retry_window;
	uint32_t floor_percent;
	mmx_time_t account_window;
	double account_overshoot;
	double account_slack;
	bool balance_by_work;
} mmx_reloadable_settings_t;

/* State shared by the parts. A pointer to an object of a part is set by that
 * part; NULL if this node has no such part. */
struct mmx_node_t {
	const mmx_settings_t *settings;
	char *settings_path; /* reloaded on SIGHUP; NULL: none */
	mmx_reloadable_settings_t reloadable;
	struct event_base *base;
	mmx_runtime_t *runtime;
	mmx_clock_t *clock;
	mmx_counters_t *counters;
	mmx_log_t *log;
	mmx_history_t *history; /* events of a node use its id as target id */
	mmx_random_t random;
	struct mmx_trace_t *trace;
	struct mmx_exporter_t *exporter; /* NULL: no trace collector is set */
	mmx_node_id_t id;
	mmx_incarnation_t incarnation;
	mmx_part_list_t parts;
	bool draining;	    /* a planned stop has begun */
	bool config_synced; /* the store's configuration topic has been read */
	bool roster_synced; /* the records of all nodes have been read */
	bool closing_connections; /* second step of a planned stop */
	mmx_timer_t drain_timer;
	mmx_time_t drain_deadline; /* the event loop ends at this time */
	struct event *signals[3];
	mmx_part_t *config_part;
	mmx_part_t *claims_part;
	mmx_part_t *quota_part;
	/* The comment names the part that sets the pointer. */
	mmx_task_t *claims;		  /* claims; receives CLAIM messages */
	struct mmx_config_task_t *config; /* config */
	const mmx_config_state_t
		*config_state;	     /* config or platform; NULL: none yet */
	mmx_directory_t *directory;  /* fleet or roster */
	struct mmx_gossip_t *gossip; /* fleet */
	struct mmx_store_t *store;   /* NULL: no shared store */
	struct mmx_roster_t *roster; /* roster */
	const mmx_node_lookup_ops_t *node_lookup; /* fleet or roster */
	struct mmx_peer_t *peer;		  /* fleet or roster */
	const struct mmx_header_names_t *header_names;
	const struct mmx_announce_format_t *announcements; /* or NULL */
	struct mmx_http_entry_t *http;			   /* path */
	struct mmx_target_probe_t *probe; /* path; NULL: no target address */
	struct mmx_entry_t *entry;	  /* created by the node itself */
	struct mmx_exit_t *exit;	  /* created by the node itself */
};

/* Creates and starts the peer task. The resolver must outlive it. Returns false
 * and sets the error if the listen address cannot be used. */
bool mmx_node_start_peer(mmx_node_t *node, struct mmx_peer_resolver_t *resolver,
			 mmx_error_t *error);

/* Returns in policy the policy of services whose configuration sets none. */
void mmx_node_default_policy(const mmx_node_t *node, mmx_policy_t *policy);

/* Returns whether the node can serve callers; /healthz reports it. */
bool mmx_node_is_ready(const mmx_node_t *node);

/* Part path: a configuration was applied; starts the target probe, which looks
 * for a target that this node does not know yet. */
void mmx_part_path_on_configured(mmx_node_t *node);

/* Part path: configuration or roster was read for the first time; once both
 * are known, serves the requests that wait for them. */
void mmx_part_path_on_synced(mmx_node_t *node);

/* Part roster: publishes a change of a target beside this node. */
void mmx_part_roster_announce(mmx_node_t *node,
			      const mmx_target_record_t *record);

/* Part fleet: announces a change of a target beside this node by gossip. */
void mmx_part_fleet_announce(mmx_node_t *node,
			     const mmx_target_record_t *record);

/* Part config: the set of alive members may have changed; selects the readers
 * of the log again. */
void mmx_part_config_on_members_changed(mmx_node_t *node);
/* Part claims: the set of alive members may have changed; selects the owners
 * of the partitions again. */
void mmx_part_claims_on_members_changed(mmx_node_t *node);

/* Part config: callbacks of mmx_membership_ops_t; arg is the node. */
void mmx_part_config_fill_ages(void *arg, mmx_gossip_ages_t *ages);
void mmx_part_config_on_peer_version(void *arg, mmx_node_id_t from,
				     uint64_t offset,
				     const mmx_gossip_ages_t *ages);

/* Part roster: returns whether this node has read its own record in the store,
 * so that the other nodes know it as well. */
bool mmx_part_roster_is_listed(const mmx_node_t *node);

/* Part quota: the nodes of the fleet, the configuration, or the reloadable
 * settings have changed. */
void mmx_part_quota_on_nodes_changed(mmx_node_t *node);
void mmx_part_quota_on_limits_changed(mmx_node_t *node);
void mmx_part_quota_on_settings_changed(mmx_node_t *node);

mmx_part_t *mmx_part_fleet_create(mmx_node_t *node);
mmx_part_t *mmx_part_roster_create(mmx_node_t *node);
mmx_part_t *mmx_part_relay_create(mmx_node_t *node);
mmx_part_t *mmx_part_quota_create(mmx_node_t *node);
mmx_part_t *mmx_part_path_create(mmx_node_t *node);
mmx_part_t *mmx_part_config_create(mmx_node_t *node);
mmx_part_t *mmx_part_claims_create(mmx_node_t *node);
mmx_part_t *mmx_part_operator_create(mmx_node_t *node);

#endif
