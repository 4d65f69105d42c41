#include "suites.h"

#include "target_setup.h"

#define FRESH_WITHIN (1 * MMX_US_PER_S)
#define PLAIN LINE "Content-Length: 0\r\n\r\n"
#define TOLD(value) LINE "Keep-Alive: " value "\r\nContent-Length: 0\r\n\r\n"

typedef struct reuse_case_t {
	const char *name;
	const char *response;
	mmx_time_t fresh_within; /* microseconds; 0: as by default */
	int idle_ms;
	bool repeatable;
	bool reused;
} reuse_case_t;

static const reuse_case_t cases_[] = {
	{"any connection by default", PLAIN, 0, 5000, false, true},
	{"new enough", PLAIN, FRESH_WITHIN, 900, false, true},
	{"too old", PLAIN, FRESH_WITHIN, 1100, false, false},
	{"old, but the call may be repeated", PLAIN, FRESH_WITHIN, 5000, true,
	 true},
	{"before the time the target told", TOLD("timeout=5"), 0, 3900, true,
	 true},
	{"shortly before the target closes", TOLD("max=9, timeout=5"), 0, 4100,
	 true, false},
	{"within half of a short time", TOLD("timeout=1"), 0, 400, true, true},
	{"after half of a short time", TOLD("timeout=1"), 0, 600, true, false},
	{"a time that is no number", TOLD("timeout=x"), 0, 5000, true, true},
	{"a time out of range", TOLD("timeout=0"), 0, 5000, true, true},
};

static bool run_case_(const reuse_case_t *item)
{
	setup_t setup;
	mmx_call_t *call;
	bool good;

	target_setup_create_paused(&setup);
	if (item->fresh_within)
		mmx_target_client_set_nonrepeatable_idle_max(
			setup.client, item->fresh_within);
	mmx_target_client_init(setup.client);
	setup.target.response = item->response;
	target_setup_post(&setup, target_setup_call(&setup, "GET"));
	good = target_setup_finish(&setup);
	mmx_clock_advance(mmx_runtime_clock(setup.fixture.runtime),
			  item->idle_ms * MMX_US_PER_MS);
	call = target_setup_call(&setup, "POST");
	call->repeatable = item->repeatable;
	target_setup_post(&setup, call);
	good = target_setup_finish(&setup) && good && setup.exit.heads == 2 &&
	       setup.target.accepted == (item->reused ? 1 : 2);
	if (!good)
		printf("\n%s: heads %d accepted %d\n", item->name,
		       setup.exit.heads, setup.target.accepted);
	target_setup_close(&setup);
	return good;
}

/* Guards against a call that may not be repeated on a connection that the
 * target has forgotten or is about to close: it fails, and nobody knows
 * whether it has run. */
static void test_idle_connections_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases_); i++)
		CU_ASSERT_TRUE(run_case_(&cases_[i]));
}

CU_TestInfo mmx_tests_target_reuse[] = {
	{"idle connections", test_idle_connections_},
	CU_TEST_INFO_NULL,
};
