/*
 * Task peer: the TCP connections between this node and the others.
 *
 * Messages of the entry (EXECUTE, BODY and WINDOW of the caller's side,
 * CANCEL, FENCE) are posted to mmx_peer_task() with their exit member set to
 * another node, and go there. What arrives from other entries is posted to the
 * exit task with its origin set to this task and the connection. Messages of
 * the exit (RESPONSE, BODY, WINDOW, FENCE_REPLY, EVIDENCE) are posted to
 * mmx_peer_task() with that origin and go out on the same connection if it is
 * still open, else they are dropped and counted.
 *
 * Besides, the task answers the entry when an attempt was certainly not run:
 * an EXECUTE that was never written to a connection comes back as RESPONSE
 * with started false. Its load member has target 0: no report.
 *
 * Life: create, register handlers, start, call and post, drain, destroy.
 */
#ifndef MASTICMUX_PRIVATE_PEER_H
#define MASTICMUX_PRIVATE_PEER_H

#include "masticmux/counters.h"
#include "masticmux/log.h"
#include "masticmux/random.h"
#include "private/connection.h"
#include "private/messages.h"

/* Time limits of the connections between nodes, microseconds. */
typedef struct mmx_peer_times_t {
	mmx_time_t connect;	  /* TCP connect and HELLO, dialing side */
	mmx_time_t greeting;	  /* HELLO, accepting side */
	mmx_time_t null_interval; /* between NULL calls while busy */
	mmx_time_t path;	  /* silence while busy, dialing side */
	mmx_time_t origin;	  /* the same, accepting side: longer, so that
				   * the entry decides first */
	mmx_time_t silent_age;	  /* until a silent connection is closed */
	mmx_time_t record;	  /* silence in the middle of a record */
	mmx_time_t idle;
	mmx_time_t backoff_min; /* after a failed connect; doubles */
	mmx_time_t backoff_max;
	mmx_time_t fence_retry; /* longest wait of a fence for a new attempt
				 * to connect */
} mmx_peer_times_t;

extern const mmx_peer_times_t mmx_peer_times_default;

/* Connections in each direction; at the design size a node talks to at most
 * 4,200 others, few of them at a time. */
#define MMX_PEER_CONNECTIONS_MAX 4096
/* Attempts and generic calls that one connection may have outstanding. */
#define MMX_PEER_SERVED_MAX 4096
/* Messages and bytes that wait for a connection to one node. */
#define MMX_PEER_WAITING_MAX 4096
#define MMX_PEER_WAITING_BYTES_MAX (16 * 1024 * 1024)

typedef struct mmx_peer_t mmx_peer_t;
typedef struct mmx_peer_resolver_t mmx_peer_resolver_t;

/* Finds the other nodes; embedded first in its implementation. */
typedef struct mmx_peer_resolver_ops_t {
	/* False when the node is unknown. incarnation 0 accepts any. */
	bool (*resolve)(mmx_peer_resolver_t *resolver, mmx_node_id_t node,
			mmx_address_t *address, mmx_incarnation_t *incarnation);
	/* Name of a node and its zone, for log lines; false when the node is
	 * unknown. The texts are valid until the next message. May be NULL. */
	bool (*describe)(mmx_peer_resolver_t *resolver, mmx_node_id_t node,
			 const char **name, const char **zone);
} mmx_peer_resolver_ops_t;

struct mmx_peer_resolver_t {
	const mmx_peer_resolver_ops_t *ops;
};

/* What the pointers refer to outlives the peer. */
typedef struct mmx_peer_config_t {
	const char *node_name;
	mmx_incarnation_t incarnation;
	const mmx_fleet_key_t *keys; /* the first signs, each verifies */
	size_t key_count;	     /* 0: loopback only, unless trusted */
	bool trusted;		     /* the network between nodes is private */
	mmx_address_t listen;	     /* port 0: the system chooses */
	mmx_peer_resolver_t *resolver;
	mmx_task_t *entry; /* receives what comes from exits */
	mmx_task_t *exit;  /* receives what comes from entries */
	mmx_counters_t *counters;
	mmx_log_t *log; /* NULL: no lines */
	mmx_random_t *random;
	size_t connections_max;	       /* in each direction; 0: the default */
	const mmx_peer_times_t *times; /* NULL: the defaults */
} mmx_peer_config_t;

/* Requires a runtime with a libevent loop. */
mmx_peer_t *mmx_peer_create(mmx_runtime_t *runtime,
			    const mmx_peer_config_t *config);

/* Closes everything at once. Callbacks of calls are not called any more. */
void mmx_peer_destroy(mmx_peer_t *peer);

/* Listens. Without a fleet key only a loopback address is accepted. */
bool mmx_peer_start(mmx_peer_t *peer, mmx_error_t *error);

/* The port that it listens on; 0 before start. */
uint16_t mmx_peer_port(const mmx_peer_t *peer);

/*
 * Stops accepting connections, finishes what is outstanding, closes
 * connections as they become idle, then calls fn once. Messages and calls are
 * still taken meanwhile.
 */
void mmx_peer_drain(mmx_peer_t *peer, void (*fn)(void *arg), void *arg);

/* Where messages are posted to. */
mmx_task_t *mmx_peer_task(mmx_peer_t *peer);

/*
 * Incarnation of a node as of the latest connection to it; 0 before the
 * first one.
 */
mmx_incarnation_t mmx_peer_incarnation(const mmx_peer_t *peer,
				       mmx_node_id_t node);

/* Open connections in both directions. */
size_t mmx_peer_connection_count(const mmx_peer_t *peer);

/* Generic calls. */

typedef enum mmx_peer_result_t {
	MMX_PEER_OK,
	MMX_PEER_REFUSED,     /* the other node has no handler or refused */
	MMX_PEER_TIMEOUT,     /* no answer in time */
	MMX_PEER_LOST,	      /* the connection closed before the answer */
	MMX_PEER_UNREACHABLE, /* not sent: unknown node or no connection */
	MMX_PEER_OVERLOADED,  /* not sent: too much is waiting */
	MMX_PEER_RESULT_COUNT
} mmx_peer_result_t;

extern const char *const mmx_peer_result_string[MMX_PEER_RESULT_COUNT];

/* bytes is NULL unless the result is MMX_PEER_OK; valid during the call. */
typedef void (*mmx_peer_answer_fn_t)(void *arg, mmx_peer_result_t result,
				     const uint8_t *bytes, size_t length);

/* A node by its id or, when the id is 0, whatever node has the address. */
typedef struct mmx_peer_place_t {
	mmx_node_id_t node;
	mmx_address_t address;
} mmx_peer_place_t;

/*
 * Calls a procedure of another node. fn is called exactly once, never from
 * inside mmx_peer_call().
 *
 * procedure: CONFIG_PULL, CONFIG_LOAD, DIRECTORY_SYNC, STOP, CLAIM,
 * STORE_NEWS, STORE_BLOCK or QUOTA.
 * bytes: copied; length at most MMX_WIRE_BYTES_MAX.
 * timeout: microseconds, above 0; includes connecting.
 */
void mmx_peer_call(mmx_peer_t *peer, const mmx_peer_place_t *place,
		   mmx_procedure_t procedure, const uint8_t *bytes,
		   size_t length, mmx_time_t timeout, mmx_peer_answer_fn_t fn,
		   void *arg);

/* Names a call that this node has to answer. */
typedef struct mmx_peer_ticket_t {
	uint64_t connection;
	uint32_t xid;
	mmx_node_id_t caller;
} mmx_peer_ticket_t;

/* bytes is valid during the call; the ticket may be kept. */
typedef void (*mmx_peer_handler_fn_t)(void *arg,
				      const mmx_peer_ticket_t *ticket,
				      const uint8_t *bytes, size_t length);

/* Sets the handler of a procedure, one of those of mmx_peer_call(). */
void mmx_peer_register(mmx_peer_t *peer, mmx_procedure_t procedure,
		       mmx_peer_handler_fn_t fn, void *arg);

/*
 * Answers a call, at once or later; dropped and counted when the connection
 * has closed. Every ticket is answered or refused once.
 */
void mmx_peer_answer(mmx_peer_t *peer, const mmx_peer_ticket_t *ticket,
		     const uint8_t *bytes, size_t length);
void mmx_peer_refuse(mmx_peer_t *peer, const mmx_peer_ticket_t *ticket);

#endif
