#include "private/stop.h"

#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include "private/exit.h"
#include "private/node_parts.h"

const char *const mmx_stop_action_string[MMX_STOP_ACTION_COUNT] = {
	"query",
	"begin",
};

size_t mmx_stop_encode_request(const mmx_stop_request_t *request,
			       uint8_t *bytes)
{
	size_t length = strlen(request->target);

	assert(request->action < MMX_STOP_ACTION_COUNT);
	assert(length > 0 && length <= MMX_NAME_MAX);
	bytes[0] = (uint8_t)request->action;
	memcpy(bytes + 1, request->target, length);
	return 1 + length;
}

bool mmx_stop_decode_request(const uint8_t *bytes, size_t length,
			     mmx_stop_request_t *request)
{
	if (length < 2 || length > MMX_STOP_REQUEST_BYTES_MAX ||
	    bytes[0] >= MMX_STOP_ACTION_COUNT ||
	    memchr(bytes + 1, '\0', length - 1))
		return false;
	request->action = (mmx_stop_action_t)bytes[0];
	memcpy(request->target, bytes + 1, length - 1);
	request->target[length - 1] = '\0';
	return true;
}

void mmx_stop_encode_reply(const mmx_stop_progress_t *progress, uint8_t *bytes)
{
	int i;

	bytes[0] = (uint8_t)progress->state;
	for (i = 0; i < 8; i++)
		bytes[1 + i] =
			(uint8_t)(progress->in_progress >> (8 * (7 - i)));
}

bool mmx_stop_decode_reply(const uint8_t *bytes, size_t length,
			   mmx_stop_progress_t *progress)
{
	int i;

	if (length != MMX_STOP_REPLY_BYTES ||
	    bytes[0] >= MMX_TARGET_STATE_COUNT)
		return false;
	progress->state = (mmx_target_state_t)bytes[0];
	progress->in_progress = 0;
	for (i = 0; i < 8; i++)
		progress->in_progress =
			progress->in_progress << 8 | bytes[1 + i];
	return true;
}

bool mmx_stop_handle(struct mmx_node_t *node, const mmx_stop_request_t *request,
		     mmx_stop_progress_t *progress)
{
	mmx_target_id_t id =
		mmx_directory_id(node->settings->node_name, request->target);
	mmx_load_report_t load;

	if (!mmx_exit_load(node->exit, id, &load))
		return false;
	if (request->action == MMX_STOP_BEGIN &&
	    mmx_exit_stop_target(node->exit, request->target))
		mmx_history_target(
			node->history, id,
			"planned stop announced, %zu requests in progress",
			mmx_exit_in_progress(node->exit, request->target));
	mmx_exit_load(node->exit, id, &load);
	progress->state = load.state;
	progress->in_progress =
		mmx_exit_in_progress(node->exit, request->target);
	return true;
}
