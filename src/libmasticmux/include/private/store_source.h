/*
 * Selects the source from which a node reads the topics of the shared store:
 * the store itself or another node of its zone. The number of reads at the
 * store thus grows with the number of zones and not with the number of nodes.
 *
 * Nodes of a zone are ranked by their id, lowest first. Each node queries the
 * highest-ranked node before it that has not failed recently; the first node
 * reads the store. This needs no agreement: a node that is queried reads the
 * store for some time, regardless of its own view of the nodes before it. While
 * views differ, more nodes than necessary read the store, never fewer. Does no
 * I/O.
 *
 * Usage: choose before each read and report its result; report the queries of
 * other nodes.
 */
#ifndef MASTICMUX_PRIVATE_STORE_SOURCE_H
#define MASTICMUX_PRIVATE_STORE_SOURCE_H

#include <stddef.h>

#include "masticmux/types.h"

/* The store itself, in place of a node. */
#define MMX_STORE_SOURCE_STORE ((mmx_node_id_t)0)
/* Time for which a node reads the store after it was queried. Nodes send about
 * one query per second. */
#define MMX_STORE_SOURCE_QUERIED_TTL_US (3 * MMX_US_PER_S)
/* Time for which a failed node is not queried; doubles with each further
 * failure, up to the maximum. */
#define MMX_STORE_SOURCE_BACKOFF_MIN_US (4 * MMX_US_PER_S)
#define MMX_STORE_SOURCE_BACKOFF_MAX_US (60 * MMX_US_PER_S)

typedef struct mmx_store_source_t mmx_store_source_t;

/* self: this node */
mmx_store_source_t *mmx_store_source_create(mmx_node_id_t self);
void mmx_store_source_destroy(mmx_store_source_t *source);

/*
 * Returns the node to query, or MMX_STORE_SOURCE_STORE.
 *
 * nodes: the other nodes of the zone, in any order; NULL if count is 0
 * now: time of the clock, microseconds, as in all calls
 */
mmx_node_id_t mmx_store_source_choose(mmx_store_source_t *source,
				      const mmx_node_id_t *nodes, size_t count,
				      mmx_time_t now);

/* A node replied with updates that are recent enough. */
void mmx_store_source_report_success(mmx_store_source_t *source,
				     mmx_node_id_t node);

/* A node did not reply, or its updates are malformed or too old. */
void mmx_store_source_report_failure(mmx_store_source_t *source,
				     mmx_node_id_t node, mmx_time_t now);

/* Another node has queried this one. */
void mmx_store_source_on_query(mmx_store_source_t *source, mmx_time_t now);

/* Returns whether this node was queried within
 * MMX_STORE_SOURCE_QUERIED_TTL_US. */
bool mmx_store_source_is_queried(const mmx_store_source_t *source,
				 mmx_time_t now);

#endif
