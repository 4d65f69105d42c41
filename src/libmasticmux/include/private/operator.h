/*
 * Operator server: the HTTP server on the operator address.
 *
 *   GET /metrics  counters in Prometheus text format
 *   GET /healthz  200 "ok", or 503 "starting" or "draining"
 *
 * Handlers are registered for other paths. A handler returns the response body
 * as JSON, or defers the response, for example until another node has replied.
 *
 * Lifecycle: create, register, init, destroy. Handlers may be registered at any
 * time before destroy.
 */
#ifndef MASTICMUX_PRIVATE_OPERATOR_H
#define MASTICMUX_PRIVATE_OPERATOR_H

#include <jansson.h>

#include "masticmux/counters.h"
#include "masticmux/error.h"
#include "masticmux/settings.h"
#include "masticmux/task.h"

typedef struct mmx_operator_t mmx_operator_t;

typedef enum mmx_operator_method_t {
	MMX_OPERATOR_GET,
	MMX_OPERATOR_POST,
	MMX_OPERATOR_METHOD_COUNT
} mmx_operator_method_t;

extern const char *const mmx_operator_method_string[MMX_OPERATOR_METHOD_COUNT];

/* A deferred response. */
typedef struct mmx_operator_deferred_t mmx_operator_deferred_t;

/* One request for a registered path. */
typedef struct mmx_operator_request_t {
	/* URL-decoded parameters, an object of strings; may be empty. */
	const json_t *query;
	const json_t *body; /* NULL: the request has no body */
	int status; /* of the response; 200 unless the handler changes it */
	/* Set by mmx_operator_defer(). */
	mmx_operator_deferred_t *deferred_reply;
	struct evhttp_request *http; /* owned by the server */
	mmx_operator_t *server;
} mmx_operator_request_t;

/*
 * Handles a request.
 *
 * Returns the body of the response, which the server frees. If it is NULL and
 * the response is not deferred, the server responds with 404.
 */
typedef json_t *(*mmx_operator_handler_t)(mmx_operator_request_t *request,
					  void *context);

/* The runtime and the counters outlive the server. */
mmx_operator_t *mmx_operator_create(mmx_runtime_t *runtime,
				    mmx_counters_t *counters);
void mmx_operator_destroy(mmx_operator_t *server);

/*
 * Registers a handler. Asserts that the path starts with '/' and has no handler
 * for this method yet.
 */
void mmx_operator_register(mmx_operator_t *server, mmx_operator_method_t method,
			   const char *path, mmx_operator_handler_t handler,
			   void *context);

/*
 * Defers the response. Valid once, inside a handler, which then returns NULL.
 * The request's query and body are freed when the handler returns.
 */
mmx_operator_deferred_t *mmx_operator_defer(mmx_operator_request_t *request);

/*
 * Sends a deferred response and frees it; takes ownership of the body. Valid
 * once, and before the server is destroyed, which frees responses that are
 * still deferred. Sends nothing if the client has closed its connection.
 */
void mmx_operator_send_deferred(mmx_operator_deferred_t *reply, int status,
				json_t *body);

/* Starts the server on an address; with port 0 the system picks a free port.
 * Returns false and sets the error if it cannot listen there. */
bool mmx_operator_init(mmx_operator_t *server, const mmx_address_t *address,
		       mmx_error_t *error);

/* Returns the port of the address given to init. Valid after init. */
uint16_t mmx_operator_port(const mmx_operator_t *server);

/* Listens on another address as well. Valid after init. */
bool mmx_operator_add_listener(mmx_operator_t *server,
			       const mmx_address_t *address,
			       mmx_error_t *error);

/* Sets the readiness check of /healthz, which responds with 503 "starting"
 * while the check returns false. Without one the server counts as ready. */
void mmx_operator_set_ready(mmx_operator_t *server, bool (*ready)(void *arg),
			    void *arg);

/* While set, /healthz responds with 503 "draining". */
void mmx_operator_set_draining(mmx_operator_t *server, bool draining);

#endif
