#include "suites.h"

CU_SuiteInfo mmx_test_suites[] = {
	{"announce", NULL, NULL, NULL, NULL, mmx_tests_announce},
	{"clock", NULL, NULL, NULL, NULL, mmx_tests_clock},
	{"directory", NULL, NULL, NULL, NULL, mmx_tests_directory},
	{"error", NULL, NULL, NULL, NULL, mmx_tests_error},
	{"exporter", NULL, NULL, NULL, NULL, mmx_tests_exporter},
	{"http_entry", NULL, NULL, NULL, NULL, mmx_tests_http_entry},
	{"http_reader", NULL, NULL, NULL, NULL, mmx_tests_http_reader},
	{"operator", NULL, NULL, NULL, NULL, mmx_tests_operator},
	{"target_client", NULL, NULL, NULL, NULL, mmx_tests_target_client},
	{"task", NULL, NULL, NULL, NULL, mmx_tests_task},
	{"trace", NULL, NULL, NULL, NULL, mmx_tests_trace},
	CU_SUITE_INFO_NULL,
};
