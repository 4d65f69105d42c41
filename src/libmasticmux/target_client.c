#include "private/target_client.h"

#include <assert.h>
#include <glib.h>

#include "private/target_connection.h"

#define CONNECTIONS_MAX 512 /* to one address */
#define CONNECT_TIMEOUT_US (1 * MMX_US_PER_S)
#define IDLE_TIMEOUT_US (30 * MMX_US_PER_S)
/* 2^64 divided by the golden ratio: spreads consecutive numbers. */
#define HASH_MULTIPLIER 0x9e3779b97f4a7c15ULL

struct mmx_target_client_t {
	mmx_task_t task;
	mmx_target_shared_t shared;
	size_t connections_max; /* to one address */
	/* of connections for calls that may not be repeated, microseconds */
	mmx_time_t nonrepeatable_idle_max;
	bool initialised;
};

static guint hash_attempt_(gconstpointer key)
{
	const mmx_attempt_id_t *id = key;
	uint64_t hash =
		id->sequence * HASH_MULTIPLIER ^ id->entry ^ id->incarnation;

	return (guint)(hash ^ (hash >> 32));
}

static gboolean attempts_are_equal_(gconstpointer a, gconstpointer b)
{
	return mmx_attempt_id_is_equal(a, b);
}

static void free_pool_(gpointer data)
{
	mmx_target_pool_t *pool = data;

	assert(pool->count == 0);
	g_free(pool->key);
	g_free(pool);
}

static mmx_target_pool_t *get_pool_(mmx_target_client_t *client,
				    const mmx_address_t *address)
{
	char key[MMX_ADDRESS_MAX + 9];
	mmx_target_pool_t *pool;

	snprintf(key, sizeof(key), "%s %u", address->host, address->port);
	pool = g_hash_table_lookup(client->shared.pools, key);
	if (!pool) {
		pool = g_new0(mmx_target_pool_t, 1);
		pool->key = g_strdup(key);
		TAILQ_INIT(&pool->idle);
		g_hash_table_insert(client->shared.pools, pool->key, pool);
	}
	return pool;
}

static mmx_target_connection_t *
acquire_connection_(mmx_target_client_t *client, const mmx_address_t *address,
		    bool repeatable)
{
	mmx_target_pool_t *pool = get_pool_(client, address);
	mmx_target_connection_t *connection = NULL;

	/* On a connection that is not new, a rejection without an id would
	 * leave open whether the request has run. */
	if (repeatable || !pool->rejects_without_id)
		connection = mmx_target_connection_reuse(
			&client->shared, pool,
			repeatable ? MMX_TIME_NEVER
				   : client->nonrepeatable_idle_max);
	if (connection)
		return connection;
	if (pool->count >= client->connections_max)
		return NULL;
	return mmx_target_connection_open(&client->shared, pool, address);
}

static void handle_call_(mmx_target_client_t *client, mmx_call_t *call)
{
	mmx_target_connection_t *connection = NULL;

	assert(client->initialised);
	assert(!g_hash_table_contains(client->shared.calls, &call->attempt));
	if (call->remaining > 0)
		connection = acquire_connection_(client, &call->address,
						 call->repeatable);
	if (connection)
		mmx_target_connection_start_call(connection, call);
	else
		mmx_target_post_result(&client->shared, &call->attempt,
				       MMX_CALL_NOT_SENT);
}

static mmx_target_connection_t *find_call_(mmx_target_client_t *client,
					   const mmx_attempt_id_t *attempt)
{
	mmx_target_connection_t *connection =
		g_hash_table_lookup(client->shared.calls, attempt);

	if (!connection)
		mmx_counter_add(client->shared.stale_messages, 1);
	return connection;
}

static void handle_body_(mmx_target_client_t *client, mmx_body_t *body)
{
	mmx_target_connection_t *connection =
		find_call_(client, &body->attempt);

	assert(body->direction == MMX_TO_TARGET);
	if (connection)
		mmx_target_connection_add_body(connection, body);
}

static void handle_window_(mmx_target_client_t *client, mmx_window_t *window)
{
	mmx_target_connection_t *connection =
		find_call_(client, &window->attempt);

	assert(window->direction == MMX_TO_CALLER);
	if (connection)
		mmx_target_connection_add_credit(connection, window->credit);
}

static void handle_cancel_(mmx_target_client_t *client,
			   mmx_call_cancel_t *cancel)
{
	mmx_target_connection_t *connection =
		find_call_(client, &cancel->attempt);

	if (connection)
		mmx_target_connection_close(connection);
}

static void handle_message_(mmx_task_t *task, mmx_message_t *message)
{
	mmx_target_client_t *client = (mmx_target_client_t *)task;

	switch (message->ops->kind) {
	case MMX_MESSAGE_CALL:
		handle_call_(client, (mmx_call_t *)message);
		break;
	case MMX_MESSAGE_BODY:
		handle_body_(client, (mmx_body_t *)message);
		break;
	case MMX_MESSAGE_WINDOW:
		handle_window_(client, (mmx_window_t *)message);
		break;
	case MMX_MESSAGE_CALL_CANCEL:
		handle_cancel_(client, (mmx_call_cancel_t *)message);
		break;
	default:
		assert(!"message kind that target_client does not take");
	}
	mmx_message_destroy(message);
}

static const mmx_task_ops_t ops_ = {"target_client", handle_message_};

static void register_counters_(mmx_target_client_t *client,
			       mmx_counters_t *counters)
{
	char labels[64];
	int i;

	client->shared.connection_gauge = mmx_counters_get(
		counters, MMX_GAUGE, "masticmux_target_connections", "",
		"Open connections to targets.");
	client->shared.connects = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_target_connects_total", "",
		"Connections opened to targets.");
	client->shared.reuses = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_target_reuses_total", "",
		"Calls on a connection that was open.");
	client->shared.stale_messages = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_target_stale_messages_total",
		"", "Messages for calls that had ended.");
	client->shared.truncated_bodies = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_target_broken_bodies_total",
		"", "Responses that broke off after their head.");
	client->shared.late_copies = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_target_late_copies_total", "",
		"Second copies of an answer, dropped before the next one.");
	for (i = 0; i < MMX_CALL_RESULT_COUNT; i++) {
		snprintf(labels, sizeof(labels), "result=\"%s\"",
			 mmx_call_result_string[i]);
		client->shared.results[i] = mmx_counters_get(
			counters, MMX_COUNTER, "masticmux_target_calls_total",
			labels, "Calls of targets by result.");
	}
}

mmx_target_client_t *mmx_target_client_create(mmx_runtime_t *runtime,
					      mmx_task_t *exit,
					      mmx_counters_t *counters)
{
	mmx_target_client_t *client = g_new0(mmx_target_client_t, 1);

	assert(mmx_runtime_base(runtime) && exit);
	mmx_task_init(&client->task, &ops_, runtime);
	client->shared.exit = exit;
	client->shared.header_names = &mmx_header_names_default;
	client->shared.base = mmx_runtime_base(runtime);
	client->shared.clock = mmx_runtime_clock(runtime);
	client->connections_max = CONNECTIONS_MAX;
	client->nonrepeatable_idle_max = MMX_TIME_NEVER;
	client->shared.connect_timeout = CONNECT_TIMEOUT_US;
	client->shared.idle_timeout = IDLE_TIMEOUT_US;
	client->shared.pools = g_hash_table_new_full(g_str_hash, g_str_equal,
						     NULL, free_pool_);
	client->shared.calls =
		g_hash_table_new(hash_attempt_, attempts_are_equal_);
	LIST_INIT(&client->shared.connections);
	if (counters)
		register_counters_(client, counters);
	return client;
}

void mmx_target_client_destroy(mmx_target_client_t *client)
{
	mmx_target_connection_t *connection;

	if (!client)
		return;
	while ((connection = LIST_FIRST(&client->shared.connections)))
		mmx_target_connection_close(connection);
	g_hash_table_destroy(client->shared.calls);
	g_hash_table_destroy(client->shared.pools);
	mmx_task_finish(&client->task);
	g_free(client);
}

bool mmx_target_client_set_connections_max(mmx_target_client_t *client,
					   size_t max)
{
	assert(max > 0);
	if (client->initialised)
		return false;
	client->connections_max = max;
	return true;
}

bool mmx_target_client_set_connect_timeout(mmx_target_client_t *client,
					   mmx_time_t timeout)
{
	assert(timeout > 0);
	if (client->initialised)
		return false;
	client->shared.connect_timeout = timeout;
	return true;
}

bool mmx_target_client_set_idle_timeout(mmx_target_client_t *client,
					mmx_time_t timeout)
{
	assert(timeout > 0);
	if (client->initialised)
		return false;
	client->shared.idle_timeout = timeout;
	return true;
}

bool mmx_target_client_set_nonrepeatable_idle_max(mmx_target_client_t *client,
						  mmx_time_t idle)
{
	assert(idle >= 0);
	if (client->initialised)
		return false;
	client->nonrepeatable_idle_max = idle;
	return true;
}

bool mmx_target_client_set_header_names(mmx_target_client_t *client,
					const mmx_header_names_t *header_names)
{
	if (client->initialised)
		return false;
	client->shared.header_names = header_names;
	return true;
}

void mmx_target_client_init(mmx_target_client_t *client)
{
	assert(!client->initialised);
	client->initialised = true;
}

mmx_task_t *mmx_target_client_task(mmx_target_client_t *client)
{
	return &client->task;
}

size_t mmx_target_client_call_count(const mmx_target_client_t *client)
{
	return g_hash_table_size(client->shared.calls);
}

size_t mmx_target_client_connection_count(const mmx_target_client_t *client)
{
	return client->shared.connection_count;
}
