#include "private/store_relay.h"

#include <string.h>

#include "private/store_blocks.h"
#include "private/store_source.h"
#include "private/store_updates.h"

/* Time after which a busy node is queried for a block again. */
#define BUSY_RETRY_US (50 * MMX_US_PER_MS)
/* Longest time of a transfer in blocks; then the store is read. */
#define TRANSFER_MAX_US (2 * MMX_US_PER_S)

/* Updates that arrive in blocks. */
typedef struct transfer_t {
	uint64_t package;
	GByteArray *packed; /* NULL: no transfer is in progress */
	size_t unpacked;    /* length of the updates, bytes */
	mmx_time_t started_at;
	bool referred; /* the sender does not read the store */
} transfer_t;

typedef struct topic_t {
	LIST_ENTRY(topic_t) entry;
	mmx_relay_t *relay;
	char *name;
	mmx_store_tail_t *tail;
	mmx_time_t read_at;    /* when this node last read the store */
	mmx_time_t queried_at; /* when it last sent a query */
	/* The outstanding query; on_updates is NULL if there is none. */
	mmx_store_updates_fn_t on_updates;
	void *on_updates_arg;
	uint64_t from;
	mmx_time_t max_age; /* greatest accepted age of the reply */
	mmx_node_id_t queried_node;
	mmx_timer_t query_timer; /* sends the query */
	transfer_t transfer;
	mmx_timer_t block_timer; /* sends the query for a block */
} topic_t;

struct mmx_relay_t {
	mmx_store_relay_t base;
	mmx_store_relay_config_t config;
	mmx_store_source_t *source;
	LIST_HEAD(, topic_t) topics;
	mmx_store_sender_t *sender;
	mmx_node_id_t logged_source; /* in the latest log line */
	/* Queries by result, and queries answered. */
	mmx_counter_t *fresh;
	mmx_counter_t *stale;
	mmx_counter_t *failed;
	mmx_counter_t *served;
	mmx_counter_t *transfers; /* complete */
	mmx_counter_t *referred;  /* transfers from another node */
	mmx_counter_t *blocks;	  /* served */
};

static mmx_time_t now_(const mmx_relay_t *self)
{
	return mmx_clock_now(self->config.clock);
}

static void log_source_(mmx_relay_t *self, mmx_node_id_t node)
{
	const mmx_store_relay_config_t *config = &self->config;
	const char *name;

	if (node == self->logged_source)
		return;
	self->logged_source = node;
	name = node == MMX_STORE_SOURCE_STORE
		       ? "store"
		       : config->ops->node_name(config->context, node);
	mmx_log_event(config->log, MMX_LOG_INFO, "store_source", "source",
		      name ? name : "unknown", NULL);
}

static mmx_node_id_t choose_source_(mmx_relay_t *self)
{
	GArray *nodes = g_array_new(FALSE, FALSE, sizeof(mmx_node_id_t));
	mmx_node_id_t chosen;

	self->config.ops->list_zone_nodes(self->config.context, nodes);
	chosen = mmx_store_source_choose(self->source,
					 (mmx_node_id_t *)nodes->data,
					 nodes->len, now_(self));
	g_array_free(nodes, TRUE);
	log_source_(self, chosen);
	return chosen;
}

static void finish_query_(topic_t *topic, const mmx_store_updates_t *updates)
{
	mmx_store_updates_fn_t fn = topic->on_updates;

	topic->on_updates = NULL;
	if (topic->transfer.packed)
		g_byte_array_free(topic->transfer.packed, TRUE);
	topic->transfer.packed = NULL;
	if (fn)
		fn(topic->on_updates_arg, updates);
}

static void add_to_tail_(topic_t *topic, const mmx_store_updates_t *updates)
{
	size_t i;

	for (i = 0; i < updates->count; i++)
		mmx_store_tail_add(topic->tail, &updates->records[i]);
	mmx_store_tail_advance(topic->tail, updates->next);
}

/* Ends a query without updates, so that the store is read instead. */
static void fail_query_(topic_t *topic, mmx_counter_t *counter)
{
	mmx_relay_t *self = topic->relay;

	mmx_counter_add(counter, 1);
	mmx_store_source_report_failure(self->source, topic->queried_node,
					now_(self));
	finish_query_(topic, NULL);
}

/* bytes: encoded updates */
static void accept_updates_(topic_t *topic, const uint8_t *bytes, size_t length)
{
	mmx_relay_t *self = topic->relay;
	mmx_store_updates_t updates;

	if (!mmx_store_updates_decode(bytes, length, &updates)) {
		fail_query_(topic, self->failed);
		return;
	}
	if (updates.age > topic->max_age) {
		fail_query_(topic, self->stale);
	} else {
		mmx_counter_add(self->fresh, 1);
		mmx_store_source_report_success(self->source,
						topic->queried_node);
		add_to_tail_(topic, &updates);
		finish_query_(topic, &updates);
	}
	mmx_store_updates_clear(&updates);
}

static void on_block_(void *arg, const uint8_t *bytes, size_t length);

static void send_block_query_(void *arg)
{
	topic_t *topic = arg;
	mmx_relay_t *self = topic->relay;
	mmx_store_block_query_t query = {
		.from = topic->from,
		.package = topic->transfer.package,
		.position = topic->transfer.packed->len,
	};
	size_t length;
	uint8_t *bytes;

	g_strlcpy(query.topic, topic->name, sizeof(query.topic));
	bytes = mmx_store_block_query_encode(&query, &length);
	self->config.ops->send_query(self->config.context, topic->queried_node,
				     MMX_STORE_QUERY_BLOCK, bytes, length,
				     on_block_, topic);
	g_free(bytes);
}

static void begin_transfer_(topic_t *topic)
{
	topic->transfer = (transfer_t){
		.packed = g_byte_array_new(),
		.started_at = now_(topic->relay),
	};
	send_block_query_(topic);
}

static void end_transfer_(topic_t *topic)
{
	transfer_t *transfer = &topic->transfer;
	uint8_t *updates =
		mmx_store_unpack(transfer->packed->data, transfer->packed->len,
				 transfer->unpacked);

	if (!updates) {
		fail_query_(topic, topic->relay->failed);
		return;
	}
	mmx_counter_add(topic->relay->transfers, 1);
	accept_updates_(topic, updates, transfer->unpacked);
	g_free(updates);
}

/* The node serves others; a transfer that has not begun goes to the node that it
 * refers to. */
static void on_busy_(topic_t *topic, mmx_node_id_t other)
{
	mmx_relay_t *self = topic->relay;
	bool refer = other && other != self->config.node &&
		     topic->transfer.packed->len == 0;

	if (refer) {
		mmx_counter_add(self->referred, 1);
		topic->transfer.referred = true;
		topic->queried_node = other;
	}
	mmx_timer_set(&topic->block_timer, refer ? 0 : BUSY_RETRY_US);
}

static bool is_overdue_(const topic_t *topic)
{
	return now_(topic->relay) - topic->transfer.started_at >=
	       TRANSFER_MAX_US;
}

static bool completes_(const topic_t *topic, const mmx_store_block_t *block)
{
	return block->status == MMX_STORE_BLOCK_DATA &&
	       topic->transfer.packed->len + block->length >= block->total;
}

static void on_block_data_(topic_t *topic, const mmx_store_block_t *block)
{
	transfer_t *transfer = &topic->transfer;

	if (!transfer->referred && transfer->packed->len == 0 &&
	    block->age > topic->max_age) {
		fail_query_(topic, topic->relay->stale);
		return;
	}
	transfer->package = block->package;
	transfer->unpacked = block->unpacked;
	g_byte_array_append(transfer->packed, block->bytes,
			    (guint)block->length);
	if (transfer->packed->len >= block->total)
		end_transfer_(topic);
	else
		send_block_query_(topic);
}

static void on_block_(void *arg, const uint8_t *bytes, size_t length)
{
	topic_t *topic = arg;
	mmx_relay_t *self = topic->relay;
	mmx_store_block_t block;

	if (!topic->on_updates || !topic->transfer.packed)
		return;
	if (!bytes || !mmx_store_block_decode(bytes, length, &block)) {
		fail_query_(topic, self->failed);
		return;
	}
	if (is_overdue_(topic) && !completes_(topic, &block)) {
		finish_query_(topic, NULL);
		return;
	}
	switch (block.status) {
	case MMX_STORE_BLOCK_DATA:
		on_block_data_(topic, &block);
		break;
	case MMX_STORE_BLOCK_BUSY:
		on_busy_(topic, block.other);
		break;
	default:
		finish_query_(topic, NULL);
	}
}

static void on_reply_(void *arg, const uint8_t *bytes, size_t length)
{
	topic_t *topic = arg;

	if (!topic->on_updates)
		return;
	if (!bytes)
		fail_query_(topic, topic->relay->failed);
	else if (length == 0)
		begin_transfer_(topic);
	else
		accept_updates_(topic, bytes, length);
}

static void send_query_(void *arg)
{
	topic_t *topic = arg;
	mmx_relay_t *self = topic->relay;
	size_t length;
	uint8_t *bytes =
		mmx_store_query_encode(topic->name, topic->from, &length);

	topic->queried_at = now_(self);
	self->config.ops->send_query(self->config.context, topic->queried_node,
				     MMX_STORE_QUERY_UPDATES, bytes, length,
				     on_reply_, topic);
	g_free(bytes);
}

static topic_t *find_topic_(mmx_relay_t *self, const char *name)
{
	topic_t *topic;

	LIST_FOREACH (topic, &self->topics, entry)
		if (strcmp(topic->name, name) == 0)
			return topic;
	return NULL;
}

static topic_t *get_topic_(mmx_relay_t *self, const char *name)
{
	topic_t *topic = find_topic_(self, name);

	if (topic)
		return topic;
	topic = g_new0(topic_t, 1);
	topic->relay = self;
	topic->name = g_strdup(name);
	topic->tail = mmx_store_tail_create();
	topic->read_at = -MMX_TIME_NEVER / 2; /* never read */
	mmx_timer_init(&topic->query_timer, self->config.clock, send_query_,
		       topic);
	mmx_timer_init(&topic->block_timer, self->config.clock,
		       send_block_query_, topic);
	LIST_INSERT_HEAD(&self->topics, topic, entry);
	return topic;
}

static bool query_(mmx_store_relay_t *relay, const mmx_store_query_t *query,
		   mmx_store_updates_fn_t fn, void *arg)
{
	mmx_relay_t *self = (mmx_relay_t *)relay;
	topic_t *topic = get_topic_(self, query->topic);
	mmx_node_id_t node = choose_source_(self);
	mmx_time_t due = topic->queried_at + query->min_interval;

	if (node == MMX_STORE_SOURCE_STORE)
		return false;
	topic->on_updates = fn;
	topic->on_updates_arg = arg;
	topic->from = query->from;
	topic->max_age = query->max_age;
	topic->queried_node = node;
	mmx_timer_set(&topic->query_timer, MAX(due - now_(self), 0));
	return true;
}

static bool is_queried_(const mmx_store_relay_t *relay)
{
	const mmx_relay_t *self = (const mmx_relay_t *)relay;

	return mmx_store_source_is_queried(self->source, now_(self));
}

bool mmx_relay_serve(mmx_relay_t *self, const uint8_t *bytes, size_t length,
		     uint8_t **reply, size_t *reply_length)
{
	char name[MMX_STORE_TOPIC_MAX + 1];
	const topic_t *topic = NULL;
	uint64_t from;

	*reply_length = 0;
	if (mmx_store_query_decode(bytes, length, name, &from))
		topic = find_topic_(self, name);
	if (!topic)
		return false;
	mmx_store_source_on_query(self->source, now_(self));
	mmx_counter_add(self->served, 1);
	if (mmx_store_tail_encoded_size(topic->tail, from) <=
	    MMX_STORE_BLOCK_BYTES)
		*reply = mmx_store_tail_encode(topic->tail, from,
					       now_(self) - topic->read_at,
					       reply_length);
	return true;
}

bool mmx_relay_serve_block(mmx_relay_t *self, mmx_node_id_t from,
			   const uint8_t *bytes, size_t length, uint8_t **reply,
			   size_t *reply_length)
{
	mmx_store_block_query_t query;
	mmx_store_block_t block;
	const topic_t *topic = NULL;

	if (mmx_store_block_query_decode(bytes, length, &query))
		topic = find_topic_(self, query.topic);
	if (!topic)
		return false;
	mmx_store_sender_serve(self->sender, topic->tail,
			       now_(self) - topic->read_at, &query, from,
			       &block);
	mmx_counter_add(self->blocks, 1);
	*reply = mmx_store_block_encode(&block, reply_length);
	return true;
}

static void on_reset_(mmx_store_relay_t *relay, const char *name, uint64_t next)
{
	mmx_relay_t *self = (mmx_relay_t *)relay;
	topic_t *topic = get_topic_(self, name);

	mmx_store_tail_reset(topic->tail, next);
	topic->read_at = now_(self);
}

static void on_record_(mmx_store_relay_t *relay, const char *name,
		       const mmx_store_record_t *record)
{
	mmx_store_tail_add(get_topic_((mmx_relay_t *)relay, name)->tail,
			   record);
}

static void on_read_(mmx_store_relay_t *relay, const char *name, uint64_t next)
{
	mmx_relay_t *self = (mmx_relay_t *)relay;
	topic_t *topic = get_topic_(self, name);

	mmx_store_tail_advance(topic->tail, next);
	topic->read_at = now_(self);
}

static const mmx_store_relay_ops_t ops_ = {
	.query = query_,
	.is_queried = is_queried_,
	.on_reset = on_reset_,
	.on_record = on_record_,
	.on_read = on_read_,
};

static mmx_counter_t *query_counter_(mmx_relay_t *self, const char *result)
{
	char labels[40];

	g_snprintf(labels, sizeof(labels), "result=\"%s\"", result);
	return mmx_counters_get(self->config.counters, MMX_COUNTER,
				"masticmux_store_questions_total", labels,
				"Questions to other nodes for store news.");
}

mmx_relay_t *mmx_relay_create(const mmx_store_relay_config_t *config)
{
	mmx_relay_t *self = g_new0(mmx_relay_t, 1);

	self->base.ops = &ops_;
	self->config = *config;
	self->source = mmx_store_source_create(config->node);
	self->sender = mmx_store_sender_create(config->clock);
	LIST_INIT(&self->topics);
	if (!config->counters)
		return self;
	self->fresh = query_counter_(self, "fresh");
	self->stale = query_counter_(self, "stale");
	self->failed = query_counter_(self, "failed");
	self->served = mmx_counters_get(
		config->counters, MMX_COUNTER, "masticmux_store_served_total",
		"", "Questions of other nodes that were answered.");
	self->transfers = mmx_counters_get(
		config->counters, MMX_COUNTER,
		"masticmux_store_transfers_total", "",
		"Long updates that were received from other nodes in blocks.");
	self->referred = mmx_counters_get(
		config->counters, MMX_COUNTER,
		"masticmux_store_referrals_total", "",
		"Nodes that were queried because another one was busy.");
	self->blocks =
		mmx_counters_get(config->counters, MMX_COUNTER,
				 "masticmux_store_blocks_served_total", "",
				 "Queries for blocks that were answered.");
	return self;
}

void mmx_relay_destroy(mmx_relay_t *self)
{
	topic_t *topic;

	if (!self)
		return;
	while ((topic = LIST_FIRST(&self->topics))) {
		LIST_REMOVE(topic, entry);
		mmx_timer_cancel(&topic->query_timer);
		mmx_timer_cancel(&topic->block_timer);
		if (topic->transfer.packed)
			g_byte_array_free(topic->transfer.packed, TRUE);
		mmx_store_tail_destroy(topic->tail);
		g_free(topic->name);
		g_free(topic);
	}
	mmx_store_source_destroy(self->source);
	mmx_store_sender_destroy(self->sender);
	g_free(self);
}

mmx_store_relay_t *mmx_relay_base(mmx_relay_t *self)
{
	return &self->base;
}
