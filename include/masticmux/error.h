/**
 * Errors and findings.
 *
 * An mmx_error_t is passed down by the caller and filled by the function that
 * fails; the function then returns false or NULL. Findings are collected with
 * their place and reported together, for settings and changes.
 */
#ifndef MASTICMUX_ERROR_H
#define MASTICMUX_ERROR_H

#include <stdbool.h>
#include <stdio.h>
#include <sys/queue.h>

#define MMX_ERROR_TEXT_MAX 255

typedef enum mmx_error_code_t {
	MMX_ERROR_NONE,
	MMX_ERROR_IO,
	MMX_ERROR_INVALID,
	MMX_ERROR_LIMIT,
	MMX_ERROR_AUTH,
	MMX_ERROR_UNAVAILABLE,
	MMX_ERROR_COUNT
} mmx_error_code_t;

extern const char *const mmx_error_code_string[MMX_ERROR_COUNT];

typedef struct mmx_error_t {
	mmx_error_code_t code;
	char text[MMX_ERROR_TEXT_MAX + 1];
} mmx_error_t;

/**
 * Fills an error.
 *
 * @param error  may be NULL: then the error is dropped
 * @return false always, so that a failing function can return the call
 */
bool mmx_error_set(mmx_error_t *error, mmx_error_code_t code,
		   const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/** One finding in a settings or change file. */
typedef struct mmx_finding_t {
	STAILQ_ENTRY(mmx_finding_t) entry;
	char *file;
	int line;   /**< from 1; 0 when the whole file is meant */
	int column; /**< from 1; 0 when the whole line is meant */
	char *text;
} mmx_finding_t;

typedef STAILQ_HEAD(mmx_finding_list_t, mmx_finding_t) mmx_finding_list_t;

typedef struct mmx_findings_t mmx_findings_t;

mmx_findings_t *mmx_findings_create(void);
void mmx_findings_destroy(mmx_findings_t *findings);

/** Adds a finding; file and text are copied. */
void mmx_findings_add(mmx_findings_t *findings, const char *file, int line,
		      int column, const char *format, ...)
	__attribute__((format(printf, 5, 6)));

/** Number of findings so far. */
size_t mmx_findings_count(const mmx_findings_t *findings);

/** The findings in order of adding; valid until the next add or destroy. */
const mmx_finding_list_t *mmx_findings_list(const mmx_findings_t *findings);

/**
 * Moves the findings of another list to the end, in order of line and column;
 * findings of one place keep their order. The other list is empty afterwards.
 */
void mmx_findings_move(mmx_findings_t *findings, mmx_findings_t *from);

/** Writes all findings as "file:line:column: text" lines. */
void mmx_findings_print(const mmx_findings_t *findings, FILE *out);

#endif
