/**
 * Announces a target to the node beside it and renews the announcement every
 * third of the lease.
 *
 * Life: init, start, update as often as the state changes, leave, destroy.
 */
#ifndef STANDIN_ANNOUNCER_H
#define STANDIN_ANNOUNCER_H

#include "standin/server.h"

typedef struct announcer_t {
	standin_server_t *server;
	standin_address_t node;
	const char *name;
	const char *service;
	const char *path; /**< /v1/targets */
	int slots;
	int lease_ms;
	/** State and load at the time of each announcement. */
	const char *(*state)(void *arg);
	double (*load)(void *arg);
	void *arg;
	bool paused; /**< set to stop announcing without leaving */
	uint64_t accepted;
	uint64_t failed;
	struct evhttp_connection *conn;
	mmx_timer_t timer;
	int last_status; /**< of the node's answer; 0: no answer */
	bool outstanding;
	bool repeat; /**< changed while one was outstanding */
	bool started;
	bool leaving;
} announcer_t;

/** Starts to announce; the members above "accepted" are set. */
void announcer_start(announcer_t *announcer);

/** Announces now, after a change of state. */
void announcer_update(announcer_t *announcer);

/** Leaves the directory, then stops the server; at most 500 ms later. */
void announcer_leave(announcer_t *announcer);

/** Frees what the announcer holds; valid without a start. */
void announcer_destroy(announcer_t *announcer);

#endif
