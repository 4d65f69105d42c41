#include "suites.h"

#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "masticmux/log.h"

typedef struct rig_t {
	mmx_clock_t *clock;
	mmx_log_t *log;
	FILE *out;
	int fds[2];
} rig_t;

static void open_(rig_t *rig)
{
	CU_ASSERT_EQUAL_FATAL(pipe(rig->fds), 0);
	fcntl(rig->fds[0], F_SETFL, O_NONBLOCK);
	rig->out = fdopen(rig->fds[1], "w");
	rig->clock = mmx_clock_create_paused();
	rig->log = mmx_log_create(rig->clock, rig->out, MMX_LOG_INFO);
}

static void close_(rig_t *rig)
{
	mmx_log_destroy(rig->log);
	mmx_clock_destroy(rig->clock);
	fclose(rig->out);
	close(rig->fds[0]);
}

/* Reads what has been written and counts the lines that hold a text. */
static int lines_(const rig_t *rig, const char *text)
{
	GString *all = g_string_new(NULL);
	char buffer[4096];
	char **lines;
	ssize_t got;
	int count = 0;
	size_t i;

	while ((got = read(rig->fds[0], buffer, sizeof(buffer))) > 0)
		g_string_append_len(all, buffer, got);
	lines = g_strsplit(all->str, "\n", 0);
	for (i = 0; lines[i]; i++)
		count += strstr(lines[i], text) != NULL;
	g_strfreev(lines);
	g_string_free(all, TRUE);
	return count;
}

/* Guards against a log whose volume grows with the load, and against lines
 * that are left out without a word. */
static void test_limit_(void)
{
	static const struct {
		int lines;
		mmx_time_t wait;
		int written;
	} steps[] = {
		{3, 0, 3},
		{10, 0, 2},
		{4, 100 * MMX_US_PER_MS, 1},
		{9, 10 * MMX_US_PER_S, 5},
	};
	rig_t rig;
	uint64_t dropped = 0;
	size_t i;
	int n;

	open_(&rig);
	mmx_log_set_limit(rig.log, 10, 5);
	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		mmx_clock_advance(rig.clock, steps[i].wait);
		for (n = 0; n < steps[i].lines; n++)
			mmx_log_event(rig.log, MMX_LOG_INFO, "tick", NULL);
		CU_ASSERT_EQUAL(lines_(&rig, "event=tick"), steps[i].written);
		dropped += (uint64_t)(steps[i].lines - steps[i].written);
		CU_ASSERT_EQUAL(mmx_log_dropped(rig.log), dropped);
	}
	mmx_clock_advance(rig.clock, MMX_US_PER_S);
	mmx_log_event(rig.log, MMX_LOG_INFO, "tick", NULL);
	CU_ASSERT_EQUAL(lines_(&rig, "event=log_dropped lines=4"), 1);
	close_(&rig);
}

/* Guards against a process that waits for the reader of its log. */
static void test_slow_reader_(void)
{
	rig_t rig;
	char *text = g_strnfill(1000, 'x');
	int n;

	open_(&rig);
	for (n = 0; n < 1000; n++)
		mmx_log_event(rig.log, MMX_LOG_INFO, "tick", "text", text,
			      NULL);
	CU_ASSERT_TRUE(mmx_log_dropped(rig.log) > 0);
	CU_ASSERT_TRUE(lines_(&rig, "event=tick") > 0);
	mmx_log_event(rig.log, MMX_LOG_INFO, "tick", NULL);
	CU_ASSERT_EQUAL(lines_(&rig, "event=log_dropped"), 1);
	g_free(text);
	close_(&rig);
}

CU_TestInfo mmx_tests_log[] = {
	{"the volume is limited", test_limit_},
	{"a slow reader blocks nothing", test_slow_reader_},
	CU_TEST_INFO_NULL,
};
