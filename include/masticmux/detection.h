/**
 * Detection: passive outlier detection for one target, at its exit.
 *
 * Evidence is taken from real requests, not from probes: the latency of
 * completed requests, the age of requests in progress, and errors. Latencies
 * and error rates are compared with those at the other targets of the service,
 * its peers (see latency.h). Latencies and errors accumulate in a CUSUM each,
 * and the age of requests in progress adds to the latencies. The larger sum is
 * the score of the target. Thresholds, which depend on the service's detection
 * weight, turn it into a health level.
 *
 * Usage: create one per target; set the peers' summary when it changes; start
 * and finish each request; evaluate every MMX_DETECTION_PERIOD_US and report a
 * changed level to the entries. Destroy after the last request has finished.
 * Does no I/O.
 */
#ifndef MASTICMUX_DETECTION_H
#define MASTICMUX_DETECTION_H

#include <sys/queue.h>

#include "masticmux/clock.h"
#include "masticmux/latency.h"

/** Time between evaluations. */
#define MMX_DETECTION_PERIOD_US (50 * MMX_US_PER_MS)
/** Consecutive successful trial requests after which a target is cleared. */
#define MMX_DETECTION_TRIALS 3

/**
 * Health level of a target or path. A suspect target keeps its capacity but is
 * chosen after others; a failing one is ejected if the floor allows it.
 */
typedef enum mmx_health_t {
	MMX_HEALTH_HEALTHY,
	MMX_HEALTH_SUSPECT,
	MMX_HEALTH_FAILING,
	MMX_HEALTH_COUNT
} mmx_health_t;

extern const char *const mmx_health_string[MMX_HEALTH_COUNT];

/** Kind of evidence that led to a level. */
typedef enum mmx_evidence_kind_t {
	MMX_EVIDENCE_NONE,
	MMX_EVIDENCE_LATENCY,	    /**< completed requests were slow */
	MMX_EVIDENCE_AGE,	    /**< requests in progress are old */
	MMX_EVIDENCE_ERRORS,	    /**< more errors than at peers */
	MMX_EVIDENCE_REFUSED,	    /**< connection refused */
	MMX_EVIDENCE_TRIALS,	    /**< trial requests succeeded */
	MMX_EVIDENCE_NO_PROGRESS,   /**< path: nothing was received */
	MMX_EVIDENCE_NO_ANSWER,	    /**< path: none on a new connection */
	MMX_EVIDENCE_ATTEMPT_LOST,  /**< path: exit did not get an attempt */
	MMX_EVIDENCE_RESPONSE_LOST, /**< path: entry did not get a response */
	MMX_EVIDENCE_KIND_COUNT
} mmx_evidence_kind_t;

extern const char *const mmx_evidence_kind_string[MMX_EVIDENCE_KIND_COUNT];

/** Evidence that led to the current level, for "masticmux explain". */
typedef struct mmx_health_evidence_t {
	mmx_evidence_kind_t kind;
	double value;	  /**< nats; no progress: seconds; losses: a count */
	double threshold; /**< that value was compared with, same unit */
	mmx_time_t time;  /**< at which the level was reached */
} mmx_health_evidence_t;

/** Detection thresholds of one weight. */
typedef struct mmx_detection_thresholds_t {
	double drift;	/**< subtracted from the evidence per request, nats */
	double suspect; /**< score from which a target is suspect, nats */
	double failing; /**< score from which a target is failing, nats */
	double suspect_age; /**< age evidence that makes it suspect, nats */
	double request_max; /**< bound on the evidence of a request, nats */
} mmx_detection_thresholds_t;

/**
 * Computes the thresholds of a weight.
 *
 * @param weight  0 (avoid false ejections) .. 100 (detect fast), asserted
 */
void mmx_detection_thresholds(uint8_t weight,
			      mmx_detection_thresholds_t *thresholds);

/** How a request ended. */
typedef enum mmx_result_t {
	MMX_RESULT_SUCCESS,
	MMX_RESULT_ERROR,
	/** No one waits for the response any more; the latency is a lower
	 * bound. */
	MMX_RESULT_ABANDONED,
	MMX_RESULT_COUNT
} mmx_result_t;

extern const char *const mmx_result_string[MMX_RESULT_COUNT];

/** A request in progress, embedded in the caller's; members are private. */
typedef struct mmx_detection_request_t {
	TAILQ_ENTRY(mmx_detection_request_t) entry;
	mmx_time_t started;
	bool trial;
} mmx_detection_request_t;

typedef struct mmx_detection_t mmx_detection_t;

/**
 * Creates the detection of one target.
 *
 * @param clock   outlives the result
 * @param weight  0..100, asserted
 */
mmx_detection_t *mmx_detection_create(const mmx_clock_t *clock, uint8_t weight);

/** Frees a detection without requests in progress. NULL is allowed. */
void mmx_detection_destroy(mmx_detection_t *detection);

/** Changes the weight, 0..100. */
void mmx_detection_set_weight(mmx_detection_t *detection, uint8_t weight);

/** Sets the distribution at the other targets of the service. */
void mmx_detection_set_peers(mmx_detection_t *detection,
			     const mmx_latency_summary_t *peers);

/**
 * Starts a request to the target.
 *
 * @param request  in use until mmx_detection_finish()
 * @param trial    the request is a trial of an ejected target
 */
void mmx_detection_start(mmx_detection_t *detection,
			 mmx_detection_request_t *request, bool trial);

/**
 * Ends a request. Valid once after mmx_detection_start().
 *
 * @return true for a success that was not slow compared with the peers. Only
 *         this counts as a successful trial, also at the entry.
 */
bool mmx_detection_finish(mmx_detection_t *detection,
			  mmx_detection_request_t *request,
			  mmx_result_t result);

/**
 * True if no trial request is in progress. Otherwise the exit refuses a trial,
 * so that all entries together send one at a time.
 */
bool mmx_detection_trial_allowed(const mmx_detection_t *detection);

/**
 * Reports that the target refused a connection. It is failing until
 * MMX_DETECTION_TRIALS consecutive requests, trials or not, succeed.
 */
void mmx_detection_connection_refused(mmx_detection_t *detection);

/**
 * Evaluates the requests in progress and updates score and level.
 *
 * @return true if the level has changed since the last evaluation
 */
bool mmx_detection_evaluate(mmx_detection_t *detection);

/** Score as of the last evaluation, nats, 0 or more. */
double mmx_detection_score(const mmx_detection_t *detection);

/** Level as of the last evaluation. */
mmx_health_t mmx_detection_level(const mmx_detection_t *detection);

/** Evidence that led to the level; valid until the next evaluation. */
const mmx_health_evidence_t *
mmx_detection_evidence(const mmx_detection_t *detection);

/** Number of requests in progress. */
size_t mmx_detection_in_progress(const mmx_detection_t *detection);

#endif
