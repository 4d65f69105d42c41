#include "suites.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

#include "wire_samples.h"

static GBytes *bytes_(struct evbuffer *buffer)
{
	return g_bytes_new(evbuffer_pullup(buffer, -1),
			   evbuffer_get_length(buffer));
}

/* Guards against members that are lost or changed on the way: what was decoded
 * encodes to the same bytes, and a few members are compared directly. */
static void test_round_trip_(void)
{
	struct evbuffer *args;
	mmx_message_t *message;
	GBytes *first;
	GBytes *second;
	size_t i;

	for (i = 0; i < MMX_TEST_WIRE_KINDS; i++) {
		message = mmx_test_wire_sample(mmx_test_wire_kinds[i]);
		args = mmx_test_wire_args(message);
		mmx_message_destroy(message);
		first = bytes_(args);
		message = mmx_wire_decode(mmx_test_wire_kinds[i], args, NULL);
		CU_ASSERT_PTR_NOT_NULL_FATAL(message);
		CU_ASSERT_EQUAL(evbuffer_get_length(args), 0);
		evbuffer_free(args);
		args = mmx_test_wire_args(message);
		second = bytes_(args);
		CU_ASSERT_TRUE(g_bytes_equal(first, second));
		mmx_message_destroy(message);
		evbuffer_free(args);
		g_bytes_unref(first);
		g_bytes_unref(second);
	}
}

/* What arrives of a message. */
static mmx_message_t *carry_(mmx_message_t *message)
{
	struct evbuffer *args = mmx_test_wire_args(message);
	mmx_message_t *decoded = mmx_wire_decode(
		(mmx_message_kind_t)message->ops->kind, args, NULL);

	CU_ASSERT_PTR_NOT_NULL_FATAL(decoded);
	evbuffer_free(args);
	return decoded;
}

static mmx_message_t *transfer_(mmx_message_kind_t kind)
{
	mmx_message_t *message = mmx_test_wire_sample(kind);
	mmx_message_t *decoded = carry_(message);

	mmx_message_destroy(message);
	return decoded;
}

/* Guards against an encoder and a decoder that agree on a wrong member. */
static void test_members_(void)
{
	mmx_execute_t *execute =
		(mmx_execute_t *)transfer_(MMX_MESSAGE_EXECUTE);
	mmx_response_t *response =
		(mmx_response_t *)transfer_(MMX_MESSAGE_RESPONSE);

	CU_ASSERT_EQUAL(execute->attempt.entry, 0x1122334455667788ULL);
	CU_ASSERT_EQUAL(execute->attempt.sequence, UINT64_MAX);
	CU_ASSERT_EQUAL(execute->exit_incarnation, 7);
	CU_ASSERT_EQUAL(execute->target, 8);
	CU_ASSERT_STRING_EQUAL(execute->service, "jobs");
	CU_ASSERT_STRING_EQUAL(execute->account, "north");
	CU_ASSERT_TRUE(execute->repeatable && execute->trial &&
		       execute->body_end);
	CU_ASSERT_EQUAL(execute->remaining, 1234567);
	CU_ASSERT_EQUAL(execute->max_wait, 89);
	CU_ASSERT_EQUAL(execute->priority, 7);
	CU_ASSERT_EQUAL(execute->account_use, 640);
	CU_ASSERT_EQUAL(execute->route, 11);
	CU_ASSERT_EQUAL(execute->caller_repeat_percent, 60);
	CU_ASSERT_EQUAL(execute->objective, 7654);
	CU_ASSERT_TRUE(execute->repeat);
	CU_ASSERT_EQUAL(execute->trace.span_id[7], 0xcd);
	CU_ASSERT_STRING_EQUAL(execute->head->method, "POST");
	CU_ASSERT_STRING_EQUAL(mmx_head_find(execute->head, "x-empty"), "");
	CU_ASSERT_EQUAL(evbuffer_get_length(execute->body), 5);
	CU_ASSERT_TRUE(response->started && !response->body_end);
	CU_ASSERT_EQUAL(response->head->status, 201);
	CU_ASSERT_EQUAL(response->load.queued, 65535);
	CU_ASSERT_EQUAL(response->load.state, MMX_TARGET_DRAINING);
	CU_ASSERT_EQUAL(response->load.wait_ms, 65535);
	CU_ASSERT_EQUAL(response->load.score, 123456);
	CU_ASSERT_EQUAL(response->target_time, 22);
	mmx_message_destroy(&execute->message);
	mmx_message_destroy(&response->message);
}

/* Guards against optional members that are lost: the latency distribution of
 * other targets, and the marks of keyed attempts, good responses and repeats
 * that another exit has charged. */
static void test_optional_members_(void)
{
	mmx_execute_t *sent =
		(mmx_execute_t *)mmx_test_wire_sample(MMX_MESSAGE_EXECUTE);
	mmx_response_t *answer =
		(mmx_response_t *)mmx_test_wire_sample(MMX_MESSAGE_RESPONSE);
	mmx_execute_t *execute;
	mmx_response_t *response;
	size_t i;

	sent->keyed = true;
	sent->peers = g_new0(mmx_latency_summary_t, 1);
	for (i = 0; i < MMX_LATENCY_BUCKETS; i++)
		sent->peers->count[i] = (uint32_t)(i * i);
	sent->peers->requests = 77;
	sent->peers->errors = 5;
	sent->granted = true;
	answer->good = true;
	answer->grant = true;
	answer->load.work_ms = 65535;
	answer->load.run_ms = 432;
	execute = (mmx_execute_t *)carry_(&sent->message);
	response = (mmx_response_t *)carry_(&answer->message);
	CU_ASSERT_TRUE(execute->keyed && response->good);
	CU_ASSERT_TRUE(execute->granted && response->grant);
	CU_ASSERT_EQUAL(response->load.work_ms, 65535);
	CU_ASSERT_EQUAL(response->load.run_ms, 432);
	CU_ASSERT_PTR_NOT_NULL_FATAL(execute->peers);
	CU_ASSERT_EQUAL(
		memcmp(execute->peers, sent->peers, sizeof(*sent->peers)), 0);
	mmx_message_destroy(&sent->message);
	mmx_message_destroy(&answer->message);
	mmx_message_destroy(&execute->message);
	mmx_message_destroy(&response->message);
}

/* Guards against responses that an earlier release cannot decode although
 * targets are chosen by requests: unknown work must take no bytes. */
static void test_unknown_work_(void)
{
	size_t length[2];
	int i;

	for (i = 0; i < 2; i++) {
		mmx_response_t *response =
			(mmx_response_t *)mmx_test_wire_sample(
				MMX_MESSAGE_RESPONSE);
		struct evbuffer *args;

		response->load.work_ms = (uint16_t)i;
		args = mmx_test_wire_args(&response->message);
		length[i] = evbuffer_get_length(args);
		mmx_message_destroy(&response->message);
		evbuffer_free(args);
	}
	CU_ASSERT_EQUAL(length[1], length[0] + 4);
}

/* One word of a valid message replaced; offsets in bytes from the start. */
typedef struct patch_t {
	const char *what;
	size_t offset;
	mmx_message_kind_t kind;
	uint32_t word;
} patch_t;

/* EXECUTE: body length 0, attempt 4, incarnation 28, target 36, service
 * length 44, "jobs" 48, account length 52, "nort" 56, "h" 60, flags 64,
 * remaining 68, patience 76, objective 84, inherited 92, route 96,
 * priority 100, trace 104, flags 128, method length 132, "POST" 136, URI
 * length 140, 12 bytes, header count 156, name length 160, use of the account's
 * limit 192. */
static const patch_t patches_[] = {
	{"body longer than the record", 0, MMX_MESSAGE_EXECUTE, 9},
	{"body at the top of the range", 0, MMX_MESSAGE_EXECUTE, UINT32_MAX},
	{"body that takes fields", 0, MMX_MESSAGE_EXECUTE, 100},
	{"body shorter than sent", 0, MMX_MESSAGE_EXECUTE, 4},
	{"body of a kind without one", 0, MMX_MESSAGE_FENCE, 4},
	{"empty service", 44, MMX_MESSAGE_EXECUTE, 0},
	{"service too long", 44, MMX_MESSAGE_EXECUTE, MMX_NAME_MAX + 1},
	{"service at the top of the range", 44, MMX_MESSAGE_EXECUTE,
	 UINT32_MAX},
	{"NUL in the service", 48, MMX_MESSAGE_EXECUTE, 0x6a006273},
	{"line break in the service", 48, MMX_MESSAGE_EXECUTE, 0x6a0a6273},
	{"account too long", 52, MMX_MESSAGE_EXECUTE, 64},
	{"unknown flag", 64, MMX_MESSAGE_EXECUTE, 0x1000},
	{"flag without its distribution", 64, MMX_MESSAGE_EXECUTE, 0x20},
	{"flag of another kind", 64, MMX_MESSAGE_EXECUTE, 0x8},
	{"negative duration", 68, MMX_MESSAGE_EXECUTE, UINT32_MAX},
	{"duration of years", 68, MMX_MESSAGE_EXECUTE, 0x10000},
	{"patience of years", 76, MMX_MESSAGE_EXECUTE, 0x10000},
	{"share above all", 92, MMX_MESSAGE_EXECUTE, 101},
	{"priority out of range", 100, MMX_MESSAGE_EXECUTE,
	 MMX_PRIORITY_MAX + 1},
	{"trace flags out of range", 128, MMX_MESSAGE_EXECUTE, 256},
	{"empty method", 132, MMX_MESSAGE_EXECUTE, 0},
	{"method too long", 132, MMX_MESSAGE_EXECUTE, MMX_WIRE_METHOD_MAX + 1},
	{"blank in the method", 136, MMX_MESSAGE_EXECUTE, 0x504f2054},
	{"URI too long", 140, MMX_MESSAGE_EXECUTE, MMX_WIRE_URI_MAX + 1},
	{"blank in the URI", 144, MMX_MESSAGE_EXECUTE, 0x2f206172},
	{"more headers than sent", 156, MMX_MESSAGE_EXECUTE, 3},
	{"fewer headers than sent", 156, MMX_MESSAGE_EXECUTE, 1},
	{"too many headers", 156, MMX_MESSAGE_EXECUTE, 101},
	{"empty header name", 160, MMX_MESSAGE_EXECUTE, 0},
	{"header name too long", 160, MMX_MESSAGE_EXECUTE, 257},
	{"colon in a header name", 164, MMX_MESSAGE_EXECUTE, 0x486f3a74},
	{"control byte in a value", 172, MMX_MESSAGE_EXECUTE, 0x6a0d0a73},
	{"use above the limit", 192, MMX_MESSAGE_EXECUTE, 1001},
	{"unknown reason", 28, MMX_MESSAGE_RESPONSE, MMX_REASON_COUNT},
	{"flag of another kind", 32, MMX_MESSAGE_RESPONSE, 0x2},
	{"status too low", 36, MMX_MESSAGE_RESPONSE, 99},
	{"status too high", 36, MMX_MESSAGE_RESPONSE, 1000},
	{"neither head nor reason", 36, MMX_MESSAGE_RESPONSE, 0},
	{"unknown direction", 28, MMX_MESSAGE_BODY, MMX_DIRECTION_COUNT},
	{"unknown flag", 32, MMX_MESSAGE_BODY, 0x40},
	{"unknown direction", 28, MMX_MESSAGE_WINDOW, UINT32_MAX},
	{"unknown fence state", 28, MMX_MESSAGE_FENCE_REPLY,
	 MMX_FENCE_STATE_COUNT},
	{"unknown fence purpose", 36, MMX_MESSAGE_FENCE,
	 MMX_FENCE_PURPOSE_COUNT},
	{"unknown fence purpose", 32, MMX_MESSAGE_FENCE_REPLY,
	 MMX_FENCE_PURPOSE_COUNT},
	{"unknown target state", 16, MMX_MESSAGE_EVIDENCE,
	 MMX_TARGET_STATE_COUNT},
	{"level out of range", 20, MMX_MESSAGE_EVIDENCE, 0x1000000},
};

/* Guards against decoders that trust a length, a count or an enum. */
static void test_refusals_(void)
{
	struct evbuffer *args;
	mmx_message_t *message;
	const patch_t *patch;
	mmx_error_t error;
	uint32_t word;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(patches_); i++) {
		patch = &patches_[i];
		message = mmx_test_wire_sample(patch->kind);
		args = mmx_test_wire_args(message);
		mmx_message_destroy(message);
		word = htonl(patch->word);
		memcpy(evbuffer_pullup(args, -1) + patch->offset, &word,
		       sizeof(word));
		error.text[0] = '\0';
		message = mmx_wire_decode(patch->kind, args, &error);
		if (message)
			fprintf(stderr, "accepted: %s\n", patch->what);
		CU_ASSERT_PTR_NULL(message);
		CU_ASSERT_NOT_EQUAL(error.text[0], '\0');
		mmx_message_destroy(message);
		evbuffer_free(args);
	}
}

/* Guards against reading past the end, and against a message that is taken
 * although bytes are missing or left over. */
static void test_truncation_(void)
{
	struct evbuffer *whole;
	struct evbuffer *part;
	mmx_message_t *message;
	size_t length;
	size_t i;
	size_t n;

	for (i = 0; i < MMX_TEST_WIRE_KINDS; i++) {
		message = mmx_test_wire_sample(mmx_test_wire_kinds[i]);
		whole = mmx_test_wire_args(message);
		mmx_message_destroy(message);
		length = evbuffer_get_length(whole);
		evbuffer_add(whole, "\0\0\0\0\0\0\0", 8);
		for (n = 0; n <= length + 8; n += 4) {
			if (n == length)
				continue;
			part = evbuffer_new();
			evbuffer_add(part, evbuffer_pullup(whole, -1), n);
			message = mmx_wire_decode(mmx_test_wire_kinds[i], part,
						  NULL);
			CU_ASSERT_PTR_NULL(message);
			mmx_message_destroy(message);
			evbuffer_free(part);
		}
		evbuffer_free(whole);
	}
}

static size_t encode_(mmx_execute_t *execute)
{
	uint8_t fields[MMX_WIRE_FIELDS_MAX];
	size_t size = mmx_wire_encode(&execute->message, fields, NULL);

	mmx_message_destroy(&execute->message);
	return size;
}

static mmx_execute_t *sample_execute_(void)
{
	return (mmx_execute_t *)mmx_test_wire_sample(MMX_MESSAGE_EXECUTE);
}

/* Guards against records that the other side would have to refuse, and
 * against limits that are one off. */
static void test_encode_limits_(void)
{
	char *text = g_strnfill(MMX_HEAD_BYTES_MAX, 'a');
	mmx_execute_t *execute = sample_execute_();
	size_t i;

	mmx_head_add(execute->head, "Long", text);
	CU_ASSERT_EQUAL(encode_(execute), 0);
	execute = sample_execute_();
	mmx_head_destroy(execute->head);
	execute->head = mmx_head_create_request("GET", text);
	for (i = 0; i < MMX_HEAD_HEADERS_MAX; i++)
		mmx_head_add(execute->head, "N", i ? "v" : text + 100 * 6 + 8);
	CU_ASSERT_NOT_EQUAL(encode_(execute), 0);
	execute = sample_execute_();
	for (i = 0; i < MMX_HEAD_HEADERS_MAX; i++)
		mmx_head_add(execute->head, "N", "v");
	CU_ASSERT_EQUAL(encode_(execute), 0);
	execute = sample_execute_();
	evbuffer_add(execute->body, text, MMX_HEAD_BYTES_MAX);
	while (evbuffer_get_length(execute->body) <= MMX_WIRE_BODY_MAX)
		evbuffer_add(execute->body, text, MMX_HEAD_BYTES_MAX);
	CU_ASSERT_EQUAL(encode_(execute), 0);
	execute = sample_execute_();
	execute->remaining = -5;
	CU_ASSERT_NOT_EQUAL(encode_(execute), 0);
	g_free(text);
}

/* Guards against copies of bodies: the chain that was sent is the chain that
 * is received. */
static void test_body_is_moved_(void)
{
	mmx_body_t *body = mmx_new_body(MMX_TO_TARGET);
	static uint8_t data[65536];
	struct evbuffer_iovec piece;
	struct evbuffer *args;
	mmx_message_t *decoded;

	evbuffer_add_reference(body->data, data, 65536, NULL, NULL);
	args = mmx_test_wire_args(&body->message);
	decoded = mmx_wire_decode(MMX_MESSAGE_BODY, args, NULL);
	CU_ASSERT_PTR_NOT_NULL(decoded);
	if (!decoded)
		return;
	evbuffer_peek(((mmx_body_t *)decoded)->data, -1, NULL, &piece, 1);
	CU_ASSERT_PTR_EQUAL(piece.iov_base, data);
	CU_ASSERT_EQUAL(piece.iov_len, 65536);
	mmx_message_destroy(decoded);
	mmx_message_destroy(&body->message);
	evbuffer_free(args);
}

CU_TestInfo mmx_tests_wire[] = {
	{"messages survive the wire", test_round_trip_},
	{"members keep their values", test_members_},
	{"optional members keep their values", test_optional_members_},
	{"unknown work takes no bytes", test_unknown_work_},
	{"bad values are refused", test_refusals_},
	{"truncated and extended messages are refused", test_truncation_},
	{"what exceeds a limit is not encoded", test_encode_limits_},
	{"bodies are not copied", test_body_is_moved_},
	CU_TEST_INFO_NULL,
};
