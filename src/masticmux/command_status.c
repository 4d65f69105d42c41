/* status: a node, and the fleet as this node sees it. */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "commands.h"
#include "operator_client.h"
#include "table.h"

typedef struct options_t {
	char *settings;
	char *targets;
	char *service;
	gboolean json;
} options_t;

static json_int_t number_(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static bool is_set_(const json_t *object, const char *key)
{
	return json_is_true(json_object_get(object, key));
}

/* A number as text, or "-" if there is none. */
static const char *format_(const json_t *object, const char *key, char *text,
			   size_t size)
{
	const json_t *value = json_object_get(object, key);

	if (!json_is_integer(value))
		return "-";
	snprintf(text, size, "%" JSON_INTEGER_FORMAT,
		 json_integer_value(value));
	return text;
}

static void print_configuration_(const json_t *status)
{
	const json_t *configuration = json_object_get(status, "configuration");
	const json_t *item;
	size_t i;

	if (!is_set_(configuration, "loaded"))
		printf("configuration none yet: requests are refused\n");
	else
		printf("configuration revision %" JSON_INTEGER_FORMAT ", %s\n",
		       number_(configuration, "applied"),
		       is_set_(configuration, "current")
			       ? "current"
			       : "not confirmed for 15 s or more");
	json_array_foreach(json_object_get(status, "in_force"), i, item)
		printf("  revision %" JSON_INTEGER_FORMAT
		       " in force at %" JSON_INTEGER_FORMAT " alive nodes\n",
		       number_(item, "applied"), number_(item, "nodes"));
}

static void print_node_(const json_t *status)
{
	const json_t *node = json_object_get(status, "node");
	const json_t *requests = json_object_get(status, "requests");
	json_int_t rank = number_(json_object_get(status, "configuration"),
				  "reader_rank");

	printf("node %s, zone %s, region %s, incarnation %" JSON_INTEGER_FORMAT
	       "%s\n",
	       mmx_command_text(node, "name"), mmx_command_text(node, "zone"),
	       mmx_command_text(node, "region"), number_(node, "incarnation"),
	       is_set_(node, "draining") ? ", draining" : "");
	printf("requests in progress: %" JSON_INTEGER_FORMAT
	       " of callers, %" JSON_INTEGER_FORMAT " at targets here\n",
	       number_(requests, "entry"), number_(requests, "exit"));
	print_configuration_(status);
	if (rank >= 0)
		printf("  this node reads the log, rank %" JSON_INTEGER_FORMAT
		       "\n",
		       rank);
}

static void print_members_(const json_t *status)
{
	static const char *const head[] = {"NAME", "REGION", "ZONE", "STATE",
					   "REVISION"};
	mmx_table_t *table = mmx_table_create(G_N_ELEMENTS(head));
	json_t *counts = json_object_get(status, "member_counts");
	const json_t *item;
	const char *state;
	char applied[24];
	size_t i;

	printf("members:");
	json_object_foreach(counts, state, item)
		printf(" %" JSON_INTEGER_FORMAT " %s", json_integer_value(item),
		       state);
	putchar('\n');
	mmx_table_add(table, head);
	json_array_foreach(json_object_get(status, "members"), i, item)
	{
		const char *const row[] = {
			mmx_command_text(item, "name"),
			mmx_command_text(item, "region"),
			mmx_command_text(item, "zone"),
			mmx_command_text(item, "state"),
			format_(item, "applied", applied, sizeof(applied))};

		mmx_table_add(table, row);
	}
	mmx_table_print(table, stdout);
	mmx_table_destroy(table);
}

static void add_targets_(mmx_table_t *table, const char *service,
			 const json_t *targets)
{
	const json_t *item;
	char slots[24];
	char busy[24];
	char queued[24];
	size_t i;

	json_array_foreach(targets, i, item)
	{
		const char *const row[] = {
			service,
			mmx_command_text(item, "name"),
			mmx_command_text(item, "node"),
			mmx_command_text(item, "state"),
			format_(item, "slots", slots, sizeof(slots)),
			format_(item, "in_progress", busy, sizeof(busy)),
			format_(item, "queued", queued, sizeof(queued)),
			mmx_command_text(item, "level")};

		mmx_table_add(table, row);
	}
}

static void print_targets_(const json_t *status)
{
	static const char *const head[] = {"SERVICE", "TARGET", "NODE",
					   "STATE",   "SLOTS",	"RUNNING",
					   "QUEUED",  "LEVEL"};
	mmx_table_t *table = mmx_table_create(G_N_ELEMENTS(head));
	json_t *services = json_object_get(status, "services");
	const json_t *targets;
	const char *service;

	if (json_object_size(services) == 0) {
		printf("targets: none\n");
	} else {
		printf("targets:\n");
		mmx_table_add(table, head);
		json_object_foreach(services, service, targets)
			add_targets_(table, service, targets);
		mmx_table_print(table, stdout);
	}
	mmx_table_destroy(table);
	if (number_(status, "targets_left_out") > 0)
		printf("  %" JSON_INTEGER_FORMAT
		       " targets are left out; name a --service\n",
		       number_(status, "targets_left_out"));
}

static void print_accounts_(const json_t *status)
{
	static const char *const head[] = {"ACCOUNT", "LIMIT/S", "BURST",
					   "USE",     "OWNER",	 "WAITING"};
	const json_t *accounts = json_object_get(status, "accounts");
	mmx_table_t *table = mmx_table_create(G_N_ELEMENTS(head));
	const json_t *item;
	char rate[32];
	char burst[32];
	char use[24];
	char waiting[24];
	size_t i;

	mmx_table_add(table, head);
	json_array_foreach(accounts, i, item)
	{
		json_int_t permille = number_(item, "use_permille");
		const char *const row[] = {
			mmx_command_text(item, "name"),
			rate,
			burst,
			use,
			mmx_command_text(item, "owner"),
			format_(item, "waiting", waiting, sizeof(waiting))};

		snprintf(rate, sizeof(rate), "%g",
			 json_number_value(json_object_get(item, "rate")));
		snprintf(burst, sizeof(burst), "%g",
			 json_number_value(json_object_get(item, "burst")));
		snprintf(use, sizeof(use), "%.1f%%", (double)permille / 10);
		mmx_table_add(table, row);
	}
	if (json_array_size(accounts) > 0) {
		printf("accounts with a limit in use here:\n");
		mmx_table_print(table, stdout);
	}
	mmx_table_destroy(table);
	if (number_(status, "accounts_left_out") > 0)
		printf("  %" JSON_INTEGER_FORMAT " accounts are left out\n",
		       number_(status, "accounts_left_out"));
}

static bool print_(const options_t *options,
		   const mmx_operator_response_t *response)
{
	json_t *status;

	if (options->json) {
		fputs(response->text, stdout);
		return fflush(stdout) == 0;
	}
	status = mmx_command_parse_response("status", response);
	if (!status)
		return false;
	print_node_(status);
	print_members_(status);
	print_accounts_(status);
	if (strcmp(options->targets, "none") != 0)
		print_targets_(status);
	json_decref(status);
	return fflush(stdout) == 0;
}

static char *path_(const options_t *options)
{
	char *path = mmx_operator_client_path("/status", "targets",
					      options->targets);
	char *service;
	char *whole;

	if (!options->service)
		return path;
	service = mmx_operator_client_path("", "service", options->service);
	whole = g_strdup_printf("%s&%s", path, service + 1);
	g_free(service);
	g_free(path);
	return whole;
}

static mmx_exit_status_t run_(const void *arg, const mmx_settings_t *settings)
{
	const options_t *options = arg;
	char *path = path_(options);
	mmx_exit_status_t status = MMX_EXIT_ERROR;
	mmx_operator_response_t response;

	if (mmx_command_get("status", settings, path, &response) &&
	    print_(options, &response))
		status = MMX_EXIT_OK;
	g_free(response.text);
	g_free(path);
	return status;
}

mmx_exit_status_t mmx_command_status(int argc, char **argv)
{
	options_t options = {NULL, NULL, NULL, FALSE};
	const GOptionEntry entries[] = {
		MMX_COMMAND_OPTION_SETTINGS(&options.settings),
		{"targets", 0, 0, G_OPTION_ARG_STRING, &options.targets,
		 "targets to list: all, local or none (all)", "WHICH"},
		{"service", 0, 0, G_OPTION_ARG_STRING, &options.service,
		 "list only the targets of a service", "NAME"},
		MMX_COMMAND_OPTION_JSON(&options.json, "status"),
		G_OPTION_ENTRY_NULL,
	};
	mmx_exit_status_t status = MMX_EXIT_ERROR;

	if (mmx_command_parse(&argc, &argv, NULL,
			      "Shows a node, and the fleet as it sees it.\n"
			      "Exit status: 0 done, 2 findings in the "
			      "settings, 1 other errors.",
			      entries, 0) &&
	    mmx_command_require("status", "settings", options.settings)) {
		if (!options.targets)
			options.targets = g_strdup("all");
		status = mmx_command_with_settings(options.settings, run_,
						   &options);
	}
	g_free(options.settings);
	g_free(options.targets);
	g_free(options.service);
	return status;
}
