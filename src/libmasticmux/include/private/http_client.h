/*
 * Non-blocking HTTP client for one service, built on evhttp. The callback of
 * each call runs exactly once, from the event loop, unless the client is
 * destroyed first. Connections are reused; a connection on which a call failed
 * is closed. After a failure the next calls start after a back-off with jitter,
 * which doubles until mmx_http_client_report_success() is called.
 *
 * Usage: create, send any number of GET and POST requests, destroy.
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
	mmx_clock_t *clock; /* driven by the event loop */
	mmx_address_t address;
	uint64_t seed;		/* for the jitter of the back-off */
	size_t body_max;	/* longest response body, bytes */
	mmx_time_t backoff_min; /* after the first failure, microseconds */
	mmx_time_t backoff_max; /* microseconds */
	/* Time without further bytes after which a response that has begun
	 * fails, microseconds; 0: the timeout of the call bounds the whole
	 * response. A fixed bound would cut off long responses on a slow path
	 * again and again, as each call starts from the first byte. */
	mmx_time_t stall_timeout;
	/* Time without an acknowledgement after which a connection is closed,
	 * microseconds; 0: the default of the operating system. */
	mmx_time_t unacked_timeout;
} mmx_http_client_config_t;

/* A response; valid only during the callback. */
typedef struct mmx_http_reply_t {
	int status;
	const char *body;	   /* not NUL-terminated */
	size_t length;		   /* of the body, bytes */
	bool too_large;		   /* longer than body_max; the body is empty */
	struct evkeyvalq *headers; /* NULL if no response head was received */
} mmx_http_reply_t;

/* What the network did for one call, also for one without a reply. */
typedef struct mmx_http_usage_t {
	size_t received;       /* bytes of the response, its head included */
	mmx_time_t first_byte; /* from the start of the call until the response
				* began, microseconds; 0: it did not */
	mmx_time_t duration;   /* of the call, microseconds */
} mmx_http_usage_t;

/* Returns the value of a header of the response, or NULL. */
const char *mmx_http_reply_header(const mmx_http_reply_t *reply,
				  const char *name);

/*
 * Receives the result of a call. reply: NULL if the connection failed or the
 * call timed out; the service may have processed the request all the same.
 */
typedef void (*mmx_http_reply_fn_t)(void *arg, const mmx_http_reply_t *reply);

mmx_http_client_t *
mmx_http_client_create(const mmx_http_client_config_t *config);

/* Cancels calls in progress without running their callbacks. client: may be
 * NULL. */
void mmx_http_client_destroy(mmx_http_client_t *client);

/*
 * Sends a GET request, after the back-off if there is one.
 *
 * uri: path and query; copied
 * timeout: from the start of the request, microseconds; with a stall_timeout
 *          only until the response begins
 */
void mmx_http_client_get(mmx_http_client_t *client, const char *uri,
			 mmx_time_t timeout, mmx_http_reply_fn_t fn, void *arg);

/*
 * Sends a POST request, as mmx_http_client_get() does.
 *
 * type: media type of the body
 * body: length bytes; copied, as is type
 */
void mmx_http_client_post(mmx_http_client_t *client, const char *uri,
			  const char *type, const char *body, size_t length,
			  mmx_time_t timeout, mmx_http_reply_fn_t fn,
			  void *arg);

/*
 * The client does not judge responses by itself; its owner reports whether a
 * call succeeded. Success ends the back-off; failure starts or doubles it.
 */
void mmx_http_client_report_success(mmx_http_client_t *client);
void mmx_http_client_report_failure(mmx_http_client_t *client);

/* Returns the usage of the call that ended last; valid from its callback until
 * the next call ends. */
const mmx_http_usage_t *mmx_http_client_usage(const mmx_http_client_t *client);

/* Returns the remaining back-off in microseconds; 0 if there is none. */
mmx_time_t mmx_http_client_backoff_left(const mmx_http_client_t *client);

#endif
