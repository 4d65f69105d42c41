#include "masticmux/config_state.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "private/config_tables.h"

/* Limit of the sum of floor_percent of all accounts. */
#define FLOOR_TOTAL_MAX 100

const char *const mmx_verdict_string[MMX_VERDICT_COUNT] = {
	"accepted", "rejected", "duplicate", "invalid", "ignored", "gap",
};

const char *const mmx_reject_reason_string[MMX_REJECT_COUNT] = {
	"none",		  "stale-base",	    "unknown-template", "route-taken",
	"route-repeated", "account-floors", "too-many",
};

static bool reject_(mmx_config_state_result_t *result,
		    mmx_reject_reason_t reject, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

static bool reject_(mmx_config_state_result_t *result,
		    mmx_reject_reason_t reject, const char *format, ...)
{
	va_list args;

	result->verdict = MMX_VERDICT_REJECTED;
	result->reject_reason = reject;
	va_start(args, format);
	vsnprintf(result->text, sizeof(result->text), format, args);
	va_end(args);
	return false;
}

static bool check_base_(const char *kind, const char *name, uint64_t base,
			uint64_t revision, mmx_config_state_result_t *result)
{
	if (base == revision)
		return true;
	return reject_(result, MMX_REJECT_STALE_BASE,
		       "%s '%s' is at revision %" G_GUINT64_FORMAT
		       ", but the change is based on %" G_GUINT64_FORMAT,
		       kind, name, revision, base);
}

static bool check_bases_(const mmx_config_state_t *state,
			 const mmx_change_t *change,
			 mmx_config_state_result_t *result)
{
	const mmx_change_template_t *template_change;
	const mmx_change_service_t *service;
	const mmx_change_account_t *account;

	STAILQ_FOREACH (template_change, &change->templates, entry) {
		const char *name = template_change->name;

		if (!check_base_(
			    "template", name, template_change->base,
			    mmx_config_state_template_revision(state, name),
			    result))
			return false;
	}
	STAILQ_FOREACH (service, &change->services, entry)
		if (!check_base_("service", service->name, service->base,
				 mmx_config_state_service_revision(
					 state, service->name),
				 result))
			return false;
	STAILQ_FOREACH (account, &change->accounts, entry)
		if (!check_base_("account", account->name, account->base,
				 mmx_config_state_account_revision(
					 state, account->name),
				 result))
			return false;
	return true;
}

static bool has_service_(const mmx_change_t *change, const char *name)
{
	const mmx_change_service_t *service;

	STAILQ_FOREACH (service, &change->services, entry)
		if (!strcmp(service->name, name))
			return true;
	return false;
}

static bool has_template_(const mmx_change_t *change, const char *name)
{
	const mmx_change_template_t *template_change;

	STAILQ_FOREACH (template_change, &change->templates, entry)
		if (!strcmp(template_change->name, name))
			return true;
	return false;
}

static bool check_route_(const mmx_config_state_t *state,
			 const mmx_change_t *change,
			 const mmx_change_route_t *route, GHashTable *keys,
			 mmx_config_state_result_t *result)
{
	int length = (int)mmx_config_state_prefix_length(route->path_prefix);
	const mmx_config_state_route_t *taken;

	if (!g_hash_table_add(keys,
			      g_strdup_printf("%s %.*s", route->host, length,
					      route->path_prefix)))
		return reject_(result, MMX_REJECT_ROUTE_REPEATED,
			       "route %s%.*s occurs twice in the change",
			       route->host, length, route->path_prefix);
	taken = mmx_config_state_find_route(state, route->host,
					    route->path_prefix);
	if (!taken || has_service_(change, taken->service->key.name))
		return true;
	return reject_(result, MMX_REJECT_ROUTE_TAKEN,
		       "route %s%.*s belongs to service '%s'", route->host,
		       length, route->path_prefix, taken->service->key.name);
}

static bool check_routes_(const mmx_config_state_t *state,
			  const mmx_change_t *change,
			  mmx_config_state_result_t *result)
{
	GHashTable *keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	const mmx_change_service_t *service;
	const mmx_change_route_t *route;
	bool valid = true;

	STAILQ_FOREACH (service, &change->services, entry) {
		STAILQ_FOREACH (route, &service->routes, entry) {
			valid = check_route_(state, change, route, keys,
					     result);
			if (!valid)
				break;
		}
		if (!valid)
			break;
	}
	g_hash_table_destroy(keys);
	return valid;
}

static bool check_templates_(const mmx_config_state_t *state,
			     const mmx_change_t *change,
			     mmx_config_state_result_t *result)
{
	const mmx_change_service_t *service;

	STAILQ_FOREACH (service, &change->services, entry) {
		const char *name = service->template_name;

		if (!mmx_config_state_find_template(state, name) &&
		    !has_template_(change, name))
			return reject_(result, MMX_REJECT_UNKNOWN_TEMPLATE,
				       "service '%s' names template '%s', "
				       "which does not exist",
				       service->name, name);
	}
	return true;
}

static bool check_floors_(const mmx_config_state_t *state,
			  const mmx_change_t *change,
			  mmx_config_state_result_t *result)
{
	const mmx_change_account_t *account;
	const mmx_config_state_account_t *old;
	int64_t total = state->floor_total;

	STAILQ_FOREACH (account, &change->accounts, entry) {
		old = mmx_config_state_find_account(state, account->name);
		total += account->floor_percent;
		total -= old ? old->floor_percent : 0;
	}
	if (total <= FLOOR_TOTAL_MAX || total <= (int64_t)state->floor_total)
		return true;
	return reject_(result, MMX_REJECT_ACCOUNT_FLOORS,
		       "the floors of all accounts would add up to %d percent",
		       (int)total);
}

static bool check_size_(const char *kind, size_t after, size_t limit,
			mmx_config_state_result_t *result)
{
	if (after <= limit)
		return true;
	return reject_(result, MMX_REJECT_TOO_MANY,
		       "there would be %zu %ss, the limit is %zu", after, kind,
		       limit);
}

static bool check_sizes_(const mmx_config_state_t *state,
			 const mmx_change_t *change,
			 mmx_config_state_result_t *result)
{
	const mmx_change_template_t *template_change;
	const mmx_change_service_t *service;
	const mmx_change_account_t *account;
	const mmx_config_state_service_t *old;
	mmx_config_state_sizes_t sizes;

	mmx_config_state_sizes(state, &sizes);
	STAILQ_FOREACH (template_change, &change->templates, entry)
		sizes.templates += template_change->base == 0;
	STAILQ_FOREACH (service, &change->services, entry) {
		old = mmx_config_state_find_service(state, service->name);
		sizes.services += service->base == 0;
		sizes.routes += service->route_count;
		sizes.routes -= old ? old->route_count : 0;
	}
	STAILQ_FOREACH (account, &change->accounts, entry)
		sizes.accounts += account->base == 0;
	return check_size_("template", sizes.templates,
			   MMX_CONFIG_STATE_TEMPLATES_MAX, result) &&
	       check_size_("service", sizes.services,
			   MMX_CONFIG_STATE_SERVICES_MAX, result) &&
	       check_size_("route", sizes.routes, MMX_CONFIG_STATE_ROUTES_MAX,
			   result) &&
	       check_size_("account", sizes.accounts,
			   MMX_CONFIG_STATE_ACCOUNTS_MAX, result);
}

void mmx_config_state_check(const mmx_config_state_t *state,
			    const mmx_change_t *change,
			    mmx_config_state_result_t *result)
{
	*result = (mmx_config_state_result_t){
		.verdict = MMX_VERDICT_ACCEPTED,
		.offset = state->applied_offset + 1,
	};
	g_strlcpy(result->id, change->id, sizeof(result->id));
	(void)(check_bases_(state, change, result) &&
	       check_templates_(state, change, result) &&
	       check_routes_(state, change, result) &&
	       check_floors_(state, change, result) &&
	       check_sizes_(state, change, result));
}

static void put_services_(mmx_config_state_t *state, const mmx_change_t *change,
			  uint64_t revision)
{
	const mmx_change_service_t *service;
	mmx_config_state_service_t *entry;

	/* Removes all old routes first, so that a change can move a route from
	 * one service to another. */
	STAILQ_FOREACH (service, &change->services, entry) {
		entry = mmx_config_state_find_service(state, service->name);
		if (entry)
			mmx_config_state_clear_routes(state, entry);
	}
	STAILQ_FOREACH (service, &change->services, entry) {
		entry = mmx_config_state_put_service(
			state, service->name, revision,
			mmx_config_state_find_template(state,
						       service->template_name));
		mmx_config_state_set_routes(state, entry, &service->routes,
					    service->route_count);
	}
}

static void put_objects_(mmx_config_state_t *state, const mmx_change_t *change,
			 uint64_t revision)
{
	const mmx_change_template_t *template_change;
	const mmx_change_account_t *account;

	STAILQ_FOREACH (template_change, &change->templates, entry)
		mmx_config_state_put_template(state, template_change->name,
					      revision,
					      &template_change->policy);
	put_services_(state, change, revision);
	STAILQ_FOREACH (account, &change->accounts, entry)
		mmx_config_state_put_account(state, account->name, revision,
					     account);
}

static void apply_change_(mmx_config_state_t *state, const mmx_change_t *change,
			  mmx_config_state_result_t *result)
{
	mmx_config_state_verdict_t entry = {.offset =
						    state->applied_offset + 1};
	const mmx_config_state_verdict_t *earlier;

	mmx_config_state_digest_id(change->id, entry.id);
	earlier = mmx_config_state_find_verdict(state, entry.id);
	if (earlier) {
		result->verdict = MMX_VERDICT_DUPLICATE;
		g_strlcpy(result->id, change->id, sizeof(result->id));
		g_snprintf(
			result->text, sizeof(result->text),
			"the id was already used at offset %" G_GUINT64_FORMAT,
			earlier->offset);
		return;
	}
	mmx_config_state_check(state, change, result);
	if (result->verdict == MMX_VERDICT_ACCEPTED)
		put_objects_(state, change, result->offset);
	entry.verdict = (uint8_t)result->verdict;
	entry.reject_reason = (uint8_t)result->reject_reason;
	mmx_config_state_add_verdict(state, &entry);
}

bool mmx_config_state_apply(mmx_config_state_t *state, uint64_t offset,
			    const char *data, size_t length,
			    mmx_config_state_result_t *result)
{
	mmx_config_state_result_t local = {.offset = offset};
	mmx_error_t error = {.code = MMX_ERROR_NONE};
	mmx_change_t *change;
	bool is_next = offset == state->applied_offset + 1;

	if (is_next) {
		change = mmx_change_from_json(data, length, &error);
		if (change) {
			apply_change_(state, change, &local);
		} else {
			local.verdict = MMX_VERDICT_INVALID;
			g_strlcpy(local.text, error.text, sizeof(local.text));
		}
		mmx_change_destroy(change);
		state->applied_offset = offset;
	} else {
		local.verdict = offset <= state->applied_offset
					? MMX_VERDICT_IGNORED
					: MMX_VERDICT_GAP;
	}
	state->counts.records[local.verdict]++;
	if (result)
		*result = local;
	return is_next;
}

bool mmx_config_state_is_empty(const mmx_config_state_t *state)
{
	return mmx_config_state_applied_offset(state) == 0;
}

uint64_t mmx_config_state_applied_offset(const mmx_config_state_t *state)
{
	return state->applied_offset;
}

const mmx_config_state_counts_t *
mmx_config_state_counts(const mmx_config_state_t *state)
{
	return &state->counts;
}

bool mmx_config_state_get_verdict(const mmx_config_state_t *state,
				  const char *id,
				  mmx_config_state_result_t *result)
{
	uint8_t digest[MMX_CONFIG_STATE_ID_DIGEST_BYTES];
	const mmx_config_state_verdict_t *entry;

	mmx_config_state_digest_id(id, digest);
	entry = mmx_config_state_find_verdict(state, digest);
	if (!entry)
		return false;
	*result = (mmx_config_state_result_t){
		.verdict = (mmx_verdict_t)entry->verdict,
		.reject_reason = (mmx_reject_reason_t)entry->reject_reason,
		.offset = entry->offset,
	};
	g_strlcpy(result->id, id, sizeof(result->id));
	return true;
}
