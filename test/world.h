/*
 * A small fleet in one process for the scenarios: nodes with the real entry,
 * exit, directory and config_state, joined by a fake network, with fake targets and
 * fake callers around them. Time is virtual: the world has a paused clock, and
 * each node has its own, which stands still while the node is paused.
 */
#ifndef MASTICMUX_TEST_WORLD_H
#define MASTICMUX_TEST_WORLD_H

#include <event2/buffer.h>
#include <glib.h>

#include "masticmux/random.h"
#include "private/entry.h"
#include "private/exit.h"

#define NODES_MAX 16
#define TARGETS_MAX 64
#define SERVICES_MAX 4

/* Guarantees of the design, section 1.1, and what follows from them. */
typedef enum guarantee_t {
	GUARANTEE_FLOOR,    /* P1 */
	GUARANTEE_RESPONSE, /* P2 */
	GUARANTEE_NOT_RUN,  /* P3 */
	GUARANTEE_ONCE,	    /* P4 */
	GUARANTEE_LEAVING,  /* P5 */
	GUARANTEE_STOP,	    /* P6 */
	GUARANTEE_ANSWERED, /* exactly once, by the deadline */
	GUARANTEE_REFUSAL,  /* with a reason that is true */
	GUARANTEE_COUNT
} guarantee_t;

extern const char *const guarantee_string[GUARANTEE_COUNT];

typedef struct world_t world_t;
typedef struct node_t node_t;
typedef struct target_t target_t;
typedef struct request_t request_t;

/* One-shot event on the world's clock. */
typedef struct event_t {
	LIST_ENTRY(event_t) entry;
	mmx_timer_t timer;
	world_t *world;
	void (*fn)(void *arg);
	void *arg;
	void (*drop)(void *arg); /* when the world ends first; may be NULL */
} event_t;

/* A fake task of a node. */
typedef struct node_task_t {
	mmx_task_t task;
	node_t *node;
} node_task_t;

struct node_t {
	world_t *world;
	unsigned int index;
	char name[16];
	mmx_node_id_t id;
	unsigned int zone;   /* of the fleet */
	unsigned int region; /* of the fleet */
	bool up;
	bool paused;
	bool leaving; /* planned stop of the node */
	mmx_time_t started;
	mmx_incarnation_t incarnation;
	mmx_runtime_t *runtime;
	mmx_directory_t *directory;
	mmx_entry_t *entry;
	mmx_exit_t *exit;
	node_task_t local; /* in place of the exit, for the own entry */
	node_task_t peer;
	node_task_t client;
	node_task_t http;
	struct claims_node_t *claims;
	mmx_timer_t watch; /* on the node's clock */
	GHashTable *paths; /* attempt sequence -> connection id */
};

typedef enum spread_t {
	SPREAD_CONSTANT,
	SPREAD_EXPONENTIAL,
	SPREAD_HEAVY, /* Pareto with shape 1.5 */
	SPREAD_COUNT
} spread_t;

struct target_t {
	world_t *world;
	node_t *node;
	unsigned int index;
	char name[16];
	char service[16];
	uint16_t slots;
	spread_t spread;
	mmx_time_t mean;
	mmx_target_state_t state;
	bool up;
	mmx_time_t cold_until;
	mmx_time_t stop_at; /* planned stop announced; MMX_TIME_NEVER */
	bool stall;
	double slow;	   /* factor on the service time */
	double error_rate; /* 0..1 */
	double truncate;   /* 0..1 */
	mmx_time_t late;   /* added to the service time */
	mmx_time_t flap;   /* period of stalls; 0: none */
	unsigned int running;
	GQueue *waiting;   /* of call_t: no slot, or stalled */
	GHashTable *calls; /* of call_t, keyed by attempt sequence and entry */
	uint64_t executions;
	mmx_time_t busy_since;
};

struct request_t {
	world_t *world;
	uint64_t id;
	node_t *node;
	mmx_incarnation_t incarnation; /* of the entry */
	bool repeatable;
	struct claims_key_t *key; /* NULL: without an Idempotency-Key */
	size_t size;		  /* of the response's body */
	size_t upload;
	size_t uploaded;
	mmx_time_t created;
	mmx_time_t deadline;
	unsigned int executions;
	unsigned int heads;
	bool ended;
	bool failed; /* the answer broke off, as the caller can see */
	bool gone;   /* the caller or its entry has left */
	mmx_outcome_t outcome;
	mmx_reason_t reason;
	int status;
	GString *body;
};

typedef struct stats_t {
	uint64_t requests;
	uint64_t answers[MMX_OUTCOME_COUNT];
	uint64_t reasons[MMX_REASON_COUNT];
	uint64_t statuses_ok;
	uint64_t broken_off;
	mmx_time_t slowest_refusal; /* overloaded, no-capacity, account-limit */
	uint64_t executions;
	uint64_t cross_region;
	uint64_t claim_records; /* in the log */
} stats_t;

struct world_t {
	uint64_t seed;
	mmx_clock_t *clock;
	mmx_random_t random;
	mmx_config_state_t *config_state;
	const mmx_config_state_t *in_force;
	mmx_guards_t guards;
	size_t record_max;
	node_t nodes[NODES_MAX];
	unsigned int node_count;
	target_t targets[TARGETS_MAX];
	unsigned int target_count;
	LIST_HEAD(, event_t) events;
	LIST_HEAD(, connection_t) connections;
	uint64_t next_connection;
	bool lost[NODES_MAX][NODES_MAX]; /* one way */
	mmx_time_t extra_delay[NODES_MAX][NODES_MAX];
	GHashTable *cancelled; /* attempts that their entry gave up */
	GHashTable *requests;  /* of request_t */
	struct claims_world_t *claims;
	uint64_t next_request;
	uint64_t next_incarnation;
	stats_t stats;
	bool traced;
	GPtrArray *trace;
	bool broken;
	guarantee_t guarantee;
	char breach[256];
	uint64_t breach_request;
};

/* --- world.c ----------------------------------------------------------- */

world_t *world_create(uint64_t seed, bool traced);
void world_destroy(world_t *world);

/* Adds a node; zones are numbered over the fleet, three to a region. */
node_t *world_add_node(world_t *world, unsigned int zone, unsigned int region);
void world_start_node(node_t *node);

/* The node of an id; it must exist. */
node_t *world_node(world_t *world, mmx_node_id_t id);
/* Text that stands for an attempt; free with g_free(). */
char *world_key(const mmx_attempt_id_t *id);

mmx_time_t world_now(const world_t *world);
void world_run(world_t *world, mmx_time_t by);

/* Calls fn once after a delay. */
void world_after(world_t *world, mmx_time_t delay, void (*fn)(void *arg),
		 void *arg, void (*drop)(void *arg));

/* One line of the trace, about a request (0: none). */
void world_trace(world_t *world, uint64_t request, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/* Notes the first breach of a guarantee. */
void world_break(world_t *world, guarantee_t guarantee, uint64_t request,
		 const char *format, ...) __attribute__((format(printf, 4, 5)));

/* Checks that are made between events: the floor and the numbers. */
void world_check(world_t *world);

double world_unit(world_t *world);
mmx_time_t world_uniform(world_t *world, mmx_time_t low, mmx_time_t high);

/* Process faults. */
void node_kill(node_t *node);
void node_pause(node_t *node);
void node_resume(node_t *node);
void node_stop(node_t *node); /* planned */

/* Time on the node's clock at which it should be now. */
mmx_time_t node_time(const node_t *node);

/* --- net.c ------------------------------------------------------------- */

void net_init_node(node_t *node);
void net_finish_node(node_t *node);
void net_node_down(node_t *node);
void net_destroy(world_t *world);

/* Message of an entry for the exit of a node, tracked on the way. */
void net_to_exit(node_t *node, mmx_message_t *message, uint64_t connection);

/* Sets or ends one-way loss; held messages arrive when it ends. */
void net_set_lost(world_t *world, unsigned int from, unsigned int to,
		  bool lost);
/* The open connections between two nodes never carry anything again. */
void net_silence(world_t *world, unsigned int from, unsigned int to);
void net_cut(world_t *world, unsigned int from, unsigned int to);
mmx_time_t net_delay(world_t *world, const node_t *from, const node_t *to);

/* --- target.c ---------------------------------------------------------- */

target_t *target_add(world_t *world, node_t *node, const char *service);
void target_finish(target_t *target);
void target_init_node(node_t *node);
void target_announce(target_t *target);
void target_stop_planned(target_t *target);
void target_down(target_t *target);
void target_up(target_t *target, mmx_time_t cold);
void target_set_stall(target_t *target, bool stall);
/* Calls of an entry that was told the attempt isn't wanted any more. */
void target_node_lost(node_t *node);

/* --- caller.c ---------------------------------------------------------- */

void caller_init_node(node_t *node);

/* What a caller sends. */
typedef struct caller_request_t {
	const char *service;
	const char *method;
	const char *account;  /* or NULL */
	bool key;	      /* with an Idempotency-Key */
	const char *key_name; /* NULL: one that no other request has */
	mmx_time_t timeout;
	size_t size;   /* of the response's body */
	size_t upload; /* of its own body, sent in parts */
} caller_request_t;

/* NULL when the node takes no connection. */
request_t *caller_send(world_t *world, node_t *node,
		       const caller_request_t *what);
void caller_leave(request_t *request);
/* A request has begun to run at a target. */
void caller_executed(world_t *world, uint64_t id, const target_t *target);
/* The entry of these requests is no more. */
void caller_node_lost(node_t *node);
/* The body of the response to a request; free with g_free(). */
char *caller_expected(uint64_t id, size_t size);
void caller_free(void *request);

#endif
