#include "private/exit_target.h"

#include <assert.h>
#include <glib.h>

/* Run time at a cold target relative to a warm one, approximately. */
#define COLD_RUN_FACTOR 2
/* The weight of a new sample in the smoothed service time is 1/8. */
#define SERVICE_TIME_SMOOTHING 8
/*
 * A request is queued only if it would start at least this many mean service
 * times before its deadline. Service times vary: if they are exponentially
 * distributed, 2% are longer than four means. A request that starts too late
 * uses a slot without a result.
 */
#define START_HEADROOM 4
/*
 * The same when the expected run time is that of the request's route, which
 * varies less than that of all routes together.
 */
#define ROUTE_START_HEADROOM 2
/* One route may use 1/2 of the reserve of the retry budget. */
#define ROUTE_RESERVE_DIVISOR 2
/*
 * The expected wait in the queue may take 1/2 of the remaining time, as the
 * estimate is uncertain for a long queue.
 */
#define QUEUE_TIME_DIVISOR 2

/* Limit of the retry budget until the exit sets one. */
static const mmx_retry_limit_t no_retries_ = {.window = MMX_US_PER_S};

mmx_exit_target_t *mmx_exit_target_create(mmx_target_id_t id,
					  mmx_node_id_t node,
					  mmx_incarnation_t incarnation,
					  const char *name, const char *service)
{
	mmx_exit_target_t *target = g_new0(mmx_exit_target_t, 1);

	target->record.id = id;
	target->record.node = node;
	target->record.incarnation = incarnation;
	g_strlcpy(target->record.name, name, sizeof(target->record.name));
	g_strlcpy(target->record.service, service,
		  sizeof(target->record.service));
	target->cold_percent = MMX_EXIT_COLD_PERCENT;
	TAILQ_INIT(&target->queue);
	TAILQ_INIT(&target->running);
	target->cost = mmx_cost_create();
	mmx_retry_window_init(&target->retry_budget, &no_retries_);
	target->limits = mmx_limits_create();
	return target;
}

void mmx_exit_target_destroy(mmx_exit_target_t *target)
{
	assert(TAILQ_EMPTY(&target->queue) && target->in_progress == 0);
	mmx_limits_destroy(target->limits);
	mmx_cost_destroy(target->cost);
	g_free(target);
}

unsigned int mmx_exit_target_slots(const mmx_exit_target_t *target,
				   mmx_time_t now)
{
	mmx_time_t elapsed = now - target->ramp_start;
	uint64_t percent;
	uint64_t slots;

	if (target->ramp_length <= 0 || elapsed >= target->ramp_length)
		return target->record.slots;
	percent = target->cold_percent +
		  (uint64_t)(elapsed * (100 - target->cold_percent) /
			     target->ramp_length);
	slots = target->record.slots * percent / 100;
	return slots > 0 ? (unsigned int)slots : 1;
}

bool mmx_exit_target_is_cold(const mmx_exit_target_t *target, mmx_time_t now)
{
	return now - target->ramp_start < target->ramp_length;
}

bool mmx_exit_target_can_start(const mmx_exit_target_t *target, mmx_time_t now)
{
	return target->in_progress < mmx_exit_target_slots(target, now) &&
	       mmx_rate_limit_wait(&target->rate_limit, 0, now) == 0;
}

mmx_limits_class_t
mmx_exit_target_limits_class(const mmx_exit_target_t *target,
			     const mmx_exit_request_t *request, mmx_time_t now)
{
	return mmx_limits_class(target->limits, request->account,
				&request->share, target->record.slots, now);
}

/* Expected wait behind this many others, which that many slots serve. */
static mmx_time_t expected_wait_(const mmx_exit_target_t *target,
				 unsigned int ahead, unsigned int slots,
				 mmx_time_t now)
{
	return MAX(target->mean_service_time * (ahead + 1) / slots,
		   mmx_rate_limit_wait(&target->rate_limit, ahead, now));
}

/*
 * Returns whether a request may be queued behind this many others.
 *
 * slots:    number of slots that serve the requests ahead, 1 or more
 * max_wait: longest allowed wait in the queue
 */
static bool may_queue_(const mmx_exit_target_t *target,
		       const mmx_exit_request_t *request, unsigned int ahead,
		       unsigned int slots, mmx_time_t max_wait, mmx_time_t now)
{
	mmx_time_t remaining = request->remaining;
	mmx_time_t run_time =
		mmx_exit_target_expected_run_time(target, request->route);
	int headroom = request->route ? ROUTE_START_HEADROOM : START_HEADROOM;
	mmx_time_t wait = expected_wait_(target, ahead, slots, now);

	return ahead < MMX_EXIT_QUEUE_MAX && wait <= max_wait &&
	       wait <= remaining / QUEUE_TIME_DIVISOR &&
	       wait + headroom * run_time <= remaining;
}

static mmx_reason_t admit_over_ceiling_(const mmx_exit_target_t *target,
					const mmx_exit_request_t *request,
					mmx_time_t now)
{
	unsigned int slots =
		MIN(mmx_limits_ceiling(&request->share, target->record.slots),
		    mmx_exit_target_slots(target, now));

	if (!may_queue_(target, request,
			mmx_limits_queued(target->limits, request->account),
			slots, request->max_wait, now))
		return MMX_REASON_ACCOUNT_LIMIT;
	return MMX_REASON_NONE;
}

/* As may_queue_(), with the reason for which it may not. */
static mmx_reason_t admit_to_queue_(const mmx_exit_target_t *target,
				    const mmx_exit_request_t *request,
				    const mmx_fair_queue_place_t *place,
				    unsigned int ahead, mmx_time_t now)
{
	unsigned int slots = mmx_exit_target_slots(target, now);

	if (!may_queue_(target, request, ahead, slots, request->max_wait, now))
		return may_queue_(target, request, ahead, slots,
				  request->remaining, now)
			       ? MMX_REASON_BUSY
			       : MMX_REASON_OVERLOADED;
	if (target->queued >= MMX_EXIT_QUEUE_MAX &&
	    mmx_fair_queue_is_refused(&target->queue, place))
		return MMX_REASON_BUSY;
	return MMX_REASON_NONE;
}

mmx_reason_t mmx_exit_target_admit(const mmx_exit_target_t *target,
				   const mmx_exit_request_t *request,
				   mmx_time_t now)
{
	mmx_fair_queue_place_t place = mmx_fair_queue_place(
		request->priority, request->objective, request->remaining,
		request->account_use, now);
	unsigned int ahead =
		target->queued - mmx_fair_queue_behind(&target->queue, &place);

	if (target->stopped || target->record.state == MMX_TARGET_DRAINING ||
	    target->record.state == MMX_TARGET_GONE)
		return MMX_REASON_DRAINING;
	if (request->remaining <= 0)
		return MMX_REASON_DEADLINE_EXCEEDED;
	switch (mmx_exit_target_limits_class(target, request, now)) {
	case MMX_LIMITS_OVER_CEILING:
		return admit_over_ceiling_(target, request, now);
	case MMX_LIMITS_UNDER_FLOOR:
		ahead = target->queued_under_floor;
		/* Its floor exempts it from leaving a full queue. */
		place.use = 0;
		break;
	default:
		break;
	}
	if (mmx_exit_target_can_start(target, now) && ahead == 0)
		return MMX_REASON_NONE;
	return admit_to_queue_(target, request, &place, ahead, now);
}

static mmx_exit_request_t account_request_(const mmx_attempt_t *attempt)
{
	return (mmx_exit_request_t){.account = attempt->execute->account,
				    .share = attempt->share};
}

mmx_attempt_t *mmx_exit_target_next_queued(const mmx_exit_target_t *target,
					   mmx_time_t now)
{
	mmx_attempt_t *attempt = TAILQ_FIRST(&target->queue);
	mmx_attempt_t *normal = NULL;
	mmx_exit_request_t request;

	if (target->queued_limited == 0)
		return attempt;
	for (; attempt; attempt = TAILQ_NEXT(attempt, queue_entry)) {
		request = account_request_(attempt);
		switch (mmx_exit_target_limits_class(target, &request, now)) {
		case MMX_LIMITS_UNDER_FLOOR:
			return attempt;
		case MMX_LIMITS_NORMAL:
			normal = normal ? normal : attempt;
			break;
		default:
			break;
		}
	}
	return normal;
}

static bool has_limits_(const mmx_attempt_t *attempt)
{
	return attempt->share.floor_percent > 0 ||
	       attempt->share.ceiling_percent < 100;
}

void mmx_exit_target_enqueue(mmx_exit_target_t *target, mmx_attempt_t *attempt,
			     mmx_time_t now)
{
	mmx_exit_request_t request = account_request_(attempt);

	attempt->under_floor =
		mmx_exit_target_limits_class(target, &request, now) ==
		MMX_LIMITS_UNDER_FLOOR;
	mmx_fair_queue_insert(&target->queue, attempt, now);
	target->queued++;
	target->queued_under_floor += attempt->under_floor;
	target->queued_limited += has_limits_(attempt);
	mmx_limits_queue(target->limits, request.account);
}

void mmx_exit_target_dequeue(mmx_exit_target_t *target, mmx_attempt_t *attempt)
{
	TAILQ_REMOVE(&target->queue, attempt, queue_entry);
	target->queued--;
	target->queued_under_floor -= attempt->under_floor;
	target->queued_limited -= has_limits_(attempt);
	mmx_limits_unqueue(target->limits, attempt->execute->account);
}

/* Whether a queued attempt behind this many others can start in time. */
static bool may_wait_(const mmx_exit_target_t *target,
		      const mmx_attempt_t *attempt, unsigned int ahead,
		      mmx_time_t now)
{
	mmx_time_t wait = expected_wait_(
		target, ahead, mmx_exit_target_slots(target, now), now);
	mmx_time_t run_time = mmx_exit_target_expected_run_time(
		target, attempt->execute->route);

	return now - attempt->arrived + wait <= attempt->execute->max_wait &&
	       wait + run_time <= attempt->deadline - now;
}

mmx_attempt_t *mmx_exit_target_displaced(const mmx_exit_target_t *target,
					 const mmx_attempt_t *placed,
					 mmx_time_t now)
{
	mmx_attempt_t *attempt;
	bool is_behind = false;
	unsigned int ahead = 0;

	TAILQ_FOREACH (attempt, &target->queue, queue_entry) {
		if (is_behind && attempt->execute->account_use > 0 &&
		    !attempt->under_floor &&
		    !may_wait_(target, attempt, ahead, now))
			return attempt;
		is_behind = is_behind || attempt == placed;
		ahead++;
	}
	return NULL;
}

bool mmx_exit_target_serves_queue(const mmx_exit_target_t *target,
				  mmx_time_t now)
{
	if (target->record.state == MMX_TARGET_GONE)
		return false;
	return !target->leaving ||
	       now - target->leaving_since < MMX_EXIT_DRAIN_QUEUE_US;
}

void mmx_exit_target_update_leaving(mmx_exit_target_t *target, mmx_time_t now)
{
	bool leaving =
		target->stopped || target->record.state >= MMX_TARGET_DRAINING;

	if (leaving && !target->leaving)
		target->leaving_since = now;
	target->leaving = leaving;
}

static void update_mean_(mmx_time_t *mean, mmx_time_t run_time)
{
	if (*mean == 0)
		*mean = run_time;
	else
		*mean += (run_time - *mean) / SERVICE_TIME_SMOOTHING;
}

static mmx_retry_limit_t route_retry_limit_(const mmx_retry_limit_t *limit)
{
	mmx_retry_limit_t route = *limit;

	route.reserve /= ROUTE_RESERVE_DIVISOR;
	return route;
}

/*
 * Finds the statistics of a route and marks them as used. A new route replaces
 * the one that was used longest ago.
 */
static mmx_exit_route_stats_t *
find_or_add_route_(mmx_exit_target_t *target, uint32_t route, mmx_time_t now)
{
	mmx_exit_route_stats_t *oldest = &target->routes[0];
	mmx_retry_limit_t limit =
		route_retry_limit_(&target->retry_budget.limit);
	size_t i;

	for (i = 0; i < MMX_EXIT_ROUTES_MAX; i++) {
		if (target->routes[i].route == route) {
			target->routes[i].last_used = now;
			return &target->routes[i];
		}
		if (oldest->route &&
		    (!target->routes[i].route ||
		     target->routes[i].last_used < oldest->last_used))
			oldest = &target->routes[i];
	}
	*oldest = (mmx_exit_route_stats_t){.route = route, .last_used = now};
	mmx_retry_window_init(&oldest->route_budget, &limit);
	return oldest;
}

void mmx_exit_target_set_retry_limit(mmx_exit_target_t *target,
				     const mmx_retry_limit_t *limit)
{
	mmx_retry_limit_t route = route_retry_limit_(limit);
	size_t i;

	mmx_retry_window_set(&target->retry_budget, limit);
	for (i = 0; i < MMX_EXIT_ROUTES_MAX; i++)
		if (target->routes[i].route)
			mmx_retry_window_set(&target->routes[i].route_budget,
					     &route);
}

void mmx_exit_target_record_request(mmx_exit_target_t *target, uint32_t route,
				    uint8_t caller_repeat_percent,
				    mmx_time_t now)
{
	uint32_t request = 100U - caller_repeat_percent;

	assert(caller_repeat_percent <= 100);
	mmx_retry_window_count_request(&target->retry_budget, request, now);
	mmx_retry_window_charge_call(&target->retry_budget,
				     caller_repeat_percent, now);
	if (route)
		mmx_retry_window_count_request(
			&find_or_add_route_(target, route, now)->route_budget,
			request, now);
}

bool mmx_exit_target_take_retry(mmx_exit_target_t *target, uint32_t route,
				mmx_time_t now)
{
	mmx_retry_window_t *route_budget =
		route ? &find_or_add_route_(target, route, now)->route_budget
		      : NULL;

	if (!mmx_retry_window_allows(&target->retry_budget, now) ||
	    (route_budget && !mmx_retry_window_allows(route_budget, now)))
		return false;
	mmx_retry_window_charge(&target->retry_budget,
				MMX_RETRY_WINDOW_REPEAT_HUNDREDTHS, now);
	if (route_budget)
		mmx_retry_window_charge(
			route_budget, MMX_RETRY_WINDOW_REPEAT_HUNDREDTHS, now);
	return true;
}

bool mmx_exit_target_grant_retry(mmx_exit_target_t *target, uint32_t route,
				 mmx_time_t now)
{
	mmx_retry_window_t *route_budget =
		route ? &find_or_add_route_(target, route, now)->route_budget
		      : NULL;

	return (!route_budget || mmx_retry_window_allows(route_budget, now)) &&
	       mmx_retry_window_grant(&target->retry_budget, now) &&
	       (!route_budget || mmx_retry_window_grant(route_budget, now));
}

void mmx_exit_target_record_run_time(mmx_exit_target_t *target, uint32_t route,
				     mmx_time_t run_time, mmx_time_t now)
{
	update_mean_(&target->mean_service_time, run_time);
	if (route != 0)
		mmx_overdue_add(
			&find_or_add_route_(target, route, now)->run_times,
			run_time);
}

static const mmx_exit_route_stats_t *
find_route_(const mmx_exit_target_t *target, uint32_t route)
{
	size_t i;

	for (i = 0; route && i < MMX_EXIT_ROUTES_MAX; i++)
		if (target->routes[i].route == route)
			return &target->routes[i];
	return NULL;
}

mmx_time_t mmx_exit_target_expected_run_time(const mmx_exit_target_t *target,
					     uint32_t route)
{
	const mmx_exit_route_stats_t *known = find_route_(target, route);

	return known && known->run_times.mean ? known->run_times.mean
					      : target->mean_service_time;
}

mmx_time_t mmx_exit_target_overdue_limit(const mmx_exit_target_t *target,
					 uint32_t route, mmx_time_t objective,
					 mmx_time_t now)
{
	static const mmx_overdue_t unknown;
	const mmx_exit_route_stats_t *known = find_route_(target, route);
	mmx_time_t limit = mmx_overdue_limit(
		known ? &known->run_times : &unknown, objective);

	if (limit == MMX_TIME_NEVER || !mmx_exit_target_is_cold(target, now))
		return limit;
	return limit * COLD_RUN_FACTOR;
}

void mmx_exit_target_report(const mmx_exit_target_t *target, mmx_time_t now,
			    mmx_load_report_t *report)
{
	/* Without the queue, which may be gone by then. */
	mmx_time_t wait = mmx_rate_limit_wait(&target->rate_limit, 0, now);

	*report = (mmx_load_report_t){
		.target = target->record.id,
		.slots = target->record.slots,
		.in_progress = (uint16_t)MIN(target->in_progress, UINT16_MAX),
		.queued = (uint16_t)target->queued,
		.state = target->stopped ? MMX_TARGET_DRAINING
					 : target->record.state,
		.wait_ms = (uint16_t)MIN(
			(wait + MMX_US_PER_MS - 1) / MMX_US_PER_MS, UINT16_MAX),
	};
	if (target->suspect)
		report->level = MMX_HEALTH_SUSPECT;
	if (!target->detection)
		return;
	report->level = MAX(report->level,
			    (uint8_t)mmx_detection_level(target->detection));
	report->score =
		(uint32_t)(mmx_detection_score(target->detection) * 1000);
}

/* Whole milliseconds, at least 1, since 0 stands for unknown. */
static uint16_t to_ms_(mmx_time_t time)
{
	return (uint16_t)CLAMP(time / MMX_US_PER_MS, 1, UINT16_MAX);
}

void mmx_exit_target_report_work(const mmx_exit_target_t *target,
				 const mmx_attempt_id_t *ended, mmx_time_t now,
				 mmx_load_report_t *report)
{
	mmx_time_t mean = mmx_cost_mean_of_all(target->cost);
	const mmx_attempt_t *attempt;
	mmx_time_t work = 0;

	if (mean == 0)
		return;
	TAILQ_FOREACH (attempt, &target->running, queue_entry)
		if (!ended || !mmx_attempt_id_is_equal(&attempt->id, ended))
			work += mmx_cost_remaining(target->cost,
						   attempt->cost_key,
						   now - attempt->started);
	TAILQ_FOREACH (attempt, &target->queue, queue_entry)
		work += mmx_cost_mean(target->cost, attempt->cost_key);
	report->work_ms = to_ms_(work / mmx_exit_target_slots(target, now));
	report->run_ms = to_ms_(mean);
}
