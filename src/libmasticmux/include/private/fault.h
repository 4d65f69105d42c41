/*
 * Estimate that a target is in a failure episode: for some seconds most of its
 * requests fail, while its health check is good. Requests are few, about one
 * to four a second, so that one failure must be enough to act on.
 *
 * A two-state model (sound, failing) is updated by each result, and relaxes
 * towards the usual share of failing targets with the time in between. Does no
 * I/O.
 *
 * Usage: init, report each result, ask before each start.
 */
#ifndef MASTICMUX_PRIVATE_FAULT_H
#define MASTICMUX_PRIVATE_FAULT_H

#include "masticmux/types.h"

typedef enum mmx_fault_result_t {
	MMX_FAULT_SUCCESS,
	MMX_FAULT_BROKEN, /* the connection broke, or the answer was not whole */
	MMX_FAULT_STATUS,  /* a failure that the target says, maybe of others */
	MMX_FAULT_LATE,	   /* no answer in the time that was left */
	MMX_FAULT_OVERDUE, /* no answer yet, when most requests have theirs */
	MMX_FAULT_RESULT_COUNT
} mmx_fault_result_t;

extern const char *const mmx_fault_result_string[MMX_FAULT_RESULT_COUNT];

typedef struct mmx_fault_t {
	double failing_probability; /* probability at the time of the latest result */
	mmx_time_t updated_at;
	mmx_time_t last_failure; /* time of the latest failure */
} mmx_fault_t;

void mmx_fault_init(mmx_fault_t *fault, mmx_time_t now);
void mmx_fault_report(mmx_fault_t *fault, mmx_fault_result_t result,
		      mmx_time_t now);

/* Probability, 0 to 1, that the target is in a failure episode now. */
double mmx_fault_probability(const mmx_fault_t *fault, mmx_time_t now);

/* True when all requests but those that test the target should go elsewhere. */
bool mmx_fault_is_suspect(const mmx_fault_t *fault, mmx_time_t now);

/* True when a request may test a suspect target: some time after a failure,
 * at once after a success. */
bool mmx_fault_trial_allowed(const mmx_fault_t *fault, mmx_time_t now);

/* True when requests whose failure is final should go elsewhere. */
bool mmx_fault_is_elevated(const mmx_fault_t *fault, mmx_time_t now);

#endif
