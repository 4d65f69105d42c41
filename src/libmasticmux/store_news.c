#include "private/store_updates.h"

#include <assert.h>
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

/* next, age in milliseconds, number of records. */
#define NEWS_HEAD_BYTES (8 + 4 + 4)
/* Offset, length of the key, whether there is a value, its length. */
#define RECORD_HEAD_BYTES (8 + 4 + 4 + 4)
/* Shortest record on the wire: a key of one byte and no value. */
#define RECORD_MIN_BYTES (RECORD_HEAD_BYTES + BYTES_PER_XDR_UNIT)

typedef struct kept_t {
	uint64_t offset;
	char *key;
	char *value; /* NULL: the key was dropped */
	size_t length;
} kept_t;

struct mmx_store_tail_t {
	GQueue records; /* of kept_t, oldest first */
	size_t bytes;
	uint64_t first; /* all records from here on are kept */
	uint64_t next;
};

/* --- tail -------------------------------------------------------------- */

static size_t size_(const kept_t *kept)
{
	return strlen(kept->key) + kept->length;
}

static void free_kept_(gpointer data)
{
	kept_t *kept = data;

	g_free(kept->key);
	g_free(kept->value);
	g_free(kept);
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
	g_queue_clear_full(&tail->records, free_kept_);
	g_free(tail);
}

void mmx_store_tail_reset(mmx_store_tail_t *tail, uint64_t next)
{
	g_queue_clear_full(&tail->records, free_kept_);
	tail->bytes = 0;
	tail->first = next;
	tail->next = next;
}

static void drop_oldest_(mmx_store_tail_t *tail)
{
	kept_t *oldest = g_queue_pop_head(&tail->records);

	tail->bytes -= size_(oldest);
	tail->first = oldest->offset + 1;
	free_kept_(oldest);
}

void mmx_store_tail_add(mmx_store_tail_t *tail,
			const mmx_store_record_t *record)
{
	kept_t *kept;

	if (record->offset < tail->next)
		return;
	kept = g_new0(kept_t, 1);
	kept->offset = record->offset;
	kept->key = g_strdup(record->key);
	if (record->value) {
		kept->value = g_memdup2(record->value, record->length);
		kept->length = record->length;
	}
	g_queue_push_tail(&tail->records, kept);
	tail->bytes += size_(kept);
	tail->next = record->offset + 1;
	while (tail->bytes > MMX_STORE_TAIL_BYTES_MAX)
		drop_oldest_(tail);
}

void mmx_store_tail_advance(mmx_store_tail_t *tail, uint64_t next)
{
	tail->next = MAX(tail->next, next);
}

uint64_t mmx_store_tail_next(const mmx_store_tail_t *tail)
{
	return tail->next;
}

/* --- codec ------------------------------------------------------------- */

/* Milliseconds on the wire; what is longer counts as very old. */
static uint32_t age_ms_(mmx_time_t age)
{
	return (uint32_t)MIN(MAX(age, 0) / MMX_US_PER_MS, UINT32_MAX);
}

static bool put_record_(XDR *xdr, kept_t *kept)
{
	u_int key_length = (u_int)strlen(kept->key);
	u_int length = (u_int)kept->length;
	bool_t has_value = kept->value != NULL;

	return xdr_uint64_t(xdr, &kept->offset) &&
	       xdr_bytes(xdr, &kept->key, &key_length, MMX_STORE_KEY_MAX) &&
	       xdr_bool(xdr, &has_value) &&
	       (!has_value || xdr_bytes(xdr, &kept->value, &length, length));
}

uint8_t *mmx_store_tail_encode(const mmx_store_tail_t *tail, uint64_t from,
			       mmx_time_t age, size_t *length)
{
	uint64_t next = tail->next;
	uint32_t ms = age_ms_(age);
	uint32_t count = 0;
	size_t size = NEWS_HEAD_BYTES;
	uint8_t *bytes;
	GList *item;
	bool done;
	XDR xdr;

	if (from < tail->first)
		return NULL;
	for (item = tail->records.tail; item; item = item->prev) {
		const kept_t *kept = item->data;

		if (kept->offset < from)
			break;
		count++;
		size += RECORD_HEAD_BYTES + RNDUP(strlen(kept->key)) +
			RNDUP(kept->length);
	}
	bytes = g_malloc(size);
	xdrmem_create(&xdr, (char *)bytes, (u_int)size, XDR_ENCODE);
	done = xdr_uint64_t(&xdr, &next) && xdr_uint32_t(&xdr, &ms) &&
	       xdr_uint32_t(&xdr, &count);
	for (item = tail->records.head; done && item; item = item->next)
		if (((kept_t *)item->data)->offset >= from)
			done = put_record_(&xdr, item->data);
	assert(done);
	(void)done;
	*length = xdr_getpos(&xdr);
	return bytes;
}

/* Takes bytes in place; xdr_bytes() would copy them. */
static bool get_bytes_(XDR *xdr, const uint8_t *data, size_t size,
		       const char **bytes, size_t *length)
{
	uint32_t count;
	size_t at;

	if (!xdr_uint32_t(xdr, &count))
		return false;
	at = xdr_getpos(xdr);
	if (count > size - at || RNDUP((size_t)count) > size - at)
		return false;
	*bytes = (const char *)data + at;
	*length = count;
	return xdr_setpos(xdr, (u_int)(at + RNDUP((size_t)count)));
}

static bool get_record_(XDR *xdr, const uint8_t *data, size_t size, char *key,
			mmx_store_record_t *record)
{
	const char *text;
	size_t length;
	bool_t has_value;

	if (!xdr_uint64_t(xdr, &record->offset) ||
	    !get_bytes_(xdr, data, size, &text, &length) || length == 0 ||
	    length > MMX_STORE_KEY_MAX || memchr(text, '\0', length) ||
	    !xdr_bool(xdr, &has_value))
		return false;
	memcpy(key, text, length);
	key[length] = '\0';
	record->key = key;
	return !has_value ||
	       get_bytes_(xdr, data, size, &record->value, &record->length);
}

static bool get_records_(XDR *xdr, const uint8_t *data, size_t size,
			 mmx_store_updates_t *news)
{
	uint64_t least = 0;
	size_t i;

	for (i = 0; i < news->count; i++) {
		mmx_store_record_t *record = &news->records[i];

		if (!get_record_(xdr, data, size, news->keys[i], record) ||
		    record->offset < least || record->offset >= news->next)
			return false;
		least = record->offset + 1;
	}
	return xdr_getpos(xdr) == size;
}

bool mmx_store_updates_decode(const uint8_t *bytes, size_t length,
			      mmx_store_updates_t *news)
{
	uint32_t count;
	uint32_t ms;
	XDR xdr;

	*news = (mmx_store_updates_t){0};
	if (length < NEWS_HEAD_BYTES || length > UINT32_MAX)
		return false;
	xdrmem_create(&xdr, (char *)bytes, (u_int)length, XDR_DECODE);
	if (!xdr_uint64_t(&xdr, &news->next) || !xdr_uint32_t(&xdr, &ms) ||
	    !xdr_uint32_t(&xdr, &count) || count > length / RECORD_MIN_BYTES)
		return false;
	news->age = (mmx_time_t)ms * MMX_US_PER_MS;
	news->count = count;
	news->records = g_new0(mmx_store_record_t, count + 1);
	news->keys = g_malloc0((count + 1) * sizeof(*news->keys));
	if (get_records_(&xdr, bytes, length, news))
		return true;
	mmx_store_updates_clear(news);
	return false;
}

void mmx_store_updates_clear(mmx_store_updates_t *news)
{
	g_free(news->records);
	g_free(news->keys);
	*news = (mmx_store_updates_t){0};
}

/* --- questions --------------------------------------------------------- */

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
	    !get_bytes_(&xdr, bytes, length, &text, &topic_length) ||
	    topic_length == 0 || topic_length > MMX_STORE_TOPIC_MAX ||
	    memchr(text, '\0', topic_length) || xdr_getpos(&xdr) != length)
		return false;
	memcpy(topic, text, topic_length);
	topic[topic_length] = '\0';
	return true;
}
