/* Loading: a new node, or one that fell behind, loads a snapshot from a peer,
 * or from the log together with the records after it. */
#include <jansson.h>
#include <string.h>

#include "private/config_internal.h"

#define PART_TIMEOUT_US MMX_US_PER_S
/* A new node waits this long for messages of its peers before it loads from the
 * log, which is farther away and shared by all nodes. */
#define PEER_WAIT_US MMX_US_PER_S
#define BACKOFF_MIN_US (500 * MMX_US_PER_MS)
#define BACKOFF_MAX_US (5 * MMX_US_PER_S)
#define SCAN_READ_RECORDS 4
/* Initial value; records of up to 256 KiB each may let fewer fit into a
 * response. */
#define TAIL_READ_RECORDS 64
#define SERVED_IDLE_MAX_US (10 * MMX_US_PER_S)
#define SERVED_AGE_MAX_US (60 * MMX_US_PER_S)

char *mmx_config_encode_part_(const uint8_t *part, size_t length,
			      uint64_t wall_ms, size_t *size)
{
	char *text = g_base64_encode(part, length);
	char *record = g_strdup_printf(
		"{\"snapshot\":\"%s\",\"time_ms\":%" G_GUINT64_FORMAT "}", text,
		wall_ms);

	g_free(text);
	*size = strlen(record);
	return record;
}

uint8_t *mmx_config_decode_part_(const mmx_log_record_t *record, size_t *length,
				 uint64_t *wall_ms)
{
	json_t *root = json_loadb(record->data, record->length, 0, NULL);
	json_t *text = json_object_get(root, "snapshot");
	json_t *time_ms = json_object_get(root, "time_ms");
	uint8_t *part = NULL;

	if (record->length <= MMX_SNAPSHOT_RECORD_MAX && json_is_string(text) &&
	    json_is_integer(time_ms)) {
		part = g_base64_decode(json_string_value(text), length);
		if (wall_ms)
			*wall_ms = (uint64_t)json_integer_value(time_ms);
	}
	json_decref(root);
	return part;
}

static void clear_load_(mmx_config_t *config)
{
	size_t i;

	for (i = 0; i < MMX_CONFIG_SCAN_READERS; i++) {
		mmx_snapshot_reader_destroy(config->scan_readers[i]);
		config->scan_readers[i] = NULL;
	}
	mmx_snapshot_reader_destroy(config->load_reader);
	config->load_reader = mmx_snapshot_reader_create();
	mmx_config_state_destroy(config->load_state);
	config->load_state = NULL;
	config->load_step = MMX_CONFIG_LOAD_IDLE;
}

static void fail_load_(mmx_config_t *config)
{
	mmx_time_t backoff = 2 * config->load_backoff;

	clear_load_(config);
	if (backoff < BACKOFF_MIN_US)
		backoff = BACKOFF_MIN_US;
	if (backoff > BACKOFF_MAX_US)
		backoff = BACKOFF_MAX_US;
	config->load_backoff = backoff;
	config->load_not_before =
		mmx_clock_now(config->clock) + backoff / 2 +
		(mmx_time_t)mmx_random_below(&config->random,
					     (uint64_t)backoff / 2 + 1);
}

static void finish_load_(mmx_config_t *config)
{
	clear_load_(config);
	config->load_backoff = 0;
	config->loaded = true;
	config->has_gap = false;
}

static void request_part_(mmx_config_t *config)
{
	if (!config->transport)
		return;
	config->load_deadline = mmx_clock_now(config->clock) + PART_TIMEOUT_US;
	config->transport->send_load(
		config->arg, config->load_peer,
		mmx_snapshot_reader_applied_offset(config->load_reader),
		mmx_snapshot_reader_first_missing(config->load_reader));
}

/* Remaining peers are tried without a back-off, as their number is bounded. */
static void handle_peer_failure_(mmx_config_t *config)
{
	mmx_config_remove_newer_peer_(config, config->load_peer);
	if (config->newer_peer_count > 0)
		clear_load_(config);
	else
		fail_load_(config);
}

static void finish_peer_load_(mmx_config_t *config)
{
	mmx_config_state_t *config_state =
		mmx_snapshot_reader_load(config->load_reader, NULL);

	if (!config_state) {
		config->stats.loads_invalid++;
		handle_peer_failure_(config);
		return;
	}
	mmx_config_replace_(config, config_state);
	finish_load_(config);
}

void mmx_config_on_load_response(mmx_config_t *config, mmx_node_id_t peer,
				 const uint8_t *part, size_t length)
{
	mmx_snapshot_reader_t *reader = config->load_reader;
	uint64_t applied = mmx_snapshot_reader_applied_offset(reader);
	uint32_t missing = mmx_snapshot_reader_first_missing(reader);
	mmx_snapshot_status_t status = MMX_SNAPSHOT_INVALID;

	if (config->load_step != MMX_CONFIG_LOAD_PEER ||
	    config->load_peer != peer)
		return;
	if (part)
		status = mmx_snapshot_reader_add(reader, part, length);
	if (status == MMX_SNAPSHOT_COMPLETE) {
		finish_peer_load_(config);
		return;
	}
	/* Without this check of progress, the same part could be requested
	 * forever. */
	if (status == MMX_SNAPSHOT_INCOMPLETE &&
	    (mmx_snapshot_reader_applied_offset(reader) != applied ||
	     mmx_snapshot_reader_first_missing(reader) != missing)) {
		request_part_(config);
		return;
	}
	config->stats.loads_invalid += part != NULL;
	handle_peer_failure_(config);
}

static void start_step_(mmx_config_t *config, mmx_config_load_step_t step,
			mmx_config_stream_t stream, uint64_t from,
			unsigned int max)
{
	config->load_step = step;
	if (!mmx_config_read_(config, stream, from, max, 0))
		fail_load_(config);
}

/* Reads the records after the snapshot. A node that was loaded before gets them
 * by pulls or by following the log. */
static void read_tail_(mmx_config_t *config)
{
	if (config->loaded) {
		finish_load_(config);
		return;
	}
	start_step_(config, MMX_CONFIG_LOAD_TAIL, MMX_CONFIG_RECORDS,
		    mmx_config_state_applied_offset(config->config_state) + 1,
		    config->tail_max);
}

void mmx_config_load_on_too_large_(mmx_config_t *config)
{
	/* The result may be of a long poll that started before the load. */
	if (config->load_step != MMX_CONFIG_LOAD_TAIL)
		return;
	if (config->tail_max <= 1) {
		fail_load_(config);
		return;
	}
	config->tail_max /= 4;
	read_tail_(config);
}

static void on_range_(mmx_config_t *config, const mmx_log_records_t *records)
{
	if (records->first < records->next)
		start_step_(config, MMX_CONFIG_LOAD_LAST, MMX_CONFIG_SNAPSHOTS,
			    records->next - 1, 1);
	else if (config->loaded)
		fail_load_(config);
	else
		read_tail_(config);
}

static bool parse_last_head_(const mmx_log_records_t *records,
			     mmx_snapshot_header_t *head)
{
	size_t length = 0;
	uint8_t *part = NULL;
	bool valid;

	if (records->count)
		part = mmx_config_decode_part_(
			&records->records[records->count - 1], &length, NULL);
	valid = part && mmx_snapshot_parse_header(part, length, head);
	g_free(part);
	return valid;
}

/* Starts the scan early enough to include the previous snapshot, as the last
 * one may be incomplete. */
static void on_last_record_(mmx_config_t *config,
			    const mmx_log_records_t *records)
{
	mmx_snapshot_header_t head = {0};
	uint64_t from = records->first;

	if (parse_last_head_(records, &head) &&
	    records->next - records->first > 2 * (uint64_t)head.part_count)
		from = records->next - 2 * (uint64_t)head.part_count;
	config->load_full_scan = from == records->first;
	config->load_from = from;
	start_step_(config, MMX_CONFIG_LOAD_SCAN, MMX_CONFIG_SNAPSHOTS, from,
		    SCAN_READ_RECORDS);
}

/* Snapshots of several writers may be interleaved, and any of them may be
 * incomplete, so a scan assembles the newest MMX_CONFIG_SCAN_READERS of them
 * concurrently. */
static mmx_snapshot_reader_t *scan_reader_(mmx_config_t *config,
					   uint64_t applied)
{
	mmx_snapshot_reader_t **oldest = &config->scan_readers[0];
	size_t i;

	for (i = 0; i < MMX_CONFIG_SCAN_READERS; i++) {
		mmx_snapshot_reader_t **reader = &config->scan_readers[i];

		if (!*reader)
			*reader = mmx_snapshot_reader_create();
		if (mmx_snapshot_reader_applied_offset(*reader) == applied)
			return *reader;
		if (mmx_snapshot_reader_applied_offset(*reader) <
		    mmx_snapshot_reader_applied_offset(*oldest))
			oldest = reader;
	}
	return *oldest;
}

static void scan_part_(mmx_config_t *config, const uint8_t *part, size_t length)
{
	mmx_snapshot_reader_t *reader;
	mmx_snapshot_header_t head;
	mmx_config_state_t *config_state;

	if (!mmx_snapshot_parse_header(part, length, &head))
		return;
	reader = scan_reader_(config, head.applied_offset);
	if (mmx_snapshot_reader_add(reader, part, length) !=
	    MMX_SNAPSHOT_COMPLETE)
		return;
	config_state = mmx_snapshot_reader_load(reader, NULL);
	if (!config_state)
		config->stats.loads_invalid++;
	if (config_state &&
	    (!config->load_state ||
	     mmx_config_state_applied_offset(config_state) >
		     mmx_config_state_applied_offset(config->load_state))) {
		mmx_config_state_destroy(config->load_state);
		config->load_state = config_state;
	} else {
		mmx_config_state_destroy(config_state);
	}
}

static void scan_record_(mmx_config_t *config, const mmx_log_record_t *record)
{
	size_t length = 0;
	uint8_t *part = mmx_config_decode_part_(record, &length, NULL);

	config->load_from = record->offset + 1;
	if (part)
		scan_part_(config, part, length);
	g_free(part);
}

static void finish_scan_(mmx_config_t *config, const mmx_log_records_t *records)
{
	mmx_config_state_t *config_state = config->load_state;

	if (!config_state && !config->load_full_scan) {
		config->load_full_scan = true;
		config->load_from = records->first;
		start_step_(config, MMX_CONFIG_LOAD_SCAN, MMX_CONFIG_SNAPSHOTS,
			    config->load_from, SCAN_READ_RECORDS);
		return;
	}
	config->load_state = NULL;
	if (config_state)
		mmx_config_replace_(config, config_state);
	if (config->loaded && config->has_gap)
		fail_load_(config);
	else
		read_tail_(config);
}

static void on_scan_records_(mmx_config_t *config,
			     const mmx_log_records_t *records)
{
	size_t i;

	for (i = 0; i < records->count; i++)
		scan_record_(config, &records->records[i]);
	if (records->count && config->load_from < records->next)
		start_step_(config, MMX_CONFIG_LOAD_SCAN, MMX_CONFIG_SNAPSHOTS,
			    config->load_from, SCAN_READ_RECORDS);
	else
		finish_scan_(config, records);
}

static void on_tail_records_(mmx_config_t *config,
			     const mmx_log_records_t *records)
{
	uint64_t applied =
		mmx_config_state_applied_offset(config->config_state);
	size_t i;

	if (records->first > applied + 1) {
		fail_load_(config);
		return;
	}
	for (i = 0; i < records->count; i++)
		mmx_config_apply_(config, &records->records[i]);
	config->stats.records_from_log +=
		mmx_config_state_applied_offset(config->config_state) - applied;
	if (mmx_config_state_applied_offset(config->config_state) + 1 >=
	    records->next) {
		finish_load_(config);
		mmx_config_confirm_(config);
	} else if (mmx_config_state_applied_offset(config->config_state) >
		   applied) {
		read_tail_(config);
	} else {
		fail_load_(config);
	}
}

void mmx_config_load_on_read_(mmx_config_t *config, mmx_config_stream_t stream,
			      const mmx_log_records_t *records)
{
	mmx_config_stream_t expected = config->load_step == MMX_CONFIG_LOAD_TAIL
					       ? MMX_CONFIG_RECORDS
					       : MMX_CONFIG_SNAPSHOTS;

	/* The result may be of a long poll that started before the load. */
	if (stream != expected)
		return;
	if (!records) {
		fail_load_(config);
		return;
	}
	switch (config->load_step) {
	case MMX_CONFIG_LOAD_RANGE:
		on_range_(config, records);
		break;
	case MMX_CONFIG_LOAD_LAST:
		on_last_record_(config, records);
		break;
	case MMX_CONFIG_LOAD_SCAN:
		on_scan_records_(config, records);
		break;
	default:
		on_tail_records_(config, records);
		break;
	}
}

static void start_load_(mmx_config_t *config, mmx_time_t now)
{
	const mmx_config_newer_peer_t *peer =
		mmx_config_choose_newer_peer_(config);
	bool alone = !config->transport || config->member_count <= 1;

	config->tail_max = TAIL_READ_RECORDS;
	if (peer && config->transport) {
		config->load_step = MMX_CONFIG_LOAD_PEER;
		config->load_peer = peer->peer;
		request_part_(config);
	} else if (config->options.has_log && !config->checking &&
		   (alone || now - config->started_at >= PEER_WAIT_US)) {
		start_step_(config, MMX_CONFIG_LOAD_RANGE, MMX_CONFIG_SNAPSHOTS,
			    0, 1);
	}
}

void mmx_config_load_tick_(mmx_config_t *config)
{
	mmx_time_t now = mmx_clock_now(config->clock);

	if (config->served_snapshot &&
	    now - config->served_last_used > SERVED_IDLE_MAX_US) {
		mmx_snapshot_destroy(config->served_snapshot);
		config->served_snapshot = NULL;
	}
	if (config->load_step == MMX_CONFIG_LOAD_PEER &&
	    now >= config->load_deadline)
		handle_peer_failure_(config);
	if (config->load_step == MMX_CONFIG_LOAD_IDLE &&
	    mmx_config_needs_load_(config) && now >= config->load_not_before)
		start_load_(config, now);
}

const uint8_t *mmx_config_serve_load(mmx_config_t *config, uint64_t applied,
				     uint32_t part, size_t *length)
{
	mmx_time_t now = mmx_clock_now(config->clock);
	mmx_snapshot_t *served = config->served_snapshot;

	if (!config->loaded ||
	    mmx_config_state_applied_offset(config->config_state) == 0)
		return NULL;
	if (served && applied == mmx_snapshot_applied_offset(served) &&
	    part < mmx_snapshot_part_count(served)) {
		config->served_last_used = now;
		config->stats.loads_served++;
		return mmx_snapshot_part(served, part, length);
	}
	/* All loading peers share a snapshot up to SERVED_AGE_MAX_US: the
	 * records after it are cached and can be pulled. */
	if (!served || now - config->served_created > SERVED_AGE_MAX_US) {
		mmx_snapshot_destroy(served);
		config->served_snapshot =
			mmx_snapshot_create(config->config_state);
		config->served_created = now;
	}
	config->served_last_used = now;
	config->stats.loads_served++;
	return mmx_snapshot_part(config->served_snapshot, 0, length);
}
