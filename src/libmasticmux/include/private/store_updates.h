/*
 * What one node tells another of a topic of the shared store: the records from
 * an offset on, and how old its knowledge is.
 *
 * The tail keeps the latest records of one topic; the codec carries a part of
 * it between nodes. Does no I/O.
 */
#ifndef MASTICMUX_PRIVATE_STORE_NEWS_H
#define MASTICMUX_PRIVATE_STORE_NEWS_H

#include "private/store.h"

/* Records that a tail keeps, bytes of keys and values. Longer ones are left
 * to the store: copies for a whole zone would fill a slow link for seconds. */
#define MMX_STORE_TAIL_BYTES_MAX (32 * 1024)
/* Longest name of a topic and longest key, bytes. */
#define MMX_STORE_TOPIC_MAX 64
#define MMX_STORE_KEY_MAX 255

typedef struct mmx_store_tail_t mmx_store_tail_t;

mmx_store_tail_t *mmx_store_tail_create(void);
void mmx_store_tail_destroy(mmx_store_tail_t *tail);

/* Forgets all records: the next one has this offset or a greater one. */
void mmx_store_tail_reset(mmx_store_tail_t *tail, uint64_t next);

/* Adds a record; one that is not newer than the latest is left out. */
void mmx_store_tail_add(mmx_store_tail_t *tail,
			const mmx_store_record_t *record);

/* All records before this offset are known. */
void mmx_store_tail_advance(mmx_store_tail_t *tail, uint64_t next);

/* Offset of the record that comes next. */
uint64_t mmx_store_tail_next(const mmx_store_tail_t *tail);

/*
 * Encodes the records from an offset on, and the age of this knowledge in
 * microseconds. Returns bytes to be freed with g_free(), NULL when some of the
 * records are not kept.
 */
uint8_t *mmx_store_tail_encode(const mmx_store_tail_t *tail, uint64_t from,
			       mmx_time_t age, size_t *length);

/* What was decoded; records point into the bytes and to keys. */
typedef struct mmx_store_updates_t {
	uint64_t next; /* offset behind the last record */
	mmx_time_t age;
	mmx_store_record_t *records;
	char (*keys)[MMX_STORE_KEY_MAX + 1];
	size_t count;
} mmx_store_updates_t;

/*
 * Decodes news; false when they are not valid: records out of order or not
 * before next, keys that are empty or hold NUL, lengths beyond the end.
 */
bool mmx_store_updates_decode(const uint8_t *bytes, size_t length,
			      mmx_store_updates_t *news);
void mmx_store_updates_clear(mmx_store_updates_t *news);

/* Question for news: topic and first offset. */
uint8_t *mmx_store_query_encode(const char *topic, uint64_t from,
				size_t *length);
/* topic holds MMX_STORE_TOPIC_MAX + 1 bytes. */
bool mmx_store_query_decode(const uint8_t *bytes, size_t length, char *topic,
			    uint64_t *from);

#endif
