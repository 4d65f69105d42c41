/*
 * Records of the streams claims-00 to claims-63: batches of claims, XDR in
 * base64, since a record of the log is text.
 */
#ifndef MASTICMUX_PRIVATE_CLAIM_CODEC_H
#define MASTICMUX_PRIVATE_CLAIM_CODEC_H

#include "masticmux/types.h"

#define MMX_CLAIM_PARTITIONS 64
/* First bytes of SHA-256 over account, service and key. */
#define MMX_CLAIM_DIGEST_BYTES 16
/* Claims in one record; 512 of 80 bytes are 54 KB in base64. */
#define MMX_CLAIM_BATCH_MAX 512
/* A claim is kept for this time after its deadline. */
#define MMX_CLAIM_LIFETIME_US (600 * MMX_US_PER_S)

typedef struct mmx_claim_digest_t {
	uint8_t bytes[MMX_CLAIM_DIGEST_BYTES];
} mmx_claim_digest_t;

/* A claim: this attempt, and no other, may run for the key. */
typedef struct mmx_claim_t {
	mmx_claim_digest_t digest;
	mmx_attempt_id_t attempt;
	mmx_node_id_t exit;
	mmx_incarnation_t exit_incarnation;
	/* By the clock of the claiming entry, microseconds since 1970. */
	uint64_t claimed_at;
	uint64_t deadline;
	/* Offset of the claim that is taken over since it never ran; or 0. */
	uint64_t supersedes;
} mmx_claim_t;

/* Digest of an Idempotency-Key within its account and service. */
mmx_claim_digest_t mmx_claim_digest(const char *account, const char *service,
				    const char *key);

/* 0..MMX_CLAIM_PARTITIONS - 1 */
unsigned int mmx_claim_partition(const mmx_claim_digest_t *digest);

/* Encodes 1..MMX_CLAIM_BATCH_MAX claims; free with g_free(). */
char *mmx_claims_encode(const mmx_claim_t *claims, size_t count,
			size_t *length);

/*
 * Decodes a record into an array of MMX_CLAIM_BATCH_MAX claims.
 *
 * Returns the number of claims; 0 when the record is not valid.
 */
size_t mmx_claims_decode(const char *data, size_t length, mmx_claim_t *claims);

#endif
