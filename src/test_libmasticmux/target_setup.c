#include "target_setup.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <string.h>
#include <sys/socket.h>

#include <CUnit/CUnit.h>

#include "private/listen.h"

void target_setup_close_connection(fake_target_t *target,
				   struct bufferevent *bev)
{
	target->closed++;
	if (target->latest == bev)
		target->latest = NULL;
	g_ptr_array_remove(target->connections, bev);
	bufferevent_free(bev);
}

void target_setup_reset_connection(fake_target_t *target,
				   struct bufferevent *bev)
{
	struct linger reset = {.l_onoff = 1, .l_linger = 0};

	setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &reset,
		   sizeof(reset));
	target_setup_close_connection(target, bev);
}

static void on_target_written_(struct bufferevent *bev, void *arg)
{
	fake_target_t *target = arg;

	if (target->action == ACTION_RESET_AFTER)
		target_setup_reset_connection(target, bev);
	else
		target_setup_close_connection(target, bev);
}

static void on_target_event_(struct bufferevent *bev, short events, void *arg)
{
	target_setup_close_connection(arg, bev);
}

static bool request_is_complete_(const fake_target_t *target)
{
	if (target->request_bytes)
		return target->received_bytes >= target->request_bytes;
	return strstr(target->received->str, "\r\n\r\n") != NULL;
}

static void on_target_read_(struct bufferevent *bev, void *arg)
{
	fake_target_t *target = arg;
	struct evbuffer *input = bufferevent_get_input(bev);
	size_t length = evbuffer_get_length(input);

	if (target->received->len < 1024)
		g_string_append_len(target->received,
				    (char *)evbuffer_pullup(input, -1),
				    (gssize)length);
	target->received_bytes += length;
	evbuffer_drain(input, length);
	if (!request_is_complete_(target) || !target->response)
		return;
	g_string_truncate(target->received, 0);
	target->received_bytes = 0;
	if (target->action == ACTION_RESET) {
		target_setup_reset_connection(target, bev);
		return;
	}
	bufferevent_write(bev, target->response, strlen(target->response));
	if (target->action == ACTION_KEEP_OPEN)
		return;
	if (target->response[0])
		bufferevent_setcb(bev, NULL, on_target_written_,
				  on_target_event_, target);
	else
		on_target_written_(bev, target);
}

static void on_accept_(struct evconnlistener *listener, evutil_socket_t fd,
		       struct sockaddr *address, int length, void *arg)
{
	fake_target_t *target = arg;

	target->accepted++;
	g_string_truncate(target->received, 0);
	target->received_bytes = 0;
	target->latest =
		bufferevent_socket_new(target->base, fd, BEV_OPT_CLOSE_ON_FREE);
	g_ptr_array_add(target->connections, target->latest);
	bufferevent_setcb(target->latest, on_target_read_, NULL,
			  on_target_event_, target);
	bufferevent_enable(target->latest, EV_READ | EV_WRITE);
}

static void receive_body_(fake_exit_t *exit, const mmx_attempt_id_t *attempt,
			  struct evbuffer *data, bool end)
{
	size_t length = evbuffer_get_length(data);
	mmx_window_t *window;

	CU_ASSERT_FALSE(exit->ended);
	if (exit->body->len < 1024)
		g_string_append_len(exit->body,
				    (char *)evbuffer_pullup(data, -1),
				    (gssize)length);
	exit->body_bytes += length;
	exit->ended = end;
	if (!exit->grants_credit || end || length == 0)
		return;
	window = mmx_new_window(MMX_TO_CALLER, (uint32_t)length);
	window->attempt = *attempt;
	mmx_task_post(exit->client, &window->message);
}

static void receive_event_(fake_exit_t *exit, mmx_call_event_t *event)
{
	const mmx_header_t *header;

	exit->heads += event->result == MMX_CALL_HEAD;
	exit->not_sent += event->result == MMX_CALL_NOT_SENT;
	exit->failed += event->result == MMX_CALL_FAILED;
	if (event->result != MMX_CALL_HEAD) {
		CU_ASSERT_FALSE(exit->ended);
		exit->ended = true;
		return;
	}
	exit->status = event->head->status;
	STAILQ_FOREACH (header, &event->head->headers, entry)
		g_string_append_printf(exit->head, "%s: %s\n", header->name,
				       header->value);
	receive_body_(exit, &event->attempt, event->body, event->body_end);
}

static void handle_message_(mmx_task_t *task, mmx_message_t *message)
{
	fake_exit_t *exit = (fake_exit_t *)task;
	mmx_body_t *body = (mmx_body_t *)message;

	switch (message->ops->kind) {
	case MMX_MESSAGE_CALL_EVENT:
		receive_event_(exit, (mmx_call_event_t *)message);
		break;
	case MMX_MESSAGE_BODY:
		exit->truncated = body->failed;
		receive_body_(exit, &body->attempt, body->data, body->end);
		break;
	case MMX_MESSAGE_WINDOW:
		exit->credit += ((mmx_window_t *)message)->credit;
		break;
	default:
		CU_FAIL("message kind that the exit does not take");
	}
	mmx_message_destroy(message);
}

static const mmx_task_ops_t ops_ = {"fake_exit", handle_message_};

static void create_(setup_t *setup, void (*open)(fixture_t *fixture))
{
	mmx_address_t address = {.host = "127.0.0.1"};

	memset(setup, 0, sizeof(*setup));
	open(&setup->fixture);
	setup->target.base = setup->fixture.base;
	setup->target.connections = g_ptr_array_new();
	setup->target.received = g_string_new(NULL);
	setup->target.listener =
		mmx_listen(setup->fixture.base, &address, on_accept_,
			   &setup->target, &setup->target.port, NULL);
	mmx_task_init(&setup->exit.task, &ops_, setup->fixture.runtime);
	setup->exit.head = g_string_new(NULL);
	setup->exit.body = g_string_new(NULL);
	setup->exit.grants_credit = true;
	setup->client = mmx_target_client_create(setup->fixture.runtime,
						 &setup->exit.task,
						 setup->fixture.counters);
	setup->exit.client = mmx_target_client_task(setup->client);
}

void target_setup_create(setup_t *setup)
{
	create_(setup, fixture_open);
}

void target_setup_create_paused(setup_t *setup)
{
	create_(setup, fixture_open_paused);
}

void target_setup_open(setup_t *setup)
{
	target_setup_create(setup);
	mmx_target_client_init(setup->client);
}

static void free_connection_(gpointer connection, gpointer unused)
{
	bufferevent_free(connection);
}

void target_setup_close(setup_t *setup)
{
	mmx_target_client_destroy(setup->client);
	mmx_task_finish(&setup->exit.task);
	g_ptr_array_foreach(setup->target.connections, free_connection_, NULL);
	g_ptr_array_free(setup->target.connections, TRUE);
	evconnlistener_free(setup->target.listener);
	g_string_free(setup->target.received, TRUE);
	g_string_free(setup->exit.head, TRUE);
	g_string_free(setup->exit.body, TRUE);
	fixture_close(&setup->fixture);
}

mmx_attempt_id_t target_setup_attempt(const setup_t *setup)
{
	return (mmx_attempt_id_t){1, 2, setup->sequence};
}

mmx_call_t *target_setup_new_call(setup_t *setup, const char *method)
{
	mmx_attempt_id_t attempt;
	mmx_call_t *call;

	setup->sequence++;
	attempt = target_setup_attempt(setup);
	call = mmx_new_call(&attempt);
	g_strlcpy(call->address.host, "127.0.0.1", sizeof(call->address.host));
	call->address.port = setup->target.port;
	call->remaining = 60 * MMX_US_PER_S;
	call->head = mmx_head_create_request(method, "/x?y");
	mmx_head_add(call->head, "Host", "shop");
	call->body_end = true;
	setup->exit.ended = false;
	setup->exit.truncated = false;
	setup->exit.body_bytes = 0;
	g_string_truncate(setup->exit.body, 0);
	g_string_truncate(setup->exit.head, 0);
	return call;
}

static bool call_has_ended_(void *arg)
{
	return ((fake_exit_t *)arg)->ended;
}

bool target_setup_wait(setup_t *setup)
{
	return fixture_wait(&setup->fixture, call_has_ended_, &setup->exit);
}

void target_setup_post_call(setup_t *setup, mmx_call_t *call)
{
	mmx_task_post(mmx_target_client_task(setup->client), &call->message);
}
