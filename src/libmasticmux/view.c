#include "private/view.h"

#include <assert.h>
#include <glib.h>

#include "masticmux/retry.h"

/* Least time between regular synchronisations of a service. */
#define SYNC_INTERVAL_US (50 * MMX_US_PER_MS)
/* Least time between two summaries to an exit, see masticmux/latency.h. */
#define SUMMARY_INTERVAL_US MMX_US_PER_S
/* Time between two evaluations of all paths. */
#define PATH_EVALUATION_INTERVAL_US (100 * MMX_US_PER_MS)
/*
 * Time without progress after which a wait is attributed to the target and not
 * to the path. The peer task probes connections with outstanding attempts and
 * reports an unresponsive one after MMX_PATH_TIMEOUT_US. If it has reported
 * nothing for twice as long, the exit is reachable.
 */
#define PATH_SILENCE_MAX_US (2 * MMX_PATH_TIMEOUT_US)
/*
 * Time after which a report of an exit that its target is draining is
 * forgotten, unless it is repeated. The directory records a target that leaves
 * for good, but not the stop of an exit process whose target stays: the next
 * process uses that target again. An exit that still stops refuses the attempt
 * and so repeats the report.
 */
#define DRAINING_REPORT_TTL_US (2 * MMX_US_PER_S)
/* Longest time that a target takes to leave. For as long it is remembered, in
 * case that its exit restarts and offers it again. */
#define LEAVING_TTL_US (60 * MMX_US_PER_S)

const char *const mmx_view_trial_result_string[MMX_VIEW_TRIAL_COUNT] = {
	"good",
	"bad",
	"refused",
};

typedef struct service_t {
	mmx_view_t *view;
	char name[MMX_NAME_MAX + 1];
	mmx_balance_t *balance;
	mmx_ejection_t *ejection;
	mmx_retry_t retry;
	mmx_latency_window_t window;
	mmx_cost_t *cost; /* NULL until run times are learned */
	uint8_t floor_percent;
	uint16_t floor_slots;
	mmx_time_t synced_at;	  /* time of the last synchronisation */
	unsigned int sync_number; /* number of the last synchronisation */
} service_t;

typedef struct target_t {
	mmx_target_id_t id;
	service_t *service;
	mmx_node_id_t node;
	uint16_t slots;
	mmx_locality_t locality;
	mmx_availability_t availability;
	uint64_t version; /* of the directory record */
	/* Until when it is draining by a report of its exit; 0: no report. */
	mmx_time_t draining_until;
	mmx_time_t summary_sent;
	unsigned int sync_number; /* last one that found the target */
} target_t;

/* A target that said that it leaves. */
typedef struct departure_t {
	mmx_target_id_t id;
	uint64_t process_start; /* 0: not known */
	mmx_time_t until;
} departure_t;

typedef struct path_t {
	mmx_node_id_t node;
	mmx_path_t path;
} path_t;

struct mmx_view_t {
	mmx_view_config_t config;
	GHashTable *services; /* name -> service_t */
	GHashTable *targets;  /* id -> target_t */
	GHashTable *paths;    /* node -> path_t */
	/* id -> departure_t; the records of the targets may be gone */
	GHashTable *departures;
	mmx_timer_t timer; /* evaluates the paths */
};

static mmx_time_t now_(const mmx_view_t *view)
{
	return mmx_clock_now(view->config.clock);
}

static void on_use_(void *arg, mmx_target_id_t target, mmx_use_t use)
{
	service_t *service = arg;

	mmx_balance_set_use(service->balance, target, use);
}

static void free_service_(gpointer data)
{
	service_t *service = data;

	mmx_ejection_destroy(service->ejection);
	mmx_balance_destroy(service->balance);
	mmx_cost_destroy(service->cost);
	g_free(service);
}

static void apply_policy_(service_t *service)
{
	const mmx_config_state_t *config_state =
		*service->view->config.config_state;
	mmx_policy_t policy;

	if (!config_state || !mmx_config_state_get_service_policy(
				     config_state, service->name, &policy))
		return;
	mmx_retry_set_percent(&service->retry, policy.retry_percent);
	if (policy.floor_percent == service->floor_percent &&
	    policy.floor_slots == service->floor_slots)
		return;
	service->floor_percent = policy.floor_percent;
	service->floor_slots = policy.floor_slots;
	mmx_ejection_set_floor(service->ejection, policy.floor_percent,
			       policy.floor_slots);
}

static service_t *find_or_add_service_(mmx_view_t *view, const char *name)
{
	service_t *service = g_hash_table_lookup(view->services, name);

	if (service)
		return service;
	service = g_new0(service_t, 1);
	service->view = view;
	g_strlcpy(service->name, name, sizeof(service->name));
	service->balance = mmx_balance_create();
	service->ejection =
		mmx_ejection_create(view->config.clock, view->config.random, 0,
				    0, on_use_, service);
	mmx_ejection_ignore_floor(service->ejection,
				  !view->config.guards->floor);
	mmx_retry_init(&service->retry, 0, now_(view));
	service->synced_at = -SYNC_INTERVAL_US;
	g_hash_table_insert(view->services, service->name, service);
	return service;
}

static mmx_locality_t node_locality_(const mmx_view_t *view, mmx_node_id_t node)
{
	const mmx_view_members_ops_t *members = view->config.members;

	if (!members || !members->locality)
		return MMX_LOCALITY_ZONE;
	return members->locality(view->config.members_context, node);
}

static bool has_left_(const mmx_view_t *view,
		      const mmx_directory_target_t *record)
{
	mmx_target_id_t id = mmx_directory_target_id(record);
	uint64_t start = mmx_directory_target_process_start(record);
	const departure_t *departure =
		g_hash_table_lookup(view->departures, &id);

	return departure && now_(view) < departure->until &&
	       (departure->process_start == start || !start ||
		!departure->process_start);
}

static mmx_availability_t
target_availability_(const mmx_view_t *view, const target_t *target,
		     const mmx_directory_target_t *record)
{
	const mmx_view_members_ops_t *members = view->config.members;
	mmx_target_state_t state = mmx_directory_target_state(record);
	mmx_availability_t node = MMX_AVAILABLE;

	if (members && members->availability)
		node = members->availability(view->config.members_context,
					     mmx_directory_target_node(record));
	if (node != MMX_AVAILABLE)
		return node;
	if (now_(view) < target->draining_until ||
	    state >= MMX_TARGET_DRAINING || has_left_(view, record))
		return MMX_AVAILABILITY_DRAINING;
	return state == MMX_TARGET_COLD ? MMX_AVAILABILITY_COLD : MMX_AVAILABLE;
}

static path_t *find_or_add_path_(mmx_view_t *view, mmx_node_id_t node)
{
	path_t *path = g_hash_table_lookup(view->paths, &node);

	if (path)
		return path;
	path = g_new0(path_t, 1);
	path->node = node;
	mmx_path_init(&path->path, PATH_SILENCE_MAX_US, now_(view));
	g_hash_table_insert(view->paths, &path->node, path);
	if (!mmx_timer_is_set(&view->timer))
		mmx_timer_set(&view->timer, PATH_EVALUATION_INTERVAL_US);
	return path;
}

static target_t *add_target_(service_t *service,
			     const mmx_directory_target_t *record)
{
	mmx_view_t *view = service->view;
	target_t *target = g_new0(target_t, 1);

	target->id = mmx_directory_target_id(record);
	target->service = service;
	target->node = mmx_directory_target_node(record);
	target->summary_sent = -SUMMARY_INTERVAL_US;
	g_hash_table_replace(view->targets, &target->id, target);
	return target;
}

static void sync_target_(service_t *service,
			 const mmx_directory_target_t *record)
{
	mmx_view_t *view = service->view;
	mmx_target_id_t id = mmx_directory_target_id(record);
	target_t *target = g_hash_table_lookup(view->targets, &id);
	uint16_t slots = mmx_directory_target_slots(record);
	mmx_locality_t locality =
		node_locality_(view, mmx_directory_target_node(record));
	mmx_availability_t availability;

	if (target && target->service != service) {
		mmx_balance_remove_target(target->service->balance, id);
		mmx_ejection_remove_target(target->service->ejection, id);
		target = NULL;
	}
	if (!target)
		target = add_target_(service, record);
	if (target->version != mmx_directory_target_version(record))
		target->draining_until = 0;
	target->version = mmx_directory_target_version(record);
	target->sync_number = service->sync_number;
	availability = target_availability_(view, target, record);
	if (target->slots != slots || target->locality != locality)
		mmx_balance_set_target(service->balance, id, slots, locality);
	if (target->slots != slots || target->availability != availability) {
		target->availability = availability;
		mmx_ejection_set_target(service->ejection, id, slots,
					availability);
		mmx_ejection_set_path_health(
			service->ejection, id,
			mmx_path_level(
				&find_or_add_path_(view, target->node)->path));
	}
	target->slots = slots;
	target->locality = locality;
}

static gboolean remove_if_stale_(gpointer key, gpointer value, gpointer data)
{
	const target_t *target = value;
	service_t *service = data;

	if (target->service != service ||
	    target->sync_number == service->sync_number)
		return FALSE;
	mmx_balance_remove_target(service->balance, target->id);
	mmx_ejection_remove_target(service->ejection, target->id);
	return TRUE;
}

/* Applies changes of the directory and the configuration. */
static void sync_service_(service_t *service)
{
	const mmx_directory_t *directory = service->view->config.directory;
	const mmx_directory_service_t *records =
		mmx_directory_service(directory, service->name);
	size_t count = records ? mmx_directory_service_count(records) : 0;
	size_t i;

	service->synced_at = now_(service->view);
	service->sync_number++;
	apply_policy_(service);
	for (i = 0; i < count; i++)
		sync_target_(service, mmx_directory_service_at(records, i));
	if (mmx_balance_count(service->balance) != count)
		g_hash_table_foreach_remove(service->view->targets,
					    remove_if_stale_, service);
}

static bool is_by_work_(const mmx_view_t *view)
{
	return view->config.by_work && *view->config.by_work;
}

void mmx_view_set_cost(mmx_view_t *view, const char *name, mmx_cost_key_t key,
		       mmx_balance_request_t *request)
{
	const service_t *service = g_hash_table_lookup(view->services, name);

	request->cost = 0;
	if (is_by_work_(view) && service && service->cost &&
	    mmx_cost_is_uneven(service->cost))
		request->cost = (double)mmx_cost_mean(service->cost, key) /
				(double)mmx_cost_mean_of_all(service->cost);
}

void mmx_view_learn_cost(mmx_view_t *view, const char *name, mmx_cost_key_t key,
			 mmx_time_t run_time)
{
	service_t *service = g_hash_table_lookup(view->services, name);

	if (!is_by_work_(view) || !service)
		return;
	if (!service->cost)
		service->cost = mmx_cost_create();
	mmx_cost_add(service->cost, key, run_time, now_(view));
}

static bool choose_target_(service_t *service,
			   const mmx_balance_request_t *request,
			   mmx_balance_choice_t *choice)
{
	mmx_view_t *view = service->view;

	return mmx_balance_choose(service->balance, request,
				  view->config.random, now_(view), choice);
}

static mmx_incarnation_t exit_incarnation_(const mmx_view_t *view,
					   const mmx_directory_target_t *record)
{
	const mmx_view_members_ops_t *members = view->config.members;

	if (!members || !members->incarnation)
		return mmx_directory_target_incarnation(record);
	return members->incarnation(view->config.members_context,
				    mmx_directory_target_node(record));
}

bool mmx_view_start_attempt(mmx_view_t *view, const char *name,
			    const mmx_balance_request_t *request,
			    mmx_view_choice_t *choice)
{
	service_t *service = find_or_add_service_(view, name);
	const mmx_directory_target_t *record;
	mmx_balance_choice_t chosen;

	if (now_(view) - service->synced_at >= SYNC_INTERVAL_US)
		sync_service_(service);
	if (!choose_target_(service, request, &chosen))
		return false;
	record = mmx_directory_find(view->config.directory, chosen.target);
	if (!record ||
	    mmx_directory_target_state(record) >= MMX_TARGET_DRAINING) {
		sync_service_(service);
		if (!choose_target_(service, request, &chosen))
			return false;
		record = mmx_directory_find(view->config.directory,
					    chosen.target);
		assert(record);
	}
	*choice = (mmx_view_choice_t){
		.target = chosen.target,
		.node = mmx_directory_target_node(record),
		.incarnation = exit_incarnation_(view, record),
		.locality = chosen.locality,
		.trial = chosen.trial &&
			 mmx_ejection_trial_start(service->ejection,
						  chosen.target),
	};
	mmx_balance_estimate(service->balance, chosen.target, now_(view),
			     &choice->load_estimate);
	if (request->cost > 0)
		choice->cost = (mmx_time_t)(request->cost *
					    (double)choice->load_estimate.run);
	mmx_balance_start(service->balance, chosen.target);
	mmx_balance_add_work(service->balance, chosen.target, request->cost);
	mmx_path_attempt_sent(&find_or_add_path_(view, choice->node)->path,
			      now_(view));
	return true;
}

void mmx_view_finish_attempt(mmx_view_t *view, mmx_target_id_t id,
			     mmx_node_id_t node)
{
	target_t *target = g_hash_table_lookup(view->targets, &id);

	if (target)
		mmx_balance_finish(target->service->balance, id);
	mmx_path_attempt_ended(&find_or_add_path_(view, node)->path);
}

void mmx_view_finish_trial(mmx_view_t *view, mmx_target_id_t id,
			   mmx_view_trial_result_t result)
{
	target_t *target = g_hash_table_lookup(view->targets, &id);

	if (!target)
		return;
	if (result == MMX_VIEW_TRIAL_REFUSED)
		mmx_ejection_trial_refused(target->service->ejection, id);
	else
		mmx_ejection_trial_finish(target->service->ejection, id,
					  result == MMX_VIEW_TRIAL_GOOD);
}

void mmx_view_completed(mmx_view_t *view, mmx_target_id_t id,
			mmx_time_t latency, bool error)
{
	target_t *target = g_hash_table_lookup(view->targets, &id);

	if (!target)
		return;
	mmx_latency_window_add(&target->service->window, id, latency, error,
			       now_(view));
	if (!error)
		mmx_retry_success(&target->service->retry);
}

/* Applies a change of availability that the directory does not show. */
static void update_availability_(mmx_view_t *view, target_t *target)
{
	const mmx_directory_target_t *record =
		mmx_directory_find(view->config.directory, target->id);
	mmx_availability_t availability;

	if (!record)
		return;
	availability = target_availability_(view, target, record);
	if (availability == target->availability)
		return;
	target->availability = availability;
	mmx_ejection_set_target(target->service->ejection, target->id,
				target->slots, availability);
}

void mmx_view_report_load(mmx_view_t *view, const mmx_load_report_t *report)
{
	target_t *target = g_hash_table_lookup(view->targets, &report->target);
	mmx_ejection_t *ejection;

	if (!target || report->level >= MMX_HEALTH_COUNT)
		return;
	ejection = target->service->ejection;
	mmx_balance_report_load(target->service->balance, target->id,
				(uint32_t)report->in_progress + report->queued,
				now_(view));
	if (report->work_ms)
		mmx_balance_report_work(target->service->balance, target->id,
					report->work_ms * MMX_US_PER_MS,
					report->run_ms * MMX_US_PER_MS,
					now_(view));
	mmx_balance_pause(target->service->balance, target->id,
			  report->wait_ms
				  ? now_(view) + report->wait_ms * MMX_US_PER_MS
				  : 0);
	mmx_ejection_report_health(ejection, target->id,
				   (mmx_health_t)report->level,
				   report->score / 1000.0);
	/* The report may be ahead of the directory. */
	target->draining_until = report->state < MMX_TARGET_DRAINING
					 ? 0
					 : now_(view) + DRAINING_REPORT_TTL_US;
	update_availability_(view, target);
}

static gboolean is_forgotten_(gpointer key, gpointer value, gpointer data)
{
	return now_(data) >= ((const departure_t *)value)->until;
}

void mmx_view_target_leaves(mmx_view_t *view, mmx_target_id_t id)
{
	const mmx_directory_target_t *record =
		mmx_directory_find(view->config.directory, id);
	target_t *target = g_hash_table_lookup(view->targets, &id);
	departure_t *departure = g_new0(departure_t, 1);

	g_hash_table_foreach_remove(view->departures, is_forgotten_, view);
	departure->id = id;
	if (record)
		departure->process_start =
			mmx_directory_target_process_start(record);
	departure->until = now_(view) + LEAVING_TTL_US;
	g_hash_table_replace(view->departures, &departure->id, departure);
	if (target)
		update_availability_(view, target);
}

bool mmx_view_take_retry(mmx_view_t *view, const char *name)
{
	service_t *service = find_or_add_service_(view, name);

	if (view->config.budget_at_exits)
		return true;
	return !mmx_ejection_must_shed(service->ejection) &&
	       mmx_retry_take(&service->retry, now_(view));
}

mmx_latency_summary_t *mmx_view_summary(mmx_view_t *view, mmx_target_id_t id)
{
	target_t *target = g_hash_table_lookup(view->targets, &id);
	mmx_latency_summary_t *summary;

	/* The summaries of the entries in its own region are enough for an
	 * exit. Those from other regions would add to the few attempts that
	 * cross regions. */
	if (!target || target->locality == MMX_LOCALITY_REMOTE ||
	    now_(view) - target->summary_sent < SUMMARY_INTERVAL_US)
		return NULL;
	target->summary_sent = now_(view);
	summary = g_new0(mmx_latency_summary_t, 1);
	mmx_latency_window_others(&target->service->window, id, now_(view),
				  summary);
	return summary;
}

static void evaluate_path_(mmx_view_t *view, path_t *path)
{
	const mmx_directory_target_t *record;
	mmx_target_id_t id;
	target_t *target;

	if (!mmx_path_evaluate(&path->path, now_(view)))
		return;
	record = mmx_directory_node_first(view->config.directory, path->node);
	for (; record; record = mmx_directory_node_next(record)) {
		id = mmx_directory_target_id(record);
		target = g_hash_table_lookup(view->targets, &id);
		if (target)
			mmx_ejection_set_path_health(
				target->service->ejection, id,
				mmx_path_level(&path->path));
	}
}

static void on_timer_(void *arg)
{
	mmx_view_t *view = arg;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, view->paths);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		path_t *path = value;

		if (mmx_path_needs_fence(&path->path, now_(view)))
			mmx_path_on_fence_result(&path->path,
						 MMX_PATH_FENCE_RUNNING,
						 now_(view));
		evaluate_path_(view, path);
	}
	mmx_timer_set(&view->timer, PATH_EVALUATION_INTERVAL_US);
}

void mmx_view_path_progress(mmx_view_t *view, mmx_node_id_t node)
{
	mmx_path_progress(&find_or_add_path_(view, node)->path, now_(view));
}

void mmx_view_path_on_fence_result(mmx_view_t *view, mmx_node_id_t node,
				   mmx_path_fence_result_t answer)
{
	path_t *path = find_or_add_path_(view, node);

	mmx_path_on_fence_result(&path->path, answer, now_(view));
	evaluate_path_(view, path);
}

void mmx_view_path_lost(mmx_view_t *view, mmx_node_id_t node,
			bool connect_failed)
{
	mmx_view_path_on_fence_result(view, node,
				      connect_failed ? MMX_PATH_FENCE_NO_REPLY
						     : MMX_PATH_FENCE_UNSEEN);
}

bool mmx_view_floor_holds(const mmx_view_t *view)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, view->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!mmx_ejection_floor_holds(((service_t *)value)->ejection))
			return false;
	return true;
}

bool mmx_view_info(const mmx_view_t *view, mmx_target_id_t id,
		   mmx_ejection_info_t *info)
{
	const target_t *target = g_hash_table_lookup(view->targets, &id);

	return target && mmx_ejection_info(target->service->ejection, id, info);
}

mmx_view_t *mmx_view_create(const mmx_view_config_t *config)
{
	mmx_view_t *view = g_new0(mmx_view_t, 1);

	assert(config->clock && config->random && config->directory &&
	       config->config_state && config->guards);
	view->config = *config;
	view->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_service_);
	view->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	view->paths = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
	view->departures = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, g_free);
	mmx_timer_init(&view->timer, config->clock, on_timer_, view);
	return view;
}

void mmx_view_destroy(mmx_view_t *view)
{
	if (!view)
		return;
	mmx_timer_cancel(&view->timer);
	g_hash_table_destroy(view->targets);
	g_hash_table_destroy(view->services);
	g_hash_table_destroy(view->paths);
	g_hash_table_destroy(view->departures);
	g_free(view);
}
