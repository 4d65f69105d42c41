/**
 * Registry of named counters and gauges, written in Prometheus text format.
 *
 * Usage: create a registry, register each counter once at start and keep the
 * returned pointer, add to it at run time, write on demand, destroy.
 */
#ifndef MASTICMUX_COUNTERS_H
#define MASTICMUX_COUNTERS_H

#include <stdint.h>
#include <sys/queue.h>

struct evbuffer;

typedef enum mmx_counter_kind_t {
	MMX_COUNTER,
	MMX_GAUGE,
	MMX_COUNTER_KIND_COUNT
} mmx_counter_kind_t;

extern const char *const mmx_counter_kind_string[MMX_COUNTER_KIND_COUNT];

/** One counter; the value may be read and written directly. */
typedef struct mmx_counter_t {
	LIST_ENTRY(mmx_counter_t) entry;
	mmx_counter_kind_t kind;
	char *name;   /**< without labels, e.g. masticmux_requests_total */
	char *labels; /**< e.g. outcome="completed", or empty */
	char *help;
	int64_t value;
} mmx_counter_t;

typedef struct mmx_counters_t mmx_counters_t;

mmx_counters_t *mmx_counters_create(void);
void mmx_counters_destroy(mmx_counters_t *counters);

/**
 * Registers a counter, or returns the one with the same name and labels.
 *
 * @param labels  "" for none
 * @return valid until the registry is destroyed
 */
mmx_counter_t *mmx_counters_get(mmx_counters_t *counters,
				mmx_counter_kind_t kind, const char *name,
				const char *labels, const char *help);

/** Upper bounds of the buckets of every histogram, microseconds. */
#define MMX_HISTOGRAM_BUCKETS 12
extern const int64_t mmx_histogram_bounds[MMX_HISTOGRAM_BUCKETS];

/** Latencies by bucket; the values are read and written by the registry. */
typedef struct mmx_histogram_t {
	LIST_ENTRY(mmx_histogram_t) entry;
	char *name;
	char *labels;
	char *help;
	uint64_t count[MMX_HISTOGRAM_BUCKETS + 1]; /**< the last: above all */
	int64_t sum;				   /**< microseconds */
} mmx_histogram_t;

/** Registers a histogram, or returns the one with the same name and labels. */
mmx_histogram_t *mmx_counters_histogram(mmx_counters_t *counters,
					const char *name, const char *labels,
					const char *help);

/**
 * Counts one latency; NULL is allowed.
 *
 * @param took  microseconds, 0 or more
 */
void mmx_histogram_add(mmx_histogram_t *histogram, int64_t took);

/**
 * Appends all counters and histograms in Prometheus text format 0.0.4. Bounds
 * and sums of histograms are written in seconds.
 */
void mmx_counters_write(const mmx_counters_t *counters, struct evbuffer *out);

/** Adds to a counter; NULL is allowed, so that tests may leave it out. */
static inline void mmx_counter_add(mmx_counter_t *counter, int64_t by)
{
	if (counter)
		counter->value += by;
}

/** Sets a gauge; NULL is allowed. */
static inline void mmx_counter_set(mmx_counter_t *counter, int64_t value)
{
	if (counter)
		counter->value = value;
}

#endif
