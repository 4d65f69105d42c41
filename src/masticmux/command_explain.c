/* explain: what a node remembers about a request or a target. */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "operator_client.h"
#include "table.h"

typedef struct options_t {
	char *settings;
	char *request;
	char *target;
	gboolean json;
} options_t;

static void print_events_(const json_t *events)
{
	mmx_table_t *table = mmx_table_create(2);
	const json_t *event;
	size_t i;

	json_array_foreach(events, i, event)
	{
		const char *const row[] = {mmx_command_text(event, "time"),
					   mmx_command_text(event, "text")};

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
		       mmx_command_text(answer, "target"),
		       mmx_command_text(answer, "node"),
		       mmx_command_text(answer, "state"));
	else
		printf("request %s\n", mmx_command_text(answer, "request"));
	if (json_array_size(events) == 0)
		printf("node %s remembers nothing about it; %s\n",
		       mmx_command_text(answer, "asked"),
		       is_target ? "ask the node beside it"
				 : "ask the node that the caller reached, "
				   "or the one beside the target");
	print_events_(events);
}

static mmx_exit_status_t print_(const options_t *options,
				const mmx_operator_response_t *response)
{
	json_t *answer = mmx_command_parse_response("explain", response);
	bool has_events;

	if (!answer)
		return MMX_EXIT_ERROR;
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

static mmx_exit_status_t run_(const void *arg, const mmx_settings_t *settings)
{
	const options_t *options = arg;
	char *path = mmx_operator_client_path(
		"/explain", options->request ? "request" : "target",
		options->request ? options->request : options->target);
	mmx_exit_status_t status = MMX_EXIT_ERROR;
	mmx_operator_response_t response;

	if (mmx_command_get("explain", settings, path, &response))
		status = print_(options, &response);
	else if (response.status == 404)
		status = MMX_EXIT_NOT_KNOWN;
	g_free(response.text);
	g_free(path);
	return status;
}

static bool are_valid_(const options_t *options)
{
	return !options->request != !options->target ||
	       mmx_command_usage_error("explain", "give either --request or "
						  "--target");
}

mmx_exit_status_t mmx_command_explain(int argc, char **argv)
{
	options_t options = {NULL, NULL, NULL, FALSE};
	const GOptionEntry entries[] = {
		MMX_COMMAND_OPTION_SETTINGS(&options.settings),
		{"request", 0, 0, G_OPTION_ARG_STRING, &options.request,
		 "trace id or traceparent of a request", "ID"},
		{"target", 0, 0, G_OPTION_ARG_STRING, &options.target,
		 "name of a target, or NODE/TARGET", "NAME"},
		MMX_COMMAND_OPTION_JSON(&options.json, "events"),
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
	    mmx_command_require("explain", "settings", options.settings) &&
	    are_valid_(&options))
		status = mmx_command_with_settings(options.settings, run_,
						   &options);
	g_free(options.settings);
	g_free(options.request);
	g_free(options.target);
	return status;
}
