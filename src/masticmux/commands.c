#include "commands.h"

#include <stdio.h>

/* Time that a node has for the response to a command, seconds. */
#define RESPONSE_TIMEOUT_S 10
#define TIMEOUT_MAX_S 3600

const char *const mmx_exit_string[MMX_EXIT_COUNT] = {
	"ok", "error", "findings", "rejected", "unknown",
};

bool mmx_command_parse(int *argc, char ***argv, const char *usage,
		       const char *summary, const GOptionEntry *entries,
		       int operands)
{
	char *command = g_strdup((*argv)[0]);
	char *program = g_strdup_printf("masticmux %s", command);
	GOptionContext *context = g_option_context_new(usage);
	GError *error = NULL;
	bool is_valid;

	g_set_prgname(program);
	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, entries, NULL);
	is_valid = g_option_context_parse(context, argc, argv, &error);
	if (!is_valid) {
		fprintf(stderr, "masticmux %s: %s\n", command, error->message);
		g_error_free(error);
	} else if (*argc - 1 > operands) {
		fprintf(stderr, "masticmux %s: unexpected argument '%s'\n",
			command, (*argv)[1 + operands]);
		is_valid = false;
	}
	if (!is_valid)
		fprintf(stderr, "Try 'masticmux %s --help'.\n", command);
	g_option_context_free(context);
	g_free(program);
	g_free(command);
	return is_valid;
}

bool mmx_command_usage_error(const char *command, const char *text)
{
	fprintf(stderr,
		"masticmux %s: %s\n"
		"Try 'masticmux %s --help'.\n",
		command, text, command);
	return false;
}

bool mmx_command_require(const char *command, const char *option,
			 const char *value)
{
	char *text;

	if (value && *value)
		return true;
	text = g_strdup_printf("missing option --%s", option);
	mmx_command_usage_error(command, text);
	g_free(text);
	return false;
}

bool mmx_command_check_timeout(const char *command, int timeout_s)
{
	return (timeout_s >= 1 && timeout_s <= TIMEOUT_MAX_S) ||
	       mmx_command_usage_error(command,
				       "--timeout takes 1 to 3600 seconds");
}

mmx_exit_status_t mmx_command_with_settings(const char *path,
					    mmx_command_run_fn_t run,
					    const void *options)
{
	mmx_findings_t *findings = mmx_findings_create();
	mmx_settings_t *settings = mmx_settings_load(path, findings);
	mmx_exit_status_t status = MMX_EXIT_FINDINGS;

	mmx_findings_print(findings, stderr);
	mmx_findings_destroy(findings);
	if (settings)
		status = run(options, settings);
	mmx_settings_destroy(settings);
	return status;
}

static void report_response_(const char *command,
			     const mmx_operator_response_t *response)
{
	json_t *body = json_loadb(response->text, response->length, 0, NULL);
	const char *text = json_string_value(json_object_get(body, "error"));

	fprintf(stderr, "masticmux %s: %s (status %d)\n", command,
		text ? text : "unexpected response", response->status);
	json_decref(body);
}

bool mmx_command_get(const char *command, const mmx_settings_t *settings,
		     const char *path, mmx_operator_response_t *response)
{
	mmx_operator_client_t *client = mmx_operator_client_create(
		&settings->listen_operator, RESPONSE_TIMEOUT_S);
	mmx_error_t error;

	if (!mmx_operator_client_call(client, MMX_OPERATOR_VERB_GET, path,
				      response, &error))
		fprintf(stderr, "masticmux %s: %s\n", command, error.text);
	else if (response->status != 200)
		report_response_(command, response);
	mmx_operator_client_destroy(client);
	return response->status == 200;
}

json_t *mmx_command_parse_response(const char *command,
				   const mmx_operator_response_t *response)
{
	json_t *body = json_loadb(response->text, response->length, 0, NULL);

	if (!body)
		fprintf(stderr, "masticmux %s: the response is not JSON\n",
			command);
	return body;
}

const char *mmx_command_text(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "-";
}

void mmx_command_print_json(const json_t *value, size_t flags)
{
	json_dumpf(value, stdout, flags);
	putchar('\n');
}
