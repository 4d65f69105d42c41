/*
 * Benchmark of the HTTP sides of a node: http_entry and target_client joined
 * by a task that stands for entry and exit. Callers and target run in a child
 * process, so the processor time of this process is that of the node alone.
 *
 *   build/bench/bench_http [--json] [--requests N]
 *
 * Prints the small requests per second of processor time, and how much memory
 * 64 MiB add in either direction.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "private/http_entry.h"
#include "private/http_head.h"
#include "private/http_writer.h"
#include "private/target_client.h"

#define CONNECTIONS 32
#define REQUESTS 100000
#define WARM_UP 5000
#define TRANSFER (64LL * 1024 * 1024)
#define PART (64 * 1024)
#define PHASES 5

/* Phases of the child, each reported by one byte through a pipe. */
static const char *const phase_names_[PHASES] = {
	"warm-up", "small", "upload", "download", "chunk",
};

/* ---- the node: http_entry and target_client joined ---- */

typedef struct join_t {
	mmx_task_t task;
	mmx_http_entry_t *http;
	mmx_target_client_t *client;
	uint16_t target_port;
} join_t;

static mmx_attempt_id_t attempt_(uint64_t request)
{
	return (mmx_attempt_id_t){1, 1, request};
}

static void call_(join_t *join, mmx_request_t *request)
{
	mmx_attempt_id_t attempt = attempt_(request->request);
	mmx_call_t *call = mmx_new_call(&attempt);

	g_strlcpy(call->address.host, "127.0.0.1", sizeof(call->address.host));
	call->address.port = join->target_port;
	call->remaining = 60 * MMX_US_PER_S;
	call->head = g_steal_pointer(&request->head);
	evbuffer_add_buffer(call->body, request->body);
	call->body_end = request->body_end;
	mmx_task_post(mmx_target_client_task(join->client), &call->message);
}

static void answer_(join_t *join, mmx_call_event_t *event)
{
	mmx_answer_t *answer = mmx_new_answer(event->attempt.sequence);

	if (event->result == MMX_CALL_HEAD) {
		answer->head = g_steal_pointer(&event->head);
		evbuffer_add_buffer(answer->body, event->body);
		answer->body_end = event->body_end;
	} else {
		answer->outcome = MMX_OUTCOME_UNKNOWN;
		answer->reason = MMX_REASON_TARGET_FAILED;
		answer->head = mmx_head_create_response(502);
		answer->body_end = true;
	}
	mmx_task_post(mmx_http_entry_task(join->http), &answer->message);
}

/* Passes a body or a credit on to the other side. */
static void pass_(join_t *join, mmx_message_t *message, mmx_direction_t to,
		  uint64_t *request, mmx_attempt_id_t *attempt)
{
	if (to == MMX_TO_TARGET) {
		*attempt = attempt_(*request);
		mmx_task_post(mmx_target_client_task(join->client), message);
	} else {
		*request = attempt->sequence;
		mmx_task_post(mmx_http_entry_task(join->http), message);
	}
}

static void handle_(mmx_task_t *task, mmx_message_t *message)
{
	join_t *join = (join_t *)task;
	mmx_body_t *body = (mmx_body_t *)message;
	mmx_window_t *window = (mmx_window_t *)message;

	switch (message->ops->kind) {
	case MMX_MESSAGE_REQUEST:
		call_(join, (mmx_request_t *)message);
		break;
	case MMX_MESSAGE_CALL_EVENT:
		answer_(join, (mmx_call_event_t *)message);
		break;
	case MMX_MESSAGE_BODY:
		pass_(join, message, body->direction, &body->request,
		      &body->attempt);
		return;
	case MMX_MESSAGE_WINDOW:
		/* Credit for one direction travels in the other. */
		pass_(join, message,
		      window->direction == MMX_TO_TARGET ? MMX_TO_CALLER
							 : MMX_TO_TARGET,
		      &window->request, &window->attempt);
		return;
	default:
		break;
	}
	mmx_message_destroy(message);
}

static const mmx_task_ops_t join_ops_ = {"join", handle_};

/* ---- the child: target and callers ---- */

typedef struct child_t {
	struct event_base *base;
	uint16_t node_port;
	int report;
	int phase;
	long left;    /* requests of the phase to be sent */
	long pending; /* requests of the phase without their response */
	long requests;
} child_t;

/* One side of a connection in the child: a caller's or the target's. */
typedef struct peer_t {
	child_t *child;
	struct bufferevent *bev;
	mmx_http_reader_t reader;
	int64_t to_write; /* body bytes that are left */
} peer_t;

static const char zeros_[PART];

/* Keeps the output filled until the whole body is written. */
static void fill_(peer_t *peer)
{
	struct evbuffer *out = bufferevent_get_output(peer->bev);

	while (peer->to_write > 0 && evbuffer_get_length(out) < 4 * PART) {
		size_t part = (size_t)MIN(peer->to_write, PART);

		evbuffer_add_reference(out, zeros_, part, NULL, NULL);
		peer->to_write -= (int64_t)part;
		if (peer->to_write == 0 && peer->child->phase == 4 &&
		    peer->reader.kind == MMX_HTTP_REQUEST)
			evbuffer_add(out, "\r\n0\r\n\r\n", 7);
	}
}

static void on_write_(struct bufferevent *bev, void *arg)
{
	fill_(arg);
}

static void free_peer_(peer_t *peer)
{
	bufferevent_free(peer->bev);
	mmx_http_reader_finish(&peer->reader);
	g_free(peer);
}

static void on_event_(struct bufferevent *bev, short what, void *arg)
{
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		free_peer_(arg);
}

/* Drops body bytes; true at the end of the message. */
static bool read_(peer_t *peer)
{
	struct evbuffer *input = bufferevent_get_input(peer->bev);
	struct evbuffer *body = evbuffer_new();
	mmx_http_event_t event;

	do {
		event = mmx_http_reader_run(&peer->reader, input, body);
		evbuffer_drain(body, evbuffer_get_length(body));
	} while (event == MMX_HTTP_HEAD || event == MMX_HTTP_DATA);
	evbuffer_free(body);
	if (event == MMX_HTTP_FAILED)
		exit(3);
	return event == MMX_HTTP_END;
}

static void respond_(peer_t *peer)
{
	struct evbuffer *out = bufferevent_get_output(peer->bev);
	const char *uri = peer->reader.head->uri;

	if (strcmp(uri, "/download") == 0) {
		evbuffer_add_printf(out,
				    "HTTP/1.1 200 OK\r\n"
				    "Content-Length: %lld\r\n\r\n",
				    TRANSFER);
		peer->to_write = TRANSFER;
	} else if (strcmp(uri, "/chunk") == 0) {
		evbuffer_add_printf(out,
				    "HTTP/1.1 200 OK\r\n"
				    "Transfer-Encoding: chunked\r\n\r\n"
				    "%llx\r\n",
				    TRANSFER);
		peer->to_write = TRANSFER;
	} else {
		evbuffer_add_printf(out, "HTTP/1.1 200 OK\r\n"
					 "Content-Type: text/plain\r\n"
					 "Content-Length: 5\r\n\r\nhello");
	}
	fill_(peer);
}

static void on_target_read_(struct bufferevent *bev, void *arg)
{
	peer_t *peer = arg;

	while (read_(peer)) {
		respond_(peer);
		mmx_http_reader_reset(&peer->reader);
	}
}

static peer_t *new_peer_(child_t *child, int fd, mmx_http_kind_t kind)
{
	peer_t *peer = g_new0(peer_t, 1);

	peer->child = child;
	mmx_http_reader_init(&peer->reader, kind);
	peer->bev =
		bufferevent_socket_new(child->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setwatermark(peer->bev, EV_WRITE, PART, 0);
	return peer;
}

static void on_accept_(struct evconnlistener *listener, evutil_socket_t fd,
		       struct sockaddr *address, int length, void *arg)
{
	peer_t *peer = new_peer_(arg, fd, MMX_HTTP_REQUEST);

	bufferevent_setcb(peer->bev, on_target_read_, on_write_, on_event_,
			  peer);
	bufferevent_enable(peer->bev, EV_READ | EV_WRITE);
}

static void send_request_(peer_t *peer)
{
	struct evbuffer *out = bufferevent_get_output(peer->bev);
	const char *name = phase_names_[peer->child->phase];

	mmx_http_reader_reset(&peer->reader);
	if (peer->child->phase == 2) {
		evbuffer_add_printf(out,
				    "POST /upload HTTP/1.1\r\nHost: shop\r\n"
				    "Content-Length: %lld\r\n\r\n",
				    TRANSFER);
		peer->to_write = TRANSFER;
		fill_(peer);
		return;
	}
	evbuffer_add_printf(out,
			    "GET /%s HTTP/1.1\r\nHost: shop\r\n"
			    "Accept: */*\r\nUser-Agent: bench\r\n\r\n",
			    name);
}

static void start_phase_(child_t *child);

static void on_caller_read_(struct bufferevent *bev, void *arg)
{
	peer_t *peer = arg;
	child_t *child = peer->child;

	if (!read_(peer))
		return;
	if (peer->reader.head && peer->reader.head->status != 200)
		exit(4);
	child->pending--;
	if (child->left > 0) {
		child->left--;
		send_request_(peer);
		return;
	}
	free_peer_(peer);
	if (child->pending > 0)
		return;
	if (write(child->report, "x", 1) != 1)
		exit(5);
	child->phase++;
	if (child->phase == PHASES)
		event_base_loopbreak(child->base);
	else
		start_phase_(child);
}

static void start_phase_(child_t *child)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(child->node_port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	int connections = child->phase < 2 ? CONNECTIONS : 1;
	int i;

	child->left = child->phase == 0	  ? WARM_UP
		      : child->phase == 1 ? child->requests
					  : 1;
	child->pending = child->left;
	for (i = 0; i < connections; i++) {
		peer_t *peer = new_peer_(child, -1, MMX_HTTP_RESPONSE);

		bufferevent_setcb(peer->bev, on_caller_read_, on_write_,
				  on_event_, peer);
		bufferevent_enable(peer->bev, EV_READ | EV_WRITE);
		bufferevent_socket_connect(peer->bev,
					   (struct sockaddr *)&address,
					   sizeof(address));
		child->left--;
		send_request_(peer);
	}
}

static void run_child_(int listener, int ports, int report, long requests)
{
	child_t child = {.report = report, .requests = requests};

	if (read(ports, &child.node_port, sizeof(child.node_port)) !=
	    sizeof(child.node_port))
		exit(2);
	child.base = event_base_new();
	evutil_make_socket_nonblocking(listener);
	evconnlistener_new(child.base, on_accept_, &child, 0, -1, listener);
	start_phase_(&child);
	event_base_dispatch(child.base);
	exit(child.phase == PHASES ? 0 : 1);
}

/* ---- measuring ---- */

typedef struct measure_t {
	struct event_base *base;
	int phase;
	double cpu_s[PHASES];
	double last_cpu_s;
	long added_kib[PHASES];
	long last_rss_kib;
	long rss_kib; /* before the transfers */
} measure_t;

static double cpu_s_(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
	       (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

static long status_kib_(const char *key)
{
	FILE *file = fopen("/proc/self/status", "re");
	char line[256];
	long value = 0;

	while (file && fgets(line, sizeof(line), file))
		if (strncmp(line, key, strlen(key)) == 0)
			value = strtol(line + strlen(key), NULL, 10);
	if (file)
		fclose(file);
	return value;
}

/* Sets the peak of the resident size back to its present value. */
static void reset_peak_(void)
{
	FILE *file = fopen("/proc/self/clear_refs", "we");

	if (!file)
		return;
	fputs("5", file);
	fclose(file);
}

static void start_measure_(measure_t *measure)
{
	reset_peak_();
	measure->last_cpu_s = cpu_s_();
	measure->last_rss_kib = status_kib_("VmRSS:");
}

static void on_report_(evutil_socket_t fd, short what, void *arg)
{
	measure_t *measure = arg;
	char byte;

	if (read(fd, &byte, 1) != 1) {
		event_base_loopbreak(measure->base);
		return;
	}
	measure->cpu_s[measure->phase] = cpu_s_() - measure->last_cpu_s;
	measure->added_kib[measure->phase] =
		status_kib_("VmHWM:") - measure->last_rss_kib;
	measure->phase++;
	start_measure_(measure);
	if (measure->phase == 2)
		measure->rss_kib = measure->last_rss_kib;
}

static void print_(const measure_t *measure, long requests, bool json)
{
	double rate = (double)requests / measure->cpu_s[1];

	if (json)
		printf("{\"requests\":%ld,\"cpu_s\":%.3f,"
		       "\"requests_per_cpu_s\":%.0f,"
		       "\"resident_kib\":%ld,"
		       "\"upload_added_kib\":%ld,\"download_added_kib\":%ld,"
		       "\"chunk_added_kib\":%ld}\n",
		       requests, measure->cpu_s[1], rate, measure->rss_kib,
		       measure->added_kib[2], measure->added_kib[3],
		       measure->added_kib[4]);
	else
		printf("small requests               %10ld\n"
		       "processor time               %10.3f s\n"
		       "requests per processor second%10.0f\n"
		       "resident before transfers    %10ld KiB\n"
		       "added by 64 MiB upload       %10ld KiB\n"
		       "added by 64 MiB download     %10ld KiB\n"
		       "added by one 64 MiB chunk    %10ld KiB\n",
		       requests, measure->cpu_s[1], rate, measure->rss_kib,
		       measure->added_kib[2], measure->added_kib[3],
		       measure->added_kib[4]);
}

static int bound_socket_(uint16_t *port)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&address, length) ||
	    listen(fd, SOMAXCONN) ||
	    getsockname(fd, (struct sockaddr *)&address, &length))
		exit(2);
	*port = ntohs(address.sin_port);
	return fd;
}

static bool run_node_(join_t *join, measure_t *measure, int ports, int report)
{
	mmx_runtime_t *runtime = mmx_runtime_create(measure->base);
	mmx_address_t address = {.host = "127.0.0.1"};
	struct event *event =
		event_new(measure->base, report, EV_READ | EV_PERSIST,
			  on_report_, measure);
	uint16_t port;

	mmx_task_init(&join->task, &join_ops_, runtime);
	join->http = mmx_http_entry_create(runtime, &join->task, NULL);
	join->client = mmx_target_client_create(runtime, &join->task, NULL);
	mmx_target_client_init(join->client);
	if (!mmx_http_entry_init(join->http, &address, NULL))
		return false;
	port = mmx_http_entry_port(join->http);
	if (write(ports, &port, sizeof(port)) != sizeof(port))
		return false;
	event_add(event, NULL);
	start_measure_(measure);
	event_base_dispatch(measure->base);
	event_free(event);
	mmx_http_entry_destroy(join->http);
	mmx_target_client_destroy(join->client);
	mmx_task_finish(&join->task);
	mmx_runtime_destroy(runtime);
	return measure->phase == PHASES;
}

int main(int argc, char **argv)
{
	join_t join = {.http = NULL};
	measure_t measure = {.phase = 0};
	long requests = REQUESTS;
	bool json = false;
	int listener = bound_socket_(&join.target_port);
	int ports[2];
	int report[2];
	int status;
	bool good;
	pid_t child;
	int i;

	for (i = 1; i < argc; i++) {
		if (strcmp(argv[i], "--json") == 0)
			json = true;
		else if (strcmp(argv[i], "--requests") == 0 && i + 1 < argc)
			requests = strtol(argv[++i], NULL, 10);
	}
	if (requests < CONNECTIONS || pipe(ports) || pipe(report))
		return 2;
	child = fork();
	if (child == 0) {
		close(report[0]);
		run_child_(listener, ports[0], report[1], requests);
	}
	close(listener);
	close(report[1]);
	measure.base = event_base_new();
	good = run_node_(&join, &measure, ports[1], report[0]);
	event_base_free(measure.base);
	good = waitpid(child, &status, 0) == child && status == 0 && good;
	if (good)
		print_(&measure, requests, json);
	else
		fprintf(stderr, "bench_http: failed in phase %s\n",
			phase_names_[MIN(measure.phase, PHASES - 1)]);
	return good ? 0 : 1;
}
