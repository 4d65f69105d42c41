#include "suites.h"

#include "masticmux/directory.h"

#include <stdio.h>
#include <string.h>

#include "masticmux/random.h"

#define MINUTE (60 * MMX_US_PER_S)

static mmx_target_record_t record_(const char *node, const char *name,
				   const char *service, uint64_t incarnation,
				   uint64_t version, mmx_target_state_t state)
{
	mmx_target_record_t record = {
		.id = mmx_directory_id(node, name),
		.node = mmx_directory_id(node, "node"),
		.incarnation = incarnation,
		.version = version,
		.slots = 3,
		.state = state,
	};

	snprintf(record.name, sizeof(record.name), "%s", name);
	snprintf(record.service, sizeof(record.service), "%s", service);
	return record;
}

typedef struct step_t {
	const char *name;
	uint64_t incarnation;
	uint64_t version;
	const char *service;
	size_t count; /* of the directory afterwards */
	size_t left;  /* targets of service "a" afterwards */
	mmx_target_state_t state;
	bool accepted;
} step_t;

/* Guards against a late record that reverts a newer one, and against a wrong
 * list of a service after a change of state, service or incarnation. */
static void test_versions_(void)
{
	static const step_t steps[] = {
		{"first", 5, 2, "a", 1, 1, MMX_TARGET_COLD, true},
		{"same again", 5, 2, "a", 1, 1, MMX_TARGET_WARM, false},
		{"older version", 5, 1, "a", 1, 1, MMX_TARGET_WARM, false},
		{"newer version", 5, 3, "a", 1, 1, MMX_TARGET_WARM, true},
		{"other service", 5, 4, "b", 1, 0, MMX_TARGET_WARM, true},
		{"gone", 5, 6, "b", 0, 0, MMX_TARGET_GONE, true},
		{"late after gone", 5, 5, "a", 0, 0, MMX_TARGET_WARM, false},
		{"older incarnation", 4, 9, "a", 0, 0, MMX_TARGET_WARM, false},
		{"new incarnation", 6, 1, "a", 1, 1, MMX_TARGET_COLD, true},
	};
	mmx_clock_t *clock = mmx_clock_create_paused();
	mmx_directory_t *directory = mmx_directory_create(clock);
	size_t i;

	for (i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		const step_t *s = &steps[i];
		mmx_target_record_t r =
			record_("n1", "t1", s->service, s->incarnation,
				s->version, s->state);

		CU_ASSERT_EQUAL(mmx_directory_update(directory, &r),
				s->accepted);
		CU_ASSERT_EQUAL(mmx_directory_count(directory), s->count);
		CU_ASSERT_EQUAL(mmx_directory_service_count(
					mmx_directory_service(directory, "a")),
				s->left);
	}
	mmx_directory_destroy(directory);
	mmx_clock_destroy(clock);
}

/* Guards against targets of a process that was replaced being used further. */
static void test_incarnation_removes_(void)
{
	mmx_clock_t *clock = mmx_clock_create_paused();
	mmx_directory_t *directory = mmx_directory_create(clock);
	mmx_target_record_t r1 =
		record_("n1", "t1", "a", 5, 1, MMX_TARGET_WARM);
	mmx_target_record_t r2 =
		record_("n1", "t2", "a", 5, 1, MMX_TARGET_WARM);
	mmx_target_record_t other =
		record_("n2", "t1", "a", 5, 1, MMX_TARGET_WARM);
	mmx_target_record_t next =
		record_("n1", "t2", "a", 7, 1, MMX_TARGET_COLD);

	mmx_directory_update(directory, &r1);
	mmx_directory_update(directory, &r2);
	mmx_directory_update(directory, &other);
	CU_ASSERT_TRUE(mmx_directory_update(directory, &next));
	CU_ASSERT_PTR_NULL(mmx_directory_find(directory, r1.id));
	CU_ASSERT_EQUAL(mmx_directory_count(directory), 2);
	CU_ASSERT_EQUAL(mmx_directory_remove_older(directory, r1.node, 7), 0);
	CU_ASSERT_EQUAL(mmx_directory_remove_older(directory, r1.node, 8), 1);
	CU_ASSERT_FALSE(mmx_directory_update(directory, &next));
	CU_ASSERT_PTR_NULL(mmx_directory_node_first(directory, r1.node));
	CU_ASSERT_EQUAL(mmx_directory_count(directory), 1);
	mmx_directory_destroy(directory);
	mmx_clock_destroy(clock);
}

/* Guards against an operator's command about one target hitting another. */
static void test_names_(void)
{
	mmx_clock_t *clock = mmx_clock_create_paused();
	mmx_directory_t *directory = mmx_directory_create(clock);
	mmx_target_record_t r1 = record_("n1", "t", "a", 5, 1, MMX_TARGET_WARM);
	mmx_target_record_t r2 = record_("n2", "t", "a", 5, 1, MMX_TARGET_WARM);
	const mmx_directory_target_t *found;
	mmx_target_record_t copy;

	CU_ASSERT_PTR_NULL(mmx_directory_find_name(directory, "t"));
	mmx_directory_update(directory, &r1);
	found = mmx_directory_find_name(directory, "t");
	CU_ASSERT_PTR_NOT_NULL_FATAL(found);
	mmx_directory_record(found, &copy);
	CU_ASSERT_EQUAL(copy.id, r1.id);
	CU_ASSERT_STRING_EQUAL(copy.name, "t");
	CU_ASSERT_STRING_EQUAL(copy.service, "a");
	mmx_directory_update(directory, &r2);
	CU_ASSERT_PTR_NULL(mmx_directory_find_name(directory, "t"));
	found = mmx_directory_find_name(directory, "n2/t");
	CU_ASSERT_PTR_NOT_NULL_FATAL(found);
	CU_ASSERT_EQUAL(mmx_directory_target_id(found), r2.id);
	r1.version++;
	r1.state = MMX_TARGET_GONE;
	mmx_directory_update(directory, &r1);
	CU_ASSERT_PTR_EQUAL(mmx_directory_find_name(directory, "t"), found);
	mmx_directory_destroy(directory);
	mmx_clock_destroy(clock);
}

/* Guards against tombstones that are kept for ever or dropped too early. */
static void test_expire_(void)
{
	mmx_clock_t *clock = mmx_clock_create_paused();
	mmx_directory_t *directory = mmx_directory_create(clock);
	mmx_target_record_t r = record_("n1", "t", "a", 5, 2, MMX_TARGET_GONE);
	mmx_target_record_t late =
		record_("n1", "t", "a", 5, 1, MMX_TARGET_WARM);

	mmx_directory_update(directory, &r);
	mmx_clock_advance(clock, 9 * MINUTE);
	CU_ASSERT_EQUAL(mmx_directory_expire(directory, 10 * MINUTE), 0);
	CU_ASSERT_FALSE(mmx_directory_update(directory, &late));
	mmx_clock_advance(clock, 2 * MINUTE);
	CU_ASSERT_EQUAL(mmx_directory_expire(directory, 10 * MINUTE), 1);
	CU_ASSERT_PTR_NULL(mmx_directory_find(directory, r.id));
	mmx_directory_destroy(directory);
	mmx_clock_destroy(clock);
}

#define RANDOM_STEPS 4000

static mmx_target_record_t random_record_(mmx_random_t *random)
{
	char node[16];
	char name[16];
	char service[16];

	snprintf(node, sizeof(node), "n%u",
		 (unsigned int)mmx_random_below(random, 20));
	snprintf(name, sizeof(name), "t%u",
		 (unsigned int)mmx_random_below(random, 13));
	snprintf(service, sizeof(service), "s%u",
		 (unsigned int)mmx_random_below(random, 9));
	return record_(node, name, service, 1 + mmx_random_below(random, 4),
		       1 + mmx_random_below(random, 50),
		       (mmx_target_state_t)mmx_random_below(
			       random, MMX_TARGET_STATE_COUNT));
}

static size_t walk_(const mmx_directory_t *directory)
{
	const mmx_directory_target_t *target;
	size_t found = 0;
	unsigned int b;

	for (b = 0; b < MMX_DIRECTORY_BUCKETS; b++) {
		for (target = mmx_directory_bucket_first(directory, b); target;
		     target = mmx_directory_bucket_next(target)) {
			mmx_target_id_t id = mmx_directory_target_id(target);

			CU_ASSERT_EQUAL(mmx_directory_bucket_of(id), b);
			CU_ASSERT_PTR_EQUAL(mmx_directory_find(directory, id),
					    target);
			found += mmx_directory_target_state(target) !=
				 MMX_TARGET_GONE;
		}
	}
	return found;
}

static size_t walk_services_(const mmx_directory_t *directory)
{
	size_t found = 0;
	size_t i;
	int s;

	for (s = 0; s < 9; s++) {
		const mmx_directory_service_t *service;
		char name[16];

		snprintf(name, sizeof(name), "s%d", s);
		service = mmx_directory_service(directory, name);
		if (!service)
			continue;
		for (i = 0; i < mmx_directory_service_count(service); i++)
			CU_ASSERT_STRING_EQUAL(
				mmx_directory_target_service(
					mmx_directory_service_at(service, i)),
				name);
		found += mmx_directory_service_count(service);
	}
	return found;
}

/* Guards against digests, arrays and lists that drift apart: the same records
 * in two orders give the same directory. */
static void test_any_order_(void)
{
	static mmx_target_record_t records[RANDOM_STEPS];
	mmx_clock_t *clock = mmx_clock_create_paused();
	mmx_directory_t *one = mmx_directory_create(clock);
	mmx_directory_t *two = mmx_directory_create(clock);
	mmx_random_t random;
	size_t i;

	mmx_random_seed(&random, 11);
	for (i = 0; i < RANDOM_STEPS; i++) {
		records[i] = random_record_(&random);
		/* One version of a target has one content everywhere. */
		records[i].state = (mmx_target_state_t)(records[i].version %
							MMX_TARGET_STATE_COUNT);
		snprintf(records[i].service, sizeof(records[i].service), "s%u",
			 (unsigned int)(records[i].version % 9));
		mmx_directory_update(one, &records[i]);
	}
	for (i = RANDOM_STEPS; i > 0; i--)
		mmx_directory_update(two, &records[i - 1]);
	CU_ASSERT_TRUE(mmx_directory_count(one) > 50);
	CU_ASSERT_EQUAL(mmx_directory_count(one), mmx_directory_count(two));
	CU_ASSERT_EQUAL(memcmp(mmx_directory_digests(one),
			       mmx_directory_digests(two),
			       MMX_DIRECTORY_BUCKETS * sizeof(uint64_t)),
			0);
	CU_ASSERT_EQUAL(walk_(one), mmx_directory_count(one));
	CU_ASSERT_EQUAL(walk_services_(one), mmx_directory_count(one));
	for (i = 0; i < RANDOM_STEPS; i++)
		mmx_directory_remove_older(one, records[i].node, 100);
	for (i = 0; i < MMX_DIRECTORY_BUCKETS; i++)
		CU_ASSERT_EQUAL(mmx_directory_digests(one)[i], 0);
	CU_ASSERT_EQUAL(mmx_directory_count(one), 0);
	mmx_directory_destroy(one);
	mmx_directory_destroy(two);
	mmx_clock_destroy(clock);
}

CU_TestInfo mmx_tests_directory[] = {
	{"newest version wins", test_versions_},
	{"new incarnation removes older targets", test_incarnation_removes_},
	{"lookup by name", test_names_},
	{"tombstones expire", test_expire_},
	{"any order gives the same directory", test_any_order_},
	CU_TEST_INFO_NULL,
};
