/*
 * The entry: takes callers' requests, passes each through the filters
 * (request, route, account, ..., attempt), and gives exactly one answer for
 * each with its outcome.
 *
 * A task without sockets: it receives REQUEST, BODY, WINDOW and CALLER_GONE
 * from http_entry, RESPONSE, BODY, WINDOW, FENCE_REPLY, EVIDENCE and PATH_LOST
 * from the exit of this node or from the peer task.
 *
 * Life: create, set options, init, (messages), destroy.
 */
#ifndef MASTICMUX_PRIVATE_ENTRY_H
#define MASTICMUX_PRIVATE_ENTRY_H

#include "masticmux/counters.h"
#include "masticmux/history.h"
#include "masticmux/log.h"
#include "masticmux/random.h"
#include "private/header_names.h"
#include "private/filter.h"
#include "private/guards.h"
#include "private/view.h"

struct mmx_trace_t;

typedef struct mmx_entry_t mmx_entry_t;

mmx_entry_t *mmx_entry_create(mmx_runtime_t *runtime, mmx_node_id_t node,
			      mmx_incarnation_t incarnation, uint64_t seed);
void mmx_entry_destroy(mmx_entry_t *entry);

/* Options; valid before init only, false afterwards. */
bool mmx_entry_set_http(mmx_entry_t *entry, mmx_task_t *http);
bool mmx_entry_set_peer(mmx_entry_t *entry, mmx_task_t *peer);
bool mmx_entry_set_local_exit(mmx_entry_t *entry, mmx_task_t *exit);
/* *fold is read for each request; NULL while there is no configuration. */
/* Without it an Idempotency-Key only marks its request as not repeatable. */
bool mmx_entry_set_claims(mmx_entry_t *entry, mmx_task_t *claims);
bool mmx_entry_set_fold(mmx_entry_t *entry, const mmx_fold_t *const *fold);
bool mmx_entry_set_directory(mmx_entry_t *entry,
			     const mmx_directory_t *directory);
bool mmx_entry_set_counters(mmx_entry_t *entry, mmx_counters_t *counters);

/* Distance and state of the other nodes; without it all count as near. */
bool mmx_entry_set_members(mmx_entry_t *entry,
			   const mmx_view_members_ops_t *members,
			   void *context);

/*
 * Headers of callers; what the pointers refer to outlives the entry.
 * caller_service: service of this instance, or NULL.
 */
bool mmx_entry_set_header_names(mmx_entry_t *entry,
				const mmx_header_names_t *dialect,
				const char *caller_service);

/*
 * Share in percent of the requests running beside this node, with a longer
 * objective than the one given, that are repeats; see mmx_exit_repeat_percent().
 */
typedef uint8_t (*mmx_repeat_percent_fn_t)(void *context, mmx_time_t objective);
bool mmx_entry_set_repeat_percent(mmx_entry_t *entry,
				  mmx_repeat_percent_fn_t fn, void *context);
uint8_t mmx_entry_repeat_percent(const mmx_entry_t *entry,
				 mmx_time_t objective);

/* See mmx_view_config_t. */
bool mmx_entry_set_budget_at_exits(mmx_entry_t *entry, bool at_exits);

/*
 * Requests that arrive before mmx_entry_started() are held for this long after
 * init at most, and for a quarter of the time that their caller waits; without
 * it they are refused for want of a configuration.
 */
bool mmx_entry_set_startup_hold(mmx_entry_t *entry, mmx_time_t longest);

/* For tests only; what it points to outlives the entry. */
bool mmx_entry_set_guards(mmx_entry_t *entry, const mmx_guards_t *guards);

/* Without a trace, requests get neither spans nor events. */
bool mmx_entry_set_trace(mmx_entry_t *entry, struct mmx_trace_t *trace);
bool mmx_entry_set_history(mmx_entry_t *entry, mmx_history_t *history);

/* One line for each request that has ended; without it none. */
bool mmx_entry_set_log(mmx_entry_t *entry, mmx_log_t *log);

/* Asserts that http, local exit, fold and directory were set. */
void mmx_entry_init(mmx_entry_t *entry);

/* The task that messages are posted to. Valid after create. */
mmx_task_t *mmx_entry_task(mmx_entry_t *entry);

/* Configuration and targets are known. Valid after init, also repeatedly. */
void mmx_entry_started(mmx_entry_t *entry);

/* From now on new requests are refused with shutting-down. */
void mmx_entry_drain(mmx_entry_t *entry);

/*
 * Gives every request its answer by this time, also those that arrive from
 * now on: a process that is about to end would otherwise close connections
 * without one. Valid after init.
 */
void mmx_entry_cap_deadlines(mmx_entry_t *entry, mmx_time_t latest);

/* Requests that have no whole answer yet. */
size_t mmx_entry_in_progress(const mmx_entry_t *entry);

/* What the entry knows of targets and paths. Valid after init. */
mmx_view_t *mmx_entry_view(const mmx_entry_t *entry);

/* --- for the filters --------------------------------------------------- */

/*
 * Answers the caller with a refusal and ends the exchange, which is freed.
 * Filters return MMX_FILTER_DONE afterwards.
 */
void mmx_entry_refuse(mmx_exchange_t *exchange, mmx_outcome_t outcome,
		      mmx_reason_t reason);

/* The response of the target, or the part of it that is held. */
void mmx_entry_answer(mmx_exchange_t *exchange, mmx_head_t *head,
		      struct evbuffer *body, bool end);

/* The response that an earlier request with the same key has got. */
void mmx_entry_answer_duplicate(mmx_exchange_t *exchange, mmx_head_t *head,
				struct evbuffer *body);

/* A further part of the answer; failed: it breaks off here. */
void mmx_entry_answer_body(mmx_exchange_t *exchange, struct evbuffer *part,
			   bool end, bool failed);

/* Ends an exchange whose answer is out; frees it. */
void mmx_entry_end_exchange(mmx_exchange_t *exchange);

mmx_filter_t *mmx_filter_request_create(const mmx_header_names_t *dialect,
					const char *caller_service);
/* until: time at which requests are not held any more. */
mmx_filter_t *mmx_filter_startup_create(mmx_clock_t *clock, mmx_time_t until);
void mmx_filter_startup_release(mmx_filter_t *filter);
mmx_filter_t *mmx_filter_route_create(const mmx_fold_t *const *fold);
mmx_filter_t *mmx_filter_account_create(const mmx_fold_t *const *fold);
mmx_filter_t *mmx_filter_attempt_create(mmx_entry_t *entry);

/* Messages that concern the attempt of an exchange, to the attempt filter. */
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
/* Of an attempt that holds the key of an exchange here. */
void mmx_filter_attempt_holder_reply(mmx_filter_t *filter,
				     const mmx_fence_reply_t *reply);
/* The deadline of the exchange has moved. */
void mmx_filter_attempt_deadline_changed(mmx_filter_t *filter,
					 mmx_exchange_t *exchange);
void mmx_filter_attempt_path_lost(mmx_filter_t *filter,
				  const mmx_path_lost_t *lost);
void mmx_filter_attempt_request_body(mmx_filter_t *filter,
				     mmx_exchange_t *exchange,
				     mmx_body_t *body);

/* --- spans and history (entry_trace.c) ---------------------------------- */

void mmx_entry_trace_start(mmx_exchange_t *exchange);
/* An attempt has been chosen, from this belief. */
void mmx_entry_trace_attempt(mmx_exchange_t *exchange,
			     const mmx_balance_estimate_t *belief);
/* Context that goes to the exit. */
void mmx_entry_trace_context(const mmx_exchange_t *exchange,
			     mmx_trace_context_t *out);
/* Something happened to the attempt: an attribute of its span and an event. */
void mmx_entry_trace_event(mmx_exchange_t *exchange, const char *key,
			   const char *value);
void mmx_entry_trace_attempt_end(mmx_exchange_t *exchange);
/* Adds the traceparent header to the answer's head. */
void mmx_entry_trace_answer(mmx_exchange_t *exchange, mmx_head_t *head,
			    mmx_outcome_t outcome, mmx_reason_t reason);
void mmx_entry_trace_end(mmx_exchange_t *exchange);

struct mmx_trace_t *mmx_entry_trace(const mmx_entry_t *entry);
mmx_history_t *mmx_entry_history(const mmx_entry_t *entry);
mmx_log_t *mmx_entry_log(const mmx_entry_t *entry);

/* Latest deadline of a request; MMX_TIME_NEVER: not limited. */
mmx_time_t mmx_entry_deadline_cap(const mmx_entry_t *entry);

/* What the attempt filter needs of its entry. */
mmx_runtime_t *mmx_entry_runtime(const mmx_entry_t *entry);
const mmx_directory_t *mmx_entry_directory(const mmx_entry_t *entry);
mmx_random_t *mmx_entry_random(mmx_entry_t *entry);
mmx_counters_t *mmx_entry_counters(const mmx_entry_t *entry);
const mmx_guards_t *mmx_entry_guards(const mmx_entry_t *entry);
/* A new attempt id; the exchange is found by it from now on. */
void mmx_entry_new_attempt(mmx_exchange_t *exchange);
/* The latest attempt becomes the earlier one, so that another can be made. */
void mmx_entry_demote_attempt(mmx_exchange_t *exchange);
/* The earlier attempt is the only one again. */
void mmx_entry_promote_earlier(mmx_exchange_t *exchange);
/* Whatever comes for the earlier attempt is not for this exchange any more. */
void mmx_entry_discard_earlier(mmx_exchange_t *exchange);
/* Posts to the exit of this node or to the peer task. */
void mmx_entry_post_exit(mmx_entry_t *entry, mmx_node_id_t exit,
			 mmx_message_t *message);
mmx_origin_t mmx_entry_origin(mmx_entry_t *entry);
/* The task that settles claims; NULL when there is none. */
mmx_task_t *mmx_entry_claims(const mmx_entry_t *entry);

#endif
