#include "standin/announcer.h"

#include <event2/buffer.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LEASE_PARTS 3
/* Until the first announcement is accepted; the node may start later. */
#define RETRY_US (100 * MMX_US_PER_MS)
#define LEAVE_US (500 * MMX_US_PER_MS)
#define CONNECT_TIMEOUT_S 2

/* One line on standard error when the node's answer changes. */
static void report_change_(announcer_t *announcer, struct evhttp_request *req,
			   int status)
{
	struct evbuffer *body =
		req ? evhttp_request_get_input_buffer(req) : NULL;
	char text[256] = "";

	if (status == announcer->last_status)
		return;
	announcer->last_status = status;
	if (body)
		evbuffer_copyout(body, text, sizeof(text) - 1);
	text[strcspn(text, "\r\n")] = '\0';
	fprintf(stderr, "announcement of %s: status %d %s\n", announcer->name,
		status, text);
}

static void on_reply_(struct evhttp_request *req, void *arg)
{
	announcer_t *announcer = arg;
	int status = req ? evhttp_request_get_response_code(req) : 0;

	announcer->outstanding = false;
	if (announcer->leaving) {
		standin_server_stop(announcer->server);
		return;
	}
	report_change_(announcer, req, status);
	if (status >= 200 && status < 300)
		announcer->accepted++;
	else
		announcer->failed++;
	if (announcer->repeat)
		mmx_timer_set(&announcer->timer, 0);
	else if (announcer->accepted == 0 && !announcer->paused)
		mmx_timer_set(&announcer->timer, RETRY_US);
	announcer->repeat = false;
}

static bool send_(announcer_t *announcer, enum evhttp_cmd_type method,
		  const char *path, const char *body)
{
	struct evhttp_request *req = evhttp_request_new(on_reply_, announcer);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);

	evhttp_add_header(headers, "Host", announcer->node.host);
	if (body) {
		evhttp_add_header(headers, "Content-Type", "application/json");
		evbuffer_add_printf(evhttp_request_get_output_buffer(req), "%s",
				    body);
	}
	announcer->outstanding =
		evhttp_make_request(announcer->conn, req, method, path) == 0;
	return announcer->outstanding;
}

static void announce_(announcer_t *announcer)
{
	const standin_address_t *own = &announcer->server->address;
	json_t *value;
	char *body;

	if (announcer->paused || announcer->leaving)
		return;
	if (announcer->outstanding) {
		announcer->repeat = true;
		return;
	}
	value = json_pack("{s:s,s:s,s:s,s:i,s:i,s:s,s:f,s:i}", "name",
			  announcer->name, "service", announcer->service,
			  "address", own->host, "port", (int)own->port, "slots",
			  announcer->slots, "state",
			  announcer->state(announcer->arg), "load",
			  announcer->load(announcer->arg), "lease_ms",
			  announcer->lease_ms);
	body = json_dumps(value, JSON_COMPACT);
	json_decref(value);
	if (!send_(announcer, EVHTTP_REQ_POST, announcer->path, body))
		announcer->failed++;
	free(body);
}

static void on_timer_(void *arg)
{
	announcer_t *announcer = arg;

	if (announcer->leaving) {
		standin_server_stop(announcer->server);
		return;
	}
	mmx_timer_set(&announcer->timer,
		      announcer->lease_ms * MMX_US_PER_MS / LEASE_PARTS);
	announce_(announcer);
}

void announcer_start(announcer_t *announcer)
{
	announcer->conn = evhttp_connection_base_new(announcer->server->base,
						     NULL, announcer->node.host,
						     announcer->node.port);
	evhttp_connection_set_timeout(announcer->conn, CONNECT_TIMEOUT_S);
	mmx_timer_init(&announcer->timer, announcer->server->clock, on_timer_,
		       announcer);
	announcer->started = true;
	on_timer_(announcer);
}

void announcer_update(announcer_t *announcer)
{
	if (announcer->started && !announcer->leaving)
		on_timer_(announcer);
}

void announcer_leave(announcer_t *announcer)
{
	char path[256];

	if (!announcer->started || announcer->leaving || announcer->paused) {
		standin_server_stop(announcer->server);
		return;
	}
	announcer->leaving = true;
	snprintf(path, sizeof(path), "%s/%s", announcer->path, announcer->name);
	mmx_timer_set(&announcer->timer, LEAVE_US);
	if (!send_(announcer, EVHTTP_REQ_DELETE, path, NULL))
		standin_server_stop(announcer->server);
}

void announcer_destroy(announcer_t *announcer)
{
	if (!announcer->started)
		return;
	mmx_timer_cancel(&announcer->timer);
	evhttp_connection_free(announcer->conn);
	announcer->started = false;
}
