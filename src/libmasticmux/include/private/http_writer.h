/*
 * Writes HTTP/1.x messages to an evbuffer: lines of the head, then the body in
 * one of the framings, with the credit for what has left the buffer.
 */
#ifndef MASTICMUX_PRIVATE_HTTP_WRITER_H
#define MASTICMUX_PRIVATE_HTTP_WRITER_H

#include "private/http_reader.h"

/* Appends "HTTP/1.1 STATUS PHRASE" and the line end. */
void mmx_http_write_status_line(struct evbuffer *out, int status);

/* Appends one header line. */
void mmx_http_write_header(struct evbuffer *out, const char *name,
			   const char *value);

/* Appends the headers of a head, without Content-Length. */
void mmx_http_write_headers(struct evbuffer *out, const mmx_head_t *head);

/* The body of one message. */
typedef struct mmx_http_writer_t {
	mmx_http_framing_t framing;
	uint64_t remaining; /* bytes, if framed by length */
	size_t uncredited;  /* bytes taken and not yet granted again */
} mmx_http_writer_t;

/* length matters only for LENGTH. */
void mmx_http_writer_init(mmx_http_writer_t *writer, mmx_http_framing_t framing,
			  uint64_t length);

/*
 * Moves a part of the body from data to out. Returns false, with nothing
 * written, when the body is longer or shorter than its announced length.
 */
bool mmx_http_writer_add(mmx_http_writer_t *writer, struct evbuffer *data,
			 bool end, struct evbuffer *out);

/* Bytes that may be granted to the sender since out has drained; 0: none. */
uint32_t mmx_http_writer_take_credit(mmx_http_writer_t *writer,
				     const struct evbuffer *out);

#endif
