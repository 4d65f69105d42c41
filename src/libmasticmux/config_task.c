#include "masticmux/config_task.h"

#include <assert.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "masticmux/config_wire.h"

#define REPORT_INTERVAL_US MMX_US_PER_S

typedef enum input_kind_t {
	INPUT_MEMBERS,
	INPUT_NEWS,
	INPUT_PULL_RESPONSE,
	INPUT_LOAD_RESPONSE,
	INPUT_PULL_REQUEST,
	INPUT_LOAD_REQUEST,
	INPUT_COUNT
} input_kind_t;

typedef struct input_message_t {
	mmx_message_t message;
	input_kind_t input;
	mmx_node_id_t peer;
	mmx_config_progress_t progress;
	mmx_config_member_t *members;
	size_t count;
	uint8_t *data; /* NULL: the call failed */
	size_t length;
	uint64_t offset;
	uint32_t part;
	mmx_config_response_fn_t fn;
	void *arg;
} input_message_t;

/* Metric that exports a field of mmx_config_stats_t. */
typedef struct stat_metric_t {
	const char *name;
	const char *help;
	size_t offset; /* in mmx_config_stats_t */
} stat_metric_t;

#define STAT(field, help)                                   \
	{                                                   \
		"masticmux_config_" #field "_total", help,  \
			offsetof(mmx_config_stats_t, field) \
	}

static const stat_metric_t stat_metrics_[] = {
	STAT(news_sent, "NEWS pushed"),
	STAT(news_received, "NEWS, PING and ACK taken"),
	STAT(pulls_sent, "Pulls from peers"),
	STAT(pulls_failed, "Pulls without an answer"),
	STAT(pulls_remote, "Pulls from peers in other regions"),
	STAT(pulls_served, "Pulls by peers"),
	STAT(loads_served, "Parts of snapshots given to peers"),
	STAT(loads, "States loaded from a peer or a snapshot"),
	STAT(loads_invalid, "States that were refused"),
	STAT(log_reads, "Reads of the log"),
	STAT(log_failures, "Reads of the log that failed"),
	STAT(records_from_log, "Records taken from the log"),
	STAT(records_from_peers, "Records taken from peers"),
	STAT(snapshots_written, "Snapshots written to the log"),
	STAT(appends, "Appends of parts of snapshots"),
};

/* Argument of the read callback of a stream. */
typedef struct read_arg_t {
	mmx_config_task_t *task;
	mmx_config_stream_t stream;
} read_arg_t;

struct mmx_config_task_t {
	mmx_task_t task;
	mmx_config_t *config;
	mmx_log_client_t *client; /* NULL: no log service */
	const mmx_config_transport_ops_t *transport;
	void *transport_arg;
	mmx_log_t *log;
	read_arg_t reads[MMX_CONFIG_STREAM_COUNT];
	mmx_timer_t report;
	mmx_config_watch_fn_t watch;
	void *watch_arg;
	bool was_loaded;
	bool was_current;
	mmx_counter_t *applied;
	mmx_counter_t *is_current;
	mmx_counter_t *is_loaded;
	mmx_counter_t *is_reader;
	mmx_counter_t *accounts;
	mmx_counter_t *keys;
	mmx_counter_t *records[MMX_VERDICT_COUNT];
	mmx_counter_t *stats[G_N_ELEMENTS(stat_metrics_)];
};

uint64_t mmx_config_region_id(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

static void send_news_(void *arg, mmx_node_id_t peer,
		       const mmx_config_progress_t *progress)
{
	const mmx_config_task_t *task = arg;

	task->transport->send_news(task->transport_arg, peer, progress);
}

static void send_pull_(void *arg, mmx_node_id_t peer, uint64_t after)
{
	const mmx_config_task_t *task = arg;

	task->transport->send_pull(task->transport_arg, peer, after);
}

static void send_load_(void *arg, mmx_node_id_t peer, uint64_t applied,
		       uint32_t part)
{
	const mmx_config_task_t *task = arg;

	task->transport->send_load(task->transport_arg, peer, applied, part);
}

static const mmx_config_transport_ops_t transport_ops_ = {
	send_news_,
	send_pull_,
	send_load_,
};

static void notify_watch_(const mmx_config_task_t *task)
{
	const mmx_config_t *config = task->config;

	if (task->watch)
		task->watch(task->watch_arg,
			    mmx_config_is_loaded(config)
				    ? mmx_config_get_state(config)
				    : NULL);
}

static void on_read_(void *arg, mmx_log_result_t result,
		     const mmx_log_records_t *records)
{
	const read_arg_t *read = arg;

	mmx_config_on_read(read->task->config, read->stream, result, records);
	notify_watch_(read->task);
}

static void on_appended_(void *arg, mmx_log_result_t result, uint64_t offset)
{
	const mmx_config_task_t *task = arg;

	mmx_config_on_appended(task->config, result);
}

static void read_(void *arg, mmx_config_stream_t stream, uint64_t from,
		  unsigned int max, mmx_time_t wait)
{
	mmx_config_task_t *task = arg;

	mmx_log_client_read(task->client, mmx_config_stream_string[stream],
			    from, max, wait, on_read_, &task->reads[stream]);
}

static void append_(void *arg, const char *data, size_t length)
{
	mmx_config_task_t *task = arg;

	mmx_log_client_append(task->client, MMX_CONFIG_SNAPSHOT_STREAM, data,
			      length, on_appended_, task);
}

static void on_applied_(void *arg, const mmx_config_state_result_t *result)
{
	const mmx_config_task_t *task = arg;
	char offset[24];

	g_snprintf(offset, sizeof(offset), "%" PRIu64, result->offset);
	mmx_log_event(task->log,
		      result->verdict == MMX_VERDICT_INVALID ? MMX_LOG_WARNING
							     : MMX_LOG_INFO,
		      "config_record", "verdict",
		      mmx_verdict_string[result->verdict], "offset", offset,
		      "id", result->id, "text", result->text, NULL);
}

static const mmx_config_log_ops_t log_ops_ = {read_, append_, on_applied_};

static void handle_pull_response_(mmx_config_task_t *task,
				  const input_message_t *input)
{
	mmx_config_records_t records;
	mmx_log_record_t *list = NULL;

	if (input->data && mmx_config_wire_decode_records(
				   input->data, input->length, &records, &list))
		mmx_config_on_pull_response(task->config, input->peer,
					    &records);
	else
		mmx_config_on_pull_response(task->config, input->peer, NULL);
	g_free(list);
}

static void serve_pull_(mmx_config_task_t *task, const input_message_t *input)
{
	mmx_config_records_t records;
	size_t length = 0;
	uint8_t *data = NULL;

	if (mmx_config_serve_pull(task->config, input->offset, &records))
		data = mmx_config_wire_encode_records(&records, &length);
	input->fn(input->arg, data, length);
	g_free(data);
}

static void serve_load_(mmx_config_task_t *task, const input_message_t *input)
{
	size_t length = 0;
	const uint8_t *data = mmx_config_serve_load(task->config, input->offset,
						    input->part, &length);

	input->fn(input->arg, data, length);
}

static void handle_(mmx_task_t *base, mmx_message_t *message)
{
	mmx_config_task_t *task = (mmx_config_task_t *)base;
	input_message_t *input = (input_message_t *)message;

	switch (input->input) {
	case INPUT_MEMBERS:
		mmx_config_set_members(task->config, input->members,
				       input->count);
		break;
	case INPUT_NEWS:
		mmx_config_on_peer_progress(task->config, input->peer,
					    &input->progress);
		break;
	case INPUT_PULL_RESPONSE:
		handle_pull_response_(task, input);
		break;
	case INPUT_LOAD_RESPONSE:
		mmx_config_on_load_response(task->config, input->peer,
					    input->data, input->length);
		break;
	case INPUT_PULL_REQUEST:
		serve_pull_(task, input);
		break;
	default:
		serve_load_(task, input);
		break;
	}
	notify_watch_(task);
	mmx_message_destroy(message);
}

static const mmx_task_ops_t task_ops_ = {"config", handle_};

static void log_state_(mmx_config_task_t *task)
{
	bool is_loaded = mmx_config_is_loaded(task->config);
	bool is_current = mmx_config_is_current(task->config);

	if (is_loaded && !task->was_loaded)
		mmx_log_event(task->log, MMX_LOG_INFO, "config_loaded", NULL);
	if (is_current != task->was_current)
		mmx_log_event(
			task->log, is_current ? MMX_LOG_INFO : MMX_LOG_WARNING,
			is_current ? "config_current" : "config_stale", NULL);
	task->was_loaded = is_loaded;
	task->was_current = is_current;
}

static void on_report_(void *arg)
{
	mmx_config_task_t *task = arg;
	const mmx_config_state_t *config_state =
		mmx_config_get_state(task->config);
	const char *stats = (const char *)mmx_config_stats(task->config);
	const mmx_config_state_counts_t *counts =
		mmx_config_state_counts(config_state);
	mmx_config_state_sizes_t sizes;
	size_t i;

	mmx_timer_set(&task->report, REPORT_INTERVAL_US);
	log_state_(task);
	mmx_counter_set(task->applied,
			(int64_t)mmx_config_state_applied_offset(config_state));
	mmx_counter_set(task->is_current, task->was_current);
	mmx_counter_set(task->is_loaded, task->was_loaded);
	mmx_counter_set(task->is_reader,
			mmx_config_reader_rank(task->config) >= 0);
	mmx_config_state_sizes(config_state, &sizes);
	mmx_counter_set(task->accounts, (int64_t)sizes.accounts);
	mmx_counter_set(task->keys,
			(int64_t)mmx_config_state_key_count(config_state));
	for (i = 0; i < MMX_VERDICT_COUNT; i++)
		mmx_counter_set(task->records[i], (int64_t)counts->records[i]);
	for (i = 0; i < G_N_ELEMENTS(stat_metrics_); i++) {
		uint64_t value;

		memcpy(&value, stats + stat_metrics_[i].offset, sizeof(value));
		mmx_counter_set(task->stats[i], (int64_t)value);
	}
}

static void register_counters_(mmx_config_task_t *task,
			       mmx_counters_t *counters)
{
	char labels[32];
	size_t i;

	task->applied = mmx_counters_get(counters, MMX_GAUGE,
					 "masticmux_configuration_applied", "",
					 "Offset of the last record applied");
	task->is_current = mmx_counters_get(
		counters, MMX_GAUGE, "masticmux_configuration_current", "",
		"1 if confirmed by the log in the last 15 s");
	task->is_loaded = mmx_counters_get(counters, MMX_GAUGE,
					   "masticmux_configuration_loaded", "",
					   "1 if the node has a configuration");
	task->is_reader = mmx_counters_get(
		counters, MMX_GAUGE, "masticmux_configuration_reader", "",
		"1 if the node reads the log for its region");
	task->accounts =
		mmx_counters_get(counters, MMX_GAUGE, "masticmux_accounts", "",
				 "Client accounts in force.");
	task->keys =
		mmx_counters_get(counters, MMX_GAUGE, "masticmux_account_keys",
				 "", "Keys of client accounts in force.");
	for (i = 0; i < MMX_VERDICT_COUNT; i++) {
		g_snprintf(labels, sizeof(labels), "verdict=\"%s\"",
			   mmx_verdict_string[i]);
		task->records[i] = mmx_counters_get(
			counters, MMX_COUNTER, "masticmux_config_records_total",
			labels, "Records by verdict");
	}
	for (i = 0; i < G_N_ELEMENTS(stat_metrics_); i++)
		task->stats[i] = mmx_counters_get(counters, MMX_COUNTER,
						  stat_metrics_[i].name, "",
						  stat_metrics_[i].help);
}

mmx_config_task_t *
mmx_config_task_create(mmx_runtime_t *runtime, const mmx_settings_t *settings,
		       const mmx_config_transport_ops_t *transport,
		       void *transport_arg, mmx_counters_t *counters,
		       mmx_log_t *log, uint64_t seed)
{
	mmx_config_task_t *task = g_new0(mmx_config_task_t, 1);
	mmx_clock_t *clock = mmx_runtime_clock(runtime);
	mmx_config_options_t options = {
		.self = mmx_node_id(settings->node_name),
		.region = mmx_config_region_id(settings->region),
		.retention = settings->log_retention,
		.has_log = settings->log_service.port != 0,
		.writes_snapshots = true,
		.seed = seed,
	};
	int stream;

	mmx_task_init(&task->task, &task_ops_, runtime);
	task->transport = transport;
	task->transport_arg = transport_arg;
	task->log = log;
	for (stream = 0; stream < MMX_CONFIG_STREAM_COUNT; stream++)
		task->reads[stream] =
			(read_arg_t){task, (mmx_config_stream_t)stream};
	if (options.has_log)
		task->client = mmx_log_client_create(
			mmx_runtime_base(runtime), clock,
			&settings->log_service, counters, seed);
	task->config = mmx_config_create(clock, &options,
					 transport ? &transport_ops_ : NULL,
					 &log_ops_, task);
	mmx_timer_init(&task->report, clock, on_report_, task);
	if (counters)
		register_counters_(task, counters);
	return task;
}

void mmx_config_task_destroy(mmx_config_task_t *task)
{
	if (!task)
		return;
	mmx_task_finish(&task->task);
	mmx_timer_cancel(&task->report);
	mmx_log_client_destroy(task->client);
	mmx_config_destroy(task->config);
	g_free(task);
}

void mmx_config_task_set_watch(mmx_config_task_t *task,
			       mmx_config_watch_fn_t fn, void *arg)
{
	task->watch = fn;
	task->watch_arg = arg;
}

void mmx_config_task_start(mmx_config_task_t *task)
{
	mmx_config_start(task->config);
	on_report_(task);
}

static void destroy_input_(mmx_message_t *message)
{
	input_message_t *input = (input_message_t *)message;

	g_free(input->members);
	g_free(input->data);
	g_free(input);
}

static const mmx_message_ops_t message_ops_ = {"config input", 0,
					       destroy_input_};

static input_message_t *create_input_(input_kind_t kind, mmx_node_id_t peer)
{
	input_message_t *input = g_new0(input_message_t, 1);

	input->message.ops = &message_ops_;
	input->input = kind;
	input->peer = peer;
	return input;
}

void mmx_config_task_post_members(mmx_config_task_t *task,
				  const mmx_config_member_t *members,
				  size_t count)
{
	input_message_t *input = create_input_(INPUT_MEMBERS, 0);

	input->members = g_memdup2(members, count * sizeof(*members));
	input->count = count;
	mmx_task_post(&task->task, &input->message);
}

void mmx_config_task_post_peer_progress(mmx_config_task_t *task,
					mmx_node_id_t peer,
					const mmx_config_progress_t *progress)
{
	input_message_t *input = create_input_(INPUT_NEWS, peer);

	input->progress = *progress;
	mmx_task_post(&task->task, &input->message);
}

static void post_response_(mmx_config_task_t *task, input_kind_t kind,
			   mmx_node_id_t peer, const uint8_t *data,
			   size_t length)
{
	input_message_t *input = create_input_(kind, peer);

	if (data)
		input->data = g_memdup2(data, length ? length : 1);
	input->length = length;
	mmx_task_post(&task->task, &input->message);
}

void mmx_config_task_post_pull_response(mmx_config_task_t *task,
					mmx_node_id_t peer, const uint8_t *data,
					size_t length)
{
	post_response_(task, INPUT_PULL_RESPONSE, peer, data, length);
}

void mmx_config_task_post_load_response(mmx_config_task_t *task,
					mmx_node_id_t peer, const uint8_t *data,
					size_t length)
{
	post_response_(task, INPUT_LOAD_RESPONSE, peer, data, length);
}

void mmx_config_task_post_pull_request(mmx_config_task_t *task, uint64_t after,
				       mmx_config_response_fn_t fn, void *arg)
{
	input_message_t *input = create_input_(INPUT_PULL_REQUEST, 0);

	assert(fn);
	input->offset = after;
	input->fn = fn;
	input->arg = arg;
	mmx_task_post(&task->task, &input->message);
}

void mmx_config_task_post_load_request(mmx_config_task_t *task,
				       uint64_t applied, uint32_t part,
				       mmx_config_response_fn_t fn, void *arg)
{
	input_message_t *input = create_input_(INPUT_LOAD_REQUEST, 0);

	assert(fn);
	input->offset = applied;
	input->part = part;
	input->fn = fn;
	input->arg = arg;
	mmx_task_post(&task->task, &input->message);
}

const mmx_config_t *mmx_config_task_config(const mmx_config_task_t *task)
{
	return task->config;
}
