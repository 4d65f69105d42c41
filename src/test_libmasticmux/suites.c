#include "suites.h"

CU_SuiteInfo mmx_test_suites[] = {
	{"attempts", NULL, NULL, NULL, NULL, mmx_tests_attempts},
	{"clock", NULL, NULL, NULL, NULL, mmx_tests_clock},
	{"directory", NULL, NULL, NULL, NULL, mmx_tests_directory},
	{"entry", NULL, NULL, NULL, NULL, mmx_tests_entry},
	{"error", NULL, NULL, NULL, NULL, mmx_tests_error},
	{"exit", NULL, NULL, NULL, NULL, mmx_tests_exit},
	{"exit_target", NULL, NULL, NULL, NULL, mmx_tests_exit_target},
	{"filter", NULL, NULL, NULL, NULL, mmx_tests_filter},
	{"task", NULL, NULL, NULL, NULL, mmx_tests_task},
	CU_SUITE_INFO_NULL,
};
