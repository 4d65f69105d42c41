/**
 * Structured log lines for changes of state; everything frequent is a counter.
 *
 * A line is one JSON-free "key=value" record on a stream:
 *   time=2026-01-31T12:00:00.123456Z level=info event=target_ejected ...
 * Values with blanks, quotes or control bytes are quoted and escaped.
 */
#ifndef MASTICMUX_LOG_H
#define MASTICMUX_LOG_H

#include <stdio.h>

#include "masticmux/clock.h"

typedef enum mmx_log_level_t {
	MMX_LOG_DEBUG,
	MMX_LOG_INFO,
	MMX_LOG_WARNING,
	MMX_LOG_ERROR,
	MMX_LOG_LEVEL_COUNT
} mmx_log_level_t;

extern const char *const mmx_log_level_string[MMX_LOG_LEVEL_COUNT];

typedef struct mmx_log_t mmx_log_t;

/**
 * Creates a logger.
 *
 * @param clock  source of the time stamps; outlives the logger
 * @param out    stream that the lines go to; not closed by the logger
 * @param level  lowest level that is written
 */
mmx_log_t *mmx_log_create(mmx_clock_t *clock, FILE *out, mmx_log_level_t level);
void mmx_log_destroy(mmx_log_t *log);

/**
 * Writes one line. Valid with log NULL: then nothing is written.
 *
 * @param event  name of the change of state, in snake_case
 * @param ...    pairs of const char * key and value, ended by NULL; a NULL
 *               value is written as "-"
 */
void mmx_log_event(mmx_log_t *log, mmx_log_level_t level, const char *event,
		   ...) __attribute__((sentinel));

#endif
