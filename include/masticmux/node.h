/**
 * Node: the process beside the targets of one instance.
 *
 * Life: create, init, run, destroy. run returns after a planned stop, which
 * SIGTERM or SIGINT begins: the node announces that it leaves, stops accepting
 * callers, finishes what is in progress, and ends.
 */
#ifndef MASTICMUX_NODE_H
#define MASTICMUX_NODE_H

#include "masticmux/error.h"
#include "masticmux/settings.h"

typedef struct mmx_node_t mmx_node_t;

/** Creates a node. The settings outlive it. */
mmx_node_t *mmx_node_create(const mmx_settings_t *settings);

/**
 * Names the file that SIGHUP reads again; without it SIGHUP changes nothing.
 *
 * @param path  copied; may be NULL
 */
void mmx_node_set_settings_path(mmx_node_t *node, const char *path);

/** Destroys a node; closes its sockets. NULL is allowed. */
void mmx_node_destroy(mmx_node_t *node);

/**
 * Prepares every part and opens the sockets. Valid once.
 *
 * @return false when an address cannot be used; then only destroy is valid
 */
bool mmx_node_init(mmx_node_t *node, mmx_error_t *error);

/**
 * Runs until a planned stop has ended. Valid after init.
 *
 * @return true when nothing was in progress any more at the end
 */
bool mmx_node_run(mmx_node_t *node);

#endif
