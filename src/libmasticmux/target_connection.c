#include "private/target_connection.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "private/http_head.h"
#include "private/http_writer.h"
#include "private/listen.h"

/* Unread input per connection, bytes; must hold a whole head. */
#define INPUT_MAX (32 * 1024)
/* Output below which more of a request body is asked for, bytes. */
#define OUTPUT_LOW (64 * 1024)

/* A connection is closed this long before its target would close it: targets
 * count whole seconds. */
#define KEEP_ALIVE_MARGIN (1 * MMX_US_PER_S)
/* Longer times than an hour are not believed. */
#define KEEP_ALIVE_MAX_S 3600

/* A connection and, while it is in use, the one call on it. */
struct mmx_target_connection_t {
	LIST_ENTRY(mmx_target_connection_t) entry;
	TAILQ_ENTRY(mmx_target_connection_t) idle_entry;
	mmx_target_shared_t *shared;
	mmx_target_pool_t *pool;
	struct bufferevent *bev;
	mmx_timer_t timer; /* of the connect, the call or the idle time */
	bool connected;
	bool ended;   /* the target has closed its side */
	bool stopped; /* reading is disabled */
	bool in_use;
	mmx_time_t idle_since;
	mmx_time_t keep_alive; /* as the target tells; 0: not known */
	/* the call */
	mmx_attempt_id_t attempt;
	mmx_time_t deadline;
	size_t sent; /* bytes of the request given to the socket */
	mmx_http_writer_t writer;
	bool request_end; /* the request body has been taken to the end */
	mmx_http_reader_t reader;
	bool head_posted;
	bool whole; /* the response has been read to the end */
	struct evbuffer *received;
	size_t credit; /* body bytes that the exit can take */
};

static struct evbuffer *output_(const mmx_target_connection_t *connection)
{
	return bufferevent_get_output(connection->bev);
}

static struct evbuffer *input_(const mmx_target_connection_t *connection)
{
	return bufferevent_get_input(connection->bev);
}

static void release_call_(mmx_target_connection_t *connection)
{
	if (!connection->in_use)
		return;
	g_hash_table_remove(connection->shared->calls, &connection->attempt);
	connection->in_use = false;
	mmx_timer_cancel(&connection->timer);
	evbuffer_drain(connection->received,
		       evbuffer_get_length(connection->received));
}

/* Counts the bytes that have left for the socket. */
static void on_output_(struct evbuffer *buffer,
		       const struct evbuffer_cb_info *info, void *arg)
{
	mmx_target_connection_t *connection = arg;

	connection->sent += info->n_deleted;
}

void mmx_target_connection_close(mmx_target_connection_t *connection)
{
	mmx_target_shared_t *shared = connection->shared;
	mmx_target_pool_t *pool = connection->pool;

	if (!connection->in_use)
		TAILQ_REMOVE(&pool->idle, connection, idle_entry);
	release_call_(connection);
	mmx_timer_cancel(&connection->timer);
	LIST_REMOVE(connection, entry);
	shared->connection_count--;
	mmx_counter_set(shared->connection_gauge,
			(int64_t)shared->connection_count);
	if (--pool->count == 0)
		g_hash_table_remove(shared->pools, pool->key);
	evbuffer_remove_cb(output_(connection), on_output_, connection);
	bufferevent_free(connection->bev);
	mmx_http_reader_finish(&connection->reader);
	evbuffer_free(connection->received);
	g_free(connection);
}

void mmx_target_post_result(mmx_target_shared_t *shared,
			    const mmx_attempt_id_t *attempt,
			    mmx_call_result_t result)
{
	mmx_counter_add(shared->results[result], 1);
	mmx_task_post(shared->exit,
		      &mmx_new_call_event(attempt, result)->message);
}

/* Ends the call without a complete response and closes the connection. */
static void fail_(mmx_target_connection_t *connection)
{
	mmx_target_shared_t *shared = connection->shared;
	mmx_body_t *body;

	if (connection->head_posted) {
		body = mmx_new_body(MMX_TO_CALLER);
		body->attempt = connection->attempt;
		body->end = true;
		body->failed = true;
		mmx_counter_add(shared->truncated_bodies, 1);
		mmx_task_post(shared->exit, &body->message);
	} else {
		mmx_target_post_result(shared, &connection->attempt,
				       connection->sent ? MMX_CALL_FAILED
							: MMX_CALL_NOT_SENT);
	}
	mmx_target_connection_close(connection);
}

/* Closes before the target does, so that no request meets its close. */
static mmx_time_t idle_time_(const mmx_target_connection_t *connection)
{
	mmx_time_t most = connection->shared->idle_timeout;

	if (connection->keep_alive <= 0)
		return most;
	return MIN(most, MAX(connection->keep_alive - KEEP_ALIVE_MARGIN,
			     connection->keep_alive / 2));
}

/* The time that the target keeps an unused connection, if it tells. */
static void note_keep_alive_(mmx_target_connection_t *connection,
			     const mmx_head_t *head)
{
	const char *value = mmx_head_find(head, "Keep-Alive");
	const char *timeout = value ? strstr(value, "timeout=") : NULL;
	guint64 seconds;

	if (!timeout)
		return;
	seconds = g_ascii_strtoull(timeout + strlen("timeout="), NULL, 10);
	if (seconds > 0 && seconds <= KEEP_ALIVE_MAX_S)
		connection->keep_alive = (mmx_time_t)seconds * MMX_US_PER_S;
}

static void make_idle_(mmx_target_connection_t *connection)
{
	release_call_(connection);
	connection->idle_since = mmx_clock_now(connection->shared->clock);
	TAILQ_INSERT_HEAD(&connection->pool->idle, connection, idle_entry);
	mmx_timer_set(&connection->timer, idle_time_(connection));
}

/* The whole response has been posted: keeps or closes the connection. */
static void finish_call_(mmx_target_connection_t *connection)
{
	bool reusable = connection->reader.keep_alive && !connection->ended &&
			connection->request_end &&
			evbuffer_get_length(output_(connection)) == 0 &&
			evbuffer_get_length(input_(connection)) == 0;

	if (reusable)
		make_idle_(connection);
	else
		mmx_target_connection_close(connection);
}

/* Posts what was received, as far as the exit's credit goes. */
static void forward_(mmx_target_connection_t *connection)
{
	mmx_task_t *exit = connection->shared->exit;
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
		note_keep_alive_(connection, event->head);
		mmx_head_remove_hop_by_hop(event->head);
		evbuffer_remove_buffer(connection->received, event->body, part);
		event->body_end = end;
		connection->head_posted = true;
		mmx_counter_add(connection->shared->results[MMX_CALL_HEAD], 1);
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

static mmx_http_event_t read_step_(mmx_target_connection_t *connection)
{
	mmx_http_event_t event = mmx_http_reader_run(
		&connection->reader, input_(connection), connection->received);

	if (event == MMX_HTTP_MORE && connection->ended)
		event = mmx_http_reader_eof(&connection->reader);
	return event;
}

/*
 * Stops reading while there is much unread input. A high watermark is no
 * means for this: libevent 2.1.12 calls the read callback again and again
 * while the input stays at it.
 */
static void limit_input_(mmx_target_connection_t *connection)
{
	bool stop = evbuffer_get_length(input_(connection)) >= INPUT_MAX;

	if (stop == connection->stopped)
		return;
	connection->stopped = stop;
	if (stop)
		bufferevent_disable(connection->bev, EV_READ);
	else
		bufferevent_enable(connection->bev, EV_READ);
}

/* Reads the response as far as input and credit allow. */
static void feed_(mmx_target_connection_t *connection)
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
	limit_input_(connection);
	forward_(connection);
}

static void grant_(mmx_target_connection_t *connection)
{
	uint32_t credit;
	mmx_window_t *window;

	if (connection->request_end)
		return;
	credit = mmx_http_writer_take_credit(&connection->writer,
					     output_(connection));
	if (credit == 0)
		return;
	window = mmx_new_window(MMX_TO_TARGET, credit);
	window->attempt = connection->attempt;
	mmx_task_post(connection->shared->exit, &window->message);
}

static void on_read_(struct bufferevent *bev, void *arg)
{
	mmx_target_connection_t *connection = arg;

	/* Bytes that answer no request: the stream cannot be trusted. */
	if (!connection->in_use)
		mmx_target_connection_close(connection);
	else
		feed_(connection);
}

static void on_write_(struct bufferevent *bev, void *arg)
{
	mmx_target_connection_t *connection = arg;

	if (connection->in_use)
		grant_(connection);
}

static void on_connected_(mmx_target_connection_t *connection)
{
	mmx_time_t now = mmx_clock_now(connection->shared->clock);

	connection->connected = true;
	mmx_timer_set(&connection->timer, connection->deadline - now);
}

static void on_event_(struct bufferevent *bev, short what, void *arg)
{
	mmx_target_connection_t *connection = arg;

	if (what & BEV_EVENT_CONNECTED) {
		on_connected_(connection);
	} else if (!connection->in_use) {
		mmx_target_connection_close(connection);
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
	mmx_target_connection_t *connection = arg;

	if (connection->in_use)
		fail_(connection);
	else
		mmx_target_connection_close(connection);
}

static void set_no_delay_(struct bufferevent *socket)
{
	int on = 1;

	/* Parts of a body must not wait for the acknowledgement of the part
	 * before, which the target may delay by 40 ms. */
	setsockopt(bufferevent_getfd(socket), IPPROTO_TCP, TCP_NODELAY, &on,
		   sizeof(on));
}

mmx_target_connection_t *
mmx_target_connection_open(mmx_target_shared_t *shared, mmx_target_pool_t *pool,
			   const mmx_address_t *address)
{
	mmx_target_connection_t *connection =
		g_new0(mmx_target_connection_t, 1);
	struct sockaddr_storage socket_address;
	socklen_t length = mmx_address_to_sockaddr(address, &socket_address);

	connection->shared = shared;
	connection->pool = pool;
	connection->received = evbuffer_new();
	connection->in_use = true;
	mmx_http_reader_init(&connection->reader, MMX_HTTP_RESPONSE);
	mmx_timer_init(&connection->timer, shared->clock, on_timer_,
		       connection);
	connection->bev = bufferevent_socket_new(
		shared->base, -1,
		BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(connection->bev, on_read_, on_write_, on_event_,
			  connection);
	bufferevent_setwatermark(connection->bev, EV_WRITE, OUTPUT_LOW, 0);
	evbuffer_add_cb(output_(connection), on_output_, connection);
	LIST_INSERT_HEAD(&shared->connections, connection, entry);
	shared->connection_count++;
	pool->count++;
	mmx_counter_set(shared->connection_gauge,
			(int64_t)shared->connection_count);
	mmx_counter_add(shared->connects, 1);
	if (length == 0 ||
	    bufferevent_socket_connect(connection->bev,
				       (struct sockaddr *)&socket_address,
				       (int)length) < 0) {
		mmx_target_connection_close(connection);
		return NULL;
	}
	set_no_delay_(connection->bev);
	return connection;
}

/* False if the target has closed the connection or sent something on it. */
static bool is_quiet_(const mmx_target_connection_t *connection)
{
	char byte;
	ssize_t got = recv(bufferevent_getfd(connection->bev), &byte, 1,
			   MSG_PEEK | MSG_DONTWAIT);

	return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

mmx_target_connection_t *
mmx_target_connection_reuse(mmx_target_shared_t *shared,
			    mmx_target_pool_t *pool, mmx_time_t max_idle)
{
	mmx_time_t now = mmx_clock_now(shared->clock);
	mmx_target_connection_t *connection;
	mmx_target_connection_t *next;

	for (connection = TAILQ_FIRST(&pool->idle); connection;
	     connection = next) {
		next = TAILQ_NEXT(connection, idle_entry);
		/* The others have been idle even longer. */
		if (now - connection->idle_since > max_idle)
			return NULL;
		if (is_quiet_(connection)) {
			TAILQ_REMOVE(&pool->idle, connection, idle_entry);
			mmx_timer_cancel(&connection->timer);
			connection->in_use = true;
			mmx_counter_add(shared->reuses, 1);
			return connection;
		}
		/* The pool lives on: it is about to get a connection. */
		pool->count++;
		mmx_target_connection_close(connection);
		pool->count--;
	}
	return NULL;
}

static bool expects_body_(const char *method)
{
	return strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0 ||
	       strcmp(method, "PATCH") == 0;
}

/* Decides how the request body is framed, and writes that. */
static void frame_request_(mmx_target_connection_t *connection,
			   const mmx_call_t *call)
{
	struct evbuffer *out = output_(connection);
	uint64_t length = evbuffer_get_length(call->body);
	bool known = call->body_end;

	mmx_http_writer_init(&connection->writer, MMX_HTTP_NO_BODY, 0);
	if (known && length == 0 && !expects_body_(call->head->method))
		return;
	if (!known)
		known = mmx_http_content_length(call->head, &length);
	if (known) {
		mmx_http_writer_init(&connection->writer, MMX_HTTP_LENGTH,
				     length);
		evbuffer_add_printf(out, "Content-Length: %" PRIu64 "\r\n",
				    length);
	} else {
		mmx_http_writer_init(&connection->writer, MMX_HTTP_CHUNKED, 0);
		mmx_http_write_header(out, "Transfer-Encoding", "chunked");
	}
}

/* Writes a part of the request body; false if it is not what was announced. */
static bool write_part_(mmx_target_connection_t *connection,
			struct evbuffer *data, bool end)
{
	if (!mmx_http_writer_add(&connection->writer, data, end,
				 output_(connection)))
		return false;
	connection->request_end = end;
	return true;
}

void mmx_target_connection_start_call(mmx_target_connection_t *connection,
				      mmx_call_t *call)
{
	mmx_target_shared_t *shared = connection->shared;
	struct evbuffer *out = output_(connection);
	mmx_time_t wait = call->remaining;

	connection->attempt = call->attempt;
	connection->deadline = mmx_clock_now(shared->clock) + call->remaining;
	connection->sent = 0;
	connection->request_end = false;
	connection->head_posted = false;
	connection->whole = false;
	connection->credit = MMX_WINDOW_BYTES;
	mmx_http_reader_reset(&connection->reader);
	connection->reader.without_body =
		strcmp(call->head->method, "HEAD") == 0;
	g_hash_table_insert(shared->calls, &connection->attempt, connection);
	if (!connection->connected)
		wait = MIN(wait, shared->connect_timeout);
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

void mmx_target_connection_add_body(mmx_target_connection_t *connection,
				    mmx_body_t *body)
{
	if (connection->request_end)
		return;
	/* A request body that breaks off must not look complete. */
	if (body->failed || !write_part_(connection, body->data, body->end))
		fail_(connection);
	else
		grant_(connection);
}

void mmx_target_connection_add_credit(mmx_target_connection_t *connection,
				      uint32_t credit)
{
	connection->credit += credit;
	feed_(connection);
}
