/* stop: announces the planned stop of a target. */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "operator_client.h"

/* Longer than a node waits for the node beside the target. */
#define RESPONSE_TIMEOUT_S 5
#define WAIT_INTERVAL (200 * MMX_US_PER_MS)
#define WAIT_DEFAULT_S 60

typedef struct options_t {
	char *settings;
	char *target;
	gboolean wait;
	gboolean json;
	int timeout_s;
} options_t;

/* What is known about the planned stop. */
typedef struct stop_t {
	const options_t *options;
	mmx_operator_client_t *client;
	char *path;
	json_t *answer; /* the last one of a node, or NULL */
	int status;	/* of the answer; 0: the node gave none */
	mmx_error_t error;
} stop_t;

static void ask_(stop_t *stop, mmx_operator_verb_t verb)
{
	mmx_operator_response_t response;

	json_decref(stop->answer);
	stop->answer = NULL;
	stop->status = 0;
	if (!mmx_operator_client_call(stop->client, verb, stop->path, &response,
				      &stop->error))
		return;
	stop->status = response.status;
	stop->answer = json_loadb(response.text, response.length, 0, NULL);
	g_free(response.text);
}

static bool is_stopping_(const stop_t *stop)
{
	const char *outcome =
		json_string_value(json_object_get(stop->answer, "outcome"));

	return stop->status == 200 && outcome && !strcmp(outcome, "stopping");
}

static json_int_t in_progress_(const stop_t *stop)
{
	return json_integer_value(json_object_get(stop->answer, "in_progress"));
}

static mmx_exit_status_t exit_status_(const stop_t *stop)
{
	const char *outcome =
		json_string_value(json_object_get(stop->answer, "outcome"));

	if (is_stopping_(stop))
		return MMX_EXIT_OK;
	/* The node may have taken a request that it did not answer. */
	if (stop->status == 0 || (outcome && !strcmp(outcome, "unknown")))
		return MMX_EXIT_NOT_KNOWN;
	return MMX_EXIT_ERROR;
}

static void print_command_(const stop_t *stop)
{
	fprintf(stderr,
		"Repeat it, which is safe:\n"
		"  masticmux stop --settings %s --target %s\n",
		stop->options->settings, stop->options->target);
}

static void report_failure_(const stop_t *stop)
{
	const char *text =
		json_string_value(json_object_get(stop->answer, "error"));

	if (stop->status == 0)
		fprintf(stderr,
			"masticmux stop: %s; it is not known whether the "
			"planned stop began\n",
			stop->error.text);
	else
		fprintf(stderr, "masticmux stop: %s\n",
			text ? text : "the response is not understood");
	if (stop->status != 400 && stop->status != 404)
		print_command_(stop);
}

static void print_json_(const stop_t *stop)
{
	if (stop->answer)
		mmx_command_print_json(stop->answer, JSON_INDENT(2));
	else
		printf("{\"outcome\": \"unknown\"}\n");
}

static void print_text_(const stop_t *stop)
{
	const json_t *answer = stop->answer;

	printf("stopping: target %s beside node %s, %" JSON_INTEGER_FORMAT
	       " requests in progress\n",
	       json_string_value(json_object_get(answer, "target")),
	       json_string_value(json_object_get(answer, "node")),
	       in_progress_(stop));
}

/* Polls until nothing is in progress; an answer that fails is tried again. */
static mmx_exit_status_t wait_(stop_t *stop)
{
	mmx_time_t end = mmx_operator_client_now(stop->client) +
			 stop->options->timeout_s * MMX_US_PER_S;

	while (!is_stopping_(stop) || in_progress_(stop) > 0) {
		if (mmx_operator_client_now(stop->client) >= end)
			return is_stopping_(stop) ? MMX_EXIT_ERROR
						  : MMX_EXIT_NOT_KNOWN;
		mmx_operator_client_pause(stop->client, WAIT_INTERVAL);
		ask_(stop, MMX_OPERATOR_VERB_GET);
	}
	return MMX_EXIT_OK;
}

static mmx_exit_status_t announce_(stop_t *stop)
{
	mmx_exit_status_t status;

	/* Nothing is sent to a node that cannot be reached at all. */
	ask_(stop, MMX_OPERATOR_VERB_GET);
	if (stop->status == 0) {
		fprintf(stderr,
			"masticmux stop: %s The planned stop was not "
			"announced.\n",
			stop->error.text);
		print_command_(stop);
		return MMX_EXIT_ERROR;
	}
	ask_(stop, MMX_OPERATOR_VERB_POST);
	status = exit_status_(stop);
	if (status != MMX_EXIT_OK)
		report_failure_(stop);
	else if (stop->options->wait) {
		status = wait_(stop);
		if (status != MMX_EXIT_OK)
			fprintf(stderr,
				"masticmux stop: announced, but %s after "
				"%d s\n",
				status == MMX_EXIT_ERROR
					? "requests are still in progress"
					: "no answer about its progress",
				stop->options->timeout_s);
	}
	if (stop->options->json)
		print_json_(stop);
	else if (is_stopping_(stop))
		print_text_(stop);
	return fflush(stdout) ? MMX_EXIT_ERROR : status;
}

static mmx_exit_status_t run_(const void *arg, const mmx_settings_t *settings)
{
	const options_t *options = arg;
	stop_t stop = {.options = options};
	mmx_exit_status_t status;

	stop.client = mmx_operator_client_create(&settings->listen_operator,
						 RESPONSE_TIMEOUT_S);
	stop.path =
		mmx_operator_client_path("/stop", "target", options->target);
	status = announce_(&stop);
	json_decref(stop.answer);
	g_free(stop.path);
	mmx_operator_client_destroy(stop.client);
	return status;
}

mmx_exit_status_t mmx_command_stop(int argc, char **argv)
{
	options_t options = {.timeout_s = WAIT_DEFAULT_S};
	const GOptionEntry entries[] = {
		MMX_COMMAND_OPTION_SETTINGS(&options.settings),
		{"target", 0, 0, G_OPTION_ARG_STRING, &options.target,
		 "name of a target, or NODE/TARGET", "NAME"},
		{"wait", 0, 0, G_OPTION_ARG_NONE, &options.wait,
		 "return when nothing is in progress", NULL},
		{"timeout", 0, 0, G_OPTION_ARG_INT, &options.timeout_s,
		 "time for --wait (60)", "SECONDS"},
		MMX_COMMAND_OPTION_JSON(&options.json, "outcome"),
		G_OPTION_ENTRY_NULL,
	};
	mmx_exit_status_t status = MMX_EXIT_ERROR;

	if (mmx_command_parse(
		    &argc, &argv, NULL,
		    "Announces the planned stop of a target: nothing new "
		    "starts there, what is in progress is finished.\n"
		    "Exit status: 0 announced (with --wait: nothing in "
		    "progress), 3 not known whether announced or finished, "
		    "2 findings in the settings, 1 other errors (also "
		    "requests still in progress when --wait ended).",
		    entries, 0) &&
	    mmx_command_require("stop", "settings", options.settings) &&
	    mmx_command_require("stop", "target", options.target) &&
	    mmx_command_check_timeout("stop", options.timeout_s))
		status = mmx_command_with_settings(options.settings, run_,
						   &options);
	g_free(options.settings);
	g_free(options.target);
	return status;
}
