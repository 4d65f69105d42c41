/*
 * Attempt filter: state and functions that its source files share, which are
 * attempts (filter_attempt.c), their messages to exits (filter_attempt_send.c),
 * second attempts of overdue ones (filter_attempt_overdue.c), their expected run
 * times (filter_attempt_cost.c) and the claims of
 * attempts with an Idempotency-Key (filter_attempt_claim.c).
 */
#ifndef MASTICMUX_PRIVATE_FILTER_ATTEMPT_H
#define MASTICMUX_PRIVATE_FILTER_ATTEMPT_H

#include "private/entry.h"
#include "private/overdue.h"

typedef TAILQ_HEAD(mmx_exchange_list_t, mmx_exchange_t) mmx_exchange_list_t;

/* Number of first attempts that stay in this region if it has a usable target:
 * sending a body to another region costs more than a short wait. */
#define MMX_SAME_REGION_ATTEMPTS 5

/* Error of the expected run times of one service, summed up in ms. */
typedef struct mmx_attempt_error_t {
	mmx_counter_t *run;
	mmx_counter_t *expected;
	mmx_counter_t *error; /* distance of the two, of each attempt */
} mmx_attempt_error_t;

typedef struct mmx_attempt_filter_t {
	mmx_filter_t filter;
	mmx_entry_t *entry;
	mmx_clock_t *clock;
	const mmx_guards_t *guards;
	mmx_view_t *view;
	mmx_exchange_list_t in_flight; /* exchanges with an attempt */
	GHashTable *overdue_by_route;  /* mmx_overdue_t by name of the route */
	/* mmx_attempt_error_t by name of the service; NULL: none yet */
	GHashTable *cost_errors;
	mmx_counter_t *sent;
	mmx_counter_t *repeated;
	mmx_counter_t *fences;
	mmx_counter_t *overdue_repeats;
	mmx_counter_t *overdue_kept;	/* the earlier attempt answered */
	mmx_counter_t *remote_sent;	/* to other regions, bytes */
	mmx_counter_t *remote_received; /* from other regions, bytes */
} mmx_attempt_filter_t;

/* Safety margin before a deadline: a tenth of the remaining time, at most max;
 * microseconds. */
mmx_time_t mmx_attempt_margin(mmx_time_t remaining, mmx_time_t max);

/* Sets in a request, before each attempt, what its target is chosen by. */
void mmx_attempt_set_cost(mmx_attempt_filter_t *self, mmx_exchange_t *exchange,
			  mmx_balance_request_t *request);

/* Learns the run time of the latest attempt, whose response has arrived, and
 * records the error of its estimate. */
void mmx_attempt_record_cost(mmx_attempt_filter_t *self,
			     mmx_exchange_t *exchange, int status);

/* Number of the route in messages; 0: it has no name. */
uint32_t mmx_attempt_route_number(const mmx_exchange_t *exchange);

/* Creates the EXECUTE message of the latest attempt. */
mmx_execute_t *mmx_attempt_new_execute(mmx_attempt_filter_t *self,
				       const mmx_exchange_t *exchange);

/* Sends the latest attempt; valid once its claim is won, if it needs one. */
void mmx_attempt_transmit(mmx_attempt_filter_t *self, mmx_exchange_t *exchange);

/* Ends the exchange with a refusal, unless an earlier attempt is in flight. The
 * outcome is unknown if an attempt may have run, not-run otherwise. */
void mmx_attempt_refuse(mmx_attempt_filter_t *self, mmx_exchange_t *exchange,
			mmx_reason_t reason);

/* Retries or refuses after an attempt that certainly did not run. */
void mmx_attempt_retry_not_run(mmx_attempt_filter_t *self,
			       mmx_exchange_t *exchange, mmx_reason_t reason);

/* Chooses a target and sends the next attempt, or refuses the request. */
void mmx_attempt_try_next(mmx_attempt_filter_t *self, mmx_exchange_t *exchange);

/* True when the body is buffered and limits and deadline allow one more
 * attempt. */
bool mmx_attempt_can_send_again(const mmx_attempt_filter_t *self,
				const mmx_exchange_t *exchange);

/* Tells an exit that the entry no longer waits for an attempt. */
void mmx_attempt_send_cancel(mmx_attempt_filter_t *self,
			     const mmx_attempt_id_t *id, mmx_node_id_t exit);

/* Sets the timer for the deadline, or for the fencing query before it. */
void mmx_attempt_set_deadline(mmx_attempt_filter_t *self,
			      mmx_exchange_t *exchange);

/* Initialises the overdue timer of an exchange. */
void mmx_attempt_init_overdue_timer(mmx_attempt_filter_t *self,
				    mmx_exchange_t *exchange);

/* Records that an attempt is sent now, and starts the overdue timer if the
 * request is repeatable and its route has a latency objective. */
void mmx_attempt_start_overdue_timer(mmx_attempt_filter_t *self,
				     mmx_exchange_t *exchange);

/* Records the latency of an attempt that completes now. */
void mmx_attempt_record_latency(mmx_attempt_filter_t *self,
				const mmx_exchange_t *exchange);

/* Ends the earlier attempt, if there is one.
 * cancel: also sends CANCEL to its exit */
void mmx_attempt_drop_earlier(mmx_attempt_filter_t *self,
			      mmx_exchange_t *exchange, bool cancel);

/*
 * Continues with the earlier attempt as the only one. Valid after the latest
 * attempt was closed. Returns false when there is no earlier attempt.
 */
bool mmx_attempt_resume_earlier(mmx_attempt_filter_t *self,
				mmx_exchange_t *exchange);

/*
 * Processes a response to the earlier attempt. Returns true when it answers the
 * request: the latest attempt was cancelled and replaced by the earlier one.
 */
bool mmx_attempt_earlier_response(mmx_attempt_filter_t *self,
				  mmx_exchange_t *exchange,
				  const mmx_response_t *response);

/* True when the id is that of the earlier attempt. */
static inline bool mmx_attempt_is_earlier(const mmx_exchange_t *exchange,
					  const mmx_attempt_id_t *id)
{
	return exchange->earlier.id.sequence &&
	       exchange->earlier.id.sequence == id->sequence;
}

/* Ends the latest attempt, if there is one: stops its timers and updates the
 * view. */
void mmx_attempt_close(mmx_attempt_filter_t *self, mmx_exchange_t *exchange);

/* Claims the Idempotency-Key for the latest attempt, which is not sent yet. */
void mmx_attempt_claim(mmx_attempt_filter_t *self, mmx_exchange_t *exchange);

/* The deadline has passed before the claim was decided. */
void mmx_attempt_claim_expired(mmx_attempt_filter_t *self,
			       mmx_exchange_t *exchange);

#endif
