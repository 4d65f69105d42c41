#include "suites.h"

#include <glib.h>

#include "private/target_probe.h"

typedef struct probe_case_t {
	const char *description;
	int status;
	const char *name; /* that the target tells; NULL: none */
	const char *load;
	int slots; /* announced; 0: no announcement */
} probe_case_t;

static const probe_case_t cases_[] = {
	{"healthy", 200, "i-1", "0,0,3", 3},
	{"busy", 200, "i-1", "3,7,3", 3},
	{"most slots", 200, "i-1", "0,0,65535", 65535},
	{"leaving or failing", 503, "i-1", "0,0,3", 0},
	{"moved", 302, "i-1", "0,0,3", 0},
	{"no name", 200, NULL, "0,0,3", 0},
	{"empty name", 200, "", "0,0,3", 0},
	{"slash in the name", 200, "i/1", "0,0,3", 0},
	{"no load", 200, "i-1", NULL, 0},
	{"empty load", 200, "i-1", "", 0},
	{"two figures", 200, "i-1", "0,3", 0},
	{"no figures", 200, "i-1", "a,b,c", 0},
	{"no slots", 200, "i-1", "0,0,0", 0},
	{"negative slots", 200, "i-1", "0,0,-3", 0},
	{"too many slots", 200, "i-1", "0,0,65536", 0},
	{"more digits than are read", 200, "i-1", "0,0,99999999999", 0},
};

/* Guards against a target that is used on a wrong name or without knowing its
 * slots after a restart of the node, and against a false start that lasts: the
 * announcement is marked as assumed, so that a real one replaces it. */
static void test_answers_(void)
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
	{"answers to the probe", test_answers_},
	CU_TEST_INFO_NULL,
};
