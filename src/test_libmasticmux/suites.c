#include "suites.h"

CU_SuiteInfo mmx_test_suites[] = {
	{"claims", NULL, NULL, NULL, NULL, mmx_tests_claims},
	{"clock", NULL, NULL, NULL, NULL, mmx_tests_clock},
	{"config", NULL, NULL, NULL, NULL, mmx_tests_config},
	{"directory", NULL, NULL, NULL, NULL, mmx_tests_directory},
	{"error", NULL, NULL, NULL, NULL, mmx_tests_error},
	{"fold", NULL, NULL, NULL, NULL, mmx_tests_fold},
	{"gossip", NULL, NULL, NULL, NULL, mmx_tests_gossip},
	{"gossip_codec", NULL, NULL, NULL, NULL, mmx_tests_gossip_codec},
	{"history", NULL, NULL, NULL, NULL, mmx_tests_history},
	{"membership", NULL, NULL, NULL, NULL, mmx_tests_membership},
	{"peer", NULL, NULL, NULL, NULL, mmx_tests_peer},
	{"rpc", NULL, NULL, NULL, NULL, mmx_tests_rpc},
	{"session", NULL, NULL, NULL, NULL, mmx_tests_session},
	{"snapshot", NULL, NULL, NULL, NULL, mmx_tests_snapshot},
	{"task", NULL, NULL, NULL, NULL, mmx_tests_task},
	{"wire", NULL, NULL, NULL, NULL, mmx_tests_wire},
	CU_SUITE_INFO_NULL,
};
