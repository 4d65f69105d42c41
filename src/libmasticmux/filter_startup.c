/*
 * Holds requests while a node that has just started reads configuration and
 * targets: it will know them within a fraction of a second, and a caller that
 * is refused may not come back.
 */
#include "private/entry.h"

#include <glib.h>

/* Part of the time that the caller waits that may pass here. */
#define HELD_SHARE 4

typedef struct startup_filter_t {
	mmx_filter_t filter;
	mmx_clock_t *clock;
	mmx_time_t until;
	bool started;
	TAILQ_HEAD(, mmx_exchange_t) held; /* by path_entry */
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
	mmx_time_t longest = self->until - mmx_clock_now(self->clock);

	if (exchange->caller_timeout > 0)
		longest = MIN(longest, exchange->caller_timeout / HELD_SHARE);
	if (self->started || longest <= 0)
		return MMX_FILTER_NEXT;
	TAILQ_INSERT_TAIL(&self->held, exchange, path_entry);
	mmx_timer_init(&exchange->timer, self->clock, on_timer_, exchange);
	mmx_timer_set(&exchange->timer, longest);
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
