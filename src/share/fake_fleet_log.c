/* The fake log of the fake fleet; it is in region 0. */
#include <string.h>

#include "share/fake_fleet_state.h"

#define LOG_TIMEOUT (2 * MMX_US_PER_S)

static uint64_t next_(const fake_stream_t *stream)
{
	return stream->records->len;
}

static fake_record_t *record_at_(const fake_stream_t *stream, uint64_t offset)
{
	return &g_array_index(stream->records, fake_record_t, offset);
}

/* Drops the records that are older than the retention. */
static void expire_old_(fake_fleet_t *fleet, fake_stream_t *stream)
{
	mmx_time_t oldest =
		mmx_clock_now(fleet->clock) - fleet->options.retention;

	while (stream->first < next_(stream) &&
	       record_at_(stream, stream->first)->at < oldest) {
		g_free(record_at_(stream, stream->first)->data);
		record_at_(stream, stream->first++)->data = NULL;
	}
}

void fake_fleet_log_answer(const fake_message_t *call)
{
	fake_fleet_t *fleet = call->fleet;
	fake_stream_t *stream = &fleet->streams[call->stream];
	mmx_log_records_t records = {0};
	mmx_log_record_t *list = g_new0(mmx_log_record_t, call->max);
	mmx_log_result_t result = call->result;
	size_t bytes = 0;
	uint64_t offset;

	expire_old_(fleet, stream);
	records.first = stream->first;
	records.next = next_(stream);
	offset = MAX(call->offset, stream->first);
	for (; offset < records.next && records.count < call->max; offset++) {
		mmx_log_record_t *record = &list[records.count++];

		record->offset = offset;
		record->data = record_at_(stream, offset)->data;
		record->length = strlen(record->data);
		bytes += record->length;
	}
	fleet->read_bytes += bytes;
	if (result == MMX_LOG_OK && bytes > MMX_LOG_RESPONSE_MAX)
		result = MMX_LOG_TOO_LARGE;
	records.records = list;
	mmx_config_on_read(fleet->nodes[call->to].config, call->stream, result,
			   result == MMX_LOG_OK ? &records : NULL);
	g_free(list);
}

static bool reaches_log_(const fake_node_t *node)
{
	return !node->isolated && !node->fleet->log_down[node->region];
}

static mmx_time_t log_delay_(const fake_node_t *node)
{
	return 2 * (node->region == 0 ? NEAR_DELAY : FAR_DELAY);
}

/* The log is in region 0. A read that has to wait ends at the append. */
void fake_fleet_log_read(void *arg, mmx_config_stream_t stream, uint64_t from,
			 unsigned int max, mmx_time_t wait)
{
	fake_node_t *node = arg;
	fake_fleet_t *fleet = node->fleet;
	fake_message_t *call =
		fake_fleet_message(fleet, LOG_READ, fake_fleet_index(node),
				   fake_fleet_index(node));

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
	fake_message_t *call;

	LIST_FOREACH (call, &fleet->messages, entry) {
		const fake_node_t *node = &fleet->nodes[call->to];

		if (call->kind != LOG_READ || !call->waiting ||
		    call->stream != stream || !reaches_log_(node))
			continue;
		call->waiting = false;
		mmx_timer_set(&call->timer, log_delay_(node));
	}
}

uint64_t fake_fleet_append_to(fake_fleet_t *fleet, mmx_config_stream_t stream,
			      char *record)
{
	fake_record_t appended = {record, mmx_clock_now(fleet->clock)};

	g_array_append_val(fleet->streams[stream].records, appended);
	wake_(fleet, stream);
	return next_(&fleet->streams[stream]) - 1;
}

void fake_fleet_log_append(void *arg, const char *data, size_t length)
{
	fake_node_t *node = arg;
	fake_fleet_t *fleet = node->fleet;
	fake_message_t *call =
		fake_fleet_message(fleet, LOG_APPEND, fake_fleet_index(node),
				   fake_fleet_index(node));

	fleet->appends++;
	call->generation = node->generation;
	call->result = MMX_LOG_UNKNOWN;
	if (!reaches_log_(node)) {
		mmx_timer_set(&call->timer, LOG_TIMEOUT);
		return;
	}
	fake_fleet_append_to(fleet, MMX_CONFIG_SNAPSHOTS,
			     g_strndup(data, length));
	if (fleet->lost_answers > 0) {
		fleet->lost_answers--;
		mmx_timer_set(&call->timer, LOG_TIMEOUT);
		return;
	}
	call->result = MMX_LOG_OK;
	mmx_timer_set(&call->timer, log_delay_(node));
}

uint64_t fake_fleet_append(fake_fleet_t *fleet, char *record)
{
	return fake_fleet_append_to(fleet, MMX_CONFIG_RECORDS, record);
}

void fake_fleet_expire(fake_fleet_t *fleet, mmx_config_stream_t stream,
		       uint64_t first)
{
	fake_stream_t *expired = &fleet->streams[stream];

	for (; expired->first < first; expired->first++) {
		g_free(record_at_(expired, expired->first)->data);
		record_at_(expired, expired->first)->data = NULL;
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
	fake_message_t *call;

	fleet->log_down[region] = !reachable;
	/* Open long polls of the region get no answer. */
	LIST_FOREACH (call, &fleet->messages, entry)
		if (!reachable && call->kind == LOG_READ &&
		    fleet->nodes[call->to].region == region)
			call->result = MMX_LOG_UNKNOWN;
}
