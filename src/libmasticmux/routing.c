#include "masticmux/routing.h"

#include <assert.h>
#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "private/account_keys.h"

/*
 * Routes of one host. The longest matching prefix is found by one hash look-up
 * per prefix length that occurs. There are few lengths, however many routes
 * there are.
 */
typedef struct host_routes_t {
	GHashTable *routes;	/* set of mmx_routing_rule_t, keyed by prefix */
	GArray *prefix_lengths; /* of size_t, longest first */
} host_routes_t;

struct mmx_routing_table_t {
	uint64_t version;
	GHashTable *hosts;	  /* lower-case name -> host_routes_t */
	GHashTable *services;	  /* name -> mmx_routing_service_t */
	GHashTable *accounts;	  /* name -> mmx_routing_account_t */
	mmx_account_keys_t *keys; /* of mmx_routing_account_t */
	bool requires_key;
	mmx_caller_limits_t limits;
	size_t count;
};

static void free_route_(gpointer data)
{
	mmx_routing_rule_t *rule = data;

	g_free(rule->prefix);
	g_free(rule->destinations);
	g_free(rule);
}

static guint hash_prefix_(gconstpointer data)
{
	const mmx_routing_rule_t *rule = data;

	return (guint)XXH3_64bits(rule->prefix, rule->prefix_length);
}

static gboolean same_prefix_(gconstpointer a, gconstpointer b)
{
	const mmx_routing_rule_t *left = a;
	const mmx_routing_rule_t *right = b;

	return left->prefix_length == right->prefix_length &&
	       memcmp(left->prefix, right->prefix, left->prefix_length) == 0;
}

static host_routes_t *create_host_routes_(void)
{
	host_routes_t *host = g_new(host_routes_t, 1);

	host->routes = g_hash_table_new_full(hash_prefix_, same_prefix_,
					     free_route_, NULL);
	host->prefix_lengths = g_array_new(FALSE, FALSE, sizeof(size_t));
	return host;
}

static void free_host_routes_(gpointer data)
{
	host_routes_t *host = data;

	g_hash_table_destroy(host->routes);
	g_array_free(host->prefix_lengths, TRUE);
	g_free(host);
}

static void add_prefix_length_(host_routes_t *host, size_t length)
{
	guint at = 0;

	while (at < host->prefix_lengths->len &&
	       g_array_index(host->prefix_lengths, size_t, at) > length)
		at++;
	if (at == host->prefix_lengths->len ||
	    g_array_index(host->prefix_lengths, size_t, at) != length)
		g_array_insert_val(host->prefix_lengths, at, length);
}

mmx_routing_table_t *mmx_routing_create(uint64_t version)
{
	mmx_routing_table_t *routing = g_new0(mmx_routing_table_t, 1);

	assert(version > 0);
	routing->version = version;
	routing->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_host_routes_);
	routing->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	routing->accounts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	routing->keys = mmx_account_keys_create();
	return routing;
}

void mmx_routing_destroy(mmx_routing_table_t *routing)
{
	if (!routing)
		return;
	g_hash_table_destroy(routing->hosts);
	g_hash_table_destroy(routing->services);
	g_hash_table_destroy(routing->accounts);
	mmx_account_keys_destroy(routing->keys);
	g_free(routing);
}

mmx_routing_rule_t *mmx_routing_add_route(mmx_routing_table_t *routing,
					  const char *host, const char *prefix)
{
	mmx_routing_rule_t *rule = g_new0(mmx_routing_rule_t, 1);
	char *lower_host = g_ascii_strdown(host, -1);
	host_routes_t *found = g_hash_table_lookup(routing->hosts, lower_host);

	assert(prefix[0] == '/');
	rule->prefix = g_strdup(prefix);
	rule->prefix_length = strlen(prefix);
	rule->attempts_max = 1;
	if (!found) {
		found = create_host_routes_();
		g_hash_table_insert(routing->hosts, g_strdup(lower_host),
				    found);
	}
	g_free(lower_host);
	routing->count += g_hash_table_add(found->routes, rule);
	add_prefix_length_(found, rule->prefix_length);
	return rule;
}

void mmx_routing_add_destination(mmx_routing_rule_t *rule, const char *service,
				 uint32_t weight)
{
	size_t index = rule->destination_count++;

	rule->destinations = g_renew(mmx_destination_t, rule->destinations,
				     rule->destination_count);
	rule->destinations[index] = (mmx_destination_t){.weight = weight};
	g_strlcpy(rule->destinations[index].service, service,
		  sizeof(rule->destinations[index].service));
	rule->weight_total += weight;
}

void mmx_routing_add_service(mmx_routing_table_t *routing,
			     const mmx_routing_service_t *service)
{
	mmx_routing_service_t *copy =
		g_memdup2(service, sizeof(mmx_routing_service_t));

	g_hash_table_replace(routing->services, copy->name, copy);
}

void mmx_routing_set_limits(mmx_routing_table_t *routing,
			    const mmx_caller_limits_t *limits)
{
	routing->limits = *limits;
}

void mmx_routing_set_requires_key(mmx_routing_table_t *routing)
{
	routing->requires_key = true;
}

mmx_routing_account_t *mmx_routing_add_account(mmx_routing_table_t *routing,
					       const char *name)
{
	mmx_routing_account_t *account =
		g_hash_table_lookup(routing->accounts, name);

	assert(name[0] && strlen(name) <= MMX_NAME_MAX);
	if (account)
		return account;
	account = g_new0(mmx_routing_account_t, 1);
	g_strlcpy(account->name, name, sizeof(account->name));
	g_hash_table_insert(routing->accounts, account->name, account);
	return account;
}

bool mmx_routing_add_key(mmx_routing_table_t *routing,
			 mmx_routing_account_t *account, const char *key,
			 size_t length)
{
	uint8_t digest[MMX_KEY_DIGEST_BYTES];

	assert(length > 0 && length <= MMX_ACCOUNT_KEY_MAX);
	mmx_account_keys_digest(routing->keys, key, length, digest);
	return mmx_account_keys_add(routing->keys, digest, account);
}

uint64_t mmx_routing_version(const mmx_routing_table_t *routing)
{
	return routing->version;
}

size_t mmx_routing_route_count(const mmx_routing_table_t *routing)
{
	return routing->count;
}

size_t mmx_routing_account_count(const mmx_routing_table_t *routing)
{
	return g_hash_table_size(routing->accounts);
}

size_t mmx_routing_key_count(const mmx_routing_table_t *routing)
{
	return mmx_account_keys_count(routing->keys);
}

bool mmx_routing_requires_key(const mmx_routing_table_t *routing)
{
	return routing->requires_key;
}

const mmx_caller_limits_t *
mmx_routing_limits(const mmx_routing_table_t *routing)
{
	return &routing->limits;
}

const mmx_routing_service_t *
mmx_routing_service(const mmx_routing_table_t *routing, const char *name)
{
	return g_hash_table_lookup(routing->services, name);
}

const mmx_routing_account_t *
mmx_routing_find_account(const mmx_routing_table_t *routing, const char *name)
{
	return g_hash_table_lookup(routing->accounts, name);
}

const mmx_routing_account_t *
mmx_routing_find_key(const mmx_routing_table_t *routing, const char *key,
		     size_t length)
{
	return mmx_account_keys_find(routing->keys, key, length);
}

mmx_routing_rule_t *mmx_routing_find_route(mmx_routing_table_t *routing,
					   const char *host, const char *path)
{
	char *lower_host = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
	const host_routes_t *found =
		g_hash_table_lookup(routing->hosts, lower_host);
	mmx_routing_rule_t key = {.prefix = (char *)path};
	size_t path_length = strlen(path);
	mmx_routing_rule_t *rule = NULL;
	guint i;

	g_free(lower_host);
	for (i = 0; found && !rule && i < found->prefix_lengths->len; i++) {
		key.prefix_length =
			g_array_index(found->prefix_lengths, size_t, i);
		if (key.prefix_length <= path_length)
			rule = g_hash_table_lookup(found->routes, &key);
	}
	return rule;
}

const char *mmx_routing_next_service(mmx_routing_rule_t *rule)
{
	mmx_destination_t *best = &rule->destinations[0];
	size_t i;

	assert(rule->destination_count > 0);
	for (i = 0; i < rule->destination_count; i++) {
		mmx_destination_t *destination = &rule->destinations[i];

		destination->current_weight += destination->weight;
		if (destination->current_weight > best->current_weight)
			best = destination;
	}
	best->current_weight -= rule->weight_total;
	return best->service;
}
