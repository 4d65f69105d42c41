/**
 * History: the latest decisions about requests and about targets, for
 * `masticmux explain`. They are kept in two ring buffers of fixed size; a new
 * event overwrites the oldest one.
 *
 * Usage: create; record and query in any order; destroy. Does no I/O.
 */
#ifndef MASTICMUX_HISTORY_H
#define MASTICMUX_HISTORY_H

#include "masticmux/clock.h"

/** Bytes of a request's key: its W3C trace id. */
#define MMX_HISTORY_KEY_BYTES 16
/** Longest text of an event, bytes; a longer one is truncated. */
#define MMX_HISTORY_TEXT_MAX 103

/** One event. */
typedef struct mmx_history_event_t {
	uint64_t wall;			    /**< microseconds since 1970 */
	uint8_t key[MMX_HISTORY_KEY_BYTES]; /**< trace id or target id */
	char text[MMX_HISTORY_TEXT_MAX + 1];
} mmx_history_event_t;

typedef void (*mmx_history_fn_t)(void *arg, const mmx_history_event_t *event);

typedef struct mmx_history_t mmx_history_t;

/**
 * Creates a history.
 *
 * @param clock           outlives the result
 * @param request_events  number of request events to keep, 1 or more, asserted
 * @param target_events   number of target events to keep, 1 or more, asserted
 */
mmx_history_t *mmx_history_create(mmx_clock_t *clock, size_t request_events,
				  size_t target_events);
void mmx_history_destroy(mmx_history_t *history);

/** Records an event of a request. Does nothing if history is NULL. */
void mmx_history_request(mmx_history_t *history, const uint8_t *trace_id,
			 const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/** Records an event of a target. Does nothing if history is NULL. */
void mmx_history_target(mmx_history_t *history, mmx_target_id_t target,
			const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/**
 * Calls fn for the events of a request, oldest first.
 *
 * @return number of events
 */
size_t mmx_history_each_request(const mmx_history_t *history,
				const uint8_t *trace_id, mmx_history_fn_t fn,
				void *arg);

/** Calls fn for the events of a target, oldest first; returns their number. */
size_t mmx_history_each_target(const mmx_history_t *history,
			       mmx_target_id_t target, mmx_history_fn_t fn,
			       void *arg);

#endif
