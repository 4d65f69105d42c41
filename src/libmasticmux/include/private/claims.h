/*
 * Claims on Idempotency-Keys: decides which attempt may run for a key, by the
 * order of the records in the log. Does no I/O.
 *
 * Each key belongs to one of 64 partitions, each a stream of the log. The node
 * that is asked batches claims: one append in flight per partition, at least
 * 200 ms apart when busy. It answers only after it has read the partition up
 * to its own record, so that several nodes may serve one partition at once and
 * still name the same winner. All rules use what the records say and never a
 * node's own clock, so they are the same everywhere.
 *
 * Life: create, (claim, inputs), destroy.
 */
#ifndef MASTICMUX_PRIVATE_CLAIMS_H
#define MASTICMUX_PRIVATE_CLAIMS_H

#include "masticmux/clock.h"
#include "masticmux/counters.h"
#include "masticmux/log_client.h"
#include "private/claim_codec.h"

/* Least time between two appends of a partition that is in use. */
#define MMX_CLAIM_APPEND_INTERVAL_US (200 * MMX_US_PER_MS)
/* A claim that the log has not settled by then is unavailable. */
#define MMX_CLAIM_TIMEOUT_US (3 * MMX_US_PER_S)

typedef enum mmx_claim_result_t {
	MMX_CLAIM_WON,
	MMX_CLAIM_LOST,	       /* another attempt holds the key */
	MMX_CLAIM_UNAVAILABLE, /* the log did not settle it in time */
	MMX_CLAIM_RESULT_COUNT
} mmx_claim_result_t;

extern const char *const mmx_claim_result_string[MMX_CLAIM_RESULT_COUNT];

/* Who holds a key. */
typedef struct mmx_claim_holder_t {
	mmx_claim_t claim;
	uint64_t offset;
} mmx_claim_holder_t;

/* holder: valid in the call, NULL when unavailable. */
typedef void (*mmx_claim_callback_t)(void *arg, mmx_claim_result_t result,
				     const mmx_claim_holder_t *holder);

/* Calls to the log service; answers come back as inputs. */
typedef struct mmx_claims_ops_t {
	void (*append)(void *context, unsigned int partition, const char *data,
		       size_t length);
	void (*read)(void *context, unsigned int partition, uint64_t from);
} mmx_claims_ops_t;

typedef struct mmx_claims_t mmx_claims_t;

mmx_claims_t *mmx_claims_create(mmx_clock_t *clock, const mmx_claims_ops_t *ops,
				void *context);

/* Waiting claims get no answer. */
void mmx_claims_destroy(mmx_claims_t *claims);

void mmx_claims_set_counters(mmx_claims_t *claims, mmx_counters_t *counters);

/*
 * Claims a key for an attempt. The answer comes exactly once, never from
 * within this call.
 */
void mmx_claims_submit(mmx_claims_t *claims, const mmx_claim_t *claim,
		       mmx_claim_callback_t fn, void *arg);

/* Inputs: answers of the log service. */
void mmx_claims_on_appended(mmx_claims_t *claims, unsigned int partition,
			    mmx_log_result_t result, uint64_t offset);
void mmx_claims_on_read(mmx_claims_t *claims, unsigned int partition,
			mmx_log_result_t result,
			const mmx_log_records_t *records);

/* Keys that are held in memory, all partitions. */
size_t mmx_claims_key_count(const mmx_claims_t *claims);

#endif
