/*
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

/* Connections to one address. */
typedef struct mmx_target_pool_t {
	char *key;
	mmx_target_idle_list_t idle; /* most recently used first */
	size_t count;		     /* idle and in use */
} mmx_target_pool_t;

/* What the connections of one target_client share. */
typedef struct mmx_target_shared_t {
	struct event_base *base;
	mmx_clock_t *clock;
	mmx_task_t *exit;
	mmx_time_t connect_timeout;
	mmx_time_t idle_timeout;
	GHashTable *pools; /* address -> mmx_target_pool_t */
	GHashTable *calls; /* attempt -> mmx_target_connection_t */
	mmx_target_connection_list_t connections;
	size_t connection_count;
	mmx_counter_t *connection_gauge;
	mmx_counter_t *connects;
	mmx_counter_t *reuses;
	mmx_counter_t *stale_messages;
	mmx_counter_t *results[MMX_CALL_RESULT_COUNT];
	mmx_counter_t *truncated_bodies;
} mmx_target_shared_t;

/*
 * Starts to connect; the connection is in use. NULL when it failed at once;
 * the pool is then removed if it has no connection left.
 */
mmx_target_connection_t *
mmx_target_connection_open(mmx_target_shared_t *shared, mmx_target_pool_t *pool,
			   const mmx_address_t *address);

/*
 * Takes a connection that has been idle for at most max_idle microseconds and
 * that the target has not closed, NULL if there is none. The pool stays, even
 * without a connection.
 */
mmx_target_connection_t *
mmx_target_connection_reuse(mmx_target_shared_t *shared,
			    mmx_target_pool_t *pool, mmx_time_t max_idle);

/* Closes a connection; a call on it ends without a message. */
void mmx_target_connection_close(mmx_target_connection_t *connection);

/* Sends the request of a call. Contents of the message are taken. */
void mmx_target_connection_start_call(mmx_target_connection_t *connection,
				      mmx_call_t *call);

/* Messages of the exit for the call; contents are taken. */
void mmx_target_connection_add_body(mmx_target_connection_t *connection,
				    mmx_body_t *body);
void mmx_target_connection_add_credit(mmx_target_connection_t *connection,
				      uint32_t credit);

/* Posts a CALL_EVENT without a response and counts it. */
void mmx_target_post_result(mmx_target_shared_t *shared,
			    const mmx_attempt_id_t *attempt,
			    mmx_call_result_t result);

#endif
