/*
 * An exchange: one request of a caller and its answer, from its arrival at an
 * entry until the answer is complete.
 */
#ifndef MASTICMUX_PRIVATE_EXCHANGE_H
#define MASTICMUX_PRIVATE_EXCHANGE_H

#include <glib.h>

#include "masticmux/config_state.h"
#include "private/cost.h"
#include "private/messages.h"

/* Longest Idempotency-Key, bytes. */
#define MMX_IDEMPOTENCY_KEY_MAX 255
/* Most targets that one request is tried at. */
#define MMX_ATTEMPTS_MAX 8
/* The same for a route without a latency objective: each exit then queues the
 * request if it can, and a refusal means that it is overloaded. */
#define MMX_ATTEMPTS_DEFAULT 4

struct mmx_filter_t;
struct mmx_entry_t;

typedef enum mmx_exchange_state_t {
	MMX_EXCHANGE_WAITING,	/* no attempt is in flight */
	MMX_EXCHANGE_CLAIMING,	/* the Idempotency-Key is being claimed */
	MMX_EXCHANGE_QUERYING,	/* the exit of the key's holder is queried */
	MMX_EXCHANGE_SENT,	/* an attempt was sent, no reply so far */
	MMX_EXCHANGE_FENCING,	/* a fencing query was sent, no reply so far */
	MMX_EXCHANGE_RUNNING,	/* the exit has confirmed that it runs */
	MMX_EXCHANGE_ANSWERING, /* the response head went to the caller */
	MMX_EXCHANGE_STATE_COUNT
} mmx_exchange_state_t;

extern const char *const mmx_exchange_state_string[MMX_EXCHANGE_STATE_COUNT];

/* An overdue attempt that is in flight beside a later one. */
typedef struct mmx_earlier_attempt_t {
	mmx_attempt_id_t id; /* sequence 0: there is none */
	mmx_node_id_t exit;
	mmx_incarnation_t exit_incarnation;
	mmx_target_id_t target;
	bool remote; /* the exit is in another region */
	mmx_time_t sent_at;
} mmx_earlier_attempt_t;

/* Times are clock readings or durations in microseconds. */
typedef struct mmx_exchange_t {
	/* In the list of the filter that holds the exchange. */
	TAILQ_ENTRY(mmx_exchange_t) path_entry;
	struct mmx_entry_t *owner;
	struct mmx_filter_t *filter; /* that processes or holds it */
	uint64_t request;      /* identifies it between http_entry and entry */
	mmx_head_t *head;      /* of the request */
	struct evbuffer *body; /* parts of the request body so far */
	bool body_end;	       /* the last part has been received */
	bool body_buffered; /* body has all parts so far: can be sent again */
	mmx_method_t method;
	char *host;
	char *path;
	char service[MMX_NAME_MAX + 1];
	char route[MMX_NAME_MAX + 1];	/* empty: the route has no name */
	const char *caller_request_id;	/* in head; or NULL */
	uint64_t configuration_version; /* that routed the request */
	char account[MMX_NAME_MAX + 1];
	char idempotency_key[MMX_IDEMPOTENCY_KEY_MAX + 1]; /* empty: none */
	bool is_public; /* the route needs no key of an account */
	mmx_policy_t policy;
	bool has_account;
	mmx_account_t account_parameters; /* valid if has_account */
	/* Use of the account's limit in the whole fleet, permille; 0: unknown. */
	uint16_t account_use;
	mmx_time_t token_wanted_at; /* when a token was first asked for */
	mmx_time_t token_taken_at;  /* valid if has_token */
	bool has_token;		    /* of the account's limit */
	mmx_time_t retry_after;	    /* of a refusal over that limit; 0: none */
	bool repeatable;
	bool large_bodies; /* of requests or of responses, as configured */
	unsigned int offers_max; /* most targets that may receive it */
	uint8_t priority;
	/* Probability in percent that a target made the request while it ran a
	 * repeat, see mmx_execute_t. */
	uint8_t caller_repeat_percent;
	mmx_time_t objective;	   /* wanted latency of the route; 0: none */
	mmx_time_t timeout;	   /* of the route; 0: none */
	mmx_trace_context_t trace; /* parent of the attempts' spans */
	struct mmx_span_t *span;   /* NULL: not sampled */
	struct mmx_span_t *attempt_span; /* NULL: not sampled */
	mmx_time_t started;		 /* when the request arrived */
	mmx_time_t deadline;		 /* 0: not routed yet */
	mmx_time_t caller_timeout;	 /* 0: the caller named none */
	mmx_timer_t timer;		 /* deadline, fencing, startup hold */
	mmx_exchange_state_t state;
	/* The latest attempt. */
	mmx_attempt_id_t attempt;
	mmx_node_id_t exit;
	mmx_incarnation_t exit_incarnation;
	mmx_target_id_t target;
	mmx_time_t sent_at;
	mmx_cost_key_t cost_key;
	mmx_time_t expected_cost;  /* run time at the target; 0: unknown */
	mmx_timer_t overdue_timer; /* expires when the attempt is overdue */
	/* Time of the latest attempt that followed an overdue one; 0: none. */
	mmx_time_t repeated_at;
	bool earlier_answered; /* the earlier attempt gave the answer */
	/* The overdue attempt before the latest one, if it is in flight. */
	mmx_earlier_attempt_t earlier;
	bool path_lost; /* the path of the latest attempt was lost */
	bool remote;	/* its exit is in another region */
	bool trial;	/* of an ejected target, without result so far */
	mmx_time_t target_time; /* from start to head, as the exit measured */
	mmx_time_t head_received_at;	/* the head of the response */
	unsigned int overload_refusals; /* by overloaded targets so far */
	mmx_target_id_t tried[MMX_ATTEMPTS_MAX]; /* one for each attempt */
	unsigned int attempts;			 /* made so far */
	unsigned int attempts_max;
	/* Until this time a repeat is charged to the budget of the exit that
	 * granted it; 0: no grant. */
	mmx_time_t retry_grant_until;
	unsigned int offers; /* attempts that may have reached their target */
	bool may_have_run;   /* an attempt that ended may have run */
	mmx_reason_t last_reason; /* why the latest attempt failed */
	GString *attempt_log; /* attempts and results for the log; or NULL */
	/* Held until the body is complete or exceeds MMX_HELD_BODY_MAX. */
	mmx_head_t *answer_head;
	struct evbuffer *answer_body;
	uint64_t claim_offset; /* of the claim to be superseded; 0: none */
	mmx_claim_holder_t claim_holder; /* of the key; valid while querying */
} mmx_exchange_t;

/* True while an attempt was chosen but waits for its claim. */
static inline bool mmx_exchange_is_claiming(const mmx_exchange_t *exchange)
{
	return exchange->state == MMX_EXCHANGE_CLAIMING ||
	       exchange->state == MMX_EXCHANGE_QUERYING;
}

#endif
