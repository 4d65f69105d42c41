#include "private/roster.h"

#include <assert.h>
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "private/schema.h"

/* Placeholder: records have no incarnation, as it is learned from connections
 * (see mmx_view_members). */
#define RECORD_INCARNATION 1

struct mmx_roster_t {
	mmx_directory_t *directory;
	GHashTable *nodes; /* id -> mmx_roster_node_t */
};

mmx_roster_t *mmx_roster_create(mmx_directory_t *directory)
{
	mmx_roster_t *roster = g_new0(mmx_roster_t, 1);

	assert(directory);
	roster->directory = directory;
	roster->nodes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	return roster;
}

void mmx_roster_destroy(mmx_roster_t *roster)
{
	if (!roster)
		return;
	g_hash_table_destroy(roster->nodes);
	g_free(roster);
}

static bool read_name_(const json_t *object, const char *key, char *name,
		       mmx_error_t *error)
{
	const char *text = json_string_value(json_object_get(object, key));

	if (!text || !mmx_schema_is_valid_name(text, strlen(text)))
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "'%s' must be a valid name", key);
	g_strlcpy(name, text, MMX_NAME_MAX + 1);
	return true;
}

static bool read_node_(const json_t *object, const char *key,
		       mmx_roster_node_t *node, mmx_error_t *error)
{
	const char *address =
		json_string_value(json_object_get(object, "address"));

	if (!read_name_(object, "node", node->name, error) ||
	    !read_name_(object, "region", node->region, error) ||
	    !read_name_(object, "zone", node->zone, error))
		return false;
	/* The record of a node stands under its name only, so that there is
	 * one newest record and its node sees whatever replaces it. */
	if (strcmp(node->name, key) != 0)
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "'node' must be the key of the record");
	if (!address || !mmx_address_parse(address, &node->address))
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "'address' must be an IP address with a "
				     "port");
	node->id = mmx_node_id(node->name);
	return true;
}

static bool read_target_(const json_t *object, const mmx_roster_node_t *node,
			 mmx_target_record_t *record, mmx_error_t *error)
{
	json_t *slots = json_object_get(object, "slots");
	json_int_t count = json_integer_value(slots);
	json_t *start = json_object_get(object, "start");
	json_int_t start_value = json_integer_value(start);

	*record = (mmx_target_record_t){
		.node = node->id,
		.incarnation = RECORD_INCARNATION,
		.version = node->offset + 1,
		.state = MMX_TARGET_WARM,
	};
	if (!read_name_(object, "name", record->name, error) ||
	    !read_name_(object, "service", record->service, error))
		return false;
	if (!json_is_integer(slots) || count < 1 || count > UINT16_MAX)
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "'slots' must be an integer from 1 to %d",
				     UINT16_MAX);
	record->slots = (uint16_t)count;
	if (start && (!json_is_integer(start) || start_value < 0))
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "'start' must be an integer, 0 or more");
	record->process_start = (uint64_t)start_value;
	record->id = mmx_directory_id(node->name, record->name);
	return true;
}

/* Decodes all targets before any is applied, so that an invalid record changes
 * nothing. */
static bool read_targets_(const json_t *object, const mmx_roster_node_t *node,
			  GArray *targets, mmx_error_t *error)
{
	const json_t *list = json_object_get(object, "targets");
	mmx_target_record_t record;
	json_t *item;
	size_t i;

	if (!json_is_array(list) ||
	    json_array_size(list) > MMX_ROSTER_TARGETS_MAX)
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "'targets' must be an array of at most %d "
				     "targets",
				     MMX_ROSTER_TARGETS_MAX);
	json_array_foreach(list, i, item)
	{
		if (!read_target_(item, node, &record, error))
			return false;
		g_array_append_val(targets, record);
	}
	return true;
}

static bool is_listed_(const GArray *targets, mmx_target_id_t id)
{
	guint i;

	for (i = 0; targets && i < targets->len; i++)
		if (g_array_index(targets, mmx_target_record_t, i).id == id)
			return true;
	return false;
}

/* Marks the targets of a node as gone, except those listed. targets: NULL for
 * an empty list. */
static void remove_unlisted_(mmx_roster_t *roster, mmx_node_id_t node,
			     const GArray *targets, uint64_t version)
{
	const mmx_directory_target_t *target =
		mmx_directory_node_first(roster->directory, node);
	mmx_target_record_t record;

	for (; target; target = mmx_directory_node_next(target)) {
		if (mmx_directory_target_state(target) == MMX_TARGET_GONE ||
		    is_listed_(targets, mmx_directory_target_id(target)))
			continue;
		mmx_directory_record(target, &record);
		record.state = MMX_TARGET_GONE;
		record.version = version;
		mmx_directory_update(roster->directory, &record);
	}
}

static void apply_record_(mmx_roster_t *roster, const mmx_roster_node_t *node,
			  const GArray *targets)
{
	mmx_roster_node_t *known =
		g_hash_table_lookup(roster->nodes, &node->id);
	guint i;

	if (!known) {
		known = g_new0(mmx_roster_node_t, 1);
		known->id = node->id;
		g_hash_table_insert(roster->nodes, &known->id, known);
	}
	*known = *node;
	remove_unlisted_(roster, node->id, targets, node->offset + 1);
	for (i = 0; i < targets->len; i++)
		mmx_directory_update(
			roster->directory,
			&g_array_index(targets, mmx_target_record_t, i));
}

bool mmx_roster_merge(mmx_roster_t *roster, const char *key, const char *value,
		      size_t length, uint64_t offset, mmx_error_t *error)
{
	GArray *targets =
		g_array_new(FALSE, FALSE, sizeof(mmx_target_record_t));
	mmx_roster_node_t node = {.offset = offset};
	json_t *object = json_loadb(value, length, 0, NULL);
	const mmx_roster_node_t *known;
	bool valid;

	valid = json_is_object(object) ||
		mmx_error_set(error, MMX_ERROR_INVALID,
			      "the record is not a JSON object");
	valid = valid && read_node_(object, key, &node, error) &&
		read_targets_(object, &node, targets, error);
	known = valid ? mmx_roster_find(roster, node.id) : NULL;
	if (valid && (!known || known->offset < offset))
		apply_record_(roster, &node, targets);
	json_decref(object);
	g_array_free(targets, TRUE);
	return valid;
}

void mmx_roster_remove(mmx_roster_t *roster, const char *name, uint64_t offset)
{
	mmx_node_id_t id = mmx_node_id(name);
	const mmx_roster_node_t *known = mmx_roster_find(roster, id);

	if (!known || known->offset >= offset)
		return;
	remove_unlisted_(roster, id, NULL, offset + 1);
	g_hash_table_remove(roster->nodes, &id);
}

const mmx_roster_node_t *mmx_roster_find(const mmx_roster_t *roster,
					 mmx_node_id_t node)
{
	return g_hash_table_lookup(roster->nodes, &node);
}

size_t mmx_roster_count(const mmx_roster_t *roster)
{
	return g_hash_table_size(roster->nodes);
}

void mmx_roster_foreach(const mmx_roster_t *roster, mmx_roster_fn_t fn,
			void *arg)
{
	GHashTableIter iter;
	gpointer node;

	g_hash_table_iter_init(&iter, roster->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &node))
		fn(arg, node);
}

static json_t *encode_target_(const mmx_target_record_t *target)
{
	json_t *object =
		json_pack("{s:s,s:s,s:i}", "name", target->name, "service",
			  target->service, "slots", (int)target->slots);

	if (target->process_start)
		json_object_set_new(
			object, "start",
			json_integer((json_int_t)target->process_start));
	return object;
}

char *mmx_roster_encode(const mmx_roster_node_t *node,
			const mmx_target_record_t *targets, size_t count)
{
	char address[MMX_ADDRESS_TEXT_MAX + 1];
	json_t *list = json_array();
	json_t *object;
	char *text;
	char *copy;
	size_t i;

	mmx_address_format(&node->address, address, sizeof(address));
	for (i = 0; i < count; i++)
		if (targets[i].state < MMX_TARGET_DRAINING)
			json_array_append_new(list,
					      encode_target_(&targets[i]));
	object = json_pack("{s:s,s:s,s:s,s:s,s:o}", "node", node->name,
			   "region", node->region, "zone", node->zone,
			   "address", address, "targets", list);
	text = json_dumps(object, JSON_COMPACT);
	copy = g_strdup(text);
	free(text);
	json_decref(object);
	return copy;
}
