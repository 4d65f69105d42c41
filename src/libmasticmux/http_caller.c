#include "private/http_caller.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "private/http_caller_internal.h"
#include "private/http_head.h"

/* Unread input per connection, bytes; must hold a whole head. */
#define INPUT_MAX (32 * 1024)
/* Output below which more of a response is asked for, bytes. */
#define OUTPUT_LOW (64 * 1024)

const char *const mmx_http_close_string[MMX_HTTP_CLOSE_COUNT] = {
	"idle",	       "slow-head", "slow-body",
	"slow-reader", "limit",	    "broken-answer",
};

static struct evbuffer *input_(const mmx_http_caller_t *caller)
{
	return bufferevent_get_input(caller->bev);
}

static struct evbuffer *output_(const mmx_http_caller_t *caller)
{
	return bufferevent_get_output(caller->bev);
}

static void forget_request_(mmx_http_caller_t *caller)
{
	if (caller->request)
		g_hash_table_remove(caller->shared->requests, &caller->request);
	caller->request = 0;
}

/* Ends the request before its answer; the entry is told if it knows it. */
static void abandon_request_(mmx_http_caller_t *caller)
{
	mmx_http_shared_t *shared = caller->shared;

	if (caller->request && caller->posted)
		mmx_task_post(shared->entry,
			      &mmx_new_caller_gone(caller->request)->message);
	forget_request_(caller);
}

void mmx_http_caller_close(mmx_http_caller_t *caller)
{
	mmx_http_shared_t *shared = caller->shared;

	abandon_request_(caller);
	mmx_http_ahead_abandon(caller);
	LIST_REMOVE(caller, entry);
	shared->caller_count--;
	mmx_counter_set(shared->connections, (int64_t)shared->caller_count);
	mmx_timer_cancel(&caller->timer);
	mmx_http_reader_finish(&caller->reader);
	evbuffer_free(caller->received);
	bufferevent_free(caller->bev);
	g_free(caller);
}

static void close_counted_(mmx_http_caller_t *caller, mmx_http_close_t cause)
{
	mmx_counter_add(caller->shared->closed[cause], 1);
	mmx_http_caller_close(caller);
}

static void set_reset_on_close_(mmx_http_caller_t *caller, bool reset)
{
	struct linger linger = {.l_onoff = reset, .l_linger = 0};

	setsockopt(bufferevent_getfd(caller->bev), SOL_SOCKET, SO_LINGER,
		   &linger, sizeof(linger));
}

/* Closes with a reset, so that a response cannot be taken for complete. */
static void abort_(mmx_http_caller_t *caller)
{
	set_reset_on_close_(caller, true);
	close_counted_(caller, MMX_HTTP_CLOSE_BROKEN_ANSWER);
}

static mmx_http_wait_t current_wait_(const mmx_http_caller_t *caller)
{
	if (caller->wait == WAIT_LINGER)
		return WAIT_LINGER;
	if (evbuffer_get_length(output_(caller)) > 0)
		return WAIT_WRITE;
	if (caller->request == 0)
		return mmx_http_reader_is_idle(&caller->reader, input_(caller))
			       ? WAIT_IDLE
			       : WAIT_HEAD;
	if (!caller->whole && caller->credit > 0)
		return WAIT_BODY;
	return WAIT_NONE;
}

static mmx_time_t timeout_(const mmx_http_caller_t *caller)
{
	const mmx_http_entry_timeouts_t *timeouts = &caller->shared->timeouts;

	switch (caller->wait) {
	case WAIT_IDLE:
		return timeouts->idle;
	case WAIT_HEAD:
		return timeouts->head;
	case WAIT_BODY:
		return timeouts->body;
	case WAIT_WRITE:
		return timeouts->write;
	case WAIT_LINGER:
		return timeouts->linger;
	default:
		return 0;
	}
}

/*
 * Called after every event. The timer is moved only to an earlier time; when
 * it fires too early it is set again, which saves a move per request.
 */
static void update_timer_(mmx_http_caller_t *caller)
{
	mmx_http_wait_t wait = current_wait_(caller);
	mmx_time_t now;
	bool keeps =
		wait == caller->wait &&
		(wait == WAIT_IDLE || wait == WAIT_HEAD || wait == WAIT_LINGER);

	/* A head, once begun, gets no more time for further bytes. */
	if (keeps)
		return;
	caller->wait = wait;
	if (wait == WAIT_NONE)
		return;
	now = mmx_clock_now(caller->shared->clock);
	caller->deadline = now + timeout_(caller);
	if (!mmx_timer_is_set(&caller->timer) ||
	    caller->timer.due > caller->deadline)
		mmx_timer_set(&caller->timer, caller->deadline - now);
}

/* Half-closes and discards input for a while, so that the caller can read
 * the answer: closing with unread input would reset the connection. */
static void linger_(mmx_http_caller_t *caller)
{
	mmx_http_shared_t *shared = caller->shared;

	if (caller->writer.framing == MMX_HTTP_UNTIL_CLOSE)
		set_reset_on_close_(caller, false);
	shutdown(bufferevent_getfd(caller->bev), SHUT_WR);
	evbuffer_drain(input_(caller), evbuffer_get_length(input_(caller)));
	bufferevent_enable(caller->bev, EV_READ);
	caller->wait = WAIT_LINGER;
	caller->deadline =
		mmx_clock_now(shared->clock) + shared->timeouts.linger;
	mmx_timer_set(&caller->timer, shared->timeouts.linger);
}

/* Closes once the output is written; the caller may be freed by this. */
static void close_when_written_(mmx_http_caller_t *caller)
{
	caller->closing = true;
	mmx_http_ahead_abandon(caller);
	if (evbuffer_get_length(output_(caller)) > 0)
		update_timer_(caller);
	else if (caller->wait != WAIT_LINGER)
		linger_(caller);
}

/*
 * Refuses what the caller sent. The request is not run if the entry was never
 * told; after that it may have been started.
 */
static void refuse_(mmx_http_caller_t *caller, int status, mmx_reason_t reason,
		    const char *detail)
{
	mmx_outcome_t outcome = caller->request && caller->posted
					? MMX_OUTCOME_UNKNOWN
					: MMX_OUTCOME_NOT_RUN;
	char text[128];
	int length;

	if (caller->answered) {
		abort_(caller);
		return;
	}
	/* Callers take 408 for "has not run", but part of it may be running. */
	if (status == 408 && outcome == MMX_OUTCOME_UNKNOWN)
		status = 504;
	abandon_request_(caller);
	length = snprintf(text, sizeof(text), "%s: %s\n",
			  mmx_reason_string[reason], detail);
	mmx_http_answer_write_refusal(caller, status, outcome, reason);
	evbuffer_add_printf(output_(caller), "Content-Length: %d\r\n\r\n",
			    length);
	if (!caller->head_method)
		evbuffer_add(output_(caller), text, (size_t)length);
	close_when_written_(caller);
}

static void refuse_fault_(mmx_http_caller_t *caller)
{
	const char *detail = mmx_http_fault_string[caller->reader.fault];

	switch (caller->reader.fault) {
	case MMX_HTTP_FAULT_LINE_TOO_LONG:
		refuse_(caller, 414, MMX_REASON_HEADER_TOO_LARGE, detail);
		break;
	case MMX_HTTP_FAULT_HEAD_TOO_LARGE:
		refuse_(caller, 431, MMX_REASON_HEADER_TOO_LARGE, detail);
		break;
	default:
		refuse_(caller, 400, MMX_REASON_BAD_REQUEST, detail);
		break;
	}
}

bool mmx_http_caller_has_large_head(const mmx_http_caller_t *caller)
{
	uint32_t max = caller->shared->head_bytes_max;

	return max && caller->reader.head->bytes > max;
}

/* Refuses a request beyond the limits of the configuration. */
static bool is_too_large_(mmx_http_caller_t *caller)
{
	const mmx_http_shared_t *shared = caller->shared;
	const mmx_http_reader_t *reader = &caller->reader;

	if (mmx_http_caller_has_large_head(caller))
		refuse_(caller, 431, MMX_REASON_HEADER_TOO_LARGE, "head");
	else if (shared->body_bytes_max && reader->framing == MMX_HTTP_LENGTH &&
		 reader->length > shared->body_bytes_max)
		refuse_(caller, 413, MMX_REASON_BAD_REQUEST, "body too large");
	else
		return false;
	return true;
}

/* False if the request was refused. */
static bool begin_request_(mmx_http_caller_t *caller)
{
	mmx_http_shared_t *shared = caller->shared;
	mmx_http_reader_t *reader = &caller->reader;
	const char *expect = mmx_head_find(reader->head, "Expect");

	caller->head_method = strcmp(reader->head->method, "HEAD") == 0;
	if (expect && strcasecmp(expect, "100-continue") != 0) {
		refuse_(caller, 417, MMX_REASON_BAD_REQUEST, "expect");
		return false;
	}
	if (expect && reader->minor == 1 &&
	    reader->framing != MMX_HTTP_NO_BODY &&
	    evbuffer_get_length(input_(caller)) == 0)
		evbuffer_add_printf(output_(caller),
				    "HTTP/1.1 100 Continue\r\n\r\n");
	if (is_too_large_(caller))
		return false;
	mmx_head_remove(reader->head, "Expect");
	mmx_head_remove_hop_by_hop(reader->head);
	caller->request = ++shared->last_request;
	g_hash_table_insert(shared->requests, &caller->request, caller);
	caller->posted = false;
	caller->ended = false;
	caller->whole = false;
	caller->answered = false;
	caller->close_after = !reader->keep_alive;
	caller->minor = reader->minor;
	caller->safe = reader->framing == MMX_HTTP_NO_BODY &&
		       (caller->head_method ||
			strcmp(reader->head->method, "GET") == 0);
	caller->credit = MMX_WINDOW_BYTES;
	mmx_counter_add(shared->request_total, 1);
	return true;
}

/* Hands what was received to the entry, as far as its credit goes. */
static void forward_(mmx_http_caller_t *caller)
{
	mmx_task_t *entry = caller->shared->entry;
	size_t held = evbuffer_get_length(caller->received);
	size_t part = MIN(held, caller->credit);
	bool end = caller->whole && part == held;

	if (caller->ended || (caller->posted && part == 0 && !end))
		return;
	/* A request whose body never becomes whole has then certainly not
	 * been run. */
	if (!caller->posted && !caller->whole &&
	    held < caller->shared->hold_bytes)
		return;
	caller->credit -= part;
	caller->ended = end;
	if (!caller->posted) {
		mmx_request_t *request = mmx_new_request(caller->request);

		request->head = g_steal_pointer(&caller->reader.head);
		evbuffer_remove_buffer(caller->received, request->body, part);
		request->body_end = end;
		caller->posted = true;
		mmx_task_post(entry, &request->message);
	} else {
		mmx_body_t *body = mmx_new_body(MMX_TO_TARGET);

		body->request = caller->request;
		evbuffer_remove_buffer(caller->received, body->data, part);
		body->end = end;
		mmx_task_post(entry, &body->message);
	}
}

/* True if the connection can take the next step of a request. */
static bool may_read_(const mmx_http_caller_t *caller)
{
	size_t held = evbuffer_get_length(caller->received);

	if (caller->closing)
		return false;
	if (caller->request == 0)
		return evbuffer_get_length(output_(caller)) <= OUTPUT_LOW;
	return !caller->whole && (held == 0 || held < caller->credit);
}

/*
 * Stops reading while there is much unread input. A high watermark is no
 * means for this: libevent 2.1.12 calls the read callback again and again
 * while the input stays at it.
 */
static void limit_input_(mmx_http_caller_t *caller)
{
	bool stop = evbuffer_get_length(input_(caller)) >= INPUT_MAX;

	if (stop == caller->stopped)
		return;
	caller->stopped = stop;
	if (stop)
		bufferevent_disable(caller->bev, EV_READ);
	else
		bufferevent_enable(caller->bev, EV_READ);
}

/* The kernel holds bytes that have not been read yet. */
static bool has_unread_(const mmx_http_caller_t *caller)
{
	char byte;

	return recv(bufferevent_getfd(caller->bev), &byte, sizeof(byte),
		    MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* All answers are written, and nothing of a request has arrived. */
static bool is_idle_(const mmx_http_caller_t *caller)
{
	return !caller->closing && current_wait_(caller) == WAIT_IDLE &&
	       !has_unread_(caller);
}

static void write_part_(mmx_http_caller_t *caller, struct evbuffer *data,
			bool end, bool failed);

/* Reads requests as far as input, credit and order allow. */
static void feed_(mmx_http_caller_t *caller)
{
	while (may_read_(caller)) {
		switch (mmx_http_reader_run(&caller->reader, input_(caller),
					    caller->received)) {
		case MMX_HTTP_HEAD:
			if (!begin_request_(caller))
				return;
			break;
		case MMX_HTTP_END:
			caller->whole = true;
			break;
		case MMX_HTTP_DATA:
			break;
		case MMX_HTTP_FAILED:
			refuse_fault_(caller);
			return;
		default:
			goto out;
		}
	}
out:
	if (caller->request)
		forward_(caller);
	mmx_http_ahead_read(caller);
	limit_input_(caller);
	if (caller->shared->closes_idle && is_idle_(caller))
		close_when_written_(caller);
	else
		update_timer_(caller);
}

static void write_head_(mmx_http_caller_t *caller, mmx_answer_t *answer)
{
	mmx_http_answer_write_head(caller, answer);
	caller->answered = true;
	/* The end of this answer is the end of the connection, which the kernel
	 * also makes when the process dies. */
	if (caller->writer.framing == MMX_HTTP_UNTIL_CLOSE)
		set_reset_on_close_(caller, true);
}

/* Its answer may have come already; the caller may be freed by this. */
static void take_ahead_(mmx_http_caller_t *caller, mmx_http_ahead_t *ahead)
{
	caller->request = ahead->request;
	caller->posted = true;
	caller->ended = true;
	caller->whole = true;
	caller->safe = true;
	caller->head_method = ahead->head_method;
	caller->minor = ahead->minor;
	caller->close_after = !ahead->keep_alive;
	caller->credit = 0;
	if (ahead->answer) {
		write_head_(caller, ahead->answer);
		evbuffer_add_buffer(ahead->answer->body, ahead->body);
		write_part_(caller, ahead->answer->body, ahead->end, false);
	} else {
		feed_(caller);
	}
	mmx_http_ahead_free(ahead);
}

static void next_request_(mmx_http_caller_t *caller)
{
	mmx_http_ahead_t *ahead = mmx_http_ahead_take(caller);
	bool headed = caller->ahead_headed;

	if (ahead) {
		take_ahead_(caller, ahead);
		return;
	}
	caller->ahead_stopped = false;
	caller->ahead_headed = false;
	if (caller->ahead_failed) {
		refuse_fault_(caller);
		return;
	}
	if (!headed)
		mmx_http_reader_reset(&caller->reader);
	else if (!begin_request_(caller))
		return;
	feed_(caller);
}

/* The answer is complete: closes, or goes on with the next request. */
static void finish_answer_(mmx_http_caller_t *caller)
{
	bool unread = !caller->whole;

	forget_request_(caller);
	caller->answered = false;
	caller->head_method = false;
	evbuffer_drain(caller->received, evbuffer_get_length(caller->received));
	if (caller->close_after || unread) {
		close_when_written_(caller);
		return;
	}
	next_request_(caller);
}

static void grant_(mmx_http_caller_t *caller)
{
	uint32_t credit;
	mmx_window_t *window;

	if (!caller->request || !caller->answered)
		return;
	credit = mmx_http_writer_take_credit(&caller->writer, output_(caller));
	if (credit == 0)
		return;
	window = mmx_new_window(MMX_TO_CALLER, credit);
	window->request = caller->request;
	mmx_task_post(caller->shared->entry, &window->message);
}

/* Writes a part of the answer's body; frees the caller if it is broken. */
static void write_part_(mmx_http_caller_t *caller, struct evbuffer *data,
			bool end, bool failed)
{
	if (failed ||
	    !mmx_http_writer_add(&caller->writer, data, end, output_(caller))) {
		/* The entry has ended the request itself. */
		if (end)
			forget_request_(caller);
		abort_(caller);
	} else if (end) {
		finish_answer_(caller);
	} else {
		grant_(caller);
		update_timer_(caller);
	}
}

void mmx_http_caller_answer(mmx_http_caller_t *caller, mmx_answer_t *answer)
{
	mmx_http_ahead_t *ahead = mmx_http_ahead_find(caller, answer->request);

	if (ahead) {
		mmx_http_ahead_answer(ahead, answer);
		return;
	}
	if (caller->answered) {
		mmx_counter_add(caller->shared->stale_messages, 1);
		return;
	}
	write_head_(caller, answer);
	write_part_(caller, answer->body, answer->body_end, false);
}

void mmx_http_caller_body(mmx_http_caller_t *caller, mmx_body_t *body)
{
	mmx_http_ahead_t *ahead = mmx_http_ahead_find(caller, body->request);

	if (ahead && ahead->answer) {
		mmx_http_ahead_body(ahead, body);
		return;
	}
	if (ahead || !caller->answered) {
		mmx_counter_add(caller->shared->stale_messages, 1);
		return;
	}
	write_part_(caller, body->data, body->end, body->failed);
}

void mmx_http_caller_window(mmx_http_caller_t *caller, uint32_t credit)
{
	caller->credit += credit;
	feed_(caller);
}

/*
 * Closing a socket with unread bytes resets the connection, so a request that
 * has arrived is read and answered with "Connection: close" first.
 */
void mmx_http_caller_drain(mmx_http_caller_t *caller)
{
	if (is_idle_(caller))
		mmx_http_caller_close(caller);
}

mmx_http_caller_t *mmx_http_caller_next(const mmx_http_caller_t *caller)
{
	return LIST_NEXT(caller, entry);
}

static void on_read_(struct bufferevent *bev, void *arg)
{
	mmx_http_caller_t *caller = arg;

	if (caller->closing)
		evbuffer_drain(input_(caller),
			       evbuffer_get_length(input_(caller)));
	else
		feed_(caller);
}

static void on_write_(struct bufferevent *bev, void *arg)
{
	mmx_http_caller_t *caller = arg;

	if (caller->closing) {
		close_when_written_(caller);
		return;
	}
	grant_(caller);
	if (caller->request == 0)
		feed_(caller);
	else
		update_timer_(caller);
}

static void on_event_(struct bufferevent *bev, short what, void *arg)
{
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		mmx_http_caller_close(arg);
}

static void on_timer_(void *arg)
{
	mmx_http_caller_t *caller = arg;
	mmx_time_t now = mmx_clock_now(caller->shared->clock);

	if (caller->wait == WAIT_NONE)
		return;
	if (now < caller->deadline) {
		mmx_timer_set(&caller->timer, caller->deadline - now);
		return;
	}
	switch (caller->wait) {
	case WAIT_HEAD:
		mmx_counter_add(
			caller->shared->closed[MMX_HTTP_CLOSE_SLOW_HEAD], 1);
		refuse_(caller, 408, MMX_REASON_BAD_REQUEST, "slow head");
		break;
	case WAIT_BODY:
		mmx_counter_add(
			caller->shared->closed[MMX_HTTP_CLOSE_SLOW_BODY], 1);
		refuse_(caller, 408, MMX_REASON_BAD_REQUEST, "slow body");
		break;
	case WAIT_WRITE:
		close_counted_(caller, MMX_HTTP_CLOSE_SLOW_READER);
		break;
	case WAIT_IDLE:
		close_counted_(caller, MMX_HTTP_CLOSE_IDLE);
		break;
	default:
		mmx_http_caller_close(caller);
		break;
	}
}

void mmx_http_caller_open(mmx_http_shared_t *shared, int fd)
{
	mmx_http_caller_t *caller = g_new0(mmx_http_caller_t, 1);
	int on = 1;

	caller->shared = shared;
	caller->received = evbuffer_new();
	TAILQ_INIT(&caller->ahead);
	mmx_http_reader_init(&caller->reader, MMX_HTTP_REQUEST);
	mmx_timer_init(&caller->timer, shared->clock, on_timer_, caller);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	caller->bev =
		bufferevent_socket_new(shared->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(caller->bev, on_read_, on_write_, on_event_, caller);
	bufferevent_setwatermark(caller->bev, EV_WRITE, OUTPUT_LOW, 0);
	LIST_INSERT_HEAD(&shared->callers, caller, entry);
	shared->caller_count++;
	mmx_counter_set(shared->connections, (int64_t)shared->caller_count);
	bufferevent_enable(caller->bev, EV_READ | EV_WRITE);
	update_timer_(caller);
}
