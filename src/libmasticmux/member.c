#include "masticmux/member.h"

#include <string.h>
#include <xxhash.h>

const char *const mmx_member_state_string[MMX_MEMBER_STATE_COUNT] = {
	"alive",
	"unreachable",
	"dead",
	"left",
};

mmx_node_id_t mmx_member_id(const char *name)
{
	return XXH64(name, strlen(name), 0);
}
