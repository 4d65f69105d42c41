/*
 * Shared by the two files of the attempt filter: attempts, and the claims of
 * those that carry an Idempotency-Key.
 */
#ifndef MASTICMUX_PRIVATE_FILTER_ATTEMPT_H
#define MASTICMUX_PRIVATE_FILTER_ATTEMPT_H

#include "private/entry.h"
#include "private/overdue.h"

typedef TAILQ_HEAD(mmx_exchange_list_t, mmx_exchange_t) mmx_exchange_list_t;

/* Attempts that stay in the own region if it has a target that may be used:
 * a body that crosses to another one costs more than a short wait. */
#define MMX_SAME_REGION_ATTEMPTS 5

typedef struct mmx_attempt_filter_t {
	mmx_filter_t filter;
	mmx_entry_t *entry;
	mmx_clock_t *clock;
	const mmx_guards_t *guards;
	mmx_view_t *view;
	mmx_exchange_list_t in_flight; /* exchanges with an attempt out */
	GHashTable *overdue_by_route;  /* of mmx_overdue_t, by name */
	mmx_counter_t *sent;
	mmx_counter_t *repeated;
	mmx_counter_t *fences;
	mmx_counter_t *overdue_repeats;
	mmx_counter_t *overdue_kept; /* the earlier attempt answered */
	mmx_counter_t *remote_sent;  /* bytes */
	mmx_counter_t *remote_received;
} mmx_attempt_filter_t;

/* Part of the remaining time that is kept back, at most max. */
mmx_time_t mmx_attempt_margin(mmx_time_t remaining, mmx_time_t max);

/* The message of the attempt that was chosen. */
mmx_execute_t *mmx_attempt_new_execute(mmx_attempt_filter_t *self,
				       const mmx_exchange_t *exchange);

/* Sends the attempt that was chosen, after its claim if it needs one. */
void mmx_attempt_transmit(mmx_attempt_filter_t *self, mmx_exchange_t *exchange);

/* Ends the exchange; what may have run decides on the outcome. */
void mmx_attempt_refuse(mmx_attempt_filter_t *self, mmx_exchange_t *exchange,
			mmx_reason_t reason);

/* Goes on after an attempt that certainly did not run. */
void mmx_attempt_retry_not_run(mmx_attempt_filter_t *self,
			       mmx_exchange_t *exchange, mmx_reason_t reason);

/* Chooses a target and sends the next attempt, or refuses the request. */
void mmx_attempt_try_next(mmx_attempt_filter_t *self, mmx_exchange_t *exchange);

/* Whether the request is whole and may go to another target in time. */
bool mmx_attempt_can_send_again(const mmx_attempt_filter_t *self,
				const mmx_exchange_t *exchange);

/* Tells an exit that nobody waits for an attempt any more. */
void mmx_attempt_send_cancel(mmx_attempt_filter_t *self,
			     const mmx_attempt_id_t *id, mmx_node_id_t exit);

/* Sets the timer of the deadline. */
void mmx_attempt_set_deadline(mmx_attempt_filter_t *self,
			      mmx_exchange_t *exchange);

/* --- overdue attempts (filter_attempt_overdue.c) ----------------------- */

/* Prepares the timer of an exchange. */
void mmx_attempt_init_overdue_timer(mmx_attempt_filter_t *self,
				    mmx_exchange_t *exchange);

/* Starts to wait for the answer to an attempt that has just been sent. */
void mmx_attempt_start_overdue_timer(mmx_attempt_filter_t *self,
				     mmx_exchange_t *exchange);

/* Notes how long the attempt took that has just completed. */
void mmx_attempt_record_latency(mmx_attempt_filter_t *self,
				const mmx_exchange_t *exchange);

/* Ends the earlier attempt, if there is one; cancel: its exit is told. */
void mmx_attempt_drop_earlier(mmx_attempt_filter_t *self,
			      mmx_exchange_t *exchange, bool cancel);

/*
 * The earlier attempt goes on as the only one. The latest has been closed.
 * Returns false when there is none.
 */
bool mmx_attempt_resume_earlier(mmx_attempt_filter_t *self,
				mmx_exchange_t *exchange);

/*
 * Takes a response to the earlier attempt. Returns true when it is the answer
 * to the request: the earlier attempt is the only one from now on.
 */
bool mmx_attempt_earlier_response(mmx_attempt_filter_t *self,
				  mmx_exchange_t *exchange,
				  const mmx_response_t *response);

/* True for the id of the earlier attempt. */
static inline bool mmx_attempt_is_earlier(const mmx_exchange_t *exchange,
					  const mmx_attempt_id_t *id)
{
	return exchange->earlier.id.sequence &&
	       exchange->earlier.id.sequence == id->sequence;
}

/* Takes the attempt off the open ones. */
void mmx_attempt_close(mmx_attempt_filter_t *self, mmx_exchange_t *exchange);

/* Asks for the key on behalf of the chosen attempt; nothing is sent yet. */
void mmx_attempt_claim(mmx_attempt_filter_t *self, mmx_exchange_t *exchange);

/* The deadline passed while the claim is not settled. */
void mmx_attempt_claim_expired(mmx_attempt_filter_t *self,
			       mmx_exchange_t *exchange);

#endif
