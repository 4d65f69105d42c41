/* Client accounts of the configuration state, and their keys. */
#include <string.h>

#include "private/config_tables.h"

void mmx_config_state_free_account(gpointer account)
{
	mmx_config_state_account_t *entry = account;

	g_free(entry->identity);
	g_free(entry);
}

static mmx_config_state_identity_t *
create_identity_(const mmx_change_account_t *account)
{
	mmx_config_state_identity_t *identity;
	size_t i;

	if (!account->has_priority && account->rate <= 0 &&
	    account->burst <= 0 && account->key_count == 0)
		return NULL;
	identity = g_malloc0(sizeof(*identity) +
			     account->key_count * sizeof(identity->digests[0]));
	identity->has_priority = account->has_priority;
	identity->priority = account->priority;
	identity->rate = account->rate;
	identity->burst = account->burst;
	identity->key_count = (uint8_t)account->key_count;
	for (i = 0; i < account->key_count; i++)
		memcpy(identity->digests[i], account->key_digests[i],
		       sizeof(identity->digests[i]));
	return identity;
}

static void set_identity_(mmx_config_state_t *state,
			  mmx_config_state_account_t *entry,
			  const mmx_change_account_t *account)
{
	mmx_config_state_identity_t *old = entry->identity;
	mmx_config_state_identity_t *identity = create_identity_(account);
	size_t i;

	for (i = 0; old && i < old->key_count; i++)
		mmx_account_keys_remove(state->keys, old->digests[i], entry);
	for (i = 0; identity && i < identity->key_count; i++) {
		if (!state->keys)
			state->keys = mmx_account_keys_create();
		mmx_account_keys_add(state->keys, identity->digests[i], entry);
	}
	entry->identity = identity;
	g_free(old);
}

void mmx_config_state_put_account(mmx_config_state_t *state, const char *name,
				  uint64_t revision,
				  const mmx_change_account_t *account)
{
	mmx_config_state_account_t *entry =
		mmx_config_state_find_account(state, name);
	size_t size = strlen(name) + 1;

	if (!entry) {
		entry = g_malloc0(sizeof(*entry) + size);
		memcpy(entry->text, name, size);
		entry->key.name = entry->text;
		g_hash_table_add(state->accounts, entry);
	}
	state->floor_total -= entry->floor_percent;
	state->floor_total += account->floor_percent;
	entry->revision = revision;
	entry->deadline_us = (uint32_t)account->deadline;
	entry->floor_percent = account->floor_percent;
	entry->ceiling_percent = account->ceiling_percent;
	entry->has_repeatable = account->has_repeatable;
	entry->repeatable =
		account->has_repeatable ? (uint8_t)account->repeatable : 0;
	set_identity_(state, entry, account);
}

/* A target has no share of its slots for an account of a routing table. */
static bool get_from_routing_table_(const mmx_config_state_t *state,
				    const char *name, mmx_account_t *account)
{
	const mmx_routing_account_t *entry =
		mmx_routing_find_account(state->routing, name);

	if (!entry)
		return false;
	*account = (mmx_account_t){
		.name = entry->name,
		.ceiling_percent = 100,
		.has_priority = entry->has_priority,
		.priority = entry->priority,
		.rate = entry->rate,
		.burst = entry->burst,
	};
	return true;
}

bool mmx_config_state_get_account(const mmx_config_state_t *state,
				  const char *name, mmx_account_t *account)
{
	const mmx_config_state_account_t *entry;

	if (state->routing)
		return get_from_routing_table_(state, name, account);
	entry = mmx_config_state_find_account(state, name);
	if (!entry)
		return false;
	*account = (mmx_account_t){
		.name = entry->key.name,
		.floor_percent = entry->floor_percent,
		.ceiling_percent = entry->ceiling_percent,
		.deadline = entry->deadline_us,
		.repeatable = entry->repeatable,
		.has_repeatable = entry->has_repeatable,
	};
	if (entry->identity) {
		account->has_priority = entry->identity->has_priority;
		account->priority = entry->identity->priority;
		account->rate = entry->identity->rate;
		account->burst = entry->identity->burst;
	}
	return true;
}

size_t mmx_config_state_key_count(const mmx_config_state_t *state)
{
	if (state->routing)
		return mmx_routing_key_count(state->routing);
	return state->keys ? mmx_account_keys_count(state->keys) : 0;
}

bool mmx_config_state_requires_key(const mmx_config_state_t *state)
{
	if (state->routing)
		return mmx_routing_requires_key(state->routing);
	return mmx_config_state_key_count(state) > 0;
}

const char *mmx_config_state_find_key(const mmx_config_state_t *state,
				      const char *key, size_t length)
{
	const mmx_routing_account_t *account;
	const mmx_config_state_account_t *entry;

	if (state->routing) {
		account = mmx_routing_find_key(state->routing, key, length);
		return account ? account->name : NULL;
	}
	entry = state->keys ? mmx_account_keys_find(state->keys, key, length)
			    : NULL;
	return entry ? entry->key.name : NULL;
}

uint64_t mmx_config_state_account_revision(const mmx_config_state_t *state,
					   const char *name)
{
	const mmx_config_state_account_t *entry =
		mmx_config_state_find_account(state, name);

	return entry ? entry->revision : 0;
}
