/**
 * Membership: which nodes of the fleet are alive, decided by probes and by
 * what members report about each other (SWIM with refutation).
 *
 * A decision module without I/O. Inputs are datagrams that were received,
 * sync messages and time; outputs go through mmx_membership_ops_t. It owns the
 * changes of the directory.
 *
 * Life: create, then mmx_membership_tick() every MMX_MEMBERSHIP_TICK and the
 * receive functions in any order, mmx_membership_leave() before a planned
 * stop, destroy. The first tick starts to join. Functions of this header must
 * not be called from an ops function, except the queries.
 */
#ifndef MASTICMUX_MEMBERSHIP_H
#define MASTICMUX_MEMBERSHIP_H

#include "masticmux/clock.h"
#include "masticmux/counters.h"
#include "masticmux/directory.h"
#include "masticmux/gossip_codec.h"
#include "masticmux/member.h"

#define MMX_MEMBERSHIP_TICK (200 * MMX_US_PER_MS)
#define MMX_MEMBERSHIP_PROBE_PERIOD MMX_US_PER_S
#define MMX_MEMBERSHIP_SYNC_PERIOD (30 * MMX_US_PER_S)
/** Least time from unreachable to dead. */
#define MMX_MEMBERSHIP_SUSPICION_MIN (5 * MMX_US_PER_S)
/** Members dead or left are probed and remembered this long. */
#define MMX_MEMBERSHIP_MEMORY (24 * 3600 * MMX_US_PER_S)
/** Largest sync message in bytes. */
#define MMX_SYNC_MESSAGE_MAX (256 * 1024)

/** Outputs. All but send may be NULL. */
typedef struct mmx_membership_ops_t {
	/** Sends a datagram; the message is valid during the call. */
	void (*send)(void *arg, const mmx_address_t *to,
		     mmx_gossip_message_t *message);
	/**
	 * Sends a sync request; the answer comes back with
	 * mmx_membership_sync_reply() or _failed(), later or never. The data
	 * is valid during the call.
	 */
	void (*sync_request)(void *arg, const mmx_member_t *peer,
			     const uint8_t *data, size_t size);
	/**
	 * A member changed; before is MMX_MEMBER_STATE_COUNT when it is new.
	 * Also called, with before equal to the state, for a new incarnation.
	 */
	void (*changed)(void *arg, const mmx_member_t *member,
			mmx_member_state_t before);
	/** The directory took a newer record. */
	void (*target_changed)(void *arg, const mmx_target_record_t *record);
	/** A node knows a configuration offset above the own one. */
	void (*offset_seen)(void *arg, mmx_node_id_t node, uint64_t offset);
	/** Fills the ages that a datagram to another node carries. */
	void (*fill_ages)(void *arg, mmx_gossip_ages_t *ages);
	/** A datagram of a known node: its configuration offset and ages. */
	void (*news_seen)(void *arg, mmx_node_id_t node, uint64_t offset,
			  const mmx_gossip_ages_t *ages);
	/** Another process at this address has the own name, or a name with
	 *  the same hash. A process that is joining must stop. */
	void (*conflict)(void *arg, const mmx_address_t *other);
} mmx_membership_ops_t;

typedef struct mmx_membership_config_t {
	/** Own record; id, refutation and state are set by create. */
	mmx_member_t self;
	mmx_address_t seeds[MMX_SEEDS_MAX];
	size_t seed_count;
	uint64_t random_seed;
	mmx_counters_t *counters; /**< may be NULL */
} mmx_membership_config_t;

typedef struct mmx_membership_t mmx_membership_t;

/**
 * Creates the module.
 *
 * @param clock, directory, ops, arg  outlive the module
 */
mmx_membership_t *mmx_membership_create(const mmx_membership_config_t *config,
					mmx_clock_t *clock,
					mmx_directory_t *directory,
					const mmx_membership_ops_t *ops,
					void *arg);
void mmx_membership_destroy(mmx_membership_t *membership);

/** Probes, judges, spreads and syncs as far as it is time. */
void mmx_membership_tick(mmx_membership_t *membership);

/** Takes a datagram that was decoded and passed the replay window. */
void mmx_membership_receive(mmx_membership_t *membership,
			    const mmx_gossip_message_t *message,
			    const mmx_address_t *from);

/** Announces the planned stop; ticks go on until the process ends. */
void mmx_membership_leave(mmx_membership_t *membership);

/**
 * Announces a target beside this node, or a change of it. Node and incarnation
 * are filled in.
 *
 * @return false when the version is not newer than the known one
 */
bool mmx_membership_announce(mmx_membership_t *membership,
			     const mmx_target_record_t *record);

/** Sets the own applied configuration offset; never decreases. */
void mmx_membership_set_offset(mmx_membership_t *membership, uint64_t offset);

/** Sends NEWS with the own offset to a member; false when not known. */
bool mmx_membership_send_news(mmx_membership_t *membership, mmx_node_id_t to);

/**
 * Answers a sync request.
 *
 * @param reply  receives a buffer to be freed with free(), at most
 *               MMX_SYNC_MESSAGE_MAX bytes
 * @return false when the request is malformed
 */
bool mmx_membership_sync_serve(mmx_membership_t *membership,
			       const uint8_t *data, size_t size,
			       uint8_t **reply, size_t *reply_size);

/**
 * Takes the answer to a sync request. Answers of a peer that was not asked
 * are ignored.
 *
 * @return false when the answer is malformed
 */
bool mmx_membership_sync_reply(mmx_membership_t *membership, mmx_node_id_t peer,
			       const uint8_t *data, size_t size);

/** Reports that a sync request got no answer. */
void mmx_membership_sync_failed(mmx_membership_t *membership,
				mmx_node_id_t peer);

/** Number of updates that wait to be piggybacked. */
size_t mmx_membership_pending(const mmx_membership_t *membership);

/** Own record. */
const mmx_member_t *mmx_membership_self(const mmx_membership_t *membership);

/** True once a seed or another member answered. */
bool mmx_membership_joined(const mmx_membership_t *membership);

/** Finds a member; NULL when unknown. Valid until the next input. */
const mmx_member_t *mmx_membership_find(const mmx_membership_t *membership,
					mmx_node_id_t id);

/** Number of members that report a member unreachable, 0..3. */
unsigned int mmx_membership_reports(const mmx_membership_t *membership,
				    mmx_node_id_t id);

/** Number of members in a state, the own node included. */
size_t mmx_membership_count(const mmx_membership_t *membership,
			    mmx_member_state_t state);

/**
 * Collects alive members, the own node included, in any order.
 *
 * @param region, zone  NULL: any
 * @param out           receives up to max records, valid until the next input
 * @return number of matching members, which may be more than max
 */
size_t mmx_membership_alive(const mmx_membership_t *membership,
			    const char *region, const char *zone,
			    const mmx_member_t **out, size_t max);

/**
 * Calls a function for each known member, of any state.
 */
void mmx_membership_each(const mmx_membership_t *membership,
			 void (*fn)(void *arg, const mmx_member_t *member),
			 void *arg);

/** Time from unreachable to dead at the present number of members. */
mmx_time_t mmx_membership_suspicion(const mmx_membership_t *membership);

#endif
