#include <glib.h>
#include <locale.h>
#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "private/schema.h"

static const mmx_command_t commands_[] = {
	{"check", "check a settings file and a change file", mmx_command_check},
	{"publish", "publish a change and report its outcome",
	 mmx_command_publish},
	{"stop", "announce the planned stop of a target", mmx_command_stop},
	{"status", "show a node and the fleet as it sees it",
	 mmx_command_status},
	{"explain", "show what led to a decision about a request or target",
	 mmx_command_explain},
	{"node", "run the process beside a target instance", mmx_command_node},
};

static char *describe_commands_(void)
{
	GString *text = g_string_new("Commands:\n");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands_); i++)
		g_string_append_printf(text, "  %-10s %s\n", commands_[i].name,
				       commands_[i].summary);
	g_string_append(text,
			"\n'masticmux COMMAND --help' lists the options of a "
			"command.");
	return g_string_free(text, FALSE);
}

static const mmx_command_t *find_(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands_); i++)
		if (!strcmp(commands_[i].name, name))
			return &commands_[i];
	return NULL;
}

static void report_unknown_(const char *name)
{
	const char *names[G_N_ELEMENTS(commands_)];
	const char *suggestion;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands_); i++)
		names[i] = commands_[i].name;
	suggestion = mmx_schema_suggest(name, names, G_N_ELEMENTS(names));
	fprintf(stderr, "masticmux: unknown command '%s'", name);
	if (suggestion)
		fprintf(stderr, "; did you mean '%s'?", suggestion);
	fprintf(stderr, "\nTry 'masticmux --help'.\n");
}

/* Handles the options before the name of the command; --help ends here. */
static bool parse_options_(int *argc, char ***argv)
{
	GOptionContext *context = g_option_context_new("COMMAND [ARGUMENT...]");
	char *commands = describe_commands_();
	GError *error = NULL;
	bool is_valid;

	g_set_prgname("masticmux");
	g_option_context_set_summary(context, commands);
	g_option_context_set_strict_posix(context, TRUE);
	is_valid = g_option_context_parse(context, argc, argv, &error);
	if (!is_valid) {
		fprintf(stderr, "masticmux: %s\nTry 'masticmux --help'.\n",
			error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	g_free(commands);
	return is_valid;
}

int main(int argc, char **argv)
{
	const mmx_command_t *command;

	setlocale(LC_CTYPE, "");
	if (!parse_options_(&argc, &argv))
		return MMX_EXIT_ERROR;
	if (argc < 2) {
		fprintf(stderr, "masticmux: missing command\n"
				"Try 'masticmux --help'.\n");
		return MMX_EXIT_ERROR;
	}
	command = find_(argv[1]);
	if (!command) {
		report_unknown_(argv[1]);
		return MMX_EXIT_ERROR;
	}
	return command->run(argc - 1, argv + 1);
}
