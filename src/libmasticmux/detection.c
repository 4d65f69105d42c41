#include "masticmux/detection.h"

#include <assert.h>
#include <glib.h>
#include <math.h>

/* A CUSUM of Exp(1) values with drift k exceeds a threshold h with a
 * probability of about exp(-t h) per request, where t solves
 * k = -ln(1 - t) / t: t = 0.80 for k = 2 and t = 0.94 for k = 3. At weight 100
 * the thresholds below give less than one false alarm in 5e7 requests, a day's
 * traffic of both customers together. */
#define DRIFT_WEIGHT_0 3.0
#define DRIFT_WEIGHT_100 2.0
#define FAILING_WEIGHT_0 30.0
#define FAILING_WEIGHT_100 24.0
/* Threshold of a suspect target, as a share of the failing threshold. It is
 * lower since a suspect target is only chosen after others. */
#define SUSPECT_RATIO 0.6
/* Most evidence of one request, as a share of the failing threshold. One
 * request, however old, must not make a target failing, but two may: an avoided
 * target receives few more requests. */
#define REQUEST_MAX_RATIO 0.6
/* Evidence of the age of requests in progress, in excess of the drift, from
 * which a target is suspect. One request in 4e5 (weight 0) or 2e3 (weight 100)
 * of a healthy target reaches it. One request has to be enough: a stalled
 * target may hold only one, and a second one would have to be sent to it. */
#define SUSPECT_AGE_WEIGHT_0 10.0
#define SUSPECT_AGE_WEIGHT_100 5.5
/* Upper bound of a score, as a multiple of the failing threshold. It limits the
 * number of good requests that a recovered target needs. */
#define SCORE_MAX_RATIO 1.5
/* Hysteresis: a suspect target is healthy again below this share of the
 * threshold, so that a score near the threshold does not change the level
 * often. */
#define CLEAR_RATIO 0.5
/* Time for which a target stays suspect after an old request to it was
 * abandoned, unless trials clear it earlier. */
#define SUSPECT_HOLD_US (60 * MMX_US_PER_S)
/* Share of the suspect threshold that scores are reduced to when trials clear a
 * target. It is below CLEAR_RATIO, so that the target becomes healthy. */
#define CLEARED_RATIO 0.45
/* Half-life of scores. It is longer for a suspect target, which receives few
 * requests: trials should clear it before the decay does. */
#define DECAY_HALF_LIFE_US (10 * MMX_US_PER_S)
#define DECAY_SUSPECT_HALF_LIFE_US (60 * MMX_US_PER_S)
/* Error rate that is assumed for a failing target: a multiple of the peers'
 * rate within these bounds. */
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
	mmx_detection_thresholds_t thresholds;
	mmx_latency_model_t peers;
	TAILQ_HEAD(, mmx_detection_request_t) requests;
	size_t in_progress;
	size_t trials_in_progress;
	double latency;	    /* CUSUM of completed requests */
	double errors;	    /* CUSUM of the log-likelihood ratios of results */
	double error_llr;   /* log-likelihood ratio of an error */
	double success_llr; /* log-likelihood ratio of a success */
	double score;	    /* nats, as of the last evaluation */
	double age;	    /* evidence of the requests in progress, nats */
	mmx_health_t level;
	mmx_health_evidence_t evidence;
	mmx_time_t evaluated;
	uint8_t trials;	       /* consecutive successful trials */
	mmx_time_t hold_until; /* suspect until then; 0: no hold */
	double held;  /* evidence of the abandoned request, nats; 0: none */
	bool refused; /* a connection was refused and no trials cleared it */
	bool cleared; /* by trials, since the last evaluation */
};

void mmx_detection_thresholds(uint8_t weight,
			      mmx_detection_thresholds_t *thresholds)
{
	double fraction = weight / 100.0;

	assert(weight <= 100);
	thresholds->drift =
		DRIFT_WEIGHT_0 + fraction * (DRIFT_WEIGHT_100 - DRIFT_WEIGHT_0);
	thresholds->failing =
		FAILING_WEIGHT_0 +
		fraction * (FAILING_WEIGHT_100 - FAILING_WEIGHT_0);
	thresholds->suspect = SUSPECT_RATIO * thresholds->failing;
	thresholds->suspect_age =
		SUSPECT_AGE_WEIGHT_0 +
		fraction * (SUSPECT_AGE_WEIGHT_100 - SUSPECT_AGE_WEIGHT_0);
	thresholds->request_max = REQUEST_MAX_RATIO * thresholds->failing;
}

/* Sets the log-likelihood ratios of a failing against a healthy target. */
static void set_error_llrs_(mmx_detection_t *detection, double healthy)
{
	double failing = fmax(ERROR_RATE_FAILING, ERROR_RATE_FACTOR * healthy);

	failing = fmin(failing, ERROR_RATE_MAX);
	if (healthy >= failing) {
		detection->error_llr = 0;
		detection->success_llr = 0;
		return;
	}
	detection->error_llr = log(failing / healthy);
	detection->success_llr = log((1 - failing) / (1 - healthy));
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
	mmx_detection_thresholds(weight, &detection->thresholds);
}

void mmx_detection_set_peers(mmx_detection_t *detection,
			     const mmx_latency_summary_t *peers)
{
	mmx_latency_model_prepare(&detection->peers, peers);
	set_error_llrs_(detection, detection->peers.error_rate);
}

void mmx_detection_start(mmx_detection_t *detection,
			 mmx_detection_request_t *request, bool trial)
{
	request->started = mmx_clock_now(detection->clock);
	request->trial = trial;
	TAILQ_INSERT_TAIL(&detection->requests, request, entry);
	detection->in_progress++;
	detection->trials_in_progress += trial;
}

static double request_evidence_(const mmx_detection_t *detection,
				mmx_time_t latency)
{
	return fmin(mmx_latency_model_evidence(&detection->peers, latency),
		    detection->thresholds.request_max);
}

static double bound_score_(const mmx_detection_t *detection, double score)
{
	double most = SCORE_MAX_RATIO * detection->thresholds.failing;

	return fmin(fmax(score, 0), most);
}

/* Part of the score is kept, so that a target that fails again becomes suspect
 * sooner. */
static void clear_scores_(mmx_detection_t *detection)
{
	double left = CLEARED_RATIO * detection->thresholds.suspect;

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
		clear_scores_(detection);
}

bool mmx_detection_finish(mmx_detection_t *detection,
			  mmx_detection_request_t *request, mmx_result_t result)
{
	mmx_time_t latency = mmx_clock_now(detection->clock) - request->started;
	double excess = request_evidence_(detection, latency) -
			detection->thresholds.drift;
	bool good = result == MMX_RESULT_SUCCESS && excess <= 0;

	assert(result < MMX_RESULT_COUNT);
	TAILQ_REMOVE(&detection->requests, request, entry);
	detection->in_progress--;
	detection->trials_in_progress -= request->trial;
	/* Errors may be returned early, and the latency of an abandoned request
	 * is censored: a short latency of either is no good evidence. */
	if (result != MMX_RESULT_SUCCESS)
		excess = fmax(excess, 0);
	detection->latency =
		bound_score_(detection, detection->latency + excess);
	if (result == MMX_RESULT_ABANDONED &&
	    excess >= detection->thresholds.suspect_age)
		detection->hold_until =
			mmx_clock_now(detection->clock) + SUSPECT_HOLD_US;
	if (result == MMX_RESULT_ERROR)
		detection->errors = bound_score_(
			detection, detection->errors + detection->error_llr);
	if (result == MMX_RESULT_SUCCESS)
		detection->errors = bound_score_(
			detection, detection->errors + detection->success_llr);
	if (request->trial || detection->refused || detection->hold_until)
		count_trial_(detection, good);
	return good;
}

void mmx_detection_connection_refused(mmx_detection_t *detection)
{
	detection->refused = true;
	detection->trials = 0;
}

/* Sums up the evidence of the requests in progress in excess of the drift, as
 * if each of them completed now. */
static double age_score_(const mmx_detection_t *detection, mmx_time_t now)
{
	const mmx_detection_request_t *request;
	double sum = 0;
	double excess;

	TAILQ_FOREACH (request, &detection->requests, entry) {
		excess = request_evidence_(detection, now - request->started) -
			 detection->thresholds.drift;
		/* The list is in order of start: the others are younger. */
		if (excess <= 0)
			break;
		sum += excess;
	}
	return sum;
}

static void decay_scores_(mmx_detection_t *detection, mmx_time_t now)
{
	mmx_time_t half_life = detection->level == MMX_HEALTH_HEALTHY
				       ? DECAY_HALF_LIFE_US
				       : DECAY_SUSPECT_HALF_LIFE_US;
	double halves =
		(double)(now - detection->evaluated) / (double)half_life;
	double factor;

	detection->evaluated = now;
	/* A failing target is cleared by successful requests, not by time. */
	if (detection->level == MMX_HEALTH_FAILING ||
	    (detection->latency <= 0 && detection->errors <= 0))
		return;
	factor = exp2(-halves);
	detection->latency *= factor;
	detection->errors *= factor;
}

static mmx_health_t next_level_(const mmx_detection_t *detection)
{
	const mmx_detection_thresholds_t *thresholds = &detection->thresholds;

	if (detection->score >= thresholds->failing)
		return MMX_HEALTH_FAILING;
	if (detection->level == MMX_HEALTH_HEALTHY) {
		if (detection->score >= thresholds->suspect ||
		    detection->age >= thresholds->suspect_age ||
		    detection->hold_until)
			return MMX_HEALTH_SUSPECT;
		return MMX_HEALTH_HEALTHY;
	}
	if (!detection->hold_until &&
	    detection->score < CLEAR_RATIO * thresholds->suspect &&
	    detection->age < CLEAR_RATIO * thresholds->suspect_age)
		return MMX_HEALTH_HEALTHY;
	return detection->level;
}

static mmx_evidence_kind_t update_score_(mmx_detection_t *detection)
{
	double latency =
		bound_score_(detection, detection->latency + detection->age);

	if (detection->refused) {
		detection->score =
			SCORE_MAX_RATIO * detection->thresholds.failing;
		return MMX_EVIDENCE_REFUSED;
	}
	detection->score = fmax(latency, detection->errors);
	if (detection->errors > latency)
		return MMX_EVIDENCE_ERRORS;
	return detection->age > detection->latency ? MMX_EVIDENCE_AGE
						   : MMX_EVIDENCE_LATENCY;
}

static void record_evidence_(mmx_detection_t *detection,
			     mmx_evidence_kind_t kind, mmx_time_t now)
{
	const mmx_detection_thresholds_t *thresholds = &detection->thresholds;
	mmx_health_evidence_t *evidence = &detection->evidence;

	evidence->kind = kind;
	evidence->value = detection->score;
	evidence->time = now;
	evidence->threshold = thresholds->failing;
	if (detection->level == MMX_HEALTH_SUSPECT) {
		evidence->threshold = thresholds->suspect;
		if (detection->score < thresholds->suspect) {
			evidence->kind = MMX_EVIDENCE_AGE;
			evidence->value = fmax(detection->age, detection->held);
			evidence->threshold = thresholds->suspect_age;
		}
	}
	if (detection->level == MMX_HEALTH_HEALTHY) {
		evidence->threshold = CLEAR_RATIO * thresholds->suspect;
		if (detection->cleared)
			evidence->kind = MMX_EVIDENCE_TRIALS;
	}
}

bool mmx_detection_evaluate(mmx_detection_t *detection)
{
	mmx_time_t now = mmx_clock_now(detection->clock);
	mmx_health_t before = detection->level;
	mmx_evidence_kind_t kind;

	decay_scores_(detection, now);
	if (now >= detection->hold_until) {
		detection->hold_until = 0;
		detection->held = 0;
	}
	detection->age = age_score_(detection, now);
	kind = update_score_(detection);
	detection->level = next_level_(detection);
	if (detection->level != before)
		record_evidence_(detection, kind, now);
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
	return !detection->trials_in_progress;
}
