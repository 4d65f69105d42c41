/**
 * Publish: appends a configuration change to the log so that the config_state applies
 * it once at most, and determines its outcome. Does no I/O: reads the log
 * through a mmx_config_t and appends through a callback.
 *
 * If the result of an append is unknown, the log is searched for the id of the
 * change. If a later read of the log succeeds and does not find it, the same
 * record is appended again. If both appends took effect, the config_state drops the
 * second as a duplicate.
 *
 * Settling determines the outcome of a change that was published before,
 * without appending.
 *
 * Lifecycle: create, start, (inputs until done is called), destroy.
 */
#ifndef MASTICMUX_PUBLISH_H
#define MASTICMUX_PUBLISH_H

#include "masticmux/config.h"

/** Default time after which the outcome is reported as unknown. */
#define MMX_PUBLISH_TIMEOUT_US (30 * MMX_US_PER_S)

typedef enum mmx_publish_outcome_t {
	MMX_PUBLISH_ACCEPTED,
	MMX_PUBLISH_REJECTED,	 /**< final: the change is never applied */
	MMX_PUBLISH_UNKNOWN,	 /**< not determined yet; settle it later */
	MMX_PUBLISH_NOT_FOUND,	 /**< settling: the id is not in the log */
	MMX_PUBLISH_UNAVAILABLE, /**< log not readable; nothing was appended */
	MMX_PUBLISH_OUTCOME_COUNT
} mmx_publish_outcome_t;

extern const char *const mmx_publish_outcome_string[MMX_PUBLISH_OUTCOME_COUNT];

typedef struct mmx_publish_result_t {
	mmx_publish_outcome_t outcome;
	uint64_t offset; /**< of the record in the log, 0: unknown; if accepted,
			    the revision of the change */
	mmx_reject_reason_t
		reject; /**< reason, if the config_state rejected the change */
	char text[MMX_CONFIG_STATE_TEXT_MAX +
		  1];	      /**< explanation; may be empty */
	unsigned int appends; /**< number of appends started */
} mmx_publish_result_t;

typedef struct mmx_publish_ops_t {
	/** Appends a record to the stream `config`. The result is passed to
	 * mmx_publish_on_appended(). The data is valid until destroy. */
	void (*append)(void *arg, const char *data, size_t length);
	/** Reports the outcome; called once, as the last callback. It must not
	 * destroy the mmx_publish_t. */
	void (*done)(void *arg, const mmx_publish_result_t *result);
} mmx_publish_ops_t;

typedef struct mmx_publish_t mmx_publish_t;

/**
 * Creates an object that publishes or settles one change. Asserts that clock,
 * config, ops and id are given, and the range of the timeout.
 *
 * @param config   reads the log; must outlive the object
 * @param id       of the change, 1..MMX_CHANGE_ID_MAX bytes
 * @param record   the change as a record, copied; NULL: settle
 * @param timeout  microseconds until the outcome is reported as unknown, > 0
 * @param arg      passed to the callbacks
 */
mmx_publish_t *mmx_publish_create(mmx_clock_t *clock,
				  const mmx_config_t *config, const char *id,
				  const char *record, mmx_time_t timeout,
				  const mmx_publish_ops_t *ops, void *arg);

/** NULL is allowed. */
void mmx_publish_destroy(mmx_publish_t *publish);

/** Starts the timeout and the work. Valid once. */
void mmx_publish_start(mmx_publish_t *publish);

/**
 * Input: result of an append.
 *
 * @param offset  of the appended record, if the result is MMX_LOG_OK
 */
void mmx_publish_on_appended(mmx_publish_t *publish, mmx_log_result_t result,
			     uint64_t offset);

/** Input: config applied a record; it has the explanation of a rejection. */
void mmx_publish_on_applied(mmx_publish_t *publish,
			    const mmx_config_state_result_t *result);

/**
 * Counts the nodes that have applied a revision, by the JSON of a node's
 * GET /status: {"members":[{"state":"alive","applied":N,...},...]}. Members
 * in other states are not counted.
 *
 * @param length    of the JSON text, bytes
 * @param in_force  set to the number of alive nodes that applied the revision
 * @param alive     set to the number of alive nodes
 * @return false if the text is not such a status
 */
bool mmx_publish_count_nodes(const char *json, size_t length, uint64_t revision,
			     size_t *in_force, size_t *alive);

#endif
