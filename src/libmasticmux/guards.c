#include "private/guards.h"

const mmx_guards_t mmx_guards_all = {
	.fence = true,
	.watermark = true,
	.incarnation = true,
	.draining = true,
	.response_match = true,
	.graceful_stop = true,
	.floor = true,
	.claim = true,
	.takeover = true,
};
