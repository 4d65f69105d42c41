/*
 * Order of the queue of a target, and the choice of the attempt that leaves it
 * when it is full. Capacity that does not suffice is shared among client
 * accounts in proportion to their limits: an attempt starts later the more of
 * its limit its account uses in the whole fleet. Without a figure for this use,
 * attempts are ordered by priority and soft deadline alone. Does no I/O and
 * keeps no state beyond the queue.
 */
#ifndef MASTICMUX_PRIVATE_FAIR_QUEUE_H
#define MASTICMUX_PRIVATE_FAIR_QUEUE_H

#include "private/attempts.h"

/* Use of a limit that is used up, permille. */
#define MMX_FAIR_QUEUE_USE_MAX 1000

/* Place of an attempt in the order of starts. */
typedef struct mmx_fair_queue_place_t {
	uint8_t priority; /* see MMX_PRIORITY_FIRST */
	/* Attempts of equal priority start in the order of their keys. */
	mmx_time_t key;
	/* Use of the account's limit in the whole fleet, permille; 0: unknown,
	 * or an account without a limit. */
	uint16_t use;
} mmx_fair_queue_place_t;

/* Why an attempt was evicted. */
typedef enum mmx_fair_queue_cause_t {
	MMX_FAIR_QUEUE_FULL,	  /* the queue was full */
	MMX_FAIR_QUEUE_DISPLACED, /* others placed ahead leave it no time */
	MMX_FAIR_QUEUE_CAUSE_COUNT
} mmx_fair_queue_cause_t;

extern const char
	*const mmx_fair_queue_cause_string[MMX_FAIR_QUEUE_CAUSE_COUNT];

/*
 * Place of a request that arrives now.
 *
 * objective: latency objective; 0: none
 * remaining: until its deadline
 */
mmx_fair_queue_place_t mmx_fair_queue_place(uint8_t priority,
					    mmx_time_t objective,
					    mmx_time_t remaining, uint16_t use,
					    mmx_time_t now);

/* Place of a queued attempt. */
mmx_fair_queue_place_t mmx_fair_queue_place_of(const mmx_attempt_t *attempt);

/* Number of queued attempts that start after a request with this place. */
unsigned int mmx_fair_queue_behind(const mmx_attempt_list_t *queue,
				   const mmx_fair_queue_place_t *place);

/* Inserts an attempt by its execute message and sets its key. */
void mmx_fair_queue_insert(mmx_attempt_list_t *queue, mmx_attempt_t *attempt,
			   mmx_time_t now);

/*
 * Returns the attempt to evict so that a request with this place has room: of
 * those that start after it and whose account's use is known, one of the least
 * urgent priority whose account uses most of its limit; of equals the last.
 * Attempts of accounts under their floor are exempt. NULL when there is none.
 */
mmx_attempt_t *mmx_fair_queue_victim(const mmx_attempt_list_t *queue,
				     const mmx_fair_queue_place_t *place);

/*
 * True when the account of a request for a full queue uses more of its limit
 * than that of the attempt which would have to leave, so that the request
 * itself must be refused.
 */
bool mmx_fair_queue_is_refused(const mmx_attempt_list_t *queue,
			       const mmx_fair_queue_place_t *place);

#endif
