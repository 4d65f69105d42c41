#include "private/fault.h"

#include <assert.h>
#include <math.h>

/* Share of targets that are in a failure episode at any time. */
#define BASELINE_PROBABILITY 0.1
/* Mean length of a failure episode. */
#define EPISODE_MEAN_US (6 * MMX_US_PER_S)
/* Bounds of the probability. An episode may begin or end at any time, so no
 * series of results makes either state certain; a single broken connection
 * always makes a target suspect. */
#define PROBABILITY_MIN 0.03
#define PROBABILITY_MAX 0.97
/* Above this probability a request is less likely to fail at another target. */
#define SUSPECT_PROBABILITY 0.4
/* Above this probability a target is more likely to fail than one without any
 * results. One success after a failure does not bring it below, as some
 * requests succeed during an episode. Over time the probability returns to the
 * baseline and not below it: with the baseline as the limit, a target that gets
 * no reads would be avoided for ever. */
#define ELEVATED_PROBABILITY (1.2 * BASELINE_PROBABILITY)

/* Time without requests after a failure of a suspect target. During an episode
 * connections break immediately: without a pause as many requests would be sent
 * to the failing target as a healthy one serves. It is short compared with an
 * episode, so that the end of the episode is detected soon. */
#define TRIAL_PAUSE_US (500 * MMX_US_PER_MS)

/* Share of its healthy slots that a suspect target uses for trials, 1/n. The
 * rest stays free: a request that hangs holds its slot for several run times.
 */
#define TRIAL_SLOTS_DIVISOR 2

const char *const mmx_fault_result_string[MMX_FAULT_RESULT_COUNT] = {
	"success", "broken", "status", "late", "overdue",
};

/*
 * Likelihood of each result in either state. During an episode about three
 * requests in four fail. A healthy target answers about one request in a
 * hundred with a failure of its own, and more if a service that it calls fails;
 * its connections rarely break. About one request in thirty of a healthy target
 * is overdue according to the distribution of its run times, and more if a
 * service that it calls is slow.
 */
static const struct {
	double failing;
	double healthy;
} likelihood_[MMX_FAULT_RESULT_COUNT] = {
	[MMX_FAULT_SUCCESS] = {0.25, 0.95}, [MMX_FAULT_BROKEN] = {0.75, 0.02},
	[MMX_FAULT_STATUS] = {0.6, 0.25},   [MMX_FAULT_LATE] = {0.5, 0.1},
	[MMX_FAULT_OVERDUE] = {0.75, 0.08},
};

void mmx_fault_init(mmx_fault_t *fault, mmx_time_t now)
{
	*fault = (mmx_fault_t){
		.failing_probability = BASELINE_PROBABILITY,
		.updated_at = now,
		.last_failure = now - TRIAL_PAUSE_US,
	};
}

double mmx_fault_probability(const mmx_fault_t *fault, mmx_time_t now)
{
	double kept = exp(-(double)(now - fault->updated_at) /
			  (double)EPISODE_MEAN_US);

	return BASELINE_PROBABILITY +
	       (fault->failing_probability - BASELINE_PROBABILITY) * kept;
}

void mmx_fault_report(mmx_fault_t *fault, mmx_fault_result_t result,
		      mmx_time_t now)
{
	double prior = mmx_fault_probability(fault, now);
	double failing = prior * likelihood_[result].failing;
	double healthy = (1 - prior) * likelihood_[result].healthy;

	assert(result < MMX_FAULT_RESULT_COUNT);
	fault->failing_probability =
		fmin(fmax(failing / (failing + healthy), PROBABILITY_MIN),
		     PROBABILITY_MAX);
	fault->updated_at = now;
	if (result != MMX_FAULT_SUCCESS)
		fault->last_failure = now;
}

bool mmx_fault_is_suspect(const mmx_fault_t *fault, mmx_time_t now)
{
	return mmx_fault_probability(fault, now) > SUSPECT_PROBABILITY;
}

bool mmx_fault_is_elevated(const mmx_fault_t *fault, mmx_time_t now)
{
	return mmx_fault_probability(fault, now) > ELEVATED_PROBABILITY;
}

/* In proportion to the probability that the target is healthy: when the other
 * targets of its service are full, its capacity is needed. */
unsigned int mmx_fault_trial_slots(const mmx_fault_t *fault, unsigned int slots,
				   mmx_time_t now)
{
	double healthy = 1 - mmx_fault_probability(fault, now);
	unsigned int used =
		(unsigned int)(healthy * slots / TRIAL_SLOTS_DIVISOR);

	return used > 1 ? used : 1;
}

bool mmx_fault_trial_allowed(const mmx_fault_t *fault, mmx_time_t now)
{
	return now - fault->last_failure >= TRIAL_PAUSE_US;
}
