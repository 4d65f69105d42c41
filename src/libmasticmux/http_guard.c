#include "private/http_guard.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <sys/socket.h>

static void on_input_(struct evbuffer *input,
		      const struct evbuffer_cb_info *info, void *arg)
{
	int fd = bufferevent_getfd(arg);

	if (info->n_added && fd >= 0 &&
	    evbuffer_get_length(input) > MMX_HTTP_GUARD_BYTES)
		shutdown(fd, SHUT_RDWR);
}

void mmx_http_guard_connection(struct bufferevent *bev)
{
	evbuffer_add_cb(bufferevent_get_input(bev), on_input_, bev);
}

static struct bufferevent *new_connection_(struct event_base *base, void *arg)
{
	struct bufferevent *bev = bufferevent_socket_new(base, -1, 0);

	(void)arg;
	if (bev)
		mmx_http_guard_connection(bev);
	return bev;
}

void mmx_http_guard_server(struct evhttp *server)
{
	evhttp_set_bevcb(server, new_connection_, NULL);
}
