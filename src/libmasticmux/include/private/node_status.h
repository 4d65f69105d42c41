/* What GET /status tells about a node and about the fleet as it sees it. */
#ifndef MASTICMUX_PRIVATE_NODE_STATUS_H
#define MASTICMUX_PRIVATE_NODE_STATUS_H

#include <jansson.h>

#include "private/node_parts.h"

/* Which targets a status lists. */
typedef enum mmx_status_targets_t {
	MMX_STATUS_TARGETS_ALL,
	MMX_STATUS_TARGETS_LOCAL, /* beside this node */
	MMX_STATUS_TARGETS_NONE,
	MMX_STATUS_TARGETS_COUNT
} mmx_status_targets_t;

extern const char *const mmx_status_targets_string[MMX_STATUS_TARGETS_COUNT];

/* Returns a new reference. Valid while the parts of the node are running. */
json_t *mmx_node_status(const mmx_node_t *node, mmx_status_targets_t targets);

/* Text as JSON; bytes that are not UTF-8 are replaced. */
json_t *mmx_node_status_text(const char *text);

#endif
