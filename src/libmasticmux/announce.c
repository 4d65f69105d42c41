#include "private/announce.h"

#include <arpa/inet.h>
#include <assert.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "private/http_guard.h"
#include "private/listen.h"

#define TARGETS_PATH "/v1/targets"
/* Limits of a request; an announcement takes a few hundred bytes. */
#define BODY_BYTES_MAX (16 * 1024)
#define HEADER_BYTES_MAX (16 * 1024)
#define TIMEOUT_S 10

struct mmx_announce_t {
	mmx_runtime_t *runtime;
	mmx_task_t *exit;
	struct evhttp *server;
	uint16_t port;
	const mmx_announce_format_t *format; /* NULL: none */
	bool trusted;
	char service[MMX_NAME_MAX + 1]; /* of the only target; "": any */
	mmx_address_t target;		/* port 0: any */
	mmx_log_t *log;
	mmx_counter_t *accepted;
	mmx_counter_t *rejected;
	mmx_counter_t *reasons[MMX_ANNOUNCE_REJECTION_COUNT];
};

const char *const mmx_announce_rejection_string[MMX_ANNOUNCE_REJECTION_COUNT] =
	{
		"bad-request",
		"malformed",
		"other-service",
		"other-address",
};

/* An integer member of an announcement and its range. */
typedef struct integer_field_t {
	const char *name;
	json_int_t min;
	json_int_t max;
} integer_field_t;

/* Members of the JSON object of an announcement. */
static const char *const member_names_[] = {
	"name",	 "service", "address", "port",
	"slots", "state",   "load",    "lease_ms",
};

static bool is_known_member_(const char *key)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(member_names_); i++)
		if (strcmp(key, member_names_[i]) == 0)
			return true;
	return false;
}

/* These characters need no escaping in paths, metric labels and logs. */
static bool is_name_(const char *text)
{
	size_t length = strlen(text);
	size_t i;

	if (length == 0 || length > MMX_NAME_MAX)
		return false;
	for (i = 0; i < length; i++)
		if (!g_ascii_isalnum(text[i]) && !strchr("._-", text[i]))
			return false;
	return true;
}

static const char *get_string_(const json_t *object, const char *key,
			       mmx_error_t *error)
{
	const json_t *value = json_object_get(object, key);

	if (!json_is_string(value)) {
		mmx_error_set(error, MMX_ERROR_INVALID, "'%s' must be a string",
			      key);
		return NULL;
	}
	return json_string_value(value);
}

static bool get_name_(const json_t *object, const char *key, char *out,
		      mmx_error_t *error)
{
	const char *text = get_string_(object, key, error);

	if (!text)
		return false;
	if (!is_name_(text))
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "'%s' must be 1 to %d letters, digits, "
				     "'.', '_' or '-'",
				     key, MMX_NAME_MAX);
	g_strlcpy(out, text, MMX_NAME_MAX + 1);
	return true;
}

static bool get_integer_(const json_t *object, const integer_field_t *field,
			 json_int_t *out, mmx_error_t *error)
{
	const json_t *value = json_object_get(object, field->name);

	*out = json_integer_value(value);
	if (!json_is_integer(value) || *out < field->min || *out > field->max)
		return mmx_error_set(
			error, MMX_ERROR_INVALID,
			"'%s' must be an integer from %" JSON_INTEGER_FORMAT
			" to %" JSON_INTEGER_FORMAT,
			field->name, field->min, field->max);
	return true;
}

static bool get_state_(const json_t *object, mmx_target_state_t *out,
		       mmx_error_t *error)
{
	const char *text = get_string_(object, "state", error);
	int i;

	if (!text)
		return false;
	for (i = 0; i < MMX_TARGET_STATE_COUNT; i++) {
		if (strcmp(text, mmx_target_state_string[i]) == 0) {
			*out = (mmx_target_state_t)i;
			return true;
		}
	}
	return mmx_error_set(error, MMX_ERROR_INVALID,
			     "'state' must be cold, warm, draining or gone");
}

static bool get_address_(const json_t *object, mmx_address_t *out,
			 mmx_error_t *error)
{
	const char *text = get_string_(object, "address", error);
	struct in6_addr parsed;

	if (!text)
		return false;
	if (strlen(text) > MMX_ADDRESS_MAX ||
	    (inet_pton(AF_INET, text, &parsed) != 1 &&
	     inet_pton(AF_INET6, text, &parsed) != 1))
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "'address' must be an IP address");
	g_strlcpy(out->host, text, sizeof(out->host));
	return true;
}

/* The load is checked but not used: the exit counts requests itself. */
static bool check_load_(const json_t *object, mmx_error_t *error)
{
	const json_t *load = json_object_get(object, "load");

	if (load && (!json_is_number(load) || json_number_value(load) < 0))
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "'load' must be a number, 0 or more");
	return true;
}

static bool check_member_names_(json_t *object, mmx_error_t *error)
{
	const char *key;
	json_t *value;

	if (!json_is_object(object))
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "the body must be a JSON object");
	json_object_foreach(object, key, value) if (
		!is_known_member_(
			key)) return mmx_error_set(error, MMX_ERROR_INVALID,
						   "unknown member '%.64s'",
						   key);
	return true;
}

static bool parse_members_(mmx_target_announced_t *out, json_t *object,
			   mmx_error_t *error)
{
	static const integer_field_t port = {"port", 1, UINT16_MAX};
	static const integer_field_t slots = {"slots", 1, UINT16_MAX};
	static const integer_field_t lease = {"lease_ms",
					      MMX_ANNOUNCE_LEASE_MIN_MS,
					      MMX_ANNOUNCE_LEASE_MAX_MS};
	json_int_t number;

	if (!check_member_names_(object, error) ||
	    !get_name_(object, "name", out->name, error) ||
	    !get_name_(object, "service", out->service, error) ||
	    !get_address_(object, &out->address, error) ||
	    !get_integer_(object, &port, &number, error))
		return false;
	out->address.port = (uint16_t)number;
	if (!get_integer_(object, &slots, &number, error))
		return false;
	out->slots = (uint16_t)number;
	if (!get_state_(object, &out->state, error) ||
	    !check_load_(object, error) ||
	    !get_integer_(object, &lease, &number, error))
		return false;
	out->lease = number * MMX_US_PER_MS;
	return true;
}

mmx_target_announced_t *mmx_announce_parse(const char *text, size_t length,
					   mmx_error_t *error)
{
	json_error_t json_error;
	json_t *object =
		json_loadb(text, length, JSON_REJECT_DUPLICATES, &json_error);
	mmx_target_announced_t *announced;

	if (!object) {
		mmx_error_set(error, MMX_ERROR_INVALID,
			      "not JSON: line %d column %d: %s",
			      json_error.line, json_error.column,
			      json_error.text);
		return NULL;
	}
	announced = mmx_new_target_announced();
	if (!parse_members_(announced, object, error)) {
		mmx_message_destroy(&announced->message);
		announced = NULL;
	}
	json_decref(object);
	return announced;
}

static void send_reply_(struct evhttp_request *request, int status,
			const char *error)
{
	json_t *body = error ? json_pack("{s:s}", "error", error)
			     : json_pack("{s:b}", "accepted", 1);
	char *text = json_dumps(body, JSON_COMPACT);
	struct evbuffer *out = evbuffer_new();

	evbuffer_add_printf(out, "%s\n", text);
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "application/json");
	evhttp_send_reply(request, status, NULL, out);
	evbuffer_free(out);
	free(text);
	json_decref(body);
}

static void reject_(mmx_announce_t *announce, struct evhttp_request *request,
		    mmx_announce_rejection_t reason, int status,
		    const char *error)
{
	mmx_counter_add(announce->rejected, 1);
	mmx_counter_add(announce->reasons[reason], 1);
	mmx_log_event(announce->log, MMX_LOG_WARNING, "announcement_rejected",
		      "reason", mmx_announce_rejection_string[reason], "error",
		      error, "uri", evhttp_request_get_uri(request), NULL);
	send_reply_(request, status, error);
}

static void accept_(mmx_announce_t *announce, struct evhttp_request *request,
		    mmx_target_announced_t *announced)
{
	mmx_counter_add(announce->accepted, 1);
	mmx_task_post(announce->exit, &announced->message);
	send_reply_(request, HTTP_OK, NULL);
}

/* A withdrawal names neither a service nor an address. */
static bool has_other_service_(const mmx_announce_t *announce,
			       const mmx_target_announced_t *announced)
{
	return announce->service[0] && announced->state != MMX_TARGET_GONE &&
	       strcmp(announced->service, announce->service) != 0;
}

static bool has_other_address_(const mmx_announce_t *announce,
			       const mmx_target_announced_t *announced)
{
	return announce->target.port && announced->state != MMX_TARGET_GONE &&
	       !mmx_address_is_equal(&announced->address, &announce->target);
}

/* announced: NULL if it could not be parsed; error says why then */
static void handle_parsed_(mmx_announce_t *announce,
			   struct evhttp_request *request,
			   mmx_target_announced_t *announced,
			   const mmx_error_t *error)
{
	if (!announced) {
		reject_(announce, request, MMX_ANNOUNCE_MALFORMED,
			HTTP_BADREQUEST, error->text);
	} else if (has_other_service_(announce, announced)) {
		reject_(announce, request, MMX_ANNOUNCE_OTHER_SERVICE,
			HTTP_BADREQUEST, "the settings name another service");
		mmx_message_destroy(&announced->message);
	} else if (has_other_address_(announce, announced)) {
		reject_(announce, request, MMX_ANNOUNCE_OTHER_ADDRESS,
			HTTP_BADREQUEST, "the settings name another address");
		mmx_message_destroy(&announced->message);
	} else {
		accept_(announce, request, announced);
	}
}

static void handle_post_(mmx_announce_t *announce,
			 struct evhttp_request *request)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(request);
	mmx_error_t error = {.code = MMX_ERROR_NONE};

	handle_parsed_(
		announce, request,
		mmx_announce_parse((const char *)evbuffer_pullup(body, -1),
				   evbuffer_get_length(body), &error),
		&error);
}

static void handle_format_(mmx_announce_t *announce,
			   struct evhttp_request *request, const char *uri)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(request);
	size_t length = evbuffer_get_length(body);
	mmx_error_t error = {.code = MMX_ERROR_NONE};

	handle_parsed_(announce, request,
		       announce->format->parse(
			       uri, (const char *)evbuffer_pullup(body, -1),
			       length, &error),
		       &error);
}

static void handle_delete_(mmx_announce_t *announce,
			   struct evhttp_request *request, const char *name)
{
	mmx_target_announced_t *announced;

	if (!is_name_(name)) {
		reject_(announce, request, MMX_ANNOUNCE_BAD_REQUEST,
			HTTP_BADREQUEST, "the path must be /v1/targets/NAME");
		return;
	}
	announced = mmx_new_target_announced();
	g_strlcpy(announced->name, name, sizeof(announced->name));
	announced->state = MMX_TARGET_GONE;
	accept_(announce, request, announced);
}

static void on_request_(struct evhttp_request *request, void *arg)
{
	mmx_announce_t *announce = arg;
	const char *uri = evhttp_request_get_uri(request);
	enum evhttp_cmd_type command = evhttp_request_get_command(request);
	size_t length = strlen(TARGETS_PATH);

	if (announce->format && command == EVHTTP_REQ_POST &&
	    announce->format->handles(uri))
		handle_format_(announce, request, uri);
	else if (strncmp(uri, TARGETS_PATH, length) != 0 ||
		 (uri[length] && uri[length] != '/'))
		reject_(announce, request, MMX_ANNOUNCE_BAD_REQUEST,
			HTTP_NOTFOUND, "no such path");
	else if (command == EVHTTP_REQ_POST && !uri[length])
		handle_post_(announce, request);
	else if (command == EVHTTP_REQ_DELETE && uri[length])
		handle_delete_(announce, request, uri + length + 1);
	else
		reject_(announce, request, MMX_ANNOUNCE_BAD_REQUEST,
			HTTP_BADMETHOD,
			"use POST /v1/targets or DELETE /v1/targets/NAME");
}

static void register_counters_(mmx_announce_t *announce,
			       mmx_counters_t *counters)
{
	char labels[40];
	int i;

	announce->accepted = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_announcements_total",
		"result=\"accepted\"", "Announcements of targets.");
	announce->rejected = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_announcements_total",
		"result=\"rejected\"", "Announcements of targets.");
	for (i = 0; i < MMX_ANNOUNCE_REJECTION_COUNT; i++) {
		g_snprintf(labels, sizeof(labels), "reason=\"%s\"",
			   mmx_announce_rejection_string[i]);
		announce->reasons[i] = mmx_counters_get(
			counters, MMX_COUNTER,
			"masticmux_announcements_rejected_total", labels,
			"Rejected announcements of targets, by reason.");
	}
}

mmx_announce_t *mmx_announce_create(mmx_runtime_t *runtime, mmx_task_t *exit,
				    mmx_counters_t *counters)
{
	mmx_announce_t *announce = g_new0(mmx_announce_t, 1);

	assert(mmx_runtime_base(runtime) && exit);
	announce->runtime = runtime;
	announce->exit = exit;
	if (counters)
		register_counters_(announce, counters);
	return announce;
}

void mmx_announce_destroy(mmx_announce_t *announce)
{
	if (!announce)
		return;
	if (announce->server)
		evhttp_free(announce->server);
	g_free(announce);
}

void mmx_announce_set_format(mmx_announce_t *announce,
			     const mmx_announce_format_t *format)
{
	assert(!announce->server);
	announce->format = format;
}

void mmx_announce_set_target(mmx_announce_t *announce, const char *service,
			     const mmx_address_t *address)
{
	assert(!announce->server);
	g_strlcpy(announce->service, service, sizeof(announce->service));
	announce->target = *address;
}

void mmx_announce_set_log(mmx_announce_t *announce, mmx_log_t *log)
{
	assert(!announce->server);
	announce->log = log;
}

void mmx_announce_set_trusted_network(mmx_announce_t *announce, bool trusted)
{
	assert(!announce->server);
	announce->trusted = trusted;
}

bool mmx_announce_init(mmx_announce_t *announce, const mmx_address_t *address,
		       mmx_error_t *error)
{
	assert(!announce->server);
	if (!announce->trusted && !mmx_address_is_loopback(address))
		return mmx_error_set(
			error, MMX_ERROR_INVALID,
			"the announce address %s is not a loopback "
			"address",
			address->host);
	announce->server = evhttp_new(mmx_runtime_base(announce->runtime));
	mmx_http_guard_server(announce->server);
	evhttp_set_max_body_size(announce->server, BODY_BYTES_MAX);
	evhttp_set_max_headers_size(announce->server, HEADER_BYTES_MAX);
	evhttp_set_timeout(announce->server, TIMEOUT_S);
	evhttp_set_allowed_methods(announce->server,
				   EVHTTP_REQ_POST | EVHTTP_REQ_DELETE |
					   EVHTTP_REQ_GET | EVHTTP_REQ_PUT);
	evhttp_set_gencb(announce->server, on_request_, announce);
	return mmx_listen_http(announce->server, address, &announce->port,
			       error);
}

uint16_t mmx_announce_port(const mmx_announce_t *announce)
{
	return announce->port;
}
