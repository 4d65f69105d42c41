/**
 * Configuration state: the configuration that results from the records of the
 * log, with its look-ups. It does no I/O. Two states that applied the same
 * records in the order of their offsets are equal, and so are their snapshots
 * (masticmux/snapshot.h).
 *
 * Offset 0 is never applied, because base 0 denotes a new object. The first
 * record that is applied has offset 1.
 *
 * Usage: create an empty state or load one from a snapshot, apply records, look
 * objects up, destroy the state.
 */
#ifndef MASTICMUX_CONFIG_STATE_H
#define MASTICMUX_CONFIG_STATE_H

#include "masticmux/change.h"
#include "masticmux/policy.h"
#include "masticmux/routing.h"
#include "masticmux/types.h"

/** Result of a route look-up. */
typedef struct mmx_route_t {
	const char *service; /**< valid until the next apply or replace */
	mmx_policy_t policy; /**< template with the route's overrides */
	/* Set only if the route is part of a routing table. */
	const char *name;     /**< of the route; NULL: none */
	mmx_time_t timeout;   /**< of a request, microseconds; 0: no limit */
	mmx_time_t objective; /**< latency, microseconds; 0: none */
	uint8_t attempts_max; /**< targets tried at most; 0: the default */
	uint8_t priority;     /**< see MMX_PRIORITY_FIRST */
	bool is_public;	      /**< callers need no key of an account */
	bool large_bodies;    /**< of requests or of responses */
} mmx_route_t;

/** Parameters of a client account. */
typedef struct mmx_account_t {
	const char *name;	 /**< valid until the next apply */
	uint8_t floor_percent;	 /**< 0..100 of each service's slots */
	uint8_t ceiling_percent; /**< 1..100 of each service's slots */
	mmx_time_t deadline;	 /**< microseconds; 0: use the policy's */
	uint32_t repeatable;	 /**< method mask, if has_repeatable */
	bool has_repeatable;
	bool has_priority;
	uint8_t priority; /**< replaces that of the route, if has_priority */
	double rate;	  /**< requests a second of the fleet; 0: no limit */
	double burst;	  /**< requests beyond the rate, 0 or more */
} mmx_account_t;

/**
 * Number of accepted and rejected records whose verdict is kept: about two and
 * a half days at 6,400 changes a day.
 */
#define MMX_CONFIG_STATE_VERDICTS_MAX 16384

/** Maximum number of objects of each kind; bounds the memory of a node. */
#define MMX_CONFIG_STATE_TEMPLATES_MAX 4096
#define MMX_CONFIG_STATE_SERVICES_MAX 8192
#define MMX_CONFIG_STATE_ROUTES_MAX 131072
#define MMX_CONFIG_STATE_ACCOUNTS_MAX 393216

/** Outcome of applying a record. */
typedef enum mmx_verdict_t {
	MMX_VERDICT_ACCEPTED,
	MMX_VERDICT_REJECTED,
	MMX_VERDICT_DUPLICATE, /**< an earlier record has the same id */
	MMX_VERDICT_INVALID,   /**< not a valid change; skipped */
	MMX_VERDICT_IGNORED,   /**< offset not above the applied offset */
	MMX_VERDICT_GAP,       /**< a record before this one is missing */
	MMX_VERDICT_COUNT
} mmx_verdict_t;

extern const char *const mmx_verdict_string[MMX_VERDICT_COUNT];

/** Reason why a valid change was rejected. */
typedef enum mmx_reject_reason_t {
	MMX_REJECT_NONE,
	MMX_REJECT_STALE_BASE,	     /**< base is not the current revision */
	MMX_REJECT_UNKNOWN_TEMPLATE, /**< a service refers to no template */
	MMX_REJECT_ROUTE_TAKEN,	     /**< another service has the route */
	MMX_REJECT_ROUTE_REPEATED,   /**< route occurs twice in the change */
	MMX_REJECT_ACCOUNT_FLOORS,   /**< floors exceed 100 percent in total */
	MMX_REJECT_TOO_MANY,	     /**< objects of a kind exceed the limit */
	MMX_REJECT_COUNT
} mmx_reject_reason_t;

extern const char *const mmx_reject_reason_string[MMX_REJECT_COUNT];

/** Longest explanation in a result, bytes without the terminating null. */
#define MMX_CONFIG_STATE_TEXT_MAX 383

/** Result of applying a record. */
typedef struct mmx_config_state_result_t {
	mmx_verdict_t verdict;
	mmx_reject_reason_t reject_reason;
	uint64_t offset; /**< of the record; the revision if accepted */
	char id[MMX_CHANGE_ID_MAX + 1]; /**< empty if the record is invalid */
	char text[MMX_CONFIG_STATE_TEXT_MAX + 1]; /**< explanation, or empty */
} mmx_config_state_result_t;

/**
 * Number of records by verdict since the state was created. Snapshots don't
 * include it.
 */
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
void mmx_config_state_destroy(mmx_config_state_t *state);

/** Offset of the last record that was applied; initially 0. */
uint64_t mmx_config_state_applied_offset(const mmx_config_state_t *state);

/**
 * Applies the next record of the stream `config`.
 *
 * A record is applied only at offset mmx_config_state_applied_offset() + 1; a
 * record at any other offset changes nothing. A change is applied completely or
 * not at all.
 * The verdict depends only on this record and on those applied before.
 *
 * @param data    record as read from the log
 * @param length  length of data, bytes
 * @param result  receives the verdict; may be NULL
 * @return true if the applied offset has advanced
 */
bool mmx_config_state_apply(mmx_config_state_t *state, uint64_t offset,
			    const char *data, size_t length,
			    mmx_config_state_result_t *result);

/**
 * Predicts the result of mmx_config_state_apply() for a change at the next
 * offset, except that it doesn't detect a duplicate id.
 */
void mmx_config_state_check(const mmx_config_state_t *state,
			    const mmx_change_t *change,
			    mmx_config_state_result_t *result);

/**
 * Looks up the verdict on a record by its id, among the last
 * MMX_CONFIG_STATE_VERDICTS_MAX verdicts.
 *
 * @param result  receives the verdict ACCEPTED or REJECTED, the reason of a
 *                rejection, offset and id; the text is empty, as it is not
 *                stored
 * @return false if there is no verdict on this id
 */
bool mmx_config_state_get_verdict(const mmx_config_state_t *state,
				  const char *id,
				  mmx_config_state_result_t *result);

/** Revision of an object; 0 if there is none with this name. */
uint64_t mmx_config_state_template_revision(const mmx_config_state_t *state,
					    const char *name);
uint64_t mmx_config_state_service_revision(const mmx_config_state_t *state,
					   const char *name);
uint64_t mmx_config_state_account_revision(const mmx_config_state_t *state,
					   const char *name);

/** Number of records by verdict; valid as long as the state. */
const mmx_config_state_counts_t *
mmx_config_state_counts(const mmx_config_state_t *state);

/** Gives the current number of objects. */
void mmx_config_state_sizes(const mmx_config_state_t *state,
			    mmx_config_state_sizes_t *sizes);

/**
 * Looks up the route of a request: the route of the host with the longest
 * matching path prefix. The host is compared without its port and regardless
 * of case. A prefix matches whole path segments: "/a" matches "/a", "/a/b" and
 * "/a?q", but not "/ab". A trailing slash of a prefix is ignored.
 *
 * @return false if no route matches
 */
bool mmx_config_state_match_route(const mmx_config_state_t *state,
				  const char *host, const char *path,
				  mmx_route_t *route);

/** Looks up a client account; false if there is none with this name. */
bool mmx_config_state_get_account(const mmx_config_state_t *state,
				  const char *name, mmx_account_t *account);

/** Number of keys of all accounts. */
size_t mmx_config_state_key_count(const mmx_config_state_t *state);

/**
 * True if callers need a key of an account, except on public routes: in a
 * routing table that says so, and otherwise as soon as an account has a key.
 */
bool mmx_config_state_requires_key(const mmx_config_state_t *state);

/**
 * Finds the account that a key identifies.
 *
 * @param length  of key, bytes
 * @return name of the account, valid until the next apply or replace; NULL if
 *         no account or more than one has the key
 */
const char *mmx_config_state_find_key(const mmx_config_state_t *state,
				      const char *key, size_t length);

/** True until a record, a snapshot or a routing table is applied. */
bool mmx_config_state_is_empty(const mmx_config_state_t *state);

/**
 * Replaces the routes and services by a routing table, which holds a complete
 * version of the configuration. From then on look-ups of routes and services
 * use the table, its version is the applied offset, and records are no longer
 * applied.
 *
 * @param routing  taken over by the state
 * @param policy   of every service; routes override some of its fields
 * @return false if the version is not above the one in use: nothing changes
 *         then and the table is destroyed
 */
bool mmx_config_state_replace(mmx_config_state_t *state,
			      mmx_routing_table_t *routing,
			      const mmx_policy_t *policy);

/** Routing table in use; NULL if the configuration came from records. */
const mmx_routing_table_t *
mmx_config_state_routing_table(const mmx_config_state_t *state);

/**
 * Looks up the policy of a service; false if there is none with this name. With
 * a routing table every name gives the policy of the table.
 */
bool mmx_config_state_get_service_policy(const mmx_config_state_t *state,
					 const char *service,
					 mmx_policy_t *policy);

#endif
