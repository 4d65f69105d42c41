/* Buckets of the accounts that this node decides for, as first owner or as
 * standby, and token requests that are relayed. */
#include <string.h>

#include "private/quota_internal.h"

/* A standby that has not served for this time begins a new term. */
#define TERM_END_US (1 * MMX_US_PER_S)
/* From this use of the limit on, permille, what this node uses alone may exceed
 * the limit together with another owner. */
#define SOME_USE 100
/* From this use on, two owners exceed it. */
#define HIGH_USE (MMX_QUOTA_USE_FULL / 2)

static bool is_first_(const mmx_quota_account_t *account)
{
	return account->owners[0] == account->quota->config.node;
}

/* True if no other node decides for the account: this node is the first of all,
 * or the first has left the bucket to it. A node that is first only because
 * those before it are absent is not active, since a partition looks the same
 * to it. */
static bool is_active_owner_(const mmx_quota_account_t *account, mmx_time_t now)
{
	return (is_first_(account) && account->rank == 0) ||
	       (account->delegated_at >= 0 &&
		now - account->delegated_at < TERM_END_US);
}

bool mmx_quota_in_handover_(const mmx_quota_account_t *account)
{
	const mmx_quota_t *quota = account->quota;
	mmx_time_t now = mmx_quota_now_(quota);

	return is_first_(account) && account->rank == 0 && account->owners[1] &&
	       !account->inherited &&
	       now - account->first_since < MMX_QUOTA_HANDOVER_US &&
	       !(account->serving && now - account->served_at < TERM_END_US);
}

/* True if no other node can have decided for the account in this window. */
static bool is_settled_(const mmx_quota_account_t *account, mmx_time_t now)
{
	return is_first_(account) &&
	       now - account->first_since >=
		       account->quota->config.bounds.window;
}

/* Share of the rate at which the bucket of an account is filled. */
static double fill_(const mmx_quota_account_t *account, double reach,
		    mmx_time_t now)
{
	const mmx_quota_t *quota = account->quota;
	double least = 1 / (double)quota->nodes->len;

	if (!is_active_owner_(account, now)) {
		size_t i = quota->rounds[0].ended ? 0 : 1;

		if (!account->confirmed ||
		    (!is_first_(account) &&
		     now - account->served_at > TERM_END_US))
			return 0;
		if (account->heard_at >= quota->rounds[i].started_at)
			return least;
	}
	if (1 - reach <= mmx_quota_missing_max_(account))
		return 1;
	return MAX(reach, least);
}

/* reach: mmx_quota_reach_() */
static void set_rate_(mmx_quota_account_t *account, double reach)
{
	mmx_time_t now = mmx_quota_now_(account->quota);

	mmx_quota_bucket_set_rate(
		&account->bucket,
		account->limit.rate * fill_(account, reach, now), now);
}

static void begin_term_(mmx_quota_account_t *account)
{
	mmx_quota_t *quota = account->quota;
	const mmx_quota_round_t *round = &quota->rounds[0];

	account->takeover_at = mmx_quota_now_(quota);
	account->confirmed = false;
	/* The share of an isolated node ends where its term begins. */
	if (account->local_at >= 0)
		mmx_quota_bucket_cut(&account->local, 0, account->takeover_at);
	mmx_counter_add(quota->takeovers, 1);
	mmx_quota_event_(account, MMX_QUOTA_TOOK_OVER, account->owners[0]);
	set_rate_(account, mmx_quota_reach_(quota));
	if (!round->number || round->ended)
		mmx_quota_start_round_(quota);
}

/* The tokens of a takeover are issued once in a window. */
static void resume_(mmx_quota_account_t *account, double tokens)
{
	mmx_quota_t *quota = account->quota;
	mmx_time_t now = mmx_quota_now_(quota);

	mmx_quota_bucket_cut(&account->bucket, tokens, now);
	if (now - account->endowed_at < quota->config.bounds.window)
		return;
	account->endowed_at = now;
	account->bucket.tokens = tokens;
}

/* True for a node that decides for good, because those before it are absent. */
static bool is_successor_(const mmx_quota_account_t *account)
{
	return is_first_(account) && account->confirmed;
}

static void ensure_bucket_(mmx_quota_account_t *account)
{
	mmx_time_t now = mmx_quota_now_(account->quota);
	double capacity = mmx_quota_capacity_(account);
	double least = 0;
	mmx_time_t idle = now - account->served_at;

	mmx_quota_order_(account);
	/* Only two takeovers have a part of the reserve. Nodes further back
	 * serve because those before them are absent, and in a partition there
	 * may be many of them; only one part of it has half of the nodes. */
	if (account->rank < 2 ||
	    (is_first_(account) &&
	     mmx_quota_reach_(account->quota) >= MMX_QUOTA_CUT_OFF_REACH))
		least = MIN(capacity, mmx_quota_reserve_(account) / 4);
	account->served_at = now;
	if (!account->serving) {
		account->serving = true;
		account->endowed_at = now;
		mmx_quota_bucket_init(
			&account->bucket, account->limit.rate, capacity,
			is_settled_(account, now) ? capacity : least, now);
		mmx_quota_bucket_set_window(
			&account->bucket, account->quota->config.bounds.window,
			now);
		if (is_active_owner_(account, now))
			set_rate_(account, mmx_quota_reach_(account->quota));
		else
			begin_term_(account);
	} else if (!is_settled_(account, now) && !is_successor_(account) &&
		   idle > TERM_END_US) {
		resume_(account, least);
		if (!is_active_owner_(account, now))
			begin_term_(account);
	}
}

mmx_quota_answer_t mmx_quota_serve_(mmx_quota_account_t *account,
				    unsigned int wanted, unsigned int prefetch,
				    unsigned int given_back, mmx_time_t age)
{
	mmx_quota_t *quota = account->quota;
	mmx_time_t now = mmx_quota_now_(quota);
	mmx_quota_answer_t answer = {.granted = 0};
	mmx_time_t retry;

	if (account->limit.rate == 0)
		return (mmx_quota_answer_t){.granted = wanted};
	ensure_bucket_(account);
	if (given_back)
		mmx_quota_bucket_give_back(&account->bucket, given_back, age,
					   now);
	answer.granted = mmx_quota_bucket_take(&account->bucket, wanted, now);
	if (answer.granted < wanted) {
		retry = mmx_quota_bucket_refuse(&account->bucket,
						wanted - answer.granted, now);
		answer.retry_after_ms = (uint32_t)(retry / MMX_US_PER_MS);
	} else if (prefetch) {
		answer.granted += mmx_quota_bucket_lease(
			&account->bucket, prefetch,
			quota->config.bounds.slack / 2, now);
	}
	answer.use = mmx_quota_bucket_use(&account->bucket, now);
	account->use = answer.use;
	return answer;
}

bool mmx_quota_has_served_(const mmx_quota_account_t *account)
{
	const mmx_quota_t *quota = account->quota;

	return account->serving && mmx_quota_now_(quota) - account->served_at <
					   quota->config.bounds.window;
}

void mmx_quota_free_served_(mmx_quota_served_t *served)
{
	LIST_REMOVE(served, entry);
	g_free(served->asks);
	g_free(served->answers);
	g_free(served);
}

static void finish_served_(mmx_quota_t *quota, mmx_quota_served_t *served)
{
	size_t length;
	uint8_t *bytes;

	if (served->open)
		return;
	bytes = mmx_quota_answers_encode(served->answers, served->count,
					 &length);
	quota->ops->send_answer(quota->context, &served->ticket, bytes, length);
	g_free(bytes);
	mmx_quota_free_served_(served);
}

static mmx_quota_answer_t serve_line_(mmx_quota_account_t *account,
				      const mmx_quota_ask_t *ask)
{
	return mmx_quota_serve_(account, ask->wanted, ask->prefetch,
				ask->given_back,
				ask->given_back_age_ms * MMX_US_PER_MS);
}

static void relay_(mmx_quota_account_t *account, mmx_quota_served_t *served,
		   size_t index, mmx_node_id_t node)
{
	mmx_quota_ask_t ask = served->asks[index];
	mmx_quota_line_t line = {.account = account, .wanted = ask.wanted};
	mmx_quota_call_t *call;

	ask.hop = MMX_QUOTA_HOP_RELAYED;
	ask.limit = account->limit;
	served->open++;
	call = mmx_quota_call_(account->quota, node, MMX_QUOTA_CALL_RELAY, &ask,
			       1, &line);
	call->served = served;
	call->index = index;
}

void mmx_quota_on_relayed_(mmx_quota_call_t *call,
			   const mmx_quota_answer_t *answer)
{
	mmx_quota_served_t *served = call->served;

	/* The time-out has passed; the tokens are lost. */
	if (!served)
		return;
	call->served = NULL;
	served->answers[call->index] =
		answer ? *answer
		       : serve_line_(call->lines[0].account,
				     &served->asks[call->index]);
	served->open--;
	finish_served_(call->quota, served);
}

/* Answers whether another node than the standby that asks decides for an
 * account, as far as this node knows. Asks that node in turn. */
static bool hears_owner_(mmx_quota_t *quota, const char *name,
			 mmx_node_id_t from)
{
	mmx_quota_account_t account = {.quota = quota};
	mmx_quota_peer_t *peer;
	mmx_time_t age;

	g_strlcpy(account.name, name, sizeof(account.name));
	mmx_quota_order_(&account);
	if (is_first_(&account))
		return account.rank == 0;
	if (account.owners[0] == from)
		return false;
	peer = mmx_quota_get_peer_(quota, account.owners[0]);
	age = mmx_quota_now_(quota) - MAX(peer->heard_at, peer->active_at);
	/* Asked again in time for the next round. */
	if (!peer->failed && age > MMX_QUOTA_HEARD_US / 2)
		mmx_quota_call_(quota, peer->node, MMX_QUOTA_CALL_PROBE, NULL,
				0, NULL);
	return age <= MMX_QUOTA_HEARD_US;
}

static void decide_line_(mmx_quota_t *quota, mmx_quota_served_t *served,
			 size_t index)
{
	const mmx_quota_ask_t *ask = &served->asks[index];
	mmx_node_id_t self = quota->config.node;
	mmx_node_id_t next = 0;
	mmx_quota_account_t *account;

	if (ask->hop >= MMX_QUOTA_HOP_PROBE) {
		mmx_quota_on_contact_(quota, served->from);
		if (ask->hop == MMX_QUOTA_HOP_PROBE)
			served->answers[index].heard =
				hears_owner_(quota, ask->account, served->from);
		return;
	}
	account = mmx_quota_get_account_(quota, ask->account);
	mmx_quota_apply_limit_(account, &ask->limit);
	account->touched_at = mmx_quota_now_(quota);
	mmx_quota_order_(account);
	if (ask->hop != MMX_QUOTA_HOP_RELAYED) {
		if (account->owners[0] != self)
			next = account->owners[0];
		else if (mmx_quota_in_handover_(account))
			next = account->owners[1];
	} else if (served->from == account->owners[0]) {
		account->delegated_at = mmx_quota_now_(quota);
	}
	if (next && account->limit.rate > 0 &&
	    mmx_quota_is_usable_(quota, next, MMX_TIME_NEVER / 4))
		relay_(account, served, index, next);
	else
		served->answers[index] = serve_line_(account, ask);
}

bool mmx_quota_on_ask(mmx_quota_t *quota, mmx_node_id_t from,
		      const mmx_peer_ticket_t *ticket, const uint8_t *bytes,
		      size_t length)
{
	mmx_quota_ask_t asks[MMX_QUOTA_LINES_MAX];
	mmx_quota_served_t *served;
	size_t count;
	size_t i;

	if (!mmx_quota_asks_decode(bytes, length, asks, &count))
		return false;
	mmx_quota_get_peer_(quota, from)->active_at = mmx_quota_now_(quota);
	mmx_quota_check_gap_(quota);
	served = g_new0(mmx_quota_served_t, 1);
	served->ticket = *ticket;
	served->from = from;
	served->count = count;
	served->asks = g_memdup2(asks, count * sizeof(*asks));
	served->answers = g_new0(mmx_quota_answer_t, count);
	LIST_INSERT_HEAD(&quota->served, served, entry);
	served->open = 1;
	for (i = 0; i < count; i++)
		decide_line_(quota, served, i);
	served->open--;
	finish_served_(quota, served);
	return true;
}

static bool is_on_standby_(const mmx_quota_account_t *account, mmx_time_t now)
{
	return account->serving && !is_active_owner_(account, now) &&
	       now - account->served_at < TERM_END_US;
}

/*
 * True for an account of which a second owner may exceed the limit: its bucket
 * is nearly empty, or half of the limit is used while a node is missed, or it is
 * in use here while nothing is heard from other nodes.
 */
static bool is_pressed_(mmx_quota_account_t *account,
			mmx_quota_contact_t contact, mmx_time_t now)
{
	mmx_quota_bucket_t *bucket = &account->bucket;
	unsigned int use;

	if (!account->serving || !is_active_owner_(account, now))
		return false;
	use = mmx_quota_bucket_use(bucket, now);
	return bucket->tokens < bucket->capacity / 4 ||
	       (contact != MMX_QUOTA_CONTACT_GOOD && use >= HIGH_USE) ||
	       (contact == MMX_QUOTA_CONTACT_NONE && use >= SOME_USE);
}

bool mmx_quota_needs_probes_(mmx_quota_t *quota, mmx_quota_contact_t contact)
{
	mmx_time_t now = mmx_quota_now_(quota);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quota->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (is_on_standby_(value, now) ||
		    is_pressed_(value, contact, now))
			return true;
	return false;
}

size_t mmx_quota_probe_lines_(mmx_quota_t *quota, mmx_quota_ask_t *asks,
			      mmx_quota_line_t *lines, size_t max)
{
	mmx_time_t now = mmx_quota_now_(quota);
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, quota->accounts);
	while (count < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		mmx_quota_account_t *account = value;

		if (!is_on_standby_(account, now) &&
		    !is_pressed_(account, MMX_QUOTA_CONTACT_POOR, now))
			continue;
		asks[count] = (mmx_quota_ask_t){
			.limit = account->limit,
			.hop = is_active_owner_(account, now)
				       ? MMX_QUOTA_HOP_ACTIVE
				       : MMX_QUOTA_HOP_PROBE,
		};
		g_strlcpy(asks[count].account, account->name,
			  sizeof(asks[count].account));
		lines[count++] = (mmx_quota_line_t){.account = account};
	}
	return count;
}

void mmx_quota_set_rates_(mmx_quota_t *quota)
{
	const mmx_quota_round_t *round = &quota->rounds[0];
	double reach = mmx_quota_reach_(quota);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quota->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mmx_quota_account_t *account = value;

		if (!account->serving)
			continue;
		if (round->started_at - account->takeover_at >=
		    MMX_QUOTA_CONFIRM_US)
			account->confirmed = true;
		set_rate_(account, reach);
	}
}

void mmx_quota_tick_owner_(mmx_quota_account_t *account, double reach)
{
	mmx_time_t now = mmx_quota_now_(account->quota);

	if (!account->serving)
		return;
	mmx_quota_order_(account);
	set_rate_(account, reach);
	if (now - account->served_at > account->quota->config.bounds.window &&
	    ((!is_active_owner_(account, now) && !is_first_(account)) ||
	     mmx_quota_bucket_is_full(&account->bucket, now)))
		account->serving = false;
}

void mmx_quota_check_gap_(mmx_quota_t *quota)
{
	mmx_time_t now = mmx_quota_now_(quota);
	GHashTableIter iter;
	gpointer value;

	if (!quota->ticking || now - quota->tick_at <= MMX_QUOTA_GAP_US)
		return;
	g_hash_table_iter_init(&iter, quota->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mmx_quota_account_t *account = value;

		if (account->serving)
			mmx_quota_bucket_skip(&account->bucket, quota->tick_at,
					      now);
	}
	quota->tick_at = now;
}
