#include "suites.h"

#include <string.h>

#include "masticmux/error.h"

/* Guards against findings that are lost, reordered or without a place. */
static void test_findings_(void)
{
	mmx_findings_t *findings = mmx_findings_create();
	const mmx_finding_t *first;

	mmx_findings_add(findings, "a.toml", 3, 7, "unknown key '%s'", "nmae");
	mmx_findings_add(findings, "a.toml", 0, 0, "missing [node]");
	CU_ASSERT_EQUAL_FATAL(mmx_findings_count(findings), 2);
	first = STAILQ_FIRST(mmx_findings_list(findings));
	CU_ASSERT_EQUAL(first->line, 3);
	CU_ASSERT_EQUAL(first->column, 7);
	CU_ASSERT_STRING_EQUAL(first->text, "unknown key 'nmae'");
	mmx_findings_destroy(findings);
}

/* Guards against findings of two files that mix, and of one that come out of
 * the order of the file. */
static void test_move_(void)
{
	static const char *const expected[] = {"first", "a", "b", "c", "d"};
	mmx_findings_t *findings = mmx_findings_create();
	mmx_findings_t *from = mmx_findings_create();
	const mmx_finding_t *finding;
	size_t i = 0;

	mmx_findings_add(findings, "a.toml", 9, 9, "first");
	mmx_findings_add(from, "b.toml", 3, 1, "d");
	mmx_findings_add(from, "b.toml", 2, 5, "b");
	mmx_findings_add(from, "b.toml", 2, 5, "c");
	mmx_findings_add(from, "b.toml", 2, 4, "a");
	mmx_findings_move(findings, from);
	CU_ASSERT_EQUAL(mmx_findings_count(from), 0);
	CU_ASSERT_TRUE(STAILQ_EMPTY(mmx_findings_list(from)));
	CU_ASSERT_EQUAL_FATAL(mmx_findings_count(findings), 5);
	STAILQ_FOREACH (finding, mmx_findings_list(findings), entry)
		CU_ASSERT_STRING_EQUAL(finding->text, expected[i++]);
	mmx_findings_destroy(from);
	mmx_findings_destroy(findings);
}

/* Guards against a text longer than the buffer. */
static void test_long_text_(void)
{
	mmx_error_t error;
	char text[2 * MMX_ERROR_TEXT_MAX];

	memset(text, 'x', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	CU_ASSERT_FALSE(mmx_error_set(&error, MMX_ERROR_LIMIT, "%s", text));
	CU_ASSERT_EQUAL(strlen(error.text), MMX_ERROR_TEXT_MAX);
	CU_ASSERT_FALSE(mmx_error_set(NULL, MMX_ERROR_LIMIT, "dropped"));
}

CU_TestInfo mmx_tests_error[] = {
	{"findings keep their order and place", test_findings_},
	{"moved findings are in order", test_move_},
	{"long text is cut", test_long_text_},
	CU_TEST_INFO_NULL,
};
