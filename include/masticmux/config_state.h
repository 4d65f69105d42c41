/**
 * Fold: the configuration that results from the records of the log, and its
 * lookups. Does no I/O. Two folds that were given the same records in offset
 * order are equal, and so are their snapshots (masticmux/snapshot.h).
 *
 * Offset 0 is never applied, because base 0 stands for a new object. The
 * first record that counts has offset 1.
 *
 * Life: create, (apply records or load a snapshot, look up), destroy.
 */
#ifndef MASTICMUX_FOLD_H
#define MASTICMUX_FOLD_H

#include "masticmux/change.h"
#include "masticmux/policy.h"
#include "masticmux/routing.h"
#include "masticmux/types.h"

/** Result of a route lookup. */
typedef struct mmx_route_t {
	const char *service; /**< valid until the next apply */
	mmx_policy_t policy; /**< template with the route's overrides */
	/* Known only of routes that came as a whole configuration. */
	const char *name;     /**< of the route; NULL: none */
	mmx_time_t timeout;   /**< longest time kept waiting; 0: no limit */
	mmx_time_t objective; /**< wanted latency; 0: none */
	uint8_t attempts_max; /**< targets it may run at; 0: the default */
	uint8_t priority;     /**< see MMX_PRIORITY_FIRST */
} mmx_route_t;

/** Parameters of a client account. */
typedef struct mmx_account_t {
	const char *name;	 /**< valid until the next apply */
	uint8_t floor_percent;	 /**< 0..100 of each service's slots */
	uint8_t ceiling_percent; /**< 1..100 */
	mmx_time_t deadline;	 /**< 0: the policy's */
	uint32_t repeatable;	 /**< mask; valid if has_repeatable */
	bool has_repeatable;
} mmx_account_t;

/**
 * Number of records whose verdict is kept, accepted and rejected ones. At
 * 6,400 changes a day this is two days and a half.
 */
#define MMX_CONFIG_STATE_VERDICTS_MAX 16384

/** Most objects of each kind; they bound the memory of a node. */
#define MMX_CONFIG_STATE_TEMPLATES_MAX 4096
#define MMX_CONFIG_STATE_SERVICES_MAX 8192
#define MMX_CONFIG_STATE_ROUTES_MAX 131072
#define MMX_CONFIG_STATE_ACCOUNTS_MAX 393216

/** What became of a record. */
typedef enum mmx_verdict_t {
	MMX_VERDICT_ACCEPTED,
	MMX_VERDICT_REJECTED,
	MMX_VERDICT_DUPLICATE, /**< a record with this id came before */
	MMX_VERDICT_INVALID,   /**< not a valid change; skipped */
	MMX_VERDICT_IGNORED,   /**< at or below the applied offset */
	MMX_VERDICT_GAP,       /**< records in between are missing */
	MMX_VERDICT_COUNT
} mmx_verdict_t;

extern const char *const mmx_verdict_string[MMX_VERDICT_COUNT];

/** Why a valid change was rejected. */
typedef enum mmx_reject_reason_t {
	MMX_REJECT_NONE,
	MMX_REJECT_STALE_BASE,	     /**< based on another revision */
	MMX_REJECT_UNKNOWN_TEMPLATE, /**< a service names no known template */
	MMX_REJECT_ROUTE_TAKEN,	     /**< another service has the route */
	MMX_REJECT_ROUTE_REPEATED,   /**< twice in the change */
	MMX_REJECT_ACCOUNT_FLOORS,   /**< floors add up to over 100 percent */
	MMX_REJECT_TOO_MANY,	     /**< more objects than a node can hold */
	MMX_REJECT_COUNT
} mmx_reject_reason_t;

extern const char *const mmx_reject_reason_string[MMX_REJECT_COUNT];

#define MMX_CONFIG_STATE_TEXT_MAX 383

/** Result of applying a record. */
typedef struct mmx_config_state_result_t {
	mmx_verdict_t verdict;
	mmx_reject_reason_t reject_reason;
	uint64_t offset; /**< of the record; the revision if accepted */
	char id[MMX_CHANGE_ID_MAX + 1]; /**< empty if it could not be read */
	char text[MMX_CONFIG_STATE_TEXT_MAX +
		  1]; /**< what is wrong, or empty */
} mmx_config_state_result_t;

/** Records by verdict since this config_state was created; not in snapshots. */
typedef struct mmx_config_state_counts_t {
	uint64_t records[MMX_VERDICT_COUNT];
} mmx_config_state_counts_t;

/** Numbers of objects. */
typedef struct mmx_config_state_sizes_t {
	size_t templates;
	size_t services;
	size_t routes;
	size_t accounts;
	size_t verdicts;
} mmx_config_state_sizes_t;

typedef struct mmx_config_state_t mmx_config_state_t;

mmx_config_state_t *mmx_config_state_create(void);
void mmx_config_state_destroy(mmx_config_state_t *config_state);

/** Offset of the last record applied; 0 at first. */
uint64_t
mmx_config_state_applied_offset(const mmx_config_state_t *config_state);

/**
 * Applies the next record of the stream `config`.
 *
 * The record is valid only at offset mmx_config_state_applied_offset() + 1; any other offset
 * changes nothing. An accepted change is applied as a whole. The verdict
 * depends on the records so far and on nothing else.
 *
 * @param data    the record as it stands in the log
 * @param result  receives the verdict; may be NULL
 * @return true if the applied offset moved
 */
bool mmx_config_state_apply(mmx_config_state_t *config_state, uint64_t offset,
			    const char *data, size_t length,
			    mmx_config_state_result_t *result);

/**
 * Says what mmx_config_state_apply() would do with a change at the next offset,
 * without the check for a repeated id.
 */
void mmx_config_state_check(const mmx_config_state_t *config_state,
			    const mmx_change_t *change,
			    mmx_config_state_result_t *result);

/**
 * Looks up the verdict on a record among the last MMX_CONFIG_STATE_VERDICTS_MAX.
 *
 * @param result  receives ACCEPTED or REJECTED with offset and id, and the
 *                kind of rejection; the text is known to the config_state that
 *                applied the record only
 * @return false if no such record is remembered
 */
bool mmx_config_state_get_verdict(const mmx_config_state_t *config_state,
				  const char *id,
				  mmx_config_state_result_t *result);

/** Revision of an object; 0 if there is none of this name. */
uint64_t
mmx_config_state_template_revision(const mmx_config_state_t *config_state,
				   const char *name);
uint64_t
mmx_config_state_service_revision(const mmx_config_state_t *config_state,
				  const char *name);
uint64_t
mmx_config_state_account_revision(const mmx_config_state_t *config_state,
				  const char *name);

/** Records by verdict; valid as long as the config_state. */
const mmx_config_state_counts_t *
mmx_config_state_counts(const mmx_config_state_t *config_state);

void mmx_config_state_sizes(const mmx_config_state_t *config_state,
			    mmx_config_state_sizes_t *sizes);

/**
 * Looks up the route of a request: the longest path prefix among the routes
 * of the host. The host is compared without case and without its port. A
 * prefix ends at a boundary between path segments: "/a" matches "/a" and
 * "/a/b" and "/a?q", not "/ab". A slash at the end of a prefix has no effect.
 *
 * @return false when no route matches
 */
bool mmx_config_state_match_route(const mmx_config_state_t *config_state,
				  const char *host, const char *path,
				  mmx_route_t *route);

/** Looks up a client account; false when unknown. */
bool mmx_config_state_get_account(const mmx_config_state_t *config_state,
				  const char *name, mmx_account_t *account);

/** True until a record was applied or a snapshot was loaded. */
bool mmx_config_state_is_empty(const mmx_config_state_t *config_state);

/**
 * Replaces everything by one whole version of the configuration. From then on
 * the lookups answer from it, and records are no longer applied.
 *
 * @param routing  owned by the config_state from then on
 * @param policy   of every service; routes add what they name themselves
 * @return false when the version is not above the one in force: then nothing
 *         changes and the routing is destroyed
 */
bool mmx_config_state_replace(mmx_config_state_t *config_state,
			      mmx_routing_table_t *routing,
			      const mmx_policy_t *policy);

/** The whole configuration in force; NULL when there is none. */
const mmx_routing_table_t *
mmx_config_state_routing_table(const mmx_config_state_t *config_state);

/** Policy of a service by name; false when unknown. */
bool mmx_config_state_get_service_policy(const mmx_config_state_t *config_state,
					 const char *service,
					 mmx_policy_t *policy);

#endif
