/**
 * Runtime: tasks that own their sockets and state and talk by messages.
 *
 * A runtime has one clock and a queue of posted messages. A task embeds
 * mmx_task_t as its first member; a message embeds mmx_message_t as its first
 * member. mmx_task_post() hands a message over; the task's handle function
 * receives it in the same loop turn, after the code that posted it returned,
 * and owns it from then on.
 *
 * Life of a runtime: create, (tasks init, post, run), destroy. All calls are
 * made from one thread.
 */
#ifndef MASTICMUX_TASK_H
#define MASTICMUX_TASK_H

#include <sys/queue.h>

#include "masticmux/clock.h"

typedef struct mmx_runtime_t mmx_runtime_t;
typedef struct mmx_task_t mmx_task_t;
typedef struct mmx_message_t mmx_message_t;

/** What a kind of message is called and how it is freed. */
typedef struct mmx_message_ops_t {
	const char *name;
	int kind; /**< distinguishes the messages that one task receives */
	void (*destroy)(mmx_message_t *message);
} mmx_message_ops_t;

struct mmx_message_t {
	const mmx_message_ops_t *ops;
	STAILQ_ENTRY(mmx_message_t) entry;
	mmx_task_t *receiver;
};

typedef STAILQ_HEAD(mmx_message_list_t, mmx_message_t) mmx_message_list_t;

typedef struct mmx_task_ops_t {
	const char *name;
	/** Receives one message and owns it. */
	void (*handle)(mmx_task_t *task, mmx_message_t *message);
} mmx_task_ops_t;

struct mmx_task_t {
	const mmx_task_ops_t *ops;
	mmx_runtime_t *runtime;
};

/**
 * Creates a runtime.
 *
 * @param base  libevent loop, or NULL for a paused clock (tests)
 */
mmx_runtime_t *mmx_runtime_create(struct event_base *base);

/**
 * Creates a runtime whose loop handles sockets while its clock stands until
 * mmx_clock_advance(), for tests.
 *
 * @param base  libevent loop
 */
mmx_runtime_t *mmx_runtime_create_paused(struct event_base *base);

/** Destroys a runtime and the messages that were not delivered. */
void mmx_runtime_destroy(mmx_runtime_t *runtime);

mmx_clock_t *mmx_runtime_clock(const mmx_runtime_t *runtime);
struct event_base *mmx_runtime_base(const mmx_runtime_t *runtime);

/**
 * Delivers the posted messages until none is left. Called by the loop; tests
 * call it themselves after posting or advancing the clock.
 *
 * @return number of messages delivered
 */
size_t mmx_runtime_deliver(mmx_runtime_t *runtime);

/** Prepares a task. Valid once, before any message is posted to it. */
void mmx_task_init(mmx_task_t *task, const mmx_task_ops_t *ops,
		   mmx_runtime_t *runtime);

/** Drops the messages still queued for a task; call before freeing it. */
void mmx_task_finish(mmx_task_t *task);

/** Hands a message to a task. The message must not be used afterwards. */
void mmx_task_post(mmx_task_t *task, mmx_message_t *message);

/** Frees a message through its ops. NULL is allowed. */
void mmx_message_destroy(mmx_message_t *message);

#endif
