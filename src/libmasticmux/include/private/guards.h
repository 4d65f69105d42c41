/*
 * Safety rules of entry and exit, each with a switch for tests. A test disables
 * one rule to show that the checks of the scenarios detect the violation. The
 * program never does: all rules are enforced unless a set_guards function is
 * called.
 */
#ifndef MASTICMUX_PRIVATE_GUARDS_H
#define MASTICMUX_PRIVATE_GUARDS_H

#include <stdbool.h>

/* Rules that are enforced. */
typedef struct mmx_guards_t {
	bool fence;	     /* fence an unanswered attempt before a repeat */
	bool watermark;	     /* start no attempt that may have been forgotten */
	bool incarnation;    /* refuse attempts for an earlier process */
	bool draining;	     /* admit no attempt at a draining target */
	bool response_match; /* match a response to the attempt that it names */
	bool graceful_stop;  /* finish work in progress before a planned stop */
	bool floor;	     /* eject no target below the floor of a service */
	bool claim;    /* send an attempt with a key after its claim is won */
	bool takeover; /* fence the holder of a key before a takeover */
} mmx_guards_t;

extern const mmx_guards_t mmx_guards_all;

#endif
