#include "suites.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "masticmux/gossip.h"

#define NODES 3
#define STEP (50 * MMX_US_PER_MS)

typedef struct net_t {
	mmx_runtime_t *runtime;
	mmx_settings_t settings[NODES];
	mmx_directory_t *directories[NODES];
	mmx_gossip_t *nodes[NODES];
	mmx_counters_t *counters[NODES];
	uint64_t offset_seen;
} net_t;

static void offset_seen_(void *arg, mmx_node_id_t node, uint64_t offset)
{
	net_t *net = arg;

	if (offset > net->offset_seen)
		net->offset_seen = offset;
}

static const mmx_membership_ops_t ops_ = {
	.offset_seen = offset_seen_,
};

static void start_(net_t *net, int i, bool keyed)
{
	mmx_settings_t *settings = &net->settings[i];
	mmx_gossip_config_t config = {
		.settings = settings,
		.incarnation = 1000 + (uint64_t)i,
		.random_seed = 5 + (uint64_t)i,
	};
	mmx_error_t error = {0};

	snprintf(settings->node_name, sizeof(settings->node_name), "node-%d",
		 i);
	strcpy(settings->region, "north");
	strcpy(settings->zone, "north-a");
	strcpy(settings->listen_nodes.host, "127.0.0.1");
	if (keyed) {
		settings->fleet_key_count = 1;
		strcpy(settings->fleet_keys[0].id, "k1");
	}
	if (i > 0) {
		settings->seeds[0] = *mmx_gossip_address(net->nodes[0]);
		settings->seed_count = 1;
	}
	net->counters[i] = mmx_counters_create();
	config.counters = net->counters[i];
	net->directories[i] =
		mmx_directory_create(mmx_runtime_clock(net->runtime));
	net->nodes[i] = mmx_gossip_create(
		&config, net->runtime, net->directories[i], &ops_, net, &error);
	CU_ASSERT_PTR_NOT_NULL_FATAL(net->nodes[i]);
}

static void stop_(net_t *net, int i)
{
	mmx_gossip_destroy(net->nodes[i]);
	mmx_directory_destroy(net->directories[i]);
	mmx_counters_destroy(net->counters[i]);
	net->nodes[i] = NULL;
	net->directories[i] = NULL;
	net->counters[i] = NULL;
}

static void run_(net_t *net, mmx_time_t time)
{
	int i;

	for (; time > 0; time -= STEP) {
		mmx_clock_advance(mmx_runtime_clock(net->runtime), STEP);
		for (i = 0; i < NODES; i++) {
			if (net->nodes[i])
				mmx_gossip_poll(net->nodes[i]);
		}
		mmx_runtime_deliver(net->runtime);
	}
}

static size_t alive_(net_t *net, int i)
{
	return mmx_membership_count(mmx_gossip_membership(net->nodes[i]),
				    MMX_MEMBER_ALIVE);
}

static int64_t rejected_(net_t *net, int i, const char *reason)
{
	char label[48];

	snprintf(label, sizeof(label), "reason=\"%s\"", reason);
	return mmx_counters_get(net->counters[i], MMX_COUNTER,
				"masticmux_gossip_rejected_total", label, "")
		->value;
}

/* Guards against a task that does not connect sockets, module and posts. */
static void test_fleet_(void)
{
	mmx_target_record_t record = {.slots = 3, .version = 1};
	net_t net = {.runtime = mmx_runtime_create(NULL)};
	int i;

	for (i = 0; i < NODES; i++)
		start_(&net, i, true);
	strcpy(record.name, "t");
	strcpy(record.service, "s");
	record.id = mmx_directory_id("node-1", "t");
	mmx_gossip_announce(net.nodes[1], &record);
	mmx_gossip_set_offset(net.nodes[2], 77);
	run_(&net, 10 * MMX_US_PER_S);
	for (i = 0; i < NODES; i++) {
		CU_ASSERT_EQUAL(alive_(&net, i), NODES);
		CU_ASSERT_PTR_NOT_NULL(
			mmx_directory_find(net.directories[i], record.id));
	}
	CU_ASSERT_EQUAL(net.offset_seen, 77);
	mmx_gossip_leave(net.nodes[1]);
	run_(&net, 3 * MMX_US_PER_S);
	CU_ASSERT_EQUAL(alive_(&net, 0), NODES - 1);
	CU_ASSERT_EQUAL(mmx_directory_count(net.directories[0]), 0);
	for (i = 0; i < NODES; i++)
		stop_(&net, i);
	mmx_runtime_destroy(net.runtime);
}

/* Guards against a node with another key that gets in, and against datagrams
 * that are rejected without being counted. */
static void test_rejects_(void)
{
	net_t net = {.runtime = mmx_runtime_create(NULL)};
	struct sockaddr_in to = {.sin_family = AF_INET};
	uint8_t junk[MMX_DATAGRAM_MAX + 10] = {0};
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	start_(&net, 0, true);
	start_(&net, 1, false);
	start_(&net, 2, true);
	net.settings[2].fleet_keys[0].secret[0] = 1;
	run_(&net, 3 * MMX_US_PER_S);
	CU_ASSERT_EQUAL(alive_(&net, 0), 1);
	CU_ASSERT_TRUE(rejected_(&net, 0, "unknown_key") > 0);
	CU_ASSERT_TRUE(rejected_(&net, 0, "bad_digest") > 0);
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	to.sin_port = htons(mmx_gossip_address(net.nodes[0])->port);
	CU_ASSERT_TRUE(
		sendto(fd, junk, sizeof(junk), 0, (void *)&to, sizeof(to)) > 0);
	CU_ASSERT_TRUE(sendto(fd, junk, 0, 0, (void *)&to, sizeof(to)) == 0);
	run_(&net, STEP);
	CU_ASSERT_EQUAL(rejected_(&net, 0, "too_long"), 1);
	CU_ASSERT_EQUAL(rejected_(&net, 0, "bad_rpc"), 1);
	close(fd);
	stop_(&net, 0);
	stop_(&net, 1);
	stop_(&net, 2);
	mmx_runtime_destroy(net.runtime);
}

typedef struct address_case_t {
	const char *host;
	mmx_error_code_t code;
	bool keyed;
} address_case_t;

/* Guards against a fleet without a key that is open to the network. */
static void test_addresses_(void)
{
	static const address_case_t cases[] = {
		{"10.0.0.1", MMX_ERROR_AUTH, false},
		{"0.0.0.0", MMX_ERROR_INVALID, true},
		{"::", MMX_ERROR_INVALID, true},
		{"name", MMX_ERROR_INVALID, true},
		{"203.0.113.7", MMX_ERROR_IO, true},
	};
	mmx_runtime_t *runtime = mmx_runtime_create(NULL);
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		mmx_settings_t settings = {.node_name = "n"};
		mmx_gossip_config_t config = {.settings = &settings,
					      .incarnation = 1};
		mmx_error_t error = {0};

		snprintf(settings.listen_nodes.host,
			 sizeof(settings.listen_nodes.host), "%s",
			 cases[i].host);
		settings.fleet_key_count = cases[i].keyed;
		CU_ASSERT_PTR_NULL(mmx_gossip_create(&config, runtime, NULL,
						     &ops_, NULL, &error));
		CU_ASSERT_EQUAL(error.code, cases[i].code);
	}
	mmx_runtime_destroy(runtime);
}

CU_TestInfo mmx_tests_gossip[] = {
	{"nodes on loopback", test_fleet_},
	{"rejected datagrams", test_rejects_},
	{"addresses that are refused", test_addresses_},
	CU_TEST_INFO_NULL,
};
