/**
 * Subcommands of the program: one file command_NAME.c and one row in main.c
 * for each of them.
 */
#ifndef MASTICMUX_PROGRAM_COMMANDS_H
#define MASTICMUX_PROGRAM_COMMANDS_H

#include <glib.h>
#include <stdbool.h>

#include "masticmux/settings.h"
#include "operator_client.h"

/** Exit statuses of every subcommand. */
typedef enum mmx_exit_status_t {
	MMX_EXIT_OK,
	MMX_EXIT_ERROR,
	MMX_EXIT_FINDINGS,
	MMX_EXIT_REJECTED, /**< a change that was not accepted */
	MMX_EXIT_UNKNOWN,  /**< a change whose outcome is not known */
	MMX_EXIT_COUNT
} mmx_exit_status_t;

/** Exit status 3 of explain and stop: the node does not know. */
#define MMX_EXIT_NOT_KNOWN MMX_EXIT_REJECTED

extern const char *const mmx_exit_string[MMX_EXIT_COUNT];

/** One subcommand. */
typedef struct mmx_command_t {
	const char *name;
	const char *summary; /**< one line for --help */
	/**
	 * Runs it.
	 *
	 * @param argc  arguments, with the name of the subcommand in argv[0]
	 */
	mmx_exit_status_t (*run)(int argc, char **argv);
} mmx_command_t;

mmx_exit_status_t mmx_command_check(int argc, char **argv);
mmx_exit_status_t mmx_command_node(int argc, char **argv);
mmx_exit_status_t mmx_command_publish(int argc, char **argv);
mmx_exit_status_t mmx_command_status(int argc, char **argv);
mmx_exit_status_t mmx_command_explain(int argc, char **argv);
mmx_exit_status_t mmx_command_stop(int argc, char **argv);

/**
 * Parses the options of a subcommand; --help prints its usage and ends the
 * process. Reports mistakes on stderr.
 *
 * @param usage     operands after the options, or NULL if there are none
 * @param entries   options, ended by G_OPTION_ENTRY_NULL
 * @param operands  most operands that are valid; they remain in argv[1..]
 * @return false when an option is unknown, lacks its value, or there are too
 *         many operands
 */
bool mmx_command_parse(int *argc, char ***argv, const char *usage,
		       const char *summary, const GOptionEntry *entries,
		       int operands);

/**
 * Reports a required option that is missing.
 *
 * @param option  without dashes
 * @return true if value is set
 */
bool mmx_command_require(const char *command, const char *option,
			 const char *value);

/** Loads settings; reports findings on stderr and returns NULL then. */
mmx_settings_t *mmx_command_settings(const char *path);

/** Reports a response that is an error on stderr. */
void mmx_command_report_response(const char *command,
				 const mmx_operator_response_t *response);

#endif
