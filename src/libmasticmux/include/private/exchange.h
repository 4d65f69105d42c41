/* One request of a caller while it passes through an entry. */
#ifndef MASTICMUX_PRIVATE_EXCHANGE_H
#define MASTICMUX_PRIVATE_EXCHANGE_H

#include <glib.h>

#include "masticmux/fold.h"
#include "private/messages.h"

/* Longest Idempotency-Key, bytes. */
#define MMX_IDEMPOTENCY_KEY_MAX 255
/* Targets that one request may be tried at. */
#define MMX_ATTEMPTS_MAX 8
/* The same where nothing is known of the wanted latency: each exit then
 * queues the request if it can, and a refusal says that it is overloaded. */
#define MMX_ATTEMPTS_DEFAULT 4

struct mmx_filter_t;
struct mmx_entry_t;

typedef enum mmx_exchange_state_t {
	MMX_EXCHANGE_WAITING,	/* no attempt is out */
	MMX_EXCHANGE_CLAIMING,	/* the Idempotency-Key is being claimed */
	MMX_EXCHANGE_QUERYING,	/* another attempt holds the key */
	MMX_EXCHANGE_SENT,	/* an attempt is out, nothing heard */
	MMX_EXCHANGE_FENCING,	/* a fencing query is out */
	MMX_EXCHANGE_RUNNING,	/* the exit has confirmed that it runs */
	MMX_EXCHANGE_ANSWERING, /* the head has gone to the caller */
	MMX_EXCHANGE_STATE_COUNT
} mmx_exchange_state_t;

extern const char *const mmx_exchange_state_string[MMX_EXCHANGE_STATE_COUNT];

/* An attempt that is still out while a later one is. */
typedef struct mmx_earlier_attempt_t {
	mmx_attempt_id_t id; /* sequence 0: there is none */
	mmx_node_id_t exit;
	mmx_incarnation_t exit_incarnation;
	mmx_target_id_t target;
	bool remote;
	mmx_time_t sent_at;
} mmx_earlier_attempt_t;

typedef struct mmx_exchange_t {
	TAILQ_ENTRY(mmx_exchange_t) path_entry; /* of the exit in use */
	struct mmx_entry_t *owner;
	struct mmx_filter_t *filter; /* that works on it now */
	uint64_t request;
	mmx_head_t *head;
	struct evbuffer *body; /* parts so far, while they are all held */
	bool body_end;
	bool body_buffered; /* body holds all parts received: may be sent again */
	mmx_method_t method;
	char *host;
	char *path;
	char service[MMX_NAME_MAX + 1];
	char route[MMX_NAME_MAX + 1];	/* empty: it has no name */
	const char *caller_request_id;	/* of the caller, in head; or NULL */
	uint64_t configuration_version; /* version that routed it */
	char account[MMX_NAME_MAX + 1];
	char idempotency_key[MMX_IDEMPOTENCY_KEY_MAX + 1]; /* empty: none */
	mmx_policy_t policy;
	bool has_account;
	mmx_account_t account_parameters;
	bool repeatable;
	unsigned int offers_max; /* targets it may be offered to */
	uint8_t priority;
	uint8_t caller_repeat_percent; /* see EXECUTE */
	mmx_time_t objective;	       /* wanted latency; 0: none */
	mmx_time_t timeout;	       /* of the route; 0: none */
	mmx_trace_context_t trace;     /* parent of the attempts' spans */
	struct mmx_span_t *span;       /* NULL: not sampled, also the next */
	struct mmx_span_t *attempt_span;
	mmx_time_t started;
	mmx_time_t deadline;
	mmx_time_t caller_timeout; /* 0: none named */
	mmx_timer_t timer;
	mmx_exchange_state_t state;
	mmx_attempt_id_t attempt; /* the latest one */
	mmx_node_id_t exit;
	mmx_incarnation_t exit_incarnation;
	mmx_target_id_t target;
	mmx_time_t sent_at;	   /* the latest attempt */
	mmx_timer_t overdue_timer; /* no answer to the latest attempt so far */
	mmx_time_t repeated_at;	   /* a second attempt went out; 0: none did */
	bool earlier_answered;	   /* the earlier one gave the answer */
	mmx_earlier_attempt_t earlier;
	bool path_lost;		     /* told of the attempt that is out */
	bool remote;		     /* the exit is in another region */
	bool trial;		     /* of an ejected target; not decided yet */
	mmx_time_t target_time;	     /* at the exit, until the head */
	mmx_time_t head_received_at; /* here */
	unsigned int overload_refusals; /* of overloaded targets */
	mmx_target_id_t tried[MMX_ATTEMPTS_MAX];
	unsigned int attempts;
	unsigned int attempts_max;
	mmx_time_t
		retry_grant_until; /* a repeat is charged elsewhere; 0: none */
	unsigned int offers; /* attempts that reached a target, or may have */
	bool may_have_run;   /* an ended attempt may have run */
	mmx_reason_t last_reason; /* of the latest attempt */
	GString *
		attempt_log; /* attempts and how they ended, for the log; or NULL */
	mmx_head_t *answer_head; /* held until the body is whole or too long */
	struct evbuffer *answer_body;
	uint64_t claim_offset; /* of the claim to be superseded, or 0 */
	mmx_claim_holder_t claim_holder; /* while querying */
} mmx_exchange_t;

/* An attempt was chosen, but nothing of it is sent before its claim is won. */
static inline bool mmx_exchange_is_claiming(const mmx_exchange_t *exchange)
{
	return exchange->state == MMX_EXCHANGE_CLAIMING ||
	       exchange->state == MMX_EXCHANGE_QUERYING;
}

#endif
