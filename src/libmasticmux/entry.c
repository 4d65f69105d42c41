#include "private/entry_internal.h"

#include <assert.h>
#include <event2/buffer.h>
#include <glib.h>
#include <math.h>

#include "private/filter_quota.h"

/* A slot becomes free within about the run time of a request, a few hundred
 * milliseconds. */
#define RETRY_AFTER_MIN_US (100 * MMX_US_PER_MS)
#define RETRY_AFTER_MAX_US (1 * MMX_US_PER_S)

const char *const mmx_exchange_state_string[MMX_EXCHANGE_STATE_COUNT] = {
	"waiting", "claiming", "querying",  "sent",
	"fencing", "running",  "answering",
};

static mmx_exchange_t *create_exchange_(mmx_entry_t *entry,
					mmx_request_t *request)
{
	mmx_exchange_t *exchange = g_new0(mmx_exchange_t, 1);

	exchange->owner = entry;
	exchange->request = request->request;
	exchange->head = request->head;
	request->head = NULL;
	exchange->body = evbuffer_new();
	evbuffer_add_buffer(exchange->body, request->body);
	exchange->body_end = request->body_end;
	exchange->body_buffered = true;
	exchange->answer_body = evbuffer_new();
	exchange->started = mmx_clock_now(entry->clock);
	exchange->attempts_max = MMX_ATTEMPTS_DEFAULT;
	exchange->offers_max = MMX_ATTEMPTS_MAX;
	g_hash_table_insert(entry->by_request, &exchange->request, exchange);
	mmx_entry_trace_start(exchange);
	return exchange;
}

static void unregister_attempt_(mmx_entry_t *entry, mmx_attempt_id_t *id)
{
	if (id->sequence)
		g_hash_table_remove(entry->by_sequence, &id->sequence);
	id->sequence = 0;
}

void mmx_entry_end_exchange(mmx_exchange_t *exchange)
{
	mmx_entry_t *entry = exchange->owner;

	unregister_attempt_(entry, &exchange->attempt);
	unregister_attempt_(entry, &exchange->earlier.id);
	g_hash_table_remove(entry->by_request, &exchange->request);
	mmx_entry_trace_end(exchange);
	if (exchange->timer.clock)
		mmx_timer_cancel(&exchange->timer);
	if (exchange->overdue_timer.clock)
		mmx_timer_cancel(&exchange->overdue_timer);
	mmx_head_destroy(exchange->head);
	mmx_head_destroy(exchange->answer_head);
	evbuffer_free(exchange->body);
	evbuffer_free(exchange->answer_body);
	if (exchange->attempt_log)
		g_string_free(exchange->attempt_log, TRUE);
	g_free(exchange->host);
	g_free(exchange->path);
	g_free(exchange);
}

static void count_answer_(const mmx_exchange_t *exchange, mmx_outcome_t outcome,
			  mmx_reason_t reason)
{
	mmx_entry_t *entry = exchange->owner;

	mmx_histogram_add(entry->latency[outcome],
			  mmx_clock_now(entry->clock) - exchange->started);
	mmx_counter_add(entry->outcome[outcome], 1);
	if (reason != MMX_REASON_NONE)
		mmx_counter_add(entry->reason[reason], 1);
}

/*
 * A node that stops is replaced by another one at once; configuration and
 * capacity are available again within about a second. The random delay spreads
 * the retries of callers that are refused at the same time.
 */
static void add_retry_after_(mmx_entry_t *entry, mmx_head_t *head,
			     mmx_reason_t reason)
{
	mmx_time_t min_delay = RETRY_AFTER_MIN_US;
	mmx_time_t delay;
	char text[16];

	if (!entry->header_names->fractional_retry_after) {
		mmx_head_add(head, "Retry-After", "1");
		return;
	}
	if (reason == MMX_REASON_NO_CONFIGURATION)
		min_delay = RETRY_AFTER_MAX_US / 2;
	delay = reason == MMX_REASON_SHUTTING_DOWN
			? RETRY_AFTER_MIN_US
			: min_delay + (mmx_time_t)mmx_random_below(
					      &entry->random,
					      (uint64_t)(RETRY_AFTER_MAX_US -
							 min_delay));
	g_snprintf(text, sizeof(text), "%.2f", (double)delay / MMX_US_PER_S);
	mmx_head_add(head, "Retry-After", text);
}

/* The decision gives each caller a time of its own. A shorter time than that
 * would only be refused again, so it is rounded up. */
static void add_rate_retry_after_(const mmx_entry_t *entry, mmx_head_t *head,
				  mmx_time_t retry_after)
{
	char text[24];

	if (entry->header_names->fractional_retry_after)
		g_snprintf(text, sizeof(text), "%.3f",
			   ceil((double)retry_after / MMX_US_PER_MS) / 1000);
	else
		g_snprintf(text, sizeof(text), "%.0f",
			   ceil((double)retry_after / MMX_US_PER_S));
	mmx_head_add(head, "Retry-After", text);
}

void mmx_entry_refuse(mmx_exchange_t *exchange, mmx_outcome_t outcome,
		      mmx_reason_t reason)
{
	mmx_entry_t *entry = exchange->owner;
	mmx_answer_t *answer = mmx_new_answer(exchange->request);
	int status = mmx_reason_status(outcome, reason);

	answer->outcome = outcome;
	answer->reason = reason;
	answer->head = mmx_head_create_response(status);
	mmx_head_add(answer->head, "Content-Type", "text/plain");
	if (status == 401)
		mmx_head_add(answer->head, "WWW-Authenticate", "Bearer");
	if (status == 503)
		add_retry_after_(entry, answer->head, reason);
	else if (exchange->retry_after > 0)
		add_rate_retry_after_(entry, answer->head,
				      exchange->retry_after);
	if (outcome == MMX_OUTCOME_NOT_RUN && entry->quota_filter)
		mmx_filter_quota_give_back(entry->quota_filter, exchange);
	evbuffer_add_printf(answer->body, "%s: %s\n",
			    mmx_outcome_string[outcome],
			    mmx_reason_string[reason]);
	answer->body_end = true;
	count_answer_(exchange, outcome, reason);
	mmx_entry_trace_answer(exchange, answer->head, outcome, reason);
	mmx_task_post(entry->http, &answer->message);
	mmx_entry_end_exchange(exchange);
}

void mmx_entry_answer(mmx_exchange_t *exchange, mmx_head_t *head,
		      struct evbuffer *body, bool end)
{
	mmx_entry_t *entry = exchange->owner;
	mmx_answer_t *answer = mmx_new_answer(exchange->request);

	answer->outcome = MMX_OUTCOME_COMPLETED;
	answer->head = head;
	evbuffer_add_buffer(answer->body, body);
	answer->body_end = end;
	count_answer_(exchange, MMX_OUTCOME_COMPLETED, MMX_REASON_NONE);
	mmx_entry_trace_answer(exchange, answer->head, MMX_OUTCOME_COMPLETED,
			       MMX_REASON_NONE);
	mmx_task_post(entry->http, &answer->message);
}

void mmx_entry_answer_duplicate(mmx_exchange_t *exchange, mmx_head_t *head,
				struct evbuffer *body)
{
	mmx_entry_t *entry = exchange->owner;
	mmx_answer_t *answer = mmx_new_answer(exchange->request);

	answer->outcome = MMX_OUTCOME_COMPLETED;
	answer->reason = MMX_REASON_DUPLICATE_COMPLETED;
	answer->head = head;
	evbuffer_add_buffer(answer->body, body);
	answer->body_end = true;
	count_answer_(exchange, answer->outcome, answer->reason);
	mmx_entry_trace_answer(exchange, answer->head, answer->outcome,
			       answer->reason);
	mmx_task_post(entry->http, &answer->message);
}

void mmx_entry_answer_body(mmx_exchange_t *exchange, struct evbuffer *part,
			   bool end, bool failed)
{
	mmx_body_t *body = mmx_new_body(MMX_TO_CALLER);

	body->request = exchange->request;
	evbuffer_add_buffer(body->data, part);
	body->end = end;
	body->failed = failed;
	if (failed)
		mmx_counter_add(
			exchange->owner->reason[MMX_REASON_ANSWER_TRUNCATED],
			1);
	mmx_task_post(exchange->owner->http, &body->message);
}

void mmx_entry_new_attempt(mmx_exchange_t *exchange)
{
	mmx_entry_t *entry = exchange->owner;

	unregister_attempt_(entry, &exchange->attempt);
	exchange->attempt.entry = entry->node;
	exchange->attempt.incarnation = entry->incarnation;
	exchange->attempt.sequence = ++entry->last_sequence;
	g_hash_table_insert(entry->by_sequence, &exchange->attempt.sequence,
			    exchange);
}

/* The keys of the table are the sequences in the exchange, so that a moved id
 * has to be inserted again. */
static void move_attempt_id_(mmx_exchange_t *exchange, mmx_attempt_id_t *from,
			     mmx_attempt_id_t *to)
{
	mmx_entry_t *entry = exchange->owner;
	mmx_attempt_id_t id = *from;

	unregister_attempt_(entry, from);
	unregister_attempt_(entry, to);
	*to = id;
	g_hash_table_insert(entry->by_sequence, &to->sequence, exchange);
}

void mmx_entry_demote_attempt(mmx_exchange_t *exchange)
{
	move_attempt_id_(exchange, &exchange->attempt, &exchange->earlier.id);
}

void mmx_entry_promote_earlier(mmx_exchange_t *exchange)
{
	move_attempt_id_(exchange, &exchange->earlier.id, &exchange->attempt);
}

void mmx_entry_discard_earlier(mmx_exchange_t *exchange)
{
	unregister_attempt_(exchange->owner, &exchange->earlier.id);
}

void mmx_entry_post_exit(mmx_entry_t *entry, mmx_node_id_t exit,
			 mmx_message_t *message)
{
	if (exit == entry->node)
		mmx_task_post(entry->local_exit, message);
	else if (entry->peer)
		mmx_task_post(entry->peer, message);
	else
		mmx_message_destroy(message);
}

static void on_request_(mmx_entry_t *entry, mmx_request_t *request)
{
	mmx_exchange_t *exchange = create_exchange_(entry, request);

	if (entry->draining)
		mmx_entry_refuse(exchange, MMX_OUTCOME_NOT_RUN,
				 MMX_REASON_SHUTTING_DOWN);
	else
		mmx_pipeline_start(&entry->pipeline, exchange);
}

static void buffer_request_body_(mmx_exchange_t *exchange,
				 struct evbuffer *part)
{
	if (!exchange->body_buffered)
		return;
	if (evbuffer_get_length(exchange->body) + evbuffer_get_length(part) >
	    MMX_HELD_BODY_MAX) {
		exchange->body_buffered = false;
		/* Before the first attempt nothing has been forwarded. */
		if (exchange->attempts > 0)
			evbuffer_drain(exchange->body,
				       evbuffer_get_length(exchange->body));
		return;
	}
	evbuffer_add(exchange->body, evbuffer_pullup(part, -1),
		     evbuffer_get_length(part));
}

/* All parts received so far are in exchange->body, none has been forwarded. */
static bool is_unsent_(const mmx_exchange_t *exchange)
{
	return exchange->attempts == 0 || mmx_exchange_is_claiming(exchange);
}

static void on_request_body_(mmx_entry_t *entry, mmx_body_t *body)
{
	mmx_exchange_t *exchange =
		g_hash_table_lookup(entry->by_request, &body->request);

	if (!exchange)
		return;
	exchange->body_end = body->end;
	if (body->failed) {
		/* A truncated body must not be sent again as a complete one. */
		exchange->body_buffered = false;
		if (is_unsent_(exchange)) {
			mmx_pipeline_abandon(exchange);
			mmx_entry_refuse(exchange, MMX_OUTCOME_NOT_RUN,
					 MMX_REASON_BAD_REQUEST);
			return;
		}
		mmx_filter_attempt_request_body(entry->attempt_filter, exchange,
						body);
		return;
	}
	if (is_unsent_(exchange)) {
		/* The credit that http_entry has limits the size. */
		evbuffer_add_buffer(exchange->body, body->data);
		return;
	}
	buffer_request_body_(exchange, body->data);
	mmx_filter_attempt_request_body(entry->attempt_filter, exchange, body);
}

/* Returns an exchange that the response does not belong to; used only when a
 * test turns the match rule off. */
static mmx_exchange_t *any_exchange_(mmx_entry_t *entry)
{
	GHashTableIter iter;
	gpointer exchange;

	g_hash_table_iter_init(&iter, entry->by_sequence);
	return g_hash_table_iter_next(&iter, NULL, &exchange) ? exchange : NULL;
}

static mmx_exchange_t *find_attempt_(mmx_entry_t *entry,
				     const mmx_attempt_id_t *id)
{
	mmx_exchange_t *exchange;

	if (id->entry != entry->node || id->incarnation != entry->incarnation)
		return NULL;
	exchange = g_hash_table_lookup(entry->by_sequence, &id->sequence);
	if (!exchange && !entry->guards->response_match)
		exchange = any_exchange_(entry);
	return exchange;
}

static void on_body_(mmx_entry_t *entry, mmx_body_t *body)
{
	mmx_exchange_t *exchange;

	if (body->direction == MMX_TO_TARGET) {
		on_request_body_(entry, body);
		return;
	}
	exchange = find_attempt_(entry, &body->attempt);
	if (exchange)
		mmx_filter_attempt_body(entry->attempt_filter, exchange, body);
}

static void on_window_(mmx_entry_t *entry, mmx_window_t *window)
{
	mmx_exchange_t *exchange;

	if (window->direction == MMX_TO_CALLER) {
		exchange = g_hash_table_lookup(entry->by_request,
					       &window->request);
		if (exchange && exchange->attempt.sequence) {
			window->attempt = exchange->attempt;
			window->exit = exchange->exit;
			mmx_entry_post_exit(entry, exchange->exit,
					    &window->message);
			return;
		}
	} else {
		exchange = find_attempt_(entry, &window->attempt);
		if (exchange) {
			window->request = exchange->request;
			mmx_task_post(entry->http, &window->message);
			return;
		}
	}
	mmx_message_destroy(&window->message);
}

static void on_response_(mmx_entry_t *entry, mmx_response_t *response)
{
	mmx_exchange_t *exchange = find_attempt_(entry, &response->attempt);

	if (exchange)
		mmx_filter_attempt_response(entry->attempt_filter, exchange,
					    response);
}

static void on_fence_reply_(mmx_entry_t *entry, mmx_fence_reply_t *reply)
{
	mmx_exchange_t *exchange;

	if (reply->purpose != MMX_FENCE_RECOVER) {
		mmx_filter_attempt_holder_reply(entry->attempt_filter, reply);
		return;
	}
	exchange = find_attempt_(entry, &reply->attempt);
	if (exchange)
		mmx_filter_attempt_fence_reply(entry->attempt_filter, exchange,
					       reply);
}

static void on_claim_reply_(mmx_entry_t *entry, const mmx_claim_reply_t *reply)
{
	mmx_exchange_t *exchange = find_attempt_(entry, &reply->attempt);

	if (exchange)
		mmx_filter_attempt_claim_reply(entry->attempt_filter, exchange,
					       reply);
}

static void on_caller_gone_(mmx_entry_t *entry, const mmx_caller_gone_t *gone)
{
	mmx_exchange_t *exchange =
		g_hash_table_lookup(entry->by_request, &gone->request);

	if (!exchange)
		return;
	if (entry->quota_filter && is_unsent_(exchange) &&
	    exchange->offers == 0 && !exchange->may_have_run)
		mmx_filter_quota_give_back(entry->quota_filter, exchange);
	mmx_pipeline_abandon(exchange);
	mmx_entry_end_exchange(exchange);
}

static void on_evidence_(mmx_entry_t *entry, const mmx_evidence_t *evidence)
{
	mmx_view_path_progress(entry->view, evidence->exit);
	mmx_view_report_load(entry->view, &evidence->load);
}

static void handle_(mmx_task_t *task, mmx_message_t *message)
{
	mmx_entry_t *entry = (mmx_entry_t *)task;

	switch ((mmx_message_kind_t)message->ops->kind) {
	case MMX_MESSAGE_REQUEST:
		on_request_(entry, (mmx_request_t *)message);
		break;
	case MMX_MESSAGE_BODY:
		on_body_(entry, (mmx_body_t *)message);
		break;
	case MMX_MESSAGE_WINDOW:
		on_window_(entry, (mmx_window_t *)message);
		return;
	case MMX_MESSAGE_CALLER_GONE:
		on_caller_gone_(entry, (mmx_caller_gone_t *)message);
		break;
	case MMX_MESSAGE_RESPONSE:
		on_response_(entry, (mmx_response_t *)message);
		break;
	case MMX_MESSAGE_FENCE_REPLY:
		on_fence_reply_(entry, (mmx_fence_reply_t *)message);
		break;
	case MMX_MESSAGE_PATH_LOST:
		mmx_filter_attempt_path_lost(entry->attempt_filter,
					     (mmx_path_lost_t *)message);
		break;
	case MMX_MESSAGE_CLAIM_RESULT:
		on_claim_reply_(entry, (mmx_claim_reply_t *)message);
		break;
	case MMX_MESSAGE_EVIDENCE:
		on_evidence_(entry, (mmx_evidence_t *)message);
		break;
	default:
		assert(!"message kind that the entry does not handle");
	}
	mmx_message_destroy(message);
}

static const mmx_task_ops_t task_ops_ = {"entry", handle_};

mmx_entry_t *mmx_entry_create(mmx_runtime_t *runtime, mmx_node_id_t node,
			      mmx_incarnation_t incarnation, uint64_t seed)
{
	mmx_entry_t *entry = g_new0(mmx_entry_t, 1);

	mmx_task_init(&entry->task, &task_ops_, runtime);
	entry->runtime = runtime;
	entry->clock = mmx_runtime_clock(runtime);
	entry->node = node;
	entry->incarnation = incarnation;
	entry->deadline_cap = MMX_TIME_NEVER;
	mmx_random_seed(&entry->random, seed);
	entry->guards = &mmx_guards_all;
	entry->header_names = &mmx_header_names_default;
	mmx_pipeline_init(&entry->pipeline);
	entry->by_request = g_hash_table_new(g_int64_hash, g_int64_equal);
	entry->by_sequence = g_hash_table_new(g_int64_hash, g_int64_equal);
	return entry;
}

void mmx_entry_destroy(mmx_entry_t *entry)
{
	GList *exchanges;
	GList *item;

	if (!entry)
		return;
	exchanges = g_hash_table_get_values(entry->by_request);
	for (item = exchanges; item; item = item->next)
		mmx_entry_end_exchange(item->data);
	g_list_free(exchanges);
	mmx_pipeline_finish(&entry->pipeline);
	mmx_view_destroy(entry->view);
	mmx_task_finish(&entry->task);
	g_hash_table_destroy(entry->by_request);
	g_hash_table_destroy(entry->by_sequence);
	g_free(entry);
}

void mmx_entry_init(mmx_entry_t *entry)
{
	assert(entry->http && entry->local_exit && entry->config_state &&
	       entry->directory && !entry->running);
	entry->running = true;
	entry->view = mmx_view_create(&(mmx_view_config_t){
		.clock = entry->clock,
		.random = &entry->random,
		.directory = entry->directory,
		.config_state = entry->config_state,
		.members = entry->members,
		.members_context = entry->members_context,
		.guards = entry->guards,
		.budget_at_exits = entry->budget_at_exits,
		.by_work = entry->by_work,
	});
	entry->attempt_filter = mmx_filter_attempt_create(entry);
	mmx_pipeline_add(&entry->pipeline,
			 mmx_filter_request_create(entry->header_names,
						   entry->caller_service));
	if (entry->startup_hold > 0) {
		entry->startup_filter = mmx_filter_startup_create(
			entry->clock,
			mmx_clock_now(entry->clock) + entry->startup_hold);
		mmx_pipeline_add(&entry->pipeline, entry->startup_filter);
	}
	mmx_pipeline_add(&entry->pipeline,
			 mmx_filter_route_create(entry->config_state));
	mmx_pipeline_add(&entry->pipeline,
			 mmx_filter_identity_create(entry->config_state,
						    entry->header_names,
						    entry->counters));
	mmx_pipeline_add(&entry->pipeline,
			 mmx_filter_account_create(entry->config_state));
	if (entry->quota_ops) {
		entry->quota_filter = mmx_filter_quota_create(
			entry, entry->quota_ops, entry->quota_context);
		mmx_pipeline_add(&entry->pipeline, entry->quota_filter);
	}
	mmx_pipeline_add(&entry->pipeline, entry->attempt_filter);
}

mmx_task_t *mmx_entry_task(mmx_entry_t *entry)
{
	return &entry->task;
}

void mmx_entry_started(mmx_entry_t *entry)
{
	assert(entry->running);
	if (entry->startup_filter)
		mmx_filter_startup_release(entry->startup_filter);
}

void mmx_entry_drain(mmx_entry_t *entry)
{
	entry->draining = true;
}

void mmx_entry_cap_deadlines(mmx_entry_t *entry, mmx_time_t latest)
{
	GList *exchanges = g_hash_table_get_values(entry->by_request);
	GList *item;

	assert(entry->running);
	entry->deadline_cap = latest;
	for (item = exchanges; item; item = item->next) {
		mmx_exchange_t *exchange = item->data;

		if (exchange->deadline <= latest)
			continue;
		exchange->deadline = latest;
		if (exchange->filter == entry->quota_filter)
			mmx_filter_quota_deadline_changed(exchange);
		else
			mmx_filter_attempt_deadline_changed(
				entry->attempt_filter, exchange);
	}
	g_list_free(exchanges);
}

void mmx_entry_refuse_capped(mmx_entry_t *entry)
{
	entry->refuses_capped = true;
}

bool mmx_entry_refuses_capped(const mmx_entry_t *entry)
{
	return entry->refuses_capped;
}

mmx_time_t mmx_entry_deadline_cap(const mmx_entry_t *entry)
{
	return entry->deadline_cap;
}

size_t mmx_entry_in_progress(const mmx_entry_t *entry)
{
	return g_hash_table_size(entry->by_request);
}

mmx_runtime_t *mmx_entry_runtime(const mmx_entry_t *entry)
{
	return entry->runtime;
}

const mmx_directory_t *mmx_entry_directory(const mmx_entry_t *entry)
{
	return entry->directory;
}

mmx_view_t *mmx_entry_view(const mmx_entry_t *entry)
{
	return entry->view;
}

mmx_random_t *mmx_entry_random(mmx_entry_t *entry)
{
	return &entry->random;
}

mmx_counters_t *mmx_entry_counters(const mmx_entry_t *entry)
{
	return entry->counters;
}

const mmx_guards_t *mmx_entry_guards(const mmx_entry_t *entry)
{
	return entry->guards;
}

mmx_origin_t mmx_entry_origin(mmx_entry_t *entry)
{
	return (mmx_origin_t){.task = &entry->task, .connection = 0};
}

mmx_task_t *mmx_entry_claims(const mmx_entry_t *entry)
{
	return entry->claims;
}

struct mmx_trace_t *mmx_entry_trace(const mmx_entry_t *entry)
{
	return entry->trace;
}

mmx_history_t *mmx_entry_history(const mmx_entry_t *entry)
{
	return entry->history;
}
