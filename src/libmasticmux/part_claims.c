/*
 * Part "claims": handles Idempotency-Key claims of this node's entry and of
 * other nodes. Rendezvous hashing selects an owner for each partition among the
 * alive nodes, so that claims of many nodes share one append. If the owner does
 * not reply, this node submits the claim to the log itself: the result depends
 * on the log, not on the owner.
 */
#include <assert.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "masticmux/gossip.h"
#include "masticmux/log_client.h"
#include "private/claims.h"
#include "private/entry.h"
#include "private/node_parts.h"
#include "private/peer.h"

#define OWNER_TIMEOUT_US (1500 * MMX_US_PER_MS)
/* Result (1 byte) and offset of the holder (8 bytes, big-endian). The record of
 * the holder's claim follows. */
#define REPLY_HEADER_BYTES 9
#define READ_RECORDS_MAX 256

typedef struct claims_part_t {
	mmx_part_t part;
	mmx_task_t task;
	mmx_log_client_t *log_client; /* NULL: no log service is set */
	mmx_claims_t *claims;
	bool owners_valid;
	mmx_node_id_t owners[MMX_CLAIM_PARTITIONS];
	mmx_counter_t *forwarded_claims;
	mmx_counter_t *local_fallbacks;
} claims_part_t;

/* A claim in progress. */
typedef struct claim_call_t {
	claims_part_t *self;
	mmx_claim_t claim;
	bool is_remote; /* from another node, not from this node's entry */
	mmx_peer_ticket_t ticket; /* to reply to if is_remote */
} claim_call_t;

typedef struct log_call_t {
	claims_part_t *self;
	unsigned int partition;
} log_call_t;

static log_call_t *new_log_call_(claims_part_t *self, unsigned int partition)
{
	log_call_t *call = g_new(log_call_t, 1);

	call->self = self;
	call->partition = partition;
	return call;
}

static void stream_name_(unsigned int partition, char *name, size_t size)
{
	g_snprintf(name, size, "claims-%02u", partition);
}

static void on_log_appended_(void *arg, mmx_log_result_t result,
			     uint64_t offset)
{
	log_call_t *call = arg;

	mmx_claims_on_appended(call->self->claims, call->partition, result,
			       offset);
	g_free(call);
}

static void on_log_read_(void *arg, mmx_log_result_t result,
			 const mmx_log_records_t *records)
{
	log_call_t *call = arg;

	mmx_claims_on_read(call->self->claims, call->partition, result,
			   records);
	g_free(call);
}

static void append_to_log_(void *context, unsigned int partition,
			   const char *data, size_t length)
{
	claims_part_t *self = context;
	char name[16];

	stream_name_(partition, name, sizeof(name));
	mmx_log_client_append(self->log_client, name, data, length,
			      on_log_appended_, new_log_call_(self, partition));
}

static void read_from_log_(void *context, unsigned int partition, uint64_t from)
{
	claims_part_t *self = context;
	char name[16];

	stream_name_(partition, name, sizeof(name));
	mmx_log_client_read(self->log_client, name, from, READ_RECORDS_MAX, 0,
			    on_log_read_, new_log_call_(self, partition));
}

static const mmx_claims_ops_t claims_ops_ = {append_to_log_, read_from_log_};

static void reply_to_entry_(claims_part_t *self, const mmx_claim_t *claim,
			    mmx_claim_result_t result,
			    const mmx_claim_holder_t *holder)
{
	mmx_claim_reply_t *reply = mmx_new_claim_reply(&claim->attempt, result);

	if (holder)
		reply->holder = *holder;
	mmx_task_post(mmx_entry_task(self->part.node->entry), &reply->message);
}

static void reply_to_peer_(claims_part_t *self, const mmx_peer_ticket_t *ticket,
			   mmx_claim_result_t result,
			   const mmx_claim_holder_t *holder)
{
	GByteArray *bytes = g_byte_array_new();
	uint8_t header[REPLY_HEADER_BYTES] = {(uint8_t)result};
	uint64_t offset = holder ? GUINT64_TO_BE(holder->offset) : 0;
	size_t length = 0;
	char *record;

	memcpy(header + 1, &offset, sizeof(offset));
	g_byte_array_append(bytes, header, sizeof(header));
	if (holder) {
		record = mmx_claims_encode(&holder->claim, 1, &length);
		g_byte_array_append(bytes, (uint8_t *)record, (guint)length);
		g_free(record);
	}
	mmx_peer_answer(self->part.node->peer, ticket, bytes->data, bytes->len);
	g_byte_array_free(bytes, TRUE);
}

static void on_result_(void *arg, mmx_claim_result_t result,
		       const mmx_claim_holder_t *holder)
{
	claim_call_t *call = arg;

	if (call->is_remote)
		reply_to_peer_(call->self, &call->ticket, result, holder);
	else
		reply_to_entry_(call->self, &call->claim, result, holder);
	g_free(call);
}

static void submit_locally_(claim_call_t *call)
{
	if (call->self->log_client)
		mmx_claims_submit(call->self->claims, &call->claim, on_result_,
				  call);
	else
		on_result_(call, MMX_CLAIM_UNAVAILABLE, NULL);
}

typedef struct owner_selection_t {
	mmx_node_id_t *owners;
	uint64_t lowest_rank[MMX_CLAIM_PARTITIONS];
} owner_selection_t;

static void rank_member_(void *arg, const mmx_member_t *member)
{
	owner_selection_t *selection = arg;
	uint64_t rank;
	unsigned int i;

	if (member->state != MMX_MEMBER_ALIVE)
		return;
	for (i = 0; i < MMX_CLAIM_PARTITIONS; i++) {
		rank = XXH64(&member->id, sizeof(member->id), i + 1);
		if (selection->owners[i] != 0 &&
		    rank >= selection->lowest_rank[i])
			continue;
		selection->owners[i] = member->id;
		selection->lowest_rank[i] = rank;
	}
}

static mmx_node_id_t partition_owner_(claims_part_t *self,
				      unsigned int partition)
{
	owner_selection_t selection = {.owners = self->owners};

	if (!self->owners_valid) {
		memset(self->owners, 0, sizeof(self->owners));
		mmx_membership_each(
			mmx_gossip_membership(self->part.node->gossip),
			rank_member_, &selection);
		self->owners_valid = true;
	}
	return self->owners[partition];
}

void mmx_part_claims_on_members_changed(mmx_node_t *node)
{
	if (node->claims_part)
		((claims_part_t *)node->claims_part)->owners_valid = false;
}

/* Decodes the reply of an owner; returns false if it is not valid. */
static bool parse_reply_(const uint8_t *bytes, size_t length,
			 mmx_claim_result_t *result, mmx_claim_holder_t *holder)
{
	mmx_claim_t claims[MMX_CLAIM_BATCH_MAX];
	uint64_t offset;

	if (length < REPLY_HEADER_BYTES || bytes[0] >= MMX_CLAIM_RESULT_COUNT)
		return false;
	*result = (mmx_claim_result_t)bytes[0];
	if (*result == MMX_CLAIM_UNAVAILABLE)
		return true;
	if (mmx_claims_decode((const char *)bytes + REPLY_HEADER_BYTES,
			      length - REPLY_HEADER_BYTES, claims) != 1)
		return false;
	memcpy(&offset, bytes + 1, sizeof(offset));
	holder->offset = GUINT64_FROM_BE(offset);
	holder->claim = claims[0];
	return true;
}

static void on_owner_reply_(void *arg, mmx_peer_result_t peer_result,
			    const uint8_t *bytes, size_t length)
{
	claim_call_t *call = arg;
	mmx_claim_result_t result;
	mmx_claim_holder_t holder = {.offset = 0};

	if (peer_result == MMX_PEER_OK &&
	    parse_reply_(bytes, length, &result, &holder)) {
		on_result_(call, result,
			   result == MMX_CLAIM_UNAVAILABLE ? NULL : &holder);
		return;
	}
	mmx_counter_add(call->self->local_fallbacks, 1);
	submit_locally_(call);
}

static void route_claim_(claims_part_t *self, const mmx_claim_t *claim)
{
	claim_call_t *call = g_new0(claim_call_t, 1);
	mmx_peer_place_t place = {
		.node = partition_owner_(self,
					 mmx_claim_partition(&claim->digest))};
	size_t length;
	char *record;

	call->self = self;
	call->claim = *claim;
	if (place.node == 0 || place.node == self->part.node->id) {
		submit_locally_(call);
		return;
	}
	record = mmx_claims_encode(claim, 1, &length);
	mmx_counter_add(self->forwarded_claims, 1);
	mmx_peer_call(self->part.node->peer, &place, MMX_PROCEDURE_CLAIM,
		      (const uint8_t *)record, length, OWNER_TIMEOUT_US,
		      on_owner_reply_, call);
	g_free(record);
}

static void serve_claim_(void *arg, const mmx_peer_ticket_t *ticket,
			 const uint8_t *bytes, size_t length)
{
	claims_part_t *self = arg;
	mmx_claim_t claims[MMX_CLAIM_BATCH_MAX];
	claim_call_t *call;

	if (mmx_claims_decode((const char *)bytes, length, claims) != 1) {
		mmx_peer_refuse(self->part.node->peer, ticket);
		return;
	}
	call = g_new0(claim_call_t, 1);
	call->self = self;
	call->claim = claims[0];
	call->is_remote = true;
	call->ticket = *ticket;
	submit_locally_(call);
}

static void handle_(mmx_task_t *task, mmx_message_t *message)
{
	claims_part_t *self =
		(claims_part_t *)((char *)task - offsetof(claims_part_t, task));

	assert(message->ops->kind == MMX_MESSAGE_CLAIM);
	route_claim_(self, &((mmx_claim_request_t *)message)->claim);
	mmx_message_destroy(message);
}

static const mmx_task_ops_t task_ops_ = {"claims", handle_};

static bool init_(mmx_part_t *part, mmx_error_t *error)
{
	claims_part_t *self = (claims_part_t *)part;
	mmx_node_t *node = part->node;

	if (node->settings->log_service.port)
		self->log_client = mmx_log_client_create(
			node->base, node->clock, &node->settings->log_service,
			node->counters, mmx_random_next(&node->random));
	self->claims = mmx_claims_create(node->clock, &claims_ops_, self);
	mmx_claims_set_counters(self->claims, node->counters);
	self->forwarded_claims = mmx_counters_get(
		node->counters, MMX_COUNTER, "masticmux_claim_calls_total", "",
		"Claims sent to the owner of their partition.");
	self->local_fallbacks = mmx_counters_get(
		node->counters, MMX_COUNTER, "masticmux_claim_fallbacks_total",
		"", "Claims settled here since the owner gave no answer.");
	mmx_peer_register(node->peer, MMX_PROCEDURE_CLAIM, serve_claim_, self);
	return true;
}

static void destroy_(mmx_part_t *part)
{
	claims_part_t *self = (claims_part_t *)part;

	mmx_task_finish(&self->task);
	mmx_claims_destroy(self->claims);
	mmx_log_client_destroy(self->log_client);
	part->node->claims_part = NULL;
	g_free(self);
}

static const mmx_part_ops_t ops_ = {
	.name = "claims",
	.init = init_,
	.destroy = destroy_,
};

mmx_part_t *mmx_part_claims_create(mmx_node_t *node)
{
	claims_part_t *self = g_new0(claims_part_t, 1);

	self->part.ops = &ops_;
	mmx_task_init(&self->task, &task_ops_, node->runtime);
	node->claims_part = &self->part;
	node->claims = &self->task;
	return &self->part;
}
