#include "private/http_entry.h"

#include <assert.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "private/http_caller.h"
#include "private/listen.h"

#define CONNECTIONS_MAX 10000

struct mmx_http_entry_t {
	mmx_task_t task;
	mmx_http_shared_t shared;
	size_t connections_max;
	struct evconnlistener *listener;
	uint16_t port;
	bool initialised;
};

static mmx_http_caller_t *find_(mmx_http_entry_t *http, uint64_t request)
{
	mmx_http_caller_t *caller =
		g_hash_table_lookup(http->shared.requests, &request);

	if (!caller)
		mmx_counter_add(http->shared.stale_messages, 1);
	return caller;
}

static void handle_answer_(mmx_http_entry_t *http, mmx_answer_t *answer)
{
	mmx_http_caller_t *caller = find_(http, answer->request);

	if (caller)
		mmx_http_caller_answer(caller, answer);
}

static void handle_body_(mmx_http_entry_t *http, mmx_body_t *body)
{
	mmx_http_caller_t *caller = find_(http, body->request);

	assert(body->direction == MMX_TO_CALLER);
	if (caller)
		mmx_http_caller_body(caller, body);
}

static void handle_window_(mmx_http_entry_t *http, mmx_window_t *window)
{
	mmx_http_caller_t *caller = find_(http, window->request);

	assert(window->direction == MMX_TO_TARGET);
	if (caller)
		mmx_http_caller_window(caller, window->credit);
}

static void handle_(mmx_task_t *task, mmx_message_t *message)
{
	mmx_http_entry_t *http = (mmx_http_entry_t *)task;

	switch (message->ops->kind) {
	case MMX_MESSAGE_ANSWER:
		handle_answer_(http, (mmx_answer_t *)message);
		break;
	case MMX_MESSAGE_BODY:
		handle_body_(http, (mmx_body_t *)message);
		break;
	case MMX_MESSAGE_WINDOW:
		handle_window_(http, (mmx_window_t *)message);
		break;
	default:
		assert(!"message that http_entry does not take");
	}
	mmx_message_destroy(message);
}

static const mmx_task_ops_t ops_ = {"http_entry", handle_};

static void register_counters_(mmx_http_shared_t *shared,
			       mmx_counters_t *counters)
{
	char labels[64];
	int i;

	shared->connections = mmx_counters_get(counters, MMX_GAUGE,
					       "masticmux_http_connections", "",
					       "Open connections of callers.");
	shared->request_total = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_http_requests_total", "",
		"Requests with a valid head.");
	shared->stale_messages = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_http_stale_messages_total",
		"", "Messages for requests that had ended.");
	for (i = 1; i < MMX_REASON_COUNT; i++) {
		snprintf(labels, sizeof(labels), "reason=\"%s\"",
			 mmx_reason_string[i]);
		shared->refused[i] = mmx_counters_get(
			counters, MMX_COUNTER, "masticmux_http_refused_total",
			labels, "Answers that are refusals.");
	}
	for (i = 0; i < MMX_HTTP_CLOSE_COUNT; i++) {
		snprintf(labels, sizeof(labels), "cause=\"%s\"",
			 mmx_http_close_string[i]);
		shared->closed[i] = mmx_counters_get(
			counters, MMX_COUNTER, "masticmux_http_closed_total",
			labels, "Connections closed by the node.");
	}
}

mmx_http_entry_t *mmx_http_entry_create(mmx_runtime_t *runtime,
					mmx_task_t *entry,
					mmx_counters_t *counters)
{
	mmx_http_entry_t *http = g_new0(mmx_http_entry_t, 1);
	mmx_http_shared_t *shared = &http->shared;

	assert(mmx_runtime_base(runtime) && entry);
	mmx_task_init(&http->task, &ops_, runtime);
	http->connections_max = CONNECTIONS_MAX;
	shared->base = mmx_runtime_base(runtime);
	shared->clock = mmx_runtime_clock(runtime);
	shared->entry = entry;
	shared->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	LIST_INIT(&shared->callers);
	shared->timeouts = (mmx_http_entry_timeouts_t){
		.idle = 60 * MMX_US_PER_S,
		.head = 10 * MMX_US_PER_S,
		.body = 30 * MMX_US_PER_S,
		.write = 30 * MMX_US_PER_S,
		.linger = 2 * MMX_US_PER_S,
	};
	if (counters)
		register_counters_(shared, counters);
	return http;
}

void mmx_http_entry_destroy(mmx_http_entry_t *http)
{
	mmx_http_caller_t *caller;

	if (!http)
		return;
	if (http->listener)
		evconnlistener_free(http->listener);
	while ((caller = LIST_FIRST(&http->shared.callers)))
		mmx_http_caller_close(caller);
	g_hash_table_destroy(http->shared.requests);
	mmx_task_finish(&http->task);
	g_free(http);
}

bool mmx_http_entry_set_connections_max(mmx_http_entry_t *http, size_t max)
{
	assert(max > 0);
	if (http->initialised)
		return false;
	http->connections_max = max;
	return true;
}

bool mmx_http_entry_set_timeouts(mmx_http_entry_t *http,
				 const mmx_http_entry_timeouts_t *timeouts)
{
	assert(timeouts->idle > 0 && timeouts->head > 0 && timeouts->body > 0 &&
	       timeouts->write > 0 && timeouts->linger > 0);
	if (http->initialised)
		return false;
	http->shared.timeouts = *timeouts;
	return true;
}

mmx_http_entry_timeouts_t mmx_http_entry_timeouts(const mmx_http_entry_t *http)
{
	return http->shared.timeouts;
}

bool mmx_http_entry_set_hold(mmx_http_entry_t *http, size_t bytes)
{
	if (http->initialised)
		return false;
	http->shared.hold_bytes = bytes;
	return true;
}

static void on_accept_(struct evconnlistener *listener, evutil_socket_t fd,
		       struct sockaddr *address, int length, void *arg)
{
	mmx_http_entry_t *http = arg;

	if (http->shared.caller_count >= http->connections_max) {
		mmx_counter_add(http->shared.closed[MMX_HTTP_CLOSE_LIMIT], 1);
		close(fd);
		return;
	}
	mmx_http_caller_open(&http->shared, fd);
}

bool mmx_http_entry_init(mmx_http_entry_t *http, const mmx_address_t *address,
			 mmx_error_t *error)
{
	assert(!http->initialised);
	http->listener = mmx_listen(http->shared.base, address, on_accept_,
				    http, &http->port, error);
	http->initialised = http->listener != NULL;
	return http->initialised;
}

uint16_t mmx_http_entry_port(const mmx_http_entry_t *http)
{
	return http->port;
}

mmx_task_t *mmx_http_entry_task(mmx_http_entry_t *http)
{
	return &http->task;
}

void mmx_http_entry_announce_drain(mmx_http_entry_t *http)
{
	assert(http->initialised);
	http->shared.draining = true;
}

void mmx_http_entry_set_limits(mmx_http_entry_t *http,
			       const mmx_caller_limits_t *limits)
{
	mmx_http_entry_timeouts_t *timeouts = &http->shared.timeouts;

	if (limits->head_time > 0)
		timeouts->head = limits->head_time;
	if (limits->idle_time > 0)
		timeouts->idle = limits->idle_time;
	if (limits->head_bytes > 0)
		http->shared.head_bytes_max = limits->head_bytes;
	if (limits->body_bytes > 0)
		http->shared.body_bytes_max = limits->body_bytes;
}

void mmx_http_entry_drain(mmx_http_entry_t *http)
{
	mmx_http_caller_t *caller = LIST_FIRST(&http->shared.callers);
	mmx_http_caller_t *next;

	assert(http->initialised);
	http->shared.draining = true;
	http->shared.closes_idle = true;
	if (http->listener) {
		evconnlistener_free(http->listener);
		http->listener = NULL;
	}
	for (; caller; caller = next) {
		next = mmx_http_caller_next(caller);
		mmx_http_caller_drain(caller);
	}
}

size_t mmx_http_entry_connections(const mmx_http_entry_t *http)
{
	return http->shared.caller_count;
}
