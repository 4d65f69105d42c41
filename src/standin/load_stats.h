/**
 * Results of a load: counts by kind, latencies, and their output.
 */
#ifndef STANDIN_LOAD_STATS_H
#define STANDIN_LOAD_STATS_H

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

#include "masticmux/types.h"
#include "standin/histogram.h"

typedef enum load_count_t {
	LOAD_OUTCOMES,
	LOAD_REASONS,
	LOAD_STATUSES,
	LOAD_TARGETS,
	LOAD_ERRORS,
	LOAD_VIOLATIONS,
	LOAD_COUNT_COUNT
} load_count_t;

extern const char *const load_count_string[LOAD_COUNT_COUNT];

typedef struct load_stats_t {
	char run[32];	    /**< prefix of the request keys */
	mmx_time_t elapsed; /**< from the first request to the last answer */
	uint64_t sent;
	uint64_t answered;
	uint64_t completed;
	uint64_t repeated;	   /**< sent again under the same key */
	uint64_t checked_bodies;   /**< answers whose body was checked */
	uint64_t checked_requests; /**< compared with the executions */
	uint64_t request_body_bytes;
	uint64_t response_body_bytes;
	uint64_t max_waiting; /**< most requests that waited to be sent */
	histogram_t latency_completed;
	histogram_t latency_refused;
	GHashTable *counts[LOAD_COUNT_COUNT];
	GString *examples;
	unsigned int example_count;
} load_stats_t;

void load_stats_init(load_stats_t *stats);
void load_stats_clear(load_stats_t *stats);

/** Adds one to a named count. */
void load_stats_count(load_stats_t *stats, load_count_t kind, const char *name);

/**
 * Counts a violation of a guarantee; the first ones are printed with the key.
 *
 * @param key  request key, or NULL
 */
void load_stats_violation(load_stats_t *stats, const char *name,
			  const char *key);

/** True when no violation was counted. */
bool load_stats_hold(const load_stats_t *stats);

/** Writes the results, as JSON or as text. */
void load_stats_print(const load_stats_t *stats, bool json, FILE *out);

#endif
