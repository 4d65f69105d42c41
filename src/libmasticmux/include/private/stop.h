/*
 * Planned stop of a target: codec and handler of MMX_PROCEDURE_STOP, which a
 * node calls at the node beside the target.
 *
 *   request  1 byte action, then the target's name without its node
 *   reply    1 byte state of the target, 8 bytes (big-endian) number of
 *            requests in progress
 */
#ifndef MASTICMUX_PRIVATE_STOP_H
#define MASTICMUX_PRIVATE_STOP_H

#include "masticmux/directory.h"

#define MMX_STOP_REQUEST_BYTES_MAX (1 + MMX_NAME_MAX)
#define MMX_STOP_REPLY_BYTES 9

typedef enum mmx_stop_action_t {
	MMX_STOP_QUERY, /* only reports the progress */
	MMX_STOP_BEGIN, /* idempotent */
	MMX_STOP_ACTION_COUNT
} mmx_stop_action_t;

extern const char *const mmx_stop_action_string[MMX_STOP_ACTION_COUNT];

typedef struct mmx_stop_request_t {
	mmx_stop_action_t action;
	char target[MMX_NAME_MAX + 1]; /* 1..MMX_NAME_MAX bytes */
} mmx_stop_request_t;

typedef struct mmx_stop_progress_t {
	mmx_target_state_t state; /* DRAINING, GONE: starts no new requests */
	uint64_t in_progress;	  /* number of requests, queued or running */
} mmx_stop_progress_t;

/* Returns the number of bytes written, at most MMX_STOP_REQUEST_BYTES_MAX.
 * Asserts the ranges of the action and of the name's length. */
size_t mmx_stop_encode_request(const mmx_stop_request_t *request,
			       uint8_t *bytes);
/* Returns false if the bytes are not a valid request. */
bool mmx_stop_decode_request(const uint8_t *bytes, size_t length,
			     mmx_stop_request_t *request);

/* Writes MMX_STOP_REPLY_BYTES. */
void mmx_stop_encode_reply(const mmx_stop_progress_t *progress, uint8_t *bytes);
/* Returns false if the bytes are not a valid reply. */
bool mmx_stop_decode_reply(const uint8_t *bytes, size_t length,
			   mmx_stop_progress_t *progress);

struct mmx_node_t;

/*
 * Applies the request at the exit of this node and reports the progress.
 *
 * Returns false if this node has no target of that name.
 */
bool mmx_stop_handle(struct mmx_node_t *node, const mmx_stop_request_t *request,
		     mmx_stop_progress_t *progress);

#endif
