/*
 * The entry: receives the requests of callers, passes each through the filters
 * (request, startup, route, identity, account, quota, attempt), and gives each
 * exactly one answer with an outcome.
 *
 * The entry is a task without sockets. It receives REQUEST, BODY, WINDOW and
 * CALLER_GONE from http_entry, RESPONSE, BODY, WINDOW, FENCE_REPLY and EVIDENCE
 * from the exit of this node or through the peer task, PATH_LOST from the peer
 * task, and CLAIM_RESULT from the claims task.
 *
 * Usage: create, set options, init, post messages, destroy.
 */
#ifndef MASTICMUX_PRIVATE_ENTRY_H
#define MASTICMUX_PRIVATE_ENTRY_H

#include "masticmux/counters.h"
#include "masticmux/history.h"
#include "masticmux/log.h"
#include "masticmux/random.h"
#include "private/filter.h"
#include "private/guards.h"
#include "private/header_names.h"
#include "private/view.h"

struct mmx_trace_t;
struct mmx_entry_quota_ops_t;

typedef struct mmx_entry_t mmx_entry_t;

mmx_entry_t *mmx_entry_create(mmx_runtime_t *runtime, mmx_node_id_t node,
			      mmx_incarnation_t incarnation, uint64_t seed);
void mmx_entry_destroy(mmx_entry_t *entry);

/* Options: valid before init; afterwards they change nothing and return false.
 */
bool mmx_entry_set_http(mmx_entry_t *entry, mmx_task_t *http);
bool mmx_entry_set_peer(mmx_entry_t *entry, mmx_task_t *peer);
bool mmx_entry_set_local_exit(mmx_entry_t *entry, mmx_task_t *exit);
/* Without a claims task, an Idempotency-Key only makes its request not
 * repeatable. */
bool mmx_entry_set_claims(mmx_entry_t *entry, mmx_task_t *claims);
/* *config_state is read for each request; it is NULL while there is no configuration.
 */
bool mmx_entry_set_config_state(mmx_entry_t *entry,
				const mmx_config_state_t *const *config_state);
bool mmx_entry_set_directory(mmx_entry_t *entry,
			     const mmx_directory_t *directory);
bool mmx_entry_set_counters(mmx_entry_t *entry, mmx_counters_t *counters);

/* Locality and availability of the other nodes; without the option all nodes
 * count as available and in the zone of this one. */
bool mmx_entry_set_members(mmx_entry_t *entry,
			   const mmx_view_members_ops_t *members,
			   void *context);

/*
 * Names of the headers exchanged with callers. What the pointers refer to
 * outlives the entry.
 *
 * caller_service: service of this instance, or NULL
 */
const mmx_header_names_t *mmx_entry_header_names(const mmx_entry_t *entry);
bool mmx_entry_set_header_names(mmx_entry_t *entry,
				const mmx_header_names_t *header_names,
				const char *caller_service);

/*
 * Percentage of repeats among the requests that run at targets beside this node
 * and have a longer latency objective than the given one; see
 * mmx_exit_repeat_percent(). Without the option it is 0.
 *
 * objective: microseconds
 */
typedef uint8_t (*mmx_repeat_percent_fn_t)(void *context, mmx_time_t objective);
bool mmx_entry_set_repeat_percent(mmx_entry_t *entry,
				  mmx_repeat_percent_fn_t fn, void *context);
uint8_t mmx_entry_repeat_percent(const mmx_entry_t *entry,
				 mmx_time_t objective);

/* The exits keep the retry budget instead of the entry; see mmx_view_config_t.
 */
bool mmx_entry_set_budget_at_exits(mmx_entry_t *entry, bool at_exits);

/* by_work: true while targets are chosen by work; may change at any time and
 * outlives the entry. NULL: by requests. */
bool mmx_entry_set_by_work(mmx_entry_t *entry, const bool *by_work);

/*
 * Holds requests that arrive before mmx_entry_started(): until this many
 * microseconds after init at most, and no longer than a quarter of the timeout
 * that their caller names. Without the option they are refused as long as there
 * is no configuration.
 */
bool mmx_entry_set_startup_hold(mmx_entry_t *entry, mmx_time_t max_hold);

/* Source of the decisions on accounts with a rate. Without the option, or with
 * ops NULL, rates do not limit. */
bool mmx_entry_set_quota(mmx_entry_t *entry,
			 const struct mmx_entry_quota_ops_t *ops,
			 void *context);

/* Turns safety rules off, for tests only; guards outlives the entry. */
bool mmx_entry_set_guards(mmx_entry_t *entry, const mmx_guards_t *guards);

/* Without a trace, requests get neither spans nor events in the history. */
bool mmx_entry_set_trace(mmx_entry_t *entry, struct mmx_trace_t *trace);
bool mmx_entry_set_history(mmx_entry_t *entry, mmx_history_t *history);

/* The log gets one line for each answer; without the option there is none. */
bool mmx_entry_set_log(mmx_entry_t *entry, mmx_log_t *log);

/* Starts the entry. Asserts that http, local exit, config_state and directory were set
 * and that it is called once. */
void mmx_entry_init(mmx_entry_t *entry);

/* The task that receives the messages. Valid after create. */
mmx_task_t *mmx_entry_task(mmx_entry_t *entry);

/* Reports that configuration and targets are known, which releases the requests
 * that are held. Valid after init; may be called repeatedly. */
void mmx_entry_started(mmx_entry_t *entry);

/* Refuses new requests with shutting-down from now on. */
void mmx_entry_drain(mmx_entry_t *entry);

/*
 * Limits the deadlines of all requests to this time, also of those that arrive
 * later. A process that is about to end would otherwise close connections
 * without an answer. Valid after init, asserted.
 */
void mmx_entry_cap_deadlines(mmx_entry_t *entry, mmx_time_t latest);

/*
 * Refuses, as shutting-down, requests that arrive from now on with a deadline
 * that the limit would shorten: they might be broken off while they run. Valid
 * after mmx_entry_cap_deadlines() and before.
 */
void mmx_entry_refuse_capped(mmx_entry_t *entry);

/* Number of requests without a complete answer. */
size_t mmx_entry_in_progress(const mmx_entry_t *entry);

/* The entry's view of targets and paths. Valid after init. */
mmx_view_t *mmx_entry_view(const mmx_entry_t *entry);

/*
 * Answers the caller with a refusal, and ends and frees the exchange. A filter
 * that calls it from its process function returns MMX_FILTER_DONE.
 */
void mmx_entry_refuse(mmx_exchange_t *exchange, mmx_outcome_t outcome,
		      mmx_reason_t reason);

/* Answers with the target's response; unless end is set, the rest of its body
 * follows by mmx_entry_answer_body(). Takes ownership of head and drains body.
 */
void mmx_entry_answer(mmx_exchange_t *exchange, mmx_head_t *head,
		      struct evbuffer *body, bool end);

/* Answers with the complete response to an earlier request with the same
 * Idempotency-Key. Takes ownership of head and drains body. */
void mmx_entry_answer_duplicate(mmx_exchange_t *exchange, mmx_head_t *head,
				struct evbuffer *body);

/* Sends a further part of the answer's body; failed: the body is truncated
 * here. */
void mmx_entry_answer_body(mmx_exchange_t *exchange, struct evbuffer *part,
			   bool end, bool failed);

/* Ends and frees an exchange that needs no further answer. */
void mmx_entry_end_exchange(mmx_exchange_t *exchange);

mmx_filter_t *mmx_filter_request_create(const mmx_header_names_t *header_names,
					const char *caller_service);
/* until: time from which requests are not held. */
mmx_filter_t *mmx_filter_startup_create(mmx_clock_t *clock, mmx_time_t until);
/* Releases all held requests; later ones are not held. */
void mmx_filter_startup_release(mmx_filter_t *filter);
mmx_filter_t *
mmx_filter_route_create(const mmx_config_state_t *const *config_state);
/* counters: of refused keys; may be NULL. */
mmx_filter_t *
mmx_filter_identity_create(const mmx_config_state_t *const *config_state,
			   const mmx_header_names_t *header_names,
			   mmx_counters_t *counters);
mmx_filter_t *
mmx_filter_account_create(const mmx_config_state_t *const *config_state);
mmx_filter_t *mmx_filter_attempt_create(mmx_entry_t *entry);

/* Messages about an attempt of an exchange, passed to the attempt filter. */
void mmx_filter_attempt_response(mmx_filter_t *filter, mmx_exchange_t *exchange,
				 mmx_response_t *response);
void mmx_filter_attempt_body(mmx_filter_t *filter, mmx_exchange_t *exchange,
			     mmx_body_t *body);
void mmx_filter_attempt_fence_reply(mmx_filter_t *filter,
				    mmx_exchange_t *exchange,
				    mmx_fence_reply_t *reply);
void mmx_filter_attempt_claim_reply(mmx_filter_t *filter,
				    mmx_exchange_t *exchange,
				    const mmx_claim_reply_t *reply);
/* Reply about an attempt that holds the key of exchanges of this entry. */
void mmx_filter_attempt_holder_reply(mmx_filter_t *filter,
				     const mmx_fence_reply_t *reply);
/* The deadline of the exchange has changed. */
void mmx_filter_attempt_deadline_changed(mmx_filter_t *filter,
					 mmx_exchange_t *exchange);
void mmx_filter_attempt_path_lost(mmx_filter_t *filter,
				  const mmx_path_lost_t *lost);
void mmx_filter_attempt_request_body(mmx_filter_t *filter,
				     mmx_exchange_t *exchange,
				     mmx_body_t *body);

void mmx_entry_trace_start(mmx_exchange_t *exchange);
/* The attempt whose run time was expected ran for this long, microseconds. */
void mmx_entry_trace_cost(mmx_exchange_t *exchange, mmx_time_t run);
/* A target was chosen for an attempt, based on this estimate of its load. */
void mmx_entry_trace_attempt(mmx_exchange_t *exchange,
			     const mmx_balance_estimate_t *estimate);
/* The trace context to be sent to the exit. */
void mmx_entry_trace_context(const mmx_exchange_t *exchange,
			     mmx_trace_context_t *out);
/* Records an event of the attempt: as attribute of its span, in the history and
 * in the request's line of the log. */
void mmx_entry_trace_event(mmx_exchange_t *exchange, const char *key,
			   const char *value);
void mmx_entry_trace_attempt_end(mmx_exchange_t *exchange);
/* Records the answer in log, span and history, and sets the traceparent header
 * in its head. */
void mmx_entry_trace_answer(mmx_exchange_t *exchange, mmx_head_t *head,
			    mmx_outcome_t outcome, mmx_reason_t reason);
void mmx_entry_trace_end(mmx_exchange_t *exchange);

struct mmx_trace_t *mmx_entry_trace(const mmx_entry_t *entry);
mmx_history_t *mmx_entry_history(const mmx_entry_t *entry);
mmx_log_t *mmx_entry_log(const mmx_entry_t *entry);

/* Limit of all deadlines that mmx_entry_cap_deadlines() has set, or
 * MMX_TIME_NEVER. */
mmx_time_t mmx_entry_deadline_cap(const mmx_entry_t *entry);

/* True after mmx_entry_refuse_capped(). */
bool mmx_entry_refuses_capped(const mmx_entry_t *entry);

/* Accessors for the attempt filter. */
mmx_runtime_t *mmx_entry_runtime(const mmx_entry_t *entry);
const mmx_directory_t *mmx_entry_directory(const mmx_entry_t *entry);
mmx_random_t *mmx_entry_random(mmx_entry_t *entry);
mmx_counters_t *mmx_entry_counters(const mmx_entry_t *entry);
const mmx_guards_t *mmx_entry_guards(const mmx_entry_t *entry);
/* Assigns a new attempt id, by which messages find the exchange from now on. */
void mmx_entry_new_attempt(mmx_exchange_t *exchange);
/* Turns the latest attempt into the earlier one, so that another one can be
 * made. */
void mmx_entry_demote_attempt(mmx_exchange_t *exchange);
/* Turns the earlier attempt into the latest and only one again. */
void mmx_entry_promote_earlier(mmx_exchange_t *exchange);
/* Stops passing messages about the earlier attempt to this exchange. */
void mmx_entry_discard_earlier(mmx_exchange_t *exchange);
/* Posts to the exit of this node, or to the peer task for another node. */
void mmx_entry_post_exit(mmx_entry_t *entry, mmx_node_id_t exit,
			 mmx_message_t *message);
mmx_origin_t mmx_entry_origin(mmx_entry_t *entry);
/* The claims task; NULL when there is none. */
mmx_task_t *mmx_entry_claims(const mmx_entry_t *entry);

#endif
