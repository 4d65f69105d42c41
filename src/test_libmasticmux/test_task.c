#include "suites.h"

#include <glib.h>

#include "masticmux/task.h"

typedef struct counting_task_t {
	mmx_task_t task;
	int handled;
	mmx_task_t *forward_to;
} counting_task_t;

static int live_messages_;

static void destroy_message_(mmx_message_t *message)
{
	live_messages_--;
	g_free(message);
}

static const mmx_message_ops_t message_ops_ = {"test", 0, destroy_message_};

static mmx_message_t *new_message_(void)
{
	mmx_message_t *message = g_new0(mmx_message_t, 1);

	message->ops = &message_ops_;
	live_messages_++;
	return message;
}

static void handle_(mmx_task_t *task, mmx_message_t *message)
{
	counting_task_t *counting = (counting_task_t *)task;

	counting->handled++;
	if (counting->forward_to)
		mmx_task_post(counting->forward_to, message);
	else
		mmx_message_destroy(message);
}

static const mmx_task_ops_t ops_ = {"counting", handle_};

/* Guards against messages that are lost, leaked or delivered twice. */
static void test_delivery_(void)
{
	mmx_runtime_t *runtime = mmx_runtime_create(NULL);
	counting_task_t first = {.handled = 0};
	counting_task_t second = {.handled = 0};

	mmx_task_init(&first.task, &ops_, runtime);
	mmx_task_init(&second.task, &ops_, runtime);
	first.forward_to = &second.task;
	mmx_task_post(&first.task, new_message_());
	mmx_task_post(&first.task, new_message_());
	CU_ASSERT_EQUAL(first.handled, 0);
	CU_ASSERT_EQUAL(mmx_runtime_deliver(runtime), 4);
	CU_ASSERT_EQUAL(first.handled, 2);
	CU_ASSERT_EQUAL(second.handled, 2);
	mmx_task_post(&first.task, new_message_());
	mmx_task_post(&second.task, new_message_());
	mmx_task_finish(&first.task);
	CU_ASSERT_EQUAL(mmx_runtime_deliver(runtime), 1);
	CU_ASSERT_EQUAL(second.handled, 3);
	mmx_task_post(&second.task, new_message_());
	mmx_runtime_destroy(runtime);
	CU_ASSERT_EQUAL(live_messages_, 0);
}

CU_TestInfo mmx_tests_task[] = {
	{"messages are delivered once and freed", test_delivery_},
	CU_TEST_INFO_NULL,
};
