#include "standin/peer_watch.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stddef.h>

static void on_closed_(evutil_socket_t fd, short what, void *arg)
{
	peer_watch_t *watch = arg;
	struct evhttp_connection *conn = watch->conn;

	peer_watch_stop(watch);
	watch->fn(watch->arg);
	evhttp_connection_free(conn);
}

/* Called by evhttp when it frees the connection itself. */
static void on_freed_(struct evhttp_connection *conn, void *arg)
{
	peer_watch_t *watch = arg;

	peer_watch_stop(watch);
	watch->fn(watch->arg);
}

void peer_watch_start(peer_watch_t *watch, struct event_base *base,
		      struct evhttp_request *req, void (*fn)(void *arg),
		      void *arg)
{
	struct bufferevent *bev;

	watch->conn = evhttp_request_get_connection(req);
	watch->fn = fn;
	watch->arg = arg;
	bev = evhttp_connection_get_bufferevent(watch->conn);
	watch->closed = event_new(base, bufferevent_getfd(bev), EV_CLOSED,
				  on_closed_, watch);
	event_add(watch->closed, NULL);
	evhttp_connection_set_closecb(watch->conn, on_freed_, watch);
}

void peer_watch_stop(peer_watch_t *watch)
{
	if (!watch->closed)
		return;
	event_free(watch->closed);
	watch->closed = NULL;
	evhttp_connection_set_closecb(watch->conn, NULL, NULL);
	watch->conn = NULL;
}
