#include "suites.h"

#include <glib.h>
#include <string.h>

#include "masticmux/random.h"
#include "private/store_updates.h"
#include "private/store_relay.h"
#include "private/store_source.h"

#define MS MMX_US_PER_MS
#define TOPIC "config"
#define ZONES 3
#define NODES_PER_ZONE 12
#define NODES (ZONES * NODES_PER_ZONE)
/* Time within which an appended change must be in force at all nodes. */
#define APPLY_MAX_US (2500 * MS)
/* Settings of a reader of the store (platform/log_store.c). */
#define POLL_US (1500 * MS)
#define QUERIED_POLL_US (1000 * MS)
#define MAX_AGE_US (1600 * MS)
#define QUERY_INTERVAL_US (500 * MS)
#define CALL_TIMEOUT_US (800 * MS)
#define BACKOFF_US (1000 * MS)
#define STORE_LATENCY_US (4 * MS)
/* Latency between two nodes, and the time-out of a query. */
#define NODE_LATENCY_US (1 * MS)
#define QUERY_TIMEOUT_US (500 * MS)

typedef struct world_t world_t;

typedef struct node_t {
	world_t *world;
	mmx_node_id_t id;
	int zone;
	mmx_relay_t *relay;
	bool down;		/* sends and answers no queries */
	bool store_unreachable; /* its calls to the store get no response */
	bool isolated;		/* no messages from or to other nodes */
	bool replies_lost;	/* its replies to other nodes do not arrive */
	bool replies_corrupt;	/* its replies to other nodes are malformed */
	bool reading;		/* at the store */
	bool read_store;	/* the next read bypasses the relay */
	uint64_t next;
	mmx_time_t received_at[4]; /* of each record */
	mmx_timer_t timer;	   /* end of a poll, or the next read */
	bool polling;
	mmx_time_t poll_ends;
} node_t;

/* A query in progress. */
typedef struct query_t {
	node_t *from;
	node_t *to;
	uint8_t *bytes;
	size_t length;
	mmx_store_reply_fn_t fn;
	void *arg;
	uint8_t *reply; /* NULL if there is none */
	size_t reply_length;
	mmx_timer_t timer;
	bool delivered; /* to the other node */
} query_t;

struct world_t {
	mmx_clock_t *clock;
	node_t nodes[NODES];
	uint64_t end; /* offset after the last record */
	unsigned int calls;
	mmx_time_t max_age; /* greatest accepted age of a reply */
	GPtrArray *queries;
};

static mmx_time_t now_(const world_t *world)
{
	return mmx_clock_now(world->clock);
}

static node_t *find_(world_t *world, mmx_node_id_t id)
{
	size_t i;

	for (i = 0; i < NODES; i++)
		if (world->nodes[i].id == id)
			return &world->nodes[i];
	return NULL;
}

static void list_zone_nodes_(void *context, GArray *nodes)
{
	const node_t *self = context;
	size_t i;

	for (i = 0; i < NODES; i++) {
		const node_t *other = &self->world->nodes[i];

		if (other != self && other->zone == self->zone)
			g_array_append_val(nodes, other->id);
	}
}

static const char *node_name_(void *context, mmx_node_id_t node)
{
	(void)context;
	(void)node;
	return NULL;
}

static bool can_reach_(const node_t *from, const node_t *to)
{
	return !from->down && !to->down && !from->isolated && !to->isolated;
}

static void on_query_timer_(void *arg)
{
	query_t *query = arg;
	bool arrived = can_reach_(query->from, query->to);

	if (!query->delivered && arrived &&
	    mmx_relay_serve(query->to->relay, query->bytes, query->length,
			    &query->reply, &query->reply_length) &&
	    query->reply && query->to->replies_corrupt)
		memset(query->reply, 0xff, query->reply_length);
	if (!query->delivered) {
		bool replied = query->reply && !query->to->replies_lost;

		query->delivered = true;
		mmx_timer_set(&query->timer,
			      replied ? NODE_LATENCY_US : QUERY_TIMEOUT_US);
		return;
	}
	if (!query->from->down)
		query->fn(query->arg,
			  query->to->replies_lost ? NULL : query->reply,
			  query->reply_length);
	g_ptr_array_remove(query->from->world->queries, query);
}

static void free_query_(gpointer data)
{
	query_t *query = data;

	mmx_timer_cancel(&query->timer);
	g_free(query->bytes);
	g_free(query->reply);
	g_free(query);
}

static void send_query_(void *context, mmx_node_id_t id,
			mmx_store_query_kind_t kind, const uint8_t *bytes,
			size_t length, mmx_store_reply_fn_t fn, void *arg)
{
	node_t *self = context;
	query_t *query = g_new0(query_t, 1);

	query->from = self;
	query->to = find_(self->world, id);
	query->bytes = g_memdup2(bytes, length);
	query->length = length;
	query->fn = fn;
	query->arg = arg;
	mmx_timer_init(&query->timer, self->world->clock, on_query_timer_,
		       query);
	mmx_timer_set(&query->timer, NODE_LATENCY_US);
	g_ptr_array_add(self->world->queries, query);
}

static const mmx_store_relay_node_ops_t node_ops_ = {list_zone_nodes_,
						     node_name_, send_query_};

static void record_arrival_(node_t *node, uint64_t offset)
{
	if (offset < G_N_ELEMENTS(node->received_at) &&
	    !node->received_at[offset])
		node->received_at[offset] = now_(node->world);
}

static void on_updates_(void *arg, const mmx_store_updates_t *updates)
{
	node_t *node = arg;
	size_t i;

	node->read_store = !updates;
	for (i = 0; updates && i < updates->count; i++)
		record_arrival_(node, updates->records[i].offset);
	if (updates)
		node->next = MAX(node->next, updates->next);
	mmx_timer_set(&node->timer, 0);
}

static void read_records_(node_t *node)
{
	mmx_store_relay_t *base = mmx_relay_base(node->relay);

	for (; node->next < node->world->end; node->next++) {
		const mmx_store_record_t record = {
			.key = "config",
			.value = "v",
			.length = 1,
			.offset = node->next,
		};

		base->ops->on_record(base, TOPIC, &record);
		record_arrival_(node, node->next);
	}
	base->ops->on_read(base, TOPIC, node->next);
}

static void on_read_timer_(void *arg)
{
	node_t *node = arg;
	world_t *world = node->world;
	mmx_store_relay_t *base = mmx_relay_base(node->relay);
	const mmx_store_query_t query = {
		.topic = TOPIC,
		.from = node->next,
		.max_age = world->max_age,
		.min_interval = QUERY_INTERVAL_US,
	};

	if (node->down)
		return;
	if (node->polling) {
		node->polling = false;
		if (node->store_unreachable)
			mmx_timer_set(&node->timer, BACKOFF_US);
		else
			read_records_(node);
		if (!node->store_unreachable)
			mmx_timer_set(&node->timer, 0);
		return;
	}
	if (!node->read_store &&
	    base->ops->query(base, &query, on_updates_, node))
		return;
	node->read_store = false;
	node->polling = true;
	world->calls++;
	node->poll_ends =
		now_(world) +
		(base->ops->is_queried(base) ? QUERIED_POLL_US : POLL_US);
	mmx_timer_set(&node->timer,
		      node->store_unreachable
			      ? node->poll_ends - now_(world) + CALL_TIMEOUT_US
		      : node->next < world->end
			      ? STORE_LATENCY_US
			      : node->poll_ends - now_(world));
}

/* Appends a record, an operator's change; long polls return at once. */
static void append_(world_t *world)
{
	size_t i;

	world->end++;
	for (i = 0; i < NODES; i++)
		if (world->nodes[i].polling &&
		    !world->nodes[i].store_unreachable)
			mmx_timer_set(&world->nodes[i].timer, STORE_LATENCY_US);
}

static void start_node_(node_t *node)
{
	node->relay = mmx_relay_create(&(mmx_store_relay_config_t){
		.clock = node->world->clock,
		.node = node->id,
		.ops = &node_ops_,
		.context = node,
	});
	mmx_relay_base(node->relay)
		->ops->on_reset(mmx_relay_base(node->relay), TOPIC, node->next);
	mmx_timer_set(&node->timer, 0);
}

/* Ends the process of a node together with its outstanding queries. */
static void stop_node_(node_t *node)
{
	GPtrArray *queries = node->world->queries;
	guint i = queries->len;

	while (i-- > 0)
		if (((query_t *)g_ptr_array_index(queries, i))->from == node)
			g_ptr_array_remove_index(queries, i);
	mmx_relay_destroy(node->relay);
}

static void open_world_(world_t *world, mmx_time_t max_age)
{
	size_t i;

	*world = (world_t){
		.clock = mmx_clock_create_paused(),
		.max_age = max_age,
		.queries = g_ptr_array_new_with_free_func(free_query_),
	};
	for (i = 0; i < NODES; i++) {
		node_t *node = &world->nodes[i];

		node->world = world;
		node->id = 100 + i;
		node->zone = (int)(i / NODES_PER_ZONE);
		mmx_timer_init(&node->timer, world->clock, on_read_timer_,
			       node);
		start_node_(node);
	}
}

static void close_world_(world_t *world)
{
	size_t i;

	g_ptr_array_free(world->queries, TRUE);
	for (i = 0; i < NODES; i++) {
		mmx_timer_cancel(&world->nodes[i].timer);
		mmx_relay_destroy(world->nodes[i].relay);
	}
	mmx_clock_destroy(world->clock);
}

/* Returns the first node of a zone, which reads the store for the others. */
static node_t *reader_(world_t *world, int zone)
{
	return &world->nodes[zone * NODES_PER_ZONE];
}

/* Returns the longest time until a node that reaches the store received a
 * record; MMX_TIME_NEVER if one has not. */
static mmx_time_t max_delay_(const world_t *world, uint64_t offset,
			     mmx_time_t since)
{
	mmx_time_t latest = 0;
	size_t i;

	for (i = 0; i < NODES; i++) {
		const node_t *node = &world->nodes[i];

		if (node->down || node->store_unreachable)
			continue;
		if (!node->received_at[offset])
			return MMX_TIME_NEVER;
		latest = MAX(latest, node->received_at[offset] - since);
	}
	return latest;
}

typedef enum fault_t {
	FAULT_NONE,
	FAULT_DOWN,
	FAULT_STORE_UNREACHABLE,
	FAULT_ISOLATED,
	FAULT_REPLIES_LOST,
	FAULT_REPLIES_CORRUPT,
} fault_t;

static void set_fault_(node_t *node, fault_t fault)
{
	node->down = fault == FAULT_DOWN;
	node->store_unreachable = fault == FAULT_STORE_UNREACHABLE;
	node->isolated = fault == FAULT_ISOLATED;
	node->replies_lost = fault == FAULT_REPLIES_LOST;
	node->replies_corrupt = fault == FAULT_REPLIES_CORRUPT;
}

/*
 * Guards against nodes that can reach the store but receive a change too late
 * because the node that they query fails at an unfavourable moment of its poll.
 */
static void test_queried_node_fails_(void)
{
	static const struct {
		const char *name;
		fault_t fault;
		size_t count; /* of failing nodes, from the first rank on */
	} cases[] = {
		{"none", FAULT_NONE, 1},
		{"the reader stops or freezes", FAULT_DOWN, 1},
		{"the second node stops as well", FAULT_DOWN, 2},
		{"the reader cannot reach the store", FAULT_STORE_UNREACHABLE,
		 1},
		{"nor can the second node", FAULT_STORE_UNREACHABLE, 2},
		{"the reader is isolated from other nodes", FAULT_ISOLATED, 1},
		{"its replies are lost", FAULT_REPLIES_LOST, 1},
		{"its replies are malformed", FAULT_REPLIES_CORRUPT, 1},
		{"only one node of the zone reaches the store",
		 FAULT_STORE_UNREACHABLE, NODES_PER_ZONE - 1},
	};
	size_t i;
	size_t n;
	int offset_ms;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_time_t max_delay = 0;

		/* Covers all phases of a poll and of a query. */
		for (offset_ms = 0; offset_ms <= 2000; offset_ms += 50) {
			world_t world;
			mmx_time_t appended_at;

			open_world_(&world, MAX_AGE_US);
			mmx_clock_advance(world.clock, 10 * MMX_US_PER_S);
			for (n = 0; n < cases[i].count; n++)
				set_fault_(reader_(&world, 0) + n,
					   cases[i].fault);
			mmx_clock_advance(world.clock, offset_ms * MS);
			append_(&world);
			appended_at = now_(&world);
			mmx_clock_advance(world.clock, 10 * MMX_US_PER_S);
			max_delay = MAX(max_delay,
					max_delay_(&world, 0, appended_at));
			close_world_(&world);
		}
		if (max_delay >= APPLY_MAX_US)
			printf("\n  %s: %lld ms\n", cases[i].name,
			       (long long)(max_delay / MS));
		CU_ASSERT(max_delay < APPLY_MAX_US);
	}
}

/*
 * Guards against a test above that would pass without the limit on the age of
 * replies. Without the limit, nodes keep accepting replies of a reader that has
 * lost the store, so a change must arrive too late.
 */
static void test_max_age_(void)
{
	world_t world;
	mmx_time_t appended_at;

	open_world_(&world, 3600 * MMX_US_PER_S);
	mmx_clock_advance(world.clock, 10 * MMX_US_PER_S);
	set_fault_(reader_(&world, 0), FAULT_STORE_UNREACHABLE);
	append_(&world);
	appended_at = now_(&world);
	mmx_clock_advance(world.clock, 10 * MMX_US_PER_S);
	CU_ASSERT(max_delay_(&world, 0, appended_at) > APPLY_MAX_US);
	close_world_(&world);
}

/*
 * Guards against a number of calls to the store that grows with the number of
 * nodes, also when all nodes start at once and after the reader of each zone
 * has stopped permanently.
 */
static void test_store_calls_(void)
{
	static const struct {
		const char *name;
		bool reader_down;
		mmx_time_t settled; /* after the start or the fault */
	} cases[] = {
		{"from the start", false, 0},
		{"in calm times", false, 10 * MMX_US_PER_S},
		{"the readers are gone", true, 20 * MMX_US_PER_S},
	};
	enum { SECONDS = 60 };
	size_t i;
	int zone;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		world_t world;
		unsigned int calls;

		open_world_(&world, MAX_AGE_US);
		mmx_clock_advance(world.clock, cases[i].settled);
		for (zone = 0; zone < ZONES && cases[i].reader_down; zone++)
			set_fault_(reader_(&world, zone), FAULT_DOWN);
		mmx_clock_advance(world.clock, cases[i].settled);
		calls = world.calls;
		mmx_clock_advance(world.clock, SECONDS * MMX_US_PER_S);
		calls = world.calls - calls;
		/* One call per second and reader, with two readers per zone;
		 * without the relay all nodes would be readers. */
		if (calls > 2 * ZONES * SECONDS)
			printf("\n  %s: %u calls\n", cases[i].name, calls);
		CU_ASSERT(calls <= 2 * ZONES * SECONDS);
		close_world_(&world);
	}
}

/* Guards against a change that is late in a zone because its first node has
 * restarted and has no records yet. */
static void test_restart_(void)
{
	world_t world;
	node_t *reader;
	mmx_time_t appended_at;

	open_world_(&world, MAX_AGE_US);
	mmx_clock_advance(world.clock, 10 * MMX_US_PER_S);
	append_(&world);
	mmx_clock_advance(world.clock, 5 * MMX_US_PER_S);
	reader = reader_(&world, 0);
	reader->down = true;
	mmx_timer_cancel(&reader->timer);
	mmx_clock_advance(world.clock, 1 * MMX_US_PER_S);
	stop_node_(reader);
	reader->down = false;
	reader->polling = false;
	reader->next = world.end;
	start_node_(reader);
	mmx_clock_advance(world.clock, 100 * MS);
	append_(&world);
	appended_at = now_(&world);
	mmx_clock_advance(world.clock, 10 * MMX_US_PER_S);
	CU_ASSERT(max_delay_(&world, 1, appended_at) < APPLY_MAX_US);
	close_world_(&world);
}

static mmx_store_tail_t *new_tail_(void)
{
	mmx_store_tail_t *tail = mmx_store_tail_create();
	const mmx_store_record_t records[] = {
		{.key = "a", .value = "one", .length = 3, .offset = 10},
		{.key = "bb", .value = NULL, .offset = 11},
		{.key = "a", .value = "two", .length = 3, .offset = 13},
	};
	size_t i;

	mmx_store_tail_reset(tail, 10);
	for (i = 0; i < G_N_ELEMENTS(records); i++)
		mmx_store_tail_add(tail, &records[i]);
	mmx_store_tail_advance(tail, 15);
	return tail;
}

/* Guards against updates between two nodes that lose or duplicate records,
 * restore an outdated one, or contain one that a later one replaces. */
static void test_updates_(void)
{
	static const struct {
		uint64_t from;
		int count; /* -1: the tail lacks some */
		uint64_t first;
	} cases[] = {
		{9, -1, 0},  {10, 2, 11}, {11, 2, 11},
		{12, 1, 13}, {14, 0, 0},  {20, 0, 0},
	};
	mmx_store_tail_t *tail = new_tail_();
	const mmx_store_record_t old = {
		.key = "a", .value = "old", .length = 3, .offset = 12};
	size_t i;

	mmx_store_tail_add(tail, &old);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_store_updates_t updates;
		size_t length = 0;
		uint8_t *bytes = mmx_store_tail_encode(tail, cases[i].from,
						       1234 * MS, &length);

		CU_ASSERT_EQUAL(bytes == NULL, cases[i].count < 0);
		if (!bytes)
			continue;
		CU_ASSERT_TRUE_FATAL(
			mmx_store_updates_decode(bytes, length, &updates));
		CU_ASSERT_EQUAL(updates.count, (size_t)cases[i].count);
		CU_ASSERT_EQUAL(updates.next, 15);
		CU_ASSERT_EQUAL(updates.age, 1234 * MS);
		if (updates.count)
			CU_ASSERT_EQUAL(updates.records[0].offset,
					cases[i].first);
		mmx_store_updates_clear(&updates);
		g_free(bytes);
	}
	mmx_store_tail_destroy(tail);
}

/* Guards against a tail that grows without bound, and against updates that omit
 * a record silently. */
static void test_long_record_(void)
{
	mmx_store_tail_t *tail = new_tail_();
	char *value = g_malloc0(MMX_STORE_TAIL_BYTES_MAX + 1);
	const mmx_store_record_t record = {.key = "a",
					   .value = value,
					   .length =
						   MMX_STORE_TAIL_BYTES_MAX + 1,
					   .offset = 15};
	size_t length;
	uint8_t *bytes;

	mmx_store_tail_add(tail, &record);
	CU_ASSERT_PTR_NULL(mmx_store_tail_encode(tail, 15, 0, &length));
	bytes = mmx_store_tail_encode(tail, 16, 0, &length);
	CU_ASSERT_PTR_NOT_NULL(bytes);
	g_free(bytes);
	mmx_store_tail_destroy(tail);
	g_free(value);
}

/* Guards against a read beyond the end of another node's message, and against
 * accepting truncated updates or inconsistent offsets. */
static void test_malformed_updates_(void)
{
	enum { ROUNDS = 20000 };
	mmx_store_tail_t *tail = new_tail_();
	size_t length;
	uint8_t *bytes = mmx_store_tail_encode(tail, 10, 0, &length);
	mmx_store_updates_t updates;
	mmx_random_t random;
	size_t i;
	int round;

	for (i = 0; i < length; i++) {
		uint8_t *part = g_memdup2(bytes, i);

		CU_ASSERT_FALSE(mmx_store_updates_decode(part, i, &updates));
		g_free(part);
	}
	mmx_random_seed(&random, 1);
	for (round = 0; round < ROUNDS; round++) {
		uint8_t *copy = g_memdup2(bytes, length);
		uint64_t least = 0;

		copy[mmx_random_below(&random, length)] =
			(uint8_t)mmx_random_below(&random, 256);
		copy[mmx_random_below(&random, length)] ^=
			(uint8_t)(1U << mmx_random_below(&random, 8));
		if (mmx_store_updates_decode(copy, length, &updates)) {
			for (i = 0; i < updates.count; i++) {
				CU_ASSERT(updates.records[i].offset >= least);
				CU_ASSERT(updates.records[i].offset <
					  updates.next);
				least = updates.records[i].offset + 1;
			}
			mmx_store_updates_clear(&updates);
		}
		g_free(copy);
	}
	g_free(bytes);
	mmx_store_tail_destroy(tail);
}

/* Guards against accepting a query that is truncated or contains NUL. */
static void test_malformed_queries_(void)
{
	size_t length;
	uint8_t *bytes = mmx_store_query_encode("topic", 77, &length);
	char topic[MMX_STORE_TOPIC_MAX + 1];
	uint64_t from;
	size_t i;

	CU_ASSERT_TRUE(mmx_store_query_decode(bytes, length, topic, &from));
	CU_ASSERT_STRING_EQUAL(topic, "topic");
	CU_ASSERT_EQUAL(from, 77);
	for (i = 0; i < length; i++)
		CU_ASSERT_FALSE(mmx_store_query_decode(bytes, i, topic, &from));
	bytes[12] = '\0';
	CU_ASSERT_FALSE(mmx_store_query_decode(bytes, length, topic, &from));
	g_free(bytes);
}

/* Guards against two nodes that each query the other, and against querying a
 * failing node without back-off. */
static void test_source_(void)
{
	static const mmx_node_id_t zone[] = {7, 3, 9};
	mmx_store_source_t *source = mmx_store_source_create(5);
	mmx_time_t now = 0;
	mmx_time_t backoff = 0;
	int failures;

	CU_ASSERT_EQUAL(mmx_store_source_choose(source, NULL, 0, now),
			MMX_STORE_SOURCE_STORE);
	CU_ASSERT_EQUAL(mmx_store_source_choose(source, zone, 3, now), 3);
	mmx_store_source_on_query(source, now);
	CU_ASSERT_EQUAL(mmx_store_source_choose(source, zone, 3, now),
			MMX_STORE_SOURCE_STORE);
	now += MMX_STORE_SOURCE_QUERIED_TTL_US;
	CU_ASSERT_EQUAL(mmx_store_source_choose(source, zone, 3, now), 3);
	for (failures = 0; failures < 10; failures++) {
		mmx_time_t since = now;

		mmx_store_source_report_failure(source, 3, now);
		while (mmx_store_source_choose(source, zone, 3, now) != 3)
			now += 100 * MS;
		CU_ASSERT(now - since >= backoff);
		backoff = now - since;
	}
	CU_ASSERT_EQUAL(backoff, MMX_STORE_SOURCE_BACKOFF_MAX_US);
	mmx_store_source_report_success(source, 3);
	mmx_store_source_report_failure(source, 3, now);
	CU_ASSERT_EQUAL(
		mmx_store_source_choose(source, zone, 3,
					now + MMX_STORE_SOURCE_BACKOFF_MIN_US),
		3);
	mmx_store_source_destroy(source);
}

CU_TestInfo mmx_tests_store_relay[] = {
	{"change in time if queried nodes fail", test_queried_node_fails_},
	{"the accepted age bounds the delay", test_max_age_},
	{"store calls do not grow with the nodes", test_store_calls_},
	{"restart of the first node", test_restart_},
	{"updates contain the records of the tail", test_updates_},
	{"long records are read from the store", test_long_record_},
	{"malformed updates", test_malformed_updates_},
	{"malformed queries", test_malformed_queries_},
	{"selection of a source", test_source_},
	CU_TEST_INFO_NULL,
};
