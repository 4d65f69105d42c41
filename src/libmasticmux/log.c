#include "masticmux/log.h"

#include <assert.h>
#include <ctype.h>
#include <glib.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>

const char *const mmx_log_level_string[MMX_LOG_LEVEL_COUNT] = {
	"debug",
	"info",
	"warning",
	"error",
};

struct mmx_log_t {
	mmx_clock_t *clock;
	FILE *out;
	mmx_log_level_t level;
};

mmx_log_t *mmx_log_create(mmx_clock_t *clock, FILE *out, mmx_log_level_t level)
{
	mmx_log_t *log;

	assert(clock && out);
	log = g_new0(mmx_log_t, 1);
	log->clock = clock;
	log->out = out;
	log->level = level;
	return log;
}

void mmx_log_destroy(mmx_log_t *log)
{
	g_free(log);
}

static bool needs_quotes_(const char *value)
{
	const unsigned char *c;

	for (c = (const unsigned char *)value; *c; c++)
		if (*c <= ' ' || *c == '"' || *c == '\\' || *c >= 0x7f)
			return true;
	return value[0] == '\0';
}

static void append_value_(GString *line, const char *value)
{
	const unsigned char *c;

	if (!needs_quotes_(value)) {
		g_string_append(line, value);
		return;
	}
	g_string_append_c(line, '"');
	for (c = (const unsigned char *)value; *c; c++) {
		if (*c == '"' || *c == '\\')
			g_string_append_printf(line, "\\%c", *c);
		else if (*c < ' ' || *c == 0x7f)
			g_string_append_printf(line, "\\x%02x", *c);
		else
			g_string_append_c(line, (char)*c);
	}
	g_string_append_c(line, '"');
}

static void append_time_(GString *line, uint64_t wall_us)
{
	time_t seconds = (time_t)(wall_us / MMX_US_PER_S);
	struct tm tm;
	char text[32];

	gmtime_r(&seconds, &tm);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &tm);
	g_string_append_printf(line, "time=%s.%06uZ", text,
			       (unsigned int)(wall_us % MMX_US_PER_S));
}

void mmx_log_event(mmx_log_t *log, mmx_log_level_t level, const char *event,
		   ...)
{
	GString *line;
	const char *key;
	const char *value;
	va_list args;

	if (!log || level < log->level)
		return;
	line = g_string_new(NULL);
	append_time_(line, mmx_clock_wall(log->clock));
	g_string_append_printf(line, " level=%s event=%s",
			       mmx_log_level_string[level], event);
	va_start(args, event);
	while ((key = va_arg(args, const char *))) {
		value = va_arg(args, const char *);
		g_string_append_printf(line, " %s=", key);
		append_value_(line, value ? value : "-");
	}
	va_end(args);
	g_string_append_c(line, '\n');
	fwrite(line->str, 1, line->len, log->out);
	fflush(log->out);
	g_string_free(line, TRUE);
}
