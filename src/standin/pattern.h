/**
 * Generated bodies: a fixed pseudo-random block repeated from position 0.
 *
 * Buffers reference the block, so a body of any size takes little memory.
 */
#ifndef STANDIN_PATTERN_H
#define STANDIN_PATTERN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct evbuffer;

/** A prime, so that exchanged or lost blocks of 2^n bytes are noticed. */
#define PATTERN_BLOCK 65521

/** Appends the first length bytes of the pattern by reference. */
void pattern_append(struct evbuffer *buffer, uint64_t length);

/** True when the data equals the pattern from a position on. */
bool pattern_matches(uint64_t position, const void *data, size_t length);

/** XXH64 of the first length bytes of the pattern followed by a suffix. */
uint64_t pattern_hash(uint64_t length, const void *suffix,
		      size_t suffix_length);

/** XXH64 of a buffer's content, which stays in place. */
uint64_t pattern_hash_buffer(struct evbuffer *buffer);

#endif
