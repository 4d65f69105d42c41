#include "suites.h"

#include <glib.h>
#include <string.h>

#include "private/roster.h"

typedef struct fixture_t {
	mmx_clock_t *clock;
	mmx_directory_t *directory;
	mmx_roster_t *roster;
} fixture_t;

static fixture_t open_(void)
{
	fixture_t fixture = {.clock = mmx_clock_create_paused()};

	fixture.directory = mmx_directory_create(fixture.clock);
	fixture.roster = mmx_roster_create(fixture.directory);
	return fixture;
}

static void close_(fixture_t *fixture)
{
	mmx_roster_destroy(fixture->roster);
	mmx_directory_destroy(fixture->directory);
	mmx_clock_destroy(fixture->clock);
}

#define NODE                                                \
	"{\"node\":\"n1\",\"region\":\"r\",\"zone\":\"z\"," \
	"\"address\":\"127.0.0.1:9\",\"targets\":"
#define TARGET(name) "{\"name\":\"" name "\",\"service\":\"s\",\"slots\":3}"

static size_t count_(const fixture_t *fixture)
{
	const mmx_directory_service_t *service =
		mmx_directory_service(fixture->directory, "s");

	return service ? mmx_directory_service_count(service) : 0;
}

/* Guards against targets that remain after they were removed from their node's
 * record, and against an older record that replaces a newer one. */
static void test_record_order_(void)
{
	static const struct {
		const char *text;
		uint64_t offset;
		size_t targets;
	} steps[] = {
		{NODE "[" TARGET("a") "]}", 4, 1},
		{NODE "[" TARGET("a") "," TARGET("b") "]}", 6, 2},
		{NODE "[" TARGET("b") "]}", 7, 1},
		{NODE "[" TARGET("a") "," TARGET("b") "]}", 6, 1},
		{NODE "[]}", 9, 0},
		{NODE "[" TARGET("a") "]}", 12, 1},
	};
	fixture_t fixture = open_();
	mmx_error_t error;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		CU_ASSERT_TRUE(mmx_roster_merge(
			fixture.roster, "n1", steps[i].text,
			strlen(steps[i].text), steps[i].offset, &error));
		CU_ASSERT_EQUAL(count_(&fixture), steps[i].targets);
	}
	CU_ASSERT_PTR_NOT_NULL(
		mmx_roster_find(fixture.roster, mmx_node_id("n1")));
	mmx_roster_remove(fixture.roster, "n1", 13);
	CU_ASSERT_EQUAL(count_(&fixture), 0);
	CU_ASSERT_EQUAL(mmx_roster_count(fixture.roster), 0);
	close_(&fixture);
}

/* Guards against an invalid record of another writer that changes the roster or
 * the directory. */
static void test_invalid_records_(void)
{
	static const char *const texts[] = {
		"",
		"7",
		"{}",
		"{\"node\":7}",
		NODE "7}",
		NODE "[7]}",
		NODE "[{\"name\":\"a\",\"service\":\"s\",\"slots\":0}]}",
		NODE "[{\"name\":\"a/b\",\"service\":\"s\",\"slots\":1}]}",
		NODE "[" TARGET("a") ",{\"name\":\"b\"}]}",
		"{\"node\":\"n1\",\"region\":\"r\",\"zone\":\"z\","
		"\"address\":\"here\",\"targets\":[]}",
	};
	fixture_t fixture = open_();
	mmx_error_t error = {MMX_ERROR_NONE, ""};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		CU_ASSERT_FALSE(mmx_roster_merge(fixture.roster, "n1", texts[i],
						 strlen(texts[i]), i, &error));
		CU_ASSERT_NOT_EQUAL(error.text[0], '\0');
	}
	CU_ASSERT_EQUAL(count_(&fixture), 0);
	CU_ASSERT_EQUAL(mmx_roster_count(fixture.roster), 0);
	close_(&fixture);
}

/* Guards against a record under another key that moves a node or takes its
 * targets away; the node itself reads its own key only and cannot mend it. */
static void test_other_key_(void)
{
	static const char sound[] = NODE "[" TARGET("a") "]}";
	static const char *const keys[] = {"n2", "odd", "", "N1", "n1 "};
	fixture_t fixture = open_();
	mmx_error_t error = {MMX_ERROR_NONE, ""};
	size_t i;

	CU_ASSERT_TRUE(mmx_roster_merge(fixture.roster, "n1", sound,
					strlen(sound), 1, &error));
	for (i = 0; i < G_N_ELEMENTS(keys); i++) {
		CU_ASSERT_FALSE(mmx_roster_merge(fixture.roster, keys[i],
						 NODE "[]}", strlen(NODE "[]}"),
						 i + 2, &error));
		CU_ASSERT_PTR_NOT_NULL(strstr(error.text, "key"));
		CU_ASSERT_EQUAL(count_(&fixture), 1);
	}
	CU_ASSERT_EQUAL(mmx_roster_count(fixture.roster), 1);
	close_(&fixture);
}

/* Guards against an encoded record that other nodes cannot decode, and against
 * draining targets in it. */
static void test_encode_(void)
{
	mmx_roster_node_t node = {
		.name = "n1",
		.region = "r",
		.zone = "z",
		.address = {.host = "127.0.0.1", .port = 9},
	};
	mmx_target_record_t targets[] = {
		{.name = "a",
		 .service = "s",
		 .slots = 3,
		 .state = MMX_TARGET_WARM},
		{.name = "b",
		 .service = "s",
		 .slots = 3,
		 .state = MMX_TARGET_DRAINING},
	};
	fixture_t fixture = open_();
	char *text = mmx_roster_encode(&node, targets, G_N_ELEMENTS(targets));
	mmx_error_t error;

	CU_ASSERT_STRING_EQUAL(text, NODE "[" TARGET("a") "]}");
	CU_ASSERT_TRUE(mmx_roster_merge(fixture.roster, "n1", text,
					strlen(text), 1, &error));
	CU_ASSERT_EQUAL(count_(&fixture), 1);
	g_free(text);
	close_(&fixture);
}

/* Guards against the start of a target's process that is lost on the way, or
 * that makes records of earlier releases invalid. */
static void test_process_start_(void)
{
	static const struct {
		const char *start;
		bool valid;
		uint64_t process_start;
	} cases[] = {
		{"", true, 0},
		{",\"start\":0", true, 0},
		{",\"start\":1772300000123", true, 1772300000123},
		{",\"start\":-1", false, 0},
		{",\"start\":1.5", false, 0},
		{",\"start\":\"1\"", false, 0},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t fixture = open_();
		char *text = g_strdup_printf(
			NODE "[{\"name\":\"a\",\"service\":\"s\","
			     "\"slots\":3%s}]}",
			cases[i].start);
		const mmx_directory_target_t *target;
		mmx_error_t error;

		CU_ASSERT_EQUAL(mmx_roster_merge(fixture.roster, "n1", text,
						 strlen(text), 1, &error),
				cases[i].valid);
		target = mmx_directory_find(fixture.directory,
					    mmx_directory_id("n1", "a"));
		CU_ASSERT_EQUAL(target != NULL, cases[i].valid);
		if (target)
			CU_ASSERT_EQUAL(
				mmx_directory_target_process_start(target),
				cases[i].process_start);
		g_free(text);
		close_(&fixture);
	}
}

CU_TestInfo mmx_tests_roster[] = {
	{"order of the records of a node", test_record_order_},
	{"invalid records change nothing", test_invalid_records_},
	{"records under another key", test_other_key_},
	{"encoding of a record", test_encode_},
	{"start of a target's process", test_process_start_},
	CU_TEST_INFO_NULL,
};
