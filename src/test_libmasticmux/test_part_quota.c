#include "suites.h"

#include <string.h>

#include "fakes.h"
#include "peer_world.h"
#include "private/entry.h"
#include "private/filter_quota.h"
#include "private/part_quota.h"
#include "private/roster.h"

/* No token is added while a test runs. */
#define RATE 0.001
/* Tokens of an owner that has just started: an eighth of the slack. */
#define TOKENS 5

/* A node with the part quota and an entry over a peer of the test world. */
typedef struct fixture_node_t {
	mmx_node_t node;
	mmx_settings_t settings;
	mmx_part_t *part;
	mmx_config_state_t *config_state;
	fake_t http;
	fake_t exit;
	GString *trace;
} fixture_node_t;

static bool find_node_(const mmx_node_t *node, mmx_node_id_t id,
		       mmx_node_info_t *info)
{
	const mmx_roster_node_t *found = mmx_roster_find(node->roster, id);

	if (!found)
		return false;
	*info = (mmx_node_info_t){.id = id, .name = found->name};
	return true;
}

static const mmx_node_lookup_ops_t lookup_ops_ = {.find = find_node_};

static void init_entry_(fixture_node_t *self)
{
	mmx_node_t *node = &self->node;

	fake_init(&self->http, node->runtime, self->trace);
	fake_init(&self->exit, node->runtime, self->trace);
	mmx_entry_set_http(node->entry, &self->http.task);
	mmx_entry_set_peer(node->entry, &self->exit.task);
	mmx_entry_set_local_exit(node->entry, &self->exit.task);
	mmx_entry_set_config_state(node->entry, &node->config_state);
	mmx_entry_set_directory(node->entry, node->directory);
	mmx_entry_set_counters(node->entry, node->counters);
	mmx_entry_init(node->entry);
}

static void open_node_(fixture_node_t *self, mmx_test_world_t *world,
		       mmx_test_node_t *peer, const char *other)
{
	mmx_node_t *node = &self->node;

	memset(self, 0, sizeof(*self));
	self->trace = g_string_new("");
	g_strlcpy(self->settings.node_name, peer->name,
		  sizeof(self->settings.node_name));
	self->config_state = fake_account_routes(RATE, 0);
	TAILQ_INIT(&node->parts);
	node->settings = &self->settings;
	node->reloadable.account_window = 5 * MMX_US_PER_S;
	node->reloadable.account_slack = 8 * TOKENS;
	node->runtime = world->runtime;
	node->clock = mmx_runtime_clock(world->runtime);
	node->counters = peer->counters;
	node->id = peer->id;
	node->peer = peer->peer;
	node->node_lookup = &lookup_ops_;
	node->config_state = self->config_state;
	node->directory = mmx_directory_create(node->clock);
	node->roster = mmx_roster_create(node->directory);
	if (other)
		CU_ASSERT_TRUE(mmx_roster_merge(node->roster, "node-b", other,
						strlen(other), 1, NULL));
	fake_add_targets(node->directory, node->id, 2);
	node->entry = mmx_entry_create(world->runtime, node->id,
				       MMX_TEST_INCARNATION, 1);
	self->part = mmx_part_quota_create(node);
	self->part->node = node;
	CU_ASSERT_TRUE(self->part->ops->init(self->part, NULL));
	init_entry_(self);
}

static void close_node_(fixture_node_t *self)
{
	self->part->ops->destroy(self->part);
	mmx_entry_destroy(self->node.entry);
	mmx_roster_destroy(self->node.roster);
	mmx_directory_destroy(self->node.directory);
	mmx_config_state_destroy(self->config_state);
	g_string_free(self->trace, TRUE);
}

/* Node a knows node b only; node b knows no other node and owns everything. */
typedef struct fixture_t {
	mmx_test_world_t *world;
	fixture_node_t a;
	fixture_node_t b;
	uint64_t requests;
} fixture_t;

static const char record_[] =
	"{\"node\":\"node-b\",\"region\":\"r\",\"zone\":\"z\","
	"\"address\":\"127.0.0.1:9\",\"targets\":[]}";

static void open_(fixture_t *fixture, const char *record)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->world =
		mmx_test_world_create(&(mmx_test_options_t){.relay = true});
	open_node_(&fixture->a, fixture->world, &fixture->world->a, record);
	open_node_(&fixture->b, fixture->world, &fixture->world->b, NULL);
}

static void close_(fixture_t *fixture)
{
	close_node_(&fixture->a);
	close_node_(&fixture->b);
	mmx_test_world_destroy(fixture->world);
}

/* Posts a request of the account to node a. */
static void request_(fixture_t *fixture)
{
	mmx_request_t *request = mmx_new_request(++fixture->requests);

	request->head = mmx_head_create_request("POST", "/p");
	mmx_head_add(request->head, "Host", "s.test");
	mmx_head_add(request->head, "Authorization", "Bearer key-l");
	request->body_end = true;
	mmx_task_post(mmx_entry_task(fixture->a.node.entry), &request->message);
}

static void until_(fixture_t *fixture, const char *result, int64_t count)
{
	mmx_test_until(fixture->world, &fixture->world->a,
		       "masticmux_account_decisions_total", result, count);
}

static int64_t isolated_(fixture_t *fixture)
{
	return mmx_test_counter(&fixture->world->a,
				"masticmux_quota_events_total",
				"event=\"isolated\"");
}

/* Guards against tokens that the owner does not count, and against a status
 * that names another owner than the one that decides. */
static void test_owner_decides_(void)
{
	fixture_t fixture;
	size_t left_out = 1;
	json_t *status;
	int i;

	open_(&fixture, record_);
	for (i = 0; i < TOKENS; i++)
		request_(&fixture);
	until_(&fixture, "result=\"granted\"", TOKENS);
	request_(&fixture);
	until_(&fixture, "result=\"refused\"", 1);
	CU_ASSERT_EQUAL(isolated_(&fixture), 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(fixture.a.trace->str, "execute2:0 "));
	status = mmx_part_quota_status(&fixture.a.node, &left_out);
	CU_ASSERT_EQUAL(json_array_size(status), 1);
	CU_ASSERT_EQUAL(left_out, 0);
	CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(
				       json_array_get(status, 0), "owner")),
			       "node-b");
	json_decref(status);
	close_(&fixture);
}

/* Guards against requests that wait for a node that is stopping or has stopped
 * answering, and against a late reply to a part that has ended. */
static void test_owner_lost_(void)
{
	fixture_t fixture;
	int silent;

	for (silent = 0; silent < 2; silent++) {
		open_(&fixture, record_);
		fixture.b.node.draining = !silent;
		if (silent) {
			request_(&fixture);
			until_(&fixture, "result=\"granted\"", 1);
			mmx_test_relay_freeze(fixture.world->relay);
		}
		request_(&fixture);
		until_(&fixture, "result=\"granted\"", 1 + silent);
		CU_ASSERT_EQUAL(isolated_(&fixture), 1);
		request_(&fixture);
		close_(&fixture);
	}
}

/* Guards against nodes that start together and decide each on its own. */
static void test_nodes_unknown_(void)
{
	fixture_t fixture;

	open_(&fixture, NULL);
	request_(&fixture);
	mmx_runtime_deliver(fixture.world->runtime);
	CU_ASSERT_EQUAL(mmx_entry_in_progress(fixture.a.node.entry), 1);
	CU_ASSERT_STRING_EQUAL(fixture.a.trace->str, "");
	CU_ASSERT_TRUE(mmx_roster_merge(fixture.a.node.roster, "node-b",
					record_, strlen(record_), 1, NULL));
	mmx_part_quota_on_nodes_changed(&fixture.a.node);
	/* The record is known before the order of the nodes is. */
	request_(&fixture);
	mmx_runtime_deliver(fixture.world->runtime);
	CU_ASSERT_EQUAL(mmx_entry_in_progress(fixture.a.node.entry), 2);
	until_(&fixture, "result=\"granted\"", 2);
	CU_ASSERT_EQUAL(isolated_(&fixture), 0);
	close_(&fixture);
}

CU_TestInfo mmx_tests_part_quota[] = {
	{"a node that knows no other yet", test_nodes_unknown_},
	{"the owner decides", test_owner_decides_},
	{"an owner that stops or is silent", test_owner_lost_},
	CU_TEST_INFO_NULL,
};
