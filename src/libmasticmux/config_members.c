/* Members: the readers of each region and the peers of the own region. */
#include <xxhash.h>

#include "private/config_internal.h"

/* Hash seed of the rendezvous score; must be the same on all nodes. */
#define SCORE_SEED 0x636f6e666967ULL

static uint64_t score_(mmx_node_id_t node)
{
	return XXH64(&node, sizeof(node), SCORE_SEED);
}

bool mmx_config_is_remote_(const mmx_config_t *config, mmx_node_id_t peer)
{
	size_t i;

	for (i = 0; i < config->member_count; i++)
		if (config->members[i].id == peer)
			return config->members[i].region !=
			       config->options.region;
	return true;
}

static mmx_config_region_t *get_region_(mmx_config_t *config, uint64_t region)
{
	size_t i;

	for (i = 0; i < config->region_count; i++)
		if (config->regions[i].region == region)
			return &config->regions[i];
	if (config->region_count == MMX_CONFIG_REGIONS_MAX)
		return NULL;
	config->regions[config->region_count] =
		(mmx_config_region_t){.region = region};
	return &config->regions[config->region_count++];
}

static void rank_member_(mmx_config_region_t *region, mmx_node_id_t id)
{
	uint64_t score = score_(id);
	size_t i = region->count;

	if (i == MMX_CONFIG_READERS_PER_REGION &&
	    score >= region->scores[i - 1])
		return;
	if (i < MMX_CONFIG_READERS_PER_REGION)
		region->count++;
	else
		i--;
	while (i > 0 && region->scores[i - 1] > score) {
		region->scores[i] = region->scores[i - 1];
		region->readers[i] = region->readers[i - 1];
		i--;
	}
	region->scores[i] = score;
	region->readers[i] = id;
}

static void rank_self_(mmx_config_t *config)
{
	uint64_t own = score_(config->options.self);
	size_t i;
	size_t r;

	config->reader_rank = -1;
	config->global_rank = 0;
	for (i = 0; i < config->region_count; i++) {
		const mmx_config_region_t *region = &config->regions[i];

		for (r = 0; r < region->count; r++) {
			if (region->readers[r] == config->options.self)
				config->reader_rank = (int)r;
			config->global_rank += region->scores[r] < own;
		}
	}
	if (config->reader_rank < 0)
		config->global_rank = -1;
}

void mmx_config_set_members(mmx_config_t *config,
			    const mmx_config_member_t *members, size_t count)
{
	mmx_config_region_t *region;
	size_t i;

	g_free(config->members);
	g_free(config->region_peers);
	config->members = g_new(mmx_config_member_t, count + 1);
	config->region_peers = g_new(mmx_node_id_t, count + 1);
	config->member_count = 0;
	config->region_peer_count = 0;
	config->region_count = 0;
	for (i = 0; i <= count; i++) {
		mmx_config_member_t member = {config->options.self,
					      config->options.region};

		/* This node counts as alive whether listed or not. It is
		 * added last. */
		if (i < count && members[i].id == config->options.self)
			continue;
		if (i < count)
			member = members[i];
		config->members[config->member_count++] = member;
		if (i < count && member.region == config->options.region)
			config->region_peers[config->region_peer_count++] =
				member.id;
		region = get_region_(config, member.region);
		if (region)
			rank_member_(region, member.id);
	}
	rank_self_(config);
}

int mmx_config_reader_rank(const mmx_config_t *config)
{
	return config->reader_rank;
}
