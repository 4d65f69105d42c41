#include "commands.h"

#include <jansson.h>
#include <stdio.h>

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

bool mmx_command_require(const char *command, const char *option,
			 const char *value)
{
	if (value && *value)
		return true;
	fprintf(stderr,
		"masticmux %s: missing option --%s\n"
		"Try 'masticmux %s --help'.\n",
		command, option, command);
	return false;
}

mmx_settings_t *mmx_command_settings(const char *path)
{
	mmx_findings_t *findings = mmx_findings_create();
	mmx_settings_t *settings = mmx_settings_load(path, findings);

	mmx_findings_print(findings, stderr);
	mmx_findings_destroy(findings);
	return settings;
}

void mmx_command_report_response(const char *command,
				 const mmx_operator_response_t *response)
{
	json_t *body = json_loadb(response->text, response->length, 0, NULL);
	const char *text = json_string_value(json_object_get(body, "error"));

	fprintf(stderr, "masticmux %s: %s (status %d)\n", command,
		text ? text : "unexpected response", response->status);
	json_decref(body);
}
