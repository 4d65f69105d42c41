#include "masticmux/membership.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "private/membership_parts.h"

/* Without an answer for this long, helpers are asked. Regions are 30 ms
 * apart; the rest of the period is left to the helpers. */
#define DIRECT_TIMEOUT (400 * MMX_US_PER_MS)
#define PROBE_TIMEOUT MMX_MEMBERSHIP_PROBE_PERIOD
#define HELPERS 3
/* A tick that is later than this means that the process was paused. */
#define PAUSE_LIMIT (3 * MMX_MEMBERSHIP_PROBE_PERIOD)
/* One probe in this many goes to a dead or left member. */
#define LOST_PROBE_EVERY 10
/* One probe in this many also goes to a seed, so that fleets that started
 * apart or forgot each other join. */
#define SEED_PROBE_EVERY 60
#define PROBES_MAX 512
/* Updates that wait to be piggybacked. The loss of a region of 840 members
 * gives up to 2,520 reports; target updates that are dropped are repaired by
 * directory sync. */
#define MEMBER_UPDATES_MAX 8192
#define TARGET_UPDATES_MAX 2048
#define EXPIRY_PERIOD (60 * MMX_US_PER_S)
#define TOMBSTONE_AGE (600 * MMX_US_PER_S)
/* Members told at once about a planned stop. */
#define LEAVE_FANOUT 8

const char *const mmx_probe_kind_string[MMX_PROBE_KIND_COUNT] = {
	"member",
	"lost",
	"relay",
	"join_check",
};

static mmx_counter_t *counter_(mmx_counters_t *counters, const char *name,
			       const char *help)
{
	return mmx_counters_get(counters, MMX_COUNTER, name, "", help);
}

static void register_counters_(mmx_membership_t *m)
{
	mmx_counters_t *registry = m->config.counters;
	mmx_membership_counters_t *c = &m->counters;
	char label[32];
	int s;

	if (!registry)
		return;
	c->probes = counter_(registry, "masticmux_probes_total",
			     "Probes of members sent");
	c->probes_failed = counter_(registry, "masticmux_probes_failed_total",
				    "Probes of members without an answer");
	c->refutations = counter_(registry, "masticmux_refutations_total",
				  "Reports about this node that it refuted");
	c->pauses = counter_(registry, "masticmux_pauses_total",
			     "Times this process was found to have paused");
	c->conflicts = counter_(registry, "masticmux_name_conflicts_total",
				"Other processes seen with the same name");
	c->syncs = counter_(registry, "masticmux_directory_syncs_total",
			    "Directory syncs started");
	c->sync_malformed =
		counter_(registry, "masticmux_directory_sync_malformed_total",
			 "Malformed directory sync messages");
	c->misdirected =
		counter_(registry, "masticmux_gossip_misdirected_total",
			 "Datagrams for another node");
	for (s = 0; s < MMX_MEMBER_STATE_COUNT; s++) {
		g_snprintf(label, sizeof(label), "state=\"%s\"",
			   mmx_member_state_string[s]);
		c->states[s] = mmx_counters_get(
			registry, MMX_GAUGE, "masticmux_members", label,
			"Members by state as seen here");
	}
	c->targets = mmx_counters_get(registry, MMX_GAUGE, "masticmux_targets",
				      "", "Targets in the directory");
}

mmx_membership_t *mmx_membership_create(const mmx_membership_config_t *config,
					mmx_clock_t *clock,
					mmx_directory_t *directory,
					const mmx_membership_ops_t *ops,
					void *arg)
{
	mmx_membership_t *m = g_new0(mmx_membership_t, 1);
	mmx_member_t self = config->self;

	assert(clock && directory && ops && ops->send);
	assert(self.name[0] && self.incarnation && self.nodes.port);
	m->config = *config;
	m->clock = clock;
	m->directory = directory;
	m->ops = ops;
	m->arg = arg;
	mmx_random_seed(&m->random, config->random_seed);
	m->table = mmx_member_table_create(clock, &m->random);
	self.id = mmx_node_id(self.name);
	self.refutation = 0;
	self.state = MMX_MEMBER_ALIVE;
	m->self = mmx_member_table_put(m->table, &self);
	m->member_updates = mmx_broadcast_create(MEMBER_UPDATES_MAX);
	m->target_updates = mmx_broadcast_create(TARGET_UPDATES_MAX);
	TAILQ_INIT(&m->probes);
	m->next_xid = (uint32_t)mmx_random_next(&m->random);
	m->last_tick = mmx_clock_now(clock);
	m->next_expiry = m->last_tick + EXPIRY_PERIOD;
	m->next_sync = m->last_tick +
		       (mmx_time_t)mmx_random_below(&m->random,
						    MMX_MEMBERSHIP_SYNC_PERIOD);
	register_counters_(m);
	return m;
}

static void drop_probe_(mmx_membership_t *m, mmx_probe_t *probe)
{
	TAILQ_REMOVE(&m->probes, probe, entry);
	m->probe_count--;
	g_free(probe);
}

static void drop_probes_(mmx_membership_t *m)
{
	mmx_probe_t *probe = TAILQ_FIRST(&m->probes);

	while (probe) {
		mmx_probe_t *next = TAILQ_NEXT(probe, entry);

		g_free(probe);
		probe = next;
	}
	TAILQ_INIT(&m->probes);
	m->probe_count = 0;
}

void mmx_membership_destroy(mmx_membership_t *membership)
{
	if (!membership)
		return;
	drop_probes_(membership);
	mmx_membership_sync_destroy(membership);
	mmx_broadcast_destroy(membership->member_updates);
	mmx_broadcast_destroy(membership->target_updates);
	mmx_member_table_destroy(membership->table);
	g_free(membership);
}

static mmx_gossip_message_t *
message_(mmx_membership_t *m, mmx_gossip_procedure_t procedure, uint32_t xid)
{
	/* Some kilobytes; allocated so that it does not weigh on the stack of
	 * every caller, and not cleared beyond the header. */
	mmx_gossip_message_t *message = g_malloc(sizeof(*message));

	message->procedure = procedure;
	message->xid = xid;
	message->flags = 0;
	message->sender = m->self->member.id;
	message->incarnation = m->self->member.incarnation;
	message->sequence = 0;
	message->refutation = m->self->member.refutation;
	message->recipient = 0;
	message->subject = 0;
	message->offset = m->self->member.applied_offset;
	message->ages.confirmed = MMX_TIME_NEVER;
	message->ages.reader = MMX_TIME_NEVER;
	if (m->ops->fill_ages)
		m->ops->fill_ages(m->arg, &message->ages);
	message->member_count = 0;
	message->opinion_count = 0;
	message->target_count = 0;
	return message;
}

/* Sends and frees a message. A recipient that is not alive here is told so
 * first: if it lives, it refutes. */
static void send_(mmx_membership_t *m, mmx_gossip_message_t *message,
		  const mmx_entry_t *to, const mmx_address_t *address)
{
	if (to) {
		message->recipient = to->member.id;
		if (to->member.state != MMX_MEMBER_ALIVE)
			mmx_membership_add_opinion(m, message, to, 0);
	}
	mmx_membership_fill(m, message);
	m->ops->send(m->arg, address ? address : &to->member.nodes, message);
	g_free(message);
}

static void add_self_(mmx_membership_t *m, mmx_gossip_message_t *message)
{
	message->members[message->member_count++] = m->self->member;
}

static mmx_probe_t *probe_(mmx_membership_t *m, const mmx_entry_t *entry,
			   mmx_probe_kind_t kind)
{
	mmx_gossip_message_t *message;
	mmx_probe_t *probe;

	if (m->probe_count == PROBES_MAX)
		return NULL;
	probe = g_new0(mmx_probe_t, 1);
	probe->kind = kind;
	probe->xid = m->next_xid++;
	probe->subject = entry->member.id;
	probe->incarnation = entry->member.incarnation;
	probe->sent = mmx_clock_now(m->clock);
	TAILQ_INSERT_TAIL(&m->probes, probe, entry);
	m->probe_count++;
	mmx_counter_add(m->counters.probes, 1);
	message = message_(m, MMX_GOSSIP_PING, probe->xid);
	if (entry->verifying && entry->member.state == MMX_MEMBER_ALIVE) {
		/* Others hold it dead; it refutes only what it hears of. */
		mmx_membership_add_opinion(m, message, entry, 0);
		message->opinions[0].state = MMX_MEMBER_DEAD;
	}
	send_(m, message, entry, NULL);
	return probe;
}

static void ask_helpers_(mmx_membership_t *m, mmx_probe_t *probe)
{
	mmx_node_id_t asked[HELPERS] = {0};
	int i;
	int j;

	probe->indirect = true;
	for (i = 0; i < HELPERS; i++) {
		mmx_entry_t *helper = mmx_member_table_random(
			m->table, m->self->member.id, probe->subject);
		mmx_gossip_message_t *message;
		bool repeated = false;

		for (j = 0; helper && j < i; j++)
			repeated |= asked[j] == helper->member.id;
		if (!helper || repeated)
			continue;
		asked[i] = helper->member.id;
		message = message_(m, MMX_GOSSIP_PING_REQ, probe->xid);
		message->subject = probe->subject;
		send_(m, message, helper, NULL);
	}
}

static void probe_failed_(mmx_membership_t *m, const mmx_probe_t *probe)
{
	mmx_entry_t *entry = mmx_member_table_find(m->table, probe->subject);

	mmx_counter_add(m->counters.probes_failed, 1);
	if (!entry || entry->member.incarnation != probe->incarnation)
		return;
	if (probe->kind == MMX_PROBE_MEMBER)
		mmx_membership_suspect(m, entry, m->self->member.id);
	else if (probe->kind == MMX_PROBE_JOIN_CHECK)
		entry->replaceable = true;
}

static void check_probes_(mmx_membership_t *m)
{
	mmx_time_t now = mmx_clock_now(m->clock);
	mmx_probe_t *probe = TAILQ_FIRST(&m->probes);

	while (probe) {
		mmx_probe_t *next = TAILQ_NEXT(probe, entry);
		mmx_time_t age = now - probe->sent;

		if (age >= PROBE_TIMEOUT) {
			probe_failed_(m, probe);
			drop_probe_(m, probe);
		} else if (age >= DIRECT_TIMEOUT && !probe->indirect &&
			   probe->kind == MMX_PROBE_MEMBER) {
			ask_helpers_(m, probe);
		}
		probe = next;
	}
}

static void ping_seed_(mmx_membership_t *m, const mmx_address_t *seed)
{
	mmx_gossip_message_t *message =
		message_(m, MMX_GOSSIP_PING, m->next_xid++);

	add_self_(m, message);
	send_(m, message, NULL, seed);
}

static bool is_self_(const mmx_membership_t *m, const mmx_address_t *address)
{
	return address->port == m->self->member.nodes.port &&
	       strcmp(address->host, m->self->member.nodes.host) == 0;
}

static void seeds_(mmx_membership_t *m)
{
	bool alone =
		mmx_member_table_state_count(m->table, MMX_MEMBER_ALIVE) <= 1;
	size_t count = m->config.seed_count;
	size_t chosen;
	size_t i;

	if (!count || m->leaving)
		return;
	chosen = mmx_random_below(&m->random, count);
	for (i = 0; i < count; i++) {
		const mmx_address_t *seed = &m->config.seeds[i];

		if (is_self_(m, seed))
			continue;
		if (alone ||
		    (i == chosen && m->probe_number % SEED_PROBE_EVERY == 0))
			ping_seed_(m, seed);
	}
}

static void probe_next_(mmx_membership_t *m)
{
	size_t lost = mmx_member_table_lost_count(m->table);
	mmx_entry_t *entry;

	m->probe_number++;
	if (lost > 0 && m->probe_number % LOST_PROBE_EVERY == 0) {
		entry = mmx_member_table_lost_at(
			m->table, mmx_random_below(&m->random, lost));
		if (entry != m->self)
			probe_(m, entry, MMX_PROBE_LOST);
		return;
	}
	entry = mmx_member_table_next(m->table, m->self->member.id);
	if (entry)
		probe_(m, entry, MMX_PROBE_MEMBER);
}

static void verify_next_(mmx_membership_t *m)
{
	mmx_entry_t *entry;

	if (m->verify_count == 0)
		return;
	entry = mmx_member_table_find(m->table, m->verify[--m->verify_count]);
	if (!entry)
		return;
	probe_(m, entry,
	       mmx_member_table_present(entry) ? MMX_PROBE_MEMBER
					       : MMX_PROBE_LOST);
	entry->verifying = false;
}

/* A process that was paused missed answers and refutations; what it would
 * conclude from their absence is wrong. */
static void note_pause_(mmx_membership_t *m)
{
	mmx_time_t now = mmx_clock_now(m->clock);

	if (now - m->last_tick > PAUSE_LIMIT) {
		mmx_counter_add(m->counters.pauses, 1);
		drop_probes_(m);
		mmx_membership_restart_suspicion(m);
		m->next_probe = now;
	}
	m->last_tick = now;
}

static void spread_(mmx_membership_t *m)
{
	mmx_entry_t *entry;

	if (!mmx_broadcast_count(m->member_updates) &&
	    !mmx_broadcast_count(m->target_updates))
		return;
	entry = mmx_member_table_random(m->table, m->self->member.id, 0);
	if (entry)
		send_(m, message_(m, MMX_GOSSIP_NEWS, 0), entry, NULL);
}

void mmx_membership_tick(mmx_membership_t *membership)
{
	mmx_membership_t *m = membership;
	mmx_time_t now = mmx_clock_now(m->clock);

	note_pause_(m);
	check_probes_(m);
	verify_next_(m);
	if (now >= m->next_probe) {
		m->next_probe = now + MMX_MEMBERSHIP_PROBE_PERIOD;
		probe_next_(m);
		seeds_(m);
		mmx_membership_judge(m);
	}
	spread_(m);
	mmx_membership_sync_tick(m);
	if (now >= m->next_expiry) {
		m->next_expiry = now + EXPIRY_PERIOD;
		mmx_directory_expire(m->directory, TOMBSTONE_AGE);
		mmx_membership_forget(m);
	}
}

/* A joining node may carry the name of a member that still runs. The older
 * process is probed before the newer one takes its place. */
static bool join_refused_(mmx_membership_t *m, const mmx_member_t *joining,
			  const mmx_address_t *from)
{
	mmx_entry_t *entry = mmx_member_table_find(m->table, joining->id);
	const mmx_member_t *known;
	mmx_gossip_message_t *message;
	mmx_probe_t *probe;

	if (!entry || !mmx_member_table_present(entry))
		return false;
	known = &entry->member;
	if (known->incarnation == joining->incarnation)
		return false;
	if (strcmp(known->name, joining->name) == 0 &&
	    joining->incarnation > known->incarnation && entry != m->self &&
	    (entry->replaceable ||
	     (known->nodes.port == joining->nodes.port &&
	      strcmp(known->nodes.host, joining->nodes.host) == 0)))
		return false;
	if (entry != m->self && joining->incarnation > known->incarnation) {
		probe = probe_(m, entry, MMX_PROBE_JOIN_CHECK);
		if (probe)
			probe->reply_to = *from;
		return true;
	}
	message = message_(m, MMX_GOSSIP_NEWS, 0);
	message->flags = MMX_GOSSIP_CONFLICT;
	send_(m, message, NULL, from);
	return true;
}

static void on_ping_req_(mmx_membership_t *m,
			 const mmx_gossip_message_t *message,
			 const mmx_address_t *from)
{
	mmx_entry_t *entry = mmx_member_table_find(m->table, message->subject);
	mmx_probe_t *probe;

	if (!entry || entry == m->self)
		return;
	probe = probe_(m, entry, MMX_PROBE_RELAY);
	if (!probe)
		return;
	probe->origin = message->sender;
	probe->origin_xid = message->xid;
	probe->reply_to = *from;
}

static void relay_(mmx_membership_t *m, const mmx_probe_t *probe)
{
	mmx_entry_t *origin = mmx_member_table_find(m->table, probe->origin);
	mmx_entry_t *subject = mmx_member_table_find(m->table, probe->subject);
	mmx_gossip_message_t *message =
		message_(m, MMX_GOSSIP_ACK, probe->origin_xid);

	message->subject = probe->subject;
	/* The asker learns of a refutation on the way that works. */
	if (subject && subject->member.state == MMX_MEMBER_ALIVE)
		mmx_membership_add_opinion(m, message, subject, 0);
	send_(m, message, origin, &probe->reply_to);
}

static void on_ack_(mmx_membership_t *m, const mmx_gossip_message_t *message)
{
	mmx_entry_t *subject =
		mmx_member_table_find(m->table, message->subject);
	mmx_gossip_message_t *news;
	mmx_probe_t *probe;

	m->joined = true;
	TAILQ_FOREACH (probe, &m->probes, entry) {
		if (probe->xid == message->xid &&
		    probe->subject == message->subject)
			break;
	}
	if (!probe)
		return;
	if (subject && subject->member.incarnation == probe->incarnation)
		subject->heard = mmx_clock_now(m->clock);
	if (probe->kind == MMX_PROBE_RELAY) {
		relay_(m, probe);
	} else if (probe->kind == MMX_PROBE_JOIN_CHECK) {
		news = message_(m, MMX_GOSSIP_NEWS, 0);
		news->flags = MMX_GOSSIP_CONFLICT;
		send_(m, news, NULL, &probe->reply_to);
	}
	drop_probe_(m, probe);
}

/* Direct evidence: the sender lives and has this refutation number. */
static void note_sender_(mmx_membership_t *m, mmx_entry_t *sender,
			 const mmx_gossip_message_t *message)
{
	mmx_opinion_t opinion = {
		.subject = message->sender,
		.incarnation = message->incarnation,
		.refutation = message->refutation,
		.state = MMX_MEMBER_ALIVE,
	};

	if (sender->member.incarnation != message->incarnation)
		return;
	sender->heard = mmx_clock_now(m->clock);
	mmx_membership_apply_opinion(m, &opinion, message->sender);
	if (message->offset > sender->member.applied_offset)
		sender->member.applied_offset = message->offset;
	if (message->offset > m->self->member.applied_offset &&
	    m->ops->offset_seen)
		m->ops->offset_seen(m->arg, message->sender, message->offset);
	if (m->ops->news_seen)
		m->ops->news_seen(m->arg, message->sender, message->offset,
				  &message->ages);
}

static void apply_updates_(mmx_membership_t *m,
			   const mmx_gossip_message_t *message)
{
	size_t i;

	for (i = 0; i < message->member_count; i++)
		mmx_membership_apply_member(m, &message->members[i],
					    message->sender);
	for (i = 0; i < message->opinion_count; i++)
		mmx_membership_apply_opinion(m, &message->opinions[i],
					     message->sender);
	for (i = 0; i < message->target_count; i++)
		mmx_membership_apply_target(m, &message->targets[i]);
}

/* Answers a ping, or a datagram that shows a lack of records. */
static void answer_(mmx_membership_t *m, const mmx_gossip_message_t *message,
		    const mmx_entry_t *sender, const mmx_address_t *from,
		    bool refuted)
{
	bool ping = message->procedure == MMX_GOSSIP_PING;
	bool wanted = message->flags & MMX_GOSSIP_WANT_RECORD;
	bool unknown =
		!sender || sender->member.incarnation < message->incarnation;
	/* The sender was replaced, for example while it was paused. */
	bool replaced =
		sender && sender->member.incarnation > message->incarnation;
	mmx_gossip_message_t *reply;

	if (!ping && !wanted && !unknown && !refuted && !replaced)
		return;
	reply = message_(m, ping ? MMX_GOSSIP_ACK : MMX_GOSSIP_NEWS,
			 message->xid);
	if (ping)
		reply->subject = m->self->member.id;
	if (unknown)
		reply->flags = MMX_GOSSIP_WANT_RECORD;
	if (wanted || !message->recipient)
		add_self_(m, reply);
	if (replaced)
		reply->members[reply->member_count++] = sender->member;
	send_(m, reply, sender, from);
}

void mmx_membership_receive(mmx_membership_t *membership,
			    const mmx_gossip_message_t *message,
			    const mmx_address_t *from)
{
	mmx_membership_t *m = membership;
	uint32_t refutation = m->self->member.refutation;
	mmx_entry_t *sender;

	note_pause_(m);
	if (message->recipient && message->recipient != m->self->member.id) {
		mmx_counter_add(m->counters.misdirected, 1);
		return;
	}
	if (message->procedure == MMX_GOSSIP_PING && !message->recipient &&
	    message->member_count > 0 &&
	    message->members[0].id == message->sender &&
	    join_refused_(m, &message->members[0], from))
		return;
	if (message->flags & MMX_GOSSIP_CONFLICT) {
		mmx_counter_add(m->counters.conflicts, 1);
		if (m->ops->conflict)
			m->ops->conflict(m->arg, from);
		return;
	}
	if (message->sender == m->self->member.id)
		return;
	apply_updates_(m, message);
	sender = mmx_member_table_find(m->table, message->sender);
	if (sender)
		note_sender_(m, sender, message);
	if (message->procedure == MMX_GOSSIP_ACK) {
		if (!m->joined && sender)
			mmx_membership_sync_start(m, sender);
		on_ack_(m, message);
	}
	if (message->procedure == MMX_GOSSIP_PING_REQ)
		on_ping_req_(m, message, from);
	answer_(m, message, sender, from,
		refutation != m->self->member.refutation);
}

void mmx_membership_leave(mmx_membership_t *membership)
{
	mmx_membership_t *m = membership;
	int i;

	if (m->leaving)
		return;
	m->leaving = true;
	mmx_member_table_set(m->table, m->self, m->self->member.refutation,
			     MMX_MEMBER_LEFT);
	mmx_broadcast_add(m->member_updates, m->self->member.id, 0, false);
	for (i = 0; i < LEAVE_FANOUT; i++) {
		mmx_entry_t *entry = mmx_member_table_random(
			m->table, m->self->member.id, 0);

		if (entry)
			send_(m, message_(m, MMX_GOSSIP_NEWS, 0), entry, NULL);
	}
}

void mmx_membership_set_offset(mmx_membership_t *membership, uint64_t offset)
{
	mmx_member_t *self = &membership->self->member;

	if (offset > self->applied_offset)
		self->applied_offset = offset;
}

bool mmx_membership_send_news(mmx_membership_t *membership, mmx_node_id_t to)
{
	mmx_membership_t *m = membership;
	mmx_entry_t *entry = mmx_member_table_find(m->table, to);

	if (!entry || entry == m->self)
		return false;
	send_(m, message_(m, MMX_GOSSIP_NEWS, 0), entry, NULL);
	return true;
}
