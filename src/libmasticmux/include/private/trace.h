/*
 * Trace spans in W3C trace context, and the bounded queue of finished spans
 * that the exporter empties.
 *
 * Usage: make a context from the caller's traceparent, start a span under it,
 * pass the span's context on, set attributes, finish the span. Spans of
 * contexts that are not sampled are NULL; every function takes NULL.
 */
#ifndef MASTICMUX_PRIVATE_TRACE_H
#define MASTICMUX_PRIVATE_TRACE_H

#include "masticmux/counters.h"
#include "masticmux/random.h"
#include "private/messages.h"

/* Finished spans that wait for the exporter. */
#define MMX_TRACE_QUEUE_MAX 4096
/* Attributes of one span; further ones are left out. */
#define MMX_SPAN_ATTRIBUTES_MAX 16
/* Bytes of a formatted traceparent with its end. */
#define MMX_TRACEPARENT_SIZE 56
#define MMX_TRACE_SAMPLED 1

typedef enum mmx_span_kind_t {
	MMX_SPAN_INTERNAL,
	MMX_SPAN_SERVER,
	MMX_SPAN_CLIENT,
	MMX_SPAN_KIND_COUNT
} mmx_span_kind_t;

extern const char *const mmx_span_kind_string[MMX_SPAN_KIND_COUNT];

typedef struct mmx_attribute_t {
	const char *key; /* a string constant */
	char *text;	 /* NULL for a number */
	int64_t number;
} mmx_attribute_t;

typedef struct mmx_trace_t mmx_trace_t;

/* A span; the members are read by the exporter. */
typedef struct mmx_span_t {
	STAILQ_ENTRY(mmx_span_t) entry;
	mmx_trace_t *trace;
	mmx_trace_context_t context; /* span_id is the span's own */
	uint8_t parent[8];	     /* zero for a root span */
	const char *name;	     /* a string constant */
	mmx_span_kind_t kind;
	uint64_t start; /* wall clock, microseconds */
	uint64_t end;
	mmx_time_t started; /* by the runtime clock */
	bool failed;
	size_t attribute_count;
	mmx_attribute_t attributes[MMX_SPAN_ATTRIBUTES_MAX];
} mmx_span_t;

/*
 * Parses a traceparent strictly: 55 characters in lower case for version 00,
 * ids not zero; higher versions but ff may have more parts. False if it is
 * not valid; out is then unchanged.
 */
bool mmx_traceparent_parse(const char *text, mmx_trace_context_t *out);

/* Parses a trace id of 32 digits in lower case, or takes it from a traceparent.
 * False if it is not valid; trace_id is then unchanged. */
bool mmx_trace_id_parse(const char *text, uint8_t trace_id[16]);

/* Formats as version 00. */
void mmx_traceparent_format(const mmx_trace_context_t *context,
			    char out[MMX_TRACEPARENT_SIZE]);

/* Clock, random source and counters (or NULL) outlive the trace. */
mmx_trace_t *mmx_trace_create(mmx_clock_t *clock, mmx_random_t *random,
			      mmx_counters_t *counters);

/* Drops the queue. No span may be unfinished. */
void mmx_trace_destroy(mmx_trace_t *trace);

/*
 * Share of the contexts made here that are sampled, in thousandths; 1000 by
 * default. Contexts of callers keep their own flag. Valid at any time.
 */
void mmx_trace_set_sampling(mmx_trace_t *trace, unsigned int thousandths);

/* Context of a request: the caller's, or a new one without a parent. */
void mmx_trace_context(mmx_trace_t *trace, const char *traceparent,
		       mmx_trace_context_t *out);

/* Starts a span; NULL if the context is not sampled. */
mmx_span_t *mmx_span_start(mmx_trace_t *trace,
			   const mmx_trace_context_t *parent, const char *name,
			   mmx_span_kind_t kind);

/* Context for what happens under the span; the parent's if it is NULL. */
void mmx_span_context(const mmx_span_t *span, const mmx_trace_context_t *parent,
		      mmx_trace_context_t *out);

void mmx_span_set_text(mmx_span_t *span, const char *key, const char *value);
void mmx_span_set_number(mmx_span_t *span, const char *key, int64_t value);

/* Marks the span as failed (status code error in OTLP). */
void mmx_span_set_failed(mmx_span_t *span);

/* Ends the span and queues it; a full queue drops it and counts it. */
void mmx_span_finish(mmx_span_t *span);

/* Takes the oldest finished span, NULL if there is none. */
mmx_span_t *mmx_trace_take(mmx_trace_t *trace);
void mmx_span_destroy(mmx_span_t *span);

/* Finished spans in the queue. */
size_t mmx_trace_queued(const mmx_trace_t *trace);

/* Counts spans that the exporter had to give up. */
void mmx_trace_count_dropped(mmx_trace_t *trace, size_t spans);

#endif
