#include "standin/server.h"

#include <event2/bufferevent.h>
#include <event2/util.h>
#include <arpa/inet.h>
#include <glib.h>
#include <netdb.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#define MAX_HEADERS_BYTES (64 * 1024)

/* Reads the port that a socket was bound to. */
static bool bound_port_(int fd, uint16_t *port)
{
	struct sockaddr_storage ss = {0};
	socklen_t length = sizeof(ss);
	char text[NI_MAXSERV];

	if (getsockname(fd, (struct sockaddr *)&ss, &length) ||
	    getnameinfo((struct sockaddr *)&ss, length, NULL, 0, text,
			sizeof(text), NI_NUMERICSERV))
		return false;
	*port = (uint16_t)g_ascii_strtoull(text, NULL, 10);
	return true;
}

struct event_base *standin_base_new(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	/* By default libevent reads a clock with a resolution of 4 ms. */
	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

static bool numeric_host_(const char *text, size_t length,
			  standin_address_t *address)
{
	unsigned char ip[sizeof(struct in6_addr)];
	int family = AF_INET;

	if (length >= 2 && text[0] == '[' && text[length - 1] == ']') {
		family = AF_INET6;
		text++;
		length -= 2;
	}
	if (length >= sizeof(address->host))
		return false;
	memcpy(address->host, text, length);
	address->host[length] = '\0';
	return inet_pton(family, address->host, ip) == 1;
}

bool standin_address_parse(const char *text, standin_address_t *address,
			   mmx_error_t *error)
{
	const char *colon = strrchr(text, ':');
	guint64 port = 0;

	/* evutil_parse_sockaddr_port() refuses port 0. */
	if (!colon || !numeric_host_(text, (size_t)(colon - text), address) ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 0, UINT16_MAX, &port,
					NULL))
		return mmx_error_set(error, MMX_ERROR_INVALID,
				     "'%s' is not IP:PORT", text);
	address->port = (uint16_t)port;
	return true;
}

standin_address_t *standin_address_list(const char *text, size_t *count,
					mmx_error_t *error)
{
	char **parts = g_strsplit(text, ",", -1);
	size_t number = g_strv_length(parts);
	standin_address_t *list = g_new0(standin_address_t, number + 1);
	size_t i;

	for (i = 0; i < number; i++) {
		if (standin_address_parse(parts[i], &list[i], error))
			continue;
		g_free(list);
		list = NULL;
		break;
	}
	*count = list ? number : 0;
	g_strfreev(parts);
	return list;
}

static void on_signal_(evutil_socket_t fd, short what, void *arg)
{
	standin_server_t *server = arg;

	if (server->on_stop)
		server->on_stop(server->arg);
	else
		standin_server_stop(server);
}

static bool bind_(standin_server_t *server, standin_address_t *address,
		  struct evhttp_bound_socket **bound, mmx_error_t *error)
{
	*bound = evhttp_bind_socket_with_handle(server->http, address->host,
						address->port);
	if (!*bound)
		return mmx_error_set(
			error, MMX_ERROR_IO, "cannot listen on %s port %u: %s",
			address->host, address->port, strerror(errno));
	if (!bound_port_(evhttp_bound_socket_get_fd(*bound), &address->port))
		return mmx_error_set(error, MMX_ERROR_IO,
				     "cannot read the bound port");
	return true;
}

static void print_address_(const char *name, const standin_address_t *address)
{
	bool v6 = strchr(address->host, ':') != NULL;

	printf("%s %s%s%s:%u\n", name, v6 ? "[" : "", address->host,
	       v6 ? "]" : "", address->port);
	fflush(stdout);
}

/* The line "listening" comes last: it says that everything is ready. */
static bool bind_all_(standin_server_t *server, const char *listen,
		      const char *control, mmx_error_t *error)
{
	struct evhttp_bound_socket *bound;
	standin_address_t address = {0};

	if (control) {
		if (!standin_address_parse(control, &address, error) ||
		    !bind_(server, &address, &bound, error))
			return false;
		server->has_control = true;
		print_address_("control", &address);
	}
	if (!standin_address_parse(listen, &server->address, error) ||
	    !bind_(server, &server->address, &server->bound, error))
		return false;
	print_address_("listening", &server->address);
	return true;
}

bool standin_server_refuse(standin_server_t *server, bool refuse,
			   mmx_error_t *error)
{
	if (refuse == !server->bound)
		return true;
	if (!refuse)
		return bind_(server, &server->address, &server->bound, error);
	if (!server->has_control)
		return true;
	evhttp_del_accept_socket(server->http, server->bound);
	server->bound = NULL;
	return true;
}

/* Numbers a new connection. An entry is replaced when its address is used
 * again, so there are no more entries than connections at the peak. */
static struct bufferevent *on_connection_(struct event_base *base, void *arg)
{
	standin_server_t *server = arg;
	struct bufferevent *bev = bufferevent_socket_new(base, -1, 0);

	server->connection_count++;
	g_hash_table_insert(server->connections, bev,
			    (gpointer)server->connection_count);
	return bev;
}

void standin_server_freeze(standin_server_t *server, bool freeze)
{
	if (!freeze)
		server->frozen = 0;
	else if (server->frozen == 0)
		server->frozen = server->connection_count;
}

bool standin_server_frozen(const standin_server_t *server,
			   struct evhttp_request *req)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(
		evhttp_request_get_connection(req));

	return (uintptr_t)g_hash_table_lookup(server->connections, bev) <=
	       server->frozen;
}

bool standin_server_open(standin_server_t *server, const char *listen,
			 const char *control, size_t max_body,
			 void (*on_request)(struct evhttp_request *, void *),
			 void *arg, mmx_error_t *error)
{
	*server = (standin_server_t){.arg = arg};
	signal(SIGPIPE, SIG_IGN);
	server->base = standin_base_new();
	server->clock = mmx_clock_create(server->base);
	server->http = evhttp_new(server->base);
	evhttp_set_allowed_methods(
		server->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
				      EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
				      EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
				      EVHTTP_REQ_PATCH);
	evhttp_set_max_headers_size(server->http, MAX_HEADERS_BYTES);
	evhttp_set_max_body_size(server->http, (ev_ssize_t)max_body);
	server->connections = g_hash_table_new(NULL, NULL);
	evhttp_set_bevcb(server->http, on_connection_, server);
	evhttp_set_gencb(server->http, on_request, arg);
	server->terminate[0] =
		evsignal_new(server->base, SIGTERM, on_signal_, server);
	server->terminate[1] =
		evsignal_new(server->base, SIGINT, on_signal_, server);
	event_add(server->terminate[0], NULL);
	event_add(server->terminate[1], NULL);
	if (bind_all_(server, listen, control, error))
		return true;
	standin_server_close(server);
	return false;
}

void standin_server_run(standin_server_t *server)
{
	event_base_dispatch(server->base);
}

void standin_server_stop(standin_server_t *server)
{
	event_base_loopbreak(server->base);
}

void standin_server_close(standin_server_t *server)
{
	event_free(server->terminate[0]);
	event_free(server->terminate[1]);
	evhttp_free(server->http);
	g_hash_table_destroy(server->connections);
	mmx_clock_destroy(server->clock);
	event_base_free(server->base);
}

void standin_drop(struct evhttp_request *req, standin_drop_t how)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(req);
	struct sockaddr none = {.sa_family = AF_UNSPEC};
	int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(conn));

	/* Dissolving the association sends RST. SO_LINGER would not do: evhttp
	 * shuts the socket down before it closes it, which sends FIN. */
	if (how == STANDIN_DROP_RESET)
		(void)connect(fd, &none, sizeof(none));
	evhttp_connection_free(conn);
}

int standin_usage_error(const char *text)
{
	fprintf(stderr, "masticmux-standin: %s\n", text);
	return 2;
}
