/*
 * Claims against a fake log: one stream, several claiming nodes, faults on
 * command. Time stands still but for mmx_clock_advance().
 */
#include "suites.h"

#include <glib.h>
#include <string.h>

#include "private/claims.h"

#define NODES_MAX 3
#define FAKE_RECORDS 64
#define FAKE_DELAY_US (20 * MMX_US_PER_MS)

typedef enum fault_t {
	FAULT_NONE,
	FAULT_LOST_ANSWER, /* the append takes effect, the answer is lost */
	FAULT_OUTAGE,
} fault_t;

typedef struct fake_log_t {
	char *records[FAKE_RECORDS];
	size_t count;
	unsigned int appends;
	fault_t fault;
} fake_log_t;

typedef struct node_t {
	fake_log_t *log;
	mmx_claims_t *claims;
	mmx_timer_t append_timer;
	mmx_timer_t read_timer;
	unsigned int partition;
	char *data;
	uint64_t from;
} node_t;

typedef struct outcome_t {
	int calls;
	mmx_claim_result_t result;
	mmx_claim_holder_t holder;
} outcome_t;

static void on_append_(void *arg)
{
	node_t *node = arg;
	fake_log_t *log = node->log;
	mmx_log_result_t result = MMX_LOG_OK;

	if (log->fault == FAULT_OUTAGE) {
		g_free(node->data);
		result = MMX_LOG_UNKNOWN;
	} else {
		log->records[log->count++] = node->data;
		if (log->fault == FAULT_LOST_ANSWER)
			result = MMX_LOG_UNKNOWN;
	}
	node->data = NULL;
	mmx_claims_on_appended(node->claims, node->partition, result,
			       log->count);
}

static void on_read_(void *arg)
{
	node_t *node = arg;
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

static void append_(void *context, unsigned int partition, const char *data,
		    size_t length)
{
	node_t *node = context;

	node->partition = partition;
	node->data = g_strndup(data, length);
	node->log->appends++;
	mmx_timer_set(&node->append_timer, FAKE_DELAY_US);
}

static void read_(void *context, unsigned int partition, uint64_t from)
{
	node_t *node = context;

	node->partition = partition;
	node->from = from;
	mmx_timer_set(&node->read_timer, FAKE_DELAY_US);
}

static const mmx_claims_ops_t ops_ = {append_, read_};

static void node_init_(node_t *node, fake_log_t *log, mmx_clock_t *clock)
{
	memset(node, 0, sizeof(*node));
	node->log = log;
	node->claims = mmx_claims_create(clock, &ops_, node);
	mmx_timer_init(&node->append_timer, clock, on_append_, node);
	mmx_timer_init(&node->read_timer, clock, on_read_, node);
}

static void node_finish_(node_t *node)
{
	mmx_timer_cancel(&node->append_timer);
	mmx_timer_cancel(&node->read_timer);
	g_free(node->data);
	mmx_claims_destroy(node->claims);
}

static void on_result_(void *arg, mmx_claim_result_t result,
		       const mmx_claim_holder_t *holder)
{
	outcome_t *outcome = arg;

	outcome->calls++;
	outcome->result = result;
	if (holder)
		outcome->holder = *holder;
}

static mmx_claim_t claim_(uint64_t entry, uint64_t supersedes,
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
	size_t claimants; /* each at a node of its own, at the same moment */
	int won;
	int lost;
	int unavailable;
} claim_case_t;

/* Guards against two attempts that both hold a key, and against claims that
 * are settled without the log. */
static void test_concurrent_(void)
{
	static const claim_case_t cases[] = {
		{"one claimant", FAULT_NONE, 0, 1, 1, 0, 0},
		{"three owners at once", FAULT_NONE, 0, 3, 1, 2, 0},
		{"lost answers", FAULT_LOST_ANSWER, 500 * MMX_US_PER_MS, 3, 1,
		 2, 0},
		{"short outage", FAULT_OUTAGE, MMX_US_PER_S, 3, 1, 2, 0},
		{"long outage", FAULT_OUTAGE, 10 * MMX_US_PER_S, 3, 0, 0, 3},
	};
	size_t i;
	size_t n;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		mmx_clock_t *clock = mmx_clock_create_paused();
		fake_log_t log = {.fault = cases[i].fault};
		int count[MMX_CLAIM_RESULT_COUNT] = {0};
		outcome_t outcome[NODES_MAX] = {0};
		node_t node[NODES_MAX];

		for (n = 0; n < cases[i].claimants; n++) {
			mmx_claim_t claim = claim_(n + 1, 0, 1000);

			node_init_(&node[n], &log, clock);
			mmx_claims_submit(node[n].claims, &claim, on_result_,
					  &outcome[n]);
		}
		mmx_clock_advance(clock, cases[i].fault_until);
		log.fault = FAULT_NONE;
		mmx_clock_advance(clock, 5 * MMX_US_PER_S);
		for (n = 0; n < cases[i].claimants; n++) {
			CU_ASSERT_EQUAL(outcome[n].calls, 1);
			count[outcome[n].result]++;
			node_finish_(&node[n]);
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

typedef struct order_case_t {
	const char *name;
	uint64_t first_at;
	uint64_t supersedes;
	uint64_t second_at;
	mmx_claim_result_t second;
} order_case_t;

/* Guards against a key that is given away twice, or never again. */
static void test_later_claim_(void)
{
	const uint64_t lifetime = MMX_CLAIM_LIFETIME_US;
	const order_case_t cases[] = {
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
		mmx_claim_t first = claim_(1, 0, cases[i].first_at);
		mmx_claim_t second =
			claim_(2, cases[i].supersedes, cases[i].second_at);
		outcome_t outcome[2] = {0};
		node_t node[2];

		node_init_(&node[0], &log, clock);
		node_init_(&node[1], &log, clock);
		mmx_claims_submit(node[0].claims, &first, on_result_,
				  &outcome[0]);
		mmx_clock_advance(clock, MMX_US_PER_S);
		mmx_claims_submit(node[1].claims, &second, on_result_,
				  &outcome[1]);
		mmx_clock_advance(clock, MMX_US_PER_S);
		CU_ASSERT_EQUAL(outcome[0].result, MMX_CLAIM_WON);
		CU_ASSERT_EQUAL(outcome[1].calls, 1);
		CU_ASSERT_EQUAL(outcome[1].result, cases[i].second);
		CU_ASSERT_EQUAL(outcome[1].holder.claim.attempt.entry,
				cases[i].second == MMX_CLAIM_WON ? 2 : 1);
		node_finish_(&node[0]);
		node_finish_(&node[1]);
		while (log.count > 0)
			g_free(log.records[--log.count]);
		mmx_clock_destroy(clock);
	}
}

/* Guards against more appends than the log can take. */
static void test_batches_(void)
{
	mmx_clock_t *clock = mmx_clock_create_paused();
	fake_log_t log = {.count = 0};
	outcome_t outcome[200] = {0};
	node_t node;
	int i;

	node_init_(&node, &log, clock);
	for (i = 0; i < 200; i++) {
		mmx_claim_t claim = claim_((uint64_t)i + 1, 0, 1000);

		/* Same partition, other keys. */
		claim.digest.bytes[8] = (uint8_t)i;
		mmx_claims_submit(node.claims, &claim, on_result_, &outcome[i]);
		mmx_clock_advance(clock, 5 * MMX_US_PER_MS);
	}
	mmx_clock_advance(clock, MMX_US_PER_S);
	for (i = 0; i < 200; i++) {
		CU_ASSERT_EQUAL(outcome[i].calls, 1);
		CU_ASSERT_EQUAL(outcome[i].result, MMX_CLAIM_WON);
	}
	/* One second of claims, at most an append each 200 ms. */
	CU_ASSERT_TRUE(log.appends <= 6);
	CU_ASSERT_EQUAL(mmx_claims_key_count(node.claims), 200);
	node_finish_(&node);
	while (log.count > 0)
		g_free(log.records[--log.count]);
	mmx_clock_destroy(clock);
}

/* Guards against records that are read beyond their end or half. */
static void test_decode_(void)
{
	mmx_claim_t decoded[MMX_CLAIM_BATCH_MAX];
	mmx_claim_t claims[2] = {claim_(1, 0, 5), claim_(2, 3, 6)};
	size_t length;
	size_t cut;
	char *data = mmx_claims_encode(claims, 2, &length);

	CU_ASSERT_EQUAL(mmx_claims_decode(data, length, decoded), 2);
	CU_ASSERT_EQUAL(memcmp(decoded, claims, sizeof(claims)), 0);
	for (cut = 0; cut < length; cut++)
		CU_ASSERT_EQUAL(mmx_claims_decode(data, cut, decoded), 0);
	data[0] = '\n';
	CU_ASSERT_EQUAL(mmx_claims_decode(data, length, decoded), 0);
	g_free(data);
}

CU_TestInfo mmx_tests_claims[] = {
	{"one holder among concurrent claims", test_concurrent_},
	{"later claims on a held key", test_later_claim_},
	{"appends are batched", test_batches_},
	{"records cut short are refused", test_decode_},
	CU_TEST_INFO_NULL,
};
