#include "private/operator.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <malloc.h>
#include <string.h>
#include <unistd.h>

#include "private/http_guard.h"
#include "private/listen.h"

#define BODY_BYTES_MAX (64 * 1024)
#define HEADER_BYTES_MAX (16 * 1024)
#define CONNECTION_TIMEOUT_S 30
/* Characters of a JSON parse error that are copied into a response. */
#define JSON_ERROR_CHARS_MAX 160

const char *const mmx_operator_method_string[MMX_OPERATOR_METHOD_COUNT] = {
	"GET",
	"POST",
};

typedef struct route_t {
	SLIST_ENTRY(route_t) entry;
	mmx_operator_method_t method;
	char *path;
	mmx_operator_handler_t handler;
	void *context;
} route_t;

struct mmx_operator_deferred_t {
	LIST_ENTRY(mmx_operator_deferred_t) entry;
	struct evhttp_request *request;
};

struct mmx_operator_t {
	struct event_base *base;
	mmx_counters_t *counters;
	struct evhttp *server;
	uint16_t port;
	bool draining;
	bool (*ready)(void *arg); /* NULL: always ready */
	void *ready_arg;
	SLIST_HEAD(, route_t) routes;
	LIST_HEAD(, mmx_operator_deferred_t) deferred;
	mmx_counter_t *heap_bytes;
	mmx_counter_t *resident_bytes;
};

static const char *const metrics_content_type_ = "text/plain; version=0.0.4";

static void update_memory_gauges_(mmx_operator_t *server)
{
	struct mallinfo2 info = mallinfo2();
	FILE *statm = fopen("/proc/self/statm", "re");
	unsigned long pages;

	mmx_counter_set(server->heap_bytes,
			(int64_t)(info.uordblks + info.hblkhd));
	if (!statm)
		return;
	if (fscanf(statm, "%*u %lu", &pages) == 1)
		mmx_counter_set(server->resident_bytes,
				(int64_t)pages * sysconf(_SC_PAGESIZE));
	fclose(statm);
}

static void set_content_type_(struct evhttp_request *request, const char *type)
{
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", type);
}

static void on_metrics_(struct evhttp_request *request, void *arg)
{
	mmx_operator_t *server = arg;
	struct evbuffer *out = evbuffer_new();

	update_memory_gauges_(server);
	mmx_counters_write(server->counters, out);
	set_content_type_(request, metrics_content_type_);
	evhttp_send_reply(request, HTTP_OK, NULL, out);
	evbuffer_free(out);
}

static void on_healthz_(struct evhttp_request *request, void *arg)
{
	mmx_operator_t *server = arg;
	struct evbuffer *out = evbuffer_new();
	bool ready = !server->ready || server->ready(server->ready_arg);
	const char *text = ready ? "ok" : "starting";

	evbuffer_add_printf(out, "%s\n", server->draining ? "draining" : text);
	set_content_type_(request, "text/plain");
	evhttp_send_reply(request,
			  server->draining || !ready ? HTTP_SERVUNAVAIL
						     : HTTP_OK,
			  NULL, out);
	evbuffer_free(out);
}

/* Takes ownership of the body. */
static void reply_json_(struct evhttp_request *request, int status,
			json_t *body)
{
	struct evbuffer *out = evbuffer_new();
	char *text = json_dumps(body, JSON_INDENT(2));

	evbuffer_add_printf(out, "%s\n", text);
	set_content_type_(request, "application/json");
	evhttp_send_reply(request, status, NULL, out);
	evbuffer_free(out);
	free(text);
	json_decref(body);
}

static void reply_error_(struct evhttp_request *request, int status,
			 const char *text)
{
	reply_json_(request, status, json_pack("{s:s}", "error", text));
}

static const route_t *find_route_(const mmx_operator_t *server,
				  mmx_operator_method_t method,
				  const char *path)
{
	const route_t *route;

	SLIST_FOREACH (route, &server->routes, entry)
		if (route->method == method && strcmp(route->path, path) == 0)
			return route;
	return NULL;
}

/* Returns NULL if the query cannot be decoded. */
static json_t *parse_query_(const struct evhttp_uri *uri)
{
	const char *text = evhttp_uri_get_query(uri);
	json_t *query = json_object();
	struct evkeyvalq pairs;
	struct evkeyval *pair;

	if (!text || !*text)
		return query;
	if (evhttp_parse_query_str(text, &pairs) < 0) {
		json_decref(query);
		return NULL;
	}
	/* A value that is not valid UTF-8 is left out: json_string() returns
	 * NULL for it. */
	TAILQ_FOREACH (pair, &pairs, next)
		json_object_set_new(query, pair->key, json_string(pair->value));
	evhttp_clear_headers(&pairs);
	return query;
}

/* Returns false if the body is not JSON; the error response has been sent. */
static bool parse_body_(struct evhttp_request *request, json_t **body)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(request);
	size_t length = evbuffer_get_length(in);
	json_error_t error;
	char text[JSON_ERROR_CHARS_MAX + 64];

	*body = NULL;
	if (length == 0)
		return true;
	*body = json_loadb((const char *)evbuffer_pullup(in, -1), length,
			   JSON_REJECT_DUPLICATES, &error);
	if (*body)
		return true;
	snprintf(text, sizeof(text), "body is not JSON: line %d: %.*s",
		 error.line, JSON_ERROR_CHARS_MAX, error.text);
	reply_error_(request, HTTP_BADREQUEST, text);
	return false;
}

static void handle_route_(mmx_operator_t *server, const route_t *route,
			  struct evhttp_request *request)
{
	json_t *query = parse_query_(evhttp_request_get_evhttp_uri(request));
	json_t *body = NULL;
	json_t *response_body;

	if (!query) {
		reply_error_(request, HTTP_BADREQUEST, "malformed query");
	} else if (parse_body_(request, &body)) {
		mmx_operator_request_t call = {
			.query = query,
			.body = body,
			.status = HTTP_OK,
			.http = request,
			.server = server,
		};

		response_body = route->handler(&call, route->context);
		assert(!response_body || !call.deferred_reply);
		if (response_body)
			reply_json_(request, call.status, response_body);
		else if (!call.deferred_reply)
			reply_error_(request, HTTP_NOTFOUND, "not found");
	}
	json_decref(body);
	json_decref(query);
}

static void on_request_(struct evhttp_request *request, void *arg)
{
	mmx_operator_t *server = arg;
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
	const char *path = uri ? evhttp_uri_get_path(uri) : NULL;
	bool post = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
	const route_t *route;

	if (!path) {
		reply_error_(request, HTTP_BADREQUEST, "malformed request URI");
		return;
	}
	route = find_route_(server, post ? MMX_OPERATOR_POST : MMX_OPERATOR_GET,
			    path);
	if (route)
		handle_route_(server, route, request);
	else if (find_route_(server,
			     post ? MMX_OPERATOR_GET : MMX_OPERATOR_POST, path))
		reply_error_(request, HTTP_BADMETHOD, "method not allowed");
	else
		reply_error_(request, HTTP_NOTFOUND, "no such path");
}

mmx_operator_t *mmx_operator_create(mmx_runtime_t *runtime,
				    mmx_counters_t *counters)
{
	mmx_operator_t *server = g_new0(mmx_operator_t, 1);

	assert(mmx_runtime_base(runtime) && counters);
	server->base = mmx_runtime_base(runtime);
	server->counters = counters;
	SLIST_INIT(&server->routes);
	LIST_INIT(&server->deferred);
	server->heap_bytes =
		mmx_counters_get(counters, MMX_GAUGE, "masticmux_heap_bytes",
				 "", "Memory in use by the allocator.");
	server->resident_bytes = mmx_counters_get(
		counters, MMX_GAUGE, "masticmux_resident_bytes", "",
		"Resident size of the process.");
	return server;
}

/*
 * A request whose client has disconnected has no connection and is freed here;
 * libevent frees the others with their connection.
 */
static void free_deferred_(mmx_operator_t *server)
{
	mmx_operator_deferred_t *reply;

	while ((reply = LIST_FIRST(&server->deferred))) {
		LIST_REMOVE(reply, entry);
		if (!evhttp_request_get_connection(reply->request))
			evhttp_request_free(reply->request);
		g_free(reply);
	}
}

void mmx_operator_destroy(mmx_operator_t *server)
{
	route_t *route;

	if (!server)
		return;
	free_deferred_(server);
	if (server->server)
		evhttp_free(server->server);
	while ((route = SLIST_FIRST(&server->routes))) {
		SLIST_REMOVE_HEAD(&server->routes, entry);
		g_free(route->path);
		g_free(route);
	}
	g_free(server);
}

void mmx_operator_register(mmx_operator_t *server, mmx_operator_method_t method,
			   const char *path, mmx_operator_handler_t handler,
			   void *context)
{
	route_t *route = g_new0(route_t, 1);

	assert(path[0] == '/' && handler);
	assert(!find_route_(server, method, path));
	route->method = method;
	route->path = g_strdup(path);
	route->handler = handler;
	route->context = context;
	SLIST_INSERT_HEAD(&server->routes, route, entry);
}

mmx_operator_deferred_t *mmx_operator_defer(mmx_operator_request_t *request)
{
	mmx_operator_deferred_t *reply = g_new0(mmx_operator_deferred_t, 1);

	assert(!request->deferred_reply);
	reply->request = request->http;
	LIST_INSERT_HEAD(&request->server->deferred, reply, entry);
	request->deferred_reply = reply;
	return reply;
}

void mmx_operator_send_deferred(mmx_operator_deferred_t *reply, int status,
				json_t *body)
{
	LIST_REMOVE(reply, entry);
	/* evhttp frees a request without a connection and sends nothing. */
	reply_json_(reply->request, status, body);
	g_free(reply);
}

bool mmx_operator_init(mmx_operator_t *server, const mmx_address_t *address,
		       mmx_error_t *error)
{
	assert(!server->server);
	server->server = evhttp_new(server->base);
	mmx_http_guard_server(server->server);
	evhttp_set_max_body_size(server->server, BODY_BYTES_MAX);
	evhttp_set_max_headers_size(server->server, HEADER_BYTES_MAX);
	evhttp_set_timeout(server->server, CONNECTION_TIMEOUT_S);
	evhttp_set_allowed_methods(server->server,
				   EVHTTP_REQ_GET | EVHTTP_REQ_POST);
	evhttp_set_cb(server->server, "/metrics", on_metrics_, server);
	evhttp_set_cb(server->server, "/healthz", on_healthz_, server);
	evhttp_set_gencb(server->server, on_request_, server);
	return mmx_listen_http(server->server, address, &server->port, error);
}

bool mmx_operator_add_listener(mmx_operator_t *server,
			       const mmx_address_t *address, mmx_error_t *error)
{
	uint16_t port;

	return mmx_listen_http(server->server, address, &port, error);
}

uint16_t mmx_operator_port(const mmx_operator_t *server)
{
	return server->port;
}

void mmx_operator_set_ready(mmx_operator_t *server, bool (*ready)(void *arg),
			    void *arg)
{
	server->ready = ready;
	server->ready_arg = arg;
}

void mmx_operator_set_draining(mmx_operator_t *server, bool draining)
{
	server->draining = draining;
}
