/* Client accounts of the configuration state, and their keys. */
#include <string.h>

#include "private/config_tables.h"

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
	return true;
}

bool mmx_config_state_requires_key(const mmx_config_state_t *state)
{
	return state->routing && mmx_routing_requires_key(state->routing);
}

const char *mmx_config_state_find_key(const mmx_config_state_t *state,
				      const char *key, size_t length)
{
	const mmx_routing_account_t *account =
		state->routing
			? mmx_routing_find_key(state->routing, key, length)
			: NULL;

	return account ? account->name : NULL;
}

uint64_t mmx_config_state_account_revision(const mmx_config_state_t *state,
					   const char *name)
{
	const mmx_config_state_account_t *entry =
		mmx_config_state_find_account(state, name);

	return entry ? entry->revision : 0;
}
