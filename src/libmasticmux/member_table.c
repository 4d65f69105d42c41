#include "private/member_table.h"

#include <assert.h>
#include <glib.h>
#include <xxhash.h>

/* Attempts to find a random member outside the exceptions. */
#define RANDOM_TRIES 8

struct mmx_member_table_t {
	mmx_clock_t *clock;
	mmx_random_t *random;
	GHashTable *entries;
	GPtrArray *present; /* shuffled; also the order of a round */
	GPtrArray *lost;
	size_t cursor; /* next of the round */
	size_t counts[MMX_MEMBER_STATE_COUNT];
	uint64_t digests[MMX_MEMBER_BUCKETS];
};

mmx_member_table_t *mmx_member_table_create(mmx_clock_t *clock,
					    mmx_random_t *random)
{
	mmx_member_table_t *table = g_new0(mmx_member_table_t, 1);

	assert(clock && random);
	table->clock = clock;
	table->random = random;
	table->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, NULL);
	table->present = g_ptr_array_new();
	table->lost = g_ptr_array_new();
	return table;
}

void mmx_member_table_destroy(mmx_member_table_t *table)
{
	if (!table)
		return;
	g_ptr_array_free(table->present, TRUE);
	g_ptr_array_free(table->lost, TRUE);
	g_hash_table_destroy(table->entries);
	g_free(table);
}

mmx_entry_t *mmx_member_table_find(const mmx_member_table_t *table,
				   mmx_node_id_t id)
{
	return g_hash_table_lookup(table->entries, &id);
}

bool mmx_member_table_present(const mmx_entry_t *entry)
{
	return entry->member.state == MMX_MEMBER_ALIVE ||
	       entry->member.state == MMX_MEMBER_UNREACHABLE;
}

unsigned int mmx_member_bucket_of(mmx_node_id_t id)
{
	return (unsigned int)(id % MMX_MEMBER_BUCKETS);
}

static void toggle_digest_(mmx_member_table_t *table, const mmx_entry_t *entry)
{
	const mmx_member_t *member = &entry->member;
	uint64_t part[3] = {member->id, member->incarnation,
			    member->refutation};

	if (mmx_member_table_present(entry))
		table->digests[mmx_member_bucket_of(member->id)] ^=
			XXH64(part, sizeof(part), 0);
}

static void swap_(GPtrArray *list, size_t a, size_t b)
{
	mmx_entry_t *first = g_ptr_array_index(list, a);
	mmx_entry_t *second = g_ptr_array_index(list, b);

	g_ptr_array_index(list, a) = second;
	g_ptr_array_index(list, b) = first;
	second->position = a;
	first->position = b;
}

static GPtrArray *list_(const mmx_member_table_t *table,
			const mmx_entry_t *entry)
{
	return mmx_member_table_present(entry) ? table->present : table->lost;
}

/* A new member gets a random place, so that not every node probes it last. */
static void link_(mmx_member_table_t *table, mmx_entry_t *entry)
{
	GPtrArray *list = list_(table, entry);

	entry->position = list->len;
	g_ptr_array_add(list, entry);
	swap_(list, entry->position,
	      mmx_random_below(table->random, list->len));
	table->counts[entry->member.state]++;
	toggle_digest_(table, entry);
}

static void unlink_(mmx_member_table_t *table, mmx_entry_t *entry)
{
	GPtrArray *list = list_(table, entry);

	toggle_digest_(table, entry);
	table->counts[entry->member.state]--;
	swap_(list, entry->position, list->len - 1);
	g_ptr_array_set_size(list, (gint)list->len - 1);
}

mmx_entry_t *mmx_member_table_put(mmx_member_table_t *table,
				  const mmx_member_t *member)
{
	mmx_entry_t *entry = mmx_member_table_find(table, member->id);

	if (entry) {
		unlink_(table, entry);
		entry->member = *member;
	} else {
		entry = g_new0(mmx_entry_t, 1);
		entry->member = *member;
		g_hash_table_add(table->entries, entry);
	}
	entry->heard = MMX_HEARD_NEVER;
	entry->since = mmx_clock_now(table->clock);
	entry->reporter_count = 0;
	entry->replaceable = false;
	link_(table, entry);
	return entry;
}

void mmx_member_table_set(mmx_member_table_t *table, mmx_entry_t *entry,
			  uint32_t refutation, mmx_member_state_t state)
{
	unlink_(table, entry);
	if (entry->member.state != state ||
	    entry->member.refutation != refutation)
		entry->reporter_count = 0;
	entry->member.refutation = refutation;
	entry->member.state = state;
	entry->since = mmx_clock_now(table->clock);
	link_(table, entry);
}

void mmx_member_table_remove(mmx_member_table_t *table, mmx_entry_t *entry)
{
	unlink_(table, entry);
	g_hash_table_remove(table->entries, &entry->member.id);
}

bool mmx_member_table_report(mmx_entry_t *entry, mmx_node_id_t reporter)
{
	uint8_t i;

	for (i = 0; i < entry->reporter_count; i++) {
		if (entry->reporters[i] == reporter)
			return false;
	}
	if (entry->reporter_count == MMX_REPORTERS_MAX)
		return false;
	entry->reporters[entry->reporter_count++] = reporter;
	return true;
}

size_t mmx_member_table_present_count(const mmx_member_table_t *table)
{
	return table->present->len;
}

mmx_entry_t *mmx_member_table_present_at(const mmx_member_table_t *table,
					 size_t n)
{
	assert(n < table->present->len);
	return g_ptr_array_index(table->present, n);
}

size_t mmx_member_table_lost_count(const mmx_member_table_t *table)
{
	return table->lost->len;
}

mmx_entry_t *mmx_member_table_lost_at(const mmx_member_table_t *table, size_t n)
{
	assert(n < table->lost->len);
	return g_ptr_array_index(table->lost, n);
}

size_t mmx_member_table_state_count(const mmx_member_table_t *table,
				    mmx_member_state_t state)
{
	return table->counts[state];
}

static void shuffle_(mmx_member_table_t *table)
{
	size_t i;

	for (i = table->present->len; i > 1; i--)
		swap_(table->present, i - 1,
		      mmx_random_below(table->random, i));
}

mmx_entry_t *mmx_member_table_next(mmx_member_table_t *table,
				   mmx_node_id_t except)
{
	size_t tries;

	for (tries = 0; tries < 2 && table->present->len > 0; tries++) {
		mmx_entry_t *entry;

		if (table->cursor >= table->present->len) {
			shuffle_(table);
			table->cursor = 0;
		}
		entry = g_ptr_array_index(table->present, table->cursor);
		table->cursor++;
		if (entry->member.id != except)
			return entry;
	}
	return NULL;
}

mmx_entry_t *mmx_member_table_random(mmx_member_table_t *table,
				     mmx_node_id_t except, mmx_node_id_t other)
{
	int tries;

	for (tries = 0; tries < RANDOM_TRIES && table->present->len; tries++) {
		mmx_entry_t *entry = g_ptr_array_index(
			table->present,
			mmx_random_below(table->random, table->present->len));

		if (entry->member.id != except && entry->member.id != other)
			return entry;
	}
	return NULL;
}

const uint64_t *mmx_member_table_digests(const mmx_member_table_t *table)
{
	return table->digests;
}
