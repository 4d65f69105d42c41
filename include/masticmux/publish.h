/**
 * Publish: brings one change into the log exactly once as far as the fold is
 * concerned, and finds out what became of it. Does no I/O: reads through an
 * instance of the module config, appends through a function.
 *
 * After an append without an answer it reads on for the id of the change. If
 * the log then answers without the record, the same record is appended again;
 * if both arrive after all, the fold drops the second.
 *
 * Life: create, start, (inputs until done is called), destroy.
 */
#ifndef MASTICMUX_PUBLISH_H
#define MASTICMUX_PUBLISH_H

#include "masticmux/config.h"

/** Time to wait for a verdict unless the caller says otherwise. */
#define MMX_PUBLISH_TIMEOUT_US (30 * MMX_US_PER_S)

typedef enum mmx_publish_outcome_t {
	MMX_PUBLISH_ACCEPTED,
	MMX_PUBLISH_REJECTED,	 /**< final; it will never be in force */
	MMX_PUBLISH_UNKNOWN,	 /**< settle it later */
	MMX_PUBLISH_NOT_FOUND,	 /**< settling: the log doesn't hold the id */
	MMX_PUBLISH_UNAVAILABLE, /**< nothing was sent: no log to read */
	MMX_PUBLISH_OUTCOME_COUNT
} mmx_publish_outcome_t;

extern const char *const mmx_publish_outcome_string[MMX_PUBLISH_OUTCOME_COUNT];

typedef struct mmx_publish_result_t {
	mmx_publish_outcome_t outcome;
	uint64_t offset;     /**< of the record, 0: unknown; the revision if
				accepted */
	mmx_reject_t reject; /**< if rejected by the fold */
	char text[MMX_FOLD_TEXT_MAX + 1]; /**< for people; may be empty */
	unsigned int appends;		  /**< that were sent */
} mmx_publish_result_t;

typedef struct mmx_publish_ops_t {
	/** Appends to the stream `config`; the data is valid until destroy. */
	void (*append)(void *arg, const char *data, size_t length);
	/** Called once, last. The instance may not be destroyed in it. */
	void (*done)(void *arg, const mmx_publish_result_t *result);
} mmx_publish_ops_t;

typedef struct mmx_publish_t mmx_publish_t;

/**
 * Creates an instance.
 *
 * @param config   reads the log; outlives the instance
 * @param id       of the change
 * @param record   the change as a record, copied; NULL: only settle
 * @param timeout  until the outcome is unknown, > 0
 */
mmx_publish_t *mmx_publish_create(mmx_clock_t *clock,
				  const mmx_config_t *config, const char *id,
				  const char *record, mmx_time_t timeout,
				  const mmx_publish_ops_t *ops, void *arg);
void mmx_publish_destroy(mmx_publish_t *publish);

void mmx_publish_start(mmx_publish_t *publish);

/** Input: answer to the append. */
void mmx_publish_on_appended(mmx_publish_t *publish, mmx_log_result_t result,
			     uint64_t offset);

/** Input: config applied a record; gives the text of a rejection. */
void mmx_publish_on_applied(mmx_publish_t *publish,
			    const mmx_fold_result_t *result);

/**
 * Counts the nodes that have a revision in force, by the JSON of a node's
 * GET /status: {"members":[{"state":"alive","applied":N,...},...]}. Members
 * in other states don't count.
 *
 * @return false if the text is not such a status
 */
bool mmx_publish_count_nodes(const char *json, size_t length, uint64_t revision,
			     size_t *in_force, size_t *alive);

#endif
