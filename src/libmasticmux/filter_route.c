/* Finds the service and its policy from Host and path. */
#include "private/entry.h"

#include <glib.h>

typedef struct route_filter_t {
	mmx_filter_t filter;
	const mmx_fold_t *const *fold;
} route_filter_t;

static mmx_filter_result_t process_(mmx_filter_t *filter,
				    mmx_exchange_t *exchange)
{
	const route_filter_t *self = (route_filter_t *)filter;
	mmx_route_t route;

	if (!*self->fold || mmx_fold_is_empty(*self->fold)) {
		mmx_entry_refuse(exchange, MMX_OUTCOME_NOT_RUN,
				 MMX_REASON_NO_CONFIGURATION);
		return MMX_FILTER_DONE;
	}
	if (!mmx_fold_route(*self->fold, exchange->host, exchange->path,
			    &route)) {
		mmx_entry_refuse(exchange, MMX_OUTCOME_NOT_RUN,
				 MMX_REASON_UNKNOWN_SERVICE);
		return MMX_FILTER_DONE;
	}
	g_strlcpy(exchange->service, route.service, sizeof(exchange->service));
	exchange->policy = route.policy;
	exchange->configuration_version = mmx_fold_applied(*self->fold);
	if (route.name)
		g_strlcpy(exchange->route, route.name, sizeof(exchange->route));
	exchange->timeout = route.timeout;
	exchange->objective = route.objective;
	exchange->priority = route.priority;
	if (route.objective)
		exchange->attempts_max = MMX_ATTEMPTS_MAX;
	if (route.attempts_max)
		exchange->offers_max = route.attempts_max;
	return MMX_FILTER_NEXT;
}

static void destroy_(mmx_filter_t *filter)
{
	g_free(filter);
}

static const mmx_filter_ops_t ops_ = {
	.name = "route",
	.process = process_,
	.destroy = destroy_,
};

mmx_filter_t *mmx_filter_route_create(const mmx_fold_t *const *fold)
{
	route_filter_t *self = g_new0(route_filter_t, 1);

	self->filter.ops = &ops_;
	self->fold = fold;
	return &self->filter;
}
