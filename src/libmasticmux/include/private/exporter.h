/*
 * Exporter: sends finished spans to the collector, OTLP over HTTP in JSON.
 *
 * Spans go in batches, one at a time. A batch that the collector did not take
 * for a passing reason is kept and sent again after a back-off; meanwhile the
 * bounded queue of the trace fills up and counts what it drops.
 *
 * Life: create, set options, init, destroy. Options are refused after init.
 */
#ifndef MASTICMUX_PRIVATE_EXPORTER_H
#define MASTICMUX_PRIVATE_EXPORTER_H

#include <jansson.h>

#include "masticmux/settings.h"
#include "private/trace.h"

typedef struct mmx_exporter_t mmx_exporter_t;

/*
 * Runtime, trace and counters (or NULL) outlive the exporter.
 *
 * collector  host and port; spans go to POST /v1/traces
 * node       name of the node, sent as service.instance.id
 */
mmx_exporter_t *mmx_exporter_create(mmx_runtime_t *runtime, mmx_trace_t *trace,
				    const mmx_address_t *collector,
				    const char *node, mmx_counters_t *counters);

/*
 * Time that spans wait for a batch to fill, and the first back-off, in
 * microseconds, 1 or more; 1 s by default. False after init.
 */
bool mmx_exporter_set_interval(mmx_exporter_t *exporter, mmx_time_t interval);

/* Starts to export. */
void mmx_exporter_init(mmx_exporter_t *exporter);

/* Drops and counts the batch that was not delivered. */
void mmx_exporter_destroy(mmx_exporter_t *exporter);

/* One span in OTLP JSON. */
json_t *mmx_exporter_span_json(const mmx_span_t *span);

#endif
