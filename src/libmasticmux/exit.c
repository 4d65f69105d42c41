#include "private/exit_internal.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

/* Default bound on the records of ended attempts. */
#define ENDED_RECORDS_MAX 65536
/* Bound on the stored responses of all attempts together, in bytes. */
#define RESPONSE_BYTES_MAX (16 * 1024 * 1024)
/* Interval of the check of leases, queues and expired records. */
#define SWEEP_INTERVAL_US (100 * MMX_US_PER_MS)
/* Time after a pause of the process in which the messages that arrived during
 * the pause are handled. */
#define BACKLOG_US (50 * MMX_US_PER_MS)
/* Time for which the withdrawal of an unknown target is remembered. */
#define WITHDRAWN_KEPT_US (600 * MMX_US_PER_S)

mmx_exit_target_t *mmx_exit_find_target(const mmx_exit_t *exit,
					mmx_target_id_t id)
{
	mmx_exit_target_t *target;

	LIST_FOREACH (target, &exit->targets, entry)
		if (target->record.id == id)
			return target;
	return NULL;
}

static mmx_exit_target_t *find_target_by_name_(const mmx_exit_t *exit,
					       const char *name)
{
	mmx_exit_target_t *target;

	LIST_FOREACH (target, &exit->targets, entry)
		if (strcmp(target->record.name, name) == 0)
			return target;
	return NULL;
}

/* Passes the record to the observer with a new version. */
static void publish_(mmx_exit_t *exit, mmx_exit_target_t *target)
{
	target->record.version++;
	if (exit->observer)
		exit->observer->target_changed(exit->observer_context,
					       &target->record);
}

static void set_state_(mmx_exit_t *exit, mmx_exit_target_t *target,
		       mmx_target_state_t state)
{
	if (target->record.version > 0 && target->record.state == state)
		return;
	target->record.state = state;
	mmx_exit_target_update_leaving(target, mmx_clock_now(exit->clock));
	mmx_log_event(exit->log, MMX_LOG_INFO, "target_state", "target",
		      target->record.name, "service", target->record.service,
		      "state", mmx_target_state_string[state], NULL);
	publish_(exit, target);
	mmx_exit_health_notify_entries(exit, target);
}

void mmx_exit_set_target_gone(mmx_exit_t *exit, mmx_exit_target_t *target)
{
	set_state_(exit, target, MMX_TARGET_GONE);
	mmx_exit_refuse_queue(exit, target);
}

void mmx_exit_set_target_leaving(mmx_exit_t *exit, mmx_exit_target_t *target)
{
	target->says_leaving = true;
	if (target->record.state < MMX_TARGET_DRAINING)
		set_state_(exit, target, MMX_TARGET_DRAINING);
}

void mmx_exit_set_target_refuted(mmx_exit_t *exit, mmx_exit_target_t *target)
{
	mmx_exit_target_t *other;

	target->disputed = true;
	LIST_FOREACH (other, &exit->targets, entry) {
		if (other->replaced_by != target->record.id)
			continue;
		other->replaced_by = 0;
		other->disputed = true;
	}
	mmx_exit_set_target_gone(exit, target);
}

static mmx_time_t warm_up_(const mmx_exit_t *exit, const char *service)
{
	mmx_policy_t policy;

	if (!exit->config_state || !*exit->config_state ||
	    !mmx_config_state_get_service_policy(*exit->config_state, service,
						 &policy))
		return 0;
	return policy.warm_up;
}

static mmx_exit_target_t *add_target_(mmx_exit_t *exit,
				      const mmx_target_announced_t *announced)
{
	mmx_exit_target_t *target;

	target = mmx_exit_target_create(
		mmx_directory_id(exit->node_name, announced->name), exit->node,
		exit->incarnation, announced->name, announced->service);
	target->ramp_start = -(mmx_time_t)MMX_TIME_NEVER / 2;
	target->cold_percent = exit->cold_percent;
	mmx_exit_health_init(exit, target);
	mmx_fault_init(&target->fault, mmx_clock_now(exit->clock));
	LIST_INSERT_HEAD(&exit->targets, target, entry);
	return target;
}

/* Applies all that a renewal may change except the state. */
static void update_target_(mmx_exit_t *exit, mmx_exit_target_t *target,
			   const mmx_target_announced_t *announced)
{
	mmx_target_record_t *record = &target->record;

	target->address = announced->address;
	target->lease_until = mmx_clock_now(exit->clock) + announced->lease;
	if (record->slots == announced->slots &&
	    strcmp(record->service, announced->service) == 0)
		return;
	if (strcmp(record->service, announced->service) != 0)
		mmx_exit_refuse_queue(exit, target);
	record->slots = announced->slots;
	g_strlcpy(record->service, announced->service, sizeof(record->service));
	if (record->version > 0)
		publish_(exit, target);
}

/*
 * A planned stop ends when the target withdraws, or when a new process of the
 * target announces itself. A target whose lease only expired, because the
 * target or this node was paused, stays stopped.
 */
static void update_stopped_(mmx_exit_target_t *target,
			    mmx_target_state_t announced)
{
	if (announced == MMX_TARGET_GONE ||
	    (announced == MMX_TARGET_COLD &&
	     target->record.state == MMX_TARGET_GONE))
		target->stopped = false;
}

/* True if the targets have announced what the answer to a probe says. */
static bool is_answered_by_targets_(const mmx_exit_t *exit,
				    const mmx_target_announced_t *announced)
{
	const mmx_exit_target_t *target;

	LIST_FOREACH (target, &exit->targets, entry)
		if (target->record.state != MMX_TARGET_GONE ||
		    strcmp(target->record.name, announced->name) == 0)
			return true;
	return false;
}

/*
 * True when an announcement must be ignored. It may arrive after newer ones, of
 * the same target or of another process at the same address. A withdrawal is
 * valid without a start time: a target that withdraws does not come back.
 */
static bool is_stale_(const mmx_exit_t *exit,
		      const mmx_target_announced_t *announced)
{
	mmx_exit_target_t *target;

	if (announced->assumed)
		return is_answered_by_targets_(exit, announced);
	if (announced->state == MMX_TARGET_GONE) {
		target = find_target_by_name_(exit, announced->name);
		return target &&
		       !mmx_exit_order_accept(exit, target, announced);
	}
	if (!announced->process_start && !announced->sequence)
		return false;
	LIST_FOREACH (target, &exit->targets, entry) {
		if (strcmp(target->record.name, announced->name) == 0) {
			if (!mmx_exit_order_accept(exit, target, announced))
				return true;
		} else if (!target->disputed &&
			   target->record.process_start >
				   announced->process_start &&
			   mmx_address_is_equal(&target->address,
						&announced->address)) {
			return true;
		}
	}
	return false;
}

/* Marks other targets as gone if their address is announced by this one. */
static void remove_replaced_(mmx_exit_t *exit,
			     const mmx_target_announced_t *announced)
{
	mmx_exit_target_t *target;

	if ((!announced->process_start && !announced->sequence) ||
	    announced->state == MMX_TARGET_GONE)
		return;
	LIST_FOREACH (target, &exit->targets, entry) {
		if (strcmp(target->record.name, announced->name) == 0 ||
		    !mmx_address_is_equal(&target->address,
					  &announced->address))
			continue;
		target->replaced_by =
			mmx_directory_id(exit->node_name, announced->name);
		mmx_exit_set_target_gone(exit, target);
	}
}

/* Starts the ramp, which only a target that reports itself as cold needs. */
static void update_ramp_(mmx_exit_t *exit, mmx_exit_target_t *target,
			 const mmx_target_announced_t *announced)
{
	if (announced->cold_left > 0) {
		if (mmx_exit_target_is_cold(target, mmx_clock_now(exit->clock)))
			return;
		target->ramp_start = mmx_clock_now(exit->clock);
		target->ramp_length = announced->cold_left;
	} else if (announced->state == MMX_TARGET_COLD &&
		   (target->record.version == 0 ||
		    target->record.state != MMX_TARGET_COLD)) {
		target->ramp_start = mmx_clock_now(exit->clock);
		target->ramp_length = warm_up_(exit, announced->service);
	}
}

/*
 * Remembers the withdrawal of a target that has not announced itself to this
 * process. Nobody is told: without a service there is no record to publish.
 */
static void withdraw_unknown_(mmx_exit_t *exit, mmx_exit_target_t *target,
			      const mmx_target_announced_t *announced)
{
	if (!target)
		target = add_target_(exit, announced);
	target->record.state = MMX_TARGET_GONE;
	target->lease_until = mmx_clock_now(exit->clock) + WITHDRAWN_KEPT_US;
	mmx_exit_order_record(exit, target, announced);
	mmx_exit_target_update_leaving(target, mmx_clock_now(exit->clock));
	mmx_log_event(exit->log, MMX_LOG_INFO, "target_withdrawn", "target",
		      target->record.name, NULL);
}

static void on_announced_(mmx_exit_t *exit,
			  const mmx_target_announced_t *announced)
{
	mmx_exit_target_t *target = find_target_by_name_(exit, announced->name);
	mmx_target_state_t state = announced->state;

	if (is_stale_(exit, announced) ||
	    mmx_exit_order_is_unconfirmed(exit, target, announced))
		return;
	if (state == MMX_TARGET_GONE &&
	    (!target || target->record.version == 0)) {
		withdraw_unknown_(exit, target, announced);
		return;
	}
	remove_replaced_(exit, announced);
	if (!target)
		target = add_target_(exit, announced);
	mmx_exit_order_record(exit, target, announced);
	update_ramp_(exit, target, announced);
	/* A withdrawal has no fields but the name of the target. */
	if (state == MMX_TARGET_GONE)
		target->lease_until = mmx_clock_now(exit->clock);
	else
		update_target_(exit, target, announced);
	update_stopped_(target, state);
	if ((target->stopped || target->says_leaving) &&
	    state < MMX_TARGET_DRAINING)
		state = MMX_TARGET_DRAINING;
	set_state_(exit, target, state);
	mmx_exit_target_update_leaving(target, mmx_clock_now(exit->clock));
	mmx_exit_start_queued(exit, target);
}

void mmx_exit_detect_pause(mmx_exit_t *exit)
{
	mmx_time_t now = mmx_clock_now(exit->clock);

	if (now - exit->last_activity > MMX_EXIT_PAUSE_MIN_US) {
		exit->pause_length = now - exit->last_activity;
		exit->backlog_until = now + BACKLOG_US;
	}
	exit->last_activity = now;
}

static void on_sweep_(void *arg)
{
	mmx_exit_t *exit = arg;
	mmx_time_t now = mmx_clock_now(exit->clock);
	mmx_time_t late = now - exit->last_sweep - SWEEP_INTERVAL_US;
	mmx_exit_target_t *target;

	mmx_exit_detect_pause(exit);
	exit->last_sweep = now;
	mmx_attempts_expire(exit->attempts);
	mmx_exit_order_expire(exit);
	LIST_FOREACH (target, &exit->targets, entry) {
		/* Renewals were not read while this process was paused. */
		if (late > MMX_EXIT_PAUSE_MIN_US &&
		    target->lease_until < MMX_TIME_NEVER)
			target->lease_until += late;
		mmx_limits_expire(target->limits, now);
		if (target->lease_until <= now)
			set_state_(exit, target, MMX_TARGET_GONE);
		mmx_exit_start_queued(exit, target);
	}
	mmx_timer_set(&exit->sweep_timer, SWEEP_INTERVAL_US);
}

static void handle_(mmx_task_t *task, mmx_message_t *message)
{
	mmx_exit_t *exit = (mmx_exit_t *)task;

	mmx_exit_detect_pause(exit);
	switch ((mmx_message_kind_t)message->ops->kind) {
	case MMX_MESSAGE_EXECUTE:
		mmx_exit_on_execute(exit, (mmx_execute_t *)message);
		return;
	case MMX_MESSAGE_BODY:
		mmx_exit_on_body(exit, (mmx_body_t *)message);
		return;
	case MMX_MESSAGE_WINDOW:
		mmx_exit_on_window(exit, (mmx_window_t *)message);
		return;
	case MMX_MESSAGE_CANCEL:
		mmx_exit_on_cancel(exit, (mmx_cancel_t *)message);
		break;
	case MMX_MESSAGE_FENCE:
		mmx_exit_on_fence(exit, (mmx_fence_t *)message);
		break;
	case MMX_MESSAGE_ORIGIN_LOST:
		mmx_exit_on_origin_lost(exit, (mmx_origin_lost_t *)message);
		break;
	case MMX_MESSAGE_TARGET_ANNOUNCED:
		on_announced_(exit, (mmx_target_announced_t *)message);
		break;
	case MMX_MESSAGE_CALL_EVENT:
		mmx_exit_on_call_event(exit, (mmx_call_event_t *)message);
		break;
	default:
		assert(!"message kind that the exit does not handle");
	}
	mmx_message_destroy(message);
}

static const mmx_task_ops_t task_ops_ = {"exit", handle_};

static void stop_target_(mmx_exit_t *exit, mmx_exit_target_t *target)
{
	target->stopped = true;
	if (target->record.state != MMX_TARGET_GONE)
		set_state_(exit, target, MMX_TARGET_DRAINING);
	if (!exit->guards->graceful_stop)
		mmx_exit_abort_target(exit, target);
}

/* Also the callback of the timer of a delayed stop. */
static void stop_targets_(void *arg)
{
	mmx_exit_t *exit = arg;
	mmx_exit_target_t *target;

	LIST_FOREACH (target, &exit->targets, entry)
		stop_target_(exit, target);
}

mmx_exit_t *mmx_exit_create(mmx_runtime_t *runtime, mmx_node_id_t node,
			    const char *node_name,
			    mmx_incarnation_t incarnation)
{
	mmx_exit_t *exit = g_new0(mmx_exit_t, 1);

	mmx_task_init(&exit->task, &task_ops_, runtime);
	exit->clock = mmx_runtime_clock(runtime);
	exit->node = node;
	g_strlcpy(exit->node_name, node_name, sizeof(exit->node_name));
	exit->incarnation = incarnation;
	exit->guards = &mmx_guards_all;
	exit->header_names = &mmx_header_names_default;
	exit->record_max = ENDED_RECORDS_MAX;
	exit->cold_percent = MMX_EXIT_COLD_PERCENT;
	LIST_INIT(&exit->targets);
	mmx_timer_init(&exit->sweep_timer, exit->clock, on_sweep_, exit);
	mmx_timer_init(&exit->expiry_timer, exit->clock, mmx_exit_on_expiry,
		       exit);
	mmx_timer_init(&exit->pace_timer, exit->clock, mmx_exit_on_pace, exit);
	mmx_timer_init(&exit->stop_timer, exit->clock, stop_targets_, exit);
	mmx_timer_init(&exit->health_timer, exit->clock,
		       mmx_exit_health_on_timer, exit);
	return exit;
}

void mmx_exit_destroy(mmx_exit_t *exit)
{
	mmx_exit_target_t *target;

	if (!exit)
		return;
	mmx_timer_cancel(&exit->sweep_timer);
	mmx_timer_cancel(&exit->expiry_timer);
	mmx_timer_cancel(&exit->pace_timer);
	mmx_timer_cancel(&exit->health_timer);
	mmx_timer_cancel(&exit->stop_timer);
	mmx_task_finish(&exit->task);
	if (exit->attempts)
		mmx_exit_health_abandon_all(exit);
	while ((target = LIST_FIRST(&exit->targets))) {
		LIST_REMOVE(target, entry);
		TAILQ_INIT(&target->queue);
		TAILQ_INIT(&target->running);
		target->in_progress = 0;
		mmx_exit_health_finish(target);
		mmx_exit_target_destroy(target);
	}
	mmx_attempts_destroy(exit->attempts);
	g_free(exit);
}

bool mmx_exit_set_target_client(mmx_exit_t *exit, mmx_task_t *client)
{
	if (exit->initialised)
		return false;
	exit->client = client;
	return true;
}

bool mmx_exit_set_observer(mmx_exit_t *exit, const mmx_exit_observer_ops_t *ops,
			   void *context)
{
	if (exit->initialised)
		return false;
	exit->observer = ops;
	exit->observer_context = context;
	return true;
}

bool mmx_exit_set_config_state(mmx_exit_t *exit,
			       const mmx_config_state_t *const *config_state)
{
	if (exit->initialised)
		return false;
	exit->config_state = config_state;
	return true;
}

static void register_replies_(mmx_exit_t *exit, mmx_counters_t *counters)
{
	char labels[64];
	int kind;
	int id;

	for (kind = 0; kind < MMX_REPLY_KIND_COUNT; kind++) {
		for (id = 0; id < MMX_REPLY_ID_COUNT; id++) {
			g_snprintf(labels, sizeof(labels),
				   "kind=\"%s\",request_id=\"%s\"",
				   mmx_reply_kind_string[kind],
				   mmx_reply_id_string[id]);
			exit->replies[kind][id] = mmx_counters_get(
				counters, MMX_COUNTER,
				"masticmux_target_replies_total", labels,
				"Heads of responses from targets.");
		}
	}
}

static void register_evictions_(mmx_exit_t *exit, mmx_counters_t *counters)
{
	char labels[32];
	int cause;

	for (cause = 0; cause < MMX_FAIR_QUEUE_CAUSE_COUNT; cause++) {
		g_snprintf(labels, sizeof(labels), "cause=\"%s\"",
			   mmx_fair_queue_cause_string[cause]);
		exit->evicted[cause] = mmx_counters_get(
			counters, MMX_COUNTER, "masticmux_exit_evictions_total",
			labels, "Queued attempts refused in favour of others.");
	}
}

bool mmx_exit_set_counters(mmx_exit_t *exit, mmx_counters_t *counters)
{
	if (exit->initialised)
		return false;
	exit->started = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_exit_started_total", "",
		"Attempts started at targets beside this node.");
	exit->queue_time = mmx_counters_histogram(
		counters, "masticmux_exit_queue_seconds", "",
		"Time from the arrival of an attempt to its start.");
	exit->run_time = mmx_counters_histogram(
		counters, "masticmux_target_seconds", "",
		"Time from the start of an attempt to its end.");
	exit->refused = mmx_counters_get(counters, MMX_COUNTER,
					 "masticmux_exit_refused_total", "",
					 "Attempts refused by this exit.");
	exit->granted = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_exit_grants_total", "",
		"Repeats refused here and granted to another exit.");
	exit->fenced = mmx_counters_get(counters, MMX_COUNTER,
					"masticmux_exit_fence_total", "",
					"Fencing queries received.");
	exit->expired = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_exit_expired_total", "",
		"Queued attempts whose deadline passed before the start.");
	register_replies_(exit, counters);
	register_evictions_(exit, counters);
	return true;
}

bool mmx_exit_set_header_names(mmx_exit_t *exit,
			       const mmx_header_names_t *header_names)
{
	if (exit->initialised)
		return false;
	exit->header_names = header_names;
	return true;
}

bool mmx_exit_set_cold_percent(mmx_exit_t *exit, uint8_t percent)
{
	assert(percent >= 1 && percent <= 100);
	if (exit->initialised)
		return false;
	exit->cold_percent = percent;
	return true;
}

bool mmx_exit_set_expect_episodes(mmx_exit_t *exit, bool expected)
{
	if (exit->initialised)
		return false;
	exit->expect_episodes = expected;
	return true;
}

bool mmx_exit_set_record_max(mmx_exit_t *exit, size_t record_max)
{
	if (exit->initialised)
		return false;
	exit->record_max = record_max;
	return true;
}

bool mmx_exit_set_guards(mmx_exit_t *exit, const mmx_guards_t *guards)
{
	if (exit->initialised)
		return false;
	exit->guards = guards;
	return true;
}

bool mmx_exit_set_reports_work(mmx_exit_t *exit, const bool *reports)
{
	if (exit->initialised)
		return false;
	exit->reports_work = reports;
	return true;
}

bool mmx_exit_set_trace(mmx_exit_t *exit, struct mmx_trace_t *trace)
{
	if (exit->initialised)
		return false;
	exit->trace = trace;
	return true;
}

bool mmx_exit_set_history(mmx_exit_t *exit, mmx_history_t *history)
{
	if (exit->initialised)
		return false;
	exit->history = history;
	return true;
}

bool mmx_exit_set_log(mmx_exit_t *exit, mmx_log_t *log)
{
	if (exit->initialised)
		return false;
	exit->log = log;
	return true;
}

void mmx_exit_init(mmx_exit_t *exit)
{
	assert(exit->client && !exit->initialised);
	exit->initialised = true;
	exit->attempts = mmx_attempts_create(exit->clock, exit->record_max,
					     RESPONSE_BYTES_MAX);
	mmx_attempts_set_guards(exit->attempts, exit->guards);
	exit->last_sweep = mmx_clock_now(exit->clock);
	exit->init_time = exit->last_sweep;
	exit->last_evaluation = exit->last_sweep;
	exit->last_activity = exit->last_sweep;
	mmx_timer_set(&exit->health_timer, MMX_DETECTION_PERIOD_US);
	mmx_timer_set(&exit->sweep_timer, SWEEP_INTERVAL_US);
}

mmx_task_t *mmx_exit_task(mmx_exit_t *exit)
{
	return &exit->task;
}

bool mmx_exit_stop_target(mmx_exit_t *exit, const char *name)
{
	mmx_exit_target_t *target = find_target_by_name_(exit, name);

	if (!target)
		return false;
	stop_target_(exit, target);
	return true;
}

void mmx_exit_stop_all(mmx_exit_t *exit, mmx_time_t delay)
{
	if (delay > 0)
		mmx_timer_set(&exit->stop_timer, delay);
	else
		stop_targets_(exit);
}

void mmx_exit_set_end(mmx_exit_t *exit, mmx_time_t end)
{
	exit->ends_at = end;
}

size_t mmx_exit_in_progress(const mmx_exit_t *exit, const char *name)
{
	const mmx_exit_target_t *target;
	size_t total = 0;

	LIST_FOREACH (target, &exit->targets, entry)
		if (!name || strcmp(target->record.name, name) == 0)
			total += target->in_progress + target->queued;
	return total;
}

bool mmx_exit_load(const mmx_exit_t *exit, mmx_target_id_t id,
		   mmx_load_report_t *report)
{
	const mmx_exit_target_t *target = mmx_exit_find_target(exit, id);

	if (!target)
		return false;
	mmx_exit_target_report(target, mmx_clock_now(exit->clock), report);
	return true;
}
