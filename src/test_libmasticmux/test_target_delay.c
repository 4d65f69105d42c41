#include "suites.h"

#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_fixture.h"
#include "private/listen.h"
#include "private/target_client.h"

#define DESCRIPTORS_MAX 1024

typedef struct accepted_t {
	evutil_socket_t fd;
	uint16_t port; /* of the client, in network order */
} accepted_t;

static void on_accept_(struct evconnlistener *listener, evutil_socket_t fd,
		       struct sockaddr *address, int length, void *arg)
{
	accepted_t *accepted = arg;

	accepted->fd = fd;
	accepted->port = ((struct sockaddr_in *)address)->sin_port;
}

static bool is_accepted_(void *arg)
{
	return ((accepted_t *)arg)->fd >= 0;
}

/* Returns the descriptor of the socket bound to the local port, or -1. */
static int find_descriptor_(uint16_t port)
{
	struct sockaddr_in address = {0};
	socklen_t length;
	int fd;

	for (fd = 0; fd < DESCRIPTORS_MAX; fd++) {
		length = sizeof(address);
		if (getsockname(fd, (struct sockaddr *)&address, &length) ==
			    0 &&
		    address.sin_family == AF_INET && address.sin_port == port)
			return fd;
	}
	return -1;
}

static void discard_message_(mmx_task_t *task, mmx_message_t *message)
{
	mmx_message_destroy(message);
}

static const mmx_task_ops_t ops_ = {"exit", discard_message_};

static void post_call_(mmx_target_client_t *client, uint16_t port)
{
	mmx_attempt_id_t attempt = {1, 2, 3};
	mmx_call_t *call = mmx_new_call(&attempt);

	g_strlcpy(call->address.host, "127.0.0.1", sizeof(call->address.host));
	call->address.port = port;
	call->remaining = 60 * MMX_US_PER_S;
	call->head = mmx_head_create_request("POST", "/");
	mmx_task_post(mmx_target_client_task(client), &call->message);
}

/* Guards against connections without TCP_NODELAY: TCP then holds back a part of
 * a request body until the target has acknowledged the previous part, which can
 * take 40 ms. */
static void test_no_delay_(void)
{
	accepted_t accepted = {.fd = -1};
	mmx_address_t address = {.host = "127.0.0.1"};
	mmx_target_client_t *client;
	struct evconnlistener *listener;
	mmx_task_t exit;
	fixture_t fixture;
	uint16_t port = 0;
	int no_delay = 0;
	socklen_t length = sizeof(no_delay);

	fixture_open(&fixture);
	mmx_task_init(&exit, &ops_, fixture.runtime);
	listener = mmx_listen(fixture.base, &address, on_accept_, &accepted,
			      &port, NULL);
	client = mmx_target_client_create(fixture.runtime, &exit,
					  fixture.counters);
	mmx_target_client_init(client);
	post_call_(client, port);
	CU_ASSERT_TRUE_FATAL(fixture_wait(&fixture, is_accepted_, &accepted));
	CU_ASSERT_EQUAL(getsockopt(find_descriptor_(accepted.port), IPPROTO_TCP,
				   TCP_NODELAY, &no_delay, &length),
			0);
	CU_ASSERT_NOT_EQUAL(no_delay, 0);
	mmx_target_client_destroy(client);
	mmx_task_finish(&exit);
	close(accepted.fd);
	evconnlistener_free(listener);
	fixture_close(&fixture);
}

CU_TestInfo mmx_tests_target_delay[] = {
	{"TCP_NODELAY is set", test_no_delay_},
	CU_TEST_INFO_NULL,
};
