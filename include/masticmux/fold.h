/**
 * Fold: the configuration that results from the records of the log, and its
 * lookups. Does no I/O. Two folds that were given the same records in offset
 * order are equal.
 *
 * Life: create, (apply records or load a snapshot, look up), destroy.
 */
#ifndef MASTICMUX_FOLD_H
#define MASTICMUX_FOLD_H

#include "masticmux/policy.h"
#include "masticmux/types.h"

/** Result of a route lookup. */
typedef struct mmx_route_t {
	const char *service; /**< valid until the next apply */
	mmx_policy_t policy; /**< template with the route's overrides */
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

typedef struct mmx_fold_t mmx_fold_t;

mmx_fold_t *mmx_fold_create(void);
void mmx_fold_destroy(mmx_fold_t *fold);

/**
 * Looks up the route of a request: the longest path prefix among the routes
 * of the host. The host is compared without case and without its port.
 *
 * @return false when no route matches
 */
bool mmx_fold_route(const mmx_fold_t *fold, const char *host, const char *path,
		    mmx_route_t *route);

/** Looks up a client account; false when unknown. */
bool mmx_fold_account(const mmx_fold_t *fold, const char *name,
		      mmx_account_t *account);

/** True until a record was applied or a snapshot was loaded. */
bool mmx_fold_is_empty(const mmx_fold_t *fold);

/** Policy of a service by name; false when unknown. */
bool mmx_fold_service(const mmx_fold_t *fold, const char *service,
		      mmx_policy_t *policy);

#endif
