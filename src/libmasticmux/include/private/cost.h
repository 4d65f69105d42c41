/*
 * Run times that one target or one service has shown, by route and size of the
 * request body, and the expected run time of requests.
 *
 * A histogram with bins of half an octave is kept for each route and body size
 * class, for each route and for all requests together. Older run times count
 * less: their weight halves every MMX_COST_HALF_LIFE_US. An estimate comes from
 * the most specific of the three that has MMX_COST_SAMPLES_MIN run times, else
 * from all requests. Does no I/O.
 *
 * Usage: create; add the run time of each completed request; ask for estimates;
 * destroy.
 */
#ifndef MASTICMUX_PRIVATE_COST_H
#define MASTICMUX_PRIVATE_COST_H

#include <stddef.h>
#include <stdint.h>

#include "masticmux/types.h"
#include "private/head.h"

/* Chosen: follows a route whose cost changes within a minute, and keeps some
 * hundred run times of a target that completes 10 requests per second. */
#define MMX_COST_HALF_LIFE_US (30 * MMX_US_PER_S)

/* Histograms of routes and of routes by class; the least recently used one is
 * evicted. */
#define MMX_COST_KEYS_MAX 256

/* With fewer run times of its own, a histogram is not used: a single one may be
 * seven times the mean where run times have a heavy tail. */
#define MMX_COST_SAMPLES_MIN 4

/* Run times from which mmx_cost_is_uneven() answers. */
#define MMX_COST_UNEVEN_SAMPLES_MIN 16

/* Squared coefficient of variation from which run times are uneven (chosen):
 * an exponential distribution has 1, a constant run time 0. */
#define MMX_COST_UNEVEN_MIN 0.5

/* Longest estimate. */
#define MMX_COST_MAX_US (60 * MMX_US_PER_S)

/* Size of a request body. */
typedef enum mmx_cost_class_t {
	MMX_COST_BODY_NONE,
	MMX_COST_BODY_4K,
	MMX_COST_BODY_64K,
	MMX_COST_BODY_1M,
	MMX_COST_BODY_LARGE,
	MMX_COST_CLASS_COUNT
} mmx_cost_class_t;

extern const char *const mmx_cost_class_string[MMX_COST_CLASS_COUNT];

/* What is known of a request before it runs. */
typedef struct mmx_cost_key_t {
	uint32_t route; /* 0: unknown */
	mmx_cost_class_t class;
} mmx_cost_key_t;

/* Class of a body of this many bytes. */
mmx_cost_class_t mmx_cost_class(uint64_t bytes);

/*
 * Key of a request.
 *
 * buffered: bytes of its body so far, which count if the head has no length
 */
mmx_cost_key_t mmx_cost_request_key(uint32_t route, const mmx_head_t *head,
				    uint64_t buffered);

typedef struct mmx_cost_t mmx_cost_t;

mmx_cost_t *mmx_cost_create(void);

/* NULL is allowed. */
void mmx_cost_destroy(mmx_cost_t *cost);

/* Adds the run time of a completed request, microseconds, 0 or more. */
void mmx_cost_add(mmx_cost_t *cost, mmx_cost_key_t key, mmx_time_t run_time,
		  mmx_time_t now);

/* Mean run time of such requests, microseconds; 0: nothing is known. */
mmx_time_t mmx_cost_mean(const mmx_cost_t *cost, mmx_cost_key_t key);

/* Mean run time of all requests, microseconds; 0: nothing is known. */
mmx_time_t mmx_cost_mean_of_all(const mmx_cost_t *cost);

/*
 * Run time that this share of such requests do not exceed, microseconds, to
 * half an octave; 0: nothing is known.
 *
 * permille: 1 to 1000, asserted
 */
mmx_time_t mmx_cost_quantile(const mmx_cost_t *cost, mmx_cost_key_t key,
			     unsigned int permille);

/*
 * Expected time until a request completes that has run for age, microseconds;
 * 0: nothing is known. Grows with the age where run times have a heavy tail,
 * and is about the age for a request that is older than all that completed.
 */
mmx_time_t mmx_cost_remaining(const mmx_cost_t *cost, mmx_cost_key_t key,
			      mmx_time_t age);

/* Squared coefficient of variation of all run times; 0: too few are known. */
double mmx_cost_variation(const mmx_cost_t *cost);

/* True if the run times vary by MMX_COST_UNEVEN_MIN or more. */
bool mmx_cost_is_uneven(const mmx_cost_t *cost);

/* Number of histograms of routes and of routes by class. */
size_t mmx_cost_key_count(const mmx_cost_t *cost);

#endif
