/* Heads of HTTP/1.x messages: strict parsing and writing. */
#ifndef MASTICMUX_PRIVATE_HTTP_HEAD_H
#define MASTICMUX_PRIVATE_HTTP_HEAD_H

#include "private/http_reader.h"

/*
 * Parses a whole head, from its first line to the blank line, into
 * reader->head and decides the framing. On a fault returns false and sets
 * reader->fault.
 */
bool mmx_http_head_parse(mmx_http_reader_t *reader, const char *data,
			 size_t length);

/* Appends "HTTP/1.1 STATUS PHRASE" and the line end. */
void mmx_http_write_status_line(struct evbuffer *out, int status);

/* Appends one header line. */
void mmx_http_write_header(struct evbuffer *out, const char *name,
			   const char *value);

/* Appends the headers of a head, without Content-Length. */
void mmx_http_write_headers(struct evbuffer *out, const mmx_head_t *head);

/* Moves data to out as one chunk; empty data is allowed and writes nothing. */
void mmx_http_write_chunk(struct evbuffer *out, struct evbuffer *data);

/* Appends the last chunk. */
void mmx_http_write_last_chunk(struct evbuffer *out);

/* Content-Length of a head; false when absent or not a number. */
bool mmx_http_content_length(const mmx_head_t *head, uint64_t *length);

/* True if a response with this status has no body. */
bool mmx_http_status_without_body(int status);

#endif
