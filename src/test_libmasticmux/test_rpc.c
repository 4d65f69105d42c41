#include "suites.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

#include "private/rpc.h"

#define LAST 0x80000000U

static const mmx_rpc_header_t headers_[] = {
	{.xid = 7, .procedure = MMX_PROCEDURE_EXECUTE},
	{.xid = 8,
	 .procedure = UINT32_MAX,
	 .verified = true,
	 .sequence = 5,
	 .digest = {1, 2, 3}},
	{.xid = 9, .reply = true, .status = MMX_RPC_GARBAGE_ARGUMENTS},
	{.xid = 10, .reply = true, .verified = true, .sequence = UINT64_MAX},
};

/* Guards against headers that change on the way, and against reading past
 * the end of a short one. */
static void test_headers_(void)
{
	uint8_t bytes[MMX_RPC_HEADER_MAX];
	mmx_rpc_header_t decoded;
	size_t size;
	size_t i;
	size_t n;

	for (i = 0; i < G_N_ELEMENTS(headers_); i++) {
		size = mmx_rpc_header_size(&headers_[i]);
		mmx_rpc_header_encode(&headers_[i], bytes);
		CU_ASSERT_TRUE_FATAL(
			mmx_rpc_header_decode(bytes, size, &decoded, NULL));
		CU_ASSERT_EQUAL(mmx_rpc_header_size(&decoded), size);
		CU_ASSERT_EQUAL(decoded.xid, headers_[i].xid);
		CU_ASSERT_EQUAL(decoded.reply, headers_[i].reply);
		CU_ASSERT_EQUAL(decoded.procedure, headers_[i].procedure);
		CU_ASSERT_EQUAL(decoded.status, headers_[i].status);
		CU_ASSERT_EQUAL(decoded.sequence, headers_[i].sequence);
		CU_ASSERT_EQUAL(memcmp(decoded.digest, headers_[i].digest,
				       MMX_RPC_DIGEST_BYTES),
				0);
		for (n = 0; n < size; n++)
			CU_ASSERT_FALSE(mmx_rpc_header_decode(bytes, n,
							      &decoded, NULL));
	}
}

typedef struct patch_t {
	const char *what;
	size_t header; /* index into headers_ */
	size_t offset;
	uint32_t word;
} patch_t;

static const patch_t patches_[] = {
	{"neither call nor reply", 0, 4, 2},
	{"RPC version", 0, 8, 3},
	{"program", 0, 12, 100003},
	{"program version", 0, 16, 2},
	{"credential flavor", 0, 24, 1},
	{"credential length", 0, 28, 4},
	{"verifier flavor", 0, 32, 1},
	{"verifier length without flavor", 0, 36, 24},
	{"verifier too long", 1, 36, 400},
	{"verifier at the top of the range", 1, 36, UINT32_MAX},
	{"verifier too short", 1, 36, 0},
	{"denied reply", 2, 8, 1},
	{"unknown status", 2, 20, MMX_RPC_STATUS_COUNT},
};

/* Guards against records of other programs or forms that are taken. */
static void test_header_refusals_(void)
{
	uint8_t bytes[MMX_RPC_HEADER_MAX];
	mmx_rpc_header_t header;
	const patch_t *patch;
	mmx_error_t error;
	uint32_t word;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(patches_); i++) {
		patch = &patches_[i];
		mmx_rpc_header_encode(&headers_[patch->header], bytes);
		word = htonl(patch->word);
		memcpy(bytes + patch->offset, &word, sizeof(word));
		error.code = MMX_ERROR_NONE;
		CU_ASSERT_FALSE(mmx_rpc_header_decode(bytes, sizeof(bytes),
						      &header, &error));
		CU_ASSERT_EQUAL(error.code, MMX_ERROR_INVALID);
	}
}

static void add_fragment_(struct evbuffer *out, uint32_t mark, size_t bytes)
{
	uint8_t *data = g_malloc0(bytes + 1);

	mark = htonl(mark);
	evbuffer_add(out, &mark, sizeof(mark));
	evbuffer_add(out, data, bytes);
	g_free(data);
}

typedef struct record_case_t {
	const char *what;
	uint32_t marks[4];
	size_t bytes[4]; /* present after each mark */
	size_t count;
	mmx_record_result_t result;
	size_t length; /* of the record */
} record_case_t;

static const record_case_t records_[] = {
	{"one fragment", {LAST | 8}, {8}, 1, MMX_RECORD_WHOLE, 8},
	{"empty record", {LAST}, {0}, 1, MMX_RECORD_WHOLE, 0},
	{"joined", {4, 4, LAST | 4}, {4, 4, 4}, 3, MMX_RECORD_WHOLE, 12},
	{"empty last fragment", {8, LAST}, {8, 0}, 2, MMX_RECORD_WHOLE, 8},
	{"half a fragment", {LAST | 8}, {7}, 1, MMX_RECORD_MORE, 0},
	{"last fragment missing", {8}, {8}, 1, MMX_RECORD_MORE, 0},
	{"at the limit",
	 {LAST | MMX_RPC_RECORD_MAX},
	 {MMX_RPC_RECORD_MAX},
	 1,
	 MMX_RECORD_WHOLE,
	 MMX_RPC_RECORD_MAX},
	{"one fragment too long",
	 {LAST | (MMX_RPC_RECORD_MAX + 1)},
	 {0},
	 1,
	 MMX_RECORD_OVERSIZE,
	 0},
	{"too long when joined",
	 {MMX_RPC_RECORD_MAX, LAST | 1},
	 {MMX_RPC_RECORD_MAX, 1},
	 2,
	 MMX_RECORD_OVERSIZE,
	 0},
	{"top of the range", {UINT32_MAX}, {0}, 1, MMX_RECORD_OVERSIZE, 0},
};

/* Guards against records that are joined wrongly, cut, or not bounded. */
static void test_records_(void)
{
	const record_case_t *c;
	mmx_record_reader_t reader;
	struct evbuffer *input;
	size_t i;
	size_t n;

	for (i = 0; i < G_N_ELEMENTS(records_); i++) {
		c = &records_[i];
		input = evbuffer_new();
		mmx_record_reader_init(&reader);
		for (n = 0; n < c->count; n++)
			add_fragment_(input, c->marks[n], c->bytes[n]);
		CU_ASSERT_EQUAL(mmx_record_read(&reader, input), c->result);
		if (c->result == MMX_RECORD_WHOLE)
			CU_ASSERT_EQUAL(evbuffer_get_length(reader.record),
					c->length);
		CU_ASSERT_EQUAL(mmx_record_reader_busy(&reader),
				c->result != MMX_RECORD_WHOLE);
		mmx_record_reader_finish(&reader);
		evbuffer_free(input);
	}
}

/* Guards against a record that differs with the way it is cut by TCP, and
 * against a record that runs into the next one. */
static void test_byte_by_byte_(void)
{
	struct evbuffer *stream = evbuffer_new();
	struct evbuffer *input = evbuffer_new();
	mmx_record_reader_t reader;
	size_t whole = 0;
	uint8_t byte;

	mmx_record_reader_init(&reader);
	add_fragment_(stream, 3, 3);
	add_fragment_(stream, LAST | 2, 2);
	add_fragment_(stream, LAST | 5, 5);
	while (evbuffer_remove(stream, &byte, 1) == 1) {
		evbuffer_add(input, &byte, 1);
		if (mmx_record_read(&reader, input) != MMX_RECORD_WHOLE)
			continue;
		whole++;
		CU_ASSERT_EQUAL(evbuffer_get_length(reader.record), 5);
		evbuffer_drain(reader.record, 5);
	}
	CU_ASSERT_EQUAL(whole, 2);
	CU_ASSERT_FALSE(mmx_record_reader_busy(&reader));
	mmx_record_reader_finish(&reader);
	evbuffer_free(stream);
	evbuffer_free(input);
}

/* Guards against endless work for empty fragments. */
static void test_empty_fragments_(void)
{
	struct evbuffer *input = evbuffer_new();
	mmx_record_reader_t reader;
	size_t i;

	mmx_record_reader_init(&reader);
	for (i = 0; i <= MMX_RPC_FRAGMENTS_MAX; i++)
		add_fragment_(input, 0, 0);
	CU_ASSERT_EQUAL(mmx_record_read(&reader, input), MMX_RECORD_FRAGMENTS);
	mmx_record_reader_finish(&reader);
	evbuffer_free(input);
}

CU_TestInfo mmx_tests_rpc[] = {
	{"headers survive the wire", test_headers_},
	{"foreign headers are refused", test_header_refusals_},
	{"fragments are joined and bounded", test_records_},
	{"records cut anywhere are the same", test_byte_by_byte_},
	{"empty fragments are bounded", test_empty_fragments_},
	CU_TEST_INFO_NULL,
};
