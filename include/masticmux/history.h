/**
 * History: the latest decisions about requests and targets, for `masticmux
 * explain`. Two rings of fixed size; the oldest event is overwritten.
 *
 * Life: create, note and query in any order, destroy.
 */
#ifndef MASTICMUX_HISTORY_H
#define MASTICMUX_HISTORY_H

#include "masticmux/clock.h"

/** Bytes of a request's key: its W3C trace id. */
#define MMX_HISTORY_KEY_BYTES 16
/** Longest text of an event; a longer one is cut. */
#define MMX_HISTORY_TEXT_MAX 103

/** One event. */
typedef struct mmx_history_event_t {
	uint64_t wall; /**< microseconds since 1970 */
	uint8_t key[MMX_HISTORY_KEY_BYTES];
	char text[MMX_HISTORY_TEXT_MAX + 1];
} mmx_history_event_t;

typedef void (*mmx_history_fn_t)(void *arg, const mmx_history_event_t *event);

typedef struct mmx_history_t mmx_history_t;

/**
 * Creates a history.
 *
 * @param request_events  size of the ring for requests, 1 or more
 * @param target_events   size of the ring for targets, 1 or more
 */
mmx_history_t *mmx_history_create(mmx_clock_t *clock, size_t request_events,
				  size_t target_events);
void mmx_history_destroy(mmx_history_t *history);

/** Notes an event of a request. Valid with history NULL: nothing happens. */
void mmx_history_request(mmx_history_t *history, const uint8_t *trace_id,
			 const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/** Notes an event of a target. Valid with history NULL: nothing happens. */
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
