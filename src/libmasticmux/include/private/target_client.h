/**
 * Task target_client: sends calls to the targets beside this node over
 * HTTP/1.1 and keeps connections for reuse.
 *
 * Takes CALL, BODY (to-target), WINDOW (to-caller) and CALL_CANCEL from the
 * exit task and posts CALL_EVENT, BODY (to-caller) and WINDOW (to-target) to
 * it. The initial credit in each direction is MMX_WINDOW_BYTES; body bytes
 * inside CALL and CALL_EVENT count against it.
 *
 * Each call ends with exactly one of: a CALL_EVENT not-sent or failed, a
 * CALL_EVENT with body_end, a BODY with end. Messages for calls that have ended
 * are dropped. After a CALL_CANCEL no message for the call is posted. A request
 * is never sent twice.
 *
 * Usage: create, set options, init, destroy. Options return false, without
 * effect, after init.
 */
#ifndef MASTICMUX_PRIVATE_TARGET_CLIENT_H
#define MASTICMUX_PRIVATE_TARGET_CLIENT_H

#include "masticmux/counters.h"
#include "private/header_names.h"
#include "private/messages.h"

typedef struct mmx_target_client_t mmx_target_client_t;

/**
 * Creates the task. Asserts that the runtime has an event loop.
 *
 * @param runtime   outlives the task
 * @param exit      receives the events of calls; outlives the task
 * @param counters  outlive the task; NULL for none
 */
mmx_target_client_t *mmx_target_client_create(mmx_runtime_t *runtime,
					      mmx_task_t *exit,
					      mmx_counters_t *counters);

/**
 * Closes every connection and frees the task; NULL is allowed. Calls in
 * progress end without a message.
 */
void mmx_target_client_destroy(mmx_target_client_t *client);

/**
 * Limits the connections to one address. A call that would exceed the limit
 * ends with not-sent.
 *
 * @param max  1 or more
 */
bool mmx_target_client_set_connections_max(mmx_target_client_t *client,
					   size_t max);

/**
 * Sets the longest wait for a new connection.
 *
 * @param timeout  microseconds, 1 or more
 */
bool mmx_target_client_set_connect_timeout(mmx_target_client_t *client,
					   mmx_time_t timeout);

/**
 * Sets the longest time for which an idle connection is kept.
 *
 * @param timeout  microseconds, 1 or more
 */
bool mmx_target_client_set_idle_timeout(mmx_target_client_t *client,
					mmx_time_t timeout);

/**
 * Limits the idle time of connections that are reused for calls that may not
 * be repeated. If all have been idle for longer, such a call gets a new
 * connection: the target may have dropped the idle ones without notice, and
 * then it is unknown whether it received the request. By default there is no
 * limit.
 *
 * @param idle  microseconds, 0 or more
 */
bool mmx_target_client_set_nonrepeatable_idle_max(mmx_target_client_t *client,
						  mmx_time_t idle);

/**
 * Sets the names of the headers that tell whether a response belongs to its
 * request; default: mmx_header_names_default.
 *
 * @param header_names  outlive the task
 */
bool mmx_target_client_set_header_names(mmx_target_client_t *client,
					const mmx_header_names_t *header_names);

/** Starts to accept calls. Valid once. */
void mmx_target_client_init(mmx_target_client_t *client);

/** Returns the task that takes the messages of the exit. */
mmx_task_t *mmx_target_client_task(mmx_target_client_t *client);

/** Returns the number of calls in progress. */
size_t mmx_target_client_call_count(const mmx_target_client_t *client);

/** Returns the number of open connections, in use or idle. */
size_t mmx_target_client_connection_count(const mmx_target_client_t *client);

#endif
