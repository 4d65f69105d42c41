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
