#include "suites.h"

CU_SuiteInfo mmx_test_suites[] = {
	{"address", NULL, NULL, NULL, NULL, mmx_tests_address},
	{"change json", NULL, NULL, NULL, NULL, mmx_tests_change_json},
	{"change", NULL, NULL, NULL, NULL, mmx_tests_change},
	{"claims", NULL, NULL, NULL, NULL, mmx_tests_claims},
	{"clock", NULL, NULL, NULL, NULL, mmx_tests_clock},
	{"config", NULL, NULL, NULL, NULL, mmx_tests_config},
	{"directory", NULL, NULL, NULL, NULL, mmx_tests_directory},
	{"error", NULL, NULL, NULL, NULL, mmx_tests_error},
	{"fold", NULL, NULL, NULL, NULL, mmx_tests_fold},
	{"history", NULL, NULL, NULL, NULL, mmx_tests_history},
	{"membership", NULL, NULL, NULL, NULL, mmx_tests_membership},
	{"mutation", NULL, NULL, NULL, NULL, mmx_tests_mutation},
	{"peer", NULL, NULL, NULL, NULL, mmx_tests_peer},
	{"policy", NULL, NULL, NULL, NULL, mmx_tests_policy},
	{"schema", NULL, NULL, NULL, NULL, mmx_tests_schema},
	{"settings", NULL, NULL, NULL, NULL, mmx_tests_settings},
	{"snapshot", NULL, NULL, NULL, NULL, mmx_tests_snapshot},
	{"task", NULL, NULL, NULL, NULL, mmx_tests_task},
	CU_SUITE_INFO_NULL,
};
