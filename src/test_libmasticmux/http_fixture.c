#include "http_fixture.h"

#include <errno.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "masticmux/counters.h"

#define GUARD_S 30

void fixture_open(fixture_t *fixture)
{
	fixture->base = event_base_new();
	fixture->runtime = mmx_runtime_create(fixture->base);
	fixture->counters = mmx_counters_create();
}

void fixture_open_paused(fixture_t *fixture)
{
	fixture->base = event_base_new();
	fixture->runtime = mmx_runtime_create_paused(fixture->base);
	fixture->counters = mmx_counters_create();
}

void fixture_close(fixture_t *fixture)
{
	mmx_runtime_destroy(fixture->runtime);
	mmx_counters_destroy(fixture->counters);
	event_base_free(fixture->base);
}

void fixture_turn(fixture_t *fixture)
{
	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
}

bool fixture_wait(fixture_t *fixture, fixture_condition_t condition, void *arg)
{
	gint64 guard = g_get_monotonic_time() + GUARD_S * G_USEC_PER_SEC;

	while (!condition(arg)) {
		if (g_get_monotonic_time() > guard)
			return false;
		fixture_turn(fixture);
	}
	return true;
}

int64_t fixture_counter(const fixture_t *fixture, const char *name,
			const char *labels)
{
	return mmx_counters_get(fixture->counters, MMX_COUNTER, name, labels,
				"")
		->value;
}

void wire_open(wire_t *wire, fixture_t *fixture, uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};

	*wire = (wire_t){.fixture = fixture};
	wire->in = g_string_new(NULL);
	wire->fd = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(wire->fd, (struct sockaddr *)&address, sizeof(address)))
		wire->closed = true;
	evutil_make_socket_nonblocking(wire->fd);
}

void wire_close(wire_t *wire)
{
	close(wire->fd);
	g_string_free(wire->in, TRUE);
}

static void receive_(wire_t *wire)
{
	char buffer[16384];
	ssize_t got;

	while (!wire->closed) {
		got = recv(wire->fd, buffer, sizeof(buffer), 0);
		if (got > 0) {
			g_string_append_len(wire->in, buffer, got);
			continue;
		}
		if (got < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		wire->reset = got < 0;
		wire->closed = true;
	}
}

typedef struct sending_t {
	wire_t *wire;
	const char *data;
	size_t left;
} sending_t;

static bool is_sent_(void *arg)
{
	sending_t *sending = arg;
	ssize_t sent;

	receive_(sending->wire);
	if (sending->left == 0 || sending->wire->closed)
		return true;
	sent = send(sending->wire->fd, sending->data, sending->left,
		    MSG_NOSIGNAL);
	if (sent > 0) {
		sending->data += sent;
		sending->left -= (size_t)sent;
	} else if (sent < 0 && errno != EAGAIN && errno != EINTR) {
		sending->wire->closed = true;
	}
	return sending->left == 0;
}

bool wire_send(wire_t *wire, const char *data, size_t length)
{
	sending_t sending = {wire, data, length};

	return fixture_wait(wire->fixture, is_sent_, &sending) &&
	       sending.left == 0;
}

void wire_send_end(wire_t *wire)
{
	shutdown(wire->fd, SHUT_WR);
}

typedef struct expecting_t {
	wire_t *wire;
	const char *text;
} expecting_t;

static bool is_received_(void *arg)
{
	expecting_t *expecting = arg;

	receive_(expecting->wire);
	return expecting->wire->closed ||
	       strstr(expecting->wire->in->str, expecting->text);
}

bool wire_expect(wire_t *wire, const char *text)
{
	expecting_t expecting = {wire, text};

	return fixture_wait(wire->fixture, is_received_, &expecting) &&
	       strstr(wire->in->str, text);
}

static bool is_closed_(void *arg)
{
	wire_t *wire = arg;

	receive_(wire);
	return wire->closed;
}

bool wire_expect_closed(wire_t *wire)
{
	return fixture_wait(wire->fixture, is_closed_, wire);
}
