#include "suites.h"

#include <glib.h>
#include <string.h>

#include "config_support.h"
#include "masticmux/publish.h"
#include "share/fake_fleet.h"

#define SECOND MMX_US_PER_S
#define ANSWER_TIME (10 * MMX_US_PER_MS)
#define LOST_TIME (2 * SECOND)

/* What the log does with an append. */
typedef enum append_t {
	TAKE,	/* and answer */
	LOSE,	/* take it and lose the answer */
	DROP,	/* lose the append */
	LATE,	/* lose the answer and take it 5 s later */
	REFUSE, /* with a client error */
	DOWN,	/* lose the append; the log can't be read from then on */
	LAST	/* lose the answer; the log can't be read from then on */
} append_t;

typedef struct publisher_t {
	fake_fleet_t *fleet;
	mmx_publish_t *publish;
	const append_t *script; /* the last one counts for the rest */
	size_t script_length;
	size_t step;
	mmx_timer_t answer;
	mmx_timer_t late;
	mmx_log_result_t answered;
	uint64_t offset;
	char *late_record;
	bool done;
	mmx_publish_result_t result;
} publisher_t;

static void on_answer_(void *arg)
{
	publisher_t *publisher = arg;

	mmx_publish_on_appended(publisher->publish, publisher->answered,
				publisher->offset);
}

static void on_late_(void *arg)
{
	publisher_t *publisher = arg;

	fake_fleet_append(publisher->fleet, publisher->late_record);
	publisher->late_record = NULL;
}

static void append_(void *arg, const char *data, size_t length)
{
	publisher_t *publisher = arg;
	append_t action = publisher->script[publisher->step];
	char *record = g_strndup(data, length);

	if (publisher->step + 1 < publisher->script_length)
		publisher->step++;
	publisher->answered = MMX_LOG_UNKNOWN;
	mmx_timer_set(&publisher->answer, LOST_TIME);
	switch (action) {
	case TAKE:
	case LOSE:
	case LAST:
		publisher->offset = fake_fleet_append(publisher->fleet, record);
		break;
	case LATE:
		publisher->late_record = record;
		mmx_timer_set(&publisher->late, 5 * SECOND);
		break;
	default:
		g_free(record);
		break;
	}
	if (action == DOWN || action == LAST)
		fake_fleet_set_log(publisher->fleet, 0, false);
	if (action == TAKE || action == REFUSE) {
		publisher->answered =
			action == TAKE ? MMX_LOG_OK : MMX_LOG_REFUSED;
		mmx_timer_set(&publisher->answer, ANSWER_TIME);
	}
}

static void done_(void *arg, const mmx_publish_result_t *result)
{
	publisher_t *publisher = arg;

	CU_ASSERT_FALSE(publisher->done);
	publisher->done = true;
	publisher->result = *result;
}

static void applied_(void *arg, const mmx_fold_result_t *result)
{
	publisher_t *publisher = arg;

	mmx_publish_on_applied(publisher->publish, result);
}

static const mmx_publish_ops_t ops_ = {append_, done_};

static void publish_(publisher_t *publisher, const char *id, const char *record)
{
	mmx_clock_t *clock = fake_fleet_clock(publisher->fleet);

	mmx_timer_init(&publisher->answer, clock, on_answer_, publisher);
	mmx_timer_init(&publisher->late, clock, on_late_, publisher);
	publisher->publish = mmx_publish_create(
		clock, fake_fleet_config(publisher->fleet, 0), id, record,
		MMX_PUBLISH_TIMEOUT_US, &ops_, publisher);
	fake_fleet_observe(publisher->fleet, 0, applied_, publisher);
	mmx_publish_start(publisher->publish);
	fake_fleet_run(publisher->fleet, MMX_PUBLISH_TIMEOUT_US + SECOND);
	fake_fleet_observe(publisher->fleet, 0, NULL, NULL);
	mmx_timer_cancel(&publisher->answer);
	mmx_publish_destroy(publisher->publish);
}

static fake_fleet_t *new_fleet_(void)
{
	fake_fleet_options_t options = {
		.regions = 1, .nodes_per_region = 3, .seed = 3};
	fake_fleet_t *fleet = fake_fleet_create(&options);

	fake_fleet_append(fleet, test_account_record("old", "owner", 0, 5));
	fake_fleet_run(fleet, 10 * SECOND);
	return fleet;
}

typedef struct publish_case_t {
	const char *name;
	append_t script[3];
	size_t script_length;
	const char *id;
	uint64_t base;
	mmx_publish_outcome_t outcome;
	mmx_reject_t reject;
	unsigned int appends;
	bool in_log; /* the account is in force in the end */
} publish_case_t;

static const publish_case_t cases_[] = {
	{"answered", {TAKE}, 1, "n", 1, MMX_PUBLISH_ACCEPTED, 0, 1, true},
	{"answer lost", {LOSE}, 1, "n", 1, MMX_PUBLISH_ACCEPTED, 0, 1, true},
	{"append lost",
	 {DROP, TAKE},
	 2,
	 "n",
	 1,
	 MMX_PUBLISH_ACCEPTED,
	 0,
	 2,
	 true},
	{"two appends lost",
	 {DROP, DROP, LOSE},
	 3,
	 "n",
	 1,
	 MMX_PUBLISH_ACCEPTED,
	 0,
	 3,
	 true},
	{"first append arrives after the second",
	 {LATE, TAKE},
	 2,
	 "n",
	 1,
	 MMX_PUBLISH_ACCEPTED,
	 0,
	 2,
	 true},
	{"refused", {REFUSE}, 1, "n", 1, MMX_PUBLISH_REJECTED, 0, 1, false},
	{"refused after a lost append",
	 {DROP, REFUSE, TAKE},
	 3,
	 "n",
	 1,
	 MMX_PUBLISH_ACCEPTED,
	 0,
	 3,
	 true},
	{"stale base",
	 {TAKE},
	 1,
	 "n",
	 7,
	 MMX_PUBLISH_REJECTED,
	 MMX_REJECT_STALE_BASE,
	 1,
	 false},
	{"stale base, answer lost",
	 {LOSE},
	 1,
	 "n",
	 7,
	 MMX_PUBLISH_REJECTED,
	 MMX_REJECT_STALE_BASE,
	 1,
	 false},
	{"id published before",
	 {TAKE},
	 1,
	 "old",
	 1,
	 MMX_PUBLISH_ACCEPTED,
	 0,
	 0,
	 false},
	{"log lost with the append",
	 {DOWN},
	 1,
	 "n",
	 1,
	 MMX_PUBLISH_UNKNOWN,
	 0,
	 1,
	 false},
	{"log lost after the append",
	 {LAST},
	 1,
	 "n",
	 1,
	 MMX_PUBLISH_UNKNOWN,
	 0,
	 1,
	 true},
};

/* Guards against a wrong outcome, a change that is published twice, and one
 * that is lost or in force although the operator was told otherwise. The
 * revision of the account must move once at most. */
static void test_outcomes_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases_); i++) {
		const publish_case_t *row = &cases_[i];
		publisher_t publisher = {.fleet = new_fleet_(),
					 .script = row->script,
					 .script_length = row->script_length};
		char *record =
			test_account_record(row->id, "owner", row->base, 9);
		const mmx_fold_t *fold;
		mmx_account_t account;

		publish_(&publisher, row->id, record);
		CU_ASSERT_TRUE_FATAL(publisher.done);
		CU_ASSERT_EQUAL(publisher.result.outcome, row->outcome);
		CU_ASSERT_EQUAL(publisher.result.reject, row->reject);
		CU_ASSERT_EQUAL(publisher.result.appends, row->appends);
		CU_ASSERT_EQUAL(publisher.result.text[0] != '\0',
				row->outcome != MMX_PUBLISH_ACCEPTED);
		fake_fleet_set_log(publisher.fleet, 0, true);
		fake_fleet_run(publisher.fleet, 15 * SECOND);
		fold = mmx_config_fold(fake_fleet_config(publisher.fleet, 1));
		CU_ASSERT_TRUE(mmx_fold_account(fold, "owner", &account));
		CU_ASSERT_EQUAL(account.floor_percent, row->in_log ? 9 : 5);
		CU_ASSERT_EQUAL(
			mmx_fold_counts(fold)->records[MMX_VERDICT_ACCEPTED],
			row->in_log ? 2 : 1);
		if (row->outcome == MMX_PUBLISH_ACCEPTED)
			CU_ASSERT_EQUAL(
				mmx_fold_account_revision(fold, "owner"),
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

/* Guards against an unknown outcome that cannot be settled, and one that is
 * settled as not found without having read the log. */
static void test_settle_(void)
{
	static const append_t nothing[] = {TAKE};
	static const settle_case_t cases[] = {
		{"accepted", "old", true, MMX_PUBLISH_ACCEPTED},
		{"rejected", "stale", true, MMX_PUBLISH_REJECTED},
		{"not there", "other", true, MMX_PUBLISH_NOT_FOUND},
		{"not there, log out", "other", false, MMX_PUBLISH_UNKNOWN},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		publisher_t publisher = {.fleet = new_fleet_(),
					 .script = nothing,
					 .script_length = 1};

		fake_fleet_append(publisher.fleet,
				  test_account_record("stale", "owner", 9, 1));
		fake_fleet_run(publisher.fleet, 5 * SECOND);
		fake_fleet_set_log(publisher.fleet, 0, cases[i].log_up);
		publish_(&publisher, cases[i].id, NULL);
		CU_ASSERT_TRUE(publisher.done);
		CU_ASSERT_EQUAL(publisher.result.outcome, cases[i].outcome);
		CU_ASSERT_EQUAL(publisher.result.appends, 0);
		fake_fleet_destroy(publisher.fleet);
	}
}

/* Guards against an append while the tail could not be read. */
static void test_log_out_(void)
{
	static const append_t take[] = {TAKE};
	publisher_t publisher = {
		.fleet = new_fleet_(), .script = take, .script_length = 1};
	char *record = test_account_record("n", "owner", 1, 9);

	fake_fleet_set_log(publisher.fleet, 0, false);
	publish_(&publisher, "n", record);
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

/* Guards against nodes that are counted wrongly, and a status of another kind
 * that counts as zero of zero. */
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
	{"settle", test_settle_},
	{"log out", test_log_out_},
	{"count of nodes", test_count_},
	CU_TEST_INFO_NULL,
};
