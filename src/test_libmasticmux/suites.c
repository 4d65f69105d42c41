#include "suites.h"

CU_SuiteInfo mmx_test_suites[] = {
	{"clock", NULL, NULL, NULL, NULL, mmx_tests_clock},
	{"directory", NULL, NULL, NULL, NULL, mmx_tests_directory},
	{"error", NULL, NULL, NULL, NULL, mmx_tests_error},
	{"http_entry", NULL, NULL, NULL, NULL, mmx_tests_http_entry},
	{"http_reader", NULL, NULL, NULL, NULL, mmx_tests_http_reader},
	{"target_client", NULL, NULL, NULL, NULL, mmx_tests_target_client},
	{"task", NULL, NULL, NULL, NULL, mmx_tests_task},
	CU_SUITE_INFO_NULL,
};
