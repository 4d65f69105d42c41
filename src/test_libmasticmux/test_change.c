#include "suites.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#include "findings_check.h"
#include "masticmux/change.h"

#define NAME_VALID                                                       \
	"must be a string of 1 to 63 letters, digits, '.', '_' or '-', " \
	"starting with a letter or digit; found "
#define BASE_VALID                                                         \
	"must be an integer from 0 to 9223372036854775807 (revision that " \
	"the object replaces, 0 for a new one); found "
#define HOST_VALID                                                          \
	"must be a host name or IPv4 address of 1 to 253 letters, digits, " \
	"'.', '-' or '_', without port; found "
#define PREFIX_VALID                                                       \
	"must be 1 to 255 printable ASCII characters that start with '/' " \
	"and hold no blank, '?' or '#'; found "
#define TEMPLATE "template.lookup"
#define LINES 22

/* A valid file. Each case replaces one of its lines; lines count from 1. */
static const char *const valid_[LINES] = {
	"[change]",
	"id = \"change-1\"",
	"publisher = \"ops\"",
	"[template.lookup]",
	"base = 0",
	"deadline_ms = 800",
	"floor_percent = 70",
	"detection_weight = 20",
	"",
	"[service.cards]",
	"base = 7",
	"template = \"lookup\"",
	"[[service.cards.route]]",
	"host = \"Cards.example\"",
	"[[service.cards.route]]",
	"host = \"cards.example\"",
	"path_prefix = \"/parts\"",
	"",
	"[account.front-desk]",
	"base = 0",
	"floor_percent = 20",
	"",
};

static char *text_(int line, const char *replacement)
{
	return mmx_test_join_lines(valid_, LINES, line, replacement);
}

#define HEX_62 "00000000000000000000000000000000000000000000000000000000000000"
#define DIGEST_VALID "must be a string of \"sha256:\" and 64 hexadecimal digits"

typedef struct finding_case_t {
	int line; /* line that is replaced */
	const char *replacement;
	const char *expected;
} finding_case_t;

static const finding_case_t finding_cases_[] = {
	/* syntax, unknown and missing keys, wrong kinds */
	{10, "[service.cards",
	 "10:15: syntax error: Error while parsing table header: expected "
	 "']', saw '\\n'"},
	{10, "[template.lookup]",
	 "10:1: syntax error: Error while parsing table header: cannot "
	 "redefine existing table 'template.lookup'"},
	{2, "ident = \"x\"",
	 "2:1: change: unknown key 'ident'; valid keys: id, publisher"},
	{4, "[templates.lookup]",
	 "4:2: unknown key 'templates'; did you mean 'template'?"},
	{9, "warmup_ms = 5",
	 "9:1: " TEMPLATE ": unknown key 'warmup_ms'; did you mean "
	 "'warm_up_ms'?"},
	{18, "retry = 1",
	 "18:1: service.cards.route[1]: unknown key 'retry'; did you mean "
	 "'retry_percent'?"},
	{5, "",
	 "4:1: " TEMPLATE ": missing key 'base', which must be an integer "
	 "from 0 to 9223372036854775807 (revision that the object replaces, "
	 "0 for a new one)"},
	{6, "",
	 "4:1: " TEMPLATE ": missing key 'deadline_ms', which must be an "
	 "integer from 1 to 600000 milliseconds"},
	{12, "",
	 "10:1: service.cards: missing key 'template', which must be a "
	 "string of 1 to 63 letters, digits, '.', '_' or '-', starting with "
	 "a letter or digit"},
	{16, "",
	 "15:1: service.cards.route[1]: missing key 'host', which must be a "
	 "host name or IPv4 address of 1 to 253 letters, digits, '.', '-' or "
	 "'_', without port"},
	{22, "[service.empty]\nbase = 0\ntemplate = \"lookup\"",
	 "22:1: service.empty: missing key 'route', which must be an array "
	 "of at most 1024 tables, which may be empty"},
	{22, "[service]\nflat = 1",
	 "23:1: service: 'flat' must be a table named after the object; "
	 "found an integer"},
	{6, "deadline_ms = 0.8",
	 "6:15: " TEMPLATE ".deadline_ms must be an integer from 1 to 600000 "
	 "milliseconds; found a float"},
	{12, "template = true",
	 "12:12: service.cards.template " NAME_VALID "a boolean"},
	{9, "repeatable = \"GET\"",
	 "9:14: " TEMPLATE ".repeatable must be an array of methods, each "
	 "once, out of GET, HEAD, POST, PUT, DELETE, OPTIONS, PATCH; found a "
	 "string"},
	{22, "[service.x]\nbase = 0\ntemplate = \"a\"\nroute = [1]",
	 "25:10: service.x.route[0] must be a table; found 1"},
	/* names */
	{2, "id = \"\"", "2:6: change.id " NAME_VALID "\"\""},
	{3, "publisher = \"a b\"",
	 "3:13: change.publisher " NAME_VALID "\"a b\""},
	{19, "[account.\"front desk\"]",
	 "19:10: account: name 'front desk' must be 1 to 63 letters, digits, "
	 "'.', '_' or '-', starting with a letter or digit"},
	/* ranges */
	{5, "base = -1", "5:8: " TEMPLATE ".base " BASE_VALID "-1"},
	{6, "deadline_ms = 0",
	 "6:15: " TEMPLATE ".deadline_ms must be an integer from 1 to 600000 "
	 "milliseconds; found 0"},
	{6, "deadline_ms = 600001",
	 "6:15: " TEMPLATE ".deadline_ms must be an integer from 1 to 600000 "
	 "milliseconds; found 600001"},
	{7, "floor_percent = 101",
	 "7:17: " TEMPLATE ".floor_percent must be an integer from 0 to 100 "
	 "percent of the announced slots; found 101"},
	{8, "detection_weight = 101",
	 "8:20: " TEMPLATE ".detection_weight must be an integer from 0 to "
	 "100 (0: no false ejection, 100: fast); found 101"},
	{9, "floor_slots = 65536",
	 "9:15: " TEMPLATE ".floor_slots must be an integer from 0 to 65535 "
	 "slots; found 65536"},
	{9, "retry_percent = -1",
	 "9:17: " TEMPLATE ".retry_percent must be an integer from 0 to 100 "
	 "retries per 100 successes; found -1"},
	{9, "warm_up_ms = 3600001",
	 "9:14: " TEMPLATE ".warm_up_ms must be an integer from 0 to 3600000 "
	 "milliseconds; found 3600001"},
	{22, "ceiling_percent = 0",
	 "22:19: account.front-desk.ceiling_percent must be an integer from "
	 "1 to 100 percent of the slots of each service; found 0"},
	{22, "deadline_ms = 0",
	 "22:15: account.front-desk.deadline_ms must be an integer from 1 to "
	 "600000 milliseconds; found 0"},
	/* methods */
	{9, "repeatable = [\"GET\", \"get\"]",
	 "9:22: " TEMPLATE ".repeatable[1] must be one of GET, HEAD, POST, "
	 "PUT, DELETE, OPTIONS, PATCH; found \"get\""},
	{9, "repeatable = [\"OTHER\"]",
	 "9:15: " TEMPLATE ".repeatable[0] must be one of GET, HEAD, POST, "
	 "PUT, DELETE, OPTIONS, PATCH; found \"OTHER\""},
	{9, "repeatable = [\"GET\\u0000\"]",
	 "9:15: " TEMPLATE ".repeatable[0] must be one of GET, HEAD, POST, "
	 "PUT, DELETE, OPTIONS, PATCH; found \"GET\\u0000\""},
	{9, "repeatable = [\"GET\", \"GET\"]",
	 "9:22: " TEMPLATE ".repeatable[1]: method GET is listed twice"},
	/* routes */
	{14, "host = \"cards.example:80\"",
	 "14:8: service.cards.route[0].host " HOST_VALID
	 "\"cards.example:80\""},
	{14, "host = \"cards..example\"",
	 "14:8: service.cards.route[0].host " HOST_VALID "\"cards..example\""},
	{14, "host = \"cards.example.\"",
	 "14:8: service.cards.route[0].host " HOST_VALID "\"cards.example.\""},
	{14, "host = \"\"",
	 "14:8: service.cards.route[0].host " HOST_VALID "\"\""},
	{17, "path_prefix = \"parts\"",
	 "17:15: service.cards.route[1].path_prefix " PREFIX_VALID "\"parts\""},
	{17, "path_prefix = \"/a?b\"",
	 "17:15: service.cards.route[1].path_prefix " PREFIX_VALID "\"/a?b\""},
	{17, "path_prefix = \"/a b\"",
	 "17:15: service.cards.route[1].path_prefix " PREFIX_VALID "\"/a b\""},
	{17, "",
	 "15:1: service.cards.route[1]: host 'cards.example' with "
	 "path_prefix '/' is already the route of service.cards.route[0] in "
	 "line 13; remove one of them"},
	{22,
	 "[service.x]\nbase = 0\ntemplate = \"a\"\n[[service.x.route]]\n"
	 "host = \"CARDS.example\"",
	 "25:1: service.x.route[0]: host 'cards.example' with path_prefix "
	 "'/' is already the route of service.cards.route[0] in line 13; "
	 "remove one of them"},
	/* accounts */
	{22, "ceiling_percent = 19",
	 "19:1: account.front-desk: floor_percent 20 is above ceiling_percent "
	 "19; it must be at most that"},
	{22, "priority = 256",
	 "22:12: account.front-desk.priority must be an integer from 0 to 255 "
	 "(0: the most urgent); found 256"},
	{22, "rate = -0.5",
	 "22:8: account.front-desk.rate must be a number from 0 to 1000000000; "
	 "found a float"},
	{22, "burst = nan",
	 "22:9: account.front-desk.burst must be a number from 0 to "
	 "1000000000; found a float"},
	{18, "public = 1",
	 "18:10: service.cards.route[1].public must be true or false; found an "
	 "integer"},
	/* keys: a value that is no digest may be a key and is not shown */
	{22, "key_digests = \"k-1\"",
	 "22:15: account.front-desk.key_digests must be an array of at most 8 "
	 "strings, each \"sha256:\" and 64 hexadecimal digits; found a "
	 "string"},
	{22, "key_digests = [\"k-1\"]",
	 "22:16: account.front-desk.key_digests[0]: " DIGEST_VALID},
	{22, "key_digests = [7]",
	 "22:16: account.front-desk.key_digests[0]: " DIGEST_VALID},
	{22, "key_digests = [\"sha256:" HEX_62 "0g\"]",
	 "22:16: account.front-desk.key_digests[0]: " DIGEST_VALID},
	{22, "key_digests = [\"sha256:" HEX_62 "000\"]",
	 "22:16: account.front-desk.key_digests[0]: " DIGEST_VALID},
	{22, "key_digests = [1, 2, 3, 4, 5, 6, 7, 8, 9]",
	 "22:15: account.front-desk.key_digests: must hold at most 8 digests; "
	 "found 9"},
	{22,
	 "key_digests = [\"sha256:" HEX_62 "0a\"]\n[account.x]\nbase = 0\n"
	 "key_digests = [\"sha256:" HEX_62 "0A\"]",
	 "25:16: account.x.key_digests[0]: account 'front-desk' has this key "
	 "already"},
};

/* Guards against an invalid change that is accepted, and against findings that
 * lack the line and column, the path or the valid values. */
static void test_findings_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(finding_cases_); i++) {
		const finding_case_t *row = &finding_cases_[i];
		mmx_findings_t *findings = mmx_findings_create();
		char *text = text_(row->line, row->replacement);

		CU_ASSERT_PTR_NULL(
			mmx_change_parse("c", text, strlen(text), findings));
		mmx_test_findings(findings, row->expected);
		mmx_findings_destroy(findings);
		g_free(text);
	}
}

static mmx_change_t *accept_(const char *text)
{
	mmx_findings_t *findings = mmx_findings_create();
	mmx_change_t *change =
		mmx_change_parse("c", text, strlen(text), findings);

	mmx_test_findings(findings, "");
	CU_ASSERT_PTR_NOT_NULL_FATAL(change);
	assert(change); /* for the analyzer; the line above ends the test */
	mmx_findings_destroy(findings);
	return change;
}

static void check_services_(const mmx_change_t *change)
{
	const mmx_change_service_t *service = STAILQ_FIRST(&change->services);
	const mmx_change_route_t *route = STAILQ_FIRST(&service->routes);

	CU_ASSERT_STRING_EQUAL(service->name, "cards");
	CU_ASSERT_STRING_EQUAL(service->template_name, "lookup");
	CU_ASSERT_EQUAL(service->base, 7);
	CU_ASSERT_EQUAL(service->route_count, 2);
	CU_ASSERT_STRING_EQUAL(route->host, "cards.example");
	CU_ASSERT_STRING_EQUAL(route->path_prefix, "/");
	CU_ASSERT_EQUAL(route->override.fields, 0);
	route = STAILQ_NEXT(route, entry);
	CU_ASSERT_STRING_EQUAL(route->path_prefix, "/parts");
	CU_ASSERT_EQUAL(route->override.fields,
			MMX_POLICY_BIT(MMX_POLICY_DEADLINE) |
				MMX_POLICY_BIT(MMX_POLICY_WARM_UP));
	CU_ASSERT_EQUAL(route->override.values.deadline, 5000);
	CU_ASSERT_EQUAL(route->override.values.warm_up, 0);
}

/* Guards against values that are stored in the wrong member or unit, and
 * against defaults other than the documented ones. */
static void test_values_(void)
{
	char *text = text_(18, "deadline_ms = 5\nwarm_up_ms = 0");
	mmx_change_t *change = accept_(text);
	const mmx_change_template_t *template =
		STAILQ_FIRST(&change->templates);
	const mmx_change_account_t *account = STAILQ_FIRST(&change->accounts);

	CU_ASSERT_STRING_EQUAL(change->id, "change-1");
	CU_ASSERT_STRING_EQUAL(change->publisher, "ops");
	CU_ASSERT_STRING_EQUAL(template->name, "lookup");
	CU_ASSERT_EQUAL(template->policy.deadline, 800000);
	CU_ASSERT_EQUAL(template->policy.repeatable, MMX_METHODS_SAFE);
	CU_ASSERT_EQUAL(template->policy.floor_percent, 70);
	CU_ASSERT_EQUAL(template->policy.floor_slots, 1);
	CU_ASSERT_EQUAL(template->policy.detection_weight, 20);
	CU_ASSERT_EQUAL(template->policy.retry_percent, 10);
	CU_ASSERT_EQUAL(template->policy.warm_up, 10 * MMX_US_PER_S);
	check_services_(change);
	CU_ASSERT_STRING_EQUAL(account->name, "front-desk");
	CU_ASSERT_EQUAL(account->floor_percent, 20);
	CU_ASSERT_EQUAL(account->ceiling_percent, 100);
	CU_ASSERT_EQUAL(account->deadline, 0);
	CU_ASSERT_FALSE(account->has_repeatable);
	mmx_change_destroy(change);
	g_free(text);
}

/* Guards against two changes with the same generated id: nodes would drop the
 * second one as a duplicate. */
static void test_generated_id_(void)
{
	static const char text[] = "[account.a]\nbase = 0\n";
	mmx_change_t *first = accept_(text);
	mmx_change_t *second = accept_(text);

	CU_ASSERT_EQUAL(strlen(first->id), MMX_CHANGE_ID_GENERATED_LENGTH);
	CU_ASSERT_STRING_NOT_EQUAL(first->id, second->id);
	CU_ASSERT_STRING_EQUAL(first->publisher, "");
	mmx_change_destroy(first);
	mmx_change_destroy(second);
}

/* Guards against an empty change and against a change that exceeds the size of
 * a record. */
static void test_change_size_(void)
{
	GString *text = g_string_new(NULL);
	mmx_findings_t *findings = mmx_findings_create();
	const mmx_finding_t *finding;
	int i;

	CU_ASSERT_PTR_NULL(mmx_change_parse("c", "", 0, findings));
	mmx_test_findings(findings, "0:0: the change holds no object; it needs "
				    "at least one [template.NAME], "
				    "[service.NAME] or [account.NAME]");
	mmx_findings_destroy(findings);
	findings = mmx_findings_create();
	for (i = 0; i < 5000; i++)
		g_string_append_printf(text, "[account.a%d]\nbase = 0\n", i);
	CU_ASSERT_PTR_NULL(
		mmx_change_parse("c", text->str, text->len, findings));
	CU_ASSERT_EQUAL_FATAL(mmx_findings_count(findings), 1);
	finding = STAILQ_FIRST(mmx_findings_list(findings));
	CU_ASSERT_PTR_NOT_NULL(
		strstr(finding->text, "at most 262144 are valid"));
	mmx_findings_destroy(findings);
	g_string_free(text, TRUE);
}

CU_TestInfo mmx_tests_change[] = {
	{"each error is a finding with its place", test_findings_},
	{"values and defaults are stored", test_values_},
	{"an id is generated", test_generated_id_},
	{"empty and oversized changes", test_change_size_},
	CU_TEST_INFO_NULL,
};
