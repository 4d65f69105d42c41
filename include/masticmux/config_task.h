/**
 * Configuration task: runs the module config of a node on the runtime and owns
 * its log client. Messages to other nodes go out through the table
 * mmx_config_transport_ops_t; incoming messages are posted to the task.
 *
 * Call order: create, start, (post, query), destroy.
 */
#ifndef MASTICMUX_CONFIG_TASK_H
#define MASTICMUX_CONFIG_TASK_H

#include "masticmux/config.h"
#include "masticmux/counters.h"
#include "masticmux/log.h"
#include "masticmux/settings.h"
#include "masticmux/task.h"

typedef struct mmx_config_task_t mmx_config_task_t;

/**
 * Receives the encoded response to a peer.
 *
 * @param data  valid during the call; NULL if the request is refused
 */
typedef void (*mmx_config_response_fn_t)(void *arg, const uint8_t *data,
					 size_t length);

/**
 * Creates the task of a node.
 *
 * @param runtime        with a live clock
 * @param settings       outlives the task
 * @param transport      outlives the task; its functions are called from the
 *                       task and must not post to it before they return
 * @param transport_arg  first argument of the functions of the table
 * @param counters       outlives the task; may be NULL
 * @param log            event log; outlives the task; may be NULL
 * @param seed           for jitter and the choice of peers
 */
mmx_config_task_t *
mmx_config_task_create(mmx_runtime_t *runtime, const mmx_settings_t *settings,
		       const mmx_config_transport_ops_t *transport,
		       void *transport_arg, mmx_counters_t *counters,
		       mmx_log_t *log, uint64_t seed);
void mmx_config_task_destroy(mmx_config_task_t *task);

/**
 * Called after each input with the current configuration state, since loading
 * a snapshot replaces the object.
 *
 * @param config_state  NULL while there is no configuration
 */
typedef void (*mmx_config_watch_fn_t)(void *arg,
				      const mmx_config_state_t *config_state);

/** Sets the callback for the current state; at most one. Valid before start. */
void mmx_config_task_set_watch(mmx_config_task_t *task,
			       mmx_config_watch_fn_t fn, void *arg);

/** Starts the module. Valid once; members may be posted before. */
void mmx_config_task_start(mmx_config_task_t *task);

/** Returns the id (XXH64) of a region name, as in mmx_config_member_t. */
uint64_t mmx_config_region_id(const char *name);

/** Posts the alive nodes. The array is copied. */
void mmx_config_task_post_members(mmx_config_task_t *task,
				  const mmx_config_member_t *members,
				  size_t count);

/** Posts a peer's progress from NEWS, PING or ACK. */
void mmx_config_task_post_peer_progress(mmx_config_task_t *task,
					mmx_node_id_t peer,
					const mmx_config_progress_t *progress);

/**
 * Posts the response to a pull or load that this node sent.
 *
 * @param data  copied; NULL: the call failed
 */
void mmx_config_task_post_pull_response(mmx_config_task_t *task,
					mmx_node_id_t peer, const uint8_t *data,
					size_t length);
void mmx_config_task_post_load_response(mmx_config_task_t *task,
					mmx_node_id_t peer, const uint8_t *data,
					size_t length);

/**
 * Posts a peer's CONFIG_PULL or CONFIG_LOAD.
 *
 * @param fn  called once with the response, unless the task is destroyed first
 */
void mmx_config_task_post_pull_request(mmx_config_task_t *task, uint64_t after,
				       mmx_config_response_fn_t fn, void *arg);
void mmx_config_task_post_load_request(mmx_config_task_t *task,
				       uint64_t applied, uint32_t part,
				       mmx_config_response_fn_t fn, void *arg);

/** Returns the module for its const functions; valid until destroy. */
const mmx_config_t *mmx_config_task_config(const mmx_config_task_t *task);

#endif
