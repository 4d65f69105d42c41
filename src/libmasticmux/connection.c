#include "private/connection.h"

#include <arpa/inet.h>
#include <assert.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <openssl/rand.h>
#include <string.h>

#include "private/wire.h"

/* Bytes taken from the socket per event, so that one busy connection does not
 * hold up the others. */
#define READ_MAX (256 * 1024)
/* Bytes handed to the socket per event. */
#define WRITE_MAX (256 * 1024)

const char *const mmx_close_reason_string[MMX_CLOSE_REASON_COUNT] = {
	"local",     "idle",	  "remote",  "error",	 "connect",
	"timeout",   "silent",	  "stalled", "replaced", "oversize",
	"fragments", "malformed", "session", "output",	 "limit",
};

struct mmx_connection_t {
	mmx_connection_config_t config;
	struct bufferevent *socket; /* NULL when closed */
	mmx_record_reader_t reader;
	mmx_session_t *session;
	mmx_session_result_t result;
	mmx_session_side_t side;
	bool connected;
	bool overflow; /* will be closed for too much output */
	mmx_time_t received_at;
	size_t input_seen; /* bytes of the input counted already */
	mmx_connection_usage_t usage;
};

static void say_hello_(mmx_connection_t *connection, bool reply, uint32_t xid)
{
	mmx_rpc_header_t header = {
		.xid = xid,
		.reply = reply,
		.procedure = MMX_PROCEDURE_HELLO,
	};
	uint8_t fields[MMX_WIRE_FIELDS_MAX];
	mmx_hello_t hello;
	size_t size;

	mmx_session_hello(connection->session, &hello);
	size = mmx_wire_encode_hello(&hello, fields);
	mmx_connection_send(connection, &header, fields, size, NULL);
}

static void refuse_(mmx_connection_t *connection, mmx_session_result_t result)
{
	connection->result = result;
	mmx_connection_close(connection, MMX_CLOSE_SESSION);
}

static void on_hello_(mmx_connection_t *connection,
		      const mmx_rpc_header_t *header,
		      const mmx_record_parts_t *parts)
{
	bool client = connection->side == MMX_SESSION_CLIENT;
	mmx_session_result_t result;
	mmx_hello_t hello;

	if (header->reply != client ||
	    (client ? header->status != MMX_RPC_SUCCESS
		    : header->procedure != MMX_PROCEDURE_HELLO)) {
		refuse_(connection, MMX_SESSION_STATE);
		return;
	}
	if (!mmx_wire_decode_hello(parts->rest, &hello, NULL)) {
		mmx_connection_close(connection, MMX_CLOSE_MALFORMED);
		return;
	}
	result = mmx_session_receive_hello(connection->session, &hello, header,
					   parts);
	if (result != MMX_SESSION_OK) {
		refuse_(connection, result);
		return;
	}
	evbuffer_drain(parts->rest, evbuffer_get_length(parts->rest));
	/* The owner may close it here; then no HELLO goes back. */
	connection->config.ops->ready(connection, connection->config.owner);
	if (!client)
		say_hello_(connection, true, header->xid);
}

static void on_record_(mmx_connection_t *connection)
{
	struct evbuffer *record = connection->reader.record;
	uint8_t head[MMX_RPC_HEADER_MAX];
	mmx_record_parts_t parts = {.head = head, .rest = record};
	mmx_session_result_t result;
	mmx_rpc_header_t header;
	ev_ssize_t copied;

	connection->usage.records_received++;
	copied = evbuffer_copyout(record, head, sizeof(head));
	if (copied < 0 ||
	    !mmx_rpc_header_decode(head, (size_t)copied, &header, NULL)) {
		mmx_connection_close(connection, MMX_CLOSE_MALFORMED);
		return;
	}
	parts.head_size = mmx_rpc_header_size(&header);
	evbuffer_drain(record, parts.head_size);
	if (!mmx_session_is_open(connection->session)) {
		on_hello_(connection, &header, &parts);
		return;
	}
	result = mmx_session_verify(connection->session, &header, &parts);
	if (result != MMX_SESSION_OK) {
		refuse_(connection, result);
		return;
	}
	connection->config.ops->record(connection, connection->config.owner,
				       &header, record);
	evbuffer_drain(record, evbuffer_get_length(record));
}

static void count_input_(mmx_connection_t *connection, struct evbuffer *input)
{
	size_t length = evbuffer_get_length(input);

	connection->usage.bytes_received += length - connection->input_seen;
	connection->received_at = mmx_clock_now(connection->config.clock);
}

static void on_read_(struct bufferevent *socket, void *arg)
{
	mmx_connection_t *connection = arg;
	struct evbuffer *input = bufferevent_get_input(socket);
	mmx_record_result_t result;

	count_input_(connection, input);
	for (;;) {
		result = mmx_record_read(&connection->reader, input);
		if (result != MMX_RECORD_WHOLE)
			break;
		on_record_(connection);
		if (!connection->socket)
			return;
	}
	connection->input_seen = evbuffer_get_length(input);
	if (result == MMX_RECORD_OVERSIZE)
		mmx_connection_close(connection, MMX_CLOSE_OVERSIZE);
	else if (result == MMX_RECORD_FRAGMENTS)
		mmx_connection_close(connection, MMX_CLOSE_FRAGMENTS);
}

static void set_no_delay_(struct bufferevent *socket)
{
	int on = 1;

	/* Records are written whole; waiting for more only adds latency. */
	setsockopt(bufferevent_getfd(socket), IPPROTO_TCP, TCP_NODELAY, &on,
		   sizeof(on));
}

static void on_event_(struct bufferevent *socket, short what, void *arg)
{
	mmx_connection_t *connection = arg;

	if (what & BEV_EVENT_CONNECTED) {
		connection->connected = true;
		set_no_delay_(socket);
		say_hello_(connection, false, 1);
		return;
	}
	if (connection->overflow)
		mmx_connection_close(connection, MMX_CLOSE_OUTPUT);
	else if (!connection->connected)
		mmx_connection_close(connection, MMX_CLOSE_CONNECT);
	else if (what & BEV_EVENT_EOF)
		mmx_connection_close(connection, MMX_CLOSE_REMOTE);
	else if (what & BEV_EVENT_ERROR)
		mmx_connection_close(connection, MMX_CLOSE_ERROR);
}

static mmx_connection_t *create_(const mmx_connection_config_t *config, int fd,
				 mmx_session_side_t side, bool loopback)
{
	mmx_connection_t *connection = g_new0(mmx_connection_t, 1);
	uint8_t nonce[MMX_NONCE_BYTES];
	int random = RAND_bytes(nonce, sizeof(nonce));

	/* A predictable nonce would allow replays. */
	if (random != 1)
		abort();
	connection->config = *config;
	connection->side = side;
	connection->connected = fd >= 0;
	connection->received_at = mmx_clock_now(config->clock);
	connection->session =
		mmx_session_create(config->identity, side, loopback, nonce);
	mmx_record_reader_init(&connection->reader);
	connection->socket =
		bufferevent_socket_new(config->base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_set_max_single_read(connection->socket, READ_MAX);
	bufferevent_set_max_single_write(connection->socket, WRITE_MAX);
	bufferevent_setcb(connection->socket, on_read_, NULL, on_event_,
			  connection);
	return connection;
}

bool mmx_connection_is_loopback(const struct sockaddr *address)
{
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)address;
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)address;

	if (address->sa_family == AF_INET)
		return ntohl(v4->sin_addr.s_addr) >> 24 == IN_LOOPBACKNET;
	return address->sa_family == AF_INET6 &&
	       IN6_IS_ADDR_LOOPBACK(&v6->sin6_addr);
}

mmx_connection_t *mmx_connection_dial(const mmx_connection_config_t *config,
				      const mmx_address_t *address,
				      const mmx_session_expected_t *expected)
{
	struct sockaddr_storage storage;
	mmx_connection_t *connection;
	socklen_t size;
	bool loopback;

	size = mmx_address_to_sockaddr(address, &storage);
	if (address->port == 0 || size == 0)
		return NULL;
	loopback = mmx_connection_is_loopback((struct sockaddr *)&storage);
	if (config->identity->key_count == 0 && !loopback &&
	    !config->identity->trusted)
		return NULL;
	connection = create_(config, -1, MMX_SESSION_CLIENT, loopback);
	mmx_session_expect(connection->session, expected);
	if (bufferevent_socket_connect(connection->socket,
				       (struct sockaddr *)&storage,
				       (int)size) != 0) {
		mmx_connection_destroy(connection);
		return NULL;
	}
	bufferevent_enable(connection->socket, EV_READ | EV_WRITE);
	return connection;
}

mmx_connection_t *mmx_connection_accept(const mmx_connection_config_t *config,
					int fd, const struct sockaddr *from)
{
	mmx_connection_t *connection =
		create_(config, fd, MMX_SESSION_SERVER,
			mmx_connection_is_loopback(from));

	set_no_delay_(connection->socket);
	bufferevent_enable(connection->socket, EV_READ | EV_WRITE);
	return connection;
}

static void free_socket_(mmx_connection_t *connection)
{
	struct bufferevent *socket = connection->socket;

	connection->socket = NULL;
	bufferevent_setcb(socket, NULL, NULL, NULL, NULL);
	bufferevent_free(socket);
}

void mmx_connection_destroy(mmx_connection_t *connection)
{
	if (!connection)
		return;
	if (connection->socket)
		free_socket_(connection);
	mmx_record_reader_finish(&connection->reader);
	mmx_session_destroy(connection->session);
	g_free(connection);
}

void mmx_connection_close(mmx_connection_t *connection,
			  mmx_close_reason_t reason)
{
	if (!connection->socket)
		return;
	free_socket_(connection);
	connection->config.ops->closed(connection, connection->config.owner,
				       reason);
}

/* Not at once: the sender is in the middle of its own work. */
static void close_later_(mmx_connection_t *connection)
{
	connection->overflow = true;
	bufferevent_trigger_event(connection->socket, BEV_EVENT_ERROR,
				  BEV_OPT_DEFER_CALLBACKS);
}

void mmx_connection_send(mmx_connection_t *connection, mmx_rpc_header_t *header,
			 const uint8_t *fields, size_t fields_size,
			 struct evbuffer *body)
{
	uint8_t head[MMX_RPC_MARK_BYTES + MMX_RPC_HEADER_MAX +
		     MMX_WIRE_FIELDS_MAX];
	mmx_record_parts_t parts = {.head = head + MMX_RPC_MARK_BYTES,
				    .rest = body};
	struct evbuffer *output;
	size_t header_size;
	size_t size;

	if (!connection->socket || connection->overflow)
		return;
	assert(fields_size <= MMX_WIRE_FIELDS_MAX);
	header->verified = mmx_session_signs(connection->session);
	header_size = mmx_rpc_header_size(header);
	if (fields_size > 0)
		memcpy(parts.head + header_size, fields, fields_size);
	parts.head_size = header_size + fields_size;
	if (body)
		mmx_wire_pad(body);
	mmx_session_sign(connection->session, header, &parts);
	size = parts.head_size + (body ? evbuffer_get_length(body) : 0);
	mmx_rpc_mark_encode(size, head);
	output = bufferevent_get_output(connection->socket);
	evbuffer_add(output, head, MMX_RPC_MARK_BYTES + parts.head_size);
	if (body)
		evbuffer_add_buffer(output, body);
	connection->usage.bytes_sent += MMX_RPC_MARK_BYTES + size;
	connection->usage.records_sent++;
	if (evbuffer_get_length(output) > MMX_CONNECTION_OUTPUT_MAX)
		close_later_(connection);
}

bool mmx_connection_is_congested(const mmx_connection_t *connection)
{
	return connection->socket &&
	       evbuffer_get_length(bufferevent_get_output(connection->socket)) >
		       MMX_CONNECTION_CONGESTED;
}

bool mmx_connection_is_flushed(const mmx_connection_t *connection)
{
	return !connection->socket ||
	       evbuffer_get_length(
		       bufferevent_get_output(connection->socket)) == 0;
}

bool mmx_connection_is_closed(const mmx_connection_t *connection)
{
	return connection->socket == NULL;
}

bool mmx_connection_is_mid_record(const mmx_connection_t *connection)
{
	return mmx_record_reader_busy(&connection->reader) ||
	       connection->input_seen > 0;
}

mmx_session_result_t
mmx_connection_session_result(const mmx_connection_t *connection)
{
	return connection->result;
}

const mmx_hello_t *mmx_connection_remote(const mmx_connection_t *connection)
{
	return mmx_session_remote(connection->session);
}

mmx_time_t mmx_connection_received_at(const mmx_connection_t *connection)
{
	return connection->received_at;
}

const mmx_connection_usage_t *
mmx_connection_usage(const mmx_connection_t *connection)
{
	return &connection->usage;
}
