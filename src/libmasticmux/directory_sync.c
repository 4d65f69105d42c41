#include "masticmux/directory_sync.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "private/gossip_xdr.h"

/* More than fits into the largest message. */
#define COUNT_MAX 65536U

const char *const mmx_sync_kind_string[MMX_SYNC_KIND_COUNT] = {
	"digests",
	"hashes",
	"records",
};

mmx_sync_message_t *mmx_sync_message_create(mmx_sync_kind_t kind, uint32_t salt)
{
	mmx_sync_message_t *message = g_new0(mmx_sync_message_t, 1);

	message->kind = kind;
	message->salt = salt;
	message->hashes = g_array_new(FALSE, TRUE, sizeof(mmx_sync_hash_t));
	message->members = g_array_new(FALSE, TRUE, sizeof(mmx_member_t));
	message->targets =
		g_array_new(FALSE, TRUE, sizeof(mmx_target_record_t));
	return message;
}

void mmx_sync_message_destroy(mmx_sync_message_t *message)
{
	if (!message)
		return;
	g_array_free(message->hashes, TRUE);
	g_array_free(message->members, TRUE);
	g_array_free(message->targets, TRUE);
	g_free(message);
}

static bool xdr_digests_(XDR *xdrs, mmx_sync_message_t *message)
{
	size_t i;

	for (i = 0; i < MMX_SYNC_BUCKETS; i++) {
		if (!xdr_uint64_t(xdrs, &message->digests[i]))
			return false;
	}
	return true;
}

/* Hashes travel as runs of one bucket: bucket, count, hashes. */
static bool encode_hashes_(XDR *xdrs, mmx_sync_message_t *message)
{
	const mmx_sync_hash_t *hash = (void *)message->hashes->data;
	const mmx_sync_hash_t *end = hash + message->hashes->len;
	uint32_t runs = 0;
	u_int runs_at = xdr_getpos(xdrs);
	u_int end_at;
	uint32_t b;

	if (!xdr_uint32_t(xdrs, &runs))
		return false;
	for (b = 0; b < MMX_SYNC_BUCKETS; b++) {
		const mmx_sync_hash_t *from = hash;
		uint32_t count;

		while (hash < end && hash->bucket == b)
			hash++;
		count = (uint32_t)(hash - from);
		if (!count && !message->listed[b])
			continue;
		runs++;
		if (!xdr_uint32_t(xdrs, &b) || !xdr_uint32_t(xdrs, &count))
			return false;
		for (; from < hash; from++) {
			uint32_t value = from->hash;

			if (!xdr_uint32_t(xdrs, &value))
				return false;
		}
	}
	end_at = xdr_getpos(xdrs);
	return hash == end && xdr_setpos(xdrs, runs_at) &&
	       xdr_uint32_t(xdrs, &runs) && xdr_setpos(xdrs, end_at);
}

static bool decode_run_(XDR *xdrs, mmx_sync_message_t *message)
{
	mmx_sync_hash_t hash = {0, 0};
	uint32_t bucket;
	uint32_t count;

	if (!xdr_uint32_t(xdrs, &bucket) || bucket >= MMX_SYNC_BUCKETS ||
	    message->listed[bucket] || !xdr_uint32_t(xdrs, &count))
		return false;
	message->listed[bucket] = true;
	hash.bucket = (uint16_t)bucket;
	while (count-- > 0) {
		if (!xdr_uint32_t(xdrs, &hash.hash))
			return false;
		g_array_append_val(message->hashes, hash);
	}
	return true;
}

static bool decode_hashes_(XDR *xdrs, mmx_sync_message_t *message)
{
	uint32_t runs;

	if (!xdr_uint32_t(xdrs, &runs) || runs > MMX_SYNC_BUCKETS)
		return false;
	while (runs-- > 0) {
		if (!decode_run_(xdrs, message))
			return false;
	}
	return true;
}

static bool encode_records_(XDR *xdrs, mmx_sync_message_t *message)
{
	uint32_t members = message->members->len;
	uint32_t targets = message->targets->len;
	uint32_t i;

	if (!xdr_uint32_t(xdrs, &members))
		return false;
	for (i = 0; i < members; i++) {
		if (!mmx_xdr_member(xdrs, &g_array_index(message->members,
							 mmx_member_t, i)))
			return false;
	}
	if (!xdr_uint32_t(xdrs, &targets))
		return false;
	for (i = 0; i < targets; i++) {
		if (!mmx_xdr_target(xdrs,
				    &g_array_index(message->targets,
						   mmx_target_record_t, i)))
			return false;
	}
	return true;
}

static bool decode_records_(XDR *xdrs, mmx_sync_message_t *message)
{
	mmx_member_t member;
	mmx_target_record_t target;
	uint32_t count;

	if (!xdr_uint32_t(xdrs, &count) || count > COUNT_MAX)
		return false;
	while (count-- > 0) {
		memset(&member, 0, sizeof(member));
		if (!mmx_xdr_member(xdrs, &member))
			return false;
		g_array_append_val(message->members, member);
	}
	if (!xdr_uint32_t(xdrs, &count) || count > COUNT_MAX)
		return false;
	while (count-- > 0) {
		memset(&target, 0, sizeof(target));
		if (!mmx_xdr_target(xdrs, &target))
			return false;
		g_array_append_val(message->targets, target);
	}
	return true;
}

static bool xdr_head_(XDR *xdrs, mmx_sync_message_t *message)
{
	uint32_t kind = message->kind;

	if (!xdr_uint32_t(xdrs, &kind) || kind >= MMX_SYNC_KIND_COUNT)
		return false;
	message->kind = (mmx_sync_kind_t)kind;
	return xdr_uint32_t(xdrs, &message->salt);
}

static bool encode_(XDR *xdrs, mmx_sync_message_t *message)
{
	if (!xdr_head_(xdrs, message))
		return false;
	if (message->kind == MMX_SYNC_DIGESTS)
		return xdr_digests_(xdrs, message);
	return encode_hashes_(xdrs, message) &&
	       (message->kind == MMX_SYNC_HASHES ||
		encode_records_(xdrs, message));
}

static bool decode_(XDR *xdrs, mmx_sync_message_t *message)
{
	if (!xdr_head_(xdrs, message))
		return false;
	if (message->kind == MMX_SYNC_DIGESTS)
		return xdr_digests_(xdrs, message);
	return decode_hashes_(xdrs, message) &&
	       (message->kind == MMX_SYNC_HASHES ||
		decode_records_(xdrs, message));
}

uint8_t *mmx_sync_encode(mmx_sync_message_t *message, size_t max, size_t *size)
{
	uint8_t *buffer = malloc(max);
	uint8_t *shrunk;
	bool fits;
	XDR xdrs;

	if (!buffer)
		return NULL;
	xdrmem_create(&xdrs, (char *)buffer, (u_int)max, XDR_ENCODE);
	fits = encode_(&xdrs, message);
	*size = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	if (!fits) {
		free(buffer);
		return NULL;
	}
	shrunk = realloc(buffer, *size);
	return shrunk ? shrunk : buffer;
}

mmx_sync_message_t *mmx_sync_decode(const uint8_t *data, size_t size)
{
	mmx_sync_message_t *message =
		mmx_sync_message_create(MMX_SYNC_DIGESTS, 0);
	bool valid;
	XDR xdrs;

	xdrmem_create(&xdrs, (char *)data, (u_int)size, XDR_DECODE);
	valid = decode_(&xdrs, message) && xdr_getpos(&xdrs) == size;
	xdr_destroy(&xdrs);
	if (valid)
		return message;
	mmx_sync_message_destroy(message);
	return NULL;
}
