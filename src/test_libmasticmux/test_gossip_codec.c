#include "suites.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "masticmux/directory_sync.h"
#include "masticmux/gossip_codec.h"
#include "masticmux/random.h"

#define MUTATIONS 20000

static const mmx_fleet_key_t keys_[] = {
	{.id = "new", .secret = {1, 2, 3}},
	{.id = "a-key-with-15-b", .secret = {4, 5, 6}},
};

static mmx_member_t member_(const char *name)
{
	mmx_member_t member = {
		.incarnation = 1700000000000001ULL,
		.refutation = 2,
		.state = MMX_MEMBER_UNREACHABLE,
		.applied_offset = 99,
		.nodes = {.host = "10.1.2.3", .port = 8081},
		.operators = {.host = "2001:db8::1", .port = 8083},
		.region = "north",
		.zone = "north-a",
	};

	snprintf(member.name, sizeof(member.name), "%s", name);
	member.id = mmx_node_id(name);
	return member;
}

static const mmx_target_record_t target_ = {
	.id = 7,
	.node = 8,
	.incarnation = 9,
	.version = 10,
	.name = "target-1",
	.service = "search",
	.slots = 65535,
	.state = MMX_TARGET_GONE,
};

static void fill_(mmx_gossip_message_t *message)
{
	memset(message, 0, sizeof(*message));
	message->procedure = MMX_GOSSIP_PING_REQ;
	message->xid = 5;
	message->flags = MMX_GOSSIP_WANT_RECORD;
	message->sender = 11;
	message->incarnation = 12;
	message->sequence = 13;
	message->refutation = 14;
	message->recipient = 15;
	message->subject = 16;
	message->offset = 17;
	message->member_count = 1;
	message->members[0] = member_("node-1");
	message->opinion_count = 1;
	message->opinions[0] = (mmx_opinion_t){
		.subject = 21,
		.incarnation = 22,
		.refutation = 23,
		.state = MMX_MEMBER_UNREACHABLE,
		.reporter = 24,
	};
	message->target_count = 1;
	memcpy(&message->targets[0], &target_, sizeof(target_));
}

static void check_head_(const mmx_gossip_message_t *a,
			const mmx_gossip_message_t *b)
{
	CU_ASSERT_EQUAL(a->procedure, b->procedure);
	CU_ASSERT_EQUAL(a->xid, b->xid);
	CU_ASSERT_EQUAL(a->flags, b->flags);
	CU_ASSERT_EQUAL(a->sender, b->sender);
	CU_ASSERT_EQUAL(a->incarnation, b->incarnation);
	CU_ASSERT_EQUAL(a->sequence, b->sequence);
	CU_ASSERT_EQUAL(a->refutation, b->refutation);
	CU_ASSERT_EQUAL(a->recipient, b->recipient);
	CU_ASSERT_EQUAL(a->subject, b->subject);
	CU_ASSERT_EQUAL(a->offset, b->offset);
	CU_ASSERT_EQUAL(a->member_count, b->member_count);
	CU_ASSERT_EQUAL(a->opinion_count, b->opinion_count);
	CU_ASSERT_EQUAL(a->target_count, b->target_count);
}

static void check_member_(const mmx_member_t *a, const mmx_member_t *b)
{
	CU_ASSERT_EQUAL(a->id, b->id);
	CU_ASSERT_EQUAL(a->incarnation, b->incarnation);
	CU_ASSERT_EQUAL(a->refutation, b->refutation);
	CU_ASSERT_EQUAL(a->state, b->state);
	CU_ASSERT_EQUAL(a->applied_offset, b->applied_offset);
	CU_ASSERT_EQUAL(a->nodes.port, b->nodes.port);
	CU_ASSERT_EQUAL(a->operators.port, b->operators.port);
	CU_ASSERT_STRING_EQUAL(a->nodes.host, b->nodes.host);
	CU_ASSERT_STRING_EQUAL(a->operators.host, b->operators.host);
	CU_ASSERT_STRING_EQUAL(a->name, b->name);
	CU_ASSERT_STRING_EQUAL(a->region, b->region);
	CU_ASSERT_STRING_EQUAL(a->zone, b->zone);
}

static void check_opinion_(const mmx_opinion_t *a, const mmx_opinion_t *b)
{
	CU_ASSERT_EQUAL(a->subject, b->subject);
	CU_ASSERT_EQUAL(a->incarnation, b->incarnation);
	CU_ASSERT_EQUAL(a->refutation, b->refutation);
	CU_ASSERT_EQUAL(a->state, b->state);
	CU_ASSERT_EQUAL(a->reporter, b->reporter);
}

static void check_target_(const mmx_target_record_t *a,
			  const mmx_target_record_t *b)
{
	CU_ASSERT_EQUAL(a->id, b->id);
	CU_ASSERT_EQUAL(a->node, b->node);
	CU_ASSERT_EQUAL(a->incarnation, b->incarnation);
	CU_ASSERT_EQUAL(a->version, b->version);
	CU_ASSERT_EQUAL(a->slots, b->slots);
	CU_ASSERT_EQUAL(a->state, b->state);
	CU_ASSERT_STRING_EQUAL(a->name, b->name);
	CU_ASSERT_STRING_EQUAL(a->service, b->service);
}

/* Guards against a field that is lost or moved, with and without a key. */
static void test_round_trip_(void)
{
	static mmx_gossip_message_t message;
	static mmx_gossip_message_t back;
	uint8_t data[MMX_DATAGRAM_MAX];
	size_t k;

	fill_(&message);
	for (k = 0; k < 3; k++) {
		const mmx_fleet_key_t *key = k < 2 ? &keys_[k] : NULL;
		size_t size = mmx_gossip_encode(&message, key, data);

		memset(&back, 0, sizeof(back));
		CU_ASSERT_TRUE_FATAL(size > 0);
		CU_ASSERT_EQUAL(mmx_gossip_decode(data, size, keys_,
						  key ? 2 : 0, &back),
				MMX_GOSSIP_ACCEPTED);
		check_head_(&message, &back);
		check_member_(&message.members[0], &back.members[0]);
		check_opinion_(&message.opinions[0], &back.opinions[0]);
		check_target_(&message.targets[0], &back.targets[0]);
	}
}

/* Guards against sizes that do not match the encoding: datagrams would exceed
 * their limit, or updates would be dropped. */
static void test_sizes_(void)
{
	static mmx_gossip_message_t message;
	uint8_t data[MMX_DATAGRAM_MAX];
	mmx_member_t member = member_("n");
	mmx_target_record_t target = target_;
	size_t empty;
	size_t i;

	fill_(&message);
	message.member_count = 0;
	message.opinion_count = 0;
	message.target_count = 0;
	empty = mmx_gossip_encode(&message, &keys_[1], data);
	CU_ASSERT_TRUE(empty > 0 && empty <= MMX_DATAGRAM_HEADER);
	for (i = 1; i <= MMX_NAME_MAX; i++) {
		memset(member.name, 'x', i);
		memset(target.name, 'y', i);
		message.members[0] = member;
		message.targets[0] = target;
		message.member_count = 1;
		message.target_count = 1;
		CU_ASSERT_EQUAL(mmx_gossip_encode(&message, &keys_[1], data),
				empty + mmx_gossip_member_size(&member) +
					mmx_gossip_target_size(&target));
	}
	message.target_count = MMX_DATAGRAM_TARGETS;
	for (i = 0; i < MMX_DATAGRAM_TARGETS; i++)
		message.targets[i] = target;
	CU_ASSERT_EQUAL(mmx_gossip_encode(&message, &keys_[1], data), 0);
}

typedef struct reject_case_t {
	const char *name;
	size_t at; /* byte that is changed */
	mmx_gossip_reject_t reason;
	int cut; /* bytes taken from the end */
	uint8_t value;
} reject_case_t;

/* Guards against a check that is missing; offsets follow RFC 5531. */
static void test_rejects_(void)
{
	static const reject_case_t cases[] = {
		{"reply instead of call", 7, MMX_GOSSIP_BAD_RPC, 0, 1},
		{"RPC version", 11, MMX_GOSSIP_BAD_RPC, 0, 3},
		{"program", 15, MMX_GOSSIP_BAD_RPC, 0, 0},
		{"program version", 19, MMX_GOSSIP_BAD_RPC, 0, 2},
		{"procedure", 23, MMX_GOSSIP_BAD_RPC, 0, 36},
		{"credential", 27, MMX_GOSSIP_BAD_RPC, 0, 1},
		{"verifier flavor", 35, MMX_GOSSIP_BAD_VERIFIER, 0, 0},
		{"verifier size", 39, MMX_GOSSIP_BAD_VERIFIER, 0, 1},
		{"key id", 44, MMX_GOSSIP_UNKNOWN_KEY, 0, 'N'},
		{"sender", 55, MMX_GOSSIP_BAD_DIGEST, 0, 12},
		{"digest", 73, MMX_GOSSIP_BAD_DIGEST, 0, 0},
		{"body", 100, MMX_GOSSIP_BAD_DIGEST, 0, 9},
		{"cut", 0, MMX_GOSSIP_BAD_DIGEST, 4, 0},
		{"cut in the header", 0, MMX_GOSSIP_BAD_RPC, 1000, 0},
	};
	static mmx_gossip_message_t message;
	uint8_t data[MMX_DATAGRAM_MAX];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		size_t size;

		fill_(&message);
		size = mmx_gossip_encode(&message, &keys_[0], data);
		data[cases[i].at] = cases[i].value;
		size -= (size_t)cases[i].cut < size ? (size_t)cases[i].cut
						    : size;
		CU_ASSERT_EQUAL(
			mmx_gossip_decode(data, size, keys_, 2, &message),
			cases[i].reason);
	}
	CU_ASSERT_EQUAL(mmx_gossip_decode(data, MMX_DATAGRAM_MAX + 1, keys_, 2,
					  &message),
			MMX_GOSSIP_TOO_LONG);
}

/* Guards against malformed datagrams of a holder of the key, or in a fleet
 * without keys, that crash the decoder or pass as valid records. */
static void test_mutations_(void)
{
	static mmx_gossip_message_t message;
	uint8_t original[MMX_DATAGRAM_MAX];
	uint8_t data[MMX_DATAGRAM_MAX];
	size_t reasons[MMX_GOSSIP_REJECT_COUNT] = {0};
	mmx_random_t random;
	size_t size;
	int i;

	mmx_random_seed(&random, 31);
	fill_(&message);
	size = mmx_gossip_encode(&message, NULL, original);
	for (i = 0; i < MUTATIONS; i++) {
		size_t length = size;
		int changes = 1 + (int)mmx_random_below(&random, 4);
		mmx_gossip_reject_t reason;
		size_t t;

		memcpy(data, original, size);
		while (changes-- > 0)
			data[mmx_random_below(&random, size)] =
				(uint8_t)mmx_random_next(&random);
		if (mmx_random_below(&random, 3) == 0)
			length = mmx_random_below(&random, size + 8);
		reason = mmx_gossip_decode(data, length, NULL, 0, &message);
		CU_ASSERT_TRUE_FATAL(reason < MMX_GOSSIP_REJECT_COUNT);
		reasons[reason]++;
		if (reason != MMX_GOSSIP_ACCEPTED)
			continue;
		for (t = 0; t < message.target_count; t++)
			CU_ASSERT_TRUE(message.targets[t].slots > 0 &&
				       message.targets[t].name[0]);
	}
	CU_ASSERT_TRUE(reasons[MMX_GOSSIP_BAD_RPC] > 100);
	CU_ASSERT_TRUE(reasons[MMX_GOSSIP_BAD_VERIFIER] > 100);
	CU_ASSERT_TRUE(reasons[MMX_GOSSIP_BAD_BODY] > 100);
	CU_ASSERT_TRUE(reasons[MMX_GOSSIP_BAD_RECORD] > 100);
	CU_ASSERT_TRUE(reasons[MMX_GOSSIP_TRAILING_BYTES] > 10);
}

typedef struct window_step_t {
	uint64_t sequence;
	bool accepted;
} window_step_t;

/* Guards against replayed datagrams and against rejecting reordered ones. */
static void test_replay_(void)
{
	static const window_step_t steps[] = {
		{1, true},	    {1, false},	   {3, true},	 {2, true},
		{2, false},	    {100, true},   {36, false},	 {37, true},
		{37, false},	    {99, true},	   {164, true},	 {100, false},
		{101, true},	    {5000, true},  {164, false}, {4999, true},
		{UINT64_MAX, true}, {5001, false},
	};
	mmx_clock_t *clock = mmx_clock_create_paused();
	mmx_replay_t *replay = mmx_replay_create(clock);
	size_t i;

	for (i = 0; i < sizeof(steps) / sizeof(steps[0]); i++)
		CU_ASSERT_EQUAL(
			mmx_replay_accept(replay, 1, 1, steps[i].sequence),
			steps[i].accepted);
	CU_ASSERT_TRUE(mmx_replay_accept(replay, 1, 2, 1));
	CU_ASSERT_TRUE(mmx_replay_accept(replay, 2, 1, 1));
	CU_ASSERT_FALSE(mmx_replay_accept(replay, 2, 1, 1));
	mmx_replay_destroy(replay);
	mmx_clock_destroy(clock);
}

static mmx_sync_message_t *sync_(mmx_sync_kind_t kind)
{
	mmx_sync_message_t *message = mmx_sync_message_create(kind, 42);
	static const mmx_sync_hash_t hashes[] = {{3, 1}, {3, 2}, {300, 4}};
	mmx_target_record_t target = target_;
	mmx_member_t member = member_("node-1");

	message->digests[5] = 6;
	if (kind == MMX_SYNC_DIGESTS)
		return message;
	message->listed[3] = true;
	message->listed[7] = true;
	message->listed[300] = true;
	g_array_append_vals(message->hashes, hashes, 3);
	if (kind == MMX_SYNC_RECORDS) {
		g_array_append_val(message->members, member);
		g_array_append_val(message->targets, target);
	}
	return message;
}

static void check_sync_(const mmx_sync_message_t *a,
			const mmx_sync_message_t *b)
{
	const mmx_sync_hash_t *left = (void *)a->hashes->data;
	const mmx_sync_hash_t *right = (void *)b->hashes->data;
	guint i;

	CU_ASSERT_EQUAL(a->kind, b->kind);
	CU_ASSERT_EQUAL(a->salt, b->salt);
	CU_ASSERT_EQUAL(memcmp(a->listed, b->listed, sizeof(a->listed)), 0);
	if (a->kind == MMX_SYNC_DIGESTS)
		CU_ASSERT_EQUAL(
			memcmp(a->digests, b->digests, sizeof(a->digests)), 0);
	CU_ASSERT_EQUAL_FATAL(a->hashes->len, b->hashes->len);
	for (i = 0; i < a->hashes->len; i++) {
		CU_ASSERT_EQUAL(left[i].bucket, right[i].bucket);
		CU_ASSERT_EQUAL(left[i].hash, right[i].hash);
	}
	CU_ASSERT_EQUAL_FATAL(a->members->len, b->members->len);
	if (a->members->len)
		check_member_((void *)a->members->data,
			      (void *)b->members->data);
	CU_ASSERT_EQUAL_FATAL(a->targets->len, b->targets->len);
	if (a->targets->len)
		check_target_((void *)a->targets->data,
			      (void *)b->targets->data);
}

/* Guards against sync messages that are misread, exceed their limit or crash
 * the decoder. */
static void test_sync_(void)
{
	mmx_random_t random;
	int k;
	int i;

	mmx_random_seed(&random, 17);
	for (k = 0; k < MMX_SYNC_KIND_COUNT; k++) {
		mmx_sync_message_t *message = sync_((mmx_sync_kind_t)k);
		mmx_sync_message_t *back;
		size_t size = 0;
		uint8_t *data = mmx_sync_encode(message, 4096, &size);
		uint8_t copy[4096];

		CU_ASSERT_PTR_NOT_NULL_FATAL(data);
		if (!data)
			return;
		back = mmx_sync_decode(data, size);
		CU_ASSERT_PTR_NOT_NULL_FATAL(back);
		if (back)
			check_sync_(message, back);
		CU_ASSERT_PTR_NULL(
			mmx_sync_encode(message, size - 4, &(size_t){0}));
		CU_ASSERT_PTR_NULL(mmx_sync_decode(data, size - 4));
		mmx_sync_message_destroy(back);
		for (i = 0; i < MUTATIONS / 4; i++) {
			memcpy(copy, data, size);
			copy[mmx_random_below(&random, size)] ^=
				(uint8_t)(1 + mmx_random_below(&random, 255));
			mmx_sync_message_destroy(mmx_sync_decode(
				copy, mmx_random_below(&random, size + 1)));
		}
		mmx_sync_message_destroy(message);
		free(data);
	}
}

CU_TestInfo mmx_tests_gossip_codec[] = {
	{"round trip", test_round_trip_},
	{"sizes of updates", test_sizes_},
	{"rejected datagrams", test_rejects_},
	{"20,000 malformed datagrams", test_mutations_},
	{"replay window", test_replay_},
	{"sync messages", test_sync_},
	CU_TEST_INFO_NULL,
};
