#include "suites.h"

#include <glib.h>
#include <string.h>

#include "config_support.h"
#include "masticmux/snapshot.h"

#define ROUTES_MAX 4

typedef enum step_kind_t { ACCOUNT, TEMPLATE, SERVICE, RAW } step_kind_t;

/* A record and its expected verdict. */
typedef struct step_t {
	step_kind_t kind;
	const char *id; /* RAW: the whole record */
	const char *name;
	uint64_t base;
	uint8_t floor;
	const char *routes[ROUTES_MAX];
	mmx_verdict_t verdict;
	mmx_reject_reason_t reject;
} step_t;

#define ACCEPTED MMX_VERDICT_ACCEPTED, MMX_REJECT_NONE
#define REJECTED(reason) MMX_VERDICT_REJECTED, MMX_REJECT_##reason

/* The offset of a step is its index plus one. */
static const step_t steps_[] = {
	{TEMPLATE, "t1", "web", 0, 0, {NULL}, ACCEPTED},
	{SERVICE, "s1", "jobs", 0, 0, {"a.example/"}, ACCEPTED},
	{SERVICE, "s2", "jobs", 0, 0, {NULL}, REJECTED(STALE_BASE)},
	{SERVICE, "s3", "jobs", 2, 0, {"a.example/", "a.example/x"}, ACCEPTED},
	{SERVICE, "s4", "jobs", 2, 0, {NULL}, REJECTED(STALE_BASE)},
	{SERVICE, "s5", "parts", 0, 0, {"a.example/x/"}, REJECTED(ROUTE_TAKEN)},
	{SERVICE,
	 "s6",
	 "parts",
	 0,
	 0,
	 {"b.example/y", "b.example/y/"},
	 REJECTED(ROUTE_REPEATED)},
	{SERVICE, "s7", "nothing", 0, 1, {NULL}, REJECTED(UNKNOWN_TEMPLATE)},
	{RAW, "not a record", "", 0, 0, {NULL}, MMX_VERDICT_INVALID, 0},
	{RAW, "{\"change\":{}}", "", 0, 0, {NULL}, MMX_VERDICT_INVALID, 0},
	{RAW, "", "", 0, 0, {NULL}, MMX_VERDICT_INVALID, 0},
	{ACCOUNT, "a1", "rider", 0, 60, {NULL}, ACCEPTED},
	{ACCOUNT, "a2", "owner", 0, 41, {NULL}, REJECTED(ACCOUNT_FLOORS)},
	{ACCOUNT, "a3", "owner", 0, 40, {NULL}, ACCEPTED},
	{ACCOUNT, "a1", "rider", 12, 0, {NULL}, MMX_VERDICT_DUPLICATE, 0},
	{ACCOUNT, "s2", "rider", 12, 0, {NULL}, MMX_VERDICT_DUPLICATE, 0},
	{ACCOUNT, "a4", "rider", 12, 0, {NULL}, ACCEPTED},
};

static char *record_(const step_t *step)
{
	switch (step->kind) {
	case ACCOUNT:
		return test_account_record(step->id, step->name, step->base,
					   step->floor);
	case TEMPLATE:
		return test_template_record(step->id, step->name, step->base);
	case SERVICE:
		return test_service_record(step->id, step->name, step->base,
					   step->floor ? "none" : "web",
					   step->routes);
	default:
		return g_strdup(step->id);
	}
}

/* Applies all steps. With out_of_order, each is preceded by a record at an
 * offset that was applied before and by one beyond the next offset. */
static mmx_config_state_t *apply_steps_(bool check, bool out_of_order)
{
	mmx_config_state_t *state = mmx_config_state_create();
	mmx_config_state_result_t result;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(steps_); i++) {
		const char *record = "{}";

		if (out_of_order) {
			CU_ASSERT_FALSE(mmx_config_state_apply(state, i, record,
							       2, &result));
			CU_ASSERT_EQUAL(result.verdict, MMX_VERDICT_IGNORED);
			CU_ASSERT_FALSE(mmx_config_state_apply(
				state, i + 2, record, 2, &result));
			CU_ASSERT_EQUAL(result.verdict, MMX_VERDICT_GAP);
		}
		result = test_apply(state, record_(&steps_[i]));
		if (!check)
			continue;
		CU_ASSERT_EQUAL(result.offset, i + 1);
		CU_ASSERT_EQUAL(result.verdict, steps_[i].verdict);
		CU_ASSERT_EQUAL(result.reject_reason, steps_[i].reject);
		CU_ASSERT_EQUAL(result.text[0] == '\0',
				result.verdict == MMX_VERDICT_ACCEPTED);
	}
	return state;
}

static void check_digests_(const mmx_config_state_t *a,
			   const mmx_config_state_t *b)
{
	mmx_snapshot_t *left = mmx_snapshot_create(a);
	mmx_snapshot_t *right = mmx_snapshot_create(b);

	CU_ASSERT_EQUAL(memcmp(mmx_snapshot_digest(left),
			       mmx_snapshot_digest(right),
			       MMX_SNAPSHOT_DIGEST_BYTES),
			0);
	mmx_snapshot_destroy(left);
	mmx_snapshot_destroy(right);
}

/* Guards against verdicts that break the rules or differ between nodes, and
 * against records that change the state though they are duplicates or arrive
 * out of order. */
static void test_verdicts_(void)
{
	mmx_config_state_t *state = apply_steps_(true, false);
	mmx_config_state_t *other = apply_steps_(true, true);
	mmx_config_state_result_t result;
	mmx_config_state_sizes_t sizes;

	check_digests_(state, other);
	CU_ASSERT_EQUAL(mmx_config_state_service_revision(state, "jobs"), 4);
	CU_ASSERT_EQUAL(mmx_config_state_account_revision(state, "rider"), 17);
	CU_ASSERT_EQUAL(mmx_config_state_template_revision(state, "web"), 1);
	CU_ASSERT_EQUAL(mmx_config_state_service_revision(state, "parts"), 0);
	CU_ASSERT_TRUE(mmx_config_state_get_verdict(state, "s4", &result));
	CU_ASSERT_EQUAL(result.offset, 5);
	CU_ASSERT_EQUAL(result.reject_reason, MMX_REJECT_STALE_BASE);
	CU_ASSERT_FALSE(mmx_config_state_get_verdict(state, "s9", &result));
	CU_ASSERT_EQUAL(
		mmx_config_state_counts(state)->records[MMX_VERDICT_INVALID],
		3);
	mmx_config_state_sizes(state, &sizes);
	CU_ASSERT_EQUAL(sizes.routes, 2);
	CU_ASSERT_EQUAL(sizes.accounts, 2);
	mmx_config_state_destroy(state);
	mmx_config_state_destroy(other);
}

typedef struct route_case_t {
	const char *host;
	const char *path;
	const char *service; /* NULL: no route */
} route_case_t;

/* Guards against a shorter prefix that is preferred to a longer one, a prefix
 * that matches part of a segment, and a missed match because of the case or
 * port of the host or the query of the path. */
static void test_routes_(void)
{
	static const char *const first[] = {"a.example/", "a.example/v1/b",
					    "b.example/x/", NULL};
	static const char *const second[] = {"a.example/v1", NULL};
	static const route_case_t cases[] = {
		{"a.example", "/", "one"},
		{"a.example", "/v1", "two"},
		{"a.example", "/v1/", "two"},
		{"a.example", "/v10", "one"},
		{"a.example", "/v1/b", "one"},
		{"a.example", "/v1/b?q=/v1", "one"},
		{"a.example", "/v1/bc/d", "two"},
		{"a.example", "/v1?b", "two"},
		{"A.Example:8080", "/v1", "two"},
		{"a.example", "*", "one"},
		{"b.example", "/x", "one"},
		{"b.example", "/x/y", "one"},
		{"b.example", "/", NULL},
		{"b.example", "/xy", NULL},
		{"c.example", "/", NULL},
		{"", "/", NULL},
		{"[::1", "/", NULL},
	};
	mmx_config_state_t *state = mmx_config_state_create();
	mmx_route_t route;
	size_t i;

	test_apply(state, test_template_record("t", "web", 0));
	test_apply(state, test_service_record("1", "one", 0, "web", first));
	test_apply(state, test_service_record("2", "two", 0, "web", second));
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *service = NULL;

		if (mmx_config_state_match_route(state, cases[i].host,
						 cases[i].path, &route))
			service = route.service;
		CU_ASSERT_TRUE(!g_strcmp0(service, cases[i].service));
	}
	mmx_config_state_destroy(state);
}

/* Guards against a route that still matches after a change removed it from its
 * service. */
static void test_removed_route_(void)
{
	static const char *const before[] = {"a.example/", "b.example/", NULL};
	static const char *const after[] = {"b.example/", NULL};
	mmx_config_state_t *state = mmx_config_state_create();
	mmx_route_t route;

	test_apply(state, test_template_record("t", "web", 0));
	test_apply(state, test_service_record("1", "one", 0, "web", before));
	test_apply(state, test_service_record("2", "one", 2, "web", after));
	CU_ASSERT_FALSE(
		mmx_config_state_match_route(state, "a.example", "/", &route));
	CU_ASSERT_TRUE(
		mmx_config_state_match_route(state, "b.example", "/", &route));
	mmx_config_state_destroy(state);
}

/* Guards against memory that grows with the number of records, and against
 * verdicts that are dropped before MMX_CONFIG_STATE_VERDICTS_MAX newer ones. */
static void test_verdict_limit_(void)
{
	mmx_config_state_t *state = mmx_config_state_create();
	mmx_config_state_result_t result;
	mmx_config_state_sizes_t sizes;
	uint64_t revision = 0;
	char id[32];
	int i;

	for (i = 0; i <= MMX_CONFIG_STATE_VERDICTS_MAX; i++) {
		g_snprintf(id, sizeof(id), "id-%d", i);
		result = test_apply(
			state, test_account_record(id, "rider", revision, 1));
		revision = result.offset;
	}
	mmx_config_state_sizes(state, &sizes);
	CU_ASSERT_EQUAL(sizes.verdicts, MMX_CONFIG_STATE_VERDICTS_MAX);
	CU_ASSERT_FALSE(mmx_config_state_get_verdict(state, "id-0", &result));
	CU_ASSERT_TRUE(mmx_config_state_get_verdict(state, "id-1", &result));
	CU_ASSERT_EQUAL(mmx_config_state_account_revision(state, "rider"),
			revision);
	mmx_config_state_destroy(state);
}

/* Guards against keys that stay valid after a change has withdrawn them or that
 * identify one of two accounts, and against keys that are asked for where no
 * account has one. */
static void test_keys_(void)
{
	/* owners: of k1, k2, k3; '-': none */
	static const struct {
		const char *account;
		uint64_t base;
		const char *keys[3];
		const char *owners;
		size_t count;
	} steps[] = {
		{"a", 0, {NULL}, "---", 0},
		{"a", 1, {"k1", "k2", NULL}, "aa-", 2},
		{"b", 0, {"k3", NULL}, "aab", 3},
		{"a", 2, {"k2", NULL}, "-ab", 2},
		{"b", 3, {"k2", "k3", NULL}, "--b", 3},
		{"a", 4, {"k1", NULL}, "abb", 3},
		{"b", 4, {"k1", NULL}, "abb", 3}, /* rejected: stale base */
		{"b", 5, {NULL}, "a--", 1},
		{"a", 6, {NULL}, "---", 0},
	};
	mmx_config_state_t *state = mmx_config_state_create();
	char text[8];
	size_t i;
	int k;

	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		g_snprintf(text, sizeof(text), "id-%zu", i);
		test_apply(state,
			   test_keys_record(text, steps[i].account,
					    steps[i].base, steps[i].keys));
		for (k = 0; k < 3; k++) {
			const char *owner;

			g_snprintf(text, sizeof(text), "k%d", k + 1);
			owner = mmx_config_state_find_key(state, text, 2);
			CU_ASSERT_EQUAL(owner ? owner[0] : '-',
					steps[i].owners[k]);
		}
		CU_ASSERT_EQUAL(mmx_config_state_key_count(state),
				steps[i].count);
		CU_ASSERT_EQUAL(mmx_config_state_requires_key(state),
				steps[i].count > 0);
	}
	mmx_config_state_destroy(state);
}

CU_TestInfo mmx_tests_config_state[] = {
	{"verdicts", test_verdicts_},
	{"longest prefix", test_routes_},
	{"removed route", test_removed_route_},
	{"bounded verdicts", test_verdict_limit_},
	{"keys of accounts", test_keys_},
	CU_TEST_INFO_NULL,
};
