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

static unsigned int find_replaced_(const mmx_exit_order_t *order,
				   uint64_t start)
{
	unsigned int i = 0;

	while (i < MMX_EXIT_REPLACED_MAX && order->replaced[i] != start)
		i++;
	return i;
}

/*
 * True if announcements of another start have arrived for longer than those of
 * a process that has ended can, and none of the latest start in between.
 */
static bool goes_on_(const mmx_exit_t *exit, mmx_exit_order_t *order,
		     const mmx_target_announced_t *announced)
{
	bool is_known = order->candidate == announced->process_start;

	/* A withdrawal has no sequence. */
	if (announced->state == MMX_TARGET_GONE)
		return is_known &&
		       age_(exit, order->candidate_since) > LATE_MAX_US;
	if (is_known && announced->sequence <= order->candidate_sequence)
		return false;
	if (!is_known)
		order->candidate_since = mmx_clock_now(exit->clock);
	order->candidate = announced->process_start;
	order->candidate_sequence = announced->sequence;
	return age_(exit, order->candidate_since) > LATE_MAX_US;
}

/*
 * Decides on an announcement of another start than the latest. An earlier start
 * may be a new one after the clock of the target was set back. Whether it is
 * shows only with time, but its withdrawal has to hold at once.
 */
static bool accept_start_(const mmx_exit_t *exit, mmx_exit_target_t *target,
			  const mmx_target_announced_t *announced)
{
	bool leaves = announced->state >= MMX_TARGET_DRAINING;
	uint64_t start = announced->process_start;

	if (!start)
		return false;
	if (!target->record.process_start && target->order.left)
		return leaves ||
		       age_(exit, target->order.left_at) > LATE_MAX_US;
	if (find_replaced_(&target->order, start) == MMX_EXIT_REPLACED_MAX &&
	    (leaves || start > target->record.process_start))
		return true;
	return goes_on_(exit, &target->order, announced);
}

bool mmx_exit_order_accept(const mmx_exit_t *exit, mmx_exit_target_t *target,
			   const mmx_target_announced_t *announced)
{
	bool leaves = announced->state >= MMX_TARGET_DRAINING;

	/* A target that leaves does so without a start time as well. */
	if (announced->process_start != target->record.process_start &&
	    (announced->process_start || !leaves))
		return accept_start_(exit, target, announced);
	if (announced->state == MMX_TARGET_GONE)
		return true;
	return !target->withdrawn && !target->replaced_by &&
	       announced->sequence > target->sequence;
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

static void replace_start_(mmx_exit_target_t *target, uint64_t start)
{
	mmx_exit_order_t *order = &target->order;
	unsigned int i = find_replaced_(order, start);

	if (i < MMX_EXIT_REPLACED_MAX)
		order->replaced[i] = 0;
	if (target->record.process_start) {
		mmx_rate_limit_clear(&target->rate_limit);
		order->replaced[order->replaced_next] =
			target->record.process_start;
		order->replaced_next =
			(order->replaced_next + 1) % MMX_EXIT_REPLACED_MAX;
	}
	target->record.process_start = start;
	target->sequence = 0;
	target->says_leaving = false;
}

void mmx_exit_order_record(const mmx_exit_t *exit, mmx_exit_target_t *target,
			   const mmx_target_announced_t *announced)
{
	if (announced->process_start &&
	    announced->process_start != target->record.process_start)
		replace_start_(target, announced->process_start);
	target->order.candidate = 0;
	target->withdrawn = announced->state == MMX_TARGET_GONE;
	target->order.left = announced->state >= MMX_TARGET_DRAINING;
	target->order.left_at = mmx_clock_now(exit->clock);
	if (target->withdrawn) {
		target->says_leaving = false;
		return;
	}
	target->replaced_by = 0;
	target->disputed = false;
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
