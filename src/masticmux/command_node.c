/* node: runs the process beside a target instance. */
#include <signal.h>
#include <stdio.h>

#include "commands.h"
#include "masticmux/node.h"

/*
 * Changes whether SIGHUP is blocked: SIG_BLOCK or SIG_UNBLOCK. Where the node
 * does not handle it, during start and end, it would end the process. One that
 * arrives during start stays pending, so that the settings are read again.
 */
static void mask_hangup_(int how)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGHUP);
	sigprocmask(how, &set, NULL);
}

static bool run_node_(mmx_node_t *node)
{
	bool result;

	mask_hangup_(SIG_UNBLOCK);
	result = mmx_node_run(node);
	mask_hangup_(SIG_BLOCK);
	return result;
}

static mmx_exit_status_t run_(const void *options,
			      const mmx_settings_t *settings)
{
	mmx_node_t *node = mmx_node_create(settings);
	mmx_error_t error = {MMX_ERROR_NONE, ""};
	mmx_exit_status_t status = MMX_EXIT_ERROR;

	mmx_node_set_settings_path(node, options);
	if (!mmx_node_init(node, &error))
		fprintf(stderr, "masticmux node: %s\n", error.text);
	else if (run_node_(node))
		status = MMX_EXIT_OK;
	else
		fprintf(stderr, "masticmux node: stopped with requests in "
				"progress\n");
	mmx_node_destroy(node);
	return status;
}

mmx_exit_status_t mmx_command_node(int argc, char **argv)
{
	char *path = NULL;
	const GOptionEntry entries[] = {
		{"settings", 0, 0, G_OPTION_ARG_FILENAME, &path,
		 "settings file of this node", "FILE"},
		G_OPTION_ENTRY_NULL,
	};
	mmx_exit_status_t status = MMX_EXIT_ERROR;

	mask_hangup_(SIG_BLOCK);
	if (mmx_command_parse(&argc, &argv, NULL,
			      "Runs the process beside a target instance until "
			      "SIGTERM.\nExit status: 0 stopped with nothing "
			      "in progress, 2 findings in the settings, 1 "
			      "other errors.",
			      entries, 0) &&
	    mmx_command_require("node", "settings", path))
		status = mmx_command_with_settings(path, run_, path);
	g_free(path);
	return status;
}
