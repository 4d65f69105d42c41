/*
 * Planned stop of a target: what one node asks the node beside the target with
 * MMX_PROCEDURE_STOP, and its answer.
 *
 *   request  1 byte action, name of the target without its node
 *   reply    1 byte state of the target, 8 bytes requests in progress
 */
#ifndef MASTICMUX_PRIVATE_STOP_H
#define MASTICMUX_PRIVATE_STOP_H

#include "masticmux/directory.h"

#define MMX_STOP_REQUEST_BYTES_MAX (1 + MMX_NAME_MAX)
#define MMX_STOP_REPLY_BYTES 9

typedef enum mmx_stop_action_t {
	MMX_STOP_QUERY, /* changes nothing */
	MMX_STOP_BEGIN, /* may be repeated */
	MMX_STOP_ACTION_COUNT
} mmx_stop_action_t;

extern const char *const mmx_stop_action_string[MMX_STOP_ACTION_COUNT];

typedef struct mmx_stop_request_t {
	mmx_stop_action_t action;
	char target[MMX_NAME_MAX + 1]; /* 1..MMX_NAME_MAX bytes */
} mmx_stop_request_t;

typedef struct mmx_stop_progress_t {
	mmx_target_state_t state; /* DRAINING or GONE: nothing new starts */
	uint64_t in_progress;	  /* requests queued or running */
} mmx_stop_progress_t;

/* Returns the bytes written, at most MMX_STOP_REQUEST_BYTES_MAX. */
size_t mmx_stop_encode_request(const mmx_stop_request_t *request,
			       uint8_t *bytes);
/* False when the bytes are not a request. */
bool mmx_stop_decode_request(const uint8_t *bytes, size_t length,
			     mmx_stop_request_t *request);

/* Writes MMX_STOP_REPLY_BYTES. */
void mmx_stop_encode_reply(const mmx_stop_progress_t *progress, uint8_t *bytes);
/* False when the bytes are not a reply. */
bool mmx_stop_decode_reply(const uint8_t *bytes, size_t length,
			   mmx_stop_progress_t *progress);

struct mmx_node_t;

/*
 * Does what the request asks for at the exit of this node.
 *
 * Returns false when no target of that name is beside this node.
 */
bool mmx_stop_handle(struct mmx_node_t *node, const mmx_stop_request_t *request,
		     mmx_stop_progress_t *progress);

#endif
