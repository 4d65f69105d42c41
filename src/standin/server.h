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
#include <glib.h>

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
	struct evhttp_bound_socket *bound;
	bool has_control;
	struct event *terminate[2];
	GHashTable *connections; /**< number of each by its bufferevent */
	uintptr_t connection_count;
	uintptr_t frozen; /**< connections up to this number are frozen */
	standin_address_t address;  /**< as bound */
	void (*on_stop)(void *arg); /**< on a signal; default: end the loop */
	void *arg;
} standin_server_t;

/** Creates a loop whose timers are exact to less than a millisecond. */
struct event_base *standin_base_new(void);

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
 * Opens the server and prints its address, and "control IP:PORT" for the
 * second one.
 *
 * @param listen      "IP:PORT"
 * @param control     second address that accepts the same requests, or NULL
 * @param max_body    longest request body in bytes
 * @param on_request  called for each request with arg
 */
bool standin_server_open(standin_server_t *server, const char *listen,
			 const char *control, size_t max_body,
			 void (*on_request)(struct evhttp_request *, void *),
			 void *arg, mmx_error_t *error);

/**
 * Closes the listening socket, so that connections are refused, or opens it
 * again on the same port. Open connections stay; the caller drops their
 * requests. Without a control address, which could undo this, the socket stays
 * open and the reset of each request is all that a client sees.
 *
 * @return false when the port cannot be bound again
 */
bool standin_server_refuse(standin_server_t *server, bool refuse,
			   mmx_error_t *error);

/**
 * Freezes the connections that are open now, or thaws all. New connections
 * work; a frozen one is to get no answer any more.
 */
void standin_server_freeze(standin_server_t *server, bool freeze);

/** True when the request came on a frozen connection. */
bool standin_server_frozen(const standin_server_t *server,
			   struct evhttp_request *req);

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
