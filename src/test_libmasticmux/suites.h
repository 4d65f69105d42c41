/* One table of tests per module, joined in suites.c. */
#ifndef MASTICMUX_TEST_SUITES_H
#define MASTICMUX_TEST_SUITES_H

#include <CUnit/CUnit.h>

extern CU_TestInfo mmx_tests_announce[];
extern CU_TestInfo mmx_tests_clock[];
extern CU_TestInfo mmx_tests_directory[];
extern CU_TestInfo mmx_tests_error[];
extern CU_TestInfo mmx_tests_exporter[];
extern CU_TestInfo mmx_tests_http_entry[];
extern CU_TestInfo mmx_tests_http_reader[];
extern CU_TestInfo mmx_tests_operator[];
extern CU_TestInfo mmx_tests_target_client[];
extern CU_TestInfo mmx_tests_task[];
extern CU_TestInfo mmx_tests_trace[];

extern CU_SuiteInfo mmx_test_suites[];

#endif
