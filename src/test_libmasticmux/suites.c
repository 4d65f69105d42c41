#include "suites.h"

CU_SuiteInfo mmx_test_suites[] = {
	{"clock", NULL, NULL, NULL, NULL, mmx_tests_clock},
	{"directory", NULL, NULL, NULL, NULL, mmx_tests_directory},
	{"error", NULL, NULL, NULL, NULL, mmx_tests_error},
	{"membership", NULL, NULL, NULL, NULL, mmx_tests_membership},
	{"task", NULL, NULL, NULL, NULL, mmx_tests_task},
	CU_SUITE_INFO_NULL,
};
