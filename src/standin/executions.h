/**
 * Counts of starts and finishes by request key, in order of the first start.
 *
 * Bounded: keys beyond the maximum are counted as untracked, and a check that
 * relies on the table must then fail. Does no I/O.
 */
#ifndef STANDIN_EXECUTIONS_H
#define STANDIN_EXECUTIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct evbuffer;

#define EXECUTIONS_KEY_MAX 128

typedef struct executions_t executions_t;

typedef struct executions_totals_t {
	uint64_t keys;
	uint64_t started;
	uint64_t finished;
	uint64_t untracked; /**< starts whose key found no room */
} executions_totals_t;

executions_t *executions_create(size_t max_keys);
void executions_destroy(executions_t *executions);

/** True for 1 to EXECUTIONS_KEY_MAX characters out of [A-Za-z0-9._:-]. */
bool executions_key_valid(const char *key);

/** Counts a start; the key is valid. */
void executions_start(executions_t *executions, const char *key);

/** Counts a finish. */
void executions_finish(executions_t *executions, const char *key);

/** Forgets all keys and sets the totals to 0. */
void executions_clear(executions_t *executions);

void executions_totals(const executions_t *executions,
		       executions_totals_t *totals);

/**
 * Appends a page as JSON {"total", "untracked", "next", "executions": {KEY:
 * {"started", "finished"}}}; "next" is the position after the page, equal to
 * "total" on the last one.
 *
 * @param from  position of the first key, from 0
 * @param max   most keys
 */
void executions_page(const executions_t *executions, size_t from, size_t max,
		     struct evbuffer *out);

#endif
