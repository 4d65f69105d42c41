/* Several quota objects that are connected by messages which tests delay, drop,
 * and cut one way; nodes freeze, stop and restart. Time is the world's; each
 * node has a paused clock of its own. */
#ifndef MASTICMUX_TEST_QUOTA_WORLD_H
#define MASTICMUX_TEST_QUOTA_WORLD_H

#include <glib.h>

#include "masticmux/random.h"
#include "private/quota.h"

#define QUOTA_WORLD_NODES 104
#define QUOTA_WORLD_ACCOUNTS 96
#define QUOTA_WORLD_STEP_US (2 * MMX_US_PER_MS)

typedef struct quota_world_t quota_world_t;

typedef struct quota_node_t {
	quota_world_t *world;
	mmx_node_id_t id;
	size_t index;
	mmx_clock_t *clock;
	mmx_quota_t *quota; /* NULL: stopped */
	unsigned int incarnation;
	mmx_time_t frozen_for; /* while frozen */
	bool frozen;
	bool refuses;	    /* token requests, as a node that stops */
	bool listed;	    /* in the roster */
	unsigned int group; /* only nodes of the same group are in its list */
	uint64_t version;   /* of its configuration */
	mmx_time_t thawed_at;
} quota_node_t;

/* Of one account. */
typedef struct quota_account_t {
	char name[16];
	mmx_quota_limit_t limit;     /* of the newest version */
	mmx_quota_limit_t old_limit; /* of the versions before */
	GArray *grants;		     /* of mmx_time_t, in order */
	size_t refused;
	size_t asked;
	mmx_time_t last_retry;
} quota_account_t;

struct quota_world_t {
	mmx_time_t now;
	mmx_quota_bounds_t bounds;
	size_t count;
	quota_node_t nodes[QUOTA_WORLD_NODES];
	bool cut[QUOTA_WORLD_NODES][QUOTA_WORLD_NODES]; /* from, to */
	unsigned int loss; /* of messages, percent */
	quota_account_t accounts[QUOTA_WORLD_ACCOUNTS];
	size_t account_count;
	GQueue messages; /* in order of arrival */
	GPtrArray *pending;
	mmx_random_t random;
	mmx_time_t latency_max;
	mmx_time_t longest_wait; /* at nodes that were not frozen */
	size_t message_count;
	size_t byte_count;
	size_t events[MMX_QUOTA_EVENT_COUNT];
	unsigned int returned_percent; /* of granted requests, at once */
};

quota_world_t *quota_world_create(size_t nodes, uint64_t seed);
void quota_world_destroy(quota_world_t *world);
quota_account_t *quota_world_add_account(quota_world_t *world, double rate,
					 double burst);
void quota_world_run(quota_world_t *world, mmx_time_t time);
void quota_world_request(quota_world_t *world, size_t node, size_t account);
/* Sends per_s requests of the first account each second to the nodes from
 * first on, in turn. */
void quota_world_flood(quota_world_t *world, size_t first, size_t count,
		       double per_s, mmx_time_t time);
void quota_world_stop(quota_node_t *node);
void quota_world_start(quota_node_t *node);
void quota_world_freeze(quota_node_t *node);
void quota_world_thaw(quota_node_t *node);
/* Cuts or restores the links between the first nodes and all others. */
void quota_world_cut(quota_world_t *world, size_t first, bool to_others,
		     bool from_others);
void quota_world_announce_nodes(quota_world_t *world);
/* Index of the node that has a rank in the order of an account. */
size_t quota_world_ranked(const quota_world_t *world, size_t account,
			  size_t rank);
/* Most grants in one window, and the bound for the limit of the account. */
size_t quota_world_most(const quota_world_t *world,
			const quota_account_t *account);
double quota_world_bound(const quota_world_t *world,
			 const quota_account_t *account);
/* Grants of the first account from a time on, as a share of rate x time. */
double quota_world_used(const quota_world_t *world, mmx_time_t since);

#endif
