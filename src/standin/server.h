/**
 * HTTP server of a stand-in: one loop, one evhttp server, one clock.
 *
 * Usage: open, run until SIGTERM or SIGINT, close. Opening prints
 * "listening IP:PORT" with the bound port on standard output.
 */
#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H

#include <event2/event.h>
#include <event2/http.h>

#include "masticmux/clock.h"
#include "masticmux/error.h"

/** Bytes for "IP:PORT" with an IPv6 address in brackets. */
#define STANDIN_ADDRESS_MAX 64

typedef struct standin_address_t {
	char host[STANDIN_ADDRESS_MAX]; /**< numeric, without brackets */
	uint16_t port;
} standin_address_t;

typedef struct standin_server_t {
	struct event_base *base;
	mmx_clock_t *clock;
	struct evhttp *http;
	struct event *terminate[2];
	standin_address_t address; /**< as bound */
	void (*on_stop)(void *arg); /**< on a signal; default: end the loop */
	void *arg;
} standin_server_t;

/** Parses "IP:PORT"; port 0 lets the kernel choose. */
bool standin_address_parse(const char *text, standin_address_t *address,
			   mmx_error_t *error);

/**
 * Parses a list of addresses separated by commas.
 *
 * @param count  number of addresses found
 * @return an array for g_free(), or NULL on failure
 */
standin_address_t *standin_address_list(const char *text, size_t *count,
					mmx_error_t *error);

/**
 * Opens the server and prints its address.
 *
 * @param listen      "IP:PORT"
 * @param max_body    longest request body in bytes
 * @param on_request  called for each request with arg
 */
bool standin_server_open(standin_server_t *server, const char *listen,
			 size_t max_body,
			 void (*on_request)(struct evhttp_request *, void *),
			 void *arg, mmx_error_t *error);

/** Runs the loop until standin_server_stop(). */
void standin_server_run(standin_server_t *server);

/** Ends the loop. */
void standin_server_stop(standin_server_t *server);

/** Frees the server; no timer of its clock may be set. */
void standin_server_close(standin_server_t *server);

/** How standin_drop() ends a connection. */
typedef enum standin_drop_t {
	STANDIN_DROP_CLOSE, /**< orderly close (FIN) */
	STANDIN_DROP_RESET  /**< reset (RST) */
} standin_drop_t;

/** Ends the request's connection without a reply. */
void standin_drop(struct evhttp_request *req, standin_drop_t how);

/** Prints "masticmux-standin: TEXT" on standard error; returns 2. */
int standin_usage_error(const char *text);

#endif
