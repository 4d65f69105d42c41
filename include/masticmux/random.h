/**
 * Seeded random numbers: one source per node, so that a test with a seed
 * repeats exactly. Not for keys; those come from OpenSSL.
 */
#ifndef MASTICMUX_RANDOM_H
#define MASTICMUX_RANDOM_H

#include <stdint.h>

/** State of the generator; prepared by mmx_random_seed(). */
typedef struct mmx_random_t {
	uint64_t state;
} mmx_random_t;

void mmx_random_seed(mmx_random_t *random, uint64_t seed);

/** A uniform 64-bit number (SplitMix64). */
uint64_t mmx_random_next(mmx_random_t *random);

/**
 * A uniform number from 0 to bound - 1.
 *
 * @param bound  1 or more
 */
uint64_t mmx_random_below(mmx_random_t *random, uint64_t bound);

/** A uniform number from 0 up to but not including 1. */
double mmx_random_unit(mmx_random_t *random);

#endif
