#include "private/claims.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

/* Delay before a failed append or read of the log is retried. */
#define RETRY_INTERVAL_US (300 * MMX_US_PER_MS)
/* Interval at which expired claims are removed from memory. */
#define EXPIRY_INTERVAL_US (10 * MMX_US_PER_S)

const char *const mmx_claim_result_string[MMX_CLAIM_RESULT_COUNT] = {
	"won",
	"lost",
	"unavailable",
};

typedef struct pending_claim_t {
	TAILQ_ENTRY(pending_claim_t) entry;
	mmx_claim_t claim;
	mmx_time_t expires_at;
	mmx_claim_fn_t fn;
	void *arg;
	bool sent; /* in a record whose append was started */
} pending_claim_t;

typedef TAILQ_HEAD(pending_list_t, pending_claim_t) pending_list_t;

typedef struct partition_t {
	mmx_claims_t *owner;
	unsigned int number;
	uint64_t read_offset;	 /* next to read; 0 before the first read */
	uint64_t awaited_offset; /* of the node's latest acknowledged append */
	bool appending;
	bool reading;
	bool read_pending; /* the stream may hold records not read yet */
	mmx_time_t next_append_at; /* earliest time of the next append */
	mmx_timer_t timer;
	pending_list_t pending;
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
	mmx_counter_t *invalid_records;
};

static void start_io_(partition_t *partition);

static guint hash_digest_(gconstpointer key)
{
	guint value;

	/* Byte 0 selects the partition, so the hash uses bytes 4 to 7. */
	memcpy(&value, (const uint8_t *)key + 4, sizeof(value));
	return value;
}

static gboolean equal_digest_(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, MMX_CLAIM_DIGEST_BYTES) == 0;
}

/* True if a claim at a later offset replaces the holder of its key. */
static bool may_replace_(const mmx_claim_t *claim,
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

	if (holder && !may_replace_(claim, holder))
		return;
	/*
	 * A takeover is valid only if it names a claim at an earlier offset.
	 * That claim may have expired here; then the key is free.
	 */
	if (!holder && claim->supersedes != 0 &&
	    claim->supersedes >= partition->read_offset)
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
		mmx_counter_add(partition->owner->invalid_records, 1);
	for (i = 0; i < count; i++)
		if (mmx_claim_partition(&claims[i].digest) == partition->number)
			apply_claim_(partition, record->offset, &claims[i]);
}

static void complete_(partition_t *partition, pending_claim_t *pending,
		      mmx_claim_result_t result,
		      const mmx_claim_holder_t *holder)
{
	TAILQ_REMOVE(&partition->pending, pending, entry);
	mmx_counter_add(partition->owner->results[result], 1);
	pending->fn(pending->arg, result, holder);
	g_free(pending);
}

static void complete_decided_(partition_t *partition)
{
	const mmx_claim_holder_t *holder;
	pending_claim_t *pending;
	pending_claim_t *next;

	for (pending = TAILQ_FIRST(&partition->pending); pending;
	     pending = next) {
		next = TAILQ_NEXT(pending, entry);
		holder = g_hash_table_lookup(partition->holders,
					     &pending->claim.digest);
		if (!holder)
			continue;
		if (mmx_attempt_id_is_equal(&holder->claim.attempt,
					    &pending->claim.attempt))
			complete_(partition, pending, MMX_CLAIM_WON, holder);
		else if (!may_replace_(&pending->claim, holder))
			complete_(partition, pending, MMX_CLAIM_LOST, holder);
	}
}

static void expire_pending_(partition_t *partition)
{
	mmx_time_t now = mmx_clock_now(partition->owner->clock);
	pending_claim_t *pending;
	pending_claim_t *next;

	for (pending = TAILQ_FIRST(&partition->pending); pending;
	     pending = next) {
		next = TAILQ_NEXT(pending, entry);
		if (pending->expires_at <= now)
			complete_(partition, pending, MMX_CLAIM_UNAVAILABLE,
				  NULL);
	}
}

static size_t collect_batch_(partition_t *partition, mmx_claim_t *claims)
{
	pending_claim_t *pending;
	size_t count = 0;

	TAILQ_FOREACH (pending, &partition->pending, entry) {
		if (pending->sent || count == MMX_CLAIM_BATCH_MAX)
			continue;
		pending->sent = true;
		claims[count++] = pending->claim;
	}
	return count;
}

static bool has_unsent_(const partition_t *partition)
{
	const pending_claim_t *pending;

	TAILQ_FOREACH (pending, &partition->pending, entry)
		if (!pending->sent)
			return true;
	return false;
}

static void append_(partition_t *partition)
{
	mmx_claims_t *owner = partition->owner;
	mmx_claim_t claims[MMX_CLAIM_BATCH_MAX];
	size_t count = collect_batch_(partition, claims);
	size_t length;
	char *data = mmx_claims_encode(claims, count, &length);

	partition->appending = true;
	partition->next_append_at =
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
			 partition->read_offset ? partition->read_offset : 1);
}

static void set_timer_(partition_t *partition)
{
	mmx_time_t now = mmx_clock_now(partition->owner->clock);
	const pending_claim_t *first = TAILQ_FIRST(&partition->pending);
	mmx_time_t due;

	if (!first) {
		mmx_timer_cancel(&partition->timer);
		return;
	}
	due = first->expires_at;
	if (partition->next_append_at > now && partition->next_append_at < due)
		due = partition->next_append_at;
	mmx_timer_set(&partition->timer, due - now);
}

static void start_io_(partition_t *partition)
{
	mmx_time_t now = mmx_clock_now(partition->owner->clock);

	if (!partition->appending && partition->next_append_at <= now &&
	    has_unsent_(partition))
		append_(partition);
	if (!partition->reading && partition->read_pending &&
	    partition->next_append_at - MMX_CLAIM_APPEND_INTERVAL_US <= now)
		read_(partition);
	set_timer_(partition);
}

static void on_timer_(void *arg)
{
	partition_t *partition = arg;

	expire_pending_(partition);
	start_io_(partition);
}

/* An append that failed may still have taken effect, which is not known here, so
 * its claims are appended again with the next record. */
static void requeue_pending_(partition_t *partition)
{
	pending_claim_t *pending;

	TAILQ_FOREACH (pending, &partition->pending, entry)
		pending->sent = false;
	partition->next_append_at =
		mmx_clock_now(partition->owner->clock) + RETRY_INTERVAL_US;
}

void mmx_claims_on_appended(mmx_claims_t *claims, unsigned int partition_number,
			    mmx_log_result_t result, uint64_t offset)
{
	partition_t *partition;

	assert(partition_number < MMX_CLAIM_PARTITIONS);
	partition = &claims->partitions[partition_number];
	partition->appending = false;
	partition->read_pending = true;
	if (result == MMX_LOG_OK)
		partition->awaited_offset = offset;
	else
		requeue_pending_(partition);
	start_io_(partition);
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
		partition->next_append_at =
			mmx_clock_now(claims->clock) + RETRY_INTERVAL_US;
		set_timer_(partition);
		return;
	}
	/* The log's retention exceeds the lifetime of a claim, so that records
	 * it has removed hold expired claims only. */
	if (partition->read_offset < records->first)
		partition->read_offset = records->first;
	for (i = 0; i < records->count; i++) {
		if (records->records[i].offset < partition->read_offset)
			continue;
		apply_record_(partition, &records->records[i]);
		partition->read_offset = records->records[i].offset + 1;
	}
	partition->read_pending =
		partition->read_offset < records->next ||
		partition->read_offset <= partition->awaited_offset;
	if (!partition->read_pending)
		complete_decided_(partition);
	start_io_(partition);
}

static gboolean is_expired_(gpointer key, gpointer value, gpointer arg)
{
	const mmx_claim_holder_t *holder = value;
	const uint64_t *now = arg;

	/* Keeps twice the lifetime, as the clocks of entries may differ. */
	return holder->claim.deadline + 2 * MMX_CLAIM_LIFETIME_US < *now;
}

static void on_expiry_(void *arg)
{
	mmx_claims_t *claims = arg;
	uint64_t now = mmx_clock_wall(claims->clock);
	unsigned int i;

	for (i = 0; i < MMX_CLAIM_PARTITIONS; i++)
		g_hash_table_foreach_remove(claims->partitions[i].holders,
					    is_expired_, &now);
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
		TAILQ_INIT(&partition->pending);
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
	pending_claim_t *pending;
	unsigned int i;

	if (!claims)
		return;
	mmx_timer_cancel(&claims->expiry);
	for (i = 0; i < MMX_CLAIM_PARTITIONS; i++) {
		partition = &claims->partitions[i];
		mmx_timer_cancel(&partition->timer);
		while ((pending = TAILQ_FIRST(&partition->pending))) {
			TAILQ_REMOVE(&partition->pending, pending, entry);
			g_free(pending);
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
	claims->invalid_records = mmx_counters_get(
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
		       mmx_claim_fn_t fn, void *arg)
{
	partition_t *partition =
		&claims->partitions[mmx_claim_partition(&claim->digest)];
	pending_claim_t *pending = g_new0(pending_claim_t, 1);

	pending->claim = *claim;
	pending->expires_at =
		mmx_clock_now(claims->clock) + MMX_CLAIM_TIMEOUT_US;
	pending->fn = fn;
	pending->arg = arg;
	TAILQ_INSERT_TAIL(&partition->pending, pending, entry);
	start_io_(partition);
}

size_t mmx_claims_key_count(const mmx_claims_t *claims)
{
	size_t count = 0;
	unsigned int i;

	for (i = 0; i < MMX_CLAIM_PARTITIONS; i++)
		count += g_hash_table_size(claims->partitions[i].holders);
	return count;
}
