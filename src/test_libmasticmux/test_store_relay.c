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
#define NODES_EACH 12
#define NODES (ZONES * NODES_EACH)
/* In force everywhere within this time after it was accepted. */
#define APPLY_US (2500 * MS)
/* What a reader of the store does (platform/log_store.c). */
#define POLL_US (1500 * MS)
#define SERVING_POLL_US (1000 * MS)
#define FRESH_US (1600 * MS)
#define INTERVAL_US (500 * MS)
#define LOST_US (800 * MS)
#define RETRY_US (1000 * MS)
#define STORE_US (4 * MS)
/* Between two nodes, and until a question counts as lost. */
#define HOP_US (1 * MS)
#define ANSWER_TIMEOUT_US (500 * MS)

typedef struct world_t world_t;

typedef struct node_t {
	world_t *world;
	mmx_node_id_t id;
	int zone;
	mmx_relay_t *relay;
	bool down;	/* neither asks nor answers */
	bool store_cut; /* its calls to the store are lost */
	bool nodes_cut; /* what it sends to other nodes, and they to it */
	bool mute;	/* its answers to other nodes are lost */
	bool corrupt;	/* its answers cannot be read */
	bool reading;	/* at the store */
	bool direct;
	uint64_t next;
	mmx_time_t heard[4]; /* time of each record */
	mmx_timer_t timer;   /* end of a poll, or the next read */
	bool polling;
	mmx_time_t poll_ends;
} node_t;

/* A question on its way. */
typedef struct question_t {
	node_t *from;
	node_t *to;
	uint8_t *bytes;
	size_t length;
	mmx_store_reply_fn_t fn;
	void *arg;
	uint8_t *answer; /* NULL: none */
	size_t answer_length;
	mmx_timer_t timer;
	bool asked;
} question_t;

struct world_t {
	mmx_clock_t *clock;
	node_t nodes[NODES];
	uint64_t end; /* of the log */
	unsigned int calls;
	mmx_time_t fresh;
	GPtrArray *questions;
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

/* --- between nodes ----------------------------------------------------- */

static void zone_(void *context, GArray *nodes)
{
	const node_t *self = context;
	size_t i;

	for (i = 0; i < NODES; i++) {
		const node_t *other = &self->world->nodes[i];

		if (other != self && other->zone == self->zone)
			g_array_append_val(nodes, other->id);
	}
}

static const char *name_(void *context, mmx_node_id_t node)
{
	(void)context;
	(void)node;
	return NULL;
}

static bool reaches_(const node_t *from, const node_t *to)
{
	return !from->down && !to->down && !from->nodes_cut && !to->nodes_cut;
}

static void on_question_(void *arg)
{
	question_t *question = arg;
	bool arrived = reaches_(question->from, question->to);

	if (!question->asked && arrived &&
	    mmx_relay_serve(question->to->relay, question->bytes,
			    question->length, &question->answer,
			    &question->answer_length) &&
	    question->answer && question->to->corrupt)
		memset(question->answer, 0xff, question->answer_length);
	if (!question->asked) {
		bool answered = question->answer && !question->to->mute;

		question->asked = true;
		mmx_timer_set(&question->timer,
			      answered ? HOP_US : ANSWER_TIMEOUT_US);
		return;
	}
	if (!question->from->down)
		question->fn(question->arg,
			     question->to->mute ? NULL : question->answer,
			     question->answer_length);
	g_ptr_array_remove(question->from->world->questions, question);
}

static void free_question_(gpointer data)
{
	question_t *question = data;

	mmx_timer_cancel(&question->timer);
	g_free(question->bytes);
	g_free(question->answer);
	g_free(question);
}

static void call_(void *context, mmx_node_id_t id, const uint8_t *bytes,
		  size_t length, mmx_store_reply_fn_t fn, void *arg)
{
	node_t *self = context;
	question_t *question = g_new0(question_t, 1);

	question->from = self;
	question->to = find_(self->world, id);
	question->bytes = g_memdup2(bytes, length);
	question->length = length;
	question->fn = fn;
	question->arg = arg;
	mmx_timer_init(&question->timer, self->world->clock, on_question_,
		       question);
	mmx_timer_set(&question->timer, HOP_US);
	g_ptr_array_add(self->world->questions, question);
}

static const mmx_store_relay_node_ops_t node_ops_ = {zone_, name_, call_};

/* --- reading ----------------------------------------------------------- */

static void note_(node_t *node, uint64_t offset)
{
	if (offset < G_N_ELEMENTS(node->heard) && !node->heard[offset])
		node->heard[offset] = now_(node->world);
}

static void on_news_(void *arg, const mmx_store_updates_t *news)
{
	node_t *node = arg;
	size_t i;

	node->direct = !news;
	for (i = 0; news && i < news->count; i++)
		note_(node, news->records[i].offset);
	if (news)
		node->next = MAX(node->next, news->next);
	mmx_timer_set(&node->timer, 0);
}

static void take_(node_t *node)
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
		note_(node, node->next);
	}
	base->ops->on_read(base, TOPIC, node->next);
}

static void on_timer_(void *arg)
{
	node_t *node = arg;
	world_t *world = node->world;
	mmx_store_relay_t *base = mmx_relay_base(node->relay);
	const mmx_store_query_t question = {
		.topic = TOPIC,
		.from = node->next,
		.max_age = world->fresh,
		.min_interval = INTERVAL_US,
	};

	if (node->down)
		return;
	if (node->polling) {
		node->polling = false;
		if (node->store_cut)
			mmx_timer_set(&node->timer, RETRY_US);
		else
			take_(node);
		if (!node->store_cut)
			mmx_timer_set(&node->timer, 0);
		return;
	}
	if (!node->direct && base->ops->query(base, &question, on_news_, node))
		return;
	node->direct = false;
	node->polling = true;
	world->calls++;
	node->poll_ends =
		now_(world) +
		(base->ops->is_queried(base) ? SERVING_POLL_US : POLL_US);
	mmx_timer_set(&node->timer,
		      node->store_cut ? node->poll_ends - now_(world) + LOST_US
		      : node->next < world->end
			      ? STORE_US
			      : node->poll_ends - now_(world));
}

/* An operator's change: polls that wait end at once. */
static void append_(world_t *world)
{
	size_t i;

	world->end++;
	for (i = 0; i < NODES; i++)
		if (world->nodes[i].polling && !world->nodes[i].store_cut)
			mmx_timer_set(&world->nodes[i].timer, STORE_US);
}

/* --- world ------------------------------------------------------------- */

static void start_(node_t *node)
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

/* Ends the process of a node; its own questions end with it. */
static void stop_(node_t *node)
{
	GPtrArray *questions = node->world->questions;
	guint i = questions->len;

	while (i-- > 0)
		if (((question_t *)g_ptr_array_index(questions, i))->from ==
		    node)
			g_ptr_array_remove_index(questions, i);
	mmx_relay_destroy(node->relay);
}

static void open_(world_t *world, mmx_time_t fresh)
{
	size_t i;

	*world = (world_t){
		.clock = mmx_clock_create_paused(),
		.fresh = fresh,
		.questions = g_ptr_array_new_with_free_func(free_question_),
	};
	for (i = 0; i < NODES; i++) {
		node_t *node = &world->nodes[i];

		node->world = world;
		node->id = 100 + i;
		node->zone = (int)(i / NODES_EACH);
		mmx_timer_init(&node->timer, world->clock, on_timer_, node);
		start_(node);
	}
}

static void close_(world_t *world)
{
	size_t i;

	g_ptr_array_free(world->questions, TRUE);
	for (i = 0; i < NODES; i++) {
		mmx_timer_cancel(&world->nodes[i].timer);
		mmx_relay_destroy(world->nodes[i].relay);
	}
	mmx_clock_destroy(world->clock);
}

/* The node that the others of its zone ask: the first of them. */
static node_t *reader_(world_t *world, int zone)
{
	return &world->nodes[zone * NODES_EACH];
}

/* Longest time until a node that reaches the store had the record. */
static mmx_time_t lateness_(const world_t *world, uint64_t offset,
			    mmx_time_t since)
{
	mmx_time_t latest = 0;
	size_t i;

	for (i = 0; i < NODES; i++) {
		const node_t *node = &world->nodes[i];

		if (node->down || node->store_cut)
			continue;
		if (!node->heard[offset])
			return MMX_TIME_NEVER;
		latest = MAX(latest, node->heard[offset] - since);
	}
	return latest;
}

typedef enum fault_t {
	FAULT_NONE,
	FAULT_DOWN,
	FAULT_STORE_CUT,
	FAULT_NODES_CUT,
	FAULT_MUTE,
	FAULT_CORRUPT,
} fault_t;

static void strike_(node_t *node, fault_t fault)
{
	node->down = fault == FAULT_DOWN;
	node->store_cut = fault == FAULT_STORE_CUT;
	node->nodes_cut = fault == FAULT_NODES_CUT;
	node->mute = fault == FAULT_MUTE;
	node->corrupt = fault == FAULT_CORRUPT;
}

/*
 * Guards against a change that is late at nodes which reach the store, because
 * the node that they ask has failed in some way at the worst moment.
 */
static void test_readers_fail_(void)
{
	static const struct {
		const char *name;
		fault_t fault;
		size_t readers; /* that fail, in the order of their rank */
	} cases[] = {
		{"none", FAULT_NONE, 1},
		{"it stops or freezes", FAULT_DOWN, 1},
		{"the next one as well", FAULT_DOWN, 2},
		{"it is cut off from the store", FAULT_STORE_CUT, 1},
		{"the next one as well", FAULT_STORE_CUT, 2},
		{"it is cut off from the others", FAULT_NODES_CUT, 1},
		{"its answers are lost", FAULT_MUTE, 1},
		{"its answers cannot be read", FAULT_CORRUPT, 1},
		{"all but one of a zone are cut off from the store",
		 FAULT_STORE_CUT, NODES_EACH - 1},
	};
	size_t i;
	size_t n;
	int offset_ms;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_time_t worst = 0;

		/* At every moment of a poll and of a question. */
		for (offset_ms = 0; offset_ms <= 2000; offset_ms += 50) {
			world_t world;
			mmx_time_t accepted;

			open_(&world, FRESH_US);
			mmx_clock_advance(world.clock, 10 * MMX_US_PER_S);
			for (n = 0; n < cases[i].readers; n++)
				strike_(reader_(&world, 0) + n, cases[i].fault);
			mmx_clock_advance(world.clock, offset_ms * MS);
			append_(&world);
			accepted = now_(&world);
			mmx_clock_advance(world.clock, 10 * MMX_US_PER_S);
			worst = MAX(worst, lateness_(&world, 0, accepted));
			close_(&world);
		}
		if (worst >= APPLY_US)
			printf("\n  %s: %lld ms\n", cases[i].name,
			       (long long)(worst / MS));
		CU_ASSERT(worst < APPLY_US);
	}
}

/* The age that is accepted is what bounds the lateness: without it, nodes
 * believe a reader that has lost the store. */
static void test_age_matters_(void)
{
	world_t world;
	mmx_time_t accepted;

	open_(&world, 3600 * MMX_US_PER_S);
	mmx_clock_advance(world.clock, 10 * MMX_US_PER_S);
	strike_(reader_(&world, 0), FAULT_STORE_CUT);
	append_(&world);
	accepted = now_(&world);
	mmx_clock_advance(world.clock, 10 * MMX_US_PER_S);
	CU_ASSERT(lateness_(&world, 0, accepted) > APPLY_US);
	close_(&world);
}

/*
 * Guards against calls to the store that grow with the number of nodes, also
 * when all start at once, and after the reader of a zone has gone for good.
 */
static void test_cost_(void)
{
	static const struct {
		const char *name;
		bool reader_gone;
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

		open_(&world, FRESH_US);
		mmx_clock_advance(world.clock, cases[i].settled);
		for (zone = 0; zone < ZONES && cases[i].reader_gone; zone++)
			strike_(reader_(&world, zone), FAULT_DOWN);
		mmx_clock_advance(world.clock, cases[i].settled);
		calls = world.calls;
		mmx_clock_advance(world.clock, SECONDS * MMX_US_PER_S);
		calls = world.calls - calls;
		/* Two readers in each zone; without the relay all nodes. */
		if (calls > 2 * ZONES * SECONDS)
			printf("\n  %s: %u calls\n", cases[i].name, calls);
		CU_ASSERT(calls <= 2 * ZONES * SECONDS);
		close_(&world);
	}
}

/* Guards against a node that starts anew in the first rank, knows nothing and
 * keeps its zone from the news. */
static void test_restart_(void)
{
	world_t world;
	node_t *reader;
	mmx_time_t accepted;

	open_(&world, FRESH_US);
	mmx_clock_advance(world.clock, 10 * MMX_US_PER_S);
	append_(&world);
	mmx_clock_advance(world.clock, 5 * MMX_US_PER_S);
	reader = reader_(&world, 0);
	reader->down = true;
	mmx_timer_cancel(&reader->timer);
	mmx_clock_advance(world.clock, 1 * MMX_US_PER_S);
	stop_(reader);
	reader->down = false;
	reader->polling = false;
	reader->next = world.end;
	start_(reader);
	mmx_clock_advance(world.clock, 100 * MS);
	append_(&world);
	accepted = now_(&world);
	mmx_clock_advance(world.clock, 10 * MMX_US_PER_S);
	CU_ASSERT(lateness_(&world, 1, accepted) < APPLY_US);
	close_(&world);
}

/* --- news -------------------------------------------------------------- */

static mmx_store_tail_t *tail_(void)
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

/* Guards against records that are lost, doubled or brought back on their way
 * between two nodes. */
static void test_news_(void)
{
	static const struct {
		uint64_t from;
		int count; /* -1: some are not kept */
		uint64_t first;
	} cases[] = {
		{9, -1, 0},  {10, 3, 10}, {11, 2, 11},
		{12, 1, 13}, {14, 0, 0},  {20, 0, 0},
	};
	mmx_store_tail_t *tail = tail_();
	const mmx_store_record_t old = {
		.key = "a", .value = "old", .length = 3, .offset = 12};
	size_t i;

	mmx_store_tail_add(tail, &old);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_store_updates_t news;
		size_t length = 0;
		uint8_t *bytes = mmx_store_tail_encode(tail, cases[i].from,
						       1234 * MS, &length);

		CU_ASSERT_EQUAL(bytes == NULL, cases[i].count < 0);
		if (!bytes)
			continue;
		CU_ASSERT_TRUE_FATAL(
			mmx_store_updates_decode(bytes, length, &news));
		CU_ASSERT_EQUAL(news.count, (size_t)cases[i].count);
		CU_ASSERT_EQUAL(news.next, 15);
		CU_ASSERT_EQUAL(news.age, 1234 * MS);
		if (news.count)
			CU_ASSERT_EQUAL(news.records[0].offset, cases[i].first);
		mmx_store_updates_clear(&news);
		g_free(bytes);
	}
	mmx_store_tail_destroy(tail);
}

/* Guards against a long record that is sent to a whole zone, and against news
 * that leave it out. */
static void test_long_record_(void)
{
	mmx_store_tail_t *tail = tail_();
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

/* Guards against a message of another node that is read beyond its end, or
 * taken although it makes no sense. */
static void test_malformed_(void)
{
	enum { ROUNDS = 20000 };
	mmx_store_tail_t *tail = tail_();
	size_t length;
	uint8_t *bytes = mmx_store_tail_encode(tail, 10, 0, &length);
	mmx_store_updates_t news;
	mmx_random_t random;
	size_t i;
	int round;

	for (i = 0; i < length; i++) {
		uint8_t *part = g_memdup2(bytes, i);

		CU_ASSERT_FALSE(mmx_store_updates_decode(part, i, &news));
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
		if (mmx_store_updates_decode(copy, length, &news)) {
			for (i = 0; i < news.count; i++) {
				CU_ASSERT(news.records[i].offset >= least);
				CU_ASSERT(news.records[i].offset < news.next);
				least = news.records[i].offset + 1;
			}
			mmx_store_updates_clear(&news);
		}
		g_free(copy);
	}
	g_free(bytes);
	mmx_store_tail_destroy(tail);
}

/* Guards against a question that is taken although bytes are missing. */
static void test_questions_(void)
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

/* --- source ------------------------------------------------------------ */

/* Guards against two nodes that each wait for the other, and against one that
 * is asked again and again although it fails. */
static void test_source_(void)
{
	static const mmx_node_id_t zone[] = {7, 3, 9};
	mmx_store_source_t *source = mmx_store_source_create(5);
	mmx_time_t now = 0;
	mmx_time_t avoided = 0;
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
		CU_ASSERT(now - since >= avoided);
		avoided = now - since;
	}
	CU_ASSERT_EQUAL(avoided, MMX_STORE_SOURCE_BACKOFF_MAX_US);
	mmx_store_source_report_success(source, 3);
	mmx_store_source_report_failure(source, 3, now);
	CU_ASSERT_EQUAL(
		mmx_store_source_choose(source, zone, 3,
					now + MMX_STORE_SOURCE_BACKOFF_MIN_US),
		3);
	mmx_store_source_destroy(source);
}

CU_TestInfo mmx_tests_store_relay[] = {
	{"nodes that are asked fail", test_readers_fail_},
	{"the accepted age bounds the lateness", test_age_matters_},
	{"calls do not grow with the nodes", test_cost_},
	{"the first node starts anew", test_restart_},
	{"news carry what is kept", test_news_},
	{"long records are left to the store", test_long_record_},
	{"malformed news", test_malformed_},
	{"questions", test_questions_},
	{"choice of a source", test_source_},
	CU_TEST_INFO_NULL,
};
