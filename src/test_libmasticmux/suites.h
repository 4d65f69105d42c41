/* One table of tests per module, joined in suites.c. */
#ifndef MASTICMUX_TEST_SUITES_H
#define MASTICMUX_TEST_SUITES_H

#include <CUnit/CUnit.h>

extern CU_TestInfo mmx_tests_balance[];
extern CU_TestInfo mmx_tests_clock[];
extern CU_TestInfo mmx_tests_detection[];
extern CU_TestInfo mmx_tests_ejection[];
extern CU_TestInfo mmx_tests_error[];
extern CU_TestInfo mmx_tests_latency[];
extern CU_TestInfo mmx_tests_retry[];
extern CU_TestInfo mmx_tests_task[];

extern CU_SuiteInfo mmx_test_suites[];

#endif
