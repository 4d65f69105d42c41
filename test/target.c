/* Fake targets, and the target client task of each node. */
#include "world.h"

#include <math.h>
#include <string.h>

#define LEASE_US (3 * MMX_US_PER_S)
/* A leaving target gets nothing new after this time. */
#define LEAVING_BOUND_US (3 * MMX_US_PER_S)
#define PART_BYTES (16 * 1024)
#define PART_GAP_US (10 * MMX_US_PER_MS)

typedef struct call_t {
	target_t *target;
	node_t *node;
	mmx_incarnation_t incarnation; /* of the node */
	mmx_attempt_id_t attempt;
	char *key;
	uint64_t request;
	size_t size;
	char *bytes;   /* of the response, once it has begun */
	size_t length; /* of bytes */
	size_t sent;
	bool truncate;
	size_t body;	 /* bytes of the request's body so far */
	size_t expected; /* of all of it */
	bool whole;	 /* the request has arrived whole */
	bool running;	 /* has a slot */
	bool heard;	 /* the exit still waits for events */
	mmx_time_t started;
	unsigned int references; /* events that are scheduled */
} call_t;

static void release_(void *arg)
{
	call_t *call = arg;

	if (--call->references > 0)
		return;
	g_free(call->key);
	g_free(call->bytes);
	g_free(call);
}

static void after_(call_t *call, mmx_time_t delay, void (*fn)(void *arg))
{
	call->references++;
	world_after(call->target->world, delay, fn, call, release_);
}

/* The node's process that made the call still listens. */
static bool is_heard_(const call_t *call)
{
	return call->heard && call->node->up &&
	       call->node->incarnation == call->incarnation;
}

/* --- events to the exit ------------------------------------------------ */

static void post_result_(call_t *call, mmx_call_result_t result)
{
	if (!is_heard_(call))
		return;
	call->heard = false;
	world_trace(call->target->world, call->request, "call at %s: %s",
		    call->target->name, mmx_call_result_string[result]);
	mmx_task_post(mmx_exit_task(call->node->exit),
		      &mmx_new_call_event(&call->attempt, result)->message);
}

static void post_head_(call_t *call, int status, const char *bytes,
		       size_t length, bool end)
{
	mmx_call_event_t *event =
		mmx_new_call_event(&call->attempt, MMX_CALL_HEAD);

	event->head = mmx_head_create_response(status);
	evbuffer_add(event->body, bytes, length);
	event->body_end = end;
	mmx_task_post(mmx_exit_task(call->node->exit), &event->message);
}

static void post_part_(call_t *call, const char *bytes, size_t length, bool end,
		       bool failed)
{
	mmx_body_t *body = mmx_new_body(MMX_TO_CALLER);

	body->attempt = call->attempt;
	evbuffer_add(body->data, bytes, length);
	body->end = end;
	body->failed = failed;
	mmx_task_post(mmx_exit_task(call->node->exit), &body->message);
}

/* The connection breaks: as a result, or as the end of the body. */
static void break_off_(call_t *call)
{
	if (!is_heard_(call))
		return;
	if (!call->bytes) {
		post_result_(call, MMX_CALL_FAILED);
		return;
	}
	call->heard = false;
	post_part_(call, call->bytes, 0, true, true);
}

static void forget_(call_t *call)
{
	if (g_hash_table_remove(call->target->calls, call->key))
		release_(call);
}

/* Goes on with the response; a truncated one breaks off at some part. */
static void send_part_(void *arg)
{
	call_t *call = arg;
	world_t *world = call->target->world;
	size_t left = call->length - call->sent;
	size_t part = MIN(left, PART_BYTES);
	bool failed = call->truncate && world_unit(world) < 0.5;

	if (!is_heard_(call)) {
		forget_(call);
		release_(call);
		return;
	}
	if (part == left && call->truncate)
		failed = true;
	post_part_(call, call->bytes + call->sent, part, part == left || failed,
		   failed);
	call->sent += part;
	if (part == left || failed) {
		call->heard = false;
		forget_(call);
	} else {
		after_(call, world_uniform(world, 0, PART_GAP_US), send_part_);
	}
	release_(call);
}

static void answer_(call_t *call)
{
	target_t *target = call->target;
	bool error = world_unit(target->world) < target->error_rate;

	call->truncate = world_unit(target->world) < target->truncate;
	call->bytes = caller_expected(call->request, call->size);
	call->length = error ? MIN(call->size, 8) : call->size;
	call->sent = MIN(call->length / 2, PART_BYTES);
	world_trace(target->world, call->request, "%s answers%s%s",
		    target->name, error ? " 500" : "",
		    call->truncate ? " truncated" : "");
	post_head_(call, error ? 500 : 200, call->bytes, call->sent, false);
	call->references++;
	send_part_(call);
}

/* --- work -------------------------------------------------------------- */

static mmx_time_t service_time_(target_t *target)
{
	double unit = 1.0 - world_unit(target->world);
	double time = (double)target->mean * target->slow;

	if (target->spread == SPREAD_EXPONENTIAL)
		time *= -log(unit);
	else if (target->spread == SPREAD_HEAVY)
		time *= pow(unit, -1.0 / 1.5) / 3.0;
	return (mmx_time_t)time + target->late;
}

static bool is_stalled_(const target_t *target)
{
	mmx_time_t now = world_now(target->world);

	return target->stall ||
	       (target->flap > 0 && now / target->flap % 2 == 1);
}

static void serve_(target_t *target);

static void finish_(void *arg)
{
	call_t *call = arg;
	target_t *target = call->target;

	if (!call->running) { /* the target died meanwhile */
		release_(call);
		return;
	}
	if (is_stalled_(target)) {
		world_after(target->world, 100 * MMX_US_PER_MS, finish_, call,
			    release_);
		return;
	}
	call->running = false;
	target->running--;
	if (is_heard_(call))
		answer_(call);
	else
		forget_(call);
	release_(call);
	serve_(target);
}

static void serve_(target_t *target)
{
	call_t *call;

	while (target->running < target->slots &&
	       (call = g_queue_pop_head(target->waiting))) {
		target->running++;
		call->running = true;
		after_(call, service_time_(target), finish_);
	}
}

static void check_leaving_(const call_t *call)
{
	target_t *target = call->target;
	mmx_time_t now = world_now(target->world);

	if (now - target->stop_at > LEAVING_BOUND_US)
		world_break(target->world, GUARANTEE_LEAVING, call->request,
			    "%s started at %s, which leaves since %.3f s",
			    call->key, target->name,
			    (double)(now - target->stop_at) / MMX_US_PER_S);
}

/* A request that has arrived whole runs, whatever becomes of the caller. */
static void begin_(call_t *call)
{
	target_t *target = call->target;

	call->whole = true;
	if (call->body != call->expected)
		world_break(target->world, GUARANTEE_RESPONSE, call->request,
			    "runs with %zu of %zu bytes of its body",
			    call->body, call->expected);
	target->executions++;
	target->world->stats.executions++;
	world_trace(target->world, call->request, "runs at %s as %s",
		    target->name, call->key);
	caller_executed(target->world, call->request, target);
	g_queue_push_tail(target->waiting, call);
	serve_(target);
}

/* As the real client: the connection is closed at the deadline. */
static void on_deadline_(void *arg)
{
	call_t *call = arg;

	break_off_(call);
	release_(call);
}

/* --- the target client task -------------------------------------------- */

static void not_sent_(node_t *node, const mmx_attempt_id_t *attempt)
{
	mmx_task_post(mmx_exit_task(node->exit),
		      &mmx_new_call_event(attempt, MMX_CALL_NOT_SENT)->message);
}

static void on_call_(node_t *node, const mmx_call_t *message)
{
	target_t *target = &node->world->targets[message->address.port - 1];
	const char *request = mmx_head_find(message->head, "X-Request");
	const char *size = mmx_head_find(message->head, "X-Size");
	call_t *call;

	if (!target->up || message->remaining <= 0) {
		not_sent_(node, &message->attempt);
		return;
	}
	call = g_new0(call_t, 1);
	call->target = target;
	call->node = node;
	call->incarnation = node->incarnation;
	call->attempt = message->attempt;
	call->key = world_key(&message->attempt);
	call->request = g_ascii_strtoull(request, NULL, 10);
	call->size = (size_t)g_ascii_strtoull(size, NULL, 10);
	call->body = evbuffer_get_length(message->body);
	call->expected = (size_t)g_ascii_strtoull(
		mmx_head_find(message->head, "X-Body"), NULL, 10);
	call->heard = true;
	call->started = world_now(node->world);
	call->references = 1;
	g_hash_table_insert(target->calls, call->key, call);
	check_leaving_(call);
	after_(call, message->remaining, on_deadline_);
	if (message->body_end)
		begin_(call);
}

static call_t *find_call_(node_t *node, const mmx_attempt_id_t *attempt)
{
	char *key = world_key(attempt);
	call_t *call = NULL;
	unsigned int i;

	for (i = 0; i < node->world->target_count && !call; i++)
		if (node->world->targets[i].node == node)
			call = g_hash_table_lookup(
				node->world->targets[i].calls, key);
	g_free(key);
	return call;
}

static void on_body_(node_t *node, const mmx_body_t *body)
{
	call_t *call = find_call_(node, &body->attempt);

	if (!call || call->whole)
		return;
	call->body += evbuffer_get_length(body->data);
	if (body->failed) {
		post_result_(call, MMX_CALL_FAILED);
		forget_(call);
	} else if (body->end) {
		begin_(call);
	}
}

/*
 * Closing the connection of a call that was in progress when the stop was
 * announced interrupts it, unless its entry gave it up.
 */
static void on_cancel_(node_t *node, const mmx_attempt_id_t *attempt)
{
	call_t *call = find_call_(node, attempt);
	world_t *world = node->world;

	if (!call)
		return;
	if (call->target->stop_at != MMX_TIME_NEVER && call->heard &&
	    call->whole && !g_hash_table_contains(world->cancelled, call->key))
		world_break(world, GUARANTEE_STOP, call->request,
			    "%s was cut at %s during its planned stop",
			    call->key, call->target->name);
	call->heard = false;
	if (!call->whole)
		forget_(call);
}

static void handle_(mmx_task_t *task, mmx_message_t *message)
{
	node_t *node = ((node_task_t *)task)->node;

	switch ((mmx_message_kind_t)message->ops->kind) {
	case MMX_MESSAGE_CALL:
		on_call_(node, (mmx_call_t *)message);
		break;
	case MMX_MESSAGE_BODY:
		on_body_(node, (mmx_body_t *)message);
		break;
	case MMX_MESSAGE_CALL_CANCEL:
		on_cancel_(node, &((mmx_call_cancel_t *)message)->attempt);
		break;
	default:
		break;
	}
	mmx_message_destroy(message);
}

static const mmx_task_ops_t ops_ = {"client", handle_};

void target_init_node(node_t *node)
{
	node->client.node = node;
	mmx_task_init(&node->client.task, &ops_, node->runtime);
}

/* --- announcements ----------------------------------------------------- */

static void post_announcement_(target_t *target, mmx_target_state_t state)
{
	mmx_target_announced_t *announced;

	if (!target->node->up)
		return;
	announced = mmx_new_target_announced();
	g_strlcpy(announced->name, target->name, sizeof(announced->name));
	g_strlcpy(announced->service, target->service,
		  sizeof(announced->service));
	g_strlcpy(announced->address.host, "127.0.0.1",
		  sizeof(announced->address.host));
	announced->address.port = (uint16_t)(target->index + 1);
	announced->slots = target->slots;
	announced->state = state;
	announced->lease = LEASE_US;
	mmx_task_post(mmx_exit_task(target->node->exit), &announced->message);
}

static void renew_(void *arg)
{
	target_t *target = arg;

	target_announce(target);
	world_after(target->world, LEASE_US / 3, renew_, target, NULL);
}

void target_announce(target_t *target)
{
	if (!target->up)
		return;
	target->state = world_now(target->world) < target->cold_until
				? MMX_TARGET_COLD
				: MMX_TARGET_WARM;
	post_announcement_(target, target->state);
}

void target_stop_planned(target_t *target)
{
	node_t *node = target->node;

	if (!node->up || node->paused)
		return;
	if (mmx_exit_stop_target(node->exit, target->name)) {
		world_trace(target->world, 0, "planned stop of %s/%s",
			    node->name, target->name);
		target->stop_at =
			MIN(target->stop_at, world_now(target->world));
	}
}

void target_down(target_t *target)
{
	GHashTableIter iter;
	gpointer value;

	if (!target->up)
		return;
	world_trace(target->world, 0, "%s dies", target->name);
	target->up = false;
	target->running = 0;
	g_queue_clear(target->waiting);
	g_hash_table_iter_init(&iter, target->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		((call_t *)value)->running = false;
		break_off_(value);
		g_hash_table_iter_remove(&iter);
		release_(value);
	}
}

void target_up(target_t *target, mmx_time_t cold)
{
	if (target->up)
		return;
	world_trace(target->world, 0, "%s starts", target->name);
	target->up = true;
	target->cold_until = world_now(target->world) + cold;
	/* The new process ends a planned stop, after leaving for good. */
	target->stop_at = MMX_TIME_NEVER;
	post_announcement_(target, MMX_TARGET_GONE);
	target_announce(target);
}

void target_set_stall(target_t *target, bool stall)
{
	world_trace(target->world, 0, "%s %s", target->name,
		    stall ? "stalls" : "goes on");
	target->stall = stall;
}

void target_node_lost(node_t *node)
{
	unsigned int i;

	/* The next process doesn't know of a planned stop. */
	for (i = 0; i < node->world->target_count; i++)
		if (node->world->targets[i].node == node)
			node->world->targets[i].stop_at = MMX_TIME_NEVER;
	mmx_task_finish(&node->client.task);
}

/* --- life -------------------------------------------------------------- */

target_t *target_add(world_t *world, node_t *node, const char *service)
{
	target_t *target = &world->targets[world->target_count];

	g_assert(world->target_count < TARGETS_MAX);
	target->world = world;
	target->node = node;
	target->index = world->target_count++;
	g_snprintf(target->name, sizeof(target->name), "t%u",
		   target->index + 1);
	g_strlcpy(target->service, service, sizeof(target->service));
	target->slots = 3;
	target->spread = SPREAD_EXPONENTIAL;
	target->mean = 20 * MMX_US_PER_MS;
	target->up = true;
	target->slow = 1;
	target->stop_at = MMX_TIME_NEVER;
	target->waiting = g_queue_new();
	target->calls = g_hash_table_new(g_str_hash, g_str_equal);
	world_after(world, 0, renew_, target, NULL);
	return target;
}

void target_finish(target_t *target)
{
	GHashTableIter iter;
	gpointer value;

	g_queue_free(target->waiting);
	g_hash_table_iter_init(&iter, target->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		g_hash_table_iter_steal(&iter);
		release_(value);
	}
	g_hash_table_destroy(target->calls);
}
