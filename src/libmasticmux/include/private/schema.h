/**
 * Schema: validates a tree of keys and values against tables of rules and reads
 * it into structures. Settings, change files and change records use it, so that
 * all of them report every error with its line and column, its path and the
 * valid values.
 *
 * Usage: mmx_schema_init(), mmx_schema_read_table() on the root with its rules,
 * whose read functions call mmx_schema_read_table() for nested tables;
 * mmx_schema_finish().
 */
#ifndef MASTICMUX_PRIVATE_SCHEMA_H
#define MASTICMUX_PRIVATE_SCHEMA_H

#include <glib.h>

#include "masticmux/error.h"
#include "masticmux/types.h"
#include "share/tree.h"

/** Maximum number of rules of one table: the bits of a mask. */
#define MMX_SCHEMA_RULES_MAX 32

/** Description of a valid name, for messages. */
#define MMX_SCHEMA_NAME_VALID                                        \
	"1 to 63 letters, digits, '.', '_' or '-', starting with a " \
	"letter or digit"

typedef enum mmx_presence_t {
	MMX_PRESENCE_OPTIONAL,
	MMX_PRESENCE_RECORD, /**< required in records, optional in files */
	MMX_PRESENCE_REQUIRED,
	MMX_PRESENCE_COUNT
} mmx_presence_t;

extern const char *const mmx_presence_string[MMX_PRESENCE_COUNT];

/** State while a tree is read. */
typedef struct mmx_schema_t {
	const char *file; /**< name that is reported in findings */
	mmx_findings_t *findings;
	bool is_record;	 /**< true: a record, false: a file */
	GString *path;	 /**< of the table that is being read */
	void *user_data; /**< state of the caller, for its read functions */
} mmx_schema_t;

typedef struct mmx_schema_rule_t mmx_schema_rule_t;

/**
 * Reads one value, whose kind is that of the rule.
 *
 * @param into  structure that the table is read into
 */
typedef void (*mmx_schema_read_fn_t)(mmx_schema_t *schema,
				     const mmx_tree_node_t *node,
				     const mmx_schema_rule_t *rule, void *into);

/** Rule for one key of a table. */
struct mmx_schema_rule_t {
	const char *key;
	mmx_tree_kind_t kind;
	mmx_presence_t presence;
	mmx_schema_read_fn_t read;
	const char *valid; /**< valid values, for messages; NULL: the range */
	int64_t min;	   /**< lowest valid integer or number */
	int64_t max;	   /**< highest valid integer or number */
	const char *unit;  /**< of an integer, for messages; may be NULL */
	int64_t scale;	   /**< factor applied to an integer; 0: none */
	size_t offset;	   /**< of the member that receives the value, bytes */
	size_t size;	   /**< of that member, bytes */
};

/**
 * Prepares to read a tree. The path is empty at first.
 *
 * @param file       name that is reported in the findings
 * @param findings   receives the errors
 * @param is_record  whether to require the keys that only records require
 * @param owner      passed on to the read functions; may be NULL
 */
void mmx_schema_init(mmx_schema_t *schema, const char *file,
		     mmx_findings_t *findings, bool is_record, void *owner);
void mmx_schema_finish(mmx_schema_t *schema);

/**
 * Reads a table: reports unknown keys, values of the wrong kind and missing
 * keys, and calls the read functions of all other keys in the order of the
 * file.
 *
 * @param count  number of rules, at most MMX_SCHEMA_RULES_MAX
 * @return mask of the rules (bit i: rule i) whose key is present with a value
 *         of the right kind
 */
uint32_t mmx_schema_read_table(mmx_schema_t *schema,
			       const mmx_tree_node_t *table,
			       const mmx_schema_rule_t *rules, size_t count,
			       void *into);

/** Reads the table of one named object. */
typedef void (*mmx_schema_named_fn_t)(mmx_schema_t *schema,
				      const mmx_tree_node_t *table,
				      const char *name, void *into);

/** Reads a table of named objects, such as [service.NAME]. */
void mmx_schema_read_named(mmx_schema_t *schema, const mmx_tree_node_t *table,
			   mmx_schema_named_fn_t read, void *into);

/** Read function of an integer: checks the range and stores the value. */
void mmx_schema_read_integer(mmx_schema_t *schema, const mmx_tree_node_t *node,
			     const mmx_schema_rule_t *rule, void *into);

/** Read function of a number: checks the range and stores a double. */
void mmx_schema_read_number(mmx_schema_t *schema, const mmx_tree_node_t *node,
			    const mmx_schema_rule_t *rule, void *into);

/** Read function of a name: validates it and stores it as a string. */
void mmx_schema_read_name(mmx_schema_t *schema, const mmx_tree_node_t *node,
			  const mmx_schema_rule_t *rule, void *into);

/**
 * Reports an invalid value as "PATH.KEY must be VALID; found VALUE" with the
 * key of the rule. For an element of an array the key is omitted: the caller
 * has appended the index to the path.
 */
void mmx_schema_reject(mmx_schema_t *schema, const mmx_tree_node_t *node,
		       const mmx_schema_rule_t *rule);

/**
 * Reports an error at a place as "PATH: TEXT", or as "TEXT" if the path is
 * empty.
 */
void mmx_schema_report(mmx_schema_t *schema, mmx_tree_place_t place,
		       const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/**
 * Appends ".NAME" or "[INDEX]" to the path.
 *
 * @return previous length of the path, for mmx_schema_pop()
 */
size_t mmx_schema_push(mmx_schema_t *schema, const char *name);
size_t mmx_schema_push_index(mmx_schema_t *schema, size_t index);

/** Truncates the path to a previous length. */
void mmx_schema_pop(mmx_schema_t *schema, size_t length);

/** True for a valid name; see MMX_SCHEMA_NAME_VALID. */
bool mmx_schema_is_valid_name(const char *text, size_t length);

/**
 * Formats text for a message: at most 40 characters, with control characters
 * escaped and invalid UTF-8 replaced.
 *
 * @param length  length of text, bytes
 * @return text, to be freed with g_free()
 */
char *mmx_schema_quote(const char *text, size_t length);

/**
 * Finds the word that was probably meant by a misspelled one: a word at an edit
 * distance of at most two insertions, deletions, substitutions or
 * transpositions, or else a word of which one is a prefix of the other, of at
 * least four bytes.
 *
 * @param words  valid words
 * @param count  number of words
 * @return one of the words, or NULL
 */
const char *mmx_schema_suggest(const char *text, const char *const *words,
			       size_t count);

#endif
