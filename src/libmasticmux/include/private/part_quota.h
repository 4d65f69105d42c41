/*
 * Part "quota": connects the fleet-wide rate limits of accounts with entry,
 * configuration, list of nodes and peers of a node.
 */
#ifndef MASTICMUX_PRIVATE_PART_QUOTA_H
#define MASTICMUX_PRIVATE_PART_QUOTA_H

#include <jansson.h>

#include "private/node_parts.h"

/* Most accounts that a status lists. */
#define MMX_STATUS_ACCOUNTS_MAX 256

/* Returns the accounts in use at the node as a JSON array, by name: name, rate,
 * burst, version, owner (name, or null while isolated), use_permille, tokens,
 * answer_age_ms, waiting. left_out is set to the number beyond the maximum. */
json_t *mmx_part_quota_status(const mmx_node_t *node, size_t *left_out);

#endif
