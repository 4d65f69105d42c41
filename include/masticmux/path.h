/**
 * Path: judges the connection from an entry to one exit, apart from the
 * targets behind it.
 *
 * A path is suspect when nothing is received for the timeout while attempts
 * are outstanding. That alone does not tell a lost connection from a target
 * that is slow, so the entry then asks the exit on a new connection (FENCE)
 * and reports what the exit says. Attempts that the exit never saw and
 * responses that did not arrive count against the path; a running attempt
 * clears it. A path that fails is left out for a back-off.
 *
 * Usage: init; report each event at the time it happens; evaluate
 * periodically and before a choice. Does no I/O.
 */
#ifndef MASTICMUX_PATH_H
#define MASTICMUX_PATH_H

#include "masticmux/detection.h"

/** Default time without progress after which a path is suspect. */
#define MMX_PATH_TIMEOUT_US (500 * MMX_US_PER_MS)

/** What the exit said about an attempt that made no progress. */
typedef enum mmx_path_fence_result_t {
	/** In progress: the wait is the target's. */
	MMX_PATH_FENCE_RUNNING,
	/** Finished, but the response did not arrive. */
	MMX_PATH_FENCE_FINISHED,
	/** Never seen, fenced now. */
	MMX_PATH_FENCE_UNSEEN,
	/** No answer on a new connection within the timeout. */
	MMX_PATH_FENCE_NO_REPLY,
	MMX_PATH_FENCE_COUNT
} mmx_path_fence_result_t;

extern const char *const mmx_path_fence_result_string[MMX_PATH_FENCE_COUNT];

/** State of one path; members are private. */
typedef struct mmx_path_t {
	mmx_time_t timeout;
	mmx_time_t waiting_since; /**< last progress or first attempt */
	mmx_time_t failed_until;
	mmx_time_t updated;
	mmx_time_t backoff_delay;
	mmx_time_t backoff_since;
	double losses; /**< halves with time */
	uint32_t outstanding;
	mmx_health_t level;
	mmx_health_evidence_t evidence;
} mmx_path_t;

/**
 * Prepares a healthy path.
 *
 * @param timeout  microseconds without progress, above 0, asserted
 */
void mmx_path_init(mmx_path_t *path, mmx_time_t timeout, mmx_time_t now);

/** An attempt was sent. */
void mmx_path_attempt_sent(mmx_path_t *path, mmx_time_t now);

/** Something was received from the exit on this path. */
void mmx_path_progress(mmx_path_t *path, mmx_time_t now);

/** An attempt is no longer waited for; asserts that one was outstanding. */
void mmx_path_attempt_ended(mmx_path_t *path);

/** The exit was asked about an attempt on a new connection. */
void mmx_path_on_fence_result(mmx_path_t *path, mmx_path_fence_result_t answer,
			      mmx_time_t now);

/**
 * Updates the level.
 *
 * @return true when it differs from that of the last evaluation
 */
bool mmx_path_evaluate(mmx_path_t *path, mmx_time_t now);

/** Level as of the last evaluation; a failing path must not be chosen. */
mmx_health_t mmx_path_level(const mmx_path_t *path);

/** True when the entry has to ask the exit about outstanding attempts. */
bool mmx_path_needs_fence(const mmx_path_t *path, mmx_time_t now);

/** Evidence that led to the level. */
const mmx_health_evidence_t *mmx_path_evidence(const mmx_path_t *path);

#endif
