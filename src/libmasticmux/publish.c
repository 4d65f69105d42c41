#include "masticmux/publish.h"

#include <assert.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#define TICK (20 * MMX_US_PER_MS)
/* An append that was given up may take effect this much later; settling waits
 * for it before it says that the id is not there. */
#define SETTLE_DELAY (2 * MMX_US_PER_S)

const char *const mmx_publish_outcome_string[MMX_PUBLISH_OUTCOME_COUNT] = {
	"accepted", "rejected", "unknown", "not-found", "unavailable",
};

typedef enum state_t {
	STATE_LOADING,	 /* reads up to the end of the log */
	STATE_APPENDING, /* waits for the answer */
	STATE_READING,	 /* waits for the record at a known offset */
	STATE_SEARCHING, /* the answer was lost */
	STATE_DONE,
	STATE_COUNT
} state_t;

struct mmx_publish_t {
	mmx_clock_t *clock;
	const mmx_config_t *config;
	const mmx_publish_ops_t *ops;
	void *arg;
	char id[MMX_CHANGE_ID_MAX + 1];
	char *record; /* NULL: only settle */
	mmx_timer_t tick;
	mmx_time_t deadline;
	mmx_time_t timeout;
	mmx_time_t since; /* a confirmation after this time counts */
	state_t state;
	mmx_publish_result_t result;
	mmx_fold_result_t applied; /* last word on the id or the offset */
	bool has_applied;
};

static void finish_(mmx_publish_t *publish, mmx_publish_outcome_t outcome,
		    const char *text)
{
	publish->state = STATE_DONE;
	mmx_timer_cancel(&publish->tick);
	publish->result.outcome = outcome;
	if (text)
		g_strlcpy(publish->result.text, text,
			  sizeof(publish->result.text));
	publish->ops->done(publish->arg, &publish->result);
}

static void finish_verdict_(mmx_publish_t *publish,
			    const mmx_fold_result_t *verdict)
{
	const char *text = verdict->text;

	publish->result.offset = verdict->offset;
	publish->result.reject = verdict->reject;
	if (verdict->verdict == MMX_VERDICT_ACCEPTED) {
		finish_(publish, MMX_PUBLISH_ACCEPTED, NULL);
		return;
	}
	if (!text[0])
		text = mmx_reject_string[verdict->reject];
	finish_(publish, MMX_PUBLISH_REJECTED, text);
}

/* Whether the log confirmed after a time that the fold is up to date. */
static bool confirmed_since_(const mmx_publish_t *publish, mmx_time_t since)
{
	mmx_config_news_t news;

	return mmx_config_news(publish->config, &news) &&
	       news.confirmed_age != MMX_TIME_NEVER &&
	       mmx_clock_now(publish->clock) - news.confirmed_age > since;
}

static bool find_verdict_(mmx_publish_t *publish)
{
	mmx_fold_result_t verdict;

	if (!mmx_config_is_loaded(publish->config) ||
	    !mmx_fold_verdict(mmx_config_fold(publish->config), publish->id,
			      &verdict))
		return false;
	if (publish->has_applied && publish->applied.offset == verdict.offset)
		verdict = publish->applied;
	finish_verdict_(publish, &verdict);
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
	else if (confirmed_since_(publish, publish->since + SETTLE_DELAY))
		finish_(publish, MMX_PUBLISH_NOT_FOUND,
			"the log does not hold the change");
}

/* The record is in the log, but its id isn't in the fold. */
static void finish_reading_(mmx_publish_t *publish)
{
	uint64_t applied = mmx_fold_applied(mmx_config_fold(publish->config));

	if (applied < publish->result.offset)
		return;
	if (publish->result.offset == 0)
		append_(publish);
	else
		finish_(publish, MMX_PUBLISH_REJECTED,
			publish->has_applied ? publish->applied.text
					     : "the record is not valid");
}

static void give_up_(mmx_publish_t *publish)
{
	if (publish->result.appends == 0 && publish->record)
		finish_(publish, MMX_PUBLISH_UNAVAILABLE,
			"the log service cannot be read; nothing was sent");
	else
		finish_(publish, MMX_PUBLISH_UNKNOWN,
			"the log service does not answer");
}

static void on_tick_(void *arg)
{
	mmx_publish_t *publish = arg;

	mmx_timer_set(&publish->tick, TICK);
	if (find_verdict_(publish))
		return;
	if (mmx_clock_now(publish->clock) >= publish->deadline) {
		give_up_(publish);
		return;
	}
	if (publish->state == STATE_LOADING) {
		if (confirmed_since_(publish, publish->since))
			finish_loading_(publish);
	} else if (publish->state == STATE_READING) {
		finish_reading_(publish);
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
	mmx_timer_init(&publish->tick, clock, on_tick_, publish);
	return publish;
}

void mmx_publish_destroy(mmx_publish_t *publish)
{
	if (!publish)
		return;
	mmx_timer_cancel(&publish->tick);
	g_free(publish->record);
	g_free(publish);
}

void mmx_publish_start(mmx_publish_t *publish)
{
	publish->since = mmx_clock_now(publish->clock);
	publish->deadline = publish->since + publish->timeout;
	mmx_timer_set(&publish->tick, 0);
}

void mmx_publish_on_appended(mmx_publish_t *publish, mmx_log_result_t result,
			     uint64_t offset)
{
	if (publish->state != STATE_APPENDING)
		return;
	if (result == MMX_LOG_OK) {
		publish->state = STATE_READING;
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
			    const mmx_fold_result_t *result)
{
	bool is_mine = !strcmp(result->id, publish->id);

	/* A duplicate says nothing about the first record. */
	if (result->verdict == MMX_VERDICT_DUPLICATE ||
	    (!is_mine && (result->offset != publish->result.offset ||
			  publish->state != STATE_READING)))
		return;
	publish->applied = *result;
	publish->has_applied = true;
}

static bool is_alive_(const json_t *member, uint64_t *applied)
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
		if (!is_alive_(member, &applied))
			continue;
		*alive += 1;
		*in_force += applied >= revision;
	}
	json_decref(root);
	return valid;
}
