#include "private/exit.h"

#include <assert.h>
#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

#include "private/attempts.h"
#include "private/exit_target.h"

/* Ended attempts that are remembered, and bytes of their responses. */
#define RECORD_MAX 65536
#define ANSWER_BYTES_MAX (16 * 1024 * 1024)
/* Leases, queued deadlines and old records are checked this often. */
#define SWEEP_INTERVAL_US (100 * MMX_US_PER_MS)

typedef LIST_HEAD(target_list_t, mmx_exit_target_t) target_list_t;

struct mmx_exit_t {
	mmx_task_t task;
	mmx_clock_t *clock;
	mmx_node_id_t node;
	char node_name[MMX_NAME_MAX + 1];
	mmx_incarnation_t incarnation;
	bool running;
	mmx_task_t *client;
	const mmx_exit_observer_ops_t *observer;
	void *observer_context;
	const mmx_fold_t *const *fold;
	mmx_log_t *log;
	mmx_attempts_t *attempts;
	target_list_t targets;
	mmx_timer_t sweep;
	mmx_counter_t *started;
	mmx_counter_t *refused;
	mmx_counter_t *fenced;
	mmx_counter_t *expired;
};

static void start_queued_(mmx_exit_t *exit, mmx_exit_target_t *target);

/* --- targets ----------------------------------------------------------- */

static mmx_exit_target_t *find_target_(const mmx_exit_t *exit,
				       mmx_target_id_t id)
{
	mmx_exit_target_t *target;

	LIST_FOREACH (target, &exit->targets, entry)
		if (target->record.id == id)
			return target;
	return NULL;
}

static mmx_exit_target_t *find_target_name_(const mmx_exit_t *exit,
					    const char *name)
{
	mmx_exit_target_t *target;

	LIST_FOREACH (target, &exit->targets, entry)
		if (strcmp(target->record.name, name) == 0)
			return target;
	return NULL;
}

static void set_state_(mmx_exit_t *exit, mmx_exit_target_t *target,
		       mmx_target_state_t state)
{
	if (target->record.version > 0 && target->record.state == state)
		return;
	target->record.state = state;
	target->record.version++;
	mmx_log_event(exit->log, MMX_LOG_INFO, "target_state", "target",
		      target->record.name, "service", target->record.service,
		      "state", mmx_target_state_string[state], NULL);
	if (exit->observer)
		exit->observer->target_changed(exit->observer_context,
					       &target->record);
}

static mmx_time_t warm_up_(const mmx_exit_t *exit, const char *service)
{
	mmx_policy_t policy;

	if (!exit->fold || !*exit->fold ||
	    !mmx_fold_service(*exit->fold, service, &policy))
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
	/* Only a target that says it is cold needs the ramp. */
	target->warm_since = -(mmx_time_t)MMX_TIME_NEVER / 2;
	LIST_INSERT_HEAD(&exit->targets, target, entry);
	return target;
}

static void on_announced_(mmx_exit_t *exit,
			  const mmx_target_announced_t *announced)
{
	mmx_exit_target_t *target = find_target_name_(exit, announced->name);
	mmx_time_t now = mmx_clock_now(exit->clock);
	bool returned;

	if (!target && announced->state == MMX_TARGET_GONE)
		return;
	if (!target)
		target = add_target_(exit, announced);
	returned = target->record.state == MMX_TARGET_GONE;
	target->address = announced->address;
	target->record.slots = announced->slots;
	target->lease_until = now + announced->lease;
	if (announced->state == MMX_TARGET_COLD &&
	    (target->record.version == 0 || returned ||
	     target->record.state != MMX_TARGET_COLD)) {
		target->warm_since = now;
		target->warm_up = warm_up_(exit, target->record.service);
	}
	if (returned)
		target->stopped = false;
	set_state_(exit, target,
		   target->stopped ? MMX_TARGET_DRAINING : announced->state);
	start_queued_(exit, target);
}

/* --- responses --------------------------------------------------------- */

static void post_response_(mmx_exit_t *exit, mmx_response_t *response,
			   const mmx_exit_target_t *target,
			   const mmx_origin_t *origin)
{
	response->exit = exit->node;
	response->origin = *origin;
	if (target)
		mmx_exit_target_report(target, &response->load);
	mmx_task_post(origin->task, &response->message);
}

static void post_refusal_(mmx_exit_t *exit, const mmx_attempt_id_t *id,
			  const mmx_origin_t *origin,
			  const mmx_exit_target_t *target, mmx_reason_t reason,
			  bool started)
{
	mmx_response_t *response = mmx_new_response(id);

	response->reason = reason;
	response->started = started;
	response->body_end = true;
	mmx_counter_add(exit->refused, 1);
	post_response_(exit, response, target, origin);
}

static void post_fence_reply_(mmx_exit_t *exit, mmx_attempt_t *attempt,
			      const mmx_attempt_id_t *id,
			      const mmx_origin_t *origin,
			      mmx_fence_state_t state)
{
	mmx_fence_reply_t *reply = mmx_new_fence_reply(id, state);

	reply->exit = exit->node;
	reply->origin = *origin;
	if (state == MMX_FENCE_FINISHED && attempt && attempt->answer_head) {
		reply->head = mmx_head_copy(attempt->answer_head);
		evbuffer_add_buffer_reference(reply->body,
					      attempt->answer_body);
	}
	mmx_task_post(origin->task, &reply->message);
}

/* --- life of an attempt ------------------------------------------------ */

static void remove_from_queue_(mmx_attempt_t *attempt)
{
	TAILQ_REMOVE(&attempt->target->queue, attempt, queue_entry);
	attempt->target->queued--;
}

/* Ends a queued attempt that never starts. */
static void refuse_queued_(mmx_exit_t *exit, mmx_attempt_t *attempt,
			   mmx_reason_t reason)
{
	remove_from_queue_(attempt);
	if (!attempt->abandoned)
		post_refusal_(exit, &attempt->id, &attempt->origin,
			      attempt->target, reason, false);
	mmx_attempts_end(exit->attempts, attempt, MMX_ATTEMPT_REFUSED);
}

static void end_running_(mmx_exit_t *exit, mmx_attempt_t *attempt)
{
	mmx_exit_target_t *target = attempt->target;

	target->in_progress--;
	if (attempt->reply_at_end)
		post_fence_reply_(exit, attempt, &attempt->id, &attempt->origin,
				  MMX_FENCE_FINISHED);
	mmx_attempts_end(exit->attempts, attempt, MMX_ATTEMPT_FINISHED);
	start_queued_(exit, target);
}

static void start_(mmx_exit_t *exit, mmx_attempt_t *attempt)
{
	mmx_exit_target_t *target = attempt->target;
	mmx_execute_t *execute = attempt->execute;
	mmx_call_t *call = mmx_new_call(&attempt->id);

	remove_from_queue_(attempt);
	target->in_progress++;
	attempt->state = MMX_ATTEMPT_RUNNING;
	attempt->started = mmx_clock_now(exit->clock);
	if (!attempt->repeatable)
		attempt->answer_body = evbuffer_new();
	call->address = target->address;
	call->remaining = attempt->deadline - attempt->started;
	call->head = execute->head;
	execute->head = NULL;
	evbuffer_add_buffer(call->body, execute->body);
	call->body_end = execute->body_end;
	mmx_counter_add(exit->started, 1);
	mmx_task_post(exit->client, &call->message);
}

static void start_queued_(mmx_exit_t *exit, mmx_exit_target_t *target)
{
	mmx_time_t now = mmx_clock_now(exit->clock);
	mmx_attempt_t *attempt;

	while ((attempt = TAILQ_FIRST(&target->queue))) {
		/* The deadline is read here and not from a timer, so that a
		 * process that was paused starts nothing whose time is up. */
		if (attempt->deadline <= now) {
			mmx_counter_add(exit->expired, 1);
			refuse_queued_(exit, attempt,
				       MMX_REASON_DEADLINE_EXCEEDED);
			continue;
		}
		if (!mmx_exit_target_can_start(target, now))
			return;
		start_(exit, attempt);
	}
}

static mmx_reason_t admit_(mmx_exit_t *exit, const mmx_execute_t *execute,
			   mmx_exit_target_t **target)
{
	*target = find_target_(exit, execute->target);
	if (execute->exit_incarnation != exit->incarnation)
		return MMX_REASON_WRONG_INCARNATION;
	if (!*target)
		return MMX_REASON_DRAINING;
	return mmx_exit_target_admit(*target, mmx_clock_now(exit->clock),
				     execute->remaining);
}

static void on_new_execute_(mmx_exit_t *exit, mmx_execute_t *execute)
{
	mmx_exit_target_t *target;
	mmx_reason_t reason = admit_(exit, execute, &target);
	mmx_attempt_t *attempt;

	if (reason != MMX_REASON_NONE) {
		post_refusal_(exit, &execute->attempt, &execute->origin, target,
			      reason, false);
		/* A copy that arrives later must not start either. */
		attempt = mmx_attempts_add(exit->attempts, &execute->attempt);
		attempt->repeatable = execute->repeatable;
		mmx_attempts_end(exit->attempts, attempt, MMX_ATTEMPT_REFUSED);
		mmx_message_destroy(&execute->message);
		return;
	}
	attempt = mmx_attempts_add(exit->attempts, &execute->attempt);
	attempt->execute = execute;
	attempt->target = target;
	attempt->origin = execute->origin;
	attempt->repeatable = execute->repeatable;
	attempt->deadline = mmx_clock_now(exit->clock) + execute->remaining;
	TAILQ_INSERT_TAIL(&target->queue, attempt, queue_entry);
	target->queued++;
	start_queued_(exit, target);
}

static void on_execute_(mmx_exit_t *exit, mmx_execute_t *execute)
{
	mmx_attempt_t *known;
	mmx_reason_t reason = MMX_REASON_FORGOTTEN;

	switch (mmx_attempts_find(exit->attempts, &execute->attempt, &known)) {
	case MMX_ATTEMPT_NEW:
		on_new_execute_(exit, execute);
		return;
	case MMX_ATTEMPT_KNOWN:
		if (known->state != MMX_ATTEMPT_REFUSED) {
			/* A duplicate of one that is being dealt with. */
			mmx_message_destroy(&execute->message);
			return;
		}
		reason = MMX_REASON_FENCED;
		break;
	case MMX_ATTEMPT_STALE:
		reason = MMX_REASON_FENCED;
		break;
	default:
		break;
	}
	post_refusal_(exit, &execute->attempt, &execute->origin, NULL, reason,
		      reason == MMX_REASON_FORGOTTEN);
	mmx_message_destroy(&execute->message);
}

/* Only for repeatable attempts: others are left to finish. */
static void cancel_running_(mmx_exit_t *exit, mmx_attempt_t *attempt)
{
	mmx_task_post(exit->client,
		      &mmx_new_call_cancel(&attempt->id)->message);
	end_running_(exit, attempt);
}

static void on_cancel_(mmx_exit_t *exit, const mmx_cancel_t *cancel)
{
	mmx_attempt_t *attempt;

	if (mmx_attempts_find(exit->attempts, &cancel->attempt, &attempt) !=
	    MMX_ATTEMPT_KNOWN)
		return;
	attempt->abandoned = true;
	if (attempt->state == MMX_ATTEMPT_QUEUED) {
		refuse_queued_(exit, attempt, MMX_REASON_FENCED);
	} else if (attempt->state == MMX_ATTEMPT_RUNNING &&
		   attempt->repeatable) {
		cancel_running_(exit, attempt);
	}
}

static void fence_known_(mmx_exit_t *exit, mmx_attempt_t *attempt,
			 const mmx_fence_t *fence)
{
	switch (attempt->state) {
	case MMX_ATTEMPT_QUEUED:
		post_fence_reply_(exit, NULL, &fence->attempt, &fence->origin,
				  MMX_FENCE_FENCED);
		attempt->abandoned = true;
		refuse_queued_(exit, attempt, MMX_REASON_FENCED);
		break;
	case MMX_ATTEMPT_RUNNING:
		attempt->origin = fence->origin;
		attempt->abandoned = false;
		/* What went out on the old connection may be lost, so the
		 * whole response follows in one piece. */
		if (attempt->response_sent)
			attempt->reply_at_end = true;
		post_fence_reply_(exit, NULL, &fence->attempt, &fence->origin,
				  MMX_FENCE_RUNNING);
		break;
	case MMX_ATTEMPT_FINISHED:
		post_fence_reply_(exit, attempt, &fence->attempt,
				  &fence->origin, MMX_FENCE_FINISHED);
		break;
	default:
		post_fence_reply_(exit, NULL, &fence->attempt, &fence->origin,
				  MMX_FENCE_FENCED);
		break;
	}
}

static void on_fence_(mmx_exit_t *exit, const mmx_fence_t *fence)
{
	mmx_fence_state_t state = MMX_FENCE_FORGOTTEN;
	mmx_attempt_t *attempt;

	mmx_counter_add(exit->fenced, 1);
	switch (mmx_attempts_find(exit->attempts, &fence->attempt, &attempt)) {
	case MMX_ATTEMPT_KNOWN:
		fence_known_(exit, attempt, fence);
		return;
	case MMX_ATTEMPT_NEW:
		/* An earlier process here may have run it. */
		if (fence->exit_incarnation != exit->incarnation)
			break;
		attempt = mmx_attempts_add(exit->attempts, &fence->attempt);
		mmx_attempts_end(exit->attempts, attempt, MMX_ATTEMPT_REFUSED);
		state = MMX_FENCE_FENCED;
		break;
	default:
		break;
	}
	post_fence_reply_(exit, NULL, &fence->attempt, &fence->origin, state);
}

/* --- calls to targets -------------------------------------------------- */

static mmx_attempt_t *running_(mmx_exit_t *exit, const mmx_attempt_id_t *id)
{
	mmx_attempt_t *attempt;

	if (mmx_attempts_find(exit->attempts, id, &attempt) !=
		    MMX_ATTEMPT_KNOWN ||
	    attempt->state != MMX_ATTEMPT_RUNNING)
		return NULL;
	return attempt;
}

static void on_call_failed_(mmx_exit_t *exit, mmx_attempt_t *attempt,
			    const mmx_call_event_t *event)
{
	bool started = event->result != MMX_CALL_NOT_SENT;

	if (!attempt->abandoned)
		post_refusal_(exit, &attempt->id, &attempt->origin,
			      attempt->target, MMX_REASON_TARGET_FAILED,
			      started);
	attempt->reply_at_end = false;
	if (started) {
		end_running_(exit, attempt);
		return;
	}
	attempt->target->in_progress--;
	start_queued_(exit, attempt->target);
	mmx_attempts_end(exit->attempts, attempt, MMX_ATTEMPT_REFUSED);
}

static void on_call_head_(mmx_exit_t *exit, mmx_attempt_t *attempt,
			  mmx_call_event_t *event)
{
	mmx_response_t *response = mmx_new_response(&attempt->id);
	mmx_time_t now = mmx_clock_now(exit->clock);
	bool end = event->body_end;

	attempt->headed = true;
	if (attempt->answer_body) {
		attempt->answer_head = mmx_head_copy(event->head);
		mmx_attempts_keep(exit->attempts, attempt, event->body);
	}
	response->head = event->head;
	event->head = NULL;
	evbuffer_add_buffer(response->body, event->body);
	response->body_end = end;
	response->queue_time = attempt->started - attempt->arrived;
	response->target_time = now - attempt->started;
	if (end)
		mmx_exit_target_note_service(attempt->target,
					     now - attempt->started);
	if (!attempt->abandoned) {
		post_response_(exit, response, attempt->target,
			       &attempt->origin);
		attempt->response_sent = true;
	} else {
		mmx_message_destroy(&response->message);
	}
	if (end)
		end_running_(exit, attempt);
}

static void on_call_event_(mmx_exit_t *exit, mmx_call_event_t *event)
{
	mmx_attempt_t *attempt = running_(exit, &event->attempt);

	if (!attempt)
		return;
	if (event->result == MMX_CALL_HEAD)
		on_call_head_(exit, attempt, event);
	else
		on_call_failed_(exit, attempt, event);
}

static void on_target_body_(mmx_exit_t *exit, mmx_body_t *body)
{
	mmx_attempt_t *attempt = running_(exit, &body->attempt);
	bool end = body->end;
	bool failed = body->failed;

	if (!attempt) {
		mmx_message_destroy(&body->message);
		return;
	}
	mmx_attempts_keep(exit->attempts, attempt, body->data);
	if (attempt->abandoned || attempt->reply_at_end) {
		mmx_message_destroy(&body->message);
	} else {
		body->exit = exit->node;
		body->origin = attempt->origin;
		mmx_task_post(attempt->origin.task, &body->message);
	}
	if (!end)
		return;
	if (failed) {
		/* What is kept is not a whole response. */
		mmx_head_destroy(attempt->answer_head);
		attempt->answer_head = NULL;
	} else {
		mmx_exit_target_note_service(attempt->target,
					     mmx_clock_now(exit->clock) -
						     attempt->started);
	}
	end_running_(exit, attempt);
}

static void on_request_body_(mmx_exit_t *exit, mmx_body_t *body)
{
	mmx_attempt_t *attempt;

	if (mmx_attempts_find(exit->attempts, &body->attempt, &attempt) !=
		    MMX_ATTEMPT_KNOWN ||
	    !attempt->execute) {
		mmx_message_destroy(&body->message);
		return;
	}
	if (attempt->state == MMX_ATTEMPT_RUNNING) {
		mmx_task_post(exit->client, &body->message);
		return;
	}
	evbuffer_add_buffer(attempt->execute->body, body->data);
	attempt->execute->body_end = body->end;
	if (body->failed)
		refuse_queued_(exit, attempt, MMX_REASON_BAD_REQUEST);
	mmx_message_destroy(&body->message);
}

static void on_window_(mmx_exit_t *exit, mmx_window_t *window)
{
	mmx_attempt_t *attempt = running_(exit, &window->attempt);

	if (!attempt) {
		mmx_message_destroy(&window->message);
	} else if (window->direction == MMX_TO_CALLER) {
		mmx_task_post(exit->client, &window->message);
	} else {
		window->exit = exit->node;
		window->origin = attempt->origin;
		mmx_task_post(attempt->origin.task, &window->message);
	}
}

/* --- connections and sweep --------------------------------------------- */

typedef struct abandoning_t {
	uint64_t connection;
	GArray *running; /* ids of repeatable attempts to be cancelled */
} abandoning_t;

static void abandon_(mmx_attempt_t *attempt, void *arg)
{
	abandoning_t *abandoning = arg;

	if (attempt->origin.connection != abandoning->connection)
		return;
	attempt->abandoned = true;
	if (attempt->state == MMX_ATTEMPT_RUNNING && attempt->repeatable)
		g_array_append_val(abandoning->running, attempt->id);
}

static void refuse_abandoned_(mmx_exit_t *exit)
{
	mmx_exit_target_t *target;
	mmx_attempt_t *attempt;
	mmx_attempt_t *next;

	LIST_FOREACH (target, &exit->targets, entry) {
		for (attempt = TAILQ_FIRST(&target->queue); attempt;
		     attempt = next) {
			next = TAILQ_NEXT(attempt, queue_entry);
			if (attempt->abandoned)
				refuse_queued_(exit, attempt,
					       MMX_REASON_FENCED);
		}
	}
}

static void on_origin_lost_(mmx_exit_t *exit, const mmx_origin_lost_t *lost)
{
	abandoning_t abandoning = {
		.connection = lost->connection,
		.running = g_array_new(FALSE, FALSE, sizeof(mmx_attempt_id_t)),
	};
	mmx_attempt_t *attempt;
	guint i;

	mmx_attempts_each_open(exit->attempts, abandon_, &abandoning);
	refuse_abandoned_(exit);
	for (i = 0; i < abandoning.running->len; i++) {
		attempt = running_(exit, &g_array_index(abandoning.running,
							mmx_attempt_id_t, i));
		if (attempt)
			cancel_running_(exit, attempt);
	}
	g_array_free(abandoning.running, TRUE);
}

static void expire_queued_(mmx_exit_t *exit, mmx_exit_target_t *target,
			   mmx_time_t now)
{
	mmx_attempt_t *attempt;
	mmx_attempt_t *next;

	for (attempt = TAILQ_FIRST(&target->queue); attempt; attempt = next) {
		next = TAILQ_NEXT(attempt, queue_entry);
		if (attempt->deadline > now)
			continue;
		mmx_counter_add(exit->expired, 1);
		refuse_queued_(exit, attempt, MMX_REASON_DEADLINE_EXCEEDED);
	}
}

static void on_sweep_(void *arg)
{
	mmx_exit_t *exit = arg;
	mmx_time_t now = mmx_clock_now(exit->clock);
	mmx_exit_target_t *target;

	mmx_attempts_expire(exit->attempts);
	LIST_FOREACH (target, &exit->targets, entry) {
		expire_queued_(exit, target, now);
		if (target->lease_until <= now)
			set_state_(exit, target, MMX_TARGET_GONE);
		start_queued_(exit, target);
	}
	mmx_timer_set(&exit->sweep, SWEEP_INTERVAL_US);
}

/* --- task -------------------------------------------------------------- */

static void on_body_(mmx_exit_t *exit, mmx_message_t *message)
{
	mmx_body_t *body = (mmx_body_t *)message;

	if (body->direction == MMX_TO_TARGET)
		on_request_body_(exit, body);
	else
		on_target_body_(exit, body);
}

static void handle_(mmx_task_t *task, mmx_message_t *message)
{
	mmx_exit_t *exit = (mmx_exit_t *)task;

	switch ((mmx_message_kind_t)message->ops->kind) {
	case MMX_MESSAGE_EXECUTE:
		on_execute_(exit, (mmx_execute_t *)message);
		return;
	case MMX_MESSAGE_BODY:
		on_body_(exit, message);
		return;
	case MMX_MESSAGE_WINDOW:
		on_window_(exit, (mmx_window_t *)message);
		return;
	case MMX_MESSAGE_CANCEL:
		on_cancel_(exit, (mmx_cancel_t *)message);
		break;
	case MMX_MESSAGE_FENCE:
		on_fence_(exit, (mmx_fence_t *)message);
		break;
	case MMX_MESSAGE_ORIGIN_LOST:
		on_origin_lost_(exit, (mmx_origin_lost_t *)message);
		break;
	case MMX_MESSAGE_TARGET_ANNOUNCED:
		on_announced_(exit, (mmx_target_announced_t *)message);
		break;
	case MMX_MESSAGE_CALL_EVENT:
		on_call_event_(exit, (mmx_call_event_t *)message);
		break;
	default:
		assert(!"message kind that the exit does not take");
	}
	mmx_message_destroy(message);
}

static const mmx_task_ops_t task_ops_ = {"exit", handle_};

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
	exit->attempts =
		mmx_attempts_create(exit->clock, RECORD_MAX, ANSWER_BYTES_MAX);
	LIST_INIT(&exit->targets);
	mmx_timer_init(&exit->sweep, exit->clock, on_sweep_, exit);
	return exit;
}

void mmx_exit_destroy(mmx_exit_t *exit)
{
	mmx_exit_target_t *target;

	if (!exit)
		return;
	mmx_timer_cancel(&exit->sweep);
	mmx_task_finish(&exit->task);
	while ((target = LIST_FIRST(&exit->targets))) {
		LIST_REMOVE(target, entry);
		TAILQ_INIT(&target->queue);
		target->in_progress = 0;
		mmx_exit_target_destroy(target);
	}
	mmx_attempts_destroy(exit->attempts);
	g_free(exit);
}

bool mmx_exit_set_target_client(mmx_exit_t *exit, mmx_task_t *client)
{
	if (exit->running)
		return false;
	exit->client = client;
	return true;
}

bool mmx_exit_set_observer(mmx_exit_t *exit, const mmx_exit_observer_ops_t *ops,
			   void *context)
{
	if (exit->running)
		return false;
	exit->observer = ops;
	exit->observer_context = context;
	return true;
}

bool mmx_exit_set_fold(mmx_exit_t *exit, const mmx_fold_t *const *fold)
{
	if (exit->running)
		return false;
	exit->fold = fold;
	return true;
}

bool mmx_exit_set_counters(mmx_exit_t *exit, mmx_counters_t *counters)
{
	if (exit->running)
		return false;
	exit->started = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_exit_started_total", "",
		"Attempts started at targets beside this node.");
	exit->refused = mmx_counters_get(counters, MMX_COUNTER,
					 "masticmux_exit_refused_total", "",
					 "Attempts refused by this exit.");
	exit->fenced = mmx_counters_get(counters, MMX_COUNTER,
					"masticmux_exit_fence_total", "",
					"Fencing queries received.");
	exit->expired = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_exit_expired_total", "",
		"Queued attempts whose deadline passed before the start.");
	return true;
}

bool mmx_exit_set_log(mmx_exit_t *exit, mmx_log_t *log)
{
	if (exit->running)
		return false;
	exit->log = log;
	return true;
}

void mmx_exit_init(mmx_exit_t *exit)
{
	assert(exit->client && !exit->running);
	exit->running = true;
	mmx_timer_set(&exit->sweep, SWEEP_INTERVAL_US);
}

mmx_task_t *mmx_exit_task(mmx_exit_t *exit)
{
	return &exit->task;
}

static void stop_target_(mmx_exit_t *exit, mmx_exit_target_t *target)
{
	target->stopped = true;
	if (target->record.state != MMX_TARGET_GONE)
		set_state_(exit, target, MMX_TARGET_DRAINING);
}

bool mmx_exit_stop_target(mmx_exit_t *exit, const char *name)
{
	mmx_exit_target_t *target = find_target_name_(exit, name);

	if (!target)
		return false;
	stop_target_(exit, target);
	return true;
}

void mmx_exit_stop_all(mmx_exit_t *exit)
{
	mmx_exit_target_t *target;

	LIST_FOREACH (target, &exit->targets, entry)
		stop_target_(exit, target);
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
	const mmx_exit_target_t *target = find_target_(exit, id);

	if (!target)
		return false;
	mmx_exit_target_report(target, report);
	return true;
}
