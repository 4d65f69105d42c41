/*
 * Updates of a topic of the shared store that one node sends to another: the
 * records from an offset on, and the time since the sender last read the store.
 *
 * The tail holds the newest record of each key that was written from some offset
 * on, as the store retains no others for long; the codec encodes queries and
 * a part of the tail for transmission between nodes. Does no I/O.
 */
#ifndef MASTICMUX_PRIVATE_STORE_UPDATES_H
#define MASTICMUX_PRIVATE_STORE_UPDATES_H

#include "private/store.h"

/* Limit on a tail, total bytes of keys and values. What does not fit has to be
 * read from the store. */
#define MMX_STORE_TAIL_BYTES_MAX (4 * 1024 * 1024)
/* Longest topic name and longest key, bytes. */
#define MMX_STORE_TOPIC_MAX 64
#define MMX_STORE_KEY_MAX 255

typedef struct mmx_store_tail_t mmx_store_tail_t;

mmx_store_tail_t *mmx_store_tail_create(void);
void mmx_store_tail_destroy(mmx_store_tail_t *tail);

/* Removes all records; the next one must have an offset of at least next. */
void mmx_store_tail_reset(mmx_store_tail_t *tail, uint64_t next);

/* Appends a copy of a record and removes the former one of its key; ignored if
 * its offset is below the next one. Removes the oldest records if the tail grows
 * too large. */
void mmx_store_tail_add(mmx_store_tail_t *tail,
			const mmx_store_record_t *record);

/* Raises the next offset; the topic has no other records before it. Never
 * lowers it. */
void mmx_store_tail_advance(mmx_store_tail_t *tail, uint64_t next);

/* Returns the least offset that the next record may have. */
uint64_t mmx_store_tail_next(const mmx_store_tail_t *tail);

/* Returns whether the tail holds the newest record of each key that was written
 * from an offset on. */
bool mmx_store_tail_holds(const mmx_store_tail_t *tail, uint64_t from);

/* Returns the offset of the first record held from an offset on, or the next
 * offset if there is none. */
uint64_t mmx_store_tail_first(const mmx_store_tail_t *tail, uint64_t from);

/* Returns the length of the encoded records from an offset on, bytes. */
size_t mmx_store_tail_encoded_size(const mmx_store_tail_t *tail, uint64_t from);

/*
 * Encodes the records from an offset on.
 *
 * age: time since the store was last read, microseconds
 *
 * Returns bytes to be freed with g_free(), or NULL if the tail does not hold
 * them; see mmx_store_tail_holds().
 */
uint8_t *mmx_store_tail_encode(const mmx_store_tail_t *tail, uint64_t from,
			       mmx_time_t age, size_t *length);

/* Decoded updates. The values point into the decoded bytes, which have to
 * outlive them. */
typedef struct mmx_store_updates_t {
	uint64_t next;	/* all records before this offset are known */
	mmx_time_t age; /* since the sender read the store, microseconds */
	mmx_store_record_t *records;
	char (*keys)[MMX_STORE_KEY_MAX + 1]; /* of the records */
	size_t count;
} mmx_store_updates_t;

/*
 * Decodes updates, to be cleared with mmx_store_updates_clear().
 *
 * Returns false if they are not valid: offsets that do not increase or are not
 * below next, a key that is empty, too long or contains NUL, a length beyond
 * the end, or bytes after the last record.
 */
bool mmx_store_updates_decode(const uint8_t *bytes, size_t length,
			      mmx_store_updates_t *updates);
void mmx_store_updates_clear(mmx_store_updates_t *updates);

/* Encodes a query: topic and first offset. Returns bytes to be freed with
 * g_free(). Asserts that the topic is not too long. */
uint8_t *mmx_store_query_encode(const char *topic, uint64_t from,
				size_t *length);
/*
 * Decodes a query; false if it is not valid.
 *
 * topic: buffer of MMX_STORE_TOPIC_MAX + 1 bytes
 */
bool mmx_store_query_decode(const uint8_t *bytes, size_t length, char *topic,
			    uint64_t *from);

#endif
