/* One table of tests per module, joined in suites.c. */
#ifndef MASTICMUX_TEST_SUITES_H
#define MASTICMUX_TEST_SUITES_H

#include <CUnit/CUnit.h>

extern CU_TestInfo mmx_tests_clock[];
extern CU_TestInfo mmx_tests_directory[];
extern CU_TestInfo mmx_tests_error[];
extern CU_TestInfo mmx_tests_hostile[];
extern CU_TestInfo mmx_tests_peer[];
extern CU_TestInfo mmx_tests_peer_faults[];
extern CU_TestInfo mmx_tests_rpc[];
extern CU_TestInfo mmx_tests_session[];
extern CU_TestInfo mmx_tests_task[];
extern CU_TestInfo mmx_tests_wire[];

extern CU_SuiteInfo mmx_test_suites[];

#endif
