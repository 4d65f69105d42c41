#include "private/node_status.h"

#include <glib.h>
#include <string.h>

#include "masticmux/config_task.h"
#include "masticmux/detection.h"
#include "masticmux/gossip.h"
#include "private/entry.h"
#include "private/exit.h"
#include "private/part_quota.h"
#include "private/roster.h"

const char
	*const mmx_status_target_scope_string[MMX_STATUS_TARGET_SCOPE_COUNT] = {
		"all",
		"local",
		"none",
};

/* State of a status while it is built from the members. */
typedef struct status_build_t {
	const mmx_node_t *node;
	const mmx_status_query_t *query;
	json_t *members;
	json_t *services;
	size_t listed_targets;
	size_t omitted_targets; /* beyond the query's targets_max */
	size_t member_counts[MMX_MEMBER_STATE_COUNT];
	GHashTable *in_force; /* applied offset -> number of alive nodes */
} status_build_t;

json_t *mmx_json_string_lossy(const char *text)
{
	json_t *value = json_string(text);
	char *valid;

	if (value)
		return value;
	valid = g_utf8_make_valid(text, -1);
	value = json_string(valid);
	g_free(valid);
	return value;
}

static json_t *json_u64_(uint64_t value)
{
	return json_integer((json_int_t)value);
}

static json_t *target_json_(const mmx_node_t *node,
			    const mmx_directory_target_t *target,
			    const char *node_name)
{
	mmx_target_id_t id = mmx_directory_target_id(target);
	mmx_load_report_t load;
	json_t *item = json_pack(
		"{s:o,s:o,s:s,s:i}", "name",
		mmx_json_string_lossy(mmx_directory_target_name(target)),
		"node", mmx_json_string_lossy(node_name), "state",
		mmx_target_state_string[mmx_directory_target_state(target)],
		"slots", (int)mmx_directory_target_slots(target));

	if (mmx_directory_target_node(target) == node->id &&
	    mmx_exit_load(node->exit, id, &load)) {
		json_object_set_new(item, "in_progress",
				    json_u64_(load.in_progress));
		json_object_set_new(item, "queued", json_u64_(load.queued));
		json_object_set_new(item, "level",
				    json_string(mmx_health_string[load.level]));
	}
	return item;
}

static json_t *service_targets_(status_build_t *build, const char *service)
{
	char *key = g_utf8_make_valid(service, -1);
	json_t *list = json_object_get(build->services, key);

	if (!list) {
		list = json_array();
		json_object_set_new(build->services, key, list);
	}
	g_free(key);
	return list;
}

static void add_target_(status_build_t *build,
			const mmx_directory_target_t *target,
			const char *node_name)
{
	const char *service = mmx_directory_target_service(target);
	const char *wanted = build->query->service;

	if (mmx_directory_target_state(target) == MMX_TARGET_GONE ||
	    (wanted && strcmp(service, wanted) != 0))
		return;
	if (build->listed_targets == build->query->targets_max) {
		build->omitted_targets++;
		return;
	}
	build->listed_targets++;
	json_array_append_new(service_targets_(build, service),
			      target_json_(build->node, target, node_name));
}

static void add_targets_(status_build_t *build, mmx_node_id_t id,
			 const char *node_name)
{
	const mmx_directory_target_t *target =
		mmx_directory_node_first(build->node->directory, id);

	for (; target; target = mmx_directory_node_next(target))
		add_target_(build, target, node_name);
}

static void count_applied_(GHashTable *in_force, uint64_t applied)
{
	size_t *nodes = g_hash_table_lookup(in_force, &applied);

	if (!nodes) {
		uint64_t *key = g_new(uint64_t, 1);

		*key = applied;
		nodes = g_new0(size_t, 1);
		g_hash_table_insert(in_force, key, nodes);
	}
	*nodes += 1;
}

static void on_member_(void *arg, const mmx_member_t *member)
{
	status_build_t *build = arg;

	json_array_append_new(
		build->members,
		json_pack("{s:o,s:o,s:o,s:s,s:o}", "name",
			  mmx_json_string_lossy(member->name), "region",
			  mmx_json_string_lossy(member->region), "zone",
			  mmx_json_string_lossy(member->zone), "state",
			  mmx_member_state_string[member->state], "applied",
			  json_u64_(member->applied_offset)));
	build->member_counts[member->state]++;
	if (member->state == MMX_MEMBER_ALIVE)
		count_applied_(build->in_force, member->applied_offset);
	if (build->query->targets == MMX_STATUS_TARGET_SCOPE_ALL &&
	    member->id != build->node->id)
		add_targets_(build, member->id, member->name);
}

/* The roster has the location of a node, but not whether it is alive. */
static void on_roster_node_(void *arg, const mmx_roster_node_t *node)
{
	status_build_t *build = arg;

	json_array_append_new(
		build->members,
		json_pack("{s:o,s:o,s:o,s:s}", "name",
			  mmx_json_string_lossy(node->name), "region",
			  mmx_json_string_lossy(node->region), "zone",
			  mmx_json_string_lossy(node->zone), "state", "known"));
	if (build->query->targets == MMX_STATUS_TARGET_SCOPE_ALL)
		add_targets_(build, node->id, node->name);
}

static int compare_offsets_(const void *left, const void *right)
{
	uint64_t a = *(const uint64_t *)left;
	uint64_t b = *(const uint64_t *)right;

	return a < b ? 1 : a > b ? -1 : 0;
}

/* Returns the node counts by applied offset, newest first. */
static json_t *applied_json_(GHashTable *in_force)
{
	GList *offsets =
		g_list_sort(g_hash_table_get_keys(in_force), compare_offsets_);
	json_t *list = json_array();
	const GList *link;

	for (link = offsets; link; link = link->next) {
		const size_t *nodes = g_hash_table_lookup(in_force, link->data);

		json_array_append_new(
			list, json_pack("{s:o,s:o}", "applied",
					json_u64_(*(uint64_t *)link->data),
					"nodes", json_u64_(*nodes)));
	}
	g_list_free(offsets);
	return list;
}

static json_t *member_counts_json_(const status_build_t *build)
{
	json_t *member_counts = json_object();
	int state;

	for (state = 0; state < MMX_MEMBER_STATE_COUNT; state++)
		json_object_set_new(member_counts,
				    mmx_member_state_string[state],
				    json_u64_(build->member_counts[state]));
	return member_counts;
}

static json_t *node_json_(const mmx_node_t *node)
{
	const mmx_settings_t *settings = node->settings;

	return json_pack("{s:o,s:o,s:o,s:o,s:b}", "name",
			 mmx_json_string_lossy(settings->node_name),
			 "incarnation", json_u64_(node->incarnation), "region",
			 mmx_json_string_lossy(settings->region), "zone",
			 mmx_json_string_lossy(settings->zone), "draining",
			 (int)node->draining);
}

static json_t *config_task_json_(const mmx_node_t *node)
{
	const mmx_config_t *config = mmx_config_task_config(node->config);

	return json_pack("{s:o,s:b,s:b,s:i}", "applied",
			 json_u64_(node->config_state
					   ? mmx_config_state_applied_offset(
						     node->config_state)
					   : 0),
			 "loaded", (int)mmx_config_is_loaded(config), "current",
			 (int)mmx_config_is_current(config), "reader_rank",
			 mmx_config_reader_rank(config));
}

static json_t *configuration_json_(const mmx_node_t *node)
{
	uint64_t version =
		node->config_state
			? mmx_config_state_applied_offset(node->config_state)
			: 0;

	if (!node->config)
		return json_pack("{s:o,s:b}", "applied", json_u64_(version),
				 "loaded", (int)(node->config_state != NULL));
	return config_task_json_(node);
}

json_t *mmx_node_status(const mmx_node_t *node, const mmx_status_query_t *query)
{
	status_build_t build = {
		.node = node,
		.query = query,
		.members = json_array(),
		.services = json_object(),
		.in_force = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, g_free),
	};
	size_t accounts_left_out;
	json_t *accounts = mmx_part_quota_status(node, &accounts_left_out);
	json_t *status;

	/* Targets of this node come first, so that targets_max omits those of
	 * other nodes. */
	if (query->targets != MMX_STATUS_TARGET_SCOPE_NONE)
		add_targets_(&build, node->id, node->settings->node_name);
	if (node->gossip)
		mmx_membership_each(mmx_gossip_membership(node->gossip),
				    on_member_, &build);
	else
		mmx_roster_foreach(node->roster, on_roster_node_, &build);
	status = json_pack(
		"{s:o,s:o,s:{s:o,s:o},s:o,s:o,s:o,s:o,s:o,s:o,s:o}", "node",
		node_json_(node), "configuration", configuration_json_(node),
		"requests", "entry",
		json_u64_(mmx_entry_in_progress(node->entry)), "exit",
		json_u64_(mmx_exit_in_progress(node->exit, NULL)), "members",
		build.members, "member_counts", member_counts_json_(&build),
		"in_force", applied_json_(build.in_force), "services",
		build.services, "targets_left_out",
		json_u64_(build.omitted_targets), "accounts", accounts,
		"accounts_left_out", json_u64_(accounts_left_out));
	g_hash_table_destroy(build.in_force);
	return status;
}
