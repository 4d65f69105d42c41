#include "suites.h"

CU_SuiteInfo mmx_test_suites[] = {
	{"address", NULL, NULL, NULL, NULL, mmx_tests_address},
	{"change", NULL, NULL, NULL, NULL, mmx_tests_change},
	{"change json", NULL, NULL, NULL, NULL, mmx_tests_change_json},
	{"clock", NULL, NULL, NULL, NULL, mmx_tests_clock},
	{"error", NULL, NULL, NULL, NULL, mmx_tests_error},
	{"mutation", NULL, NULL, NULL, NULL, mmx_tests_mutation},
	{"policy", NULL, NULL, NULL, NULL, mmx_tests_policy},
	{"schema", NULL, NULL, NULL, NULL, mmx_tests_schema},
	{"settings", NULL, NULL, NULL, NULL, mmx_tests_settings},
	{"task", NULL, NULL, NULL, NULL, mmx_tests_task},
	CU_SUITE_INFO_NULL,
};
