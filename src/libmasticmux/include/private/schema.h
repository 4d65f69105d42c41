/**
 * Checks of a tree of keys and values against tables of rules. Settings,
 * change files and change records are read with it, so that each of them
 * reports every deviation with its place, its path and what would be valid.
 *
 * Usage: mmx_schema_init(), mmx_schema_read_table() on the root with its rules, whose
 * read functions call mmx_schema_read_table() for the tables below;
 * mmx_schema_finish().
 */
#ifndef MASTICMUX_PRIVATE_SCHEMA_H
#define MASTICMUX_PRIVATE_SCHEMA_H

#include <glib.h>

#include "masticmux/error.h"
#include "masticmux/types.h"
#include "share/tree.h"

/** Most rules of one table, so that a mask holds them. */
#define MMX_SCHEMA_RULES_MAX 32

/** What a name may be, for messages. */
#define MMX_SCHEMA_NAME_VALID                                        \
	"1 to 63 letters, digits, '.', '_' or '-', starting with a " \
	"letter or digit"

typedef enum mmx_presence_t {
	MMX_PRESENCE_OPTIONAL,
	MMX_PRESENCE_RECORD, /**< required in records, not in files */
	MMX_PRESENCE_REQUIRED,
	MMX_PRESENCE_COUNT
} mmx_presence_t;

extern const char *const mmx_presence_string[MMX_PRESENCE_COUNT];

typedef struct mmx_schema_t {
	const char *file;
	mmx_findings_t *findings;
	bool is_record;	 /**< a record names what a file may leave out */
	GString *path;	 /**< of the table that is being read */
	void *user_data; /**< state of the reader, for its read functions */
} mmx_schema_t;

typedef struct mmx_schema_rule_t mmx_schema_rule_t;

/**
 * Reads one value of the right kind.
 *
 * @param into  structure that the table is read into
 */
typedef void (*mmx_schema_read_fn_t)(mmx_schema_t *schema,
				     const mmx_tree_node_t *node,
				     const mmx_schema_rule_t *rule, void *into);

/** One key of a table. */
struct mmx_schema_rule_t {
	const char *key;
	mmx_tree_kind_t kind;
	mmx_presence_t presence;
	mmx_schema_read_fn_t read;
	const char *valid; /**< what the value must be; NULL: the range */
	int64_t min;	   /**< of an integer */
	int64_t max;
	const char *unit; /**< of an integer, for messages; may be NULL */
	int64_t scale;	  /**< an integer is stored multiplied by it */
	size_t offset;	  /**< of the member that takes the value */
	size_t size;	  /**< of that member, bytes */
};

void mmx_schema_init(mmx_schema_t *schema, const char *file,
		     mmx_findings_t *findings, bool is_record, void *owner);
void mmx_schema_finish(mmx_schema_t *schema);

/**
 * Reads a table: reports unknown keys, wrong kinds and missing keys, and calls
 * the read function of each other key, in the order of the file.
 *
 * @param count  rules, at most MMX_SCHEMA_RULES_MAX
 * @return mask of the rules (bit i: rule i) whose key has the right kind
 */
uint32_t mmx_schema_read_table(mmx_schema_t *schema,
			       const mmx_tree_node_t *table,
			       const mmx_schema_rule_t *rules, size_t count,
			       void *into);

/** Reads a table that every child names an object of, e.g. [service.NAME]. */
typedef void (*mmx_schema_named_fn_t)(mmx_schema_t *schema,
				      const mmx_tree_node_t *table,
				      const char *name, void *into);
void mmx_schema_read_named(mmx_schema_t *schema, const mmx_tree_node_t *table,
			   mmx_schema_named_fn_t read, void *into);

/** Read function of an integer: checks min and max, stores by size. */
void mmx_schema_read_integer(mmx_schema_t *schema, const mmx_tree_node_t *node,
			     const mmx_schema_rule_t *rule, void *into);

/** Read function of a name: checks its form, stores it as a string. */
void mmx_schema_read_name(mmx_schema_t *schema, const mmx_tree_node_t *node,
			  const mmx_schema_rule_t *rule, void *into);

/**
 * Reports a value as "PATH.KEY must be VALID; found VALUE". The key is that of
 * the rule, unless the node is an element of an array, whose index the caller
 * has put on the path.
 */
void mmx_schema_reject(mmx_schema_t *schema, const mmx_tree_node_t *node,
		       const mmx_schema_rule_t *rule);

/**
 * Reports something at a place as "PATH: TEXT", or as "TEXT" when the path is
 * empty.
 */
void mmx_schema_report(mmx_schema_t *schema, mmx_tree_place_t place,
		       const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/**
 * Appends ".NAME" or "[INDEX]" to the path.
 *
 * @return length to be given to mmx_schema_pop()
 */
size_t mmx_schema_push(mmx_schema_t *schema, const char *name);
size_t mmx_schema_push_index(mmx_schema_t *schema, size_t index);
void mmx_schema_pop(mmx_schema_t *schema, size_t length);

/** True for a valid name; see MMX_SCHEMA_NAME_VALID. */
bool mmx_schema_is_valid_name(const char *text, size_t length);

/**
 * Text for a message: at most 40 characters, control bytes escaped.
 *
 * @return to be freed with g_free()
 */
char *mmx_schema_quote(const char *text, size_t length);

/**
 * Finds the word that a misspelled one probably stands for: at most two
 * insertions, deletions, substitutions or swaps away, or a shared beginning
 * of at least four bytes when one of them is cut short.
 *
 * @param words  count words
 * @return one of the words, or NULL
 */
const char *mmx_schema_suggest(const char *text, const char *const *words,
			       size_t count);

#endif
