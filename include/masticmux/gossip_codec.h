/**
 * Datagrams between nodes: encoding, decoding, authentication.
 *
 * A datagram is one ONC RPC call (RFC 5531) of at most MMX_DATAGRAM_MAX bytes
 * with a verifier that names the key, the sender and a sequence number and
 * carries HMAC-SHA256, truncated, over the datagram with a zeroed digest.
 *
 * Usage: fill a message, mmx_gossip_encode(); at the receiver
 * mmx_gossip_decode(), then mmx_replay_accept() with one mmx_replay_t per
 * socket.
 */
#ifndef MASTICMUX_GOSSIP_CODEC_H
#define MASTICMUX_GOSSIP_CODEC_H

#include "masticmux/clock.h"
#include "masticmux/directory.h"
#include "masticmux/member.h"
#include "masticmux/settings.h"

#define MMX_DATAGRAM_MAX 1400
#define MMX_RPC_PROGRAM 0x20004d58U
#define MMX_RPC_VERSION 1U
#define MMX_DIGEST_BYTES 16

/** Bytes of a datagram without updates, with the longest key id. */
#define MMX_DATAGRAM_HEADER 164
/** Bytes left for updates. */
#define MMX_DATAGRAM_ROOM (MMX_DATAGRAM_MAX - MMX_DATAGRAM_HEADER)
#define MMX_OPINION_BYTES 32
/** Smallest encoded member and target. */
#define MMX_MEMBER_BYTES_MIN 64
#define MMX_TARGET_BYTES_MIN 52

#define MMX_DATAGRAM_MEMBERS (MMX_DATAGRAM_ROOM / MMX_MEMBER_BYTES_MIN)
#define MMX_DATAGRAM_OPINIONS (MMX_DATAGRAM_ROOM / MMX_OPINION_BYTES)
#define MMX_DATAGRAM_TARGETS (MMX_DATAGRAM_ROOM / MMX_TARGET_BYTES_MIN)

/** Procedure numbers of the datagrams. */
typedef enum mmx_gossip_procedure_t {
	MMX_GOSSIP_PING = 32,
	MMX_GOSSIP_ACK = 33,
	MMX_GOSSIP_PING_REQ = 34,
	MMX_GOSSIP_NEWS = 35,
} mmx_gossip_procedure_t;

#define MMX_GOSSIP_PROCEDURE_COUNT 4

/** Names of the procedures from MMX_GOSSIP_PING on. */
extern const char
	*const mmx_gossip_procedure_string[MMX_GOSSIP_PROCEDURE_COUNT];

/** The sender has no record of the recipient and asks for it. */
#define MMX_GOSSIP_WANT_RECORD 1U
/** Another running process has the name of the recipient. */
#define MMX_GOSSIP_CONFLICT 2U
#define MMX_GOSSIP_FLAGS_ALL 3U

/** Why a datagram was rejected. */
typedef enum mmx_gossip_reject_t {
	MMX_GOSSIP_ACCEPTED,
	MMX_GOSSIP_TOO_LONG,
	MMX_GOSSIP_BAD_RPC,
	MMX_GOSSIP_BAD_VERIFIER,
	MMX_GOSSIP_UNKNOWN_KEY,
	MMX_GOSSIP_BAD_DIGEST,
	MMX_GOSSIP_BAD_BODY,
	MMX_GOSSIP_BAD_RECORD,
	MMX_GOSSIP_TRAILING_BYTES,
	MMX_GOSSIP_REPLAYED,
	MMX_GOSSIP_NOT_LOOPBACK,
	MMX_GOSSIP_REJECT_COUNT
} mmx_gossip_reject_t;

extern const char *const mmx_gossip_reject_string[MMX_GOSSIP_REJECT_COUNT];

/**
 * How long ago the sender learned that its configuration is current, and that
 * it heard of a reader of the log; microseconds, MMX_TIME_NEVER: unknown.
 */
typedef struct mmx_gossip_ages_t {
	mmx_time_t confirmed;
	mmx_time_t reader;
} mmx_gossip_ages_t;

/** One datagram, decoded. */
typedef struct mmx_gossip_message_t {
	mmx_gossip_procedure_t procedure;
	uint32_t xid; /**< chosen by PING and PING_REQ, repeated by ACK */
	uint32_t flags;
	mmx_node_id_t sender;
	mmx_incarnation_t incarnation; /**< of the sender */
	uint64_t sequence;	       /**< grows with each datagram */
	uint32_t refutation;	       /**< of the sender */
	mmx_node_id_t recipient;       /**< 0: whoever has the address */
	mmx_node_id_t subject;	       /**< probed member, else 0 */
	uint64_t offset;	       /**< highest configuration offset */
	mmx_gossip_ages_t ages;	       /**< of the configuration */
	size_t member_count;
	size_t opinion_count;
	size_t target_count;
	mmx_member_t members[MMX_DATAGRAM_MEMBERS];
	mmx_opinion_t opinions[MMX_DATAGRAM_OPINIONS];
	mmx_target_record_t targets[MMX_DATAGRAM_TARGETS];
} mmx_gossip_message_t;

/** Encoded size of an update in bytes. */
size_t mmx_gossip_member_size(const mmx_member_t *member);
size_t mmx_gossip_target_size(const mmx_target_record_t *target);

/**
 * Encodes a datagram.
 *
 * @param key   signs; NULL in a fleet without keys
 * @param out   MMX_DATAGRAM_MAX bytes
 * @return number of bytes; 0 when the updates do not fit
 */
size_t mmx_gossip_encode(const mmx_gossip_message_t *message,
			 const mmx_fleet_key_t *key, uint8_t *out);

/**
 * Decodes and checks a datagram. Without keys a datagram must name no key.
 *
 * @param keys     0..MMX_FLEET_KEYS_MAX keys that verify
 * @param message  complete only when MMX_GOSSIP_ACCEPTED is returned
 */
mmx_gossip_reject_t mmx_gossip_decode(const uint8_t *data, size_t size,
				      const mmx_fleet_key_t *keys,
				      size_t key_count,
				      mmx_gossip_message_t *message);

/** Sequence numbers seen, per sender and incarnation. */
typedef struct mmx_replay_t mmx_replay_t;

/** Width of the window of sequence numbers. */
#define MMX_REPLAY_WINDOW 64

mmx_replay_t *mmx_replay_create(mmx_clock_t *clock);
void mmx_replay_destroy(mmx_replay_t *replay);

/**
 * Checks and notes a sequence number.
 *
 * @return false when it was seen before, is too old to tell, or when too many
 *         senders are known
 */
bool mmx_replay_accept(mmx_replay_t *replay, mmx_node_id_t sender,
		       mmx_incarnation_t incarnation, uint64_t sequence);

#endif
