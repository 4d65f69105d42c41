/*
 * Tests claims with a fake log of one stream, several claiming nodes and
 * injected faults. Time passes only by mmx_clock_advance().
 */
#include "suites.h"

#include <glib.h>
#include <string.h>

#include "private/claims.h"

#define NODES_MAX 3
#define FAKE_RECORDS 64
#define FAKE_LATENCY_US (20 * MMX_US_PER_MS)

typedef enum fault_t {
	FAULT_NONE,
	FAULT_LOST_REPLY, /* the append takes effect, its reply is lost */
	FAULT_OUTAGE,
} fault_t;

typedef struct fake_log_t {
	char *records[FAKE_RECORDS];
	size_t count;
	unsigned int appends;
	fault_t fault;
} fake_log_t;

typedef struct claim_node_t {
	fake_log_t *log;
	mmx_claims_t *claims;
	mmx_timer_t append_timer;
	mmx_timer_t read_timer;
	unsigned int partition;
	char *data;
	uint64_t from;
} claim_node_t;

typedef struct callback_result_t {
	int callbacks;
	mmx_claim_result_t result;
	mmx_claim_holder_t holder;
} callback_result_t;

static void complete_append_(void *arg)
{
	claim_node_t *node = arg;
	fake_log_t *log = node->log;
	mmx_log_result_t result = MMX_LOG_OK;

	if (log->fault == FAULT_OUTAGE) {
		g_free(node->data);
		result = MMX_LOG_UNKNOWN;
	} else {
		log->records[log->count++] = node->data;
		if (log->fault == FAULT_LOST_REPLY)
			result = MMX_LOG_UNKNOWN;
	}
	node->data = NULL;
	mmx_claims_on_appended(node->claims, node->partition, result,
			       log->count);
}

static void complete_read_(void *arg)
{
	claim_node_t *node = arg;
	fake_log_t *log = node->log;
	mmx_log_record_t records[FAKE_RECORDS];
	mmx_log_records_t answer = {
		.first = 1, .next = log->count + 1, .records = records};
	uint64_t offset;

	if (log->fault == FAULT_OUTAGE) {
		mmx_claims_on_read(node->claims, node->partition,
				   MMX_LOG_UNKNOWN, NULL);
		return;
	}
	for (offset = node->from; offset <= log->count; offset++)
		records[answer.count++] =
			(mmx_log_record_t){offset, log->records[offset - 1],
					   strlen(log->records[offset - 1])};
	mmx_claims_on_read(node->claims, node->partition, MMX_LOG_OK, &answer);
}

static void start_append_(void *context, unsigned int partition,
			  const char *data, size_t length)
{
	claim_node_t *node = context;

	node->partition = partition;
	node->data = g_strndup(data, length);
	node->log->appends++;
	mmx_timer_set(&node->append_timer, FAKE_LATENCY_US);
}

static void start_read_(void *context, unsigned int partition, uint64_t from)
{
	claim_node_t *node = context;

	node->partition = partition;
	node->from = from;
	mmx_timer_set(&node->read_timer, FAKE_LATENCY_US);
}

static const mmx_claims_ops_t ops_ = {start_append_, start_read_};

static void init_node_(claim_node_t *node, fake_log_t *log, mmx_clock_t *clock)
{
	memset(node, 0, sizeof(*node));
	node->log = log;
	node->claims = mmx_claims_create(clock, &ops_, node);
	mmx_timer_init(&node->append_timer, clock, complete_append_, node);
	mmx_timer_init(&node->read_timer, clock, complete_read_, node);
}

static void destroy_node_(claim_node_t *node)
{
	mmx_timer_cancel(&node->append_timer);
	mmx_timer_cancel(&node->read_timer);
	g_free(node->data);
	mmx_claims_destroy(node->claims);
}

static void on_result_(void *arg, mmx_claim_result_t result,
		       const mmx_claim_holder_t *holder)
{
	callback_result_t *results = arg;

	results->callbacks++;
	results->result = result;
	if (holder)
		results->holder = *holder;
}

static mmx_claim_t make_claim_(uint64_t entry, uint64_t supersedes,
			       uint64_t claimed_at)
{
	return (mmx_claim_t){
		.digest = mmx_claim_digest("workshop", "payments", "key-1"),
		.attempt = {entry, 1, 1},
		.exit = 7,
		.claimed_at = claimed_at,
		.deadline = claimed_at + 2 * MMX_US_PER_S,
		.supersedes = supersedes,
	};
}

typedef struct claim_case_t {
	const char *name;
	fault_t fault;
	mmx_time_t fault_until;
	size_t claimants; /* each at its own node, all at the same time */
	int won;
	int lost;
	int unavailable;
} claim_case_t;

/* Guards against two attempts that both win a key, and against a result that
 * was not read from the log. Several nodes claim the key at the same time while
 * the log loses replies or is down. */
static void test_concurrent_(void)
{
	static const claim_case_t cases[] = {
		{"one claimant", FAULT_NONE, 0, 1, 1, 0, 0},
		{"three owners at once", FAULT_NONE, 0, 3, 1, 2, 0},
		{"lost replies", FAULT_LOST_REPLY, 500 * MMX_US_PER_MS, 3, 1, 2,
		 0},
		{"short outage", FAULT_OUTAGE, MMX_US_PER_S, 3, 1, 2, 0},
		{"long outage", FAULT_OUTAGE, 10 * MMX_US_PER_S, 3, 0, 0, 3},
	};
	size_t i;
	size_t n;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_clock_t *clock = mmx_clock_create_paused();
		fake_log_t log = {.fault = cases[i].fault};
		int count[MMX_CLAIM_RESULT_COUNT] = {0};
		callback_result_t results[NODES_MAX] = {0};
		claim_node_t node[NODES_MAX];

		for (n = 0; n < cases[i].claimants; n++) {
			mmx_claim_t claim = make_claim_(n + 1, 0, 1000);

			init_node_(&node[n], &log, clock);
			mmx_claims_submit(node[n].claims, &claim, on_result_,
					  &results[n]);
		}
		mmx_clock_advance(clock, cases[i].fault_until);
		log.fault = FAULT_NONE;
		mmx_clock_advance(clock, 5 * MMX_US_PER_S);
		for (n = 0; n < cases[i].claimants; n++) {
			CU_ASSERT_EQUAL(results[n].callbacks, 1);
			count[results[n].result]++;
			destroy_node_(&node[n]);
		}
		CU_ASSERT_EQUAL(count[MMX_CLAIM_WON], cases[i].won);
		CU_ASSERT_EQUAL(count[MMX_CLAIM_LOST], cases[i].lost);
		CU_ASSERT_EQUAL(count[MMX_CLAIM_UNAVAILABLE],
				cases[i].unavailable);
		while (log.count > 0)
			g_free(log.records[--log.count]);
		mmx_clock_destroy(clock);
	}
}

typedef struct later_claim_case_t {
	const char *name;
	uint64_t first_at;
	uint64_t supersedes;
	uint64_t second_at;
	mmx_claim_result_t second;
} later_claim_case_t;

/* Guards against a key that a second attempt wins while the first one holds it,
 * and against one that stays held after a takeover or its lifetime. */
static void test_later_claim_(void)
{
	const uint64_t lifetime = MMX_CLAIM_LIFETIME_US;
	const later_claim_case_t cases[] = {
		{"repeat by the caller", 1000, 0, 2000, MMX_CLAIM_LOST},
		{"takeover", 1000, 1, 2000, MMX_CLAIM_WON},
		{"takeover of another claim", 1000, 9, 2000, MMX_CLAIM_LOST},
		{"within the lifetime", 1000, 0, lifetime, MMX_CLAIM_LOST},
		{"after the lifetime", 1000, 0, 2 * lifetime, MMX_CLAIM_WON},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_clock_t *clock = mmx_clock_create_paused();
		fake_log_t log = {.count = 0};
		mmx_claim_t first = make_claim_(1, 0, cases[i].first_at);
		mmx_claim_t second =
			make_claim_(2, cases[i].supersedes, cases[i].second_at);
		callback_result_t results[2] = {0};
		claim_node_t node[2];

		init_node_(&node[0], &log, clock);
		init_node_(&node[1], &log, clock);
		mmx_claims_submit(node[0].claims, &first, on_result_,
				  &results[0]);
		mmx_clock_advance(clock, MMX_US_PER_S);
		mmx_claims_submit(node[1].claims, &second, on_result_,
				  &results[1]);
		mmx_clock_advance(clock, MMX_US_PER_S);
		CU_ASSERT_EQUAL(results[0].result, MMX_CLAIM_WON);
		CU_ASSERT_EQUAL(results[1].callbacks, 1);
		CU_ASSERT_EQUAL(results[1].result, cases[i].second);
		CU_ASSERT_EQUAL(results[1].holder.claim.attempt.entry,
				cases[i].second == MMX_CLAIM_WON ? 2 : 1);
		destroy_node_(&node[0]);
		destroy_node_(&node[1]);
		while (log.count > 0)
			g_free(log.records[--log.count]);
		mmx_clock_destroy(clock);
	}
}

/* Guards against one append per claim, which would exceed the append rate of
 * the log. */
static void test_batches_(void)
{
	mmx_clock_t *clock = mmx_clock_create_paused();
	fake_log_t log = {.count = 0};
	callback_result_t results[200] = {0};
	claim_node_t node;
	int i;

	init_node_(&node, &log, clock);
	for (i = 0; i < 200; i++) {
		mmx_claim_t claim = make_claim_((uint64_t)i + 1, 0, 1000);

		/* The digests differ, but belong to one partition. */
		claim.digest.bytes[8] = (uint8_t)i;
		mmx_claims_submit(node.claims, &claim, on_result_, &results[i]);
		mmx_clock_advance(clock, 5 * MMX_US_PER_MS);
	}
	mmx_clock_advance(clock, MMX_US_PER_S);
	for (i = 0; i < 200; i++) {
		CU_ASSERT_EQUAL(results[i].callbacks, 1);
		CU_ASSERT_EQUAL(results[i].result, MMX_CLAIM_WON);
	}
	/* Claims of one second, with an append every 200 ms at most. */
	CU_ASSERT_TRUE(log.appends <= 6);
	CU_ASSERT_EQUAL(mmx_claims_key_count(node.claims), 200);
	destroy_node_(&node);
	while (log.count > 0)
		g_free(log.records[--log.count]);
	mmx_clock_destroy(clock);
}

/* Guards against truncated or malformed records that are decoded in part or
 * read beyond their end. */
static void test_decode_(void)
{
	mmx_claim_t decoded[MMX_CLAIM_BATCH_MAX];
	mmx_claim_t claims[2] = {make_claim_(1, 0, 5), make_claim_(2, 3, 6)};
	size_t length;
	size_t truncated;
	char *data = mmx_claims_encode(claims, 2, &length);

	CU_ASSERT_EQUAL(mmx_claims_decode(data, length, decoded), 2);
	CU_ASSERT_EQUAL(memcmp(decoded, claims, sizeof(claims)), 0);
	for (truncated = 0; truncated < length; truncated++)
		CU_ASSERT_EQUAL(mmx_claims_decode(data, truncated, decoded), 0);
	data[0] = '\n';
	CU_ASSERT_EQUAL(mmx_claims_decode(data, length, decoded), 0);
	g_free(data);
}

CU_TestInfo mmx_tests_claims[] = {
	{"one holder among concurrent claims", test_concurrent_},
	{"later claims on a held key", test_later_claim_},
	{"appends are batched", test_batches_},
	{"truncated records are rejected", test_decode_},
	CU_TEST_INFO_NULL,
};
