#include "suites.h"

#include <glib.h>
#include <stdio.h>

#include "masticmux/history.h"

typedef struct collected_t {
	char text[256];
} collected_t;

static void collect_(void *arg, const mmx_history_event_t *event)
{
	collected_t *collected = arg;

	g_strlcat(collected->text, event->text, sizeof(collected->text));
	g_strlcat(collected->text, ";", sizeof(collected->text));
}

typedef struct buffer_case_t {
	const char *name;
	int events; /* of target 1, each followed by one of target 2 */
	size_t expected;
	const char *text;
} buffer_case_t;

/* Guards against events that are returned for another target, out of order or
 * after they were overwritten. */
static void test_ring_buffer_(void)
{
	static const buffer_case_t cases[] = {
		{"empty", 0, 0, ""},
		{"not full", 2, 2, "e0;e1;"},
		{"oldest overwritten", 5, 2, "e3;e4;"},
	};
	size_t i;
	int n;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_clock_t *clock = mmx_clock_create_paused();
		mmx_history_t *history = mmx_history_create(clock, 1, 4);
		collected_t collected = {""};

		for (n = 0; n < cases[i].events; n++) {
			mmx_history_target(history, 1, "e%d", n);
			mmx_history_target(history, 2, "other");
		}
		CU_ASSERT_EQUAL(mmx_history_each_target(history, 1, collect_,
							&collected),
				cases[i].expected);
		CU_ASSERT_STRING_EQUAL(collected.text, cases[i].text);
		mmx_history_destroy(history);
		mmx_clock_destroy(clock);
	}
}

CU_TestInfo mmx_tests_history[] = {
	{"ring buffer keeps the latest events in order", test_ring_buffer_},
	CU_TEST_INFO_NULL,
};
