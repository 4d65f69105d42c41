/* Order of the nodes of an account, and the numbers that follow from limit,
 * bounds and rank. */
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "private/quota_internal.h"

/* A bucket holds what is added in this time: a node with all of the demand asks
 * again 100 ms after a refusal and has the tokens a round trip later. */
#define REFILL_S 0.25

static uint64_t score_(const char *account, mmx_node_id_t node)
{
	return XXH3_64bits_withSeed(account, strlen(account), node);
}

/* True if a is before b. */
static bool is_before_(uint64_t score_a, mmx_node_id_t a, uint64_t score_b,
		       mmx_node_id_t b)
{
	return score_a > score_b || (score_a == score_b && a > b);
}

static mmx_node_id_t find_first_(const GArray *nodes, const char *account)
{
	mmx_node_id_t first = 0;
	uint64_t best = 0;
	guint i;

	for (i = 0; i < nodes->len; i++) {
		mmx_node_id_t node = g_array_index(nodes, mmx_node_id_t, i);
		uint64_t score = score_(account, node);

		if (!first || is_before_(score, node, best, first)) {
			first = node;
			best = score;
		}
	}
	return first;
}

static bool has_node_(const GArray *nodes, mmx_node_id_t node);

/* Finds out since when this node is first, and whom it follows. */
static void find_term_(mmx_quota_account_t *account)
{
	const mmx_quota_t *quota = account->quota;
	size_t i;

	account->first_since = MMX_TIME_NEVER;
	account->inherited = false;
	if (account->rank > 0)
		return;
	for (i = 0; i < MMX_QUOTA_HISTORY && quota->history[i].nodes; i++) {
		mmx_node_id_t first =
			find_first_(quota->history[i].nodes, account->name);

		if (first != quota->config.node) {
			account->inherited = !has_node_(quota->nodes, first);
			return;
		}
		account->first_since = quota->history[i].since;
	}
}

void mmx_quota_order_(mmx_quota_account_t *account)
{
	mmx_quota_t *quota = account->quota;
	mmx_node_id_t self = quota->config.node;
	uint64_t own = score_(account->name, self);
	uint64_t scores[MMX_QUOTA_OWNERS] = {0};
	guint i;

	if (account->generation == quota->generation)
		return;
	account->generation = quota->generation;
	account->rank = 0;
	memset(account->owners, 0, sizeof(account->owners));
	for (i = 0; i < quota->nodes->len; i++) {
		mmx_node_id_t node =
			g_array_index(quota->nodes, mmx_node_id_t, i);
		uint64_t score = score_(account->name, node);
		size_t at = MMX_QUOTA_OWNERS;
		size_t last;

		if (node == self && quota->draining)
			continue;
		if (node != self && is_before_(score, node, own, self))
			account->rank++;
		if (node != self && mmx_quota_is_absent_(quota, node))
			continue;
		while (at > 0 && (account->owners[at - 1] == 0 ||
				  is_before_(score, node, scores[at - 1],
					     account->owners[at - 1])))
			at--;
		for (last = MMX_QUOTA_OWNERS - 1; last > at; last--) {
			account->owners[last] = account->owners[last - 1];
			scores[last] = scores[last - 1];
		}
		if (at == MMX_QUOTA_OWNERS)
			continue;
		account->owners[at] = node;
		scores[at] = score;
	}
	find_term_(account);
}

static int compare_nodes_(gconstpointer a, gconstpointer b)
{
	mmx_node_id_t first = *(const mmx_node_id_t *)a;
	mmx_node_id_t second = *(const mmx_node_id_t *)b;

	return first < second ? -1 : first > second;
}

static bool has_node_(const GArray *nodes, mmx_node_id_t node)
{
	return g_array_binary_search((GArray *)nodes, &node, compare_nodes_,
				     NULL);
}

/* nodes: sorted */
static void drop_duplicates_(GArray *nodes)
{
	mmx_node_id_t *ids = (mmx_node_id_t *)nodes->data;
	guint count = 0;
	guint i;

	for (i = 0; i < nodes->len; i++)
		if (i == 0 || ids[i] != ids[count - 1])
			ids[count++] = ids[i];
	g_array_set_size(nodes, count);
}

static gboolean is_gone_(gpointer key, gpointer value, gpointer data)
{
	const mmx_quota_peer_t *peer = value;

	(void)key;
	return !has_node_(data, peer->node);
}

void mmx_quota_on_nodes_changed(mmx_quota_t *quota)
{
	GArray *nodes = g_array_new(FALSE, FALSE, sizeof(mmx_node_id_t));
	mmx_time_t now = mmx_quota_now_(quota);
	mmx_quota_nodes_t *last;

	quota->ops->list_nodes(quota->context, nodes);
	g_array_sort(nodes, compare_nodes_);
	drop_duplicates_(nodes);
	/* A node that the others do not know must not decide for them. */
	if (!nodes->len)
		g_array_append_val(nodes, quota->config.node);
	if (quota->nodes && nodes->len == quota->nodes->len &&
	    memcmp(nodes->data, quota->nodes->data,
		   nodes->len * sizeof(mmx_node_id_t)) == 0) {
		g_array_free(nodes, TRUE);
		return;
	}
	last = &quota->history[MMX_QUOTA_HISTORY - 1];
	if (last->nodes)
		g_array_free(last->nodes, TRUE);
	memmove(&quota->history[1], &quota->history[0],
		(MMX_QUOTA_HISTORY - 1) * sizeof(*last));
	quota->history[0] = (mmx_quota_nodes_t){.nodes = nodes, .since = now};
	quota->nodes = nodes;
	quota->generation++;
	g_hash_table_foreach_remove(quota->peers, is_gone_, nodes);
}

static double window_(const mmx_quota_account_t *account)
{
	return (double)account->quota->config.bounds.window /
	       (double)MMX_US_PER_S;
}

/* Requests beyond rate and burst that the bound allows in one window. */
static double tolerance_(const mmx_quota_account_t *account)
{
	const mmx_quota_bounds_t *bounds = &account->quota->config.bounds;

	return bounds->overshoot * (account->limit.rate * window_(account) +
				    account->limit.burst) +
	       bounds->slack;
}

double mmx_quota_capacity_(const mmx_quota_account_t *account)
{
	const mmx_quota_bounds_t *bounds = &account->quota->config.bounds;
	double burst = account->limit.burst;
	double refilled = account->limit.rate * REFILL_S;

	/* At most half of the tolerance is used for this. */
	refilled = MIN(refilled, burst + tolerance_(account) / 2);
	/* One request has to fit without burst and slack. */
	return MAX(MAX(burst + bounds->slack / 2, refilled), 1);
}

double mmx_quota_reserve_(const mmx_quota_account_t *account)
{
	double beyond = mmx_quota_capacity_(account) - account->limit.burst;

	return MAX(tolerance_(account) - beyond, 0);
}

double mmx_quota_missing_max_(const mmx_quota_account_t *account)
{
	double reserve = mmx_quota_reserve_(account);

	return 0.75 * reserve /
	       (reserve / 4 + account->limit.rate * window_(account));
}

void mmx_quota_open_local_(mmx_quota_account_t *account)
{
	mmx_quota_t *quota = account->quota;
	mmx_time_t now = mmx_quota_now_(quota);
	double nodes = quota->nodes->len;
	double reserve = mmx_quota_reserve_(account);
	double rank;
	double tokens;

	mmx_quota_order_(account);
	rank = (double)account->rank;
	/* The nodes of the lowest ranks have a token; those of the others come
	 * one after the other, so that they are not all used at once. */
	tokens = rank < floor(reserve / 4) ? 1 : 1 - (rank + 1) / nodes;
	if (account->local_at >= 0 &&
	    now - account->local_at <= quota->config.bounds.window) {
		/* Tokens of a time without requests do not add up. */
		mmx_time_t idle = now - account->local_at;

		if (idle > MMX_US_PER_S)
			mmx_quota_bucket_skip(&account->local,
					      account->local_at, now);
	} else {
		mmx_quota_bucket_init(&account->local,
				      account->limit.rate / nodes,
				      MAX(1, reserve / 4 / nodes), tokens, now);
	}
	account->local_at = now;
}
