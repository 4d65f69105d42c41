#include "standin/target_answer.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "standin/pattern.h"
#include "standin/server.h"

#define RESPONSE_BYTES_MAX (1ULL << 32)

const char *const answer_result_string[ANSWER_RESULT_COUNT] = {
	"executed", "refused", "cancelled"};

void answer_init(answer_t *answer, struct evhttp_request *req,
		 const char *target)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	const char *key = evhttp_find_header(headers, "X-Request-Key");
	const char *bytes = evhttp_find_header(headers, "X-Response-Bytes");

	*answer = (answer_t){.req = req, .target = target, .cut = ANSWER_WHOLE};
	if (key && executions_key_valid(key))
		g_strlcpy(answer->key, key, sizeof(answer->key));
	answer->request_bytes = evbuffer_get_length(body);
	answer->checksum = pattern_hash_buffer(body);
	evbuffer_drain(body, answer->request_bytes);
	if (bytes)
		answer->response_bytes = MIN(g_ascii_strtoull(bytes, NULL, 10),
					     RESPONSE_BYTES_MAX);
}

static void add_headers_(const answer_t *answer, answer_result_t result)
{
	struct evkeyvalq *headers =
		evhttp_request_get_output_headers(answer->req);

	if (answer->key[0])
		evhttp_add_header(headers, "X-Request-Key",
				  answer->swapped ? "another-key"
						  : answer->key);
	evhttp_add_header(headers, "X-Target", answer->target);
	evhttp_add_header(headers, "X-Target-Result",
			  answer_result_string[result]);
}

static void fill_body_(const answer_t *answer, struct evbuffer *body)
{
	const char *key = answer->swapped ? "another-key" : answer->key;
	uint64_t prefix = strlen(key) + 1;
	uint64_t bytes = answer->response_bytes;

	if (bytes == 0) {
		evbuffer_add_printf(body,
				    "{\"key\":\"%s\",\"target\":\"%s\","
				    "\"checksum\":\"%016" PRIx64 "\","
				    "\"bytes\":%" PRIu64 "}\n",
				    key, answer->target,
				    answer->checksum ^ answer->corrupt,
				    answer->request_bytes);
		return;
	}
	evbuffer_add_printf(body, "%s\n", key);
	if (bytes <= prefix)
		return;
	pattern_append(body, bytes - prefix - answer->corrupt);
	if (answer->corrupt)
		evbuffer_add(body, "", 1);
}

static void on_cut_written_(struct evhttp_connection *conn, void *arg)
{
	evhttp_connection_free(conn);
}

static void send_cut_(const answer_t *answer, struct evbuffer *body,
		      uint64_t whole)
{
	struct evkeyvalq *headers =
		evhttp_request_get_output_headers(answer->req);
	struct evbuffer *part = evbuffer_new();
	char length[32];

	g_snprintf(length, sizeof(length), "%" PRIu64, whole);
	evhttp_add_header(headers, "Content-Length", length);
	evbuffer_remove_buffer(body, part, answer->cut);
	evhttp_send_reply_start(answer->req, HTTP_OK, NULL);
	/* Without a first byte of the body libevent would not report that the
	 * headers were written; the headers then go with the close. */
	if (answer->cut == 0)
		standin_drop(answer->req, STANDIN_DROP_CLOSE);
	else
		evhttp_send_reply_chunk_with_cb(answer->req, part,
						on_cut_written_, NULL);
	evbuffer_free(part);
}

bool answer_send(answer_t *answer)
{
	struct evkeyvalq *headers =
		evhttp_request_get_output_headers(answer->req);
	struct evbuffer *body = evbuffer_new();
	uint64_t whole;
	bool cut;

	add_headers_(answer, ANSWER_EXECUTED);
	evhttp_add_header(headers, "Content-Type",
			  answer->response_bytes ? "application/octet-stream"
						 : "application/json");
	fill_body_(answer, body);
	whole = answer->response_bytes ? answer->response_bytes
				       : evbuffer_get_length(body);
	/* A body shorter than its key ends within the key. */
	if (evbuffer_get_length(body) > whole) {
		struct evbuffer *part = evbuffer_new();

		evbuffer_remove_buffer(body, part, whole);
		evbuffer_free(body);
		body = part;
	}
	if (evhttp_request_get_command(answer->req) == EVHTTP_REQ_HEAD)
		evbuffer_drain(body, evbuffer_get_length(body));
	cut = answer->cut < evbuffer_get_length(body);
	if (cut)
		send_cut_(answer, body, whole);
	else
		evhttp_send_reply(answer->req, HTTP_OK, NULL, body);
	evbuffer_free(body);
	return cut;
}

void answer_refusal(answer_t *answer, int status, answer_result_t result)
{
	add_headers_(answer, result);
	evhttp_send_reply(answer->req, status, NULL, NULL);
}
