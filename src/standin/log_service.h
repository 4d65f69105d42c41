/**
 * Subcommand "log": the append-only log service over HTTP.
 *
 * POST /streams/NAME appends the body, GET /streams/NAME?from=N&max=M&
 * wait_ms=W reads records and waits for the first one. POST /control sets
 * faults, GET /control shows them and the counts.
 */
#ifndef STANDIN_LOG_SERVICE_H
#define STANDIN_LOG_SERVICE_H

/**
 * Runs until SIGTERM.
 *
 * @return process exit status
 */
int log_service_main(int argc, char **argv);

#endif
