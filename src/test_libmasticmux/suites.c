#include "suites.h"

CU_SuiteInfo mmx_test_suites[] = {
	{"clock", NULL, NULL, NULL, NULL, mmx_tests_clock},
	{"directory", NULL, NULL, NULL, NULL, mmx_tests_directory},
	{"error", NULL, NULL, NULL, NULL, mmx_tests_error},
	{"hostile", NULL, NULL, NULL, NULL, mmx_tests_hostile},
	{"peer", NULL, NULL, NULL, NULL, mmx_tests_peer},
	{"peer-faults", NULL, NULL, NULL, NULL, mmx_tests_peer_faults},
	{"rpc", NULL, NULL, NULL, NULL, mmx_tests_rpc},
	{"session", NULL, NULL, NULL, NULL, mmx_tests_session},
	{"task", NULL, NULL, NULL, NULL, mmx_tests_task},
	{"wire", NULL, NULL, NULL, NULL, mmx_tests_wire},
	CU_SUITE_INFO_NULL,
};
