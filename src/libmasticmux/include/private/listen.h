/* Listening sockets on a numeric address. */
#ifndef MASTICMUX_PRIVATE_LISTEN_H
#define MASTICMUX_PRIVATE_LISTEN_H

#include <event2/listener.h>

#include "masticmux/error.h"
#include "masticmux/settings.h"

struct evhttp;

/*
 * Listens on an address; port 0 takes a free one. *port receives the port.
 * Returns NULL and fills the error on failure.
 */
struct evconnlistener *mmx_listen(struct event_base *base,
				  const mmx_address_t *address,
				  evconnlistener_cb accept, void *arg,
				  uint16_t *port, mmx_error_t *error);

/* The same for an evhttp server. */
bool mmx_listen_http(struct evhttp *server, const mmx_address_t *address,
		     uint16_t *port, mmx_error_t *error);

#endif
