#include "suites.h"

#include <glib.h>

#include "private/fault.h"

#define MS MMX_US_PER_MS

/* Results in order: s success, b broken, f failing status, l late, o overdue;
 * a digit waits that many seconds. */
typedef struct case_t {
	const char *name;
	const char *results;
	bool expected;
} case_t;

static mmx_fault_result_t result_(char c)
{
	switch (c) {
	case 'b':
		return MMX_FAULT_BROKEN;
	case 'f':
		return MMX_FAULT_STATUS;
	case 'l':
		return MMX_FAULT_LATE;
	case 'o':
		return MMX_FAULT_OVERDUE;
	default:
		return MMX_FAULT_SUCCESS;
	}
}

typedef bool (*question_t)(const mmx_fault_t *fault, mmx_time_t now);

static void run_(const case_t *cases, size_t count, question_t question)
{
	size_t i;

	for (i = 0; i < count; i++) {
		const char *c;
		mmx_time_t now = 0;
		mmx_fault_t fault;

		mmx_fault_init(&fault, now);
		for (c = cases[i].results; *c; c++) {
			if (g_ascii_isdigit(*c)) {
				now += (*c - '0') * MMX_US_PER_S;
				continue;
			}
			now += 100 * MS;
			mmx_fault_report(&fault, result_(*c), now);
		}
		if (question(&fault, now) != cases[i].expected)
			printf("%s: probability %.2f\n", cases[i].name,
			       mmx_fault_probability(&fault, now));
		CU_ASSERT_EQUAL(question(&fault, now), cases[i].expected);
	}
}

/*
 * Load pattern: few requests per target, about a tenth of the targets failing
 * most of theirs for some seconds. Guards against requests that may not be
 * repeated and go on to a target that has just broken one, against a sound
 * target that is left out for one failing status, and against a target that is
 * still left out after its episode.
 */
static void test_episodes_at_low_rates_(void)
{
	static const case_t cases[] = {
		{"nothing known", "", false},
		{"one broken connection is enough", "b", true},
		{"also after many successes", "ssssssssssb", true},
		{"one failing status is not", "sssf", false},
		{"several failing statuses are", "sffff", true},
		{"one late answer is not", "ssl", false},
		{"two successes clear it", "bss", false},
		{"one success does not", "bs", true},
		{"time clears it", "b6", false},
		{"not at once", "b1", true},
		{"a failure in between counts again", "bsbs", true},
	};
	run_(cases, G_N_ELEMENTS(cases), mmx_fault_is_suspect);
}

/*
 * Load pattern: as above. Guards against a target that gets requests whose
 * failure is final after a single success, which one request in six has in an
 * episode, and against one that is left out for long afterwards.
 */
static void test_doubt_after_episodes_(void)
{
	static const case_t cases[] = {
		{"nothing known", "", false},
		{"successes", "sss", false},
		{"a success long ago", "s9", false},
		{"a failure after successes", "sssb", true},
		{"one success after it", "sssbs", true},
		{"two successes after it", "sssbss", false},
		{"one success after two failures", "sbbs", true},
		{"one failing status", "sssf", false},
		{"an overdue request", "ssso", true},
		{"while its episode may last", "ssso6", true},
		{"after two mean episodes", "ssso93", false},
		{"after four, where it was a failure", "sssb996", false},
	};

	run_(cases, G_N_ELEMENTS(cases), mmx_fault_is_elevated);
}

/*
 * Load pattern: a busy service with targets that break each connection at
 * once. Guards against a failing target that gets as many reads as a sound
 * one, one after the other, each of which then needs a repeat; and against a
 * pause that holds up a target whose episode is over.
 */
static void test_pause_of_failing_targets_(void)
{
	static const case_t cases[] = {
		{"just failed", "b", false},
		{"a second later", "b1", true},
		{"failed once more", "b1b", false},
		{"a success goes on at once", "b1s", true},
		{"also while it is suspect", "bbb1s", true},
		{"a failing status counts", "ffff", false},
		{"never failed", "s", true},
	};

	run_(cases, G_N_ELEMENTS(cases), mmx_fault_trial_allowed);
}

/* Guards against an estimate that leaves the range after many results and can
 * then not return. */
static void test_range_(void)
{
	mmx_fault_t fault;
	mmx_time_t now = 0;
	int i;

	mmx_fault_init(&fault, 0);
	for (i = 0; i < 10000; i++) {
		mmx_fault_report(
			&fault, i < 5000 ? MMX_FAULT_BROKEN : MMX_FAULT_SUCCESS,
			now += MS);
		CU_ASSERT_TRUE(fault.failing_probability > 0 &&
			       fault.failing_probability < 1);
	}
	CU_ASSERT_FALSE(mmx_fault_is_suspect(&fault, now));
	mmx_fault_report(&fault, MMX_FAULT_BROKEN, now + 20 * MMX_US_PER_S);
	CU_ASSERT_TRUE(mmx_fault_is_suspect(&fault, now + 20 * MMX_US_PER_S));
}

CU_TestInfo mmx_tests_fault[] = {
	{"failure episodes at low rates", test_episodes_at_low_rates_},
	{"doubt after failure episodes", test_doubt_after_episodes_},
	{"pause of failing targets", test_pause_of_failing_targets_},
	{"the estimate stays in its range", test_range_},
	CU_TEST_INFO_NULL,
};
