#include "suites.h"

#include <math.h>

#include "masticmux/detection.h"
#include "masticmux/path.h"
#include "masticmux/random.h"

#define MS MMX_US_PER_MS
#define IN_PROGRESS_MAX 3

typedef struct fixture_t {
	mmx_clock_t *clock;
	mmx_detection_t *detection;
	mmx_random_t random;
} fixture_t;

/* Healthy latency: 10 ms and a power-law tail with exponent 2. */
static mmx_time_t healthy_(fixture_t *fixture)
{
	double unit = 1.0 - mmx_random_unit(&fixture->random);

	return (mmx_time_t)(10000 / sqrt(unit));
}

static void set_up_(fixture_t *fixture, uint8_t weight)
{
	mmx_latency_summary_t peers = {.requests = 0};
	int i;

	fixture->clock = mmx_clock_create_paused();
	mmx_random_seed(&fixture->random, 11);
	fixture->detection = mmx_detection_create(fixture->clock, weight);
	for (i = 0; i < 5000; i++)
		mmx_latency_summary_add(&peers, healthy_(fixture), false);
	mmx_detection_set_peers(fixture->detection, &peers);
}

static void tear_down_(fixture_t *fixture)
{
	mmx_detection_destroy(fixture->detection);
	mmx_clock_destroy(fixture->clock);
}

static bool request_(fixture_t *fixture, mmx_time_t latency,
		     mmx_result_t result, bool trial)
{
	mmx_detection_request_t request;
	bool good;

	mmx_detection_start(fixture->detection, &request, trial);
	mmx_clock_advance(fixture->clock, latency);
	good = mmx_detection_finish(fixture->detection, &request, result);
	mmx_detection_evaluate(fixture->detection);
	return good;
}

/* Guards against missing or late detection of each kind of failure, against a
 * wrong kind in explain, and against healthy targets under suspicion. */
static void test_sequences_(void)
{
	static const struct {
		const char *name;
		double factor; /* of the latency */
		double errors;
		int requests;
		mmx_health_t least;
		mmx_health_t most;
		mmx_evidence_kind_t kind;
	} cases[] = {
		{"healthy", 1, 0, 2000, MMX_HEALTH_HEALTHY, MMX_HEALTH_SUSPECT,
		 MMX_EVIDENCE_NONE},
		{"slow by 5", 5, 0, 60, MMX_HEALTH_FAILING, MMX_HEALTH_FAILING,
		 MMX_EVIDENCE_LATENCY},
		{"20% errors", 1, 0.2, 150, MMX_HEALTH_FAILING,
		 MMX_HEALTH_FAILING, MMX_EVIDENCE_ERRORS},
		{"fast errors", 0.1, 1, 20, MMX_HEALTH_FAILING,
		 MMX_HEALTH_FAILING, MMX_EVIDENCE_ERRORS},
	};
	size_t i;
	int weight;
	int n;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		for (weight = 0; weight <= 100; weight += 50) {
			mmx_health_t worst = MMX_HEALTH_HEALTHY;
			const mmx_health_evidence_t *evidence;
			fixture_t fixture;

			set_up_(&fixture, (uint8_t)weight);
			for (n = 0; n < cases[i].requests &&
				    worst < MMX_HEALTH_FAILING;
			     n++) {
				bool error = mmx_random_unit(&fixture.random) <
					     cases[i].errors;

				request_(&fixture,
					 (mmx_time_t)(cases[i].factor *
						      (double)healthy_(
							      &fixture)),
					 error ? MMX_RESULT_ERROR
					       : MMX_RESULT_SUCCESS,
					 false);
				if (mmx_detection_level(fixture.detection) >
				    worst)
					worst = mmx_detection_level(
						fixture.detection);
			}
			evidence = mmx_detection_evidence(fixture.detection);
			CU_ASSERT_TRUE(worst >= cases[i].least);
			CU_ASSERT_TRUE(worst <= cases[i].most);
			if (cases[i].kind != MMX_EVIDENCE_NONE) {
				CU_ASSERT_EQUAL(evidence->kind, cases[i].kind);
				CU_ASSERT_TRUE(evidence->value >=
					       evidence->threshold);
			}
			tear_down_(&fixture);
		}
}

/* Guards against a stall that is seen only when requests time out, and
 * against a single old request that makes a target failing. */
static void test_stall_(void)
{
	static const struct {
		uint8_t weight;
		int in_progress;
		mmx_time_t age;
		mmx_health_t level;
	} cases[] = {
		{100, 1, 50 * MS, MMX_HEALTH_HEALTHY},
		{100, 1, 1000 * MS, MMX_HEALTH_SUSPECT},
		{100, 1, 60000 * MS, MMX_HEALTH_SUSPECT},
		{100, 3, 3000 * MS, MMX_HEALTH_FAILING},
		{0, 1, 500 * MS, MMX_HEALTH_HEALTHY},
		{0, 1, 60000 * MS, MMX_HEALTH_SUSPECT},
		{0, 3, 1000 * MS, MMX_HEALTH_SUSPECT},
		{0, 3, 30000 * MS, MMX_HEALTH_FAILING},
	};
	mmx_detection_request_t request[IN_PROGRESS_MAX];
	size_t i;
	int n;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		fixture_t fixture;

		set_up_(&fixture, cases[i].weight);
		for (n = 0; n < cases[i].in_progress; n++)
			mmx_detection_start(fixture.detection, &request[n],
					    false);
		mmx_clock_advance(fixture.clock, cases[i].age);
		mmx_detection_evaluate(fixture.detection);
		CU_ASSERT_EQUAL(mmx_detection_level(fixture.detection),
				cases[i].level);
		if (cases[i].level != MMX_HEALTH_HEALTHY)
			CU_ASSERT_EQUAL(
				mmx_detection_evidence(fixture.detection)->kind,
				MMX_EVIDENCE_AGE);
		for (n = 0; n < cases[i].in_progress; n++)
			mmx_detection_finish(fixture.detection, &request[n],
					     MMX_RESULT_ABANDONED);
		/* Abandonment must not clear what age has shown. */
		mmx_detection_evaluate(fixture.detection);
		CU_ASSERT_EQUAL(mmx_detection_level(fixture.detection),
				cases[i].level);
		tear_down_(&fixture);
	}
}

/* Guards against a refused connection that counts as one error of many, and
 * against a target that one success clears. */
static void test_refused_(void)
{
	fixture_t fixture;
	int n;

	set_up_(&fixture, 0);
	mmx_detection_connection_refused(fixture.detection);
	CU_ASSERT_TRUE(mmx_detection_evaluate(fixture.detection));
	CU_ASSERT_EQUAL(mmx_detection_level(fixture.detection),
			MMX_HEALTH_FAILING);
	CU_ASSERT_EQUAL(mmx_detection_evidence(fixture.detection)->kind,
			MMX_EVIDENCE_REFUSED);
	for (n = 0; n < MMX_DETECTION_TRIALS; n++) {
		CU_ASSERT_EQUAL(mmx_detection_level(fixture.detection),
				MMX_HEALTH_FAILING);
		request_(&fixture, MS, MMX_RESULT_SUCCESS, false);
	}
	CU_ASSERT_EQUAL(mmx_detection_level(fixture.detection),
			MMX_HEALTH_HEALTHY);
	tear_down_(&fixture);
}

/* Guards against a failing target that time or a slow trial clears, and
 * against two trials at a time. */
static void test_trials_(void)
{
	static const struct {
		const char *name;
		mmx_time_t latency[4];
		mmx_result_t result[4];
		mmx_health_t level;
	} cases[] = {
		{"three good", {MS, MS, MS}, {0}, MMX_HEALTH_HEALTHY},
		{"slow third", {MS, MS, 90 * MS}, {0}, MMX_HEALTH_FAILING},
		{"error between",
		 {MS, MS, MS, MS},
		 {MMX_RESULT_SUCCESS, MMX_RESULT_SUCCESS, MMX_RESULT_ERROR},
		 MMX_HEALTH_FAILING},
	};
	mmx_detection_request_t request;
	size_t i;
	int n;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		fixture_t fixture;

		set_up_(&fixture, 50);
		for (n = 0; n < 20; n++)
			request_(&fixture, 90 * MS, MMX_RESULT_SUCCESS, false);
		mmx_clock_advance(fixture.clock, 3600 * MMX_US_PER_S);
		mmx_detection_evaluate(fixture.detection);
		CU_ASSERT_EQUAL(mmx_detection_level(fixture.detection),
				MMX_HEALTH_FAILING);
		for (n = 0; n < 4 && cases[i].latency[n]; n++)
			request_(&fixture, cases[i].latency[n],
				 cases[i].result[n], true);
		CU_ASSERT_EQUAL(mmx_detection_level(fixture.detection),
				cases[i].level);
		CU_ASSERT_TRUE(mmx_detection_trial_allowed(fixture.detection));
		mmx_detection_start(fixture.detection, &request, true);
		CU_ASSERT_FALSE(mmx_detection_trial_allowed(fixture.detection));
		mmx_detection_finish(fixture.detection, &request,
				     MMX_RESULT_SUCCESS);
		tear_down_(&fixture);
	}
}

/* Guards against a slow target that looks fast because it fails early, or
 * because callers give up early. */
static void test_early_end_(void)
{
	static const mmx_result_t results[] = {MMX_RESULT_ERROR,
					       MMX_RESULT_ABANDONED};
	size_t i;
	int n;

	for (i = 0; i < sizeof(results) / sizeof(results[0]); i++) {
		fixture_t fixture;
		double before;

		set_up_(&fixture, 100);
		for (n = 0; n < 4; n++)
			request_(&fixture, 90 * MS, MMX_RESULT_SUCCESS, false);
		before = mmx_detection_score(fixture.detection);
		CU_ASSERT_TRUE(before > 0);
		for (n = 0; n < 3; n++)
			request_(&fixture, MS / 2, results[i], false);
		/* Only time lowers it, by less than a thousandth here. */
		CU_ASSERT_TRUE(mmx_detection_score(fixture.detection) >
			       before * 0.999);
		tear_down_(&fixture);
	}
}

/* Guards against verdicts when there are no peers to compare with, or when
 * the peers fail as often. */
static void test_no_outlier_(void)
{
	mmx_latency_summary_t peers = {.requests = 1000, .errors = 400};
	mmx_latency_summary_t none = {.requests = 0};
	fixture_t fixture;
	int n;

	set_up_(&fixture, 100);
	mmx_detection_set_peers(fixture.detection, &none);
	for (n = 0; n < 100; n++)
		request_(&fixture, 5000 * MS, MMX_RESULT_SUCCESS, false);
	CU_ASSERT_EQUAL(mmx_detection_score(fixture.detection), 0);
	mmx_detection_set_peers(fixture.detection, &peers);
	for (n = 0; n < 500; n++)
		request_(&fixture, MS,
			 n % 5 < 2 ? MMX_RESULT_ERROR : MMX_RESULT_SUCCESS,
			 false);
	CU_ASSERT_EQUAL(mmx_detection_level(fixture.detection),
			MMX_HEALTH_HEALTHY);
	tear_down_(&fixture);
}

/* Guards against thresholds that are not ordered by the weight. */
static void test_weights_(void)
{
	mmx_detection_thresholds_t last;
	mmx_detection_thresholds_t limits;
	int weight;

	mmx_detection_thresholds(0, &last);
	for (weight = 1; weight <= 100; weight++) {
		mmx_detection_thresholds((uint8_t)weight, &limits);
		CU_ASSERT_TRUE(limits.failing < last.failing);
		CU_ASSERT_TRUE(limits.suspect < last.suspect);
		CU_ASSERT_TRUE(limits.suspect_age < last.suspect_age);
		CU_ASSERT_TRUE(limits.suspect < limits.failing);
		CU_ASSERT_TRUE(limits.request_max - limits.drift <
			       limits.failing);
		last = limits;
	}
}

typedef enum path_step_t {
	STEP_END,
	STEP_SENT,
	STEP_PROGRESS,
	STEP_WAIT,    /* 600 ms */
	STEP_BACKOFF, /* 2 s */
	STEP_RUNNING,
	STEP_UNSEEN,
	STEP_FINISHED,
	STEP_NONE,
} path_step_t;

static mmx_time_t path_step_(mmx_path_t *path, path_step_t step, mmx_time_t now)
{
	switch (step) {
	case STEP_WAIT:
		return now + 600 * MS;
	case STEP_BACKOFF:
		return now + 2000 * MS;
	case STEP_SENT:
		mmx_path_attempt_sent(path, now);
		break;
	case STEP_PROGRESS:
		mmx_path_progress(path, now);
		break;
	case STEP_RUNNING:
		mmx_path_on_fence_result(path, MMX_PATH_FENCE_RUNNING, now);
		break;
	case STEP_FINISHED:
		mmx_path_on_fence_result(path, MMX_PATH_FENCE_FINISHED, now);
		break;
	case STEP_UNSEEN:
		mmx_path_on_fence_result(path, MMX_PATH_FENCE_UNSEEN, now);
		break;
	default:
		mmx_path_on_fence_result(path, MMX_PATH_FENCE_NO_REPLY, now);
		break;
	}
	return now;
}

/* Guards against a slow target that is held against the path, and against a
 * path that stays in use although attempts are lost on it. */
static void test_path_(void)
{
	static const struct {
		const char *name;
		path_step_t steps[8];
		mmx_health_t level;
		mmx_evidence_kind_t kind;
	} cases[] = {
		{"idle", {STEP_WAIT}, MMX_HEALTH_HEALTHY, 0},
		{"progress",
		 {STEP_SENT, STEP_WAIT, STEP_PROGRESS},
		 MMX_HEALTH_HEALTHY,
		 0},
		{"silent",
		 {STEP_SENT, STEP_WAIT},
		 MMX_HEALTH_SUSPECT,
		 MMX_EVIDENCE_NO_PROGRESS},
		{"target is slow",
		 {STEP_SENT, STEP_WAIT, STEP_RUNNING},
		 MMX_HEALTH_HEALTHY,
		 0},
		{"one attempt lost",
		 {STEP_SENT, STEP_WAIT, STEP_UNSEEN},
		 MMX_HEALTH_SUSPECT,
		 MMX_EVIDENCE_ATTEMPT_LOST},
		{"responses lost",
		 {STEP_SENT, STEP_FINISHED, STEP_FINISHED, STEP_FINISHED},
		 MMX_HEALTH_FAILING,
		 MMX_EVIDENCE_RESPONSE_LOST},
		{"no answer",
		 {STEP_SENT, STEP_WAIT, STEP_NONE},
		 MMX_HEALTH_FAILING,
		 MMX_EVIDENCE_NO_ANSWER},
		{"after the back-off",
		 {STEP_SENT, STEP_WAIT, STEP_NONE, STEP_BACKOFF},
		 MMX_HEALTH_SUSPECT,
		 0},
		{"second back-off is longer",
		 {STEP_SENT, STEP_WAIT, STEP_NONE, STEP_BACKOFF, STEP_NONE,
		  STEP_BACKOFF},
		 MMX_HEALTH_FAILING,
		 MMX_EVIDENCE_NO_ANSWER},
	};
	size_t i;
	int n;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		mmx_time_t now = 0;
		mmx_path_t path;

		mmx_path_init(&path, MMX_PATH_TIMEOUT_US, now);
		for (n = 0; cases[i].steps[n] != STEP_END; n++) {
			now = path_step_(&path, cases[i].steps[n], now);
			mmx_path_evaluate(&path, now);
		}
		CU_ASSERT_EQUAL(mmx_path_level(&path), cases[i].level);
		if (cases[i].kind)
			CU_ASSERT_EQUAL(mmx_path_evidence(&path)->kind,
					cases[i].kind);
	}
}

CU_TestInfo mmx_tests_detection[] = {
	{"failures are detected, health is not", test_sequences_},
	{"age of requests in progress counts", test_stall_},
	{"a refused connection is failing at once", test_refused_},
	{"only good trials clear a failing target", test_trials_},
	{"an early end is no good evidence", test_early_end_},
	{"without an outlier nobody is suspect", test_no_outlier_},
	{"thresholds follow the weight", test_weights_},
	{"path and target are told apart", test_path_},
	CU_TEST_INFO_NULL,
};
