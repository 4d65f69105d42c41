/* Fake network: connections between nodes, and the peer task of each node. */
#include "claims_world.h"

#define WATCH_INTERVAL_US (50 * MMX_US_PER_MS)
/* As the peer task: silence before the entry and the exit are told. */
#define PATH_TIMEOUT_US (500 * MMX_US_PER_MS)
#define ORIGIN_TIMEOUT_US (2 * MMX_US_PER_S)
#define CONNECT_TIMEOUT_US (500 * MMX_US_PER_MS)
/* Connections differ in delay, so that messages overtake each other. */
#define REORDER_MAX_US (2 * MMX_US_PER_MS)

typedef enum side_t { SIDE_ENTRY, SIDE_EXIT, SIDE_COUNT } side_t;

/* A message on its way; NULL: the sender has closed. */
typedef struct parcel_t {
	TAILQ_ENTRY(parcel_t) entry;
	struct connection_t *connection;
	side_t to;
	mmx_message_t *message;
} parcel_t;

typedef struct connection_t {
	LIST_ENTRY(connection_t) entry;
	world_t *world;
	uint64_t id;
	node_t *node[SIDE_COUNT];
	mmx_incarnation_t incarnation[SIDE_COUNT];
	bool ready;
	bool dead; /* injected: it never carries anything again */
	bool closed[SIDE_COUNT];
	bool suspected; /* the entry was told */
	mmx_time_t heard[SIDE_COUNT];
	mmx_time_t arrival[SIDE_COUNT]; /* of the latest parcel to this side */
	mmx_time_t extra;
	TAILQ_HEAD(, parcel_t) held[SIDE_COUNT]; /* to this side */
	GHashTable *carried;  /* keys of the attempts that reached the exit */
	GHashTable *open;     /* sequences of attempts without a last reply */
	GQueue *waiting;      /* messages until it is ready */
	unsigned int parcels; /* scheduled */
} connection_t;

static node_t *other_(const connection_t *c, side_t side)
{
	return c->node[1 - side];
}

static bool is_alive_(const connection_t *c, side_t side)
{
	return c->node[side]->up &&
	       c->node[side]->incarnation == c->incarnation[side] &&
	       !c->closed[side];
}

static bool is_blocked_(const connection_t *c, side_t to)
{
	return c->dead ||
	       c->world->lost[other_(c, to)->index][c->node[to]->index];
}

static uint64_t sequence_(const mmx_message_t *message)
{
	switch ((mmx_message_kind_t)message->ops->kind) {
	case MMX_MESSAGE_EXECUTE:
		return ((const mmx_execute_t *)message)->attempt.sequence;
	case MMX_MESSAGE_RESPONSE:
		return ((const mmx_response_t *)message)->attempt.sequence;
	case MMX_MESSAGE_BODY:
		return ((const mmx_body_t *)message)->attempt.sequence;
	case MMX_MESSAGE_WINDOW:
		return ((const mmx_window_t *)message)->attempt.sequence;
	case MMX_MESSAGE_CANCEL:
		return ((const mmx_cancel_t *)message)->attempt.sequence;
	case MMX_MESSAGE_FENCE:
		return claims_fence_key(message);
	case MMX_MESSAGE_FENCE_REPLY:
		return claims_fence_key(message);
	default:
		return 0;
	}
}

/* --- freeing ----------------------------------------------------------- */

static void drop_parcel_(void *arg)
{
	parcel_t *parcel = arg;

	mmx_message_destroy(parcel->message);
	g_free(parcel);
}

static void free_message_(gpointer message)
{
	mmx_message_destroy(message);
}

static void drop_held_(connection_t *c)
{
	parcel_t *parcel;
	int side;

	for (side = 0; side < SIDE_COUNT; side++)
		while ((parcel = TAILQ_FIRST(&c->held[side]))) {
			TAILQ_REMOVE(&c->held[side], parcel, entry);
			drop_parcel_(parcel);
		}
}

static void free_connection_(connection_t *c)
{
	LIST_REMOVE(c, entry);
	drop_held_(c);
	g_hash_table_destroy(c->open);
	g_hash_table_destroy(c->carried);
	g_queue_free_full(c->waiting, free_message_);
	g_free(c);
}

void net_destroy(world_t *world)
{
	connection_t *c;

	while ((c = LIST_FIRST(&world->connections)))
		free_connection_(c);
}

/* --- sending ----------------------------------------------------------- */

mmx_time_t net_delay(world_t *world, const node_t *from, const node_t *to)
{
	mmx_time_t delay = 15 * MMX_US_PER_MS;

	if (from->zone == to->zone)
		delay = 100;
	else if (from->region == to->region)
		delay = 500;
	return delay + world_uniform(world, 0, delay / 4) +
	       world->extra_delay[from->index][to->index];
}

static void arrive_(void *arg);

static void schedule_(connection_t *c, parcel_t *parcel)
{
	world_t *world = c->world;
	mmx_time_t at =
		world_now(world) + c->extra +
		net_delay(world, other_(c, parcel->to), c->node[parcel->to]);

	c->arrival[parcel->to] = MAX(at, c->arrival[parcel->to] + 1);
	world_after(world, c->arrival[parcel->to] - world_now(world), arrive_,
		    parcel, drop_parcel_);
}

static void send_(connection_t *c, side_t to, mmx_message_t *message)
{
	parcel_t *parcel = g_new0(parcel_t, 1);

	if (message &&
	    c->node[SIDE_ENTRY]->region != c->node[SIDE_EXIT]->region)
		c->world->stats.cross_region++;
	parcel->connection = c;
	parcel->to = to;
	parcel->message = message;
	if (is_blocked_(c, to) || !TAILQ_EMPTY(&c->held[to]))
		TAILQ_INSERT_TAIL(&c->held[to], parcel, entry);
	else
		schedule_(c, parcel);
}

/* Messages that were held go on when the loss ends. */
static void flush_(connection_t *c)
{
	parcel_t *parcel;
	int to;

	for (to = 0; to < SIDE_COUNT; to++)
		while (!is_blocked_(c, (side_t)to) &&
		       (parcel = TAILQ_FIRST(&c->held[to]))) {
			TAILQ_REMOVE(&c->held[to], parcel, entry);
			schedule_(c, parcel);
		}
}

/* --- what the entry is told -------------------------------------------- */

static void post_path_lost_(connection_t *c, bool connect_failed)
{
	mmx_path_lost_t *lost = mmx_new_path_lost(c->node[SIDE_EXIT]->id);

	lost->connect_failed = connect_failed;
	world_trace(c->world, 0, "%s told: path to %s lost (c%u)",
		    c->node[SIDE_ENTRY]->name, c->node[SIDE_EXIT]->name,
		    (unsigned int)c->id);
	mmx_task_post(mmx_entry_task(c->node[SIDE_ENTRY]->entry),
		      &lost->message);
}

static void suspect_(connection_t *c)
{
	if (c->suspected)
		return;
	c->suspected = true;
	if (g_hash_table_size(c->open) > 0)
		post_path_lost_(c, false);
}

static void refuse_waiting_(connection_t *c)
{
	mmx_message_t *message;
	mmx_response_t *response;

	while ((message = g_queue_pop_head(c->waiting))) {
		if (message->ops->kind == MMX_MESSAGE_EXECUTE) {
			/* It never left, which the peer task knows. */
			response = mmx_new_response(
				&((mmx_execute_t *)message)->attempt);
			response->exit = c->node[SIDE_EXIT]->id;
			response->reason = MMX_REASON_PATH_LOST;
			response->body_end = true;
			mmx_task_post(
				mmx_entry_task(c->node[SIDE_ENTRY]->entry),
				&response->message);
		}
		mmx_message_destroy(message);
	}
}

static void close_side_(connection_t *c, side_t side)
{
	if (c->closed[side])
		return;
	c->closed[side] = true;
	if (!c->ready)
		return;
	send_(c, (side_t)(1 - side), NULL);
}

/* --- receiving --------------------------------------------------------- */

static void trace_execute_(const node_t *node, const mmx_execute_t *execute)
{
	const char *request = mmx_head_find(execute->head, "X-Request");

	world_trace(node->world, g_ascii_strtoull(request, NULL, 10),
		    "execute a%llu at %s",
		    (unsigned long long)execute->attempt.sequence, node->name);
}

void net_to_exit(node_t *node, mmx_message_t *message, uint64_t connection)
{
	mmx_origin_t origin = {.task = &node->peer.task,
			       .connection = connection};

	if (!connection)
		origin.task = mmx_entry_task(node->entry);
	switch ((mmx_message_kind_t)message->ops->kind) {
	case MMX_MESSAGE_EXECUTE:
		((mmx_execute_t *)message)->origin = origin;
		trace_execute_(node, (mmx_execute_t *)message);
		break;
	case MMX_MESSAGE_FENCE:
		((mmx_fence_t *)message)->origin = origin;
		break;
	case MMX_MESSAGE_BODY:
		((mmx_body_t *)message)->origin = origin;
		break;
	case MMX_MESSAGE_CANCEL:
		g_hash_table_add(
			node->world->cancelled,
			world_key(&((mmx_cancel_t *)message)->attempt));
		break;
	default:
		break;
	}
	mmx_task_post(mmx_exit_task(node->exit), message);
}

static void note_carried_(connection_t *c, const mmx_message_t *message)
{
	if (message->ops->kind == MMX_MESSAGE_EXECUTE)
		g_hash_table_add(
			c->carried,
			world_key(&((const mmx_execute_t *)message)->attempt));
	else if (claims_is_own_fence(message))
		g_hash_table_add(
			c->carried,
			world_key(&((const mmx_fence_t *)message)->attempt));
}

/* An attempt is settled for this connection with its last message. */
static void note_reply_(connection_t *c, const mmx_message_t *message)
{
	uint64_t sequence = sequence_(message);
	bool last = false;

	if (message->ops->kind == MMX_MESSAGE_RESPONSE)
		last = ((const mmx_response_t *)message)->body_end;
	else if (message->ops->kind == MMX_MESSAGE_BODY)
		last = ((const mmx_body_t *)message)->end;
	else if (message->ops->kind == MMX_MESSAGE_FENCE_REPLY)
		last = ((const mmx_fence_reply_t *)message)->state !=
		       MMX_FENCE_RUNNING;
	if (last)
		g_hash_table_remove(c->open, &sequence);
}

/* From now on nobody waits for the attempts that came by this connection. */
static void post_origin_lost_(connection_t *c)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, c->carried);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_hash_table_add(c->world->cancelled, g_strdup(key));
	mmx_task_post(mmx_exit_task(c->node[SIDE_EXIT]->exit),
		      &mmx_new_origin_lost(c->id)->message);
}

static void arrive_closed_(connection_t *c, side_t side)
{
	c->closed[side] = true;
	if (side == SIDE_ENTRY)
		suspect_(c);
	else
		post_origin_lost_(c);
}

static void arrive_(void *arg)
{
	parcel_t *parcel = arg;
	connection_t *c = parcel->connection;
	mmx_message_t *message = parcel->message;
	side_t side = parcel->to;

	g_free(parcel);
	if (!is_alive_(c, side)) {
		mmx_message_destroy(message);
		return;
	}
	c->heard[side] = world_now(c->world);
	if (!message) {
		arrive_closed_(c, side);
		return;
	}
	world_trace(c->world, 0, "%s gets %s a%llu by c%u", c->node[side]->name,
		    message->ops->name, (unsigned long long)sequence_(message),
		    (unsigned int)c->id);
	if (side == SIDE_EXIT) {
		note_carried_(c, message);
		net_to_exit(c->node[side], message, c->id);
		return;
	}
	note_reply_(c, message);
	mmx_task_post(mmx_entry_task(c->node[side]->entry), message);
}

/* --- connecting -------------------------------------------------------- */

static connection_t *find_(world_t *world, uint64_t id)
{
	connection_t *c;

	LIST_FOREACH (c, &world->connections, entry)
		if (c->id == id)
			return c;
	return NULL;
}

/* Closes what the new connection replaces. */
static void replace_suspected_(connection_t *ready)
{
	connection_t *c;

	LIST_FOREACH (c, &ready->world->connections, entry)
		if (c != ready && c->suspected &&
		    c->node[SIDE_ENTRY] == ready->node[SIDE_ENTRY] &&
		    c->node[SIDE_EXIT] == ready->node[SIDE_EXIT])
			close_side_(c, SIDE_ENTRY);
}

static void connected_(void *arg)
{
	connection_t *c = arg;
	mmx_message_t *message;

	if (!is_alive_(c, SIDE_ENTRY))
		return;
	if (!c->node[SIDE_EXIT]->up || c->node[SIDE_EXIT]->paused ||
	    is_blocked_(c, SIDE_ENTRY) || is_blocked_(c, SIDE_EXIT)) {
		if (world_now(c->world) - c->heard[SIDE_ENTRY] <
		    CONNECT_TIMEOUT_US) {
			world_after(c->world, WATCH_INTERVAL_US, connected_, c,
				    NULL);
			return;
		}
		c->closed[SIDE_ENTRY] = true;
		c->suspected = true;
		refuse_waiting_(c);
		post_path_lost_(c, true);
		return;
	}
	c->ready = true;
	c->incarnation[SIDE_EXIT] = c->node[SIDE_EXIT]->incarnation;
	c->heard[SIDE_ENTRY] = world_now(c->world);
	c->heard[SIDE_EXIT] = world_now(c->world);
	while ((message = g_queue_pop_head(c->waiting)))
		send_(c, SIDE_EXIT, message);
	replace_suspected_(c);
}

static connection_t *dial_(node_t *from, node_t *to)
{
	world_t *world = from->world;
	connection_t *c = g_new0(connection_t, 1);
	int side;

	c->world = world;
	c->id = ++world->next_connection;
	c->node[SIDE_ENTRY] = from;
	c->node[SIDE_EXIT] = to;
	c->incarnation[SIDE_ENTRY] = from->incarnation;
	c->heard[SIDE_ENTRY] = world_now(world);
	c->extra = world_uniform(world, 0, REORDER_MAX_US);
	for (side = 0; side < SIDE_COUNT; side++)
		TAILQ_INIT(&c->held[side]);
	c->open = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					NULL);
	c->carried =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->waiting = g_queue_new();
	LIST_INSERT_HEAD(&world->connections, c, entry);
	world_after(world,
		    MMX_US_PER_MS + net_delay(world, from, to) +
			    net_delay(world, to, from),
		    connected_, c, NULL);
	return c;
}

/* The newest usable connection, other than the one given. */
static connection_t *usable_(node_t *from, node_t *to, uint64_t without)
{
	connection_t *c;

	LIST_FOREACH (c, &from->world->connections, entry)
		if (c->node[SIDE_ENTRY] == from && c->node[SIDE_EXIT] == to &&
		    c->id != without && !c->suspected &&
		    is_alive_(c, SIDE_ENTRY))
			return c;
	return dial_(from, to);
}

/* --- the peer task ----------------------------------------------------- */

static uint64_t path_(node_t *node, uint64_t sequence)
{
	uint64_t *id = g_hash_table_lookup(node->paths, &sequence);

	return id ? *id : 0;
}

static void submit_(connection_t *c, mmx_message_t *message)
{
	if (c->ready)
		send_(c, SIDE_EXIT, message);
	else
		g_queue_push_tail(c->waiting, message);
}

static void start_on_(node_t *node, connection_t *c, mmx_message_t *message)
{
	uint64_t sequence = sequence_(message);
	connection_t *old = find_(node->world, path_(node, sequence));

	if (old)
		g_hash_table_remove(old->open, &sequence);
	if (g_hash_table_size(c->open) == 0)
		c->heard[SIDE_ENTRY] =
			MAX(c->heard[SIDE_ENTRY], world_now(node->world));
	g_hash_table_add(c->open, g_memdup2(&sequence, sizeof(sequence)));
	g_hash_table_insert(node->paths, g_memdup2(&sequence, sizeof(sequence)),
			    g_memdup2(&c->id, sizeof(c->id)));
	submit_(c, message);
}

static void from_entry_(node_t *node, mmx_message_t *message, mmx_node_id_t to)
{
	node_t *exit = world_node(node->world, to);
	uint64_t sequence = sequence_(message);
	uint64_t path = path_(node, sequence);
	connection_t *c;

	switch ((mmx_message_kind_t)message->ops->kind) {
	case MMX_MESSAGE_EXECUTE:
		start_on_(node, usable_(node, exit, 0), message);
		return;
	case MMX_MESSAGE_FENCE:
		start_on_(node, usable_(node, exit, path), message);
		return;
	default:
		break;
	}
	c = find_(node->world, path);
	if (!c || !is_alive_(c, SIDE_ENTRY)) {
		mmx_message_destroy(message);
		return;
	}
	if (message->ops->kind == MMX_MESSAGE_CANCEL)
		g_hash_table_remove(c->open, &sequence);
	submit_(c, message);
}

static void from_exit_(node_t *node, mmx_message_t *message,
		       const mmx_origin_t *origin)
{
	connection_t *c = find_(node->world, origin->connection);

	if (!c || !is_alive_(c, SIDE_EXIT)) {
		mmx_message_destroy(message);
		return;
	}
	send_(c, SIDE_ENTRY, message);
}

static void handle_peer_(mmx_task_t *task, mmx_message_t *message)
{
	node_t *node = ((node_task_t *)task)->node;

	switch ((mmx_message_kind_t)message->ops->kind) {
	case MMX_MESSAGE_EXECUTE:
		from_entry_(node, message, ((mmx_execute_t *)message)->exit);
		return;
	case MMX_MESSAGE_FENCE:
		from_entry_(node, message, ((mmx_fence_t *)message)->exit);
		return;
	case MMX_MESSAGE_CANCEL:
		from_entry_(node, message, ((mmx_cancel_t *)message)->exit);
		return;
	case MMX_MESSAGE_BODY:
		if (((mmx_body_t *)message)->direction == MMX_TO_TARGET)
			from_entry_(node, message,
				    ((mmx_body_t *)message)->exit);
		else
			from_exit_(node, message,
				   &((mmx_body_t *)message)->origin);
		return;
	case MMX_MESSAGE_RESPONSE:
		from_exit_(node, message, &((mmx_response_t *)message)->origin);
		return;
	case MMX_MESSAGE_FENCE_REPLY:
		from_exit_(node, message,
			   &((mmx_fence_reply_t *)message)->origin);
		return;
	case MMX_MESSAGE_EVIDENCE:
		from_exit_(node, message, &((mmx_evidence_t *)message)->origin);
		return;
	default:
		mmx_message_destroy(message);
	}
}

static void handle_local_(mmx_task_t *task, mmx_message_t *message)
{
	net_to_exit(((node_task_t *)task)->node, message, 0);
}

static const mmx_task_ops_t peer_ops_ = {"peer", handle_peer_};
static const mmx_task_ops_t local_ops_ = {"local", handle_local_};

/* --- watch ------------------------------------------------------------- */

static void watch_connection_(connection_t *c, side_t side)
{
	const node_t *other = other_(c, side);
	mmx_time_t now = world_now(c->world);
	mmx_time_t timeout =
		side == SIDE_ENTRY ? PATH_TIMEOUT_US : ORIGIN_TIMEOUT_US;

	/* Only connections with work outstanding are probed. */
	if (side == SIDE_ENTRY && g_hash_table_size(c->open) == 0) {
		c->heard[side] = now;
		return;
	}
	/* The pings of the real connections, without messages. */
	if (is_alive_(c, (side_t)(1 - side)) && !other->paused &&
	    !is_blocked_(c, side) &&
	    (side == SIDE_EXIT || !is_blocked_(c, SIDE_EXIT)))
		c->heard[side] = now;
	else if (now - c->heard[side] < timeout)
		return;
	else if (side == SIDE_ENTRY)
		suspect_(c);
	else
		close_side_(c, side);
}

static void on_watch_(void *arg)
{
	node_t *node = arg;
	connection_t *c;
	side_t side;

	LIST_FOREACH (c, &node->world->connections, entry) {
		if (!c->ready)
			continue;
		for (side = SIDE_ENTRY; side < SIDE_COUNT; side++) {
			bool closed = c->closed[side];

			if (c->node[side] != node || !is_alive_(c, side))
				continue;
			watch_connection_(c, side);
			if (side == SIDE_EXIT && c->closed[side] && !closed)
				post_origin_lost_(c);
		}
	}
	mmx_timer_set(&node->watch, WATCH_INTERVAL_US);
}

void net_init_node(node_t *node)
{
	node->peer.node = node;
	node->local.node = node;
	mmx_task_init(&node->peer.task, &peer_ops_, node->runtime);
	mmx_task_init(&node->local.task, &local_ops_, node->runtime);
	node->paths = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    g_free);
	mmx_timer_init(&node->watch, mmx_runtime_clock(node->runtime),
		       on_watch_, node);
	mmx_timer_set(&node->watch, WATCH_INTERVAL_US);
}

void net_finish_node(node_t *node)
{
	mmx_timer_cancel(&node->watch);
	mmx_task_finish(&node->peer.task);
	mmx_task_finish(&node->local.task);
	g_hash_table_destroy(node->paths);
}

/* --- faults ------------------------------------------------------------ */

void net_node_down(node_t *node)
{
	connection_t *c;
	side_t side;

	/* The system of a process that died closes its connections. */
	LIST_FOREACH (c, &node->world->connections, entry)
		for (side = SIDE_ENTRY; side < SIDE_COUNT; side++)
			if (c->node[side] == node && !c->closed[side])
				close_side_(c, side);
}

void net_set_lost(world_t *world, unsigned int from, unsigned int to, bool lost)
{
	connection_t *c;

	world_trace(world, 0, "loss from n%u to n%u: %s", from + 1, to + 1,
		    lost ? "starts" : "ends");
	world->lost[from][to] = lost;
	LIST_FOREACH (c, &world->connections, entry)
		flush_(c);
}

static bool joins_(const connection_t *c, unsigned int from, unsigned int to)
{
	return c->ready && c->node[SIDE_ENTRY]->index == from &&
	       c->node[SIDE_EXIT]->index == to;
}

void net_silence(world_t *world, unsigned int from, unsigned int to)
{
	connection_t *c;

	world_trace(world, 0, "connections n%u to n%u fall silent", from + 1,
		    to + 1);
	LIST_FOREACH (c, &world->connections, entry)
		if (joins_(c, from, to))
			c->dead = true;
}

void net_cut(world_t *world, unsigned int from, unsigned int to)
{
	connection_t *c;

	world_trace(world, 0, "connections n%u to n%u are cut", from + 1,
		    to + 1);
	LIST_FOREACH (c, &world->connections, entry) {
		if (!joins_(c, from, to))
			continue;
		if (is_alive_(c, SIDE_ENTRY))
			arrive_closed_(c, SIDE_ENTRY);
		if (is_alive_(c, SIDE_EXIT))
			arrive_closed_(c, SIDE_EXIT);
	}
}
