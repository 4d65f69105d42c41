#include "policy.h"

/* One-way delays of the customers' networks. */
#define DELAY_ZONE_US 250
#define DELAY_REGION_US 750
#define DELAY_REMOTE_US 15000

mmx_time_t policy_delay(size_t from, size_t to)
{
	if (from == to)
		return DELAY_ZONE_US;
	return from / (ZONES / REGIONS) == to / (ZONES / REGIONS)
		       ? DELAY_REGION_US
		       : DELAY_REMOTE_US;
}

static mmx_locality_t ring_(size_t from, size_t to)
{
	if (from == to)
		return MMX_LOCALITY_ZONE;
	return from / (ZONES / REGIONS) == to / (ZONES / REGIONS)
		       ? MMX_LOCALITY_REGION
		       : MMX_LOCALITY_REMOTE;
}

static size_t index_of_(const view_t *view, mmx_target_id_t id)
{
	const target_t *targets = view->model->targets[view->service];
	size_t i;

	for (i = 0; i < TARGETS; i++)
		if (targets[i].id == id)
			return i;
	g_assert_not_reached();
}

static bool is_lost_path_(const model_t *model, const view_t *view,
			  size_t target)
{
	return model->lost_path && !target &&
	       view == &model->views[0][view->service];
}

/* An ejection is false when the target had no fault; entries that eject the
 * same target for the same reason count once. */
void policy_ejected(model_t *model, view_t *view, size_t target, bool ejected)
{
	target_t *which = &model->targets[view->service][target];
	mmx_time_t now = mmx_clock_now(model->clock);

	if (view->ejected[target] == ejected)
		return;
	view->ejected[target] = ejected;
	if (!ejected) {
		which->ejected_by--;
		return;
	}
	if (!which->ejected_by++) {
		if (now > which->bad_until &&
		    !is_lost_path_(model, view, target))
			model->result.false_ejections++;
		else if (!model->result.ejected_at)
			model->result.ejected_at = now;
	}
}

static void check_floor_(view_t *view)
{
	uint32_t slots = 0;
	uint32_t floor = TARGETS * SLOTS * FLOOR_PERCENT / 100;
	bool any = false;
	size_t i;

	for (i = 0; i < TARGETS; i++) {
		any = any || view->ejected[i];
		slots += view->ejected[i] ? 0 : SLOTS;
	}
	if (any && (slots < floor || slots < FLOOR_SLOTS))
		view->model->result.floor_violations++;
}

/* Counts targets without a fault that are avoided; like ejections, once for
 * all entries. */
static void count_avoided_(view_t *view, size_t target)
{
	model_t *model = view->model;
	const target_t *which = &model->targets[view->service][target];
	size_t entry;

	if (view->avoided[target])
		return;
	for (entry = 0; entry < ENTRIES; entry++)
		if (model->views[entry][view->service].avoided[target])
			break;
	view->avoided[target] = true;
	if (entry == ENTRIES && mmx_clock_now(model->clock) > which->bad_until)
		model->result.false_avoided++;
}

/* Follows the ejections of a view after an operation on it. */
static void follow_(view_t *view)
{
	mmx_ejection_info_t info;
	size_t i;

	if (!mmx_ejection_floor_holds(view->ejection))
		view->model->result.floor_violations++;
	if (!view->changed)
		return;
	view->changed = false;
	for (i = 0; i < TARGETS; i++) {
		mmx_ejection_info(view->ejection,
				  view->model->targets[view->service][i].id,
				  &info);
		policy_ejected(view->model, view, i,
			       info.state == MMX_EJECTION_EJECTED);
		if (info.state != MMX_EJECTION_AVOIDED)
			view->avoided[i] = false;
		else
			count_avoided_(view, i);
	}
	check_floor_(view);
	if (mmx_ejection_must_shed(view->ejection) &&
	    !view->model->result.shed_at)
		view->model->result.shed_at = mmx_clock_now(view->model->clock);
}

static void on_use_(void *arg, mmx_target_id_t id, mmx_use_t use)
{
	view_t *view = arg;

	view->changed = true;
	mmx_balance_set_use(view->balance, id, use);
}

static void init_view_(model_t *model, size_t entry, size_t service)
{
	view_t *view = &model->views[entry][service];
	size_t i;

	view->model = model;
	view->service = (uint8_t)service;
	mmx_retry_init(&view->retry, RETRY_PERCENT, 0);
	view->balance = mmx_balance_create();
	view->ejection =
		mmx_ejection_create(model->clock, &model->random, FLOOR_PERCENT,
				    FLOOR_SLOTS, on_use_, view);
	for (i = 0; i < TARGETS; i++) {
		target_t *target = &model->targets[service][i];

		mmx_balance_set_target(view->balance, target->id, SLOTS,
				       ring_(entry, target->zone));
		mmx_ejection_set_target(view->ejection, target->id, SLOTS,
					MMX_AVAILABLE);
	}
}

void policy_init(model_t *model)
{
	size_t entry;
	size_t i;

	for (entry = 0; entry < ENTRIES; entry++) {
		for (i = 0; i < model->options.services; i++)
			init_view_(model, entry, i);
		for (i = 0; i < TARGETS; i++)
			mmx_path_init(&model->paths[entry][i],
				      MMX_PATH_TIMEOUT_US, 0);
	}
}

void policy_finish(model_t *model)
{
	size_t entry;
	size_t i;

	for (entry = 0; entry < ENTRIES; entry++)
		for (i = 0; i < model->options.services; i++) {
			mmx_ejection_destroy(model->views[entry][i].ejection);
			mmx_balance_destroy(model->views[entry][i].balance);
		}
}

static bool choose_masticmux_(model_t *model, view_t *view, request_t *request,
			      int not_target)
{
	mmx_target_id_t tried = 0;
	mmx_balance_request_t what = {.repeatable = true, .tried = &tried};
	mmx_balance_choice_t choice;

	if (not_target >= 0) {
		tried = model->targets[view->service][not_target].id;
		what.tried_count = 1;
	}
	if (!mmx_balance_choose(view->balance, &what, &model->random,
				mmx_clock_now(model->clock), &choice))
		return false;
	request->target = (uint8_t)index_of_(view, choice.target);
	request->trial = choice.trial;
	if (choice.trial)
		mmx_ejection_trial_start(view->ejection, choice.target);
	mmx_balance_start(view->balance, choice.target);
	mmx_path_attempt_sent(&model->paths[request->entry][request->target],
			      mmx_clock_now(model->clock));
	return true;
}

static bool is_out_(const model_t *model, const view_t *view, size_t target)
{
	return view->out_until[target] > mmx_clock_now(model->clock);
}

static bool choose_baseline_(model_t *model, view_t *view, request_t *request,
			     int not_target)
{
	int best = -1;
	size_t i;

	for (i = 0; i < TARGETS; i++) {
		size_t at = (view->next + i) % TARGETS;

		if (is_out_(model, view, at) || (int)at == not_target)
			continue;
		if (best < 0 || view->outstanding[at] < view->outstanding[best])
			best = (int)at;
		if (model->options.policy == POLICY_ROUND_ROBIN)
			break;
	}
	if (best < 0)
		return false;
	/* Least connections starts anywhere, so that ties are random. */
	view->next =
		model->options.policy == POLICY_ROUND_ROBIN
			? (uint8_t)((best + 1) % TARGETS)
			: (uint8_t)mmx_random_below(&model->random, TARGETS);
	view->outstanding[best]++;
	request->target = (uint8_t)best;
	return true;
}

bool policy_choose(model_t *model, request_t *request, int not_target)
{
	view_t *view = &model->views[request->entry][request->service];

	if (model->options.policy == POLICY_MASTICMUX)
		return choose_masticmux_(model, view, request, not_target);
	return choose_baseline_(model, view, request, not_target);
}

static void done_masticmux_(model_t *model, view_t *view, request_t *request)
{
	mmx_target_id_t id = model->targets[view->service][request->target].id;
	mmx_path_t *path = &model->paths[request->entry][request->target];
	mmx_time_t now = mmx_clock_now(model->clock);

	mmx_balance_finish(view->balance, id);
	mmx_path_attempt_ended(path);
	if (request->result != MMX_RESULT_ABANDONED) {
		mmx_path_progress(path, now);
		mmx_balance_report_load(view->balance, id, request->load, now);
		mmx_ejection_report_health(view->ejection, id, request->level,
					   request->score);
	}
	if (request->result != MMX_RESULT_ABANDONED && !request->refused)
		mmx_latency_window_add(&view->window, id, request->latency,
				       request->result == MMX_RESULT_ERROR,
				       now);
	if (request->result == MMX_RESULT_SUCCESS)
		mmx_retry_success(&view->retry);
	if (request->trial && request->refused)
		mmx_ejection_trial_refused(view->ejection, id);
	else if (request->trial)
		mmx_ejection_trial_finish(view->ejection, id, request->good);
	follow_(view);
}

static void done_baseline_(model_t *model, view_t *view, request_t *request)
{
	size_t target = request->target;
	mmx_time_t now = mmx_clock_now(model->clock);

	view->outstanding[target]--;
	if (request->result == MMX_RESULT_SUCCESS) {
		mmx_retry_success(&view->retry);
		view->failures[target] = 0;
		return;
	}
	if (model->options.policy != POLICY_ROUND_ROBIN ||
	    ++view->failures[target] < FAILURES_TO_EJECT)
		return;
	view->failures[target] = 0;
	view->out_until[target] = now + BASELINE_EJECTION_US;
	policy_ejected(model, view, target, true);
	check_floor_(view);
}

void policy_done(model_t *model, request_t *request)
{
	view_t *view = &model->views[request->entry][request->service];

	if (model->options.policy == POLICY_MASTICMUX)
		done_masticmux_(model, view, request);
	else
		done_baseline_(model, view, request);
}

void policy_level(model_t *model, target_t *target)
{
	size_t entry;

	for (entry = 0; entry < ENTRIES; entry++) {
		view_t *view = &model->views[entry][target->service];

		/* Pushed evidence is lost with the path, too. */
		if (model->lost_path && entry == 0 && target->index == 0)
			continue;
		mmx_ejection_report_health(
			view->ejection, target->id,
			mmx_detection_level(target->detection),
			mmx_detection_score(target->detection));
		follow_(view);
	}
}

/* Least connections: probes reach the node beside the target; a target that
 * stalls or is slow for requests still answers them. */
void policy_probe(model_t *model, size_t entry, size_t node)
{
	mmx_time_t now = mmx_clock_now(model->clock);
	bool lost = model->lost_path && entry == 0 && node == 0;
	size_t service;

	if (!lost) {
		model->probes_lost[entry][node] = 0;
		return;
	}
	if (++model->probes_lost[entry][node] < PROBES_TO_EJECT)
		return;
	for (service = 0; service < model->options.services; service++) {
		view_t *view = &model->views[entry][service];

		view->out_until[node] = now + 2 * PROBE_PERIOD_US;
		policy_ejected(model, view, node, true);
		check_floor_(view);
	}
}
