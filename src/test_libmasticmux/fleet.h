/*
 * Many instances of the membership module in one process, on a paused clock
 * and a seeded network with loss, delay, reordering and one-way blocks between
 * groups. Every datagram passes the codec. Used by tests and benchmarks.
 */
#ifndef MASTICMUX_TEST_FLEET_H
#define MASTICMUX_TEST_FLEET_H

#include <assert.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "masticmux/membership.h"
#include "masticmux/random.h"

#define FLEET_STEP (10 * MMX_US_PER_MS)
#define FLEET_SLOTS 64 /* steps that a packet may be under way */
#define FLEET_TICK_STEPS (MMX_MEMBERSHIP_TICK / FLEET_STEP)
#define FLEET_GROUPS 8
#define FLEET_PORT 1000U
/* Datagrams that the socket buffer of a paused process holds. */
#define FLEET_HELD 64

typedef enum fleet_packet_kind_t {
	FLEET_DATAGRAM,
	FLEET_SYNC_REQUEST,
	FLEET_SYNC_REPLY,
} fleet_packet_kind_t;

typedef struct fleet_packet_t {
	STAILQ_ENTRY(fleet_packet_t) entry;
	fleet_packet_kind_t kind;
	size_t from;
	size_t to;
	size_t size;
	uint8_t data[];
} fleet_packet_t;

typedef STAILQ_HEAD(fleet_packets_t, fleet_packet_t) fleet_packets_t;

typedef struct fleet_t fleet_t;

typedef struct instance_t {
	fleet_t *fleet;
	size_t index;
	char name[MMX_NAME_MAX + 1];
	mmx_member_t record;
	mmx_membership_t *membership; /* NULL while down */
	mmx_directory_t *directory;
	mmx_replay_t *replay;
	fleet_packets_t held;
	size_t held_count;
	uint64_t sequence;
	uint64_t next_version;
	unsigned int group;
	unsigned int phase;
	bool paused;
	size_t conflicts;
	uint64_t bytes_sent;
	uint64_t sync_bytes_sent;
} instance_t;

struct fleet_t {
	mmx_clock_t *clock;
	mmx_random_t random;
	instance_t *instances;
	size_t count;
	size_t targets; /* beside each instance */
	unsigned int loss_percent;
	unsigned int delay_steps; /* 1..delay_steps for each packet */
	bool blocked[FLEET_GROUPS][FLEET_GROUPS]; /* from, to */
	fleet_packets_t slots[FLEET_SLOTS];
	uint64_t step;
	size_t false_dead; /* verdicts of death about a running instance */
	size_t rejected;
	mmx_fleet_key_t key;
};

static inline mmx_time_t fleet_now_(const fleet_t *fleet)
{
	return (mmx_time_t)fleet->step * FLEET_STEP;
}

static inline instance_t *fleet_find_(fleet_t *fleet, mmx_node_id_t id)
{
	size_t i;

	for (i = 0; i < fleet->count; i++) {
		if (fleet->instances[i].record.id == id)
			return &fleet->instances[i];
	}
	return NULL;
}

static inline void fleet_post_(instance_t *from, size_t to,
			       fleet_packet_kind_t kind, const uint8_t *data,
			       size_t size)
{
	fleet_t *fleet = from->fleet;
	fleet_packet_t *packet;
	uint64_t delay;

	if (kind == FLEET_DATAGRAM)
		from->bytes_sent += size;
	else
		from->sync_bytes_sent += size;
	delay = 1 + mmx_random_below(&fleet->random, fleet->delay_steps);
	if (to >= fleet->count ||
	    fleet->blocked[from->group][fleet->instances[to].group] ||
	    (kind == FLEET_DATAGRAM &&
	     mmx_random_below(&fleet->random, 100) < fleet->loss_percent))
		return;
	/* TCP needs both directions. */
	if (kind != FLEET_DATAGRAM &&
	    fleet->blocked[fleet->instances[to].group][from->group])
		return;
	packet = g_malloc(sizeof(*packet) + size);
	packet->kind = kind;
	packet->from = from->index;
	packet->to = to;
	packet->size = size;
	memcpy(packet->data, data, size);
	STAILQ_INSERT_TAIL(&fleet->slots[(fleet->step + delay) % FLEET_SLOTS],
			   packet, entry);
}

static inline void fleet_send_(void *arg, const mmx_address_t *to,
			       mmx_gossip_message_t *message)
{
	instance_t *instance = arg;
	uint8_t data[MMX_DATAGRAM_MAX];
	size_t size;

	message->sequence = ++instance->sequence;
	size = mmx_gossip_encode(message, &instance->fleet->key, data);
	assert(size > 0);
	fleet_post_(instance, to->port - FLEET_PORT, FLEET_DATAGRAM, data,
		    size);
}

static inline void fleet_sync_request_(void *arg, const mmx_member_t *peer,
				       const uint8_t *data, size_t size)
{
	fleet_post_(arg, peer->nodes.port - FLEET_PORT, FLEET_SYNC_REQUEST,
		    data, size);
}

static inline void fleet_changed_(void *arg, const mmx_member_t *member,
				  mmx_member_state_t before)
{
	instance_t *instance = arg;
	const instance_t *subject;

	if (member->state != MMX_MEMBER_DEAD || before == member->state)
		return;
	subject = fleet_find_(instance->fleet, member->id);
	if (subject && subject->membership && !subject->paused &&
	    subject->record.incarnation == member->incarnation)
		instance->fleet->false_dead++;
}

static inline void fleet_conflict_(void *arg, const mmx_address_t *other)
{
	instance_t *instance = arg;

	instance->conflicts++;
}

static const mmx_membership_ops_t fleet_ops_ = {
	.send = fleet_send_,
	.sync_request = fleet_sync_request_,
	.changed = fleet_changed_,
	.conflict = fleet_conflict_,
};

static inline void fleet_announce_(instance_t *instance, size_t target,
				   mmx_target_state_t state)
{
	mmx_target_record_t record = {.slots = 3, .state = state};

	snprintf(record.name, sizeof(record.name), "target-%zu", target);
	snprintf(record.service, sizeof(record.service), "service-%zu",
		 (instance->index + target * 7) % 40);
	record.id = mmx_directory_id(instance->name, record.name);
	record.version = ++instance->next_version;
	mmx_membership_announce(instance->membership, &record);
}

/* Starts an instance with a new incarnation. */
static inline void fleet_start_(instance_t *instance)
{
	fleet_t *fleet = instance->fleet;
	mmx_membership_config_t *config = g_new0(mmx_membership_config_t, 1);
	mmx_member_t *self = &instance->record;
	size_t i;

	assert(!instance->membership);
	g_strlcpy(self->name, instance->name, sizeof(self->name));
	self->id = mmx_node_id(self->name);
	self->incarnation = mmx_clock_wall(fleet->clock);
	g_strlcpy(self->nodes.host, "10.1.20.30", sizeof(self->nodes.host));
	self->nodes.port = (uint16_t)(FLEET_PORT + instance->index);
	config->self = *self;
	config->random_seed = mmx_random_next(&fleet->random);
	config->seed_count = 2;
	for (i = 0; i < config->seed_count; i++) {
		config->seeds[i] = self->nodes;
		config->seeds[i].port = (uint16_t)(FLEET_PORT + i);
	}
	instance->directory = mmx_directory_create(fleet->clock);
	instance->replay = mmx_replay_create(fleet->clock);
	instance->sequence = 0;
	instance->next_version = 0;
	instance->paused = false;
	instance->phase = (unsigned int)mmx_random_below(&fleet->random,
							 FLEET_TICK_STEPS);
	instance->membership =
		mmx_membership_create(config, fleet->clock, instance->directory,
				      &fleet_ops_, instance);
	g_free(config);
	for (i = 0; i < fleet->targets; i++)
		fleet_announce_(instance, i, MMX_TARGET_WARM);
}

static inline void fleet_drop_held_(instance_t *instance)
{
	fleet_packet_t *packet;

	while ((packet = STAILQ_FIRST(&instance->held))) {
		STAILQ_REMOVE_HEAD(&instance->held, entry);
		g_free(packet);
	}
	instance->held_count = 0;
}

/* Ends an instance without notice, like a crash. */
static inline void fleet_stop_(instance_t *instance)
{
	mmx_membership_destroy(instance->membership);
	mmx_directory_destroy(instance->directory);
	mmx_replay_destroy(instance->replay);
	fleet_drop_held_(instance);
	instance->membership = NULL;
	instance->directory = NULL;
	instance->replay = NULL;
	instance->paused = false;
}

static inline void fleet_deliver_(fleet_t *fleet, fleet_packet_t *packet)
{
	instance_t *to = &fleet->instances[packet->to];
	instance_t *from = &fleet->instances[packet->from];
	mmx_gossip_message_t *message;
	uint8_t *reply;
	size_t size;

	if (packet->kind == FLEET_SYNC_REQUEST) {
		if (mmx_membership_sync_serve(to->membership, packet->data,
					      packet->size, &reply, &size))
			fleet_post_(to, packet->from, FLEET_SYNC_REPLY, reply,
				    size);
		free(reply);
		return;
	}
	if (packet->kind == FLEET_SYNC_REPLY) {
		mmx_membership_sync_reply(to->membership, from->record.id,
					  packet->data, packet->size);
		return;
	}
	message = g_malloc(sizeof(*message));
	if (mmx_gossip_decode(packet->data, packet->size, &fleet->key, 1,
			      message) == MMX_GOSSIP_ACCEPTED &&
	    mmx_replay_accept(to->replay, message->sender, message->incarnation,
			      message->sequence))
		mmx_membership_receive(to->membership, message,
				       &from->record.nodes);
	else
		fleet->rejected++;
	g_free(message);
}

static inline void fleet_step_(fleet_t *fleet)
{
	fleet_packets_t *slot;
	fleet_packet_t *packet;
	size_t i;

	mmx_clock_advance(fleet->clock, FLEET_STEP);
	fleet->step++;
	slot = &fleet->slots[fleet->step % FLEET_SLOTS];
	while ((packet = STAILQ_FIRST(slot))) {
		instance_t *to = &fleet->instances[packet->to];

		STAILQ_REMOVE_HEAD(slot, entry);
		if (to->paused && to->held_count < FLEET_HELD) {
			STAILQ_INSERT_TAIL(&to->held, packet, entry);
			to->held_count++;
			continue;
		}
		if (to->membership && !to->paused)
			fleet_deliver_(fleet, packet);
		g_free(packet);
	}
	for (i = 0; i < fleet->count; i++) {
		instance_t *instance = &fleet->instances[i];

		if (instance->membership && !instance->paused &&
		    (fleet->step + instance->phase) % FLEET_TICK_STEPS == 0)
			mmx_membership_tick(instance->membership);
	}
}

static inline void fleet_run_(fleet_t *fleet, mmx_time_t time)
{
	mmx_time_t end = fleet_now_(fleet) + time;

	while (fleet_now_(fleet) < end)
		fleet_step_(fleet);
}

/* What was in the socket buffer is delivered before the first tick. */
static inline void fleet_resume_(instance_t *instance)
{
	fleet_packet_t *packet;

	instance->paused = false;
	while ((packet = STAILQ_FIRST(&instance->held))) {
		STAILQ_REMOVE_HEAD(&instance->held, entry);
		fleet_deliver_(instance->fleet, packet);
		g_free(packet);
	}
	instance->held_count = 0;
}

/* Instances are spread evenly over groups; a group is a region with two
 * zones. */
static inline fleet_t *fleet_create_(size_t count, size_t groups,
				     size_t targets, uint64_t seed)
{
	fleet_t *fleet = g_new0(fleet_t, 1);
	size_t i;

	assert(groups > 0 && groups <= FLEET_GROUPS);
	fleet->clock = mmx_clock_create_paused();
	mmx_random_seed(&fleet->random, seed);
	fleet->instances = g_new0(instance_t, count);
	fleet->count = count;
	fleet->targets = targets;
	fleet->delay_steps = 4;
	g_strlcpy(fleet->key.id, "test", sizeof(fleet->key.id));
	for (i = 0; i < FLEET_SLOTS; i++)
		STAILQ_INIT(&fleet->slots[i]);
	for (i = 0; i < count; i++) {
		instance_t *instance = &fleet->instances[i];
		mmx_member_t *record = &instance->record;

		instance->fleet = fleet;
		instance->index = i;
		instance->group = (unsigned int)(i % groups);
		STAILQ_INIT(&instance->held);
		snprintf(instance->name, sizeof(instance->name), "node-%04zu",
			 i);
		snprintf(record->region, sizeof(record->region), "region-%u",
			 instance->group);
		snprintf(record->zone, sizeof(record->zone), "zone-%u-%zu",
			 instance->group, i / groups % 2);
	}
	return fleet;
}

static inline void fleet_destroy_(fleet_t *fleet)
{
	fleet_packet_t *packet;
	size_t i;

	for (i = 0; i < fleet->count; i++)
		fleet_stop_(&fleet->instances[i]);
	for (i = 0; i < FLEET_SLOTS; i++) {
		while ((packet = STAILQ_FIRST(&fleet->slots[i]))) {
			STAILQ_REMOVE_HEAD(&fleet->slots[i], entry);
			g_free(packet);
		}
	}
	mmx_clock_destroy(fleet->clock);
	g_free(fleet->instances);
	g_free(fleet);
}

static inline size_t fleet_up_(const fleet_t *fleet)
{
	size_t up = 0;
	size_t i;

	for (i = 0; i < fleet->count; i++)
		up += fleet->instances[i].membership != NULL;
	return up;
}

/* Number of running instances whose view is not exactly the running ones
 * with their incarnations and all their targets. */
static inline size_t fleet_wrong_views_(const fleet_t *fleet)
{
	size_t up = fleet_up_(fleet);
	size_t wrong = 0;
	size_t i;
	size_t j;

	for (i = 0; i < fleet->count; i++) {
		const instance_t *viewer = &fleet->instances[i];
		bool right;

		if (!viewer->membership)
			continue;
		right = mmx_membership_count(viewer->membership,
					     MMX_MEMBER_ALIVE) == up;
		for (j = 0; j < fleet->count && right; j++) {
			const instance_t *subject = &fleet->instances[j];
			const mmx_member_t *seen = mmx_membership_find(
				viewer->membership, subject->record.id);

			if (!subject->membership)
				continue;
			right = seen && seen->state == MMX_MEMBER_ALIVE &&
				seen->incarnation ==
					subject->record.incarnation;
		}
		wrong += !right;
	}
	return wrong;
}

/* Number of running instances whose directory differs from the first one. */
static inline size_t fleet_wrong_directories_(const fleet_t *fleet)
{
	const mmx_directory_t *first = NULL;
	size_t wrong = 0;
	size_t i;

	for (i = 0; i < fleet->count; i++) {
		const mmx_directory_t *one = fleet->instances[i].directory;

		if (!one)
			continue;
		if (!first)
			first = one;
		wrong += memcmp(mmx_directory_digests(first),
				mmx_directory_digests(one),
				MMX_DIRECTORY_BUCKETS * sizeof(uint64_t)) != 0;
	}
	return wrong;
}

#endif
