/*
 * A fake task that writes each message it receives as one word into a trace,
 * and helpers for tests whose cases are scripts of steps.
 */
#ifndef MASTICMUX_TEST_FAKES_H
#define MASTICMUX_TEST_FAKES_H

#include <CUnit/CUnit.h>
#include <glib.h>

#include "masticmux/directory.h"
#include "masticmux/config_state.h"
#include "private/messages.h"

typedef struct fake_t {
	mmx_task_t task;
	GString *trace;
	mmx_node_id_t exit; /* that the latest EXECUTE was sent to */
} fake_t;

/* One case: steps separated by ';' and the trace that they must give. */
typedef struct script_case_t {
	const char *name;
	const char *script;
	const char *trace;
} script_case_t;

void fake_init(fake_t *fake, mmx_runtime_t *runtime, GString *trace);

/* Value of "name=value" among the words of a step, or the fallback. */
long fake_number(char **words, const char *name, long fallback);

/* True if a word of the step is exactly this. */
bool fake_flag(char **words, const char *flag);

/* Calls step for each step of the script with its words. */
void fake_run(const char *script, void (*step)(char **words, void *arg),
	      void *arg);

/* Compares the trace with that of the case; prints both if they differ. */
void fake_compare(const script_case_t *c, const GString *trace);

/* Adds targets of the service "s" with 3 slots, one each at the node and those
 * with the next numbers. */
void fake_add_targets(mmx_directory_t *directory, mmx_node_id_t node,
		      size_t count);

/* A configuration with the route s.test/ to the service "s", which promises
 * this latency. */
mmx_config_state_t *fake_routes(mmx_time_t objective, mmx_time_t timeout,
				bool repeatable, bool large_bodies);

/* The same with accounts: "l" (key "key-l") has this limit, "u" (key "key-u")
 * none. The route /public/ needs no key. */
mmx_config_state_t *fake_account_routes(double rate, double burst);

/* Appends that many bytes. */
void fake_add_bytes(struct evbuffer *to, long size);

/* Applies a change to a config_state at its next offset and destroys the change. */
void fake_apply(mmx_config_state_t *config_state, mmx_change_t *change);

#endif
