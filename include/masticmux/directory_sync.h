/**
 * Messages of directory sync (anti-entropy between two nodes), as carried by
 * DIRECTORY_SYNC.
 *
 * The asker sends DIGESTS of its buckets. The answer, HASHES, lists a hash of
 * each record in the buckets that differ. The asker then sends RECORDS that
 * the other lacks and the hashes of those it WANTS; the answer is RECORDS.
 * Hashes are salted per sync, so that two records with one hash are found the
 * next time.
 */
#ifndef MASTICMUX_DIRECTORY_SYNC_H
#define MASTICMUX_DIRECTORY_SYNC_H

#include "masticmux/directory.h"
#include "masticmux/member.h"

/** Buckets of members, then those of targets. */
#define MMX_SYNC_MEMBER_BUCKETS 64
#define MMX_SYNC_BUCKETS (MMX_DIRECTORY_BUCKETS + MMX_SYNC_MEMBER_BUCKETS)

typedef enum mmx_sync_kind_t {
	MMX_SYNC_DIGESTS,
	MMX_SYNC_HASHES,
	MMX_SYNC_RECORDS, /**< with wanted hashes in a request */
	MMX_SYNC_KIND_COUNT
} mmx_sync_kind_t;

extern const char *const mmx_sync_kind_string[MMX_SYNC_KIND_COUNT];

/** Hash of one record in a bucket. */
typedef struct mmx_sync_hash_t {
	uint16_t bucket;
	uint32_t hash;
} mmx_sync_hash_t;

/** A sync message; initialise with mmx_sync_message_create(). */
typedef struct mmx_sync_message_t mmx_sync_message_t;

struct mmx_sync_message_t {
	mmx_sync_kind_t kind;
	uint32_t salt;
	uint64_t digests[MMX_SYNC_BUCKETS]; /**< DIGESTS */
	bool listed[MMX_SYNC_BUCKETS];	    /**< HASHES: bucket is complete */
	struct _GArray *hashes;		    /**< mmx_sync_hash_t, by bucket */
	struct _GArray *members;	    /**< mmx_member_t */
	struct _GArray *targets;	    /**< mmx_target_record_t */
};

mmx_sync_message_t *mmx_sync_message_create(mmx_sync_kind_t kind,
					    uint32_t salt);
void mmx_sync_message_destroy(mmx_sync_message_t *message);

/**
 * Encodes a message.
 *
 * @param max  bytes at most
 * @return buffer to be freed with free(); NULL when it does not fit
 */
uint8_t *mmx_sync_encode(mmx_sync_message_t *message, size_t max, size_t *size);

/** Decodes a message; NULL when it is malformed. */
mmx_sync_message_t *mmx_sync_decode(const uint8_t *data, size_t size);

#endif
