/**
 * Latency distribution of a service: summaries, windows and the model.
 *
 * An entry adds each completion to the window of its service. At most about
 * once a second it sends an exit the summary of the completions at all other
 * targets of the service. The exit keeps the latest summaries of a few entries,
 * merges them and prepares a model. The model gives the evidence -ln S(x) of a
 * latency x, where S is the survival function. For a healthy target this
 * evidence is distributed as Exp(1).
 *
 * All types here are plain values without allocations; zero-initialised values
 * are empty and valid.
 */
#ifndef MASTICMUX_LATENCY_H
#define MASTICMUX_LATENCY_H

#include "masticmux/types.h"

/** Number of buckets, two per octave; bucket 0 holds all lower latencies. */
#define MMX_LATENCY_BUCKETS 42
/** Lower bound of bucket 1, microseconds. The last one starts at 105 s. */
#define MMX_LATENCY_LOWEST_US 100
/** Time after which a window rotates; a summary covers one to two of them. */
#define MMX_LATENCY_WINDOW_US (60 * MMX_US_PER_S)
/** Groups of targets that a window counts separately, to exclude one. */
#define MMX_LATENCY_GROUPS 4
/** Entries whose summaries an exit keeps for one service. */
#define MMX_LATENCY_SOURCES 8
/** Completions below which a model gives no evidence. */
#define MMX_LATENCY_SAMPLES_MIN 100

/** Histogram of completions; 176 bytes, so that it fits into a datagram. */
typedef struct mmx_latency_summary_t {
	uint32_t count[MMX_LATENCY_BUCKETS]; /**< successes by latency */
	uint32_t requests;		     /**< successes and errors */
	uint32_t errors;
} mmx_latency_summary_t;

/** Index of the bucket of a latency in microseconds, 0 or more. */
size_t mmx_latency_bucket(mmx_time_t latency);

/**
 * Adds one completion. The latency of an error is not counted, since a target
 * that fails early is not fast.
 */
void mmx_latency_summary_add(mmx_latency_summary_t *summary, mmx_time_t latency,
			     bool error);

/** Adds all completions of another summary; counts saturate. */
void mmx_latency_summary_merge(mmx_latency_summary_t *summary,
			       const mmx_latency_summary_t *other);

/** Completions of a service at an entry in the last one to two windows. */
typedef struct mmx_latency_window_t {
	mmx_latency_summary_t current[MMX_LATENCY_GROUPS];
	mmx_latency_summary_t previous[MMX_LATENCY_GROUPS];
	mmx_time_t started; /**< time at which current began */
} mmx_latency_window_t;

/**
 * Adds one completion at a target.
 *
 * @param latency  microseconds, 0 or more, asserted unless error is set
 * @param now      not before the time of an earlier call
 */
void mmx_latency_window_add(mmx_latency_window_t *window,
			    mmx_target_id_t target, mmx_time_t latency,
			    bool error, mmx_time_t now);

/**
 * Summary of the completions at other targets: of the groups without the target
 * or, if these are empty, of its own group.
 */
void mmx_latency_window_others(mmx_latency_window_t *window,
			       mmx_target_id_t target, mmx_time_t now,
			       mmx_latency_summary_t *summary);

/** Latest summaries of one service that an exit received from the entries. */
typedef struct mmx_latency_sources_t {
	mmx_latency_summary_t summary[MMX_LATENCY_SOURCES];
	mmx_node_id_t source[MMX_LATENCY_SOURCES];
	mmx_time_t received[MMX_LATENCY_SOURCES];
	uint8_t count; /**< 0..MMX_LATENCY_SOURCES in use */
} mmx_latency_sources_t;

/**
 * Replaces the summary of a source. A new source is added; if there are
 * MMX_LATENCY_SOURCES already, it replaces the one with the oldest summary.
 */
void mmx_latency_sources_set(mmx_latency_sources_t *sources,
			     mmx_node_id_t source,
			     const mmx_latency_summary_t *summary,
			     mmx_time_t now);

/** Merges the summaries that are at most two windows old. */
void mmx_latency_sources_merge(const mmx_latency_sources_t *sources,
			       mmx_time_t now, mmx_latency_summary_t *summary);

/** Model of a summary, from which evidence is computed. */
typedef struct mmx_latency_model_t {
	float evidence[MMX_LATENCY_BUCKETS + 1]; /**< at lower bounds, nats */
	uint8_t tail;	  /**< bucket from which the tail is extrapolated */
	float exponent;	  /**< of the power law of the tail */
	float error_rate; /**< smoothed, above 0 and below 1 */
	bool valid;	  /**< false: too few completions */
} mmx_latency_model_t;

/**
 * Prepares a model. The tail beyond the slowest MMX_LATENCY_SAMPLES_MIN / 2
 * completions follows a power law with the lower confidence bound of Hill's
 * estimate, so that a tail heavier than that of the samples is not taken for
 * an outlier.
 */
void mmx_latency_model_prepare(mmx_latency_model_t *model,
			       const mmx_latency_summary_t *summary);

/**
 * Evidence of a latency, -ln S(latency).
 *
 * @param latency  microseconds, 0 or more
 * @return nats, 0 or more; 0 if the model is not valid
 */
double mmx_latency_model_evidence(const mmx_latency_model_t *model,
				  mmx_time_t latency);

#endif
