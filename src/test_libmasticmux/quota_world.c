#include "quota_world.h"

#include <string.h>
#include <xxhash.h>

typedef struct message_t {
	mmx_time_t due;
	size_t from;
	size_t to;
	bool is_answer;
	unsigned int incarnation; /* of the node that asked */
	uint64_t call;
	uint8_t *bytes; /* NULL: refused */
	size_t length;
} message_t;

typedef struct request_t {
	quota_node_t *node;
	size_t account;
	mmx_time_t since;
} request_t;

static void free_message_(gpointer data)
{
	message_t *message = data;

	g_free(message->bytes);
	g_free(message);
}

static gint compare_due_(gconstpointer a, gconstpointer b, gpointer data)
{
	const message_t *first = a;
	const message_t *second = b;

	(void)data;
	return first->due < second->due ? -1 : first->due > second->due;
}

static void send_(quota_world_t *world, const message_t *message,
		  const uint8_t *bytes)
{
	message_t *copy;

	world->message_count++;
	world->byte_count += message->length;
	if (world->cut[message->from][message->to] ||
	    mmx_random_below(&world->random, 100) < world->loss)
		return;
	copy = g_memdup2(message, sizeof(*message));
	copy->bytes = g_memdup2(bytes, message->length);
	if (bytes && !copy->bytes)
		copy->bytes = g_malloc0(1);
	copy->due = world->now + MMX_US_PER_MS +
		    (mmx_time_t)mmx_random_below(&world->random,
						 (uint64_t)world->latency_max);
	g_queue_insert_sorted(&world->messages, copy, compare_due_, NULL);
}

static size_t find_(const quota_world_t *world, mmx_node_id_t id)
{
	size_t i;

	for (i = 0; i < world->count; i++)
		if (world->nodes[i].id == id)
			return i;
	return 0;
}

static void send_ask_(void *context, mmx_node_id_t node, uint64_t call,
		      const uint8_t *bytes, size_t length)
{
	quota_node_t *self = context;
	const message_t message = {
		.from = self->index,
		.to = find_(self->world, node),
		.incarnation = self->incarnation,
		.call = call,
		.length = length,
	};

	send_(self->world, &message, bytes);
}

static void send_answer_(void *context, const mmx_peer_ticket_t *ticket,
			 const uint8_t *bytes, size_t length)
{
	quota_node_t *self = context;
	const message_t message = {
		.from = self->index,
		.to = find_(self->world, ticket->caller),
		.is_answer = true,
		.incarnation = ticket->xid,
		.call = ticket->connection,
		.length = length,
	};

	send_(self->world, &message, bytes);
}

static void list_nodes_(void *context, GArray *nodes)
{
	const quota_node_t *self = context;
	size_t i;

	for (i = 0; i < self->world->count; i++)
		if (self->world->nodes[i].listed &&
		    self->world->nodes[i].group == self->group)
			g_array_append_val(nodes, self->world->nodes[i].id);
}

static quota_account_t *find_account_(quota_world_t *world, const char *name)
{
	size_t i;

	for (i = 0; i < world->account_count; i++)
		if (strcmp(world->accounts[i].name, name) == 0)
			return &world->accounts[i];
	return NULL;
}

static const mmx_quota_limit_t *limit_at_(const quota_node_t *node,
					  const quota_account_t *account)
{
	return node->version >= account->limit.version ? &account->limit
						       : &account->old_limit;
}

static bool find_limit_(void *context, const char *name,
			mmx_quota_limit_t *limit)
{
	const quota_node_t *self = context;
	quota_account_t *account = find_account_(self->world, name);

	*limit = account ? *limit_at_(self, account)
			 : (mmx_quota_limit_t){.version = self->version};
	return true;
}

static void record_(quota_node_t *node, quota_account_t *account,
		    mmx_quota_result_t result, mmx_time_t retry_after)
{
	quota_world_t *world = node->world;

	if (result == MMX_QUOTA_REFUSED) {
		account->refused++;
		account->last_retry = retry_after;
		return;
	}
	if (mmx_random_below(&world->random, 100) < world->returned_percent) {
		mmx_quota_give_back(node->quota, account->name,
				    mmx_clock_now(node->clock));
		return;
	}
	g_array_append_val(account->grants, world->now);
}

static void decided_(void *context, void *arg, mmx_quota_result_t result,
		     mmx_time_t retry_after)
{
	quota_node_t *self = context;
	quota_world_t *world = self->world;
	request_t *request = arg;
	mmx_time_t since = MAX(request->since, self->thawed_at);

	world->longest_wait = MAX(world->longest_wait, world->now - since);
	record_(self, &world->accounts[request->account], result, retry_after);
	g_ptr_array_remove_fast(world->pending, request);
}

static void on_event_(void *context, const char *account,
		      mmx_quota_event_t event, mmx_node_id_t node)
{
	quota_node_t *self = context;

	(void)account;
	(void)node;
	self->world->events[event]++;
}

static const mmx_quota_ops_t ops_ = {
	.send_ask = send_ask_,
	.send_answer = send_answer_,
	.list_nodes = list_nodes_,
	.find_limit = find_limit_,
	.decided = decided_,
	.on_event = on_event_,
};

void quota_world_start(quota_node_t *node)
{
	node->quota = mmx_quota_create(
		&(mmx_quota_config_t){
			.clock = node->clock,
			.node = node->id,
			.bounds = node->world->bounds,
		},
		&ops_, node);
	node->incarnation++;
}

void quota_world_stop(quota_node_t *node)
{
	GPtrArray *pending = node->world->pending;
	guint i = pending->len;

	while (i-- > 0)
		if (((request_t *)g_ptr_array_index(pending, i))->node == node)
			g_ptr_array_remove_index_fast(pending, i);
	mmx_quota_destroy(node->quota);
	node->quota = NULL;
}

void quota_world_freeze(quota_node_t *node)
{
	node->frozen = true;
}

void quota_world_thaw(quota_node_t *node)
{
	mmx_clock_jump(node->clock, node->frozen_for);
	node->frozen = false;
	node->frozen_for = 0;
	node->thawed_at = node->world->now;
}

quota_world_t *quota_world_create(size_t nodes, uint64_t seed)
{
	quota_world_t *world = g_new0(quota_world_t, 1);
	size_t i;

	world->bounds = (mmx_quota_bounds_t){
		.window = 5 * MMX_US_PER_S, .overshoot = 0.1, .slack = 20};
	world->count = nodes;
	world->latency_max = 30 * MMX_US_PER_MS;
	world->now = 1000 * MMX_US_PER_S;
	g_queue_init(&world->messages);
	world->pending = g_ptr_array_new_with_free_func(g_free);
	mmx_random_seed(&world->random, seed);
	for (i = 0; i < nodes; i++) {
		quota_node_t *node = &world->nodes[i];

		node->world = world;
		node->index = i;
		node->id = mmx_random_next(&world->random);
		node->listed = true;
		node->version = 1;
		node->clock = mmx_clock_create_paused();
		mmx_clock_advance(node->clock,
				  (mmx_time_t)mmx_random_below(&world->random,
							       1000000000));
	}
	for (i = 0; i < nodes; i++)
		quota_world_start(&world->nodes[i]);
	return world;
}

void quota_world_destroy(quota_world_t *world)
{
	size_t i;

	for (i = 0; i < world->count; i++) {
		mmx_quota_destroy(world->nodes[i].quota);
		mmx_clock_destroy(world->nodes[i].clock);
	}
	for (i = 0; i < world->account_count; i++)
		g_array_free(world->accounts[i].grants, TRUE);
	g_queue_clear_full(&world->messages, free_message_);
	g_ptr_array_free(world->pending, TRUE);
	g_free(world);
}

quota_account_t *quota_world_add_account(quota_world_t *world, double rate,
					 double burst)
{
	quota_account_t *account = &world->accounts[world->account_count];

	g_snprintf(account->name, sizeof(account->name), "account-%zu",
		   world->account_count++);
	account->limit =
		(mmx_quota_limit_t){.rate = rate, .burst = burst, .version = 1};
	account->grants = g_array_new(FALSE, FALSE, sizeof(mmx_time_t));
	return account;
}

static void deliver_ask_(quota_world_t *world, const message_t *message)
{
	quota_node_t *node = &world->nodes[message->to];
	const mmx_peer_ticket_t ticket = {
		.connection = message->call,
		.xid = message->incarnation,
		.caller = world->nodes[message->from].id,
	};

	/* A process that does not run refuses the connection. */
	if (node->quota && !node->refuses &&
	    mmx_quota_on_ask(node->quota, ticket.caller, &ticket,
			     message->bytes, message->length))
		return;
	send_(world,
	      &(message_t){
		      .from = message->to,
		      .to = message->from,
		      .is_answer = true,
		      .incarnation = message->incarnation,
		      .call = message->call,
	      },
	      NULL);
}

static void deliver_(quota_world_t *world, const message_t *message)
{
	quota_node_t *node = &world->nodes[message->to];

	if (!message->is_answer)
		deliver_ask_(world, message);
	else if (node->quota && node->incarnation == message->incarnation)
		mmx_quota_on_answer(node->quota, message->call,
				    world->nodes[message->from].id,
				    message->bytes, message->length);
}

static void deliver_due_(quota_world_t *world)
{
	GList *item = world->messages.head;

	while (item && ((message_t *)item->data)->due <= world->now) {
		GList *next = item->next;
		message_t *message = item->data;

		if (!world->nodes[message->to].frozen) {
			g_queue_unlink(&world->messages, item);
			deliver_(world, message);
			g_list_free(item);
			free_message_(message);
			next = world->messages.head;
		}
		item = next;
	}
}

static void step_(quota_world_t *world)
{
	size_t i;

	world->now += QUOTA_WORLD_STEP_US;
	for (i = 0; i < world->count; i++) {
		quota_node_t *node = &world->nodes[i];

		if (node->frozen)
			node->frozen_for += QUOTA_WORLD_STEP_US;
		else
			mmx_clock_advance(node->clock, QUOTA_WORLD_STEP_US);
	}
	deliver_due_(world);
}

void quota_world_run(quota_world_t *world, mmx_time_t time)
{
	mmx_time_t end = world->now + time;

	while (world->now < end)
		step_(world);
}

void quota_world_request(quota_world_t *world, size_t index, size_t number)
{
	quota_node_t *node = &world->nodes[index];
	quota_account_t *account = &world->accounts[number];
	request_t *request;
	mmx_quota_result_t result;
	mmx_time_t retry_after;

	if (!node->quota || node->frozen)
		return;
	request = g_new0(request_t, 1);
	request->node = node;
	request->account = number;
	request->since = world->now;
	account->asked++;
	result =
		mmx_quota_take(node->quota, account->name,
			       limit_at_(node, account), request, &retry_after);
	if (result == MMX_QUOTA_PENDING) {
		g_ptr_array_add(world->pending, request);
		return;
	}
	record_(node, account, result, retry_after);
	g_free(request);
}

void quota_world_flood(quota_world_t *world, size_t first, size_t count,
		       double per_s, mmx_time_t time)
{
	mmx_time_t start = world->now;
	size_t sent = 0;

	while (world->now < start + time) {
		double due = per_s * (double)(world->now - start) /
			     (double)MMX_US_PER_S;

		for (; (double)sent < due; sent++)
			quota_world_request(
				world, (first + sent % count) % world->count,
				0);
		step_(world);
	}
}

void quota_world_cut(quota_world_t *world, size_t first, bool to_others,
		     bool from_others)
{
	size_t i;
	size_t j;

	for (i = 0; i < first; i++)
		for (j = first; j < world->count; j++) {
			world->cut[i][j] = to_others;
			world->cut[j][i] = from_others;
		}
}

void quota_world_announce_nodes(quota_world_t *world)
{
	size_t i;

	for (i = 0; i < world->count; i++)
		if (world->nodes[i].quota)
			mmx_quota_on_nodes_changed(world->nodes[i].quota);
}

static uint64_t score_(const quota_world_t *world, size_t account, size_t node)
{
	const char *name = world->accounts[account].name;

	return XXH3_64bits_withSeed(name, strlen(name), world->nodes[node].id);
}

size_t quota_world_ranked(const quota_world_t *world, size_t account,
			  size_t rank)
{
	size_t i;
	size_t j;

	for (i = 0; i < world->count; i++) {
		uint64_t score = score_(world, account, i);
		size_t better = 0;

		for (j = 0; j < world->count; j++)
			better += world->nodes[j].listed &&
				  score_(world, account, j) > score;
		if (better == rank && world->nodes[i].listed)
			return i;
	}
	return 0;
}

size_t quota_world_most(const quota_world_t *world,
			const quota_account_t *account)
{
	size_t most = 0;
	guint first = 0;
	guint i;

	for (i = 0; i < account->grants->len; i++) {
		mmx_time_t at = g_array_index(account->grants, mmx_time_t, i);

		while (g_array_index(account->grants, mmx_time_t, first) <=
		       at - world->bounds.window)
			first++;
		most = MAX(most, i - first + 1);
	}
	return most;
}

double quota_world_bound(const quota_world_t *world,
			 const quota_account_t *account)
{
	double window = (double)world->bounds.window / (double)MMX_US_PER_S;

	return (account->limit.rate * window + account->limit.burst) *
		       (1 + world->bounds.overshoot) +
	       world->bounds.slack;
}

double quota_world_used(const quota_world_t *world, mmx_time_t since)
{
	const quota_account_t *account = &world->accounts[0];
	double used = 0;
	guint i;

	for (i = 0; i < account->grants->len; i++)
		used += g_array_index(account->grants, mmx_time_t, i) >= since;
	return used * (double)MMX_US_PER_S /
	       ((double)(world->now - since) * account->limit.rate);
}
