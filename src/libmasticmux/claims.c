#include "private/claims.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

/* Pause after the log has failed to answer. */
#define RETRY_INTERVAL_US (300 * MMX_US_PER_MS)
/* Claims whose lifetime is over are dropped this often. */
#define EXPIRY_INTERVAL_US (10 * MMX_US_PER_S)

const char *const mmx_claim_result_string[MMX_CLAIM_RESULT_COUNT] = {
	"won",
	"lost",
	"unavailable",
};

typedef struct waiting_t {
	TAILQ_ENTRY(waiting_t) entry;
	mmx_claim_t claim;
	mmx_time_t give_up;
	mmx_claim_callback_t fn;
	void *arg;
	bool sent; /* in a record that was appended or may have been */
} waiting_t;

typedef TAILQ_HEAD(waiting_list_t, waiting_t) waiting_list_t;

typedef struct partition_t {
	mmx_claims_t *owner;
	unsigned int number;
	uint64_t next_read; /* 0 until the stream was read for the first time */
	uint64_t own_offset; /* of the latest append that must be read */
	bool appending;
	bool reading;
	bool must_read; /* an append may have taken effect */
	mmx_time_t next_append;
	mmx_timer_t timer;
	waiting_list_t waiting;
	GHashTable *holders; /* of mmx_claim_holder_t by digest */
} partition_t;

struct mmx_claims_t {
	mmx_clock_t *clock;
	const mmx_claims_ops_t *ops;
	void *context;
	partition_t partitions[MMX_CLAIM_PARTITIONS];
	mmx_timer_t expiry;
	mmx_counter_t *appends;
	mmx_counter_t *results[MMX_CLAIM_RESULT_COUNT];
	mmx_counter_t *invalid;
};

static void advance_(partition_t *partition);

/* --- holders ----------------------------------------------------------- */

static guint hash_digest_(gconstpointer key)
{
	guint value;

	/* The first byte chooses the partition, so the next ones are used. */
	memcpy(&value, (const uint8_t *)key + 4, sizeof(value));
	return value;
}

static gboolean equal_digest_(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, MMX_CLAIM_DIGEST_BYTES) == 0;
}

static bool same_attempt_(const mmx_attempt_id_t *a, const mmx_attempt_id_t *b)
{
	return a->entry == b->entry && a->incarnation == b->incarnation &&
	       a->sequence == b->sequence;
}

/* True if a claim at a later offset takes the key from its holder. */
static bool replaces_(const mmx_claim_t *claim,
		      const mmx_claim_holder_t *holder)
{
	if (claim->supersedes != 0)
		return claim->supersedes == holder->offset;
	return claim->claimed_at >
	       holder->claim.deadline + MMX_CLAIM_LIFETIME_US;
}

static void apply_claim_(partition_t *partition, uint64_t offset,
			 const mmx_claim_t *claim)
{
	mmx_claim_holder_t *holder =
		g_hash_table_lookup(partition->holders, &claim->digest);

	if (holder && !replaces_(claim, holder))
		return;
	/* A takeover of a claim that is not held comes too late. */
	if (!holder && claim->supersedes != 0 &&
	    claim->supersedes >= partition->next_read)
		return;
	holder = g_new(mmx_claim_holder_t, 1);
	holder->claim = *claim;
	holder->offset = offset;
	g_hash_table_replace(partition->holders, &holder->claim.digest, holder);
}

static void apply_record_(partition_t *partition,
			  const mmx_log_record_t *record)
{
	mmx_claim_t claims[MMX_CLAIM_BATCH_MAX];
	size_t count = mmx_claims_decode(record->data, record->length, claims);
	size_t i;

	if (count == 0)
		mmx_counter_add(partition->owner->invalid, 1);
	for (i = 0; i < count; i++)
		if (mmx_claim_partition(&claims[i].digest) == partition->number)
			apply_claim_(partition, record->offset, &claims[i]);
}

/* --- waiting claims ---------------------------------------------------- */

static void answer_(partition_t *partition, waiting_t *waiting,
		    mmx_claim_result_t result, const mmx_claim_holder_t *holder)
{
	TAILQ_REMOVE(&partition->waiting, waiting, entry);
	mmx_counter_add(partition->owner->results[result], 1);
	waiting->fn(waiting->arg, result, holder);
	g_free(waiting);
}

static void settle_(partition_t *partition)
{
	const mmx_claim_holder_t *holder;
	waiting_t *waiting;
	waiting_t *next;

	for (waiting = TAILQ_FIRST(&partition->waiting); waiting;
	     waiting = next) {
		next = TAILQ_NEXT(waiting, entry);
		holder = g_hash_table_lookup(partition->holders,
					     &waiting->claim.digest);
		if (!holder)
			continue;
		if (same_attempt_(&holder->claim.attempt,
				  &waiting->claim.attempt))
			answer_(partition, waiting, MMX_CLAIM_WON, holder);
		else if (!replaces_(&waiting->claim, holder))
			answer_(partition, waiting, MMX_CLAIM_LOST, holder);
	}
}

static void give_up_(partition_t *partition)
{
	mmx_time_t now = mmx_clock_now(partition->owner->clock);
	waiting_t *waiting;
	waiting_t *next;

	for (waiting = TAILQ_FIRST(&partition->waiting); waiting;
	     waiting = next) {
		next = TAILQ_NEXT(waiting, entry);
		if (waiting->give_up <= now)
			answer_(partition, waiting, MMX_CLAIM_UNAVAILABLE,
				NULL);
	}
}

/* --- appends and reads ------------------------------------------------- */

static size_t collect_(partition_t *partition, mmx_claim_t *claims)
{
	waiting_t *waiting;
	size_t count = 0;

	TAILQ_FOREACH (waiting, &partition->waiting, entry) {
		if (waiting->sent || count == MMX_CLAIM_BATCH_MAX)
			continue;
		waiting->sent = true;
		claims[count++] = waiting->claim;
	}
	return count;
}

static bool has_unsent_(const partition_t *partition)
{
	const waiting_t *waiting;

	TAILQ_FOREACH (waiting, &partition->waiting, entry)
		if (!waiting->sent)
			return true;
	return false;
}

static void append_(partition_t *partition)
{
	mmx_claims_t *owner = partition->owner;
	mmx_claim_t claims[MMX_CLAIM_BATCH_MAX];
	size_t count = collect_(partition, claims);
	size_t length;
	char *data = mmx_claims_encode(claims, count, &length);

	partition->appending = true;
	partition->next_append =
		mmx_clock_now(owner->clock) + MMX_CLAIM_APPEND_INTERVAL_US;
	mmx_counter_add(owner->appends, 1);
	owner->ops->append(owner->context, partition->number, data, length);
	g_free(data);
}

static void read_(partition_t *partition)
{
	mmx_claims_t *owner = partition->owner;

	partition->reading = true;
	owner->ops->read(owner->context, partition->number,
			 partition->next_read ? partition->next_read : 1);
}

static void set_timer_(partition_t *partition)
{
	mmx_time_t now = mmx_clock_now(partition->owner->clock);
	const waiting_t *first = TAILQ_FIRST(&partition->waiting);
	mmx_time_t due;

	if (!first) {
		mmx_timer_cancel(&partition->timer);
		return;
	}
	due = first->give_up;
	if (partition->next_append > now && partition->next_append < due)
		due = partition->next_append;
	mmx_timer_set(&partition->timer, due - now);
}

static void advance_(partition_t *partition)
{
	mmx_time_t now = mmx_clock_now(partition->owner->clock);

	if (!partition->appending && partition->next_append <= now &&
	    has_unsent_(partition))
		append_(partition);
	if (!partition->reading && partition->must_read &&
	    partition->next_append - MMX_CLAIM_APPEND_INTERVAL_US <= now)
		read_(partition);
	set_timer_(partition);
}

static void on_timer_(void *arg)
{
	partition_t *partition = arg;

	give_up_(partition);
	advance_(partition);
}

/* Claims of an append that may be lost go into the next one again. */
static void send_again_(partition_t *partition)
{
	waiting_t *waiting;

	TAILQ_FOREACH (waiting, &partition->waiting, entry)
		waiting->sent = false;
	partition->next_append =
		mmx_clock_now(partition->owner->clock) + RETRY_INTERVAL_US;
}

void mmx_claims_on_appended(mmx_claims_t *claims, unsigned int partition_number,
			    mmx_log_result_t result, uint64_t offset)
{
	partition_t *partition;

	assert(partition_number < MMX_CLAIM_PARTITIONS);
	partition = &claims->partitions[partition_number];
	partition->appending = false;
	partition->must_read = true;
	if (result == MMX_LOG_OK)
		partition->own_offset = offset;
	else
		send_again_(partition);
	advance_(partition);
}

void mmx_claims_on_read(mmx_claims_t *claims, unsigned int partition_number,
			mmx_log_result_t result,
			const mmx_log_records_t *records)
{
	partition_t *partition;
	size_t i;

	assert(partition_number < MMX_CLAIM_PARTITIONS);
	partition = &claims->partitions[partition_number];
	partition->reading = false;
	if (result != MMX_LOG_OK) {
		partition->next_append =
			mmx_clock_now(claims->clock) + RETRY_INTERVAL_US;
		set_timer_(partition);
		return;
	}
	/* What has lapsed in the log is older than any claim's lifetime. */
	if (partition->next_read < records->first)
		partition->next_read = records->first;
	for (i = 0; i < records->count; i++) {
		if (records->records[i].offset < partition->next_read)
			continue;
		apply_record_(partition, &records->records[i]);
		partition->next_read = records->records[i].offset + 1;
	}
	partition->must_read = partition->next_read < records->next ||
			       partition->next_read <= partition->own_offset;
	if (!partition->must_read)
		settle_(partition);
	advance_(partition);
}

/* --- life -------------------------------------------------------------- */

static gboolean is_over_(gpointer key, gpointer value, gpointer arg)
{
	const mmx_claim_holder_t *holder = value;
	const uint64_t *now = arg;

	/* Twice the lifetime: clocks of claiming entries may differ. */
	return holder->claim.deadline + 2 * MMX_CLAIM_LIFETIME_US < *now;
}

static void on_expiry_(void *arg)
{
	mmx_claims_t *claims = arg;
	uint64_t now = mmx_clock_wall(claims->clock);
	unsigned int i;

	for (i = 0; i < MMX_CLAIM_PARTITIONS; i++)
		g_hash_table_foreach_remove(claims->partitions[i].holders,
					    is_over_, &now);
	mmx_timer_set(&claims->expiry, EXPIRY_INTERVAL_US);
}

mmx_claims_t *mmx_claims_create(mmx_clock_t *clock, const mmx_claims_ops_t *ops,
				void *context)
{
	mmx_claims_t *claims = g_new0(mmx_claims_t, 1);
	partition_t *partition;
	unsigned int i;

	assert(clock && ops);
	claims->clock = clock;
	claims->ops = ops;
	claims->context = context;
	for (i = 0; i < MMX_CLAIM_PARTITIONS; i++) {
		partition = &claims->partitions[i];
		partition->owner = claims;
		partition->number = i;
		TAILQ_INIT(&partition->waiting);
		partition->holders = g_hash_table_new_full(
			hash_digest_, equal_digest_, NULL, g_free);
		mmx_timer_init(&partition->timer, clock, on_timer_, partition);
	}
	mmx_timer_init(&claims->expiry, clock, on_expiry_, claims);
	mmx_timer_set(&claims->expiry, EXPIRY_INTERVAL_US);
	return claims;
}

void mmx_claims_destroy(mmx_claims_t *claims)
{
	partition_t *partition;
	waiting_t *waiting;
	unsigned int i;

	if (!claims)
		return;
	mmx_timer_cancel(&claims->expiry);
	for (i = 0; i < MMX_CLAIM_PARTITIONS; i++) {
		partition = &claims->partitions[i];
		mmx_timer_cancel(&partition->timer);
		while ((waiting = TAILQ_FIRST(&partition->waiting))) {
			TAILQ_REMOVE(&partition->waiting, waiting, entry);
			g_free(waiting);
		}
		g_hash_table_destroy(partition->holders);
	}
	g_free(claims);
}

void mmx_claims_set_counters(mmx_claims_t *claims, mmx_counters_t *counters)
{
	char labels[64];
	int i;

	claims->appends = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_claim_appends_total", "",
		"Batches of Idempotency-Key claims appended to the log.");
	claims->invalid = mmx_counters_get(
		counters, MMX_COUNTER, "masticmux_claim_invalid_total", "",
		"Records of the claim streams that are not valid.");
	for (i = 0; i < MMX_CLAIM_RESULT_COUNT; i++) {
		g_snprintf(labels, sizeof(labels), "result=\"%s\"",
			   mmx_claim_result_string[i]);
		claims->results[i] = mmx_counters_get(
			counters, MMX_COUNTER, "masticmux_claims_total", labels,
			"Idempotency-Key claims settled here.");
	}
}

void mmx_claims_submit(mmx_claims_t *claims, const mmx_claim_t *claim,
		       mmx_claim_callback_t fn, void *arg)
{
	partition_t *partition =
		&claims->partitions[mmx_claim_partition(&claim->digest)];
	waiting_t *waiting = g_new0(waiting_t, 1);

	waiting->claim = *claim;
	waiting->give_up = mmx_clock_now(claims->clock) + MMX_CLAIM_TIMEOUT_US;
	waiting->fn = fn;
	waiting->arg = arg;
	TAILQ_INSERT_TAIL(&partition->waiting, waiting, entry);
	advance_(partition);
}

size_t mmx_claims_key_count(const mmx_claims_t *claims)
{
	size_t count = 0;
	unsigned int i;

	for (i = 0; i < MMX_CLAIM_PARTITIONS; i++)
		count += g_hash_table_size(claims->partitions[i].holders);
	return count;
}
