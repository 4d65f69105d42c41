#include "model.h"

#include "policy.h"

/* Healthy latency: log-normal with a median of 15 ms, and a power-law tail. */
#define MEDIAN_US 15000.0
#define SIGMA 0.7
#define TAIL_START_US 60000.0
#define TAIL_SHARE 0.01
#define TAIL_EXPONENT 2.0
/* The heavy-tailed scenario. */
#define HEAVY_SHARE 0.02
#define HEAVY_EXPONENT 1.5
#define LATENCY_MAX_US 60e6
/* In it every target also pauses now and then, as a collector of garbage
 * does: all of its requests are delayed together. */
#define PAUSE_MIN_US (50 * MMX_US_PER_MS)
#define PAUSE_MAX_US (200 * MMX_US_PER_MS)
#define PAUSE_EVERY_US (600 * MMX_US_PER_S)

#define SLOW_FACTOR 5.0
#define ERROR_SHARE 0.2
#define FLAP_PERIOD_US (2 * MMX_US_PER_S)
/* Pushed levels take the longest way between regions. */
#define DELAY_PUSH_US 15000

static bool before_(const event_t *a, const event_t *b)
{
	return a->time != b->time ? a->time < b->time : a->order < b->order;
}

static void push_(model_t *model, mmx_time_t delay, event_type_t type,
		  request_t *request, uint8_t a, uint8_t b)
{
	event_t event = {
		.time = mmx_clock_now(model->clock) + delay,
		.order = model->order++,
		.request = request,
		.generation = request ? request->generation : 0,
		.type = (uint16_t)type,
		.a = a,
		.b = b,
	};
	size_t at = model->heap_count++;

	if (at == model->heap_space) {
		model->heap_space = at ? 2 * at : 1024;
		model->heap = g_renew(event_t, model->heap, model->heap_space);
	}
	while (at && before_(&event, &model->heap[(at - 1) / 2])) {
		model->heap[at] = model->heap[(at - 1) / 2];
		at = (at - 1) / 2;
	}
	model->heap[at] = event;
}

static event_t pop_(model_t *model)
{
	event_t top = model->heap[0];
	event_t last = model->heap[--model->heap_count];
	size_t at = 0;
	size_t child;

	while ((child = 2 * at + 1) < model->heap_count) {
		if (child + 1 < model->heap_count &&
		    before_(&model->heap[child + 1], &model->heap[child]))
			child++;
		if (!before_(&model->heap[child], &last))
			break;
		model->heap[at] = model->heap[child];
		at = child;
	}
	model->heap[at] = last;
	return top;
}

static double exponential_(model_t *model, double mean)
{
	return -mean * log(1.0 - mmx_random_unit(&model->random));
}

static bool is_heavy_(const model_t *model)
{
	return model->options.fault == FAULT_HEAVY ||
	       model->options.fault == FAULT_HEAVY_STALL;
}

static double service_time_(model_t *model)
{
	bool heavy = is_heavy_(model);
	double exponent = heavy ? HEAVY_EXPONENT : TAIL_EXPONENT;
	double unit = mmx_random_unit(&model->random);
	double radius;
	double latency;

	if (unit < (heavy ? HEAVY_SHARE : TAIL_SHARE)) {
		latency = TAIL_START_US *
			  pow(1.0 - mmx_random_unit(&model->random),
			      -1.0 / exponent);
		return fmin(latency, LATENCY_MAX_US);
	}
	radius = sqrt(-2.0 * log(1.0 - mmx_random_unit(&model->random)));
	return MEDIAN_US *
	       exp(SIGMA * radius *
		   cos(2.0 * G_PI * mmx_random_unit(&model->random)));
}

static request_t *new_request_(model_t *model)
{
	request_t *request = model->free;
	uint32_t generation;

	if (request) {
		model->free = request->next;
	} else {
		request = g_new0(request_t, 1);
		g_ptr_array_add(model->all, request);
	}
	generation = request->generation + 1;
	memset(request, 0, sizeof(*request));
	request->generation = generation;
	return request;
}

static void release_(model_t *model, request_t *request)
{
	if (!request->entry_done || !request->exit_done)
		return;
	request->generation++;
	request->next = model->free;
	model->free = request;
}

static target_t *target_of_(model_t *model, const request_t *request)
{
	return &model->targets[request->service][request->target];
}

static bool is_faulty_(const model_t *model, const request_t *request)
{
	if (request->service || request->target)
		return false;
	return model->options.fault != FAULT_ONE_WAY || !request->entry;
}

static void note_sent_(model_t *model, const request_t *request)
{
	model_result_t *result = &model->result;
	mmx_time_t now = mmx_clock_now(model->clock);

	if (model->onset == MMX_TIME_NEVER || request->service ||
	    (model->options.fault == FAULT_ONE_WAY && request->entry))
		return;
	result->after_onset++;
	if (!is_faulty_(model, request) || request->trial)
		return;
	result->to_faulty++;
	if (result->quiet_from == MMX_TIME_NEVER &&
	    now - result->last_sent >= QUIET_US)
		result->quiet_from = result->last_sent;
	result->last_sent = now;
}

static void send_(model_t *model, size_t service, size_t entry,
		  mmx_time_t arrived, int not_target)
{
	request_t *request = new_request_(model);
	mmx_time_t now = mmx_clock_now(model->clock);

	request->service = (uint8_t)service;
	request->entry = (uint8_t)entry;
	request->arrived = arrived;
	request->retried = not_target >= 0;
	if (!policy_choose(model, request, not_target)) {
		model->result.failed++;
		request->entry_done = true;
		request->exit_done = true;
		release_(model, request);
		return;
	}
	note_sent_(model, request);
	push_(model, policy_delay(entry, target_of_(model, request)->zone),
	      EVENT_AT_EXIT, request, 0, 0);
	push_(model, arrived + DEADLINE_US - now, EVENT_DEADLINE, request, 0,
	      0);
}

static void on_arrival_(model_t *model, size_t service)
{
	double mean = 1e6 / (model->options.rate * TARGETS);

	push_(model, (mmx_time_t)exponential_(model, mean), EVENT_ARRIVAL, NULL,
	      (uint8_t)service, 0);
	model->result.requests++;
	send_(model, service, mmx_random_below(&model->random, ENTRIES),
	      mmx_clock_now(model->clock), -1);
}

static void start_call_(model_t *model, request_t *request)
{
	target_t *target = target_of_(model, request);
	double time = service_time_(model) * target->slow;

	request->running = true;
	request->called = mmx_clock_now(model->clock);
	target->running++;
	mmx_detection_start(target->detection, &request->detection,
			    request->trial);
	push_(model, (mmx_time_t)time, EVENT_CALL_DONE, request, 0, 0);
}

static void start_queued_(model_t *model, target_t *target)
{
	while (target->queued && target->running < SLOTS) {
		request_t *request = target->queue[0];

		target->queued--;
		memmove(target->queue, target->queue + 1,
			target->queued * sizeof(request_t *));
		start_call_(model, request);
	}
}

/* The exit's part of the request is over. */
static void respond_(model_t *model, request_t *request)
{
	target_t *target = target_of_(model, request);

	request->exit_done = true;
	if (request->entry_done) {
		release_(model, request);
		return;
	}
	request->load = (uint32_t)(target->running + target->queued);
	request->level = mmx_detection_level(target->detection);
	request->score = (float)mmx_detection_score(target->detection);
	if (model->lost_path && !request->entry && !request->target)
		return;
	push_(model, policy_delay(target->zone, request->entry), EVENT_AT_ENTRY,
	      request, 0, 0);
}

static void end_call_(model_t *model, request_t *request, mmx_result_t result)
{
	target_t *target = target_of_(model, request);

	request->running = false;
	request->result = (uint8_t)result;
	request->latency = mmx_clock_now(model->clock) - request->called;
	target->running--;
	request->good = mmx_detection_finish(target->detection,
					     &request->detection, result);
}

static void on_call_done_(model_t *model, request_t *request)
{
	target_t *target = target_of_(model, request);
	bool error = target->errors > 0 &&
		     mmx_random_unit(&model->random) < target->errors;

	if (target->stalled) {
		target->held[target->held_count++] = request;
		return;
	}
	end_call_(model, request,
		  error ? MMX_RESULT_ERROR : MMX_RESULT_SUCCESS);
	respond_(model, request);
	start_queued_(model, target);
}

static bool is_refused_(const target_t *target, const request_t *request)
{
	if (request->trial && !mmx_detection_trial_allowed(target->detection))
		return true;
	return target->running == SLOTS && target->queued == QUEUE_MAX;
}

static void on_at_exit_(model_t *model, request_t *request)
{
	target_t *target = target_of_(model, request);

	if (request->entry_done) {
		request->exit_done = true;
		release_(model, request);
	} else if (is_refused_(target, request)) {
		request->refused = true;
		request->result = MMX_RESULT_ERROR;
		respond_(model, request);
	} else if (target->running < SLOTS) {
		start_call_(model, request);
	} else {
		target->queue[target->queued++] = request;
	}
}

static void retry_(model_t *model, const request_t *request)
{
	view_t *view = &model->views[request->entry][request->service];
	mmx_time_t now = mmx_clock_now(model->clock);

	/* A refusal means that the request did not run; it costs no budget. */
	if (request->refused && !request->retried) {
		send_(model, request->service, request->entry, request->arrived,
		      request->target);
		return;
	}
	if (request->retried || now - request->arrived >= DEADLINE_US ||
	    !mmx_retry_take(&view->retry, now)) {
		model->result.failed++;
		return;
	}
	send_(model, request->service, request->entry, request->arrived,
	      request->target);
}

static void on_at_entry_(model_t *model, request_t *request)
{
	if (request->entry_done)
		return;
	request->entry_done = true;
	policy_done(model, request);
	if (request->result != MMX_RESULT_SUCCESS)
		retry_(model, request);
	release_(model, request);
}

/* Takes a request out of the exit's queue or its call. */
static void cancel_at_exit_(model_t *model, request_t *request)
{
	target_t *target = target_of_(model, request);
	size_t i;

	for (i = 0; i < target->held_count; i++)
		if (target->held[i] == request) {
			target->held[i] = target->held[--target->held_count];
			break;
		}
	if (request->running) {
		end_call_(model, request, MMX_RESULT_ABANDONED);
		request->exit_done = true;
		start_queued_(model, target);
		return;
	}
	for (i = 0; i < target->queued; i++)
		if (target->queue[i] == request) {
			target->queued--;
			memmove(&target->queue[i], &target->queue[i + 1],
				(target->queued - i) * sizeof(request_t *));
			request->exit_done = true;
			return;
		}
}

static void on_deadline_(model_t *model, request_t *request)
{
	if (request->entry_done)
		return;
	request->entry_done = true;
	if (!request->exit_done)
		cancel_at_exit_(model, request);
	request->result = MMX_RESULT_ABANDONED;
	request->good = false;
	policy_done(model, request);
	model->result.failed++;
	release_(model, request);
}

static void evaluate_targets_(model_t *model)
{
	size_t service;
	size_t i;

	for (service = 0; service < model->options.services; service++)
		for (i = 0; i < TARGETS; i++) {
			target_t *target = &model->targets[service][i];

			if (mmx_detection_evaluate(target->detection))
				push_(model, DELAY_PUSH_US, EVENT_LEVEL, NULL,
				      (uint8_t)service, (uint8_t)i);
		}
}

static void update_path_(model_t *model, size_t entry, size_t node)
{
	mmx_path_t *path = &model->paths[entry][node];
	mmx_time_t now = mmx_clock_now(model->clock);
	size_t service;

	if (mmx_path_needs_fence(path, now) && !model->asking[entry][node]) {
		model->asking[entry][node] = true;
		push_(model, MMX_PATH_TIMEOUT_US, EVENT_ASKED, NULL,
		      (uint8_t)entry, (uint8_t)node);
	}
	if (!mmx_path_evaluate(path, now))
		return;
	for (service = 0; service < model->options.services; service++)
		mmx_ejection_set_path_health(
			model->views[entry][service].ejection,
			model->targets[service][node].id, mmx_path_level(path));
}

static void on_evaluate_(model_t *model)
{
	size_t entry;
	size_t node;

	push_(model, MMX_DETECTION_PERIOD_US, EVENT_EVALUATE, NULL, 0, 0);
	evaluate_targets_(model);
	for (entry = 0; entry < ENTRIES; entry++)
		for (node = 0; node < TARGETS; node++)
			update_path_(model, entry, node);
}

/* The answer to FENCE on a new connection. An answer that arrives is taken
 * to come only at the timeout, which is the worst case. */
static void on_asked_(model_t *model, size_t entry, size_t node)
{
	bool lost = model->lost_path && !entry && !node;

	model->asking[entry][node] = false;
	mmx_path_on_fence_result(&model->paths[entry][node],
				 lost ? MMX_PATH_FENCE_NO_REPLY
				      : MMX_PATH_FENCE_RUNNING,
				 mmx_clock_now(model->clock));
}

static void on_summary_(model_t *model)
{
	mmx_time_t now = mmx_clock_now(model->clock);
	mmx_latency_summary_t summary;
	size_t service;
	size_t entry;
	size_t i;

	push_(model, SUMMARY_PERIOD_US, EVENT_SUMMARY, NULL, 0, 0);
	for (service = 0; service < model->options.services; service++)
		for (i = 0; i < TARGETS; i++) {
			target_t *target = &model->targets[service][i];

			for (entry = 0; entry < ENTRIES; entry++) {
				mmx_latency_window_others(
					&model->views[entry][service].window,
					target->id, now, &summary);
				mmx_latency_sources_set(&target->sources, entry,
							&summary, now);
			}
			mmx_latency_sources_merge(&target->sources, now,
						  &summary);
			mmx_detection_set_peers(target->detection, &summary);
		}
}

static void on_probe_(model_t *model)
{
	mmx_time_t now = mmx_clock_now(model->clock);
	size_t entry;
	size_t i;
	size_t t;

	push_(model, PROBE_PERIOD_US, EVENT_PROBE, NULL, 0, 0);
	for (entry = 0; entry < ENTRIES; entry++) {
		if (model->options.policy == POLICY_LEAST_CONNECTIONS)
			for (i = 0; i < TARGETS; i++)
				policy_probe(model, entry, i);
		for (i = 0; i < model->options.services; i++)
			for (t = 0; t < TARGETS; t++)
				if (model->views[entry][i].out_until[t] <= now)
					policy_ejected(model,
						       &model->views[entry][i],
						       t, false);
	}
}

static void set_stalled_(model_t *model, target_t *target, bool stalled)
{
	request_t *held[SLOTS];
	size_t count = target->held_count;
	size_t i;

	target->stalled = stalled;
	if (stalled)
		return;
	memcpy(held, target->held, sizeof(held));
	target->held_count = 0;
	for (i = 0; i < count; i++)
		on_call_done_(model, held[i]);
}

static void on_toggle_(model_t *model, size_t service, size_t index)
{
	target_t *target = &model->targets[service][index];
	mmx_time_t delay = FLAP_PERIOD_US;

	set_stalled_(model, target, !target->stalled);
	if (model->options.fault == FAULT_HEAVY) {
		double range = PAUSE_MAX_US - PAUSE_MIN_US;

		delay = (mmx_time_t)exponential_(model, PAUSE_EVERY_US);
		if (target->stalled)
			delay = PAUSE_MIN_US +
				(mmx_time_t)(range *
					     mmx_random_unit(&model->random));
	}
	push_(model, delay, EVENT_TOGGLE, NULL, (uint8_t)service,
	      (uint8_t)index);
}

void model_start_fault(model_t *model)
{
	mmx_time_t now = mmx_clock_now(model->clock);
	target_t *targets = model->targets[0];
	size_t i;

	model->onset = now;
	model->result.last_sent = now;
	model->result.quiet_from = MMX_TIME_NEVER;
	targets[0].bad_until = MMX_TIME_NEVER;
	switch (model->options.fault) {
	case FAULT_STALL:
	case FAULT_HEAVY_STALL:
		set_stalled_(model, &targets[0], true);
		break;
	case FAULT_SLOW:
		targets[0].slow = SLOW_FACTOR;
		break;
	case FAULT_ERRORS:
		targets[0].errors = ERROR_SHARE;
		break;
	case FAULT_FLAP:
		on_toggle_(model, 0, 0);
		break;
	case FAULT_ONE_WAY:
		/* The target is healthy: ejecting it would be wrong. */
		targets[0].bad_until = 0;
		model->lost_path = true;
		break;
	default:
		targets[0].bad_until = 0;
		for (i = 0; i < TARGETS; i++)
			targets[i].slow = SLOW_FACTOR;
		break;
	}
}

static void init_target_(model_t *model, size_t service, size_t index)
{
	target_t *target = &model->targets[service][index];

	target->id = mmx_random_next(&model->random);
	target->service = (uint8_t)service;
	target->index = (uint8_t)index;
	target->zone = (uint8_t)(index % ZONES);
	target->slow = 1;
	target->bad_until = -1;
	target->detection =
		mmx_detection_create(model->clock, model->options.weight);
	if (model->options.fault == FAULT_HEAVY)
		push_(model, (mmx_time_t)exponential_(model, PAUSE_EVERY_US),
		      EVENT_TOGGLE, NULL, (uint8_t)service, (uint8_t)index);
}

void model_init(model_t *model, const model_options_t *options)
{
	size_t service;
	size_t i;

	memset(model, 0, sizeof(*model));
	model->options = *options;
	model->clock = mmx_clock_create_paused();
	model->all = g_ptr_array_new_with_free_func(g_free);
	model->onset = MMX_TIME_NEVER;
	mmx_random_seed(&model->random, options->seed);
	for (service = 0; service < options->services; service++) {
		for (i = 0; i < TARGETS; i++)
			init_target_(model, service, i);
		push_(model, 0, EVENT_ARRIVAL, NULL, (uint8_t)service, 0);
	}
	policy_init(model);
	push_(model, PROBE_PERIOD_US, EVENT_PROBE, NULL, 0, 0);
	if (options->policy != POLICY_MASTICMUX)
		return;
	push_(model, MMX_DETECTION_PERIOD_US, EVENT_EVALUATE, NULL, 0, 0);
	push_(model, SUMMARY_PERIOD_US, EVENT_SUMMARY, NULL, 0, 0);
}

static void handle_request_(model_t *model, event_type_t type,
			    request_t *request)
{
	switch (type) {
	case EVENT_AT_EXIT:
		on_at_exit_(model, request);
		break;
	case EVENT_CALL_DONE:
		if (request->running)
			on_call_done_(model, request);
		break;
	case EVENT_AT_ENTRY:
		on_at_entry_(model, request);
		break;
	default:
		on_deadline_(model, request);
		break;
	}
}

static void handle_(model_t *model, const event_t *event)
{
	if (event->request) {
		if (event->request->generation == event->generation)
			handle_request_(model, event->type, event->request);
		return;
	}
	switch (event->type) {
	case EVENT_ARRIVAL:
		on_arrival_(model, event->a);
		break;
	case EVENT_EVALUATE:
		on_evaluate_(model);
		break;
	case EVENT_SUMMARY:
		on_summary_(model);
		break;
	case EVENT_LEVEL:
		policy_level(model, &model->targets[event->a][event->b]);
		break;
	case EVENT_PROBE:
		on_probe_(model);
		break;
	case EVENT_ASKED:
		on_asked_(model, event->a, event->b);
		break;
	default:
		on_toggle_(model, event->a, event->b);
		break;
	}
}

void model_run_until(model_t *model, mmx_time_t end)
{
	while (model->heap_count && model->heap[0].time <= end) {
		event_t event = pop_(model);

		mmx_clock_advance(model->clock,
				  event.time - mmx_clock_now(model->clock));
		handle_(model, &event);
	}
	mmx_clock_advance(model->clock, end - mmx_clock_now(model->clock));
}

void model_finish(model_t *model)
{
	size_t service;
	size_t i;

	for (i = 0; i < model->all->len; i++) {
		request_t *request = model->all->pdata[i];

		if (request->running)
			end_call_(model, request, MMX_RESULT_ABANDONED);
	}
	policy_finish(model);
	for (service = 0; service < model->options.services; service++)
		for (i = 0; i < TARGETS; i++)
			mmx_detection_destroy(
				model->targets[service][i].detection);
	g_ptr_array_free(model->all, TRUE);
	g_free(model->heap);
	mmx_clock_destroy(model->clock);
}
