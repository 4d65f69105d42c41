#include "standin/target_work.h"

#include <assert.h>
#include <event2/buffer.h>
#include <glib.h>
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "standin/peer_watch.h"
#include "standin/target_answer.h"

/* Latency of a cold target: this many times the usual one, falling to 1. */
#define COLD_FACTOR 5.0
/* Shape of the Pareto distribution: finite variance, heavy tail. */
#define PARETO_SHAPE 2.1
/* A single latency is cut off here, so that a run ends. */
#define LATENCY_MAX_MS 60000.0

const char *const latency_distribution_string[LATENCY_COUNT + 1] = {
	"fixed", "exponential", "pareto", NULL};

typedef enum work_state_t {
	WORK_QUEUED,
	WORK_RUNNING,
	WORK_STALLED, /**< holds a slot, makes no progress */
	WORK_LATE,    /**< finished, the answer is delayed */
	WORK_FROZEN   /**< on a frozen connection, waits for its close */
} work_state_t;

struct work_t {
	TAILQ_ENTRY(work_t) entry;
	target_work_t *target;
	work_state_t state;
	mmx_timer_t timer;
	mmx_timer_t deadline;
	peer_watch_t watch;
	bool error;
	answer_t answer;
};

static void start_next_(target_work_t *target);

static bool holds_slot_(const work_t *work)
{
	return work->state == WORK_RUNNING || work->state == WORK_STALLED;
}

/* Takes a work out of its target; the answer stays valid until freed. */
static void end_(work_t *work)
{
	target_work_t *target = work->target;

	mmx_timer_cancel(&work->timer);
	mmx_timer_cancel(&work->deadline);
	peer_watch_stop(&work->watch);
	TAILQ_REMOVE(&target->works, work, entry);
	if (holds_slot_(work))
		target->running--;
	else if (work->state == WORK_QUEUED)
		target->queued--;
}

static void on_peer_closed_(void *arg)
{
	work_t *work = arg;
	target_work_t *target = work->target;

	if (target->faults.ignore_cancel && work->state != WORK_FROZEN) {
		mmx_timer_cancel(&work->deadline);
		work->answer.req = NULL;
		return;
	}
	target->counts.cancelled_by_peer++;
	end_(work);
	g_free(work);
	start_next_(target);
}

static void on_deadline_(void *arg)
{
	work_t *work = arg;
	target_work_t *target = work->target;
	bool queued = work->state == WORK_QUEUED;

	/* A stalled target does not notice deadlines either. */
	if (work->state == WORK_STALLED)
		return;
	if (queued)
		target->counts.refused_deadline++;
	else
		target->counts.cancelled_by_deadline++;
	end_(work);
	answer_refusal(&work->answer, 504,
		       queued ? ANSWER_REFUSED : ANSWER_CANCELLED);
	g_free(work);
	start_next_(target);
}

/* Gives the slot back and never answers. */
static void freeze_(work_t *work)
{
	mmx_timer_cancel(&work->timer);
	mmx_timer_cancel(&work->deadline);
	if (holds_slot_(work))
		work->target->running--;
	work->state = WORK_FROZEN;
	work->target->counts.requests_frozen++;
}

static void send_answer_(work_t *work)
{
	target_work_t *target = work->target;
	const target_faults_t *faults = &target->faults;
	answer_t *answer = &work->answer;

	if (answer->req && standin_server_frozen(target->server, answer->req)) {
		freeze_(work);
		return;
	}
	end_(work);
	if (!answer->req) {
		target->counts.answers_withheld++;
	} else if (faults->close_without_answer) {
		target->counts.answers_withheld++;
		standin_drop(answer->req, STANDIN_DROP_CLOSE);
	} else if (faults->run_refused) {
		target->counts.answered++;
		answer_refusal(answer, 503, ANSWER_REFUSED);
	} else if (work->error) {
		target->counts.errors_injected++;
		answer_refusal(answer, 500, ANSWER_EXECUTED);
	} else {
		target->counts.answered++;
		answer->swapped = faults->swap_answers;
		answer->corrupt = faults->corrupt;
		answer->cut = faults->cut_bytes < 0
				      ? ANSWER_WHOLE
				      : (uint64_t)faults->cut_bytes;
		if (answer_send(answer))
			target->counts.answers_cut++;
	}
	g_free(work);
}

static void finish_(work_t *work)
{
	target_work_t *target = work->target;
	const target_faults_t *faults = &target->faults;

	if (work->answer.key[0] && !faults->hide_executions) {
		executions_finish(target->executions, work->answer.key);
		if (faults->duplicate)
			executions_finish(target->executions, work->answer.key);
	}
	if (faults->late_ms > 0) {
		target->running--;
		work->state = WORK_LATE;
		mmx_timer_cancel(&work->deadline);
		mmx_timer_set(&work->timer,
			      (mmx_time_t)(faults->late_ms * MMX_US_PER_MS));
	} else {
		send_answer_(work);
	}
	start_next_(target);
}

static double draw_(target_work_t *target)
{
	double u = 1.0 - mmx_random_unit(&target->random);
	double mean = target->latency_ms;

	switch (target->distribution) {
	case LATENCY_EXPONENTIAL:
		return -mean * log(u);
	case LATENCY_PARETO:
		return mean * (PARETO_SHAPE - 1) / PARETO_SHAPE *
		       pow(u, -1 / PARETO_SHAPE);
	default:
		return mean;
	}
}

static mmx_time_t latency_(target_work_t *target)
{
	mmx_time_t age = mmx_clock_now(target->server->clock) - target->created;
	double ms = draw_(target) * target->faults.slow_factor;
	double cold_us = target->cold_ms * (double)MMX_US_PER_MS;

	if ((double)age < cold_us)
		ms *= COLD_FACTOR - (COLD_FACTOR - 1) * ((double)age / cold_us);
	return (mmx_time_t)(fmin(ms, LATENCY_MAX_MS) * (double)MMX_US_PER_MS);
}

static void progress_(work_t *work)
{
	target_work_t *target = work->target;
	mmx_time_t now = mmx_clock_now(target->server->clock);
	mmx_time_t latency;

	if (target_faults_stalled(&target->faults, now)) {
		work->state = WORK_STALLED;
		mmx_timer_cancel(&work->timer);
		return;
	}
	work->state = WORK_RUNNING;
	latency = latency_(target);
	if (latency > 0)
		mmx_timer_set(&work->timer, latency);
	else
		finish_(work);
}

static void on_timer_(void *arg)
{
	work_t *work = arg;

	if (work->state == WORK_LATE)
		send_answer_(work);
	else
		finish_(work);
}

static void start_(work_t *work)
{
	target_work_t *target = work->target;
	const target_faults_t *faults = &target->faults;
	mmx_time_t now = mmx_clock_now(target->server->clock);

	if (work->answer.key[0] && !faults->hide_executions) {
		executions_start(target->executions, work->answer.key);
		if (faults->duplicate)
			executions_start(target->executions, work->answer.key);
	}
	work->state = WORK_RUNNING;
	target->running++;
	work->error = mmx_random_unit(&target->random) * 100 <
			      faults->error_percent ||
		      (faults->flap_mode == FLAP_ERROR &&
		       target_faults_flapped(faults, now));
	progress_(work);
}

static void start_next_(target_work_t *target)
{
	work_t *work;

	while (target->queued > 0 && target->running < target->slots) {
		TAILQ_FOREACH (work, &target->works, entry)
			if (work->state == WORK_QUEUED)
				break;
		assert(work);
		target->queued--;
		start_(work);
	}
}

static bool refuses_peer_(const target_work_t *target,
			  struct evhttp_request *req)
{
	const char *refused = target->faults.refuse_from;
	char *peer = NULL;
	ev_uint16_t port;

	if (target->faults.refuse)
		return true;
	if (!refused || !refused[0])
		return false;
	evhttp_connection_get_peer(evhttp_request_get_connection(req), &peer,
				   &port);
	return peer && strcmp(peer, refused) == 0;
}

static work_t *create_(target_work_t *target, struct evhttp_request *req)
{
	work_t *work = g_new0(work_t, 1);
	const char *timeout;
	double ms;

	work->target = target;
	mmx_timer_init(&work->timer, target->server->clock, on_timer_, work);
	mmx_timer_init(&work->deadline, target->server->clock, on_deadline_,
		       work);
	answer_init(&work->answer, req, target->name);
	TAILQ_INSERT_TAIL(&target->works, work, entry);
	timeout = evhttp_find_header(evhttp_request_get_input_headers(req),
				     "Masticmux-Timeout-Ms");
	ms = timeout ? g_ascii_strtod(timeout, NULL) : 0;
	if (ms > 0 && ms < 1e9)
		mmx_timer_set(&work->deadline,
			      (mmx_time_t)(ms * (double)MMX_US_PER_MS));
	return work;
}

static void refuse_busy_(target_work_t *target, struct evhttp_request *req)
{
	answer_t answer;

	target->counts.refused_busy++;
	answer_init(&answer, req, target->name);
	answer_refusal(&answer, 503, ANSWER_REFUSED);
}

void target_work_request(target_work_t *target, struct evhttp_request *req)
{
	work_t *work;
	bool frozen;

	target->counts.requests++;
	target->counts.requests_draining += target->faults.draining;
	if (refuses_peer_(target, req)) {
		target->counts.refused_peer++;
		standin_drop(req, STANDIN_DROP_RESET);
		return;
	}
	frozen = standin_server_frozen(target->server, req);
	if (!frozen && target->running >= target->slots &&
	    target->queued >= target->queue_max) {
		refuse_busy_(target, req);
		return;
	}
	work = create_(target, req);
	peer_watch_start(&work->watch, target->server->base, req,
			 on_peer_closed_, work);
	if (frozen) {
		work->state = WORK_LATE;
		freeze_(work);
	} else if (target->running < target->slots) {
		start_(work);
	} else {
		work->state = WORK_QUEUED;
		target->queued++;
	}
}

static void on_flap_(void *arg)
{
	target_work_changed(arg);
}

void target_work_changed(target_work_t *target)
{
	mmx_time_t now = mmx_clock_now(target->server->clock);
	double half_ms = target->faults.flap_period_ms / 2;
	bool stalled = target_faults_stalled(&target->faults, now);
	work_t *work = TAILQ_FIRST(&target->works);

	while (work) {
		work_t *after = TAILQ_NEXT(work, entry);

		if ((work->state == WORK_STALLED && !stalled) ||
		    (work->state == WORK_RUNNING && stalled))
			progress_(work);
		work = after;
	}
	standin_server_freeze(target->server, target->faults.freeze_open);
	mmx_timer_cancel(&target->flap);
	if (half_ms > 0)
		mmx_timer_set(&target->flap,
			      (mmx_time_t)(half_ms * MMX_US_PER_MS));
}

unsigned int target_work_stalled(const target_work_t *target)
{
	unsigned int count = 0;
	work_t *work;

	TAILQ_FOREACH (work, &target->works, entry)
		count += work->state == WORK_STALLED;
	return count;
}

bool target_work_cold(const target_work_t *target)
{
	mmx_time_t age = mmx_clock_now(target->server->clock) - target->created;

	return (double)age < target->cold_ms * (double)MMX_US_PER_MS;
}

void target_work_init(target_work_t *target)
{
	TAILQ_INIT(&target->works);
	target_faults_init(&target->faults);
	target->created = mmx_clock_now(target->server->clock);
	mmx_timer_init(&target->flap, target->server->clock, on_flap_, target);
}

void target_work_destroy(target_work_t *target)
{
	work_t *work = TAILQ_FIRST(&target->works);

	mmx_timer_cancel(&target->flap);
	while (work) {
		work_t *after = TAILQ_NEXT(work, entry);

		end_(work);
		if (work->answer.req)
			standin_drop(work->answer.req, STANDIN_DROP_CLOSE);
		g_free(work);
		work = after;
	}
	fields_clear(target_fault_fields, &target->faults);
}
