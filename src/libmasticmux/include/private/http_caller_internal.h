/* Shared by http_caller.c, http_answer.c and http_ahead.c. */
#ifndef MASTICMUX_PRIVATE_HTTP_CALLER_INTERNAL_H
#define MASTICMUX_PRIVATE_HTTP_CALLER_INTERNAL_H

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "private/http_caller.h"
#include "private/http_reader.h"
#include "private/http_writer.h"

/* A request that was read before the answer to the one before it was written,
 * and what has come of its answer. */
typedef struct mmx_http_ahead_t {
	TAILQ_ENTRY(mmx_http_ahead_t) entry;
	uint64_t request;
	bool head_method;
	bool keep_alive;
	int minor;
	mmx_answer_t *answer;  /* NULL: not yet */
	struct evbuffer *body; /* parts after the answer's own */
	bool end;
} mmx_http_ahead_t;

typedef TAILQ_HEAD(mmx_http_ahead_list_t,
		   mmx_http_ahead_t) mmx_http_ahead_list_t;

/* What a connection is waiting for; decides its timeout. */
typedef enum mmx_http_wait_t {
	WAIT_NONE, /* for the entry, which keeps the deadline */
	WAIT_IDLE,
	WAIT_HEAD,
	WAIT_BODY,
	WAIT_WRITE,
	WAIT_LINGER,
} mmx_http_wait_t;

struct mmx_http_caller_t {
	LIST_ENTRY(mmx_http_caller_t) entry;
	mmx_http_shared_t *shared;
	struct bufferevent *bev;
	bool stopped; /* reading is disabled */
	mmx_http_reader_t reader;
	mmx_timer_t timer;
	mmx_http_wait_t wait;
	mmx_time_t deadline;
	/* the request in progress */
	uint64_t request; /* 0: none */
	bool posted;	  /* the entry knows the request */
	bool ended;	  /* the entry has got all of it */
	bool whole;	  /* its body has been read to the end */
	bool head_method;
	bool safe; /* without a body and repeatable: the next may be read */
	int minor; /* of its version */
	struct evbuffer *received; /* body bytes the entry has not got yet */
	size_t credit;		   /* body bytes that the entry can take */
	/* its answer */
	bool answered;
	bool close_after;
	bool closing; /* nothing more is read or written but the output */
	mmx_http_writer_t writer;
	/* requests behind it */
	mmx_http_ahead_list_t ahead;
	size_t ahead_count;
	bool ahead_stopped; /* what comes next waits for its turn */
	bool ahead_headed;  /* its head stands in the reader */
	bool ahead_failed;  /* the reader has found a fault */
};

/* --- http_caller.c ------------------------------------------------------ */

/* The head in the reader is above the limit of the configuration. */
bool mmx_http_caller_has_large_head(const mmx_http_caller_t *caller);

/* --- http_answer.c ------------------------------------------------------ */

/* Status line and headers; decides the framing of the body. */
void mmx_http_answer_write_head(mmx_http_caller_t *caller,
				mmx_answer_t *answer);
void mmx_http_answer_write_refusal(mmx_http_caller_t *caller, int status,
				   mmx_outcome_t outcome, mmx_reason_t reason);

/* --- http_ahead.c ------------------------------------------------------- */

/* Reads and posts requests behind the one in progress, as far as allowed. */
void mmx_http_ahead_read(mmx_http_caller_t *caller);

/* The request behind, by its number; NULL: none. */
mmx_http_ahead_t *mmx_http_ahead_find(mmx_http_caller_t *caller,
				      uint64_t request);

/* Keeps an answer, or a part of it, until its turn. One that breaks off before
 * that becomes an error. */
void mmx_http_ahead_answer(mmx_http_ahead_t *ahead, mmx_answer_t *answer);
void mmx_http_ahead_body(mmx_http_ahead_t *ahead, mmx_body_t *body);

/* Takes the first one off the list; NULL: none. */
mmx_http_ahead_t *mmx_http_ahead_take(mmx_http_caller_t *caller);
void mmx_http_ahead_free(mmx_http_ahead_t *ahead);

/* The entry is told that nobody waits for them. */
void mmx_http_ahead_abandon(mmx_http_caller_t *caller);

#endif
