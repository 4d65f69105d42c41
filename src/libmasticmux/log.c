#include "masticmux/log.h"

#include <assert.h>
#include <ctype.h>
#include <glib.h>
#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

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
	unsigned int per_second; /* 0: no limit */
	unsigned int burst;
	double tokens;
	mmx_time_t refilled;
	uint64_t dropped;
	uint64_t told; /* of the dropped lines */
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

void mmx_log_set_limit(mmx_log_t *log, unsigned int per_second,
		       unsigned int burst)
{
	assert(per_second > 0 && burst > 0);
	log->per_second = per_second;
	log->burst = burst;
	log->tokens = burst;
	log->refilled = mmx_clock_now(log->clock);
}

uint64_t mmx_log_dropped(const mmx_log_t *log)
{
	return log->dropped;
}

static bool may_write_(mmx_log_t *log)
{
	mmx_time_t now = mmx_clock_now(log->clock);

	if (!log->per_second)
		return true;
	log->tokens +=
		(double)(now - log->refilled) / MMX_US_PER_S * log->per_second;
	log->tokens = MIN(log->tokens, log->burst);
	log->refilled = now;
	if (log->tokens < 1)
		return false;
	log->tokens -= 1;
	return true;
}

/* A write of up to PIPE_BUF bytes to a pipe that is ready does not block. */
static bool write_(mmx_log_t *log, const GString *line)
{
	int fd = fileno(log->out);
	struct pollfd ready = {.fd = fd, .events = POLLOUT};

	if (fd < 0) {
		fwrite(line->str, 1, line->len, log->out);
		return fflush(log->out) == 0;
	}
	return poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) &&
	       write(fd, line->str, line->len) == (ssize_t)line->len;
}

static GString *begin_(mmx_log_t *log, mmx_log_level_t level, const char *event)
{
	GString *line = g_string_new(NULL);

	append_time_(line, mmx_clock_wall(log->clock));
	g_string_append_printf(line, " level=%s event=%s",
			       mmx_log_level_string[level], event);
	return line;
}

static void end_(mmx_log_t *log, GString *line)
{
	if (line->len >= PIPE_BUF)
		g_string_truncate(line, PIPE_BUF - 1);
	g_string_append_c(line, '\n');
	if (!write_(log, line))
		log->dropped++;
	g_string_free(line, TRUE);
}

static void tell_dropped_(mmx_log_t *log)
{
	GString *line;

	if (log->told == log->dropped)
		return;
	line = begin_(log, MMX_LOG_WARNING, "log_dropped");
	g_string_append_printf(line, " lines=%llu",
			       (unsigned long long)(log->dropped - log->told));
	log->told = log->dropped;
	end_(log, line);
}

void mmx_log_format_ms(char *text, size_t size, mmx_time_t time)
{
	g_snprintf(text, size, "%lld", (long long)(time / MMX_US_PER_MS));
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
	if (!may_write_(log)) {
		log->dropped++;
		return;
	}
	tell_dropped_(log);
	line = begin_(log, level, event);
	va_start(args, event);
	while ((key = va_arg(args, const char *))) {
		value = va_arg(args, const char *);
		g_string_append_printf(line, " %s=", key);
		append_value_(line, value ? value : "-");
	}
	va_end(args);
	end_(log, line);
}
