#include "private/peer_internal.h"

#include <assert.h>
#include <event2/buffer.h>

#include "private/wire.h"

const char *const mmx_peer_result_string[MMX_PEER_RESULT_COUNT] = {
	"ok", "refused", "timeout", "lost", "unreachable", "overloaded",
};

static bool is_generic_(mmx_procedure_t procedure)
{
	return (procedure >= MMX_PROCEDURE_CONFIG_PULL &&
		procedure <= MMX_PROCEDURE_CLAIM) ||
	       procedure == MMX_PROCEDURE_STORE_NEWS ||
	       procedure == MMX_PROCEDURE_QUOTA ||
	       procedure == MMX_PROCEDURE_STORE_BLOCK;
}

/* Takes a call out of the list or table that it waits in. */
static void detach_(mmx_peer_pending_t *pending)
{
	mmx_peer_link_t *link = pending->link;

	if (pending->node)
		STAILQ_REMOVE(&pending->node->waiting_calls, pending,
			      mmx_peer_pending_t, entry);
	pending->node = NULL;
	if (!link)
		return;
	g_hash_table_remove(link->calls, GUINT_TO_POINTER(pending->xid));
	pending->link = NULL;
	mmx_peer_link_update(link);
}

void mmx_peer_call_free(mmx_peer_pending_t *pending)
{
	mmx_timer_cancel(&pending->timer);
	LIST_REMOVE(pending, all);
	g_free(pending->bytes);
	g_free(pending);
}

static void finish_(mmx_peer_pending_t *pending, mmx_peer_result_t result,
		    const uint8_t *bytes, size_t length)
{
	mmx_peer_answer_fn_t fn = pending->fn;
	void *arg = pending->arg;

	mmx_peer_call_free(pending);
	fn(arg, result, bytes, length);
}

static void on_timer_(void *arg)
{
	mmx_peer_pending_t *pending = arg;

	detach_(pending);
	finish_(pending, pending->result, NULL, 0);
}

/* The callback comes from the timer, never from inside the failing call. */
void mmx_peer_call_fail(mmx_peer_pending_t *pending, mmx_peer_result_t result)
{
	pending->result = result;
	mmx_timer_set(&pending->timer, 0);
}

void mmx_peer_call_send(mmx_peer_pending_t *pending, mmx_peer_link_t *link)
{
	mmx_rpc_header_t header = {.procedure = pending->procedure};
	struct evbuffer *body = evbuffer_new();
	uint8_t fields[MMX_RPC_MARK_BYTES];
	size_t size = mmx_wire_encode_bytes(pending->length, fields);

	header.xid = mmx_peer_link_expect(link, pending);
	evbuffer_add(body, pending->bytes, pending->length);
	mmx_connection_send(link->connection, &header, fields, size, body);
	evbuffer_free(body);
	g_free(pending->bytes);
	pending->bytes = NULL;
	mmx_peer_link_update(link);
}

void mmx_peer_call(mmx_peer_t *peer, const mmx_peer_place_t *place,
		   mmx_procedure_t procedure, const uint8_t *bytes,
		   size_t length, mmx_time_t timeout, mmx_peer_answer_fn_t fn,
		   void *arg)
{
	mmx_peer_pending_t *pending = g_new0(mmx_peer_pending_t, 1);

	assert(is_generic_(procedure) && fn && timeout > 0);
	assert(length <= MMX_WIRE_BYTES_MAX);
	pending->peer = peer;
	pending->procedure = procedure;
	pending->fn = fn;
	pending->arg = arg;
	pending->result = MMX_PEER_TIMEOUT;
	pending->bytes = g_memdup2(bytes, length);
	pending->length = length;
	LIST_INSERT_HEAD(&peer->calls, pending, all);
	mmx_timer_init(&pending->timer, peer->clock, on_timer_, pending);
	mmx_timer_set(&pending->timer, timeout);
	mmx_peer_node_submit(mmx_peer_node_get(peer, place), pending);
}

void mmx_peer_call_reply(mmx_peer_pending_t *pending,
			 const mmx_rpc_header_t *header, struct evbuffer *args)
{
	size_t length;

	pending->link = NULL;
	if (header->status != MMX_RPC_SUCCESS) {
		finish_(pending, MMX_PEER_REFUSED, NULL, 0);
		return;
	}
	if (!mmx_wire_decode_bytes(args, NULL)) {
		mmx_peer_drop(pending->peer, MMX_DROP_MALFORMED);
		finish_(pending, MMX_PEER_REFUSED, NULL, 0);
		return;
	}
	length = evbuffer_get_length(args);
	/* evbuffer_pullup() returns NULL for an empty buffer. */
	finish_(pending, MMX_PEER_OK,
		length ? evbuffer_pullup(args, -1) : (const uint8_t *)"",
		length);
}

/* The side that answers. */

void mmx_peer_register(mmx_peer_t *peer, mmx_procedure_t procedure,
		       mmx_peer_handler_fn_t fn, void *arg)
{
	assert(is_generic_(procedure));
	peer->handlers[procedure] = (mmx_peer_handler_t){fn, arg};
}

void mmx_peer_call_serve(mmx_peer_link_t *link, const mmx_rpc_header_t *header,
			 struct evbuffer *args)
{
	mmx_peer_t *peer = link->peer;
	mmx_peer_ticket_t ticket = {
		.connection = link->id,
		.xid = header->xid,
		.caller = mmx_connection_remote(link->connection)->node,
	};
	const mmx_peer_handler_t *handler = NULL;
	mmx_rpc_status_t status = MMX_RPC_SUCCESS;

	if (header->procedure < MMX_PROCEDURE_COUNT)
		handler = &peer->handlers[header->procedure];
	if (!handler || !handler->fn) {
		mmx_peer_refused(peer, MMX_REFUSAL_PROCEDURE);
		status = MMX_RPC_PROCEDURE_UNAVAILABLE;
	} else if (!mmx_wire_decode_bytes(args, NULL)) {
		mmx_peer_refused(peer, MMX_REFUSAL_GARBAGE);
		status = MMX_RPC_GARBAGE_ARGUMENTS;
	} else if (mmx_peer_link_outstanding(link) >= MMX_PEER_SERVED_MAX ||
		   mmx_connection_is_congested(link->connection)) {
		mmx_peer_refused(peer, MMX_REFUSAL_SERVED);
		status = MMX_RPC_SYSTEM_ERROR;
	}
	if (status != MMX_RPC_SUCCESS) {
		mmx_peer_link_reply_status(link, header->xid, status);
		return;
	}
	link->served_calls++;
	mmx_peer_link_update(link);
	handler->fn(handler->arg, &ticket, evbuffer_pullup(args, -1),
		    evbuffer_get_length(args));
}

/* The link of a ticket, with the call taken off its account. */
static mmx_peer_link_t *redeem_(mmx_peer_t *peer,
				const mmx_peer_ticket_t *ticket)
{
	mmx_peer_link_t *link = mmx_peer_link_find(peer, ticket->connection);

	if (!link) {
		mmx_peer_drop(peer, MMX_DROP_ORIGIN_CLOSED);
		return NULL;
	}
	assert(link->served_calls > 0);
	link->served_calls--;
	mmx_peer_link_update(link);
	return link;
}

void mmx_peer_answer(mmx_peer_t *peer, const mmx_peer_ticket_t *ticket,
		     const uint8_t *bytes, size_t length)
{
	mmx_rpc_header_t header = {.xid = ticket->xid, .reply = true};
	mmx_peer_link_t *link = redeem_(peer, ticket);
	uint8_t fields[MMX_RPC_MARK_BYTES];
	struct evbuffer *body;
	size_t size;

	assert(length <= MMX_WIRE_BYTES_MAX);
	if (!link)
		return;
	body = evbuffer_new();
	evbuffer_add(body, bytes, length);
	size = mmx_wire_encode_bytes(length, fields);
	mmx_connection_send(link->connection, &header, fields, size, body);
	evbuffer_free(body);
}

void mmx_peer_refuse(mmx_peer_t *peer, const mmx_peer_ticket_t *ticket)
{
	mmx_peer_link_t *link = redeem_(peer, ticket);

	if (link)
		mmx_peer_link_reply_status(link, ticket->xid,
					   MMX_RPC_SYSTEM_ERROR);
}
