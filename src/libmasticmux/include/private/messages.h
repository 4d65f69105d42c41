/*
 * Typed messages between the tasks of a node. Those marked "wire" also travel
 * between nodes as ONC RPC, see wire.h.
 *
 *   http_entry --REQUEST, BODY, CALLER_GONE--> entry
 *   entry --ANSWER, BODY, WINDOW--> http_entry
 *   entry --EXECUTE, BODY, WINDOW, CANCEL, FENCE--> exit (direct or by peer)
 *   exit --RESPONSE, BODY, WINDOW, FENCE_REPLY--> entry (direct or by peer)
 *   peer --PATH_LOST--> entry, --ORIGIN_LOST--> exit
 *   exit --CALL, BODY, WINDOW, CALL_CANCEL--> target_client
 *   target_client --CALL_EVENT, BODY, WINDOW--> exit
 *   announce --TARGET_ANNOUNCED--> exit
 *   entry --CLAIM--> claims, claims --CLAIM_RESULT--> entry
 *
 * Every message is created with its mmx_new_ function, owns what it points
 * to, and is freed with mmx_message_destroy().
 */
#ifndef MASTICMUX_PRIVATE_MESSAGES_H
#define MASTICMUX_PRIVATE_MESSAGES_H

#include "masticmux/directory.h"
#include "masticmux/latency.h"
#include "masticmux/routing.h"
#include "masticmux/settings.h"
#include "masticmux/task.h"
#include "private/claims.h"
#include "private/head.h"

struct evbuffer;

/* Credit that a receiver of body parts starts with, in bytes. */
#define MMX_WINDOW_BYTES (256 * 1024)
/* Bodies up to this size are held until whole, in bytes. */
#define MMX_HELD_BODY_MAX (64 * 1024)

typedef enum mmx_message_kind_t {
	MMX_MESSAGE_REQUEST,
	MMX_MESSAGE_ANSWER,
	MMX_MESSAGE_CALLER_GONE,
	MMX_MESSAGE_EXECUTE,
	MMX_MESSAGE_RESPONSE,
	MMX_MESSAGE_BODY,
	MMX_MESSAGE_WINDOW,
	MMX_MESSAGE_CANCEL,
	MMX_MESSAGE_FENCE,
	MMX_MESSAGE_FENCE_REPLY,
	MMX_MESSAGE_PATH_LOST,
	MMX_MESSAGE_ORIGIN_LOST,
	MMX_MESSAGE_CALL,
	MMX_MESSAGE_CALL_EVENT,
	MMX_MESSAGE_CALL_CANCEL,
	MMX_MESSAGE_TARGET_ANNOUNCED,
	MMX_MESSAGE_EVIDENCE,
	MMX_MESSAGE_CLAIM,
	MMX_MESSAGE_CLAIM_RESULT,
	MMX_MESSAGE_KIND_COUNT
} mmx_message_kind_t;

extern const char *const mmx_message_kind_string[MMX_MESSAGE_KIND_COUNT];

/* W3C trace context. */
typedef struct mmx_trace_context_t {
	uint8_t trace_id[16];
	uint8_t span_id[8]; /* the parent of spans made from this context */
	uint8_t flags;
} mmx_trace_context_t;

/* Where the exit sends what belongs to an attempt. */
typedef struct mmx_origin_t {
	mmx_task_t *task;
	uint64_t connection; /* of the peer task; 0 for a local entry */
} mmx_origin_t;

/* http_entry -> entry: a caller's request; body parts follow as BODY. */
typedef struct mmx_request_t {
	mmx_message_t message;
	uint64_t request; /* chosen by http_entry, unique in the process */
	mmx_head_t *head;
	struct evbuffer *body;
	bool body_end;
} mmx_request_t;

/* entry -> http_entry: status and headers; the body may follow as BODY. */
typedef struct mmx_answer_t {
	mmx_message_t message;
	uint64_t request;
	mmx_outcome_t outcome;
	mmx_reason_t reason; /* MMX_REASON_NONE when completed */
	mmx_head_t *head;    /* response of the target, or of the refusal */
	struct evbuffer *body;
	bool body_end;
} mmx_answer_t;

/* http_entry -> entry: the caller closed its connection. */
typedef struct mmx_caller_gone_t {
	mmx_message_t message;
	uint64_t request;
} mmx_caller_gone_t;

/* entry -> exit, wire: one attempt of a request. */
typedef struct mmx_execute_t {
	mmx_message_t message;
	mmx_attempt_id_t attempt;
	mmx_node_id_t exit;
	mmx_incarnation_t exit_incarnation; /* 0: any */
	mmx_target_id_t target;
	char service[MMX_NAME_MAX + 1];
	char account[MMX_NAME_MAX + 1]; /* empty: none named */
	bool repeatable;
	bool keyed;  /* a claim on an Idempotency-Key names this attempt */
	bool trial;  /* reinstatement trial of an ejected target */
	bool repeat; /* another target has got the request before */
	/* A repeat that another exit has charged to its part of the budget. */
	bool granted;
	/* Probability in percent that the request is a call of a target that
	 * runs a repeat: then it counts as one too. */
	uint8_t caller_repeat_percent;
	mmx_time_t objective; /* wanted latency of the route; 0: none */
	uint32_t route;	      /* equal for requests of one route; 0: unknown */
	mmx_time_t remaining; /* until the caller gives up, microseconds */
	mmx_time_t max_wait;  /* longest wait for a slot at the exit */
	uint8_t priority;     /* see MMX_PRIORITY_FIRST */
	/* Use of the account's limit in the whole fleet, permille; 0: unknown. */
	uint16_t account_use;
	mmx_trace_context_t trace;
	/* Completions at the service's other targets; NULL: not this time. */
	mmx_latency_summary_t *peers;
	mmx_head_t *head;
	struct evbuffer *body;
	bool body_end;
	mmx_origin_t origin; /* not on the wire: filled by the receiver */
} mmx_execute_t;

/* Load and health of a target, piggybacked on responses. */
typedef struct mmx_load_report_t {
	mmx_target_id_t target;
	uint16_t slots;
	uint16_t in_progress;
	uint16_t queued;
	mmx_target_state_t state;
	uint8_t level; /* mmx_detection_level_t */
	/* Until its limit lets another request start, milliseconds. */
	uint16_t wait_ms;
	uint32_t score; /* evidence against the target in thousandths */
	/* Expected time in which its slots complete what it has, milliseconds;
	 * 0: unknown. */
	uint16_t work_ms;
	uint16_t run_ms; /* mean run time at it, ms; 0: work_ms is unknown */
} mmx_load_report_t;

/* exit -> entry, wire: refusal, or head of the target's response. */
typedef struct mmx_response_t {
	mmx_message_t message;
	mmx_attempt_id_t attempt;
	mmx_node_id_t exit;
	/*
	 * MMX_REASON_NONE with a head: the target's response. Else the attempt
	 * has ended; started says whether the target may have run it.
	 */
	mmx_reason_t reason;
	bool started;
	bool offered; /* the target has got it, even if it did not run it */
	bool good;    /* of a trial: a success that was not slow */
	/* Of a refused repeat: it is charged to the budget of this exit and
	 * may be made at another one within MMX_RETRY_GRANT_TTL_US. */
	bool grant;
	mmx_head_t *head;
	struct evbuffer *body;
	bool body_end;
	mmx_load_report_t load;
	mmx_time_t queue_time;	/* microseconds at the exit before the start */
	mmx_time_t target_time; /* microseconds from the start to the head */
	mmx_origin_t origin;
} mmx_response_t;

typedef enum mmx_direction_t {
	MMX_TO_TARGET,
	MMX_TO_CALLER,
	MMX_DIRECTION_COUNT
} mmx_direction_t;

extern const char *const mmx_direction_string[MMX_DIRECTION_COUNT];

/*
 * wire: a further part of a body. Between http_entry and entry the request
 * names what it belongs to, elsewhere the attempt.
 */
typedef struct mmx_body_t {
	mmx_message_t message;
	uint64_t request;
	mmx_attempt_id_t attempt;
	mmx_node_id_t exit;
	mmx_direction_t direction;
	struct evbuffer *data;
	bool end;
	bool failed; /* the body breaks off here; end is set too */
	mmx_origin_t origin;
} mmx_body_t;

/* wire: the receiver of body parts can take this many more bytes. */
typedef struct mmx_window_t {
	mmx_message_t message;
	uint64_t request;
	mmx_attempt_id_t attempt;
	mmx_node_id_t exit;
	mmx_direction_t direction; /* of the body that may flow */
	uint32_t credit;	   /* bytes */
	mmx_origin_t origin;
} mmx_window_t;

/* entry -> exit, wire: the entry no longer wants the attempt. */
typedef struct mmx_cancel_t {
	mmx_message_t message;
	mmx_attempt_id_t attempt;
	mmx_node_id_t exit;
} mmx_cancel_t;

typedef enum mmx_fence_purpose_t {
	/* By the attempt's entry: never start it, else send me its response. */
	MMX_FENCE_RECOVER,
	/* For a repeat under the same Idempotency-Key: changes nothing. */
	MMX_FENCE_QUERY,
	/* For such a repeat after the deadline: never start it. */
	MMX_FENCE_TAKEOVER,
	MMX_FENCE_PURPOSE_COUNT
} mmx_fence_purpose_t;

extern const char *const mmx_fence_purpose_string[MMX_FENCE_PURPOSE_COUNT];

/* entry -> exit, wire, on a new connection: make sure it never starts. */
typedef struct mmx_fence_t {
	mmx_message_t message;
	mmx_attempt_id_t attempt;
	mmx_node_id_t exit;
	mmx_incarnation_t exit_incarnation;
	mmx_fence_purpose_t purpose;
	mmx_origin_t origin;
} mmx_fence_t;

typedef enum mmx_fence_state_t {
	MMX_FENCE_FENCED,    /* never started and never will */
	MMX_FENCE_RUNNING,   /* started; the origin now gets its response */
	MMX_FENCE_FINISHED,  /* ran; the response is in the reply if kept */
	MMX_FENCE_FORGOTTEN, /* the exit does not know whether it ran */
	MMX_FENCE_STATE_COUNT
} mmx_fence_state_t;

extern const char *const mmx_fence_state_string[MMX_FENCE_STATE_COUNT];

/* exit -> entry, wire. */
typedef struct mmx_fence_reply_t {
	mmx_message_t message;
	mmx_attempt_id_t attempt;
	mmx_node_id_t exit;
	mmx_fence_state_t state;
	mmx_fence_purpose_t purpose; /* of the query */
	mmx_head_t *head;	     /* NULL when the response was not kept */
	struct evbuffer *body;
	mmx_origin_t origin;
} mmx_fence_reply_t;

/* peer -> entry: attempts sent to this exit before now may be lost. */
typedef struct mmx_path_lost_t {
	mmx_message_t message;
	mmx_node_id_t exit;
	bool connect_failed; /* no new connection could be made */
} mmx_path_lost_t;

/* peer -> exit: the connection that attempts came by has closed. */
typedef struct mmx_origin_lost_t {
	mmx_message_t message;
	uint64_t connection;
} mmx_origin_lost_t;

/* exit -> target_client: call the target; body parts follow as BODY. */
typedef struct mmx_call_t {
	mmx_message_t message;
	mmx_attempt_id_t attempt;
	mmx_address_t address;
	bool repeatable;
	mmx_time_t remaining; /* microseconds */
	mmx_head_t *head;
	struct evbuffer *body;
	bool body_end;
} mmx_call_t;

typedef enum mmx_call_result_t {
	MMX_CALL_HEAD,	      /* head and first part of the response */
	MMX_CALL_NOT_SENT,    /* no byte of the request reached the target */
	MMX_CALL_FAILED,      /* sent, but no whole head came back */
	MMX_CALL_RESULT_COUNT /* a body that breaks off comes as BODY, failed */
} mmx_call_result_t;

extern const char *const mmx_call_result_string[MMX_CALL_RESULT_COUNT];

/* target_client -> exit. */
typedef struct mmx_call_event_t {
	mmx_message_t message;
	mmx_attempt_id_t attempt;
	mmx_call_result_t result;
	mmx_head_t *head;
	struct evbuffer *body;
	bool body_end;
	uint32_t earlier_calls; /* on the same connection, head only */
} mmx_call_event_t;

/* exit -> target_client: close the connection of this call. */
typedef struct mmx_call_cancel_t {
	mmx_message_t message;
	mmx_attempt_id_t attempt;
} mmx_call_cancel_t;

/* announce -> exit: a target beside this node announced or renewed itself. */
typedef struct mmx_target_announced_t {
	mmx_message_t message;
	char name[MMX_NAME_MAX + 1];
	char service[MMX_NAME_MAX + 1];
	mmx_address_t address;
	uint16_t slots;
	mmx_target_state_t state;
	mmx_time_t lease;	/* microseconds from now */
	uint64_t process_start; /* start of the target, any unit; 0: not told */
	uint64_t sequence;	/* grows with each announcement; 0: not told */
	mmx_time_t cold_left;	/* microseconds that it stays slow */
	bool assumed; /* found by a probe: only if nothing else is known */
} mmx_target_announced_t;

/* exit -> entries, wire: state or level of a target has changed. */
typedef struct mmx_evidence_t {
	mmx_message_t message;
	mmx_node_id_t exit;
	mmx_load_report_t load;
	mmx_origin_t origin;
} mmx_evidence_t;

/* entry -> claims: may this attempt run for the Idempotency-Key? */
typedef struct mmx_claim_request_t {
	mmx_message_t message;
	mmx_claim_t claim;
} mmx_claim_request_t;

/* claims -> entry. */
typedef struct mmx_claim_reply_t {
	mmx_message_t message;
	mmx_attempt_id_t attempt; /* that asked */
	mmx_claim_result_t result;
	mmx_claim_holder_t holder; /* valid unless unavailable */
} mmx_claim_reply_t;

mmx_request_t *mmx_new_request(uint64_t request);
mmx_answer_t *mmx_new_answer(uint64_t request);
mmx_caller_gone_t *mmx_new_caller_gone(uint64_t request);
mmx_execute_t *mmx_new_execute(void);
mmx_response_t *mmx_new_response(const mmx_attempt_id_t *attempt);
mmx_body_t *mmx_new_body(mmx_direction_t direction);
mmx_window_t *mmx_new_window(mmx_direction_t direction, uint32_t credit);
mmx_cancel_t *mmx_new_cancel(const mmx_attempt_id_t *attempt);
mmx_fence_t *mmx_new_fence(const mmx_attempt_id_t *attempt);
mmx_fence_reply_t *mmx_new_fence_reply(const mmx_attempt_id_t *attempt,
				       mmx_fence_state_t state);
mmx_path_lost_t *mmx_new_path_lost(mmx_node_id_t exit);
mmx_origin_lost_t *mmx_new_origin_lost(uint64_t connection);
mmx_call_t *mmx_new_call(const mmx_attempt_id_t *attempt);
mmx_call_event_t *mmx_new_call_event(const mmx_attempt_id_t *attempt,
				     mmx_call_result_t result);
mmx_call_cancel_t *mmx_new_call_cancel(const mmx_attempt_id_t *attempt);
mmx_target_announced_t *mmx_new_target_announced(void);
mmx_evidence_t *mmx_new_evidence(void);
mmx_claim_request_t *mmx_new_claim_request(const mmx_claim_t *claim);
mmx_claim_reply_t *mmx_new_claim_reply(const mmx_attempt_id_t *attempt,
				       mmx_claim_result_t result);

#endif
