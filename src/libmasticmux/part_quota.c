#include "private/part_quota.h"

#include <glib.h>
#include <inttypes.h>
#include <math.h>
#include <string.h>

#include "masticmux/gossip.h"
#include "private/entry.h"
#include "private/filter_quota.h"
#include "private/peer.h"
#include "private/quota_log.h"
#include "private/roster.h"

/* The list of nodes changes by many records at once when the roster is read. */
#define NODES_BATCH_TIME_US (50 * MMX_US_PER_MS)
/* Time from the start of a process until it is taken to be the only node if it
 * has read no record: nodes that start together with an empty store read the
 * records of each other within 2 s. */
#define ALONE_AFTER_US (3 * MMX_US_PER_S)

typedef struct ask_call_t ask_call_t;

typedef struct quota_part_t {
	mmx_part_t part;
	mmx_quota_t *quota;
	mmx_quota_log_t *log;
	mmx_timer_t nodes_timer;
	mmx_timer_t alone_timer; /* runs until ALONE_AFTER_US */
	GPtrArray *early;	 /* exchanges that wait for the list of nodes */
	bool nodes_read;	 /* the quota has read a list with records */
	mmx_counter_t *events[MMX_QUOTA_EVENT_COUNT];
	LIST_HEAD(, ask_call_t) calls;
} quota_part_t;

/* A token request without a reply so far. */
struct ask_call_t {
	LIST_ENTRY(ask_call_t) entry;
	quota_part_t *self;
	mmx_node_id_t node;
	uint64_t call;
};

static const char *node_name_(const mmx_node_t *node, mmx_node_id_t id)
{
	mmx_node_info_t info;

	if (id == node->id)
		return node->settings->node_name;
	if (id == 0)
		return NULL;
	return node->node_lookup->find(node, id, &info) ? info.name : "unknown";
}

/* Operations of the quota. */

static void on_reply_(void *arg, mmx_peer_result_t result, const uint8_t *bytes,
		      size_t length)
{
	ask_call_t *call = arg;

	LIST_REMOVE(call, entry);
	mmx_quota_on_answer(call->self->quota, call->call, call->node,
			    result == MMX_PEER_OK ? bytes : NULL, length);
	g_free(call);
}

static void send_ask_(void *context, mmx_node_id_t node, uint64_t number,
		      const uint8_t *bytes, size_t length)
{
	quota_part_t *self = context;
	mmx_peer_place_t place = {.node = node};
	ask_call_t *call = g_new0(ask_call_t, 1);

	call->self = self;
	call->node = node;
	call->call = number;
	LIST_INSERT_HEAD(&self->calls, call, entry);
	mmx_peer_call(self->part.node->peer, &place, MMX_PROCEDURE_QUOTA, bytes,
		      length, MMX_QUOTA_CALL_TIMEOUT_US, on_reply_, call);
}

static void send_answer_(void *context, const mmx_peer_ticket_t *ticket,
			 const uint8_t *bytes, size_t length)
{
	const quota_part_t *self = context;

	mmx_peer_answer(self->part.node->peer, ticket, bytes, length);
}

static void add_roster_node_(void *arg, const mmx_roster_node_t *node)
{
	g_array_append_val((GArray *)arg, node->id);
}

/* A member that is only unreachable may still decide, and other nodes may reach
 * it. */
static void add_member_(void *arg, const mmx_member_t *member)
{
	if (member->state != MMX_MEMBER_DEAD &&
	    member->state != MMX_MEMBER_LEFT)
		g_array_append_val((GArray *)arg, member->id);
}

/* This node is listed as soon as the other nodes can know it. */
static void list_nodes_(void *context, GArray *nodes)
{
	const mmx_node_t *node = ((quota_part_t *)context)->part.node;

	if (node->gossip) {
		mmx_membership_each(mmx_gossip_membership(node->gossip),
				    add_member_, nodes);
		return;
	}
	mmx_roster_foreach(node->roster, add_roster_node_, nodes);
	if (mmx_part_roster_is_listed(node))
		g_array_append_val(nodes, node->id);
}

static bool find_limit_(void *context, const char *account,
			mmx_quota_limit_t *limit)
{
	const mmx_node_t *node = ((quota_part_t *)context)->part.node;
	mmx_account_t parameters;

	if (!node->config_state ||
	    mmx_config_state_is_empty(node->config_state))
		return false;
	*limit = (mmx_quota_limit_t){
		.version = mmx_config_state_applied_offset(node->config_state),
	};
	if (mmx_config_state_get_account(node->config_state, account,
					 &parameters)) {
		limit->rate = parameters.rate;
		limit->burst = parameters.burst;
	}
	return true;
}

static void decided_(void *context, void *request, mmx_quota_result_t result,
		     mmx_time_t retry_after)
{
	(void)context;
	mmx_filter_quota_decided(request, result, retry_after);
}

static void on_event_(void *context, const char *account,
		      mmx_quota_event_t event, mmx_node_id_t id)
{
	static const char *const names[MMX_QUOTA_EVENT_COUNT] = {
		[MMX_QUOTA_OWNER_LOST] = "quota_owner_lost",
		[MMX_QUOTA_ISOLATED] = "quota_isolated",
		[MMX_QUOTA_RESTORED] = "quota_restored",
		[MMX_QUOTA_TOOK_OVER] = "quota_took_over",
	};
	quota_part_t *self = context;
	const mmx_node_t *node = self->part.node;

	mmx_counter_add(self->events[event], 1);
	mmx_log_event(node->log,
		      event == MMX_QUOTA_RESTORED ? MMX_LOG_INFO
						  : MMX_LOG_WARNING,
		      names[event], "account", account, "node",
		      node_name_(node, id), NULL);
}

static const mmx_quota_ops_t quota_ops_ = {
	.send_ask = send_ask_,
	.send_answer = send_answer_,
	.list_nodes = list_nodes_,
	.find_limit = find_limit_,
	.decided = decided_,
	.on_event = on_event_,
};

/* Operations of the filter. */

/* Before any record was read, a node cannot know who owns an account, and all
 * nodes that start together would decide on their own. */
static bool knows_nodes_(const quota_part_t *self)
{
	return self->nodes_read || !mmx_timer_is_set(&self->alone_timer);
}

static mmx_quota_result_t take_(void *context, mmx_exchange_t *exchange,
				mmx_time_t *retry_after)
{
	quota_part_t *self = context;
	const mmx_quota_limit_t limit = {
		.rate = exchange->account_parameters.rate,
		.burst = exchange->account_parameters.burst,
		.version = exchange->configuration_version,
	};

	if (!knows_nodes_(self)) {
		g_ptr_array_add(self->early, exchange);
		return MMX_QUOTA_PENDING;
	}
	return mmx_quota_take(self->quota, exchange->account, &limit, exchange,
			      retry_after);
}

static void release_early_(quota_part_t *self)
{
	GPtrArray *early = self->early;
	guint i;

	if (!knows_nodes_(self) || early->len == 0)
		return;
	self->early = g_ptr_array_new();
	for (i = 0; i < early->len; i++) {
		mmx_exchange_t *exchange = g_ptr_array_index(early, i);
		mmx_time_t retry_after = 0;
		mmx_quota_result_t result = take_(self, exchange, &retry_after);

		if (result != MMX_QUOTA_PENDING)
			mmx_filter_quota_decided(exchange, result, retry_after);
	}
	g_ptr_array_free(early, TRUE);
}

static void cancel_(void *context, mmx_exchange_t *exchange)
{
	const quota_part_t *self = context;

	if (!g_ptr_array_remove(self->early, exchange))
		mmx_quota_cancel(self->quota, exchange->account, exchange);
}

static void give_back_(void *context, const mmx_exchange_t *exchange)
{
	const quota_part_t *self = context;

	mmx_quota_give_back(self->quota, exchange->account,
			    exchange->token_taken_at);
}

static unsigned int get_use_(void *context, const char *account)
{
	const quota_part_t *self = context;

	return mmx_quota_use(self->quota, account);
}

static void on_refused_(void *context, const mmx_exchange_t *exchange)
{
	const quota_part_t *self = context;

	mmx_quota_log_add(self->log, exchange->account, exchange->retry_after);
}

static void describe_(void *context, const char *account,
		      char text[MMX_QUOTA_TEXT_SIZE])
{
	const quota_part_t *self = context;
	mmx_quota_status_t status;
	const char *owner;

	if (!mmx_quota_get_status(self->quota, account, &status)) {
		g_strlcpy(text, "no limit any more", MMX_QUOTA_TEXT_SIZE);
		return;
	}
	owner = node_name_(self->part.node, status.owner);
	g_snprintf(text, MMX_QUOTA_TEXT_SIZE,
		   "use %u/1000 of %g/s, burst %g, version %" PRIu64
		   ", reply %d ms old, owner %s",
		   status.use, status.limit.rate, status.limit.burst,
		   status.limit.version,
		   status.answer_age < 0
			   ? -1
			   : (int)(status.answer_age / MMX_US_PER_MS),
		   owner ? owner : "not reached");
}

static const mmx_entry_quota_ops_t entry_ops_ = {
	.take = take_,
	.cancel = cancel_,
	.give_back = give_back_,
	.get_use = get_use_,
	.on_refused = on_refused_,
	.describe = describe_,
};

/* Writes a line about an account that is over its limit. */
static void write_limited_(void *context, const char *account, uint64_t refused,
			   mmx_time_t retry_after)
{
	const quota_part_t *self = context;
	const mmx_node_t *node = self->part.node;
	mmx_quota_status_t status = {.answer_age = -1};
	char limit[32];
	char burst[32];
	char version[24];
	char use[12];
	char count[24];
	char delay[24];
	char age[24] = "none";

	mmx_quota_get_status(self->quota, account, &status);
	g_snprintf(limit, sizeof(limit), "%g", status.limit.rate);
	g_snprintf(burst, sizeof(burst), "%g", status.limit.burst);
	g_snprintf(version, sizeof(version), "%" PRIu64, status.limit.version);
	g_snprintf(use, sizeof(use), "%u", status.use);
	g_snprintf(count, sizeof(count), "%" PRIu64, refused);
	mmx_log_format_ms(delay, sizeof(delay), retry_after);
	if (status.answer_age >= 0)
		mmx_log_format_ms(age, sizeof(age), status.answer_age);
	mmx_log_event(node->log, MMX_LOG_INFO, "account_limited", "account",
		      account, "refused", count, "limit_per_s", limit, "burst",
		      burst, "configuration", version, "owner",
		      node_name_(node, status.owner), "use_permille", use,
		      "retry_after_ms", delay, "reply_age_ms", age, NULL);
}

static void serve_ask_(void *arg, const mmx_peer_ticket_t *ticket,
		       const uint8_t *bytes, size_t length)
{
	quota_part_t *self = arg;
	mmx_node_t *node = self->part.node;

	if (node->draining || !mmx_quota_on_ask(self->quota, ticket->caller,
						ticket, bytes, length))
		mmx_peer_refuse(node->peer, ticket);
}

static mmx_quota_bounds_t bounds_(const mmx_node_t *node)
{
	return (mmx_quota_bounds_t){
		.window = node->reloadable.account_window,
		.overshoot = node->reloadable.account_overshoot,
		.slack = node->reloadable.account_slack,
	};
}

static quota_part_t *part_(const mmx_node_t *node)
{
	return (quota_part_t *)node->quota_part;
}

void mmx_part_quota_on_settings_changed(mmx_node_t *node)
{
	mmx_quota_bounds_t bounds = bounds_(node);

	if (node->quota_part)
		mmx_quota_set_bounds(part_(node)->quota, &bounds);
}

void mmx_part_quota_on_limits_changed(mmx_node_t *node)
{
	if (node->quota_part)
		mmx_quota_on_limits_changed(part_(node)->quota);
}

/*
 * A node that is stopping refuses token requests, and one without a record gets
 * none. Neither may decide for its own callers beside the node that the others
 * take for the owner.
 */
static void update_nodes_(quota_part_t *self)
{
	const mmx_node_t *node = self->part.node;
	/* With gossip there is no roster, and the list is known at once. */
	bool listed = node->gossip || mmx_part_roster_is_listed(node);
	bool has_others = !node->gossip && mmx_roster_count(node->roster) > 0;

	mmx_quota_set_draining(self->quota,
			       node->draining || (has_others && !listed));
	mmx_quota_on_nodes_changed(self->quota);
	if (listed || has_others)
		self->nodes_read = true;
	release_early_(self);
}

static void on_nodes_timer_(void *arg)
{
	update_nodes_(arg);
}

void mmx_part_quota_on_nodes_changed(mmx_node_t *node)
{
	quota_part_t *self = part_(node);

	if (self && !mmx_timer_is_set(&self->nodes_timer))
		mmx_timer_set(&self->nodes_timer, NODES_BATCH_TIME_US);
}

/* Status. */

typedef struct listing_t {
	const mmx_node_t *node;
	GPtrArray *items; /* of json_t */
} listing_t;

static void add_status_(void *arg, const mmx_quota_status_t *status)
{
	listing_t *listing = arg;
	const char *owner = node_name_(listing->node, status->owner);
	json_int_t age = status->answer_age < 0
				 ? -1
				 : status->answer_age / MMX_US_PER_MS;

	g_ptr_array_add(listing->items,
			json_pack("{s:s,s:f,s:f,s:I,s:s?,s:i,s:f,s:I,s:I}",
				  "name", status->account, "rate",
				  status->limit.rate, "burst",
				  status->limit.burst, "version",
				  (json_int_t)status->limit.version, "owner",
				  owner, "use_permille", (int)status->use,
				  "tokens", status->tokens, "answer_age_ms",
				  age, "waiting", (json_int_t)status->waiting));
}

static int compare_names_(const void *left, const void *right)
{
	json_t *const *a = left;
	json_t *const *b = right;

	return strcmp(json_string_value(json_object_get(*a, "name")),
		      json_string_value(json_object_get(*b, "name")));
}

json_t *mmx_part_quota_status(const mmx_node_t *node, size_t *left_out)
{
	listing_t listing = {node, g_ptr_array_new()};
	json_t *list = json_array();
	size_t i;

	if (node->quota_part)
		mmx_quota_foreach(part_(node)->quota, add_status_, &listing);
	g_ptr_array_sort(listing.items, compare_names_);
	for (i = 0; i < listing.items->len; i++) {
		json_t *item = g_ptr_array_index(listing.items, i);

		if (i < MMX_STATUS_ACCOUNTS_MAX)
			json_array_append_new(list, item);
		else
			json_decref(item);
	}
	*left_out = i - json_array_size(list);
	g_ptr_array_free(listing.items, TRUE);
	return list;
}

/* Life of the part. */

static bool init_(mmx_part_t *part, mmx_error_t *error)
{
	quota_part_t *self = (quota_part_t *)part;
	mmx_node_t *node = part->node;

	(void)error;
	self->quota = mmx_quota_create(
		&(mmx_quota_config_t){
			.clock = node->clock,
			.node = node->id,
			.bounds = bounds_(node),
			.counters = node->counters,
		},
		&quota_ops_, self);
	node->quota_part = part;
	mmx_timer_set(&self->alone_timer, ALONE_AFTER_US);
	update_nodes_(self);
	mmx_peer_register(node->peer, MMX_PROCEDURE_QUOTA, serve_ask_, self);
	mmx_entry_set_quota(node->entry, &entry_ops_, self);
	return true;
}

static void drain_(mmx_part_t *part)
{
	update_nodes_((quota_part_t *)part);
}

static void destroy_(mmx_part_t *part)
{
	quota_part_t *self = (quota_part_t *)part;
	ask_call_t *call;

	part->node->quota_part = NULL;
	mmx_timer_cancel(&self->nodes_timer);
	mmx_timer_cancel(&self->alone_timer);
	g_ptr_array_free(self->early, TRUE);
	mmx_quota_log_destroy(self->log);
	mmx_quota_destroy(self->quota);
	/* The peer task is destroyed later, without calling back. */
	while ((call = LIST_FIRST(&self->calls))) {
		LIST_REMOVE(call, entry);
		g_free(call);
	}
	g_free(self);
}

static const mmx_part_ops_t ops_ = {
	.name = "quota",
	.init = init_,
	.drain = drain_,
	.destroy = destroy_,
};

static void register_counters_(quota_part_t *self, mmx_counters_t *counters)
{
	char labels[40];
	int i;

	for (i = 0; i < MMX_QUOTA_EVENT_COUNT; i++) {
		g_snprintf(labels, sizeof(labels), "event=\"%s\"",
			   mmx_quota_event_string[i]);
		self->events[i] = mmx_counters_get(
			counters, MMX_COUNTER, "masticmux_quota_events_total",
			labels, "Changes of who decides on an account.");
	}
}

mmx_part_t *mmx_part_quota_create(mmx_node_t *node)
{
	quota_part_t *self = g_new0(quota_part_t, 1);

	self->part.ops = &ops_;
	LIST_INIT(&self->calls);
	self->early = g_ptr_array_new();
	mmx_timer_init(&self->nodes_timer, node->clock, on_nodes_timer_, self);
	mmx_timer_init(&self->alone_timer, node->clock, on_nodes_timer_, self);
	self->log = mmx_quota_log_create(node->clock, write_limited_, self);
	register_counters_(self, node->counters);
	return &self->part;
}
