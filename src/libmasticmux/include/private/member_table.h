/* The table of members: lookup, lists by state, digests. It keeps the rules
 * of the protocol out; membership.c decides what is put in. */
#ifndef MASTICMUX_PRIVATE_MEMBER_TABLE_H
#define MASTICMUX_PRIVATE_MEMBER_TABLE_H

#include "masticmux/clock.h"
#include "masticmux/member.h"
#include "masticmux/random.h"

#define MMX_MEMBER_BUCKETS 64
/* Reports beyond these do not change a decision. */
#define MMX_REPORTERS_MAX 3

typedef struct mmx_entry_t {
	mmx_member_t member; /* first: its id is the key of the table */
	mmx_time_t since;    /* when the state was set */
	mmx_time_t heard;    /* last direct evidence; MMX_HEARD_NEVER */
	size_t position;     /* in its list */
	mmx_node_id_t reporters[MMX_REPORTERS_MAX];
	uint8_t reporter_count;
	bool verifying;	  /* in the queue of members to probe soon */
	bool replaceable; /* a check at join found no running process */
} mmx_entry_t;

#define MMX_HEARD_NEVER INT64_MIN

typedef struct mmx_member_table_t mmx_member_table_t;

mmx_member_table_t *mmx_member_table_create(mmx_clock_t *clock,
					    mmx_random_t *random);
void mmx_member_table_destroy(mmx_member_table_t *table);

/* Finds an entry; NULL when unknown. */
mmx_entry_t *mmx_member_table_find(const mmx_member_table_t *table,
				   mmx_node_id_t id);

/* Adds an unknown member or replaces the record of a known one. */
mmx_entry_t *mmx_member_table_put(mmx_member_table_t *table,
				  const mmx_member_t *member);

/* Sets state and refutation; reporters are cleared unless both states are
 * the same. */
void mmx_member_table_set(mmx_member_table_t *table, mmx_entry_t *entry,
			  uint32_t refutation, mmx_member_state_t state);

void mmx_member_table_remove(mmx_member_table_t *table, mmx_entry_t *entry);

/* Adds a reporter; false when it is known already or the list is full. */
bool mmx_member_table_report(mmx_entry_t *entry, mmx_node_id_t reporter);

/* Members alive or unreachable are present; dead or left ones are lost. */
bool mmx_member_table_present(const mmx_entry_t *entry);
size_t mmx_member_table_present_count(const mmx_member_table_t *table);
mmx_entry_t *mmx_member_table_present_at(const mmx_member_table_t *table,
					 size_t n);
size_t mmx_member_table_lost_count(const mmx_member_table_t *table);
mmx_entry_t *mmx_member_table_lost_at(const mmx_member_table_t *table,
				      size_t n);
size_t mmx_member_table_state_count(const mmx_member_table_t *table,
				    mmx_member_state_t state);

/* Next present member of the shuffled round other than the given one; NULL
 * when there is none. */
mmx_entry_t *mmx_member_table_next(mmx_member_table_t *table,
				   mmx_node_id_t except);

/* A random present member other than the two given; NULL when not found. */
mmx_entry_t *mmx_member_table_random(mmx_member_table_t *table,
				     mmx_node_id_t except, mmx_node_id_t other);

unsigned int mmx_member_bucket_of(mmx_node_id_t id);

/* Digests over present members: id, incarnation and refutation. */
const uint64_t *mmx_member_table_digests(const mmx_member_table_t *table);

#endif
