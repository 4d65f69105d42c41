/**
 * Target probe: after the start of the process, sends a health check to the
 * address where the target of this node is expected, instead of waiting for the
 * next announcement. A target that is healthy and not about to leave responds
 * with its name. The check is repeated for announcements that may be outdated.
 *
 * Usage: create, start, repeat any number of times, destroy.
 */
#ifndef MASTICMUX_PRIVATE_TARGET_PROBE_H
#define MASTICMUX_PRIVATE_TARGET_PROBE_H

#include "masticmux/task.h"
#include "private/header_names.h"
#include "private/messages.h"

typedef struct mmx_target_probe_t mmx_target_probe_t;

/** Everything that the members point to outlives the probe. */
typedef struct mmx_target_probe_config_t {
	mmx_runtime_t *runtime; /**< with an event loop */
	mmx_task_t *exit;	/**< receives TARGET_ANNOUNCED */
	const mmx_header_names_t *header_names;
	mmx_address_t address; /**< of the target */
	const char *service;   /**< of the target */
} mmx_target_probe_config_t;

/** Creates a probe from a copy of the configuration. */
mmx_target_probe_t *
mmx_target_probe_create(const mmx_target_probe_config_t *config);

/** Cancels a health check in progress; NULL is allowed. */
void mmx_target_probe_destroy(mmx_target_probe_t *probe);

/**
 * Sends the health check. Later calls have no effect.
 *
 * @param path  of the health check, with query
 */
void mmx_target_probe_start(mmx_target_probe_t *probe, const char *path);

/** Sends the health check again, unless it was not started or is in progress.
 */
void mmx_target_probe_repeat(mmx_target_probe_t *probe);

/**
 * Converts the response to a health check to an announcement of a warm target,
 * marked as assumed.
 *
 * @param status  of the response
 * @param name    header with the name of the target; NULL if absent
 * @param load    header with the load of the target; NULL if absent
 * @return the message for the exit task, owned by the caller; NULL if the
 *         status is not 200, or the name or the load is absent or invalid
 */
mmx_target_announced_t *
mmx_target_probe_parse_response(const mmx_target_probe_config_t *config,
				int status, const char *name, const char *load);

#endif
