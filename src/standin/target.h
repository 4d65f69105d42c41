/**
 * Subcommand "target": an HTTP target that announces itself, answers after
 * its latency and simulates gray failures on command.
 *
 * GET /probe answers at once, GET and POST /control show and set faults,
 * GET /executions?from=N&max=M shows starts and finishes by key, DELETE
 * /executions forgets them. Every other path is a real request.
 */
#ifndef STANDIN_TARGET_H
#define STANDIN_TARGET_H

/**
 * Runs until SIGTERM, then leaves the directory.
 *
 * @return process exit status
 */
int target_main(int argc, char **argv);

#endif
