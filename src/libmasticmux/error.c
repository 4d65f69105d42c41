#include "masticmux/error.h"

#include <glib.h>
#include <stdarg.h>

const char *const mmx_error_code_string[MMX_ERROR_COUNT] = {
	"none", "io", "invalid", "limit", "auth", "unavailable",
};

struct mmx_findings_t {
	mmx_finding_list_t list;
	size_t count;
};

bool mmx_error_set(mmx_error_t *error, mmx_error_code_t code,
		   const char *format, ...)
{
	va_list args;

	if (!error)
		return false;
	error->code = code;
	va_start(args, format);
	vsnprintf(error->text, sizeof(error->text), format, args);
	va_end(args);
	return false;
}

mmx_findings_t *mmx_findings_create(void)
{
	mmx_findings_t *findings = g_new0(mmx_findings_t, 1);

	STAILQ_INIT(&findings->list);
	return findings;
}

void mmx_findings_destroy(mmx_findings_t *findings)
{
	mmx_finding_t *finding;

	if (!findings)
		return;
	while ((finding = STAILQ_FIRST(&findings->list))) {
		STAILQ_REMOVE_HEAD(&findings->list, entry);
		g_free(finding->file);
		g_free(finding->text);
		g_free(finding);
	}
	g_free(findings);
}

void mmx_findings_add(mmx_findings_t *findings, const char *file, int line,
		      int column, const char *format, ...)
{
	mmx_finding_t *finding = g_new0(mmx_finding_t, 1);
	va_list args;

	finding->file = g_strdup(file);
	finding->line = line;
	finding->column = column;
	va_start(args, format);
	finding->text = g_strdup_vprintf(format, args);
	va_end(args);
	STAILQ_INSERT_TAIL(&findings->list, finding, entry);
	findings->count++;
}

size_t mmx_findings_count(const mmx_findings_t *findings)
{
	return findings->count;
}

const mmx_finding_list_t *mmx_findings_list(const mmx_findings_t *findings)
{
	return &findings->list;
}

static int compare_places_(const void *left, const void *right, void *unused)
{
	const mmx_finding_t *a = *(const mmx_finding_t *const *)left;
	const mmx_finding_t *b = *(const mmx_finding_t *const *)right;

	if (a->line != b->line)
		return a->line < b->line ? -1 : 1;
	if (a->column != b->column)
		return a->column < b->column ? -1 : 1;
	return 0;
}

void mmx_findings_move(mmx_findings_t *findings, mmx_findings_t *from)
{
	mmx_finding_t **sorted = g_new(mmx_finding_t *, from->count);
	mmx_finding_t *finding;
	size_t i = 0;

	STAILQ_FOREACH (finding, &from->list, entry)
		sorted[i++] = finding;
	/* The sort of GLib is stable, that of the C library need not be. */
	g_qsort_with_data(sorted, (int)from->count, sizeof(mmx_finding_t *),
			  compare_places_, NULL);
	for (i = 0; i < from->count; i++)
		STAILQ_INSERT_TAIL(&findings->list, sorted[i], entry);
	findings->count += from->count;
	STAILQ_INIT(&from->list);
	from->count = 0;
	g_free(sorted);
}

void mmx_findings_print(const mmx_findings_t *findings, FILE *out)
{
	const mmx_finding_t *finding;

	STAILQ_FOREACH (finding, &findings->list, entry)
		fprintf(out, "%s:%d:%d: %s\n", finding->file, finding->line,
			finding->column, finding->text);
}
