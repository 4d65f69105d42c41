#include "suites.h"

#include <glib.h>
#include <string.h>

#include "config_support.h"
#include "masticmux/publish.h"
#include "share/fake_fleet.h"

#define REPLY_TIME_US (10 * MMX_US_PER_MS)
#define LOST_REPLY_TIME_US (2 * MMX_US_PER_S)

/* How the fake log handles an append. */
typedef enum append_behaviour_t {
	STORE_AND_REPLY,
	LOSE_REPLY,	      /* store the record, send no reply */
	LOSE_APPEND,	      /* neither store the record nor reply */
	STORE_LATE,	      /* send no reply, store the record 5 s later */
	REFUSE_APPEND,	      /* reply with a client error */
	LOSE_APPEND_AND_STOP, /* as LOSE_APPEND; then the log is unavailable */
	LOSE_REPLY_AND_STOP   /* as LOSE_REPLY; then the log is unavailable */
} append_behaviour_t;

typedef struct publisher_t {
	fake_fleet_t *fleet;
	mmx_publish_t *publish;
	const append_behaviour_t *behaviours; /* by append; last one repeats */
	size_t behaviour_count;
	size_t next_append;
	mmx_timer_t reply_timer;
	mmx_timer_t late_timer;
	mmx_log_result_t append_result;
	uint64_t offset;
	char *late_record;
	bool done;
	mmx_publish_result_t result;
} publisher_t;

static void send_append_result_(void *arg)
{
	publisher_t *publisher = arg;

	mmx_publish_on_appended(publisher->publish, publisher->append_result,
				publisher->offset);
}

static void store_late_record_(void *arg)
{
	publisher_t *publisher = arg;

	fake_fleet_append(publisher->fleet, publisher->late_record);
	publisher->late_record = NULL;
}

static void append_to_log_(void *arg, const char *data, size_t length)
{
	publisher_t *publisher = arg;
	append_behaviour_t behaviour =
		publisher->behaviours[publisher->next_append];
	char *record = g_strndup(data, length);

	if (publisher->next_append + 1 < publisher->behaviour_count)
		publisher->next_append++;
	publisher->append_result = MMX_LOG_UNKNOWN;
	mmx_timer_set(&publisher->reply_timer, LOST_REPLY_TIME_US);
	switch (behaviour) {
	case STORE_AND_REPLY:
	case LOSE_REPLY:
	case LOSE_REPLY_AND_STOP:
		publisher->offset = fake_fleet_append(publisher->fleet, record);
		break;
	case STORE_LATE:
		publisher->late_record = record;
		mmx_timer_set(&publisher->late_timer, 5 * MMX_US_PER_S);
		break;
	default:
		g_free(record);
		break;
	}
	if (behaviour == LOSE_APPEND_AND_STOP ||
	    behaviour == LOSE_REPLY_AND_STOP)
		fake_fleet_set_log(publisher->fleet, 0, false);
	if (behaviour == STORE_AND_REPLY || behaviour == REFUSE_APPEND) {
		publisher->append_result = behaviour == STORE_AND_REPLY
						   ? MMX_LOG_OK
						   : MMX_LOG_REFUSED;
		mmx_timer_set(&publisher->reply_timer, REPLY_TIME_US);
	}
}

static void on_done_(void *arg, const mmx_publish_result_t *result)
{
	publisher_t *publisher = arg;

	CU_ASSERT_FALSE(publisher->done);
	publisher->done = true;
	publisher->result = *result;
}

static void on_applied_(void *arg, const mmx_config_state_result_t *result)
{
	publisher_t *publisher = arg;

	mmx_publish_on_applied(publisher->publish, result);
}

static const mmx_publish_ops_t ops_ = {append_to_log_, on_done_};

static void run_publish_(publisher_t *publisher, const char *id,
			 const char *record)
{
	mmx_clock_t *clock = fake_fleet_clock(publisher->fleet);

	mmx_timer_init(&publisher->reply_timer, clock, send_append_result_,
		       publisher);
	mmx_timer_init(&publisher->late_timer, clock, store_late_record_,
		       publisher);
	publisher->publish = mmx_publish_create(
		clock, fake_fleet_config(publisher->fleet, 0), id, record,
		MMX_PUBLISH_TIMEOUT_US, &ops_, publisher);
	fake_fleet_observe(publisher->fleet, 0, on_applied_, publisher);
	mmx_publish_start(publisher->publish);
	fake_fleet_run(publisher->fleet, MMX_PUBLISH_TIMEOUT_US + MMX_US_PER_S);
	fake_fleet_observe(publisher->fleet, 0, NULL, NULL);
	mmx_timer_cancel(&publisher->reply_timer);
	mmx_publish_destroy(publisher->publish);
}

static fake_fleet_t *create_fleet_(void)
{
	fake_fleet_options_t options = {
		.regions = 1, .nodes_per_region = 3, .seed = 3};
	fake_fleet_t *fleet = fake_fleet_create(&options);

	fake_fleet_append(fleet, test_account_record("old", "owner", 0, 5));
	fake_fleet_run(fleet, 10 * MMX_US_PER_S);
	return fleet;
}

typedef struct publish_case_t {
	const char *name;
	append_behaviour_t behaviours[3];
	size_t behaviour_count;
	const char *id;
	uint64_t base;
	mmx_publish_outcome_t outcome;
	mmx_reject_reason_t reject;
	unsigned int appends;
	bool in_log; /* the change is in force at the end */
} publish_case_t;

static const publish_case_t cases_[] = {
	{"reply received",
	 {STORE_AND_REPLY},
	 1,
	 "n",
	 1,
	 MMX_PUBLISH_ACCEPTED,
	 0,
	 1,
	 true},
	{"reply lost",
	 {LOSE_REPLY},
	 1,
	 "n",
	 1,
	 MMX_PUBLISH_ACCEPTED,
	 0,
	 1,
	 true},
	{"append lost",
	 {LOSE_APPEND, STORE_AND_REPLY},
	 2,
	 "n",
	 1,
	 MMX_PUBLISH_ACCEPTED,
	 0,
	 2,
	 true},
	{"two appends lost",
	 {LOSE_APPEND, LOSE_APPEND, LOSE_REPLY},
	 3,
	 "n",
	 1,
	 MMX_PUBLISH_ACCEPTED,
	 0,
	 3,
	 true},
	{"first append arrives after the second",
	 {STORE_LATE, STORE_AND_REPLY},
	 2,
	 "n",
	 1,
	 MMX_PUBLISH_ACCEPTED,
	 0,
	 2,
	 true},
	{"refused",
	 {REFUSE_APPEND},
	 1,
	 "n",
	 1,
	 MMX_PUBLISH_REJECTED,
	 0,
	 1,
	 false},
	{"refused after a lost append",
	 {LOSE_APPEND, REFUSE_APPEND, STORE_AND_REPLY},
	 3,
	 "n",
	 1,
	 MMX_PUBLISH_ACCEPTED,
	 0,
	 3,
	 true},
	{"stale base",
	 {STORE_AND_REPLY},
	 1,
	 "n",
	 7,
	 MMX_PUBLISH_REJECTED,
	 MMX_REJECT_STALE_BASE,
	 1,
	 false},
	{"stale base, reply lost",
	 {LOSE_REPLY},
	 1,
	 "n",
	 7,
	 MMX_PUBLISH_REJECTED,
	 MMX_REJECT_STALE_BASE,
	 1,
	 false},
	{"id published before",
	 {STORE_AND_REPLY},
	 1,
	 "old",
	 1,
	 MMX_PUBLISH_ACCEPTED,
	 0,
	 0,
	 false},
	{"log lost with the append",
	 {LOSE_APPEND_AND_STOP},
	 1,
	 "n",
	 1,
	 MMX_PUBLISH_UNKNOWN,
	 0,
	 1,
	 false},
	{"log lost after the append",
	 {LOSE_REPLY_AND_STOP},
	 1,
	 "n",
	 1,
	 MMX_PUBLISH_UNKNOWN,
	 0,
	 1,
	 true},
};

/* Guards against a wrong outcome, a change that is applied twice, and one that
 * is lost or in force contrary to the reported outcome. These come about when
 * appends or replies are lost or late. The revision of the account must change
 * once at most. */
static void test_outcomes_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases_); i++) {
		const publish_case_t *test_case = &cases_[i];
		publisher_t publisher = {.fleet = create_fleet_(),
					 .behaviours = test_case->behaviours,
					 .behaviour_count =
						 test_case->behaviour_count};
		char *record = test_account_record(test_case->id, "owner",
						   test_case->base, 9);
		const mmx_config_state_t *config_state;
		mmx_account_t account;

		run_publish_(&publisher, test_case->id, record);
		CU_ASSERT_TRUE_FATAL(publisher.done);
		CU_ASSERT_EQUAL(publisher.result.outcome, test_case->outcome);
		CU_ASSERT_EQUAL(publisher.result.reject, test_case->reject);
		CU_ASSERT_EQUAL(publisher.result.appends, test_case->appends);
		CU_ASSERT_EQUAL(publisher.result.text[0] != '\0',
				test_case->outcome != MMX_PUBLISH_ACCEPTED);
		fake_fleet_set_log(publisher.fleet, 0, true);
		fake_fleet_run(publisher.fleet, 15 * MMX_US_PER_S);
		config_state = mmx_config_get_state(
			fake_fleet_config(publisher.fleet, 1));
		CU_ASSERT_TRUE(mmx_config_state_get_account(config_state,
							    "owner", &account));
		CU_ASSERT_EQUAL(account.floor_percent,
				test_case->in_log ? 9 : 5);
		CU_ASSERT_EQUAL(mmx_config_state_counts(config_state)
					->records[MMX_VERDICT_ACCEPTED],
				test_case->in_log ? 2 : 1);
		if (test_case->outcome == MMX_PUBLISH_ACCEPTED)
			CU_ASSERT_EQUAL(mmx_config_state_account_revision(
						config_state, "owner"),
					publisher.result.offset);
		g_free(record);
		fake_fleet_destroy(publisher.fleet);
	}
}

typedef struct settle_case_t {
	const char *name;
	const char *id;
	bool log_up;
	mmx_publish_outcome_t outcome;
} settle_case_t;

/* Guards against an unknown outcome that cannot be settled, and against a
 * change that is reported as not found although the log was not read. */
static void test_settle_(void)
{
	static const append_behaviour_t behaviours[] = {STORE_AND_REPLY};
	static const settle_case_t cases[] = {
		{"accepted", "old", true, MMX_PUBLISH_ACCEPTED},
		{"rejected", "stale", true, MMX_PUBLISH_REJECTED},
		{"not in the log", "other", true, MMX_PUBLISH_NOT_FOUND},
		{"log unavailable", "other", false, MMX_PUBLISH_UNKNOWN},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		publisher_t publisher = {.fleet = create_fleet_(),
					 .behaviours = behaviours,
					 .behaviour_count = 1};

		fake_fleet_append(publisher.fleet,
				  test_account_record("stale", "owner", 9, 1));
		fake_fleet_run(publisher.fleet, 5 * MMX_US_PER_S);
		fake_fleet_set_log(publisher.fleet, 0, cases[i].log_up);
		run_publish_(&publisher, cases[i].id, NULL);
		CU_ASSERT_TRUE(publisher.done);
		CU_ASSERT_EQUAL(publisher.result.outcome, cases[i].outcome);
		CU_ASSERT_EQUAL(publisher.result.appends, 0);
		fake_fleet_destroy(publisher.fleet);
	}
}

/* Guards against an append before the log could be read up to its end. */
static void test_log_unavailable_(void)
{
	static const append_behaviour_t behaviours[] = {STORE_AND_REPLY};
	publisher_t publisher = {.fleet = create_fleet_(),
				 .behaviours = behaviours,
				 .behaviour_count = 1};
	char *record = test_account_record("n", "owner", 1, 9);

	fake_fleet_set_log(publisher.fleet, 0, false);
	run_publish_(&publisher, "n", record);
	CU_ASSERT_TRUE(publisher.done);
	CU_ASSERT_EQUAL(publisher.result.outcome, MMX_PUBLISH_UNAVAILABLE);
	CU_ASSERT_EQUAL(publisher.result.appends, 0);
	g_free(record);
	fake_fleet_destroy(publisher.fleet);
}

typedef struct count_case_t {
	const char *json;
	bool valid;
	size_t in_force;
	size_t alive;
} count_case_t;

/* Guards against a wrong count of nodes, and against JSON without a member list
 * that counts as zero of zero nodes. */
static void test_count_(void)
{
	static const count_case_t cases[] = {
		{"{\"members\":[]}", true, 0, 0},
		{"{\"members\":[{\"state\":\"alive\",\"applied\":7},"
		 "{\"state\":\"alive\",\"applied\":6},"
		 "{\"state\":\"alive\",\"applied\":8},"
		 "{\"state\":\"alive\"},"
		 "{\"state\":\"dead\",\"applied\":8}]}",
		 true, 2, 4},
		{"{\"members\":[1,null,{\"state\":3}]}", true, 0, 0},
		{"{}", false, 0, 0},
		{"[]", false, 0, 0},
		{"", false, 0, 0},
	};
	size_t in_force;
	size_t alive;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		CU_ASSERT_EQUAL(mmx_publish_count_nodes(cases[i].json,
							strlen(cases[i].json),
							7, &in_force, &alive),
				cases[i].valid);
		CU_ASSERT_EQUAL(in_force, cases[i].in_force);
		CU_ASSERT_EQUAL(alive, cases[i].alive);
	}
}

CU_TestInfo mmx_tests_publish[] = {
	{"outcomes", test_outcomes_},
	{"settling", test_settle_},
	{"log unavailable", test_log_unavailable_},
	{"count of nodes", test_count_},
	CU_TEST_INFO_NULL,
};
