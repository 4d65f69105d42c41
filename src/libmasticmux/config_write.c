/* Writing of snapshots: the readers check the newest snapshot in the log at
 * staggered times, and the first one to find that a new one is due writes it.
 */
#include "private/config_internal.h"

/* A new snapshot is due after 1/RETENTION_DIVISOR of the retention, which
 * leaves time for two more attempts before the records after the last one
 * expire. */
#define RETENTION_DIVISOR 3
/* Delay between the checks of readers of consecutive ranks:
 * 1/RANK_STEP_DIVISOR of the retention, up to RANK_STEP_MAX_US. */
#define RANK_STEP_MAX_US (20 * MMX_US_PER_S)
#define RANK_STEP_DIVISOR 180
#define FIRST_CHECK_US (5 * MMX_US_PER_S)
#define RETRY_DELAY_US (30 * MMX_US_PER_S)
/* If a snapshot stays incomplete for longer, its writer has failed. */
#define INCOMPLETE_AGE_MAX_US (120 * MMX_US_PER_S)
#define APPEND_FAILURES_MAX 20

static mmx_time_t rank_delay_(const mmx_config_t *config)
{
	mmx_time_t step = config->options.retention / RANK_STEP_DIVISOR;

	return config->global_rank *
	       (step < RANK_STEP_MAX_US ? step : RANK_STEP_MAX_US);
}

static void schedule_check_(mmx_config_t *config, mmx_time_t delay)
{
	config->checking = false;
	config->check_at =
		mmx_clock_now(config->clock) + delay +
		(mmx_time_t)mmx_random_below(&config->random, MMX_US_PER_S);
}

static void start_writing_(mmx_config_t *config)
{
	config->checking = false;
	config->written_snapshot = mmx_snapshot_create(config->config_state);
	config->writing_part = 0;
	config->writing_failures = 0;
}

static void stop_writing_(mmx_config_t *config, mmx_time_t next_check)
{
	mmx_snapshot_destroy(config->written_snapshot);
	config->written_snapshot = NULL;
	schedule_check_(config, next_check);
}

/* At most one part per tick, to leave append capacity of the log to others. */
static void append_part_(mmx_config_t *config)
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
	mmx_time_t period = config->options.retention / RETENTION_DIVISOR;

	config->appending = false;
	if (!config->written_snapshot)
		return;
	/* After a failure, also with an unknown result, the part is appended
	 * again; duplicate parts are harmless. */
	if (result != MMX_LOG_OK) {
		if (++config->writing_failures >= APPEND_FAILURES_MAX)
			stop_writing_(config, RETRY_DELAY_US);
		return;
	}
	if (++config->writing_part <
	    mmx_snapshot_part_count(config->written_snapshot))
		return;
	config->stats.snapshots_written++;
	config->snapshot_applied =
		mmx_snapshot_applied_offset(config->written_snapshot);
	stop_writing_(config, period + rank_delay_(config));
}

/* Decides by the newest record of the snapshot stream whether to write. */
static void on_newest_record_(mmx_config_t *config,
			      const mmx_log_record_t *record)
{
	mmx_time_t period = config->options.retention / RETENTION_DIVISOR;
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
		start_writing_(config);
	} else if (head.part_index + 1 < head.part_count) {
		if (age > INCOMPLETE_AGE_MAX_US)
			start_writing_(config);
		else
			schedule_check_(config, RETRY_DELAY_US);
	} else {
		if (head.applied_offset > config->snapshot_applied)
			config->snapshot_applied = head.applied_offset;
		if (age >= period ||
		    mmx_config_state_applied_offset(config->config_state) >=
			    head.applied_offset +
				    MMX_CONFIG_RECORDS_PER_SNAPSHOT)
			start_writing_(config);
		else
			schedule_check_(config,
					period - age + rank_delay_(config));
	}
}

void mmx_config_write_on_read_(mmx_config_t *config,
			       const mmx_log_records_t *records)
{
	bool is_empty = records && records->first == records->next;

	if (!records || (!config->check_range && records->count == 0)) {
		schedule_check_(config, RETRY_DELAY_US);
	} else if (config->check_range && is_empty) {
		start_writing_(config);
	} else if (config->check_range) {
		config->check_range = false;
		mmx_config_read_(config, MMX_CONFIG_SNAPSHOTS,
				 records->next - 1, 1, 0);
	} else {
		on_newest_record_(config,
				  &records->records[records->count - 1]);
	}
}

static void advance_check_(mmx_config_t *config, mmx_time_t now)
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
			append_part_(config);
		return;
	}
	if (!config->check_scheduled) {
		config->check_scheduled = true;
		schedule_check_(config, FIRST_CHECK_US + rank_delay_(config));
	}
	if (config->checking)
		return;
	advance_check_(config, now);
	if (now < config->check_at || config->load_step != MMX_CONFIG_LOAD_IDLE)
		return;
	config->checking = true;
	config->check_range = true;
	if (!mmx_config_read_(config, MMX_CONFIG_SNAPSHOTS, 0, 1, 0))
		config->checking = false;
}
