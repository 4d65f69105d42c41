#include "share/fake_fleet.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "masticmux/random.h"

#define NEAR_DELAY 500LL
#define FAR_DELAY (30 * MMX_US_PER_MS)
#define REORDER_DELAY (200 * MMX_US_PER_MS)
#define PROBE_INTERVAL MMX_US_PER_S
#define LOG_TIMEOUT (2 * MMX_US_PER_S)
/* Bytes of a message beyond its records: IP, RPC header, digest, fields. */
#define NEWS_BYTES 140
#define CALL_BYTES 160
#define RECORD_BYTES 24
/* The share of PING and ACK that is due to the configuration. */
#define PROBE_BYTES 24

typedef struct stream_t {
	GPtrArray *records; /* of char *, NULL when expired */
	uint64_t first;
} stream_t;

typedef struct node_t {
	fake_fleet_t *fleet;
	mmx_config_t *config;
	mmx_node_id_t id;
	size_t region;
	uint32_t generation;
	bool isolated;
	uint64_t highest;
	mmx_timer_t probe;
} node_t;

typedef enum kind_t {
	NEWS,
	PULL,
	PULLED,
	LOAD,
	LOADED,
	LOG_READ,
	LOG_APPEND,
	KIND_COUNT
} kind_t;

/* A message on its way, or a call to the log until its answer. */
typedef struct message_t {
	LIST_ENTRY(message_t) entry;
	mmx_timer_t timer;
	fake_fleet_t *fleet;
	kind_t kind;
	size_t from;
	size_t to;
	uint32_t generation; /* of the receiver, for calls to the log */
	mmx_config_news_t news;
	uint64_t offset;
	uint32_t part;
	mmx_config_stream_t stream;
	unsigned int max;
	bool waiting; /* long poll that may end early */
	mmx_log_result_t result;
	GBytes *data; /* LOADED; NULL: refused */
	mmx_log_record_t *records;
	size_t count;
} message_t;

struct fake_fleet_t {
	fake_fleet_options_t options;
	mmx_clock_t *clock;
	mmx_random_t random;
	node_t *nodes;
	size_t count;
	GHashTable *index; /* node id -> node_t */
	LIST_HEAD(, message_t) messages;
	stream_t streams[MMX_CONFIG_STREAM_COUNT];
	bool log_down[FAKE_FLEET_REGIONS_MAX];
	bool blocked[FAKE_FLEET_REGIONS_MAX][FAKE_FLEET_REGIONS_MAX];
	unsigned int lost_answers;
	size_t reverts;
	uint64_t bytes;
	uint64_t appends;
	uint64_t reads;
	uint64_t read_bytes;
};

static bool chance_(fake_fleet_t *fleet, unsigned int percent)
{
	return percent && mmx_random_below(&fleet->random, 100) < percent;
}

static void free_message_(message_t *message)
{
	size_t i;

	mmx_timer_cancel(&message->timer);
	LIST_REMOVE(message, entry);
	for (i = 0; i < message->count; i++)
		g_free((char *)message->records[i].data);
	g_free(message->records);
	if (message->data)
		g_bytes_unref(message->data);
	g_free(message);
}

static void on_message_(void *arg);

static message_t *new_message_(fake_fleet_t *fleet, kind_t kind, size_t from,
			       size_t to)
{
	message_t *message = g_new0(message_t, 1);

	message->fleet = fleet;
	message->kind = kind;
	message->from = from;
	message->to = to;
	LIST_INSERT_HEAD(&fleet->messages, message, entry);
	mmx_timer_init(&message->timer, fleet->clock, on_message_, message);
	return message;
}

static bool reaches_(const fake_fleet_t *fleet, const node_t *from,
		     const node_t *to)
{
	return !from->isolated && !to->isolated &&
	       !fleet->blocked[from->region][to->region];
}

static mmx_time_t delay_(fake_fleet_t *fleet, size_t from, size_t to)
{
	bool near = fleet->nodes[from].region == fleet->nodes[to].region;
	mmx_time_t delay = near ? NEAR_DELAY : FAR_DELAY;

	if (chance_(fleet, fleet->options.reorder_percent))
		delay += (mmx_time_t)mmx_random_below(&fleet->random,
						      REORDER_DELAY);
	return delay;
}

/* Sends or loses a message. Only NEWS may be doubled: the others are calls
 * and answers on a connection. */
static void send_(message_t *message, size_t bytes)
{
	fake_fleet_t *fleet = message->fleet;
	const node_t *from = &fleet->nodes[message->from];
	const node_t *to = &fleet->nodes[message->to];

	fleet->bytes += bytes;
	if (!reaches_(fleet, from, to) ||
	    chance_(fleet, fleet->options.loss_percent)) {
		free_message_(message);
		return;
	}
	if (message->kind == NEWS &&
	    chance_(fleet, fleet->options.duplicate_percent)) {
		message_t *twin =
			new_message_(fleet, NEWS, message->from, message->to);

		twin->news = message->news;
		mmx_timer_set(&twin->timer,
			      delay_(fleet, message->from, message->to));
	}
	mmx_timer_set(&message->timer,
		      delay_(fleet, message->from, message->to));
}

static size_t find_(const fake_fleet_t *fleet, mmx_node_id_t id)
{
	const node_t *node = g_hash_table_lookup(fleet->index, &id);

	return (size_t)(node - fleet->nodes);
}

static size_t index_(const node_t *node)
{
	return (size_t)(node - node->fleet->nodes);
}

static void send_news_(void *arg, mmx_node_id_t peer,
		       const mmx_config_news_t *news)
{
	node_t *node = arg;
	message_t *message = new_message_(node->fleet, NEWS, index_(node),
					  find_(node->fleet, peer));

	message->news = *news;
	send_(message, NEWS_BYTES);
}

static void send_pull_(void *arg, mmx_node_id_t peer, uint64_t after)
{
	node_t *node = arg;
	message_t *message = new_message_(node->fleet, PULL, index_(node),
					  find_(node->fleet, peer));

	message->offset = after;
	send_(message, CALL_BYTES);
}

static void send_load_(void *arg, mmx_node_id_t peer, uint64_t applied,
		       uint32_t part)
{
	node_t *node = arg;
	message_t *message = new_message_(node->fleet, LOAD, index_(node),
					  find_(node->fleet, peer));

	message->offset = applied;
	message->part = part;
	send_(message, CALL_BYTES);
}

static const mmx_config_transport_ops_t transport_ = {
	send_news_,
	send_pull_,
	send_load_,
};

static void copy_records_(message_t *message, const mmx_log_record_t *records,
			  size_t count)
{
	size_t i;

	message->records = g_new(mmx_log_record_t, count + 1);
	message->count = count;
	for (i = 0; i < count; i++) {
		message->records[i] = records[i];
		message->records[i].data =
			g_strndup(records[i].data, records[i].length);
	}
}

static void answer_pull_(const message_t *call)
{
	fake_fleet_t *fleet = call->fleet;
	message_t *answer = new_message_(fleet, PULLED, call->to, call->from);
	mmx_config_records_t records;
	size_t bytes = CALL_BYTES;
	size_t i;

	if (!mmx_config_serve_pull(fleet->nodes[call->to].config, call->offset,
				   &records)) {
		free_message_(answer);
		return;
	}
	answer->news = records.news;
	answer->offset = records.first;
	copy_records_(answer, records.records, records.count);
	for (i = 0; i < records.count; i++)
		bytes += RECORD_BYTES + records.records[i].length;
	send_(answer, bytes);
}

static void answer_load_(const message_t *call)
{
	fake_fleet_t *fleet = call->fleet;
	message_t *answer = new_message_(fleet, LOADED, call->to, call->from);
	size_t length = 0;
	const uint8_t *part =
		mmx_config_serve_load(fleet->nodes[call->to].config,
				      call->offset, call->part, &length);

	if (part)
		answer->data = g_bytes_new(part, length);
	send_(answer, CALL_BYTES + length);
}

static void take_pulled_(const message_t *message, mmx_node_id_t peer)
{
	mmx_config_records_t records = {
		.news = message->news,
		.first = message->offset,
		.records = message->records,
		.count = message->count,
	};

	mmx_config_on_pulled(message->fleet->nodes[message->to].config, peer,
			     &records);
}

static void take_loaded_(const message_t *message, mmx_node_id_t peer)
{
	gsize length = 0;
	const uint8_t *part =
		message->data ? g_bytes_get_data(message->data, &length) : NULL;

	mmx_config_on_loaded(message->fleet->nodes[message->to].config, peer,
			     part, length);
}

static uint64_t next_(const stream_t *stream)
{
	return stream->records->len;
}

static void answer_read_(const message_t *call)
{
	fake_fleet_t *fleet = call->fleet;
	const stream_t *stream = &fleet->streams[call->stream];
	mmx_log_records_t records = {.first = stream->first,
				     .next = next_(stream)};
	mmx_log_record_t *list = g_new0(mmx_log_record_t, call->max);
	uint64_t offset = MAX(call->offset, stream->first);

	for (; offset < records.next && records.count < call->max; offset++) {
		mmx_log_record_t *record = &list[records.count++];

		record->offset = offset;
		record->data = stream->records->pdata[offset];
		record->length = strlen(record->data);
		fleet->read_bytes += record->length;
	}
	records.records = list;
	mmx_config_on_read(fleet->nodes[call->to].config, call->stream,
			   call->result,
			   call->result == MMX_LOG_OK ? &records : NULL);
	g_free(list);
}

static void take_(const message_t *message)
{
	fake_fleet_t *fleet = message->fleet;
	node_t *to = &fleet->nodes[message->to];
	mmx_node_id_t peer = fleet->nodes[message->from].id;

	switch (message->kind) {
	case NEWS:
		mmx_config_on_news(to->config, peer, &message->news);
		break;
	case PULL:
		answer_pull_(message);
		break;
	case PULLED:
		take_pulled_(message, peer);
		break;
	case LOAD:
		answer_load_(message);
		break;
	case LOADED:
		take_loaded_(message, peer);
		break;
	case LOG_READ:
		if (message->generation == to->generation)
			answer_read_(message);
		break;
	default:
		if (message->generation == to->generation)
			mmx_config_on_appended(to->config, message->result);
		break;
	}
}

static void on_message_(void *arg)
{
	message_t *message = arg;
	fake_fleet_t *fleet = message->fleet;
	node_t *to = &fleet->nodes[message->to];

	if (message->kind < LOG_READ &&
	    !reaches_(fleet, &fleet->nodes[message->from], to)) {
		free_message_(message);
		return;
	}
	take_(message);
	free_message_(message);
}

static bool reaches_log_(const node_t *node)
{
	return !node->isolated && !node->fleet->log_down[node->region];
}

static mmx_time_t log_delay_(const node_t *node)
{
	return 2 * (node->region == 0 ? NEAR_DELAY : FAR_DELAY);
}

/* The log is in region 0. A read that has to wait ends at the append. */
static void read_(void *arg, mmx_config_stream_t stream, uint64_t from,
		  unsigned int max, mmx_time_t wait)
{
	node_t *node = arg;
	fake_fleet_t *fleet = node->fleet;
	message_t *call =
		new_message_(fleet, LOG_READ, index_(node), index_(node));

	fleet->reads++;
	call->generation = node->generation;
	call->stream = stream;
	call->offset = from;
	call->max = max;
	if (!reaches_log_(node)) {
		call->result = MMX_LOG_UNKNOWN;
		mmx_timer_set(&call->timer, LOG_TIMEOUT);
		return;
	}
	call->waiting = wait > 0 && from >= next_(&fleet->streams[stream]);
	mmx_timer_set(&call->timer,
		      log_delay_(node) + (call->waiting ? wait : 0));
}

/* Ends the long polls that a new record answers, and fails those of nodes
 * that cannot reach the log any more when they time out. */
static void wake_(fake_fleet_t *fleet, mmx_config_stream_t stream)
{
	message_t *call;

	LIST_FOREACH (call, &fleet->messages, entry) {
		const node_t *node = &fleet->nodes[call->to];

		if (call->kind != LOG_READ || !call->waiting ||
		    call->stream != stream || !reaches_log_(node))
			continue;
		call->waiting = false;
		mmx_timer_set(&call->timer, log_delay_(node));
	}
}

static uint64_t append_record_(fake_fleet_t *fleet, mmx_config_stream_t stream,
			       char *record)
{
	g_ptr_array_add(fleet->streams[stream].records, record);
	wake_(fleet, stream);
	return next_(&fleet->streams[stream]) - 1;
}

static void append_(void *arg, const char *data, size_t length)
{
	node_t *node = arg;
	fake_fleet_t *fleet = node->fleet;
	message_t *call =
		new_message_(fleet, LOG_APPEND, index_(node), index_(node));

	fleet->appends++;
	call->generation = node->generation;
	call->result = MMX_LOG_UNKNOWN;
	if (!reaches_log_(node)) {
		mmx_timer_set(&call->timer, LOG_TIMEOUT);
		return;
	}
	append_record_(fleet, MMX_CONFIG_SNAPSHOTS, g_strndup(data, length));
	if (fleet->lost_answers > 0) {
		fleet->lost_answers--;
		mmx_timer_set(&call->timer, LOG_TIMEOUT);
		return;
	}
	call->result = MMX_LOG_OK;
	mmx_timer_set(&call->timer, log_delay_(node));
}

static void on_applied_(void *arg, const mmx_fold_result_t *result)
{
	node_t *node = arg;

	if (result->offset <= node->highest)
		node->fleet->reverts++;
	node->highest = result->offset;
}

static const mmx_config_log_ops_t log_ = {read_, append_, on_applied_};

static void on_probe_(void *arg)
{
	node_t *node = arg;
	fake_fleet_t *fleet = node->fleet;
	uint64_t applied = mmx_fold_applied(mmx_config_fold(node->config));
	node_t *peer =
		&fleet->nodes[mmx_random_below(&fleet->random, fleet->count)];
	message_t *message;
	mmx_config_news_t news;

	mmx_timer_set(&node->probe, PROBE_INTERVAL);
	if (applied < node->highest)
		fleet->reverts++;
	node->highest = MAX(node->highest, applied);
	if (peer == node)
		return;
	if (mmx_config_news(node->config, &news)) {
		message = new_message_(fleet, NEWS, index_(node), index_(peer));
		message->news = news;
		send_(message, PROBE_BYTES);
	}
	if (reaches_(fleet, node, peer) &&
	    mmx_config_news(peer->config, &news)) {
		message = new_message_(fleet, NEWS, index_(peer), index_(node));
		message->news = news;
		send_(message, PROBE_BYTES);
	}
}

static uint64_t region_id_(size_t region)
{
	return XXH64(&region, sizeof(region), 1);
}

static void start_node_(node_t *node)
{
	fake_fleet_t *fleet = node->fleet;
	mmx_config_options_t options = {
		.self = node->id,
		.region = region_id_(node->region),
		.retention = fleet->options.retention,
		.has_log = true,
		.writes_snapshots = true,
		.seed = mmx_random_next(&fleet->random),
	};

	node->highest = 0;
	node->config = mmx_config_create(fleet->clock, &options, &transport_,
					 &log_, node);
	mmx_timer_set(&node->probe, (mmx_time_t)mmx_random_below(
					    &fleet->random, PROBE_INTERVAL));
}

fake_fleet_t *fake_fleet_create(const fake_fleet_options_t *options)
{
	fake_fleet_t *fleet = g_new0(fake_fleet_t, 1);
	size_t i;

	fleet->options = *options;
	if (!fleet->options.retention)
		fleet->options.retention = 3600 * MMX_US_PER_S;
	fleet->clock = mmx_clock_create_paused();
	mmx_random_seed(&fleet->random, options->seed);
	LIST_INIT(&fleet->messages);
	for (i = 0; i < MMX_CONFIG_STREAM_COUNT; i++) {
		fleet->streams[i].records =
			g_ptr_array_new_with_free_func(g_free);
		/* Offset 0 is never applied. */
		append_record_(fleet, (mmx_config_stream_t)i, g_strdup("{}"));
	}
	fleet->count = options->regions * options->nodes_per_region;
	fleet->nodes = g_new0(node_t, fleet->count);
	fleet->index = g_hash_table_new(g_int64_hash, g_int64_equal);
	for (i = 0; i < fleet->count; i++) {
		node_t *node = &fleet->nodes[i];

		node->fleet = fleet;
		node->id = XXH64(&i, sizeof(i), 0);
		node->region = i % options->regions;
		mmx_timer_init(&node->probe, fleet->clock, on_probe_, node);
		g_hash_table_insert(fleet->index, &node->id, node);
		start_node_(node);
	}
	fake_fleet_refresh_members(fleet);
	for (i = 0; i < fleet->count; i++)
		mmx_config_start(fleet->nodes[i].config);
	return fleet;
}

void fake_fleet_destroy(fake_fleet_t *fleet)
{
	message_t *message;
	size_t i;

	while ((message = LIST_FIRST(&fleet->messages)))
		free_message_(message);
	for (i = 0; i < fleet->count; i++) {
		mmx_timer_cancel(&fleet->nodes[i].probe);
		mmx_config_destroy(fleet->nodes[i].config);
	}
	for (i = 0; i < MMX_CONFIG_STREAM_COUNT; i++)
		g_ptr_array_free(fleet->streams[i].records, TRUE);
	g_hash_table_destroy(fleet->index);
	g_free(fleet->nodes);
	mmx_clock_destroy(fleet->clock);
	g_free(fleet);
}

mmx_clock_t *fake_fleet_clock(const fake_fleet_t *fleet)
{
	return fleet->clock;
}

void fake_fleet_run(fake_fleet_t *fleet, mmx_time_t time)
{
	mmx_clock_advance(fleet->clock, time);
}

size_t fake_fleet_count(const fake_fleet_t *fleet)
{
	return fleet->count;
}

mmx_config_t *fake_fleet_config(const fake_fleet_t *fleet, size_t node)
{
	return fleet->nodes[node].config;
}

uint64_t fake_fleet_append(fake_fleet_t *fleet, char *record)
{
	return append_record_(fleet, MMX_CONFIG_RECORDS, record);
}

void fake_fleet_expire(fake_fleet_t *fleet, mmx_config_stream_t stream,
		       uint64_t first)
{
	stream_t *expired = &fleet->streams[stream];

	for (; expired->first < first; expired->first++) {
		g_free(expired->records->pdata[expired->first]);
		expired->records->pdata[expired->first] = NULL;
	}
}

uint64_t fake_fleet_next(const fake_fleet_t *fleet, mmx_config_stream_t stream)
{
	return next_(&fleet->streams[stream]);
}

void fake_fleet_lose_answers(fake_fleet_t *fleet, unsigned int appends)
{
	fleet->lost_answers = appends;
}

void fake_fleet_set_log(fake_fleet_t *fleet, size_t region, bool reachable)
{
	message_t *call;

	fleet->log_down[region] = !reachable;
	/* Open long polls of the region get no answer. */
	LIST_FOREACH (call, &fleet->messages, entry)
		if (!reachable && call->kind == LOG_READ &&
		    fleet->nodes[call->to].region == region)
			call->result = MMX_LOG_UNKNOWN;
}

void fake_fleet_block(fake_fleet_t *fleet, size_t from, size_t to, bool blocked)
{
	fleet->blocked[from][to] = blocked;
}

void fake_fleet_refresh_members(fake_fleet_t *fleet)
{
	mmx_config_member_t *members = g_new(mmx_config_member_t, fleet->count);
	size_t i;
	size_t j;

	for (i = 0; i < fleet->count; i++) {
		const node_t *node = &fleet->nodes[i];
		size_t count = 0;

		for (j = 0; j < fleet->count; j++) {
			const node_t *other = &fleet->nodes[j];

			if (j != i && (!reaches_(fleet, node, other) ||
				       !reaches_(fleet, other, node)))
				continue;
			members[count++] = (mmx_config_member_t){
				other->id, region_id_(other->region)};
		}
		mmx_config_set_members(node->config, members, count);
	}
	g_free(members);
}

void fake_fleet_isolate(fake_fleet_t *fleet, size_t node, bool isolated)
{
	message_t *call;

	fleet->nodes[node].isolated = isolated;
	LIST_FOREACH (call, &fleet->messages, entry)
		if (isolated && call->kind == LOG_READ && call->to == node)
			call->result = MMX_LOG_UNKNOWN;
}

void fake_fleet_restart(fake_fleet_t *fleet, size_t node)
{
	node_t *restarted = &fleet->nodes[node];

	mmx_timer_cancel(&restarted->probe);
	mmx_config_destroy(restarted->config);
	restarted->generation++;
	start_node_(restarted);
	fake_fleet_refresh_members(fleet);
	mmx_config_start(restarted->config);
}

size_t fake_fleet_in_force(const fake_fleet_t *fleet, uint64_t offset)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < fleet->count; i++) {
		const mmx_config_t *config = fleet->nodes[i].config;

		count += mmx_config_is_loaded(config) &&
			 mmx_fold_applied(mmx_config_fold(config)) >= offset;
	}
	return count;
}

mmx_time_t fake_fleet_settle(fake_fleet_t *fleet, uint64_t offset,
			     mmx_time_t limit)
{
	mmx_time_t step = 10 * MMX_US_PER_MS;
	mmx_time_t start = mmx_clock_now(fleet->clock);

	while (fake_fleet_in_force(fleet, offset) < fleet->count) {
		if (mmx_clock_now(fleet->clock) - start >= limit)
			return MMX_TIME_NEVER;
		mmx_clock_advance(fleet->clock, step);
	}
	return mmx_clock_now(fleet->clock) - start;
}

size_t fake_fleet_reverts(const fake_fleet_t *fleet)
{
	return fleet->reverts;
}

bool fake_fleet_agrees(const fake_fleet_t *fleet)
{
	mmx_snapshot_t *first =
		mmx_snapshot_create(mmx_config_fold(fleet->nodes[0].config));
	bool agrees = true;
	size_t i;

	for (i = 1; agrees && i < fleet->count; i++) {
		mmx_snapshot_t *other = mmx_snapshot_create(
			mmx_config_fold(fleet->nodes[i].config));

		agrees = mmx_snapshot_applied(first) ==
				 mmx_snapshot_applied(other) &&
			 !memcmp(mmx_snapshot_digest(first),
				 mmx_snapshot_digest(other),
				 MMX_SNAPSHOT_DIGEST_BYTES);
		mmx_snapshot_destroy(other);
	}
	mmx_snapshot_destroy(first);
	return agrees;
}

uint64_t fake_fleet_bytes(const fake_fleet_t *fleet)
{
	return fleet->bytes;
}

uint64_t fake_fleet_appends(const fake_fleet_t *fleet)
{
	return fleet->appends;
}

uint64_t fake_fleet_reads(const fake_fleet_t *fleet)
{
	return fleet->reads;
}

uint64_t fake_fleet_read_bytes(const fake_fleet_t *fleet)
{
	return fleet->read_bytes;
}
