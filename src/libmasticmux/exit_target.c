#include "private/exit_target.h"

#include <assert.h>
#include <glib.h>

/* Cold targets take about this many times as long. */
#define COLD_RUN_FACTOR 2
/* Weight of a new sample in the smoothed service time: 1/8. */
#define SERVICE_SMOOTHING 8
/*
 * A request queues only if it would start this many mean service times before
 * its deadline. Service times vary: of exponential ones, 2% are longer than
 * four means. What starts too late takes a slot without a result.
 */
#define START_HEADROOM 4
/* The same where the run time of the route itself is known: it varies less
 * than that of all routes together. */
#define ROUTE_HEADROOM 2
/* Part of the reserve of the retry budget that one route may use. */
#define ROUTE_RESERVE_SHARE 2
/* At most this part of the remaining time is spent in the queue: the expected
 * wait of a long queue is uncertain as well. */
#define QUEUE_SHARE 2

/* Until the limit is known. */
static const mmx_retry_limit_t no_repeats_ = {.window = MMX_US_PER_S};

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
	mmx_retry_window_init(&target->retry_budget, &no_repeats_);
	target->limits = mmx_limits_create();
	return target;
}

void mmx_exit_target_destroy(mmx_exit_target_t *target)
{
	assert(TAILQ_EMPTY(&target->queue) && target->in_progress == 0);
	mmx_limits_destroy(target->limits);
	g_free(target);
}

unsigned int mmx_exit_target_slots(const mmx_exit_target_t *target,
				   mmx_time_t now)
{
	mmx_time_t warm = now - target->ramp_start;
	uint64_t percent;
	uint64_t slots;

	if (target->ramp_length <= 0 || warm >= target->ramp_length)
		return target->record.slots;
	percent = target->cold_percent +
		  (uint64_t)(warm * (100 - target->cold_percent) /
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
	return target->in_progress < mmx_exit_target_slots(target, now);
}

mmx_limits_class_t
mmx_exit_target_limits_class(const mmx_exit_target_t *target,
			     const mmx_exit_request_t *request, mmx_time_t now)
{
	return mmx_limits_class(target->limits, request->account,
				&request->share, target->record.slots, now);
}

/* Whether a request that finds this many before it may queue. */
static bool may_wait_(const mmx_exit_target_t *target,
		      const mmx_exit_request_t *request, unsigned int ahead,
		      unsigned int slots, mmx_time_t patience)
{
	mmx_time_t remaining = request->remaining;
	mmx_time_t run =
		mmx_exit_target_expected_run_time(target, request->route);
	int headroom = request->route ? ROUTE_HEADROOM : START_HEADROOM;
	mmx_time_t wait = target->mean_service_time * (ahead + 1) / slots;

	return ahead < MMX_EXIT_QUEUE_MAX && wait <= patience &&
	       wait <= remaining / QUEUE_SHARE &&
	       wait + headroom * run <= remaining;
}

static mmx_reason_t admit_limited_(const mmx_exit_target_t *target,
				   const mmx_exit_request_t *request,
				   mmx_time_t now)
{
	unsigned int slots =
		MIN(mmx_limits_ceiling(&request->share, target->record.slots),
		    mmx_exit_target_slots(target, now));

	if (!may_wait_(target, request,
		       mmx_limits_queued(target->limits, request->account),
		       slots, request->max_wait))
		return MMX_REASON_ACCOUNT_LIMIT;
	return MMX_REASON_NONE;
}

/* Time by which a request is wanted; its deadline if no latency is. */
static mmx_time_t wanted_by_(mmx_time_t objective, mmx_time_t remaining,
			     mmx_time_t now)
{
	return now + (objective > 0 ? objective : remaining);
}

/*
 * Of equal priority, what is wanted earlier starts first: a short call that a
 * running request waits for does not wait behind long requests, which in turn
 * come to the front as they age.
 */
static bool starts_before_(const mmx_attempt_t *queued, uint8_t priority,
			   mmx_time_t wanted_by)
{
	if (queued->execute->priority != priority)
		return queued->execute->priority < priority;
	return queued->soft_deadline <= wanted_by;
}

/* Queued attempts that start before a new one. */
static unsigned int ahead_(const mmx_exit_target_t *target,
			   const mmx_exit_request_t *request, mmx_time_t now)
{
	mmx_time_t wanted_by =
		wanted_by_(request->objective, request->remaining, now);
	const mmx_attempt_t *attempt;
	unsigned int ahead = target->queued;

	TAILQ_FOREACH (attempt, &target->queue, queue_entry)
		ahead -= !starts_before_(attempt, request->priority, wanted_by);
	return ahead;
}

mmx_reason_t mmx_exit_target_admit(const mmx_exit_target_t *target,
				   const mmx_exit_request_t *request,
				   mmx_time_t now)
{
	unsigned int slots = mmx_exit_target_slots(target, now);
	unsigned int ahead = ahead_(target, request, now);

	if (target->stopped || target->record.state == MMX_TARGET_DRAINING ||
	    target->record.state == MMX_TARGET_GONE)
		return MMX_REASON_DRAINING;
	if (request->remaining <= 0)
		return MMX_REASON_DEADLINE_EXCEEDED;
	switch (mmx_exit_target_limits_class(target, request, now)) {
	case MMX_LIMITS_OVER_CEILING:
		return admit_limited_(target, request, now);
	case MMX_LIMITS_UNDER_FLOOR:
		ahead = target->queued_under_floor;
		break;
	default:
		break;
	}
	if (target->in_progress < slots && ahead == 0)
		return MMX_REASON_NONE;
	if (may_wait_(target, request, ahead, slots, request->max_wait))
		return MMX_REASON_NONE;
	return may_wait_(target, request, ahead, slots, request->remaining)
		       ? MMX_REASON_BUSY
		       : MMX_REASON_OVERLOADED;
}

static mmx_exit_request_t request_of_(const mmx_attempt_t *attempt)
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
		request = request_of_(attempt);
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
	mmx_exit_request_t request = request_of_(attempt);
	mmx_attempt_t *behind;

	attempt->under_floor =
		mmx_exit_target_limits_class(target, &request, now) ==
		MMX_LIMITS_UNDER_FLOOR;
	attempt->soft_deadline = wanted_by_(attempt->execute->objective,
					    attempt->execute->remaining, now);
	TAILQ_FOREACH (behind, &target->queue, queue_entry)
		if (!starts_before_(behind, attempt->execute->priority,
				    attempt->soft_deadline))
			break;
	if (behind)
		TAILQ_INSERT_BEFORE(behind, attempt, queue_entry);
	else
		TAILQ_INSERT_TAIL(&target->queue, attempt, queue_entry);
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

static void smooth_(mmx_time_t *mean, mmx_time_t took)
{
	if (*mean == 0)
		*mean = took;
	else
		*mean += (took - *mean) / SERVICE_SMOOTHING;
}

static mmx_retry_limit_t route_limit_(const mmx_retry_limit_t *limit)
{
	mmx_retry_limit_t route = *limit;

	route.reserve /= ROUTE_RESERVE_SHARE;
	return route;
}

/* The entry of a route; one that is new takes the place used longest ago. */
static mmx_exit_route_stats_t *use_route_(mmx_exit_target_t *target,
					  uint32_t route, mmx_time_t now)
{
	mmx_exit_route_stats_t *oldest = &target->routes[0];
	mmx_retry_limit_t limit = route_limit_(&target->retry_budget.limit);
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
	mmx_retry_limit_t route = route_limit_(limit);
	size_t i;

	mmx_retry_window_set(&target->retry_budget, limit);
	for (i = 0; i < MMX_EXIT_ROUTES_MAX; i++)
		if (target->routes[i].route)
			mmx_retry_window_set(&target->routes[i].route_budget,
					     &route);
}

void mmx_exit_target_record_request(mmx_exit_target_t *target, uint32_t route,
				    uint8_t inherited, mmx_time_t now)
{
	mmx_retry_window_count_request(&target->retry_budget, now);
	mmx_retry_window_charge(&target->retry_budget, inherited, now);
	if (route)
		mmx_retry_window_count_request(
			&use_route_(target, route, now)->route_budget, now);
}

bool mmx_exit_target_take_retry(mmx_exit_target_t *target, uint32_t route,
				mmx_time_t now)
{
	mmx_retry_window_t *own =
		route ? &use_route_(target, route, now)->route_budget : NULL;

	if (!mmx_retry_window_allows(&target->retry_budget, now) ||
	    (own && !mmx_retry_window_allows(own, now)))
		return false;
	mmx_retry_window_charge(&target->retry_budget,
				MMX_RETRY_WINDOW_REPEAT_HUNDREDTHS, now);
	if (own)
		mmx_retry_window_charge(own, MMX_RETRY_WINDOW_REPEAT_HUNDREDTHS,
					now);
	return true;
}

bool mmx_exit_target_grant_retry(mmx_exit_target_t *target, uint32_t route,
				 mmx_time_t now)
{
	mmx_retry_window_t *own =
		route ? &use_route_(target, route, now)->route_budget : NULL;

	return (!own || mmx_retry_window_allows(own, now)) &&
	       mmx_retry_window_grant(&target->retry_budget, now) &&
	       (!own || mmx_retry_window_grant(own, now));
}

void mmx_exit_target_record_run_time(mmx_exit_target_t *target, uint32_t route,
				     mmx_time_t took, mmx_time_t now)
{
	smooth_(&target->mean_service_time, took);
	if (route != 0)
		mmx_overdue_add(&use_route_(target, route, now)->run_times,
				took);
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

void mmx_exit_target_report(const mmx_exit_target_t *target,
			    mmx_load_report_t *report)
{
	*report = (mmx_load_report_t){
		.target = target->record.id,
		.slots = target->record.slots,
		.in_progress = (uint16_t)MIN(target->in_progress, UINT16_MAX),
		.queued = (uint16_t)target->queued,
		.state = target->stopped ? MMX_TARGET_DRAINING
					 : target->record.state,
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
