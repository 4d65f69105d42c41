/*
 * One connection of a caller to http_entry: reads its requests one after the
 * other and writes the answers in that order. Internal to http_entry.
 */
#ifndef MASTICMUX_PRIVATE_HTTP_CALLER_H
#define MASTICMUX_PRIVATE_HTTP_CALLER_H

#include <glib.h>

#include "private/http_entry.h"

typedef struct mmx_http_caller_t mmx_http_caller_t;

typedef LIST_HEAD(mmx_http_caller_list_t,
		  mmx_http_caller_t) mmx_http_caller_list_t;

typedef enum mmx_http_close_t {
	MMX_HTTP_CLOSE_IDLE,
	MMX_HTTP_CLOSE_SLOW_HEAD,
	MMX_HTTP_CLOSE_SLOW_BODY,
	MMX_HTTP_CLOSE_SLOW_READER,
	MMX_HTTP_CLOSE_LIMIT,
	MMX_HTTP_CLOSE_BROKEN_ANSWER,
	MMX_HTTP_CLOSE_COUNT
} mmx_http_close_t;

extern const char *const mmx_http_close_string[MMX_HTTP_CLOSE_COUNT];

/* What the connections of one http_entry share. */
typedef struct mmx_http_shared_t {
	struct event_base *base;
	mmx_clock_t *clock;
	mmx_task_t *entry;
	GHashTable *requests; /* request number -> mmx_http_caller_t */
	uint64_t last_request;
	mmx_http_caller_list_t callers;
	size_t caller_count;
	mmx_http_entry_timeouts_t timeouts;
	bool draining;
	bool closes_idle;  /* a connection that becomes idle is closed */
	size_t hold_bytes; /* bodies up to this size are held until whole */
	uint32_t head_bytes_max; /* 0: the limit of the reader only */
	uint64_t body_bytes_max; /* 0: none */
	mmx_counter_t *connections;
	mmx_counter_t *request_total;
	mmx_counter_t *stale_messages;
	mmx_counter_t *refused[MMX_REASON_COUNT];
	mmx_counter_t *closed[MMX_HTTP_CLOSE_COUNT];
} mmx_http_shared_t;

/* Takes over an accepted socket. */
void mmx_http_caller_open(mmx_http_shared_t *shared, int fd);

/* Closes a connection and reports a request in progress as gone. */
void mmx_http_caller_close(mmx_http_caller_t *caller);

/* Closes the connection if no request is in progress on it. */
void mmx_http_caller_drain(mmx_http_caller_t *caller);

/* Messages of the entry for the request in progress; contents are taken. */
void mmx_http_caller_answer(mmx_http_caller_t *caller, mmx_answer_t *answer);
void mmx_http_caller_body(mmx_http_caller_t *caller, mmx_body_t *body);
void mmx_http_caller_window(mmx_http_caller_t *caller, uint32_t credit);

/* Next connection in the list of the owner. */
mmx_http_caller_t *mmx_http_caller_next(const mmx_http_caller_t *caller);

#endif
