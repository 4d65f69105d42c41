/* Fake callers, and the check of every answer. */
#include "claims_world.h"

#include <string.h>

/* Answers come at the deadline at the latest, plus this. */
#define ANSWER_BOUND_US (100 * MMX_US_PER_MS)
#define UPLOAD_PARTS 4
#define UPLOAD_GAP_US (20 * MMX_US_PER_MS)
#define RECHECK_US (100 * MMX_US_PER_MS)
/* deadline-exceeded may come this long before the deadline, see the entry. */
#define EARLY_MAX_US (120 * MMX_US_PER_MS)

/* Reasons that callers may be given, design section 5. */
static const mmx_reason_t not_run_reasons_[] = {
	MMX_REASON_BAD_REQUEST,	      MMX_REASON_UNKNOWN_SERVICE,
	MMX_REASON_UNKNOWN_ACCOUNT,   MMX_REASON_NO_CAPACITY,
	MMX_REASON_OVERLOADED,	      MMX_REASON_ACCOUNT_LIMIT,
	MMX_REASON_DEADLINE_EXCEEDED, MMX_REASON_TARGET_FAILED,
	MMX_REASON_PATH_LOST,	      MMX_REASON_SHUTTING_DOWN,
	MMX_REASON_CLAIM_UNAVAILABLE,
};
static const mmx_reason_t unknown_reasons_[] = {
	MMX_REASON_DEADLINE_EXCEEDED,	MMX_REASON_TARGET_FAILED,
	MMX_REASON_ANSWER_TRUNCATED,	MMX_REASON_PATH_LOST,
	MMX_REASON_OVERLOADED,		MMX_REASON_NO_CAPACITY,
	MMX_REASON_ACCOUNT_LIMIT,	MMX_REASON_DUPLICATE_IN_PROGRESS,
	MMX_REASON_DUPLICATE_COMPLETED,
};

char *caller_expected(uint64_t id, size_t size)
{
	char *bytes = g_malloc(size + 1);
	char word[24];
	size_t at = 0;
	size_t length;

	g_snprintf(word, sizeof(word), "r%llu.", (unsigned long long)id);
	while (at < size) {
		length = MIN(strlen(word), size - at);
		memcpy(bytes + at, word, length);
		at += length;
	}
	bytes[size] = '\0';
	return bytes;
}

void caller_free(void *arg)
{
	request_t *request = arg;

	if (request->body)
		g_string_free(request->body, TRUE);
	g_free(request);
}

/* --- checks ------------------------------------------------------------ */

void caller_executed(world_t *world, uint64_t id, const target_t *target)
{
	request_t *request = g_hash_table_lookup(world->requests, &id);

	request->executions++;
	if (request->ended && request->outcome == MMX_OUTCOME_NOT_RUN)
		world_break(world, GUARANTEE_NOT_RUN, id,
			    "runs at %s after its caller was told not-run",
			    target->name);
	claims_executed(request, target);
	if (!request->repeatable && request->executions > 1)
		world_break(world, GUARANTEE_ONCE, id,
			    "runs for the %u. time, at %s", request->executions,
			    target->name);
}

static void check_body_(request_t *request)
{
	const request_t *runner = claims_runner(request);
	size_t size =
		request->status == 500 ? MIN(runner->size, 8) : runner->size;
	char *expected = caller_expected(runner->id, size);

	if (request->body->len != size ||
	    memcmp(request->body->str, expected, size) != 0)
		world_break(request->world, GUARANTEE_RESPONSE, request->id,
			    "got %zu bytes \"%.16s\", expected %zu",
			    request->body->len, request->body->str, size);
	g_free(expected);
}

static bool contains_(const mmx_reason_t *reasons, size_t count,
		      mmx_reason_t reason)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (reasons[i] == reason)
			return true;
	return false;
}

static void check_refusal_(const request_t *request)
{
	world_t *world = request->world;
	mmx_time_t now = world_now(world);
	mmx_time_t total = request->deadline - request->created;
	bool known;

	if (request->outcome == MMX_OUTCOME_NOT_RUN)
		known = contains_(not_run_reasons_,
				  G_N_ELEMENTS(not_run_reasons_),
				  request->reason);
	else
		known = contains_(unknown_reasons_,
				  G_N_ELEMENTS(unknown_reasons_),
				  request->reason);
	if (!known)
		world_break(world, GUARANTEE_REFUSAL, request->id,
			    "%s with reason %s",
			    mmx_outcome_string[request->outcome],
			    mmx_reason_string[request->reason]);
	if (request->reason == MMX_REASON_DEADLINE_EXCEEDED &&
	    request->deadline - now > MIN(EARLY_MAX_US, total / 5 + 1))
		world_break(world, GUARANTEE_REFUSAL, request->id,
			    "deadline-exceeded %.3f s before the deadline",
			    (double)(request->deadline - now) / MMX_US_PER_S);
	if (request->reason == MMX_REASON_SHUTTING_DOWN &&
	    !request->node->leaving)
		world_break(world, GUARANTEE_REFUSAL, request->id,
			    "shutting-down from a node that is not");
	if (request->outcome == MMX_OUTCOME_NOT_RUN && request->executions > 0)
		world_break(world, GUARANTEE_NOT_RUN, request->id,
			    "not-run (%s), but it ran %u times",
			    mmx_reason_string[request->reason],
			    request->executions);
}

static void check_answered_(void *arg)
{
	request_t *request = arg;
	const node_t *node = request->node;

	if (request->ended || request->gone)
		return;
	if (node->paused) {
		/* A process can't answer while it is paused. */
		world_after(request->world, RECHECK_US, check_answered_,
			    request, NULL);
		return;
	}
	world_break(request->world, GUARANTEE_ANSWERED, request->id,
		    "no whole answer %.3f s after the deadline",
		    (double)(world_now(request->world) - request->deadline) /
			    MMX_US_PER_S);
}

/* --- answers ----------------------------------------------------------- */

static void end_(request_t *request)
{
	request->ended = true;
	if (request->outcome == MMX_OUTCOME_COMPLETED && !request->failed)
		check_body_(request);
	g_string_set_size(request->body, 0);
}

static void count_(request_t *request)
{
	stats_t *stats = &request->world->stats;
	mmx_time_t took = world_now(request->world) - request->created;

	stats->answers[request->outcome]++;
	stats->reasons[request->reason]++;
	if (request->outcome == MMX_OUTCOME_COMPLETED && request->status == 200)
		stats->statuses_ok++;
	if (request->reason == MMX_REASON_OVERLOADED ||
	    request->reason == MMX_REASON_ACCOUNT_LIMIT)
		stats->slowest_refusal = MAX(stats->slowest_refusal, took);
}

static void add_(request_t *request, struct evbuffer *from)
{
	size_t length = evbuffer_get_length(from);

	if (length > 0)
		g_string_append_len(request->body,
				    (char *)evbuffer_pullup(from, -1),
				    (gssize)length);
}

static void on_answer_(request_t *request, mmx_answer_t *answer)
{
	world_trace(request->world, request->id, "answer %s %s %d%s",
		    mmx_outcome_string[answer->outcome],
		    mmx_reason_string[answer->reason], answer->head->status,
		    answer->body_end ? "" : ", more follows");
	if (request->heads++ > 0 || request->ended) {
		world_break(request->world, GUARANTEE_ANSWERED, request->id,
			    "answered twice");
		return;
	}
	request->outcome = answer->outcome;
	request->reason = answer->reason;
	request->status = answer->head->status;
	count_(request);
	add_(request, answer->body);
	claims_check_answer(request);
	if (answer->outcome != MMX_OUTCOME_COMPLETED)
		check_refusal_(request);
	if (answer->body_end)
		end_(request);
}

static void on_body_(request_t *request, mmx_body_t *body)
{
	if (request->heads == 0 || request->ended) {
		world_break(
			request->world, GUARANTEE_ANSWERED, request->id,
			"part of an answer that has not begun or has ended");
		return;
	}
	add_(request, body->data);
	if (body->failed) {
		world_trace(request->world, request->id, "answer broken off");
		request->failed = true;
		request->world->stats.broken_off++;
	}
	if (body->end)
		end_(request);
}

static void handle_(mmx_task_t *task, mmx_message_t *message)
{
	world_t *world = ((node_task_t *)task)->node->world;
	request_t *request;

	if (message->ops->kind == MMX_MESSAGE_ANSWER) {
		mmx_answer_t *answer = (mmx_answer_t *)message;

		request =
			g_hash_table_lookup(world->requests, &answer->request);
		if (request && !request->gone)
			on_answer_(request, answer);
	} else if (message->ops->kind == MMX_MESSAGE_BODY) {
		mmx_body_t *body = (mmx_body_t *)message;

		request = g_hash_table_lookup(world->requests, &body->request);
		if (request && !request->gone)
			on_body_(request, body);
	}
	mmx_message_destroy(message);
}

static const mmx_task_ops_t ops_ = {"http", handle_};

void caller_init_node(node_t *node)
{
	node->http.node = node;
	mmx_task_init(&node->http.task, &ops_, node->runtime);
}

void caller_node_lost(node_t *node)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->world->requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		request_t *request = value;

		if (request->node != node || request->ended)
			continue;
		request->gone = true;
	}
	mmx_task_finish(&node->http.task);
}

/* --- requests ---------------------------------------------------------- */

static mmx_request_t *message_(const request_t *request, const char *service,
			       const char *method, mmx_time_t timeout)
{
	mmx_request_t *message = mmx_new_request(request->id);
	char text[32];

	message->head = mmx_head_create_request(method, "/");
	g_snprintf(text, sizeof(text), "%s.test", service);
	mmx_head_add(message->head, "Host", text);
	g_snprintf(text, sizeof(text), "%llu", (unsigned long long)request->id);
	mmx_head_add(message->head, "X-Request", text);
	g_snprintf(text, sizeof(text), "%zu", request->size);
	mmx_head_add(message->head, "X-Size", text);
	g_snprintf(text, sizeof(text), "%lld",
		   (long long)(timeout / MMX_US_PER_MS));
	mmx_head_add(message->head, "Masticmux-Timeout-Ms", text);
	g_snprintf(text, sizeof(text), "%zu", request->upload);
	mmx_head_add(message->head, "X-Body", text);
	message->body_end = request->upload == 0;
	return message;
}

/* The body of a request, in four parts. */
static void upload_(void *arg)
{
	request_t *request = arg;
	size_t part = request->upload / UPLOAD_PARTS;
	mmx_body_t *body;
	char *bytes;

	if (request->gone || request->ended || !request->node->up ||
	    request->node->incarnation != request->incarnation)
		return;
	body = mmx_new_body(MMX_TO_TARGET);
	body->request = request->id;
	bytes = g_malloc0(part);
	evbuffer_add(body->data, bytes, part);
	g_free(bytes);
	request->uploaded += part;
	body->end = request->uploaded == request->upload;
	mmx_task_post(mmx_entry_task(request->node->entry), &body->message);
	if (!body->end)
		world_after(request->world,
			    world_uniform(request->world, 0, UPLOAD_GAP_US),
			    upload_, request, NULL);
}

request_t *caller_send(world_t *world, node_t *node,
		       const caller_request_t *what)
{
	const char *service = what->service;
	const char *method = what->method;
	mmx_time_t timeout = what->timeout;
	request_t *request;
	mmx_request_t *message;

	if (!node->up || node->paused)
		return NULL;
	request = g_new0(request_t, 1);
	request->world = world;
	request->id = ++world->next_request;
	request->node = node;
	request->incarnation = node->incarnation;
	request->repeatable = strcmp(method, "GET") == 0 && !what->key;
	request->size = what->size;
	request->upload = what->upload / UPLOAD_PARTS * UPLOAD_PARTS;
	request->created = world_now(world);
	request->deadline = request->created + timeout;
	request->body = g_string_new("");
	g_hash_table_insert(world->requests, &request->id, request);
	world->stats.requests++;
	message = message_(request, service, method, timeout);
	if (what->key)
		mmx_head_add(message->head, "Idempotency-Key",
			     claims_key(request, what->key_name));
	if (what->account)
		mmx_head_add(message->head, "Masticmux-Account", what->account);
	world_trace(world, request->id, "%s %s to %s, %lld ms", method, service,
		    node->name, (long long)(timeout / MMX_US_PER_MS));
	mmx_task_post(mmx_entry_task(node->entry), &message->message);
	if (request->upload > 0)
		upload_(request);
	world_after(world, timeout + ANSWER_BOUND_US, check_answered_, request,
		    NULL);
	return request;
}

void caller_leave(request_t *request)
{
	if (request->ended || request->gone)
		return;
	world_trace(request->world, request->id, "caller leaves");
	request->gone = true;
	mmx_task_post(mmx_entry_task(request->node->entry),
		      &mmx_new_caller_gone(request->id)->message);
}
