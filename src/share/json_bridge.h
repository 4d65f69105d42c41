/**
 * JSON parser that builds a tree: Jansson with its strict rules (unique keys,
 * nothing after the value, no NUL in strings).
 */
#ifndef MASTICMUX_SHARE_JSON_BRIDGE_H
#define MASTICMUX_SHARE_JSON_BRIDGE_H

#include "masticmux/error.h"
#include "share/tree.h"

/** Deepest nesting; a deeper text is an error. */
#define MMX_JSON_DEPTH_MAX 64

/**
 * Parses a text whose value is an object. The nodes have no places.
 *
 * @param length  bytes of text
 * @param error   receives the reason; may be NULL
 * @return tree to be freed with mmx_tree_destroy(), or NULL
 */
mmx_tree_node_t *mmx_json_parse(const char *text, size_t length,
				mmx_error_t *error);

#endif
