/*
 * Loop, runtime and raw TCP clients for tests of the HTTP tasks. Every wait
 * is for a condition; GUARD_S only ends a test that would never finish.
 */
#ifndef MASTICMUX_TEST_HTTP_FIXTURE_H
#define MASTICMUX_TEST_HTTP_FIXTURE_H

#include <glib.h>

#include "private/messages.h"

#include "masticmux/counters.h"

struct event_base;

typedef struct fixture_t {
	struct event_base *base;
	mmx_runtime_t *runtime;
	mmx_counters_t *counters;
} fixture_t;

/* A raw TCP connection of the test. */
typedef struct wire_t {
	fixture_t *fixture;
	int fd;
	GString *in; /* everything received so far */
	bool closed;
	bool reset;
} wire_t;

typedef bool (*fixture_condition_t)(void *arg);

void fixture_open(fixture_t *fixture);
/* With a clock that stands until it is advanced. */
void fixture_open_paused(fixture_t *fixture);
void fixture_close(fixture_t *fixture);

/* Runs the loop until the condition holds; false when the guard ends it. */
bool fixture_wait(fixture_t *fixture, fixture_condition_t condition, void *arg);

/* Runs what is ready now. */
void fixture_turn(fixture_t *fixture);

int64_t fixture_counter(const fixture_t *fixture, const char *name,
			const char *labels);

void wire_open(wire_t *wire, fixture_t *fixture, uint16_t port);
void wire_close(wire_t *wire);

/* Sends everything; false when the other side does not take it. */
bool wire_send(wire_t *wire, const char *data, size_t length);
void wire_send_end(wire_t *wire);

/* Waits until the text was received, or the connection has closed. */
bool wire_expect(wire_t *wire, const char *text);
bool wire_expect_closed(wire_t *wire);

#endif
