/**
 * Latency distribution of a service: summary, windows, and survival.
 *
 * An entry adds each completion to the window of its service. It sends to an
 * exit, at most about once a second, the summary of the completions at all
 * other targets of the service. The exit keeps the latest summary of a few
 * entries, merges them and prepares a model, which gives the evidence
 * -ln S(x) of a latency x. For a healthy target this evidence is distributed
 * as Exp(1).
 *
 * All types here are plain values without allocations; zero-initialised
 * values are empty and valid.
 */
#ifndef MASTICMUX_LATENCY_H
#define MASTICMUX_LATENCY_H

#include "masticmux/types.h"

/** Buckets double in width every two; bucket 0 also holds all below. */
#define MMX_LATENCY_BUCKETS 42
/** Lower bound of bucket 1, microseconds. The last one starts at 105 s. */
#define MMX_LATENCY_LOWEST_US 100
/** Time after which a window is rotated: a view covers one to two of it. */
#define MMX_LATENCY_WINDOW_US (60 * MMX_US_PER_S)
/** Groups of targets that a window tells apart, to leave one out. */
#define MMX_LATENCY_GROUPS 4
/** Entries whose summaries an exit keeps for one service. */
#define MMX_LATENCY_SOURCES 8
/** Completions needed before a model judges anything. */
#define MMX_LATENCY_SAMPLES_MIN 100

/** Completions by latency; 176 bytes, small enough for one datagram. */
typedef struct mmx_latency_summary_t {
	uint32_t count[MMX_LATENCY_BUCKETS]; /**< successes by latency */
	uint32_t requests;		     /**< successes and errors */
	uint32_t errors;
} mmx_latency_summary_t;

/** Index of the bucket of a latency in microseconds, 0 or more. */
size_t mmx_latency_bucket(mmx_time_t latency);

/**
 * Adds one completion. Latencies of errors are not counted, since a target
 * that fails early is not fast.
 */
void mmx_latency_summary_add(mmx_latency_summary_t *summary, mmx_time_t latency,
			     bool error);

/** Adds all completions of another summary; counts saturate. */
void mmx_latency_summary_merge(mmx_latency_summary_t *summary,
			       const mmx_latency_summary_t *other);

/** The last one to two windows of a service at an entry. */
typedef struct mmx_latency_window_t {
	mmx_latency_summary_t current[MMX_LATENCY_GROUPS];
	mmx_latency_summary_t previous[MMX_LATENCY_GROUPS];
	mmx_time_t started;
} mmx_latency_window_t;

/**
 * Adds one completion at a target.
 *
 * @param now  not before the time of an earlier call
 */
void mmx_latency_window_add(mmx_latency_window_t *window,
			    mmx_target_id_t target, mmx_time_t latency,
			    bool error, mmx_time_t now);

/**
 * Summary of the completions at other targets: those of the groups that do
 * not hold the target or, when these are empty, of all groups.
 */
void mmx_latency_window_others(mmx_latency_window_t *window,
			       mmx_target_id_t target, mmx_time_t now,
			       mmx_latency_summary_t *summary);

/** Latest summaries of one service that an exit received from entries. */
typedef struct mmx_latency_sources_t {
	mmx_latency_summary_t summary[MMX_LATENCY_SOURCES];
	mmx_node_id_t source[MMX_LATENCY_SOURCES];
	mmx_time_t received[MMX_LATENCY_SOURCES];
	uint8_t count; /**< 0..MMX_LATENCY_SOURCES in use */
} mmx_latency_sources_t;

/** Replaces the summary of a source, or the oldest one if it is new. */
void mmx_latency_sources_set(mmx_latency_sources_t *sources,
			     mmx_node_id_t source,
			     const mmx_latency_summary_t *summary,
			     mmx_time_t now);

/** Merges the summaries that are at most two windows old. */
void mmx_latency_sources_merge(const mmx_latency_sources_t *sources,
			       mmx_time_t now, mmx_latency_summary_t *summary);

/** A summary prepared for evidence. */
typedef struct mmx_latency_model_t {
	float evidence[MMX_LATENCY_BUCKETS + 1]; /**< at lower bounds */
	uint8_t tail;	  /**< bucket from which the tail is extrapolated */
	float exponent;	  /**< of the power law of the tail */
	float error_rate; /**< smoothed, above 0 and below 1 */
	bool valid;	  /**< false: too few completions */
} mmx_latency_model_t;

/**
 * Prepares a model. The tail beyond the last MMX_LATENCY_SAMPLES_MIN / 2
 * completions follows a power law with the lower confidence bound of Hill's
 * estimate, so that a tail heavier than what was seen is not an outlier.
 */
void mmx_latency_model_prepare(mmx_latency_model_t *model,
			       const mmx_latency_summary_t *summary);

/**
 * Evidence of a latency, -ln S(latency).
 *
 * @param latency  microseconds, 0 or more
 * @return 0 or more; 0 when the model is not valid
 */
double mmx_latency_model_evidence(const mmx_latency_model_t *model,
				  mmx_time_t latency);

#endif
