/*
 * HTTP calls to one service over evhttp, never blocking. Each call answers
 * through its callback exactly once, from the event loop, unless the client is
 * destroyed before. Connections are kept; one on which a call failed is closed.
 * After a failure the next calls start after a back-off with jitter, which
 * doubles until mmx_http_client_report_success() is called.
 *
 * Life: create, (call), destroy.
 */
#ifndef MASTICMUX_PRIVATE_HTTP_CLIENT_H
#define MASTICMUX_PRIVATE_HTTP_CLIENT_H

#include "masticmux/address.h"
#include "masticmux/clock.h"
#include "masticmux/random.h"

struct event_base;
struct evkeyvalq;

typedef struct mmx_http_client_t mmx_http_client_t;

typedef struct mmx_http_client_config_t {
	struct event_base *base;
	mmx_clock_t *clock; /* driven by the loop */
	mmx_address_t address;
	uint64_t seed;		/* of the jitter */
	size_t body_max;	/* longest response, bytes */
	mmx_time_t backoff_min; /* after the first failure, microseconds */
	mmx_time_t backoff_max;
	/* Time after which data that is not acknowledged ends a connection;
	 * 0: what the system does. */
	mmx_time_t unacked_timeout;
} mmx_http_client_config_t;

/* A response; the body is valid during the callback. */
typedef struct mmx_http_reply_t {
	int status;
	const char *body; /* not ended by NUL */
	size_t length;
	bool too_large;		   /* longer than body_max; the body is empty */
	struct evkeyvalq *headers; /* NULL when the head was not read */
} mmx_http_reply_t;

/* Value of a header of a reply, or NULL. */
const char *mmx_http_reply_header(const mmx_http_reply_t *reply,
				  const char *name);

/* reply: NULL when none came; the service may have acted on the call. */
typedef void (*mmx_http_reply_fn_t)(void *arg, const mmx_http_reply_t *reply);

mmx_http_client_t *
mmx_http_client_create(const mmx_http_client_config_t *config);

/* Calls in progress get no answer. NULL is allowed. */
void mmx_http_client_destroy(mmx_http_client_t *client);

/* GET of a path with query. timeout: from its start, microseconds. */
void mmx_http_client_get(mmx_http_client_t *client, const char *uri,
			 mmx_time_t timeout, mmx_http_reply_fn_t fn, void *arg);

/* POST; the body is copied. */
void mmx_http_client_post(mmx_http_client_t *client, const char *uri,
			  const char *type, const char *body, size_t length,
			  mmx_time_t timeout, mmx_http_reply_fn_t fn,
			  void *arg);

/* The owner judges a reply: the back-off ends, or grows. */
void mmx_http_client_report_success(mmx_http_client_t *client);
void mmx_http_client_report_failure(mmx_http_client_t *client);

/* Time until the next call would start; 0 when not backing off. */
mmx_time_t mmx_http_client_backoff_left(const mmx_http_client_t *client);

#endif
