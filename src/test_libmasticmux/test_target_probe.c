#include "suites.h"

#include <glib.h>

#include "private/target_probe.h"

typedef struct probe_case_t {
	const char *description;
	int status;
	const char *name; /* header; NULL: absent */
	const char *load; /* header; NULL: absent */
	int slots;	  /* expected in the announcement; 0: none expected */
} probe_case_t;

static const probe_case_t cases_[] = {
	{"healthy", 200, "i-1", "0,0,3", 3},
	{"busy", 200, "i-1", "3,7,3", 3},
	{"most slots", 200, "i-1", "0,0,65535", 65535},
	{"draining or failing", 503, "i-1", "0,0,3", 0},
	{"redirect", 302, "i-1", "0,0,3", 0},
	{"no name", 200, NULL, "0,0,3", 0},
	{"empty name", 200, "", "0,0,3", 0},
	{"slash in the name", 200, "i/1", "0,0,3", 0},
	{"no load", 200, "i-1", NULL, 0},
	{"empty load", 200, "i-1", "", 0},
	{"two numbers", 200, "i-1", "0,3", 0},
	{"no numbers", 200, "i-1", "a,b,c", 0},
	{"no slots", 200, "i-1", "0,0,0", 0},
	{"negative slots", 200, "i-1", "0,0,-3", 0},
	{"too many slots", 200, "i-1", "0,0,65536", 0},
	{"more digits than are read", 200, "i-1", "0,0,99999999999", 0},
};

/* Guards against a target that is used under a wrong name or without a known
 * number of slots after a restart of the node. The announcement is marked as
 * assumed, so that a wrong one is replaced by the first real one. */
static void test_responses_(void)
{
	const mmx_target_probe_config_t config = {
		.service = "shop",
		.address = {.host = "127.0.0.1", .port = 80},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases_); i++) {
		const probe_case_t *item = &cases_[i];
		mmx_target_announced_t *announced =
			mmx_target_probe_parse_response(&config, item->status,
							item->name, item->load);

		CU_ASSERT_EQUAL(announced != NULL, item->slots > 0);
		if ((announced != NULL) != (item->slots > 0))
			printf("\n%s\n", item->description);
		if (!announced)
			continue;
		CU_ASSERT_STRING_EQUAL(announced->name, item->name);
		CU_ASSERT_STRING_EQUAL(announced->service, "shop");
		CU_ASSERT_EQUAL(announced->address.port, 80);
		CU_ASSERT_EQUAL(announced->slots, item->slots);
		CU_ASSERT_EQUAL(announced->state, MMX_TARGET_WARM);
		CU_ASSERT_TRUE(announced->assumed);
		mmx_message_destroy(&announced->message);
	}
}

CU_TestInfo mmx_tests_target_probe[] = {
	{"responses to the probe", test_responses_},
	CU_TEST_INFO_NULL,
};
