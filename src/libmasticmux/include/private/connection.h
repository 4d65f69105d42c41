/*
 * One TCP connection to another node: a bufferevent, the record reader, the
 * session. It greets (HELLO), signs and verifies, and bounds its output; what
 * the calls mean is decided by its owner.
 *
 * Life: dial or accept, ops->ready once, send and receive, ops->closed once
 * (by the peer, by an error or by mmx_connection_close()), destroy. It may be
 * destroyed at any time but from inside its own ops.
 */
#ifndef MASTICMUX_PRIVATE_CONNECTION_H
#define MASTICMUX_PRIVATE_CONNECTION_H

#include <sys/socket.h>

#include "masticmux/task.h"
#include "private/session.h"

struct event_base;
struct evbuffer;

/* Output above which a connection is congested, and is closed, bytes. */
#define MMX_CONNECTION_CONGESTED (4 * 1024 * 1024)
#define MMX_CONNECTION_OUTPUT_MAX (32 * 1024 * 1024)

typedef enum mmx_close_reason_t {
	MMX_CLOSE_LOCAL,     /* no longer needed */
	MMX_CLOSE_IDLE,	     /* nothing to do for the idle time */
	MMX_CLOSE_REMOTE,    /* closed by the other side */
	MMX_CLOSE_ERROR,     /* error of the socket */
	MMX_CLOSE_CONNECT,   /* no connection could be made */
	MMX_CLOSE_TIMEOUT,   /* connect or HELLO took too long */
	MMX_CLOSE_SILENT,    /* no bytes while requests were outstanding */
	MMX_CLOSE_STALLED,   /* a record was left incomplete */
	MMX_CLOSE_REPLACED,  /* a newer connection works */
	MMX_CLOSE_OVERSIZE,  /* record too long */
	MMX_CLOSE_FRAGMENTS, /* record of too many fragments */
	MMX_CLOSE_MALFORMED, /* not a record of this protocol */
	MMX_CLOSE_SESSION,   /* refused by the session, see its result */
	MMX_CLOSE_OUTPUT,    /* the other side does not read */
	MMX_CLOSE_LIMIT,     /* too many connections */
	MMX_CLOSE_REASON_COUNT
} mmx_close_reason_t;

extern const char *const mmx_close_reason_string[MMX_CLOSE_REASON_COUNT];

typedef struct mmx_connection_t mmx_connection_t;

typedef struct mmx_connection_ops_t {
	/* The session is open; nothing may be sent from inside this by the
	 * side that accepted, whose HELLO follows. */
	void (*ready)(mmx_connection_t *connection, void *owner);
	/* A verified record; args follow the header and belong to the caller. */
	void (*record)(mmx_connection_t *connection, void *owner,
		       const mmx_rpc_header_t *header, struct evbuffer *args);
	void (*closed)(mmx_connection_t *connection, void *owner,
		       mmx_close_reason_t reason);
} mmx_connection_ops_t;

typedef struct mmx_connection_config_t {
	struct event_base *base;
	mmx_clock_t *clock;
	const mmx_session_identity_t *identity; /* outlives the connection */
	const mmx_connection_ops_t *ops;
	void *owner;
} mmx_connection_config_t;

/* What a connection has moved so far. */
typedef struct mmx_connection_usage_t {
	uint64_t bytes_sent; /* handed to the socket's buffer */
	uint64_t bytes_received;
	uint64_t records_sent;
	uint64_t records_received;
} mmx_connection_usage_t;

/* True for 127.0.0.0/8 and ::1. */
bool mmx_connection_is_loopback(const struct sockaddr *address);

/*
 * Starts connecting. NULL when the address cannot be used or the connect
 * fails at once; ops are not called then.
 */
mmx_connection_t *mmx_connection_dial(const mmx_connection_config_t *config,
				      const mmx_address_t *address,
				      const mmx_session_expected_t *expected);

/* Takes over an accepted, non-blocking socket. */
mmx_connection_t *mmx_connection_accept(const mmx_connection_config_t *config,
					int fd, const struct sockaddr *from);

void mmx_connection_destroy(mmx_connection_t *connection);

/* Closes the socket and calls ops->closed; no effect when closed already. */
void mmx_connection_close(mmx_connection_t *connection,
			  mmx_close_reason_t reason);

/*
 * Sends one record: the header, fields, then body, which is emptied; body may
 * be NULL. Valid after ready; no effect when closed. header->verified and the
 * verifier are filled in here.
 */
void mmx_connection_send(mmx_connection_t *connection, mmx_rpc_header_t *header,
			 const uint8_t *fields, size_t fields_size,
			 struct evbuffer *body);

/* True while the output is above MMX_CONNECTION_CONGESTED. */
bool mmx_connection_is_congested(const mmx_connection_t *connection);

/* True when all output has been handed to the system. */
bool mmx_connection_is_flushed(const mmx_connection_t *connection);

bool mmx_connection_is_closed(const mmx_connection_t *connection);

/* True while part of a record has arrived. */
bool mmx_connection_is_mid_record(const mmx_connection_t *connection);

/* Result that closed the connection with MMX_CLOSE_SESSION. */
mmx_session_result_t
mmx_connection_session_result(const mmx_connection_t *connection);

/* HELLO of the other side; valid after ready. */
const mmx_hello_t *mmx_connection_remote(const mmx_connection_t *connection);

/* When bytes arrived last; the time of creation before that. */
mmx_time_t mmx_connection_received_at(const mmx_connection_t *connection);

const mmx_connection_usage_t *
mmx_connection_usage(const mmx_connection_t *connection);

#endif
