#include "share/json_bridge.h"

#include <jansson.h>

static mmx_tree_kind_t kind_(const json_t *value)
{
	switch (json_typeof(value)) {
	case JSON_OBJECT:
		return MMX_TREE_TABLE;
	case JSON_ARRAY:
		return MMX_TREE_ARRAY;
	case JSON_STRING:
		return MMX_TREE_STRING;
	case JSON_INTEGER:
		return MMX_TREE_INTEGER;
	case JSON_REAL:
		return MMX_TREE_FLOAT;
	case JSON_TRUE:
	case JSON_FALSE:
		return MMX_TREE_BOOLEAN;
	default:
		return MMX_TREE_NULL;
	}
}

static bool copy_children_(mmx_tree_node_t *into, json_t *from, int depth);

/* Recursion is bounded by MMX_JSON_DEPTH_MAX. */
static bool copy_child_(mmx_tree_node_t *into, const char *key, size_t length,
			json_t *value, int depth)
{
	mmx_tree_node_t *node = mmx_tree_add(into, key, length, kind_(value));

	if (json_is_string(value))
		mmx_tree_set_string(node, json_string_value(value),
				    json_string_length(value));
	else if (json_is_integer(value))
		mmx_tree_set_integer(node, json_integer_value(value));
	else if (json_is_real(value))
		mmx_tree_set_number(node, json_real_value(value));
	else if (json_is_boolean(value))
		mmx_tree_set_integer(node, json_is_true(value));
	return copy_children_(node, value, depth);
}

static bool copy_children_(mmx_tree_node_t *into, json_t *from, int depth)
{
	const char *key;
	size_t length;
	json_t *value;
	size_t index;

	if (depth > MMX_JSON_DEPTH_MAX)
		return false;
	if (json_is_object(from)) {
		json_object_keylen_foreach(from, key, length, value)
		{
			if (!copy_child_(into, key, length, value, depth + 1))
				return false;
		}
	} else if (json_is_array(from)) {
		json_array_foreach(from, index, value)
		{
			if (!copy_child_(into, NULL, 0, value, depth + 1))
				return false;
		}
	}
	return true;
}

mmx_tree_node_t *mmx_json_parse(const char *text, size_t length,
				mmx_error_t *error)
{
	json_error_t reason;
	json_t *value =
		json_loadb(text, length, JSON_REJECT_DUPLICATES, &reason);
	mmx_tree_node_t *root;

	if (!value) {
		mmx_error_set(error, MMX_ERROR_INVALID,
			      "invalid JSON at line %d, column %d: %s",
			      reason.line, reason.column, reason.text);
		return NULL;
	}
	if (!json_is_object(value)) {
		mmx_error_set(error, MMX_ERROR_INVALID,
			      "the record must be an object; found %s",
			      mmx_tree_kind_string[kind_(value)]);
		json_decref(value);
		return NULL;
	}
	root = mmx_tree_create();
	if (!copy_children_(root, value, 1)) {
		mmx_error_set(error, MMX_ERROR_INVALID,
			      "more than %d levels of nesting",
			      MMX_JSON_DEPTH_MAX);
		mmx_tree_destroy(root);
		root = NULL;
	}
	json_decref(value);
	return root;
}
