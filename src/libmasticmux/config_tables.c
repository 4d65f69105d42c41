#include "private/config_tables.h"

#include <assert.h>
#include <openssl/evp.h>
#include <string.h>
#include <xxhash.h>

/* Highest bit of the mask of prefix depths, in segments; it also stands for all
 * greater depths. */
#define DEPTH_LAST 31

static guint hash_name_(gconstpointer data)
{
	const mmx_config_state_key_t *key = data;

	return (guint)XXH64(key->name, strlen(key->name), 0);
}

static gboolean equal_name_(gconstpointer a, gconstpointer b)
{
	const mmx_config_state_key_t *left = a;
	const mmx_config_state_key_t *right = b;

	return strcmp(left->name, right->name) == 0;
}

static guint hash_route_(gconstpointer data)
{
	const mmx_config_state_route_key_t *key = data;

	return (guint)XXH64(key->prefix, key->length, (uintptr_t)key->host);
}

static gboolean equal_route_(gconstpointer a, gconstpointer b)
{
	const mmx_config_state_route_key_t *left = a;
	const mmx_config_state_route_key_t *right = b;

	return left->host == right->host && left->length == right->length &&
	       memcmp(left->prefix, right->prefix, left->length) == 0;
}

static guint hash_verdict_(gconstpointer data)
{
	const mmx_config_state_verdict_t *verdict = data;

	return (guint)XXH64(verdict->id, sizeof(verdict->id), 0);
}

static gboolean equal_verdict_(gconstpointer a, gconstpointer b)
{
	const mmx_config_state_verdict_t *left = a;
	const mmx_config_state_verdict_t *right = b;

	return memcmp(left->id, right->id, sizeof(left->id)) == 0;
}

static void free_route_(gpointer data)
{
	mmx_config_state_route_t *route = data;

	g_free(route->override);
	g_free(route);
}

static void free_service_(gpointer data)
{
	mmx_config_state_service_t *service = data;

	g_free(service->routes);
	g_free(service);
}

mmx_config_state_t *mmx_config_state_create(void)
{
	mmx_config_state_t *state = g_new0(mmx_config_state_t, 1);

	state->templates =
		g_hash_table_new_full(hash_name_, equal_name_, g_free, NULL);
	state->services = g_hash_table_new_full(hash_name_, equal_name_,
						free_service_, NULL);
	state->hosts =
		g_hash_table_new_full(hash_name_, equal_name_, g_free, NULL);
	state->routes = g_hash_table_new_full(hash_route_, equal_route_,
					      free_route_, NULL);
	state->accounts = g_hash_table_new_full(
		hash_name_, equal_name_, mmx_config_state_free_account, NULL);
	state->verdicts = g_new0(mmx_config_state_verdict_t,
				 MMX_CONFIG_STATE_VERDICTS_MAX);
	state->verdict_index = g_hash_table_new(hash_verdict_, equal_verdict_);
	return state;
}

void mmx_config_state_destroy(mmx_config_state_t *state)
{
	if (!state)
		return;
	g_hash_table_destroy(state->routes);
	g_hash_table_destroy(state->hosts);
	g_hash_table_destroy(state->services);
	g_hash_table_destroy(state->templates);
	g_hash_table_destroy(state->accounts);
	mmx_account_keys_destroy(state->keys);
	g_hash_table_destroy(state->verdict_index);
	g_free(state->verdicts);
	mmx_routing_destroy(state->routing);
	g_free(state);
}

static void *find_(GHashTable *table, const char *name)
{
	mmx_config_state_key_t key = {name};

	return g_hash_table_lookup(table, &key);
}

mmx_config_state_template_t *
mmx_config_state_find_template(const mmx_config_state_t *state,
			       const char *name)
{
	return find_(state->templates, name);
}

mmx_config_state_service_t *
mmx_config_state_find_service(const mmx_config_state_t *state, const char *name)
{
	return find_(state->services, name);
}

mmx_config_state_account_t *
mmx_config_state_find_account(const mmx_config_state_t *state, const char *name)
{
	return find_(state->accounts, name);
}

size_t mmx_config_state_prefix_length(const char *prefix)
{
	size_t length = strlen(prefix);

	while (length > 1 && prefix[length - 1] == '/')
		length--;
	return length;
}

mmx_config_state_route_t *
mmx_config_state_find_route(const mmx_config_state_t *state, const char *host,
			    const char *prefix)
{
	mmx_config_state_route_key_t key = {
		.host = find_(state->hosts, host),
		.prefix = prefix,
		.length = (uint32_t)mmx_config_state_prefix_length(prefix),
	};

	return key.host ? g_hash_table_lookup(state->routes, &key) : NULL;
}

void mmx_config_state_put_template(mmx_config_state_t *state, const char *name,
				   uint64_t revision,
				   const mmx_policy_t *policy)
{
	mmx_config_state_template_t *entry =
		mmx_config_state_find_template(state, name);
	size_t size = strlen(name) + 1;

	if (!entry) {
		entry = g_malloc0(sizeof(*entry) + size);
		memcpy(entry->text, name, size);
		entry->key.name = entry->text;
		g_hash_table_add(state->templates, entry);
	}
	entry->revision = revision;
	entry->policy = *policy;
}

mmx_config_state_service_t *
mmx_config_state_put_service(mmx_config_state_t *state, const char *name,
			     uint64_t revision,
			     mmx_config_state_template_t *template_entry)
{
	mmx_config_state_service_t *entry =
		mmx_config_state_find_service(state, name);
	size_t size = strlen(name) + 1;

	if (!entry) {
		entry = g_malloc0(sizeof(*entry) + size);
		memcpy(entry->text, name, size);
		entry->key.name = entry->text;
		g_hash_table_add(state->services, entry);
	}
	entry->revision = revision;
	entry->template_entry = template_entry;
	return entry;
}

static mmx_config_state_host_t *reference_host_(mmx_config_state_t *state,
						const char *name)
{
	mmx_config_state_host_t *host = find_(state->hosts, name);
	size_t size = strlen(name) + 1;

	if (!host) {
		host = g_malloc0(sizeof(*host) + size);
		memcpy(host->text, name, size);
		host->key.name = host->text;
		g_hash_table_add(state->hosts, host);
	}
	host->route_count++;
	return host;
}

static uint32_t depth_bit_(const char *prefix, size_t length)
{
	size_t depth = 0;
	size_t i;

	for (i = 0; length > 1 && i < length; i++)
		depth += prefix[i] == '/';
	return 1U << (depth < DEPTH_LAST ? depth : DEPTH_LAST);
}

void mmx_config_state_clear_routes(mmx_config_state_t *state,
				   mmx_config_state_service_t *service)
{
	size_t i;

	for (i = 0; i < service->route_count; i++) {
		mmx_config_state_route_t *route = service->routes[i];
		mmx_config_state_host_t *host =
			find_(state->hosts, route->key.host->key.name);

		g_hash_table_remove(state->routes, route);
		if (--host->route_count == 0)
			g_hash_table_remove(state->hosts, host);
	}
	g_free(service->routes);
	service->routes = NULL;
	service->route_count = 0;
}

static int compare_routes_(const void *a, const void *b)
{
	const mmx_config_state_route_t *left =
		*(mmx_config_state_route_t *const *)a;
	const mmx_config_state_route_t *right =
		*(mmx_config_state_route_t *const *)b;
	int order = strcmp(left->key.host->key.name, right->key.host->key.name);

	return order ? order : strcmp(left->key.prefix, right->key.prefix);
}

static mmx_config_state_route_t *add_route_(mmx_config_state_t *state,
					    const mmx_change_route_t *change)
{
	size_t length = mmx_config_state_prefix_length(change->path_prefix);
	mmx_config_state_host_t *host = reference_host_(state, change->host);
	mmx_config_state_route_t *route;

	if (length > 1) {
		route = g_malloc0(sizeof(*route) + length + 1);
		memcpy(route->text, change->path_prefix, length);
		route->key.prefix = route->text;
	} else {
		route = g_malloc0(sizeof(*route));
		route->key.prefix = "/";
	}
	route->key.host = host;
	route->key.length = (uint32_t)length;
	if (change->override.fields)
		route->override =
			g_memdup2(&change->override, sizeof(change->override));
	route->is_public = change->is_public;
	host->prefix_depths |= depth_bit_(route->key.prefix, length);
	assert(!g_hash_table_contains(state->routes, route));
	g_hash_table_add(state->routes, route);
	return route;
}

void mmx_config_state_set_routes(mmx_config_state_t *state,
				 mmx_config_state_service_t *service,
				 const mmx_change_route_list_t *list,
				 size_t count)
{
	const mmx_change_route_t *change;
	size_t i = 0;

	assert(service->route_count == 0);
	if (count == 0)
		return;
	service->routes = g_new(mmx_config_state_route_t *, count);
	STAILQ_FOREACH (change, list, entry) {
		service->routes[i] = add_route_(state, change);
		service->routes[i++]->service = service;
	}
	assert(i == count);
	service->route_count = count;
	qsort(service->routes, count, sizeof(service->routes[0]),
	      compare_routes_);
}

void mmx_config_state_add_verdict(mmx_config_state_t *state,
				  const mmx_config_state_verdict_t *verdict)
{
	mmx_config_state_verdict_t *slot =
		&state->verdicts[state->verdict_next];

	if (state->verdict_count == MMX_CONFIG_STATE_VERDICTS_MAX)
		g_hash_table_remove(state->verdict_index, slot);
	else
		state->verdict_count++;
	*slot = *verdict;
	g_hash_table_add(state->verdict_index, slot);
	state->verdict_next =
		(state->verdict_next + 1) % MMX_CONFIG_STATE_VERDICTS_MAX;
}

const mmx_config_state_verdict_t *mmx_config_state_find_verdict(
	const mmx_config_state_t *state,
	const uint8_t id[MMX_CONFIG_STATE_ID_DIGEST_BYTES])
{
	mmx_config_state_verdict_t key;

	memcpy(key.id, id, sizeof(key.id));
	return g_hash_table_lookup(state->verdict_index, &key);
}

const mmx_config_state_verdict_t *
mmx_config_state_verdict_at(const mmx_config_state_t *state, size_t n)
{
	size_t oldest = state->verdict_next + MMX_CONFIG_STATE_VERDICTS_MAX -
			state->verdict_count;

	assert(n < state->verdict_count);
	return &state->verdicts[(oldest + n) % MMX_CONFIG_STATE_VERDICTS_MAX];
}

void mmx_config_state_digest_id(
	const char *id, uint8_t digest[MMX_CONFIG_STATE_ID_DIGEST_BYTES])
{
	uint8_t full[EVP_MAX_MD_SIZE];

	EVP_Digest(id, strlen(id), full, NULL, EVP_sha256(), NULL);
	memcpy(digest, full, MMX_CONFIG_STATE_ID_DIGEST_BYTES);
}

/* Copies a host in lower case without its port. Strips the brackets of an IPv6
 * address. */
static bool normalize_host_(const char *host, char *out, size_t size)
{
	size_t i;

	if (host[0] == '[') {
		for (i = 1; host[i] && host[i] != ']' && i < size; i++)
			out[i - 1] = g_ascii_tolower(host[i]);
		if (host[i] != ']')
			return false;
		out[i - 1] = '\0';
		return true;
	}
	for (i = 0; host[i] && host[i] != ':'; i++) {
		if (i + 1 >= size)
			return false;
		out[i] = g_ascii_tolower(host[i]);
	}
	out[i] = '\0';
	return true;
}

/*
 * Gives the lengths of the prefixes of a path that consist of whole segments,
 * in ascending order. Entry n has n segments; entry 0 is the root.
 */
static size_t segment_ends_(const char *path, uint16_t lengths[])
{
	size_t count = 1;
	size_t i;

	lengths[0] = 1;
	if (path[0] != '/')
		return count;
	for (i = 1; i <= MMX_PATH_PREFIX_MAX + 1; i++) {
		bool end = !path[i] || path[i] == '?' || path[i] == '#';

		if ((end && i > 1) || path[i] == '/')
			lengths[count++] = (uint16_t)i;
		if (end)
			break;
	}
	return count;
}

static mmx_config_state_route_t *match_route_(const mmx_config_state_t *state,
					      const char *host,
					      const char *path)
{
	uint16_t lengths[MMX_PATH_PREFIX_MAX + 3];
	mmx_config_state_route_key_t key = {.host = find_(state->hosts, host)};
	size_t n;

	if (!key.host)
		return NULL;
	for (n = segment_ends_(path, lengths); n-- > 0;) {
		mmx_config_state_route_t *route;
		size_t depth = n < DEPTH_LAST ? n : DEPTH_LAST;

		if (!(key.host->prefix_depths & (1U << depth)))
			continue;
		key.prefix = n ? path : "/";
		key.length = lengths[n];
		route = g_hash_table_lookup(state->routes, &key);
		if (route)
			return route;
	}
	return NULL;
}

static bool find_in_routing_table_(const mmx_config_state_t *state,
				   const char *host, const char *path,
				   mmx_route_t *route)
{
	mmx_routing_rule_t *rule =
		mmx_routing_find_route(state->routing, host, path);

	if (!rule)
		return false;
	*route = (mmx_route_t){
		.service = mmx_routing_next_service(rule),
		.policy = state->routing_policy,
		.name = rule->name,
		.timeout = rule->timeout,
		.objective = rule->objective,
		.attempts_max = rule->attempts_max,
		.priority = rule->priority,
		.is_public = rule->is_public,
	};
	route->policy.deadline = rule->timeout;
	route->large_bodies = rule->large_bodies;
	route->policy.repeatable = rule->repeatable ? UINT32_MAX : 0;
	return true;
}

bool mmx_config_state_replace(mmx_config_state_t *state,
			      mmx_routing_table_t *routing,
			      const mmx_policy_t *policy)
{
	if (mmx_routing_version(routing) <= state->applied_offset) {
		mmx_routing_destroy(routing);
		return false;
	}
	mmx_routing_destroy(state->routing);
	state->routing = routing;
	state->routing_policy = *policy;
	state->applied_offset = mmx_routing_version(routing);
	return true;
}

const mmx_routing_table_t *
mmx_config_state_routing_table(const mmx_config_state_t *state)
{
	return state->routing;
}

bool mmx_config_state_match_route(const mmx_config_state_t *state,
				  const char *host, const char *path,
				  mmx_route_t *route)
{
	char name[MMX_HOST_MAX + 1];
	const mmx_config_state_route_t *entry;

	if (state->routing)
		return find_in_routing_table_(state, host, path, route);
	*route = (mmx_route_t){.name = NULL};
	if (!normalize_host_(host, name, sizeof(name)))
		return false;
	entry = match_route_(state, name, path);
	if (!entry)
		return false;
	route->service = entry->service->key.name;
	route->policy = entry->service->template_entry->policy;
	route->is_public = entry->is_public;
	if (entry->override)
		mmx_policy_apply(&route->policy, entry->override);
	return true;
}

bool mmx_config_state_get_service_policy(const mmx_config_state_t *state,
					 const char *service,
					 mmx_policy_t *policy)
{
	const mmx_config_state_service_t *entry;

	if (state->routing) {
		*policy = state->routing_policy;
		return true;
	}
	entry = mmx_config_state_find_service(state, service);
	if (!entry)
		return false;
	*policy = entry->template_entry->policy;
	return true;
}

uint64_t mmx_config_state_template_revision(const mmx_config_state_t *state,
					    const char *name)
{
	const mmx_config_state_template_t *entry =
		mmx_config_state_find_template(state, name);

	return entry ? entry->revision : 0;
}

uint64_t mmx_config_state_service_revision(const mmx_config_state_t *state,
					   const char *name)
{
	const mmx_config_state_service_t *entry =
		mmx_config_state_find_service(state, name);

	return entry ? entry->revision : 0;
}

void mmx_config_state_sizes(const mmx_config_state_t *state,
			    mmx_config_state_sizes_t *sizes)
{
	sizes->templates = g_hash_table_size(state->templates);
	sizes->services = g_hash_table_size(state->services);
	sizes->routes = g_hash_table_size(state->routes);
	sizes->accounts = g_hash_table_size(state->accounts);
	sizes->verdicts = state->verdict_count;
}
