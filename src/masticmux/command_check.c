/* check: reports every finding of a settings file and of a change file. */
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "masticmux/change.h"
#include "masticmux/settings.h"

/* A file that cannot be opened is an error of the call, not a finding. */
static bool is_readable_(const char *path)
{
	FILE *stream = fopen(path, "rb");
	bool is_readable = stream && (fgetc(stream) != EOF || !ferror(stream));

	if (!is_readable)
		fprintf(stderr, "masticmux check: cannot read %s: %s\n", path,
			strerror(errno));
	if (stream)
		fclose(stream);
	return is_readable;
}

static mmx_exit_status_t check_(const char *settings_path,
				const char *change_path)
{
	mmx_findings_t *findings = mmx_findings_create();
	mmx_exit_status_t status = MMX_EXIT_OK;

	mmx_settings_destroy(mmx_settings_load(settings_path, findings));
	if (change_path)
		mmx_change_destroy(mmx_change_load(change_path, findings));
	mmx_findings_print(findings, stdout);
	if (mmx_findings_count(findings)) {
		printf("%zu finding%s\n", mmx_findings_count(findings),
		       mmx_findings_count(findings) == 1 ? "" : "s");
		status = MMX_EXIT_FINDINGS;
	} else {
		printf("no findings\n");
	}
	mmx_findings_destroy(findings);
	if (fflush(stdout)) {
		fprintf(stderr, "masticmux check: cannot write: %s\n",
			strerror(errno));
		return MMX_EXIT_ERROR;
	}
	return status;
}

mmx_exit_status_t mmx_command_check(int argc, char **argv)
{
	char *settings = NULL;
	char *change = NULL;
	const GOptionEntry entries[] = {
		{"settings", 0, 0, G_OPTION_ARG_FILENAME, &settings,
		 "settings file to check", "FILE"},
		{"change", 0, 0, G_OPTION_ARG_FILENAME, &change,
		 "change file to check as well", "FILE"},
		G_OPTION_ENTRY_NULL,
	};
	mmx_exit_status_t status = MMX_EXIT_ERROR;

	if (mmx_command_parse(&argc, &argv, NULL,
			      "Checks files and reports all findings as "
			      "FILE:LINE:COLUMN: TEXT.\n"
			      "Exit status: 0 no findings, 2 findings, 1 other "
			      "errors.",
			      entries, 0) &&
	    mmx_command_require("check", "settings", settings) &&
	    is_readable_(settings) && (!change || is_readable_(change)))
		status = check_(settings, change);
	g_free(settings);
	g_free(change);
	return status;
}
