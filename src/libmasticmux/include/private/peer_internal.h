/*
 * Shared by the files of the peer task: peer.c (task and listener),
 * peer_link.c (one connection and its liveness), peer_node.c (the way to one
 * other node), peer_entry.c (messages of this node's entry), peer_inbound.c
 * (records received, messages of this node's exit) and peer_call.c (generic
 * calls).
 */
#ifndef MASTICMUX_PRIVATE_PEER_INTERNAL_H
#define MASTICMUX_PRIVATE_PEER_INTERNAL_H

#include <glib.h>
#include <sys/queue.h>

#include "private/peer.h"

typedef struct mmx_peer_link_t mmx_peer_link_t;
typedef struct mmx_peer_node_t mmx_peer_node_t;
typedef struct mmx_peer_pending_t mmx_peer_pending_t;

/* Why a message was dropped. */
typedef enum mmx_peer_drop_t {
	MMX_DROP_ORIGIN_CLOSED,	  /* the connection of the origin is gone */
	MMX_DROP_NOT_SERVED,	  /* the attempt is not open at the origin */
	MMX_DROP_UNKNOWN_ATTEMPT, /* body, window or cancel of no attempt */
	MMX_DROP_LATE_REPLY,	  /* reply to a call that is over */
	MMX_DROP_UNEXPECTED,	  /* kind of message that peer does not carry */
	MMX_DROP_MALFORMED,	  /* results that cannot be decoded */
	MMX_DROP_COUNT
} mmx_peer_drop_t;

extern const char *const mmx_peer_drop_string[MMX_DROP_COUNT];

/* Why an EXECUTE or a call was refused. */
typedef enum mmx_peer_refusal_t {
	MMX_REFUSAL_UNKNOWN_NODE,
	MMX_REFUSAL_BACKOFF,
	MMX_REFUSAL_CONNECT,
	MMX_REFUSAL_CONGESTED,
	MMX_REFUSAL_WAITING,   /* too much waits for a connection */
	MMX_REFUSAL_LIMIT,     /* message exceeds a limit of the wire */
	MMX_REFUSAL_GARBAGE,   /* received, but cannot be decoded */
	MMX_REFUSAL_FOREIGN,   /* attempt of another node than the sender */
	MMX_REFUSAL_SERVED,    /* too much outstanding on a connection */
	MMX_REFUSAL_PROCEDURE, /* no handler */
	MMX_REFUSAL_COUNT
} mmx_peer_refusal_t;

extern const char *const mmx_peer_refusal_string[MMX_REFUSAL_COUNT];

/* Link numbers of an attempt that stand for no link. */
#define MMX_LINK_WAITING 0
#define MMX_LINK_GONE UINT64_MAX

/* An attempt of this node's entry at another node. */
typedef struct mmx_peer_attempt_t {
	mmx_attempt_id_t id; /* key */
	mmx_peer_node_t *node;
	uint64_t sent_link;  /* EXECUTE went out here; body parts follow it */
	uint64_t reply_link; /* the response is expected here */
	uint32_t xid;	     /* of EXECUTE on sent_link */
} mmx_peer_attempt_t;

/* An attempt of another entry that this node's exit works on. */
typedef struct mmx_peer_served_t {
	mmx_attempt_id_t id; /* key */
	uint32_t execute_xid;
	uint32_t fence_xid;
	bool execute_open; /* response or the end of its body to be sent */
	bool execute_due;  /* execute_xid is to be answered */
	bool fence_due;	   /* fence_xid is to be answered */
} mmx_peer_served_t;

/* A call that waits for its reply. */
struct mmx_peer_pending_t {
	STAILQ_ENTRY(mmx_peer_pending_t) entry; /* while it waits for a link */
	mmx_procedure_t procedure;
	mmx_attempt_id_t attempt; /* EXECUTE and FENCE */
	mmx_peer_t *peer;
	mmx_peer_link_t *link; /* NULL while waiting */
	mmx_peer_node_t *node; /* while waiting in its list */
	uint32_t xid;
	/* Generic calls only. */
	LIST_ENTRY(mmx_peer_pending_t) all;
	mmx_timer_t timer;
	mmx_peer_result_t result; /* when the timer fires */
	mmx_peer_answer_fn_t fn;
	void *arg;
	uint8_t *bytes;
	size_t length;
};

typedef STAILQ_HEAD(mmx_peer_pending_list_t,
		    mmx_peer_pending_t) mmx_peer_pending_list_t;

/* One connection. */
struct mmx_peer_link_t {
	LIST_ENTRY(mmx_peer_link_t) entry;	/* of the peer or graveyard */
	LIST_ENTRY(mmx_peer_link_t) node_entry; /* outgoing */
	mmx_peer_t *peer;
	mmx_peer_node_t *node; /* NULL: accepted */
	mmx_connection_t *connection;
	uint64_t id;
	bool ready;
	bool silent;	/* no bytes for the path timeout */
	bool delivered; /* the exit has got something from here */
	uint32_t next_xid;
	GHashTable *calls;   /* xid -> mmx_peer_pending_t */
	GHashTable *served;  /* attempt -> mmx_peer_served_t; accepted links */
	size_t served_calls; /* generic calls not answered yet */
	size_t attempts;     /* attempts with this reply_link */
	mmx_time_t created_at;
	mmx_time_t busy_since; /* MMX_TIME_NEVER while nothing is outstanding */
	mmx_time_t used_at;
	mmx_time_t null_at;
	mmx_time_t silent_at;
	mmx_time_t resumed_at; /* end of the last pause of this process */
	mmx_time_t check_at;   /* when the check is due */
	mmx_timer_t check;
	mmx_connection_usage_t counted;
};

typedef LIST_HEAD(mmx_peer_link_list_t, mmx_peer_link_t) mmx_peer_link_list_t;

/* Another node, or an address whose node is not known. */
struct mmx_peer_node_t {
	mmx_peer_t *peer;
	mmx_node_id_t id;      /* 0: by address */
	mmx_address_t address; /* by address */
	char *name;	       /* for log lines: id or address */
	mmx_peer_link_list_t links;
	mmx_peer_link_t *main;	  /* takes new attempts and calls */
	mmx_peer_link_t *dialing; /* not ready yet */
	mmx_message_list_t waiting;
	size_t waiting_count;
	size_t waiting_bytes;
	mmx_peer_pending_list_t waiting_calls;
	mmx_time_t backoff;
	mmx_time_t retry_at; /* no new connection before, but for fences */
	mmx_timer_t retry;   /* fences that wait for a new connection */
	bool unreachable;
	mmx_incarnation_t incarnation; /* as of the latest HELLO */
};

typedef struct mmx_peer_handler_t {
	mmx_peer_handler_fn_t fn;
	void *arg;
} mmx_peer_handler_t;

typedef struct mmx_peer_counters_t {
	mmx_counter_t *dropped[MMX_DROP_COUNT];
	mmx_counter_t *refused[MMX_REFUSAL_COUNT];
	mmx_counter_t *closed[MMX_CLOSE_REASON_COUNT];
	mmx_counter_t *session[MMX_SESSION_RESULT_COUNT];
	mmx_counter_t *dialed;
	mmx_counter_t *accepted;
	mmx_counter_t *connections;
	mmx_counter_t *nulls;
	mmx_counter_t *path_lost;
	mmx_counter_t *origin_lost;
	mmx_counter_t *bytes_sent;
	mmx_counter_t *bytes_received;
	mmx_counter_t *records_sent;
	mmx_counter_t *records_received;
} mmx_peer_counters_t;

struct mmx_peer_t {
	mmx_task_t task;
	mmx_peer_config_t config;
	mmx_peer_times_t times;
	mmx_session_identity_t identity;
	mmx_node_id_t id;
	mmx_clock_t *clock;
	struct evconnlistener *listener;
	uint16_t port;
	GHashTable *links;	  /* id -> mmx_peer_link_t */
	mmx_peer_link_list_t all; /* the same */
	mmx_peer_link_list_t closed;
	mmx_timer_t reaper; /* frees the closed links */
	uint64_t next_link;
	size_t outgoing;
	size_t incoming;
	GHashTable *nodes;     /* id -> mmx_peer_node_t */
	GHashTable *addresses; /* text -> mmx_peer_node_t */
	mmx_timer_t sweep;     /* frees the nodes that are not used */
	GHashTable *attempts;  /* attempt -> mmx_peer_attempt_t */
	LIST_HEAD(mmx_peer_pendings_t, mmx_peer_pending_t) calls;
	mmx_peer_handler_t handlers[MMX_PROCEDURE_COUNT];
	bool draining;
	void (*drained)(void *arg);
	void *drained_arg;
	mmx_timer_t drain_check;
	mmx_peer_counters_t counters;
};

/* peer.c */
void mmx_peer_drop(mmx_peer_t *peer, mmx_peer_drop_t why);
void mmx_peer_refused(mmx_peer_t *peer, mmx_peer_refusal_t why);
/* Tells the entry that an attempt has ended without a response. */
void mmx_peer_end_attempt(mmx_peer_t *peer, const mmx_attempt_id_t *attempt,
			  mmx_node_id_t exit, mmx_reason_t reason,
			  bool started);

/* peer_link.c */
mmx_peer_link_t *mmx_peer_link_new(mmx_peer_t *peer, mmx_peer_node_t *node);
/* Enters a link once its connection exists. */
void mmx_peer_link_enter(mmx_peer_link_t *link);
mmx_peer_link_t *mmx_peer_link_find(mmx_peer_t *peer, uint64_t id);
void mmx_peer_link_free(mmx_peer_link_t *link);
mmx_connection_config_t mmx_peer_link_config(mmx_peer_link_t *link);
/* attempt id -> a struct that starts with it; values are freed by g_free. */
GHashTable *mmx_peer_attempt_table(void);
/* Sends a call with the fields and body of a message. */
bool mmx_peer_link_call(mmx_peer_link_t *link, mmx_procedure_t procedure,
			uint32_t xid, mmx_message_t *message);
bool mmx_peer_link_reply(mmx_peer_link_t *link, uint32_t xid,
			 mmx_message_t *message);
void mmx_peer_link_reply_status(mmx_peer_link_t *link, uint32_t xid,
				mmx_rpc_status_t status);
/* Sends a body in records of at most MMX_WIRE_BODY_MAX bytes. */
void mmx_peer_link_parts(mmx_peer_link_t *link, mmx_procedure_t procedure,
			 mmx_body_t *body);
/*
 * Takes from a first body part what exceeds one record; NULL when it fits.
 * The rest then carries the end.
 */
mmx_body_t *mmx_peer_body_rest(struct evbuffer *first, bool *end,
			       const mmx_attempt_id_t *attempt,
			       mmx_direction_t direction);
/* Registers a call that expects a reply; returns its xid. */
uint32_t mmx_peer_link_expect(mmx_peer_link_t *link,
			      mmx_peer_pending_t *pending);
size_t mmx_peer_link_outstanding(const mmx_peer_link_t *link);
/* To be called after outstanding work was added or finished. */
void mmx_peer_link_update(mmx_peer_link_t *link);

/* peer_inbound.c */
void mmx_peer_on_record(mmx_connection_t *connection, void *owner,
			const mmx_rpc_header_t *header, struct evbuffer *args);
void mmx_peer_from_exit(mmx_peer_t *peer, mmx_message_t *message);

/* peer_entry.c */
void mmx_peer_from_entry(mmx_peer_t *peer, mmx_message_t *message);
/* Sends what has waited for this link and empties the list. */
void mmx_peer_entry_send(mmx_peer_link_t *link, mmx_message_list_t *list);
/* Ends what waited for a connection that could not be made. */
void mmx_peer_entry_fail(mmx_peer_node_t *node, mmx_peer_refusal_t why);

/* peer_node.c */
mmx_peer_node_t *mmx_peer_node_get(mmx_peer_t *peer,
				   const mmx_peer_place_t *place);
void mmx_peer_node_free(mmx_peer_node_t *node);
bool mmx_peer_node_is_unused(const mmx_peer_node_t *node);
void mmx_peer_node_dial(mmx_peer_node_t *node);
/* A link for new attempts and calls; may be NULL. */
mmx_peer_link_t *mmx_peer_node_usable(mmx_peer_node_t *node);
/* False when an attempt cannot wait for a connection, with the reason. */
bool mmx_peer_node_may_wait(mmx_peer_node_t *node, mmx_peer_refusal_t *why);
void mmx_peer_node_wait(mmx_peer_node_t *node, mmx_message_t *message);
/* Empties the list of waiting messages into another one. */
void mmx_peer_node_take(mmx_peer_node_t *node, mmx_message_list_t *list);
/* Posts PATH_LOST to the entry. */
void mmx_peer_node_lose(mmx_peer_node_t *node, mmx_node_id_t exit,
			bool connect_failed);
void mmx_peer_node_ready(mmx_peer_link_t *link);
void mmx_peer_node_silent(mmx_peer_link_t *link);
void mmx_peer_node_resumed(mmx_peer_link_t *link);
void mmx_peer_node_closed(mmx_peer_link_t *link, mmx_close_reason_t reason);
/* Sends a generic call, queues it for a connection, or fails it. */
void mmx_peer_node_submit(mmx_peer_node_t *node, mmx_peer_pending_t *pending);
mmx_peer_attempt_t *mmx_peer_attempt_find(mmx_peer_t *peer,
					  const mmx_attempt_id_t *id);
mmx_peer_attempt_t *mmx_peer_attempt_add(mmx_peer_node_t *node,
					 const mmx_attempt_id_t *id);
void mmx_peer_attempt_remove(mmx_peer_attempt_t *attempt);
void mmx_peer_attempt_move(mmx_peer_attempt_t *attempt, mmx_peer_link_t *link);
void mmx_peer_unreachable(mmx_peer_node_t *node, const char *reason);

/* peer_call.c */
void mmx_peer_call_send(mmx_peer_pending_t *pending, mmx_peer_link_t *link);
void mmx_peer_call_fail(mmx_peer_pending_t *pending, mmx_peer_result_t result);
void mmx_peer_call_reply(mmx_peer_pending_t *pending,
			 const mmx_rpc_header_t *header, struct evbuffer *args);
void mmx_peer_call_serve(mmx_peer_link_t *link, const mmx_rpc_header_t *header,
			 struct evbuffer *args);
void mmx_peer_call_free(mmx_peer_pending_t *pending);

#endif
