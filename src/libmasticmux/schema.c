#include "private/schema.h"

#include <assert.h>
#include <stdarg.h>
#include <string.h>

/* Longest word that is compared by edit distance, bytes. */
#define SUGGEST_LENGTH_MAX 32
/* Highest edit distance of a suggestion. */
#define SUGGEST_DISTANCE_MAX 2
/* Shortest shared prefix of a suggestion, bytes. */
#define SUGGEST_PREFIX_MIN 4
/* Longest quotation in a message, characters. */
#define QUOTE_MAX 40

const char *const mmx_presence_string[MMX_PRESENCE_COUNT] = {
	"optional",
	"required in records",
	"required",
};

void mmx_schema_init(mmx_schema_t *schema, const char *file,
		     mmx_findings_t *findings, bool is_record, void *owner)
{
	schema->file = file;
	schema->findings = findings;
	schema->is_record = is_record;
	schema->path = g_string_new(NULL);
	schema->user_data = owner;
}

void mmx_schema_finish(mmx_schema_t *schema)
{
	g_string_free(schema->path, TRUE);
	schema->path = NULL;
}

size_t mmx_schema_push(mmx_schema_t *schema, const char *name)
{
	size_t length = schema->path->len;

	if (length)
		g_string_append_c(schema->path, '.');
	g_string_append(schema->path, name);
	return length;
}

size_t mmx_schema_push_index(mmx_schema_t *schema, size_t index)
{
	size_t length = schema->path->len;

	g_string_append_printf(schema->path, "[%zu]", index);
	return length;
}

void mmx_schema_pop(mmx_schema_t *schema, size_t length)
{
	g_string_truncate(schema->path, length);
}

bool mmx_schema_is_valid_name(const char *text, size_t length)
{
	size_t i;

	if (!length || length > MMX_NAME_MAX || !g_ascii_isalnum(text[0]))
		return false;
	for (i = 1; i < length; i++)
		if (!g_ascii_isalnum(text[i]) && text[i] != '.' &&
		    text[i] != '_' && text[i] != '-')
			return false;
	return true;
}

char *mmx_schema_quote(const char *text, size_t length)
{
	GString *quoted = g_string_new(NULL);
	const char *end = text + length;
	int count = 0;

	for (; text < end && count < QUOTE_MAX; count++) {
		gunichar character = (unsigned char)*text;
		size_t bytes = 1;

		if (character >= 0x80) {
			character = g_utf8_get_char_validated(text, end - text);
			if (character >= (gunichar)-2)
				character = 0xfffd; /* replacement character */
			else
				bytes = (size_t)(g_utf8_next_char(text) - text);
		}
		if (g_unichar_isprint(character))
			g_string_append_unichar(quoted, character);
		else
			g_string_append_printf(quoted, "\\u%04x", character);
		text += bytes;
	}
	if (text < end)
		g_string_append(quoted, "...");
	return g_string_free(quoted, FALSE);
}

/* Edit distance of two words of at most SUGGEST_LENGTH_MAX bytes; a
 * transposition of adjacent bytes counts as one edit. */
static int edit_distance_(const char *a, size_t a_length, const char *b,
			  size_t b_length)
{
	int distance[SUGGEST_LENGTH_MAX + 1][SUGGEST_LENGTH_MAX + 1];
	size_t i;
	size_t j;

	for (i = 0; i <= a_length; i++)
		distance[i][0] = (int)i;
	for (j = 0; j <= b_length; j++)
		distance[0][j] = (int)j;
	for (i = 1; i <= a_length; i++) {
		for (j = 1; j <= b_length; j++) {
			int cost = a[i - 1] == b[j - 1] ? 0 : 1;
			int best =
				MIN(distance[i - 1][j], distance[i][j - 1]) + 1;

			best = MIN(best, distance[i - 1][j - 1] + cost);
			if (i > 1 && j > 1 && a[i - 1] == b[j - 2] &&
			    a[i - 2] == b[j - 1])
				best = MIN(best, distance[i - 2][j - 2] + 1);
			distance[i][j] = best;
		}
	}
	return distance[a_length][b_length];
}

const char *mmx_schema_suggest(const char *text, const char *const *words,
			       size_t count)
{
	size_t length = strlen(text);
	int best = SUGGEST_DISTANCE_MAX + 1;
	const char *found = NULL;
	size_t i;

	if (length > SUGGEST_LENGTH_MAX)
		return NULL;
	for (i = 0; i < count; i++) {
		size_t word_length = strlen(words[i]);
		int distance;

		if (word_length > SUGGEST_LENGTH_MAX)
			continue;
		distance = edit_distance_(text, length, words[i], word_length);
		/* Rejects words that differ in more than half of the letters:
		 * "ab" is no misspelling of "id". */
		if (distance < best &&
		    (size_t)distance * 2 <= MIN(length, word_length)) {
			best = distance;
			found = words[i];
		}
	}
	for (i = 0; !found && i < count; i++) {
		size_t shared = MIN(length, strlen(words[i]));

		if (shared >= SUGGEST_PREFIX_MIN &&
		    !strncmp(text, words[i], shared))
			found = words[i];
	}
	return found;
}

void mmx_schema_report(mmx_schema_t *schema, mmx_tree_place_t place,
		       const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	mmx_findings_add(schema->findings, schema->file, place.line,
			 place.column, "%s%s%s", schema->path->str,
			 schema->path->len ? ": " : "", text);
	g_free(text);
}

static char *describe_valid_(const mmx_schema_rule_t *rule)
{
	if (rule->valid)
		return g_strdup(rule->valid);
	assert(rule->kind == MMX_TREE_INTEGER);
	return g_strdup_printf("an integer from %" G_GINT64_FORMAT
			       " to %" G_GINT64_FORMAT "%s%s",
			       rule->min, rule->max, rule->unit ? " " : "",
			       rule->unit ? rule->unit : "");
}

static char *describe_found_(const mmx_tree_node_t *node)
{
	mmx_tree_kind_t kind = mmx_tree_kind(node);
	const char *text;
	char *quoted;
	char *found;
	size_t length;

	if (kind == MMX_TREE_INTEGER)
		return g_strdup_printf("%" G_GINT64_FORMAT,
				       (gint64)mmx_tree_integer(node));
	if (kind != MMX_TREE_STRING)
		return g_strdup(mmx_tree_kind_string[kind]);
	text = mmx_tree_string(node, &length);
	quoted = mmx_schema_quote(text, length);
	found = g_strdup_printf("\"%s\"", quoted);
	g_free(quoted);
	return found;
}

static void reject_value_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			  const mmx_schema_rule_t *rule, const char *found)
{
	char *valid = describe_valid_(rule);
	mmx_tree_place_t place = mmx_tree_place(node);
	size_t length = schema->path->len;

	if (!length || schema->path->str[length - 1] != ']' ||
	    *mmx_tree_key(node, NULL))
		mmx_schema_push(schema, rule->key);
	mmx_findings_add(schema->findings, schema->file, place.line,
			 place.column, "%s must be %s; found %s",
			 schema->path->str, valid, found);
	mmx_schema_pop(schema, length);
	g_free(valid);
}

void mmx_schema_reject(mmx_schema_t *schema, const mmx_tree_node_t *node,
		       const mmx_schema_rule_t *rule)
{
	char *found = describe_found_(node);

	reject_value_(schema, node, rule, found);
	g_free(found);
}

static char *list_keys_(const mmx_schema_rule_t *rules, size_t count)
{
	GString *list = g_string_new(NULL);
	size_t i;

	for (i = 0; i < count; i++)
		g_string_append_printf(list, "%s%s", i ? ", " : "",
				       rules[i].key);
	return g_string_free(list, FALSE);
}

static void report_unknown_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			    const mmx_schema_rule_t *rules, size_t count)
{
	const char *words[MMX_SCHEMA_RULES_MAX];
	size_t length;
	const char *key = mmx_tree_key(node, &length);
	char *quoted = mmx_schema_quote(key, length);
	char *list = list_keys_(rules, count);
	const char *suggestion;
	size_t i;

	for (i = 0; i < count; i++)
		words[i] = rules[i].key;
	suggestion = mmx_schema_suggest(key, words, count);
	if (suggestion)
		mmx_schema_report(schema, mmx_tree_key_place(node),
				  "unknown key '%s'; did you mean '%s'?",
				  quoted, suggestion);
	else
		mmx_schema_report(schema, mmx_tree_key_place(node),
				  "unknown key '%s'; valid keys: %s", quoted,
				  list);
	g_free(list);
	g_free(quoted);
}

static void report_missing_(mmx_schema_t *schema, const mmx_tree_node_t *table,
			    const mmx_schema_rule_t *rule)
{
	char *valid = describe_valid_(rule);

	mmx_schema_report(schema, mmx_tree_place(table),
			  "missing key '%s', which must be %s", rule->key,
			  valid);
	g_free(valid);
}

static const mmx_schema_rule_t *find_rule_(const mmx_tree_node_t *node,
					   const mmx_schema_rule_t *rules,
					   size_t count)
{
	size_t length;
	const char *key = mmx_tree_key(node, &length);
	size_t i;

	for (i = 0; i < count; i++)
		if (strlen(rules[i].key) == length &&
		    !memcmp(rules[i].key, key, length))
			return &rules[i];
	return NULL;
}

/* An integer is valid where a floating-point number is required. */
static bool has_kind_(const mmx_tree_node_t *node,
		      const mmx_schema_rule_t *rule)
{
	mmx_tree_kind_t kind = mmx_tree_kind(node);

	return kind == rule->kind ||
	       (kind == MMX_TREE_INTEGER && rule->kind == MMX_TREE_FLOAT);
}

uint32_t mmx_schema_read_table(mmx_schema_t *schema,
			       const mmx_tree_node_t *table,
			       const mmx_schema_rule_t *rules, size_t count,
			       void *into)
{
	mmx_presence_t required =
		schema->is_record ? MMX_PRESENCE_RECORD : MMX_PRESENCE_REQUIRED;
	const mmx_tree_node_t *node = mmx_tree_first(table);
	uint32_t present = 0;
	uint32_t valid = 0;
	size_t i;

	assert(count <= MMX_SCHEMA_RULES_MAX);
	for (; node; node = mmx_tree_next(node)) {
		const mmx_schema_rule_t *rule = find_rule_(node, rules, count);

		if (!rule) {
			report_unknown_(schema, node, rules, count);
			continue;
		}
		present |= 1U << (rule - rules);
		if (!has_kind_(node, rule)) {
			reject_value_(
				schema, node, rule,
				mmx_tree_kind_string[mmx_tree_kind(node)]);
			continue;
		}
		valid |= 1U << (rule - rules);
		rule->read(schema, node, rule, into);
	}
	for (i = 0; i < count; i++)
		if (rules[i].presence >= required && !(present & (1U << i)))
			report_missing_(schema, table, &rules[i]);
	return valid;
}

void mmx_schema_read_named(mmx_schema_t *schema, const mmx_tree_node_t *table,
			   mmx_schema_named_fn_t read, void *into)
{
	const mmx_tree_node_t *node = mmx_tree_first(table);

	for (; node; node = mmx_tree_next(node)) {
		size_t length;
		const char *name = mmx_tree_key(node, &length);
		char *quoted = mmx_schema_quote(name, length);
		size_t outer;

		if (mmx_tree_kind(node) != MMX_TREE_TABLE) {
			mmx_schema_report(
				schema, mmx_tree_key_place(node),
				"'%s' must be a table named after the object; "
				"found %s",
				quoted,
				mmx_tree_kind_string[mmx_tree_kind(node)]);
		} else {
			if (!mmx_schema_is_valid_name(name, length))
				mmx_schema_report(schema,
						  mmx_tree_key_place(node),
						  "name '%s' must "
						  "be " MMX_SCHEMA_NAME_VALID,
						  quoted);
			outer = mmx_schema_push(schema, quoted);
			read(schema, node, name, into);
			mmx_schema_pop(schema, outer);
		}
		g_free(quoted);
	}
}

void mmx_schema_read_integer(mmx_schema_t *schema, const mmx_tree_node_t *node,
			     const mmx_schema_rule_t *rule, void *into)
{
	int64_t value = mmx_tree_integer(node);
	char *member = (char *)into + rule->offset;

	if (value < rule->min || value > rule->max) {
		mmx_schema_reject(schema, node, rule);
		return;
	}
	if (rule->scale)
		value *= rule->scale;
	switch (rule->size) {
	case sizeof(uint8_t):
		*(uint8_t *)member = (uint8_t)value;
		break;
	case sizeof(uint16_t):
		*(uint16_t *)member = (uint16_t)value;
		break;
	default:
		assert(rule->size == sizeof(int64_t));
		*(int64_t *)member = value;
	}
}

void mmx_schema_read_number(mmx_schema_t *schema, const mmx_tree_node_t *node,
			    const mmx_schema_rule_t *rule, void *into)
{
	double value = mmx_tree_number(node);

	if (value >= (double)rule->min && value <= (double)rule->max)
		*(double *)((char *)into + rule->offset) = value;
	else
		mmx_schema_reject(schema, node, rule);
}

void mmx_schema_read_name(mmx_schema_t *schema, const mmx_tree_node_t *node,
			  const mmx_schema_rule_t *rule, void *into)
{
	size_t length;
	const char *text = mmx_tree_string(node, &length);

	assert(rule->size > MMX_NAME_MAX);
	if (mmx_schema_is_valid_name(text, length))
		g_strlcpy((char *)into + rule->offset, text, rule->size);
	else
		mmx_schema_reject(schema, node, rule);
}
