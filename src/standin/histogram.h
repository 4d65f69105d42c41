/**
 * Latency histogram with exponential buckets; a percentile is exact to within
 * one part in 64. Memory is fixed.
 */
#ifndef STANDIN_HISTOGRAM_H
#define STANDIN_HISTOGRAM_H

#include <jansson.h>
#include <stdint.h>

#define HISTOGRAM_SUB_BITS 6
#define HISTOGRAM_BUCKETS ((64 - HISTOGRAM_SUB_BITS + 1) << HISTOGRAM_SUB_BITS)

typedef struct histogram_t {
	uint64_t counts[HISTOGRAM_BUCKETS];
	uint64_t total;
	uint64_t max; /**< us */
} histogram_t;

/** Counts one value in microseconds; the structure starts zeroed. */
void histogram_add(histogram_t *histogram, uint64_t us);

/**
 * Upper bound of the bucket that holds a percentile.
 *
 * @param percent  0..100
 * @return microseconds, 0 when the histogram is empty
 */
uint64_t histogram_percentile(const histogram_t *histogram, double percent);

/** {"count", "p50_ms", "p90_ms", "p99_ms", "p99_9_ms", "max_ms"}. */
json_t *histogram_json(const histogram_t *histogram);

#endif
