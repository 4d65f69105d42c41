/* Strict parsing of the heads of HTTP/1.x messages. */
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

/* Content-Length of a head; false when absent or not a number. */
bool mmx_http_content_length(const mmx_head_t *head, uint64_t *length);

/* True if a response with this status has no body. */
bool mmx_http_status_without_body(int status);

#endif
