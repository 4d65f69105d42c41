/*
 * The parts of a node and what they share. Each part is created from a row in
 * the table of node.c, in that order, and destroyed in the opposite order.
 */
#ifndef MASTICMUX_PRIVATE_NODE_PARTS_H
#define MASTICMUX_PRIVATE_NODE_PARTS_H

#include "masticmux/counters.h"
#include "masticmux/ejection.h"
#include "masticmux/directory.h"
#include "masticmux/fold.h"
#include "masticmux/gossip_codec.h"
#include "masticmux/history.h"
#include "masticmux/log.h"
#include "masticmux/node.h"
#include "masticmux/random.h"
#include "masticmux/task.h"

typedef struct mmx_part_t mmx_part_t;

typedef struct mmx_part_ops_t {
	const char *name;
	/* Opens sockets and connects to other parts. */
	bool (*init)(mmx_part_t *part, mmx_error_t *error);
	/* Begins a planned stop; may be NULL. */
	void (*drain)(mmx_part_t *part);
	/* Second step, once nothing is in progress; may be NULL. */
	void (*close_connections)(mmx_part_t *part);
	/* Work that a planned stop has to wait for; may be NULL. */
	size_t (*in_progress)(const mmx_part_t *part);
	void (*destroy)(mmx_part_t *part);
} mmx_part_ops_t;

struct mmx_part_t {
	const mmx_part_ops_t *ops;
	mmx_node_t *node;
	TAILQ_ENTRY(mmx_part_t) entry;
};

typedef TAILQ_HEAD(mmx_part_list_t, mmx_part_t) mmx_part_list_t;

/* Where a node is, as this node knows; the pointers are valid until the next
 * message. */
typedef struct mmx_node_info_t {
	mmx_node_id_t id;
	const char *name;
	const char *region;
	const char *zone;
	const mmx_address_t *address;
	mmx_availability_t availability;
} mmx_node_info_t;

/* How the other nodes are found; set by the part that finds them. */
typedef struct mmx_node_lookup_ops_t {
	/* False when the node is unknown. */
	bool (*find)(const mmx_node_t *node, mmx_node_id_t id,
		     mmx_node_info_t *place);
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

/* Settings that a process takes over while it runs. */
typedef struct mmx_reloadable_settings_t {
	mmx_time_t stop_grace;
	uint32_t retry_percent;
	uint32_t retry_reserve; /* of the whole fleet */
	mmx_time_t retry_window;
	uint32_t floor_percent;
} mmx_reloadable_settings_t;

/* Shared by the parts; each pointer is set by the part that owns it. */
struct mmx_node_t {
	const mmx_settings_t *settings;
	char *settings_path; /* read again on SIGHUP; NULL: not */
	mmx_reloadable_settings_t reloadable;
	struct event_base *base;
	mmx_runtime_t *runtime;
	mmx_clock_t *clock;
	mmx_counters_t *counters;
	mmx_log_t *log;
	mmx_history_t *history; /* events of a node have its id as target */
	mmx_random_t random;
	struct mmx_trace_t *trace;
	struct mmx_exporter_t *exporter; /* NULL: no collector */
	mmx_node_id_t id;
	mmx_incarnation_t incarnation;
	mmx_part_list_t parts;
	bool draining;
	bool config_synced; /* the store was asked for the configuration */
	bool roster_synced; /* the records of all nodes have been read */
	bool closing_connections; /* second step of a planned stop */
	mmx_timer_t drain_timer;
	mmx_time_t drain_deadline;
	struct event *signals[3];
	mmx_part_t *config_part;
	mmx_part_t *claims_part;
	mmx_task_t *claims;		  /* claims: takes CLAIM messages */
	struct mmx_config_task_t *config; /* config */
	const mmx_fold_t *fold;		  /* config: in force, or NULL */
	mmx_directory_t *directory;	  /* fleet */
	struct mmx_gossip_t *gossip;	  /* fleet; NULL with a shared store */
	struct mmx_store_t *store;	  /* shared store, or NULL */
	struct mmx_roster_t *roster;	  /* roster, with a shared store */
	const mmx_node_lookup_ops_t *node_lookup; /* fleet or roster */
	struct mmx_peer_t *peer;		  /* fleet or roster */
	const struct mmx_header_names_t *header_names;
	const struct mmx_announce_format_t *announcements; /* or NULL */
	struct mmx_http_entry_t *http;			   /* path */
	struct mmx_target_probe_t *probe; /* path; NULL: no address is known */
	struct mmx_entry_t *entry;	  /* path */
	struct mmx_exit_t *exit;	  /* path */
};

/* Creates and starts the peer task; the resolver outlives it. */
bool mmx_node_start_peer(mmx_node_t *node, struct mmx_peer_resolver_t *resolver,
			 mmx_error_t *error);

/* Policy of services whose configuration names none. */
void mmx_node_default_policy(const mmx_node_t *node, mmx_policy_t *policy);

/* True when the node can serve callers: /healthz says so. */
bool mmx_node_is_ready(const mmx_node_t *node);

/* The configuration is in force: path looks for its target if it knows none. */
void mmx_part_path_on_configured(mmx_node_t *node);

/* Configuration or roster has been read for the first time: path serves the
 * requests that wait for them. */
void mmx_part_path_on_synced(mmx_node_t *node);

/* A target beside this node has changed: roster publishes it. */
void mmx_part_roster_announce(mmx_node_t *node,
			      const mmx_target_record_t *record);

/* A target beside this node has changed: fleet announces it. */
void mmx_part_fleet_announce(mmx_node_t *node,
			     const mmx_target_record_t *record);

/* The alive members may have changed: config chooses its readers anew. */
void mmx_part_config_on_members_changed(mmx_node_t *node);
/* The same: claims chooses the owners of its partitions anew. */
void mmx_part_claims_on_members_changed(mmx_node_t *node);
/* Functions of mmx_membership_ops_t; arg is the node. */
void mmx_part_config_fill_ages(void *arg, mmx_gossip_ages_t *ages);
void mmx_part_config_on_peer_version(void *arg, mmx_node_id_t from,
				     uint64_t offset,
				     const mmx_gossip_ages_t *ages);

mmx_part_t *mmx_part_fleet_create(mmx_node_t *node);
mmx_part_t *mmx_part_roster_create(mmx_node_t *node);
mmx_part_t *mmx_part_relay_create(mmx_node_t *node);
mmx_part_t *mmx_part_path_create(mmx_node_t *node);
mmx_part_t *mmx_part_config_create(mmx_node_t *node);
mmx_part_t *mmx_part_claims_create(mmx_node_t *node);
mmx_part_t *mmx_part_operator_create(mmx_node_t *node);

#endif
