/*
 * Interface of the shared store: persistent state that all nodes share. The
 * store holds topics of keyed records and retains the newest record of each key
 * permanently.
 *
 * An implementation embeds mmx_store_t as its first member. Calls never block;
 * callbacks run from the event loop, never from inside the call.
 */
#ifndef MASTICMUX_PRIVATE_STORE_H
#define MASTICMUX_PRIVATE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "masticmux/types.h"

typedef struct mmx_store_t mmx_store_t;

/* One record; the pointers are valid only during the callback. */
typedef struct mmx_store_record_t {
	const char *key;
	const char *value; /* NULL: the key was deleted */
	size_t length;	   /* of the value, bytes */
	uint64_t offset;   /* increases within a topic */
} mmx_store_record_t;

/* Callbacks of a reader. Each record is delivered at least once, in order. */
typedef struct mmx_store_reader_ops_t {
	void (*on_record)(void *arg, const mmx_store_record_t *record);
	/* All records that the topic held at the start have been delivered;
	 * called once. */
	void (*on_synced)(void *arg);
} mmx_store_reader_ops_t;

typedef enum mmx_store_result_t {
	MMX_STORE_DONE,
	MMX_STORE_REFUSED, /* not written and never will be */
	MMX_STORE_UNKNOWN, /* may have been written, or may be later */
	MMX_STORE_RESULT_COUNT
} mmx_store_result_t;

extern const char *const mmx_store_result_string[MMX_STORE_RESULT_COUNT];

typedef void (*mmx_store_put_fn_t)(void *arg, mmx_store_result_t result);

/* Query to another node for the records that a reader would read next. */
typedef struct mmx_store_query_t {
	const char *topic;
	uint64_t from;	    /* offset of the first record */
	mmx_time_t max_age; /* greatest accepted age of a reply, microseconds */
	mmx_time_t
		min_interval; /* shortest time between queries, microseconds */
} mmx_store_query_t;

struct mmx_store_updates_t;

/* Receives the records from the queried offset on; NULL: read the store now. */
typedef void (*mmx_store_updates_fn_t)(
	void *arg, const struct mmx_store_updates_t *updates);

typedef struct mmx_store_relay_t mmx_store_relay_t;

/*
 * Operations of a relay, through which a store implementation gets records from
 * other nodes that have read them, and shares its own. The relay's
 * implementation embeds mmx_store_relay_t as its first member.
 */
typedef struct mmx_store_relay_ops_t {
	/*
	 * Queries another node. Returns false if the store has to be read
	 * instead; otherwise fn is called once, never from inside the call.
	 * Only one query per topic may be outstanding.
	 */
	bool (*query)(mmx_store_relay_t *relay, const mmx_store_query_t *query,
		      mmx_store_updates_fn_t fn, void *arg);
	/* Returns whether other nodes have queried this one recently. */
	bool (*is_queried)(const mmx_store_relay_t *relay);
	/* The topic was read from its newest records: all before the offset
	 * next are known, but the relay has no copies of them. */
	void (*on_reset)(mmx_store_relay_t *relay, const char *topic,
			 uint64_t next);
	/* A record was read from the store. */
	void (*on_record)(mmx_store_relay_t *relay, const char *topic,
			  const mmx_store_record_t *record);
	/* The store was read up to the offset next, exclusive. */
	void (*on_read)(mmx_store_relay_t *relay, const char *topic,
			uint64_t next);
} mmx_store_relay_ops_t;

struct mmx_store_relay_t {
	const mmx_store_relay_ops_t *ops;
};

typedef struct mmx_store_ops_t {
	/*
	 * Reads a topic continuously until the store is destroyed.
	 *
	 * pause: delay after a read that returned records, microseconds, so
	 *        that records written shortly after each other are read
	 *        together
	 */
	void (*subscribe)(mmx_store_t *store, const char *topic,
			  mmx_time_t pause, const mmx_store_reader_ops_t *ops,
			  void *arg);
	/* Writes the value of a key; the value is copied. */
	void (*put)(mmx_store_t *store, const char *topic, const char *key,
		    const char *value, size_t length, mmx_store_put_fn_t fn,
		    void *arg);
	/* Sets the relay that readers query before they read the store; NULL
	 * for none. */
	void (*set_relay)(mmx_store_t *store, mmx_store_relay_t *relay);
	/* Cancels pending calls without running their callbacks. */
	void (*destroy)(mmx_store_t *store);
} mmx_store_ops_t;

struct mmx_store_t {
	const mmx_store_ops_t *ops;
};

#endif
