#include "config_support.h"

#include <glib.h>
#include <openssl/evp.h>
#include <string.h>

static char *encode_(mmx_change_t *change, const char *id)
{
	char *record;

	g_strlcpy(change->id, id, sizeof(change->id));
	g_strlcpy(change->publisher, "test", sizeof(change->publisher));
	record = mmx_change_to_json(change, NULL);
	mmx_change_destroy(change);
	return record;
}

char *test_account_record(const char *id, const char *name, uint64_t base,
			  uint8_t floor_percent)
{
	mmx_change_t *change = mmx_change_create();
	mmx_change_account_t *account = mmx_change_add_account(change, name);

	account->base = base;
	account->floor_percent = floor_percent;
	return encode_(change, id);
}

char *test_keys_record(const char *id, const char *name, uint64_t base,
		       const char *const keys[])
{
	mmx_change_t *change = mmx_change_create();
	mmx_change_account_t *account = mmx_change_add_account(change, name);

	account->base = base;
	account->has_priority = true;
	account->priority = 2;
	account->rate = 0.1;
	account->burst = 24;
	for (; keys[account->key_count]; account->key_count++)
		EVP_Digest(keys[account->key_count],
			   strlen(keys[account->key_count]),
			   account->key_digests[account->key_count], NULL,
			   EVP_sha256(), NULL);
	return encode_(change, id);
}

char *test_accounts_record(const char *id, const char *name, int count)
{
	mmx_change_t *change = mmx_change_create();
	char full[MMX_NAME_MAX + 1];
	int i;

	for (i = 0; i < count; i++) {
		g_snprintf(full, sizeof(full), "%s-%d", name, i);
		mmx_change_add_account(change, full);
	}
	return encode_(change, id);
}

char *test_template_record(const char *id, const char *name, uint64_t base)
{
	mmx_change_t *change = mmx_change_create();
	mmx_change_template_t *entry = mmx_change_add_template(change, name);

	entry->base = base;
	entry->policy.deadline = MMX_US_PER_S;
	return encode_(change, id);
}

char *test_service_record(const char *id, const char *name, uint64_t base,
			  const char *template_name, const char *const routes[])
{
	mmx_change_t *change = mmx_change_create();
	mmx_change_service_t *service = mmx_change_add_service(change, name);
	size_t i;

	service->base = base;
	g_strlcpy(service->template_name, template_name,
		  sizeof(service->template_name));
	for (i = 0; routes[i]; i++) {
		bool is_public = routes[i][0] == '+';
		const char *start = routes[i] + is_public;
		const char *slash = strchr(start, '/');
		char *host = g_strndup(start, (gsize)(slash - start));

		mmx_change_add_route(service, host, slash)->is_public =
			is_public;
		g_free(host);
	}
	return encode_(change, id);
}

mmx_config_state_result_t test_apply(mmx_config_state_t *config_state,
				     char *record)
{
	mmx_config_state_result_t result;

	mmx_config_state_apply(
		config_state, mmx_config_state_applied_offset(config_state) + 1,
		record, strlen(record), &result);
	g_free(record);
	return result;
}
