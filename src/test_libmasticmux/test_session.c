#include "suites.h"

#include <event2/buffer.h>
#include <glib.h>
#include <string.h>

#include "private/session.h"

static const mmx_fleet_key_t old_ = {.id = "old", .secret = {1}};
static const mmx_fleet_key_t new_ = {.id = "new", .secret = {2}};
static const mmx_fleet_key_t forged_ = {.id = "old", .secret = {3}};
static const uint8_t nonces_[2][MMX_NONCE_BYTES] = {{1}, {2}};

/* One record: its header, and a body in two chains. */
typedef struct record_t {
	mmx_rpc_header_t header;
	uint8_t head[MMX_RPC_HEADER_MAX];
	struct evbuffer *body;
	mmx_record_parts_t parts;
} record_t;

typedef struct pair_t {
	mmx_fleet_key_t keys[2][MMX_FLEET_KEYS_MAX];
	mmx_session_identity_t identity[2];
	mmx_session_t *session[2]; /* client, server */
} pair_t;

static void make_record_(record_t *record, mmx_session_t *sender, bool reply)
{
	memset(record, 0, sizeof(*record));
	record->header.xid = 5;
	record->header.reply = reply;
	record->header.verified = mmx_session_signs(sender);
	record->body = evbuffer_new();
	evbuffer_add_reference(record->body, "first", 5, NULL, NULL);
	evbuffer_add_reference(record->body, "second", 6, NULL, NULL);
	record->parts.head = record->head;
	record->parts.head_size = mmx_rpc_header_size(&record->header);
	record->parts.rest = record->body;
	mmx_session_sign(sender, &record->header, &record->parts);
}

static void free_record_(record_t *record)
{
	evbuffer_free(record->body);
}

static mmx_session_result_t greet_(mmx_session_t *from, mmx_session_t *to,
				   bool reply, mmx_node_id_t claimed)
{
	mmx_session_result_t result;
	mmx_hello_t hello;
	record_t record;

	mmx_session_hello(from, &hello);
	if (claimed)
		hello.node = claimed;
	make_record_(&record, from, reply);
	result = mmx_session_receive_hello(to, &hello, &record.header,
					   &record.parts);
	free_record_(&record);
	return result;
}

static pair_t *create_pair_(const mmx_fleet_key_t *client[2],
			    const mmx_fleet_key_t *server[2], bool loopback)
{
	static const char *const names[2] = {"node-a", "node-b"};
	pair_t *pair = g_new0(pair_t, 1);
	size_t side;
	size_t i;

	for (side = 0; side < 2; side++) {
		const mmx_fleet_key_t **keys = side ? server : client;

		pair->identity[side].keys = pair->keys[side];
		pair->identity[side].node_name = names[side];
		pair->identity[side].incarnation = 100 + side;
		for (i = 0; i < 2 && keys[i]; i++) {
			pair->keys[side][i] = *keys[i];
			pair->identity[side].key_count++;
		}
		pair->session[side] = mmx_session_create(
			&pair->identity[side], side, loopback, nonces_[side]);
	}
	return pair;
}

static pair_t *open_pair_(void)
{
	const mmx_fleet_key_t *keys[2] = {&old_, NULL};
	pair_t *pair = create_pair_(keys, keys, false);

	CU_ASSERT_EQUAL(greet_(pair->session[0], pair->session[1], false, 0),
			MMX_SESSION_OK);
	CU_ASSERT_EQUAL(greet_(pair->session[1], pair->session[0], true, 0),
			MMX_SESSION_OK);
	return pair;
}

static void destroy_pair_(pair_t *pair)
{
	mmx_session_destroy(pair->session[0]);
	mmx_session_destroy(pair->session[1]);
	g_free(pair);
}

typedef struct greeting_t {
	const char *what;
	const mmx_fleet_key_t *client[2];
	const mmx_fleet_key_t *server[2];
	const char *client_name; /* NULL: node-a */
	mmx_node_id_t claimed;	 /* node id in the client's HELLO, or 0 */
	mmx_session_result_t result;
	bool loopback;
} greeting_t;

static const greeting_t greetings_[] = {
	{"same key", {&old_}, {&old_}, NULL, 0, MMX_SESSION_OK, false},
	{"server already has a new key first",
	 {&old_, &new_},
	 {&new_, &old_},
	 NULL,
	 0,
	 MMX_SESSION_OK,
	 false},
	{"client no longer has the old key",
	 {&new_},
	 {&old_, &new_},
	 NULL,
	 0,
	 MMX_SESSION_OK,
	 false},
	{"no keys on loopback", {NULL}, {NULL}, NULL, 0, MMX_SESSION_OK, true},
	{"no keys over the network",
	 {NULL},
	 {NULL},
	 NULL,
	 0,
	 MMX_SESSION_NOT_LOOPBACK,
	 false},
	{"unknown key id",
	 {&new_},
	 {&old_},
	 NULL,
	 0,
	 MMX_SESSION_UNKNOWN_KEY,
	 false},
	{"wrong key under a known id",
	 {&forged_},
	 {&old_},
	 NULL,
	 0,
	 MMX_SESSION_WRONG_DIGEST,
	 false},
	{"client without a key",
	 {NULL},
	 {&old_},
	 NULL,
	 0,
	 MMX_SESSION_UNKNOWN_KEY,
	 true},
	{"server without a key",
	 {&old_},
	 {NULL},
	 NULL,
	 0,
	 MMX_SESSION_UNKNOWN_KEY,
	 true},
	{"id of another name",
	 {&old_},
	 {&old_},
	 NULL,
	 77,
	 MMX_SESSION_IDENTITY_CLASH,
	 false},
	{"name of this node",
	 {&old_},
	 {&old_},
	 "node-b",
	 0,
	 MMX_SESSION_OWN_IDENTITY,
	 false},
};

/* Guards against nodes that are let in without the right key or with an
 * identity that is not theirs. */
static void test_greetings_(void)
{
	const mmx_fleet_key_t *client[2];
	const mmx_fleet_key_t *server[2];
	mmx_session_result_t result;
	const greeting_t *c;
	pair_t *pair;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(greetings_); i++) {
		c = &greetings_[i];
		memcpy(client, c->client, sizeof(client));
		memcpy(server, c->server, sizeof(server));
		pair = create_pair_(client, server, c->loopback);
		if (c->client_name)
			pair->identity[0].node_name = c->client_name;
		result = greet_(pair->session[0], pair->session[1], false,
				c->claimed);
		if (result != c->result)
			fprintf(stderr, "%s: %s\n", c->what,
				mmx_session_result_string[result]);
		CU_ASSERT_EQUAL(result, c->result);
		CU_ASSERT_EQUAL(mmx_session_is_open(pair->session[1]),
				c->result == MMX_SESSION_OK);
		if (result == MMX_SESSION_OK) {
			CU_ASSERT_EQUAL(greet_(pair->session[1],
					       pair->session[0], true, 0),
					MMX_SESSION_OK);
			CU_ASSERT_EQUAL(
				mmx_session_remote(pair->session[0])->node,
				mmx_node_id("node-b"));
		}
		destroy_pair_(pair);
	}
}

typedef struct expectation_t {
	mmx_session_expected_t expected;
	mmx_session_result_t result;
} expectation_t;

/* Guards against a connection to another node or an earlier process than the
 * one that was dialed. Node b has incarnation 101. */
static void test_expectations_(void)
{
	const expectation_t cases[] = {
		{{mmx_node_id("node-b"), 101}, MMX_SESSION_OK},
		{{0, 0}, MMX_SESSION_OK},
		{{mmx_node_id("node-b"), 102}, MMX_SESSION_OLD_INCARNATION},
		{{mmx_node_id("node-c"), 0}, MMX_SESSION_WRONG_NODE},
	};
	const mmx_fleet_key_t *keys[2] = {&old_, NULL};
	pair_t *pair;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		pair = create_pair_(keys, keys, false);
		mmx_session_expect(pair->session[0], &cases[i].expected);
		greet_(pair->session[0], pair->session[1], false, 0);
		CU_ASSERT_EQUAL(
			greet_(pair->session[1], pair->session[0], true, 0),
			cases[i].result);
		destroy_pair_(pair);
	}
}

static mmx_session_result_t verify_(mmx_session_t *to, record_t *record)
{
	mmx_rpc_header_t header;

	if (!mmx_rpc_header_decode(record->head, record->parts.head_size,
				   &header, NULL))
		return MMX_SESSION_RESULT_COUNT;
	return mmx_session_verify(to, &header, &record->parts);
}

/* Guards against records that are repeated, left out, reordered, sent back to
 * their sender, or moved to another session. */
static void test_order_(void)
{
	pair_t *pair = open_pair_();
	pair_t *other = open_pair_();
	record_t records[3];
	size_t i;

	for (i = 0; i < 3; i++)
		make_record_(&records[i], pair->session[0], false);
	CU_ASSERT_EQUAL(verify_(pair->session[0], &records[0]),
			MMX_SESSION_WRONG_DIGEST);
	CU_ASSERT_EQUAL(verify_(pair->session[1], &records[1]),
			MMX_SESSION_SKIPPED);
	CU_ASSERT_EQUAL(verify_(pair->session[1], &records[0]), MMX_SESSION_OK);
	CU_ASSERT_EQUAL(verify_(pair->session[1], &records[0]),
			MMX_SESSION_REPLAYED);
	CU_ASSERT_EQUAL(verify_(pair->session[1], &records[1]), MMX_SESSION_OK);
	CU_ASSERT_EQUAL(verify_(pair->session[1], &records[2]), MMX_SESSION_OK);
	for (i = 0; i < 3; i++)
		free_record_(&records[i]);
	/* The other session differs by the server's nonce only. */
	mmx_session_destroy(other->session[1]);
	other->session[1] = mmx_session_create(
		&other->identity[1], MMX_SESSION_SERVER, false, nonces_[0]);
	mmx_session_destroy(other->session[0]);
	other->session[0] = mmx_session_create(
		&other->identity[0], MMX_SESSION_CLIENT, false, nonces_[0]);
	greet_(other->session[0], other->session[1], false, 0);
	make_record_(&records[0], pair->session[0], false);
	CU_ASSERT_EQUAL(verify_(other->session[1], &records[0]),
			MMX_SESSION_WRONG_DIGEST);
	free_record_(&records[0]);
	destroy_pair_(pair);
	destroy_pair_(other);
}

/* Guards against bytes that the digest does not cover: any changed bit of the
 * header or the body is found. */
static void test_every_bit_(void)
{
	pair_t *pair = open_pair_();
	mmx_session_result_t result;
	record_t record;
	uint8_t *body;
	size_t i;

	make_record_(&record, pair->session[0], false);
	for (i = 0; i < record.parts.head_size * 8; i++) {
		record.head[i / 8] ^= (uint8_t)(1 << i % 8);
		result = verify_(pair->session[1], &record);
		CU_ASSERT_NOT_EQUAL(result, MMX_SESSION_OK);
		record.head[i / 8] ^= (uint8_t)(1 << i % 8);
	}
	evbuffer_free(record.body);
	record.body = evbuffer_new();
	evbuffer_add(record.body, "firstsecond", 11);
	record.parts.rest = record.body;
	body = evbuffer_pullup(record.body, -1);
	for (i = 0; i < 88; i++) {
		body[i / 8] ^= (uint8_t)(1 << i % 8);
		CU_ASSERT_EQUAL(verify_(pair->session[1], &record),
				MMX_SESSION_WRONG_DIGEST);
		body[i / 8] ^= (uint8_t)(1 << i % 8);
	}
	CU_ASSERT_EQUAL(verify_(pair->session[1], &record), MMX_SESSION_OK);
	free_record_(&record);
	destroy_pair_(pair);
}

/* Guards against records that are taken without a signature, with one that
 * nobody can check, or before HELLO. */
static void test_unsigned_(void)
{
	const mmx_fleet_key_t *none[2] = {NULL, NULL};
	const mmx_fleet_key_t *keys[2] = {&old_, NULL};
	pair_t *plain = create_pair_(none, none, true);
	pair_t *early = create_pair_(keys, keys, false);
	pair_t *pair = open_pair_();
	record_t record;

	make_record_(&record, plain->session[0], false);
	CU_ASSERT_EQUAL(verify_(pair->session[1], &record),
			MMX_SESSION_UNSIGNED);
	CU_ASSERT_EQUAL(verify_(plain->session[1], &record), MMX_SESSION_STATE);
	free_record_(&record);
	greet_(plain->session[0], plain->session[1], false, 0);
	make_record_(&record, pair->session[0], false);
	CU_ASSERT_EQUAL(verify_(plain->session[1], &record),
			MMX_SESSION_UNEXPECTED_SIGNATURE);
	CU_ASSERT_EQUAL(verify_(early->session[1], &record), MMX_SESSION_STATE);
	CU_ASSERT_EQUAL(greet_(pair->session[0], pair->session[1], false, 0),
			MMX_SESSION_STATE);
	free_record_(&record);
	destroy_pair_(plain);
	destroy_pair_(early);
	destroy_pair_(pair);
}

CU_TestInfo mmx_tests_session[] = {
	{"greetings are checked", test_greetings_},
	{"the dialed node is the one that answers", test_expectations_},
	{"replay and reordering are refused", test_order_},
	{"every bit is signed", test_every_bit_},
	{"unsigned records are refused", test_unsigned_},
	CU_TEST_INFO_NULL,
};
