/* Serializes changes as JSON records. */
#include "masticmux/change.h"

#include <assert.h>
#include <glib.h>
#include <jansson.h>
#include <string.h>

static void set_time_(json_t *object, const char *key, mmx_time_t time)
{
	json_object_set_new(object, key, json_integer(time / MMX_US_PER_MS));
}

static json_t *write_methods_(uint32_t mask)
{
	json_t *methods = json_array();
	int method;

	for (method = 0; method < MMX_METHOD_OTHER; method++)
		if (mask & MMX_METHOD_BIT(method))
			json_array_append_new(
				methods,
				json_string(mmx_method_string[method]));
	return methods;
}

static json_t *write_field_(const mmx_policy_t *policy,
			    mmx_policy_field_t field)
{
	switch (field) {
	case MMX_POLICY_DEADLINE:
		return json_integer(policy->deadline / MMX_US_PER_MS);
	case MMX_POLICY_REPEATABLE:
		return write_methods_(policy->repeatable);
	case MMX_POLICY_FLOOR_PERCENT:
		return json_integer(policy->floor_percent);
	case MMX_POLICY_FLOOR_SLOTS:
		return json_integer(policy->floor_slots);
	case MMX_POLICY_DETECTION_WEIGHT:
		return json_integer(policy->detection_weight);
	case MMX_POLICY_RETRY_PERCENT:
		return json_integer(policy->retry_percent);
	default:
		assert(field == MMX_POLICY_WARM_UP);
		return json_integer(policy->warm_up / MMX_US_PER_MS);
	}
}

static void write_policy_(json_t *object, const mmx_policy_t *policy,
			  uint32_t fields)
{
	int field;

	for (field = 0; field < MMX_POLICY_FIELD_COUNT; field++)
		if (fields & MMX_POLICY_BIT(field))
			json_object_set_new(
				object, mmx_policy_field_string[field],
				write_field_(policy,
					     (mmx_policy_field_t)field));
}

static json_t *write_object_(json_t *section, const char *name, uint64_t base)
{
	json_t *object = json_object();

	assert(base <= MMX_REVISION_MAX);
	json_object_set_new(object, "base", json_integer((json_int_t)base));
	json_object_set_new(section, name, object);
	return object;
}

static json_t *write_templates_(const mmx_change_t *change)
{
	const mmx_change_template_t *template;
	json_t *section = json_object();

	STAILQ_FOREACH (template, &change->templates, entry)
		write_policy_(
			write_object_(section, template->name, template->base),
			&template->policy,
			MMX_POLICY_BIT(MMX_POLICY_FIELD_COUNT) - 1);
	return section;
}

static json_t *write_services_(const mmx_change_t *change)
{
	const mmx_change_service_t *service;
	const mmx_change_route_t *route;
	json_t *section = json_object();

	STAILQ_FOREACH (service, &change->services, entry) {
		json_t *object =
			write_object_(section, service->name, service->base);
		json_t *routes = json_array();

		json_object_set_new(object, "template",
				    json_string(service->template_name));
		STAILQ_FOREACH (route, &service->routes, entry) {
			json_t *item = json_object();

			json_object_set_new(item, "host",
					    json_string(route->host));
			json_object_set_new(item, "path_prefix",
					    json_string(route->path_prefix));
			write_policy_(item, &route->override.values,
				      route->override.fields);
			if (route->is_public)
				json_object_set_new(item, "public",
						    json_true());
			json_array_append_new(routes, item);
		}
		json_object_set_new(object, "route", routes);
	}
	return section;
}

static json_t *write_digests_(const mmx_change_account_t *account)
{
	json_t *digests = json_array();
	size_t i;
	size_t j;

	for (i = 0; i < account->key_count; i++) {
		GString *text = g_string_new("sha256:");

		for (j = 0; j < MMX_CHANGE_DIGEST_BYTES; j++)
			g_string_append_printf(text, "%02x",
					       account->key_digests[i][j]);
		json_array_append_new(digests, json_string(text->str));
		g_string_free(text, TRUE);
	}
	return digests;
}

/* Keys that earlier releases do not know are written only where they are used.
 */
static void write_identity_(json_t *object, const mmx_change_account_t *account)
{
	if (account->has_priority)
		json_object_set_new(object, "priority",
				    json_integer(account->priority));
	if (account->rate > 0)
		json_object_set_new(object, "rate", json_real(account->rate));
	if (account->burst > 0)
		json_object_set_new(object, "burst", json_real(account->burst));
	if (account->key_count > 0)
		json_object_set_new(object, "key_digests",
				    write_digests_(account));
}

static json_t *write_accounts_(const mmx_change_t *change)
{
	const mmx_change_account_t *account;
	json_t *section = json_object();

	STAILQ_FOREACH (account, &change->accounts, entry) {
		json_t *object =
			write_object_(section, account->name, account->base);

		json_object_set_new(object, "floor_percent",
				    json_integer(account->floor_percent));
		json_object_set_new(object, "ceiling_percent",
				    json_integer(account->ceiling_percent));
		if (account->deadline)
			set_time_(object, "deadline_ms", account->deadline);
		if (account->has_repeatable)
			json_object_set_new(
				object, "repeatable",
				write_methods_(account->repeatable));
		write_identity_(object, account);
	}
	return section;
}

static void add_section_(json_t *root, const char *name, json_t *section)
{
	if (json_object_size(section))
		json_object_set(root, name, section);
	json_decref(section);
}

char *mmx_change_to_json(const mmx_change_t *change, size_t *length)
{
	json_t *root = json_object();
	json_t *head = json_object();
	char *dump;
	char *text;

	assert(*change->id && *change->publisher);
	json_object_set_new(head, "id", json_string(change->id));
	json_object_set_new(head, "publisher", json_string(change->publisher));
	json_object_set_new(root, "change", head);
	add_section_(root, "template", write_templates_(change));
	add_section_(root, "service", write_services_(change));
	add_section_(root, "account", write_accounts_(change));
	dump = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	assert(dump);
	if (length)
		*length = strlen(dump);
	/* Jansson allocates with malloc(), but callers free with g_free(). */
	text = g_strdup(dump);
	free(dump);
	json_decref(root);
	return text;
}
