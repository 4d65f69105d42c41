/*
 * Idempotency-Keys in the world of the scenarios: the real claims module of
 * each node over a fake log, and the runs of each key.
 */
#ifndef MASTICMUX_TEST_CLAIMS_WORLD_H
#define MASTICMUX_TEST_CLAIMS_WORLD_H

#include "world.h"

typedef struct claims_key_t {
	char name[32];
	unsigned int requests;
	unsigned int executions;
	const request_t *runner; /* that ran first; NULL: none did */
} claims_key_t;

struct claims_world_t *claims_world_create(void);
void claims_world_destroy(struct claims_world_t *claims);
void claims_init_node(node_t *node);
void claims_finish_node(node_t *node);
mmx_task_t *claims_task(node_t *node);

/* A fault of the log for some time: "down" (no call has an effect or an
 * answer), "slow", "lost" (half of the appends take effect without an answer)
 * or "late" (half of the appends take effect after their caller gave up). */
void claims_log_fault(world_t *world, const char *mode, mmx_time_t length);

/* Key of a FENCE or its reply among those of one node. Sequences of other
 * entries, which repeats under a key ask about, may equal the node's own. */
uint64_t claims_fence_key(const mmx_message_t *message);
/* True for a FENCE of an attempt by its own entry. */
bool claims_is_own_fence(const mmx_message_t *message);

/* --- keys -------------------------------------------------------------- */

/* Notes the key of a request, NULL for a new one; returns its name. */
const char *claims_key(request_t *request, const char *name);
void claims_executed(const request_t *request, const target_t *target);
/* The request whose response this one gets. */
const request_t *claims_runner(const request_t *request);
/* Checks what a request under a key is told about the others. */
void claims_check_answer(const request_t *request);

/* --- repeats.c --------------------------------------------------------- */

/* The caller repeats a request under its key through other nodes. */
void repeats_follow(request_t *request, const char *service);

#endif
