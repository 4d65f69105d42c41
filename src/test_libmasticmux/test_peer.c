/* Loopback tests of the task peer without faults. They wait for conditions. */
#include "suites.h"

#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

#include "peer_world.h"
#include "private/wire.h"

static const mmx_fleet_key_t keys_[2] = {
	{.id = "new", .secret = {1, 2, 3}},
	{.id = "old", .secret = {4, 5, 6}},
};

static const mmx_test_options_t signed_ = {
	.keys_a = keys_,
	.key_count_a = 2,
	.keys_b = keys_,
	.key_count_b = 2,
};

static void exchange_(mmx_test_world_t *world, uint64_t sequence)
{
	mmx_execute_t *execute = mmx_test_deliver(world, sequence);
	mmx_response_t *response;

	CU_ASSERT_STRING_EQUAL(execute->head->uri, "/cards/7");
	CU_ASSERT_EQUAL(execute->exit, world->b.id);
	CU_ASSERT_EQUAL(evbuffer_get_length(execute->body), 5);
	CU_ASSERT_TRUE(execute->body_end);
	mmx_test_answer(execute);
	response =
		mmx_test_expect(world, &world->a.entry, MMX_MESSAGE_RESPONSE);
	CU_ASSERT_EQUAL(response->attempt.sequence, sequence);
	CU_ASSERT_EQUAL(response->reason, MMX_REASON_NONE);
	CU_ASSERT_EQUAL(response->exit, world->b.id);
	CU_ASSERT_EQUAL(response->head->status, 200);
	CU_ASSERT_EQUAL(evbuffer_get_length(response->body), 5);
	mmx_message_destroy(&response->message);
}

/* Guards against requests or responses that are lost or changed on the way,
 * with and without fleet keys, and against a connection per request. */
static void test_exchange_(void)
{
	mmx_test_options_t options = signed_;
	mmx_test_world_t *world;
	size_t key_count;

	for (key_count = 0; key_count <= MMX_FLEET_KEYS_MAX; key_count++) {
		options.key_count_a = key_count;
		options.key_count_b = key_count;
		world = mmx_test_world_create(&options);
		exchange_(world, 1);
		exchange_(world, 2);
		CU_ASSERT_EQUAL(mmx_peer_connection_count(world->a.peer), 1);
		mmx_test_world_destroy(world);
	}
}

static void fill_(struct evbuffer *buffer, size_t length)
{
	uint8_t *data = g_malloc(length);
	size_t i;

	for (i = 0; i < length; i++)
		data[i] = (uint8_t)(i * 7 + i / 251);
	evbuffer_add(buffer, data, length);
	g_free(data);
}

static void check_(struct evbuffer *buffer, size_t length)
{
	struct evbuffer *expected = evbuffer_new();

	fill_(expected, length);
	CU_ASSERT_EQUAL_FATAL(evbuffer_get_length(buffer), length);
	CU_ASSERT_EQUAL(memcmp(evbuffer_pullup(buffer, -1),
			       evbuffer_pullup(expected, -1), length),
			0);
	evbuffer_free(expected);
}

/* Adds the parts that follow to a body until the end. */
static void gather_(mmx_test_world_t *world, mmx_test_inbox_t *inbox,
		    struct evbuffer *body, mmx_direction_t direction, bool end)
{
	mmx_body_t *part;

	while (!end) {
		part = mmx_test_expect(world, inbox, MMX_MESSAGE_BODY);
		CU_ASSERT_EQUAL(part->direction, direction);
		evbuffer_add_buffer(body, part->data);
		end = part->end;
		mmx_message_destroy(&part->message);
	}
}

/* Guards against bodies that lose, repeat or reorder parts when they exceed
 * one record, in both directions. */
static void test_long_bodies_(void)
{
	size_t length = 3 * MMX_WIRE_BODY_MAX + 17;
	mmx_test_world_t *world = mmx_test_world_create(&signed_);
	mmx_execute_t *execute = mmx_test_execute(1);
	mmx_response_t *response;

	evbuffer_drain(execute->body, 5);
	fill_(execute->body, length);
	mmx_task_post(mmx_peer_task(world->a.peer), &execute->message);
	execute = mmx_test_expect(world, &world->b.exit, MMX_MESSAGE_EXECUTE);
	gather_(world, &world->b.exit, execute->body, MMX_TO_TARGET,
		execute->body_end);
	check_(execute->body, length);
	mmx_test_answer(execute);
	response =
		mmx_test_expect(world, &world->a.entry, MMX_MESSAGE_RESPONSE);
	gather_(world, &world->a.entry, response->body, MMX_TO_CALLER,
		response->body_end);
	check_(response->body, length);
	mmx_message_destroy(&response->message);
	mmx_test_world_destroy(world);
}

/* Guards against window credit and evidence that do not find their way. */
static void test_windows_(void)
{
	mmx_test_world_t *world = mmx_test_world_create(&signed_);
	mmx_execute_t *execute = mmx_test_deliver(world, 1);
	mmx_window_t *window = mmx_new_window(MMX_TO_CALLER, 1000);
	mmx_evidence_t *evidence = mmx_new_evidence();

	window->attempt = execute->attempt;
	window->exit = world->b.id;
	mmx_task_post(mmx_peer_task(world->a.peer), &window->message);
	window = mmx_test_expect(world, &world->b.exit, MMX_MESSAGE_WINDOW);
	CU_ASSERT_EQUAL(window->credit, 1000);
	CU_ASSERT_EQUAL(window->origin.connection, execute->origin.connection);
	mmx_message_destroy(&window->message);
	window = mmx_new_window(MMX_TO_TARGET, 2000);
	window->attempt = execute->attempt;
	window->origin = execute->origin;
	mmx_task_post(window->origin.task, &window->message);
	window = mmx_test_expect(world, &world->a.entry, MMX_MESSAGE_WINDOW);
	CU_ASSERT_EQUAL(window->credit, 2000);
	CU_ASSERT_EQUAL(window->direction, MMX_TO_TARGET);
	mmx_message_destroy(&window->message);
	evidence->origin = execute->origin;
	evidence->load.score = 77;
	mmx_task_post(execute->origin.task, &evidence->message);
	evidence =
		mmx_test_expect(world, &world->a.entry, MMX_MESSAGE_EVIDENCE);
	CU_ASSERT_EQUAL(evidence->exit, world->b.id);
	CU_ASSERT_EQUAL(evidence->load.score, 77);
	mmx_message_destroy(&evidence->message);
	mmx_message_destroy(&execute->message);
	mmx_test_world_destroy(world);
}

/* Guards against a cancelled attempt whose response still reaches the entry,
 * and against one that stays on the books. */
static void test_cancel_(void)
{
	mmx_test_world_t *world = mmx_test_world_create(&signed_);
	mmx_execute_t *execute = mmx_test_deliver(world, 1);
	mmx_cancel_t *cancel = mmx_new_cancel(&execute->attempt);

	cancel->exit = world->b.id;
	mmx_task_post(mmx_peer_task(world->a.peer), &cancel->message);
	cancel = mmx_test_expect(world, &world->b.exit, MMX_MESSAGE_CANCEL);
	CU_ASSERT_EQUAL(cancel->attempt.sequence, 1);
	mmx_message_destroy(&cancel->message);
	mmx_test_answer(execute);
	mmx_test_until(world, &world->b, "masticmux_peer_dropped_total",
		       "reason=\"not-served\"", 1);
	exchange_(world, 2);
	mmx_test_world_destroy(world);
}

/* Generic calls. */

typedef struct answer_t {
	bool done;
	mmx_peer_result_t result;
	bool has_bytes;
	char text[32];
} answer_t;

static void on_answer_(void *arg, mmx_peer_result_t result,
		       const uint8_t *bytes, size_t length)
{
	answer_t *answer = arg;

	CU_ASSERT_FALSE(answer->done);
	answer->done = true;
	answer->result = result;
	answer->has_bytes = bytes != NULL;
	if (bytes)
		memcpy(answer->text, bytes, MIN(length, 31));
}

static bool is_done_(void *arg)
{
	return ((answer_t *)arg)->done;
}

static void echo_(void *arg, const mmx_peer_ticket_t *ticket,
		  const uint8_t *bytes, size_t length)
{
	CU_ASSERT_EQUAL(ticket->caller, mmx_node_id("node-a"));
	mmx_peer_answer(arg, ticket, bytes, length);
}

static void keep_(void *arg, const mmx_peer_ticket_t *ticket,
		  const uint8_t *bytes, size_t length)
{
	*(mmx_peer_ticket_t *)arg = *ticket;
}

static void refuse_(void *arg, const mmx_peer_ticket_t *ticket,
		    const uint8_t *bytes, size_t length)
{
	mmx_peer_refuse(arg, ticket);
}

typedef struct call_case_t {
	const char *what;
	const char *text;
	mmx_procedure_t procedure;
	bool by_address;
	mmx_node_id_t node; /* 0: node-b */
	mmx_time_t timeout;
	mmx_peer_result_t result;
} call_case_t;

static const call_case_t calls_[] = {
	{"by id", "ping", MMX_PROCEDURE_STOP, false, 0, 10 * MMX_US_PER_S,
	 MMX_PEER_OK},
	{"empty", "", MMX_PROCEDURE_STOP, false, 0, 10 * MMX_US_PER_S,
	 MMX_PEER_OK},
	{"by address", "ping", MMX_PROCEDURE_STOP, true, 0, 10 * MMX_US_PER_S,
	 MMX_PEER_OK},
	{"refused by the handler", "ping", MMX_PROCEDURE_CLAIM, false, 0,
	 10 * MMX_US_PER_S, MMX_PEER_REFUSED},
	{"without a handler", "ping", MMX_PROCEDURE_CONFIG_LOAD, false, 0,
	 10 * MMX_US_PER_S, MMX_PEER_REFUSED},
	{"never answered", "ping", MMX_PROCEDURE_CONFIG_PULL, false, 0,
	 20 * MMX_US_PER_MS, MMX_PEER_TIMEOUT},
	{"unknown node", "ping", MMX_PROCEDURE_STOP, false, 99,
	 10 * MMX_US_PER_S, MMX_PEER_UNREACHABLE},
};

/* Guards against calls without exactly one result, or with a wrong one; an empty
 * answer is one, and not a failure. */
static void test_calls_(void)
{
	mmx_test_world_t *world = mmx_test_world_create(&signed_);
	mmx_peer_ticket_t ticket = {0};
	mmx_peer_place_t place;
	answer_t answer;
	size_t i;

	mmx_peer_register(world->b.peer, MMX_PROCEDURE_STOP, echo_,
			  world->b.peer);
	mmx_peer_register(world->b.peer, MMX_PROCEDURE_CLAIM, refuse_,
			  world->b.peer);
	mmx_peer_register(world->b.peer, MMX_PROCEDURE_CONFIG_PULL, keep_,
			  &ticket);
	for (i = 0; i < G_N_ELEMENTS(calls_); i++) {
		memset(&answer, 0, sizeof(answer));
		memset(&place, 0, sizeof(place));
		place.node = calls_[i].node ? calls_[i].node : world->b.id;
		if (calls_[i].by_address) {
			place.node = 0;
			strcpy(place.address.host, "127.0.0.1");
			place.address.port = mmx_peer_port(world->b.peer);
		}
		mmx_peer_call(world->a.peer, &place, calls_[i].procedure,
			      (const uint8_t *)calls_[i].text,
			      strlen(calls_[i].text), calls_[i].timeout,
			      on_answer_, &answer);
		CU_ASSERT_FALSE(answer.done);
		mmx_test_run(world, is_done_, &answer);
		if (answer.result != calls_[i].result)
			fprintf(stderr, "%s: %s\n", calls_[i].what,
				mmx_peer_result_string[answer.result]);
		CU_ASSERT_EQUAL(answer.result, calls_[i].result);
		CU_ASSERT_EQUAL(answer.has_bytes, answer.result == MMX_PEER_OK);
		CU_ASSERT_STRING_EQUAL(answer.text, answer.result == MMX_PEER_OK
							    ? calls_[i].text
							    : "");
	}
	/* The answer that comes too late is dropped. */
	mmx_peer_answer(world->b.peer, &ticket, NULL, 0);
	mmx_test_until(world, &world->a, "masticmux_peer_dropped_total",
		       "reason=\"late-reply\"", 1);
	mmx_test_world_destroy(world);
}

/* Guards against a drain that cuts off what is outstanding, or never ends. */
static void on_drained_(void *arg)
{
	((answer_t *)arg)->done = true;
}

static void test_drain_(void)
{
	mmx_test_world_t *world = mmx_test_world_create(&signed_);
	mmx_execute_t *execute = mmx_test_deliver(world, 1);
	mmx_response_t *response;
	answer_t drained = {0};

	mmx_peer_drain(world->b.peer, on_drained_, &drained);
	/* Some NULL calls pass while the attempt is outstanding. */
	mmx_test_until(world, &world->a, "masticmux_peer_null_calls_total", "",
		       10);
	CU_ASSERT_FALSE(drained.done);
	mmx_test_answer(execute);
	response =
		mmx_test_expect(world, &world->a.entry, MMX_MESSAGE_RESPONSE);
	CU_ASSERT_EQUAL(response->head->status, 200);
	mmx_message_destroy(&response->message);
	mmx_test_run(world, is_done_, &drained);
	CU_ASSERT_EQUAL(mmx_peer_connection_count(world->b.peer), 0);
	mmx_test_world_destroy(world);
}

/* Guards against listening on the network without a fleet key. */
static void test_loopback_only_(void)
{
	mmx_test_world_t *world = mmx_test_world_create(&signed_);
	mmx_peer_config_t config = {
		.node_name = "node-c",
		.listen = {.host = "0.0.0.0"},
		.counters = world->a.counters,
		.random = &world->random,
	};
	mmx_peer_t *peer = mmx_peer_create(world->runtime, &config);
	mmx_error_t error;

	CU_ASSERT_FALSE(mmx_peer_start(peer, &error));
	CU_ASSERT_EQUAL(error.code, MMX_ERROR_AUTH);
	mmx_peer_destroy(peer);
	mmx_test_world_destroy(world);
}

CU_TestInfo mmx_tests_peer[] = {
	{"execute and response cross", test_exchange_},
	{"long bodies arrive whole", test_long_bodies_},
	{"windows and evidence cross", test_windows_},
	{"cancel ends an attempt", test_cancel_},
	{"generic calls have one result", test_calls_},
	{"drain finishes what is outstanding", test_drain_},
	{"no key, no network", test_loopback_only_},
	CU_TEST_INFO_NULL,
};
