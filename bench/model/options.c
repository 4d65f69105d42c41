#include "options.h"

#include <stdio.h>

bool bench_parse_options(int argc, char **argv, const char *summary,
			 const GOptionEntry *entries)
{
	GOptionContext *context = g_option_context_new(summary);
	GError *error = NULL;
	bool ok;

	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, &argc, &argv, &error);
	if (!ok) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	return ok;
}
