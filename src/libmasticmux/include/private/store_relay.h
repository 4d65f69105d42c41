/*
 * Passes records of the shared store from node to node: queries another node of
 * the zone for the records that it has read, and answers such queries.
 *
 * store_source.h selects the node to query. If the reply is missing, too old or
 * malformed, the store is read at once. A node that stops, freezes or is
 * disconnected from the store therefore delays a record by no more than the
 * accepted age and the duration of one query.
 *
 * Usage: create, pass mmx_relay_base() to the store, serve queries, remove the
 * relay from the store, destroy.
 */
#ifndef MASTICMUX_PRIVATE_STORE_RELAY_H
#define MASTICMUX_PRIVATE_STORE_RELAY_H

#include <glib.h>

#include "masticmux/clock.h"
#include "masticmux/counters.h"
#include "masticmux/log.h"
#include "private/store.h"

/* Receives the reply to a query; bytes: NULL if there is none. */
typedef void (*mmx_store_reply_fn_t)(void *arg, const uint8_t *bytes,
				     size_t length);

/* Message of a query. */
typedef enum mmx_store_query_kind_t {
	MMX_STORE_QUERY_UPDATES,
	MMX_STORE_QUERY_BLOCK, /* of updates that are too long for one reply */
} mmx_store_query_kind_t;

/* Operations that the node provides to its relay. */
typedef struct mmx_store_relay_node_ops_t {
	/* Appends the ids of the other nodes of the zone; none while this node
	 * stops. nodes: of mmx_node_id_t */
	void (*list_zone_nodes)(void *context, GArray *nodes);
	/* Returns the name of a node for the log, or NULL if unknown. */
	const char *(*node_name)(void *context, mmx_node_id_t node);
	/* Sends a query, or one for a block; fn is called once, never from
	 * inside the call. */
	void (*send_query)(void *context, mmx_node_id_t node,
			   mmx_store_query_kind_t kind, const uint8_t *bytes,
			   size_t length, mmx_store_reply_fn_t fn, void *arg);
} mmx_store_relay_node_ops_t;

/* Everything that the pointers refer to must outlive the relay. */
typedef struct mmx_store_relay_config_t {
	mmx_clock_t *clock;
	mmx_node_id_t node; /* this node */
	const mmx_store_relay_node_ops_t *ops;
	void *context;
	mmx_counters_t *counters; /* or NULL */
	mmx_log_t *log;		  /* or NULL */
} mmx_store_relay_config_t;

typedef struct mmx_relay_t mmx_relay_t;

mmx_relay_t *mmx_relay_create(const mmx_store_relay_config_t *config);
/* Outstanding queries are dropped; the node must not deliver their replies
 * afterwards. relay: may be NULL */
void mmx_relay_destroy(mmx_relay_t *relay);

/* Returns the interface of the relay for the store. */
mmx_store_relay_t *mmx_relay_base(mmx_relay_t *relay);

/*
 * Answers the query of another node. The reply is to be freed with g_free(); it
 * is NULL and of length 0 if the records are too long for one reply or no longer
 * held, so that the other node has to query their blocks or read the store.
 *
 * Returns false if the query is malformed or names a topic that this node does
 * not read; reply is not set then.
 */
bool mmx_relay_serve(mmx_relay_t *relay, const uint8_t *bytes, size_t length,
		     uint8_t **reply, size_t *reply_length);

/* Answers the query of another node for a block, as mmx_relay_serve() does. The
 * reply is never NULL. */
bool mmx_relay_serve_block(mmx_relay_t *relay, mmx_node_id_t from,
			   const uint8_t *bytes, size_t length, uint8_t **reply,
			   size_t *reply_length);

#endif
