#include "suites.h"

#include <glib.h>
#include <string.h>

#include "masticmux/change.h"
#include "masticmux/random.h"
#include "masticmux/settings.h"

#define ROUNDS 4000
#define SEED 20260131
/* Most changes of one text. */
#define EDITS_MAX 6
/* Longest piece that one edit removes or repeats, bytes. */
#define PIECE_MAX 24

static const char settings_[] =
	"[node]\nname = \"node-1\"\nregion = \"north\"\nzone = \"a\"\n"
	"fleet_keys = [\"a:00112233445566778899aabbccddeeff"
	"00112233445566778899aabbccddeeff\"]\n"
	"[listen]\ncallers = \"127.0.0.1:8080\"\nnodes = \"[::1]:8081\"\n"
	"announce = \"127.0.0.1:8082\"\noperator = \"127.0.0.1:8083\"\n"
	"[fleet]\nseeds = [\"127.0.0.1:8181\", \"127.0.0.1:8182\"]\n"
	"[log_service]\naddress = \"127.0.0.1:9000\"\nretention_s = 3600\n"
	"[trace]\ncollector = \"127.0.0.1:4318\"\n";

static const char change_[] =
	"[change]\nid = \"c1\"\npublisher = \"ops\"\n[template.t]\nbase = 0\n"
	"deadline_ms = 800\nfloor_percent = 70\ndetection_weight = 100\n"
	"repeatable = [\"GET\", \"HEAD\"]\n[service.s]\nbase = 3\n"
	"template = \"t\"\n[[service.s.route]]\nhost = \"a.example\"\n"
	"[[service.s.route]]\nhost = \"a.example\"\npath_prefix = \"/p\"\n"
	"warm_up_ms = 5\n[account.a]\nbase = 0\nfloor_percent = 5\n";

static const char record_[] =
	"{\"account\":{\"a\":{\"base\":0,\"ceiling_percent\":50,"
	"\"floor_percent\":10,\"repeatable\":[\"GET\"]}},"
	"\"change\":{\"id\":\"c1\",\"publisher\":\"ops\"},"
	"\"service\":{\"s\":{\"base\":3,\"route\":[{\"deadline_ms\":1,"
	"\"host\":\"a.example\",\"path_prefix\":\"/\"}],\"template\":\"t\"}},"
	"\"template\":{\"t\":{\"base\":0,\"deadline_ms\":800,"
	"\"detection_weight\":100,\"floor_percent\":70,\"floor_slots\":2,"
	"\"repeatable\":[\"GET\",\"HEAD\"],\"retry_percent\":10,"
	"\"warm_up_ms\":0}}}";

/* Pieces that reach more of the parsers than single bytes do. */
static const char *const pieces_[] = {
	"[",
	"]",
	"[[",
	"]]",
	"{",
	"}",
	"\"",
	"'",
	"\"\"\"",
	"=",
	".",
	",",
	":",
	"\n",
	"\r",
	"\\",
	"\\u0000",
	"\\ud800",
	"#",
	"-",
	"+",
	"0x",
	"1e9",
	"9223372036854775807",
	"99999999999999999999",
	"inf",
	"nan",
	"true",
	"null",
	"1979-05-27T07:32:00Z",
	"\xff",
	"\xc3",
	"\xef\xbb\xbf",
	"[a.b.c]",
	"a.b.c = 1\n",
	"\xe0\xb8\x81",
	"\xc3\xa9",
	"\xe3\x80\x82",
};

static void insert_(GString *text, size_t at, mmx_random_t *random)
{
	size_t piece = mmx_random_below(random, G_N_ELEMENTS(pieces_));

	g_string_insert(text, (gssize)at, pieces_[piece]);
}

static void edit_(GString *text, mmx_random_t *random)
{
	size_t at = mmx_random_below(random, text->len + 1);
	size_t length = mmx_random_below(random, PIECE_MAX);
	char *copy;

	length = MIN(length, text->len - at);
	switch (mmx_random_below(random, 5)) {
	case 0:
		if (at < text->len)
			text->str[at] = (char)mmx_random_below(random, 256);
		break;
	case 1:
		g_string_erase(text, (gssize)at, (gssize)length);
		break;
	case 2:
		copy = g_strndup(text->str + at, length);
		g_string_insert(text,
				(gssize)mmx_random_below(random, text->len + 1),
				copy);
		g_free(copy);
		break;
	case 3:
		g_string_truncate(text, text->len - length);
		break;
	default:
		insert_(text, at, random);
	}
}

typedef bool (*read_fn_t)(const char *text, size_t length);

/* Each reader returns false when it neither accepts nor explains the text. */
static bool read_settings_(const char *text, size_t length)
{
	mmx_findings_t *findings = mmx_findings_create();
	mmx_settings_t *settings =
		mmx_settings_parse("s", text, length, findings);
	bool is_right = (settings != NULL) == !mmx_findings_count(findings);

	mmx_settings_destroy(settings);
	mmx_findings_destroy(findings);
	return is_right;
}

/* What is accepted must survive its own record. */
static bool is_stable_(mmx_change_t *change)
{
	mmx_change_t *again;
	char *second;
	char *first;
	bool is_same = false;
	size_t length;

	if (!*change->publisher)
		g_strlcpy(change->publisher, "p", sizeof(change->publisher));
	first = mmx_change_to_json(change, &length);
	again = mmx_change_from_json(first, length, NULL);
	if (again) {
		second = mmx_change_to_json(again, NULL);
		is_same = !strcmp(first, second);
		g_free(second);
	}
	mmx_change_destroy(again);
	g_free(first);
	return is_same;
}

static bool read_change_(const char *text, size_t length)
{
	mmx_findings_t *findings = mmx_findings_create();
	mmx_change_t *change = mmx_change_parse("c", text, length, findings);
	bool is_right =
		change ? is_stable_(change) : mmx_findings_count(findings) > 0;

	mmx_change_destroy(change);
	mmx_findings_destroy(findings);
	return is_right;
}

static bool read_record_(const char *text, size_t length)
{
	mmx_error_t error = {.code = MMX_ERROR_NONE};
	mmx_change_t *change = mmx_change_from_json(text, length, &error);
	bool is_right = change ? is_stable_(change)
			       : error.code != MMX_ERROR_NONE && *error.text;

	mmx_change_destroy(change);
	return is_right;
}

static void mutate_(const char *text, read_fn_t read)
{
	mmx_random_t random;
	int round;

	mmx_random_seed(&random, SEED);
	CU_ASSERT_TRUE(read(text, strlen(text)));
	for (round = 0; round < ROUNDS; round++) {
		GString *mutated = g_string_new(text);
		uint64_t edits = 1 + mmx_random_below(&random, EDITS_MAX);
		char *exact;
		bool is_right;

		while (edits--)
			edit_(mutated, &random);
		/* Without spare bytes a read past the end is an error. */
		exact = g_malloc(mutated->len + 1);
		memcpy(exact, mutated->str, mutated->len);
		exact = g_realloc(exact, MAX(mutated->len, 1));
		is_right = read(exact, mutated->len);
		if (!is_right)
			printf("\nround %d: %.*s\n", round, (int)mutated->len,
			       exact);
		CU_ASSERT_TRUE(is_right);
		g_free(exact);
		g_string_free(mutated, TRUE);
	}
}

/* Guards against crashes and memory errors on damaged or hostile files. */
static void test_settings_(void)
{
	mutate_(settings_, read_settings_);
}

/* As above, and against a file that passes the check and fails as a record. */
static void test_change_(void)
{
	mutate_(change_, read_change_);
}

/* As above, for records that any writer to the log may have left there. */
static void test_record_(void)
{
	mutate_(record_, read_record_);
}

CU_TestInfo mmx_tests_mutation[] = {
	{"mutated settings files", test_settings_},
	{"mutated change files", test_change_},
	{"mutated change records", test_record_},
	CU_TEST_INFO_NULL,
};
