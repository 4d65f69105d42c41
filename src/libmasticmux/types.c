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
};

mmx_node_id_t mmx_node_id(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

int mmx_reason_status(mmx_outcome_t outcome, mmx_reason_t reason)
{
	assert(outcome != MMX_OUTCOME_COMPLETED);
	assert(reason < MMX_REASON_COUNT);
	switch (reason) {
	case MMX_REASON_BAD_REQUEST:
		return 400;
	case MMX_REASON_UNKNOWN_ACCOUNT:
		return 403;
	case MMX_REASON_UNKNOWN_SERVICE:
		return 404;
	case MMX_REASON_DUPLICATE_IN_PROGRESS:
	case MMX_REASON_DUPLICATE_COMPLETED:
		return 409;
	case MMX_REASON_ACCOUNT_LIMIT:
		return 429;
	case MMX_REASON_HEADER_TOO_LARGE:
		return 431;
	case MMX_REASON_TARGET_FAILED:
	case MMX_REASON_ANSWER_TRUNCATED:
		return 502;
	case MMX_REASON_DEADLINE_EXCEEDED:
		return 504;
	default:
		return outcome == MMX_OUTCOME_UNKNOWN ? 504 : 503;
	}
}
