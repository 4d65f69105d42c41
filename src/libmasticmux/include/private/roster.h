/*
 * Roster: the addresses of the nodes and the targets beside them. Each node has
 * one record in the shared store. Records say nothing about liveness. Does no
 * I/O; the targets are added to the directory.
 *
 * Records of one node are ordered by their offset in the store. A delayed write
 * may take effect after a newer one and restore an outdated record under a
 * higher offset. The node that the record names detects this and writes its
 * current record again (part_roster.c).
 */
#ifndef MASTICMUX_PRIVATE_ROSTER_H
#define MASTICMUX_PRIVATE_ROSTER_H

#include "masticmux/address.h"
#include "masticmux/directory.h"
#include "masticmux/error.h"

/* Maximum number of targets in the record of one node. */
#define MMX_ROSTER_TARGETS_MAX 64

typedef struct mmx_roster_t mmx_roster_t;

/* A node, as described by its record. */
typedef struct mmx_roster_node_t {
	mmx_node_id_t id;
	char name[MMX_NAME_MAX + 1];
	char region[MMX_NAME_MAX + 1];
	char zone[MMX_NAME_MAX + 1];
	mmx_address_t address; /* on which it accepts other nodes */
	uint64_t offset;       /* of the record in the store */
} mmx_roster_node_t;

/* directory: must outlive the roster */
mmx_roster_t *mmx_roster_create(mmx_directory_t *directory);
void mmx_roster_destroy(mmx_roster_t *roster);

/*
 * Applies the record of another node. Targets that the record no longer lists
 * become MMX_TARGET_GONE in the directory. A record that is not newer than the
 * known one is ignored, which is no error.
 *
 * key: of the record in the store; must be the name of the node in it
 * value: JSON text of length bytes
 * offset: of the record in the store
 *
 * Returns false and sets the error if the record is not valid; nothing is
 * applied then.
 */
bool mmx_roster_merge(mmx_roster_t *roster, const char *key, const char *value,
		      size_t length, uint64_t offset, mmx_error_t *error);

/* Removes a node whose record was deleted at this offset, and its targets.
 * Ignored if the known record is not older. */
void mmx_roster_remove(mmx_roster_t *roster, const char *name, uint64_t offset);

/* Returns NULL if the node is unknown. */
const mmx_roster_node_t *mmx_roster_find(const mmx_roster_t *roster,
					 mmx_node_id_t node);
size_t mmx_roster_count(const mmx_roster_t *roster);

typedef void (*mmx_roster_fn_t)(void *arg, const mmx_roster_node_t *node);
void mmx_roster_foreach(const mmx_roster_t *roster, mmx_roster_fn_t fn,
			void *arg);

/*
 * Encodes the record of this node. Targets that are draining or gone are left
 * out.
 *
 * Returns JSON text to be freed with g_free().
 */
char *mmx_roster_encode(const mmx_roster_node_t *node,
			const mmx_target_record_t *targets, size_t count);

#endif
