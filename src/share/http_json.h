/**
 * JSON bodies over evhttp, for the small servers of the product and of the
 * stand-ins.
 *
 * Every function that replies finishes the request; it must not be used
 * afterwards.
 */
#ifndef SHARE_HTTP_JSON_H
#define SHARE_HTTP_JSON_H

#include <jansson.h>

#include "masticmux/error.h"

struct evhttp_request;

/**
 * Parses the request's body as a JSON object.
 *
 * @param error  filled with the place of the fault on failure
 * @return a new reference, or NULL when the body is not a JSON object
 */
json_t *mmx_http_json_body(struct evhttp_request *req, mmx_error_t *error);

/**
 * Replies with a JSON document.
 *
 * @param status  HTTP status, 200..599
 * @param value   reference that the call takes over
 */
void mmx_http_json_reply(struct evhttp_request *req, int status, json_t *value);

/**
 * Replies with {"error": text}.
 *
 * @param status  HTTP status, 400..599
 */
void mmx_http_json_error(struct evhttp_request *req, int status,
			 const char *text);

#endif
