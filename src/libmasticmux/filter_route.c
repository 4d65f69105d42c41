/* Filter route: finds the service and its policy by Host and path. */
#include "private/entry.h"

#include <glib.h>

typedef struct route_filter_t {
	mmx_filter_t filter;
	const mmx_config_state_t *const *config_state;
} route_filter_t;

static mmx_filter_result_t process_(mmx_filter_t *filter,
				    mmx_exchange_t *exchange)
{
	const route_filter_t *self = (route_filter_t *)filter;
	mmx_route_t route;

	if (!*self->config_state ||
	    mmx_config_state_is_empty(*self->config_state)) {
		mmx_entry_refuse(exchange, MMX_OUTCOME_NOT_RUN,
				 MMX_REASON_NO_CONFIGURATION);
		return MMX_FILTER_DONE;
	}
	if (!mmx_config_state_match_route(*self->config_state, exchange->host,
					  exchange->path, &route)) {
		mmx_entry_refuse(exchange, MMX_OUTCOME_NOT_RUN,
				 MMX_REASON_UNKNOWN_SERVICE);
		return MMX_FILTER_DONE;
	}
	g_strlcpy(exchange->service, route.service, sizeof(exchange->service));
	exchange->policy = route.policy;
	exchange->configuration_version =
		mmx_config_state_applied_offset(*self->config_state);
	if (route.name)
		g_strlcpy(exchange->route, route.name, sizeof(exchange->route));
	exchange->timeout = route.timeout;
	exchange->objective = route.objective;
	exchange->priority = route.priority;
	exchange->large_bodies = route.large_bodies;
	exchange->is_public = route.is_public;
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

mmx_filter_t *
mmx_filter_route_create(const mmx_config_state_t *const *config_state)
{
	route_filter_t *self = g_new0(route_filter_t, 1);

	self->filter.ops = &ops_;
	self->config_state = config_state;
	return &self->filter;
}
