#include "share/http_json.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>

json_t *mmx_http_json_body(struct evhttp_request *req, mmx_error_t *error)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	size_t length = evbuffer_get_length(body);
	const char *text = (const char *)evbuffer_pullup(body, -1);
	json_error_t fault;
	json_t *value;

	value = json_loadb(text ? text : "", length, 0, &fault);
	if (!value) {
		mmx_error_set(error, MMX_ERROR_INVALID, "line %d column %d: %s",
			      fault.line, fault.column, fault.text);
		return NULL;
	}
	if (!json_is_object(value)) {
		mmx_error_set(error, MMX_ERROR_INVALID,
			      "a JSON object is required");
		json_decref(value);
		return NULL;
	}
	return value;
}

void mmx_http_json_reply(struct evhttp_request *req, int status, json_t *value)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	struct evbuffer *body = evbuffer_new();
	char *text = json_dumps(value, JSON_COMPACT);

	if (text)
		evbuffer_add_printf(body, "%s\n", text);
	evhttp_add_header(headers, "Content-Type", "application/json");
	evhttp_send_reply(req, status, NULL, body);
	evbuffer_free(body);
	free(text);
	json_decref(value);
}

void mmx_http_json_error(struct evhttp_request *req, int status,
			 const char *text)
{
	mmx_http_json_reply(req, status, json_pack("{s:s}", "error", text));
}
