#include "private/view.h"

#include <assert.h>
#include <glib.h>

#include "masticmux/retry.h"

/* Changes of the directory are taken over at most this often. */
#define SYNC_INTERVAL_US (50 * MMX_US_PER_MS)
/* Summaries go to each exit at most this often, see masticmux/latency.h. */
#define SUMMARY_INTERVAL_US MMX_US_PER_S
#define PATH_INTERVAL_US (100 * MMX_US_PER_MS)
/*
 * The peer task probes connections with work outstanding and reports a silent
 * one after MMX_PATH_TIMEOUT_US. When nothing was reported for twice as long,
 * the exit answers and the wait is the target's.
 */
#define WAIT_IS_TARGETS_US (2 * MMX_PATH_TIMEOUT_US)

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
	uint8_t floor_percent;
	uint16_t floor_slots;
	mmx_time_t synced;
	unsigned int sync; /* number of the latest one */
} service_t;

typedef struct target_t {
	mmx_target_id_t id;
	service_t *service;
	mmx_node_id_t node;
	uint16_t slots;
	mmx_locality_t ring;
	mmx_availability_t availability;
	uint64_t version; /* of the record */
	bool leaving;	  /* reported by the exit at this version */
	mmx_time_t summary_sent;
	unsigned int sync;
} target_t;

typedef struct path_t {
	mmx_node_id_t node;
	mmx_path_t path;
} path_t;

struct mmx_view_t {
	mmx_view_config_t config;
	GHashTable *services; /* of service_t, by name */
	GHashTable *targets;  /* of target_t, by id */
	GHashTable *paths;    /* of path_t, by node */
	mmx_timer_t timer;
};

static mmx_time_t now_(const mmx_view_t *view)
{
	return mmx_clock_now(view->config.clock);
}

/* --- services and targets ---------------------------------------------- */

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
	g_free(service);
}

static void follow_policy_(service_t *service)
{
	const mmx_fold_t *fold = *service->view->config.fold;
	mmx_policy_t policy;

	if (!fold || !mmx_fold_service(fold, service->name, &policy))
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

static service_t *service_(mmx_view_t *view, const char *name)
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
	service->synced = -SYNC_INTERVAL_US;
	g_hash_table_insert(view->services, service->name, service);
	return service;
}

static mmx_locality_t ring_(const mmx_view_t *view, mmx_node_id_t node)
{
	const mmx_view_members_ops_t *members = view->config.members;

	if (!members || !members->locality)
		return MMX_LOCALITY_ZONE;
	return members->locality(view->config.members_context, node);
}

static mmx_availability_t availability_(const mmx_view_t *view,
					const mmx_directory_target_t *record,
					bool leaving)
{
	const mmx_view_members_ops_t *members = view->config.members;
	mmx_target_state_t state = mmx_directory_target_state(record);
	mmx_availability_t node = MMX_AVAILABLE;

	if (members && members->availability)
		node = members->availability(view->config.members_context,
					     mmx_directory_target_node(record));
	if (node != MMX_AVAILABLE)
		return node;
	if (leaving || state >= MMX_TARGET_DRAINING)
		return MMX_AVAILABILITY_DRAINING;
	return state == MMX_TARGET_COLD ? MMX_AVAILABILITY_COLD : MMX_AVAILABLE;
}

static path_t *path_(mmx_view_t *view, mmx_node_id_t node)
{
	path_t *path = g_hash_table_lookup(view->paths, &node);

	if (path)
		return path;
	path = g_new0(path_t, 1);
	path->node = node;
	mmx_path_init(&path->path, WAIT_IS_TARGETS_US, now_(view));
	g_hash_table_insert(view->paths, &path->node, path);
	if (!mmx_timer_is_set(&view->timer))
		mmx_timer_set(&view->timer, PATH_INTERVAL_US);
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
	mmx_locality_t ring = ring_(view, mmx_directory_target_node(record));
	mmx_availability_t availability;

	if (target && target->service != service) {
		mmx_balance_remove_target(target->service->balance, id);
		mmx_ejection_remove_target(target->service->ejection, id);
		target = NULL;
	}
	if (!target)
		target = add_target_(service, record);
	if (target->version != mmx_directory_target_version(record))
		target->leaving = false;
	target->version = mmx_directory_target_version(record);
	target->sync = service->sync;
	availability = availability_(view, record, target->leaving);
	if (target->slots != slots || target->ring != ring)
		mmx_balance_set_target(service->balance, id, slots, ring);
	if (target->slots != slots || target->availability != availability) {
		target->availability = availability;
		mmx_ejection_set_target(service->ejection, id, slots,
					availability);
		mmx_ejection_set_path_health(
			service->ejection, id,
			mmx_path_level(&path_(view, target->node)->path));
	}
	target->slots = slots;
	target->ring = ring;
}

static gboolean is_stale_(gpointer key, gpointer value, gpointer data)
{
	const target_t *target = value;
	service_t *service = data;

	if (target->service != service || target->sync == service->sync)
		return FALSE;
	mmx_balance_remove_target(service->balance, target->id);
	mmx_ejection_remove_target(service->ejection, target->id);
	return TRUE;
}

/* Takes over what has changed in the directory and the configuration. */
static void sync_(service_t *service)
{
	const mmx_directory_t *directory = service->view->config.directory;
	const mmx_directory_service_t *records =
		mmx_directory_service(directory, service->name);
	size_t count = records ? mmx_directory_service_count(records) : 0;
	size_t i;

	service->synced = now_(service->view);
	service->sync++;
	follow_policy_(service);
	for (i = 0; i < count; i++)
		sync_target_(service, mmx_directory_service_at(records, i));
	if (mmx_balance_count(service->balance) != count)
		g_hash_table_foreach_remove(service->view->targets, is_stale_,
					    service);
}

/* --- attempts ---------------------------------------------------------- */

static bool choose_(service_t *service, const mmx_balance_request_t *request,
		    mmx_balance_choice_t *choice)
{
	mmx_view_t *view = service->view;

	return mmx_balance_choose(service->balance, request,
				  view->config.random, now_(view), choice);
}

static mmx_incarnation_t incarnation_(const mmx_view_t *view,
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
	service_t *service = service_(view, name);
	const mmx_directory_target_t *record;
	mmx_balance_choice_t chosen;

	if (now_(view) - service->synced >= SYNC_INTERVAL_US)
		sync_(service);
	if (!choose_(service, request, &chosen))
		return false;
	record = mmx_directory_find(view->config.directory, chosen.target);
	if (!record ||
	    mmx_directory_target_state(record) >= MMX_TARGET_DRAINING) {
		sync_(service);
		if (!choose_(service, request, &chosen))
			return false;
		record = mmx_directory_find(view->config.directory,
					    chosen.target);
		assert(record);
	}
	*choice = (mmx_view_choice_t){
		.target = chosen.target,
		.node = mmx_directory_target_node(record),
		.incarnation = incarnation_(view, record),
		.locality = chosen.locality,
		.trial = chosen.trial &&
			 mmx_ejection_trial_start(service->ejection,
						  chosen.target),
	};
	mmx_balance_estimate(service->balance, chosen.target, now_(view),
			     &choice->load_estimate);
	mmx_balance_start(service->balance, chosen.target);
	mmx_path_attempt_sent(&path_(view, choice->node)->path, now_(view));
	return true;
}

void mmx_view_finish_attempt(mmx_view_t *view, mmx_target_id_t id,
			     mmx_node_id_t node)
{
	target_t *target = g_hash_table_lookup(view->targets, &id);

	if (target)
		mmx_balance_finish(target->service->balance, id);
	mmx_path_attempt_ended(&path_(view, node)->path);
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

void mmx_view_report_load(mmx_view_t *view, const mmx_load_report_t *report)
{
	target_t *target = g_hash_table_lookup(view->targets, &report->target);
	const mmx_directory_target_t *record;
	mmx_ejection_t *ejection;

	if (!target || report->level >= MMX_HEALTH_COUNT)
		return;
	ejection = target->service->ejection;
	mmx_balance_report_load(target->service->balance, target->id,
				(uint32_t)report->in_progress + report->queued,
				now_(view));
	mmx_ejection_report_health(ejection, target->id,
				   (mmx_health_t)report->level,
				   report->score / 1000.0);
	if (report->state < MMX_TARGET_DRAINING || target->leaving)
		return;
	/* The directory may hear of it later. */
	target->leaving = true;
	record = mmx_directory_find(view->config.directory, target->id);
	if (!record)
		return;
	target->availability = availability_(view, record, true);
	mmx_ejection_set_target(ejection, target->id, target->slots,
				target->availability);
}

bool mmx_view_take_retry(mmx_view_t *view, const char *name)
{
	service_t *service = service_(view, name);

	if (view->config.budget_at_exits)
		return true;
	return !mmx_ejection_must_shed(service->ejection) &&
	       mmx_retry_take(&service->retry, now_(view));
}

mmx_latency_summary_t *mmx_view_summary(mmx_view_t *view, mmx_target_id_t id)
{
	target_t *target = g_hash_table_lookup(view->targets, &id);
	mmx_latency_summary_t *summary;

	/* Entries of its own region tell an exit enough; each would add its
	 * own copy to the few attempts that cross to another one. */
	if (!target || target->ring == MMX_LOCALITY_REMOTE ||
	    now_(view) - target->summary_sent < SUMMARY_INTERVAL_US)
		return NULL;
	target->summary_sent = now_(view);
	summary = g_new0(mmx_latency_summary_t, 1);
	mmx_latency_window_others(&target->service->window, id, now_(view),
				  summary);
	return summary;
}

/* --- paths ------------------------------------------------------------- */

static void evaluate_(mmx_view_t *view, path_t *path)
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
		evaluate_(view, path);
	}
	mmx_timer_set(&view->timer, PATH_INTERVAL_US);
}

void mmx_view_path_progress(mmx_view_t *view, mmx_node_id_t node)
{
	mmx_path_progress(&path_(view, node)->path, now_(view));
}

void mmx_view_path_answer(mmx_view_t *view, mmx_node_id_t node,
			  mmx_path_fence_result_t answer)
{
	path_t *path = path_(view, node);

	mmx_path_on_fence_result(&path->path, answer, now_(view));
	evaluate_(view, path);
}

void mmx_view_path_lost(mmx_view_t *view, mmx_node_id_t node,
			bool connect_failed)
{
	mmx_view_path_answer(view, node,
			     connect_failed ? MMX_PATH_FENCE_NO_REPLY
					    : MMX_PATH_FENCE_UNSEEN);
}

/* --- queries and life -------------------------------------------------- */

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
	       config->fold && config->guards);
	view->config = *config;
	view->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       free_service_);
	view->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	view->paths = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
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
	g_free(view);
}
