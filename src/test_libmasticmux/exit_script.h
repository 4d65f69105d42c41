/*
 * Fixture: runs scripts of messages against an exit. The trace shows what the
 * exit sends to the target client ("call") and to the entry.
 */
#ifndef MASTICMUX_TEST_EXIT_SCRIPT_H
#define MASTICMUX_TEST_EXIT_SCRIPT_H

#include "fakes.h"
#include "private/header_names.h"

/* Names of the headers of a deployment whose targets do not repeat ids. */
extern const mmx_header_names_t exit_script_names;

/* The same with ids, names of targets, limits and leaving. */
extern const mmx_header_names_t exit_script_all_names;

/* Runs each script against an exit of its own and compares the traces. */
void exit_script_run(const script_case_t *cases, size_t count,
		     const mmx_header_names_t *header_names);

#endif
