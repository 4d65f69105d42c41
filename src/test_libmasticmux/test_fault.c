#include "suites.h"

#include <glib.h>

#include "private/fault.h"

#define MS MMX_US_PER_MS

/* results, in order: s success, b broken, f failure status, l late, o overdue;
 * a digit is a pause of that many seconds. */
typedef struct result_case_t {
	const char *name;
	const char *results;
	bool expected;
} result_case_t;

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

typedef bool (*query_fn_t)(const mmx_fault_t *fault, mmx_time_t now);

static void check_cases_(const result_case_t *cases, size_t count,
			 query_fn_t query)
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
		if (query(&fault, now) != cases[i].expected)
			printf("%s: probability %.2f\n", cases[i].name,
			       mmx_fault_probability(&fault, now));
		CU_ASSERT_EQUAL(query(&fault, now), cases[i].expected);
	}
}

/*
 * Load pattern: few requests per target, and about a tenth of the targets fails
 * most of its requests for some seconds. Guards against requests that cannot be
 * repeated being sent to a target whose connection has just broken, against a
 * healthy target that is avoided for a single failure status, and against a
 * target that is still avoided after its episode.
 */
static void test_episodes_at_low_rates_(void)
{
	static const result_case_t cases[] = {
		{"no results", "", false},
		{"one broken connection is enough", "b", true},
		{"also after many successes", "ssssssssssb", true},
		{"one failure status is not", "sssf", false},
		{"several failure statuses are", "sffff", true},
		{"one late answer is not", "ssl", false},
		{"two successes clear it", "bss", false},
		{"one success does not", "bs", true},
		{"time clears it", "b6", false},
		{"not at once", "b1", true},
		{"a failure in between counts again", "bsbs", true},
	};
	check_cases_(cases, G_N_ELEMENTS(cases), mmx_fault_is_suspect);
}

/*
 * Load pattern: as above. Guards against requests that cannot be repeated being
 * sent to a target after a single success, although one request in six succeeds
 * during an episode, and against a target that is avoided long after its
 * episode.
 */
static void test_elevated_after_episodes_(void)
{
	static const result_case_t cases[] = {
		{"no results", "", false},
		{"successes", "sss", false},
		{"a success long ago", "s9", false},
		{"a failure after successes", "sssb", true},
		{"one success after it", "sssbs", true},
		{"two successes after it", "sssbss", false},
		{"one success after two failures", "sbbs", true},
		{"one failure status", "sssf", false},
		{"an overdue request", "ssso", true},
		{"while its episode may last", "ssso6", true},
		{"after two mean episodes", "ssso93", false},
		{"after four, where it was a failure", "sssb996", false},
	};

	check_cases_(cases, G_N_ELEMENTS(cases), mmx_fault_is_elevated);
}

/*
 * Load pattern: a busy service with targets that break each connection
 * immediately. Guards against a failing target that gets as many reads as a
 * healthy one, each of which then has to be repeated, and against a pause after
 * the end of an episode.
 */
static void test_pause_between_trials_(void)
{
	static const result_case_t cases[] = {
		{"just failed", "b", false},
		{"a second later", "b1", true},
		{"failed once more", "b1b", false},
		{"no pause after a success", "b1s", true},
		{"also while it is suspect", "bbb1s", true},
		{"a failure status counts", "ffff", false},
		{"never failed", "s", true},
	};

	check_cases_(cases, G_N_ELEMENTS(cases), mmx_fault_trial_allowed);
}

/*
 * Load pattern: half of the targets of a service are suspect and the others are
 * full. Guards against suspects that serve one request at a time although they
 * are as likely to be healthy as not, and against slots that are filled with
 * requests at a target that is almost certain to fail.
 */
static void test_trial_slots_(void)
{
	static const struct {
		const char *name;
		double probability;
		unsigned int slots;
		unsigned int expected;
	} cases[] = {
		{"as likely as not, many slots", 0.5, 8, 2},
		{"a little less likely to fail", 0.41, 8, 2},
		{"likely to fail", 0.8, 8, 1},
		{"almost certain to fail", 0.97, 64, 1},
		{"as likely as not, few slots", 0.5, 4, 1},
		{"one slot", 0.5, 1, 1},
		{"very many slots", 0.5, 64, 16},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_fault_t fault;

		mmx_fault_init(&fault, 0);
		fault.failing_probability = cases[i].probability;
		if (mmx_fault_trial_slots(&fault, cases[i].slots, 0) !=
		    cases[i].expected)
			printf("%s: %u\n", cases[i].name,
			       mmx_fault_trial_slots(&fault, cases[i].slots,
						     0));
		CU_ASSERT_EQUAL(
			mmx_fault_trial_slots(&fault, cases[i].slots, 0),
			cases[i].expected);
	}
}

/* Guards against a probability of 0 or 1 after many results, which no later
 * result could change. */
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
	{"elevated probability after failure episodes",
	 test_elevated_after_episodes_},
	{"pause between trials of failing targets", test_pause_between_trials_},
	{"slots for trials at a suspect target", test_trial_slots_},
	{"the probability stays within its bounds", test_range_},
	CU_TEST_INFO_NULL,
};
