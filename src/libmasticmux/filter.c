#include "private/filter.h"

const char *const mmx_filter_result_string[MMX_FILTER_RESULT_COUNT] = {
	"next",
	"wait",
	"done",
};

void mmx_pipeline_init(mmx_pipeline_t *pipeline)
{
	TAILQ_INIT(&pipeline->filters);
}

void mmx_pipeline_add(mmx_pipeline_t *pipeline, mmx_filter_t *filter)
{
	TAILQ_INSERT_TAIL(&pipeline->filters, filter, entry);
}

void mmx_pipeline_finish(mmx_pipeline_t *pipeline)
{
	mmx_filter_t *filter;

	while ((filter = TAILQ_FIRST(&pipeline->filters))) {
		TAILQ_REMOVE(&pipeline->filters, filter, entry);
		filter->ops->destroy(filter);
	}
}

static mmx_filter_result_t run_filters_(mmx_exchange_t *exchange,
					mmx_filter_t *filter)
{
	mmx_filter_result_t result = MMX_FILTER_NEXT;

	while (filter && result == MMX_FILTER_NEXT) {
		exchange->filter = filter;
		result = filter->ops->process(filter, exchange);
		filter = TAILQ_NEXT(filter, entry);
	}
	return result;
}

mmx_filter_result_t mmx_pipeline_start(mmx_pipeline_t *pipeline,
				       mmx_exchange_t *exchange)
{
	return run_filters_(exchange, TAILQ_FIRST(&pipeline->filters));
}

mmx_filter_result_t mmx_pipeline_resume(mmx_exchange_t *exchange)
{
	return run_filters_(exchange, TAILQ_NEXT(exchange->filter, entry));
}

void mmx_pipeline_abandon(mmx_exchange_t *exchange)
{
	mmx_filter_t *filter = exchange->filter;

	if (filter && filter->ops->abandon)
		filter->ops->abandon(filter, exchange);
}
