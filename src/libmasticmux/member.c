#include "masticmux/member.h"

const char *const mmx_member_state_string[MMX_MEMBER_STATE_COUNT] = {
	"alive",
	"unreachable",
	"dead",
	"left",
};
