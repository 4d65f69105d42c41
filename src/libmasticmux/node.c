#include "masticmux/node.h"

#include <assert.h>
#include <event2/event.h>
#include <glib.h>
#include <openssl/rand.h>
#include <signal.h>
#include <string.h>

#include "private/entry.h"
#include "private/exit.h"
#include "private/exporter.h"
#include "private/node_parts.h"
#include "private/trace.h"

#include "platform/platform.h"

/* A planned stop ends this long before the end of the grace period, at which the
 * process would be killed; this is three times DRAIN_POLL_US. */
#define STOP_MARGIN_US (150 * MMX_US_PER_MS)
/* Requests still open are answered this long before a planned stop ends; on a
 * slow instance writing the responses takes most of this time. */
#define FINAL_RESPONSE_TIME_US (250 * MMX_US_PER_MS)
/* Enough for a few lines per request at usual request rates; if there are more
 * lines, they are sampled. */
#define LOG_LINES_PER_S 200
#define LOG_LINES_BURST 400
/* Targets often fail for a few seconds only, so detection has to be fast. */
#define DETECTION_WEIGHT 100
/* Limit of the second step of a planned stop, when no request is in progress
 * and connections may still have unsent bytes. */
#define CLOSE_CONNECTIONS_MAX_US (5 * MMX_US_PER_S)
/* Interval of the checks whether a planned stop is complete. Other nodes learn
 * of the stop during the first interval, before the listeners close. */
#define DRAIN_POLL_US (50 * MMX_US_PER_MS)
/* Events that are kept for `masticmux explain`; about 1.3 MB. */
#define HISTORY_REQUEST_EVENTS 8192
#define HISTORY_TARGET_EVENTS 2048

typedef mmx_part_t *(*part_create_t)(mmx_node_t *node);

/* With configuration from the log service and node discovery by gossip. */
static const part_create_t gossip_parts_[] = {
	mmx_part_fleet_create,
	mmx_part_config_create,
	mmx_part_claims_create,
	mmx_part_quota_create,
	mmx_part_path_create,
	mmx_part_operator_create,
	NULL,
};

/* With configuration and node discovery from a shared store. */
static const part_create_t store_parts_[] = {
	mmx_part_roster_create,
	mmx_part_relay_create,
	mmx_part_quota_create,
	mmx_part_path_create,
	mmx_part_platform_create,
	mmx_part_operator_create,
	NULL,
};

static size_t in_progress_(const mmx_node_t *node)
{
	const mmx_part_t *part;
	size_t total = 0;

	TAILQ_FOREACH (part, &node->parts, entry)
		if (part->ops->in_progress)
			total += part->ops->in_progress(part);
	return total;
}

static void on_drain_timer_(void *arg)
{
	mmx_node_t *node = arg;
	bool expired = mmx_clock_now(node->clock) >= node->drain_deadline;
	mmx_part_t *part;

	if (expired || (node->closing_connections && in_progress_(node) == 0)) {
		event_base_loopbreak(node->base);
		return;
	}
	if (in_progress_(node) == 0) {
		node->closing_connections = true;
		node->drain_deadline = MIN(node->drain_deadline,
					   mmx_clock_now(node->clock) +
						   CLOSE_CONNECTIONS_MAX_US);
		TAILQ_FOREACH (part, &node->parts, entry)
			if (part->ops->close_connections)
				part->ops->close_connections(part);
	}
	mmx_timer_set(&node->drain_timer, DRAIN_POLL_US);
}

static void apply_reloadable_(mmx_node_t *node, const mmx_settings_t *settings)
{
	node->reloadable = (mmx_reloadable_settings_t){
		.stop_grace = settings->stop_grace,
		.retry_percent = settings->retry_percent,
		.retry_reserve = (uint32_t)settings->retry_reserve,
		.retry_window = settings->retry_window,
		.floor_percent = settings->floor_percent,
		.account_window = settings->account_window,
		.account_overshoot = settings->account_overshoot,
		.account_slack = settings->account_slack,
		.balance_by_work = settings->balance_by_work,
	};
}

void mmx_node_default_policy(const mmx_node_t *node, mmx_policy_t *policy)
{
	*policy = (mmx_policy_t){
		.floor_percent = (uint8_t)node->reloadable.floor_percent,
		.detection_weight = DETECTION_WEIGHT,
		.retry_percent = (uint8_t)node->reloadable.retry_percent,
	};
}

bool mmx_node_is_ready(const mmx_node_t *node)
{
	return !node->draining && (!node->store || node->config_state);
}

/*
 * Reads the settings file again and applies the settings that may change at run
 * time. Addresses and names stay as they are until the process ends.
 */
static void reload_settings_(mmx_node_t *node)
{
	mmx_findings_t *findings = mmx_findings_create();
	mmx_settings_t *reloaded =
		node->settings_path
			? mmx_settings_load(node->settings_path, findings)
			: NULL;
	char count[16];

	g_snprintf(count, sizeof(count), "%zu", mmx_findings_count(findings));
	mmx_log_event(node->log, reloaded ? MMX_LOG_INFO : MMX_LOG_WARNING,
		      "settings_reloaded", "result",
		      reloaded ? "in-force" : "kept-old", "findings", count,
		      NULL);
	mmx_findings_destroy(findings);
	if (!reloaded)
		return;
	apply_reloadable_(node, reloaded);
	mmx_part_quota_on_settings_changed(node);
	mmx_settings_destroy(reloaded);
}

static void on_signal_(evutil_socket_t number, short what, void *arg)
{
	mmx_node_t *node = arg;
	mmx_part_t *part;

	if (number == SIGHUP) {
		reload_settings_(node);
		return;
	}
	if (node->draining)
		return;
	node->draining = true;
	mmx_log_event(node->log, MMX_LOG_INFO, "node_draining", "node",
		      node->settings->node_name, NULL);
	node->drain_deadline = mmx_clock_now(node->clock) +
			       node->reloadable.stop_grace - STOP_MARGIN_US;
	TAILQ_FOREACH (part, &node->parts, entry)
		if (part->ops->drain)
			part->ops->drain(part);
	mmx_entry_cap_deadlines(node->entry,
				node->drain_deadline - FINAL_RESPONSE_TIME_US);
	mmx_exit_set_end(node->exit,
			 node->drain_deadline - FINAL_RESPONSE_TIME_US);
	mmx_timer_set(&node->drain_timer, DRAIN_POLL_US);
}

static uint64_t random_seed_(void)
{
	uint64_t seed = 0;

	if (RAND_bytes((unsigned char *)&seed, sizeof(seed)) != 1)
		abort();
	return seed;
}

/* Uses precise timers, as epoll otherwise delays timeouts by up to 4 ms. */
static struct event_base *create_event_base_(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

mmx_node_t *mmx_node_create(const mmx_settings_t *settings)
{
	mmx_node_t *node = g_new0(mmx_node_t, 1);
	const part_create_t *create;

	assert(settings);
	node->settings = settings;
	apply_reloadable_(node, settings);
	node->base = create_event_base_();
	node->runtime = mmx_runtime_create(node->base);
	node->clock = mmx_runtime_clock(node->runtime);
	node->counters = mmx_counters_create();
	node->log = mmx_log_create(node->clock, stdout, MMX_LOG_INFO);
	mmx_log_set_limit(node->log, LOG_LINES_PER_S, LOG_LINES_BURST);
	node->history = mmx_history_create(node->clock, HISTORY_REQUEST_EVENTS,
					   HISTORY_TARGET_EVENTS);
	mmx_random_seed(&node->random, random_seed_());
	node->trace =
		mmx_trace_create(node->clock, &node->random, node->counters);
	node->id = mmx_node_id(settings->node_name);
	node->incarnation = mmx_clock_wall(node->clock);
	TAILQ_INIT(&node->parts);
	mmx_timer_init(&node->drain_timer, node->clock, on_drain_timer_, node);
	node->entry =
		mmx_entry_create(node->runtime, node->id, node->incarnation,
				 mmx_random_next(&node->random));
	node->exit = mmx_exit_create(node->runtime, node->id,
				     settings->node_name, node->incarnation);
	node->header_names = &mmx_header_names_default;
	if (settings->store.port)
		mmx_platform_attach(node);
	create = node->store ? store_parts_ : gossip_parts_;
	for (; *create; create++) {
		mmx_part_t *part = (*create)(node);

		part->node = node;
		TAILQ_INSERT_TAIL(&node->parts, part, entry);
	}
	return node;
}

void mmx_node_destroy(mmx_node_t *node)
{
	mmx_part_t *part;
	size_t i;

	if (!node)
		return;
	mmx_timer_cancel(&node->drain_timer);
	while ((part = TAILQ_LAST(&node->parts, mmx_part_list_t))) {
		TAILQ_REMOVE(&node->parts, part, entry);
		part->ops->destroy(part);
	}
	if (node->store)
		node->store->ops->destroy(node->store);
	/* Destroyed after the parts, which post messages to both of them. */
	mmx_entry_destroy(node->entry);
	mmx_exit_destroy(node->exit);
	for (i = 0; i < G_N_ELEMENTS(node->signals); i++)
		if (node->signals[i])
			event_free(node->signals[i]);
	mmx_exporter_destroy(node->exporter);
	mmx_trace_destroy(node->trace);
	mmx_history_destroy(node->history);
	mmx_log_destroy(node->log);
	mmx_runtime_destroy(node->runtime);
	mmx_counters_destroy(node->counters);
	event_base_free(node->base);
	g_free(node->settings_path);
	g_free(node);
}

static void start_exporter_(mmx_node_t *node)
{
	const mmx_settings_t *settings = node->settings;

	if (settings->collector.port == 0) {
		/* Without a collector no spans are exported. */
		mmx_trace_set_sampling(node->trace, 0);
		return;
	}
	node->exporter = mmx_exporter_create(
		node->runtime, node->trace, &settings->collector,
		settings->node_name, node->counters);
	mmx_exporter_init(node->exporter);
}

void mmx_node_set_settings_path(mmx_node_t *node, const char *path)
{
	g_free(node->settings_path);
	node->settings_path = g_strdup(path);
}

bool mmx_node_init(mmx_node_t *node, mmx_error_t *error)
{
	static const int numbers[] = {SIGTERM, SIGINT, SIGHUP};
	mmx_part_t *part;
	size_t i;

	TAILQ_FOREACH (part, &node->parts, entry)
		if (!part->ops->init(part, error))
			return false;
	signal(SIGPIPE, SIG_IGN);
	start_exporter_(node);
	for (i = 0; i < G_N_ELEMENTS(numbers); i++) {
		node->signals[i] =
			evsignal_new(node->base, numbers[i], on_signal_, node);
		event_add(node->signals[i], NULL);
	}
	return true;
}

bool mmx_node_run(mmx_node_t *node)
{
	mmx_log_event(node->log, MMX_LOG_INFO, "node_started", "node",
		      node->settings->node_name, "zone", node->settings->zone,
		      "region", node->settings->region, NULL);
	event_base_dispatch(node->base);
	mmx_log_event(node->log, MMX_LOG_INFO, "node_stopped", "node",
		      node->settings->node_name, NULL);
	return in_progress_(node) == 0;
}
