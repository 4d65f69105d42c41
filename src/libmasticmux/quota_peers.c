/* Calls to other nodes, their failures, and the share of the fleet that answers
 * this node. */
#include <string.h>

#include "private/quota_internal.h"

mmx_quota_peer_t *mmx_quota_get_peer_(mmx_quota_t *quota, mmx_node_id_t node)
{
	mmx_quota_peer_t *peer = g_hash_table_lookup(quota->peers, &node);

	if (peer)
		return peer;
	peer = g_new0(mmx_quota_peer_t, 1);
	peer->node = node;
	peer->heard_at = -MMX_TIME_NEVER / 2;
	peer->failed_at = -MMX_TIME_NEVER / 2;
	peer->active_at = -MMX_TIME_NEVER / 2;
	g_hash_table_insert(quota->peers, &peer->node, peer);
	return peer;
}

void mmx_quota_on_contact_(mmx_quota_t *quota, mmx_node_id_t node)
{
	mmx_quota_peer_t *peer = mmx_quota_get_peer_(quota, node);
	mmx_time_t now = mmx_quota_now_(quota);

	peer->active_at = now;
	/* A failed node that sends may answer again. */
	if (peer->failed && now - peer->failed_at >= MMX_QUOTA_CONTACT_RETRY_US)
		peer->retry_at = MIN(peer->retry_at, now);
}

static void on_success_(mmx_quota_call_t *call)
{
	mmx_quota_peer_t *peer = mmx_quota_get_peer_(call->quota, call->node);

	peer->failed = false;
	peer->trial = 0;
	peer->backoff = 0;
	peer->heard_at = mmx_quota_now_(call->quota);
	if (peer->absent)
		call->quota->generation++;
	peer->absent = false;
}

static void on_failure_(mmx_quota_call_t *call)
{
	mmx_quota_peer_t *peer = mmx_quota_get_peer_(call->quota, call->node);
	mmx_time_t now = mmx_quota_now_(call->quota);

	/* A reply to a later call shows that only this one was lost. */
	if (!peer->failed && peer->heard_at > call->sent_at)
		return;
	/* Of a failed node, only the trials count. */
	if (peer->failed && call->id != peer->trial)
		return;
	if (!peer->failed) {
		/* The first trial follows at once: one message may be lost. */
		peer->backoff = 0;
		peer->failed_since = call->sent_at;
	} else {
		peer->backoff =
			CLAMP(2 * peer->backoff, MMX_QUOTA_BACKOFF_MIN_US,
			      peer->absent ? MMX_QUOTA_ABSENT_BACKOFF_MAX_US
					   : MMX_QUOTA_BACKOFF_MAX_US);
	}
	peer->failed = true;
	peer->failed_at = now;
	peer->trial = 0;
	peer->retry_at = now + peer->backoff;
}

bool mmx_quota_is_usable_(mmx_quota_t *quota, mmx_node_id_t node,
			  mmx_time_t retry)
{
	mmx_quota_peer_t *peer = mmx_quota_get_peer_(quota, node);
	mmx_time_t now = mmx_quota_now_(quota);

	if (!peer->failed)
		return true;
	if (!peer->trial && now >= MIN(peer->retry_at, peer->failed_at + retry))
		peer->trial = mmx_quota_call_(quota, node, MMX_QUOTA_CALL_PROBE,
					      NULL, 0, NULL)
				      ->id;
	return false;
}

bool mmx_quota_is_absent_(const mmx_quota_t *quota, mmx_node_id_t node)
{
	const mmx_quota_peer_t *peer = g_hash_table_lookup(quota->peers, &node);

	return peer && peer->absent;
}

static void drop_lines_(mmx_quota_call_t *call)
{
	size_t i;

	for (i = 0; i < call->count; i++)
		call->lines[i].account->calls--;
	call->count = 0;
}

void mmx_quota_free_call_(gpointer data)
{
	mmx_quota_call_t *call = data;

	drop_lines_(call);
	mmx_timer_cancel(&call->timer);
	g_free(call->lines);
	g_free(call);
}

static mmx_quota_round_t *find_round_(mmx_quota_t *quota, uint64_t number)
{
	size_t i;

	for (i = 0; i < MMX_QUOTA_PROBE_ROUNDS && number; i++)
		if (quota->rounds[i].number == number)
			return &quota->rounds[i];
	return NULL;
}

static void on_probe_answer_(mmx_quota_call_t *call,
			     const mmx_quota_answer_t *answers)
{
	mmx_quota_round_t *round = find_round_(call->quota, call->round);
	mmx_time_t now = mmx_quota_now_(call->quota);
	size_t i;

	for (i = 0; i < call->count; i++)
		if (answers[i].heard)
			call->lines[i].account->heard_at = now;
	/* On a new connection a reply may come after the end of the round, at
	 * which the node counted as missing. */
	if (round && !call->late)
		round->answered++;
}

/* Passes a result on; answers: NULL if the call failed. */
static void finish_(mmx_quota_call_t *call, const mmx_quota_answer_t *answers)
{
	switch (call->kind) {
	case MMX_QUOTA_CALL_ASK:
		mmx_quota_on_own_answer_(call, answers);
		break;
	case MMX_QUOTA_CALL_RELAY:
		mmx_quota_on_relayed_(call, answers);
		break;
	case MMX_QUOTA_CALL_PROBE:
		if (answers)
			on_probe_answer_(call, answers);
		break;
	}
}

static void on_timeout_(void *arg)
{
	mmx_quota_call_t *call = arg;

	mmx_counter_add(call->quota->timeouts, 1);
	on_failure_(call);
	call->late = true;
	finish_(call, NULL);
}

static bool is_connected_(const mmx_quota_t *quota, mmx_node_id_t node)
{
	const mmx_quota_peer_t *peer = g_hash_table_lookup(quota->peers, &node);

	return peer &&
	       mmx_quota_now_(quota) - peer->heard_at < MMX_QUOTA_CONNECTED_US;
}

static mmx_time_t time_out_(const mmx_quota_t *quota, mmx_node_id_t node,
			    mmx_quota_call_kind_t kind)
{
	if (kind == MMX_QUOTA_CALL_RELAY)
		return MMX_QUOTA_RELAY_TIMEOUT_US;
	return is_connected_(quota, node) ? MMX_QUOTA_ASK_TIMEOUT_US
					  : MMX_QUOTA_FIRST_ASK_TIMEOUT_US;
}

mmx_quota_call_t *mmx_quota_call_(mmx_quota_t *quota, mmx_node_id_t node,
				  mmx_quota_call_kind_t kind,
				  const mmx_quota_ask_t *asks, size_t count,
				  const mmx_quota_line_t *lines)
{
	mmx_quota_call_t *call = g_new0(mmx_quota_call_t, 1);
	size_t length;
	uint8_t *bytes = mmx_quota_asks_encode(asks, count, &length);
	size_t i;

	call->quota = quota;
	call->id = quota->next_call++;
	call->node = node;
	call->kind = kind;
	call->sent_at = mmx_quota_now_(quota);
	call->count = lines ? count : 0;
	call->lines = g_memdup2(lines, call->count * sizeof(*lines));
	for (i = 0; i < call->count; i++)
		call->lines[i].account->calls++;
	mmx_timer_init(&call->timer, quota->config.clock, on_timeout_, call);
	mmx_timer_set(&call->timer, time_out_(quota, node, kind));
	g_hash_table_insert(quota->calls, &call->id, call);
	mmx_counter_add(kind == MMX_QUOTA_CALL_PROBE   ? quota->probes
			: kind == MMX_QUOTA_CALL_RELAY ? quota->relays
						       : quota->asks,
			1);
	quota->ops->send_ask(quota->context, node, call->id, bytes, length);
	g_free(bytes);
	return call;
}

void mmx_quota_on_answer(mmx_quota_t *quota, uint64_t id, mmx_node_id_t node,
			 const uint8_t *bytes, size_t length)
{
	mmx_quota_call_t *call = g_hash_table_lookup(quota->calls, &id);
	mmx_quota_answer_t answers[MMX_QUOTA_LINES_MAX];
	bool ok = false;
	size_t count;

	if (!call || call->node != node)
		return;
	mmx_quota_check_gap_(quota);
	g_hash_table_steal(quota->calls, &id);
	mmx_timer_cancel(&call->timer);
	if (bytes)
		ok = mmx_quota_answers_decode(bytes, length, answers, &count);
	if (ok)
		ok = count ==
		     (call->kind == MMX_QUOTA_CALL_RELAY ? 1 : call->count);
	if (ok) {
		mmx_counter_add(quota->answers, 1);
		on_success_(call);
	} else if (!call->late) {
		on_failure_(call);
	}
	if (ok || !call->late)
		finish_(call, ok ? answers : NULL);
	mmx_quota_free_call_(call);
}

/* Rounds of probes. */

static bool in_round_(const mmx_node_id_t *chosen, size_t count,
		      mmx_node_id_t node)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (chosen[i] == node)
			return true;
	return false;
}

/* Chooses distinct other nodes, each with the same probability: those with an
 * open connection are on the own side of an old partition. */
static size_t choose_nodes_(mmx_quota_t *quota, mmx_node_id_t *chosen)
{
	mmx_node_id_t self = quota->config.node;
	size_t max = MIN(quota->nodes->len - 1, MMX_QUOTA_PROBE_NODES);
	size_t count = 0;

	while (count < max) {
		mmx_node_id_t node = g_array_index(
			quota->nodes, mmx_node_id_t,
			mmx_random_below(&quota->random, quota->nodes->len));

		if (node != self && !in_round_(chosen, count, node))
			chosen[count++] = node;
	}
	return count;
}

/* Adds the first nodes of the order of an account: its owner, which may answer
 * again, the standby, and the witnesses. */
static size_t add_owners_(const mmx_quota_account_t *account,
			  mmx_node_id_t *chosen, size_t count)
{
	size_t i;

	for (i = 0; i < MMX_QUOTA_OWNERS; i++) {
		mmx_node_id_t node = account->owners[i];

		if (node && node != account->quota->config.node &&
		    !in_round_(chosen, count, node))
			chosen[count++] = node;
	}
	return count;
}

void mmx_quota_start_round_(mmx_quota_t *quota)
{
	enum { LINES = 16 };
	mmx_quota_ask_t asks[LINES];
	mmx_quota_line_t lines[LINES];
	mmx_node_id_t chosen[MMX_QUOTA_PROBE_NODES + LINES * MMX_QUOTA_OWNERS];
	size_t count = mmx_quota_probe_lines_(quota, asks, lines, LINES);
	size_t nodes = choose_nodes_(quota, chosen);
	mmx_quota_round_t *round = &quota->rounds[0];
	size_t i;

	memmove(&quota->rounds[1], &quota->rounds[0],
		(MMX_QUOTA_PROBE_ROUNDS - 1) * sizeof(*round));
	*round = (mmx_quota_round_t){
		.number = quota->next_round++,
		.started_at = mmx_quota_now_(quota),
		.sent = nodes,
	};
	for (i = 0; i < count; i++)
		nodes = add_owners_(lines[i].account, chosen, nodes);
	for (i = 0; i < nodes; i++) {
		mmx_quota_call_t *call =
			mmx_quota_call_(quota, chosen[i], MMX_QUOTA_CALL_PROBE,
					asks, count, lines);

		/* Only nodes chosen at random count for reachability. */
		if (i < round->sent)
			call->round = round->number;
	}
}

typedef struct peer_counts_t {
	mmx_time_t now;
	double missed;
	double reached;
	size_t heard;	    /* within MMX_QUOTA_CONTACT_US */
	bool missed_lately; /* a node that is not absent has failed */
} peer_counts_t;

static void count_peer_(gpointer key, gpointer value, gpointer data)
{
	const mmx_quota_peer_t *peer = value;
	peer_counts_t *counts = data;

	(void)key;
	if (counts->now - MAX(peer->heard_at, peer->active_at) <=
	    MMX_QUOTA_CONTACT_US)
		counts->heard++;
	if (peer->failed) {
		counts->missed++;
		counts->missed_lately = counts->missed_lately || !peer->absent;
	} else if (counts->now - peer->heard_at <= MMX_QUOTA_REACHED_US) {
		counts->reached++;
	}
}

static peer_counts_t count_peers_(const mmx_quota_t *quota)
{
	peer_counts_t counts = {.now = mmx_quota_now_(quota)};

	g_hash_table_foreach(quota->peers, count_peer_, &counts);
	return counts;
}

double mmx_quota_reach_(const mmx_quota_t *quota)
{
	mmx_time_t oldest = mmx_quota_now_(quota) -
			    MMX_QUOTA_PROBE_ROUNDS * MMX_QUOTA_PROBE_US;
	peer_counts_t counts = count_peers_(quota);
	double missing = 0;
	double latest = -1;
	double sent = 0;
	size_t i;

	for (i = 0; i < MMX_QUOTA_PROBE_ROUNDS; i++) {
		const mmx_quota_round_t *round = &quota->rounds[i];
		double lost = (double)(round->sent - round->answered);

		if (!round->number || !round->ended || !round->sent ||
		    round->started_at < oldest)
			continue;
		missing += lost;
		sent += (double)round->sent;
		if (latest < 0)
			latest = lost / (double)round->sent;
	}
	/* The nodes that were probed stand for all others; this node reaches
	 * itself. */
	if (sent > 0)
		missing = MAX(latest, missing / sent);
	if (counts.missed + counts.reached >= MMX_QUOTA_REACH_NODES)
		missing = MAX(missing,
			      counts.missed / (counts.missed + counts.reached));
	return 1 - missing * (double)(quota->nodes->len - 1) /
			   (double)quota->nodes->len;
}

static mmx_quota_contact_t contact_(const mmx_quota_t *quota)
{
	peer_counts_t counts = count_peers_(quota);

	if (counts.heard == 0)
		return MMX_QUOTA_CONTACT_NONE;
	return counts.missed_lately ||
			       counts.heard < MIN(MMX_QUOTA_CONTACT_NODES,
						  (quota->nodes->len - 1) / 2)
		       ? MMX_QUOTA_CONTACT_POOR
		       : MMX_QUOTA_CONTACT_GOOD;
}

/* Leaves nodes that failed for some time out of the order, and tries them now
 * and then. */
static void update_peer_(gpointer key, gpointer value, gpointer data)
{
	mmx_quota_peer_t *peer = value;
	mmx_quota_t *quota = data;
	mmx_time_t now = mmx_quota_now_(quota);

	(void)key;
	if (!peer->failed)
		return;
	if (!peer->absent && now - peer->failed_since >= MMX_QUOTA_ABSENT_US) {
		peer->absent = true;
		quota->generation++;
	}
	if (peer->absent)
		mmx_quota_is_usable_(quota, peer->node, MMX_TIME_NEVER / 4);
}

static gboolean is_forgotten_(gpointer key, gpointer value, gpointer data)
{
	const mmx_quota_call_t *call = value;

	(void)key;
	return call->late &&
	       *(mmx_time_t *)data - call->sent_at > 2 * MMX_US_PER_S;
}

void mmx_quota_tick_peers_(mmx_quota_t *quota)
{
	mmx_quota_round_t *round = &quota->rounds[0];
	mmx_time_t now = mmx_quota_now_(quota);
	mmx_time_t age = now - round->started_at;

	g_hash_table_foreach_remove(quota->calls, is_forgotten_, &now);
	g_hash_table_foreach(quota->peers, update_peer_, quota);
	if (round->number && !round->ended && age > MMX_QUOTA_ASK_TIMEOUT_US) {
		round->ended = true;
		mmx_quota_set_rates_(quota);
	}
	if (quota->nodes->len > 1 &&
	    (!round->number || (round->ended && age >= MMX_QUOTA_PROBE_US)) &&
	    mmx_quota_needs_probes_(quota, contact_(quota)))
		mmx_quota_start_round_(quota);
}
