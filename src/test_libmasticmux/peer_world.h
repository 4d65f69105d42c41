/*
 * Two peers on loopback in one event loop, with inboxes for entry and exit,
 * and a relay in front of the second one whose connections can be frozen.
 */
#ifndef MASTICMUX_TEST_PEER_WORLD_H
#define MASTICMUX_TEST_PEER_WORLD_H

#include "private/peer.h"

#define MMX_TEST_INCARNATION 1700000000000000ULL

typedef struct mmx_test_inbox_t {
	mmx_task_t task;
	mmx_message_list_t list;
	size_t count;
} mmx_test_inbox_t;

typedef struct mmx_test_relay_t mmx_test_relay_t;
typedef struct mmx_test_world_t mmx_test_world_t;

typedef struct mmx_test_node_t {
	mmx_peer_resolver_t resolver;
	mmx_test_world_t *world;
	const char *name;
	mmx_node_id_t id;
	mmx_peer_t *peer;
	mmx_counters_t *counters;
	mmx_test_inbox_t entry;
	mmx_test_inbox_t exit;
} mmx_test_node_t;

struct mmx_test_world_t {
	struct event_base *base;
	mmx_runtime_t *runtime;
	mmx_random_t random;
	mmx_test_node_t a; /* node-a, which calls */
	mmx_test_node_t b; /* node-b, which answers */
	mmx_test_relay_t *relay;
	uint16_t port_of_b; /* what the resolver says; 0: the real one */
};

typedef struct mmx_test_options_t {
	const mmx_fleet_key_t *keys_a;
	size_t key_count_a;
	const mmx_fleet_key_t *keys_b;
	size_t key_count_b;
	const mmx_peer_times_t *times; /* NULL: mmx_test_times */
	bool relay;
} mmx_test_options_t;

/* Long limits, so that none is reached only because the machine is busy; tests
 * shorten the one that they are about. */
extern const mmx_peer_times_t mmx_test_times;

mmx_test_world_t *mmx_test_world_create(const mmx_test_options_t *options);
void mmx_test_world_destroy(mmx_test_world_t *world);

/* Runs the loop until done(arg); fails the test after a long guard time. */
void mmx_test_run(mmx_test_world_t *world, bool (*done)(void *arg), void *arg);

/* Next message of an inbox, which must be of that kind. */
void *mmx_test_expect(mmx_test_world_t *world, mmx_test_inbox_t *inbox,
		      mmx_message_kind_t kind);

/* Runs until a counter of a node, with labels or "", is at least value. */
void mmx_test_until(mmx_test_world_t *world, mmx_test_node_t *node,
		    const char *name, const char *labels, int64_t value);
int64_t mmx_test_counter(mmx_test_node_t *node, const char *name,
			 const char *labels);

/* Connections through the relay stop carrying bytes; later ones do not. */
void mmx_test_relay_freeze(mmx_test_relay_t *relay);
/* Frozen connections carry bytes again. */
void mmx_test_relay_thaw(mmx_test_relay_t *relay);
/* Closes the connections through the relay. */
void mmx_test_relay_cut(mmx_test_relay_t *relay);

/* EXECUTE from node a to node b with the body "hello". */
mmx_execute_t *mmx_test_execute(uint64_t sequence);
/* Posts it and waits until the exit of b has it. */
mmx_execute_t *mmx_test_deliver(mmx_test_world_t *world, uint64_t sequence);
/* Posts the response 200 of b's exit, with the body of the request. */
void mmx_test_answer(mmx_execute_t *execute);
/* FENCE of an attempt of node a at node b. */
mmx_fence_t *mmx_test_fence(uint64_t sequence);

#endif
