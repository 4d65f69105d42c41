#include "masticmux/detection.h"

#include <assert.h>
#include <glib.h>
#include <math.h>

/* With drift k a CUSUM of Exp(1) exceeds h with a probability of about
 * exp(-t h) per request, where t solves k = -ln(1 - t) / t: t = 0.80 for
 * k = 2 and 0.94 for k = 3. The thresholds below give less than one false
 * alarm in 5e7 requests (a day of both customers' traffic) at weight 100. */
#define DRIFT_CAREFUL 3.0
#define DRIFT_FAST 2.0
#define FAILING_CAREFUL 30.0
#define FAILING_FAST 24.0
/* Suspicion only changes the order of choice, so it may come earlier. */
#define SUSPECT_SHARE 0.6
/* However old, a single request must not make a target failing, but two may:
 * a target that others avoid already gets few more. */
#define SINGLE_SHARE 0.6
/* Age of requests in progress from which a target is suspect, above the
 * drift. One request in 4e5 (weight 0) or 2e3 (weight 100) of a healthy
 * target gets that old. A stalled target may hold a single request only, so
 * waiting for a second one would mean to send it. */
#define STUCK_CAREFUL 10.0
#define STUCK_FAST 5.5
/* Bounds how much good evidence a recovered target needs. */
#define SCORE_MAX_SHARE 1.5
/* Hysteresis keeps a score near a threshold from changing the level often. */
#define CLEAR_SHARE 0.5
/* An old request that never completed keeps its target suspect for this time,
 * unless trials clear it before. */
#define HOLD_US (60 * MMX_US_PER_S)
/* Below it, so that trials clear the level. */
#define CLEARED_SHARE 0.45
/* The score halves in this time. While the target is suspect requests are
 * rare, and time alone must not bring it back before trials do. */
#define DECAY_HALF_LIFE_US (10 * MMX_US_PER_S)
#define DECAY_SUSPECT_HALF_LIFE_US (60 * MMX_US_PER_S)
/* Error rate of a failing target: at least this, or a multiple of the
 * peers'. */
#define ERROR_RATE_FAILING 0.1
#define ERROR_RATE_FACTOR 4.0
#define ERROR_RATE_MAX 0.9

const char *const mmx_health_string[MMX_HEALTH_COUNT] = {
	"healthy",
	"suspect",
	"failing",
};

const char *const mmx_evidence_kind_string[MMX_EVIDENCE_KIND_COUNT] = {
	"none",	  "latency",	 "age",	      "errors",	      "refused",
	"trials", "no-progress", "no-answer", "attempt-lost", "response-lost",
};

const char *const mmx_result_string[MMX_RESULT_COUNT] = {
	"success",
	"error",
	"abandoned",
};

struct mmx_detection_t {
	const mmx_clock_t *clock;
	mmx_detection_thresholds_t limits;
	mmx_latency_model_t peers;
	TAILQ_HEAD(, mmx_detection_request_t) requests;
	size_t in_progress;
	size_t trials_running;
	double latency; /* CUSUM of completed requests */
	double errors;	/* CUSUM of log-likelihood ratios */
	double error_step;
	double success_step;
	double score;
	double age;
	mmx_health_t level;
	mmx_health_evidence_t evidence;
	mmx_time_t evaluated;
	uint8_t trials;
	mmx_time_t hold_until; /* suspect until then; 0: no hold */
	double held;	       /* evidence of the request that holds */
	bool refused;
	bool cleared;
};

void mmx_detection_thresholds(uint8_t weight,
			      mmx_detection_thresholds_t *limits)
{
	double fast = weight / 100.0;

	assert(weight <= 100);
	limits->drift = DRIFT_CAREFUL + fast * (DRIFT_FAST - DRIFT_CAREFUL);
	limits->failing =
		FAILING_CAREFUL + fast * (FAILING_FAST - FAILING_CAREFUL);
	limits->suspect = SUSPECT_SHARE * limits->failing;
	limits->suspect_age =
		STUCK_CAREFUL + fast * (STUCK_FAST - STUCK_CAREFUL);
	limits->request_max = SINGLE_SHARE * limits->failing;
}

/* Steps of the log-likelihood ratio of a failing against a healthy target. */
static void set_error_steps_(mmx_detection_t *detection, double healthy)
{
	double failing = fmax(ERROR_RATE_FAILING, ERROR_RATE_FACTOR * healthy);

	failing = fmin(failing, ERROR_RATE_MAX);
	if (healthy >= failing) {
		detection->error_step = 0;
		detection->success_step = 0;
		return;
	}
	detection->error_step = log(failing / healthy);
	detection->success_step = log((1 - failing) / (1 - healthy));
}

mmx_detection_t *mmx_detection_create(const mmx_clock_t *clock, uint8_t weight)
{
	mmx_detection_t *detection = g_new0(mmx_detection_t, 1);
	mmx_latency_summary_t empty = {.requests = 0};

	assert(clock);
	detection->clock = clock;
	detection->evaluated = mmx_clock_now(clock);
	TAILQ_INIT(&detection->requests);
	mmx_detection_set_weight(detection, weight);
	mmx_detection_set_peers(detection, &empty);
	return detection;
}

void mmx_detection_destroy(mmx_detection_t *detection)
{
	if (!detection)
		return;
	assert(TAILQ_EMPTY(&detection->requests));
	g_free(detection);
}

void mmx_detection_set_weight(mmx_detection_t *detection, uint8_t weight)
{
	mmx_detection_thresholds(weight, &detection->limits);
}

void mmx_detection_set_peers(mmx_detection_t *detection,
			     const mmx_latency_summary_t *peers)
{
	mmx_latency_model_prepare(&detection->peers, peers);
	set_error_steps_(detection, detection->peers.error_rate);
}

void mmx_detection_start(mmx_detection_t *detection,
			 mmx_detection_request_t *request, bool trial)
{
	request->started = mmx_clock_now(detection->clock);
	request->trial = trial;
	TAILQ_INSERT_TAIL(&detection->requests, request, entry);
	detection->in_progress++;
	detection->trials_running += trial;
}

static double evidence_of_(const mmx_detection_t *detection, mmx_time_t latency)
{
	return fmin(mmx_latency_model_evidence(&detection->peers, latency),
		    detection->limits.request_max);
}

static double bounded_(const mmx_detection_t *detection, double score)
{
	double most = SCORE_MAX_SHARE * detection->limits.failing;

	return fmin(fmax(score, 0), most);
}

/* What is left of a score makes a target that fails again suspect sooner. */
static void clear_(mmx_detection_t *detection)
{
	double left = CLEARED_SHARE * detection->limits.suspect;

	detection->latency = fmin(detection->latency, left);
	detection->errors = fmin(detection->errors, left);
	detection->refused = false;
	detection->hold_until = 0;
	detection->held = 0;
	detection->trials = 0;
	detection->cleared = true;
}

static void count_trial_(mmx_detection_t *detection, bool good)
{
	if (!good) {
		detection->trials = 0;
		return;
	}
	if (++detection->trials >= MMX_DETECTION_TRIALS)
		clear_(detection);
}

bool mmx_detection_finish(mmx_detection_t *detection,
			  mmx_detection_request_t *request, mmx_result_t result)
{
	mmx_time_t latency = mmx_clock_now(detection->clock) - request->started;
	double excess =
		evidence_of_(detection, latency) - detection->limits.drift;
	bool good = result == MMX_RESULT_SUCCESS && excess <= 0;

	assert(result < MMX_RESULT_COUNT);
	TAILQ_REMOVE(&detection->requests, request, entry);
	detection->in_progress--;
	detection->trials_running -= request->trial;
	/* Errors may be returned early and abandoned requests are censored:
	 * a short latency of either does not speak for the target. */
	if (result != MMX_RESULT_SUCCESS)
		excess = fmax(excess, 0);
	detection->latency = bounded_(detection, detection->latency + excess);
	if (result == MMX_RESULT_ABANDONED &&
	    excess >= detection->limits.suspect_age)
		detection->hold_until =
			mmx_clock_now(detection->clock) + HOLD_US;
	if (result == MMX_RESULT_ERROR)
		detection->errors = bounded_(
			detection, detection->errors + detection->error_step);
	if (result == MMX_RESULT_SUCCESS)
		detection->errors = bounded_(
			detection, detection->errors + detection->success_step);
	if (request->trial || detection->refused || detection->hold_until)
		count_trial_(detection, good);
	return good;
}

void mmx_detection_connection_refused(mmx_detection_t *detection)
{
	detection->refused = true;
	detection->trials = 0;
}

/* Evidence of the requests in progress, each as if it completed now, as far
 * as it exceeds the drift. */
static double age_score_(const mmx_detection_t *detection, mmx_time_t now)
{
	const mmx_detection_request_t *request;
	double sum = 0;
	double excess;

	TAILQ_FOREACH (request, &detection->requests, entry) {
		excess = evidence_of_(detection, now - request->started) -
			 detection->limits.drift;
		/* The list is in order of start: the rest is younger. */
		if (excess <= 0)
			break;
		sum += excess;
	}
	return sum;
}

static void decay_(mmx_detection_t *detection, mmx_time_t now)
{
	mmx_time_t half_life = detection->level == MMX_HEALTH_HEALTHY
				       ? DECAY_HALF_LIFE_US
				       : DECAY_SUSPECT_HALF_LIFE_US;
	double halves =
		(double)(now - detection->evaluated) / (double)half_life;
	double factor;

	detection->evaluated = now;
	/* A failing target is cleared by requests only, never by time. */
	if (detection->level == MMX_HEALTH_FAILING ||
	    (detection->latency <= 0 && detection->errors <= 0))
		return;
	factor = exp2(-halves);
	detection->latency *= factor;
	detection->errors *= factor;
}

static mmx_health_t level_(const mmx_detection_t *detection)
{
	const mmx_detection_thresholds_t *limits = &detection->limits;

	if (detection->score >= limits->failing)
		return MMX_HEALTH_FAILING;
	if (detection->level == MMX_HEALTH_HEALTHY) {
		if (detection->score >= limits->suspect ||
		    detection->age >= limits->suspect_age ||
		    detection->hold_until)
			return MMX_HEALTH_SUSPECT;
		return MMX_HEALTH_HEALTHY;
	}
	if (!detection->hold_until &&
	    detection->score < CLEAR_SHARE * limits->suspect &&
	    detection->age < CLEAR_SHARE * limits->suspect_age)
		return MMX_HEALTH_HEALTHY;
	return detection->level;
}

static mmx_evidence_kind_t score_(mmx_detection_t *detection)
{
	double latency =
		bounded_(detection, detection->latency + detection->age);

	if (detection->refused) {
		detection->score = SCORE_MAX_SHARE * detection->limits.failing;
		return MMX_EVIDENCE_REFUSED;
	}
	detection->score = fmax(latency, detection->errors);
	if (detection->errors > latency)
		return MMX_EVIDENCE_ERRORS;
	return detection->age > detection->latency ? MMX_EVIDENCE_AGE
						   : MMX_EVIDENCE_LATENCY;
}

static void record_(mmx_detection_t *detection, mmx_evidence_kind_t kind,
		    mmx_time_t now)
{
	const mmx_detection_thresholds_t *limits = &detection->limits;
	mmx_health_evidence_t *evidence = &detection->evidence;

	evidence->kind = kind;
	evidence->value = detection->score;
	evidence->time = now;
	evidence->threshold = limits->failing;
	if (detection->level == MMX_HEALTH_SUSPECT) {
		evidence->threshold = limits->suspect;
		if (detection->score < limits->suspect) {
			evidence->kind = MMX_EVIDENCE_AGE;
			evidence->value = fmax(detection->age, detection->held);
			evidence->threshold = limits->suspect_age;
		}
	}
	if (detection->level == MMX_HEALTH_HEALTHY) {
		evidence->threshold = CLEAR_SHARE * limits->suspect;
		if (detection->cleared)
			evidence->kind = MMX_EVIDENCE_TRIALS;
	}
}

bool mmx_detection_evaluate(mmx_detection_t *detection)
{
	mmx_time_t now = mmx_clock_now(detection->clock);
	mmx_health_t before = detection->level;
	mmx_evidence_kind_t kind;

	decay_(detection, now);
	if (now >= detection->hold_until) {
		detection->hold_until = 0;
		detection->held = 0;
	}
	detection->age = age_score_(detection, now);
	kind = score_(detection);
	detection->level = level_(detection);
	if (detection->level != before)
		record_(detection, kind, now);
	detection->cleared = false;
	return detection->level != before;
}

double mmx_detection_score(const mmx_detection_t *detection)
{
	return detection->score;
}

mmx_health_t mmx_detection_level(const mmx_detection_t *detection)
{
	return detection->level;
}

const mmx_health_evidence_t *
mmx_detection_evidence(const mmx_detection_t *detection)
{
	return &detection->evidence;
}

size_t mmx_detection_in_progress(const mmx_detection_t *detection)
{
	return detection->in_progress;
}

bool mmx_detection_trial_allowed(const mmx_detection_t *detection)
{
	return !detection->trials_running;
}
