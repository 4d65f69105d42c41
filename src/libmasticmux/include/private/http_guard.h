/*
 * Bounds the unparsed input of connections that evhttp reads. evhttp limits
 * heads and bodies, but not the line with the size of a chunk, so that a peer
 * could send one without end.
 */
#ifndef MASTICMUX_PRIVATE_HTTP_GUARD_H
#define MASTICMUX_PRIVATE_HTTP_GUARD_H

struct bufferevent;
struct evhttp;

/* Longest unparsed input, bytes; must exceed the limits on head and body of
 * every server and client that uses evhttp. */
#define MMX_HTTP_GUARD_BYTES (256 * 1024)

/* Shuts a connection down once its unparsed input is too long; evhttp then ends
 * it as broken. Valid once, before the connection is used. */
void mmx_http_guard_connection(struct bufferevent *bev);

/* The same for each connection that a server accepts. Valid before it listens. */
void mmx_http_guard_server(struct evhttp *server);

#endif
