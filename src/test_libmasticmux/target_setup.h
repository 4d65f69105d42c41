/*
 * A target client between a fake exit and a fake target, on loopback.
 */
#ifndef MASTICMUX_TEST_TARGET_SETUP_H
#define MASTICMUX_TEST_TARGET_SETUP_H

#include "http_fixture.h"
#include "private/target_client.h"

struct bufferevent;
struct evconnlistener;

#define LINE "HTTP/1.1 200 OK\r\n"

typedef enum then_t {
	THEN_KEEP,
	THEN_CLOSE,
	THEN_RESET,
} then_t;

/* A target that sends a fixed response to whatever is a whole request. */
typedef struct fake_target_t {
	struct event_base *base;
	struct evconnlistener *listener;
	uint16_t port;
	int accepted;
	int closed;
	const char *response;
	then_t then;
	GString *received; /* on the newest connection */
	size_t received_bytes;
	size_t wanted; /* bytes to answer after; 0: the end of a head */
	GPtrArray *connections; /* of struct bufferevent, those open */
	struct bufferevent *newest;
} fake_target_t;

/* Stands for the exit task: records how a call goes. */
typedef struct fake_exit_t {
	mmx_task_t task;
	mmx_task_t *client;
	int heads;
	int not_sent;
	int failed;
	int status;
	GString *head;
	size_t body_bytes;
	GString *body; /* its first KiB */
	bool ended;
	bool broken;
	bool grants;
	size_t credit; /* granted by target_client */
} fake_exit_t;

typedef struct setup_t {
	fixture_t fixture;
	fake_target_t target;
	fake_exit_t exit;
	mmx_target_client_t *client;
	uint64_t sequence;
} setup_t;

/* Without init, so that options can still be set. */
void target_setup_create(setup_t *setup);
void target_setup_create_paused(setup_t *setup);
void target_setup_open(setup_t *setup);
void target_setup_close(setup_t *setup);

/* Closes the target's end of a connection. */
void target_setup_drop(fake_target_t *target, struct bufferevent *bev);

/* A call without body of the next attempt; forgets what the last one got. */
mmx_call_t *target_setup_call(setup_t *setup, const char *method);
mmx_attempt_id_t target_setup_attempt(const setup_t *setup);
void target_setup_post(setup_t *setup, mmx_call_t *call);

/* Waits for the end of the call; false when the guard ends the wait. */
bool target_setup_finish(setup_t *setup);

#endif
