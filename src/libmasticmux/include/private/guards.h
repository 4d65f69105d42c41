/*
 * Switches that let the tests turn one safety rule of entry or exit off, to
 * show that the checks of the scenarios find the breach. The shipped program
 * never sets them: without a call of a set_guards function every rule holds.
 */
#ifndef MASTICMUX_PRIVATE_GUARDS_H
#define MASTICMUX_PRIVATE_GUARDS_H

#include <stdbool.h>

/* true: the rule is enforced. */
typedef struct mmx_guards_t {
	bool fence;	  /* fence a silent attempt before it is sent again */
	bool watermark;	  /* never start an attempt that may be forgotten */
	bool incarnation; /* refuse attempts meant for an earlier process */
	bool draining;	  /* admit nothing at a target that leaves */
	bool response_match; /* a response belongs to the attempt it names */
	bool graceful_stop;  /* a planned stop lets work in progress finish */
	bool floor;	     /* ejections leave the floor of a service */
	bool claim;    /* send an attempt with a key once its claim is won */
	bool takeover; /* fence the holder of a key before taking it over */
} mmx_guards_t;

extern const mmx_guards_t mmx_guards_all;

#endif
