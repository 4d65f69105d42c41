#include "standin/options.h"

#include "standin/server.h"

bool standin_options_parse(int argc, char **argv, const GOptionEntry *entries,
			   const char *description, const char *operand)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	bool parsed;

	if (description)
		g_option_context_set_description(context, description);
	g_option_context_add_main_entries(context, entries, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, &error);
	g_option_context_free(context);
	if (parsed && argc == 1)
		return true;
	standin_usage_error(error ? error->message : operand);
	g_clear_error(&error);
	return false;
}
