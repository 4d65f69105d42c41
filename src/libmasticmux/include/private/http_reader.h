/*
 * Reads HTTP/1.x messages from an evbuffer: one head, then the parts of its
 * body, then the end. Used for the requests of callers and for the responses
 * of targets.
 *
 * The head is parsed by libevhtp's parser, which is given whole heads only:
 * in version 1.2.18 it loses bytes when a line is split over two calls.
 * Framing is decided here, strictly, so that both sides of the proxy agree on
 * where a message ends.
 *
 * Usage: init, then mmx_http_reader_run() until it returns END or FAILED,
 * mmx_http_reader_reset() for the next message, finish.
 */
#ifndef MASTICMUX_PRIVATE_HTTP_READER_H
#define MASTICMUX_PRIVATE_HTTP_READER_H

#include <stdint.h>

#include "private/head.h"

struct evbuffer;

/* Longest request or status line, bytes; also the limit of the parser. */
#define MMX_HTTP_LINE_MAX (8 * 1024)
/* Longest head with its first line, bytes. */
#define MMX_HTTP_HEAD_MAX (MMX_HTTP_LINE_MAX + MMX_HEAD_BYTES_MAX)

typedef enum mmx_http_kind_t {
	MMX_HTTP_REQUEST,
	MMX_HTTP_RESPONSE,
	MMX_HTTP_KIND_COUNT
} mmx_http_kind_t;

extern const char *const mmx_http_kind_string[MMX_HTTP_KIND_COUNT];

typedef enum mmx_http_event_t {
	MMX_HTTP_MORE,	 /* needs more input */
	MMX_HTTP_HEAD,	 /* the head is complete */
	MMX_HTTP_DATA,	 /* some input was used; call again */
	MMX_HTTP_END,	 /* the message is complete */
	MMX_HTTP_FAILED, /* see fault */
	MMX_HTTP_EVENT_COUNT
} mmx_http_event_t;

extern const char *const mmx_http_event_string[MMX_HTTP_EVENT_COUNT];

typedef enum mmx_http_fault_t {
	MMX_HTTP_FAULT_NONE,
	MMX_HTTP_FAULT_LINE,	 /* request or status line */
	MMX_HTTP_FAULT_VERSION,	 /* not HTTP/1.0 or HTTP/1.1 */
	MMX_HTTP_FAULT_HEADER,	 /* name, value or line end */
	MMX_HTTP_FAULT_HOST,	 /* missing, repeated or malformed */
	MMX_HTTP_FAULT_LENGTH,	 /* Content-Length */
	MMX_HTTP_FAULT_ENCODING, /* Transfer-Encoding, or both */
	MMX_HTTP_FAULT_CHUNK,	 /* chunk size, chunk end or trailer */
	MMX_HTTP_FAULT_LINE_TOO_LONG,
	MMX_HTTP_FAULT_HEAD_TOO_LARGE,
	MMX_HTTP_FAULT_TRUNCATED, /* the input ended within the message */
	MMX_HTTP_FAULT_COUNT
} mmx_http_fault_t;

extern const char *const mmx_http_fault_string[MMX_HTTP_FAULT_COUNT];

typedef enum mmx_http_framing_t {
	MMX_HTTP_NO_BODY,
	MMX_HTTP_LENGTH,
	MMX_HTTP_CHUNKED,
	MMX_HTTP_UNTIL_CLOSE, /* responses only */
	MMX_HTTP_FRAMING_COUNT
} mmx_http_framing_t;

extern const char *const mmx_http_framing_string[MMX_HTTP_FRAMING_COUNT];

/* Members may be read by the owner; valid from HEAD to the next reset. */
typedef struct mmx_http_reader_t {
	mmx_http_kind_t kind;
	bool without_body; /* set by the owner: response to HEAD */
	mmx_head_t *head;  /* the owner may take it and leave NULL */
	int minor;	   /* of the version: 0 or 1 */
	bool keep_alive;
	mmx_http_framing_t framing;
	uint64_t length; /* of the body, if framing is LENGTH */
	mmx_http_fault_t fault;
	/* internal */
	int state;
	size_t scanned;
	uint64_t remaining;
	size_t trailer_bytes;
	size_t skipped; /* blank lines and interim responses, bytes */
} mmx_http_reader_t;

void mmx_http_reader_init(mmx_http_reader_t *reader, mmx_http_kind_t kind);
void mmx_http_reader_finish(mmx_http_reader_t *reader);

/* Prepares for the next message; keeps the kind. */
void mmx_http_reader_reset(mmx_http_reader_t *reader);

/*
 * Takes the next step of a message. DATA moves body bytes from input to body;
 * the caller stops calling when it can take no more. After END nothing of the
 * next message has been taken from the input.
 */
mmx_http_event_t mmx_http_reader_run(mmx_http_reader_t *reader,
				     struct evbuffer *input,
				     struct evbuffer *body);

/* The input has ended: END if that is how the message ends, else FAILED. */
mmx_http_event_t mmx_http_reader_eof(mmx_http_reader_t *reader);

/* True after END, until the reset. */
bool mmx_http_reader_is_done(const mmx_http_reader_t *reader);

/* True while no byte of the message was seen; blank lines do not count. */
bool mmx_http_reader_is_idle(const mmx_http_reader_t *reader,
			     const struct evbuffer *input);

/* True if a comma-separated list holds the token, compared without case. */
bool mmx_http_has_token(const char *list, const char *token);

/* True if the text is a token of RFC 9110, section 5.6.2. */
bool mmx_http_is_token(const char *text);

#endif
