/* Starts the peer task of a node, and serves the STOP procedure. */
#include "private/entry.h"
#include "private/exit.h"
#include "private/node_parts.h"
#include "private/peer.h"
#include "private/stop.h"

/* Begins a planned stop of a target beside this node, or reports progress. */
static void serve_stop_(void *arg, const mmx_peer_ticket_t *ticket,
			const uint8_t *bytes, size_t length)
{
	mmx_node_t *node = arg;
	uint8_t reply[MMX_STOP_REPLY_BYTES];
	mmx_stop_progress_t progress;
	mmx_stop_request_t request;

	if (!mmx_stop_decode_request(bytes, length, &request) ||
	    !mmx_stop_handle(node, &request, &progress)) {
		mmx_peer_refuse(node->peer, ticket);
		return;
	}
	mmx_stop_encode_reply(&progress, reply);
	mmx_peer_answer(node->peer, ticket, reply, sizeof(reply));
}

bool mmx_node_start_peer(mmx_node_t *node, struct mmx_peer_resolver_t *resolver,
			 mmx_error_t *error)
{
	const mmx_settings_t *settings = node->settings;
	const mmx_peer_config_t config = {
		.node_name = settings->node_name,
		.incarnation = node->incarnation,
		.keys = settings->fleet_keys,
		.key_count = settings->fleet_key_count,
		.trusted = settings->trusted_network,
		.listen = settings->listen_nodes,
		.resolver = resolver,
		.entry = mmx_entry_task(node->entry),
		.exit = mmx_exit_task(node->exit),
		.counters = node->counters,
		.log = node->log,
		.random = &node->random,
	};

	node->peer = mmx_peer_create(node->runtime, &config);
	mmx_peer_register(node->peer, MMX_PROCEDURE_STOP, serve_stop_, node);
	return mmx_peer_start(node->peer, error);
}
