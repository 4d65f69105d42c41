#include "private/http_client.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "private/backoff.h"
#include "private/idle_socket.h"

/* Maximum number of idle connections; a node has one long poll and a few short
 * calls in progress at a time. */
#define IDLE_MAX 4
/* Longest response head, bytes. */
#define HEADERS_MAX (16 * 1024)
/* Interim responses before the response to a call. evhttp adds up their
 * headers. */
#define INTERIM_MAX 8
#define STATUS_CONTINUE 100

typedef struct connection_t {
	LIST_ENTRY(connection_t) entry;
	struct evhttp_connection *http;
} connection_t;

typedef LIST_HEAD(connection_list_t, connection_t) connection_list_t;

typedef struct call_t {
	LIST_ENTRY(call_t) entry;
	mmx_http_client_t *client;
	mmx_timer_t timer; /* end of the back-off, then the timeout */
	connection_t *connection;
	struct evbuffer_cb_entry *watch; /* on the input of the connection */
	mmx_time_t started_at;
	mmx_http_usage_t usage;
	int interim_count;
	bool too_large; /* the response exceeds body_max */
	char *uri;
	char *type; /* NULL: GET */
	char *body;
	size_t length;
	mmx_time_t timeout;
	mmx_http_reply_fn_t fn;
	void *arg;
} call_t;

struct mmx_http_client_t {
	mmx_http_client_config_t config;
	mmx_random_t random;
	mmx_time_t backoff;	  /* latest delay; 0 after a success */
	mmx_time_t backoff_until; /* time before which no call starts */
	LIST_HEAD(, call_t) calls;
	connection_list_t idle;
	connection_list_t broken; /* to be freed */
	size_t idle_count;
	mmx_http_usage_t usage; /* of the call that ended last */
	mmx_timer_t free_timer;
};

static void free_connections_(connection_list_t *list)
{
	connection_t *connection;

	while ((connection = LIST_FIRST(list))) {
		LIST_REMOVE(connection, entry);
		evhttp_connection_free(connection->http);
		g_free(connection);
	}
}

static void on_free_timer_(void *arg)
{
	mmx_http_client_t *client = arg;

	free_connections_(&client->broken);
}

mmx_http_client_t *
mmx_http_client_create(const mmx_http_client_config_t *config)
{
	mmx_http_client_t *client = g_new0(mmx_http_client_t, 1);

	assert(config->base && config->clock && config->address.port);
	client->config = *config;
	mmx_random_seed(&client->random, config->seed);
	LIST_INIT(&client->calls);
	LIST_INIT(&client->idle);
	LIST_INIT(&client->broken);
	mmx_timer_init(&client->free_timer, config->clock, on_free_timer_,
		       client);
	return client;
}

static struct evbuffer *get_input_(const connection_t *connection)
{
	return bufferevent_get_input(
		evhttp_connection_get_bufferevent(connection->http));
}

/* Bound on the bytes of a response with its framing. evhttp limits neither a
 * chunk size line nor blank lines between chunks. */
static size_t received_max_(const mmx_http_client_t *client)
{
	return 2 * (HEADERS_MAX + client->config.body_max);
}

static void on_input_(struct evbuffer *input,
		      const struct evbuffer_cb_info *info, void *arg)
{
	call_t *call = arg;

	(void)input;
	if (info->n_added == 0)
		return;
	if (call->usage.received == 0)
		call->usage.first_byte =
			mmx_clock_now(call->client->config.clock) -
			call->started_at;
	call->usage.received += info->n_added;
	if (call->usage.received > received_max_(call->client)) {
		/* The timer ends the call; evhttp is in the middle of a read.
		 */
		call->too_large = true;
		bufferevent_disable(evhttp_connection_get_bufferevent(
					    call->connection->http),
				    EV_READ);
		mmx_timer_set(&call->timer, 0);
		return;
	}
	if (call->client->config.stall_timeout)
		mmx_timer_set(&call->timer, call->client->config.stall_timeout);
}

/* Takes the connection from a call, which no longer follows its input. */
static connection_t *detach_connection_(call_t *call)
{
	connection_t *connection = call->connection;

	evbuffer_remove_cb_entry(get_input_(connection), call->watch);
	call->watch = NULL;
	call->connection = NULL;
	return connection;
}

static void free_call_(call_t *call)
{
	mmx_timer_cancel(&call->timer);
	LIST_REMOVE(call, entry);
	g_free(call->uri);
	g_free(call->type);
	g_free(call->body);
	g_free(call);
}

void mmx_http_client_destroy(mmx_http_client_t *client)
{
	call_t *call;

	if (!client)
		return;
	while ((call = LIST_FIRST(&client->calls))) {
		if (call->connection) {
			evhttp_connection_free(call->connection->http);
			g_free(call->connection);
		}
		free_call_(call);
	}
	mmx_timer_cancel(&client->free_timer);
	free_connections_(&client->idle);
	free_connections_(&client->broken);
	g_free(client);
}

/* evhttp may still use a connection while it runs a callback, so a broken
 * connection is freed later by a timer. */
static void discard_connection_(mmx_http_client_t *client,
				connection_t *connection)
{
	LIST_INSERT_HEAD(&client->broken, connection, entry);
	mmx_timer_set(&client->free_timer, 0);
}

static void release_connection_(mmx_http_client_t *client,
				connection_t *connection)
{
	if (client->idle_count >= IDLE_MAX) {
		discard_connection_(client, connection);
		return;
	}
	LIST_INSERT_HEAD(&client->idle, connection, entry);
	client->idle_count++;
}

static bool is_reusable_(const connection_t *connection)
{
	struct bufferevent *bev =
		evhttp_connection_get_bufferevent(connection->http);

	/* Without a socket, evhttp connects again. */
	return bufferevent_getfd(bev) < 0
		       ? evbuffer_get_length(get_input_(connection)) == 0
		       : mmx_idle_socket_is_silent(bev);
}

static connection_t *acquire_connection_(mmx_http_client_t *client)
{
	const mmx_http_client_config_t *config = &client->config;
	connection_t *connection;

	while ((connection = LIST_FIRST(&client->idle))) {
		LIST_REMOVE(connection, entry);
		client->idle_count--;
		if (is_reusable_(connection))
			return connection;
		discard_connection_(client, connection);
	}
	connection = g_new0(connection_t, 1);
	connection->http = evhttp_connection_base_new(
		config->base, NULL, config->address.host, config->address.port);
	evhttp_connection_set_max_body_size(connection->http,
					    (ev_ssize_t)config->body_max);
	evhttp_connection_set_max_headers_size(connection->http, HEADERS_MAX);
	return connection;
}

void mmx_http_client_report_success(mmx_http_client_t *client)
{
	client->backoff = 0;
	client->backoff_until = mmx_clock_now(client->config.clock);
}

void mmx_http_client_report_failure(mmx_http_client_t *client)
{
	const mmx_http_client_config_t *config = &client->config;

	client->backoff_until =
		mmx_clock_now(config->clock) +
		mmx_backoff_with_jitter(&client->backoff, config->backoff_min,
					config->backoff_max, &client->random);
}

/* Ends a call whose connection has been released. The callback may start the
 * next call or destroy the client. */
static void end_call_(call_t *call, const mmx_http_reply_t *reply)
{
	mmx_http_reply_fn_t fn = call->fn;
	void *arg = call->arg;

	call->usage.duration =
		mmx_clock_now(call->client->config.clock) - call->started_at;
	call->client->usage = call->usage;
	free_call_(call);
	fn(arg, reply);
}

static void on_timeout_(void *arg)
{
	call_t *call = arg;
	connection_t *connection = detach_connection_(call);
	const mmx_http_reply_t too_large = {.too_large = true, .body = ""};

	/* Freed at once, so that a late response cannot access the freed
	 * call. */
	evhttp_connection_free(connection->http);
	g_free(connection);
	end_call_(call, call->too_large ? &too_large : NULL);
}

static void on_response_(struct evhttp_request *request, void *arg)
{
	call_t *call = arg;
	mmx_http_client_t *client = call->client;
	mmx_http_reply_t reply = {.too_large = call->too_large, .body = ""};
	connection_t *connection = detach_connection_(call);
	bool responded;
	struct evbuffer *input;

	if (request)
		reply.status = evhttp_request_get_response_code(request);
	responded = reply.status > 0 || reply.too_large;
	if (request && responded)
		reply.headers = evhttp_request_get_input_headers(request);
	if (reply.status > 0 && !reply.too_large)
		release_connection_(client, connection);
	else
		discard_connection_(client, connection);
	input = responded && request ? evhttp_request_get_input_buffer(request)
				     : NULL;
	if (input && !reply.too_large) {
		reply.length = evbuffer_get_length(input);
		if (reply.length)
			reply.body = (const char *)evbuffer_pullup(input, -1);
	}
	end_call_(call, responded ? &reply : NULL);
}

const char *mmx_http_reply_header(const mmx_http_reply_t *reply,
				  const char *name)
{
	return reply->headers ? evhttp_find_header(reply->headers, name) : NULL;
}

static void on_error_(enum evhttp_request_error error, void *arg)
{
	call_t *call = arg;

	if (error == EVREQ_HTTP_DATA_TOO_LONG)
		call->too_large = true;
}

/* Returns a negative value to close the connection. */
static int on_head_(struct evhttp_request *request, void *arg)
{
	call_t *call = arg;

	if (evhttp_request_get_response_code(request) != STATUS_CONTINUE)
		return 0;
	evhttp_clear_headers(evhttp_request_get_input_headers(request));
	return ++call->interim_count > INTERIM_MAX ? -1 : 0;
}

/* Detects a service that disappeared without resetting the connection. */
static void set_socket_timeouts_(mmx_http_client_t *client,
				 connection_t *connection)
{
	int fd = bufferevent_getfd(
		evhttp_connection_get_bufferevent(connection->http));
	int milliseconds =
		(int)(client->config.unacked_timeout / MMX_US_PER_MS);
	int seconds = MAX(milliseconds / 2000, 1);
	int on = 1;

	if (fd < 0 || milliseconds == 0)
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds,
		   sizeof(milliseconds));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
}

static void start_call_(void *arg)
{
	call_t *call = arg;
	mmx_http_client_t *client = call->client;
	struct evhttp_request *request = evhttp_request_new(on_response_, call);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
	char host[MMX_ADDRESS_TEXT_MAX + 1];

	mmx_timer_init(&call->timer, client->config.clock, on_timeout_, call);
	mmx_timer_set(&call->timer, call->timeout);
	call->started_at = mmx_clock_now(client->config.clock);
	call->connection = acquire_connection_(client);
	call->watch =
		evbuffer_add_cb(get_input_(call->connection), on_input_, call);
	evhttp_request_set_error_cb(request, on_error_);
	evhttp_request_set_header_cb(request, on_head_);
	mmx_address_format(&client->config.address, host, sizeof(host));
	evhttp_add_header(headers, "Host", host);
	if (call->type) {
		evhttp_add_header(headers, "Content-Type", call->type);
		evbuffer_add(evhttp_request_get_output_buffer(request),
			     call->body, call->length);
	}
	if (evhttp_make_request(call->connection->http, request,
				call->type ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
				call->uri) != 0) {
		/* evhttp has freed the request. The call ends through its
		 * timer, so that its callback runs from the event loop. */
		mmx_timer_set(&call->timer, 0);
		return;
	}
	set_socket_timeouts_(client, call->connection);
}

static call_t *new_call_(mmx_http_client_t *client, const char *uri,
			 mmx_time_t timeout, mmx_http_reply_fn_t fn, void *arg)
{
	call_t *call = g_new0(call_t, 1);

	assert(fn);
	call->client = client;
	call->uri = g_strdup(uri);
	call->timeout = timeout;
	call->fn = fn;
	call->arg = arg;
	LIST_INSERT_HEAD(&client->calls, call, entry);
	mmx_timer_init(&call->timer, client->config.clock, start_call_, call);
	mmx_timer_set(&call->timer, mmx_http_client_backoff_left(client));
	return call;
}

void mmx_http_client_get(mmx_http_client_t *client, const char *uri,
			 mmx_time_t timeout, mmx_http_reply_fn_t fn, void *arg)
{
	new_call_(client, uri, timeout, fn, arg);
}

void mmx_http_client_post(mmx_http_client_t *client, const char *uri,
			  const char *type, const char *body, size_t length,
			  mmx_time_t timeout, mmx_http_reply_fn_t fn, void *arg)
{
	call_t *call = new_call_(client, uri, timeout, fn, arg);

	call->type = g_strdup(type);
	call->body = g_memdup2(body, length);
	call->length = length;
}

const mmx_http_usage_t *mmx_http_client_usage(const mmx_http_client_t *client)
{
	return &client->usage;
}

mmx_time_t mmx_http_client_backoff_left(const mmx_http_client_t *client)
{
	mmx_time_t now = mmx_clock_now(client->config.clock);

	return client->backoff_until > now ? client->backoff_until - now : 0;
}
