/*
 * Operator server: the HTTP server on the operator address.
 *
 *   GET /metrics  counters in Prometheus text format
 *   GET /healthz  200 "ok", 503 "draining" after mmx_operator_set_draining()
 *
 * Other paths are registered with a handler that returns JSON, or that defers
 * the response until something else has answered.
 *
 * Life: create, register, init, destroy. Paths may be registered at any time.
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

/* A response that is still to come. */
typedef struct mmx_operator_deferred_t mmx_operator_deferred_t;

/* One request for a registered path. */
typedef struct mmx_operator_request_t {
	const json_t *query; /* object of strings, decoded; {} if none */
	const json_t *body;  /* NULL if the request had none */
	int status;	     /* of the response; 200 unless set */
	mmx_operator_deferred_t
		*deferred_reply;     /* set by mmx_operator_defer() */
	struct evhttp_request *http; /* of the server */
	mmx_operator_t *server;
} mmx_operator_request_t;

/*
 * Handles a request; returns the body of the response, which the server
 * frees. With NULL the server answers 404, unless the response was deferred.
 */
typedef json_t *(*mmx_operator_handler_t)(mmx_operator_request_t *request,
					  void *context);

/* The runtime and the counters outlive the server. */
mmx_operator_t *mmx_operator_create(mmx_runtime_t *runtime,
				    mmx_counters_t *counters);
void mmx_operator_destroy(mmx_operator_t *server);

/*
 * Registers a handler. Asserts that the path starts with '/' and is not
 * registered for this method.
 */
void mmx_operator_register(mmx_operator_t *server, mmx_operator_method_t method,
			   const char *path, mmx_operator_handler_t handler,
			   void *context);

/*
 * Defers the response; valid inside a handler, which then returns NULL. The
 * query and the body end with the handler.
 */
mmx_operator_deferred_t *mmx_operator_defer(mmx_operator_request_t *request);

/*
 * Sends a deferred response and frees it; takes the body. Valid once, and not
 * after the server was destroyed, which frees what is still deferred. Nothing
 * is sent when the client has closed its connection.
 */
void mmx_operator_send_deferred(mmx_operator_deferred_t *reply, int status,
				json_t *body);

/* Starts to listen; port 0 takes a free one. */
bool mmx_operator_init(mmx_operator_t *server, const mmx_address_t *address,
		       mmx_error_t *error);

/* Valid after init. */
uint16_t mmx_operator_port(const mmx_operator_t *server);

/* What /healthz tells. */
/* Listens on a further address. Valid after init. */
bool mmx_operator_add_listener(mmx_operator_t *server,
			       const mmx_address_t *address,
			       mmx_error_t *error);

/* /healthz answers 503 while the function returns false. */
void mmx_operator_set_ready(mmx_operator_t *server, bool (*ready)(void *arg),
			    void *arg);

void mmx_operator_set_draining(mmx_operator_t *server, bool draining);

#endif
