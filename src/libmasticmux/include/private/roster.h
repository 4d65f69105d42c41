/*
 * Roster: where the nodes are and which targets stand beside them, one record
 * per node in the shared store. Records say nothing about liveness. Does no
 * I/O; the targets are kept in the directory.
 *
 * Records of one node are ordered by their offset in the store. A write that
 * takes effect late may bring back an older record: the node that it names
 * sees it and writes the right one again (part_roster.c).
 */
#ifndef MASTICMUX_PRIVATE_ROSTER_H
#define MASTICMUX_PRIVATE_ROSTER_H

#include "masticmux/address.h"
#include "masticmux/directory.h"
#include "masticmux/error.h"

/* Most targets of one node that a record holds. */
#define MMX_ROSTER_TARGETS_MAX 64

typedef struct mmx_roster_t mmx_roster_t;

/* A node as its record says. */
typedef struct mmx_roster_node_t {
	mmx_node_id_t id;
	char name[MMX_NAME_MAX + 1];
	char region[MMX_NAME_MAX + 1];
	char zone[MMX_NAME_MAX + 1];
	mmx_address_t address; /* for other nodes */
	uint64_t offset;       /* of the record */
} mmx_roster_node_t;

/* The directory outlives the roster. */
mmx_roster_t *mmx_roster_create(mmx_directory_t *directory);
void mmx_roster_destroy(mmx_roster_t *roster);

/*
 * Takes over the record of another node. Targets that the record no longer
 * names leave the directory.
 *
 * Returns false and sets the error when the record is not valid; an older one
 * is ignored and is no error.
 */
bool mmx_roster_merge(mmx_roster_t *roster, const char *value, size_t length,
		      uint64_t offset, mmx_error_t *error);

/* The record of a node was dropped. */
void mmx_roster_remove(mmx_roster_t *roster, const char *name, uint64_t offset);

/* NULL when unknown. */
const mmx_roster_node_t *mmx_roster_find(const mmx_roster_t *roster,
					 mmx_node_id_t node);
size_t mmx_roster_count(const mmx_roster_t *roster);

typedef void (*mmx_roster_fn_t)(void *arg, const mmx_roster_node_t *node);
void mmx_roster_foreach(const mmx_roster_t *roster, mmx_roster_fn_t fn,
			void *arg);

/*
 * Record of this node; targets that leave are left out.
 *
 * Returns text to be freed with g_free().
 */
char *mmx_roster_encode(const mmx_roster_node_t *node,
			const mmx_target_record_t *targets, size_t count);

#endif
