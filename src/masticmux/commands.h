/**
 * Subcommands of the program: one file command_NAME.c and one row in main.c
 * for each of them.
 */
#ifndef MASTICMUX_PROGRAM_COMMANDS_H
#define MASTICMUX_PROGRAM_COMMANDS_H

#include <glib.h>
#include <jansson.h>
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

/** Option --settings of the subcommands that talk to a node. */
#define MMX_COMMAND_OPTION_SETTINGS(value)                        \
	{                                                         \
		"settings", 0, 0, G_OPTION_ARG_FILENAME, (value), \
			"settings file of a node", "FILE"         \
	}

/** Option --json; what names the printed value. */
#define MMX_COMMAND_OPTION_JSON(value, what)               \
	{                                                  \
		"json", 0, 0, G_OPTION_ARG_NONE, (value),  \
			"print the " what " as JSON", NULL \
	}

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

/**
 * Reports a mistake in the options on stderr and points to --help.
 *
 * @return false
 */
bool mmx_command_usage_error(const char *command, const char *text);

/**
 * Reports a --timeout outside its range, 1 to 3600 seconds.
 *
 * @return true if it is in range
 */
bool mmx_command_check_timeout(const char *command, int timeout_s);

/** Runs a subcommand with loaded settings; options are its own. */
typedef mmx_exit_status_t (*mmx_command_run_fn_t)(
	const void *options, const mmx_settings_t *settings);

/**
 * Loads settings and runs a subcommand with them.
 *
 * @return the status of run, or MMX_EXIT_FINDINGS when the settings have
 *         findings, which are then printed on stderr
 */
mmx_exit_status_t mmx_command_with_settings(const char *path,
					    mmx_command_run_fn_t run,
					    const void *options);

/**
 * Gets a path from the operator address of the settings. Reports a missing
 * response, and one with another status than 200, on stderr.
 *
 * @param response  status 0 without a response; its text must be freed in
 *                  every case
 * @return true for status 200
 */
bool mmx_command_get(const char *command, const mmx_settings_t *settings,
		     const char *path, mmx_operator_response_t *response);

/**
 * Parses the body of a response; reports on stderr if it is not JSON.
 *
 * @return a new reference, or NULL
 */
json_t *mmx_command_parse_response(const char *command,
				   const mmx_operator_response_t *response);

/** String of an object's key, or "-" if there is none. */
const char *mmx_command_text(const json_t *object, const char *key);

/** Prints a line with a value as JSON; flags are those of json_dumpf(). */
void mmx_command_print_json(const json_t *value, size_t flags);

#endif
