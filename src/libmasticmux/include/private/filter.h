/*
 * Pipeline of filters: the entry passes each exchange through a list of
 * filters in order.
 *
 * A filter that cannot decide yet returns MMX_FILTER_WAIT and calls
 * mmx_pipeline_resume() on the exchange later. A filter that has answered the
 * caller returns MMX_FILTER_DONE; no later filter sees the exchange.
 */
#ifndef MASTICMUX_PRIVATE_FILTER_H
#define MASTICMUX_PRIVATE_FILTER_H

#include "private/exchange.h"

typedef enum mmx_filter_result_t {
	MMX_FILTER_NEXT, /* the next filter takes over */
	MMX_FILTER_WAIT, /* the filter resumes the pipeline later */
	MMX_FILTER_DONE, /* the caller has been answered */
	MMX_FILTER_RESULT_COUNT
} mmx_filter_result_t;

extern const char *const mmx_filter_result_string[MMX_FILTER_RESULT_COUNT];

typedef struct mmx_filter_t mmx_filter_t;

typedef struct mmx_filter_ops_t {
	const char *name;
	mmx_filter_result_t (*process)(mmx_filter_t *filter,
				       mmx_exchange_t *exchange);
	/* The exchange ends while this filter holds it; may be NULL. */
	void (*abandon)(mmx_filter_t *filter, mmx_exchange_t *exchange);
	void (*destroy)(mmx_filter_t *filter);
} mmx_filter_ops_t;

struct mmx_filter_t {
	const mmx_filter_ops_t *ops;
	TAILQ_ENTRY(mmx_filter_t) entry;
};

typedef TAILQ_HEAD(mmx_filter_list_t, mmx_filter_t) mmx_filter_list_t;

typedef struct mmx_pipeline_t {
	mmx_filter_list_t filters;
} mmx_pipeline_t;

void mmx_pipeline_init(mmx_pipeline_t *pipeline);

/* Appends a filter; the pipeline owns it from then on. */
void mmx_pipeline_add(mmx_pipeline_t *pipeline, mmx_filter_t *filter);

/* Destroys the filters. */
void mmx_pipeline_finish(mmx_pipeline_t *pipeline);

/* Starts an exchange at the first filter. */
mmx_filter_result_t mmx_pipeline_start(mmx_pipeline_t *pipeline,
				       mmx_exchange_t *exchange);

/* Continues with the filter after the one that returned MMX_FILTER_WAIT. */
mmx_filter_result_t mmx_pipeline_resume(mmx_exchange_t *exchange);

/* Notifies the filter that holds the exchange that the exchange ends. */
void mmx_pipeline_abandon(mmx_exchange_t *exchange);

#endif
