#include "standin/log_service.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "share/http_json.h"
#include "standin/fields.h"
#include "standin/log_store.h"
#include "standin/options.h"
#include "standin/peer_watch.h"
#include "standin/server.h"

#define STREAMS_PREFIX "/streams/"
#define READ_MAX_DEFAULT 256
#define READ_MAX 4096
#define WAIT_MAX_MS 60000
#define SLOWNESS_MAX_MS 600000
#define LOST_ANSWERS_MAX 1e9
#define OPTIONS_ERROR \
	"log: --listen IP:PORT is required and numbers are 1 or more"

enum outage_t { OUTAGE_NONE, OUTAGE_REFUSE, OUTAGE_SILENT };

static const char *const outage_choices_[] = {"none", "refuse", "silent", NULL};

enum lose_mode_t { LOSE_CLOSE, LOSE_SILENT };

static const char *const lose_choices_[] = {"close", "silent", NULL};

typedef struct faults_t {
	int outage;
	double slow_ms;
	double lose_answers;
	int lose_mode;
	bool duplicate;
	bool freeze_open;
} faults_t;

static const field_t fault_fields_[] = {
	{"outage", FIELD_CHOICE, offsetof(faults_t, outage), 0, 0,
	 outage_choices_},
	{"slow_ms", FIELD_NUMBER, offsetof(faults_t, slow_ms), 0,
	 SLOWNESS_MAX_MS, NULL},
	{"lose_answers", FIELD_NUMBER, offsetof(faults_t, lose_answers), 0,
	 LOST_ANSWERS_MAX, NULL},
	{"lose_mode", FIELD_CHOICE, offsetof(faults_t, lose_mode), 0, 0,
	 lose_choices_},
	{"duplicate", FIELD_BOOL, offsetof(faults_t, duplicate), 0, 0, NULL},
	{"freeze_open", FIELD_BOOL, offsetof(faults_t, freeze_open), 0, 0,
	 NULL},
	{NULL, FIELD_BOOL, 0, 0, 0, NULL},
};

typedef struct counts_t {
	uint64_t appends;
	uint64_t appends_refused;
	uint64_t answers_lost;
	uint64_t appends_duplicated;
	uint64_t reads;
	uint64_t requests_refused_outage;
	uint64_t requests_unanswered;
	uint64_t peers_closed;
} counts_t;

/** Why a request waits. */
typedef enum wait_kind_t {
	WAIT_SLOW,   /**< handled when the timer fires */
	WAIT_RECORD, /**< answered at the next append or when the timer fires */
	WAIT_FOREVER /**< never answered */
} wait_kind_t;

typedef struct service_t service_t;

typedef struct waiter_t {
	TAILQ_ENTRY(waiter_t) entry;
	service_t *service;
	struct evhttp_request *req;
	wait_kind_t kind;
	mmx_timer_t timer;
	peer_watch_t watch;
	uint64_t from;
	unsigned int max;
	char stream[LOG_STORE_NAME_MAX + 1];
} waiter_t;

TAILQ_HEAD(waiter_list_t, waiter_t);

struct service_t {
	standin_server_t server;
	log_store_t *store;
	faults_t faults;
	counts_t counts;
	struct waiter_list_t waiters;
	unsigned int waiting;
};

static void handle_stream_(service_t *service, struct evhttp_request *req);

/* Frees a waiter and returns its request, which is still to be ended. */
static struct evhttp_request *end_waiter_(waiter_t *waiter)
{
	struct evhttp_request *req = waiter->req;

	mmx_timer_cancel(&waiter->timer);
	peer_watch_stop(&waiter->watch);
	TAILQ_REMOVE(&waiter->service->waiters, waiter, entry);
	waiter->service->waiting--;
	g_free(waiter);
	return req;
}

static void on_peer_closed_(void *arg)
{
	waiter_t *waiter = arg;

	waiter->service->counts.peers_closed++;
	end_waiter_(waiter);
}

static void answer_read_(waiter_t *waiter)
{
	service_t *service = waiter->service;
	json_t *reply;

	if (standin_server_frozen(&service->server, waiter->req)) {
		mmx_timer_cancel(&waiter->timer);
		waiter->kind = WAIT_FOREVER;
		service->counts.requests_unanswered++;
		return;
	}
	reply = log_store_read(service->store, waiter->stream, waiter->from,
			       waiter->max);
	mmx_http_json_reply(end_waiter_(waiter), HTTP_OK, reply);
}

static void on_timer_(void *arg)
{
	waiter_t *waiter = arg;
	service_t *service = waiter->service;

	if (waiter->kind == WAIT_RECORD)
		answer_read_(waiter);
	else if (waiter->kind == WAIT_SLOW)
		handle_stream_(service, end_waiter_(waiter));
}

static waiter_t *begin_waiter_(service_t *service, struct evhttp_request *req,
			       wait_kind_t kind)
{
	waiter_t *waiter = g_new0(waiter_t, 1);

	waiter->service = service;
	waiter->req = req;
	waiter->kind = kind;
	mmx_timer_init(&waiter->timer, service->server.clock, on_timer_,
		       waiter);
	peer_watch_start(&waiter->watch, service->server.base, req,
			 on_peer_closed_, waiter);
	TAILQ_INSERT_TAIL(&service->waiters, waiter, entry);
	service->waiting++;
	return waiter;
}

static void wake_readers_(service_t *service, const char *stream)
{
	uint64_t next = log_store_next(service->store, stream);
	waiter_t *waiter = TAILQ_FIRST(&service->waiters);

	while (waiter) {
		waiter_t *after = TAILQ_NEXT(waiter, entry);

		if (waiter->kind == WAIT_RECORD && waiter->from < next &&
		    strcmp(waiter->stream, stream) == 0)
			answer_read_(waiter);
		waiter = after;
	}
}

static void lose_answer_(service_t *service, struct evhttp_request *req)
{
	service->faults.lose_answers -= 1;
	service->counts.answers_lost++;
	if (service->faults.lose_mode == LOSE_SILENT)
		begin_waiter_(service, req, WAIT_FOREVER);
	else
		standin_drop(req, STANDIN_DROP_CLOSE);
}

static void append_(service_t *service, struct evhttp_request *req,
		    const char *stream)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	size_t length = evbuffer_get_length(body);
	const char *data = (const char *)evbuffer_pullup(body, -1);
	uint64_t offset = 0;
	uint64_t second;
	log_append_t result =
		log_store_append(service->store, stream, data, length, &offset);

	if (result != LOG_APPEND_OK) {
		service->counts.appends_refused++;
		mmx_http_json_error(req,
				    result == LOG_APPEND_RATE	   ? 429
				    : result == LOG_APPEND_INVALID ? 400
								   : 507,
				    log_append_string[result]);
		return;
	}
	service->counts.appends++;
	if (service->faults.duplicate &&
	    log_store_append(service->store, stream, data, length, &second) ==
		    LOG_APPEND_OK)
		service->counts.appends_duplicated++;
	if (service->faults.lose_answers >= 1)
		lose_answer_(service, req);
	else
		mmx_http_json_reply(
			req, HTTP_OK,
			json_pack("{s:I}", "offset", (json_int_t)offset));
	wake_readers_(service, stream);
}

static uint64_t parameter_(const struct evkeyvalq *query, const char *key,
			   uint64_t missing)
{
	const char *text = evhttp_find_header(query, key);

	return text ? g_ascii_strtoull(text, NULL, 10) : missing;
}

static void read_(service_t *service, struct evhttp_request *req,
		  const char *stream)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *text = evhttp_uri_get_query(uri);
	struct evkeyvalq query;
	uint64_t from;
	uint64_t max;
	uint64_t wait_ms;
	waiter_t *waiter;

	evhttp_parse_query_str(text ? text : "", &query);
	from = parameter_(&query, "from", 1);
	max = CLAMP(parameter_(&query, "max", READ_MAX_DEFAULT), 1, READ_MAX);
	wait_ms = MIN(parameter_(&query, "wait_ms", 0), WAIT_MAX_MS);
	evhttp_clear_headers(&query);
	service->counts.reads++;
	if (wait_ms == 0 || from < log_store_next(service->store, stream)) {
		mmx_http_json_reply(req, HTTP_OK,
				    log_store_read(service->store, stream, from,
						   (unsigned int)max));
		return;
	}
	waiter = begin_waiter_(service, req, WAIT_RECORD);
	waiter->from = from;
	waiter->max = (unsigned int)max;
	g_strlcpy(waiter->stream, stream, sizeof(waiter->stream));
	mmx_timer_set(&waiter->timer, (mmx_time_t)wait_ms * MMX_US_PER_MS);
}

static void handle_stream_(service_t *service, struct evhttp_request *req)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	char *stream = evhttp_uridecode(
		evhttp_uri_get_path(uri) + strlen(STREAMS_PREFIX), 0, NULL);

	if (!stream || !stream[0] || strlen(stream) > LOG_STORE_NAME_MAX)
		mmx_http_json_error(req, HTTP_BADREQUEST,
				    "a stream name of 1 to 128 bytes is "
				    "required");
	else if (evhttp_request_get_command(req) == EVHTTP_REQ_POST)
		append_(service, req, stream);
	else if (evhttp_request_get_command(req) == EVHTTP_REQ_GET)
		read_(service, req, stream);
	else
		mmx_http_json_error(req, HTTP_BADMETHOD, "GET or POST");
	free(stream);
}

static json_t *status_(service_t *service)
{
	const counts_t *counts = &service->counts;
	json_t *status = fields_get(fault_fields_, &service->faults);
	json_t *totals = log_store_totals(service->store);

	json_object_update(status, totals);
	json_decref(totals);
	totals = json_pack(
		"{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "appends",
		(json_int_t)counts->appends, "appends_refused",
		(json_int_t)counts->appends_refused, "answers_lost",
		(json_int_t)counts->answers_lost, "appends_duplicated",
		(json_int_t)counts->appends_duplicated, "reads",
		(json_int_t)counts->reads, "requests_refused_outage",
		(json_int_t)counts->requests_refused_outage,
		"requests_unanswered", (json_int_t)counts->requests_unanswered,
		"peers_closed", (json_int_t)counts->peers_closed, "waiting",
		(json_int_t)service->waiting);
	json_object_update(status, totals);
	json_decref(totals);
	return status;
}

static void control_(service_t *service, struct evhttp_request *req)
{
	mmx_error_t error = {0};
	json_t *object;
	bool valid;

	if (evhttp_request_get_command(req) == EVHTTP_REQ_POST) {
		object = mmx_http_json_body(req, &error);
		valid = object && fields_set(fault_fields_, &service->faults,
					     object, &error);
		json_decref(object);
		standin_server_freeze(&service->server,
				      service->faults.freeze_open);
		if (valid)
			valid = standin_server_refuse(&service->server,
						      service->faults.outage ==
							      OUTAGE_REFUSE,
						      &error);
		if (!valid) {
			mmx_http_json_error(req, HTTP_BADREQUEST, error.text);
			return;
		}
	}
	mmx_http_json_reply(req, HTTP_OK, status_(service));
}

static void on_request_(struct evhttp_request *req, void *arg)
{
	service_t *service = arg;
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	waiter_t *waiter;

	if (!path) {
		mmx_http_json_error(req, HTTP_BADREQUEST, "no path");
	} else if (strcmp(path, "/control") == 0) {
		control_(service, req);
	} else if (!g_str_has_prefix(path, STREAMS_PREFIX)) {
		mmx_http_json_error(req, HTTP_NOTFOUND, "unknown path");
	} else if (service->faults.outage == OUTAGE_REFUSE) {
		service->counts.requests_refused_outage++;
		standin_drop(req, STANDIN_DROP_RESET);
	} else if (standin_server_frozen(&service->server, req) ||
		   service->faults.outage == OUTAGE_SILENT) {
		service->counts.requests_unanswered++;
		begin_waiter_(service, req, WAIT_FOREVER);
	} else if (service->faults.slow_ms > 0) {
		waiter = begin_waiter_(service, req, WAIT_SLOW);
		mmx_timer_set(&waiter->timer,
			      (mmx_time_t)(service->faults.slow_ms *
					   (double)MMX_US_PER_MS));
	} else {
		handle_stream_(service, req);
	}
}

static void drop_waiters_(service_t *service)
{
	waiter_t *waiter = TAILQ_FIRST(&service->waiters);

	while (waiter) {
		waiter_t *after = TAILQ_NEXT(waiter, entry);

		standin_drop(end_waiter_(waiter), STANDIN_DROP_CLOSE);
		waiter = after;
	}
}

typedef struct options_t {
	char *listen;
	char *control;
	int retention_s;
	int appends_per_s;
	int max_mib;
} options_t;

static bool parse_(int argc, char **argv, options_t *options)
{
	GOptionEntry entries[] = {
		{"listen", 0, 0, G_OPTION_ARG_STRING, &options->listen,
		 "Address to listen on; port 0 lets the kernel choose",
		 "IP:PORT"},
		{"control", 0, 0, G_OPTION_ARG_STRING, &options->control,
		 "Second address; stays open while connections are refused",
		 "IP:PORT"},
		{"retention-s", 0, 0, G_OPTION_ARG_INT, &options->retention_s,
		 "Age in seconds at which records expire (3600)", "N"},
		{"appends-per-s", 0, 0, G_OPTION_ARG_INT,
		 &options->appends_per_s,
		 "Most appends per second, all streams together (400)", "N"},
		{"max-mib", 0, 0, G_OPTION_ARG_INT, &options->max_mib,
		 "Most MiB of records held (256)", "N"},
		G_OPTION_ENTRY_NULL};
	char *help = fields_help(fault_fields_);
	bool parsed =
		standin_options_parse(argc, argv, entries, help, OPTIONS_ERROR);

	g_free(help);
	if (!parsed)
		return false;
	if (!options->listen || options->retention_s < 1 ||
	    options->appends_per_s < 1 || options->max_mib < 1) {
		standin_usage_error(OPTIONS_ERROR);
		return false;
	}
	return true;
}

int log_service_main(int argc, char **argv)
{
	options_t options = {
		.retention_s = 3600, .appends_per_s = 400, .max_mib = 256};
	service_t service = {0};
	mmx_error_t error = {0};
	log_store_limits_t limits;

	if (!parse_(argc, argv, &options))
		return 2;
	limits = (log_store_limits_t){
		.retention = options.retention_s * MMX_US_PER_S,
		.max_bytes = (uint64_t)options.max_mib << 20,
		.appends_per_s = (unsigned int)options.appends_per_s};
	TAILQ_INIT(&service.waiters);
	if (!standin_server_open(&service.server, options.listen,
				 options.control, LOG_STORE_RECORD_MAX + 1,
				 on_request_, &service, &error)) {
		g_free(options.listen);
		g_free(options.control);
		return standin_usage_error(error.text);
	}
	service.store = log_store_create(service.server.clock, &limits);
	standin_server_run(&service.server);
	drop_waiters_(&service);
	log_store_destroy(service.store);
	standin_server_close(&service.server);
	g_free(options.listen);
	g_free(options.control);
	return 0;
}
