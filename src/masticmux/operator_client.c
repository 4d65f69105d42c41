#include "operator_client.h"

#include <assert.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "masticmux/task.h"

/* A status of 4,200 members and 4,096 targets takes about 1 MB. */
#define BODY_MAX (8 * 1024 * 1024)

const char *const mmx_operator_verb_string[MMX_OPERATOR_VERB_COUNT] = {
	"GET",
	"POST",
};

static const enum evhttp_cmd_type methods_[MMX_OPERATOR_VERB_COUNT] = {
	EVHTTP_REQ_GET,
	EVHTTP_REQ_POST,
};

struct mmx_operator_client_t {
	struct event_base *base;
	mmx_runtime_t *runtime;
	mmx_address_t address;
	int timeout_s;
	mmx_timer_t pause;
	/* Of the call: */
	bool timed_out;
	bool responded;
	mmx_operator_response_t *response;
};

static void on_pause_(void *arg)
{
	mmx_operator_client_t *client = arg;

	event_base_loopbreak(client->base);
}

mmx_operator_client_t *mmx_operator_client_create(const mmx_address_t *address,
						  int timeout_s)
{
	mmx_operator_client_t *client = g_new0(mmx_operator_client_t, 1);

	assert(timeout_s >= 1);
	signal(SIGPIPE, SIG_IGN);
	client->base = event_base_new();
	client->runtime = mmx_runtime_create(client->base);
	client->address = *address;
	client->timeout_s = timeout_s;
	mmx_timer_init(&client->pause, mmx_runtime_clock(client->runtime),
		       on_pause_, client);
	return client;
}

void mmx_operator_client_destroy(mmx_operator_client_t *client)
{
	if (!client)
		return;
	mmx_timer_cancel(&client->pause);
	mmx_runtime_destroy(client->runtime);
	event_base_free(client->base);
	g_free(client);
}

static void on_error_(enum evhttp_request_error error, void *arg)
{
	mmx_operator_client_t *client = arg;

	client->timed_out = error == EVREQ_HTTP_TIMEOUT;
}

static void on_response_(struct evhttp_request *request, void *arg)
{
	mmx_operator_client_t *client = arg;
	mmx_operator_response_t *response = client->response;
	struct evbuffer *body;

	event_base_loopbreak(client->base);
	/* A failed connect comes as a request without a status. */
	if (!request || evhttp_request_get_response_code(request) == 0)
		return;
	body = evhttp_request_get_input_buffer(request);
	response->status = evhttp_request_get_response_code(request);
	response->length = evbuffer_get_length(body);
	response->text = g_malloc(response->length + 1);
	evbuffer_copyout(body, response->text, response->length);
	response->text[response->length] = '\0';
	client->responded = true;
}

bool mmx_operator_client_call(mmx_operator_client_t *client,
			      mmx_operator_verb_t verb, const char *path,
			      mmx_operator_response_t *response,
			      mmx_error_t *error)
{
	struct evhttp_connection *connection = evhttp_connection_base_new(
		client->base, NULL, client->address.host, client->address.port);
	struct evhttp_request *request =
		evhttp_request_new(on_response_, client);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
	char host[MMX_ADDRESS_TEXT_MAX + 1];

	mmx_address_format(&client->address, host, sizeof(host));
	evhttp_request_set_error_cb(request, on_error_);
	evhttp_connection_set_timeout(connection, client->timeout_s);
	evhttp_connection_set_max_body_size(connection, BODY_MAX);
	evhttp_add_header(headers, "Host", host);
	evhttp_add_header(headers, "Connection", "close");
	client->response = response;
	client->responded = false;
	client->timed_out = false;
	memset(response, 0, sizeof(*response));
	if (evhttp_make_request(connection, request, methods_[verb], path) == 0)
		event_base_dispatch(client->base);
	evhttp_connection_free(connection);
	if (client->responded)
		return true;
	return mmx_error_set(error, MMX_ERROR_UNAVAILABLE,
			     "no response from the operator address %s%s", host,
			     client->timed_out ? " in time"
					       : "; is the node running?");
}

mmx_time_t mmx_operator_client_now(const mmx_operator_client_t *client)
{
	return mmx_clock_now(mmx_runtime_clock(client->runtime));
}

void mmx_operator_client_pause(mmx_operator_client_t *client,
			       mmx_time_t duration)
{
	mmx_timer_set(&client->pause, duration);
	event_base_dispatch(client->base);
}

char *mmx_operator_client_path(const char *path, const char *key,
			       const char *value)
{
	char *escaped = g_uri_escape_string(value, NULL, FALSE);
	char *result = g_strdup_printf("%s?%s=%s", path, key, escaped);

	g_free(escaped);
	return result;
}
