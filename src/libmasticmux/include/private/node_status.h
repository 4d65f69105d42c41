/* Node status: the JSON of GET /status, on a node and its view of the fleet. */
#ifndef MASTICMUX_PRIVATE_NODE_STATUS_H
#define MASTICMUX_PRIVATE_NODE_STATUS_H

#include <jansson.h>

#include "private/node_parts.h"

/* The targets that a status lists. */
typedef enum mmx_status_target_scope_t {
	MMX_STATUS_TARGET_SCOPE_ALL,
	MMX_STATUS_TARGET_SCOPE_LOCAL, /* beside this node */
	MMX_STATUS_TARGET_SCOPE_NONE,
	MMX_STATUS_TARGET_SCOPE_COUNT
} mmx_status_target_scope_t;

extern const char
	*const mmx_status_target_scope_string[MMX_STATUS_TARGET_SCOPE_COUNT];

/*
 * Maximum number of targets in a status. Listing the 53,000 targets that the
 * fleet is designed for would block the event loop for more than 100 ms and
 * take 44 MB.
 */
#define MMX_STATUS_TARGETS_MAX 4096

typedef struct mmx_status_query_t {
	mmx_status_target_scope_t targets;
	const char *service; /* whose targets are listed; NULL: all services */
	size_t targets_max;  /* 0..MMX_STATUS_TARGETS_MAX */
} mmx_status_query_t;

/* Returns the status as a new reference. Valid from the init of all parts of
 * the node until the first of them is destroyed. */
json_t *mmx_node_status(const mmx_node_t *node,
			const mmx_status_query_t *query);

/* Returns a text as a new JSON string; invalid UTF-8 is replaced. */
json_t *mmx_json_string_lossy(const char *text);

#endif
