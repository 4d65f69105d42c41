/* State of the accounts in use at this node: creation, limits, status. */
#include <assert.h>
#include <math.h>
#include <string.h>

#include "private/quota_internal.h"

/* State of an account that is not in use is dropped after this time. */
#define IDLE_US (10 * MMX_US_PER_S)
/* The use of the limit is unknown if the last reply is older. */
#define USE_AGE_US (3 * MMX_US_PER_S)

const char *const mmx_quota_result_string[MMX_QUOTA_RESULT_COUNT] = {
	"granted", "refused", "pending"};
const char *const mmx_quota_event_string[MMX_QUOTA_EVENT_COUNT] = {
	"owner-lost", "isolated", "restored", "took-over"};

void mmx_quota_event_(mmx_quota_account_t *account, mmx_quota_event_t event,
		      mmx_node_id_t node)
{
	const mmx_quota_t *quota = account->quota;

	if (quota->ops->on_event)
		quota->ops->on_event(quota->context, account->name, event,
				     node);
}

static void free_account_(gpointer data)
{
	mmx_quota_account_t *account = data;

	if (account->dirty)
		TAILQ_REMOVE(&account->quota->dirty, account, dirty_entry);
	mmx_timer_cancel(&account->wait_timer);
	g_queue_clear_full(&account->waiting, g_free);
	g_free(account);
}

mmx_quota_account_t *mmx_quota_get_account_(mmx_quota_t *quota,
					    const char *name)
{
	mmx_quota_account_t *account =
		g_hash_table_lookup(quota->accounts, name);
	mmx_quota_limit_t limit;

	if (account)
		return account;
	account = g_new0(mmx_quota_account_t, 1);
	account->quota = quota;
	g_strlcpy(account->name, name, sizeof(account->name));
	g_queue_init(&account->waiting);
	account->answered_at = -1;
	account->local_at = -1;
	account->delegated_at = -1;
	account->heard_at = -1;
	mmx_timer_init(&account->wait_timer, quota->config.clock,
		       mmx_quota_on_wait_, account);
	g_hash_table_insert(quota->accounts, account->name, account);
	if (quota->ops->find_limit(quota->context, name, &limit))
		mmx_quota_apply_limit_(account, &limit);
	if (!mmx_timer_is_set(&quota->tick_timer)) {
		quota->tick_at = mmx_quota_now_(quota);
		quota->ticking = true;
		mmx_timer_set(&quota->tick_timer, MMX_QUOTA_TICK_US);
	}
	return account;
}

void mmx_quota_apply_limit_(mmx_quota_account_t *account,
			    const mmx_quota_limit_t *limit)
{
	mmx_quota_limit_t old = account->limit;
	mmx_time_t now = mmx_quota_now_(account->quota);

	if (limit->version < old.version ||
	    (limit->version == old.version && old.rate > 0))
		return;
	account->limit = *limit;
	if (limit->rate == old.rate && limit->burst == old.burst)
		return;
	account->refused_until = 0;
	account->local_at = -1;
	if (limit->rate == 0) {
		account->serving = false;
		account->held = 0;
		account->given_back = 0;
		return;
	}
	if (!account->serving)
		return;
	if (limit->rate < old.rate || limit->burst < old.burst)
		mmx_quota_bucket_cut(&account->bucket, limit->burst, now);
	mmx_quota_bucket_set_limit(&account->bucket, limit->rate,
				   mmx_quota_capacity_(account), now);
	mmx_quota_tick_owner_(account, mmx_quota_reach_(account->quota));
}

static GPtrArray *list_accounts_(mmx_quota_t *quota)
{
	GPtrArray *accounts = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quota->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(accounts, value);
	return accounts;
}

void mmx_quota_on_limits_changed(mmx_quota_t *quota)
{
	/* Decisions may lead to calls that add accounts; accounts are removed
	 * by the timer only. */
	GPtrArray *accounts = list_accounts_(quota);
	mmx_quota_limit_t limit;
	guint i;

	for (i = 0; i < accounts->len; i++) {
		mmx_quota_account_t *account = g_ptr_array_index(accounts, i);

		if (!quota->ops->find_limit(quota->context, account->name,
					    &limit))
			continue;
		mmx_quota_apply_limit_(account, &limit);
		if (account->limit.rate == 0)
			mmx_quota_decide_waiting_(account);
	}
	g_ptr_array_free(accounts, TRUE);
}

void mmx_quota_set_draining(mmx_quota_t *quota, bool draining)
{
	if (quota->draining == draining)
		return;
	quota->draining = draining;
	quota->generation++;
}

static bool is_idle_(const mmx_quota_account_t *account, mmx_time_t now)
{
	return !account->serving && !account->calls && !account->held &&
	       !account->given_back && !account->dirty &&
	       g_queue_is_empty(&((mmx_quota_account_t *)account)->waiting) &&
	       now - account->touched_at > IDLE_US;
}

static void on_tick_(void *arg)
{
	mmx_quota_t *quota = arg;
	mmx_time_t now = mmx_quota_now_(quota);
	GHashTableIter iter;
	gpointer value;
	double reach;

	mmx_quota_check_gap_(quota);
	quota->tick_at = now;
	mmx_quota_tick_peers_(quota);
	reach = mmx_quota_reach_(quota);
	g_hash_table_iter_init(&iter, quota->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mmx_quota_account_t *account = value;

		if (account->limit.rate > 0) {
			mmx_quota_tick_owner_(account, reach);
			mmx_quota_tick_requester_(account);
		}
		if (is_idle_(account, now))
			g_hash_table_iter_remove(&iter);
	}
	quota->ticking = g_hash_table_size(quota->accounts) > 0 ||
			 g_hash_table_size(quota->calls) > 0;
	if (quota->ticking)
		mmx_timer_set(&quota->tick_timer, MMX_QUOTA_TICK_US);
}

static mmx_counter_t *counter_(mmx_quota_t *quota, const char *name,
			       const char *labels, const char *help)
{
	return quota->config.counters
		       ? mmx_counters_get(quota->config.counters, MMX_COUNTER,
					  name, labels, help)
		       : NULL;
}

static void create_counters_(mmx_quota_t *quota)
{
	const char *decisions = "masticmux_quota_decisions_total";
	const char *decisions_help = "Requests by decision on their limit.";
	const char *asks = "masticmux_quota_asks_total";
	const char *asks_help = "Messages of token requests that were sent.";

	quota->granted = counter_(quota, decisions, "result=\"granted\"",
				  decisions_help);
	quota->refused = counter_(quota, decisions, "result=\"refused\"",
				  decisions_help);
	quota->asks = counter_(quota, asks, "kind=\"own\"", asks_help);
	quota->relays = counter_(quota, asks, "kind=\"relay\"", asks_help);
	quota->probes = counter_(quota, asks, "kind=\"probe\"", asks_help);
	quota->answers = counter_(quota, "masticmux_quota_answers_total", "",
				  "Replies to token requests.");
	quota->timeouts = counter_(quota, "masticmux_quota_timeouts_total", "",
				   "Token requests without a reply in time.");
	quota->takeovers = counter_(quota, "masticmux_quota_takeovers_total",
				    "", "Terms as standby of an owner.");
}

mmx_quota_t *mmx_quota_create(const mmx_quota_config_t *config,
			      const mmx_quota_ops_t *ops, void *context)
{
	mmx_quota_t *quota = g_new0(mmx_quota_t, 1);

	quota->config = *config;
	quota->ops = ops;
	quota->context = context;
	quota->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						free_account_);
	quota->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
	quota->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     mmx_quota_free_call_);
	LIST_INIT(&quota->served);
	TAILQ_INIT(&quota->dirty);
	quota->next_call = 1;
	quota->next_round = 1;
	mmx_random_seed(&quota->random, config->node);
	mmx_timer_init(&quota->flush_timer, config->clock, mmx_quota_on_flush_,
		       quota);
	mmx_timer_init(&quota->tick_timer, config->clock, on_tick_, quota);
	create_counters_(quota);
	mmx_quota_on_nodes_changed(quota);
	return quota;
}

void mmx_quota_destroy(mmx_quota_t *quota)
{
	size_t i;

	if (!quota)
		return;
	g_hash_table_destroy(quota->calls);
	while (!LIST_EMPTY(&quota->served))
		mmx_quota_free_served_(LIST_FIRST(&quota->served));
	g_hash_table_destroy(quota->accounts);
	g_hash_table_destroy(quota->peers);
	for (i = 0; i < MMX_QUOTA_HISTORY && quota->history[i].nodes; i++)
		g_array_free(quota->history[i].nodes, TRUE);
	mmx_timer_cancel(&quota->flush_timer);
	mmx_timer_cancel(&quota->tick_timer);
	g_free(quota);
}

void mmx_quota_set_bounds(mmx_quota_t *quota, const mmx_quota_bounds_t *bounds)
{
	mmx_time_t now = mmx_quota_now_(quota);
	GHashTableIter iter;
	gpointer value;

	quota->config.bounds = *bounds;
	g_hash_table_iter_init(&iter, quota->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mmx_quota_account_t *account = value;

		account->local_at = -1;
		if (account->serving)
			mmx_quota_bucket_set_limit(
				&account->bucket, account->limit.rate,
				mmx_quota_capacity_(account), now);
	}
}

unsigned int mmx_quota_use(mmx_quota_t *quota, const char *name)
{
	mmx_quota_account_t *account =
		g_hash_table_lookup(quota->accounts, name);
	mmx_time_t now = mmx_quota_now_(quota);

	if (!account || account->answered_at < 0 ||
	    now - account->answered_at > USE_AGE_US)
		return 0;
	return account->use;
}

static mmx_quota_status_t status_(mmx_quota_account_t *account)
{
	mmx_quota_t *quota = account->quota;
	mmx_time_t now = mmx_quota_now_(quota);
	mmx_quota_status_t status = {
		.account = account->name,
		.limit = account->limit,
		.is_owner = account->serving,
		.use = mmx_quota_use(quota, account->name),
		.tokens = account->serving ? account->bucket.tokens
					   : account->held,
		.answer_age = account->answered_at < 0
				      ? -1
				      : now - account->answered_at,
		.retry_after = account->retry_after,
		.waiting = account->waiting.length,
	};

	mmx_quota_order_(account);
	if (!account->isolated)
		status.owner = account->owners[account->lost ? 1 : 0];
	return status;
}

bool mmx_quota_get_status(mmx_quota_t *quota, const char *name,
			  mmx_quota_status_t *status)
{
	mmx_quota_account_t *account =
		g_hash_table_lookup(quota->accounts, name);

	if (account)
		*status = status_(account);
	return account != NULL;
}

void mmx_quota_foreach(mmx_quota_t *quota, mmx_quota_status_fn_t fn, void *arg)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quota->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mmx_quota_status_t status = status_(value);

		fn(arg, &status);
	}
}
