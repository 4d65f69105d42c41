#include "suites.h"

#include <glib.h>
#include <string.h>

#include "masticmux/change.h"

#define CHANGE "\"change\":{\"id\":\"c1\",\"publisher\":\"ops\"}"
#define ACCOUNT                                                  \
	"\"account\":{\"a\":{\"base\":0,\"ceiling_percent\":50," \
	"\"floor_percent\":10}}"
#define ROUTE(fields)                                                    \
	"{" CHANGE ",\"service\":{\"s\":{\"base\":3,\"route\":[{" fields \
	"}],\"template\":\"t\"}}}"

/* Canonical records: a record that is read and written again is identical. */
static const char *const canonical_[] = {
	"{" ACCOUNT "," CHANGE "}",
	"{\"account\":{\"a\":{\"base\":9223372036854775807,"
	"\"ceiling_percent\":100,\"deadline_ms\":600000,\"floor_percent\":100,"
	"\"repeatable\":[]},\"b\":{\"base\":1,\"ceiling_percent\":1,"
	"\"floor_percent\":0,\"repeatable\":[\"GET\",\"PATCH\"]}}," CHANGE "}",
	"{\"account\":{\"a\":{\"base\":0,\"burst\":24.0,"
	"\"ceiling_percent\":100,\"floor_percent\":0,\"key_digests\":["
	"\"sha256:000102030405060708090a0b0c0d0e0f"
	"f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff\"],"
	"\"priority\":0,\"rate\":0.10000000000000001}}," CHANGE "}",
	ROUTE("\"host\":\"a.example\",\"path_prefix\":\"/\",\"public\":true"),
	"{" CHANGE ",\"service\":{\"s\":{\"base\":3,\"route\":[],"
	"\"template\":\"t\"}}}",
	ROUTE("\"deadline_ms\":1,\"detection_weight\":0,\"floor_percent\":0,"
	      "\"floor_slots\":65535,\"host\":\"a.example\","
	      "\"path_prefix\":\"/\",\"repeatable\":[\"POST\"],"
	      "\"retry_percent\":0,\"warm_up_ms\":0"),
	"{" CHANGE ",\"template\":{\"t\":{\"base\":0,\"deadline_ms\":800,"
	"\"detection_weight\":100,\"floor_percent\":70,\"floor_slots\":2,"
	"\"repeatable\":[\"GET\",\"HEAD\"],\"retry_percent\":10,"
	"\"warm_up_ms\":3600000}}}",
};

/* Guards against a field that is lost or altered between writer and reader:
 * nodes would then use another configuration than the one that the publisher
 * checked. */
static void test_round_trip_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(canonical_); i++) {
		mmx_error_t error = {.code = MMX_ERROR_NONE};
		mmx_change_t *change = mmx_change_from_json(
			canonical_[i], strlen(canonical_[i]), &error);
		size_t length;
		char *text;

		if (!change)
			printf("\n%s\n", error.text);
		CU_ASSERT_PTR_NOT_NULL_FATAL(change);
		text = mmx_change_to_json(change, &length);
		CU_ASSERT_STRING_EQUAL(text, canonical_[i]);
		CU_ASSERT_EQUAL(length, strlen(text));
		g_free(text);
		mmx_change_destroy(change);
	}
}

/* Guards against a record that differs from the file it was made of: host in
 * upper case, methods out of order, omitted defaults. */
static void test_from_file_(void)
{
	static const char text[] =
		"[change]\nid = \"c1\"\npublisher = \"ops\"\n"
		"[template.t]\nbase = 0\ndeadline_ms = 800\n"
		"floor_percent = 70\ndetection_weight = 100\n"
		"[service.s]\nbase = 3\ntemplate = \"t\"\n"
		"[[service.s.route]]\nhost = \"A.example\"\n"
		"repeatable = [\"PUT\", \"GET\"]\n";
	static const char record[] =
		"{" CHANGE ",\"service\":{\"s\":{\"base\":3,\"route\":["
		"{\"host\":\"a.example\",\"path_prefix\":\"/\","
		"\"repeatable\":[\"GET\",\"PUT\"]}],\"template\":\"t\"}},"
		"\"template\":{\"t\":{\"base\":0,\"deadline_ms\":800,"
		"\"detection_weight\":100,\"floor_percent\":70,"
		"\"floor_slots\":1,"
		"\"repeatable\":[\"GET\",\"HEAD\",\"OPTIONS\"],"
		"\"retry_percent\":10,\"warm_up_ms\":10000}}}";
	mmx_findings_t *findings = mmx_findings_create();
	mmx_change_t *change =
		mmx_change_parse("c", text, strlen(text), findings);
	char *written;

	CU_ASSERT_PTR_NOT_NULL_FATAL(change);
	written = mmx_change_to_json(change, NULL);
	CU_ASSERT_STRING_EQUAL(written, record);
	g_free(written);
	mmx_change_destroy(change);
	mmx_findings_destroy(findings);
}

typedef struct error_case_t {
	const char *text;
	const char *expected;
} error_case_t;

static const error_case_t error_cases_[] = {
	{"", "invalid JSON at line 1, column 0: '[' or '{' expected near end "
	     "of file"},
	{"[]", "the record must be an object; found an array"},
	{"{" ACCOUNT "," CHANGE "} ,",
	 "invalid JSON at line 1, column 109: end of file expected near ','"},
	{"{" ACCOUNT "," CHANGE "," CHANGE "}",
	 "invalid JSON at line 1, column 115: duplicate object key near "
	 "'\"change\"'"},
	{"{" CHANGE "}",
	 "the change holds no object; it needs at least one [template.NAME], "
	 "[service.NAME] or [account.NAME]"},
	{"{" ACCOUNT "}",
	 "missing key 'change', which must be a table with id and publisher"},
	{"{" ACCOUNT ",\"change\":{\"id\":\"c1\"}}",
	 "change: missing key 'publisher', which must be a string of 1 to 63 "
	 "letters, digits, '.', '_' or '-', starting with a letter or digit"},
	{"{" ACCOUNT "," CHANGE ",\"extra\":null}",
	 "unknown key 'extra'; valid keys: change, template, service, account"},
	{"{\"account\":{\"a\":{\"base\":0,\"ceiling_percent\":50}}," CHANGE "}",
	 "account.a: missing key 'floor_percent', which must be an integer "
	 "from 0 to 100 percent of the slots of each service"},
	{"{\"account\":{\"a\":{\"base\":0.0,\"ceiling_percent\":50,"
	 "\"floor_percent\":1}}," CHANGE "}",
	 "account.a.base must be an integer from 0 to 9223372036854775807 "
	 "(revision that the object replaces, 0 for a new one); found a "
	 "float"},
	{"{\"account\":{\"a\":{\"base\":9223372036854775808}}," CHANGE "}",
	 "invalid JSON at line 1, column 43: too big integer near "
	 "'9223372036854775808'"},
	{"{\"account\":{\"a b\":{\"base\":0,\"ceiling_percent\":5,"
	 "\"floor_percent\":7}}," CHANGE "}",
	 "account: name 'a b' must be 1 to 63 letters, digits, '.', '_' or "
	 "'-', starting with a letter or digit (and 1 more)"},
	{"{\"account\":[]," CHANGE "}",
	 "account must be a table of tables [account.NAME]; found an array"},
	{ROUTE("\"host\":\"a.example\""),
	 "service.s.route[0]: missing key 'path_prefix', which must be 1 to "
	 "255 printable ASCII characters that start with '/' and hold no "
	 "blank, '?' or '#'"},
	{ROUTE("\"host\":\"a\",\"path_prefix\":\"/\"},"
	       "{\"host\":\"a\",\"path_prefix\":\"/\""),
	 "service.s.route[1]: host 'a' with path_prefix '/' is already the "
	 "route of service.s.route[0]; remove one of them"},
	{ROUTE("\"host\":\"a\\u0000\",\"path_prefix\":\"/\""),
	 "invalid JSON at line 1, column 91: \\u0000 is not allowed without "
	 "JSON_ALLOW_NUL near '\"a\\u0000\"'"},
	{"{" CHANGE ",\"template\":{\"t\":{\"base\":0,\"deadline_ms\":800,"
	 "\"detection_weight\":100,\"floor_percent\":70,\"floor_slots\":2,"
	 "\"repeatable\":[\"GET\"],\"retry_percent\":10}}}",
	 "template.t: missing key 'warm_up_ms', which must be an integer from "
	 "0 to 3600000 milliseconds"},
};

/* Guards against nodes that accept a malformed or incomplete record, and
 * against rejections that don't state the reason. */
static void test_error_texts_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(error_cases_); i++) {
		const error_case_t *row = &error_cases_[i];
		mmx_error_t error = {.code = MMX_ERROR_NONE};

		CU_ASSERT_PTR_NULL(mmx_change_from_json(
			row->text, strlen(row->text), &error));
		CU_ASSERT_EQUAL(error.code, MMX_ERROR_INVALID);
		if (strcmp(error.text, row->expected) != 0)
			printf("\nexpected %s\nfound    %s\n", row->expected,
			       error.text);
		CU_ASSERT_STRING_EQUAL(error.text, row->expected);
	}
}

/* Guards against records that exhaust the memory or the stack of a node by
 * their size or nesting. */
static void test_limits_(void)
{
	mmx_error_t error = {.code = MMX_ERROR_NONE};
	char *text = g_strnfill(MMX_CHANGE_RECORD_MAX + 1, ' ');
	char *nested = g_strnfill(100, '[');
	char *record;

	CU_ASSERT_PTR_NULL(
		mmx_change_from_json(text, MMX_CHANGE_RECORD_MAX + 1, &error));
	CU_ASSERT_EQUAL(error.code, MMX_ERROR_LIMIT);
	CU_ASSERT_STRING_EQUAL(error.text,
			       "record of 262145 bytes; at most 262144 are "
			       "valid");
	memset(text, ']', 100);
	text[100] = '\0';
	record = g_strconcat("{\"a\":", nested, text, "}", NULL);
	CU_ASSERT_PTR_NULL(
		mmx_change_from_json(record, strlen(record), &error));
	CU_ASSERT_STRING_EQUAL(error.text, "more than 64 levels of nesting");
	g_free(record);
	g_free(nested);
	g_free(text);
}

CU_TestInfo mmx_tests_change_json[] = {
	{"canonical records round-trip unchanged", test_round_trip_},
	{"a file gives the expected record", test_from_file_},
	{"each rejection states the reason", test_error_texts_},
	{"size and depth are limited", test_limits_},
	CU_TEST_INFO_NULL,
};
