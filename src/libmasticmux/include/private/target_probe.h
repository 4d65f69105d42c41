/*
 * Target probe: a process that has just started asks the address where its
 * target would be, once, instead of waiting for the next announcement. A
 * target that is healthy and not about to leave says so with its name.
 *
 * Life: create, start, destroy.
 */
#ifndef MASTICMUX_PRIVATE_TARGET_PROBE_H
#define MASTICMUX_PRIVATE_TARGET_PROBE_H

#include "masticmux/task.h"
#include "private/header_names.h"
#include "private/messages.h"

typedef struct mmx_target_probe_t mmx_target_probe_t;

/* What the pointers refer to outlives the probe. */
typedef struct mmx_target_probe_config_t {
	mmx_runtime_t *runtime; /* with a live loop */
	mmx_task_t *exit;	/* gets TARGET_ANNOUNCED */
	const mmx_header_names_t *header_names;
	mmx_address_t address;
	const char *service; /* of the target */
} mmx_target_probe_config_t;

mmx_target_probe_t *
mmx_target_probe_create(const mmx_target_probe_config_t *config);
void mmx_target_probe_destroy(mmx_target_probe_t *probe);

/* Asks once; path: of the health check. Later calls do nothing. */
void mmx_target_probe_start(mmx_target_probe_t *probe, const char *path);

/* The announcement that a response stands for; NULL: none. */
mmx_target_announced_t *
mmx_target_probe_parse_response(const mmx_target_probe_config_t *config,
				int status, const char *name, const char *load);

#endif
