#include "suites.h"

#include <glib.h>
#include <string.h>

#include "config_support.h"
#include "masticmux/snapshot.h"

/* A part that the release before keys of accounts has written, from the records
 * of a template, a service with a route, and an account. */
static const char old_part_[] =
	"4d4d5853000000010000000000000003fd4df5a50905182995af922acdba8271"
	"7c05cc23725e57c9c090a6bcabd94bad00000000000000010000011000000000"
	"0000000377656200000000000000000100000000000f42400000002300000000"
	"00000001000000000000000a000000000098968000000001000000046a6f6273"
	"000000000000000200000003776562000000000200000009612e6578616d706c"
	"65000000000000012f0000000000000000000003000000057269646572000000"
	"0000000000000003000000030000006400000000000000000000000000000000"
	"00000004e3b98a4da31a127d4bde6e43033f66ba000000000000000100000000"
	"0000000000000004043a718774c572bd8a25adbeb1bfcd5c0000000000000002"
	"000000000000000000000004ca978112ca1bbdcafac231b39a23dc4d00000000"
	"000000030000000000000000";

/* Enough accounts for several parts. */
#define ACCOUNT_COUNT 12000

static mmx_config_state_t *filled_state_(void)
{
	static const char *const routes[] = {"b.example/", "a.example/x/y",
					     "+a.example/", NULL};
	static const char *const keys[] = {"k-1", "k-2", NULL};
	mmx_config_state_t *state = mmx_config_state_create();
	char name[32];
	int i;

	test_apply(state, test_template_record("t", "web", 0));
	test_apply(state, test_service_record("s", "jobs", 0, "web", routes));
	test_apply(state, test_account_record("stale", "x", 7, 1));
	test_apply(state, test_keys_record("k", "keyed", 0, keys));
	for (i = 0; i < ACCOUNT_COUNT; i++) {
		g_snprintf(name, sizeof(name), "account-%d", i);
		test_apply(state, test_account_record(name, name, 0, 0));
	}
	return state;
}

static void check_equal_(const mmx_snapshot_t *a, const mmx_snapshot_t *b)
{
	uint32_t i;

	CU_ASSERT_EQUAL_FATAL(mmx_snapshot_part_count(a),
			      mmx_snapshot_part_count(b));
	for (i = 0; i < mmx_snapshot_part_count(a); i++) {
		size_t left_length;
		size_t right_length;
		const uint8_t *left = mmx_snapshot_part(a, i, &left_length);
		const uint8_t *right = mmx_snapshot_part(b, i, &right_length);

		CU_ASSERT_EQUAL_FATAL(left_length, right_length);
		CU_ASSERT_EQUAL(memcmp(left, right, left_length), 0);
		CU_ASSERT_TRUE(left_length <= MMX_SNAPSHOT_PART_MAX);
	}
}

static mmx_snapshot_status_t add_(mmx_snapshot_reader_t *reader,
				  const mmx_snapshot_t *snapshot, uint32_t part)
{
	size_t length;
	const uint8_t *data = mmx_snapshot_part(snapshot, part, &length);

	return mmx_snapshot_reader_add(reader, data, length);
}

static void check_keyed_account_(const mmx_config_state_t *state)
{
	const char *name = mmx_config_state_find_key(state, "k-2", 3);
	mmx_account_t account;

	CU_ASSERT_EQUAL(g_strcmp0(name, "keyed"), 0);
	CU_ASSERT_TRUE(mmx_config_state_requires_key(state));
	CU_ASSERT_TRUE(mmx_config_state_get_account(state, "keyed", &account));
	CU_ASSERT_TRUE(account.has_priority);
	CU_ASSERT_EQUAL(account.priority, 2);
	CU_ASSERT_EQUAL(account.rate, 0.1);
	CU_ASSERT_EQUAL(account.burst, 24);
}

/* Guards against a loaded state that differs from the original in its bytes, in
 * its look-ups, or in the verdict on the next record. The parts are added in
 * reverse order and twice, as if they came from two writers. */
static void test_round_trip_(void)
{
	mmx_config_state_t *state = filled_state_();
	mmx_snapshot_t *written = mmx_snapshot_create(state);
	mmx_snapshot_reader_t *reader = mmx_snapshot_reader_create();
	uint32_t parts = mmx_snapshot_part_count(written);
	mmx_snapshot_t *again;
	mmx_config_state_t *loaded;
	mmx_route_t route;
	uint32_t i;

	CU_ASSERT_TRUE_FATAL(parts > 2);
	for (i = parts; i-- > 0;) {
		add_(reader, written, i);
		CU_ASSERT_EQUAL(add_(reader, written, i),
				i ? MMX_SNAPSHOT_INCOMPLETE
				  : MMX_SNAPSHOT_COMPLETE);
	}
	loaded = mmx_snapshot_reader_load(reader, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(loaded);
	again = mmx_snapshot_create(loaded);
	check_equal_(written, again);
	CU_ASSERT_TRUE(mmx_config_state_match_route(loaded, "a.example",
						    "/x/y/z", &route));
	CU_ASSERT_EQUAL(route.policy.deadline, MMX_US_PER_S);
	CU_ASSERT_FALSE(route.is_public);
	CU_ASSERT_TRUE(
		mmx_config_state_match_route(loaded, "a.example", "/", &route));
	CU_ASSERT_TRUE(route.is_public);
	check_keyed_account_(loaded);
	CU_ASSERT_EQUAL(
		test_apply(loaded, test_account_record("stale", "x", 0, 1))
			.verdict,
		MMX_VERDICT_DUPLICATE);
	mmx_snapshot_destroy(written);
	mmx_snapshot_destroy(again);
	mmx_snapshot_reader_destroy(reader);
	mmx_config_state_destroy(loaded);
	mmx_config_state_destroy(state);
}

/* Guards against a part of an older snapshot that replaces the newer snapshot
 * being read. */
static void test_older_part_(void)
{
	mmx_config_state_t *state = mmx_config_state_create();
	mmx_snapshot_reader_t *reader = mmx_snapshot_reader_create();
	mmx_snapshot_t *older;
	mmx_snapshot_t *newer;

	test_apply(state, test_template_record("t", "web", 0));
	older = mmx_snapshot_create(state);
	test_apply(state, test_template_record("u", "batch", 0));
	newer = mmx_snapshot_create(state);
	CU_ASSERT_EQUAL(add_(reader, older, 0), MMX_SNAPSHOT_COMPLETE);
	CU_ASSERT_EQUAL(add_(reader, newer, 0), MMX_SNAPSHOT_COMPLETE);
	CU_ASSERT_EQUAL(add_(reader, older, 0), MMX_SNAPSHOT_OTHER);
	CU_ASSERT_EQUAL(mmx_snapshot_reader_applied_offset(reader), 2);
	mmx_snapshot_destroy(older);
	mmx_snapshot_destroy(newer);
	mmx_snapshot_reader_destroy(reader);
	mmx_config_state_destroy(state);
}

/* Guards against a corrupt part that crashes the reader or is loaded as another
 * state: each byte of a part is altered in turn, and the part is truncated at
 * each length. */
static void test_damaged_part_(void)
{
	static const char *const routes[] = {"a.example/", "+b.example/", NULL};
	static const char *const keys[] = {"k-1", NULL};
	mmx_config_state_t *state = mmx_config_state_create();
	mmx_snapshot_t *snapshot;
	const uint8_t *part;
	size_t length;
	size_t i;

	test_apply(state, test_template_record("t", "web", 0));
	test_apply(state, test_service_record("s", "jobs", 0, "web", routes));
	test_apply(state, test_account_record("a", "rider", 0, 3));
	test_apply(state, test_keys_record("k", "keyed", 0, keys));
	snapshot = mmx_snapshot_create(state);
	part = mmx_snapshot_part(snapshot, 0, &length);
	for (i = 0; i < 2 * length; i++) {
		mmx_snapshot_reader_t *reader = mmx_snapshot_reader_create();
		uint8_t *damaged = g_memdup2(part, length);
		mmx_config_state_t *loaded = NULL;
		bool truncated = i >= length;

		if (!truncated)
			damaged[i] ^= 0x55;
		if (mmx_snapshot_reader_add(reader, damaged,
					    truncated ? i - length : length) ==
		    MMX_SNAPSHOT_COMPLETE)
			loaded = mmx_snapshot_reader_load(reader, NULL);
		CU_ASSERT_PTR_NULL(loaded);
		mmx_config_state_destroy(loaded);
		g_free(damaged);
		mmx_snapshot_reader_destroy(reader);
	}
	mmx_snapshot_destroy(snapshot);
	mmx_config_state_destroy(state);
}

/* Guards against a new release that cannot load the snapshot of the one before,
 * or writes another where no account has keys: old and new nodes give each
 * other snapshots while a fleet is updated. */
static void test_part_of_earlier_release_(void)
{
	size_t length = strlen(old_part_) / 2;
	uint8_t *part = g_malloc(length);
	mmx_snapshot_reader_t *reader = mmx_snapshot_reader_create();
	mmx_config_state_t *loaded;
	mmx_snapshot_t *again;
	size_t written;
	size_t i;

	for (i = 0; i < length; i++)
		part[i] =
			(uint8_t)(g_ascii_xdigit_value(old_part_[2 * i]) << 4 |
				  g_ascii_xdigit_value(old_part_[2 * i + 1]));
	CU_ASSERT_EQUAL_FATAL(mmx_snapshot_reader_add(reader, part, length),
			      MMX_SNAPSHOT_COMPLETE);
	loaded = mmx_snapshot_reader_load(reader, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(loaded);
	CU_ASSERT_FALSE(mmx_config_state_requires_key(loaded));
	CU_ASSERT_EQUAL(mmx_config_state_account_revision(loaded, "rider"), 3);
	again = mmx_snapshot_create(loaded);
	CU_ASSERT_EQUAL(mmx_snapshot_part_count(again), 1);
	CU_ASSERT_EQUAL(
		memcmp(mmx_snapshot_part(again, 0, &written), part, length), 0);
	CU_ASSERT_EQUAL(written, length);
	mmx_snapshot_destroy(again);
	mmx_config_state_destroy(loaded);
	mmx_snapshot_reader_destroy(reader);
	g_free(part);
}

CU_TestInfo mmx_tests_snapshot[] = {
	{"round trip", test_round_trip_},
	{"older part", test_older_part_},
	{"damaged part", test_damaged_part_},
	{"part of the release before", test_part_of_earlier_release_},
	CU_TEST_INFO_NULL,
};
