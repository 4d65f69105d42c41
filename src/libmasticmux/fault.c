#include "private/fault.h"

#include <assert.h>
#include <math.h>

/* Share of the targets that are in an episode at any time. */
#define USUAL_SHARE 0.1
/* Mean length of an episode: some seconds. */
#define EPISODE_US (6 * MMX_US_PER_S)
/* An episode may begin and end at any time, so that no series of results makes
 * either state certain: one broken connection always makes a target suspect. */
#define PROBABILITY_MIN 0.03
#define PROBABILITY_MAX 0.97
/* Above it a failure elsewhere is less likely than one here. */
#define SUSPECT_PROBABILITY 0.4
/* Above it a target is clearly worse than one of which nothing is known: one
 * success after a failure is too little, as some requests succeed in an
 * episode. Time alone leads back to the usual share and not below it: with that
 * as the limit, a target without reads would be avoided for good. */
#define DOUBTFUL_PROBABILITY (1.2 * USUAL_SHARE)

/* Time without requests after a failure of a suspect target. In an episode
 * connections break at once: without a pause as many requests would test the
 * target as a sound one serves. Short against an episode, so that its end is
 * seen soon. */
#define TRIAL_PAUSE_US (500 * MMX_US_PER_MS)

const char *const mmx_fault_result_string[MMX_FAULT_RESULT_COUNT] = {
	"success", "broken", "status", "late", "overdue",
};

/*
 * How often a result occurs in either state. In an episode about three
 * requests in four fail. Sound targets answer with a failure of their own in
 * about one of a hundred requests, and in more when a service that they call
 * fails; connections of sound targets rarely break. One request in thirty of a
 * sound target is overdue by the distribution of its run times, and more when
 * a service that it calls is.
 */
static const struct {
	double failing;
	double sound;
} likelihood_[MMX_FAULT_RESULT_COUNT] = {
	[MMX_FAULT_SUCCESS] = {0.25, 0.95}, [MMX_FAULT_BROKEN] = {0.75, 0.02},
	[MMX_FAULT_STATUS] = {0.6, 0.25},   [MMX_FAULT_LATE] = {0.5, 0.1},
	[MMX_FAULT_OVERDUE] = {0.75, 0.08},
};

void mmx_fault_init(mmx_fault_t *fault, mmx_time_t now)
{
	*fault = (mmx_fault_t){
		.failing_probability = USUAL_SHARE,
		.updated_at = now,
		.last_failure = now - TRIAL_PAUSE_US,
	};
}

double mmx_fault_probability(const mmx_fault_t *fault, mmx_time_t now)
{
	double kept =
		exp(-(double)(now - fault->updated_at) / (double)EPISODE_US);

	return USUAL_SHARE + (fault->failing_probability - USUAL_SHARE) * kept;
}

void mmx_fault_report(mmx_fault_t *fault, mmx_fault_result_t result,
		      mmx_time_t now)
{
	double before = mmx_fault_probability(fault, now);
	double failing = before * likelihood_[result].failing;
	double sound = (1 - before) * likelihood_[result].sound;

	assert(result < MMX_FAULT_RESULT_COUNT);
	fault->failing_probability =
		fmin(fmax(failing / (failing + sound), PROBABILITY_MIN),
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
	return mmx_fault_probability(fault, now) > DOUBTFUL_PROBABILITY;
}

bool mmx_fault_trial_allowed(const mmx_fault_t *fault, mmx_time_t now)
{
	return now - fault->last_failure >= TRIAL_PAUSE_US;
}
