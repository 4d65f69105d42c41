#include "suites.h"

#include <glib.h>
#include <string.h>

#include "masticmux/policy.h"

typedef struct method_case_t {
	const char *text;
	mmx_method_t method;
} method_case_t;

/* Guards against a method that is parsed as another, repeatable one. */
static void test_methods_(void)
{
	static const method_case_t cases[] = {
		{"GET", MMX_METHOD_GET},       {"HEAD", MMX_METHOD_HEAD},
		{"POST", MMX_METHOD_POST},     {"PUT", MMX_METHOD_PUT},
		{"DELETE", MMX_METHOD_DELETE}, {"OPTIONS", MMX_METHOD_OPTIONS},
		{"PATCH", MMX_METHOD_PATCH},   {"get", MMX_METHOD_OTHER},
		{"GETS", MMX_METHOD_OTHER},    {"", MMX_METHOD_OTHER},
		{"OTHER", MMX_METHOD_OTHER},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		CU_ASSERT_EQUAL(mmx_method_parse(cases[i].text),
				cases[i].method);
}

/* Guards against an override that changes a field that it does not hold, or
 * leaves one that it holds. */
static void test_apply_(void)
{
	static const mmx_policy_override_t all = {
		.fields = MMX_POLICY_BIT(MMX_POLICY_FIELD_COUNT) - 1,
		.values = {1, 2, 3, 4, 5, 6, 7},
	};
	int field;

	for (field = 0; field < MMX_POLICY_FIELD_COUNT; field++) {
		mmx_policy_override_t one = all;
		mmx_policy_t policy = {.deadline = 0};
		int64_t values[MMX_POLICY_FIELD_COUNT];
		int other;

		one.fields = MMX_POLICY_BIT(field);
		mmx_policy_apply(&policy, &one);
		values[MMX_POLICY_DEADLINE] = policy.deadline;
		values[MMX_POLICY_REPEATABLE] = policy.repeatable;
		values[MMX_POLICY_FLOOR_PERCENT] = policy.floor_percent;
		values[MMX_POLICY_FLOOR_SLOTS] = policy.floor_slots;
		values[MMX_POLICY_DETECTION_WEIGHT] = policy.detection_weight;
		values[MMX_POLICY_RETRY_PERCENT] = policy.retry_percent;
		values[MMX_POLICY_WARM_UP] = policy.warm_up;
		for (other = 0; other < MMX_POLICY_FIELD_COUNT; other++)
			CU_ASSERT_EQUAL(values[other],
					other == field ? field + 1 : 0);
	}
}

CU_TestInfo mmx_tests_policy[] = {
	{"methods are parsed exactly", test_methods_},
	{"an override changes only its fields", test_apply_},
	CU_TEST_INFO_NULL,
};
