#include "private/idle_socket.h"

#include <assert.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

bool mmx_idle_socket_is_silent(struct bufferevent *bev)
{
	int fd = bufferevent_getfd(bev);
	char byte;

	assert(fd >= 0);
	return evbuffer_get_length(bufferevent_get_input(bev)) == 0 &&
	       recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       (errno == EAGAIN || errno == EWOULDBLOCK);
}
