#include "private/store_relay.h"

#include <string.h>

#include "private/store_updates.h"
#include "private/store_source.h"

typedef struct topic_t {
	LIST_ENTRY(topic_t) entry;
	mmx_relay_t *self;
	char *name;
	mmx_store_tail_t *tail;
	mmx_time_t confirmed; /* at the store, by this node */
	mmx_time_t asked;     /* time of the latest question */
	/* The question that is open; fn is NULL without one. */
	mmx_store_updates_fn_t fn;
	void *arg;
	uint64_t from;
	mmx_time_t fresh;
	mmx_node_id_t node;
	mmx_timer_t timer;
} topic_t;

struct mmx_relay_t {
	mmx_store_relay_t base;
	mmx_store_relay_config_t config;
	mmx_store_source_t *source;
	LIST_HEAD(, topic_t) topics;
	mmx_node_id_t current; /* as last logged */
	mmx_counter_t *fresh;
	mmx_counter_t *stale;
	mmx_counter_t *failed;
	mmx_counter_t *served;
};

static mmx_time_t now_(const mmx_relay_t *self)
{
	return mmx_clock_now(self->config.clock);
}

/* --- choice of a source ------------------------------------------------ */

static void log_source_(mmx_relay_t *self, mmx_node_id_t node)
{
	const mmx_store_relay_config_t *config = &self->config;
	const char *name;

	if (node == self->current)
		return;
	self->current = node;
	name = node == MMX_STORE_SOURCE_STORE
		       ? "store"
		       : config->ops->node_name(config->context, node);
	mmx_log_event(config->log, MMX_LOG_INFO, "store_source", "source",
		      name ? name : "unknown", NULL);
}

static mmx_node_id_t choose_(mmx_relay_t *self)
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

/* --- questions --------------------------------------------------------- */

static void end_(topic_t *topic, const mmx_store_updates_t *news)
{
	mmx_store_updates_fn_t fn = topic->fn;

	topic->fn = NULL;
	if (fn)
		fn(topic->arg, news);
}

static void keep_(topic_t *topic, const mmx_store_updates_t *news)
{
	size_t i;

	for (i = 0; i < news->count; i++)
		mmx_store_tail_add(topic->tail, &news->records[i]);
	mmx_store_tail_advance(topic->tail, news->next);
}

/* The store has to be read instead. */
static void fail_(topic_t *topic, mmx_counter_t *counter)
{
	mmx_relay_t *self = topic->self;

	mmx_counter_add(counter, 1);
	mmx_store_source_report_failure(self->source, topic->node, now_(self));
	end_(topic, NULL);
}

static void on_answer_(void *arg, const uint8_t *bytes, size_t length)
{
	topic_t *topic = arg;
	mmx_relay_t *self = topic->self;
	mmx_store_updates_t news;

	if (!topic->fn)
		return;
	/* It reads the store, but has not kept the records. */
	if (bytes && length == 0) {
		end_(topic, NULL);
		return;
	}
	if (!bytes || !mmx_store_updates_decode(bytes, length, &news)) {
		fail_(topic, self->failed);
		return;
	}
	if (news.age > topic->fresh) {
		fail_(topic, self->stale);
	} else {
		mmx_counter_add(self->fresh, 1);
		mmx_store_source_report_success(self->source, topic->node);
		keep_(topic, &news);
		end_(topic, &news);
	}
	mmx_store_updates_clear(&news);
}

static void on_timer_(void *arg)
{
	topic_t *topic = arg;
	mmx_relay_t *self = topic->self;
	size_t length;
	uint8_t *bytes =
		mmx_store_query_encode(topic->name, topic->from, &length);

	topic->asked = now_(self);
	self->config.ops->send_query(self->config.context, topic->node, bytes,
				     length, on_answer_, topic);
	g_free(bytes);
}

static topic_t *find_(mmx_relay_t *self, const char *name)
{
	topic_t *topic;

	LIST_FOREACH (topic, &self->topics, entry)
		if (strcmp(topic->name, name) == 0)
			return topic;
	return NULL;
}

static topic_t *topic_(mmx_relay_t *self, const char *name)
{
	topic_t *topic = find_(self, name);

	if (topic)
		return topic;
	topic = g_new0(topic_t, 1);
	topic->self = self;
	topic->name = g_strdup(name);
	topic->tail = mmx_store_tail_create();
	topic->confirmed = -MMX_TIME_NEVER / 2; /* very old */
	mmx_timer_init(&topic->timer, self->config.clock, on_timer_, topic);
	LIST_INSERT_HEAD(&self->topics, topic, entry);
	return topic;
}

static bool ask_(mmx_store_relay_t *relay, const mmx_store_query_t *question,
		 mmx_store_updates_fn_t fn, void *arg)
{
	mmx_relay_t *self = (mmx_relay_t *)relay;
	topic_t *topic = topic_(self, question->topic);
	mmx_node_id_t node = choose_(self);
	mmx_time_t due = topic->asked + question->min_interval;

	if (node == MMX_STORE_SOURCE_STORE)
		return false;
	topic->fn = fn;
	topic->arg = arg;
	topic->from = question->from;
	topic->fresh = question->max_age;
	topic->node = node;
	mmx_timer_set(&topic->timer, MAX(due - now_(self), 0));
	return true;
}

/* --- questions of other nodes ------------------------------------------ */

static bool serves_(const mmx_store_relay_t *relay)
{
	const mmx_relay_t *self = (const mmx_relay_t *)relay;

	return mmx_store_source_is_queried(self->source, now_(self));
}

bool mmx_relay_serve(mmx_relay_t *self, const uint8_t *bytes, size_t length,
		     uint8_t **answer, size_t *answer_length)
{
	char name[MMX_STORE_TOPIC_MAX + 1];
	const topic_t *topic = NULL;
	uint64_t from;

	*answer_length = 0;
	if (mmx_store_query_decode(bytes, length, name, &from))
		topic = find_(self, name);
	if (!topic)
		return false;
	mmx_store_source_on_query(self->source, now_(self));
	mmx_counter_add(self->served, 1);
	*answer = mmx_store_tail_encode(topic->tail, from,
					now_(self) - topic->confirmed,
					answer_length);
	return true;
}

/* --- what this node reads ---------------------------------------------- */

static void started_(mmx_store_relay_t *relay, const char *name, uint64_t next)
{
	mmx_relay_t *self = (mmx_relay_t *)relay;
	topic_t *topic = topic_(self, name);

	mmx_store_tail_reset(topic->tail, next);
	topic->confirmed = now_(self);
}

static void record_(mmx_store_relay_t *relay, const char *name,
		    const mmx_store_record_t *record)
{
	mmx_store_tail_add(topic_((mmx_relay_t *)relay, name)->tail, record);
}

static void confirmed_(mmx_store_relay_t *relay, const char *name,
		       uint64_t next)
{
	mmx_relay_t *self = (mmx_relay_t *)relay;
	topic_t *topic = topic_(self, name);

	mmx_store_tail_advance(topic->tail, next);
	topic->confirmed = now_(self);
}

static const mmx_store_relay_ops_t relay_ops_ = {
	.query = ask_,
	.is_queried = serves_,
	.on_reset = started_,
	.on_record = record_,
	.on_read = confirmed_,
};

/* --- life -------------------------------------------------------------- */

static mmx_counter_t *count_(mmx_relay_t *self, const char *result)
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

	self->base.ops = &relay_ops_;
	self->config = *config;
	self->source = mmx_store_source_create(config->node);
	LIST_INIT(&self->topics);
	if (!config->counters)
		return self;
	self->fresh = count_(self, "fresh");
	self->stale = count_(self, "stale");
	self->failed = count_(self, "failed");
	self->served = mmx_counters_get(
		config->counters, MMX_COUNTER, "masticmux_store_served_total",
		"", "Questions of other nodes that were answered.");
	return self;
}

void mmx_relay_destroy(mmx_relay_t *self)
{
	topic_t *topic;

	if (!self)
		return;
	while ((topic = LIST_FIRST(&self->topics))) {
		LIST_REMOVE(topic, entry);
		mmx_timer_cancel(&topic->timer);
		mmx_store_tail_destroy(topic->tail);
		g_free(topic->name);
		g_free(topic);
	}
	mmx_store_source_destroy(self->source);
	g_free(self);
}

mmx_store_relay_t *mmx_relay_base(mmx_relay_t *self)
{
	return &self->base;
}
