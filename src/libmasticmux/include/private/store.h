/*
 * Shared store: what nodes keep outside of themselves. It holds topics of
 * keyed records, of which the newest of each key is retained for good.
 *
 * An implementation embeds mmx_store_t as its first member. Calls never block;
 * callbacks come from the event loop, never from inside the call.
 */
#ifndef MASTICMUX_PRIVATE_STORE_H
#define MASTICMUX_PRIVATE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "masticmux/types.h"

typedef struct mmx_store_t mmx_store_t;

/* One record; the pointers are valid during the call. */
typedef struct mmx_store_record_t {
	const char *key;
	const char *value; /* NULL: the key was dropped */
	size_t length;
	uint64_t offset; /* grows from record to record of a topic */
} mmx_store_record_t;

/* What a reader of a topic is told; each record once or more, in order. */
typedef struct mmx_store_reader_ops_t {
	void (*record)(void *arg, const mmx_store_record_t *record);
	/* Everything that the topic held at the start has been told; once. */
	void (*synced)(void *arg);
} mmx_store_reader_ops_t;

typedef enum mmx_store_result_t {
	MMX_STORE_DONE,
	MMX_STORE_REFUSED, /* certainly not done */
	MMX_STORE_UNKNOWN, /* may have been done, or may be done later */
	MMX_STORE_RESULT_COUNT
} mmx_store_result_t;

extern const char *const mmx_store_result_string[MMX_STORE_RESULT_COUNT];

typedef void (*mmx_store_put_fn_t)(void *arg, mmx_store_result_t result);

typedef struct mmx_store_ops_t {
	/*
	 * Follows a topic until the store is destroyed. pause: shortest time
	 * between two reads, microseconds, so that records that come together
	 * are read together.
	 */
	void (*follow)(mmx_store_t *store, const char *topic, mmx_time_t pause,
		       const mmx_store_reader_ops_t *ops, void *arg);
	/* Writes the value of a key. */
	void (*put)(mmx_store_t *store, const char *topic, const char *key,
		    const char *value, size_t length, mmx_store_put_fn_t fn,
		    void *arg);
	/* Pending calls end without their callbacks. */
	void (*destroy)(mmx_store_t *store);
} mmx_store_ops_t;

struct mmx_store_t {
	const mmx_store_ops_t *ops;
};

#endif
