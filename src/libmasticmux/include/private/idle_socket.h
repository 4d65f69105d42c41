/* Idle connections of clients, before they are used again. */
#ifndef MASTICMUX_PRIVATE_IDLE_SOCKET_H
#define MASTICMUX_PRIVATE_IDLE_SOCKET_H

#include <stdbool.h>

struct bufferevent;

/*
 * False if the peer has sent bytes, which could be taken for the next response,
 * or has closed the connection. The event loop may not have seen either yet, or
 * its callback may still be due. Asserts that there is a socket.
 */
bool mmx_idle_socket_is_silent(struct bufferevent *bev);

#endif
