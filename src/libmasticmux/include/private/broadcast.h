/* Queue of updates to be piggybacked: bounded, those sent least often first,
 * then newest first; each is dropped after a limited number of sendings. An
 * item names its subject only, so that the newest content is sent. */
#ifndef MASTICMUX_PRIVATE_BROADCAST_H
#define MASTICMUX_PRIVATE_BROADCAST_H

#include <sys/queue.h>

#include "masticmux/types.h"

/* Highest limit that a caller may give. */
#define MMX_BROADCAST_SENDINGS_MAX 31

typedef struct mmx_broadcast_item_t {
	uint64_t subject;  /* member or target id */
	uint64_t reporter; /* 0, or who reports the member unreachable */
	TAILQ_ENTRY(mmx_broadcast_item_t) entry;
	uint8_t sent;
	bool full; /* the whole record, not only the state */
} mmx_broadcast_item_t;

typedef struct mmx_broadcast_t mmx_broadcast_t;

/* capacity: items at most; the one sent most often makes room. */
mmx_broadcast_t *mmx_broadcast_create(size_t capacity);
void mmx_broadcast_destroy(mmx_broadcast_t *broadcast);

/* Adds an item, or starts it again when it is queued. */
void mmx_broadcast_add(mmx_broadcast_t *broadcast, uint64_t subject,
		       uint64_t reporter, bool full);

size_t mmx_broadcast_count(const mmx_broadcast_t *broadcast);

typedef enum mmx_broadcast_verdict_t {
	MMX_BROADCAST_SENT,
	MMX_BROADCAST_OBSOLETE,
	MMX_BROADCAST_NO_ROOM,
	MMX_BROADCAST_VERDICT_COUNT
} mmx_broadcast_verdict_t;

extern const char
	*const mmx_broadcast_verdict_string[MMX_BROADCAST_VERDICT_COUNT];

typedef mmx_broadcast_verdict_t (*mmx_broadcast_fn_t)(
	void *arg, const mmx_broadcast_item_t *item);

/* Offers items in order until one finds no room. Items offered must not be
 * added by the callback. limit: sendings of an item, from 1. */
void mmx_broadcast_take(mmx_broadcast_t *broadcast, unsigned int limit,
			mmx_broadcast_fn_t fn, void *arg);

#endif
