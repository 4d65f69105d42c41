/**
 * One connection to a target and, while it is in use, the one call on it.
 * Internal to target_client.
 */
#ifndef MASTICMUX_PRIVATE_TARGET_CONNECTION_H
#define MASTICMUX_PRIVATE_TARGET_CONNECTION_H

#include <glib.h>

#include "private/target_client.h"

typedef struct mmx_target_connection_t mmx_target_connection_t;

typedef TAILQ_HEAD(mmx_target_idle_list_t,
		   mmx_target_connection_t) mmx_target_idle_list_t;
typedef LIST_HEAD(mmx_target_connection_list_t,
		  mmx_target_connection_t) mmx_target_connection_list_t;

/** Connections to one address. Freed with its last connection, unless the
 *  target rejects without an id. */
typedef struct mmx_target_pool_t {
	char *key;		     /**< address as "HOST PORT" */
	mmx_target_idle_list_t idle; /**< most recently used first */
	size_t count;		     /**< connections, idle and in use */
	/** The latest rejection named no request. */
	bool rejects_without_id;
} mmx_target_pool_t;

/** State shared by all connections of one target_client. */
typedef struct mmx_target_shared_t {
	struct event_base *base;
	mmx_clock_t *clock;
	mmx_task_t *exit;
	const mmx_header_names_t *header_names;
	mmx_time_t connect_timeout; /**< microseconds */
	mmx_time_t idle_timeout;    /**< microseconds */
	GHashTable *pools;	    /**< pool key -> mmx_target_pool_t */
	GHashTable *calls; /**< attempt id -> mmx_target_connection_t */
	mmx_target_connection_list_t connections;
	size_t connection_count;
	mmx_counter_t *connection_gauge;
	mmx_counter_t *connects;
	mmx_counter_t *reuses;
	mmx_counter_t *stale_messages;
	mmx_counter_t *results[MMX_CALL_RESULT_COUNT];
	mmx_counter_t *truncated_bodies;
	mmx_counter_t *late_copies;
} mmx_target_shared_t;

/**
 * Starts to connect.
 *
 * @return a connection that is in use; NULL if connecting failed at once, and
 *         then the pool is freed if it has no connection left
 */
mmx_target_connection_t *
mmx_target_connection_open(mmx_target_shared_t *shared, mmx_target_pool_t *pool,
			   const mmx_address_t *address);

/**
 * Takes an idle connection from the pool for reuse, the most recently used one
 * first. Closes those that the target has closed or sent unexpected bytes on;
 * the pool is not freed, even if it has no connection left.
 *
 * @param max_idle  longest idle time of the connection, microseconds
 * @return a connection that is in use; NULL if there is none
 */
mmx_target_connection_t *
mmx_target_connection_reuse(mmx_target_shared_t *shared,
			    mmx_target_pool_t *pool, mmx_time_t max_idle);

/**
 * Closes and frees a connection; a call on it ends without a message. Frees the
 * pool if this was its last connection.
 */
void mmx_target_connection_close(mmx_target_connection_t *connection);

/**
 * Sends the request of a call. Valid on a connection that is in use and has no
 * call. The contents of the message are taken.
 */
void mmx_target_connection_start_call(mmx_target_connection_t *connection,
				      mmx_call_t *call);

/**
 * Sends a part of the request body; ends the call if the body failed or has
 * another length than its head says. The contents of the message are taken.
 * Valid while a call is in progress.
 */
void mmx_target_connection_add_body(mmx_target_connection_t *connection,
				    mmx_body_t *body);

/**
 * Lets more bytes of the response body be posted. Valid while a call is in
 * progress.
 *
 * @param credit  bytes
 */
void mmx_target_connection_add_credit(mmx_target_connection_t *connection,
				      uint32_t credit);

/** Posts a CALL_EVENT without a response and counts its result. */
void mmx_target_post_result(mmx_target_shared_t *shared,
			    const mmx_attempt_id_t *attempt,
			    mmx_call_result_t result);

#endif
