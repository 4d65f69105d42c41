#include "private/store_updates.h"

#include <assert.h>
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

/* Header of updates: next offset, age in milliseconds, number of records. */
#define UPDATES_HEADER_BYTES (8 + 4 + 4)
/* Fields of a record: offset, key length, whether it has a value, value
 * length. */
#define RECORD_HEADER_BYTES (8 + 4 + 4 + 4)
/* Shortest encoded record: a key of one byte and no value. */
#define RECORD_MIN_BYTES (RECORD_HEADER_BYTES + BYTES_PER_XDR_UNIT)

typedef struct tail_record_t {
	uint64_t offset;
	char *key;
	char *value;   /* NULL: the key was deleted */
	size_t length; /* of the value, bytes */
} tail_record_t;

struct mmx_store_tail_t {
	GQueue records; /* of tail_record_t, oldest first */
	size_t bytes;	/* of keys and values */
	uint64_t first; /* what was written from this offset on is held */
	uint64_t next;	/* least offset of the next record */
};

static size_t payload_size_(const tail_record_t *record)
{
	return strlen(record->key) + record->length;
}

static void free_record_(gpointer data)
{
	tail_record_t *record = data;

	g_free(record->key);
	g_free(record->value);
	g_free(record);
}

mmx_store_tail_t *mmx_store_tail_create(void)
{
	mmx_store_tail_t *tail = g_new0(mmx_store_tail_t, 1);

	g_queue_init(&tail->records);
	return tail;
}

void mmx_store_tail_destroy(mmx_store_tail_t *tail)
{
	if (!tail)
		return;
	g_queue_clear_full(&tail->records, free_record_);
	g_free(tail);
}

void mmx_store_tail_reset(mmx_store_tail_t *tail, uint64_t next)
{
	g_queue_clear_full(&tail->records, free_record_);
	tail->bytes = 0;
	tail->first = next;
	tail->next = next;
}

static void remove_oldest_(mmx_store_tail_t *tail)
{
	tail_record_t *oldest = g_queue_pop_head(&tail->records);

	tail->bytes -= payload_size_(oldest);
	tail->first = oldest->offset + 1;
	free_record_(oldest);
}

static void remove_key_(mmx_store_tail_t *tail, const char *key)
{
	GList *item;

	for (item = tail->records.head; item; item = item->next) {
		tail_record_t *record = item->data;

		if (strcmp(record->key, key) != 0)
			continue;
		tail->bytes -= payload_size_(record);
		g_queue_delete_link(&tail->records, item);
		free_record_(record);
		return;
	}
}

void mmx_store_tail_add(mmx_store_tail_t *tail,
			const mmx_store_record_t *record)
{
	tail_record_t *copy;

	if (record->offset < tail->next)
		return;
	remove_key_(tail, record->key);
	copy = g_new0(tail_record_t, 1);
	copy->offset = record->offset;
	copy->key = g_strdup(record->key);
	if (record->value) {
		copy->value = g_memdup2(record->value, record->length);
		copy->length = record->length;
	}
	g_queue_push_tail(&tail->records, copy);
	tail->bytes += payload_size_(copy);
	tail->next = record->offset + 1;
	while (tail->bytes > MMX_STORE_TAIL_BYTES_MAX)
		remove_oldest_(tail);
}

void mmx_store_tail_advance(mmx_store_tail_t *tail, uint64_t next)
{
	tail->next = MAX(tail->next, next);
}

uint64_t mmx_store_tail_next(const mmx_store_tail_t *tail)
{
	return tail->next;
}

/* Converts an age to the encoded milliseconds; longer ages are capped. */
static uint32_t encode_age_(mmx_time_t age)
{
	return (uint32_t)MIN(MAX(age, 0) / MMX_US_PER_MS, UINT32_MAX);
}

static bool encode_record_(XDR *xdr, tail_record_t *record)
{
	u_int key_length = (u_int)strlen(record->key);
	u_int length = (u_int)record->length;
	bool_t has_value = record->value != NULL;

	return xdr_uint64_t(xdr, &record->offset) &&
	       xdr_bytes(xdr, &record->key, &key_length, MMX_STORE_KEY_MAX) &&
	       xdr_bool(xdr, &has_value) &&
	       (!has_value || xdr_bytes(xdr, &record->value, &length, length));
}

bool mmx_store_tail_holds(const mmx_store_tail_t *tail, uint64_t from)
{
	return from >= tail->first;
}

uint64_t mmx_store_tail_first(const mmx_store_tail_t *tail, uint64_t from)
{
	const GList *item;

	for (item = tail->records.head; item; item = item->next)
		if (((const tail_record_t *)item->data)->offset >= from)
			return ((const tail_record_t *)item->data)->offset;
	return tail->next;
}

/* count: receives the number of records */
static size_t measure_(const mmx_store_tail_t *tail, uint64_t from,
		       uint32_t *count)
{
	size_t size = UPDATES_HEADER_BYTES;
	const GList *item;

	*count = 0;
	for (item = tail->records.tail; item; item = item->prev) {
		const tail_record_t *record = item->data;

		if (record->offset < from)
			break;
		(*count)++;
		size += RECORD_HEADER_BYTES + RNDUP(strlen(record->key)) +
			RNDUP(record->length);
	}
	return size;
}

size_t mmx_store_tail_encoded_size(const mmx_store_tail_t *tail, uint64_t from)
{
	uint32_t count;

	return measure_(tail, from, &count);
}

uint8_t *mmx_store_tail_encode(const mmx_store_tail_t *tail, uint64_t from,
			       mmx_time_t age, size_t *length)
{
	uint64_t next = tail->next;
	uint32_t ms = encode_age_(age);
	uint32_t count;
	size_t size;
	uint8_t *bytes;
	GList *item;
	bool done;
	XDR xdr;

	if (!mmx_store_tail_holds(tail, from))
		return NULL;
	size = measure_(tail, from, &count);
	bytes = g_malloc(size);
	xdrmem_create(&xdr, (char *)bytes, (u_int)size, XDR_ENCODE);
	done = xdr_uint64_t(&xdr, &next) && xdr_uint32_t(&xdr, &ms) &&
	       xdr_uint32_t(&xdr, &count);
	for (item = tail->records.head; done && item; item = item->next)
		if (((tail_record_t *)item->data)->offset >= from)
			done = encode_record_(&xdr, item->data);
	assert(done);
	(void)done;
	*length = xdr_getpos(&xdr);
	return bytes;
}

/* Returns bytes in place, where xdr_bytes() would copy them. */
static bool decode_bytes_(XDR *xdr, const uint8_t *data, size_t size,
			  const char **bytes, size_t *length)
{
	uint32_t count;
	size_t position;

	if (!xdr_uint32_t(xdr, &count))
		return false;
	position = xdr_getpos(xdr);
	if (count > size - position || RNDUP((size_t)count) > size - position)
		return false;
	*bytes = (const char *)data + position;
	*length = count;
	return xdr_setpos(xdr, (u_int)(position + RNDUP((size_t)count)));
}

static bool decode_record_(XDR *xdr, const uint8_t *data, size_t size,
			   char *key, mmx_store_record_t *record)
{
	const char *text;
	size_t length;
	bool_t has_value;

	if (!xdr_uint64_t(xdr, &record->offset) ||
	    !decode_bytes_(xdr, data, size, &text, &length) || length == 0 ||
	    length > MMX_STORE_KEY_MAX || memchr(text, '\0', length) ||
	    !xdr_bool(xdr, &has_value))
		return false;
	memcpy(key, text, length);
	key[length] = '\0';
	record->key = key;
	return !has_value ||
	       decode_bytes_(xdr, data, size, &record->value, &record->length);
}

static bool decode_records_(XDR *xdr, const uint8_t *data, size_t size,
			    mmx_store_updates_t *updates)
{
	uint64_t min_offset = 0;
	size_t i;

	for (i = 0; i < updates->count; i++) {
		mmx_store_record_t *record = &updates->records[i];

		if (!decode_record_(xdr, data, size, updates->keys[i],
				    record) ||
		    record->offset < min_offset ||
		    record->offset >= updates->next)
			return false;
		min_offset = record->offset + 1;
	}
	return xdr_getpos(xdr) == size;
}

bool mmx_store_updates_decode(const uint8_t *bytes, size_t length,
			      mmx_store_updates_t *updates)
{
	uint32_t count;
	uint32_t ms;
	XDR xdr;

	*updates = (mmx_store_updates_t){0};
	if (length < UPDATES_HEADER_BYTES || length > UINT32_MAX)
		return false;
	xdrmem_create(&xdr, (char *)bytes, (u_int)length, XDR_DECODE);
	if (!xdr_uint64_t(&xdr, &updates->next) || !xdr_uint32_t(&xdr, &ms) ||
	    !xdr_uint32_t(&xdr, &count) || count > length / RECORD_MIN_BYTES)
		return false;
	updates->age = (mmx_time_t)ms * MMX_US_PER_MS;
	updates->count = count;
	updates->records = g_new0(mmx_store_record_t, count + 1);
	updates->keys = g_malloc0((count + 1) * sizeof(*updates->keys));
	if (decode_records_(&xdr, bytes, length, updates))
		return true;
	mmx_store_updates_clear(updates);
	return false;
}

void mmx_store_updates_clear(mmx_store_updates_t *updates)
{
	g_free(updates->records);
	g_free(updates->keys);
	*updates = (mmx_store_updates_t){0};
}

uint8_t *mmx_store_query_encode(const char *topic, uint64_t from,
				size_t *length)
{
	u_int topic_length = (u_int)strlen(topic);
	size_t size = 8 + 4 + RNDUP(topic_length);
	uint8_t *bytes = g_malloc(size);
	char *text = (char *)topic;
	bool done;
	XDR xdr;

	assert(topic_length <= MMX_STORE_TOPIC_MAX);
	xdrmem_create(&xdr, (char *)bytes, (u_int)size, XDR_ENCODE);
	done = xdr_uint64_t(&xdr, &from) &&
	       xdr_bytes(&xdr, &text, &topic_length, MMX_STORE_TOPIC_MAX);
	assert(done);
	(void)done;
	*length = size;
	return bytes;
}

bool mmx_store_query_decode(const uint8_t *bytes, size_t length, char *topic,
			    uint64_t *from)
{
	const char *text;
	size_t topic_length;
	XDR xdr;

	if (length > UINT32_MAX)
		return false;
	xdrmem_create(&xdr, (char *)bytes, (u_int)length, XDR_DECODE);
	if (!xdr_uint64_t(&xdr, from) ||
	    !decode_bytes_(&xdr, bytes, length, &text, &topic_length) ||
	    topic_length == 0 || topic_length > MMX_STORE_TOPIC_MAX ||
	    memchr(text, '\0', topic_length) || xdr_getpos(&xdr) != length)
		return false;
	memcpy(topic, text, topic_length);
	topic[topic_length] = '\0';
	return true;
}
