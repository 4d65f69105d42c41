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
	void (*on_record)(void *arg, const mmx_store_record_t *record);
	/* Everything that the topic held at the start has been told; once. */
	void (*on_synced)(void *arg);
} mmx_store_reader_ops_t;

typedef enum mmx_store_result_t {
	MMX_STORE_DONE,
	MMX_STORE_REFUSED, /* certainly not done */
	MMX_STORE_UNKNOWN, /* may have been done, or may be done later */
	MMX_STORE_RESULT_COUNT
} mmx_store_result_t;

extern const char *const mmx_store_result_string[MMX_STORE_RESULT_COUNT];

typedef void (*mmx_store_put_fn_t)(void *arg, mmx_store_result_t result);

/* What a reader would read at the store next. */
typedef struct mmx_store_query_t {
	const char *topic;
	uint64_t from;		 /* offset of the first record wanted */
	mmx_time_t max_age;	 /* greatest age of an answer, microseconds */
	mmx_time_t min_interval; /* shortest time between two questions */
} mmx_store_query_t;

struct mmx_store_updates_t;

/* news: the records from the offset on; NULL: read the store now. */
typedef void (*mmx_store_updates_fn_t)(void *arg,
				       const struct mmx_store_updates_t *news);

typedef struct mmx_store_relay_t mmx_store_relay_t;

/* Another way to what the store holds: nodes that have read it. Embedded first
 * in its implementation. */
typedef struct mmx_store_relay_ops_t {
	/* Asks another node. False: the store is to be read. Else fn is called
	 * once, never from inside the call. One question of a topic at a
	 * time. */
	bool (*query)(mmx_store_relay_t *relay,
		      const mmx_store_query_t *question,
		      mmx_store_updates_fn_t fn, void *arg);
	/* Other nodes ask this one. */
	bool (*is_queried)(const mmx_store_relay_t *relay);
	/* The store was read: records before next are known and not kept. */
	void (*on_reset)(mmx_store_relay_t *relay, const char *topic,
			 uint64_t next);
	/* A record came from the store. */
	void (*on_record)(mmx_store_relay_t *relay, const char *topic,
			  const mmx_store_record_t *record);
	/* The store was read up to here. */
	void (*on_read)(mmx_store_relay_t *relay, const char *topic,
			uint64_t next);
} mmx_store_relay_ops_t;

struct mmx_store_relay_t {
	const mmx_store_relay_ops_t *ops;
};

typedef struct mmx_store_ops_t {
	/*
	 * Follows a topic until the store is destroyed. pause: shortest time
	 * between two reads, microseconds, so that records that come together
	 * are read together.
	 */
	void (*subscribe)(mmx_store_t *store, const char *topic,
			  mmx_time_t pause, const mmx_store_reader_ops_t *ops,
			  void *arg);
	/* Writes the value of a key. */
	void (*put)(mmx_store_t *store, const char *topic, const char *key,
		    const char *value, size_t length, mmx_store_put_fn_t fn,
		    void *arg);
	/* Readers ask the relay before they read; NULL: they do not. */
	void (*set_relay)(mmx_store_t *store, mmx_store_relay_t *relay);
	/* Pending calls end without their callbacks. */
	void (*destroy)(mmx_store_t *store);
} mmx_store_ops_t;

struct mmx_store_t {
	const mmx_store_ops_t *ops;
};

#endif
