/**
 * Structured log lines for changes of state; everything frequent is a counter.
 *
 * A line is one JSON-free "key=value" record on a stream:
 *   time=2026-01-31T12:00:00.123456Z level=info event=target_ejected ...
 * Values with blanks, quotes or control bytes are quoted and escaped.
 */
#ifndef MASTICMUX_LOG_H
#define MASTICMUX_LOG_H

#include <stdint.h>
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
 * Bounds the volume: lines beyond it are counted and dropped, and a line
 * "log_dropped" tells the count as soon as lines are written again. Without
 * this call every line is written.
 *
 * @param per_second  lines that are allowed in the long run, 1 or more
 * @param burst       lines that are allowed at once, 1 or more
 */
void mmx_log_set_limit(mmx_log_t *log, unsigned int per_second,
		       unsigned int burst);

/** Lines dropped so far: beyond the limit, or because the reader is slow. */
uint64_t mmx_log_dropped(const mmx_log_t *log);

/**
 * Formats a time as whole milliseconds, for a value of a line.
 *
 * @param size  of text, bytes; 24 hold any time
 * @param time  microseconds
 */
void mmx_log_format_ms(char *text, size_t size, mmx_time_t time);

/**
 * Writes one line; never blocks on a pipe whose reader is slow. Valid with log
 * NULL: then nothing is written.
 *
 * @param event  name of the change of state, in snake_case
 * @param ...    pairs of const char * key and value, ended by NULL; a NULL
 *               value is written as "-"
 */
void mmx_log_event(mmx_log_t *log, mmx_log_level_t level, const char *event,
		   ...) __attribute__((sentinel));

#endif
