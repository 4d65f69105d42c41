/**
 * The clock of the runtime and its timers.
 *
 * A live clock follows CLOCK_MONOTONIC and is driven by libevent. A paused
 * clock stands still until mmx_clock_advance(). Modules take a clock at
 * creation and never read the system's time themselves.
 *
 * Usage: create, set timers, destroy. A timer is embedded in its owner,
 * initialised once with mmx_timer_init() and cancelled before the owner is
 * freed. Timers that are due fire in order of time, then of setting.
 */
#ifndef MASTICMUX_CLOCK_H
#define MASTICMUX_CLOCK_H

#include "masticmux/types.h"

struct event_base;

typedef struct mmx_clock_t mmx_clock_t;

typedef void (*mmx_timer_fn_t)(void *arg);

/** One timer; its members belong to the clock. */
typedef struct mmx_timer_t {
	mmx_clock_t *clock;
	mmx_timer_fn_t fn;
	void *arg;
	mmx_time_t due;
	uint64_t order;
	void *position; /**< non-null while set */
} mmx_timer_t;

/**
 * Creates a clock that follows real time.
 *
 * @param base  loop that fires the timers; outlives the clock
 */
mmx_clock_t *mmx_clock_create(struct event_base *base);

/** Creates a clock that stands at time 0 until it is advanced. */
mmx_clock_t *mmx_clock_create_paused(void);

/** Destroys a clock; no timer may be set any more. NULL is allowed. */
void mmx_clock_destroy(mmx_clock_t *clock);

/** Current time in microseconds; never decreases. */
mmx_time_t mmx_clock_now(const mmx_clock_t *clock);

/** Wall-clock time in microseconds since 1970, for logs and incarnations. */
uint64_t mmx_clock_wall(const mmx_clock_t *clock);

/**
 * Moves a paused clock forward and fires the timers that become due, each at
 * its own time. Asserts that the clock is paused.
 *
 * @param by  microseconds, 0 or more
 */
void mmx_clock_advance(mmx_clock_t *clock, mmx_time_t by);

/**
 * Moves a paused clock forward without firing timers, as a process sees it
 * that was stopped meanwhile; the next mmx_clock_advance() fires all of them
 * at the new time. Asserts that the clock is paused.
 *
 * @param by  microseconds, 0 or more
 */
void mmx_clock_jump(mmx_clock_t *clock, mmx_time_t by);

/** Time of the next timer, or MMX_TIME_NEVER. */
mmx_time_t mmx_clock_next(const mmx_clock_t *clock);

/** Prepares a timer. Valid once, before any other call on it. */
void mmx_timer_init(mmx_timer_t *timer, mmx_clock_t *clock, mmx_timer_fn_t fn,
		    void *arg);

/**
 * Sets or moves a timer.
 *
 * @param delay  microseconds from now; below 0 counts as 0
 */
void mmx_timer_set(mmx_timer_t *timer, mmx_time_t delay);

/** Cancels a timer; allowed when it is not set. */
void mmx_timer_cancel(mmx_timer_t *timer);

/** True while the timer is set and has not fired. */
bool mmx_timer_is_set(const mmx_timer_t *timer);

#endif
