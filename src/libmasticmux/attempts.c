#include "private/attempts.h"
#include "private/trace.h"

#include <assert.h>
#include <event2/buffer.h>
#include <glib.h>

/*
 * Time after its deadline for which an ended attempt is kept: longer than the
 * delay of any message that still needs a reply.
 */
#define KEEP_AFTER_DEADLINE_US (30 * MMX_US_PER_S)

const char *const mmx_attempt_state_string[MMX_ATTEMPT_STATE_COUNT] = {
	"queued",
	"running",
	"finished",
	"refused",
};

const char *const mmx_attempt_lookup_string[MMX_ATTEMPT_LOOKUP_COUNT] = {
	"new",
	"known",
	"forgotten",
	"stale",
};

typedef struct entry_record_t {
	mmx_node_id_t node;
	mmx_incarnation_t incarnation;
	uint64_t watermark; /* highest sequence of a removed record */
} entry_record_t;

struct mmx_attempts_t {
	mmx_clock_t *clock;
	GHashTable *records; /* of mmx_attempt_t, keyed by id */
	GHashTable *entries; /* of entry_record_t, keyed by node */
	const mmx_guards_t *guards;
	mmx_attempt_list_t ended; /* in the order in which they ended */
	/* With a stored response, in the order in which it began. */
	mmx_attempt_list_t responses;
	size_t ended_count;
	size_t record_max; /* bound on ended_count */
	size_t response_bytes;
	size_t response_bytes_max;
};

static guint hash_attempt_id_(gconstpointer key)
{
	const mmx_attempt_id_t *id = key;

	return (guint)((id->entry ^ id->incarnation) +
		       id->sequence * 2654435761U);
}

static gboolean equal_attempt_id_(gconstpointer a, gconstpointer b)
{
	return mmx_attempt_id_is_equal(a, b);
}

mmx_attempts_t *mmx_attempts_create(mmx_clock_t *clock, size_t record_max,
				    size_t response_bytes_max)
{
	mmx_attempts_t *attempts;

	assert(clock && record_max > 0);
	attempts = g_new0(mmx_attempts_t, 1);
	attempts->clock = clock;
	attempts->records =
		g_hash_table_new(hash_attempt_id_, equal_attempt_id_);
	attempts->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, g_free);
	TAILQ_INIT(&attempts->ended);
	TAILQ_INIT(&attempts->responses);
	attempts->guards = &mmx_guards_all;
	attempts->record_max = record_max;
	attempts->response_bytes_max = response_bytes_max;
	return attempts;
}

void mmx_attempts_drop_response(mmx_attempts_t *attempts,
				mmx_attempt_t *attempt)
{
	mmx_head_destroy(attempt->response_head);
	attempt->response_head = NULL;
	if (!attempt->response_body)
		return;
	TAILQ_REMOVE(&attempts->responses, attempt, response_entry);
	attempts->response_bytes -= evbuffer_get_length(attempt->response_body);
	evbuffer_free(attempt->response_body);
	attempt->response_body = NULL;
}

void mmx_attempts_set_guards(mmx_attempts_t *attempts,
			     const mmx_guards_t *guards)
{
	attempts->guards = guards;
}

static void free_record_(mmx_attempts_t *attempts, mmx_attempt_t *attempt)
{
	mmx_attempts_drop_response(attempts, attempt);
	if (attempt->execute)
		mmx_message_destroy(&attempt->execute->message);
	g_free(attempt->request_id);
	mmx_span_finish(attempt->call_span);
	mmx_span_finish(attempt->span);
	g_free(attempt);
}

void mmx_attempts_destroy(mmx_attempts_t *attempts)
{
	GHashTableIter iter;
	gpointer value;

	if (!attempts)
		return;
	g_hash_table_iter_init(&iter, attempts->records);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		free_record_(attempts, value);
	g_hash_table_destroy(attempts->records);
	g_hash_table_destroy(attempts->entries);
	g_free(attempts);
}

static entry_record_t *find_or_add_entry_(mmx_attempts_t *attempts,
					  const mmx_attempt_id_t *id)
{
	entry_record_t *entry;

	entry = g_hash_table_lookup(attempts->entries, &id->entry);
	if (!entry) {
		entry = g_new0(entry_record_t, 1);
		entry->node = id->entry;
		entry->incarnation = id->incarnation;
		g_hash_table_insert(attempts->entries, &entry->node, entry);
	}
	if (id->incarnation > entry->incarnation) {
		entry->incarnation = id->incarnation;
		entry->watermark = 0;
	}
	return entry;
}

mmx_attempt_lookup_t mmx_attempts_find(mmx_attempts_t *attempts,
				       const mmx_attempt_id_t *id,
				       mmx_attempt_t **found)
{
	const entry_record_t *entry = find_or_add_entry_(attempts, id);

	*found = g_hash_table_lookup(attempts->records, id);
	if (*found)
		return MMX_ATTEMPT_KNOWN;
	if (id->incarnation < entry->incarnation)
		return MMX_ATTEMPT_STALE;
	if (attempts->guards->watermark && id->sequence <= entry->watermark)
		return MMX_ATTEMPT_FORGOTTEN;
	return MMX_ATTEMPT_NEW;
}

mmx_attempt_t *mmx_attempts_add(mmx_attempts_t *attempts,
				const mmx_attempt_id_t *id)
{
	mmx_attempt_t *attempt = g_new0(mmx_attempt_t, 1);

	assert(!g_hash_table_contains(attempts->records, id));
	attempt->id = *id;
	attempt->state = MMX_ATTEMPT_QUEUED;
	attempt->arrived = mmx_clock_now(attempts->clock);
	g_hash_table_insert(attempts->records, &attempt->id, attempt);
	return attempt;
}

static void remove_ended_(mmx_attempts_t *attempts, mmx_attempt_t *attempt)
{
	entry_record_t *entry = find_or_add_entry_(attempts, &attempt->id);

	if (attempt->id.incarnation == entry->incarnation &&
	    attempt->id.sequence > entry->watermark)
		entry->watermark = attempt->id.sequence;
	TAILQ_REMOVE(&attempts->ended, attempt, expiry_entry);
	attempts->ended_count--;
	g_hash_table_remove(attempts->records, &attempt->id);
	free_record_(attempts, attempt);
}

void mmx_attempts_end(mmx_attempts_t *attempts, mmx_attempt_t *attempt,
		      mmx_attempt_state_t state)
{
	assert(attempt->state == MMX_ATTEMPT_QUEUED ||
	       attempt->state == MMX_ATTEMPT_RUNNING);
	attempt->state = state;
	attempt->target = NULL;
	if (attempt->execute)
		mmx_message_destroy(&attempt->execute->message);
	attempt->execute = NULL;
	if (attempt->repeatable) {
		g_hash_table_remove(attempts->records, &attempt->id);
		free_record_(attempts, attempt);
		return;
	}
	attempt->expire_at =
		MAX(attempt->deadline, mmx_clock_now(attempts->clock)) +
		(attempt->keyed ? MMX_CLAIM_LIFETIME_US
				: KEEP_AFTER_DEADLINE_US);
	TAILQ_INSERT_TAIL(&attempts->ended, attempt, expiry_entry);
	attempts->ended_count++;
	while (attempts->ended_count > attempts->record_max)
		remove_ended_(attempts, TAILQ_FIRST(&attempts->ended));
}

void mmx_attempts_store_head(mmx_attempts_t *attempts, mmx_attempt_t *attempt,
			     const mmx_head_t *head)
{
	if (attempt->repeatable || attempt->response_head)
		return;
	attempt->response_head = mmx_head_copy(head);
	attempt->response_body = evbuffer_new();
	TAILQ_INSERT_TAIL(&attempts->responses, attempt, response_entry);
}

/* Drops the oldest responses of finished attempts until length bytes fit. */
static bool make_room_(mmx_attempts_t *attempts, size_t length)
{
	mmx_attempt_t *attempt = TAILQ_FIRST(&attempts->responses);
	mmx_attempt_t *next;

	for (; attempt; attempt = next) {
		if (attempts->response_bytes + length <=
		    attempts->response_bytes_max)
			break;
		next = TAILQ_NEXT(attempt, response_entry);
		if (attempt->state == MMX_ATTEMPT_FINISHED)
			mmx_attempts_drop_response(attempts, attempt);
	}
	return attempts->response_bytes + length <=
	       attempts->response_bytes_max;
}

void mmx_attempts_store_body(mmx_attempts_t *attempts, mmx_attempt_t *attempt,
			     struct evbuffer *part)
{
	size_t length = evbuffer_get_length(part);

	if (!attempt->response_body)
		return;
	if (evbuffer_get_length(attempt->response_body) + length >
		    MMX_HELD_BODY_MAX ||
	    !make_room_(attempts, length)) {
		mmx_attempts_drop_response(attempts, attempt);
		return;
	}
	/* The caller also forwards the part, so it is copied. */
	evbuffer_add(attempt->response_body, evbuffer_pullup(part, -1), length);
	attempts->response_bytes += length;
}

void mmx_attempts_expire(mmx_attempts_t *attempts)
{
	mmx_time_t now = mmx_clock_now(attempts->clock);
	mmx_attempt_t *attempt;

	while ((attempt = TAILQ_FIRST(&attempts->ended)) &&
	       attempt->expire_at <= now)
		remove_ended_(attempts, attempt);
}

void mmx_attempts_foreach_active(mmx_attempts_t *attempts,
				 void (*fn)(mmx_attempt_t *attempt, void *arg),
				 void *arg)
{
	GList *values = g_hash_table_get_values(attempts->records);
	GList *item;
	mmx_attempt_t *attempt;

	for (item = values; item; item = item->next) {
		attempt = item->data;
		if (attempt->state == MMX_ATTEMPT_QUEUED ||
		    attempt->state == MMX_ATTEMPT_RUNNING)
			fn(attempt, arg);
	}
	g_list_free(values);
}

size_t mmx_attempts_count(const mmx_attempts_t *attempts)
{
	return g_hash_table_size(attempts->records);
}
