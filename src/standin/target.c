#include "standin/target.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <string.h>

#include "share/http_json.h"
#include "standin/announcer.h"
#include "standin/options.h"
#include "standin/target_work.h"

#define PAGE_KEYS_DEFAULT 10000
#define PAGE_KEYS_MAX 100000

typedef struct options_t {
	char *listen;
	char *name;
	char *service;
	char *control;
	char *announce;
	char *announce_path;
	char *distribution;
	int slots;
	int queue;
	int lease_ms;
	int max_keys;
	int max_body_mib;
	int64_t seed;
	double latency_ms;
	double cold_ms;
} options_t;

typedef struct target_t {
	standin_server_t server;
	target_work_t work;
	announcer_t announcer;
} target_t;

static const char *state_(void *arg)
{
	target_t *target = arg;

	if (target->work.faults.draining)
		return "draining";
	return target_work_cold(&target->work) ? "cold" : "warm";
}

static double load_(void *arg)
{
	const target_work_t *work = &((target_t *)arg)->work;

	return (double)(work->running + work->queued) / work->slots;
}

static json_t *counts_(target_t *target)
{
	const target_counts_t *counts = &target->work.counts;

	return json_pack(
		"{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}",
		"requests", (json_int_t)counts->requests, "requests_draining",
		(json_int_t)counts->requests_draining, "answered",
		(json_int_t)counts->answered, "refused_busy",
		(json_int_t)counts->refused_busy, "refused_peer",
		(json_int_t)counts->refused_peer, "refused_deadline",
		(json_int_t)counts->refused_deadline, "cancelled_by_peer",
		(json_int_t)counts->cancelled_by_peer, "cancelled_by_deadline",
		(json_int_t)counts->cancelled_by_deadline, "errors_injected",
		(json_int_t)counts->errors_injected, "answers_cut",
		(json_int_t)counts->answers_cut, "answers_withheld",
		(json_int_t)counts->answers_withheld, "requests_frozen",
		(json_int_t)counts->requests_frozen, "probes",
		(json_int_t)counts->probes);
}

static json_t *status_(target_t *target)
{
	const target_work_t *work = &target->work;
	executions_totals_t totals;
	json_t *status = fields_get(target_fault_fields, &work->faults);
	json_t *part = counts_(target);

	json_object_update(status, part);
	json_decref(part);
	executions_totals(work->executions, &totals);
	part = json_pack("{s:s,s:s,s:i,s:i,s:i,s:i,s:I,s:I,s:I,s:I,s:I,s:I}",
			 "name", work->name, "state", state_(target), "slots",
			 (int)work->slots, "running", (int)work->running,
			 "stalled", (int)target_work_stalled(work), "queued",
			 (int)work->queued, "keys", (json_int_t)totals.keys,
			 "started", (json_int_t)totals.started, "finished",
			 (json_int_t)totals.finished, "untracked",
			 (json_int_t)totals.untracked, "announcements_accepted",
			 (json_int_t)target->announcer.accepted,
			 "announcements_failed",
			 (json_int_t)target->announcer.failed);
	json_object_update(status, part);
	json_decref(part);
	return status;
}

static bool set_faults_(target_t *target, struct evhttp_request *req)
{
	target_faults_t *faults = &target->work.faults;
	mmx_error_t error = {0};
	json_t *object = mmx_http_json_body(req, &error);
	bool valid = object &&
		     fields_set(target_fault_fields, faults, object, &error);

	if (!valid) {
		json_decref(object);
		mmx_http_json_error(req, HTTP_BADREQUEST, error.text);
		return false;
	}
	if (json_object_get(object, "flap_period_ms"))
		faults->flap_start = mmx_clock_now(target->server.clock);
	json_decref(object);
	if (!standin_server_refuse(&target->server, faults->refuse, &error)) {
		mmx_http_json_error(req, HTTP_INTERNAL, error.text);
		return false;
	}
	target->announcer.paused = faults->stop_announcing;
	target_work_changed(&target->work);
	announcer_update(&target->announcer);
	return true;
}

static void control_(target_t *target, struct evhttp_request *req)
{
	if (evhttp_request_get_command(req) == EVHTTP_REQ_POST &&
	    !set_faults_(target, req))
		return;
	mmx_http_json_reply(req, HTTP_OK, status_(target));
}

static uint64_t parameter_(const struct evkeyvalq *query, const char *key,
			   uint64_t missing)
{
	const char *text = evhttp_find_header(query, key);

	return text ? g_ascii_strtoull(text, NULL, 10) : missing;
}

static void executions_reply_(target_t *target, struct evhttp_request *req)
{
	const char *text =
		evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	struct evbuffer *body = evbuffer_new();
	struct evkeyvalq query;

	if (evhttp_request_get_command(req) == EVHTTP_REQ_DELETE)
		executions_clear(target->work.executions);
	evhttp_parse_query_str(text ? text : "", &query);
	executions_page(target->work.executions, parameter_(&query, "from", 0),
			MIN(parameter_(&query, "max", PAGE_KEYS_DEFAULT),
			    PAGE_KEYS_MAX),
			body);
	evhttp_clear_headers(&query);
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/json");
	evhttp_send_reply(req, HTTP_OK, NULL, body);
	evbuffer_free(body);
}

static void on_request_(struct evhttp_request *req, void *arg)
{
	target_t *target = arg;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

	if (path && strcmp(path, "/probe") == 0) {
		target->work.counts.probes++;
		mmx_http_json_reply(
			req, HTTP_OK,
			json_pack("{s:s}", "state", state_(target)));
	} else if (path && strcmp(path, "/control") == 0) {
		control_(target, req);
	} else if (path && strcmp(path, "/executions") == 0) {
		executions_reply_(target, req);
	} else {
		target_work_request(&target->work, req);
	}
}

static bool parse_(int argc, char **argv, options_t *o)
{
	GOptionEntry entries[] = {
		{"listen", 0, 0, G_OPTION_ARG_STRING, &o->listen,
		 "Address to listen on; port 0 lets the kernel choose",
		 "IP:PORT"},
		{"name", 0, 0, G_OPTION_ARG_STRING, &o->name,
		 "Name of the target", "NAME"},
		{"service", 0, 0, G_OPTION_ARG_STRING, &o->service,
		 "Service it belongs to", "NAME"},
		{"announce", 0, 0, G_OPTION_ARG_STRING, &o->announce,
		 "Announce address of the node; without it nothing is "
		 "announced",
		 "IP:PORT"},
		{"slots", 0, 0, G_OPTION_ARG_INT, &o->slots,
		 "Requests at a time (3)", "N"},
		{"queue", 0, 0, G_OPTION_ARG_INT, &o->queue,
		 "Requests that wait for a slot; others get 503 (0)", "N"},
		{"latency-ms", 0, 0, G_OPTION_ARG_DOUBLE, &o->latency_ms,
		 "Mean latency in ms (5)", "N"},
		{"announce-path", 0, 0, G_OPTION_ARG_STRING, &o->announce_path,
		 "Path that announcements are sent to (/v1/targets)", "PATH"},
		{"control", 0, 0, G_OPTION_ARG_STRING, &o->control,
		 "Second address; stays open while connections are refused",
		 "IP:PORT"},
		{"distribution", 0, 0, G_OPTION_ARG_STRING, &o->distribution,
		 "Of the latency: fixed, exponential, pareto (fixed)", "NAME"},
		{"cold-ms", 0, 0, G_OPTION_ARG_DOUBLE, &o->cold_ms,
		 "Time after the start with a higher latency, ms (0)", "N"},
		{"lease-ms", 0, 0, G_OPTION_ARG_INT, &o->lease_ms,
		 "Lease of the announcement, ms (3000)", "N"},
		{"max-keys", 0, 0, G_OPTION_ARG_INT, &o->max_keys,
		 "Most request keys that are counted (1000000)", "N"},
		{"max-body-mib", 0, 0, G_OPTION_ARG_INT, &o->max_body_mib,
		 "Longest request body in MiB (128)", "N"},
		{"seed", 0, 0, G_OPTION_ARG_INT64, &o->seed,
		 "Seed of latencies and errors (1)", "N"},
		G_OPTION_ENTRY_NULL};
	char *help = fields_help(target_fault_fields);
	bool parsed = standin_options_parse(argc, argv, entries, help,
					    "unexpected argument");

	g_free(help);
	return parsed;
}

static bool distribution_(const char *text, latency_distribution_t *value)
{
	int i;

	for (i = 0; i < LATENCY_COUNT; i++) {
		if (strcmp(latency_distribution_string[i], text) == 0) {
			*value = (latency_distribution_t)i;
			return true;
		}
	}
	return false;
}

/* Names that a node accepts in an announcement. */
static bool name_(const char *text)
{
	return strlen(text) <= MMX_NAME_MAX && !strchr(text, ':') &&
	       executions_key_valid(text);
}

static bool valid_(const options_t *o, target_t *target, mmx_error_t *error)
{
	if (!o->listen || !o->name || !o->service)
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "target: --listen, --name and --service "
				     "are required");
	if (!name_(o->name) || !name_(o->service))
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "target: names are 1 to %d letters, "
				     "digits and ._-",
				     MMX_NAME_MAX);
	if (o->slots < 1 || o->slots > 65535 || o->queue < 0 ||
	    o->latency_ms < 0 || o->cold_ms < 0 || o->lease_ms < 3 ||
	    o->max_keys < 0 || o->max_body_mib < 1)
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "target: a number is out of range");
	if (o->distribution &&
	    !distribution_(o->distribution, &target->work.distribution))
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "target: --distribution is fixed, "
				     "exponential or pareto");
	return !o->announce ||
	       standin_address_parse(o->announce, &target->announcer.node,
				     error);
}

static void on_stop_(void *arg)
{
	announcer_leave(&((target_t *)arg)->announcer);
}

static void serve_(target_t *target, const options_t *o)
{
	target_work_t *work = &target->work;
	announcer_t *announcer = &target->announcer;

	work->server = &target->server;
	work->name = o->name;
	work->slots = (unsigned int)o->slots;
	work->queue_max = (unsigned int)o->queue;
	work->latency_ms = o->latency_ms;
	work->cold_ms = o->cold_ms;
	work->executions = executions_create((size_t)o->max_keys);
	mmx_random_seed(&work->random, (uint64_t)o->seed);
	target_work_init(work);
	target->server.on_stop = on_stop_;
	announcer->server = &target->server;
	announcer->name = o->name;
	announcer->path = o->announce_path ? o->announce_path : "/v1/targets";
	announcer->service = o->service;
	announcer->slots = o->slots;
	announcer->lease_ms = o->lease_ms;
	announcer->state = state_;
	announcer->load = load_;
	announcer->arg = target;
	if (o->announce)
		announcer_start(announcer);
	standin_server_run(&target->server);
	announcer_destroy(announcer);
	target_work_destroy(work);
	executions_destroy(work->executions);
	standin_server_close(&target->server);
}

int target_main(int argc, char **argv)
{
	options_t options = {.slots = 3,
			     .latency_ms = 5,
			     .lease_ms = 3000,
			     .max_keys = 1000000,
			     .max_body_mib = 128,
			     .seed = 1};
	target_t target = {0};
	mmx_error_t error = {0};
	int status = 0;

	if (!parse_(argc, argv, &options))
		status = 2;
	else if (!valid_(&options, &target, &error) ||
		 !standin_server_open(&target.server, options.listen,
				      options.control,
				      (size_t)options.max_body_mib << 20,
				      on_request_, &target, &error))
		status = standin_usage_error(error.text);
	else
		serve_(&target, &options);
	g_free(options.listen);
	g_free(options.name);
	g_free(options.service);
	g_free(options.control);
	g_free(options.announce);
	g_free(options.announce_path);
	g_free(options.distribution);
	return status;
}
