#include "suites.h"

#include <event2/buffer.h>
#include <glib.h>

#include "fakes.h"
#include "private/entry.h"

#define NODE 10
#define MS MMX_US_PER_MS
#define OBJECTIVE_US (2000 * MS)
#define DEADLINE_US (5000 * MS)

/* Replaces all exits: records the wait limit of each attempt and refuses it. */
typedef struct full_exits_t {
	mmx_task_t task;
	mmx_task_t *entry;
	mmx_time_t max_wait[MMX_ATTEMPTS_MAX];
	mmx_time_t remaining[MMX_ATTEMPTS_MAX];
	size_t summaries; /* attempts with a latency distribution */
	size_t count;
} full_exits_t;

/* Replaces the HTTP task: records the answer. */
typedef struct answers_t {
	mmx_task_t task;
	mmx_outcome_t outcome;
	int status;
	size_t count;
} answers_t;

static void refuse_attempt_(mmx_task_t *task, mmx_message_t *message)
{
	full_exits_t *exits = (full_exits_t *)task;

	if (message->ops->kind == MMX_MESSAGE_EXECUTE) {
		mmx_execute_t *execute = (mmx_execute_t *)message;
		mmx_response_t *response = mmx_new_response(&execute->attempt);

		exits->summaries += execute->peers != NULL;
		exits->max_wait[exits->count] = execute->max_wait;
		exits->remaining[exits->count++] = execute->remaining;
		response->reason = MMX_REASON_BUSY;
		response->body_end = true;
		mmx_task_post(exits->entry, &response->message);
	}
	mmx_message_destroy(message);
}

static void record_answer_(mmx_task_t *task, mmx_message_t *message)
{
	answers_t *answers = (answers_t *)task;

	if (message->ops->kind == MMX_MESSAGE_ANSWER) {
		mmx_answer_t *answer = (mmx_answer_t *)message;

		answers->outcome = answer->outcome;
		answers->status = answer->head->status;
		answers->count++;
	}
	mmx_message_destroy(message);
}

static const mmx_task_ops_t exit_ops_ = {"full_exits", refuse_attempt_};
static const mmx_task_ops_t answer_ops_ = {"answers", record_answer_};

static mmx_locality_t locality_(void *context, mmx_node_id_t node)
{
	(void)node;
	return *(const mmx_locality_t *)context;
}

static const mmx_view_members_ops_t members_ = {.locality = locality_};

/* Sends one request to full targets at this distance. */
static void send_to_full_targets_(mmx_locality_t locality, bool large_bodies,
				  full_exits_t *exits, answers_t *answers)
{
	mmx_runtime_t *runtime = mmx_runtime_create(NULL);
	mmx_clock_t *clock = mmx_runtime_clock(runtime);
	mmx_config_state_t *config_state =
		fake_routes(OBJECTIVE_US, DEADLINE_US, false, large_bodies);
	const mmx_config_state_t *active_state = config_state;
	mmx_directory_t *directory = mmx_directory_create(clock);
	mmx_entry_t *entry = mmx_entry_create(runtime, NODE, 1, 1);
	mmx_request_t *request = mmx_new_request(1);

	*exits = (full_exits_t){.entry = mmx_entry_task(entry)};
	*answers = (answers_t){.count = 0};
	mmx_task_init(&exits->task, &exit_ops_, runtime);
	mmx_task_init(&answers->task, &answer_ops_, runtime);
	mmx_entry_set_http(entry, &answers->task);
	mmx_entry_set_peer(entry, &exits->task);
	mmx_entry_set_local_exit(entry, &exits->task);
	mmx_entry_set_config_state(entry, &active_state);
	mmx_entry_set_directory(entry, directory);
	mmx_entry_set_members(entry, &members_, &locality);
	mmx_entry_init(entry);
	fake_add_targets(directory, NODE, MMX_ATTEMPTS_MAX + 2);
	request->head = mmx_head_create_request("POST", "/p");
	mmx_head_add(request->head, "Host", "s.test");
	request->body_end = true;
	mmx_task_post(mmx_entry_task(entry), &request->message);
	mmx_runtime_deliver(runtime);
	mmx_entry_destroy(entry);
	mmx_directory_destroy(directory);
	mmx_config_state_destroy(config_state);
	mmx_runtime_destroy(runtime);
}

/*
 * Load pattern: all targets of a service are full, in all regions. Guards
 * against requests that leave their region after a short wait, whose answers
 * then come from another region without arriving earlier; against waits that
 * leave no time to answer within the latency objective while another target
 * could be tried; and against a refusal while the remaining time would allow a
 * longer wait.
 */
static void test_all_targets_full_(void)
{
	static const mmx_time_t expected[MMX_ATTEMPTS_MAX] = {
		500 * MS, 500 * MS, 500 * MS, 500 * MS,
		760 * MS, 500 * MS, 0,	      0 /* 0: all the remaining time */
	};
	full_exits_t exits;
	answers_t answers;
	size_t i;

	send_to_full_targets_(MMX_LOCALITY_ZONE, false, &exits, &answers);
	CU_ASSERT_EQUAL(exits.count, MMX_ATTEMPTS_MAX);
	for (i = 0; i < exits.count; i++)
		CU_ASSERT_EQUAL(exits.max_wait[i],
				expected[i] ? expected[i] : exits.remaining[i]);
	CU_ASSERT_EQUAL(answers.count, 1);
	CU_ASSERT_EQUAL(answers.outcome, MMX_OUTCOME_NOT_RUN);
	CU_ASSERT_EQUAL(answers.status, 503);
}

/*
 * Load pattern: requests that leave their region, where each entry uses each
 * target only occasionally. Guards against attempts to another region that all
 * carry the latency distribution, which the entries of the target's own region
 * send often enough.
 */
static void test_distribution_stays_in_its_region_(void)
{
	static const struct {
		mmx_locality_t locality;
		size_t summaries;
	} cases[] = {
		{MMX_LOCALITY_ZONE, MMX_ATTEMPTS_MAX},
		{MMX_LOCALITY_REGION, MMX_ATTEMPTS_MAX},
		{MMX_LOCALITY_REMOTE, 0},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		full_exits_t exits;
		answers_t answers;

		send_to_full_targets_(cases[i].locality, false, &exits,
				      &answers);
		CU_ASSERT_EQUAL(exits.count, MMX_ATTEMPTS_MAX);
		CU_ASSERT_EQUAL(exits.summaries, cases[i].summaries);
	}
}

/*
 * Load pattern: uploads or downloads while all targets of the region are full.
 * Guards against a refusal after a short wait, where no other region is tried,
 * and against a refusal where only another region has targets.
 */
static void test_large_bodies_(void)
{
	static const mmx_locality_t cases[] = {MMX_LOCALITY_REGION,
					       MMX_LOCALITY_REMOTE};
	full_exits_t exits;
	answers_t answers;
	size_t i;
	size_t n;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		send_to_full_targets_(cases[i], true, &exits, &answers);
		CU_ASSERT_EQUAL(exits.count, MMX_ATTEMPTS_MAX);
		for (n = 0; n < exits.count; n++)
			CU_ASSERT_TRUE(exits.max_wait[n] >= OBJECTIVE_US);
	}
}

CU_TestInfo mmx_tests_filter_attempt_send[] = {
	{"all targets are full", test_all_targets_full_},
	{"the distribution stays in its region",
	 test_distribution_stays_in_its_region_},
	{"large bodies", test_large_bodies_},
	CU_TEST_INFO_NULL,
};
