#include "suites.h"

#include <glib.h>

#include "masticmux/balance.h"

#define TARGETS_MAX 6
#define CHOICES 600

typedef struct target_spec_t {
	mmx_locality_t locality;
	mmx_use_t use;
	int outstanding;
	uint32_t others;
} target_spec_t;

typedef struct choice_case_t {
	const char *name;
	bool repeatable;
	uint8_t tried; /* id of the target that was tried; 0: none */
	target_spec_t targets[TARGETS_MAX];
	int count;
	const char *expected; /* per target, y: chosen sometimes, n: never */
} choice_case_t;

static mmx_balance_t *create_(const target_spec_t *specs, int count)
{
	mmx_balance_t *balance = mmx_balance_create();
	mmx_target_id_t id;
	int n;

	for (id = 1; id <= (mmx_target_id_t)count; id++) {
		const target_spec_t *spec = &specs[id - 1];

		mmx_balance_set_target(balance, id, 3, spec->locality);
		mmx_balance_set_use(balance, id, spec->use);
		for (n = 0; n < spec->outstanding; n++)
			mmx_balance_start(balance, id);
		mmx_balance_report_load(
			balance, id, spec->others + (uint32_t)spec->outstanding,
			0);
	}
	return balance;
}

#define NORMAL MMX_USE_NORMAL
#define ZONE MMX_LOCALITY_ZONE
#define REGION MMX_LOCALITY_REGION
#define REMOTE MMX_LOCALITY_REMOTE

static const choice_case_t choice_cases_[] = {
	{"nearest locality",
	 true,
	 0,
	 {{ZONE, NORMAL, 0, 0},
	  {ZONE, NORMAL, 0, 0},
	  {REGION, NORMAL, 0, 0},
	  {REMOTE, NORMAL, 0, 0}},
	 4,
	 "yynn"},
	{"no free slot near",
	 true,
	 0,
	 {{ZONE, NORMAL, 3, 0}, {REGION, NORMAL, 0, 0}, {REMOTE, NORMAL, 0, 0}},
	 3,
	 "nyn"},
	{"load of other entries",
	 true,
	 0,
	 {{ZONE, NORMAL, 0, 3}, {REGION, NORMAL, 0, 0}, {REMOTE, NORMAL, 0, 0}},
	 3,
	 "nyn"},
	{"less loaded of two",
	 true,
	 0,
	 {{ZONE, NORMAL, 1, 0}, {ZONE, NORMAL, 0, 2}},
	 2,
	 "yn"},
	{"any free slot in the locality",
	 true,
	 0,
	 {{ZONE, NORMAL, 3, 0},
	  {ZONE, NORMAL, 3, 0},
	  {ZONE, NORMAL, 2, 0},
	  {REGION, NORMAL, 0, 0}},
	 4,
	 "nnyn"},
	{"all busy: queue near",
	 true,
	 0,
	 {{ZONE, NORMAL, 3, 0}, {REGION, NORMAL, 3, 0}},
	 2,
	 "yn"},
	{"avoid while others have slots",
	 true,
	 0,
	 {{ZONE, MMX_USE_AVOID, 0, 0}, {REMOTE, NORMAL, 0, 0}},
	 2,
	 "ny"},
	{"avoid before a queue",
	 true,
	 0,
	 {{ZONE, MMX_USE_AVOID, 0, 0}, {ZONE, NORMAL, 3, 0}},
	 2,
	 "yn"},
	{"only suspects",
	 true,
	 0,
	 {{ZONE, MMX_USE_AVOID, 0, 0}, {REGION, MMX_USE_AVOID, 0, 0}},
	 2,
	 "yn"},
	{"trial first",
	 true,
	 0,
	 {{ZONE, NORMAL, 0, 0}, {REGION, MMX_USE_TRIAL, 0, 0}},
	 2,
	 "ny"},
	{"trial of a suspect",
	 true,
	 0,
	 {{ZONE, NORMAL, 0, 0}, {REGION, MMX_USE_AVOID_TRIAL, 0, 0}},
	 2,
	 "ny"},
	{"no trial with others",
	 false,
	 0,
	 {{ZONE, NORMAL, 0, 0}, {ZONE, MMX_USE_TRIAL, 0, 0}},
	 2,
	 "yn"},
	{"no trial far away",
	 true,
	 0,
	 {{ZONE, NORMAL, 0, 0}, {REMOTE, MMX_USE_TRIAL, 0, 0}},
	 2,
	 "yn"},
	{"trial far away if all are",
	 true,
	 0,
	 {{REMOTE, NORMAL, 0, 0}, {REMOTE, MMX_USE_TRIAL, 0, 0}},
	 2,
	 "ny"},
	{"ejected or draining",
	 true,
	 0,
	 {{ZONE, MMX_USE_NONE, 0, 0}, {REMOTE, NORMAL, 0, 0}},
	 2,
	 "ny"},
	{"last resort",
	 true,
	 0,
	 {{ZONE, MMX_USE_NONE, 0, 0}, {ZONE, MMX_USE_LAST_RESORT, 0, 0}},
	 2,
	 "ny"},
	{"last resort after suspects",
	 true,
	 0,
	 {{REMOTE, MMX_USE_AVOID, 3, 0}, {ZONE, MMX_USE_LAST_RESORT, 0, 0}},
	 2,
	 "yn"},
	{"tried before",
	 true,
	 1,
	 {{ZONE, NORMAL, 0, 0}, {REMOTE, NORMAL, 0, 0}},
	 2,
	 "ny"},
	{"no capacity", true, 0, {{ZONE, MMX_USE_NONE, 0, 0}}, 1, "n"},
	{"only ejected, not repeatable",
	 false,
	 0,
	 {{ZONE, MMX_USE_TRIAL, 0, 0}},
	 1,
	 "n"},
	{"no targets", true, 0, {{ZONE, NORMAL, 0, 0}}, 0, ""},
};

/* Guards against the choice of a target whose use forbids it, against requests
 * that leave the zone or region while it has free slots, and against trials
 * with requests that cannot be repeated. */
static void test_choices_(void)
{
	size_t i;
	int n;

	for (i = 0; i < sizeof(choice_cases_) / sizeof(choice_cases_[0]); i++) {
		const choice_case_t *c = &choice_cases_[i];
		mmx_balance_t *balance = create_(c->targets, c->count);
		mmx_target_id_t tried = c->tried;
		mmx_balance_request_t request = {
			.repeatable = c->repeatable,
			.tried = &tried,
			.tried_count = tried != 0,
		};
		int chosen[TARGETS_MAX] = {0};
		mmx_random_t random;
		bool any = false;

		mmx_random_seed(&random, 9);
		for (n = 0; n < c->count; n++)
			any = any || c->expected[n] == 'y';
		for (n = 0; n < CHOICES; n++) {
			mmx_balance_choice_t choice;
			bool ok = mmx_balance_choose(balance, &request, &random,
						     0, &choice);

			CU_ASSERT_EQUAL(ok, any);
			if (!ok)
				break;
			chosen[choice.target - 1]++;
			CU_ASSERT_EQUAL(choice.locality,
					c->targets[choice.target - 1].locality);
		}
		for (n = 0; n < c->count; n++)
			CU_ASSERT_EQUAL(chosen[n] > 0, c->expected[n] == 'y');
		mmx_balance_destroy(balance);
	}
}

static void check_choices_(const choice_case_t *cases, size_t count,
			   mmx_balance_request_t request)
{
	size_t i;
	int n;

	for (i = 0; i < count; i++) {
		const choice_case_t *c = &cases[i];
		mmx_balance_t *balance = create_(c->targets, c->count);
		mmx_target_id_t tried = c->tried;
		int chosen[TARGETS_MAX] = {0};
		mmx_balance_choice_t choice;
		mmx_random_t random;

		request.repeatable = c->repeatable;
		request.tried = &tried;
		request.tried_count = tried != 0;
		mmx_random_seed(&random, 9);
		for (n = 0; n < CHOICES; n++) {
			CU_ASSERT_TRUE(mmx_balance_choose(balance, &request,
							  &random, 0, &choice));
			chosen[choice.target - 1]++;
		}
		for (n = 0; n < c->count; n++)
			CU_ASSERT_EQUAL(chosen[n] > 0, c->expected[n] == 'y');
		mmx_balance_destroy(balance);
	}
}

/*
 * Load pattern: a region is nearly full for a short time, and the link to
 * another region is billed by volume. Guards against requests that leave the
 * region while it has a usable target, and against requests that queue at a
 * target with a higher load than others in the region.
 */
static void test_queue_in_region_(void)
{
	static const choice_case_t cases[] = {
		{"free in the zone",
		 true,
		 0,
		 {{ZONE, NORMAL, 2, 0},
		  {REGION, NORMAL, 0, 0},
		  {REMOTE, NORMAL, 0, 0}},
		 3,
		 "ynn"},
		{"free in the region",
		 true,
		 0,
		 {{ZONE, NORMAL, 3, 0},
		  {REGION, NORMAL, 2, 0},
		  {REMOTE, NORMAL, 0, 0}},
		 3,
		 "nyn"},
		{"full region",
		 true,
		 0,
		 {{ZONE, NORMAL, 4, 0},
		  {REGION, NORMAL, 3, 0},
		  {REMOTE, NORMAL, 0, 0}},
		 3,
		 "nyn"},
		{"equally full",
		 true,
		 0,
		 {{ZONE, NORMAL, 3, 0},
		  {ZONE, NORMAL, 3, 0},
		  {REMOTE, NORMAL, 0, 0}},
		 3,
		 "yyn"},
		{"only suspects near",
		 false,
		 0,
		 {{ZONE, MMX_USE_AVOID, 0, 0}, {REMOTE, NORMAL, 0, 0}},
		 2,
		 "ny"},
		{"tried before",
		 true,
		 1,
		 {{ZONE, NORMAL, 0, 0}, {REMOTE, NORMAL, 0, 0}},
		 2,
		 "ny"},
	};
	check_choices_(cases, G_N_ELEMENTS(cases),
		       (mmx_balance_request_t){.queue_in_region = true});
}

/*
 * Load pattern: uploads and downloads, whose bodies take much of the link
 * between regions. Guards against a request that leaves the region while it has
 * a usable target, even a suspect one or one that was tried, and against a
 * refusal where only other regions have usable targets.
 */
static void test_region_only_(void)
{
	static const struct {
		const char *name;
		target_spec_t targets[2];
		mmx_target_id_t tried;	/* 0: none */
		mmx_target_id_t chosen; /* 0: none */
	} cases[] = {
		{"full near, free far",
		 {{REGION, NORMAL, 3, 0}, {REMOTE, NORMAL, 0, 0}},
		 0,
		 1},
		{"suspect near, free far",
		 {{ZONE, MMX_USE_AVOID, 0, 0}, {REMOTE, NORMAL, 0, 0}},
		 0,
		 1},
		{"tried near, free far",
		 {{ZONE, NORMAL, 0, 0}, {REMOTE, NORMAL, 0, 0}},
		 1,
		 0},
		{"none near",
		 {{ZONE, MMX_USE_NONE, 0, 0}, {REMOTE, NORMAL, 0, 0}},
		 0,
		 2},
	};
	mmx_balance_choice_t choice;
	mmx_random_t random;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_balance_t *balance = create_(cases[i].targets, 2);
		mmx_balance_request_t request = {
			.tried = &cases[i].tried,
			.tried_count = cases[i].tried != 0,
			.queue_in_region = true,
			.region_only = true,
		};

		mmx_random_seed(&random, 9);
		choice.target = 0;
		CU_ASSERT_EQUAL(mmx_balance_choose(balance, &request, &random,
						   0, &choice),
				cases[i].chosen != 0);
		CU_ASSERT_EQUAL(choice.target, cases[i].chosen);
		mmx_balance_destroy(balance);
	}
}

/*
 * Load pattern: some targets of a service take few requests a second.
 * Guards against requests that are sent to such a target because it looks idle,
 * and are refused there, while another one would serve them.
 */
static void test_paused_(void)
{
	static const struct {
		const char *name;
		mmx_locality_t localities[2];
		mmx_time_t paused_until[2];
		int outstanding[2];
		bool queue_in_region;
		mmx_target_id_t chosen;
	} cases[] = {
		{"another one is busier",
		 {ZONE, ZONE},
		 {2, 0},
		 {0, 2},
		 false,
		 2},
		{"another one is far away",
		 {ZONE, REMOTE},
		 {2, 0},
		 {0, 0},
		 false,
		 2},
		{"the same with a queue in the region allowed",
		 {ZONE, REMOTE},
		 {2, 0},
		 {0, 0},
		 true,
		 2},
		{"all paused", {ZONE, ZONE}, {3, 2}, {0, 1}, false, 2},
		{"paused until now", {ZONE, ZONE}, {1, 0}, {0, 1}, false, 1},
	};
	mmx_random_t random;
	size_t i;
	int n;

	mmx_random_seed(&random, 1);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_balance_t *balance = mmx_balance_create();
		mmx_balance_request_t request = {
			.queue_in_region = cases[i].queue_in_region};
		mmx_balance_choice_t choice;
		mmx_target_id_t id;

		for (id = 1; id <= 2; id++) {
			mmx_balance_set_target(balance, id, 3,
					       cases[i].localities[id - 1]);
			for (n = 0; n < cases[i].outstanding[id - 1]; n++)
				mmx_balance_start(balance, id);
			mmx_balance_pause(balance, id,
					  cases[i].paused_until[id - 1]);
		}
		for (n = 0; n < CHOICES; n++) {
			if (mmx_balance_choose(balance, &request, &random, 1,
					       &choice) &&
			    choice.target == cases[i].chosen)
				continue;
			printf("\n%s: chose another\n", cases[i].name);
			CU_FAIL("target");
			break;
		}
		mmx_balance_destroy(balance);
	}
}

/*
 * Load pattern: a service is full, and some of its targets fail all requests.
 * Guards against requests that are sent to one failing target after the other,
 * are refused by each, and have no attempt left for a healthy target.
 */
static void test_full_service_with_suspects_(void)
{
	static const choice_case_t cases[] = {
		{"a free slot at a healthy target",
		 true,
		 0,
		 {{ZONE, MMX_USE_AVOID, 0, 0}, {REMOTE, NORMAL, 0, 0}},
		 2,
		 "ny"},
		{"a queue before a suspect",
		 true,
		 0,
		 {{ZONE, MMX_USE_AVOID, 0, 0}, {REMOTE, NORMAL, 5, 0}},
		 2,
		 "ny"},
		{"nothing but suspects",
		 false,
		 0,
		 {{ZONE, MMX_USE_AVOID, 0, 0}, {REMOTE, MMX_USE_AVOID, 0, 0}},
		 2,
		 "yn"},
		{"the healthy one was tried",
		 true,
		 2,
		 {{ZONE, MMX_USE_AVOID, 0, 0}, {REMOTE, NORMAL, 0, 0}},
		 2,
		 "yn"},
	};

	check_choices_(cases, G_N_ELEMENTS(cases),
		       (mmx_balance_request_t){.queue_before_suspects = true});
}

/* Guards against load that is concentrated on a few targets. */
static void test_spread_(void)
{
	static const target_spec_t specs[TARGETS_MAX] = {{ZONE, NORMAL, 0, 0}};
	mmx_balance_t *balance = create_(specs, TARGETS_MAX);
	mmx_balance_request_t request = {.repeatable = true};
	mmx_balance_choice_t choice;
	mmx_random_t random;
	mmx_target_id_t id;
	int n;

	mmx_random_seed(&random, 1);
	for (n = 0; n < 2 * TARGETS_MAX; n++) {
		CU_ASSERT_TRUE_FATAL(mmx_balance_choose(balance, &request,
							&random, 0, &choice));
		mmx_balance_start(balance, choice.target);
	}
	for (id = 1; id <= TARGETS_MAX; id++)
		CU_ASSERT_TRUE(mmx_balance_outstanding(balance, id) >= 1 &&
			       mmx_balance_outstanding(balance, id) <= 3);
	mmx_balance_destroy(balance);
}

/* Guards against an old report of a high load that keeps requests away from a
 * target. */
static void test_old_report_(void)
{
	static const target_spec_t specs[] = {{ZONE, NORMAL, 0, 30},
					      {REGION, NORMAL, 0, 0}};
	mmx_balance_t *balance = create_(specs, 2);
	mmx_balance_request_t request = {.repeatable = true};
	mmx_balance_choice_t choice;
	mmx_random_t random;

	mmx_random_seed(&random, 1);
	mmx_balance_choose(balance, &request, &random,
			   MMX_BALANCE_REPORT_TTL_US, &choice);
	CU_ASSERT_EQUAL(choice.target, 2);
	mmx_balance_choose(balance, &request, &random,
			   MMX_BALANCE_REPORT_TTL_US + 1, &choice);
	CU_ASSERT_EQUAL(choice.target, 1);
	mmx_balance_destroy(balance);
}

/* Guards against lost counts when a target changes its locality or is
 * removed. */
static void test_change_(void)
{
	static const target_spec_t specs[] = {{ZONE, NORMAL, 2, 0},
					      {REGION, NORMAL, 0, 0},
					      {REMOTE, NORMAL, 0, 0}};
	mmx_balance_t *balance = create_(specs, 3);
	mmx_balance_request_t request = {.repeatable = true};
	mmx_balance_choice_t choice;
	mmx_random_t random;

	mmx_random_seed(&random, 1);
	mmx_balance_set_target(balance, 1, 3, MMX_LOCALITY_REMOTE);
	CU_ASSERT_EQUAL(mmx_balance_outstanding(balance, 1), 2);
	CU_ASSERT_EQUAL(mmx_balance_count(balance), 3);
	mmx_balance_choose(balance, &request, &random, 0, &choice);
	CU_ASSERT_EQUAL(choice.target, 2);
	mmx_balance_remove_target(balance, 2);
	mmx_balance_remove_target(balance, 2);
	mmx_balance_choose(balance, &request, &random, 0, &choice);
	CU_ASSERT_EQUAL(choice.target, 3);
	mmx_balance_finish(balance, 1);
	mmx_balance_finish(balance, 1);
	mmx_balance_finish(balance, 1);
	CU_ASSERT_EQUAL(mmx_balance_outstanding(balance, 1), 0);
	mmx_balance_finish(balance, 77);
	mmx_balance_destroy(balance);
}

#define MS MMX_US_PER_MS

typedef struct work_spec_t {
	uint32_t load;	 /* of 3 slots */
	mmx_time_t work; /* as reported, ms; 0: no report of work */
	mmx_time_t run;	 /* the same, mean run time */
	mmx_time_t age;	 /* of the report of work, ms */
	double added;	 /* sent since, relative cost */
} work_spec_t;

typedef struct work_case_t {
	const char *name;
	double cost;
	work_spec_t targets[2];
	const char *expected; /* as in choice_case_t */
} work_case_t;

/* 1.4: restart, lost reports, a target that is slower, a wave of long requests,
 * estimates that are wrong. */
static const work_case_t work_cases_[] = {
	{"by requests although work is known",
	 0,
	 {{1, 900, 900, 0, 0}, {2, 100, 100, 0, 0}},
	 "yn"},
	{"a slower target",
	 1,
	 {{1, 500, 500, 0, 0}, {2, 200, 100, 0, 0}},
	 "ny"},
	{"equal but for chance",
	 1,
	 {{1, 300, 120, 0, 0}, {2, 100, 100, 0, 0}},
	 "yn"},
	{"a free slot before an early end",
	 1,
	 {{2, 900, 900, 0, 0}, {3, 100, 100, 0, 0}},
	 "yn"},
	{"long requests in the queue",
	 0.5,
	 {{4, 2000, 400, 0, 0}, {6, 800, 400, 0, 0}},
	 "ny"},
	{"own requests since the report",
	 0.5,
	 {{5, 800, 400, 0, 9}, {6, 800, 400, 0, 0}},
	 "ny"},
	{"report of work lost",
	 1,
	 {{1, 0, 0, 0, 0}, {2, 100, 100, 0, 0}},
	 "yn"},
	{"run times out of date",
	 1,
	 {{1, 500, 500, 10001, 0}, {2, 100, 100, 0, 0}},
	 "yn"},
	{"work out of date",
	 1,
	 {{5, 900, 400, 1001, 0}, {6, 100, 400, 0, 0}},
	 "yn"},
	{"wrong by a factor of ten, but full",
	 1,
	 {{3, 10, 10, 0, 0}, {1, 1000, 100, 0, 0}},
	 "ny"},
};

/*
 * Load pattern: uneven work at unequal targets. Guards against a choice by work
 * where the number of requests must decide, and the reverse; and against a full
 * target that is chosen before a free one.
 */
static void test_choice_by_work_(void)
{
	const mmx_time_t now = 20 * MMX_US_PER_S;
	size_t i;
	int n;

	for (i = 0; i < G_N_ELEMENTS(work_cases_); i++) {
		const work_case_t *row = &work_cases_[i];
		mmx_balance_request_t request = {.cost = row->cost};
		mmx_balance_t *balance = mmx_balance_create();
		mmx_balance_choice_t choice;
		mmx_random_t random;
		bool ok = true;

		mmx_random_seed(&random, i);
		for (n = 0; n < 2; n++) {
			const work_spec_t *spec = &row->targets[n];
			mmx_target_id_t id = (mmx_target_id_t)n + 1;

			mmx_balance_set_target(balance, id, 3, ZONE);
			mmx_balance_report_load(balance, id, spec->load, now);
			if (spec->run)
				mmx_balance_report_work(
					balance, id, spec->work * MS,
					spec->run * MS, now - spec->age * MS);
			mmx_balance_add_work(balance, id, spec->added);
		}
		for (n = 0; n < CHOICES; n++)
			ok = ok &&
			     mmx_balance_choose(balance, &request, &random, now,
						&choice) &&
			     row->expected[choice.target - 1] == 'y';
		if (!ok)
			printf("\n  %s\n", row->name);
		CU_ASSERT_TRUE(ok);
		mmx_balance_destroy(balance);
	}
}

/* Guards against entries that all choose the target with the least work, as
 * they do if each compares all targets by the same reports. */
static void test_spread_by_work_(void)
{
	const mmx_time_t now = 20 * MMX_US_PER_S;
	mmx_balance_request_t request = {.cost = 1, .queue_in_region = true};
	mmx_balance_t *balance = mmx_balance_create();
	mmx_balance_choice_t choice;
	mmx_random_t random;
	mmx_target_id_t id;
	int fastest = 0;
	int n;

	mmx_random_seed(&random, 1);
	for (id = 1; id <= 12; id++) {
		mmx_balance_set_target(balance, id, 15, ZONE);
		mmx_balance_report_load(balance, id, 5, now);
		mmx_balance_report_work(balance, id, 500 * MS,
					id == 1 ? 70 * MS : 100 * MS, now);
	}
	for (n = 0; n < 60; n++) {
		CU_ASSERT_TRUE(mmx_balance_choose(balance, &request, &random,
						  now, &choice));
		fastest += choice.target == 1;
	}
	/* It is one of the two compared targets in one of six choices. */
	CU_ASSERT(fastest >= 3 && fastest <= 20);
	mmx_balance_destroy(balance);
}

CU_TestInfo mmx_tests_balance[] = {
	{"spread of choices by work", test_spread_by_work_},
	{"choice by work", test_choice_by_work_},
	{"targets that a limit pauses", test_paused_},
	{"a queue in the region before another region", test_queue_in_region_},
	{"large bodies stay in the region", test_region_only_},
	{"a full service with suspects", test_full_service_with_suspects_},
	{"locality, use and load decide", test_choices_},
	{"requests are spread over targets", test_spread_},
	{"old load reports are ignored", test_old_report_},
	{"targets are changed and removed", test_change_},
	CU_TEST_INFO_NULL,
};
