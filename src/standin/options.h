/**
 * Command line of a stand-in's subcommand.
 */
#ifndef STANDIN_OPTIONS_H
#define STANDIN_OPTIONS_H

#include <glib.h>
#include <stdbool.h>

/**
 * Parses the options of a subcommand that takes no operands; --help prints its
 * usage and ends the process. Reports mistakes on standard error.
 *
 * @param entries      options, ended by G_OPTION_ENTRY_NULL
 * @param description  text after the options in --help, or NULL
 * @param operand      text of the error when there is an operand
 * @return false when an option is unknown, lacks its value, or there is an
 *         operand
 */
bool standin_options_parse(int argc, char **argv, const GOptionEntry *entries,
			   const char *description, const char *operand);

#endif
