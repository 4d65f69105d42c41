/*
 * Transfers updates of a topic of the shared store that are too long for one
 * message between nodes. The sender packs them once (zlib) and sends a block for
 * each query, so that every message is short and has a time-out of its own.
 * Packed updates remain available while they are being transferred, even if
 * newer records arrive; a transfer therefore ends however fast records follow
 * each other.
 *
 * A sender serves few nodes at a time. Others are referred to a node that has
 * received the same updates, so that the duration grows with the logarithm of
 * the number of nodes and not with what the link of one node carries. Does no
 * I/O.
 *
 * Usage of a sender: create, serve queries, destroy. A receiver sends queries
 * with increasing positions until it holds all blocks, and unpacks them.
 */
#ifndef MASTICMUX_PRIVATE_STORE_BLOCKS_H
#define MASTICMUX_PRIVATE_STORE_BLOCKS_H

#include <glib.h>

#include "masticmux/clock.h"
#include "private/store_updates.h"

/* Longest block, and longest updates that are sent without blocks, bytes. */
#define MMX_STORE_BLOCK_BYTES (16 * 1024)
/* Longest updates before and after packing, bytes. */
#define MMX_STORE_UNPACKED_MAX (8 * 1024 * 1024)
/* Nodes that a sender serves at a time. */
#define MMX_STORE_RECEIVERS_MAX 4
/* Time without a query after which a receiver no longer counts. */
#define MMX_STORE_RECEIVER_TTL_US (600 * MMX_US_PER_MS)
/* Time without a query after which packed updates are freed. */
#define MMX_STORE_PACKAGE_TTL_US (5 * MMX_US_PER_S)

typedef struct mmx_store_block_query_t {
	char topic[MMX_STORE_TOPIC_MAX + 1];
	uint64_t from;	   /* offset of the first record */
	uint64_t package;  /* from the first block; 0: begins a transfer */
	uint32_t position; /* of the block in the packed updates, bytes */
} mmx_store_block_query_t;

typedef enum mmx_store_block_status_t {
	MMX_STORE_BLOCK_DATA,
	MMX_STORE_BLOCK_BUSY, /* other: a node to query instead; 0: none */
	MMX_STORE_BLOCK_NONE, /* the sender does not hold the updates */
	MMX_STORE_BLOCK_STATUS_COUNT
} mmx_store_block_status_t;

extern const char
	*const mmx_store_block_status_string[MMX_STORE_BLOCK_STATUS_COUNT];

/* A reply. Only status and other are set unless status is
 * MMX_STORE_BLOCK_DATA. */
typedef struct mmx_store_block_t {
	mmx_store_block_status_t status;
	mmx_node_id_t other;
	uint64_t package;
	mmx_time_t age;	   /* since the sender read the store, microseconds */
	uint32_t total;	   /* of the packed updates, bytes */
	uint32_t unpacked; /* of the updates, bytes */
	const uint8_t *bytes;
	size_t length; /* at least 1 */
} mmx_store_block_t;

/* Encodes a query. Returns bytes to be freed with g_free(). */
uint8_t *mmx_store_block_query_encode(const mmx_store_block_query_t *query,
				      size_t *length);
/* Returns false if the query is not valid. */
bool mmx_store_block_query_decode(const uint8_t *bytes, size_t length,
				  mmx_store_block_query_t *query);

/* Encodes a reply. Returns bytes to be freed with g_free(). */
uint8_t *mmx_store_block_encode(const mmx_store_block_t *block, size_t *length);
/* Decodes a reply, whose bytes point into those given. Returns false if it is
 * not valid. */
bool mmx_store_block_decode(const uint8_t *bytes, size_t length,
			    mmx_store_block_t *block);

/* Unpacks complete updates of unpacked bytes. Returns bytes to be freed with
 * g_free(), or NULL if they are not valid. */
uint8_t *mmx_store_unpack(const uint8_t *packed, size_t length,
			  size_t unpacked);

typedef struct mmx_store_sender_t mmx_store_sender_t;

mmx_store_sender_t *mmx_store_sender_create(mmx_clock_t *clock);
/* sender: may be NULL */
void mmx_store_sender_destroy(mmx_store_sender_t *sender);

/*
 * Answers a query.
 *
 * tail: of the topic of the query
 * age: time since this node read the store, microseconds
 * receiver: the node that queries
 * block: receives the reply; its bytes are valid until the next call
 */
void mmx_store_sender_serve(mmx_store_sender_t *sender,
			    const mmx_store_tail_t *tail, mmx_time_t age,
			    const mmx_store_block_query_t *query,
			    mmx_node_id_t receiver, mmx_store_block_t *block);

#endif
