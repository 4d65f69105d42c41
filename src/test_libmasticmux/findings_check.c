#include "findings_check.h"

#include <CUnit/CUnit.h>
#include <glib.h>

void mmx_test_findings(const mmx_findings_t *findings, const char *expected)
{
	GString *found = g_string_new(NULL);
	const mmx_finding_t *finding;

	STAILQ_FOREACH (finding, mmx_findings_list(findings), entry)
		g_string_append_printf(found, "%s%d:%d: %s",
				       found->len ? "\n" : "", finding->line,
				       finding->column, finding->text);
	if (g_strcmp0(found->str, expected))
		printf("\nexpected %s\nfound    %s\n", expected, found->str);
	CU_ASSERT_STRING_EQUAL(found->str, expected);
	g_string_free(found, TRUE);
}

char *mmx_test_join_lines(const char *const *lines, int count, int line,
			  const char *replacement)
{
	GString *text = g_string_new(NULL);
	int i;

	for (i = 0; i < count; i++)
		g_string_append_printf(text, "%s\n",
				       i + 1 == line ? replacement : lines[i]);
	return g_string_free(text, FALSE);
}
