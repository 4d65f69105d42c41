/*
 * Task http_entry: the HTTP server on the callers address.
 *
 * Posts REQUEST, BODY (to-target), WINDOW (to-caller) and CALLER_GONE to the
 * entry task and takes ANSWER, BODY (to-caller) and WINDOW (to-target) from
 * it. The initial credit in each direction is MMX_WINDOW_BYTES; bytes inside
 * REQUEST and ANSWER count against it. A request whose caller has gone or
 * which has been answered is forgotten: later messages for it are dropped.
 *
 * Life: create, set options, init, (drain), destroy. Options are refused
 * after init.
 */
#ifndef MASTICMUX_PRIVATE_HTTP_ENTRY_H
#define MASTICMUX_PRIVATE_HTTP_ENTRY_H

#include "masticmux/counters.h"
#include "masticmux/error.h"
#include "private/messages.h"

typedef struct mmx_http_entry_t mmx_http_entry_t;

/* Times in microseconds, 1 or more. */
typedef struct mmx_http_entry_timeouts_t {
	mmx_time_t idle;   /* between two requests of a connection */
	mmx_time_t head;   /* from the first byte of a head to its end */
	mmx_time_t body;   /* between two parts of a request body */
	mmx_time_t write;  /* for a caller that does not read its response */
	mmx_time_t linger; /* between our close and the caller's */
} mmx_http_entry_timeouts_t;

/*
 * Creates the task. The runtime has a live loop; it, the entry task and the
 * counters outlive the task. Counters may be NULL.
 */
mmx_http_entry_t *mmx_http_entry_create(mmx_runtime_t *runtime,
					mmx_task_t *entry,
					mmx_counters_t *counters);

/* Drops the connections; in-progress requests are not reported as gone. */
void mmx_http_entry_destroy(mmx_http_entry_t *http);

/* Most caller connections at a time, 1 or more; false after init. */
bool mmx_http_entry_set_connections_max(mmx_http_entry_t *http, size_t max);

/* False after init. */
bool mmx_http_entry_set_timeouts(mmx_http_entry_t *http,
				 const mmx_http_entry_timeouts_t *timeouts);

/* The timeouts that are in force, to change some of them. */
mmx_http_entry_timeouts_t mmx_http_entry_timeouts(const mmx_http_entry_t *http);

/*
 * Bodies up to this size are read to their end before the entry gets the
 * request; false after init. 0, the default, streams every body.
 */
bool mmx_http_entry_set_hold(mmx_http_entry_t *http, size_t bytes);

/* Starts to listen; port 0 takes a free one, see mmx_http_entry_port(). */
bool mmx_http_entry_init(mmx_http_entry_t *http, const mmx_address_t *address,
			 mmx_error_t *error);

/* Valid after init. */
uint16_t mmx_http_entry_port(const mmx_http_entry_t *http);

/* The task that takes the messages of the entry. */
mmx_task_t *mmx_http_entry_task(mmx_http_entry_t *http);

/*
 * Stops accepting, closes idle connections and closes each other connection
 * after the answers to the requests that were passed on, or to its next one.
 * Valid after init, any number of times.
 */
void mmx_http_entry_drain(mmx_http_entry_t *http);

/*
 * As drain, but connections are still accepted and idle ones stay open until
 * drain is called: callers that have not noticed the planned stop yet get
 * answers, and are told to close. Valid after init.
 */
void mmx_http_entry_announce_drain(mmx_http_entry_t *http);

/* Limits of the configuration; members that are 0 change nothing. */
void mmx_http_entry_set_limits(mmx_http_entry_t *http,
			       const mmx_caller_limits_t *limits);

/* Open connections; a drained task is done at 0. */
size_t mmx_http_entry_connections(const mmx_http_entry_t *http);

#endif
