/*
 * Shared by the two files of the attempt filter: attempts, and the claims of
 * those that carry an Idempotency-Key.
 */
#ifndef MASTICMUX_PRIVATE_FILTER_ATTEMPT_H
#define MASTICMUX_PRIVATE_FILTER_ATTEMPT_H

#include "private/entry.h"

typedef TAILQ_HEAD(mmx_exchange_list_t, mmx_exchange_t) mmx_exchange_list_t;

/* Attempts that stay in the own region if it has a target that may be used:
 * a body that crosses to another one costs more than a short wait. */
#define MMX_NEAR_ATTEMPTS 5

typedef struct mmx_attempt_filter_t {
	mmx_filter_t filter;
	mmx_entry_t *entry;
	mmx_clock_t *clock;
	const mmx_guards_t *guards;
	mmx_view_t *view;
	mmx_exchange_list_t open; /* exchanges with an attempt out */
	mmx_counter_t *sent;
	mmx_counter_t *repeated;
	mmx_counter_t *fences;
	mmx_counter_t *remote_sent; /* bytes */
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

/* Takes the attempt off the open ones. */
void mmx_attempt_close(mmx_attempt_filter_t *self, mmx_exchange_t *exchange);

/* Asks for the key on behalf of the chosen attempt; nothing is sent yet. */
void mmx_attempt_claim(mmx_attempt_filter_t *self, mmx_exchange_t *exchange);

/* The deadline passed while the claim is not settled. */
void mmx_attempt_claim_expired(mmx_attempt_filter_t *self,
			       mmx_exchange_t *exchange);

#endif
