#include "masticmux/task.h"

#include <assert.h>
#include <event2/event.h>
#include <glib.h>

struct mmx_runtime_t {
	struct event_base *base;
	struct event *delivery;
	mmx_clock_t *clock;
	mmx_message_list_t queue;
};

static void on_delivery_(evutil_socket_t fd, short what, void *arg)
{
	mmx_runtime_deliver(arg);
}

static mmx_runtime_t *create_(struct event_base *base, mmx_clock_t *clock)
{
	mmx_runtime_t *runtime = g_new0(mmx_runtime_t, 1);

	STAILQ_INIT(&runtime->queue);
	runtime->base = base;
	runtime->clock = clock;
	if (base)
		runtime->delivery =
			event_new(base, -1, 0, on_delivery_, runtime);
	return runtime;
}

mmx_runtime_t *mmx_runtime_create(struct event_base *base)
{
	return create_(base, base ? mmx_clock_create(base)
				  : mmx_clock_create_paused());
}

mmx_runtime_t *mmx_runtime_create_paused(struct event_base *base)
{
	return create_(base, mmx_clock_create_paused());
}

void mmx_runtime_destroy(mmx_runtime_t *runtime)
{
	mmx_message_t *message;

	if (!runtime)
		return;
	while ((message = STAILQ_FIRST(&runtime->queue))) {
		STAILQ_REMOVE_HEAD(&runtime->queue, entry);
		mmx_message_destroy(message);
	}
	if (runtime->delivery)
		event_free(runtime->delivery);
	mmx_clock_destroy(runtime->clock);
	g_free(runtime);
}

mmx_clock_t *mmx_runtime_clock(const mmx_runtime_t *runtime)
{
	return runtime->clock;
}

struct event_base *mmx_runtime_base(const mmx_runtime_t *runtime)
{
	return runtime->base;
}

size_t mmx_runtime_deliver(mmx_runtime_t *runtime)
{
	mmx_message_t *message;
	size_t delivered = 0;

	while ((message = STAILQ_FIRST(&runtime->queue))) {
		STAILQ_REMOVE_HEAD(&runtime->queue, entry);
		message->receiver->ops->handle(message->receiver, message);
		delivered++;
	}
	return delivered;
}

void mmx_task_init(mmx_task_t *task, const mmx_task_ops_t *ops,
		   mmx_runtime_t *runtime)
{
	assert(ops && ops->handle && runtime);
	task->ops = ops;
	task->runtime = runtime;
}

void mmx_task_finish(mmx_task_t *task)
{
	mmx_message_list_t kept = STAILQ_HEAD_INITIALIZER(kept);
	mmx_message_list_t *queue = &task->runtime->queue;
	mmx_message_t *message;

	while ((message = STAILQ_FIRST(queue))) {
		STAILQ_REMOVE_HEAD(queue, entry);
		if (message->receiver == task)
			mmx_message_destroy(message);
		else
			STAILQ_INSERT_TAIL(&kept, message, entry);
	}
	STAILQ_CONCAT(queue, &kept);
}

void mmx_task_post(mmx_task_t *task, mmx_message_t *message)
{
	mmx_runtime_t *runtime = task->runtime;

	assert(message->ops);
	message->receiver = task;
	if (STAILQ_EMPTY(&runtime->queue) && runtime->delivery)
		event_active(runtime->delivery, EV_TIMEOUT, 0);
	STAILQ_INSERT_TAIL(&runtime->queue, message, entry);
}

void mmx_message_destroy(mmx_message_t *message)
{
	if (message && message->ops->destroy)
		message->ops->destroy(message);
}
