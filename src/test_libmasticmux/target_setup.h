/*
 * Fixture: a target client between a fake exit task and a fake target, over TCP
 * on loopback.
 */
#ifndef MASTICMUX_TEST_TARGET_SETUP_H
#define MASTICMUX_TEST_TARGET_SETUP_H

#include "http_fixture.h"
#include "private/target_client.h"

struct bufferevent;
struct evconnlistener;

#define STATUS_LINE_OK "HTTP/1.1 200 OK\r\n"

/* What the fake target does with the connection after its response. */
typedef enum response_action_t {
	ACTION_KEEP_OPEN,
	ACTION_CLOSE,
	ACTION_RESET, /* instead of a response */
	ACTION_RESET_AFTER,
} response_action_t;

/* A target that sends a fixed response to each complete request. */
typedef struct fake_target_t {
	struct event_base *base;
	struct evconnlistener *listener;
	uint16_t port;
	int accepted;
	int closed;
	const char *response; /* NULL: never responds */
	response_action_t action;
	GString *received; /* on the latest connection, its first bytes */
	size_t received_bytes;
	/* bytes of a complete request; 0: a request ends with its head */
	size_t request_bytes;
	GPtrArray *connections; /* open ones, of struct bufferevent */
	struct bufferevent *latest;
} fake_target_t;

/* Replaces the exit task and records the messages of the calls. */
typedef struct fake_exit_t {
	mmx_task_t task;
	mmx_task_t *client;
	/* CALL_EVENT messages by result */
	int heads;
	int not_sent;
	int failed;
	int status;
	GString *head;
	size_t body_bytes;
	GString *body; /* its first KiB */
	bool ended;
	bool truncated;	    /* the response body ended with failed */
	bool grants_credit; /* for each part that it receives */
	size_t credit;	    /* granted by target_client */
} fake_exit_t;

typedef struct setup_t {
	fixture_t fixture;
	fake_target_t target;
	fake_exit_t exit;
	mmx_target_client_t *client;
	uint64_t sequence;
} setup_t;

/* Creates a client without init, so that options can still be set. */
void target_setup_create(setup_t *setup);

/* The same with a paused clock: time passes only when it is advanced. */
void target_setup_create_paused(setup_t *setup);

/* Creates and inits a client. */
void target_setup_open(setup_t *setup);
void target_setup_close(setup_t *setup);

/* Closes the target's end of a connection. */
void target_setup_close_connection(fake_target_t *target,
				   struct bufferevent *bev);

void target_setup_reset_connection(fake_target_t *target,
				   struct bufferevent *bev);

/* Creates a call without a body for the next attempt and resets the record of
 * the previous one. */
mmx_call_t *target_setup_new_call(setup_t *setup, const char *method);

/* Id of the latest attempt. */
mmx_attempt_id_t target_setup_attempt(const setup_t *setup);

void target_setup_post_call(setup_t *setup, mmx_call_t *call);

/* Waits until the call has ended; false after the time limit of the fixture. */
bool target_setup_wait(setup_t *setup);

#endif
