#include "suites.h"

#include <glib.h>
#include <string.h>

#include "masticmux/config_state.h"
#include "masticmux/routing.h"

static mmx_routing_table_t *create_sample_(uint64_t version)
{
	mmx_routing_table_t *routing = mmx_routing_create(version);
	mmx_routing_rule_t *rule;

	rule = mmx_routing_add_route(routing, "Cards.example", "/a/");
	g_strlcpy(rule->name, "short", sizeof(rule->name));
	mmx_routing_add_destination(rule, "cards", 1);
	rule = mmx_routing_add_route(routing, "cards.example", "/a/b/");
	g_strlcpy(rule->name, "long", sizeof(rule->name));
	rule->repeatable = true;
	rule->timeout = 3 * MMX_US_PER_S;
	mmx_routing_add_destination(rule, "cards", 90);
	mmx_routing_add_destination(rule, "tills", 10);
	return routing;
}

/* Guards against requests that are sent to the service of another route. */
static void test_longest_prefix_(void)
{
	static const struct {
		const char *host;
		const char *path;
		const char *name; /* NULL: no route */
	} cases[] = {
		{"cards.example", "/a/x", "short"},
		{"CARDS.example:8080", "/a/", "short"},
		{"cards.example", "/a/b/c", "long"},
		{"cards.example", "/a/b", "short"},
		{"cards.example", "/a", NULL},
		{"cards.example", "/", NULL},
		{"cards.example", "/ab/", NULL},
		{"tills.example", "/a/", NULL},
	};
	mmx_routing_table_t *routing = create_sample_(1);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const mmx_routing_rule_t *rule = mmx_routing_find_route(
			routing, cases[i].host, cases[i].path);

		CU_ASSERT_EQUAL(rule != NULL, cases[i].name != NULL);
		if (rule && cases[i].name)
			CU_ASSERT_STRING_EQUAL(rule->name, cases[i].name);
	}
	mmx_routing_destroy(routing);
}

/* Guards against a configuration with many routes that keeps its node from
 * serving. Sorting all routes after each addition takes time that grows with
 * the square of their number: 6.8 s for 18000 routes. */
static void test_many_routes_(void)
{
	/* The number of routes that the node is designed for, at one host. */
	enum { ROUTES = 72000 };
	mmx_routing_table_t *routing = mmx_routing_create(1);
	char text[32];
	int i;

	for (i = 0; i < ROUTES; i++) {
		mmx_routing_rule_t *rule;

		g_snprintf(text, sizeof(text), "/%s%d/", i % 2 ? "a/" : "", i);
		rule = mmx_routing_add_route(routing, "h.test", text);
		g_snprintf(rule->name, sizeof(rule->name), "r%d", i);
	}
	CU_ASSERT_EQUAL(mmx_routing_route_count(routing), ROUTES);
	for (i = 0; i < ROUTES; i++) {
		const mmx_routing_rule_t *rule;

		g_snprintf(text, sizeof(text), "/%s%d/x", i % 2 ? "a/" : "", i);
		rule = mmx_routing_find_route(routing, "h.test", text);
		g_snprintf(text, sizeof(text), "r%d", i);
		CU_ASSERT_STRING_EQUAL(rule ? rule->name : "", text);
	}
	CU_ASSERT_PTR_NULL(mmx_routing_find_route(routing, "h.test", "/a/0/x"));
	mmx_routing_destroy(routing);
}

/* Guards against two routes with the same prefix, either of which may be
 * found. */
static void test_replaced_route_(void)
{
	mmx_routing_table_t *routing = create_sample_(1);
	mmx_routing_rule_t *rule =
		mmx_routing_add_route(routing, "cards.example", "/a/");

	g_strlcpy(rule->name, "new", sizeof(rule->name));
	CU_ASSERT_EQUAL(mmx_routing_route_count(routing), 2);
	rule = mmx_routing_find_route(routing, "cards.example", "/a/x");
	CU_ASSERT_STRING_EQUAL(rule->name, "new");
	mmx_routing_destroy(routing);
}

/* Guards against weights that hold only on average: a split of 90 to 10 has to
 * hold within every ten requests. */
static void test_weights_(void)
{
	mmx_routing_table_t *routing = create_sample_(1);
	mmx_routing_rule_t *rule =
		mmx_routing_find_route(routing, "cards.example", "/a/b/");
	int n;

	for (n = 0; n < 10; n++) {
		int tills = 0;
		int i;

		for (i = 0; i < 10; i++)
			tills += strcmp(mmx_routing_next_service(rule),
					"tills") == 0;
		CU_ASSERT_EQUAL(tills, 1);
	}
	mmx_routing_destroy(routing);
}

/* Guards against a configuration that reverts to an older version after a stale
 * read. */
static void test_versions_only_grow_(void)
{
	static const struct {
		uint64_t version;
		bool taken;
		uint64_t in_force;
	} steps[] = {{5, true, 5}, {9, true, 9}, {7, false, 9}, {9, false, 9}};
	mmx_config_state_t *config_state = mmx_config_state_create();
	mmx_policy_t policy = {.floor_percent = 70};
	mmx_route_t route;
	size_t i;

	CU_ASSERT_TRUE(mmx_config_state_is_empty(config_state));
	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		CU_ASSERT_EQUAL(mmx_config_state_replace(
					config_state,
					create_sample_(steps[i].version),
					&policy),
				steps[i].taken);
		CU_ASSERT_EQUAL(mmx_config_state_applied_offset(config_state),
				steps[i].in_force);
	}
	CU_ASSERT_TRUE(mmx_config_state_match_route(
		config_state, "cards.example", "/a/b/", &route));
	CU_ASSERT_EQUAL(route.timeout, 3 * MMX_US_PER_S);
	CU_ASSERT_EQUAL(route.policy.floor_percent, 70);
	CU_ASSERT_TRUE(route.policy.repeatable &
		       MMX_METHOD_BIT(MMX_METHOD_POST));
	CU_ASSERT_TRUE(mmx_config_state_match_route(
		config_state, "cards.example", "/a/", &route));
	CU_ASSERT_EQUAL(route.policy.repeatable, 0);
	mmx_config_state_destroy(config_state);
}

CU_TestInfo mmx_tests_routing[] = {
	{"the longest prefix wins", test_longest_prefix_},
	{"many routes of one host", test_many_routes_},
	{"a route replaces another one of its prefix", test_replaced_route_},
	{"weights hold within short sequences", test_weights_},
	{"the version never decreases", test_versions_only_grow_},
	CU_TEST_INFO_NULL,
};
