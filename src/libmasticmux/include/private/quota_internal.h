/* Shared by quota_accounts.c (state of accounts), quota.c (requests and token
 * requests of this node), quota_owner.c (buckets of owners, relayed token
 * requests), quota_order.c (order of the nodes) and quota_peers.c (calls,
 * failed nodes, reachability). */
#ifndef MASTICMUX_PRIVATE_QUOTA_INTERNAL_H
#define MASTICMUX_PRIVATE_QUOTA_INTERNAL_H

#include <sys/queue.h>

#include "masticmux/random.h"
#include "private/quota.h"
#include "private/quota_bucket.h"
#include "private/quota_codec.h"

/* Period of all work that is not caused by a message. */
#define MMX_QUOTA_TICK_US (100 * MMX_US_PER_MS)
/* A tick that is later than this means that the process did not run. */
#define MMX_QUOTA_GAP_US (400 * MMX_US_PER_MS)
/* Time-out of a relayed token request. With a round trip of 60 ms the reply
 * is at the requester before its own time-out. */
#define MMX_QUOTA_RELAY_TIMEOUT_US (150 * MMX_US_PER_MS)
/* The connection to a node that answered within this time is still open: idle
 * ones are closed after 60 s. */
#define MMX_QUOTA_CONNECTED_US (50 * MMX_US_PER_S)
/* Bounds of the back-off of a failed node. */
#define MMX_QUOTA_BACKOFF_MIN_US (2 * MMX_US_PER_S)
#define MMX_QUOTA_BACKOFF_MAX_US (8 * MMX_US_PER_S)
/* A node that failed for this time is left out of the order of the accounts,
 * so that the nodes behind it decide: machines that are lost for good stay in
 * the roster. It is still tried now and then. */
#define MMX_QUOTA_ABSENT_US (2 * MMX_US_PER_S)
#define MMX_QUOTA_ABSENT_BACKOFF_MAX_US (30 * MMX_US_PER_S)
/* A failed node from which something arrives is tried this long after its last
 * failure, whatever its back-off. */
#define MMX_QUOTA_CONTACT_RETRY_US (500 * MMX_US_PER_MS)
/* With this many other nodes heard within this time, or half of them, no probe
 * is needed to know that this node is not cut off. */
#define MMX_QUOTA_CONTACT_NODES 8
#define MMX_QUOTA_CONTACT_US (2 * MMX_US_PER_S)
/* A node that answered within this time counts as reached. */
#define MMX_QUOTA_REACHED_US (60 * MMX_US_PER_S)
/* Least number of nodes whose state is known for an estimate of the share of
 * the fleet that is reached. */
#define MMX_QUOTA_REACH_NODES 6
/* A node that reaches less of the fleet takes over from no other: of the parts
 * of a partition, only one reaches more. */
#define MMX_QUOTA_CUT_OFF_REACH 0.5
/* An isolated node tries the owner again after this time. */
#define MMX_QUOTA_ISOLATED_RETRY_US (1 * MMX_US_PER_S)
/* A new first owner leaves the bucket to its predecessor for this time: a
 * change of the roster is known everywhere within 2.5 s. */
#define MMX_QUOTA_HANDOVER_US (3 * MMX_US_PER_S)
/* Lists of nodes that are remembered, to know who was first in the last window.
 * Of more changes in a window, the oldest ones are not known. */
#define MMX_QUOTA_HISTORY 8
/* Probes of reachability: nodes in a round, time between rounds, and rounds that
 * count, which are those of the last 3.2 s. Probes are sent only while an account
 * is pressed or a standby serves: they cost more than the token requests. */
#define MMX_QUOTA_PROBE_NODES 8
#define MMX_QUOTA_PROBE_US (400 * MMX_US_PER_MS)
#define MMX_QUOTA_PROBE_ROUNDS 8
/* A standby serves at the full rate only after a round that started this long
 * after its term: the nodes of the first round ask the first owner themselves,
 * and know the reply in the second. */
#define MMX_QUOTA_CONFIRM_US (300 * MMX_US_PER_MS)
/* An owner that answered a node within this time is active. */
#define MMX_QUOTA_HEARD_US (1 * MMX_US_PER_S)
/* Nodes of the order that are known: the first two are asked, the others are
 * witnesses that know whether the first is active. */
#define MMX_QUOTA_OWNERS 4

typedef struct mmx_quota_account_t mmx_quota_account_t;

typedef struct mmx_quota_waiting_t {
	void *request;
	mmx_time_t since;
} mmx_quota_waiting_t;

struct mmx_quota_account_t {
	TAILQ_ENTRY(mmx_quota_account_t) dirty_entry;
	mmx_quota_t *quota;
	char name[MMX_NAME_MAX + 1];
	mmx_quota_limit_t limit;
	mmx_time_t touched_at;
	size_t calls; /* that refer to the account */

	/* Order of the nodes, of the roster with this generation. */
	uint64_t generation;
	mmx_node_id_t owners[MMX_QUOTA_OWNERS]; /* 0: none */
	size_t rank;				/* of this node, from 0 */
	mmx_time_t first_since; /* this node is first since then */
	bool inherited;		/* from a node that has left the roster */

	/* As requester. */
	GQueue waiting; /* of mmx_quota_waiting_t */
	mmx_timer_t wait_timer;
	bool asking; /* a token request is on its way */
	bool dirty;  /* in the list of accounts to send for */
	bool lost;   /* the first owner has failed */
	bool isolated;
	unsigned int held;    /* prefetched tokens */
	mmx_node_id_t issuer; /* of the prefetched tokens */
	mmx_time_t held_until;
	unsigned int given_back; /* tokens to return */
	mmx_time_t given_back_at;
	mmx_time_t given_back_since; /* issue of the oldest of these tokens */
	mmx_time_t refused_until;    /* requests are refused until then */
	mmx_time_t retry_at;	     /* a token is expected then */
	mmx_time_t retry_after;	     /* of the last refusal */
	unsigned int use;
	mmx_time_t answered_at; /* -1: never */
	unsigned int taken[2];	/* in this quarter of a second and before */
	int64_t taken_slot;
	mmx_time_t taken_at;
	mmx_quota_bucket_t local; /* for times of isolation */
	mmx_time_t local_at;	  /* last use of it; -1: never */

	/* As owner. */
	bool serving;
	mmx_quota_bucket_t bucket;
	mmx_time_t served_at;
	mmx_time_t takeover_at;	 /* start of the present term as standby */
	mmx_time_t endowed_at;	 /* last start of the bucket with tokens */
	bool confirmed;		 /* a round of probes has ended in this term */
	mmx_time_t heard_at;	 /* another node heard from the first owner */
	mmx_time_t delegated_at; /* the first owner left the bucket to us */
};

typedef struct mmx_quota_peer_t {
	mmx_node_id_t node;
	bool failed;
	bool absent; /* left out of the order of the accounts */
	mmx_time_t failed_since;
	mmx_time_t failed_at;
	mmx_time_t backoff;
	mmx_time_t retry_at;  /* a failed node is tried again */
	uint64_t trial;	      /* the call that tries it; 0: none */
	mmx_time_t heard_at;  /* its last reply */
	mmx_time_t active_at; /* its last token request or probe */
} mmx_quota_peer_t;

typedef enum mmx_quota_call_kind_t {
	MMX_QUOTA_CALL_ASK,
	MMX_QUOTA_CALL_RELAY,
	MMX_QUOTA_CALL_PROBE,
} mmx_quota_call_kind_t;

/* A token request of another node, until all of its lines are decided. */
typedef struct mmx_quota_served_t {
	LIST_ENTRY(mmx_quota_served_t) entry;
	mmx_peer_ticket_t ticket;
	mmx_node_id_t from;
	size_t count;
	size_t open; /* lines that were relayed */
	mmx_quota_ask_t *asks;
	mmx_quota_answer_t *answers;
} mmx_quota_served_t;

typedef struct mmx_quota_line_t {
	mmx_quota_account_t *account;
	unsigned int wanted;
} mmx_quota_line_t;

typedef struct mmx_quota_call_t {
	mmx_quota_t *quota;
	uint64_t id;
	mmx_node_id_t node;
	mmx_quota_call_kind_t kind;
	mmx_time_t sent_at;
	mmx_timer_t timer;
	bool late; /* the time-out has passed */
	size_t count;
	mmx_quota_line_t *lines;
	mmx_quota_served_t *served; /* of a relayed line, with its index */
	size_t index;
	uint64_t round; /* of a probe; 0: a failed node is tried again */
} mmx_quota_call_t;

/* One round of probes. */
typedef struct mmx_quota_round_t {
	uint64_t number; /* 0: none */
	mmx_time_t started_at;
	size_t sent;
	size_t answered;
	bool ended;
} mmx_quota_round_t;

/* A list of nodes. */
typedef struct mmx_quota_nodes_t {
	GArray *nodes; /* NULL: none */
	mmx_time_t since;
} mmx_quota_nodes_t;

struct mmx_quota_t {
	mmx_quota_config_t config;
	const mmx_quota_ops_t *ops;
	void *context;
	GArray *nodes; /* of mmx_node_id_t, sorted; the newest list */
	/* The newest lists, the last first. */
	mmx_quota_nodes_t history[MMX_QUOTA_HISTORY];
	uint64_t generation;
	bool draining;
	GHashTable *accounts; /* of mmx_quota_account_t, by name */
	GHashTable *peers;    /* of mmx_quota_peer_t, by node */
	GHashTable *calls;    /* of mmx_quota_call_t, by id */
	LIST_HEAD(, mmx_quota_served_t) served;
	TAILQ_HEAD(, mmx_quota_account_t) dirty;
	uint64_t next_call;
	mmx_timer_t flush_timer;
	mmx_timer_t tick_timer;
	mmx_time_t tick_at;
	bool ticking; /* also true within the callback of the timer */
	mmx_random_t random;
	mmx_quota_round_t rounds[MMX_QUOTA_PROBE_ROUNDS]; /* the last is first
							   */
	uint64_t next_round;
	mmx_counter_t *granted;
	mmx_counter_t *refused;
	mmx_counter_t *asks;
	mmx_counter_t *answers;
	mmx_counter_t *probes;
	mmx_counter_t *relays;
	mmx_counter_t *timeouts;
	mmx_counter_t *takeovers;
};

static inline mmx_time_t mmx_quota_now_(const mmx_quota_t *quota)
{
	return mmx_clock_now(quota->config.clock);
}

/* quota_accounts.c */
mmx_quota_account_t *mmx_quota_get_account_(mmx_quota_t *quota,
					    const char *name);
/* Sets a newer limit; rate 0: the account has no limit. */
void mmx_quota_apply_limit_(mmx_quota_account_t *account,
			    const mmx_quota_limit_t *limit);
void mmx_quota_event_(mmx_quota_account_t *account, mmx_quota_event_t event,
		      mmx_node_id_t node);

/* quota.c */
/* Timers: sends token requests; decides on requests that waited too long. */
void mmx_quota_on_flush_(void *quota);
void mmx_quota_on_wait_(void *account);
/* Has the waiting requests decided, at once or by a token request. */
void mmx_quota_decide_waiting_(mmx_quota_account_t *account);
/* Returns tokens that are not needed. */
void mmx_quota_tick_requester_(mmx_quota_account_t *account);
/* The reply to a token request of this node. answers: NULL if it failed */
void mmx_quota_on_own_answer_(mmx_quota_call_t *call,
			      const mmx_quota_answer_t *answers);

/* quota_order.c */
/* Brings the order of the nodes of an account up to date. */
void mmx_quota_order_(mmx_quota_account_t *account);
/* Burst and what random bursts of an account below its limit need. */
double mmx_quota_capacity_(const mmx_quota_account_t *account);
/* Tokens that may be lost to faults in one window. */
double mmx_quota_reserve_(const mmx_quota_account_t *account);
/* Share of the nodes that may be out of reach while the owner fills its bucket
 * at the full rate. */
double mmx_quota_missing_max_(const mmx_quota_account_t *account);
/* Prepares the bucket for times of isolation. */
void mmx_quota_open_local_(mmx_quota_account_t *account);

/* quota_peers.c */
mmx_quota_peer_t *mmx_quota_get_peer_(mmx_quota_t *quota, mmx_node_id_t node);
/* True if a node may be asked. A failed node is tried by a probe after its
 * back-off. retry: longest time between two trials */
bool mmx_quota_is_usable_(mmx_quota_t *quota, mmx_node_id_t node,
			  mmx_time_t retry);
/* A node has sent a probe. */
void mmx_quota_on_contact_(mmx_quota_t *quota, mmx_node_id_t node);
/* True for a node that is left out of the order of the accounts. */
bool mmx_quota_is_absent_(const mmx_quota_t *quota, mmx_node_id_t node);
/* Sends asks; lines: count, copied, may be NULL for none */
mmx_quota_call_t *mmx_quota_call_(mmx_quota_t *quota, mmx_node_id_t node,
				  mmx_quota_call_kind_t kind,
				  const mmx_quota_ask_t *asks, size_t count,
				  const mmx_quota_line_t *lines);
void mmx_quota_free_call_(gpointer call);
/* Work of each tick: starts and ends rounds, forgets late calls. */
void mmx_quota_tick_peers_(mmx_quota_t *quota);
void mmx_quota_start_round_(mmx_quota_t *quota);
/* Share of the fleet, with this node, that answers this node, above 0. */
double mmx_quota_reach_(const mmx_quota_t *quota);

/* quota_owner.c */
/* Decides on tokens from the bucket of this node. */
mmx_quota_answer_t mmx_quota_serve_(mmx_quota_account_t *account,
				    unsigned int wanted, unsigned int prefetch,
				    unsigned int given_back, mmx_time_t age);
/* True if the bucket of this node was used in this window. */
bool mmx_quota_has_served_(const mmx_quota_account_t *account);
/* The reply to a relayed line; answer: NULL if it failed */
void mmx_quota_on_relayed_(mmx_quota_call_t *call,
			   const mmx_quota_answer_t *answer);
/* Sets the rates of all buckets after a round of probes. */
void mmx_quota_set_rates_(mmx_quota_t *quota);
/* What this node hears from others without probes. */
typedef enum mmx_quota_contact_t {
	MMX_QUOTA_CONTACT_GOOD,
	MMX_QUOTA_CONTACT_POOR, /* few nodes are heard, or one has failed */
	MMX_QUOTA_CONTACT_NONE,
} mmx_quota_contact_t;
/* True if rounds of probes are needed: while a standby serves, and while an
 * account is pressed. */
bool mmx_quota_needs_probes_(mmx_quota_t *quota, mmx_quota_contact_t contact);
/* Fills in the lines of a probe: accounts in use that this node serves.
 * Returns their number. */
size_t mmx_quota_probe_lines_(mmx_quota_t *quota, mmx_quota_ask_t *asks,
			      mmx_quota_line_t *lines, size_t max);
/* Sets the rate, and drops what is idle. reach: mmx_quota_reach_() */
void mmx_quota_tick_owner_(mmx_quota_account_t *account, double reach);
/* Does not add the tokens of a time in which the process did not run. */
void mmx_quota_check_gap_(mmx_quota_t *quota);
/* True while a new first owner leaves the bucket to the second. */
bool mmx_quota_in_handover_(const mmx_quota_account_t *account);
void mmx_quota_free_served_(mmx_quota_served_t *served);

#endif
