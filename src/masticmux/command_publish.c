/* publish: appends a change to the log and reports what became of it. */
#include <event2/event.h>
#include <inttypes.h>
#include <jansson.h>
#include <openssl/rand.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "commands.h"
#include "masticmux/config_task.h"
#include "masticmux/publish.h"
#include "operator_client.h"

#define WAIT_INTERVAL (500 * MMX_US_PER_MS)
#define STATUS_TIMEOUT_S 2

typedef struct options_t {
	char *settings;
	char *settle;
	char *id;
	gboolean wait;
	gboolean json;
	int timeout_s;
} options_t;

typedef struct publisher_t publisher_t;

/* Which stream an answer of the log client belongs to. */
typedef struct read_arg_t {
	publisher_t *publisher;
	mmx_config_stream_t stream;
} read_arg_t;

struct publisher_t {
	const options_t *options;
	const mmx_settings_t *settings;
	struct event_base *base;
	mmx_runtime_t *runtime;
	mmx_log_client_t *client;
	mmx_config_t *config;
	mmx_publish_t *publish;
	read_arg_t reads[MMX_CONFIG_STREAM_COUNT];
	const char *id;
	mmx_publish_result_t result;
	/* With --wait: */
	bool has_count;
	size_t in_force;
	size_t alive;
};

static const mmx_exit_status_t exits_[MMX_PUBLISH_OUTCOME_COUNT] = {
	[MMX_PUBLISH_ACCEPTED] = MMX_EXIT_OK,
	[MMX_PUBLISH_REJECTED] = MMX_EXIT_REJECTED,
	[MMX_PUBLISH_UNKNOWN] = MMX_EXIT_UNKNOWN,
	[MMX_PUBLISH_NOT_FOUND] = MMX_EXIT_REJECTED,
	[MMX_PUBLISH_UNAVAILABLE] = MMX_EXIT_REJECTED,
};

static void on_read_(void *arg, mmx_log_result_t result,
		     const mmx_log_records_t *records)
{
	const read_arg_t *read = arg;

	mmx_config_on_read(read->publisher->config, read->stream, result,
			   records);
}

static void read_(void *arg, mmx_config_stream_t stream, uint64_t from,
		  unsigned int max, mmx_time_t wait)
{
	publisher_t *publisher = arg;

	mmx_log_client_read(publisher->client, mmx_config_stream_string[stream],
			    from, max, wait, on_read_,
			    &publisher->reads[stream]);
}

static void append_snapshot_(void *arg, const char *data, size_t length)
{
	/* Only readers of the fleet write snapshots. */
	abort();
}

static void on_applied_(void *arg, const mmx_config_state_result_t *result)
{
	publisher_t *publisher = arg;

	mmx_publish_on_applied(publisher->publish, result);
}

static const mmx_config_log_ops_t log_ops_ = {read_, append_snapshot_,
					      on_applied_};

static void on_appended_(void *arg, mmx_log_result_t result, uint64_t offset)
{
	publisher_t *publisher = arg;

	mmx_publish_on_appended(publisher->publish, result, offset);
}

static void append_(void *arg, const char *data, size_t length)
{
	publisher_t *publisher = arg;

	mmx_log_client_append(publisher->client, MMX_CONFIG_STREAM, data,
			      length, on_appended_, publisher);
}

static void done_(void *arg, const mmx_publish_result_t *result)
{
	publisher_t *publisher = arg;

	publisher->result = *result;
	event_base_loopbreak(publisher->base);
}

static const mmx_publish_ops_t publish_ops_ = {append_, done_};

static void open_(publisher_t *publisher, const char *record)
{
	mmx_config_options_t options = {
		.self = mmx_node_id(publisher->settings->node_name),
		.region = mmx_config_region_id(publisher->settings->region),
		.retention = publisher->settings->log_retention,
		.has_log = true,
	};
	mmx_clock_t *clock;
	int stream;

	RAND_bytes((unsigned char *)&options.seed, sizeof(options.seed));
	publisher->base = event_base_new();
	publisher->runtime = mmx_runtime_create(publisher->base);
	clock = mmx_runtime_clock(publisher->runtime);
	for (stream = 0; stream < MMX_CONFIG_STREAM_COUNT; stream++)
		publisher->reads[stream] =
			(read_arg_t){publisher, (mmx_config_stream_t)stream};
	publisher->client = mmx_log_client_create(
		publisher->base, clock, &publisher->settings->log_service, NULL,
		options.seed);
	publisher->config =
		mmx_config_create(clock, &options, NULL, &log_ops_, publisher);
	publisher->publish = mmx_publish_create(
		clock, publisher->config, publisher->id, record,
		publisher->options->timeout_s * MMX_US_PER_S, &publish_ops_,
		publisher);
}

static void close_(publisher_t *publisher)
{
	mmx_publish_destroy(publisher->publish);
	mmx_log_client_destroy(publisher->client);
	mmx_config_destroy(publisher->config);
	mmx_runtime_destroy(publisher->runtime);
	event_base_free(publisher->base);
}

static void publish_(publisher_t *publisher)
{
	/* Alone in its view, the instance is a reader and follows the log. */
	mmx_config_set_members(publisher->config, NULL, 0);
	mmx_config_start(publisher->config);
	mmx_publish_start(publisher->publish);
	event_base_dispatch(publisher->base);
}

static void count_(publisher_t *publisher, mmx_operator_client_t *client)
{
	mmx_operator_response_t response;

	if (!mmx_operator_client_call(client, MMX_OPERATOR_VERB_GET,
				      "/status?targets=none", &response, NULL))
		return;
	if (response.status == 200 &&
	    mmx_publish_count_nodes(response.text, response.length,
				    publisher->result.offset,
				    &publisher->in_force, &publisher->alive))
		publisher->has_count = true;
	g_free(response.text);
}

/* Asks the node of the settings how many members have the revision. */
static void wait_(publisher_t *publisher)
{
	mmx_operator_client_t *client = mmx_operator_client_create(
		&publisher->settings->listen_operator, STATUS_TIMEOUT_S);
	mmx_time_t end = mmx_operator_client_now(client) +
			 publisher->options->timeout_s * MMX_US_PER_S;

	count_(publisher, client);
	while ((publisher->alive == 0 ||
		publisher->in_force < publisher->alive) &&
	       mmx_operator_client_now(client) < end) {
		mmx_operator_client_pause(client, WAIT_INTERVAL);
		count_(publisher, client);
	}
	mmx_operator_client_destroy(client);
}

static char *settle_command_(const publisher_t *publisher)
{
	return g_strdup_printf("masticmux publish --settings %s --settle %s",
			       publisher->options->settings, publisher->id);
}

static void print_json_(const publisher_t *publisher)
{
	const mmx_publish_result_t *result = &publisher->result;
	json_t *root = json_pack("{s:s,s:s}", "outcome",
				 mmx_publish_outcome_string[result->outcome],
				 "id", publisher->id);
	char *command = settle_command_(publisher);

	if (result->outcome == MMX_PUBLISH_ACCEPTED)
		json_object_set_new(root, "revision",
				    json_integer((json_int_t)result->offset));
	if (result->outcome == MMX_PUBLISH_REJECTED)
		json_object_set_new(
			root, "reason",
			json_string(mmx_reject_reason_string[result->reject]));
	if (result->text[0])
		json_object_set_new(root, "text", json_string(result->text));
	if (result->outcome == MMX_PUBLISH_UNKNOWN)
		json_object_set_new(root, "settle", json_string(command));
	if (publisher->has_count) {
		json_object_set_new(
			root, "in_force",
			json_integer((json_int_t)publisher->in_force));
		json_object_set_new(root, "nodes",
				    json_integer((json_int_t)publisher->alive));
	}
	mmx_command_print_json(root, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(root);
	g_free(command);
}

static void print_wait_(const publisher_t *publisher)
{
	if (publisher->has_count)
		printf("in force at %zu of %zu nodes\n", publisher->in_force,
		       publisher->alive);
	else
		printf("the number of nodes is unknown: no status from the "
		       "node's operator address\n");
}

static void print_text_(const publisher_t *publisher)
{
	const mmx_publish_result_t *result = &publisher->result;
	char *command = settle_command_(publisher);

	switch (result->outcome) {
	case MMX_PUBLISH_ACCEPTED:
		printf("accepted: revision %" PRIu64 ", id %s\n",
		       result->offset, publisher->id);
		break;
	case MMX_PUBLISH_REJECTED:
		printf("rejected: %s (id %s)\n", result->text, publisher->id);
		break;
	case MMX_PUBLISH_UNKNOWN:
		printf("unknown: %s; the change may still be accepted. "
		       "Settle it with:\n  %s\n",
		       result->text, command);
		break;
	case MMX_PUBLISH_NOT_FOUND:
		printf("not-found: %s. Publish it again with --id %s\n",
		       result->text, publisher->id);
		break;
	default:
		printf("unavailable: %s (id %s)\n", result->text,
		       publisher->id);
		break;
	}
	if (publisher->options->wait && result->outcome == MMX_PUBLISH_ACCEPTED)
		print_wait_(publisher);
	g_free(command);
}

static mmx_exit_status_t run_(const options_t *options,
			      const mmx_settings_t *settings, const char *id,
			      const char *record)
{
	publisher_t publisher = {
		.options = options, .settings = settings, .id = id};
	mmx_exit_status_t status;

	/* A log service that closes a connection must not end the process. */
	signal(SIGPIPE, SIG_IGN);
	open_(&publisher, record);
	publish_(&publisher);
	status = exits_[publisher.result.outcome];
	if (options->wait && status == MMX_EXIT_OK) {
		wait_(&publisher);
		if (!publisher.has_count ||
		    publisher.in_force < publisher.alive)
			status = MMX_EXIT_ERROR;
	}
	if (options->json)
		print_json_(&publisher);
	else
		print_text_(&publisher);
	close_(&publisher);
	return fflush(stdout) ? MMX_EXIT_ERROR : status;
}

static mmx_exit_status_t publish_change_(const options_t *options,
					 const mmx_settings_t *settings,
					 mmx_change_t *change)
{
	mmx_exit_status_t status = MMX_EXIT_REJECTED;
	size_t length;
	char *record;

	if (options->id)
		g_strlcpy(change->id, options->id, sizeof(change->id));
	g_strlcpy(change->publisher, settings->node_name,
		  sizeof(change->publisher));
	record = mmx_change_to_json(change, &length);
	if (length > MMX_CHANGE_RECORD_MAX)
		fprintf(stderr,
			"masticmux publish: the change takes %zu bytes, a "
			"record holds %d; split it\n",
			length, MMX_CHANGE_RECORD_MAX);
	else
		status = run_(options, settings, change->id, record);
	g_free(record);
	return status;
}

static mmx_exit_status_t publish_file_(const options_t *options,
				       const char *path)
{
	mmx_findings_t *findings = mmx_findings_create();
	mmx_settings_t *settings =
		mmx_settings_load(options->settings, findings);
	mmx_change_t *change = path ? mmx_change_load(path, findings) : NULL;
	mmx_exit_status_t status = MMX_EXIT_FINDINGS;

	if (mmx_findings_count(findings)) {
		mmx_findings_print(findings, stderr);
	} else if (!settings->log_service.port) {
		fprintf(stderr, "masticmux publish: %s has no [log_service]\n",
			options->settings);
	} else if (change) {
		status = publish_change_(options, settings, change);
	} else {
		status = run_(options, settings, options->settle, NULL);
	}
	mmx_change_destroy(change);
	mmx_settings_destroy(settings);
	mmx_findings_destroy(findings);
	return status;
}

static bool are_valid_(const options_t *options, const char *path)
{
	const char *id = options->id ? options->id : options->settle;
	const char *fault = NULL;

	if (!path == !options->settle)
		fault = "give either a change file or --settle ID";
	else if (options->id && options->settle)
		fault = "--id goes with a change file";
	else if (id && (!*id || strlen(id) > MMX_CHANGE_ID_MAX))
		fault = "an id has 1 to 63 characters";
	if (fault)
		return mmx_command_usage_error("publish", fault);
	return mmx_command_check_timeout("publish", options->timeout_s);
}

mmx_exit_status_t mmx_command_publish(int argc, char **argv)
{
	options_t options = {
		.timeout_s = (int)(MMX_PUBLISH_TIMEOUT_US / MMX_US_PER_S)};
	const GOptionEntry entries[] = {
		MMX_COMMAND_OPTION_SETTINGS(&options.settings),
		{"settle", 0, 0, G_OPTION_ARG_STRING, &options.settle,
		 "find out what became of a change", "ID"},
		{"id", 0, 0, G_OPTION_ARG_STRING, &options.id,
		 "id of the change, instead of the one in the file", "ID"},
		{"wait", 0, 0, G_OPTION_ARG_NONE, &options.wait,
		 "wait until all nodes have the change in force", NULL},
		{"timeout", 0, 0, G_OPTION_ARG_INT, &options.timeout_s,
		 "time for the verdict, and for --wait (30)", "SECONDS"},
		MMX_COMMAND_OPTION_JSON(&options.json, "outcome"),
		G_OPTION_ENTRY_NULL,
	};
	mmx_exit_status_t status = MMX_EXIT_ERROR;

	if (mmx_command_parse(
		    &argc, &argv, "[CHANGE.toml]",
		    "Publishes a change and reports its outcome.\n"
		    "Exit status: 0 accepted, 3 rejected or not "
		    "published, 4 unknown, 2 findings, 1 other errors "
		    "(also --wait that ended early).",
		    entries, 1) &&
	    mmx_command_require("publish", "settings", options.settings) &&
	    are_valid_(&options, argc > 1 ? argv[1] : NULL))
		status = publish_file_(&options, argc > 1 ? argv[1] : NULL);
	g_free(options.settings);
	g_free(options.settle);
	g_free(options.id);
	return status;
}
