/*
 * Where a node reads the topics of the shared store: at the store, or from
 * another node of its zone, so that the cost of reading grows with the zones
 * and not with the nodes.
 *
 * Nodes of a zone are ranked by their id. Each asks the first one before it
 * that has not failed it lately; the first of all reads the store. There is no
 * agreement: a node that is asked reads the store for some time, whatever it
 * believes of the nodes before it. While views differ there are more readers
 * than needed, never fewer. Does no I/O.
 *
 * Usage: choose before each read, report how it went; report questions of
 * other nodes.
 */
#ifndef MASTICMUX_PRIVATE_STORE_SOURCE_H
#define MASTICMUX_PRIVATE_STORE_SOURCE_H

#include <stddef.h>

#include "masticmux/types.h"

/* The store itself, in place of a node. */
#define MMX_STORE_SOURCE_STORE ((mmx_node_id_t)0)
/* A node that was asked reads the store for this long. Nodes ask about once a
 * second. */
#define MMX_STORE_SOURCE_QUERIED_TTL_US (3 * MMX_US_PER_S)
/* Time for which a node that failed is not asked; doubles up to the second
 * figure with each further failure. */
#define MMX_STORE_SOURCE_BACKOFF_MIN_US (4 * MMX_US_PER_S)
#define MMX_STORE_SOURCE_BACKOFF_MAX_US (60 * MMX_US_PER_S)

typedef struct mmx_store_source_t mmx_store_source_t;

/* self: this node. */
mmx_store_source_t *mmx_store_source_create(mmx_node_id_t self);
void mmx_store_source_destroy(mmx_store_source_t *source);

/*
 * The node to ask, or MMX_STORE_SOURCE_STORE.
 *
 * nodes: the other nodes of the zone, in any order
 */
mmx_node_id_t mmx_store_source_choose(mmx_store_source_t *source,
				      const mmx_node_id_t *nodes, size_t count,
				      mmx_time_t now);

/* A node gave news that are fresh. */
void mmx_store_source_report_success(mmx_store_source_t *source,
				     mmx_node_id_t node);

/* A node gave none, or old ones. */
void mmx_store_source_report_failure(mmx_store_source_t *source,
				     mmx_node_id_t node, mmx_time_t now);

/* Another node asks this one. */
void mmx_store_source_on_query(mmx_store_source_t *source, mmx_time_t now);

/* Others ask this node. */
bool mmx_store_source_is_queried(const mmx_store_source_t *source,
				 mmx_time_t now);

#endif
