#include "suites.h"

#include <glib.h>

#include "masticmux/address.h"

typedef struct address_case_t {
	const char *text;
	const char *formatted; /* NULL: not an address */
	bool is_loopback;
	bool is_wildcard;
	bool is_multicast;
} address_case_t;

static const address_case_t cases_[] = {
	{"127.0.0.1:8080", "127.0.0.1:8080", true, false, false},
	{"127.255.0.9:65535", "127.255.0.9:65535", true, false, false},
	{"128.0.0.1:1", "128.0.0.1:1", false, false, false},
	{"0.0.0.0:80", "0.0.0.0:80", false, true, false},
	{"223.255.255.255:80", "223.255.255.255:80", false, false, false},
	{"224.0.0.1:80", "224.0.0.1:80", false, false, true},
	{"255.255.255.255:80", "255.255.255.255:80", false, false, true},
	{"[::1]:80", "[::1]:80", true, false, false},
	{"[0:0:0:0:0:0:0:1]:80", "[::1]:80", true, false, false},
	{"[::]:80", "[::]:80", false, true, false},
	{"[2001:DB8::0001]:80", "[2001:db8::1]:80", false, false, false},
	{"[ff02::1]:80", "[ff02::1]:80", false, false, true},
	{"", NULL, false, false, false},
	{":80", NULL, false, false, false},
	{"127.0.0.1", NULL, false, false, false},
	{"127.0.0.1:", NULL, false, false, false},
	{"127.0.0.1:0", NULL, false, false, false},
	{"127.0.0.1:080", NULL, false, false, false},
	{"127.0.0.1:+80", NULL, false, false, false},
	{"127.0.0.1: 80", NULL, false, false, false},
	{"127.0.0.1:80x", NULL, false, false, false},
	{"127.0.0.1:65536", NULL, false, false, false},
	{"127.0.0.1:4294967376", NULL, false, false, false},
	{"127.1:80", NULL, false, false, false},
	{"127.0.0.01:80", NULL, false, false, false},
	{"256.0.0.1:80", NULL, false, false, false},
	{"host:80", NULL, false, false, false},
	{"::1:80", NULL, false, false, false},
	{"[::1]", NULL, false, false, false},
	{"[::1]80", NULL, false, false, false},
	{"[::1:80", NULL, false, false, false},
	{"[127.0.0.1]:80", NULL, false, false, false},
	{"[fe80::1%lo]:80", NULL, false, false, false},
	{"[::ffff:127.0.0.1]:80", NULL, false, false, false},
	{"[0000000000000000000000000000000000000000000000000000000000000000]:1",
	 NULL, false, false, false},
};

/* Guards against texts taken for another address than the one they name. */
static void test_parse_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases_); i++) {
		const address_case_t *row = &cases_[i];
		mmx_address_t address = {.host = "before", .port = 7};
		char text[MMX_ADDRESS_TEXT_MAX + 1];

		if (!row->formatted) {
			CU_ASSERT_FALSE(mmx_address_parse(row->text, &address));
			CU_ASSERT_STRING_EQUAL(address.host, "before");
			CU_ASSERT_EQUAL(address.port, 7);
			continue;
		}
		CU_ASSERT_TRUE_FATAL(mmx_address_parse(row->text, &address));
		mmx_address_format(&address, text, sizeof(text));
		CU_ASSERT_STRING_EQUAL(text, row->formatted);
		CU_ASSERT_EQUAL(mmx_address_is_loopback(&address),
				row->is_loopback);
		CU_ASSERT_EQUAL(mmx_address_is_wildcard(&address),
				row->is_wildcard);
		CU_ASSERT_EQUAL(mmx_address_is_multicast(&address),
				row->is_multicast);
	}
}

CU_TestInfo mmx_tests_address[] = {
	{"texts and the addresses they name", test_parse_},
	CU_TEST_INFO_NULL,
};
