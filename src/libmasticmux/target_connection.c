#include "private/target_connection.h"

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
#include "private/idle_socket.h"
#include "private/listen.h"

/* Unread input at which reading stops, bytes; must hold a whole head. */
#define INPUT_BYTES_MAX (32 * 1024)
/* Unsent output below which credit for the request body is granted, bytes. */
#define OUTPUT_LOW_BYTES (64 * 1024)

/* An idle connection is closed this long before its target would close it;
 * targets give the time in whole seconds. */
#define KEEP_ALIVE_MARGIN_US (1 * MMX_US_PER_S)
/* A Keep-Alive timeout of more than an hour is ignored as implausible. */
#define KEEP_ALIVE_MAX_S 3600

/* A connection and, while it is in use, the one call on it. */
struct mmx_target_connection_t {
	LIST_ENTRY(mmx_target_connection_t) entry;
	TAILQ_ENTRY(mmx_target_connection_t) idle_entry;
	mmx_target_shared_t *shared;
	mmx_target_pool_t *pool;
	struct bufferevent *bev;
	mmx_timer_t timer; /* ends the connect, the call or the idle time */
	bool connected;
	bool target_closed;	/* end of input was read */
	bool reading_disabled;	/* too much unread input */
	bool in_use;		/* not in the pool's idle list */
	uint32_t earlier_calls; /* completed before the present one */
	mmx_time_t idle_since;	/* monotonic clock, microseconds */
	/* idle time that the target announced, microseconds; 0: none */
	mmx_time_t keep_alive_timeout;
	/* state of the call */
	mmx_attempt_id_t attempt;
	char *request_id;    /* of the caller's request; NULL: none */
	char *previous_id;   /* of the previous call on the connection */
	mmx_time_t deadline; /* monotonic clock, microseconds */
	size_t sent_bytes;   /* of the request, written to the socket */
	mmx_http_writer_t writer;
	bool request_complete; /* the whole request body was taken */
	mmx_http_reader_t reader;
	bool head_posted;
	bool reply_allows_reuse; /* see mmx_reply_allows_reuse() */
	bool dropping_copy;	 /* of the answer to the previous call */
	bool copy_dropped;
	size_t copy_bytes;		/* of its body, dropped so far */
	bool response_complete;		/* the whole response was read */
	struct evbuffer *received_body; /* response body, not posted yet */
	size_t credit; /* response body bytes that the exit accepts */
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
	evbuffer_drain(connection->received_body,
		       evbuffer_get_length(connection->received_body));
}

/* Counts the bytes that were written to the socket. */
static void on_output_drained_(struct evbuffer *buffer,
			       const struct evbuffer_cb_info *info, void *arg)
{
	mmx_target_connection_t *connection = arg;

	connection->sent_bytes += info->n_deleted;
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
	if (--pool->count == 0 && !pool->rejects_without_id)
		g_hash_table_remove(shared->pools, pool->key);
	evbuffer_remove_cb(output_(connection), on_output_drained_, connection);
	bufferevent_free(connection->bev);
	mmx_http_reader_finish(&connection->reader);
	evbuffer_free(connection->received_body);
	g_free(connection->request_id);
	g_free(connection->previous_id);
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
static void fail_call_(mmx_target_connection_t *connection)
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
				       connection->sent_bytes
					       ? MMX_CALL_FAILED
					       : MMX_CALL_NOT_SENT);
	}
	mmx_target_connection_close(connection);
}

/* Shorter than the target's own idle time: the target must not close the
 * connection while a request is on its way. */
static mmx_time_t idle_timeout_(const mmx_target_connection_t *connection)
{
	mmx_time_t limit = connection->shared->idle_timeout;

	if (connection->keep_alive_timeout <= 0)
		return limit;
	return MIN(limit,
		   MAX(connection->keep_alive_timeout - KEEP_ALIVE_MARGIN_US,
		       connection->keep_alive_timeout / 2));
}

/* Stores the idle time after which the target closes, if the head has it. */
static void read_keep_alive_(mmx_target_connection_t *connection,
			     const mmx_head_t *head)
{
	const char *value = mmx_head_find(head, "Keep-Alive");
	const char *timeout = value ? strstr(value, "timeout=") : NULL;
	guint64 seconds;

	if (!timeout)
		return;
	seconds = g_ascii_strtoull(timeout + strlen("timeout="), NULL, 10);
	if (seconds > 0 && seconds <= KEEP_ALIVE_MAX_S)
		connection->keep_alive_timeout =
			(mmx_time_t)seconds * MMX_US_PER_S;
}

static void return_to_pool_(mmx_target_connection_t *connection)
{
	release_call_(connection);
	connection->earlier_calls++;
	connection->idle_since = mmx_clock_now(connection->shared->clock);
	TAILQ_INSERT_HEAD(&connection->pool->idle, connection, idle_entry);
	mmx_timer_set(&connection->timer, idle_timeout_(connection));
}

/* Returns the connection to the pool or closes it after a full response. */
static void finish_call_(mmx_target_connection_t *connection)
{
	bool reusable =
		connection->reader.keep_alive &&
		connection->reply_allows_reuse && !connection->copy_dropped &&
		!connection->target_closed && connection->request_complete &&
		evbuffer_get_length(output_(connection)) == 0 &&
		evbuffer_get_length(input_(connection)) == 0;

	if (reusable)
		return_to_pool_(connection);
	else
		mmx_target_connection_close(connection);
}

/* Evaluates whether the head ends the use of this connection, and of kept ones
 * for requests that may not be repeated. */
static void check_reuse_(mmx_target_connection_t *connection,
			 const mmx_head_t *head)
{
	const mmx_header_names_t *names = connection->shared->header_names;
	mmx_reply_kind_t kind =
		mmx_reply_classify(names, head, connection->request_id);
	mmx_reply_id_t id =
		mmx_reply_identify(names, head, connection->request_id);

	connection->reply_allows_reuse = mmx_reply_allows_reuse(kind, id);
	if (mmx_reply_is_rejection(kind))
		connection->pool->rejects_without_id = id == MMX_REPLY_ID_NONE;
}

/* Posts the received head and body within the credit of the exit. */
static void post_received_(mmx_target_connection_t *connection)
{
	mmx_task_t *exit = connection->shared->exit;
	size_t held = evbuffer_get_length(connection->received_body);
	size_t part = MIN(held, connection->credit);
	bool end = connection->response_complete && part == held;

	if (connection->dropping_copy ||
	    (!connection->head_posted && !connection->reader.head))
		return;
	if (connection->head_posted && part == 0 && !end)
		return;
	connection->credit -= part;
	if (!connection->head_posted) {
		mmx_call_event_t *event =
			mmx_new_call_event(&connection->attempt, MMX_CALL_HEAD);

		event->head = g_steal_pointer(&connection->reader.head);
		event->earlier_calls = connection->earlier_calls;
		read_keep_alive_(connection, event->head);
		check_reuse_(connection, event->head);
		mmx_head_remove_hop_by_hop(event->head);
		evbuffer_remove_buffer(connection->received_body, event->body,
				       part);
		event->body_end = end;
		connection->head_posted = true;
		mmx_counter_add(connection->shared->results[MMX_CALL_HEAD], 1);
		mmx_task_post(exit, &event->message);
	} else {
		mmx_body_t *body = mmx_new_body(MMX_TO_CALLER);

		body->attempt = connection->attempt;
		evbuffer_remove_buffer(connection->received_body, body->data,
				       part);
		body->end = end;
		mmx_task_post(exit, &body->message);
	}
	if (end)
		finish_call_(connection);
}

/* True for the head of a second, late copy of the answer to the previous call;
 * the answer to the present one follows it. */
static bool is_late_copy_(const mmx_target_connection_t *connection)
{
	const mmx_header_names_t *names = connection->shared->header_names;

	return names->request_id && connection->previous_id &&
	       !connection->copy_dropped && !connection->reader.without_body &&
	       g_strcmp0(connection->previous_id, connection->request_id) !=
		       0 &&
	       mmx_reply_identify(names, connection->reader.head,
				  connection->previous_id) == MMX_REPLY_ID_OWN;
}

static mmx_http_event_t start_copy_(mmx_target_connection_t *connection)
{
	connection->dropping_copy = true;
	connection->copy_dropped = true;
	connection->copy_bytes = 0;
	mmx_counter_add(connection->shared->late_copies, 1);
	/* Nothing can follow a body that ends with the connection. */
	return connection->reader.framing == MMX_HTTP_UNTIL_CLOSE
		       ? MMX_HTTP_FAILED
		       : MMX_HTTP_DATA;
}

/* Drops what has been read of a late copy. At its end the reader starts over
 * with the answer to the present call. */
static mmx_http_event_t drop_copy_(mmx_target_connection_t *connection,
				   mmx_http_event_t event)
{
	size_t length = evbuffer_get_length(connection->received_body);

	evbuffer_drain(connection->received_body, length);
	connection->copy_bytes += length;
	if (connection->copy_bytes > MMX_HELD_BODY_MAX)
		return MMX_HTTP_FAILED;
	if (event != MMX_HTTP_END)
		return event;
	connection->dropping_copy = false;
	mmx_http_reader_reset(&connection->reader);
	return MMX_HTTP_DATA;
}

static mmx_http_event_t read_next_(mmx_target_connection_t *connection)
{
	mmx_http_event_t event =
		mmx_http_reader_run(&connection->reader, input_(connection),
				    connection->received_body);

	if (event == MMX_HTTP_MORE && connection->target_closed)
		event = mmx_http_reader_eof(&connection->reader);
	if (connection->dropping_copy)
		return drop_copy_(connection, event);
	if (event != MMX_HTTP_HEAD)
		return event;
	if (is_late_copy_(connection))
		return start_copy_(connection);
	/* Behind a copy, the place on the connection proves nothing. */
	if (connection->copy_dropped &&
	    mmx_reply_identify(connection->shared->header_names,
			       connection->reader.head,
			       connection->request_id) != MMX_REPLY_ID_OWN)
		return MMX_HTTP_FAILED;
	return event;
}

/*
 * Disables reading while there is too much unread input. A high watermark
 * cannot be used for this: libevent 2.1.12 calls the read callback repeatedly while the input
 * stays at the watermark.
 */
static void limit_unread_input_(mmx_target_connection_t *connection)
{
	bool stop = evbuffer_get_length(input_(connection)) >= INPUT_BYTES_MAX;

	if (stop == connection->reading_disabled)
		return;
	connection->reading_disabled = stop;
	if (stop)
		bufferevent_disable(connection->bev, EV_READ);
	else
		bufferevent_enable(connection->bev, EV_READ);
}

/* Parses the response as far as input and credit allow, and posts it. */
static void read_response_(mmx_target_connection_t *connection)
{
	mmx_http_event_t event = MMX_HTTP_DATA;
	size_t held = evbuffer_get_length(connection->received_body);

	while (!connection->response_complete && event != MMX_HTTP_MORE &&
	       (held == 0 || held < connection->credit)) {
		event = read_next_(connection);
		if (event == MMX_HTTP_FAILED) {
			fail_call_(connection);
			return;
		}
		connection->response_complete = event == MMX_HTTP_END;
		held = evbuffer_get_length(connection->received_body);
	}
	limit_unread_input_(connection);
	post_received_(connection);
}

static void grant_credit_(mmx_target_connection_t *connection)
{
	uint32_t credit;
	mmx_window_t *window;

	if (connection->request_complete)
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

	/* Unsolicited bytes could be taken for the next response. */
	if (!connection->in_use)
		mmx_target_connection_close(connection);
	else
		read_response_(connection);
}

static void on_write_(struct bufferevent *bev, void *arg)
{
	mmx_target_connection_t *connection = arg;

	if (connection->in_use)
		grant_credit_(connection);
}

static void on_connected_(mmx_target_connection_t *connection)
{
	mmx_time_t now = mmx_clock_now(connection->shared->clock);

	connection->connected = true;
	mmx_timer_set(&connection->timer, connection->deadline - now);
}

static void on_event_(struct bufferevent *bev, short events, void *arg)
{
	mmx_target_connection_t *connection = arg;

	if (events & BEV_EVENT_CONNECTED) {
		on_connected_(connection);
	} else if (!connection->in_use) {
		mmx_target_connection_close(connection);
	} else if (!(events & BEV_EVENT_ERROR) && events & BEV_EVENT_EOF) {
		/* After an error, the end of the input is not the target's: a
		 * write takes the error of a reset from the socket, and a read
		 * then finds the end. The input read before may still complete
		 * the response. */
		connection->target_closed = true;
		read_response_(connection);
	} else {
		fail_call_(connection);
	}
}

static void on_timer_(void *arg)
{
	mmx_target_connection_t *connection = arg;

	if (connection->in_use)
		fail_call_(connection);
	else
		mmx_target_connection_close(connection);
}

static void set_no_delay_(struct bufferevent *socket)
{
	int on = 1;

	/* Otherwise a part of a body waits for the acknowledgement of the
	 * previous part, which the target may delay by 40 ms. */
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
	connection->received_body = evbuffer_new();
	connection->in_use = true;
	mmx_http_reader_init(&connection->reader, MMX_HTTP_RESPONSE);
	mmx_timer_init(&connection->timer, shared->clock, on_timer_,
		       connection);
	connection->bev = bufferevent_socket_new(
		shared->base, -1,
		BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(connection->bev, on_read_, on_write_, on_event_,
			  connection);
	bufferevent_setwatermark(connection->bev, EV_WRITE, OUTPUT_LOW_BYTES,
				 0);
	evbuffer_add_cb(output_(connection), on_output_drained_, connection);
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
		/* The list is ordered: the rest has been idle for longer. */
		if (now - connection->idle_since > max_idle)
			return NULL;
		if (mmx_idle_socket_is_silent(connection->bev)) {
			TAILQ_REMOVE(&pool->idle, connection, idle_entry);
			mmx_timer_cancel(&connection->timer);
			connection->in_use = true;
			mmx_counter_add(shared->reuses, 1);
			return connection;
		}
		/* The extra count prevents that the pool is freed: the caller
		 * opens a connection in it. */
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

/* Chooses the framing of the request body and writes its header. */
static void write_framing_(mmx_target_connection_t *connection,
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

/* Returns false if the body does not have the length of its framing. */
static bool write_body_part_(mmx_target_connection_t *connection,
			     struct evbuffer *data, bool end)
{
	if (!mmx_http_writer_add(&connection->writer, data, end,
				 output_(connection)))
		return false;
	connection->request_complete = end;
	return true;
}

static void store_request_id_(mmx_target_connection_t *connection,
			      const mmx_head_t *request)
{
	const char *name = connection->shared->header_names->request_id;

	g_free(connection->previous_id);
	connection->previous_id = g_steal_pointer(&connection->request_id);
	/* The length of a copy of an answer to HEAD is unknown. */
	if (connection->reader.without_body)
		g_clear_pointer(&connection->previous_id, g_free);
	connection->request_id =
		name ? g_strdup(mmx_head_find(request, name)) : NULL;
}

void mmx_target_connection_start_call(mmx_target_connection_t *connection,
				      mmx_call_t *call)
{
	mmx_target_shared_t *shared = connection->shared;
	struct evbuffer *out = output_(connection);
	mmx_time_t wait = call->remaining;

	connection->attempt = call->attempt;
	store_request_id_(connection, call->head);
	connection->deadline = mmx_clock_now(shared->clock) + call->remaining;
	connection->sent_bytes = 0;
	connection->request_complete = false;
	connection->head_posted = false;
	connection->dropping_copy = false;
	connection->copy_dropped = false;
	connection->response_complete = false;
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
	write_framing_(connection, call);
	evbuffer_add(out, "\r\n", 2);
	bufferevent_enable(connection->bev, EV_READ | EV_WRITE);
	if (!write_body_part_(connection, call->body, call->body_end))
		fail_call_(connection);
}

void mmx_target_connection_add_body(mmx_target_connection_t *connection,
				    mmx_body_t *body)
{
	if (connection->request_complete)
		return;
	/* The target must not take a truncated request body for complete. */
	if (body->failed ||
	    !write_body_part_(connection, body->data, body->end))
		fail_call_(connection);
	else
		grant_credit_(connection);
}

void mmx_target_connection_add_credit(mmx_target_connection_t *connection,
				      uint32_t credit)
{
	connection->credit += credit;
	read_response_(connection);
}
