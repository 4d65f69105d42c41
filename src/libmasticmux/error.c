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

void mmx_findings_print(const mmx_findings_t *findings, FILE *out)
{
	const mmx_finding_t *finding;

	STAILQ_FOREACH (finding, &findings->list, entry)
		fprintf(out, "%s:%d:%d: %s\n", finding->file, finding->line,
			finding->column, finding->text);
}
