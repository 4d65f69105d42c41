/* Comparison of findings with the text that a case expects. */
#ifndef MASTICMUX_TEST_FINDINGS_CHECK_H
#define MASTICMUX_TEST_FINDINGS_CHECK_H

#include "masticmux/error.h"

/**
 * Checks the findings, written as "line:column: text" and joined by newlines,
 * and prints both sides when they differ.
 */
void mmx_test_findings(const mmx_findings_t *findings, const char *expected);

#endif
