#include "standin/log_store.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#define READ_BYTES_MAX (4 * 1024 * 1024)

const char *const log_append_string[LOG_APPEND_COUNT] = {
	"ok",
	"more appends per second than allowed",
	"the log is full",
	"a record is 1 to 1048576 bytes of UTF-8 without zero bytes",
};

typedef struct record_t {
	uint64_t offset;
	mmx_time_t time;
	size_t length;
	char data[];
} record_t;

typedef struct stream_t {
	uint64_t next;
	GPtrArray *records;
	guint head; /* index of the oldest record still retained */
} stream_t;

struct log_store_t {
	mmx_clock_t *clock;
	log_store_limits_t limits;
	GHashTable *streams;
	uint64_t records;
	uint64_t bytes;
	uint64_t expired;
	double tokens;
	mmx_time_t refilled;
};

static void destroy_stream_(gpointer data)
{
	stream_t *stream = data;
	guint i;

	for (i = stream->head; i < stream->records->len; i++)
		g_free(stream->records->pdata[i]);
	g_ptr_array_free(stream->records, TRUE);
	g_free(stream);
}

log_store_t *log_store_create(mmx_clock_t *clock,
			      const log_store_limits_t *limits)
{
	log_store_t *store = g_new0(log_store_t, 1);

	assert(limits->appends_per_s > 0);
	store->clock = clock;
	store->limits = *limits;
	store->streams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       destroy_stream_);
	store->tokens = limits->appends_per_s;
	store->refilled = mmx_clock_now(clock);
	return store;
}

void log_store_destroy(log_store_t *store)
{
	if (!store)
		return;
	g_hash_table_destroy(store->streams);
	g_free(store);
}

static void expire_(log_store_t *store, stream_t *stream)
{
	mmx_time_t limit =
		mmx_clock_now(store->clock) - store->limits.retention;
	GPtrArray *records = stream->records;

	while (stream->head < records->len) {
		record_t *record = records->pdata[stream->head];

		if (record->time > limit)
			break;
		store->records--;
		store->bytes -= record->length;
		store->expired++;
		g_free(record);
		stream->head++;
	}
	if (stream->head > 0 && stream->head * 2 >= records->len) {
		g_ptr_array_remove_range(records, 0, stream->head);
		stream->head = 0;
	}
}

static void expire_all_(log_store_t *store)
{
	GHashTableIter iter;
	gpointer stream;

	g_hash_table_iter_init(&iter, store->streams);
	while (g_hash_table_iter_next(&iter, NULL, &stream))
		expire_(store, stream);
}

static bool take_token_(log_store_t *store)
{
	mmx_time_t now = mmx_clock_now(store->clock);
	double rate = store->limits.appends_per_s;

	store->tokens +=
		rate * (double)(now - store->refilled) / (double)MMX_US_PER_S;
	if (store->tokens > rate)
		store->tokens = rate;
	store->refilled = now;
	if (store->tokens < 1)
		return false;
	store->tokens -= 1;
	return true;
}

static stream_t *open_stream_(log_store_t *store, const char *name)
{
	stream_t *stream = g_hash_table_lookup(store->streams, name);

	if (stream)
		return stream;
	if (g_hash_table_size(store->streams) >= LOG_STORE_STREAMS_MAX)
		return NULL;
	stream = g_new0(stream_t, 1);
	stream->next = 1;
	stream->records = g_ptr_array_new();
	g_hash_table_insert(store->streams, g_strdup(name), stream);
	return stream;
}

log_append_t log_store_append(log_store_t *store, const char *name,
			      const char *data, size_t length, uint64_t *offset)
{
	stream_t *stream;
	record_t *record;

	if (length == 0 || length > LOG_STORE_RECORD_MAX ||
	    !g_utf8_validate(data, (gssize)length, NULL))
		return LOG_APPEND_INVALID;
	if (!take_token_(store))
		return LOG_APPEND_RATE;
	if (store->bytes + length > store->limits.max_bytes)
		expire_all_(store);
	if (store->bytes + length > store->limits.max_bytes)
		return LOG_APPEND_FULL;
	stream = open_stream_(store, name);
	if (!stream)
		return LOG_APPEND_FULL;
	expire_(store, stream);
	record = g_malloc(sizeof(*record) + length);
	record->offset = stream->next++;
	record->time = mmx_clock_now(store->clock);
	record->length = length;
	memcpy(record->data, data, length);
	g_ptr_array_add(stream->records, record);
	store->records++;
	store->bytes += length;
	*offset = record->offset;
	return LOG_APPEND_OK;
}

uint64_t log_store_next(log_store_t *store, const char *name)
{
	const stream_t *stream = g_hash_table_lookup(store->streams, name);

	return stream ? stream->next : 1;
}

json_t *log_store_read(log_store_t *store, const char *name, uint64_t from,
		       unsigned int max)
{
	stream_t *stream = g_hash_table_lookup(store->streams, name);
	json_t *records = json_array();
	uint64_t first = 1;
	size_t bytes = 0;
	guint i;

	if (stream) {
		expire_(store, stream);
		first = stream->next - (stream->records->len - stream->head);
		i = stream->head + (from > first ? (guint)(from - first) : 0);
		if (from >= stream->next)
			i = stream->records->len;
		for (; i < stream->records->len && max > 0 &&
		       bytes < READ_BYTES_MAX;
		     i++, max--) {
			record_t *record = stream->records->pdata[i];
			json_t *data =
				json_stringn(record->data, record->length);

			json_array_append_new(
				records, json_pack("{s:I,s:o}", "offset",
						   (json_int_t)record->offset,
						   "data", data));
			bytes += record->length;
		}
	}
	return json_pack("{s:I,s:I,s:o}", "first", (json_int_t)first, "next",
			 (json_int_t)(stream ? stream->next : 1), "records",
			 records);
}

json_t *log_store_totals(log_store_t *store)
{
	expire_all_(store);
	return json_pack("{s:I,s:I,s:I,s:I}", "streams",
			 (json_int_t)g_hash_table_size(store->streams),
			 "records", (json_int_t)store->records, "record_bytes",
			 (json_int_t)store->bytes, "expired_records",
			 (json_int_t)store->expired);
}
