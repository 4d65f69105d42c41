#include "masticmux/types.h"

#include <assert.h>
#include <string.h>
#include <xxhash.h>

const char *const mmx_outcome_string[MMX_OUTCOME_COUNT] = {
	"completed",
	"not-run",
	"unknown",
};

const char *const mmx_reason_string[MMX_REASON_COUNT] = {
	"none",
	"bad-request",
	"header-too-large",
	"unknown-service",
	"unknown-account",
	"no-configuration",
	"no-capacity",
	"overloaded",
	"account-limit",
	"deadline-exceeded",
	"claim-unavailable",
	"duplicate-in-progress",
	"duplicate-completed",
	"target-failed",
	"answer-truncated",
	"path-lost",
	"shutting-down",
	"wrong-incarnation",
	"fenced",
	"forgotten",
	"draining",
	"busy",
	"retry-budget",
	"suspect",
	"time-short",
	"invalid-key",
	"account-rate",
};

mmx_node_id_t mmx_node_id(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

int mmx_reason_status(mmx_outcome_t outcome, mmx_reason_t reason)
{
	assert(outcome != MMX_OUTCOME_COMPLETED);
	assert(reason < MMX_REASON_COUNT);
	if (reason == MMX_REASON_DUPLICATE_IN_PROGRESS ||
	    reason == MMX_REASON_DUPLICATE_COMPLETED)
		return 409;
	/* Statuses that callers read as "has not run" are left to that. */
	if (outcome == MMX_OUTCOME_UNKNOWN)
		return reason == MMX_REASON_TARGET_FAILED ||
				       reason == MMX_REASON_ANSWER_TRUNCATED
			       ? 502
			       : 504;
	switch (reason) {
	case MMX_REASON_BAD_REQUEST:
		return 400;
	case MMX_REASON_INVALID_KEY:
		return 401;
	case MMX_REASON_UNKNOWN_ACCOUNT:
		return 403;
	case MMX_REASON_UNKNOWN_SERVICE:
		return 404;
	case MMX_REASON_ACCOUNT_LIMIT:
	case MMX_REASON_ACCOUNT_RATE:
		return 429;
	case MMX_REASON_HEADER_TOO_LARGE:
		return 431;
	default:
		return 503;
	}
}

mmx_reason_t mmx_reason_for_caller(mmx_reason_t reason)
{
	switch (reason) {
	case MMX_REASON_NONE:
		return MMX_REASON_TARGET_FAILED;
	case MMX_REASON_DRAINING:
		return MMX_REASON_NO_CAPACITY;
	case MMX_REASON_BUSY:
	case MMX_REASON_RETRY_BUDGET:
	case MMX_REASON_SUSPECT:
	case MMX_REASON_TIME_SHORT:
		return MMX_REASON_OVERLOADED;
	case MMX_REASON_FENCED:
		/* By this entry, because the deadline was near. */
		return MMX_REASON_DEADLINE_EXCEEDED;
	case MMX_REASON_WRONG_INCARNATION:
	case MMX_REASON_FORGOTTEN:
		return MMX_REASON_PATH_LOST;
	default:
		return reason;
	}
}
