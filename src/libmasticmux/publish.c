#include "masticmux/publish.h"

#include <assert.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#define POLL_INTERVAL_US (20 * MMX_US_PER_MS)
/* An append that got no answer may take effect up to this much later. Settling
 * waits as long before it reports that the id is not in the log. */
#define LATE_APPEND_MAX_US (2 * MMX_US_PER_S)

const char *const mmx_publish_outcome_string[MMX_PUBLISH_OUTCOME_COUNT] = {
	"accepted", "rejected", "unknown", "not-found", "unavailable",
};

typedef enum publish_state_t {
	STATE_LOADING,	 /* reads the log up to its end */
	STATE_APPENDING, /* waits for the result of the append */
	STATE_CONFIRMING, /* waits until the config_state reaches the record's offset */
	STATE_SEARCHING, /* result unknown; looks for the id in the log */
	STATE_DONE,
	STATE_COUNT
} publish_state_t;

struct mmx_publish_t {
	mmx_clock_t *clock;
	const mmx_config_t *config;
	const mmx_publish_ops_t *ops;
	void *arg;
	char id[MMX_CHANGE_ID_MAX + 1];
	char *record; /* NULL: settle */
	mmx_timer_t poll_timer;
	mmx_time_t deadline;
	mmx_time_t timeout;
	mmx_time_t since; /* only reads of the log after this time count */
	publish_state_t state;
	mmx_publish_result_t result;
	mmx_config_state_result_t
		applied; /* latest result for the id or the offset */
	bool has_applied;
};

static void finish_(mmx_publish_t *publish, mmx_publish_outcome_t outcome,
		    const char *text)
{
	publish->state = STATE_DONE;
	mmx_timer_cancel(&publish->poll_timer);
	publish->result.outcome = outcome;
	if (text)
		g_strlcpy(publish->result.text, text,
			  sizeof(publish->result.text));
	publish->ops->done(publish->arg, &publish->result);
}

static void finish_with_verdict_(mmx_publish_t *publish,
				 const mmx_config_state_result_t *verdict)
{
	const char *text = verdict->text;

	publish->result.offset = verdict->offset;
	publish->result.reject = verdict->reject_reason;
	if (verdict->verdict == MMX_VERDICT_ACCEPTED) {
		finish_(publish, MMX_PUBLISH_ACCEPTED, NULL);
		return;
	}
	if (!text[0])
		text = mmx_reject_reason_string[verdict->reject_reason];
	finish_(publish, MMX_PUBLISH_REJECTED, text);
}

/* Returns whether the log has confirmed after a time that the config_state is up to
 * date. */
static bool confirmed_since_(const mmx_publish_t *publish, mmx_time_t since)
{
	mmx_config_progress_t news;

	return mmx_config_progress(publish->config, &news) &&
	       news.confirmed_age != MMX_TIME_NEVER &&
	       mmx_clock_now(publish->clock) - news.confirmed_age > since;
}

static bool finish_if_decided_(mmx_publish_t *publish)
{
	mmx_config_state_result_t verdict;

	if (!mmx_config_is_loaded(publish->config) ||
	    !mmx_config_state_get_verdict(mmx_config_get_state(publish->config),
					  publish->id, &verdict))
		return false;
	if (publish->has_applied && publish->applied.offset == verdict.offset)
		verdict = publish->applied;
	finish_with_verdict_(publish, &verdict);
	return true;
}

static void append_(mmx_publish_t *publish)
{
	publish->state = STATE_APPENDING;
	publish->result.appends++;
	publish->ops->append(publish->arg, publish->record,
			     strlen(publish->record));
}

static void finish_loading_(mmx_publish_t *publish)
{
	if (publish->record)
		append_(publish);
	else if (confirmed_since_(publish, publish->since + LATE_APPEND_MAX_US))
		finish_(publish, MMX_PUBLISH_NOT_FOUND,
			"the change is not in the log");
}

/* The append is acknowledged, but the config_state has no verdict on the id. */
static void finish_confirming_(mmx_publish_t *publish)
{
	uint64_t applied = mmx_config_state_applied_offset(
		mmx_config_get_state(publish->config));

	if (applied < publish->result.offset)
		return;
	if (publish->result.offset == 0)
		append_(publish);
	else
		finish_(publish, MMX_PUBLISH_REJECTED,
			publish->has_applied
				? publish->applied.text
				: "the record is not a valid change");
}

static void finish_timed_out_(mmx_publish_t *publish)
{
	if (publish->result.appends == 0 && publish->record)
		finish_(publish, MMX_PUBLISH_UNAVAILABLE,
			"cannot read the log service; nothing was appended");
	else
		finish_(publish, MMX_PUBLISH_UNKNOWN,
			"the log service did not respond in time");
}

static void on_poll_(void *arg)
{
	mmx_publish_t *publish = arg;

	mmx_timer_set(&publish->poll_timer, POLL_INTERVAL_US);
	if (finish_if_decided_(publish))
		return;
	if (mmx_clock_now(publish->clock) >= publish->deadline) {
		finish_timed_out_(publish);
		return;
	}
	if (publish->state == STATE_LOADING) {
		if (confirmed_since_(publish, publish->since))
			finish_loading_(publish);
	} else if (publish->state == STATE_CONFIRMING) {
		finish_confirming_(publish);
	} else if (publish->state == STATE_SEARCHING &&
		   confirmed_since_(publish, publish->since)) {
		append_(publish);
	}
}

mmx_publish_t *mmx_publish_create(mmx_clock_t *clock,
				  const mmx_config_t *config, const char *id,
				  const char *record, mmx_time_t timeout,
				  const mmx_publish_ops_t *ops, void *arg)
{
	mmx_publish_t *publish = g_new0(mmx_publish_t, 1);

	assert(clock && config && id[0] && timeout > 0 && ops);
	publish->clock = clock;
	publish->config = config;
	publish->ops = ops;
	publish->arg = arg;
	publish->timeout = timeout;
	publish->record = g_strdup(record);
	g_strlcpy(publish->id, id, sizeof(publish->id));
	mmx_timer_init(&publish->poll_timer, clock, on_poll_, publish);
	return publish;
}

void mmx_publish_destroy(mmx_publish_t *publish)
{
	if (!publish)
		return;
	mmx_timer_cancel(&publish->poll_timer);
	g_free(publish->record);
	g_free(publish);
}

void mmx_publish_start(mmx_publish_t *publish)
{
	publish->since = mmx_clock_now(publish->clock);
	publish->deadline = publish->since + publish->timeout;
	mmx_timer_set(&publish->poll_timer, 0);
}

void mmx_publish_on_appended(mmx_publish_t *publish, mmx_log_result_t result,
			     uint64_t offset)
{
	if (publish->state != STATE_APPENDING)
		return;
	if (result == MMX_LOG_OK) {
		publish->state = STATE_CONFIRMING;
		publish->result.offset = offset;
	} else if (result == MMX_LOG_REFUSED && publish->result.appends == 1) {
		finish_(publish, MMX_PUBLISH_REJECTED,
			"the log service refused the record");
	} else {
		publish->state = STATE_SEARCHING;
		publish->since = mmx_clock_now(publish->clock);
	}
}

void mmx_publish_on_applied(mmx_publish_t *publish,
			    const mmx_config_state_result_t *result)
{
	bool is_own_id = !strcmp(result->id, publish->id);

	/* The verdict on a duplicate does not apply to the first record. */
	if (result->verdict == MMX_VERDICT_DUPLICATE ||
	    (!is_own_id && (result->offset != publish->result.offset ||
			    publish->state != STATE_CONFIRMING)))
		return;
	publish->applied = *result;
	publish->has_applied = true;
}

static bool parse_alive_member_(const json_t *member, uint64_t *applied)
{
	const char *state = json_string_value(json_object_get(member, "state"));
	const json_t *offset = json_object_get(member, "applied");

	*applied = 0;
	if (json_is_integer(offset) && json_integer_value(offset) > 0)
		*applied = (uint64_t)json_integer_value(offset);
	return state && !strcmp(state, "alive");
}

bool mmx_publish_count_nodes(const char *json, size_t length, uint64_t revision,
			     size_t *in_force, size_t *alive)
{
	json_t *root = json_loadb(json, length, 0, NULL);
	json_t *members = json_object_get(root, "members");
	bool valid = json_is_array(members);
	json_t *member;
	uint64_t applied;
	size_t i;

	*in_force = 0;
	*alive = 0;
	json_array_foreach(members, i, member)
	{
		if (!parse_alive_member_(member, &applied))
			continue;
		*alive += 1;
		*in_force += applied >= revision;
	}
	json_decref(root);
	return valid;
}
