/*
 * Task announce: the HTTP server where the targets beside this node announce
 * themselves (design, section 8). It listens on loopback only.
 *
 *   POST /v1/targets         {"name", "service", "address", "port", "slots",
 *                             "state", "load", "lease_ms"}
 *   DELETE /v1/targets/NAME
 *
 * Each valid call posts TARGET_ANNOUNCED to the exit task. A DELETE posts one
 * with state GONE and lease 0; service, address and slots are then empty.
 *
 * Life: create, init, destroy.
 */
#ifndef MASTICMUX_PRIVATE_ANNOUNCE_H
#define MASTICMUX_PRIVATE_ANNOUNCE_H

#include "masticmux/counters.h"
#include "masticmux/error.h"
#include "private/messages.h"

#define MMX_ANNOUNCE_LEASE_MIN_MS 100
#define MMX_ANNOUNCE_LEASE_MAX_MS (10 * 60 * 1000)

typedef struct mmx_announce_t mmx_announce_t;

/* A further form of announcements, spoken on the same address. */
typedef struct mmx_announce_format_t {
	/* True for a request path, with its query, of this form. */
	bool (*handles)(const char *uri);
	/* The announcement of a POST; NULL with an error when it is invalid. */
	mmx_target_announced_t *(*parse)(const char *uri, const char *text,
					 size_t length, mmx_error_t *error);
} mmx_announce_format_t;

/* Valid before init; form outlives the task. */
void mmx_announce_set_format(mmx_announce_t *announce,
			     const mmx_announce_format_t *form);

/* Lets init listen on other than loopback addresses. Valid before init. */
void mmx_announce_set_trusted_network(mmx_announce_t *announce, bool trusted);

/* The runtime, the exit task and the counters (or NULL) outlive the task. */
mmx_announce_t *mmx_announce_create(mmx_runtime_t *runtime, mmx_task_t *exit,
				    mmx_counters_t *counters);
void mmx_announce_destroy(mmx_announce_t *announce);

/* Starts to listen; fails on an address that is not loopback, unless the
 * network is trusted. */
bool mmx_announce_init(mmx_announce_t *announce, const mmx_address_t *address,
		       mmx_error_t *error);

/* Valid after init. */
uint16_t mmx_announce_port(const mmx_announce_t *announce);

/*
 * Checks the body of an announcement and makes the message from it. Returns
 * NULL and fills the error when it is not valid.
 */
mmx_target_announced_t *mmx_announce_parse(const char *text, size_t length,
					   mmx_error_t *error);

#endif
