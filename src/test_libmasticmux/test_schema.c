#include "suites.h"

#include <glib.h>
#include <string.h>

#include "private/schema.h"

typedef struct suggest_case_t {
	const char *text;
	const char *expected; /* NULL: no suggestion */
} suggest_case_t;

/* Guards against a missing suggestion for a typing error, and against the
 * suggestion of an unrelated word. */
static void test_suggest_(void)
{
	static const char *const words[] = {
		"id", "name", "region", "retention_s", "deadline_ms", "host",
	};
	static const suggest_case_t cases[] = {
		{"nmae", "name"},
		{"nam", "name"},
		{"Region", "region"},
		{"retention-s", "retention_s"},
		{"retention", "retention_s"},
		{"deadline", "deadline_ms"},
		{"deadline_s", "deadline_ms"},
		{"hosts", "host"},
		{"ab", NULL},
		{"dd", "id"},
		{"colour", NULL},
		{"", NULL},
		{"regionregionregionregionregionregion", NULL},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *found = mmx_schema_suggest(cases[i].text, words,
						       G_N_ELEMENTS(words));

		CU_ASSERT_EQUAL(g_strcmp0(found, cases[i].expected), 0);
	}
}

typedef struct quote_case_t {
	const char *text;
	size_t length;
	const char *expected;
} quote_case_t;

/* Guards against control characters of a file that reach the terminal: escape
 * sequences there could alter what the operator sees. */
static void test_quote_(void)
{
	static const quote_case_t cases[] = {
		{"plain", 5, "plain"},
		{"a\0b", 3, "a\\u0000b"},
		{"\x1b[2J\n", 5, "\\u001b[2J\\u000a"},
		{"\xe0\xb8\x81", 3, "\xe0\xb8\x81"},
		{"\xff", 1, "\xef\xbf\xbd"},
		{"1234567890123456789012345678901234567890", 40,
		 "1234567890123456789012345678901234567890"},
		{"12345678901234567890123456789012345678901", 41,
		 "1234567890123456789012345678901234567890..."},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *quoted = mmx_schema_quote(cases[i].text, cases[i].length);

		CU_ASSERT_STRING_EQUAL(quoted, cases[i].expected);
		g_free(quoted);
	}
}

CU_TestInfo mmx_tests_schema[] = {
	{"suggestions", test_suggest_},
	{"quoted text", test_quote_},
	CU_TEST_INFO_NULL,
};
