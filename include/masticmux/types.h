/**
 * Basic types that every module shares: time, identities, outcomes, reasons.
 *
 * Every enum has a string table beside it; the strings are stable, they occur
 * in headers, counters and logs.
 */
#ifndef MASTICMUX_TYPES_H
#define MASTICMUX_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Time in microseconds since the start of the runtime clock. */
typedef int64_t mmx_time_t;

#define MMX_US_PER_MS 1000LL
#define MMX_US_PER_S 1000000LL
#define MMX_TIME_NEVER INT64_MAX

/** Longest name of a node, target, service, account, zone or region, bytes. */
#define MMX_NAME_MAX 63

/** XXH64 of the node's name, see mmx_node_id(). */
typedef uint64_t mmx_node_id_t;
/** XXH64 of "node name/target name". */
typedef uint64_t mmx_target_id_t;
/** Wall-clock start of a process in microseconds; a restart is greater. */
typedef uint64_t mmx_incarnation_t;

/** Identifies one attempt of one request in the whole fleet. */
typedef struct mmx_attempt_id_t {
	mmx_node_id_t entry;
	mmx_incarnation_t incarnation; /**< of the entry node */
	uint64_t sequence;
} mmx_attempt_id_t;

static inline bool mmx_attempt_id_is_equal(const mmx_attempt_id_t *a,
					   const mmx_attempt_id_t *b)
{
	return a->sequence == b->sequence && a->entry == b->entry &&
	       a->incarnation == b->incarnation;
}

/** What a caller is told about its request, see Masticmux-Outcome. */
typedef enum mmx_outcome_t {
	MMX_OUTCOME_COMPLETED,
	MMX_OUTCOME_NOT_RUN,
	MMX_OUTCOME_UNKNOWN,
	MMX_OUTCOME_COUNT
} mmx_outcome_t;

extern const char *const mmx_outcome_string[MMX_OUTCOME_COUNT];

/** Why a request was refused, see Masticmux-Reason. */
typedef enum mmx_reason_t {
	MMX_REASON_NONE,
	MMX_REASON_BAD_REQUEST,
	MMX_REASON_HEADER_TOO_LARGE,
	MMX_REASON_UNKNOWN_SERVICE,
	MMX_REASON_UNKNOWN_ACCOUNT,
	MMX_REASON_NO_CONFIGURATION,
	MMX_REASON_NO_CAPACITY,
	MMX_REASON_OVERLOADED,
	MMX_REASON_ACCOUNT_LIMIT,
	MMX_REASON_DEADLINE_EXCEEDED,
	MMX_REASON_CLAIM_UNAVAILABLE,
	MMX_REASON_DUPLICATE_IN_PROGRESS,
	MMX_REASON_DUPLICATE_COMPLETED,
	MMX_REASON_TARGET_FAILED,
	MMX_REASON_ANSWER_TRUNCATED,
	MMX_REASON_PATH_LOST,
	MMX_REASON_SHUTTING_DOWN,
	MMX_REASON_WRONG_INCARNATION,
	MMX_REASON_FENCED,
	MMX_REASON_FORGOTTEN,
	MMX_REASON_DRAINING,
	MMX_REASON_BUSY, /**< no slot within the patience of the entry */
	MMX_REASON_RETRY_BUDGET, /**< the budget for repeats is used up */
	MMX_REASON_SUSPECT,	 /**< the target probably fails for now */
	MMX_REASON_TIME_SHORT,	 /**< too little time left for a usual run */
	MMX_REASON_INVALID_KEY,	 /**< no valid key of a client account */
	MMX_REASON_ACCOUNT_RATE, /**< over the fleet-wide limit of the account */
	MMX_REASON_COUNT
} mmx_reason_t;

extern const char *const mmx_reason_string[MMX_REASON_COUNT];

/** Id of a node from its name, which ends with NUL. */
mmx_node_id_t mmx_node_id(const char *name);

/** Reasons between nodes become those that callers know. */
mmx_reason_t mmx_reason_for_caller(mmx_reason_t reason);

/**
 * HTTP status that goes with a refusal.
 *
 * @param outcome  what the caller is told; not MMX_OUTCOME_COMPLETED
 * @param reason   below MMX_REASON_COUNT
 * @return a status from 400 to 504
 */
int mmx_reason_status(mmx_outcome_t outcome, mmx_reason_t reason);

#endif
