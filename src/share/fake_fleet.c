#include "share/fake_fleet_state.h"

#include <string.h>
#include <xxhash.h>

#define REORDER_DELAY (200 * MMX_US_PER_MS)
#define PROBE_INTERVAL MMX_US_PER_S
/* Bytes of a message beyond its records: IP, RPC header, digest, fields. */
#define NEWS_BYTES 140
#define CALL_BYTES 160
#define RECORD_BYTES 24
/* The share of PING and ACK that is due to the configuration. */
#define PROBE_BYTES 24

static bool chance_(fake_fleet_t *fleet, unsigned int percent)
{
	return percent && mmx_random_below(&fleet->random, 100) < percent;
}

static void free_message_(fake_message_t *message)
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

fake_message_t *fake_fleet_message(fake_fleet_t *fleet, fake_kind_t kind,
				   size_t from, size_t to)
{
	fake_message_t *message = g_new0(fake_message_t, 1);

	message->fleet = fleet;
	message->kind = kind;
	message->from = from;
	message->to = to;
	LIST_INSERT_HEAD(&fleet->messages, message, entry);
	mmx_timer_init(&message->timer, fleet->clock, on_message_, message);
	return message;
}

static bool reaches_(const fake_fleet_t *fleet, const fake_node_t *from,
		     const fake_node_t *to)
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
static void send_(fake_message_t *message, size_t bytes)
{
	fake_fleet_t *fleet = message->fleet;
	const fake_node_t *from = &fleet->nodes[message->from];
	const fake_node_t *to = &fleet->nodes[message->to];

	fleet->bytes += bytes;
	if (!reaches_(fleet, from, to) ||
	    chance_(fleet, fleet->options.loss_percent)) {
		free_message_(message);
		return;
	}
	if (message->kind == NEWS &&
	    chance_(fleet, fleet->options.duplicate_percent)) {
		fake_message_t *twin = fake_fleet_message(
			fleet, NEWS, message->from, message->to);

		twin->news = message->news;
		mmx_timer_set(&twin->timer,
			      delay_(fleet, message->from, message->to));
	}
	mmx_timer_set(&message->timer,
		      delay_(fleet, message->from, message->to));
}

static size_t find_(const fake_fleet_t *fleet, mmx_node_id_t id)
{
	const fake_node_t *node = g_hash_table_lookup(fleet->index, &id);

	return (size_t)(node - fleet->nodes);
}

size_t fake_fleet_index(const fake_node_t *node)
{
	return (size_t)(node - node->fleet->nodes);
}

static void send_news_(void *arg, mmx_node_id_t peer,
		       const mmx_config_progress_t *news)
{
	fake_node_t *node = arg;
	fake_message_t *message =
		fake_fleet_message(node->fleet, NEWS, fake_fleet_index(node),
				   find_(node->fleet, peer));

	message->news = *news;
	send_(message, NEWS_BYTES);
}

static void send_pull_(void *arg, mmx_node_id_t peer, uint64_t after)
{
	fake_node_t *node = arg;
	fake_message_t *message =
		fake_fleet_message(node->fleet, PULL, fake_fleet_index(node),
				   find_(node->fleet, peer));

	message->offset = after;
	send_(message, CALL_BYTES);
}

static void send_load_(void *arg, mmx_node_id_t peer, uint64_t applied,
		       uint32_t part)
{
	fake_node_t *node = arg;
	fake_message_t *message =
		fake_fleet_message(node->fleet, LOAD, fake_fleet_index(node),
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

static void copy_records_(fake_message_t *message,
			  const mmx_log_record_t *records, size_t count)
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

static void answer_pull_(const fake_message_t *call)
{
	fake_fleet_t *fleet = call->fleet;
	fake_message_t *answer =
		fake_fleet_message(fleet, PULLED, call->to, call->from);
	mmx_config_records_t records;
	size_t bytes = CALL_BYTES;
	size_t i;

	if (!mmx_config_serve_pull(fleet->nodes[call->to].config, call->offset,
				   &records)) {
		free_message_(answer);
		return;
	}
	answer->news = records.progress;
	answer->offset = records.first;
	copy_records_(answer, records.records, records.count);
	for (i = 0; i < records.count; i++)
		bytes += RECORD_BYTES + records.records[i].length;
	send_(answer, bytes);
}

static void answer_load_(const fake_message_t *call)
{
	fake_fleet_t *fleet = call->fleet;
	fake_message_t *answer =
		fake_fleet_message(fleet, LOADED, call->to, call->from);
	size_t length = 0;
	const uint8_t *part =
		mmx_config_serve_load(fleet->nodes[call->to].config,
				      call->offset, call->part, &length);

	if (part)
		answer->data = g_bytes_new(part, length);
	send_(answer, CALL_BYTES + length);
}

static void take_pulled_(const fake_message_t *message, mmx_node_id_t peer)
{
	mmx_config_records_t records = {
		.progress = message->news,
		.first = message->offset,
		.records = message->records,
		.count = message->count,
	};

	mmx_config_on_pull_response(message->fleet->nodes[message->to].config,
				    peer, &records);
}

static void take_loaded_(const fake_message_t *message, mmx_node_id_t peer)
{
	gsize length = 0;
	const uint8_t *part =
		message->data ? g_bytes_get_data(message->data, &length) : NULL;

	mmx_config_on_load_response(message->fleet->nodes[message->to].config,
				    peer, part, length);
}

static void take_(const fake_message_t *message)
{
	fake_fleet_t *fleet = message->fleet;
	fake_node_t *to = &fleet->nodes[message->to];
	mmx_node_id_t peer = fleet->nodes[message->from].id;

	switch (message->kind) {
	case NEWS:
		mmx_config_on_peer_progress(to->config, peer, &message->news);
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
			fake_fleet_log_answer(message);
		break;
	default:
		if (message->generation == to->generation)
			mmx_config_on_appended(to->config, message->result);
		break;
	}
}

static void on_message_(void *arg)
{
	fake_message_t *message = arg;
	fake_fleet_t *fleet = message->fleet;
	fake_node_t *to = &fleet->nodes[message->to];

	if (message->kind < LOG_READ &&
	    !reaches_(fleet, &fleet->nodes[message->from], to)) {
		free_message_(message);
		return;
	}
	take_(message);
	free_message_(message);
}

static void on_applied_(void *arg, const mmx_config_state_result_t *result)
{
	fake_node_t *node = arg;

	if (result->offset <= node->highest)
		node->fleet->reverts++;
	node->highest = result->offset;
	if (node->observer)
		node->observer(node->observer_arg, result);
}

static const mmx_config_log_ops_t log_ = {fake_fleet_log_read,
					  fake_fleet_log_append, on_applied_};

static void on_probe_(void *arg)
{
	fake_node_t *node = arg;
	fake_fleet_t *fleet = node->fleet;
	uint64_t applied = mmx_config_state_applied_offset(
		mmx_config_get_state(node->config));
	fake_node_t *peer =
		&fleet->nodes[mmx_random_below(&fleet->random, fleet->count)];
	fake_message_t *message;
	mmx_config_progress_t news;

	mmx_timer_set(&node->probe, PROBE_INTERVAL);
	if (applied < node->highest)
		fleet->reverts++;
	node->highest = MAX(node->highest, applied);
	if (peer == node)
		return;
	if (mmx_config_progress(node->config, &news)) {
		message =
			fake_fleet_message(fleet, NEWS, fake_fleet_index(node),
					   fake_fleet_index(peer));
		message->news = news;
		send_(message, PROBE_BYTES);
	}
	if (reaches_(fleet, node, peer) &&
	    mmx_config_progress(peer->config, &news)) {
		message =
			fake_fleet_message(fleet, NEWS, fake_fleet_index(peer),
					   fake_fleet_index(node));
		message->news = news;
		send_(message, PROBE_BYTES);
	}
}

static uint64_t region_id_(size_t region)
{
	return XXH64(&region, sizeof(region), 1);
}

static void start_node_(fake_node_t *node)
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
			g_array_new(FALSE, FALSE, sizeof(fake_record_t));
		/* Offset 0 is never applied. */
		fake_fleet_append_to(fleet, (mmx_config_stream_t)i,
				     g_strdup("{}"));
	}
	fleet->count = options->regions * options->nodes_per_region;
	fleet->nodes = g_new0(fake_node_t, fleet->count);
	fleet->index = g_hash_table_new(g_int64_hash, g_int64_equal);
	for (i = 0; i < fleet->count; i++) {
		fake_node_t *node = &fleet->nodes[i];

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
	fake_message_t *message;
	size_t i;

	while ((message = LIST_FIRST(&fleet->messages)))
		free_message_(message);
	for (i = 0; i < fleet->count; i++) {
		mmx_timer_cancel(&fleet->nodes[i].probe);
		mmx_config_destroy(fleet->nodes[i].config);
	}
	for (i = 0; i < MMX_CONFIG_STREAM_COUNT; i++) {
		fake_fleet_expire(fleet, (mmx_config_stream_t)i,
				  fleet->streams[i].records->len);
		g_array_free(fleet->streams[i].records, TRUE);
	}
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
		const fake_node_t *node = &fleet->nodes[i];
		size_t count = 0;

		for (j = 0; j < fleet->count; j++) {
			const fake_node_t *other = &fleet->nodes[j];

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
	fake_message_t *call;

	fleet->nodes[node].isolated = isolated;
	LIST_FOREACH (call, &fleet->messages, entry)
		if (isolated && call->kind == LOG_READ && call->to == node)
			call->result = MMX_LOG_UNKNOWN;
}

void fake_fleet_restart(fake_fleet_t *fleet, size_t node)
{
	fake_node_t *restarted = &fleet->nodes[node];

	mmx_timer_cancel(&restarted->probe);
	mmx_config_destroy(restarted->config);
	restarted->generation++;
	start_node_(restarted);
	fake_fleet_refresh_members(fleet);
	mmx_config_start(restarted->config);
}

void fake_fleet_observe(fake_fleet_t *fleet, size_t node,
			void (*fn)(void *arg,
				   const mmx_config_state_result_t *result),
			void *arg)
{
	fleet->nodes[node].observer = fn;
	fleet->nodes[node].observer_arg = arg;
}

size_t fake_fleet_in_force(const fake_fleet_t *fleet, uint64_t offset)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < fleet->count; i++) {
		const mmx_config_t *config = fleet->nodes[i].config;

		count += mmx_config_is_loaded(config) &&
			 mmx_config_state_applied_offset(
				 mmx_config_get_state(config)) >= offset;
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
	mmx_snapshot_t *first = mmx_snapshot_create(
		mmx_config_get_state(fleet->nodes[0].config));
	bool agrees = true;
	size_t i;

	for (i = 1; agrees && i < fleet->count; i++) {
		mmx_snapshot_t *other = mmx_snapshot_create(
			mmx_config_get_state(fleet->nodes[i].config));

		agrees = mmx_snapshot_applied_offset(first) ==
				 mmx_snapshot_applied_offset(other) &&
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
