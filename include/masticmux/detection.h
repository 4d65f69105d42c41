/**
 * Detection: judges one target from its real requests, at the exit beside it.
 *
 * Evidence is the latency of completed requests, the age of requests in
 * progress and errors, each compared with the service's distribution at other
 * targets (see latency.h). Probes are no evidence. Each kind accumulates in a
 * CUSUM; the score of a target is the largest of them, and the level follows
 * from thresholds that depend on the service's detection weight.
 *
 * Usage: create one per target; set the peers' summary when it changes; start
 * and finish each request; evaluate every MMX_DETECTION_PERIOD_US and, when
 * the level changed, tell the entries. Destroy after the last request has
 * finished. Does no I/O.
 */
#ifndef MASTICMUX_DETECTION_H
#define MASTICMUX_DETECTION_H

#include <sys/queue.h>

#include "masticmux/clock.h"
#include "masticmux/latency.h"

/** Time between evaluations. */
#define MMX_DETECTION_PERIOD_US (50 * MMX_US_PER_MS)
/** Consecutive trial requests that clear a target. */
#define MMX_DETECTION_TRIALS 3

/**
 * Level of suspicion. A suspect target keeps its capacity but is chosen after
 * others; a failing one is ejected if the floor allows it.
 */
typedef enum mmx_health_t {
	MMX_HEALTH_HEALTHY,
	MMX_HEALTH_SUSPECT,
	MMX_HEALTH_FAILING,
	MMX_HEALTH_COUNT
} mmx_health_t;

extern const char *const mmx_health_string[MMX_HEALTH_COUNT];

/** What a level was derived from. */
typedef enum mmx_evidence_kind_t {
	MMX_EVIDENCE_NONE,
	MMX_EVIDENCE_LATENCY,	    /**< completed requests too slow */
	MMX_EVIDENCE_AGE,	    /**< requests in progress too old */
	MMX_EVIDENCE_ERRORS,	    /**< more errors than at peers */
	MMX_EVIDENCE_REFUSED,	    /**< connection refused */
	MMX_EVIDENCE_TRIALS,	    /**< trial requests succeeded */
	MMX_EVIDENCE_NO_PROGRESS,   /**< path: nothing received */
	MMX_EVIDENCE_NO_ANSWER,	    /**< path: none on a new connection */
	MMX_EVIDENCE_ATTEMPT_LOST,  /**< path: exit never saw an attempt */
	MMX_EVIDENCE_RESPONSE_LOST, /**< path: a response did not arrive */
	MMX_EVIDENCE_KIND_COUNT
} mmx_evidence_kind_t;

extern const char *const mmx_evidence_kind_string[MMX_EVIDENCE_KIND_COUNT];

/** Evidence that led to the current level, for "masticmux explain". */
typedef struct mmx_health_evidence_t {
	mmx_evidence_kind_t kind;
	double value;	  /**< nats; no progress: seconds; losses: a count */
	double threshold; /**< what it was compared with, same unit */
	mmx_time_t time;  /**< when the level was reached */
} mmx_health_evidence_t;

/** Thresholds of one detection weight. */
typedef struct mmx_detection_thresholds_t {
	double drift;	/**< evidence per request that is expected, nats */
	double suspect; /**< score from which a target is suspect, nats */
	double failing; /**< score from which a target is failing, nats */
	double suspect_age; /**< age of requests that makes a target suspect, nats */
	double request_max; /**< most that a single request contributes, nats */
} mmx_detection_thresholds_t;

/**
 * Thresholds of a weight.
 *
 * @param weight  0 (avoid false ejections) .. 100 (detect fast), asserted
 */
void mmx_detection_thresholds(uint8_t weight,
			      mmx_detection_thresholds_t *limits);

/** How a request ended. */
typedef enum mmx_result_t {
	MMX_RESULT_SUCCESS,
	MMX_RESULT_ERROR,
	/** Nobody waits any more: the latency is a lower bound. */
	MMX_RESULT_ABANDONED,
	MMX_RESULT_COUNT
} mmx_result_t;

extern const char *const mmx_result_string[MMX_RESULT_COUNT];

/** A request in progress, embedded in its owner; members are private. */
typedef struct mmx_detection_request_t {
	TAILQ_ENTRY(mmx_detection_request_t) entry;
	mmx_time_t started;
	bool trial;
} mmx_detection_request_t;

typedef struct mmx_detection_t mmx_detection_t;

/**
 * Creates the judgement of one target.
 *
 * @param clock   outlives the result
 * @param weight  0..100, asserted
 */
mmx_detection_t *mmx_detection_create(const mmx_clock_t *clock, uint8_t weight);

/** Destroys it; no request may be in progress. NULL is allowed. */
void mmx_detection_destroy(mmx_detection_t *detection);

/** Changes the weight when the configuration does. */
void mmx_detection_set_weight(mmx_detection_t *detection, uint8_t weight);

/** Sets the distribution at the service's other targets. */
void mmx_detection_set_peers(mmx_detection_t *detection,
			     const mmx_latency_summary_t *peers);

/**
 * A request to the target starts now.
 *
 * @param request  kept until mmx_detection_finish()
 * @param trial    the request is a trial of an ejected target
 */
void mmx_detection_start(mmx_detection_t *detection,
			 mmx_detection_request_t *request, bool trial);

/**
 * A request has ended now. Valid once after mmx_detection_start().
 *
 * @return true for a success that was not slow compared with the peers; this
 *         is what counts as a success of a trial, also at the entry
 */
bool mmx_detection_finish(mmx_detection_t *detection,
			  mmx_detection_request_t *request,
			  mmx_result_t result);

/**
 * True when no trial request is in progress. The exit refuses a trial
 * otherwise, so that many entries together send one at a time.
 */
bool mmx_detection_trial_allowed(const mmx_detection_t *detection);

/**
 * The target refused a connection: it is failing until
 * MMX_DETECTION_TRIALS consecutive requests of any kind succeed.
 */
void mmx_detection_connection_refused(mmx_detection_t *detection);

/**
 * Evaluates the requests in progress and updates score and level.
 *
 * @return true when the level differs from that of the last evaluation
 */
bool mmx_detection_evaluate(mmx_detection_t *detection);

/** Score as of the last evaluation, nats, 0 or more; ranks suspects. */
double mmx_detection_score(const mmx_detection_t *detection);

/** Level as of the last evaluation. */
mmx_health_t mmx_detection_level(const mmx_detection_t *detection);

/** Evidence that led to the level; valid until the next evaluation. */
const mmx_health_evidence_t *
mmx_detection_evidence(const mmx_detection_t *detection);

/** Number of requests in progress. */
size_t mmx_detection_in_progress(const mmx_detection_t *detection);

#endif
