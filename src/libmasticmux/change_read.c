/* Reads changes from TOML files and JSON records with one set of rules. */
#include "masticmux/change.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "private/schema.h"
#include "share/json_bridge.h"
#include "share/toml_bridge.h"

#define NAME_VALID "a string of " MMX_SCHEMA_NAME_VALID
#define METHODS_VALID                                                   \
	"an array of methods, each once, out of GET, HEAD, POST, PUT, " \
	"DELETE, OPTIONS, PATCH"
#define HOST_VALID                                                       \
	"a host name or IPv4 address of 1 to 253 letters, digits, '.', " \
	"'-' or '_', without port"
#define PATH_PREFIX_VALID                                              \
	"1 to 255 printable ASCII characters that start with '/' and " \
	"hold no blank, '?' or '#'"
#define RATE_VALID "a number from 0 to 1000000000"
#define DIGESTS_VALID                                          \
	"an array of at most 8 strings, each \"sha256:\" and " \
	"64 hexadecimal digits"
#define DIGEST_PREFIX "sha256:"
#define ROUTES_VALID "an array of at most 1024 tables, which may be empty"

/* Longest label of a host name, bytes (RFC 1035). */
#define HOST_LABEL_MAX 63

/* State while a change is read. */
typedef struct change_reader_t {
	mmx_change_t *change;
	GHashTable *routes;  /* "HOST PREFIX" -> path and line, for messages */
	GHashTable *digests; /* of keys -> name of the account */
} change_reader_t;

static void read_methods_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			  const mmx_schema_rule_t *rule, void *into)
{
	static const mmx_schema_rule_t element = {
		.key = "repeatable",
		.valid = "one of GET, HEAD, POST, PUT, DELETE, OPTIONS, PATCH",
	};
	const mmx_tree_node_t *child = mmx_tree_first(node);
	size_t outer = mmx_schema_push(schema, rule->key);
	uint32_t mask = 0;
	size_t index;

	for (index = 0; child; index++, child = mmx_tree_next(child)) {
		size_t length = mmx_schema_push_index(schema, index);
		mmx_method_t method = MMX_METHOD_OTHER;
		size_t bytes = 0;

		if (mmx_tree_kind(child) == MMX_TREE_STRING)
			method = mmx_method_parse(
				mmx_tree_string(child, &bytes));
		if (method == MMX_METHOD_OTHER ||
		    strlen(mmx_method_string[method]) != bytes)
			mmx_schema_reject(schema, child, &element);
		else if (mask & MMX_METHOD_BIT(method))
			mmx_schema_report(schema, mmx_tree_place(child),
					  "method %s is listed twice",
					  mmx_method_string[method]);
		else
			mask |= MMX_METHOD_BIT(method);
		mmx_schema_pop(schema, length);
	}
	mmx_schema_pop(schema, outer);
	*(uint32_t *)((char *)into + rule->offset) = mask;
}

/* at: offset of a structure of this type in the one that the table is read
 * into, bytes. */
#define INTEGER_(key, presence, low, high, unit, scale, at, type, member) \
	{                                                                 \
		key, MMX_TREE_INTEGER, presence, mmx_schema_read_integer, \
			NULL, low, high, unit, scale,                     \
			(at) + offsetof(type, member),                    \
			sizeof(((type *)NULL)->member)                    \
	}
#define METHODS_(presence, at, type)                                   \
	{                                                              \
		"repeatable", MMX_TREE_ARRAY, presence, read_methods_, \
			METHODS_VALID,                                 \
			.offset = (at) + offsetof(type, repeatable)    \
	}
#define NAME_(key, presence, type, member)                                 \
	{                                                                  \
		key, MMX_TREE_STRING, presence, mmx_schema_read_name,      \
			NAME_VALID, .offset = offsetof(type, member),      \
				    .size = sizeof(((type *)NULL)->member) \
	}
#define BASE_(type)                                                            \
	INTEGER_("base", MMX_PRESENCE_REQUIRED, 0, MMX_REVISION_MAX,           \
		 "(revision that the object replaces, 0 for a new one)", 1, 0, \
		 type, base)

/*
 * Rules in the order of mmx_policy_field_t, so that the low bits of the mask
 * that mmx_schema_read_table() returns are policy fields.
 *
 * need: presence of the fields without a default
 * rest: presence of the fields with a default
 */
#define POLICY_(need, rest, at)                                              \
	INTEGER_("deadline_ms", need, 1, MMX_DEADLINE_MAX / MMX_US_PER_MS,   \
		 "milliseconds", MMX_US_PER_MS, at, mmx_policy_t, deadline), \
		METHODS_(rest, at, mmx_policy_t),                            \
		INTEGER_("floor_percent", need, 0, 100,                      \
			 "percent of the announced slots", 1, at,            \
			 mmx_policy_t, floor_percent),                       \
		INTEGER_("floor_slots", rest, 0, UINT16_MAX, "slots", 1, at, \
			 mmx_policy_t, floor_slots),                         \
		INTEGER_("detection_weight", need, 0, 100,                   \
			 "(0: no false ejection, 100: fast)", 1, at,         \
			 mmx_policy_t, detection_weight),                    \
		INTEGER_("retry_percent", rest, 0, 100,                      \
			 "retries per 100 successes", 1, at, mmx_policy_t,   \
			 retry_percent),                                     \
		INTEGER_("warm_up_ms", rest, 0,                              \
			 MMX_WARM_UP_MAX / MMX_US_PER_MS, "milliseconds",    \
			 MMX_US_PER_MS, at, mmx_policy_t, warm_up)

static const mmx_schema_rule_t template_rules_[] = {
	POLICY_(MMX_PRESENCE_REQUIRED, MMX_PRESENCE_RECORD,
		offsetof(mmx_change_template_t, policy)),
	BASE_(mmx_change_template_t),
};

static void read_template_(mmx_schema_t *schema, const mmx_tree_node_t *table,
			   const char *name, void *into)
{
	mmx_schema_read_table(schema, table, template_rules_,
			      G_N_ELEMENTS(template_rules_),
			      mmx_change_add_template(into, name));
}

static bool is_host_(const char *text, size_t length)
{
	size_t label = 0;
	size_t i;

	if (!length || length > MMX_HOST_MAX)
		return false;
	for (i = 0; i < length; i++) {
		if (text[i] == '.') {
			if (!label)
				return false;
			label = 0;
		} else if (g_ascii_isalnum(text[i]) || text[i] == '-' ||
			   text[i] == '_') {
			if (++label > HOST_LABEL_MAX)
				return false;
		} else {
			return false;
		}
	}
	return label > 0;
}

static void read_host_(mmx_schema_t *schema, const mmx_tree_node_t *node,
		       const mmx_schema_rule_t *rule, void *into)
{
	mmx_change_route_t *route = into;
	size_t length;
	const char *text = mmx_tree_string(node, &length);

	if (!is_host_(text, length)) {
		mmx_schema_reject(schema, node, rule);
		return;
	}
	g_free(route->host);
	route->host = g_ascii_strdown(text, -1);
}

static void read_path_prefix_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			      const mmx_schema_rule_t *rule, void *into)
{
	mmx_change_route_t *route = into;
	size_t length;
	const char *text = mmx_tree_string(node, &length);
	bool is_valid =
		length && length <= MMX_PATH_PREFIX_MAX && text[0] == '/';
	size_t i;

	for (i = 0; is_valid && i < length; i++)
		is_valid = g_ascii_isgraph(text[i]) && text[i] != '?' &&
			   text[i] != '#';
	if (!is_valid) {
		mmx_schema_reject(schema, node, rule);
		return;
	}
	g_free(route->path_prefix);
	route->path_prefix = g_strdup(text);
}

static void read_public_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			 const mmx_schema_rule_t *rule, void *into)
{
	((mmx_change_route_t *)into)->is_public = mmx_tree_integer(node) != 0;
}

static const mmx_schema_rule_t route_rules_[] = {
	POLICY_(MMX_PRESENCE_OPTIONAL, MMX_PRESENCE_OPTIONAL,
		offsetof(mmx_change_route_t, override.values)),
	{"host", MMX_TREE_STRING, MMX_PRESENCE_REQUIRED, read_host_,
	 .valid = HOST_VALID},
	{"path_prefix", MMX_TREE_STRING, MMX_PRESENCE_RECORD, read_path_prefix_,
	 .valid = PATH_PREFIX_VALID},
	{"public", MMX_TREE_BOOLEAN, MMX_PRESENCE_OPTIONAL, read_public_,
	 .valid = "true or false"},
};

static void check_duplicate_route_(mmx_schema_t *schema,
				   const mmx_tree_node_t *node,
				   const mmx_change_route_t *route)
{
	change_reader_t *reader = schema->user_data;
	char *key = g_strdup_printf("%s %s", route->host, route->path_prefix);
	const char *first = g_hash_table_lookup(reader->routes, key);
	mmx_tree_place_t place = mmx_tree_place(node);

	if (first) {
		mmx_schema_report(schema, place,
				  "host '%s' with path_prefix '%s' is already "
				  "the route of %s; remove one of them",
				  route->host, route->path_prefix, first);
		g_free(key);
		return;
	}
	g_hash_table_insert(reader->routes, key,
			    place.line ? g_strdup_printf("%s in line %d",
							 schema->path->str,
							 place.line)
				       : g_strdup(schema->path->str));
}

static void read_route_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			mmx_change_service_t *service)
{
	static const mmx_schema_rule_t element = {.key = "route",
						  .valid = "a table"};
	size_t before = mmx_findings_count(schema->findings);
	mmx_change_route_t *route;

	if (mmx_tree_kind(node) != MMX_TREE_TABLE) {
		mmx_schema_reject(schema, node, &element);
		return;
	}
	route = mmx_change_add_route(service, "", "/");
	route->override.fields =
		mmx_schema_read_table(schema, node, route_rules_,
				      G_N_ELEMENTS(route_rules_), route) &
		(MMX_POLICY_BIT(MMX_POLICY_FIELD_COUNT) - 1);
	/* An invalid route keeps default values, which may equal those of
	 * another route. */
	if (mmx_findings_count(schema->findings) == before)
		check_duplicate_route_(schema, node, route);
}

static void read_routes_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			 const mmx_schema_rule_t *rule, void *into)
{
	const mmx_tree_node_t *child = mmx_tree_first(node);
	size_t outer = mmx_schema_push(schema, rule->key);
	size_t index;

	if (mmx_tree_count(node) > MMX_SERVICE_ROUTES_MAX)
		mmx_schema_report(schema, mmx_tree_place(node),
				  "must hold at most %d routes; found %zu",
				  MMX_SERVICE_ROUTES_MAX, mmx_tree_count(node));
	for (index = 0; child && index < MMX_SERVICE_ROUTES_MAX; index++) {
		size_t length = mmx_schema_push_index(schema, index);

		read_route_(schema, child, into);
		mmx_schema_pop(schema, length);
		child = mmx_tree_next(child);
	}
	mmx_schema_pop(schema, outer);
}

static const mmx_schema_rule_t service_rules_[] = {
	BASE_(mmx_change_service_t),
	NAME_("template", MMX_PRESENCE_REQUIRED, mmx_change_service_t,
	      template_name),
	{"route", MMX_TREE_ARRAY, MMX_PRESENCE_REQUIRED, read_routes_,
	 .valid = ROUTES_VALID},
};

static void read_service_(mmx_schema_t *schema, const mmx_tree_node_t *table,
			  const char *name, void *into)
{
	mmx_schema_read_table(schema, table, service_rules_,
			      G_N_ELEMENTS(service_rules_),
			      mmx_change_add_service(into, name));
}

static bool parse_digest_(const mmx_tree_node_t *node,
			  uint8_t digest[MMX_CHANGE_DIGEST_BYTES])
{
	size_t prefix = strlen(DIGEST_PREFIX);
	const char *text;
	size_t length;
	size_t i;

	if (mmx_tree_kind(node) != MMX_TREE_STRING)
		return false;
	text = mmx_tree_string(node, &length);
	if (length != prefix + 2 * MMX_CHANGE_DIGEST_BYTES ||
	    strncmp(text, DIGEST_PREFIX, prefix) != 0)
		return false;
	for (i = 0; i < MMX_CHANGE_DIGEST_BYTES; i++) {
		int high = g_ascii_xdigit_value(text[prefix + 2 * i]);
		int low = g_ascii_xdigit_value(text[prefix + 2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		digest[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

/* Reports a value without it: where a digest is expected, a mistaken file may
 * hold a key. */
static void read_digest_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			 mmx_change_account_t *account)
{
	change_reader_t *reader = schema->user_data;
	uint8_t *digest = account->key_digests[account->key_count];
	const char *other;
	char *text;

	if (!parse_digest_(node, digest)) {
		mmx_schema_report(schema, mmx_tree_place(node),
				  "must be a string of \"" DIGEST_PREFIX
				  "\" and 64 hexadecimal digits");
		return;
	}
	text = g_ascii_strdown(mmx_tree_string(node, NULL), -1);
	other = g_hash_table_lookup(reader->digests, text);
	if (other) {
		mmx_schema_report(schema, mmx_tree_place(node),
				  "account '%s' has this key already", other);
		g_free(text);
		return;
	}
	g_hash_table_insert(reader->digests, text, account->name);
	account->key_count++;
}

static void read_digests_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			  const mmx_schema_rule_t *rule, void *into)
{
	const mmx_tree_node_t *child = mmx_tree_first(node);
	size_t outer = mmx_schema_push(schema, rule->key);
	size_t index;

	if (mmx_tree_count(node) > MMX_ACCOUNT_KEYS_MAX) {
		mmx_schema_report(schema, mmx_tree_place(node),
				  "must hold at most %d digests; found %zu",
				  MMX_ACCOUNT_KEYS_MAX, mmx_tree_count(node));
		child = NULL;
	}
	for (index = 0; child; index++, child = mmx_tree_next(child)) {
		size_t length = mmx_schema_push_index(schema, index);

		read_digest_(schema, child, into);
		mmx_schema_pop(schema, length);
	}
	mmx_schema_pop(schema, outer);
}

/* Indices in account_rules_. */
#define ACCOUNT_REPEATABLE 4
#define ACCOUNT_PRIORITY 5

static const mmx_schema_rule_t account_rules_[] = {
	BASE_(mmx_change_account_t),
	INTEGER_("floor_percent", MMX_PRESENCE_RECORD, 0, 100,
		 "percent of the slots of each service", 1, 0,
		 mmx_change_account_t, floor_percent),
	INTEGER_("ceiling_percent", MMX_PRESENCE_RECORD, 1, 100,
		 "percent of the slots of each service", 1, 0,
		 mmx_change_account_t, ceiling_percent),
	INTEGER_("deadline_ms", MMX_PRESENCE_OPTIONAL, 1,
		 MMX_DEADLINE_MAX / MMX_US_PER_MS, "milliseconds",
		 MMX_US_PER_MS, 0, mmx_change_account_t, deadline),
	METHODS_(MMX_PRESENCE_OPTIONAL, 0, mmx_change_account_t),
	INTEGER_("priority", MMX_PRESENCE_OPTIONAL, 0, UINT8_MAX,
		 "(0: the most urgent)", 1, 0, mmx_change_account_t, priority),
	{"rate", MMX_TREE_FLOAT, MMX_PRESENCE_OPTIONAL, mmx_schema_read_number,
	 .valid = RATE_VALID, .max = (int64_t)MMX_ACCOUNT_RATE_MAX,
	 .offset = offsetof(mmx_change_account_t, rate)},
	{"burst", MMX_TREE_FLOAT, MMX_PRESENCE_OPTIONAL, mmx_schema_read_number,
	 .valid = RATE_VALID, .max = (int64_t)MMX_ACCOUNT_RATE_MAX,
	 .offset = offsetof(mmx_change_account_t, burst)},
	{"key_digests", MMX_TREE_ARRAY, MMX_PRESENCE_OPTIONAL, read_digests_,
	 .valid = DIGESTS_VALID},
};

static void read_account_(mmx_schema_t *schema, const mmx_tree_node_t *table,
			  const char *name, void *into)
{
	mmx_change_account_t *account = mmx_change_add_account(into, name);
	uint32_t present =
		mmx_schema_read_table(schema, table, account_rules_,
				      G_N_ELEMENTS(account_rules_), account);

	account->has_repeatable = present >> ACCOUNT_REPEATABLE & 1;
	account->has_priority = present >> ACCOUNT_PRIORITY & 1;
	if (account->floor_percent > account->ceiling_percent)
		mmx_schema_report(schema, mmx_tree_place(table),
				  "floor_percent %u is above ceiling_percent "
				  "%u; it must be at most that",
				  account->floor_percent,
				  account->ceiling_percent);
}

static const mmx_schema_rule_t change_rules_[] = {
	NAME_("id", MMX_PRESENCE_RECORD, mmx_change_t, id),
	NAME_("publisher", MMX_PRESENCE_RECORD, mmx_change_t, publisher),
};

static void read_section_(mmx_schema_t *schema, const mmx_tree_node_t *node,
			  const mmx_schema_rule_t *rule, void *into)
{
	size_t outer = mmx_schema_push(schema, rule->key);

	if (!strcmp(rule->key, "change"))
		mmx_schema_read_table(schema, node, change_rules_,
				      G_N_ELEMENTS(change_rules_), into);
	else if (!strcmp(rule->key, "template"))
		mmx_schema_read_named(schema, node, read_template_, into);
	else if (!strcmp(rule->key, "service"))
		mmx_schema_read_named(schema, node, read_service_, into);
	else
		mmx_schema_read_named(schema, node, read_account_, into);
	mmx_schema_pop(schema, outer);
}

static const mmx_schema_rule_t root_rules_[] = {
	{"change", MMX_TREE_TABLE, MMX_PRESENCE_RECORD, read_section_,
	 .valid = "a table with id and publisher"},
	{"template", MMX_TREE_TABLE, MMX_PRESENCE_OPTIONAL, read_section_,
	 .valid = "a table of tables [template.NAME]"},
	{"service", MMX_TREE_TABLE, MMX_PRESENCE_OPTIONAL, read_section_,
	 .valid = "a table of tables [service.NAME]"},
	{"account", MMX_TREE_TABLE, MMX_PRESENCE_OPTIONAL, read_section_,
	 .valid = "a table of tables [account.NAME]"},
};

/* The publisher may be set later, so its longest name is assumed if it is
 * missing. */
static void check_size_(mmx_schema_t *schema, const mmx_change_t *change)
{
	mmx_change_t copy = *change;
	size_t length;

	if (!*copy.publisher)
		memset(copy.publisher, 'x', MMX_NAME_MAX);
	g_free(mmx_change_to_json(&copy, &length));
	if (length > MMX_CHANGE_RECORD_MAX)
		mmx_schema_report(schema, (mmx_tree_place_t){.line = 0},
				  "the change takes a record of up to %zu "
				  "bytes; at most %d are valid, publish it in "
				  "parts",
				  length, MMX_CHANGE_RECORD_MAX);
}

static mmx_change_t *read_tree_(const char *file, const mmx_tree_node_t *root,
				bool is_record, mmx_findings_t *findings)
{
	change_reader_t reader = {.change = mmx_change_create()};
	mmx_change_t *change = reader.change;
	mmx_schema_t schema;

	reader.routes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	reader.digests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	mmx_schema_init(&schema, file, findings, is_record, &reader);
	mmx_schema_read_table(&schema, root, root_rules_,
			      G_N_ELEMENTS(root_rules_), change);
	if (!mmx_findings_count(findings) && STAILQ_EMPTY(&change->templates) &&
	    STAILQ_EMPTY(&change->services) && STAILQ_EMPTY(&change->accounts))
		mmx_schema_report(&schema, (mmx_tree_place_t){.line = 0},
				  "the change holds no object; it needs at "
				  "least one [template.NAME], [service.NAME] "
				  "or [account.NAME]");
	if (!is_record && !mmx_findings_count(findings)) {
		if (!*change->id)
			mmx_change_generate_id(change);
		check_size_(&schema, change);
	}
	mmx_schema_finish(&schema);
	g_hash_table_destroy(reader.routes);
	g_hash_table_destroy(reader.digests);
	if (mmx_findings_count(findings)) {
		mmx_change_destroy(change);
		return NULL;
	}
	return change;
}

/* Frees the tree and own, which holds the findings of its parser. */
static mmx_change_t *read_file_(const char *file, mmx_tree_node_t *root,
				mmx_findings_t *own, mmx_findings_t *findings)
{
	mmx_change_t *change = root ? read_tree_(file, root, false, own) : NULL;

	mmx_tree_destroy(root);
	mmx_findings_move(findings, own);
	mmx_findings_destroy(own);
	return change;
}

mmx_change_t *mmx_change_load(const char *path, mmx_findings_t *findings)
{
	mmx_findings_t *own = mmx_findings_create();

	return read_file_(path, mmx_toml_parse_file(path, own), own, findings);
}

mmx_change_t *mmx_change_parse(const char *file, const char *text,
			       size_t length, mmx_findings_t *findings)
{
	mmx_findings_t *own = mmx_findings_create();

	return read_file_(file, mmx_toml_parse(file, text, length, own), own,
			  findings);
}

static void set_error_(mmx_error_t *error, const mmx_findings_t *findings)
{
	const mmx_finding_t *first = STAILQ_FIRST(mmx_findings_list(findings));
	size_t more = mmx_findings_count(findings) - 1;

	if (more)
		mmx_error_set(error, MMX_ERROR_INVALID, "%s (and %zu more)",
			      first->text, more);
	else
		mmx_error_set(error, MMX_ERROR_INVALID, "%s", first->text);
}

mmx_change_t *mmx_change_from_json(const char *text, size_t length,
				   mmx_error_t *error)
{
	mmx_findings_t *findings;
	mmx_change_t *change = NULL;
	mmx_tree_node_t *root;

	if (length > MMX_CHANGE_RECORD_MAX) {
		mmx_error_set(error, MMX_ERROR_LIMIT,
			      "record of %zu bytes; at most %d are valid",
			      length, MMX_CHANGE_RECORD_MAX);
		return NULL;
	}
	root = mmx_json_parse(text, length, error);
	if (!root)
		return NULL;
	findings = mmx_findings_create();
	change = read_tree_("record", root, true, findings);
	if (!change)
		set_error_(error, findings);
	mmx_findings_destroy(findings);
	mmx_tree_destroy(root);
	return change;
}
