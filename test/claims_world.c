#include "claims_world.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "private/claims.h"

/* As part_claims.c and the log client. */
#define OWNER_TIMEOUT_US (1500 * MMX_US_PER_MS)
#define LOG_TIMEOUT_US (2 * MMX_US_PER_S)
#define READ_RECORDS_MAX 256
/* One way to the log; more while it is slow. */
#define LOG_DELAY_MAX_US (4 * MMX_US_PER_MS)
#define LOG_SLOW_MAX_US (1500 * MMX_US_PER_MS)
/* A late append takes effect this long after its caller gave up. */
#define LOG_LATE_MAX_US (4 * MMX_US_PER_S)
#define PAUSED_RETRY_US (20 * MMX_US_PER_MS)
/* Until then the others take a node that died for an owner. */
#define DEAD_AFTER_US (5 * MMX_US_PER_S)
/* Share of claims that a node sends to an owner that others don't see. */
#define OTHER_OWNER_SHARE 0.1

typedef struct claims_node_t {
	node_task_t task; /* first */
	mmx_claims_t *claims;
} claims_node_t;

typedef struct claims_world_t {
	GPtrArray *streams[MMX_CLAIM_PARTITIONS]; /* of GBytes */
	GPtrArray *calls;
	GHashTable *keys; /* of claims_key_t */
	mmx_time_t down_until;
	mmx_time_t slow_until;
	mmx_time_t lost_until;
	mmx_time_t late_until;
	mmx_time_t died[NODES_MAX]; /* + 1; 0: never */
} claims_world_t;

/* --- log --------------------------------------------------------------- */

typedef struct log_call_t {
	node_t *node;
	mmx_incarnation_t incarnation;
	unsigned int partition;
	mmx_log_result_t result;
	uint64_t from;	 /* of a read, or the offset of an append */
	GBytes *data;	 /* of an append; NULL: a read */
	mmx_time_t back; /* from the effect to the answer */
} log_call_t;

static void free_log_call_(void *arg)
{
	log_call_t *call = arg;

	if (call->data)
		g_bytes_unref(call->data);
	g_free(call);
}

static void answer_read_(const log_call_t *call)
{
	const GPtrArray *stream =
		call->node->world->claims->streams[call->partition];
	mmx_log_record_t list[READ_RECORDS_MAX];
	mmx_log_records_t records = {
		.first = 1, .next = stream->len + 1, .records = list};
	uint64_t offset = MAX(call->from, 1);
	gsize length;

	for (; offset <= stream->len && records.count < READ_RECORDS_MAX;
	     offset++) {
		mmx_log_record_t *record = &list[records.count++];

		record->offset = offset;
		record->data = g_bytes_get_data(
			g_ptr_array_index(stream, offset - 1), &length);
		record->length = length;
	}
	mmx_claims_on_read(call->node->claims->claims, call->partition,
			   call->result,
			   call->result == MMX_LOG_OK ? &records : NULL);
}

static void answer_(void *arg)
{
	log_call_t *call = arg;
	node_t *node = call->node;

	if (node->up && node->incarnation == call->incarnation) {
		if (node->paused) {
			world_after(node->world, PAUSED_RETRY_US, answer_, call,
				    free_log_call_);
			return;
		}
		if (call->data)
			mmx_claims_on_appended(node->claims->claims,
					       call->partition, call->result,
					       call->from);
		else
			answer_read_(call);
	}
	free_log_call_(call);
}

static void add_record_(log_call_t *call)
{
	world_t *world = call->node->world;
	GPtrArray *stream = world->claims->streams[call->partition];

	g_ptr_array_add(stream, g_bytes_ref(call->data));
	call->from = stream->len;
	world->stats.claim_records++;
	world_trace(world, 0, "log claims-%02u has record %u of %s",
		    call->partition, stream->len, call->node->name);
}

/* An append that takes effect after its caller gave up. */
static void take_effect_(void *arg)
{
	log_call_t *call = arg;

	add_record_(call);
	free_log_call_(call);
}

static mmx_time_t way_(world_t *world)
{
	return world_uniform(world, 100,
			     world_now(world) < world->claims->slow_until
				     ? LOG_SLOW_MAX_US
				     : LOG_DELAY_MAX_US);
}

static void arrive_(void *arg)
{
	log_call_t *call = arg;
	world_t *world = call->node->world;

	if (call->data)
		add_record_(call);
	world_after(world, call->back, answer_, call, free_log_call_);
}

static log_call_t *new_log_call_(node_t *node, unsigned int partition)
{
	log_call_t *call = g_new0(log_call_t, 1);

	call->node = node;
	call->incarnation = node->incarnation;
	call->partition = partition;
	return call;
}

/* The caller of the append hears nothing by its time-out. */
static void give_up_later_(log_call_t *call)
{
	call->result = MMX_LOG_UNKNOWN;
	world_after(call->node->world, LOG_TIMEOUT_US, answer_, call,
		    free_log_call_);
}

static void start_(log_call_t *call)
{
	world_t *world = call->node->world;
	const claims_world_t *claims = world->claims;
	mmx_time_t now = world_now(world);
	mmx_time_t there = way_(world);
	log_call_t *effect;

	call->back = way_(world);
	if (now < claims->down_until) {
		give_up_later_(call);
		return;
	}
	if (!call->data) {
		if (there + call->back > LOG_TIMEOUT_US)
			give_up_later_(call);
		else
			world_after(world, there, arrive_, call,
				    free_log_call_);
		return;
	}
	if (now < claims->late_until && world_unit(world) < 0.5)
		there = LOG_TIMEOUT_US +
			world_uniform(world, 0, LOG_LATE_MAX_US);
	else if (now < claims->lost_until && world_unit(world) < 0.5)
		call->back = LOG_TIMEOUT_US;
	if (there + call->back <= LOG_TIMEOUT_US) {
		world_after(world, there, arrive_, call, free_log_call_);
		return;
	}
	effect = new_log_call_(call->node, call->partition);
	effect->data = g_bytes_ref(call->data);
	world_after(world, there, take_effect_, effect, free_log_call_);
	give_up_later_(call);
}

static void append_(void *context, unsigned int partition, const char *data,
		    size_t length)
{
	log_call_t *call = new_log_call_(context, partition);

	call->data = g_bytes_new(data, length);
	start_(call);
}

static void read_(void *context, unsigned int partition, uint64_t from)
{
	log_call_t *call = new_log_call_(context, partition);

	call->from = from;
	start_(call);
}

static const mmx_claims_ops_t log_ops_ = {append_, read_};

void claims_log_fault(world_t *world, const char *mode, mmx_time_t length)
{
	claims_world_t *claims = world->claims;
	mmx_time_t until = world_now(world) + length;

	world_trace(world, 0, "log: %s for %.3f s", mode,
		    (double)length / MMX_US_PER_S);
	if (strcmp(mode, "down") == 0)
		claims->down_until = until;
	else if (strcmp(mode, "slow") == 0)
		claims->slow_until = until;
	else if (strcmp(mode, "lost") == 0)
		claims->lost_until = until;
	else
		claims->late_until = until;
}

/* --- claims of the entries --------------------------------------------- */

/* A claim on its way; freed with the world. */
typedef struct claim_call_t {
	node_t *node;
	mmx_incarnation_t incarnation;
	node_t *owner;
	mmx_claim_t claim;
	mmx_claim_result_t result;
	mmx_claim_holder_t holder;
	bool done; /* the owner's answer is of no use any more */
} claim_call_t;

static bool is_asking_(const claim_call_t *call)
{
	return call->node->up && call->node->incarnation == call->incarnation;
}

static void answer_entry_(claim_call_t *call, mmx_claim_result_t result,
			  const mmx_claim_holder_t *holder)
{
	mmx_claim_reply_t *reply =
		mmx_new_claim_reply(&call->claim.attempt, result);

	if (holder)
		reply->holder = *holder;
	world_trace(call->node->world, 0, "claim of a%llu at %s: %s (%llu)",
		    (unsigned long long)call->claim.attempt.sequence,
		    call->node->name, mmx_claim_result_string[result],
		    holder ? (unsigned long long)holder->offset : 0);
	mmx_task_post(mmx_entry_task(call->node->entry), &reply->message);
}

static void on_settled_(void *arg, mmx_claim_result_t result,
			const mmx_claim_holder_t *holder)
{
	answer_entry_(arg, result, holder);
}

static void deliver_reply_(void *arg)
{
	claim_call_t *call = arg;

	if (!is_asking_(call) || call->done)
		return;
	if (call->node->paused) {
		world_after(call->node->world, PAUSED_RETRY_US, deliver_reply_,
			    call, NULL);
		return;
	}
	call->done = true;
	answer_entry_(call, call->result,
		      call->result == MMX_CLAIM_UNAVAILABLE ? NULL
							    : &call->holder);
}

static void on_owner_settled_(void *arg, mmx_claim_result_t result,
			      const mmx_claim_holder_t *holder)
{
	claim_call_t *call = arg;
	world_t *world = call->node->world;

	call->result = result;
	if (holder)
		call->holder = *holder;
	if (!world->lost[call->owner->index][call->node->index])
		world_after(world, net_delay(world, call->owner, call->node),
			    deliver_reply_, call, NULL);
}

static void serve_(void *arg)
{
	claim_call_t *call = arg;

	if (!call->owner->up)
		return;
	if (call->owner->paused) {
		world_after(call->node->world, PAUSED_RETRY_US, serve_, call,
			    NULL);
		return;
	}
	mmx_claims_submit(call->owner->claims->claims, &call->claim,
			  on_owner_settled_, call);
}

static void on_owner_timeout_(void *arg)
{
	claim_call_t *call = arg;

	if (!is_asking_(call) || call->done)
		return;
	if (call->node->paused) {
		world_after(call->node->world, PAUSED_RETRY_US,
			    on_owner_timeout_, call, NULL);
		return;
	}
	call->done = true;
	mmx_claims_submit(call->node->claims->claims, &call->claim, on_settled_,
			  call);
}

/* Rendezvous hashing over the nodes that seem alive. */
static node_t *owner_(world_t *world, unsigned int partition)
{
	const claims_world_t *claims = world->claims;
	node_t *best = NULL;
	uint64_t best_rank = 0;
	uint64_t rank;
	unsigned int i;

	for (i = 0; i < world->node_count; i++) {
		node_t *node = &world->nodes[i];

		if (!node->up &&
		    world_now(world) - claims->died[i] > DEAD_AFTER_US)
			continue;
		rank = XXH64(&node->id, sizeof(node->id), partition + 1);
		if (best && rank >= best_rank)
			continue;
		best = node;
		best_rank = rank;
	}
	if (world_unit(world) < OTHER_OWNER_SHARE)
		best = &world->nodes[mmx_random_below(&world->random,
						      world->node_count)];
	return best;
}

static void on_claim_(node_t *node, const mmx_claim_t *claim)
{
	world_t *world = node->world;
	claim_call_t *call = g_new0(claim_call_t, 1);

	g_ptr_array_add(world->claims->calls, call);
	call->node = node;
	call->incarnation = node->incarnation;
	call->claim = *claim;
	call->owner = owner_(world, mmx_claim_partition(&claim->digest));
	if (!call->owner || call->owner == node) {
		mmx_claims_submit(node->claims->claims, claim, on_settled_,
				  call);
		return;
	}
	if (!world->lost[node->index][call->owner->index])
		world_after(world, net_delay(world, node, call->owner), serve_,
			    call, NULL);
	world_after(world, OWNER_TIMEOUT_US, on_owner_timeout_, call, NULL);
}

static void handle_(mmx_task_t *task, mmx_message_t *message)
{
	g_assert(message->ops->kind == MMX_MESSAGE_CLAIM);
	on_claim_(((node_task_t *)task)->node,
		  &((mmx_claim_request_t *)message)->claim);
	mmx_message_destroy(message);
}

static const mmx_task_ops_t task_ops_ = {"claims", handle_};

/* --- life -------------------------------------------------------------- */

claims_world_t *claims_world_create(void)
{
	claims_world_t *claims = g_new0(claims_world_t, 1);
	unsigned int i;

	for (i = 0; i < MMX_CLAIM_PARTITIONS; i++)
		claims->streams[i] = g_ptr_array_new_with_free_func(
			(GDestroyNotify)g_bytes_unref);
	claims->calls = g_ptr_array_new_with_free_func(g_free);
	claims->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return claims;
}

void claims_world_destroy(claims_world_t *claims)
{
	unsigned int i;

	for (i = 0; i < MMX_CLAIM_PARTITIONS; i++)
		g_ptr_array_free(claims->streams[i], TRUE);
	g_ptr_array_free(claims->calls, TRUE);
	g_hash_table_destroy(claims->keys);
	g_free(claims);
}

void claims_init_node(node_t *node)
{
	node->claims = g_new0(claims_node_t, 1);
	node->claims->task.node = node;
	mmx_task_init(&node->claims->task.task, &task_ops_, node->runtime);
	node->claims->claims = mmx_claims_create(
		mmx_runtime_clock(node->runtime), &log_ops_, node);
}

void claims_finish_node(node_t *node)
{
	node->world->claims->died[node->index] = world_now(node->world);
	mmx_task_finish(&node->claims->task.task);
	mmx_claims_destroy(node->claims->claims);
	g_free(node->claims);
	node->claims = NULL;
}

mmx_task_t *claims_task(node_t *node)
{
	return &node->claims->task.task;
}

/* --- fences ------------------------------------------------------------ */

uint64_t claims_fence_key(const mmx_message_t *message)
{
	const mmx_attempt_id_t *attempt;
	mmx_fence_purpose_t purpose;

	if (message->ops->kind == MMX_MESSAGE_FENCE) {
		attempt = &((const mmx_fence_t *)message)->attempt;
		purpose = ((const mmx_fence_t *)message)->purpose;
	} else {
		attempt = &((const mmx_fence_reply_t *)message)->attempt;
		purpose = ((const mmx_fence_reply_t *)message)->purpose;
	}
	if (purpose == MMX_FENCE_RECOVER)
		return attempt->sequence;
	return (attempt->entry ^ attempt->incarnation << 24 ^
		attempt->sequence) |
	       1ULL << 63;
}

bool claims_is_own_fence(const mmx_message_t *message)
{
	return message->ops->kind == MMX_MESSAGE_FENCE &&
	       ((const mmx_fence_t *)message)->purpose == MMX_FENCE_RECOVER;
}

/* --- keys -------------------------------------------------------------- */

const char *claims_key(request_t *request, const char *name)
{
	GHashTable *keys = request->world->claims->keys;
	claims_key_t *key = name ? g_hash_table_lookup(keys, name) : NULL;

	if (!key) {
		key = g_new0(claims_key_t, 1);
		if (name)
			g_strlcpy(key->name, name, sizeof(key->name));
		else
			g_snprintf(key->name, sizeof(key->name), "request-%llu",
				   (unsigned long long)request->id);
		g_hash_table_insert(keys, key->name, key);
	}
	key->requests++;
	request->key = key;
	world_trace(request->world, request->id, "has key %s", key->name);
	return key->name;
}

void claims_executed(const request_t *request, const target_t *target)
{
	claims_key_t *key = request->key;

	if (!key)
		return;
	if (!key->runner)
		key->runner = request;
	if (++key->executions > 1)
		world_break(request->world, GUARANTEE_ONCE, request->id,
			    "key %s runs for the %u. time, at %s; first for %u",
			    key->name, key->executions, target->name,
			    (unsigned int)key->runner->id);
}

const request_t *claims_runner(const request_t *request)
{
	if (request->reason == MMX_REASON_DUPLICATE_COMPLETED && request->key &&
	    request->key->runner)
		return request->key->runner;
	return request;
}

void claims_check_answer(const request_t *request)
{
	const claims_key_t *key = request->key;
	bool completed = request->reason == MMX_REASON_DUPLICATE_COMPLETED;
	bool in_progress = request->reason == MMX_REASON_DUPLICATE_IN_PROGRESS;

	if ((completed || in_progress) && (!key || key->requests < 2)) {
		world_break(request->world, GUARANTEE_REFUSAL, request->id,
			    "duplicate of no other request");
		return;
	}
	if (completed && (!key->runner || key->runner == request))
		world_break(request->world, GUARANTEE_REFUSAL, request->id,
			    "duplicate-completed, but no other request of %s "
			    "has run",
			    key->name);
	if (request->reason == MMX_REASON_CLAIM_UNAVAILABLE && !key)
		world_break(request->world, GUARANTEE_REFUSAL, request->id,
			    "claim-unavailable without a key");
}
