#include "cost_model.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "masticmux/balance.h"
#include "private/cost.h"

#define TARGETS 12
#define SLOTS 15
#define ENTRIES 12
#define ROUTES 3
/* Log-normal work with a spread of 0.8; 3 in 100 take seven times as long. */
#define SPREAD 0.8
#define TAIL_SHARE 0.03
#define TAIL_FACTOR 7
/* A request should take at most this many times the mean of its route. */
#define OBJECTIVE_FACTOR 4
/* An exit refuses a request that would wait longer than this share of its
 * objective, and the entry tries another target, at most this often. */
#define QUEUE_WAIT_SHARE 0.25
#define REFUSALS_MAX 4
#define SLOW_FACTOR 5
#define WRONG_FACTOR 10
#define RESTART_PERIOD_S 20
#define LONG_WAVE_S 5

const char *const cost_policy_string[COST_POLICY_COUNT] = {
	"two by requests (present)",
	"least requests",
	"two by work",
	"least work",
	"true costs known",
};

const char *const cost_scenario_string[COST_SCENARIO_COUNT] = {
	"usual",	  "even-work",	   "equal-targets", "restart",
	"lost-reports",	  "target-slower", "long-wave",	    "route-cost",
	"wrong-at-entry", "wrong-at-exit",
};

typedef enum event_type_t {
	EVENT_ARRIVAL,
	EVENT_AT_EXIT,
	EVENT_DONE,
	EVENT_AT_ENTRY
} event_type_t;

typedef struct request_t {
	mmx_time_t arrived;
	mmx_time_t started;
	mmx_time_t ends;
	double work;	/* run time at a target of speed 1, microseconds */
	uint32_t route; /* from 1 */
	int entry;
	int target;
	mmx_target_id_t tried[REFUSALS_MAX + 1];
	size_t refusals;
	bool refused; /* the response is a refusal */
	/* The report that its response carries. */
	uint32_t load;
	mmx_time_t work_left;
	mmx_time_t run_mean;
} request_t;

typedef struct event_t {
	mmx_time_t time;
	uint64_t number; /* orders events of one time */
	event_type_t type;
	request_t *request;
} event_t;

typedef struct target_t {
	double speed;
	request_t *running[SLOTS];
	int busy;
	GQueue queue;
	mmx_cost_t *cost;
} target_t;

typedef struct entry_t {
	mmx_balance_t *balance;
	mmx_cost_t *cost;
	mmx_time_t delay; /* to each target, one way */
	double share;	  /* of the arrivals up to this entry */
} entry_t;

typedef struct model_t {
	cost_policy_t policy;
	cost_scenario_t scenario;
	bool queue_in_region;
	mmx_random_t arrivals; /* equal for all policies */
	mmx_random_t choices;
	mmx_time_t now;
	mmx_time_t end;
	double rate; /* arrivals per microsecond */
	target_t targets[TARGETS];
	entry_t entries[ENTRIES];
	GArray *events; /* heap */
	uint64_t event_count;
	GArray *latencies; /* double, seconds */
	size_t within;
	mmx_time_t restarted;
} model_t;
static bool is_before_(const event_t *a, const event_t *b)
{
	return a->time != b->time ? a->time < b->time : a->number < b->number;
}

static void push_(model_t *model, mmx_time_t time, event_type_t type,
		  request_t *request)
{
	event_t event = {time, model->event_count++, type, request};
	guint at = model->events->len;
	event_t *heap;

	g_array_append_val(model->events, event);
	heap = (event_t *)(void *)model->events->data;
	while (at && is_before_(&event, &heap[(at - 1) / 2])) {
		heap[at] = heap[(at - 1) / 2];
		at = (at - 1) / 2;
	}
	heap[at] = event;
}

static event_t pop_(model_t *model)
{
	event_t *heap = (event_t *)(void *)model->events->data;
	event_t top = heap[0];
	event_t last = heap[model->events->len - 1];
	guint count = model->events->len - 1;
	guint at = 0;
	guint child;

	g_array_set_size(model->events, count);
	while ((child = 2 * at + 1) < count) {
		if (child + 1 < count &&
		    is_before_(&heap[child + 1], &heap[child]))
			child++;
		if (!is_before_(&heap[child], &last))
			break;
		heap[at] = heap[child];
		at = child;
	}
	if (count)
		heap[at] = last;
	return top;
}

/* Mean work of a route, microseconds: 0.3, 0.6 and 1.2 s. */
static double route_mean_(const model_t *model, uint32_t route)
{
	if (model->scenario == COST_SCENARIO_EVEN)
		return 0.6 * MMX_US_PER_S;
	if (model->scenario == COST_SCENARIO_ROUTE &&
	    model->now > model->end / 2)
		route = ROUTES + 1 - route;
	return 0.3 * MMX_US_PER_S * (1U << (route - 1));
}

static double draw_work_(model_t *model, uint32_t route)
{
	double angle = 2 * M_PI * mmx_random_unit(&model->arrivals);
	double normal = sqrt(-2 * log(1 - mmx_random_unit(&model->arrivals))) *
			cos(angle);
	bool is_tail = mmx_random_unit(&model->arrivals) < TAIL_SHARE;
	double spread = model->scenario == COST_SCENARIO_EVEN ? 0.1 : SPREAD;
	double tail = model->scenario == COST_SCENARIO_EVEN ? 1 : TAIL_FACTOR;
	double mean = exp(spread * spread / 2) * (1 + TAIL_SHARE * (tail - 1));

	return route_mean_(model, route) * exp(spread * normal) *
	       (is_tail ? tail : 1) / mean;
}

static mmx_cost_key_t key_(const request_t *request)
{
	return (mmx_cost_key_t){request->route, MMX_COST_BODY_NONE};
}

/* Relative cost as the view computes it. */
static double relative_cost_(const model_t *model, const request_t *request)
{
	const mmx_cost_t *cost = model->entries[request->entry].cost;
	mmx_time_t mean = mmx_cost_mean_of_all(cost);
	double relative;

	if (!mean || !mmx_cost_is_uneven(cost))
		return 0;
	relative = (double)mmx_cost_mean(cost, key_(request)) / (double)mean;
	if (model->scenario == COST_SCENARIO_WRONG_ENTRY)
		relative *=
			request->route == 1 ? WRONG_FACTOR : 1.0 / WRONG_FACTOR;
	return relative;
}

static int choose_of_two_(model_t *model, const request_t *request, double cost)
{
	mmx_balance_request_t what = {.repeatable = true,
				      .queue_in_region = model->queue_in_region,
				      .tried = request->tried,
				      .tried_count = request->refusals,
				      .cost = cost};
	mmx_balance_choice_t choice = {0};

	mmx_balance_choose(model->entries[request->entry].balance, &what,
			   &model->choices, model->now, &choice);
	return (int)choice.target - 1;
}

static bool is_tried_(const request_t *request, int target)
{
	size_t i;

	for (i = 0; i < request->refusals; i++)
		if (request->tried[i] == (mmx_target_id_t)target + 1)
			return true;
	return false;
}

/* Score of a target, the lowest is chosen. */
typedef double (*score_t)(const model_t *model, const request_t *request,
			  int target);

static int choose_least_(model_t *model, const request_t *request,
			 score_t score)
{
	int start = (int)mmx_random_below(&model->choices, TARGETS);
	double least = INFINITY;
	int best = 0;
	int i;

	for (i = 0; i < TARGETS; i++) {
		int at = (start + i) % TARGETS;
		double value = score(model, request, at);

		if (value < least && !is_tried_(request, at)) {
			least = value;
			best = at;
		}
	}
	return best;
}

static double estimated_load_(const mmx_balance_estimate_t *estimate)
{
	uint32_t load = estimate->outstanding;

	if (estimate->age <= MMX_BALANCE_REPORT_TTL_US)
		load += estimate->others;
	return (double)load / estimate->slots;
}

static double score_requests_(const model_t *model, const request_t *request,
			      int target)
{
	mmx_balance_estimate_t estimate;

	mmx_balance_estimate(model->entries[request->entry].balance,
			     (mmx_target_id_t)target + 1, model->now,
			     &estimate);
	return estimated_load_(&estimate);
}

/* A request starts at once where a slot is free. Full targets come after all
 * others; one without a fresh report gets an estimate from its requests. */
static double score_work_(const model_t *model, const request_t *request,
			  int target)
{
	const entry_t *entry = &model->entries[request->entry];
	double cost = relative_cost_(model, request);
	mmx_balance_estimate_t estimate;
	double mean = (double)mmx_cost_mean_of_all(entry->cost);
	double load;

	mmx_balance_estimate(entry->balance, (mmx_target_id_t)target + 1,
			     model->now, &estimate);
	load = estimated_load_(&estimate);
	if (cost <= 0 || !estimate.run)
		return load;
	cost *= (double)estimate.run;
	if (load < 1)
		return cost;
	return 1e9 + cost +
	       (estimate.work >= 0 ? (double)estimate.work : load * mean);
}

static int compare_times_(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

static double *earliest_(double *times)
{
	double *least = times;
	int i;

	for (i = 1; i < SLOTS; i++)
		if (times[i] < *least)
			least = &times[i];
	return least;
}

/* True time at which the request would complete if it arrived now. */
static double score_known_(const model_t *model, const request_t *request,
			   int at)
{
	const target_t *target = &model->targets[at];
	double free_at[SLOTS];
	const GList *link;
	int i;

	for (i = 0; i < SLOTS; i++)
		free_at[i] = i < target->busy ? (double)target->running[i]->ends
					      : (double)model->now;
	for (link = target->queue.head; link; link = link->next) {
		const request_t *queued = link->data;

		*earliest_(free_at) += queued->work / target->speed;
	}
	return *earliest_(free_at) + request->work / target->speed;
}

static int choose_(model_t *model, const request_t *request)
{
	switch (model->policy) {
	case COST_POLICY_REQUESTS:
		return choose_of_two_(model, request, 0);
	case COST_POLICY_LEAST_REQUESTS:
		return choose_least_(model, request, score_requests_);
	case COST_POLICY_TWO_BY_WORK:
		return choose_of_two_(model, request,
				      relative_cost_(model, request));
	case COST_POLICY_LEAST_WORK:
		return choose_least_(model, request, score_work_);
	default:
		return choose_least_(model, request, score_known_);
	}
}

static double speed_(const model_t *model, int target)
{
	if (model->scenario == COST_SCENARIO_SPEED && target == 2 &&
	    model->now > model->end / 3 && model->now < model->end * 2 / 3)
		return model->targets[target].speed / SLOW_FACTOR;
	return model->targets[target].speed;
}

static void start_(model_t *model, request_t *request)
{
	target_t *target = &model->targets[request->target];

	target->running[target->busy++] = request;
	request->started = model->now;
	request->ends =
		model->now +
		(mmx_time_t)(request->work / speed_(model, request->target)) +
		1;
	push_(model, request->ends, EVENT_DONE, request);
}

/* Factor by which everything that the exit reports is wrong. */
static double error_(const model_t *model, int at)
{
	if (model->scenario != COST_SCENARIO_WRONG_EXIT)
		return 1;
	return at % 2 ? WRONG_FACTOR : 1.0 / WRONG_FACTOR;
}

/* What mmx_exit_target_report_work() computes. */
static mmx_time_t work_left_(const model_t *model, int at)
{
	const target_t *target = &model->targets[at];
	const GList *link;
	double work = 0;
	int i;

	for (i = 0; i < target->busy; i++)
		work += (double)mmx_cost_remaining(
			target->cost, key_(target->running[i]),
			model->now - target->running[i]->started);
	for (link = target->queue.head; link; link = link->next)
		work += (double)mmx_cost_mean(target->cost, key_(link->data));
	return (mmx_time_t)(work * error_(model, at) / SLOTS);
}

static void answer_(model_t *model, request_t *request)
{
	const target_t *target = &model->targets[request->target];

	request->load = (uint32_t)target->busy +
			g_queue_get_length((GQueue *)&target->queue);
	request->work_left = work_left_(model, request->target);
	request->run_mean =
		(mmx_time_t)((double)mmx_cost_mean_of_all(target->cost) *
			     error_(model, request->target));
	push_(model, model->now + model->entries[request->entry].delay,
	      EVENT_AT_ENTRY, request);
}

static void on_done_(model_t *model, request_t *request)
{
	target_t *target = &model->targets[request->target];
	int i;

	for (i = 0; target->running[i] != request; i++)
		;
	target->running[i] = target->running[--target->busy];
	mmx_cost_add(target->cost, key_(request), model->now - request->started,
		     model->now);
	answer_(model, request);
	if (!g_queue_is_empty(&target->queue))
		start_(model, g_queue_pop_head(&target->queue));
}

static void on_execute_(model_t *model, request_t *request)
{
	target_t *target = &model->targets[request->target];
	double wait = (double)mmx_cost_mean_of_all(target->cost) *
		      (g_queue_get_length(&target->queue) + 1) / SLOTS;

	if (target->busy < SLOTS) {
		start_(model, request);
		return;
	}
	request->refused = request->refusals < REFUSALS_MAX &&
			   wait > QUEUE_WAIT_SHARE * OBJECTIVE_FACTOR *
					   route_mean_(model, request->route);
	if (request->refused)
		answer_(model, request);
	else
		g_queue_push_tail(&target->queue, request);
}

static void send_(model_t *model, request_t *request)
{
	const entry_t *entry = &model->entries[request->entry];
	mmx_target_id_t id;

	request->refused = false;
	request->target = choose_(model, request);
	id = (mmx_target_id_t)request->target + 1;
	mmx_balance_start(entry->balance, id);
	mmx_balance_add_work(entry->balance, id,
			     relative_cost_(model, request));
	push_(model, model->now + entry->delay, EVENT_AT_EXIT, request);
}

static void on_report_(model_t *model, const request_t *request)
{
	mmx_balance_t *balance = model->entries[request->entry].balance;
	mmx_target_id_t id = (mmx_target_id_t)request->target + 1;

	mmx_balance_finish(balance, id);
	if (model->scenario == COST_SCENARIO_LOST &&
	    mmx_random_unit(&model->choices) < 0.5)
		return;
	mmx_balance_report_load(balance, id, request->load, model->now);
	mmx_balance_report_work(balance, id, request->work_left,
				request->run_mean, model->now);
}

static void on_answer_(model_t *model, request_t *request)
{
	entry_t *entry = &model->entries[request->entry];
	mmx_time_t took = model->now - request->arrived;
	double seconds = (double)took / MMX_US_PER_S;

	on_report_(model, request);
	if (request->refused) {
		request->tried[request->refusals++] =
			(mmx_target_id_t)request->target + 1;
		send_(model, request);
		return;
	}
	mmx_cost_add(entry->cost, key_(request),
		     request->ends - request->started, model->now);
	if (request->arrived >= COST_WARM_UP_S * MMX_US_PER_S) {
		g_array_append_val(model->latencies, seconds);
		model->within +=
			(double)took <=
			OBJECTIVE_FACTOR * route_mean_(model, request->route);
	}
	g_free(request);
}

static uint32_t draw_route_(model_t *model)
{
	uint32_t route =
		1 + (uint32_t)mmx_random_below(&model->arrivals, ROUTES);
	mmx_time_t into = model->now % (20 * MMX_US_PER_S);

	if (model->scenario == COST_SCENARIO_WAVE &&
	    into < LONG_WAVE_S * MMX_US_PER_S)
		return ROUTES;
	return route;
}

static void on_arrival_(model_t *model)
{
	request_t *request = g_new0(request_t, 1);
	double entry = mmx_random_unit(&model->arrivals);
	double gap = -log(1 - mmx_random_unit(&model->arrivals)) / model->rate;

	while (model->entries[request->entry].share <= entry &&
	       request->entry < ENTRIES - 1)
		request->entry++;
	request->arrived = model->now;
	request->route = draw_route_(model);
	request->work = draw_work_(model, request->route);
	send_(model, request);
	if (model->now < model->end)
		push_(model, model->now + (mmx_time_t)gap + 1, EVENT_ARRIVAL,
		      NULL);
}

static void init_entry_(entry_t *entry, int index)
{
	int i;

	entry->balance = mmx_balance_create();
	entry->cost = mmx_cost_create();
	/* Entries of the zone, of other zones and of another region; the more
	 * requests an entry sends, the younger are its reports. */
	entry->delay = (index % 4 == 3 ? 30 : 1) * MMX_US_PER_MS;
	for (i = 1; i <= TARGETS; i++)
		mmx_balance_set_target(entry->balance, (mmx_target_id_t)i,
				       SLOTS, MMX_LOCALITY_ZONE);
}

static void destroy_entry_(entry_t *entry)
{
	mmx_balance_destroy(entry->balance);
	mmx_cost_destroy(entry->cost);
}

/* All nodes lose what they have learned; the requests go on. */
static void restart_(model_t *model)
{
	int i;

	for (i = 0; i < ENTRIES; i++) {
		destroy_entry_(&model->entries[i]);
		init_entry_(&model->entries[i], i);
	}
	for (i = 0; i < TARGETS; i++) {
		mmx_cost_destroy(model->targets[i].cost);
		model->targets[i].cost = mmx_cost_create();
	}
	model->restarted = model->now;
}

static void init_(model_t *model, const cost_options_t *options)
{
	double capacity = 0;
	double share = 0;
	int i;

	mmx_random_seed(&model->arrivals, options->seed);
	mmx_random_seed(&model->choices, options->seed + 1000);
	model->end = options->seconds * MMX_US_PER_S;
	model->events = g_array_new(FALSE, FALSE, sizeof(event_t));
	model->latencies = g_array_new(FALSE, FALSE, sizeof(double));
	for (i = 0; i < TARGETS; i++) {
		model->targets[i].speed = model->scenario == COST_SCENARIO_EQUAL
						  ? 1
						  : 0.6 + 0.2 * (i % 5);
		model->targets[i].cost = mmx_cost_create();
		g_queue_init(&model->targets[i].queue);
		capacity += SLOTS * model->targets[i].speed;
	}
	/* Entries send in proportion 1 : 2 : 4. */
	for (i = 0; i < ENTRIES; i++) {
		init_entry_(&model->entries[i], i);
		share += (double)(1U << (i % 3)) / (7.0 * ENTRIES / 3);
		model->entries[i].share = share;
	}
	model->rate = options->load * capacity /
		      (model->scenario == COST_SCENARIO_EVEN ? 0.6 : 0.7) /
		      MMX_US_PER_S;
	push_(model, 0, EVENT_ARRIVAL, NULL);
}

static int compare_doubles_(const void *a, const void *b)
{
	return compare_times_(a, b);
}

static void finish_(model_t *model, cost_result_t *result)
{
	const double *values = (const double *)(void *)model->latencies->data;
	guint count = model->latencies->len;
	double sum = 0;
	guint i;

	g_array_sort(model->latencies, compare_doubles_);
	for (i = 0; i < count; i++)
		sum += values[i];
	result->mean = sum / count;
	result->p99 = values[(guint)(0.99 * count)];
	result->within = 100.0 * (double)model->within / count;
	for (i = 0; i < ENTRIES; i++)
		destroy_entry_(&model->entries[i]);
	for (i = 0; i < TARGETS; i++)
		mmx_cost_destroy(model->targets[i].cost);
	g_array_free(model->events, TRUE);
	g_array_free(model->latencies, TRUE);
}

void cost_model_run(const cost_options_t *options, cost_result_t *result)
{
	model_t model = {.policy = options->policy,
			 .scenario = options->scenario,
			 .queue_in_region = options->queue_in_region};

	init_(&model, options);
	while (model.events->len) {
		event_t event = pop_(&model);

		model.now = event.time;
		if (model.scenario == COST_SCENARIO_RESTART &&
		    model.now - model.restarted >=
			    RESTART_PERIOD_S * MMX_US_PER_S)
			restart_(&model);
		if (event.type == EVENT_ARRIVAL)
			on_arrival_(&model);
		else if (event.type == EVENT_DONE)
			on_done_(&model, event.request);
		else if (event.type == EVENT_AT_ENTRY)
			on_answer_(&model, event.request);
		else
			on_execute_(&model, event.request);
	}
	finish_(&model, result);
}
