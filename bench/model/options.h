/* Command line of the benchmarks. */
#ifndef MASTICMUX_BENCH_OPTIONS_H
#define MASTICMUX_BENCH_OPTIONS_H

#include <glib.h>
#include <stdbool.h>

/*
 * Reads the options of a benchmark. An error goes to standard error.
 *
 * summary: behind the program's name in --help; NULL: nothing
 */
bool bench_parse_options(int argc, char **argv, const char *summary,
			 const GOptionEntry *entries);

#endif
