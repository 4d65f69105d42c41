/* Input of cases that expect findings, and comparison of the findings. */
#ifndef MASTICMUX_TEST_FINDINGS_CHECK_H
#define MASTICMUX_TEST_FINDINGS_CHECK_H

#include "masticmux/error.h"

/**
 * Checks the findings, written as "line:column: text" and joined by newlines,
 * and prints both sides when they differ.
 */
void mmx_test_findings(const mmx_findings_t *findings, const char *expected);

/**
 * Joins lines to a text, each with its newline.
 *
 * @param line         number of the line that is replaced, from 1; 0 for none
 * @param replacement  stands for that line
 * @return to be freed with g_free()
 */
char *mmx_test_join_lines(const char *const *lines, int count, int line,
			  const char *replacement);

#endif
