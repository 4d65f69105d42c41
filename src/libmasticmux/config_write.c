/* Writing of snapshots: readers look at the newest snapshot in the log, each
 * at its own time, and the first one that finds a new one due writes it. */
#include "private/config_internal.h"

/* A new one is due after this part of the retention, so that two more attempts
 * fit before the records after the last snapshot expire. */
#define RETENTION_PART 3
/* Distance between the checks of readers of consecutive ranks. */
#define RANK_STEP_MAX (20 * MMX_US_PER_S)
#define RANK_STEP_PART 180
#define FIRST_CHECK (5 * MMX_US_PER_S)
#define RETRY (30 * MMX_US_PER_S)
/* A snapshot whose last part is missing for longer has lost its writer. */
#define UNFINISHED_AGE (120 * MMX_US_PER_S)
#define FAILURES_MAX 20

static mmx_time_t rank_delay_(const mmx_config_t *config)
{
	mmx_time_t step = config->options.retention / RANK_STEP_PART;

	return config->global_rank *
	       (step < RANK_STEP_MAX ? step : RANK_STEP_MAX);
}

static void check_in_(mmx_config_t *config, mmx_time_t delay)
{
	config->checking = false;
	config->check_at =
		mmx_clock_now(config->clock) + delay +
		(mmx_time_t)mmx_random_below(&config->random, MMX_US_PER_S);
}

static void begin_(mmx_config_t *config)
{
	config->checking = false;
	config->written_snapshot = mmx_snapshot_create(config->config_state);
	config->writing_part = 0;
	config->writing_failures = 0;
}

static void end_(mmx_config_t *config, mmx_time_t next_check)
{
	mmx_snapshot_destroy(config->written_snapshot);
	config->written_snapshot = NULL;
	check_in_(config, next_check);
}

/* One part per tick, to leave the log's appends to others. */
static void append_(mmx_config_t *config)
{
	size_t length;
	size_t size;
	const uint8_t *part = mmx_snapshot_part(config->written_snapshot,
						config->writing_part, &length);
	char *record = mmx_config_encode_part_(
		part, length, mmx_clock_wall(config->clock) / MMX_US_PER_MS,
		&size);

	config->appending = true;
	config->stats.appends++;
	config->log->append(config->arg, record, size);
	g_free(record);
}

void mmx_config_on_appended(mmx_config_t *config, mmx_log_result_t result)
{
	mmx_time_t period = config->options.retention / RETENTION_PART;

	config->appending = false;
	if (!config->written_snapshot)
		return;
	/* After an unknown result the part is appended again: a part that
	 * occurs twice does no harm. */
	if (result != MMX_LOG_OK) {
		if (++config->writing_failures >= FAILURES_MAX)
			end_(config, RETRY);
		return;
	}
	if (++config->writing_part <
	    mmx_snapshot_part_count(config->written_snapshot))
		return;
	config->stats.snapshots_written++;
	config->snapshot_applied =
		mmx_snapshot_applied_offset(config->written_snapshot);
	end_(config, period + rank_delay_(config));
}

/* Newest record of the stream of snapshots. */
static void take_newest_(mmx_config_t *config, const mmx_log_record_t *record)
{
	mmx_time_t period = config->options.retention / RETENTION_PART;
	uint64_t wall_ms = mmx_clock_wall(config->clock) / MMX_US_PER_MS;
	uint64_t written_ms = 0;
	size_t length = 0;
	uint8_t *part = mmx_config_decode_part_(record, &length, &written_ms);
	mmx_snapshot_header_t head;
	bool valid = part && mmx_snapshot_parse_header(part, length, &head);
	mmx_time_t age = 0;

	g_free(part);
	if (written_ms < wall_ms)
		age = (mmx_time_t)(wall_ms - written_ms) * MMX_US_PER_MS;
	if (!valid) {
		begin_(config);
	} else if (head.part_index + 1 < head.part_count) {
		if (age > UNFINISHED_AGE)
			begin_(config);
		else
			check_in_(config, RETRY);
	} else {
		if (head.applied_offset > config->snapshot_applied)
			config->snapshot_applied = head.applied_offset;
		if (age >= period ||
		    mmx_config_state_applied_offset(config->config_state) >=
			    head.applied_offset +
				    MMX_CONFIG_RECORDS_PER_SNAPSHOT)
			begin_(config);
		else
			check_in_(config, period - age + rank_delay_(config));
	}
}

void mmx_config_write_on_read_(mmx_config_t *config,
			       const mmx_log_records_t *records)
{
	bool is_empty = records && records->first == records->next;

	if (!records || (!config->check_range && records->count == 0)) {
		check_in_(config, RETRY);
	} else if (config->check_range && is_empty) {
		begin_(config);
	} else if (config->check_range) {
		config->check_range = false;
		mmx_config_read_(config, MMX_CONFIG_SNAPSHOTS,
				 records->next - 1, 1, 0);
	} else {
		take_newest_(config, &records->records[records->count - 1]);
	}
}

static void hurry_(mmx_config_t *config, mmx_time_t now)
{
	mmx_time_t at = now + rank_delay_(config);

	if (mmx_config_state_applied_offset(config->config_state) >=
		    config->snapshot_applied +
			    MMX_CONFIG_RECORDS_PER_SNAPSHOT &&
	    at < config->check_at)
		config->check_at = at;
}

void mmx_config_write_tick_(mmx_config_t *config)
{
	mmx_time_t now = mmx_clock_now(config->clock);

	if (!config->options.has_log || !config->options.writes_snapshots ||
	    mmx_config_needs_load_(config) || config->global_rank < 0 ||
	    mmx_config_state_applied_offset(config->config_state) == 0)
		return;
	if (config->written_snapshot) {
		if (!config->appending)
			append_(config);
		return;
	}
	if (!config->check_scheduled) {
		config->check_scheduled = true;
		check_in_(config, FIRST_CHECK + rank_delay_(config));
	}
	if (config->checking)
		return;
	hurry_(config, now);
	if (now < config->check_at || config->load_step != MMX_CONFIG_LOAD_IDLE)
		return;
	config->checking = true;
	config->check_range = true;
	if (!mmx_config_read_(config, MMX_CONFIG_SNAPSHOTS, 0, 1, 0))
		config->checking = false;
}
