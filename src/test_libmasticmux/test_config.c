#include "suites.h"

#include <glib.h>
#include <string.h>

#include "config_support.h"
#include "private/config_internal.h"
#include "share/fake_fleet.h"

#define SECOND MMX_US_PER_S
/* Guarantee P7 after a fault has ended. */
#define IN_FORCE (15 * SECOND)
#define START (20 * SECOND)

/* Where a fleet of three regions is after its start, with a template. */
static fake_fleet_t *started_(const fake_fleet_options_t *options)
{
	fake_fleet_t *fleet = fake_fleet_create(options);

	fake_fleet_append(fleet, test_template_record("t", "web", 0));
	CU_ASSERT_TRUE(fake_fleet_settle(fleet, 1, START) <= START);
	return fleet;
}

static uint64_t add_account_(fake_fleet_t *fleet, const char *name)
{
	return fake_fleet_append(fleet, test_account_record(name, name, 0, 0));
}

/* Every scenario ends here: all nodes at the same state in time, and none of
 * them went back on the way. */
static void check_healed_(fake_fleet_t *fleet, uint64_t offset)
{
	CU_ASSERT_TRUE(fake_fleet_settle(fleet, offset, IN_FORCE) <= IN_FORCE);
	CU_ASSERT_EQUAL(fake_fleet_reverts(fleet), 0);
	CU_ASSERT_TRUE(fake_fleet_agrees(fleet));
	fake_fleet_destroy(fleet);
}

static const fake_fleet_options_t calm_ = {
	.regions = 3,
	.nodes_per_region = 8,
	.seed = 1,
};

/* Guards against two winners of a conflict, and against a winner that is not
 * the first offset. */
static void test_conflict_(void)
{
	fake_fleet_t *fleet = started_(&calm_);
	uint64_t offset = fake_fleet_append(
		fleet, test_account_record("north", "rider", 0, 10));
	mmx_config_state_result_t result;
	mmx_account_t account;
	size_t i;

	fake_fleet_append(fleet, test_account_record("south", "rider", 0, 20));
	CU_ASSERT_TRUE(fake_fleet_settle(fleet, offset + 1, IN_FORCE) <=
		       IN_FORCE);
	for (i = 0; i < fake_fleet_count(fleet); i++) {
		const mmx_config_state_t *config_state =
			mmx_config_get_state(fake_fleet_config(fleet, i));

		CU_ASSERT_TRUE(mmx_config_state_get_account(config_state,
							    "rider", &account));
		CU_ASSERT_EQUAL(account.floor_percent, 10);
		CU_ASSERT_TRUE(mmx_config_state_get_verdict(config_state,
							    "south", &result));
		CU_ASSERT_EQUAL(result.reject_reason, MMX_REJECT_STALE_BASE);
	}
	check_healed_(fleet, offset + 1);
}

typedef struct network_case_t {
	const char *name;
	unsigned int loss;
	unsigned int duplicate;
	unsigned int reorder;
} network_case_t;

/* Guards against messages whose loss, repetition or order matters. */
static void test_network_(void)
{
	static const network_case_t cases[] = {
		{"calm", 0, 0, 0},	  {"loss", 20, 0, 0},
		{"heavy loss", 50, 0, 0}, {"duplicates", 0, 50, 0},
		{"reordering", 0, 0, 50}, {"all", 20, 20, 30},
	};
	size_t i;
	int n;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fake_fleet_options_t options = calm_;
		fake_fleet_t *fleet;
		char name[32];

		options.loss_percent = cases[i].loss;
		options.duplicate_percent = cases[i].duplicate;
		options.reorder_percent = cases[i].reorder;
		options.seed = i + 1;
		fleet = started_(&options);
		for (n = 0; n < 20; n++) {
			g_snprintf(name, sizeof(name), "account-%d", n);
			add_account_(fleet, name);
			fake_fleet_run(fleet, 100 * MMX_US_PER_MS);
		}
		check_healed_(fleet, 21);
	}
}

/* Guards against a record that stops a node or is seen as valid by some. */
static void test_invalid_(void)
{
	static const char *const records[] = {"", "{", "null", "{\"change\":1}",
					      "\xff\xfe"};
	fake_fleet_t *fleet = started_(&calm_);
	const mmx_config_state_counts_t *counts;
	uint64_t offset = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(records); i++)
		fake_fleet_append(fleet, g_strdup(records[i]));
	offset = add_account_(fleet, "after");
	CU_ASSERT_TRUE(fake_fleet_settle(fleet, offset, IN_FORCE) <= IN_FORCE);
	for (i = 0; i < fake_fleet_count(fleet); i++) {
		counts = mmx_config_state_counts(
			mmx_config_get_state(fake_fleet_config(fleet, i)));
		CU_ASSERT_EQUAL(counts->records[MMX_VERDICT_INVALID],
				G_N_ELEMENTS(records));
	}
	check_healed_(fleet, offset);
}

/* Guards against an answer from an older peer, or one that comes late, and
 * moves the node back or over a gap. */
static void test_older_peer_(void)
{
	fake_fleet_t *fleet = started_(&calm_);
	mmx_config_t *config = fake_fleet_config(fleet, 0);
	char *record = test_account_record("x", "x", 0, 0);
	mmx_log_record_t records[] = {{1, record, strlen(record)},
				      {9, record, strlen(record)}};
	mmx_config_records_t answer = {
		.progress = {1, MMX_TIME_NEVER, MMX_TIME_NEVER},
		.first = 1,
		.records = records,
		.count = G_N_ELEMENTS(records),
	};
	mmx_config_progress_t news = {0, 0, 0};
	uint64_t offset = add_account_(fleet, "a");

	CU_ASSERT_TRUE(fake_fleet_settle(fleet, offset, IN_FORCE) <= IN_FORCE);
	mmx_config_on_peer_progress(config, 12345, &news);
	mmx_config_on_pull_response(config, 12345, &answer);
	mmx_config_on_pull_response(config, 12345, NULL);
	mmx_config_on_load_response(config, 12345, NULL, 0);
	CU_ASSERT_EQUAL(
		mmx_config_state_applied_offset(mmx_config_get_state(config)),
		offset);
	g_free(record);
	check_healed_(fleet, offset);
}

static size_t find_reader_(const fake_fleet_t *fleet, size_t region, int rank)
{
	size_t i;

	for (i = region; i < fake_fleet_count(fleet); i += 3)
		if (mmx_config_reader_rank(fake_fleet_config(fleet, i)) == rank)
			break;
	return i;
}

/* Guards against a fleet that depends on one reader, and against a reader
 * that does not catch up. Its peers still count it as alive. */
static void test_lagging_reader_(void)
{
	fake_fleet_t *fleet = started_(&calm_);
	size_t reader = find_reader_(fleet, 1, 0);
	uint64_t offset = 0;
	char name[32];
	int n;

	fake_fleet_isolate(fleet, reader, true);
	for (n = 0; n < 6; n++) {
		g_snprintf(name, sizeof(name), "account-%d", n);
		offset = add_account_(fleet, name);
		fake_fleet_run(fleet, 10 * SECOND);
		CU_ASSERT_EQUAL(fake_fleet_in_force(fleet, offset),
				fake_fleet_count(fleet) - 1);
	}
	CU_ASSERT_FALSE(
		mmx_config_is_current(fake_fleet_config(fleet, reader)));
	fake_fleet_isolate(fleet, reader, false);
	check_healed_(fleet, offset);
}

/* Guards against a region whose readers are all cut off while its membership
 * has not noticed it. */
static void test_no_reader_(void)
{
	fake_fleet_t *fleet = started_(&calm_);
	size_t readers[MMX_CONFIG_READERS_PER_REGION];
	uint64_t offset;
	int rank;

	for (rank = 0; rank < MMX_CONFIG_READERS_PER_REGION; rank++) {
		readers[rank] = find_reader_(fleet, 2, rank);
		fake_fleet_isolate(fleet, readers[rank], true);
	}
	offset = add_account_(fleet, "a");
	fake_fleet_run(fleet, IN_FORCE);
	CU_ASSERT_EQUAL(fake_fleet_in_force(fleet, offset),
			fake_fleet_count(fleet) -
				MMX_CONFIG_READERS_PER_REGION);
	for (rank = 0; rank < MMX_CONFIG_READERS_PER_REGION; rank++)
		fake_fleet_isolate(fleet, readers[rank], false);
	check_healed_(fleet, offset);
}

static void set_log_(fake_fleet_t *fleet, bool reachable)
{
	size_t region;

	for (region = 0; region < 3; region++)
		fake_fleet_set_log(fleet, region, reachable);
}

static size_t count_current_(const fake_fleet_t *fleet)
{
	size_t current = 0;
	size_t i;

	for (i = 0; i < fake_fleet_count(fleet); i++)
		current += mmx_config_is_current(fake_fleet_config(fleet, i));
	return current;
}

/* Guards against a quiet fleet that takes itself for stale. */
static void test_quiet_(void)
{
	fake_fleet_t *fleet = started_(&calm_);
	uint64_t reads;
	int second;

	fake_fleet_run(fleet, 20 * SECOND);
	reads = fake_fleet_reads(fleet);
	for (second = 0; second < 60; second++) {
		fake_fleet_run(fleet, SECOND);
		CU_ASSERT_EQUAL(count_current_(fleet), fake_fleet_count(fleet));
	}
	/* Nine readers with a poll of 3 s; the rest must not read. */
	CU_ASSERT_TRUE(fake_fleet_reads(fleet) - reads <= 60 * 9 / 3 + 9);
	check_healed_(fleet, 1);
}

/* Guards against a fleet that drops its configuration or hides that it is
 * stale while the log is out, and a new node that cannot start then. */
static void test_log_outage_(void)
{
	fake_fleet_t *fleet = started_(&calm_);
	uint64_t offset = add_account_(fleet, "before");
	uint64_t reads;

	CU_ASSERT_TRUE(fake_fleet_settle(fleet, offset, IN_FORCE) <= IN_FORCE);
	set_log_(fleet, false);
	fake_fleet_run(fleet, 60 * SECOND);
	CU_ASSERT_EQUAL(count_current_(fleet), 0);
	fake_fleet_restart(fleet, 4);
	CU_ASSERT_FALSE(mmx_config_is_loaded(fake_fleet_config(fleet, 4)));
	CU_ASSERT_TRUE(fake_fleet_settle(fleet, offset, IN_FORCE) <= IN_FORCE);
	CU_ASSERT_TRUE(fake_fleet_agrees(fleet));
	reads = fake_fleet_reads(fleet);
	fake_fleet_run(fleet, 3600 * SECOND);
	/* Nine readers every 2 s to 4 s at most; the rest must not try. */
	CU_ASSERT_TRUE(fake_fleet_reads(fleet) - reads <= 3600 * 9 / 2);
	CU_ASSERT_EQUAL(fake_fleet_in_force(fleet, offset),
			fake_fleet_count(fleet));
	set_log_(fleet, true);
	offset = add_account_(fleet, "after");
	check_healed_(fleet, offset);
}

typedef struct partition_case_t {
	const char *name;
	bool to;	   /* messages to region 2 are blocked */
	bool from;	   /* and from it */
	bool log;	   /* region 2 cannot reach the log */
	bool members_know; /* membership has noticed */
	bool is_behind;	   /* region 2 cannot learn of the change */
} partition_case_t;

static void cut_(fake_fleet_t *fleet, const partition_case_t *cut, bool on)
{
	size_t region;

	for (region = 0; region < 2; region++) {
		fake_fleet_block(fleet, region, 2, on && cut->to);
		fake_fleet_block(fleet, 2, region, on && cut->from);
	}
	fake_fleet_set_log(fleet, 2, !(on && cut->log));
	if (cut->members_know)
		fake_fleet_refresh_members(fleet);
}

/* Guards against a region that goes back, stays behind after a partition of
 * minutes, or misses changes that a way around could bring. */
static void test_partition_(void)
{
	static const partition_case_t cases[] = {
		{"whole", true, true, true, true, true},
		{"whole, not noticed", true, true, true, false, true},
		{"log only", false, false, true, false, false},
		{"regions only", true, true, false, true, false},
		{"one way, to", true, false, true, false, true},
		{"one way, from", false, true, false, false, false},
	};
	size_t i;
	int n;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fake_fleet_t *fleet = started_(&calm_);
		uint64_t offset = 0;
		char name[32];

		cut_(fleet, &cases[i], true);
		for (n = 0; n < 5; n++) {
			g_snprintf(name, sizeof(name), "account-%d", n);
			offset = add_account_(fleet, name);
			fake_fleet_run(fleet, 60 * SECOND);
			CU_ASSERT_EQUAL(fake_fleet_in_force(fleet, offset),
					cases[i].is_behind ? 16 : 24);
		}
		CU_ASSERT_EQUAL(count_current_(fleet),
				cases[i].is_behind ? 16 : 24);
		cut_(fleet, &cases[i], false);
		check_healed_(fleet, offset);
	}
}

/* Guards against a link between regions that carries a change once per node:
 * region 2 gets all changes through the other regions. */
static void test_link_(void)
{
	fake_fleet_options_t options = calm_;
	fake_fleet_t *fleet;
	uint64_t remote = 0;
	size_t i;
	char name[32];
	int n;

	options.nodes_per_region = 40;
	fleet = started_(&options);
	fake_fleet_set_log(fleet, 2, false);
	fake_fleet_run(fleet, 10 * SECOND);
	for (n = 0; n < 20; n++) {
		g_snprintf(name, sizeof(name), "account-%d", n);
		add_account_(fleet, name);
		fake_fleet_run(fleet, 5 * SECOND);
	}
	for (i = 0; i < fake_fleet_count(fleet); i++)
		remote += mmx_config_stats(fake_fleet_config(fleet, i))
				  ->pulls_remote;
	CU_ASSERT_TRUE(remote >= 20);
	CU_ASSERT_TRUE(remote <= 2 * 20);
	check_healed_(fleet, 21);
}

static const fake_fleet_options_t small_ = {
	.regions = 1,
	.nodes_per_region = 4,
	.retention = 600 * SECOND,
	.seed = 2,
};

static uint64_t count_snapshots_(const fake_fleet_t *fleet)
{
	uint64_t written = 0;
	size_t i;

	for (i = 0; i < fake_fleet_count(fleet); i++)
		written += mmx_config_stats(fake_fleet_config(fleet, i))
				   ->snapshots_written;
	return written;
}

static void restart_all_(fake_fleet_t *fleet)
{
	size_t i;

	for (i = 0; i < fake_fleet_count(fleet); i++)
		fake_fleet_restart(fleet, i);
}

/* Guards against a configuration that expires with the log when nobody
 * publishes, against a snapshot by each reader, and a fleet that does not
 * start from snapshot and tail after all instances were replaced. */
static void test_restart_(void)
{
	fake_fleet_t *fleet = started_(&small_);
	uint64_t offset;
	uint64_t written;

	fake_fleet_append(fleet, test_accounts_record("a", "a", 2100));
	fake_fleet_append(fleet, test_accounts_record("b", "b", 2100));
	fake_fleet_run(fleet, 3600 * SECOND);
	written = count_snapshots_(fleet);
	CU_ASSERT_TRUE(written >= 3600 / 600 * 3 - 1);
	CU_ASSERT_TRUE(written <= 3600 / 600 * 3 + 3);
	offset = add_account_(fleet, "tail");
	fake_fleet_run(fleet, 10 * SECOND);
	restart_all_(fleet);
	CU_ASSERT_EQUAL(fake_fleet_in_force(fleet, 0), 0);
	check_healed_(fleet, offset);
}

/* Guards against a snapshot that is not written although the log holds more
 * records than a new node should read, and against a node that fell behind
 * the records kept by peers and log and stays there. */
static void test_many_records_(void)
{
	fake_fleet_t *fleet = started_(&small_);
	uint64_t offset = 0;
	char name[32];
	int i;

	fake_fleet_run(fleet, 20 * SECOND);
	CU_ASSERT_EQUAL(count_snapshots_(fleet), 1);
	fake_fleet_isolate(fleet, 0, true);
	for (i = 0; i < MMX_CONFIG_RECORDS_PER_SNAPSHOT + 10; i++) {
		g_snprintf(name, sizeof(name), "account-%d", i);
		offset = add_account_(fleet, name);
	}
	fake_fleet_run(fleet, 30 * SECOND);
	CU_ASSERT_EQUAL(count_snapshots_(fleet), 2);
	fake_fleet_expire(fleet, MMX_CONFIG_RECORDS, offset - 5);
	fake_fleet_isolate(fleet, 0, false);
	check_healed_(fleet, offset);
}

typedef struct writers_case_t {
	const char *name;
	const char *order; /* writer A or B and its part; x: something else */
} writers_case_t;

static void append_part_(fake_fleet_t *fleet, const mmx_snapshot_t *snapshot,
			 uint32_t part)
{
	size_t length;
	size_t size;
	const uint8_t *data = mmx_snapshot_part(snapshot, part, &length);

	fake_fleet_append_to(fleet, MMX_CONFIG_SNAPSHOTS,
			     mmx_config_encode_part_(data, length, 0, &size));
}

static void append_order_(fake_fleet_t *fleet, const char *order,
			  mmx_snapshot_t *const writers[2])
{
	const char *c;

	for (c = order; *c; c++) {
		if (*c == 'x')
			fake_fleet_append_to(
				fleet, MMX_CONFIG_SNAPSHOTS,
				g_strdup("{\"snapshot\":\"eA==\"}"));
		else if (*c == 'A' || *c == 'B')
			append_part_(fleet, writers[*c - 'A'],
				     (uint32_t)(c[1] - '0'));
	}
}

/* Guards against two writers, an unfinished snapshot or foreign records that
 * keep a new fleet from starting or mix two states. Snapshot A is at offset 3,
 * B at 4; the records up to 3 have expired. */
static void test_writers_(void)
{
	static const writers_case_t cases[] = {
		{"one after the other", "A0 A1 B0 B1"},
		{"interleaved", "A0 B0 A1 B1"},
		{"each part twice", "A0 A0 A1 A1"},
		{"answer of the first part lost", "A0 A0 A1"},
		{"two writers of the same", "A0 A1 A0 A1"},
		{"newest unfinished", "A0 A1 B0"},
		{"older one last", "B0 B1 A0 A1"},
		{"reversed parts", "A1 A0"},
		{"foreign records", "x A0 x A1 x"},
		{"unfinished ones around", "B0 A0 A1 B0"},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fake_fleet_t *fleet = started_(&small_);
		mmx_snapshot_t *writers[2];
		mmx_config_t *config = fake_fleet_config(fleet, 0);
		uint64_t offset;

		fake_fleet_append(fleet, test_accounts_record("a", "a", 2100));
		fake_fleet_append(fleet, test_accounts_record("b", "b", 2100));
		fake_fleet_run(fleet, SECOND);
		writers[0] = mmx_snapshot_create(mmx_config_get_state(config));
		offset = add_account_(fleet, "tail");
		fake_fleet_run(fleet, SECOND);
		writers[1] = mmx_snapshot_create(mmx_config_get_state(config));
		CU_ASSERT_EQUAL_FATAL(mmx_snapshot_part_count(writers[0]), 2);
		fake_fleet_expire(fleet, MMX_CONFIG_SNAPSHOTS,
				  fake_fleet_next(fleet, MMX_CONFIG_SNAPSHOTS));
		append_order_(fleet, cases[i].order, writers);
		fake_fleet_expire(fleet, MMX_CONFIG_RECORDS, 4);
		restart_all_(fleet);
		check_healed_(fleet, offset);
		mmx_snapshot_destroy(writers[0]);
		mmx_snapshot_destroy(writers[1]);
	}
}

/* Guards against a writer that stops or doubles a snapshot when answers to
 * its appends are lost. */
static void test_lost_answers_(void)
{
	fake_fleet_t *fleet = started_(&small_);
	uint64_t offset;

	fake_fleet_append(fleet, test_accounts_record("a", "a", 2100));
	offset = fake_fleet_append(fleet, test_accounts_record("b", "b", 2100));
	fake_fleet_lose_answers(fleet, 3);
	fake_fleet_run(fleet, 60 * SECOND);
	CU_ASSERT_EQUAL(count_snapshots_(fleet), 1);
	fake_fleet_expire(fleet, MMX_CONFIG_RECORDS, offset + 1);
	restart_all_(fleet);
	check_healed_(fleet, offset);
}

/* Guards against a new node that asks again and again for more of the tail
 * than one response of the log may hold. */
static void test_large_tail_(void)
{
	fake_fleet_t *fleet = fake_fleet_create(&small_);
	uint64_t offset = 0;
	size_t bytes = 0;
	char id[16];
	char *record;

	while (bytes <= MMX_LOG_RESPONSE_MAX) {
		g_snprintf(id, sizeof(id), "large-%zu", bytes);
		record = test_accounts_record(id, id, 2100);
		bytes += strlen(record);
		offset = fake_fleet_append(fleet, record);
	}
	CU_ASSERT_TRUE(fake_fleet_settle(fleet, offset, START) <= START);
	check_healed_(fleet, offset);
}

CU_TestInfo mmx_tests_config[] = {
	{"conflict", test_conflict_},
	{"network faults", test_network_},
	{"invalid records", test_invalid_},
	{"older peer", test_older_peer_},
	{"lagging reader", test_lagging_reader_},
	{"no reader", test_no_reader_},
	{"quiet fleet", test_quiet_},
	{"log outage", test_log_outage_},
	{"partition of regions", test_partition_},
	{"link between regions", test_link_},
	{"restart of all nodes", test_restart_},
	{"many records", test_many_records_},
	{"writers of snapshots", test_writers_},
	{"lost answers", test_lost_answers_},
	{"large tail", test_large_tail_},
	CU_TEST_INFO_NULL,
};
