#include "masticmux/change.h"

#include <assert.h>
#include <glib.h>
#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

#define GENERATED_BYTES (MMX_CHANGE_ID_GENERATED_LENGTH / 2)

mmx_change_t *mmx_change_create(void)
{
	mmx_change_t *change = g_new0(mmx_change_t, 1);

	STAILQ_INIT(&change->templates);
	STAILQ_INIT(&change->services);
	STAILQ_INIT(&change->accounts);
	return change;
}

static void destroy_service_(mmx_change_service_t *service)
{
	mmx_change_route_t *route;

	while ((route = STAILQ_FIRST(&service->routes))) {
		STAILQ_REMOVE_HEAD(&service->routes, entry);
		g_free(route->host);
		g_free(route->path_prefix);
		g_free(route);
	}
	g_free(service);
}

void mmx_change_destroy(mmx_change_t *change)
{
	mmx_change_template_t *template;
	mmx_change_service_t *service;
	mmx_change_account_t *account;

	if (!change)
		return;
	while ((template = STAILQ_FIRST(&change->templates))) {
		STAILQ_REMOVE_HEAD(&change->templates, entry);
		g_free(template);
	}
	while ((service = STAILQ_FIRST(&change->services))) {
		STAILQ_REMOVE_HEAD(&change->services, entry);
		destroy_service_(service);
	}
	while ((account = STAILQ_FIRST(&change->accounts))) {
		STAILQ_REMOVE_HEAD(&change->accounts, entry);
		g_free(account);
	}
	g_free(change);
}

mmx_change_template_t *mmx_change_add_template(mmx_change_t *change,
					       const char *name)
{
	mmx_change_template_t *template = g_new0(mmx_change_template_t, 1);

	g_strlcpy(template->name, name, sizeof(template->name));
	template->policy.repeatable = MMX_METHODS_SAFE;
	template->policy.floor_slots = MMX_TEMPLATE_FLOOR_SLOTS;
	template->policy.retry_percent = MMX_TEMPLATE_RETRY_PERCENT;
	template->policy.warm_up = MMX_TEMPLATE_WARM_UP;
	STAILQ_INSERT_TAIL(&change->templates, template, entry);
	return template;
}

mmx_change_service_t *mmx_change_add_service(mmx_change_t *change,
					     const char *name)
{
	mmx_change_service_t *service = g_new0(mmx_change_service_t, 1);

	g_strlcpy(service->name, name, sizeof(service->name));
	STAILQ_INIT(&service->routes);
	STAILQ_INSERT_TAIL(&change->services, service, entry);
	return service;
}

mmx_change_account_t *mmx_change_add_account(mmx_change_t *change,
					     const char *name)
{
	mmx_change_account_t *account = g_new0(mmx_change_account_t, 1);

	g_strlcpy(account->name, name, sizeof(account->name));
	account->ceiling_percent = MMX_ACCOUNT_CEILING_PERCENT;
	STAILQ_INSERT_TAIL(&change->accounts, account, entry);
	return account;
}

mmx_change_route_t *mmx_change_add_route(mmx_change_service_t *service,
					 const char *host,
					 const char *path_prefix)
{
	mmx_change_route_t *route = g_new0(mmx_change_route_t, 1);

	route->host = g_ascii_strdown(host, -1);
	route->path_prefix = g_strdup(path_prefix);
	STAILQ_INSERT_TAIL(&service->routes, route, entry);
	service->route_count++;
	return route;
}

void mmx_change_generate_id(mmx_change_t *change)
{
	unsigned char bytes[GENERATED_BYTES];
	size_t i;

	/* OpenSSL fails here only without an entropy source. A change whose id
	 * is not unique would be dropped as a duplicate. */
	if (RAND_bytes(bytes, sizeof(bytes)) != 1)
		abort();
	for (i = 0; i < sizeof(bytes); i++)
		g_snprintf(change->id + 2 * i, 3, "%02x", bytes[i]);
}
