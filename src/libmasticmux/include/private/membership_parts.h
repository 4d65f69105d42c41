/* State and functions that the files of the membership module share. */
#ifndef MASTICMUX_PRIVATE_MEMBERSHIP_PARTS_H
#define MASTICMUX_PRIVATE_MEMBERSHIP_PARTS_H

#include <sys/queue.h>

#include "masticmux/membership.h"
#include "private/broadcast.h"
#include "private/member_table.h"

/* What a probe is for. */
typedef enum mmx_probe_kind_t {
	MMX_PROBE_MEMBER,     /* the next member of the round */
	MMX_PROBE_LOST,	      /* a dead or left member, to rejoin it */
	MMX_PROBE_RELAY,      /* for the sender of a PING_REQ */
	MMX_PROBE_JOIN_CHECK, /* is the name of a joining node in use? */
	MMX_PROBE_KIND_COUNT
} mmx_probe_kind_t;

extern const char *const mmx_probe_kind_string[MMX_PROBE_KIND_COUNT];

typedef struct mmx_probe_t {
	TAILQ_ENTRY(mmx_probe_t) entry;
	mmx_probe_kind_t kind;
	uint32_t xid;
	mmx_node_id_t subject;
	mmx_incarnation_t incarnation;
	mmx_time_t sent;
	bool indirect;		/* helpers were asked */
	uint32_t origin_xid;	/* RELAY */
	mmx_node_id_t origin;	/* RELAY */
	mmx_address_t reply_to; /* RELAY, JOIN_CHECK */
} mmx_probe_t;

typedef TAILQ_HEAD(mmx_probe_list_t, mmx_probe_t) mmx_probe_list_t;

typedef struct mmx_membership_counters_t {
	mmx_counter_t *probes;
	mmx_counter_t *probes_failed;
	mmx_counter_t *refutations;
	mmx_counter_t *pauses;
	mmx_counter_t *conflicts;
	mmx_counter_t *syncs;
	mmx_counter_t *sync_malformed;
	mmx_counter_t *misdirected;
	mmx_counter_t *states[MMX_MEMBER_STATE_COUNT];
	mmx_counter_t *targets;
} mmx_membership_counters_t;

typedef struct mmx_sync_session_t mmx_sync_session_t;

struct mmx_membership_t {
	mmx_membership_config_t config;
	mmx_clock_t *clock;
	mmx_directory_t *directory;
	const mmx_membership_ops_t *ops;
	void *arg;
	mmx_random_t random;
	mmx_member_table_t *table;
	mmx_entry_t *self;
	mmx_broadcast_t *member_updates;
	mmx_broadcast_t *target_updates;
	mmx_probe_list_t probes;
	size_t probe_count;
	mmx_node_id_t verify[16]; /* members to probe soon */
	size_t verify_count;
	mmx_sync_session_t *session;
	mmx_time_t last_sync;
	mmx_node_id_t rejoined; /* member to sync with soon; 0: none */
	mmx_time_t last_tick;
	mmx_time_t next_probe;
	mmx_time_t next_sync;
	mmx_time_t next_expiry;
	uint64_t probe_number;
	uint32_t next_xid;
	bool joined;
	bool leaving;
	bool bulk; /* records in hand are not spread further */
	mmx_membership_counters_t counters;
};

/* membership_state.c: the rules by which records and reports are merged. */

/* from: who sent the record; a report of death counts as its report. */
void mmx_membership_apply_member(mmx_membership_t *m,
				 const mmx_member_t *member,
				 mmx_node_id_t from);
void mmx_membership_apply_opinion(mmx_membership_t *m,
				  const mmx_opinion_t *opinion,
				  mmx_node_id_t from);
/* True when the record was newer than what was known. */
bool mmx_membership_apply_target(mmx_membership_t *m,
				 const mmx_target_record_t *record);
/* Marks a member unreachable as seen by a reporter. */
void mmx_membership_suspect(mmx_membership_t *m, mmx_entry_t *entry,
			    mmx_node_id_t reporter);
/* Declares members dead whose suspicion time is over. */
void mmx_membership_judge(mmx_membership_t *m);
/* Starts suspicion again: what was missed during a pause is no evidence. */
void mmx_membership_restart_suspicion(mmx_membership_t *m);
/* Forgets members that were lost for MMX_MEMBERSHIP_MEMORY. */
void mmx_membership_forget(mmx_membership_t *m);
/* Raises the own refutation number above a report. */
void mmx_membership_refute(mmx_membership_t *m, uint32_t refutation);
/* Fills a datagram with queued updates. */
void mmx_membership_fill(mmx_membership_t *m, mmx_gossip_message_t *message);
/* Adds the state of a member as an opinion, with a reporter if it needs one. */
void mmx_membership_add_opinion(mmx_membership_t *m,
				mmx_gossip_message_t *message,
				const mmx_entry_t *entry,
				mmx_node_id_t reporter);

/* membership_sync.c */

/* Starts a sync with a member unless one is under way. */
void mmx_membership_sync_start(mmx_membership_t *m, const mmx_entry_t *peer);

/* Moves the next sync to a random moment of the next 10 s, if it is later. */
void mmx_membership_sync_hasten(mmx_membership_t *m);
void mmx_membership_sync_tick(mmx_membership_t *m);
void mmx_membership_sync_destroy(mmx_membership_t *m);

#endif
