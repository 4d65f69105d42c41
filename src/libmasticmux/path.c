#include "masticmux/path.h"

#include <assert.h>
#include <math.h>

#include "private/backoff.h"

/* Thresholds of the decayed number of losses. One broken connection causes a
 * single loss, which a new connection cures; the path is failing only when
 * losses repeat. */
#define LOSSES_SUSPECT 0.5
#define LOSSES_FAILING 2.5
/* An exit that does not reply even on a new connection is unreachable, so this
 * exceeds LOSSES_FAILING. */
#define LOSSES_NO_REPLY 3.0
#define LOSSES_HALF_LIFE_US (30 * MMX_US_PER_S)
#define LOSSES_MAX 6.0

const char *const mmx_path_fence_result_string[MMX_PATH_FENCE_COUNT] = {
	"running",
	"finished",
	"unseen",
	"none",
};

void mmx_path_init(mmx_path_t *path, mmx_time_t timeout, mmx_time_t now)
{
	assert(timeout > 0);
	*path = (mmx_path_t){
		.timeout = timeout,
		.waiting_since = now,
		.updated = now,
	};
}

void mmx_path_attempt_sent(mmx_path_t *path, mmx_time_t now)
{
	if (!path->outstanding++)
		path->waiting_since = now;
}

void mmx_path_progress(mmx_path_t *path, mmx_time_t now)
{
	path->waiting_since = now;
}

void mmx_path_attempt_ended(mmx_path_t *path)
{
	assert(path->outstanding > 0);
	path->outstanding--;
}

static void decay_losses_(mmx_path_t *path, mmx_time_t now)
{
	double half_lives =
		(double)(now - path->updated) / (double)LOSSES_HALF_LIFE_US;

	path->updated = now;
	if (path->losses > 0)
		path->losses *= exp2(-half_lives);
}

static void start_backoff_(mmx_path_t *path, mmx_time_t now)
{
	mmx_backoff_t backoff = {path->backoff_delay, path->backoff_since};

	if (now < path->failed_until)
		return;
	path->failed_until = now + mmx_backoff_report_failure(&backoff, now);
	mmx_backoff_report_recovery(&backoff, path->failed_until);
	path->backoff_delay = backoff.delay;
	path->backoff_since = backoff.healthy_since;
}

static void record_evidence_(mmx_path_t *path, mmx_evidence_kind_t kind,
			     double value, double threshold, mmx_time_t now)
{
	path->evidence = (mmx_health_evidence_t){kind, value, threshold, now};
}

void mmx_path_on_fence_result(mmx_path_t *path, mmx_path_fence_result_t result,
			      mmx_time_t now)
{
	mmx_evidence_kind_t kind = MMX_EVIDENCE_ATTEMPT_LOST;

	assert(result < MMX_PATH_FENCE_COUNT);
	decay_losses_(path, now);
	path->waiting_since = now;
	switch (result) {
	case MMX_PATH_FENCE_RUNNING:
		return;
	case MMX_PATH_FENCE_FINISHED:
		kind = MMX_EVIDENCE_RESPONSE_LOST;
		path->losses += 1;
		break;
	case MMX_PATH_FENCE_NO_REPLY:
		kind = MMX_EVIDENCE_NO_ANSWER;
		path->losses += LOSSES_NO_REPLY;
		break;
	default:
		path->losses += 1;
		break;
	}
	path->losses = fmin(path->losses, LOSSES_MAX);
	record_evidence_(path, kind, path->losses, LOSSES_SUSPECT, now);
	if (path->losses >= LOSSES_FAILING) {
		path->evidence.threshold = LOSSES_FAILING;
		start_backoff_(path, now);
	}
}

bool mmx_path_needs_fence(const mmx_path_t *path, mmx_time_t now)
{
	return path->outstanding > 0 &&
	       now - path->waiting_since >= path->timeout;
}

bool mmx_path_evaluate(mmx_path_t *path, mmx_time_t now)
{
	mmx_health_t previous = path->level;

	decay_losses_(path, now);
	path->level = MMX_HEALTH_HEALTHY;
	if (now < path->failed_until)
		path->level = MMX_HEALTH_FAILING;
	else if (path->losses >= LOSSES_SUSPECT ||
		 mmx_path_needs_fence(path, now))
		path->level = MMX_HEALTH_SUSPECT;
	if (path->level == MMX_HEALTH_SUSPECT &&
	    previous == MMX_HEALTH_HEALTHY && mmx_path_needs_fence(path, now))
		record_evidence_(path, MMX_EVIDENCE_NO_PROGRESS,
				 (double)(now - path->waiting_since) /
					 MMX_US_PER_S,
				 (double)path->timeout / MMX_US_PER_S, now);
	return path->level != previous;
}

mmx_health_t mmx_path_level(const mmx_path_t *path)
{
	return path->level;
}

const mmx_health_evidence_t *mmx_path_evidence(const mmx_path_t *path)
{
	return &path->evidence;
}
