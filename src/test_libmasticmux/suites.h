/* One table of tests per module, joined in suites.c. */
#ifndef MASTICMUX_TEST_SUITES_H
#define MASTICMUX_TEST_SUITES_H

#include <CUnit/CUnit.h>

extern CU_TestInfo mmx_tests_clock[];
extern CU_TestInfo mmx_tests_config[];
extern CU_TestInfo mmx_tests_config_wire[];
extern CU_TestInfo mmx_tests_error[];
extern CU_TestInfo mmx_tests_fold[];
extern CU_TestInfo mmx_tests_log_client[];
extern CU_TestInfo mmx_tests_publish[];
extern CU_TestInfo mmx_tests_snapshot[];
extern CU_TestInfo mmx_tests_task[];

extern CU_SuiteInfo mmx_test_suites[];

#endif
