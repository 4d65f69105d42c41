#include "masticmux/settings.h"

#include <assert.h>
#include <glib.h>
#include <math.h>
#include <openssl/crypto.h>
#include <string.h>

#include "private/schema.h"
#include "share/toml_bridge.h"

#define ADDRESS_VALID                                           \
	"a numeric IP address with a port from 1 to 65535, as " \
	"\"127.0.0.1:8080\" or \"[::1]:8080\""
#define NAME_VALID "a string of " MMX_SCHEMA_NAME_VALID
#define KEYS_VALID "an array of at most 2 strings \"id:hex\""
#define KEY_VALID                                                     \
	"\"id:hex\" with an id of 1 to 15 letters, digits, '.', '_' " \
	"or '-' and 64 hexadecimal digits"
#define SEEDS_VALID "an array of at most 16 addresses"
#define TABLE_VALID "a table"
#define SECONDS_VALID "a number of seconds from 0.1 to 3600"
#define SECONDS_MIN 0.1
#define SECONDS_MAX 3600
#define RETRY_RESERVE_VALID "a number of attempts from 0 to 1000000"
#define RETRY_RESERVE_MAX 1000000
#define WINDOW_VALID "a number of seconds from 1 to 3600"
#define WINDOW_MIN 1
#define OVERSHOOT_VALID "a number from 0.0 to 10.0"
#define OVERSHOOT_MAX 10
#define SLACK_VALID "a number of requests from 0 to 1000000"
#define SLACK_MAX 1000000
#define BALANCE_VALID "\"requests\" or \"work\""
#define SHARE_VALID "a number from 0.0 to 1.0"
/* A share such as 0.29 has no exact form; percent. */
#define PERCENT_ERROR 1e-9

/* Addresses of one file, for the checks that compare them. */
typedef enum place_index_t {
	PLACE_CALLERS,
	PLACE_NODES,
	PLACE_ANNOUNCE,
	PLACE_OPERATOR,
	PLACE_METRICS,
	PLACE_LOG_SERVICE,
	PLACE_COLLECTOR,
	PLACE_STORE,
	PLACE_TARGET,
	PLACE_SEEDS, /* the first of MMX_SEEDS_MAX */
	PLACE_COUNT = PLACE_SEEDS + MMX_SEEDS_MAX
} place_index_t;

static const char *const place_path_[PLACE_SEEDS] = {
	"listen.callers",  "listen.nodes",   "listen.announce",
	"listen.operator", "listen.metrics", "log_service.address",
	"trace.collector", "store.address",  "node.target",
};

/* Settings while they are read. */
typedef struct reading_t {
	mmx_settings_t *settings;
	mmx_tree_place_t places[PLACE_COUNT];
	bool has_key_fault; /* then the number of keys is not conclusive */
} reading_t;

static mmx_address_t *address_at_(mmx_settings_t *settings, size_t index)
{
	switch (index) {
	case PLACE_CALLERS:
		return &settings->listen_callers;
	case PLACE_NODES:
		return &settings->listen_nodes;
	case PLACE_ANNOUNCE:
		return &settings->listen_announce;
	case PLACE_OPERATOR:
		return &settings->listen_operator;
	case PLACE_METRICS:
		return &settings->listen_metrics;
	case PLACE_LOG_SERVICE:
		return &settings->log_service;
	case PLACE_COLLECTOR:
		return &settings->collector;
	case PLACE_STORE:
		return &settings->store;
	case PLACE_TARGET:
		return &settings->target;
	default:
		return &settings->seeds[index - PLACE_SEEDS];
	}
}

static void read_address_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			  const mmx_schema_rule_t *rule, void *into)
{
	mmx_address_t *address = (mmx_address_t *)((char *)into + rule->offset);
	reading_t *reading = schema->user_data;
	size_t length;
	const char *text = mmx_tree_string(node, &length);
	size_t i;

	if (strlen(text) != length || !mmx_address_parse(text, address) ||
	    mmx_address_is_multicast(address)) {
		address->port = 0;
		mmx_schema_reject(schema, node, rule);
		return;
	}
	for (i = 0; i < PLACE_COUNT; i++)
		if (address_at_(reading->settings, i) == address)
			reading->places[i] = mmx_tree_place(node);
}

static bool parse_key_(const char *text, size_t length, mmx_fleet_key_t *key)
{
	const char *colon = memchr(text, ':', length);
	size_t id_length = colon ? (size_t)(colon - text) : 0;
	size_t i;

	if (!colon || id_length > MMX_FLEET_KEY_ID_MAX ||
	    !mmx_schema_is_valid_name(text, id_length) ||
	    length - id_length - 1 != 2 * (size_t)MMX_FLEET_KEY_BYTES)
		return false;
	memcpy(key->id, text, id_length);
	for (i = 0; i < MMX_FLEET_KEY_BYTES; i++) {
		int high = g_ascii_xdigit_value(colon[1 + 2 * i]);
		int low = g_ascii_xdigit_value(colon[2 + 2 * i]);

		if (high < 0 || low < 0)
			return false;
		key->secret[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

static void check_second_key_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			      const mmx_settings_t *settings)
{
	const mmx_fleet_key_t *keys = settings->fleet_keys;

	if (!strcmp(keys[0].id, keys[1].id))
		mmx_schema_report(schema, mmx_tree_place(node),
				  "key id '%s' is already used by the first "
				  "key; give each key its own id",
				  keys[1].id);
	if (!CRYPTO_memcmp(keys[0].secret, keys[1].secret, MMX_FLEET_KEY_BYTES))
		mmx_schema_report(schema, mmx_tree_place(node),
				  "key '%s' has the same secret as key '%s'; "
				  "remove one of them",
				  keys[1].id, keys[0].id);
}

/* The messages never quote a key, because they reach terminals and logs. */
static void read_fleet_key_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			    reading_t *reading)
{
	mmx_settings_t *settings = reading->settings;
	mmx_fleet_key_t key = {.id = ""};
	size_t length;
	const char *text;

	if (mmx_tree_kind(node) != MMX_TREE_STRING) {
		mmx_schema_report(schema, mmx_tree_place(node),
				  "must be " KEY_VALID "; found %s",
				  mmx_tree_kind_string[mmx_tree_kind(node)]);
		reading->has_key_fault = true;
		return;
	}
	text = mmx_tree_string(node, &length);
	if (!parse_key_(text, length, &key)) {
		mmx_schema_report(schema, mmx_tree_place(node),
				  "must be " KEY_VALID "; found %zu bytes of "
				  "another form",
				  length);
		reading->has_key_fault = true;
	} else {
		settings->fleet_keys[settings->fleet_key_count++] = key;
		if (settings->fleet_key_count == MMX_FLEET_KEYS_MAX)
			check_second_key_(schema, node, settings);
	}
	OPENSSL_cleanse(&key, sizeof(key));
}

static void read_fleet_keys_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			     const mmx_schema_rule_t *rule, void *into)
{
	const mmx_tree_node_t *child = mmx_tree_first(node);
	reading_t *reading = schema->user_data;
	size_t outer = mmx_schema_push(schema, rule->key);
	size_t index;

	if (mmx_tree_count(node) > MMX_FLEET_KEYS_MAX) {
		mmx_schema_report(schema, mmx_tree_place(node),
				  "must hold at most %d keys; found %zu",
				  MMX_FLEET_KEYS_MAX, mmx_tree_count(node));
		reading->has_key_fault = true;
	}
	for (index = 0; child && index < MMX_FLEET_KEYS_MAX; index++) {
		size_t length = mmx_schema_push_index(schema, index);

		read_fleet_key_(schema, child, reading);
		mmx_schema_pop(schema, length);
		child = mmx_tree_next(child);
	}
	mmx_schema_pop(schema, outer);
}

static void read_seeds_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			const mmx_schema_rule_t *rule, void *into)
{
	static const mmx_schema_rule_t element = {.key = "seeds",
						  .valid = ADDRESS_VALID};
	const mmx_tree_node_t *child = mmx_tree_first(node);
	mmx_settings_t *settings = into;
	size_t outer = mmx_schema_push(schema, rule->key);
	size_t index;

	if (mmx_tree_count(node) > MMX_SEEDS_MAX)
		mmx_schema_report(schema, mmx_tree_place(node),
				  "must hold at most %d addresses; found %zu",
				  MMX_SEEDS_MAX, mmx_tree_count(node));
	for (index = 0; child && index < MMX_SEEDS_MAX; index++) {
		size_t length = mmx_schema_push_index(schema, index);

		if (mmx_tree_kind(child) != MMX_TREE_STRING)
			mmx_schema_reject(schema, child, &element);
		else
			read_address_(schema, child, &element,
				      &settings->seeds[index]);
		mmx_schema_pop(schema, length);
		child = mmx_tree_next(child);
	}
	settings->seed_count = index;
	mmx_schema_pop(schema, outer);
}

#define NAME_RULE_(key, member)                                          \
	{                                                                \
		key, MMX_TREE_STRING, MMX_PRESENCE_REQUIRED,             \
			mmx_schema_read_name, NAME_VALID,                \
			.offset = offsetof(mmx_settings_t, member),      \
			.size = sizeof(((mmx_settings_t *)NULL)->member) \
	}
#define ADDRESS_RULE_(key, presence, member)                                  \
	{                                                                     \
		key, MMX_TREE_STRING, presence, read_address_, ADDRESS_VALID, \
			.offset = offsetof(mmx_settings_t, member)            \
	}

static void read_flag_(mmx_schema_t *schema, const mmx_tree_node_t *node,
		       const mmx_schema_rule_t *rule, void *into)
{
	*(bool *)((char *)into + rule->offset) = mmx_tree_integer(node) != 0;
}

/* False for a value that is no number, too. */
static bool is_within_(double value, double min, double max)
{
	return value >= min && value <= max;
}

/* A share of 0 to 1, kept in percent rounded to whole ones. */
static void read_percent_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			  const mmx_schema_rule_t *rule, void *into,
			  double (*round_to)(double), double error)
{
	double share = mmx_tree_number(node);

	if (!is_within_(share, 0, 1))
		mmx_schema_reject(schema, node, rule);
	else
		*(uint32_t *)((char *)into + rule->offset) =
			(uint32_t)round_to(share * 100 + error);
}

/* At most this share is allowed. */
static void read_share_allowed_(mmx_schema_t *schema,
				const mmx_tree_node_t *node,
				const mmx_schema_rule_t *rule, void *into)
{
	read_percent_(schema, node, rule, into, floor, PERCENT_ERROR);
}

/* At least this share is due. */
static void read_share_due_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			    const mmx_schema_rule_t *rule, void *into)
{
	read_percent_(schema, node, rule, into, ceil, -PERCENT_ERROR);
}

static void read_time_(mmx_schema_t *schema, const mmx_tree_node_t *node,
		       const mmx_schema_rule_t *rule, void *into, double min)
{
	double seconds = mmx_tree_number(node);

	if (!is_within_(seconds, min, SECONDS_MAX))
		mmx_schema_reject(schema, node, rule);
	else
		*(mmx_time_t *)((char *)into + rule->offset) =
			llround(seconds * MMX_US_PER_S);
}

static void read_seconds_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			  const mmx_schema_rule_t *rule, void *into)
{
	read_time_(schema, node, rule, into, SECONDS_MIN);
}

static void read_window_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			 const mmx_schema_rule_t *rule, void *into)
{
	read_time_(schema, node, rule, into, WINDOW_MIN);
}

/* A number of attempts; a part of one allows none. */
static void read_reserve_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			  const mmx_schema_rule_t *rule, void *into)
{
	double reserve = mmx_tree_number(node);

	if (!is_within_(reserve, 0, RETRY_RESERVE_MAX))
		mmx_schema_reject(schema, node, rule);
	else
		*(int64_t *)((char *)into + rule->offset) =
			(int64_t)floor(reserve);
}

static void read_balance_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			  const mmx_schema_rule_t *rule, void *into)
{
	size_t length;
	const char *text = mmx_tree_string(node, &length);
	bool by_work = strcmp(text, "work") == 0;

	if (strlen(text) != length ||
	    (!by_work && strcmp(text, "requests") != 0))
		mmx_schema_reject(schema, node, rule);
	else
		*(bool *)((char *)into + rule->offset) = by_work;
}

static const mmx_schema_rule_t node_rules_[] = {
	NAME_RULE_("name", node_name),
	NAME_RULE_("region", region),
	NAME_RULE_("zone", zone),
	{"fleet_keys", MMX_TREE_ARRAY, MMX_PRESENCE_OPTIONAL, read_fleet_keys_,
	 .valid = KEYS_VALID},
	{"service", MMX_TREE_STRING, MMX_PRESENCE_OPTIONAL,
	 mmx_schema_read_name, NAME_VALID,
	 .offset = offsetof(mmx_settings_t, service),
	 .size = sizeof(((mmx_settings_t *)NULL)->service)},
	ADDRESS_RULE_("target", MMX_PRESENCE_OPTIONAL, target),
	{"trusted_network", MMX_TREE_BOOLEAN, MMX_PRESENCE_OPTIONAL, read_flag_,
	 "true or false", .offset = offsetof(mmx_settings_t, trusted_network)},
};

static const mmx_schema_rule_t listen_rules_[] = {
	ADDRESS_RULE_("callers", MMX_PRESENCE_REQUIRED, listen_callers),
	ADDRESS_RULE_("nodes", MMX_PRESENCE_REQUIRED, listen_nodes),
	ADDRESS_RULE_("announce", MMX_PRESENCE_REQUIRED, listen_announce),
	ADDRESS_RULE_("operator", MMX_PRESENCE_REQUIRED, listen_operator),
	ADDRESS_RULE_("metrics", MMX_PRESENCE_OPTIONAL, listen_metrics),
};

static const mmx_schema_rule_t fleet_rules_[] = {
	{"seeds", MMX_TREE_ARRAY, MMX_PRESENCE_OPTIONAL, read_seeds_,
	 .valid = SEEDS_VALID},
};

static const mmx_schema_rule_t log_service_rules_[] = {
	ADDRESS_RULE_("address", MMX_PRESENCE_REQUIRED, log_service),
	{"retention_s", MMX_TREE_INTEGER, MMX_PRESENCE_OPTIONAL,
	 mmx_schema_read_integer, NULL, MMX_LOG_RETENTION_MIN_S,
	 MMX_LOG_RETENTION_MAX_S, "seconds", MMX_US_PER_S,
	 offsetof(mmx_settings_t, log_retention), sizeof(mmx_time_t)},
};

static const mmx_schema_rule_t trace_rules_[] = {
	ADDRESS_RULE_("collector", MMX_PRESENCE_OPTIONAL, collector),
};

static const mmx_schema_rule_t store_rules_[] = {
	ADDRESS_RULE_("address", MMX_PRESENCE_REQUIRED, store),
};

#define SECONDS_RULE_(key, member)                                         \
	{                                                                  \
		key, MMX_TREE_FLOAT, MMX_PRESENCE_OPTIONAL, read_seconds_, \
			SECONDS_VALID,                                     \
			.offset = offsetof(mmx_settings_t, member)         \
	}

static const mmx_schema_rule_t stop_rules_[] = {
	SECONDS_RULE_("grace_s", stop_grace),
};

static const mmx_schema_rule_t retry_rules_[] = {
	{"share", MMX_TREE_FLOAT, MMX_PRESENCE_OPTIONAL, read_share_allowed_,
	 SHARE_VALID, .offset = offsetof(mmx_settings_t, retry_percent)},
	{"reserve", MMX_TREE_FLOAT, MMX_PRESENCE_OPTIONAL, read_reserve_,
	 RETRY_RESERVE_VALID,
	 .offset = offsetof(mmx_settings_t, retry_reserve)},
	SECONDS_RULE_("window_s", retry_window),
};

static const mmx_schema_rule_t targets_rules_[] = {
	{"floor_share", MMX_TREE_FLOAT, MMX_PRESENCE_OPTIONAL, read_share_due_,
	 SHARE_VALID, .offset = offsetof(mmx_settings_t, floor_percent)},
};

static const mmx_schema_rule_t accounts_rules_[] = {
	{"window_s", MMX_TREE_FLOAT, MMX_PRESENCE_OPTIONAL, read_window_,
	 WINDOW_VALID, .offset = offsetof(mmx_settings_t, account_window)},
	{"overshoot", MMX_TREE_FLOAT, MMX_PRESENCE_OPTIONAL,
	 mmx_schema_read_number, OVERSHOOT_VALID, .max = OVERSHOOT_MAX,
	 .offset = offsetof(mmx_settings_t, account_overshoot)},
	{"slack", MMX_TREE_FLOAT, MMX_PRESENCE_OPTIONAL, mmx_schema_read_number,
	 SLACK_VALID, .max = SLACK_MAX,
	 .offset = offsetof(mmx_settings_t, account_slack)},
};

static const mmx_schema_rule_t balance_rules_[] = {
	{"by", MMX_TREE_STRING, MMX_PRESENCE_OPTIONAL, read_balance_,
	 BALANCE_VALID, .offset = offsetof(mmx_settings_t, balance_by_work)},
};

/* The rules of one table of the file, by the name of the table. */
typedef struct section_t {
	const char *name;
	const mmx_schema_rule_t *rules;
	size_t count;
} section_t;

static const section_t sections_[] = {
	{"node", node_rules_, G_N_ELEMENTS(node_rules_)},
	{"listen", listen_rules_, G_N_ELEMENTS(listen_rules_)},
	{"fleet", fleet_rules_, G_N_ELEMENTS(fleet_rules_)},
	{"log_service", log_service_rules_, G_N_ELEMENTS(log_service_rules_)},
	{"trace", trace_rules_, G_N_ELEMENTS(trace_rules_)},
	{"store", store_rules_, G_N_ELEMENTS(store_rules_)},
	{"stop", stop_rules_, G_N_ELEMENTS(stop_rules_)},
	{"retry", retry_rules_, G_N_ELEMENTS(retry_rules_)},
	{"targets", targets_rules_, G_N_ELEMENTS(targets_rules_)},
	{"accounts", accounts_rules_, G_N_ELEMENTS(accounts_rules_)},
	{"balance", balance_rules_, G_N_ELEMENTS(balance_rules_)},
};

static void read_section_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			  const mmx_schema_rule_t *rule, void *into)
{
	size_t outer = mmx_schema_push(schema, rule->key);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sections_); i++)
		if (!strcmp(sections_[i].name, rule->key))
			mmx_schema_read_table(schema, node, sections_[i].rules,
					      sections_[i].count, into);
	mmx_schema_pop(schema, outer);
}

static const mmx_schema_rule_t root_rules_[] = {
	{"node", MMX_TREE_TABLE, MMX_PRESENCE_REQUIRED, read_section_,
	 .valid = "a table with name, region and zone"},
	{"listen", MMX_TREE_TABLE, MMX_PRESENCE_REQUIRED, read_section_,
	 .valid = "a table with callers, nodes, announce and operator"},
	{"fleet", MMX_TREE_TABLE, MMX_PRESENCE_OPTIONAL, read_section_,
	 .valid = TABLE_VALID},
	{"log_service", MMX_TREE_TABLE, MMX_PRESENCE_OPTIONAL, read_section_,
	 .valid = TABLE_VALID},
	{"trace", MMX_TREE_TABLE, MMX_PRESENCE_OPTIONAL, read_section_,
	 .valid = TABLE_VALID},
	{"store", MMX_TREE_TABLE, MMX_PRESENCE_OPTIONAL, read_section_,
	 .valid = TABLE_VALID},
	{"stop", MMX_TREE_TABLE, MMX_PRESENCE_OPTIONAL, read_section_,
	 .valid = TABLE_VALID},
	{"retry", MMX_TREE_TABLE, MMX_PRESENCE_OPTIONAL, read_section_,
	 .valid = TABLE_VALID},
	{"targets", MMX_TREE_TABLE, MMX_PRESENCE_OPTIONAL, read_section_,
	 .valid = TABLE_VALID},
	{"accounts", MMX_TREE_TABLE, MMX_PRESENCE_OPTIONAL, read_section_,
	 .valid = TABLE_VALID},
	{"balance", MMX_TREE_TABLE, MMX_PRESENCE_OPTIONAL, read_section_,
	 .valid = TABLE_VALID},
};

static void describe_place_(size_t index, char *buffer, size_t size)
{
	if (index < PLACE_SEEDS)
		g_strlcpy(buffer, place_path_[index], size);
	else
		g_snprintf(buffer, (gulong)size, "fleet.seeds[%zu]",
			   index - PLACE_SEEDS);
}

/* A wildcard takes the port on every address of the instance. */
static bool is_conflict_(const mmx_address_t *left, bool is_left_listener,
			 const mmx_address_t *right)
{
	if (left->port != right->port)
		return false;
	if (mmx_address_is_equal(left, right))
		return true;
	return is_left_listener && (mmx_address_is_wildcard(left) ||
				    mmx_address_is_wildcard(right));
}

/* Two listeners with one address, or another service at a listener. */
static bool is_pair_checked_(size_t first, size_t second)
{
	if (first >= PLACE_SEEDS)
		return true;
	if (first > PLACE_METRICS)
		return false;
	/* A seed may be this node itself: one file then suits every node. */
	return !(first == PLACE_NODES && second >= PLACE_SEEDS);
}

static void check_pairs_(mmx_schema_t *schema, reading_t *reading)
{
	size_t first;
	size_t second;

	for (second = 1; second < PLACE_COUNT; second++) {
		const mmx_address_t *b = address_at_(reading->settings, second);

		for (first = 0; b->port && first < second; first++) {
			const mmx_address_t *a =
				address_at_(reading->settings, first);
			char text[MMX_ADDRESS_TEXT_MAX + 1];
			char names[2][32];

			if (!a->port || !is_pair_checked_(first, second) ||
			    !is_conflict_(a, second <= PLACE_METRICS, b))
				continue;
			mmx_address_format(b, text, sizeof(text));
			describe_place_(first, names[0], sizeof(names[0]));
			describe_place_(second, names[1], sizeof(names[1]));
			mmx_schema_report(schema, reading->places[second],
					  "%s: %s is already used by %s; "
					  "give each its own address",
					  names[1], text, names[0]);
			break;
		}
	}
}

/* Both would decide on the configuration. */
static void check_sources_(mmx_schema_t *schema, const reading_t *reading)
{
	if (reading->settings->store.port &&
	    reading->settings->log_service.port)
		mmx_schema_report(schema, reading->places[PLACE_STORE],
				  "store.address: a node has either a store or "
				  "a log service; remove one of the tables");
}

static void check_hosts_(mmx_schema_t *schema, const reading_t *reading)
{
	mmx_settings_t *settings = reading->settings;
	bool has_key = settings->fleet_key_count > 0 ||
		       settings->trusted_network || reading->has_key_fault;
	size_t i;

	for (i = 0; i < PLACE_COUNT; i++) {
		const mmx_address_t *address = address_at_(settings, i);
		bool is_listener = i <= PLACE_METRICS;
		char name[32];

		if (!address->port)
			continue;
		describe_place_(i, name, sizeof(name));
		if (is_listener && !has_key &&
		    !mmx_address_is_loopback(address))
			mmx_schema_report(schema, reading->places[i],
					  "%s: without node.fleet_keys the "
					  "address must be a loopback address; "
					  "found %s",
					  name, address->host);
		if ((!is_listener || i == PLACE_NODES) &&
		    mmx_address_is_wildcard(address))
			mmx_schema_report(schema, reading->places[i],
					  "%s: must be an address that others "
					  "can reach; found %s",
					  name, address->host);
	}
}

/* Own address among the seeds; it would only make the node probe itself. */
static void drop_own_seed_(mmx_settings_t *settings)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < settings->seed_count; i++)
		if (!mmx_address_is_equal(&settings->seeds[i],
					  &settings->listen_nodes))
			settings->seeds[kept++] = settings->seeds[i];
	settings->seed_count = kept;
}

static mmx_settings_t *read_(const char *file, const mmx_tree_node_t *root,
			     mmx_findings_t *findings)
{
	mmx_settings_t *settings = g_new0(mmx_settings_t, 1);
	reading_t reading = {.settings = settings};
	mmx_schema_t schema;

	settings->log_retention = MMX_LOG_RETENTION_DEFAULT_S * MMX_US_PER_S;
	settings->stop_grace = MMX_STOP_GRACE_DEFAULT_S * MMX_US_PER_S;
	settings->retry_percent = MMX_RETRY_PERCENT_DEFAULT;
	settings->retry_reserve = MMX_RETRY_RESERVE_DEFAULT;
	settings->retry_window = MMX_RETRY_WINDOW_DEFAULT_S * MMX_US_PER_S;
	settings->floor_percent = MMX_FLOOR_PERCENT_DEFAULT;
	settings->account_window = MMX_ACCOUNTS_WINDOW_DEFAULT_S * MMX_US_PER_S;
	settings->account_overshoot = MMX_ACCOUNTS_OVERSHOOT_DEFAULT;
	settings->account_slack = MMX_ACCOUNTS_SLACK_DEFAULT;
	mmx_schema_init(&schema, file, findings, false, &reading);
	mmx_schema_read_table(&schema, root, root_rules_,
			      G_N_ELEMENTS(root_rules_), settings);
	check_pairs_(&schema, &reading);
	check_hosts_(&schema, &reading);
	check_sources_(&schema, &reading);
	mmx_schema_finish(&schema);
	if (mmx_findings_count(findings)) {
		mmx_settings_destroy(settings);
		return NULL;
	}
	drop_own_seed_(settings);
	return settings;
}

/* Takes the tree; own holds what its parser reported. */
static mmx_settings_t *finish_(const char *file, mmx_tree_node_t *root,
			       mmx_findings_t *own, mmx_findings_t *findings)
{
	mmx_settings_t *settings = root ? read_(file, root, own) : NULL;

	mmx_tree_destroy(root);
	mmx_findings_move(findings, own);
	mmx_findings_destroy(own);
	return settings;
}

mmx_settings_t *mmx_settings_load(const char *path, mmx_findings_t *findings)
{
	mmx_findings_t *own = mmx_findings_create();

	return finish_(path, mmx_toml_parse_file(path, own), own, findings);
}

mmx_settings_t *mmx_settings_parse(const char *file, const char *text,
				   size_t length, mmx_findings_t *findings)
{
	mmx_findings_t *own = mmx_findings_create();

	return finish_(file, mmx_toml_parse(file, text, length, own), own,
		       findings);
}

void mmx_settings_destroy(mmx_settings_t *settings)
{
	if (!settings)
		return;
	OPENSSL_cleanse(settings->fleet_keys, sizeof(settings->fleet_keys));
	g_free(settings);
}
