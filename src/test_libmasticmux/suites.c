#include "suites.h"

CU_SuiteInfo mmx_test_suites[] = {
	{"clock", NULL, NULL, NULL, NULL, mmx_tests_clock},
	{"config", NULL, NULL, NULL, NULL, mmx_tests_config},
	{"config_wire", NULL, NULL, NULL, NULL, mmx_tests_config_wire},
	{"error", NULL, NULL, NULL, NULL, mmx_tests_error},
	{"fold", NULL, NULL, NULL, NULL, mmx_tests_fold},
	{"log_client", NULL, NULL, NULL, NULL, mmx_tests_log_client},
	{"publish", NULL, NULL, NULL, NULL, mmx_tests_publish},
	{"snapshot", NULL, NULL, NULL, NULL, mmx_tests_snapshot},
	{"task", NULL, NULL, NULL, NULL, mmx_tests_task},
	CU_SUITE_INFO_NULL,
};
