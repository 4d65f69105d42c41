#include "private/membership_parts.h"

#include <assert.h>
#include <glib.h>
#include <math.h>
#include <string.h>

#define REPORTS_TO_DIE 2
#define SUSPICION_PER_DECADE (5 * MMX_US_PER_S)
/* Sendings of an update: a base, which counts in small fleets where some go
 * back to where the update came from, and more per decade of members. Targets
 * get fewer, because directory sync repairs what is missed and there are more
 * of them. */
#define SENDINGS_BASE 3
#define MEMBER_SENDINGS_PER_DECADE 4
#define TARGET_SENDINGS_PER_DECADE 2
/* Member updates leave this part of a datagram to targets. */
#define TARGET_SHARE_BYTES 400

mmx_time_t mmx_membership_suspicion(const mmx_membership_t *membership)
{
	double members =
		(double)mmx_member_table_present_count(membership->table);
	mmx_time_t time = (mmx_time_t)(SUSPICION_PER_DECADE * log10(members));

	return time > MMX_MEMBERSHIP_SUSPICION_MIN
		       ? time
		       : MMX_MEMBERSHIP_SUSPICION_MIN;
}

static void changed_(mmx_membership_t *m, const mmx_entry_t *entry,
		     mmx_member_state_t before)
{
	int s;

	for (s = 0; s < MMX_MEMBER_STATE_COUNT; s++)
		mmx_counter_set(m->counters.states[s],
				(int64_t)mmx_member_table_state_count(
					m->table, (mmx_member_state_t)s));
	/* A member that is new or back brings targets; updates on probes alone
	 * left some nodes without them until their next sync, 40 s later. */
	if (entry->member.state == MMX_MEMBER_ALIVE)
		mmx_membership_sync_hasten(m);
	if (m->ops->changed)
		m->ops->changed(m->arg, &entry->member, before);
}

static void spread_member_(mmx_membership_t *m, mmx_node_id_t id,
			   mmx_node_id_t reporter, bool full)
{
	if (!m->bulk)
		mmx_broadcast_add(m->member_updates, id, reporter, full);
}

static void set_state_(mmx_membership_t *m, mmx_entry_t *entry,
		       uint32_t refutation, mmx_member_state_t state)
{
	mmx_member_state_t before = entry->member.state;

	mmx_member_table_set(m->table, entry, refutation, state);
	if (state != MMX_MEMBER_UNREACHABLE)
		spread_member_(m, entry->member.id, 0, false);
	if (before == MMX_MEMBER_DEAD && state == MMX_MEMBER_ALIVE)
		m->rejoined = entry->member.id;
	if (before != state)
		changed_(m, entry, before);
}

void mmx_membership_refute(mmx_membership_t *m, uint32_t refutation)
{
	if (m->leaving || refutation < m->self->member.refutation)
		return;
	mmx_counter_add(m->counters.refutations, 1);
	set_state_(m, m->self, refutation + 1, MMX_MEMBER_ALIVE);
	mmx_broadcast_add(m->member_updates, m->self->member.id, 0, false);
}

/* Queues a probe that decides between two views of a member. */
static void verify_(mmx_membership_t *m, mmx_entry_t *entry)
{
	if (entry->verifying || m->verify_count == G_N_ELEMENTS(m->verify))
		return;
	entry->verifying = true;
	m->verify[m->verify_count++] = entry->member.id;
}

void mmx_membership_suspect(mmx_membership_t *m, mmx_entry_t *entry,
			    mmx_node_id_t reporter)
{
	if (!mmx_member_table_present(entry) || entry == m->self || !reporter)
		return;
	if (entry->member.state == MMX_MEMBER_ALIVE)
		set_state_(m, entry, entry->member.refutation,
			   MMX_MEMBER_UNREACHABLE);
	if (mmx_member_table_report(entry, reporter))
		spread_member_(m, entry->member.id, reporter, false);
}

static bool heard_lately_(const mmx_membership_t *m, const mmx_entry_t *entry)
{
	return entry->heard != MMX_HEARD_NEVER &&
	       mmx_clock_now(m->clock) - entry->heard <
		       mmx_membership_suspicion(m);
}

static void apply_dead_(mmx_membership_t *m, mmx_entry_t *entry,
			mmx_node_id_t from)
{
	if (entry->member.state == MMX_MEMBER_ALIVE) {
		/* After a partition the other side reports healthy members
		 * dead. Asking the member makes it refute, and a member that
		 * is gone fails the probe. */
		verify_(m, entry);
	} else if (heard_lately_(m, entry)) {
		mmx_membership_suspect(m, entry, from);
	} else {
		set_state_(m, entry, entry->member.refutation, MMX_MEMBER_DEAD);
	}
}

static void remove_targets_(mmx_membership_t *m, const mmx_member_t *member)
{
	mmx_directory_remove_older(m->directory, member->id,
				   member->incarnation + 1);
	mmx_counter_set(m->counters.targets,
			(int64_t)mmx_directory_count(m->directory));
}

void mmx_membership_apply_opinion(mmx_membership_t *m,
				  const mmx_opinion_t *opinion,
				  mmx_node_id_t from)
{
	mmx_entry_t *entry = mmx_member_table_find(m->table, opinion->subject);
	mmx_member_t *member;

	if (!entry || opinion->incarnation != entry->member.incarnation ||
	    opinion->refutation < entry->member.refutation)
		return;
	member = &entry->member;
	if (entry == m->self) {
		if (opinion->state != MMX_MEMBER_ALIVE)
			mmx_membership_refute(m, opinion->refutation);
		return;
	}
	/* A higher number proves that the member lived to raise it. */
	if (opinion->refutation > member->refutation)
		set_state_(m, entry, opinion->refutation, MMX_MEMBER_ALIVE);
	if (opinion->state < member->state)
		return;
	switch (opinion->state) {
	case MMX_MEMBER_UNREACHABLE:
		mmx_membership_suspect(m, entry, opinion->reporter);
		break;
	case MMX_MEMBER_DEAD:
		if (member->state != MMX_MEMBER_DEAD)
			apply_dead_(m, entry, from);
		break;
	case MMX_MEMBER_LEFT:
		if (member->state == MMX_MEMBER_LEFT)
			break;
		set_state_(m, entry, opinion->refutation, MMX_MEMBER_LEFT);
		remove_targets_(m, member);
		break;
	default:
		break;
	}
}

void mmx_membership_apply_member(mmx_membership_t *m,
				 const mmx_member_t *member, mmx_node_id_t from)
{
	mmx_entry_t *entry = mmx_member_table_find(m->table, member->id);
	mmx_member_state_t before = MMX_MEMBER_STATE_COUNT;
	mmx_opinion_t opinion = {
		.subject = member->id,
		.incarnation = member->incarnation,
		.refutation = member->refutation,
		.state = member->state,
	};
	mmx_member_t record = *member;

	if (entry && member->incarnation <= entry->member.incarnation) {
		/* Who reports it unreachable travels as an opinion. */
		if (opinion.state == MMX_MEMBER_UNREACHABLE)
			opinion.state = MMX_MEMBER_ALIVE;
		if (opinion.state == MMX_MEMBER_ALIVE &&
		    entry->member.state == MMX_MEMBER_DEAD &&
		    member->incarnation == entry->member.incarnation)
			verify_(m, entry);
		if (member->incarnation == entry->member.incarnation &&
		    member->applied_offset > entry->member.applied_offset)
			entry->member.applied_offset = member->applied_offset;
		mmx_membership_apply_opinion(m, &opinion, from);
		return;
	}
	if (entry == m->self) {
		mmx_counter_add(m->counters.conflicts, 1);
		if (m->ops->conflict)
			m->ops->conflict(m->arg, &member->nodes);
		return;
	}
	/* An unknown member that is gone is of no use. */
	if (!entry && member->state >= MMX_MEMBER_DEAD)
		return;
	if (entry)
		before = entry->member.state;
	if (record.state == MMX_MEMBER_UNREACHABLE)
		record.state = MMX_MEMBER_ALIVE;
	entry = mmx_member_table_put(m->table, &record);
	mmx_directory_remove_older(m->directory, member->id,
				   member->incarnation);
	spread_member_(m, member->id, 0, true);
	changed_(m, entry, before);
}

/* Others may hold targets of this node that it no longer has, such as after
 * their tombstone expired; only this node can withdraw them. */
static void withdraw_(mmx_membership_t *m, const mmx_target_record_t *record)
{
	const mmx_directory_target_t *known =
		mmx_directory_find(m->directory, record->id);
	mmx_target_record_t own = *record;

	if (record->incarnation != m->self->member.incarnation || m->leaving)
		return;
	if (known && mmx_directory_target_version(known) >= record->version)
		return;
	if (known)
		mmx_directory_record(known, &own);
	else
		own.state = MMX_TARGET_GONE;
	own.version = record->version + 1;
	mmx_membership_announce(m, &own);
}

bool mmx_membership_apply_target(mmx_membership_t *m,
				 const mmx_target_record_t *record)
{
	const mmx_entry_t *node = mmx_member_table_find(m->table, record->node);

	if (!node)
		return false;
	if (node == m->self) {
		withdraw_(m, record);
		return false;
	}
	if (record->incarnation != node->member.incarnation ||
	    node->member.state == MMX_MEMBER_LEFT)
		return false;
	if (!mmx_directory_update(m->directory, record))
		return false;
	if (!m->bulk)
		mmx_broadcast_add(m->target_updates, record->id, 0, true);
	mmx_counter_set(m->counters.targets,
			(int64_t)mmx_directory_count(m->directory));
	if (m->ops->target_changed)
		m->ops->target_changed(m->arg, record);
	return true;
}

bool mmx_membership_announce(mmx_membership_t *membership,
			     const mmx_target_record_t *record)
{
	mmx_membership_t *m = membership;
	mmx_target_record_t own = *record;

	own.node = m->self->member.id;
	own.incarnation = m->self->member.incarnation;
	if (!mmx_directory_update(m->directory, &own))
		return false;
	mmx_broadcast_add(m->target_updates, own.id, 0, true);
	mmx_counter_set(m->counters.targets,
			(int64_t)mmx_directory_count(m->directory));
	if (m->ops->target_changed)
		m->ops->target_changed(m->arg, &own);
	return true;
}

void mmx_membership_judge(mmx_membership_t *m)
{
	mmx_time_t now = mmx_clock_now(m->clock);
	mmx_time_t suspicion = mmx_membership_suspicion(m);
	size_t i = 0;

	if (!mmx_member_table_state_count(m->table, MMX_MEMBER_UNREACHABLE))
		return;
	while (i < mmx_member_table_present_count(m->table)) {
		mmx_entry_t *entry = mmx_member_table_present_at(m->table, i);

		if (entry->member.state == MMX_MEMBER_UNREACHABLE &&
		    now - entry->since >= suspicion &&
		    entry->reporter_count >= REPORTS_TO_DIE &&
		    !heard_lately_(m, entry))
			/* Another entry takes the place i. */
			set_state_(m, entry, entry->member.refutation,
				   MMX_MEMBER_DEAD);
		else
			i++;
	}
}

void mmx_membership_restart_suspicion(mmx_membership_t *m)
{
	mmx_time_t now = mmx_clock_now(m->clock);
	size_t i;

	for (i = 0; i < mmx_member_table_present_count(m->table); i++) {
		mmx_entry_t *entry = mmx_member_table_present_at(m->table, i);

		entry->since = now;
		entry->reporter_count = 0;
		/* Verdicts of others that were in the socket buffer may be as
		 * old as the pause; they count as reports for a while. */
		entry->heard = now;
	}
}

void mmx_membership_forget(mmx_membership_t *m)
{
	mmx_time_t now = mmx_clock_now(m->clock);
	size_t i = 0;

	while (i < mmx_member_table_lost_count(m->table)) {
		mmx_entry_t *entry = mmx_member_table_lost_at(m->table, i);

		if (entry == m->self ||
		    now - entry->since < MMX_MEMBERSHIP_MEMORY) {
			i++;
			continue;
		}
		remove_targets_(m, &entry->member);
		mmx_member_table_remove(m->table, entry);
	}
}

typedef struct filling_t {
	mmx_membership_t *m;
	mmx_gossip_message_t *message;
	size_t room;
} filling_t;

void mmx_membership_add_opinion(mmx_membership_t *m,
				mmx_gossip_message_t *message,
				const mmx_entry_t *entry,
				mmx_node_id_t reporter)
{
	const mmx_member_t *member = &entry->member;
	mmx_opinion_t *opinion = &message->opinions[message->opinion_count];

	assert(message->opinion_count < MMX_DATAGRAM_OPINIONS);
	message->opinion_count++;
	*opinion = (mmx_opinion_t){
		.subject = member->id,
		.incarnation = member->incarnation,
		.refutation = member->refutation,
		.state = member->state,
	};
	if (member->state == MMX_MEMBER_UNREACHABLE)
		opinion->reporter = reporter ? reporter : m->self->member.id;
}

static mmx_broadcast_verdict_t fill_member_(void *arg,
					    const mmx_broadcast_item_t *item)
{
	filling_t *filling = arg;
	mmx_gossip_message_t *message = filling->message;
	const mmx_entry_t *entry =
		mmx_member_table_find(filling->m->table, item->subject);
	size_t size = MMX_OPINION_BYTES;

	if (!entry)
		return MMX_BROADCAST_OBSOLETE;
	/* A report is obsolete once the member refuted it or died; another
	 * state is obsolete once there is a report. */
	if (!item->full && (item->reporter != 0) != (entry->member.state ==
						     MMX_MEMBER_UNREACHABLE))
		return MMX_BROADCAST_OBSOLETE;
	if (item->full)
		size = mmx_gossip_member_size(&entry->member);
	if (size > filling->room ||
	    message->member_count == MMX_DATAGRAM_MEMBERS ||
	    message->opinion_count == MMX_DATAGRAM_OPINIONS)
		return MMX_BROADCAST_NO_ROOM;
	filling->room -= size;
	if (item->full)
		message->members[message->member_count++] = entry->member;
	else
		mmx_membership_add_opinion(filling->m, message, entry,
					   item->reporter);
	return MMX_BROADCAST_SENT;
}

static mmx_broadcast_verdict_t fill_target_(void *arg,
					    const mmx_broadcast_item_t *item)
{
	filling_t *filling = arg;
	mmx_gossip_message_t *message = filling->message;
	const mmx_directory_target_t *target =
		mmx_directory_find(filling->m->directory, item->subject);
	mmx_target_record_t *record = &message->targets[message->target_count];
	size_t size;

	if (!target)
		return MMX_BROADCAST_OBSOLETE;
	if (message->target_count == MMX_DATAGRAM_TARGETS)
		return MMX_BROADCAST_NO_ROOM;
	mmx_directory_record(target, record);
	size = mmx_gossip_target_size(record);
	if (size > filling->room)
		return MMX_BROADCAST_NO_ROOM;
	filling->room -= size;
	message->target_count++;
	return MMX_BROADCAST_SENT;
}

static unsigned int limit_(const mmx_membership_t *m, unsigned int per_decade)
{
	double members = (double)mmx_member_table_present_count(m->table);
	unsigned int decades = (unsigned int)ceil(log10(members + 1));
	unsigned int limit = SENDINGS_BASE + per_decade * decades;

	return limit < MMX_BROADCAST_SENDINGS_MAX ? limit
						  : MMX_BROADCAST_SENDINGS_MAX;
}

void mmx_membership_fill(mmx_membership_t *m, mmx_gossip_message_t *message)
{
	filling_t filling = {
		.m = m, .message = message, .room = MMX_DATAGRAM_ROOM};
	size_t kept = 0;
	size_t i;

	for (i = 0; i < message->member_count; i++)
		filling.room -= mmx_gossip_member_size(&message->members[i]);
	filling.room -= message->opinion_count * MMX_OPINION_BYTES;
	if (mmx_broadcast_count(m->target_updates) > 0 &&
	    filling.room > TARGET_SHARE_BYTES)
		kept = TARGET_SHARE_BYTES;
	filling.room -= kept;
	mmx_broadcast_take(m->member_updates,
			   limit_(m, MEMBER_SENDINGS_PER_DECADE), fill_member_,
			   &filling);
	filling.room += kept;
	mmx_broadcast_take(m->target_updates,
			   limit_(m, TARGET_SENDINGS_PER_DECADE), fill_target_,
			   &filling);
}
