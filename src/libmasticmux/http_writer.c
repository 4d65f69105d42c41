#include "private/http_writer.h"

#include <event2/buffer.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Smallest credit worth a message while a body flows, bytes. */
#define CREDIT_STEP (32 * 1024)

typedef struct phrase_t {
	int status;
	const char *text;
} phrase_t;

static const phrase_t phrases_[] = {
	{200, "OK"},
	{201, "Created"},
	{202, "Accepted"},
	{204, "No Content"},
	{206, "Partial Content"},
	{301, "Moved Permanently"},
	{302, "Found"},
	{303, "See Other"},
	{304, "Not Modified"},
	{307, "Temporary Redirect"},
	{308, "Permanent Redirect"},
	{400, "Bad Request"},
	{401, "Unauthorized"},
	{403, "Forbidden"},
	{404, "Not Found"},
	{405, "Method Not Allowed"},
	{408, "Request Timeout"},
	{409, "Conflict"},
	{410, "Gone"},
	{413, "Content Too Large"},
	{414, "URI Too Long"},
	{417, "Expectation Failed"},
	{422, "Unprocessable Content"},
	{429, "Too Many Requests"},
	{431, "Request Header Fields Too Large"},
	{500, "Internal Server Error"},
	{502, "Bad Gateway"},
	{503, "Service Unavailable"},
	{504, "Gateway Timeout"},
};

static int compare_phrases_(const void *a, const void *b)
{
	return ((const phrase_t *)a)->status - ((const phrase_t *)b)->status;
}

void mmx_http_write_status_line(struct evbuffer *out, int status)
{
	phrase_t key = {.status = status};
	const phrase_t *phrase = bsearch(&key, phrases_, G_N_ELEMENTS(phrases_),
					 sizeof(phrases_[0]), compare_phrases_);

	evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", status,
			    phrase ? phrase->text : "");
}

void mmx_http_write_header(struct evbuffer *out, const char *name,
			   const char *value)
{
	evbuffer_add(out, name, strlen(name));
	evbuffer_add(out, ": ", 2);
	evbuffer_add(out, value, strlen(value));
	evbuffer_add(out, "\r\n", 2);
}

void mmx_http_write_headers(struct evbuffer *out, const mmx_head_t *head)
{
	const mmx_header_t *header;

	STAILQ_FOREACH (header, &head->headers, entry)
		if (strcasecmp(header->name, "Content-Length") != 0)
			mmx_http_write_header(out, header->name, header->value);
}

static void write_chunk_(struct evbuffer *out, struct evbuffer *data)
{
	if (evbuffer_get_length(data) == 0)
		return;
	evbuffer_add_printf(out, "%zx\r\n", evbuffer_get_length(data));
	evbuffer_add_buffer(out, data);
	evbuffer_add(out, "\r\n", 2);
}

void mmx_http_writer_init(mmx_http_writer_t *writer, mmx_http_framing_t framing,
			  uint64_t length)
{
	*writer = (mmx_http_writer_t){.framing = framing, .remaining = length};
}

bool mmx_http_writer_add(mmx_http_writer_t *writer, struct evbuffer *data,
			 bool end, struct evbuffer *out)
{
	size_t length = evbuffer_get_length(data);

	if (writer->framing == MMX_HTTP_LENGTH) {
		if (length > writer->remaining ||
		    (end && length < writer->remaining))
			return false;
		writer->remaining -= length;
	}
	writer->uncredited += length;
	if (writer->framing == MMX_HTTP_NO_BODY)
		evbuffer_drain(data, length);
	else if (writer->framing == MMX_HTTP_CHUNKED)
		write_chunk_(out, data);
	else
		evbuffer_add_buffer(out, data);
	if (end && writer->framing == MMX_HTTP_CHUNKED)
		evbuffer_add(out, "0\r\n\r\n", 5);
	return true;
}

uint32_t mmx_http_writer_take_credit(mmx_http_writer_t *writer,
				     const struct evbuffer *out)
{
	size_t waiting = evbuffer_get_length(out);
	size_t credit;

	if (writer->uncredited <= waiting)
		return 0;
	credit = writer->uncredited - waiting;
	if (credit < CREDIT_STEP && waiting > 0)
		return 0;
	writer->uncredited -= credit;
	return (uint32_t)credit;
}
