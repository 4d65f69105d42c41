#include "suites.h"

#include <glib.h>
#include <string.h>

#include "masticmux/random.h"
#include "private/store_blocks.h"
#include "private/store_relay.h"

#define MS MMX_US_PER_MS
#define TOPIC "config"
#define NODES_MAX 60
/* Time within which a change must be in force at all nodes. */
#define APPLY_MAX_US (2500 * MS)
/* Settings of a reader of the store (platform/log_store.c). */
#define MAX_AGE_US (1600 * MS)
#define QUERY_INTERVAL_US (500 * MS)
/* How often the first node reads the store. */
#define READ_INTERVAL_US (200 * MS)
#define QUERY_TIMEOUT_US (500 * MS)
#define LATENCY_US (1 * MS)
#define CHANGES_MAX 16

typedef struct world_t world_t;

typedef struct node_t {
	world_t *world;
	mmx_node_id_t id;
	mmx_relay_t *relay;
	mmx_timer_t timer; /* next query or read of the store */
	bool stopped;	   /* sends no further query */
	mmx_time_t link_free_at;
	uint64_t next;
	mmx_time_t received_at[CHANGES_MAX];
} node_t;

/* A query in progress; its reply occupies the link of the node that answers. */
typedef struct message_t {
	node_t *from;
	node_t *to;
	mmx_store_query_kind_t kind;
	uint8_t *bytes;
	size_t length;
	mmx_store_reply_fn_t fn;
	void *arg;
	uint8_t *reply;
	size_t reply_length;
	bool delivered; /* the query, to the other node */
	bool late;	/* the reply misses the time-out */
	mmx_timer_t timer;
} message_t;

struct world_t {
	mmx_clock_t *clock;
	mmx_random_t random;
	node_t nodes[NODES_MAX];
	size_t count;
	size_t routes;	   /* in a version */
	int64_t link_rate; /* of each node, bytes a second */
	char *value;	   /* newest version */
	size_t length;	   /* of the value */
	uint64_t end;	   /* offset after the newest version */
	mmx_time_t changed_at[CHANGES_MAX];
	unsigned int store_reads; /* by nodes other than the first */
	GPtrArray *messages;
};

static mmx_time_t now_(const world_t *world)
{
	return mmx_clock_now(world->clock);
}

static void list_zone_nodes_(void *context, GArray *nodes)
{
	const node_t *self = context;
	size_t i;

	for (i = 0; i < self->world->count; i++)
		if (&self->world->nodes[i] != self)
			g_array_append_val(nodes, self->world->nodes[i].id);
}

static const char *node_name_(void *context, mmx_node_id_t node)
{
	(void)context;
	(void)node;
	return NULL;
}

static void free_message_(gpointer data)
{
	message_t *message = data;

	mmx_timer_cancel(&message->timer);
	g_free(message->bytes);
	g_free(message->reply);
	g_free(message);
}

/* Returns when the reply has crossed the link of its sender. */
static mmx_time_t transmit_(node_t *node, size_t length)
{
	mmx_time_t start = MAX(now_(node->world), node->link_free_at);

	node->link_free_at = start + (mmx_time_t)length * MMX_US_PER_S /
					     node->world->link_rate;
	return node->link_free_at - now_(node->world) + LATENCY_US;
}

static void deliver_query_(message_t *message)
{
	mmx_relay_t *relay = message->to->relay;
	mmx_time_t duration;

	if (message->kind == MMX_STORE_QUERY_BLOCK)
		mmx_relay_serve_block(relay, message->from->id, message->bytes,
				      message->length, &message->reply,
				      &message->reply_length);
	else
		mmx_relay_serve(relay, message->bytes, message->length,
				&message->reply, &message->reply_length);
	duration = transmit_(message->to, message->reply_length);
	message->delivered = true;
	message->late = duration + LATENCY_US > QUERY_TIMEOUT_US;
	mmx_timer_set(&message->timer, MIN(duration, QUERY_TIMEOUT_US));
}

static void on_message_timer_(void *arg)
{
	message_t *message = arg;
	const uint8_t *reply = message->reply ? message->reply : message->bytes;

	if (!message->delivered) {
		deliver_query_(message);
		return;
	}
	message->fn(message->arg, message->late ? NULL : reply,
		    message->reply_length);
	g_ptr_array_remove_fast(message->from->world->messages, message);
}

static void send_query_(void *context, mmx_node_id_t id,
			mmx_store_query_kind_t kind, const uint8_t *bytes,
			size_t length, mmx_store_reply_fn_t fn, void *arg)
{
	node_t *self = context;
	message_t *message = g_new0(message_t, 1);

	message->from = self;
	message->to = &self->world->nodes[id - 1];
	message->kind = kind;
	message->bytes = g_memdup2(bytes, length);
	message->length = length;
	message->fn = fn;
	message->arg = arg;
	mmx_timer_init(&message->timer, self->world->clock, on_message_timer_,
		       message);
	mmx_timer_set(&message->timer, LATENCY_US);
	g_ptr_array_add(self->world->messages, message);
}

static const mmx_store_relay_node_ops_t node_ops_ = {list_zone_nodes_,
						     node_name_, send_query_};

static void note_arrival_(node_t *node, uint64_t offset)
{
	if (!node->received_at[offset])
		node->received_at[offset] = now_(node->world);
}

static void on_updates_(void *arg, const mmx_store_updates_t *updates)
{
	node_t *node = arg;
	size_t i;

	if (!updates)
		node->world->store_reads++;
	for (i = 0; updates && i < updates->count; i++) {
		const mmx_store_record_t *record = &updates->records[i];

		note_arrival_(node, record->offset);
		CU_ASSERT_TRUE(record->offset + 1 < node->world->end ||
			       (record->length == node->world->length &&
				memcmp(record->value, node->world->value,
				       record->length) == 0));
	}
	if (updates)
		node->next = MAX(node->next, updates->next);
	if (!node->stopped)
		mmx_timer_set(&node->timer, updates ? 0 : QUERY_INTERVAL_US);
}

static void read_store_(node_t *node)
{
	world_t *world = node->world;
	mmx_store_relay_t *base = mmx_relay_base(node->relay);

	/* It holds the newest version only, as it may after a slow read. */
	if (node->next < world->end) {
		const mmx_store_record_t record = {
			.key = "config",
			.value = world->value,
			.length = world->length,
			.offset = world->end - 1,
		};

		base->ops->on_record(base, TOPIC, &record);
		note_arrival_(node, record.offset);
		node->next = world->end;
	}
	base->ops->on_read(base, TOPIC, world->end);
	mmx_timer_set(&node->timer, READ_INTERVAL_US);
}

static void on_node_timer_(void *arg)
{
	node_t *node = arg;
	mmx_store_relay_t *base = mmx_relay_base(node->relay);
	const mmx_store_query_t query = {
		.topic = TOPIC,
		.from = node->next,
		.max_age = MAX_AGE_US,
		.min_interval = QUERY_INTERVAL_US,
	};

	if (!base->ops->query(base, &query, on_updates_, node))
		read_store_(node);
}

/* A version in the form of the platform, with names that do not repeat. */
static void change_(world_t *world)
{
	GString *text = g_string_new("{\"rules\":[");
	size_t i;

	for (i = 0; i < world->routes; i++)
		g_string_append_printf(
			text,
			"{\"name\":\"%08x\",\"kind\":\"read_only\","
			"\"match\":{\"pathPrefix\":\"/%08x/\"},\"action\":"
			"{\"service\":\"dele69a\",\"timeoutMs\":6000}},",
			(unsigned int)mmx_random_below(&world->random,
						       UINT32_MAX),
			(unsigned int)mmx_random_below(&world->random,
						       UINT32_MAX));
	g_free(world->value);
	world->length = text->len;
	world->value = g_string_free(text, FALSE);
	world->changed_at[world->end] = now_(world);
	world->end++;
}

static void open_(world_t *world, size_t count, size_t routes,
		  int64_t link_rate)
{
	size_t i;

	*world = (world_t){
		.clock = mmx_clock_create_paused(),
		.count = count,
		.routes = routes,
		.link_rate = link_rate,
		.end = 1,
		.messages = g_ptr_array_new_with_free_func(free_message_),
	};
	mmx_random_seed(&world->random, 1);
	for (i = 0; i < count; i++) {
		node_t *node = &world->nodes[i];
		mmx_store_relay_t *base;

		node->world = world;
		node->id = i + 1;
		node->next = 1;
		node->relay = mmx_relay_create(&(mmx_store_relay_config_t){
			.clock = world->clock,
			.node = node->id,
			.ops = &node_ops_,
			.context = node,
		});
		base = mmx_relay_base(node->relay);
		base->ops->on_reset(base, TOPIC, 1);
		mmx_timer_init(&node->timer, world->clock, on_node_timer_,
			       node);
		mmx_timer_set(&node->timer, (mmx_time_t)i * 7 * MS);
	}
	mmx_clock_advance(world->clock, MMX_US_PER_S);
}

static void close_(world_t *world)
{
	size_t i;

	g_ptr_array_free(world->messages, TRUE);
	for (i = 0; i < world->count; i++) {
		mmx_timer_cancel(&world->nodes[i].timer);
		mmx_relay_destroy(world->nodes[i].relay);
	}
	g_free(world->value);
	mmx_clock_destroy(world->clock);
}

/* Returns the longest time from a change until a node has that version or a
 * later one. */
static mmx_time_t longest_delay_(const world_t *world)
{
	mmx_time_t longest = 0;
	size_t i;
	uint64_t version;
	uint64_t other;

	for (i = 0; i < world->count; i++)
		for (version = 1; version < world->end; version++) {
			mmx_time_t first = MMX_TIME_NEVER;

			for (other = version; other < world->end; other++)
				if (world->nodes[i].received_at[other])
					first = MIN(
						first,
						world->nodes[i]
							.received_at[other]);
			longest = MAX(longest,
				      first - world->changed_at[version]);
		}
	return longest;
}

typedef struct load_case_t {
	const char *name;
	size_t nodes;
	size_t routes;
	int64_t link_rate; /* of each node, bytes a second */
	int changes;
	mmx_time_t gap; /* between changes */
} load_case_t;

static const load_case_t loads_[] = {
	{"small configuration", 20, 20, 1900000, 4, 500 * MS},
	{"large configuration", 20, 1700, 1900000, 1, 0},
	{"large configuration, one change after the other", 20, 1700, 1900000,
	 14, 330 * MS},
	{"changes faster than a transfer", 20, 1700, 1900000, 14, 40 * MS},
	{"very large configuration", 20, 8000, 1900000, 6, 700 * MS},
	{"many nodes, narrow links", 60, 2700, 1250000, 6, 700 * MS},
};

/* Load: a large configuration that changes often, in a zone whose nodes have
 * narrow links. Guards against nodes that read it from the store instead, all at
 * once, and against a link that is busy for too long. */
static void test_large_records_(void)
{
	size_t i;
	int change;

	for (i = 0; i < G_N_ELEMENTS(loads_); i++) {
		const load_case_t *row = &loads_[i];
		world_t world;

		open_(&world, row->nodes, row->routes, row->link_rate);
		for (change = 0; change < row->changes; change++) {
			change_(&world);
			mmx_clock_advance(world.clock, row->gap);
		}
		mmx_clock_advance(world.clock, 2 * APPLY_MAX_US);
		CU_ASSERT_TRUE(longest_delay_(&world) <= APPLY_MAX_US);
		CU_ASSERT_EQUAL(world.store_reads, 0);
		g_print("  %s: %zu nodes, %zu bytes, longest delay %lld ms, "
			"%u reads of the store\n",
			row->name, row->nodes, world.length,
			(long long)(longest_delay_(&world) / MS),
			world.store_reads);
		close_(&world);
	}
}

/* Guards against long updates from a node that no longer reads the store: the
 * store may have newer ones. */
static void test_stale_sender_(void)
{
	world_t world;

	open_(&world, 2, 1700, 1900000);
	world.nodes[1].stopped = true;
	mmx_clock_advance(world.clock, MMX_US_PER_S);
	change_(&world);
	mmx_clock_advance(world.clock, READ_INTERVAL_US);
	mmx_timer_cancel(&world.nodes[0].timer);
	mmx_clock_advance(world.clock, MAX_AGE_US);
	mmx_timer_set(&world.nodes[1].timer, 0);
	/* Before the next query, whose reply would show the age as well. */
	mmx_clock_advance(world.clock, QUERY_INTERVAL_US / 2);
	CU_ASSERT_TRUE(world.store_reads > 0);
	close_(&world);
}

/* A tail with one record from offset 1 on, whose value does not pack well. */
static mmx_store_tail_t *new_tail_(size_t length)
{
	mmx_store_tail_t *tail = mmx_store_tail_create();
	char *value = g_malloc(length);
	mmx_random_t random;
	size_t i;

	mmx_random_seed(&random, 1);
	for (i = 0; i < length; i++)
		value[i] = (char)mmx_random_below(&random, UINT8_MAX);
	mmx_store_tail_reset(tail, 1);
	mmx_store_tail_add(tail, &(mmx_store_record_t){.key = "config",
						       .value = value,
						       .length = length,
						       .offset = 1});
	g_free(value);
	return tail;
}

typedef struct serve_case_t {
	const char *what;
	mmx_time_t wait; /* before the query */
	mmx_node_id_t receiver;
	uint64_t from;
	uint64_t package;
	uint32_t position;
	mmx_store_block_status_t status;
	mmx_node_id_t other;
} serve_case_t;

#define BLOCK MMX_STORE_BLOCK_BYTES

/* The updates have two blocks. */
static const serve_case_t serves_[] = {
	{"unknown package", 0, 1, 1, 7, 0, MMX_STORE_BLOCK_NONE, 0},
	{"records no longer held", 0, 1, 0, 0, 0, MMX_STORE_BLOCK_NONE, 0},
	{"first receiver", 0, 1, 1, 0, 0, MMX_STORE_BLOCK_DATA, 0},
	{"beyond the end", 0, 1, 1, 1, 9 * BLOCK, MMX_STORE_BLOCK_NONE, 0},
	{"second receiver", 0, 2, 1, 0, 0, MMX_STORE_BLOCK_DATA, 0},
	{"third receiver", 0, 3, 1, 0, 0, MMX_STORE_BLOCK_DATA, 0},
	{"fourth receiver", 0, 4, 1, 0, 0, MMX_STORE_BLOCK_DATA, 0},
	{"one too many", 0, 5, 1, 0, 0, MMX_STORE_BLOCK_BUSY, 0},
	{"the first again", 0, 1, 1, 0, 0, MMX_STORE_BLOCK_DATA, 0},
	{"second block", 0, 1, 1, 1, BLOCK, MMX_STORE_BLOCK_DATA, 0},
	{"in the free place", 0, 5, 1, 0, 0, MMX_STORE_BLOCK_DATA, 0},
	{"referred", 0, 6, 1, 0, 0, MMX_STORE_BLOCK_BUSY, 1},
	{"silent receivers", MMX_STORE_RECEIVER_TTL_US, 6, 1, 0, 0,
	 MMX_STORE_BLOCK_DATA, 0},
	{"not used for long", MMX_STORE_PACKAGE_TTL_US, 6, 1, 1, BLOCK,
	 MMX_STORE_BLOCK_NONE, 0},
	{"packed again", 0, 6, 1, 0, 0, MMX_STORE_BLOCK_DATA, 0},
};

/* Guards against a sender that serves all nodes of a zone at once, refers to a
 * node without the updates, or counts receivers forever. */
static void test_receivers_(void)
{
	mmx_clock_t *clock = mmx_clock_create_paused();
	mmx_store_sender_t *sender = mmx_store_sender_create(clock);
	mmx_store_tail_t *tail = new_tail_(BLOCK + 100);
	mmx_store_block_t block;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(serves_); i++) {
		const serve_case_t *row = &serves_[i];
		const mmx_store_block_query_t query = {
			.topic = TOPIC,
			.from = row->from,
			.package = row->package,
			.position = row->position,
		};

		mmx_clock_advance(clock, row->wait);
		mmx_store_sender_serve(sender, tail, 0, &query, row->receiver,
				       &block);
		if (block.status != row->status || block.other != row->other)
			fprintf(stderr, "%s: %s, %d\n", row->what,
				mmx_store_block_status_string[block.status],
				(int)block.other);
		CU_ASSERT_EQUAL(block.status, row->status);
		CU_ASSERT_EQUAL(block.other, row->other);
	}
	mmx_store_tail_destroy(tail);
	mmx_store_sender_destroy(sender);
	mmx_clock_destroy(clock);
}

/* Guards against a transfer that a newer record ends, so that none is ever
 * complete while records follow each other quickly. */
static void test_newer_record_(void)
{
	mmx_clock_t *clock = mmx_clock_create_paused();
	mmx_store_sender_t *sender = mmx_store_sender_create(clock);
	mmx_store_tail_t *tail = new_tail_(BLOCK + 100);
	mmx_store_block_query_t query = {.topic = TOPIC, .from = 1};
	mmx_store_block_t block;
	uint64_t package;

	mmx_store_sender_serve(sender, tail, 0, &query, 1, &block);
	CU_ASSERT_EQUAL(block.status, MMX_STORE_BLOCK_DATA);
	package = block.package;
	mmx_store_tail_add(tail, &(mmx_store_record_t){.key = "config",
						       .value = "x",
						       .length = 1,
						       .offset = 2});
	query.package = package;
	query.position = BLOCK;
	mmx_store_sender_serve(sender, tail, 0, &query, 1, &block);
	CU_ASSERT_EQUAL(block.status, MMX_STORE_BLOCK_DATA);
	CU_ASSERT_EQUAL(block.total, BLOCK + block.length);
	query.package = 0;
	query.position = 0;
	mmx_store_sender_serve(sender, tail, 0, &query, 2, &block);
	CU_ASSERT_EQUAL(block.status, MMX_STORE_BLOCK_DATA);
	CU_ASSERT_NOT_EQUAL(block.package, package);
	mmx_store_tail_destroy(tail);
	mmx_store_sender_destroy(sender);
	mmx_clock_destroy(clock);
}

/* Changes one byte, or cuts the message. */
static size_t damage_(mmx_random_t *random, uint8_t *bytes, size_t length)
{
	if (mmx_random_below(random, 2))
		return (size_t)mmx_random_below(random, (uint32_t)length);
	bytes[mmx_random_below(random, (uint32_t)length)] ^=
		(uint8_t)(1 + mmx_random_below(random, 255));
	return length;
}

/* Guards against a read beyond the end of another node's message, and against
 * updates that are unpacked to more than they announce. */
static void test_damaged_messages_(void)
{
	enum { ROUNDS = 20000 };
	mmx_clock_t *clock = mmx_clock_create_paused();
	mmx_store_sender_t *sender = mmx_store_sender_create(clock);
	mmx_store_tail_t *tail = new_tail_(BLOCK / 2);
	const mmx_store_block_query_t query = {.topic = TOPIC, .from = 1};
	mmx_store_block_query_t decoded;
	mmx_store_block_t block;
	mmx_random_t random;
	uint8_t *whole;
	size_t whole_length;
	size_t length;
	int i;

	mmx_random_seed(&random, 1);
	mmx_store_sender_serve(sender, tail, 0, &query, 1, &block);
	whole = mmx_store_block_encode(&block, &whole_length);
	CU_ASSERT_TRUE(mmx_store_block_decode(whole, whole_length, &block));
	for (i = 0; i < ROUNDS; i++) {
		uint8_t *bytes = g_memdup2(whole, whole_length);
		uint8_t *updates = NULL;

		length = damage_(&random, bytes, whole_length);
		if (mmx_store_block_decode(bytes, length, &block) &&
		    block.status == MMX_STORE_BLOCK_DATA)
			updates = mmx_store_unpack(block.bytes, block.length,
						   block.unpacked);
		g_free(updates);
		g_free(bytes);
		bytes = mmx_store_block_query_encode(&query, &length);
		length = damage_(&random, bytes, length);
		if (mmx_store_block_query_decode(bytes, length, &decoded))
			CU_ASSERT_TRUE(strlen(decoded.topic) > 0);
		g_free(bytes);
	}
	block.bytes = (const uint8_t *)"";
	CU_ASSERT_PTR_NULL(
		mmx_store_unpack(block.bytes, 0, MMX_STORE_UNPACKED_MAX + 1));
	g_free(whole);
	mmx_store_tail_destroy(tail);
	mmx_store_sender_destroy(sender);
	mmx_clock_destroy(clock);
}

CU_TestInfo mmx_tests_store_blocks[] = {
	{"stale sender", test_stale_sender_},
	{"receivers", test_receivers_},
	{"newer record", test_newer_record_},
	{"damaged messages", test_damaged_messages_},
	{"large records", test_large_records_},
	CU_TEST_INFO_NULL,
};
