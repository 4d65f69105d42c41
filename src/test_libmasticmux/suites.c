#include "suites.h"

CU_SuiteInfo mmx_test_suites[] = {
	{"clock", NULL, NULL, NULL, NULL, mmx_tests_clock},
	{"directory", NULL, NULL, NULL, NULL, mmx_tests_directory},
	{"error", NULL, NULL, NULL, NULL, mmx_tests_error},
	{"gossip", NULL, NULL, NULL, NULL, mmx_tests_gossip},
	{"gossip_codec", NULL, NULL, NULL, NULL, mmx_tests_gossip_codec},
	{"membership", NULL, NULL, NULL, NULL, mmx_tests_membership},
	{"task", NULL, NULL, NULL, NULL, mmx_tests_task},
	CU_SUITE_INFO_NULL,
};
