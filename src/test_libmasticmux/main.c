/* Runs every suite; exits 1 if a check failed. */
#include <CUnit/Basic.h>
#include <signal.h>

#include "suites.h"

int main(void)
{
	unsigned int failures;

	/* As in a node: writing to a closed connection is an error only. */
	signal(SIGPIPE, SIG_IGN);
	if (CU_initialize_registry() != CUE_SUCCESS)
		return 1;
	if (CU_register_suites(mmx_test_suites) != CUE_SUCCESS) {
		fprintf(stderr, "%s\n", CU_get_error_msg());
		return 1;
	}
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
