/* What GET /status tells about a node and about the fleet as it sees it. */
#ifndef MASTICMUX_PRIVATE_NODE_STATUS_H
#define MASTICMUX_PRIVATE_NODE_STATUS_H

#include <jansson.h>

#include "private/node_parts.h"

/* Which targets a status lists. */
typedef enum mmx_status_target_scope_t {
	MMX_STATUS_TARGET_SCOPE_ALL,
	MMX_STATUS_TARGET_SCOPE_LOCAL, /* beside this node */
	MMX_STATUS_TARGET_SCOPE_NONE,
	MMX_STATUS_TARGET_SCOPE_COUNT
} mmx_status_target_scope_t;

extern const char
	*const mmx_status_target_scope_string[MMX_STATUS_TARGET_SCOPE_COUNT];

/*
 * Most targets that a status lists. All 53,000 targets of the design size would
 * hold the loop for more than 100 ms and take 44 MB.
 */
#define MMX_STATUS_TARGETS_MAX 4096

typedef struct mmx_status_query_t {
	mmx_status_target_scope_t targets;
	const char *service; /* list this one only; NULL: any */
	size_t targets_max;  /* 0..MMX_STATUS_TARGETS_MAX */
} mmx_status_query_t;

/* Returns a new reference. Valid while the parts of the node are running. */
json_t *mmx_node_status(const mmx_node_t *node,
			const mmx_status_query_t *query);

/* Text as JSON; bytes that are not UTF-8 are replaced. */
json_t *mmx_json_string_lossy(const char *text);

#endif
