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

/* Latency of a healthy target: 10 ms and a power-law tail with exponent 2. */
static mmx_time_t healthy_latency_(fixture_t *fixture)
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
		mmx_latency_summary_add(&peers, healthy_latency_(fixture),
					false);
	mmx_detection_set_peers(fixture->detection, &peers);
}

static void tear_down_(fixture_t *fixture)
{
	mmx_detection_destroy(fixture->detection);
	mmx_clock_destroy(fixture->clock);
}

static bool send_request_(fixture_t *fixture, mmx_time_t latency,
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

/* Guards against failures that are detected late or never, against a wrong kind
 * of evidence in explain, and against a healthy target taken for failing. */
static void test_levels_(void)
{
	static const struct {
		const char *name;
		double factor; /* of the healthy latency */
		double errors; /* share of the requests */
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

				send_request_(
					&fixture,
					(mmx_time_t)(cases[i].factor *
						     (double)healthy_latency_(
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

/* Guards against a stall that is detected only when requests time out, and
 * against a single old request that makes a target failing. */
static void test_request_age_(void)
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
		/* Abandoned requests must not clear the evidence of age. */
		mmx_detection_evaluate(fixture.detection);
		CU_ASSERT_EQUAL(mmx_detection_level(fixture.detection),
				cases[i].level);
		tear_down_(&fixture);
	}
}

/* Guards against a refused connection that counts like any other error, and
 * against a target that is cleared by a single success. */
static void test_connection_refused_(void)
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
		send_request_(&fixture, MS, MMX_RESULT_SUCCESS, false);
	}
	CU_ASSERT_EQUAL(mmx_detection_level(fixture.detection),
			MMX_HEALTH_HEALTHY);
	tear_down_(&fixture);
}

/* Guards against a failing target that is cleared by time or by a slow trial,
 * and against two trials at the same time. */
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
			send_request_(&fixture, 90 * MS, MMX_RESULT_SUCCESS,
				      false);
		mmx_clock_advance(fixture.clock, 3600 * MMX_US_PER_S);
		mmx_detection_evaluate(fixture.detection);
		CU_ASSERT_EQUAL(mmx_detection_level(fixture.detection),
				MMX_HEALTH_FAILING);
		for (n = 0; n < 4 && cases[i].latency[n]; n++)
			send_request_(&fixture, cases[i].latency[n],
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

/* Guards against a slow target that appears fast since its requests fail early
 * or are abandoned early. */
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
			send_request_(&fixture, 90 * MS, MMX_RESULT_SUCCESS,
				      false);
		before = mmx_detection_score(fixture.detection);
		CU_ASSERT_TRUE(before > 0);
		for (n = 0; n < 3; n++)
			send_request_(&fixture, MS / 2, results[i], false);
		/* Only decay lowers it, by less than 0.1% here. */
		CU_ASSERT_TRUE(mmx_detection_score(fixture.detection) >
			       before * 0.999);
		tear_down_(&fixture);
	}
}

/* Guards against a suspect target without peers to compare it with, or whose
 * peers have the same error rate. */
static void test_no_outlier_(void)
{
	mmx_latency_summary_t peers = {.requests = 1000, .errors = 400};
	mmx_latency_summary_t none = {.requests = 0};
	fixture_t fixture;
	int n;

	set_up_(&fixture, 100);
	mmx_detection_set_peers(fixture.detection, &none);
	for (n = 0; n < 100; n++)
		send_request_(&fixture, 5000 * MS, MMX_RESULT_SUCCESS, false);
	CU_ASSERT_EQUAL(mmx_detection_score(fixture.detection), 0);
	mmx_detection_set_peers(fixture.detection, &peers);
	for (n = 0; n < 500; n++)
		send_request_(&fixture, MS,
			      n % 5 < 2 ? MMX_RESULT_ERROR : MMX_RESULT_SUCCESS,
			      false);
	CU_ASSERT_EQUAL(mmx_detection_level(fixture.detection),
			MMX_HEALTH_HEALTHY);
	tear_down_(&fixture);
}

/* Guards against thresholds that do not decrease with the weight. */
static void test_weights_(void)
{
	mmx_detection_thresholds_t last;
	mmx_detection_thresholds_t thresholds;
	int weight;

	mmx_detection_thresholds(0, &last);
	for (weight = 1; weight <= 100; weight++) {
		mmx_detection_thresholds((uint8_t)weight, &thresholds);
		CU_ASSERT_TRUE(thresholds.failing < last.failing);
		CU_ASSERT_TRUE(thresholds.suspect < last.suspect);
		CU_ASSERT_TRUE(thresholds.suspect_age < last.suspect_age);
		CU_ASSERT_TRUE(thresholds.suspect < thresholds.failing);
		CU_ASSERT_TRUE(thresholds.request_max - thresholds.drift <
			       thresholds.failing);
		last = thresholds;
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

static mmx_time_t apply_path_step_(mmx_path_t *path, path_step_t step,
				   mmx_time_t now)
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

/* Guards against a path that is blamed for a slow target, and against a path
 * that stays in use although attempts on it are lost. */
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
			now = apply_path_step_(&path, cases[i].steps[n], now);
			mmx_path_evaluate(&path, now);
		}
		CU_ASSERT_EQUAL(mmx_path_level(&path), cases[i].level);
		if (cases[i].kind)
			CU_ASSERT_EQUAL(mmx_path_evidence(&path)->kind,
					cases[i].kind);
	}
}

CU_TestInfo mmx_tests_detection[] = {
	{"failing targets are detected, healthy ones are not", test_levels_},
	{"the age of requests in progress is evidence", test_request_age_},
	{"a refused connection makes a target failing",
	 test_connection_refused_},
	{"only successful trials clear a failing target", test_trials_},
	{"errors and abandoned requests do not improve the score",
	 test_early_end_},
	{"no target is suspect without an outlier", test_no_outlier_},
	{"thresholds decrease with the weight", test_weights_},
	{"failures of path and target are distinguished", test_path_},
	CU_TEST_INFO_NULL,
};
