#include "suites.h"

#include <glib.h>
#include <string.h>

#include "config_support.h"
#include "masticmux/config_task.h"
#include "masticmux/config_wire.h"

#define PEER 77

/* Messages and responses sent by the task. */
typedef struct recorder_t {
	int news_sent;
	int pulls;
	int loads;
	uint64_t after;
	int responses;
	int refusals;
	size_t length;
} recorder_t;

static void send_news_(void *arg, mmx_node_id_t peer,
		       const mmx_config_progress_t *progress)
{
	((recorder_t *)arg)->news_sent++;
}

static void send_pull_(void *arg, mmx_node_id_t peer, uint64_t after)
{
	recorder_t *recorder = arg;

	CU_ASSERT_EQUAL(peer, PEER);
	recorder->pulls++;
	recorder->after = after;
}

static void send_load_(void *arg, mmx_node_id_t peer, uint64_t applied,
		       uint32_t part)
{
	recorder_t *recorder = arg;

	CU_ASSERT_EQUAL(peer, PEER);
	recorder->loads++;
}

static const mmx_config_transport_ops_t transport_ = {
	send_news_,
	send_pull_,
	send_load_,
};

static void on_response_(void *arg, const uint8_t *data, size_t length)
{
	recorder_t *recorder = arg;

	recorder->responses++;
	recorder->refusals += data == NULL;
	recorder->length = length;
}

static void run_(mmx_runtime_t *runtime, mmx_time_t time)
{
	mmx_runtime_deliver(runtime);
	mmx_clock_advance(mmx_runtime_clock(runtime), time);
	mmx_runtime_deliver(runtime);
}

static void post_part_(mmx_config_task_t *task,
		       const mmx_config_state_t *config_state)
{
	mmx_snapshot_t *snapshot = mmx_snapshot_create(config_state);
	size_t length;
	const uint8_t *part = mmx_snapshot_part(snapshot, 0, &length);

	mmx_config_task_post_load_response(task, PEER, part, length);
	mmx_snapshot_destroy(snapshot);
}

static void post_record_(mmx_config_task_t *task, char *text)
{
	mmx_log_record_t record = {2, text, strlen(text)};
	mmx_config_records_t records = {
		.progress = {2, MMX_TIME_NEVER, MMX_TIME_NEVER},
		.first = 2,
		.records = &record,
		.count = 1,
	};
	size_t length;
	uint8_t *data = mmx_config_wire_encode_records(&records, &length);

	mmx_config_task_post_pull_response(task, PEER, data, length);
	g_free(data);
	g_free(text);
}

static mmx_config_task_t *create_task_(mmx_runtime_t *runtime,
				       recorder_t *recorder,
				       mmx_counters_t *counters,
				       mmx_settings_t *settings)
{
	const mmx_config_member_t member = {PEER,
					    mmx_config_region_id("north")};
	mmx_config_task_t *task;

	*settings = (mmx_settings_t){.node_name = "node-1",
				     .region = "north",
				     .log_retention = 3600 * MMX_US_PER_S};
	task = mmx_config_task_create(runtime, settings, &transport_, recorder,
				      counters, NULL, 1);
	mmx_config_task_post_members(task, &member, 1);
	mmx_config_task_start(task);
	return task;
}

/* Guards against posted messages that do not reach the module, responses that
 * are not delivered to the peer, and a node without a log service that cannot
 * load its state from a peer. */
static void test_messages_(void)
{
	mmx_runtime_t *runtime = mmx_runtime_create(NULL);
	mmx_counters_t *counters = mmx_counters_create();
	mmx_config_state_t *config_state = mmx_config_state_create();
	mmx_config_progress_t progress = {1, MMX_TIME_NEVER, MMX_TIME_NEVER};
	recorder_t recorder = {0};
	mmx_settings_t settings;
	mmx_config_task_t *task =
		create_task_(runtime, &recorder, counters, &settings);

	test_apply(config_state, test_template_record("t", "web", 0));
	mmx_config_task_post_pull_request(task, 0, on_response_, &recorder);
	mmx_config_task_post_load_request(task, 0, 0, on_response_, &recorder);
	mmx_config_task_post_peer_progress(task, PEER, &progress);
	run_(runtime, 0);
	CU_ASSERT_EQUAL(recorder.refusals, 2);
	CU_ASSERT_EQUAL(recorder.loads, 1);
	post_part_(task, config_state);
	run_(runtime, 3 * MMX_US_PER_S);
	CU_ASSERT_TRUE(mmx_config_is_loaded(mmx_config_task_config(task)));
	CU_ASSERT_TRUE(recorder.news_sent > 0);
	progress.applied = 2;
	mmx_config_task_post_peer_progress(task, PEER, &progress);
	run_(runtime, 0);
	CU_ASSERT_EQUAL(recorder.pulls, 1);
	CU_ASSERT_EQUAL(recorder.after, 1);
	post_record_(task, test_account_record("a", "rider", 0, 1));
	mmx_config_task_post_pull_request(task, 1, on_response_, &recorder);
	run_(runtime, 2 * MMX_US_PER_S);
	CU_ASSERT_EQUAL(recorder.refusals, 2);
	CU_ASSERT_TRUE(recorder.length > MMX_CONFIG_PROGRESS_BYTES + 12);
	CU_ASSERT_EQUAL(mmx_counters_get(counters, MMX_GAUGE,
					 "masticmux_configuration_applied", "",
					 "")
				->value,
			2);
	/* Messages still queued are dropped when the task is destroyed. */
	mmx_config_task_post_pull_response(task, PEER, NULL, 0);
	post_part_(task, config_state);
	mmx_config_task_destroy(task);
	mmx_config_state_destroy(config_state);
	mmx_runtime_destroy(runtime);
	mmx_counters_destroy(counters);
}

static void post_gap_(mmx_config_task_t *task)
{
	mmx_config_records_t records = {
		.progress = {9, MMX_TIME_NEVER, MMX_TIME_NEVER}, .first = 9};
	size_t length;
	uint8_t *data = mmx_config_wire_encode_records(&records, &length);

	mmx_config_task_post_pull_response(task, PEER, data, length);
	g_free(data);
}

/* Guards against a node that reverts to an older state: three gaps make it load
 * a snapshot, and the peer sends one with a lower offset than its own. */
static void test_older_state_(void)
{
	mmx_runtime_t *runtime = mmx_runtime_create(NULL);
	mmx_config_state_t *older = mmx_config_state_create();
	mmx_config_state_t *newer = mmx_config_state_create();
	mmx_config_progress_t progress = {2, MMX_TIME_NEVER, MMX_TIME_NEVER};
	recorder_t recorder = {0};
	mmx_settings_t settings;
	mmx_config_task_t *task =
		create_task_(runtime, &recorder, NULL, &settings);
	const mmx_config_t *config = mmx_config_task_config(task);
	int i;

	test_apply(older, test_template_record("t", "web", 0));
	test_apply(newer, test_template_record("t", "web", 0));
	test_apply(newer, test_account_record("a", "rider", 0, 1));
	mmx_config_task_post_peer_progress(task, PEER, &progress);
	run_(runtime, 0);
	post_part_(task, newer);
	run_(runtime, MMX_US_PER_S);
	CU_ASSERT_EQUAL(
		mmx_config_state_applied_offset(mmx_config_get_state(config)),
		2);
	for (i = 0; i < 3; i++)
		post_gap_(task);
	run_(runtime, 0);
	CU_ASSERT_EQUAL_FATAL(recorder.loads, 2);
	post_part_(task, older);
	run_(runtime, 0);
	CU_ASSERT_EQUAL(
		mmx_config_state_applied_offset(mmx_config_get_state(config)),
		2);
	CU_ASSERT_EQUAL(mmx_config_stats(config)->loads_invalid, 1);
	mmx_config_task_destroy(task);
	mmx_config_state_destroy(older);
	mmx_config_state_destroy(newer);
	mmx_runtime_destroy(runtime);
}

CU_TestInfo mmx_tests_config_task[] = {
	{"messages", test_messages_},
	{"older state", test_older_state_},
	CU_TEST_INFO_NULL,
};
