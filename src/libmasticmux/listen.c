#include "private/listen.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#define BACKLOG 1024

static uint16_t bound_port_(int fd)
{
	struct sockaddr_storage bound;
	socklen_t length = sizeof(bound);

	memset(&bound, 0, sizeof(bound));
	getsockname(fd, (struct sockaddr *)&bound, &length);
	if (bound.ss_family == AF_INET6)
		return ntohs(((struct sockaddr_in6 *)&bound)->sin6_port);
	return ntohs(((struct sockaddr_in *)&bound)->sin_port);
}

struct evconnlistener *mmx_listen(struct event_base *base,
				  const mmx_address_t *address,
				  evconnlistener_cb accept, void *arg,
				  uint16_t *port, mmx_error_t *error)
{
	struct evconnlistener *listener;
	struct sockaddr_storage bound;
	socklen_t length = mmx_address_to_sockaddr(address, &bound);

	if (length == 0) {
		mmx_error_set(error, MMX_ERROR_INVALID,
			      "'%s' is not an IP address", address->host);
		return NULL;
	}
	listener = evconnlistener_new_bind(
		base, accept, arg,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC |
			LEV_OPT_REUSEABLE,
		BACKLOG, (struct sockaddr *)&bound, (int)length);
	if (!listener) {
		mmx_error_set(error, MMX_ERROR_IO,
			      "cannot listen on %s port %u: %s", address->host,
			      address->port, strerror(errno));
		return NULL;
	}
	*port = bound_port_(evconnlistener_get_fd(listener));
	return listener;
}

bool mmx_listen_http(struct evhttp *server, const mmx_address_t *address,
		     uint16_t *port, mmx_error_t *error)
{
	struct evhttp_bound_socket *socket = evhttp_bind_socket_with_handle(
		server, address->host, address->port);

	if (!socket)
		return mmx_error_set(
			error, MMX_ERROR_IO, "cannot listen on %s port %u: %s",
			address->host, address->port, strerror(errno));
	*port = bound_port_(evhttp_bound_socket_get_fd(socket));
	return true;
}
