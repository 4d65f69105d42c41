/**
 * Reports that the peer of a request in progress closed its connection.
 *
 * evhttp stops reading while a reply is pending, so it does not notice a close
 * by itself; the watch waits for EV_CLOSED on the socket.
 *
 * Usage: start when the reply is deferred, stop before replying or dropping.
 * When the peer closes, the callback runs once, the watch is stopped already
 * and the request is freed after the callback.
 */
#ifndef STANDIN_PEER_WATCH_H
#define STANDIN_PEER_WATCH_H

struct event;
struct event_base;
struct evhttp_connection;
struct evhttp_request;

typedef struct peer_watch_t {
	struct evhttp_connection *conn;
	struct event *closed;
	void (*fn)(void *arg);
	void *arg;
} peer_watch_t;

void peer_watch_start(peer_watch_t *watch, struct event_base *base,
		      struct evhttp_request *req, void (*fn)(void *arg),
		      void *arg);

/** Stops a watch; allowed when it is stopped already. */
void peer_watch_stop(peer_watch_t *watch);

#endif
