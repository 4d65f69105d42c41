/* Loopback tests of the task peer with faults. They wait for conditions. */
#include "suites.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <string.h>

#include "peer_world.h"
#include "private/wire.h"

#define CLOSED "masticmux_peer_closed_total"
#define SESSION "masticmux_peer_session_refused_total"
#define DROPPED "masticmux_peer_dropped_total"
#define REFUSED "masticmux_peer_refused_total"

static const mmx_fleet_key_t key_ = {.id = "k", .secret = {1, 2, 3}};
static const mmx_fleet_key_t forged_ = {.id = "k", .secret = {9}};
static const mmx_fleet_key_t other_ = {.id = "other", .secret = {1, 2, 3}};

static const mmx_test_options_t relayed_ = {
	.keys_a = &key_,
	.key_count_a = 1,
	.keys_b = &key_,
	.key_count_b = 1,
	.relay = true,
};

static void post_(mmx_test_world_t *world, mmx_message_t *message)
{
	mmx_task_post(mmx_peer_task(world->a.peer), message);
}

static void expect_path_lost_(mmx_test_world_t *world, bool connect_failed)
{
	mmx_path_lost_t *lost =
		mmx_test_expect(world, &world->a.entry, MMX_MESSAGE_PATH_LOST);

	CU_ASSERT_EQUAL(lost->exit, world->b.id);
	CU_ASSERT_EQUAL(lost->connect_failed, connect_failed);
	mmx_message_destroy(&lost->message);
}

static uint64_t expect_origin_lost_(mmx_test_world_t *world)
{
	mmx_origin_lost_t *lost =
		mmx_test_expect(world, &world->b.exit, MMX_MESSAGE_ORIGIN_LOST);
	uint64_t connection = lost->connection;

	mmx_message_destroy(&lost->message);
	return connection;
}

/* The exit's side of a fence: it answers with a state. */
static mmx_origin_t answer_fence_(mmx_test_world_t *world,
				  mmx_fence_state_t state)
{
	mmx_fence_t *fence =
		mmx_test_expect(world, &world->b.exit, MMX_MESSAGE_FENCE);
	mmx_fence_reply_t *reply = mmx_new_fence_reply(&fence->attempt, state);
	mmx_origin_t origin = fence->origin;

	CU_ASSERT_EQUAL(fence->exit_incarnation, MMX_TEST_INCARNATION);
	reply->origin = origin;
	reply->purpose = fence->purpose;
	mmx_task_post(origin.task, &reply->message);
	mmx_message_destroy(&fence->message);
	return origin;
}

static void expect_fence_reply_(mmx_test_world_t *world,
				mmx_fence_state_t state)
{
	mmx_fence_reply_t *reply = mmx_test_expect(world, &world->a.entry,
						   MMX_MESSAGE_FENCE_REPLY);

	CU_ASSERT_EQUAL(reply->state, state);
	CU_ASSERT_EQUAL(reply->exit, world->b.id);
	mmx_message_destroy(&reply->message);
}

static void expect_refused_(mmx_test_world_t *world, mmx_reason_t reason)
{
	mmx_response_t *response =
		mmx_test_expect(world, &world->a.entry, MMX_MESSAGE_RESPONSE);

	CU_ASSERT_EQUAL(response->reason, reason);
	CU_ASSERT_FALSE(response->started);
	CU_ASSERT_EQUAL(response->load.target, 0);
	mmx_message_destroy(&response->message);
}

/*
 * Guards against waiting for ever on a connection that no longer carries
 * anything: the path is reported, the fence takes a new connection, the old
 * one is closed once the new one works, and the exit hears of it.
 */
static void test_silent_connection_(void)
{
	mmx_test_options_t options = relayed_;
	mmx_peer_times_t times = mmx_test_times;
	mmx_test_world_t *world;
	mmx_execute_t *execute;
	mmx_origin_t origin;

	/* Longer than what counts as a pause of the process. */
	times.path = 200 * MMX_US_PER_MS;
	options.times = &times;
	world = mmx_test_world_create(&options);
	execute = mmx_test_deliver(world, 1);

	mmx_test_relay_freeze(world->relay);
	expect_path_lost_(world, false);
	post_(world, &mmx_test_fence(1)->message);
	origin = answer_fence_(world, MMX_FENCE_FENCED);
	CU_ASSERT_NOT_EQUAL(origin.connection, execute->origin.connection);
	expect_fence_reply_(world, MMX_FENCE_FENCED);
	CU_ASSERT_EQUAL(
		mmx_test_counter(&world->a, CLOSED, "reason=\"replaced\""), 1);
	mmx_test_relay_thaw(world->relay);
	CU_ASSERT_EQUAL(expect_origin_lost_(world), execute->origin.connection);
	/* The new connection is the main one now. */
	mmx_message_destroy(&execute->message);
	execute = mmx_test_deliver(world, 2);
	CU_ASSERT_EQUAL(execute->origin.connection, origin.connection);
	mmx_message_destroy(&execute->message);
	mmx_test_world_destroy(world);
}

/* Guards against a response that is lost because its attempt came by a
 * connection that has died: after a fence it goes where the fence came from. */
static void test_response_after_fence_(void)
{
	mmx_test_world_t *world = mmx_test_world_create(&relayed_);
	mmx_execute_t *execute = mmx_test_deliver(world, 1);
	mmx_response_t *response;

	mmx_test_relay_cut(world->relay);
	expect_path_lost_(world, false);
	CU_ASSERT_EQUAL(expect_origin_lost_(world), execute->origin.connection);
	/* Until the fence the response has nowhere to go. */
	response = mmx_new_response(&execute->attempt);
	response->origin = execute->origin;
	response->reason = MMX_REASON_TARGET_FAILED;
	mmx_task_post(response->origin.task, &response->message);
	mmx_test_until(world, &world->b, DROPPED, "reason=\"origin-closed\"",
		       1);
	post_(world, &mmx_test_fence(1)->message);
	execute->origin = answer_fence_(world, MMX_FENCE_RUNNING);
	expect_fence_reply_(world, MMX_FENCE_RUNNING);
	mmx_test_answer(execute);
	response =
		mmx_test_expect(world, &world->a.entry, MMX_MESSAGE_RESPONSE);
	CU_ASSERT_EQUAL(response->head->status, 200);
	CU_ASSERT_EQUAL(response->exit, world->b.id);
	mmx_message_destroy(&response->message);
	mmx_test_world_destroy(world);
}

static void post_fence_finished_(const mmx_attempt_id_t *attempt,
				 const mmx_origin_t *origin, bool kept)
{
	mmx_fence_reply_t *reply =
		mmx_new_fence_reply(attempt, MMX_FENCE_FINISHED);

	reply->origin = *origin;
	if (kept) {
		reply->head = mmx_head_create_response(200);
		evbuffer_add(reply->body, "whole", 5);
	}
	mmx_task_post(origin->task, &reply->message);
}

/* Guards against a response that is lost although its fence was answered with
 * running: its head had been sent on the earlier connection, so that the exit
 * sends the whole response once it is complete. */
static void test_whole_response_after_fence_(void)
{
	bool kept[] = {true, false};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kept); i++) {
		mmx_test_world_t *world = mmx_test_world_create(&relayed_);
		mmx_execute_t *execute = mmx_test_deliver(world, 1);
		mmx_response_t *response = mmx_new_response(&execute->attempt);
		mmx_origin_t origin;

		response->origin = execute->origin;
		response->head = mmx_head_create_response(200);
		mmx_task_post(response->origin.task, &response->message);
		response = mmx_test_expect(world, &world->a.entry,
					   MMX_MESSAGE_RESPONSE);
		CU_ASSERT_FALSE(response->body_end);
		mmx_message_destroy(&response->message);
		post_(world, &mmx_test_fence(1)->message);
		origin = answer_fence_(world, MMX_FENCE_RUNNING);
		expect_fence_reply_(world, MMX_FENCE_RUNNING);
		post_fence_finished_(&execute->attempt, &origin, kept[i]);
		response = mmx_test_expect(world, &world->a.entry,
					   MMX_MESSAGE_RESPONSE);
		CU_ASSERT_TRUE(response->body_end);
		CU_ASSERT_EQUAL(response->reason,
				kept[i] ? MMX_REASON_NONE
					: MMX_REASON_ANSWER_TRUNCATED);
		CU_ASSERT_EQUAL(response->started, !kept[i]);
		CU_ASSERT_EQUAL(evbuffer_get_length(response->body),
				kept[i] ? 5 : 0);
		mmx_message_destroy(&response->message);
		mmx_message_destroy(&execute->message);
		mmx_test_world_destroy(world);
	}
}

/* Guards against a fence that queues behind what it is meant to pass: even on
 * a healthy path it takes another connection than the attempt. */
static void test_fence_on_healthy_path_(void)
{
	mmx_test_world_t *world = mmx_test_world_create(&relayed_);
	mmx_execute_t *execute = mmx_test_deliver(world, 1);
	mmx_origin_t origin;

	post_(world, &mmx_test_fence(1)->message);
	origin = answer_fence_(world, MMX_FENCE_FENCED);
	CU_ASSERT_NOT_EQUAL(origin.connection, execute->origin.connection);
	expect_fence_reply_(world, MMX_FENCE_FENCED);
	/* The healthy connection stays the main one. */
	mmx_message_destroy(&execute->message);
	execute = mmx_test_deliver(world, 2);
	CU_ASSERT_NOT_EQUAL(execute->origin.connection, origin.connection);
	mmx_message_destroy(&execute->message);
	mmx_test_world_destroy(world);
}

/*
 * Guards against a false 'unknown': an attempt that was never written to a
 * connection ends as not started, at once while the back-off lasts.
 */
static void test_unreachable_(void)
{
	mmx_test_world_t *world = mmx_test_world_create(&relayed_);

	world->port_of_b = 1; /* nothing listens there */
	post_(world, &mmx_test_execute(1)->message);
	expect_refused_(world, MMX_REASON_PATH_LOST);
	expect_path_lost_(world, true);
	post_(world, &mmx_test_execute(2)->message);
	expect_refused_(world, MMX_REASON_PATH_LOST);
	CU_ASSERT_EQUAL(
		mmx_test_counter(&world->a, REFUSED, "reason=\"connect\""), 1);
	CU_ASSERT_EQUAL(
		mmx_test_counter(&world->a, REFUSED, "reason=\"backoff\""), 1);
	/* A fence tries again sooner, because an outcome depends on it. */
	post_(world, &mmx_test_fence(3)->message);
	expect_path_lost_(world, true);
	CU_ASSERT_EQUAL(
		mmx_test_counter(&world->a, "masticmux_peer_dialed_total", ""),
		2);
	mmx_test_world_destroy(world);
}

/* Guards against asking the other node about an attempt that never left. */
static void test_fence_before_send_(void)
{
	mmx_test_world_t *world = mmx_test_world_create(&relayed_);

	post_(world, &mmx_test_execute(1)->message);
	post_(world, &mmx_test_fence(1)->message);
	expect_fence_reply_(world, MMX_FENCE_FENCED);
	mmx_message_destroy(&mmx_test_deliver(world, 2)->message);
	mmx_test_world_destroy(world);
}

/* Guards against a query of a repeat under the same key that cancels the
 * attempt it asks about, which still waits for a connection, and that is
 * answered as if the attempt's own request had asked. */
static void test_query_before_send_(void)
{
	mmx_test_world_t *world = mmx_test_world_create(&relayed_);
	mmx_fence_t *query = mmx_test_fence(1);

	query->purpose = MMX_FENCE_QUERY;
	post_(world, &mmx_test_execute(1)->message);
	post_(world, &query->message);
	mmx_message_destroy(
		mmx_test_expect(world, &world->b.exit, MMX_MESSAGE_EXECUTE));
	answer_fence_(world, MMX_FENCE_RUNNING);
	expect_fence_reply_(world, MMX_FENCE_RUNNING);
	mmx_test_world_destroy(world);
}

/* Guards against attempts for a restarted node that go to its earlier
 * process: such an attempt needs a new connection. */
static void test_restarted_exit_(void)
{
	mmx_test_world_t *world = mmx_test_world_create(&relayed_);
	mmx_execute_t *execute = mmx_test_deliver(world, 1);

	mmx_message_destroy(&execute->message);
	execute = mmx_test_execute(2);
	execute->exit_incarnation++;
	post_(world, &execute->message);
	mmx_test_until(world, &world->a, "masticmux_peer_dialed_total", "", 2);
	mmx_test_world_destroy(world);
}

typedef struct key_case_t {
	const mmx_fleet_key_t *key; /* of node a; node b has key_ */
	size_t key_count;
	const char *result;
} key_case_t;

/* Guards against requests from a node without the fleet's key. */
static void test_wrong_keys_(void)
{
	const key_case_t cases[] = {
		{&forged_, 1, "reason=\"wrong-digest\""},
		{&other_, 1, "reason=\"unknown-key\""},
		{NULL, 0, "reason=\"unknown-key\""},
	};
	mmx_test_options_t options = relayed_;
	mmx_test_world_t *world;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		options.keys_a = cases[i].key;
		options.key_count_a = cases[i].key_count;
		world = mmx_test_world_create(&options);
		post_(world, &mmx_test_execute(1)->message);
		expect_refused_(world, MMX_REASON_PATH_LOST);
		expect_path_lost_(world, true);
		CU_ASSERT_EQUAL(
			mmx_test_counter(&world->b, SESSION, cases[i].result),
			1);
		CU_ASSERT_EQUAL(world->b.exit.count, 0);
		mmx_test_world_destroy(world);
	}
}

typedef struct raw_case_t {
	const char *what;
	const uint8_t *bytes;
	size_t length;
	const char *reason;  /* counted by node b */
	mmx_time_t greeting; /* time limit of node b */
} raw_case_t;

/* A NULL call without HELLO. */
static const uint8_t early_[] = {
	0x80, 0,    0, 40,   0,	   0, 0, 5, 0, 0, 0, 0, 0, 0, 0,
	2,    0x20, 0, 0x4d, 0x58, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0,
	0,    0,    0, 0,    0,	   0, 0, 0, 0, 0, 0, 0, 0, 0,
};

static const raw_case_t raws_[] = {
	{"garbage", (const uint8_t *)"\x80\0\0\x08garbage!", 12,
	 "reason=\"malformed\"", 10 * MMX_US_PER_S},
	{"HTTP", (const uint8_t *)"GET / HTTP/1.1\r\n\r\n", 18,
	 "reason=\"oversize\"", 10 * MMX_US_PER_S},
	{"oversize record", (const uint8_t *)"\x80\x10\0\x01", 4,
	 "reason=\"oversize\"", 10 * MMX_US_PER_S},
	{"call before HELLO", early_, sizeof(early_), "reason=\"session\"",
	 10 * MMX_US_PER_S},
	{"half a record, then silence", early_, 20, "reason=\"timeout\"",
	 50 * MMX_US_PER_MS},
	{"silence", NULL, 0, "reason=\"timeout\"", 50 * MMX_US_PER_MS},
};

/* Guards against clients that are no nodes: each is closed and counted. */
static void test_raw_clients_(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	mmx_test_options_t options = relayed_;
	mmx_peer_times_t times = mmx_test_times;
	mmx_test_world_t *world;
	struct bufferevent *client;
	size_t i;

	options.times = &times;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	for (i = 0; i < G_N_ELEMENTS(raws_); i++) {
		times.greeting = raws_[i].greeting;
		world = mmx_test_world_create(&options);
		address.sin_port = htons(mmx_peer_port(world->b.peer));
		client = bufferevent_socket_new(world->base, -1,
						BEV_OPT_CLOSE_ON_FREE);
		bufferevent_socket_connect(client, (struct sockaddr *)&address,
					   sizeof(address));
		bufferevent_enable(client, EV_READ | EV_WRITE);
		bufferevent_write(client, raws_[i].bytes, raws_[i].length);
		mmx_test_until(world, &world->b, CLOSED, raws_[i].reason, 1);
		CU_ASSERT_EQUAL(mmx_peer_connection_count(world->b.peer), 0);
		bufferevent_free(client);
		mmx_test_world_destroy(world);
	}
}

/* Guards against an entry whose machine has vanished: without bytes from it
 * the exit is told, although no connection was closed. */
static void test_vanished_entry_(void)
{
	mmx_test_options_t options = relayed_;
	mmx_peer_times_t times = mmx_test_times;
	mmx_test_world_t *world;
	mmx_execute_t *execute;

	times.origin = 50 * MMX_US_PER_MS;
	times.path = 10 * MMX_US_PER_S;
	options.times = &times;
	world = mmx_test_world_create(&options);
	execute = mmx_test_deliver(world, 1);
	mmx_test_relay_freeze(world->relay);
	CU_ASSERT_EQUAL(expect_origin_lost_(world), execute->origin.connection);
	CU_ASSERT_EQUAL(
		mmx_test_counter(&world->b, CLOSED, "reason=\"silent\""), 1);
	mmx_message_destroy(&execute->message);
	mmx_test_world_destroy(world);
}

/* Guards against connections that are kept although nobody needs them, and
 * against a path that is reported lost because one was closed for that. */
static void test_idle_(void)
{
	mmx_test_options_t options = relayed_;
	mmx_peer_times_t times = mmx_test_times;
	mmx_test_world_t *world;
	mmx_message_t *response;

	times.idle = 20 * MMX_US_PER_MS;
	options.times = &times;
	world = mmx_test_world_create(&options);
	mmx_test_answer(mmx_test_deliver(world, 1));
	response =
		mmx_test_expect(world, &world->a.entry, MMX_MESSAGE_RESPONSE);
	mmx_message_destroy(response);
	mmx_test_until(world, &world->a, CLOSED, "reason=\"idle\"", 1);
	CU_ASSERT_EQUAL(world->a.entry.count, 0);
	mmx_test_world_destroy(world);
}

/* Guards against attempts under the name of another node. */
static void test_foreign_attempt_(void)
{
	mmx_test_world_t *world = mmx_test_world_create(&relayed_);
	mmx_execute_t *execute = mmx_test_execute(1);

	execute->attempt.entry++;
	post_(world, &execute->message);
	expect_refused_(world, MMX_REASON_BAD_REQUEST);
	CU_ASSERT_EQUAL(
		mmx_test_counter(&world->b, REFUSED, "reason=\"foreign\""), 1);
	CU_ASSERT_EQUAL(world->b.exit.count, 0);
	mmx_test_world_destroy(world);
}

/* Guards against an unbounded head: it is refused before it is sent, and a
 * target's head that is too long becomes a failure of the target. */
static void test_long_heads_(void)
{
	mmx_test_world_t *world = mmx_test_world_create(&relayed_);
	mmx_execute_t *execute = mmx_test_execute(1);
	mmx_response_t *response;
	char *text = g_strnfill(MMX_HEAD_BYTES_MAX, 'a');

	mmx_head_add(execute->head, "Long", text);
	post_(world, &execute->message);
	expect_refused_(world, MMX_REASON_BAD_REQUEST);
	execute = mmx_test_deliver(world, 2);
	response = mmx_new_response(&execute->attempt);
	response->origin = execute->origin;
	response->head = mmx_head_create_response(200);
	mmx_head_add(response->head, "Long", text);
	mmx_task_post(response->origin.task, &response->message);
	response =
		mmx_test_expect(world, &world->a.entry, MMX_MESSAGE_RESPONSE);
	CU_ASSERT_EQUAL(response->reason, MMX_REASON_TARGET_FAILED);
	CU_ASSERT_TRUE(response->started);
	mmx_message_destroy(&response->message);
	mmx_message_destroy(&execute->message);
	g_free(text);
	mmx_test_world_destroy(world);
}

/*
 * Guards against a pause of this process that is taken for a fault of the
 * path: bytes that arrived meanwhile have only not been read yet.
 */
static void test_paused_process_(void)
{
	mmx_test_options_t options = relayed_;
	mmx_peer_times_t times = mmx_test_times;
	mmx_test_world_t *world;
	int64_t nulls;

	times.path = 200 * MMX_US_PER_MS;
	options.times = &times;
	world = mmx_test_world_create(&options);
	mmx_message_destroy(&mmx_test_deliver(world, 1)->message);
	nulls = mmx_test_counter(&world->a, "masticmux_peer_null_calls_total",
				 "");
	/* The sleep is the fault; nothing is waited for. */
	g_usleep(2 * 200 * G_USEC_PER_SEC / 1000);
	mmx_test_until(world, &world->a, "masticmux_peer_null_calls_total", "",
		       nulls + 3);
	CU_ASSERT_EQUAL(mmx_test_counter(&world->a,
					 "masticmux_peer_path_lost_total", ""),
			0);
	mmx_test_world_destroy(world);
}

/* Guards against two processes that act under one name: the earlier one is
 * refused where the later one is connected. */
static void test_two_processes_(void)
{
	mmx_test_world_t *world = mmx_test_world_create(&relayed_);
	mmx_peer_config_t config = {
		.node_name = world->a.name,
		.incarnation = MMX_TEST_INCARNATION - 1,
		.keys = &key_,
		.key_count = 1,
		.resolver = &world->a.resolver,
		.entry = &world->a.entry.task,
		.exit = &world->a.exit.task,
		.counters = world->a.counters,
		.random = &world->random,
		.times = &mmx_test_times,
	};
	mmx_peer_t *earlier = mmx_peer_create(world->runtime, &config);
	mmx_execute_t *execute = mmx_test_deliver(world, 1);

	mmx_message_destroy(&execute->message);
	execute = mmx_test_execute(2);
	execute->attempt.incarnation--;
	mmx_task_post(mmx_peer_task(earlier), &execute->message);
	mmx_test_until(world, &world->b, SESSION, "reason=\"old-incarnation\"",
		       1);
	CU_ASSERT_EQUAL(world->b.exit.count, 0);
	mmx_peer_destroy(earlier);
	mmx_test_world_destroy(world);
}

static void on_drained_(void *arg)
{
	*(bool *)arg = true;
}

static bool is_set_(void *arg)
{
	return *(bool *)arg;
}

/* Guards against a planned stop that never ends, because the connection waits
 * for the response of a running attempt that a repeat has only asked about. */
static void drain_after_query_(bool at_exit)
{
	mmx_test_world_t *world = mmx_test_world_create(&relayed_);
	mmx_fence_t *query = mmx_test_fence(1);
	bool drained = false;

	query->purpose = MMX_FENCE_QUERY;
	post_(world, &query->message);
	answer_fence_(world, MMX_FENCE_RUNNING);
	expect_fence_reply_(world, MMX_FENCE_RUNNING);
	mmx_peer_drain(at_exit ? world->b.peer : world->a.peer, on_drained_,
		       &drained);
	mmx_test_run(world, is_set_, &drained);
	CU_ASSERT_TRUE(drained);
	mmx_test_world_destroy(world);
}

static void test_drain_after_query_(void)
{
	drain_after_query_(true);
	drain_after_query_(false);
}

/* Guards against a fenced attempt that stays on the books of either side, so
 * that its connection counts as busy for ever: a drain would not end. */
static void test_fence_ends_attempt_(void)
{
	mmx_test_options_t options = relayed_;
	mmx_peer_times_t times = mmx_test_times;
	mmx_test_world_t *world;
	bool drained;
	int side;

	/* Else a time limit would close the connection in the end. */
	times.origin = 3600 * MMX_US_PER_S;
	times.idle = 3600 * MMX_US_PER_S;
	options.times = &times;
	for (side = 0; side < 2; side++) {
		world = mmx_test_world_create(&options);
		mmx_message_destroy(&mmx_test_deliver(world, 1)->message);
		post_(world, &mmx_test_fence(1)->message);
		answer_fence_(world, MMX_FENCE_FENCED);
		expect_fence_reply_(world, MMX_FENCE_FENCED);
		drained = false;
		mmx_peer_drain(side ? world->b.peer : world->a.peer,
			       on_drained_, &drained);
		mmx_test_run(world, is_set_, &drained);
		mmx_test_world_destroy(world);
	}
}

CU_TestInfo mmx_tests_peer_faults[] = {
	{"a silent connection is replaced", test_silent_connection_},
	{"a response follows the fence", test_response_after_fence_},
	{"the whole response follows the fence",
	 test_whole_response_after_fence_},
	{"a fence passes its attempt", test_fence_on_healthy_path_},
	{"a fence ends its attempt on both sides", test_fence_ends_attempt_},
	{"an unreachable node refuses accurately", test_unreachable_},
	{"an unsent attempt is fenced here", test_fence_before_send_},
	{"a query of an unsent attempt leaves it alone",
	 test_query_before_send_},
	{"drain after a query", test_drain_after_query_},
	{"a restarted exit gets a new connection", test_restarted_exit_},
	{"wrong keys are refused", test_wrong_keys_},
	{"clients that are no nodes are closed", test_raw_clients_},
	{"a vanished entry is noticed", test_vanished_entry_},
	{"idle connections are closed", test_idle_},
	{"foreign attempts are refused", test_foreign_attempt_},
	{"long heads are refused", test_long_heads_},
	{"a pause is no fault of the path", test_paused_process_},
	{"the earlier of two processes is refused", test_two_processes_},
	CU_TEST_INFO_NULL,
};
