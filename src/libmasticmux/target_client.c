#include "private/target_client.h"

#include <assert.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "private/http_head.h"
#include "private/listen.h"

#define CONNECTIONS_MAX 512
#define CONNECT_TIMEOUT (1 * MMX_US_PER_S)
#define IDLE_TIMEOUT (30 * MMX_US_PER_S)
/* Unread input per connection, bytes; must hold a whole head. */
#define INPUT_MAX (32 * 1024)
/* Output below which more of a request body is asked for, bytes. */
#define OUTPUT_LOW (64 * 1024)
/* Smallest credit worth a message while the body flows, bytes. */
#define CREDIT_STEP (32 * 1024)

typedef struct connection_t connection_t;

typedef TAILQ_HEAD(connection_list_t, connection_t) connection_list_t;

/* Connections to one address. */
typedef struct pool_t {
	char *key;
	connection_list_t idle; /* most recently used first */
	size_t count;		/* idle and in use */
} pool_t;

/* A connection and, while it is in use, the one call on it. */
struct connection_t {
	LIST_ENTRY(connection_t) entry;
	TAILQ_ENTRY(connection_t) idle_entry;
	mmx_target_client_t *client;
	pool_t *pool;
	struct bufferevent *bev;
	mmx_timer_t timer; /* of the connect, the call or the idle time */
	bool connected;
	bool ended; /* the target has closed its side */
	bool in_use;
	/* the call */
	mmx_attempt_id_t attempt;
	mmx_time_t deadline;
	size_t sent; /* bytes of the request given to the socket */
	mmx_http_framing_t framing;
	uint64_t remaining; /* of the request body, if framed by length */
	bool request_end;
	size_t uncredited; /* body bytes taken and not yet granted again */
	mmx_http_reader_t reader;
	bool head_posted;
	bool whole; /* the response has been read to the end */
	struct evbuffer *received;
	size_t credit; /* body bytes that the exit can take */
};

struct mmx_target_client_t {
	mmx_task_t task;
	mmx_task_t *exit;
	struct event_base *base;
	mmx_clock_t *clock;
	size_t connections_max;
	mmx_time_t connect_timeout;
	mmx_time_t idle_timeout;
	bool initialised;
	GHashTable *pools; /* address -> pool_t */
	GHashTable *calls; /* attempt -> connection_t */
	LIST_HEAD(, connection_t) connections;
	size_t connection_count;
	mmx_counter_t *connection_gauge;
	mmx_counter_t *connects;
	mmx_counter_t *reuses;
	mmx_counter_t *stale_messages;
	mmx_counter_t *results[MMX_CALL_RESULT_COUNT];
	mmx_counter_t *broken_bodies;
};

static guint hash_attempt_(gconstpointer key)
{
	const mmx_attempt_id_t *id = key;
	uint64_t hash = id->sequence * 0x9e3779b97f4a7c15ULL ^ id->entry ^
			id->incarnation;

	return (guint)(hash ^ (hash >> 32));
}

static gboolean equal_attempts_(gconstpointer a, gconstpointer b)
{
	const mmx_attempt_id_t *left = a;
	const mmx_attempt_id_t *right = b;

	return left->sequence == right->sequence &&
	       left->entry == right->entry &&
	       left->incarnation == right->incarnation;
}

static void free_pool_(gpointer data)
{
	pool_t *pool = data;

	assert(pool->count == 0);
	g_free(pool->key);
	g_free(pool);
}

static struct evbuffer *output_(const connection_t *connection)
{
	return bufferevent_get_output(connection->bev);
}

static struct evbuffer *input_(const connection_t *connection)
{
	return bufferevent_get_input(connection->bev);
}

static void release_call_(connection_t *connection)
{
	if (!connection->in_use)
		return;
	g_hash_table_remove(connection->client->calls, &connection->attempt);
	connection->in_use = false;
	mmx_timer_cancel(&connection->timer);
	evbuffer_drain(connection->received,
		       evbuffer_get_length(connection->received));
}

/* Counts the bytes that have left for the socket. */
static void on_output_(struct evbuffer *buffer,
		       const struct evbuffer_cb_info *info, void *arg)
{
	connection_t *connection = arg;

	connection->sent += info->n_deleted;
}

static void close_(connection_t *connection)
{
	mmx_target_client_t *client = connection->client;
	pool_t *pool = connection->pool;

	if (!connection->in_use)
		TAILQ_REMOVE(&pool->idle, connection, idle_entry);
	release_call_(connection);
	mmx_timer_cancel(&connection->timer);
	LIST_REMOVE(connection, entry);
	client->connection_count--;
	mmx_counter_set(client->connection_gauge,
			(int64_t)client->connection_count);
	if (--pool->count == 0)
		g_hash_table_remove(client->pools, pool->key);
	evbuffer_remove_cb(output_(connection), on_output_, connection);
	bufferevent_free(connection->bev);
	mmx_http_reader_finish(&connection->reader);
	evbuffer_free(connection->received);
	g_free(connection);
}

static void post_result_(mmx_target_client_t *client,
			 const mmx_attempt_id_t *attempt,
			 mmx_call_result_t result)
{
	mmx_counter_add(client->results[result], 1);
	mmx_task_post(client->exit,
		      &mmx_new_call_event(attempt, result)->message);
}

/* Ends the call without a complete response and closes the connection. */
static void fail_(connection_t *connection)
{
	mmx_target_client_t *client = connection->client;
	mmx_body_t *body;

	if (connection->head_posted) {
		body = mmx_new_body(MMX_TO_CALLER);
		body->attempt = connection->attempt;
		body->end = true;
		body->failed = true;
		mmx_counter_add(client->broken_bodies, 1);
		mmx_task_post(client->exit, &body->message);
	} else {
		post_result_(client, &connection->attempt,
			     connection->sent ? MMX_CALL_FAILED
					      : MMX_CALL_NOT_SENT);
	}
	close_(connection);
}

static void make_idle_(connection_t *connection)
{
	release_call_(connection);
	TAILQ_INSERT_HEAD(&connection->pool->idle, connection, idle_entry);
	mmx_timer_set(&connection->timer, connection->client->idle_timeout);
}

/* The whole response has been posted: keeps or closes the connection. */
static void finish_call_(connection_t *connection)
{
	bool reusable = connection->reader.keep_alive && !connection->ended &&
			connection->request_end &&
			evbuffer_get_length(output_(connection)) == 0 &&
			evbuffer_get_length(input_(connection)) == 0;

	if (reusable)
		make_idle_(connection);
	else
		close_(connection);
}

/* Posts what was received, as far as the exit's credit goes. */
static void forward_(connection_t *connection)
{
	mmx_task_t *exit = connection->client->exit;
	size_t held = evbuffer_get_length(connection->received);
	size_t part = MIN(held, connection->credit);
	bool end = connection->whole && part == held;

	if (!connection->head_posted && !connection->reader.head)
		return;
	if (connection->head_posted && part == 0 && !end)
		return;
	connection->credit -= part;
	if (!connection->head_posted) {
		mmx_call_event_t *event =
			mmx_new_call_event(&connection->attempt, MMX_CALL_HEAD);

		event->head = g_steal_pointer(&connection->reader.head);
		mmx_head_remove_hop_by_hop(event->head);
		evbuffer_remove_buffer(connection->received, event->body, part);
		event->body_end = end;
		connection->head_posted = true;
		mmx_counter_add(connection->client->results[MMX_CALL_HEAD], 1);
		mmx_task_post(exit, &event->message);
	} else {
		mmx_body_t *body = mmx_new_body(MMX_TO_CALLER);

		body->attempt = connection->attempt;
		evbuffer_remove_buffer(connection->received, body->data, part);
		body->end = end;
		mmx_task_post(exit, &body->message);
	}
	if (end)
		finish_call_(connection);
}

static mmx_http_event_t read_step_(connection_t *connection)
{
	mmx_http_event_t event = mmx_http_reader_run(
		&connection->reader, input_(connection), connection->received);

	if (event == MMX_HTTP_MORE && connection->ended)
		event = mmx_http_reader_eof(&connection->reader);
	return event;
}

/* Reads the response as far as input and credit allow. */
static void feed_(connection_t *connection)
{
	mmx_http_event_t event = MMX_HTTP_DATA;
	size_t held = evbuffer_get_length(connection->received);

	while (!connection->whole && event != MMX_HTTP_MORE &&
	       (held == 0 || held < connection->credit)) {
		event = read_step_(connection);
		if (event == MMX_HTTP_FAILED) {
			fail_(connection);
			return;
		}
		connection->whole = event == MMX_HTTP_END;
		held = evbuffer_get_length(connection->received);
	}
	forward_(connection);
}

static void grant_(connection_t *connection)
{
	size_t waiting = evbuffer_get_length(output_(connection));
	size_t credit;
	mmx_window_t *window;

	if (connection->request_end || connection->uncredited <= waiting)
		return;
	credit = connection->uncredited - waiting;
	if (credit < CREDIT_STEP && waiting > 0)
		return;
	connection->uncredited -= credit;
	window = mmx_new_window(MMX_TO_TARGET, (uint32_t)credit);
	window->attempt = connection->attempt;
	mmx_task_post(connection->client->exit, &window->message);
}

static void on_read_(struct bufferevent *bev, void *arg)
{
	connection_t *connection = arg;

	/* Bytes that answer no request: the stream cannot be trusted. */
	if (!connection->in_use)
		close_(connection);
	else
		feed_(connection);
}

static void on_write_(struct bufferevent *bev, void *arg)
{
	connection_t *connection = arg;

	if (connection->in_use)
		grant_(connection);
}

static void on_connected_(connection_t *connection)
{
	mmx_time_t now = mmx_clock_now(connection->client->clock);

	connection->connected = true;
	mmx_timer_set(&connection->timer, connection->deadline - now);
}

static void on_event_(struct bufferevent *bev, short what, void *arg)
{
	connection_t *connection = arg;

	if (what & BEV_EVENT_CONNECTED) {
		on_connected_(connection);
	} else if (!connection->in_use) {
		close_(connection);
	} else if (what & BEV_EVENT_EOF) {
		/* What was read before may still complete the response. */
		connection->ended = true;
		feed_(connection);
	} else {
		fail_(connection);
	}
}

static void on_timer_(void *arg)
{
	connection_t *connection = arg;

	if (connection->in_use)
		fail_(connection);
	else
		close_(connection);
}

static pool_t *get_pool_(mmx_target_client_t *client,
			 const mmx_address_t *address)
{
	char key[MMX_ADDRESS_MAX + 9];
	pool_t *pool;

	snprintf(key, sizeof(key), "%s %u", address->host, address->port);
	pool = g_hash_table_lookup(client->pools, key);
	if (!pool) {
		pool = g_new0(pool_t, 1);
		pool->key = g_strdup(key);
		TAILQ_INIT(&pool->idle);
		g_hash_table_insert(client->pools, pool->key, pool);
	}
	return pool;
}

static connection_t *connect_(mmx_target_client_t *client, pool_t *pool,
			      const mmx_address_t *address)
{
	connection_t *connection = g_new0(connection_t, 1);
	struct sockaddr_storage socket_address;
	int length = mmx_socket_address(address, &socket_address);

	connection->client = client;
	connection->pool = pool;
	connection->received = evbuffer_new();
	connection->in_use = true;
	mmx_http_reader_init(&connection->reader, MMX_HTTP_RESPONSE);
	mmx_timer_init(&connection->timer, client->clock, on_timer_,
		       connection);
	connection->bev = bufferevent_socket_new(
		client->base, -1,
		BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(connection->bev, on_read_, on_write_, on_event_,
			  connection);
	bufferevent_setwatermark(connection->bev, EV_READ, 0, INPUT_MAX);
	bufferevent_setwatermark(connection->bev, EV_WRITE, OUTPUT_LOW, 0);
	evbuffer_add_cb(output_(connection), on_output_, connection);
	LIST_INSERT_HEAD(&client->connections, connection, entry);
	client->connection_count++;
	pool->count++;
	mmx_counter_set(client->connection_gauge,
			(int64_t)client->connection_count);
	mmx_counter_add(client->connects, 1);
	if (length == 0 ||
	    bufferevent_socket_connect(connection->bev,
				       (struct sockaddr *)&socket_address,
				       length) < 0) {
		close_(connection);
		return NULL;
	}
	return connection;
}

/* False if the target has closed the connection or sent something on it. */
static bool is_quiet_(const connection_t *connection)
{
	char byte;
	ssize_t got = recv(bufferevent_getfd(connection->bev), &byte, 1,
			   MSG_PEEK | MSG_DONTWAIT);

	return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

static connection_t *take_idle_(mmx_target_client_t *client, pool_t *pool)
{
	connection_t *connection;
	connection_t *next;

	for (connection = TAILQ_FIRST(&pool->idle); connection;
	     connection = next) {
		next = TAILQ_NEXT(connection, idle_entry);
		if (is_quiet_(connection)) {
			TAILQ_REMOVE(&pool->idle, connection, idle_entry);
			mmx_timer_cancel(&connection->timer);
			connection->in_use = true;
			mmx_counter_add(client->reuses, 1);
			return connection;
		}
		/* The pool lives on: it is about to get a connection. */
		pool->count++;
		close_(connection);
		pool->count--;
	}
	return NULL;
}

static connection_t *acquire_(mmx_target_client_t *client,
			      const mmx_address_t *address)
{
	pool_t *pool = get_pool_(client, address);
	connection_t *connection = take_idle_(client, pool);

	if (connection)
		return connection;
	if (pool->count >= client->connections_max)
		return NULL;
	return connect_(client, pool, address);
}

static bool expects_body_(const char *method)
{
	return strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0 ||
	       strcmp(method, "PATCH") == 0;
}

/* Decides how the request body is framed, and writes that. */
static void frame_request_(connection_t *connection, const mmx_call_t *call)
{
	struct evbuffer *out = output_(connection);
	uint64_t length = evbuffer_get_length(call->body);
	bool known = call->body_end;

	connection->framing = MMX_HTTP_NO_BODY;
	if (known && length == 0 && !expects_body_(call->head->method))
		return;
	if (!known)
		known = mmx_http_content_length(call->head, &length);
	if (known) {
		connection->framing = MMX_HTTP_LENGTH;
		connection->remaining = length;
		evbuffer_add_printf(out, "Content-Length: %" PRIu64 "\r\n",
				    length);
	} else {
		connection->framing = MMX_HTTP_CHUNKED;
		mmx_http_write_header(out, "Transfer-Encoding", "chunked");
	}
}

/* Writes a part of the request body; false if it is not what was announced. */
static bool write_part_(connection_t *connection, struct evbuffer *data,
			bool end)
{
	size_t length = evbuffer_get_length(data);
	struct evbuffer *out = output_(connection);

	if (connection->framing != MMX_HTTP_CHUNKED) {
		if (length > connection->remaining)
			return false;
		connection->remaining -= length;
		if (end && connection->remaining > 0)
			return false;
	}
	connection->uncredited += length;
	if (connection->framing == MMX_HTTP_CHUNKED)
		mmx_http_write_chunk(out, data);
	else
		evbuffer_add_buffer(out, data);
	if (end && connection->framing == MMX_HTTP_CHUNKED)
		mmx_http_write_last_chunk(out);
	connection->request_end = end;
	return true;
}

static void start_call_(connection_t *connection, mmx_call_t *call)
{
	mmx_target_client_t *client = connection->client;
	struct evbuffer *out = output_(connection);
	mmx_time_t wait = call->remaining;

	connection->attempt = call->attempt;
	connection->deadline = mmx_clock_now(client->clock) + call->remaining;
	connection->sent = 0;
	connection->remaining = 0;
	connection->request_end = false;
	connection->uncredited = 0;
	connection->head_posted = false;
	connection->whole = false;
	connection->credit = MMX_WINDOW_BYTES;
	mmx_http_reader_reset(&connection->reader);
	connection->reader.without_body =
		strcmp(call->head->method, "HEAD") == 0;
	g_hash_table_insert(client->calls, &connection->attempt, connection);
	if (!connection->connected)
		wait = MIN(wait, client->connect_timeout);
	mmx_timer_set(&connection->timer, wait);
	mmx_head_remove_hop_by_hop(call->head);
	evbuffer_add_printf(out, "%s %s HTTP/1.1\r\n", call->head->method,
			    call->head->uri);
	mmx_http_write_headers(out, call->head);
	frame_request_(connection, call);
	evbuffer_add(out, "\r\n", 2);
	bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
	if (!write_part_(connection, call->body, call->body_end))
		fail_(connection);
}

static void handle_call_(mmx_target_client_t *client, mmx_call_t *call)
{
	connection_t *connection = NULL;

	assert(client->initialised);
	assert(!g_hash_table_contains(client->calls, &call->attempt));
	if (call->remaining > 0)
		connection = acquire_(client, &call->address);
	if (connection)
		start_call_(connection, call);
	else
		post_result_(client, &call->attempt, MMX_CALL_NOT_SENT);
}

static connection_t *find_(mmx_target_client_t *client,
			   const mmx_attempt_id_t *attempt)
{
	connection_t *connection = g_hash_table_lookup(client->calls, attempt);

	if (!connection)
		mmx_counter_add(client->stale_messages, 1);
	return connection;
}

static void handle_body_(mmx_target_client_t *client, mmx_body_t *body)
{
	connection_t *connection = find_(client, &body->attempt);

	assert(body->direction == MMX_TO_TARGET);
	if (!connection || connection->request_end)
		return;
	/* A request body that breaks off must not look complete. */
	if (body->failed || !write_part_(connection, body->data, body->end))
		fail_(connection);
	else
		grant_(connection);
}

static void handle_window_(mmx_target_client_t *client, mmx_window_t *window)
{
	connection_t *connection = find_(client, &window->attempt);

	assert(window->direction == MMX_TO_CALLER);
	if (!connection)
		return;
	connection->credit += window->credit;
	feed_(connection);
}

static void handle_cancel_(mmx_target_client_t *client,
			   mmx_call_cancel_t *cancel)
{
	connection_t *connection = find_(client, &cancel->attempt);

	if (connection)
		close_(connection);
}

static void handle_(mmx_task_t *task, mmx_message_t *message)
{
	mmx_target_client_t *client = (mmx_target_client_t *)task;

	switch (message->ops->kind) {
	case MMX_MESSAGE_CALL:
		handle_call_(client, (mmx_call_t *)message);
		break;
	case MMX_MESSAGE_BODY:
		handle_body_(client, (mmx_body_t *)message);
		break;
	case MMX_MESSAGE_WINDOW:
		handle_window_(client, (mmx_window_t *)message);
		break;
	case MMX_MESSAGE_CALL_CANCEL:
		handle_cancel_(client, (mmx_call_cancel_t *)message);
		break;
	default:
		assert(!"message that target_client does not take");
	}
	mmx_message_destroy(message);
}

static const mmx_task_ops_t ops_ = {"target_client", handle_};

static void register_counters_(mmx_target_client_t *client,
			       mmx_counters_t *counters)
{
	char labels[64];
	int i;

	client->connection_gauge = mmx_counters_get(
		counters, MMX_GAUGE, "masticmux_target_connections", "",
		"Open connections to targets.");
	client->connects = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_target_connects_total", "",
		"Connections opened to targets.");
	client->reuses = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_target_reuses_total", "",
		"Calls on a connection that was open.");
	client->stale_messages = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_target_stale_messages_total",
		"", "Messages for calls that had ended.");
	client->broken_bodies = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_target_broken_bodies_total",
		"", "Responses that broke off after their head.");
	for (i = 0; i < MMX_CALL_RESULT_COUNT; i++) {
		snprintf(labels, sizeof(labels), "result=\"%s\"",
			 mmx_call_result_string[i]);
		client->results[i] = mmx_counters_get(
			counters, MMX_COUNTER, "masticmux_target_calls_total",
			labels, "Calls of targets by result.");
	}
}

mmx_target_client_t *mmx_target_client_create(mmx_runtime_t *runtime,
					      mmx_task_t *exit,
					      mmx_counters_t *counters)
{
	mmx_target_client_t *client = g_new0(mmx_target_client_t, 1);

	assert(mmx_runtime_base(runtime) && exit);
	mmx_task_init(&client->task, &ops_, runtime);
	client->exit = exit;
	client->base = mmx_runtime_base(runtime);
	client->clock = mmx_runtime_clock(runtime);
	client->connections_max = CONNECTIONS_MAX;
	client->connect_timeout = CONNECT_TIMEOUT;
	client->idle_timeout = IDLE_TIMEOUT;
	client->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      free_pool_);
	client->calls = g_hash_table_new(hash_attempt_, equal_attempts_);
	LIST_INIT(&client->connections);
	if (counters)
		register_counters_(client, counters);
	return client;
}

void mmx_target_client_destroy(mmx_target_client_t *client)
{
	connection_t *connection;

	if (!client)
		return;
	while ((connection = LIST_FIRST(&client->connections)))
		close_(connection);
	g_hash_table_destroy(client->calls);
	g_hash_table_destroy(client->pools);
	mmx_task_finish(&client->task);
	g_free(client);
}

bool mmx_target_client_set_connections_max(mmx_target_client_t *client,
					   size_t max)
{
	assert(max > 0);
	if (client->initialised)
		return false;
	client->connections_max = max;
	return true;
}

bool mmx_target_client_set_connect_timeout(mmx_target_client_t *client,
					   mmx_time_t timeout)
{
	assert(timeout > 0);
	if (client->initialised)
		return false;
	client->connect_timeout = timeout;
	return true;
}

bool mmx_target_client_set_idle_timeout(mmx_target_client_t *client,
					mmx_time_t timeout)
{
	assert(timeout > 0);
	if (client->initialised)
		return false;
	client->idle_timeout = timeout;
	return true;
}

void mmx_target_client_init(mmx_target_client_t *client)
{
	assert(!client->initialised);
	client->initialised = true;
}

mmx_task_t *mmx_target_client_task(mmx_target_client_t *client)
{
	return &client->task;
}

size_t mmx_target_client_calls(const mmx_target_client_t *client)
{
	return g_hash_table_size(client->calls);
}

size_t mmx_target_client_connections(const mmx_target_client_t *client)
{
	return client->connection_count;
}
