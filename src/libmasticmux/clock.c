#include "masticmux/clock.h"

#include <assert.h>
#include <glib.h>
#include <event2/event.h>
#include <sys/time.h>
#include <time.h>

/* Wall-clock start of paused clocks, so that tests see the same values. */
#define PAUSED_WALL_START_US 1700000000000000ULL

struct mmx_clock_t {
	struct event_base *base;
	struct event *wakeup;
	GSequence *timers;
	mmx_time_t paused_now;
	mmx_time_t started;
	uint64_t next_order;
};

static mmx_time_t monotonic_(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * MMX_US_PER_S + ts.tv_nsec / 1000;
}

static gint compare_timers_(gconstpointer a, gconstpointer b, gpointer data)
{
	const mmx_timer_t *left = a;
	const mmx_timer_t *right = b;

	if (left->due != right->due)
		return left->due < right->due ? -1 : 1;
	if (left->order != right->order)
		return left->order < right->order ? -1 : 1;
	return 0;
}

static mmx_timer_t *first_(const mmx_clock_t *clock)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(clock->timers);

	return g_sequence_iter_is_end(iter) ? NULL : g_sequence_get(iter);
}

static void schedule_wakeup_(mmx_clock_t *clock)
{
	mmx_timer_t *timer = first_(clock);
	struct timeval tv = {0, 0};
	mmx_time_t delay;

	if (!clock->wakeup)
		return;
	if (!timer) {
		event_del(clock->wakeup);
		return;
	}
	delay = timer->due - mmx_clock_now(clock);
	if (delay > 0) {
		tv.tv_sec = delay / MMX_US_PER_S;
		tv.tv_usec = delay % MMX_US_PER_S;
	}
	event_add(clock->wakeup, &tv);
}

static void fire_(mmx_timer_t *timer)
{
	g_sequence_remove(timer->position);
	timer->position = NULL;
	timer->fn(timer->arg);
}

static void on_wakeup_(evutil_socket_t fd, short what, void *arg)
{
	mmx_clock_t *clock = arg;
	mmx_time_t now = mmx_clock_now(clock);
	mmx_timer_t *timer = first_(clock);

	/* The time is read once, so a timer set with no delay by a callback
	 * waits for the next wakeup and sockets get their turn. */
	while (timer && timer->due <= now) {
		fire_(timer);
		timer = first_(clock);
	}
	schedule_wakeup_(clock);
}

static mmx_clock_t *create_(void)
{
	mmx_clock_t *clock = g_new0(mmx_clock_t, 1);

	clock->timers = g_sequence_new(NULL);
	return clock;
}

mmx_clock_t *mmx_clock_create(struct event_base *base)
{
	mmx_clock_t *clock;

	assert(base);
	clock = create_();
	clock->base = base;
	clock->started = monotonic_();
	clock->wakeup = event_new(base, -1, 0, on_wakeup_, clock);
	return clock;
}

mmx_clock_t *mmx_clock_create_paused(void)
{
	return create_();
}

void mmx_clock_destroy(mmx_clock_t *clock)
{
	if (!clock)
		return;
	assert(!first_(clock));
	if (clock->wakeup)
		event_free(clock->wakeup);
	g_sequence_free(clock->timers);
	g_free(clock);
}

mmx_time_t mmx_clock_now(const mmx_clock_t *clock)
{
	return clock->base ? monotonic_() - clock->started : clock->paused_now;
}

uint64_t mmx_clock_wall(const mmx_clock_t *clock)
{
	struct timeval tv;

	if (!clock->base)
		return PAUSED_WALL_START_US + (uint64_t)clock->paused_now;
	gettimeofday(&tv, NULL);
	return (uint64_t)tv.tv_sec * MMX_US_PER_S + (uint64_t)tv.tv_usec;
}

void mmx_clock_advance(mmx_clock_t *clock, mmx_time_t by)
{
	mmx_time_t end;
	mmx_timer_t *timer;

	assert(!clock->base);
	assert(by >= 0);
	end = clock->paused_now + by;
	while ((timer = first_(clock)) && timer->due <= end) {
		if (timer->due > clock->paused_now)
			clock->paused_now = timer->due;
		fire_(timer);
	}
	clock->paused_now = end;
}

void mmx_clock_jump(mmx_clock_t *clock, mmx_time_t by)
{
	assert(!clock->base && by >= 0);
	clock->paused_now += by;
}

mmx_time_t mmx_clock_next(const mmx_clock_t *clock)
{
	const mmx_timer_t *timer = first_(clock);

	return timer ? timer->due : MMX_TIME_NEVER;
}

void mmx_timer_init(mmx_timer_t *timer, mmx_clock_t *clock, mmx_timer_fn_t fn,
		    void *arg)
{
	assert(clock && fn);
	*timer = (mmx_timer_t){.clock = clock, .fn = fn, .arg = arg};
}

void mmx_timer_set(mmx_timer_t *timer, mmx_time_t delay)
{
	mmx_clock_t *clock = timer->clock;

	assert(clock);
	if (timer->position)
		g_sequence_remove(timer->position);
	timer->due = mmx_clock_now(clock) + (delay > 0 ? delay : 0);
	timer->order = clock->next_order++;
	timer->position = g_sequence_insert_sorted(clock->timers, timer,
						   compare_timers_, NULL);
	if (first_(clock) == timer)
		schedule_wakeup_(clock);
}

void mmx_timer_cancel(mmx_timer_t *timer)
{
	if (!timer->position)
		return;
	g_sequence_remove(timer->position);
	timer->position = NULL;
}

bool mmx_timer_is_set(const mmx_timer_t *timer)
{
	return timer->position != NULL;
}
