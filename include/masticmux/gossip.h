/**
 * Gossip task: the UDP socket that connects the membership module with the
 * network.
 *
 * Life: create (binds the socket and starts to join), then the posting
 * functions, mmx_gossip_leave() before a planned stop, destroy. On a runtime
 * without a loop (tests) the owner calls mmx_gossip_poll().
 */
#ifndef MASTICMUX_GOSSIP_H
#define MASTICMUX_GOSSIP_H

#include "masticmux/counters.h"
#include "masticmux/directory.h"
#include "masticmux/error.h"
#include "masticmux/membership.h"
#include "masticmux/settings.h"
#include "masticmux/task.h"

typedef struct mmx_gossip_t mmx_gossip_t;

typedef struct mmx_gossip_config_t {
	/** Outlives the task. The port of listen_nodes may be 0 in tests. */
	const mmx_settings_t *settings;
	mmx_incarnation_t incarnation;
	uint64_t random_seed;
	mmx_counters_t *counters; /**< may be NULL */
} mmx_gossip_config_t;

/** Requests that other tasks post to the gossip task. */
typedef enum mmx_gossip_request_t {
	MMX_GOSSIP_REQUEST_ANNOUNCE,
	MMX_GOSSIP_REQUEST_OFFSET,
	MMX_GOSSIP_REQUEST_NEWS,
	MMX_GOSSIP_REQUEST_LEAVE,
	MMX_GOSSIP_REQUEST_COUNT
} mmx_gossip_request_t;

extern const char *const mmx_gossip_request_string[MMX_GOSSIP_REQUEST_COUNT];

/**
 * Binds the socket and starts to join.
 *
 * @param directory  owned by the caller, changed by this task only
 * @param ops        send must be NULL; outlives the task, as does arg
 * @return NULL with MMX_ERROR_IO when the socket cannot be bound, with
 *         MMX_ERROR_AUTH when there is no key and the address is not loopback,
 *         with MMX_ERROR_INVALID for an address that others cannot reach
 */
mmx_gossip_t *mmx_gossip_create(const mmx_gossip_config_t *config,
				mmx_runtime_t *runtime,
				mmx_directory_t *directory,
				const mmx_membership_ops_t *ops, void *arg,
				mmx_error_t *error);
void mmx_gossip_destroy(mmx_gossip_t *gossip);

/** Posts a target beside this node, see mmx_membership_announce(). */
void mmx_gossip_announce(mmx_gossip_t *gossip,
			 const mmx_target_record_t *record);

/** Posts the configuration offset in force at this node. */
void mmx_gossip_set_offset(mmx_gossip_t *gossip, uint64_t offset);

/** Posts a wish to send NEWS with the own offset to a member. */
void mmx_gossip_send_news(mmx_gossip_t *gossip, mmx_node_id_t to);

/** Posts the planned stop of this node. */
void mmx_gossip_leave(mmx_gossip_t *gossip);

/**
 * The membership module: its queries, and mmx_membership_sync_serve(),
 * _reply() and _failed() for the task that carries DIRECTORY_SYNC.
 */
mmx_membership_t *mmx_gossip_membership(mmx_gossip_t *gossip);

/** Address that is bound and announced. */
const mmx_address_t *mmx_gossip_address(const mmx_gossip_t *gossip);

/** Reads the datagrams that are waiting; returns their number. */
size_t mmx_gossip_poll(mmx_gossip_t *gossip);

#endif
