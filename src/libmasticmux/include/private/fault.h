/*
 * Probability that a target is in a failure episode: for some seconds most of
 * its requests fail while its health check passes. A target gets about one to
 * four requests a second, so a single failure has to have an effect.
 *
 * Each result updates a two-state Bayesian model (healthy, failing). Between
 * results the probability decays to the baseline, the share of targets that are
 * in an episode at any time. Does no I/O.
 *
 * Usage: init; report each result; query before each request.
 */
#ifndef MASTICMUX_PRIVATE_FAULT_H
#define MASTICMUX_PRIVATE_FAULT_H

#include "masticmux/types.h"

typedef enum mmx_fault_result_t {
	MMX_FAULT_SUCCESS,
	MMX_FAULT_BROKEN,  /* connection broken or response incomplete */
	MMX_FAULT_STATUS,  /* failure status, maybe due to a service it calls */
	MMX_FAULT_LATE,	   /* no response before the deadline */
	MMX_FAULT_OVERDUE, /* no response at an age at which most have one */
	MMX_FAULT_RESULT_COUNT
} mmx_fault_result_t;

extern const char *const mmx_fault_result_string[MMX_FAULT_RESULT_COUNT];

typedef struct mmx_fault_t {
	double failing_probability; /* probability after the latest result */
	mmx_time_t updated_at;	    /* time of the latest result */
	mmx_time_t last_failure;    /* time of the latest failure */
} mmx_fault_t;

void mmx_fault_init(mmx_fault_t *fault, mmx_time_t now);
void mmx_fault_report(mmx_fault_t *fault, mmx_fault_result_t result,
		      mmx_time_t now);

/* Probability, 0..1, that the target is in a failure episode now. */
double mmx_fault_probability(const mmx_fault_t *fault, mmx_time_t now);

/* True if only trial requests should be sent to the target. */
bool mmx_fault_is_suspect(const mmx_fault_t *fault, mmx_time_t now);

/*
 * Slots of a suspect target that may be used for trial requests, one at least.
 *
 * slots: that it has when it is healthy, 1 or more
 */
unsigned int mmx_fault_trial_slots(const mmx_fault_t *fault, unsigned int slots,
				   mmx_time_t now);

/* True if a trial request may be sent to a suspect target: some time after a
 * failure, immediately after a success. */
bool mmx_fault_trial_allowed(const mmx_fault_t *fault, mmx_time_t now);

/* True if the probability is so far above the baseline that requests that
 * cannot be repeated should go to another target. */
bool mmx_fault_is_elevated(const mmx_fault_t *fault, mmx_time_t now);

#endif
