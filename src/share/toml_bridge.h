/**
 * TOML parser for C: toml++ behind two functions that build a tree.
 *
 * A syntax error ends the parse, so it is the only finding of its text.
 */
#ifndef MASTICMUX_SHARE_TOML_BRIDGE_H
#define MASTICMUX_SHARE_TOML_BRIDGE_H

#include <stddef.h>

#include "share/tree.h"

#ifdef __cplusplus
extern "C" {
#endif

#include "masticmux/error.h"

/** Longest file; a longer one is a finding. */
#define MMX_TOML_FILE_MAX (4UL * 1024 * 1024)

/**
 * Parses a text.
 *
 * @param file    name that findings carry
 * @param length  bytes of text
 * @return tree to be freed with mmx_tree_destroy(), or NULL with one finding
 */
mmx_tree_node_t *mmx_toml_parse(const char *file, const char *text,
				size_t length, mmx_findings_t *findings);

/** Parses a file, as mmx_toml_parse() does; an unreadable file is a finding. */
mmx_tree_node_t *mmx_toml_parse_file(const char *path,
				     mmx_findings_t *findings);

#ifdef __cplusplus
}
#endif

#endif
