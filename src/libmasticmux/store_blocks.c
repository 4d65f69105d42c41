#include "private/store_blocks.h"

#include <assert.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/queue.h>
#include <zlib.h>

const char *const mmx_store_block_status_string[MMX_STORE_BLOCK_STATUS_COUNT] =
	{
		"data",
		"busy",
		"none",
};

/* A node that receives a package. */
typedef struct receiver_t {
	mmx_node_id_t node;
	mmx_time_t queried_at;
} receiver_t;

typedef struct package_t {
	LIST_ENTRY(package_t) entry;
	uint64_t id;
	char *topic;
	uint64_t first; /* offset of the first record */
	uint64_t next;	/* all records before it are known */
	uint8_t *bytes;
	size_t length;	 /* of the bytes */
	size_t unpacked; /* length before packing */
	mmx_time_t used_at;
	GArray *holders; /* of mmx_node_id_t, received it from here */
	guint turn;	 /* next of the holders to refer to */
} package_t;

struct mmx_store_sender_t {
	mmx_clock_t *clock;
	LIST_HEAD(, package_t) packages;
	GArray *receivers; /* of receiver_t, in progress */
	uint64_t last_id;
};

uint8_t *mmx_store_block_query_encode(const mmx_store_block_query_t *query,
				      size_t *length)
{
	mmx_store_block_query_t copy = *query;
	u_int topic_length = (u_int)strlen(query->topic);
	size_t size = 8 + 8 + 4 + 4 + RNDUP(topic_length);
	uint8_t *bytes = g_malloc(size);
	char *topic = copy.topic;
	bool done;
	XDR xdr;

	xdrmem_create(&xdr, (char *)bytes, (u_int)size, XDR_ENCODE);
	done = xdr_uint64_t(&xdr, &copy.from) &&
	       xdr_uint64_t(&xdr, &copy.package) &&
	       xdr_uint32_t(&xdr, &copy.position) &&
	       xdr_bytes(&xdr, &topic, &topic_length, MMX_STORE_TOPIC_MAX);
	assert(done);
	(void)done;
	*length = size;
	return bytes;
}

bool mmx_store_block_query_decode(const uint8_t *bytes, size_t length,
				  mmx_store_block_query_t *query)
{
	u_int topic_length = 0;
	char *topic = query->topic;
	XDR xdr;

	memset(query, 0, sizeof(*query));
	if (length > UINT32_MAX)
		return false;
	xdrmem_create(&xdr, (char *)bytes, (u_int)length, XDR_DECODE);
	return xdr_uint64_t(&xdr, &query->from) &&
	       xdr_uint64_t(&xdr, &query->package) &&
	       xdr_uint32_t(&xdr, &query->position) &&
	       xdr_bytes(&xdr, &topic, &topic_length, MMX_STORE_TOPIC_MAX) &&
	       topic_length > 0 && strlen(query->topic) == topic_length &&
	       xdr_getpos(&xdr) == length;
}

/* Converts all members but the bytes of the block. */
static bool convert_block_(XDR *xdr, mmx_store_block_t *block)
{
	uint32_t status = block->status;
	uint32_t age =
		(uint32_t)MIN(MAX(block->age, 0) / MMX_US_PER_MS, UINT32_MAX);
	uint64_t other = block->other;

	if (!xdr_uint32_t(xdr, &status) || !xdr_uint64_t(xdr, &other) ||
	    !xdr_uint64_t(xdr, &block->package) || !xdr_uint32_t(xdr, &age) ||
	    !xdr_uint32_t(xdr, &block->total) ||
	    !xdr_uint32_t(xdr, &block->unpacked) ||
	    status >= MMX_STORE_BLOCK_STATUS_COUNT)
		return false;
	block->status = (mmx_store_block_status_t)status;
	block->other = other;
	block->age = (mmx_time_t)age * MMX_US_PER_MS;
	return true;
}

#define BLOCK_HEADER_BYTES (4 + 8 + 8 + 4 + 4 + 4)

uint8_t *mmx_store_block_encode(const mmx_store_block_t *block, size_t *length)
{
	mmx_store_block_t copy = *block;
	uint8_t *bytes = g_malloc(BLOCK_HEADER_BYTES + block->length);
	bool done;
	XDR xdr;

	xdrmem_create(&xdr, (char *)bytes, BLOCK_HEADER_BYTES, XDR_ENCODE);
	done = convert_block_(&xdr, &copy);
	assert(done);
	(void)done;
	if (block->length)
		memcpy(bytes + BLOCK_HEADER_BYTES, block->bytes, block->length);
	*length = BLOCK_HEADER_BYTES + block->length;
	return bytes;
}

bool mmx_store_block_decode(const uint8_t *bytes, size_t length,
			    mmx_store_block_t *block)
{
	XDR xdr;

	*block = (mmx_store_block_t){.status = MMX_STORE_BLOCK_NONE};
	if (length < BLOCK_HEADER_BYTES)
		return false;
	xdrmem_create(&xdr, (char *)bytes, BLOCK_HEADER_BYTES, XDR_DECODE);
	if (!convert_block_(&xdr, block))
		return false;
	block->bytes = bytes + BLOCK_HEADER_BYTES;
	block->length = length - BLOCK_HEADER_BYTES;
	if (block->status != MMX_STORE_BLOCK_DATA)
		return block->length == 0;
	return block->package && block->length > 0 &&
	       block->length <= block->total &&
	       block->total <= MMX_STORE_UNPACKED_MAX &&
	       block->unpacked <= MMX_STORE_UNPACKED_MAX;
}

uint8_t *mmx_store_unpack(const uint8_t *packed, size_t length, size_t unpacked)
{
	uLongf size = unpacked;
	uint8_t *bytes;

	if (unpacked > MMX_STORE_UNPACKED_MAX)
		return NULL;
	/* One byte more, so that there is a buffer for empty updates, too. */
	bytes = g_malloc(unpacked + 1);
	if (uncompress(bytes, &size, packed, length) == Z_OK &&
	    size == unpacked)
		return bytes;
	g_free(bytes);
	return NULL;
}

static void free_package_(package_t *package)
{
	LIST_REMOVE(package, entry);
	g_free(package->topic);
	g_free(package->bytes);
	g_array_free(package->holders, TRUE);
	g_free(package);
}

mmx_store_sender_t *mmx_store_sender_create(mmx_clock_t *clock)
{
	mmx_store_sender_t *sender = g_new0(mmx_store_sender_t, 1);

	sender->clock = clock;
	LIST_INIT(&sender->packages);
	sender->receivers = g_array_new(FALSE, FALSE, sizeof(receiver_t));
	return sender;
}

void mmx_store_sender_destroy(mmx_store_sender_t *sender)
{
	package_t *package;

	if (!sender)
		return;
	while ((package = LIST_FIRST(&sender->packages)))
		free_package_(package);
	g_array_free(sender->receivers, TRUE);
	g_free(sender);
}

static void free_unused_packages_(mmx_store_sender_t *sender)
{
	mmx_time_t now = mmx_clock_now(sender->clock);
	package_t *package;
	package_t *following;

	for (package = LIST_FIRST(&sender->packages); package;
	     package = following) {
		following = LIST_NEXT(package, entry);
		if (now - package->used_at >= MMX_STORE_PACKAGE_TTL_US)
			free_package_(package);
	}
}

static void remove_receiver_(mmx_store_sender_t *sender, mmx_node_id_t node)
{
	mmx_time_t now = mmx_clock_now(sender->clock);
	guint i;

	for (i = sender->receivers->len; i > 0; i--) {
		const receiver_t *item =
			&g_array_index(sender->receivers, receiver_t, i - 1);

		if (item->node == node ||
		    now - item->queried_at >= MMX_STORE_RECEIVER_TTL_US)
			g_array_remove_index_fast(sender->receivers, i - 1);
	}
}

/* Returns false if too many other nodes are being served. */
static bool add_receiver_(mmx_store_sender_t *sender, mmx_node_id_t node)
{
	const receiver_t receiver = {node, mmx_clock_now(sender->clock)};

	remove_receiver_(sender, node);
	if (sender->receivers->len >= MMX_STORE_RECEIVERS_MAX)
		return false;
	g_array_append_val(sender->receivers, receiver);
	return true;
}

static void add_holder_(package_t *package, mmx_node_id_t node)
{
	guint i;

	for (i = 0; i < package->holders->len; i++)
		if (g_array_index(package->holders, mmx_node_id_t, i) == node)
			return;
	g_array_append_val(package->holders, node);
}

/* Returns 0 if no node is known to hold it. */
static mmx_node_id_t next_holder_(package_t *package)
{
	if (package->holders->len == 0)
		return 0;
	return g_array_index(package->holders, mmx_node_id_t,
			     package->turn++ % package->holders->len);
}

static package_t *pack_(mmx_store_sender_t *sender,
			const mmx_store_tail_t *tail,
			const mmx_store_block_query_t *query)
{
	package_t *package;
	uLongf packed;
	size_t length;
	uint8_t *bytes = mmx_store_tail_encode(tail, query->from, 0, &length);
	uint8_t *room;

	if (!bytes || length > MMX_STORE_UNPACKED_MAX) {
		g_free(bytes);
		return NULL;
	}
	packed = compressBound(length);
	room = g_malloc(packed);
	if (compress2(room, &packed, bytes, length, Z_BEST_SPEED) != Z_OK) {
		g_free(bytes);
		g_free(room);
		return NULL;
	}
	g_free(bytes);
	package = g_new0(package_t, 1);
	package->id = ++sender->last_id;
	package->topic = g_strdup(query->topic);
	package->first = mmx_store_tail_first(tail, query->from);
	package->next = mmx_store_tail_next(tail);
	package->bytes = g_realloc(room, packed);
	package->length = packed;
	package->unpacked = length;
	package->holders = g_array_new(FALSE, FALSE, sizeof(mmx_node_id_t));
	LIST_INSERT_HEAD(&sender->packages, package, entry);
	return package;
}

/* Queries for different offsets share a package if the same records follow. */
static package_t *get_package_(mmx_store_sender_t *sender,
			       const mmx_store_tail_t *tail,
			       const mmx_store_block_query_t *query)
{
	uint64_t first;
	package_t *package;

	if (query->package) {
		LIST_FOREACH (package, &sender->packages, entry)
			if (package->id == query->package)
				return package;
		return NULL;
	}
	if (!mmx_store_tail_holds(tail, query->from))
		return NULL;
	first = mmx_store_tail_first(tail, query->from);
	LIST_FOREACH (package, &sender->packages, entry)
		if (strcmp(package->topic, query->topic) == 0 &&
		    package->first == first &&
		    package->next == mmx_store_tail_next(tail))
			return package;
	return pack_(sender, tail, query);
}

void mmx_store_sender_serve(mmx_store_sender_t *sender,
			    const mmx_store_tail_t *tail, mmx_time_t age,
			    const mmx_store_block_query_t *query,
			    mmx_node_id_t receiver, mmx_store_block_t *block)
{
	package_t *package;

	*block = (mmx_store_block_t){.status = MMX_STORE_BLOCK_NONE};
	free_unused_packages_(sender);
	package = get_package_(sender, tail, query);
	if (!package || query->position >= package->length)
		return;
	package->used_at = mmx_clock_now(sender->clock);
	if (!add_receiver_(sender, receiver)) {
		block->status = MMX_STORE_BLOCK_BUSY;
		block->other = next_holder_(package);
		return;
	}
	*block = (mmx_store_block_t){
		.status = MMX_STORE_BLOCK_DATA,
		.package = package->id,
		.age = age,
		.total = (uint32_t)package->length,
		.unpacked = (uint32_t)package->unpacked,
		.bytes = package->bytes + query->position,
		.length = MIN(package->length - query->position,
			      (size_t)MMX_STORE_BLOCK_BYTES),
	};
	if (query->position + block->length == package->length) {
		remove_receiver_(sender, receiver);
		add_holder_(package, receiver);
	}
}
