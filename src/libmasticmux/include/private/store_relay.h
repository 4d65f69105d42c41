/*
 * News of the shared store from node to node: asks another node of the zone
 * what it has read, and answers such questions.
 *
 * Which node is asked is decided by store_source.h. When an answer does not
 * come, is too old or cannot be read, the store is read at once, so that a
 * node that stops, freezes or is cut off from the store delays nothing by more
 * than the age that is accepted and the time of one question.
 *
 * Life: create, give mmx_store_relay_base() to the store, serve questions,
 * destroy after the store has been told.
 */
#ifndef MASTICMUX_PRIVATE_STORE_RELAY_H
#define MASTICMUX_PRIVATE_STORE_RELAY_H

#include <glib.h>

#include "masticmux/clock.h"
#include "masticmux/counters.h"
#include "masticmux/log.h"
#include "private/store.h"

/* bytes: NULL when there is no answer. */
typedef void (*mmx_store_reply_fn_t)(void *arg, const uint8_t *bytes,
				     size_t length);

/* What the relay needs of its node. */
typedef struct mmx_store_relay_node_ops_t {
	/* Adds the ids of the other nodes of the zone; none while this node
	 * stops. */
	void (*list_zone_nodes)(void *context, GArray *nodes);
	/* Name of a node for the log, or NULL. */
	const char *(*node_name)(void *context, mmx_node_id_t node);
	/* Sends a question; fn is called once, never from inside the call. */
	void (*send_query)(void *context, mmx_node_id_t node,
			   const uint8_t *bytes, size_t length,
			   mmx_store_reply_fn_t fn, void *arg);
} mmx_store_relay_node_ops_t;

/* What the pointers refer to outlives the relay. */
typedef struct mmx_store_relay_config_t {
	mmx_clock_t *clock;
	mmx_node_id_t node; /* this one */
	const mmx_store_relay_node_ops_t *ops;
	void *context;
	mmx_counters_t *counters; /* or NULL */
	mmx_log_t *log;		  /* or NULL */
} mmx_store_relay_config_t;

typedef struct mmx_relay_t mmx_relay_t;

mmx_relay_t *mmx_relay_create(const mmx_store_relay_config_t *config);
/* Answers to open questions are not taken any more. */
void mmx_relay_destroy(mmx_relay_t *relay);

/* What the store asks. */
mmx_store_relay_t *mmx_relay_base(mmx_relay_t *relay);

/*
 * Answers the question of another node. The answer is to be freed with
 * g_free(); it is empty when records are missing that the store still has.
 *
 * Returns false when the question cannot be read, or is about a topic that
 * this node does not follow.
 */
bool mmx_relay_serve(mmx_relay_t *relay, const uint8_t *bytes, size_t length,
		     uint8_t **answer, size_t *answer_length);

#endif
