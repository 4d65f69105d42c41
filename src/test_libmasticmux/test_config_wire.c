#include "suites.h"

#include <glib.h>
#include <string.h>

#include "masticmux/config_wire.h"

/* Guards against progress that differs after decoding, and against ages that
 * overflow 32 bits of milliseconds. */
static void test_progress_(void)
{
	static const mmx_config_progress_t cases[][2] = {
		{{0, 0, 0}, {0, 0, 0}},
		{{7, 1500, 2000000}, {7, 1000, 2000000}},
		{{MMX_REVISION_MAX, MMX_TIME_NEVER, MMX_TIME_NEVER},
		 {MMX_REVISION_MAX, MMX_TIME_NEVER, MMX_TIME_NEVER}},
		{{1, -5, MMX_TIME_NEVER - 1},
		 {1, MMX_TIME_NEVER, MMX_TIME_NEVER}},
	};
	char buffer[MMX_CONFIG_PROGRESS_BYTES];
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_config_progress_t sent = cases[i][0];
		mmx_config_progress_t received = {0};
		XDR xdr;

		xdrmem_create(&xdr, buffer, sizeof(buffer), XDR_ENCODE);
		CU_ASSERT_TRUE(mmx_config_wire_progress(&xdr, &sent));
		CU_ASSERT_EQUAL(xdr_getpos(&xdr), MMX_CONFIG_PROGRESS_BYTES);
		xdrmem_create(&xdr, buffer, sizeof(buffer), XDR_DECODE);
		CU_ASSERT_TRUE(mmx_config_wire_progress(&xdr, &received));
		CU_ASSERT_EQUAL(received.applied, cases[i][1].applied);
		CU_ASSERT_EQUAL(received.confirmed_age,
				cases[i][1].confirmed_age);
		CU_ASSERT_EQUAL(received.reader_age, cases[i][1].reader_age);
	}
}

/* Guards against records that differ after decoding, and against malformed
 * bytes that crash the decoder: tries every truncation and every inverted byte.
 */
static void test_records_(void)
{
	const mmx_log_record_t list[] = {
		{5, "{}", 2}, {6, "", 0}, {7, "a\0b", 3}, {8, "1234", 4}};
	mmx_config_records_t sent = {
		.progress = {9, 1000, 2000},
		.first = 5,
		.records = list,
		.count = G_N_ELEMENTS(list),
	};
	mmx_config_records_t received;
	mmx_log_record_t *decoded = NULL;
	size_t length;
	uint8_t *data = mmx_config_wire_encode_records(&sent, &length);
	size_t i;

	CU_ASSERT_TRUE_FATAL(mmx_config_wire_decode_records(
		data, length, &received, &decoded));
	CU_ASSERT_EQUAL_FATAL(received.count, sent.count);
	CU_ASSERT_EQUAL(received.progress.confirmed_age, 1000);
	for (i = 0; i < sent.count; i++) {
		CU_ASSERT_EQUAL(decoded[i].offset, list[i].offset);
		CU_ASSERT_EQUAL_FATAL(decoded[i].length, list[i].length);
		CU_ASSERT_EQUAL(
			memcmp(decoded[i].data, list[i].data, list[i].length),
			0);
	}
	g_free(decoded);
	for (i = 0; i < 2 * length; i++) {
		size_t size = i < length ? i : length;
		uint8_t *malformed = g_memdup2(data, size ? size : 1);
		bool valid;

		if (i >= length)
			malformed[i - length] ^= 0xff;
		valid = mmx_config_wire_decode_records(malformed, size,
						       &received, &decoded);
		CU_ASSERT_TRUE(i >= length || !valid);
		g_free(decoded);
		g_free(malformed);
	}
	g_free(data);
}

CU_TestInfo mmx_tests_config_wire[] = {
	{"progress", test_progress_},
	{"records", test_records_},
	CU_TEST_INFO_NULL,
};
