#include "standin/load.h"

#include <signal.h>
#include <string.h>

#include "standin/load_run.h"
#include "standin/load_verify.h"
#include "standin/options.h"

typedef struct arguments_t {
	load_options_t load;
	char *node;
	char *host;
	char *path;
	char *account;
	char *check_targets;
	int connections;
	int min_completed;
	int64_t seed;
	int64_t request_bytes;
	int64_t response_bytes;
	gboolean direct;
	gboolean saturate;
	gboolean json;
	standin_address_t *targets;
	size_t target_count;
} arguments_t;

static bool parse_(int argc, char **argv, arguments_t *a)
{
	load_options_t *load = &a->load;
	GOptionEntry entries[] = {
		{"node", 0, 0, G_OPTION_ARG_STRING, &a->node,
		 "Nodes to send to in turn", "IP:PORT[,IP:PORT...]"},
		{"host", 0, 0, G_OPTION_ARG_STRING, &a->host,
		 "Host header, names the service", "HOST"},
		{"path", 0, 0, G_OPTION_ARG_STRING, &a->path,
		 "Path of the requests (/)", "PATH"},
		{"rate", 0, 0, G_OPTION_ARG_DOUBLE, &load->rate,
		 "Requests per second (100)", "N"},
		{"duration-s", 0, 0, G_OPTION_ARG_DOUBLE, &load->duration_s,
		 "Time over which requests arrive, s (10)", "N"},
		{"post-percent", 0, 0, G_OPTION_ARG_INT, &load->post_percent,
		 "Share of POST among all requests (0)", "N"},
		{"key-percent", 0, 0, G_OPTION_ARG_INT, &load->key_percent,
		 "Share of Idempotency-Key among the POSTs (0)", "N"},
		{"repeat-percent", 0, 0, G_OPTION_ARG_INT,
		 &load->repeat_percent,
		 "Share of the requests with a key that are sent twice (0)",
		 "N"},
		{"account", 0, 0, G_OPTION_ARG_STRING, &a->account,
		 "Client account", "NAME"},
		{"timeout-ms", 0, 0, G_OPTION_ARG_INT, &load->timeout_ms,
		 "Time the caller waits, ms (5000)", "N"},
		{"seed", 0, 0, G_OPTION_ARG_INT64, &a->seed,
		 "Seed of arrivals and methods (1)", "N"},
		{"connections", 0, 0, G_OPTION_ARG_INT, &a->connections,
		 "Most connections, all nodes together (256)", "N"},
		{"request-bytes", 0, 0, G_OPTION_ARG_INT64, &a->request_bytes,
		 "Body of each POST, bytes (64)", "N"},
		{"response-bytes", 0, 0, G_OPTION_ARG_INT64, &a->response_bytes,
		 "Body of each answer, bytes; 0 for JSON (0)", "N"},
		{"check-targets", 0, 0, G_OPTION_ARG_STRING, &a->check_targets,
		 "All targets, whose executions are checked",
		 "IP:PORT[,IP:PORT...]"},
		{"min-completed", 0, 0, G_OPTION_ARG_INT, &a->min_completed,
		 "Fail with fewer completed requests (1)", "N"},
		{"direct", 0, 0, G_OPTION_ARG_NONE, &a->direct,
		 "Send to targets without a node between", NULL},
		{"saturate", 0, 0, G_OPTION_ARG_NONE, &a->saturate,
		 "Closed loop: a request per connection at a time", NULL},
		{"json", 0, 0, G_OPTION_ARG_NONE, &a->json,
		 "Print the results as JSON", NULL},
		G_OPTION_ENTRY_NULL};

	return standin_options_parse(argc, argv, entries, NULL,
				     "unexpected argument");
}

static bool percent_(int value)
{
	return value >= 0 && value <= 100;
}

static bool valid_(arguments_t *a, mmx_error_t *error)
{
	const load_options_t *load = &a->load;

	if (!a->node || !a->host)
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "load: --node and --host are required");
	if (load->rate <= 0 || load->duration_s <= 0 || load->timeout_ms < 1 ||
	    !percent_(load->post_percent) || !percent_(load->key_percent) ||
	    !percent_(load->repeat_percent) || a->request_bytes < 0 ||
	    a->response_bytes < 0 || a->connections < 1 ||
	    (a->path && a->path[0] != '/'))
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "load: an option is out of range");
	a->load.nodes =
		standin_address_list(a->node, &a->load.node_count, error);
	if (!a->load.nodes)
		return false;
	if ((size_t)a->connections < a->load.node_count)
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "load: fewer connections than nodes");
	if (a->check_targets) {
		a->targets = standin_address_list(a->check_targets,
						  &a->target_count, error);
		return a->targets != NULL;
	}
	return true;
}

static int run_(arguments_t *a)
{
	struct event_base *base = standin_base_new();
	mmx_clock_t *clock = mmx_clock_create(base);
	GArray *records = g_array_new(FALSE, TRUE, sizeof(load_record_t));
	load_stats_t stats;
	bool hold;

	signal(SIGPIPE, SIG_IGN);
	load_stats_init(&stats);
	/* The seed may repeat; the keys of two runs must not. */
	g_snprintf(stats.run, sizeof(stats.run), "%" G_GINT64_MODIFIER "x",
		   mmx_clock_wall(clock));
	load_run(base, clock, &a->load, &stats, records);
	if (a->target_count > 0)
		load_verify(base, a->targets, a->target_count, records, &stats);
	if (stats.completed < (uint64_t)a->min_completed)
		load_stats_violation(&stats, "too few completed requests",
				     NULL);
	load_stats_print(&stats, a->json, stdout);
	hold = load_stats_hold(&stats);
	load_stats_clear(&stats);
	g_array_free(records, TRUE);
	mmx_clock_destroy(clock);
	event_base_free(base);
	return hold ? 0 : 1;
}

int load_main(int argc, char **argv)
{
	arguments_t a = {
		.load = {.rate = 100, .duration_s = 10, .timeout_ms = 5000},
		.connections = 256,
		.min_completed = 1,
		.request_bytes = 64,
		.seed = 1};
	mmx_error_t error = {0};
	int status;

	if (!parse_(argc, argv, &a)) {
		status = 2;
	} else if (!valid_(&a, &error)) {
		status = standin_usage_error(error.text);
	} else {
		a.load.host = a.host;
		a.load.path = a.path ? a.path : "/";
		a.load.account = a.account;
		a.load.seed = (uint64_t)a.seed;
		a.load.request_bytes = (uint64_t)a.request_bytes;
		a.load.response_bytes = (uint64_t)a.response_bytes;
		a.load.connections = (unsigned int)a.connections;
		a.load.direct = a.direct;
		a.load.saturate = a.saturate;
		status = run_(&a);
	}
	g_free(a.load.nodes);
	g_free(a.targets);
	g_free(a.node);
	g_free(a.host);
	g_free(a.path);
	g_free(a.account);
	g_free(a.check_targets);
	return status;
}
