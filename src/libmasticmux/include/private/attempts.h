/*
 * What an exit remembers about attempts, so that none runs twice and a fencing
 * query gets a true answer. Does no I/O.
 *
 * A record exists from the first EXECUTE or FENCE until it is forgotten. Of an
 * entry's forgotten attempts only the highest sequence is kept (watermark):
 * at or below it, an unknown attempt may have run. A process that restarts
 * forgets everything, which the incarnation in each attempt makes visible.
 */
#ifndef MASTICMUX_PRIVATE_ATTEMPTS_H
#define MASTICMUX_PRIVATE_ATTEMPTS_H

#include "masticmux/detection.h"
#include "private/guards.h"
#include "private/limits.h"
#include "private/messages.h"

typedef enum mmx_attempt_state_t {
	MMX_ATTEMPT_QUEUED,
	MMX_ATTEMPT_RUNNING,
	MMX_ATTEMPT_FINISHED,
	MMX_ATTEMPT_REFUSED, /* never started and never will */
	MMX_ATTEMPT_STATE_COUNT
} mmx_attempt_state_t;

extern const char *const mmx_attempt_state_string[MMX_ATTEMPT_STATE_COUNT];

struct mmx_exit_target_t;

typedef struct mmx_attempt_t {
	TAILQ_ENTRY(mmx_attempt_t) queue_entry;	 /* while queued */
	TAILQ_ENTRY(mmx_attempt_t) expiry_entry; /* while ended */
	mmx_attempt_id_t id;
	mmx_attempt_state_t state;
	struct mmx_exit_target_t *target; /* while queued or running */
	mmx_execute_t *execute;		  /* while queued or running */
	mmx_origin_t origin;
	struct mmx_span_t *span; /* NULL: not sampled, also the next */
	struct mmx_span_t *call_span;
	mmx_time_t arrived;
	mmx_time_t soft_deadline; /* order in the queue of its target */
	mmx_time_t started;
	mmx_time_t deadline;
	mmx_time_t expire_at;	  /* while ended */
	mmx_limits_share_t share; /* of its account */
	bool under_floor;	  /* when it arrived */
	bool waited;		  /* could not start when it arrived */
	bool repeatable;
	bool keyed;		  /* kept for the lifetime of its claim */
	bool abandoned;		  /* nobody waits for the response */
	bool fence_reply_pending; /* a fencing query waits for the whole response */
	bool head_received;	  /* the target's head has arrived */
	bool completed;		  /* the whole response has arrived */
	mmx_detection_request_t detection; /* while judged */
	bool detection_active;		   /* counts as work in progress */
	bool trial;
	bool overdue_reported; /* reported as such */
	bool offered;	       /* the target has got the request */
	char *request_id;      /* of the caller; NULL: none */
	bool server_error;     /* the status says so */
	size_t response_bytes; /* bytes of the response so far */
	TAILQ_ENTRY(mmx_attempt_t)
	response_entry; /* while answer_body is set */
	mmx_head_t *response_head;
	struct evbuffer *response_body; /* NULL when not kept */
} mmx_attempt_t;

typedef TAILQ_HEAD(mmx_attempt_list_t, mmx_attempt_t) mmx_attempt_list_t;

typedef enum mmx_attempt_lookup_t {
	MMX_ATTEMPT_NEW,       /* never seen; may start */
	MMX_ATTEMPT_KNOWN,     /* a record exists */
	MMX_ATTEMPT_FORGOTTEN, /* at or below the watermark: may have run */
	MMX_ATTEMPT_STALE,     /* from an earlier incarnation of the entry */
	MMX_ATTEMPT_LOOKUP_COUNT
} mmx_attempt_lookup_t;

extern const char *const mmx_attempt_lookup_string[MMX_ATTEMPT_LOOKUP_COUNT];

typedef struct mmx_attempts_t mmx_attempts_t;

/* record_max: bound on ended records; the oldest are forgotten first. */
mmx_attempts_t *mmx_attempts_create(mmx_clock_t *clock, size_t record_max,
				    size_t answer_bytes_max);
void mmx_attempts_destroy(mmx_attempts_t *attempts);

/* For tests only: without the watermark rule what is forgotten counts as new. */
void mmx_attempts_set_guards(mmx_attempts_t *attempts,
			     const mmx_guards_t *guards);

/* Looks an attempt up and notes the entry's incarnation. */
mmx_attempt_lookup_t mmx_attempts_find(mmx_attempts_t *attempts,
				       const mmx_attempt_id_t *id,
				       mmx_attempt_t **found);

/* Adds a record in state queued; asserts that there is none. */
mmx_attempt_t *mmx_attempts_add(mmx_attempts_t *attempts,
				const mmx_attempt_id_t *id);

/*
 * Moves a record to finished or refused. It is kept until its deadline plus
 * 30 s, or until record_max is reached. A repeatable one is dropped at once:
 * running it again does no harm.
 */
void mmx_attempts_end(mmx_attempts_t *attempts, mmx_attempt_t *attempt,
		      mmx_attempt_state_t state);

/* From now on the response of the attempt is kept; head is copied. */
void mmx_attempts_store_head(mmx_attempts_t *attempts, mmx_attempt_t *attempt,
			     const mmx_head_t *head);

/*
 * Keeps a part of the response for fencing queries. Responses of attempts that
 * ended longest ago make room; one that is too long is dropped whole.
 */
void mmx_attempts_store_body(mmx_attempts_t *attempts, mmx_attempt_t *attempt,
			     struct evbuffer *part);

/* Drops what is kept of a response, because it is not whole. */
void mmx_attempts_drop_response(mmx_attempts_t *attempts,
				mmx_attempt_t *attempt);

/* Forgets what has passed its time. */
void mmx_attempts_expire(mmx_attempts_t *attempts);

/* Calls fn for each record that is queued or running; fn must end none. */
void mmx_attempts_foreach_active(mmx_attempts_t *attempts,
				 void (*fn)(mmx_attempt_t *attempt, void *arg),
				 void *arg);

size_t mmx_attempts_count(const mmx_attempts_t *attempts);

#endif
