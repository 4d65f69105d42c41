#include "share/tree.h"

#include <assert.h>
#include <glib.h>
#include <string.h>
#include <sys/queue.h>

const char *const mmx_tree_kind_string[MMX_TREE_KIND_COUNT] = {
	"a table", "an array",	"a string",	  "an integer",
	"a float", "a boolean", "a date or time", "null",
};

struct mmx_tree_node_t {
	STAILQ_ENTRY(mmx_tree_node_t) entry;
	STAILQ_HEAD(mmx_tree_children_t, mmx_tree_node_t) children;
	size_t count;
	mmx_tree_kind_t kind;
	char *key;
	size_t key_length;
	mmx_tree_place_t key_place;
	mmx_tree_place_t place;
	char *text;
	size_t text_length;
	int64_t integer;
	double number;
};

/* g_strndup() stops at a NUL byte, which a TOML key or string may hold. */
static char *copy_(const char *text, size_t length)
{
	char *copy = g_malloc(length + 1);

	if (length)
		memcpy(copy, text, length);
	copy[length] = '\0';
	return copy;
}

mmx_tree_node_t *mmx_tree_create(void)
{
	mmx_tree_node_t *node = g_new0(mmx_tree_node_t, 1);

	STAILQ_INIT(&node->children);
	node->kind = MMX_TREE_TABLE;
	return node;
}

/* Recursion is bounded: both parsers limit the nesting of their texts. */
void mmx_tree_destroy(mmx_tree_node_t *root) // NOLINT(misc-no-recursion)
{
	mmx_tree_node_t *child;

	if (!root)
		return;
	while ((child = STAILQ_FIRST(&root->children))) {
		STAILQ_REMOVE_HEAD(&root->children, entry);
		mmx_tree_destroy(child);
	}
	g_free(root->key);
	g_free(root->text);
	g_free(root);
}

mmx_tree_node_t *mmx_tree_add(mmx_tree_node_t *parent, const char *key,
			      size_t length, mmx_tree_kind_t kind)
{
	mmx_tree_node_t *node = mmx_tree_create();

	assert(parent->kind == MMX_TREE_TABLE ||
	       parent->kind == MMX_TREE_ARRAY);
	node->kind = kind;
	if (key) {
		node->key = copy_(key, length);
		node->key_length = length;
	}
	STAILQ_INSERT_TAIL(&parent->children, node, entry);
	parent->count++;
	return node;
}

void mmx_tree_set_place(mmx_tree_node_t *node, mmx_tree_place_t key_place,
			mmx_tree_place_t place)
{
	node->key_place = key_place;
	node->place = place;
}

void mmx_tree_set_string(mmx_tree_node_t *node, const char *text, size_t length)
{
	assert(node->kind == MMX_TREE_STRING);
	g_free(node->text);
	node->text = copy_(text, length);
	node->text_length = length;
}

void mmx_tree_set_integer(mmx_tree_node_t *node, int64_t value)
{
	assert(node->kind == MMX_TREE_INTEGER ||
	       node->kind == MMX_TREE_BOOLEAN);
	node->integer = value;
}

mmx_tree_kind_t mmx_tree_kind(const mmx_tree_node_t *node)
{
	return node->kind;
}

const char *mmx_tree_key(const mmx_tree_node_t *node, size_t *length)
{
	if (length)
		*length = node->key_length;
	return node->key ? node->key : "";
}

mmx_tree_place_t mmx_tree_key_place(const mmx_tree_node_t *node)
{
	return node->key_place.line ? node->key_place : node->place;
}

mmx_tree_place_t mmx_tree_place(const mmx_tree_node_t *node)
{
	return node->place;
}

size_t mmx_tree_count(const mmx_tree_node_t *node)
{
	return node->count;
}

const mmx_tree_node_t *mmx_tree_first(const mmx_tree_node_t *node)
{
	return STAILQ_FIRST(&node->children);
}

const mmx_tree_node_t *mmx_tree_next(const mmx_tree_node_t *node)
{
	return STAILQ_NEXT(node, entry);
}

const char *mmx_tree_string(const mmx_tree_node_t *node, size_t *length)
{
	assert(node->kind == MMX_TREE_STRING);
	if (length)
		*length = node->text_length;
	return node->text ? node->text : "";
}

int64_t mmx_tree_integer(const mmx_tree_node_t *node)
{
	assert(node->kind == MMX_TREE_INTEGER ||
	       node->kind == MMX_TREE_BOOLEAN);
	return node->integer;
}

void mmx_tree_set_number(mmx_tree_node_t *node, double value)
{
	assert(node->kind == MMX_TREE_FLOAT);
	node->number = value;
}

double mmx_tree_number(const mmx_tree_node_t *node)
{
	if (node->kind == MMX_TREE_INTEGER)
		return (double)node->integer;
	assert(node->kind == MMX_TREE_FLOAT);
	return node->number;
}
