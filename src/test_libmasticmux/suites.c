#include "suites.h"

CU_SuiteInfo mmx_test_suites[] = {
	{"balance", NULL, NULL, NULL, NULL, mmx_tests_balance},
	{"clock", NULL, NULL, NULL, NULL, mmx_tests_clock},
	{"detection", NULL, NULL, NULL, NULL, mmx_tests_detection},
	{"ejection", NULL, NULL, NULL, NULL, mmx_tests_ejection},
	{"error", NULL, NULL, NULL, NULL, mmx_tests_error},
	{"latency", NULL, NULL, NULL, NULL, mmx_tests_latency},
	{"retry", NULL, NULL, NULL, NULL, mmx_tests_retry},
	{"task", NULL, NULL, NULL, NULL, mmx_tests_task},
	CU_SUITE_INFO_NULL,
};
