/*
 * Records of the attempts at an exit. They ensure that no attempt runs twice
 * and that fencing queries get correct replies. Does no I/O.
 *
 * A record exists from the first EXECUTE or FENCE of the attempt until it
 * expires or is evicted. Of the removed records of an entry, only the highest
 * sequence is kept, as the watermark: an attempt at or below it without a
 * record may have run. The records are lost when the process restarts; the
 * incarnation in each message shows that.
 *
 * Usage: create, find, add a record for a new attempt, end it, expire records
 * from time to time, destroy.
 */
#ifndef MASTICMUX_PRIVATE_ATTEMPTS_H
#define MASTICMUX_PRIVATE_ATTEMPTS_H

#include "masticmux/detection.h"
#include "private/cost.h"
#include "private/guards.h"
#include "private/limits.h"
#include "private/messages.h"

typedef enum mmx_attempt_state_t {
	MMX_ATTEMPT_QUEUED,
	MMX_ATTEMPT_RUNNING,
	MMX_ATTEMPT_FINISHED,
	MMX_ATTEMPT_REFUSED, /* has not started and never will */
	MMX_ATTEMPT_STATE_COUNT
} mmx_attempt_state_t;

extern const char *const mmx_attempt_state_string[MMX_ATTEMPT_STATE_COUNT];

struct mmx_exit_target_t;

typedef struct mmx_attempt_t {
	/* In the queue or the list of running attempts of its target. */
	TAILQ_ENTRY(mmx_attempt_t) queue_entry;
	TAILQ_ENTRY(mmx_attempt_t) expiry_entry; /* while ended */
	mmx_attempt_id_t id;
	mmx_attempt_state_t state;
	struct mmx_exit_target_t *target; /* while queued or running */
	mmx_execute_t *execute;		  /* while queued or running */
	mmx_origin_t origin;
	struct mmx_span_t *span;      /* time here; NULL: not sampled */
	struct mmx_span_t *call_span; /* of the call; NULL: not sampled */
	/* Of the target when the call started. */
	mmx_address_t address;
	uint64_t process_start;
	mmx_time_t arrived;
	mmx_time_t queue_key; /* orders the queue of the target */
	mmx_time_t started;
	mmx_time_t deadline;
	mmx_cost_key_t cost_key;  /* what its run time is expected from */
	mmx_time_t expire_at;	  /* while ended */
	mmx_limits_share_t share; /* limits of its account */
	bool under_floor; /* its account was under its floor at arrival */
	bool waited;	  /* could not start at arrival */
	bool repeatable;
	bool keyed;	/* the record is kept for the lifetime of a claim */
	bool abandoned; /* no entry waits for the response */
	bool fence_reply_pending; /* a fence reply gets the whole response */
	bool head_received;	  /* the response head has arrived */
	bool completed;		  /* the whole response has arrived */
	mmx_detection_request_t detection; /* while active */
	bool detection_active;		   /* detection counts it as running */
	bool trial;	       /* reinstatement trial of an ejected target */
	bool overdue_reported; /* was reported as overdue */
	bool offered;	       /* not used */
	char *request_id;  /* request identifier of the caller; NULL: none */
	bool server_error; /* the status of the response is 500 or above */
	size_t response_bytes; /* bytes of the response body so far */
	/* While response_body is set. */
	TAILQ_ENTRY(mmx_attempt_t) response_entry;
	mmx_head_t *response_head;	/* NULL: not stored */
	struct evbuffer *response_body; /* NULL: not stored */
} mmx_attempt_t;

typedef TAILQ_HEAD(mmx_attempt_list_t, mmx_attempt_t) mmx_attempt_list_t;

typedef enum mmx_attempt_lookup_t {
	MMX_ATTEMPT_NEW,       /* was never seen and may start */
	MMX_ATTEMPT_KNOWN,     /* has a record */
	MMX_ATTEMPT_FORGOTTEN, /* is not above the watermark; may have run */
	MMX_ATTEMPT_STALE,     /* is from an earlier incarnation of the entry */
	MMX_ATTEMPT_LOOKUP_COUNT
} mmx_attempt_lookup_t;

extern const char *const mmx_attempt_lookup_string[MMX_ATTEMPT_LOOKUP_COUNT];

typedef struct mmx_attempts_t mmx_attempts_t;

/*
 * clock:              outlives the result
 * record_max:         bound on the records of ended attempts, 1 or more,
 *                     asserted; the one that ended first is evicted first
 * response_bytes_max: bound on the stored response bodies together, bytes
 */
mmx_attempts_t *mmx_attempts_create(mmx_clock_t *clock, size_t record_max,
				    size_t response_bytes_max);

/* Destroys all records. NULL is allowed. */
void mmx_attempts_destroy(mmx_attempts_t *attempts);

/*
 * For tests only; guards outlives attempts. Without the watermark rule, an
 * attempt whose record was removed counts as new.
 */
void mmx_attempts_set_guards(mmx_attempts_t *attempts,
			     const mmx_guards_t *guards);

/*
 * Looks up an attempt and records the incarnation of its entry.
 *
 * found: set to the record, or to NULL when there is none
 */
mmx_attempt_lookup_t mmx_attempts_find(mmx_attempts_t *attempts,
				       const mmx_attempt_id_t *id,
				       mmx_attempt_t **found);

/* Adds a record in state queued; asserts that the attempt has none. */
mmx_attempt_t *mmx_attempts_add(mmx_attempts_t *attempts,
				const mmx_attempt_id_t *id);

/*
 * Sets the state of a queued or running attempt, asserted, to finished or
 * refused. Its record is kept for 30 s after the deadline, for the lifetime of
 * a claim if keyed, or until it is evicted because of record_max. The record
 * of a repeatable attempt is freed at once, as it may run again.
 */
void mmx_attempts_end(mmx_attempts_t *attempts, mmx_attempt_t *attempt,
		      mmx_attempt_state_t state);

/*
 * Starts to store the response of the attempt; head is copied. Does nothing for
 * a repeatable attempt or if a head is stored already.
 */
void mmx_attempts_store_head(mmx_attempts_t *attempts, mmx_attempt_t *attempt,
			     const mmx_head_t *head);

/*
 * Appends a part of the response body, for fence replies. Does nothing unless
 * the response is stored. The oldest responses of finished attempts are dropped
 * to stay within response_bytes_max. The whole response is dropped if that is
 * not enough, or if it becomes longer than MMX_HELD_BODY_MAX.
 *
 * part: copied, keeps its content
 */
void mmx_attempts_store_body(mmx_attempts_t *attempts, mmx_attempt_t *attempt,
			     struct evbuffer *part);

/* Drops the stored response, for example because it is incomplete. */
void mmx_attempts_drop_response(mmx_attempts_t *attempts,
				mmx_attempt_t *attempt);

/*
 * Removes ended records in the order in which they ended, up to the first one
 * that has not expired.
 */
void mmx_attempts_expire(mmx_attempts_t *attempts);

/* Calls fn for each queued or running attempt; fn must not end any. */
void mmx_attempts_foreach_active(mmx_attempts_t *attempts,
				 void (*fn)(mmx_attempt_t *attempt, void *arg),
				 void *arg);

/* Number of all records. */
size_t mmx_attempts_count(const mmx_attempts_t *attempts);

#endif
