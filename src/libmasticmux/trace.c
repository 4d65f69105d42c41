#include "private/trace.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

/* "00-" trace id "-" span id "-" flags. */
#define TRACEPARENT_LENGTH (MMX_TRACEPARENT_SIZE - 1)
#define THOUSAND 1000

const char *const mmx_span_kind_string[MMX_SPAN_KIND_COUNT] = {
	"internal",
	"server",
	"client",
};

typedef STAILQ_HEAD(span_list_t, mmx_span_t) span_list_t;

struct mmx_trace_t {
	mmx_clock_t *clock;
	mmx_random_t *random;
	unsigned int sampling;
	span_list_t queue;
	size_t queued;
	mmx_counter_t *finished;
	mmx_counter_t *dropped;
};

static int hex_digit_(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return -1;
}

static bool parse_hex_(const char *text, uint8_t *out, size_t bytes)
{
	size_t i;

	for (i = 0; i < bytes; i++) {
		int high = hex_digit_(text[2 * i]);
		int low = high < 0 ? -1 : hex_digit_(text[2 * i + 1]);

		if (low < 0)
			return false;
		out[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

static void format_hex_(const uint8_t *data, size_t bytes, char *out)
{
	size_t i;

	for (i = 0; i < bytes; i++)
		snprintf(out + 2 * i, 3, "%02x", data[i]);
}

static bool is_zero_(const uint8_t *data, size_t bytes)
{
	size_t i;

	for (i = 0; i < bytes; i++)
		if (data[i])
			return false;
	return true;
}

bool mmx_traceparent_parse(const char *text, mmx_trace_context_t *out)
{
	mmx_trace_context_t parsed;
	uint8_t version;
	size_t length = strlen(text);

	if (length < TRACEPARENT_LENGTH || text[2] != '-' || text[35] != '-' ||
	    text[52] != '-' || !parse_hex_(text, &version, 1) ||
	    !parse_hex_(text + 3, parsed.trace_id, 16) ||
	    !parse_hex_(text + 36, parsed.span_id, 8) ||
	    !parse_hex_(text + 53, &parsed.flags, 1))
		return false;
	if (version == 0xff || (version == 0 && length != TRACEPARENT_LENGTH) ||
	    (length > TRACEPARENT_LENGTH && text[TRACEPARENT_LENGTH] != '-'))
		return false;
	if (is_zero_(parsed.trace_id, 16) || is_zero_(parsed.span_id, 8))
		return false;
	*out = parsed;
	return true;
}

bool mmx_trace_id_parse(const char *text, uint8_t trace_id[16])
{
	mmx_trace_context_t context;

	if (strlen(text) == 32) {
		if (!parse_hex_(text, context.trace_id, 16) ||
		    is_zero_(context.trace_id, 16))
			return false;
	} else if (!mmx_traceparent_parse(text, &context)) {
		return false;
	}
	memcpy(trace_id, context.trace_id, 16);
	return true;
}

void mmx_traceparent_format(const mmx_trace_context_t *context,
			    char out[MMX_TRACEPARENT_SIZE])
{
	snprintf(out, MMX_TRACEPARENT_SIZE, "00-");
	format_hex_(context->trace_id, 16, out + 3);
	out[35] = '-';
	format_hex_(context->span_id, 8, out + 36);
	out[52] = '-';
	/* Only the sampled flag is defined for version 00. */
	snprintf(out + 53, 3, "%02x", context->flags & MMX_TRACE_SAMPLED);
}

mmx_trace_t *mmx_trace_create(mmx_clock_t *clock, mmx_random_t *random,
			      mmx_counters_t *counters)
{
	mmx_trace_t *trace = g_new0(mmx_trace_t, 1);

	assert(clock && random);
	trace->clock = clock;
	trace->random = random;
	trace->sampling = THOUSAND;
	STAILQ_INIT(&trace->queue);
	if (counters) {
		trace->finished = mmx_counters_get(counters, MMX_COUNTER,
						   "masticmux_spans_total", "",
						   "Spans that were finished.");
		trace->dropped = mmx_counters_get(
			counters, MMX_COUNTER, "masticmux_spans_dropped_total",
			"", "Spans that never reached the collector.");
	}
	return trace;
}

void mmx_trace_destroy(mmx_trace_t *trace)
{
	mmx_span_t *span;

	if (!trace)
		return;
	while ((span = mmx_trace_take(trace)))
		mmx_span_destroy(span);
	g_free(trace);
}

void mmx_trace_set_sampling(mmx_trace_t *trace, unsigned int thousandths)
{
	assert(thousandths <= THOUSAND);
	trace->sampling = thousandths;
}

/* Fills an id with random bytes that are not all zero. */
static void make_id_(mmx_trace_t *trace, uint8_t *out, size_t bytes)
{
	size_t i;

	for (i = 0; i < bytes; i += sizeof(uint64_t)) {
		uint64_t part = mmx_random_next(trace->random) | 1;

		memcpy(out + i, &part, sizeof(part));
	}
}

void mmx_trace_context(mmx_trace_t *trace, const char *traceparent,
		       mmx_trace_context_t *out)
{
	if (traceparent && mmx_traceparent_parse(traceparent, out))
		return;
	memset(out, 0, sizeof(*out));
	make_id_(trace, out->trace_id, sizeof(out->trace_id));
	if (mmx_random_below(trace->random, THOUSAND) < trace->sampling)
		out->flags = MMX_TRACE_SAMPLED;
}

mmx_span_t *mmx_span_start(mmx_trace_t *trace,
			   const mmx_trace_context_t *parent, const char *name,
			   mmx_span_kind_t kind)
{
	mmx_span_t *span;

	if (!(parent->flags & MMX_TRACE_SAMPLED))
		return NULL;
	span = g_new0(mmx_span_t, 1);
	span->trace = trace;
	span->context = *parent;
	memcpy(span->parent, parent->span_id, sizeof(span->parent));
	make_id_(trace, span->context.span_id, sizeof(span->context.span_id));
	span->name = name;
	span->kind = kind;
	span->start = mmx_clock_wall(trace->clock);
	span->started = mmx_clock_now(trace->clock);
	return span;
}

void mmx_span_context(const mmx_span_t *span, const mmx_trace_context_t *parent,
		      mmx_trace_context_t *out)
{
	*out = span ? span->context : *parent;
}

static mmx_attribute_t *add_attribute_(mmx_span_t *span, const char *key)
{
	mmx_attribute_t *attribute;

	if (!span || span->attribute_count == MMX_SPAN_ATTRIBUTES_MAX)
		return NULL;
	attribute = &span->attributes[span->attribute_count++];
	attribute->key = key;
	return attribute;
}

void mmx_span_set_text(mmx_span_t *span, const char *key, const char *value)
{
	mmx_attribute_t *attribute = add_attribute_(span, key);

	/* The collector rejects text that is not UTF-8. */
	if (attribute)
		attribute->text = g_utf8_make_valid(value, -1);
}

void mmx_span_set_number(mmx_span_t *span, const char *key, int64_t value)
{
	mmx_attribute_t *attribute = add_attribute_(span, key);

	if (attribute)
		attribute->number = value;
}

void mmx_span_set_failed(mmx_span_t *span)
{
	if (span)
		span->failed = true;
}

void mmx_span_finish(mmx_span_t *span)
{
	mmx_trace_t *trace;

	if (!span)
		return;
	trace = span->trace;
	/* The wall clock may be set between start and end. */
	span->end = span->start +
		    (uint64_t)(mmx_clock_now(trace->clock) - span->started);
	mmx_counter_add(trace->finished, 1);
	if (trace->queued == MMX_TRACE_QUEUE_MAX) {
		mmx_trace_count_dropped(trace, 1);
		mmx_span_destroy(span);
		return;
	}
	STAILQ_INSERT_TAIL(&trace->queue, span, entry);
	trace->queued++;
}

mmx_span_t *mmx_trace_take(mmx_trace_t *trace)
{
	mmx_span_t *span = STAILQ_FIRST(&trace->queue);

	if (span) {
		STAILQ_REMOVE_HEAD(&trace->queue, entry);
		trace->queued--;
	}
	return span;
}

void mmx_span_destroy(mmx_span_t *span)
{
	size_t i;

	if (!span)
		return;
	for (i = 0; i < span->attribute_count; i++)
		g_free(span->attributes[i].text);
	g_free(span);
}

size_t mmx_trace_queued(const mmx_trace_t *trace)
{
	return trace->queued;
}

void mmx_trace_count_dropped(mmx_trace_t *trace, size_t spans)
{
	mmx_counter_add(trace->dropped, (int64_t)spans);
}
