#include "peer_world.h"

#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>
#include <string.h>

/* Ends a hanging test; far above any expected time. */
#define GUARD_S 30

const mmx_peer_times_t mmx_test_times = {
	.connect = 10 * MMX_US_PER_S,
	.greeting = 10 * MMX_US_PER_S,
	.null_interval = 5 * MMX_US_PER_MS,
	.path = 10 * MMX_US_PER_S,
	.origin = 10 * MMX_US_PER_S,
	.silent_age = 10 * MMX_US_PER_S,
	.record = 10 * MMX_US_PER_S,
	.idle = 10 * MMX_US_PER_S,
	.backoff_min = 10 * MMX_US_PER_S,
	.backoff_max = 10 * MMX_US_PER_S,
	.fence_retry = 20 * MMX_US_PER_MS,
};

/* Relay. */

typedef struct pair_t {
	LIST_ENTRY(pair_t) entry;
	struct bufferevent *side[2];
} pair_t;

struct mmx_test_relay_t {
	struct event_base *base;
	struct evconnlistener *listener;
	struct sockaddr_in target;
	uint16_t port;
	LIST_HEAD(pair_list_t, pair_t) pairs;
};

static void free_pair_(pair_t *pair)
{
	LIST_REMOVE(pair, entry);
	bufferevent_free(pair->side[0]);
	bufferevent_free(pair->side[1]);
	g_free(pair);
}

static void forward_(struct bufferevent *from, void *arg)
{
	pair_t *pair = arg;
	struct bufferevent *to =
		from == pair->side[0] ? pair->side[1] : pair->side[0];

	bufferevent_write_buffer(to, bufferevent_get_input(from));
}

static void on_pair_event_(struct bufferevent *from, short what, void *arg)
{
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		free_pair_(arg);
}

static void on_relay_accept_(struct evconnlistener *listener,
			     evutil_socket_t fd, struct sockaddr *address,
			     int size, void *arg)
{
	mmx_test_relay_t *relay = arg;
	pair_t *pair = g_new0(pair_t, 1);
	int i;

	LIST_INSERT_HEAD(&relay->pairs, pair, entry);
	pair->side[0] =
		bufferevent_socket_new(relay->base, fd, BEV_OPT_CLOSE_ON_FREE);
	pair->side[1] =
		bufferevent_socket_new(relay->base, -1, BEV_OPT_CLOSE_ON_FREE);
	for (i = 0; i < 2; i++) {
		bufferevent_setcb(pair->side[i], forward_, NULL, on_pair_event_,
				  pair);
		bufferevent_enable(pair->side[i], EV_READ | EV_WRITE);
	}
	bufferevent_socket_connect(pair->side[1],
				   (struct sockaddr *)&relay->target,
				   sizeof(relay->target));
}

static mmx_test_relay_t *create_relay_(struct event_base *base, uint16_t port)
{
	mmx_test_relay_t *relay = g_new0(mmx_test_relay_t, 1);
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	relay->base = base;
	relay->target = address;
	relay->target.sin_port = htons(port);
	LIST_INIT(&relay->pairs);
	relay->listener = evconnlistener_new_bind(
		base, on_relay_accept_, relay, LEV_OPT_CLOSE_ON_FREE, 16,
		(struct sockaddr *)&address, sizeof(address));
	getsockname(evconnlistener_get_fd(relay->listener),
		    (struct sockaddr *)&address, &size);
	relay->port = ntohs(address.sin_port);
	return relay;
}

static void destroy_relay_(mmx_test_relay_t *relay)
{
	if (!relay)
		return;
	mmx_test_relay_cut(relay);
	evconnlistener_free(relay->listener);
	g_free(relay);
}

void mmx_test_relay_freeze(mmx_test_relay_t *relay)
{
	pair_t *pair;

	LIST_FOREACH (pair, &relay->pairs, entry) {
		bufferevent_disable(pair->side[0], EV_READ);
		bufferevent_disable(pair->side[1], EV_READ);
	}
}

void mmx_test_relay_thaw(mmx_test_relay_t *relay)
{
	pair_t *pair;

	LIST_FOREACH (pair, &relay->pairs, entry) {
		bufferevent_enable(pair->side[0], EV_READ);
		bufferevent_enable(pair->side[1], EV_READ);
	}
}

void mmx_test_relay_cut(mmx_test_relay_t *relay)
{
	pair_t *pair = LIST_FIRST(&relay->pairs);
	pair_t *next;

	for (; pair; pair = next) {
		next = LIST_NEXT(pair, entry);
		free_pair_(pair);
	}
}

/* World. */

static void collect_(mmx_task_t *task, mmx_message_t *message)
{
	mmx_test_inbox_t *inbox = (mmx_test_inbox_t *)task;

	STAILQ_INSERT_TAIL(&inbox->list, message, entry);
	inbox->count++;
}

static const mmx_task_ops_t inbox_ops_ = {"inbox", collect_};

static bool resolve_(mmx_peer_resolver_t *resolver, mmx_node_id_t id,
		     mmx_address_t *address, mmx_incarnation_t *incarnation)
{
	mmx_test_world_t *world = ((mmx_test_node_t *)resolver)->world;

	if (id != world->b.id)
		return false;
	strcpy(address->host, "127.0.0.1");
	address->port = world->port_of_b ? world->port_of_b
					 : mmx_peer_port(world->b.peer);
	*incarnation = MMX_TEST_INCARNATION;
	return true;
}

static const mmx_peer_resolver_ops_t resolver_ops_ = {.resolve = resolve_};

static void init_inbox_(mmx_test_inbox_t *inbox, mmx_runtime_t *runtime)
{
	mmx_task_init(&inbox->task, &inbox_ops_, runtime);
	STAILQ_INIT(&inbox->list);
}

static void add_node_(mmx_test_world_t *world, mmx_test_node_t *node,
		      const char *name, mmx_peer_config_t *config)
{
	node->resolver.ops = &resolver_ops_;
	node->world = world;
	node->name = name;
	node->id = mmx_node_id(name);
	node->counters = mmx_counters_create();
	init_inbox_(&node->entry, world->runtime);
	init_inbox_(&node->exit, world->runtime);
	config->node_name = name;
	config->incarnation = MMX_TEST_INCARNATION;
	config->listen = (mmx_address_t){.host = "127.0.0.1"};
	config->resolver = &node->resolver;
	config->entry = &node->entry.task;
	config->exit = &node->exit.task;
	config->counters = node->counters;
	config->random = &world->random;
	node->peer = mmx_peer_create(world->runtime, config);
	CU_ASSERT_TRUE_FATAL(mmx_peer_start(node->peer, NULL));
}

mmx_test_world_t *mmx_test_world_create(const mmx_test_options_t *options)
{
	mmx_test_world_t *world = g_new0(mmx_test_world_t, 1);
	mmx_peer_config_t config = {
		.times = options->times ? options->times : &mmx_test_times,
	};

	world->base = event_base_new();
	world->runtime = mmx_runtime_create(world->base);
	mmx_random_seed(&world->random, 1);
	config.keys = options->keys_a;
	config.key_count = options->key_count_a;
	add_node_(world, &world->a, "node-a", &config);
	config.keys = options->keys_b;
	config.key_count = options->key_count_b;
	add_node_(world, &world->b, "node-b", &config);
	if (!options->relay)
		return world;
	world->relay = create_relay_(world->base, mmx_peer_port(world->b.peer));
	world->port_of_b = world->relay->port;
	return world;
}

static void destroy_node_(mmx_test_node_t *node)
{
	mmx_message_t *message;

	mmx_peer_destroy(node->peer);
	mmx_counters_destroy(node->counters);
	STAILQ_CONCAT(&node->entry.list, &node->exit.list);
	while ((message = STAILQ_FIRST(&node->entry.list))) {
		STAILQ_REMOVE_HEAD(&node->entry.list, entry);
		mmx_message_destroy(message);
	}
}

void mmx_test_world_destroy(mmx_test_world_t *world)
{
	destroy_node_(&world->a);
	destroy_node_(&world->b);
	destroy_relay_(world->relay);
	mmx_runtime_destroy(world->runtime);
	event_base_free(world->base);
	g_free(world);
}

void mmx_test_run(mmx_test_world_t *world, bool (*done)(void *arg), void *arg)
{
	gint64 end = g_get_monotonic_time() + GUARD_S * G_USEC_PER_SEC;

	while (!done(arg) && g_get_monotonic_time() < end)
		event_base_loop(world->base, EVLOOP_ONCE);
	CU_ASSERT_TRUE_FATAL(done(arg));
}

static bool has_message_(void *arg)
{
	return ((mmx_test_inbox_t *)arg)->count > 0;
}

void *mmx_test_expect(mmx_test_world_t *world, mmx_test_inbox_t *inbox,
		      mmx_message_kind_t kind)
{
	mmx_message_t *message;

	mmx_test_run(world, has_message_, inbox);
	message = STAILQ_FIRST(&inbox->list);
	STAILQ_REMOVE_HEAD(&inbox->list, entry);
	inbox->count--;
	CU_ASSERT_EQUAL_FATAL(message->ops->kind, (int)kind);
	return message;
}

typedef struct counter_wait_t {
	const mmx_counter_t *counter;
	int64_t value;
} counter_wait_t;

static bool is_reached_(void *arg)
{
	const counter_wait_t *wait = arg;

	return wait->counter->value >= wait->value;
}

static mmx_counter_t *counter_(mmx_test_node_t *node, const char *name,
			       const char *labels)
{
	return mmx_counters_get(node->counters, MMX_COUNTER, name, labels, "");
}

void mmx_test_until(mmx_test_world_t *world, mmx_test_node_t *node,
		    const char *name, const char *labels, int64_t value)
{
	counter_wait_t wait = {counter_(node, name, labels), value};

	mmx_test_run(world, is_reached_, &wait);
}

int64_t mmx_test_counter(mmx_test_node_t *node, const char *name,
			 const char *labels)
{
	return counter_(node, name, labels)->value;
}

/* Messages. */

static mmx_attempt_id_t attempt_(uint64_t sequence)
{
	return (mmx_attempt_id_t){mmx_node_id("node-a"), MMX_TEST_INCARNATION,
				  sequence};
}

mmx_execute_t *mmx_test_execute(uint64_t sequence)
{
	mmx_execute_t *execute = mmx_new_execute();

	execute->attempt = attempt_(sequence);
	execute->exit = mmx_node_id("node-b");
	execute->exit_incarnation = MMX_TEST_INCARNATION;
	strcpy(execute->service, "jobs");
	execute->remaining = MMX_US_PER_S;
	execute->head = mmx_head_create_request("POST", "/cards/7");
	mmx_head_add(execute->head, "Host", "jobs");
	evbuffer_add(execute->body, "hello", 5);
	execute->body_end = true;
	return execute;
}

mmx_execute_t *mmx_test_deliver(mmx_test_world_t *world, uint64_t sequence)
{
	mmx_execute_t *execute;

	mmx_task_post(mmx_peer_task(world->a.peer),
		      &mmx_test_execute(sequence)->message);
	execute = mmx_test_expect(world, &world->b.exit, MMX_MESSAGE_EXECUTE);
	CU_ASSERT_EQUAL(execute->attempt.sequence, sequence);
	return execute;
}

void mmx_test_answer(mmx_execute_t *execute)
{
	mmx_response_t *response = mmx_new_response(&execute->attempt);

	response->origin = execute->origin;
	response->head = mmx_head_create_response(200);
	response->body_end = true;
	evbuffer_add_buffer(response->body, execute->body);
	mmx_task_post(execute->origin.task, &response->message);
	mmx_message_destroy(&execute->message);
}

mmx_fence_t *mmx_test_fence(uint64_t sequence)
{
	mmx_attempt_id_t attempt = attempt_(sequence);
	mmx_fence_t *fence = mmx_new_fence(&attempt);

	fence->exit = mmx_node_id("node-b");
	fence->exit_incarnation = MMX_TEST_INCARNATION;
	return fence;
}
