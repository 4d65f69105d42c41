/*
 * Claim codec: encodes and decodes the records of the log streams claims-00 to
 * claims-63. A record is a batch of claims in XDR, encoded as base64 because
 * records of the log are text.
 */
#ifndef MASTICMUX_PRIVATE_CLAIM_CODEC_H
#define MASTICMUX_PRIVATE_CLAIM_CODEC_H

#include "masticmux/types.h"

#define MMX_CLAIM_PARTITIONS 64
/* Length of a digest: the first bytes of SHA-256 over account, service and
 * key. */
#define MMX_CLAIM_DIGEST_BYTES 16
/* Largest number of claims in a record; 512 claims of 80 bytes take 54 KB in
 * base64. */
#define MMX_CLAIM_BATCH_MAX 512
/* Time for which a claim holds its key after its deadline. */
#define MMX_CLAIM_LIFETIME_US (600 * MMX_US_PER_S)

typedef struct mmx_claim_digest_t {
	uint8_t bytes[MMX_CLAIM_DIGEST_BYTES];
} mmx_claim_digest_t;

/* Reserves an Idempotency-Key for one attempt, the only one that may run. */
typedef struct mmx_claim_t {
	mmx_claim_digest_t digest;
	mmx_attempt_id_t attempt;
	mmx_node_id_t exit; /* the exit that the attempt is sent to */
	mmx_incarnation_t exit_incarnation;
	/* Microseconds since 1970, by the clock of the claiming entry. */
	uint64_t claimed_at;
	uint64_t deadline;
	/* Offset of the claim that this one replaces, whose attempt never ran;
	 * 0: none. */
	uint64_t supersedes;
} mmx_claim_t;

/* Returns the digest of an Idempotency-Key within its account and service. */
mmx_claim_digest_t mmx_claim_digest(const char *account, const char *service,
				    const char *key);

/* Returns the partition of a key, 0..MMX_CLAIM_PARTITIONS - 1. */
unsigned int mmx_claim_partition(const mmx_claim_digest_t *digest);

/*
 * Encodes claims into a record.
 *
 * count: 1..MMX_CLAIM_BATCH_MAX, asserted
 * length: set to the length of the record in bytes
 *
 * Returns the record, to be freed with g_free().
 */
char *mmx_claims_encode(const mmx_claim_t *claims, size_t count,
			size_t *length);

/*
 * Decodes a record into claims, an array of MMX_CLAIM_BATCH_MAX items.
 *
 * Returns the number of claims, or 0 if the record is not valid.
 */
size_t mmx_claims_decode(const char *data, size_t length, mmx_claim_t *claims);

#endif
