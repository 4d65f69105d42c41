#include "masticmux/routing.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

struct mmx_routing_t {
	uint64_t version;
	GHashTable *hosts;    /* lower-case name -> GPtrArray of rules */
	GHashTable *services; /* name -> mmx_routing_service_t */
	mmx_caller_limits_t limits;
	size_t count;
};

static void free_rule_(gpointer data)
{
	mmx_routing_rule_t *rule = data;

	g_free(rule->prefix);
	g_free(rule->destinations);
	g_free(rule);
}

static void free_rules_(gpointer data)
{
	g_ptr_array_free(data, TRUE);
}

mmx_routing_t *mmx_routing_create(uint64_t version)
{
	mmx_routing_t *routing = g_new0(mmx_routing_t, 1);

	assert(version > 0);
	routing->version = version;
	routing->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_rules_);
	routing->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return routing;
}

void mmx_routing_destroy(mmx_routing_t *routing)
{
	if (!routing)
		return;
	g_hash_table_destroy(routing->hosts);
	g_hash_table_destroy(routing->services);
	g_free(routing);
}

static gint compare_prefixes_(gconstpointer a, gconstpointer b)
{
	const mmx_routing_rule_t *left = *(const mmx_routing_rule_t *const *)a;
	const mmx_routing_rule_t *right = *(const mmx_routing_rule_t *const *)b;

	return left->prefix_length > right->prefix_length   ? -1
	       : left->prefix_length < right->prefix_length ? 1
							    : 0;
}

mmx_routing_rule_t *mmx_routing_add(mmx_routing_t *routing, const char *host,
				    const char *prefix)
{
	mmx_routing_rule_t *rule = g_new0(mmx_routing_rule_t, 1);
	char *name = g_ascii_strdown(host, -1);
	GPtrArray *rules = g_hash_table_lookup(routing->hosts, name);

	assert(prefix[0] == '/');
	rule->prefix = g_strdup(prefix);
	rule->prefix_length = strlen(prefix);
	rule->attempts_max = 1;
	if (!rules) {
		rules = g_ptr_array_new_with_free_func(free_rule_);
		g_hash_table_insert(routing->hosts, g_strdup(name), rules);
	}
	g_free(name);
	g_ptr_array_add(rules, rule);
	/* Longest first, so that the first match is the right one. */
	g_ptr_array_sort(rules, compare_prefixes_);
	routing->count++;
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

void mmx_routing_add_service(mmx_routing_t *routing,
			     const mmx_routing_service_t *service)
{
	mmx_routing_service_t *copy =
		g_memdup2(service, sizeof(mmx_routing_service_t));

	g_hash_table_replace(routing->services, copy->name, copy);
}

void mmx_routing_set_limits(mmx_routing_t *routing,
			    const mmx_caller_limits_t *limits)
{
	routing->limits = *limits;
}

uint64_t mmx_routing_version(const mmx_routing_t *routing)
{
	return routing->version;
}

size_t mmx_routing_count(const mmx_routing_t *routing)
{
	return routing->count;
}

const mmx_caller_limits_t *mmx_routing_limits(const mmx_routing_t *routing)
{
	return &routing->limits;
}

const mmx_routing_service_t *mmx_routing_service(const mmx_routing_t *routing,
						 const char *name)
{
	return g_hash_table_lookup(routing->services, name);
}

mmx_routing_rule_t *mmx_routing_find(mmx_routing_t *routing, const char *host,
				     const char *path)
{
	char *name = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
	const GPtrArray *rules = g_hash_table_lookup(routing->hosts, name);
	guint i;

	g_free(name);
	for (i = 0; rules && i < rules->len; i++) {
		mmx_routing_rule_t *rule = rules->pdata[i];

		if (strncmp(rule->prefix, path, rule->prefix_length) == 0)
			return rule;
	}
	return NULL;
}

const char *mmx_routing_next_service(mmx_routing_rule_t *rule)
{
	mmx_destination_t *best = &rule->destinations[0];
	size_t i;

	assert(rule->destination_count > 0);
	for (i = 0; i < rule->destination_count; i++) {
		mmx_destination_t *part = &rule->destinations[i];

		part->credit += part->weight;
		if (part->credit > best->credit)
			best = part;
	}
	best->credit -= rule->weight_total;
	return best->service;
}
