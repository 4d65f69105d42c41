/*
 * Task target_client: calls the targets beside this node over HTTP/1.1.
 *
 * Takes CALL, BODY (to-target), WINDOW (to-caller) and CALL_CANCEL from the
 * exit task and posts CALL_EVENT, BODY (to-caller) and WINDOW (to-target) to
 * it. The initial credit in each direction is MMX_WINDOW_BYTES; bytes inside
 * CALL and CALL_EVENT count against it.
 *
 * Each call ends with exactly one of: CALL_EVENT not-sent or failed, a
 * CALL_EVENT with body_end, a BODY with end. Messages for ended calls are
 * dropped. No message follows a CALL_CANCEL. Nothing is ever sent twice.
 *
 * Life: create, set options, init, destroy. Options are refused after init.
 */
#ifndef MASTICMUX_PRIVATE_TARGET_CLIENT_H
#define MASTICMUX_PRIVATE_TARGET_CLIENT_H

#include "masticmux/counters.h"
#include "private/messages.h"

typedef struct mmx_target_client_t mmx_target_client_t;

/*
 * Creates the task. The runtime has a live loop; it, the exit task and the
 * counters outlive the task. Counters may be NULL.
 */
mmx_target_client_t *mmx_target_client_create(mmx_runtime_t *runtime,
					      mmx_task_t *exit,
					      mmx_counters_t *counters);

/* Closes every connection; calls in progress end without a message. */
void mmx_target_client_destroy(mmx_target_client_t *client);

/* Most connections to one address, 1 or more; a call above it is not sent. */
bool mmx_target_client_set_connections_max(mmx_target_client_t *client,
					   size_t max);

/* Longest wait for a new connection, microseconds, 1 or more. */
bool mmx_target_client_set_connect_timeout(mmx_target_client_t *client,
					   mmx_time_t timeout);

/* Longest time that an unused connection is kept, microseconds. */
bool mmx_target_client_set_idle_timeout(mmx_target_client_t *client,
					mmx_time_t timeout);

/*
 * A call that may not be repeated goes on a new connection if the others have
 * been idle for longer, microseconds: the target may have forgotten them, and
 * then nobody knows whether it got the request. By default any is taken.
 */
bool mmx_target_client_set_nonrepeatable_idle_max(mmx_target_client_t *client,
						  mmx_time_t idle);

/* Starts to take calls. */
void mmx_target_client_init(mmx_target_client_t *client);

/* The task that takes the messages of the exit. */
mmx_task_t *mmx_target_client_task(mmx_target_client_t *client);

/* Calls in progress. */
size_t mmx_target_client_call_count(const mmx_target_client_t *client);

/* Open connections, in use or not. */
size_t mmx_target_client_connection_count(const mmx_target_client_t *client);

#endif
