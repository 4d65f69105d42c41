/**
 * Task announce: HTTP server on which the targets beside this node announce
 * themselves (design, section 8). It listens on loopback unless the network is
 * trusted.
 *
 *   POST /v1/targets         {"name", "service", "address", "port", "slots",
 *                             "state", "load", "lease_ms"}
 *   DELETE /v1/targets/NAME
 *
 * Each valid request posts TARGET_ANNOUNCED to the exit task. A DELETE posts
 * one with state GONE and lease 0; service, address and slots are then empty.
 *
 * Usage: create, set options, init, destroy.
 */
#ifndef MASTICMUX_PRIVATE_ANNOUNCE_H
#define MASTICMUX_PRIVATE_ANNOUNCE_H

#include "masticmux/counters.h"
#include "masticmux/error.h"
#include "masticmux/log.h"
#include "private/messages.h"

/** Range of lease_ms in an announcement. */
#define MMX_ANNOUNCE_LEASE_MIN_MS 100
#define MMX_ANNOUNCE_LEASE_MAX_MS (10 * 60 * 1000)

typedef struct mmx_announce_t mmx_announce_t;

/** Why an announcement is rejected. */
typedef enum mmx_announce_rejection_t {
	MMX_ANNOUNCE_BAD_REQUEST, /**< method, path or name in the path */
	MMX_ANNOUNCE_MALFORMED,	  /**< the body or the query is not valid */
	MMX_ANNOUNCE_OTHER_SERVICE,
	MMX_ANNOUNCE_OTHER_ADDRESS,
	MMX_ANNOUNCE_REJECTION_COUNT
} mmx_announce_rejection_t;

extern const char
	*const mmx_announce_rejection_string[MMX_ANNOUNCE_REJECTION_COUNT];

/** A second format of announcements, accepted on the same address. */
typedef struct mmx_announce_format_t {
	/** True if a POST to this path and query has this format. */
	bool (*handles)(const char *uri);
	/**
	 * Parses the body of such a POST. Returns NULL and fills the error if
	 * it is invalid.
	 */
	mmx_target_announced_t *(*parse)(const char *uri, const char *text,
					 size_t length, mmx_error_t *error);
} mmx_announce_format_t;

/**
 * Sets a second format of announcements. Valid before init.
 *
 * @param format  NULL for none, which is the default; outlives the task
 */
void mmx_announce_set_format(mmx_announce_t *announce,
			     const mmx_announce_format_t *format);

/**
 * Sets the only target that may announce itself: announcements with another
 * service or address are rejected. Valid before init.
 *
 * @param service  "" for any, which is the default
 * @param address  port 0 for any, which is the default
 */
void mmx_announce_set_target(mmx_announce_t *announce, const char *service,
			     const mmx_address_t *address);

/** Sets where rejections are logged; NULL, the default, for nowhere. Valid
 * before init. */
void mmx_announce_set_log(mmx_announce_t *announce, mmx_log_t *log);

/**
 * Allows init to listen on addresses other than loopback; by default it
 * refuses them. Valid before init.
 */
void mmx_announce_set_trusted_network(mmx_announce_t *announce, bool trusted);

/**
 * Creates the task. Asserts that the runtime has an event loop.
 *
 * @param runtime   outlives the task
 * @param exit      receives TARGET_ANNOUNCED; outlives the task
 * @param counters  outlive the task; NULL for none
 */
mmx_announce_t *mmx_announce_create(mmx_runtime_t *runtime, mmx_task_t *exit,
				    mmx_counters_t *counters);

/** Stops listening and frees the task; NULL is allowed. */
void mmx_announce_destroy(mmx_announce_t *announce);

/**
 * Starts to listen. Valid once.
 *
 * @param address  port 0 for any free port
 * @return false, with the error filled, if the address cannot be listened on,
 *         or is not loopback and the network is not trusted
 */
bool mmx_announce_init(mmx_announce_t *announce, const mmx_address_t *address,
		       mmx_error_t *error);

/** Returns the port that the task listens on. Valid after init. */
uint16_t mmx_announce_port(const mmx_announce_t *announce);

/**
 * Parses the body of a POST /v1/targets.
 *
 * @param text    need not end with NUL
 * @param length  bytes
 * @return the message for the exit task, owned by the caller; NULL, with the
 *         error filled, if the body is invalid
 */
mmx_target_announced_t *mmx_announce_parse(const char *text, size_t length,
					   mmx_error_t *error);

#endif
