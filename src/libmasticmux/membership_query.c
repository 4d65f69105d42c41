#include <string.h>

#include "private/membership_parts.h"

size_t mmx_membership_pending(const mmx_membership_t *membership)
{
	return mmx_broadcast_count(membership->member_updates) +
	       mmx_broadcast_count(membership->target_updates);
}

const mmx_member_t *mmx_membership_self(const mmx_membership_t *membership)
{
	return &membership->self->member;
}

bool mmx_membership_joined(const mmx_membership_t *membership)
{
	return membership->joined;
}

const mmx_member_t *mmx_membership_find(const mmx_membership_t *membership,
					mmx_node_id_t id)
{
	const mmx_entry_t *entry = mmx_member_table_find(membership->table, id);

	return entry ? &entry->member : NULL;
}

unsigned int mmx_membership_reports(const mmx_membership_t *membership,
				    mmx_node_id_t id)
{
	const mmx_entry_t *entry = mmx_member_table_find(membership->table, id);

	return entry ? entry->reporter_count : 0;
}

size_t mmx_membership_count(const mmx_membership_t *membership,
			    mmx_member_state_t state)
{
	return mmx_member_table_state_count(membership->table, state);
}

size_t mmx_membership_alive(const mmx_membership_t *membership,
			    const char *region, const char *zone,
			    const mmx_member_t **out, size_t max)
{
	size_t present = mmx_member_table_present_count(membership->table);
	size_t found = 0;
	size_t i;

	for (i = 0; i < present; i++) {
		const mmx_member_t *member =
			&mmx_member_table_present_at(membership->table, i)
				 ->member;

		if (member->state != MMX_MEMBER_ALIVE ||
		    (region && strcmp(region, member->region) != 0) ||
		    (zone && strcmp(zone, member->zone) != 0))
			continue;
		if (found < max)
			out[found] = member;
		found++;
	}
	return found;
}

void mmx_membership_each(const mmx_membership_t *membership,
			 void (*fn)(void *arg, const mmx_member_t *member),
			 void *arg)
{
	const mmx_member_table_t *table = membership->table;
	size_t i;

	for (i = 0; i < mmx_member_table_present_count(table); i++)
		fn(arg, &mmx_member_table_present_at(table, i)->member);
	for (i = 0; i < mmx_member_table_lost_count(table); i++)
		fn(arg, &mmx_member_table_lost_at(table, i)->member);
}
