#include "masticmux/config_wire.h"

#include <assert.h>
#include <glib.h>

#define AGE_UNKNOWN_MS UINT32_MAX
/* Progress, first offset, number of records. */
#define HEADER_BYTES (MMX_CONFIG_PROGRESS_BYTES + 8 + 4)

static bool xdr_age_(XDR *xdr, mmx_time_t *age)
{
	uint32_t ms = AGE_UNKNOWN_MS;

	if (*age >= 0 && *age / MMX_US_PER_MS < AGE_UNKNOWN_MS)
		ms = (uint32_t)(*age / MMX_US_PER_MS);
	if (!xdr_uint32_t(xdr, &ms))
		return false;
	*age = ms == AGE_UNKNOWN_MS ? MMX_TIME_NEVER : ms * MMX_US_PER_MS;
	return true;
}

bool mmx_config_wire_progress(XDR *xdr, mmx_config_progress_t *progress)
{
	return xdr_uint64_t(xdr, &progress->applied) &&
	       progress->applied <= MMX_REVISION_MAX &&
	       xdr_age_(xdr, &progress->confirmed_age) &&
	       xdr_age_(xdr, &progress->reader_age);
}

uint8_t *mmx_config_wire_encode_records(const mmx_config_records_t *records,
					size_t *length)
{
	mmx_config_progress_t progress = records->progress;
	uint64_t first = records->first;
	uint32_t count = (uint32_t)records->count;
	size_t size = HEADER_BYTES;
	uint8_t *data;
	bool done;
	size_t i;
	XDR xdr;

	for (i = 0; i < records->count; i++)
		size += 4 + RNDUP(records->records[i].length);
	data = g_malloc(size);
	xdrmem_create(&xdr, (char *)data, (u_int)size, XDR_ENCODE);
	done = mmx_config_wire_progress(&xdr, &progress) &&
	       xdr_uint64_t(&xdr, &first) && xdr_uint32_t(&xdr, &count);
	for (i = 0; done && i < records->count; i++) {
		char *text = (char *)records->records[i].data;
		u_int bytes = (u_int)records->records[i].length;

		done = xdr_bytes(&xdr, &text, &bytes, bytes);
	}
	assert(done);
	(void)done;
	*length = xdr_getpos(&xdr);
	return data;
}

/* Decodes a record without copying its data, as xdr_bytes() would. */
static bool decode_record_(XDR *xdr, const uint8_t *data, size_t length,
			   mmx_log_record_t *record)
{
	uint32_t bytes;
	size_t position;

	if (!xdr_uint32_t(xdr, &bytes))
		return false;
	position = xdr_getpos(xdr);
	if (bytes > length - position || RNDUP(bytes) > length - position)
		return false;
	record->data = (const char *)data + position;
	record->length = bytes;
	return xdr_setpos(xdr, (u_int)(position + RNDUP(bytes)));
}

static bool decode_list_(XDR *xdr, const uint8_t *data, size_t length,
			 mmx_config_records_t *records, mmx_log_record_t *list)
{
	size_t i;

	for (i = 0; i < records->count; i++) {
		if (!decode_record_(xdr, data, length, &list[i]))
			return false;
		list[i].offset = records->first + i;
	}
	return xdr_getpos(xdr) == length;
}

bool mmx_config_wire_decode_records(const uint8_t *data, size_t length,
				    mmx_config_records_t *records,
				    mmx_log_record_t **list)
{
	uint32_t count;
	XDR xdr;

	*list = NULL;
	*records = (mmx_config_records_t){0};
	if (length < HEADER_BYTES || length > MMX_CONFIG_PULL_RESPONSE_MAX)
		return false;
	xdrmem_create(&xdr, (char *)data, (u_int)length, XDR_DECODE);
	if (!mmx_config_wire_progress(&xdr, &records->progress) ||
	    !xdr_uint64_t(&xdr, &records->first) ||
	    records->first > MMX_REVISION_MAX || !xdr_uint32_t(&xdr, &count) ||
	    count > MMX_CONFIG_PULL_RECORDS || count > length / 4)
		return false;
	records->count = count;
	*list = g_new0(mmx_log_record_t, count + 1);
	records->records = *list;
	if (decode_list_(&xdr, data, length, records, *list))
		return true;
	g_free(*list);
	*list = NULL;
	return false;
}
