/*
 * Filter startup: holds requests while a node that has just started reads
 * configuration and targets. That takes a fraction of a second, and a caller
 * that is refused may not retry.
 */
#include "private/entry.h"

#include <glib.h>

/* A request is held for at most this fraction of the caller's timeout, 1/n. */
#define HOLD_TIMEOUT_DIVISOR 4

typedef struct startup_filter_t {
	mmx_filter_t filter;
	mmx_clock_t *clock;
	mmx_time_t until; /* requests are not held from this time on */
	bool started;	  /* configuration and targets are known */
	TAILQ_HEAD(, mmx_exchange_t) held; /* linked by path_entry */
} startup_filter_t;

static void release_(startup_filter_t *self, mmx_exchange_t *exchange)
{
	TAILQ_REMOVE(&self->held, exchange, path_entry);
	mmx_timer_cancel(&exchange->timer);
}

static void on_timer_(void *arg)
{
	mmx_exchange_t *exchange = arg;

	release_((startup_filter_t *)exchange->filter, exchange);
	mmx_pipeline_resume(exchange);
}

static mmx_filter_result_t process_(mmx_filter_t *filter,
				    mmx_exchange_t *exchange)
{
	startup_filter_t *self = (startup_filter_t *)filter;
	mmx_time_t max_hold = self->until - mmx_clock_now(self->clock);

	if (exchange->caller_timeout > 0)
		max_hold = MIN(max_hold,
			       exchange->caller_timeout / HOLD_TIMEOUT_DIVISOR);
	if (self->started || max_hold <= 0)
		return MMX_FILTER_NEXT;
	TAILQ_INSERT_TAIL(&self->held, exchange, path_entry);
	mmx_timer_init(&exchange->timer, self->clock, on_timer_, exchange);
	mmx_timer_set(&exchange->timer, max_hold);
	return MMX_FILTER_WAIT;
}

static void abandon_(mmx_filter_t *filter, mmx_exchange_t *exchange)
{
	release_((startup_filter_t *)filter, exchange);
}

static void destroy_(mmx_filter_t *filter)
{
	g_free(filter);
}

static const mmx_filter_ops_t ops_ = {
	.name = "startup",
	.process = process_,
	.abandon = abandon_,
	.destroy = destroy_,
};

mmx_filter_t *mmx_filter_startup_create(mmx_clock_t *clock, mmx_time_t until)
{
	startup_filter_t *self = g_new0(startup_filter_t, 1);

	self->filter.ops = &ops_;
	self->clock = clock;
	self->until = until;
	TAILQ_INIT(&self->held);
	return &self->filter;
}

void mmx_filter_startup_release(mmx_filter_t *filter)
{
	startup_filter_t *self = (startup_filter_t *)filter;
	mmx_exchange_t *exchange;

	self->started = true;
	while ((exchange = TAILQ_FIRST(&self->held))) {
		release_(self, exchange);
		mmx_pipeline_resume(exchange);
	}
}
