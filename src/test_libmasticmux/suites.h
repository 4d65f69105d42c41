/* One table of tests per module, joined in suites.c. */
#ifndef MASTICMUX_TEST_SUITES_H
#define MASTICMUX_TEST_SUITES_H

#include <CUnit/CUnit.h>

extern CU_TestInfo mmx_tests_address[];
extern CU_TestInfo mmx_tests_change[];
extern CU_TestInfo mmx_tests_change_json[];
extern CU_TestInfo mmx_tests_claims[];
extern CU_TestInfo mmx_tests_clock[];
extern CU_TestInfo mmx_tests_config[];
extern CU_TestInfo mmx_tests_directory[];
extern CU_TestInfo mmx_tests_error[];
extern CU_TestInfo mmx_tests_fold[];
extern CU_TestInfo mmx_tests_history[];
extern CU_TestInfo mmx_tests_membership[];
extern CU_TestInfo mmx_tests_mutation[];
extern CU_TestInfo mmx_tests_peer[];
extern CU_TestInfo mmx_tests_policy[];
extern CU_TestInfo mmx_tests_schema[];
extern CU_TestInfo mmx_tests_settings[];
extern CU_TestInfo mmx_tests_snapshot[];
extern CU_TestInfo mmx_tests_task[];

extern CU_SuiteInfo mmx_test_suites[];

#endif
