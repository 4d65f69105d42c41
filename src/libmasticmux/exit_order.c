/* The order of the announcements of a target, which may arrive late or come
 * from an earlier process of the target. */
#include <glib.h>

#include "private/exit_internal.h"

/* Longest delay of an announcement. */
#define LATE_MAX_US (4 * MMX_US_PER_S)

/* Time since then, without that in which this process was paused and read no
 * announcements. */
static mmx_time_t age_(const mmx_exit_t *exit, mmx_time_t since)
{
	mmx_time_t now = mmx_clock_now(exit->clock);

	return now - since -
	       (now < exit->backlog_until ? exit->pause_length : 0);
}

static bool accept_start_(const mmx_exit_t *exit,
			  const mmx_exit_target_t *target,
			  const mmx_target_announced_t *announced)
{
	if (target->withdrawn && !target->process_start &&
	    announced->state < MMX_TARGET_DRAINING)
		return age_(exit, target->withdrawn_at) > LATE_MAX_US;
	return announced->process_start > target->process_start;
}

bool mmx_exit_order_accept(const mmx_exit_t *exit,
			   const mmx_exit_target_t *target,
			   const mmx_target_announced_t *announced)
{
	bool leaves = announced->state >= MMX_TARGET_DRAINING;

	/* A target that leaves does so without a start time as well. */
	if (announced->process_start != target->process_start &&
	    (announced->process_start || !leaves))
		return accept_start_(exit, target, announced);
	if (announced->state == MMX_TARGET_GONE)
		return true;
	return !target->withdrawn && announced->sequence > target->sequence;
}

bool mmx_exit_order_is_unconfirmed(const mmx_exit_t *exit,
				   const mmx_exit_target_t *target,
				   const mmx_target_announced_t *announced)
{
	if (target || announced->assumed ||
	    announced->state >= MMX_TARGET_DRAINING ||
	    (!announced->process_start && !announced->sequence) ||
	    !exit->observer || !exit->observer->target_unconfirmed ||
	    age_(exit, exit->init_time) > LATE_MAX_US)
		return false;
	mmx_log_event(exit->log, MMX_LOG_INFO, "target_unconfirmed", "target",
		      announced->name, "service", announced->service, NULL);
	exit->observer->target_unconfirmed(exit->observer_context);
	return true;
}

void mmx_exit_order_record(const mmx_exit_t *exit, mmx_exit_target_t *target,
			   const mmx_target_announced_t *announced)
{
	if (announced->process_start &&
	    announced->process_start != target->process_start) {
		target->process_start = announced->process_start;
		target->sequence = 0;
	}
	target->withdrawn = announced->state == MMX_TARGET_GONE;
	if (target->withdrawn)
		target->withdrawn_at = mmx_clock_now(exit->clock);
	else
		target->sequence = announced->sequence;
}

void mmx_exit_order_expire(mmx_exit_t *exit)
{
	mmx_exit_target_t *target = LIST_FIRST(&exit->targets);
	mmx_exit_target_t *next;

	for (; target; target = next) {
		next = LIST_NEXT(target, entry);
		if (target->record.version > 0 ||
		    target->lease_until > mmx_clock_now(exit->clock))
			continue;
		LIST_REMOVE(target, entry);
		mmx_exit_health_finish(target);
		mmx_exit_target_destroy(target);
	}
}
