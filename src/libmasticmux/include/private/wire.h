/*
 * XDR forms of the messages that travel between nodes.
 *
 * Arguments and results have one layout: the length of the body, the fields
 * of the message, the body, padding. The length comes first so that a receiver
 * makes only the fields contiguous and moves the body without a copy.
 *
 * Every string, list and body is bounded, and a length is checked against the
 * bytes present before it is used. A message is decoded whole or refused.
 */
#ifndef MASTICMUX_PRIVATE_WIRE_H
#define MASTICMUX_PRIVATE_WIRE_H

#include "masticmux/error.h"
#include "private/messages.h"
#include "private/session.h"

/* Longest method and header name, bytes. */
#define MMX_WIRE_METHOD_MAX 32
#define MMX_WIRE_HEADER_NAME_MAX 256
/* Longest URI, bytes: it shares the limit on the head as a whole. */
#define MMX_WIRE_URI_MAX MMX_HEAD_BYTES_MAX
/* Fields of any message with its body length, bytes: URI and headers at their
 * limits, lengths and padding of 100 headers, and the fixed fields. */
#define MMX_WIRE_FIELDS_MAX (40 * 1024)
/* Body bytes of one record. Longer bodies are sent in parts. */
#define MMX_WIRE_BODY_MAX (256 * 1024)
/* Opaque bytes of a generic call or its answer. */
#define MMX_WIRE_BYTES_MAX (MMX_RPC_RECORD_MAX - 1024)
/* Longest duration, microseconds. */
#define MMX_WIRE_DURATION_MAX (24 * 3600 * MMX_US_PER_S)

/* True for the kinds that travel between nodes. */
bool mmx_wire_has_form(mmx_message_kind_t kind);

/*
 * Encodes the body length and the fields of a message. The body itself is
 * what mmx_wire_body() returns; the caller sends it after the fields, padded
 * with mmx_wire_pad().
 *
 * fields holds MMX_WIRE_FIELDS_MAX bytes. Returns the bytes used, or 0 with
 * the reason when the message exceeds a limit.
 */
size_t mmx_wire_encode(mmx_message_t *message, uint8_t *fields,
		       mmx_error_t *error);

/* Body of a message; NULL for a kind without one. */
struct evbuffer *mmx_wire_body(mmx_message_t *message);

/* Appends zero bytes up to a multiple of 4. */
void mmx_wire_pad(struct evbuffer *body);

/*
 * Decodes arguments or results. The body is moved out of args, which is empty
 * afterwards. Members that do not travel are zero.
 */
mmx_message_t *mmx_wire_decode(mmx_message_kind_t kind, struct evbuffer *args,
			       mmx_error_t *error);

/* HELLO, same layout without a body. Returns the bytes used. */
size_t mmx_wire_encode_hello(const mmx_hello_t *hello, uint8_t *fields);
bool mmx_wire_decode_hello(struct evbuffer *args, mmx_hello_t *hello,
			   mmx_error_t *error);

/* A record without fields, only with opaque bytes: the body length. */
size_t mmx_wire_encode_bytes(size_t length, uint8_t *fields);

/* Leaves exactly the opaque bytes in args. */
bool mmx_wire_decode_bytes(struct evbuffer *args, mmx_error_t *error);

#endif
