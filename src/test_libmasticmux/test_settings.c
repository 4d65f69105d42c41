#include "suites.h"

#include <glib.h>
#include <string.h>

#include "findings_check.h"
#include "masticmux/settings.h"

#define SECRET_A \
	"00112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF"
#define SECRET_B \
	"ff112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define NAME_VALID                                                       \
	"must be a string of 1 to 63 letters, digits, '.', '_' or '-', " \
	"starting with a letter or digit; found "
#define ADDRESS_VALID                                                   \
	"must be a numeric IP address with a port from 1 to 65535, as " \
	"\"127.0.0.1:8080\" or \"[::1]:8080\"; found "
#define KEY_VALID                                                         \
	"must be \"id:hex\" with an id of 1 to 15 letters, digits, '.', " \
	"'_' or '-' and 64 hexadecimal digits; found "
#define RESERVE_VALID "must be a number of attempts from 0 to 1000000; found "
#define SECONDS_VALID "must be a number of seconds from 0.1 to 3600; found "
#define SHARE_VALID "must be a number from 0.0 to 1.0; found "
#define LINES 16

/* A valid file; a case replaces one of its lines, counted from 1. */
static const char *const valid_[LINES] = {
	"[node]",
	"name = \"node-1\"",
	"region = \"north\"",
	"zone = \"north-a\"",
	"fleet_keys = []",
	"[listen]",
	"callers = \"127.0.0.1:8080\"",
	"nodes = \"127.0.0.1:8081\"",
	"announce = \"127.0.0.1:8082\"",
	"operator = \"127.0.0.1:8083\"",
	"[fleet]",
	"seeds = [\"127.0.0.1:8181\"]",
	"[log_service]",
	"address = \"127.0.0.1:9000\"",
	"retention_s = 3600",
	"",
};

static char *text_(int line, const char *replacement)
{
	return mmx_test_join_lines(valid_, LINES, line, replacement);
}

typedef struct finding_case_t {
	int replaced;
	const char *with;
	const char *expected; /* "line:column: text" */
} finding_case_t;

static const finding_case_t finding_cases_[] = {
	/* syntax */
	{2, "name = ",
	 "2:8: syntax error: Error while parsing key-value "
	 "pair: expected value, saw '\\n'"},
	{3, "name = \"x\"",
	 "3:8: syntax error: Error while parsing key-value "
	 "pair: cannot redefine existing string 'name'"},
	{11, "[node]",
	 "11:1: syntax error: Error while parsing table header: "
	 "cannot redefine existing table 'node'"},
	/* texts on which toml++ fails an assertion of its own */
	{11, "[.]", "11:2: syntax error: unexpected character"},
	{11, "  [\xc3\xa9\xc3\xa9]",
	 "11:4: syntax error: unexpected character"},
	{11, "[\xe3\x80\x82]", "11:2: syntax error: unexpected character"},
	{11, "[", "11:2: syntax error: unexpected character"},
	{16, "[[ .a", "16:4: syntax error: unexpected character"},
	/* unknown and missing keys, wrong kinds */
	{5, "fleet_kyes = []",
	 "5:1: node: unknown key 'fleet_kyes'; did you mean 'fleet_keys'?"},
	{15, "retention = 3600",
	 "15:1: log_service: unknown key 'retention'; "
	 "did you mean 'retention_s'?"},
	{5, "colour = 1",
	 "5:1: node: unknown key 'colour'; valid keys: name, "
	 "region, zone, fleet_keys, service, target, trusted_network"},
	{5, "\"a\\u0000\\u001b\" = 1",
	 "5:1: node: unknown key 'a\\u0000\\u001b'; valid keys: name, region, "
	 "zone, fleet_keys, service, target, trusted_network"},
	{16, "[traec]\ncollector = \"127.0.0.1:4318\"",
	 "16:2: unknown key 'traec'; did you mean 'trace'?"},
	{4, "",
	 "1:1: node: missing key 'zone', which must be a string of 1 "
	 "to 63 letters, digits, '.', '_' or '-', starting with a "
	 "letter or digit"},
	{14, "",
	 "13:1: log_service: missing key 'address', which must be a "
	 "numeric IP address with a port from 1 to 65535, as "
	 "\"127.0.0.1:8080\" or \"[::1]:8080\""},
	{2, "name = 7", "2:8: node.name " NAME_VALID "an integer"},
	{1, "trace = 1.5\n[node]", "1:9: trace must be a table; found a float"},
	{15, "retention_s = \"3600\"",
	 "15:15: log_service.retention_s must be an integer from 1201 to "
	 "31622400 seconds; found a string"},
	{12, "seeds = \"127.0.0.1:8181\"",
	 "12:9: fleet.seeds must be an array of at most 16 addresses; found "
	 "a string"},
	{12, "seeds = [2026-01-31]",
	 "12:10: fleet.seeds[0] " ADDRESS_VALID "a date or time"},
	/* names */
	{2, "name = \"\"", "2:8: node.name " NAME_VALID "\"\""},
	{2, "name = \"-a\"", "2:8: node.name " NAME_VALID "\"-a\""},
	{3, "region = \"no\\u0000rth\"",
	 "3:10: node.region " NAME_VALID "\"no\\u0000rth\""},
	{4,
	 "zone = \"x123456789012345678901234567890123456789012345678901234567"
	 "8901234\"",
	 "4:8: node.zone " NAME_VALID
	 "\"x123456789012345678901234567890123456789...\""},
	/* ranges */
	{15, "retention_s = 1200",
	 "15:15: log_service.retention_s must be an integer from 1201 to "
	 "31622400 seconds; found 1200"},
	{15, "retention_s = 31622401",
	 "15:15: log_service.retention_s must be an integer from 1201 to "
	 "31622400 seconds; found 31622401"},
	{16, "[retry]\nreserve = -0.5",
	 "17:11: retry.reserve " RESERVE_VALID "a float"},
	{16, "[retry]\nreserve = 1000000.5",
	 "17:11: retry.reserve " RESERVE_VALID "a float"},
	{16, "[retry]\nreserve = -1",
	 "17:11: retry.reserve " RESERVE_VALID "-1"},
	{16, "[retry]\nreserve = nan",
	 "17:11: retry.reserve " RESERVE_VALID "a float"},
	{16, "[retry]\nreserve = inf",
	 "17:11: retry.reserve " RESERVE_VALID "a float"},
	{16, "[retry]\nwindow_s = nan",
	 "17:12: retry.window_s " SECONDS_VALID "a float"},
	{16, "[stop]\ngrace_s = inf",
	 "17:11: stop.grace_s " SECONDS_VALID "a float"},
	{16, "[accounts]\nwindow_s = 0.5",
	 "17:12: accounts.window_s must be a number of seconds from 1 to "
	 "3600; found a float"},
	{16, "[accounts]\novershoot = -0.1",
	 "17:13: accounts.overshoot must be a number from 0.0 to 10.0; found "
	 "a float"},
	{16, "[accounts]\nslack = nan",
	 "17:9: accounts.slack must be a number of requests from 0 to "
	 "1000000; found a float"},
	{16, "[retry]\nshare = nan",
	 "17:9: retry.share " SHARE_VALID "a float"},
	{16, "[targets]\nfloor_share = -nan",
	 "17:15: targets.floor_share " SHARE_VALID "a float"},
	{16, "[retry]\nreserve = true",
	 "17:11: retry.reserve " RESERVE_VALID "a boolean"},
	{16, "[stop]\ngrace_s = true",
	 "17:11: stop.grace_s " SECONDS_VALID "a boolean"},
	{16, "[stop]\ngrace_s = 0", "17:11: stop.grace_s " SECONDS_VALID "0"},
	{16, "[retry]\nwindow_s = 0.05",
	 "17:12: retry.window_s " SECONDS_VALID "a float"},
	{16, "[retry]\nshare = 1.01",
	 "17:9: retry.share " SHARE_VALID "a float"},
	{16, "[targets]\nfloor_share = 2",
	 "17:15: targets.floor_share " SHARE_VALID "2"},
	{16, "[balance]\nby = \"speed\"",
	 "17:6: balance.by must be \"requests\" or \"work\"; found "
	 "\"speed\""},
	{16, "[balance]\nby = true",
	 "17:6: balance.by must be \"requests\" or \"work\"; found a boolean"},
	/* addresses */
	{7, "callers = \"localhost:8080\"",
	 "7:11: listen.callers " ADDRESS_VALID "\"localhost:8080\""},
	{7, "callers = \"127.0.0.1\"",
	 "7:11: listen.callers " ADDRESS_VALID "\"127.0.0.1\""},
	{7, "callers = \"127.0.0.256:80\"",
	 "7:11: listen.callers " ADDRESS_VALID "\"127.0.0.256:80\""},
	{7, "callers = \"127.0.0.1:0\"",
	 "7:11: listen.callers " ADDRESS_VALID "\"127.0.0.1:0\""},
	{7, "callers = \"127.0.0.1:65536\"",
	 "7:11: listen.callers " ADDRESS_VALID "\"127.0.0.1:65536\""},
	{7, "callers = \"127.0.0.1:80\\u0000\"",
	 "7:11: listen.callers " ADDRESS_VALID "\"127.0.0.1:80\\u0000\""},
	{7, "callers = \"::1:8080\"",
	 "7:11: listen.callers " ADDRESS_VALID "\"::1:8080\""},
	{14, "address = \"224.0.0.1:9000\"",
	 "14:11: log_service.address " ADDRESS_VALID "\"224.0.0.1:9000\""},
	{14, "address = \"0.0.0.0:9000\"",
	 "14:11: log_service.address: must be an address that others can "
	 "reach; found 0.0.0.0"},
	/* conflicts */
	{9, "announce = \"127.0.0.1:8080\"",
	 "9:12: listen.announce: 127.0.0.1:8080 is already used by "
	 "listen.callers; give each its own address"},
	{14, "address = \"127.0.0.1:8083\"",
	 "14:11: log_service.address: 127.0.0.1:8083 is already used by "
	 "listen.operator; give each its own address"},
	{16, "[trace]\ncollector = \"127.0.0.1:8082\"",
	 "17:13: trace.collector: 127.0.0.1:8082 is already used by "
	 "listen.announce; give each its own address"},
	{12, "seeds = [\"127.0.0.1:8080\"]",
	 "12:10: fleet.seeds[0]: 127.0.0.1:8080 is already used by "
	 "listen.callers; give each its own address"},
	{12, "seeds = [\"127.0.0.2:1\", \"127.0.0.2:1\"]",
	 "12:25: fleet.seeds[1]: 127.0.0.2:1 is already used by "
	 "fleet.seeds[0]; give each its own address"},
	{12, "seeds = [\"[::1]:1\", \"[0:0::1]:1\"]",
	 "12:21: fleet.seeds[1]: [::1]:1 is already used by fleet.seeds[0]; "
	 "give each its own address"},
	{8, "nodes = \"10.0.0.1:8081\"",
	 "8:9: listen.nodes: without node.fleet_keys the address must be a "
	 "loopback address; found 10.0.0.1"},
	{10, "operator = \"10.0.0.1:8081\"",
	 "10:12: listen.operator: without node.fleet_keys the address must "
	 "be a loopback address; found 10.0.0.1"},
	{12,
	 "seeds = [\"127.0.0.1:1\",\"127.0.0.1:2\",\"127.0.0.1:3\","
	 "\"127.0.0.1:4\",\"127.0.0.1:5\",\"127.0.0.1:6\",\"127.0.0.1:7\","
	 "\"127.0.0.1:8\",\"127.0.0.1:9\",\"127.0.0.1:10\",\"127.0.0.1:11\","
	 "\"127.0.0.1:12\",\"127.0.0.1:13\",\"127.0.0.1:14\","
	 "\"127.0.0.1:15\",\"127.0.0.1:16\",\"127.0.0.1:17\"]",
	 "12:9: fleet.seeds: must hold at most 16 addresses; found 17"},
	/* fleet keys; their text is never repeated */
	{5, "fleet_keys = [\"a:" SECRET_A "0\"]",
	 "5:15: node.fleet_keys[0]: " KEY_VALID "67 bytes of another form"},
	{5, "fleet_keys = [\"a:g" SECRET_A "\"]",
	 "5:15: node.fleet_keys[0]: " KEY_VALID "67 bytes of another form"},
	{5, "fleet_keys = [\":" SECRET_A "\"]",
	 "5:15: node.fleet_keys[0]: " KEY_VALID "65 bytes of another form"},
	{5, "fleet_keys = [\"a234567890123456:" SECRET_A "\"]",
	 "5:15: node.fleet_keys[0]: " KEY_VALID "81 bytes of another form"},
	{5, "fleet_keys = [true]",
	 "5:15: node.fleet_keys[0]: " KEY_VALID "a boolean"},
	{5, "fleet_keys = [\"a:" SECRET_A "\", \"a:" SECRET_B "\"]",
	 "5:85: node.fleet_keys[1]: key id 'a' is already used by the first "
	 "key; give each key its own id"},
	{5, "fleet_keys = [\"a:" SECRET_A "\", \"b:" SECRET_A "\"]",
	 "5:85: node.fleet_keys[1]: key 'b' has the same secret as key 'a'; "
	 "remove one of them"},
	{5,
	 "fleet_keys = [\"a:" SECRET_A "\", \"b:" SECRET_B "\", \"c:" SECRET_B
	 "\"]",
	 "5:14: node.fleet_keys: must hold at most 2 keys; found 3"},
};

/* Guards against a mistake in a file that is accepted, reported without its
 * place, or not explained. */
static void test_findings_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(finding_cases_); i++) {
		const finding_case_t *row = &finding_cases_[i];
		mmx_findings_t *findings = mmx_findings_create();
		char *text = text_(row->replaced, row->with);

		CU_ASSERT_PTR_NULL(
			mmx_settings_parse("s", text, strlen(text), findings));
		mmx_test_findings(findings, row->expected);
		mmx_findings_destroy(findings);
		g_free(text);
	}
}

/* Guards against a reader that stops at the first mistake or reports them out
 * of the order of the file. */
static void test_all_together_(void)
{
	static const char text[] = "[node]\nname = 1\nzone = \"a b\"\n"
				   "[listen]\ncallers = \"x\"\ncolor = 1\n";
	static const int lines[] = {1, 2, 3, 4, 4, 4, 5, 6};
	mmx_findings_t *findings = mmx_findings_create();
	const mmx_finding_t *finding;
	size_t i = 0;

	mmx_findings_add(findings, "earlier", 99, 1, "kept in front");
	CU_ASSERT_PTR_NULL(
		mmx_settings_parse("s", text, strlen(text), findings));
	CU_ASSERT_EQUAL_FATAL(mmx_findings_count(findings),
			      1 + G_N_ELEMENTS(lines));
	finding = STAILQ_FIRST(mmx_findings_list(findings));
	CU_ASSERT_EQUAL(finding->line, 99);
	for (i = 0; i < G_N_ELEMENTS(lines); i++) {
		finding = STAILQ_NEXT(finding, entry);
		CU_ASSERT_EQUAL(finding->line, lines[i]);
	}
	mmx_findings_destroy(findings);
}

static mmx_settings_t *accept_(int line, const char *replacement)
{
	mmx_findings_t *findings = mmx_findings_create();
	char *text = text_(line, replacement);
	mmx_settings_t *settings =
		mmx_settings_parse("s", text, strlen(text), findings);

	mmx_test_findings(findings, "");
	CU_ASSERT_PTR_NOT_NULL_FATAL(settings);
	mmx_findings_destroy(findings);
	g_free(text);
	return settings;
}

/* Guards against values that are stored in the wrong member or unit. */
static void test_values_(void)
{
	mmx_settings_t *settings = accept_(0, "");

	CU_ASSERT_STRING_EQUAL(settings->node_name, "node-1");
	CU_ASSERT_STRING_EQUAL(settings->region, "north");
	CU_ASSERT_STRING_EQUAL(settings->zone, "north-a");
	CU_ASSERT_EQUAL(settings->fleet_key_count, 0);
	CU_ASSERT_EQUAL(settings->listen_callers.port, 8080);
	CU_ASSERT_EQUAL(settings->listen_nodes.port, 8081);
	CU_ASSERT_EQUAL(settings->listen_announce.port, 8082);
	CU_ASSERT_EQUAL(settings->listen_operator.port, 8083);
	CU_ASSERT_EQUAL(settings->seed_count, 1);
	CU_ASSERT_EQUAL(settings->seeds[0].port, 8181);
	CU_ASSERT_EQUAL(settings->log_service.port, 9000);
	CU_ASSERT_EQUAL(settings->log_retention, 3600 * MMX_US_PER_S);
	CU_ASSERT_EQUAL(settings->collector.port, 0);
	mmx_settings_destroy(settings);
	settings = accept_(15, "");
	CU_ASSERT_EQUAL(settings->log_retention,
			MMX_LOG_RETENTION_DEFAULT_S * MMX_US_PER_S);
	mmx_settings_destroy(settings);
}

/* Guards against a file shared by all nodes that makes one of them join
 * itself, and against a lost seed behind it. */
static void test_own_seed_(void)
{
	mmx_settings_t *settings =
		accept_(12, "seeds = [\"127.0.0.1:8081\", \"[0:0::1]:8181\"]");

	CU_ASSERT_EQUAL(settings->seed_count, 1);
	CU_ASSERT_STRING_EQUAL(settings->seeds[0].host, "::1");
	mmx_settings_destroy(settings);
}

/* Guards against a key that signs with other bytes than those of the file. */
static void test_fleet_keys_(void)
{
	mmx_settings_t *settings = accept_(5, "fleet_keys = [\"a:" SECRET_A
					      "\", \"b-2:" SECRET_B "\"]");

	CU_ASSERT_EQUAL(settings->fleet_key_count, 2);
	CU_ASSERT_STRING_EQUAL(settings->fleet_keys[0].id, "a");
	CU_ASSERT_STRING_EQUAL(settings->fleet_keys[1].id, "b-2");
	CU_ASSERT_EQUAL(settings->fleet_keys[0].secret[0], 0x00);
	CU_ASSERT_EQUAL(settings->fleet_keys[0].secret[1], 0x11);
	CU_ASSERT_EQUAL(settings->fleet_keys[0].secret[31], 0xff);
	CU_ASSERT_EQUAL(settings->fleet_keys[1].secret[0], 0xff);
	mmx_settings_destroy(settings);
}

#define VALUE_(member)                    \
	offsetof(mmx_settings_t, member), \
		sizeof(((mmx_settings_t *)NULL)->member)

typedef struct bound_case_t {
	const char *table;
	const char *key;
	const char *value;
	size_t offset;
	size_t size;
	int64_t expected;
} bound_case_t;

/* The keys that deploy/settings.toml.template takes from bounds. */
static const bound_case_t bounds_[] = {
	{"stop", "grace_s", "6", VALUE_(stop_grace), 6000000},
	{"stop", "grace_s", "6.0", VALUE_(stop_grace), 6000000},
	{"stop", "grace_s", "6.25", VALUE_(stop_grace), 6250000},
	{"retry", "share", "1", VALUE_(retry_percent), 100},
	{"retry", "share", "0.2", VALUE_(retry_percent), 20},
	{"retry", "share", "0.29", VALUE_(retry_percent), 29},
	{"retry", "share", "0.125", VALUE_(retry_percent), 12},
	{"retry", "share", "0.006", VALUE_(retry_percent), 0},
	{"retry", "reserve", "60", VALUE_(retry_reserve), 60},
	{"retry", "reserve", "60.0", VALUE_(retry_reserve), 60},
	{"retry", "reserve", "60.5", VALUE_(retry_reserve), 60},
	{"retry", "reserve", "0", VALUE_(retry_reserve), 0},
	{"retry", "reserve", "0.9", VALUE_(retry_reserve), 0},
	{"retry", "reserve", "1e6", VALUE_(retry_reserve), 1000000},
	{"retry", "window_s", "10", VALUE_(retry_window), 10000000},
	{"retry", "window_s", "10.5", VALUE_(retry_window), 10500000},
	{"targets", "floor_share", "1", VALUE_(floor_percent), 100},
	{"targets", "floor_share", "0.7", VALUE_(floor_percent), 70},
	{"targets", "floor_share", "0.07", VALUE_(floor_percent), 7},
	{"targets", "floor_share", "0.704", VALUE_(floor_percent), 71},
	{"targets", "floor_share", "0.001", VALUE_(floor_percent), 1},
	{"accounts", "window_s", "5", VALUE_(account_window), 5000000},
	{"accounts", "window_s", "2.5", VALUE_(account_window), 2500000},
};

/* Guards against a bound of the platform that stops every process because it
 * is a fraction, and against one that is rounded to what it does not allow. */
static void test_bounds_(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bounds_); i++) {
		const bound_case_t *row = &bounds_[i];
		char *lines = g_strdup_printf("[%s]\n%s = %s", row->table,
					      row->key, row->value);
		mmx_findings_t *findings = mmx_findings_create();
		char *text = text_(16, lines);
		mmx_settings_t *settings =
			mmx_settings_parse("s", text, strlen(text), findings);
		int64_t found = -1;

		mmx_test_findings(findings, "");
		if (settings && row->size == sizeof(uint32_t))
			found = *(uint32_t *)((char *)settings + row->offset);
		else if (settings)
			found = *(int64_t *)((char *)settings + row->offset);
		CU_ASSERT_EQUAL(found, row->expected);
		if (found != row->expected)
			printf("\n%s: found %" G_GINT64_FORMAT "\n", lines,
			       (gint64)found);
		mmx_settings_destroy(settings);
		mmx_findings_destroy(findings);
		g_free(text);
		g_free(lines);
	}
}

/* Guards against a choice by work that nobody asked for, and against one that
 * is asked for and ignored. */
static void test_balance_(void)
{
	static const struct {
		const char *lines;
		bool by_work;
	} cases[] = {
		{"", false},
		{"[balance]", false},
		{"[balance]\nby = \"requests\"", false},
		{"[balance]\nby = \"work\"", true},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_findings_t *findings = mmx_findings_create();
		char *text = text_(16, cases[i].lines);
		mmx_settings_t *settings =
			mmx_settings_parse("s", text, strlen(text), findings);

		mmx_test_findings(findings, "");
		CU_ASSERT_TRUE(settings &&
			       settings->balance_by_work == cases[i].by_work);
		mmx_settings_destroy(settings);
		mmx_findings_destroy(findings);
		g_free(text);
	}
}

/* Guards against a missing file that is taken for an empty one. */
static void test_no_file_(void)
{
	mmx_findings_t *findings = mmx_findings_create();

	CU_ASSERT_PTR_NULL(mmx_settings_load("/nonexistent/s.toml", findings));
	mmx_test_findings(findings,
			  "0:0: cannot read file: No such file or directory");
	mmx_findings_destroy(findings);
}

CU_TestInfo mmx_tests_settings[] = {
	{"choice by work", test_balance_},
	{"each mistake is a finding with its place", test_findings_},
	{"all findings together, in order", test_all_together_},
	{"values reach their members", test_values_},
	{"own address among the seeds is left out", test_own_seed_},
	{"fleet keys", test_fleet_keys_},
	{"bounds as whole numbers and as fractions", test_bounds_},
	{"unreadable file", test_no_file_},
	CU_TEST_INFO_NULL,
};
