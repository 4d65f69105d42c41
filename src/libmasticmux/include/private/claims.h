/*
 * Claims on Idempotency-Keys: the order of claim records in the log decides
 * which attempt may run for a key. Does no I/O.
 *
 * Each key belongs to one of 64 partitions, and each partition is a stream of
 * the log. A node batches the claims submitted to it: per partition it has at
 * most one append in flight, and starts appends at least 200 ms apart. It
 * reports a result only after it has read the partition up to its own record,
 * so several nodes can serve one partition at the same time and agree on the
 * winner. The rules depend only on the contents of the records, never on the
 * clock of the reading node, so every node reaches the same result.
 *
 * Lifecycle: create, (submit, inputs), destroy.
 */
#ifndef MASTICMUX_PRIVATE_CLAIMS_H
#define MASTICMUX_PRIVATE_CLAIMS_H

#include "masticmux/clock.h"
#include "masticmux/counters.h"
#include "masticmux/log_client.h"
#include "private/claim_codec.h"

/* Minimum interval between two appends to a partition. */
#define MMX_CLAIM_APPEND_INTERVAL_US (200 * MMX_US_PER_MS)
/* Time after which a claim without a result becomes MMX_CLAIM_UNAVAILABLE. */
#define MMX_CLAIM_TIMEOUT_US (3 * MMX_US_PER_S)

typedef enum mmx_claim_result_t {
	MMX_CLAIM_WON,
	MMX_CLAIM_LOST,	       /* another attempt holds the key */
	MMX_CLAIM_UNAVAILABLE, /* no result from the log in time */
	MMX_CLAIM_RESULT_COUNT
} mmx_claim_result_t;

extern const char *const mmx_claim_result_string[MMX_CLAIM_RESULT_COUNT];

/* The claim that holds a key. */
typedef struct mmx_claim_holder_t {
	mmx_claim_t claim;
	uint64_t offset; /* of the claim's record in the partition's stream */
} mmx_claim_holder_t;

/* holder: valid during the call; NULL if the result is unavailable. */
typedef void (*mmx_claim_fn_t)(void *arg, mmx_claim_result_t result,
			       const mmx_claim_holder_t *holder);

/* Calls to the log service; their results are passed in as inputs. */
typedef struct mmx_claims_ops_t {
	/* data: valid during the call */
	void (*append)(void *context, unsigned int partition, const char *data,
		       size_t length);
	/* Reads records from an offset on; from >= 1. */
	void (*read)(void *context, unsigned int partition, uint64_t from);
} mmx_claims_ops_t;

typedef struct mmx_claims_t mmx_claims_t;

mmx_claims_t *mmx_claims_create(mmx_clock_t *clock, const mmx_claims_ops_t *ops,
				void *context);

/* Destroys the claims; pending claims get no result. NULL is allowed. */
void mmx_claims_destroy(mmx_claims_t *claims);

void mmx_claims_set_counters(mmx_claims_t *claims, mmx_counters_t *counters);

/*
 * Submits a claim. The callback is called exactly once, and never from within
 * this call.
 */
void mmx_claims_submit(mmx_claims_t *claims, const mmx_claim_t *claim,
		       mmx_claim_fn_t fn, void *arg);

/*
 * Inputs: results of the append and of the read that are in flight.
 *
 * partition: 0..MMX_CLAIM_PARTITIONS - 1, asserted
 * offset: of the appended record, if the result is MMX_LOG_OK
 * records: valid during the call, if the result is MMX_LOG_OK
 */
void mmx_claims_on_appended(mmx_claims_t *claims, unsigned int partition,
			    mmx_log_result_t result, uint64_t offset);
void mmx_claims_on_read(mmx_claims_t *claims, unsigned int partition,
			mmx_log_result_t result,
			const mmx_log_records_t *records);

/* Returns the number of keys held in memory, over all partitions. */
size_t mmx_claims_key_count(const mmx_claims_t *claims);

#endif
