/*
 * Loopback tests of the task peer. They run the real event loop until a
 * condition holds; the limit on loop turns only ends a hanging test.
 */
#include "suites.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>
#include <string.h>

#include "private/peer.h"
#include "private/wire.h"

/* One wall-clock guard per condition: far above any expected time. */
#define GUARD_S 20
#define INCARNATION 1700000000000000ULL

typedef struct inbox_t {
	mmx_task_t task;
	mmx_message_list_t list;
	size_t count;
} inbox_t;

typedef struct node_t {
	mmx_peer_resolver_t resolver;
	struct world_t *world;
	const char *name;
	mmx_peer_t *peer;
	mmx_counters_t *counters;
	inbox_t entry;
	inbox_t exit;
} node_t;

typedef struct world_t {
	struct event_base *base;
	mmx_runtime_t *runtime;
	mmx_random_t random;
	node_t nodes[2];
	uint16_t detour; /* port that stands for node 1, or 0 */
} world_t;

static const mmx_fleet_key_t keys_[2] = {
	{.id = "new", .secret = {1, 2, 3}},
	{.id = "old", .secret = {4, 5, 6}},
};

static void collect_(mmx_task_t *task, mmx_message_t *message)
{
	inbox_t *inbox = (inbox_t *)task;

	STAILQ_INSERT_TAIL(&inbox->list, message, entry);
	inbox->count++;
}

static const mmx_task_ops_t inbox_ops_ = {"inbox", collect_};

static bool resolve_(mmx_peer_resolver_t *resolver, mmx_node_id_t id,
		     mmx_address_t *address, mmx_incarnation_t *incarnation)
{
	world_t *world = ((node_t *)resolver)->world;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(world->nodes); i++) {
		if (mmx_node_id(world->nodes[i].name) != id)
			continue;
		strcpy(address->host, "127.0.0.1");
		address->port = mmx_peer_port(world->nodes[i].peer);
		if (i == 1 && world->detour)
			address->port = world->detour;
		*incarnation = INCARNATION;
		return true;
	}
	return false;
}

static const mmx_peer_resolver_ops_t resolver_ops_ = {resolve_};

static void init_inbox_(inbox_t *inbox, mmx_runtime_t *runtime)
{
	mmx_task_init(&inbox->task, &inbox_ops_, runtime);
	STAILQ_INIT(&inbox->list);
}

static void add_node_(world_t *world, node_t *node, const char *name,
		      const mmx_fleet_key_t *keys, size_t key_count)
{
	mmx_peer_config_t config = {
		.node_name = name,
		.incarnation = INCARNATION,
		.keys = keys,
		.key_count = key_count,
		.listen = {.host = "127.0.0.1"},
		.resolver = &node->resolver,
		.entry = &node->entry.task,
		.exit = &node->exit.task,
		.random = &world->random,
	};
	mmx_error_t error;

	node->resolver.ops = &resolver_ops_;
	node->world = world;
	node->name = name;
	node->counters = mmx_counters_create();
	config.counters = node->counters;
	init_inbox_(&node->entry, world->runtime);
	init_inbox_(&node->exit, world->runtime);
	node->peer = mmx_peer_create(world->runtime, &config);
	CU_ASSERT_TRUE(mmx_peer_start(node->peer, &error));
}

static world_t *create_world_(const mmx_fleet_key_t *keys, size_t key_count)
{
	world_t *world = g_new0(world_t, 1);

	world->base = event_base_new();
	world->runtime = mmx_runtime_create(world->base);
	mmx_random_seed(&world->random, 1);
	add_node_(world, &world->nodes[0], "node-a", keys, key_count);
	add_node_(world, &world->nodes[1], "node-b", keys, key_count);
	return world;
}

static void empty_(inbox_t *inbox)
{
	mmx_message_t *message;

	while ((message = STAILQ_FIRST(&inbox->list))) {
		STAILQ_REMOVE_HEAD(&inbox->list, entry);
		mmx_message_destroy(message);
	}
	inbox->count = 0;
}

static void destroy_world_(world_t *world)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(world->nodes); i++) {
		mmx_peer_destroy(world->nodes[i].peer);
		mmx_counters_destroy(world->nodes[i].counters);
		empty_(&world->nodes[i].entry);
		empty_(&world->nodes[i].exit);
	}
	mmx_runtime_destroy(world->runtime);
	event_base_free(world->base);
	g_free(world);
}

/* Runs the loop until the inbox has a message; NULL if none comes. */
static mmx_message_t *wait_(world_t *world, inbox_t *inbox)
{
	gint64 end = g_get_monotonic_time() + GUARD_S * G_USEC_PER_SEC;
	mmx_message_t *message;

	while (inbox->count == 0 && g_get_monotonic_time() < end)
		event_base_loop(world->base, EVLOOP_ONCE);
	CU_ASSERT_NOT_EQUAL_FATAL(inbox->count, 0);
	message = STAILQ_FIRST(&inbox->list);
	STAILQ_REMOVE_HEAD(&inbox->list, entry);
	inbox->count--;
	return message;
}

static void *expect_(world_t *world, inbox_t *inbox, mmx_message_kind_t kind)
{
	mmx_message_t *message = wait_(world, inbox);

	CU_ASSERT_EQUAL_FATAL(message->ops->kind, (int)kind);
	return message;
}

static mmx_execute_t *new_execute_(uint64_t sequence)
{
	mmx_execute_t *execute = mmx_new_execute();

	execute->attempt = (mmx_attempt_id_t){mmx_node_id("node-a"),
					      INCARNATION, sequence};
	execute->exit = mmx_node_id("node-b");
	execute->exit_incarnation = INCARNATION;
	strcpy(execute->service, "jobs");
	execute->remaining = MMX_US_PER_S;
	execute->head = mmx_head_create_request("POST", "/cards/7");
	mmx_head_add(execute->head, "Host", "jobs");
	evbuffer_add(execute->body, "hello", 5);
	execute->body_end = true;
	return execute;
}

static void answer_(world_t *world, mmx_execute_t *execute)
{
	mmx_response_t *response = mmx_new_response(&execute->attempt);

	response->origin = execute->origin;
	response->head = mmx_head_create_response(200);
	response->body_end = true;
	evbuffer_add_buffer(response->body, execute->body);
	mmx_task_post(execute->origin.task, &response->message);
	mmx_message_destroy(&execute->message);
}

static void exchange_(world_t *world, uint64_t sequence)
{
	mmx_task_t *peer = mmx_peer_task(world->nodes[0].peer);
	mmx_response_t *response;
	mmx_execute_t *execute;

	mmx_task_post(peer, &new_execute_(sequence)->message);
	execute = expect_(world, &world->nodes[1].exit, MMX_MESSAGE_EXECUTE);
	CU_ASSERT_EQUAL(execute->attempt.sequence, sequence);
	CU_ASSERT_STRING_EQUAL(execute->head->uri, "/cards/7");
	CU_ASSERT_EQUAL(evbuffer_get_length(execute->body), 5);
	CU_ASSERT_TRUE(execute->body_end);
	answer_(world, execute);
	response = expect_(world, &world->nodes[0].entry, MMX_MESSAGE_RESPONSE);
	CU_ASSERT_EQUAL(response->attempt.sequence, sequence);
	CU_ASSERT_EQUAL(response->reason, MMX_REASON_NONE);
	CU_ASSERT_EQUAL(response->exit, mmx_node_id("node-b"));
	CU_ASSERT_EQUAL(response->head->status, 200);
	CU_ASSERT_EQUAL(evbuffer_get_length(response->body), 5);
	mmx_message_destroy(&response->message);
}

/* Guards against requests or responses that are lost or changed on the way,
 * with and without fleet keys. */
static void test_exchange_(void)
{
	size_t key_count;
	world_t *world;

	for (key_count = 0; key_count <= MMX_FLEET_KEYS_MAX; key_count++) {
		world = create_world_(keys_, key_count);
		exchange_(world, 1);
		exchange_(world, 2);
		CU_ASSERT_EQUAL(mmx_peer_connection_count(world->nodes[0].peer),
				1);
		destroy_world_(world);
	}
}

CU_TestInfo mmx_tests_peer[] = {
	{"execute and response cross", test_exchange_},
	CU_TEST_INFO_NULL,
};
