/**
 * Compares what the callers were told with what the targets executed.
 *
 * - A request that may not be repeated started at most once in the fleet.
 * - A request answered not-run never started.
 * - A completed request finished: exactly once when it may not be repeated,
 *   at least once otherwise.
 */
#ifndef STANDIN_LOAD_VERIFY_H
#define STANDIN_LOAD_VERIFY_H

#include "standin/load_run.h"

/**
 * Fetches the executions of all targets and counts each violation. A target
 * that cannot be read or did not track every key is a violation too.
 *
 * @param records  load_record_t by sequence number
 */
void load_verify(struct event_base *base, const standin_address_t *targets,
		 size_t target_count, const GArray *records,
		 load_stats_t *stats);

#endif
