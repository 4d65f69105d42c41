/**
 * Path: health of the connection from an entry to one exit, judged separately
 * from the targets behind that exit.
 *
 * A path becomes suspect when nothing is received for the timeout while
 * attempts are outstanding. Silence alone does not distinguish a lost
 * connection from a slow target, so the entry sends the exit a fencing query
 * (FENCE) on a new connection and reports the result here. Attempts that the
 * exit never received and responses that were lost count against the path; an
 * attempt that is still running does not. A failing path is not used until a
 * back-off has passed.
 *
 * Usage: call mmx_path_init(), report each event when it happens, and call
 * mmx_path_evaluate() periodically and before a target is chosen. Does no I/O.
 */
#ifndef MASTICMUX_PATH_H
#define MASTICMUX_PATH_H

#include "masticmux/detection.h"

/** Default time without progress after which a path is suspect. */
#define MMX_PATH_TIMEOUT_US (500 * MMX_US_PER_MS)

/** Result of a fencing query about an attempt that made no progress. */
typedef enum mmx_path_fence_result_t {
	/** The attempt is in progress: the target is slow, not the path. */
	MMX_PATH_FENCE_RUNNING,
	/** The attempt has finished, but its response was lost. */
	MMX_PATH_FENCE_FINISHED,
	/** The exit never received the attempt and has fenced it. */
	MMX_PATH_FENCE_UNSEEN,
	/** No reply on a new connection within the timeout. */
	MMX_PATH_FENCE_NO_REPLY,
	MMX_PATH_FENCE_COUNT
} mmx_path_fence_result_t;

extern const char *const mmx_path_fence_result_string[MMX_PATH_FENCE_COUNT];

/** State of one path; members are private. */
typedef struct mmx_path_t {
	mmx_time_t timeout;	  /**< without progress, microseconds */
	mmx_time_t waiting_since; /**< last progress or first attempt */
	mmx_time_t failed_until;  /**< end of the current or last back-off */
	mmx_time_t updated;	  /**< when losses were last decayed */
	mmx_time_t backoff_delay; /**< last back-off, microseconds; 0: none */
	mmx_time_t backoff_since; /**< end of the last failure */
	double losses;		  /**< number of losses, decays with time */
	uint32_t outstanding;	  /**< attempts that the entry waits for */
	mmx_health_t level;	  /**< as of the last evaluation */
	mmx_health_evidence_t evidence;
} mmx_path_t;

/**
 * Initialises a healthy path.
 *
 * @param timeout  microseconds without progress after which the path is
 *                 suspect, above 0, asserted
 * @param now      current time, as in all functions below
 */
void mmx_path_init(mmx_path_t *path, mmx_time_t timeout, mmx_time_t now);

/** Reports that an attempt was sent. */
void mmx_path_attempt_sent(mmx_path_t *path, mmx_time_t now);

/** Reports that something was received from the exit on this path. */
void mmx_path_progress(mmx_path_t *path, mmx_time_t now);

/**
 * Reports that the entry no longer waits for an attempt. Asserts that one was
 * outstanding.
 */
void mmx_path_attempt_ended(mmx_path_t *path);

/**
 * Reports the result of a fencing query on a new connection.
 *
 * @param result  below MMX_PATH_FENCE_COUNT, asserted
 */
void mmx_path_on_fence_result(mmx_path_t *path, mmx_path_fence_result_t result,
			      mmx_time_t now);

/**
 * Updates the level.
 *
 * @return true when the level differs from that of the last evaluation
 */
bool mmx_path_evaluate(mmx_path_t *path, mmx_time_t now);

/** Level as of the last evaluation; a failing path must not be chosen. */
mmx_health_t mmx_path_level(const mmx_path_t *path);

/**
 * True when the entry has to send a fencing query: attempts are outstanding
 * and nothing was received for the timeout.
 */
bool mmx_path_needs_fence(const mmx_path_t *path, mmx_time_t now);

/** Evidence that led to the level; valid until the next event or evaluation. */
const mmx_health_evidence_t *mmx_path_evidence(const mmx_path_t *path);

#endif
