/**
 * A fleet of config instances in one process, over a fake network and a fake
 * log on a paused clock; for tests and benchmarks.
 *
 * Messages take time, get lost, doubled and reordered; regions can be cut off
 * from each other, in one direction or both, and from the log. Every node
 * exchanges its news with a random member each second, as PING and ACK do.
 */
#ifndef MASTICMUX_FAKE_FLEET_H
#define MASTICMUX_FAKE_FLEET_H

#include "masticmux/config.h"

#define FAKE_FLEET_REGIONS_MAX 8

typedef struct fake_fleet_options_t {
	size_t regions;
	size_t nodes_per_region;
	unsigned int loss_percent;
	unsigned int duplicate_percent;
	unsigned int reorder_percent;
	mmx_time_t retention; /**< of the log; 0: one hour */
	uint64_t seed;
} fake_fleet_options_t;

typedef struct fake_fleet_t fake_fleet_t;

/** Creates and starts a fleet; all nodes are new. */
fake_fleet_t *fake_fleet_create(const fake_fleet_options_t *options);
void fake_fleet_destroy(fake_fleet_t *fleet);

mmx_clock_t *fake_fleet_clock(const fake_fleet_t *fleet);
void fake_fleet_run(fake_fleet_t *fleet, mmx_time_t time);

size_t fake_fleet_count(const fake_fleet_t *fleet);
mmx_config_t *fake_fleet_config(const fake_fleet_t *fleet, size_t node);

/** Appends to the stream `config` and frees the record; returns its offset. */
uint64_t fake_fleet_append(fake_fleet_t *fleet, char *record);

/** Appends to any stream and frees the record; returns its offset. */
uint64_t fake_fleet_append_to(fake_fleet_t *fleet, mmx_config_stream_t stream,
			      char *record);

/** Drops the oldest records of a stream up to an offset. */
void fake_fleet_expire(fake_fleet_t *fleet, mmx_config_stream_t stream,
		       uint64_t first);

/** Offset of the next append to a stream. */
uint64_t fake_fleet_next(const fake_fleet_t *fleet, mmx_config_stream_t stream);

/** Lets the next appends by nodes take effect without an answer. */
void fake_fleet_lose_answers(fake_fleet_t *fleet, unsigned int appends);

/** Makes the log reachable from a region or not. */
void fake_fleet_set_log(fake_fleet_t *fleet, size_t region, bool reachable);

/** Blocks or opens the way of messages from one region to another. */
void fake_fleet_block(fake_fleet_t *fleet, size_t from, size_t to,
		      bool blocked);

/** Tells every node that the alive nodes are those it can reach. */
void fake_fleet_refresh_members(fake_fleet_t *fleet);

/** Cuts a node off from all others and the log, or reconnects it. */
void fake_fleet_isolate(fake_fleet_t *fleet, size_t node, bool isolated);

/** Replaces a node by a new one without configuration. */
void fake_fleet_restart(fake_fleet_t *fleet, size_t node);

/** Calls a function for each record that a node applies; NULL: none. */
void fake_fleet_observe(fake_fleet_t *fleet, size_t node,
			void (*fn)(void *arg,
				   const mmx_config_state_result_t *result),
			void *arg);

/** Number of nodes that have applied the offset or a later one. */
size_t fake_fleet_in_force(const fake_fleet_t *fleet, uint64_t offset);

/**
 * Runs until all nodes have applied an offset.
 *
 * @return time it took, or MMX_TIME_NEVER when the limit passed
 */
mmx_time_t fake_fleet_settle(fake_fleet_t *fleet, uint64_t offset,
			     mmx_time_t limit);

/** Number of times that a node went back. */
size_t fake_fleet_reverts(const fake_fleet_t *fleet);

/** Whether all nodes are at the same offset and have the same state. */
bool fake_fleet_agrees(const fake_fleet_t *fleet);

/** Bytes sent by all nodes for the configuration. */
uint64_t fake_fleet_bytes(const fake_fleet_t *fleet);

/** Appends to the log and reads from it by all nodes. */
uint64_t fake_fleet_appends(const fake_fleet_t *fleet);
uint64_t fake_fleet_reads(const fake_fleet_t *fleet);

/** Bytes of records read from the log by all nodes. */
uint64_t fake_fleet_read_bytes(const fake_fleet_t *fleet);

#endif
