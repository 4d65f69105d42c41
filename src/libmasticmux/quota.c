/* Requests: the tokens that they take, and the token requests of this node. */
#include "private/quota.h"

#include <assert.h>
#include <string.h>

#include "private/quota_internal.h"

/* Requests that arrive within this time share a token request. */
#define FLUSH_US (1 * MMX_US_PER_MS)
/* A refusal is remembered for this time at most. */
#define REFUSAL_US (100 * MMX_US_PER_MS)
/* Tokens are returned when no token request was sent for this time. */
#define RETURN_US (200 * MMX_US_PER_MS)
/* A token has to be back at its owner within the window of its issue: this is
 * the time above, a tick and a message. */
#define RETURN_TIME_US (600 * MMX_US_PER_MS)
/* Tokens used are counted by half of the time for which they are prefetched. */
#define TAKEN_SLOT_US (250 * MMX_US_PER_MS)

static mmx_time_t per_token_(const mmx_quota_account_t *account)
{
	double us = (double)MMX_US_PER_S / account->limit.rate;

	return (mmx_time_t)MIN(us, (double)MMX_QUOTA_RETRY_MAX_US);
}

static void count_taken_(mmx_quota_account_t *account)
{
	mmx_time_t now = mmx_quota_now_(account->quota);
	int64_t slot = now / TAKEN_SLOT_US;
	int64_t passed = slot - account->taken_slot;

	if (passed > 0) {
		account->taken[1] = passed == 1 ? account->taken[0] : 0;
		account->taken[0] = 0;
		account->taken_slot = slot;
	}
	account->taken[0]++;
	account->taken_at = now;
}

static void count_(mmx_quota_account_t *account, mmx_quota_result_t result)
{
	mmx_quota_t *quota = account->quota;

	if (result == MMX_QUOTA_GRANTED)
		count_taken_(account);
	mmx_counter_add(result == MMX_QUOTA_GRANTED ? quota->granted
						    : quota->refused,
			1);
}

/* Decides on the first waiting request; false if there is none. */
static bool decide_(mmx_quota_account_t *account, mmx_quota_result_t result,
		    mmx_time_t retry_after)
{
	mmx_quota_t *quota = account->quota;
	mmx_quota_waiting_t *waiting = g_queue_pop_head(&account->waiting);
	void *request;

	if (!waiting)
		return false;
	request = waiting->request;
	g_free(waiting);
	if (g_queue_is_empty(&account->waiting))
		mmx_timer_cancel(&account->wait_timer);
	count_(account, result);
	quota->ops->decided(quota->context, request, result, retry_after);
	return true;
}

/* Time until a token for one more refused request. */
static mmx_time_t queue_up_(mmx_quota_account_t *account)
{
	mmx_time_t now = mmx_quota_now_(account->quota);

	account->retry_after =
		CLAMP(account->retry_at - now, MMX_QUOTA_RETRY_MIN_US,
		      MMX_QUOTA_RETRY_MAX_US);
	account->retry_at = MIN(account->retry_at + per_token_(account),
				now + MMX_QUOTA_RETRY_MAX_US);
	return account->retry_after;
}

static void refuse_waiting_(mmx_quota_account_t *account, size_t count)
{
	size_t i;

	for (i = 0; i < count && !g_queue_is_empty(&account->waiting); i++)
		decide_(account, MMX_QUOTA_REFUSED, queue_up_(account));
}

/* Node that a request of the account is sent to; 0: none can be reached. */
static mmx_node_id_t choose_node_(mmx_quota_account_t *account,
				  mmx_quota_hop_t *hop)
{
	mmx_quota_t *quota = account->quota;
	mmx_node_id_t self = quota->config.node;
	mmx_node_id_t second;
	mmx_time_t retry = account->isolated ? MMX_QUOTA_ISOLATED_RETRY_US
					     : MMX_TIME_NEVER / 4;

	mmx_quota_order_(account);
	second = account->owners[1];
	*hop = MMX_QUOTA_HOP_OWNER;
	/* A node that follows absent ones but reaches few others is cut off: it
	 * has only its own share. */
	if ((account->owners[0] == self || second == self) &&
	    account->rank >= 2 &&
	    mmx_quota_reach_(quota) < MMX_QUOTA_CUT_OFF_REACH)
		return 0;
	if (account->owners[0] == self) {
		if (!mmx_quota_in_handover_(account) ||
		    !mmx_quota_is_usable_(quota, second, retry))
			return self;
		*hop = MMX_QUOTA_HOP_RELAYED;
		return second;
	}
	if (mmx_quota_is_usable_(quota, account->owners[0], retry))
		return account->owners[0];
	*hop = MMX_QUOTA_HOP_STANDBY;
	if (second == self || mmx_quota_is_usable_(quota, second, retry))
		return second;
	return 0;
}

static unsigned int take_local_(mmx_quota_account_t *account,
				unsigned int wanted, mmx_time_t *retry_after)
{
	mmx_time_t now = mmx_quota_now_(account->quota);
	unsigned int taken;

	mmx_quota_open_local_(account);
	taken = mmx_quota_bucket_take(&account->local, wanted, now);
	*retry_after = 0;
	if (taken < wanted)
		*retry_after = mmx_quota_bucket_refuse(&account->local,
						       wanted - taken, now);
	return taken;
}

static void set_isolated_(mmx_quota_account_t *account)
{
	if (account->isolated)
		return;
	account->isolated = true;
	mmx_quota_event_(account, MMX_QUOTA_ISOLATED, 0);
}

static mmx_time_t returned_age_(const mmx_quota_account_t *account)
{
	return account->given_back ? mmx_quota_now_(account->quota) -
					     account->given_back_since
				   : 0;
}

/* Takes tokens at this node, as owner or (node 0) as an isolated node. */
static unsigned int take_here_(mmx_quota_account_t *account, mmx_node_id_t node,
			       unsigned int wanted, mmx_time_t *retry_after)
{
	mmx_quota_answer_t answer;

	/* Either the bucket of a standby or that of an isolated node is filled
	 * with this node's share of the rate. */
	if (!node && !mmx_quota_has_served_(account)) {
		set_isolated_(account);
		return take_local_(account, wanted, retry_after);
	}
	answer = mmx_quota_serve_(account, wanted, 0, account->given_back,
				  returned_age_(account));
	account->given_back = 0;
	account->answered_at = mmx_quota_now_(account->quota);
	*retry_after = answer.retry_after_ms * MMX_US_PER_MS;
	return answer.granted;
}

/* Adds tokens to those that are to be returned to the owner. */
static void add_returned_(mmx_quota_account_t *account, unsigned int tokens,
			  mmx_time_t issued_at)
{
	if (!account->given_back) {
		account->given_back_at = mmx_quota_now_(account->quota);
		account->given_back_since = issued_at;
	}
	account->given_back += tokens;
	account->given_back_since = MIN(account->given_back_since, issued_at);
}

static void keep_(mmx_quota_account_t *account, mmx_node_id_t issuer,
		  unsigned int tokens, mmx_time_t until)
{
	mmx_time_t now = mmx_quota_now_(account->quota);

	if (!tokens || account->limit.rate == 0)
		return;
	if (account->issuer != issuer || now >= account->held_until)
		account->held = 0;
	account->held_until =
		account->held ? MIN(account->held_until, until) : until;
	account->held += tokens;
	account->issuer = issuer;
}

static bool use_held_(mmx_quota_account_t *account)
{
	mmx_time_t now = mmx_quota_now_(account->quota);

	if (!account->held || now >= account->held_until)
		return false;
	account->held--;
	return true;
}

static void mark_dirty_(mmx_quota_account_t *account)
{
	mmx_quota_t *quota = account->quota;

	if (account->dirty)
		return;
	account->dirty = true;
	TAILQ_INSERT_TAIL(&quota->dirty, account, dirty_entry);
	if (!mmx_timer_is_set(&quota->flush_timer))
		mmx_timer_set(&quota->flush_timer, FLUSH_US);
}

static void decide_here_(mmx_quota_account_t *account, mmx_node_id_t node)
{
	unsigned int wanted = account->waiting.length;
	mmx_time_t retry_after;
	unsigned int taken = take_here_(account, node, wanted, &retry_after);

	account->retry_at = mmx_quota_now_(account->quota) + retry_after;
	for (; taken > 0 && decide_(account, MMX_QUOTA_GRANTED, 0); taken--)
		wanted--;
	/* Requests were cancelled meanwhile. */
	if (taken && node)
		mmx_quota_serve_(account, 0, 0, taken, 0);
	refuse_waiting_(account, wanted);
}

void mmx_quota_decide_waiting_(mmx_quota_account_t *account)
{
	mmx_quota_hop_t hop;
	mmx_node_id_t node;

	while ((!account->asking || account->limit.rate == 0) &&
	       !g_queue_is_empty(&account->waiting)) {
		if (account->limit.rate == 0 || use_held_(account)) {
			decide_(account, MMX_QUOTA_GRANTED, 0);
			continue;
		}
		node = choose_node_(account, &hop);
		if (node && node != account->quota->config.node) {
			mark_dirty_(account);
			return;
		}
		decide_here_(account, node);
	}
}

static void fill_ask_(mmx_quota_account_t *account, mmx_quota_hop_t hop,
		      mmx_quota_ask_t *ask)
{
	int64_t slot = mmx_quota_now_(account->quota) / TAKEN_SLOT_US;
	int64_t passed = slot - account->taken_slot;
	unsigned int used = passed == 0 ? account->taken[0] + account->taken[1]
			    : passed == 1 ? account->taken[0]
					  : 0;

	*ask = (mmx_quota_ask_t){
		.limit = account->limit,
		.wanted = MIN(account->waiting.length, MMX_QUOTA_TOKENS_MAX),
		.given_back = MIN(account->given_back, MMX_QUOTA_TOKENS_MAX),
		.given_back_age_ms =
			(uint32_t)(returned_age_(account) / MMX_US_PER_MS),
		.hop = hop,
	};
	if (ask->wanted)
		ask->prefetch = MIN(used, MMX_QUOTA_TOKENS_MAX);
	g_strlcpy(ask->account, account->name, sizeof(ask->account));
	account->given_back = 0;
	account->asking = ask->wanted > 0;
}

/* Sends one token request to a node: for all accounts in the list that it has
 * to decide for. */
static void send_to_(mmx_quota_t *quota, mmx_node_id_t node)
{
	mmx_quota_ask_t asks[MMX_QUOTA_LINES_MAX];
	mmx_quota_line_t lines[MMX_QUOTA_LINES_MAX];
	mmx_quota_account_t *account;
	mmx_quota_account_t *next;
	mmx_quota_hop_t hop;
	size_t count = 0;

	for (account = TAILQ_FIRST(&quota->dirty);
	     account && count < MMX_QUOTA_LINES_MAX; account = next) {
		next = TAILQ_NEXT(account, dirty_entry);
		if (choose_node_(account, &hop) != node)
			continue;
		TAILQ_REMOVE(&quota->dirty, account, dirty_entry);
		account->dirty = false;
		if (account->asking ||
		    (!account->waiting.length && !account->given_back))
			continue;
		fill_ask_(account, hop, &asks[count]);
		lines[count] = (mmx_quota_line_t){
			.account = account,
			.wanted = asks[count].wanted,
		};
		count++;
	}
	if (count)
		mmx_quota_call_(quota, node, MMX_QUOTA_CALL_ASK, asks, count,
				lines);
}

void mmx_quota_on_flush_(void *arg)
{
	mmx_quota_t *quota = arg;
	mmx_quota_account_t *account;

	while ((account = TAILQ_FIRST(&quota->dirty))) {
		mmx_quota_hop_t hop;
		mmx_node_id_t node = choose_node_(account, &hop);

		if (node && node != quota->config.node) {
			send_to_(quota, node);
			continue;
		}
		TAILQ_REMOVE(&quota->dirty, account, dirty_entry);
		account->dirty = false;
		if (node && account->given_back && account->limit.rate > 0)
			mmx_quota_serve_(account, 0, 0, account->given_back,
					 returned_age_(account));
		account->given_back = 0;
		mmx_quota_decide_waiting_(account);
	}
}

static void set_reached_(mmx_quota_account_t *account, mmx_node_id_t node)
{
	bool was_lost = account->lost || account->isolated;

	account->isolated = false;
	if (node != account->owners[0] || !was_lost)
		return;
	account->lost = false;
	mmx_quota_event_(account, MMX_QUOTA_RESTORED, node);
}

static void on_line_(mmx_quota_call_t *call, const mmx_quota_line_t *line,
		     const mmx_quota_answer_t *answer)
{
	mmx_quota_account_t *account = line->account;
	mmx_time_t now = mmx_quota_now_(call->quota);
	unsigned int granted = answer->granted;
	unsigned int decided = 0;

	account->use = answer->use;
	account->answered_at = now;
	set_reached_(account, call->node);
	if (!line->wanted)
		return;
	account->asking = false;
	while (decided < MIN(granted, line->wanted) &&
	       decide_(account, MMX_QUOTA_GRANTED, 0))
		decided++;
	keep_(account, call->node, granted - decided,
	      call->sent_at + MMX_QUOTA_LEASE_US);
	if (granted < line->wanted && account->limit.rate > 0) {
		mmx_time_t retry = answer->retry_after_ms * MMX_US_PER_MS;

		account->refused_until = now + MIN(retry, REFUSAL_US);
		account->retry_at = now + retry;
		refuse_waiting_(account, account->waiting.length);
	}
	mmx_quota_decide_waiting_(account);
}

static void on_failed_line_(mmx_quota_call_t *call,
			    const mmx_quota_line_t *line)
{
	mmx_quota_account_t *account = line->account;

	if (!line->wanted)
		return;
	account->asking = false;
	mmx_quota_order_(account);
	if (call->node == account->owners[0] && !account->lost) {
		account->lost = true;
		mmx_quota_event_(account, MMX_QUOTA_OWNER_LOST, call->node);
	}
	mmx_quota_decide_waiting_(account);
}

/* Returns the tokens of a late reply if their issuer decides again. */
static void on_late_line_(mmx_quota_call_t *call, const mmx_quota_line_t *line,
			  const mmx_quota_answer_t *answer)
{
	mmx_quota_account_t *account = line->account;
	mmx_quota_hop_t hop;

	if (!answer->granted || account->limit.rate == 0 ||
	    choose_node_(account, &hop) != call->node)
		return;
	add_returned_(account, answer->granted, call->sent_at);
	mark_dirty_(account);
}

void mmx_quota_on_own_answer_(mmx_quota_call_t *call,
			      const mmx_quota_answer_t *answers)
{
	size_t i;

	for (i = 0; i < call->count; i++)
		if (!answers)
			on_failed_line_(call, &call->lines[i]);
		else if (call->late)
			on_late_line_(call, &call->lines[i], &answers[i]);
		else
			on_line_(call, &call->lines[i], &answers[i]);
}

void mmx_quota_on_wait_(void *arg)
{
	mmx_quota_account_t *account = arg;
	mmx_time_t now = mmx_quota_now_(account->quota);
	mmx_quota_waiting_t *waiting;
	mmx_time_t retry_after;

	while ((waiting = g_queue_peek_head(&account->waiting))) {
		mmx_time_t left = waiting->since + MMX_QUOTA_WAIT_MAX_US - now;

		if (left > 0) {
			mmx_timer_set(&account->wait_timer, left);
			return;
		}
		if (account->limit.rate == 0 ||
		    take_here_(account, 0, 1, &retry_after))
			decide_(account, MMX_QUOTA_GRANTED, 0);
		else
			decide_(account, MMX_QUOTA_REFUSED, retry_after);
	}
}

static mmx_quota_result_t wait_(mmx_quota_account_t *account, void *request)
{
	mmx_quota_waiting_t *waiting = g_new0(mmx_quota_waiting_t, 1);

	waiting->request = request;
	waiting->since = mmx_quota_now_(account->quota);
	g_queue_push_tail(&account->waiting, waiting);
	if (!mmx_timer_is_set(&account->wait_timer))
		mmx_timer_set(&account->wait_timer, MMX_QUOTA_WAIT_MAX_US);
	if (!account->asking)
		mark_dirty_(account);
	return MMX_QUOTA_PENDING;
}

mmx_quota_result_t mmx_quota_take(mmx_quota_t *quota, const char *name,
				  const mmx_quota_limit_t *limit, void *request,
				  mmx_time_t *retry_after)
{
	mmx_time_t now = mmx_quota_now_(quota);
	mmx_quota_result_t result = MMX_QUOTA_GRANTED;
	mmx_quota_account_t *account;
	mmx_quota_hop_t hop;
	mmx_node_id_t node;

	assert(mmx_quota_is_valid_account(name));
	mmx_quota_check_gap_(quota);
	account = mmx_quota_get_account_(quota, name);
	mmx_quota_apply_limit_(account, limit);
	account->touched_at = now;
	*retry_after = 0;
	if (account->limit.rate == 0)
		return MMX_QUOTA_GRANTED;
	if (!g_queue_is_empty(&account->waiting))
		return wait_(account, request);
	if (now < account->refused_until) {
		*retry_after = queue_up_(account);
		result = MMX_QUOTA_REFUSED;
	} else if (!use_held_(account)) {
		node = choose_node_(account, &hop);
		if (node && node != quota->config.node)
			return wait_(account, request);
		if (!take_here_(account, node, 1, retry_after)) {
			account->retry_after = *retry_after;
			result = MMX_QUOTA_REFUSED;
		}
	}
	count_(account, result);
	return result;
}

void mmx_quota_cancel(mmx_quota_t *quota, const char *name, void *request)
{
	mmx_quota_account_t *account =
		g_hash_table_lookup(quota->accounts, name);
	GList *item;

	if (!account)
		return;
	for (item = account->waiting.head; item; item = item->next) {
		mmx_quota_waiting_t *waiting = item->data;

		if (waiting->request != request)
			continue;
		g_queue_delete_link(&account->waiting, item);
		g_free(waiting);
		break;
	}
	if (g_queue_is_empty(&account->waiting))
		mmx_timer_cancel(&account->wait_timer);
}

void mmx_quota_give_back(mmx_quota_t *quota, const char *name,
			 mmx_time_t taken_at)
{
	mmx_quota_account_t *account =
		g_hash_table_lookup(quota->accounts, name);
	mmx_time_t now = mmx_quota_now_(quota);

	if (!account || account->limit.rate == 0 ||
	    now - taken_at > quota->config.bounds.window - RETURN_TIME_US)
		return;
	add_returned_(account, 1, taken_at);
	account->touched_at = now;
}

void mmx_quota_tick_requester_(mmx_quota_account_t *account)
{
	mmx_time_t now = mmx_quota_now_(account->quota);

	if (account->held && now >= account->held_until)
		account->held = 0;
	if (account->held && now - account->taken_at >= RETURN_US) {
		mmx_quota_hop_t hop;

		if (choose_node_(account, &hop) == account->issuer) {
			add_returned_(account, account->held,
				      account->held_until - MMX_QUOTA_LEASE_US);
			account->given_back_at = now - RETURN_US;
		}
		account->held = 0;
	}
	if (account->given_back && now - account->given_back_at >= RETURN_US)
		mark_dirty_(account);
}
