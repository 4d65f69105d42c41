#include "private/config_internal.h"

#include <assert.h>
#include <string.h>

#define TICK_US (200 * MMX_US_PER_MS)
/* A pull within a region takes milliseconds, so its loss is detected early. A
 * pull from another region may transfer megabytes. */
#define PULL_TIMEOUT_LOCAL_US (300 * MMX_US_PER_MS)
#define PULL_TIMEOUT_REMOTE_US MMX_US_PER_S
/* Each node pushes a new offset this many times, one tick apart. With a fanout
 * of 4, a single push misses about one node in 50, which then learns of it only
 * by a probe. */
#define PUSHES_PER_OFFSET 2
/* Delay before a pull from another region, per reader rank. The log or the
 * reader of the previous rank has usually delivered the record by then. */
#define REMOTE_PULL_DELAY_US (500 * MMX_US_PER_MS)
/* Without a new offset, NEWS is pushed when an age improved by this much. */
#define AGE_PUSH_STEP_US (2 * MMX_US_PER_S)
#define GAP_RESPONSES_MAX 3
#define READ_RECORDS_MAX 256
/* Back-off after failed reads. It is short for readers, so that changes take
 * effect soon after an outage; other nodes read the log only as a fallback. */
#define READER_BACKOFF_MIN_US (250 * MMX_US_PER_MS)
#define READER_BACKOFF_MAX_US (2 * MMX_US_PER_S)
#define FALLBACK_BACKOFF_MIN_US (2 * MMX_US_PER_S)
#define FALLBACK_BACKOFF_MAX_US (30 * MMX_US_PER_S)

const char *const mmx_config_stream_string[MMX_CONFIG_STREAM_COUNT] = {
	MMX_CONFIG_STREAM,
	MMX_CONFIG_SNAPSHOT_STREAM,
};

static mmx_time_t now_(const mmx_config_t *config)
{
	return mmx_clock_now(config->clock);
}

static mmx_time_t jitter_(mmx_config_t *config, mmx_time_t range)
{
	return (mmx_time_t)mmx_random_below(&config->random,
					    (uint64_t)range + 1);
}

static mmx_time_t age_(mmx_time_t now, mmx_time_t at)
{
	return at <= MMX_CONFIG_DISTANT_PAST ? MMX_TIME_NEVER : now - at;
}

static mmx_time_t time_of_age_(mmx_time_t now, mmx_time_t age)
{
	return age < 0 || age == MMX_TIME_NEVER ? MMX_CONFIG_DISTANT_PAST
						: now - age;
}

bool mmx_config_read_(mmx_config_t *config, mmx_config_stream_t stream,
		      uint64_t from, unsigned int max, mmx_time_t wait)
{
	if (config->reading[stream])
		return false;
	config->reading[stream] = true;
	config->stats.log_reads++;
	config->log->read(config->arg, stream, from, max, wait);
	return true;
}

bool mmx_config_progress(const mmx_config_t *config,
			 mmx_config_progress_t *progress)
{
	mmx_time_t now = now_(config);

	if (!config->loaded)
		return false;
	*progress = (mmx_config_progress_t){
		.applied =
			mmx_config_state_applied_offset(config->config_state),
		.confirmed_age = age_(now, config->confirmed_at),
		.reader_age = age_(now, config->reader_heard_at),
	};
	return true;
}

static void send_news_(mmx_config_t *config, mmx_node_id_t peer,
		       const mmx_config_progress_t *progress)
{
	config->stats.news_sent++;
	config->transport->send_news(config->arg, peer, progress);
}

static void push_to_regions_(mmx_config_t *config,
			     const mmx_config_progress_t *progress)
{
	size_t i;

	for (i = 0; i < config->region_count; i++) {
		const mmx_config_region_t *region = &config->regions[i];

		if (region->region != config->options.region)
			send_news_(config,
				   region->readers[(size_t)config->reader_rank %
						   region->count],
				   progress);
	}
}

/* Sends NEWS to MMX_CONFIG_FANOUT distinct random peers of the region, and from
 * a reader also to the other regions. */
static void push_progress_(mmx_config_t *config)
{
	mmx_config_progress_t progress;
	size_t i;

	if (!config->transport || !mmx_config_progress(config, &progress))
		return;
	for (i = 0; i < MMX_CONFIG_FANOUT && i < config->region_peer_count;
	     i++) {
		size_t pick =
			i + mmx_random_below(&config->random,
					     config->region_peer_count - i);
		mmx_node_id_t peer = config->region_peers[pick];

		config->region_peers[pick] = config->region_peers[i];
		config->region_peers[i] = peer;
		send_news_(config, peer, &progress);
	}
	if (config->reader_rank >= 0)
		push_to_regions_(config, &progress);
	config->has_sent = true;
	config->last_sent = (mmx_config_progress_t){
		.applied = progress.applied,
		.confirmed_age = config->confirmed_at,
		.reader_age = config->reader_heard_at,
	};
}

static bool progress_advanced_(const mmx_config_t *config)
{
	const mmx_config_progress_t *sent = &config->last_sent;

	return !config->has_sent ||
	       mmx_config_state_applied_offset(config->config_state) >
		       sent->applied ||
	       config->confirmed_at >= sent->confirmed_age + AGE_PUSH_STEP_US ||
	       config->reader_heard_at >= sent->reader_age + AGE_PUSH_STEP_US;
}

static void push_new_offset_(mmx_config_t *config)
{
	if (config->loaded &&
	    (!config->has_sent ||
	     mmx_config_state_applied_offset(config->config_state) >
		     config->last_sent.applied)) {
		push_progress_(config);
		config->pushes_left = PUSHES_PER_OFFSET - 1;
	}
}

static void cache_record_(mmx_config_t *config, const mmx_log_record_t *record)
{
	mmx_config_cached_record_t *cached =
		g_new(mmx_config_cached_record_t, 1);

	cached->data = g_malloc(record->length + 1);
	memcpy(cached->data, record->data, record->length);
	cached->data[record->length] = '\0';
	cached->length = record->length;
	config->record_cache_bytes += cached->length;
	g_queue_push_tail(&config->record_cache, cached);
	while (config->record_cache.length > MMX_CONFIG_CACHE_RECORDS ||
	       (config->record_cache_bytes > MMX_CONFIG_CACHE_BYTES &&
		config->record_cache.length > 1)) {
		cached = g_queue_pop_head(&config->record_cache);
		config->record_cache_bytes -= cached->length;
		g_free(cached->data);
		g_free(cached);
	}
}

static void clear_cache_(mmx_config_t *config)
{
	mmx_config_cached_record_t *cached;

	while ((cached = g_queue_pop_head(&config->record_cache))) {
		g_free(cached->data);
		g_free(cached);
	}
	config->record_cache_bytes = 0;
}

void mmx_config_apply_(mmx_config_t *config, const mmx_log_record_t *record)
{
	mmx_config_state_result_t result;

	if (!mmx_config_state_apply(config->config_state, record->offset,
				    record->data, record->length, &result))
		return;
	config->gap_responses = 0;
	cache_record_(config, record);
	if (config->log->on_applied)
		config->log->on_applied(config->arg, &result);
}

bool mmx_config_replace_(mmx_config_t *config, mmx_config_state_t *config_state)
{
	if (mmx_config_state_applied_offset(config_state) <=
	    mmx_config_state_applied_offset(config->config_state)) {
		config->stats.loads_invalid++;
		mmx_config_state_destroy(config_state);
		return false;
	}
	mmx_config_state_destroy(config->config_state);
	config->config_state = config_state;
	config->has_gap = false;
	config->gap_responses = 0;
	config->stats.loads++;
	clear_cache_(config);
	return true;
}

void mmx_config_confirm_(mmx_config_t *config)
{
	config->confirmed_at = now_(config);
	config->reader_heard_at = config->confirmed_at;
}

bool mmx_config_needs_load_(const mmx_config_t *config)
{
	return !config->loaded || config->has_gap;
}

static void remove_newer_peer_at_(mmx_config_t *config, size_t index)
{
	config->newer_peers[index] =
		config->newer_peers[--config->newer_peer_count];
}

void mmx_config_remove_newer_peer_(mmx_config_t *config, mmx_node_id_t peer)
{
	size_t i;

	for (i = config->newer_peer_count; i-- > 0;)
		if (config->newer_peers[i].peer == peer)
			remove_newer_peer_at_(config, i);
}

static mmx_time_t pull_delay_(mmx_config_t *config, bool remote)
{
	if (!remote)
		return 0;
	if (config->reader_rank >= 0)
		return REMOTE_PULL_DELAY_US * (config->reader_rank + 1);
	return REMOTE_PULL_DELAY_US * (MMX_CONFIG_READERS_PER_REGION + 1) +
	       jitter_(config, REMOTE_PULL_DELAY_US * 2);
}

static void add_newer_peer_(mmx_config_t *config, mmx_node_id_t peer,
			    uint64_t applied)
{
	mmx_config_newer_peer_t *entry = NULL;
	bool remote;
	size_t i;

	for (i = 0; i < config->newer_peer_count; i++)
		if (config->newer_peers[i].peer == peer) {
			config->newer_peers[i].applied = applied;
			return;
		}
	remote = mmx_config_is_remote_(config, peer);
	if (config->newer_peer_count < MMX_CONFIG_NEWER_PEERS_MAX)
		entry = &config->newer_peers[config->newer_peer_count++];
	for (i = 0; !entry && !remote && i < config->newer_peer_count; i++)
		if (config->newer_peers[i].remote)
			entry = &config->newer_peers[i];
	if (entry)
		*entry = (mmx_config_newer_peer_t){
			.peer = peer,
			.applied = applied,
			.not_before =
				now_(config) + pull_delay_(config, remote),
			.remote = remote,
		};
}

/* Removes peers whose offset is no longer higher. Peers of the own region take
 * precedence, then the highest offset. */
mmx_config_newer_peer_t *mmx_config_choose_newer_peer_(mmx_config_t *config)
{
	uint64_t applied =
		mmx_config_state_applied_offset(config->config_state);
	mmx_time_t now = now_(config);
	mmx_config_newer_peer_t *best = NULL;
	size_t i;

	for (i = config->newer_peer_count; i-- > 0;)
		if (config->newer_peers[i].applied <= applied)
			remove_newer_peer_at_(config, i);
	for (i = 0; i < config->newer_peer_count; i++) {
		mmx_config_newer_peer_t *entry = &config->newer_peers[i];

		if (entry->not_before <= now &&
		    (!best || entry->remote < best->remote ||
		     (entry->remote == best->remote &&
		      entry->applied > best->applied)))
			best = entry;
	}
	return best;
}

static void start_pull_(mmx_config_t *config)
{
	mmx_config_newer_peer_t *entry;

	if (!config->transport || config->pulling ||
	    mmx_config_needs_load_(config))
		return;
	entry = mmx_config_choose_newer_peer_(config);
	if (!entry)
		return;
	config->pulling = true;
	config->pull_peer = entry->peer;
	config->pull_deadline =
		now_(config) + (entry->remote ? PULL_TIMEOUT_REMOTE_US
					      : PULL_TIMEOUT_LOCAL_US);
	config->stats.pulls_sent++;
	config->stats.pulls_remote += entry->remote;
	config->transport->send_pull(
		config->arg, entry->peer,
		mmx_config_state_applied_offset(config->config_state));
}

/* Adopts a peer's times of confirmation and reader activity if more recent. */
static void update_ages_(mmx_config_t *config,
			 const mmx_config_progress_t *progress)
{
	mmx_time_t now = now_(config);
	mmx_time_t confirmed_at = time_of_age_(now, progress->confirmed_age);
	mmx_time_t reader_at = time_of_age_(now, progress->reader_age);

	if (config->loaded &&
	    mmx_config_state_applied_offset(config->config_state) >=
		    progress->applied &&
	    confirmed_at > config->confirmed_at)
		config->confirmed_at = confirmed_at;
	if (reader_at > config->reader_heard_at)
		config->reader_heard_at = reader_at;
}

void mmx_config_on_peer_progress(mmx_config_t *config, mmx_node_id_t peer,
				 const mmx_config_progress_t *progress)
{
	if (!config->started || peer == config->options.self)
		return;
	config->stats.news_received++;
	/* A node that could not read the log's records after the snapshot is
	 * as up to date as a peer whose offset is not higher. */
	if (mmx_config_state_applied_offset(config->config_state) > 0 &&
	    progress->applied <=
		    mmx_config_state_applied_offset(config->config_state))
		config->loaded = true;
	update_ages_(config, progress);
	if (progress->applied >
	    mmx_config_state_applied_offset(config->config_state))
		add_newer_peer_(config, peer, progress->applied);
	if (mmx_config_needs_load_(config))
		mmx_config_load_tick_(config);
	start_pull_(config);
}

static void fail_pull_(mmx_config_t *config)
{
	config->pulling = false;
	config->stats.pulls_failed++;
	mmx_config_remove_newer_peer_(config, config->pull_peer);
}

/* The peer no longer caches the next records. Another peer may still have them,
 * and loading a snapshot transfers megabytes, so it starts only after
 * GAP_RESPONSES_MAX consecutive responses of this kind. */
static void handle_gap_(mmx_config_t *config, mmx_node_id_t peer)
{
	if (++config->gap_responses >= GAP_RESPONSES_MAX) {
		config->has_gap = true;
		mmx_config_load_tick_(config);
	} else {
		mmx_config_remove_newer_peer_(config, peer);
	}
}

void mmx_config_on_pull_response(mmx_config_t *config, mmx_node_id_t peer,
				 const mmx_config_records_t *records)
{
	size_t i;

	if (!config->pulling || config->pull_peer != peer) {
		/* The records of a late response are still valid. */
		if (!records || !config->loaded)
			return;
	} else if (!records) {
		fail_pull_(config);
		start_pull_(config);
		return;
	} else {
		config->pulling = false;
	}
	for (i = 0; i < records->count; i++) {
		uint64_t before =
			mmx_config_state_applied_offset(config->config_state);

		mmx_config_apply_(config, &records->records[i]);
		config->stats.records_from_peers +=
			mmx_config_state_applied_offset(config->config_state) >
			before;
	}
	update_ages_(config, &records->progress);
	if (records->progress.applied >
	    mmx_config_state_applied_offset(config->config_state))
		add_newer_peer_(config, peer, records->progress.applied);
	else
		mmx_config_remove_newer_peer_(config, peer);
	if (records->first >
	    mmx_config_state_applied_offset(config->config_state) + 1)
		handle_gap_(config, peer);
	push_new_offset_(config);
	start_pull_(config);
}

static void handle_read_failure_(mmx_config_t *config, mmx_log_result_t result)
{
	bool is_reader = config->reader_rank >= 0 || !config->loaded;
	mmx_time_t min =
		is_reader ? READER_BACKOFF_MIN_US : FALLBACK_BACKOFF_MIN_US;
	mmx_time_t max =
		is_reader ? READER_BACKOFF_MAX_US : FALLBACK_BACKOFF_MAX_US;

	if (result == MMX_LOG_TOO_LARGE && config->read_max > 1) {
		config->read_max /= 4;
		return;
	}
	config->stats.log_failures++;
	config->read_backoff *= 2;
	if (config->read_backoff < min)
		config->read_backoff = min;
	if (config->read_backoff > max)
		config->read_backoff = max;
	config->read_not_before = now_(config) + config->read_backoff / 2 +
				  jitter_(config, config->read_backoff / 2);
}

static void apply_log_records_(mmx_config_t *config,
			       const mmx_log_records_t *records)
{
	size_t i;

	for (i = 0; i < records->count; i++) {
		uint64_t before =
			mmx_config_state_applied_offset(config->config_state);

		mmx_config_apply_(config, &records->records[i]);
		config->stats.records_from_log +=
			mmx_config_state_applied_offset(config->config_state) >
			before;
	}
	if (records->first >
	    mmx_config_state_applied_offset(config->config_state) + 1)
		config->has_gap = true;
	else if (records->next ==
		 mmx_config_state_applied_offset(config->config_state) + 1)
		mmx_config_confirm_(config);
}

void mmx_config_on_read(mmx_config_t *config, mmx_config_stream_t stream,
			mmx_log_result_t result,
			const mmx_log_records_t *records)
{
	config->reading[stream] = false;
	if (result == MMX_LOG_TOO_LARGE && stream == MMX_CONFIG_RECORDS &&
	    config->load_step > MMX_CONFIG_LOAD_PEER) {
		mmx_config_load_on_too_large_(config);
		return;
	}
	if (result != MMX_LOG_OK) {
		handle_read_failure_(config, result);
		if (stream == MMX_CONFIG_SNAPSHOTS && config->checking)
			mmx_config_write_on_read_(config, NULL);
		else if (config->load_step > MMX_CONFIG_LOAD_PEER)
			mmx_config_load_on_read_(config, stream, NULL);
		return;
	}
	config->read_backoff = 0;
	/* Grows gradually, as the next records are often as long. */
	config->read_max = MIN(2 * config->read_max, READ_RECORDS_MAX);
	if (stream == MMX_CONFIG_SNAPSHOTS && config->checking) {
		mmx_config_write_on_read_(config, records);
	} else if (config->load_step > MMX_CONFIG_LOAD_PEER) {
		mmx_config_load_on_read_(config, stream, records);
	} else if (stream == MMX_CONFIG_RECORDS && config->loaded) {
		apply_log_records_(config, records);
	}
	push_new_offset_(config);
	start_pull_(config);
}

/* Readers follow the log; other nodes read it only when no reader has been
 * active for MMX_CONFIG_READER_TIMEOUT_US. */
static void read_log_(mmx_config_t *config)
{
	mmx_time_t now = now_(config);
	bool silent =
		now - config->reader_heard_at > MMX_CONFIG_READER_TIMEOUT_US;

	if (!config->options.has_log || !config->loaded || config->has_gap ||
	    config->load_step != MMX_CONFIG_LOAD_IDLE ||
	    now < config->read_not_before)
		return;
	if (config->reader_rank >= 0 || silent)
		mmx_config_read_(
			config, MMX_CONFIG_RECORDS,
			mmx_config_state_applied_offset(config->config_state) +
				1,
			config->read_max,
			config->reader_rank >= 0 ? MMX_CONFIG_POLL_WAIT_US : 0);
}

static void on_tick_(void *arg)
{
	mmx_config_t *config = arg;
	mmx_time_t now = now_(config);

	mmx_timer_set(&config->tick, TICK_US);
	if (config->reader_rank >= 0)
		config->reader_heard_at = now;
	if (config->pulling && now >= config->pull_deadline)
		fail_pull_(config);
	mmx_config_load_tick_(config);
	mmx_config_write_tick_(config);
	read_log_(config);
	start_pull_(config);
	if (progress_advanced_(config) || config->pushes_left > 0) {
		config->pushes_left -= config->pushes_left > 0;
		push_progress_(config);
	}
}

mmx_config_t *mmx_config_create(mmx_clock_t *clock,
				const mmx_config_options_t *options,
				const mmx_config_transport_ops_t *transport,
				const mmx_config_log_ops_t *log, void *arg)
{
	mmx_config_t *config;

	assert(clock && options && log && options->retention > 0);
	config = g_new0(mmx_config_t, 1);
	config->clock = clock;
	config->options = *options;
	config->transport = transport;
	config->log = log;
	config->arg = arg;
	mmx_random_seed(&config->random, options->seed);
	mmx_timer_init(&config->tick, clock, on_tick_, config);
	config->config_state = mmx_config_state_create();
	config->reader_rank = -1;
	config->global_rank = -1;
	config->confirmed_at = MMX_CONFIG_DISTANT_PAST;
	config->reader_heard_at = MMX_CONFIG_DISTANT_PAST;
	config->read_max = READ_RECORDS_MAX;
	config->load_reader = mmx_snapshot_reader_create();
	g_queue_init(&config->record_cache);
	return config;
}

void mmx_config_destroy(mmx_config_t *config)
{
	size_t i;

	if (!config)
		return;
	mmx_timer_cancel(&config->tick);
	clear_cache_(config);
	mmx_config_state_destroy(config->config_state);
	mmx_config_state_destroy(config->load_state);
	mmx_snapshot_reader_destroy(config->load_reader);
	for (i = 0; i < MMX_CONFIG_SCAN_READERS; i++)
		mmx_snapshot_reader_destroy(config->scan_readers[i]);
	mmx_snapshot_destroy(config->served_snapshot);
	mmx_snapshot_destroy(config->written_snapshot);
	g_free(config->pull_response);
	g_free(config->members);
	g_free(config->region_peers);
	g_free(config);
}

void mmx_config_start(mmx_config_t *config)
{
	mmx_time_t now = now_(config);

	assert(!config->started);
	config->started = true;
	/* The time-out for reader activity starts with the node. */
	config->reader_heard_at = now;
	config->started_at = now;
	config->load_not_before = now;
	mmx_timer_set(&config->tick, jitter_(config, TICK_US));
}

bool mmx_config_serve_pull(mmx_config_t *config, uint64_t after,
			   mmx_config_records_t *response)
{
	uint64_t applied =
		mmx_config_state_applied_offset(config->config_state);
	uint64_t oldest = applied - config->record_cache.length + 1;
	size_t bytes = 0;
	GList *link;

	*response = (mmx_config_records_t){.first = after + 1};
	if (!mmx_config_progress(config, &response->progress))
		return false;
	config->stats.pulls_served++;
	if (after >= applied)
		return true;
	if (after + 1 < oldest) {
		response->first = oldest;
		return true;
	}
	g_free(config->pull_response);
	config->pull_response = g_new(mmx_log_record_t, applied - after);
	link = g_queue_peek_nth_link(&config->record_cache,
				     (guint)(after + 1 - oldest));
	for (; link; link = link->next) {
		const mmx_config_cached_record_t *cached = link->data;

		bytes += cached->length;
		if (response->count && bytes > MMX_CONFIG_PULL_BYTES)
			break;
		config->pull_response[response->count] = (mmx_log_record_t){
			.offset = after + 1 + response->count,
			.data = cached->data,
			.length = cached->length,
		};
		response->count++;
	}
	response->records = config->pull_response;
	return true;
}

const mmx_config_state_t *mmx_config_get_state(const mmx_config_t *config)
{
	return config->config_state;
}

bool mmx_config_is_loaded(const mmx_config_t *config)
{
	return config->loaded;
}

bool mmx_config_is_current(const mmx_config_t *config)
{
	return config->loaded && now_(config) - config->confirmed_at <=
					 MMX_CONFIG_CURRENT_AGE_MAX_US;
}

const mmx_config_stats_t *mmx_config_stats(const mmx_config_t *config)
{
	return &config->stats;
}
