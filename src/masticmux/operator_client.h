/**
 * Requests to the operator address of a node, one at a time and blocking.
 */
#ifndef MASTICMUX_PROGRAM_OPERATOR_CLIENT_H
#define MASTICMUX_PROGRAM_OPERATOR_CLIENT_H

#include "masticmux/clock.h"
#include "masticmux/error.h"
#include "masticmux/settings.h"

typedef enum mmx_operator_verb_t {
	MMX_OPERATOR_VERB_GET,
	MMX_OPERATOR_VERB_POST,
	MMX_OPERATOR_VERB_COUNT
} mmx_operator_verb_t;

extern const char *const mmx_operator_verb_string[MMX_OPERATOR_VERB_COUNT];

/** Response of a node. */
typedef struct mmx_operator_response_t {
	int status;
	char *text; /**< ends with NUL; to be freed with g_free() */
	size_t length;
} mmx_operator_response_t;

typedef struct mmx_operator_client_t mmx_operator_client_t;

/**
 * Creates a client; ignores SIGPIPE from then on.
 *
 * @param timeout_s  for connecting and for the response, 1 or more
 */
mmx_operator_client_t *mmx_operator_client_create(const mmx_address_t *address,
						  int timeout_s);
void mmx_operator_client_destroy(mmx_operator_client_t *client);

/**
 * Sends a request on a connection of its own.
 *
 * @param response  filled when the node responded, with any status
 * @return false without a response; the node may have taken the request then
 */
bool mmx_operator_client_call(mmx_operator_client_t *client,
			      mmx_operator_verb_t verb, const char *path,
			      mmx_operator_response_t *response,
			      mmx_error_t *error);

/** Time of the client's clock. */
mmx_time_t mmx_operator_client_now(const mmx_operator_client_t *client);

/** Waits; duration in microseconds, above 0. */
void mmx_operator_client_pause(mmx_operator_client_t *client,
			       mmx_time_t duration);

/**
 * Makes a path with one parameter.
 *
 * @param value  is percent-encoded
 * @return to be freed with g_free()
 */
char *mmx_operator_client_path(const char *path, const char *key,
			       const char *value);

#endif
