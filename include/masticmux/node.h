/**
 * Node: the proxy process beside the targets of one instance.
 *
 * Lifecycle: create, init, run, destroy. SIGTERM or SIGINT begins a planned
 * stop: the node announces that it leaves, stops accepting connections of
 * callers, completes the requests in progress, and run returns.
 */
#ifndef MASTICMUX_NODE_H
#define MASTICMUX_NODE_H

#include "masticmux/error.h"
#include "masticmux/settings.h"

typedef struct mmx_node_t mmx_node_t;

/**
 * Creates a node.
 *
 * @param settings  not NULL (asserted); must outlive the node
 */
mmx_node_t *mmx_node_create(const mmx_settings_t *settings);

/**
 * Sets the path of the settings file that is reloaded on SIGHUP. Without a
 * path SIGHUP changes nothing.
 *
 * @param path  copied; NULL: none
 */
void mmx_node_set_settings_path(mmx_node_t *node, const char *path);

/** Destroys a node and closes its sockets. NULL is allowed. */
void mmx_node_destroy(mmx_node_t *node);

/**
 * Initialises every part and opens the sockets. Valid once.
 *
 * @param error  set if the function returns false
 * @return false if an address cannot be used; then only destroy is valid
 */
bool mmx_node_init(mmx_node_t *node, mmx_error_t *error);

/**
 * Runs the event loop until a planned stop ends, or until another node turns
 * out to have the same name. Valid once, after init.
 *
 * @return true if no work was in progress at the end
 */
bool mmx_node_run(mmx_node_t *node);

#endif
