#include "suites.h"

CU_SuiteInfo mmx_test_suites[] = {
	{"clock", NULL, NULL, NULL, NULL, mmx_tests_clock},
	{"config", NULL, NULL, NULL, NULL, mmx_tests_config},
	{"error", NULL, NULL, NULL, NULL, mmx_tests_error},
	{"fold", NULL, NULL, NULL, NULL, mmx_tests_fold},
	{"publish", NULL, NULL, NULL, NULL, mmx_tests_publish},
	{"snapshot", NULL, NULL, NULL, NULL, mmx_tests_snapshot},
	{"task", NULL, NULL, NULL, NULL, mmx_tests_task},
	CU_SUITE_INFO_NULL,
};
