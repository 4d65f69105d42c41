/**
 * Tree of keys and values that a TOML or JSON text holds, with the place of
 * each of them. The parsers build it, the readers of settings and changes walk
 * it.
 *
 * Usage: a parser returns the root, which is a table; walk it with
 * mmx_tree_first() and mmx_tree_next(); mmx_tree_destroy() on the root.
 */
#ifndef MASTICMUX_SHARE_TREE_H
#define MASTICMUX_SHARE_TREE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum mmx_tree_kind_t {
	MMX_TREE_TABLE,
	MMX_TREE_ARRAY,
	MMX_TREE_STRING,
	MMX_TREE_INTEGER,
	MMX_TREE_FLOAT,
	MMX_TREE_BOOLEAN,
	MMX_TREE_DATE,
	MMX_TREE_NULL,
	MMX_TREE_KIND_COUNT
} mmx_tree_kind_t;

/** Names with their article, for messages. */
extern const char *const mmx_tree_kind_string[MMX_TREE_KIND_COUNT];

/** Line and column from 1; 0 when the parser gives no place. */
typedef struct mmx_tree_place_t {
	int line;
	int column;
} mmx_tree_place_t;

typedef struct mmx_tree_node_t mmx_tree_node_t;

/** Creates a root of kind table. */
mmx_tree_node_t *mmx_tree_create(void);

/** Frees a root and everything below it. NULL is allowed. */
void mmx_tree_destroy(mmx_tree_node_t *root);

/**
 * Appends a child to a table or array; the parent owns it.
 *
 * @param key     copied; NULL in an array
 * @param length  bytes of the key, which may hold any byte
 */
mmx_tree_node_t *mmx_tree_add(mmx_tree_node_t *parent, const char *key,
			      size_t length, mmx_tree_kind_t kind);

/** Sets the places of the key and the value. */
void mmx_tree_set_place(mmx_tree_node_t *node, mmx_tree_place_t key_place,
			mmx_tree_place_t place);

/** Sets the value of a string, an integer or a boolean. */
void mmx_tree_set_string(mmx_tree_node_t *node, const char *text,
			 size_t length);
void mmx_tree_set_integer(mmx_tree_node_t *node, int64_t value);

mmx_tree_kind_t mmx_tree_kind(const mmx_tree_node_t *node);

/** Key, ended by NUL; empty for the root and in arrays. */
const char *mmx_tree_key(const mmx_tree_node_t *node, size_t *length);

/** Place of the key; that of the value where there is no key. */
mmx_tree_place_t mmx_tree_key_place(const mmx_tree_node_t *node);
mmx_tree_place_t mmx_tree_place(const mmx_tree_node_t *node);

/** Number of children; 0 for a plain value. */
size_t mmx_tree_count(const mmx_tree_node_t *node);

/** First child and next sibling, in the order of the text; NULL at the end. */
const mmx_tree_node_t *mmx_tree_first(const mmx_tree_node_t *node);
const mmx_tree_node_t *mmx_tree_next(const mmx_tree_node_t *node);

/** Value of a string, ended by NUL. Asserts the kind. */
const char *mmx_tree_string(const mmx_tree_node_t *node, size_t *length);

/** Value of an integer or a boolean (0 or 1). Asserts the kind. */
int64_t mmx_tree_integer(const mmx_tree_node_t *node);

/** Sets the value of a float. Asserts the kind. */
void mmx_tree_set_number(mmx_tree_node_t *node, double value);

/** Value of a float or an integer. Asserts the kind. */
double mmx_tree_number(const mmx_tree_node_t *node);

#ifdef __cplusplus
}
#endif

#endif
