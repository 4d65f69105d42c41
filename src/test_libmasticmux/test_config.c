#include "suites.h"

#include <glib.h>
#include <string.h>

#include "config_support.h"
#include "private/config_internal.h"
#include "share/fake_fleet.h"

#define SECOND MMX_US_PER_S
/* Guarantee P7: maximum time until a change is in force on all nodes, counted
 * from the end of a fault. */
#define IN_FORCE_MAX_US (15 * SECOND)
#define START_MAX_US (20 * SECOND)

/* Creates a fleet and waits until a first template is in force on all nodes. */
static fake_fleet_t *start_fleet_(const fake_fleet_options_t *options)
{
	fake_fleet_t *fleet = fake_fleet_create(options);

	fake_fleet_append(fleet, test_template_record("t", "web", 0));
	CU_ASSERT_TRUE(fake_fleet_settle(fleet, 1, START_MAX_US) <=
		       START_MAX_US);
	return fleet;
}

static uint64_t add_account_(fake_fleet_t *fleet, const char *name)
{
	return fake_fleet_append(fleet, test_account_record(name, name, 0, 0));
}

/* Final check of each scenario: all nodes reach the same state within
 * IN_FORCE_MAX_US, and none of them ever reverted to an older one. */
static void check_converged_(fake_fleet_t *fleet, uint64_t offset)
{
	CU_ASSERT_TRUE(fake_fleet_settle(fleet, offset, IN_FORCE_MAX_US) <=
		       IN_FORCE_MAX_US);
	CU_ASSERT_EQUAL(fake_fleet_reverts(fleet), 0);
	CU_ASSERT_TRUE(fake_fleet_agrees(fleet));
	fake_fleet_destroy(fleet);
}

static const fake_fleet_options_t default_options_ = {
	.regions = 3,
	.nodes_per_region = 8,
	.seed = 1,
};

/* Guards against nodes that resolve a conflict differently: of two changes with
 * the same base, the one with the lower offset has to be accepted. */
static void test_conflict_(void)
{
	fake_fleet_t *fleet = start_fleet_(&default_options_);
	uint64_t offset = fake_fleet_append(
		fleet, test_account_record("north", "rider", 0, 10));
	mmx_config_state_result_t result;
	mmx_account_t account;
	size_t i;

	fake_fleet_append(fleet, test_account_record("south", "rider", 0, 20));
	CU_ASSERT_TRUE(fake_fleet_settle(fleet, offset + 1, IN_FORCE_MAX_US) <=
		       IN_FORCE_MAX_US);
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
	check_converged_(fleet, offset + 1);
}

typedef struct network_case_t {
	const char *name;
	unsigned int loss;
	unsigned int duplicate;
	unsigned int reorder;
} network_case_t;

/* Guards against states that depend on the loss, duplication or order of
 * messages. */
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
		fake_fleet_options_t options = default_options_;
		fake_fleet_t *fleet;
		char name[32];

		options.loss_percent = cases[i].loss;
		options.duplicate_percent = cases[i].duplicate;
		options.reorder_percent = cases[i].reorder;
		options.seed = i + 1;
		fleet = start_fleet_(&options);
		for (n = 0; n < 20; n++) {
			g_snprintf(name, sizeof(name), "account-%d", n);
			add_account_(fleet, name);
			fake_fleet_run(fleet, 100 * MMX_US_PER_MS);
		}
		check_converged_(fleet, 21);
	}
}

/* Guards against an invalid record that blocks a node, or that some nodes take
 * as valid. */
static void test_invalid_(void)
{
	static const char *const records[] = {"", "{", "null", "{\"change\":1}",
					      "\xff\xfe"};
	fake_fleet_t *fleet = start_fleet_(&default_options_);
	const mmx_config_state_counts_t *counts;
	uint64_t offset = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(records); i++)
		fake_fleet_append(fleet, g_strdup(records[i]));
	offset = add_account_(fleet, "after");
	CU_ASSERT_TRUE(fake_fleet_settle(fleet, offset, IN_FORCE_MAX_US) <=
		       IN_FORCE_MAX_US);
	for (i = 0; i < fake_fleet_count(fleet); i++) {
		counts = mmx_config_state_counts(
			mmx_config_get_state(fake_fleet_config(fleet, i)));
		CU_ASSERT_EQUAL(counts->records[MMX_VERDICT_INVALID],
				G_N_ELEMENTS(records));
	}
	check_converged_(fleet, offset);
}

/* Guards against a response from an older peer, or a late one, that reverts the
 * node to an older state or makes it skip records. */
static void test_older_peer_(void)
{
	fake_fleet_t *fleet = start_fleet_(&default_options_);
	mmx_config_t *config = fake_fleet_config(fleet, 0);
	char *record = test_account_record("x", "x", 0, 0);
	mmx_log_record_t records[] = {{1, record, strlen(record)},
				      {9, record, strlen(record)}};
	mmx_config_records_t response = {
		.progress = {1, MMX_TIME_NEVER, MMX_TIME_NEVER},
		.first = 1,
		.records = records,
		.count = G_N_ELEMENTS(records),
	};
	mmx_config_progress_t progress = {0, 0, 0};
	uint64_t offset = add_account_(fleet, "a");

	CU_ASSERT_TRUE(fake_fleet_settle(fleet, offset, IN_FORCE_MAX_US) <=
		       IN_FORCE_MAX_US);
	mmx_config_on_peer_progress(config, 12345, &progress);
	mmx_config_on_pull_response(config, 12345, &response);
	mmx_config_on_pull_response(config, 12345, NULL);
	mmx_config_on_load_response(config, 12345, NULL, 0);
	CU_ASSERT_EQUAL(
		mmx_config_state_applied_offset(mmx_config_get_state(config)),
		offset);
	g_free(record);
	check_converged_(fleet, offset);
}

static size_t find_reader_(const fake_fleet_t *fleet, size_t region, int rank)
{
	size_t i;

	for (i = region; i < fake_fleet_count(fleet); i += 3)
		if (mmx_config_reader_rank(fake_fleet_config(fleet, i)) == rank)
			break;
	return i;
}

/* Guards against a fleet that depends on a single reader, and against a reader
 * that does not catch up: one is isolated while its peers still count it as
 * alive. */
static void test_lagging_reader_(void)
{
	fake_fleet_t *fleet = start_fleet_(&default_options_);
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
	check_converged_(fleet, offset);
}

/* Guards against a region without updates: all of its readers are isolated, and
 * its membership has not detected it. */
static void test_no_reader_(void)
{
	fake_fleet_t *fleet = start_fleet_(&default_options_);
	size_t readers[MMX_CONFIG_READERS_PER_REGION];
	uint64_t offset;
	int rank;

	for (rank = 0; rank < MMX_CONFIG_READERS_PER_REGION; rank++) {
		readers[rank] = find_reader_(fleet, 2, rank);
		fake_fleet_isolate(fleet, readers[rank], true);
	}
	offset = add_account_(fleet, "a");
	fake_fleet_run(fleet, IN_FORCE_MAX_US);
	CU_ASSERT_EQUAL(fake_fleet_in_force(fleet, offset),
			fake_fleet_count(fleet) -
				MMX_CONFIG_READERS_PER_REGION);
	for (rank = 0; rank < MMX_CONFIG_READERS_PER_REGION; rank++)
		fake_fleet_isolate(fleet, readers[rank], false);
	check_converged_(fleet, offset);
}

static void set_log_reachable_(fake_fleet_t *fleet, bool reachable)
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

/* Guards against nodes that are not current although the log is reachable and
 * merely has no new records. */
static void test_idle_(void)
{
	fake_fleet_t *fleet = start_fleet_(&default_options_);
	uint64_t reads;
	int second;

	fake_fleet_run(fleet, 20 * SECOND);
	reads = fake_fleet_reads(fleet);
	for (second = 0; second < 60; second++) {
		fake_fleet_run(fleet, SECOND);
		CU_ASSERT_EQUAL(count_current_(fleet), fake_fleet_count(fleet));
	}
	/* Nine readers with a long poll of 3 s; other nodes must not read. */
	CU_ASSERT_TRUE(fake_fleet_reads(fleet) - reads <= 60 * 9 / 3 + 9);
	check_converged_(fleet, 1);
}

/* Guards against nodes that lose their configuration or still report it as
 * current during a log outage, and against a node that cannot start then. */
static void test_log_outage_(void)
{
	fake_fleet_t *fleet = start_fleet_(&default_options_);
	uint64_t offset = add_account_(fleet, "before");
	uint64_t reads;

	CU_ASSERT_TRUE(fake_fleet_settle(fleet, offset, IN_FORCE_MAX_US) <=
		       IN_FORCE_MAX_US);
	set_log_reachable_(fleet, false);
	fake_fleet_run(fleet, 60 * SECOND);
	CU_ASSERT_EQUAL(count_current_(fleet), 0);
	fake_fleet_restart(fleet, 4);
	CU_ASSERT_FALSE(mmx_config_is_loaded(fake_fleet_config(fleet, 4)));
	CU_ASSERT_TRUE(fake_fleet_settle(fleet, offset, IN_FORCE_MAX_US) <=
		       IN_FORCE_MAX_US);
	CU_ASSERT_TRUE(fake_fleet_agrees(fleet));
	reads = fake_fleet_reads(fleet);
	fake_fleet_run(fleet, 3600 * SECOND);
	/* Nine readers, each at most once every 2 s to 4 s; other nodes must
	 * not read. */
	CU_ASSERT_TRUE(fake_fleet_reads(fleet) - reads <= 3600 * 9 / 2);
	CU_ASSERT_EQUAL(fake_fleet_in_force(fleet, offset),
			fake_fleet_count(fleet));
	set_log_reachable_(fleet, true);
	offset = add_account_(fleet, "after");
	check_converged_(fleet, offset);
}

typedef struct partition_case_t {
	const char *name;
	bool to;	   /* messages to region 2 are blocked */
	bool from;	   /* and from it */
	bool log;	   /* region 2 cannot reach the log */
	bool members_know; /* membership has detected it */
	bool is_behind;	   /* region 2 cannot get the changes */
} partition_case_t;

static void set_partition_(fake_fleet_t *fleet, const partition_case_t *cut,
			   bool on)
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

/* Guards against a region that reverts to an older state, stays behind after a
 * partition of minutes, or misses changes that another path could deliver. */
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
		fake_fleet_t *fleet = start_fleet_(&default_options_);
		uint64_t offset = 0;
		char name[32];

		set_partition_(fleet, &cases[i], true);
		for (n = 0; n < 5; n++) {
			g_snprintf(name, sizeof(name), "account-%d", n);
			offset = add_account_(fleet, name);
			fake_fleet_run(fleet, 60 * SECOND);
			CU_ASSERT_EQUAL(fake_fleet_in_force(fleet, offset),
					cases[i].is_behind ? 16 : 24);
		}
		CU_ASSERT_EQUAL(count_current_(fleet),
				cases[i].is_behind ? 16 : 24);
		set_partition_(fleet, &cases[i], false);
		check_converged_(fleet, offset);
	}
}

/* Guards against a link between regions that carries each change once per node.
 * Region 2 cannot reach the log and gets all changes from the other regions. */
static void test_link_(void)
{
	fake_fleet_options_t options = default_options_;
	fake_fleet_t *fleet;
	uint64_t remote = 0;
	size_t i;
	char name[32];
	int n;

	options.nodes_per_region = 40;
	fleet = start_fleet_(&options);
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
	check_converged_(fleet, 21);
}

static const fake_fleet_options_t small_options_ = {
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

/* Guards against a configuration that expires with the log when nothing is
 * published, against a snapshot written by each reader, and against a fleet
 * that cannot start from the snapshot and the records after it once all
 * instances were replaced. */
static void test_restart_(void)
{
	fake_fleet_t *fleet = start_fleet_(&small_options_);
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
	check_converged_(fleet, offset);
}

/* Guards against a snapshot that is not written when
 * MMX_CONFIG_RECORDS_PER_SNAPSHOT records follow the last one, and against a
 * node that never recovers once the records it needs have expired from the log
 * and from the caches of its peers. */
static void test_many_records_(void)
{
	fake_fleet_t *fleet = start_fleet_(&small_options_);
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
	check_converged_(fleet, offset);
}

typedef struct writers_case_t {
	const char *name;
	const char
		*order; /* writer A or B with part number; x: foreign record */
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

/* Guards against concurrent writers, incomplete snapshots or foreign records
 * that prevent a fleet from starting or mix two states. Snapshot A is at offset
 * 3, B at offset 4; the records up to offset 3 have expired. */
static void test_writers_(void)
{
	static const writers_case_t cases[] = {
		{"one after the other", "A0 A1 B0 B1"},
		{"interleaved", "A0 B0 A1 B1"},
		{"each part twice", "A0 A0 A1 A1"},
		{"response of the first part lost", "A0 A0 A1"},
		{"two writers of the same", "A0 A1 A0 A1"},
		{"newest unfinished", "A0 A1 B0"},
		{"older one last", "B0 B1 A0 A1"},
		{"reversed parts", "A1 A0"},
		{"foreign records", "x A0 x A1 x"},
		{"unfinished ones around", "B0 A0 A1 B0"},
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		fake_fleet_t *fleet = start_fleet_(&small_options_);
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
		check_converged_(fleet, offset);
		mmx_snapshot_destroy(writers[0]);
		mmx_snapshot_destroy(writers[1]);
	}
}

/* Guards against a writer that aborts a snapshot or writes a second one when
 * responses to its appends are lost. */
static void test_lost_responses_(void)
{
	fake_fleet_t *fleet = start_fleet_(&small_options_);
	uint64_t offset;

	fake_fleet_append(fleet, test_accounts_record("a", "a", 2100));
	offset = fake_fleet_append(fleet, test_accounts_record("b", "b", 2100));
	fake_fleet_lose_answers(fleet, 3);
	fake_fleet_run(fleet, 60 * SECOND);
	CU_ASSERT_EQUAL(count_snapshots_(fleet), 1);
	fake_fleet_expire(fleet, MMX_CONFIG_RECORDS, offset + 1);
	restart_all_(fleet);
	check_converged_(fleet, offset);
}

/* Guards against a new node that repeats the same read of the records after the
 * snapshot although their total exceeds MMX_LOG_RESPONSE_MAX. */
static void test_large_tail_(void)
{
	fake_fleet_t *fleet = fake_fleet_create(&small_options_);
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
	CU_ASSERT_TRUE(fake_fleet_settle(fleet, offset, START_MAX_US) <=
		       START_MAX_US);
	check_converged_(fleet, offset);
}

CU_TestInfo mmx_tests_config[] = {
	{"conflict", test_conflict_},
	{"network faults", test_network_},
	{"invalid records", test_invalid_},
	{"older peer", test_older_peer_},
	{"lagging reader", test_lagging_reader_},
	{"no reader", test_no_reader_},
	{"idle fleet", test_idle_},
	{"log outage", test_log_outage_},
	{"partition of regions", test_partition_},
	{"link between regions", test_link_},
	{"restart of all nodes", test_restart_},
	{"many records", test_many_records_},
	{"writers of snapshots", test_writers_},
	{"lost responses", test_lost_responses_},
	{"large tail", test_large_tail_},
	CU_TEST_INFO_NULL,
};
