/* explain: what a node remembers about a request or a target. */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "operator_client.h"
#include "table.h"

#define TIMEOUT_S 10

typedef struct options_t {
	char *settings;
	char *request;
	char *target;
	gboolean json;
} options_t;

static const char *text_(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "-";
}

static void print_events_(const json_t *events)
{
	mmx_table_t *table = mmx_table_create(2);
	const json_t *event;
	size_t i;

	json_array_foreach(events, i, event)
	{
		const char *const row[] = {text_(event, "time"),
					   text_(event, "text")};

		mmx_table_add(table, row);
	}
	mmx_table_print(table, stdout);
	mmx_table_destroy(table);
}

static void print_text_(const json_t *answer)
{
	const json_t *events = json_object_get(answer, "events");
	bool is_target = json_object_get(answer, "target");

	if (is_target)
		printf("target %s beside node %s: %s\n",
		       text_(answer, "target"), text_(answer, "node"),
		       text_(answer, "state"));
	else
		printf("request %s\n", text_(answer, "request"));
	if (json_array_size(events) == 0)
		printf("node %s remembers nothing about it; %s\n",
		       text_(answer, "asked"),
		       is_target ? "ask the node beside it"
				 : "ask the node that the caller reached, "
				   "or the one beside the target");
	print_events_(events);
}

static mmx_exit_status_t print_(const options_t *options,
				const mmx_operator_response_t *response)
{
	json_t *answer = json_loadb(response->text, response->length, 0, NULL);
	bool has_events;

	if (!answer) {
		fprintf(stderr,
			"masticmux explain: the response is not JSON\n");
		return MMX_EXIT_ERROR;
	}
	has_events = json_array_size(json_object_get(answer, "events")) > 0;
	if (options->json)
		fputs(response->text, stdout);
	else
		print_text_(answer);
	json_decref(answer);
	if (fflush(stdout) != 0)
		return MMX_EXIT_ERROR;
	return has_events ? MMX_EXIT_OK : MMX_EXIT_NOT_KNOWN;
}

static mmx_exit_status_t run_(const options_t *options,
			      const mmx_settings_t *settings)
{
	mmx_operator_client_t *client = mmx_operator_client_create(
		&settings->listen_operator, TIMEOUT_S);
	char *path = mmx_operator_client_path(
		"/explain", options->request ? "request" : "target",
		options->request ? options->request : options->target);
	mmx_exit_status_t status = MMX_EXIT_ERROR;
	mmx_operator_response_t response;
	mmx_error_t error;

	if (!mmx_operator_client_call(client, MMX_OPERATOR_VERB_GET, path,
				      &response, &error)) {
		fprintf(stderr, "masticmux explain: %s\n", error.text);
	} else if (response.status == 200) {
		status = print_(options, &response);
	} else {
		mmx_command_report_response("explain", &response);
		if (response.status == 404)
			status = MMX_EXIT_NOT_KNOWN;
	}
	g_free(response.text);
	g_free(path);
	mmx_operator_client_destroy(client);
	return status;
}

static mmx_exit_status_t explain_(const options_t *options)
{
	mmx_settings_t *settings;
	mmx_exit_status_t status;

	if (!options->request == !options->target) {
		fprintf(stderr, "masticmux explain: give either --request or "
				"--target\n"
				"Try 'masticmux explain --help'.\n");
		return MMX_EXIT_ERROR;
	}
	settings = mmx_command_settings(options->settings);
	if (!settings)
		return MMX_EXIT_FINDINGS;
	status = run_(options, settings);
	mmx_settings_destroy(settings);
	return status;
}

mmx_exit_status_t mmx_command_explain(int argc, char **argv)
{
	options_t options = {NULL, NULL, NULL, FALSE};
	const GOptionEntry entries[] = {
		{"settings", 0, 0, G_OPTION_ARG_FILENAME, &options.settings,
		 "settings file of a node", "FILE"},
		{"request", 0, 0, G_OPTION_ARG_STRING, &options.request,
		 "trace id or traceparent of a request", "ID"},
		{"target", 0, 0, G_OPTION_ARG_STRING, &options.target,
		 "name of a target, or NODE/TARGET", "NAME"},
		{"json", 0, 0, G_OPTION_ARG_NONE, &options.json,
		 "print the events as JSON", NULL},
		G_OPTION_ENTRY_NULL,
	};
	mmx_exit_status_t status = MMX_EXIT_ERROR;

	if (mmx_command_parse(&argc, &argv, NULL,
			      "Shows which evidence led to which decision, as "
			      "far as the node of the settings remembers it.\n"
			      "Exit status: 0 done, 3 the node knows nothing "
			      "about it, 2 findings in the settings, 1 other "
			      "errors.",
			      entries, 0) &&
	    mmx_command_require("explain", "settings", options.settings))
		status = explain_(&options);
	g_free(options.settings);
	g_free(options.request);
	g_free(options.target);
	return status;
}
