/* One table of tests per module, joined in suites.c. */
#ifndef MASTICMUX_TEST_SUITES_H
#define MASTICMUX_TEST_SUITES_H

#include <CUnit/CUnit.h>

extern CU_TestInfo mmx_tests_attempts[];
extern CU_TestInfo mmx_tests_clock[];
extern CU_TestInfo mmx_tests_directory[];
extern CU_TestInfo mmx_tests_entry[];
extern CU_TestInfo mmx_tests_error[];
extern CU_TestInfo mmx_tests_exit[];
extern CU_TestInfo mmx_tests_exit_target[];
extern CU_TestInfo mmx_tests_filter[];
extern CU_TestInfo mmx_tests_task[];

extern CU_SuiteInfo mmx_test_suites[];

#endif
