/* Deterministic mutations of valid input; run under the sanitizers too. */
#include "suites.h"

#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

#include "masticmux/random.h"
#include "wire_samples.h"

#define DECODER_INPUTS 24000
#define READER_INPUTS 12000

static const uint32_t words_[] = {
	0,	    1,		3,	    64,		101,
	257,	    0x4000,	0x40001,    0x100000,	0x7fffffff,
	0x80000000, 0x80000001, 0xfffffffc, 0xffffffff,
};

/* Changes a few bytes, sets a word to a value near a limit, removes or
 * repeats a part, or cuts the end off. */
static void mutate_(GByteArray *bytes, mmx_random_t *random)
{
	uint64_t steps = 1 + mmx_random_below(random, 4);
	uint8_t *copy;
	uint32_t word;
	guint at;
	guint n;

	while (steps-- > 0 && bytes->len >= 8) {
		at = (guint)mmx_random_below(random, bytes->len - 4);
		n = (guint)mmx_random_below(random, bytes->len - at);
		switch (mmx_random_below(random, 6)) {
		case 0:
			bytes->data[at] = (uint8_t)mmx_random_next(random);
			break;
		case 1:
			bytes->data[at] ^= (uint8_t)(1 << n % 8);
			break;
		case 2:
			word = GUINT32_TO_BE(words_[mmx_random_below(
				random, G_N_ELEMENTS(words_))]);
			memcpy(bytes->data + at / 4 * 4, &word, sizeof(word));
			break;
		case 3:
			g_byte_array_remove_range(bytes, at, n % 16);
			break;
		case 4:
			copy = g_memdup2(bytes->data, n);
			g_byte_array_append(bytes, copy, n);
			g_free(copy);
			break;
		default:
			g_byte_array_set_size(bytes, at);
			break;
		}
	}
}

/* Adds the bytes as chains of random length. */
static void add_split_(struct evbuffer *buffer, const uint8_t *bytes,
		       size_t length, mmx_random_t *random)
{
	struct evbuffer *chain;
	size_t n;

	while (length > 0) {
		n = 1 + mmx_random_below(random, MIN(length, 200));
		chain = evbuffer_new();
		evbuffer_add(chain, bytes, n);
		evbuffer_add_buffer(buffer, chain);
		evbuffer_free(chain);
		bytes += n;
		length -= n;
	}
}

static GByteArray *sample_bytes_(mmx_message_kind_t kind)
{
	mmx_message_t *message = mmx_test_wire_sample(kind);
	struct evbuffer *args = mmx_test_wire_args(message);
	GByteArray *bytes = g_byte_array_new();

	g_byte_array_append(bytes, evbuffer_pullup(args, -1),
			    (guint)evbuffer_get_length(args));
	evbuffer_free(args);
	mmx_message_destroy(message);
	return bytes;
}

/* What was accepted must be a whole message: it can be sent on. */
static void check_accepted_(mmx_message_t *message)
{
	struct evbuffer *args = mmx_test_wire_args(message);
	mmx_message_t *again = mmx_wire_decode(message->ops->kind, args, NULL);

	CU_ASSERT_PTR_NOT_NULL(again);
	mmx_message_destroy(again);
	mmx_message_destroy(message);
	evbuffer_free(args);
}

/* Guards against crashes, leaks and half-decoded messages. */
static void test_decoder_(void)
{
	struct evbuffer *args;
	mmx_message_t *message;
	mmx_message_kind_t kind;
	mmx_random_t random;
	mmx_error_t error;
	GByteArray *bytes;
	size_t accepted = 0;
	size_t i;

	mmx_random_seed(&random, 11);
	for (i = 0; i < DECODER_INPUTS; i++) {
		kind = mmx_test_wire_kinds[i % MMX_TEST_WIRE_KINDS];
		bytes = sample_bytes_(kind);
		mutate_(bytes, &random);
		args = evbuffer_new();
		add_split_(args, bytes->data, bytes->len, &random);
		g_byte_array_unref(bytes);
		error.text[0] = '\0';
		message = mmx_wire_decode(kind, args, &error);
		evbuffer_free(args);
		if (message) {
			accepted++;
			check_accepted_(message);
		} else {
			CU_ASSERT_NOT_EQUAL(error.text[0], '\0');
		}
	}
	/* Both ways were taken often; otherwise the test tests little. */
	CU_ASSERT_TRUE(accepted > DECODER_INPUTS / 100);
	CU_ASSERT_TRUE(accepted < DECODER_INPUTS - DECODER_INPUTS / 100);
}

/* Guards against the same in HELLO, which comes before any authentication,
 * and in the arguments of generic calls. */
static void test_hello_(void)
{
	mmx_hello_t hello = {.key_id = "old", .node_name = "node-a"};
	uint8_t fields[MMX_WIRE_FIELDS_MAX];
	size_t size = mmx_wire_encode_hello(&hello, fields);
	struct evbuffer *args;
	mmx_random_t random;
	GByteArray *bytes;
	size_t i;

	mmx_random_seed(&random, 12);
	for (i = 0; i < DECODER_INPUTS / 8; i++) {
		bytes = g_byte_array_new();
		g_byte_array_append(bytes, fields, (guint)size);
		mutate_(bytes, &random);
		args = evbuffer_new();
		add_split_(args, bytes->data, bytes->len, &random);
		if (mmx_wire_decode_hello(args, &hello, NULL)) {
			CU_ASSERT_TRUE(strlen(hello.node_name) <= MMX_NAME_MAX);
			CU_ASSERT_TRUE(strlen(hello.key_id) <=
				       MMX_FLEET_KEY_ID_MAX);
		}
		if (mmx_wire_decode_bytes(args, NULL))
			CU_ASSERT_TRUE(evbuffer_get_length(args) <= bytes->len);
		evbuffer_free(args);
		g_byte_array_unref(bytes);
	}
}

static void add_record_(GByteArray *stream, mmx_message_kind_t kind,
			mmx_random_t *random)
{
	mmx_rpc_header_t header = {
		.xid = 3,
		.reply = mmx_random_below(random, 2),
		.verified = mmx_random_below(random, 2),
		.procedure = MMX_PROCEDURE_EXECUTE,
	};
	GByteArray *args = sample_bytes_(kind);
	GByteArray *record = g_byte_array_new();
	uint8_t head[MMX_RPC_HEADER_MAX];
	guint at = 0;
	guint n;
	uint32_t mark;

	mmx_rpc_header_encode(&header, head);
	g_byte_array_append(record, head, (guint)mmx_rpc_header_size(&header));
	g_byte_array_append(record, args->data, args->len);
	while (at < record->len) {
		n = 1 + (guint)mmx_random_below(random, record->len - at);
		mark = n | (at + n == record->len ? 0x80000000U : 0);
		mark = GUINT32_TO_BE(mark);
		g_byte_array_append(stream, (uint8_t *)&mark, sizeof(mark));
		g_byte_array_append(stream, record->data + at, n);
		at += n;
	}
	g_byte_array_unref(record);
	g_byte_array_unref(args);
}

/* Takes a record apart as a connection does. */
static void read_record_(struct evbuffer *record, mmx_message_kind_t kind)
{
	uint8_t head[MMX_RPC_HEADER_MAX];
	ev_ssize_t copied = evbuffer_copyout(record, head, sizeof(head));
	mmx_rpc_header_t header;
	mmx_message_t *message;

	CU_ASSERT_TRUE(evbuffer_get_length(record) <= MMX_RPC_RECORD_MAX);
	if (mmx_rpc_header_decode(head, (size_t)copied, &header, NULL)) {
		evbuffer_drain(record, mmx_rpc_header_size(&header));
		message = mmx_wire_decode(kind, record, NULL);
		mmx_message_destroy(message);
	}
	evbuffer_drain(record, evbuffer_get_length(record));
}

/* Guards against the same in the reader of records: marks, fragments and
 * headers are changed too. */
static void test_reader_(void)
{
	mmx_record_result_t result = MMX_RECORD_MORE;
	mmx_record_reader_t reader;
	struct evbuffer *input;
	mmx_message_kind_t kind;
	mmx_random_t random;
	GByteArray *stream;
	size_t whole = 0;
	size_t i;

	mmx_random_seed(&random, 13);
	for (i = 0; i < READER_INPUTS; i++) {
		kind = mmx_test_wire_kinds[i % MMX_TEST_WIRE_KINDS];
		stream = g_byte_array_new();
		add_record_(stream, kind, &random);
		add_record_(stream, kind, &random);
		mutate_(stream, &random);
		input = evbuffer_new();
		add_split_(input, stream->data, stream->len, &random);
		mmx_record_reader_init(&reader);
		while ((result = mmx_record_read(&reader, input)) ==
		       MMX_RECORD_WHOLE) {
			whole++;
			read_record_(reader.record, kind);
		}
		CU_ASSERT_NOT_EQUAL(result, MMX_RECORD_WHOLE);
		mmx_record_reader_finish(&reader);
		evbuffer_free(input);
		g_byte_array_unref(stream);
	}
	CU_ASSERT_TRUE(whole > READER_INPUTS / 10);
}

CU_TestInfo mmx_tests_hostile[] = {
	{"24,000 mutated messages", test_decoder_},
	{"3,000 mutated greetings", test_hello_},
	{"12,000 mutated streams of records", test_reader_},
	CU_TEST_INFO_NULL,
};
