/* Makes the state a complete type, so that it can be a plain variable. */
#define XXH_STATIC_LINKING_ONLY
#include "standin/pattern.h"

#include <event2/buffer.h>
#include <string.h>
#include <xxhash.h>

#include "masticmux/random.h"

#define PATTERN_SEED 0x6d617374ULL

static unsigned char block_[PATTERN_BLOCK];
static bool filled_;

static const unsigned char *get_block_(void)
{
	mmx_random_t random;
	size_t i;

	if (filled_)
		return block_;
	mmx_random_seed(&random, PATTERN_SEED);
	for (i = 0; i < PATTERN_BLOCK; i++)
		block_[i] = (unsigned char)mmx_random_next(&random);
	filled_ = true;
	return block_;
}

void pattern_append(struct evbuffer *buffer, uint64_t length)
{
	const unsigned char *block = get_block_();

	while (length > 0) {
		size_t part = length < PATTERN_BLOCK ? length : PATTERN_BLOCK;

		evbuffer_add_reference(buffer, block, part, NULL, NULL);
		length -= part;
	}
}

bool pattern_matches(uint64_t position, const void *data, size_t length)
{
	const unsigned char *block = get_block_();
	const unsigned char *bytes = data;

	while (length > 0) {
		size_t start = position % PATTERN_BLOCK;
		size_t part = PATTERN_BLOCK - start;

		if (part > length)
			part = length;
		if (memcmp(block + start, bytes, part) != 0)
			return false;
		bytes += part;
		position += part;
		length -= part;
	}
	return true;
}

uint64_t pattern_hash(uint64_t length, const void *suffix, size_t suffix_length)
{
	/* All requests of a run have the same size, so the state after the
	 * pattern is kept. */
	static XXH64_state_t kept;
	static uint64_t kept_length = UINT64_MAX;
	XXH64_state_t state;
	uint64_t left;

	if (kept_length != length) {
		XXH64_reset(&kept, 0);
		for (left = length; left > 0;) {
			size_t part =
				left < PATTERN_BLOCK ? left : PATTERN_BLOCK;

			XXH64_update(&kept, get_block_(), part);
			left -= part;
		}
		kept_length = length;
	}
	XXH64_copyState(&state, &kept);
	XXH64_update(&state, suffix, suffix_length);
	return XXH64_digest(&state);
}

uint64_t pattern_hash_buffer(struct evbuffer *buffer)
{
	struct evbuffer_ptr position;
	struct evbuffer_iovec part;
	XXH64_state_t state;

	XXH64_reset(&state, 0);
	evbuffer_ptr_set(buffer, &position, 0, EVBUFFER_PTR_SET);
	while (evbuffer_peek(buffer, -1, &position, &part, 1) > 0) {
		XXH64_update(&state, part.iov_base, part.iov_len);
		if (evbuffer_ptr_set(buffer, &position, part.iov_len,
				     EVBUFFER_PTR_ADD))
			break;
	}
	return XXH64_digest(&state);
}
